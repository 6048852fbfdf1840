//! Timeouts of connections: the opening handshake, idle time with pings, and the closing handshake.
//!
//! A connection whose peer vanished without closing it (a phone out of reach, a machine without power) looks open for as long
//! as nothing is written to it. An idle connection is therefore pinged, and dropped when no answer comes. Deadlines are checked
//! when they expire and not moved on each receipt, so that a busy connection costs almost nothing here.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use thiserror::Error;

/// How long each state of a connection may last, and how many connections may be in the opening handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Time for the opening handshake.
    pub handshake_timeout: Duration,
    /// Connections that may be in the opening handshake at a time.
    pub max_handshakes: usize,
    /// Time without received data after which a ping is sent.
    pub idle_timeout: Duration,
    /// Time for anything to be received after a ping.
    pub pong_timeout: Duration,
    /// Time for the closing handshake.
    pub close_timeout: Duration,
}

impl Default for ConnectionTimeouts {
    fn default() -> Self {
        Self {
            handshake_timeout: Duration::from_secs(5),
            max_handshakes: 1_000,
            idle_timeout: Duration::from_secs(20),
            pong_timeout: Duration::from_secs(10),
            close_timeout: Duration::from_secs(2),
        }
    }
}

/// Which timeout of a connection expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TimeoutCause {
    #[error("has not opened in time")]
    Handshake,
    #[error("gives no sign of life")]
    Pong,
    #[error("does not close")]
    Close,
}

/// What the owner of a connection has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MonitorAction<K> {
    Ping(K),
    Drop(K, TimeoutCause),
}

/// A connection is not accepted: this many are in the opening handshake already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0} connections are opening already")]
pub struct TooManyHandshakes(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Open {
        last_received: Duration,
    },
    /// A ping was sent and nothing was received since.
    PingSent,
    Closing,
}

#[derive(Debug)]
struct Connection {
    state: State,
    deadline: Duration,
}

/// All connections of one kind, until they are removed.
#[derive(Debug)]
pub struct ConnectionMonitor<K> {
    timeouts: ConnectionTimeouts,
    connections: BTreeMap<K, Connection>,
    deadlines: BTreeSet<(Duration, K)>,
    handshakes: usize,
}

impl<K: Copy + Ord> ConnectionMonitor<K> {
    pub fn new(timeouts: ConnectionTimeouts) -> Self {
        Self { timeouts, connections: BTreeMap::new(), deadlines: BTreeSet::new(), handshakes: 0 }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Connections in the opening handshake.
    pub fn handshakes(&self) -> usize {
        self.handshakes
    }

    /// Starts the timeout of the opening handshake of a new connection.
    pub fn add(&mut self, now: Duration, key: K) -> Result<(), TooManyHandshakes> {
        self.add_with_timeout(now, key, self.timeouts.handshake_timeout)
    }

    /// As [`ConnectionMonitor::add`], with another timeout than the configured one.
    pub fn add_with_timeout(
        &mut self,
        now: Duration,
        key: K,
        handshake_timeout: Duration,
    ) -> Result<(), TooManyHandshakes> {
        if self.handshakes >= self.timeouts.max_handshakes {
            return Err(TooManyHandshakes(self.handshakes));
        }
        self.remove(key);
        self.set(key, State::Opening, now + handshake_timeout);
        Ok(())
    }

    /// The opening handshake of a connection is complete.
    pub fn on_open(&mut self, now: Duration, key: K) {
        if self.connections.get(&key).is_some_and(|connection| connection.state == State::Opening) {
            self.set(key, State::Open { last_received: now }, now + self.timeouts.idle_timeout);
        }
    }

    /// Data was received on a connection.
    pub fn on_received(&mut self, now: Duration, key: K) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        match connection.state {
            State::Open { .. } => connection.state = State::Open { last_received: now },
            State::PingSent => {
                self.set(key, State::Open { last_received: now }, now + self.timeouts.idle_timeout)
            }
            State::Opening | State::Closing => {}
        }
    }

    /// Starts the timeout of the closing handshake.
    pub fn start_close(&mut self, now: Duration, key: K) {
        if self.connections.get(&key).is_some_and(|connection| connection.state != State::Closing) {
            self.set(key, State::Closing, now + self.timeouts.close_timeout);
        }
    }

    pub fn remove(&mut self, key: K) {
        if let Some(connection) = self.connections.remove(&key) {
            self.deadlines.remove(&(connection.deadline, key));
            self.handshakes -= usize::from(connection.state == State::Opening);
        }
    }

    fn set(&mut self, key: K, state: State, deadline: Duration) {
        self.remove(key);
        self.handshakes += usize::from(state == State::Opening);
        self.connections.insert(key, Connection { state, deadline });
        self.deadlines.insert((deadline, key));
    }

    /// When [`ConnectionMonitor::on_timer`] must be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the actions whose time has come. A connection to be dropped is reported once, and is kept until
    /// [`ConnectionMonitor::remove`] is called.
    pub fn on_timer(&mut self, now: Duration) -> Vec<MonitorAction<K>> {
        let mut actions = Vec::new();
        while let Some((deadline, key)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.remove(&(deadline, key));
            let Some(state) = self.connections.get(&key).map(|connection| connection.state) else { continue };
            match state {
                State::Open { last_received } if last_received + self.timeouts.idle_timeout > now => {
                    self.set(key, state, last_received + self.timeouts.idle_timeout);
                }
                State::Open { .. } => {
                    self.set(key, State::PingSent, now + self.timeouts.pong_timeout);
                    actions.push(MonitorAction::Ping(key));
                }
                State::Opening => actions.push(MonitorAction::Drop(key, TimeoutCause::Handshake)),
                State::PingSent => actions.push(MonitorAction::Drop(key, TimeoutCause::Pong)),
                State::Closing => actions.push(MonitorAction::Drop(key, TimeoutCause::Close)),
            }
        }
        actions
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    fn monitor() -> ConnectionMonitor<u32> {
        ConnectionMonitor::new(ConnectionTimeouts { max_handshakes: 2, ..ConnectionTimeouts::default() })
    }

    #[test]
    fn a_connection_that_does_not_finish_its_handshake_is_dropped_and_frees_its_place() {
        let mut monitor = monitor();
        monitor.add(at(1), 1).unwrap();
        monitor.add(at(2), 2).unwrap();
        assert_eq!(monitor.add(at(2), 3), Err(TooManyHandshakes(2)));
        monitor.on_open(at(2), 2);
        assert_eq!((monitor.handshakes(), monitor.add(at(3), 3)), (1, Ok(())));
        assert_eq!(monitor.next_timer(), Some(at(6)));
        assert_eq!(monitor.on_timer(at(6)), [MonitorAction::Drop(1, TimeoutCause::Handshake)]);
        assert_eq!(monitor.on_timer(at(7)), [], "reported once");
        monitor.remove(1);
        assert_eq!((monitor.handshakes(), monitor.len()), (1, 2));
    }

    #[test]
    fn a_silent_connection_is_pinged_and_dropped_and_a_busy_one_is_kept() {
        let mut monitor = monitor();
        for key in 1..=2 {
            monitor.add(at(0), key).unwrap();
            monitor.on_open(at(0), key);
        }
        monitor.on_received(at(19), 2);
        assert_eq!(monitor.on_timer(at(20)), [MonitorAction::Ping(1)]);
        assert_eq!(
            monitor.on_timer(at(39)),
            [MonitorAction::Drop(1, TimeoutCause::Pong), MonitorAction::Ping(2)]
        );
        monitor.remove(1);
        monitor.on_received(at(40), 2);
        assert_eq!(
            (monitor.on_timer(at(59)), monitor.on_timer(at(60))),
            (vec![], vec![MonitorAction::Ping(2)])
        );
    }

    #[test]
    fn data_received_while_closing_does_not_extend_the_close_timeout() {
        let mut monitor = monitor();
        monitor.add(at(0), 1).unwrap();
        monitor.on_open(at(0), 1);
        monitor.start_close(at(1), 1);
        monitor.on_received(at(2), 1);
        monitor.start_close(at(2), 1);
        assert_eq!(monitor.on_timer(at(3)), [MonitorAction::Drop(1, TimeoutCause::Close)]);
        monitor.remove(1);
        assert_eq!((monitor.is_empty(), monitor.next_timer()), (true, None));
    }
}
