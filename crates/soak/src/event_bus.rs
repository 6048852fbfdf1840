//! An emulated event bus: numbered changes of the list of exchanges, at several addresses for each controller.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::listener::listen;
use crate::record::{BusFault, ControllerIndex, Event, Recorder};
use crate::sync::lock;

const TICK: Duration = Duration::from_millis(20);
const BACKLOG: i32 = 64;
/// A line with the last number follows that often.
const PULSE: Duration = Duration::from_secs(1);
/// An address that is left closes its connections after this.
const LEFT_OPEN: Duration = Duration::from_millis(1500);

/// One exchange as the list holds it.
#[derive(Clone, Debug)]
pub struct Target {
    pub uid: String,
    pub office: u16,
    /// As each controller reaches it.
    pub endpoints: Vec<SocketAddr>,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    fn json(&self, controller: ControllerIndex) -> Value {
        json!({
            "uid": self.uid, "endpoint": self.endpoints[controller], "az": "east", "model": "std",
            "pod_group": self.office, "state": self.state, "capacity_hint": 4, "boot_ms": self.boot_ms,
        })
    }
}

#[derive(Debug, Default)]
struct State {
    events: Vec<Target>,
    down: bool,
    /// Connections opened before this are silent, or are to be closed in the middle of a line.
    silent_before: Option<Instant>,
    broken_before: Option<Instant>,
    /// The address that each controller is told to use.
    current: Vec<SocketAddr>,
    over: bool,
}

/// The bus; clones are the same one.
#[derive(Clone, Debug)]
pub struct EventBus {
    state: Arc<Mutex<State>>,
    recorder: Recorder,
}

impl EventBus {
    /// Listens at all `addresses` of each controller; the first is in use.
    pub fn start(addresses: &[Vec<SocketAddr>], recorder: &Recorder) -> Self {
        let current = addresses.iter().filter_map(|of| of.first().copied()).collect();
        let state = Arc::new(Mutex::new(State { current, ..State::default() }));
        let bus = Self { state, recorder: recorder.clone() };
        for (controller, of) in addresses.iter().enumerate() {
            for addr in of.iter().copied() {
                let bus = bus.clone();
                thread::spawn(move || bus.accept(controller, addr));
            }
        }
        bus
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Adds a change of the list.
    pub fn publish(&self, target: Target) {
        let mut state = self.lock();
        let (uid, name) = (target.uid.clone(), target.state.to_string());
        state.events.push(target);
        let offset = state.events.len() as u64;
        self.recorder.add(Event::ListChanged { offset, uid, state: name });
    }

    pub fn begin_fault(&self, fault: BusFault) {
        let mut state = self.lock();
        let now = Some(Instant::now());
        match fault {
            BusFault::Break => state.broken_before = now,
            BusFault::Silent => state.silent_before = now,
            BusFault::Down => state.down = true,
        }
        self.recorder.add(Event::BusFaultBegan { fault });
    }

    pub fn end_fault(&self, fault: BusFault) {
        let mut state = self.lock();
        if fault == BusFault::Down {
            state.down = false;
        }
        self.recorder.add(Event::BusFaultEnded { fault });
    }

    /// Where a controller is to ask from now on.
    pub fn set_address(&self, controller: ControllerIndex, addr: SocketAddr) {
        self.lock().current[controller] = addr;
    }

    pub fn stop(&self) {
        self.lock().over = true;
    }

    /// The events so far, as the configuration of a controller holds them.
    pub fn initial_events(&self, controller: ControllerIndex) -> Value {
        let state = self.lock();
        let mut latest: Vec<&Target> = Vec::new();
        for target in &state.events {
            latest.retain(|older| older.uid != target.uid);
            latest.push(target);
        }
        latest.retain(|target| target.state != "terminated");
        let targets: Vec<_> = latest.iter().map(|target| target.json(controller)).collect();
        let offset = state.events.len();
        let topology = json!({"rev": offset, "all": true, "targets": targets});
        json!({"offset": offset, "batch": [{"offset": offset, "topology": topology}]})
    }

    fn accept(&self, controller: ControllerIndex, addr: SocketAddr) {
        let mut listener = None;
        loop {
            let (over, open) = {
                let state = self.lock();
                (state.over, !state.down && state.current[controller] == addr)
            };
            if over {
                return;
            }
            if !open {
                listener = None;
            } else if listener.is_none() {
                listener = listen(addr, BACKLOG).ok();
            }
            match listener.as_ref().and_then(|listener: &TcpListener| listener.accept().ok()) {
                Some((stream, _)) => {
                    let bus = self.clone();
                    thread::spawn(move || bus.serve(controller, addr, stream));
                }
                None => thread::sleep(TICK),
            }
        }
    }

    /// One connection, until it ends.
    fn serve(&self, controller: ControllerIndex, addr: SocketAddr, mut stream: TcpStream) {
        let opened = Instant::now();
        let Some(mut sent) = asked_from(&stream) else { return };
        let (mut pulse, mut left_at) = (Instant::now(), None);
        loop {
            let (lines, silent, broken) = {
                let state = self.lock();
                if state.over || state.down {
                    return;
                }
                if state.current[controller] != addr {
                    left_at = left_at.or(Some(Instant::now()));
                }
                let new = state.events.iter().enumerate().skip(sent);
                let lines: Vec<_> = new.map(|(at, target)| line(at as u64 + 1, target, controller)).collect();
                let before = |at: Option<Instant>| at.is_some_and(|at| opened < at);
                (lines, before(state.silent_before), before(state.broken_before))
            };
            if broken {
                // In the middle of a line.
                let _ = stream.write_all(br#"{"offset":"#);
                return;
            }
            if left_at.is_some_and(|at: Instant| at.elapsed() > LEFT_OPEN) {
                return;
            }
            let mut text = if silent || left_at.is_some() { String::new() } else { lines.concat() };
            if !text.is_empty() {
                sent += lines.len();
            }
            if pulse.elapsed() > PULSE && !silent && left_at.is_none() {
                pulse = Instant::now();
                text += &format!("{sent}\n");
            }
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            thread::sleep(TICK);
        }
    }
}

/// The number in the line `from N`.
fn asked_from(stream: &TcpStream) -> Option<usize> {
    stream.set_nonblocking(false).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut line = String::new();
    BufReader::new(stream.try_clone().ok()?).read_line(&mut line).ok()?;
    line.trim().strip_prefix("from ")?.parse().ok()
}

fn line(offset: u64, target: &Target, controller: ControllerIndex) -> String {
    let topology = json!({"rev": offset, "all": false, "targets": [target.json(controller)]});
    format!("{}\n", json!({"offset": offset, "topology": topology}))
}
