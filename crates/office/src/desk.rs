//! What the decisions may do, carried out on circuits, links and timers.
//!
//! What happens within a decision (a seizure that can't be sent, a cancel that takes effect) is told to the decisions
//! once they have finished: as a step left in `after`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use mintstall::Controller;
use mintstall::chance::Chance;
use mintstall::host::{
    AlarmId, CallId, Cause, Ended, ExchangeId, Host, OfficeNo, PeerNo, Report as FarReport, SeizureNo,
};
use mintstall_isup::{
    Body, CauseIndicators, Cic, CircuitMap, Data, Frame, Iam, Location, Message, Q850, RangeStatus, Rel,
    Report, TurnedBack, m3ua,
};

use crate::circuits::{Group, Use};
use crate::legs::{Held, Leg, Out, Sink, Source};
use crate::links::Link;
use crate::plan::{HOPS, SPREAD, Timers};
use crate::plant::{Answer, Plant};
use crate::queries::Audit;
use crate::state::Tally;
use crate::timers::{Set, Timer, TimerQueue};
use crate::trace::{Step as Traced, Traces};

pub(crate) type Step = Box<dyn FnOnce(&mut Controller, &mut Working)>;

/// All that an office holds besides the decisions.
pub(crate) struct Desk {
    pub own: OfficeNo,
    pub t: Timers,
    pub most_calls: usize,
    pub widths: Vec<u16>,
    /// Fixed at start.
    pub groups: BTreeMap<OfficeNo, Group>,
    pub links: BTreeMap<OfficeNo, Link>,
    /// One a link at the most.
    pub audits: BTreeMap<OfficeNo, Audit>,
    /// At most `most_calls`; emptied as calls end.
    pub legs: BTreeMap<CallId, Leg>,
    pub timers: TimerQueue,
    /// For timers that must not run in step with those of others.
    pub chance: Chance,
    /// By the roster, and emptied by it.
    pub exchanges: BTreeMap<ExchangeId, OfficeNo>,
    /// Numbers with few lines: how many, and how many are taken. Fixed at start.
    pub lines: BTreeMap<u64, (u16, u16)>,
    /// What the own processor says of itself, sent along with answers.
    pub report: Option<Report>,
    /// Emptied before the office returns.
    pub after: VecDeque<Step>,
    pub changed: BTreeSet<OfficeNo>,
    pub next_call: u64,
    /// Calls of subscribers whose final answer is owed.
    pub owed: usize,
    pub tally: Tally,
    pub traces: Traces,
    /// Octets being written, kept for their room.
    pub frame: Vec<u8>,
    pub message: Vec<u8>,
}

/// The desk while something happens: what the decisions act on.
pub(crate) struct Working<'a> {
    pub desk: &'a mut Desk,
    pub plant: &'a mut dyn Plant,
    pub now: Duration,
}

impl Desk {
    pub fn exchanges_at(&self, office: OfficeNo) -> impl Iterator<Item = ExchangeId> {
        self.exchanges.iter().filter(move |(_, at)| **at == office).map(|(id, _)| *id)
    }

    /// What an exchange's group has free, for the decisions.
    pub fn group_report(&self, office: OfficeNo) -> FarReport {
        let group = self.groups.get(&office);
        let (free, size) = group.map_or((0, 0), |group| (group.free(), group.open()));
        FarReport { free: Some(free as f64), size: Some(size as f64), ..FarReport::default() }
    }

    /// A span that is drawn out a little.
    pub fn spread(&mut self, span: Duration) -> Duration {
        span.mul_f64(1.0 + SPREAD * self.chance.below_one())
    }

    /// Forgets a call of which nothing is left.
    pub fn drop_leg(&mut self, call: CallId) {
        if let Some(leg) = self.legs.remove(&call) {
            leg.guard.into_iter().chain(leg.alarm).for_each(|set| self.timers.stop(set));
        }
    }

    /// A call whose caller is gone and whose last seizure has ended is forgotten.
    pub fn finish(&mut self, call: CallId) {
        if self
            .legs
            .get(&call)
            .is_some_and(|leg| matches!((&leg.source, &leg.sink), (Source::Gone, Sink::Open)))
        {
            self.drop_leg(call);
        }
    }

    /// Whether a call has its final answer.
    pub fn closed(&self, call: CallId) -> bool {
        self.legs.get(&call).is_none_or(|leg| matches!(leg.source, Source::Gone))
    }
}

impl Working<'_> {
    pub fn send(&mut self, to: OfficeNo, cic: Cic, body: Body) {
        if !self.desk.links.get(&to).is_some_and(Link::usable) {
            return;
        }
        let Desk { frame, message, own, .. } = &mut *self.desk;
        frame.clear();
        message.clear();
        Message::new(cic, body).write(message);
        // The same link for all messages of a circuit keeps their order (Q.704 clause 14.2.2): its low four bits.
        let sls = (cic.0 & 15) as u8;
        let (opc, dpc) = (u32::from(own.0), u32::from(to.0));
        let data = Data { opc, dpc, service: m3ua::ISUP, network: 2, priority: 0, sls, user: message };
        Frame::Data(data).write(frame);
        self.plant.send(to, frame);
    }

    pub fn send_frame(&mut self, to: OfficeNo, frame: Frame) {
        self.desk.frame.clear();
        frame.write(&mut self.desk.frame);
        self.plant.send(to, &self.desk.frame);
    }

    pub fn trace(&mut self, call: CallId, step: Traced) {
        self.desk.traces.step(self.now, call, step);
    }

    pub fn put(&mut self, held: &Held, used: Use) {
        if let Some(group) = self.desk.groups.get_mut(&held.to) {
            held.places.iter().for_each(|place| group.put(*place, used));
        }
        self.desk.changed.insert(held.to);
    }

    /// One circuit in a state, those that go along with it beside it.
    pub fn put_first(&mut self, held: &Held, used: Use) {
        self.put(held, Use::Along(held.first()));
        if let Some(group) = self.desk.groups.get_mut(&held.to) {
            group.put(held.first(), used);
        }
    }

    /// Lets go of circuits from this end: a release goes out, they stay taken until it is completed.
    pub fn release_held(&mut self, held: &Held, rel: Rel) {
        let rel = Rel { report: rel.report.or(self.desk.report), ..rel };
        self.send(held.to, Cic::at(held.first()), Body::Rel(rel));
        let (since, t1) = (self.now, self.desk.spread(self.desk.t.t1));
        let timer = self.desk.timers.set(since + t1, Timer::Circuit(held.to, held.first()));
        self.put_first(held, Use::Releasing { since, timer });
    }

    /// Circuits of which nothing is known any more: reset, at once or when their link is back.
    pub fn reset_held(&mut self, held: &Held) {
        self.desk.tally.resets += 1;
        let usable = self.desk.links.get(&held.to).is_some_and(Link::usable);
        let timer = usable.then(|| self.reset_timer(held.to, held.first(), self.desk.t.t16));
        self.send(held.to, Cic::at(held.first()), Body::Rsc);
        self.put_first(held, Use::Resetting { timer });
    }

    pub fn reset_timer(&mut self, to: OfficeNo, place: u16, after: Duration) -> Set {
        let after = self.desk.spread(after);
        self.desk.timers.set(self.now + after, Timer::Circuit(to, place))
    }

    /// One circuit and what goes along with it is idle again.
    pub fn idle(&mut self, to: OfficeNo, place: u16) {
        let Some(group) = self.desk.groups.get_mut(&to) else { return };
        let used = group.get(place).map(|circuit| circuit.used);
        if let Some(Use::Releasing { timer, .. } | Use::Resetting { timer: Some(timer) }) = used {
            self.desk.timers.stop(timer);
        }
        group.together(place).into_iter().for_each(|place| group.put(place, Use::Idle));
        self.desk.changed.insert(to);
    }

    /// Tells the decisions, once they have finished, how a seizure ended.
    fn ends_later(
        &mut self,
        call: CallId,
        seizure: SeizureNo,
        exchange: ExchangeId,
        after: Duration,
        cause: Cause,
    ) {
        self.desk.after.push_back(Box::new(move |controller, w| {
            let closed = w.desk.closed(call);
            if let Some(leg) = w.desk.legs.get_mut(&call) {
                leg.last = Some(cause);
            }
            w.trace(call, Traced::SeizureEnded { no: seizure, cause, after });
            controller.ended(w.now, w, &Ended { call, seizure, exchange, cause, after, closed });
            w.desk.finish(call);
        }));
    }

    /// The final answer of a call, from the decisions or for want of time.
    pub fn close(&mut self, call: CallId, answer: Answer) {
        let Some(leg) = self.desk.legs.get_mut(&call) else { return };
        match std::mem::replace(&mut leg.source, Source::Gone) {
            Source::Subscriber => {
                let tally = &mut self.desk.tally;
                *(if answer == Answer::Fails { &mut tally.failed } else { &mut tally.refused }) += 1;
                self.desk.owed -= 1;
                self.trace(call, Traced::Answered(answer));
                self.plant.answer(call, answer);
            }
            Source::Trunk(held) => {
                let rel = turn_back(leg.last);
                self.trace(call, Traced::TurnedBack(rel.cause.cause));
                self.release_held(&held, rel);
            }
            Source::Gone => {}
        }
        self.desk.finish(call);
    }
}

/// How a call in transit goes back: busy lines are told as such, all else is a turn-back.
fn turn_back(last: Option<Cause>) -> Rel<'static> {
    match last {
        Some(Cause::Busy) => Rel::new(CauseIndicators::new(Location::Remote, Q850::UserBusy)),
        _ => {
            let beyond = matches!(last, Some(Cause::ProcessorFull { .. }));
            let rel = Rel::new(CauseIndicators::new(Location::Transit, Q850::NoCircuit));
            Rel { turned_back: Some(TurnedBack { beyond }), ..rel }
        }
    }
}

impl Host for Working<'_> {
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration) {
        let now = self.now;
        let office = self.desk.exchanges.get(&to).copied();
        let Some(leg) = self.desk.legs.get_mut(&call) else { return };
        let no = SeizureNo(leg.seizures);
        leg.seizures = leg.seizures.saturating_add(1);
        let linked = office.filter(|office| self.desk.links.get(office).is_some_and(Link::usable));
        let Some(office) = linked else {
            return self.ends_later(call, no, to, Duration::ZERO, Cause::Unreachable);
        };
        let places = self.desk.groups.get(&office).and_then(|group| group.select(leg.width));
        let Some(places) = places else {
            return self.ends_later(call, no, to, Duration::ZERO, Cause::NotSent { own_down: false });
        };
        let held = Held { to: office, places };
        let set = self.desk.timers.set(now + limit.min(self.desk.t.t7), Timer::Limit(call, no));
        let mut identity = leg.identity;
        let hops = match leg.source {
            Source::Trunk(_) => 0,
            _ => {
                identity.seizure = no.0;
                HOPS
            }
        };
        identity.left_ms = u32::try_from(leg.until.saturating_sub(now).as_millis()).unwrap_or(u32::MAX);
        let bit = |place: &u16| 1 << (place % Cic::SYSTEM);
        let map = (held.places.len() > 1)
            .then(|| CircuitMap(held.places.iter().map(bit).fold(0, |map, bit| map | bit)));
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
            other: Vec::new(),
        };
        let first = Cic::at(held.first());
        let circuits = held.places.len() as u16;
        let span = limit.min(self.desk.t.t7);
        self.desk.tally.seizures += 1;
        self.desk.traces.step(
            now,
            call,
            Traced::Seized { no, exchange: to, to: office, cic: first, circuits, limit: span },
        );
        let (at, limit, prevailed) = (now, Some(set), false);
        leg.sink = Sink::Seized(Out { no, exchange: to, held: held.clone(), at, limit, prevailed });
        self.put(&held, Use::SeizedOut(call));
        self.send(office, first, Body::Iam(iam));
    }

    fn cancel(&mut self, call: CallId, seizure: SeizureNo) {
        let Some(leg) = self.desk.legs.get_mut(&call) else { return };
        match std::mem::replace(&mut leg.sink, Sink::Open) {
            Sink::Seized(out) if out.no == seizure => {
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

    fn reject(&mut self, call: CallId, come_back: Duration) {
        self.close(call, Answer::Refused { come_back });
    }

    fn release(&mut self, call: CallId) {
        self.close(call, Answer::Fails);
    }

    fn alarm(&mut self, after: Duration, alarm: AlarmId) {
        let set = self.desk.timers.set(self.now + after, Timer::Alarm(alarm));
        if let Some(leg) = self.desk.legs.get_mut(&CallId(alarm.0))
            && let Some(before) = leg.alarm.replace(set)
        {
            self.desk.timers.stop(before);
        }
    }

    fn tell(&mut self, peer: Option<PeerNo>, message: &[u8]) {
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
pub(crate) fn in_range(group: &Group, first: Cic, range: RangeStatus) -> Vec<(u16, bool)> {
    let codes =
        (0..u16::from(range.count)).map(|at| (Cic(first.0.saturating_add(at)), range.status >> at & 1 == 1));
    codes.filter_map(|(cic, status)| Some((group.place(cic)?, status))).collect()
}
