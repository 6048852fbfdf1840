//! Days in virtual time: the rules hold under all faults, and the same seed gives the same octets.

use std::time::Duration;

use mintstall_emulator::*;
use mintstall_lab::RuleChecker;
use mintstall_lab::pcap::SignallingCapture;
use mintstall_lab::virtual_day::{self, DayResult, PassThrough};
use mintstall_lab::{Report, Verdict};

fn run(day: &Day) -> (DayResult, Verdict) {
    assert_eq!(day.validation_errors(), Vec::<String>::new());
    let mut rule_checker = RuleChecker::new(&day.rules, Duration::from_millis(2), Duration::ZERO);
    let result = virtual_day::run(day, &mut rule_checker, &mut PassThrough);
    let verdict = rule_checker.finish(result.ended_at);
    (result, verdict)
}

fn share_of_exchanges(share: f64) -> FaultTarget {
    FaultTarget::Share { share }
}

/// Every kind of fault; some overlap.
fn all_faults() -> Vec<FaultAt> {
    let faults = [
        (2.0, 3.0, Fault::Slow { exchanges: share_of_exchanges(0.2), factor: 3.0 }),
        (3.0, 2.0, Fault::ControllersKilled { exchanges: share_of_exchanges(0.3) }),
        (4.0, 2.0, Fault::LinkBreaks { between: [1, 2] }),
        (5.0, 4.0, Fault::Replaced { exchanges: share_of_exchanges(0.1), drain_s: 3.0 }),
        (6.0, 2.0, Fault::Hang { exchanges: share_of_exchanges(0.15) }),
        (6.0, 4.0, Fault::DirectoryLate { by_ms: 3000.0 }),
        (7.0, 3.0, Fault::Burst { factor: 1.5 }),
        (8.0, 3.0, Fault::CircuitsLost { region: 0, keep: 0.4 }),
        (9.0, 2.0, Fault::RegionCut { region: 1 }),
        (10.0, 3.0, Fault::Crowd { exchange: 3, number: 5_550_000, lines: 2, share: 0.2 }),
        (11.0, 2.0, Fault::Ageing { exchanges: share_of_exchanges(0.2), factor: 4.0 }),
        (11.0, 4.0, Fault::MessagesLost { share: 0.5 }),
        (12.0, 1.0, Fault::MassCut { share: 0.3 }),
        (12.0, 2.0, Fault::MassRestart { exchanges: share_of_exchanges(0.2) }),
        (13.0, 2.0, Fault::RedialAtOnce),
    ];
    faults.into_iter().map(|(at_s, for_s, what)| FaultAt { at_s, for_s, what }).collect()
}

fn day_with_all_faults(exchanges: u16, seed: u64) -> Day {
    Day {
        seed,
        length_s: 15.0,
        exchanges,
        regions: vec!["a".into(), "b".into(), "c".into()],
        speeds: vec![1.0, 0.8, 1.2],
        call_types: vec![
            CallTypePlan { share: 0.9, ..CallTypePlan::default() },
            CallTypePlan {
                name: "wide".into(),
                share: 0.1,
                width: 3,
                revenue: 3.0,
                ..CallTypePlan::default()
            },
        ],
        traffic: Traffic { calls_per_s: 9.0 * f64::from(exchanges), ..Traffic::default() },
        processor: ProcessorPlan {
            reports: Reports::Rate,
            answers_first: seed.is_multiple_of(2),
            ..ProcessorPlan::default()
        },
        groups: Groups { unlinked: 0.1, ..Groups::default() },
        advice: seed.is_multiple_of(3),
        messages: true,
        faults: all_faults(),
        ..Day::default()
    }
}

#[test]
fn forty_exchanges_keep_the_rules_under_all_faults_with_twenty_seeds() {
    for seed in 1..=20 {
        let day = day_with_all_faults(40, seed);
        let (result, verdict) = run(&day);
        let violations: Vec<_> = verdict.violations.iter().map(ToString::to_string).collect();
        assert!(verdict.passed(), "seed {seed}: {violations:#?}");
        let checked = verdict.checked;
        let counts = [
            checked.calls,
            checked.seizures,
            checked.calls_in_transit,
            checked.drains,
            checked.cold_starts,
            checked.releases,
        ];
        assert!(
            counts.iter().all(|count| *count > 0) && checked.calls_exempt > 0,
            "seed {seed}: some cases did not occur: {checked:?}"
        );
        assert_eq!(result.inconsistencies, Vec::<String>::new(), "seed {seed}");
        assert_eq!(
            (result.stuck_circuits, result.calls_left),
            (0, 0),
            "seed {seed}: circuits or calls are left over"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_capture_and_another_seed_does_not() {
    let capture = |seed| {
        let mut capture = SignallingCapture::new(Vec::new()).unwrap();
        virtual_day::run(&day_with_all_faults(8, seed), &mut capture, &mut PassThrough);
        capture.finish().unwrap()
    };
    let (first, second, other) = (capture(4), capture(4), capture(5));
    assert!(first.len() > 50_000, "{} octets", first.len());
    assert_eq!(&first[..4], &[0xa1, 0xb2, 0xc3, 0xd4], "magic number of a big-endian pcap file");
    assert!(first == second && first != other);
}

#[test]
fn a_quiet_day_serves_nearly_every_call() {
    let day = Day { traffic: Traffic { load: 0.6, ..Traffic::default() }, ..Day::default() };
    let (result, verdict) = run(&day);
    let report = Report::new(&day, "virtual", result.score, verdict, &result.counters);
    assert!(report.passed && report.service > 0.99, "{}", report.text(&day));
}

#[test]
fn the_bad_day_script_keeps_the_rules() {
    let text = include_str!("../../../days/bad-day.json");
    let day: Day = serde_json::from_str(text).unwrap();
    let (result, verdict) = run(&day);
    assert!(verdict.passed(), "{:#?}", verdict.violations);
    assert!(day.exchanges >= 6 && day.regions.len() == 3 && day.faults.len() >= 5);
    assert!(result.score.whole.share() > 0.5 && result.score.whole.share() < 1.0);
}

#[test]
fn every_error_in_a_script_is_reported_with_its_path() {
    let mut day = day_with_all_faults(4, 1);
    day.length_s = 0.0;
    day.call_types[1].width = 40;
    day.faults.truncate(1);
    day.faults[0].what = Fault::Slow { exchanges: FaultTarget::Listed(vec![9]), factor: 0.1 };
    let errors = day.validation_errors();
    let paths: Vec<_> = errors.iter().map(|error| error.split(": ").next().unwrap()).collect();
    let expected = [
        "length_s",
        "call_types[1].width",
        "faults[0].at_s",
        "faults[0].what.exchanges",
        "faults[0].what.factor",
    ];
    assert_eq!(paths, expected);
}
