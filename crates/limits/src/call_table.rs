//! Client: the calls of a session, and their reconciliation with the server after the connection was lost.
//!
//! An offer that was sent and not answered is in doubt once the connection is lost: the server may still have it, may have
//! written its answer to the lost connection, or may never have received it. When the session is resumed, the calls that the
//! server reports settle each one. A repeated offer under the same number sets up no second call, so offers that the
//! server does not have can be sent again while the caller has time left. When the session has ended, its calls ended with it:
//! offers in doubt are reported as lost and not offered again without the caller's knowledge.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use thiserror::Error;

/// State of a call at the server when a session is resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCallState {
    /// The server has not answered the offer yet.
    Unanswered,
    Standing,
}

/// The client has a call with this number already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("call {0} is in progress already")]
pub struct CallNumberInUse(pub u64);

/// What the client has to do about its calls, by their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReconciledCalls {
    /// Offers to send, with the time that the caller has left now.
    pub to_send: Vec<u64>,
    /// Standing calls whose answer was lost with the connection.
    pub standing: Vec<u64>,
    /// Calls that stood and have ended.
    pub ended: Vec<u64>,
    /// Calls whose result is unknown, or whose caller has no time left.
    pub lost: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    ToSend,
    Sent,
    /// Sent on a connection that was lost.
    InDoubt,
    Stands,
}

#[derive(Debug)]
struct Entry<O> {
    offer: O,
    progress: Progress,
    /// When the caller gives up.
    deadline: Duration,
}

/// The calls of one client, until they end.
#[derive(Debug)]
pub struct CallTable<O> {
    calls: BTreeMap<u64, Entry<O>>,
    /// Deadlines plus grace of the calls without an answer.
    timeouts: BTreeSet<(Duration, u64)>,
    max: usize,
    /// Time after a caller's deadline in which the answer may still arrive.
    grace: Duration,
}

impl<O> CallTable<O> {
    /// At most `max` calls at a time.
    pub fn new(max: usize, grace: Duration) -> Self {
        Self { calls: BTreeMap::new(), timeouts: BTreeSet::new(), max, grace }
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub fn is_full(&self) -> bool {
        self.calls.len() >= self.max
    }

    pub fn contains(&self, number: u64) -> bool {
        self.calls.contains_key(&number)
    }

    /// Whether the call was answered and stands.
    pub fn is_standing(&self, number: u64) -> bool {
        self.calls.get(&number).is_some_and(|entry| entry.progress == Progress::Stands)
    }

    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.calls.keys().copied()
    }

    /// Calls that have no answer yet.
    pub fn unanswered(&self) -> usize {
        self.timeouts.len()
    }

    pub fn offer(&mut self, number: u64, offer: O, deadline: Duration) -> Result<(), CallNumberInUse> {
        if self.calls.contains_key(&number) {
            return Err(CallNumberInUse(number));
        }
        self.calls.insert(number, Entry { offer, progress: Progress::ToSend, deadline });
        self.timeouts.insert((deadline + self.grace, number));
        Ok(())
    }

    /// The offer of a call, with the time that its caller has left.
    pub fn offer_and_time_left(&self, now: Duration, number: u64) -> Option<(&O, Duration)> {
        self.calls.get(&number).map(|entry| (&entry.offer, entry.deadline.saturating_sub(now)))
    }

    pub fn mark_sent(&mut self, number: u64) {
        if let Some(entry) = self.calls.get_mut(&number)
            && entry.progress != Progress::Stands
        {
            entry.progress = Progress::Sent;
        }
    }

    /// An answer arrived. `false`: no call with this number waits for one, and the answer is ignored.
    pub fn on_answer(&mut self, number: u64, stands: bool) -> bool {
        let is_unanswered = |entry: &&mut Entry<O>| entry.progress != Progress::Stands;
        let Some(entry) = self.calls.get_mut(&number).filter(is_unanswered) else { return false };
        self.timeouts.remove(&(entry.deadline + self.grace, number));
        entry.progress = Progress::Stands;
        if !stands {
            self.calls.remove(&number);
        }
        true
    }

    /// Removes a call that ended or that the client gave up. `false`: there is no such call.
    pub fn remove(&mut self, number: u64) -> bool {
        let Some(entry) = self.calls.remove(&number) else { return false };
        self.timeouts.remove(&(entry.deadline + self.grace, number));
        true
    }

    /// The connection was lost.
    pub fn on_disconnect(&mut self) {
        for entry in self.calls.values_mut().filter(|entry| entry.progress == Progress::Sent) {
            entry.progress = Progress::InDoubt;
        }
    }

    /// The session was resumed, and the server has these calls. To be called once the messages that the server kept during
    /// the disconnection have been processed.
    pub fn on_resumed(
        &mut self,
        now: Duration,
        at_server: &BTreeMap<u64, ServerCallState>,
    ) -> ReconciledCalls {
        let mut reconciled = ReconciledCalls::default();
        for (number, entry) in &mut self.calls {
            match (entry.progress, at_server.get(number)) {
                (Progress::Stands, Some(_)) => {}
                (Progress::Stands, None) => reconciled.ended.push(*number),
                (_, Some(ServerCallState::Unanswered)) => entry.progress = Progress::Sent,
                (_, Some(ServerCallState::Standing)) => reconciled.standing.push(*number),
                (Progress::ToSend, None) if entry.deadline <= now => reconciled.lost.push(*number),
                // Also with no time left: the server then only repeats the lost answer and sets up no call.
                (_, None) => reconciled.to_send.push(*number),
            }
        }
        self.apply(reconciled)
    }

    /// The old session has ended and a new one is open: offers sent on the old one are lost, and its standing calls ended.
    pub fn on_new_session(&mut self, now: Duration) -> ReconciledCalls {
        let mut reconciled = ReconciledCalls::default();
        for (number, entry) in &self.calls {
            match entry.progress {
                Progress::Stands => reconciled.ended.push(*number),
                Progress::ToSend if entry.deadline > now => reconciled.to_send.push(*number),
                _ => reconciled.lost.push(*number),
            }
        }
        self.apply(reconciled)
    }

    fn apply(&mut self, reconciled: ReconciledCalls) -> ReconciledCalls {
        reconciled.standing.iter().for_each(|number| _ = self.on_answer(*number, true));
        reconciled.ended.iter().chain(&reconciled.lost).for_each(|number| _ = self.remove(*number));
        reconciled
    }

    /// When [`CallTable::on_timer`] must be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timeouts.first().map(|(timeout, _)| *timeout)
    }

    /// Removes and returns the calls that got no answer in time.
    pub fn on_timer(&mut self, now: Duration) -> Vec<u64> {
        let mut lost = Vec::new();
        while let Some((timeout, number)) = self.timeouts.first().copied()
            && timeout <= now
        {
            self.remove(number);
            lost.push(number);
        }
        lost
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    /// Calls 1 to 4, with a deadline of 10 s: not sent, in doubt, in doubt, standing.
    fn disconnected_calls() -> CallTable<&'static str> {
        let mut calls = CallTable::new(10, at(1));
        for (number, offer) in [(1, "new"), (2, "sent"), (3, "sent"), (4, "sent")] {
            calls.offer(number, offer, at(10)).unwrap();
        }
        (2..=4).for_each(|number| calls.mark_sent(number));
        assert!(calls.on_answer(4, true));
        calls.on_disconnect();
        calls
    }

    #[test]
    fn an_answer_counts_once() {
        let mut calls = CallTable::new(2, at(1));
        calls.offer(1, "", at(10)).unwrap();
        assert_eq!(calls.offer(1, "", at(10)), Err(CallNumberInUse(1)));
        assert_eq!(
            (calls.on_answer(1, true), calls.on_answer(1, true), calls.on_answer(2, true)),
            (true, false, false)
        );
        assert_eq!((calls.unanswered(), calls.len(), calls.remove(1), calls.remove(1)), (0, 1, true, false));
        calls.offer(1, "", at(10)).unwrap();
        assert_eq!((calls.on_answer(1, false), calls.len(), calls.is_full()), (true, 0, false));
    }

    #[test]
    fn resuming_a_session_settles_the_offers_in_doubt() {
        let mut calls = disconnected_calls();
        let at_server = [(2, ServerCallState::Unanswered), (3, ServerCallState::Standing)].into();
        let reconciled = calls.on_resumed(at(2), &at_server);
        assert_eq!(
            reconciled,
            ReconciledCalls { to_send: vec![1], standing: vec![3], ended: vec![4], lost: vec![] }
        );
        // A call that still waits for its answer is lost only when its grace has passed.
        assert_eq!((calls.next_timer(), calls.on_timer(at(10))), (Some(at(11)), vec![]));
        assert_eq!((calls.on_timer(at(11)), calls.len()), (vec![1, 2], 1));
    }

    #[test]
    fn offers_that_the_server_does_not_have_are_sent_again() {
        assert_eq!(disconnected_calls().on_resumed(at(2), &BTreeMap::new()).to_send, [1, 2, 3]);
        let late = disconnected_calls().on_resumed(at(10), &BTreeMap::new());
        assert_eq!(
            (late.to_send, late.lost),
            (vec![2, 3], vec![1]),
            "an offer that was sent may have been answered"
        );
    }

    #[test]
    fn the_calls_of_an_ended_session_are_lost_or_ended() {
        let mut calls = disconnected_calls();
        let reconciled = calls.on_new_session(at(2));
        assert_eq!(
            reconciled,
            ReconciledCalls { to_send: vec![1], standing: vec![], ended: vec![4], lost: vec![2, 3] }
        );
        assert_eq!((calls.len(), calls.unanswered()), (1, 1));
    }
}
