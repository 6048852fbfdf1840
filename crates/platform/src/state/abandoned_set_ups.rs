//! The set-ups of a link that were given up here, and of which messages may still arrive on it. A message names only its
//! call, so a later set-up of the call must be told apart by its link.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::CallId;

use crate::exchange_protocol::WireCallId;

/// How long messages of a set-up may arrive after it was given up. A link on which they take longer is replaced before.
const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(15);
/// Limit for one link; the oldest are forgotten first.
const MAX_ABANDONED: usize = 4096;

#[derive(Debug, Default)]
pub struct AbandonedSetUps {
    /// When the last set-up under each id was given up, and the call that it was for.
    by_id: BTreeMap<WireCallId, (Duration, CallId)>,
    /// The calls, oldest first.
    by_age: VecDeque<(Duration, WireCallId)>,
}

impl AbandonedSetUps {
    pub fn insert(&mut self, now: Duration, id: WireCallId, call: CallId) {
        while self.by_age.len() >= MAX_ABANDONED
            || self.by_age.front().is_some_and(|(at, _)| *at + MAX_MESSAGE_DELAY <= now)
        {
            self.remove_oldest();
        }
        self.by_id.insert(id, (now, call));
        self.by_age.push_back((now, id));
    }

    fn remove_oldest(&mut self) {
        if let Some((at, id)) = self.by_age.pop_front()
            && self.by_id.get(&id).is_some_and(|(last, _)| *last == at)
        {
            self.by_id.remove(&id);
        }
    }

    /// Whether messages of a given-up set-up under this id may still arrive.
    pub fn contains(&self, now: Duration, id: WireCallId) -> bool {
        self.call_of(now, id).is_some()
    }

    /// The call of the last set-up under this id that was given up and of which messages may still arrive. An id can come
    /// again with another call.
    pub fn call_of(&self, now: Duration, id: WireCallId) -> Option<CallId> {
        let (_, call) = self.by_id.get(&id).filter(|(at, _)| *at + MAX_MESSAGE_DELAY > now)?;
        Some(*call)
    }

    /// The exchange has confirmed the release of the set-up: no message of it is on its way any more. Returns whether there
    /// was such a set-up.
    pub fn confirm(&mut self, now: Duration, id: WireCallId) -> bool {
        let is_known = self.contains(now, id);
        self.by_id.remove(&id);
        is_known
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: Duration = Duration::from_secs(1000);

    #[test]
    fn a_set_up_is_remembered_until_it_is_confirmed_or_its_messages_are_overdue() {
        let mut abandoned = AbandonedSetUps::default();
        let (first, second) = (WireCallId(1), WireCallId(2));
        abandoned.insert(START, first, CallId(1));
        abandoned.insert(START, second, CallId(2));
        assert!(abandoned.confirm(START, first) && !abandoned.contains(START, first));
        assert!(!abandoned.confirm(START, first));
        assert!(abandoned.contains(START + MAX_MESSAGE_DELAY - Duration::from_millis(1), second));
        assert!(!abandoned.contains(START + MAX_MESSAGE_DELAY, second));
    }

    #[test]
    fn a_set_up_given_up_again_is_remembered_from_then_on_and_the_number_is_bounded() {
        let mut abandoned = AbandonedSetUps::default();
        let again = START + Duration::from_secs(10);
        abandoned.insert(START, WireCallId(1), CallId(1));
        abandoned.insert(again, WireCallId(1), CallId(9));
        abandoned.insert(START + MAX_MESSAGE_DELAY, WireCallId(2), CallId(2));
        assert_eq!(abandoned.call_of(START + MAX_MESSAGE_DELAY, WireCallId(1)), Some(CallId(9)));
        (0..2 * MAX_ABANDONED as u64)
            .for_each(|id| abandoned.insert(again, WireCallId(100 + id), CallId(id)));
        assert!(abandoned.by_id.len() <= MAX_ABANDONED && abandoned.by_age.len() <= MAX_ABANDONED);
        assert!(!abandoned.contains(again, WireCallId(1)));
    }
}
