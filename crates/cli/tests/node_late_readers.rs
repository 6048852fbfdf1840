//! `mintstall node` and callers that read late: much of what is due to them still waits in the controller when it stops, or
//! when a crowd needs room.

mod common;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use common::node::{Caller, Node, config, invite, invite_with, request, start_bus, start_exchange};
use nix::sys::signal::Signal;

/// Close to the maximum length of a message, with room for its headers.
const LONG_DESCRIPTION_OCTETS: usize = 15_000;
/// Far more octets than the sockets of a connection with small buffers hold.
const LONG_CALLS: u64 = 40;
/// Connections of callers that a controller with 256 descriptors accepts.
const MAX_CALLERS: u64 = 160;
/// Connections that are accepted beside the first part of a crowd.
const ROOM: u64 = 30;
/// From SIGTERM to the earliest SIGKILL, where the longest deadline is 3 s or more.
const KILL_AFTER: Duration = Duration::from_millis(3700);

fn start(name: &str) -> Node {
    let (exchange, _received) = start_exchange();
    let (bus, _) = start_bus();
    let node = Node::start(name, &config(exchange, bus));
    // The links are up once a call was answered.
    let mut caller = node.connect();
    caller.send(&invite(1 << 40, "1"));
    assert_eq!(caller.next_status(), "200");
    node
}

/// A caller to which long answers are due that it does not read.
fn late_reader(node: &Node) -> Caller {
    let mut caller = node.connect_with_small_buffers();
    let description = "d".repeat(LONG_DESCRIPTION_OCTETS);
    for id in 0..LONG_CALLS {
        caller.send(&invite_with(id, "1", &description));
        // One at a time, since the controller limits the set-ups in flight to an exchange that is new to it.
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(500));
    caller
}

/// How many messages of each kind a caller gets until its connection is closed.
fn read_to_end(caller: &mut Caller) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    while let Some((status, _)) = caller.next_message() {
        *counts.entry(status).or_default() += 1;
    }
    counts
}

/// The final answers among what a caller got. A set-up that the controller reads late may be refused.
fn final_answers(received: &BTreeMap<String, u64>) -> u64 {
    ["200", "500", "503"].iter().filter_map(|status| received.get(*status)).sum()
}

// Guards against: answers cut, and requests thrown away, as a controller stops beside a caller that reads late (issue 45).
#[test]
fn a_caller_that_reads_late_gets_every_answer_of_a_controller_that_stops() {
    let node = start("late-stop.json");
    let mut caller = late_reader(&node);
    let stopped = Instant::now();
    node.signal(Signal::SIGTERM);
    // The caller has not been sent a close yet, so it goes on using its connection.
    thread::sleep(Duration::from_millis(3300));
    caller.send(&invite(1 << 20, "1"));
    thread::sleep(Duration::from_millis(200));
    let answers = read_to_end(&mut caller);
    assert!(stopped.elapsed() < KILL_AFTER, "{:?}", stopped.elapsed());
    assert_eq!(final_answers(&answers), LONG_CALLS + 1, "{answers:?}");
}

// Guards against: answers cut as room is made for a crowd (issue 45).
#[test]
fn a_caller_that_reads_late_gets_every_answer_beside_a_crowd() {
    let node = start("late-crowd.json");
    let mut caller = late_reader(&node);
    let crowd: Vec<_> = (0..MAX_CALLERS)
        .map(|index| {
            let mut member = node.connect();
            member.send(&invite((1 << 30) + index, "1"));
            assert_eq!(member.next_status(), "200");
            member
        })
        .collect();
    let answers: Vec<_> = (0..LONG_CALLS).map(|_| caller.next_status()).collect();
    assert!(answers.iter().all(|answer| ["200", "503"].contains(&answer.as_str())), "{answers:?}");
    drop(crowd);
}

// Guards against: a connection closed for a crowd before the request that has arrived on it is read (issue 45).
#[test]
fn a_request_that_has_arrived_is_answered_though_a_crowd_follows() {
    let node = start("crowd-behind.json");
    let mut crowd: Vec<_> = (0..MAX_CALLERS - ROOM).map(|_| node.connect()).collect();
    for member in &mut crowd {
        member.send(&request("OPTIONS", 0));
        assert_eq!(member.next_status(), "200");
    }
    node.signal(Signal::SIGSTOP);
    let mut caller = node.connect();
    caller.send(&invite(7, "1"));
    crowd.extend((0..2 * ROOM).map(|_| node.connect()));
    thread::sleep(Duration::from_millis(200));
    node.signal(Signal::SIGCONT);
    assert_eq!(caller.next_status(), "200");
}
