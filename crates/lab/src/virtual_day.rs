//! A day in virtual time: the office core of every exchange and the stand-ins in one process, event by event. The same
//! seed gives the same octets at the same times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall::interface::{CallId, ExchangeNumber};
use mintstall_callapi::FinalAnswer;
use mintstall_callcontrol::{Answer, CallControl, CallControlActions, CallEnd};
use mintstall_daemon::exchange::{call_request, end_reason, final_answer, processor_report};
use mintstall_daemon::exchange_entries;
use mintstall_emulator::{Action, Day, LinkMode, Observer, Score, Simulation};
use mintstall_membership::{Membership, MembershipChange, MembershipLimits};

use crate::controller_config::{self, Endpoints};

/// Processors may have started before the day does.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// After the last arrival a day runs on for so long at most.
const LINGER: Duration = Duration::from_secs(120);

/// One exchange's controller in virtual time.
struct Seat {
    office: CallControl,
    roster: Membership,
    /// The subscribers' numbers of the calls in hand, both ways. Emptied as calls end.
    calls: BTreeMap<u64, CallId>,
    names: BTreeMap<CallId, u64>,
    alarm: Option<Duration>,
}

/// What an office did, in order, to be carried into the world once it has returned.
enum Did {
    Octets(u16, Vec<u8>),
    Closed(u16),
    Answered(CallId, Answer),
    Ended(CallId, CallEnd),
}

#[derive(Default)]
struct Notebook {
    did: Vec<Did>,
    notes: u64,
}

impl CallControlActions for Notebook {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.did.push(Did::Octets(to.0, octets.to_vec()));
    }
    fn close_link(&mut self, to: ExchangeNumber, _: &str) {
        self.did.push(Did::Closed(to.0));
    }
    fn answer(&mut self, call: CallId, answer: Answer) {
        self.did.push(Did::Answered(call, answer));
    }
    fn call_ended(&mut self, call: CallId, end: CallEnd) {
        self.did.push(Did::Ended(call, end));
    }
    fn log_info(&mut self, line: &str) {
        self.notes += 1;
        tracing::trace!(target: "mintstall::mode", "{line}");
    }
}

/// What may be put between a controller and the world: tests use it to make controllers do wrong.
pub trait Interceptor {
    /// Octets that the controller of `office` sends; what is returned is sent in their place.
    fn outgoing_octets(
        &mut self,
        _now: Duration,
        _office: u16,
        _to: u16,
        octets: Vec<u8>,
    ) -> Vec<(u16, Vec<u8>)>;
    /// Whether the controller hears what the directory tells it.
    fn delivers_membership(&mut self, _now: Duration, _office: u16) -> bool {
        true
    }
    /// A final answer; how often it is given.
    fn answer_copies(&mut self, _now: Duration, _office: u16, _call: u64) -> usize {
        1
    }
}

/// No meddling.
pub struct PassThrough;

impl Interceptor for PassThrough {
    fn outgoing_octets(&mut self, _: Duration, _: u16, to: u16, octets: Vec<u8>) -> Vec<(u16, Vec<u8>)> {
        vec![(to, octets)]
    }
}

/// How a day went.
pub struct DayResult {
    pub score: Score,
    /// When the last event was, on the day's clock.
    pub ended: Duration,
    pub events: u64,
    pub tallies: Vec<mintstall_callcontrol::Counters>,
    /// Circuits that carry nothing and are not free at the end, with offices and calls left.
    pub stuck_circuits: usize,
    pub calls_left: usize,
    /// What the books of any office hold against each other at the end.
    pub faults: Vec<String>,
}

struct Table<'a> {
    simulation: Simulation,
    seats: Vec<Option<Seat>>,
    /// When each office is next to be rung.
    alarms: BTreeSet<(Duration, u16)>,
    book: Notebook,
    interceptor: &'a mut dyn Interceptor,
    events: u64,
}

/// Plays a day whose script has no faults.
pub fn run(day: &Day, observer: &mut dyn Observer, interceptor: &mut dyn Interceptor) -> DayResult {
    let count = usize::from(day.exchanges);
    let mut table = Table {
        simulation: Simulation::new(day, LinkMode::InProcess),
        seats: (0..count).map(|_| None).collect(),
        alarms: BTreeSet::new(),
        book: Notebook::default(),
        interceptor,
        events: 0,
    };
    table.run(observer)
}

impl Table<'_> {
    fn run(&mut self, w: &mut dyn Observer) -> DayResult {
        let last = Duration::from_secs_f64(self.simulation.day().length_s) + LINGER;
        let mut now = Duration::ZERO;
        let mut actions = Vec::new();
        loop {
            let next_event = self.simulation.next_event_time();
            let office = self.alarms.first().copied();
            let due = match (next_event, office) {
                (Some(at), Some((alarm, _))) => at.min(alarm),
                (at, alarm) => match at.or(alarm.map(|alarm| alarm.0)) {
                    Some(due) => due,
                    None => break,
                },
            };
            if due > last || self.simulation.is_finished(now) {
                break;
            }
            now = now.max(due);
            self.events += 1;
            if next_event.is_some_and(|at| at <= now) {
                self.simulation.advance(now, w, &mut actions);
                self.carry_out(now, &mut actions, w);
            } else if let Some((_, office)) = office {
                self.with(now, office, w, |seat, now, plant| seat.office.on_timer(now, plant));
                self.carry_out(now, &mut actions, w);
            }
        }
        // What was let go at the very end still has its release on the way, and the audits have a last look.
        let end = now + Duration::from_secs(15);
        while let Some(due) = self
            .simulation
            .next_event_time()
            .into_iter()
            .chain(self.alarms.first().map(|alarm| alarm.0))
            .min()
        {
            if due > end {
                break;
            }
            now = now.max(due);
            if self.simulation.next_event_time().is_some_and(|at| at <= now) {
                self.simulation.advance(now, w, &mut actions);
                self.carry_out(now, &mut actions, w);
            } else if let Some((_, office)) = self.alarms.first().copied() {
                self.with(now, office, w, |seat, now, plant| seat.office.on_timer(now, plant));
            }
        }
        let states: Vec<_> = self.seats.iter().flatten().map(|seat| seat.office.status()).collect();
        let stuck = states.iter().flat_map(|state| &state.groups);
        let faults = self.seats.iter().flatten().flat_map(|seat| seat.office.inconsistencies());
        DayResult {
            faults: faults.collect(),
            score: self.simulation.score.clone(),
            ended: now,
            events: self.events,
            stuck_circuits: stuck.map(|group| group.seized + group.releasing + group.resetting).sum(),
            calls_left: states.iter().map(|state| state.calls).sum(),
            tallies: states.iter().map(|state| state.counters).collect(),
        }
    }

    fn carry_out(&mut self, now: Duration, actions: &mut Vec<Action>, w: &mut dyn Observer) {
        while !actions.is_empty() {
            for action in std::mem::take(actions) {
                self.carry(now, action, w, actions);
            }
        }
    }

    fn carry(&mut self, now: Duration, action: Action, w: &mut dyn Observer, actions: &mut Vec<Action>) {
        match action {
            Action::Start { office, incarnation } => {
                let config = controller_config::build(&self.simulation, office, &Endpoints::default());
                let seed = config.seed.unwrap_or(0).wrapping_add(u64::from(incarnation) << 32);
                let seat = Seat {
                    office: CallControl::new(
                        now + CLOCK_START,
                        &config.call_control_config(),
                        u64::from(incarnation) << 11,
                        seed,
                    ),
                    roster: Membership::new(MembershipLimits::default()),
                    calls: BTreeMap::new(),
                    names: BTreeMap::new(),
                    alarm: None,
                };
                self.seats[usize::from(office) - 1] = Some(seat);
            }
            Action::Kill { office } => {
                if let Some(seat) = self.seats[usize::from(office) - 1].take() {
                    seat.alarm.into_iter().for_each(|at| _ = self.alarms.remove(&(at, office)));
                }
            }
            Action::LinkUp { office, to } => {
                self.with(now, office, w, |seat, now, plant| {
                    seat.office.link_up(now, plant, ExchangeNumber(to))
                });
            }
            Action::LinkDown { office, to } => {
                self.with(now, office, w, |seat, now, plant| {
                    seat.office.link_down(now, plant, ExchangeNumber(to))
                });
            }
            Action::LinkOctets { office, from, octets } => {
                self.with(now, office, w, |seat, now, plant| {
                    seat.office.on_octets(now, plant, ExchangeNumber(from), &octets)
                });
            }
            Action::Offer { office, offer } => self.with(now, office, w, |seat, now, plant| {
                let call = seat.office.next_call();
                seat.calls.insert(offer.call, call);
                seat.names.insert(call, offer.call);
                seat.office.offer(now, plant, call, call_request(&offer));
            }),
            Action::HangUp { office, call } => {
                let seat = self.seats[usize::from(office) - 1].as_ref();
                let Some(id) = seat.and_then(|seat| seat.calls.get(&call)).copied() else { return };
                self.with(now, office, w, |seat, now, plant| _ = seat.office.hang_up(now, plant, id));
                if let Some(seat) = self.seats[usize::from(office) - 1].as_mut() {
                    seat.calls.remove(&call);
                    seat.names.remove(&id);
                }
            }
            // The first list it needs to know anyone at all.
            Action::Membership { office, news }
                if news.since.is_some() && !self.interceptor.delivers_membership(now, office) => {}
            Action::Membership { office, news } => {
                let mut taken = true;
                self.with(now, office, w, |seat, now, plant| {
                    let (_, told) = seat.roster.apply(now, &news);
                    match &told {
                        Some(MembershipChange::Full(held)) => {
                            seat.office.on_membership(now, plant, &exchange_entries(held))
                        }
                        Some(MembershipChange::Delta(held)) => {
                            seat.office.on_membership_changes(now, plant, &exchange_entries(held))
                        }
                        None => taken = false,
                    }
                });
                if !taken {
                    self.simulation.resend_membership(now, office, w, actions);
                }
            }
            Action::CircuitsInService { office, to, in_service } => {
                self.with(now, office, w, |seat, now, plant| {
                    seat.office.set_circuits_in_service(now, plant, ExchangeNumber(to), in_service);
                });
            }
            Action::ProcessorReport { office, rate } => {
                self.with(now, office, w, |seat, _, _| {
                    seat.office.set_processor_report(processor_report(Some(rate)))
                });
            }
        }
    }

    /// Runs something at one office, then carries what it did into the world.
    fn with(
        &mut self,
        now: Duration,
        no: u16,
        w: &mut dyn Observer,
        f: impl FnOnce(&mut Seat, Duration, &mut dyn CallControlActions),
    ) {
        let Some(seat) = self.seats[usize::from(no) - 1].as_mut() else { return };
        f(seat, now + CLOCK_START, &mut self.book);
        let alarm = seat.office.next_timer().map(|at| at.saturating_sub(CLOCK_START));
        if alarm != seat.alarm {
            seat.alarm.into_iter().for_each(|at| _ = self.alarms.remove(&(at, no)));
            alarm.into_iter().for_each(|at| _ = self.alarms.insert((at, no)));
            seat.alarm = alarm;
        }
        let mut did = std::mem::take(&mut self.book.did);
        let mut closed = Vec::new();
        for did in did.drain(..) {
            match did {
                Did::Octets(to, octets) => {
                    for (to, octets) in self.interceptor.outgoing_octets(now, no, to, octets) {
                        self.simulation.on_controller_octets(now, no, to, &octets, w);
                    }
                }
                Did::Closed(to) => closed.push(to),
                Did::Answered(call, answer) => {
                    let Some(seat) = self.seats[usize::from(no) - 1].as_mut() else { continue };
                    let Some(name) = seat.names.get(&call).copied() else { continue };
                    let answer = final_answer(answer);
                    if answer != FinalAnswer::Stands {
                        seat.names.remove(&call);
                        seat.calls.remove(&name);
                    }
                    for _ in 0..self.interceptor.answer_copies(now, no, name) {
                        self.simulation.call_answered(now, no, name, call.0, answer, w);
                    }
                }
                Did::Ended(call, end) => {
                    let Some(seat) = self.seats[usize::from(no) - 1].as_mut() else { continue };
                    let Some(name) = seat.names.remove(&call) else { continue };
                    seat.calls.remove(&name);
                    self.simulation.call_ended(now, no, name, end_reason(end), w);
                }
            }
        }
        self.book.did = did;
        for to in closed {
            let mut actions = Vec::new();
            self.simulation.link_disconnected(now, no, to, w, &mut actions);
            self.carry_out(now, &mut actions, w);
        }
    }
}
