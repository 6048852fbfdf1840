//! Drives a controller and records its actions.

use std::ops::Range;
use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::*;

pub const OWN_EXCHANGE: ExchangeNumber = ExchangeNumber(0);

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Seized(u64, u32),
    Cancelled(u64),
    Rejected(u64),
    Released(u64),
    Subscribed,
    SentToPeers(Option<u16>),
}

#[derive(Default)]
struct ActionLog {
    actions: Vec<Action>,
    /// Retry times of the rejected calls.
    retry_times: Vec<Duration>,
    timers: Vec<(Duration, TimerId)>,
    now: Duration,
}

impl ControllerActions for ActionLog {
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration) {
        assert!(!limit.is_zero(), "a limit of zero would last until the caller gives up");
        self.actions.push(Action::Seized(call.0, to.0));
    }
    fn cancel(&mut self, call: CallId, _: SeizureNumber) {
        self.actions.push(Action::Cancelled(call.0));
    }
    fn reject(&mut self, call: CallId, retry_after: Duration) {
        self.retry_times.push(retry_after);
        self.actions.push(Action::Rejected(call.0));
    }
    fn release(&mut self, call: CallId) {
        self.actions.push(Action::Released(call.0));
    }
    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        // The program's clock counts in microseconds.
        self.timers.push((self.now + Duration::from_micros(after.as_micros() as u64), timer));
    }
    fn send_to_peers(&mut self, peer: Option<PeerId>, _: &[u8]) {
        self.actions.push(Action::SentToPeers(peer.map(|peer| peer.0)));
    }
    fn subscribe(&mut self) {
        self.actions.push(Action::Subscribed);
    }
    fn log(&mut self, _: &str) {}
}

/// The controller of exchange 0 with exchanges 1, 2, ..., whose ids are their exchange numbers.
pub struct Harness {
    controller: Controller,
    log: ActionLog,
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn call_type(revenue: f64, width: u16) -> CallTypeConfig {
    CallTypeConfig {
        setup_target: ms(2000),
        guard_time: ms(9000),
        revenue,
        width,
        mean_hold: ms(10_000),
        repeats: RepeatPolicy::Freely,
        pools: Vec::new(),
    }
}

pub fn default_config() -> ControllerConfig {
    ControllerConfig {
        own: Some(OWN_EXCHANGE),
        call_types: vec![call_type(1.0, 1), call_type(8.0, 1)],
        seizure_limit: 5,
        may_cancel: true,
        max_retry_after: ms(2000),
        must_subscribe: false,
        may_message_peers: false,
        overload_multiple: 2.0,
        cold_share: 0.3,
        warm_up: ms(10_000),
        release_wait: ms(300),
        retransmit_after: Duration::ZERO,
    }
}

pub fn entry(exchange: u32, status: ExchangeStatus, started: Duration) -> ExchangeEntry {
    ExchangeEntry {
        id: ExchangeId(exchange),
        number: ExchangeNumber(exchange as u16),
        zone: Zone(0),
        status,
        started,
    }
}

impl Harness {
    /// Exchanges 0 to 3 are ready, with `free` circuits towards each of 1 to 3.
    pub fn new(config: &ControllerConfig, free: f64) -> Self {
        Self::seeded(config, free, 1)
    }

    pub fn seeded(config: &ControllerConfig, free: f64, seed: u64) -> Self {
        let mut harness = Self { controller: Controller::new(config, seed), log: ActionLog::default() };
        let entries: Vec<_> =
            (0..4).map(|number| entry(number, ExchangeStatus::Ready, Duration::ZERO)).collect();
        harness.controller.on_membership(Duration::ZERO, &mut harness.log, &entries);
        (1..4).for_each(|number| harness.report_free(number, free));
        harness
    }

    /// Takes the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.log.actions)
    }

    /// Takes the retry times of the calls rejected since the last call.
    pub fn take_retry_times(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.log.retry_times)
    }

    /// Reports the free ones of 20 circuits.
    pub fn report_free(&mut self, exchange: u32, free: f64) {
        self.report_circuits(exchange, free, 20.0);
    }

    pub fn report_circuits(&mut self, exchange: u32, free: f64, size: f64) {
        let report = CapacityReport { free: Some(free), size: Some(size), ..CapacityReport::default() };
        self.controller.on_capacity_report(self.log.now, &mut self.log, ExchangeId(exchange), &report);
    }

    pub fn report_rate(&mut self, exchange: u32, rate: f64) {
        let report = CapacityReport { rate: Some(rate), ..CapacityReport::default() };
        self.controller.on_capacity_report(self.log.now, &mut self.log, ExchangeId(exchange), &report);
    }

    /// Passes on a message from peer 7.
    pub fn receive_from_peer(&mut self, message: &[u8]) {
        self.controller.on_peer_message(self.log.now, &mut self.log, PeerId(7), message);
    }

    pub fn fail_subscription(&mut self) {
        self.controller.on_subscription_failed(self.log.now, &mut self.log);
    }

    pub fn update_membership(&mut self, entries: &[ExchangeEntry]) {
        self.controller.on_membership_changes(self.log.now, &mut self.log, entries);
    }

    /// Moves the far exchanges to a region; the own exchange stays in region 0.
    pub fn move_far_exchanges_to(&mut self, zone: u8) {
        let far = |number| ExchangeEntry {
            zone: Zone(zone),
            ..entry(number, ExchangeStatus::Ready, Duration::ZERO)
        };
        self.update_membership(&[far(1), far(2), far(3)]);
    }

    fn new_offer(&self, call: u64, dest: u16) -> CallOffer {
        CallOffer {
            call: CallId(call),
            call_type: CallType(0),
            customer: CustomerId(0),
            dialled: DialledNumber(call),
            deadline: self.log.now + ms(3000),
            dest: ExchangeNumber(dest),
            width: 1,
            advised: None,
            transit: false,
            cut: false,
            redial: false,
        }
    }

    pub fn offer(&mut self, call: u64, dest: u16) {
        self.offer_with(call, dest, |_| {});
    }

    pub fn offer_with(&mut self, call: u64, dest: u16, change: impl FnOnce(&mut CallOffer)) {
        let mut offer = self.new_offer(call, dest);
        change(&mut offer);
        self.controller.on_offer(self.log.now, &mut self.log, offer);
    }

    /// Offers a call and returns whether it was sent to `to` at once.
    pub fn is_sent(&mut self, call: u64, dest: u16, to: u32) -> bool {
        self.offer(call, dest);
        self.take_actions().contains(&Action::Seized(call, to))
    }

    /// Offers these calls to exchange 1 and returns how many are sent there at once; each is answered.
    pub fn count_sent(&mut self, calls: Range<u64>) -> usize {
        let serve = |call: &u64| {
            let sent = self.is_sent(*call, 1, 1);
            self.answer(*call, 0, 1, ms(20));
            self.withdraw(*call);
            sent
        };
        calls.filter(serve).count()
    }

    /// Offers a call whose seizure fails and whose caller then gives up.
    pub fn offer_failing(&mut self, call: u64, to: u32, cause: Cause) {
        self.offer(call, to as u16);
        self.end_seizure(call, 0, to, cause);
        self.withdraw(call);
        self.take_actions();
    }

    pub fn answer(&mut self, call: u64, seizure: u8, exchange: u32, elapsed: Duration) {
        let (call, seizure, exchange) = (CallId(call), SeizureNumber(seizure), ExchangeId(exchange));
        let answered = SeizureAnswered { call, seizure, exchange, elapsed };
        self.controller.on_seizure_answered(self.log.now, &mut self.log, &answered);
    }

    pub fn end_seizure(&mut self, call: u64, seizure: u8, exchange: u32, cause: Cause) {
        let (call, seizure, exchange) = (CallId(call), SeizureNumber(seizure), ExchangeId(exchange));
        let end = SeizureEnded { call, seizure, exchange, cause, elapsed: ms(10), closed: false };
        self.controller.on_seizure_ended(self.log.now, &mut self.log, &end);
    }

    pub fn withdraw(&mut self, call: u64) {
        self.controller.on_caller_gone(self.log.now, &mut self.log, CallId(call));
    }

    /// Lets time pass; timers that are due on the way expire.
    pub fn advance(&mut self, span: Duration) {
        let end = self.log.now + span;
        while let Some(at) = (0..self.log.timers.len()).min_by_key(|at| self.log.timers[*at].0) {
            if self.log.timers[at].0 > end {
                break;
            }
            let (due, timer) = self.log.timers.remove(at);
            self.log.now = due;
            self.controller.on_timer(due, &mut self.log, timer);
        }
        self.log.now = end;
    }
}
