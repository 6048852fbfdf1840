//! The octets that wait to be written to one connection. Nothing is dropped: the owner decides by what the peer takes over
//! time whether to close it, see `OutputMonitor` of `mintstall-limits`.

/// Octets that wait to be written to one connection.
#[derive(Debug)]
pub struct OutputBuffer {
    pending: Vec<u8>,
    /// Octets of `pending` that are written already.
    written: usize,
    /// Octets added since the last attempt to write.
    unattempted: usize,
    /// Octets that may wait without the peer being judged by what it takes.
    limit: usize,
    ending: Ending,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    No,
    /// The last octets were pushed: the connection is to be closed once they are written.
    LastPushed,
}

/// Octets that may wait for a connection: some seconds of a link at 1,000 calls/s.
pub const DEFAULT_OUTPUT_LIMIT: usize = 1 << 20;

/// Capacity in octets that an empty buffer keeps at most. Thousands of connections are idle at a time, and larger buffers
/// would hold memory without use.
const MAX_IDLE_CAPACITY: usize = 4 << 10;

impl Default for OutputBuffer {
    fn default() -> Self {
        Self::new(DEFAULT_OUTPUT_LIMIT)
    }
}

impl OutputBuffer {
    /// A buffer in which `limit` octets may wait without the peer being judged.
    pub fn new(limit: usize) -> Self {
        Self { pending: Vec::new(), written: 0, unattempted: 0, limit, ending: Ending::No }
    }

    /// Adds octets to be written.
    pub fn push(&mut self, octets: &[u8]) {
        if self.ending == Ending::No {
            self.unattempted += octets.len();
            self.pending.extend_from_slice(octets);
        }
    }

    /// Adds the last octets, which tell the peer why the connection ends. Octets pushed later are dropped.
    pub fn push_last(&mut self, octets: &[u8]) {
        self.ending = Ending::LastPushed;
        self.unattempted += octets.len();
        self.pending.extend_from_slice(octets);
    }

    /// Octets that may wait without the peer being judged.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Octets that wait to be written.
    pub fn waiting(&self) -> usize {
        self.pending.len() - self.written
    }

    /// Octets added since the last attempt to write. A peer can't have read them.
    pub fn unattempted(&self) -> usize {
        self.unattempted
    }

    /// Whether [`OutputBuffer::push_last`] was called.
    pub fn last_pushed(&self) -> bool {
        self.ending == Ending::LastPushed
    }

    /// Writes until the writer would block or the buffer is empty; `Ok(true)`: it is empty.
    pub fn write_to(&mut self, writer: &mut impl std::io::Write) -> std::io::Result<bool> {
        self.unattempted = 0;
        while self.waiting() > 0 {
            match writer.write(&self.pending[self.written..]) {
                Ok(0) => return Err(std::io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    self.release_written();
                    return Ok(false);
                }
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.pending.clear();
        self.pending.shrink_to(MAX_IDLE_CAPACITY);
        self.written = 0;
        Ok(true)
    }

    /// Releases the memory of what is written, once that is at least as much as what waits: each octet is moved a bounded
    /// number of times.
    fn release_written(&mut self) {
        if self.written >= self.waiting() {
            self.pending.drain(..std::mem::take(&mut self.written));
            self.pending.shrink_to((2 * self.pending.len()).max(MAX_IDLE_CAPACITY));
        }
    }
}

#[cfg(test)]
mod tests;
