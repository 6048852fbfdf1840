//! Helpers of the tests: they run the command `mintstall`, and controllers as processes.
#![allow(dead_code)]

pub mod node;
pub mod sessions;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

pub fn mintstall(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mintstall")).args(args).output().unwrap()
}

/// Writes a temporary file; the process id keeps concurrent test runs apart.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("mintstall-command-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Standard output and standard error.
pub fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string() + &String::from_utf8_lossy(&output.stderr)
}

/// Timeout of everything that a test waits for.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Circuits of the group to the far exchange.
pub const CIRCUITS: u16 = 310;

/// A controller in a process of its own, linked to an exchange that the test provides.
pub struct Controller {
    pub child: Child,
    /// The line that the controller writes once it accepts calls: its addresses.
    pub ready: Value,
}

impl Controller {
    pub fn start(name: &str, link: SocketAddr) -> Self {
        Self::start_with(name, link, json!({}))
    }

    /// `extra` replaces or adds fields of the configuration.
    pub fn start_with(name: &str, link: SocketAddr, extra: Value) -> Self {
        let mut config = json!({
            "exchange": 1,
            "signalling": { "listen": "127.0.0.1:0",
                            "links": [{ "to": 2, "circuits": CIRCUITS, "connect": link }] },
            "subscribers": { "listen": "127.0.0.1:0" },
            "calls": { "listen": "127.0.0.1:0" },
            "admin": { "listen": "127.0.0.1:0" },
            "call_types": [{ "name": "call", "setup_target_ms": 2000, "guard_time_ms": 9000, "revenue": 1,
                             "mean_hold_ms": 10000 }],
        });
        extra.as_object().unwrap().iter().for_each(|(field, value)| config[field] = value.clone());
        let path = temp_file(name, &config.to_string());
        let mut child = Command::new(env!("CARGO_BIN_EXE_mintstall"))
            .args(["run", "--config", path.to_str().unwrap()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        Self { child, ready: serde_json::from_str(&line).unwrap() }
    }

    pub fn connect(&self, port: &str) -> BufReader<TcpStream> {
        let addr: SocketAddr = self.ready[port].as_str().unwrap().parse().unwrap();
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    pub fn status(&self) -> Value {
        let mut admin = self.connect("admin");
        request(&mut admin, r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#)["result"].clone()
    }

    /// Polls the status until the condition `reached` holds; `description` names it if that times out.
    pub fn wait_until(&self, description: &str, reached: impl Fn(&Value) -> bool) -> Value {
        let start = Instant::now();
        loop {
            let status = self.status();
            if reached(&status) {
                return status;
            }
            assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {description}; status {status}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn stop(mut self) -> Option<i32> {
        self.kill("-TERM");
        self.wait()
    }

    pub fn kill(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

/// Kills the process when a test fails.
impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn request(line: &mut BufReader<TcpStream>, text: &str) -> Value {
    line.get_mut().write_all(text.as_bytes()).unwrap();
    line.get_mut().write_all(b"\n").unwrap();
    read_message(line)
}

pub fn read_message(line: &mut BufReader<TcpStream>) -> Value {
    let mut text = String::new();
    line.read_line(&mut text).unwrap();
    serde_json::from_str(&text).unwrap()
}

/// The most memory that a process has had resident so far, in KiB.
pub fn peak_memory_kib(child: &Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
    let peak =
        status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().split(' ').next()?.parse().ok());
    peak.expect("the status of a process tells its peak")
}

/// Writes the pieces of an unfinished request to many connections, one piece after another, in a thread. Returns the
/// connections at its end.
pub fn write_in_pieces(
    mut crowd: Vec<TcpStream>,
    pieces: Vec<Vec<u8>>,
    pause: Duration,
) -> std::thread::JoinHandle<Vec<TcpStream>> {
    std::thread::spawn(move || {
        for piece in &pieces {
            // The far end may have closed some, which is the point.
            crowd.iter_mut().for_each(|connection| drop(connection.write_all(piece)));
            std::thread::sleep(pause);
        }
        crowd
    })
}
