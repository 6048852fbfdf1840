//! `mintstall node` and callers that close their connection while much of what they sent is still unread: nobody waits for
//! those requests any more.
//!
//! The controller is stopped while a caller writes and closes, so that it finds all of it at once.

mod common;

use std::io::Write;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use common::node::{Node, config, invite, request, start_bus, start_exchange};
use mintstall_platform::exchange_protocol::MessageType;
use nix::sys::signal::Signal;

/// More than the controller reads of one connection in a turn.
const REQUESTS: u64 = 600;
const SETTLED: Duration = Duration::from_millis(700);

struct Platform {
    node: Node,
    received: Receiver<(MessageType, u64)>,
}

impl Platform {
    fn start(name: &str) -> Self {
        let (exchange, received) = start_exchange();
        let (bus, _) = start_bus();
        let node = Node::start(name, &config(exchange, bus));
        let platform = Self { node, received };
        // The links are up once a call was answered.
        let mut caller = platform.node.connect();
        caller.send(&invite(1 << 40, "1"));
        assert_eq!(caller.next_status(), "200");
        platform.set_ups();
        platform
    }

    /// The set-ups that the exchange has received since the last call.
    fn set_ups(&self) -> Vec<u64> {
        std::thread::sleep(SETTLED);
        self.received.try_iter().filter(|(kind, _)| *kind == MessageType::SetUp).map(|(_, id)| id).collect()
    }

    /// Writes requests on a new connection and closes it, while the controller does not read.
    fn write_and_close(&self, requests: &str, is_reset: bool) {
        let caller = self.node.connect();
        if is_reset {
            // An unread response makes the close a reset.
            (&caller.stream).write_all(request("OPTIONS", 5).as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(100));
        }
        self.node.signal(Signal::SIGSTOP);
        (&caller.stream).write_all(requests.as_bytes()).unwrap();
        drop(caller);
        std::thread::sleep(Duration::from_millis(50));
        self.node.signal(Signal::SIGCONT);
    }
}

// Guards against: requests of a caller that has left, sent on to exchanges because they were read before its close.
#[test]
fn set_ups_of_a_caller_that_has_closed_are_not_sent_on() {
    for is_reset in [false, true] {
        let platform = Platform::start(&format!("left-{is_reset}.json"));
        let requests: String = (0..REQUESTS).map(|id| invite(id, "1")).collect();
        platform.write_and_close(&requests, is_reset);
        assert_eq!(platform.set_ups().len(), 0, "closed by a reset: {is_reset}");
    }
}

// Guards against: an id that runs twice, when it comes again on a new connection after its caller has left.
#[test]
fn an_id_that_comes_again_after_its_caller_left_runs_once() {
    for is_reset in [false, true] {
        let platform = Platform::start(&format!("again-{is_reset}.json"));
        let requests: String = (0..REQUESTS).map(|id| invite(id, "1")).collect();
        platform.write_and_close(&requests, is_reset);
        let mut caller = platform.node.connect();
        for id in [3, REQUESTS - 1] {
            caller.send(&invite(id, "1"));
            assert_eq!(caller.next_status(), "200", "id {id}, closed by a reset: {is_reset}");
        }
        let mut set_ups = platform.set_ups();
        set_ups.retain(|id| [3, REQUESTS - 1].contains(id));
        assert_eq!(set_ups.len(), 2, "{set_ups:?}, closed by a reset: {is_reset}");
    }
}

// What ends a call counts, though its caller has left.
#[test]
fn releases_of_a_caller_that_has_closed_are_carried_out() {
    for is_reset in [false, true] {
        let platform = Platform::start(&format!("released-{is_reset}.json"));
        let requests: String = (0..REQUESTS).map(|id| request("OPTIONS", id)).collect();
        platform.write_and_close(&(requests + &request("BYE", 1 << 40)), is_reset);
        std::thread::sleep(SETTLED);
        let mut messages = platform.received.try_iter();
        assert!(messages.any(|message| message == (MessageType::Release, 1 << 40)), "a reset: {is_reset}");
    }
}
