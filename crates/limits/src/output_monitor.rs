//! Flow control: which connections are closed because their peers do not read, and when input is left unread because too
//! much output waits.
//!
//! Output that a socket does not take at once waits in memory. Its amount alone says nothing about the peer: one turn of an
//! event loop can collect any number of answers before the peer had a chance to read. A peer is judged by what it takes
//! over time. The memory is bounded for all connections together: input that causes output is not read while too much
//! waits, and then peers that take nothing are closed sooner.
//!
//! No I/O: the user of this module passes the time, reports each change of the waiting output, and does what is returned.

use std::collections::BTreeMap;
use std::time::Duration;

/// A peer with more waiting than its limit is closed if it takes less than [`MIN_PROGRESS_OCTETS`] in this time. Longer
/// than a short hang or a network fault that callers outlive.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The same for each peer with waiting output while the memory for all connections is scarce.
pub const SCARCE_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// What a reading peer takes at least: one message of maximum length.
pub const MIN_PROGRESS_OCTETS: usize = 16 << 10;

/// The waiting output of one connection.
#[derive(Clone, Copy, Debug)]
struct WaitingOutput {
    octets: usize,
    /// Octets that may wait without the peer being judged.
    limit: usize,
    /// Since when the peer has taken no more than `taken`.
    since: Duration,
    taken: usize,
}

/// A connection whose peer does not read, and is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalledPeer<K> {
    pub connection: K,
    /// Octets that wait for it.
    pub waiting: usize,
    /// Octets that it has taken within `stalled_for`.
    pub taken: usize,
    pub stalled_for: Duration,
}

/// The waiting output of all connections of a process, by a key that identifies a connection.
#[derive(Debug)]
pub struct OutputMonitor<K> {
    by_connection: BTreeMap<K, WaitingOutput>,
    total_octets: usize,
    max_total_octets: usize,
}

impl<K: Copy + Ord> OutputMonitor<K> {
    /// Monitors connections whose output may take up `max_total_octets` of memory together.
    pub fn new(max_total_octets: usize) -> Self {
        Self { by_connection: BTreeMap::new(), total_octets: 0, max_total_octets }
    }

    /// Reports the output that waits for a connection, after some was added or a write was attempted. `taken`: octets that
    /// the socket has taken since the last report. `limit`: octets that may wait without the peer being judged.
    pub fn update(&mut self, now: Duration, connection: K, waiting: usize, taken: usize, limit: usize) {
        if waiting == 0 {
            return self.remove(connection);
        }
        let new = WaitingOutput { octets: 0, limit, since: now, taken: 0 };
        let output = self.by_connection.entry(connection).or_insert(new);
        self.total_octets = self.total_octets - output.octets + waiting;
        output.octets = waiting;
        output.taken += taken;
        if output.taken >= MIN_PROGRESS_OCTETS {
            (output.since, output.taken) = (now, 0);
        }
    }

    /// Forgets a connection that is closed.
    pub fn remove(&mut self, connection: K) {
        if let Some(output) = self.by_connection.remove(&connection) {
            self.total_octets -= output.octets;
        }
    }

    /// Octets that wait for all connections.
    pub fn total_octets(&self) -> usize {
        self.total_octets
    }

    /// Whether so much waits that input that causes more output is to be left unread.
    pub fn is_scarce(&self) -> bool {
        self.is_scarce_with(self.total_octets)
    }

    fn is_scarce_with(&self, total_octets: usize) -> bool {
        total_octets >= self.max_total_octets / 2
    }

    /// Whether requests may be read from a peer that gets its answers on the same connection. `waiting` and `limit` are
    /// those of its output.
    pub fn accepts_requests(&self, waiting: usize, limit: usize) -> bool {
        waiting <= limit && (waiting == 0 || !self.is_scarce())
    }

    /// Whether [`OutputMonitor::stalled`] has to be called from time to time.
    pub fn has_waiting(&self) -> bool {
        !self.by_connection.is_empty()
    }

    /// The connections to be closed, those with most waiting first. To be called after a write was attempted on all
    /// connections.
    pub fn stalled(&self, now: Duration) -> Vec<StalledPeer<K>> {
        let is_exhausted = self.total_octets > self.max_total_octets;
        let may_be_stalled =
            |output: &WaitingOutput| is_exhausted || output.since + SCARCE_STALL_TIMEOUT <= now;
        let mut peers: Vec<_> = self
            .by_connection
            .iter()
            .filter(|(_, output)| may_be_stalled(output))
            .map(|(connection, output)| {
                let stalled_for = now.saturating_sub(output.since);
                let peer = StalledPeer {
                    connection: *connection,
                    waiting: output.octets,
                    taken: output.taken,
                    stalled_for,
                };
                (peer, output.limit)
            })
            .collect();
        peers.sort_by_key(|(peer, _)| std::cmp::Reverse(peer.waiting));
        let mut remaining = self.total_octets;
        peers.retain(|(peer, limit)| {
            let over_limit = peer.waiting > *limit && peer.stalled_for >= STALL_TIMEOUT;
            let scarce = self.is_scarce_with(remaining) && peer.stalled_for >= SCARCE_STALL_TIMEOUT;
            // Reading is paused long before, so only a fault in that gets here. The bound holds nevertheless.
            let exhausted = remaining > self.max_total_octets;
            let stalled = over_limit || scarce || exhausted;
            if stalled {
                remaining -= peer.waiting;
            }
            stalled
        });
        peers.into_iter().map(|(peer, _)| peer).collect()
    }
}
