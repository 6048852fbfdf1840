//! Carries the decisions of mintstall over the bench's wire: standard input to standard output.

mod batch;
mod frames;

use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

use batch::BatchProcessor;
use frames::FrameError;

fn serve() -> Result<(), FrameError> {
    let io_failed = |error: io::Error| FrameError(format!("input or output: {error}"));
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let (mut processor, mut batch, mut reply) = (BatchProcessor::default(), Vec::new(), Vec::new());
    loop {
        let mut length = [0; 4];
        match input.read(&mut length[..1]).map_err(io_failed)? {
            0 => return Ok(()),
            _ => input.read_exact(&mut length[1..]).map_err(io_failed)?,
        }
        let length = u32::from_be_bytes(length);
        batch.clear();
        let got = input.by_ref().take(length.into()).read_to_end(&mut batch).map_err(io_failed)?;
        if got < length as usize {
            return frames::bad(format!("batch: {length} bytes wanted, input ended after {got}"));
        }
        processor.process(&batch, &mut reply)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(io_failed)?;
    }
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(FrameError(what)) => {
            eprintln!("mintstall-benchlink: {what}");
            ExitCode::FAILURE
        }
    }
}
