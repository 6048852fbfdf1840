//! Links to exchanges, and the messages that arrive on them.

use std::time::Duration;

use mintstall::interface::{CallId, Cause, ExchangeId, SeizureAnswered};

use super::{Core, Disconnect, partial_since};
use crate::exchange_protocol::{self, MessageType, WireCallId};
use crate::reasons::{CallEnd, LinkLoss};
use crate::state::{
    AnswerState, CallerEvidence, LinkState, NORMAL_CLEARING, StandingCall, TEMPORARY_FAILURE, release_on,
};
use crate::{LinkId, Transport};

impl Core {
    pub fn link_connected(&mut self, now: Duration, transport: &mut dyn Transport, link_id: LinkId) {
        self.state.now = now;
        self.state.link_connected(transport, link_id);
        self.report_ended_seizures(transport);
    }

    pub fn link_disconnected(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        link_id: LinkId,
        how: Disconnect,
    ) {
        self.state.now = now;
        let reason = match how {
            Disconnect::Refused => LinkLoss::Refused,
            Disconnect::Lost => LinkLoss::Disconnected,
        };
        let lost = self.remove_link(transport, link_id, reason);
        if let (Some((exchange, LinkState::Connecting)), Disconnect::Refused) = (lost, how) {
            // Nothing listens at the address and no link is open: the process has died, and its calls with it.
            if self.state.oldest_open_link(exchange).is_none() {
                self.cut_calls(transport, exchange, Duration::MAX, CallEnd::ExchangeRefused);
            }
        }
        self.report_ended_seizures(transport);
    }

    /// Removes a link. If its reports were the ones used, the last report on the next link takes effect.
    pub(super) fn remove_link(
        &mut self,
        transport: &mut dyn Transport,
        link_id: LinkId,
        reason: LinkLoss,
    ) -> Option<(ExchangeId, LinkState)> {
        let exchange = self.state.links.get(&link_id)?.exchange;
        let was_oldest = self.state.oldest_open_link(exchange) == Some(link_id);
        let lost = self.state.remove_link(transport, link_id, reason);
        let next = self
            .state
            .oldest_open_link(exchange)
            .filter(|_| was_oldest)
            .and_then(|next| self.state.links.get_mut(&next));
        if let Some(report) = next.and_then(|link| link.last_report.take()) {
            self.with_controller(transport, |controller, now, context| {
                controller.on_capacity_report(now, context, exchange, &report)
            });
        }
        lost
    }

    pub fn link_data(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        link_id: LinkId,
        octets: &[u8],
    ) {
        self.state.now = now;
        let Some(link) = self.state.links.get_mut(&link_id) else { return };
        link.liveness.renew(now);
        link.first_received.get_or_insert(now);
        let exchange = link.exchange;
        let mut decoder = std::mem::take(&mut link.decoder);
        decoder.push(octets);
        let mut has_completed = false;
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => {
                    has_completed = true;
                    if message.kind == MessageType::State {
                        self.await_report_on_other_links(link_id, exchange);
                        self.note_first_report(transport, link_id, exchange, message.report);
                    }
                    if !self.is_in_doubt(link_id, exchange) {
                        self.renew_lease(exchange, now);
                    }
                    self.handle_link_message(transport, link_id, exchange, &message);
                }
                Ok(None) => break,
                Err(error) => {
                    transport.log_debug(format_args!("link {}: {error}", link_id.0));
                    self.remove_link(transport, link_id, LinkLoss::Malformed);
                    break;
                }
            }
            self.report_ended_seizures(transport);
        }
        if let Some(link) = self.state.links.get_mut(&link_id) {
            link.partial_since = partial_since(link.partial_since, now, has_completed, decoder.has_partial());
            link.decoder = decoder;
        }
        if self.is_in_doubt(link_id, exchange) {
            self.check_incarnation(transport, exchange);
            if !self.is_in_doubt(link_id, exchange) {
                self.renew_lease(exchange, now);
            }
        }
        self.report_ended_seizures(transport);
    }

    pub(super) fn handle_link_message(
        &mut self,
        transport: &mut dyn Transport,
        link_id: LinkId,
        exchange: ExchangeId,
        message: &exchange_protocol::Message,
    ) {
        match message.kind {
            MessageType::Answer => self.handle_answer(transport, link_id, exchange, message),
            MessageType::Release => self.handle_release(transport, link_id, exchange, message),
            MessageType::State if self.state.oldest_open_link(exchange) != Some(link_id) => {
                let report = message.report.and_then(|text| self.settings.reports.parse_named(text));
                let link = self.state.links.entry(link_id);
                link.and_modify(|link| link.last_report = report.or(link.last_report));
            }
            MessageType::State | MessageType::TestResult => {
                self.handle_report(transport, exchange, message.report)
            }
            MessageType::ReleaseComplete => {
                self.state.exchange_confirmed_release(link_id, exchange, message.call)
            }
            MessageType::SetUp | MessageType::Progress | MessageType::Test => {}
        }
    }

    pub(super) fn handle_report(
        &mut self,
        transport: &mut dyn Transport,
        exchange: ExchangeId,
        text: Option<&str>,
    ) {
        let report = text.and_then(|text| self.settings.reports.parse_named(text));
        transport.log_debug(format_args!("exchange {} reports {text:?}", exchange.0));
        if let Some(report) = report {
            self.with_controller(transport, |controller, now, context| {
                controller.on_capacity_report(now, context, exchange, &report)
            });
        }
    }

    pub(super) fn handle_answer(
        &mut self,
        transport: &mut dyn Transport,
        link_id: LinkId,
        exchange: ExchangeId,
        message: &exchange_protocol::Message,
    ) {
        let Some(id) =
            self.state.links.get_mut(&link_id).and_then(|link| link.open_set_ups.remove(&message.call))
        else {
            return self.handle_late_answer(transport, link_id, exchange, message.call);
        };
        let Some(description) = message.description else { return };
        transport.log_debug(format_args!("{} answered by exchange {}", message.call, exchange.0));
        let now = self.state.now;
        let Some(call) = self.state.calls.get_mut(&id) else { return };
        if !call.can_be_answered_with(description) {
            transport.log_info(&format!(
                "{}: the answer of exchange {} is too long to be passed on: a description of {} octets",
                message.call,
                exchange.0,
                description.len()
            ));
            return self.state.give_up_seizure(transport, id, Cause::Cut);
        }
        let Some(seizure) = call.open_seizure.take() else { return };
        let (caller, answer_state) = (call.caller, call.answer_state);
        self.state.timers.cancel(seizure.timer);
        if answer_state == AnswerState::Settled {
            // The caller no longer waits, and the seizure was not cancelled: the call is released at once.
            call.open_seizure = Some(seizure);
            self.state.release_at_exchange(transport, exchange, message.call);
            return self.state.end_seizure(id, Cause::Cancelled);
        }
        let standing = StandingCall {
            call: id,
            seizure: seizure.number,
            exchange,
            link: Some(link_id),
            caller,
            seized_at: seizure.seized_at,
            answered_at: now,
        };
        self.state.standing.insert(message.call, standing);
        self.state.raise_evidence(transport, caller, CallerEvidence::KnownCall);
        self.state.answer(transport, id, 200, &[("Content-Type", "application/sdp")], description);
        let elapsed = now.saturating_sub(seizure.seized_at);
        let answered = SeizureAnswered { call: id, seizure: seizure.number, exchange, elapsed };
        self.with_controller(transport, |controller, now, context| {
            controller.on_seizure_answered(now, context, &answered)
        });
    }

    pub(super) fn handle_release(
        &mut self,
        transport: &mut dyn Transport,
        link_id: LinkId,
        exchange: ExchangeId,
        message: &exchange_protocol::Message,
    ) {
        let cause = message.cause.unwrap_or(TEMPORARY_FAILURE);
        let (id, note) = (message.call, message.note.unwrap_or("-"));
        transport.log_debug(format_args!("{id} released by exchange {}: cause {cause} {note}", exchange.0));
        match self.subject_of_release(link_id, exchange, id, cause) {
            ReleaseSubject::OpenSetUp(call) => {
                self.handle_report(transport, exchange, message.report);
                self.state.end_seizure(call, cause_before_answer(cause, message));
            }
            ReleaseSubject::StandingCall(call) => {
                self.end_standing_call(transport, link_id, message, &call, cause)
            }
            ReleaseSubject::FormerSetUp => {
                metrics::counter!("late_releases").increment(1);
                transport.log_debug(format_args!(
                    "{id}: that was about a former set-up, given up on link {}",
                    link_id.0
                ));
                // If it was about the call all the same, the exchange repeats it on the next link that is opened.
                if may_end_standing_call(cause) && self.state.standing.contains_key(&id) {
                    self.state.plan_release_connection(exchange);
                }
            }
            ReleaseSubject::UnknownCall => self.state.keep_unmatched_release(id, cause),
        }
    }

    /// What a release on a link is about. It names the call; the link, the cause and what was sent before tell which of its
    /// set-ups.
    fn subject_of_release(
        &self,
        link_id: LinkId,
        exchange: ExchangeId,
        id: WireCallId,
        cause: u8,
    ) -> ReleaseSubject {
        let link = self.state.links.get(&link_id);
        if let Some(call) = link.and_then(|link| link.open_set_ups.get(&id)) {
            return ReleaseSubject::OpenSetUp(*call);
        }
        // What is written on one link arrives in order, so this was written before the set-up's release was confirmed.
        if link.is_some_and(|link| link.abandoned_set_ups.contains(self.state.now, id)) {
            return ReleaseSubject::FormerSetUp;
        }
        let is_end = may_end_standing_call(cause);
        match self.state.standing.get(&id) {
            Some(call)
                if call.exchange == exchange && (is_end || [None, Some(link_id)].contains(&call.link)) =>
            {
                ReleaseSubject::StandingCall(*call)
            }
            None if is_end && !self.state.unanswered.contains_key(&id) => ReleaseSubject::UnknownCall,
            _ => ReleaseSubject::FormerSetUp,
        }
    }

    fn end_standing_call(
        &mut self,
        transport: &mut dyn Transport,
        link_id: LinkId,
        message: &exchange_protocol::Message,
        call: &StandingCall,
        cause: u8,
    ) {
        let exchange = call.exchange;
        self.state.standing.remove(&message.call);
        let (reason, cause, seizure_cause) = match cause {
            NORMAL_CLEARING => (CallEnd::Released, NORMAL_CLEARING, Cause::Done),
            _ => (CallEnd::Cut, TEMPORARY_FAILURE, Cause::Cut),
        };
        reason.count(1);
        self.state.notify_release(transport, Some(call.caller), message.call, cause);
        let mut octets = Vec::new();
        exchange_protocol::encode(&mut octets, MessageType::ReleaseComplete, message.call, &[]);
        transport.send_to_link(link_id, &octets);
        self.handle_report(transport, exchange, message.report);
        self.report_standing_call_ended(transport, call, seizure_cause);
    }

    /// An answer to a set-up that is not open on this link. If it was given up, the exchange may have answered it after its
    /// release; it is released again, unless the exchange has another set-up of the call.
    fn handle_late_answer(
        &mut self,
        transport: &mut dyn Transport,
        link_id: LinkId,
        exchange: ExchangeId,
        id: WireCallId,
    ) {
        let was_given_up = self
            .state
            .links
            .get(&link_id)
            .is_some_and(|link| link.abandoned_set_ups.contains(self.state.now, id));
        let stands_there = self.state.standing.get(&id).is_some_and(|call| call.exchange == exchange);
        let mut links = self.state.links.values().filter(|link| link.exchange == exchange);
        if was_given_up && !stands_there && links.all(|link| !link.open_set_ups.contains_key(&id)) {
            transport
                .log_debug(format_args!("{id} answered late by exchange {}: released again", exchange.0));
            release_on(transport, link_id, id);
        }
    }

    /// Ends the calls at an exchange that were answered before some time, for their callers and for the controller.
    /// They are also released at the exchange, which may still hold them, as soon as it can be reached.
    pub(super) fn end_and_release_calls(
        &mut self,
        transport: &mut dyn Transport,
        exchange: ExchangeId,
        answered_before: Duration,
        reason: CallEnd,
    ) {
        for id in self.cut_calls(transport, exchange, answered_before, reason) {
            self.state.release_at_exchange(transport, exchange, id);
        }
    }

    /// Ends the calls at an exchange that were answered before some time, for their callers and for the controller, and
    /// returns them.
    pub(super) fn cut_calls(
        &mut self,
        transport: &mut dyn Transport,
        exchange: ExchangeId,
        answered_before: Duration,
        reason: CallEnd,
    ) -> Vec<WireCallId> {
        let ended = self.state.take_standing_calls(exchange, answered_before);
        if ended.is_empty() {
            return Vec::new();
        }
        let count = ended.len();
        transport.log_info(&format!("exchange {}: {count} standing calls ended: {reason}", exchange.0));
        reason.count(count);
        for (id, call) in &ended {
            self.state.notify_release(transport, Some(call.caller), *id, TEMPORARY_FAILURE);
            self.report_standing_call_ended(transport, call, Cause::Cut);
        }
        ended.into_iter().map(|(id, _)| id).collect()
    }
}

/// What a release by an exchange is about.
enum ReleaseSubject {
    /// The set-up that is out on the link.
    OpenSetUp(CallId),
    StandingCall(StandingCall),
    /// A set-up that was given up, or ended otherwise, before.
    FormerSetUp,
    /// A call that is not known here, such as one of a former process.
    UnknownCall,
}

/// Whether a call that stands can end with this cause. The others tell that a set-up was not answered.
fn may_end_standing_call(cause: u8) -> bool {
    matches!(cause, NORMAL_CLEARING | TEMPORARY_FAILURE)
}

/// The cause of a seizure that was released before its answer.
fn cause_before_answer(cause: u8, message: &exchange_protocol::Message) -> Cause {
    let wait = Duration::from_millis(message.wait_ms.unwrap_or_default().into());
    match (cause, message.note) {
        (34, Some("congestion")) => Cause::NoCircuit,
        (34, Some("crankback")) => Cause::TurnedBack { beyond: false },
        (34, Some("remote_throttled")) => Cause::TurnedBack { beyond: true },
        (34, _) => Cause::ProcessorFull { wait },
        (17 | 47, Some("engaged")) => Cause::Busy,
        (17 | 47, _) => Cause::Fault,
        (102, note) => Cause::NotSent { own_down: note == Some("throttled") },
        _ => Cause::Cut,
    }
}
