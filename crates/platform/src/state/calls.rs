//! Calls without a final answer, and their seizures.

use mintstall::interface::{CallId, Cause, ExchangeId, SeizureEnded, SeizureNumber};
use mintstall_sip as sip;

use super::releases::release_on;
use super::{AnswerState, Call, Link, LinkState, PlatformState, RemoteExchange};
use crate::exchange_protocol::{self, MessageType, parameter};
use crate::{LinkId, Transport};

/// More than the start line and the required headers of any final answer.
const MAX_REQUIRED_OCTETS: usize = 256;

impl PlatformState {
    pub fn add_call(&mut self, id: CallId, call: Call) {
        self.held_octets += call.octets();
        self.calls.insert(id, call);
    }

    /// Removes a call, with its timers.
    pub(super) fn remove_call(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.held_octets -= call.octets();
        let timers =
            [call.guard_timer, call.controller_timer, call.open_seizure.map(|seizure| seizure.timer)];
        timers.into_iter().flatten().for_each(|timer| self.timers.cancel(timer));
    }

    /// Sends the final answer of a call, unless it has been sent or its caller no longer waits.
    pub fn answer(
        &mut self,
        transport: &mut dyn Transport,
        id: CallId,
        status: u16,
        extra_headers: &[(&str, &str)],
        body: &[u8],
    ) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.answer_state == AnswerState::Pending)
        else {
            return;
        };
        call.answer_state = AnswerState::Settled;
        let (octets, caller, wire_id) =
            (encode_answer(call, status, extra_headers, body), call.caller, call.id);
        self.unanswered.remove(&call.id);
        if let Some(caller) = self.callers.get_mut(&caller) {
            caller.open_calls.remove(&id);
        }
        match call.open_seizure {
            None => self.remove_call(id),
            Some(_) => self.release_waits.seizure_is_out(call.id),
        }
        transport.send_to_caller(caller, &octets);
        metrics::counter!("final_answers", "status" => status.to_string()).increment(1);
        transport.log_debug(format_args!("{wire_id} answered: {status} {extra_headers:?}"));
    }

    /// The caller no longer waits for an answer. An open seizure of the call goes on until it ends.
    pub fn withdraw_call(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if std::mem::replace(&mut call.answer_state, AnswerState::Settled) == AnswerState::Pending {
            self.unanswered.remove(&call.id);
            if let Some(caller) = self.callers.get_mut(&call.caller) {
                caller.open_calls.remove(&id);
            }
        }
        match call.open_seizure {
            None => self.remove_call(id),
            Some(_) => self.release_waits.seizure_is_out(call.id),
        }
    }

    /// The link for a set-up: of those that are free for this call, the one with the fewest open set-ups. Links with a
    /// given-up set-up of a former call under the same id come last. Before them come those that are suspected of having
    /// failed, and, while another process may listen at the address, those on which it has not answered.
    pub(super) fn pick_link(
        &self,
        transport: &dyn Transport,
        remote: &RemoteExchange,
        (id, call): (CallId, &Call),
    ) -> Option<LinkId> {
        let links =
            remote.links.iter().filter_map(|link_id| self.links.get(link_id).map(|link| (link_id, link)));
        let free = links.filter(|(link_id, link)| {
            link.state == LinkState::Up
                && link.partial_since.is_none()
                && link.abandoned_set_ups.call_of(self.now, call.id) != Some(id)
                && !transport.is_write_blocked(**link_id)
        });
        let is_doubtful = |link: &Link| {
            link.liveness.is_suspected() || remote.opened_in_doubt().is_some_and(|at| link.is_older(at))
        };
        let had_same_id = |link: &Link| link.abandoned_set_ups.contains(self.now, call.id);
        free.min_by_key(|(_, link)| (had_same_id(link), is_doubtful(link), link.open_set_ups.len()))
            .map(|(link_id, _)| *link_id)
    }

    /// Sends the set-up of a seizure that has no link yet. False if it has to wait for a free link. If its caller no longer
    /// waits, or its time is over, nothing is sent, and the seizure ends.
    pub(super) fn send_set_up(&mut self, transport: &mut dyn Transport, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else { return true };
        let Some(seizure) = call.open_seizure.as_ref().filter(|seizure| seizure.link.is_none()) else {
            return true;
        };
        if call.answer_state == AnswerState::Settled {
            self.end_seizure(id, Cause::Unreachable);
            return true;
        }
        let remaining = seizure.timeout.saturating_sub(self.now.saturating_sub(seizure.seized_at));
        if remaining.is_zero() {
            self.end_seizure(id, Cause::Unreachable);
            return true;
        }
        let Some(remote) = self.exchanges.get(&seizure.exchange) else { return false };
        let Some(link_id) = self.pick_link(transport, remote, (id, call)) else { return false };
        let expires_ms = remaining.as_millis().to_string();
        let mut octets = Vec::with_capacity(64 + call.description.len());
        let parameters = [
            (parameter::CALL_TYPE, call.call_type.as_bytes()),
            (parameter::EXPIRES_MS, expires_ms.as_bytes()),
            (parameter::NUMBER, call.number.as_bytes()),
            (parameter::DESCRIPTION, &call.description[..]),
        ];
        exchange_protocol::encode(&mut octets, MessageType::SetUp, call.id, &parameters);
        let wire_id = call.id;
        if let Some(link) = self.links.get_mut(&link_id) {
            link.open_set_ups.insert(wire_id, id);
        }
        if let Some(seizure) = self.calls.get_mut(&id).and_then(|call| call.open_seizure.as_mut()) {
            seizure.link = Some(link_id);
        }
        transport.send_set_up(link_id, id, &octets);
        transport.log_debug(format_args!("{wire_id} sent on link {} with {expires_ms} ms left", link_id.0));
        true
    }

    /// Removes a seizure that has ended and queues its end for the controller.
    pub fn end_seizure(&mut self, id: CallId, cause: Cause) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(seizure) = call.open_seizure.take() else { return };
        self.timers.cancel(seizure.timer);
        let closed = call.answer_state == AnswerState::Settled;
        if let Some(link) = seizure.link.and_then(|link_id| self.links.get_mut(&link_id)) {
            link.open_set_ups.remove(&call.id);
        }
        if seizure.link.is_none()
            && let Some(remote) = self.exchanges.get_mut(&seizure.exchange)
        {
            remote.queued_set_ups.retain(|queued| *queued != id);
        }
        let released = matches!(cause, Cause::TimedOut | Cause::Cut | Cause::Cancelled);
        self.release_waits.seizure_ended(self.now, call.id, released && seizure.link.is_some());
        let elapsed = self.now.saturating_sub(seizure.seized_at);
        metrics::counter!("attempts_ended", "cause" => cause_label(cause)).increment(1);
        self.ended_seizures.push_back(SeizureEnded {
            call: id,
            seizure: seizure.number,
            exchange: seizure.exchange,
            cause,
            elapsed,
            closed,
        });
        if closed {
            self.remove_call(id);
        }
    }

    /// Gives up a seizure and releases it at the exchange. Later seizures of the call use other links, so that a late
    /// message is not taken for one of theirs.
    pub fn give_up_seizure(&mut self, transport: &mut dyn Transport, id: CallId, cause: Cause) {
        let Some(call) = self.calls.get(&id) else { return };
        let (wire_id, Some(seizure)) = (call.id, &call.open_seizure) else { return };
        // Without a link the set-up was never sent, so the exchange has not acted on it.
        let Some(link) = seizure.link else { return self.end_seizure(id, Cause::Unreachable) };
        if self.revoke_set_up(transport, id) {
            let cause = if cause == Cause::Cancelled { Cause::Revoked } else { cause };
            return self.end_seizure(id, cause);
        }
        if let Some(link) = self.links.get_mut(&link) {
            link.abandoned_set_ups.insert(self.now, wire_id, id);
        }
        release_on(transport, link, wire_id);
        self.end_seizure(id, cause);
    }

    /// Takes back a set-up of which nothing is written yet. Returns whether it could; the seizure is then as if it still
    /// waited for a link.
    pub fn revoke_set_up(&mut self, transport: &mut dyn Transport, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Some(seizure) = &mut call.open_seizure else { return false };
        let Some(link_id) = seizure.link.filter(|link_id| transport.revoke_set_up(*link_id, id)) else {
            return false;
        };
        seizure.link = None;
        let wire_id = call.id;
        if let Some(link) = self.links.get_mut(&link_id) {
            link.open_set_ups.remove(&wire_id);
        }
        metrics::counter!("set_ups_revoked").increment(1);
        transport.log_debug(format_args!("{wire_id} taken back, unwritten, from link {}", link_id.0));
        true
    }

    /// Takes back the set-ups to an exchange of which nothing is written yet. Their calls are set up elsewhere.
    pub fn revoke_set_ups_to(&mut self, transport: &mut dyn Transport, exchange: ExchangeId) {
        let links = self.links.values().filter(|link| link.exchange == exchange);
        let calls: Vec<_> = links.flat_map(|link| link.open_set_ups.values()).copied().collect();
        for id in calls {
            if self.revoke_set_up(transport, id) {
                self.end_seizure(id, Cause::Revoked);
            }
        }
    }

    pub fn on_seizure_timeout(&mut self, transport: &mut dyn Transport, id: CallId, number: SeizureNumber) {
        let Some(seizure) = self.calls.get(&id).and_then(|call| call.open_seizure.as_ref()) else { return };
        if seizure.number != number {
            return;
        }
        let (link, since) = (seizure.link, seizure.seized_at);
        self.give_up_seizure(transport, id, Cause::TimedOut);
        // Nothing was received on the link since the seizure, so it gets no more set-ups. It is still read for a while:
        // closing it would lose a release that is on its way, and the open set-ups on it.
        if let Some(link_id) = link
            && let Some(link) = self.links.get_mut(&link_id)
            && link.state == LinkState::Up
            && link.liveness.last_heard() < since
        {
            link.liveness.await_message(since);
            self.drain_link(transport, link_id);
        }
    }
}

/// A final answer. Headers that the protocol leaves free are left out if the message would be too long with them.
fn encode_answer(call: &Call, status: u16, extra_headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let (cseq, id) = (format!("{} INVITE", call.cseq), call.id.to_string());
    let required = [("Call-ID", &*id), ("CSeq", &*cseq)];
    let mut headers = vec![("Via", &*call.via)];
    headers.extend_from_slice(&required);
    headers.extend_from_slice(extra_headers);
    let mut octets = Vec::new();
    sip::encode_response(&mut octets, status, &headers, body);
    if octets.len() > sip::MAX_MESSAGE_OCTETS {
        octets.clear();
        sip::encode_response(&mut octets, status, &required, body);
    }
    octets
}

impl Call {
    /// Whether an answer with this description can be passed on to the caller.
    pub fn can_be_answered_with(&self, description: &[u8]) -> bool {
        description.len() + MAX_REQUIRED_OCTETS <= sip::MAX_MESSAGE_OCTETS
            || encode_answer(self, 200, &[], description).len() <= sip::MAX_MESSAGE_OCTETS
    }
}

/// The metric label of the cause of an ended seizure.
const fn cause_label(cause: Cause) -> &'static str {
    match cause {
        Cause::Done => "done",
        Cause::Busy => "busy",
        Cause::Fault => "fault",
        Cause::NoCircuit => "no_circuit",
        Cause::TurnedBack { .. } => "crankback",
        Cause::ProcessorFull { .. } => "processor_full",
        Cause::TimedOut => "timed_out",
        Cause::Unreachable => "unreachable",
        Cause::Cut => "cut",
        Cause::Cancelled => "cancelled",
        Cause::Revoked => "revoked",
        Cause::NotSent { .. } => "not_sent",
    }
}
