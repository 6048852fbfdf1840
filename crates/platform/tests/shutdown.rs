//! The end of a shutdown with calls that no exchange answers, in virtual time.

mod common;

use common::{Platform, config_with, invite, ms, request};
use mintstall_platform::CallerConnectionId;
use serde_json::json;

/// When the shutdown of the test's settings ends: 0.25 s after the longest deadline, which counts as 3 s.
const END_MS: u64 = 3250;
/// Longer than any interval between two timers of the shutdown.
const MAX_LATENESS_MS: u64 = 60;

// Guards against: a connection closed before the calls on it are answered, when timers run late (issue 45).
#[test]
fn open_calls_are_answered_before_their_connection_is_closed_however_late_the_timers_run() {
    for lateness in 0..=MAX_LATENESS_MS {
        for before_end in 1..=MAX_LATENESS_MS {
            let config = config_with(|config| config["settings"]["lanes"][0]["hard_limit_s"] = json!(6.0));
            let mut platform = Platform::without_links(&config.unwrap());
            platform.connect_links();
            platform.connect_caller(1);
            platform.send_from_caller(1, &invite(6, "dest:1;width:1;via:-1", "6000", "hello"));
            platform.core.stop(platform.transport.now, &mut platform.transport);
            platform.advance(ms(END_MS - before_end));
            assert!(platform.messages_to_callers().is_empty());
            platform.transport.now += ms(before_end + lateness);
            platform.core.on_timer(platform.transport.now, &mut platform.transport);
            assert_eq!(platform.messages_to_callers(), ["1: 500 INVITE"], "{before_end} and {lateness} ms");
            assert_eq!(platform.transport.closed_callers.len(), 1, "{before_end} and {lateness} ms");
        }
    }
}

// Guards against: answers that wait for a caller cut, and its requests thrown away, at the end of a shutdown (issue 45).
#[test]
fn a_connection_with_pending_data_is_served_until_shortly_before_the_kill() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.connect_caller(2);
    platform.send_from_caller(1, &request("OPTIONS", 0));
    platform.send_from_caller(2, &request("OPTIONS", 0));
    platform.transport.callers_with_pending_data.insert(CallerConnectionId(1));
    platform.core.stop(platform.transport.now, &mut platform.transport);
    platform.advance(ms(END_MS + 100));
    assert_eq!(platform.transport.closed_callers, [CallerConnectionId(2)]);
    platform.messages_to_callers();
    platform.send_invite(1, 6);
    assert_eq!(platform.messages_to_callers(), ["1: 503 INVITE"]);
    platform.transport.callers_with_pending_data.clear();
    platform.advance(ms(50));
    assert_eq!(platform.transport.closed_callers, [CallerConnectionId(2), CallerConnectionId(1)]);
}

// Guards against: a shutdown that is still serving when the process is killed, where deadlines are short (issue 45).
#[test]
fn no_connection_is_left_when_the_process_may_be_killed_whatever_the_longest_deadline() {
    for deadline_ms in [10, 50, 100, 200, 300, 500, 700, 1000, 3000, 9000] {
        let config = config_with(|config| {
            config["settings"]["lanes"][0]["aim_s"] = json!(0.01);
            config["settings"]["lanes"][0]["hard_limit_s"] = json!(deadline_ms as f64 / 1000.0);
        });
        let mut platform = Platform::without_links(&config.unwrap());
        platform.connect_links();
        platform.connect_caller(1);
        let expires = deadline_ms.to_string();
        platform.send_from_caller(1, &invite(6, "dest:1;width:1;via:-1", &expires, "hello"));
        platform.transport.callers_with_pending_data.insert(CallerConnectionId(1));
        platform.core.stop(platform.transport.now, &mut platform.transport);
        platform.advance(ms(deadline_ms.min(3000) + 700 - 50));
        assert_eq!(platform.transport.closed_callers.len(), 1, "deadline of {deadline_ms} ms");
        assert!(platform.core.is_shutdown_complete(platform.transport.now), "deadline of {deadline_ms} ms");
        assert!(platform.core.must_exit(platform.transport.now), "deadline of {deadline_ms} ms");
    }
}
