//! Splits a stream of octets into lines of bounded length.

use thiserror::Error;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a line of more than {0} octets")]
pub struct LineTooLong(pub usize);

/// Buffers at most the octets of the last push and one incomplete line.
#[derive(Debug)]
pub struct LineDecoder {
    buffer: Vec<u8>,
    /// Octets at the start of `buffer` that have been returned.
    consumed: usize,
    max_octets: usize,
}

impl LineDecoder {
    /// `max_octets` is the longest line, without its line feed.
    pub fn new(max_octets: usize) -> Self {
        Self { buffer: Vec::new(), consumed: 0, max_octets }
    }

    pub fn push(&mut self, octets: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(octets);
    }

    /// The next complete line without its line end. Empty lines are skipped.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        loop {
            let rest = &self.buffer[self.consumed..];
            let Some(end) = rest.iter().position(|octet| *octet == b'\n') else {
                return if rest.len() > self.max_octets {
                    Err(LineTooLong(self.max_octets))
                } else {
                    Ok(None)
                };
            };
            if end > self.max_octets {
                return Err(LineTooLong(self.max_octets));
            }
            let start = self.consumed;
            self.consumed += end + 1;
            let line = self.buffer[start..start + end].trim_ascii_end();
            if !line.is_empty() {
                // Sliced again: returning `line` would extend its borrow over the whole loop.
                return Ok(Some(self.buffer[start..start + end].trim_ascii_end()));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_split_between_pushes_does_not_change_the_lines() {
        let text = b"one\r\n\ntwo\nthree\n";
        for split in 0..text.len() {
            let mut lines = LineDecoder::new(10);
            let mut seen = Vec::new();
            for part in [&text[..split], &text[split..]] {
                lines.push(part);
                while let Some(line) = lines.next().unwrap() {
                    seen.push(line.to_vec());
                }
            }
            assert_eq!(seen, [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]);
        }
    }

    #[test]
    fn a_line_over_the_limit_is_an_error_before_its_end_arrives() {
        let mut lines = LineDecoder::new(4);
        lines.push(b"12345");
        assert_eq!(lines.next(), Err(LineTooLong(4)));
    }
}
