//! What exchanges send, and connections to them that open and close.

use std::time::Duration;

use mintstall::host::{Cause, ExchangeId, Report, Stood};
use mintstall::liveness::{self, Renewal};

use super::{Core, Disconnect};
use crate::exchange_protocol::{self, MessageType, WireCallId};
use crate::reasons::{CallEnd, LinkLoss};
use crate::state::{AnswerState, LinkState, NORMAL_CLEARING, Standing, TEMPORARY_FAILURE};
use crate::{LinkId, Transport};

impl Core {
    pub fn link_connected(&mut self, now: Duration, port: &mut dyn Transport, no: LinkId) {
        self.desk.now = now;
        self.desk.link_connected(port, no);
        self.report_ended_seizures(port);
    }

    pub fn link_disconnected(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        no: LinkId,
        how: Disconnect,
    ) {
        self.desk.now = now;
        let reason = match how {
            Disconnect::Refused => LinkLoss::Refused,
            Disconnect::Lost => LinkLoss::Disconnected,
        };
        let lost = self.remove_link(port, no, reason);
        if let (Some((exchange, LinkState::Connecting)), Disconnect::Refused) = (lost, how) {
            // Nobody listens and no link is left: its process has died, and its calls with it.
            if self.desk.oldest_open_link(exchange).is_none() {
                self.cut_calls(port, exchange, Duration::MAX, CallEnd::ExchangeRefused);
            }
        }
        self.report_ended_seizures(port);
    }

    /// A link goes. Where it told the group's state, what the next one was told last holds from now on.
    pub(super) fn remove_link(
        &mut self,
        port: &mut dyn Transport,
        no: LinkId,
        reason: LinkLoss,
    ) -> Option<(ExchangeId, LinkState)> {
        let exchange = self.desk.links.get(&no)?.to;
        let told = self.desk.oldest_open_link(exchange) == Some(no);
        let lost = self.desk.remove_link(port, no, reason);
        let next = self
            .desk
            .oldest_open_link(exchange)
            .filter(|_| told)
            .and_then(|next| self.desk.links.get_mut(&next));
        if let Some(report) = next.and_then(|link| link.state_told.take()) {
            self.with_controller(port, |controller, now, turn| {
                controller.reported(now, turn, exchange, &report)
            });
        }
        lost
    }

    pub fn link_data(&mut self, now: Duration, port: &mut dyn Transport, no: LinkId, octets: &[u8]) {
        self.desk.now = now;
        let Some(link) = self.desk.links.get_mut(&no) else { return };
        link.heard = now;
        let exchange = link.to;
        let mut cutter = std::mem::take(&mut link.cutter);
        cutter.push(octets);
        loop {
            match cutter.next_message() {
                Ok(Some(message)) => {
                    let remote = self.desk.exchanges.get_mut(&exchange);
                    if remote.is_some_and(|remote| remote.lease.renew(now) == Renewal::AfterDoubt) {
                        self.desk.plan_dial_for_releases(exchange);
                    }
                    self.exchange_says(port, no, exchange, &message);
                }
                Ok(None) => break,
                Err(spoilt) => {
                    port.log_debug(format_args!("link {}: {spoilt}", no.0));
                    self.remove_link(port, no, LinkLoss::Malformed);
                    break;
                }
            }
            self.report_ended_seizures(port);
        }
        if let Some(link) = self.desk.links.get_mut(&no) {
            link.partial_since = if cutter.has_partial() { link.partial_since.or(Some(now)) } else { None };
            link.cutter = cutter;
        }
        self.report_ended_seizures(port);
    }

    pub(super) fn exchange_says(
        &mut self,
        port: &mut dyn Transport,
        no: LinkId,
        exchange: ExchangeId,
        message: &exchange_protocol::Message,
    ) {
        match message.kind {
            MessageType::Answer => self.answered(port, no, exchange, message),
            MessageType::Release => self.released(port, no, exchange, message),
            MessageType::State if self.desk.oldest_open_link(exchange) != Some(no) => {
                let told = message.report.and_then(|text| self.settings.reports.parse_named(text));
                self.desk.links.entry(no).and_modify(|link| link.state_told = told.or(link.state_told));
            }
            MessageType::State | MessageType::TestResult => self.report(port, exchange, message.report),
            MessageType::ReleaseComplete => self.desk.exchange_confirmed_release(exchange, message.call),
            MessageType::SetUp | MessageType::Progress | MessageType::Test => {}
        }
    }

    pub(super) fn report(&mut self, port: &mut dyn Transport, exchange: ExchangeId, text: Option<&str>) {
        let report = text.and_then(|text| self.settings.reports.parse_named(text));
        port.log_debug(format_args!("exchange {} reports {text:?}", exchange.0));
        if let Some(report) = report {
            self.end_calls_of_former_process(port, exchange, &report);
            self.with_controller(port, |controller, now, turn| {
                controller.reported(now, turn, exchange, &report)
            });
        }
    }

    /// The first report after all links were lost: a process with all its circuits free holds none of the calls that
    /// stood, so it is not the one that they were set up with.
    fn end_calls_of_former_process(
        &mut self,
        port: &mut dyn Transport,
        exchange: ExchangeId,
        report: &Report,
    ) {
        let remote = self.desk.exchanges.get_mut(&exchange);
        let Some(lost) = remote.and_then(|remote| remote.all_links_lost.take()) else { return };
        if liveness::holds_no_calls(report) {
            self.end_calls(port, exchange, lost, CallEnd::ExchangeRestarted);
        }
    }

    pub(super) fn answered(
        &mut self,
        port: &mut dyn Transport,
        no: LinkId,
        exchange: ExchangeId,
        message: &exchange_protocol::Message,
    ) {
        let Some(id) = self.desk.links.get_mut(&no).and_then(|link| link.open_set_ups.remove(&message.call))
        else {
            return;
        };
        let Some(description) = message.description else { return };
        port.log_debug(format_args!("{} answered by exchange {}", message.call, exchange.0));
        let now = self.desk.now;
        let Some(call) = self.desk.calls.get_mut(&id) else { return };
        let Some(out) = call.open_seizure.take() else { return };
        let (caller, owed) = (call.caller, call.answer_state);
        if owed == AnswerState::Settled {
            // Its caller has gone and it could not be cancelled: released at once.
            call.open_seizure = Some(out);
            self.desk.release_at_exchange(port, exchange, message.call);
            return self.desk.end(id, Cause::Cancelled);
        }
        let stands = Standing { call: id, seizure: out.no, exchange, caller, sent: out.since, since: now };
        self.desk.standing.insert(message.call, stands);
        self.desk.callers.entry(caller).and_modify(|caller| caller.had_standing_call = true);
        self.desk.answer(port, id, 200, &[("Content-Type", "application/sdp")], description);
        let after = now.saturating_sub(out.since);
        let stood = Stood { call: id, seizure: out.no, exchange, after };
        self.with_controller(port, |controller, now, turn| controller.stands(now, turn, &stood));
    }

    pub(super) fn released(
        &mut self,
        port: &mut dyn Transport,
        no: LinkId,
        exchange: ExchangeId,
        message: &exchange_protocol::Message,
    ) {
        let cause = message.cause.unwrap_or(TEMPORARY_FAILURE);
        let waits = self.desk.links.get(&no).and_then(|link| link.open_set_ups.get(&message.call).copied());
        let (id, note) = (message.call, message.note.unwrap_or("-"));
        port.log_debug(format_args!("{id} released by exchange {}: cause {cause} {note}", exchange.0));
        if let Some(id) = waits {
            self.report(port, exchange, message.report);
            self.desk.end(id, before_answer(cause, message));
            return;
        }
        let stood = self.desk.standing.get(&message.call).filter(|call| call.exchange == exchange).copied();
        let Some(call) = stood else { return self.desk.keep_unmatched_release(id, cause) };
        self.desk.standing.remove(&message.call);
        let (reason, cause, of) = match cause {
            NORMAL_CLEARING => (CallEnd::Released, NORMAL_CLEARING, Cause::Done),
            _ => (CallEnd::Cut, TEMPORARY_FAILURE, Cause::Cut),
        };
        reason.count(1);
        self.desk.notify_release(port, Some(call.caller), message.call, cause, self.desk.now);
        let mut heard = Vec::new();
        exchange_protocol::encode(&mut heard, MessageType::ReleaseComplete, message.call, &[]);
        port.send_to_link(no, &heard);
        self.report(port, exchange, message.report);
        self.over(port, &call, of);
    }

    /// Calls that stand at an exchange since before some time are over for their callers; an exchange that still holds
    /// them learns so when it can be reached.
    pub(super) fn end_calls(
        &mut self,
        port: &mut dyn Transport,
        exchange: ExchangeId,
        before: Duration,
        reason: CallEnd,
    ) {
        for id in self.cut_calls(port, exchange, before, reason) {
            self.desk.release_at_exchange(port, exchange, id);
        }
    }

    /// Calls that stand at an exchange since before some time ended with it; gives them.
    pub(super) fn cut_calls(
        &mut self,
        port: &mut dyn Transport,
        exchange: ExchangeId,
        before: Duration,
        reason: CallEnd,
    ) -> Vec<WireCallId> {
        let ended = self.desk.take_standing(exchange, before);
        if ended.is_empty() {
            return Vec::new();
        }
        let count = ended.len();
        port.log_info(&format!("exchange {}: {count} standing calls ended: {reason}", exchange.0));
        reason.count(count);
        for (id, call) in &ended {
            self.desk.notify_release(port, Some(call.caller), *id, TEMPORARY_FAILURE, self.desk.now);
            self.over(port, call, Cause::Cut);
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
