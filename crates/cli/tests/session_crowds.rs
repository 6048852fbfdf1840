//! `mintstall run` and clients that only disrupt: hundreds that write slowly or stop half way, and single ones that send small or
//! unsound requests at full speed. The others are answered in time, and the memory stays bounded.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::sessions::{RawClient, Site, offer_request};
use common::{peak_memory_kib, write_in_pieces};
use mintstall_client::{CallOutcome, offer};
use mintstall_emulator::FarPlan;
use mintstall_isup::Frame;
use serde_json::{Value, json};

/// The goal for a controller's memory with 10,000 standing calls, far more than stand here.
const MEMORY_KIB: u64 = 64 << 10;
const CROWD: usize = 600;
/// A usual client's call is to stand within its setup target of 2 s; half of that is left to slow machines.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Close to the maximum length of a text.
const LONG: usize = 16_000;

fn start(name: &str) -> Site {
    // No rate limits: what protects the others here is not the count of requests.
    let limits =
        json!({ "requests_per_s": 1e9, "requests_at_once": 1e9, "offers_per_s": 1e9, "offers_at_once": 1e9 });
    Site::start(name, FarPlan::default(), json!({ "limits": limits }))
}

fn addr(site: &Site, port: &str) -> SocketAddr {
    site.controller.ready[port].as_str().unwrap().parse().unwrap()
}

fn assert_memory_is_bounded(site: &Site, what: &str) {
    let peak = peak_memory_kib(&site.controller.child);
    println!("{what}: {peak} KiB at most");
    assert!(peak < MEMORY_KIB, "{what}: {peak} KiB");
}

/// Calls of a usual client, one after another, until `is_over`.
fn call_until(site: &Site, what: &str, is_over: &dyn Fn() -> bool) {
    let mut client = site.client();
    let mut longest = Duration::ZERO;
    for number in 0.. {
        let offered = Instant::now();
        let call = client.start(offer(2, 7_000_000 + number, Duration::from_secs(5))).unwrap();
        let outcome = client.outcome(call).unwrap();
        assert!(matches!(outcome, CallOutcome::Stands { .. }), "{what}: {outcome:?}");
        longest = longest.max(offered.elapsed());
        assert!(longest < MAX_ANSWER_TIME, "{what}: answered after {longest:?}");
        client.hang_up(call);
        if is_over() {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    println!("{what}: answered within {longest:?}");
}

/// The frame of a text of `octets`, without its last ones. The mask is zero.
fn unfinished_frame(octets: usize) -> Vec<u8> {
    let mut frame = vec![0x81, 0x80 | 126];
    frame.extend((octets as u16).to_be_bytes());
    frame.extend([0; 4]);
    frame.extend(vec![b' '; octets - 10]);
    frame
}

/// A name, the port, whether the connection is opened as a WebSocket first, and what is written piece by piece.
type Unfinished = (&'static str, &'static str, bool, Vec<Vec<u8>>);

fn unfinished_requests() -> Vec<Unfinished> {
    let pieces = |octets: &[u8]| octets.chunks(LONG / 40).map(<[u8]>::to_vec).collect::<Vec<_>>();
    let line = format!("{{\"jsonrpc\":\"2.0\",\"x\":\"{}", "x".repeat(LONG - 100)).into_bytes();
    let short_fields = format!("{{{}", "\"a\":1,".repeat(LONG / 6 - 10)).into_bytes();
    let head = "GET /calls HTTP/1.1\r\n".to_string();
    let fields = (head.clone() + &"a:b\r\n".repeat(1600)).into_bytes();
    let field = (head + "X-Long: " + &"x".repeat(8000)).into_bytes();
    let fragments: Vec<u8> =
        (0..2000).flat_map(|piece| [u8::from(piece == 0), 0x80 | 1, 0, 0, 0, 0, b' ']).collect();
    let mut link = Vec::new();
    Frame::AspUp { asp: Some(9) }.write(&mut link);
    link.truncate(link.len() - 1);
    let frame = unfinished_frame(LONG);
    vec![
        ("a line, stopped", "subscribers", false, vec![line.clone()]),
        ("a line, slow", "subscribers", false, pieces(&line)),
        ("a line of very many short fields", "subscribers", false, pieces(&short_fields)),
        ("a handshake, stopped in a field", "calls", false, vec![field]),
        ("a handshake of very many short fields", "calls", false, pieces(&fields)),
        ("a text, stopped", "calls", true, vec![frame.clone()]),
        ("a text, slow", "calls", true, pieces(&frame)),
        ("a text of very many fragments", "calls", true, vec![fragments]),
        ("a first frame, stopped", "signalling", false, vec![link]),
    ]
}

// Guards against: memory that grows as hundreds of clients stop half way through large requests, and others that wait.
#[test]
fn hundreds_of_unfinished_requests_keep_the_memory_bounded_and_others_are_answered() {
    for (what, port, is_websocket, pieces) in unfinished_requests() {
        let site = start("session-crowd.json");
        let open = |_| match is_websocket {
            true => RawClient::open(addr(&site, port)).stream,
            false => TcpStream::connect(addr(&site, port)).unwrap(),
        };
        let crowd: Vec<TcpStream> = (0..CROWD).map(open).collect();
        let writer = write_in_pieces(crowd, pieces, Duration::from_millis(30));
        call_until(&site, what, &|| writer.is_finished());
        assert_memory_is_bounded(&site, what);
        drop(writer.join().unwrap());
        site.finish();
    }
}

/// Sends on one connection at full speed what `next` returns, and reads all that comes.
fn flood(mut stream: TcpStream, next: impl Fn(u64) -> Vec<u8> + Send + 'static) -> thread::JoinHandle<u64> {
    let mut reader = stream.try_clone().unwrap();
    reader.set_read_timeout(None).unwrap();
    thread::spawn(move || {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(1..) = reader.read(&mut buffer) {}
    });
    thread::spawn(move || {
        let (started, mut sent) = (Instant::now(), 0);
        while started.elapsed() < FLOOD_TIME {
            let batch: Vec<u8> = (sent..sent + 100).flat_map(&next).collect();
            if stream.write_all(&batch).is_err() {
                break;
            }
            sent += 100;
        }
        // Fails if the controller has closed it.
        let _ = stream.shutdown(Shutdown::Both);
        sent
    })
}

fn text(method: &str, params: Value) -> String {
    json!({ "jsonrpc": "2.0", "id": 1, "method": method, "params": params }).to_string()
}

type Request = fn(u64) -> String;

/// Small and unsound requests, as texts of the call-control API.
fn small_requests() -> Vec<(&'static str, Request)> {
    vec![
        ("no JSON", |_| "{".into()),
        ("unknown methods", |id| text(&format!("call.m{id}"), json!({}))),
        ("hang-ups of unknown calls", |id| text("call.hangup", json!({ "call": id }))),
        ("unknown types", |id| {
            offer_request(id + 1, 5000).to_string().replace("\"dest\":2", "\"dest\":2,\"type\":99")
        }),
        ("new sessions", |_| text("session.hello", json!({ "client": "c", "resumable": true }))),
        ("new keys", |id| text("session.hello", json!({ "client": "c", "resume": format!("{id:032x}") }))),
        ("subscriptions", |_| text("calls.subscribe", json!({}))),
        ("new numbers without time", |id| offer_request(id + 1, 0).to_string()),
        ("new numbers, taken back", |id| {
            let offer = offer_request(id + 1, 5000).to_string();
            offer + "\n" + &text("call.cancel", json!({ "call": id + 1 }))
        }),
    ]
}

// Guards against: clients that are answered late, and memory that grows, while one sends at full speed under ever new names.
#[test]
fn a_flood_of_small_requests_on_one_line_leaves_the_others_their_time_and_memory() {
    for (what, next) in small_requests() {
        let site = start("line-flood.json");
        let stream = TcpStream::connect(addr(&site, "subscribers")).unwrap();
        let flood = flood(stream, move |id| (next(id) + "\n").into_bytes());
        call_until(&site, what, &|| flood.is_finished());
        println!("{what}: {} requests", flood.join().unwrap());
        assert_memory_is_bounded(&site, what);
        site.finish();
    }
}

/// A masked frame. The mask is zero.
fn frame(opcode: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = vec![0x80 | opcode];
    match payload.len() {
        length @ 0..=125 => frame.push(0x80 | length as u8),
        length => {
            frame.push(0x80 | 126);
            frame.extend((length as u16).to_be_bytes());
        }
    }
    frame.extend([0; 4]);
    frame.extend(payload);
    frame
}

#[test]
fn a_flood_over_websocket_or_at_the_other_ports_leaves_the_others_their_time_and_memory() {
    type Octets = fn(u64) -> Vec<u8>;
    let floods: Vec<(&str, &str, Octets)> = vec![
        ("pings", "calls", |_| frame(9, b"are you there")),
        ("texts that are no JSON", "calls", |_| frame(1, b"{")),
        ("offers taken back", "calls", |id| {
            let cancel = text("call.cancel", json!({ "call": id + 1 }));
            let offer = offer_request(id + 1, 5000).to_string();
            [frame(1, offer.as_bytes()), frame(1, cancel.as_bytes())].concat()
        }),
        ("requests for the status", "admin", |_| {
            b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n".to_vec()
        }),
        ("unsound requests to the admin port", "admin", |id| format!("{{{id}\n").into_bytes()),
    ];
    for (what, port, next) in floods {
        let site = start("port-flood.json");
        let stream = match port {
            "calls" => RawClient::open(addr(&site, port)).stream,
            _ => TcpStream::connect(addr(&site, port)).unwrap(),
        };
        let flood = flood(stream, next);
        call_until(&site, what, &|| flood.is_finished());
        println!("{what}: {} requests", flood.join().unwrap());
        assert_memory_is_bounded(&site, what);
        site.finish();
    }
}
