//! Set-ups that come again under their id, in virtual time. The transport checks that no seizure of a call goes out
//! while another is out, or before the release wait is over.

mod common;

use common::{Platform, RELEASE_WAIT, config_with, ms};
use mintstall_platform::CallerConnectionId;
use serde_json::json;

/// The connection of a caller is reset 5 ms after its set-up was sent on, and the set-up comes again on another.
fn send_again_after_reset(platform: &mut Platform) {
    platform.connect_caller(1);
    platform.send_invite(1, 7);
    platform.advance(ms(5));
    platform.core.caller_disconnected(platform.transport.now, &mut platform.transport, CallerConnectionId(1));
    platform.advance(ms(3));
    platform.connect_caller(2);
    platform.send_invite(2, 7);
}

// Guards against: a set-up sent again under its id within the release wait, after its caller's connection was reset.
#[test]
fn a_set_up_that_comes_again_under_its_id_is_refused_until_the_release_wait_is_over() {
    let mut platform = Platform::start();
    send_again_after_reset(&mut platform);
    assert_eq!(platform.messages_to_callers(), ["2: 503 INVITE"]);
    assert_eq!(platform.set_ups_sent().len(), 1);
    platform.advance(RELEASE_WAIT);
    platform.connect_caller(3);
    platform.send_invite(3, 7);
    let set_ups = platform.set_ups_sent();
    assert_eq!(set_ups.len(), 1, "the wait is over");
    platform.answer(set_ups[0].0, 7);
    assert_eq!(platform.messages_to_callers(), ["3: 200 INVITE"]);
}

#[test]
fn where_set_ups_cannot_be_cancelled_it_is_refused_until_the_seizure_has_ended() {
    let config = config_with(|config| config["settings"]["limits"]["cancelling"] = json!(false)).unwrap();
    let mut platform = Platform::without_links(&config);
    platform.connect_links();
    send_again_after_reset(&mut platform);
    assert_eq!(platform.messages_to_callers(), ["2: 503 INVITE"]);
    let set_ups = platform.set_ups_sent();
    assert_eq!(set_ups.len(), 1);
    platform.advance(ms(500));
    platform.connect_caller(3);
    platform.send_invite(3, 7);
    assert_eq!(platform.messages_to_callers(), ["3: 503 INVITE"], "the seizure is still out");
    // The answer ends the seizure: the call is released at once.
    platform.answer(set_ups[0].0, 7);
    platform.advance(RELEASE_WAIT);
    platform.connect_caller(4);
    platform.send_invite(4, 7);
    assert_eq!(platform.set_ups_sent().len(), 1);
}

#[test]
fn a_set_up_that_was_cancelled_and_comes_again_on_its_connection_is_refused_too() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_invite(1, 7);
    platform.send_from_caller(1, &common::request("CANCEL", 7));
    platform.messages_to_callers();
    platform.connect_caller(2);
    platform.send_invite(2, 7);
    assert_eq!(platform.messages_to_callers(), ["2: 503 INVITE"]);
    assert_eq!(platform.set_ups_sent().len(), 1);
}
