//! Releases of calls that stand, towards callers and towards exchanges.

use std::time::Duration;

use mintstall::interface::{CallId, ExchangeId};
use mintstall_sip as sip;

use super::{
    CONFIRM_WITHIN, MOST_PENDING_RELEASES, NORMAL_CLEARING, PENDING_RELEASE_KEPT, PlatformState,
    REPEAT_RELEASE_WITHIN, Standing, UNMATCHED_RELEASE_KEPT,
};
use crate::exchange_protocol::{self, MessageType, WireCallId, parameter};
use crate::{CallerConnectionId, LinkId, Transport};

impl PlatformState {
    /// Tells a caller that its call is over: on its own connection, else on any, else on the next that opens.
    pub fn notify_release(
        &mut self,
        transport: &mut dyn Transport,
        caller: Option<CallerConnectionId>,
        id: WireCallId,
        cause: u8,
        since: Duration,
    ) {
        let Some(no) = self.connection_for(caller) else {
            if self.pending_releases.len() == MOST_PENDING_RELEASES {
                self.pending_releases.pop_front();
            }
            transport.log_debug(format_args!("{id} over: no caller's connection is open"));
            return self.pending_releases.push_back((since, id, cause));
        };
        let (wire, reason) = (id.to_string(), format!("Q.850;cause={cause}"));
        let headers =
            [("Via", "SIP/2.0/TCP controller"), ("Call-ID", &*wire), ("CSeq", "1 BYE"), ("Reason", &*reason)];
        let mut octets = Vec::new();
        sip::encode(&mut octets, "BYE sip:peer@net SIP/2.0", &headers, b"");
        if let Some(caller) = self.callers.get_mut(&no) {
            while caller.unconfirmed.pop_front_if(|(at, ..)| *at + CONFIRM_WITHIN < self.now).is_some() {}
            if caller.unconfirmed.len() < MOST_PENDING_RELEASES {
                caller.unconfirmed.push_back((self.now, id, cause));
            }
        }
        transport.send_to_caller(no, &octets);
        transport.log_debug(format_args!("{id} over: told on {}, cause {cause}", no.0));
    }

    /// The connection on which the end of a call is told: its caller's, else the best of the others. Those on which a
    /// call has stood come first: others may be of those who only break things.
    pub fn connection_for(&self, caller: Option<CallerConnectionId>) -> Option<CallerConnectionId> {
        let usual = |no: &CallerConnectionId| self.callers.get(no).is_some_and(|caller| caller.sent_valid);
        let any = || {
            let usual = self.callers.iter().filter(|(_, caller)| caller.sent_valid);
            usual.max_by_key(|(_, caller)| (caller.had_standing_call, caller.heard)).map(|(no, _)| *no)
        };
        caller.filter(usual).or_else(any)
    }

    pub fn release_confirmed(&mut self, caller: CallerConnectionId, id: WireCallId) {
        if let Some(caller) = self.callers.get_mut(&caller) {
            caller.unconfirmed.retain(|(_, known, _)| *known != id);
        }
    }

    /// Releases that waited for a connection go out now.
    pub fn send_pending_releases(&mut self, transport: &mut dyn Transport) {
        for (since, id, cause) in std::mem::take(&mut self.pending_releases) {
            if since + PENDING_RELEASE_KEPT > self.now {
                self.notify_release(transport, None, id, cause, since);
            }
        }
    }

    /// A caller's connection has gone: the calls that waited on it, for the decisions to be told.
    pub fn caller_disconnected(
        &mut self,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
    ) -> Vec<CallId> {
        let Some(caller) = self.callers.remove(&no) else { return Vec::new() };
        for (at, id, cause) in caller.unconfirmed {
            if at + CONFIRM_WITHIN > self.now {
                self.notify_release(transport, None, id, cause, at);
            }
        }
        caller.open.into_iter().collect()
    }

    /// Releases a standing call towards its exchange: on a link that is up, and on the next one unless it is confirmed,
    /// as a link may be lost with what was written on it.
    pub fn release_at_exchange(&mut self, transport: &mut dyn Transport, to: ExchangeId, id: WireCallId) {
        if let Some(link) = self.oldest_open_link(to) {
            release_on(transport, link, id);
        }
        let now = self.now;
        let Some(far) = self.exchanges.get_mut(&to) else { return };
        while far.releases.pop_front_if(|(at, _)| *at + REPEAT_RELEASE_WITHIN < now).is_some() {}
        if far.releases.len() == MOST_PENDING_RELEASES {
            far.releases.pop_front();
        }
        far.releases.push_back((now, id));
    }

    /// An exchange has confirmed a release.
    pub fn exchange_confirmed_release(&mut self, by: ExchangeId, id: WireCallId) {
        if let Some(far) = self.exchanges.get_mut(&by) {
            far.releases.retain(|(_, known)| *known != id);
        }
    }

    /// A link has come up: releases that wait, or were not confirmed, go out on it.
    pub(super) fn repeat_releases(&mut self, transport: &mut dyn Transport, to: ExchangeId, link: LinkId) {
        let now = self.now;
        let Some(far) = self.exchanges.get_mut(&to) else { return };
        for (at, id) in std::mem::take(&mut far.releases) {
            if at + REPEAT_RELEASE_WITHIN >= now {
                release_on(transport, link, id);
            }
        }
    }

    /// Keeps the release of a call that is not known here, for a caller that may yet name it.
    pub fn keep_unmatched_release(&mut self, id: WireCallId, cause: u8) {
        let now = self.now;
        let expired = |(at, ..): &mut (Duration, WireCallId, u8)| *at + UNMATCHED_RELEASE_KEPT < now;
        while self.unmatched_releases.pop_front_if(expired).is_some() {}
        if self.unmatched_releases.len() == MOST_PENDING_RELEASES {
            self.unmatched_releases.pop_front();
        }
        self.unmatched_releases.push_back((now, id, cause));
    }

    /// The cause with which a call was released before its caller named it, if it was.
    pub fn unmatched_release(&self, id: WireCallId) -> Option<u8> {
        self.unmatched_releases.iter().rev().find(|(_, known, _)| *known == id).map(|(.., cause)| *cause)
    }

    /// Calls that stand at an exchange since before some time, taken off the books.
    pub fn take_standing(&mut self, at: ExchangeId, before: Duration) -> Vec<(WireCallId, Standing)> {
        self.standing.extract_if(.., |_, call| call.exchange == at && call.since < before).collect()
    }
}

/// Releases a call on a link, for a reason of its caller's or our own.
pub(super) fn release_on(transport: &mut dyn Transport, link: LinkId, id: WireCallId) {
    let mut octets = Vec::new();
    exchange_protocol::encode(
        &mut octets,
        MessageType::Release,
        id,
        &[(parameter::CAUSE, &[NORMAL_CLEARING])],
    );
    transport.send_to_link(link, &octets);
}
