//! What the decisions ask for, carried out.

use std::time::Duration;

use mintstall::host::{AlarmId, CallId, Cause, ExchangeId, Host, PeerNo, SeizureNo, Standing as Service};

use super::{OpenSeizure, PlatformState, SPARE_LINKS, Timer};
use crate::Transport;

/// The decisions act through this.
pub struct EventContext<'a> {
    pub desk: &'a mut PlatformState,
    pub port: &'a mut dyn Transport,
}

impl Host for EventContext<'_> {
    fn seize(&mut self, id: CallId, to: ExchangeId, limit: Duration) {
        let Self { desk, port } = self;
        let Some(call) = desk.calls.get_mut(&id) else { return };
        let no = SeizureNo(call.seizures);
        call.seizures = call.seizures.saturating_add(1);
        call.open_seizure = Some(OpenSeizure { no, to, link: None, since: desk.now, limit });
        desk.set(limit, Timer::SeizureTimeout(id, no));
        if desk.send_set_up(*port, id) {
            return;
        }
        // No link is free: one is waited for while it is dialled, which a seizure is reason enough for.
        let Some(far) = desk.exchanges.get(&to).filter(|far| far.service == Service::Ready) else {
            return desk.end(id, Cause::Unreachable);
        };
        if !desk.dialling(far) && far.links.len() < desk.links_each + SPARE_LINKS {
            let at = far.at;
            desk.dial(*port, to, at);
        }
        if let Some(far) = desk.exchanges.get_mut(&to) {
            far.queued_set_ups.push_back(id);
        }
        desk.unreached(to);
    }

    fn cancel(&mut self, id: CallId, seizure: SeizureNo) {
        let out = self.desk.calls.get(&id).and_then(|call| call.open_seizure.as_ref());
        if out.is_some_and(|out| out.no == seizure) {
            self.desk.give_up(self.port, id, Cause::Cancelled);
        }
    }

    fn reject(&mut self, id: CallId, come_back: Duration) {
        let wait = come_back.as_millis().to_string();
        let more = [("P-Back-Off", &*wait)];
        let more = if come_back.is_zero() { &more[..0] } else { &more[..] };
        self.desk.answer(self.port, id, 503, more, b"");
    }

    fn release(&mut self, id: CallId) {
        self.desk.answer(self.port, id, 500, &[], b"");
    }

    fn alarm(&mut self, after: Duration, alarm: AlarmId) {
        self.desk.set(after, Timer::Alarm(alarm));
    }

    fn tell(&mut self, _peer: Option<PeerNo>, _message: &[u8]) {
        // The platform has no way between controllers where its settings allow none, as they do so far.
    }

    fn subscribe(&mut self) {
        // The bus sends all changes by itself on the connection that is kept open anyway.
    }

    fn log(&mut self, line: &str) {
        self.port.log_info(line);
    }
}
