//! Incarnations of an exchange: which of its processes a connection leads to, the one with which the standing calls were
//! set up or a later one at the same address.
//!
//! A process holds each call that it has answered until the call ends. The first report on a new connection is written
//! after the connection was opened, so it shows at least as many busy circuits as calls stand that were answered before.
//! A process that shows fewer, and has not released the missing calls shortly after, is another incarnation: the calls of
//! the former one are over, and its connections are dead. This works without the membership list, which may be late.
//!
//! No I/O: the user of this module passes the time and does what a verdict asks for.

use std::time::Duration;

use crate::interface::CapacityReport;

/// Releases of calls that ended while no connection was open arrive right behind the first report. They get this time.
pub const RELEASE_GRACE: Duration = Duration::from_millis(500);

/// The connections to the same exchange on which something was received before the new one was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OlderConnections {
    /// There have been none yet.
    NeverOpen,
    /// All were lost.
    Lost,
    /// Some are open, but nothing has come on them since.
    Silent,
    /// A message has come on one of them since, so its process is alive.
    Heard,
}

/// What the first report on a new connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against all the calls standing.
    SameIncarnation,
    /// Calls are missing, but their releases may be on their way. What comes on the new connection must not renew the
    /// lease of the calls.
    Undecided,
    /// The process that held the calls is gone: the calls and the older connections with it.
    OtherIncarnation,
    /// The process that held the calls is alive, but holds none of them any more.
    CallsOver,
    /// The process that held the calls is alive and holds some of them, but which ones is not known. The report is of no
    /// further use.
    SomeCallsOver,
}

/// The first report on the newest connection to an exchange, against which the standing calls are checked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstReport {
    opened_at: Duration,
    busy: f64,
    short_since: Option<Duration>,
    /// Whether an older connection has been heard since: it may be closed by the time of the verdict.
    former_heard: bool,
}

impl FirstReport {
    /// `opened_at`: when the attempt to open the connection began. `None` if the report does not tell busy circuits.
    pub fn new(opened_at: Duration, report: &CapacityReport) -> Option<Self> {
        match (report.free, report.size) {
            (Some(free), Some(size)) if size > 0.0 => {
                Some(Self { opened_at, busy: (size - free).max(0.0), short_since: None, former_heard: false })
            }
            _ => None,
        }
    }

    /// Calls that were answered before this time have to be among the busy circuits.
    pub fn opened_at(&self) -> Duration {
        self.opened_at
    }

    /// Whether the last verdict was [`Verdict::Undecided`].
    pub fn is_in_doubt(&self) -> bool {
        self.short_since.is_some()
    }

    /// Whether the first report on a connection opened at `opened_at` takes the place of this one.
    pub fn is_superseded_by(&self, opened_at: Duration) -> bool {
        !self.is_in_doubt() || opened_at < self.opened_at
    }

    /// Judges the calls that stand now and were answered before the connection was opened.
    pub fn judge(&mut self, now: Duration, standing: usize, older: OlderConnections) -> Verdict {
        self.former_heard |= older == OlderConnections::Heard;
        if standing as f64 <= self.busy {
            self.short_since = None;
            return Verdict::SameIncarnation;
        }
        let since = *self.short_since.get_or_insert(now);
        let holds_none = self.busy < 1.0;
        if now < since + RELEASE_GRACE && !(holds_none && older == OlderConnections::Lost) {
            return Verdict::Undecided;
        }
        self.short_since = None;
        match self.former_heard {
            true if holds_none => Verdict::CallsOver,
            true => Verdict::SomeCallsOver,
            false => Verdict::OtherIncarnation,
        }
    }
}

#[cfg(test)]
mod tests;
