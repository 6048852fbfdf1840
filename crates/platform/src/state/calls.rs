//! Calls without a final answer and their attempts.

use mintstall::interface::{CallId, Cause, SeizureEnded, SeizureNumber};
use mintstall_sip as sip;

use super::releases::release_on;
use super::{AnswerState, Call, LinkState, PlatformState, RemoteExchange};
use crate::exchange_protocol::{self, MessageType, parameter};
use crate::{LinkId, Transport};

impl PlatformState {
    pub fn take(&mut self, id: CallId, call: Call) {
        self.held += call.octets();
        self.calls.insert(id, call);
    }

    pub(super) fn drop_call(&mut self, id: CallId) {
        self.held -= self.calls.remove(&id).map_or(0, |call| call.octets());
    }

    /// The final answer of a call: written once, and nothing after it.
    pub fn answer(
        &mut self,
        transport: &mut dyn Transport,
        id: CallId,
        status: u16,
        more: &[(&str, &str)],
        body: &[u8],
    ) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.answer_state == AnswerState::Pending)
        else {
            return;
        };
        call.answer_state = AnswerState::Settled;
        let (cseq, wire) = (format!("{} INVITE", call.cseq), call.id.to_string());
        let mut headers = vec![("Via", &*call.via), ("Call-ID", &wire), ("CSeq", &cseq)];
        headers.extend_from_slice(more);
        let (mut octets, caller) = (Vec::new(), call.caller);
        sip::encode_response(&mut octets, status, &headers, body);
        self.unanswered.remove(&call.id);
        if let Some(caller) = self.callers.get_mut(&caller) {
            caller.open.remove(&id);
        }
        if call.open_seizure.is_none() {
            self.drop_call(id);
        }
        transport.send_to_caller(caller, &octets);
        metrics::counter!("final_answers", "status" => status.to_string()).increment(1);
        transport.log_debug(format_args!("{wire} told {status} {more:?}"));
    }

    /// Nothing more is owed for a call; what is out of it goes on to its end.
    pub fn withdraw_call(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if std::mem::replace(&mut call.answer_state, AnswerState::Settled) == AnswerState::Pending {
            self.unanswered.remove(&call.id);
            if let Some(caller) = self.callers.get_mut(&call.caller) {
                caller.open.remove(&id);
            }
        }
        if call.open_seizure.is_none() {
            self.drop_call(id);
        }
    }

    /// The link for a further set-up: the one with fewest out.
    pub(super) fn pick(
        &self,
        transport: &dyn Transport,
        far: &RemoteExchange,
        call: &Call,
    ) -> Option<LinkId> {
        let links = far.links.iter().filter_map(|no| self.links.get(no).map(|link| (no, link)));
        let free = links.filter(|(no, link)| {
            link.state == LinkState::Up
                && link.partial_since.is_none()
                && !call.left.contains(no)
                && !transport.is_write_blocked(**no)
        });
        free.min_by_key(|(_, link)| link.open_set_ups.len()).map(|(no, _)| *no)
    }

    /// Sends the set-up of a call whose seizure waits, if a link is free.
    pub(super) fn send_set_up(&mut self, transport: &mut dyn Transport, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else { return true };
        let Some(out) = call.open_seizure.as_ref().filter(|out| out.link.is_none()) else { return true };
        let Some(far) = self.exchanges.get(&out.to) else { return false };
        let Some(no) = self.pick(transport, far, call) else { return false };
        let left = out.limit.saturating_sub(self.now.saturating_sub(out.since));
        let patience = left.as_millis().to_string();
        let mut octets = Vec::with_capacity(64 + call.description.len());
        let parameters = [
            (parameter::CALL_TYPE, call.call_type.as_bytes()),
            (parameter::PATIENCE_MS, patience.as_bytes()),
            (parameter::NUMBER, call.number.as_bytes()),
            (parameter::DESCRIPTION, &call.description[..]),
        ];
        exchange_protocol::encode(&mut octets, MessageType::SetUp, call.id, &parameters);
        let wire = call.id;
        if let Some(link) = self.links.get_mut(&no) {
            link.open_set_ups.insert(wire, id);
        }
        if let Some(out) = self.calls.get_mut(&id).and_then(|call| call.open_seizure.as_mut()) {
            out.link = Some(no);
        }
        transport.send_to_link(no, &octets);
        transport.log_debug(format_args!("{wire} sent on link {} with {patience} ms", no.0));
        true
    }

    /// A seizure has ended: taken off the books, to be told.
    pub fn end(&mut self, id: CallId, cause: Cause) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = call.open_seizure.take() else { return };
        let closed = call.answer_state == AnswerState::Settled;
        if let Some(link) = out.link.and_then(|no| self.links.get_mut(&no)) {
            link.open_set_ups.remove(&call.id);
        }
        if out.link.is_none()
            && let Some(far) = self.exchanges.get_mut(&out.to)
        {
            far.queued_set_ups.retain(|waits| *waits != id);
        }
        let after = self.now.saturating_sub(out.since);
        metrics::counter!("attempts_ended", "cause" => cause_label(cause)).increment(1);
        self.ends.push_back(SeizureEnded {
            call: id,
            seizure: out.no,
            exchange: out.to,
            cause,
            elapsed: after,
            closed,
        });
        if closed {
            self.drop_call(id);
        }
    }

    /// Gives up a seizure: the exchange is told, and what still comes on that link is not for a later one.
    pub fn give_up(&mut self, transport: &mut dyn Transport, id: CallId, cause: Cause) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = &call.open_seizure else { return };
        // What never went out is not reached, and has not run.
        let Some(link) = out.link else { return self.end(id, Cause::Unreachable) };
        call.left.push(link);
        release_on(transport, link, call.id);
        self.end(id, cause);
    }

    /// The time of a seizure is up.
    pub fn limit(&mut self, transport: &mut dyn Transport, id: CallId, no: SeizureNumber) {
        let Some(out) = self.calls.get(&id).and_then(|call| call.open_seizure.as_ref()) else { return };
        if out.no != no {
            return;
        }
        let (link, since) = (out.link, out.since);
        self.give_up(transport, id, Cause::TimedOut);
        // A link on which nothing came since is of no use to others either. It is read on for a while: closing it would
        // lose a release that is on its way, and the set-ups that are out on it.
        if let Some(no) = link
            && self.links.get(&no).is_some_and(|link| link.state == LinkState::Up && link.heard < since)
        {
            self.drain_link(transport, no);
        }
    }
}

/// The label of an attempt's end in the metrics.
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
        Cause::NotSent { .. } => "not_sent",
    }
}
