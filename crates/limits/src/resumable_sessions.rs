//! Sessions that may be taken up again after their connection was cut: which, by whom, until when.
//!
//! A session that asked for it is known by a key that only its client has. When its connection is cut it is kept for a
//! while with all it has in hand; whoever comes with the key, and with the token it was opened with, takes it up. One
//! that nobody comes back for is over, and what it has in hand is hung up.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use thiserror::Error;

use crate::session_limiter::SessionId;

/// Drawn at random by whoever opens the session; 128 bits, so that none is guessed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u128);

/// Never shown whole: whoever reads a log must not take up a session.
impl std::fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "SessionKey({:04x}..)", self.0 >> 112)
    }
}

/// What becomes of a session whose connection is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DisconnectOutcome {
    /// The session is over at once.
    Ended,
    /// It is kept until then; these others had to go for it, the oldest first.
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
struct Known {
    key: SessionKey,
    /// The token it was opened with.
    owner: Option<String>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Cut { until: Duration },
}

/// Sessions that may be resumed. Emptied as they end; those that are cut by time too.
#[derive(Debug)]
pub struct ResumableSessions {
    span: Duration,
    most_cut: usize,
    known: BTreeMap<SessionId, Known>,
    keys: BTreeMap<SessionKey, SessionId>,
    /// Cut sessions, oldest first; may name some that were resumed or are over.
    cut: VecDeque<(Duration, SessionId)>,
    cut_count: usize,
}

impl ResumableSessions {
    /// Kept for `span` after a cut, at most `most_cut` at a time.
    pub fn new(span: Duration, most_cut: usize) -> Self {
        let (known, keys) = (BTreeMap::new(), BTreeMap::new());
        Self { span, most_cut, known, keys, cut: VecDeque::new(), cut_count: 0 }
    }

    pub fn retention(&self) -> Duration {
        self.span
    }

    /// Sessions kept without a connection.
    pub fn kept_count(&self) -> usize {
        self.cut_count
    }

    /// A session asks to be resumable, under a key that was just drawn.
    pub fn register(&mut self, session: SessionId, key: SessionKey, owner: Option<String>) {
        self.remove(session);
        self.keys.insert(key, session);
        self.known.insert(session, Known { key, owner, state: State::Open });
    }

    /// Its connection is gone.
    pub fn on_disconnect(&mut self, now: Duration, session: SessionId) -> DisconnectOutcome {
        let until = now + self.span;
        let Some(known) = self.known.get_mut(&session).filter(|known| known.state == State::Open) else {
            return DisconnectOutcome::Ended;
        };
        if self.most_cut == 0 {
            self.remove(session);
            return DisconnectOutcome::Ended;
        }
        known.state = State::Cut { until };
        self.cut.push_back((until, session));
        self.cut_count += 1;
        let mut evicted = Vec::new();
        while self.cut_count > self.most_cut {
            evicted.extend(self.oldest());
        }
        DisconnectOutcome::Kept { until, evicted }
    }

    /// Somebody comes back for a session. Its connection may still be open for all that is known here: whoever lost it
    /// knows first, and takes the session away from it.
    pub fn resume(
        &mut self,
        now: Duration,
        key: SessionKey,
        owner: Option<&str>,
    ) -> Result<SessionId, ResumeError> {
        let session = *self.keys.get(&key).ok_or(ResumeError::Unknown)?;
        let known = self.known.get_mut(&session).ok_or(ResumeError::Unknown)?;
        if known.owner.as_deref() != owner {
            return Err(ResumeError::WrongToken);
        }
        match known.state {
            State::Open => Ok(session),
            State::Cut { until } if until <= now => Err(ResumeError::Unknown),
            State::Cut { .. } => {
                known.state = State::Open;
                self.cut_count -= 1;
                Ok(session)
            }
        }
    }

    /// The session is over.
    pub fn remove(&mut self, session: SessionId) {
        if let Some(known) = self.known.remove(&session) {
            self.keys.remove(&known.key);
            self.cut_count -= usize::from(known.state != State::Open);
        }
    }

    /// When [`ResumableSessions::take_expired`] is next to be asked.
    pub fn next_timer(&self) -> Option<Duration> {
        let live = |(until, session): &&(Duration, SessionId)| self.is_cut(*session, *until);
        self.cut.iter().find(live).map(|(until, _)| *until)
    }

    /// Sessions that nobody came back for; they are over.
    pub fn take_expired(&mut self, now: Duration) -> Vec<SessionId> {
        let mut over = Vec::new();
        while self.cut.front().is_some_and(|(until, session)| *until <= now || !self.is_cut(*session, *until))
        {
            over.extend(self.oldest());
        }
        over
    }

    fn is_cut(&self, session: SessionId, until: Duration) -> bool {
        self.known.get(&session).is_some_and(|known| known.state == State::Cut { until })
    }

    /// Takes the oldest cut off; none where that was resumed or is over already.
    fn oldest(&mut self) -> Option<SessionId> {
        let (until, session) = self.cut.pop_front()?;
        self.is_cut(session, until).then(|| self.remove(session)).map(|()| session)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPAN: Duration = Duration::from_secs(30);

    fn at(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    fn one() -> ResumableSessions {
        let mut sessions = ResumableSessions::new(SPAN, 2);
        sessions.register(SessionId(1), SessionKey(11), Some("apps".into()));
        sessions
    }

    #[test]
    fn a_cut_session_is_taken_up_again_by_its_key_and_token_only() {
        let mut sessions = one();
        assert_eq!(
            sessions.resume(at(1), SessionKey(11), Some("apps")),
            Ok(SessionId(1)),
            "open still, for all that is known here"
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
    fn one_that_nobody_comes_back_for_is_over_once() {
        let mut sessions = one();
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
            (sessions.take_expired(at(32)), sessions.known.len(), sessions.keys.len()),
            (vec![], 0, 0)
        );
    }

    #[test]
    fn cut_again_after_resuming_counts_from_the_second_cut() {
        let mut sessions = one();
        sessions.on_disconnect(at(1), SessionId(1));
        sessions.resume(at(20), SessionKey(11), Some("apps")).unwrap();
        sessions.on_disconnect(at(25), SessionId(1));
        assert_eq!((sessions.take_expired(at(40)), sessions.next_timer()), (vec![], Some(at(55))));
    }

    #[test]
    fn too_many_cut_sessions_displace_the_oldest() {
        let mut sessions = ResumableSessions::new(SPAN, 2);
        (1..=4).for_each(|no| sessions.register(SessionId(no), SessionKey(no.into()), None));
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
        assert_eq!(
            sessions.on_disconnect(at(5), SessionId(9)),
            DisconnectOutcome::Ended,
            "never asked to be kept"
        );
        assert_eq!(format!("{:?}", SessionKey(u128::MAX)), "SessionKey(ffff..)");
    }
}
