//! Tests of the core under bursts, in virtual time: peers that send or are due much at once are not taken for failed ones.

mod common;

use common::*;
use mintstall_platform::CallerConnectionId;
use mintstall_platform::exchange_protocol::{self, MessageType, WireCallId, parameter};

/// Octets of a message that arrive with the end of the message before.
const SPLIT_AT: usize = 9;

/// Splits a stream of equal messages so that each part ends within a message, and completes one.
fn parts_that_end_within_a_message(message: &[u8], count: usize) -> Vec<Vec<u8>> {
    let (start, rest) = message.split_at(SPLIT_AT);
    let next = [rest, start].concat();
    std::iter::once(start.to_vec()).chain((1..count).map(|_| next.clone())).collect()
}

fn state_message() -> Vec<u8> {
    let mut octets = Vec::new();
    let report: &[(u8, &[u8])] = &[(parameter::REPORT, b"idle:10;circuits:20")];
    exchange_protocol::encode(&mut octets, MessageType::State, WireCallId(0), report);
    octets
}

// Guards against: a link on which messages arrive all the time is closed as incomplete, since every read ends within one.
#[test]
fn a_link_that_completes_messages_is_kept_although_each_read_ends_within_one() {
    let mut platform = Platform::start();
    let link = platform.links(1)[0];
    for part in parts_that_end_within_a_message(&state_message(), 30) {
        platform.core.link_data(platform.transport.now, &mut platform.transport, link, &part);
        platform.advance(ms(100));
        assert!(platform.transport.closed_links.is_empty(), "closed at {:?}", platform.transport.now - START);
    }
    platform.advance(ms(1000));
    assert_eq!(platform.transport.closed_links, [link], "the rest of the last one never arrives");
}

// Guards against: a caller whose requests arrive all the time is closed as incomplete, since every read ends within one.
#[test]
fn a_caller_that_completes_messages_is_kept_although_each_read_ends_within_one() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    for part in parts_that_end_within_a_message(request("OPTIONS", 0).as_bytes(), 60) {
        platform.send_from_caller(1, std::str::from_utf8(&part).unwrap());
        platform.advance(ms(100));
        assert!(
            platform.transport.closed_callers.is_empty(),
            "closed at {:?}",
            platform.transport.now - START
        );
    }
    platform.advance(ms(2500));
    assert_eq!(platform.transport.closed_callers.len(), 1, "the rest of the last one never arrives");
}

// Guards against: a peer is closed for an incomplete message whose rest is left unread here.
#[test]
fn a_message_whose_rest_is_left_unread_here_closes_nobody() {
    let mut platform = Platform::start();
    let link = platform.links(1)[0];
    let (state, options) = (state_message(), request("OPTIONS", 0));
    platform.connect_caller(1);
    platform.core.link_data(START, &mut platform.transport, link, &state[..SPLIT_AT]);
    platform.send_from_caller(1, &options[..SPLIT_AT]);
    platform.transport.reads_are_paused = true;
    platform.advance(ms(5000));
    assert!(platform.transport.closed_links.is_empty() && platform.transport.closed_callers.is_empty());
    platform.transport.reads_are_paused = false;
    platform.advance(ms(600));
    platform.core.link_data(platform.transport.now, &mut platform.transport, link, &state[SPLIT_AT..]);
    platform.advance(ms(1400));
    platform.send_from_caller(1, &options[SPLIT_AT..]);
    platform.advance(ms(2000));
    assert!(platform.transport.closed_links.is_empty() && platform.transport.closed_callers.is_empty());
    assert_eq!(platform.messages_to_callers(), ["1: 200 OPTIONS"]);
}

// Guards against: releases of a crowd that wait for a caller to connect again are dropped, the oldest first.
#[test]
fn releases_of_a_crowd_of_calls_wait_for_their_caller_to_connect_again() {
    const CALLS: u64 = 6000;
    let mut platform = Platform::start();
    let link = platform.links(1)[0];
    platform.connect_caller(1);
    (1..=CALLS).for_each(|id| platform.send_from_caller(1, &invite(id, "at:one", "1500", "hello")));
    platform.messages_to_callers();
    platform.core.caller_disconnected(platform.transport.now, &mut platform.transport, CallerConnectionId(1));
    (1..=CALLS).for_each(|id| platform.release(link, id, 16));
    platform.connect_caller(2);
    platform.send_from_caller(2, &request("OPTIONS", 0));
    let releases = platform.messages_to_callers();
    let releases = releases.iter().filter(|message| message.starts_with("2: BYE")).count();
    assert_eq!(releases as u64, CALLS);
}

// Guards against: releases of a crowd that wait for a link to their exchange are dropped, the oldest first.
#[test]
fn releases_of_a_crowd_of_calls_wait_for_a_link_to_their_exchange() {
    const CALLS: u64 = 6000;
    let mut platform = Platform::start();
    platform.connect_caller(1);
    (1..=CALLS).for_each(|id| platform.send_from_caller(1, &invite(id, "at:one", "1500", "hello")));
    platform.lose_links(1);
    (1..=CALLS).for_each(|id| platform.send_from_caller(1, &request("BYE", id)));
    platform.transport.link_messages.clear();
    platform.connect_links();
    let sent = platform.transport.link_messages.iter();
    let releases = sent.filter(|(_, kind, ..)| *kind == MessageType::Release).count();
    assert_eq!(releases as u64, CALLS);
}
