//! A day in virtual time: the call control of every exchange and the simulation run in one process, event by event. The same
//! seed gives the same octets at the same times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall::interface::{CallId, ExchangeNumber};
use mintstall_callapi::FinalAnswer;
use mintstall_callcontrol::{Answer, CallControl, CallControlActions, CallEnd, Counters};
use mintstall_daemon::exchange::{call_request, end_reason, final_answer, processor_report};
use mintstall_daemon::exchange_entries;
use mintstall_emulator::{Action, Day, LinkMode, Observer, Score, Simulation};
use mintstall_membership::{Membership, MembershipChange, MembershipLimits};

use crate::controller_config::{self, Endpoints};

/// Added to the day's clock, because processors may have started before the day.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// A day runs at most this much longer than its scripted length.
const MAX_OVERRUN: Duration = Duration::from_secs(120);

/// The controller of one exchange in virtual time.
struct VirtualController {
    call_control: CallControl,
    membership: Membership,
    /// Calls in progress by the subscriber's number.
    calls: BTreeMap<u64, CallId>,
    /// The subscriber's number of each call in progress.
    subscriber_numbers: BTreeMap<CallId, u64>,
    timer: Option<Duration>,
}

/// An output of call control. Outputs are kept in order and passed to the simulation once call control has returned.
enum Output {
    Octets(u16, Vec<u8>),
    LinkClosed(u16),
    Answered(CallId, Answer),
    Ended(CallId, CallEnd),
}

#[derive(Default)]
struct OutputRecorder {
    outputs: Vec<Output>,
    log_lines: u64,
}

impl CallControlActions for OutputRecorder {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.outputs.push(Output::Octets(to.0, octets.to_vec()));
    }
    fn close_link(&mut self, to: ExchangeNumber, _: &str) {
        self.outputs.push(Output::LinkClosed(to.0));
    }
    fn answer(&mut self, call: CallId, answer: Answer) {
        self.outputs.push(Output::Answered(call, answer));
    }
    fn call_ended(&mut self, call: CallId, end: CallEnd) {
        self.outputs.push(Output::Ended(call, end));
    }
    fn log_info(&mut self, line: &str) {
        self.log_lines += 1;
        tracing::trace!(target: "mintstall::mode", "{line}");
    }
}

/// Sits between a controller and the simulation. Tests use it to make controllers break rules.
pub trait Interceptor {
    /// Takes octets that the controller of `exchange_number` sends; the octets returned are sent instead.
    fn outgoing_octets(
        &mut self,
        _now: Duration,
        _exchange_number: u16,
        _to: u16,
        octets: Vec<u8>,
    ) -> Vec<(u16, Vec<u8>)>;
    /// Whether a membership update reaches the controller.
    fn delivers_membership(&mut self, _now: Duration, _exchange_number: u16) -> bool {
        true
    }
    /// How often a final answer is passed on.
    fn answer_copies(&mut self, _now: Duration, _exchange_number: u16, _call: u64) -> usize {
        1
    }
}

/// Passes everything on unchanged.
pub struct PassThrough;

impl Interceptor for PassThrough {
    fn outgoing_octets(&mut self, _: Duration, _: u16, to: u16, octets: Vec<u8>) -> Vec<(u16, Vec<u8>)> {
        vec![(to, octets)]
    }
}

/// The result of a day in virtual time.
pub struct DayResult {
    pub score: Score,
    /// Time of the last event on the day's clock.
    pub ended_at: Duration,
    pub events: u64,
    pub counters: Vec<Counters>,
    /// Circuits that neither are free nor carry a call at the end.
    pub stuck_circuits: usize,
    /// Calls still in progress at the end.
    pub calls_left: usize,
    /// Inconsistencies in the state of any exchange's call control at the end.
    pub inconsistencies: Vec<String>,
}

struct VirtualRun<'a> {
    simulation: Simulation,
    /// By exchange number less one; `None` while the controller is down.
    controllers: Vec<Option<VirtualController>>,
    /// The next timer of each controller, with its exchange.
    timers: BTreeSet<(Duration, u16)>,
    recorder: OutputRecorder,
    interceptor: &'a mut dyn Interceptor,
    events: u64,
}

/// Runs a day whose script has no validation errors.
pub fn run(day: &Day, observer: &mut dyn Observer, interceptor: &mut dyn Interceptor) -> DayResult {
    let count = usize::from(day.exchanges);
    let mut day_run = VirtualRun {
        simulation: Simulation::new(day, LinkMode::InProcess),
        controllers: (0..count).map(|_| None).collect(),
        timers: BTreeSet::new(),
        recorder: OutputRecorder::default(),
        interceptor,
        events: 0,
    };
    day_run.run(observer)
}

impl VirtualRun<'_> {
    fn run(&mut self, observer: &mut dyn Observer) -> DayResult {
        let day_end = Duration::from_secs_f64(self.simulation.day().length_s) + MAX_OVERRUN;
        let mut now = Duration::ZERO;
        let mut actions = Vec::new();
        loop {
            let next_event = self.simulation.next_event_time();
            let next_timer = self.timers.first().copied();
            let due = match (next_event, next_timer) {
                (Some(event_at), Some((timer_at, _))) => event_at.min(timer_at),
                (event_at, timer) => match event_at.or(timer.map(|timer| timer.0)) {
                    Some(due) => due,
                    None => break,
                },
            };
            if due > day_end || self.simulation.is_finished(now) {
                break;
            }
            now = now.max(due);
            self.events += 1;
            if next_event.is_some_and(|at| at <= now) {
                self.simulation.advance(now, observer, &mut actions);
                self.carry_out(now, &mut actions, observer);
            } else if let Some((_, exchange_number)) = next_timer {
                self.with_controller(now, exchange_number, observer, |controller, now, call_actions| {
                    controller.call_control.on_timer(now, call_actions)
                });
                self.carry_out(now, &mut actions, observer);
            }
        }
        // Releases of the last calls are still in transit, and the circuit audits run once more.
        let drain_end = now + Duration::from_secs(15);
        while let Some(due) = self
            .simulation
            .next_event_time()
            .into_iter()
            .chain(self.timers.first().map(|timer| timer.0))
            .min()
        {
            if due > drain_end {
                break;
            }
            now = now.max(due);
            if self.simulation.next_event_time().is_some_and(|at| at <= now) {
                self.simulation.advance(now, observer, &mut actions);
                self.carry_out(now, &mut actions, observer);
            } else if let Some((_, exchange_number)) = self.timers.first().copied() {
                self.with_controller(now, exchange_number, observer, |controller, now, call_actions| {
                    controller.call_control.on_timer(now, call_actions)
                });
            }
        }
        let statuses: Vec<_> =
            self.controllers.iter().flatten().map(|controller| controller.call_control.status()).collect();
        let groups = statuses.iter().flat_map(|status| &status.groups);
        let inconsistencies = self
            .controllers
            .iter()
            .flatten()
            .flat_map(|controller| controller.call_control.inconsistencies());
        DayResult {
            inconsistencies: inconsistencies.collect(),
            score: self.simulation.score.clone(),
            ended_at: now,
            events: self.events,
            stuck_circuits: groups.map(|group| group.seized + group.releasing + group.resetting).sum(),
            calls_left: statuses.iter().map(|status| status.calls).sum(),
            counters: statuses.iter().map(|status| status.counters).collect(),
        }
    }

    fn carry_out(&mut self, now: Duration, actions: &mut Vec<Action>, observer: &mut dyn Observer) {
        while !actions.is_empty() {
            for action in std::mem::take(actions) {
                self.carry_out_one(now, action, observer, actions);
            }
        }
    }

    fn carry_out_one(
        &mut self,
        now: Duration,
        action: Action,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        match action {
            Action::Start { exchange_number, incarnation } => {
                let config =
                    controller_config::build(&self.simulation, exchange_number, &Endpoints::default());
                let seed = config.seed.unwrap_or(0).wrapping_add(u64::from(incarnation) << 32);
                let controller = VirtualController {
                    call_control: CallControl::new(
                        now + CLOCK_START,
                        &config.call_control_config(),
                        u64::from(incarnation) << 11,
                        seed,
                    ),
                    membership: Membership::new(MembershipLimits::default()),
                    calls: BTreeMap::new(),
                    subscriber_numbers: BTreeMap::new(),
                    timer: None,
                };
                self.controllers[usize::from(exchange_number) - 1] = Some(controller);
            }
            Action::Kill { exchange_number } => {
                if let Some(controller) = self.controllers[usize::from(exchange_number) - 1].take() {
                    controller
                        .timer
                        .into_iter()
                        .for_each(|at| _ = self.timers.remove(&(at, exchange_number)));
                }
            }
            Action::LinkUp { exchange_number, to } => {
                self.with_controller(now, exchange_number, observer, |controller, now, call_actions| {
                    controller.call_control.link_up(now, call_actions, ExchangeNumber(to))
                });
            }
            Action::LinkDown { exchange_number, to } => {
                self.with_controller(now, exchange_number, observer, |controller, now, call_actions| {
                    controller.call_control.link_down(now, call_actions, ExchangeNumber(to))
                });
            }
            Action::LinkOctets { exchange_number, from, octets } => {
                self.with_controller(now, exchange_number, observer, |controller, now, call_actions| {
                    controller.call_control.on_octets(now, call_actions, ExchangeNumber(from), &octets)
                });
            }
            Action::Offer { exchange_number, offer } => {
                self.with_controller(now, exchange_number, observer, |controller, now, call_actions| {
                    let call = controller.call_control.next_call();
                    controller.calls.insert(offer.call, call);
                    controller.subscriber_numbers.insert(call, offer.call);
                    controller.call_control.offer(now, call_actions, call, call_request(&offer));
                })
            }
            Action::HangUp { exchange_number, call } => {
                let controller = self.controllers[usize::from(exchange_number) - 1].as_ref();
                let Some(id) = controller.and_then(|controller| controller.calls.get(&call)).copied() else {
                    return;
                };
                self.with_controller(now, exchange_number, observer, |controller, now, call_actions| {
                    _ = controller.call_control.hang_up(now, call_actions, id)
                });
                if let Some(controller) = self.controllers[usize::from(exchange_number) - 1].as_mut() {
                    controller.calls.remove(&call);
                    controller.subscriber_numbers.remove(&id);
                }
            }
            // The first list is always delivered: without it the controller knows no other exchange.
            Action::Membership { exchange_number, update }
                if update.since.is_some() && !self.interceptor.delivers_membership(now, exchange_number) => {}
            Action::Membership { exchange_number, update } => {
                let mut accepted = true;
                self.with_controller(now, exchange_number, observer, |controller, now, call_actions| {
                    let (_, change) = controller.membership.apply(now, &update);
                    match &change {
                        Some(MembershipChange::Full(members)) => controller.call_control.on_membership(
                            now,
                            call_actions,
                            &exchange_entries(members),
                        ),
                        Some(MembershipChange::Delta(members)) => controller
                            .call_control
                            .on_membership_changes(now, call_actions, &exchange_entries(members)),
                        None => accepted = false,
                    }
                });
                if !accepted {
                    self.simulation.resend_membership(now, exchange_number, observer, actions);
                }
            }
            Action::CircuitsInService { exchange_number, to, in_service } => {
                self.with_controller(now, exchange_number, observer, |controller, now, call_actions| {
                    controller.call_control.set_circuits_in_service(
                        now,
                        call_actions,
                        ExchangeNumber(to),
                        in_service,
                    );
                });
            }
            Action::ProcessorReport { exchange_number, rate } => {
                self.with_controller(now, exchange_number, observer, |controller, _, _| {
                    controller.call_control.set_processor_report(processor_report(Some(rate)))
                });
            }
        }
    }

    /// Runs `f` on the controller of one exchange, then updates its timer and passes its outputs to the simulation.
    fn with_controller(
        &mut self,
        now: Duration,
        exchange_number: u16,
        observer: &mut dyn Observer,
        f: impl FnOnce(&mut VirtualController, Duration, &mut dyn CallControlActions),
    ) {
        let Some(controller) = self.controllers[usize::from(exchange_number) - 1].as_mut() else { return };
        f(controller, now + CLOCK_START, &mut self.recorder);
        let timer = controller.call_control.next_timer().map(|at| at.saturating_sub(CLOCK_START));
        if timer != controller.timer {
            controller.timer.into_iter().for_each(|at| _ = self.timers.remove(&(at, exchange_number)));
            timer.into_iter().for_each(|at| _ = self.timers.insert((at, exchange_number)));
            controller.timer = timer;
        }
        let mut outputs = std::mem::take(&mut self.recorder.outputs);
        let mut closed_links = Vec::new();
        for output in outputs.drain(..) {
            match output {
                Output::Octets(to, octets) => {
                    for (to, octets) in self.interceptor.outgoing_octets(now, exchange_number, to, octets) {
                        self.simulation.on_controller_octets(now, exchange_number, to, &octets, observer);
                    }
                }
                Output::LinkClosed(to) => closed_links.push(to),
                Output::Answered(call, answer) => {
                    let Some(controller) = self.controllers[usize::from(exchange_number) - 1].as_mut() else {
                        continue;
                    };
                    let Some(number) = controller.subscriber_numbers.get(&call).copied() else { continue };
                    let answer = final_answer(answer);
                    if answer != FinalAnswer::Stands {
                        controller.subscriber_numbers.remove(&call);
                        controller.calls.remove(&number);
                    }
                    for _ in 0..self.interceptor.answer_copies(now, exchange_number, number) {
                        self.simulation.call_answered(now, exchange_number, number, call.0, answer, observer);
                    }
                }
                Output::Ended(call, end) => {
                    let Some(controller) = self.controllers[usize::from(exchange_number) - 1].as_mut() else {
                        continue;
                    };
                    let Some(number) = controller.subscriber_numbers.remove(&call) else { continue };
                    controller.calls.remove(&number);
                    self.simulation.call_ended(now, exchange_number, number, end_reason(end), observer);
                }
            }
        }
        self.recorder.outputs = outputs;
        for to in closed_links {
            let mut actions = Vec::new();
            self.simulation.link_disconnected(now, exchange_number, to, observer, &mut actions);
            self.carry_out(now, &mut actions, observer);
        }
    }
}
