//! Checks the records of a run against the rules of the platform's protocol. No I/O.
//!
//! Every time limit includes the protocol's slack. Rule 4 (overload of a cold exchange) is not checked here: it needs the
//! capacity of processors, which the emulated exchanges do not have.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use mintstall::liveness::FIRST_CONTACT_LEASE;

use crate::controller::{DRAIN_GRACE, RELEASE_TIME};
use crate::exchange::{description as description_of, uid_of};
use crate::record::{AttemptEnd, BusFault, CallId, ConnectionId, ControllerIndex, Event, Micros, Record};

const SECOND: Micros = 1_000_000;
const MILLISECOND: Micros = 1_000;
/// The protocol's slack, added to each time limit.
const SLACK: Micros = 50 * MILLISECOND;
/// An answer after the deadline earns nothing; one that is later than the deadline by more than this counts as lost.
const LATE_ANSWER_LIMIT: Micros = SECOND / 2;
/// Time within which a release that has reached the controller must reach the caller.
const RELEASE_FORWARDING_LIMIT: Micros = SECOND;
/// Time within which the caller must be informed of a call end for which no release could reach the controller.
const CALL_END_LIMIT: Micros = 8 * SECOND;
/// A set-up that was sent at most this long before the close of its connection is not lost. Includes the slack, as all
/// limits do.
const CLOSE_CROSSING_LIMIT: Micros = 50 * MILLISECOND + SLACK;
/// During a fault of the event bus, a change counts as delivered this long after the fault began, or, for `Down`, after
/// it ended.
const DELIVERY_AFTER_BREAK: Micros = 2 * SECOND;
const DELIVERY_AFTER_SILENCE: Micros = 4 * SECOND;
const DELIVERY_AFTER_RETURN: Micros = 6 * SECOND;
/// A change soon after a new configuration counts as delivered this long after the configuration.
const DELIVERY_AFTER_RECONFIGURATION: Micros = 4 * SECOND;
/// Time that a thread of the run may take to write its record.
const MAX_RECORDING_DELAY: Micros = 30 * MILLISECOND;

/// The protocol's rules, and other conditions that a run must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each set-up gets exactly one final answer in time, and each caller is informed of the end of its call in time.
    Lost,
    /// A call never has two open attempts at once.
    Duplicate,
    /// No new set-up goes to an exchange that is draining or gone.
    Drain,
    /// No further attempt of a call is made before the release time has passed.
    Release,
    /// No controller crashes or exceeds a limit.
    Crash,
    /// Bad callers get a refusal, an error or a close in time.
    BadCaller,
}

/// A violation of a rule.
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

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub set_ups: usize,
    pub served: usize,
    pub ended_calls: usize,
}

#[derive(Debug)]
struct SentSetUp {
    at: Micros,
    connection: ConnectionId,
    controller: ControllerIndex,
    expires_after: Micros,
}

#[derive(Debug, Default)]
struct Call {
    sent: Vec<SentSetUp>,
    /// Time, connection, status and description of each final answer.
    answers: Vec<(Micros, ConnectionId, u16, String)>,
    cancelled: Option<Micros>,
    /// The call at each exchange that answered, by uid. Only one of several attempts belongs to the caller.
    answered_by: BTreeMap<String, AnsweredCall>,
    caller_informed: Option<Micros>,
    released_by_caller: Option<Micros>,
    announced: Option<Micros>,
}

/// A call at one exchange that has answered it.
#[derive(Clone, Copy, Debug)]
struct AnsweredCall {
    answered_at: Micros,
    /// When the call ended there, and whether the controller ended it.
    ended: Option<(Micros, bool)>,
    /// When the release of the exchange reached the controller.
    release_delivered: Option<Micros>,
}

/// A period in which a controller did not serve.
#[derive(Debug)]
struct Outage {
    from: Micros,
    until: Micros,
}

/// All that the rules need, collected in one pass over the records.
#[derive(Debug, Default)]
struct RunHistory {
    calls: BTreeMap<CallId, Call>,
    closed_by_controller: BTreeMap<ConnectionId, Micros>,
    closed_by_caller: BTreeMap<ConnectionId, Micros>,
    answered_connections: BTreeSet<ConnectionId>,
    /// When each link between a controller and an exchange was opened.
    links: BTreeMap<ConnectionId, Micros>,
    /// When each controller became ready.
    ready: BTreeMap<ControllerIndex, Vec<Micros>>,
    /// When each exchange ended. A machine may return with the same uid.
    exchange_ended: BTreeMap<String, Vec<Micros>>,
    /// When each controller was sent SIGTERM.
    terminating: BTreeMap<ControllerIndex, Vec<Micros>>,
    /// Each outage of a controller, from its exit or SIGKILL until it is ready again.
    down: BTreeMap<ControllerIndex, Vec<Outage>>,
    killed: BTreeMap<ControllerIndex, Vec<Micros>>,
    reconfigured: BTreeMap<ControllerIndex, Vec<Micros>>,
    /// When each exchange was first listed as terminating or terminated.
    drained: BTreeMap<String, Micros>,
    /// Kind, begin and end of each fault of the event bus.
    bus_faults: Vec<(BusFault, Micros, Micros)>,
    end: Micros,
}

/// Checks a whole run. `end` is the time after the last fault at which the callers were stopped.
pub fn check_rules(records: &[Record], end: Micros) -> Verdict {
    let history = RunHistory::collect(records, end);
    let mut verdict = Verdict::default();
    history.check_answers(&mut verdict);
    history.check_call_ends(&mut verdict);
    check_attempts(records, &history, &mut verdict.violations);
    check_processes(records, &mut verdict.violations);
    verdict.violations.sort_by_key(|violation| (violation.at, violation.rule));
    verdict
}

impl RunHistory {
    fn collect(records: &[Record], end: Micros) -> Self {
        let mut history = Self { end, ..Self::default() };
        for Record { at, event } in records {
            history.add(*at, event);
        }
        history
    }

    fn call(&mut self, call: CallId) -> &mut Call {
        self.calls.entry(call).or_default()
    }

    fn add(&mut self, at: Micros, event: &Event) {
        match event {
            Event::SetUpSent { call, connection, controller, expires_ms } => {
                let expires_after = expires_ms * MILLISECOND;
                let sent = SentSetUp { at, connection: *connection, controller: *controller, expires_after };
                self.call(*call).sent.push(sent);
            }
            Event::FinalAnswer { call, connection, status, description } => {
                self.answered_connections.insert(*connection);
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
                self.call(*call).caller_informed.get_or_insert(at);
            }
            Event::ReleaseSentByCaller { call } => self.call(*call).released_by_caller = Some(at),
            Event::Announced { call, .. } => self.call(*call).announced = Some(at),
            Event::AttemptEnded { uid, call, end: AttemptEnd::Answered } => {
                let answered = AnsweredCall { answered_at: at, ended: None, release_delivered: None };
                self.call(*call).answered_by.insert(uid.clone(), answered);
            }
            Event::CallOver { uid, call, by_controller } => {
                if let Some(answered) = self.call(*call).answered_by.get_mut(uid) {
                    answered.ended.get_or_insert((at, *by_controller));
                }
            }
            Event::LinkOpened { link, .. } => {
                self.links.insert(*link, at);
            }
            Event::ReleaseDelivered { uid, call, controller, link } => {
                // A release on a link to an earlier process of the controller is lost.
                let opened = self.links.get(link).copied().unwrap_or_default();
                let alive = self.next_outage_start(*controller, opened).is_none();
                if let Some(answered) = self.call(*call).answered_by.get_mut(uid).filter(|_| alive) {
                    answered.release_delivered.get_or_insert(at);
                }
            }
            Event::ExchangeEnded { uid } => {
                self.exchange_ended.entry(uid.clone()).or_default().push(at);
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

    /// The first time at or after `from` at which the controller was killed or exited.
    fn next_outage_start(&self, controller: ControllerIndex, from: Micros) -> Option<Micros> {
        self.down.get(&controller)?.iter().map(|outage| outage.from).find(|at| *at >= from)
    }

    /// Whether the controller was down at any time from `from` to `until`.
    fn was_down(&self, controller: ControllerIndex, from: Micros, until: Micros) -> bool {
        let overlaps = |outage: &Outage| outage.from <= until && outage.until >= from;
        self.down.get(&controller).is_some_and(|all| all.iter().any(overlaps))
    }

    /// Whether the controller was killed between `from` and `until` without a SIGTERM since its last start.
    fn killed_without_sigterm(&self, controller: ControllerIndex, from: Micros, until: Micros) -> bool {
        let started = |from: Micros, until: Micros| {
            self.ready.get(&controller).is_some_and(|all| all.iter().any(|at| (from..until).contains(at)))
        };
        let had_sigterm = |kill: Micros| {
            let signals = self.terminating.get(&controller).into_iter().flatten();
            signals.filter(|at| **at <= kill).any(|at| !started(*at, kill))
        };
        let kills = self.killed.get(&controller).into_iter().flatten();
        kills.filter(|kill| (from..=until).contains(*kill)).any(|kill| !had_sigterm(*kill))
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
                let sent_by_exchange = call.answered_by.contains_key(uid).then(|| description_of(uid, *id));
                if sent_by_exchange.as_ref() != Some(description) {
                    let what = format!(
                        "call {id:016x} was answered with {description:?}, but the exchange sent {sent_by_exchange:?}"
                    );
                    verdict.violations.push(violation(Rule::Lost, *at, what));
                }
            }
            let last = call.sent.last().unwrap_or(first);
            let due = last.at + last.expires_after + LATE_ANSWER_LIMIT + SLACK;
            let answered = call.answers.first().map(|(at, ..)| *at);
            if answered.is_some_and(|at| at <= due) || self.needs_no_answer(call, last, due) {
                continue;
            }
            let outcome = answered.map_or("never answered".to_string(), |at| {
                format!("answered {} ms late", (at - due) / MILLISECOND)
            });
            let what = format!(
                "call {id:016x}, sent to n{} on connection {} with a deadline of {} ms, was {outcome}",
                last.controller,
                last.connection,
                last.expires_after / MILLISECOND
            );
            verdict.violations.push(violation(Rule::Lost, last.at, what));
        }
    }

    /// When a set-up ended for its caller, and how. None if it was sent twice: it then ends with the second.
    fn end_for_caller(&self, call: &Call) -> Option<(Micros, &'static str)> {
        let [sent] = &call.sent[..] else { return None };
        let ends = [
            (Some(sent.at + sent.expires_after), "its time was over"),
            (call.cancelled, "cancelled"),
            (call.answers.first().map(|(at, ..)| *at), "answered"),
            (self.closed_by_caller.get(&sent.connection).copied(), "its caller had closed the connection"),
        ];
        ends.into_iter().filter_map(|(at, how)| Some((at?, how))).min()
    }

    /// Whether the call needs no answer by `due`.
    fn needs_no_answer(&self, call: &Call, sent: &SentSetUp, due: Micros) -> bool {
        let given_up = call.cancelled.is_some_and(|at| at <= due);
        let caller_closed = self.closed_by_caller.get(&sent.connection).is_some_and(|at| *at <= due);
        if given_up || caller_closed || due > self.end {
            return true;
        }
        // The caller sends a set-up again that crosses the close of a connection on which answers had arrived.
        let closed = self.closed_by_controller.get(&sent.connection);
        let crossed = closed.is_some_and(|closed| sent.at + CLOSE_CROSSING_LIMIT >= *closed);
        if crossed && self.answered_connections.contains(&sent.connection) {
            return true;
        }
        // A set-up whose last octet was written after the end of the process was never received.
        if closed.is_some_and(|closed| sent.at >= *closed && self.was_down(sent.controller, *closed, *closed))
        {
            return true;
        }
        // A kill excuses the set-ups that arrived just before it. A kill without SIGTERM excuses all open set-ups.
        let Some(kill) = self.next_outage_start(sent.controller, sent.at).filter(|at| *at <= due) else {
            return false;
        };
        self.killed_without_sigterm(sent.controller, kill, kill) || sent.at + CLOSE_CROSSING_LIMIT >= kill
    }

    fn check_call_ends(&self, verdict: &mut Verdict) {
        for (id, call) in &self.calls {
            let served = call.answers.first().filter(|(_, _, status, _)| *status == 200);
            let (Some((.., description)), Some(sent)) = (served, call.sent.last()) else { continue };
            let uid = uid_of(description);
            let Some(answered) = call.answered_by.get(uid) else { continue };
            let mut exchange_ends = self.exchange_ended.get(uid).into_iter().flatten().copied();
            let exchange_ended = exchange_ends.find(|at| *at >= answered.answered_at);
            let (ended_at, by_controller) = match (answered.ended, exchange_ended) {
                (Some(ended), Some(exchange_ended)) if ended.0 > exchange_ended => (exchange_ended, false),
                (Some(ended), _) => ended,
                (None, Some(exchange_ended)) => (exchange_ended, false),
                (None, None) => continue,
            };
            verdict.ended_calls += 1;
            if call.released_by_caller.is_some_and(|at| at <= ended_at + CALL_END_LIMIT) {
                continue;
            }
            let due = self.end_due(call, answered, sent.controller, ended_at, by_controller);
            if due > self.end || call.caller_informed.is_some_and(|at| at <= due) {
                continue;
            }
            let outcome = call.caller_informed.map_or("never informed".to_string(), |at| {
                format!("informed {} ms after its end", at.saturating_sub(ended_at) / MILLISECOND)
            });
            let what = format!(
                "call {id:016x} of n{} at {uid} has ended, and its caller was {outcome}",
                sent.controller
            );
            verdict.violations.push(violation(Rule::Lost, ended_at, what));
        }
    }

    /// The time by which the caller must be informed of the end of its call.
    fn end_due(
        &self,
        call: &Call,
        answered: &AnsweredCall,
        controller: ControllerIndex,
        ended_at: Micros,
        by_controller: bool,
    ) -> Micros {
        let without_release = ended_at + CALL_END_LIMIT + SLACK + MAX_RECORDING_DELAY;
        let after_release = |from: Micros| from + RELEASE_FORWARDING_LIMIT + SLACK + MAX_RECORDING_DELAY;
        let due = match answered.release_delivered {
            _ if by_controller => after_release(ended_at),
            Some(delivered) if delivered >= ended_at => after_release(delivered).min(without_release),
            _ => without_release,
        };
        if !self.was_down(controller, ended_at, due) {
            return due;
        }
        // After a restart the controller learns of the call from the caller's announcement.
        let announced = call.announced.filter(|at| *at > ended_at).unwrap_or(ended_at);
        let due = without_release.max(after_release(announced));
        if self.killed_without_sigterm(controller, ended_at, due) {
            // The new process doesn't know how long the exchange has been silent, so the first contact lease starts anew.
            return due.max(announced + micros(FIRST_CONTACT_LEASE) + RELEASE_FORWARDING_LIMIT);
        }
        due
    }

    /// The time from which a change that was listed at `at` counts as delivered to a controller.
    fn delivery_time(&self, controller: ControllerIndex, at: Micros) -> Micros {
        let after_faults = self.bus_faults.iter().filter_map(|(fault, from, until)| match fault {
            BusFault::Break if (*from..*from + DELIVERY_AFTER_BREAK).contains(&at) => {
                Some(from + DELIVERY_AFTER_BREAK)
            }
            BusFault::Silent | BusFault::Slow if (*from..*from + DELIVERY_AFTER_SILENCE).contains(&at) => {
                Some(from + DELIVERY_AFTER_SILENCE)
            }
            BusFault::Down if *from <= at && at < until.saturating_add(DELIVERY_AFTER_RETURN) => {
                Some(until.saturating_add(DELIVERY_AFTER_RETURN))
            }
            _ => None,
        });
        let reconfigurations = self.reconfigured.get(&controller).into_iter().flatten();
        let after_reconfiguration = reconfigurations
            .filter(|reconfigured_at| {
                (**reconfigured_at..**reconfigured_at + DELIVERY_AFTER_RECONFIGURATION).contains(&at)
            })
            .map(|reconfigured_at| reconfigured_at + DELIVERY_AFTER_RECONFIGURATION);
        after_faults.chain(after_reconfiguration).max().unwrap_or(at)
    }
}

fn micros(duration: std::time::Duration) -> Micros {
    duration.as_micros() as Micros
}

fn violation(rule: Rule, at: Micros, what: String) -> Violation {
    Violation { rule, at, what }
}

/// An attempt of a call, from the records of proxies and exchanges.
#[derive(Debug)]
struct Attempt {
    uid: String,
    link: ConnectionId,
    /// When the exchange received the complete set-up.
    received: Option<Micros>,
    /// When the exchange answered or refused it, it was given up, or its link was closed.
    ended: Option<Micros>,
    /// Whether the exchange ended the attempt with an answer or a refusal. The release time doesn't apply then.
    ended_by_exchange: bool,
}

/// Checks rules 2, 3 and 5, from the messages between controllers and exchanges.
fn check_attempts(records: &[Record], history: &RunHistory, violations: &mut Vec<Violation>) {
    let mut calls: BTreeMap<CallId, Vec<Attempt>> = BTreeMap::new();
    for Record { at, event } in records {
        match event {
            Event::SetUpPassed { arrived_after, uid, call, controller, link } => {
                check_drain(history, violations, *at, *controller, uid, *call);
                check_not_ended(history, violations, *arrived_after, uid, *call);
                let attempts = calls.entry(*call).or_default();
                check_repetition(violations, *at, *call, attempts);
                let attempt = Attempt {
                    uid: uid.clone(),
                    link: *link,
                    received: None,
                    ended: None,
                    ended_by_exchange: false,
                };
                attempts.push(attempt);
            }
            Event::SetUpReceived { uid, call } => {
                if let Some(attempt) = latest_attempt(&mut calls, *call, uid) {
                    attempt.received = Some(*at);
                }
            }
            Event::AttemptEnded { uid, call, end } => {
                if let Some(attempt) =
                    latest_attempt(&mut calls, *call, uid).filter(|attempt| attempt.ended.is_none())
                {
                    attempt.ended = Some(*at);
                    attempt.ended_by_exchange = matches!(end, AttemptEnd::Answered | AttemptEnd::Refused);
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

fn latest_attempt<'a>(
    calls: &'a mut BTreeMap<CallId, Vec<Attempt>>,
    call: CallId,
    uid: &str,
) -> Option<&'a mut Attempt> {
    calls.get_mut(&call)?.iter_mut().rev().find(|attempt| attempt.uid == uid)
}

fn check_drain(
    history: &RunHistory,
    violations: &mut Vec<Violation>,
    at: Micros,
    controller: ControllerIndex,
    uid: &str,
    call: CallId,
) {
    let Some(drained) = history.drained.get(uid) else { return };
    let delivered = history.delivery_time(controller, *drained);
    if at > delivered.saturating_add(micros(DRAIN_GRACE) + SLACK + MAX_RECORDING_DELAY) {
        let what = format!(
            "call {call:016x} is sent by n{controller} to {uid}, {} ms after the drain counts as delivered",
            (at - delivered) / MILLISECOND
        );
        violations.push(violation(Rule::Drain, at, what));
    }
}

/// Checks that a set-up is not sent on after it has ended for its caller.
fn check_not_ended(
    history: &RunHistory,
    violations: &mut Vec<Violation>,
    at: Micros,
    uid: &str,
    call: CallId,
) {
    let Some((ended, how)) = history.calls.get(&call).and_then(|known| history.end_for_caller(known)) else {
        return;
    };
    if at > ended + SLACK {
        let late_ms = (at - ended) / MILLISECOND;
        let what = format!("call {call:016x} is sent to {uid} {late_ms} ms after its end: {how}");
        violations.push(violation(Rule::Lost, at, what));
    }
}

/// Checks a further attempt of a call: the previous attempt must have ended and its release time must have passed.
fn check_repetition(violations: &mut Vec<Violation>, at: Micros, call: CallId, attempts: &[Attempt]) {
    let Some(previous) = attempts.last() else { return };
    match previous.ended {
        // An attempt that its exchange has not received completely is not open.
        None if previous.received.is_none() => {}
        None => {
            let what =
                format!("call {call:016x} is sent again while its attempt at {} is open", previous.uid);
            violations.push(violation(Rule::Duplicate, at, what));
        }
        Some(ended) if !previous.ended_by_exchange && previous.received.is_some() => {
            let span = at.saturating_sub(ended) + MAX_RECORDING_DELAY;
            if span < micros(RELEASE_TIME) {
                let what = format!(
                    "call {call:016x} is sent again {} ms after the end of its previous attempt",
                    span / MILLISECOND
                );
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
                Some((Rule::Crash, format!("n{controller} has exited by itself: {status}")))
            }
            Event::OverLimit { controller, what } => Some((Rule::Crash, format!("n{controller}: {what}"))),
            Event::Unreadable { connection, why } => {
                Some((Rule::Lost, format!("a message on connection {connection} can't be decoded: {why}")))
            }
            Event::BadCaller { what, controller, settled: false, .. } => Some((
                Rule::BadCaller,
                format!("n{controller} has not answered or closed a bad caller ({what}) in time"),
            )),
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
        Event::SetUpSent { call: CALL, connection: 1, controller: 0, expires_ms: 1500 }
    }

    fn passed_at(ms: Micros, uid: &str, link: ConnectionId) -> Record {
        let arrived_after = ms * MILLISECOND;
        at(ms, Event::SetUpPassed { arrived_after, uid: uid.into(), call: CALL, controller: 0, link })
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
        assert_eq!(
            rules(&restart),
            [Rule::Lost],
            "a kill after SIGTERM excuses only set-ups that have just arrived"
        );
    }

    #[test]
    fn callers_must_be_informed_within_8_s_of_an_exchange_loss_and_1_s_of_a_delivered_release() {
        let informed = |ms| at(ms, Event::ReleaseReceivedByCaller { call: CALL, controller: 0 });
        let exchange_ended = at(1000, Event::ExchangeEnded { uid: "s-1".into() });
        let records_with = |later: Vec<Record>| [served("s-1").to_vec(), later].concat();
        assert_eq!(rules(&records_with(vec![exchange_ended.clone(), informed(8900)])), []);
        assert_eq!(rules(&records_with(vec![exchange_ended, informed(9200)])), [Rule::Lost]);
        let call_ended = at(1000, Event::CallOver { uid: "s-1".into(), call: CALL, by_controller: false });
        let delivered =
            at(1005, Event::ReleaseDelivered { uid: "s-1".into(), call: CALL, controller: 0, link: 1 });
        assert_eq!(rules(&records_with(vec![call_ended.clone(), delivered.clone(), informed(1900)])), []);
        assert_eq!(rules(&records_with(vec![call_ended, delivered, informed(2200)])), [Rule::Lost]);
    }

    #[test]
    fn set_ups_must_not_be_sent_on_after_they_have_ended_for_their_caller() {
        let passed = |ms| passed_at(ms, "s-1", 1);
        let answered =
            Event::FinalAnswer { call: CALL, connection: 1, status: 503, description: String::new() };
        let rules_after = |ended: Event, ms| rules(&[at(0, sent()), at(100, ended), passed(ms)]);
        for ended in
            [Event::CancelSent { call: CALL }, Event::ClosedByCaller { connection: 1 }, answered.clone()]
        {
            assert_eq!(rules_after(ended.clone(), 150), [], "{ended:?}");
            assert_eq!(rules_after(ended.clone(), 151), [Rule::Lost], "{ended:?}");
        }
        let late_answer = at(1600, answered);
        assert_eq!(rules(&[at(0, sent()), passed(1550), late_answer.clone()]), []);
        assert_eq!(rules(&[at(0, sent()), passed(1551), late_answer]), [Rule::Lost], "its time was over");
    }

    #[test]
    fn attempts_that_overlap_come_too_early_or_go_to_a_draining_exchange_break_different_rules() {
        let passed = |ms, uid: &str, link| passed_at(ms, uid, link);
        let received = |ms| at(ms, Event::SetUpReceived { uid: "s-1".into(), call: CALL });
        let released =
            at(100, Event::ReleasePassed { uid: "s-1".into(), call: CALL, controller: 0, link: 1 });
        assert_eq!(rules(&[passed(0, "s-1", 1), received(1), passed(400, "s-2", 2)]), [Rule::Duplicate]);
        let again = |ms| rules(&[passed(0, "s-1", 1), received(1), released.clone(), passed(ms, "s-2", 2)]);
        assert_eq!((again(200), again(320)), (vec![Rule::Release], vec![]));
        let drain = at(0, Event::ListChanged { offset: 1, uid: "s-1".into(), state: "terminating".into() });
        assert_eq!(rules(&[drain.clone(), passed(1900, "s-1", 1)]), []);
        assert_eq!(rules(&[drain.clone(), passed(2200, "s-1", 1)]), [Rule::Drain]);
        let silent = at(0, Event::BusFaultBegan { fault: BusFault::Silent });
        assert_eq!(rules(&[silent.clone(), drain.clone(), passed(5900, "s-1", 1)]), []);
        assert_eq!(rules(&[silent, drain, passed(6200, "s-1", 1)]), [Rule::Drain]);
    }
}
