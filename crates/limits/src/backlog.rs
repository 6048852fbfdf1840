//! Messages kept for a session that lost its connection, until the session is resumed.
//!
//! The number of messages is bounded. A session that exceeds it can't be kept: it ends, and its client is told so when it
//! tries to resume. No message is dropped silently. Of the notifications about one call only the last is kept.

use std::collections::VecDeque;

use thiserror::Error;

/// The session has more messages than are kept, and must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{waiting} messages wait for the session, at most {max} are kept")]
pub struct BacklogFull {
    pub waiting: usize,
    pub max: usize,
}

/// A message to the client of the session.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Message<T> {
    Answer(T),
    /// With the number of the call.
    Notification(u64, T),
}

/// Messages waiting for one session, at most `max`.
#[derive(Debug)]
pub struct Backlog<T> {
    max: usize,
    waiting: VecDeque<Message<T>>,
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

    /// How many notifications were replaced by a later one about the same call.
    pub fn merged(&self) -> u64 {
        self.merged
    }

    pub fn push_answer(&mut self, answer: T) -> Result<(), BacklogFull> {
        self.waiting.push_back(Message::Answer(answer));
        self.check_size()
    }

    /// Replaces a waiting notification about the same call.
    pub fn push_notification(&mut self, call: u64, notification: T) -> Result<(), BacklogFull> {
        let earlier = self
            .waiting
            .iter()
            .position(|message| matches!(message, Message::Notification(about, _) if *about == call));
        if let Some(earlier) = earlier {
            self.waiting.remove(earlier);
            self.merged += 1;
        }
        self.waiting.push_back(Message::Notification(call, notification));
        self.check_size()
    }

    fn check_size(&self) -> Result<(), BacklogFull> {
        let (waiting, max) = (self.waiting.len(), self.max);
        if waiting > max { Err(BacklogFull { waiting, max }) } else { Ok(()) }
    }

    /// Removes the oldest message.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_front().map(|message| match message {
            Message::Answer(text) | Message::Notification(_, text) => text,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn notifications_about_a_call_are_merged_and_answers_are_not() {
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
