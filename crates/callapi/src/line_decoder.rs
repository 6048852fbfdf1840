//! Lines of text cut from a stream of bytes, each of bounded length.

use thiserror::Error;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a line of more than {0} octets")]
pub struct LineTooLong(pub usize);

/// Holds at most what was pushed last and one unfinished line.
#[derive(Debug)]
pub struct LineDecoder {
    held: Vec<u8>,
    used: usize,
    most: usize,
}

impl LineDecoder {
    pub fn new(most: usize) -> Self {
        Self { held: Vec::new(), used: 0, most }
    }

    pub fn push(&mut self, octets: &[u8]) {
        self.held.drain(..std::mem::take(&mut self.used));
        self.held.extend_from_slice(octets);
    }

    /// The next whole line without its end; empty ones are passed over.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        loop {
            let rest = &self.held[self.used..];
            let Some(end) = rest.iter().position(|octet| *octet == b'\n') else {
                return if rest.len() > self.most { Err(LineTooLong(self.most)) } else { Ok(None) };
            };
            if end > self.most {
                return Err(LineTooLong(self.most));
            }
            let start = self.used;
            self.used += end + 1;
            let line = self.held[start..start + end].trim_ascii_end();
            if !line.is_empty() {
                // Borrowed anew: the loop must not hold it.
                return Ok(Some(self.held[start..start + end].trim_ascii_end()));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_the_same_however_they_are_cut() {
        let text = b"one\r\n\ntwo\nthree\n";
        for cut in 0..text.len() {
            let mut lines = LineDecoder::new(10);
            let mut seen = Vec::new();
            for part in [&text[..cut], &text[cut..]] {
                lines.push(part);
                while let Some(line) = lines.next().unwrap() {
                    seen.push(line.to_vec());
                }
            }
            assert_eq!(seen, [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]);
        }
    }

    #[test]
    fn a_line_without_end_is_turned_down_and_not_held() {
        let mut lines = LineDecoder::new(4);
        lines.push(b"12345");
        assert_eq!(lines.next(), Err(LineTooLong(4)));
    }
}
