//! The verdict: judges the five rules from what crossed between controllers and the world, and nothing else. It shares
//! no code with the office but the codec.
//!
//! On loopback the times are those at the world's end of the sockets, so `slack` allows for what a busy machine adds.
//! Rule 1: one final answer, in time, and nothing sent after it, calls in transit too. Rule 2: one seizure out at a
//! time. Rule 3: nothing new to an exchange later than the grace after it was told to drain or be gone. Rule 4: no cold
//! exchange sent more than it can do. Rule 5: no re-send before the release time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

use mintstall_callapi::FinalAnswer;
use mintstall_emulator::{Observation, Observer, RuleLimits};
use mintstall_isup::{Body, Cic, Frame, Iam, Message, Number, ProtocolData, RangeStatus};
use mintstall_membership::{MemberEntry, MemberStatus};
use serde::Serialize;

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub rule: u8,
    /// Seconds into the day.
    pub at_s: f64,
    pub office: u16,
    /// The call, as its exchange numbers it; or as its subscriber does.
    pub call: Option<u64>,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "rule {} at {:.3} s, exchange {}", self.rule, self.at_s, self.office)?;
        self.call.iter().try_for_each(|call| write!(f, ", call {call:#x}"))?;
        write!(f, ": {}", self.what)
    }
}

/// What was judged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Judged {
    pub calls: u64,
    pub calls_in_transit: u64,
    /// Calls of controllers that were killed, to which no answer is owed any more.
    pub calls_exempt: u64,
    /// Calls of clients that went for good before their answer: nobody was there to hear it.
    pub calls_of_gone: u64,
    pub seizures: u64,
    pub further_attempts: u64,
    /// Times a controller was told that an exchange drains or is gone.
    pub drains: u64,
    pub cold_starts: u64,
    pub set_ups_at_cold: u64,
    /// Seizures that ended with a release time to await.
    pub releases: u64,
    pub dual_seizures: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    pub judged: Judged,
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Breaches beyond those listed.
    pub more: u64,
    /// The most that a cold exchange was sent of what it may be, as a share.
    pub cold_peak: f64,
}

impl Verdict {
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Breaches that are listed one by one.
const LISTED: usize = 100;
/// What ended longer ago is not held against anything new.
const MEMORY: Duration = Duration::from_secs(60);
/// Set-ups that may come beyond a cold exchange's budget by chance.
const CHANCE: f64 = 5.0;

struct Taken {
    until: Duration,
    gave_up: Option<Duration>,
}

/// The exchange that took a call from its caller, and its number there.
type Whose = (u16, u64);

/// A seizure that is out, or led to where a call stands.
struct Out {
    to: u16,
    circuits: Vec<u16>,
    stands: bool,
    /// Something that ends it may have crossed it between the sockets.
    doubtful: bool,
}

#[derive(Default)]
struct Desk {
    running: bool,
    /// By the subscriber's number: calls that wait for their answer.
    open: BTreeMap<u64, Taken>,
    /// Subscriber's numbers answered lately, and exchange's numbers with when: pruned by time.
    answered: BTreeSet<u64>,
    answered_at: VecDeque<(Duration, u64, u64)>,
    final_at: BTreeMap<u64, (Duration, bool)>,
    /// By whose call it is: those in transit hold circuits too.
    out: BTreeMap<Whose, Out>,
    on: BTreeMap<(u16, u16), Whose>,
    /// When a call's last seizure ended so that its circuits may stay taken; pruned by time.
    released: BTreeMap<u64, (Duration, &'static str)>,
    sent_before: BTreeMap<u64, Duration>,
    /// When something came that ends what is sent on a circuit, if the two cross.
    crossed: BTreeMap<(u16, u16), Duration>,
    /// Circuits on which a release or reset is not completed.
    closing: BTreeSet<(u16, u16)>,
    told: BTreeMap<u32, (u16, MemberStatus, Duration, bool)>,
    /// By where it came from and its first circuit: until when it is to be answered, whose it is, its circuits.
    transit: BTreeMap<(u16, u16), (Duration, u64, Vec<u16>)>,
}

impl Desk {
    /// A reset of any circuit of a wider call tells where it came from that the call is over.
    fn forget_transit(&mut self, to: u16, cic: u16) {
        self.transit.retain(|(from, _), (.., all)| *from != to || !all.contains(&cic));
    }
}

struct Cold {
    since: Duration,
    set_ups: f64,
    /// When set-ups came, and whether their sender had been told of the start; those of the last window.
    came: VecDeque<(Duration, bool)>,
    broken: bool,
}

pub struct RuleChecker {
    rules: RuleLimits,
    slack: Duration,
    /// What a controller has not read yet when it sends: nothing in virtual time.
    crossing: Duration,
    desks: BTreeMap<u16, Desk>,
    cold: BTreeMap<u16, Cold>,
    judged: Judged,
    violations: Vec<Violation>,
    more: u64,
    cold_peak: f64,
    pruned: Duration,
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

impl RuleChecker {
    /// `slack`: what the machine may add to a time; `crossing`: within which something sent may cross something that
    /// came, both none in virtual time.
    pub fn new(rules: &RuleLimits, slack: Duration, crossing: Duration) -> Self {
        Self {
            rules: rules.clone(),
            slack,
            crossing,
            desks: BTreeMap::new(),
            cold: BTreeMap::new(),
            judged: Judged::default(),
            violations: Vec::new(),
            more: 0,
            cold_peak: 0.0,
            pruned: Duration::ZERO,
        }
    }

    fn violation(&mut self, rule: u8, at: Duration, office: u16, call: Option<u64>, what: String) {
        if self.violations.len() < LISTED {
            self.violations.push(Violation { rule, at_s: at.as_secs_f64(), office, call, what });
        } else {
            self.more += 1;
        }
    }

    /// The end of the day: what is still owed is judged.
    pub fn finish(mut self, at: Duration) -> Verdict {
        for (office, desk) in std::mem::take(&mut self.desks) {
            if desk.running {
                self.overdue(at, office, &desk, "never answered");
            }
        }
        let Self { judged, violations, more, cold_peak, .. } = self;
        Verdict { judged, violations, more, cold_peak }
    }

    /// Calls whose answer is overdue at this time.
    fn overdue(&mut self, at: Duration, office: u16, desk: &Desk, what: &str) {
        let grace = ms(self.rules.answer_grace_ms) + self.slack;
        for (call, taken) in &desk.open {
            let until = taken.gave_up.unwrap_or(taken.until).min(taken.until);
            if until + grace < at {
                let left = format!("{what}: its time was up at {:.3} s", until.as_secs_f64());
                self.violation(1, at, office, Some(*call), left);
            }
        }
        for ((from, cic), (until, call, _)) in &desk.transit {
            if *until + grace < at {
                let text = format!(
                    "call in transit from {from}, circuit {cic}, {what} by {:.3} s",
                    until.as_secs_f64()
                );
                self.violation(1, at, office, Some(*call), text);
            }
        }
    }

    fn answered(&mut self, at: Duration, office: u16, call: u64, exchange_call: u64, answer: FinalAnswer) {
        let grace = ms(self.rules.answer_grace_ms) + self.slack;
        let desk = self.desks.entry(office).or_default();
        let stands = answer == FinalAnswer::Stands;
        let Some(taken) = desk.open.remove(&call) else {
            let again = desk.answered.contains(&call);
            let what =
                if again { "a second final answer" } else { "an answer to a call that was never offered" };
            return self.violation(1, at, office, Some(call), format!("{what}: {answer:?}"));
        };
        desk.answered.insert(call);
        desk.answered_at.push_back((at, call, exchange_call));
        desk.final_at.insert(exchange_call, (at, stands));
        if let Some(gave_up) = taken.gave_up.filter(|gave_up| at > *gave_up + grace) {
            let late = (at - gave_up).as_secs_f64();
            return self.violation(
                1,
                at,
                office,
                Some(call),
                format!("answered {late:.3} s after its caller gave up"),
            );
        }
        if at > taken.until + grace {
            let late = (at - taken.until).as_secs_f64();
            self.violation(1, at, office, Some(call), format!("answered {late:.3} s after its time was up"));
        }
    }

    fn sent(&mut self, at: Duration, office: u16, to: u16, frame: &[u8]) {
        let Some(message) = read(frame) else { return };
        let cic = message.cic.0;
        match message.body {
            Body::Iam(iam) => self.set_up_sent(at, office, to, cic, &iam),
            Body::Anm { .. } => _ = self.transit_over(at, office, (to, cic)),
            Body::Rel(_) => {
                self.transit_over(at, office, (to, cic));
                self.desk(office).closing.insert((to, cic));
                self.seizure_over(at, office, (to, cic), Some("time-out or cancel"));
            }
            Body::Rsc => {
                self.desk(office).forget_transit(to, cic);
                self.desk(office).closing.insert((to, cic));
                self.seizure_over(at, office, (to, cic), Some("reset"));
            }
            Body::Grs { count } => {
                for cic in range(cic, count) {
                    self.desk(office).forget_transit(to, cic);
                    self.desk(office).closing.insert((to, cic));
                }
            }
            Body::Cgb { kind: 1, range } => self.failed_circuits(at, office, to, cic, range),
            _ => {}
        }
    }

    fn got(&mut self, at: Duration, office: u16, from: u16, frame: &[u8]) {
        let Some(message) = read(frame) else { return };
        let cic = message.cic.0;
        let ended = match &message.body {
            Body::Iam(iam) => circuits(cic, iam),
            Body::Rsc => vec![cic],
            Body::Grs { count } => range(cic, *count).collect(),
            Body::Cgb { kind: 1, range: status } => range(cic, status.count).collect(),
            _ => Vec::new(),
        };
        if !self.crossing.is_zero() {
            let desk = self.desk(office);
            ended.into_iter().for_each(|cic| _ = desk.crossed.insert((from, cic), at));
        }
        match message.body {
            Body::Iam(iam) => self.set_up_got(at, office, from, cic, &iam),
            Body::Anm { .. } => {
                let desk = self.desk(office);
                if let Some(out) = desk.on.get(&(from, cic)).copied().and_then(|call| desk.out.get_mut(&call))
                {
                    (out.stands, out.doubtful) = (true, false);
                }
            }
            Body::Rel(_) => {
                self.transit_over(at, office, (from, cic));
                self.seizure_over(at, office, (from, cic), None);
            }
            Body::Rlc { .. } if self.desk(office).closing.remove(&(from, cic)) => {}
            Body::Rlc { .. } => {
                self.seizure_over(at, office, (from, cic), Some("release that was not asked for"))
            }
            Body::Rsc => {
                self.transit_over(at, office, (from, cic));
                self.seizure_over(at, office, (from, cic), Some("reset by the far end"));
            }
            Body::Grs { count } => {
                for cic in range(cic, count) {
                    self.transit_over(at, office, (from, cic));
                    self.seizure_over(at, office, (from, cic), Some("group reset by the far end"));
                    self.desk(office).closing.remove(&(from, cic));
                }
            }
            Body::Gra(status) => {
                for cic in range(cic, status.count) {
                    self.desk(office).closing.remove(&(from, cic));
                }
            }
            Body::Cgb { kind: 1, range } => self.failed_circuits(at, office, from, cic, range),
            _ => {}
        }
    }

    fn desk(&mut self, office: u16) -> &mut Desk {
        self.desks.entry(office).or_default()
    }

    fn failed_circuits(&mut self, at: Duration, office: u16, to: u16, first: u16, range: RangeStatus) {
        for bit in (0..u16::from(range.count)).filter(|bit| range.status >> bit & 1 == 1) {
            self.transit_over(at, office, (to, first + bit));
            self.seizure_over(at, office, (to, first + bit), Some("failed circuit"));
            self.desk(office).closing.remove(&(to, first + bit));
        }
    }

    /// A call in transit is answered, or its caller has gone.
    fn transit_over(&mut self, at: Duration, office: u16, circuit: (u16, u16)) -> bool {
        let grace = ms(self.rules.answer_grace_ms) + self.slack;
        let transit = &mut self.desk(office).transit;
        // What ends any circuit of a wider call ends it.
        let holds = |((from, _), (.., all)): &(&(u16, u16), &(Duration, u64, Vec<u16>))| {
            *from == circuit.0 && all.contains(&circuit.1)
        };
        let Some(key) = transit.iter().find(holds).map(|(key, _)| *key) else { return false };
        let Some((until, call, _)) = transit.remove(&key) else { return false };
        if at > until + grace {
            let late = (at - until).as_secs_f64();
            let what =
                format!("call in transit from {} answered {late:.3} s after its time was up", circuit.0);
            self.violation(1, at, office, Some(call), what);
        }
        true
    }

    /// A seizure has ended; `wait` says why its circuits may stay taken.
    fn seizure_over(&mut self, at: Duration, office: u16, circuit: (u16, u16), wait: Option<&'static str>) {
        let desk = self.desk(office);
        let Some(call) = desk.on.get(&circuit).copied() else { return };
        let Some(out) = desk.out.remove(&call) else { return };
        // Some may carry another call already.
        desk.on.retain(|_, holder| *holder != call);
        if let Some(why) = wait.filter(|_| !out.stands && call.0 == office) {
            desk.released.insert(call.1, (at, why));
            self.judged.releases += 1;
        }
    }

    fn set_up_sent(&mut self, at: Duration, office: u16, to: u16, cic: u16, iam: &Iam) {
        let Some(identity) = iam.identity else {
            return self.violation(
                2,
                at,
                office,
                None,
                format!("a set-up to {to} that does not say whose it is"),
            );
        };
        let (slack, crossing, rules) = (self.slack, self.crossing, self.rules.clone());
        let desk = self.desk(office);
        // Rule 3, calls in transit too.
        let told: Vec<_> = desk.told.values().filter(|(at_office, ..)| *at_office == to).collect();
        let ready = told.iter().any(|(_, standing, ..)| *standing == MemberStatus::Ready);
        let since = told.iter().map(|(_, _, since, _)| *since).max();
        if let Some(since) = since.filter(|since| !ready && at > *since + ms(rules.drain_grace_ms) + slack) {
            let late = (at - since).as_secs_f64();
            let what = format!("a set-up to {to}, {late:.3} s after being told that it drains or is gone");
            self.violation(3, at, office, Some(identity.call), what);
        }
        let whose = (identity.origin, identity.call);
        // What was on a circuit that is taken anew is over, though nothing said so here: it failed at this end.
        for cic in circuits(cic, iam) {
            if self.desk(office).on.get(&(to, cic)).is_some_and(|other| *other != whose) {
                self.seizure_over(at, office, (to, cic), Some("failed circuit"));
            }
        }
        let desk = self.desk(office);
        let circuits = circuits(cic, iam);
        let crossed = |cic: &u16| desk.crossed.get(&(to, *cic)).is_some_and(|came| at <= *came + crossing);
        let doubtful = circuits.iter().any(crossed);
        circuits.iter().for_each(|cic| _ = desk.on.insert((to, *cic), whose));
        let before = desk.out.insert(whose, Out { to, circuits, stands: false, doubtful });
        let twice = before.filter(|out| !out.doubtful).map(|out| (out.to, out.circuits[0], out.stands));
        if identity.origin != office {
            return;
        }
        self.judged.seizures += 1;
        let call = identity.call;
        let desk = self.desk(office);
        let further = desk.sent_before.insert(call, at).is_some();
        let last = desk.final_at.get(&call).copied();
        let released = desk.released.remove(&call);
        self.judged.further_attempts += u64::from(further);
        if let Some((other, circuit, stands)) = twice {
            let how = if stands { "stands" } else { "is out" };
            let what =
                format!("seized to {to} on circuit {cic} while it {how} to {other} on circuit {circuit}");
            self.violation(2, at, office, Some(call), what);
        }
        if let Some((answered, _)) = last.filter(|(answered, _)| at > *answered + slack) {
            let late = (at - answered).as_secs_f64();
            self.violation(
                1,
                at,
                office,
                Some(call),
                format!("a set-up to {to}, {late:.3} s after its final answer"),
            );
        }
        if let Some((ended, why)) =
            released.filter(|(ended, _)| at + slack < *ended + ms(rules.release_wait_ms))
        {
            let gap = (at - ended).as_secs_f64();
            let what = format!(
                "sent again to {to} {gap:.3} s after a {why}, {} ms to be awaited",
                rules.release_wait_ms
            );
            self.violation(5, at, office, Some(call), what);
        }
    }

    fn set_up_got(&mut self, at: Duration, office: u16, from: u16, cic: u16, iam: &Iam) {
        let theirs = circuits(cic, iam);
        let desk = self.desk(office);
        // A release of its own is on its way: the set-up is disregarded, and the far end gives it up.
        if theirs.iter().any(|cic| desk.closing.contains(&(from, *cic))) {
            return;
        }
        let disputed: Vec<_> =
            theirs.iter().filter_map(|cic| Some((*cic, *desk.on.get(&(from, *cic))?))).collect();
        for (circuit, call) in disputed {
            let Some(out) = self.desk(office).out.get(&call) else { continue };
            // The far end answered that call, and so had yielded before.
            if out.stands {
                return;
            }
            let (ours, even) = (out.circuits.len(), circuit.is_multiple_of(2));
            self.judged.dual_seizures += 1;
            // Q.764 clause 2.9.1.4: the wider call, else the higher point code on even circuits, the lower on odd.
            let prevails = ours > theirs.len() || ours == theirs.len() && (office > from) == even;
            if prevails {
                return;
            }
            self.seizure_over(at, office, (from, circuit), None);
        }
        let digits = iam.called.digits();
        let dest = Number::parse_decimal(&digits[..digits.len().min(5)]);
        let (true, Some(identity)) = (dest != Some(office.into()), iam.identity) else { return };
        self.judged.calls_in_transit += 1;
        let until = at + Duration::from_millis(identity.time_left_ms.into());
        self.desk(office).transit.insert((from, cic), (until, identity.call, theirs));
    }

    fn told(&mut self, at: Duration, office: u16, whole: bool, entries: &[MemberEntry]) {
        let mut drains = 0;
        let desk = self.desk(office);
        if whole {
            desk.told.retain(|id, _| entries.iter().any(|entry| entry.exchange == *id));
        }
        for entry in entries {
            let started = entry.age_ms.is_some();
            let told =
                desk.told.entry(entry.exchange).or_insert((entry.office, MemberStatus::Ready, at, started));
            told.3 |= started;
            if (told.1 == MemberStatus::Ready) != (entry.status == MemberStatus::Ready) {
                (told.1, told.2) = (entry.status, at);
                drains += u64::from(entry.status != MemberStatus::Ready);
            }
        }
        self.judged.drains += drains;
    }

    /// Rule 4: a budget over every window of the stated length.
    fn set_up_at(&mut self, at: Duration, office: u16, from: u16) {
        let told = self.desks.get(&from).is_some_and(|desk| {
            desk.told.values().any(|(at_office, standing, _, started)| {
                *at_office == office && *standing == MemberStatus::Ready && *started
            })
        });
        let rules = &self.rules;
        let (window, warm_up) = (ms(rules.fall_ms), ms(rules.warm_up_ms));
        let Some(cold) = self.cold.get_mut(&office) else { return };
        let age = at.saturating_sub(cold.since);
        if age >= warm_up {
            self.cold.remove(&office);
            return;
        }
        self.judged.set_ups_at_cold += 1;
        cold.came.push_back((at, told));
        while cold.came.front().is_some_and(|(came, _)| *came + window < at) {
            cold.came.pop_front();
        }
        let warmth = age.as_secs_f64() / warm_up.as_secs_f64();
        let can = cold.set_ups * (rules.cold_share + (1.0 - rules.cold_share) * warmth);
        let budget = rules.fall_multiple * can * window.as_secs_f64() + CHANCE;
        let (count, knowing) = (cold.came.len(), cold.came.iter().filter(|(_, told)| *told).count());
        self.cold_peak = self.cold_peak.max(count as f64 / budget);
        if count as f64 > budget && 3 * knowing >= 2 * count && !std::mem::replace(&mut cold.broken, true) {
            let what = format!(
                "cold, sent {count} set-ups in {window:?}, {budget:.1} are its budget ({knowing} knowingly)"
            );
            self.violation(4, at, office, None, what);
        }
    }

    fn prune(&mut self, at: Duration) {
        if at < self.pruned + Duration::from_secs(1) {
            return;
        }
        self.pruned = at;
        for desk in self.desks.values_mut() {
            while desk.answered_at.front().is_some_and(|(answered, ..)| *answered + MEMORY < at) {
                if let Some((_, call, exchange_call)) = desk.answered_at.pop_front() {
                    desk.answered.remove(&call);
                    desk.final_at.remove(&exchange_call);
                }
            }
            desk.released.retain(|_, (ended, _)| *ended + MEMORY > at);
            desk.sent_before.retain(|_, sent| *sent + MEMORY > at);
        }
    }

    fn started(&mut self, office: u16) {
        *self.desk(office) = Desk { running: true, ..Desk::default() };
    }

    fn killed(&mut self, at: Duration, office: u16) {
        let desk = std::mem::take(self.desk(office));
        self.overdue(at, office, &desk, "not answered before its controller was killed");
        self.judged.calls_exempt += desk.open.len() as u64;
    }

    fn link_down(&mut self, at: Duration, office: u16, to: u16) {
        let desk = self.desk(office);
        let lost = desk
            .on
            .iter()
            .filter(|((other, _), call)| *other == to && desk.out.get(call).is_some_and(|out| !out.stands));
        let lost: Vec<_> = lost.map(|(circuit, _)| *circuit).collect();
        lost.into_iter().for_each(|circuit| self.seizure_over(at, office, circuit, Some("lost link")));
        let desk = self.desk(office);
        desk.transit.retain(|(from, _), _| *from != to);
    }
}

impl Observer for RuleChecker {
    fn observe(&mut self, at: Duration, observation: Observation) {
        self.prune(at);
        match observation {
            Observation::FrameSent { office, to, frame } => self.sent(at, office, to, frame),
            Observation::FrameReceived { office, from, frame } => self.got(at, office, from, frame),
            Observation::LinkDown { office, to } => self.link_down(at, office, to),
            Observation::Offered { office, offer } => {
                self.judged.calls += 1;
                let until = at + Duration::from_millis(offer.time_left_ms.into());
                self.desk(office).open.insert(offer.call, Taken { until, gave_up: None });
            }
            Observation::ClientLost { office, call } => {
                let open = self.desk(office).open.remove(&call);
                self.judged.calls_of_gone += u64::from(open.is_some());
            }
            Observation::HungUp { office, call } => {
                if let Some(taken) = self.desk(office).open.get_mut(&call) {
                    taken.gave_up = Some(at);
                }
            }
            Observation::Answered { office, call, exchange_call, answer } => {
                self.answered(at, office, call, exchange_call, answer);
            }
            Observation::MembershipDelivered { office, is_full, entries } => {
                self.told(at, office, is_full, entries)
            }
            Observation::Started { office } => self.started(office),
            Observation::Killed { office } => self.killed(at, office),
            Observation::ColdStart { office, set_ups } => {
                self.judged.cold_starts += 1;
                self.cold.insert(office, Cold { since: at, set_ups, came: VecDeque::new(), broken: false });
            }
            Observation::SetUpArrived { office, from } => self.set_up_at(at, office, from),
            Observation::LinkUp { .. } | Observation::Ended { .. } | Observation::Fault { .. } => {}
        }
    }
}

fn read(frame: &[u8]) -> Option<Message<'_>> {
    match Frame::read(frame) {
        Ok(Frame::Data(ProtocolData { user, .. })) => Message::read(user).ok(),
        _ => None,
    }
}

fn circuits(cic: u16, iam: &Iam) -> Vec<u16> {
    iam.map.map_or_else(|| vec![cic], |map| map.circuits(Cic(cic)).map(|cic| cic.0).collect())
}

fn range(first: u16, count: u8) -> impl Iterator<Item = u16> {
    (0..u16::from(count)).map(move |at| first + at)
}
