//! Set-ups by callers: which are accepted, which are refused, and the standing calls that a caller names after a restart.

use std::time::Duration;

use mintstall::interface::{CallId, CallOffer, ExchangeId, SeizureNumber};
use mintstall_sip::Message;

use super::callers::{reply, reply_with};
use super::{Core, MAX_HELD_OCTETS, MAX_OPEN_SET_UPS};
use crate::exchange_protocol::WireCallId;
use crate::invite::{self, Invite, SetUp};
use crate::reasons::{CallEnd, SetUpRefusal};
use crate::state::{
    AnswerState, Call, CallerEvidence, MAX_STANDING_CALLS, StandingCall, TEMPORARY_FAILURE, Timer,
};
use crate::{CallerConnectionId, Transport};

impl Core {
    pub(super) fn handle_invite(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        message: &Message,
    ) {
        let invite = match invite::parse(message, &self.settings) {
            Ok(invite) if message.cseq().is_some() => invite,
            Ok(_) => return refuse_invalid(transport, connection, message, "CSeq is missing"),
            Err(error) => return refuse_invalid(transport, connection, message, &error.to_string()),
        };
        match invite {
            Invite::Stands { id, exchange_uid } => {
                self.state.raise_evidence(transport, connection, CallerEvidence::SetUp);
                self.restore_standing_call(transport, connection, id, exchange_uid);
            }
            Invite::Call(set_up) => self.handle_set_up(transport, connection, message, &set_up),
        }
    }

    fn handle_set_up(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        message: &Message,
        set_up: &SetUp,
    ) {
        let refusal = self.refusal(connection, set_up);
        if !matches!(refusal, Some(SetUpRefusal::DuplicateId | SetUpRefusal::CallerLeft)) {
            self.state.raise_evidence(transport, connection, CallerEvidence::SetUp);
        }
        let Some(refusal) = refusal else {
            return self.offer_call(transport, connection, message, set_up);
        };
        count_refusal(transport, connection, message, refusal);
        match refusal {
            SetUpRefusal::Invalid | SetUpRefusal::DuplicateId => {
                reply(transport, connection, message, 400, "a call has this id")
            }
            // Nobody waits for an answer.
            SetUpRefusal::CallerLeft => {}
            SetUpRefusal::Shutdown => {
                reply(transport, connection, message, 503, "this controller shuts down")
            }
            SetUpRefusal::Overdue => reply(transport, connection, message, 503, "its time is over"),
            SetUpRefusal::ReleaseWait => {
                let wait = self.state.release_waits.remaining(self.state.now, set_up.id);
                refuse_for(transport, connection, message, wait.unwrap_or_default())
            }
            SetUpRefusal::TooMany => reply(transport, connection, message, 503, "too many set-ups are open"),
        }
    }

    /// How long what is received now may have waited unread.
    fn unread_time(&self) -> Duration {
        self.state.now.saturating_sub(self.earliest_arrival)
    }

    /// Why a set-up can't be accepted now on a connection, if it can't.
    fn refusal(&self, connection: CallerConnectionId, set_up: &SetUp) -> Option<SetUpRefusal> {
        let (state, id) = (&self.state, set_up.id);
        let caller = state.callers.get(&connection);
        if state.unanswered.contains_key(&id) || state.standing.contains_key(&id) {
            return Some(SetUpRefusal::DuplicateId);
        }
        if caller.is_some_and(|caller| caller.has_left) {
            return Some(SetUpRefusal::CallerLeft);
        }
        if self.is_draining() {
            return Some(SetUpRefusal::Shutdown);
        }
        if set_up.expires <= self.unread_time() {
            return Some(SetUpRefusal::Overdue);
        }
        if state.release_waits.remaining(state.now, id).is_some() {
            return Some(SetUpRefusal::ReleaseWait);
        }
        let is_full = caller.is_none_or(|caller| caller.open_calls.len() >= MAX_OPEN_SET_UPS)
            || state.standing.len() >= MAX_STANDING_CALLS
            || state.held_octets >= MAX_HELD_OCTETS;
        is_full.then_some(SetUpRefusal::TooMany)
    }

    fn offer_call(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        message: &Message,
        set_up: &SetUp,
    ) {
        let now = self.state.now;
        let remaining = set_up.expires.saturating_sub(self.unread_time());
        let deadline = self.answer_deadline(now + remaining);
        let id = CallId(self.state.next_number());
        transport.log_debug(format_args!(
            "{} offered by caller {} as call {}: {set_up:?}",
            set_up.id, connection.0, id.0
        ));
        let call = Call {
            id: set_up.id,
            caller: connection,
            via: message.header("Via").unwrap_or("SIP/2.0/TCP peer").into(),
            cseq: message.cseq().map_or(1, |(number, _)| number),
            call_type: set_up.call_type_name.into(),
            number: set_up.number.into(),
            description: set_up.description.into(),
            answer_state: AnswerState::Pending,
            seizure_count: 0,
            open_seizure: None,
            guard_timer: Some(self.state.set_timer(deadline - now, Timer::GuardTime(id))),
            controller_timer: None,
        };
        self.state.add_call(id, call);
        self.state.unanswered.insert(set_up.id, id);
        if let Some(caller) = self.state.callers.get_mut(&connection) {
            caller.open_calls.insert(id);
        }
        let offer = CallOffer {
            call: id,
            call_type: set_up.call_type,
            customer: set_up.customer,
            dialled: set_up.dialled,
            deadline,
            dest: set_up.dest,
            width: set_up.width,
            advised: set_up.advised,
            transit: set_up.transit,
            cut: set_up.was_cut,
            redial: false,
        };
        self.with_controller(transport, |controller, now, context| controller.on_offer(now, context, offer));
    }

    /// Records a standing call that was set up through a former process, so that it can be released through this one.
    fn restore_standing_call(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        id: WireCallId,
        exchange_uid: &str,
    ) {
        if let Some(standing) = self.state.standing.get_mut(&id) {
            // Who names a call holds it.
            standing.caller = connection;
            return;
        }
        if self.state.tell_release_to_namer(transport, connection, id) {
            return;
        }
        if self.state.standing.len() >= MAX_STANDING_CALLS {
            return;
        }
        if let Some(cause) = self.state.unmatched_release(id) {
            transport
                .log_debug(format_args!("{id} ended: its exchange released it before its caller named it"));
            return self.state.notify_release(transport, Some(connection), id, cause);
        }
        // The call stood before this process started. If its exchange is no longer listed, or has started since, the call
        // has ended with it.
        let exchange = self.uids.get(exchange_uid).copied();
        let remote = exchange.and_then(|exchange| self.state.exchanges.get(&exchange));
        let reason = match (exchange, remote) {
            (None, _) => CallEnd::ExchangeUnknown,
            (_, Some(remote)) if remote.started > self.state.started_at => CallEnd::ExchangeRestarted,
            (Some(exchange), _) => return self.add_named_call(transport, connection, id, exchange),
        };
        transport.log_debug(format_args!("{id} ended: {reason} ({exchange_uid})"));
        reason.count(1);
        self.state.notify_release(transport, Some(connection), id, TEMPORARY_FAILURE);
    }

    /// Adds a standing call that its caller has named.
    fn add_named_call(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        id: WireCallId,
        exchange: ExchangeId,
    ) {
        let now = self.state.now;
        let is_first = self.state.standing.values().all(|call| call.exchange != exchange);
        if is_first && let Some(remote) = self.state.exchanges.get_mut(&exchange) {
            transport.log_debug(format_args!(
                "{id} named at exchange {}, quiet for {:?}",
                exchange.0,
                now.saturating_sub(remote.lease.last_heard())
            ));
            remote.lease.resume(now);
        }
        let standing = StandingCall {
            call: CallId(self.state.next_number()),
            seizure: SeizureNumber(0),
            exchange,
            link: None,
            caller: connection,
            seized_at: now,
            // Before any link of this process was opened.
            answered_at: self.state.started_at.saturating_sub(Duration::from_nanos(1)),
        };
        self.state.standing.insert(id, standing);
        // A draining exchange without calls may have no link.
        self.state.exchanges.entry(exchange).and_modify(|remote| remote.drained_since = None);
        self.state.maintain_pool(transport, exchange);
    }
}

/// Counts and logs a refused set-up, by the id that its caller gave.
fn count_refusal(
    transport: &mut dyn Transport,
    connection: CallerConnectionId,
    message: &Message,
    reason: SetUpRefusal,
) {
    metrics::counter!("set_ups_refused", "reason" => reason.label()).increment(1);
    transport.log_debug(format_args!(
        "{} refused: {reason}, from caller {}",
        message.header("Call-ID").unwrap_or("-"),
        connection.0
    ));
}

/// Refuses a set-up with a field that is missing or invalid.
fn refuse_invalid(
    transport: &mut dyn Transport,
    connection: CallerConnectionId,
    message: &Message,
    error: &str,
) {
    count_refusal(transport, connection, message, SetUpRefusal::Invalid);
    reply(transport, connection, message, 400, error);
}

/// Refuses a set-up whose id is not free yet, and tells the caller how long to wait.
fn refuse_for(
    transport: &mut dyn Transport,
    connection: CallerConnectionId,
    message: &Message,
    wait: Duration,
) {
    let wait_ms = wait.as_millis().max(1).to_string();
    let headers = [("Warning", "the call is still being released"), ("P-Back-Off", &*wait_ms)];
    reply_with(transport, connection, message, 503, &headers);
}
