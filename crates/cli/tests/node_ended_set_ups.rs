//! `mintstall node` and set-ups that have ended for their callers, by a cancel or because their time is over, before they are
//! sent on: no exchange gets them.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use common::node::{
    Caller, Node, config, invite, invite_with, listen_with_small_buffers, request, start_bus, start_exchange,
};
use mintstall_platform::exchange_protocol::{self, MessageType, WireCallId, parameter};
use nix::sys::signal::Signal;

const SETTLED: Duration = Duration::from_millis(700);
/// Close to the maximum length of a message, with room for its headers.
const LONG_DESCRIPTION_OCTETS: usize = 15_000;

/// The set-ups that an exchange has received since the last call.
fn set_ups(received: &Receiver<(MessageType, u64)>) -> Vec<u64> {
    thread::sleep(SETTLED);
    received.try_iter().filter(|(kind, _)| *kind == MessageType::SetUp).map(|(_, id)| id).collect()
}

fn start(name: &str) -> (Node, Receiver<(MessageType, u64)>, Caller) {
    let (exchange, received) = start_exchange();
    let (bus, _) = start_bus();
    let node = Node::start(name, &config(exchange, bus));
    // The links are up once a call was answered.
    let mut caller = node.connect();
    caller.send(&invite(1 << 40, "1"));
    assert_eq!(caller.next_status(), "200");
    set_ups(&received);
    (node, received, caller)
}

// Guards against: a set-up sent on although its cancel was there before it was sent (issue 45).
#[test]
fn a_set_up_that_was_cancelled_before_it_was_read_is_not_sent_on() {
    const CALLS: u64 = 5;
    let (node, received, mut caller) = start("cancelled.json");
    node.signal(Signal::SIGSTOP);
    (0..CALLS).for_each(|id| caller.send(&invite(id, "1")));
    thread::sleep(Duration::from_millis(100));
    (0..CALLS).for_each(|id| caller.send(&request("CANCEL", id)));
    thread::sleep(Duration::from_millis(100));
    node.signal(Signal::SIGCONT);
    let answers: Vec<_> = (0..2 * CALLS).map(|_| caller.next_status()).collect();
    assert_eq!(answers.iter().filter(|answer| *answer == "487").count() as u64, CALLS, "{answers:?}");
    assert_eq!(set_ups(&received), [0; 0]);
}

// Guards against: the same in hundreds of processes that do not run for a while.
#[test]
fn cancelled_set_ups_are_not_sent_on_by_a_large_fleet_that_is_paused() {
    const FLEET: u64 = 300;
    let (exchange, received) = start_exchange();
    let (bus, _) = start_bus();
    let controllers = (0..FLEET).map(|id| {
        let config = config(exchange, bus);
        thread::spawn(move || {
            let node = Node::start(&format!("cancelled-{id}.json"), &config);
            let mut caller = node.connect();
            caller.send(&invite(FLEET + id, "1"));
            assert_eq!(caller.next_status(), "200");
            node.signal(Signal::SIGSTOP);
            caller.send(&invite(id, "1"));
            thread::sleep(Duration::from_millis(100));
            caller.send(&request("CANCEL", id));
            thread::sleep(Duration::from_millis(100));
            node.signal(Signal::SIGCONT);
            while caller.next_status() != "487" {}
        })
    });
    let controllers: Vec<_> = controllers.collect();
    controllers.into_iter().for_each(|controller| controller.join().unwrap());
    let sent_on: Vec<_> = set_ups(&received).into_iter().filter(|id| *id < FLEET).collect();
    assert_eq!(sent_on.len(), 0, "of {FLEET}: {sent_on:?}");
}

// Guards against: a set-up sent on after its own time, in which its caller had waited, was over (issue 45).
#[test]
fn a_set_up_whose_time_was_over_before_it_was_read_is_not_sent_on() {
    let (node, received, mut caller) = start("overdue.json");
    node.signal(Signal::SIGSTOP);
    caller.send(&invite(1, "1").replace("Expires-Ms: 5000", "Expires-Ms: 200"));
    thread::sleep(Duration::from_millis(1000));
    node.signal(Signal::SIGCONT);
    let answer = caller.next_status();
    assert!(["408", "503"].contains(&answer.as_str()), "{answer}");
    assert_eq!(set_ups(&received), [0; 0]);
}

/// A link of an exchange that reads nothing yet.
struct UnreadLink {
    stream: TcpStream,
    /// Octets that the controller had written when its calls had ended: they are on their way.
    written: u64,
}

/// Accepts the links that a controller opens to its only exchange, over small segments and buffers.
fn accept_links(listener: &TcpListener) -> Vec<UnreadLink> {
    const LINKS: usize = 4;
    let mut octets = Vec::new();
    let parameters: &[(u8, &[u8])] = &[(parameter::REPORT, b"idle:900;circuits:900")];
    exchange_protocol::encode(&mut octets, MessageType::State, WireCallId(0), parameters);
    let accept = |_| {
        let mut stream = listener.accept().unwrap().0;
        stream.set_read_timeout(Some(SETTLED)).unwrap();
        stream.write_all(&octets).unwrap();
        UnreadLink { stream, written: 0 }
    };
    (0..LINKS).map(accept).collect()
}

/// Answers the set-ups that come on a link until `is_paused`, and then reads nothing more.
fn answer_until(mut link: UnreadLink, is_paused: &AtomicBool) -> UnreadLink {
    let (mut decoder, mut buffer) = (exchange_protocol::Decoder::default(), [0; 16384]);
    link.stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    while !is_paused.load(Ordering::Relaxed) {
        let Ok(count) = link.stream.read(&mut buffer) else { continue };
        decoder.push(&buffer[..count]);
        let mut answers = Vec::new();
        while let Some(message) = decoder.next_message().unwrap() {
            if message.kind == MessageType::SetUp {
                let parameters: &[(u8, &[u8])] = &[(parameter::DESCRIPTION, b"answer")];
                exchange_protocol::encode(&mut answers, MessageType::Answer, message.call, parameters);
            }
        }
        link.stream.write_all(&answers).unwrap();
    }
    link.stream.set_read_timeout(Some(SETTLED)).unwrap();
    link
}

/// Octets that the system holds of what was written from one port to another: not confirmed, or not read.
fn octets_in_sockets(from: u16, to: u16) -> u64 {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let octets = |local: u16, remote: u16, queue: usize| -> u64 {
        let has_ports = |line: &&str| {
            let fields: Vec<_> = line.split_whitespace().collect();
            fields[1].ends_with(&format!(":{local:04X}")) && fields[2].ends_with(&format!(":{remote:04X}"))
        };
        let line = sockets.lines().skip(1).find(has_ports).expect("the connection is open");
        let queues = line.split_whitespace().nth(4).unwrap();
        u64::from_str_radix(queues.split(':').nth(queue).unwrap(), 16).unwrap()
    };
    octets(from, to, 0) + octets(to, from, 1)
}

/// Reads a link to its end. Returns how many set-ups came, and how many of them began after `written`.
fn read_set_ups(mut link: UnreadLink) -> (usize, usize) {
    const LENGTH_OCTETS: usize = 2;
    let (mut received, mut buffer) = (Vec::new(), [0; 16384]);
    while let Ok(count @ 1..) = link.stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..count]);
    }
    let (mut start, mut all, mut late) = (0, 0, 0);
    while let [high, low, kind, ..] = received[start..] {
        if kind == MessageType::SetUp as u8 {
            all += 1;
            late += usize::from(start as u64 >= link.written);
        }
        start += LENGTH_OCTETS + usize::from(u16::from_be_bytes([high, low]));
    }
    assert_eq!(start, received.len(), "all messages are whole");
    (all, late)
}

// Guards against: a set-up that waits in the output of a link, sent on after its call was given up (issue 45).
#[test]
fn a_set_up_that_an_exchange_has_not_taken_is_not_sent_on_once_it_is_cancelled() {
    const CALLERS: u64 = 150;
    const LONG_CALLS: u64 = 12;
    const SHORT_DESCRIPTION_OCTETS: usize = 1000;
    const ANSWERED_CALLS: u64 = 300;
    let listener = listen_with_small_buffers();
    let (bus, _) = start_bus();
    let node = Node::start("late-exchange.json", &config(listener.local_addr().unwrap(), bus));
    let is_paused = Arc::new(AtomicBool::new(false));
    let servers = accept_links(&listener).into_iter().map(|link| {
        let is_paused = Arc::clone(&is_paused);
        thread::spawn(move || answer_until(link, &is_paused))
    });
    let servers: Vec<_> = servers.collect();
    // Answered calls raise the controller's limit for set-ups in flight.
    let mut first = node.connect();
    for id in 0..ANSWERED_CALLS {
        first.send(&invite((1 << 40) + id, "1"));
        first.next_status();
    }
    is_paused.store(true, Ordering::Relaxed);
    let mut links: Vec<_> = servers.into_iter().map(|server| server.join().unwrap()).collect();
    let mut callers: Vec<_> = (0..CALLERS).map(|_| node.connect()).collect();
    let description = "d".repeat(LONG_DESCRIPTION_OCTETS);
    thread::sleep(Duration::from_millis(200));
    node.signal(Signal::SIGSTOP);
    for (id, caller) in (0..).zip(&mut callers) {
        // The long ones nearly fill the sockets of the links.
        let octets = if id < LONG_CALLS { LONG_DESCRIPTION_OCTETS } else { SHORT_DESCRIPTION_OCTETS };
        caller.send(&invite_with(id, "1", &description[..octets]));
    }
    node.signal(Signal::SIGCONT);
    thread::sleep(Duration::from_millis(300));
    for (id, caller) in (0..).zip(&mut callers) {
        caller.send(&request("CANCEL", id));
        while !["487", "503"].contains(&caller.next_status().as_str()) {}
    }
    thread::sleep(Duration::from_millis(300));
    for link in &mut links {
        let peer = link.stream.peer_addr().unwrap().port();
        link.written = octets_in_sockets(peer, link.stream.local_addr().unwrap().port());
    }
    let readers: Vec<_> = links.into_iter().map(|link| thread::spawn(|| read_set_ups(link))).collect();
    let counts: Vec<_> = readers.into_iter().map(|reader| reader.join().unwrap()).collect();
    assert!(counts.iter().map(|(all, _)| all).sum::<usize>() > 0);
    assert_eq!(counts.iter().map(|(_, late)| late).sum::<usize>(), 0, "{counts:?}");
}
