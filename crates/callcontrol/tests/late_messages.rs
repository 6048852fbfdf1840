//! Messages of the far end that arrive late: each is about the call that held the circuit when it was written.

mod common;

use common::{TestNetwork, ms, name};
use mintstall::interface::CallId;
use mintstall_callcontrol::{Answer, LinkStatus};

/// Exchange 1 has released a call and repeated the release, and exchange 2 has completed both: the circuit is idle here again,
/// and the second release complete is on its way.
fn with_second_release_complete(network: &mut TestNetwork) -> Vec<u8> {
    let call = network.offer_call(1, 2, 5, 0);
    network.deliver_all();
    assert_eq!(network.answers(1), [(call, Answer::Stands)]);
    network.with(1, |control, now, actions| control.hang_up(now, actions, call));
    network.advance(ms(1300));
    deliver(network, 1, 2);
    let mut completes = network.take_sent(2, 1);
    completes.retain(|octets| name(octets).as_deref() == Some("RLC"));
    let [first, second] = &completes[..] else { panic!("expected two release completes") };
    network.deliver(2, 1, first);
    second.clone()
}

fn deliver(network: &mut TestNetwork, from: u16, to: u16) {
    network.take_sent(from, to).iter().for_each(|octets| network.deliver(from, to, octets));
}

fn assert_stands(network: &mut TestNetwork, call: CallId) {
    network.deliver_all();
    assert_eq!(network.answers(1), [(call, Answer::Stands)]);
    network.advance(ms(1000));
    network.deliver_all();
    assert!(network.ended_calls(1).is_empty());
    network.with(1, |control, now, actions| control.hang_up(now, actions, call));
    network.deliver_all();
    network.assert_idle();
}

// Guards against: the second of two release completes taken for one of the next call on the circuit, which was cut by it.
#[test]
fn a_second_release_complete_does_not_end_the_next_call_on_the_circuit() {
    let mut network = TestNetwork::new(2, 1);
    let second = with_second_release_complete(&mut network);
    let call = network.offer_call(1, 2, 5, 0);
    let set_up = network.take_sent(1, 2);
    network.deliver(2, 1, &second);
    assert!(network.answers(1).is_empty(), "it is still being set up");
    set_up.iter().for_each(|octets| network.deliver(1, 2, octets));
    assert_stands(&mut network, call);
}

// Guards against: the same where the next call stands already.
#[test]
fn a_second_release_complete_does_not_cut_the_next_call_that_stands() {
    let mut network = TestNetwork::new(2, 1);
    let second = with_second_release_complete(&mut network);
    let call = network.offer_call(1, 2, 5, 0);
    deliver(&mut network, 1, 2);
    deliver(&mut network, 2, 1);
    network.deliver(2, 1, &second);
    assert_stands(&mut network, call);
}

#[test]
fn a_release_complete_for_which_no_release_was_sent_still_ends_the_call() {
    let mut network = TestNetwork::new(2, 1);
    let second = with_second_release_complete(&mut network);
    network.deliver(2, 1, &second);
    let call = network.offer_call(1, 2, 5, 0);
    network.deliver_all();
    assert_eq!(network.answers(1), [(call, Answer::Stands)]);
    network.deliver(2, 1, &second);
    assert_eq!(network.ended_calls(1).len(), 1, "it is over for the far end");
}

#[test]
fn release_completes_that_were_lost_with_the_link_are_not_waited_for() {
    let mut network = TestNetwork::new(2, 1);
    let second = with_second_release_complete(&mut network);
    network.break_link(1, 2);
    network.restore_link(1, 2);
    network.deliver_all();
    assert_eq!(network.group_status(1, 2).link, LinkStatus::Up);
    let call = network.offer_call(1, 2, 5, 0);
    network.deliver_all();
    assert_eq!(network.answers(1), [(call, Answer::Stands)]);
    network.deliver(2, 1, &second);
    assert_eq!(network.ended_calls(1).len(), 1);
}

#[test]
fn late_messages_of_a_set_up_that_was_given_up_do_not_touch_the_next_one() {
    let mut network = TestNetwork::new(2, 1);
    let first = network.offer_call(1, 2, 5, 0);
    deliver(&mut network, 1, 2);
    // The caller gives up while the answer is on its way.
    let late = network.take_sent(2, 1);
    network.with(1, |control, now, actions| control.hang_up(now, actions, first));
    late.iter().for_each(|octets| network.deliver(2, 1, octets));
    assert_eq!(network.answers(1), [(first, Answer::Fails)], "the late answer changes nothing");
    let sent = network.take_sent(1, 2);
    let second = network.offer_call(1, 2, 5, 0);
    assert!(network.take_sent(1, 2).is_empty(), "the circuit waits for its release complete");
    sent.iter().for_each(|octets| network.deliver(1, 2, octets));
    network.deliver_all();
    assert!(network.answers(1).iter().all(|(call, _)| *call == second));
    network.with(1, |control, now, actions| control.hang_up(now, actions, second));
    network.deliver_all();
    network.assert_idle();
}
