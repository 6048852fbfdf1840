//! A numbered log of call events, which watching sessions read from their cursors.
//!
//! The last events are kept. A watcher gets the events from its cursor on, only those of customers that its token covers, and
//! only as many at a time as it has room for, so that a slow reader falls behind and costs no memory. A cursor that is older
//! than the oldest kept event is an error that names the oldest one, and a watcher that falls behind that far is told how many
//! events it missed: no gap goes unreported.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mintstall::interface::CustomerId;
use thiserror::Error;

use crate::session_limiter::SessionId;

/// The customers whose calls a watcher may see.
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

/// The log can't be read from this cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CursorError {
    #[error("news before {oldest} are not kept any more")]
    Gap { oldest: u64 },
    #[error("there are no news from {next} on yet")]
    Ahead { next: u64 },
}

/// Events that a watcher gets at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch<E> {
    /// Events that were removed from the log before the watcher read them. The batch continues with the oldest kept event.
    pub missed: u64,
    pub events: Vec<(u64, E)>,
}

#[derive(Debug)]
struct Watcher {
    /// Number of the next event to deliver.
    next: u64,
    filter: CustomerFilter,
}

/// The last events, at most `max`, and the sessions that watch them.
#[derive(Debug)]
pub struct EventLog<E> {
    max: usize,
    /// Number of the oldest kept event.
    oldest: u64,
    kept: VecDeque<(CustomerId, E)>,
    watchers: BTreeMap<SessionId, Watcher>,
}

impl<E: Clone> EventLog<E> {
    pub fn new(max: usize) -> Self {
        Self { max: max.max(1), oldest: 1, kept: VecDeque::new(), watchers: BTreeMap::new() }
    }

    /// The number of the next event.
    pub fn next_number(&self) -> u64 {
        self.oldest + self.kept.len() as u64
    }

    pub fn watchers(&self) -> usize {
        self.watchers.len()
    }

    /// Appends an event of a call.
    pub fn push(&mut self, customer: CustomerId, event: E) {
        if self.kept.len() >= self.max {
            self.kept.pop_front();
            self.oldest += 1;
        }
        self.kept.push_back((customer, event));
    }

    /// Subscribes a session to the events from a cursor on; without a cursor, from the next event on. Returns the cursor.
    pub fn watch(
        &mut self,
        session: SessionId,
        cursor: Option<u64>,
        filter: CustomerFilter,
    ) -> Result<u64, CursorError> {
        let (oldest, next) = (self.oldest, self.next_number());
        let cursor = match cursor {
            None => next,
            Some(cursor) if cursor < oldest => return Err(CursorError::Gap { oldest }),
            Some(cursor) if cursor > next => return Err(CursorError::Ahead { next }),
            Some(cursor) => cursor,
        };
        self.watchers.insert(session, Watcher { next: cursor, filter });
        Ok(cursor)
    }

    pub fn remove_watcher(&mut self, session: SessionId) {
        self.watchers.remove(&session);
    }

    /// Sessions that have not got all events yet.
    pub fn lagging_sessions(&self) -> Vec<SessionId> {
        let next = self.next_number();
        self.watchers.iter().filter(|(_, watcher)| watcher.next < next).map(|(session, _)| *session).collect()
    }

    /// The next events of a watcher, at most `max_events`. Events that its filter excludes are skipped and not counted.
    pub fn next_batch(&mut self, session: SessionId, max_events: usize) -> EventBatch<E> {
        let (oldest, end) = (self.oldest, self.next_number());
        let mut batch = EventBatch { missed: 0, events: Vec::new() };
        let Some(watcher) = self.watchers.get_mut(&session) else { return batch };
        if watcher.next < oldest {
            batch.missed = oldest - watcher.next;
            watcher.next = oldest;
        }
        while watcher.next < end && batch.events.len() < max_events {
            let index = (watcher.next - oldest) as usize;
            if let Some((customer, event)) = self.kept.get(index)
                && watcher.filter.includes(*customer)
            {
                batch.events.push((watcher.next, event.clone()));
            }
            watcher.next += 1;
        }
        batch
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WATCHER: SessionId = SessionId(1);

    fn log_of(max: usize, events: u64) -> EventLog<u64> {
        let mut log = EventLog::new(max);
        (1..=events).for_each(|event| log.push(CustomerId(event as u16 % 2), event));
        log
    }

    fn numbers(batch: &EventBatch<u64>) -> Vec<u64> {
        batch.events.iter().map(|(number, _)| *number).collect()
    }

    #[test]
    fn a_watcher_reads_on_from_its_cursor_as_it_has_room() {
        let mut log = log_of(100, 10);
        assert_eq!(log.watch(WATCHER, Some(4), CustomerFilter::All), Ok(4));
        assert_eq!(numbers(&log.next_batch(WATCHER, 3)), [4, 5, 6]);
        assert_eq!(log.lagging_sessions(), [WATCHER]);
        assert_eq!(numbers(&log.next_batch(WATCHER, 100)), [7, 8, 9, 10]);
        assert_eq!(
            (log.lagging_sessions(), log.watch(SessionId(2), None, CustomerFilter::All)),
            (vec![], Ok(11))
        );
        log.push(CustomerId(0), 11);
        assert_eq!(
            (numbers(&log.next_batch(WATCHER, 9)), numbers(&log.next_batch(SessionId(2), 9))),
            (vec![11], vec![11])
        );
    }

    #[test]
    fn a_gap_is_reported_on_subscription_and_while_reading() {
        let mut log = log_of(5, 10);
        assert_eq!(log.watch(WATCHER, Some(5), CustomerFilter::All), Err(CursorError::Gap { oldest: 6 }));
        assert_eq!(log.watch(WATCHER, Some(12), CustomerFilter::All), Err(CursorError::Ahead { next: 11 }));
        assert_eq!(log.watch(WATCHER, Some(6), CustomerFilter::All), Ok(6));
        (11..=13).for_each(|event| log.push(CustomerId(0), event));
        let batch = log.next_batch(WATCHER, 100);
        assert_eq!((batch.missed, numbers(&batch)), (3, vec![9, 10, 11, 12, 13]));
    }

    #[test]
    fn events_outside_the_customer_filter_are_skipped_without_using_up_room() {
        let mut log = log_of(100, 10);
        let odd = CustomerFilter::Only([CustomerId(1)].into());
        log.watch(WATCHER, Some(1), odd).unwrap();
        assert_eq!(numbers(&log.next_batch(WATCHER, 3)), [1, 3, 5]);
        assert_eq!(numbers(&log.next_batch(WATCHER, 9)), [7, 9]);
        assert!(log.lagging_sessions().is_empty());
        log.remove_watcher(WATCHER);
        assert_eq!((log.watchers(), log.next_batch(WATCHER, 9).events.len()), (0, 0));
    }
}
