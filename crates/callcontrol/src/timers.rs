//! The timers of call control.

use mintstall::interface::{CallId, ExchangeNumber, SeizureNumber, TimerId};
use mintstall::timer_queue;

pub(crate) use mintstall::timer_queue::TimerHandle;

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

pub(crate) type TimerQueue = timer_queue::TimerQueue<Timer>;
