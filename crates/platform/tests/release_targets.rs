//! To whom the release of a call goes whose caller has closed the connection of its set-up, in virtual time: the wire does
//! not tell whose a connection is, and a caller that only disrupts must not be taken for the one that holds the call.

mod common;

use common::{Platform, config, invite, ms, request};
use mintstall_platform::exchange_protocol::MessageType;
use mintstall_platform::{CallerConnectionId, LinkId};

const CALL: u64 = 6;
const FIRST: u64 = 1;
const SECOND: u64 = 2;
const BAD: u64 = 3;
const CLEARED: &str = "BYE Q.850;cause=16";

fn close_caller(platform: &mut Platform, caller: u64) {
    platform.core.caller_disconnected(
        platform.transport.now,
        &mut platform.transport,
        CallerConnectionId(caller),
    );
}

/// A call that was set up on a connection that its caller has closed since, with the link on which it was answered.
fn with_call_of_closed_connection() -> (Platform, LinkId) {
    let mut platform = Platform::start();
    platform.connect_caller(FIRST);
    let link = platform.set_up_call(FIRST, CALL);
    close_caller(&mut platform, FIRST);
    (platform, link)
}

/// Connects a caller whose set-up is refused, since the number is engaged.
fn connect_refused_caller(platform: &mut Platform, caller: u64) {
    platform.connect_caller(caller);
    let id = 1000 + caller;
    platform.send_invite(caller, id);
    while let Some((link, sent)) = platform.set_ups_sent().pop() {
        assert_eq!(sent, id);
        platform.release(link, id, 17);
        platform.advance(ms(500));
    }
    assert!(platform.messages_to_callers().iter().all(|message| !message.contains("200 INVITE")));
}

/// A client that sends releases of calls that nobody knows, again and again.
fn send_unknown_releases(platform: &mut Platform, caller: u64) {
    for id in 0..5 {
        platform.send_from_caller(caller, &request("BYE", 0xbad0 + id));
        platform.advance(ms(5));
    }
    platform.messages_to_callers();
}

/// The connections to which the release of [`CALL`] was sent since the last call.
fn told(platform: &mut Platform) -> Vec<String> {
    let releases = platform.messages_to_callers().into_iter().filter(|message| message.contains(CLEARED));
    releases.map(|message| message.split(':').next().unwrap_or_default().to_string()).collect()
}

fn response(status: u16, id: u64) -> String {
    format!("SIP/2.0 {status} X\r\nCall-ID: {id:016x}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n")
}

// Guards against: a release sent to a client of unknown calls alone, while its caller has a connection open (review/7).
#[test]
fn a_release_reaches_a_caller_whose_set_up_was_refused_beside_a_client_of_unknown_calls() {
    let (mut platform, link) = with_call_of_closed_connection();
    connect_refused_caller(&mut platform, SECOND);
    platform.connect_caller(BAD);
    send_unknown_releases(&mut platform, BAD);
    platform.release(link, CALL, 16);
    assert!(told(&mut platform).contains(&SECOND.to_string()));
}

// Guards against: the same with bad clients whose set-ups are refused like those of the caller.
#[test]
fn a_release_reaches_its_caller_among_clients_that_have_shown_as_much() {
    let (mut platform, link) = with_call_of_closed_connection();
    connect_refused_caller(&mut platform, SECOND);
    for bad in BAD..BAD + 10 {
        connect_refused_caller(&mut platform, bad);
    }
    platform.release(link, CALL, 16);
    assert!(told(&mut platform).contains(&SECOND.to_string()));
}

// Guards against: releases that wait for a connection sent to the first that sends anything, and lost there.
#[test]
fn a_release_that_waited_reaches_its_caller_though_a_client_of_unknown_calls_came_first() {
    let (mut platform, link) = with_call_of_closed_connection();
    platform.release(link, CALL, 16);
    platform.connect_caller(BAD);
    platform.send_from_caller(BAD, &request("BYE", 0xbad0));
    told(&mut platform);
    platform.advance(ms(5000));
    platform.connect_caller(SECOND);
    platform.send_invite(SECOND, 7);
    assert_eq!(told(&mut platform), [SECOND.to_string()]);
    let (link, _) = platform.set_ups_sent()[0];
    platform.answer(link, 7);
    platform.advance(ms(30_000));
    assert!(told(&mut platform).is_empty(), "it is told once on a connection");
}

// Guards against: after a restart, a call that was named on a connection that is closed by now, and named again on another.
#[test]
fn a_release_goes_to_the_connection_on_which_the_call_was_named_last() {
    let mut platform = Platform::without_links(&config());
    platform.connect_links();
    let at = |id| invite(id, "at:one", "1500", "hello");
    platform.connect_caller(FIRST);
    platform.send_from_caller(FIRST, &at(CALL));
    platform.connect_caller(SECOND);
    platform.send_from_caller(SECOND, &at(CALL));
    close_caller(&mut platform, FIRST);
    platform.connect_caller(BAD);
    send_unknown_releases(&mut platform, BAD);
    let link = platform.links(1)[0];
    platform.release(link, CALL, 16);
    assert_eq!(told(&mut platform), [SECOND.to_string()]);
}

// Guards against: a call that has ended taken for one that stands when its caller, not told yet, names it.
#[test]
fn a_caller_that_names_a_call_whose_release_it_did_not_get_is_told() {
    let (mut platform, link) = with_call_of_closed_connection();
    platform.connect_caller(BAD);
    send_unknown_releases(&mut platform, BAD);
    platform.release(link, CALL, 16);
    told(&mut platform);
    platform.connect_caller(SECOND);
    platform.send_from_caller(SECOND, &invite(CALL, "at:one", "1500", "hello"));
    assert!(told(&mut platform).contains(&SECOND.to_string()));
    platform.send_from_caller(SECOND, &request("BYE", CALL));
    assert_eq!(
        platform.messages_to_callers(),
        [format!("{SECOND}: 481 BYE")],
        "the call does not stand again"
    );
}

// Guards against: a release that another usual caller turned down (481) never passed on to its own.
#[test]
fn a_release_that_is_turned_down_goes_to_the_next_connection() {
    let (mut platform, link) = with_call_of_closed_connection();
    connect_refused_caller(&mut platform, SECOND);
    platform.connect_caller(BAD);
    platform.set_up_call(BAD, 8);
    platform.release(link, CALL, 16);
    assert_eq!(told(&mut platform), [BAD.to_string()], "one that has had a call answered comes first");
    platform.send_from_caller(BAD, &response(481, CALL));
    assert_eq!(told(&mut platform), [SECOND.to_string()]);
    platform.send_from_caller(SECOND, &response(200, CALL));
    platform.advance(ms(3000));
    close_caller(&mut platform, SECOND);
    assert!(told(&mut platform).is_empty());
}

// Guards against: the caller's only connection closed in a shutdown, since a client of unknown calls was kept for the release.
#[test]
fn a_shutdown_keeps_the_connections_that_may_be_those_of_calls_that_stand() {
    let (mut platform, link) = with_call_of_closed_connection();
    connect_refused_caller(&mut platform, SECOND);
    platform.connect_caller(BAD);
    send_unknown_releases(&mut platform, BAD);
    platform.core.stop(platform.transport.now, &mut platform.transport);
    platform.advance(ms(1200));
    platform.release(link, CALL, 16);
    assert!(told(&mut platform).contains(&SECOND.to_string()));
}

// Guards against: connections of usual callers closed for those of clients that only disrupt, which are more active.
#[test]
fn room_is_made_by_closing_connections_that_have_shown_least() {
    let mut platform = Platform::start();
    platform.connect_caller(FIRST);
    platform.set_up_call(FIRST, CALL);
    platform.advance(ms(100));
    connect_refused_caller(&mut platform, SECOND);
    platform.advance(ms(100));
    platform.connect_caller(BAD);
    send_unknown_releases(&mut platform, BAD);
    for expected in [BAD, SECOND, FIRST] {
        assert_eq!(
            platform.core.least_active_caller(&platform.transport),
            Some(CallerConnectionId(expected))
        );
        close_caller(&mut platform, expected);
    }
}

#[test]
fn a_release_of_an_unknown_call_proves_nothing_and_that_of_a_known_one_does() {
    let mut platform = Platform::start();
    platform.connect_caller(FIRST);
    let link = platform.set_up_call(FIRST, CALL);
    platform.set_up_call(FIRST, 7);
    platform.connect_caller(SECOND);
    platform.send_from_caller(SECOND, &request("BYE", 7));
    platform.connect_caller(BAD);
    send_unknown_releases(&mut platform, BAD);
    close_caller(&mut platform, FIRST);
    platform.release(link, CALL, 16);
    assert_eq!(told(&mut platform), [SECOND.to_string()]);
}

// Guards against: a usual caller that gets the releases of all calls which another has made up and named.
#[test]
fn releases_of_calls_that_were_made_up_are_not_all_sent_to_others() {
    let mut platform = Platform::start();
    platform.connect_caller(FIRST);
    platform.set_up_call(FIRST, CALL);
    platform.connect_caller(BAD);
    for id in 0..5000 {
        platform.send_from_caller(BAD, &invite(0xbad0 + id, "at:nowhere", "1500", "hello"));
    }
    assert_eq!(platform.messages_to_callers().len(), 5000);
    close_caller(&mut platform, BAD);
    let resent = platform.messages_to_callers().len();
    assert!((1..=100).contains(&resent), "{resent}");
}

// Guards against: memory and time taken up by sending many releases to many connections that have shown little.
#[test]
fn many_releases_are_not_sent_to_many_connections() {
    const CALLS: u64 = 5000;
    const CONNECTIONS: u64 = 150;
    let mut platform = Platform::without_links(&config());
    platform.connect_links();
    platform.connect_caller(FIRST);
    for id in 1..=CALLS {
        platform.send_from_caller(FIRST, &invite(id, "at:one", "1500", "hello"));
    }
    close_caller(&mut platform, FIRST);
    for caller in 10..10 + CONNECTIONS {
        platform.connect_caller(caller);
        platform.send_from_caller(caller, &request("BYE", 0xbad0));
    }
    platform.messages_to_callers();
    let link = platform.links(1)[0];
    (1..=CALLS).for_each(|id| platform.send_on_link(link, MessageType::Release, id, &[(47, &[16])]));
    let sent = told(&mut platform).len() as u64;
    assert!((CALLS..3 * CALLS).contains(&sent), "{sent} releases sent");
    // Connections that come later do not get them all, either.
    for caller in 1000..1000 + CONNECTIONS {
        platform.connect_caller(caller);
        platform.send_from_caller(caller, &request("BYE", 0xbad0));
    }
    let sent = told(&mut platform).len() as u64;
    assert!(sent < 3 * CALLS, "{sent} releases sent");
}
