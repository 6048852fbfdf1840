//! The outward actions of call control, the final answer of a call and the end of a standing call.

use std::time::Duration;

use mintstall::interface::{CallId, ExchangeNumber};

/// Carries out the actions of call control. Each takes effect at once, in the order called.
pub trait CallControlActions {
    /// Sends octets on the link to an exchange.
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]);
    /// Closes the link to an exchange, which carried invalid octets or was silent for too long. Its end is
    /// reported by [`crate::CallControl::link_down`] like any other.
    fn close_link(&mut self, to: ExchangeNumber, why: &str);
    /// Gives the one final answer of a call.
    fn answer(&mut self, call: CallId, answer: Answer);
    /// Reports the end of a standing call.
    fn call_ended(&mut self, call: CallId, end: CallEnd);
    /// Logs a line of level info: a change of state, with the figures that caused it.
    fn log_info(&mut self, line: &str);
}

/// The final answer of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Stands,
    /// The call was not carried out; the caller may retry after `retry_after` (zero: no time is given).
    Refused {
        retry_after: Duration,
    },
    Fails,
}

/// How a standing call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller hung up.
    HungUp,
    /// The called side released it.
    Released,
    /// A circuit, a link or an exchange on its path was lost.
    Cut,
}
