//! What waits to be written, bounded: a reader that is too slow for it is dropped.

/// Octets waiting for one connection.
#[derive(Debug, Default)]
pub struct Outbox {
    held: Vec<u8>,
    written: usize,
    overrun: Overrun,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Overrun {
    #[default]
    Not,
    /// More was to be written than may wait: the connection is to be closed.
    Yes,
}

/// Octets that may wait for a connection: some seconds of a link at 1,000 calls a second.
pub const MOST_WAITING: usize = 1 << 20;

impl Outbox {
    pub fn push(&mut self, octets: &[u8]) {
        if self.waiting() + octets.len() > MOST_WAITING {
            self.overrun = Overrun::Yes;
        } else {
            self.held.extend_from_slice(octets);
        }
    }

    pub fn waiting(&self) -> usize {
        self.held.len() - self.written
    }

    pub fn overrun(&self) -> bool {
        self.overrun == Overrun::Yes
    }

    /// Writes as much as goes; `Ok(true)` once nothing waits.
    pub fn write_to(&mut self, to: &mut impl std::io::Write) -> std::io::Result<bool> {
        while self.waiting() > 0 {
            match to.write(&self.held[self.written..]) {
                Ok(0) => return Err(std::io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.held.clear();
        self.written = 0;
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reader_too_slow_for_what_may_wait_is_told() {
        let mut out = Outbox::default();
        (0..MOST_WAITING / 1024).for_each(|_| out.push(&[0; 1024]));
        assert!(!out.overrun());
        out.push(&[0]);
        assert!(out.overrun() && out.waiting() == MOST_WAITING);
        assert!(out.write_to(&mut Vec::new()).unwrap());
        assert_eq!(out.waiting(), 0);
    }
}
