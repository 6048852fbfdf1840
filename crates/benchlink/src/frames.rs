//! Reads and writes the fields of frames: big-endian, without padding.

use std::time::Duration;

/// What is wrong with the input, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct FrameError(pub String);

pub type ReadResult<T> = Result<T, FrameError>;

pub fn frame_error<T>(message: impl Into<String>) -> ReadResult<T> {
    Err(FrameError(message.into()))
}

/// Bytes read from front to back; `name` identifies them in errors.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    rest: &'a [u8],
    name: &'static str,
}

impl<'a> Fields<'a> {
    pub fn new(rest: &'a [u8], name: &'static str) -> Self {
        Self { rest, name }
    }

    pub fn with_name(self, name: &'static str) -> Self {
        Self { name, ..self }
    }

    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    pub fn take(&mut self, count: usize) -> ReadResult<&'a [u8]> {
        match self.rest.split_at_checked(count) {
            Some((taken, rest)) => {
                self.rest = rest;
                Ok(taken)
            }
            None => frame_error(format!("{}: expected {count} bytes, {} left", self.name, self.rest.len())),
        }
    }

    fn array<const N: usize>(&mut self) -> ReadResult<[u8; N]> {
        self.take(N).map(|taken| taken.try_into().expect("take returns the requested number of bytes"))
    }

    pub fn u8(&mut self) -> ReadResult<u8> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> ReadResult<u16> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> ReadResult<u32> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> ReadResult<u64> {
        self.array().map(u64::from_be_bytes)
    }

    pub fn f32(&mut self) -> ReadResult<f32> {
        self.array().map(f32::from_be_bytes)
    }

    /// Seconds, rounded to microseconds as the simulator counts them.
    pub fn time(&mut self) -> ReadResult<Duration> {
        let seconds = self.array().map(f64::from_be_bytes)?;
        match Duration::try_from_secs_f64(seconds) {
            Ok(time) => Ok(Duration::from_micros((time.as_nanos().saturating_add(500) / 1000) as u64)),
            Err(_) => frame_error(format!("{}: {seconds} is not a valid time in seconds", self.name)),
        }
    }

    /// A record: its code and its fields.
    pub fn record(&mut self) -> ReadResult<(u8, Fields<'a>)> {
        let code = self.u8()?;
        let length = self.u32()? as usize;
        Ok((code, Fields { rest: self.take(length)?, name: self.name }))
    }
}

/// A record being written; its length is filled in when it is dropped.
pub struct Record<'a> {
    frame: &'a mut Vec<u8>,
    length_at: usize,
}

impl<'a> Record<'a> {
    pub fn new(frame: &'a mut Vec<u8>, code: u8, controller: u16) -> Self {
        frame.push(code);
        let length_at = frame.len();
        frame.extend([0; 4]);
        frame.extend(controller.to_be_bytes());
        Self { frame, length_at }
    }

    pub fn put<const N: usize>(self, bytes: [u8; N]) -> Self {
        self.frame.extend(bytes);
        self
    }

    pub fn time(self, time: Duration) -> Self {
        self.put(time.as_secs_f64().to_be_bytes())
    }

    /// Bytes after their count, truncated if the count does not fit.
    pub fn counted(self, bytes: &[u8]) -> Self {
        let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
        self.frame.extend((bytes.len() as u16).to_be_bytes());
        self.frame.extend(bytes);
        self
    }
}

impl Drop for Record<'_> {
    fn drop(&mut self) {
        let length = (self.frame.len() - self.length_at - 4) as u32;
        self.frame[self.length_at..self.length_at + 4].copy_from_slice(&length.to_be_bytes());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn error_names_the_record_that_is_too_short() {
        let mut fields = Fields::new(&[2, 0, 0, 0, 9, 1], "batch");
        assert_eq!(fields.record().err(), Some(FrameError("batch: expected 9 bytes, 1 left".into())));
    }

    #[test]
    fn invalid_time_is_an_error() {
        let bytes = f64::NAN.to_be_bytes();
        assert!(Fields::new(&bytes, "clock").time().is_err());
    }
}
