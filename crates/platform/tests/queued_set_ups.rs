//! Set-ups that wait for a link, in virtual time.

mod common;

use common::{Platform, config_with, invite, ms, request};
use mintstall_platform::CallerConnectionId;
use serde_json::json;

/// The set-up of call 7 waits for a link to its exchange.
fn with_queued_set_up(may_cancel: bool) -> Platform {
    let config =
        config_with(|config| config["settings"]["limits"]["cancelling"] = json!(may_cancel)).unwrap();
    let mut platform = Platform::without_links(&config);
    platform.connect_caller(1);
    platform.send_from_caller(1, &invite(7, "dest:1;width:1;via:-1", "1500", "hello"));
    assert!(platform.set_ups_sent().is_empty(), "no link is up");
    platform
}

// Guards against: a set-up sent to an exchange after its caller has given it up, because it waited for a link.
#[test]
fn a_set_up_that_was_given_up_while_it_waited_for_a_link_is_not_sent() {
    for may_cancel in [true, false] {
        let mut cancelled = with_queued_set_up(may_cancel);
        cancelled.send_from_caller(1, &request("CANCEL", 7));
        cancelled.connect_links();
        assert!(cancelled.set_ups_sent().is_empty(), "cancelled; cancelling allowed: {may_cancel}");

        let mut disconnected = with_queued_set_up(may_cancel);
        let now = disconnected.transport.now;
        disconnected.core.caller_disconnected(now, &mut disconnected.transport, CallerConnectionId(1));
        disconnected.connect_links();
        assert!(disconnected.set_ups_sent().is_empty(), "disconnected; cancelling allowed: {may_cancel}");
        disconnected.advance(ms(3000));
        assert!(disconnected.messages_to_callers().is_empty());
    }
}

#[test]
fn a_set_up_whose_caller_waits_is_sent_when_the_link_comes_up() {
    let mut platform = with_queued_set_up(false);
    platform.connect_links();
    assert_eq!(platform.set_ups_sent().len(), 1);
}

// Guards against: a set-up sent after its time was over, because its link came up before the timers ran (issue 45).
#[test]
fn a_set_up_whose_time_is_over_when_the_link_comes_up_is_not_sent() {
    for late_by in [0, 1, 100, 2000] {
        let mut platform = with_queued_set_up(true);
        platform.transport.now += ms(1500 + late_by);
        platform.connect_links();
        platform.advance(ms(0));
        assert!(platform.set_ups_sent().is_empty(), "late by {late_by} ms");
        assert_eq!(platform.messages_to_callers().len(), 1, "late by {late_by} ms");
    }
}

/// The set-up of call 7 waits in the output of its link, of which the exchange takes nothing.
fn with_unwritten_set_up(may_cancel: bool) -> Platform {
    let config =
        config_with(|config| config["settings"]["limits"]["cancelling"] = json!(may_cancel)).unwrap();
    let mut platform = Platform::without_links(&config);
    platform.connect_bus();
    platform.connect_links();
    platform.connect_caller(1);
    platform.transport.set_ups_stay_unwritten = true;
    platform.send_from_caller(1, &invite(7, "dest:1;width:1;via:-1", "1500", "hello"));
    assert_eq!(platform.transport.unwritten_set_ups.len(), 1);
    platform
}

// Guards against: a set-up that an exchange has not taken, sent on after its call has ended (issue 45).
#[test]
fn a_set_up_that_is_not_written_yet_is_taken_back_when_its_caller_gives_it_up() {
    for may_cancel in [true, false] {
        let mut cancelled = with_unwritten_set_up(may_cancel);
        cancelled.send_from_caller(1, &request("CANCEL", 7));
        assert!(cancelled.transport.link_messages.is_empty(), "cancelled; cancelling allowed: {may_cancel}");

        let mut left = with_unwritten_set_up(may_cancel);
        left.core.caller_left(left.transport.now, &mut left.transport, CallerConnectionId(1));
        assert!(left.transport.link_messages.is_empty(), "left; cancelling allowed: {may_cancel}");

        let mut overdue = with_unwritten_set_up(may_cancel);
        overdue.advance(ms(1600));
        assert!(overdue.set_ups_sent().is_empty(), "overdue; cancelling allowed: {may_cancel}");
        assert_eq!(overdue.messages_to_callers().len(), 1);
    }
}

// An id whose set-up was never sent is free at once.
#[test]
fn an_id_whose_set_up_was_taken_back_may_come_again_at_once() {
    let mut platform = with_unwritten_set_up(true);
    platform.send_from_caller(1, &request("CANCEL", 7));
    platform.messages_to_callers();
    platform.transport.set_ups_stay_unwritten = false;
    platform.connect_caller(2);
    platform.send_from_caller(2, &invite(7, "dest:1;width:1;via:-1", "1500", "hello"));
    assert_eq!(platform.set_ups_sent().len(), 1);
}

// Guards against: a set-up that waited unread past its time, sent on with all of it (issue 45).
#[test]
fn the_time_in_which_a_set_up_waited_unread_counts() {
    for (unread_ms, is_sent) in [(0, true), (1400, true), (1500, false), (9000, false)] {
        let mut platform = Platform::start();
        platform.connect_caller(1);
        platform.core.set_earliest_arrival(platform.transport.now - ms(unread_ms));
        platform.send_invite(1, 7);
        assert_eq!(platform.set_ups_sent().len(), usize::from(is_sent), "unread for {unread_ms} ms");
        platform.advance(ms(1500 - unread_ms.min(1500) + 1));
        assert_eq!(platform.messages_to_callers().len(), 1, "unread for {unread_ms} ms");
    }
}
