//! What an office reads at start.

use std::time::Duration;

use mintstall::interface::{ControllerConfig, ExchangeNumber};

/// Everything that one exchange's controller is told before its first call.
#[derive(Clone, Debug)]
pub struct CallControlConfig {
    /// The own exchange's number, also its point code (14 bits).
    pub own: ExchangeNumber,
    /// What the decisions read.
    pub data: ControllerConfig,
    pub groups: Vec<GroupConfig>,
    /// Numbers of the own exchange that have few lines; others have as many as are called.
    pub numbers: Vec<NumberPlan>,
    pub timers: Timers,
    /// Calls and calls in transit that may be in hand at a time; what comes beyond is refused.
    pub max_calls: usize,
    /// Calls of which what became of them is remembered, step by step; some 500 octets each.
    pub traces: usize,
}

/// The trunk group to one other exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupConfig {
    pub to: ExchangeNumber,
    /// Circuits, at most [`mintstall_isup::Cic::MAX_PER_GROUP`].
    pub circuits: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberPlan {
    pub dialled: u64,
    pub lines: u16,
}

/// Timers of Q.764 table A.1 as far as they bear here, and those of the links. What is repeated, but T5 and the grace, runs
/// up to a quarter longer, drawn anew each time: the neighbours of one dead exchange would repeat all in step. That
/// stays within the standard's ranges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timers {
    /// T1: a release that is not completed is sent again (15 to 60 s).
    pub t1: Duration,
    /// T5: and after this the circuit is reset (5 to 15 min).
    pub t5: Duration,
    /// T7 and T9 together: a set-up that got no answer is given up (T7 20 to 30 s; T9 as long as a caller waits).
    pub t7: Duration,
    /// T16, T17: a reset that is not acknowledged is sent again (15 to 60 s, then 5 to 15 min).
    pub t16: Duration,
    pub t17: Duration,
    /// T22: a group reset that is not acknowledged is sent again (15 to 60 s; T23 after that, taken as T17).
    pub t22: Duration,
    /// T(ack) of RFC 4666 clause 4.3.4.1: an ASP up or active that is not acknowledged is sent again.
    pub link_ack: Duration,
    /// A silent link is asked for a sign of life this often, and given up after three times it.
    pub beat: Duration,
    /// Standing calls outlive their link by this; then they count as cut.
    pub link_grace: Duration,
    /// Each link's group is audited this often, one system at a time: a stuck circuit is found within two rounds.
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
            beat: s(5),
            link_grace: s(10),
            audit: s(30),
        }
    }
}

/// By how much a repeated timer is drawn out at the most.
pub(crate) const SPREAD: f64 = 0.25;

/// Half a second before the caller's time is up nothing is decided any more on lines that are slow; within one machine or
/// site a fiftieth does: an answer needs its way back.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Exchanges that a call may still pass when it leaves its own: one tandem.
pub(crate) const HOPS: u8 = 1;
