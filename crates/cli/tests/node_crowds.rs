//! `mintstall node` and callers that only disrupt: hundreds that write slowly or stop half way, and single ones that send small
//! or unsound requests at full speed. The others are answered in time, and the memory stays within the limit.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::node::{Caller, Node, config, invite, request, start_bus, start_counting_exchange};
use common::{TIMEOUT, peak_memory_kib, write_in_pieces};
use mintstall_platform::exchange_protocol::{self, MessageType, WireCallId, parameter};
use nix::sys::signal::Signal;
use serde_json::json;

/// The least memory and the most descriptors that a controller gets on the platform.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Circuits of the exchange's group.
const CIRCUITS: usize = 1000;
/// Callers may hold a third of the descriptors; the bad ones come on top of that, up to what the controller accepts.
const CROWD: usize = 600;
/// A usual caller's set-up is to be answered within its setup target of 2 s; half of that is left to slow machines.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Close to the maximum length of a message.
const LONG: usize = 16_000;

fn start(name: &str) -> Node {
    let exchange = start_counting_exchange(CIRCUITS);
    let (bus, _) = start_bus();
    let mut config = config(exchange, bus);
    config["limits"] = json!({ "cores": 0.3, "memory_mb": MEMORY_MB, "sockets": SOCKETS });
    let node = Node::start(name, &config);
    wait_for_links(&node);
    node
}

fn wait_for_links(node: &Node) {
    let (started, mut caller) = (Instant::now(), node.connect());
    for id in (1 << 52).. {
        caller.send(&invite(id, "1"));
        if caller.next_status() == "200" {
            return;
        }
        assert!(started.elapsed() < TIMEOUT, "no set-up is answered");
        thread::sleep(Duration::from_millis(20));
    }
}

fn assert_memory_within_limit(node: &Node, what: &str) {
    let peak = peak_memory_kib(&node.child);
    println!("{what}: {peak} KiB at most");
    assert!(peak < MEMORY_MB << 10, "{what}: {peak} KiB");
}

/// The next response. A usual caller can get some releases of calls that it does not know.
fn next_response(caller: &mut Caller) -> String {
    loop {
        let status = caller.next_status();
        if status != "BYE" {
            return status;
        }
    }
}

/// Calls of a usual caller, one after another, until `is_over`. Returns the longest time to an answer.
fn call_until(node: &Node, what: &str, is_over: &dyn Fn() -> bool) -> Duration {
    let mut caller = node.connect();
    let mut longest = Duration::ZERO;
    for id in (1 << 48).. {
        let offered = Instant::now();
        caller.send(&invite(id, "1"));
        assert_eq!(next_response(&mut caller), "200", "{what}");
        longest = longest.max(offered.elapsed());
        assert!(longest < MAX_ANSWER_TIME, "{what}: answered after {longest:?}");
        caller.send(&request("BYE", id));
        assert_eq!(next_response(&mut caller), "200", "{what}");
        if is_over() {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    println!("{what}: answered within {longest:?}");
    longest
}

fn head_with_length(body_octets: usize) -> String {
    invite(1, "1")
        .replace("Content-Length: 5\r\n\r\nhello", &format!("Content-Length: {body_octets}\r\n\r\n"))
}

/// The beginnings of large requests, as a name and the pieces that are written one after another.
fn unfinished_requests() -> Vec<(&'static str, Vec<Vec<u8>>)> {
    let start_line = "INVITE sip:7@net SIP/2.0\r\n";
    let body = head_with_length(LONG - 500) + &"b".repeat(LONG - 1500);
    let long_field = format!("{start_line}X-Long: {}", "x".repeat(LONG));
    let short_fields = format!("{start_line}{}", "a:b\r\n".repeat(LONG / 5));
    let most_fields = format!("{start_line}{}", "a:b\r\n".repeat(60)) + "Content-Length: 15000\r\n\r\n";
    let whole = |text: &str| vec![text.as_bytes().to_vec()];
    let grown = vec![vec![b'I'; 0], long_field.as_bytes()[..LONG].to_vec(), b"x".to_vec(), b"x".to_vec()];
    vec![
        ("stopped in a body", whole(&body)),
        ("stopped in a field", whole(&long_field)),
        ("very many short fields", whole(&short_fields)),
        ("sixty fields and no body", whole(&most_fields)),
        ("a long field, then octet by octet", grown),
        ("slow in a body", body.as_bytes().chunks(LONG / 40).map(<[u8]>::to_vec).collect()),
        ("slow in short fields", short_fields.as_bytes().chunks(LONG / 40).map(<[u8]>::to_vec).collect()),
    ]
}

// Guards against: a process that passes its memory limit as hundreds of callers stop half way through large requests.
#[test]
fn hundreds_of_unfinished_requests_keep_within_the_memory_limit_and_others_are_answered() {
    for (what, pieces) in unfinished_requests() {
        let node = start("crowd.json");
        let crowd = (0..CROWD).map(|_| TcpStream::connect(node.callers).unwrap()).collect();
        let writer = write_in_pieces(crowd, pieces, Duration::from_millis(40));
        call_until(&node, what, &|| writer.is_finished());
        assert_memory_within_limit(&node, what);
        drop(writer.join().unwrap());
    }
}

/// Sends on one connection at full speed what `next` returns, and reads all that comes.
fn flood(node: &Node, next: impl Fn(u64) -> String + Send + 'static) -> thread::JoinHandle<u64> {
    let mut stream = TcpStream::connect(node.callers).unwrap();
    let mut reader = stream.try_clone().unwrap();
    thread::spawn(move || {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(1..) = reader.read(&mut buffer) {}
    });
    thread::spawn(move || {
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < FLOOD_TIME {
            let batch: String = (sent..sent + 100).map(&next).collect();
            if stream.write_all(batch.as_bytes()).is_err() {
                break;
            }
            sent += 100;
        }
        // Fails if the controller has closed it.
        let _ = stream.shutdown(std::net::Shutdown::Both);
        sent
    })
}

type Request = fn(u64) -> String;

/// Small and unsound requests, each under a new id.
fn small_requests() -> Vec<(&'static str, Request)> {
    vec![
        ("tests", |id| request("OPTIONS", id)),
        ("releases of unknown calls", |id| request("BYE", id << 8)),
        ("unknown methods", |id| request("SUBSCRIBE", id)),
        ("empty lines", |_| "\r\n\r\n".into()),
        ("responses to nothing", |id| {
            format!("SIP/2.0 200 OK\r\nCall-ID: {id:016x}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n")
        }),
        ("unknown classes", |id| invite(id << 8, "1").replace("voice", &format!("class{id}"))),
        ("unknown customers", |id| {
            invite(id << 8, "1").replace("P-Trunk", &format!("P-Customer: c{id}\r\nP-Trunk"))
        }),
        ("figures out of range", |id| invite(id << 8, "99999999")),
        ("new numbers, taken back", |id| {
            let number = format!("sip:{:016x}@net", id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            invite(id << 8, "1").replace("sip:7f3a9c21e0b4d655@net", &number) + &request("CANCEL", id << 8)
        }),
        ("calls at unknown exchanges", |id| invite(id << 8, "1").replace("dest:1", "at:nowhere;dest:1")),
        ("one id again and again", |_| invite(77, "1") + &request("CANCEL", 77)),
    ]
}

// Guards against: callers that are answered late, and memory that grows, while one sends at full speed under ever new names.
#[test]
fn a_flood_of_small_requests_on_one_connection_leaves_the_others_their_time_and_memory() {
    for (what, next) in small_requests() {
        let node = start("flood.json");
        let flood = flood(&node, next);
        call_until(&node, what, &|| flood.is_finished());
        println!("{what}: {} requests", flood.join().unwrap());
        assert_memory_within_limit(&node, what);
    }
}

// Guards against: a link closed because the rest of a message, which had arrived, was behind a crowd's requests (issue 45).
#[test]
fn an_answer_behind_the_requests_of_a_crowd_is_read_before_its_link_is_judged() {
    const READY_CALLERS: usize = 400;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (bus, _) = start_bus();
    let mut config = config(listener.local_addr().unwrap(), bus);
    config["limits"] = json!({ "cores": 0.3, "memory_mb": MEMORY_MB, "sockets": SOCKETS });
    let node = Node::start("ready-crowd.json", &config);
    let mut links: Vec<_> = (0..LINKS).map(|_| listener.accept().unwrap().0).collect();
    links.iter_mut().for_each(|link| link.write_all(&idle_report()).unwrap());
    let mut crowd: Vec<_> = (0..READY_CALLERS).map(|_| node.connect()).collect();
    thread::sleep(Duration::from_millis(300));
    let mut caller = node.connect();
    caller.send(&invite(7, "1"));
    let link =
        links.iter_mut().find_map(|link| has_set_up(link).then_some(link)).expect("the set-up was sent on");
    let answer = message(MessageType::Answer, &[(parameter::DESCRIPTION, b"answer")]);
    let (first_half, second_half) = answer.split_at(answer.len() / 2);
    link.write_all(first_half).unwrap();
    thread::sleep(Duration::from_millis(50));
    node.signal(Signal::SIGSTOP);
    crowd.iter_mut().for_each(|member| member.send(&request("OPTIONS", 0)));
    link.write_all(second_half).unwrap();
    thread::sleep(Duration::from_millis(1000));
    node.signal(Signal::SIGCONT);
    assert_eq!(caller.next_message(), Some(("200".to_string(), "answer".to_string())));
}

/// Links that a controller opens to its only exchange.
const LINKS: usize = 4;

fn message(kind: MessageType, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut octets = Vec::new();
    exchange_protocol::encode(&mut octets, kind, WireCallId(7), parameters);
    octets
}

fn idle_report() -> Vec<u8> {
    message(MessageType::State, &[(parameter::REPORT, b"idle:9;circuits:9")])
}

/// Whether something comes on a link, which can only be a set-up.
fn has_set_up(link: &mut TcpStream) -> bool {
    link.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    matches!(link.read(&mut [0; 4096]), Ok(1..))
}
