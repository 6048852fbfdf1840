//! Several real controllers that send set-ups to the same emulated exchanges. All inputs are drawn from a seed; the rules are
//! checked after each input.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::rules::{CallKey, Event, EventKind, FinalAnswer, Model, SeizureOutcome};
use crate::{call_type, controller_config, ms, rule_limits};

const CONTROLLERS: u16 = 3;
const EXCHANGES: u16 = 5;
/// The id of a replacement machine is that of the machine it replaces plus this.
const REPLACEMENT_ID_OFFSET: u32 = 100;

pub struct RunConfig {
    pub seed: u64,
    pub calls_per_s: f64,
    /// Most calls go to one exchange, which is replaced by a cold machine.
    pub crowd: bool,
    pub duration: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    OfferCall,
    ExpireTimer(u16, u32, TimerId),
    EndSeizure(CallKey, u8, u32, Cause),
    AnswerSeizure(CallKey, u8, u32),
    HangUp(CallKey),
    ReportCapacity(u16, u32),
    ChangeMembership(u16, ExchangeEntry),
    InjectFault,
    KillController(u16),
    StartController(u16),
}

/// The open seizure of a call.
#[derive(Clone, Copy)]
struct OpenSeizure {
    number: u8,
    to: u32,
    sent_at: Duration,
}

struct RunState {
    now: Duration,
    rng: Pcg64Mcg,
    /// Scheduled actions. Those due at the same time happen in random order.
    schedule: BTreeMap<(Duration, u32, u64), Action>,
    /// Number of actions scheduled so far; keeps the keys of the schedule distinct.
    scheduled_count: u64,
    model: Model,
    open_seizures: BTreeMap<CallKey, OpenSeizure>,
    /// Calls that have a final answer, or whose caller is gone.
    closed_calls: BTreeSet<CallKey>,
    /// Exchanges that don't answer set-ups, and until when.
    hung_until: BTreeMap<u32, Duration>,
    /// All exchanges answer within 30 ms and have circuits for all calls.
    ample_capacity: bool,
}

impl RunState {
    fn schedule_in(&mut self, delay: Duration, action: Action) {
        self.scheduled_count += 1;
        let order = self.rng.random();
        self.schedule.insert((self.now + delay, order, self.scheduled_count), action);
    }

    /// A random delay in steps of 10 ms, so that many actions are due at the same time.
    fn random_delay(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        ms(self.rng.random_range(from_ms / 10..=to_ms / 10) * 10)
    }

    fn close_call(&mut self, key: CallKey, kind: EventKind) {
        self.closed_calls.insert(key);
        self.model.record(self.now, key, kind);
    }

    /// Draws when an exchange responds to a set-up, and the cause if the set-up fails.
    fn draw_response(&mut self, to: u32) -> (Duration, Option<Cause>) {
        if self.hung_until.get(&to).is_some_and(|until| *until > self.now) {
            return (Duration::MAX, Some(Cause::TimedOut));
        }
        if self.ample_capacity {
            return (self.random_delay(10, 30), None);
        }
        let delay = self.random_delay(0, 120);
        let waits = [0, 120, 900, 20_000];
        let wait = ms(waits[self.rng.random_range(0..waits.len())]);
        let cause = match self.rng.random_range(0..100) {
            0..60 => None,
            60..70 => Some(Cause::TurnedBack { beyond: self.rng.random() }),
            70..75 => Some(Cause::NoCircuit),
            75..80 => Some(Cause::ProcessorFull { wait }),
            80..85 => Some(Cause::Cut),
            85..88 => Some(Cause::Unreachable),
            88..90 => Some(Cause::Busy),
            90..91 => Some(Cause::Fault),
            91..94 => Some(Cause::NotSent { own_down: self.rng.random() }),
            _ => return (Duration::MAX, Some(Cause::TimedOut)),
        };
        (delay, cause)
    }
}

/// Performs the actions of one controller process.
struct Actions<'a> {
    state: &'a mut RunState,
    process: (u16, u32),
}

impl Actions<'_> {
    fn key(&self, call: CallId) -> CallKey {
        (self.process.0, self.process.1, call.0)
    }
}

impl ControllerActions for Actions<'_> {
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration) {
        let key = self.key(call);
        let state = &mut *self.state;
        let earlier = |event: &&Event| event.call == key && matches!(event.kind, EventKind::Seized { .. });
        let number = state.model.events.iter().filter(earlier).count() as u8;
        state.model.record(state.now, key, EventKind::Seized { to: to.0 });
        state.open_seizures.insert(key, OpenSeizure { number, to: to.0, sent_at: state.now });
        let (delay, cause) = state.draw_response(to.0);
        let action = match cause {
            _ if delay >= limit => Action::EndSeizure(key, number, to.0, Cause::TimedOut),
            Some(cause) => Action::EndSeizure(key, number, to.0, cause),
            None => Action::AnswerSeizure(key, number, to.0),
        };
        state.schedule_in(delay.min(limit), action);
    }
    fn cancel(&mut self, call: CallId, seizure: SeizureNumber) {
        let key = self.key(call);
        let Some(open) = self.state.open_seizures.get(&key).copied().filter(|open| open.number == seizure.0)
        else {
            return;
        };
        // The exchange's response may already be on its way; it arrives in spite of the cancel.
        if self.state.rng.random_bool(0.8) {
            let delay = self.state.random_delay(0, 40);
            self.state.schedule_in(delay, Action::EndSeizure(key, open.number, open.to, Cause::Cancelled));
        }
    }
    fn reject(&mut self, call: CallId, _: Duration) {
        let key = self.key(call);
        self.state.close_call(key, EventKind::Answered(FinalAnswer::Refused));
    }
    fn release(&mut self, call: CallId) {
        let key = self.key(call);
        self.state.close_call(key, EventKind::Answered(FinalAnswer::Fails));
    }
    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        let (controller_number, start_count) = self.process;
        let delay = Duration::from_micros(after.as_micros() as u64);
        self.state.schedule_in(delay, Action::ExpireTimer(controller_number, start_count, timer));
    }
    fn send_to_peers(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self) {}
    fn log(&mut self, _: &str) {}
}

fn config_of(own: u16) -> ControllerConfig {
    let call_types = vec![
        call_type(1.0, 1, RepeatPolicy::Freely),
        call_type(8.0, 1, RepeatPolicy::Freely),
        call_type(3.0, 3, RepeatPolicy::Never),
    ];
    ControllerConfig { may_message_peers: own == 3, ..controller_config(own, call_types) }
}

struct Simulation {
    state: RunState,
    controllers: Vec<Option<Controller>>,
    /// How many times each controller has been started.
    start_counts: Vec<u32>,
    /// The membership as each controller was last told.
    memberships: Vec<BTreeMap<u32, ExchangeEntry>>,
    /// The present machine of each exchange.
    machines: BTreeMap<u16, u32>,
    last_call: u64,
    config: RunConfig,
}

/// Runs the simulation until nothing is scheduled, checks that all calls and seizures have ended, and returns the model.
pub fn run(config: RunConfig) -> Model {
    let start = Duration::from_secs(100);
    let state = RunState {
        now: start,
        rng: Pcg64Mcg::seed_from_u64(config.seed),
        schedule: BTreeMap::new(),
        scheduled_count: 0,
        model: Model::new(rule_limits(40.0, 10.0), config.seed),
        open_seizures: BTreeMap::new(),
        closed_calls: BTreeSet::new(),
        hung_until: BTreeMap::new(),
        ample_capacity: config.crowd,
    };
    let entry = |exchange: u16| ExchangeEntry {
        id: ExchangeId(exchange.into()),
        number: ExchangeNumber(exchange),
        zone: Zone((exchange % 2) as u8),
        status: ExchangeStatus::Ready,
        started: Duration::ZERO,
    };
    let membership: BTreeMap<u32, ExchangeEntry> =
        (1..=EXCHANGES).map(|exchange| (exchange.into(), entry(exchange))).collect();
    let mut simulation = Simulation {
        state,
        controllers: (0..CONTROLLERS).map(|_| None).collect(),
        start_counts: vec![0; usize::from(CONTROLLERS)],
        memberships: vec![membership; usize::from(CONTROLLERS)],
        machines: (1..=EXCHANGES).map(|exchange| (exchange, exchange.into())).collect(),
        last_call: 0,
        config,
    };
    (1..=CONTROLLERS)
        .for_each(|controller_number| simulation.perform(Action::StartController(controller_number)));
    simulation.state.schedule_in(ms(0), Action::OfferCall);
    simulation.state.schedule_in(ms(300), Action::InjectFault);
    while let Some(((at, ..), action)) = simulation.state.schedule.pop_first() {
        simulation.state.now = at;
        simulation.perform(action);
        // Rule 1 takes the time of the last event as the present, so each check needs an event of the present time.
        simulation.state.model.record(at, (0, 0, 0), EventKind::TimePassed);
        simulation.state.model.check_rules();
        simulation.state.model.events.retain(|event| event.kind != EventKind::TimePassed);
    }
    simulation.state.model.assert_finished();
    simulation.state.model
}

impl Simulation {
    fn with_controller(
        &mut self,
        controller_number: u16,
        f: impl FnOnce(&mut Controller, Duration, &mut Actions),
    ) {
        let index = usize::from(controller_number) - 1;
        let now = self.state.now;
        let Some(controller) = &mut self.controllers[index] else { return };
        f(
            controller,
            now,
            &mut Actions { state: &mut self.state, process: (controller_number, self.start_counts[index]) },
        );
    }

    /// Whether the controller process that has the call is still running.
    fn is_running(&self, key: CallKey) -> bool {
        let index = usize::from(key.0) - 1;
        self.controllers[index].is_some() && self.start_counts[index] == key.1
    }

    /// Whether no new calls and faults are to be generated any more.
    fn is_over(&self) -> bool {
        self.state.now > Duration::from_secs(100) + self.config.duration
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::OfferCall => self.offer_call(),
            Action::ExpireTimer(controller_number, start_count, timer)
                if self.is_running((controller_number, start_count, 0)) =>
            {
                self.with_controller(controller_number, |controller, now, actions| {
                    controller.on_timer(now, actions, timer)
                });
            }
            Action::EndSeizure(key, number, to, cause) if self.is_running(key) => {
                self.end_seizure(key, number, to, cause)
            }
            Action::AnswerSeizure(key, number, to) if self.is_running(key) => {
                self.answer_seizure(key, number, to)
            }
            Action::HangUp(key) if self.is_running(key) && !self.state.closed_calls.contains(&key) => {
                self.state.close_call(key, EventKind::CallerGone);
                self.with_controller(key.0, |controller, now, actions| {
                    controller.on_caller_gone(now, actions, CallId(key.2))
                });
            }
            Action::ReportCapacity(controller_number, to) => {
                let ample = self.state.ample_capacity;
                let free =
                    if ample { 500.0 } else { [0.0, 1.0, 3.0, 20.0][self.state.rng.random_range(0..4)] };
                let has_rate = !ample && self.state.rng.random_bool(0.2);
                let rate = has_rate.then(|| self.state.rng.random_range(5.0..80.0));
                let report = CapacityReport { free: Some(free), size: Some(500.0), rate };
                self.with_controller(controller_number, |controller, now, actions| {
                    controller.on_capacity_report(now, actions, ExchangeId(to), &report)
                });
            }
            Action::ChangeMembership(controller_number, entry) => {
                self.change_membership(controller_number, entry)
            }
            Action::InjectFault => self.inject_fault(),
            Action::KillController(controller_number) => {
                let index = usize::from(controller_number) - 1;
                if self.controllers[index].take().is_some() {
                    let process = (controller_number, self.start_counts[index], 0);
                    self.state.model.record(self.state.now, process, EventKind::ControllerKilled);
                    self.state.open_seizures.retain(|key, _| (key.0, key.1) != (process.0, process.1));
                    let delay = self.state.random_delay(10, 800);
                    self.state.schedule_in(delay, Action::StartController(controller_number));
                }
            }
            Action::StartController(controller_number) => {
                let index = usize::from(controller_number) - 1;
                self.start_counts[index] += 1;
                let seed = self.state.rng.random();
                self.controllers[index] = Some(Controller::new(&config_of(controller_number), seed));
                // A new process knows only the last membership.
                let entries: Vec<_> = self.memberships[index].values().copied().collect();
                entries.iter().for_each(|entry| self.record_status(controller_number, entry));
                self.with_controller(controller_number, |controller, now, actions| {
                    controller.on_membership(now, actions, &entries)
                });
                let exchanges: Vec<u32> = self.memberships[index].keys().copied().collect();
                exchanges.iter().for_each(|to| self.perform(Action::ReportCapacity(controller_number, *to)));
            }
            _ => {}
        }
    }

    fn offer_call(&mut self) {
        if self.is_over() {
            return;
        }
        let state = &mut self.state;
        let gap = state.rng.random_range(0.0..2.0) / self.config.calls_per_s;
        state.schedule_in(Duration::from_millis((gap * 1e3) as u64), Action::OfferCall);
        let controller_number = state.rng.random_range(1..=CONTROLLERS);
        let any_exchange = state.rng.random_range(1..=EXCHANGES);
        let dest = if self.config.crowd && state.rng.random_bool(0.9) { EXCHANGES } else { any_exchange };
        let time_left_ms = [30, 70, 110, 400, 1500, 4000, 4000, 4000][state.rng.random_range(0..8)];
        let call_type = if self.config.crowd { 0 } else { state.rng.random_range(0..3) };
        let dialled = state.rng.random_range(0..400);
        let transit = dest != controller_number && state.rng.random_bool(0.2);
        self.last_call += 1;
        let index = usize::from(controller_number) - 1;
        if self.controllers[index].is_none() {
            return;
        }
        let key = (controller_number, self.start_counts[index], self.last_call);
        let offer = CallOffer {
            call: CallId(self.last_call),
            call_type: CallType(call_type),
            customer: CustomerId(0),
            dialled: DialledNumber(if self.config.crowd { 0 } else { dialled }),
            deadline: state.now + ms(time_left_ms),
            dest: ExchangeNumber(dest),
            width: if call_type == 2 { 3 } else { 1 },
            advised: state.rng.random_bool(0.3).then_some(ExchangeNumber(any_exchange)),
            transit,
            cut: false,
            redial: false,
        };
        state.model.record(state.now, key, EventKind::Accepted { deadline: offer.deadline });
        if state.rng.random_bool(0.2) {
            let delay = state.random_delay(0, time_left_ms - 10);
            state.schedule_in(delay, Action::HangUp(key));
        }
        self.with_controller(controller_number, |controller, now, actions| {
            controller.on_offer(now, actions, offer)
        });
    }

    fn end_seizure(&mut self, key: CallKey, number: u8, to: u32, cause: Cause) {
        let state = &mut self.state;
        let seizure = state.open_seizures.get(&key).copied().filter(|open| open.number == number);
        let Some(open) = seizure else { return };
        state.open_seizures.remove(&key);
        let outcome = match cause {
            Cause::TimedOut => SeizureOutcome::TimedOut,
            Cause::Cut => SeizureOutcome::Reset,
            Cause::Cancelled => SeizureOutcome::Cancelled,
            _ => SeizureOutcome::Rejected,
        };
        state.model.record(state.now, key, EventKind::SeizureEnded { outcome });
        let (elapsed, closed) = (state.now - open.sent_at, state.closed_calls.contains(&key));
        let (call, seizure, exchange) = (CallId(key.2), SeizureNumber(number), ExchangeId(to));
        let end = SeizureEnded { call, seizure, exchange, cause, elapsed, closed };
        self.with_controller(key.0, |controller, now, actions| {
            controller.on_seizure_ended(now, actions, &end)
        });
    }

    fn answer_seizure(&mut self, key: CallKey, number: u8, to: u32) {
        let state = &mut self.state;
        let seizure = state.open_seizures.get(&key).copied().filter(|open| open.number == number);
        let Some(open) = seizure else { return };
        state.open_seizures.remove(&key);
        state.model.record(state.now, key, EventKind::SeizureEnded { outcome: SeizureOutcome::Answered });
        // If the caller is gone, no answer is sent.
        if !state.closed_calls.contains(&key) {
            state.close_call(key, EventKind::Answered(FinalAnswer::Stands));
        }
        let elapsed = state.now - open.sent_at;
        let (call, seizure, exchange) = (CallId(key.2), SeizureNumber(number), ExchangeId(to));
        let answered = SeizureAnswered { call, seizure, exchange, elapsed };
        self.with_controller(key.0, |controller, now, actions| {
            controller.on_seizure_answered(now, actions, &answered)
        });
        // The end of the standing call is reported to the controller, too.
        let cause = if self.state.rng.random_bool(0.2) { Cause::Cut } else { Cause::Done };
        let end = SeizureEnded { call, seizure, exchange, cause, elapsed, closed: true };
        self.with_controller(key.0, |controller, now, actions| {
            controller.on_seizure_ended(now, actions, &end)
        });
    }

    /// Records that a controller is told the status of an exchange.
    fn record_status(&mut self, controller_number: u16, entry: &ExchangeEntry) {
        let process = (controller_number, self.start_counts[usize::from(controller_number) - 1], 0);
        let accepts_calls = entry.status == ExchangeStatus::Ready;
        let kind = EventKind::StatusReceived { exchange: entry.id.0, accepts_calls };
        self.state.model.record(self.state.now, process, kind);
    }

    fn change_membership(&mut self, controller_number: u16, entry: ExchangeEntry) {
        let index = usize::from(controller_number) - 1;
        self.memberships[index].insert(entry.id.0, entry);
        if entry.status == ExchangeStatus::Gone {
            self.memberships[index].remove(&entry.id.0);
        }
        if self.controllers[index].is_some() {
            self.record_status(controller_number, &entry);
            self.with_controller(controller_number, |controller, now, actions| {
                controller.on_membership_changes(now, actions, &[entry])
            });
            self.perform(Action::ReportCapacity(controller_number, entry.id.0));
        }
    }

    /// Schedules a membership change for each controller, each with a random delay of its own.
    fn schedule_membership_change(&mut self, from_ms: u64, entry: ExchangeEntry) {
        for controller_number in 1..=CONTROLLERS {
            let delay = self.state.random_delay(from_ms, from_ms + 400);
            self.state.schedule_in(delay, Action::ChangeMembership(controller_number, entry));
        }
    }

    fn inject_fault(&mut self) {
        if self.is_over() {
            return;
        }
        let delay = self.state.random_delay(100, 700);
        self.state.schedule_in(delay, Action::InjectFault);
        let exchange = if self.config.crowd { EXCHANGES } else { self.state.rng.random_range(1..=EXCHANGES) };
        let machine = self.machines[&exchange];
        let zone = Zone((exchange % 2) as u8);
        let entry = |id, status, started| ExchangeEntry {
            id: ExchangeId(id),
            number: ExchangeNumber(exchange),
            zone,
            status,
            started,
        };
        // In a run with a crowd the exchange is replaced only once.
        let replaced = machine > REPLACEMENT_ID_OFFSET;
        match self.state.rng.random_range(0..10) {
            0..3 if !(self.config.crowd && replaced) => {
                // The machine drains, is gone and is replaced by a cold machine. Controllers may be told of the replacement
                // before they are told that the old machine is gone.
                let replacement = machine + REPLACEMENT_ID_OFFSET;
                self.schedule_membership_change(0, entry(machine, ExchangeStatus::Draining, Duration::ZERO));
                let started = self.state.now;
                self.state.model.record(started, (0, 0, 0), EventKind::ColdStart { exchange: replacement });
                self.schedule_membership_change(
                    self.config.duration.as_millis() as u64 / 8,
                    entry(replacement, ExchangeStatus::Ready, started),
                );
                let gone_after_ms = self.state.random_delay(0, 3000).as_millis() as u64;
                self.schedule_membership_change(
                    gone_after_ms,
                    entry(machine, ExchangeStatus::Gone, Duration::ZERO),
                );
                self.machines.insert(exchange, replacement);
            }
            3..6 if !self.config.crowd => {
                let until = self.state.now + self.state.random_delay(200, 1500);
                self.state.hung_until.insert(machine, until);
            }
            6..7 if !self.config.crowd => {
                let controller_number = self.state.rng.random_range(1..=CONTROLLERS);
                self.state.schedule_in(Duration::ZERO, Action::KillController(controller_number));
            }
            _ => {
                let controller_number = self.state.rng.random_range(1..=CONTROLLERS);
                let exchanges: Vec<u32> =
                    self.memberships[usize::from(controller_number) - 1].keys().copied().collect();
                exchanges.iter().for_each(|to| {
                    self.state.schedule_in(Duration::ZERO, Action::ReportCapacity(controller_number, *to))
                });
            }
        }
    }
}
