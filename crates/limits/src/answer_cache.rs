//! Answers of recent offers: an offer that is sent twice gets the answer of the first and sets up no second call.
//!
//! A client that does not know whether its offer arrived (its connection was lost, its own timeout expired) sends it again
//! under the same number. Answers are kept for a limited time by session and number, in bounded memory. A number can be used
//! for another call once its answer has expired.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::session_limiter::SessionId;

/// Result of looking up an offer by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CachedAnswer<A> {
    /// No answer is kept: the offer is a new call.
    Fresh,
    /// The answer that the earlier offer got.
    Answered(A),
}

/// The answers of the last offers: at most `max`, each for `retention`. The oldest is removed first.
#[derive(Debug)]
pub struct AnswerCache<A> {
    retention: Duration,
    max: usize,
    answers: BTreeMap<(SessionId, u64), (Duration, A)>,
    /// In the order in which they were inserted; may name a number whose answer was replaced.
    insertions: VecDeque<(Duration, (SessionId, u64))>,
    hits: u64,
}

impl<A: Copy> AnswerCache<A> {
    pub fn new(retention: Duration, max: usize) -> Self {
        Self { retention, max, answers: BTreeMap::new(), insertions: VecDeque::new(), hits: 0 }
    }

    pub fn len(&self) -> usize {
        self.answers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Offers that got the answer of an earlier one.
    pub fn hits(&self) -> u64 {
        self.hits
    }

    /// Looks up an offer that arrived, and counts it if it is a repeat.
    pub fn on_offer(&mut self, now: Duration, session: SessionId, number: u64) -> CachedAnswer<A> {
        self.remove_expired(now);
        match self.answers.get(&(session, number)) {
            Some((_, answer)) => {
                self.hits += 1;
                CachedAnswer::Answered(*answer)
            }
            None => CachedAnswer::Fresh,
        }
    }

    /// The answer of an offer, if it is kept. Does not count as a repeat.
    pub fn get(&mut self, now: Duration, session: SessionId, number: u64) -> Option<A> {
        self.remove_expired(now);
        self.answers.get(&(session, number)).map(|(_, answer)| *answer)
    }

    /// Keeps the final answer of an offer.
    pub fn insert(&mut self, now: Duration, session: SessionId, number: u64, answer: A) {
        self.remove_expired(now);
        if self.max == 0 || self.retention.is_zero() {
            return;
        }
        let key = (session, number);
        self.answers.insert(key, (now, answer));
        self.insertions.push_back((now, key));
        while self.insertions.len() > self.max {
            self.remove_oldest();
        }
    }

    /// Removes all answers of a session that ended: its numbers are no longer valid.
    pub fn remove_session(&mut self, session: SessionId) {
        let numbers = (session, 0)..=(session, u64::MAX);
        let keys: Vec<_> = self.answers.range(numbers).map(|(key, _)| *key).collect();
        keys.iter().for_each(|key| _ = self.answers.remove(key));
        if !keys.is_empty() {
            self.insertions.retain(|(_, key)| key.0 != session);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        while self.insertions.front().is_some_and(|(inserted, _)| *inserted + self.retention <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((inserted, key)) = self.insertions.pop_front() else { return };
        // A number that was used again has a newer answer, which stays.
        if self.answers.get(&key).is_some_and(|(newest, _)| *newest == inserted) {
            self.answers.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SESSION: SessionId = SessionId(1);

    fn at(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    #[test]
    fn a_repeated_offer_gets_the_first_answer_until_it_expires_and_is_then_a_new_call() {
        let mut cache = AnswerCache::new(at(30), 100);
        assert_eq!(cache.on_offer(at(1), SESSION, 7), CachedAnswer::Fresh);
        cache.insert(at(2), SESSION, 7, "stands");
        assert_eq!(cache.on_offer(at(31), SESSION, 7), CachedAnswer::Answered("stands"));
        assert_eq!(cache.on_offer(at(31), SessionId(2), 7), CachedAnswer::Fresh, "another session's number");
        assert_eq!(cache.on_offer(at(32), SESSION, 7), CachedAnswer::Fresh);
        assert_eq!((cache.len(), cache.hits()), (0, 1));
    }

    #[test]
    fn memory_is_bounded_by_count_and_freed_when_the_session_ends() {
        let mut cache = AnswerCache::new(at(30), 10);
        (0..100).for_each(|number| cache.insert(at(1), SESSION, number, number));
        assert_eq!((cache.len(), cache.insertions.len()), (10, 10));
        assert_eq!(cache.on_offer(at(2), SESSION, 89), CachedAnswer::Fresh);
        assert_eq!(cache.on_offer(at(2), SESSION, 90), CachedAnswer::Answered(90));
        cache.insert(at(2), SessionId(2), 1, 1);
        cache.remove_session(SESSION);
        assert_eq!((cache.len(), cache.insertions.len()), (1, 1));
        let mut disabled = AnswerCache::new(Duration::ZERO, 10);
        disabled.insert(at(1), SESSION, 1, 1);
        assert!(disabled.is_empty());
    }

    #[test]
    fn a_number_used_again_keeps_its_newer_answer() {
        let mut cache = AnswerCache::new(at(30), 10);
        cache.insert(at(1), SESSION, 7, "first");
        cache.insert(at(20), SESSION, 7, "second");
        assert_eq!(cache.on_offer(at(40), SESSION, 7), CachedAnswer::Answered("second"));
        assert_eq!(cache.on_offer(at(50), SESSION, 7), CachedAnswer::Fresh);
    }
}
