//! Offers that come twice: the second is told what the first was, and costs no second call.
//!
//! A client that is not sure whether its offer arrived (its connection was cut, its own time ran out) sends it again under
//! the same number. Answers are remembered for a while by session and number, in bounded memory; a number is free for another
//! call once its answer is forgotten.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::session_limiter::SessionId;

/// What is known of an offer by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CachedAnswer<A> {
    /// Not seen lately: a call of its own.
    Fresh,
    /// It was answered so.
    Answered(A),
}

/// The answers of the last offers. At most `most`, each for `span`; the oldest goes first.
#[derive(Debug)]
pub struct AnswerCache<A> {
    span: Duration,
    most: usize,
    answers: BTreeMap<(SessionId, u64), (Duration, A)>,
    ages: VecDeque<(Duration, (SessionId, u64))>,
    told: u64,
}

impl<A: Copy> AnswerCache<A> {
    pub fn new(span: Duration, most: usize) -> Self {
        Self { span, most, answers: BTreeMap::new(), ages: VecDeque::new(), told: 0 }
    }

    pub fn len(&self) -> usize {
        self.answers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Offers that were told the answer of an earlier one.
    pub fn hits(&self) -> u64 {
        self.told
    }

    /// An offer comes.
    pub fn on_offer(&mut self, now: Duration, session: SessionId, number: u64) -> CachedAnswer<A> {
        self.forget(now);
        match self.answers.get(&(session, number)) {
            Some((_, answer)) => {
                self.told += 1;
                CachedAnswer::Answered(*answer)
            }
            None => CachedAnswer::Fresh,
        }
    }

    /// What an offer was answered, if it is remembered.
    pub fn get(&mut self, now: Duration, session: SessionId, number: u64) -> Option<A> {
        self.forget(now);
        self.answers.get(&(session, number)).map(|(_, answer)| *answer)
    }

    /// An offer has its final answer.
    pub fn insert(&mut self, now: Duration, session: SessionId, number: u64, answer: A) {
        self.forget(now);
        if self.most == 0 || self.span.is_zero() {
            return;
        }
        let key = (session, number);
        self.answers.insert(key, (now, answer));
        self.ages.push_back((now, key));
        while self.ages.len() > self.most {
            self.drop_oldest();
        }
    }

    /// The session is over: its numbers mean nothing any more.
    pub fn remove_session(&mut self, session: SessionId) {
        let of = (session, 0)..=(session, u64::MAX);
        let keys: Vec<_> = self.answers.range(of).map(|(key, _)| *key).collect();
        keys.iter().for_each(|key| _ = self.answers.remove(key));
        if !keys.is_empty() {
            self.ages.retain(|(_, key)| key.0 != session);
        }
    }

    fn forget(&mut self, now: Duration) {
        while self.ages.front().is_some_and(|(at, _)| *at + self.span <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, key)) = self.ages.pop_front() else { return };
        // A number that was used again has a younger answer.
        if self.answers.get(&key).is_some_and(|(answered, _)| *answered == at) {
            self.answers.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: SessionId = SessionId(1);

    fn at(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    #[test]
    fn a_repeat_is_told_the_first_answer_for_a_while_and_then_is_a_call_of_its_own() {
        let mut repeats = AnswerCache::new(at(30), 100);
        assert_eq!(repeats.on_offer(at(1), ONE, 7), CachedAnswer::Fresh);
        repeats.insert(at(2), ONE, 7, "stands");
        assert_eq!(repeats.on_offer(at(31), ONE, 7), CachedAnswer::Answered("stands"));
        assert_eq!(
            repeats.on_offer(at(31), SessionId(2), 7),
            CachedAnswer::Fresh,
            "another session's number"
        );
        assert_eq!(repeats.on_offer(at(32), ONE, 7), CachedAnswer::Fresh);
        assert_eq!((repeats.len(), repeats.hits()), (0, 1));
    }

    #[test]
    fn memory_is_bounded_by_count_and_freed_with_the_session() {
        let mut repeats = AnswerCache::new(at(30), 10);
        (0..100).for_each(|number| repeats.insert(at(1), ONE, number, number));
        assert_eq!((repeats.len(), repeats.ages.len()), (10, 10));
        assert_eq!(repeats.on_offer(at(2), ONE, 89), CachedAnswer::Fresh);
        assert_eq!(repeats.on_offer(at(2), ONE, 90), CachedAnswer::Answered(90));
        repeats.insert(at(2), SessionId(2), 1, 1);
        repeats.remove_session(ONE);
        assert_eq!((repeats.len(), repeats.ages.len()), (1, 1));
        let mut none = AnswerCache::new(Duration::ZERO, 10);
        none.insert(at(1), ONE, 1, 1);
        assert!(none.is_empty());
    }

    #[test]
    fn a_number_used_again_keeps_its_younger_answer() {
        let mut repeats = AnswerCache::new(at(30), 10);
        repeats.insert(at(1), ONE, 7, "first");
        repeats.insert(at(20), ONE, 7, "second");
        assert_eq!(repeats.on_offer(at(40), ONE, 7), CachedAnswer::Answered("second"));
        assert_eq!(repeats.on_offer(at(50), ONE, 7), CachedAnswer::Fresh);
    }
}
