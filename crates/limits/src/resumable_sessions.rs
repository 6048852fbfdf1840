//! Sessions that can be resumed after their connection was lost.
//!
//! A client that asks for it gets a key to its session that nobody else has. When the connection is lost, the session and its
//! calls are kept for a limited time. A client that presents the key, and the token with which the session was opened, resumes
//! it. A session that is not resumed in time ends, and its calls are hung up.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use thiserror::Error;

use crate::session_limiter::SessionId;

/// The key to a session: 128 random bits, so that it can't be guessed. Drawn by the caller of [`ResumableSessions::register`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u128);

/// Shows only the first 16 bits: who reads a log must not be able to resume a session.
impl std::fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "SessionKey({:04x}..)", self.0 >> 112)
    }
}

/// What happens to a session whose connection was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DisconnectOutcome {
    /// The session ends at once.
    Ended,
    /// The session is kept until then. The evicted sessions, oldest first, exceeded the limit and have ended.
    Kept { until: Duration, evicted: Vec<SessionId> },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResumeError {
    #[error("no such session is kept: it was never opened, or is over")]
    Unknown,
    #[error("the session was opened with another token")]
    WrongToken,
}

#[derive(Debug)]
struct Entry {
    key: SessionKey,
    /// Name of the token with which the session was opened.
    owner: Option<String>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// Without a connection, and kept until then.
    Disconnected {
        until: Duration,
    },
}

/// Sessions that can be resumed, until they end; disconnected ones until their time is up.
#[derive(Debug)]
pub struct ResumableSessions {
    retention: Duration,
    max_disconnected: usize,
    entries: BTreeMap<SessionId, Entry>,
    keys: BTreeMap<SessionKey, SessionId>,
    /// Disconnected sessions, oldest first. Entries of sessions that were resumed or have ended stay until their turn.
    disconnected: VecDeque<(Duration, SessionId)>,
    disconnected_count: usize,
}

impl ResumableSessions {
    /// Disconnected sessions are kept for `retention`, at most `max_disconnected` at a time.
    pub fn new(retention: Duration, max_disconnected: usize) -> Self {
        let (entries, keys) = (BTreeMap::new(), BTreeMap::new());
        Self {
            retention,
            max_disconnected,
            entries,
            keys,
            disconnected: VecDeque::new(),
            disconnected_count: 0,
        }
    }

    pub fn retention(&self) -> Duration {
        self.retention
    }

    /// How many sessions are kept without a connection.
    pub fn kept_count(&self) -> usize {
        self.disconnected_count
    }

    /// Makes a session resumable under a new key.
    pub fn register(&mut self, session: SessionId, key: SessionKey, owner: Option<String>) {
        self.remove(session);
        self.keys.insert(key, session);
        self.entries.insert(session, Entry { key, owner, state: State::Open });
    }

    /// Whether a session can be resumed when its connection is lost.
    pub fn is_registered(&self, session: SessionId) -> bool {
        self.max_disconnected > 0 && self.entries.contains_key(&session)
    }

    /// The connection of a session was lost.
    pub fn on_disconnect(&mut self, now: Duration, session: SessionId) -> DisconnectOutcome {
        let until = now + self.retention;
        let Some(entry) = self.entries.get_mut(&session).filter(|entry| entry.state == State::Open) else {
            return DisconnectOutcome::Ended;
        };
        if self.max_disconnected == 0 {
            self.remove(session);
            return DisconnectOutcome::Ended;
        }
        entry.state = State::Disconnected { until };
        self.disconnected.push_back((until, session));
        self.disconnected_count += 1;
        let mut evicted = Vec::new();
        while self.disconnected_count > self.max_disconnected {
            evicted.extend(self.remove_oldest());
        }
        DisconnectOutcome::Kept { until, evicted }
    }

    /// Resumes a session by its key. The session may still have a connection that looks open here: the client notices the loss
    /// first, and the session moves to its new connection.
    pub fn resume(
        &mut self,
        now: Duration,
        key: SessionKey,
        owner: Option<&str>,
    ) -> Result<SessionId, ResumeError> {
        let session = *self.keys.get(&key).ok_or(ResumeError::Unknown)?;
        let entry = self.entries.get_mut(&session).ok_or(ResumeError::Unknown)?;
        if entry.owner.as_deref() != owner {
            return Err(ResumeError::WrongToken);
        }
        match entry.state {
            State::Open => Ok(session),
            State::Disconnected { until } if until <= now => Err(ResumeError::Unknown),
            State::Disconnected { .. } => {
                entry.state = State::Open;
                self.disconnected_count -= 1;
                Ok(session)
            }
        }
    }

    /// Removes a session that has ended.
    pub fn remove(&mut self, session: SessionId) {
        if let Some(entry) = self.entries.remove(&session) {
            self.keys.remove(&entry.key);
            self.disconnected_count -= usize::from(entry.state != State::Open);
        }
    }

    /// When [`ResumableSessions::take_expired`] must be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        let is_current = |(until, session): &&(Duration, SessionId)| self.is_disconnected(*session, *until);
        self.disconnected.iter().find(is_current).map(|(until, _)| *until)
    }

    /// Removes and returns the sessions that were not resumed in time.
    pub fn take_expired(&mut self, now: Duration) -> Vec<SessionId> {
        let mut expired = Vec::new();
        while self
            .disconnected
            .front()
            .is_some_and(|(until, session)| *until <= now || !self.is_disconnected(*session, *until))
        {
            expired.extend(self.remove_oldest());
        }
        expired
    }

    fn is_disconnected(&self, session: SessionId, until: Duration) -> bool {
        self.entries.get(&session).is_some_and(|entry| entry.state == State::Disconnected { until })
    }

    /// Removes the oldest entry of `disconnected`, and its session unless that was resumed or has ended.
    fn remove_oldest(&mut self) -> Option<SessionId> {
        let (until, session) = self.disconnected.pop_front()?;
        self.is_disconnected(session, until).then(|| self.remove(session)).map(|()| session)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RETENTION: Duration = Duration::from_secs(30);

    fn at(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    fn one_session() -> ResumableSessions {
        let mut sessions = ResumableSessions::new(RETENTION, 2);
        sessions.register(SessionId(1), SessionKey(11), Some("apps".into()));
        sessions
    }

    #[test]
    fn a_disconnected_session_is_resumed_only_by_its_key_and_token() {
        let mut sessions = one_session();
        assert_eq!(
            sessions.resume(at(1), SessionKey(11), Some("apps")),
            Ok(SessionId(1)),
            "the loss of its connection is not known here yet"
        );
        assert_eq!(
            sessions.on_disconnect(at(1), SessionId(1)),
            DisconnectOutcome::Kept { until: at(31), evicted: vec![] }
        );
        assert_eq!(sessions.resume(at(2), SessionKey(12), Some("apps")), Err(ResumeError::Unknown));
        assert_eq!(sessions.resume(at(2), SessionKey(11), None), Err(ResumeError::WrongToken));
        assert_eq!(sessions.resume(at(2), SessionKey(11), Some("apps")), Ok(SessionId(1)));
        assert_eq!((sessions.kept_count(), sessions.next_timer()), (0, None));
        assert_eq!(sessions.take_expired(at(99)), []);
    }

    #[test]
    fn a_session_that_is_not_resumed_expires_once() {
        let mut sessions = one_session();
        sessions.on_disconnect(at(1), SessionId(1));
        assert_eq!(sessions.next_timer(), Some(at(31)));
        assert_eq!(sessions.take_expired(at(30)), []);
        assert_eq!(
            sessions.resume(at(31), SessionKey(11), Some("apps")),
            Err(ResumeError::Unknown),
            "too late"
        );
        assert_eq!(sessions.take_expired(at(31)), [SessionId(1)]);
        assert_eq!(
            (sessions.take_expired(at(32)), sessions.entries.len(), sessions.keys.len()),
            (vec![], 0, 0)
        );
    }

    #[test]
    fn a_resumed_session_that_is_disconnected_again_is_kept_from_then_on() {
        let mut sessions = one_session();
        sessions.on_disconnect(at(1), SessionId(1));
        sessions.resume(at(20), SessionKey(11), Some("apps")).unwrap();
        sessions.on_disconnect(at(25), SessionId(1));
        assert_eq!((sessions.take_expired(at(40)), sessions.next_timer()), (vec![], Some(at(55))));
    }

    #[test]
    fn the_oldest_disconnected_session_is_evicted_when_there_are_too_many() {
        let mut sessions = ResumableSessions::new(RETENTION, 2);
        (1..=4).for_each(|id| sessions.register(SessionId(id), SessionKey(id.into()), None));
        sessions.on_disconnect(at(1), SessionId(1));
        sessions.on_disconnect(at(2), SessionId(2));
        assert_eq!(
            sessions.on_disconnect(at(3), SessionId(3)),
            DisconnectOutcome::Kept { until: at(33), evicted: vec![SessionId(1)] }
        );
        sessions.remove(SessionId(2));
        assert_eq!(
            sessions.on_disconnect(at(4), SessionId(4)),
            DisconnectOutcome::Kept { until: at(34), evicted: vec![] }
        );
        assert_eq!(sessions.kept_count(), 2);
        assert_eq!(sessions.on_disconnect(at(5), SessionId(9)), DisconnectOutcome::Ended, "never registered");
        assert_eq!(format!("{:?}", SessionKey(u128::MAX)), "SessionKey(ffff..)");
    }
}
