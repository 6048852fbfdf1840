//! The shutdown: what is still served after the signal to stop, and when the process may end.

use std::time::Duration;

use super::{Core, STOP_ANSWERS, STOP_COMING, Stop};
use crate::desk::Timer;
use crate::{CallerNo, Port};

impl Core {
    /// The signal to stop: what comes is still taken, with time for its answer before the process is ended.
    pub fn stop(&mut self, now: Duration, port: &mut dyn Port) {
        self.desk.now = now;
        if let Stop::Not = self.stop {
            let longest =
                self.trade.office.call_types.iter().map(|of| of.guard_time).max().unwrap_or_default();
            let by = now + STOP_ANSWERS.min(longest.max(STOP_COMING));
            port.note(&format!("told to stop: {} calls to be answered", self.desk.named.len()));
            self.stop = Stop::Asked { at: now, by };
            self.desk.set(by - now, Timer::Stop);
        }
    }

    /// Whether all that was taken is answered and nothing more will come.
    pub fn stopped(&self, now: Duration) -> bool {
        matches!(self.stop, Stop::Asked { at, .. } if at + STOP_COMING < now) && self.desk.named.is_empty()
    }

    /// The connection that can be closed to make room for another: the longest silent without an open set-up.
    pub fn idlest(&self) -> Option<CallerNo> {
        let idle = self.desk.callers.iter().filter(|(_, caller)| caller.open.is_empty());
        idle.min_by_key(|(_, caller)| (caller.usual, caller.heard)).map(|(no, _)| *no)
    }
}
