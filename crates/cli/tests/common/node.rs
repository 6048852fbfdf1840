//! `mintstall node` as a process, with callers, exchanges and an event bus that a test provides on loopback.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mintstall_platform::exchange_protocol::{self, MessageType, parameter};
use mintstall_sip as sip;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use super::{TIMEOUT, temp_file};

/// The segments and buffers of a connection over a real network are smaller than on loopback.
const NETWORK_SEGMENT_OCTETS: u32 = 1400;
const SMALL_BUFFER_OCTETS: usize = 8 << 10;

/// Messages that an exchange has received, by their call.
pub type ReceivedMessages = Receiver<(MessageType, u64)>;

/// Starts an exchange that answers every set-up, and reports the messages that it receives.
pub fn start_exchange() -> (SocketAddr, ReceivedMessages) {
    start_exchange_with(serve_link)
}

/// Starts an exchange that answers no set-up, and reports the messages that it receives.
pub fn start_silent_exchange() -> (SocketAddr, ReceivedMessages) {
    start_exchange_with(report_messages)
}

fn start_exchange_with(serve: fn(TcpStream, &Sender<(MessageType, u64)>)) -> (SocketAddr, ReceivedMessages) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || serve(stream, &sender));
        }
    });
    (addr, receiver)
}

fn serve_link(mut stream: TcpStream, sender: &Sender<(MessageType, u64)>) {
    let mut out = Vec::new();
    exchange_protocol::encode(
        &mut out,
        MessageType::State,
        exchange_protocol::WireCallId(0),
        &[(parameter::REPORT, b"idle:900;circuits:900")],
    );
    let (mut decoder, mut buffer) = (exchange_protocol::Decoder::default(), [0; 4096]);
    loop {
        // The test may have ended and closed the other end.
        if stream.write_all(&out).is_err() {
            return;
        }
        out.clear();
        let Ok(count @ 1..) = stream.read(&mut buffer) else { return };
        decoder.push(&buffer[..count]);
        while let Some(message) = decoder.next_message().unwrap() {
            let _ = sender.send((message.kind, message.call.0));
            if message.kind == MessageType::SetUp {
                let description = message.description.unwrap().to_ascii_uppercase();
                exchange_protocol::encode(
                    &mut out,
                    MessageType::Answer,
                    message.call,
                    &[(parameter::DESCRIPTION, &description)],
                );
            }
        }
    }
}

fn report_messages(mut stream: TcpStream, sender: &Sender<(MessageType, u64)>) {
    let mut out = Vec::new();
    let parameters: &[(u8, &[u8])] = &[(parameter::REPORT, b"idle:900;circuits:900")];
    exchange_protocol::encode(&mut out, MessageType::State, exchange_protocol::WireCallId(0), parameters);
    // The test may have ended and closed the other end.
    let _ = stream.write_all(&out);
    let (mut decoder, mut buffer) = (exchange_protocol::Decoder::default(), [0; 16384]);
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        decoder.push(&buffer[..count]);
        while let Some(message) = decoder.next_message().unwrap() {
            let _ = sender.send((message.kind, message.call.0));
        }
    }
}

/// Starts an exchange that answers every set-up while it has circuits, and reports how many are idle after each change.
pub fn start_counting_exchange(circuits: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let calls = Arc::new(Mutex::new(BTreeSet::new()));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let calls = Arc::clone(&calls);
            thread::spawn(move || serve_counting_link(stream, &calls, circuits));
        }
    });
    addr
}

fn serve_counting_link(mut stream: TcpStream, calls: &Mutex<BTreeSet<u64>>, circuits: usize) {
    let (mut decoder, mut buffer, mut out) = (exchange_protocol::Decoder::default(), [0; 4096], Vec::new());
    loop {
        let idle = circuits - calls.lock().unwrap().len();
        let report = format!("idle:{idle};circuits:{circuits}");
        let parameters: &[(u8, &[u8])] = &[(parameter::REPORT, report.as_bytes())];
        exchange_protocol::encode(&mut out, MessageType::State, exchange_protocol::WireCallId(0), parameters);
        // The test may have ended and closed the other end.
        if stream.write_all(&out).is_err() {
            return;
        }
        out.clear();
        let Ok(count @ 1..) = stream.read(&mut buffer) else { return };
        decoder.push(&buffer[..count]);
        while let Some(message) = decoder.next_message().unwrap() {
            let mut calls = calls.lock().unwrap();
            let (kind, parameters): (_, &[(u8, &[u8])]) = match message.kind {
                MessageType::SetUp if calls.len() < circuits => {
                    calls.insert(message.call.0);
                    (MessageType::Answer, &[(parameter::DESCRIPTION, b"answer")])
                }
                MessageType::SetUp => {
                    (MessageType::Release, &[(parameter::CAUSE, &[34]), (parameter::NOTE, b"congestion")])
                }
                MessageType::Release => {
                    calls.remove(&message.call.0);
                    (MessageType::ReleaseComplete, &[])
                }
                _ => continue,
            };
            exchange_protocol::encode(&mut out, kind, message.call, parameters);
        }
    }
}

/// Starts an event bus. It reports the request line of each connection, and keeps the connection open with a line each 500 ms.
pub fn start_bus() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut line = String::new();
            let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
            let _ = sender.send(line);
            thread::spawn(move || {
                while stream.write_all(b"1\n").is_ok() {
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
    (addr, receiver)
}

pub fn config(exchange: SocketAddr, bus: SocketAddr) -> Value {
    let target = |uid: &str, exchange_number: u16, at: SocketAddr| json!({"uid": uid, "endpoint": at, "az": "east", "pod_group": exchange_number, "state": "in_service", "boot_ms": 0});
    let targets = [target("own", 0, exchange), target("one", 1, exchange)];
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bus": bus,
        "limits": {"cores": 0.3, "memory_mb": 32, "sockets": 256},
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"rev": 1, "all": true, "targets": targets}}]},
        "settings": {
            "lanes": [{"name": "voice", "aim_s": 2.0, "hard_limit_s": 6.0}], "dcs": ["east"],
            "specifics": {"own_number": 0, "call_length_s": [5.0]},
            "limits": {"dial_timeout_s": 5.0, "cancelling": true},
            "report": {"fields": ["idle", "circuits"]}
        }
    })
}

/// A `mintstall node` process.
pub struct Node {
    pub child: Child,
    pub callers: SocketAddr,
    pub config_path: PathBuf,
}

impl Node {
    pub fn start(name: &str, config: &Value) -> Self {
        let path = temp_file(name, &config.to_string());
        let mut child = Command::new(env!("CARGO_BIN_EXE_mintstall"))
            .arg("node")
            .env("LB_CONFIG", &path)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("LB_NAME", "n0")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let ready: Value = serde_json::from_str(&line).unwrap();
        let callers = ready["callers"].as_str().unwrap().parse().unwrap();
        Self { child, callers, config_path: path }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    pub fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Caller { stream, decoder: sip::Decoder::default() }
    }

    /// Connects a caller over small segments, with a small receive buffer.
    pub fn connect_with_small_buffers(&self) -> Caller {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SMALL_BUFFER_OCTETS).unwrap();
        socket.set_tcp_mss(NETWORK_SEGMENT_OCTETS).unwrap();
        socket.connect(&self.callers.into()).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        Caller { stream: socket.into(), decoder: sip::Decoder::default() }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Usually the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// A listener whose connections have small segments and small receive buffers.
pub fn listen_with_small_buffers() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER_OCTETS).unwrap();
    socket.set_tcp_mss(NETWORK_SEGMENT_OCTETS).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(128).unwrap();
    socket.into()
}

pub struct Caller {
    pub stream: TcpStream,
    pub decoder: sip::Decoder,
}

impl Caller {
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The status or method of the next message, and its body. `None`: the connection was closed.
    pub fn next_message(&mut self) -> Option<(String, String)> {
        loop {
            if let Some(message) = self.decoder.next_message().unwrap() {
                let start = match message.start {
                    sip::StartLine::Response { status } => status.to_string(),
                    sip::StartLine::Request { method, .. } => method.to_string(),
                };
                return Some((start, String::from_utf8_lossy(message.body).to_string()));
            }
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(count) => self.decoder.push(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("{error}"),
            }
        }
    }

    pub fn next_status(&mut self) -> String {
        self.next_message().map_or("closed".to_string(), |(status, _)| status)
    }
}

pub fn invite(id: u64, dest: &str) -> String {
    format!(
        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: {id:016x}\r\nCSeq: 1 INVITE\r\nPriority-Class: voice\r\n\
         Expires-Ms: 5000\r\nP-Trunk-Info: dest:{dest};width:1;via:-1\r\nContent-Length: 5\r\n\r\nhello"
    )
}

/// An INVITE with this description.
pub fn invite_with(id: u64, dest: &str, description: &str) -> String {
    let with_length = format!("Content-Length: {}\r\n\r\n{description}", description.len());
    invite(id, dest).replace("Content-Length: 5\r\n\r\nhello", &with_length)
}

pub fn request(method: &str, id: u64) -> String {
    format!(
        "{method} sip:ping@net SIP/2.0\r\nCall-ID: {id:016x}\r\nCSeq: 1 {method}\r\nContent-Length: 0\r\n\r\n"
    )
}
