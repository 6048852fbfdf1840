//! What is to be said to a session that was cut, once it is taken up.
//!
//! Bounded: a session that would have to hear more than is kept is over, and is told so when its client comes back. Nothing that
//! it was owed is left out without a word. Notifications about one call are merged to the last.

use std::collections::VecDeque;

use thiserror::Error;

/// The session can't be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{waiting} texts wait to be said, at most {max} are kept")]
pub struct BacklogFull {
    pub waiting: usize,
    pub max: usize,
}

/// What is said about one call.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Said<T> {
    Answer(T),
    Note(u64, T),
}

/// Texts waiting for one session, at most `max`.
#[derive(Debug)]
pub struct Backlog<T> {
    max: usize,
    waiting: VecDeque<Said<T>>,
    merged: u64,
}

impl<T> Backlog<T> {
    pub fn new(max: usize) -> Self {
        Self { max: max.max(1), waiting: VecDeque::new(), merged: 0 }
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

    pub fn push_answer(&mut self, answer: T) -> Result<(), BacklogFull> {
        self.waiting.push_back(Said::Answer(answer));
        self.check()
    }

    /// A notification about a call takes the place of one that still waits.
    pub fn push_notification(&mut self, call: u64, note: T) -> Result<(), BacklogFull> {
        let before = self.waiting.iter().position(|said| matches!(said, Said::Note(of, _) if *of == call));
        if let Some(before) = before {
            self.waiting.remove(before);
            self.merged += 1;
        }
        self.waiting.push_back(Said::Note(call, note));
        self.check()
    }

    fn check(&self) -> Result<(), BacklogFull> {
        let (waiting, max) = (self.waiting.len(), self.max);
        if waiting > max { Err(BacklogFull { waiting, max }) } else { Ok(()) }
    }

    /// The next to be said.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_front().map(|said| match said {
            Said::Answer(text) | Said::Note(_, text) => text,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn notes_about_a_call_are_merged_and_answers_are_not() {
        let mut backlog = Backlog::new(4);
        backlog.push_notification(1, "one rings").unwrap();
        backlog.push_answer("two stands").unwrap();
        backlog.push_notification(1, "one ended").unwrap();
        backlog.push_answer("three fails").unwrap();
        assert_eq!((backlog.len(), backlog.merged()), (3, 1));
        backlog.push_notification(4, "four").unwrap();
        assert_eq!(backlog.push_answer("five"), Err(BacklogFull { waiting: 5, max: 4 }));
        assert_eq!(backlog.pop(), Some("two stands"));
        assert_eq!((backlog.pop(), backlog.pop()), (Some("one ended"), Some("three fails")));
    }
}
