//! One story for each trouble of links and circuits, with real offices at both ends.

mod common;

use std::time::Duration;

use common::{Table, ms, name};
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
    let mut table = Table::new(2, 31);
    let call = table.call(1, 2, 5, 0);
    assert_eq!(table.carry(), ["1>2 IAM", "2>1 ACM", "2>1 ANM"]);
    assert_eq!(table.answers(1), [(call, Answer::Stands)]);
    assert_eq!((table.group(1, 2).standing, table.group(2, 1).standing), (1, 1));
    assert!(table.with(1, |office, now, wires| office.hang_up(now, wires, call)));
    assert_eq!(table.carry(), ["1>2 REL", "2>1 RLC"]);
    table.all_quiet();
    assert!(!table.with(1, |office, now, wires| office.hang_up(now, wires, call)), "it is forgotten");
}

#[test]
fn a_wide_call_takes_its_circuits_at_both_ends_and_gives_all_back() {
    let mut table = Table::new(2, 40);
    let call = table.call(1, 2, 5, 1);
    table.carry();
    assert_eq!((table.group(1, 2).standing, table.group(2, 1).standing), (3, 3));
    table.with(1, |office, now, wires| office.hang_up(now, wires, call));
    table.carry();
    table.all_quiet();
}

#[test]
fn a_full_direct_group_sends_calls_over_a_tandem() {
    let mut table = Table::new(3, 4);
    // Four direct circuits, the last kept for none here: all calls earn alike per circuit.
    let calls: Vec<_> = (0..4).map(|no| table.call(1, 2, no, 0)).collect();
    table.carry();
    let round = table.call(1, 2, 9, 0);
    let names = table.carry();
    assert_eq!(names[..2], ["1>3 IAM", "3>2 IAM"]);
    assert!(table.answers(1).contains(&(round, Answer::Stands)));
    calls.into_iter().chain([round]).for_each(|call| {
        table.with(1, |office, now, wires| office.hang_up(now, wires, call));
    });
    table.carry();
    table.all_quiet();
}

#[test]
fn both_ends_seizing_the_last_circuit_leave_one_call_standing_and_both_answered() {
    let mut table = Table::new(2, 1);
    let (low, high) = (table.call(1, 2, 5, 0), table.call(2, 1, 6, 0));
    table.carry();
    // Circuit 1 is odd: the lower point code controls it.
    assert_eq!(table.answers(1), [(low, Answer::Stands)]);
    table.pass(ms(3000));
    table.carry();
    let answers = table.answers(2);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 == high && answers[0].1 != Answer::Stands);
    assert_eq!((table.tally(1).yielded, table.tally(2).yielded), (0, 1));
    table.with(1, |office, now, wires| office.hang_up(now, wires, low));
    table.carry();
    table.all_quiet();
}

#[test]
fn the_wider_of_two_calls_on_the_same_circuits_prevails() {
    let mut table = Table::new(2, 3);
    let (narrow, wide) = (table.call(1, 2, 5, 0), table.call(2, 1, 6, 1));
    table.carry();
    assert_eq!(table.answers(2), [(wide, Answer::Stands)]);
    table.pass(ms(3000));
    assert!(table.answers(1).iter().all(|(call, answer)| *call == narrow && *answer != Answer::Stands));
    table.with(2, |office, now, wires| office.hang_up(now, wires, wide));
    table.carry();
    table.all_quiet();
}

#[test]
fn a_yielded_circuit_is_not_seized_again_before_the_other_call_has_it() {
    let mut table = Table::new(2, 1);
    // A second call of the same exchange is held for the circuit that is yielded.
    let (_, second) = (table.call(2, 1, 6, 0), table.call(2, 1, 7, 0));
    let low = table.call(1, 2, 5, 0);
    let names = table.carry();
    assert_eq!(names.iter().filter(|name| name.contains("IAM")).count(), 2);
    assert_eq!(table.answers(1), [(low, Answer::Stands)]);
    table.with(1, |office, now, wires| office.hang_up(now, wires, low));
    table.carry();
    assert_eq!(table.answers(2), [(second, Answer::Stands)]);
}

#[test]
fn a_link_that_breaks_between_set_up_and_answer_costs_one_seizure_and_no_circuit() {
    let mut table = Table::new(2, 31);
    let call = table.call(1, 2, 5, 0);
    let iam = table.take(1, 2).concat();
    table.give(1, 2, &iam);
    table.cut(1, 2);
    assert_eq!(table.group(1, 2).resetting, 1);
    table.pass(ms(150));
    assert_eq!(table.take(1, 2).len(), 0, "the release time is awaited");
    table.mend(1, 2);
    let names = table.carry();
    assert!(names.contains(&"1>2 RSC".to_string()), "{names:?}");
    table.pass(ms(250));
    table.carry();
    assert_eq!(table.answers(1), [(call, Answer::Stands)], "a further attempt finds the link again");
    assert_eq!((table.group(1, 2).standing, table.group(2, 1).standing), (1, 1));
    assert_eq!((table.group(1, 2).resetting, table.group(2, 1).resetting), (0, 0));
}

#[test]
fn standing_calls_outlive_a_short_break_and_are_cut_by_a_long_one() {
    let mut table = Table::new(2, 31);
    let call = table.call(1, 2, 5, 0);
    table.carry();
    table.cut(1, 2);
    table.pass(ms(4000));
    table.mend(1, 2);
    table.carry();
    assert_eq!((table.group(1, 2).standing, table.ended(1)), (1, vec![]));
    table.cut(1, 2);
    table.pass(ms(10_000));
    assert_eq!(table.ended(1), [(call, CallEnd::Cut)]);
    table.mend(1, 2);
    table.carry();
    table.all_quiet();
}

#[test]
fn a_release_that_is_never_completed_is_repeated_then_the_circuit_reset() {
    let mut table = Table::new(2, 31);
    let call = table.call(1, 2, 5, 0);
    table.carry();
    table.with(1, |office, now, wires| office.hang_up(now, wires, call));
    let mut names = Vec::new();
    for _ in 0..10 {
        let sent = table.take(1, 2);
        names.extend(sent.iter().filter_map(|octets| name(octets)));
        table.pass(ms(1000));
    }
    assert_eq!(names, ["REL", "REL", "REL", "REL", "REL", "RSC"], "T1 one second, T5 five");
    assert_eq!(table.group(1, 2).resetting, 1, "and it stays taken");
    table.give(1, 2, &frame(1, 2, Cic(1), Body::Rsc));
    table.carry();
    table.all_quiet();
}

#[test]
fn a_set_up_that_times_out_keeps_its_circuit_until_the_far_end_lets_go() {
    let mut table = Table::new(2, 31);
    table.call(1, 2, 5, 0);
    let late = table.take(1, 2).concat();
    table.pass(ms(2100));
    let sent = table.take(1, 2);
    assert_eq!(sent.iter().filter_map(|octets| name(octets)).collect::<Vec<_>>(), ["REL"]);
    assert_eq!((table.group(1, 2).releasing, table.tally(1).timed_out), (1, 1));
    // The far end works on the old set-up all the same, then on its release.
    table.give(1, 2, &late);
    assert_eq!(table.group(2, 1).standing, 1);
    table.give(1, 2, &sent.concat());
    table.carry();
    assert_eq!((table.group(1, 2).free, table.group(2, 1).free), (31, 31));
    table.pass(ms(2000));
    assert_eq!(table.answers(1).len(), 1, "the answer that came too late changes nothing");
}

#[test]
fn a_caller_who_gives_up_is_answered_at_once_and_nothing_is_sent_after() {
    let mut table = Table::new(2, 31);
    let call = table.call(1, 2, 5, 0);
    let iam = table.take(1, 2).concat();
    table.with(1, |office, now, wires| office.hang_up(now, wires, call));
    assert_eq!(table.answers(1), [(call, Answer::Fails)]);
    table.give(1, 2, &iam);
    let names = table.carry();
    assert!(!names.iter().any(|name| name.ends_with("IAM")), "{names:?}");
    table.pass(ms(5000));
    assert_eq!(table.answers(1), []);
    table.all_quiet();
}

#[test]
fn a_set_up_for_a_circuit_that_is_held_busy_starts_both_ends_afresh() {
    let mut table = Table::new(2, 1);
    let call = table.call(1, 2, 5, 0);
    table.carry();
    table.answers(1);
    // Exchange 1 forgets its call, as if its memory were wrong, and seizes the circuit again.
    let mut other = Table::new(2, 1);
    other.call(1, 2, 6, 0);
    let iam = other.take(1, 2).concat();
    table.give(1, 2, &iam);
    let names = table.carry();
    assert_eq!(names, ["2>1 RSC", "1>2 RLC"]);
    assert_eq!(table.ended(1), [(call, CallEnd::Cut)]);
    table.all_quiet();
}

#[test]
fn a_busy_number_is_told_as_such() {
    let mut table = Table::new(2, 31);
    table.call(1, 2, 77, 0);
    table.carry();
    let second = table.call(1, 2, 77, 0);
    table.carry();
    assert_eq!(
        table.answers(1).last().map(|(call, answer)| (*call, *answer == Answer::Stands)),
        Some((second, false))
    );
    assert_eq!(table.group(1, 2).free, 30);
}

#[test]
fn a_restarted_controller_has_its_neighbours_forget_its_calls() {
    let mut table = Table::new(3, 31);
    let (own, theirs) = (table.call(2, 1, 5, 0), table.call(1, 2, 5, 0));
    table.carry();
    // 1 dies without a word and comes back with nothing.
    let (office, wires) = table.offices.get_mut(&1).unwrap();
    *office = mintstall_callcontrol::CallControl::new(table.now, &common::plan(1, &[2, 3], 31), 2, 9);
    wires.sent.clear();
    table.listed(1);
    for far in [2, 3] {
        table.with(far, |office, now, wires| office.link_down(now, wires, ExchangeNumber(1)));
        table.mend(1, far);
    }
    let names = table.carry();
    assert!(names.contains(&"1>2 GRS".to_string()) && names.contains(&"2>1 GRA".to_string()), "{names:?}");
    assert_eq!(table.ended(2), [(own, CallEnd::Cut)]);
    assert!(!table.with(1, |office, now, wires| office.hang_up(now, wires, theirs)));
    table.all_quiet();
    table.call(1, 2, 8, 0);
    table.carry();
    assert_eq!(table.answers(1).last().map(|(_, answer)| *answer), Some(Answer::Stands));
}

#[test]
fn circuits_that_fail_cut_their_calls_and_are_not_seized_until_they_come_back() {
    let mut table = Table::new(2, 40);
    let calls: Vec<_> = (0..40).map(|no| table.call(1, 2, no, 0)).collect();
    table.carry();
    table.with(1, |office, now, wires| office.circuits(now, wires, ExchangeNumber(2), 10));
    table.carry();
    assert_eq!(table.ended(1).len(), 30);
    assert_eq!((table.group(1, 2).blocked, table.group(2, 1).blocked), (30, 30));
    assert_eq!((table.group(1, 2).standing, table.group(2, 1).standing), (10, 10));
    calls
        .into_iter()
        .for_each(|call| _ = table.with(1, |office, now, wires| office.hang_up(now, wires, call)));
    table.carry();
    assert_eq!((table.group(1, 2).free, table.group(2, 1).free), (10, 10));
    table.with(1, |office, now, wires| office.circuits(now, wires, ExchangeNumber(2), 40));
    table.carry();
    table.all_quiet();
}

#[test]
fn frames_cut_at_every_octet_are_read_the_same() {
    let mut table = Table::new(2, 31);
    let call = table.call(1, 2, 5, 0);
    let iam = table.take(1, 2).concat();
    iam.iter().for_each(|octet| table.give(1, 2, &[*octet]));
    let back = table.take(2, 1).concat();
    back.iter().for_each(|octet| table.give(2, 1, &[*octet]));
    assert_eq!(table.answers(1), [(call, Answer::Stands)]);
}

#[test]
fn garbage_closes_the_link_and_harms_no_other() {
    let mut table = Table::new(3, 31);
    table.give(1, 2, b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(table.offices[&2].1.closed[0].0, ExchangeNumber(1));
    table.cut(1, 2);
    let call = table.call(3, 2, 5, 0);
    table.carry();
    assert_eq!(table.answers(3), [(call, Answer::Stands)]);
    // A frame that is one, with a message that is none, is answered and passed over.
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
    table.give(3, 2, &octets);
    assert_eq!((table.tally(2).unexpected, table.group(2, 3).link), (2, LinkStatus::Up));
}

#[test]
fn a_silent_link_is_closed_and_a_live_one_is_not() {
    let mut table = Table::new(2, 31);
    for _ in 0..10 {
        table.pass(ms(5000));
        table.carry();
    }
    assert!(table.offices[&1].1.closed.is_empty());
    for _ in 0..4 {
        table.pass(ms(5000));
        table.take(2, 1);
        table.take(1, 2);
    }
    assert_eq!(table.offices[&1].1.closed, [(ExchangeNumber(2), "no sign of life".to_string())]);
}

#[test]
fn a_tandem_needs_circuits_to_spare_and_lets_both_sides_go() {
    let mut table = Table::new(3, 2);
    (0..2).for_each(|no| _ = table.call(1, 2, no, 0));
    table.carry();
    let third = table.call(1, 2, 9, 0);
    assert!(table.take(1, 3).is_empty(), "a tandem is used only with two circuits to spare");
    table.pass(ms(1500));
    assert!(table.answers(1).iter().any(|(call, answer)| *call == third && *answer != Answer::Stands));

    let mut table = Table::new(3, 4);
    (0..5).for_each(|no| {
        table.call(1, 2, no, 0);
        table.carry();
    });
    assert_eq!((table.group(3, 1).standing, table.group(3, 2).standing, table.tally(3).transit), (1, 1, 1));
    // The called side lets all go: the release of one side of the tandem goes on to the other.
    table.with(2, |office, now, wires| office.release_all(now, wires));
    table.carry();
    assert_eq!(table.ended(1).len(), 5);
    table.all_quiet();
}

#[test]
fn a_stopping_office_takes_nothing_new_and_answers_all_it_has() {
    let mut table = Table::new(2, 31);
    let first = table.call(1, 2, 5, 0);
    table.with(1, |office, _, _| office.stop());
    let second = table.call(1, 2, 6, 0);
    assert_eq!(table.answers(1), [(second, Answer::Refused { retry_after: Duration::ZERO })]);
    assert!(table.offices[&1].0.owes());
    table.carry();
    assert_eq!(table.answers(1), [(first, Answer::Stands)]);
    assert!(!table.offices[&1].0.owes());
    table.with(1, |office, now, wires| office.release_all(now, wires));
    assert_eq!(table.ended(1), [(first, CallEnd::Cut)]);
    table.carry();
    table.all_quiet();
}

#[test]
fn a_call_of_which_the_far_end_knows_nothing_is_found_and_its_circuit_freed() {
    let mut table = Table::new(2, 62);
    let call = table.call(1, 2, 5, 0);
    table.carry();
    // The release is lost on the way, and its completion made up: the far end holds the call for good.
    let live = table.call(1, 2, 6, 0);
    table.carry();
    table.with(1, |office, now, wires| office.hang_up(now, wires, call));
    assert_eq!(table.take(1, 2).len(), 1);
    table.give(2, 1, &frame(2, 1, Cic(1), Body::Rlc { unknown_parameters: Vec::new() }));
    assert_eq!((table.group(1, 2).standing, table.group(2, 1).standing), (1, 2));
    // Two systems, a look every 30 s or a quarter more, from each end: two looks at each system within 150 s.
    for _ in 0..150 {
        table.pass(ms(1000));
        table.carry();
    }
    assert_eq!((table.group(1, 2).standing, table.group(2, 1).standing), (1, 1));
    assert!(table.tally(1).stuck_found + table.tally(2).stuck_found >= 1, "either end may find it first");
    assert_eq!(table.ended(1), [], "the live call is left alone");
    table.with(1, |office, now, wires| office.hang_up(now, wires, live));
    table.carry();
    table.all_quiet();
}

#[test]
fn an_exchange_that_the_roster_still_lists_as_ready_but_is_gone_costs_no_call_its_answer() {
    let mut table = Table::new(3, 31);
    table.cut(1, 2);
    let calls: Vec<_> = (0..6).map(|no| table.call(1, 2, no, 0)).collect();
    table.pass(ms(3000));
    let answered: Vec<_> = table.answers(1).into_iter().map(|(call, _)| call).collect();
    assert!(
        calls.iter().all(|call| answered.iter().filter(|other| *other == call).count() == 1),
        "{answered:?}"
    );
    assert!(table.take(1, 2).is_empty() && table.tally(1).seizures == 0);
}

#[test]
fn a_drain_told_while_a_call_waits_for_a_further_seizure_keeps_it_from_going_there() {
    use mintstall::interface::{ExchangeEntry, ExchangeId, ExchangeStatus, Zone};
    let mut table = Table::new(2, 31);
    let call = table.call(1, 2, 5, 0);
    table.take(1, 2);
    // Turned away for now: the call waits for its next seizure.
    let cause = mintstall_isup::CauseIndicators::new(
        mintstall_isup::Location::Local,
        mintstall_isup::Q850::Congestion,
    );
    table.give(2, 1, &frame(2, 1, Cic(1), Body::Rel(mintstall_isup::Rel::new(cause))));
    table.take(1, 2);
    assert_eq!(table.answers(1), []);
    let drains = ExchangeEntry {
        id: ExchangeId(20),
        number: ExchangeNumber(2),
        zone: Zone(0),
        status: ExchangeStatus::Draining,
        started: Duration::ZERO,
    };
    table.with(1, |office, now, wires| office.roster_changes(now, wires, &[drains]));
    table.pass(ms(3000));
    assert!(!table.take(1, 2).iter().any(|octets| name(octets).as_deref() == Some("IAM")));
    assert!(matches!(table.answers(1)[..], [(answered, Answer::Refused { .. })] if answered == call));
}

#[test]
fn a_call_is_followed_by_its_number_from_the_caller_over_the_tandem_to_the_number_called() {
    use mintstall_callcontrol::TraceStep;
    let mut table = Table::new(3, 4);
    let calls: Vec<_> = (0..5)
        .map(|no| {
            let call = table.call(1, 2, no, 0);
            table.carry();
            call
        })
        .collect();
    let round = calls[4];
    let kinds = |table: &Table, own: u16| -> Vec<String> {
        let office = &table.offices[&own].0;
        let traces: Vec<_> = office.traces_of(ExchangeNumber(1), round.0).collect();
        assert_eq!(traces.len(), 1, "at {own}");
        assert!(traces[0].seizures_out() <= 1);
        let kind =
            |step: &TraceStep| format!("{step:?}").split([' ', '(']).next().unwrap_or_default().to_string();
        traces[0].steps.iter().map(|(_, step)| kind(step)).collect()
    };
    table.with(1, |office, now, wires| office.hang_up(now, wires, round));
    table.carry();
    assert_eq!(kinds(&table, 1), ["Offered", "Seized", "Alerted", "Stands", "Answered", "CallerGone"]);
    assert_eq!(kinds(&table, 3), ["Arrived", "Seized", "Alerted", "Stands", "CallerGone"]);
    assert_eq!(kinds(&table, 2), ["Arrived", "StandsHere", "CallerGone"]);
}

#[test]
fn a_trace_tells_every_seizure_and_why_it_ended_and_one_answer() {
    use mintstall_callcontrol::TraceStep;
    let mut table = Table::new(2, 31);
    let call = table.call(1, 2, 5, 0);
    table.take(1, 2);
    for _ in 0..60 {
        table.pass(ms(50));
        // The far end says nothing to set-ups, and completes releases.
        for octets in table.take(1, 2) {
            if name(&octets).as_deref() == Some("REL") {
                (0..31).for_each(|place| {
                    table.give(
                        2,
                        1,
                        &frame(2, 1, Cic::from_index(place), Body::Rlc { unknown_parameters: Vec::new() }),
                    );
                });
            }
        }
    }
    let trace = table.offices[&1].0.trace(call).unwrap().clone();
    let seized = trace.steps.iter().filter(|(_, step)| matches!(step, TraceStep::Seized { .. })).count();
    let ended = trace.steps.iter().filter(|(_, step)| matches!(step, TraceStep::SeizureEnded { .. })).count();
    let answered = trace.steps.iter().filter(|(_, step)| matches!(step, TraceStep::Answered(_))).count();
    assert!(seized >= 1 && seized == ended && trace.seizures_out() == 1, "{trace:?}");
    assert_eq!(answered, 1);
    assert!(matches!(trace.last(), Some((_, TraceStep::Answered(_)))));
}

#[test]
fn letting_all_go_sends_no_set_up() {
    let mut table = Table::new(2, 31);
    // More calls than may be out to one exchange at a time: the rest are held.
    let calls: Vec<_> = (0..8).map(|no| table.call(1, 2, no, 0)).collect();
    let sent = table.take(1, 2).len();
    assert!(sent < calls.len(), "some are held");
    table.with(1, |office, _, _| office.stop());
    table.with(1, |office, now, wires| office.release_all(now, wires));
    let names: Vec<_> = table.take(1, 2).iter().filter_map(|octets| name(octets)).collect();
    assert_eq!(names, vec!["REL"; sent]);
    let answers = table.answers(1);
    assert!(answers.len() == 8 && answers.iter().all(|(_, answer)| *answer != Answer::Stands), "{answers:?}");
}

#[test]
fn letting_all_go_releases_what_may_not_be_cancelled_too() {
    let mut table = Table::new(2, 31);
    let mut plan = common::plan(1, &[2], 31);
    plan.data.may_cancel = false;
    table.offices.get_mut(&1).unwrap().0 = mintstall_callcontrol::CallControl::new(table.now, &plan, 2, 9);
    table.listed(1);
    table.cut(1, 2);
    table.mend(1, 2);
    table.carry();
    // One caller waits for an answer, one has gone: the seizures of both are out.
    let (gone, waits) = (table.call(1, 2, 5, 0), table.call(1, 2, 6, 0));
    table.with(1, |office, now, wires| office.hang_up(now, wires, gone));
    let iams = table.take(1, 2);
    assert_eq!(iams.len(), 2);
    iams.iter().for_each(|iam| table.give(1, 2, iam));
    table.take(2, 1);
    table.with(1, |office, now, wires| office.release_all(now, wires));
    table.carry();
    assert_eq!(table.answers(1), [(gone, Answer::Fails), (waits, Answer::Fails)]);
    table.all_quiet();
}

#[test]
fn a_stop_waits_for_calls_in_transit_and_for_releases_to_be_completed() {
    let mut table = Table::new(3, 4);
    (0..4).for_each(|no| _ = table.call(1, 2, no, 0));
    table.carry();
    let round = table.call(1, 2, 9, 0);
    let iam = table.take(1, 3).concat();
    table.give(1, 3, &iam);
    // The tandem is told to stop while its onward set-up is out.
    table.with(3, |office, _, _| office.stop());
    assert!(table.offices[&3].0.has_unanswered_calls() && !table.offices[&3].0.owes());
    table.answers(1);
    table.carry();
    assert_eq!(table.answers(1), [(round, Answer::Stands)]);
    assert!(!table.offices[&3].0.has_unanswered_calls());
    table.with(3, |office, now, wires| office.release_all(now, wires));
    assert!(table.offices[&3].0.awaits_release());
    table.carry();
    assert!(!table.offices[&3].0.awaits_release());
    // A link that is down has nothing to complete.
    table.with(1, |office, now, wires| office.release_all(now, wires));
    table.cut(1, 2);
    assert!(!table.offices[&1].0.awaits_release());
}

#[test]
fn neighbours_of_a_dead_exchange_do_not_repeat_their_releases_resets_and_signs_of_life_in_step() {
    let mut table = Table::new(12, 40);
    let calls: Vec<_> = (2..=12).map(|from| (from, table.call(from, 1, u64::from(from), 0))).collect();
    table.carry();
    // 1 takes all and answers nothing from now on: all hang up at one instant.
    for (from, call) in &calls {
        table.with(*from, |office, now, wires| office.hang_up(now, wires, *call));
    }
    let mut when: std::collections::BTreeMap<String, Vec<u64>> = Default::default();
    let start = table.now;
    (2..=12).for_each(|from| _ = table.take(from, 1));
    while table.now < start + ms(10_000) {
        table.pass(ms(10));
        for from in 2..=12 {
            for octets in table.take(from, 1) {
                let name = name(&octets).unwrap_or_else(|| "link".to_string());
                when.entry(format!("{name} of {from}"))
                    .or_default()
                    .push((table.now - start).as_millis() as u64);
            }
        }
    }
    for kind in ["REL", "RSC", "link"] {
        let firsts: Vec<u64> =
            (2..=12).filter_map(|from| when.get(&format!("{kind} of {from}"))?.first().copied()).collect();
        let mut apart = firsts.clone();
        apart.sort_unstable();
        apart.dedup();
        assert!(firsts.len() == 11 && apart.len() >= 6, "{kind}: {firsts:?}");
    }
}

#[test]
fn a_set_up_that_meets_a_release_on_another_circuit_is_turned_away_with_a_word() {
    let mut table = Table::new(2, 4);
    // 1 takes circuits 1, 3 and 4 and gives up at once; 2 takes 2, 3 and 4 before it hears of either.
    let gone = table.call(1, 2, 5, 1);
    table.with(1, |office, now, wires| office.hang_up(now, wires, gone));
    let call = table.call(2, 1, 6, 1);
    let iam = table.take(2, 1).concat();
    table.give(2, 1, &iam);
    for _ in 0..30 {
        table.carry();
        table.pass(ms(10));
    }
    table.carry();
    assert_eq!(table.answers(2), [(call, Answer::Stands)], "no sooner than its limit without that word");
    table.with(2, |office, now, wires| office.hang_up(now, wires, call));
    table.carry();
    table.all_quiet();
}

#[test]
fn a_set_up_that_prevailed_is_tried_again_when_the_far_end_gives_up_its_own() {
    let mut table = Table::new(2, 1);
    // Both seize the one circuit, which 1 controls; the caller of 2 hangs up before either set-up arrives.
    let (low, high) = (table.call(1, 2, 5, 0), table.call(2, 1, 6, 0));
    table.with(2, |office, now, wires| office.hang_up(now, wires, high));
    for _ in 0..30 {
        table.carry();
        table.pass(ms(10));
    }
    table.carry();
    assert_eq!(table.answers(1), [(low, Answer::Stands)], "the number was never busy");
    table.with(1, |office, now, wires| office.hang_up(now, wires, low));
    table.carry();
    table.all_quiet();
}

#[test]
fn a_wide_set_up_that_prevailed_outlives_the_release_of_a_narrow_one_beside_it() {
    let mut table = Table::new(2, 4);
    // 1 seizes circuit 3 and gives up; 2 seizes circuits 2, 3 and 4 before it hears of either.
    let first = table.call(1, 2, 4, 0);
    table.carry();
    let gone = table.call(1, 2, 5, 0);
    table.with(1, |office, now, wires| office.hang_up(now, wires, gone));
    let call = table.call(2, 1, 6, 1);
    for octets in table.take(1, 2) {
        table.give(1, 2, &octets);
    }
    let names: Vec<_> = table.take(2, 1).iter().filter_map(|octets| name(octets)).collect();
    assert_eq!(names, ["IAM", "RLC"], "the release is completed");
    assert_eq!((table.group(2, 1).seized, table.answers(2)), (3, vec![]), "and its own set-up is out still");
    table.with(2, |office, now, wires| office.hang_up(now, wires, call));
    table.with(1, |office, now, wires| office.hang_up(now, wires, first));
}

#[test]
fn a_group_reset_gives_no_held_call_a_circuit_that_it_resets_next() {
    let mut table = Table::new(2, 4);
    table.cut(1, 2);
    (0..2).for_each(|no| _ = table.call(1, 2, no, 0));
    table.pass(ms(3000));
    // The far end comes back as a new process. Silent so far, it is tried with one call; one three circuits wide is held.
    let (office, wires) = table.offices.get_mut(&2).unwrap();
    *office = mintstall_callcontrol::CallControl::new(table.now, &common::plan(2, &[1], 4), 4096, 9);
    wires.sent.clear();
    table.listed(2);
    table.mend(1, 2);
    let mut resets = Vec::new();
    for _ in 0..6 {
        table.take(1, 2).iter().for_each(|octets| table.give(1, 2, octets));
        for octets in table.take(2, 1) {
            match name(&octets).as_deref() {
                Some("GRS") => resets.push(octets),
                _ => table.give(2, 1, &octets),
            }
        }
    }
    (0..2).for_each(|wide| _ = table.call(1, 2, 8, wide));
    let sent =
        |table: &mut Table| -> Vec<_> { table.take(1, 2).iter().filter_map(|octets| name(octets)).collect() };
    assert_eq!(sent(&mut table), ["IAM"]);
    resets.iter().for_each(|octets| table.give(2, 1, octets));
    let names = sent(&mut table);
    assert!(
        names.first().is_some_and(|name| name == "GRA"),
        "a set-up before it is reset with it: {names:?}"
    );
}
