//! Judges the records of a run by the rules of the platform's protocol. No I/O.
//!
//! Every time limit has the protocol's slack. Rule 4 (a cold exchange pushed over) is not judged here: it needs the
//! capacity of processors, which the emulated exchanges do not have.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use mintstall::liveness::FIRST_CONTACT_LEASE;

use crate::controller::{DRAIN_GRACE, RELEASE_TIME};
use crate::exchange::{description as description_of, uid_of};
use crate::record::{AttemptEnd, BusFault, CallId, ConnectionId, ControllerIndex, Event, Micros, Record};

const SECOND: Micros = 1_000_000;
const MILLISECOND: Micros = 1_000;
/// Each time limit is this much longer.
const SLACK: Micros = 50 * MILLISECOND;
/// An answer after its time earns nothing; after this more, it is lost.
const LATE: Micros = SECOND / 2;
/// A release that reached the controller goes on to the caller within this time.
const RELEASE_PASSED_WITHIN: Micros = SECOND;
/// A call's end that no release could tell is told within this time.
const END_TOLD_WITHIN: Micros = 8 * SECOND;
/// A set-up that crosses the close of its connection within this time is not lost; as all limits, with slack.
const CROSSING: Micros = 50 * MILLISECOND + SLACK;
/// What a bus tells counts as told so long after the fault of that kind began, or, for `Down`, ended.
const TOLD_AFTER_BREAK: Micros = 2 * SECOND;
const TOLD_AFTER_SILENCE: Micros = 4 * SECOND;
const TOLD_AFTER_RETURN: Micros = 6 * SECOND;
/// And after a new configuration.
const TOLD_AFTER_RECONFIGURATION: Micros = 4 * SECOND;
/// Time that a thread of the run itself may take to write its record.
const RECORDING: Micros = 30 * MILLISECOND;

/// The rules, and what else voids a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one final answer in time; the end of each call told in time.
    Lost,
    /// Never two attempts of a call out at once.
    Duplicate,
    /// Nothing new to an exchange that drains or is gone.
    Drain,
    /// No repetition before the release time.
    Release,
    /// No crash, no limit broken.
    Crash,
    /// Bad callers are settled in time.
    BadCaller,
}

/// One violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Micros,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} at {}.{:06}: {}", self.rule, self.at / SECOND, self.at % SECOND, self.what)
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub set_ups: usize,
    pub served: usize,
    pub ended_calls: usize,
}

#[derive(Debug)]
struct Sent {
    at: Micros,
    connection: ConnectionId,
    controller: ControllerIndex,
    patience: Micros,
}

#[derive(Debug, Default)]
struct Call {
    sent: Vec<Sent>,
    /// When, on which connection, with which status and description.
    answers: Vec<(Micros, ConnectionId, u16, String)>,
    cancelled: Option<Micros>,
    /// What became of it at each exchange that answered: of several attempts one alone is the caller's.
    stood: BTreeMap<String, Stood>,
    told: Option<Micros>,
    released_by_caller: Option<Micros>,
    announced: Option<Micros>,
}

/// A call that stands, or stood, at one exchange.
#[derive(Clone, Copy, Debug)]
struct Stood {
    since: Micros,
    /// When it was over there, and whether by the controller.
    over: Option<(Micros, bool)>,
    /// When its release reached the controller.
    delivered: Option<Micros>,
}

/// A stretch of time in which a process did not serve.
#[derive(Debug)]
struct Outage {
    from: Micros,
    until: Micros,
}

/// Everything that the rules ask about, from one pass over the records.
#[derive(Debug, Default)]
struct Facts {
    calls: BTreeMap<CallId, Call>,
    closed_by_controller: BTreeMap<ConnectionId, Micros>,
    closed_by_caller: BTreeMap<ConnectionId, Micros>,
    heard: BTreeSet<ConnectionId>,
    /// When each link between a controller and an exchange was opened.
    links: BTreeMap<ConnectionId, Micros>,
    /// When each controller was ready.
    ready: BTreeMap<ControllerIndex, Vec<Micros>>,
    exchange_ended: BTreeMap<String, Micros>,
    /// When each controller was sent SIGTERM.
    terminating: BTreeMap<ControllerIndex, Vec<Micros>>,
    /// From its end or SIGKILL to ready again.
    down: BTreeMap<ControllerIndex, Vec<Outage>>,
    killed: BTreeMap<ControllerIndex, Vec<Micros>>,
    reconfigured: BTreeMap<ControllerIndex, Vec<Micros>>,
    /// When each exchange was listed as leaving.
    drained: BTreeMap<String, Micros>,
    bus_faults: Vec<(BusFault, Micros, Micros)>,
    end: Micros,
}

/// Judges a whole run. `end` is when its faults were over and callers stopped.
pub fn check_rules(records: &[Record], end: Micros) -> Verdict {
    let facts = Facts::gather(records, end);
    let mut verdict = Verdict::default();
    facts.check_answers(&mut verdict);
    facts.check_call_ends(&mut verdict);
    check_attempts(records, &facts, &mut verdict.violations);
    check_processes(records, &mut verdict.violations);
    verdict.violations.sort_by_key(|violation| (violation.at, violation.rule));
    verdict
}

impl Facts {
    fn gather(records: &[Record], end: Micros) -> Self {
        let mut facts = Self { end, ..Self::default() };
        for Record { at, event } in records {
            facts.take(*at, event);
        }
        facts
    }

    fn call(&mut self, call: CallId) -> &mut Call {
        self.calls.entry(call).or_default()
    }

    fn take(&mut self, at: Micros, event: &Event) {
        match event {
            Event::SetUpSent { call, connection, controller, patience_ms } => {
                let patience = patience_ms * MILLISECOND;
                let sent = Sent { at, connection: *connection, controller: *controller, patience };
                self.call(*call).sent.push(sent);
            }
            Event::FinalAnswer { call, connection, status, description } => {
                self.heard.insert(*connection);
                self.call(*call).answers.push((at, *connection, *status, description.clone()));
            }
            Event::CancelSent { call } => self.call(*call).cancelled = Some(at),
            Event::ClosedByController { connection } => {
                self.closed_by_controller.insert(*connection, at);
            }
            Event::ClosedByCaller { connection } => {
                self.closed_by_caller.insert(*connection, at);
            }
            Event::ReleaseReceivedByCaller { call, .. } => {
                self.call(*call).told.get_or_insert(at);
            }
            Event::ReleaseSentByCaller { call } => self.call(*call).released_by_caller = Some(at),
            Event::Announced { call, .. } => self.call(*call).announced = Some(at),
            Event::AttemptEnded { uid, call, end: AttemptEnd::Answered } => {
                let stood = Stood { since: at, over: None, delivered: None };
                self.call(*call).stood.insert(uid.clone(), stood);
            }
            Event::CallOver { uid, call, by_controller } => {
                if let Some(stood) = self.call(*call).stood.get_mut(uid) {
                    stood.over.get_or_insert((at, *by_controller));
                }
            }
            Event::LinkOpened { link, .. } => {
                self.links.insert(*link, at);
            }
            Event::ReleaseDelivered { uid, call, controller, link } => {
                // A link of a former process leads to nobody.
                let opened = self.links.get(link).copied().unwrap_or_default();
                let alive = self.next_down(*controller, opened).is_none();
                if let Some(stood) = self.call(*call).stood.get_mut(uid).filter(|_| alive) {
                    stood.delivered.get_or_insert(at);
                }
            }
            Event::ExchangeEnded { uid } => {
                self.exchange_ended.entry(uid.clone()).or_insert(at);
            }
            Event::ListChanged { uid, state, .. } if state != "in_service" => {
                self.drained.entry(uid.clone()).or_insert(at);
            }
            Event::BusFaultBegan { fault } => self.bus_faults.push((*fault, at, Micros::MAX)),
            Event::BusFaultEnded { fault } => {
                if let Some(open) = self.bus_faults.iter_mut().rev().find(|(known, ..)| known == fault) {
                    open.2 = at;
                }
            }
            Event::Terminating { controller } => self.terminating.entry(*controller).or_default().push(at),
            Event::Reconfigured { controller } => self.reconfigured.entry(*controller).or_default().push(at),
            Event::Killed { controller } => {
                self.killed.entry(*controller).or_default().push(at);
                self.went_down(*controller, at);
            }
            Event::Exited { controller, .. } => self.went_down(*controller, at),
            Event::ControllerReady { controller } => {
                self.ready.entry(*controller).or_default().push(at);
                if let Some(outage) = self.down.get_mut(controller).and_then(|all| all.last_mut()) {
                    outage.until = at;
                }
            }
            _ => {}
        }
    }

    fn went_down(&mut self, controller: ControllerIndex, at: Micros) {
        self.down.entry(controller).or_default().push(Outage { from: at, until: Micros::MAX });
    }

    /// The first time at or after `from` at which the controller was killed or ended.
    fn next_down(&self, controller: ControllerIndex, from: Micros) -> Option<Micros> {
        self.down.get(&controller)?.iter().map(|outage| outage.from).find(|at| *at >= from)
    }

    /// Whether the controller was down at some time of a stretch.
    fn was_down(&self, controller: ControllerIndex, from: Micros, until: Micros) -> bool {
        let overlaps = |outage: &Outage| outage.from <= until && outage.until >= from;
        self.down.get(&controller).is_some_and(|all| all.iter().any(overlaps))
    }

    /// Whether the controller was killed without warning in a stretch.
    fn killed_outright(&self, controller: ControllerIndex, from: Micros, until: Micros) -> bool {
        let started = |from: Micros, until: Micros| {
            self.ready.get(&controller).is_some_and(|all| all.iter().any(|at| (from..until).contains(at)))
        };
        let warned = |kill: Micros| {
            let signals = self.terminating.get(&controller).into_iter().flatten();
            signals.filter(|at| **at <= kill).any(|at| !started(*at, kill))
        };
        let kills = self.killed.get(&controller).into_iter().flatten();
        kills.filter(|kill| (from..=until).contains(*kill)).any(|kill| !warned(*kill))
    }

    fn check_answers(&self, verdict: &mut Verdict) {
        for (id, call) in &self.calls {
            let Some(first) = call.sent.first() else { continue };
            verdict.set_ups += 1;
            if call.answers.len() > 1 {
                let at = call.answers[1].0;
                verdict.violations.push(violation(
                    Rule::Lost,
                    at,
                    format!("call {id:016x} has a second final answer"),
                ));
            }
            if let Some((at, _, 200, description)) = call.answers.first() {
                verdict.served += 1;
                let uid = uid_of(description);
                let given = call.stood.contains_key(uid).then(|| description_of(uid, *id));
                if given.as_ref() != Some(description) {
                    let what = format!(
                        "call {id:016x} is answered with {description:?}, the exchange gave {given:?}"
                    );
                    verdict.violations.push(violation(Rule::Lost, *at, what));
                }
            }
            let last = call.sent.last().unwrap_or(first);
            let due = last.at + last.patience + LATE + SLACK;
            let answered = call.answers.first().map(|(at, ..)| *at);
            if answered.is_some_and(|at| at <= due) || self.excused(call, last, due) {
                continue;
            }
            let when =
                answered.map_or("never".to_string(), |at| format!("{} ms late", (at - due) / MILLISECOND));
            let what = format!(
                "call {id:016x}, sent to n{} on connection {} with {} ms, is answered {when}",
                last.controller,
                last.connection,
                last.patience / MILLISECOND
            );
            verdict.violations.push(violation(Rule::Lost, last.at, what));
        }
    }

    /// Whether no answer was owed.
    fn excused(&self, call: &Call, sent: &Sent, due: Micros) -> bool {
        let given_up = call.cancelled.is_some_and(|at| at <= due);
        let left = self.closed_by_caller.get(&sent.connection).is_some_and(|at| *at <= due);
        if given_up || left || due > self.end {
            return true;
        }
        // One that crosses the end of a connection on which something had come goes again.
        let closed = self.closed_by_controller.get(&sent.connection);
        let crossed = closed.is_some_and(|closed| sent.at + CROSSING >= *closed);
        if crossed && self.heard.contains(&sent.connection) {
            return true;
        }
        // One whose last octet was written after the end of the process was not taken.
        if closed.is_some_and(|closed| sent.at >= *closed && self.was_down(sent.controller, *closed, *closed))
        {
            return true;
        }
        // A kill finds what arrived just before it; one without SIGTERM excuses all that was open.
        let Some(kill) = self.next_down(sent.controller, sent.at).filter(|at| *at <= due) else {
            return false;
        };
        self.killed_outright(sent.controller, kill, kill) || sent.at + CROSSING >= kill
    }

    fn check_call_ends(&self, verdict: &mut Verdict) {
        for (id, call) in &self.calls {
            let served = call.answers.first().filter(|(_, _, status, _)| *status == 200);
            let (Some((.., description)), Some(sent)) = (served, call.sent.last()) else { continue };
            let uid = uid_of(description);
            let Some(stood) = call.stood.get(uid) else { continue };
            let vanished = self.exchange_ended.get(uid).copied().filter(|at| *at >= stood.since);
            let (over, by_controller) = match (stood.over, vanished) {
                (Some(over), Some(vanished)) if over.0 > vanished => (vanished, false),
                (Some(over), _) => over,
                (None, Some(vanished)) => (vanished, false),
                (None, None) => continue,
            };
            verdict.ended_calls += 1;
            if call.released_by_caller.is_some_and(|at| at <= over + END_TOLD_WITHIN) {
                continue;
            }
            let due = self.end_due(call, stood, sent.controller, over, by_controller);
            if due > self.end || call.told.is_some_and(|at| at <= due) {
                continue;
            }
            let when = call.told.map_or("never told".to_string(), |at| {
                format!("told {} ms after its end", at.saturating_sub(over) / MILLISECOND)
            });
            let what = format!("call {id:016x} of n{} at {uid} is over, {when}", sent.controller);
            verdict.violations.push(violation(Rule::Lost, over, what));
        }
    }

    /// By when a call's end is to be told to its caller.
    fn end_due(
        &self,
        call: &Call,
        stood: &Stood,
        controller: ControllerIndex,
        over: Micros,
        by_controller: bool,
    ) -> Micros {
        let slow = over + END_TOLD_WITHIN + SLACK + RECORDING;
        let quick = |from: Micros| from + RELEASE_PASSED_WITHIN + SLACK + RECORDING;
        let due = match stood.delivered {
            _ if by_controller => quick(over),
            Some(delivered) if delivered >= over => quick(delivered).min(slow),
            _ => slow,
        };
        if !self.was_down(controller, over, due) {
            return due;
        }
        // The next start learns of the call from its caller.
        let announced = call.announced.filter(|at| *at > over).unwrap_or(over);
        let due = slow.max(quick(announced));
        if self.killed_outright(controller, over, due) {
            // Nobody is left who knows how long the exchange has been silent: it is given its first contact anew.
            return due.max(announced + duration(FIRST_CONTACT_LEASE) + RELEASE_PASSED_WITHIN);
        }
        due
    }

    /// From when on a change of the list that was made at some time counts as told to a controller.
    fn told(&self, controller: ControllerIndex, at: Micros) -> Micros {
        let faults = self.bus_faults.iter().filter_map(|(fault, from, until)| match fault {
            BusFault::Break if (*from..*from + TOLD_AFTER_BREAK).contains(&at) => {
                Some(from + TOLD_AFTER_BREAK)
            }
            BusFault::Silent if (*from..*from + TOLD_AFTER_SILENCE).contains(&at) => {
                Some(from + TOLD_AFTER_SILENCE)
            }
            BusFault::Down if *from <= at && at < until.saturating_add(TOLD_AFTER_RETURN) => {
                Some(until.saturating_add(TOLD_AFTER_RETURN))
            }
            _ => None,
        });
        let moves = self.reconfigured.get(&controller).into_iter().flatten();
        let moved = moves
            .filter(|moved| (**moved..**moved + TOLD_AFTER_RECONFIGURATION).contains(&at))
            .map(|moved| moved + TOLD_AFTER_RECONFIGURATION);
        faults.chain(moved).max().unwrap_or(at)
    }
}

fn duration(of: std::time::Duration) -> Micros {
    of.as_micros() as Micros
}

fn violation(rule: Rule, at: Micros, what: String) -> Violation {
    Violation { rule, at, what }
}

/// An attempt as the network saw it.
#[derive(Debug)]
struct Attempt {
    uid: String,
    link: ConnectionId,
    /// Come whole to its exchange.
    received: Option<Micros>,
    /// Its end written, or given up, or its connection closed.
    ended: Option<Micros>,
    /// Whether the exchange said so: then no release time is to be kept.
    by_exchange: bool,
}

/// Rules 2, 3 and 5, from what passed between controllers and exchanges.
fn check_attempts(records: &[Record], facts: &Facts, violations: &mut Vec<Violation>) {
    let mut calls: BTreeMap<CallId, Vec<Attempt>> = BTreeMap::new();
    for Record { at, event } in records {
        match event {
            Event::SetUpPassed { uid, call, controller, link } => {
                check_drain(facts, violations, *at, *controller, uid, *call);
                let attempts = calls.entry(*call).or_default();
                check_repetition(violations, *at, *call, attempts);
                let attempt = Attempt {
                    uid: uid.clone(),
                    link: *link,
                    received: None,
                    ended: None,
                    by_exchange: false,
                };
                attempts.push(attempt);
            }
            Event::SetUpReceived { uid, call } => {
                if let Some(attempt) = last_at(&mut calls, *call, uid) {
                    attempt.received = Some(*at);
                }
            }
            Event::AttemptEnded { uid, call, end } => {
                if let Some(attempt) =
                    last_at(&mut calls, *call, uid).filter(|attempt| attempt.ended.is_none())
                {
                    attempt.ended = Some(*at);
                    attempt.by_exchange = matches!(end, AttemptEnd::Answered | AttemptEnd::Refused);
                }
            }
            Event::ReleasePassed { call, link, .. } => {
                let attempts = calls.get_mut(call).into_iter().flatten();
                for attempt in attempts.filter(|attempt| attempt.link == *link && attempt.ended.is_none()) {
                    attempt.ended = Some(*at);
                }
            }
            Event::LinkClosed { link, .. } | Event::LinkReset { link, .. } => {
                for attempt in calls.values_mut().flatten() {
                    if attempt.link == *link && attempt.ended.is_none() {
                        attempt.ended = Some(*at);
                    }
                }
            }
            _ => {}
        }
    }
}

fn last_at<'a>(
    calls: &'a mut BTreeMap<CallId, Vec<Attempt>>,
    call: CallId,
    uid: &str,
) -> Option<&'a mut Attempt> {
    calls.get_mut(&call)?.iter_mut().rev().find(|attempt| attempt.uid == uid)
}

fn check_drain(
    facts: &Facts,
    violations: &mut Vec<Violation>,
    at: Micros,
    controller: ControllerIndex,
    uid: &str,
    call: CallId,
) {
    let Some(drained) = facts.drained.get(uid) else { return };
    let told = facts.told(controller, *drained);
    if at > told.saturating_add(duration(DRAIN_GRACE) + SLACK + RECORDING) {
        let what = format!(
            "call {call:016x} is sent by n{controller} to {uid}, {} ms after its drain counts as told",
            (at - told) / MILLISECOND
        );
        violations.push(violation(Rule::Drain, at, what));
    }
}

/// A further attempt: the one before must have ended, and its release time passed.
fn check_repetition(violations: &mut Vec<Violation>, at: Micros, call: CallId, attempts: &[Attempt]) {
    let Some(before) = attempts.last() else { return };
    match before.ended {
        // What has not come whole to its exchange is not out.
        None if before.received.is_none() => {}
        None => {
            let what = format!("call {call:016x} is sent again while its attempt at {} is out", before.uid);
            violations.push(violation(Rule::Duplicate, at, what));
        }
        Some(ended) if !before.by_exchange && before.received.is_some() => {
            let span = at.saturating_sub(ended) + RECORDING;
            if span < duration(RELEASE_TIME) {
                let what = format!("call {call:016x} is sent again after {} ms", span / MILLISECOND);
                violations.push(violation(Rule::Release, at, what));
            }
        }
        Some(_) => {}
    }
}

fn check_processes(records: &[Record], violations: &mut Vec<Violation>) {
    for Record { at, event } in records {
        let found = match event {
            Event::Exited { controller, expected: false, status } => {
                Some((Rule::Crash, format!("n{controller} has ended by itself: {status}")))
            }
            Event::OverLimit { controller, what } => Some((Rule::Crash, format!("n{controller}: {what}"))),
            Event::Unreadable { connection, why } => {
                Some((Rule::Lost, format!("connection {connection} brings what can't be read: {why}")))
            }
            Event::BadCaller { what, controller, settled: false, .. } => {
                Some((Rule::BadCaller, format!("n{controller} leaves a bad caller ({what}) without an end")))
            }
            _ => None,
        };
        violations.extend(found.map(|(rule, what)| violation(rule, *at, what)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CALL: CallId = 7;

    fn at(ms: Micros, event: Event) -> Record {
        Record { at: ms * MILLISECOND, event }
    }

    fn sent() -> Event {
        Event::SetUpSent { call: CALL, connection: 1, controller: 0, patience_ms: 1500 }
    }

    fn served(uid: &str) -> [Record; 3] {
        let description = format!("{uid}/{CALL:016x}\r\nc=IN IP4 10.4.7.9\r\n");
        [
            at(0, sent()),
            at(20, Event::AttemptEnded { uid: uid.into(), call: CALL, end: AttemptEnd::Answered }),
            at(21, Event::FinalAnswer { call: CALL, connection: 1, status: 200, description }),
        ]
    }

    fn rules(records: &[Record]) -> Vec<Rule> {
        check_rules(records, 60 * SECOND).violations.into_iter().map(|violation| violation.rule).collect()
    }

    #[test]
    fn a_set_up_without_an_answer_is_lost_unless_it_was_given_up() {
        assert_eq!(rules(&[at(0, sent())]), [Rule::Lost]);
        assert_eq!(rules(&[at(0, sent()), at(100, Event::CancelSent { call: CALL })]), []);
        assert_eq!(
            rules(&[at(0, sent()), at(100, Event::ClosedByController { connection: 1 })]),
            [Rule::Lost]
        );
        assert_eq!(rules(&[at(0, sent()), at(100, Event::Killed { controller: 0 })]), []);
        let restart = [
            at(0, sent()),
            at(0, Event::Terminating { controller: 0 }),
            at(1000, Event::Killed { controller: 0 }),
        ];
        assert_eq!(rules(&restart), [Rule::Lost], "a kill after SIGTERM excuses only what has just come");
    }

    #[test]
    fn a_vanished_exchange_leaves_8_s_and_a_delivered_release_1_s() {
        let told = |ms| at(ms, Event::ReleaseReceivedByCaller { call: CALL, controller: 0 });
        let vanished = at(1000, Event::ExchangeEnded { uid: "s-1".into() });
        let story = |last: Vec<Record>| [served("s-1").to_vec(), last].concat();
        assert_eq!(rules(&story(vec![vanished.clone(), told(8900)])), []);
        assert_eq!(rules(&story(vec![vanished, told(9200)])), [Rule::Lost]);
        let over = at(1000, Event::CallOver { uid: "s-1".into(), call: CALL, by_controller: false });
        let delivered =
            at(1005, Event::ReleaseDelivered { uid: "s-1".into(), call: CALL, controller: 0, link: 1 });
        assert_eq!(rules(&story(vec![over.clone(), delivered.clone(), told(1900)])), []);
        assert_eq!(rules(&story(vec![over, delivered, told(2200)])), [Rule::Lost]);
    }

    #[test]
    fn attempts_that_overlap_come_too_soon_or_go_to_a_drain_are_told_apart() {
        let passed = |ms, uid: &str, link| {
            at(ms, Event::SetUpPassed { uid: uid.into(), call: CALL, controller: 0, link })
        };
        let received = |ms| at(ms, Event::SetUpReceived { uid: "s-1".into(), call: CALL });
        let given_up =
            at(100, Event::ReleasePassed { uid: "s-1".into(), call: CALL, controller: 0, link: 1 });
        assert_eq!(rules(&[passed(0, "s-1", 1), received(1), passed(400, "s-2", 2)]), [Rule::Duplicate]);
        let again = |ms| rules(&[passed(0, "s-1", 1), received(1), given_up.clone(), passed(ms, "s-2", 2)]);
        assert_eq!((again(200), again(320)), (vec![Rule::Release], vec![]));
        let drain = at(0, Event::ListChanged { offset: 1, uid: "s-1".into(), state: "terminating".into() });
        assert_eq!(rules(&[drain.clone(), passed(1900, "s-1", 1)]), []);
        assert_eq!(rules(&[drain.clone(), passed(2200, "s-1", 1)]), [Rule::Drain]);
        let silent = at(0, Event::BusFaultBegan { fault: BusFault::Silent });
        assert_eq!(rules(&[silent.clone(), drain.clone(), passed(5900, "s-1", 1)]), []);
        assert_eq!(rules(&[silent, drain, passed(6200, "s-1", 1)]), [Rule::Drain]);
    }
}
