//! A queue of timers, ordered by expiry, then by the order in which they were set.
//!
//! Each timer expires once or is cancelled, so that the queue is as long as there is something to wait for, whatever has
//! been waited for and is over.

use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a running timer, until it expires or is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerHandle(Duration, u64);

/// Timers that each carry a `T`.
#[derive(Debug)]
pub struct TimerQueue<T> {
    queue: BTreeMap<(Duration, u64), T>,
    last_sequence: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self { queue: BTreeMap::new(), last_sequence: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Sets a timer that expires at a time.
    pub fn set(&mut self, at: Duration, timer: T) -> TimerHandle {
        self.last_sequence += 1;
        self.queue.insert((at, self.last_sequence), timer);
        TimerHandle(at, self.last_sequence)
    }

    /// Cancels a timer, unless it has expired.
    pub fn cancel(&mut self, handle: TimerHandle) {
        self.queue.remove(&(handle.0, handle.1));
    }

    /// When [`TimerQueue::pop_due`] has to be called next.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the first timer that has expired.
    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        self.next_expiry().filter(|at| *at <= now)?;
        self.queue.pop_first().map(|(_, timer)| timer)
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_expire_in_order_once_and_not_if_cancelled() {
        let at = Duration::from_millis;
        let mut timers = TimerQueue::default();
        let last = timers.set(at(30), 'd');
        timers.set(at(10), 'a');
        let cancelled = timers.set(at(10), 'b');
        timers.set(at(10), 'c');
        timers.cancel(cancelled);
        timers.cancel(cancelled);
        assert_eq!((timers.len(), timers.next_expiry()), (3, Some(at(10))));
        assert_eq!(
            [timers.pop_due(at(9)), timers.pop_due(at(10)), timers.pop_due(at(20))],
            [None, Some('a'), Some('c')]
        );
        assert_eq!(timers.pop_due(at(20)), None);
        timers.cancel(last);
        assert!(timers.is_empty());
    }
}
