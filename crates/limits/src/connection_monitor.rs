//! Which connections are still there: those that never say who they are, that fall silent, or that do not close when told.
//!
//! A connection that is cut without a word (a phone out of reach, a machine without power) looks open for as long as nobody
//! writes to it. One that has been silent is asked for a sign of life, and dropped when none comes. Times are looked at when
//! they fall due, not when something is heard, so that a busy connection costs nothing here.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use thiserror::Error;

/// How long each state of a connection may last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// For the opening handshake, and how many may be at it at a time.
    pub handshake_timeout: Duration,
    pub max_handshakes: usize,
    /// Silence after which a sign of life is asked for, and how long it may take.
    pub idle_timeout: Duration,
    pub pong_timeout: Duration,
    /// For the closing handshake.
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

/// Why a connection is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TimeoutCause {
    #[error("has not opened in time")]
    Handshake,
    #[error("gives no sign of life")]
    Pong,
    #[error("does not close")]
    Close,
}

/// What is to be done about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MonitorAction<K> {
    Ping(K),
    Drop(K, TimeoutCause),
}

/// So many are opening already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0} connections are opening already")]
pub struct TooManyHandshakes(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Open {
        heard: Duration,
    },
    /// Asked for a sign of life, none heard since.
    Asked,
    Closing,
}

#[derive(Debug)]
struct Watched {
    state: State,
    due: Duration,
}

/// All connections of one kind. Emptied as they go.
#[derive(Debug)]
pub struct ConnectionMonitor<K> {
    patience: ConnectionTimeouts,
    watched: BTreeMap<K, Watched>,
    due: BTreeSet<(Duration, K)>,
    opening: usize,
}

impl<K: Copy + Ord> ConnectionMonitor<K> {
    pub fn new(patience: ConnectionTimeouts) -> Self {
        Self { patience, watched: BTreeMap::new(), due: BTreeSet::new(), opening: 0 }
    }

    pub fn len(&self) -> usize {
        self.watched.len()
    }

    pub fn is_empty(&self) -> bool {
        self.watched.is_empty()
    }

    /// Those that have not said who they are.
    pub fn handshakes(&self) -> usize {
        self.opening
    }

    /// A connection came in.
    pub fn add(&mut self, now: Duration, key: K) -> Result<(), TooManyHandshakes> {
        if self.opening >= self.patience.max_handshakes {
            return Err(TooManyHandshakes(self.opening));
        }
        self.remove(key);
        self.set(key, State::Opening, now + self.patience.handshake_timeout);
        Ok(())
    }

    /// It has said who it is.
    pub fn on_open(&mut self, now: Duration, key: K) {
        if self.watched.get(&key).is_some_and(|watched| watched.state == State::Opening) {
            self.set(key, State::Open { heard: now }, now + self.patience.idle_timeout);
        }
    }

    /// Something came on it.
    pub fn on_received(&mut self, now: Duration, key: K) {
        let Some(watched) = self.watched.get_mut(&key) else { return };
        match watched.state {
            State::Open { .. } => watched.state = State::Open { heard: now },
            State::Asked => self.set(key, State::Open { heard: now }, now + self.patience.idle_timeout),
            State::Opening | State::Closing => {}
        }
    }

    /// It was told to close.
    pub fn start_close(&mut self, now: Duration, key: K) {
        if self.watched.get(&key).is_some_and(|watched| watched.state != State::Closing) {
            self.set(key, State::Closing, now + self.patience.close_timeout);
        }
    }

    pub fn remove(&mut self, key: K) {
        if let Some(watched) = self.watched.remove(&key) {
            self.due.remove(&(watched.due, key));
            self.opening -= usize::from(watched.state == State::Opening);
        }
    }

    fn set(&mut self, key: K, state: State, due: Duration) {
        self.remove(key);
        self.opening += usize::from(state == State::Opening);
        self.watched.insert(key, Watched { state, due });
        self.due.insert((due, key));
    }

    /// When [`ConnectionMonitor::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        self.due.first().map(|(due, _)| *due)
    }

    /// What has fallen due. What is to be dropped is still watched until it is [`ConnectionMonitor::remove`], and told once.
    pub fn on_timer(&mut self, now: Duration) -> Vec<MonitorAction<K>> {
        let mut all = Vec::new();
        while let Some((due, key)) = self.due.first().copied()
            && due <= now
        {
            self.due.remove(&(due, key));
            let Some(state) = self.watched.get(&key).map(|watched| watched.state) else { continue };
            match state {
                State::Open { heard } if heard + self.patience.idle_timeout > now => {
                    self.set(key, state, heard + self.patience.idle_timeout);
                }
                State::Open { .. } => {
                    self.set(key, State::Asked, now + self.patience.pong_timeout);
                    all.push(MonitorAction::Ping(key));
                }
                State::Opening => all.push(MonitorAction::Drop(key, TimeoutCause::Handshake)),
                State::Asked => all.push(MonitorAction::Drop(key, TimeoutCause::Pong)),
                State::Closing => all.push(MonitorAction::Drop(key, TimeoutCause::Close)),
            }
        }
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    fn vigil() -> ConnectionMonitor<u32> {
        ConnectionMonitor::new(ConnectionTimeouts { max_handshakes: 2, ..ConnectionTimeouts::default() })
    }

    #[test]
    fn one_that_never_says_who_it_is_is_dropped_and_leaves_its_place() {
        let mut vigil = vigil();
        vigil.add(at(1), 1).unwrap();
        vigil.add(at(2), 2).unwrap();
        assert_eq!(vigil.add(at(2), 3), Err(TooManyHandshakes(2)));
        vigil.on_open(at(2), 2);
        assert_eq!((vigil.handshakes(), vigil.add(at(3), 3)), (1, Ok(())));
        assert_eq!(vigil.next_timer(), Some(at(6)));
        assert_eq!(vigil.on_timer(at(6)), [MonitorAction::Drop(1, TimeoutCause::Handshake)]);
        assert_eq!(vigil.on_timer(at(7)), [], "told once");
        vigil.remove(1);
        assert_eq!((vigil.handshakes(), vigil.len()), (1, 2));
    }

    #[test]
    fn a_silent_one_is_asked_and_dropped_a_busy_one_is_neither() {
        let mut vigil = vigil();
        for key in 1..=2 {
            vigil.add(at(0), key).unwrap();
            vigil.on_open(at(0), key);
        }
        vigil.on_received(at(19), 2);
        assert_eq!(vigil.on_timer(at(20)), [MonitorAction::Ping(1)]);
        assert_eq!(
            vigil.on_timer(at(39)),
            [MonitorAction::Drop(1, TimeoutCause::Pong), MonitorAction::Ping(2)]
        );
        vigil.remove(1);
        vigil.on_received(at(40), 2);
        assert_eq!((vigil.on_timer(at(59)), vigil.on_timer(at(60))), (vec![], vec![MonitorAction::Ping(2)]));
    }

    #[test]
    fn one_told_to_close_is_given_so_long_whatever_it_still_says() {
        let mut vigil = vigil();
        vigil.add(at(0), 1).unwrap();
        vigil.on_open(at(0), 1);
        vigil.start_close(at(1), 1);
        vigil.on_received(at(2), 1);
        vigil.start_close(at(2), 1);
        assert_eq!(vigil.on_timer(at(3)), [MonitorAction::Drop(1, TimeoutCause::Close)]);
        vigil.remove(1);
        assert_eq!((vigil.is_empty(), vigil.next_timer()), (true, None));
    }
}
