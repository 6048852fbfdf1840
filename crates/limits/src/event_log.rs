//! What happens to calls, told to those who watch, from where they left off.
//!
//! Events are numbered and the last ones kept. A watcher has a cursor: it is told what follows it, only of customers that its
//! token may see, and only as much at a time as it has room for, so that one who reads slowly lags and costs nothing. One whose
//! cursor has fallen out of what is kept is told so, with where the news begin now: a gap is said, never passed over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mintstall::interface::CustomerId;
use thiserror::Error;

use crate::session_limiter::SessionId;

/// Whose calls a watcher may see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CustomerFilter {
    All,
    Only(BTreeSet<CustomerId>),
}

impl CustomerFilter {
    pub fn includes(&self, customer: CustomerId) -> bool {
        match self {
            Self::All => true,
            Self::Only(customers) => customers.contains(&customer),
        }
    }
}

/// The cursor is not one that can be followed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CursorError {
    #[error("news before {oldest} are not kept any more")]
    Gap { oldest: u64 },
    #[error("there are no news from {next} on yet")]
    Ahead { next: u64 },
}

/// What a watcher is told in one go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch<E> {
    /// Events it lagged too far behind to be told, if any: it follows on from the oldest that are kept.
    pub missed: u64,
    pub events: Vec<(u64, E)>,
}

#[derive(Debug)]
struct Watcher {
    next: u64,
    sees: CustomerFilter,
}

/// The last events, and who watches. At most `most` events; watchers leave with their sessions.
#[derive(Debug)]
pub struct EventLog<E> {
    most: usize,
    /// The number of the first that is kept.
    first: u64,
    kept: VecDeque<(CustomerId, E)>,
    watchers: BTreeMap<SessionId, Watcher>,
}

impl<E: Clone> EventLog<E> {
    pub fn new(most: usize) -> Self {
        Self { most: most.max(1), first: 1, kept: VecDeque::new(), watchers: BTreeMap::new() }
    }

    /// The number of the next event.
    pub fn next_number(&self) -> u64 {
        self.first + self.kept.len() as u64
    }

    pub fn watchers(&self) -> usize {
        self.watchers.len()
    }

    /// Something happened to a call.
    pub fn push(&mut self, customer: CustomerId, event: E) {
        if self.kept.len() >= self.most {
            self.kept.pop_front();
            self.first += 1;
        }
        self.kept.push_back((customer, event));
    }

    /// A session watches from a cursor on (the next event, where none is given); returns its cursor.
    pub fn watch(
        &mut self,
        session: SessionId,
        cursor: Option<u64>,
        sees: CustomerFilter,
    ) -> Result<u64, CursorError> {
        let (oldest, next) = (self.first, self.next_number());
        let cursor = match cursor {
            None => next,
            Some(cursor) if cursor < oldest => return Err(CursorError::Gap { oldest }),
            Some(cursor) if cursor > next => return Err(CursorError::Ahead { next }),
            Some(cursor) => cursor,
        };
        self.watchers.insert(session, Watcher { next: cursor, sees });
        Ok(cursor)
    }

    pub fn remove_watcher(&mut self, session: SessionId) {
        self.watchers.remove(&session);
    }

    /// Sessions that have not been told all that there is.
    pub fn lagging_sessions(&self) -> Vec<SessionId> {
        let next = self.next_number();
        self.watchers.iter().filter(|(_, watcher)| watcher.next < next).map(|(session, _)| *session).collect()
    }

    /// What a watcher is told now, at most so many events. What it may not see is passed over without a word.
    pub fn next_batch(&mut self, session: SessionId, room: usize) -> EventBatch<E> {
        let (first, end) = (self.first, self.next_number());
        let mut told = EventBatch { missed: 0, events: Vec::new() };
        let Some(watcher) = self.watchers.get_mut(&session) else { return told };
        if watcher.next < first {
            told.missed = first - watcher.next;
            watcher.next = first;
        }
        while watcher.next < end && told.events.len() < room {
            let at = (watcher.next - first) as usize;
            if let Some((customer, event)) = self.kept.get(at)
                && watcher.sees.includes(*customer)
            {
                told.events.push((watcher.next, event.clone()));
            }
            watcher.next += 1;
        }
        told
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: SessionId = SessionId(1);

    fn news(most: usize, events: u64) -> EventLog<u64> {
        let mut news = EventLog::new(most);
        (1..=events).for_each(|event| news.push(CustomerId(event as u16 % 2), event));
        news
    }

    fn numbers(told: &EventBatch<u64>) -> Vec<u64> {
        told.events.iter().map(|(number, _)| *number).collect()
    }

    #[test]
    fn a_watcher_follows_on_from_its_cursor_as_it_has_room() {
        let mut news = news(100, 10);
        assert_eq!(news.watch(ONE, Some(4), CustomerFilter::All), Ok(4));
        assert_eq!(numbers(&news.next_batch(ONE, 3)), [4, 5, 6]);
        assert_eq!(news.lagging_sessions(), [ONE]);
        assert_eq!(numbers(&news.next_batch(ONE, 100)), [7, 8, 9, 10]);
        assert_eq!(
            (news.lagging_sessions(), news.watch(SessionId(2), None, CustomerFilter::All)),
            (vec![], Ok(11))
        );
        news.push(CustomerId(0), 11);
        assert_eq!(
            (numbers(&news.next_batch(ONE, 9)), numbers(&news.next_batch(SessionId(2), 9))),
            (vec![11], vec![11])
        );
    }

    #[test]
    fn a_gap_is_said_at_the_start_and_on_the_way() {
        let mut news = news(5, 10);
        assert_eq!(news.watch(ONE, Some(5), CustomerFilter::All), Err(CursorError::Gap { oldest: 6 }));
        assert_eq!(news.watch(ONE, Some(12), CustomerFilter::All), Err(CursorError::Ahead { next: 11 }));
        assert_eq!(news.watch(ONE, Some(6), CustomerFilter::All), Ok(6));
        (11..=13).for_each(|event| news.push(CustomerId(0), event));
        let told = news.next_batch(ONE, 100);
        assert_eq!((told.missed, numbers(&told)), (3, vec![9, 10, 11, 12, 13]));
    }

    #[test]
    fn what_a_token_may_not_see_is_not_told_and_does_not_hold_the_rest_up() {
        let mut news = news(100, 10);
        let odd = CustomerFilter::Only([CustomerId(1)].into());
        news.watch(ONE, Some(1), odd).unwrap();
        assert_eq!(numbers(&news.next_batch(ONE, 3)), [1, 3, 5]);
        assert_eq!(numbers(&news.next_batch(ONE, 9)), [7, 9]);
        assert!(news.lagging_sessions().is_empty());
        news.remove_watcher(ONE);
        assert_eq!((news.watchers(), news.next_batch(ONE, 9).events.len()), (0, 0));
    }
}
