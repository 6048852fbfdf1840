//! Events from callers, the membership list, the exchange's own circuits and the clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::{
    CallId, CallOffer, CallType, Cause, ControllerActions, CustomerId, DialledNumber, ExchangeEntry,
    ExchangeId, ExchangeNumber, ExchangeStatus, SeizureEnded, SeizureNumber,
};
use mintstall::random::MwcRng;
use mintstall_isup::{
    Body, CallIdentity, CauseIndicators, Cic, Frame, Location, Number, ProcessorReport, Q850, RangeStatus,
    Rel,
};

use crate::actions::{Answer, CallControlActions, CallEnd};
use crate::calls::{CallRecord, HeldCircuits, IncomingSide, OutgoingSeizure, OutgoingSide};
use crate::circuits::{CircuitUse, TrunkGroup};
use crate::config::{ANSWER_MARGIN, CallControlConfig};
use crate::context::{CallControlState, EventContext};
use crate::links::{HEARTBEAT_DATA, InitialReset, Link, LocalAspState, MAX_UNANSWERED_REQUESTS};
use crate::status::Counters;
use crate::timers::{Timer, TimerQueue};
use crate::trace::{Trace, TraceStep, Traces};

/// A call as a subscriber asks for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRequest {
    pub call_type: CallType,
    pub customer: CustomerId,
    pub dest: ExchangeNumber,
    pub dialled: DialledNumber,
    /// How long the caller waits, from the offer on.
    pub time_left: Duration,
    /// The tandem advised in the offer.
    pub advised: Option<ExchangeNumber>,
    /// The call was cut while it stood, and is set up again.
    pub cut: bool,
    pub redial: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceState {
    Open,
    /// New calls are refused; current calls are finished.
    Closing,
}

/// Call control of one exchange, with its [`Controller`].
pub struct CallControl {
    pub(crate) controller: Controller,
    pub(crate) state: CallControlState,
    service: ServiceState,
}

/// Leading digits of a called number that are the exchange's number; the rest is the number at that exchange.
pub(crate) const EXCHANGE_DIGITS: usize = 5;

pub(crate) fn normal_clearing(location: Location) -> Rel<'static> {
    Rel::new(CauseIndicators::new(location, Q850::NormalClearing))
}

pub(crate) fn local_failure(cause: Q850) -> Rel<'static> {
    Rel::new(CauseIndicators::new(Location::Local, cause))
}

impl CallControl {
    /// `incarnation` keeps this process's call numbers apart from those of earlier processes: it must grow with each
    /// start, by one for each 2,048 calls that the process before may have taken. Milliseconds of a clock suffice.
    pub fn new(now: Duration, config: &CallControlConfig, incarnation: u64, seed: u64) -> Self {
        let group =
            |group: &crate::GroupConfig| (group.to, TrunkGroup::new(config.own, group.to, group.circuits));
        let mut state = CallControlState {
            own: config.own,
            durations: config.timers,
            max_calls: config.max_calls,
            widths: config.controller.call_types.iter().map(|call_type| call_type.width).collect(),
            groups: config.groups.iter().map(group).collect(),
            links: config.groups.iter().map(|group| (group.to, Link::default())).collect(),
            audits: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: TimerQueue::default(),
            // A separate generator: the random draws of the controller stay the same for a seed.
            rng: MwcRng::new(!seed),
            exchanges: BTreeMap::new(),
            lines: config.numbers.iter().map(|number| (number.dialled, (number.lines, 0))).collect(),
            own_report: None,
            deferred: VecDeque::new(),
            changed_groups: BTreeSet::new(),
            // Below 2^63, since the controller uses the numbers above for itself, and below 2^53, so that clients
            // without wider integers read it exactly (RFC 8259 clause 6).
            next_call: (incarnation << 11) & ((1 << 53) - 1),
            pending_answers: 0,
            counters: Counters::default(),
            traces: Traces::new(config.max_traces),
            frame_buffer: Vec::new(),
            message_buffer: Vec::new(),
        };
        // The first audits of the groups are spread evenly over one audit interval.
        for (position, to) in config.groups.iter().map(|group| group.to).enumerate() {
            let share = (position + 1) as f64 / config.groups.len() as f64;
            let first = state.with_jitter(config.timers.audit.mul_f64(share));
            state.timers.set(now + first, Timer::Audit(to));
        }
        Self { controller: Controller::new(&config.controller, seed), state, service: ServiceState::Open }
    }

    pub fn own(&self) -> ExchangeNumber {
        self.state.own
    }

    /// When [`CallControl::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        self.state.timers.next_expiry()
    }

    /// Whether the final answer to any subscriber is outstanding.
    pub fn has_pending_answers(&self) -> bool {
        self.state.pending_answers > 0
    }

    /// Whether any call, also in transit, has no answer yet, or a seizure is open whose caller has gone.
    pub fn has_unanswered_calls(&self) -> bool {
        self.state
            .calls
            .values()
            .any(|record| matches!(record.outgoing, OutgoingSide::Waiting | OutgoingSide::Seized(_)))
    }

    /// Whether a release or a reset is not yet completed by a far end whose link is usable.
    pub fn awaits_release(&self) -> bool {
        let reachable = |to: &ExchangeNumber| self.state.links.get(to).is_some_and(Link::is_usable);
        let incomplete =
            |usage| matches!(usage, CircuitUse::Releasing { .. } | CircuitUse::Resetting { timer: Some(_) });
        let mut groups = self.state.groups.iter().filter(|(to, _)| reachable(to));
        groups.any(|(_, group)| group.iter().any(|(_, circuit)| incomplete(circuit.usage)))
    }

    /// Handles one event, then the events deferred by it and the capacity reports of groups that it changed.
    pub(crate) fn handle_event(
        &mut self,
        now: Duration,
        actions: &mut dyn CallControlActions,
        event: impl FnOnce(&mut Controller, &mut EventContext),
    ) {
        let context = &mut EventContext { state: &mut self.state, actions, now };
        event(&mut self.controller, context);
        loop {
            if let Some(deferred) = context.state.deferred.pop_front() {
                deferred(&mut self.controller, context);
            } else if let Some(number) = context.state.changed_groups.pop_first() {
                let report = context.state.group_report(number);
                let exchanges: Vec<ExchangeId> = context.state.exchanges_at(number).collect();
                exchanges
                    .into_iter()
                    .for_each(|id| self.controller.on_capacity_report(now, context, id, &report));
            } else {
                break;
            }
        }
    }

    /// Takes the full membership list. `started` is on the same clock as `now`; zero means long ago.
    pub fn on_membership(
        &mut self,
        now: Duration,
        actions: &mut dyn CallControlActions,
        entries: &[ExchangeEntry],
    ) {
        self.handle_event(now, actions, |controller, context| {
            context.state.exchanges.clear();
            context.state.update_exchanges(entries);
            controller.on_membership(now, context, entries);
        });
    }

    /// Takes the changed entries of the membership list.
    pub fn on_membership_changes(
        &mut self,
        now: Duration,
        actions: &mut dyn CallControlActions,
        entries: &[ExchangeEntry],
    ) {
        self.handle_event(now, actions, |controller, context| {
            context.state.update_exchanges(entries);
            controller.on_membership_changes(now, context, entries);
        });
    }

    /// Sets the report of the own processor, which is sent along with answers and releases.
    pub fn set_processor_report(&mut self, report: ProcessorReport) {
        self.state.own_report = Some(report);
    }

    /// The trace of one of the last calls.
    pub fn trace(&self, call: CallId) -> Option<&Trace> {
        self.state.traces.get(call)
    }

    /// The traces here of a call, by the exchange of its origin, which may be this one, and its number there.
    pub fn traces_of(&self, origin: ExchangeNumber, call: u64) -> impl Iterator<Item = &Trace> {
        self.state.traces.by_origin(origin, call)
    }

    /// Draws the number of the next call; no number is used twice.
    pub fn next_call(&mut self) -> CallId {
        self.state.next_call += 1;
        CallId(self.state.next_call)
    }

    /// A subscriber offers a call. It gets exactly one final answer, possibly before this returns.
    pub fn offer(
        &mut self,
        now: Duration,
        actions: &mut dyn CallControlActions,
        call: CallId,
        request: CallRequest,
    ) {
        let closing = self.service == ServiceState::Closing;
        self.handle_event(now, actions, |controller, context| {
            context.state.counters.offered += 1;
            let full = context.state.calls.len() >= context.state.max_calls;
            context.state.counters.overflow += u64::from(full);
            let called = Number::empty().append_decimal(request.dest.0.into(), EXCHANGE_DIGITS);
            let called = called.and_then(|digits| digits.append_decimal(request.dialled.0, 1));
            let width = context.state.widths.get(usize::from(request.call_type.0)).copied();
            let deadline = now.saturating_add(request.time_left).saturating_sub(ANSWER_MARGIN);
            let (Some(called), Some(width)) = (called.filter(|_| !closing && !full && deadline > now), width)
            else {
                context.state.counters.refused += 1;
                return context.actions.answer(call, Answer::Refused { retry_after: Duration::ZERO });
            };
            let identity = CallIdentity {
                origin: context.state.own.0,
                call: call.0,
                seizure: 0,
                call_type: request.call_type.0,
                customer: request.customer.0,
                time_left_ms: 0,
                cut: request.cut,
                redial: request.redial,
            };
            context.state.pending_answers += 1;
            let step = TraceStep::Offered { time_left: request.time_left };
            context.state.traces.start(now, call, identity, request.dest, request.dialled.0, step);
            let guard_timer = context.state.timers.set(deadline, Timer::GuardTime(call));
            context.state.calls.insert(
                call,
                CallRecord {
                    incoming: IncomingSide::Subscriber,
                    outgoing: OutgoingSide::Waiting,
                    identity,
                    called,
                    dialled: request.dialled.0,
                    dest: request.dest,
                    width,
                    deadline,
                    guard_timer: Some(guard_timer),
                    controller_timer: None,
                    seizure_count: 0,
                    last_cause: None,
                },
            );
            let offer = context.state.offer(call, request.advised);
            offer.into_iter().for_each(|offer| controller.on_offer(now, context, offer));
        });
    }

    /// The caller hangs up or gives up. Returns `false` if there is no such call.
    pub fn hang_up(&mut self, now: Duration, actions: &mut dyn CallControlActions, call: CallId) -> bool {
        let record = self.state.calls.get(&call);
        let known = record.is_some_and(|record| matches!(record.incoming, IncomingSide::Subscriber));
        if known {
            self.handle_event(now, actions, |controller, context| {
                context.caller_gone(controller, call, normal_clearing(Location::User))
            });
        }
        known
    }

    /// Sets how many circuits to an exchange are in service: those with a lower index in the group. Calls on circuits
    /// that fail are cut, and the far end gets a blocking message (Q.764 clause 2.8.2.2, hardware failure).
    pub fn set_circuits_in_service(
        &mut self,
        now: Duration,
        actions: &mut dyn CallControlActions,
        to: ExchangeNumber,
        in_service: u16,
    ) {
        self.handle_event(now, actions, |controller, context| {
            let Some(group) = context.state.groups.get(&to) else { return };
            let changes = |index: u16, blocked: bool| blocked != (index >= in_service);
            let indices: Vec<_> =
                group.iter().map(|(index, circuit)| (index, circuit.blocking.is_local())).collect();
            let changed: Vec<_> =
                indices.into_iter().filter(|(index, blocked)| changes(*index, *blocked)).collect();
            for (fails, event) in [(true, "failed"), (false, "restored")] {
                let indices: Vec<_> = changed
                    .iter()
                    .filter(|(_, blocked)| *blocked != fails)
                    .map(|(index, _)| *index)
                    .collect();
                if indices.is_empty() {
                    continue;
                }
                context.actions.log_info(&format!(
                    "exchange {}: {} circuits {event}, {in_service} in service",
                    to.0,
                    indices.len()
                ));
                // All are blocked before any call is cut: a waiting call that proceeds when another one is cut must not
                // seize a circuit that fails next.
                if let Some(group) = context.state.groups.get_mut(&to) {
                    indices.iter().for_each(|index| group.block(*index, Some(fails), None));
                }
                for index in indices.iter().filter(|_| fails) {
                    context.on_circuit_failure(controller, to, *index);
                }
                context.state.changed_groups.insert(to);
                context.send_blocking(to, &indices, fails);
            }
        });
    }

    /// Refuses new calls from now on; current calls are finished.
    pub fn stop(&mut self) {
        self.service = ServiceState::Closing;
    }

    /// Releases all standing calls; those that wait for an answer fail.
    pub fn release_all(&mut self, now: Duration, actions: &mut dyn CallControlActions) {
        // Calls that wait in the controller go first: otherwise the release of another call would let the controller
        // send set-ups for them.
        let is_routed = |record: &CallRecord| !matches!(record.outgoing, OutgoingSide::Waiting);
        let mut calls: Vec<_> =
            self.state.calls.iter().map(|(call, record)| (is_routed(record), *call)).collect();
        calls.sort_unstable();
        for (_, call) in calls {
            self.handle_event(now, actions, |controller, context| {
                let standing = context.state.calls.get(&call).is_some_and(|record| {
                    matches!(
                        (&record.incoming, &record.outgoing),
                        (IncomingSide::Subscriber, OutgoingSide::Standing(_))
                    )
                });
                context.caller_gone(controller, call, local_failure(Q850::OutOfOrder));
                // A seizure that is still open may not be cancelled by the controller, or its caller had gone before:
                // nothing waits for its end any more.
                if let Some(CallRecord {
                    outgoing: OutgoingSide::Seized(OutgoingSeizure { number, .. }),
                    ..
                }) = context.state.calls.get(&call)
                {
                    let number = *number;
                    context.cancel(call, number);
                }
                if standing {
                    context.state.counters.cut += 1;
                    context.trace(call, TraceStep::Ended(CallEnd::Cut));
                    context.actions.call_ended(call, CallEnd::Cut);
                }
            });
        }
    }

    /// The connection to an exchange is established.
    pub fn link_up(&mut self, now: Duration, actions: &mut dyn CallControlActions, to: ExchangeNumber) {
        self.handle_event(now, actions, |_, context| {
            let Some(link) = context.state.links.get_mut(&to) else { return };
            link.local_state = LocalAspState::Announcing;
            link.remote_state = Default::default();
            link.deframer = Default::default();
            link.unanswered_requests = 0;
            context.send_asp_request(to);
        });
    }

    /// Sends a heartbeat on the link to an exchange at once. Returns whether it is open, so that the far end has to answer.
    pub fn probe_link(
        &mut self,
        now: Duration,
        actions: &mut dyn CallControlActions,
        to: ExchangeNumber,
    ) -> bool {
        let is_usable = self.state.links.get(&to).is_some_and(Link::is_usable);
        if is_usable {
            self.handle_event(now, actions, |_, context| {
                context.send_frame(to, Frame::Heartbeat(HEARTBEAT_DATA));
            });
        }
        is_usable
    }

    /// The connection to an exchange is lost.
    pub fn link_down(&mut self, now: Duration, actions: &mut dyn CallControlActions, to: ExchangeNumber) {
        self.handle_event(now, actions, |controller, context| context.on_link_lost(controller, to));
    }

    /// Handles all timers that are due.
    pub fn on_timer(&mut self, now: Duration, actions: &mut dyn CallControlActions) {
        while let Some(timer) = self.state.timers.pop_due(now) {
            self.handle_event(now, actions, |controller, context| match timer {
                Timer::Controller(timer) => {
                    if let Some(record) = context.state.calls.get_mut(&CallId(timer.0)) {
                        record.controller_timer = None;
                    }
                    controller.on_timer(now, context, timer);
                }
                Timer::SeizureLimit(call, number) => context.on_seizure_limit(controller, call, number),
                Timer::GuardTime(call) => context.on_guard_time(controller, call),
                Timer::Circuit(to, index) => context.on_circuit_timer(to, index),
                Timer::GroupReset(to, index) => context.reset_system(to, index, context.state.durations.t17),
                Timer::Link(to) => context.on_link_timer(to),
                Timer::Audit(to) => context.send_circuit_query(to),
                Timer::LinkGrace(to) => context.on_link_grace(controller, to),
            });
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.service == ServiceState::Closing
    }
}

impl CallControlState {
    fn update_exchanges(&mut self, entries: &[ExchangeEntry]) {
        for entry in entries {
            self.exchanges.insert(entry.id, entry.number);
            self.changed_groups.insert(entry.number);
        }
        // An exchange that is gone is removed once another one has its number.
        for gone in entries.iter().filter(|entry| entry.status == ExchangeStatus::Gone) {
            if self.exchanges_at(gone.number).any(|id| id != gone.id) {
                self.exchanges.remove(&gone.id);
            }
        }
    }

    /// The offer of a call to the controller.
    pub fn offer(&self, call: CallId, advised: Option<ExchangeNumber>) -> Option<CallOffer> {
        let record = self.calls.get(&call)?;
        let (transit, advised) = match &record.incoming {
            IncomingSide::Trunk(held) => (true, Some(held.to)),
            _ => (false, advised),
        };
        Some(CallOffer {
            call,
            call_type: CallType(record.identity.call_type),
            customer: CustomerId(record.identity.customer),
            dialled: DialledNumber(record.dialled),
            deadline: record.deadline,
            dest: record.dest,
            width: record.width,
            advised,
            transit,
            cut: record.identity.cut,
            redial: record.identity.redial,
        })
    }
}

impl EventContext<'_> {
    /// The incoming side of a call is gone; `rel` is sent on the circuits that the call holds on the outgoing side. A
    /// subscriber without a final answer gets it at once.
    pub fn caller_gone(&mut self, controller: &mut Controller, call: CallId, rel: Rel) {
        let now = self.now;
        self.trace(call, TraceStep::CallerGone(rel.cause.cause));
        let Some(record) = self.state.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut record.outgoing, OutgoingSide::Waiting) {
            OutgoingSide::OwnSubscriber => {
                self.free_line(call);
                self.release_incoming(call, &rel);
                self.state.remove_call(call);
            }
            OutgoingSide::Standing(seizure) => {
                let cut = rel.cause.cause != Q850::NormalClearing;
                self.release_held(&seizure.held, rel);
                self.release_incoming(call, &local_failure(Q850::OutOfOrder));
                self.state.remove_call(call);
                let cause = if cut { Cause::Cut } else { Cause::Done };
                controller.on_seizure_ended(now, self, &seizure.end_event(call, now, cause, true));
            }
            outgoing @ (OutgoingSide::Waiting | OutgoingSide::Seized(_)) => {
                record.outgoing = outgoing;
                let incoming = std::mem::replace(&mut record.incoming, IncomingSide::Gone);
                record.guard_timer.take().into_iter().for_each(|timer| self.state.timers.cancel(timer));
                match incoming {
                    IncomingSide::Subscriber => {
                        self.state.pending_answers -= 1;
                        self.state.counters.failed += 1;
                        self.trace(call, TraceStep::Answered(Answer::Fails));
                        self.actions.answer(call, Answer::Fails);
                    }
                    IncomingSide::Trunk(held) => self.release_if_seized(&held, &rel),
                    IncomingSide::Gone => {}
                }
                controller.on_caller_gone(now, self, call);
                self.state.remove_if_finished(call);
            }
        }
    }

    /// Releases circuits that still carry their call; those that the far end has released stay as they are.
    pub fn release_if_seized(&mut self, held: &HeldCircuits, rel: &Rel) {
        let group = self.state.groups.get(&held.to);
        let in_use = group
            .and_then(|group| group.get(held.first()))
            .is_some_and(|circuit| circuit.usage.call().is_some());
        if in_use {
            self.release_held(held, Rel { unknown_parameters: Vec::new(), ..rel.clone() });
        }
    }

    fn release_incoming(&mut self, call: CallId, rel: &Rel) {
        if let Some(CallRecord { incoming: IncomingSide::Trunk(held), .. }) = self.state.calls.get(&call) {
            let held = held.clone();
            self.release_if_seized(&held, rel);
        }
    }

    pub fn free_line(&mut self, call: CallId) {
        let Some(record) = self.state.calls.get(&call) else { return };
        if let Some((_, taken)) = self.state.lines.get_mut(&record.dialled) {
            *taken = taken.saturating_sub(1);
        }
    }

    /// A seizure has reached its time limit: its circuits stay taken until the far end has released them.
    fn on_seizure_limit(&mut self, controller: &mut Controller, call: CallId, number: SeizureNumber) {
        let Some(record) = self.state.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut record.outgoing, OutgoingSide::Waiting) {
            OutgoingSide::Seized(seizure) if seizure.number == number => {
                record.last_cause = Some(Cause::TimedOut);
                self.state.counters.timed_out += 1;
                self.trace(
                    call,
                    TraceStep::SeizureEnded {
                        seizure: number,
                        cause: Cause::TimedOut,
                        elapsed: self.now - seizure.sent_at,
                    },
                );
                self.release_held(&seizure.held, local_failure(Q850::RecoveryOnTimer));
                let closed = self.state.has_final_answer(call);
                let now = self.now;
                controller.on_seizure_ended(
                    now,
                    self,
                    &seizure.end_event(call, now, Cause::TimedOut, closed),
                );
                self.state.remove_if_finished(call);
            }
            other => record.outgoing = other,
        }
    }

    /// The caller's deadline has passed without an answer: to the controller the caller is gone.
    fn on_guard_time(&mut self, controller: &mut Controller, call: CallId) {
        if let Some(record) = self.state.calls.get_mut(&call) {
            record.guard_timer = None;
            if matches!(record.outgoing, OutgoingSide::Waiting | OutgoingSide::Seized(_)) {
                self.caller_gone(controller, call, local_failure(Q850::RecoveryOnTimer));
            }
        }
    }

    /// T1 and T5 of a circuit that is being released, T16 and T17 of one that is being reset (Q.764 table A.1).
    fn on_circuit_timer(&mut self, to: ExchangeNumber, index: u16) {
        let (now, durations) = (self.now, self.state.durations);
        let Some(group) = self.state.groups.get(&to) else { return };
        let Some(usage) = group.get(index).map(|circuit| circuit.usage) else { return };
        let held = HeldCircuits { to, indices: group.with_released(index) };
        match usage {
            CircuitUse::Releasing { since, .. } if now >= since + durations.t5 => {
                self.actions.log_info(&format!(
                    "exchange {}: circuit {} not released in {:?}, resetting it",
                    to.0,
                    Cic::from_index(index).0,
                    durations.t5
                ));
                self.reset_held(&held);
            }
            CircuitUse::Releasing { since, .. } => {
                self.state.counters.releases_repeated += 1;
                self.send(to, Cic::from_index(index), Body::Rel(normal_clearing(Location::Local)));
                // The timer that passes T5 leads to the reset; the jitter keeps it apart from those of other exchanges.
                let again = now + self.state.with_jitter(durations.t1);
                let timer = self.state.timers.set(again, Timer::Circuit(to, index));
                self.set_signalling_usage(&held, CircuitUse::Releasing { since, timer });
            }
            CircuitUse::Resetting { .. } => {
                self.send(to, Cic::from_index(index), Body::Rsc);
                let timer = Some(self.set_reset_timer(to, index, durations.t17));
                self.set_signalling_usage(&held, CircuitUse::Resetting { timer });
            }
            _ => {}
        }
    }

    /// A circuit's hardware failed: its call is cut, and the blocked circuit becomes idle without a release.
    pub fn on_circuit_failure(&mut self, controller: &mut Controller, to: ExchangeNumber, index: u16) {
        let usage =
            self.state.groups.get(&to).and_then(|group| group.get(index)).map(|circuit| circuit.usage);
        match usage {
            Some(CircuitUse::Idle | CircuitUse::ReleasedWith(_)) | None => {}
            Some(CircuitUse::Releasing { .. } | CircuitUse::Resetting { .. }) => self.make_idle(to, index),
            Some(usage) => {
                // Both ends see the failure, and free all circuits of a wider call at once.
                let rel = local_failure(Q850::TemporaryFailure);
                usage.call().into_iter().for_each(|call| {
                    self.on_circuits_lost(
                        controller,
                        call,
                        (to, index),
                        Cause::Cut,
                        &rel,
                        HeldCircuits::set_idle,
                    );
                });
            }
        }
    }

    /// Blocks or unblocks circuits at the far end, with one message for each system (Q.763 clause 3.13: hardware
    /// failure).
    pub fn send_blocking(&mut self, to: ExchangeNumber, indices: &[u16], blocked: bool) {
        const HARDWARE: u8 = 1;
        for system in indices.chunk_by(|a, b| a / Cic::PER_SYSTEM == b / Cic::PER_SYSTEM) {
            let (first, last) = (system[0], system[system.len() - 1]);
            let status = system.iter().fold(0u32, |bits, index| bits | 1 << (index - first));
            let range = RangeStatus { count: (last - first + 1) as u8, status };
            let body = match blocked {
                true => Body::Cgb { kind: HARDWARE, range },
                false => Body::Cgu { kind: HARDWARE, range },
            };
            self.send(to, Cic::from_index(first), body);
        }
    }

    /// Sends the ASP Up or ASP Active that is due, again after T(ack) if it is not acknowledged.
    fn send_asp_request(&mut self, to: ExchangeNumber) {
        let own = u32::from(self.state.own.0);
        let again = self.now + self.state.with_jitter(self.state.durations.link_ack);
        let Some(link) = self.state.links.get_mut(&to) else { return };
        let frame = match link.local_state {
            LocalAspState::Announcing => Frame::AspUp { asp: Some(own) },
            LocalAspState::Activating => Frame::AspActive,
            LocalAspState::Down | LocalAspState::Active => return,
        };
        let timer = self.state.timers.set(again, Timer::Link(to));
        link.timer.replace(timer).into_iter().for_each(|before| self.state.timers.cancel(before));
        self.send_frame(to, frame);
    }

    /// The far end has acknowledged the own ASP Up: sends ASP Active.
    pub fn on_asp_up_ack(&mut self, to: ExchangeNumber) {
        if let Some(link) =
            self.state.links.get_mut(&to).filter(|link| link.local_state == LocalAspState::Announcing)
        {
            link.local_state = LocalAspState::Activating;
            self.send_asp_request(to);
        }
    }

    /// T(ack) or the heartbeat interval has expired.
    fn on_link_timer(&mut self, to: ExchangeNumber) {
        let interval = self.state.with_jitter(self.state.durations.heartbeat);
        let Some(link) = self.state.links.get_mut(&to) else { return };
        link.timer = None;
        match link.local_state {
            LocalAspState::Down => {}
            LocalAspState::Announcing | LocalAspState::Activating
                if link.unanswered_requests >= MAX_UNANSWERED_REQUESTS =>
            {
                self.actions.close_link(to, "requests to open the link not answered");
            }
            LocalAspState::Announcing | LocalAspState::Activating => {
                link.unanswered_requests += 1;
                self.send_asp_request(to);
            }
            LocalAspState::Active if link.unanswered_requests >= MAX_UNANSWERED_REQUESTS => {
                self.actions.close_link(to, "heartbeats not answered");
            }
            LocalAspState::Active => {
                link.unanswered_requests += 1;
                link.timer = Some(self.state.timers.set(self.now + interval, Timer::Link(to)));
                self.send_frame(to, Frame::Heartbeat(HEARTBEAT_DATA));
            }
        }
    }

    /// Both ends take traffic. A process that has just started resets the groups, so that the far end clears all calls
    /// of an earlier process; on a link that was lost, resets and releases without an answer are sent again.
    /// Blocking messages and the queued peer message are sent, too.
    pub fn on_link_open(&mut self, to: ExchangeNumber) {
        let next_heartbeat = self.now + self.state.with_jitter(self.state.durations.heartbeat);
        let Some(link) = self.state.links.get_mut(&to) else { return };
        let timer = self.state.timers.set(next_heartbeat, Timer::Link(to));
        let before = [link.timer.replace(timer), link.grace_timer.take()];
        let (queued_message, initial_reset) =
            (link.queued_peer_message.take(), std::mem::replace(&mut link.initial_reset, InitialReset::Sent));
        before.into_iter().flatten().for_each(|before| self.state.timers.cancel(before));
        self.actions.log_info(&format!("link to exchange {} is open", to.0));
        let Some(group) = self.state.groups.get(&to) else { return };
        let blocked: Vec<_> =
            group.iter().filter(|(_, c)| c.blocking.is_local()).map(|(index, _)| index).collect();
        match initial_reset {
            InitialReset::NotSent => {
                let firsts: Vec<u16> = (0..group.size()).step_by(usize::from(Cic::PER_SYSTEM)).collect();
                firsts.into_iter().for_each(|index| self.reset_system(to, index, self.state.durations.t22));
            }
            InitialReset::Sent => {
                let uses: Vec<_> = group.iter().map(|(index, circuit)| (index, circuit.usage)).collect();
                for (index, usage) in uses {
                    match usage {
                        CircuitUse::Resetting { timer: None } => {
                            let timer = Some(self.set_reset_timer(to, index, self.state.durations.t16));
                            self.send(to, Cic::from_index(index), Body::Rsc);
                            let indices = self.state.groups.get(&to).map(|group| group.with_released(index));
                            indices.iter().for_each(|indices| {
                                self.set_signalling_usage(
                                    &HeldCircuits { to, indices: indices.clone() },
                                    CircuitUse::Resetting { timer },
                                );
                            });
                        }
                        CircuitUse::Releasing { .. } => {
                            self.send(
                                to,
                                Cic::from_index(index),
                                Body::Rel(normal_clearing(Location::Local)),
                            );
                        }
                        _ => {}
                    }
                }
            }
        }
        self.send_blocking(to, &blocked, true);
        queued_message.iter().for_each(|message| self.send(to, Cic(0), Body::Peer(message)));
        self.state.changed_groups.insert(to);
    }

    /// Resets all circuits of a system that carry no call; repeats the reset if it is not acknowledged.
    fn reset_system(&mut self, to: ExchangeNumber, first: u16, repeat_after: Duration) {
        let Some(group) = self.state.groups.get_mut(&to) else { return };
        let end = (first + Cic::PER_SYSTEM).min(group.size());
        let resettable = |usage| matches!(usage, CircuitUse::Idle | CircuitUse::Resetting { timer: None });
        let to_reset: Vec<_> =
            (first..end).filter(|index| group.get(*index).is_some_and(|c| resettable(c.usage))).collect();
        // Circuits whose reset is acknowledged are idle, and are not reset again.
        let unacknowledged = group.iter().any(|(index, c)| {
            (first..end).contains(&index) && matches!(c.usage, CircuitUse::Resetting { timer: None })
        });
        if repeat_after == self.state.durations.t17 && !unacknowledged || to_reset.is_empty() {
            return;
        }
        if repeat_after != self.state.durations.t17 {
            to_reset.iter().for_each(|index| group.set_usage(*index, CircuitUse::Resetting { timer: None }));
        }
        self.state.counters.resets += 1;
        let repeat_after = self.state.with_jitter(repeat_after);
        self.state.timers.set(self.now + repeat_after, Timer::GroupReset(to, first));
        self.send(to, Cic::from_index(first), Body::Grs { count: (end - first) as u8 });
    }
}

impl OutgoingSeizure {
    pub fn end_event(&self, call: CallId, now: Duration, cause: Cause, closed: bool) -> SeizureEnded {
        SeizureEnded {
            call,
            seizure: self.number,
            exchange: self.exchange,
            cause,
            elapsed: now.saturating_sub(self.sent_at),
            closed,
        }
    }
}
