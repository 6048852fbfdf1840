//! Scenarios of link and circuit faults, with call control at both ends.

mod common;

use std::time::Duration;

use common::{TestNetwork, ms, name};
use mintstall::interface::ExchangeNumber;
use mintstall_callcontrol::{Answer, CallEnd, LinkStatus};
use mintstall_isup::{Body, Cic, Frame, Message, ProtocolData, m3ua};

fn frame(from: u16, to: u16, cic: Cic, body: Body) -> Vec<u8> {
    let (mut user, mut octets) = (Vec::new(), Vec::new());
    Message::new(cic, body).write(&mut user);
    let data = ProtocolData {
        opc: from.into(),
        dpc: to.into(),
        service: m3ua::ISUP,
        network: 2,
        priority: 0,
        sls: 0,
        user: &user,
    };
    Frame::Data(data).write(&mut octets);
    octets
}

#[test]
fn a_call_stands_and_is_hung_up() {
    let mut network = TestNetwork::new(2, 31);
    let call = network.offer_call(1, 2, 5, 0);
    assert_eq!(network.deliver_all(), ["1>2 IAM", "2>1 ACM", "2>1 ANM"]);
    assert_eq!(network.answers(1), [(call, Answer::Stands)]);
    assert_eq!((network.group_status(1, 2).standing, network.group_status(2, 1).standing), (1, 1));
    assert!(network.with(1, |control, now, actions| control.hang_up(now, actions, call)));
    assert_eq!(network.deliver_all(), ["1>2 REL", "2>1 RLC"]);
    network.assert_idle();
    assert!(
        !network.with(1, |control, now, actions| control.hang_up(now, actions, call)),
        "the call is removed"
    );
}

#[test]
fn a_wide_call_takes_circuits_at_both_ends_and_frees_all_of_them() {
    let mut network = TestNetwork::new(2, 40);
    let call = network.offer_call(1, 2, 5, 1);
    network.deliver_all();
    assert_eq!((network.group_status(1, 2).standing, network.group_status(2, 1).standing), (3, 3));
    network.with(1, |control, now, actions| control.hang_up(now, actions, call));
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn a_full_direct_group_sends_calls_over_a_tandem() {
    let mut network = TestNetwork::new(3, 4);
    // Four direct circuits, none of them reserved: all calls have the same revenue per circuit.
    let calls: Vec<_> = (0..4).map(|dialled| network.offer_call(1, 2, dialled, 0)).collect();
    network.deliver_all();
    let over_tandem = network.offer_call(1, 2, 9, 0);
    let names = network.deliver_all();
    assert_eq!(names[..2], ["1>3 IAM", "3>2 IAM"]);
    assert!(network.answers(1).contains(&(over_tandem, Answer::Stands)));
    calls.into_iter().chain([over_tandem]).for_each(|call| {
        network.with(1, |control, now, actions| control.hang_up(now, actions, call));
    });
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn after_dual_seizure_of_the_last_circuit_one_call_stands_and_both_are_answered() {
    let mut network = TestNetwork::new(2, 1);
    let (low, high) = (network.offer_call(1, 2, 5, 0), network.offer_call(2, 1, 6, 0));
    network.deliver_all();
    // Circuit 1 is odd: the lower point code controls it.
    assert_eq!(network.answers(1), [(low, Answer::Stands)]);
    network.advance(ms(3000));
    network.deliver_all();
    let answers = network.answers(2);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 == high && answers[0].1 != Answer::Stands);
    assert_eq!((network.counters(1).yielded, network.counters(2).yielded), (0, 1));
    network.with(1, |control, now, actions| control.hang_up(now, actions, low));
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn the_wider_of_two_calls_prevails_in_dual_seizure() {
    let mut network = TestNetwork::new(2, 3);
    let (narrow, wide) = (network.offer_call(1, 2, 5, 0), network.offer_call(2, 1, 6, 1));
    network.deliver_all();
    assert_eq!(network.answers(2), [(wide, Answer::Stands)]);
    network.advance(ms(3000));
    assert!(network.answers(1).iter().all(|(call, answer)| *call == narrow && *answer != Answer::Stands));
    network.with(2, |control, now, actions| control.hang_up(now, actions, wide));
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn a_yielded_circuit_is_not_seized_again_before_the_prevailing_call_has_it() {
    let mut network = TestNetwork::new(2, 1);
    // A second call of exchange 2 waits for the circuit that exchange 2 yields.
    let (_, second) = (network.offer_call(2, 1, 6, 0), network.offer_call(2, 1, 7, 0));
    let low = network.offer_call(1, 2, 5, 0);
    let names = network.deliver_all();
    assert_eq!(names.iter().filter(|name| name.contains("IAM")).count(), 2);
    assert_eq!(network.answers(1), [(low, Answer::Stands)]);
    network.with(1, |control, now, actions| control.hang_up(now, actions, low));
    network.deliver_all();
    assert_eq!(network.answers(2), [(second, Answer::Stands)]);
}

#[test]
fn a_link_lost_between_set_up_and_answer_ends_one_seizure_and_leaves_no_circuit_stuck() {
    let mut network = TestNetwork::new(2, 31);
    let call = network.offer_call(1, 2, 5, 0);
    let iam = network.take_sent(1, 2).concat();
    network.deliver(1, 2, &iam);
    network.break_link(1, 2);
    assert_eq!(network.group_status(1, 2).resetting, 1);
    network.advance(ms(150));
    assert_eq!(network.take_sent(1, 2).len(), 0, "the release wait is not over");
    network.restore_link(1, 2);
    let names = network.deliver_all();
    assert!(names.contains(&"1>2 RSC".to_string()), "{names:?}");
    network.advance(ms(250));
    network.deliver_all();
    assert_eq!(network.answers(1), [(call, Answer::Stands)], "a further attempt uses the restored link");
    assert_eq!((network.group_status(1, 2).standing, network.group_status(2, 1).standing), (1, 1));
    assert_eq!((network.group_status(1, 2).resetting, network.group_status(2, 1).resetting), (0, 0));
}

#[test]
fn standing_calls_survive_a_short_link_loss_and_are_cut_by_a_long_one() {
    let mut network = TestNetwork::new(2, 31);
    let call = network.offer_call(1, 2, 5, 0);
    network.deliver_all();
    network.break_link(1, 2);
    network.advance(ms(4000));
    network.restore_link(1, 2);
    network.deliver_all();
    assert_eq!((network.group_status(1, 2).standing, network.ended_calls(1)), (1, vec![]));
    network.break_link(1, 2);
    network.advance(ms(10_000));
    assert_eq!(network.ended_calls(1), [(call, CallEnd::Cut)]);
    network.restore_link(1, 2);
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn a_release_that_is_never_completed_is_repeated_and_then_the_circuit_is_reset() {
    let mut network = TestNetwork::new(2, 31);
    let call = network.offer_call(1, 2, 5, 0);
    network.deliver_all();
    network.with(1, |control, now, actions| control.hang_up(now, actions, call));
    let mut names = Vec::new();
    for _ in 0..10 {
        let sent = network.take_sent(1, 2);
        names.extend(sent.iter().filter_map(|octets| name(octets)));
        network.advance(ms(1000));
    }
    assert_eq!(names, ["REL", "REL", "REL", "REL", "REL", "RSC"], "T1 is one second, T5 five");
    assert_eq!(network.group_status(1, 2).resetting, 1, "the circuit stays taken");
    network.deliver(1, 2, &frame(1, 2, Cic(1), Body::Rsc));
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn a_timed_out_set_up_keeps_its_circuit_until_the_far_end_has_released_it() {
    let mut network = TestNetwork::new(2, 31);
    network.offer_call(1, 2, 5, 0);
    let late = network.take_sent(1, 2).concat();
    network.advance(ms(2100));
    let sent = network.take_sent(1, 2);
    assert_eq!(sent.iter().filter_map(|octets| name(octets)).collect::<Vec<_>>(), ["REL"]);
    assert_eq!((network.group_status(1, 2).releasing, network.counters(1).timed_out), (1, 1));
    // The far end still handles the late set-up, then its release.
    network.deliver(1, 2, &late);
    assert_eq!(network.group_status(2, 1).standing, 1);
    network.deliver(1, 2, &sent.concat());
    network.deliver_all();
    assert_eq!((network.group_status(1, 2).free, network.group_status(2, 1).free), (31, 31));
    network.advance(ms(2000));
    assert_eq!(network.answers(1).len(), 1, "the late answer of the far end changes nothing");
}

#[test]
fn a_caller_who_gives_up_is_answered_at_once_and_no_further_set_up_is_sent() {
    let mut network = TestNetwork::new(2, 31);
    let call = network.offer_call(1, 2, 5, 0);
    let iam = network.take_sent(1, 2).concat();
    network.with(1, |control, now, actions| control.hang_up(now, actions, call));
    assert_eq!(network.answers(1), [(call, Answer::Fails)]);
    network.deliver(1, 2, &iam);
    let names = network.deliver_all();
    assert!(!names.iter().any(|name| name.ends_with("IAM")), "{names:?}");
    network.advance(ms(5000));
    assert_eq!(network.answers(1), []);
    network.assert_idle();
}

#[test]
fn a_set_up_on_a_circuit_that_is_busy_here_resets_the_circuit() {
    let mut network = TestNetwork::new(2, 1);
    let call = network.offer_call(1, 2, 5, 0);
    network.deliver_all();
    network.answers(1);
    // Exchange 1 has lost the state of its call and seizes the circuit again: its set-up comes from another network.
    let mut other = TestNetwork::new(2, 1);
    other.offer_call(1, 2, 6, 0);
    let iam = other.take_sent(1, 2).concat();
    network.deliver(1, 2, &iam);
    let names = network.deliver_all();
    assert_eq!(names, ["2>1 RSC", "1>2 RLC"]);
    assert_eq!(network.ended_calls(1), [(call, CallEnd::Cut)]);
    network.assert_idle();
}

#[test]
fn a_call_to_a_busy_number_does_not_stand() {
    let mut network = TestNetwork::new(2, 31);
    network.offer_call(1, 2, 77, 0);
    network.deliver_all();
    let second = network.offer_call(1, 2, 77, 0);
    network.deliver_all();
    assert_eq!(
        network.answers(1).last().map(|(call, answer)| (*call, *answer == Answer::Stands)),
        Some((second, false))
    );
    assert_eq!(network.group_status(1, 2).free, 30);
}

#[test]
fn a_restarted_exchange_resets_its_groups_so_that_its_neighbours_clear_its_calls() {
    let mut network = TestNetwork::new(3, 31);
    let (own, theirs) = (network.offer_call(2, 1, 5, 0), network.offer_call(1, 2, 5, 0));
    network.deliver_all();
    // Exchange 1 crashes and restarts without its calls.
    let (control, actions) = network.exchanges.get_mut(&1).unwrap();
    *control = mintstall_callcontrol::CallControl::new(network.now, &common::config(1, &[2, 3], 31), 2, 9);
    actions.sent.clear();
    network.send_membership(1);
    for far in [2, 3] {
        network.with(far, |control, now, actions| control.link_down(now, actions, ExchangeNumber(1)));
        network.restore_link(1, far);
    }
    let names = network.deliver_all();
    assert!(names.contains(&"1>2 GRS".to_string()) && names.contains(&"2>1 GRA".to_string()), "{names:?}");
    assert_eq!(network.ended_calls(2), [(own, CallEnd::Cut)]);
    assert!(!network.with(1, |control, now, actions| control.hang_up(now, actions, theirs)));
    network.assert_idle();
    network.offer_call(1, 2, 8, 0);
    network.deliver_all();
    assert_eq!(network.answers(1).last().map(|(_, answer)| *answer), Some(Answer::Stands));
}

#[test]
fn failed_circuits_cut_their_calls_and_are_not_seized_until_they_are_restored() {
    let mut network = TestNetwork::new(2, 40);
    let calls: Vec<_> = (0..40).map(|dialled| network.offer_call(1, 2, dialled, 0)).collect();
    network.deliver_all();
    network.with(1, |control, now, actions| {
        control.set_circuits_in_service(now, actions, ExchangeNumber(2), 10)
    });
    network.deliver_all();
    assert_eq!(network.ended_calls(1).len(), 30);
    assert_eq!((network.group_status(1, 2).blocked, network.group_status(2, 1).blocked), (30, 30));
    assert_eq!((network.group_status(1, 2).standing, network.group_status(2, 1).standing), (10, 10));
    calls
        .into_iter()
        .for_each(|call| _ = network.with(1, |control, now, actions| control.hang_up(now, actions, call)));
    network.deliver_all();
    assert_eq!((network.group_status(1, 2).free, network.group_status(2, 1).free), (10, 10));
    network.with(1, |control, now, actions| {
        control.set_circuits_in_service(now, actions, ExchangeNumber(2), 40)
    });
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn frames_delivered_octet_by_octet_are_decoded() {
    let mut network = TestNetwork::new(2, 31);
    let call = network.offer_call(1, 2, 5, 0);
    let iam = network.take_sent(1, 2).concat();
    iam.iter().for_each(|octet| network.deliver(1, 2, &[*octet]));
    let back = network.take_sent(2, 1).concat();
    back.iter().for_each(|octet| network.deliver(2, 1, &[*octet]));
    assert_eq!(network.answers(1), [(call, Answer::Stands)]);
}

#[test]
fn invalid_octets_close_the_link_and_affect_no_other() {
    let mut network = TestNetwork::new(3, 31);
    network.deliver(1, 2, b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(network.exchanges[&2].1.closed[0].0, ExchangeNumber(1));
    network.break_link(1, 2);
    let call = network.offer_call(3, 2, 5, 0);
    network.deliver_all();
    assert_eq!(network.answers(3), [(call, Answer::Stands)]);
    // A valid frame with an invalid message is answered with an error and ignored.
    let mut octets = Vec::new();
    let data = ProtocolData {
        opc: 3,
        dpc: 2,
        service: m3ua::ISUP,
        network: 2,
        priority: 0,
        sls: 0,
        user: &[1, 0, 1, 0],
    };
    Frame::Data(data).write(&mut octets);
    network.deliver(3, 2, &octets);
    assert_eq!((network.counters(2).unexpected, network.group_status(2, 3).link), (2, LinkStatus::Up));
}

#[test]
fn a_silent_link_is_closed_and_an_active_one_is_not() {
    let mut network = TestNetwork::new(2, 31);
    for _ in 0..10 {
        network.advance(ms(5000));
        network.deliver_all();
    }
    assert!(network.exchanges[&1].1.closed.is_empty());
    for _ in 0..4 {
        network.advance(ms(5000));
        network.take_sent(2, 1);
        network.take_sent(1, 2);
    }
    assert_eq!(network.exchanges[&1].1.closed, [(ExchangeNumber(2), "heartbeats not answered".to_string())]);
}

// Guards against: a connection kept for good on which the far end never said a word, so that none in its place is opened.
#[test]
fn a_link_on_which_the_far_end_never_answers_is_closed() {
    for acknowledges_asp_up in [false, true] {
        let mut network = TestNetwork::new(2, 31);
        network.break_link(1, 2);
        network.restore_link(1, 2);
        if acknowledges_asp_up {
            network.take_sent(2, 1);
            network.take_sent(1, 2).iter().for_each(|octets| network.deliver(1, 2, octets));
            network.take_sent(2, 1).iter().for_each(|octets| network.deliver(2, 1, octets));
        }
        network.advance(ms(7900));
        assert!(network.exchanges[&1].1.closed.is_empty(), "three requests are repeated");
        network.advance(ms(2200));
        let why = "requests to open the link not answered".to_string();
        assert_eq!(network.exchanges[&1].1.closed, [(ExchangeNumber(2), why)]);
    }
}

// Guards against: calls kept for good at an exchange that is connected again and again and never opens the link.
#[test]
fn standing_calls_are_cut_after_the_grace_though_the_link_is_connected_again_and_never_opens() {
    let mut network = TestNetwork::new(2, 31);
    let call = network.offer_call(1, 2, 5, 0);
    network.deliver_all();
    assert_eq!(network.answers(1), [(call, Answer::Stands)]);
    network.break_link(1, 2);
    for _ in 0..3 {
        network.advance(ms(3000));
        network.restore_link(1, 2);
        network.advance(ms(100));
        network.break_link(1, 2);
    }
    assert!(network.ended_calls(1).is_empty(), "the grace is 10 s");
    network.advance(ms(1000));
    assert_eq!(network.ended_calls(1), [(call, CallEnd::Cut)]);
}

#[test]
fn a_tandem_is_used_only_with_spare_circuits_and_releases_both_sides() {
    let mut network = TestNetwork::new(3, 2);
    (0..2).for_each(|dialled| _ = network.offer_call(1, 2, dialled, 0));
    network.deliver_all();
    let third = network.offer_call(1, 2, 9, 0);
    assert!(network.take_sent(1, 3).is_empty(), "a tandem is used only with two circuits to spare");
    network.advance(ms(1500));
    assert!(network.answers(1).iter().any(|(call, answer)| *call == third && *answer != Answer::Stands));

    let mut network = TestNetwork::new(3, 4);
    (0..5).for_each(|dialled| {
        network.offer_call(1, 2, dialled, 0);
        network.deliver_all();
    });
    assert_eq!(
        (
            network.group_status(3, 1).standing,
            network.group_status(3, 2).standing,
            network.counters(3).transit
        ),
        (1, 1, 1)
    );
    // The called side releases all calls: the tandem passes the release from one side to the other.
    network.with(2, |control, now, actions| control.release_all(now, actions));
    network.deliver_all();
    assert_eq!(network.ended_calls(1).len(), 5);
    network.assert_idle();
}

#[test]
fn a_stopping_exchange_refuses_new_calls_and_answers_those_in_hand() {
    let mut network = TestNetwork::new(2, 31);
    let first = network.offer_call(1, 2, 5, 0);
    network.with(1, |control, _, _| control.stop());
    let second = network.offer_call(1, 2, 6, 0);
    assert_eq!(network.answers(1), [(second, Answer::Refused { retry_after: Duration::ZERO })]);
    assert!(network.exchanges[&1].0.has_pending_answers());
    network.deliver_all();
    assert_eq!(network.answers(1), [(first, Answer::Stands)]);
    assert!(!network.exchanges[&1].0.has_pending_answers());
    network.with(1, |control, now, actions| control.release_all(now, actions));
    assert_eq!(network.ended_calls(1), [(first, CallEnd::Cut)]);
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn an_audit_finds_a_call_unknown_to_the_other_end_and_frees_its_circuit() {
    let mut network = TestNetwork::new(2, 62);
    let call = network.offer_call(1, 2, 5, 0);
    network.deliver_all();
    // The release is lost and its completion is forged: without an audit the far end would keep the call forever.
    let live = network.offer_call(1, 2, 6, 0);
    network.deliver_all();
    network.with(1, |control, now, actions| control.hang_up(now, actions, call));
    assert_eq!(network.take_sent(1, 2).len(), 1);
    network.deliver(2, 1, &frame(2, 1, Cic(1), Body::Rlc { unknown_parameters: Vec::new() }));
    assert_eq!((network.group_status(1, 2).standing, network.group_status(2, 1).standing), (1, 2));
    // Two systems, and a query from each end every 30 s, or up to a quarter later: two queries of each system within
    // 150 s.
    for _ in 0..150 {
        network.advance(ms(1000));
        network.deliver_all();
    }
    assert_eq!((network.group_status(1, 2).standing, network.group_status(2, 1).standing), (1, 1));
    assert!(
        network.counters(1).stuck_found + network.counters(2).stuck_found >= 1,
        "either end may find the circuit first"
    );
    assert_eq!(network.ended_calls(1), [], "the live call is not affected");
    network.with(1, |control, now, actions| control.hang_up(now, actions, live));
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn calls_to_a_lost_exchange_still_listed_as_ready_are_all_answered() {
    let mut network = TestNetwork::new(3, 31);
    network.break_link(1, 2);
    let calls: Vec<_> = (0..6).map(|dialled| network.offer_call(1, 2, dialled, 0)).collect();
    network.advance(ms(3000));
    let answered: Vec<_> = network.answers(1).into_iter().map(|(call, _)| call).collect();
    assert!(
        calls.iter().all(|call| answered.iter().filter(|other| *other == call).count() == 1),
        "{answered:?}"
    );
    assert!(network.take_sent(1, 2).is_empty() && network.counters(1).seizures == 0);
}

#[test]
fn a_call_waiting_for_a_further_seizure_does_not_go_to_an_exchange_that_has_begun_to_drain() {
    use mintstall::interface::{ExchangeEntry, ExchangeId, ExchangeStatus, Zone};
    let mut network = TestNetwork::new(2, 31);
    let call = network.offer_call(1, 2, 5, 0);
    network.take_sent(1, 2);
    // The set-up is released because of congestion: the call waits for its next seizure.
    let cause = mintstall_isup::CauseIndicators::new(
        mintstall_isup::Location::Local,
        mintstall_isup::Q850::Congestion,
    );
    network.deliver(2, 1, &frame(2, 1, Cic(1), Body::Rel(mintstall_isup::Rel::new(cause))));
    network.take_sent(1, 2);
    assert_eq!(network.answers(1), []);
    let draining = ExchangeEntry {
        id: ExchangeId(20),
        number: ExchangeNumber(2),
        zone: Zone(0),
        status: ExchangeStatus::Draining,
        started: Duration::ZERO,
    };
    network.with(1, |control, now, actions| control.on_membership_changes(now, actions, &[draining]));
    network.advance(ms(3000));
    assert!(!network.take_sent(1, 2).iter().any(|octets| name(octets).as_deref() == Some("IAM")));
    assert!(matches!(network.answers(1)[..], [(answered, Answer::Refused { .. })] if answered == call));
}

#[test]
fn a_call_is_traced_by_its_number_at_its_origin_at_the_tandem_and_at_its_destination() {
    use mintstall_callcontrol::TraceStep;
    let mut network = TestNetwork::new(3, 4);
    let calls: Vec<_> = (0..5)
        .map(|dialled| {
            let call = network.offer_call(1, 2, dialled, 0);
            network.deliver_all();
            call
        })
        .collect();
    let over_tandem = calls[4];
    let kinds = |network: &TestNetwork, own: u16| -> Vec<String> {
        let control = &network.exchanges[&own].0;
        let traces: Vec<_> = control.traces_of(ExchangeNumber(1), over_tandem.0).collect();
        assert_eq!(traces.len(), 1, "at {own}");
        assert!(traces[0].max_open_seizures() <= 1);
        let kind =
            |step: &TraceStep| format!("{step:?}").split([' ', '(']).next().unwrap_or_default().to_string();
        traces[0].steps.iter().map(|(_, step)| kind(step)).collect()
    };
    network.with(1, |control, now, actions| control.hang_up(now, actions, over_tandem));
    network.deliver_all();
    assert_eq!(kinds(&network, 1), ["Offered", "Seized", "Alerted", "Stands", "Answered", "CallerGone"]);
    assert_eq!(kinds(&network, 3), ["Arrived", "Seized", "Alerted", "Stands", "CallerGone"]);
    assert_eq!(kinds(&network, 2), ["Arrived", "StandsHere", "CallerGone"]);
}

#[test]
fn a_trace_contains_every_seizure_with_its_end_and_one_answer() {
    use mintstall_callcontrol::TraceStep;
    let mut network = TestNetwork::new(2, 31);
    let call = network.offer_call(1, 2, 5, 0);
    network.take_sent(1, 2);
    for _ in 0..60 {
        network.advance(ms(50));
        // The far end does not answer set-ups, but completes releases.
        for octets in network.take_sent(1, 2) {
            if name(&octets).as_deref() == Some("REL") {
                (0..31).for_each(|index| {
                    network.deliver(
                        2,
                        1,
                        &frame(2, 1, Cic::from_index(index), Body::Rlc { unknown_parameters: Vec::new() }),
                    );
                });
            }
        }
    }
    let trace = network.exchanges[&1].0.trace(call).unwrap().clone();
    let seized = trace.steps.iter().filter(|(_, step)| matches!(step, TraceStep::Seized { .. })).count();
    let ended = trace.steps.iter().filter(|(_, step)| matches!(step, TraceStep::SeizureEnded { .. })).count();
    let answered = trace.steps.iter().filter(|(_, step)| matches!(step, TraceStep::Answered(_))).count();
    assert!(seized >= 1 && seized == ended && trace.max_open_seizures() == 1, "{trace:?}");
    assert_eq!(answered, 1);
    assert!(matches!(trace.last_step(), Some((_, TraceStep::Answered(_)))));
}

#[test]
fn releasing_all_calls_sends_no_set_up() {
    let mut network = TestNetwork::new(2, 31);
    // More calls than may be set up to one exchange at a time: the rest wait.
    let calls: Vec<_> = (0..8).map(|dialled| network.offer_call(1, 2, dialled, 0)).collect();
    let sent = network.take_sent(1, 2).len();
    assert!(sent < calls.len(), "some calls wait");
    network.with(1, |control, _, _| control.stop());
    network.with(1, |control, now, actions| control.release_all(now, actions));
    let names: Vec<_> = network.take_sent(1, 2).iter().filter_map(|octets| name(octets)).collect();
    assert_eq!(names, vec!["REL"; sent]);
    let answers = network.answers(1);
    assert!(answers.len() == 8 && answers.iter().all(|(_, answer)| *answer != Answer::Stands), "{answers:?}");
}

#[test]
fn releasing_all_calls_also_releases_seizures_that_may_not_be_cancelled() {
    let mut network = TestNetwork::new(2, 31);
    let mut config = common::config(1, &[2], 31);
    config.controller.may_cancel = false;
    network.exchanges.get_mut(&1).unwrap().0 =
        mintstall_callcontrol::CallControl::new(network.now, &config, 2, 9);
    network.send_membership(1);
    network.break_link(1, 2);
    network.restore_link(1, 2);
    network.deliver_all();
    // One caller waits for an answer, the other has gone: the seizures of both are open.
    let (gone, waits) = (network.offer_call(1, 2, 5, 0), network.offer_call(1, 2, 6, 0));
    network.with(1, |control, now, actions| control.hang_up(now, actions, gone));
    let iams = network.take_sent(1, 2);
    assert_eq!(iams.len(), 2);
    iams.iter().for_each(|iam| network.deliver(1, 2, iam));
    network.take_sent(2, 1);
    network.with(1, |control, now, actions| control.release_all(now, actions));
    network.deliver_all();
    assert_eq!(network.answers(1), [(gone, Answer::Fails), (waits, Answer::Fails)]);
    network.assert_idle();
}

#[test]
fn a_stopping_exchange_waits_for_calls_in_transit_and_for_incomplete_releases() {
    let mut network = TestNetwork::new(3, 4);
    (0..4).for_each(|dialled| _ = network.offer_call(1, 2, dialled, 0));
    network.deliver_all();
    let over_tandem = network.offer_call(1, 2, 9, 0);
    let iam = network.take_sent(1, 3).concat();
    network.deliver(1, 3, &iam);
    // The tandem is stopped while its onward set-up has no answer.
    network.with(3, |control, _, _| control.stop());
    assert!(network.exchanges[&3].0.has_unanswered_calls() && !network.exchanges[&3].0.has_pending_answers());
    network.answers(1);
    network.deliver_all();
    assert_eq!(network.answers(1), [(over_tandem, Answer::Stands)]);
    assert!(!network.exchanges[&3].0.has_unanswered_calls());
    network.with(3, |control, now, actions| control.release_all(now, actions));
    assert!(network.exchanges[&3].0.awaits_release());
    network.deliver_all();
    assert!(!network.exchanges[&3].0.awaits_release());
    // Releases on a link that is down are not waited for.
    network.with(1, |control, now, actions| control.release_all(now, actions));
    network.break_link(1, 2);
    assert!(!network.exchanges[&1].0.awaits_release());
}

#[test]
fn neighbours_of_a_failed_exchange_do_not_repeat_releases_resets_and_heartbeats_in_step() {
    let mut network = TestNetwork::new(12, 40);
    let calls: Vec<_> =
        (2..=12).map(|from| (from, network.offer_call(from, 1, u64::from(from), 0))).collect();
    network.deliver_all();
    // From now on exchange 1 answers nothing. All callers hang up at the same time.
    for (from, call) in &calls {
        network.with(*from, |control, now, actions| control.hang_up(now, actions, *call));
    }
    let mut sent_ms: std::collections::BTreeMap<String, Vec<u64>> = Default::default();
    let start = network.now;
    (2..=12).for_each(|from| _ = network.take_sent(from, 1));
    while network.now < start + ms(10_000) {
        network.advance(ms(10));
        for from in 2..=12 {
            for octets in network.take_sent(from, 1) {
                let name = name(&octets).unwrap_or_else(|| "link".to_string());
                sent_ms
                    .entry(format!("{name} of {from}"))
                    .or_default()
                    .push((network.now - start).as_millis() as u64);
            }
        }
    }
    for kind in ["REL", "RSC", "link"] {
        let firsts: Vec<u64> =
            (2..=12).filter_map(|from| sent_ms.get(&format!("{kind} of {from}"))?.first().copied()).collect();
        let mut distinct = firsts.clone();
        distinct.sort_unstable();
        distinct.dedup();
        assert!(firsts.len() == 11 && distinct.len() >= 6, "{kind}: {firsts:?}");
    }
}

#[test]
fn a_set_up_that_includes_a_circuit_being_released_is_released_at_once() {
    let mut network = TestNetwork::new(2, 4);
    // Exchange 1 seizes circuits 1, 3 and 4 and gives up at once; exchange 2 seizes 2, 3 and 4 before it receives the
    // set-up or its release.
    let gone = network.offer_call(1, 2, 5, 1);
    network.with(1, |control, now, actions| control.hang_up(now, actions, gone));
    let call = network.offer_call(2, 1, 6, 1);
    let iam = network.take_sent(2, 1).concat();
    network.deliver(2, 1, &iam);
    for _ in 0..30 {
        network.deliver_all();
        network.advance(ms(10));
    }
    network.deliver_all();
    assert_eq!(
        network.answers(2),
        [(call, Answer::Stands)],
        "without that release the call would wait until its time limit"
    );
    network.with(2, |control, now, actions| control.hang_up(now, actions, call));
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn a_set_up_that_prevailed_is_tried_again_when_the_far_end_releases_its_own() {
    let mut network = TestNetwork::new(2, 1);
    // Both ends seize the only circuit, which exchange 1 controls; the caller at exchange 2 hangs up before either
    // set-up arrives.
    let (low, high) = (network.offer_call(1, 2, 5, 0), network.offer_call(2, 1, 6, 0));
    network.with(2, |control, now, actions| control.hang_up(now, actions, high));
    for _ in 0..30 {
        network.deliver_all();
        network.advance(ms(10));
    }
    network.deliver_all();
    assert_eq!(network.answers(1), [(low, Answer::Stands)], "the number was never busy");
    network.with(1, |control, now, actions| control.hang_up(now, actions, low));
    network.deliver_all();
    network.assert_idle();
}

#[test]
fn a_prevailing_wide_set_up_survives_the_release_of_a_narrow_one_on_another_of_its_circuits() {
    let mut network = TestNetwork::new(2, 4);
    // Exchange 1 seizes circuit 3 and gives up; exchange 2 seizes circuits 2, 3 and 4 before it receives the set-up or
    // its release.
    let first = network.offer_call(1, 2, 4, 0);
    network.deliver_all();
    let gone = network.offer_call(1, 2, 5, 0);
    network.with(1, |control, now, actions| control.hang_up(now, actions, gone));
    let call = network.offer_call(2, 1, 6, 1);
    for octets in network.take_sent(1, 2) {
        network.deliver(1, 2, &octets);
    }
    let names: Vec<_> = network.take_sent(2, 1).iter().filter_map(|octets| name(octets)).collect();
    assert_eq!(names, ["IAM", "RLC"], "the release is completed");
    assert_eq!(
        (network.group_status(2, 1).seized, network.answers(2)),
        (3, vec![]),
        "its own set-up is still open"
    );
    network.with(2, |control, now, actions| control.hang_up(now, actions, call));
    network.with(1, |control, now, actions| control.hang_up(now, actions, first));
}

#[test]
fn a_waiting_call_does_not_seize_a_circuit_that_the_same_group_reset_resets_next() {
    let mut network = TestNetwork::new(2, 4);
    network.break_link(1, 2);
    (0..2).for_each(|dialled| _ = network.offer_call(1, 2, dialled, 0));
    network.advance(ms(3000));
    // The far end restarts as a new process. As it has not answered anything yet, one call is tried to it; another
    // call, three circuits wide, waits.
    let (control, actions) = network.exchanges.get_mut(&2).unwrap();
    *control = mintstall_callcontrol::CallControl::new(network.now, &common::config(2, &[1], 4), 4096, 9);
    actions.sent.clear();
    network.send_membership(2);
    network.restore_link(1, 2);
    let mut resets = Vec::new();
    for _ in 0..6 {
        network.take_sent(1, 2).iter().for_each(|octets| network.deliver(1, 2, octets));
        for octets in network.take_sent(2, 1) {
            match name(&octets).as_deref() {
                Some("GRS") => resets.push(octets),
                _ => network.deliver(2, 1, &octets),
            }
        }
    }
    (0..2).for_each(|call_type| _ = network.offer_call(1, 2, 8, call_type));
    let sent = |network: &mut TestNetwork| -> Vec<_> {
        network.take_sent(1, 2).iter().filter_map(|octets| name(octets)).collect()
    };
    assert_eq!(sent(&mut network), ["IAM"]);
    resets.iter().for_each(|octets| network.deliver(2, 1, octets));
    let names = sent(&mut network);
    assert!(
        names.first().is_some_and(|name| name == "GRA"),
        "a set-up sent before GRA is reset with the group: {names:?}"
    );
}
