//! The world around controllers: network, processors, directory and troubles, told things with the time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use mintstall_callapi::Offer;
use mintstall_isup::{
    Body, CauseIndicators, Cic, Deframer, Frame, Location, Message, ProtocolData, Q850, Rel, m3ua,
};
use mintstall_membership::{MemberEntry, MemberStatus, MembershipUpdate};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::Caller;
use crate::day::{Day, Fault, FaultTarget, Reports};
use crate::observer::{Observation, Observer};
use crate::processor::{ColdStart, Job, Payload, Processor};
use crate::score::Score;

/// What reaches controllers, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A controller starts; `incarnation` grows with each start.
    Start {
        office: u16,
        incarnation: u32,
    },
    /// It is killed, without a word.
    Kill {
        office: u16,
    },
    /// Its link to another exchange opens (only where the world dials), or breaks.
    LinkUp {
        office: u16,
        to: u16,
    },
    LinkDown {
        office: u16,
        to: u16,
    },
    LinkOctets {
        office: u16,
        from: u16,
        octets: Vec<u8>,
    },
    Offer {
        office: u16,
        offer: Offer,
    },
    HangUp {
        office: u16,
        call: u64,
    },
    Membership {
        office: u16,
        news: MembershipUpdate,
    },
    CircuitsInService {
        office: u16,
        to: u16,
        in_service: u16,
    },
    ProcessorReport {
        office: u16,
        rate: f64,
    },
}

/// Who opens the links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// The world, as soon as both ends can: virtual time.
    InProcess,
    /// The controllers dial, and are told apart by where they dial.
    Sockets,
}

#[derive(Debug)]
pub(crate) enum Event {
    CallerComes,
    Dials { caller: u64 },
    GivesUp { caller: u64, tries: u8 },
    HangsUp { caller: u64, tries: u8 },
    Arrives { to: u16, from: u16, round: u32, frame: Vec<u8> },
    Done { office: u16, round: u64 },
    Hand { office: u16, job: Job },
    Dial { a: u16, b: u16 },
    Tell { office: u16 },
    Report,
    Drift,
    Begins(usize),
    Ends(usize),
    Starts { office: u16 },
    Replaced { office: u16 },
    Back { a: u16, b: u16 },
}

pub(crate) struct Exchange {
    id: u32,
    region: usize,
    pub processor: Processor,
    /// Whether the controller runs, and how often it has started.
    pub running: bool,
    incarnation: u32,
    /// What of the directory it was told, and until when what it is told is on its way.
    told: u64,
    telling: Duration,
}

#[derive(Default)]
struct Wire {
    delay: Duration,
    connected: bool,
    deframer: Deframer,
    /// Frames sent before the far end was there.
    held: Vec<Vec<u8>>,
    /// What was sent before a break does not arrive after it.
    round: u32,
    last: Duration,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd {
    pub exchange: u16,
    pub number: u64,
    pub share: f64,
}

pub struct Simulation {
    pub(crate) day: Day,
    link_mode: LinkMode,
    pub(crate) length: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Slot)>>,
    sequence: u64,
    pub(crate) arrivals: Pcg64Mcg,
    pub(crate) chance: Pcg64Mcg,
    pub(crate) exchanges: Vec<Exchange>,
    groups: BTreeMap<(u16, u16), u16>,
    in_service: BTreeMap<(u16, u16), u16>,
    /// Circuits taken, as far as the wires show, by wire: only for advice.
    taken: Vec<i32>,
    /// Free circuits as the centre saw them, by wire, and when it looks again.
    stale: (Duration, Vec<i32>),
    /// By sender, then receiver.
    wires: Vec<Wire>,
    /// Releases of turned away set-ups, whose completion the controller must not see.
    swallow: BTreeSet<(u16, u16, u16)>,
    /// Planned and true calls a second, by pair, and the sums to draw one from.
    flows: Vec<(u16, u16, f64)>,
    sums: Vec<f64>,
    entries: BTreeMap<u32, (u64, MemberEntry, Duration)>,
    version: u64,
    late_by: Duration,
    cut_regions: Vec<usize>,
    broken: BTreeSet<(u16, u16)>,
    pub(crate) burst: f64,
    pub(crate) crowd: Option<Crowd>,
    pub(crate) redial_at_once: bool,
    messages_lost: f64,
    struck: BTreeMap<usize, Vec<u16>>,
    pub(crate) callers: BTreeMap<u64, Caller>,
    pub(crate) last_caller: u64,
    pub score: Score,
}

/// An event that is ordered by its time and number alone.
#[derive(Debug)]
struct Slot(Event);

impl PartialEq for Slot {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl Eq for Slot {}
impl PartialOrd for Slot {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Slot {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

fn pair(a: u16, b: u16) -> (u16, u16) {
    (a.min(b), a.max(b))
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 1e6))
}

impl Simulation {
    /// The day must have no faults of its script.
    pub fn new(day: &Day, link_mode: LinkMode) -> Self {
        let stream = |no: u64| Pcg64Mcg::seed_from_u64(day.seed.wrapping_mul(31).wrapping_add(no));
        let mut plan = stream(1);
        let offices: Vec<u16> = (1..=day.exchanges).collect();
        let pairs: Vec<(u16, u16)> = offices
            .iter()
            .flat_map(|a| offices.iter().map(move |b| (*a, *b)))
            .filter(|(a, b)| a != b)
            .collect();
        let weights: Vec<f64> = pairs.iter().map(|_| plan.random_range(0.4..1.6)).collect();
        let all: f64 = weights.iter().sum();
        let planned = pairs.iter().zip(&weights).map(|((a, b), weight)| (*a, *b, weight / all));
        let planned: Vec<(u16, u16, f64)> =
            planned.map(|(a, b, share)| (a, b, share * day.traffic.calls_per_s)).collect();
        let shares: f64 = day.call_types.iter().map(|of| of.share).sum();
        let held =
            day.call_types.iter().map(|of| of.share / shares * of.hold_s * f64::from(of.width)).sum::<f64>();
        let mut groups = BTreeMap::new();
        let rates: BTreeMap<(u16, u16), f64> = planned.iter().map(|(a, b, rate)| ((*a, *b), *rate)).collect();
        for (a, b, rate) in planned.iter().filter(|(a, b, _)| a < b) {
            let back = rates.get(&(*b, *a)).copied().unwrap_or(0.0);
            let erlangs = (rate + back) * held;
            let size = erlangs * (1.0 + day.groups.spare) + erlangs.sqrt() * day.groups.spare_root;
            if plan.random::<f64>() >= day.groups.unlinked {
                groups.insert((*a, *b), (size.round().clamp(1.0, f64::from(Cic::MAX_PER_GROUP))) as u16);
            }
        }
        let miss = day.groups.miss;
        let flows: Vec<_> = planned
            .iter()
            .map(|(a, b, rate)| (*a, *b, rate * plan.random_range(1.0 - miss..=1.0 + miss)))
            .collect();
        let work = &day.processor;
        let exchanges = offices.iter().map(|no| {
            let sum = |side: fn(&(u16, u16, f64)) -> u16| {
                planned.iter().filter(|flow| side(flow) == *no).map(|flow| flow.2).sum::<f64>()
            };
            let (out, into) = (sum(|flow| flow.0), sum(|flow| flow.1));
            let ms = out * (work.look_ms + work.set_up_ms + work.answer_ms)
                + into * (work.set_up_ms + work.release_ms);
            let true_speed = day.speeds[(usize::from(*no) - 1) % day.speeds.len()];
            Exchange {
                id: u32::from(*no) * 100,
                region: (usize::from(*no) - 1) % day.regions.len(),
                processor: Processor::new((ms / 1e3 / work.busy).max(1e-6) * true_speed),
                running: false,
                incarnation: 0,
                told: 0,
                telling: Duration::ZERO,
            }
        });
        let exchanges: Vec<Exchange> = exchanges.collect();
        let mut wires: Vec<Wire> = (0..offices.len() * offices.len()).map(|_| Wire::default()).collect();
        for (a, b) in &pairs {
            let same = exchanges[usize::from(*a) - 1].region == exchanges[usize::from(*b) - 1].region;
            let [least, most] = if same { day.network.same_ms } else { day.network.cross_ms };
            let delay = seconds((least + (most - least) * plan.random::<f64>()) / 1e3);
            wires[(usize::from(*a) - 1) * offices.len() + usize::from(*b) - 1].delay = delay;
        }
        let entry = |(no, exchange): (usize, &Exchange)| {
            let (office, region) = (no as u16 + 1, exchange.region as u8);
            let entry = MemberEntry {
                exchange: exchange.id,
                office,
                region,
                status: MemberStatus::Ready,
                age_ms: None,
            };
            (exchange.id, (1, entry, Duration::ZERO))
        };
        let mut simulation = Self {
            entries: exchanges.iter().enumerate().map(entry).collect(),
            length: seconds(day.length_s),
            day: day.clone(),
            link_mode,
            queue: BinaryHeap::new(),
            sequence: 0,
            arrivals: stream(2),
            chance: stream(3),
            exchanges,
            in_service: groups.clone(),
            groups,
            taken: vec![0; offices.len() * offices.len()],
            stale: (Duration::ZERO, Vec::new()),
            wires,
            swallow: BTreeSet::new(),
            flows,
            sums: Vec::new(),
            version: 1,
            late_by: Duration::ZERO,
            cut_regions: Vec::new(),
            broken: BTreeSet::new(),
            burst: 1.0,
            crowd: None,
            redial_at_once: false,
            messages_lost: 0.0,
            struck: BTreeMap::new(),
            callers: BTreeMap::new(),
            last_caller: 0,
            score: Score::default(),
        };
        simulation.sum_flows();
        if link_mode == LinkMode::InProcess {
            offices
                .iter()
                .for_each(|office| simulation.at(Duration::ZERO, Event::Starts { office: *office }));
        }
        // Links and groups need a moment to open.
        simulation.at(seconds(1.5), Event::CallerComes);
        for (no, fault) in day.faults.iter().enumerate() {
            simulation.at(seconds(fault.at_s), Event::Begins(no));
            simulation.at(seconds(fault.at_s + fault.for_s), Event::Ends(no));
        }
        if day.traffic.drift_s > 0.0 {
            simulation.at(seconds(day.traffic.drift_s), Event::Drift);
        }
        if day.processor.reports != Reports::None {
            simulation.at(Duration::ZERO, Event::Report);
        }
        simulation
    }

    /// Circuits between two exchanges.
    pub fn groups(&self) -> &BTreeMap<(u16, u16), u16> {
        &self.groups
    }

    pub fn day(&self) -> &Day {
        &self.day
    }

    pub(crate) fn at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, Slot(event))));
    }

    pub fn next_event_time(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Whether all arrivals are over and every caller has left.
    pub fn is_finished(&self, now: Duration) -> bool {
        now >= self.length && self.callers.is_empty()
    }

    /// Lets the next thing happen, if it is due; it happens at its own time.
    pub fn advance(&mut self, now: Duration, w: &mut dyn Observer, actions: &mut Vec<Action>) -> bool {
        if self.next_event_time().is_none_or(|at| at > now) {
            return false;
        }
        let Some(Reverse((at, _, Slot(event)))) = self.queue.pop() else { return false };
        match event {
            Event::CallerComes => self.caller_comes(at),
            Event::Dials { caller } => self.dials(at, caller),
            Event::GivesUp { caller, tries } => self.gives_up(at, caller, tries, w, actions),
            Event::HangsUp { caller, tries } => self.hangs_up(at, caller, tries, w, actions),
            Event::Arrives { to, from, round, frame } => {
                if self.wire(from, to).round == round {
                    self.arrives(at, to, from, frame, w, actions);
                }
            }
            Event::Done { office, round } => self.done_work(at, office, round, w, actions),
            Event::Hand { office, job } => self.hand(at, office, job, w, actions),
            Event::Dial { a, b } => {
                if self.usable(a, b) && !self.wire(a, b).connected {
                    for (office, to) in [(a, b), (b, a)] {
                        self.wire(office, to).connected = true;
                        w.observe(at, Observation::LinkUp { office, to });
                        actions.push(Action::LinkUp { office, to });
                    }
                }
            }
            Event::Tell { office } => self.tell(at, office, w, actions),
            Event::Report => self.report(at, actions),
            Event::Drift => {
                self.drift();
                self.at(at + seconds(self.day.traffic.drift_s), Event::Drift);
            }
            Event::Begins(no) => self.begins(at, no, w, actions),
            Event::Ends(no) => self.ends(at, no, w, actions),
            Event::Starts { office } => self.starts(at, office, w, actions),
            Event::Replaced { office } => self.replaced(at, office, w, actions),
            Event::Back { a, b } => {
                self.set_circuits(a, b, self.groups.get(&(a, b)).copied().unwrap_or(0), actions)
            }
        }
        true
    }

    // Traffic.

    pub(crate) fn pair(&self, draw: f64) -> (u16, u16) {
        let wanted = draw * self.sums.last().copied().unwrap_or(0.0);
        let at = self.sums.partition_point(|sum| *sum <= wanted).min(self.flows.len() - 1);
        (self.flows[at].0, self.flows[at].1)
    }

    fn sum_flows(&mut self) {
        let add = |sum: &mut f64, flow: &(u16, u16, f64)| {
            *sum += flow.2;
            Some(*sum)
        };
        self.sums = self.flows.iter().scan(0.0, add).collect();
    }

    fn drift(&mut self) {
        let by = self.day.traffic.drift;
        for flow in &mut self.flows {
            flow.2 *= 1.0 + by * (self.arrivals.random::<f64>() * 2.0 - 1.0);
        }
        self.sum_flows();
    }

    /// The tandem that had most room at the centre's last look, two seconds apart.
    pub(crate) fn advice(&mut self, now: Duration, from: u16, dest: u16) -> Option<u16> {
        if now >= self.stale.0 {
            let mut room = vec![i32::MIN; self.taken.len()];
            for ((a, b), size) in &self.in_service {
                let (at, back) = (self.wire_at(*a, *b), self.wire_at(*b, *a));
                room[at] = i32::from(*size) - self.taken[at];
                room[back] = room[at];
            }
            self.stale = (now + seconds(2.0), room);
        }
        let count = self.exchanges.len();
        let first_legs = &self.stale.1[(usize::from(from) - 1) * count..usize::from(from) * count];
        // Free circuits are the same seen from either end, so the second legs are the row of the destination.
        let second_legs = &self.stale.1[(usize::from(dest) - 1) * count..usize::from(dest) * count];
        let rooms = first_legs.iter().zip(second_legs).map(|(first, second)| *first.min(second));
        let tandems = (1..=self.day.exchanges).zip(rooms).filter(|(no, _)| *no != from && *no != dest);
        tandems.filter(|(_, room)| *room > i32::MIN).max_by_key(|(_, room)| *room).map(|(tandem, _)| tandem)
    }

    // The network.

    fn wire_at(&self, from: u16, to: u16) -> usize {
        (usize::from(from) - 1) * self.exchanges.len() + usize::from(to) - 1
    }

    fn wire(&mut self, from: u16, to: u16) -> &mut Wire {
        let at = self.wire_at(from, to);
        &mut self.wires[at]
    }

    fn usable(&self, a: u16, b: u16) -> bool {
        let (one, other) = (&self.exchanges[usize::from(a) - 1], &self.exchanges[usize::from(b) - 1]);
        let cut = |region: &usize| (one.region == *region) != (other.region == *region);
        one.running
            && other.running
            && !self.broken.contains(&pair(a, b))
            && !self.cut_regions.iter().any(cut)
    }

    /// A controller opened its connection for another exchange.
    pub fn link_connected(
        &mut self,
        now: Duration,
        office: u16,
        to: u16,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if !self.usable(office, to) {
            return actions.push(Action::LinkDown { office, to });
        }
        self.wire(office, to).connected = true;
        w.observe(now, Observation::LinkUp { office, to });
        let held = std::mem::take(&mut self.wire(to, office).held);
        held.into_iter().for_each(|frame| self.on_its_way(now, to, office, frame));
    }

    /// It closed it, or died.
    pub fn link_disconnected(
        &mut self,
        now: Duration,
        office: u16,
        to: u16,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if self.wire(office, to).connected {
            self.break_link(now, office, to, w, actions);
        }
    }

    fn break_link(&mut self, now: Duration, a: u16, b: u16, w: &mut dyn Observer, actions: &mut Vec<Action>) {
        for (office, to) in [(a, b), (b, a)] {
            let wire = self.wire(office, to);
            wire.round += 1;
            wire.deframer = Deframer::default();
            wire.held.clear();
            let connected = std::mem::take(&mut wire.connected);
            self.exchanges[usize::from(to) - 1].processor.discard_frames_from(office);
            if connected {
                w.observe(now, Observation::LinkDown { office, to });
                if self.exchanges[usize::from(office) - 1].running {
                    actions.push(Action::LinkDown { office, to });
                }
            }
        }
        self.swallow.retain(|(from, to, _)| pair(*from, *to) != pair(a, b));
    }

    fn dial_later(&mut self, now: Duration, a: u16, b: u16) {
        if self.link_mode == LinkMode::InProcess {
            let wait = seconds(self.chance.random_range(0.05..0.25));
            self.at(now + wait, Event::Dial { a, b });
        }
    }

    fn dial_all(&mut self, now: Duration, among: impl Fn(u16, u16) -> bool) {
        let pairs: Vec<_> = self.groups.keys().copied().filter(|(a, b)| among(*a, *b)).collect();
        pairs.into_iter().for_each(|(a, b)| self.dial_later(now, a, b));
    }

    /// A controller sent octets on its link to another exchange.
    pub fn on_controller_octets(
        &mut self,
        now: Duration,
        office: u16,
        to: u16,
        octets: &[u8],
        w: &mut dyn Observer,
    ) {
        if !self.wire(office, to).connected {
            return;
        }
        let mut deframer = std::mem::take(&mut self.wire(office, to).deframer);
        deframer.push(octets);
        while let Ok(Some(frame)) = deframer.next() {
            w.observe(now, Observation::FrameSent { office, to, frame });
            if isup(frame).is_some_and(|(kind, _)| kind == IAM) {
                // Sending it costs the own processor too; looking at a call that is refused costs only the look.
                let work = self.day.processor.set_up_ms / 1e3;
                let job = Job { work, payload: Payload::Nothing, set_up: None };
                self.exchanges[usize::from(office) - 1].processor.push(job, false);
                self.keep_working(now, office);
            }
            self.on_its_way(now, office, to, frame.to_vec());
        }
        self.wire(office, to).deframer = deframer;
    }

    fn on_its_way(&mut self, now: Duration, from: u16, to: u16, frame: Vec<u8>) {
        const HELD: usize = 64;
        if !self.wire(to, from).connected {
            let wire = self.wire(from, to);
            if wire.held.len() < HELD {
                wire.held.push(frame);
            }
            return;
        }
        if let Some((kind, cic)) = isup(&frame) {
            match kind {
                PEER if self.chance.random::<f64>() < self.messages_lost => return,
                RLC if self.swallow.remove(&(from, to, cic)) => return,
                IAM | RLC => {
                    let (a, b) = pair(from, to);
                    let at = self.wire_at(a, b);
                    self.taken[at] += if kind == IAM { 1 } else { -1 };
                }
                _ => {}
            }
        }
        let jitter = 1.0 + self.day.network.jitter * self.chance.random::<f64>();
        let wire = self.wire(from, to);
        let at = (now + wire.delay.mul_f64(jitter)).max(wire.last);
        wire.last = at;
        let round = wire.round;
        self.at(at, Event::Arrives { to, from, round, frame });
    }

    fn arrives(
        &mut self,
        now: Duration,
        to: u16,
        from: u16,
        frame: Vec<u8>,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let work = &self.day.processor;
        let (set_up, answer, release) = (work.set_up_ms / 1e3, work.answer_ms / 1e3, work.release_ms / 1e3);
        let (full, ahead) = (work.full_wait_ms / 1e3, work.answers_first);
        let processor = &mut self.exchanges[usize::from(to) - 1].processor;
        let frame_of = |frame| Payload::Frame { from, frame };
        match isup(&frame) {
            Some((IAM, cic)) => {
                w.observe(now, Observation::SetUpArrived { office: to, from });
                if processor.wait(now) > full && !processor.hung {
                    return self.turn_away(now, to, from, cic);
                }
                let job = Job { work: set_up, payload: frame_of(frame), set_up: Some((from, cic)) };
                processor.push(job, false);
            }
            Some((kind, cic)) => {
                let work = match kind {
                    ANM => answer,
                    REL => release,
                    _ => 0.0,
                };
                let behind = match kind {
                    // They speak of many circuits, and must not overtake a set-up on any of them.
                    GRS | GRA | CGB => processor.has_set_up_from(from),
                    _ => processor.has_set_up((from, cic)),
                };
                if work == 0.0 && !behind && !processor.hung {
                    return self.deliver(now, to, from, frame, w, actions);
                }
                processor.push(Job { work, payload: frame_of(frame), set_up: None }, ahead && !behind);
            }
            None => return self.deliver(now, to, from, frame, w, actions),
        }
        self.keep_working(now, to);
    }

    /// A full processor turns a set-up away itself; its controller never sees it.
    fn turn_away(&mut self, now: Duration, to: u16, from: u16, cic: u16) {
        let plan = &self.day.processor;
        let (work, full, tells) = (plan.turn_away_ms / 1e3, plan.full_wait_ms / 1e3, plan.tells_wait);
        let processor = &mut self.exchanges[usize::from(to) - 1].processor;
        let wait = (processor.wait(now) - full * 0.7).max(0.1);
        processor.push(Job { work, payload: Payload::Nothing, set_up: None }, false);
        self.swallow.insert((from, to, cic));
        let cause = CauseIndicators::new(Location::Local, Q850::Congestion);
        let rel =
            Rel { congestion_wait: tells.then(|| seconds(wait)), congestion: Some(2), ..Rel::new(cause) };
        let (mut user, mut frame) = (Vec::new(), Vec::new());
        Message::new(Cic(cic), Body::Rel(rel)).write(&mut user);
        let (opc, dpc) = (u32::from(to), u32::from(from));
        let data =
            ProtocolData { opc, dpc, service: m3ua::ISUP, network: 2, priority: 0, sls: 0, user: &user };
        Frame::Data(data).write(&mut frame);
        self.on_its_way(now, to, from, frame);
        self.keep_working(now, to);
    }

    fn deliver(
        &mut self,
        now: Duration,
        office: u16,
        from: u16,
        frame: Vec<u8>,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if self.exchanges[usize::from(office) - 1].running && self.wire(office, from).connected {
            w.observe(now, Observation::FrameReceived { office, from, frame: &frame });
            actions.push(Action::LinkOctets { office, from, octets: frame });
        }
    }

    // Processors.

    fn keep_working(&mut self, now: Duration, office: u16) {
        let processor = &mut self.exchanges[usize::from(office) - 1].processor;
        if let Some(span) = processor.start(now) {
            let round = processor.round;
            self.at(now + span, Event::Done { office, round });
        }
    }

    fn done_work(
        &mut self,
        now: Duration,
        office: u16,
        round: u64,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let processor = &mut self.exchanges[usize::from(office) - 1].processor;
        if processor.round != round || processor.hung {
            return;
        }
        let job = processor.finish();
        job.into_iter().for_each(|job| self.hand(now, office, job, w, actions));
        self.keep_working(now, office);
    }

    fn hand(
        &mut self,
        now: Duration,
        office: u16,
        job: Job,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        match job.payload {
            Payload::Frame { from, frame } => self.deliver(now, office, from, frame, w, actions),
            Payload::Offer { caller, offer } => self.deliver_offer(now, caller, offer, w, actions),
            Payload::Nothing => {}
        }
    }

    /// A try comes to its own exchange's processor. `false`: it is full, or nothing runs there.
    pub(crate) fn enqueue_attempt(&mut self, now: Duration, from: u16, caller: u64, offer: Offer) -> bool {
        let plan = &self.day.processor;
        let (work, full) = (plan.look_ms / 1e3, plan.full_wait_ms / 1e3);
        let exchange = &mut self.exchanges[usize::from(from) - 1];
        if !exchange.running || exchange.processor.wait(now) > full {
            return false;
        }
        exchange.processor.push(Job { work, payload: Payload::Offer { caller, offer }, set_up: None }, false);
        self.keep_working(now, from);
        true
    }

    fn report(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let plan = &self.day.processor;
        for (no, exchange) in self.exchanges.iter().enumerate().filter(|(_, exchange)| exchange.running) {
            let wait = exchange.processor.wait(now);
            let room = (1.0 - wait * 1e3 / plan.full_wait_ms).clamp(0.05, 1.0);
            let rate = exchange.processor.pace(now) / (plan.set_up_ms / 1e3) * room;
            actions.push(Action::ProcessorReport { office: no as u16 + 1, rate });
        }
        if now < self.length {
            self.at(now + seconds(0.5), Event::Report);
        }
    }

    // The directory.

    fn directory(&mut self, now: Duration, entry: MemberEntry, started: Duration) {
        self.version += 1;
        self.entries.insert(entry.exchange, (self.version, entry, started));
        for office in 1..=self.day.exchanges {
            let [least, most] = self.day.directory.late_ms;
            let late = seconds((least + (most - least) * self.chance.random::<f64>()) / 1e3) + self.late_by;
            let exchange = &mut self.exchanges[usize::from(office) - 1];
            let at = (now + late).max(exchange.telling);
            exchange.telling = at;
            if exchange.running {
                self.at(at, Event::Tell { office });
            }
        }
    }

    fn tell(&mut self, now: Duration, office: u16, w: &mut dyn Observer, actions: &mut Vec<Action>) {
        let exchange = &self.exchanges[usize::from(office) - 1];
        if !exchange.running {
            return;
        }
        let held = exchange.told;
        let since = (held > 0).then_some(held);
        let aged = |(_, entry, started): &(u64, MemberEntry, Duration)| {
            let age = (!started.is_zero()).then(|| now.saturating_sub(*started).as_millis() as u64);
            MemberEntry { age_ms: age, ..*entry }
        };
        let entries: Vec<MemberEntry> =
            self.entries.values().filter(|entry| entry.0 > held).map(aged).collect();
        if entries.is_empty() {
            return;
        }
        w.observe(
            now,
            Observation::MembershipDelivered { office, is_full: since.is_none(), entries: &entries },
        );
        let news = MembershipUpdate { version: self.version, since, entries };
        self.exchanges[usize::from(office) - 1].told = self.version;
        actions.push(Action::Membership { office, news });
    }

    /// A controller turned a version down: it is told all from the start.
    pub fn resend_membership(
        &mut self,
        now: Duration,
        office: u16,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if let Some(exchange) = self.exchanges.get_mut(usize::from(office).wrapping_sub(1)) {
            exchange.told = 0;
            // A whole list of the version held would be turned down as old.
            self.version += 1;
            self.tell(now, office, w, actions);
        }
    }

    fn standing(&mut self, now: Duration, office: u16, status: MemberStatus, started: Duration) {
        let exchange = &self.exchanges[usize::from(office) - 1];
        let entry = MemberEntry {
            exchange: exchange.id,
            office,
            region: exchange.region as u8,
            status,
            age_ms: None,
        };
        self.directory(now, entry, started);
    }

    // Troubles.

    /// All of them die before any of their neighbours is told of it.
    fn kill(&mut self, now: Duration, offices: &[u16], w: &mut dyn Observer, actions: &mut Vec<Action>) {
        let running = |office: &u16| self.exchanges[usize::from(*office) - 1].running;
        let dying: Vec<u16> = offices.iter().copied().filter(running).collect();
        for office in &dying {
            self.exchanges[usize::from(*office) - 1].running = false;
            w.observe(now, Observation::Killed { office: *office });
            actions.push(Action::Kill { office: *office });
        }
        for office in dying {
            let others: Vec<_> = (1..=self.day.exchanges).filter(|other| *other != office).collect();
            others.into_iter().for_each(|other| self.break_link(now, office, other, w, actions));
            self.callers_of_dead(now, office);
        }
    }

    fn starts(&mut self, now: Duration, office: u16, w: &mut dyn Observer, actions: &mut Vec<Action>) {
        let exchange = &mut self.exchanges[usize::from(office) - 1];
        if exchange.running {
            return;
        }
        exchange.incarnation += 1;
        actions.push(Action::Start { office, incarnation: exchange.incarnation * 2 });
        if self.link_mode == LinkMode::InProcess {
            self.controller_ready(now, office, w, actions);
        }
    }

    /// A controller that was started takes calls from now on.
    pub fn controller_ready(
        &mut self,
        now: Duration,
        office: u16,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let exchange = &mut self.exchanges[usize::from(office) - 1];
        exchange.running = true;
        // It comes back with its last list, told anew as a whole.
        exchange.told = 0;
        self.version += u64::from(exchange.incarnation > 1);
        w.observe(now, Observation::Started { office });
        self.tell(now, office, w, actions);
        for (a, b) in self.in_service.keys().copied().filter(|(a, b)| *a == office || *b == office) {
            let (to, in_service) = (if a == office { b } else { a }, self.in_service[&(a, b)]);
            if in_service < self.groups[&(a, b)] {
                actions.push(Action::CircuitsInService { office, to, in_service });
            }
        }
        self.dial_all(now, |a, b| a == office || b == office);
    }

    fn cold(&mut self, now: Duration, office: u16, w: &mut dyn Observer) {
        let rules = &self.day.rules;
        let (share, warm_up) = (rules.cold_share, Duration::from_millis(rules.warm_up_ms));
        let processor = &mut self.exchanges[usize::from(office) - 1].processor;
        processor.drain();
        (processor.hung, processor.slowdown, processor.ageing) = (false, 1.0, None);
        processor.cold = Some(ColdStart { started: now, share, warm_up });
        let set_ups = processor.speed / (self.day.processor.set_up_ms / 1e3);
        w.observe(now, Observation::ColdStart { office, set_ups });
    }

    /// The old machine stops; the new one starts in its place.
    fn replaced(&mut self, now: Duration, office: u16, w: &mut dyn Observer, actions: &mut Vec<Action>) {
        self.kill(now, &[office], w, actions);
        self.standing(now, office, MemberStatus::Gone, Duration::ZERO);
        self.exchanges[usize::from(office) - 1].id += 1;
        self.cold(now, office, w);
        self.standing(now, office, MemberStatus::Ready, now);
        self.starts(now, office, w, actions);
    }

    fn set_circuits(&mut self, a: u16, b: u16, in_service: u16, actions: &mut Vec<Action>) {
        self.in_service.insert((a, b), in_service);
        for (office, to) in [(a, b), (b, a)] {
            if self.exchanges[usize::from(office) - 1].running {
                actions.push(Action::CircuitsInService { office, to, in_service });
            }
        }
    }

    fn strikes(&mut self, no: usize, which: &FaultTarget) -> Vec<u16> {
        let struck = match which {
            FaultTarget::Listed(these) => these.clone(),
            FaultTarget::Share { share } => {
                let mut all: Vec<u16> = (1..=self.day.exchanges).collect();
                let count = (share * f64::from(self.day.exchanges)).round() as usize;
                let draw = |chance: &mut Pcg64Mcg, all: &mut Vec<u16>| {
                    all.swap_remove(chance.random_range(0..all.len()))
                };
                (0..count.min(all.len())).map(|_| draw(&mut self.chance, &mut all)).collect()
            }
        };
        self.struck.insert(no, struck.clone());
        struck
    }

    fn crossing(&self, region: usize) -> Vec<(u16, u16)> {
        let inside = |no: u16| self.exchanges[usize::from(no) - 1].region == region;
        self.groups.keys().copied().filter(|(a, b)| inside(*a) != inside(*b)).collect()
    }

    fn begins(&mut self, now: Duration, no: usize, w: &mut dyn Observer, actions: &mut Vec<Action>) {
        let fault = self.day.faults[no].clone();
        w.observe(now, Observation::Fault { name: fault.what.name(), begins: true });
        match fault.what {
            Fault::Slow { exchanges, factor } => {
                for office in self.strikes(no, &exchanges) {
                    self.exchanges[usize::from(office) - 1].processor.slowdown = factor;
                }
            }
            Fault::Ageing { exchanges, factor } => {
                let until = now + seconds(fault.for_s);
                for office in self.strikes(no, &exchanges) {
                    self.exchanges[usize::from(office) - 1].processor.ageing = Some((now, until, factor));
                }
            }
            Fault::Hang { exchanges } => {
                for office in self.strikes(no, &exchanges) {
                    self.exchanges[usize::from(office) - 1].processor.hung = true;
                }
            }
            Fault::Burst { factor } => self.burst = factor,
            Fault::Crowd { exchange, number, share, .. } => {
                self.crowd = Some(Crowd { exchange, number, share })
            }
            Fault::RegionCut { region } => {
                self.cut_regions.push(region);
                for (a, b) in self.crossing(region) {
                    self.break_link(now, a, b, w, actions);
                }
            }
            Fault::CircuitsLost { region, keep } => {
                for (a, b) in self.crossing(region) {
                    let left = (f64::from(self.groups[&(a, b)]) * keep.clamp(0.0, 1.0)).round() as u16;
                    self.set_circuits(a, b, left, actions);
                }
            }
            Fault::MassCut { share } => {
                for (a, b) in self.groups.keys().copied().collect::<Vec<_>>() {
                    let left = (f64::from(self.groups[&(a, b)]) * (1.0 - share)).round() as u16;
                    self.set_circuits(a, b, left.min(self.in_service[&(a, b)]), actions);
                    self.at(now + seconds(0.3), Event::Back { a, b });
                }
            }
            Fault::Replaced { exchanges, drain_s } => {
                for (turn, office) in self.strikes(no, &exchanges).into_iter().enumerate() {
                    self.standing(now, office, MemberStatus::Draining, Duration::ZERO);
                    self.at(now + seconds(drain_s + 3.0 * turn as f64), Event::Replaced { office });
                }
            }
            Fault::MassRestart { exchanges } => {
                let struck = self.strikes(no, &exchanges);
                self.kill(now, &struck, w, actions);
                for office in struck {
                    self.exchanges[usize::from(office) - 1].processor.drain();
                    self.standing(now, office, MemberStatus::Gone, Duration::ZERO);
                }
            }
            Fault::ControllersKilled { exchanges } => {
                let struck = self.strikes(no, &exchanges);
                self.kill(now, &struck, w, actions);
            }
            Fault::DirectoryLate { by_ms } => self.late_by = seconds(by_ms / 1e3),
            Fault::MessagesLost { share } => self.messages_lost = share,
            Fault::RedialAtOnce => self.redial_at_once = true,
            Fault::LinkBreaks { between: [a, b] } => {
                self.broken.insert(pair(a, b));
                self.break_link(now, a, b, w, actions);
            }
        }
    }

    fn ends(&mut self, now: Duration, no: usize, w: &mut dyn Observer, actions: &mut Vec<Action>) {
        let fault = self.day.faults[no].clone();
        w.observe(now, Observation::Fault { name: fault.what.name(), begins: false });
        let struck = self.struck.remove(&no).unwrap_or_default();
        match fault.what {
            Fault::Slow { .. } | Fault::Ageing { .. } => {
                for office in struck {
                    let processor = &mut self.exchanges[usize::from(office) - 1].processor;
                    (processor.slowdown, processor.ageing) = (1.0, None);
                }
            }
            Fault::Hang { .. } => {
                for office in struck {
                    let processor = &mut self.exchanges[usize::from(office) - 1].processor;
                    processor.hung = false;
                    for job in processor.drain() {
                        self.at(now, Event::Hand { office, job });
                    }
                }
            }
            Fault::Burst { .. } => self.burst = 1.0,
            Fault::Crowd { .. } => self.crowd = None,
            Fault::RegionCut { region } => {
                self.cut_regions.retain(|cut| *cut != region);
                self.crossing(region).into_iter().for_each(|(a, b)| self.dial_later(now, a, b));
            }
            Fault::CircuitsLost { region, .. } => {
                for (a, b) in self.crossing(region) {
                    self.set_circuits(a, b, self.groups[&(a, b)], actions);
                }
            }
            Fault::MassRestart { .. } => {
                for office in struck {
                    self.cold(now, office, w);
                    self.starts(now, office, w, actions);
                    self.standing(now, office, MemberStatus::Ready, now);
                }
            }
            Fault::ControllersKilled { .. } => {
                struck.into_iter().for_each(|office| self.starts(now, office, w, actions))
            }
            Fault::DirectoryLate { .. } => self.late_by = Duration::ZERO,
            Fault::MessagesLost { .. } => self.messages_lost = 0.0,
            Fault::RedialAtOnce => self.redial_at_once = false,
            Fault::LinkBreaks { between: [a, b] } => {
                self.broken.remove(&pair(a, b));
                self.dial_later(now, a, b);
            }
            Fault::MassCut { .. } | Fault::Replaced { .. } => {}
        }
    }

    /// A controller ended by itself, which nothing here asked of it; it is started again.
    pub fn controller_crashed(
        &mut self,
        now: Duration,
        office: u16,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        self.kill(now, &[office], w, actions);
        actions.retain(|action| *action != Action::Kill { office });
        self.at(now + seconds(0.5), Event::Starts { office });
    }
}

const IAM: u8 = 0x01;
const ANM: u8 = 0x09;
const REL: u8 = 0x0c;
const RLC: u8 = 0x10;
const GRS: u8 = 0x17;
const GRA: u8 = 0x29;
const CGB: u8 = 0x18;
const PEER: u8 = mintstall_isup::national::PEER_MESSAGE;

/// The type and circuit of the ISUP message in a frame, without reading all of it.
fn isup(frame: &[u8]) -> Option<(u8, u16)> {
    match Frame::read(frame) {
        Ok(Frame::Data(ProtocolData { service: m3ua::ISUP, user: [low, high, kind, ..], .. })) => {
            Some((*kind, u16::from_le_bytes([*low, *high]) & Cic::MAX))
        }
        _ => None,
    }
}
