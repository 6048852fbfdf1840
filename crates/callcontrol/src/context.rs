//! What the decisions may do, carried out on circuits, links and timers.
//!
//! What happens within a decision (a seizure that can't be sent, a cancel that takes effect) is told to the decisions
//! once they have finished: as a step left in `after`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::{
    CallId, CapacityReport, Cause, ControllerActions, ExchangeId, ExchangeNumber, PeerId, SeizureEnded,
    SeizureNumber, TimerId,
};
use mintstall::random::MwcRng;
use mintstall_isup::{
    Body, CauseIndicators, Cic, CircuitMap, Crankback, Frame, Iam, Location, Message, ProcessorReport,
    ProtocolData, Q850, RangeStatus, Rel, m3ua,
};

use crate::actions::{Answer, CallControlActions};
use crate::audit::Audit;
use crate::calls::{CallRecord, HeldCircuits, IncomingSide, OutgoingSeizure, OutgoingSide};
use crate::circuits::{CircuitUse, TrunkGroup};
use crate::config::{HOPS, SPREAD, Timers};
use crate::links::Link;
use crate::status::Counters;
use crate::timers::{Timer, TimerHandle, TimerQueue};
use crate::trace::{TraceStep, Traces};

pub(crate) type Step = Box<dyn FnOnce(&mut Controller, &mut EventContext)>;

/// All that an office holds besides the decisions.
pub(crate) struct CallControlState {
    pub own: ExchangeNumber,
    pub t: Timers,
    pub max_calls: usize,
    pub widths: Vec<u16>,
    /// Fixed at start.
    pub groups: BTreeMap<ExchangeNumber, TrunkGroup>,
    pub links: BTreeMap<ExchangeNumber, Link>,
    /// One a link at the most.
    pub audits: BTreeMap<ExchangeNumber, Audit>,
    /// At most `max_calls`; emptied as calls end.
    pub calls: BTreeMap<CallId, CallRecord>,
    pub timers: TimerQueue,
    /// For timers that must not run in step with those of others.
    pub chance: MwcRng,
    /// By the roster, and emptied by it.
    pub exchanges: BTreeMap<ExchangeId, ExchangeNumber>,
    /// Numbers with few lines: how many, and how many are taken. Fixed at start.
    pub lines: BTreeMap<u64, (u16, u16)>,
    /// What the own processor says of itself, sent along with answers.
    pub report: Option<ProcessorReport>,
    /// Emptied before the office returns.
    pub after: VecDeque<Step>,
    pub changed: BTreeSet<ExchangeNumber>,
    pub next_call: u64,
    /// Calls of subscribers whose final answer is owed.
    pub owed: usize,
    pub tally: Counters,
    pub traces: Traces,
    /// Octets being written, kept for their room.
    pub frame: Vec<u8>,
    pub message: Vec<u8>,
}

/// The desk while something happens: what the decisions act on.
pub(crate) struct EventContext<'a> {
    pub desk: &'a mut CallControlState,
    pub plant: &'a mut dyn CallControlActions,
    pub now: Duration,
}

impl CallControlState {
    pub fn exchanges_at(&self, office: ExchangeNumber) -> impl Iterator<Item = ExchangeId> {
        self.exchanges.iter().filter(move |(_, at)| **at == office).map(|(id, _)| *id)
    }

    /// What an exchange's group has free, for the decisions.
    pub fn group_report(&self, office: ExchangeNumber) -> CapacityReport {
        let group = self.groups.get(&office);
        let (free, size) = group.map_or((0, 0), |group| (group.free(), group.open()));
        CapacityReport { free: Some(free as f64), size: Some(size as f64), ..CapacityReport::default() }
    }

    /// A span that is drawn out a little.
    pub fn with_jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(1.0 + SPREAD * self.chance.next_f64())
    }

    /// Forgets a call of which nothing is left.
    pub fn drop_leg(&mut self, call: CallId) {
        if let Some(leg) = self.calls.remove(&call) {
            leg.guard.into_iter().chain(leg.alarm).for_each(|set| self.timers.stop(set));
        }
    }

    /// A call whose caller is gone and whose last seizure has ended is forgotten.
    pub fn finish(&mut self, call: CallId) {
        if self
            .calls
            .get(&call)
            .is_some_and(|leg| matches!((&leg.source, &leg.sink), (IncomingSide::Gone, OutgoingSide::Open)))
        {
            self.drop_leg(call);
        }
    }

    /// Whether a call has its final answer.
    pub fn closed(&self, call: CallId) -> bool {
        self.calls.get(&call).is_none_or(|leg| matches!(leg.source, IncomingSide::Gone))
    }
}

impl EventContext<'_> {
    pub fn send(&mut self, to: ExchangeNumber, cic: Cic, body: Body) {
        if !self.desk.links.get(&to).is_some_and(Link::usable) {
            return;
        }
        let CallControlState { frame, message, own, .. } = &mut *self.desk;
        frame.clear();
        message.clear();
        Message::new(cic, body).write(message);
        // The same link for all messages of a circuit keeps their order (Q.704 clause 14.2.2): its low four bits.
        let sls = (cic.0 & 15) as u8;
        let (opc, dpc) = (u32::from(own.0), u32::from(to.0));
        let data =
            ProtocolData { opc, dpc, service: m3ua::ISUP, network: 2, priority: 0, sls, user: message };
        Frame::Data(data).write(frame);
        self.plant.send(to, frame);
    }

    pub fn send_frame(&mut self, to: ExchangeNumber, frame: Frame) {
        self.desk.frame.clear();
        frame.write(&mut self.desk.frame);
        self.plant.send(to, &self.desk.frame);
    }

    pub fn trace(&mut self, call: CallId, step: TraceStep) {
        self.desk.traces.step(self.now, call, step);
    }

    pub fn put(&mut self, held: &HeldCircuits, used: CircuitUse) {
        if let Some(group) = self.desk.groups.get_mut(&held.to) {
            held.indices.iter().for_each(|index| group.put(*index, used));
        }
        self.desk.changed.insert(held.to);
    }

    /// One circuit in a state, those that go along with it beside it.
    pub fn put_first(&mut self, held: &HeldCircuits, used: CircuitUse) {
        self.put(held, CircuitUse::ReleasedWith(held.first()));
        if let Some(group) = self.desk.groups.get_mut(&held.to) {
            group.put(held.first(), used);
        }
    }

    /// Lets go of circuits from this end: a release goes out, they stay taken until it is completed.
    pub fn release_held(&mut self, held: &HeldCircuits, rel: Rel) {
        let rel = Rel { report: rel.report.or(self.desk.report), ..rel };
        self.send(held.to, Cic::from_index(held.first()), Body::Rel(rel));
        let (since, t1) = (self.now, self.desk.with_jitter(self.desk.t.t1));
        let timer = self.desk.timers.set(since + t1, Timer::Circuit(held.to, held.first()));
        self.put_first(held, CircuitUse::Releasing { since, timer });
    }

    /// Circuits of which nothing is known any more: reset, at once or when their link is back.
    pub fn reset_held(&mut self, held: &HeldCircuits) {
        self.desk.tally.resets += 1;
        let usable = self.desk.links.get(&held.to).is_some_and(Link::usable);
        let timer = usable.then(|| self.reset_timer(held.to, held.first(), self.desk.t.t16));
        self.send(held.to, Cic::from_index(held.first()), Body::Rsc);
        self.put_first(held, CircuitUse::Resetting { timer });
    }

    pub fn reset_timer(&mut self, to: ExchangeNumber, index: u16, after: Duration) -> TimerHandle {
        let after = self.desk.with_jitter(after);
        self.desk.timers.set(self.now + after, Timer::Circuit(to, index))
    }

    /// One circuit and what goes along with it is idle again.
    pub fn idle(&mut self, to: ExchangeNumber, index: u16) {
        let Some(group) = self.desk.groups.get_mut(&to) else { return };
        let used = group.get(index).map(|circuit| circuit.used);
        if let Some(CircuitUse::Releasing { timer, .. } | CircuitUse::Resetting { timer: Some(timer) }) = used
        {
            self.desk.timers.stop(timer);
        }
        group.together(index).into_iter().for_each(|index| group.put(index, CircuitUse::Idle));
        self.desk.changed.insert(to);
    }

    /// Tells the decisions, once they have finished, how a seizure ended.
    fn ends_later(
        &mut self,
        call: CallId,
        seizure: SeizureNumber,
        exchange: ExchangeId,
        elapsed: Duration,
        cause: Cause,
    ) {
        self.desk.after.push_back(Box::new(move |controller, w| {
            let closed = w.desk.closed(call);
            if let Some(leg) = w.desk.calls.get_mut(&call) {
                leg.last = Some(cause);
            }
            w.trace(call, TraceStep::SeizureEnded { no: seizure, cause, elapsed });
            controller.on_seizure_ended(
                w.now,
                w,
                &SeizureEnded { call, seizure, exchange, cause, elapsed, closed },
            );
            w.desk.finish(call);
        }));
    }

    /// The final answer of a call, from the decisions or for want of time.
    pub fn close(&mut self, call: CallId, answer: Answer) {
        let Some(leg) = self.desk.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut leg.source, IncomingSide::Gone) {
            IncomingSide::Subscriber => {
                let tally = &mut self.desk.tally;
                *(if answer == Answer::Fails { &mut tally.failed } else { &mut tally.refused }) += 1;
                self.desk.owed -= 1;
                self.trace(call, TraceStep::Answered(answer));
                self.plant.answer(call, answer);
            }
            IncomingSide::Trunk(held) => {
                let rel = turn_back(leg.last);
                self.trace(call, TraceStep::TurnedBack(rel.cause.cause));
                self.release_held(&held, rel);
            }
            IncomingSide::Gone => {}
        }
        self.desk.finish(call);
    }
}

/// How a call in transit goes back: busy lines are told as such, all else is a turn-back.
fn turn_back(last: Option<Cause>) -> Rel<'static> {
    match last {
        Some(Cause::Busy) => Rel::new(CauseIndicators::new(Location::Remote, Q850::UserBusy)),
        _ => {
            let next_exchange_full = matches!(last, Some(Cause::ProcessorFull { .. }));
            let rel = Rel::new(CauseIndicators::new(Location::Transit, Q850::NoCircuit));
            Rel { crankback: Some(Crankback { next_exchange_full }), ..rel }
        }
    }
}

impl ControllerActions for EventContext<'_> {
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration) {
        let now = self.now;
        let office = self.desk.exchanges.get(&to).copied();
        let Some(leg) = self.desk.calls.get_mut(&call) else { return };
        let no = SeizureNumber(leg.seizures);
        leg.seizures = leg.seizures.saturating_add(1);
        let linked = office.filter(|office| self.desk.links.get(office).is_some_and(Link::usable));
        let Some(office) = linked else {
            return self.ends_later(call, no, to, Duration::ZERO, Cause::Unreachable);
        };
        let indices = self.desk.groups.get(&office).and_then(|group| group.select(leg.width));
        let Some(indices) = indices else {
            return self.ends_later(call, no, to, Duration::ZERO, Cause::NotSent { own_down: false });
        };
        let held = HeldCircuits { to: office, indices };
        let set = self.desk.timers.set(now + limit.min(self.desk.t.t7), Timer::Limit(call, no));
        let mut identity = leg.identity;
        let hops = match leg.source {
            IncomingSide::Trunk(_) => 0,
            _ => {
                identity.seizure = no.0;
                HOPS
            }
        };
        identity.time_left_ms = u32::try_from(leg.until.saturating_sub(now).as_millis()).unwrap_or(u32::MAX);
        let bit = |index: &u16| 1 << (index % Cic::PER_SYSTEM);
        let map = (held.indices.len() > 1)
            .then(|| CircuitMap(held.indices.iter().map(bit).fold(0, |map, bit| map | bit)));
        let iam = Iam {
            nature: 0,
            // National call, ISUP all the way.
            forward: [0x60, 0x01],
            // Ordinary calling subscriber; speech, or a number of 64 kbit/s circuits by the map.
            category: 0x0a,
            medium: 0,
            called: leg.called,
            calling: None,
            map,
            hops: Some(hops),
            identity: Some(identity),
            unknown_parameters: Vec::new(),
        };
        let first = Cic::from_index(held.first());
        let circuits = held.indices.len() as u16;
        let span = limit.min(self.desk.t.t7);
        self.desk.tally.seizures += 1;
        self.desk.traces.step(
            now,
            call,
            TraceStep::Seized { no, exchange: to, to: office, cic: first, circuits, limit: span },
        );
        let (at, limit, prevailed) = (now, Some(set), false);
        leg.sink = OutgoingSide::Seized(OutgoingSeizure {
            no,
            exchange: to,
            held: held.clone(),
            at,
            limit,
            prevailed,
        });
        self.put(&held, CircuitUse::SeizedOut(call));
        self.send(office, first, Body::Iam(iam));
    }

    fn cancel(&mut self, call: CallId, seizure: SeizureNumber) {
        let Some(leg) = self.desk.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut leg.sink, OutgoingSide::Open) {
            OutgoingSide::Seized(out) if out.no == seizure => {
                out.limit.into_iter().for_each(|set| self.desk.timers.stop(set));
                self.release_held(
                    &out.held,
                    Rel::new(CauseIndicators::new(Location::Local, Q850::NormalClearing)),
                );
                self.ends_later(call, seizure, out.exchange, self.now - out.at, Cause::Cancelled);
            }
            other => leg.sink = other,
        }
    }

    fn reject(&mut self, call: CallId, retry_after: Duration) {
        self.close(call, Answer::Refused { retry_after });
    }

    fn release(&mut self, call: CallId) {
        self.close(call, Answer::Fails);
    }

    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        let set = self.desk.timers.set(self.now + after, Timer::Alarm(timer));
        if let Some(leg) = self.desk.calls.get_mut(&CallId(timer.0))
            && let Some(before) = leg.alarm.replace(set)
        {
            self.desk.timers.stop(before);
        }
    }

    fn send_to_peers(&mut self, peer: Option<PeerId>, message: &[u8]) {
        let all = self.desk.links.keys().copied();
        let to: Vec<_> = all.filter(|office| peer.is_none_or(|peer| peer.0 == office.0)).collect();
        for office in to {
            // Guards against what is told in the first second being lost to links that open a moment later.
            if let Some(link) = self.desk.links.get_mut(&office).filter(|link| !link.usable()) {
                link.waiting = Some(message.to_vec());
            }
            self.send(office, Cic(0), Body::Peer(message));
        }
    }

    /// The roster comes by itself here.
    fn subscribe(&mut self) {}

    fn log(&mut self, line: &str) {
        self.plant.log_info(line);
    }
}

/// The circuits that a range speaks of, by their places in a group, and their status bits.
pub(crate) fn in_range(group: &TrunkGroup, first: Cic, range: RangeStatus) -> Vec<(u16, bool)> {
    let codes =
        (0..u16::from(range.count)).map(|at| (Cic(first.0.saturating_add(at)), range.status >> at & 1 == 1));
    codes.filter_map(|(cic, status)| Some((group.index_of(cic)?, status))).collect()
}
