//! A tiny fake host: writes down what the controller does.

use std::ops::Range;
use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::*;

pub const HERE: ExchangeNumber = ExchangeNumber(0);

#[derive(Clone, Debug, PartialEq)]
pub enum Did {
    Seized(u64, u32),
    Cancelled(u64),
    Rejected(u64),
    Released(u64),
    Subscribed,
    Told(Option<u16>),
}

#[derive(Default)]
struct Notes {
    did: Vec<Did>,
    /// The times that callers were told to come back after.
    retry_after: Vec<Duration>,
    alarms: Vec<(Duration, TimerId)>,
    now: Duration,
}

impl ControllerActions for Notes {
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration) {
        assert!(!limit.is_zero(), "no limit means until the caller gives up");
        self.did.push(Did::Seized(call.0, to.0));
    }
    fn cancel(&mut self, call: CallId, _: SeizureNumber) {
        self.did.push(Did::Cancelled(call.0));
    }
    fn reject(&mut self, call: CallId, retry_after: Duration) {
        self.retry_after.push(retry_after);
        self.did.push(Did::Rejected(call.0));
    }
    fn release(&mut self, call: CallId) {
        self.did.push(Did::Released(call.0));
    }
    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        // The machine's clock counts in microseconds.
        self.alarms.push((self.now + Duration::from_micros(after.as_micros() as u64), timer));
    }
    fn send_to_peers(&mut self, peer: Option<PeerId>, _: &[u8]) {
        self.did.push(Did::Told(peer.map(|peer| peer.0)));
    }
    fn subscribe(&mut self) {
        self.did.push(Did::Subscribed);
    }
    fn log(&mut self, _: &str) {}
}

/// One controller at office 0 among exchanges 1, 2, ... whose ids are their office numbers.
pub struct Desk {
    controller: Controller,
    notes: Notes,
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

pub fn office() -> ControllerConfig {
    ControllerConfig {
        own: Some(HERE),
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

pub fn line(exchange: u32, standing: ExchangeStatus, started: Duration) -> ExchangeEntry {
    ExchangeEntry {
        id: ExchangeId(exchange),
        number: ExchangeNumber(exchange as u16),
        zone: Zone(0),
        status: standing,
        started,
    }
}

impl Desk {
    /// Exchanges 0 to 3, each with `free` circuits towards it.
    pub fn new(data: &ControllerConfig, free: f64) -> Self {
        Self::seeded(data, free, 1)
    }

    pub fn seeded(data: &ControllerConfig, free: f64, seed: u64) -> Self {
        let mut desk = Self { controller: Controller::new(data, seed), notes: Notes::default() };
        let lines: Vec<_> = (0..4).map(|no| line(no, ExchangeStatus::Ready, Duration::ZERO)).collect();
        desk.controller.on_membership(Duration::ZERO, &mut desk.notes, &lines);
        (1..4).for_each(|no| desk.free(no, free));
        desk
    }

    /// What was done since last asked.
    pub fn did(&mut self) -> Vec<Did> {
        std::mem::take(&mut self.notes.did)
    }

    /// When those that were rejected are asked to come back.
    pub fn told_to_come_back(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.notes.retry_after)
    }

    pub fn free(&mut self, exchange: u32, free: f64) {
        self.has(exchange, free, 20.0);
    }

    pub fn has(&mut self, exchange: u32, free: f64, size: f64) {
        let report = CapacityReport { free: Some(free), size: Some(size), ..CapacityReport::default() };
        self.controller.on_capacity_report(self.notes.now, &mut self.notes, ExchangeId(exchange), &report);
    }

    pub fn takes(&mut self, exchange: u32, rate: f64) {
        let report = CapacityReport { rate: Some(rate), ..CapacityReport::default() };
        self.controller.on_capacity_report(self.notes.now, &mut self.notes, ExchangeId(exchange), &report);
    }

    /// A message from peer 7.
    pub fn hears(&mut self, message: &[u8]) {
        self.controller.on_peer_message(self.notes.now, &mut self.notes, PeerId(7), message);
    }

    pub fn list_failed(&mut self) {
        self.controller.on_subscription_failed(self.notes.now, &mut self.notes);
    }

    pub fn listed(&mut self, lines: &[ExchangeEntry]) {
        self.controller.on_membership_changes(self.notes.now, &mut self.notes, lines);
    }

    /// Moves the far exchanges to a region, the own one stays in 0.
    pub fn in_region(&mut self, zone: u8) {
        let far = |no| ExchangeEntry { zone: Zone(zone), ..line(no, ExchangeStatus::Ready, Duration::ZERO) };
        self.listed(&[far(1), far(2), far(3)]);
    }

    fn offer(&self, call: u64, dest: u16) -> CallOffer {
        CallOffer {
            call: CallId(call),
            call_type: CallType(0),
            customer: CustomerId(0),
            dialled: DialledNumber(call),
            deadline: self.notes.now + ms(3000),
            dest: ExchangeNumber(dest),
            width: 1,
            advised: None,
            transit: false,
            cut: false,
            redial: false,
        }
    }

    pub fn calls(&mut self, call: u64, dest: u16) {
        self.calls_as(call, dest, |_| {});
    }

    pub fn calls_as(&mut self, call: u64, dest: u16, change: impl FnOnce(&mut CallOffer)) {
        let mut offer = self.offer(call, dest);
        change(&mut offer);
        self.controller.on_offer(self.notes.now, &mut self.notes, offer);
    }

    /// Offers a call and tells whether it was sent to `to` at once.
    pub fn sends(&mut self, call: u64, dest: u16, to: u32) -> bool {
        self.calls(call, dest);
        self.did().contains(&Did::Seized(call, to))
    }

    /// How many of these calls are sent to exchange 1 at once; those stand.
    pub fn served(&mut self, calls: Range<u64>) -> usize {
        let serve = |call: &u64| {
            let sent = self.sends(*call, 1, 1);
            self.stands(*call, 0, 1, ms(20));
            self.withdrawn(*call);
            sent
        };
        calls.filter(serve).count()
    }

    /// A call to an exchange that comes to nothing, and whose caller gives up.
    pub fn fails(&mut self, call: u64, to: u32, cause: Cause) {
        self.calls(call, to as u16);
        self.ended(call, 0, to, cause);
        self.withdrawn(call);
        self.did();
    }

    pub fn stands(&mut self, call: u64, seizure: u8, exchange: u32, elapsed: Duration) {
        let (call, seizure, exchange) = (CallId(call), SeizureNumber(seizure), ExchangeId(exchange));
        let stood = SeizureAnswered { call, seizure, exchange, elapsed };
        self.controller.on_seizure_answered(self.notes.now, &mut self.notes, &stood);
    }

    pub fn ended(&mut self, call: u64, seizure: u8, exchange: u32, cause: Cause) {
        let (call, seizure, exchange) = (CallId(call), SeizureNumber(seizure), ExchangeId(exchange));
        let end = SeizureEnded { call, seizure, exchange, cause, elapsed: ms(10), closed: false };
        self.controller.on_seizure_ended(self.notes.now, &mut self.notes, &end);
    }

    pub fn withdrawn(&mut self, call: u64) {
        self.controller.on_caller_gone(self.notes.now, &mut self.notes, CallId(call));
    }

    /// Lets time pass, ringing what is due on the way.
    pub fn pass(&mut self, span: Duration) {
        let end = self.notes.now + span;
        while let Some(at) = (0..self.notes.alarms.len()).min_by_key(|at| self.notes.alarms[*at].0) {
            if self.notes.alarms[at].0 > end {
                break;
            }
            let (due, alarm) = self.notes.alarms.remove(at);
            self.notes.now = due;
            self.controller.on_timer(due, &mut self.notes, alarm);
        }
        self.notes.now = end;
    }
}
