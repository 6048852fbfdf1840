//! Releases by exchanges: which set-up or call each is about, and the ends of standing calls.

use std::time::Duration;

use mintstall::interface::{CallId, Cause, ExchangeId};

use super::Core;
use crate::exchange_protocol::{self, MessageType, WireCallId};
use crate::reasons::CallEnd;
use crate::state::{NORMAL_CLEARING, StandingCall, TEMPORARY_FAILURE};
use crate::{LinkId, Transport};

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

impl Core {
    /// An exchange has released a set-up or a call.
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
