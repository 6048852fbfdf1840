//! The links to an exchange that terminates, in virtual time.

mod common;

use common::{Platform, invite, ms, target};

fn drain(platform: &mut Platform) {
    platform.bus_event(2, false, &[target("one", 1, "terminating", 0)]);
}

fn attempts_to_connect(platform: &Platform) -> usize {
    let address = "10.0.0.1:3868".parse().unwrap();
    platform.transport.connecting.iter().filter(|(_, to)| *to == address).count()
}

// Guards against: links that stay open to an exchange that terminates, after its last call is over.
#[test]
fn links_are_closed_once_the_last_call_is_over() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    let link = platform.set_up_call(1, 6);
    drain(&mut platform);
    platform.advance(ms(2000));
    assert!(platform.links(1).contains(&link), "a call stands there");
    platform.release(link, 6, 16);
    platform.advance(ms(1500));
    assert!(platform.links(1).is_empty(), "nothing is left there: {:?}", platform.links(1));
    platform.advance(ms(5000));
    assert_eq!(attempts_to_connect(&platform), 0, "and nothing is opened again");
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=16"]);
}

#[test]
fn a_set_up_that_is_out_keeps_its_link_and_a_call_named_later_gets_one() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.send_invite(1, 6);
    let (link, _) = platform.set_ups_sent()[0];
    drain(&mut platform);
    platform.advance(ms(700));
    assert!(platform.links(1).contains(&link), "its answer may still come");
    platform.answer(link, 6);
    platform.release(link, 6, 16);
    platform.advance(ms(1500));
    assert!(platform.links(1).is_empty());
    platform.send_from_caller(1, &invite(9, "at:one", "1500", "hello"));
    assert_eq!(attempts_to_connect(&platform), 1);
}

#[test]
fn an_exchange_that_returns_to_service_gets_links_again() {
    let mut platform = Platform::start();
    drain(&mut platform);
    platform.advance(ms(1500));
    assert!(platform.links(1).is_empty());
    platform.bus_event(3, false, &[target("one", 1, "in_service", 0)]);
    assert_eq!(attempts_to_connect(&platform), 4);
}

// Guards against: a set-up that its exchange has not taken, written after the exchange has begun to drain (issue 45).
#[test]
fn set_ups_that_are_not_written_when_their_exchange_begins_to_drain_are_taken_back() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    platform.transport.set_ups_stay_unwritten = true;
    platform.send_invite(1, 7);
    assert_eq!(platform.transport.unwritten_set_ups.len(), 1);
    platform.bus_event(2, false, &[target("one", 1, "terminating", 0)]);
    assert!(platform.transport.unwritten_set_ups.values().all(|id| id.0 != 7));
    platform.advance(ms(1600));
    assert_eq!(platform.messages_to_callers().len(), 1);
}
