//! Connects controllers of mintstall to a simulator: reads batches of events from standard input and writes the
//! controllers' actions to standard output.

mod batch;
mod frames;

use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

use batch::BatchProcessor;
use frames::FrameError;

fn serve() -> Result<(), FrameError> {
    let io_error = |error: io::Error| FrameError(format!("can't read input or write output: {error}"));
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let (mut processor, mut batch, mut reply) = (BatchProcessor::default(), Vec::new(), Vec::new());
    loop {
        let mut length = [0; 4];
        match input.read(&mut length[..1]).map_err(io_error)? {
            0 => return Ok(()),
            _ => input.read_exact(&mut length[1..]).map_err(io_error)?,
        }
        let length = u32::from_be_bytes(length);
        batch.clear();
        let received = input.by_ref().take(length.into()).read_to_end(&mut batch).map_err(io_error)?;
        if received < length as usize {
            return frames::frame_error(format!(
                "batch: expected {length} bytes, input ended after {received}"
            ));
        }
        processor.process(&batch, &mut reply)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(io_error)?;
    }
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(FrameError(message)) => {
            eprintln!("mintstall-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}
