//! The ordinary call through one controller on loopback, against a bare mio echo that moves the same octets over as many
//! sockets in the same run: a ratio, which a busy machine shifts little. Allocations are counted in the office core.
//!
//! `cargo bench -p mintstall-lab --bench ordinary_call`. The controller runs as a thread of this process, subscribers
//! and the far exchange as another.

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

/// Calls of one round.
const CALLS: u64 = 10_000;
/// How many are out at a time: one, as a caller sees it, and many, where both sides handle what comes in one go.
const AT_A_TIME: [u64; 3] = [1, 8, 64];
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
        // One line offers all: what it may is not what is measured.
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

fn back(data: &ProtocolData, body: Body, cic: mintstall_isup::Cic, out: &mut Vec<u8>) {
    let mut user = Vec::new();
    Message::new(cic, body).write(&mut user);
    Frame::Data(ProtocolData { opc: data.dpc, dpc: data.opc, user: &user, ..*data }).write(out);
}

/// What the far exchange says to a frame.
fn far_says(frame: &[u8], out: &mut Vec<u8>) {
    match Frame::read(frame) {
        Ok(Frame::AspUp { .. }) => {
            Frame::AspUpAck { asp: Some(2) }.write(out);
            Frame::AspUp { asp: Some(2) }.write(out);
            Frame::AspActive.write(out);
        }
        Ok(Frame::AspActive) => Frame::AspActiveAck.write(out),
        Ok(Frame::Heartbeat(sign)) => Frame::HeartbeatAck(sign).write(out),
        _ => {}
    }
    let Some(data) = data(frame) else { return };
    let Ok(message) = Message::read(data.user) else { return };
    match message.body {
        Body::Iam(_) => {
            back(
                &data,
                Body::Acm { backward: [0x16, 0x34], report: None, unknown_parameters: Vec::new() },
                message.cic,
                out,
            );
            back(&data, Body::Anm { report: None, unknown_parameters: Vec::new() }, message.cic, out);
        }
        Body::Rel(_) => back(&data, Body::Rlc { unknown_parameters: Vec::new() }, message.cic, out),
        Body::Grs { count } => back(&data, Body::Gra(RangeStatus { count, status: 0 }), message.cic, out),
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

/// How the subscriber's texts are carried.
enum Carried {
    Lines(LineDecoder),
    WebSocket(Box<WebSocketConnection>),
}

impl Carried {
    fn say(&mut self, text: &str, out: &mut Vec<u8>) {
        match self {
            Self::Lines(_) => {
                out.extend_from_slice(text.as_bytes());
                out.push(b'\n');
            }
            Self::WebSocket(end) => {
                end.send_text(text);
                out.append(end.output());
            }
        }
    }

    fn hear(&mut self, octets: &[u8]) -> Vec<ServerMessage> {
        let read = |text: &[u8]| ServerMessage::read(text).expect("a text");
        let mut heard = Vec::new();
        match self {
            Self::Lines(lines) => {
                lines.push(octets);
                while let Ok(Some(text)) = lines.next() {
                    heard.push(read(text));
                }
            }
            Self::WebSocket(end) => end.on_octets(octets, &mut |event| match event {
                WebSocketEvent::Text(text) => heard.push(read(text.as_bytes())),
                WebSocketEvent::PingOrPong => {}
            }),
        }
        heard
    }
}

/// Octets that crossed, each way, and how long it took.
struct Moved {
    calls_per_s: f64,
    /// Subscriber to controller, back, controller to far exchange, back.
    octets: [u64; 4],
}

/// Calls through a controller: subscribers and far exchange in one mio loop, the controller in another thread.
fn calls(
    carried: &mut Carried,
    line: &mut MioStream,
    far: &mut MioStream,
    poll: &mut Poll,
    first: u64,
    at_a_time: u64,
) -> Moved {
    let mut frames = Deframer::default();
    let (mut offered, mut done, mut octets) = (0, 0, [0u64; 4]);
    let (mut to_line, mut to_far) = (Vec::new(), Vec::new());
    let mut buffer = vec![0; 64 << 10];
    let mut events = Events::with_capacity(16);
    let start = Instant::now();
    while offered < at_a_time {
        carried.say(&offer(first + offered), &mut to_line);
        offered += 1;
    }
    while done < CALLS {
        octets[0] += write_all(line, &mut to_line);
        octets[3] += write_all(far, &mut to_far);
        poll.poll(&mut events, Some(Duration::from_secs(10))).expect("poll");
        while let Ok(count) = line.read(&mut buffer) {
            octets[1] += count as u64;
            for heard in carried.hear(&buffer[..count]) {
                match heard {
                    ServerMessage::Answered(answered) => carried.say(&hang_up(answered.call), &mut to_line),
                    ServerMessage::Result { .. } => {
                        done += 1;
                        if offered < CALLS {
                            carried.say(&offer(first + offered), &mut to_line);
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
                far_says(frame, &mut to_far);
            }
        }
    }
    Moved { calls_per_s: CALLS as f64 / start.elapsed().as_secs_f64(), octets }
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

/// Five messages there and back for each call, of the sizes that the controller's had: the same pattern (offer, set-up,
/// answer, final answer; hang-up, release, completion, reply), each moved on by a bare loop in another thread.
fn echo(
    sizes: [usize; 4],
    line: &mut MioStream,
    far: &mut MioStream,
    poll: &mut Poll,
    at_a_time: u64,
) -> f64 {
    // Two exchanges of messages a call, each line -> relay -> far -> relay -> line.
    let legs = CALLS * 2;
    let (mut sent, mut back, mut buffer) = (0u64, 0u64, vec![0; 64 << 10]);
    let (mut from_far, mut from_line) = (0usize, 0usize);
    let (mut to_line, mut to_far) = (Vec::new(), Vec::new());
    let mut events = Events::with_capacity(16);
    let start = Instant::now();
    while sent < at_a_time {
        to_line.resize(to_line.len() + sizes[0], 1);
        sent += 1;
    }
    while back < legs {
        write_all(line, &mut to_line);
        write_all(far, &mut to_far);
        poll.poll(&mut events, Some(Duration::from_secs(10))).expect("poll");
        while let Ok(count) = line.read(&mut buffer) {
            from_line += count;
            while from_line >= sizes[1] {
                from_line -= sizes[1];
                back += 1;
                if sent < legs {
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
    CALLS as f64 / start.elapsed().as_secs_f64()
}

/// Moves so many octets on for so many that came, nothing more.
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

fn mio(stream: TcpStream) -> MioStream {
    stream.set_nodelay(true).expect("nodelay");
    stream.set_nonblocking(true).expect("non-blocking");
    MioStream::from_std(stream)
}

fn pair() -> (MioStream, MioStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listen");
    let one = TcpStream::connect(listener.local_addr().expect("address")).expect("connect");
    (mio(one), mio(listener.accept().expect("accept").0))
}

fn main() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listen");
    let config = config(listener.local_addr().expect("address"));
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let server = Server::open(&config).expect("a controller");
        tell.send(server.addresses()).expect("tell");
        server.run()
    });
    let addresses = told.recv().expect("told");
    let mut far = mio(listener.accept().expect("accept").0);
    let mut poll = Poll::new().expect("poll");
    poll.registry().register(&mut far, Token(1), Interest::READABLE).expect("register");
    open_group(&mut far, &mut poll);

    let lines = addresses.subscribers.expect("a line's address");
    let line = mio(TcpStream::connect(lines).expect("connect"));
    measure("lines", Carried::Lines(LineDecoder::new(1 << 16)), line, &mut far, &mut poll, 1);
    let (stream, end) = web_socket(addresses.calls.expect("the address for calls"));
    measure("WebSocket", Carried::WebSocket(end), stream, &mut far, &mut poll, 100);
    let (allocations, bytes) = allocated();
    println!(
        "in the exchange core, without sockets: {allocations:.1} allocations and {bytes:.0} octets allocated a call"
    );
}

fn web_socket(to: SocketAddr) -> (MioStream, Box<WebSocketConnection>) {
    let mut stream = TcpStream::connect(to).expect("connect");
    let (mut dialled, request) = ClientHandshake::new(to, 1 << 16).expect("a request");
    stream.write_all(&request).expect("write");
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).expect("read");
        match dialled.push(&buffer[..count]) {
            ClientHandshakeState::Open(end) => return (mio(stream), end),
            ClientHandshakeState::Incomplete => {}
            ClientHandshakeState::Rejected(why) => panic!("{why}"),
        }
    }
}

/// One way to carry texts, against an echo of what it moves.
fn measure(
    name: &str,
    mut carried: Carried,
    mut line: MioStream,
    far: &mut MioStream,
    poll: &mut Poll,
    mut round: u64,
) {
    poll.registry().register(&mut line, Token(0), Interest::READABLE).expect("register");
    let warm = calls(&mut carried, &mut line, far, poll, round << 40, 8);
    let per_call = warm.octets.map(|octets| octets as f64 / CALLS as f64);
    let sizes = per_call.map(|octets| (octets / 2.0) as usize);
    let (mut echo_line, relay_line) = pair();
    let (mut echo_far, relay_far) = pair();
    std::thread::spawn(move || relay(relay_line, relay_far, sizes));
    let mut echo_poll = Poll::new().expect("poll");
    echo_poll.registry().register(&mut echo_line, Token(0), Interest::READABLE).expect("register");
    echo_poll.registry().register(&mut echo_far, Token(1), Interest::READABLE).expect("register");

    println!("{name}\n{:>10} {:>12} {:>14} {:>7}", "at a time", "calls/s", "echo calls/s", "ratio");
    for at_a_time in AT_A_TIME {
        let mut runs: Vec<_> = (0..ROUNDS)
            .map(|_| {
                round += 1;
                let moved = calls(&mut carried, &mut line, far, poll, round << 40, at_a_time);
                let bare = echo(sizes, &mut echo_line, &mut echo_far, &mut echo_poll, at_a_time);
                (moved.calls_per_s / bare, moved.calls_per_s, bare)
            })
            .collect();
        runs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (ratio, rate, bare) = runs[ROUNDS / 2];
        println!("{at_a_time:>10} {rate:>12.0} {bare:>14.0} {ratio:>7.3}");
    }
    println!(
        "octets a call: offers {:.0}, answers {:.0}, out {:.0}, in {:.0}",
        per_call[0], per_call[1], per_call[2], per_call[3]
    );
    poll.registry().deregister(&mut line).expect("deregister");
}

/// Answers the link's opening and the group's reset until calls can go out.
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
                far_says(frame, &mut out);
            }
        }
        write_all(far, &mut out);
    }
    std::thread::sleep(Duration::from_millis(200));
}

/// Allocations and octets allocated a call by the exchange core, driven without sockets.
fn allocated() -> (f64, f64) {
    struct Far {
        out: Vec<u8>,
        answers: usize,
    }
    impl Transport for Far {
        fn send_to_link(&mut self, _: mintstall::interface::ExchangeNumber, octets: &[u8]) {
            far_says(octets, &mut self.out);
        }
        fn close_link(&mut self, _: mintstall::interface::ExchangeNumber, why: &str) {
            panic!("{why}");
        }
        fn send_to_line(&mut self, _: LineId, _: &str) {
            self.answers += 1;
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
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let mut exchange = Exchange::new(now, &config(any), 2, 1);
    let entry = |office: u16| mintstall_membership::MemberEntry {
        exchange: office.into(),
        office,
        region: 0,
        status: mintstall_membership::MemberStatus::Ready,
        age_ms: None,
    };
    let news =
        mintstall_membership::MembershipUpdate { version: 1, since: None, entries: vec![entry(1), entry(2)] };
    let far_no = mintstall::interface::ExchangeNumber(2);
    let mut far = Far { out: Vec::new(), answers: 0 };
    exchange.on_directory_notification(
        now,
        &mut far,
        &mintstall_membership::DirectoryNotification::Membership(news),
    );
    exchange.line_open(now).expect("a line");
    exchange.link_up(now, &mut far, far_no);
    let mut turn = |exchange: &mut Exchange, far: &mut Far, text: &str| {
        now += Duration::from_millis(1);
        exchange.line_octets(now, far, LineId(1), text.as_bytes());
        while !far.out.is_empty() {
            let octets = std::mem::take(&mut far.out);
            exchange.link_octets(now, far, far_no, &octets);
        }
    };
    turn(&mut exchange, &mut far, "");
    let mut run = |first: u64, count: u64| {
        let texts: Vec<_> =
            (first..first + count).map(|call| (offer(call) + "\n", hang_up(call) + "\n")).collect();
        let region = Region::new(ALLOCATOR);
        for (offer, hang_up) in &texts {
            turn(&mut exchange, &mut far, offer);
            turn(&mut exchange, &mut far, hang_up);
        }
        let change = region.change();
        assert!(far.answers as u64 >= 2 * count, "calls were not answered");
        (change.allocations as f64 / count as f64, change.bytes_allocated as f64 / count as f64)
    };
    run(1, 1000);
    run(10_000, 1000)
}

#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;
