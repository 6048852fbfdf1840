//! Tests of the controller's decisions: one for each rule, and one for each failure that once occurred.

mod common;

use std::time::Duration;

use common::{Action::*, Harness, default_config, entry, ms};
use mintstall::interface::{
    CallType, Cause, ControllerConfig, DialledNumber, ExchangeEntry, ExchangeId, ExchangeNumber,
    ExchangeStatus, RepeatPolicy,
};

#[test]
fn direct_route_comes_first_then_the_tandem_with_most_free_circuits() {
    let mut harness = Harness::new(&default_config(), 9.0);
    harness.report_free(3, 12.0);
    harness.offer(1, 1);
    harness.report_free(1, 0.0);
    harness.offer(2, 1);
    assert_eq!(harness.take_actions(), [Seized(1, 1), Seized(2, 3)]);
}

#[test]
fn initial_credit_pays_for_two_retries_and_no_more() {
    let mut harness = Harness::new(&default_config(), 9.0);
    for call in 1..=3 {
        harness.offer(call, 2);
        harness.end_seizure(call, 0, 2, Cause::Unreachable);
        harness.advance(ms(4000));
        harness.answer(call, 1, 2, ms(10));
    }
    let actions = harness.take_actions();
    assert_eq!(actions.iter().filter(|action| matches!(action, Seized(..))).count(), 5);
    assert_eq!(actions.last(), Some(&Rejected(3)));
}

#[test]
fn late_redials_earn_no_retry_credit() {
    let mut harness = Harness::new(&default_config(), 99.0);
    harness.offer_with(0, 1, |offer| offer.dialled = DialledNumber(7));
    harness.advance(ms(2100));
    harness.withdraw(0);
    for call in 1..40 {
        harness.offer_with(call, 1, |offer| offer.dialled = DialledNumber(7));
        harness.answer(call, 0, 1, ms(10));
    }
    harness.take_actions();
    for call in 100..103 {
        harness.offer(call, 2 + call as u16 % 2);
        harness.end_seizure(call, 0, 2 + call as u32 % 2, Cause::Unreachable);
    }
    let retries = 3 - harness.take_actions().iter().filter(|action| matches!(action, Rejected(_))).count();
    assert_eq!(retries, 2, "only the initial credit");
}

#[test]
fn requested_wait_is_kept_or_the_call_is_rejected_at_once() {
    let mut harness = Harness::new(&default_config(), 9.0);
    harness.offer(1, 1);
    harness.end_seizure(1, 0, 1, Cause::ProcessorFull { wait: ms(900) });
    harness.take_actions();
    harness.advance(ms(899));
    assert_eq!(harness.take_actions(), []);
    // The jitter of less than 100 ms is added.
    harness.advance(ms(101));
    assert_eq!(harness.take_actions(), [Seized(1, 1)]);
    harness.offer(2, 2);
    harness.end_seizure(2, 0, 2, Cause::ProcessorFull { wait: ms(2950) });
    assert_eq!(harness.take_actions(), [Seized(2, 2), Rejected(2)], "the wait is longer than the time left");
}

#[test]
fn retry_after_a_time_out_waits_for_the_release() {
    let mut harness = Harness::new(&default_config(), 9.0);
    harness.offer(1, 1);
    harness.advance(ms(500));
    harness.end_seizure(1, 0, 1, Cause::TimedOut);
    harness.take_actions();
    harness.advance(ms(299));
    assert_eq!(harness.take_actions(), []);
    harness.advance(ms(1000));
    assert_eq!(harness.take_actions()[0], Seized(1, 1));
}

#[test]
fn every_wait_ends_with_a_seizure_or_a_final_answer() {
    // A wait that was not a multiple of the clock's resolution was not over when its timer expired, and the call
    // got no answer.
    for offset in 0..50 {
        let mut harness = Harness::new(&default_config(), 9.0);
        harness.advance(Duration::from_micros(offset * 7));
        harness.offer(1, 1);
        harness.end_seizure(1, 0, 1, Cause::Unreachable);
        harness.advance(ms(2900));
        assert_eq!(harness.take_actions().len(), 2, "seized twice");
    }
    let mut config = default_config();
    config.call_types[0].setup_target = Duration::from_nanos(1_333_333_331);
    let mut harness = Harness::new(&config, 0.0);
    harness.offer(1, 1);
    harness.advance(ms(2900));
    assert_eq!(harness.take_actions(), [Rejected(1)], "queued no longer than half its setup target");
}

#[test]
fn call_without_a_route_is_queued_for_a_time_and_then_rejected() {
    let mut harness = Harness::new(&default_config(), 0.0);
    harness.offer(1, 1);
    harness.offer(2, 1);
    assert_eq!(harness.take_actions(), []);
    harness.advance(ms(400));
    harness.report_free(1, 2.0);
    assert_eq!(harness.take_actions(), [Seized(1, 1)]);
    harness.advance(ms(2000));
    assert_eq!(harness.take_actions(), [Rejected(2)]);
}

#[test]
fn redial_counts_from_the_first_try_and_is_not_queued_again() {
    let mut harness = Harness::new(&default_config(), 0.0);
    harness.offer(1, 1);
    harness.advance(ms(2000));
    assert_eq!(harness.take_actions(), [Rejected(1)]);
    harness.offer_with(2, 1, |offer| offer.dialled = DialledNumber(1));
    assert_eq!(harness.take_actions(), [Rejected(2)], "not queued: it is late already");
    harness.advance(ms(60_000));
    harness.offer_with(3, 1, |offer| offer.dialled = DialledNumber(1));
    assert_eq!(harness.take_actions(), [], "a minute later it is a new call, and queued");
}

#[test]
fn redial_after_the_caller_hung_up_counts_from_the_first_try() {
    let mut harness = Harness::new(&default_config(), 0.0);
    for call in 1..=3 {
        harness.offer_with(call, 1, |offer| offer.dialled = DialledNumber(1));
        harness.advance(ms(600));
        harness.withdraw(call);
    }
    assert_eq!(
        harness.take_actions(),
        [Rejected(2), Rejected(3)],
        "queued for half the setup target, counted from the first try"
    );
}

#[test]
fn nothing_is_sent_after_the_caller_has_gone() {
    let mut harness = Harness::new(&default_config(), 0.0);
    harness.offer(1, 1);
    harness.withdraw(1);
    harness.report_free(1, 5.0);
    harness.offer(2, 1);
    harness.withdraw(2);
    harness.end_seizure(2, 0, 1, Cause::Cancelled);
    harness.advance(ms(5000));
    assert_eq!(harness.take_actions(), [Seized(2, 1), Cancelled(2)]);
}

#[test]
fn draining_exchange_gets_no_new_calls() {
    let mut harness = Harness::new(&default_config(), 9.0);
    harness.update_membership(&[entry(1, ExchangeStatus::Draining, Duration::ZERO)]);
    harness.offer(1, 1);
    harness.report_free(2, 0.0);
    harness.offer(2, 2);
    assert_eq!(harness.take_actions(), [Rejected(1), Seized(2, 3)], "nor is it used as a tandem");
}

#[test]
fn cold_exchange_is_sent_its_share_and_is_not_used_as_a_tandem() {
    let sent_at = |age: u64| {
        let mut harness = Harness::new(&default_config(), 999.0);
        harness.advance(ms(20_000));
        harness.update_membership(&[entry(1, ExchangeStatus::Ready, ms(20_000 - age))]);
        harness.report_free(2, 0.0);
        harness.report_free(3, 0.0);
        assert_eq!(harness.is_sent(1000, 2, 1), age >= 10_000, "used as a tandem only when warm");
        harness.count_sent(0..200)
    };
    let (cold, half, warm) = (sent_at(100), sent_at(5_000), sent_at(10_000));
    assert!((40..=110).contains(&cold) && cold < half && half < warm, "{cold}, {half}, {warm} of 200");
    assert_eq!(warm, 200);
}

#[test]
fn call_to_the_own_exchange_is_rejected() {
    // Such calls come while another exchange's controller is down.
    let mut harness = Harness::new(&default_config(), 9.0);
    harness.offer(1, 0);
    assert_eq!(harness.take_actions(), [Rejected(1)]);
}

#[test]
fn call_in_transit_is_sent_on_or_rejected_at_once() {
    let mut harness = Harness::new(&default_config(), 9.0);
    harness.offer_with(1, 1, |offer| offer.transit = true);
    harness.report_free(2, 0.0);
    harness.offer_with(2, 2, |offer| offer.transit = true);
    assert_eq!(harness.take_actions(), [Seized(1, 1), Rejected(2)]);
}

#[test]
fn tandem_is_skipped_after_crankback() {
    let mut harness = Harness::new(&default_config(), 9.0);
    harness.report_free(1, 0.0);
    harness.report_free(3, 8.0);
    harness.offer(1, 1);
    harness.end_seizure(1, 0, 2, Cause::TurnedBack { beyond: false });
    harness.offer(2, 1);
    harness.advance(ms(200));
    assert_eq!(harness.take_actions(), [Seized(1, 2), Seized(2, 3), Seized(1, 3)]);
}

#[test]
fn tandem_with_a_known_group_onward_comes_before_one_with_more_free_circuits() {
    let mut harness = Harness::new(&default_config(), 9.0);
    harness.report_free(1, 0.0);
    harness.report_free(3, 12.0);
    harness.offer_with(1, 1, |offer| offer.advised = Some(ExchangeNumber(2)));
    harness.offer(2, 1);
    assert_eq!(harness.take_actions(), [Seized(1, 2), Seized(2, 2)]);
}

#[test]
fn tandem_without_a_group_onward_is_not_used() {
    let mut harness = Harness::new(&ControllerConfig { may_message_peers: true, ..default_config() }, 9.0);
    harness.report_free(1, 0.0);
    harness.receive_from_peer(&[1, 0, 3, 0b101]);
    harness.advance(ms(5000));
    harness.offer(1, 1);
    harness.receive_from_peer(&[1, 0, 2, 0b11]);
    assert_eq!(
        harness.take_actions(),
        [SentToPeers(None), Seized(1, 2), SentToPeers(Some(7))],
        "a peer that starts later gets a reply"
    );
}

#[test]
fn group_without_a_free_circuit_counts_as_full_until_a_report_says_otherwise() {
    let mut harness = Harness::new(&default_config(), 9.0);
    // Entry 9 replaces 1 under the same exchange number. Its free circuits are unknown until the first report.
    harness
        .update_membership(&[ExchangeEntry { id: ExchangeId(9), ..entry(1, ExchangeStatus::Ready, ms(0)) }]);
    harness.update_membership(&[entry(1, ExchangeStatus::Gone, ms(0))]);
    harness.offer(1, 1);
    harness.end_seizure(1, 0, 9, Cause::NotSent { own_down: false });
    harness.report_free(3, 8.0);
    harness.offer(2, 1);
    assert_eq!(harness.take_actions(), [Seized(1, 9), Seized(2, 2)], "over a tandem");
    harness.report_free(9, 5.0);
    harness.offer(3, 1);
    assert_eq!(harness.take_actions(), [Seized(3, 9)]);
}

#[test]
fn overloaded_exchange_gets_fewer_concurrent_set_ups() {
    let mut harness = Harness::new(&default_config(), 99.0);
    (0..20).for_each(|call| harness.offer(call, 1));
    let at_first = harness.take_actions().len();
    harness.advance(ms(900));
    (0..at_first as u64).for_each(|call| harness.answer(call, 0, 1, ms(900)));
    assert!(harness.take_actions().len() < at_first, "the concurrency limit was lowered");
}

#[test]
fn repeatedly_full_processor_is_ejected_for_longer() {
    let mut harness = Harness::new(&default_config(), 99.0);
    let mut sent = 0;
    for call in 0..40 {
        if harness.is_sent(call, 1, 1) {
            sent += 1;
            harness.end_seizure(call, 0, 1, Cause::ProcessorFull { wait: Duration::ZERO });
        }
        harness.withdraw(call);
        harness.advance(ms(100));
    }
    assert!(sent <= 4, "sent {sent} in four seconds");
}

#[test]
fn failures_at_several_exchanges_are_blamed_on_the_region_or_the_own_processor() {
    let sent_after = |cause: Cause, zone: u8, to: [u32; 4]| {
        let mut harness = Harness::new(&default_config(), 99.0);
        harness.move_far_exchanges_to(zone);
        (0..).zip(to).for_each(|(call, to)| harness.offer_failing(call, to, cause));
        harness.advance(ms(310));
        (10..13).filter(|call| harness.is_sent(*call, 3, 3)).count()
    };
    let full = Cause::ProcessorFull { wait: Duration::ZERO };
    assert_eq!(
        sent_after(full, 1, [1, 2, 1, 2]),
        0,
        "exchange 3 got no call, but all calls pass the own processor"
    );
    assert_eq!(sent_after(full, 1, [1, 1, 1, 1]), 3);
    assert_eq!(sent_after(Cause::TimedOut, 0, [1, 2, 1, 2]), 0);
    assert_eq!(sent_after(Cause::TimedOut, 1, [1, 2, 1, 2]), 0, "the region is cut off");
    let mut harness = Harness::new(&default_config(), 99.0);
    harness.move_far_exchanges_to(1);
    harness.update_membership(&[entry(3, ExchangeStatus::Ready, Duration::ZERO)]);
    (0..4).for_each(|call| harness.offer_failing(call, 1 + call as u32 % 2, Cause::TimedOut));
    assert!(!harness.is_sent(20, 1, 1) && harness.is_sent(21, 3, 3), "the own processor is not blamed");
}

#[test]
fn silent_exchange_gets_one_trial_seizure_at_a_time() {
    let mut harness = Harness::new(&default_config(), 99.0);
    (0..2).for_each(|call| harness.offer_failing(call, 1, Cause::TimedOut));
    assert!(!harness.is_sent(2, 1, 1));
    harness.advance(ms(1000));
    assert!(harness.is_sent(3, 1, 1) && !harness.is_sent(4, 1, 1), "one trial at a time");
}

#[test]
fn set_up_that_may_have_been_carried_out_is_not_repeated() {
    let mut config = default_config();
    config.call_types[0].repeats = RepeatPolicy::Never;
    let mut harness = Harness::new(&config, 9.0);
    harness.offer(1, 1);
    harness.end_seizure(1, 0, 1, Cause::TimedOut);
    assert_eq!(harness.take_actions(), [Seized(1, 1), Released(1)]);
    harness.offer(2, 2);
    harness.end_seizure(2, 0, 2, Cause::Busy);
    assert_eq!(harness.take_actions(), [Seized(2, 2), Released(2)], "released, not rejected");
}

#[test]
fn late_answers_lower_the_overall_limit_but_missing_answers_do_not() {
    let seizures_after = |cause: Option<Cause>, late_every: u64, rate: f64| {
        let mut harness = Harness::new(&default_config(), 99.0);
        harness.move_far_exchanges_to(1);
        (1..4).for_each(|far| harness.report_rate(far, rate));
        for call in 0..30 {
            let to = 1 + call as u32 % 3;
            harness.advance(ms(700));
            harness.offer(call, to as u16);
            match cause {
                None => harness.answer(call, 0, to, ms(if call % late_every == 0 { 1900 } else { 100 })),
                Some(cause) => harness.end_seizure(call, 0, to, cause),
            }
            harness.withdraw(call);
        }
        harness.take_actions();
        harness.advance(ms(5000));
        (100..130).for_each(|call| harness.offer(call, 1 + call as u16 % 3));
        harness.take_actions().len()
    };
    assert_eq!(seizures_after(None, 1, 0.0), 1, "all answers late: one call at a time");
    assert!(
        seizures_after(None, 2, 9.0) < seizures_after(None, 2, 0.0),
        "every second answer late, from exchanges that report no overload"
    );
    assert_eq!(
        seizures_after(Some(Cause::TimedOut), 1, 0.0),
        3,
        "no answers: one trial seizure to each exchange"
    );
}

#[test]
fn last_direct_circuit_is_left_to_calls_of_far_higher_revenue() {
    let mut harness = Harness::new(&default_config(), 9.0);
    harness.report_free(1, 1.0);
    harness.offer(1, 1);
    assert_eq!(harness.take_actions(), [], "queued, and not sent over a tandem");
    harness.withdraw(1);
    harness.offer_with(2, 1, |offer| offer.call_type = CallType(1));
    harness.report_circuits(2, 1.0, 3.0);
    harness.offer(3, 2);
    assert_eq!(harness.take_actions(), [Seized(2, 1), Seized(3, 2)], "but not in a small group");
}

#[test]
fn exchange_that_reports_a_low_rate_is_sent_that_share() {
    // Each of many senders sees little of the exchange, so a single report has to be enough.
    let mut harness = Harness::new(&default_config(), 999.0);
    harness.report_rate(1, 10.0);
    assert_eq!(harness.count_sent(0..100), 100);
    harness.report_rate(1, 2.0);
    let reduced = harness.count_sent(100..200);
    assert!((15..=45).contains(&reduced), "{reduced} of a hundred at a fifth of the rate");
    harness.advance(ms(20_000));
    assert_eq!(harness.count_sent(200..300), 100, "the report has expired");
}

#[test]
fn end_of_an_old_call_does_not_count_as_an_answer() {
    let mut harness = Harness::new(&default_config(), 99.0);
    harness.offer(9, 1);
    harness.answer(9, 0, 1, ms(50));
    harness.offer_failing(0, 1, Cause::TimedOut);
    harness.end_seizure(9, 0, 1, Cause::Done);
    harness.offer_failing(0, 1, Cause::TimedOut);
    assert!(!harness.is_sent(2, 1, 1), "still silent");
}

#[test]
fn queued_wide_call_is_not_starved_by_narrow_ones() {
    let mut config = default_config();
    config.call_types.push(common::call_type(2.0, 4));
    let mut harness = Harness::new(&config, 0.0);
    harness.report_free(1, 2.0);
    harness.offer_with(1, 1, |offer| (offer.call_type, offer.width) = (CallType(2), 4));
    harness.offer(2, 1);
    assert_eq!(harness.take_actions(), [], "the narrow call waits behind the wide one");
    harness.report_free(1, 5.0);
    assert_eq!(harness.take_actions(), [Seized(1, 1)]);
}

#[test]
fn signalling_fault_does_not_block_the_number() {
    let mut harness = Harness::new(&default_config(), 99.0);
    harness.offer_with(1, 1, |offer| offer.dialled = DialledNumber(7));
    harness.end_seizure(1, 0, 1, Cause::Fault);
    assert_eq!(harness.take_actions(), [Seized(1, 1)], "retried after the jitter");
    harness.advance(ms(100));
    harness.end_seizure(1, 1, 1, Cause::Fault);
    harness.advance(ms(200));
    harness.end_seizure(1, 2, 1, Cause::Fault);
    assert_eq!(
        harness.take_actions(),
        [Seized(1, 1), Seized(1, 1), Rejected(1)],
        "retried as far as the credit goes"
    );
    harness.offer_with(2, 1, |offer| offer.dialled = DialledNumber(7));
    assert_eq!(harness.take_actions(), [Seized(2, 1)], "a redial to the number is sent, too");
}

#[test]
fn busy_number_is_not_called_again_at_once() {
    let mut harness = Harness::new(&default_config(), 99.0);
    harness.offer_with(1, 1, |offer| offer.dialled = DialledNumber(7));
    harness.end_seizure(1, 0, 1, Cause::Busy);
    harness.offer_with(2, 1, |offer| offer.dialled = DialledNumber(7));
    assert_eq!(harness.take_actions(), [Seized(1, 1), Rejected(1), Rejected(2)]);
    harness.advance(ms(2100));
    harness.offer_with(3, 1, |offer| offer.dialled = DialledNumber(7));
    assert_eq!(harness.take_actions(), [Seized(3, 1)]);
}

#[test]
fn pools_take_only_the_call_types_they_serve() {
    let mut config = default_config();
    config.own = None;
    config.call_types[0].pools = vec![ExchangeNumber(1), ExchangeNumber(2)];
    let mut harness = Harness::new(&config, 9.0);
    harness.report_free(3, 50.0);
    harness.offer(1, 1);
    harness.report_free(1, 0.0);
    harness.offer(2, 1);
    assert_eq!(harness.take_actions(), [Seized(1, 1), Seized(2, 2)]);
}

#[test]
fn failed_subscription_is_repeated() {
    let mut harness = Harness::new(&ControllerConfig { must_subscribe: true, ..default_config() }, 9.0);
    assert_eq!(harness.take_actions(), [Subscribed]);
    harness.fail_subscription();
    harness.advance(ms(2000));
    assert_eq!(harness.take_actions(), [Subscribed]);
}

/// Milliseconds until each of 300 controllers seizes again after their first seizures ended at the same time with the
/// same cause.
fn retry_times(cause: Cause) -> Vec<u64> {
    let retry_time = |seed| {
        let mut harness = Harness::seeded(&default_config(), 9.0, seed);
        harness.offer(1, 1);
        harness.end_seizure(1, 0, 1, cause);
        harness.take_actions();
        (1..3000).find(|_| {
            harness.advance(ms(1));
            harness.take_actions().contains(&Seized(1, 1))
        })
    };
    (0..300).filter_map(retry_time).collect()
}

/// The largest number of times within ten milliseconds.
fn max_within_10_ms(times: &[u64]) -> usize {
    times
        .iter()
        .map(|from| times.iter().filter(|at| (*from..from + 10).contains(at)).count())
        .max()
        .unwrap_or(0)
}

#[test]
fn controllers_whose_seizures_end_together_do_not_retry_together() {
    for (cause, min_wait_ms) in [
        (Cause::TimedOut, 300),
        (Cause::Cut, 300),
        (Cause::ProcessorFull { wait: ms(900) }, 900),
        (Cause::Unreachable, 0),
    ] {
        let times = retry_times(cause);
        assert_eq!(times.len(), 300, "{cause:?}");
        assert!(times.iter().all(|at| *at >= min_wait_ms), "{cause:?}: the wait is kept");
        // The jitter is drawn below 100 ms: a tenth of the retries in each ten milliseconds.
        let most = max_within_10_ms(&times);
        assert!(most <= 60, "{cause:?}: {most} of 300 within ten milliseconds");
    }
}

#[test]
fn call_without_time_for_a_retry_after_its_whole_wait_is_rejected_at_once() {
    for seed in 0..50 {
        let mut harness = Harness::seeded(&default_config(), 9.0, seed);
        harness.offer_with(1, 1, |offer| offer.deadline = ms(300 + 20 + 50 + 1));
        harness.end_seizure(1, 0, 1, Cause::TimedOut);
        let at_once = harness.take_actions().contains(&Rejected(1));
        harness.advance(ms(2000));
        let actions = harness.take_actions();
        assert!(at_once || actions.first() == Some(&Seized(1, 1)), "seed {seed}: {actions:?}");
    }
}

#[test]
fn callers_rejected_together_get_different_retry_times() {
    let mut harness = Harness::new(&default_config(), 0.0);
    (0..300).for_each(|call| harness.offer(call, 1));
    harness.advance(ms(1100));
    let waits = harness.take_retry_times();
    assert!(waits.len() == 300 && waits.iter().all(|wait| (ms(1000)..=ms(2000)).contains(wait)));
    let times: Vec<u64> = waits.iter().map(|wait| wait.as_millis() as u64).collect();
    assert!(max_within_10_ms(&times) <= 20, "of 300 within ten milliseconds");
    let mut harness = Harness::new(&ControllerConfig { max_retry_after: ms(0), ..default_config() }, 0.0);
    harness.offer(1, 1);
    harness.advance(ms(1100));
    assert_eq!(harness.take_retry_times(), [ms(0)], "no retry time where callers follow none");
}

// Guards against: a group that seems full after callers who give up before anything was sent (issue 45).
#[test]
fn set_up_that_was_taken_back_unsent_returns_its_circuit_and_counts_for_no_processor() {
    let mut harness = Harness::new(&default_config(), 3.0);
    for call in 0..100 {
        assert!(harness.is_sent(call, 1, 1), "call {call}");
        harness.withdraw(call);
        harness.end_seizure(call, 0, 1, Cause::Revoked);
    }
    harness.offer(200, 1);
    harness.end_seizure(200, 0, 1, Cause::Revoked);
    harness.advance(ms(500));
    let sent = [Seized(200, 1), Seized(200, 1)];
    assert_eq!(harness.take_actions(), [&[Cancelled(99)][..], &sent].concat(), "a waiting call goes again");
}
