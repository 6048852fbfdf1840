//! Connections to the event bus: when one is opened, kept or given up. No I/O.
//!
//! A crowded bus accepts a connection at once and serves it later, in turn. A controller that gives such a connection up
//! loses its place, and may never be served. So the connection that has waited longest is kept, and another is opened
//! beside it in case the first is dead. The first on which something arrives is served, and the other is closed.

use std::time::Duration;

use crate::BusConnectionId;
use crate::reasons::BusLoss;

/// The bus sends something each second. A served connection is given up after this long without anything; beside one
/// that is not served for this long, another is opened.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2300);
/// The connection beside the oldest is replaced if it is not served in [`SILENCE_TIMEOUT`]. The time doubles with each
/// replacement, up to this maximum, so that a crowded bus is not burdened with connections that have been given up.
const MAX_SECOND_TIMEOUT: Duration = Duration::from_secs(20);
/// The connection that has waited longest is given up after this time.
const OLDEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for a connection to come up. It doubles with each failure, up to the maximum, since a crowded bus accepts late.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// After a loss, the next connection is opened after a random delay from the upper half of this span, which doubles with
/// each failure up to the maximum: all controllers lose the bus at the same time. Events count as known 6 s after the bus
/// can be reached, so the connect time-out and the delay together have to stay well below that.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1000);
/// The one that has waited longest, and one beside it.
const MAX_CONNECTIONS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    /// Up, and nothing has arrived on it yet.
    Waiting,
    Served,
}

#[derive(Clone, Copy, Debug)]
struct BusConnection {
    id: BusConnectionId,
    phase: Phase,
    /// When it entered that phase, or when something last arrived on it.
    since: Duration,
}

/// The connections of one controller to the event bus.
#[derive(Debug, Default)]
pub struct BusConnector {
    /// Oldest first.
    connections: Vec<BusConnection>,
    last_id: u64,
    /// Connections lost in a row on which nothing was received.
    failures: u32,
    /// Connections lost in a row that were up and not served.
    unserved: u32,
    /// After a loss, when the next connection may be opened.
    next_attempt: Duration,
}

impl BusConnector {
    /// The id of the connection to be opened now, if one is needed.
    pub fn next_connection(&mut self, now: Duration) -> Option<BusConnectionId> {
        let has_served = self.connections.iter().any(|connection| connection.phase == Phase::Served);
        let is_waiting_long = |connection: &BusConnection| {
            connection.phase == Phase::Waiting && connection.since + SILENCE_TIMEOUT < now
        };
        if now < self.next_attempt
            || has_served
            || self.connections.len() >= MAX_CONNECTIONS
            || !self.connections.iter().all(is_waiting_long)
        {
            return None;
        }
        self.last_id += 1;
        let id = BusConnectionId(self.last_id);
        self.connections.push(BusConnection { id, phase: Phase::Connecting, since: now });
        Some(id)
    }

    /// A connection has come up. Returns whether it is wanted.
    pub fn connected(&mut self, now: Duration, id: BusConnectionId) -> bool {
        let connection = self.connections.iter_mut().find(|connection| connection.id == id);
        let Some(connection) = connection else { return false };
        (connection.phase, connection.since) = (Phase::Waiting, now);
        true
    }

    /// Something has arrived on a connection, so it is served. Returns the others, which are to be closed, or `None` if
    /// the connection is not wanted.
    pub fn received(&mut self, now: Duration, id: BusConnectionId) -> Option<Vec<BusConnectionId>> {
        let position = self.connections.iter().position(|connection| connection.id == id)?;
        let served = self.connections.remove(position);
        let others = std::mem::take(&mut self.connections);
        self.connections.push(BusConnection { phase: Phase::Served, since: now, ..served });
        (self.failures, self.unserved) = (0, 0);
        Some(others.into_iter().map(|connection| connection.id).collect())
    }

    /// The connections that are to be given up now, and why.
    pub fn overdue(&self, now: Duration) -> Vec<(BusConnectionId, BusLoss)> {
        let oldest_waiting = self
            .connections
            .iter()
            .find(|connection| connection.phase == Phase::Waiting)
            .map(|oldest| oldest.id);
        let check = |connection: &BusConnection| {
            let (timeout, reason) = match connection.phase {
                Phase::Connecting => (
                    exponential_backoff(CONNECT_TIMEOUT, self.failures, MAX_CONNECT_TIMEOUT),
                    BusLoss::ConnectTimeout,
                ),
                Phase::Waiting if oldest_waiting == Some(connection.id) => {
                    (OLDEST_TIMEOUT, BusLoss::NotServed)
                }
                Phase::Waiting => (
                    exponential_backoff(SILENCE_TIMEOUT, self.unserved, MAX_SECOND_TIMEOUT),
                    BusLoss::NotServed,
                ),
                Phase::Served => (SILENCE_TIMEOUT, BusLoss::Silent),
            };
            (connection.since + timeout < now).then_some((connection.id, reason))
        };
        self.connections.iter().filter_map(check).collect()
    }

    /// A connection is lost or given up. `jitter` is a random number from 0.5 to 1. Returns how long the connection had
    /// been in its phase, and the delay before another may be opened; `None` if it was closed before.
    pub fn lost(&mut self, now: Duration, id: BusConnectionId, jitter: f64) -> Option<(Duration, Duration)> {
        let position = self.connections.iter().position(|connection| connection.id == id)?;
        let lost = self.connections.remove(position);
        let waited = now.saturating_sub(lost.since);
        if lost.phase == Phase::Waiting {
            self.unserved = self.unserved.saturating_add(1);
        }
        let delay = exponential_backoff(RECONNECT_DELAY, self.failures, MAX_RECONNECT_DELAY).mul_f64(jitter);
        self.failures = self.failures.saturating_add(1);
        self.next_attempt = now + delay;
        Some((waited, delay))
    }

    /// Forgets all connections, which are returned to be closed: the bus has moved.
    pub fn reset(&mut self) -> Vec<BusConnectionId> {
        let former = std::mem::take(self);
        self.last_id = former.last_id;
        former.connections.into_iter().map(|connection| connection.id).collect()
    }
}

/// A delay that doubles with each failure, limited to `max`.
pub fn exponential_backoff(initial: Duration, failures: u32, max: Duration) -> Duration {
    const MAX_DOUBLINGS: u32 = 8;
    max.min(initial * 2u32.pow(failures.min(MAX_DOUBLINGS)))
}
