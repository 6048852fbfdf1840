//! A few exchanges in one test network: what one sends is queued until the test delivers it.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::*;
use mintstall_callcontrol::*;
use mintstall_isup::{Deframer, Frame, Message, ProtocolData};

#[derive(Default)]
pub struct RecordedActions {
    pub sent: VecDeque<(ExchangeNumber, Vec<u8>)>,
    pub answers: Vec<(CallId, Answer)>,
    pub ended: Vec<(CallId, CallEnd)>,
    pub closed: Vec<(ExchangeNumber, String)>,
}

impl CallControlActions for RecordedActions {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.sent.push_back((to, octets.to_vec()));
    }
    fn close_link(&mut self, to: ExchangeNumber, why: &str) {
        self.closed.push((to, why.to_string()));
    }
    fn answer(&mut self, call: CallId, answer: Answer) {
        self.answers.push((call, answer));
    }
    fn call_ended(&mut self, call: CallId, end: CallEnd) {
        self.ended.push((call, end));
    }
    fn log_info(&mut self, _: &str) {}
}

pub struct TestNetwork {
    pub now: Duration,
    pub exchanges: BTreeMap<u16, (CallControl, RecordedActions)>,
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn config(own: u16, others: &[u16], circuits: u16) -> CallControlConfig {
    let call_type = |revenue, width| CallTypeConfig {
        setup_target: ms(2000),
        guard_time: ms(9000),
        revenue,
        width,
        mean_hold: ms(10_000),
        repeats: RepeatPolicy::Freely,
        pools: Vec::new(),
    };
    CallControlConfig {
        own: ExchangeNumber(own),
        controller: ControllerConfig {
            own: Some(ExchangeNumber(own)),
            call_types: vec![call_type(1.0, 1), call_type(3.0, 3)],
            seizure_limit: 4,
            may_cancel: true,
            max_retry_after: ms(2000),
            must_subscribe: false,
            may_message_peers: false,
            overload_multiple: 2.0,
            cold_share: 0.3,
            warm_up: ms(10_000),
            release_wait: ms(200),
            retransmit_after: Duration::ZERO,
        },
        groups: others.iter().map(|to| GroupConfig { to: ExchangeNumber(*to), circuits }).collect(),
        numbers: vec![NumberConfig { dialled: 77, lines: 1 }],
        timers: Timers { t1: ms(1000), t5: ms(5000), ..Timers::default() },
        max_calls: 1000,
        max_traces: 100,
    }
}

impl TestNetwork {
    /// Exchanges 1 to `count`, all linked, with their groups reset and idle.
    pub fn new(count: u16, circuits: u16) -> Self {
        let mut network = Self { now: Duration::from_secs(3600), exchanges: BTreeMap::new() };
        let all: Vec<u16> = (1..=count).collect();
        for own in &all {
            let others: Vec<_> = all.iter().copied().filter(|other| other != own).collect();
            let control = CallControl::new(network.now, &config(*own, &others, circuits), 1, (*own).into());
            network.exchanges.insert(*own, (control, RecordedActions::default()));
        }
        all.iter().for_each(|own| network.send_membership(*own));
        for (a, b) in all.iter().flat_map(|a| all.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            network.with(a, |control, now, actions| control.link_up(now, actions, ExchangeNumber(b)));
        }
        network.deliver_all();
        network
    }

    pub fn send_membership(&mut self, own: u16) {
        let entry = |number: &u16| ExchangeEntry {
            id: ExchangeId(u32::from(*number) * 10),
            number: ExchangeNumber(*number),
            zone: Zone(0),
            status: ExchangeStatus::Ready,
            started: Duration::ZERO,
        };
        let entries: Vec<_> = self.exchanges.keys().map(entry).collect();
        self.with(own, |control, now, actions| control.on_membership(now, actions, &entries));
    }

    /// Runs `f` on one exchange and checks that its state is consistent afterwards.
    pub fn with<R>(
        &mut self,
        own: u16,
        f: impl FnOnce(&mut CallControl, Duration, &mut RecordedActions) -> R,
    ) -> R {
        let now = self.now;
        let (control, actions) = self.exchanges.get_mut(&own).unwrap();
        let result = f(control, now, actions);
        assert_eq!(control.inconsistencies(), Vec::<String>::new(), "at {own}");
        result
    }

    pub fn offer_call(&mut self, from: u16, dest: u16, dialled: u64, call_type: u8) -> CallId {
        self.with(from, |control, now, actions| {
            let call = control.next_call();
            let request = CallRequest {
                call_type: CallType(call_type),
                customer: CustomerId(0),
                dest: ExchangeNumber(dest),
                dialled: DialledNumber(dialled),
                time_left: ms(3000),
                advised: None,
                cut: false,
                redial: false,
            };
            control.offer(now, actions, call, request);
            call
        })
    }

    /// Removes and returns what exchange `from` has queued for `to`.
    pub fn take_sent(&mut self, from: u16, to: u16) -> Vec<Vec<u8>> {
        let actions = &mut self.exchanges.get_mut(&from).unwrap().1;
        let (taken, rest): (Vec<_>, Vec<_>) = actions.sent.drain(..).partition(|(at, _)| at.0 == to);
        actions.sent.extend(rest);
        taken.into_iter().map(|(_, octets)| octets).collect()
    }

    pub fn deliver(&mut self, from: u16, to: u16, octets: &[u8]) {
        self.with(to, |control, now, actions| control.on_octets(now, actions, ExchangeNumber(from), octets));
    }

    /// Delivers everything queued until all queues are empty; returns the names of the messages, in order.
    pub fn deliver_all(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        loop {
            let next = self
                .exchanges
                .iter_mut()
                .find_map(|(from, (_, actions))| Some((*from, actions.sent.pop_front()?)));
            let Some((from, (to, octets))) = next else { return names };
            names.extend(name(&octets).map(|name| format!("{from}>{} {name}", to.0)));
            self.deliver(from, to.0, &octets);
        }
    }

    /// Advances the time and handles the timers that are due meanwhile; delivers nothing.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let due = self
                .exchanges
                .iter()
                .filter_map(|(number, (control, _))| Some((control.next_timer()?, *number)))
                .min();
            let Some((at, number)) = due.filter(|(at, _)| *at <= end) else { break };
            self.now = at;
            self.with(number, |control, now, actions| control.on_timer(now, actions));
        }
        self.now = end;
    }

    /// Breaks the link between two exchanges; what is queued for it is lost.
    pub fn break_link(&mut self, a: u16, b: u16) {
        self.take_sent(a, b);
        self.take_sent(b, a);
        self.with(a, |control, now, actions| control.link_down(now, actions, ExchangeNumber(b)));
        self.with(b, |control, now, actions| control.link_down(now, actions, ExchangeNumber(a)));
    }

    pub fn restore_link(&mut self, a: u16, b: u16) {
        self.with(a, |control, now, actions| control.link_up(now, actions, ExchangeNumber(b)));
        self.with(b, |control, now, actions| control.link_up(now, actions, ExchangeNumber(a)));
    }

    pub fn answers(&mut self, own: u16) -> Vec<(CallId, Answer)> {
        std::mem::take(&mut self.exchanges.get_mut(&own).unwrap().1.answers)
    }

    pub fn ended_calls(&mut self, own: u16) -> Vec<(CallId, CallEnd)> {
        std::mem::take(&mut self.exchanges.get_mut(&own).unwrap().1.ended)
    }

    pub fn group_status(&self, own: u16, to: u16) -> GroupStatus {
        let status = self.exchanges[&own].0.status();
        status.groups.into_iter().find(|group| group.to.0 == to).unwrap()
    }

    pub fn counters(&self, own: u16) -> Counters {
        self.exchanges[&own].0.status().counters
    }

    /// Asserts that every circuit is free and no call is left, at all exchanges.
    pub fn assert_idle(&self) {
        for (control, _) in self.exchanges.values() {
            assert_eq!(control.inconsistencies(), Vec::<String>::new());
            let status = control.status();
            assert_eq!((status.calls, status.pending_answers), (0, 0), "calls left at {:?}", status.own);
            let busy: Vec<_> = status.groups.iter().filter(|group| group.free != group.circuits).collect();
            assert!(busy.is_empty(), "at {:?}: {busy:?}", status.own);
        }
    }
}

/// The name of the ISUP message that a frame carries.
pub fn name(octets: &[u8]) -> Option<String> {
    let mut deframer = Deframer::default();
    deframer.push(octets);
    let frame = deframer.next().ok()??.to_vec();
    match Frame::read(&frame).ok()? {
        Frame::Data(ProtocolData { user, .. }) => {
            Message::read(user).ok().map(|message| message.name().to_string())
        }
        _ => None,
    }
}
