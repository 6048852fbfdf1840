//! What exchanges send, and connections to them that open and close.

use std::time::Duration;

use mintstall::interface::{CapacityReport, Cause, ExchangeId, SeizureAnswered};
use mintstall::liveness::{self, Renewal};

use super::{Core, Disconnect};
use crate::exchange_protocol::{self, MessageType, WireCallId};
use crate::reasons::{CallEnd, LinkLoss};
use crate::state::{AnswerState, LinkState, NORMAL_CLEARING, Standing, TEMPORARY_FAILURE};
use crate::{LinkId, Transport};

impl Core {
    pub fn link_connected(&mut self, now: Duration, transport: &mut dyn Transport, no: LinkId) {
        self.state.now = now;
        self.state.link_connected(transport, no);
        self.report_ended_seizures(transport);
    }

    pub fn link_disconnected(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        no: LinkId,
        how: Disconnect,
    ) {
        self.state.now = now;
        let reason = match how {
            Disconnect::Refused => LinkLoss::Refused,
            Disconnect::Lost => LinkLoss::Disconnected,
        };
        let lost = self.remove_link(transport, no, reason);
        if let (Some((exchange, LinkState::Connecting)), Disconnect::Refused) = (lost, how) {
            // Nobody listens and no link is left: its process has died, and its calls with it.
            if self.state.oldest_open_link(exchange).is_none() {
                self.cut_calls(transport, exchange, Duration::MAX, CallEnd::ExchangeRefused);
            }
        }
        self.report_ended_seizures(transport);
    }

    /// A link goes. Where it told the group's state, what the next one was told last holds from now on.
    pub(super) fn remove_link(
        &mut self,
        transport: &mut dyn Transport,
        no: LinkId,
        reason: LinkLoss,
    ) -> Option<(ExchangeId, LinkState)> {
        let exchange = self.state.links.get(&no)?.to;
        let told = self.state.oldest_open_link(exchange) == Some(no);
        let lost = self.state.remove_link(transport, no, reason);
        let next = self
            .state
            .oldest_open_link(exchange)
            .filter(|_| told)
            .and_then(|next| self.state.links.get_mut(&next));
        if let Some(report) = next.and_then(|link| link.state_told.take()) {
            self.with_controller(transport, |controller, now, context| {
                controller.on_capacity_report(now, context, exchange, &report)
            });
        }
        lost
    }

    pub fn link_data(&mut self, now: Duration, transport: &mut dyn Transport, no: LinkId, octets: &[u8]) {
        self.state.now = now;
        let Some(link) = self.state.links.get_mut(&no) else { return };
        link.heard = now;
        let exchange = link.to;
        let mut decoder = std::mem::take(&mut link.decoder);
        decoder.push(octets);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => {
                    let remote = self.state.exchanges.get_mut(&exchange);
                    if remote.is_some_and(|remote| remote.lease.renew(now) == Renewal::AfterSuspicion) {
                        self.state.plan_dial_for_releases(exchange);
                    }
                    self.exchange_says(transport, no, exchange, &message);
                }
                Ok(None) => break,
                Err(spoilt) => {
                    transport.log_debug(format_args!("link {}: {spoilt}", no.0));
                    self.remove_link(transport, no, LinkLoss::Malformed);
                    break;
                }
            }
            self.report_ended_seizures(transport);
        }
        if let Some(link) = self.state.links.get_mut(&no) {
            link.partial_since = if decoder.has_partial() { link.partial_since.or(Some(now)) } else { None };
            link.decoder = decoder;
        }
        self.report_ended_seizures(transport);
    }

    pub(super) fn exchange_says(
        &mut self,
        transport: &mut dyn Transport,
        no: LinkId,
        exchange: ExchangeId,
        message: &exchange_protocol::Message,
    ) {
        match message.kind {
            MessageType::Answer => self.answered(transport, no, exchange, message),
            MessageType::Release => self.released(transport, no, exchange, message),
            MessageType::State if self.state.oldest_open_link(exchange) != Some(no) => {
                let told = message.report.and_then(|text| self.settings.reports.parse_named(text));
                self.state.links.entry(no).and_modify(|link| link.state_told = told.or(link.state_told));
            }
            MessageType::State | MessageType::TestResult => self.report(transport, exchange, message.report),
            MessageType::ReleaseComplete => self.state.exchange_confirmed_release(exchange, message.call),
            MessageType::SetUp | MessageType::Progress | MessageType::Test => {}
        }
    }

    pub(super) fn report(&mut self, transport: &mut dyn Transport, exchange: ExchangeId, text: Option<&str>) {
        let report = text.and_then(|text| self.settings.reports.parse_named(text));
        transport.log_debug(format_args!("exchange {} reports {text:?}", exchange.0));
        if let Some(report) = report {
            self.end_calls_of_former_process(transport, exchange, &report);
            self.with_controller(transport, |controller, now, context| {
                controller.on_capacity_report(now, context, exchange, &report)
            });
        }
    }

    /// The first report after all links were lost: a process with all its circuits free holds none of the calls that
    /// stood, so it is not the one that they were set up with.
    fn end_calls_of_former_process(
        &mut self,
        transport: &mut dyn Transport,
        exchange: ExchangeId,
        report: &CapacityReport,
    ) {
        let remote = self.state.exchanges.get_mut(&exchange);
        let Some(lost) = remote.and_then(|remote| remote.all_links_lost.take()) else { return };
        if liveness::holds_no_calls(report) {
            self.end_calls(transport, exchange, lost, CallEnd::ExchangeRestarted);
        }
    }

    pub(super) fn answered(
        &mut self,
        transport: &mut dyn Transport,
        no: LinkId,
        exchange: ExchangeId,
        message: &exchange_protocol::Message,
    ) {
        let Some(id) = self.state.links.get_mut(&no).and_then(|link| link.open_set_ups.remove(&message.call))
        else {
            return;
        };
        let Some(description) = message.description else { return };
        transport.log_debug(format_args!("{} answered by exchange {}", message.call, exchange.0));
        let now = self.state.now;
        let Some(call) = self.state.calls.get_mut(&id) else { return };
        let Some(out) = call.open_seizure.take() else { return };
        let (caller, owed) = (call.caller, call.answer_state);
        if owed == AnswerState::Settled {
            // Its caller has gone and it could not be cancelled: released at once.
            call.open_seizure = Some(out);
            self.state.release_at_exchange(transport, exchange, message.call);
            return self.state.end(id, Cause::Cancelled);
        }
        let stands = Standing { call: id, seizure: out.no, exchange, caller, sent: out.since, since: now };
        self.state.standing.insert(message.call, stands);
        self.state.callers.entry(caller).and_modify(|caller| caller.had_standing_call = true);
        self.state.answer(transport, id, 200, &[("Content-Type", "application/sdp")], description);
        let after = now.saturating_sub(out.since);
        let stood = SeizureAnswered { call: id, seizure: out.no, exchange, elapsed: after };
        self.with_controller(transport, |controller, now, context| {
            controller.on_seizure_answered(now, context, &stood)
        });
    }

    pub(super) fn released(
        &mut self,
        transport: &mut dyn Transport,
        no: LinkId,
        exchange: ExchangeId,
        message: &exchange_protocol::Message,
    ) {
        let cause = message.cause.unwrap_or(TEMPORARY_FAILURE);
        let waits = self.state.links.get(&no).and_then(|link| link.open_set_ups.get(&message.call).copied());
        let (id, note) = (message.call, message.note.unwrap_or("-"));
        transport.log_debug(format_args!("{id} released by exchange {}: cause {cause} {note}", exchange.0));
        if let Some(id) = waits {
            self.report(transport, exchange, message.report);
            self.state.end(id, before_answer(cause, message));
            return;
        }
        let stood = self.state.standing.get(&message.call).filter(|call| call.exchange == exchange).copied();
        let Some(call) = stood else { return self.state.keep_unmatched_release(id, cause) };
        self.state.standing.remove(&message.call);
        let (reason, cause, of) = match cause {
            NORMAL_CLEARING => (CallEnd::Released, NORMAL_CLEARING, Cause::Done),
            _ => (CallEnd::Cut, TEMPORARY_FAILURE, Cause::Cut),
        };
        reason.count(1);
        self.state.notify_release(transport, Some(call.caller), message.call, cause, self.state.now);
        let mut heard = Vec::new();
        exchange_protocol::encode(&mut heard, MessageType::ReleaseComplete, message.call, &[]);
        transport.send_to_link(no, &heard);
        self.report(transport, exchange, message.report);
        self.over(transport, &call, of);
    }

    /// Calls that stand at an exchange since before some time are over for their callers; an exchange that still holds
    /// them learns so when it can be reached.
    pub(super) fn end_calls(
        &mut self,
        transport: &mut dyn Transport,
        exchange: ExchangeId,
        before: Duration,
        reason: CallEnd,
    ) {
        for id in self.cut_calls(transport, exchange, before, reason) {
            self.state.release_at_exchange(transport, exchange, id);
        }
    }

    /// Calls that stand at an exchange since before some time ended with it; gives them.
    pub(super) fn cut_calls(
        &mut self,
        transport: &mut dyn Transport,
        exchange: ExchangeId,
        before: Duration,
        reason: CallEnd,
    ) -> Vec<WireCallId> {
        let ended = self.state.take_standing(exchange, before);
        if ended.is_empty() {
            return Vec::new();
        }
        let count = ended.len();
        transport.log_info(&format!("exchange {}: {count} standing calls ended: {reason}", exchange.0));
        reason.count(count);
        for (id, call) in &ended {
            self.state.notify_release(transport, Some(call.caller), *id, TEMPORARY_FAILURE, self.state.now);
            self.over(transport, call, Cause::Cut);
        }
        ended.into_iter().map(|(id, _)| id).collect()
    }
}

/// How a seizure ended that had no answer yet.
fn before_answer(cause: u8, message: &exchange_protocol::Message) -> Cause {
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
