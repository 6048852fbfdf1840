//! `mintstall node` as a process, with callers, exchanges and an event bus that the test provides on loopback.

mod common;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::{TIMEOUT, output_text, temp_file};
use mintstall_platform::exchange_protocol::{self, MessageType, parameter};
use mintstall_sip as sip;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

/// Starts an exchange that answers every set-up, and reports the messages that it receives.
fn start_exchange() -> (SocketAddr, Receiver<(MessageType, u64)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || serve_link(stream, &sender));
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
        &[(parameter::REPORT, b"idle:9;circuits:9")],
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

/// Starts an event bus. It reports the request line of each connection, and keeps the connection open with a line each 500 ms.
fn start_bus() -> (SocketAddr, Receiver<String>) {
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

fn config(exchange: SocketAddr, bus: SocketAddr) -> Value {
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
struct Node {
    child: Child,
    callers: SocketAddr,
    config_path: PathBuf,
}

impl Node {
    fn start(name: &str, config: &Value) -> Self {
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

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Caller { stream, decoder: sip::Decoder::default() }
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

struct Caller {
    stream: TcpStream,
    decoder: sip::Decoder,
}

impl Caller {
    fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The status or method of the next message, and its body. `None`: the connection was closed.
    fn next_message(&mut self) -> Option<(String, String)> {
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

    fn next_status(&mut self) -> String {
        self.next_message().map_or("closed".to_string(), |(status, _)| status)
    }
}

fn invite(id: u64, dest: &str) -> String {
    format!(
        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: {id:016x}\r\nCSeq: 1 INVITE\r\nPriority-Class: voice\r\n\
         Expires-Ms: 5000\r\nP-Trunk-Info: dest:{dest};width:1;via:-1\r\nContent-Length: 5\r\n\r\nhello"
    )
}

fn request(method: &str, id: u64) -> String {
    format!(
        "{method} sip:ping@net SIP/2.0\r\nCall-ID: {id:016x}\r\nCSeq: 1 {method}\r\nContent-Length: 0\r\n\r\n"
    )
}

#[test]
fn a_controller_serves_calls_despite_bad_callers_changes_its_bus_and_stops_after_the_last_answer() {
    let (exchange, received) = start_exchange();
    let ((first_bus, first_requests), (second_bus, second_requests)) = (start_bus(), start_bus());
    let mut node = Node::start("node.json", &config(exchange, first_bus));
    assert_eq!(first_requests.recv_timeout(TIMEOUT).unwrap(), "from 1\n");

    let mut caller = node.connect();
    caller.send(&request("OPTIONS", 0));
    assert_eq!(caller.next_status(), "200");
    caller.send(&invite(7, "1"));
    assert_eq!(caller.next_message().unwrap(), ("200".to_string(), "HELLO".to_string()));
    assert_eq!(received.recv_timeout(TIMEOUT).unwrap(), (MessageType::SetUp, 7));

    let mut bad = node.connect();
    bad.send(&invite(8, "nowhere"));
    assert_eq!(bad.next_status(), "400");
    bad.send("INVITE sip:a@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n");
    // The controller reads and discards what is sent after the error: a reset connection would lose the error response.
    let _ = bad.stream.write_all(&vec![b'x'; 1 << 20]);
    assert_eq!((bad.next_status(), bad.next_status()), ("513".to_string(), "closed".to_string()));
    let mut silent: Vec<_> = (0..300).map(|_| node.connect()).collect();
    assert_eq!(silent[0].next_status(), "closed", "idle, with more connections open than allowed");
    drop(silent);

    std::fs::write(&node.config_path, "{").unwrap();
    node.signal(Signal::SIGHUP);
    caller.send(&request("OPTIONS", 1));
    assert_eq!(caller.next_status(), "200", "an invalid file changes nothing");
    std::fs::write(&node.config_path, config(exchange, second_bus).to_string()).unwrap();
    node.signal(Signal::SIGHUP);
    assert_eq!(second_requests.recv_timeout(TIMEOUT).unwrap(), "from 1\n");

    node.signal(Signal::SIGTERM);
    caller.send(&invite(9, "1"));
    assert_eq!(caller.next_status(), "200", "new calls are still accepted for a while");
    caller.send(&request("BYE", 7));
    assert_eq!(caller.next_status(), "200");
    assert_eq!(received.recv_timeout(TIMEOUT).unwrap(), (MessageType::SetUp, 9));
    assert_eq!(received.recv_timeout(TIMEOUT).unwrap(), (MessageType::Release, 7));
    let started = Instant::now();
    let ended = loop {
        match node.child.try_wait().unwrap() {
            Some(status) => break status,
            None if started.elapsed() > TIMEOUT => panic!("the controller does not stop"),
            None => thread::sleep(Duration::from_millis(20)),
        }
    };
    assert!(ended.success());
}

#[test]
fn a_configuration_error_names_its_place_and_value() {
    let unused = "127.0.0.1:1".parse().unwrap();
    let mut invalid = config(unused, unused);
    invalid["settings"]["lanes"][0]["aim_s"] = json!("soon");
    let path = temp_file("wrong-node.json", &invalid.to_string());
    let output =
        Command::new(env!("CARGO_BIN_EXE_mintstall")).arg("node").env("LB_CONFIG", &path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(output_text(&output).contains("lanes.0.aim_s=soon"), "{}", output_text(&output));
}
