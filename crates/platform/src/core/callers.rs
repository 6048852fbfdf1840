//! What callers send: set-ups, cancels, releases and tests, and connections that open and close.

use std::time::Duration;

use mintstall::interface::{CallId, CallOffer, Cause, SeizureEnded, SeizureNumber};
use mintstall_sip::{self as sip, Message, StartLine};

use super::shutdown::Shutdown;
use super::{Core, MOST_HELD, MOST_OPEN, MOST_STANDING};
use crate::exchange_protocol::WireCallId;
use crate::invite::{self, Invite, SetUp};
use crate::reasons::{CallEnd, CallerClose};
use crate::state::{AnswerState, Call, Standing, TEMPORARY_FAILURE, Timer};
use crate::{CallerConnectionId, Transport};

impl Core {
    pub fn caller_connected(&mut self, now: Duration, caller: CallerConnectionId) {
        self.state.now = now;
        self.state.caller_connected(caller);
    }

    pub fn caller_data(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
        octets: &[u8],
    ) {
        self.state.now = now;
        let Some(caller) = self.state.callers.get_mut(&no) else { return };
        caller.heard = now;
        let mut decoder = std::mem::take(&mut caller.decoder);
        decoder.push(octets);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => self.message(transport, no, &message),
                Ok(None) => break,
                Err(spoilt) => {
                    transport.log_debug(format_args!("caller {}: {spoilt}", no.0));
                    self.fail_open_calls(transport, no);
                    let mut answer = Vec::new();
                    let why = [("Warning", &*spoilt.to_string())];
                    sip::encode_response(&mut answer, spoilt.status(), &why, b"");
                    transport.send_to_caller(no, &answer);
                    self.close_caller(transport, no, CallerClose::Malformed);
                    break;
                }
            }
            self.report_ended_seizures(transport);
            if !self.state.callers.contains_key(&no) {
                break;
            }
        }
        if let Some(caller) = self.state.callers.get_mut(&no) {
            caller.partial_since =
                if decoder.has_partial() { caller.partial_since.or(Some(now)) } else { None };
            caller.decoder = decoder;
        }
        self.report_ended_seizures(transport);
    }

    /// A caller's connection has ended.
    pub fn caller_disconnected(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
    ) {
        self.state.now = now;
        self.caller_gone(transport, no);
        self.report_ended_seizures(transport);
    }

    pub(super) fn caller_gone(&mut self, transport: &mut dyn Transport, no: CallerConnectionId) {
        for id in self.state.caller_disconnected(transport, no) {
            self.withdraw(transport, id);
        }
    }

    /// Closes a caller's connection, once what was said on it is written.
    pub(super) fn close_caller(
        &mut self,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
        reason: CallerClose,
    ) {
        transport.log_debug(format_args!("caller {} closed: {reason}", no.0));
        metrics::counter!("callers_closed", "reason" => reason.label()).increment(1);
        self.caller_gone(transport, no);
        transport.close_caller_after_flush(no);
    }

    /// Final answers for what is open on a connection that is about to be closed here: its calls were taken.
    fn fail_open_calls(&mut self, transport: &mut dyn Transport, no: CallerConnectionId) {
        let open = self.state.callers.get(&no).map(|caller| caller.open.clone()).unwrap_or_default();
        open.into_iter().for_each(|call| self.time_is_up(transport, call, 500));
    }

    /// Nothing is owed for a call any more.
    pub(super) fn withdraw(&mut self, transport: &mut dyn Transport, id: CallId) {
        self.state.withdraw_call(id);
        self.with_controller(transport, |controller, now, context| {
            controller.on_caller_gone(now, context, id)
        });
    }

    pub(super) fn message(
        &mut self,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
        message: &Message,
    ) {
        match message.start {
            StartLine::Request { method, .. } => {
                if method != "INVITE" {
                    self.usual(transport, no);
                }
                match method {
                    "INVITE" => self.invite(transport, no, message),
                    "CANCEL" => self.cancel(transport, no, message),
                    "BYE" => self.caller_releases(transport, no, message),
                    "OPTIONS" => {
                        let status = if self.shutdown == Shutdown::NotAsked { 200 } else { 503 };
                        reply(transport, no, message, status, "");
                    }
                    "ACK" | "NOTIFY" => {}
                    _ => reply(transport, no, message, 405, ""),
                }
            }
            StartLine::Response { .. } => {
                if let (Some((_, "BYE")), Some(id)) =
                    (message.cseq(), message.header("Call-ID").and_then(WireCallId::parse))
                {
                    self.state.release_confirmed(no, id);
                }
            }
        }
    }

    /// A connection that says something that makes sense can be told of calls that ended.
    pub(super) fn usual(&mut self, transport: &mut dyn Transport, no: CallerConnectionId) {
        if let Some(caller) = self.state.callers.get_mut(&no)
            && !std::mem::replace(&mut caller.sent_valid, true)
        {
            self.state.send_pending_releases(transport);
        }
    }

    pub(super) fn invite(
        &mut self,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
        message: &Message,
    ) {
        let wish = match invite::read(message, &self.settings) {
            Ok(wish) if message.cseq().is_some() => wish,
            Ok(_) => return reply(transport, no, message, 400, "CSeq is missing"),
            Err(refusal) => return reply(transport, no, message, 400, &refusal.to_string()),
        };
        match wish {
            Invite::Stands { id, at } => {
                self.usual(transport, no);
                self.stood_before(transport, no, id, at);
            }
            Invite::Call(set_up) => {
                if self.state.unanswered.contains_key(&set_up.id)
                    || self.state.standing.contains_key(&set_up.id)
                {
                    return reply(transport, no, message, 400, "a call has this id");
                }
                self.usual(transport, no);
                if self.draining() {
                    metrics::counter!("set_ups_refused", "reason" => "shutdown").increment(1);
                    return reply(transport, no, message, 503, "this controller shuts down");
                }
                let full = self.state.callers.get(&no).is_none_or(|caller| caller.open.len() >= MOST_OPEN)
                    || self.state.standing.len() >= MOST_STANDING
                    || self.state.held >= MOST_HELD;
                match full {
                    true => reply(transport, no, message, 503, "too many set-ups are open"),
                    false => self.offer(transport, no, message, &set_up),
                }
            }
        }
    }

    pub(super) fn offer(
        &mut self,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
        message: &Message,
        set_up: &SetUp,
    ) {
        let now = self.state.now;
        let until = self.answered_by(now + set_up.expires);
        let id = CallId(self.state.number());
        transport.log_debug(format_args!("{} offered by {}: {set_up:?}", set_up.id, no.0));
        let call = Call {
            id: set_up.id,
            caller: no,
            via: message.header("Via").unwrap_or("SIP/2.0/TCP peer").into(),
            cseq: message.cseq().map_or(1, |(number, _)| number),
            call_type: set_up.call_type_name.into(),
            number: set_up.number.into(),
            description: set_up.description.into(),
            answer_state: AnswerState::Pending,
            seizures: 0,
            open_seizure: None,
            left: Vec::new(),
        };
        self.state.take(id, call);
        self.state.unanswered.insert(set_up.id, id);
        if let Some(caller) = self.state.callers.get_mut(&no) {
            caller.open.insert(id);
        }
        self.state.set(until - now, Timer::GuardTime(id));
        let offer = CallOffer {
            call: id,
            call_type: set_up.call_type,
            customer: set_up.customer,
            dialled: set_up.dialled,
            deadline: until,
            dest: set_up.dest,
            width: set_up.width,
            advised: set_up.advised,
            transit: set_up.transit,
            cut: set_up.again,
            redial: false,
        };
        self.with_controller(transport, |controller, now, context| controller.on_offer(now, context, offer));
    }

    /// A call that stood before this process: remembered for its release.
    pub(super) fn stood_before(
        &mut self,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
        id: WireCallId,
        at: &str,
    ) {
        if self.state.standing.contains_key(&id) || self.state.standing.len() >= MOST_STANDING {
            return;
        }
        let now = self.state.now;
        if let Some(cause) = self.state.unmatched_release(id) {
            transport.log_debug(format_args!("{id} was released by its exchange before its caller named it"));
            return self.state.notify_release(transport, Some(no), id, cause, now);
        }
        match self.uids.get(at) {
            Some(exchange) => {
                let call = CallId(self.state.number());
                let (seizure, exchange) = (SeizureNumber(0), *exchange);
                let stands = Standing { call, seizure, exchange, caller: no, sent: now, since: now };
                self.state.standing.insert(id, stands);
            }
            // Its exchange has gone, and the call with it.
            None => {
                let reason = CallEnd::ExchangeUnknown;
                transport.log_debug(format_args!("{id} ended: {reason} ({at})"));
                reason.count(1);
                self.state.notify_release(transport, Some(no), id, TEMPORARY_FAILURE, now);
            }
        }
    }

    pub(super) fn cancel(
        &mut self,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
        message: &Message,
    ) {
        let id = message.header("Call-ID").and_then(WireCallId::parse);
        let call = id.and_then(|id| self.state.unanswered.get(&id).copied());
        let own = call.filter(|id| self.state.calls.get(id).is_some_and(|call| call.caller == no));
        let Some(id) = own else { return reply(transport, no, message, 481, "") };
        reply(transport, no, message, 200, "");
        self.state.answer(transport, id, 487, &[], b"");
        self.with_controller(transport, |controller, now, context| {
            controller.on_caller_gone(now, context, id)
        });
    }

    pub(super) fn caller_releases(
        &mut self,
        transport: &mut dyn Transport,
        no: CallerConnectionId,
        message: &Message,
    ) {
        let id = message.header("Call-ID").and_then(WireCallId::parse);
        let Some((id, call)) = id.and_then(|id| Some((id, self.state.standing.remove(&id)?))) else {
            return reply(transport, no, message, 481, "");
        };
        reply(transport, no, message, 200, "");
        let reason = CallEnd::ReleasedByCaller;
        transport.log_debug(format_args!("{id} ended: {reason}"));
        reason.count(1);
        self.state.release_at_exchange(transport, call.exchange, id);
        self.over(transport, &call, Cause::Cancelled);
    }

    /// A standing call has ended, for the decisions to be told.
    pub(super) fn over(&mut self, transport: &mut dyn Transport, call: &Standing, cause: Cause) {
        let Standing { call, seizure, exchange, sent, .. } = *call;
        let after = self.state.now.saturating_sub(sent);
        let end = SeizureEnded { call, seizure, exchange, cause, elapsed: after, closed: true };
        self.with_controller(transport, |controller, now, context| {
            controller.on_seizure_ended(now, context, &end)
        });
    }
}

/// Answers a request that is no call taken.
fn reply(transport: &mut dyn Transport, no: CallerConnectionId, message: &Message, status: u16, why: &str) {
    let names = ["Via", "Call-ID", "CSeq"];
    let mut headers: Vec<_> = names.iter().filter_map(|name| Some((*name, message.header(name)?))).collect();
    if !why.is_empty() {
        headers.push(("Warning", why));
    }
    let mut octets = Vec::new();
    sip::encode_response(&mut octets, status, &headers, b"");
    transport.send_to_caller(no, &octets);
}
