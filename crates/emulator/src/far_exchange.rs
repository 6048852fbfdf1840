//! Emulates one exchange at the far end of a link, without I/O. It accepts set-ups, answers them once its processor has
//! handled them, and confirms releases. For load runs and tests of a single controller; [`crate::Simulation`] emulates
//! a whole fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall_isup::{
    Body, CauseIndicators, Cic, Deframer, Frame, Location, Message, ProtocolData, Q850, RangeStatus, Rel,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How the emulated exchange handles set-ups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FarPlan {
    /// Number of the emulated exchange.
    pub exchange: u16,
    /// Set-ups that its processor handles a second, in the order of arrival. 0: unlimited.
    pub per_s: f64,
    /// Range from which the called party's answer time after that is drawn, milliseconds.
    pub answer_ms: [f64; 2],
    /// Share of set-ups that are never answered.
    pub silent: f64,
    /// Share of set-ups that are released with cause 17, user busy.
    pub busy: f64,
    pub seed: u64,
}

impl Default for FarPlan {
    fn default() -> Self {
        Self { exchange: 2, per_s: 0.0, answer_ms: [5.0, 15.0], silent: 0.0, busy: 0.0, seed: 1 }
    }
}

impl FarPlan {
    /// All errors in the plan, each with its field.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut reject_if = |invalid: bool, error: &str| {
            if invalid {
                errors.push(error.to_string());
            }
        };
        reject_if(!(1..=16_383).contains(&self.exchange), "exchange: is not within 1 to 16383");
        reject_if(
            !(self.per_s >= 0.0 && self.per_s.is_finite()),
            "per_s: is not a finite number of at least 0",
        );
        let [min, max] = self.answer_ms;
        reject_if(
            !(min >= 0.0 && min <= max && max <= 3_600_000.0),
            "answer_ms: is not a range within 0 to 3600000",
        );
        reject_if(
            !(0.0..=1.0).contains(&(self.silent + self.busy)),
            "silent, busy: their sum is not within 0 to 1",
        );
        errors
    }
}

/// Counts of messages and of rule violations. Calls are told apart only by the identity in their set-ups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FarCounters {
    pub set_ups: u64,
    pub answered: u64,
    /// Set-ups released with user busy.
    pub turned_back: u64,
    /// Calls that the controller released before they were answered.
    pub given_up: u64,
    /// Calls that the controller released after they were answered.
    pub hung_up: u64,
    /// Circuits in use at present.
    pub in_use: u64,
    /// Set-ups on a circuit in use.
    pub dual: u64,
    /// Set-ups of a call that has another seizure in progress or standing.
    pub second_out: u64,
    /// Set-ups of a call within 200 ms of the release of its previous, unanswered set-up.
    pub too_soon: u64,
}

enum State {
    /// Not answered yet. The answer is sent at that time, or never.
    Ringing(Option<Duration>, SetUpResult),
    Standing,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum SetUpResult {
    Answered,
    Busy,
}

struct CircuitUse {
    /// The exchange that received the call from its caller, and the call's number there.
    call: Option<(u16, u64)>,
    state: State,
}

/// Time for which a seizure given up may still hold its circuit (release wait of the users' rules). A further set-up of
/// its call within this time is counted as too soon.
const RELEASE_WAIT: Duration = Duration::from_millis(200);

/// State of the emulated exchange.
pub struct FarExchange {
    pub plan: FarPlan,
    rng: Pcg64Mcg,
    deframer: Deframer,
    /// Originating point code of the last DATA frame received; replies go to it.
    near_point_code: u32,
    circuits: BTreeMap<Cic, CircuitUse>,
    /// Answers and busy releases to be sent, by time.
    pending_answers: BTreeSet<(Duration, Cic)>,
    /// When the processor has handled all received set-ups.
    busy_until: Duration,
    /// Calls with a set-up in progress or standing. Entries are removed as these end.
    active_calls: BTreeSet<(u16, u64)>,
    /// Calls whose unanswered set-up was released, with the time. Entries expire after [`RELEASE_WAIT`].
    given_up: BTreeMap<(u16, u64), Duration>,
    pub counters: FarCounters,
}

impl FarExchange {
    pub fn new(plan: FarPlan) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        Self {
            plan,
            rng,
            deframer: Deframer::default(),
            near_point_code: 0,
            circuits: BTreeMap::new(),
            pending_answers: BTreeSet::new(),
            busy_until: Duration::ZERO,
            active_calls: BTreeSet::new(),
            given_up: BTreeMap::new(),
            counters: FarCounters::default(),
        }
    }

    /// The link is open: writes the first frames.
    pub fn link_up(&mut self, out: &mut Vec<u8>) {
        self.deframer = Deframer::default();
        Frame::AspUp { asp: Some(self.plan.exchange.into()) }.write(out);
        Frame::AspActive.write(out);
    }

    /// The link is lost: ends all calls.
    pub fn link_down(&mut self) {
        self.circuits.clear();
        self.pending_answers.clear();
        self.active_calls.clear();
        self.counters.in_use = 0;
    }

    /// When [`FarExchange::on_timer`] is to be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.pending_answers.first().map(|(due, _)| *due)
    }

    /// Sends the answers that are due.
    pub fn on_timer(&mut self, now: Duration, out: &mut Vec<u8>) {
        while let Some((due, cic)) = self.pending_answers.first().copied()
            && due <= now
        {
            self.pending_answers.remove(&(due, cic));
            let Some(circuit) = self.circuits.get_mut(&cic) else { continue };
            let State::Ringing(_, result) = circuit.state else { continue };
            match result {
                SetUpResult::Answered => {
                    circuit.state = State::Standing;
                    self.counters.answered += 1;
                    self.send(cic, Body::Anm { report: None, unknown_parameters: Vec::new() }, out);
                }
                SetUpResult::Busy => {
                    self.counters.turned_back += 1;
                    self.free(cic);
                    let cause = CauseIndicators::new(Location::Remote, Q850::UserBusy);
                    self.send(cic, Body::Rel(Rel::new(cause)), out);
                }
            }
        }
    }

    /// Handles octets received on the link. `false` if they are invalid; the link is to be closed.
    pub fn on_octets(&mut self, now: Duration, octets: &[u8], out: &mut Vec<u8>) -> bool {
        let mut deframer = std::mem::take(&mut self.deframer);
        deframer.push(octets);
        let valid = loop {
            match deframer.next() {
                Ok(Some(frame)) => self.on_frame(now, frame, out),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        self.deframer = deframer;
        valid
    }

    fn on_frame(&mut self, now: Duration, frame: &[u8], out: &mut Vec<u8>) {
        match Frame::read(frame) {
            Ok(Frame::AspUp { .. }) => Frame::AspUpAck { asp: Some(self.plan.exchange.into()) }.write(out),
            Ok(Frame::AspActive) => Frame::AspActiveAck.write(out),
            Ok(Frame::Heartbeat(data)) => Frame::HeartbeatAck(data).write(out),
            Ok(Frame::Data(data)) => {
                self.near_point_code = data.opc;
                if let Ok(message) = Message::read(data.user) {
                    self.on_message(now, message, out);
                }
            }
            _ => {}
        }
    }

    fn on_message(&mut self, now: Duration, message: Message, out: &mut Vec<u8>) {
        let Message { cic, body } = message;
        match body {
            Body::Iam(iam) => {
                let call = iam.identity.map(|identity| (identity.origin, identity.call));
                self.on_set_up(now, cic, call);
            }
            Body::Rel(_) => {
                let freed = self.free(cic);
                match freed.map(|circuit| (circuit.call, circuit.state)) {
                    Some((call, State::Ringing(..))) => {
                        self.counters.given_up += 1;
                        self.given_up.extend(call.map(|call| (call, now)));
                    }
                    Some((_, State::Standing)) => self.counters.hung_up += 1,
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

    fn on_set_up(&mut self, now: Duration, cic: Cic, call: Option<(u16, u64)>) {
        self.given_up.retain(|_, released| *released + RELEASE_WAIT > now);
        self.counters.set_ups += 1;
        self.counters.dual += u64::from(self.circuits.contains_key(&cic));
        if let Some(call) = call {
            self.counters.too_soon += u64::from(self.given_up.contains_key(&call));
            self.counters.second_out += u64::from(!self.active_calls.insert(call));
        }
        let result = match self.rng.random::<f64>() {
            draw if draw < self.plan.silent => None,
            draw if draw < self.plan.silent + self.plan.busy => Some(SetUpResult::Busy),
            _ => Some(SetUpResult::Answered),
        };
        let [min, max] = self.plan.answer_ms;
        let ringing_time = Duration::from_secs_f64((min + (max - min) * self.rng.random::<f64>()) / 1e3);
        self.busy_until = self.busy_until.max(now);
        if self.plan.per_s > 0.0 {
            self.busy_until += Duration::from_secs_f64(1.0 / self.plan.per_s);
        }
        let answer_at = result.map(|_| self.busy_until + ringing_time);
        self.pending_answers.extend(answer_at.map(|answer_at| (answer_at, cic)));
        let state = State::Ringing(answer_at, result.unwrap_or(SetUpResult::Answered));
        self.circuits.insert(cic, CircuitUse { call, state });
        self.counters.in_use = self.circuits.len() as u64;
    }

    fn free(&mut self, cic: Cic) -> Option<CircuitUse> {
        let circuit = self.circuits.remove(&cic)?;
        if let State::Ringing(Some(answer_at), _) = circuit.state {
            self.pending_answers.remove(&(answer_at, cic));
        }
        circuit.call.iter().for_each(|call| _ = self.active_calls.remove(call));
        self.counters.in_use = self.circuits.len() as u64;
        Some(circuit)
    }

    fn send(&self, cic: Cic, body: Body, out: &mut Vec<u8>) {
        let mut user = Vec::new();
        Message::new(cic, body).write(&mut user);
        let (opc, dpc) = (self.plan.exchange.into(), self.near_point_code);
        Frame::Data(ProtocolData { opc, dpc, service: 5, network: 2, priority: 0, sls: 0, user: &user })
            .write(out);
    }
}
