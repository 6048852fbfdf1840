//! Processor time of a decision: the controller is driven alone with 75 exchanges. Prints microseconds a call by calls a
//! second, with free and with full groups. The growth matters: the last column is the cost relative to that at 100 calls
//! a second.
//!
//! Run with `cargo bench --bench decision`. A call that is sent stands at once and ends after ten seconds; where groups
//! are full, a call is queued for as long as the controller keeps it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use mintstall::Controller;
use mintstall::interface::*;

/// Carries out nothing but the timers; records the seizures.
#[derive(Default)]
struct RecordingActions {
    now: Duration,
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    seized: Vec<(CallId, ExchangeId)>,
}

impl ControllerActions for RecordingActions {
    fn seize(&mut self, call: CallId, to: ExchangeId, _: Duration) {
        self.seized.push((call, to));
    }
    fn cancel(&mut self, _: CallId, _: SeizureNumber) {}
    fn reject(&mut self, _: CallId, _: Duration) {}
    fn release(&mut self, _: CallId) {}
    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        self.timers.push(Reverse((self.now + after, timer.0)));
    }
    fn send_to_peers(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self) {}
    fn log(&mut self, _: &str) {}
}

const EXCHANGES: u32 = 75;

fn config() -> ControllerConfig {
    let call_type = |revenue, target| CallTypeConfig {
        setup_target: Duration::from_millis(target),
        guard_time: Duration::from_secs(9),
        revenue,
        width: 1,
        mean_hold: Duration::from_secs(10),
        repeats: RepeatPolicy::Freely,
        pools: Vec::new(),
    };
    ControllerConfig {
        own: Some(ExchangeNumber(0)),
        call_types: vec![call_type(1.0, 2000), call_type(8.0, 800), call_type(3.0, 2000)],
        seizure_limit: 5,
        may_cancel: true,
        max_retry_after: Duration::from_secs(2),
        must_subscribe: false,
        may_message_peers: false,
        overload_multiple: 2.5,
        cold_share: 0.3,
        warm_up: Duration::from_secs(15),
        release_wait: Duration::from_millis(200),
        retransmit_after: Duration::ZERO,
    }
}

/// Microseconds a call, over five simulated seconds or two seconds of real time.
fn cost_us(rate: u64, free: f64) -> f64 {
    let (mut actions, mut controller) = (RecordingActions::default(), Controller::new(&config(), 1));
    let entry = |number| ExchangeEntry {
        id: ExchangeId(number),
        number: ExchangeNumber(number as u16),
        zone: Zone((number % 3) as u8),
        status: ExchangeStatus::Ready,
        started: Duration::ZERO,
    };
    let entries: Vec<_> = (0..EXCHANGES).map(entry).collect();
    controller.on_membership(Duration::ZERO, &mut actions, &entries);
    let report = CapacityReport { free: Some(free), size: Some(100.0), ..CapacityReport::default() };
    for number in 1..EXCHANGES {
        controller.on_capacity_report(Duration::ZERO, &mut actions, ExchangeId(number), &report);
    }
    let (start, mut calls) = (Instant::now(), 0);
    for call in 0..rate * 5 {
        actions.now = Duration::from_secs_f64(call as f64 / rate as f64);
        while let Some(Reverse((at, timer))) =
            actions.timers.peek().copied().filter(|due| due.0.0 <= actions.now)
        {
            actions.timers.pop();
            controller.on_timer(at, &mut actions, TimerId(timer));
        }
        let offer = CallOffer {
            call: CallId(call),
            call_type: CallType((call % 3) as u8),
            customer: CustomerId(0),
            dialled: DialledNumber(1 + call),
            deadline: actions.now + Duration::from_secs(3),
            dest: ExchangeNumber(1 + (call * 7 % u64::from(EXCHANGES - 1)) as u16),
            width: 1,
            advised: None,
            transit: false,
            cut: false,
            redial: false,
        };
        controller.on_offer(actions.now, &mut actions, offer);
        let now = actions.now;
        for (call, exchange) in std::mem::take(&mut actions.seized) {
            let (seizure, elapsed) = (SeizureNumber(0), Duration::from_millis(20));
            controller.on_seizure_answered(
                now,
                &mut actions,
                &SeizureAnswered { call, seizure, exchange, elapsed },
            );
            controller.on_capacity_report(now, &mut actions, exchange, &report);
        }
        calls += 1;
        if call % 256 == 0 && start.elapsed() > Duration::from_secs(2) {
            break;
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / calls as f64
}

fn main() {
    println!("{:>8} {:>12} {:>10} {:>14}", "groups", "calls/s", "us a call", "over 100/s");
    for (name, free) in [("free", 100.0), ("full", 0.0)] {
        cost_us(1000, free);
        let base = cost_us(100, free).max(cost_us(100, free));
        for rate in [100, 1000, 5000, 20_000] {
            let us = cost_us(rate, free);
            println!("{name:>8} {rate:>12} {us:>10.2} {:>14.1}", us / base);
        }
    }
}
