//! A few offices on one table: what one sends lies in a queue until it is carried over.

// Each test file uses its part of them.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::*;
use mintstall_callcontrol::*;
use mintstall_isup::{Deframer, Frame, Message, ProtocolData};

#[derive(Default)]
pub struct Wires {
    pub sent: VecDeque<(ExchangeNumber, Vec<u8>)>,
    pub answers: Vec<(CallId, Answer)>,
    pub ended: Vec<(CallId, CallEnd)>,
    pub closed: Vec<(ExchangeNumber, String)>,
}

impl CallControlActions for Wires {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.sent.push_back((to, octets.to_vec()));
    }
    fn close_link(&mut self, to: ExchangeNumber, why: &str) {
        self.closed.push((to, why.to_string()));
    }
    fn answer(&mut self, call: CallId, answer: Answer) {
        self.answers.push((call, answer));
    }
    fn ended(&mut self, call: CallId, end: CallEnd) {
        self.ended.push((call, end));
    }
    fn log_info(&mut self, _: &str) {}
}

pub struct Table {
    pub now: Duration,
    pub offices: BTreeMap<u16, (CallControl, Wires)>,
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn plan(own: u16, others: &[u16], circuits: u16) -> CallControlConfig {
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
        data: ControllerConfig {
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
        numbers: vec![NumberPlan { dialled: 77, lines: 1 }],
        timers: Timers { t1: ms(1000), t5: ms(5000), ..Timers::default() },
        max_calls: 1000,
        traces: 100,
    }
}

impl Table {
    /// Offices 1 to `count`, all linked, groups reset and idle.
    pub fn new(count: u16, circuits: u16) -> Self {
        let mut table = Self { now: Duration::from_secs(3600), offices: BTreeMap::new() };
        let all: Vec<u16> = (1..=count).collect();
        for own in &all {
            let others: Vec<_> = all.iter().copied().filter(|other| other != own).collect();
            let office = CallControl::new(table.now, &plan(*own, &others, circuits), 1, (*own).into());
            table.offices.insert(*own, (office, Wires::default()));
        }
        all.iter().for_each(|own| table.listed(*own));
        for (a, b) in all.iter().flat_map(|a| all.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            table.with(a, |office, now, wires| office.link_up(now, wires, ExchangeNumber(b)));
        }
        table.carry();
        table
    }

    pub fn listed(&mut self, own: u16) {
        let line = |no: &u16| ExchangeEntry {
            id: ExchangeId(u32::from(*no) * 10),
            number: ExchangeNumber(*no),
            zone: Zone(0),
            status: ExchangeStatus::Ready,
            started: Duration::ZERO,
        };
        let lines: Vec<_> = self.offices.keys().map(line).collect();
        self.with(own, |office, now, wires| office.roster(now, wires, &lines));
    }

    pub fn with<R>(&mut self, own: u16, f: impl FnOnce(&mut CallControl, Duration, &mut Wires) -> R) -> R {
        let now = self.now;
        let (office, wires) = self.offices.get_mut(&own).unwrap();
        let result = f(office, now, wires);
        // After whatever happens its books agree.
        assert_eq!(office.inconsistencies(), Vec::<String>::new(), "at {own}");
        result
    }

    pub fn call(&mut self, from: u16, dest: u16, dialled: u64, call_type: u8) -> CallId {
        self.with(from, |office, now, wires| {
            let call = office.next_call();
            let order = CallRequest {
                call_type: CallType(call_type),
                customer: CustomerId(0),
                dest: ExchangeNumber(dest),
                dialled: DialledNumber(dialled),
                left: ms(3000),
                advised: None,
                cut: false,
                redial: false,
            };
            office.offer(now, wires, call, order);
            call
        })
    }

    /// Takes from the queue of `from` what it has for `to`.
    pub fn take(&mut self, from: u16, to: u16) -> Vec<Vec<u8>> {
        let wires = &mut self.offices.get_mut(&from).unwrap().1;
        let (mine, rest): (Vec<_>, Vec<_>) = wires.sent.drain(..).partition(|(at, _)| at.0 == to);
        wires.sent.extend(rest);
        mine.into_iter().map(|(_, octets)| octets).collect()
    }

    pub fn give(&mut self, from: u16, to: u16, octets: &[u8]) {
        self.with(to, |office, now, wires| office.on_octets(now, wires, ExchangeNumber(from), octets));
    }

    /// Carries all over until nothing is left to carry; returns the names of the messages, in order.
    pub fn carry(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        loop {
            let next =
                self.offices.iter_mut().find_map(|(from, (_, wires))| Some((*from, wires.sent.pop_front()?)));
            let Some((from, (to, octets))) = next else { return names };
            names.extend(name(&octets).map(|name| format!("{from}>{} {name}", to.0)));
            self.give(from, to.0, &octets);
        }
    }

    /// Lets time pass, ringing what is due on the way; nothing is carried.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let due =
                self.offices.iter().filter_map(|(no, (office, _))| Some((office.next_timer()?, *no))).min();
            let Some((at, no)) = due.filter(|(at, _)| *at <= end) else { break };
            self.now = at;
            self.with(no, |office, now, wires| office.on_timer(now, wires));
        }
        self.now = end;
    }

    pub fn cut(&mut self, a: u16, b: u16) {
        self.take(a, b);
        self.take(b, a);
        self.with(a, |office, now, wires| office.link_down(now, wires, ExchangeNumber(b)));
        self.with(b, |office, now, wires| office.link_down(now, wires, ExchangeNumber(a)));
    }

    pub fn mend(&mut self, a: u16, b: u16) {
        self.with(a, |office, now, wires| office.link_up(now, wires, ExchangeNumber(b)));
        self.with(b, |office, now, wires| office.link_up(now, wires, ExchangeNumber(a)));
    }

    pub fn answers(&mut self, own: u16) -> Vec<(CallId, Answer)> {
        std::mem::take(&mut self.offices.get_mut(&own).unwrap().1.answers)
    }

    pub fn ended(&mut self, own: u16) -> Vec<(CallId, CallEnd)> {
        std::mem::take(&mut self.offices.get_mut(&own).unwrap().1.ended)
    }

    pub fn group(&self, own: u16, to: u16) -> GroupStatus {
        let state = self.offices[&own].0.state();
        state.groups.into_iter().find(|group| group.to.0 == to).unwrap()
    }

    pub fn tally(&self, own: u16) -> Counters {
        self.offices[&own].0.state().tally
    }

    /// Every circuit idle and every call forgotten, at all offices.
    pub fn all_quiet(&self) {
        for (office, _) in self.offices.values() {
            assert_eq!(office.inconsistencies(), Vec::<String>::new());
            let state = office.state();
            assert_eq!((state.calls, state.owed), (0, 0), "calls left at {:?}", state.own);
            let busy: Vec<_> = state.groups.iter().filter(|group| group.free != group.circuits).collect();
            assert!(busy.is_empty(), "at {:?}: {busy:?}", state.own);
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
