//! Calls that callers name after a restart of this process, in virtual time.

mod common;

use std::time::Duration;

use common::{Platform, START, config, invite, ms, target};
use mintstall_platform::exchange_protocol::{MessageType, parameter};

const CALLER: u64 = 1;
const CUT: &str = "1: BYE Q.850;cause=41";
const CIRCUITS: u32 = 20;

/// The process has just started, and all links have reported.
fn started(free_circuits: u32) -> Platform {
    let mut platform = Platform::without_links(&config());
    platform.connect_bus();
    connect_links(&mut platform, free_circuits);
    platform
}

fn connect_links(platform: &mut Platform, free_circuits: u32) {
    platform.advance(ms(1));
    while let Some((link, _)) = platform.transport.connecting.pop() {
        platform.core.link_connected(platform.transport.now, &mut platform.transport, link);
        platform.report_free(link, free_circuits);
    }
}

fn name(platform: &mut Platform, call: u64) {
    platform.send_from_caller(CALLER, &invite(call, "at:one", "1500", "hello"));
}

/// Answers heartbeats at once for a while.
fn answer_heartbeats(platform: &mut Platform, span: Duration) {
    let end = platform.transport.now + span;
    while platform.transport.now < end {
        platform.advance(ms(50));
        let messages = std::mem::take(&mut platform.transport.link_messages);
        for (link, _, id, _) in messages.into_iter().filter(|message| message.1 == MessageType::Test) {
            platform.send_on_link(link, MessageType::TestResult, id.0, &[(parameter::CAUSE, &[1])]);
        }
    }
}

// Guards against: calls cut at both ends as soon as they were named, because their exchange had had nothing to tell.
#[test]
fn calls_named_late_at_a_quiet_exchange_stay_if_it_answers() {
    let mut platform = started(CIRCUITS - 2);
    platform.advance(ms(8000));
    platform.connect_caller(CALLER);
    name(&mut platform, 6);
    name(&mut platform, 7);
    answer_heartbeats(&mut platform, ms(9000));
    assert!(platform.messages_to_callers().is_empty(), "both calls stand");
}

#[test]
fn calls_named_late_at_a_dead_exchange_end_in_time() {
    let mut platform = started(CIRCUITS - 1);
    platform.advance(ms(8000));
    platform.connect_caller(CALLER);
    name(&mut platform, 6);
    platform.advance(ms(5500));
    assert_eq!(platform.messages_to_callers(), [CUT]);
}

// Guards against: calls of a quiet exchange ended without a heartbeat, because this process had been stopped.
#[test]
fn calls_stay_if_this_process_was_stopped_and_the_exchange_answers() {
    let mut platform = Platform::start();
    platform.connect_caller(CALLER);
    platform.set_up_call(CALLER, 6);
    platform.transport.now += ms(9000);
    answer_heartbeats(&mut platform, ms(3000));
    assert!(platform.messages_to_callers().is_empty());
}

// Guards against: a call that ended while this process was down, never released, because its exchange started anew.
#[test]
fn a_call_named_at_an_exchange_that_holds_none_ends() {
    for named_after_ms in [100, 3000] {
        let mut platform = started(CIRCUITS);
        platform.advance(ms(named_after_ms));
        platform.connect_caller(CALLER);
        name(&mut platform, 6);
        answer_heartbeats(&mut platform, ms(1000));
        assert_eq!(platform.messages_to_callers(), [CUT], "named after {named_after_ms} ms");
    }
}

// Guards against: the same where the exchange comes back only after the call was named, or the list tells of it later.
#[test]
fn a_named_call_ends_when_its_exchange_turns_out_to_have_started_anew() {
    let boot_ms = START.as_millis() as u64 + 1000;
    let restart = target("one", 1, "in_service", boot_ms);
    let mut told_later = started(CIRCUITS - 1);
    told_later.advance(ms(2000));
    told_later.connect_caller(CALLER);
    name(&mut told_later, 6);
    told_later.bus_event(2, false, std::slice::from_ref(&restart));
    assert_eq!(told_later.messages_to_callers(), [CUT]);

    let mut told_before = started(CIRCUITS - 1);
    told_before.advance(ms(2000));
    told_before.connect_caller(CALLER);
    told_before.bus_event(2, false, &[restart]);
    name(&mut told_before, 6);
    assert_eq!(told_before.messages_to_callers(), [CUT]);

    let mut unreachable = Platform::without_links(&config());
    unreachable.connect_caller(CALLER);
    name(&mut unreachable, 6);
    unreachable.advance(ms(1200));
    unreachable.transport.connecting.retain(|(link, _)| !unreachable.transport.closed_links.contains(link));
    connect_links(&mut unreachable, CIRCUITS);
    unreachable.advance(ms(1000));
    assert_eq!(unreachable.messages_to_callers(), [CUT]);
}

#[test]
fn named_calls_stay_when_links_are_opened_later() {
    let mut platform = started(CIRCUITS - 1);
    platform.connect_caller(CALLER);
    name(&mut platform, 6);
    platform.send_from_caller(CALLER, &invite(8, "dest:1;width:1;via:-1", "1500", "hello"));
    let (link, _) = platform.set_ups_sent()[0];
    platform.answer(link, 8);
    assert_eq!(platform.messages_to_callers(), ["1: 200 INVITE"]);
    platform.lose_link(link);
    connect_links(&mut platform, CIRCUITS - 2);
    answer_heartbeats(&mut platform, ms(3000));
    assert!(platform.messages_to_callers().is_empty());
}
