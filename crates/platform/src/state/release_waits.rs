//! Ids of calls that must not be sent to an exchange yet, because a seizure under the same id is out or has just been
//! released. A caller whose connection was reset may send a set-up again under its id.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::MAX_PENDING_RELEASES;
use crate::exchange_protocol::WireCallId;

#[derive(Debug)]
pub struct ReleaseWaits {
    /// Time from the release of a seizure until the call may be sent again.
    release_wait: Duration,
    /// For each id, until when it must not be sent; `None` while its seizure is out.
    blocked: BTreeMap<WireCallId, Option<Duration>>,
    /// The ids whose seizures have ended, with the end of their wait, oldest first.
    ended: VecDeque<(Duration, WireCallId)>,
}

impl ReleaseWaits {
    pub fn new(release_wait: Duration) -> Self {
        Self { release_wait, blocked: BTreeMap::new(), ended: VecDeque::new() }
    }

    /// The call is over for its caller, and its seizure is still out.
    pub fn seizure_is_out(&mut self, id: WireCallId) {
        self.blocked.insert(id, None);
    }

    /// A seizure has ended. `released`: by a release of this side or with its link, so that the exchange may still act on
    /// it; if not, the call may be sent again at once.
    pub fn seizure_ended(&mut self, now: Duration, id: WireCallId, released: bool) {
        self.expire(now);
        if !released {
            self.blocked.remove(&id);
            return;
        }
        let until = now + self.release_wait;
        self.blocked.insert(id, Some(until));
        self.ended.push_back((until, id));
        if self.ended.len() > MAX_PENDING_RELEASES {
            self.remove_oldest();
        }
    }

    /// How long a set-up with this id has to wait, if it has to.
    pub fn remaining(&self, now: Duration, id: WireCallId) -> Option<Duration> {
        match self.blocked.get(&id)? {
            None => Some(self.release_wait),
            Some(until) => Some(until.saturating_sub(now)).filter(|wait| !wait.is_zero()),
        }
    }

    fn expire(&mut self, now: Duration) {
        while self.ended.front().is_some_and(|(until, _)| *until <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        // A later seizure under the same id has a wait of its own.
        if let Some((until, id)) = self.ended.pop_front()
            && self.blocked.get(&id) == Some(&Some(until))
        {
            self.blocked.remove(&id);
        }
    }
}
