//! Real controllers that share far ends, told things drawn from a seed; the rules are asked after each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::rules::{Answer, Ending, Model, What, Whose};
use crate::{call_type, figures, ms, office_data};

const CONTROLLERS: u16 = 3;
const OFFICES: u16 = 5;
/// A machine that replaces another is named by this much more.
const MACHINE: u32 = 100;

pub struct Run {
    pub seed: u64,
    pub calls_per_s: f64,
    /// Most calls go to one exchange, which is replaced by a cold machine.
    pub crowd: bool,
    pub lasts: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Next {
    Offer,
    Alarm(u16, u32, TimerId),
    Ends(Whose, u8, u32, Cause),
    Stands(Whose, u8, u32),
    HangsUp(Whose),
    Reports(u16, u32),
    Lists(u16, ExchangeEntry),
    Trouble,
    Kill(u16),
    Start(u16),
}

/// A seizure that is out: its number, where it went, when, what will end it.
#[derive(Clone, Copy)]
struct Out {
    no: u8,
    to: u32,
    at: Duration,
}

struct World {
    now: Duration,
    chance: Pcg64Mcg,
    /// What is due, at one instant in any order.
    due: BTreeMap<(Duration, u32, u64), Next>,
    count: u64,
    model: Model,
    out: BTreeMap<Whose, Out>,
    /// Calls that have an answer, or whose caller has gone.
    closed: BTreeSet<Whose>,
    hung: BTreeMap<u32, Duration>,
    /// All far ends answer at once, and have circuits for all.
    easy: bool,
}

impl World {
    fn after(&mut self, span: Duration, next: Next) {
        self.count += 1;
        let order = self.chance.random();
        self.due.insert((self.now + span, order, self.count), next);
    }

    /// A span in steps of ten milliseconds, so that much falls on the same instant.
    fn span(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        ms(self.chance.random_range(from_ms / 10..=to_ms / 10) * 10)
    }

    fn close(&mut self, whose: Whose, what: What) {
        self.closed.insert(whose);
        self.model.note(self.now, whose, what);
    }

    /// What a far end makes of a set-up.
    fn outcome(&mut self, to: u32) -> (Duration, Option<Cause>) {
        if self.hung.get(&to).is_some_and(|until| *until > self.now) {
            return (Duration::MAX, Some(Cause::TimedOut));
        }
        if self.easy {
            return (self.span(10, 30), None);
        }
        let way = self.span(0, 120);
        let waits = [0, 120, 900, 20_000];
        let wait = ms(waits[self.chance.random_range(0..waits.len())]);
        let cause = match self.chance.random_range(0..100) {
            0..60 => None,
            60..70 => Some(Cause::TurnedBack { beyond: self.chance.random() }),
            70..75 => Some(Cause::NoCircuit),
            75..80 => Some(Cause::ProcessorFull { wait }),
            80..85 => Some(Cause::Cut),
            85..88 => Some(Cause::Unreachable),
            88..90 => Some(Cause::Busy),
            90..91 => Some(Cause::Fault),
            91..94 => Some(Cause::NotSent { own_down: self.chance.random() }),
            _ => return (Duration::MAX, Some(Cause::TimedOut)),
        };
        (way, cause)
    }
}

/// What one controller does.
struct Hand<'a> {
    world: &'a mut World,
    who: (u16, u32),
}

impl Hand<'_> {
    fn whose(&self, call: CallId) -> Whose {
        (self.who.0, self.who.1, call.0)
    }
}

impl ControllerActions for Hand<'_> {
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration) {
        let whose = self.whose(call);
        let w = &mut *self.world;
        let earlier =
            |event: &&crate::rules::Event| event.whose == whose && matches!(event.what, What::Seized { .. });
        let no = w.model.list.iter().filter(earlier).count() as u8;
        w.model.note(w.now, whose, What::Seized { to: to.0 });
        w.out.insert(whose, Out { no, to: to.0, at: w.now });
        let (way, cause) = w.outcome(to.0);
        let next = match cause {
            _ if way >= limit => Next::Ends(whose, no, to.0, Cause::TimedOut),
            Some(cause) => Next::Ends(whose, no, to.0, cause),
            None => Next::Stands(whose, no, to.0),
        };
        w.after(way.min(limit), next);
    }
    fn cancel(&mut self, call: CallId, seizure: SeizureNumber) {
        let whose = self.whose(call);
        let Some(out) = self.world.out.get(&whose).copied().filter(|out| out.no == seizure.0) else { return };
        // The answer may be on its way already, and comes all the same.
        if self.world.chance.random_bool(0.8) {
            let span = self.world.span(0, 40);
            self.world.after(span, Next::Ends(whose, out.no, out.to, Cause::Cancelled));
        }
    }
    fn reject(&mut self, call: CallId, _: Duration) {
        let whose = self.whose(call);
        self.world.close(whose, What::Answered(Answer::Refused));
    }
    fn release(&mut self, call: CallId) {
        let whose = self.whose(call);
        self.world.close(whose, What::Answered(Answer::Fails));
    }
    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        let (no, life) = self.who;
        self.world.after(Duration::from_micros(after.as_micros() as u64), Next::Alarm(no, life, timer));
    }
    fn send_to_peers(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self) {}
    fn log(&mut self, _: &str) {}
}

fn data(own: u16) -> ControllerConfig {
    let kinds = vec![
        call_type(1.0, 1, RepeatPolicy::Freely),
        call_type(8.0, 1, RepeatPolicy::Freely),
        call_type(3.0, 3, RepeatPolicy::Never),
    ];
    ControllerConfig { may_message_peers: own == 3, ..office_data(own, kinds) }
}

struct Table {
    world: World,
    controllers: Vec<Option<Controller>>,
    lives: Vec<u32>,
    lists: Vec<BTreeMap<u32, ExchangeEntry>>,
    /// The machine that each office has now.
    machines: BTreeMap<u16, u32>,
    last_call: u64,
    run: Run,
}

/// Plays a run; returns the model, with nothing owed.
pub fn play(run: Run) -> Model {
    let start = Duration::from_secs(100);
    let world = World {
        now: start,
        chance: Pcg64Mcg::seed_from_u64(run.seed),
        due: BTreeMap::new(),
        count: 0,
        model: Model::new(figures(40.0, 10.0), run.seed),
        out: BTreeMap::new(),
        closed: BTreeSet::new(),
        hung: BTreeMap::new(),
        easy: run.crowd,
    };
    let line = |office: u16| ExchangeEntry {
        id: ExchangeId(office.into()),
        number: ExchangeNumber(office),
        zone: Zone((office % 2) as u8),
        status: ExchangeStatus::Ready,
        started: Duration::ZERO,
    };
    let list: BTreeMap<u32, ExchangeEntry> =
        (1..=OFFICES).map(|office| (office.into(), line(office))).collect();
    let mut table = Table {
        world,
        controllers: (0..CONTROLLERS).map(|_| None).collect(),
        lives: vec![0; usize::from(CONTROLLERS)],
        lists: vec![list; usize::from(CONTROLLERS)],
        machines: (1..=OFFICES).map(|office| (office, office.into())).collect(),
        last_call: 0,
        run,
    };
    (1..=CONTROLLERS).for_each(|no| table.act(Next::Start(no)));
    table.world.after(ms(0), Next::Offer);
    table.world.after(ms(300), Next::Trouble);
    while let Some(((at, ..), next)) = table.world.due.pop_first() {
        table.world.now = at;
        table.act(next);
        // Time has passed, whatever was done.
        table.world.model.note(at, (0, 0, 0), What::Rang);
        table.world.model.ask();
        table.world.model.list.retain(|event| event.what != What::Rang);
    }
    table.world.model.over();
    table.world.model
}

impl Table {
    fn with(&mut self, no: u16, f: impl FnOnce(&mut Controller, Duration, &mut Hand)) {
        let at = usize::from(no) - 1;
        let now = self.world.now;
        let Some(controller) = &mut self.controllers[at] else { return };
        f(controller, now, &mut Hand { world: &mut self.world, who: (no, self.lives[at]) });
    }

    fn lives(&self, whose: Whose) -> bool {
        let at = usize::from(whose.0) - 1;
        self.controllers[at].is_some() && self.lives[at] == whose.1
    }

    fn over(&self) -> bool {
        self.world.now > Duration::from_secs(100) + self.run.lasts
    }

    fn act(&mut self, next: Next) {
        match next {
            Next::Offer => self.offer(),
            Next::Alarm(no, life, alarm) if self.lives((no, life, 0)) => {
                self.with(no, |controller, now, hand| controller.on_timer(now, hand, alarm));
            }
            Next::Ends(whose, no, to, cause) if self.lives(whose) => self.ends(whose, no, to, cause),
            Next::Stands(whose, no, to) if self.lives(whose) => self.stands(whose, no, to),
            Next::HangsUp(whose) if self.lives(whose) && !self.world.closed.contains(&whose) => {
                self.world.close(whose, What::Withdrawn);
                self.with(whose.0, |controller, now, hand| {
                    controller.on_caller_gone(now, hand, CallId(whose.2))
                });
            }
            Next::Reports(no, to) => {
                let easy = self.world.easy;
                let free =
                    if easy { 500.0 } else { [0.0, 1.0, 3.0, 20.0][self.world.chance.random_range(0..4)] };
                let tells = !easy && self.world.chance.random_bool(0.2);
                let rate = tells.then(|| self.world.chance.random_range(5.0..80.0));
                let report = CapacityReport { free: Some(free), size: Some(500.0), rate };
                self.with(no, |controller, now, hand| {
                    controller.on_capacity_report(now, hand, ExchangeId(to), &report)
                });
            }
            Next::Lists(no, line) => self.lists(no, line),
            Next::Trouble => self.trouble(),
            Next::Kill(no) => {
                let at = usize::from(no) - 1;
                if self.controllers[at].take().is_some() {
                    let who = (no, self.lives[at], 0);
                    self.world.model.note(self.world.now, who, What::Killed);
                    self.world.out.retain(|whose, _| (whose.0, whose.1) != (who.0, who.1));
                    let span = self.world.span(10, 800);
                    self.world.after(span, Next::Start(no));
                }
            }
            Next::Start(no) => {
                let at = usize::from(no) - 1;
                self.lives[at] += 1;
                let seed = self.world.chance.random();
                self.controllers[at] = Some(Controller::new(&data(no), seed));
                // With nothing but the last list.
                let lines: Vec<_> = self.lists[at].values().copied().collect();
                lines.iter().for_each(|line| self.note_told(no, line));
                self.with(no, |controller, now, hand| controller.on_membership(now, hand, &lines));
                let ends: Vec<u32> = self.lists[at].keys().copied().collect();
                ends.iter().for_each(|to| self.act(Next::Reports(no, *to)));
            }
            _ => {}
        }
    }

    fn offer(&mut self) {
        if self.over() {
            return;
        }
        let w = &mut self.world;
        let gap = w.chance.random_range(0.0..2.0) / self.run.calls_per_s;
        w.after(Duration::from_millis((gap * 1e3) as u64), Next::Offer);
        let no = w.chance.random_range(1..=CONTROLLERS);
        let any = w.chance.random_range(1..=OFFICES);
        let dest = if self.run.crowd && w.chance.random_bool(0.9) { OFFICES } else { any };
        let left = [30, 70, 110, 400, 1500, 4000, 4000, 4000][w.chance.random_range(0..8)];
        let call_type = if self.run.crowd { 0 } else { w.chance.random_range(0..3) };
        let dialled = w.chance.random_range(0..400);
        let transit = dest != no && w.chance.random_bool(0.2);
        self.last_call += 1;
        let at = usize::from(no) - 1;
        if self.controllers[at].is_none() {
            return;
        }
        let whose = (no, self.lives[at], self.last_call);
        let offer = CallOffer {
            call: CallId(self.last_call),
            call_type: CallType(call_type),
            customer: CustomerId(0),
            dialled: DialledNumber(if self.run.crowd { 0 } else { dialled }),
            deadline: w.now + ms(left),
            dest: ExchangeNumber(dest),
            width: if call_type == 2 { 3 } else { 1 },
            advised: w.chance.random_bool(0.3).then_some(ExchangeNumber(any)),
            transit,
            cut: false,
            redial: false,
        };
        w.model.note(w.now, whose, What::Taken { until: offer.deadline });
        if w.chance.random_bool(0.2) {
            let span = w.span(0, left - 10);
            w.after(span, Next::HangsUp(whose));
        }
        self.with(no, |controller, now, hand| controller.on_offer(now, hand, offer));
    }

    fn ends(&mut self, whose: Whose, no: u8, to: u32, cause: Cause) {
        let w = &mut self.world;
        let out = w.out.get(&whose).copied().filter(|out| out.no == no);
        let Some(out) = out else { return };
        w.out.remove(&whose);
        let how = match cause {
            Cause::TimedOut => Ending::TimedOut,
            Cause::Cut => Ending::Reset,
            Cause::Cancelled => Ending::Cancelled,
            _ => Ending::Rejected,
        };
        w.model.note(w.now, whose, What::Ended { how });
        let (after, closed) = (w.now - out.at, w.closed.contains(&whose));
        let (call, seizure, exchange) = (CallId(whose.2), SeizureNumber(no), ExchangeId(to));
        let end = SeizureEnded { call, seizure, exchange, cause, elapsed: after, closed };
        self.with(whose.0, |controller, now, hand| controller.on_seizure_ended(now, hand, &end));
    }

    fn stands(&mut self, whose: Whose, no: u8, to: u32) {
        let w = &mut self.world;
        let out = w.out.get(&whose).copied().filter(|out| out.no == no);
        let Some(out) = out else { return };
        w.out.remove(&whose);
        w.model.note(w.now, whose, What::Ended { how: Ending::Stood });
        // Its caller may have gone: then nobody is answered.
        if !w.closed.contains(&whose) {
            w.close(whose, What::Answered(Answer::Stands));
        }
        let after = w.now - out.at;
        let (call, seizure, exchange) = (CallId(whose.2), SeizureNumber(no), ExchangeId(to));
        let stood = SeizureAnswered { call, seizure, exchange, elapsed: after };
        self.with(whose.0, |controller, now, hand| controller.on_seizure_answered(now, hand, &stood));
        // And ends some time, which is told too.
        let cause = if self.world.chance.random_bool(0.2) { Cause::Cut } else { Cause::Done };
        let end = SeizureEnded { call, seizure, exchange, cause, elapsed: after, closed: true };
        self.with(whose.0, |controller, now, hand| controller.on_seizure_ended(now, hand, &end));
    }

    fn note_told(&mut self, no: u16, line: &ExchangeEntry) {
        let who = (no, self.lives[usize::from(no) - 1], 0);
        let what = What::Told { exchange: line.id.0, takes: line.status == ExchangeStatus::Ready };
        self.world.model.note(self.world.now, who, what);
    }

    fn lists(&mut self, no: u16, line: ExchangeEntry) {
        let at = usize::from(no) - 1;
        self.lists[at].insert(line.id.0, line);
        if line.status == ExchangeStatus::Gone {
            self.lists[at].remove(&line.id.0);
        }
        if self.controllers[at].is_some() {
            self.note_told(no, &line);
            self.with(no, |controller, now, hand| controller.on_membership_changes(now, hand, &[line]));
            self.act(Next::Reports(no, line.id.0));
        }
    }

    /// Everyone is told, each in its own time.
    fn tell_all(&mut self, from_ms: u64, line: ExchangeEntry) {
        for no in 1..=CONTROLLERS {
            let span = self.world.span(from_ms, from_ms + 400);
            self.world.after(span, Next::Lists(no, line));
        }
    }

    fn trouble(&mut self) {
        if self.over() {
            return;
        }
        let again = self.world.span(100, 700);
        self.world.after(again, Next::Trouble);
        let office = if self.run.crowd { OFFICES } else { self.world.chance.random_range(1..=OFFICES) };
        let machine = self.machines[&office];
        let zone = Zone((office % 2) as u8);
        let line = |exchange, standing, started| ExchangeEntry {
            id: ExchangeId(exchange),
            number: ExchangeNumber(office),
            zone,
            status: standing,
            started,
        };
        // A crowd finds one machine that has just started.
        let replaced = machine > MACHINE;
        match self.world.chance.random_range(0..10) {
            0..3 if !(self.run.crowd && replaced) => {
                // Drained, gone, and replaced by a cold machine; or the replacement is told first.
                let next = machine + MACHINE;
                self.tell_all(0, line(machine, ExchangeStatus::Draining, Duration::ZERO));
                let started = self.world.now;
                self.world.model.note(started, (0, 0, 0), What::Started { exchange: next });
                self.tell_all(
                    self.run.lasts.as_millis() as u64 / 8,
                    line(next, ExchangeStatus::Ready, started),
                );
                let gone = self.world.span(0, 3000).as_millis() as u64;
                self.tell_all(gone, line(machine, ExchangeStatus::Gone, Duration::ZERO));
                self.machines.insert(office, next);
            }
            3..6 if !self.run.crowd => {
                let until = self.world.now + self.world.span(200, 1500);
                self.world.hung.insert(machine, until);
            }
            6..7 if !self.run.crowd => {
                let no = self.world.chance.random_range(1..=CONTROLLERS);
                self.world.after(Duration::ZERO, Next::Kill(no));
            }
            _ => {
                let no = self.world.chance.random_range(1..=CONTROLLERS);
                let ends: Vec<u32> = self.lists[usize::from(no) - 1].keys().copied().collect();
                ends.iter().for_each(|to| self.world.after(Duration::ZERO, Next::Reports(no, *to)));
            }
        }
    }
}
