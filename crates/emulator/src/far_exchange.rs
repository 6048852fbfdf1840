//! One exchange at the far end of a link, without I/O: it takes set-ups, answers them when its processor gets to them, and
//! releases as it is told. For loads and tests of a single controller; a whole fleet is [`crate::Simulation`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall_isup::{
    Body, CauseIndicators, Cic, Deframer, Frame, Location, Message, ProtocolData, Q850, RangeStatus, Rel,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What it does with set-ups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FarPlan {
    /// Its number.
    pub exchange: u16,
    /// Set-ups a second that its processor takes; they wait for it in turn. 0: any number.
    pub per_s: f64,
    /// How long the called party takes to answer after that: drawn between the two, milliseconds.
    pub answer_ms: [f64; 2],
    /// Share of set-ups that are never answered, and that are turned back with cause 17, user busy.
    pub silent: f64,
    pub busy: f64,
    pub seed: u64,
}

impl Default for FarPlan {
    fn default() -> Self {
        Self { exchange: 2, per_s: 0.0, answer_ms: [5.0, 15.0], silent: 0.0, busy: 0.0, seed: 1 }
    }
}

impl FarPlan {
    /// Every fault, each with its place.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut say = |wrong: bool, what: &str| {
            if wrong {
                found.push(what.to_string());
            }
        };
        say(!(1..=16_383).contains(&self.exchange), "exchange: is not within 1 to 16383");
        say(!(self.per_s >= 0.0 && self.per_s.is_finite()), "per_s: is below 0");
        let [least, most] = self.answer_ms;
        say(
            !(least >= 0.0 && least <= most && most <= 3_600_000.0),
            "answer_ms: is no range within 0 to 3600000",
        );
        say(!(0.0..=1.0).contains(&(self.silent + self.busy)), "silent, busy: are no shares of a whole");
        found
    }
}

/// What came, and what it saw of the rules: by the identity in the set-ups, nothing else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FarCounters {
    pub set_ups: u64,
    pub answered: u64,
    pub turned_back: u64,
    /// Released before they were answered, and after.
    pub given_up: u64,
    pub hung_up: u64,
    /// Circuits in use now.
    pub in_use: u64,
    /// Set-ups on a circuit in use, and of a call with one out already.
    pub dual: u64,
    pub second_out: u64,
    /// Set-ups of a call sooner than the release time after one that was given up.
    pub too_soon: u64,
}

enum State {
    /// It is answered, or turned back, then.
    Rings(Option<Duration>, Answer),
    Stands,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Stands,
    Busy,
}

struct Held {
    /// Who took the call, and its number there.
    whose: Option<(u16, u64)>,
    state: State,
}

/// The release time of the users' rules: what was given up may hold its circuit for so long.
const RELEASE_TIME: Duration = Duration::from_millis(200);

pub struct FarExchange {
    pub plan: FarPlan,
    chance: Pcg64Mcg,
    deframer: Deframer,
    /// Which exchange is at the other end, as its messages say.
    near: u32,
    circuits: BTreeMap<Cic, Held>,
    due: BTreeSet<(Duration, Cic)>,
    /// When the processor is done with what it has.
    busy_until: Duration,
    /// Calls with a set-up out. Emptied as these end.
    out: BTreeSet<(u16, u64)>,
    /// Calls given up lately, by when. Emptied by time.
    given_up: BTreeMap<(u16, u64), Duration>,
    pub counters: FarCounters,
}

impl FarExchange {
    pub fn new(plan: FarPlan) -> Self {
        let chance = Pcg64Mcg::seed_from_u64(plan.seed);
        Self {
            plan,
            chance,
            deframer: Deframer::default(),
            near: 0,
            circuits: BTreeMap::new(),
            due: BTreeSet::new(),
            busy_until: Duration::ZERO,
            out: BTreeSet::new(),
            given_up: BTreeMap::new(),
            counters: FarCounters::default(),
        }
    }

    /// The link is there: what is sent first.
    pub fn link_up(&mut self, out: &mut Vec<u8>) {
        self.deframer = Deframer::default();
        Frame::AspUp { asp: Some(self.plan.exchange.into()) }.write(out);
        Frame::AspActive.write(out);
    }

    /// The link is gone, and with it all that was up.
    pub fn link_down(&mut self) {
        self.circuits.clear();
        self.due.clear();
        self.out.clear();
        self.counters.in_use = 0;
    }

    /// When [`FarExchange::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        self.due.first().map(|(due, _)| *due)
    }

    /// Answers what is due.
    pub fn on_timer(&mut self, now: Duration, out: &mut Vec<u8>) {
        while let Some((due, cic)) = self.due.first().copied()
            && due <= now
        {
            self.due.remove(&(due, cic));
            let Some(held) = self.circuits.get_mut(&cic) else { continue };
            let State::Rings(_, answer) = held.state else { continue };
            match answer {
                Answer::Stands => {
                    held.state = State::Stands;
                    self.counters.answered += 1;
                    self.send(cic, Body::Anm { report: None, unknown_parameters: Vec::new() }, out);
                }
                Answer::Busy => {
                    self.counters.turned_back += 1;
                    self.free(cic);
                    let cause = CauseIndicators::new(Location::Remote, Q850::UserBusy);
                    self.send(cic, Body::Rel(Rel::new(cause)), out);
                }
            }
        }
    }

    /// Octets that came on the link. `false`: they make no sense, and the link is to be closed.
    pub fn on_octets(&mut self, now: Duration, octets: &[u8], out: &mut Vec<u8>) -> bool {
        let mut deframer = std::mem::take(&mut self.deframer);
        deframer.push(octets);
        let sense = loop {
            match deframer.next() {
                Ok(Some(frame)) => self.frame(now, frame, out),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        self.deframer = deframer;
        sense
    }

    fn frame(&mut self, now: Duration, frame: &[u8], out: &mut Vec<u8>) {
        match Frame::read(frame) {
            Ok(Frame::AspUp { .. }) => Frame::AspUpAck { asp: Some(self.plan.exchange.into()) }.write(out),
            Ok(Frame::AspActive) => Frame::AspActiveAck.write(out),
            Ok(Frame::Heartbeat(data)) => Frame::HeartbeatAck(data).write(out),
            Ok(Frame::Data(data)) => {
                self.near = data.opc;
                if let Ok(message) = Message::read(data.user) {
                    self.message(now, message, out);
                }
            }
            _ => {}
        }
    }

    fn message(&mut self, now: Duration, message: Message, out: &mut Vec<u8>) {
        let Message { cic, body } = message;
        match body {
            Body::Iam(iam) => {
                let whose = iam.identity.map(|identity| (identity.origin, identity.call));
                self.set_up(now, cic, whose);
            }
            Body::Rel(_) => {
                let was = self.free(cic);
                match was.map(|held| (held.whose, held.state)) {
                    Some((whose, State::Rings(..))) => {
                        self.counters.given_up += 1;
                        self.given_up.extend(whose.map(|whose| (whose, now)));
                    }
                    Some((_, State::Stands)) => self.counters.hung_up += 1,
                    None => {}
                }
                self.send(cic, Body::Rlc { unknown_parameters: Vec::new() }, out);
            }
            Body::Rsc => {
                self.free(cic);
                self.send(cic, Body::Rlc { unknown_parameters: Vec::new() }, out);
            }
            Body::Grs { count } => {
                (cic.0..=cic.0.saturating_add(count.into())).for_each(|cic| _ = self.free(Cic(cic)));
                self.send(cic, Body::Gra(RangeStatus { count, status: 0 }), out);
            }
            _ => {}
        }
    }

    fn set_up(&mut self, now: Duration, cic: Cic, whose: Option<(u16, u64)>) {
        self.given_up.retain(|_, at| *at + RELEASE_TIME > now);
        self.counters.set_ups += 1;
        self.counters.dual += u64::from(self.circuits.contains_key(&cic));
        if let Some(whose) = whose {
            self.counters.too_soon += u64::from(self.given_up.contains_key(&whose));
            self.counters.second_out += u64::from(!self.out.insert(whose));
        }
        let answer = match self.chance.random::<f64>() {
            draw if draw < self.plan.silent => None,
            draw if draw < self.plan.silent + self.plan.busy => Some(Answer::Busy),
            _ => Some(Answer::Stands),
        };
        let [least, most] = self.plan.answer_ms;
        let rings = Duration::from_secs_f64((least + (most - least) * self.chance.random::<f64>()) / 1e3);
        self.busy_until = self.busy_until.max(now);
        if self.plan.per_s > 0.0 {
            self.busy_until += Duration::from_secs_f64(1.0 / self.plan.per_s);
        }
        let at = answer.map(|_| self.busy_until + rings);
        self.due.extend(at.map(|at| (at, cic)));
        let state = State::Rings(at, answer.unwrap_or(Answer::Stands));
        self.circuits.insert(cic, Held { whose, state });
        self.counters.in_use = self.circuits.len() as u64;
    }

    fn free(&mut self, cic: Cic) -> Option<Held> {
        let held = self.circuits.remove(&cic)?;
        if let State::Rings(Some(at), _) = held.state {
            self.due.remove(&(at, cic));
        }
        held.whose.iter().for_each(|whose| _ = self.out.remove(whose));
        self.counters.in_use = self.circuits.len() as u64;
        Some(held)
    }

    fn send(&self, cic: Cic, body: Body, out: &mut Vec<u8>) {
        let mut user = Vec::new();
        Message::new(cic, body).write(&mut user);
        let (opc, dpc) = (self.plan.exchange.into(), self.near);
        Frame::Data(ProtocolData { opc, dpc, service: 5, network: 2, priority: 0, sls: 0, user: &user })
            .write(out);
    }
}
