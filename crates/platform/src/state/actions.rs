//! The actions that the controller asks for.

use std::time::Duration;

use mintstall::interface::{
    CallId, Cause, ControllerActions, ExchangeId, ExchangeStatus, PeerId, SeizureNumber, TimerId,
};

use super::{MAX_EXTRA_LINKS, OpenSeizure, PlatformState, RemoteExchange, Timer};
use crate::Transport;

/// Carries out the controller's actions while it handles one event.
pub struct EventContext<'a> {
    pub state: &'a mut PlatformState,
    pub transport: &'a mut dyn Transport,
}

impl ControllerActions for EventContext<'_> {
    fn seize(&mut self, id: CallId, to: ExchangeId, timeout: Duration) {
        let Self { state, transport } = self;
        let Some(call) = state.calls.get_mut(&id) else { return };
        let number = SeizureNumber(call.seizure_count);
        call.seizure_count = call.seizure_count.saturating_add(1);
        let timer = state.timers.set(state.now + timeout, Timer::SeizureTimeout(id, number));
        call.open_seizure =
            Some(OpenSeizure { number, exchange: to, link: None, seized_at: state.now, timeout, timer });
        if state.send_set_up(*transport, id) {
            return;
        }
        // No link is free: the set-up is queued while a link is connecting, and one is opened if none is.
        let is_usable =
            |remote: &&RemoteExchange| remote.status == ExchangeStatus::Ready && remote.is_reachable();
        let Some(remote) = state.exchanges.get(&to).filter(is_usable) else {
            return state.end_seizure(id, Cause::Unreachable);
        };
        if !state.is_connecting(remote) && remote.links.len() < state.links_per_exchange + MAX_EXTRA_LINKS {
            let address = remote.address;
            state.connect(*transport, to, address);
        }
        if let Some(remote) = state.exchanges.get_mut(&to) {
            remote.queued_set_ups.push_back(id);
        }
        state.fail_unreachable_set_ups(to);
    }

    fn cancel(&mut self, id: CallId, seizure: SeizureNumber) {
        let open_seizure = self.state.calls.get(&id).and_then(|call| call.open_seizure.as_ref());
        if open_seizure.is_some_and(|open_seizure| open_seizure.number == seizure) {
            self.state.give_up_seizure(self.transport, id, Cause::Cancelled);
        }
    }

    fn reject(&mut self, id: CallId, retry_after: Duration) {
        let retry_after_ms = retry_after.as_millis().to_string();
        let headers = [("P-Back-Off", &*retry_after_ms)];
        let headers = if retry_after.is_zero() { &headers[..0] } else { &headers[..] };
        self.state.answer(self.transport, id, 503, headers, b"");
    }

    fn release(&mut self, id: CallId) {
        self.state.answer(self.transport, id, 500, &[], b"");
    }

    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        let handle = self.state.set_timer(after, Timer::Controller(timer));
        // Timers of calls have their numbers. A call waits for one thing at a time.
        let call = self.state.calls.get_mut(&CallId(timer.0));
        let previous = call.and_then(|call| call.controller_timer.replace(handle));
        previous.into_iter().for_each(|previous| self.state.timers.cancel(previous));
    }

    fn send_to_peers(&mut self, _peer: Option<PeerId>, _message: &[u8]) {
        // The platform's settings so far allow no messages between controllers, and it has no path for them.
    }

    fn subscribe(&mut self) {
        // The event bus sends all changes unasked on its connection, which is always kept open.
    }

    fn log(&mut self, line: &str) {
        self.transport.log_info(line);
    }
}
