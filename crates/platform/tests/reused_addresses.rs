//! A new exchange at the address of one that is still listed, in virtual time: connections to the address lead to the new one.

mod common;

use common::{Platform, invite, ms, target};
use mintstall_platform::exchange_protocol::MessageType;
use serde_json::Value;

const CALLER: u64 = 1;
const CUT: &str = "1: BYE Q.850;cause=41";

/// Exchange "three" with its own number, at the address of exchange "one".
fn three_at_address_of_one(boot_ms: u64) -> Value {
    let mut three = target("three", 3, "in_service", boot_ms);
    three["endpoint"] = target("one", 1, "in_service", 0)["endpoint"].clone();
    three
}

fn with_call_at_one() -> Platform {
    let mut platform = Platform::start();
    platform.connect_caller(CALLER);
    platform.set_up_call(CALLER, 6);
    platform
}

/// The exchanges' numbers are those of the callers' destinations.
fn set_up_to(platform: &mut Platform, dest: u16, id: u64) -> usize {
    platform.send_from_caller(CALLER, &invite(id, &format!("dest:{dest};width:1;via:-1"), "1500", "hello"));
    platform.set_ups_sent().len()
}

// Guards against: set-ups for an exchange that has gone sent to another one that listens at its address by now.
#[test]
fn an_exchange_whose_address_another_one_has_got_gets_no_more_set_ups() {
    let mut platform = with_call_at_one();
    let links = platform.links(1);
    platform.bus_event(2, false, &[three_at_address_of_one(0)]);
    assert_eq!(platform.messages_to_callers(), [CUT], "its process is gone, and its calls with it");
    assert!(links.iter().all(|link| platform.transport.closed_links.contains(link)));
    platform.connect_links();
    platform.transport.link_messages.clear();
    set_up_to(&mut platform, 1, 7);
    platform.advance(ms(1000));
    let at_address = platform.links(1);
    let set_ups = platform.transport.link_messages.iter().filter(|message| message.1 == MessageType::SetUp);
    assert!(set_ups.clone().all(|message| !at_address.contains(&message.0)), "{set_ups:?}");
    platform.messages_to_callers();
    assert_eq!(set_up_to(&mut platform, 3, 8), 1, "the new one is used");
    platform.bus_event(3, false, &[target("one", 1, "terminated", 0)]);
    assert_eq!(set_up_to(&mut platform, 3, 9), 1);
}

#[test]
fn the_exchange_that_started_last_has_the_address_in_a_full_list() {
    let mut platform = with_call_at_one();
    let one = target("one", 1, "in_service", 1_700_000_000_000);
    let three = three_at_address_of_one(1_700_000_001_000);
    platform.bus_event(2, true, &[three, one, target("two", 2, "in_service", 0)]);
    assert_eq!(platform.messages_to_callers(), [CUT]);
}

#[test]
fn an_exchange_that_gets_another_address_is_used_again() {
    let mut platform = with_call_at_one();
    platform.bus_event(2, false, &[three_at_address_of_one(0)]);
    platform.messages_to_callers();
    let mut moved = target("one", 1, "in_service", 1_800_000_001_000);
    moved["endpoint"] = "10.0.0.9:3868".into();
    platform.bus_event(3, false, &[moved]);
    platform.connect_links();
    assert_eq!(set_up_to(&mut platform, 1, 7), 1);
    let set_up_link = platform.links(9)[0];
    assert!(!platform.links(1).contains(&set_up_link));
}
