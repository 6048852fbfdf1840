//! Releases of calls that their callers ended, towards exchanges that are cut off, in virtual time.

mod common;

use common::{Platform, ms, request};
use mintstall_platform::exchange_protocol::MessageType;

const CALL: u64 = 6;

fn releases(platform: &mut Platform) -> usize {
    let messages = std::mem::take(&mut platform.transport.link_messages);
    messages.iter().filter(|message| (message.1, message.2.0) == (MessageType::Release, CALL)).count()
}

/// The exchange is cut off, its links are lost, and the caller of its call releases it.
fn released_while_cut_off() -> Platform {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.set_up_call(1, CALL);
    platform.lose_links(1);
    platform.send_from_caller(1, &request("BYE", CALL));
    assert_eq!(releases(&mut platform), 0, "no link is open");
    platform
}

/// The links that are connecting come up.
fn connect_links(platform: &mut Platform) {
    let closed = platform.transport.closed_links.clone();
    platform.transport.connecting.retain(|(link, _)| !closed.contains(link));
    platform.connect_links();
}

// Guards against: a call held on by its exchange, as its release was not repeated after a region had been cut off for 19 s.
#[test]
fn a_release_reaches_an_exchange_that_was_cut_off_for_long() {
    let mut platform = released_while_cut_off();
    platform.advance(ms(19_500));
    connect_links(&mut platform);
    assert_eq!(releases(&mut platform), 1, "once, though four links come up");
}

// Guards against: a release lost with the link on which it was repeated.
#[test]
fn a_release_is_repeated_until_it_is_confirmed() {
    let mut platform = released_while_cut_off();
    for _ in 0..2 {
        platform.advance(ms(1500));
        connect_links(&mut platform);
        assert_eq!(releases(&mut platform), 1);
        platform.lose_links(1);
    }
    platform.advance(ms(1500));
    connect_links(&mut platform);
    let link = platform.links(1)[0];
    platform.send_on_link(link, MessageType::ReleaseComplete, CALL, &[]);
    releases(&mut platform);
    platform.lose_links(1);
    platform.advance(ms(1500));
    connect_links(&mut platform);
    assert_eq!(releases(&mut platform), 0, "it was confirmed");
}

#[test]
fn a_release_that_is_never_confirmed_is_repeated_three_times() {
    let mut platform = released_while_cut_off();
    let mut repeats = 0;
    for _ in 0..8 {
        platform.advance(ms(1500));
        connect_links(&mut platform);
        repeats += releases(&mut platform);
        platform.lose_links(1);
    }
    assert_eq!(repeats, 3);
}
