//! The octets that wait to be written to one connection. Nothing is dropped: the owner decides by what the peer takes over
//! time whether to close it, see `OutputMonitor` of `mintstall-limits`.

use std::collections::VecDeque;

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
    /// The messages in `pending` that can be taken back as long as nothing of them is written, in order.
    revocable: VecDeque<RevocableMessage>,
}

/// A message that can be taken back.
#[derive(Clone, Copy, Debug)]
struct RevocableMessage {
    key: u64,
    /// Where it begins in `pending`.
    start: usize,
    octets: usize,
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
        Self {
            pending: Vec::new(),
            written: 0,
            unattempted: 0,
            limit,
            ending: Ending::No,
            revocable: VecDeque::new(),
        }
    }

    /// Adds octets to be written.
    pub fn push(&mut self, octets: &[u8]) {
        if self.ending == Ending::No {
            self.unattempted += octets.len();
            self.pending.extend_from_slice(octets);
        }
    }

    /// Adds a message that can be taken back by its key until some of it is written.
    pub fn push_revocable(&mut self, key: u64, octets: &[u8]) {
        if self.ending == Ending::No {
            let message = RevocableMessage { key, start: self.pending.len(), octets: octets.len() };
            self.revocable.push_back(message);
            self.push(octets);
        }
    }

    /// Takes a message back. Returns whether nothing of it was written.
    pub fn revoke(&mut self, key: u64) -> bool {
        let Some(position) = self.revocable.iter().position(|message| message.key == key) else {
            return false;
        };
        let Some(revoked) = self.revocable.remove(position).filter(|message| message.start >= self.written)
        else {
            return false;
        };
        self.pending.drain(revoked.start..revoked.start + revoked.octets);
        self.unattempted = self.unattempted.saturating_sub(revoked.octets);
        for later in self.revocable.iter_mut().skip(position) {
            later.start -= revoked.octets;
        }
        true
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
        let is_complete = self.write_pending(writer)?;
        let written = self.written;
        while self.revocable.pop_front_if(|message| message.start < written).is_some() {}
        if is_complete {
            self.revocable.clear();
            self.pending.clear();
            self.pending.shrink_to(MAX_IDLE_CAPACITY);
            self.written = 0;
        } else {
            self.release_written();
        }
        Ok(is_complete)
    }

    /// Writes until the writer would block, `Ok(false)`, or all is written.
    fn write_pending(&mut self, writer: &mut impl std::io::Write) -> std::io::Result<bool> {
        while self.waiting() > 0 {
            match writer.write(&self.pending[self.written..]) {
                Ok(0) => return Err(std::io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Releases the memory of what is written, once that is at least as much as what waits: each octet is moved a bounded
    /// number of times.
    fn release_written(&mut self) {
        if self.written >= self.waiting() {
            let released = std::mem::take(&mut self.written);
            self.pending.drain(..released);
            self.revocable.iter_mut().for_each(|message| message.start -= released);
            self.pending.shrink_to((2 * self.pending.len()).max(MAX_IDLE_CAPACITY));
        }
    }
}

#[cfg(test)]
mod tests;
