//! What waits to be said to a session that reads slowly, and what is kept for one that was cut.
//!
//! A final answer is never dropped silently: a session too slow for its answers is closed with a reason, and what it was
//! owed is kept for a while, to be had when it resumes. Notifications about one call are merged to the last.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use thiserror::Error;

/// The session reads too slowly: it is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("reads too slowly: {waiting} texts wait, at most {most}")]
pub struct Overflow {
    pub waiting: usize,
    pub most: usize,
}

/// What is said about one call.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Said<T> {
    Answer(T),
    Note(u64, T),
}

/// Texts waiting for one session, at most `most`.
#[derive(Debug)]
pub struct Backlog<T> {
    most: usize,
    waiting: VecDeque<Said<T>>,
    merged: u64,
}

impl<T> Backlog<T> {
    pub fn new(most: usize) -> Self {
        Self { most: most.max(1), waiting: VecDeque::new(), merged: 0 }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notifications that a later one about the same call took the place of.
    pub fn merged(&self) -> u64 {
        self.merged
    }

    pub fn answer(&mut self, answer: T) -> Result<(), Overflow> {
        self.waiting.push_back(Said::Answer(answer));
        self.check()
    }

    /// A notification about a call takes the place of one that still waits.
    pub fn note(&mut self, call: u64, note: T) -> Result<(), Overflow> {
        let before = self.waiting.iter().position(|said| matches!(said, Said::Note(of, _) if *of == call));
        if let Some(before) = before {
            self.waiting.remove(before);
            self.merged += 1;
        }
        self.waiting.push_back(Said::Note(call, note));
        self.check()
    }

    fn check(&self) -> Result<(), Overflow> {
        let (waiting, most) = (self.waiting.len(), self.most);
        if waiting > most { Err(Overflow { waiting, most }) } else { Ok(()) }
    }

    /// The next to be said.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_front().map(|said| match said {
            Said::Answer(text) | Said::Note(_, text) => text,
        })
    }

    /// The answers that were not said when the session was cut; notifications can be asked for again.
    pub fn answers(self) -> Vec<T> {
        let answer = |said| match said {
            Said::Answer(answer) => Some(answer),
            Said::Note(..) => None,
        };
        self.waiting.into_iter().filter_map(answer).collect()
    }
}

/// Answers kept for sessions that were cut, by what names the session when it resumes.
#[derive(Debug)]
pub struct Kept<K: Ord + Clone, T> {
    most: usize,
    span: Duration,
    count: usize,
    /// Emptied by resuming and by time.
    sessions: BTreeMap<K, (Duration, Vec<T>)>,
    /// Oldest first; may name sessions that have resumed.
    ages: VecDeque<(Duration, K)>,
    dropped: u64,
}

impl<K: Ord + Clone, T> Kept<K, T> {
    /// At most `most` answers in all, each for `span`.
    pub fn new(most: usize, span: Duration) -> Self {
        Self { most, span, count: 0, sessions: BTreeMap::new(), ages: VecDeque::new(), dropped: 0 }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Answers that nobody came back for in time, or that too many were kept for; told and counted, not silent.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    pub fn keep(&mut self, now: Duration, session: K, answers: impl IntoIterator<Item = T>) {
        self.forget(now);
        let entry = self.sessions.entry(session.clone()).or_insert_with(|| (now, Vec::new()));
        let before = entry.1.len();
        entry.1.extend(answers);
        self.count += entry.1.len() - before;
        if before == 0 {
            entry.0 = now;
            self.ages.push_back((now, session));
        }
        while self.count > self.most && self.drop_oldest() {}
    }

    /// What a session that resumes was owed.
    pub fn resume(&mut self, now: Duration, session: &K) -> Vec<T> {
        self.forget(now);
        let answers = self.sessions.remove(session).map(|(_, answers)| answers).unwrap_or_default();
        self.count -= answers.len();
        answers
    }

    fn forget(&mut self, now: Duration) {
        while self.ages.front().is_some_and(|(at, _)| *at + self.span < now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) -> bool {
        let Some((at, session)) = self.ages.pop_front() else { return false };
        // One that resumed and was cut again has a younger entry of its own.
        if self.sessions.get(&session).is_some_and(|(kept, _)| *kept == at)
            && let Some((_, answers)) = self.sessions.remove(&session)
        {
            self.count -= answers.len();
            self.dropped += answers.len() as u64;
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn notes_about_a_call_are_merged_and_answers_are_not() {
        let mut backlog = Backlog::new(4);
        backlog.note(1, "one rings").unwrap();
        backlog.answer("two stands").unwrap();
        backlog.note(1, "one ended").unwrap();
        backlog.answer("three fails").unwrap();
        assert_eq!((backlog.len(), backlog.merged()), (3, 1));
        backlog.note(4, "four").unwrap();
        assert_eq!(backlog.answer("five"), Err(Overflow { waiting: 5, most: 4 }));
        assert_eq!(backlog.pop(), Some("two stands"));
        assert_eq!(backlog.answers(), ["three fails", "five"], "what was owed when it was cut");
    }

    #[test]
    fn a_session_that_resumes_in_time_gets_what_it_was_owed_once() {
        let at = Duration::from_secs;
        let mut kept = Kept::new(10, at(30));
        kept.keep(at(1), "a", [1, 2]);
        kept.keep(at(2), "b", [3]);
        kept.keep(at(3), "a", [4]);
        assert_eq!(kept.resume(at(31), &"a"), [1, 2, 4]);
        assert_eq!(kept.resume(at(31), &"a"), Vec::<i32>::new());
        assert_eq!(kept.resume(at(33), &"b"), Vec::<i32>::new(), "too late");
        assert_eq!((kept.len(), kept.dropped()), (0, 1));
    }

    #[test]
    fn too_much_kept_drops_the_oldest_session_and_counts_it() {
        let at = Duration::from_secs;
        let mut kept = Kept::new(5, at(30));
        (0..10).for_each(|no| kept.keep(at(no), no, [no]));
        assert_eq!((kept.len(), kept.dropped()), (5, 5));
        assert_eq!(kept.resume(at(10), &3), Vec::<u64>::new());
        assert_eq!(kept.resume(at(10), &9), [9]);
        // Resumed, cut again: the old age must not drop the new entry.
        kept.keep(at(20), 9, [90]);
        kept.keep(at(41), 100, [1]);
        assert_eq!(kept.resume(at(41), &9), [90]);
    }
}
