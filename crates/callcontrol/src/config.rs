//! Configuration of call control, read at start.

use std::time::Duration;

use mintstall::interface::{ControllerConfig, ExchangeNumber};

/// Configuration of one exchange's call control.
#[derive(Clone, Debug)]
pub struct CallControlConfig {
    /// The own exchange's number, also its point code (14 bits).
    pub own: ExchangeNumber,
    pub controller: ControllerConfig,
    pub groups: Vec<GroupConfig>,
    /// Numbers of the own exchange with a limited number of lines; all others are unlimited.
    pub numbers: Vec<NumberConfig>,
    pub timers: Timers,
    /// Maximum number of concurrent calls, calls in transit included; further calls are refused.
    pub max_calls: usize,
    /// Most calls of which a trace is kept; some 500 octets each.
    pub max_traces: usize,
}

/// The trunk group to one other exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupConfig {
    pub to: ExchangeNumber,
    /// Circuits, at most [`mintstall_isup::Cic::MAX_PER_GROUP`].
    pub circuits: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberConfig {
    pub dialled: u64,
    pub lines: u16,
}

/// The timers of Q.764 table A.1 that are used here, and those of the links. Each repeated timer, but not T5 or
/// `link_grace`, is lengthened by up to a quarter, drawn anew each time: otherwise all neighbours of a failed exchange
/// would repeat in step. The longer times stay within the standard's ranges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timers {
    /// T1: a release without release complete is sent again (15 to 60 s).
    pub t1: Duration,
    /// T5: a circuit whose release is still not complete is reset (5 to 15 min).
    pub t5: Duration,
    /// T7 and T9 together: a set-up without an answer is given up (T7 20 to 30 s; T9 as long as a caller waits).
    pub t7: Duration,
    /// T16, T17: a reset that is not acknowledged is sent again (15 to 60 s, then 5 to 15 min).
    pub t16: Duration,
    pub t17: Duration,
    /// T22: a group reset that is not acknowledged is sent again (15 to 60 s; T23 after that, taken as T17).
    pub t22: Duration,
    /// T(ack) of RFC 4666 clause 4.3.4.1: an ASP Up or ASP Active that is not acknowledged is sent again.
    pub link_ack: Duration,
    /// Interval of heartbeats on a silent link, which is closed after three of them without an answer.
    pub heartbeat: Duration,
    /// Standing calls are kept for this time after the loss of their link; then they are cut.
    pub link_grace: Duration,
    /// Interval of the audits of each link's group, one system at a time: a stuck circuit is found within two rounds.
    pub audit: Duration,
}

impl Default for Timers {
    fn default() -> Self {
        let s = Duration::from_secs;
        Self {
            t1: s(15),
            t5: s(300),
            t7: s(25),
            t16: s(15),
            t17: s(300),
            t22: s(15),
            link_ack: s(2),
            heartbeat: s(5),
            link_grace: s(10),
            audit: s(30),
        }
    }
}

/// Largest share by which a repeated timer is lengthened.
pub(crate) const JITTER_FRACTION: f64 = 0.25;

/// Time before the caller's deadline in which no more decisions are made, so that the answer still reaches the caller.
/// Slow lines need half a second; within one machine or site a fiftieth of a second is enough.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Hop counter of a call that leaves its origin: it may pass one tandem.
pub(crate) const HOP_LIMIT: u8 = 1;
