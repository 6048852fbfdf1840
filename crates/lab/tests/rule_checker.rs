//! The rule checker on days with controllers that violate one of the rules, and on the same days with correct controllers.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall_emulator::{Day, Fault, FaultAt, FaultTarget, Groups, RuleLimits, Traffic};
use mintstall_isup::{Body, Cic, Frame, Message, ProtocolData, Q850};
use mintstall_lab::virtual_day::{self, Interceptor, PassThrough};
use mintstall_lab::{RuleChecker, Verdict};

/// Runs the day and returns the rule checker's verdict.
fn checked(day: &Day, interceptor: &mut dyn Interceptor) -> Verdict {
    assert_eq!(day.validation_errors(), Vec::<String>::new());
    let mut rule_checker = RuleChecker::new(&day.rules, Duration::from_millis(2), Duration::ZERO);
    let result = virtual_day::run(day, &mut rule_checker, interceptor);
    rule_checker.finish(result.ended_at)
}

fn day(exchanges: u16, faults: Vec<(f64, f64, Fault)>) -> Day {
    let fault = |(at_s, for_s, what)| FaultAt { at_s, for_s, what };
    Day {
        length_s: 15.0,
        exchanges,
        traffic: Traffic { calls_per_s: 10.0 * f64::from(exchanges), ..Traffic::default() },
        groups: Groups { spare_root: 1.5, ..Groups::default() },
        faults: faults.into_iter().map(fault).collect(),
        ..Day::default()
    }
}

fn hang(exchange: u16) -> (f64, f64, Fault) {
    (4.0, 4.0, Fault::Hang { exchanges: FaultTarget::Listed(vec![exchange]) })
}

fn replaced(exchange: u16) -> (f64, f64, Fault) {
    (4.0, 10.0, Fault::Replaced { exchanges: FaultTarget::Listed(vec![exchange]), drain_s: 8.0 })
}

/// Asserts that there are violations and that all are of this rule.
fn assert_violates_only(rule: u8, verdict: &Verdict) {
    assert!(!verdict.passed(), "no violation found: {:?}", verdict.checked);
    let others: Vec<_> = verdict.violations.iter().filter(|violation| violation.rule != rule).collect();
    assert!(others.is_empty(), "{others:?}");
}

fn assert_passed(verdict: &Verdict) {
    assert!(verdict.passed(), "{:#?}", verdict.violations);
}

/// Passes the final answer of one call in 50 on this many times, that of the others once.
struct RepeatAnswers(usize);

impl Interceptor for RepeatAnswers {
    fn outgoing_octets(&mut self, _: Duration, _: u16, to: u16, octets: Vec<u8>) -> Vec<(u16, Vec<u8>)> {
        vec![(to, octets)]
    }
    fn answer_copies(&mut self, _: Duration, _: u16, call: u64) -> usize {
        if (call >> 8).is_multiple_of(50) { self.0 } else { 1 }
    }
}

#[test]
fn a_second_answer_or_none_violates_rule_1() {
    let day = day(4, vec![]);
    let twice = checked(&day, &mut RepeatAnswers(2));
    assert_violates_only(1, &twice);
    assert!(twice.violations[0].what.contains("a second final answer"), "{}", twice.violations[0]);
    let missing = checked(&day, &mut RepeatAnswers(0));
    assert_violates_only(1, &missing);
    assert!(missing.violations[0].what.contains("never answered"), "{}", missing.violations[0]);
    assert_passed(&checked(&day, &mut PassThrough));
}

/// Sends a second set-up for some of an exchange's own calls. With `at_once` it directly follows a set-up, each time set-ups
/// have been sent on 40 circuits; otherwise it directly follows the release of a seizure that timed out.
struct ExtraSetUps {
    at_once: bool,
    /// The set-up sent last on each circuit, by exchange, destination and CIC.
    sent: BTreeMap<(u16, u16, u16), Vec<u8>>,
}

fn protocol_data(frame: &[u8]) -> Option<ProtocolData<'_>> {
    match Frame::read(frame) {
        Ok(Frame::Data(data)) => Some(data),
        _ => None,
    }
}

/// The set-up as the next seizure of the same call, on another circuit of the group: its CIC differs in bit 1.
fn next_seizure(frame: &[u8]) -> Option<Vec<u8>> {
    let data = protocol_data(frame)?;
    let mut message = Message::read(data.user).ok()?;
    let Body::Iam(iam) = &mut message.body else { return None };
    iam.identity.as_mut()?.seizure += 1;
    message.cic = Cic(message.cic.0 ^ 2);
    let (mut octets, mut out) = (Vec::new(), Vec::new());
    message.write(&mut octets);
    Frame::Data(ProtocolData { user: &octets, ..data }).write(&mut out);
    Some(out)
}

impl Interceptor for ExtraSetUps {
    fn outgoing_octets(
        &mut self,
        _: Duration,
        exchange: u16,
        to: u16,
        octets: Vec<u8>,
    ) -> Vec<(u16, Vec<u8>)> {
        let Some(data) = protocol_data(&octets) else { return vec![(to, octets)] };
        let Ok(message) = Message::read(data.user) else { return vec![(to, octets)] };
        let circuit = (exchange, to, message.cic.0);
        match message.body {
            Body::Iam(iam) if iam.identity.is_some_and(|identity| identity.origin == exchange) => {
                if self.at_once && self.sent.len() == 40 {
                    self.sent.clear();
                    let second = next_seizure(&octets);
                    return [Some(octets), second].into_iter().flatten().map(|octets| (to, octets)).collect();
                }
                self.sent.insert(circuit, octets.clone());
                vec![(to, octets)]
            }
            Body::Rel(rel) if !self.at_once && rel.cause.cause == Q850::RecoveryOnTimer => {
                let second = self.sent.remove(&circuit).and_then(|iam| next_seizure(&iam));
                [Some(octets), second].into_iter().flatten().map(|octets| (to, octets)).collect()
            }
            _ => vec![(to, octets)],
        }
    }
}

#[test]
fn two_open_seizures_violate_rule_2() {
    let day = day(4, vec![]);
    let verdict = checked(&day, &mut ExtraSetUps { at_once: true, sent: BTreeMap::new() });
    let of_rule_2: Vec<_> = verdict.violations.iter().filter(|violation| violation.rule == 2).collect();
    assert!(
        of_rule_2.iter().any(|violation| violation.what.contains("while it is out")),
        "{:?}",
        verdict.violations
    );
    assert_passed(&checked(&day, &mut PassThrough));
}

/// Drops all membership updates before they reach a controller; the rule checker sees them as sent.
struct DropMembership;

impl Interceptor for DropMembership {
    fn outgoing_octets(&mut self, _: Duration, _: u16, to: u16, octets: Vec<u8>) -> Vec<(u16, Vec<u8>)> {
        vec![(to, octets)]
    }
    fn delivers_membership(&mut self, _: Duration, _: u16) -> bool {
        false
    }
}

#[test]
fn set_ups_to_a_draining_exchange_violate_rule_3() {
    let day = day(4, vec![replaced(2)]);
    let verdict = checked(&day, &mut DropMembership);
    assert_violates_only(3, &verdict);
    assert!(verdict.violations.iter().all(|violation| violation.what.starts_with("a set-up to 2")));
    let correct = checked(&day, &mut PassThrough);
    assert_passed(&correct);
    assert!(correct.checked.drains >= 4);
}

#[test]
fn twelve_controllers_together_violate_rule_4_unless_each_keeps_to_its_share() {
    let restart = Fault::MassRestart { exchanges: FaultTarget::Listed(vec![5]) };
    // The exchange counts as overloaded below its usual load already, so that only the controllers' shares protect it.
    let rules =
        RuleLimits { fall_multiple: 0.4, cold_share: 0.3, warm_up_ms: 15_000, ..RuleLimits::default() };
    let day = Day { rules: rules.clone(), length_s: 25.0, ..day(12, vec![(4.0, 1.0, restart)]) };
    // These controllers are configured with a limit so high that it never applies.
    let unlimited = Day { rules: RuleLimits { fall_multiple: 50.0, ..rules }, ..day.clone() };
    let mut rule_checker = RuleChecker::new(&day.rules, Duration::from_millis(2), Duration::ZERO);
    let result = virtual_day::run(&unlimited, &mut rule_checker, &mut PassThrough);
    let verdict = rule_checker.finish(result.ended_at);
    assert_violates_only(4, &verdict);
    assert!(
        verdict.violations.iter().all(|violation| violation.exchange_number == 5),
        "{:?}",
        verdict.violations
    );
    let correct = checked(&day, &mut PassThrough);
    assert_passed(&correct);
    // Until the controllers are told of the restart they send as usual; afterwards each sends its share.
    let (limited, all) = (correct.checked.set_ups_at_cold, verdict.checked.set_ups_at_cold);
    assert!(limited > 0 && 2 * limited < all, "{limited} set-ups, {all} without the limit");
}

#[test]
fn a_set_up_sent_at_once_after_a_time_out_violates_rule_5() {
    let day = day(4, vec![hang(2)]);
    let verdict = checked(&day, &mut ExtraSetUps { at_once: false, sent: BTreeMap::new() });
    let of_rule_5: Vec<_> = verdict.violations.iter().filter(|violation| violation.rule == 5).collect();
    assert!(
        of_rule_5.iter().any(|violation| violation.what.contains("200 ms to be awaited")),
        "{:?}",
        verdict.violations
    );
    let correct = checked(&day, &mut PassThrough);
    assert_passed(&correct);
    assert!(correct.checked.releases > 10, "{:?}", correct.checked);
}
