//! Reading and writing the fields of frames: big-endian, without padding.

use std::time::Duration;

/// What was wrong with the input, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct FrameError(pub String);

pub type Read<T> = Result<T, FrameError>;

pub fn bad<T>(what: impl Into<String>) -> Read<T> {
    Err(FrameError(what.into()))
}

/// A span of bytes read from front to back.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    rest: &'a [u8],
    what: &'static str,
}

impl<'a> Fields<'a> {
    pub fn new(rest: &'a [u8], what: &'static str) -> Self {
        Self { rest, what }
    }

    pub fn named(self, what: &'static str) -> Self {
        Self { what, ..self }
    }

    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    pub fn take(&mut self, count: usize) -> Read<&'a [u8]> {
        match self.rest.split_at_checked(count) {
            Some((taken, rest)) => {
                self.rest = rest;
                Ok(taken)
            }
            None => bad(format!("{}: {count} bytes wanted, {} left", self.what, self.rest.len())),
        }
    }

    fn array<const N: usize>(&mut self) -> Read<[u8; N]> {
        self.take(N).map(|taken| taken.try_into().expect("take gives as many bytes as asked"))
    }

    pub fn u8(&mut self) -> Read<u8> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Read<u16> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Read<u32> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Read<u64> {
        self.array().map(u64::from_be_bytes)
    }

    pub fn f32(&mut self) -> Read<f32> {
        self.array().map(f32::from_be_bytes)
    }

    /// Seconds, to the microsecond the simulator counts in.
    pub fn time(&mut self) -> Read<Duration> {
        let seconds = self.array().map(f64::from_be_bytes)?;
        match Duration::try_from_secs_f64(seconds) {
            Ok(time) => Ok(Duration::from_micros((time.as_nanos().saturating_add(500) / 1000) as u64)),
            Err(_) => bad(format!("{}: {seconds} is no time", self.what)),
        }
    }

    /// A record: its code and its fields.
    pub fn record(&mut self) -> Read<(u8, Fields<'a>)> {
        let code = self.u8()?;
        let length = self.u32()? as usize;
        Ok((code, Fields { rest: self.take(length)?, what: self.what }))
    }
}

/// A record to be written; its length is filled in at the end.
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

    /// A counted run of bytes, cut where its count would not fit.
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
    fn fields_that_run_past_their_record_are_named() {
        let mut fields = Fields::new(&[2, 0, 0, 0, 9, 1], "batch");
        assert_eq!(fields.record().err(), Some(FrameError("batch: 9 bytes wanted, 1 left".into())));
    }

    #[test]
    fn a_time_that_is_none_is_refused() {
        let bytes = f64::NAN.to_be_bytes();
        assert!(Fields::new(&bytes, "clock").time().is_err());
    }
}
