//! What rings when: one queue, ordered by time, then by when it was set.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall::interface::{CallId, ExchangeNumber, SeizureNumber, TimerId};

/// Names a timer that is set; good until it rings or is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimerHandle(Duration, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Asked for by the decisions.
    Alarm(TimerId),
    /// A seizure's limit.
    Limit(CallId, SeizureNumber),
    /// The caller's time is up.
    Guard(CallId),
    /// T1, T5, T16, T17: by the circuit's state.
    Circuit(ExchangeNumber, u16),
    /// T22: a group reset, from this circuit on.
    GroupReset(ExchangeNumber, u16),
    /// T(ack) or the next sign of life.
    Link(ExchangeNumber),
    /// The next look at what the far end holds of the group.
    Audit(ExchangeNumber),
    /// Standing calls have outlived their link for long enough.
    LinkGrace(ExchangeNumber),
}

/// Emptied by time: each entry rings once, and what is no longer needed is stopped.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    queue: BTreeMap<(Duration, u64), Timer>,
    count: u64,
}

impl TimerQueue {
    pub fn set(&mut self, at: Duration, timer: Timer) -> TimerHandle {
        self.count += 1;
        self.queue.insert((at, self.count), timer);
        TimerHandle(at, self.count)
    }

    pub fn stop(&mut self, set: TimerHandle) {
        self.queue.remove(&(set.0, set.1));
    }

    pub fn next(&self) -> Option<Duration> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    pub fn due(&mut self, now: Duration) -> Option<Timer> {
        self.next().filter(|at| *at <= now)?;
        self.queue.pop_first().map(|(_, timer)| timer)
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }
}
