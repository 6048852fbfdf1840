//! Links to exchanges, and the messages that arrive on them.

use std::time::Duration;

use mintstall::interface::{Cause, ExchangeId, SeizureAnswered};

use super::{Core, Disconnect, partial_since};
use crate::exchange_protocol::{self, MessageType, WireCallId};
use crate::reasons::{CallEnd, LinkLoss};
use crate::state::{AnswerState, CallerEvidence, LinkState, StandingCall, release_on};
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
}
