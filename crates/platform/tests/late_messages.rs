//! Messages of exchanges that arrive late, in virtual time: each belongs to the set-up to which it was written, and not to
//! another one of the same call.

mod common;

use common::{Platform, SDP, invite, ms, request};
use mintstall_platform::LinkId;
use mintstall_platform::exchange_protocol::{MessageType, parameter};

const CALLER: u64 = 1;
const CALL: u64 = 7;
/// The setup target, after which a set-up without an answer is given up, and the wait before the next.
const GIVEN_UP_MS: u64 = 1100;

/// A call whose first set-up was given up, with the links of that and of the next set-up.
fn with_second_set_up() -> (Platform, LinkId, LinkId) {
    let mut platform = Platform::start();
    platform.connect_caller(CALLER);
    platform.send_from_caller(CALLER, &invite(CALL, "dest:1;width:1;via:-1", "3000", "hello"));
    let (first, _) = platform.set_ups_sent()[0];
    platform.advance(ms(GIVEN_UP_MS));
    let set_ups = platform.set_ups_sent();
    let [(second, _)] = set_ups[..] else { panic!("expected one set-up, not {set_ups:?}") };
    assert_ne!(first, second);
    (platform, first, second)
}

/// The same once the second set-up was answered.
fn with_call_of_second_set_up() -> (Platform, LinkId, LinkId) {
    let (mut platform, first, second) = with_second_set_up();
    platform.answer(second, CALL);
    assert_eq!(platform.messages_to_callers(), ["1: 200 INVITE"]);
    (platform, first, second)
}

fn release(platform: &mut Platform, link: LinkId, cause: u8, note: &[u8]) {
    platform.send_on_link(
        link,
        MessageType::Release,
        CALL,
        &[(parameter::CAUSE, &[cause]), (parameter::NOTE, note)],
    );
}

fn lose_and_reconnect(platform: &mut Platform, link: LinkId) -> LinkId {
    platform.lose_link(link);
    let (next, _) = platform.transport.connecting.pop().unwrap();
    platform.core.link_connected(platform.transport.now, &mut platform.transport, next);
    platform.report_free(next, 9);
    next
}

/// Whether the call still stands here: its caller can release it.
fn stands(platform: &mut Platform) -> bool {
    platform.messages_to_callers();
    platform.send_from_caller(CALLER, &request("BYE", CALL));
    platform.messages_to_callers() == ["1: 200 BYE"]
}

// Guards against: the late refusal of a given-up set-up taken for the end of the call that stands by the next (review/10).
#[test]
fn a_late_refusal_of_a_former_set_up_does_not_end_the_call() {
    for (cause, note) in
        [(34, "congestion"), (34, "crankback"), (34, "throttled"), (17, "engaged"), (47, "-"), (102, "-")]
    {
        let (mut platform, first, _) = with_call_of_second_set_up();
        release(&mut platform, first, cause, note.as_bytes());
        assert!(platform.messages_to_callers().is_empty(), "cause {cause}");
        assert!(stands(&mut platform), "cause {cause}");
    }
}

// Guards against: the same with causes that a call that stands can end with, too.
#[test]
fn a_late_end_of_a_former_set_up_does_not_end_the_call() {
    for cause in [41, 16] {
        let (mut platform, first, _) = with_call_of_second_set_up();
        release(&mut platform, first, cause, b"-");
        platform.advance(ms(2000));
        assert!(stands(&mut platform), "cause {cause}");
    }
}

// Guards against: an end of the call itself, written on the link of its first set-up, taken for that of the first set-up.
#[test]
fn the_end_of_the_call_written_on_the_link_of_a_former_set_up_is_told_by_the_next_link() {
    let (mut platform, first, second) = with_call_of_second_set_up();
    // The exchange has lost the call's own link, and this side does not know yet.
    release(&mut platform, first, 16, b"-");
    platform.advance(ms(300));
    assert!(!platform.transport.connecting.is_empty(), "a link on which the exchange repeats the release");
    let next = platform.transport.connecting.pop().unwrap().0;
    platform.core.link_connected(platform.transport.now, &mut platform.transport, next);
    platform.report_free(next, 9);
    release(&mut platform, next, 16, b"-");
    assert_eq!(platform.messages_to_callers(), ["1: BYE Q.850;cause=16"]);
    assert!(platform.links(1).contains(&second));
}

#[test]
fn the_end_of_the_call_is_told_from_whichever_link_it_comes() {
    for cause in [16, 41] {
        let expected = [format!("1: BYE Q.850;cause={cause}")];
        let (mut platform, _, second) = with_call_of_second_set_up();
        release(&mut platform, second, cause, b"-");
        assert_eq!(platform.messages_to_callers(), expected, "on its own link");

        let (mut platform, first, second) = with_call_of_second_set_up();
        let other = platform.links(1).into_iter().find(|link| ![first, second].contains(link)).unwrap();
        release(&mut platform, other, cause, b"-");
        assert_eq!(platform.messages_to_callers(), expected, "on another link");

        let (mut platform, first, second) = with_call_of_second_set_up();
        platform.send_on_link(first, MessageType::ReleaseComplete, CALL, &[]);
        platform.lose_link(second);
        release(&mut platform, first, cause, b"-");
        assert_eq!(platform.messages_to_callers(), expected, "on that of the first, which is done with it");
    }
}

// Guards against: a late refusal of a former set-up whose link was closed, repeated on the next link.
#[test]
fn a_late_refusal_on_another_link_does_not_end_the_call() {
    let (mut platform, first, _) = with_call_of_second_set_up();
    let next = lose_and_reconnect(&mut platform, first);
    release(&mut platform, next, 34, b"congestion");
    assert!(stands(&mut platform));
}

// Guards against: a late answer or refusal taken for that of the set-up that is out.
#[test]
fn late_messages_of_a_former_set_up_do_not_end_the_one_that_is_out() {
    let (mut platform, first, second) = with_second_set_up();
    platform.send_on_link(first, MessageType::Progress, CALL, &[]);
    platform.answer(first, CALL);
    for (cause, note) in [(34, "congestion"), (17, "engaged"), (41, "-"), (16, "-")] {
        release(&mut platform, first, cause, note.as_bytes());
    }
    assert!(platform.messages_to_callers().is_empty());
    assert!(platform.transport.link_messages.iter().all(|message| message.1 != MessageType::Release));
    platform.answer(second, CALL);
    assert_eq!(platform.transport.caller_messages[0].2, SDP);
    assert_eq!(platform.messages_to_callers(), ["1: 200 INVITE"]);
    // What is not known to be over is not told so to a caller that names it.
    platform.send_from_caller(CALLER, &invite(CALL, "at:one", "1500", "hello"));
    assert!(stands(&mut platform));
}

// Guards against: the confirmation of a former set-up's release taken for that of the call's, which may have been lost.
#[test]
fn a_late_confirmation_of_a_former_release_does_not_confirm_that_of_the_call() {
    let (mut platform, first, second) = with_call_of_second_set_up();
    platform.send_from_caller(CALLER, &request("BYE", CALL));
    let oldest = platform.links(1)[0];
    platform.send_on_link(first, MessageType::ReleaseComplete, CALL, &[]);
    let repeats = |platform: &mut Platform| {
        platform.transport.link_messages.clear();
        platform.advance(ms(1500));
        lose_and_reconnect(platform, second);
        let messages = platform.transport.link_messages.iter();
        messages.filter(|message| (message.1, message.2.0) == (MessageType::Release, CALL)).count()
    };
    assert_eq!(repeats(&mut platform), 1, "it is not confirmed yet");
    platform.send_on_link(oldest, MessageType::ReleaseComplete, CALL, &[]);
    platform.advance(ms(1500));
    platform.transport.link_messages.clear();
    let another = *platform.links(1).last().unwrap();
    lose_and_reconnect(&mut platform, another);
    assert!(platform.transport.link_messages.iter().all(|message| message.1 != MessageType::Release));
}

// Guards against: a call left standing at an exchange that answered a set-up after its release.
#[test]
fn a_late_answer_to_a_set_up_that_nobody_waits_for_is_released_again() {
    let (mut platform, first, _) = with_second_set_up();
    platform.send_from_caller(CALLER, &request("CANCEL", CALL));
    platform.transport.link_messages.clear();
    platform.answer(first, CALL);
    let messages = platform.transport.link_messages.iter().map(|message| (message.0, message.1, message.2.0));
    assert_eq!(messages.collect::<Vec<_>>(), [(first, MessageType::Release, CALL)]);
}

// Guards against: a set-up under an id that comes again, sent where messages of the former one may still arrive.
#[test]
fn a_call_whose_id_comes_again_is_not_set_up_on_the_link_of_its_former_set_up() {
    let mut platform = Platform::start();
    platform.connect_caller(CALLER);
    platform.send_invite(CALLER, CALL);
    let (first, _) = platform.set_ups_sent()[0];
    platform.send_from_caller(CALLER, &request("CANCEL", CALL));
    platform.advance(ms(500));
    platform.connect_caller(2);
    platform.send_invite(2, CALL);
    let (second, _) = platform.set_ups_sent()[0];
    assert_ne!(first, second);
    platform.messages_to_callers();
    release(&mut platform, first, 34, b"congestion");
    assert!(platform.messages_to_callers().is_empty());
    platform.answer(second, CALL);
    assert_eq!(platform.messages_to_callers(), ["2: 200 INVITE"]);
}

// Guards against: links opened and closed without end for one id that is sent and taken back again and again.
#[test]
fn an_id_that_comes_again_and_again_does_not_use_up_the_links() {
    let mut platform = Platform::start();
    platform.connect_caller(CALLER);
    let links = platform.links(1);
    for round in 10..30 {
        platform.connect_caller(round);
        platform.report_free(links[0], 10);
        platform.send_invite(round, CALL);
        assert_eq!(platform.set_ups_sent().len(), 1, "round {round}");
        platform.send_from_caller(round, &request("CANCEL", CALL));
        platform.advance(ms(250));
    }
    assert_eq!(platform.links(1), links);
}
