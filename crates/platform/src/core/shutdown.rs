//! Shutdown: what is still served after the signal to stop, and when the process may end.
//!
//! | since the signal | set-ups | connections of callers |
//! | --- | --- | --- |
//! | up to [`SERVICE_PERIOD`] | served, as callers learn of the shutdown only gradually | accepted, kept |
//! | then, up to the deadline of accepted calls | refused at once | closed one by one as they are no longer needed |
//! | after that | refused at once | closed, but for those with pending data, whose callers can't see a close yet |
//! | [`EXIT_MARGIN`] before the kill | - | closed |
//!
//! The process ends once no connection is left, well before the platform kills it: a kill while a message arrives would
//! lose that message.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Core;
use crate::reasons::CallerClose;
use crate::state::{Caller, CallerEvidence, StandingCall, Timer};
use crate::{CallerConnectionId, Transport};

/// Callers keep sending set-ups for 0.6 s after the signal. The rest is for their transmission and for a late start.
const SERVICE_PERIOD: Duration = Duration::from_millis(750);
/// Longer deadlines count as this long in the platform's protocol. The kill may come 0.7 s after the deadline.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The platform kills the process no sooner than this after the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Accepted calls are answered this long before the kill, and the connections without pending data are closed.
const ANSWER_MARGIN: Duration = Duration::from_millis(450);
/// The last connections are closed this long before the kill.
const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// Interval at which connections that are no longer needed are closed.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Whether the process has been told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shutdown {
    NotRequested,
    Requested {
        at: Duration,
        /// When calls that have no answer yet get one, and connections without pending data are closed.
        ends: Duration,
        /// When all connections are closed.
        last_close: Duration,
    },
}

impl Core {
    /// Starts the shutdown. Set-ups are still accepted for a while, with time for their answers before the process is
    /// killed.
    pub fn stop(&mut self, now: Duration, transport: &mut dyn Transport) {
        self.state.now = now;
        if self.shutdown != Shutdown::NotRequested {
            return;
        }
        let deadlines = self.settings.controller.call_types.iter().map(|call_type| call_type.guard_time);
        let until_kill = deadlines.max().unwrap_or_default().min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        let until_last_close = until_kill - EXIT_MARGIN;
        let until_end = until_kill.saturating_sub(ANSWER_MARGIN).max(SERVICE_PERIOD).min(until_last_close);
        transport.log_info(&format!(
            "shutdown requested: {} unanswered calls, {} standing calls, {} callers' connections",
            self.state.unanswered.len(),
            self.state.standing.len(),
            self.state.callers.len(),
        ));
        self.shutdown =
            Shutdown::Requested { at: now, ends: now + until_end, last_close: now + until_last_close };
        self.state.set_timer(until_end, Timer::ShutdownDeadline);
        self.state.set_timer(SERVICE_PERIOD.min(until_end), Timer::DrainCallers);
    }

    /// Whether set-ups are refused because the process is about to end.
    pub(super) fn is_draining(&self) -> bool {
        self.service_end().is_some_and(|end| end <= self.state.now)
    }

    /// Since when set-ups are refused, or will be, if a shutdown was requested.
    fn service_end(&self) -> Option<Duration> {
        match self.shutdown {
            Shutdown::NotRequested => None,
            Shutdown::Requested { at, ends, .. } => Some(ends.min(at + SERVICE_PERIOD)),
        }
    }

    /// Whether the process has to end, whatever output still waits, since it would be killed soon.
    pub fn must_exit(&self, now: Duration) -> bool {
        matches!(self.shutdown, Shutdown::Requested { last_close, .. } if last_close + EXIT_MARGIN / 2 <= now)
    }

    /// Whether the process can end.
    pub fn is_shutdown_complete(&self, now: Duration) -> bool {
        let service_over = self.service_end().is_some_and(|end| end < now);
        service_over && self.state.unanswered.is_empty() && self.state.callers.is_empty()
    }

    /// The deadline for answering a set-up, brought forward if the shutdown ends before it.
    pub(super) fn answer_deadline(&self, deadline: Duration) -> Duration {
        match self.shutdown {
            Shutdown::NotRequested => deadline,
            Shutdown::Requested { ends, .. } => deadline.min(ends.max(self.state.now)),
        }
    }

    /// Closes the callers' connections that are no longer needed; at the end of the shutdown, all that can be closed without
    /// losing data; at last, all.
    pub(super) fn drain_callers(&mut self, transport: &mut dyn Transport) {
        let Shutdown::Requested { ends, last_close, .. } = self.shutdown else { return };
        let has_ended = ends <= self.state.now;
        let close_all = last_close <= self.state.now;
        let callers_awaiting_releases = self.callers_awaiting_releases();
        let finished = |connection: &CallerConnectionId, caller: &Caller| {
            caller.open_calls.is_empty()
                && caller.partial_since.is_none()
                && !callers_awaiting_releases.contains(connection)
                && !caller.awaits_confirmation(self.state.now)
        };
        let may_close = |connection: &CallerConnectionId, caller: &Caller| {
            (has_ended || finished(connection, caller)) && !transport.has_pending_data(*connection)
        };
        let callers = self
            .state
            .callers
            .iter()
            .filter(|(connection, caller)| close_all || may_close(connection, caller));
        for connection in callers.map(|(connection, _)| *connection).collect::<Vec<_>>() {
            self.close_caller(transport, connection, CallerClose::Shutdown);
        }
        if self.state.callers.is_empty() {
            // Nobody is left to whom messages of exchanges could be passed on: they are for the successor.
            self.state.close_links(transport);
        }
        self.state.set_timer(DRAIN_INTERVAL, Timer::DrainCallers);
    }

    /// The connections on which the releases of standing calls will be sent. A call whose own connection is closed
    /// needs those that may be its caller's.
    fn callers_awaiting_releases(&self) -> BTreeSet<CallerConnectionId> {
        let is_open = |call: &&StandingCall| self.state.callers.contains_key(&call.caller);
        let (open, closed): (Vec<&StandingCall>, Vec<_>) = self.state.standing.values().partition(is_open);
        let mut connections: BTreeSet<_> = open.into_iter().map(|call| call.caller).collect();
        if !closed.is_empty() {
            connections.extend(self.state.likely_callers(&[]));
        }
        connections
    }

    /// The connection that can be closed to make room for another: of those without open set-ups or pending data one that
    /// has shown least of whose it is, and among these the one that has been silent longest. A connection that has sent
    /// set-ups is not closed in the middle of a message.
    pub fn least_active_caller(&self, transport: &dyn Transport) -> Option<CallerConnectionId> {
        let closable = |connection: &CallerConnectionId, caller: &Caller| {
            let is_in_message = caller.evidence >= CallerEvidence::SetUp && caller.partial_since.is_some();
            caller.open_calls.is_empty() && !is_in_message && !transport.has_pending_data(*connection)
        };
        let callers = self.state.callers.iter();
        let idle = callers.filter(|(connection, caller)| closable(connection, caller));
        idle.min_by_key(|(_, caller)| (caller.evidence, caller.last_received))
            .map(|(connection, _)| *connection)
    }
}
