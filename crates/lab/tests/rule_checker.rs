//! The rule checker on days with controllers that violate one of the rules, and on the same days with correct controllers.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall_emulator::{
    Day, Fault, FaultAt, FaultTarget, Groups, Observation, Observer, RuleLimits, Traffic,
};
use mintstall_isup::{
    Body, CallIdentity, CauseIndicators, Cic, Frame, Iam, Location, Message, Number, ProtocolData, Q850, Rel,
};
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

/// What exchange 1 and exchange 2 send each other on one circuit.
struct OneCircuit {
    rule_checker: RuleChecker,
    at: Duration,
}

impl OneCircuit {
    /// A call whose release was sent `releases` times, and completed once.
    fn after_call_with_releases(releases: usize) -> Self {
        let rules = RuleLimits::default();
        let rule_checker = RuleChecker::new(&rules, Duration::ZERO, Duration::ZERO);
        let mut circuit = Self { rule_checker, at: Duration::from_secs(10) };
        circuit.rule_checker.observe(circuit.at, Observation::Started { exchange_number: 1 });
        circuit.send_set_up(1, Cic(1));
        let rel = || Rel::new(CauseIndicators::new(Location::User, Q850::NormalClearing));
        (0..releases).for_each(|_| circuit.send(Cic(1), Body::Rel(rel())));
        circuit.receive_release_complete();
        circuit
    }

    fn send(&mut self, cic: Cic, body: Body) {
        let frame = frame(cic, body);
        let sent = Observation::FrameSent { exchange_number: 1, to: 2, frame: &frame };
        self.rule_checker.observe(self.at, sent);
    }

    fn send_set_up(&mut self, call: u64, cic: Cic) {
        let identity = CallIdentity {
            origin: 1,
            call,
            seizure: 0,
            call_type: 0,
            customer: 0,
            time_left_ms: 3000,
            cut: false,
            redial: false,
        };
        let iam = Iam {
            nature: 0,
            forward: [0x60, 0x01],
            category: 0x0a,
            medium: 0,
            called: Number::empty(),
            calling: None,
            map: None,
            hops: None,
            identity: Some(identity),
            unknown_parameters: Vec::new(),
        };
        self.send(cic, Body::Iam(iam));
    }

    fn receive_release_complete(&mut self) {
        let frame = frame(Cic(1), Body::Rlc { unknown_parameters: Vec::new() });
        let received = Observation::FrameReceived { exchange_number: 1, from: 2, frame: &frame };
        self.rule_checker.observe(self.at, received);
    }

    /// The next call takes the circuit, a release complete comes, and the call is set up again at once on another one.
    fn violations_of_next_call(mut self) -> Vec<String> {
        self.send_set_up(2, Cic(1));
        self.receive_release_complete();
        self.at += Duration::from_millis(10);
        self.send_set_up(2, Cic(3));
        let verdict = self.rule_checker.finish(self.at);
        verdict.violations.iter().map(ToString::to_string).collect()
    }
}

fn frame(cic: Cic, body: Body) -> Vec<u8> {
    let (mut octets, mut out) = (Vec::new(), Vec::new());
    Message::new(cic, body).write(&mut octets);
    let data = ProtocolData { opc: 1, dpc: 2, service: 5, network: 2, priority: 0, sls: 0, user: &octets };
    Frame::Data(data).write(&mut out);
    out
}

#[test]
fn a_release_complete_ends_the_next_call_only_if_no_release_or_reset_was_sent_for_it() {
    let unasked = OneCircuit::after_call_with_releases(1).violations_of_next_call();
    assert!(unasked[0].contains("after a release complete without a release"), "{unasked:?}");
    let repeated = OneCircuit::after_call_with_releases(2).violations_of_next_call();
    assert!(repeated[0].contains("while it is out"), "{repeated:?}");
    let mut link_lost = OneCircuit::after_call_with_releases(2);
    link_lost.rule_checker.observe(link_lost.at, Observation::LinkDown { exchange_number: 1, to: 2 });
    let violations = link_lost.violations_of_next_call();
    assert!(violations[0].contains("after a release complete without a release"), "{violations:?}");
}
