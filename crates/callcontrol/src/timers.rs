//! The timer queue, ordered by expiry, then by the order in which the timers were set.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall::interface::{CallId, ExchangeNumber, SeizureNumber, TimerId};

/// Identifies a running timer, until it expires or is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimerHandle(Duration, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Set by the controller.
    Controller(TimerId),
    /// Time limit of a seizure.
    SeizureLimit(CallId, SeizureNumber),
    /// The caller's deadline.
    GuardTime(CallId),
    /// T1, T5, T16 or T17, by the circuit's state.
    Circuit(ExchangeNumber, u16),
    /// T22 or T23 of the group reset of the system that begins at this circuit.
    GroupReset(ExchangeNumber, u16),
    /// T(ack) or the next heartbeat.
    Link(ExchangeNumber),
    /// The next circuit group query.
    Audit(ExchangeNumber),
    /// Standing calls of a lost link are cut.
    LinkGrace(ExchangeNumber),
}

/// Each timer expires once or is cancelled, so that the queue does not grow without bound.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    queue: BTreeMap<(Duration, u64), Timer>,
    last_sequence: u64,
}

impl TimerQueue {
    pub fn set(&mut self, at: Duration, timer: Timer) -> TimerHandle {
        self.last_sequence += 1;
        self.queue.insert((at, self.last_sequence), timer);
        TimerHandle(at, self.last_sequence)
    }

    pub fn cancel(&mut self, handle: TimerHandle) {
        self.queue.remove(&(handle.0, handle.1));
    }

    pub fn next_expiry(&self) -> Option<Duration> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    pub fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        self.next_expiry().filter(|at| *at <= now)?;
        self.queue.pop_first().map(|(_, timer)| timer)
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }
}
