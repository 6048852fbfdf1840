//! The shutdown: what is still served after the signal to stop, and when the process may end.
//!
//! | since the signal | set-ups | connections of callers |
//! | --- | --- | --- |
//! | up to [`SERVED_FOR`] | served: callers learn of the shutdown by and by | accepted, kept |
//! | then, up to the deadline of what was taken | refused at once | closed one by one as nothing is left on them |
//! | then | - | closed |
//!
//! The process ends once no connection is left, well before the platform kills it: a kill in the midst of a message that
//! has just come would lose it.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Core;
use crate::reasons::CallerClose;
use crate::state::{Caller, Standing, Timer};
use crate::{CallerConnectionId, Transport};

/// After the signal calls keep coming for 0.6 s as if nothing were; the rest is for the way and for a late start.
const SERVED_FOR: Duration = Duration::from_millis(750);
/// Longer deadlines count as this long (the platform's protocol): the kill may come 0.7 s after that.
const LONGEST_DEADLINE_COUNTED: Duration = Duration::from_secs(3);
/// What was taken is answered so long after the longest deadline at the latest.
const ANSWERED_AFTER_DEADLINE: Duration = Duration::from_millis(250);
/// How often connections are looked at for what is left on them.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Whether the process has been told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shutdown {
    NotAsked,
    Asked {
        at: Duration,
        /// When the last of what was taken is answered, and connections are closed whatever is left on them.
        ends: Duration,
    },
}

impl Core {
    /// The signal to stop: what comes is still taken, with time for its answer before the process is ended.
    pub fn stop(&mut self, now: Duration, transport: &mut dyn Transport) {
        self.state.now = now;
        if self.shutdown != Shutdown::NotAsked {
            return;
        }
        let deadlines = self.settings.controller.call_types.iter().map(|of| of.guard_time);
        let longest = deadlines.max().unwrap_or_default().clamp(SERVED_FOR, LONGEST_DEADLINE_COUNTED);
        let lasts = longest + ANSWERED_AFTER_DEADLINE;
        transport.log_info(&format!(
            "told to stop: {} calls to be answered, {} stand, {} connections",
            self.state.unanswered.len(),
            self.state.standing.len(),
            self.state.callers.len(),
        ));
        self.shutdown = Shutdown::Asked { at: now, ends: now + lasts };
        self.state.set(lasts, Timer::ShutdownDeadline);
        self.state.set(SERVED_FOR, Timer::DrainCallers);
    }

    /// Whether set-ups are refused because the process is about to end.
    pub(super) fn draining(&self) -> bool {
        matches!(self.shutdown, Shutdown::Asked { at, .. } if at + SERVED_FOR <= self.state.now)
    }

    /// Whether nothing is left to be done before the process ends.
    pub fn is_shutdown_complete(&self, now: Duration) -> bool {
        let served = matches!(self.shutdown, Shutdown::Asked { at, .. } if at + SERVED_FOR < now);
        served && self.state.unanswered.is_empty() && self.state.callers.is_empty()
    }

    /// Until when a set-up that came in the shutdown has its answer.
    pub(super) fn answered_by(&self, deadline: Duration) -> Duration {
        match self.shutdown {
            Shutdown::NotAsked => deadline,
            Shutdown::Asked { ends, .. } => deadline.min(ends.max(self.state.now)),
        }
    }

    /// Closes connections on which nothing is left; when the shutdown ends, all.
    pub(super) fn drain_callers(&mut self, transport: &mut dyn Transport) {
        let Shutdown::Asked { ends, .. } = self.shutdown else { return };
        let all = ends <= self.state.now;
        let carrying = self.carrying();
        let finished = |no: &CallerConnectionId, caller: &Caller| {
            caller.open.is_empty()
                && caller.partial_since.is_none()
                && !carrying.contains(no)
                && !caller.awaits_confirmation(self.state.now)
        };
        let callers = self.state.callers.iter().filter(|(no, caller)| all || finished(no, caller));
        for no in callers.map(|(no, _)| *no).collect::<Vec<_>>() {
            self.close_caller(transport, no, CallerClose::Shutdown);
        }
        if self.state.callers.is_empty() {
            // What an exchange tells from now on is for the successor: nobody is left to pass it on to.
            self.state.close_links(transport);
        }
        self.state.set(DRAIN_INTERVAL, Timer::DrainCallers);
    }

    /// Connections on which the ends of calls that stand will be told: a call whose own has gone needs any other.
    fn carrying(&self) -> BTreeSet<CallerConnectionId> {
        let any = self.state.connection_for(None);
        let open = |no: &CallerConnectionId| self.state.callers.contains_key(no);
        let told_on = |call: &Standing| Some(call.caller).filter(open).or(any);
        self.state.standing.values().filter_map(told_on).collect()
    }

    /// The connection that can be closed to make room for another: the longest silent without an open set-up, and not
    /// in the middle of a message if it has sent others.
    pub fn least_active_caller(&self) -> Option<CallerConnectionId> {
        let closable = |caller: &Caller| {
            caller.open.is_empty() && !(caller.sent_valid && caller.partial_since.is_some())
        };
        let idle = self.state.callers.iter().filter(|(_, caller)| closable(caller));
        idle.min_by_key(|(_, caller)| (caller.sent_valid, caller.heard)).map(|(no, _)| *no)
    }
}
