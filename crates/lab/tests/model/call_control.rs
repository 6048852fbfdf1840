//! Call control of several exchanges, linked in virtual time. The octets sent between the exchanges are decoded and turned into
//! the events of the model, for which this module keeps its own state of each circuit. The rules are checked after each
//! input to an exchange.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall::interface::*;
use mintstall_callcontrol::{
    Answer, CallControl, CallControlActions, CallControlConfig, CallEnd, CallRequest, Counters, GroupConfig,
    NumberConfig, Timers,
};
use mintstall_isup::{Body, Cic, Deframer, Frame, Iam, Message, Q850};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::rules::{CallKey, EventKind, FinalAnswer, Model, SeizureOutcome};
use crate::{call_type, controller_config, ms, rule_limits};

const START: Duration = Duration::from_secs(3600);
const CIRCUITS_PER_GROUP: u16 = 7;
/// The id of a replacement machine is that of the machine it replaces plus this.
const REPLACEMENT_ID_OFFSET: u32 = 100;
/// The process of a stopping exchange ends at most this long after it has released all calls.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(2);
/// A stopping exchange waits at most this long for calls without an answer.
const MAX_ANSWER_WAIT: Duration = Duration::from_secs(5);

pub struct RunConfig {
    pub seed: u64,
    pub exchanges: u16,
    pub calls_per_s: f64,
    pub duration: Duration,
}

pub struct RunResult {
    pub model: Model,
    pub counters: Vec<Counters>,
    pub observations: Observations,
}

/// Counts that show whether a run exercised the cases that matter.
#[derive(Default, Debug)]
pub struct Observations {
    pub crankbacks: usize,
    pub transit_calls: usize,
    pub links_lost: usize,
    pub late_answers: usize,
    pub stops: usize,
    /// The most circuits that the other exchanges held to one whose process had ended.
    pub held_after_end: usize,
    /// The longest time after the end of a process until those circuits were free.
    pub longest_held_after_end: Duration,
}

/// Records the actions of call control while it handles one input.
#[derive(Default)]
struct ActionRecorder {
    sent: Vec<(u16, Vec<u8>)>,
    answers: Vec<(CallId, Answer)>,
    closed_links: Vec<u16>,
}

impl CallControlActions for ActionRecorder {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.sent.push((to.0, octets.to_vec()));
    }
    fn close_link(&mut self, to: ExchangeNumber, _: &str) {
        self.closed_links.push(to.0);
    }
    fn answer(&mut self, call: CallId, answer: Answer) {
        self.answers.push((call, answer));
    }
    fn call_ended(&mut self, _: CallId, _: CallEnd) {}
    fn log_info(&mut self, _: &str) {}
}

/// State of a circuit at one of its ends, from the messages that crossed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CircuitState {
    Outgoing {
        call: CallKey,
        /// Index of the circuit that carries the signalling of the call.
        signalling_circuit: u16,
        standing: bool,
    },
    Incoming {
        call: CallKey,
        standing: bool,
    },
    /// A release or a reset is not yet completed; it was sent on the circuit with this index.
    Releasing(u16),
    GroupReset,
}

/// One end of a circuit: the exchange at this end, the exchange at the far end, the index of the circuit in its group.
type CircuitEnd = (u16, u16, u16);

#[derive(Clone, Debug)]
enum Action {
    OfferCall,
    HangUp(u16, u32, CallId),
    ExpireTimer(u16),
    DeliverOctets { from: u16, to: u16, connection: u64, octets: Vec<u8> },
    ConnectLink(u16, u16),
    ChangeMembership(u16, ExchangeEntry),
    InjectFault,
    StopExchange(u16),
    EndProcess(u16),
    StartExchange(u16),
}

/// The running process of an exchange.
struct Process {
    call_control: CallControl,
    /// How often the exchange had been started when this process started, this start included.
    start_count: u32,
    stopping_since: Option<Duration>,
    /// When a stopping exchange released all calls.
    released_at: Option<Duration>,
}

struct Simulation {
    now: Duration,
    rng: Pcg64Mcg,
    schedule: BTreeMap<(Duration, u64), Action>,
    /// Number of actions scheduled so far; actions due at the same time are performed in this order.
    scheduled_count: u64,
    model: Model,
    processes: BTreeMap<u16, Process>,
    /// How many times each exchange has been started.
    start_counts: BTreeMap<u16, u32>,
    /// The membership as each exchange was last told.
    memberships: BTreeMap<u16, BTreeMap<u32, ExchangeEntry>>,
    /// The present machine of each exchange.
    machines: BTreeMap<u16, u32>,
    /// The number of the connection of each link, or None if the link is down. Octets of an earlier connection are lost.
    links: BTreeMap<(u16, u16), Option<u64>>,
    last_connection: u64,
    /// When the last octets sent in each direction arrive. Octets of one direction arrive in the order in which they were sent.
    last_arrival: BTreeMap<(u16, u16), Duration>,
    /// Exchanges that don't read their links, and until when.
    hung_until: BTreeMap<u16, Duration>,
    circuits: BTreeMap<CircuitEnd, CircuitState>,
    /// When the process of an exchange ended, until the other exchanges hold no circuits to it.
    ended_since: BTreeMap<u16, Duration>,
    /// Calls in transit without an answer.
    unanswered_transit: BTreeSet<CallKey>,
    observations: Observations,
    counters: Vec<Counters>,
    config: RunConfig,
}

/// The key of the link between two exchanges.
fn link_key(a: u16, b: u16) -> (u16, u16) {
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

fn config_of(own: u16, exchanges: u16) -> CallControlConfig {
    let call_types = vec![
        call_type(1.0, 1, RepeatPolicy::Freely),
        call_type(3.0, 3, RepeatPolicy::Freely),
        call_type(8.0, 1, RepeatPolicy::Never),
    ];
    let others = (1..=exchanges).filter(|other| *other != own);
    CallControlConfig {
        own: ExchangeNumber(own),
        controller: ControllerConfig { may_message_peers: true, ..controller_config(own, call_types) },
        groups: others
            .map(|to| GroupConfig { to: ExchangeNumber(to), circuits: CIRCUITS_PER_GROUP })
            .collect(),
        numbers: vec![NumberConfig { dialled: 77, lines: 1 }],
        timers: timers(),
        max_calls: 1000,
        max_traces: 10,
    }
}

/// Calls `f` with each ISUP message in the octets.
fn for_each_message(octets: &[u8], f: &mut dyn FnMut(&Message)) {
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

/// Indices of the circuits that a set-up seizes.
fn circuit_indices(cic: Cic, iam: &Iam) -> Vec<u16> {
    match iam.map {
        None => cic.index().into_iter().collect(),
        Some(map) => map.circuits(cic).filter_map(Cic::index).collect(),
    }
}

/// Runs the simulation, checks that no call, answer or circuit is left over, and returns the model with the counters.
pub fn run(config: RunConfig) -> RunResult {
    let count = config.exchanges;
    let entry = |exchange: u16| ExchangeEntry {
        id: ExchangeId(exchange.into()),
        number: ExchangeNumber(exchange),
        zone: Zone(0),
        status: ExchangeStatus::Ready,
        started: Duration::ZERO,
    };
    let membership: BTreeMap<u32, ExchangeEntry> =
        (1..=count).map(|exchange| (exchange.into(), entry(exchange))).collect();
    let pairs = (1..=count).flat_map(|a| (a + 1..=count).map(move |b| (a, b)));
    let mut simulation = Simulation {
        now: START,
        rng: Pcg64Mcg::seed_from_u64(config.seed),
        schedule: BTreeMap::new(),
        scheduled_count: 0,
        model: Model::new(rule_limits(12.0, 6.0), config.seed),
        processes: BTreeMap::new(),
        start_counts: BTreeMap::new(),
        memberships: (1..=count).map(|exchange| (exchange, membership.clone())).collect(),
        machines: (1..=count).map(|exchange| (exchange, exchange.into())).collect(),
        links: pairs.map(|pair| (pair, None)).collect(),
        last_connection: 0,
        last_arrival: BTreeMap::new(),
        hung_until: BTreeMap::new(),
        circuits: BTreeMap::new(),
        ended_since: BTreeMap::new(),
        unanswered_transit: BTreeSet::new(),
        observations: Observations::default(),
        counters: Vec::new(),
        config,
    };
    (1..=count).for_each(|exchange| simulation.perform(Action::StartExchange(exchange)));
    simulation.schedule_in(ms(500), Action::OfferCall);
    simulation.schedule_in(ms(1000), Action::InjectFault);
    // 30 s after the last call all timers of both ends have expired.
    let end = START + simulation.config.duration + Duration::from_secs(30);
    while let Some(((at, _), action)) = simulation.schedule.pop_first() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.perform(action);
        simulation.continue_stops();
        // Rule 1 takes the time of the last event as the present, so each check needs an event of the present time.
        simulation.model.record(at, (0, 0, 0), EventKind::TimePassed);
        simulation.model.check_rules();
        simulation.model.events.retain(|event| event.kind != EventKind::TimePassed);
        simulation.observe_held_circuits();
    }
    simulation.model.assert_finished();
    for (exchange, process) in &simulation.processes {
        let status = process.call_control.status();
        let busy: Vec<_> = status.groups.iter().filter(|group| group.free != group.circuits).collect();
        assert_eq!(
            (status.calls, status.pending_answers, busy),
            (0, 0, vec![]),
            "seed {}, exchange {exchange}",
            simulation.config.seed
        );
    }
    let counters = simulation.processes.values().map(|process| process.call_control.status().counters);
    simulation.counters.extend(counters.collect::<Vec<_>>());
    RunResult {
        model: simulation.model,
        counters: simulation.counters,
        observations: simulation.observations,
    }
}

impl Simulation {
    fn schedule_in(&mut self, delay: Duration, action: Action) {
        self.scheduled_count += 1;
        self.schedule.insert((self.now + delay, self.scheduled_count), action);
    }

    fn random_delay(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        ms(self.rng.random_range(from_ms..=to_ms))
    }

    /// Whether no new calls and faults are to be generated any more.
    fn is_over(&self) -> bool {
        self.now > START + self.config.duration
    }

    fn start_count(&self, exchange: u16) -> u32 {
        self.start_counts.get(&exchange).copied().unwrap_or(0)
    }

    fn others(&self, exchange: u16) -> Vec<u16> {
        (1..=self.config.exchanges).filter(|other| *other != exchange).collect()
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::OfferCall => self.offer_call(),
            Action::HangUp(exchange, start_count, call) if self.start_count(exchange) == start_count => {
                self.with_call_control(exchange, |call_control, now, actions| {
                    _ = call_control.hang_up(now, actions, call)
                });
            }
            Action::ExpireTimer(exchange) => {
                let due = self.processes.get(&exchange).and_then(|process| process.call_control.next_timer());
                if due.is_some_and(|due| due <= self.now) {
                    self.with_call_control(exchange, |call_control, now, actions| {
                        call_control.on_timer(now, actions)
                    });
                }
            }
            Action::DeliverOctets { from, to, connection, octets } => {
                if self.links[&link_key(from, to)] != Some(connection) {
                    return;
                }
                if let Some(until) = self.hung_until.get(&to).copied().filter(|until| *until > self.now) {
                    let delay = until - self.now;
                    return self.schedule_in(delay, Action::DeliverOctets { from, to, connection, octets });
                }
                for_each_message(&octets, &mut |message| self.on_message_received(from, to, message));
                self.with_call_control(to, |call_control, now, actions| {
                    call_control.on_octets(now, actions, ExchangeNumber(from), &octets)
                });
            }
            Action::ConnectLink(a, b) => {
                if self.links[&link_key(a, b)].is_some() {
                    return;
                }
                if !self.processes.contains_key(&a) || !self.processes.contains_key(&b) {
                    return self.schedule_in(ms(200), Action::ConnectLink(a, b));
                }
                self.last_connection += 1;
                self.links.insert(link_key(a, b), Some(self.last_connection));
                self.with_call_control(a, |call_control, now, actions| {
                    call_control.link_up(now, actions, ExchangeNumber(b))
                });
                self.with_call_control(b, |call_control, now, actions| {
                    call_control.link_up(now, actions, ExchangeNumber(a))
                });
            }
            Action::ChangeMembership(exchange, entry) => {
                let membership = self.memberships.get_mut(&exchange).unwrap();
                membership.insert(entry.id.0, entry);
                if entry.status == ExchangeStatus::Gone {
                    membership.remove(&entry.id.0);
                }
                self.record_status(exchange, entry.number.0);
                self.with_call_control(exchange, |call_control, now, actions| {
                    call_control.on_membership_changes(now, actions, &[entry])
                });
            }
            Action::InjectFault => self.inject_fault(),
            Action::StopExchange(exchange) => {
                let now = self.now;
                if let Some(process) =
                    self.processes.get_mut(&exchange).filter(|process| process.stopping_since.is_none())
                {
                    process.stopping_since = Some(now);
                    process.call_control.stop();
                    self.observations.stops += 1;
                }
            }
            Action::EndProcess(exchange) => self.end_process(exchange),
            Action::StartExchange(exchange) => {
                let start_count = self.start_count(exchange) + 1;
                self.start_counts.insert(exchange, start_count);
                let seed = self.rng.random();
                let config = config_of(exchange, self.config.exchanges);
                let call_control = CallControl::new(self.now, &config, u64::from(start_count) << 11, seed);
                self.processes.insert(
                    exchange,
                    Process { call_control, start_count, stopping_since: None, released_at: None },
                );
                let entries: Vec<_> = self.memberships[&exchange].values().copied().collect();
                entries.iter().for_each(|entry| self.record_status(exchange, entry.number.0));
                self.with_call_control(exchange, |call_control, now, actions| {
                    call_control.on_membership(now, actions, &entries)
                });
                self.others(exchange)
                    .into_iter()
                    .for_each(|other| self.schedule_in(ms(10), Action::ConnectLink(exchange, other)));
            }
            Action::HangUp(..) => {}
        }
    }

    /// Records whether any machine of `subject` accepts new calls, as `exchange` has been told.
    fn record_status(&mut self, exchange: u16, subject: u16) {
        let is_ready =
            |entry: &ExchangeEntry| entry.number.0 == subject && entry.status == ExchangeStatus::Ready;
        let accepts_calls = self.memberships[&exchange].values().any(is_ready);
        let process = (exchange, self.start_count(exchange), 0);
        self.model.record(
            self.now,
            process,
            EventKind::StatusReceived { exchange: subject.into(), accepts_calls },
        );
    }

    /// Gives one input to the call control of an exchange, then records and delivers what it did.
    fn with_call_control(
        &mut self,
        exchange: u16,
        f: impl FnOnce(&mut CallControl, Duration, &mut ActionRecorder),
    ) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&exchange) else { return };
        let mut recorder = ActionRecorder::default();
        f(&mut process.call_control, now, &mut recorder);
        assert_eq!(
            process.call_control.inconsistencies(),
            Vec::<String>::new(),
            "seed {}, exchange {exchange}",
            self.config.seed
        );
        if let Some(at) = process.call_control.next_timer() {
            self.schedule_in(at.saturating_sub(now), Action::ExpireTimer(exchange));
        }
        for (to, octets) in recorder.sent {
            for_each_message(&octets, &mut |message| self.on_message_sent(exchange, to, message));
            let Some(connection) = self.links[&link_key(exchange, to)] else { continue };
            let arrival = self.now + self.random_delay(1, 25);
            let last_arrival = self.last_arrival.entry((exchange, to)).or_default();
            *last_arrival = arrival.max(*last_arrival + Duration::from_micros(1));
            let delay = *last_arrival - self.now;
            self.schedule_in(delay, Action::DeliverOctets { from: exchange, to, connection, octets });
        }
        let start_count = self.start_count(exchange);
        for (call, answer) in recorder.answers {
            let answer = match answer {
                Answer::Stands => FinalAnswer::Stands,
                Answer::Refused { .. } => FinalAnswer::Refused,
                Answer::Fails => FinalAnswer::Fails,
            };
            self.model.record(now, (exchange, start_count, call.0), EventKind::Answered(answer));
        }
        recorder.closed_links.into_iter().for_each(|to| self.lose_link(exchange, to));
    }

    /// The key of a call at `exchange`, from its set-up.
    fn call_key(&self, exchange: u16, iam: &Iam) -> CallKey {
        let identity = iam.identity.expect("every set-up in this test has a call identity");
        let id = match identity.origin == exchange {
            true => identity.call,
            // Each seizure that arrives at a tandem is a call of its own there.
            false => u64::from(identity.origin) << 56 | identity.call << 3 | u64::from(identity.seizure + 1),
        };
        (exchange, self.start_count(exchange), id)
    }

    /// Records the answer to a call in transit, or its end without one, unless that has been recorded already.
    fn finish_transit(&mut self, call: CallKey, kind: EventKind) {
        if self.unanswered_transit.remove(&call) {
            self.model.record(self.now, call, kind);
        }
    }

    /// Ends the use of a circuit at one end, and of the other circuits of its call. `outcome` is recorded for an outgoing call
    /// that doesn't stand yet, `incoming_end` for an incoming one. The circuits get the state `next`, or are free if it is None.
    fn end_use(
        &mut self,
        end: CircuitEnd,
        outcome: SeizureOutcome,
        incoming_end: EventKind,
        next: Option<CircuitState>,
    ) {
        let state = match next {
            Some(next) => self.circuits.insert(end, next),
            None => self.circuits.remove(&end),
        };
        let same_call = |other: &CircuitState| match (state, *other) {
            (Some(CircuitState::Outgoing { call, .. }), CircuitState::Outgoing { call: other, .. }) => {
                call == other
            }
            (Some(CircuitState::Incoming { call, .. }), CircuitState::Incoming { call: other, .. }) => {
                call == other
            }
            _ => false,
        };
        // All circuits of a call with a width above 1 end together.
        let others: Vec<CircuitEnd> = self
            .circuits
            .iter()
            .filter(|(other, state)| (other.0, other.1) == (end.0, end.1) && same_call(state))
            .map(|(other, _)| *other)
            .collect();
        for other in others {
            match next {
                Some(next) => self.circuits.insert(other, next),
                None => self.circuits.remove(&other),
            };
        }
        match state {
            Some(CircuitState::Outgoing { call, standing: false, .. }) => {
                self.model.record(self.now, call, EventKind::SeizureEnded { outcome })
            }
            Some(CircuitState::Incoming { call, standing: false }) => self.finish_transit(call, incoming_end),
            _ => {}
        }
    }

    /// Updates the circuits of `exchange` when it sends a message.
    fn on_message_sent(&mut self, exchange: u16, to: u16, message: &Message) {
        let Some(index) = message.cic.index() else { return };
        let end = (exchange, to, index);
        match &message.body {
            Body::Iam(iam) => {
                let call = self.call_key(exchange, iam);
                self.model.record(self.now, call, EventKind::Seized { to: to.into() });
                let state = CircuitState::Outgoing { call, signalling_circuit: index, standing: false };
                circuit_indices(message.cic, iam)
                    .into_iter()
                    .for_each(|index| _ = self.circuits.insert((exchange, to, index), state));
            }
            Body::Anm { .. } => {
                if let Some(CircuitState::Incoming { call, standing: false }) =
                    self.circuits.get(&end).copied()
                {
                    self.finish_transit(call, EventKind::Answered(FinalAnswer::Stands));
                }
                self.mark_standing(end);
            }
            Body::Rel(rel) => {
                self.observations.crankbacks += usize::from(rel.crankback.is_some());
                let outcome = match rel.cause.cause {
                    Q850::RecoveryOnTimer => SeizureOutcome::TimedOut,
                    Q850::NormalClearing => SeizureOutcome::Cancelled,
                    _ => SeizureOutcome::Reset,
                };
                self.end_use(
                    end,
                    outcome,
                    EventKind::Answered(FinalAnswer::Refused),
                    Some(CircuitState::Releasing(index)),
                );
            }
            Body::Rsc => self.end_use(
                end,
                SeizureOutcome::Reset,
                EventKind::Answered(FinalAnswer::Fails),
                Some(CircuitState::Releasing(index)),
            ),
            Body::Grs { count } => {
                for index in index..index + u16::from(*count) {
                    self.circuits.entry((exchange, to, index)).or_insert(CircuitState::GroupReset);
                }
            }
            _ => {}
        }
    }

    /// Marks the call on a circuit as standing, on all its circuits.
    fn mark_standing(&mut self, end: CircuitEnd) {
        let Some(state) = self.circuits.get(&end).copied() else { return };
        let same_call = self
            .circuits
            .iter_mut()
            .filter(|(other, other_state)| (other.0, other.1) == (end.0, end.1) && **other_state == state);
        for (_, state) in same_call {
            if let CircuitState::Outgoing { standing, .. } | CircuitState::Incoming { standing, .. } = state {
                *standing = true;
            }
        }
    }

    /// Updates the circuits of `exchange` when a message arrives, before its call control gets the message.
    fn on_message_received(&mut self, from: u16, exchange: u16, message: &Message) {
        let Some(index) = message.cic.index() else { return };
        let end = (exchange, from, index);
        match &message.body {
            Body::Iam(iam) => self.on_set_up_received(from, exchange, message.cic, iam),
            Body::Anm { .. } => match self.circuits.get(&end).copied() {
                Some(CircuitState::Outgoing { call, standing: false, .. }) => {
                    self.model.record(
                        self.now,
                        call,
                        EventKind::SeizureEnded { outcome: SeizureOutcome::Answered },
                    );
                    self.mark_standing(end);
                }
                Some(CircuitState::Releasing(_)) => self.observations.late_answers += 1,
                _ => {}
            },
            Body::Rel(rel) => {
                let outcome = match rel.cause.cause {
                    Q850::RecoveryOnTimer => SeizureOutcome::TimedOut,
                    Q850::TemporaryFailure => SeizureOutcome::Reset,
                    _ => SeizureOutcome::Rejected,
                };
                // After a dual seizure the far end may release its own set-up on a further circuit of this call. That doesn't
                // end this call.
                if let Some(CircuitState::Outgoing { signalling_circuit, standing: false, .. }) =
                    self.circuits.get(&end)
                    && *signalling_circuit != index
                {
                    return;
                }
                // If this end has sent a release, too, the circuit stays until that release is completed.
                if !matches!(self.circuits.get(&end), Some(CircuitState::Releasing(_))) {
                    self.end_use(end, outcome, EventKind::CallerGone, None);
                }
            }
            Body::Rlc { .. } => self.free_released(end),
            Body::Rsc => self.on_reset_received(end),
            Body::Grs { count } => {
                (index..index + u16::from(*count))
                    .for_each(|index| self.on_reset_received((exchange, from, index)));
            }
            Body::Gra(range) => {
                for index in index..index + u16::from(range.count) {
                    if self.circuits.get(&(exchange, from, index)) == Some(&CircuitState::GroupReset) {
                        self.circuits.remove(&(exchange, from, index));
                    }
                }
            }
            _ => {}
        }
    }

    /// Frees a circuit whose release is completed, and the circuits released with it.
    fn free_released(&mut self, end: CircuitEnd) {
        let Some(CircuitState::Releasing(signalling_circuit)) = self.circuits.get(&end).copied() else {
            return;
        };
        self.circuits.retain(|other, state| {
            (other.0, other.1) != (end.0, end.1) || *state != CircuitState::Releasing(signalling_circuit)
        });
    }

    fn on_reset_received(&mut self, end: CircuitEnd) {
        match self.circuits.get(&end) {
            Some(CircuitState::Releasing(_)) => self.free_released(end),
            Some(CircuitState::GroupReset) | None => {}
            _ => self.end_use(end, SeizureOutcome::Reset, EventKind::CallerGone, None),
        }
    }

    /// Handles an arriving set-up. Dual seizure is decided as in the standard: the call with more circuits prevails; if both have
    /// equally many, the exchange with the higher point code prevails on even circuits, the other one on odd circuits.
    fn on_set_up_received(&mut self, from: u16, exchange: u16, cic: Cic, iam: &Iam) {
        let indices = circuit_indices(cic, iam);
        let states: Vec<CircuitState> = indices
            .iter()
            .filter_map(|index| self.circuits.get(&(exchange, from, *index)).copied())
            .collect();
        let is_open_seizure =
            |state: &CircuitState| matches!(state, CircuitState::Outgoing { standing: false, .. });
        if !states.iter().all(is_open_seizure) {
            // A circuit is being released or reset, or carries a call; the sender of the set-up will be told.
            return;
        }
        for index in &indices {
            let Some(CircuitState::Outgoing { call, .. }) =
                self.circuits.get(&(exchange, from, *index)).copied()
            else {
                continue;
            };
            let own_circuits = self.circuits.iter().filter(|(end, state)| {
                (end.0, end.1) == (exchange, from)
                    && matches!(state, CircuitState::Outgoing { call: other, .. } if *other == call)
            });
            let own_prevails = match own_circuits.count().cmp(&indices.len()) {
                std::cmp::Ordering::Equal => Cic::from_index(*index).0.is_multiple_of(2) == (exchange > from),
                order => order.is_gt(),
            };
            if own_prevails {
                return;
            }
        }
        for index in &indices {
            if self.circuits.contains_key(&(exchange, from, *index)) {
                self.end_use((exchange, from, *index), SeizureOutcome::Rejected, EventKind::CallerGone, None);
            }
        }
        let digits = iam.called.digits();
        let dest = digits[..5].iter().fold(0u16, |value, digit| value * 10 + u16::from(*digit));
        let stopping = self.processes.get(&exchange).is_some_and(|process| process.stopping_since.is_some());
        let call = self.call_key(exchange, iam);
        let state = CircuitState::Incoming { call, standing: false };
        indices.iter().for_each(|index| _ = self.circuits.insert((exchange, from, *index), state));
        // Only calls in transit are recorded: numbers of this exchange answer by themselves, and a stopping exchange accepts no
        // calls.
        if dest != exchange && !stopping {
            let time_left_ms = iam.identity.map_or(0, |identity| identity.time_left_ms);
            self.observations.transit_calls += 1;
            self.unanswered_transit.insert(call);
            let deadline = self.now + ms(time_left_ms.into());
            self.model.record(self.now, call, EventKind::Accepted { deadline });
        }
    }

    fn offer_call(&mut self) {
        if self.is_over() {
            return;
        }
        let gap = self.rng.random_range(0.0..2.0) / self.config.calls_per_s;
        self.schedule_in(Duration::from_millis((gap * 1e3) as u64), Action::OfferCall);
        let exchange = self.rng.random_range(1..=self.config.exchanges);
        let others = self.others(exchange);
        // Half of the calls of an exchange go to one destination, so that some trunk groups are offered more calls than they
        // can carry.
        let dest = if self.rng.random_bool(0.5) {
            others[0]
        } else {
            others[self.rng.random_range(0..others.len())]
        };
        let time_left_ms = [15, 60, 110, 500, 2000, 4000, 4000, 60_000][self.rng.random_range(0..8)];
        let dialled = if self.rng.random_bool(0.05) { 77 } else { self.rng.random_range(1000..1400) };
        let request = CallRequest {
            call_type: CallType(self.rng.random_range(0..3)),
            customer: CustomerId(0),
            dest: ExchangeNumber(dest),
            dialled: DialledNumber(dialled),
            time_left: ms(time_left_ms),
            advised: None,
            cut: false,
            redial: false,
        };
        let Some(process) = self.processes.get_mut(&exchange) else { return };
        let call = process.call_control.next_call();
        let start_count = process.start_count;
        let deadline = self.now + request.time_left;
        self.model.record(self.now, (exchange, start_count, call.0), EventKind::Accepted { deadline });
        self.with_call_control(exchange, |call_control, now, actions| {
            call_control.offer(now, actions, call, request)
        });
        let duration =
            if self.rng.random_bool(0.15) { self.random_delay(0, 150) } else { self.random_delay(200, 3000) };
        self.schedule_in(duration, Action::HangUp(exchange, start_count, call));
    }

    /// Breaks a link: octets in transit are lost, and both ends are told.
    fn lose_link(&mut self, a: u16, b: u16) {
        if self.links.insert(link_key(a, b), None).flatten().is_none() {
            return;
        }
        self.observations.links_lost += 1;
        for (exchange, far) in [(a, b), (b, a)] {
            let is_unanswered = |state: &CircuitState| {
                matches!(
                    state,
                    CircuitState::Outgoing { standing: false, .. }
                        | CircuitState::Incoming { standing: false, .. }
                )
            };
            let next_unanswered = |simulation: &Self| {
                let mut ends = simulation
                    .circuits
                    .iter()
                    .filter(|(end, state)| (end.0, end.1) == (exchange, far) && is_unanswered(state));
                ends.next().map(|(end, _)| *end)
            };
            while let Some(end) = next_unanswered(self) {
                self.end_use(
                    end,
                    SeizureOutcome::Reset,
                    EventKind::CallerGone,
                    Some(CircuitState::Releasing(end.2)),
                );
            }
            self.with_call_control(exchange, |call_control, now, actions| {
                call_control.link_down(now, actions, ExchangeNumber(far))
            });
        }
        let delay = self.random_delay(50, 2000);
        self.schedule_in(delay, Action::ConnectLink(a, b));
    }

    /// Ends the process of an exchange, because it was killed or has stopped, and schedules its next start.
    fn end_process(&mut self, exchange: u16) {
        let Some(process) = self.processes.remove(&exchange) else { return };
        self.counters.push(process.call_control.status().counters);
        self.model.record(self.now, (exchange, process.start_count, 0), EventKind::ControllerKilled);
        self.circuits.retain(|end, _| end.0 != exchange);
        self.unanswered_transit.retain(|call| call.0 != exchange);
        self.ended_since.insert(exchange, self.now);
        self.others(exchange).into_iter().for_each(|far| self.lose_link(exchange, far));
        let delay = self.random_delay(100, 2500);
        self.schedule_in(delay, Action::StartExchange(exchange));
    }

    /// Continues the stop of each stopping exchange as the daemon's server does it: waits for calls without an answer, then
    /// releases all calls, then ends the process.
    fn continue_stops(&mut self) {
        let now = self.now;
        let stopping: Vec<u16> = self
            .processes
            .iter()
            .filter(|(_, process)| process.stopping_since.is_some())
            .map(|(exchange, _)| *exchange)
            .collect();
        for exchange in stopping {
            let process = self.processes.get_mut(&exchange).unwrap();
            let since = process.stopping_since.unwrap_or(now);
            match process.released_at {
                None if !process.call_control.has_unanswered_calls() || now >= since + MAX_ANSWER_WAIT => {
                    process.released_at = Some(now);
                    self.with_call_control(exchange, |call_control, now, actions| {
                        call_control.release_all(now, actions)
                    });
                    let status = self.processes[&exchange].call_control.status();
                    assert_eq!(
                        status.pending_answers, 0,
                        "answers are pending after the release of all calls"
                    );
                    self.schedule_in(MAX_RELEASE_TIME, Action::EndProcess(exchange));
                }
                Some(_) if !process.call_control.awaits_release() => self.end_process(exchange),
                _ => {}
            }
        }
    }

    /// Observes the circuits that other exchanges still hold to an exchange whose process has ended.
    fn observe_held_circuits(&mut self) {
        let held_circuits = |simulation: &Self, exchange: u16| -> usize {
            let others = simulation.processes.iter().filter(|(other, _)| **other != exchange);
            let groups = others.flat_map(|(_, process)| process.call_control.status().groups);
            let groups_to = groups.filter(|group| group.to.0 == exchange);
            groups_to.map(|group| group.seized + group.standing).sum()
        };
        for (exchange, since) in self.ended_since.clone() {
            let held = held_circuits(self, exchange);
            self.observations.held_after_end = self.observations.held_after_end.max(held);
            // Once the next process is connected, circuits may be held by new calls to it.
            if held == 0
                || self.processes.contains_key(&exchange)
                    && self.start_counts[&exchange] > 1
                    && self.all_links_up(exchange)
            {
                self.observations.longest_held_after_end =
                    self.observations.longest_held_after_end.max(self.now - since);
                self.ended_since.remove(&exchange);
            }
        }
    }

    fn all_links_up(&self, exchange: u16) -> bool {
        self.others(exchange).into_iter().all(|far| self.links[&link_key(exchange, far)].is_some())
    }

    fn inject_fault(&mut self) {
        if self.is_over() {
            return;
        }
        let delay = self.random_delay(300, 1500);
        self.schedule_in(delay, Action::InjectFault);
        let exchange = self.rng.random_range(1..=self.config.exchanges);
        let others = self.others(exchange);
        let far = others[self.rng.random_range(0..others.len())];
        match self.rng.random_range(0..10) {
            0..2 => self.lose_link(exchange, far),
            2..5 => {
                let until = self.now + self.random_delay(100, 1800);
                self.hung_until.insert(exchange, until);
            }
            5..6 => self.end_process(exchange),
            6..7 => self.perform(Action::StopExchange(exchange)),
            _ => {
                let machine = self.machines[&exchange];
                let entry = |id, status, started| ExchangeEntry {
                    id: ExchangeId(id),
                    number: ExchangeNumber(exchange),
                    zone: Zone(0),
                    status,
                    started,
                };
                let (now, replacement) = (self.now, machine + REPLACEMENT_ID_OFFSET);
                self.machines.insert(exchange, replacement);
                for other in 1..=self.config.exchanges {
                    let (drain_delay, ready_delay) =
                        (self.random_delay(0, 500), self.random_delay(600, 1500));
                    self.schedule_in(
                        drain_delay,
                        Action::ChangeMembership(
                            other,
                            entry(machine, ExchangeStatus::Draining, Duration::ZERO),
                        ),
                    );
                    self.schedule_in(
                        ready_delay,
                        Action::ChangeMembership(other, entry(replacement, ExchangeStatus::Ready, now)),
                    );
                    self.schedule_in(
                        ready_delay + ms(100),
                        Action::ChangeMembership(other, entry(machine, ExchangeStatus::Gone, Duration::ZERO)),
                    );
                }
                self.model.record(now, (0, 0, 0), EventKind::ColdStart { exchange: exchange.into() });
            }
        }
    }
}
