//! Event-driven simulation of a day: network, processors, directory and faults. Each input comes with the time.
//! `callers.rs` holds the subscribers' part of it.

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
use crate::day::{CallTypePlan, Day, Fault, FaultTarget, Reports};
use crate::observer::{Observation, Observer};
use crate::processor::{ColdStart, Job, Payload, Processor};
use crate::score::Score;

/// What happens to a controller. The driver of the simulation carries the actions out in the order of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The controller starts; `incarnation` grows with each start.
    Start { exchange_number: u16, incarnation: u32 },
    /// The controller is killed without notice.
    Kill { exchange_number: u16 },
    /// The controller's link to another exchange opens; only with [`LinkMode::InProcess`].
    LinkUp { exchange_number: u16, to: u16 },
    /// The controller's link to another exchange is lost.
    LinkDown { exchange_number: u16, to: u16 },
    /// The controller receives octets on a link.
    LinkOctets { exchange_number: u16, from: u16, octets: Vec<u8> },
    /// A caller's call is offered to the controller.
    Offer { exchange_number: u16, offer: Offer },
    /// The caller of a call hangs up.
    HangUp { exchange_number: u16, call: u64 },
    /// The controller receives a membership update.
    Membership { exchange_number: u16, update: MembershipUpdate },
    /// The number of circuits in service in a trunk group has changed.
    CircuitsInService { exchange_number: u16, to: u16, in_service: u16 },
    /// The exchange's processor reports how many set-ups it accepts a second.
    ProcessorReport { exchange_number: u16, rate: f64 },
}

/// Who opens the links between exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// The simulation opens a link as soon as both ends are able to, in virtual time.
    InProcess,
    /// The controllers connect over sockets. The address that a connection goes to identifies both ends.
    Sockets,
}

#[derive(Debug)]
pub(crate) enum Event {
    NewCaller,
    Attempt { caller: u64 },
    GivesUp { caller: u64, attempt: u8 },
    HangsUp { caller: u64, attempt: u8 },
    FrameArrives { to: u16, from: u16, epoch: u32, frame: Vec<u8> },
    JobDone { exchange_number: u16, generation: u64 },
    DeliverJob { exchange_number: u16, job: Job },
    ConnectLink { a: u16, b: u16 },
    SendMembership { exchange_number: u16 },
    ProcessorReports,
    TrafficDrift,
    FaultBegins(usize),
    FaultEnds(usize),
    StartController { exchange_number: u16 },
    ReplaceMachine { exchange_number: u16 },
    RestoreCircuits { a: u16, b: u16 },
}

pub(crate) struct Exchange {
    /// The exchange's ID in the membership list. It grows by 1 when the machine is replaced.
    id: u32,
    region: usize,
    pub processor: Processor,
    /// Whether the controller is running.
    pub running: bool,
    /// How often the controller has been started.
    incarnation: u32,
    /// Version of the last membership update that the controller received; 0 if none.
    delivered_version: u64,
    /// Arrival time of the last membership update sent. Updates don't overtake each other.
    last_update_arrival: Duration,
}

/// One direction of the link between two exchanges.
#[derive(Default)]
struct LinkDirection {
    delay: Duration,
    /// Whether the sender's end is open.
    connected: bool,
    /// Splits the sender's octets into frames.
    deframer: Deframer,
    /// Frames sent before the receiver's end was open.
    held_frames: Vec<Vec<u8>>,
    /// Counts link losses, so that frames sent before a loss don't arrive after it.
    epoch: u32,
    /// Arrival time of the last frame. Frames don't overtake each other.
    last_arrival: Duration,
}

/// The [`Fault::Crowd`] in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd {
    pub exchange: u16,
    pub number: u64,
    pub share: f64,
}

/// State of a simulated day. Pairs of exchanges that aren't directed have the lower number first.
pub struct Simulation {
    pub(crate) day: Day,
    link_mode: LinkMode,
    pub(crate) length: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, QueuedEvent)>>,
    sequence: u64,
    /// Draws the callers and their traffic.
    pub(crate) arrival_rng: Pcg64Mcg,
    /// Draws everything else after the start.
    pub(crate) rng: Pcg64Mcg,
    pub(crate) exchanges: Vec<Exchange>,
    /// Circuits of each trunk group.
    groups: BTreeMap<(u16, u16), u16>,
    /// Circuits in service of each trunk group.
    in_service: BTreeMap<(u16, u16), u16>,
    /// Calls in progress in each group as counted from IAM and RLC frames, at the index of the link direction from the
    /// lower number. Used only for the advised tandem.
    circuits_in_use: Vec<i32>,
    /// When the free circuits are next determined for the advised tandem, and the last result by link direction.
    free_circuits: (Duration, Vec<i32>),
    /// By sender, then receiver; see `direction_index`.
    link_directions: Vec<LinkDirection>,
    /// Sender, receiver and circuit of the RLCs that confirm the release of a set-up that a full processor rejected.
    /// The rejecting exchange's controller must not see them.
    hidden_release_completes: BTreeSet<(u16, u16, u16)>,
    /// Actual calls a second by origin and destination.
    flows: Vec<(u16, u16, f64)>,
    /// Cumulative sums of the calls a second in `flows`, from which a pair is drawn.
    cumulative_rates: Vec<f64>,
    /// The directory's entries by exchange ID: version of the last change, entry, start time of the processor (zero if
    /// the processor started before the day).
    entries: BTreeMap<u32, (u64, MemberEntry, Duration)>,
    version: u64,
    /// Additional delay of the directory's updates due to a fault.
    directory_delay: Duration,
    /// Regions whose links to the others are lost.
    cut_regions: Vec<usize>,
    broken_links: BTreeSet<(u16, u16)>,
    /// Factor by which a fault raises the rate of new callers.
    pub(crate) arrival_factor: f64,
    pub(crate) crowd: Option<Crowd>,
    pub(crate) redial_at_once: bool,
    /// Share of the messages between controllers that is lost.
    message_loss_share: f64,
    /// Affected exchanges by index of the fault in the script.
    affected: BTreeMap<usize, Vec<u16>>,
    pub(crate) callers: BTreeMap<u64, Caller>,
    pub(crate) last_caller_id: u64,
    pub score: Score,
}

/// An event in the queue. All compare equal, so that the queue is ordered by time and sequence number alone.
#[derive(Debug)]
struct QueuedEvent(Event);

impl PartialEq for QueuedEvent {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

/// The pair with the lower number first.
fn pair(a: u16, b: u16) -> (u16, u16) {
    (a.min(b), a.max(b))
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 1e6))
}

impl Simulation {
    /// The day must have no [`Day::validation_errors`].
    pub fn new(day: &Day, link_mode: LinkMode) -> Self {
        let stream = |number: u64| Pcg64Mcg::seed_from_u64(day.seed.wrapping_mul(31).wrapping_add(number));
        let mut setup_rng = stream(1);
        let exchange_numbers: Vec<u16> = (1..=day.exchanges).collect();
        let pairs: Vec<(u16, u16)> = exchange_numbers
            .iter()
            .flat_map(|a| exchange_numbers.iter().map(move |b| (*a, *b)))
            .filter(|(a, b)| a != b)
            .collect();
        let weights: Vec<f64> = pairs.iter().map(|_| setup_rng.random_range(0.4..1.6)).collect();
        let total_weight: f64 = weights.iter().sum();
        let planned = pairs.iter().zip(&weights).map(|((a, b), weight)| (*a, *b, weight / total_weight));
        let planned: Vec<(u16, u16, f64)> =
            planned.map(|(a, b, share)| (a, b, share * day.traffic.calls_per_s)).collect();
        let total_share: f64 = day.call_types.iter().map(|call_type| call_type.share).sum();
        let circuit_seconds_of = |call_type: &CallTypePlan| {
            call_type.share / total_share * call_type.hold_s * f64::from(call_type.width)
        };
        let circuit_seconds = day.call_types.iter().map(circuit_seconds_of).sum::<f64>();
        let mut groups = BTreeMap::new();
        let rates: BTreeMap<(u16, u16), f64> = planned.iter().map(|(a, b, rate)| ((*a, *b), *rate)).collect();
        for (a, b, rate) in planned.iter().filter(|(a, b, _)| a < b) {
            let reverse_rate = rates.get(&(*b, *a)).copied().unwrap_or(0.0);
            let erlangs = (rate + reverse_rate) * circuit_seconds;
            let size = erlangs * (1.0 + day.groups.spare) + erlangs.sqrt() * day.groups.spare_root;
            if setup_rng.random::<f64>() >= day.groups.unlinked {
                groups.insert((*a, *b), (size.round().clamp(1.0, f64::from(Cic::MAX_PER_GROUP))) as u16);
            }
        }
        let miss = day.groups.miss;
        let flows: Vec<_> = planned
            .iter()
            .map(|(a, b, rate)| (*a, *b, rate * setup_rng.random_range(1.0 - miss..=1.0 + miss)))
            .collect();
        let work = &day.processor;
        let exchanges = exchange_numbers.iter().map(|exchange_number| {
            let rate_by = |end: fn(&(u16, u16, f64)) -> u16| {
                planned.iter().filter(|flow| end(flow) == *exchange_number).map(|flow| flow.2).sum::<f64>()
            };
            let (outgoing, incoming) = (rate_by(|flow| flow.0), rate_by(|flow| flow.1));
            let work_ms = outgoing * (work.look_ms + work.set_up_ms + work.answer_ms)
                + incoming * (work.set_up_ms + work.release_ms);
            let true_speed = day.speeds[(usize::from(*exchange_number) - 1) % day.speeds.len()];
            Exchange {
                id: u32::from(*exchange_number) * 100,
                region: (usize::from(*exchange_number) - 1) % day.regions.len(),
                processor: Processor::new((work_ms / 1e3 / work.busy).max(1e-6) * true_speed),
                running: false,
                incarnation: 0,
                delivered_version: 0,
                last_update_arrival: Duration::ZERO,
            }
        });
        let exchanges: Vec<Exchange> = exchanges.collect();
        let mut link_directions: Vec<LinkDirection> =
            (0..exchange_numbers.len() * exchange_numbers.len()).map(|_| LinkDirection::default()).collect();
        for (a, b) in &pairs {
            let same_region = exchanges[usize::from(*a) - 1].region == exchanges[usize::from(*b) - 1].region;
            let [min, max] = if same_region { day.network.same_ms } else { day.network.cross_ms };
            let delay = seconds((min + (max - min) * setup_rng.random::<f64>()) / 1e3);
            link_directions[(usize::from(*a) - 1) * exchange_numbers.len() + usize::from(*b) - 1].delay =
                delay;
        }
        let entry = |(index, exchange): (usize, &Exchange)| {
            let (exchange_number, region) = (index as u16 + 1, exchange.region as u8);
            let entry = MemberEntry {
                exchange: exchange.id,
                exchange_number,
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
            arrival_rng: stream(2),
            rng: stream(3),
            exchanges,
            in_service: groups.clone(),
            groups,
            circuits_in_use: vec![0; exchange_numbers.len() * exchange_numbers.len()],
            free_circuits: (Duration::ZERO, Vec::new()),
            link_directions,
            hidden_release_completes: BTreeSet::new(),
            flows,
            cumulative_rates: Vec::new(),
            version: 1,
            directory_delay: Duration::ZERO,
            cut_regions: Vec::new(),
            broken_links: BTreeSet::new(),
            arrival_factor: 1.0,
            crowd: None,
            redial_at_once: false,
            message_loss_share: 0.0,
            affected: BTreeMap::new(),
            callers: BTreeMap::new(),
            last_caller_id: 0,
            score: Score::default(),
        };
        simulation.update_cumulative_rates();
        if link_mode == LinkMode::InProcess {
            exchange_numbers.iter().for_each(|exchange_number| {
                simulation
                    .schedule(Duration::ZERO, Event::StartController { exchange_number: *exchange_number })
            });
        }
        // Links and trunk groups need time to open.
        simulation.schedule(seconds(1.5), Event::NewCaller);
        for (index, fault) in day.faults.iter().enumerate() {
            simulation.schedule(seconds(fault.at_s), Event::FaultBegins(index));
            simulation.schedule(seconds(fault.at_s + fault.for_s), Event::FaultEnds(index));
        }
        if day.traffic.drift_s > 0.0 {
            simulation.schedule(seconds(day.traffic.drift_s), Event::TrafficDrift);
        }
        if day.processor.reports != Reports::None {
            simulation.schedule(Duration::ZERO, Event::ProcessorReports);
        }
        simulation
    }

    /// Circuits of the trunk group between two exchanges, by pair with the lower number first.
    pub fn groups(&self) -> &BTreeMap<(u16, u16), u16> {
        &self.groups
    }

    pub fn day(&self) -> &Day {
        &self.day
    }

    pub(crate) fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, QueuedEvent(event))));
    }

    pub fn next_event_time(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Whether arrivals have ended and no caller is left.
    pub fn is_finished(&self, now: Duration) -> bool {
        now >= self.length && self.callers.is_empty()
    }

    /// Handles the next event if it is due, at the event's own time. `false` if none is due.
    pub fn advance(&mut self, now: Duration, observer: &mut dyn Observer, actions: &mut Vec<Action>) -> bool {
        if self.next_event_time().is_none_or(|at| at > now) {
            return false;
        }
        let Some(Reverse((at, _, QueuedEvent(event)))) = self.queue.pop() else { return false };
        match event {
            Event::NewCaller => self.on_new_caller(at),
            Event::Attempt { caller } => self.on_attempt(at, caller),
            Event::GivesUp { caller, attempt } => self.on_give_up(at, caller, attempt, observer, actions),
            Event::HangsUp { caller, attempt } => self.on_hang_up(at, caller, attempt, observer, actions),
            Event::FrameArrives { to, from, epoch, frame } => {
                if self.direction(from, to).epoch == epoch {
                    self.on_frame_arrival(at, to, from, frame, observer, actions);
                }
            }
            Event::JobDone { exchange_number, generation } => {
                self.on_job_done(at, exchange_number, generation, observer, actions)
            }
            Event::DeliverJob { exchange_number, job } => {
                self.deliver_job(at, exchange_number, job, observer, actions)
            }
            Event::ConnectLink { a, b } => {
                if self.is_link_usable(a, b) && !self.direction(a, b).connected {
                    for (exchange_number, to) in [(a, b), (b, a)] {
                        self.direction(exchange_number, to).connected = true;
                        observer.observe(at, Observation::LinkUp { exchange_number, to });
                        actions.push(Action::LinkUp { exchange_number, to });
                    }
                }
            }
            Event::SendMembership { exchange_number } => {
                self.send_membership(at, exchange_number, observer, actions)
            }
            Event::ProcessorReports => self.send_processor_reports(at, actions),
            Event::TrafficDrift => {
                self.change_traffic();
                self.schedule(at + seconds(self.day.traffic.drift_s), Event::TrafficDrift);
            }
            Event::FaultBegins(index) => self.begin_fault(at, index, observer, actions),
            Event::FaultEnds(index) => self.end_fault(at, index, observer, actions),
            Event::StartController { exchange_number } => {
                self.start_controller(at, exchange_number, observer, actions)
            }
            Event::ReplaceMachine { exchange_number } => {
                self.replace_machine(at, exchange_number, observer, actions)
            }
            Event::RestoreCircuits { a, b } => {
                self.set_circuits(a, b, self.groups.get(&(a, b)).copied().unwrap_or(0), actions)
            }
        }
        true
    }

    // Traffic

    /// The origin and destination of a call; `draw` is from 0 to below 1.
    pub(crate) fn draw_pair(&self, draw: f64) -> (u16, u16) {
        let wanted = draw * self.cumulative_rates.last().copied().unwrap_or(0.0);
        let index = self.cumulative_rates.partition_point(|sum| *sum <= wanted).min(self.flows.len() - 1);
        (self.flows[index].0, self.flows[index].1)
    }

    fn update_cumulative_rates(&mut self) {
        let add = |sum: &mut f64, flow: &(u16, u16, f64)| {
            *sum += flow.2;
            Some(*sum)
        };
        self.cumulative_rates = self.flows.iter().scan(0.0, add).collect();
    }

    fn change_traffic(&mut self) {
        let max_change = self.day.traffic.drift;
        for flow in &mut self.flows {
            flow.2 *= 1.0 + max_change * (self.arrival_rng.random::<f64>() * 2.0 - 1.0);
        }
        self.update_cumulative_rates();
    }

    /// The tandem with the most free circuits when these were last determined, which happens every two seconds.
    pub(crate) fn advice(&mut self, now: Duration, from: u16, dest: u16) -> Option<u16> {
        if now >= self.free_circuits.0 {
            let mut free = vec![i32::MIN; self.circuits_in_use.len()];
            for ((a, b), size) in &self.in_service {
                let (index, reverse) = (self.direction_index(*a, *b), self.direction_index(*b, *a));
                free[index] = i32::from(*size) - self.circuits_in_use[index];
                free[reverse] = free[index];
            }
            self.free_circuits = (now + seconds(2.0), free);
        }
        let count = self.exchanges.len();
        let first_legs = &self.free_circuits.1[(usize::from(from) - 1) * count..usize::from(from) * count];
        // Free circuits are the same from both ends, so the row of the destination holds the second legs.
        let second_legs = &self.free_circuits.1[(usize::from(dest) - 1) * count..usize::from(dest) * count];
        let free_by_tandem = first_legs.iter().zip(second_legs).map(|(first, second)| *first.min(second));
        let tandems = (1..=self.day.exchanges)
            .zip(free_by_tandem)
            .filter(|(tandem, _)| *tandem != from && *tandem != dest);
        tandems.filter(|(_, free)| *free > i32::MIN).max_by_key(|(_, free)| *free).map(|(tandem, _)| tandem)
    }

    // Network

    fn direction_index(&self, from: u16, to: u16) -> usize {
        (usize::from(from) - 1) * self.exchanges.len() + usize::from(to) - 1
    }

    fn direction(&mut self, from: u16, to: u16) -> &mut LinkDirection {
        let index = self.direction_index(from, to);
        &mut self.link_directions[index]
    }

    fn is_link_usable(&self, a: u16, b: u16) -> bool {
        let (one, other) = (&self.exchanges[usize::from(a) - 1], &self.exchanges[usize::from(b) - 1]);
        let crosses = |region: &usize| (one.region == *region) != (other.region == *region);
        one.running
            && other.running
            && !self.broken_links.contains(&pair(a, b))
            && !self.cut_regions.iter().any(crosses)
    }

    /// A controller opened its link to another exchange.
    pub fn link_connected(
        &mut self,
        now: Duration,
        exchange_number: u16,
        to: u16,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_link_usable(exchange_number, to) {
            return actions.push(Action::LinkDown { exchange_number, to });
        }
        self.direction(exchange_number, to).connected = true;
        observer.observe(now, Observation::LinkUp { exchange_number, to });
        let held_frames = std::mem::take(&mut self.direction(to, exchange_number).held_frames);
        held_frames.into_iter().for_each(|frame| self.send_frame(now, to, exchange_number, frame));
    }

    /// A controller closed its link to another exchange, or ended.
    pub fn link_disconnected(
        &mut self,
        now: Duration,
        exchange_number: u16,
        to: u16,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if self.direction(exchange_number, to).connected {
            self.break_link(now, exchange_number, to, observer, actions);
        }
    }

    fn break_link(
        &mut self,
        now: Duration,
        a: u16,
        b: u16,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        for (exchange_number, to) in [(a, b), (b, a)] {
            let direction = self.direction(exchange_number, to);
            direction.epoch += 1;
            direction.deframer = Deframer::default();
            direction.held_frames.clear();
            let was_connected = std::mem::take(&mut direction.connected);
            self.exchanges[usize::from(to) - 1].processor.discard_frames_from(exchange_number);
            if was_connected {
                observer.observe(now, Observation::LinkDown { exchange_number, to });
                if self.exchanges[usize::from(exchange_number) - 1].running {
                    actions.push(Action::LinkDown { exchange_number, to });
                }
            }
        }
        self.hidden_release_completes.retain(|(from, to, _)| pair(*from, *to) != pair(a, b));
    }

    fn connect_later(&mut self, now: Duration, a: u16, b: u16) {
        if self.link_mode == LinkMode::InProcess {
            let wait = seconds(self.rng.random_range(0.05..0.25));
            self.schedule(now + wait, Event::ConnectLink { a, b });
        }
    }

    fn connect_all(&mut self, now: Duration, includes: impl Fn(u16, u16) -> bool) {
        let pairs: Vec<_> = self.groups.keys().copied().filter(|(a, b)| includes(*a, *b)).collect();
        pairs.into_iter().for_each(|(a, b)| self.connect_later(now, a, b));
    }

    /// A controller sent octets on its link to another exchange.
    pub fn on_controller_octets(
        &mut self,
        now: Duration,
        exchange_number: u16,
        to: u16,
        octets: &[u8],
        observer: &mut dyn Observer,
    ) {
        if !self.direction(exchange_number, to).connected {
            return;
        }
        let mut deframer = std::mem::take(&mut self.direction(exchange_number, to).deframer);
        deframer.push(octets);
        while let Ok(Some(frame)) = deframer.next() {
            observer.observe(now, Observation::FrameSent { exchange_number, to, frame });
            if type_and_circuit(frame).is_some_and(|(kind, _)| kind == IAM) {
                // Sending a set-up costs the own processor `set_up_ms`, too. A refused call costs it only `look_ms`.
                let work = self.day.processor.set_up_ms / 1e3;
                let job = Job { work, payload: Payload::Nothing, set_up: None };
                self.exchanges[usize::from(exchange_number) - 1].processor.push(job, false);
                self.start_next_job(now, exchange_number);
            }
            self.send_frame(now, exchange_number, to, frame.to_vec());
        }
        self.direction(exchange_number, to).deframer = deframer;
    }

    fn send_frame(&mut self, now: Duration, from: u16, to: u16, frame: Vec<u8>) {
        const MAX_HELD_FRAMES: usize = 64;
        if !self.direction(to, from).connected {
            let direction = self.direction(from, to);
            if direction.held_frames.len() < MAX_HELD_FRAMES {
                direction.held_frames.push(frame);
            }
            return;
        }
        if let Some((kind, cic)) = type_and_circuit(&frame) {
            match kind {
                PEER if self.rng.random::<f64>() < self.message_loss_share => return,
                RLC if self.hidden_release_completes.remove(&(from, to, cic)) => return,
                IAM | RLC => {
                    let (a, b) = pair(from, to);
                    let index = self.direction_index(a, b);
                    self.circuits_in_use[index] += if kind == IAM { 1 } else { -1 };
                }
                _ => {}
            }
        }
        let jitter = 1.0 + self.day.network.jitter * self.rng.random::<f64>();
        let direction = self.direction(from, to);
        let at = (now + direction.delay.mul_f64(jitter)).max(direction.last_arrival);
        direction.last_arrival = at;
        let epoch = direction.epoch;
        self.schedule(at, Event::FrameArrives { to, from, epoch, frame });
    }

    fn on_frame_arrival(
        &mut self,
        now: Duration,
        to: u16,
        from: u16,
        frame: Vec<u8>,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let work = &self.day.processor;
        let (set_up, answer, release) = (work.set_up_ms / 1e3, work.answer_ms / 1e3, work.release_ms / 1e3);
        let (max_wait, answers_first) = (work.full_wait_ms / 1e3, work.answers_first);
        let processor = &mut self.exchanges[usize::from(to) - 1].processor;
        let frame_of = |frame| Payload::Frame { from, frame };
        match type_and_circuit(&frame) {
            Some((IAM, cic)) => {
                observer.observe(now, Observation::SetUpArrived { exchange_number: to, from });
                if processor.wait(now) > max_wait && !processor.hung {
                    return self.reject_set_up(now, to, from, cic);
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
                let is_after_set_up = match kind {
                    // They concern many circuits, and must not overtake a set-up on any of them.
                    GRS | GRA | CGB => processor.has_set_up_from(from),
                    _ => processor.has_set_up((from, cic)),
                };
                if work == 0.0 && !is_after_set_up && !processor.hung {
                    return self.deliver_frame(now, to, from, frame, observer, actions);
                }
                processor.push(
                    Job { work, payload: frame_of(frame), set_up: None },
                    answers_first && !is_after_set_up,
                );
            }
            None => return self.deliver_frame(now, to, from, frame, observer, actions),
        }
        self.start_next_job(now, to);
    }

    /// A full processor rejects a set-up by itself; its controller never sees the set-up.
    fn reject_set_up(&mut self, now: Duration, to: u16, from: u16, cic: u16) {
        let plan = &self.day.processor;
        let (work, max_wait, tells_wait) =
            (plan.turn_away_ms / 1e3, plan.full_wait_ms / 1e3, plan.tells_wait);
        let processor = &mut self.exchanges[usize::from(to) - 1].processor;
        let wait = (processor.wait(now) - max_wait * 0.7).max(0.1);
        processor.push(Job { work, payload: Payload::Nothing, set_up: None }, false);
        self.hidden_release_completes.insert((from, to, cic));
        let cause = CauseIndicators::new(Location::Local, Q850::Congestion);
        let rel = Rel {
            congestion_wait: tells_wait.then(|| seconds(wait)),
            congestion: Some(2),
            ..Rel::new(cause)
        };
        let (mut user, mut frame) = (Vec::new(), Vec::new());
        Message::new(Cic(cic), Body::Rel(rel)).write(&mut user);
        let (opc, dpc) = (u32::from(to), u32::from(from));
        let data =
            ProtocolData { opc, dpc, service: m3ua::ISUP, network: 2, priority: 0, sls: 0, user: &user };
        Frame::Data(data).write(&mut frame);
        self.send_frame(now, to, from, frame);
        self.start_next_job(now, to);
    }

    fn deliver_frame(
        &mut self,
        now: Duration,
        exchange_number: u16,
        from: u16,
        frame: Vec<u8>,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if self.exchanges[usize::from(exchange_number) - 1].running
            && self.direction(exchange_number, from).connected
        {
            observer.observe(now, Observation::FrameReceived { exchange_number, from, frame: &frame });
            actions.push(Action::LinkOctets { exchange_number, from, octets: frame });
        }
    }

    // Processors

    fn start_next_job(&mut self, now: Duration, exchange_number: u16) {
        let processor = &mut self.exchanges[usize::from(exchange_number) - 1].processor;
        if let Some(duration) = processor.start(now) {
            let generation = processor.generation;
            self.schedule(now + duration, Event::JobDone { exchange_number, generation });
        }
    }

    fn on_job_done(
        &mut self,
        now: Duration,
        exchange_number: u16,
        generation: u64,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let processor = &mut self.exchanges[usize::from(exchange_number) - 1].processor;
        if processor.generation != generation || processor.hung {
            return;
        }
        let job = processor.finish();
        job.into_iter().for_each(|job| self.deliver_job(now, exchange_number, job, observer, actions));
        self.start_next_job(now, exchange_number);
    }

    fn deliver_job(
        &mut self,
        now: Duration,
        exchange_number: u16,
        job: Job,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        match job.payload {
            Payload::Frame { from, frame } => {
                self.deliver_frame(now, exchange_number, from, frame, observer, actions)
            }
            Payload::Offer { caller, offer } => self.deliver_offer(now, caller, offer, observer, actions),
            Payload::Nothing => {}
        }
    }

    /// Queues an attempt at the processor of the caller's own exchange. `false` if the processor is full or the
    /// controller is not running.
    pub(crate) fn enqueue_attempt(&mut self, now: Duration, from: u16, caller: u64, offer: Offer) -> bool {
        let plan = &self.day.processor;
        let (work, max_wait) = (plan.look_ms / 1e3, plan.full_wait_ms / 1e3);
        let exchange = &mut self.exchanges[usize::from(from) - 1];
        if !exchange.running || exchange.processor.wait(now) > max_wait {
            return false;
        }
        exchange.processor.push(Job { work, payload: Payload::Offer { caller, offer }, set_up: None }, false);
        self.start_next_job(now, from);
        true
    }

    fn send_processor_reports(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let plan = &self.day.processor;
        for (index, exchange) in self.exchanges.iter().enumerate().filter(|(_, exchange)| exchange.running) {
            let wait = exchange.processor.wait(now);
            let free_share = (1.0 - wait * 1e3 / plan.full_wait_ms).clamp(0.05, 1.0);
            let rate = exchange.processor.pace(now) / (plan.set_up_ms / 1e3) * free_share;
            actions.push(Action::ProcessorReport { exchange_number: index as u16 + 1, rate });
        }
        if now < self.length {
            self.schedule(now + seconds(0.5), Event::ProcessorReports);
        }
    }

    // Directory

    /// Changes an entry of the directory and schedules the update of every controller.
    fn update_directory(&mut self, now: Duration, entry: MemberEntry, started: Duration) {
        self.version += 1;
        self.entries.insert(entry.exchange, (self.version, entry, started));
        for exchange_number in 1..=self.day.exchanges {
            let [min, max] = self.day.directory.late_ms;
            let delay = seconds((min + (max - min) * self.rng.random::<f64>()) / 1e3) + self.directory_delay;
            let exchange = &mut self.exchanges[usize::from(exchange_number) - 1];
            let at = (now + delay).max(exchange.last_update_arrival);
            exchange.last_update_arrival = at;
            if exchange.running {
                self.schedule(at, Event::SendMembership { exchange_number });
            }
        }
    }

    /// Sends a controller the entries that changed since the version it has, or all if it has none.
    fn send_membership(
        &mut self,
        now: Duration,
        exchange_number: u16,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let exchange = &self.exchanges[usize::from(exchange_number) - 1];
        if !exchange.running {
            return;
        }
        let delivered_version = exchange.delivered_version;
        let since = (delivered_version > 0).then_some(delivered_version);
        let with_age = |(_, entry, started): &(u64, MemberEntry, Duration)| {
            let age = (!started.is_zero()).then(|| now.saturating_sub(*started).as_millis() as u64);
            MemberEntry { age_ms: age, ..*entry }
        };
        let entries: Vec<MemberEntry> =
            self.entries.values().filter(|entry| entry.0 > delivered_version).map(with_age).collect();
        if entries.is_empty() {
            return;
        }
        observer.observe(
            now,
            Observation::MembershipDelivered { exchange_number, is_full: since.is_none(), entries: &entries },
        );
        let update = MembershipUpdate { version: self.version, since, entries };
        self.exchanges[usize::from(exchange_number) - 1].delivered_version = self.version;
        actions.push(Action::Membership { exchange_number, update });
    }

    /// A controller rejected an update: sends it the full list.
    pub fn resend_membership(
        &mut self,
        now: Duration,
        exchange_number: u16,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if let Some(exchange) = self.exchanges.get_mut(usize::from(exchange_number).wrapping_sub(1)) {
            exchange.delivered_version = 0;
            // The controller would reject a full list of the version it has as outdated.
            self.version += 1;
            self.send_membership(now, exchange_number, observer, actions);
        }
    }

    fn set_member_status(
        &mut self,
        now: Duration,
        exchange_number: u16,
        status: MemberStatus,
        started: Duration,
    ) {
        let exchange = &self.exchanges[usize::from(exchange_number) - 1];
        let entry = MemberEntry {
            exchange: exchange.id,
            exchange_number,
            region: exchange.region as u8,
            status,
            age_ms: None,
        };
        self.update_directory(now, entry, started);
    }

    // Faults

    /// Kills controllers: all of them stop before the loss of their links is reported to any other.
    fn kill_controllers(
        &mut self,
        now: Duration,
        exchange_numbers: &[u16],
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let running = |exchange_number: &u16| self.exchanges[usize::from(*exchange_number) - 1].running;
        let killed: Vec<u16> = exchange_numbers.iter().copied().filter(running).collect();
        for exchange_number in &killed {
            self.exchanges[usize::from(*exchange_number) - 1].running = false;
            observer.observe(now, Observation::Killed { exchange_number: *exchange_number });
            actions.push(Action::Kill { exchange_number: *exchange_number });
        }
        for exchange_number in killed {
            let others: Vec<_> = (1..=self.day.exchanges).filter(|other| *other != exchange_number).collect();
            others
                .into_iter()
                .for_each(|other| self.break_link(now, exchange_number, other, observer, actions));
            self.cut_standing_calls(now, exchange_number);
        }
    }

    fn start_controller(
        &mut self,
        now: Duration,
        exchange_number: u16,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let exchange = &mut self.exchanges[usize::from(exchange_number) - 1];
        if exchange.running {
            return;
        }
        exchange.incarnation += 1;
        actions.push(Action::Start { exchange_number, incarnation: exchange.incarnation * 2 });
        if self.link_mode == LinkMode::InProcess {
            self.controller_ready(now, exchange_number, observer, actions);
        }
    }

    /// A controller that was started accepts calls from now on.
    pub fn controller_ready(
        &mut self,
        now: Duration,
        exchange_number: u16,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let exchange = &mut self.exchanges[usize::from(exchange_number) - 1];
        exchange.running = true;
        // A restarted controller has its last list, and gets the full list as a new version.
        exchange.delivered_version = 0;
        self.version += u64::from(exchange.incarnation > 1);
        observer.observe(now, Observation::Started { exchange_number });
        self.send_membership(now, exchange_number, observer, actions);
        for (a, b) in
            self.in_service.keys().copied().filter(|(a, b)| *a == exchange_number || *b == exchange_number)
        {
            let (to, in_service) = (if a == exchange_number { b } else { a }, self.in_service[&(a, b)]);
            if in_service < self.groups[&(a, b)] {
                actions.push(Action::CircuitsInService { exchange_number, to, in_service });
            }
        }
        self.connect_all(now, |a, b| a == exchange_number || b == exchange_number);
    }

    /// An exchange's processor starts cold, with an empty queue and without faults.
    fn start_cold(&mut self, now: Duration, exchange_number: u16, observer: &mut dyn Observer) {
        let rules = &self.day.rules;
        let (share, warm_up) = (rules.cold_share, Duration::from_millis(rules.warm_up_ms));
        let processor = &mut self.exchanges[usize::from(exchange_number) - 1].processor;
        processor.drain();
        (processor.hung, processor.slowdown, processor.ageing) = (false, 1.0, None);
        processor.cold = Some(ColdStart { started: now, share, warm_up });
        let set_ups = processor.speed / (self.day.processor.set_up_ms / 1e3);
        observer.observe(now, Observation::ColdStart { exchange_number, set_ups });
    }

    /// Stops an exchange's machine and starts a new one in its place.
    fn replace_machine(
        &mut self,
        now: Duration,
        exchange_number: u16,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        self.kill_controllers(now, &[exchange_number], observer, actions);
        self.set_member_status(now, exchange_number, MemberStatus::Gone, Duration::ZERO);
        self.exchanges[usize::from(exchange_number) - 1].id += 1;
        self.start_cold(now, exchange_number, observer);
        self.set_member_status(now, exchange_number, MemberStatus::Ready, now);
        self.start_controller(now, exchange_number, observer, actions);
    }

    fn set_circuits(&mut self, a: u16, b: u16, in_service: u16, actions: &mut Vec<Action>) {
        self.in_service.insert((a, b), in_service);
        for (exchange_number, to) in [(a, b), (b, a)] {
            if self.exchanges[usize::from(exchange_number) - 1].running {
                actions.push(Action::CircuitsInService { exchange_number, to, in_service });
            }
        }
    }

    /// Selects the exchanges that a fault affects, and stores them for the end of the fault.
    fn select_affected(&mut self, fault: usize, target: &FaultTarget) -> Vec<u16> {
        let affected = match target {
            FaultTarget::Listed(exchanges) => exchanges.clone(),
            FaultTarget::Share { share } => {
                let mut all: Vec<u16> = (1..=self.day.exchanges).collect();
                let count = (share * f64::from(self.day.exchanges)).round() as usize;
                let draw =
                    |rng: &mut Pcg64Mcg, all: &mut Vec<u16>| all.swap_remove(rng.random_range(0..all.len()));
                (0..count.min(all.len())).map(|_| draw(&mut self.rng, &mut all)).collect()
            }
        };
        self.affected.insert(fault, affected.clone());
        affected
    }

    /// The trunk groups between a region and the others.
    fn groups_across(&self, region: usize) -> Vec<(u16, u16)> {
        let inside = |exchange_number: u16| self.exchanges[usize::from(exchange_number) - 1].region == region;
        self.groups.keys().copied().filter(|(a, b)| inside(*a) != inside(*b)).collect()
    }

    fn begin_fault(
        &mut self,
        now: Duration,
        index: usize,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let fault = self.day.faults[index].clone();
        observer.observe(now, Observation::Fault { name: fault.what.name(), begins: true });
        match fault.what {
            Fault::Slow { exchanges, factor } => {
                for exchange_number in self.select_affected(index, &exchanges) {
                    self.exchanges[usize::from(exchange_number) - 1].processor.slowdown = factor;
                }
            }
            Fault::Ageing { exchanges, factor } => {
                let until = now + seconds(fault.for_s);
                for exchange_number in self.select_affected(index, &exchanges) {
                    self.exchanges[usize::from(exchange_number) - 1].processor.ageing =
                        Some((now, until, factor));
                }
            }
            Fault::Hang { exchanges } => {
                for exchange_number in self.select_affected(index, &exchanges) {
                    self.exchanges[usize::from(exchange_number) - 1].processor.hung = true;
                }
            }
            Fault::Burst { factor } => self.arrival_factor = factor,
            Fault::Crowd { exchange, number, share, .. } => {
                self.crowd = Some(Crowd { exchange, number, share })
            }
            Fault::RegionCut { region } => {
                self.cut_regions.push(region);
                for (a, b) in self.groups_across(region) {
                    self.break_link(now, a, b, observer, actions);
                }
            }
            Fault::CircuitsLost { region, keep } => {
                for (a, b) in self.groups_across(region) {
                    let left = (f64::from(self.groups[&(a, b)]) * keep.clamp(0.0, 1.0)).round() as u16;
                    self.set_circuits(a, b, left, actions);
                }
            }
            Fault::MassCut { share } => {
                for (a, b) in self.groups.keys().copied().collect::<Vec<_>>() {
                    let left = (f64::from(self.groups[&(a, b)]) * (1.0 - share)).round() as u16;
                    self.set_circuits(a, b, left.min(self.in_service[&(a, b)]), actions);
                    self.schedule(now + seconds(0.3), Event::RestoreCircuits { a, b });
                }
            }
            Fault::Replaced { exchanges, drain_s } => {
                for (position, exchange_number) in
                    self.select_affected(index, &exchanges).into_iter().enumerate()
                {
                    self.set_member_status(now, exchange_number, MemberStatus::Draining, Duration::ZERO);
                    self.schedule(
                        now + seconds(drain_s + 3.0 * position as f64),
                        Event::ReplaceMachine { exchange_number },
                    );
                }
            }
            Fault::MassRestart { exchanges } => {
                let affected = self.select_affected(index, &exchanges);
                self.kill_controllers(now, &affected, observer, actions);
                for exchange_number in affected {
                    self.exchanges[usize::from(exchange_number) - 1].processor.drain();
                    self.set_member_status(now, exchange_number, MemberStatus::Gone, Duration::ZERO);
                }
            }
            Fault::ControllersKilled { exchanges } => {
                let affected = self.select_affected(index, &exchanges);
                self.kill_controllers(now, &affected, observer, actions);
            }
            Fault::DirectoryLate { by_ms } => self.directory_delay = seconds(by_ms / 1e3),
            Fault::MessagesLost { share } => self.message_loss_share = share,
            Fault::RedialAtOnce => self.redial_at_once = true,
            Fault::LinkBreaks { between: [a, b] } => {
                self.broken_links.insert(pair(a, b));
                self.break_link(now, a, b, observer, actions);
            }
        }
    }

    fn end_fault(
        &mut self,
        now: Duration,
        index: usize,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let fault = self.day.faults[index].clone();
        observer.observe(now, Observation::Fault { name: fault.what.name(), begins: false });
        let affected = self.affected.remove(&index).unwrap_or_default();
        match fault.what {
            Fault::Slow { .. } | Fault::Ageing { .. } => {
                for exchange_number in affected {
                    let processor = &mut self.exchanges[usize::from(exchange_number) - 1].processor;
                    (processor.slowdown, processor.ageing) = (1.0, None);
                }
            }
            Fault::Hang { .. } => {
                for exchange_number in affected {
                    let processor = &mut self.exchanges[usize::from(exchange_number) - 1].processor;
                    processor.hung = false;
                    for job in processor.drain() {
                        self.schedule(now, Event::DeliverJob { exchange_number, job });
                    }
                }
            }
            Fault::Burst { .. } => self.arrival_factor = 1.0,
            Fault::Crowd { .. } => self.crowd = None,
            Fault::RegionCut { region } => {
                self.cut_regions.retain(|cut| *cut != region);
                self.groups_across(region).into_iter().for_each(|(a, b)| self.connect_later(now, a, b));
            }
            Fault::CircuitsLost { region, .. } => {
                for (a, b) in self.groups_across(region) {
                    self.set_circuits(a, b, self.groups[&(a, b)], actions);
                }
            }
            Fault::MassRestart { .. } => {
                for exchange_number in affected {
                    self.start_cold(now, exchange_number, observer);
                    self.start_controller(now, exchange_number, observer, actions);
                    self.set_member_status(now, exchange_number, MemberStatus::Ready, now);
                }
            }
            Fault::ControllersKilled { .. } => affected
                .into_iter()
                .for_each(|exchange_number| self.start_controller(now, exchange_number, observer, actions)),
            Fault::DirectoryLate { .. } => self.directory_delay = Duration::ZERO,
            Fault::MessagesLost { .. } => self.message_loss_share = 0.0,
            Fault::RedialAtOnce => self.redial_at_once = false,
            Fault::LinkBreaks { between: [a, b] } => {
                self.broken_links.remove(&pair(a, b));
                self.connect_later(now, a, b);
            }
            Fault::MassCut { .. } | Fault::Replaced { .. } => {}
        }
    }

    /// A controller ended although no fault of the script killed it. It is started again after 0.5 s.
    pub fn controller_crashed(
        &mut self,
        now: Duration,
        exchange_number: u16,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        self.kill_controllers(now, &[exchange_number], observer, actions);
        actions.retain(|action| *action != Action::Kill { exchange_number });
        self.schedule(now + seconds(0.5), Event::StartController { exchange_number });
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

/// Type and circuit of the ISUP message in a frame, read without the rest of the message.
fn type_and_circuit(frame: &[u8]) -> Option<(u8, u16)> {
    match Frame::read(frame) {
        Ok(Frame::Data(ProtocolData { service: m3ua::ISUP, user: [low, high, kind, ..], .. })) => {
            Some((*kind, u16::from_le_bytes([*low, *high]) & Cic::MAX))
        }
        _ => None,
    }
}
