//! For clients: the calls asked for on a session, and what becomes of them when its connection is cut.
//!
//! An offer that was sent and not answered is in doubt once the connection is gone: the server may have it, may have answered
//! it into the void, or may never have seen it. What the server says when the session is taken up settles each: an offer under the
//! same number is no second call there, so that what it does not have in hand can be sent again while the caller's time lasts. A
//! session that is over took its calls with it: what was in doubt is lost, and said so, not offered anew behind its caller's
//! back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use thiserror::Error;

/// What the server has of a call when a session is taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCallState {
    /// Its answer is due.
    Unanswered,
    Standing,
}

/// The client's own number is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("call {0} is in hand already")]
pub struct CallNumberInUse(pub u64);

/// What is to be done about calls, each by its number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReconciledCalls {
    /// To be sent, with the caller's time as it is now.
    pub to_send: Vec<u64>,
    /// They stand: their answer was lost on the way.
    pub standing: Vec<u64>,
    /// They stood, and are over.
    pub ended: Vec<u64>,
    /// Nobody can tell what became of them, or their caller's time is up.
    pub lost: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    ToSend,
    Sent,
    /// Sent on a connection that is gone.
    InDoubt,
    Stands,
}

#[derive(Debug)]
struct Entry<O> {
    offer: O,
    progress: Progress,
    until: Duration,
}

/// The calls of one client. Emptied as they end.
#[derive(Debug)]
pub struct CallTable<O> {
    calls: BTreeMap<u64, Entry<O>>,
    /// When callers' times are up; only of calls without an answer.
    due: BTreeSet<(Duration, u64)>,
    most: usize,
    /// Past a caller's time the answer may still be on its way for so long.
    grace: Duration,
}

impl<O> CallTable<O> {
    /// At most `most` calls at a time.
    pub fn new(most: usize, grace: Duration) -> Self {
        Self { calls: BTreeMap::new(), due: BTreeSet::new(), most, grace }
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub fn is_full(&self) -> bool {
        self.calls.len() >= self.most
    }

    pub fn contains(&self, number: u64) -> bool {
        self.calls.contains_key(&number)
    }

    /// Whether it has been answered, and stands.
    pub fn is_standing(&self, number: u64) -> bool {
        self.calls.get(&number).is_some_and(|entry| entry.progress == Progress::Stands)
    }

    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.calls.keys().copied()
    }

    /// Calls that have no answer yet.
    pub fn unanswered(&self) -> usize {
        self.due.len()
    }

    pub fn offer(&mut self, number: u64, offer: O, until: Duration) -> Result<(), CallNumberInUse> {
        if self.calls.contains_key(&number) {
            return Err(CallNumberInUse(number));
        }
        self.calls.insert(number, Entry { offer, progress: Progress::ToSend, until });
        self.due.insert((until + self.grace, number));
        Ok(())
    }

    /// What was asked for, with the time that its caller has left.
    pub fn offer_and_time_left(&self, now: Duration, number: u64) -> Option<(&O, Duration)> {
        self.calls.get(&number).map(|entry| (&entry.offer, entry.until.saturating_sub(now)))
    }

    pub fn mark_sent(&mut self, number: u64) {
        if let Some(entry) = self.calls.get_mut(&number)
            && entry.progress != Progress::Stands
        {
            entry.progress = Progress::Sent;
        }
    }

    /// An answer came. `false`: it is of no call that waits for one, and is passed over.
    pub fn on_answer(&mut self, number: u64, stands: bool) -> bool {
        let waits = |entry: &&mut Entry<O>| entry.progress != Progress::Stands;
        let Some(entry) = self.calls.get_mut(&number).filter(waits) else { return false };
        self.due.remove(&(entry.until + self.grace, number));
        entry.progress = Progress::Stands;
        if !stands {
            self.calls.remove(&number);
        }
        true
    }

    /// A call is over, or given up here. `false`: it was not known.
    pub fn remove(&mut self, number: u64) -> bool {
        let Some(entry) = self.calls.remove(&number) else { return false };
        self.due.remove(&(entry.until + self.grace, number));
        true
    }

    /// The connection is gone.
    pub fn on_disconnect(&mut self) {
        for entry in self.calls.values_mut().filter(|entry| entry.progress == Progress::Sent) {
            entry.progress = Progress::InDoubt;
        }
    }

    /// The session was taken up, and the server has these calls in hand. Calls are settled once what was said meanwhile
    /// has been heard.
    pub fn on_resumed(&mut self, now: Duration, there: &BTreeMap<u64, ServerCallState>) -> ReconciledCalls {
        let mut settled = ReconciledCalls::default();
        for (number, entry) in &mut self.calls {
            match (entry.progress, there.get(number)) {
                (Progress::Stands, Some(_)) => {}
                (Progress::Stands, None) => settled.ended.push(*number),
                (_, Some(ServerCallState::Unanswered)) => entry.progress = Progress::Sent,
                (_, Some(ServerCallState::Standing)) => settled.standing.push(*number),
                (Progress::ToSend, None) if entry.until <= now => settled.lost.push(*number),
                // With no time left it only asks for the answer that was lost: no call comes of it.
                (_, None) => settled.to_send.push(*number),
            }
        }
        self.settle(settled)
    }

    /// The session is over, and this is another: what was sent on the old one is lost, and what stood is over.
    pub fn on_new_session(&mut self, now: Duration) -> ReconciledCalls {
        let mut settled = ReconciledCalls::default();
        for (number, entry) in &self.calls {
            match entry.progress {
                Progress::Stands => settled.ended.push(*number),
                Progress::ToSend if entry.until > now => settled.to_send.push(*number),
                _ => settled.lost.push(*number),
            }
        }
        self.settle(settled)
    }

    fn settle(&mut self, settled: ReconciledCalls) -> ReconciledCalls {
        settled.standing.iter().for_each(|number| _ = self.on_answer(*number, true));
        settled.ended.iter().chain(&settled.lost).for_each(|number| _ = self.remove(*number));
        settled
    }

    /// When [`CallTable::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        self.due.first().map(|(due, _)| *due)
    }

    /// Calls whose time is up without an answer: lost.
    pub fn on_timer(&mut self, now: Duration) -> Vec<u64> {
        let mut lost = Vec::new();
        while let Some((due, number)) = self.due.first().copied()
            && due <= now
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

    /// Calls 1 to 4, waiting until 10 s: not sent, in doubt, in doubt, standing.
    fn disconnected_calls() -> CallTable<&'static str> {
        let mut book = CallTable::new(10, at(1));
        for (number, offer) in [(1, "new"), (2, "sent"), (3, "sent"), (4, "sent")] {
            book.offer(number, offer, at(10)).unwrap();
        }
        (2..=4).for_each(|number| book.mark_sent(number));
        assert!(book.on_answer(4, true));
        book.on_disconnect();
        book
    }

    #[test]
    fn an_answer_counts_once() {
        let mut book = CallTable::new(2, at(1));
        book.offer(1, "", at(10)).unwrap();
        assert_eq!(book.offer(1, "", at(10)), Err(CallNumberInUse(1)));
        assert_eq!(
            (book.on_answer(1, true), book.on_answer(1, true), book.on_answer(2, true)),
            (true, false, false)
        );
        assert_eq!((book.unanswered(), book.len(), book.remove(1), book.remove(1)), (0, 1, true, false));
        book.offer(1, "", at(10)).unwrap();
        assert_eq!((book.on_answer(1, false), book.len(), book.is_full()), (true, 0, false));
    }

    #[test]
    fn a_session_taken_up_settles_what_was_in_doubt() {
        let mut book = disconnected_calls();
        let there = [(2, ServerCallState::Unanswered), (3, ServerCallState::Standing)].into();
        let settled = book.on_resumed(at(2), &there);
        assert_eq!(
            settled,
            ReconciledCalls { to_send: vec![1], standing: vec![3], ended: vec![4], lost: vec![] }
        );
        // What is still waited for is lost only when its time is up.
        assert_eq!((book.next_timer(), book.on_timer(at(10))), (Some(at(11)), vec![]));
        assert_eq!((book.on_timer(at(11)), book.len()), (vec![1, 2], 1));
    }

    #[test]
    fn what_the_server_does_not_have_is_sent_again() {
        assert_eq!(disconnected_calls().on_resumed(at(2), &BTreeMap::new()).to_send, [1, 2, 3]);
        let late = disconnected_calls().on_resumed(at(10), &BTreeMap::new());
        assert_eq!((late.to_send, late.lost), (vec![2, 3], vec![1]), "what was sent may have been answered");
    }

    #[test]
    fn a_session_that_is_over_took_its_calls_with_it() {
        let mut book = disconnected_calls();
        let settled = book.on_new_session(at(2));
        assert_eq!(
            settled,
            ReconciledCalls { to_send: vec![1], standing: vec![], ended: vec![4], lost: vec![2, 3] }
        );
        assert_eq!((book.len(), book.unanswered()), (1, 1));
    }
}
