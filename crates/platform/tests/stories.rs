//! Tests of the core with a recording transport, in virtual time: one for each rule, and one for each failure that once
//! occurred.

mod common;

use std::collections::BTreeMap;

use common::*;
use mintstall_platform::exchange_protocol::{self, MessageType, WireCallId, parameter};
use mintstall_platform::{CallerConnectionId, Disconnect, LinkId};
use serde_json::json;

#[test]
fn a_call_is_set_up_answered_with_the_exchanges_description_and_released_by_it() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_invite(1, 7);
    let [(link, 7)] = platform.set_ups_sent()[..] else { panic!("expected one set-up") };
    platform.advance(ms(40));
    platform.answer(link, 7);
    assert_eq!(platform.transport.caller_messages[0].2, SDP, "unchanged");
    assert_eq!(platform.messages_to_callers(), ["1: 200 INVITE"]);
    platform.send_from_caller(1, &request("ACK", 7));
    platform.answer(link, 7);
    platform.answer(link, 99);
    assert!(
        platform.messages_to_callers().is_empty(),
        "duplicate answers and answers to unknown ids change nothing"
    );
    let other = platform.links(1).into_iter().find(|other| *other != link).unwrap();
    platform.release(other, 7, 16);
    platform.release(link, 7, 16);
    assert_eq!(
        platform.messages_to_callers(),
        ["1: BYE Q.850;cause=16"],
        "sent once, although it arrived on two links"
    );
}

#[test]
fn a_caller_can_release_on_any_connection_and_gets_unconfirmed_releases_on_the_next_one() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, 7);
    platform.connect_caller(2);
    platform.send_from_caller(2, &request("BYE", 7));
    assert_eq!(platform.messages_to_callers(), ["2: 200 BYE"]);
    assert!(
        platform
            .transport
            .link_messages
            .iter()
            .any(|message| (message.1, message.2.0, message.3) == (MessageType::Release, 7, Some(16)))
    );
    let link = platform.set_up_call(1, 8);
    platform.core.caller_disconnected(platform.transport.now, &mut platform.transport, CallerConnectionId(1));
    platform.core.caller_disconnected(platform.transport.now, &mut platform.transport, CallerConnectionId(2));
    platform.release(link, 8, 41);
    assert!(platform.messages_to_callers().is_empty());
    platform.connect_caller(3);
    platform.send_from_caller(3, &request("OPTIONS", 0));
    assert_eq!(platform.messages_to_callers(), ["3: BYE Q.850;cause=41", "3: 200 OPTIONS"]);
    platform.core.caller_disconnected(platform.transport.now, &mut platform.transport, CallerConnectionId(3));
    platform.connect_caller(4);
    platform.send_from_caller(4, &request("OPTIONS", 0));
    assert_eq!(
        platform.messages_to_callers(),
        ["4: BYE Q.850;cause=41", "4: 200 OPTIONS"],
        "sent again, since the connection closed before the first was confirmed"
    );
    platform.send_from_caller(
        4,
        "SIP/2.0 200 OK\r\nCall-ID: 0000000000000008\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n",
    );
    platform.core.caller_disconnected(platform.transport.now, &mut platform.transport, CallerConnectionId(4));
    platform.connect_caller(5);
    platform.send_from_caller(5, &request("OPTIONS", 0));
    assert_eq!(platform.messages_to_callers(), ["5: 200 OPTIONS"], "not sent again, since it was confirmed");
}

#[test]
fn a_call_to_an_unknown_exchange_is_rejected_at_once() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_from_caller(1, &invite(7, "dest:9;width:1;via:-1", "1500", "hello"));
    let (_, what, _) = platform.transport.caller_messages[0].clone();
    assert_eq!(
        (what.as_str(), platform.transport.caller_messages.len()),
        ("503 INVITE", 1),
        "no exchange has that number"
    );
}

#[test]
fn a_set_up_that_times_out_is_released_and_sent_again_on_another_link_after_the_release_wait() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_invite(1, 7);
    let [(link, 7)] = platform.set_ups_sent()[..] else { panic!("expected one set-up") };
    platform.advance(ms(820));
    assert!(
        platform
            .transport
            .link_messages
            .iter()
            .any(|message| (message.0, message.1, message.3) == (link, MessageType::Release, Some(16)))
    );
    platform.advance(ms(320));
    let set_ups = platform.set_ups_sent();
    let [(next, 7)] = set_ups[..] else { panic!("expected one further set-up, not {set_ups:?}") };
    assert_ne!(next, link);
    platform.answer(link, 7);
    assert!(
        platform.messages_to_callers().is_empty(),
        "a late answer to the first set-up does not answer the second"
    );
    platform.answer(next, 7);
    assert_eq!(platform.messages_to_callers(), ["1: 200 INVITE"]);
}

#[test]
fn a_silent_link_gets_no_more_set_ups_but_is_still_read_for_releases() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    let silent = platform.set_up_call(1, 6);
    platform.advance(ms(10));
    platform.send_invite(1, 7);
    assert_eq!(platform.set_ups_sent(), [(silent, 7)], "the link with the fewest open set-ups");
    platform.advance(ms(810));
    assert!(!platform.transport.closed_links.contains(&silent));
    platform.connect_links();
    (10..18).for_each(|id| platform.send_invite(1, id));
    assert!(platform.set_ups_sent().iter().all(|(link, _)| *link != silent));
    platform.messages_to_callers();
    platform.release(silent, 6, 16);
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=16"]);
    // The link has data again. Closing it in one direction only lets a release that is on its way arrive.
    platform.send_from_caller(1, &invite(20, "at:one", "1500", "hello"));
    let other = platform.links(1).into_iter().find(|other| *other != silent).unwrap();
    for _ in 0..4 {
        platform.advance(ms(1000));
        platform.report_free(other, 10);
    }
    platform.advance(ms(400));
    assert_eq!(
        platform.transport.half_closed_links.first(),
        Some(&silent),
        "half-closed after the drain period, but read until its end"
    );
    assert!(!platform.transport.closed_links.contains(&silent));
    platform.messages_to_callers();
    platform.release(silent, 20, 16);
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=16"]);
    platform.advance(ms(2000));
    assert!(platform.transport.closed_links.contains(&silent));
}

#[test]
fn calls_get_a_final_answer_in_time_if_no_exchange_answers() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    (1..=20).for_each(|id| platform.send_invite(1, id));
    platform.advance(ms(1500));
    assert_eq!(platform.messages_to_callers().len(), 20, "one each, as checked by rule 1");
    platform.advance(ms(5000));
    assert!(platform.messages_to_callers().is_empty());
}

#[test]
fn the_seizure_is_given_up_when_the_caller_cancels_or_disconnects() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_invite(1, 7);
    let [(link, 7)] = platform.set_ups_sent()[..] else { panic!("expected one set-up") };
    platform.connect_caller(2);
    platform.send_from_caller(2, &request("CANCEL", 7));
    assert_eq!(platform.messages_to_callers(), ["2: 481 CANCEL"], "the call belongs to another connection");
    platform.send_from_caller(1, &request("CANCEL", 7));
    assert_eq!(platform.messages_to_callers(), ["1: 200 CANCEL", "1: 487 INVITE"]);
    platform.answer(link, 7);
    assert!(platform.messages_to_callers().is_empty(), "an answer that crossed the release");
    assert!(
        platform
            .transport
            .link_messages
            .iter()
            .any(|message| (message.1, message.2.0) == (MessageType::Release, 7))
    );
    platform.advance(ms(2000));
    assert!(platform.messages_to_callers().is_empty(), "nothing follows the final answer");
    platform.send_invite(1, 8);
    platform.set_ups_sent();
    platform.core.caller_disconnected(platform.transport.now, &mut platform.transport, CallerConnectionId(1));
    assert!(
        platform
            .transport
            .link_messages
            .iter()
            .any(|message| (message.1, message.2.0) == (MessageType::Release, 8))
    );
}

#[test]
fn an_unreadable_message_closes_the_link_and_ends_its_set_ups_but_no_standing_call() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, 6);
    (10..13).for_each(|id| platform.send_invite(1, id));
    let set_ups = platform.set_ups_sent();
    let (link, id) = set_ups[0];
    let mut answer = Vec::new();
    exchange_protocol::encode(
        &mut answer,
        MessageType::Answer,
        WireCallId(id),
        &[(parameter::DESCRIPTION, SDP)],
    );
    answer[0] = 0xff;
    platform.core.link_data(platform.transport.now, &mut platform.transport, link, &answer);
    assert!(platform.transport.closed_links.contains(&link));
    assert!(platform.messages_to_callers().is_empty(), "nothing unreadable is passed on");
    platform.connect_links();
    platform.advance(ms(320));
    let again = platform.set_ups_sent();
    assert!(
        again.iter().any(|(next, next_id)| *next_id == id && *next != link),
        "sent again after the release wait: {again:?}"
    );
    let (other, other_id) = set_ups[1];
    platform.answer(other, other_id);
    assert_eq!(platform.messages_to_callers(), ["1: 200 INVITE"], "calls on other links go on");
    platform.release(other, 6, 16);
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=16"]);
}

#[test]
fn a_link_with_an_incomplete_message_is_closed_after_a_time_out() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_invite(1, 7);
    let [(link, 7)] = platform.set_ups_sent()[..] else { panic!("expected one set-up") };
    platform.core.link_data(platform.transport.now, &mut platform.transport, link, &[0, 200, 9]);
    platform.advance(ms(500));
    assert!(!platform.transport.closed_links.contains(&link));
    platform.advance(ms(600));
    assert!(platform.transport.closed_links.contains(&link));
}

#[test]
fn a_late_copy_of_a_report_does_not_raise_the_number_of_free_circuits() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    let links = platform.links(1);
    links.iter().for_each(|link| platform.report_free(*link, 0));
    let two = platform.links(2)[0];
    platform.report_free(two, 0);
    platform.report_free(links[0], 1);
    platform.send_invite(1, 7);
    assert_eq!(platform.set_ups_sent().len(), 1);
    platform.report_free(links[1], 1);
    platform.send_invite(1, 8);
    assert_eq!(platform.set_ups_sent(), [], "the only free circuit is taken");
    platform.report_free(links[0], 0);
    platform.core.link_disconnected(
        platform.transport.now,
        &mut platform.transport,
        links[0],
        Disconnect::Lost,
    );
    platform.report_free(links[1], 1);
    assert_eq!(
        platform.set_ups_sent().len(),
        1,
        "the next link's reports are used once the first link is lost"
    );
}

#[test]
fn a_draining_exchange_gets_no_set_ups_not_even_queued_ones() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.lose_links(1);
    platform.send_invite(1, 7);
    assert_eq!(platform.set_ups_sent(), [], "no link is up");
    platform.bus_event(2, false, &[target("one", 1, "terminating", 0)]);
    platform
        .transport
        .rules
        .draining_since
        .insert("10.0.0.1:3868".parse().unwrap(), platform.transport.now - DRAIN_GRACE - ms(1));
    platform.connect_links();
    assert_eq!(platform.set_ups_sent(), []);
    platform.advance(ms(1500));
    assert_eq!(platform.messages_to_callers().len(), 1, "the call is answered all the same");
}

#[test]
fn a_refused_connection_fails_queued_set_ups_and_ends_the_calls_of_the_dead_exchange() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, 6);
    platform.lose_links(1);
    assert!(platform.messages_to_callers().is_empty(), "lost links alone end no call");
    platform.send_invite(1, 7);
    for link in platform.links(1) {
        platform.core.link_disconnected(
            platform.transport.now,
            &mut platform.transport,
            link,
            Disconnect::Refused,
        );
    }
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=41"]);
    platform.advance(ms(1500));
    assert_eq!(platform.messages_to_callers().len(), 1, "call 7 has its answer, too");
}

#[test]
fn calls_end_when_their_exchange_is_replaced_or_restarted() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, 6);
    platform.advance(ms(1000));
    platform.bus_event(2, false, &[target("one", 1, "terminated", 0), target("uno", 1, "in_service", 0)]);
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=41"]);
    platform.connect_links();
    platform.set_up_call(1, 7);
    let boot = (platform.transport.now + ms(500)).as_millis() as u64;
    platform.advance(ms(2000));
    platform.bus_event(3, false, &[target("uno", 1, "in_service", boot)]);
    assert_eq!(
        platform.messages_to_callers(),
        ["1: BYE Q.850;cause=41"],
        "a restart ends the calls that stood before it"
    );
}

#[test]
fn a_silent_or_unreadable_bus_is_reconnected_and_resumed_from_the_last_offset() {
    let mut platform = Platform::start();
    assert_eq!(platform.transport.bus_steps.last().unwrap(), "from 1\n");
    platform.bus_event(2, false, &[target("two", 2, "terminating", 0)]);
    platform.bus_line("{\"offset\":3,\"topo\n");
    platform.advance(ms(300));
    platform.connect_bus();
    assert_eq!(platform.transport.bus_steps.last().unwrap(), "from 2\n");
    for _ in 0..5 {
        platform.advance(ms(1000));
        platform.bus_line("2\n");
    }
    assert_eq!(
        platform.transport.bus_steps.last().unwrap(),
        "from 2\n",
        "the pulse keeps the connection open"
    );
    platform.advance(ms(3000));
    assert!(
        platform.transport.bus_steps.last().unwrap().starts_with("connect"),
        "{:?}",
        platform.transport.bus_steps
    );
}

#[test]
fn a_new_configuration_moves_the_bus_and_keeps_the_offset() {
    let mut platform = Platform::start();
    platform.bus_event(2, false, &[target("two", 2, "terminating", 0)]);
    let moved = config_with(|config| config["bus"] = json!("127.0.0.1:4999")).unwrap();
    platform.core.reconfigure(platform.transport.now, &mut platform.transport, &moved);
    assert_eq!(platform.transport.bus_steps.last().unwrap(), "connect 127.0.0.1:4999");
    platform.connect_bus();
    assert_eq!(platform.transport.bus_steps.last().unwrap(), "from 2\n");
}

#[test]
fn a_shutdown_answers_all_accepted_calls_and_ends_no_standing_call() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, 6);
    platform.send_invite(1, 7);
    let [(link, 7)] = platform.set_ups_sent()[..] else { panic!("expected one set-up") };
    platform.core.stop(platform.transport.now, &mut platform.transport);
    platform.advance(ms(600));
    platform.send_invite(1, 8);
    assert!(!platform.core.is_shutdown_complete(platform.transport.now));
    platform.answer(link, 7);
    platform.advance(ms(3000));
    let messages = platform.messages_to_callers();
    assert_eq!(
        (messages.len(), platform.core.is_shutdown_complete(platform.transport.now)),
        (2, true),
        "{messages:?}"
    );
    assert!(messages.iter().all(|message| !message.contains("BYE")));
}

#[test]
fn a_set_up_long_after_the_signal_to_stop_is_refused_at_once() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_from_caller(1, &request("OPTIONS", 0));
    platform.messages_to_callers();
    platform.core.stop(platform.transport.now, &mut platform.transport);
    platform.advance(ms(600));
    assert!(!platform.core.is_shutdown_complete(platform.transport.now), "set-ups may still arrive");
    platform.advance(ms(200));
    assert_eq!(
        platform.transport.closed_callers,
        [CallerConnectionId(1)],
        "the connection is no longer needed"
    );
    assert!(platform.core.is_shutdown_complete(platform.transport.now));
    platform.advance(ms(4200));
    platform.connect_caller(2);
    platform.send_invite(2, 8);
    platform.advance(ms(1));
    assert_eq!(platform.messages_to_callers(), ["2: 503 INVITE"]);
}

#[test]
fn a_connection_with_standing_calls_stays_open_in_a_shutdown_until_their_releases_are_confirmed() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    let link = platform.set_up_call(1, 6);
    platform.core.stop(platform.transport.now, &mut platform.transport);
    platform.advance(ms(1000));
    assert!(
        platform.transport.closed_callers.is_empty()
            && !platform.core.is_shutdown_complete(platform.transport.now)
    );
    platform.send_invite(1, 7);
    assert_eq!(platform.messages_to_callers(), ["1: 503 INVITE"], "set-ups on it are refused");
    platform.release(link, 6, 16);
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=16"]);
    platform.advance(ms(100));
    assert!(platform.transport.closed_callers.is_empty(), "the release is not confirmed yet");
    platform.send_from_caller(
        1,
        "SIP/2.0 200 OK\r\nCall-ID: 0000000000000006\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n",
    );
    platform.advance(ms(100));
    assert_eq!(platform.transport.closed_callers, [CallerConnectionId(1)]);
    assert!(platform.core.is_shutdown_complete(platform.transport.now));
}

#[test]
fn a_shutdown_ends_before_the_kill_even_with_standing_calls() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.connect_caller(2);
    platform.set_up_call(1, 6);
    platform.core.stop(platform.transport.now, &mut platform.transport);
    platform.advance(ms(700));
    platform.send_invite(1, 7);
    // The longest deadline is 3 s: the kill comes 3.7 s after the signal at the earliest.
    platform.advance(ms(2600));
    assert!(
        platform.core.is_shutdown_complete(platform.transport.now),
        "{:?}",
        platform.transport.closed_callers
    );
    assert_eq!(platform.messages_to_callers().len(), 1, "call 7 has its answer, too");
}

#[test]
fn a_release_that_arrives_before_the_caller_names_its_call_is_passed_on_afterwards() {
    let mut platform = Platform::start();
    let link = platform.links(1)[0];
    platform.release(link, 6, 16);
    platform.connect_caller(1);
    platform.send_from_caller(1, &invite(6, "at:one", "1500", "hello"));
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=16"]);
}

#[test]
fn an_unconfirmed_release_is_sent_to_the_exchange_again_on_the_next_link() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, 6);
    platform.send_from_caller(1, &request("BYE", 6));
    platform.lose_links(1);
    platform.transport.link_messages.clear();
    platform.connect_links();
    let released = |message: &&(LinkId, MessageType, WireCallId, Option<u8>)| {
        (message.1, message.2.0) == (MessageType::Release, 6)
    };
    assert_eq!(platform.transport.link_messages.iter().filter(released).count(), 1);
    platform.messages_to_callers();
    platform.set_ups_sent();
    platform.set_up_call(1, 7);
    platform.send_from_caller(1, &request("BYE", 7));
    let link = platform.links(1)[0];
    platform.send_on_link(link, MessageType::ReleaseComplete, 7, &[]);
    platform.transport.link_messages.clear();
    platform.lose_link(link);
    platform.connect_links();
    assert!(platform.transport.link_messages.is_empty(), "a confirmed release is not sent again");
}

#[test]
fn open_calls_of_a_connection_with_invalid_messages_are_answered_before_it_is_closed() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_invite(1, 7);
    platform.send_from_caller(1, "GET / HTTP/1.1\r\n\r\n");
    assert_eq!(platform.messages_to_callers(), ["1: 500 INVITE", "1: 400 -"]);
    assert_eq!(platform.transport.closed_callers, [CallerConnectionId(1)]);
    platform.connect_caller(2);
    platform.send_invite(2, 8);
    platform.send_from_caller(2, "INVITE sip:half");
    platform.advance(ms(1400));
    assert_eq!(platform.transport.closed_callers, [CallerConnectionId(1)]);
    platform.advance(ms(1500));
    assert_eq!(
        platform.transport.closed_callers,
        [CallerConnectionId(1), CallerConnectionId(2)],
        "closed once its call has its answer"
    );
    assert!(platform.messages_to_callers()[0].starts_with("2: "));
}

#[test]
fn an_unreachable_bus_is_reconnected_with_jitter_and_growing_timeouts() {
    let mut platform = Platform::start();
    let connection = platform.newest_bus_connection();
    platform.core.bus_disconnected(platform.transport.now, &mut platform.transport, connection);
    let connection_attempts = |platform: &mut Platform, span: u64| {
        platform.transport.bus_steps.clear();
        platform.advance(ms(span));
        platform.transport.bus_steps.iter().filter(|step| step.starts_with("connect")).count()
    };
    let first = connection_attempts(&mut platform, 2000);
    assert!((2..=3).contains(&first), "{first} unanswered connection attempts in 2 s");
    let later = connection_attempts(&mut platform, 12_000);
    assert!(
        (4..=6).contains(&later),
        "{later} in the next 12 s: each lasts at most 2 s, and each delay at most 1 s"
    );
    platform.connect_bus();
    assert_eq!(platform.transport.bus_steps.last().unwrap(), "from 1\n");
}

#[test]
fn a_release_prefers_a_connection_that_has_had_standing_calls_to_the_most_recent_one() {
    let mut platform = Platform::start();
    (1..=3).for_each(|caller| platform.connect_caller(caller));
    let link = platform.set_up_call(1, 6);
    platform.set_up_call(2, 7);
    platform.send_invite(3, 8);
    platform.core.caller_disconnected(platform.transport.now, &mut platform.transport, CallerConnectionId(1));
    platform.release(link, 6, 16);
    assert_eq!(platform.messages_to_callers(), ["2: BYE Q.850;cause=16"]);
}

#[test]
fn a_flood_of_long_descriptions_is_bounded_in_octets() {
    let mut platform = Platform::start();
    let long = "x".repeat(15 << 10);
    for caller in 1..=4 {
        platform.connect_caller(caller);
        (0..100).for_each(|id| {
            platform.send_from_caller(caller, &invite(1000 * caller + id, "dest:1;width:1", "1500", &long))
        });
    }
    assert!(
        platform.messages_to_callers().iter().filter(|message| message.starts_with("4: 503")).count() >= 100,
        "more than 4 MiB are held"
    );
    platform.advance(ms(1500));
    platform.send_invite(1, 7);
    assert!(platform.messages_to_callers().iter().all(|message| !message.contains("too many")));
}

#[test]
fn calls_from_before_a_restart_are_released_like_others() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_from_caller(1, &invite(6, "at:one", "1500", "hello"));
    platform.send_from_caller(1, &invite(6, "at:one", "1500", "hello"));
    platform.send_from_caller(1, &invite(5, "at:nowhere", "1500", "hello"));
    assert_eq!(
        platform.messages_to_callers(),
        ["1: BYE Q.850;cause=41"],
        "one exchange is unknown; there is no other answer"
    );
    let link = platform.links(1)[0];
    platform.release(link, 6, 16);
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=16"]);
}

#[test]
fn invalid_set_ups_are_refused_without_effect_on_the_open_call_of_that_id() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.connect_caller(2);
    platform.send_invite(1, 7);
    platform.send_from_caller(2, &invite(7, "dest:1;width:1", "1500", "another"));
    assert_eq!(platform.messages_to_callers(), ["2: 400 INVITE"]);
    let invalid = [
        invite(8, "dest:-4;width:1", "1500", "a"),
        invite(8, "dest:1;width:0", "1500", "a"),
        invite(8, "dest:1;width:x", "1500", "a"),
        invite(8, "dest:1;dest:2", "1500", "a"),
        invite(8, "width:1", "1500", "a"),
        invite(8, "dest:1", "-5", "a"),
        invite(8, "dest:1", "0", "a"),
        invite(8, "dest:1", "99999999999999999999999", "a"),
        invite(8, "dest:1", "1500", ""),
        invite(8, "dest:1", "1500", "a").replace("voice", "nothing"),
        invite(8, "dest:1", "1500", "a").replace("acme", "nobody"),
        invite(8, "dest:1", "1500", "a").replace("7f3a9c21e0b4d655", "me"),
        invite(8, "dest:1", "1500", "a").replace("Call-ID: 0000000000000008", "Call-ID: 8"),
        invite(8, "dest:1", "1500", "a").replace("Call-ID: 0000000000000008\r\n", ""),
    ];
    for set_up in &invalid {
        platform.send_from_caller(2, set_up);
        let answers = platform.messages_to_callers();
        assert!(matches!(&answers[..], [one] if one.starts_with("2: 400")), "{set_up}: {answers:?}");
    }
    assert_eq!(platform.set_ups_sent().len(), 1, "only the valid set-up is passed on");
    platform.send_from_caller(2, "GET / HTTP/1.1\r\n\r\n");
    assert_eq!(
        (platform.messages_to_callers(), &platform.transport.closed_callers[..]),
        (vec!["2: 400 -".to_string()], &[CallerConnectionId(2)][..])
    );
    let link = platform.transport.rules.open_set_ups[&WireCallId(7)];
    platform.answer(link, 7);
    assert_eq!(platform.messages_to_callers(), ["1: 200 INVITE"]);
}

#[test]
fn silent_connections_and_incomplete_messages_are_closed_and_open_set_ups_are_limited() {
    let mut platform = Platform::start();
    (1..=3).for_each(|caller| platform.connect_caller(caller));
    platform.send_from_caller(2, "INVITE sip:half");
    platform.send_from_caller(3, &request("OPTIONS", 0));
    platform.messages_to_callers();
    platform.advance(ms(2800));
    assert_eq!(platform.transport.closed_callers, [CallerConnectionId(1), CallerConnectionId(2)]);
    (0..500).for_each(|id| platform.send_invite(3, 1000 + id));
    assert!(platform.messages_to_callers().len() >= 500 - 256, "set-ups over the limit are refused at once");
    platform.advance(ms(1500));
    assert_eq!(platform.transport.rules.final_answers.len(), 500, "each has one answer");
    assert_eq!(platform.core.least_active_caller(&platform.transport), Some(CallerConnectionId(3)));
}

#[test]
fn configuration_errors_name_the_field_and_the_cause() {
    let error = |change: fn(&mut serde_json::Value)| config_with(change).unwrap_err();
    assert!(
        error(|config| config["bus"] = json!("nowhere")).starts_with("config.json: invalid socket address")
    );
    assert!(error(|config| config["seed"] = json!("xyz")).contains("seed"));
    assert!(
        error(|config| config["settings"]["lanes"][0]["aim_s"] = json!("soon"))
            .contains("lanes.0.aim_s=soon")
    );
    assert!(error(|config| config["limits"]["sockets"] = json!(3)).contains("sockets"));
    assert_eq!(
        error(|config| config["limits"]["memory_mb"] = json!(0)),
        "config.json: limits: memory_mb: not above 0"
    );
    assert!(error(|config| config["known"]["batch"] = json!([])).contains("known"));
}

#[test]
fn calls_of_a_silent_exchange_end_in_time_without_the_bus() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, 6);
    // The machine is gone: nothing arrives, connections are never accepted, and the bus reports nothing.
    platform.advance(ms(8000));
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=41"]);
}

#[test]
fn a_new_process_at_the_same_address_ends_the_calls_of_the_former_one() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, 6);
    platform.advance(ms(10));
    let lose_all = |platform: &mut Platform| {
        platform.lose_links(1);
        while let Some((link, _)) = platform.transport.connecting.pop() {
            platform.core.link_connected(platform.transport.now, &mut platform.transport, link);
        }
        platform.links(1)[0]
    };
    let link = lose_all(&mut platform);
    platform.report_free(link, 19);
    assert!(
        platform.messages_to_callers().is_empty(),
        "one of its 20 circuits is in use: it may be the same process"
    );
    let link = lose_all(&mut platform);
    platform.report_free(link, 20);
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=41"]);
}

#[test]
fn a_quiet_exchange_keeps_its_calls_if_it_answers_heartbeats() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, 6);
    for _ in 0..5 {
        platform.transport.link_messages.clear();
        platform.advance(ms(2800));
        let messages = std::mem::take(&mut platform.transport.link_messages);
        let tests: BTreeMap<_, _> = messages
            .iter()
            .filter(|message| message.1 == MessageType::Test)
            .map(|message| (message.0, message.2.0))
            .collect();
        let sent = messages.iter().filter(|message| message.1 == MessageType::Test).count();
        assert!(!tests.is_empty() && tests.len() == sent, "one heartbeat a silent link: {messages:?}");
        for (link, id) in tests {
            platform.send_on_link(link, MessageType::TestResult, id, &[(parameter::CAUSE, &[1])]);
        }
    }
    assert!(platform.messages_to_callers().is_empty(), "the call still stands after 14 s");
    platform.advance(ms(7500));
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=41"]);
}

#[test]
fn calls_named_by_callers_end_soon_if_their_exchange_is_never_reached() {
    let mut platform = Platform::without_links(&config());
    platform.connect_caller(1);
    platform.send_from_caller(1, &invite(6, "at:one", "1500", "hello"));
    platform.advance(ms(1900));
    assert!(platform.messages_to_callers().is_empty());
    platform.advance(ms(400));
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=41"]);
}

#[test]
fn without_heartbeats_a_quiet_exchange_is_checked_by_new_connections() {
    let config = config_with(|config| config["settings"]["limits"]["probes"] = json!(false)).unwrap();
    let mut platform = Platform::without_links(&config);
    platform.connect_links();
    platform.connect_caller(1);
    platform.set_up_call(1, 6);
    for _ in 0..5 {
        platform.advance(ms(2800));
        assert!(!platform.transport.connecting.is_empty());
        platform.connect_links();
    }
    assert!(
        platform.transport.link_messages.iter().all(|message| message.1 != MessageType::Test)
            && platform.messages_to_callers().is_empty()
    );
    platform.advance(ms(7500));
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=41"]);
}
