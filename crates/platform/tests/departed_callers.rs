//! Callers that have closed their connection while what they sent is still unread, in virtual time.

mod common;

use common::{Platform, invite, ms, request};
use mintstall_platform::CallerConnectionId;
use mintstall_platform::exchange_protocol::MessageType;

const CALLER: u64 = 1;

fn leave(platform: &mut Platform, caller: u64) {
    platform.core.caller_left(platform.transport.now, &mut platform.transport, CallerConnectionId(caller));
}

// Guards against: set-ups of a caller that has left, sent to an exchange, and run twice when the id comes again.
#[test]
fn set_ups_of_a_caller_that_has_left_are_given_up_and_not_sent() {
    let mut platform = Platform::start();
    platform.connect_caller(CALLER);
    platform.send_invite(CALLER, 6);
    let (link, _) = platform.set_ups_sent()[0];
    leave(&mut platform, CALLER);
    let releases = platform.transport.link_messages.iter().map(|message| (message.0, message.1, message.2.0));
    assert_eq!(releases.collect::<Vec<_>>(), [(link, MessageType::Release, 6)]);
    platform.send_invite(CALLER, 7);
    platform.advance(ms(500));
    assert!(platform.set_ups_sent().is_empty() && platform.messages_to_callers().is_empty());
    platform.connect_caller(2);
    for id in [6, 7] {
        platform.send_invite(2, id);
        assert_eq!(platform.set_ups_sent().len(), 1, "id {id}");
    }
}

#[test]
fn what_ends_or_names_calls_counts_though_its_caller_has_left() {
    let mut platform = Platform::start();
    platform.connect_caller(CALLER);
    let link = platform.set_up_call(CALLER, 6);
    leave(&mut platform, CALLER);
    platform.send_from_caller(CALLER, &request("BYE", 6));
    platform.send_from_caller(CALLER, &invite(8, "at:one", "1500", "hello"));
    platform.messages_to_callers();
    assert!(platform.transport.link_messages.iter().any(|message| message.1 == MessageType::Release));
    platform.release(link, 8, 16);
    assert!(platform.messages_to_callers().is_empty(), "not sent where nobody reads it");
    platform.connect_caller(2);
    platform.send_invite(2, 9);
    assert_eq!(platform.messages_to_callers(), ["2: BYE Q.850;cause=16"]);
}
