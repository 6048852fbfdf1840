//! Answers near the maximum length of a message, in virtual time.

mod common;

use common::{Platform, RELEASE_WAIT, ms};
use mintstall_platform::exchange_protocol::{MessageType, parameter};
use mintstall_sip::MAX_MESSAGE_OCTETS;

/// The longest description for which the headers that are required leave room.
const LONGEST_DESCRIPTION: usize = 16_300;
/// The longest description that a message of an exchange holds.
const LONGEST_FROM_EXCHANGE: usize = 16_370;

fn invite_with_via(id: u64, via_octets: usize) -> String {
    let via = format!("SIP/2.0/TCP {}", "v".repeat(via_octets));
    common::invite(id, "dest:1;width:1;via:-1", "1500", "hello").replace("SIP/2.0/TCP peer", &via)
}

fn answer_with(platform: &mut Platform, id: u64, via_octets: usize, description_octets: usize) {
    platform.send_from_caller(1, &invite_with_via(id, via_octets));
    let set_ups = platform.set_ups_sent();
    let description = vec![b'd'; description_octets];
    platform.send_on_link(set_ups[0].0, MessageType::Answer, id, &[(parameter::DESCRIPTION, &description)]);
}

// Guards against: an answer longer than a SIP message may be, which its caller could not read.
#[test]
fn answers_are_passed_on_unchanged_as_long_as_they_fit() {
    let sizes = [(4, 16_243), (4, 16_244), (4, LONGEST_DESCRIPTION), (9000, 9000)];
    for (id, (via_octets, description_octets)) in (7..).zip(sizes) {
        let mut platform = Platform::start();
        platform.connect_caller(1);
        answer_with(&mut platform, id, via_octets, description_octets);
        let (_, what, body) = platform.transport.caller_messages.pop().expect("no answer");
        assert_eq!((&*what, body.len()), ("200 INVITE", description_octets));
        let longest = *platform.transport.caller_octets.iter().max().unwrap();
        assert!(longest <= MAX_MESSAGE_OCTETS, "{longest} octets with a Via of {via_octets}");
    }
}

#[test]
fn an_answer_that_cannot_fit_is_released_and_the_call_goes_on_elsewhere() {
    let mut platform = Platform::start();
    platform.connect_caller(1);
    for (id, octets) in [(7, LONGEST_DESCRIPTION + 1), (8, LONGEST_FROM_EXCHANGE)] {
        answer_with(&mut platform, id, 4, octets);
        let released = platform.transport.link_messages.iter();
        assert_eq!(released.filter(|message| message.1 == MessageType::Release).count(), 1);
        platform.advance(RELEASE_WAIT + ms(200));
        let set_ups = platform.set_ups_sent();
        assert_eq!(set_ups.len(), 1, "the call is set up again");
        platform.answer(set_ups[0].0, id);
        assert_eq!(platform.messages_to_callers(), ["1: 200 INVITE"]);
        assert!(platform.transport.log_lines.iter().any(|line| line.contains(&format!("{octets} octets"))));
    }
}
