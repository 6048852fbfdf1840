//! What waits to be written, bounded: a reader that is too slow for it is dropped.

/// Octets waiting for one connection.
#[derive(Debug)]
pub struct OutputBuffer {
    held: Vec<u8>,
    written: usize,
    most: usize,
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
pub const DEFAULT_OUTPUT_LIMIT: usize = 1 << 20;

/// Room that is kept for what comes next; thousands of connections are idle at a time.
const ROOM_KEPT: usize = 4 << 10;

impl Default for OutputBuffer {
    fn default() -> Self {
        Self::new(DEFAULT_OUTPUT_LIMIT)
    }
}

impl OutputBuffer {
    /// At most so many octets wait.
    pub fn new(most: usize) -> Self {
        Self { held: Vec::new(), written: 0, most, overrun: Overrun::Not }
    }

    pub fn push(&mut self, octets: &[u8]) {
        if self.waiting() + octets.len() > self.most {
            self.overrun = Overrun::Yes;
        } else {
            self.held.extend_from_slice(octets);
        }
    }

    /// The last that is written, whatever waits: a few octets that say why it ends.
    pub fn push_last(&mut self, octets: &[u8]) {
        self.overrun = Overrun::Not;
        self.most = 0;
        self.held.extend_from_slice(octets);
    }

    pub fn waiting(&self) -> usize {
        self.held.len() - self.written
    }

    pub fn overrun(&self) -> bool {
        self.overrun == Overrun::Yes
    }

    /// Whether the last has been pushed.
    pub fn last_pushed(&self) -> bool {
        self.most == 0
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
        self.held.shrink_to(ROOM_KEPT);
        self.written = 0;
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reader_too_slow_for_what_may_wait_is_told() {
        let mut out = OutputBuffer::default();
        (0..DEFAULT_OUTPUT_LIMIT / 1024).for_each(|_| out.push(&[0; 1024]));
        assert!(!out.overrun());
        out.push(&[0]);
        assert!(out.overrun() && out.waiting() == DEFAULT_OUTPUT_LIMIT);
        assert!(out.write_to(&mut Vec::new()).unwrap());
        assert_eq!(
            (out.waiting(), out.held.capacity() <= ROOM_KEPT),
            (0, true),
            "and its memory is given back"
        );
    }

    #[test]
    fn the_last_is_written_whatever_waits_and_nothing_after_it() {
        let mut out = OutputBuffer::new(4);
        out.push(b"abcd");
        out.push(b"e");
        assert!(out.overrun());
        out.push_last(b"why");
        out.push(b"more");
        let mut written = Vec::new();
        out.write_to(&mut written).unwrap();
        assert_eq!(written, b"abcdwhy");
    }
}
