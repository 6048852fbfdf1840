//! What callers send: set-ups, cancels, releases and tests, and connections that open and close.

use std::time::Duration;

use mintstall::host::{CallId, Cause, Ended, Offer, SeizureNo};
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
        self.desk.now = now;
        self.desk.caller_connected(caller);
    }

    pub fn caller_data(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        no: CallerConnectionId,
        octets: &[u8],
    ) {
        self.desk.now = now;
        let Some(caller) = self.desk.callers.get_mut(&no) else { return };
        caller.heard = now;
        let mut cutter = std::mem::take(&mut caller.cutter);
        cutter.push(octets);
        loop {
            match cutter.next_message() {
                Ok(Some(message)) => self.message(port, no, &message),
                Ok(None) => break,
                Err(spoilt) => {
                    port.log_debug(format_args!("caller {}: {spoilt}", no.0));
                    self.fail_open_calls(port, no);
                    let mut answer = Vec::new();
                    let why = [("Warning", &*spoilt.to_string())];
                    sip::encode_response(&mut answer, spoilt.status(), &why, b"");
                    port.send_to_caller(no, &answer);
                    self.close_caller(port, no, CallerClose::Malformed);
                    break;
                }
            }
            self.report_ended_seizures(port);
            if !self.desk.callers.contains_key(&no) {
                break;
            }
        }
        if let Some(caller) = self.desk.callers.get_mut(&no) {
            caller.partial_since =
                if cutter.has_partial() { caller.partial_since.or(Some(now)) } else { None };
            caller.cutter = cutter;
        }
        self.report_ended_seizures(port);
    }

    /// A caller's connection has ended.
    pub fn caller_disconnected(&mut self, now: Duration, port: &mut dyn Transport, no: CallerConnectionId) {
        self.desk.now = now;
        self.caller_gone(port, no);
        self.report_ended_seizures(port);
    }

    pub(super) fn caller_gone(&mut self, port: &mut dyn Transport, no: CallerConnectionId) {
        for id in self.desk.caller_disconnected(port, no) {
            self.withdraw(port, id);
        }
    }

    /// Closes a caller's connection, once what was said on it is written.
    pub(super) fn close_caller(
        &mut self,
        port: &mut dyn Transport,
        no: CallerConnectionId,
        reason: CallerClose,
    ) {
        port.log_debug(format_args!("caller {} closed: {reason}", no.0));
        metrics::counter!("callers_closed", "reason" => reason.label()).increment(1);
        self.caller_gone(port, no);
        port.close_caller_after_flush(no);
    }

    /// Final answers for what is open on a connection that is about to be closed here: its calls were taken.
    fn fail_open_calls(&mut self, port: &mut dyn Transport, no: CallerConnectionId) {
        let open = self.desk.callers.get(&no).map(|caller| caller.open.clone()).unwrap_or_default();
        open.into_iter().for_each(|call| self.time_is_up(port, call, 500));
    }

    /// Nothing is owed for a call any more.
    pub(super) fn withdraw(&mut self, port: &mut dyn Transport, id: CallId) {
        self.desk.withdraw_call(id);
        self.with_controller(port, |controller, now, turn| controller.withdrawn(now, turn, id));
    }

    pub(super) fn message(&mut self, port: &mut dyn Transport, no: CallerConnectionId, message: &Message) {
        match message.start {
            StartLine::Request { method, .. } => {
                if method != "INVITE" {
                    self.usual(port, no);
                }
                match method {
                    "INVITE" => self.invite(port, no, message),
                    "CANCEL" => self.cancel(port, no, message),
                    "BYE" => self.caller_releases(port, no, message),
                    "OPTIONS" => {
                        let status = if self.shutdown == Shutdown::NotAsked { 200 } else { 503 };
                        reply(port, no, message, status, "");
                    }
                    "ACK" | "NOTIFY" => {}
                    _ => reply(port, no, message, 405, ""),
                }
            }
            StartLine::Response { .. } => {
                if let (Some((_, "BYE")), Some(id)) =
                    (message.cseq(), message.header("Call-ID").and_then(WireCallId::parse))
                {
                    self.desk.release_confirmed(no, id);
                }
            }
        }
    }

    /// A connection that says something that makes sense can be told of calls that ended.
    pub(super) fn usual(&mut self, port: &mut dyn Transport, no: CallerConnectionId) {
        if let Some(caller) = self.desk.callers.get_mut(&no)
            && !std::mem::replace(&mut caller.sent_valid, true)
        {
            self.desk.send_pending_releases(port);
        }
    }

    pub(super) fn invite(&mut self, port: &mut dyn Transport, no: CallerConnectionId, message: &Message) {
        let wish = match invite::read(message, &self.settings) {
            Ok(wish) if message.cseq().is_some() => wish,
            Ok(_) => return reply(port, no, message, 400, "CSeq is missing"),
            Err(refusal) => return reply(port, no, message, 400, &refusal.to_string()),
        };
        match wish {
            Invite::Stands { id, at } => {
                self.usual(port, no);
                self.stood_before(port, no, id, at);
            }
            Invite::Call(set_up) => {
                if self.desk.unanswered.contains_key(&set_up.id)
                    || self.desk.standing.contains_key(&set_up.id)
                {
                    return reply(port, no, message, 400, "a call has this id");
                }
                self.usual(port, no);
                if self.draining() {
                    metrics::counter!("set_ups_refused", "reason" => "shutdown").increment(1);
                    return reply(port, no, message, 503, "this controller shuts down");
                }
                let full = self.desk.callers.get(&no).is_none_or(|caller| caller.open.len() >= MOST_OPEN)
                    || self.desk.standing.len() >= MOST_STANDING
                    || self.desk.held >= MOST_HELD;
                match full {
                    true => reply(port, no, message, 503, "too many set-ups are open"),
                    false => self.offer(port, no, message, &set_up),
                }
            }
        }
    }

    pub(super) fn offer(
        &mut self,
        port: &mut dyn Transport,
        no: CallerConnectionId,
        message: &Message,
        set_up: &SetUp,
    ) {
        let now = self.desk.now;
        let until = self.answered_by(now + set_up.expires);
        let id = CallId(self.desk.number());
        port.log_debug(format_args!("{} offered by {}: {set_up:?}", set_up.id, no.0));
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
        self.desk.take(id, call);
        self.desk.unanswered.insert(set_up.id, id);
        if let Some(caller) = self.desk.callers.get_mut(&no) {
            caller.open.insert(id);
        }
        self.desk.set(until - now, Timer::GuardTime(id));
        let offer = Offer {
            call: id,
            call_type: set_up.call_type,
            customer: set_up.customer,
            dialled: set_up.dialled,
            until,
            dest: set_up.dest,
            width: set_up.width,
            advised: set_up.advised,
            transit: set_up.transit,
            cut: set_up.again,
            redial: false,
        };
        self.with_controller(port, |controller, now, turn| controller.offered(now, turn, offer));
    }

    /// A call that stood before this process: remembered for its release.
    pub(super) fn stood_before(
        &mut self,
        port: &mut dyn Transport,
        no: CallerConnectionId,
        id: WireCallId,
        at: &str,
    ) {
        if self.desk.standing.contains_key(&id) || self.desk.standing.len() >= MOST_STANDING {
            return;
        }
        let now = self.desk.now;
        if let Some(cause) = self.desk.unmatched_release(id) {
            port.log_debug(format_args!("{id} was released by its exchange before its caller named it"));
            return self.desk.notify_release(port, Some(no), id, cause, now);
        }
        match self.uids.get(at) {
            Some(exchange) => {
                let call = CallId(self.desk.number());
                let (seizure, exchange) = (SeizureNo(0), *exchange);
                let stands = Standing { call, seizure, exchange, caller: no, sent: now, since: now };
                self.desk.standing.insert(id, stands);
            }
            // Its exchange has gone, and the call with it.
            None => {
                let reason = CallEnd::ExchangeUnknown;
                port.log_debug(format_args!("{id} ended: {reason} ({at})"));
                reason.count(1);
                self.desk.notify_release(port, Some(no), id, TEMPORARY_FAILURE, now);
            }
        }
    }

    pub(super) fn cancel(&mut self, port: &mut dyn Transport, no: CallerConnectionId, message: &Message) {
        let id = message.header("Call-ID").and_then(WireCallId::parse);
        let call = id.and_then(|id| self.desk.unanswered.get(&id).copied());
        let own = call.filter(|id| self.desk.calls.get(id).is_some_and(|call| call.caller == no));
        let Some(id) = own else { return reply(port, no, message, 481, "") };
        reply(port, no, message, 200, "");
        self.desk.answer(port, id, 487, &[], b"");
        self.with_controller(port, |controller, now, turn| controller.withdrawn(now, turn, id));
    }

    pub(super) fn caller_releases(
        &mut self,
        port: &mut dyn Transport,
        no: CallerConnectionId,
        message: &Message,
    ) {
        let id = message.header("Call-ID").and_then(WireCallId::parse);
        let Some((id, call)) = id.and_then(|id| Some((id, self.desk.standing.remove(&id)?))) else {
            return reply(port, no, message, 481, "");
        };
        reply(port, no, message, 200, "");
        let reason = CallEnd::ReleasedByCaller;
        port.log_debug(format_args!("{id} ended: {reason}"));
        reason.count(1);
        self.desk.release_at_exchange(port, call.exchange, id);
        self.over(port, &call, Cause::Cancelled);
    }

    /// A standing call has ended, for the decisions to be told.
    pub(super) fn over(&mut self, port: &mut dyn Transport, call: &Standing, cause: Cause) {
        let Standing { call, seizure, exchange, sent, .. } = *call;
        let after = self.desk.now.saturating_sub(sent);
        let end = Ended { call, seizure, exchange, cause, after, closed: true };
        self.with_controller(port, |controller, now, turn| controller.ended(now, turn, &end));
    }
}

/// Answers a request that is no call taken.
fn reply(port: &mut dyn Transport, no: CallerConnectionId, message: &Message, status: u16, why: &str) {
    let names = ["Via", "Call-ID", "CSeq"];
    let mut headers: Vec<_> = names.iter().filter_map(|name| Some((*name, message.header(name)?))).collect();
    if !why.is_empty() {
        headers.push(("Warning", why));
    }
    let mut octets = Vec::new();
    sip::encode_response(&mut octets, status, &headers, b"");
    port.send_to_caller(no, &octets);
}
