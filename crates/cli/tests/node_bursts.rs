//! `mintstall node` under bursts: much output that is due to one peer at once. A peer that reads keeps its connection and
//! gets all of it; one that does not read is closed, and it alone.
//!
//! The controller is stopped while the burst is written, so that it reads all of it in as few turns as it can.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::node::{Caller, Node, config, invite, invite_with, start_bus};
use common::{TIMEOUT, peak_memory_kib};
use mintstall_platform::exchange_protocol::{self, MessageType, WireCallId, parameter};
use nix::sys::signal::Signal;

/// Close to the maximum length of a message, with room for its headers.
const LONG_DESCRIPTION_OCTETS: usize = 15_000;
const LONG_DESCRIPTION: [u8; LONG_DESCRIPTION_OCTETS] = [b'd'; LONG_DESCRIPTION_OCTETS];
/// The controller refuses more open set-ups on one connection.
const MAX_OPEN_SET_UPS: u64 = 256;
/// Circuits of the exchange's group.
const CIRCUITS: usize = 9000;
const STANDING_CALLS: u64 = 10 * MAX_OPEN_SET_UPS;

/// What an exchange shares with the threads that read its links.
#[derive(Default)]
struct Shared {
    /// Whether set-ups wait until the test answers them.
    holds_answers: AtomicBool,
    /// Whether set-ups that don't wait are answered with a long description.
    answers_at_length: AtomicBool,
    links_closed: AtomicUsize,
    /// Set-ups that are not answered, with their link.
    waiting: Mutex<Vec<(TcpStream, WireCallId)>>,
    /// Calls that stand, with their link.
    standing: Mutex<Vec<(TcpStream, WireCallId)>>,
}

/// An exchange with many circuits. It answers each set-up at once, or when the test says so.
struct Exchange {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Exchange {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let shared = Arc::new(Shared::default());
        let of_links = Arc::clone(&shared);
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                let shared = Arc::clone(&of_links);
                thread::spawn(move || {
                    serve_link(link, &shared);
                    shared.links_closed.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        Self { addr, shared }
    }

    fn hold_answers(&self) {
        self.shared.holds_answers.store(true, Ordering::Relaxed);
    }

    fn links_closed(&self) -> usize {
        self.shared.links_closed.load(Ordering::Relaxed)
    }

    fn wait_for_set_ups(&self, count: usize) {
        let started = Instant::now();
        loop {
            let arrived = self.shared.waiting.lock().unwrap().len();
            if arrived >= count {
                return;
            }
            assert!(started.elapsed() < TIMEOUT, "{arrived} of {count} set-ups have arrived");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Answers all set-ups that wait, whether or not the controller reads the answers.
    fn answer_all(&self, description_octets: usize) {
        let description = vec![b'd'; description_octets];
        let waiting = std::mem::take(&mut *self.shared.waiting.lock().unwrap());
        let parameters: &[(u8, &[u8])] = &[(parameter::DESCRIPTION, &description)];
        let answer = |call: &WireCallId| message(MessageType::Answer, *call, parameters);
        write_in_background(waiting.iter().map(|(link, call)| (link, answer(call))));
    }

    /// Releases all standing calls, whether or not the controller reads the releases.
    fn release_all(&self) {
        let standing = std::mem::take(&mut *self.shared.standing.lock().unwrap());
        let release = |call: &WireCallId| message(MessageType::Release, *call, &[(parameter::CAUSE, &[16])]);
        write_in_background(standing.iter().map(|(link, call)| (link, release(call))));
    }
}

fn message(kind: MessageType, call: WireCallId, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut octets = Vec::new();
    exchange_protocol::encode(&mut octets, kind, call, parameters);
    octets
}

/// Writes each link's messages in a thread of its own, since the controller may not read yet.
fn write_in_background<'a>(messages: impl Iterator<Item = (&'a TcpStream, Vec<u8>)>) {
    let mut by_link: Vec<(SocketAddr, TcpStream, Vec<u8>)> = Vec::new();
    for (link, octets) in messages {
        let controller = link.peer_addr().unwrap();
        match by_link.iter_mut().find(|(known, ..)| *known == controller) {
            Some((.., all)) => all.extend(octets),
            None => by_link.push((controller, link.try_clone().unwrap(), octets)),
        }
    }
    for (_, mut link, octets) in by_link {
        // The controller closes a link only where a test expects it.
        thread::spawn(move || link.write_all(&octets));
    }
    // Time for the threads to fill the sockets of a controller that is stopped.
    thread::sleep(Duration::from_millis(100));
}

fn serve_link(mut link: TcpStream, shared: &Shared) {
    let busy = shared.standing.lock().unwrap().len() + shared.waiting.lock().unwrap().len();
    let report = format!("idle:{};circuits:{CIRCUITS}", CIRCUITS.saturating_sub(busy));
    let parameters: &[(u8, &[u8])] = &[(parameter::REPORT, report.as_bytes())];
    link.write_all(&message(MessageType::State, WireCallId(0), parameters)).unwrap();
    let (mut decoder, mut buffer) = (exchange_protocol::Decoder::default(), [0; 16384]);
    while let Ok(count @ 1..) = link.read(&mut buffer) {
        decoder.push(&buffer[..count]);
        let mut answers = Vec::new();
        while let Some(received) = decoder.next_message().unwrap() {
            let call = (link.try_clone().unwrap(), received.call);
            match received.kind {
                MessageType::SetUp if shared.holds_answers.load(Ordering::Relaxed) => {
                    shared.waiting.lock().unwrap().push(call)
                }
                MessageType::SetUp => {
                    let long = shared.answers_at_length.load(Ordering::Relaxed);
                    let description = if long { &LONG_DESCRIPTION[..] } else { b"short" };
                    let parameters = &[(parameter::DESCRIPTION, description)];
                    answers.extend(message(MessageType::Answer, received.call, parameters));
                    shared.standing.lock().unwrap().push(call);
                }
                _ => {}
            }
        }
        // The controller closes a link only where a test expects it.
        let _ = link.write_all(&answers);
    }
}

/// Reads `count` messages that start with `start`, and asserts that the connection stays open until then.
fn expect_messages(caller: &mut Caller, count: u64, start: &str, body_octets: usize) {
    for received in 0..count {
        let message = caller.next_message();
        let (status, body) = message.unwrap_or_else(|| panic!("closed after {received} of {count}"));
        assert_eq!((status.as_str(), body.len()), (start, body_octets), "message {received}");
    }
}

/// A controller with a caller and an exchange, at which [`STANDING_CALLS`] calls stand. They have raised the controller's
/// limits for set-ups in flight.
struct Platform {
    node: Node,
    exchange: Exchange,
    caller: Caller,
}

impl Platform {
    fn start(name: &str) -> Self {
        let exchange = Exchange::start();
        let (bus, _) = start_bus();
        let node = Node::start(name, &config(exchange.addr, bus));
        let mut caller = node.connect();
        for batch in 0..STANDING_CALLS / MAX_OPEN_SET_UPS {
            let ids = (batch + 1) << 32..((batch + 1) << 32) + MAX_OPEN_SET_UPS;
            caller.send(&ids.map(|id| invite(id, "1")).collect::<String>());
            expect_messages(&mut caller, MAX_OPEN_SET_UPS, "200", "short".len());
        }
        Self { node, exchange, caller }
    }
}

// Guards against: answers that come together close the connection of a caller that reads (issue 34).
#[test]
fn answers_that_come_together_reach_a_caller_that_reads() {
    const CALLS: u64 = 50;
    let Platform { node, exchange, mut caller } = Platform::start("burst-answers.json");
    exchange.hold_answers();
    caller.send(&(0..CALLS).map(|id| invite(id, "1")).collect::<String>());
    exchange.wait_for_set_ups(CALLS as usize);
    node.signal(Signal::SIGSTOP);
    exchange.answer_all(LONG_DESCRIPTION_OCTETS);
    node.signal(Signal::SIGCONT);
    expect_messages(&mut caller, CALLS, "200", LONG_DESCRIPTION_OCTETS);
}

// Guards against: releases that come together close the connection of a caller that reads (issue 34).
#[test]
fn releases_that_come_together_reach_a_caller_that_reads() {
    let Platform { node, exchange, mut caller } = Platform::start("burst-releases.json");
    node.signal(Signal::SIGSTOP);
    exchange.release_all();
    node.signal(Signal::SIGCONT);
    expect_messages(&mut caller, STANDING_CALLS, "BYE", 0);
}

// Guards against: set-ups of many callers that come together close the links to an exchange that reads (issue 34).
#[test]
fn set_ups_of_a_crowd_that_come_together_reach_an_exchange_that_reads() {
    const CALLERS: u64 = 50;
    let Platform { node, exchange, caller: _caller } = Platform::start("burst-set-ups.json");
    let mut callers: Vec<_> = (0..CALLERS).map(|_| node.connect()).collect();
    exchange.hold_answers();
    node.signal(Signal::SIGSTOP);
    for (id, caller) in (0..).zip(&mut callers) {
        caller.send(&invite_with(id, "1", &"d".repeat(LONG_DESCRIPTION_OCTETS)));
    }
    node.signal(Signal::SIGCONT);
    exchange.wait_for_set_ups(CALLERS as usize);
    assert_eq!(exchange.links_closed(), 0);
    exchange.answer_all(10);
    callers.iter_mut().for_each(|caller| expect_messages(caller, 1, "200", 10));
}

#[test]
fn a_caller_that_does_not_read_is_closed_while_others_are_served_and_memory_stays_bounded() {
    const MEMORY_LIMIT_KIB: u64 = 32 << 10;
    let Platform { node, exchange, mut caller } = Platform::start("silent-caller.json");
    exchange.shared.answers_at_length.store(true, Ordering::Relaxed);
    let mut silent = node.connect();
    let is_closed = Arc::new(AtomicBool::new(false));
    let closed = Arc::clone(&is_closed);
    thread::spawn(move || {
        // The write blocks once the controller no longer reads, and fails when it closes the connection.
        while (1 << 60..).all(|id| silent.stream.write_all(invite(id, "1").as_bytes()).is_ok()) {}
        closed.store(true, Ordering::Relaxed);
    });
    let started = Instant::now();
    for id in 0.. {
        let offered = Instant::now();
        caller.send(&invite(id, "1"));
        expect_messages(&mut caller, 1, "200", LONG_DESCRIPTION_OCTETS);
        assert!(offered.elapsed() < Duration::from_secs(2), "answered after {:?}", offered.elapsed());
        if is_closed.load(Ordering::Relaxed) {
            break;
        }
        assert!(started.elapsed() < TIMEOUT, "it is not closed");
        thread::sleep(Duration::from_millis(50));
    }
    let peak = peak_memory_kib(&node.child);
    assert!(peak < MEMORY_LIMIT_KIB, "{peak} KiB");
}
