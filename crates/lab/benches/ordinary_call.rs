//! Measures ordinary calls through one controller on loopback against a bare mio echo that moves the same octets over the same
//! number of sockets in the same run. The result is their ratio, which load on the machine changes little. Allocations are
//! counted in the exchange core, without sockets.
//!
//! `cargo bench -p mintstall-lab --bench ordinary_call`. The controller runs in one thread of this process, the subscribers
//! and the far exchange in another.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use mintstall_callapi::{Hangup, LineDecoder, Offer, Request, RequestMessage, ServerMessage};
use mintstall_daemon::config::{
    CallApiConfig, CallType, Config, LimitsConfig, Link, Signalling, Subscribers,
};
use mintstall_daemon::{Exchange, Server, exchange::LineId, exchange::Transport};
use mintstall_isup::{Body, Deframer, Frame, Message, ProtocolData, RangeStatus};
use mintstall_websocket::{ClientHandshake, ClientHandshakeState, WebSocketConnection, WebSocketEvent};
use mio::net::TcpStream as MioStream;
use mio::{Events, Interest, Poll, Token};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

const CALLS_PER_ROUND: u64 = 10_000;
/// Calls in progress at a time: one, as a single caller sees it, and many, where each side handles several messages per read.
const CONCURRENT_CALLS: [u64; 3] = [1, 8, 64];
const ROUNDS: usize = 5;

fn config(far: SocketAddr) -> Config {
    serde_json::from_value(serde_json::json!({
        "exchange": 1,
        "call_types": [{ "name": "call", "setup_target_ms": 2000, "guard_time_ms": 9000, "revenue": 1.0,
                         "mean_hold_ms": 10000 }],
    }))
    .map(|config: Config| Config {
        signalling: Signalling {
            listen: None,
            links: vec![Link { to: 2, circuits: 310, connect: Some(far) }],
        },
        // One line offers all calls, so its limits are set out of reach.
        limits: LimitsConfig {
            offers_per_s: 1e9,
            offers_at_once: 1e9,
            requests_per_s: 1e9,
            requests_at_once: 1e9,
            ..LimitsConfig::default()
        },
        calls: CallApiConfig {
            listen: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
            ..CallApiConfig::default()
        },
        subscribers: Subscribers { listen: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))) },
        call_types: vec![CallType {
            name: "call".into(),
            setup_target_ms: 2000,
            guard_time_ms: 9000,
            revenue: 1.0,
            width: 1,
            mean_hold_ms: 10_000,
        }],
        ..config
    })
    .expect("a configuration")
}

fn data(frame: &[u8]) -> Option<ProtocolData<'_>> {
    match Frame::read(frame) {
        Ok(Frame::Data(data)) => Some(data),
        _ => None,
    }
}

fn write_reply(data: &ProtocolData, body: Body, cic: mintstall_isup::Cic, out: &mut Vec<u8>) {
    let mut user = Vec::new();
    Message::new(cic, body).write(&mut user);
    Frame::Data(ProtocolData { opc: data.dpc, dpc: data.opc, user: &user, ..*data }).write(out);
}

/// Writes the replies of the far exchange to a frame.
fn reply_as_far_exchange(frame: &[u8], out: &mut Vec<u8>) {
    match Frame::read(frame) {
        Ok(Frame::AspUp { .. }) => {
            Frame::AspUpAck { asp: Some(2) }.write(out);
            Frame::AspUp { asp: Some(2) }.write(out);
            Frame::AspActive.write(out);
        }
        Ok(Frame::AspActive) => Frame::AspActiveAck.write(out),
        Ok(Frame::Heartbeat(data)) => Frame::HeartbeatAck(data).write(out),
        _ => {}
    }
    let Some(data) = data(frame) else { return };
    let Ok(message) = Message::read(data.user) else { return };
    match message.body {
        Body::Iam(_) => {
            write_reply(
                &data,
                Body::Acm { backward: [0x16, 0x34], report: None, unknown_parameters: Vec::new() },
                message.cic,
                out,
            );
            write_reply(&data, Body::Anm { report: None, unknown_parameters: Vec::new() }, message.cic, out);
        }
        Body::Rel(_) => write_reply(&data, Body::Rlc { unknown_parameters: Vec::new() }, message.cic, out),
        Body::Grs { count } => {
            write_reply(&data, Body::Gra(RangeStatus { count, status: 0 }), message.cic, out)
        }
        _ => {}
    }
}

fn offer(call: u64) -> String {
    let offer = Offer {
        call,
        call_type: 0,
        customer: 0,
        dest: 2,
        number: 1_000_000 + call,
        time_left_ms: 3000,
        advised: None,
        cut: false,
        redial: false,
    };
    RequestMessage { id: Some(call.into()), request: Request::Offer(offer) }.text()
}

fn hang_up(call: u64) -> String {
    RequestMessage { id: Some(call.into()), request: Request::Hangup(Hangup { call }) }.text()
}

/// How the subscriber's JSON-RPC messages are transported.
enum SubscriberTransport {
    Lines(LineDecoder),
    WebSocket(Box<WebSocketConnection>),
}

impl SubscriberTransport {
    fn send(&mut self, text: &str, out: &mut Vec<u8>) {
        match self {
            Self::Lines(_) => {
                out.extend_from_slice(text.as_bytes());
                out.push(b'\n');
            }
            Self::WebSocket(connection) => {
                connection.send_text(text);
                out.append(connection.output());
            }
        }
    }

    fn receive(&mut self, octets: &[u8]) -> Vec<ServerMessage> {
        let parse = |text: &[u8]| ServerMessage::read(text).expect("a server message");
        let mut messages = Vec::new();
        match self {
            Self::Lines(lines) => {
                lines.push(octets);
                while let Ok(Some(text)) = lines.next() {
                    messages.push(parse(text));
                }
            }
            Self::WebSocket(connection) => connection.on_octets(octets, &mut |event| match event {
                WebSocketEvent::Text(text) => messages.push(parse(text.as_bytes())),
                WebSocketEvent::PingOrPong => {}
            }),
        }
        messages
    }
}

/// Result of one round of calls.
struct CallRound {
    calls_per_s: f64,
    /// Octets from subscriber to controller, back, from controller to far exchange, back.
    octets: [u64; 4],
}

/// Runs one round of calls through the controller: subscribers and far exchange in one mio loop, the controller in another
/// thread.
fn run_calls(
    transport: &mut SubscriberTransport,
    line: &mut MioStream,
    far: &mut MioStream,
    poll: &mut Poll,
    first: u64,
    concurrent: u64,
) -> CallRound {
    let mut frames = Deframer::default();
    let (mut offered, mut done, mut octets) = (0, 0, [0u64; 4]);
    let (mut to_line, mut to_far) = (Vec::new(), Vec::new());
    let mut buffer = vec![0; 64 << 10];
    let mut events = Events::with_capacity(16);
    let start = Instant::now();
    while offered < concurrent {
        transport.send(&offer(first + offered), &mut to_line);
        offered += 1;
    }
    while done < CALLS_PER_ROUND {
        octets[0] += write_all(line, &mut to_line);
        octets[3] += write_all(far, &mut to_far);
        poll.poll(&mut events, Some(Duration::from_secs(10))).expect("poll");
        while let Ok(count) = line.read(&mut buffer) {
            octets[1] += count as u64;
            for message in transport.receive(&buffer[..count]) {
                match message {
                    ServerMessage::Answered(answered) => {
                        transport.send(&hang_up(answered.call), &mut to_line)
                    }
                    ServerMessage::Result { .. } => {
                        done += 1;
                        if offered < CALLS_PER_ROUND {
                            transport.send(&offer(first + offered), &mut to_line);
                            offered += 1;
                        }
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
        while let Ok(count) = far.read(&mut buffer) {
            octets[2] += count as u64;
            frames.push(&buffer[..count]);
            while let Ok(Some(frame)) = frames.next() {
                reply_as_far_exchange(frame, &mut to_far);
            }
        }
    }
    CallRound { calls_per_s: CALLS_PER_ROUND as f64 / start.elapsed().as_secs_f64(), octets }
}

fn write_all(stream: &mut MioStream, out: &mut Vec<u8>) -> u64 {
    let mut written = 0;
    while written < out.len() {
        match stream.write(&out[written..]) {
            Ok(count) => written += count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
            Err(error) => panic!("{error}"),
        }
    }
    out.drain(..written);
    written as u64
}

/// Runs one round of echoes through `relay`: for each call twice four messages of the mean sizes of the controller's, in the
/// same pattern (offer, set-up, answer, final answer; hang-up, release, completion, reply).
fn run_echoes(
    sizes: [usize; 4],
    line: &mut MioStream,
    far: &mut MioStream,
    poll: &mut Poll,
    concurrent: u64,
) -> f64 {
    // Two round trips per call: line -> relay -> far -> relay -> line.
    let round_trips = CALLS_PER_ROUND * 2;
    let (mut sent, mut returned, mut buffer) = (0u64, 0u64, vec![0; 64 << 10]);
    let (mut from_far, mut from_line) = (0usize, 0usize);
    let (mut to_line, mut to_far) = (Vec::new(), Vec::new());
    let mut events = Events::with_capacity(16);
    let start = Instant::now();
    while sent < concurrent {
        to_line.resize(to_line.len() + sizes[0], 1);
        sent += 1;
    }
    while returned < round_trips {
        write_all(line, &mut to_line);
        write_all(far, &mut to_far);
        poll.poll(&mut events, Some(Duration::from_secs(10))).expect("poll");
        while let Ok(count) = line.read(&mut buffer) {
            from_line += count;
            while from_line >= sizes[1] {
                from_line -= sizes[1];
                returned += 1;
                if sent < round_trips {
                    to_line.resize(to_line.len() + sizes[0], 1);
                    sent += 1;
                }
            }
        }
        while let Ok(count) = far.read(&mut buffer) {
            from_far += count;
            while from_far >= sizes[2] {
                from_far -= sizes[2];
                to_far.resize(to_far.len() + sizes[3], 1);
            }
        }
    }
    CALLS_PER_ROUND as f64 / start.elapsed().as_secs_f64()
}

/// Echo server in place of the controller: for each `sizes[0]` octets of the line it sends `sizes[2]` to the far end, and for
/// each `sizes[3]` of the far end `sizes[1]` to the line.
fn relay(mut line: MioStream, mut far: MioStream, sizes: [usize; 4]) {
    let mut poll = Poll::new().expect("poll");
    poll.registry().register(&mut line, Token(0), Interest::READABLE).expect("register");
    poll.registry().register(&mut far, Token(1), Interest::READABLE).expect("register");
    let mut events = Events::with_capacity(16);
    let (mut from_line, mut from_far, mut buffer) = (0, 0, vec![0; 64 << 10]);
    let (mut to_line, mut to_far) = (Vec::new(), Vec::new());
    loop {
        poll.poll(&mut events, None).expect("poll");
        loop {
            match line.read(&mut buffer) {
                Ok(0) => return,
                Ok(count) => from_line += count,
                Err(_) => break,
            }
        }
        while let Ok(count) = far.read(&mut buffer) {
            if count == 0 {
                return;
            }
            from_far += count;
        }
        while from_line >= sizes[0] {
            from_line -= sizes[0];
            to_far.resize(to_far.len() + sizes[2], 1);
        }
        while from_far >= sizes[3] {
            from_far -= sizes[3];
            to_line.resize(to_line.len() + sizes[1], 1);
        }
        write_all(&mut line, &mut to_line);
        write_all(&mut far, &mut to_far);
    }
}

fn mio_stream(stream: TcpStream) -> MioStream {
    stream.set_nodelay(true).expect("nodelay");
    stream.set_nonblocking(true).expect("non-blocking");
    MioStream::from_std(stream)
}

fn connected_pair() -> (MioStream, MioStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listen");
    let one = TcpStream::connect(listener.local_addr().expect("address")).expect("connect");
    (mio_stream(one), mio_stream(listener.accept().expect("accept").0))
}

fn main() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listen");
    let config = config(listener.local_addr().expect("address"));
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let server = Server::open(&config).expect("a controller");
        sender.send(server.addresses()).expect("send");
        server.run()
    });
    let addresses = receiver.recv().expect("addresses");
    let mut far = mio_stream(listener.accept().expect("accept").0);
    let mut poll = Poll::new().expect("poll");
    poll.registry().register(&mut far, Token(1), Interest::READABLE).expect("register");
    open_group(&mut far, &mut poll);

    let line_address = addresses.subscribers.expect("the address for subscriber lines");
    let line = mio_stream(TcpStream::connect(line_address).expect("connect"));
    measure("lines", SubscriberTransport::Lines(LineDecoder::new(1 << 16)), line, &mut far, &mut poll, 1);
    let (stream, connection) = open_web_socket(addresses.calls.expect("the address for calls"));
    measure("WebSocket", SubscriberTransport::WebSocket(connection), stream, &mut far, &mut poll, 100);
    let (allocations, octets) = allocations_per_call();
    println!(
        "in the exchange core, without sockets: {allocations:.1} allocations and {octets:.0} octets allocated per call"
    );
}

fn open_web_socket(to: SocketAddr) -> (MioStream, Box<WebSocketConnection>) {
    let mut stream = TcpStream::connect(to).expect("connect");
    let (mut handshake, request) = ClientHandshake::new(to, 1 << 16).expect("a request");
    stream.write_all(&request).expect("write");
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).expect("read");
        match handshake.push(&buffer[..count]) {
            ClientHandshakeState::Open(connection) => return (mio_stream(stream), connection),
            ClientHandshakeState::Incomplete => {}
            ClientHandshakeState::Rejected(why) => panic!("{why}"),
        }
    }
}

/// Measures one transport against an echo of the same octets, and prints the medians.
fn measure(
    name: &str,
    mut transport: SubscriberTransport,
    mut line: MioStream,
    far: &mut MioStream,
    poll: &mut Poll,
    mut round: u64,
) {
    poll.registry().register(&mut line, Token(0), Interest::READABLE).expect("register");
    let warm_up = run_calls(&mut transport, &mut line, far, poll, round << 40, 8);
    let per_call = warm_up.octets.map(|octets| octets as f64 / CALLS_PER_ROUND as f64);
    let sizes = per_call.map(|octets| (octets / 2.0) as usize);
    let (mut echo_line, relay_line) = connected_pair();
    let (mut echo_far, relay_far) = connected_pair();
    std::thread::spawn(move || relay(relay_line, relay_far, sizes));
    let mut echo_poll = Poll::new().expect("poll");
    echo_poll.registry().register(&mut echo_line, Token(0), Interest::READABLE).expect("register");
    echo_poll.registry().register(&mut echo_far, Token(1), Interest::READABLE).expect("register");

    println!("{name}\n{:>10} {:>12} {:>14} {:>7}", "concurrent", "calls/s", "echo calls/s", "ratio");
    for concurrent in CONCURRENT_CALLS {
        let mut runs: Vec<_> = (0..ROUNDS)
            .map(|_| {
                round += 1;
                let calls = run_calls(&mut transport, &mut line, far, poll, round << 40, concurrent);
                let echo_rate = run_echoes(sizes, &mut echo_line, &mut echo_far, &mut echo_poll, concurrent);
                (calls.calls_per_s / echo_rate, calls.calls_per_s, echo_rate)
            })
            .collect();
        runs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (ratio, rate, echo_rate) = runs[ROUNDS / 2];
        println!("{concurrent:>10} {rate:>12.0} {echo_rate:>14.0} {ratio:>7.3}");
    }
    println!(
        "octets per call: offers {:.0}, answers {:.0}, out {:.0}, in {:.0}",
        per_call[0], per_call[1], per_call[2], per_call[3]
    );
    poll.registry().deregister(&mut line).expect("deregister");
}

/// Answers the opening of the link and the circuit group resets, until calls can be sent.
fn open_group(far: &mut MioStream, poll: &mut Poll) {
    let (mut frames, mut out, mut buffer) = (Deframer::default(), Vec::new(), vec![0; 64 << 10]);
    let mut events = Events::with_capacity(16);
    let mut resets = 0;
    while resets < 10 {
        poll.poll(&mut events, Some(Duration::from_secs(10))).expect("poll");
        while let Ok(count) = far.read(&mut buffer) {
            frames.push(&buffer[..count]);
            while let Ok(Some(frame)) = frames.next() {
                let reset = data(frame).and_then(|data| Message::read(data.user).ok());
                resets += u32::from(reset.is_some_and(|message| matches!(message.body, Body::Grs { .. })));
                reply_as_far_exchange(frame, &mut out);
            }
        }
        write_all(far, &mut out);
    }
    std::thread::sleep(Duration::from_millis(200));
}

/// Allocations and octets allocated per call by the exchange core, run without sockets.
fn allocations_per_call() -> (f64, f64) {
    struct FarEnd {
        out: Vec<u8>,
        messages: usize,
    }
    impl Transport for FarEnd {
        fn send_to_link(&mut self, _: mintstall::interface::ExchangeNumber, octets: &[u8]) {
            reply_as_far_exchange(octets, &mut self.out);
        }
        fn close_link(&mut self, _: mintstall::interface::ExchangeNumber, why: &str) {
            panic!("{why}");
        }
        fn send_to_line(&mut self, _: LineId, _: &str) {
            self.messages += 1;
        }
        fn close_line(&mut self, _: LineId, why: &str) {
            panic!("{why}");
        }
        fn has_room(&self, _: LineId) -> bool {
            true
        }
        fn send_to_directory(&mut self, _: &str) {}
        fn log_info(&mut self, _: &str) {}
    }
    let mut now = Duration::from_secs(3600);
    let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let mut exchange = Exchange::new(now, &config(unused), 2, 1);
    let entry = |exchange_number: u16| mintstall_membership::MemberEntry {
        exchange: exchange_number.into(),
        exchange_number,
        region: 0,
        status: mintstall_membership::MemberStatus::Ready,
        age_ms: None,
    };
    let membership =
        mintstall_membership::MembershipUpdate { version: 1, since: None, entries: vec![entry(1), entry(2)] };
    let far_number = mintstall::interface::ExchangeNumber(2);
    let mut far = FarEnd { out: Vec::new(), messages: 0 };
    exchange.on_directory_notification(
        now,
        &mut far,
        &mintstall_membership::DirectoryNotification::Membership(membership),
    );
    exchange.line_open(now).expect("a line");
    exchange.link_up(now, &mut far, far_number);
    let mut exchange_messages = |exchange: &mut Exchange, far: &mut FarEnd, text: &str| {
        now += Duration::from_millis(1);
        exchange.line_octets(now, far, LineId(1), text.as_bytes());
        while !far.out.is_empty() {
            let octets = std::mem::take(&mut far.out);
            exchange.link_octets(now, far, far_number, &octets);
        }
    };
    exchange_messages(&mut exchange, &mut far, "");
    let mut allocations_of = |first: u64, count: u64| {
        let texts: Vec<_> =
            (first..first + count).map(|call| (offer(call) + "\n", hang_up(call) + "\n")).collect();
        let region = Region::new(ALLOCATOR);
        for (offer, hang_up) in &texts {
            exchange_messages(&mut exchange, &mut far, offer);
            exchange_messages(&mut exchange, &mut far, hang_up);
        }
        let change = region.change();
        assert!(far.messages as u64 >= 2 * count, "calls were not answered");
        (change.allocations as f64 / count as f64, change.bytes_allocated as f64 / count as f64)
    };
    // The first round warms up.
    allocations_of(1, 1000);
    allocations_of(10_000, 1000)
}

#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;
