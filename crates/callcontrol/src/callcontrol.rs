//! What callers, the roster, the exchange's own plant and the clock tell an office.

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
use crate::links::{Cleared, Link, LocalAspState, MAX_UNANSWERED_HEARTBEATS};
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
    /// How long the caller waits, from now.
    pub left: Duration,
    /// The tandem that a centre advises.
    pub advised: Option<ExchangeNumber>,
    /// It stood, was cut, and comes again.
    pub cut: bool,
    pub redial: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Open,
    /// No new calls; those in hand are finished.
    Closing,
}

/// One exchange's controller.
pub struct CallControl {
    pub(crate) controller: Controller,
    pub(crate) desk: CallControlState,
    service: Service,
}

/// Digits of a called number that name the exchange; the rest is the number there.
pub(crate) const OFFICE_DIGITS: usize = 5;

pub(crate) fn normal(location: Location) -> Rel<'static> {
    Rel::new(CauseIndicators::new(location, Q850::NormalClearing))
}

pub(crate) fn failure(cause: Q850) -> Rel<'static> {
    Rel::new(CauseIndicators::new(Location::Local, cause))
}

impl CallControl {
    /// `incarnation` sets the call numbers of this process apart from those before it: it must grow with each start, by
    /// one for each 2,048 calls that it may have taken. Milliseconds of a clock do.
    pub fn new(now: Duration, plan: &CallControlConfig, incarnation: u64, seed: u64) -> Self {
        let group =
            |group: &crate::GroupConfig| (group.to, TrunkGroup::new(plan.own, group.to, group.circuits));
        let mut desk = CallControlState {
            own: plan.own,
            t: plan.timers,
            max_calls: plan.max_calls,
            widths: plan.data.call_types.iter().map(|of| of.width).collect(),
            groups: plan.groups.iter().map(group).collect(),
            links: plan.groups.iter().map(|group| (group.to, Link::default())).collect(),
            audits: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: TimerQueue::default(),
            // Apart from the decisions' own numbers, which a seed must leave as they are.
            chance: MwcRng::new(!seed),
            exchanges: BTreeMap::new(),
            lines: plan.numbers.iter().map(|number| (number.dialled, (number.lines, 0))).collect(),
            report: None,
            after: VecDeque::new(),
            changed: BTreeSet::new(),
            // Below 2^63, above which the decisions keep numbers of their own.
            // Below 2^53, so that clients without wider integers read it whole (RFC 8259 clause 6).
            next_call: (incarnation << 11) & ((1 << 53) - 1),
            owed: 0,
            tally: Counters::default(),
            traces: Traces::new(plan.traces),
            frame: Vec::new(),
            message: Vec::new(),
        };
        // The looks at the groups are spread over the time between two at one.
        for (turn, to) in plan.groups.iter().map(|group| group.to).enumerate() {
            let share = (turn + 1) as f64 / plan.groups.len() as f64;
            let first = desk.with_jitter(plan.timers.audit.mul_f64(share));
            desk.timers.set(now + first, Timer::Audit(to));
        }
        Self { controller: Controller::new(&plan.data, seed), desk, service: Service::Open }
    }

    pub fn own(&self) -> ExchangeNumber {
        self.desk.own
    }

    /// When [`CallControl::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        self.desk.timers.next()
    }

    /// Whether a final answer is owed to any subscriber.
    pub fn owes(&self) -> bool {
        self.desk.owed > 0
    }

    /// Whether a call has no answer yet, one in transit too, or a seizure is out whose caller has gone.
    pub fn has_unanswered_calls(&self) -> bool {
        self.desk.calls.values().any(|leg| matches!(leg.sink, OutgoingSide::Open | OutgoingSide::Seized(_)))
    }

    /// Whether a far end that can be reached has yet to complete a release or a reset.
    pub fn awaits_release(&self) -> bool {
        let there = |to: &ExchangeNumber| self.desk.links.get(to).is_some_and(Link::usable);
        let leaves =
            |used| matches!(used, CircuitUse::Releasing { .. } | CircuitUse::Resetting { timer: Some(_) });
        let mut groups = self.desk.groups.iter().filter(|(to, _)| there(to));
        groups.any(|(_, group)| group.all().any(|(_, circuit)| leaves(circuit.used)))
    }

    /// Runs one thing that happens, and all that follows from it.
    pub(crate) fn handle_event(
        &mut self,
        now: Duration,
        plant: &mut dyn CallControlActions,
        first: impl FnOnce(&mut Controller, &mut EventContext),
    ) {
        let w = &mut EventContext { desk: &mut self.desk, plant, now };
        first(&mut self.controller, w);
        loop {
            if let Some(step) = w.desk.after.pop_front() {
                step(&mut self.controller, w);
            } else if let Some(office) = w.desk.changed.pop_first() {
                let report = w.desk.group_report(office);
                let there: Vec<ExchangeId> = w.desk.exchanges_at(office).collect();
                there.into_iter().for_each(|id| self.controller.on_capacity_report(now, w, id, &report));
            } else {
                break;
            }
        }
    }

    /// The whole roster. `started` is by the same clock as `now`; zero means long ago.
    pub fn roster(&mut self, now: Duration, plant: &mut dyn CallControlActions, lines: &[ExchangeEntry]) {
        self.handle_event(now, plant, |controller, w| {
            w.desk.exchanges.clear();
            w.desk.note_roster(lines);
            controller.on_membership(now, w, lines);
        });
    }

    /// Changed lines of the roster only.
    pub fn roster_changes(
        &mut self,
        now: Duration,
        plant: &mut dyn CallControlActions,
        lines: &[ExchangeEntry],
    ) {
        self.handle_event(now, plant, |controller, w| {
            w.desk.note_roster(lines);
            controller.on_membership_changes(now, w, lines);
        });
    }

    /// What the own processor says of itself; goes along with the next answers.
    pub fn processor(&mut self, report: ProcessorReport) {
        self.desk.report = Some(report);
    }

    /// What became of one of the last calls.
    pub fn trace(&self, call: CallId) -> Option<&Trace> {
        self.desk.traces.get(call)
    }

    /// What became here of a call that an exchange took, this one or another.
    pub fn traces_of(&self, origin: ExchangeNumber, call: u64) -> impl Iterator<Item = &Trace> {
        self.desk.traces.of(origin, call)
    }

    /// A number for the next call, never used twice.
    pub fn next_call(&mut self) -> CallId {
        self.desk.next_call += 1;
        CallId(self.desk.next_call)
    }

    /// A subscriber asks for a call; it gets exactly one final answer, maybe before this returns.
    pub fn offer(
        &mut self,
        now: Duration,
        plant: &mut dyn CallControlActions,
        call: CallId,
        order: CallRequest,
    ) {
        let closing = self.service == Service::Closing;
        self.handle_event(now, plant, |controller, w| {
            w.desk.tally.offered += 1;
            let full = w.desk.calls.len() >= w.desk.max_calls;
            w.desk.tally.overflow += u64::from(full);
            let called = Number::empty().append_decimal(order.dest.0.into(), OFFICE_DIGITS);
            let called = called.and_then(|office| office.append_decimal(order.dialled.0, 1));
            let width = w.desk.widths.get(usize::from(order.call_type.0)).copied();
            let until = now.saturating_add(order.left).saturating_sub(ANSWER_MARGIN);
            let (Some(called), Some(width)) = (called.filter(|_| !closing && !full && until > now), width)
            else {
                w.desk.tally.refused += 1;
                return w.plant.answer(call, Answer::Refused { retry_after: Duration::ZERO });
            };
            let identity = CallIdentity {
                origin: w.desk.own.0,
                call: call.0,
                seizure: 0,
                call_type: order.call_type.0,
                customer: order.customer.0,
                time_left_ms: 0,
                cut: order.cut,
                redial: order.redial,
            };
            w.desk.owed += 1;
            let step = TraceStep::Offered { left: order.left };
            w.desk.traces.begin(now, call, identity, order.dest, order.dialled.0, step);
            let guard = w.desk.timers.set(until, Timer::Guard(call));
            w.desk.calls.insert(
                call,
                CallRecord {
                    source: IncomingSide::Subscriber,
                    sink: OutgoingSide::Open,
                    identity,
                    called,
                    dialled: order.dialled.0,
                    dest: order.dest,
                    width,
                    until,
                    guard: Some(guard),
                    alarm: None,
                    seizures: 0,
                    last: None,
                },
            );
            let offer = w.desk.offer(call, order.advised);
            offer.into_iter().for_each(|offer| controller.on_offer(now, w, offer));
        });
    }

    /// The caller hangs up, or gives up. `false`: no such call is in hand.
    pub fn hang_up(&mut self, now: Duration, plant: &mut dyn CallControlActions, call: CallId) -> bool {
        let leg = self.desk.calls.get(&call);
        let known = leg.is_some_and(|leg| matches!(leg.source, IncomingSide::Subscriber));
        if known {
            self.handle_event(now, plant, |controller, w| {
                w.caller_gone(controller, call, normal(Location::User))
            });
        }
        known
    }

    /// Circuits to an exchange, from a place in the group on, fail or come back. Calls on those that fail are cut, and
    /// the far end is told (Q.764 clause 2.8.2.2, hardware failure).
    pub fn circuits(
        &mut self,
        now: Duration,
        plant: &mut dyn CallControlActions,
        to: ExchangeNumber,
        in_service: u16,
    ) {
        self.handle_event(now, plant, |controller, w| {
            let Some(group) = w.desk.groups.get(&to) else { return };
            let change = |index: u16, here: bool| here != (index >= in_service);
            let indices: Vec<_> =
                group.all().map(|(index, circuit)| (index, circuit.blocked.here())).collect();
            let changed: Vec<_> = indices.into_iter().filter(|(index, here)| change(*index, *here)).collect();
            for (fails, name) in [(true, "fail"), (false, "come back")] {
                let indices: Vec<_> =
                    changed.iter().filter(|(_, here)| *here != fails).map(|(index, _)| *index).collect();
                if indices.is_empty() {
                    continue;
                }
                w.plant.log_info(&format!(
                    "exchange {}: {} circuits {name}, {in_service} in service",
                    to.0,
                    indices.len()
                ));
                // All are blocked before any call is cut: what its end sets free must not seize one that fails next.
                if let Some(group) = w.desk.groups.get_mut(&to) {
                    indices.iter().for_each(|index| group.block(*index, Some(fails), None));
                }
                for index in indices.iter().filter(|_| fails) {
                    w.circuit_fails(controller, to, *index);
                }
                w.desk.changed.insert(to);
                w.tell_blocked(to, &indices, fails);
            }
        });
    }

    /// No new calls from now on; what is in hand is finished.
    pub fn stop(&mut self) {
        self.service = Service::Closing;
    }

    /// Lets go of all calls that stand; those that wait for an answer fail.
    pub fn release_all(&mut self, now: Duration, plant: &mut dyn CallControlActions) {
        // Calls that are held go first: what is let go next would give them a way, and set-ups would go out.
        let holds = |leg: &CallRecord| !matches!(leg.sink, OutgoingSide::Open);
        let mut calls: Vec<_> = self.desk.calls.iter().map(|(call, leg)| (holds(leg), *call)).collect();
        calls.sort_unstable();
        for (_, call) in calls {
            self.handle_event(now, plant, |controller, w| {
                let standing = w.desk.calls.get(&call).is_some_and(|leg| {
                    matches!((&leg.source, &leg.sink), (IncomingSide::Subscriber, OutgoingSide::Standing(_)))
                });
                w.caller_gone(controller, call, failure(Q850::OutOfOrder));
                // What is still out may not be cancelled, or its caller had gone before: nobody is left to await its end.
                if let Some(CallRecord { sink: OutgoingSide::Seized(OutgoingSeizure { no, .. }), .. }) =
                    w.desk.calls.get(&call)
                {
                    let no = *no;
                    w.cancel(call, no);
                }
                if standing {
                    w.desk.tally.cut += 1;
                    w.trace(call, TraceStep::Ended(CallEnd::Cut));
                    w.plant.ended(call, CallEnd::Cut);
                }
            });
        }
    }

    /// The connection to an exchange is open.
    pub fn link_up(&mut self, now: Duration, plant: &mut dyn CallControlActions, to: ExchangeNumber) {
        self.handle_event(now, plant, |_, w| {
            let Some(link) = w.desk.links.get_mut(&to) else { return };
            link.phase = LocalAspState::Announcing;
            link.far = Default::default();
            link.deframer = Default::default();
            link.unanswered = 0;
            w.announce(to);
        });
    }

    /// It is gone.
    pub fn link_down(&mut self, now: Duration, plant: &mut dyn CallControlActions, to: ExchangeNumber) {
        self.handle_event(now, plant, |controller, w| w.link_lost(controller, to));
    }

    /// Rings all that is due.
    pub fn on_timer(&mut self, now: Duration, plant: &mut dyn CallControlActions) {
        while let Some(timer) = self.desk.timers.due(now) {
            self.handle_event(now, plant, |controller, w| match timer {
                Timer::Alarm(alarm) => {
                    if let Some(leg) = w.desk.calls.get_mut(&CallId(alarm.0)) {
                        leg.alarm = None;
                    }
                    controller.on_timer(now, w, alarm);
                }
                Timer::Limit(call, no) => w.limit_passed(controller, call, no),
                Timer::Guard(call) => w.time_up(controller, call),
                Timer::Circuit(to, index) => w.circuit_timer(to, index),
                Timer::GroupReset(to, index) => w.reset_system(to, index, w.desk.t.t17),
                Timer::Link(to) => w.link_timer(to),
                Timer::Audit(to) => w.audit(to),
                Timer::LinkGrace(to) => w.link_grace(controller, to),
            });
        }
    }

    pub(crate) fn closing(&self) -> bool {
        self.service == Service::Closing
    }
}

impl CallControlState {
    fn note_roster(&mut self, lines: &[ExchangeEntry]) {
        for line in lines {
            self.exchanges.insert(line.id, line.number);
            self.changed.insert(line.number);
        }
        // A machine that is gone and replaced is named no more.
        for gone in lines.iter().filter(|line| line.status == ExchangeStatus::Gone) {
            if self.exchanges_at(gone.number).any(|id| id != gone.id) {
                self.exchanges.remove(&gone.id);
            }
        }
    }

    /// What the decisions are told of a call.
    pub fn offer(&self, call: CallId, advised: Option<ExchangeNumber>) -> Option<CallOffer> {
        let leg = self.calls.get(&call)?;
        let (transit, advised) = match &leg.source {
            IncomingSide::Trunk(held) => (true, Some(held.to)),
            _ => (false, advised),
        };
        Some(CallOffer {
            call,
            call_type: CallType(leg.identity.call_type),
            customer: CustomerId(leg.identity.customer),
            dialled: DialledNumber(leg.dialled),
            deadline: leg.until,
            dest: leg.dest,
            width: leg.width,
            advised,
            transit,
            cut: leg.identity.cut,
            redial: leg.identity.redial,
        })
    }
}

impl EventContext<'_> {
    /// The side a call came from is gone; `rel` goes to what it holds on the other side. A subscriber to whom an
    /// answer is owed gets it at once.
    pub fn caller_gone(&mut self, controller: &mut Controller, call: CallId, rel: Rel) {
        let now = self.now;
        self.trace(call, TraceStep::CallerGone(rel.cause.cause));
        let Some(leg) = self.desk.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut leg.sink, OutgoingSide::Open) {
            OutgoingSide::OwnSubscriber => {
                self.line_free(call);
                self.let_go_source(call, &rel);
                self.desk.drop_leg(call);
            }
            OutgoingSide::Standing(out) => {
                let cut = rel.cause.cause != Q850::NormalClearing;
                self.release_held(&out.held, rel);
                self.let_go_source(call, &failure(Q850::OutOfOrder));
                self.desk.drop_leg(call);
                let cause = if cut { Cause::Cut } else { Cause::Done };
                controller.on_seizure_ended(now, self, &out.ended(call, now, cause, true));
            }
            sink @ (OutgoingSide::Open | OutgoingSide::Seized(_)) => {
                leg.sink = sink;
                let source = std::mem::replace(&mut leg.source, IncomingSide::Gone);
                leg.guard.take().into_iter().for_each(|set| self.desk.timers.stop(set));
                match source {
                    IncomingSide::Subscriber => {
                        self.desk.owed -= 1;
                        self.desk.tally.failed += 1;
                        self.trace(call, TraceStep::Answered(Answer::Fails));
                        self.plant.answer(call, Answer::Fails);
                    }
                    IncomingSide::Trunk(held) => self.let_go(&held, &rel),
                    IncomingSide::Gone => {}
                }
                controller.on_caller_gone(now, self, call);
                self.desk.finish(call);
            }
        }
    }

    /// Releases circuits that are still taken by their call; those that the far end let go are left as they are.
    pub fn let_go(&mut self, held: &HeldCircuits, rel: &Rel) {
        let group = self.desk.groups.get(&held.to);
        let taken = group
            .and_then(|group| group.get(held.first()))
            .is_some_and(|circuit| circuit.used.call().is_some());
        if taken {
            self.release_held(held, Rel { unknown_parameters: Vec::new(), ..rel.clone() });
        }
    }

    fn let_go_source(&mut self, call: CallId, rel: &Rel) {
        if let Some(CallRecord { source: IncomingSide::Trunk(held), .. }) = self.desk.calls.get(&call) {
            let held = held.clone();
            self.let_go(&held, rel);
        }
    }

    pub fn line_free(&mut self, call: CallId) {
        let Some(leg) = self.desk.calls.get(&call) else { return };
        if let Some((_, taken)) = self.desk.lines.get_mut(&leg.dialled) {
            *taken = taken.saturating_sub(1);
        }
    }

    /// A seizure passed its limit: its circuits stay taken until the far end has let go.
    fn limit_passed(&mut self, controller: &mut Controller, call: CallId, no: SeizureNumber) {
        let Some(leg) = self.desk.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut leg.sink, OutgoingSide::Open) {
            OutgoingSide::Seized(out) if out.no == no => {
                leg.last = Some(Cause::TimedOut);
                self.desk.tally.timed_out += 1;
                self.trace(
                    call,
                    TraceStep::SeizureEnded { no, cause: Cause::TimedOut, elapsed: self.now - out.at },
                );
                self.release_held(&out.held, failure(Q850::RecoveryOnTimer));
                let closed = self.desk.closed(call);
                let now = self.now;
                controller.on_seizure_ended(now, self, &out.ended(call, now, Cause::TimedOut, closed));
                self.desk.finish(call);
            }
            other => leg.sink = other,
        }
    }

    /// The caller's time is up, and the decisions have not answered: they are told that the caller is gone.
    fn time_up(&mut self, controller: &mut Controller, call: CallId) {
        if let Some(leg) = self.desk.calls.get_mut(&call) {
            leg.guard = None;
            if matches!(leg.sink, OutgoingSide::Open | OutgoingSide::Seized(_)) {
                self.caller_gone(controller, call, failure(Q850::RecoveryOnTimer));
            }
        }
    }

    /// T1 and T5 of a circuit that is being let go, T16 and T17 of one being reset (Q.764 table A.1).
    fn circuit_timer(&mut self, to: ExchangeNumber, index: u16) {
        let (now, t) = (self.now, self.desk.t);
        let Some(group) = self.desk.groups.get(&to) else { return };
        let Some(used) = group.get(index).map(|circuit| circuit.used) else { return };
        let held = HeldCircuits { to, indices: group.together(index) };
        match used {
            CircuitUse::Releasing { since, .. } if now >= since + t.t5 => {
                self.plant.log_info(&format!(
                    "exchange {}: circuit {} not released in {:?}, reset",
                    to.0,
                    Cic::from_index(index).0,
                    t.t5
                ));
                self.reset_held(&held);
            }
            CircuitUse::Releasing { since, .. } => {
                self.desk.tally.releases_repeated += 1;
                self.send(to, Cic::from_index(index), Body::Rel(normal(Location::Local)));
                // The last of these is past T5, and apart from those of others.
                let again = now + self.desk.with_jitter(t.t1);
                let timer = self.desk.timers.set(again, Timer::Circuit(to, index));
                self.put_first(&held, CircuitUse::Releasing { since, timer });
            }
            CircuitUse::Resetting { .. } => {
                self.send(to, Cic::from_index(index), Body::Rsc);
                let timer = Some(self.reset_timer(to, index, t.t17));
                self.put_first(&held, CircuitUse::Resetting { timer });
            }
            _ => {}
        }
    }

    /// A circuit's hardware failed: its call is cut and it is idle behind its block, without a release.
    pub fn circuit_fails(&mut self, controller: &mut Controller, to: ExchangeNumber, index: u16) {
        let used = self.desk.groups.get(&to).and_then(|group| group.get(index)).map(|circuit| circuit.used);
        match used {
            Some(CircuitUse::Idle | CircuitUse::ReleasedWith(_)) | None => {}
            Some(CircuitUse::Releasing { .. } | CircuitUse::Resetting { .. }) => self.idle(to, index),
            Some(used) => {
                // Both ends see the failure, and let go of all circuits of a wider call at once.
                let rel = failure(Q850::TemporaryFailure);
                used.call().into_iter().for_each(|call| {
                    self.on_circuits_lost(
                        controller,
                        call,
                        (to, index),
                        Cause::Cut,
                        &rel,
                        HeldCircuits::idle,
                    );
                });
            }
        }
    }

    /// Blocks or unblocks circuits at the far end, a message a system (Q.763 clause 3.13: hardware failure).
    pub fn tell_blocked(&mut self, to: ExchangeNumber, indices: &[u16], blocked: bool) {
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

    fn announce(&mut self, to: ExchangeNumber) {
        let own = u32::from(self.desk.own.0);
        let again = self.now + self.desk.with_jitter(self.desk.t.link_ack);
        let Some(link) = self.desk.links.get_mut(&to) else { return };
        let frame = match link.phase {
            LocalAspState::Announcing => Frame::AspUp { asp: Some(own) },
            LocalAspState::Activating => Frame::AspActive,
            LocalAspState::Down | LocalAspState::Active => return,
        };
        let set = self.desk.timers.set(again, Timer::Link(to));
        link.timer.replace(set).into_iter().for_each(|before| self.desk.timers.stop(before));
        self.send_frame(to, frame);
    }

    /// The own end is up at the far one: asks to take traffic.
    pub fn activate(&mut self, to: ExchangeNumber) {
        if let Some(link) =
            self.desk.links.get_mut(&to).filter(|link| link.phase == LocalAspState::Announcing)
        {
            link.phase = LocalAspState::Activating;
            self.announce(to);
        }
    }

    /// T(ack), or time for a sign of life.
    fn link_timer(&mut self, to: ExchangeNumber) {
        let beat = self.desk.with_jitter(self.desk.t.beat);
        let Some(link) = self.desk.links.get_mut(&to) else { return };
        link.timer = None;
        match link.phase {
            LocalAspState::Down => {}
            LocalAspState::Announcing | LocalAspState::Activating => self.announce(to),
            LocalAspState::Active if link.unanswered >= MAX_UNANSWERED_HEARTBEATS => {
                self.plant.close_link(to, "no sign of life");
            }
            LocalAspState::Active => {
                link.unanswered += 1;
                link.timer = Some(self.desk.timers.set(self.now + beat, Timer::Link(to)));
                self.send_frame(to, Frame::Heartbeat(b"mintstal"));
            }
        }
    }

    /// Both ends take traffic. A process that has just started has the far end forget all calls of one before it; a link
    /// that was away has what it missed said again.
    pub fn opened(&mut self, to: ExchangeNumber) {
        let beat = self.now + self.desk.with_jitter(self.desk.t.beat);
        let Some(link) = self.desk.links.get_mut(&to) else { return };
        let set = self.desk.timers.set(beat, Timer::Link(to));
        let before = [link.timer.replace(set), link.grace.take()];
        let (waiting, cleared) = (link.waiting.take(), std::mem::replace(&mut link.cleared, Cleared::Asked));
        before.into_iter().flatten().for_each(|before| self.desk.timers.stop(before));
        self.plant.log_info(&format!("link to exchange {} is open", to.0));
        let Some(group) = self.desk.groups.get(&to) else { return };
        let blocked: Vec<_> = group.all().filter(|(_, c)| c.blocked.here()).map(|(index, _)| index).collect();
        match cleared {
            Cleared::NotYet => {
                let firsts: Vec<u16> = (0..group.size()).step_by(usize::from(Cic::PER_SYSTEM)).collect();
                firsts.into_iter().for_each(|index| self.reset_system(to, index, self.desk.t.t22));
            }
            Cleared::Asked => {
                let uses: Vec<_> = group.all().map(|(index, circuit)| (index, circuit.used)).collect();
                for (index, used) in uses {
                    match used {
                        CircuitUse::Resetting { timer: None } => {
                            let timer = Some(self.reset_timer(to, index, self.desk.t.t16));
                            self.send(to, Cic::from_index(index), Body::Rsc);
                            let indices = self.desk.groups.get(&to).map(|group| group.together(index));
                            indices.iter().for_each(|indices| {
                                self.put_first(
                                    &HeldCircuits { to, indices: indices.clone() },
                                    CircuitUse::Resetting { timer },
                                );
                            });
                        }
                        CircuitUse::Releasing { .. } => {
                            self.send(to, Cic::from_index(index), Body::Rel(normal(Location::Local)));
                        }
                        _ => {}
                    }
                }
            }
        }
        self.tell_blocked(to, &blocked, true);
        waiting.iter().for_each(|message| self.send(to, Cic(0), Body::Peer(message)));
        self.desk.changed.insert(to);
    }

    /// Resets all circuits of a system that carry nothing; again after a while if it is not acknowledged.
    fn reset_system(&mut self, to: ExchangeNumber, first: u16, again: Duration) {
        let Some(group) = self.desk.groups.get_mut(&to) else { return };
        let end = (first + Cic::PER_SYSTEM).min(group.size());
        let waiting = |used| matches!(used, CircuitUse::Idle | CircuitUse::Resetting { timer: None });
        let open: Vec<_> =
            (first..end).filter(|index| group.get(*index).is_some_and(|c| waiting(c.used))).collect();
        // What is acknowledged is idle, and reset no more.
        let again_due = group.all().any(|(index, c)| {
            (first..end).contains(&index) && matches!(c.used, CircuitUse::Resetting { timer: None })
        });
        if again == self.desk.t.t17 && !again_due || open.is_empty() {
            return;
        }
        if again != self.desk.t.t17 {
            open.iter().for_each(|index| group.put(*index, CircuitUse::Resetting { timer: None }));
        }
        self.desk.tally.resets += 1;
        let again = self.desk.with_jitter(again);
        self.desk.timers.set(self.now + again, Timer::GroupReset(to, first));
        self.send(to, Cic::from_index(first), Body::Grs { count: (end - first) as u8 });
    }
}

impl OutgoingSeizure {
    pub fn ended(&self, call: CallId, now: Duration, cause: Cause, closed: bool) -> SeizureEnded {
        SeizureEnded {
            call,
            seizure: self.no,
            exchange: self.exchange,
            cause,
            elapsed: now.saturating_sub(self.at),
            closed,
        }
    }
}
