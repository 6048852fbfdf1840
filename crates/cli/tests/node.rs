//! `mintstall node` as a process, with callers, exchanges and an event bus of our own on loopback.

mod common;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::{LONG, file, says};
use mintstall_platform::exchange_protocol::{self, MessageType, parameter};
use mintstall_sip as sip;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

/// An exchange that answers every set-up; it tells what it was sent.
fn exchange() -> (SocketAddr, Receiver<(MessageType, u64)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tell, told) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tell = tell.clone();
            thread::spawn(move || link(stream, &tell));
        }
    });
    (addr, told)
}

fn link(mut stream: TcpStream, tell: &Sender<(MessageType, u64)>) {
    let mut out = Vec::new();
    exchange_protocol::encode(
        &mut out,
        MessageType::State,
        exchange_protocol::WireCallId(0),
        &[(parameter::REPORT, b"idle:9;circuits:9")],
    );
    let (mut decoder, mut buffer) = (exchange_protocol::Decoder::default(), [0; 4096]);
    loop {
        // The other end may be gone, with the test.
        if stream.write_all(&out).is_err() {
            return;
        }
        out.clear();
        let Ok(count @ 1..) = stream.read(&mut buffer) else { return };
        decoder.push(&buffer[..count]);
        while let Some(message) = decoder.next_message().unwrap() {
            let _ = tell.send((message.kind, message.call.0));
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

/// An event bus: tells the line with which each connection asks, and keeps it open with a pulse.
fn bus() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tell, told) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut line = String::new();
            let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
            let _ = tell.send(line);
            thread::spawn(move || {
                while stream.write_all(b"1\n").is_ok() {
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
    (addr, told)
}

fn config(exchange: SocketAddr, bus: SocketAddr) -> Value {
    let target = |uid: &str, office: u16, at: SocketAddr| json!({"uid": uid, "endpoint": at, "az": "east", "pod_group": office, "state": "in_service", "boot_ms": 0});
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

struct Running {
    child: Child,
    callers: SocketAddr,
    path: PathBuf,
}

impl Running {
    fn start(name: &str, config: &Value) -> Self {
        let path = file(name, &config.to_string());
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
        Self { child, callers, path }
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Caller { stream, decoder: sip::Decoder::default() }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // Mostly it has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

struct Caller {
    stream: TcpStream,
    decoder: sip::Decoder,
}

impl Caller {
    fn says(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The next message: what it is, and its body. None: closed.
    fn hears(&mut self) -> Option<(String, String)> {
        loop {
            if let Some(message) = self.decoder.next_message().unwrap() {
                let what = match message.start {
                    sip::StartLine::Response { status } => status.to_string(),
                    sip::StartLine::Request { method, .. } => method.to_string(),
                };
                return Some((what, String::from_utf8_lossy(message.body).to_string()));
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

    fn status(&mut self) -> String {
        self.hears().map_or("closed".to_string(), |(what, _)| what)
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
fn a_controller_serves_beside_bad_callers_moves_its_bus_and_stops_when_it_owes_nothing() {
    let ((exchange, sent), (first, asked), (second, asked_next)) = (exchange(), bus(), bus());
    let mut node = Running::start("node.json", &config(exchange, first));
    assert_eq!(asked.recv_timeout(LONG).unwrap(), "from 1\n");

    let mut caller = node.connect();
    caller.says(&request("OPTIONS", 0));
    assert_eq!(caller.status(), "200");
    caller.says(&invite(7, "1"));
    assert_eq!(caller.hears().unwrap(), ("200".to_string(), "HELLO".to_string()));
    assert_eq!(sent.recv_timeout(LONG).unwrap(), (MessageType::SetUp, 7));

    let mut bad = node.connect();
    bad.says(&invite(8, "nowhere"));
    assert_eq!(bad.status(), "400");
    bad.says("INVITE sip:a@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n");
    // What is sent on is read away, so that the words of the refusal are not lost.
    let _ = bad.stream.write_all(&vec![b'x'; 1 << 20]);
    assert_eq!((bad.status(), bad.status()), ("513".to_string(), "closed".to_string()));
    let mut silent: Vec<_> = (0..300).map(|_| node.connect()).collect();
    assert_eq!(silent[0].status(), "closed", "more than may be open, and it said nothing");
    drop(silent);

    std::fs::write(&node.path, "{").unwrap();
    node.signal(Signal::SIGHUP);
    caller.says(&request("OPTIONS", 1));
    assert_eq!(caller.status(), "200", "a bad file changes nothing");
    std::fs::write(&node.path, config(exchange, second).to_string()).unwrap();
    node.signal(Signal::SIGHUP);
    assert_eq!(asked_next.recv_timeout(LONG).unwrap(), "from 1\n");

    node.signal(Signal::SIGTERM);
    caller.says(&invite(9, "1"));
    assert_eq!(caller.status(), "200", "calls keep coming for a while");
    caller.says(&request("BYE", 7));
    assert_eq!(caller.status(), "200");
    assert_eq!(sent.recv_timeout(LONG).unwrap(), (MessageType::SetUp, 9));
    assert_eq!(sent.recv_timeout(LONG).unwrap(), (MessageType::Release, 7));
    let started = Instant::now();
    let ended = loop {
        match node.child.try_wait().unwrap() {
            Some(status) => break status,
            None if started.elapsed() > LONG => panic!("does not stop"),
            None => thread::sleep(Duration::from_millis(20)),
        }
    };
    assert!(ended.success());
}

#[test]
fn a_bad_configuration_is_told_with_place_and_cause() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let mut wrong = config(nowhere, nowhere);
    wrong["settings"]["lanes"][0]["aim_s"] = json!("soon");
    let path = file("wrong-node.json", &wrong.to_string());
    let output =
        Command::new(env!("CARGO_BIN_EXE_mintstall")).arg("node").env("LB_CONFIG", &path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(says(&output).contains("lanes.0.aim_s=soon"), "{}", says(&output));
}
