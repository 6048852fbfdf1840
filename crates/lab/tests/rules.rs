//! The auditor on controllers that do wrong, each rule in turn, and on the same days with honest ones.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall_emulator::{Day, Fault, FaultAt, FaultTarget, Groups, RuleLimits, Traffic};
use mintstall_isup::{Body, Cic, Frame, Message, ProtocolData, Q850};
use mintstall_lab::virtual_day::{self, Interceptor, PassThrough};
use mintstall_lab::{RuleChecker, Verdict};

fn judged(day: &Day, interceptor: &mut dyn Interceptor) -> Verdict {
    assert_eq!(day.validation_errors(), Vec::<String>::new());
    let mut rule_checker = RuleChecker::new(&day.rules, Duration::from_millis(2), Duration::ZERO);
    let played = virtual_day::run(day, &mut rule_checker, interceptor);
    rule_checker.finish(played.ended_at)
}

fn day(exchanges: u16, what: Vec<(f64, f64, Fault)>) -> Day {
    let fault = |(at_s, for_s, what)| FaultAt { at_s, for_s, what };
    Day {
        length_s: 15.0,
        exchanges,
        traffic: Traffic { calls_per_s: 10.0 * f64::from(exchanges), ..Traffic::default() },
        groups: Groups { spare_root: 1.5, ..Groups::default() },
        faults: what.into_iter().map(fault).collect(),
        ..Day::default()
    }
}

fn hang(office: u16) -> (f64, f64, Fault) {
    (4.0, 4.0, Fault::Hang { exchanges: FaultTarget::Listed(vec![office]) })
}

fn replaced(office: u16) -> (f64, f64, Fault) {
    (4.0, 10.0, Fault::Replaced { exchanges: FaultTarget::Listed(vec![office]), drain_s: 8.0 })
}

/// Every breach is of this rule, and there are some.
fn breaks(rule: u8, verdict: &Verdict) {
    assert!(!verdict.passed(), "nothing found: {:?}", verdict.checked);
    let others: Vec<_> = verdict.violations.iter().filter(|violation| violation.rule != rule).collect();
    assert!(others.is_empty(), "{others:?}");
}

fn kept(verdict: &Verdict) {
    assert!(verdict.passed(), "{:#?}", verdict.violations);
}

struct Answers(usize);

impl Interceptor for Answers {
    fn outgoing_octets(&mut self, _: Duration, _: u16, to: u16, octets: Vec<u8>) -> Vec<(u16, Vec<u8>)> {
        vec![(to, octets)]
    }
    fn answer_copies(&mut self, _: Duration, _: u16, call: u64) -> usize {
        if (call >> 8).is_multiple_of(50) { self.0 } else { 1 }
    }
}

#[test]
fn a_second_answer_or_none_breaks_the_first_rule() {
    let day = day(4, vec![]);
    let twice = judged(&day, &mut Answers(2));
    breaks(1, &twice);
    assert!(twice.violations[0].what.contains("a second final answer"), "{}", twice.violations[0]);
    let never = judged(&day, &mut Answers(0));
    breaks(1, &never);
    assert!(never.violations[0].what.contains("never answered"), "{}", never.violations[0]);
    kept(&judged(&day, &mut PassThrough));
}

/// Sends set-ups again, by a rule of its own.
struct Resends {
    at_once: bool,
    /// What it sent on each circuit, as it stood.
    sent: BTreeMap<(u16, u16, u16), Vec<u8>>,
}

fn user(frame: &[u8]) -> Option<ProtocolData<'_>> {
    match Frame::read(frame) {
        Ok(Frame::Data(data)) => Some(data),
        _ => None,
    }
}

/// The same set-up as the next seizure of its call, on the circuit at the other end of the group.
fn again(frame: &[u8]) -> Option<Vec<u8>> {
    let data = user(frame)?;
    let mut message = Message::read(data.user).ok()?;
    let Body::Iam(iam) = &mut message.body else { return None };
    iam.identity.as_mut()?.seizure += 1;
    message.cic = Cic(message.cic.0 ^ 2);
    let (mut octets, mut out) = (Vec::new(), Vec::new());
    message.write(&mut octets);
    Frame::Data(ProtocolData { user: &octets, ..data }).write(&mut out);
    Some(out)
}

impl Interceptor for Resends {
    fn outgoing_octets(&mut self, _: Duration, office: u16, to: u16, octets: Vec<u8>) -> Vec<(u16, Vec<u8>)> {
        let Some(data) = user(&octets) else { return vec![(to, octets)] };
        let Ok(message) = Message::read(data.user) else { return vec![(to, octets)] };
        let circuit = (office, to, message.cic.0);
        match message.body {
            Body::Iam(iam) if iam.identity.is_some_and(|identity| identity.origin == office) => {
                if self.at_once && self.sent.len() == 40 {
                    self.sent.clear();
                    let second = again(&octets);
                    return [Some(octets), second].into_iter().flatten().map(|octets| (to, octets)).collect();
                }
                self.sent.insert(circuit, octets.clone());
                vec![(to, octets)]
            }
            Body::Rel(rel) if !self.at_once && rel.cause.cause == Q850::RecoveryOnTimer => {
                let second = self.sent.remove(&circuit).and_then(|iam| again(&iam));
                [Some(octets), second].into_iter().flatten().map(|octets| (to, octets)).collect()
            }
            _ => vec![(to, octets)],
        }
    }
}

#[test]
fn two_seizures_out_break_the_second_rule() {
    let day = day(4, vec![]);
    let verdict = judged(&day, &mut Resends { at_once: true, sent: BTreeMap::new() });
    let second: Vec<_> = verdict.violations.iter().filter(|violation| violation.rule == 2).collect();
    assert!(
        second.iter().any(|violation| violation.what.contains("while it is out")),
        "{:?}",
        verdict.violations
    );
    kept(&judged(&day, &mut PassThrough));
}

/// Controllers that do not hear the directory, which has spoken to them all the same.
struct Deaf;

impl Interceptor for Deaf {
    fn outgoing_octets(&mut self, _: Duration, _: u16, to: u16, octets: Vec<u8>) -> Vec<(u16, Vec<u8>)> {
        vec![(to, octets)]
    }
    fn delivers_membership(&mut self, _: Duration, _: u16) -> bool {
        false
    }
}

#[test]
fn set_ups_to_a_draining_exchange_break_the_third_rule() {
    let day = day(4, vec![replaced(2)]);
    let verdict = judged(&day, &mut Deaf);
    breaks(3, &verdict);
    assert!(verdict.violations.iter().all(|violation| violation.what.starts_with("a set-up to 2")));
    let honest = judged(&day, &mut PassThrough);
    kept(&honest);
    assert!(honest.checked.drains >= 4);
}

#[test]
fn twelve_controllers_together_break_the_fourth_rule_unless_each_keeps_to_its_share() {
    let restart = Fault::MassRestart { exchanges: FaultTarget::Listed(vec![5]) };
    // Falls over at less than the usual load, so that it is the share that keeps it up.
    let rules =
        RuleLimits { fall_multiple: 0.4, cold_share: 0.3, warm_up_ms: 15_000, ..RuleLimits::default() };
    let day = Day { rules: rules.clone(), length_s: 25.0, ..day(12, vec![(4.0, 1.0, restart)]) };
    // Controllers that were told that it bears anything.
    let careless = Day { rules: RuleLimits { fall_multiple: 50.0, ..rules }, ..day.clone() };
    let mut rule_checker = RuleChecker::new(&day.rules, Duration::from_millis(2), Duration::ZERO);
    let played = virtual_day::run(&careless, &mut rule_checker, &mut PassThrough);
    let verdict = rule_checker.finish(played.ended_at);
    breaks(4, &verdict);
    assert!(verdict.violations.iter().all(|violation| violation.office == 5), "{:?}", verdict.violations);
    let honest = judged(&day, &mut PassThrough);
    kept(&honest);
    // Before they are told all send as usual; after it, their share.
    let (share, all) = (honest.checked.set_ups_at_cold, verdict.checked.set_ups_at_cold);
    assert!(share > 0 && 2 * share < all, "{share} of {all}");
}

#[test]
fn a_set_up_sent_again_at_once_after_a_time_out_breaks_the_fifth_rule() {
    let day = day(4, vec![hang(2)]);
    let verdict = judged(&day, &mut Resends { at_once: false, sent: BTreeMap::new() });
    let fifth: Vec<_> = verdict.violations.iter().filter(|violation| violation.rule == 5).collect();
    assert!(
        fifth.iter().any(|violation| violation.what.contains("200 ms to be awaited")),
        "{:?}",
        verdict.violations
    );
    let honest = judged(&day, &mut PassThrough);
    kept(&honest);
    assert!(honest.checked.releases > 10, "{:?}", honest.checked);
}
