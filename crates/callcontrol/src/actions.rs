//! What an office acts through, and what it tells its callers.

use std::time::Duration;

use mintstall::interface::{CallId, ExchangeNumber};

/// Carries out what the office does. Everything takes effect at once, in the order called.
pub trait CallControlActions {
    /// Octets for the link to an exchange.
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]);
    /// The link to an exchange carried what makes no sense, or nothing for too long: it is to be closed. Its end is
    /// told as any other.
    fn close_link(&mut self, to: ExchangeNumber, why: &str);
    /// The one final answer of a call.
    fn answer(&mut self, call: CallId, answer: Answer);
    /// A call that stood has ended.
    fn ended(&mut self, call: CallId, end: CallEnd);
    /// A change of mode, with the figures that caused it.
    fn log_info(&mut self, line: &str);
}

/// The final answer of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Stands,
    /// Nothing was carried out; the caller is asked to stay away for `retry_after` (zero: no word).
    Refused {
        retry_after: Duration,
    },
    Fails,
}

/// How a standing call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Its caller hung up.
    HungUp,
    /// The called side released it.
    Released,
    /// It was cut: a circuit, a link or an exchange on the way was lost.
    Cut,
}
