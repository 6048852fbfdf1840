//! Real offices joined by octets in virtual time. What crosses between them is read back into the list of what happened,
//! by a book of circuits of its own, and the rules are asked after each thing that an office was given.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall::interface::*;
use mintstall_callcontrol::{
    Answer as Final, CallControl, CallControlActions, CallControlConfig, CallEnd, CallRequest, Counters,
    GroupConfig, NumberConfig, Timers,
};
use mintstall_isup::{Body, Cic, Deframer, Frame, Iam, Message, Q850};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::rules::{Answer, Ending, Model, What, Whose};
use crate::{call_type, figures, ms, office_data};

const START: Duration = Duration::from_secs(3600);
const CIRCUITS: u16 = 7;
/// A machine that replaces another is named by this much more.
const MACHINE: u32 = 100;
/// After a stop has let go of all calls its process lasts so long at most.
const LINGER: Duration = Duration::from_secs(2);
/// And it waits so long at most for calls that have no answer.
const STOP_WITHIN: Duration = Duration::from_secs(5);

pub struct Run {
    pub seed: u64,
    pub offices: u16,
    pub calls_per_s: f64,
    pub lasts: Duration,
}

/// What a run has shown, besides the rules.
pub struct Played {
    pub model: Model,
    pub tallies: Vec<Counters>,
    pub seen: Seen,
}

#[derive(Default, Debug)]
pub struct Seen {
    pub turned_back: usize,
    pub transit: usize,
    pub links_lost: usize,
    pub late_answers: usize,
    pub stops: usize,
    /// Circuits that the neighbours held of an office that was killed or stopped, and the longest until they were free.
    pub held_of_dead: usize,
    pub longest_held: Duration,
}

#[derive(Default)]
struct Notebook {
    sent: Vec<(u16, Vec<u8>)>,
    answers: Vec<(CallId, Final)>,
    closed: Vec<u16>,
}

impl CallControlActions for Notebook {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.sent.push((to.0, octets.to_vec()));
    }
    fn close_link(&mut self, to: ExchangeNumber, _: &str) {
        self.closed.push(to.0);
    }
    fn answer(&mut self, call: CallId, answer: Final) {
        self.answers.push((call, answer));
    }
    fn call_ended(&mut self, _: CallId, _: CallEnd) {}
    fn log_info(&mut self, _: &str) {}
}

/// What one end of a circuit carries, as its octets tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    /// Signalling is on the circuit at `first`.
    Out {
        whose: Whose,
        first: u16,
        stands: bool,
    },
    In {
        whose: Whose,
        stands: bool,
    },
    /// A release or a reset is not completed; it was sent on the circuit at this place.
    Closing(u16),
    GroupReset,
}

/// Circuits by the office whose end it is, the far office and the place.
type End = (u16, u16, u16);

#[derive(Clone, Debug)]
enum Next {
    Call,
    HangsUp(u16, u32, CallId),
    Ring(u16),
    Octets { from: u16, to: u16, link: u64, octets: Vec<u8> },
    Up(u16, u16),
    Lists(u16, ExchangeEntry),
    Trouble,
    Stop(u16),
    Gone(u16),
    Start(u16),
}

struct Seat {
    office: CallControl,
    life: u32,
    stopping: Option<Duration>,
    let_go: Option<Duration>,
}

struct World {
    now: Duration,
    chance: Pcg64Mcg,
    due: BTreeMap<(Duration, u64), Next>,
    count: u64,
    model: Model,
    seats: BTreeMap<u16, Seat>,
    lives: BTreeMap<u16, u32>,
    lists: BTreeMap<u16, BTreeMap<u32, ExchangeEntry>>,
    machines: BTreeMap<u16, u32>,
    /// Each connection has a number; octets of one that is gone are lost. None: it is down.
    links: BTreeMap<(u16, u16), Option<u64>>,
    last_link: u64,
    /// When the last octets of each direction arrive: none overtakes another.
    last: BTreeMap<(u16, u16), Duration>,
    hung: BTreeMap<u16, Duration>,
    lines: BTreeMap<End, Line>,
    /// When an office went, for as long as its neighbours hold circuits of it.
    dead_since: BTreeMap<u16, Duration>,
    open: BTreeSet<Whose>,
    seen: Seen,
    tallies: Vec<Counters>,
    run: Run,
}

fn link(a: u16, b: u16) -> (u16, u16) {
    (a.min(b), a.max(b))
}

fn timers() -> Timers {
    Timers {
        t1: ms(1000),
        t5: ms(4000),
        t7: ms(5000),
        t16: ms(1000),
        t17: ms(2000),
        t22: ms(1000),
        link_ack: ms(300),
        heartbeat: ms(2000),
        link_grace: ms(3000),
        audit: ms(1000),
    }
}

fn plan(own: u16, count: u16) -> CallControlConfig {
    let kinds = vec![
        call_type(1.0, 1, RepeatPolicy::Freely),
        call_type(3.0, 3, RepeatPolicy::Freely),
        call_type(8.0, 1, RepeatPolicy::Never),
    ];
    let others = (1..=count).filter(|other| *other != own);
    CallControlConfig {
        own: ExchangeNumber(own),
        controller: ControllerConfig { may_message_peers: true, ..office_data(own, kinds) },
        groups: others.map(|to| GroupConfig { to: ExchangeNumber(to), circuits: CIRCUITS }).collect(),
        numbers: vec![NumberConfig { dialled: 77, lines: 1 }],
        timers: timers(),
        max_calls: 1000,
        max_traces: 10,
    }
}

/// The message of a frame, if it carries one.
fn with_message(octets: &[u8], f: &mut dyn FnMut(&Message)) {
    let mut frames = Deframer::default();
    frames.push(octets);
    while let Ok(Some(frame)) = frames.next() {
        if let Ok(Frame::Data(data)) = Frame::read(frame)
            && let Ok(message) = Message::read(data.user)
        {
            f(&message);
        }
    }
}

fn places(cic: Cic, iam: &Iam) -> Vec<u16> {
    match iam.map {
        None => cic.index().into_iter().collect(),
        Some(map) => map.circuits(cic).filter_map(Cic::index).collect(),
    }
}

pub fn play(run: Run) -> Played {
    let count = run.offices;
    let line = |office: u16| ExchangeEntry {
        id: ExchangeId(office.into()),
        number: ExchangeNumber(office),
        zone: Zone(0),
        status: ExchangeStatus::Ready,
        started: Duration::ZERO,
    };
    let list: BTreeMap<u32, ExchangeEntry> = (1..=count).map(|no| (no.into(), line(no))).collect();
    let pairs = (1..=count).flat_map(|a| (a + 1..=count).map(move |b| (a, b)));
    let mut w = World {
        now: START,
        chance: Pcg64Mcg::seed_from_u64(run.seed),
        due: BTreeMap::new(),
        count: 0,
        model: Model::new(figures(12.0, 6.0), run.seed),
        seats: BTreeMap::new(),
        lives: BTreeMap::new(),
        lists: (1..=count).map(|no| (no, list.clone())).collect(),
        machines: (1..=count).map(|no| (no, no.into())).collect(),
        links: pairs.map(|pair| (pair, None)).collect(),
        last_link: 0,
        last: BTreeMap::new(),
        hung: BTreeMap::new(),
        lines: BTreeMap::new(),
        dead_since: BTreeMap::new(),
        open: BTreeSet::new(),
        seen: Seen::default(),
        tallies: Vec::new(),
        run,
    };
    (1..=count).for_each(|no| w.act(Next::Start(no)));
    w.after(ms(500), Next::Call);
    w.after(ms(1000), Next::Trouble);
    // Long after the last call, for all timers of both ends to run out.
    let end = START + w.run.lasts + Duration::from_secs(30);
    while let Some(((at, _), next)) = w.due.pop_first() {
        if at > end {
            break;
        }
        w.now = at;
        w.act(next);
        w.look_at_stops();
        w.model.note(at, (0, 0, 0), What::Rang);
        w.model.ask();
        w.model.list.retain(|event| event.what != What::Rang);
        w.look_at_dead();
    }
    w.model.over();
    for (no, seat) in &w.seats {
        let state = seat.office.status();
        let busy: Vec<_> = state.groups.iter().filter(|group| group.free != group.circuits).collect();
        assert_eq!(
            (state.calls, state.pending_answers, busy),
            (0, 0, vec![]),
            "seed {}, at {no}",
            w.run.seed
        );
    }
    let tallies = w.seats.values().map(|seat| seat.office.status().counters);
    w.tallies.extend(tallies.collect::<Vec<_>>());
    Played { model: w.model, tallies: w.tallies, seen: w.seen }
}

impl World {
    fn after(&mut self, span: Duration, next: Next) {
        self.count += 1;
        self.due.insert((self.now + span, self.count), next);
    }

    fn span(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        ms(self.chance.random_range(from_ms..=to_ms))
    }

    fn over(&self) -> bool {
        self.now > START + self.run.lasts
    }

    fn life(&self, no: u16) -> u32 {
        self.lives.get(&no).copied().unwrap_or(0)
    }

    fn others(&self, no: u16) -> Vec<u16> {
        (1..=self.run.offices).filter(|other| *other != no).collect()
    }

    fn act(&mut self, next: Next) {
        match next {
            Next::Call => self.call(),
            Next::HangsUp(no, life, call) if self.life(no) == life => {
                self.with(no, |office, now, plant| _ = office.hang_up(now, plant, call));
            }
            Next::Ring(no) => {
                let due = self.seats.get(&no).and_then(|seat| seat.office.next_timer());
                if due.is_some_and(|due| due <= self.now) {
                    self.with(no, |office, now, plant| office.on_timer(now, plant));
                }
            }
            Next::Octets { from, to, link: carried, octets } => {
                if self.links[&link(from, to)] != Some(carried) {
                    return;
                }
                if let Some(until) = self.hung.get(&to).copied().filter(|until| *until > self.now) {
                    let span = until - self.now;
                    return self.after(span, Next::Octets { from, to, link: carried, octets });
                }
                with_message(&octets, &mut |message| self.came(from, to, message));
                self.with(to, |office, now, plant| {
                    office.on_octets(now, plant, ExchangeNumber(from), &octets)
                });
            }
            Next::Up(a, b) => {
                if self.links[&link(a, b)].is_some() {
                    return;
                }
                if !self.seats.contains_key(&a) || !self.seats.contains_key(&b) {
                    return self.after(ms(200), Next::Up(a, b));
                }
                self.last_link += 1;
                self.links.insert(link(a, b), Some(self.last_link));
                self.with(a, |office, now, plant| office.link_up(now, plant, ExchangeNumber(b)));
                self.with(b, |office, now, plant| office.link_up(now, plant, ExchangeNumber(a)));
            }
            Next::Lists(no, line) => {
                let list = self.lists.get_mut(&no).unwrap();
                list.insert(line.id.0, line);
                if line.status == ExchangeStatus::Gone {
                    list.remove(&line.id.0);
                }
                self.note_told(no, line.number.0);
                self.with(no, |office, now, plant| office.on_membership_changes(now, plant, &[line]));
            }
            Next::Trouble => self.trouble(),
            Next::Stop(no) => {
                let now = self.now;
                if let Some(seat) = self.seats.get_mut(&no).filter(|seat| seat.stopping.is_none()) {
                    seat.stopping = Some(now);
                    seat.office.stop();
                    self.seen.stops += 1;
                }
            }
            Next::Gone(no) => self.gone(no),
            Next::Start(no) => {
                let life = self.life(no) + 1;
                self.lives.insert(no, life);
                let seed = self.chance.random();
                let office =
                    CallControl::new(self.now, &plan(no, self.run.offices), u64::from(life) << 11, seed);
                self.seats.insert(no, Seat { office, life, stopping: None, let_go: None });
                let lines: Vec<_> = self.lists[&no].values().copied().collect();
                lines.iter().for_each(|line| self.note_told(no, line.number.0));
                self.with(no, |office, now, plant| office.on_membership(now, plant, &lines));
                self.others(no).into_iter().for_each(|other| self.after(ms(10), Next::Up(no, other)));
            }
            Next::HangsUp(..) => {}
        }
    }

    /// Whether any machine at an office takes new calls, as an office has been told.
    fn note_told(&mut self, no: u16, at: u16) {
        let takes = |line: &ExchangeEntry| line.number.0 == at && line.status == ExchangeStatus::Ready;
        let takes = self.lists[&no].values().any(takes);
        let who = (no, self.life(no), 0);
        self.model.note(self.now, who, What::Told { exchange: at.into(), takes });
    }

    fn with(&mut self, no: u16, f: impl FnOnce(&mut CallControl, Duration, &mut Notebook)) {
        let now = self.now;
        let Some(seat) = self.seats.get_mut(&no) else { return };
        let mut book = Notebook::default();
        f(&mut seat.office, now, &mut book);
        assert_eq!(seat.office.inconsistencies(), Vec::<String>::new(), "seed {}, at {no}", self.run.seed);
        if let Some(at) = seat.office.next_timer() {
            self.after(at.saturating_sub(now), Next::Ring(no));
        }
        for (to, octets) in book.sent {
            with_message(&octets, &mut |message| self.goes(no, to, message));
            let Some(carried) = self.links[&link(no, to)] else { continue };
            let way = self.now + self.span(1, 25);
            let last = self.last.entry((no, to)).or_default();
            *last = way.max(*last + Duration::from_micros(1));
            let span = *last - self.now;
            self.after(span, Next::Octets { from: no, to, link: carried, octets });
        }
        let life = self.life(no);
        for (call, answer) in book.answers {
            let answer = match answer {
                Final::Stands => Answer::Stands,
                Final::Refused { .. } => Answer::Refused,
                Final::Fails => Answer::Fails,
            };
            self.model.note(now, (no, life, call.0), What::Answered(answer));
        }
        book.closed.into_iter().for_each(|to| self.lose_link(no, to));
    }

    fn whose(&self, no: u16, iam: &Iam) -> Whose {
        let identity = iam.identity.expect("all calls here have one");
        let name = match identity.origin == no {
            true => identity.call,
            // Each time that it comes to a tandem it is a call of its own there.
            false => u64::from(identity.origin) << 56 | identity.call << 3 | u64::from(identity.seizure + 1),
        };
        (no, self.life(no), name)
    }

    fn over_with(&mut self, whose: Whose, what: What) {
        if self.open.remove(&whose) {
            self.model.note(self.now, whose, what);
        }
    }

    /// One end of a circuit is told, or tells, that what it carries is over.
    fn lost(&mut self, end: End, how: Ending, told: What, then: Option<Line>) {
        let line = match then {
            Some(then) => self.lines.insert(end, then),
            None => self.lines.remove(&end),
        };
        let same = |other: &Line| match (line, *other) {
            (Some(Line::Out { whose, .. }), Line::Out { whose: other, .. }) => whose == other,
            (Some(Line::In { whose, .. }), Line::In { whose: other, .. }) => whose == other,
            _ => false,
        };
        // Circuits of a wider call go together.
        let along: Vec<End> = self
            .lines
            .iter()
            .filter(|(other, line)| (other.0, other.1) == (end.0, end.1) && same(line))
            .map(|(other, _)| *other)
            .collect();
        for other in along {
            match then {
                Some(then) => self.lines.insert(other, then),
                None => self.lines.remove(&other),
            };
        }
        match line {
            Some(Line::Out { whose, stands: false, .. }) => {
                self.model.note(self.now, whose, What::Ended { how })
            }
            Some(Line::In { whose, stands: false }) => self.over_with(whose, told),
            _ => {}
        }
    }

    /// An office sends a message.
    fn goes(&mut self, no: u16, to: u16, message: &Message) {
        let Some(place) = message.cic.index() else { return };
        let end = (no, to, place);
        match &message.body {
            Body::Iam(iam) => {
                let whose = self.whose(no, iam);
                self.model.note(self.now, whose, What::Seized { to: to.into() });
                let line = Line::Out { whose, first: place, stands: false };
                places(message.cic, iam)
                    .into_iter()
                    .for_each(|place| _ = self.lines.insert((no, to, place), line));
            }
            Body::Anm { .. } => {
                if let Some(Line::In { whose, stands: false }) = self.lines.get(&end).copied() {
                    self.over_with(whose, What::Answered(Answer::Stands));
                }
                self.stands(end);
            }
            Body::Rel(rel) => {
                self.seen.turned_back += usize::from(rel.crankback.is_some());
                let how = match rel.cause.cause {
                    Q850::RecoveryOnTimer => Ending::TimedOut,
                    Q850::NormalClearing => Ending::Cancelled,
                    _ => Ending::Reset,
                };
                self.lost(end, how, What::Answered(Answer::Refused), Some(Line::Closing(place)));
            }
            Body::Rsc => {
                self.lost(end, Ending::Reset, What::Answered(Answer::Fails), Some(Line::Closing(place)))
            }
            Body::Grs { count } => {
                for place in place..place + u16::from(*count) {
                    self.lines.entry((no, to, place)).or_insert(Line::GroupReset);
                }
            }
            _ => {}
        }
    }

    fn stands(&mut self, end: End) {
        let Some(line) = self.lines.get(&end).copied() else { return };
        let all = self
            .lines
            .iter_mut()
            .filter(|(other, all)| (other.0, other.1) == (end.0, end.1) && **all == line);
        for (_, line) in all {
            if let Line::Out { stands, .. } | Line::In { stands, .. } = line {
                *stands = true;
            }
        }
    }

    /// A message comes to an office, which has not seen it yet.
    fn came(&mut self, from: u16, no: u16, message: &Message) {
        let Some(place) = message.cic.index() else { return };
        let end = (no, from, place);
        match &message.body {
            Body::Iam(iam) => self.set_up_came(from, no, message.cic, iam),
            Body::Anm { .. } => match self.lines.get(&end).copied() {
                Some(Line::Out { whose, stands: false, .. }) => {
                    self.model.note(self.now, whose, What::Ended { how: Ending::Stood });
                    self.stands(end);
                }
                Some(Line::Closing(_)) => self.seen.late_answers += 1,
                _ => {}
            },
            Body::Rel(rel) => {
                let how = match rel.cause.cause {
                    Q850::RecoveryOnTimer => Ending::TimedOut,
                    Q850::TemporaryFailure => Ending::Reset,
                    _ => Ending::Rejected,
                };
                // Where dual seizure is settled the far end may release what it had set up beside.
                if matches!(self.lines.get(&end), Some(Line::Out { first, stands: false, .. }) if *first != place)
                {
                    return;
                }
                // A release of its own that is on its way is completed for itself.
                if !matches!(self.lines.get(&end), Some(Line::Closing(_))) {
                    self.lost(end, how, What::Withdrawn, None);
                }
            }
            Body::Rlc { .. } => self.free_with(end),
            Body::Rsc => self.reset_came(end),
            Body::Grs { count } => {
                (place..place + u16::from(*count)).for_each(|place| self.reset_came((no, from, place)));
            }
            Body::Gra(range) => {
                for place in place..place + u16::from(range.count) {
                    if self.lines.get(&(no, from, place)) == Some(&Line::GroupReset) {
                        self.lines.remove(&(no, from, place));
                    }
                }
            }
            _ => {}
        }
    }

    /// A circuit that was let go is free again, and those of its call beside it.
    fn free_with(&mut self, end: End) {
        let Some(Line::Closing(first)) = self.lines.get(&end).copied() else { return };
        self.lines
            .retain(|other, line| (other.0, other.1) != (end.0, end.1) || *line != Line::Closing(first));
    }

    fn reset_came(&mut self, end: End) {
        match self.lines.get(&end) {
            Some(Line::Closing(_)) => self.free_with(end),
            Some(Line::GroupReset) | None => {}
            _ => self.lost(end, Ending::Reset, What::Withdrawn, None),
        }
    }

    /// Dual seizure by the standard: the wider call prevails, else the higher point code on even circuits.
    fn set_up_came(&mut self, from: u16, no: u16, cic: Cic, iam: &Iam) {
        let wanted = places(cic, iam);
        let here: Vec<Line> =
            wanted.iter().filter_map(|place| self.lines.get(&(no, from, *place)).copied()).collect();
        let is_out = |line: &Line| matches!(line, Line::Out { stands: false, .. });
        if !here.iter().all(is_out) {
            // It meets a release, a reset or a call: whoever sent it hears of that.
            return;
        }
        for place in &wanted {
            let Some(Line::Out { whose, .. }) = self.lines.get(&(no, from, *place)).copied() else {
                continue;
            };
            let ours = self.lines.iter().filter(|(end, line)| {
                (end.0, end.1) == (no, from)
                    && matches!(line, Line::Out { whose: other, .. } if *other == whose)
            });
            let prevails = match ours.count().cmp(&wanted.len()) {
                std::cmp::Ordering::Equal => Cic::from_index(*place).0.is_multiple_of(2) == (no > from),
                order => order.is_gt(),
            };
            if prevails {
                return;
            }
        }
        for place in &wanted {
            if self.lines.contains_key(&(no, from, *place)) {
                self.lost((no, from, *place), Ending::Rejected, What::Withdrawn, None);
            }
        }
        let digits = iam.called.digits();
        let dest = digits[..5].iter().fold(0u16, |value, digit| value * 10 + u16::from(*digit));
        let stopping = self.seats.get(&no).is_some_and(|seat| seat.stopping.is_some());
        let whose = self.whose(no, iam);
        let line = Line::In { whose, stands: false };
        wanted.iter().for_each(|place| _ = self.lines.insert((no, from, *place), line));
        // Its own numbers answer by themselves, and one that stops takes nothing.
        if dest != no && !stopping {
            let left = iam.identity.map_or(0, |identity| identity.time_left_ms);
            self.seen.transit += 1;
            self.open.insert(whose);
            self.model.note(self.now, whose, What::Taken { until: self.now + ms(left.into()) });
        }
    }

    fn call(&mut self) {
        if self.over() {
            return;
        }
        let gap = self.chance.random_range(0.0..2.0) / self.run.calls_per_s;
        self.after(Duration::from_millis((gap * 1e3) as u64), Next::Call);
        let no = self.chance.random_range(1..=self.run.offices);
        let others = self.others(no);
        // Some pairs are called more than their groups carry.
        let dest = if self.chance.random_bool(0.5) {
            others[0]
        } else {
            others[self.chance.random_range(0..others.len())]
        };
        let left = [15, 60, 110, 500, 2000, 4000, 4000, 60_000][self.chance.random_range(0..8)];
        let dialled = if self.chance.random_bool(0.05) { 77 } else { self.chance.random_range(1000..1400) };
        let order = CallRequest {
            call_type: CallType(self.chance.random_range(0..3)),
            customer: CustomerId(0),
            dest: ExchangeNumber(dest),
            dialled: DialledNumber(dialled),
            time_left: ms(left),
            advised: None,
            cut: false,
            redial: false,
        };
        let Some(seat) = self.seats.get_mut(&no) else { return };
        let call = seat.office.next_call();
        let life = seat.life;
        self.model.note(self.now, (no, life, call.0), What::Taken { until: self.now + order.time_left });
        self.with(no, |office, now, plant| office.offer(now, plant, call, order));
        let lasts = if self.chance.random_bool(0.15) { self.span(0, 150) } else { self.span(200, 3000) };
        self.after(lasts, Next::HangsUp(no, life, call));
    }

    /// What is on the way is lost; both ends are told.
    fn lose_link(&mut self, a: u16, b: u16) {
        if self.links.insert(link(a, b), None).flatten().is_none() {
            return;
        }
        self.seen.links_lost += 1;
        for (no, far) in [(a, b), (b, a)] {
            let unanswered = |line: &Line| {
                matches!(line, Line::Out { stands: false, .. } | Line::In { stands: false, .. })
            };
            let next = |w: &Self| {
                let mut ends =
                    w.lines.iter().filter(|(end, line)| (end.0, end.1) == (no, far) && unanswered(line));
                ends.next().map(|(end, _)| *end)
            };
            while let Some(end) = next(self) {
                self.lost(end, Ending::Reset, What::Withdrawn, Some(Line::Closing(end.2)));
            }
            self.with(no, |office, now, plant| office.link_down(now, plant, ExchangeNumber(far)));
        }
        let span = self.span(50, 2000);
        self.after(span, Next::Up(a, b));
    }

    /// The process of an office is gone, told to stop or killed.
    fn gone(&mut self, no: u16) {
        let Some(seat) = self.seats.remove(&no) else { return };
        self.tallies.push(seat.office.status().counters);
        self.model.note(self.now, (no, seat.life, 0), What::Killed);
        self.lines.retain(|end, _| end.0 != no);
        self.open.retain(|whose| whose.0 != no);
        self.dead_since.insert(no, self.now);
        self.others(no).into_iter().for_each(|far| self.lose_link(no, far));
        let span = self.span(100, 2500);
        self.after(span, Next::Start(no));
    }

    /// As the shell does it: what has no answer is waited for, then all is let go, then the process ends.
    fn look_at_stops(&mut self) {
        let now = self.now;
        let stopping: Vec<u16> =
            self.seats.iter().filter(|(_, seat)| seat.stopping.is_some()).map(|(no, _)| *no).collect();
        for no in stopping {
            let seat = self.seats.get_mut(&no).unwrap();
            let since = seat.stopping.unwrap_or(now);
            match seat.let_go {
                None if !seat.office.has_unanswered_calls() || now >= since + STOP_WITHIN => {
                    seat.let_go = Some(now);
                    self.with(no, |office, now, plant| office.release_all(now, plant));
                    let seat = &self.seats[&no];
                    assert_eq!(seat.office.status().pending_answers, 0, "answers owed after all was let go");
                    self.after(LINGER, Next::Gone(no));
                }
                Some(_) if !seat.office.awaits_release() => self.gone(no),
                _ => {}
            }
        }
    }

    /// What the neighbours of an office that went still hold on the trunks to it.
    fn look_at_dead(&mut self) {
        let held = |w: &Self, no: u16| -> usize {
            let seats = w.seats.iter().filter(|(other, _)| **other != no);
            let groups = seats.flat_map(|(_, seat)| seat.office.status().groups);
            let to = groups.filter(|group| group.to.0 == no);
            to.map(|group| group.seized + group.standing).sum()
        };
        for (no, since) in self.dead_since.clone() {
            let still = held(self, no);
            self.seen.held_of_dead = self.seen.held_of_dead.max(still);
            // A new life of it may hold circuits by its own right.
            if still == 0 || self.seats.contains_key(&no) && self.lives[&no] > 1 && self.fresh(no) {
                self.seen.longest_held = self.seen.longest_held.max(self.now - since);
                self.dead_since.remove(&no);
            }
        }
    }

    /// All links of an office are up again.
    fn fresh(&self, no: u16) -> bool {
        self.others(no).into_iter().all(|far| self.links[&link(no, far)].is_some())
    }

    fn trouble(&mut self) {
        if self.over() {
            return;
        }
        let again = self.span(300, 1500);
        self.after(again, Next::Trouble);
        let no = self.chance.random_range(1..=self.run.offices);
        let others = self.others(no);
        let far = others[self.chance.random_range(0..others.len())];
        match self.chance.random_range(0..10) {
            0..2 => self.lose_link(no, far),
            2..5 => {
                let until = self.now + self.span(100, 1800);
                self.hung.insert(no, until);
            }
            5..6 => self.gone(no),
            6..7 => self.act(Next::Stop(no)),
            _ => {
                let machine = self.machines[&no];
                let line = |exchange, standing, started| ExchangeEntry {
                    id: ExchangeId(exchange),
                    number: ExchangeNumber(no),
                    zone: Zone(0),
                    status: standing,
                    started,
                };
                let (now, cold) = (self.now, machine + MACHINE);
                self.machines.insert(no, cold);
                for other in 1..=self.run.offices {
                    let (first, second) = (self.span(0, 500), self.span(600, 1500));
                    self.after(
                        first,
                        Next::Lists(other, line(machine, ExchangeStatus::Draining, Duration::ZERO)),
                    );
                    self.after(second, Next::Lists(other, line(cold, ExchangeStatus::Ready, now)));
                    self.after(
                        second + ms(100),
                        Next::Lists(other, line(machine, ExchangeStatus::Gone, Duration::ZERO)),
                    );
                }
                self.model.note(now, (0, 0, 0), What::Started { exchange: no.into() });
            }
        }
    }
}
