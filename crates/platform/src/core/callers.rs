//! Callers' connections, and the requests and responses that arrive on them.

use std::time::Duration;

use mintstall::interface::{CallId, Cause, SeizureEnded};
use mintstall_sip::{self as sip, Message, StartLine};

use super::shutdown::Shutdown;
use super::{Core, partial_since};
use crate::exchange_protocol::WireCallId;
use crate::reasons::{CallEnd, CallerClose, Withdrawal};
use crate::state::{CallerEvidence, StandingCall};
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
        connection: CallerConnectionId,
        octets: &[u8],
    ) {
        self.state.now = now;
        let Some(caller) = self.state.callers.get_mut(&connection) else { return };
        caller.last_received = now;
        let mut decoder = std::mem::take(&mut caller.decoder);
        decoder.push(octets);
        let mut has_completed = false;
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => {
                    has_completed = true;
                    self.handle_message(transport, connection, &message);
                }
                Ok(None) => break,
                Err(error) => {
                    transport.log_debug(format_args!("caller {}: {error}", connection.0));
                    self.fail_open_calls(transport, connection);
                    let mut answer = Vec::new();
                    let warning = [("Warning", &*error.to_string())];
                    sip::encode_response(&mut answer, error.status(), &warning, b"");
                    transport.send_to_caller(connection, &answer);
                    self.close_caller(transport, connection, CallerClose::Malformed);
                    break;
                }
            }
            self.report_ended_seizures(transport);
            if !self.state.callers.contains_key(&connection) {
                break;
            }
        }
        if let Some(caller) = self.state.callers.get_mut(&connection) {
            caller.partial_since =
                partial_since(caller.partial_since, now, has_completed, decoder.has_partial());
            caller.decoder = decoder;
        }
        self.report_ended_seizures(transport);
    }

    /// A caller has closed its connection, and some of what it sent before may still be unread. Nobody waits for answers, so
    /// its set-ups are given up, and no more are accepted; what ends calls still counts.
    pub fn caller_left(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
    ) {
        self.state.now = now;
        let Some(caller) = self.state.callers.get_mut(&connection) else { return };
        caller.has_left = true;
        for id in std::mem::take(&mut caller.open_calls) {
            self.withdraw(transport, id, Withdrawal::CallerLeft);
        }
        self.report_ended_seizures(transport);
    }

    pub fn caller_disconnected(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
    ) {
        self.state.now = now;
        self.remove_caller(transport, connection);
        self.report_ended_seizures(transport);
    }

    pub(super) fn remove_caller(&mut self, transport: &mut dyn Transport, connection: CallerConnectionId) {
        for id in self.state.caller_disconnected(transport, connection) {
            self.withdraw(transport, id, Withdrawal::Disconnected);
        }
    }

    /// Closes a caller's connection once everything sent on it is written. Each accepted call on it gets its final answer
    /// first.
    pub(super) fn close_caller(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        reason: CallerClose,
    ) {
        let open = self.state.callers.get(&connection).map_or(0, |caller| caller.open_calls.len());
        transport
            .log_debug(format_args!("caller {} closed: {reason}, {open} unanswered calls", connection.0));
        metrics::counter!("callers_closed", "reason" => reason.label()).increment(1);
        self.fail_open_calls(transport, connection);
        self.remove_caller(transport, connection);
        transport.close_caller_after_flush(connection);
    }

    /// Sends final answers for the open calls of a connection that is about to be closed here.
    fn fail_open_calls(&mut self, transport: &mut dyn Transport, connection: CallerConnectionId) {
        let open =
            self.state.callers.get(&connection).map(|caller| caller.open_calls.clone()).unwrap_or_default();
        open.into_iter().for_each(|call| self.fail_unanswered_call(transport, call, 500));
    }

    /// Ends a call whose caller no longer waits for an answer.
    fn withdraw(&mut self, transport: &mut dyn Transport, id: CallId, reason: Withdrawal) {
        if let Some(call) = self.state.calls.get(&id) {
            count_withdrawal(transport, call.id, reason);
        }
        self.state.withdraw_call(id);
        self.report_caller_gone(transport, id);
    }

    pub(super) fn handle_message(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        message: &Message,
    ) {
        match message.start {
            StartLine::Request { method, .. } => {
                if method != "INVITE" {
                    self.state.raise_evidence(transport, connection, CallerEvidence::Request);
                }
                match method {
                    "INVITE" => self.handle_invite(transport, connection, message),
                    "CANCEL" => self.handle_cancel(transport, connection, message),
                    "BYE" => self.handle_bye(transport, connection, message),
                    "OPTIONS" => {
                        let status = if self.shutdown == Shutdown::NotRequested { 200 } else { 503 };
                        reply(transport, connection, message, status, "");
                    }
                    "ACK" | "NOTIFY" => {}
                    _ => reply(transport, connection, message, 405, ""),
                }
            }
            StartLine::Response { status } => {
                let id = message.header("Call-ID").and_then(WireCallId::parse);
                match (message.cseq(), id, status) {
                    (Some((_, "BYE")), Some(id), 200..=299) => self.state.release_confirmed(connection, id),
                    (Some((_, "BYE")), Some(id), 300..) => {
                        self.state.release_turned_down(transport, connection, id)
                    }
                    _ => {}
                }
            }
        }
    }

    pub(super) fn handle_cancel(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        message: &Message,
    ) {
        let id = message.header("Call-ID").and_then(WireCallId::parse);
        let call = id.and_then(|id| self.state.unanswered.get(&id).copied());
        let own_call =
            call.filter(|id| self.state.calls.get(id).is_some_and(|call| call.caller == connection));
        let Some(id) = own_call else { return reply(transport, connection, message, 481, "") };
        if let Some(call) = self.state.calls.get(&id) {
            count_withdrawal(transport, call.id, Withdrawal::Cancelled);
        }
        reply(transport, connection, message, 200, "");
        self.state.answer(transport, id, 487, &[], b"");
        self.report_caller_gone(transport, id);
    }

    pub(super) fn handle_bye(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        message: &Message,
    ) {
        let id = message.header("Call-ID").and_then(WireCallId::parse);
        let Some((id, call)) = id.and_then(|id| Some((id, self.state.standing.remove(&id)?))) else {
            // The call may have ended here, too, and its caller does not want to hear of that any more.
            id.into_iter().for_each(|id| self.state.release_confirmed(connection, id));
            return reply(transport, connection, message, 481, "");
        };
        // A call that was named and not set up here may have been made up.
        if call.link.is_some() {
            self.state.raise_evidence(transport, connection, CallerEvidence::KnownCall);
        }
        reply(transport, connection, message, 200, "");
        let reason = CallEnd::ReleasedByCaller;
        transport.log_debug(format_args!("{id} ended: {reason}"));
        reason.count(1);
        self.state.release_at_exchange(transport, call.exchange, id);
        self.report_standing_call_ended(transport, &call, Cause::Cancelled);
    }

    /// Tells the controller that a standing call has ended.
    pub(super) fn report_standing_call_ended(
        &mut self,
        transport: &mut dyn Transport,
        call: &StandingCall,
        cause: Cause,
    ) {
        let StandingCall { call, seizure, exchange, seized_at, .. } = *call;
        let elapsed = self.state.now.saturating_sub(seized_at);
        let end = SeizureEnded { call, seizure, exchange, cause, elapsed, closed: true };
        self.with_controller(transport, |controller, now, context| {
            controller.on_seizure_ended(now, context, &end)
        });
    }
}

/// Counts and logs a call that needs no final answer any more.
fn count_withdrawal(transport: &mut dyn Transport, id: WireCallId, reason: Withdrawal) {
    metrics::counter!("calls_withdrawn", "reason" => reason.label()).increment(1);
    transport.log_debug(format_args!("{id} withdrawn: {reason}"));
}

/// Answers a request that opens no call.
pub(super) fn reply(
    transport: &mut dyn Transport,
    connection: CallerConnectionId,
    message: &Message,
    status: u16,
    warning: &str,
) {
    let headers = [("Warning", warning)];
    let headers = if warning.is_empty() { &headers[..0] } else { &headers[..] };
    reply_with(transport, connection, message, status, headers);
}

pub(super) fn reply_with(
    transport: &mut dyn Transport,
    connection: CallerConnectionId,
    message: &Message,
    status: u16,
    extra_headers: &[(&str, &str)],
) {
    let names = ["Via", "Call-ID", "CSeq"];
    let mut headers: Vec<_> = names.iter().filter_map(|name| Some((*name, message.header(name)?))).collect();
    headers.extend_from_slice(extra_headers);
    let mut octets = Vec::new();
    sip::encode_response(&mut octets, status, &headers, b"");
    transport.send_to_caller(connection, &octets);
}
