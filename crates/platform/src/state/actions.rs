//! What the decisions ask for, carried out.

use std::time::Duration;

use mintstall::interface::{
    CallId, Cause, ControllerActions, ExchangeId, ExchangeStatus, PeerId, SeizureNumber, TimerId,
};

use super::{OpenSeizure, PlatformState, SPARE_LINKS, Timer};
use crate::Transport;

/// The decisions act through this.
pub struct EventContext<'a> {
    pub state: &'a mut PlatformState,
    pub transport: &'a mut dyn Transport,
}

impl ControllerActions for EventContext<'_> {
    fn seize(&mut self, id: CallId, to: ExchangeId, limit: Duration) {
        let Self { state, transport } = self;
        let Some(call) = state.calls.get_mut(&id) else { return };
        let no = SeizureNumber(call.seizures);
        call.seizures = call.seizures.saturating_add(1);
        call.open_seizure = Some(OpenSeizure { no, to, link: None, since: state.now, limit });
        state.set(limit, Timer::SeizureTimeout(id, no));
        if state.send_set_up(*transport, id) {
            return;
        }
        // No link is free: one is waited for while it is dialled, which a seizure is reason enough for.
        let Some(far) = state.exchanges.get(&to).filter(|far| far.service == ExchangeStatus::Ready) else {
            return state.end(id, Cause::Unreachable);
        };
        if !state.dialling(far) && far.links.len() < state.links_each + SPARE_LINKS {
            let at = far.at;
            state.dial(*transport, to, at);
        }
        if let Some(far) = state.exchanges.get_mut(&to) {
            far.queued_set_ups.push_back(id);
        }
        state.unreached(to);
    }

    fn cancel(&mut self, id: CallId, seizure: SeizureNumber) {
        let out = self.state.calls.get(&id).and_then(|call| call.open_seizure.as_ref());
        if out.is_some_and(|out| out.no == seizure) {
            self.state.give_up(self.transport, id, Cause::Cancelled);
        }
    }

    fn reject(&mut self, id: CallId, retry_after: Duration) {
        let wait = retry_after.as_millis().to_string();
        let more = [("P-Back-Off", &*wait)];
        let more = if retry_after.is_zero() { &more[..0] } else { &more[..] };
        self.state.answer(self.transport, id, 503, more, b"");
    }

    fn release(&mut self, id: CallId) {
        self.state.answer(self.transport, id, 500, &[], b"");
    }

    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        self.state.set(after, Timer::Alarm(timer));
    }

    fn send_to_peers(&mut self, _peer: Option<PeerId>, _message: &[u8]) {
        // The platform has no way between controllers where its settings allow none, as they do so far.
    }

    fn subscribe(&mut self) {
        // The bus sends all changes by itself on the connection that is kept open anyway.
    }

    fn log(&mut self, line: &str) {
        self.transport.log_info(line);
    }
}
