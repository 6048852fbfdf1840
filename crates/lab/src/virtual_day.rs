//! A day in virtual time: the office core of every exchange and the stand-ins in one process, event by event. The same
//! seed gives the same octets at the same times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall::host::{CallId, OfficeNo};
use mintstall_callapi::FinalAnswer;
use mintstall_daemon::exchange::{final_answer, how_ended, order, processor_report};
use mintstall_daemon::exchange_entries;
use mintstall_office::{Answer, CallEnd, Office, Plant};
use mintstall_roster::{Limits, Roster, Told};
use mintstall_standin::{Act, Day, Score, Wiring, Witness, World};

use crate::setup::{Places, config};

/// Processors may have started before the day does.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// After the last arrival a day runs on for so long at most.
const LINGER: Duration = Duration::from_secs(120);

/// One exchange's controller in virtual time.
struct Seat {
    office: Office,
    roster: Roster,
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

impl Plant for Notebook {
    fn send(&mut self, to: OfficeNo, octets: &[u8]) {
        self.did.push(Did::Octets(to.0, octets.to_vec()));
    }
    fn close(&mut self, to: OfficeNo, _: &str) {
        self.did.push(Did::Closed(to.0));
    }
    fn answer(&mut self, call: CallId, answer: Answer) {
        self.did.push(Did::Answered(call, answer));
    }
    fn ended(&mut self, call: CallId, end: CallEnd) {
        self.did.push(Did::Ended(call, end));
    }
    fn log_info(&mut self, line: &str) {
        self.notes += 1;
        tracing::trace!(target: "mintstall::mode", "{line}");
    }
}

/// What may be put between a controller and the world: tests use it to make controllers do wrong.
pub trait Meddler {
    /// Octets that the controller of `office` sends; what is returned is sent in their place.
    fn sends(&mut self, _now: Duration, _office: u16, _to: u16, octets: Vec<u8>) -> Vec<(u16, Vec<u8>)>;
    /// Whether the controller hears what the directory tells it.
    fn hears(&mut self, _now: Duration, _office: u16) -> bool {
        true
    }
    /// A final answer; how often it is given.
    fn answers(&mut self, _now: Duration, _office: u16, _call: u64) -> usize {
        1
    }
}

/// No meddling.
pub struct Honest;

impl Meddler for Honest {
    fn sends(&mut self, _: Duration, _: u16, to: u16, octets: Vec<u8>) -> Vec<(u16, Vec<u8>)> {
        vec![(to, octets)]
    }
}

/// How a day went.
pub struct Played {
    pub score: Score,
    /// When the last event was, on the day's clock.
    pub ended: Duration,
    pub events: u64,
    pub tallies: Vec<mintstall_office::Tally>,
    /// Circuits that carry nothing and are not free at the end, with offices and calls left.
    pub stuck: usize,
    pub calls_left: usize,
    /// What the books of any office hold against each other at the end.
    pub faults: Vec<String>,
}

struct Table<'a> {
    world: World,
    seats: Vec<Option<Seat>>,
    /// When each office is next to be rung.
    alarms: BTreeSet<(Duration, u16)>,
    book: Notebook,
    meddler: &'a mut dyn Meddler,
    events: u64,
}

/// Plays a day whose script has no faults.
pub fn play(day: &Day, witness: &mut dyn Witness, meddler: &mut dyn Meddler) -> Played {
    let count = usize::from(day.exchanges);
    let mut table = Table {
        world: World::new(day, Wiring::Within),
        seats: (0..count).map(|_| None).collect(),
        alarms: BTreeSet::new(),
        book: Notebook::default(),
        meddler,
        events: 0,
    };
    table.run(witness)
}

impl Table<'_> {
    fn run(&mut self, w: &mut dyn Witness) -> Played {
        let last = Duration::from_secs_f64(self.world.day().length_s) + LINGER;
        let mut now = Duration::ZERO;
        let mut acts = Vec::new();
        loop {
            let world = self.world.next();
            let office = self.alarms.first().copied();
            let due = match (world, office) {
                (Some(at), Some((alarm, _))) => at.min(alarm),
                (at, alarm) => match at.or(alarm.map(|alarm| alarm.0)) {
                    Some(due) => due,
                    None => break,
                },
            };
            if due > last || self.world.over(now) {
                break;
            }
            now = now.max(due);
            self.events += 1;
            if world.is_some_and(|at| at <= now) {
                self.world.advance(now, w, &mut acts);
                self.carry_out(now, &mut acts, w);
            } else if let Some((_, office)) = office {
                self.with(now, office, w, |seat, now, plant| seat.office.ring(now, plant));
                self.carry_out(now, &mut acts, w);
            }
        }
        // What was let go at the very end still has its release on the way, and the audits have a last look.
        let end = now + Duration::from_secs(15);
        while let Some(due) =
            self.world.next().into_iter().chain(self.alarms.first().map(|alarm| alarm.0)).min()
        {
            if due > end {
                break;
            }
            now = now.max(due);
            if self.world.next().is_some_and(|at| at <= now) {
                self.world.advance(now, w, &mut acts);
                self.carry_out(now, &mut acts, w);
            } else if let Some((_, office)) = self.alarms.first().copied() {
                self.with(now, office, w, |seat, now, plant| seat.office.ring(now, plant));
            }
        }
        let states: Vec<_> = self.seats.iter().flatten().map(|seat| seat.office.state()).collect();
        let stuck = states.iter().flat_map(|state| &state.groups);
        let faults = self.seats.iter().flatten().flat_map(|seat| seat.office.faults());
        Played {
            faults: faults.collect(),
            score: self.world.score.clone(),
            ended: now,
            events: self.events,
            stuck: stuck.map(|group| group.seized + group.releasing + group.resetting).sum(),
            calls_left: states.iter().map(|state| state.calls).sum(),
            tallies: states.iter().map(|state| state.tally).collect(),
        }
    }

    fn carry_out(&mut self, now: Duration, acts: &mut Vec<Act>, w: &mut dyn Witness) {
        while !acts.is_empty() {
            for act in std::mem::take(acts) {
                self.carry(now, act, w, acts);
            }
        }
    }

    fn carry(&mut self, now: Duration, act: Act, w: &mut dyn Witness, acts: &mut Vec<Act>) {
        match act {
            Act::Start { office, incarnation } => {
                let config = config(&self.world, office, &Places::default());
                let seed = config.seed.unwrap_or(0).wrapping_add(u64::from(incarnation) << 32);
                let seat = Seat {
                    office: Office::new(
                        now + CLOCK_START,
                        &config.plan(),
                        u64::from(incarnation) << 11,
                        seed,
                    ),
                    roster: Roster::new(Limits::default()),
                    calls: BTreeMap::new(),
                    names: BTreeMap::new(),
                    alarm: None,
                };
                self.seats[usize::from(office) - 1] = Some(seat);
            }
            Act::Kill { office } => {
                if let Some(seat) = self.seats[usize::from(office) - 1].take() {
                    seat.alarm.into_iter().for_each(|at| _ = self.alarms.remove(&(at, office)));
                }
            }
            Act::Up { office, to } => {
                self.with(now, office, w, |seat, now, plant| seat.office.link_up(now, plant, OfficeNo(to)));
            }
            Act::Down { office, to } => {
                self.with(now, office, w, |seat, now, plant| seat.office.link_down(now, plant, OfficeNo(to)));
            }
            Act::Octets { office, from, octets } => {
                self.with(now, office, w, |seat, now, plant| {
                    seat.office.octets(now, plant, OfficeNo(from), &octets)
                });
            }
            Act::Offer { office, offer } => self.with(now, office, w, |seat, now, plant| {
                let call = seat.office.next_call();
                seat.calls.insert(offer.call, call);
                seat.names.insert(call, offer.call);
                seat.office.offer(now, plant, call, order(&offer));
            }),
            Act::HangUp { office, call } => {
                let seat = self.seats[usize::from(office) - 1].as_ref();
                let Some(id) = seat.and_then(|seat| seat.calls.get(&call)).copied() else { return };
                self.with(now, office, w, |seat, now, plant| _ = seat.office.hang_up(now, plant, id));
                if let Some(seat) = self.seats[usize::from(office) - 1].as_mut() {
                    seat.calls.remove(&call);
                    seat.names.remove(&id);
                }
            }
            // The first list it needs to know anyone at all.
            Act::Roster { office, news } if news.since.is_some() && !self.meddler.hears(now, office) => {}
            Act::Roster { office, news } => {
                let mut taken = true;
                self.with(now, office, w, |seat, now, plant| {
                    let (_, told) = seat.roster.hear(now, &news);
                    match &told {
                        Some(Told::Whole(held)) => seat.office.roster(now, plant, &exchange_entries(held)),
                        Some(Told::Changes(held)) => {
                            seat.office.roster_changes(now, plant, &exchange_entries(held))
                        }
                        None => taken = false,
                    }
                });
                if !taken {
                    self.world.wants_all(now, office, w, acts);
                }
            }
            Act::Circuits { office, to, in_service } => {
                self.with(now, office, w, |seat, now, plant| {
                    seat.office.circuits(now, plant, OfficeNo(to), in_service);
                });
            }
            Act::Report { office, rate } => {
                self.with(now, office, w, |seat, _, _| seat.office.processor(processor_report(Some(rate))));
            }
        }
    }

    /// Runs something at one office, then carries what it did into the world.
    fn with(
        &mut self,
        now: Duration,
        no: u16,
        w: &mut dyn Witness,
        f: impl FnOnce(&mut Seat, Duration, &mut dyn Plant),
    ) {
        let Some(seat) = self.seats[usize::from(no) - 1].as_mut() else { return };
        f(seat, now + CLOCK_START, &mut self.book);
        let alarm = seat.office.next_alarm().map(|at| at.saturating_sub(CLOCK_START));
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
                    for (to, octets) in self.meddler.sends(now, no, to, octets) {
                        self.world.from_controller(now, no, to, &octets, w);
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
                    for _ in 0..self.meddler.answers(now, no, name) {
                        self.world.answered(now, no, name, call.0, answer, w);
                    }
                }
                Did::Ended(call, end) => {
                    let Some(seat) = self.seats[usize::from(no) - 1].as_mut() else { continue };
                    let Some(name) = seat.names.remove(&call) else { continue };
                    seat.calls.remove(&name);
                    self.world.ended(now, no, name, how_ended(end), w);
                }
            }
        }
        self.book.did = did;
        for to in closed {
            let mut acts = Vec::new();
            self.world.disconnected(now, no, to, w, &mut acts);
            self.carry_out(now, &mut acts, w);
        }
    }
}
