//! One short story for each rule and for each failure met.

mod common;

use std::time::Duration;

use common::{Desk, Did::*, line, ms, office};
use mintstall::interface::{
    CallType, Cause, ControllerConfig, DialledNumber, ExchangeEntry, ExchangeId, ExchangeNumber,
    ExchangeStatus, RepeatPolicy,
};

#[test]
fn direct_first_then_the_tandem_with_most_room() {
    let mut desk = Desk::new(&office(), 9.0);
    desk.free(3, 12.0);
    desk.calls(1, 1);
    desk.free(1, 0.0);
    desk.calls(2, 1);
    assert_eq!(desk.did(), [Seized(1, 1), Seized(2, 3)]);
}

#[test]
fn credit_pays_for_two_further_attempts_and_no_more() {
    let mut desk = Desk::new(&office(), 9.0);
    for call in 1..=3 {
        desk.calls(call, 2);
        desk.ended(call, 0, 2, Cause::Unreachable);
        desk.pass(ms(4000));
        desk.stands(call, 1, 2, ms(10));
    }
    let did = desk.did();
    assert_eq!(did.iter().filter(|did| matches!(did, Seized(..))).count(), 5);
    assert_eq!(did.last(), Some(&Rejected(3)));
}

#[test]
fn late_redials_earn_no_credit() {
    let mut desk = Desk::new(&office(), 99.0);
    desk.calls_as(0, 1, |offer| offer.dialled = DialledNumber(7));
    desk.pass(ms(2100));
    desk.withdrawn(0);
    for call in 1..40 {
        desk.calls_as(call, 1, |offer| offer.dialled = DialledNumber(7));
        desk.stands(call, 0, 1, ms(10));
    }
    desk.did();
    for call in 100..103 {
        desk.calls(call, 2 + call as u16 % 2);
        desk.ended(call, 0, 2 + call as u32 % 2, Cause::Unreachable);
    }
    let further = 3 - desk.did().iter().filter(|did| matches!(did, Rejected(_))).count();
    assert_eq!(further, 2, "those of the start");
}

#[test]
fn a_told_wait_is_kept_or_the_call_answered_at_once() {
    let mut desk = Desk::new(&office(), 9.0);
    desk.calls(1, 1);
    desk.ended(1, 0, 1, Cause::ProcessorFull { wait: ms(900) });
    desk.did();
    desk.pass(ms(899));
    assert_eq!(desk.did(), []);
    // Its draw, below 100 ms, comes behind.
    desk.pass(ms(101));
    assert_eq!(desk.did(), [Seized(1, 1)]);
    desk.calls(2, 2);
    desk.ended(2, 0, 2, Cause::ProcessorFull { wait: ms(2950) });
    assert_eq!(desk.did(), [Seized(2, 2), Rejected(2)], "it overruns the time left");
}

#[test]
fn the_release_is_awaited_after_a_time_out() {
    let mut desk = Desk::new(&office(), 9.0);
    desk.calls(1, 1);
    desk.pass(ms(500));
    desk.ended(1, 0, 1, Cause::TimedOut);
    desk.did();
    desk.pass(ms(299));
    assert_eq!(desk.did(), []);
    desk.pass(ms(1000));
    assert_eq!(desk.did()[0], Seized(1, 1));
}

#[test]
fn every_wait_ends_with_an_answer() {
    // Waits finer than the clock were found not over when their alarm rang.
    for draw in 0..50 {
        let mut desk = Desk::new(&office(), 9.0);
        desk.pass(Duration::from_micros(draw * 7));
        desk.calls(1, 1);
        desk.ended(1, 0, 1, Cause::Unreachable);
        desk.pass(ms(2900));
        assert_eq!(desk.did().len(), 2, "seized twice");
    }
    let mut data = office();
    data.call_types[0].setup_target = Duration::from_nanos(1_333_333_331);
    let mut desk = Desk::new(&data, 0.0);
    desk.calls(1, 1);
    desk.pass(ms(2900));
    assert_eq!(desk.did(), [Rejected(1)], "held no longer than half its target");
}

#[test]
fn a_call_without_a_way_is_held_a_while_and_then_rejected() {
    let mut desk = Desk::new(&office(), 0.0);
    desk.calls(1, 1);
    desk.calls(2, 1);
    assert_eq!(desk.did(), []);
    desk.pass(ms(400));
    desk.free(1, 2.0);
    assert_eq!(desk.did(), [Seized(1, 1)]);
    desk.pass(ms(2000));
    assert_eq!(desk.did(), [Rejected(2)]);
}

#[test]
fn a_redial_counts_from_its_first_try_and_lets_others_go_first() {
    let mut desk = Desk::new(&office(), 0.0);
    desk.calls(1, 1);
    desk.pass(ms(2000));
    assert_eq!(desk.did(), [Rejected(1)]);
    desk.calls_as(2, 1, |offer| offer.dialled = DialledNumber(1));
    assert_eq!(desk.did(), [Rejected(2)], "not held: it is late already");
    desk.pass(ms(60_000));
    desk.calls_as(3, 1, |offer| offer.dialled = DialledNumber(1));
    assert_eq!(desk.did(), [], "a minute later it is a call of its own, and held");
}

#[test]
fn a_caller_who_hangs_up_and_dials_again_is_known() {
    let mut desk = Desk::new(&office(), 0.0);
    for call in 1..=3 {
        desk.calls_as(call, 1, |offer| offer.dialled = DialledNumber(1));
        desk.pass(ms(600));
        desk.withdrawn(call);
    }
    assert_eq!(desk.did(), [Rejected(2), Rejected(3)], "held for half the target from the first try on");
}

#[test]
fn nothing_is_sent_after_the_caller_has_gone() {
    let mut desk = Desk::new(&office(), 0.0);
    desk.calls(1, 1);
    desk.withdrawn(1);
    desk.free(1, 5.0);
    desk.calls(2, 1);
    desk.withdrawn(2);
    desk.ended(2, 0, 1, Cause::Cancelled);
    desk.pass(ms(5000));
    assert_eq!(desk.did(), [Seized(2, 1), Cancelled(2)]);
}

#[test]
fn a_draining_exchange_gets_nothing_new() {
    let mut desk = Desk::new(&office(), 9.0);
    desk.listed(&[line(1, ExchangeStatus::Draining, Duration::ZERO)]);
    desk.calls(1, 1);
    desk.free(2, 0.0);
    desk.calls(2, 2);
    assert_eq!(desk.did(), [Rejected(1), Seized(2, 3)], "and is no tandem either");
}

#[test]
fn a_cold_exchange_is_sent_its_share_and_is_no_tandem() {
    let sent_at = |age: u64| {
        let mut desk = Desk::new(&office(), 999.0);
        desk.pass(ms(20_000));
        desk.listed(&[line(1, ExchangeStatus::Ready, ms(20_000 - age))]);
        desk.free(2, 0.0);
        desk.free(3, 0.0);
        assert_eq!(desk.sends(1000, 2, 1), age >= 10_000, "a tandem only when warm");
        desk.served(0..200)
    };
    let (cold, half, warm) = (sent_at(100), sent_at(5_000), sent_at(10_000));
    assert!((40..=110).contains(&cold) && cold < half && half < warm, "{cold}, {half}, {warm} of 200");
    assert_eq!(warm, 200);
}

#[test]
fn a_call_to_the_own_exchange_is_not_sent_anywhere() {
    // Such calls come while another exchange's controller is down.
    let mut desk = Desk::new(&office(), 9.0);
    desk.calls(1, 0);
    assert_eq!(desk.did(), [Rejected(1)]);
}

#[test]
fn a_call_in_transit_goes_on_or_is_turned_back_at_once() {
    let mut desk = Desk::new(&office(), 9.0);
    desk.calls_as(1, 1, |offer| offer.transit = true);
    desk.free(2, 0.0);
    desk.calls_as(2, 2, |offer| offer.transit = true);
    assert_eq!(desk.did(), [Seized(1, 1), Rejected(2)]);
}

#[test]
fn a_tandem_that_turned_a_call_back_is_skipped() {
    let mut desk = Desk::new(&office(), 9.0);
    desk.free(1, 0.0);
    desk.free(3, 8.0);
    desk.calls(1, 1);
    desk.ended(1, 0, 2, Cause::TurnedBack { beyond: false });
    desk.calls(2, 1);
    desk.pass(ms(200));
    assert_eq!(desk.did(), [Seized(1, 2), Seized(2, 3), Seized(1, 3)]);
}

#[test]
fn a_tandem_known_to_lead_on_comes_before_a_roomier_one() {
    let mut desk = Desk::new(&office(), 9.0);
    desk.free(1, 0.0);
    desk.free(3, 12.0);
    desk.calls_as(1, 1, |offer| offer.advised = Some(ExchangeNumber(2)));
    desk.calls(2, 1);
    assert_eq!(desk.did(), [Seized(1, 2), Seized(2, 2)]);
}

#[test]
fn a_tandem_that_has_no_group_onward_is_left_out() {
    let mut desk = Desk::new(&ControllerConfig { may_message_peers: true, ..office() }, 9.0);
    desk.free(1, 0.0);
    desk.hears(&[1, 0, 3, 0b101]);
    desk.pass(ms(5000));
    desk.calls(1, 1);
    desk.hears(&[1, 0, 2, 0b11]);
    assert_eq!(desk.did(), [Told(None), Seized(1, 2), Told(Some(7))], "who starts later is answered");
}

#[test]
fn a_group_in_which_a_set_up_found_no_circuit_is_full_until_told_otherwise() {
    let mut desk = Desk::new(&office(), 9.0);
    // The machine that replaces another is nobody's yet: its group is told when it is named.
    desk.listed(&[ExchangeEntry { id: ExchangeId(9), ..line(1, ExchangeStatus::Ready, ms(0)) }]);
    desk.listed(&[line(1, ExchangeStatus::Gone, ms(0))]);
    desk.calls(1, 1);
    desk.ended(1, 0, 9, Cause::NotSent { own_down: false });
    desk.free(3, 8.0);
    desk.calls(2, 1);
    assert_eq!(desk.did(), [Seized(1, 9), Seized(2, 2)], "over a tandem");
    desk.free(9, 5.0);
    desk.calls(3, 1);
    assert_eq!(desk.did(), [Seized(3, 9)]);
}

#[test]
fn a_pressed_exchange_gets_fewer_set_ups_at_a_time() {
    let mut desk = Desk::new(&office(), 99.0);
    (0..20).for_each(|call| desk.calls(call, 1));
    let at_first = desk.did().len();
    desk.pass(ms(900));
    (0..at_first as u64).for_each(|call| desk.stands(call, 0, 1, ms(900)));
    assert!(desk.did().len() < at_first, "the window has shut a little");
}

#[test]
fn a_processor_full_again_and_again_is_left_alone_for_longer() {
    let mut desk = Desk::new(&office(), 99.0);
    let mut sent = 0;
    for call in 0..40 {
        if desk.sends(call, 1, 1) {
            sent += 1;
            desk.ended(call, 0, 1, Cause::ProcessorFull { wait: Duration::ZERO });
        }
        desk.withdrawn(call);
        desk.pass(ms(100));
    }
    assert!(sent <= 4, "sent {sent} in four seconds");
}

#[test]
fn failures_at_one_exchange_after_the_other_are_the_own_processors() {
    let sent_after = |cause: Cause, zone: u8, to: [u32; 4]| {
        let mut desk = Desk::new(&office(), 99.0);
        desk.in_region(zone);
        (0..).zip(to).for_each(|(call, to)| desk.fails(call, to, cause));
        desk.pass(ms(310));
        (10..13).filter(|call| desk.sends(*call, 3, 3)).count()
    };
    let full = Cause::ProcessorFull { wait: Duration::ZERO };
    assert_eq!(sent_after(full, 1, [1, 2, 1, 2]), 0, "3 was not asked, but all calls pass the own one");
    assert_eq!(sent_after(full, 1, [1, 1, 1, 1]), 3);
    assert_eq!(sent_after(Cause::TimedOut, 0, [1, 2, 1, 2]), 0);
    assert_eq!(sent_after(Cause::TimedOut, 1, [1, 2, 1, 2]), 0, "a region cut off");
    let mut desk = Desk::new(&office(), 99.0);
    desk.in_region(1);
    desk.listed(&[line(3, ExchangeStatus::Ready, Duration::ZERO)]);
    (0..4).for_each(|call| desk.fails(call, 1 + call as u32 % 2, Cause::TimedOut));
    assert!(!desk.sends(20, 1, 1) && desk.sends(21, 3, 3), "is none of the own one's");
}

#[test]
fn a_silent_exchange_is_tried_only_now_and_then() {
    let mut desk = Desk::new(&office(), 99.0);
    (0..2).for_each(|call| desk.fails(call, 1, Cause::TimedOut));
    assert!(!desk.sends(2, 1, 1));
    desk.pass(ms(1000));
    assert!(desk.sends(3, 1, 1) && !desk.sends(4, 1, 1), "one trial");
}

#[test]
fn what_may_have_been_carried_out_is_not_repeated() {
    let mut data = office();
    data.call_types[0].repeats = RepeatPolicy::Never;
    let mut desk = Desk::new(&data, 9.0);
    desk.calls(1, 1);
    desk.ended(1, 0, 1, Cause::TimedOut);
    assert_eq!(desk.did(), [Seized(1, 1), Released(1)]);
    desk.calls(2, 2);
    desk.ended(2, 0, 2, Cause::Busy);
    assert_eq!(desk.did(), [Seized(2, 2), Released(2)], "nor called rejected");
}

#[test]
fn a_pressed_own_processor_is_spared_but_silence_is_not_its_fault() {
    let out = |cause: Option<Cause>, late: u64, told: f64| {
        let mut desk = Desk::new(&office(), 99.0);
        desk.in_region(1);
        (1..4).for_each(|far| desk.takes(far, told));
        for call in 0..30 {
            let to = 1 + call as u32 % 3;
            desk.pass(ms(700));
            desk.calls(call, to as u16);
            match cause {
                None => desk.stands(call, 0, to, ms(if call % late == 0 { 1900 } else { 100 })),
                Some(cause) => desk.ended(call, 0, to, cause),
            }
            desk.withdrawn(call);
        }
        desk.did();
        desk.pass(ms(5000));
        (100..130).for_each(|call| desk.calls(call, 1 + call as u16 % 3));
        desk.did().len()
    };
    assert_eq!(out(None, 1, 0.0), 1, "all late: one at a time");
    assert!(out(None, 2, 9.0) < out(None, 2, 0.0), "every second one, of those that say they are at ease");
    assert_eq!(out(Some(Cause::TimedOut), 1, 0.0), 3, "all silent: one trial of each");
}

#[test]
fn the_last_direct_circuit_is_left_to_calls_that_earn_far_more() {
    let mut desk = Desk::new(&office(), 9.0);
    desk.free(1, 1.0);
    desk.calls(1, 1);
    assert_eq!(desk.did(), [], "held, and not sent over a tandem");
    desk.withdrawn(1);
    desk.calls_as(2, 1, |offer| offer.call_type = CallType(1));
    desk.has(2, 1.0, 3.0);
    desk.calls(3, 2);
    assert_eq!(desk.did(), [Seized(2, 1), Seized(3, 2)], "but not in a thin group");
}

#[test]
fn an_exchange_that_says_it_can_take_little_is_sent_that_share() {
    // Each of many senders sees little of it, so one word must do.
    let mut desk = Desk::new(&office(), 999.0);
    desk.takes(1, 10.0);
    assert_eq!(desk.served(0..100), 100);
    desk.takes(1, 2.0);
    let pressed = desk.served(100..200);
    assert!((15..=45).contains(&pressed), "{pressed} of a hundred, at a fifth");
    desk.pass(ms(20_000));
    assert_eq!(desk.served(200..300), 100, "the word has faded");
}

#[test]
fn the_end_of_an_old_call_is_no_sign_of_life() {
    let mut desk = Desk::new(&office(), 99.0);
    desk.calls(9, 1);
    desk.stands(9, 0, 1, ms(50));
    desk.fails(0, 1, Cause::TimedOut);
    desk.ended(9, 0, 1, Cause::Done);
    desk.fails(0, 1, Cause::TimedOut);
    assert!(!desk.sends(2, 1, 1), "silent all the same");
}

#[test]
fn a_wide_call_in_the_line_is_not_starved_by_narrow_ones() {
    let mut data = office();
    data.call_types.push(common::call_type(2.0, 4));
    let mut desk = Desk::new(&data, 0.0);
    desk.free(1, 2.0);
    desk.calls_as(1, 1, |offer| (offer.call_type, offer.width) = (CallType(2), 4));
    desk.calls(2, 1);
    assert_eq!(desk.did(), [], "the narrow one waits behind it");
    desk.free(1, 5.0);
    assert_eq!(desk.did(), [Seized(1, 1)]);
}

#[test]
fn a_fault_is_not_held_against_the_number() {
    let mut desk = Desk::new(&office(), 99.0);
    desk.calls_as(1, 1, |offer| offer.dialled = DialledNumber(7));
    desk.ended(1, 0, 1, Cause::Fault);
    assert_eq!(desk.did(), [Seized(1, 1)], "tried again after a draw");
    desk.pass(ms(100));
    desk.ended(1, 1, 1, Cause::Fault);
    desk.pass(ms(200));
    desk.ended(1, 2, 1, Cause::Fault);
    assert_eq!(desk.did(), [Seized(1, 1), Seized(1, 1), Rejected(1)], "as far as the balance goes");
    desk.calls_as(2, 1, |offer| offer.dialled = DialledNumber(7));
    assert_eq!(desk.did(), [Seized(2, 1)], "and so is its caller who dials again");
}

#[test]
fn a_busy_number_is_not_tried_again_at_once() {
    let mut desk = Desk::new(&office(), 99.0);
    desk.calls_as(1, 1, |offer| offer.dialled = DialledNumber(7));
    desk.ended(1, 0, 1, Cause::Busy);
    desk.calls_as(2, 1, |offer| offer.dialled = DialledNumber(7));
    assert_eq!(desk.did(), [Seized(1, 1), Rejected(1), Rejected(2)]);
    desk.pass(ms(2100));
    desk.calls_as(3, 1, |offer| offer.dialled = DialledNumber(7));
    assert_eq!(desk.did(), [Seized(3, 1)]);
}

#[test]
fn pools_take_only_the_types_they_serve() {
    let mut data = office();
    data.own = None;
    data.call_types[0].pools = vec![ExchangeNumber(1), ExchangeNumber(2)];
    let mut desk = Desk::new(&data, 9.0);
    desk.free(3, 50.0);
    desk.calls(1, 1);
    desk.free(1, 0.0);
    desk.calls(2, 1);
    assert_eq!(desk.did(), [Seized(1, 1), Seized(2, 2)]);
}

#[test]
fn a_failed_subscription_is_asked_for_again() {
    let mut desk = Desk::new(&ControllerConfig { must_subscribe: true, ..office() }, 9.0);
    assert_eq!(desk.did(), [Subscribed]);
    desk.list_failed();
    desk.pass(ms(2000));
    assert_eq!(desk.did(), [Subscribed]);
}

/// After how many milliseconds each of 300 instances seizes again, whose first seizures ended alike at one instant.
fn again_after(cause: Cause) -> Vec<u64> {
    let again = |seed| {
        let mut desk = Desk::seeded(&office(), 9.0, seed);
        desk.calls(1, 1);
        desk.ended(1, 0, 1, cause);
        desk.did();
        (1..3000).find(|_| {
            desk.pass(ms(1));
            desk.did().contains(&Seized(1, 1))
        })
    };
    (0..300).filter_map(again).collect()
}

/// The most that fall into one stretch of ten milliseconds.
fn most_in_step(times: &[u64]) -> usize {
    times
        .iter()
        .map(|from| times.iter().filter(|at| (*from..from + 10).contains(at)).count())
        .max()
        .unwrap_or(0)
}

#[test]
fn instances_whose_seizures_end_together_do_not_seize_again_in_step() {
    for (cause, told) in [
        (Cause::TimedOut, 300),
        (Cause::Cut, 300),
        (Cause::ProcessorFull { wait: ms(900) }, 900),
        (Cause::Unreachable, 0),
    ] {
        let times = again_after(cause);
        assert_eq!(times.len(), 300, "{cause:?}");
        assert!(times.iter().all(|at| *at >= told), "{cause:?}: the wait is kept");
        // Drawn below 100 ms: a tenth of them in each ten milliseconds.
        let most = most_in_step(&times);
        assert!(most <= 60, "{cause:?}: {most} of 300 within ten milliseconds");
    }
}

#[test]
fn a_call_that_could_not_be_sent_again_after_its_whole_wait_is_answered_at_once() {
    for seed in 0..50 {
        let mut desk = Desk::seeded(&office(), 9.0, seed);
        desk.calls_as(1, 1, |offer| offer.deadline = ms(300 + 20 + 50 + 1));
        desk.ended(1, 0, 1, Cause::TimedOut);
        let at_once = desk.did().contains(&Rejected(1));
        desk.pass(ms(2000));
        let did = desk.did();
        assert!(at_once || did.first() == Some(&Seized(1, 1)), "seed {seed}: {did:?}");
    }
}

#[test]
fn callers_who_are_rejected_together_are_not_told_to_come_back_together() {
    let mut desk = Desk::new(&office(), 0.0);
    (0..300).for_each(|call| desk.calls(call, 1));
    desk.pass(ms(1100));
    let told = desk.told_to_come_back();
    assert!(told.len() == 300 && told.iter().all(|wait| (ms(1000)..=ms(2000)).contains(wait)));
    let times: Vec<u64> = told.iter().map(|wait| wait.as_millis() as u64).collect();
    assert!(most_in_step(&times) <= 20, "of 300 within ten milliseconds");
    let mut desk = Desk::new(&ControllerConfig { max_retry_after: ms(0), ..office() }, 0.0);
    desk.calls(1, 1);
    desk.pass(ms(1100));
    assert_eq!(desk.told_to_come_back(), [ms(0)], "who follows no wait is told none");
}
