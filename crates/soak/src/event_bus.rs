//! An emulated event bus: it sends numbered changes of the list of exchanges, at several addresses for each controller.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::listener::listen;
use crate::record::{BusFault, ControllerIndex, Event, Recorder};
use crate::sync::lock;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const BACKLOG: i32 = 64;
/// Interval between two lines that hold only the offset of the last event sent.
const OFFSET_LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Once a controller has been told to use another address, connections at the old one are closed after this time.
const CLOSE_AFTER_MOVE: Duration = Duration::from_millis(1500);

/// Time from the connection to the first line during [`BusFault::Slow`]. Changes count as told 4 s after the break.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(3200);

/// One exchange in the list.
#[derive(Clone, Debug)]
pub struct Target {
    pub uid: String,
    pub destination: u16,
    /// The address at which each controller reaches the exchange, by controller index.
    pub endpoints: Vec<SocketAddr>,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    fn json(&self, controller: ControllerIndex) -> Value {
        json!({
            "uid": self.uid, "endpoint": self.endpoints[controller], "az": "east", "model": "std",
            "pod_group": self.destination, "state": self.state, "capacity_hint": 4, "boot_ms": self.boot_ms,
        })
    }
}

#[derive(Debug, Default)]
struct State {
    events: Vec<Target>,
    down: bool,
    /// Whether new connections are served only after [`SLOW_SERVICE_TIME`].
    slow: bool,
    /// Connections opened before this time send nothing.
    silent_before: Option<Instant>,
    /// Connections opened before this time are closed in the middle of a line.
    broken_before: Option<Instant>,
    /// The address that each controller is to use.
    current_addresses: Vec<SocketAddr>,
    stopped: bool,
}

/// The event bus. Clones refer to the same bus.
#[derive(Clone, Debug)]
pub struct EventBus {
    state: Arc<Mutex<State>>,
    recorder: Recorder,
}

impl EventBus {
    /// Serves all `addresses` of each controller. Each controller uses its first address at the start.
    pub fn start(addresses: &[Vec<SocketAddr>], recorder: &Recorder) -> Self {
        let current_addresses = addresses
            .iter()
            .filter_map(|controller_addresses| controller_addresses.first().copied())
            .collect();
        let state = Arc::new(Mutex::new(State { current_addresses, ..State::default() }));
        let bus = Self { state, recorder: recorder.clone() };
        for (controller, controller_addresses) in addresses.iter().enumerate() {
            for addr in controller_addresses.iter().copied() {
                let bus = bus.clone();
                thread::spawn(move || bus.accept(controller, addr));
            }
        }
        bus
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Adds a change to the list.
    pub fn publish(&self, target: Target) {
        let mut state = self.lock();
        let (uid, target_state) = (target.uid.clone(), target.state.to_string());
        state.events.push(target);
        let offset = state.events.len() as u64;
        self.recorder.add(Event::ListChanged { offset, uid, state: target_state });
    }

    pub fn begin_fault(&self, fault: BusFault) {
        let mut state = self.lock();
        let now = Some(Instant::now());
        match fault {
            BusFault::Break => state.broken_before = now,
            BusFault::Silent => state.silent_before = now,
            BusFault::Slow => (state.broken_before, state.slow) = (now, true),
            BusFault::Down => state.down = true,
        }
        self.recorder.add(Event::BusFaultBegan { fault });
    }

    pub fn end_fault(&self, fault: BusFault) {
        let mut state = self.lock();
        match fault {
            BusFault::Down => state.down = false,
            BusFault::Slow => state.slow = false,
            BusFault::Break | BusFault::Silent => {}
        }
        self.recorder.add(Event::BusFaultEnded { fault });
    }

    /// Sets the address at which the bus accepts connections of a controller from now on.
    pub fn set_address(&self, controller: ControllerIndex, addr: SocketAddr) {
        self.lock().current_addresses[controller] = addr;
    }

    pub fn stop(&self) {
        self.lock().stopped = true;
    }

    /// All events so far as one full list, in the form that the configuration of a controller holds.
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
            let (stopped, accepts) = {
                let state = self.lock();
                (state.stopped, !state.down && state.current_addresses[controller] == addr)
            };
            if stopped {
                return;
            }
            if !accepts {
                listener = None;
            } else if listener.is_none() {
                listener = listen(addr, BACKLOG).ok();
            }
            match listener.as_ref().and_then(|listener: &TcpListener| listener.accept().ok()) {
                Some((stream, _)) => {
                    let bus = self.clone();
                    thread::spawn(move || bus.serve(controller, addr, stream));
                }
                None => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Serves one connection until it is closed.
    fn serve(&self, controller: ControllerIndex, addr: SocketAddr, mut stream: TcpStream) {
        let opened = Instant::now();
        let Some(mut sent_offset) = read_resume_offset(&stream) else { return };
        if self.lock().slow {
            thread::sleep(SLOW_SERVICE_TIME);
        }
        let (mut last_offset_line, mut moved_at) = (Instant::now(), None);
        loop {
            let (lines, silent, broken) = {
                let state = self.lock();
                if state.stopped || state.down {
                    return;
                }
                if state.current_addresses[controller] != addr {
                    moved_at = moved_at.or(Some(Instant::now()));
                }
                let new = state.events.iter().enumerate().skip(sent_offset);
                let lines: Vec<_> =
                    new.map(|(index, target)| event_line(index as u64 + 1, target, controller)).collect();
                let opened_before = |at: Option<Instant>| at.is_some_and(|at| opened < at);
                (lines, opened_before(state.silent_before), opened_before(state.broken_before))
            };
            if broken {
                // Closes the connection in the middle of a line.
                let _ = stream.write_all(br#"{"offset":"#);
                return;
            }
            if moved_at.is_some_and(|at: Instant| at.elapsed() > CLOSE_AFTER_MOVE) {
                return;
            }
            let mut text = if silent || moved_at.is_some() { String::new() } else { lines.concat() };
            if !text.is_empty() {
                sent_offset += lines.len();
            }
            if last_offset_line.elapsed() > OFFSET_LINE_INTERVAL && !silent && moved_at.is_none() {
                last_offset_line = Instant::now();
                text += &format!("{sent_offset}\n");
            }
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Reads the line `from N` and returns N, the offset of the last event that the controller has.
fn read_resume_offset(stream: &TcpStream) -> Option<usize> {
    stream.set_nonblocking(false).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut line = String::new();
    BufReader::new(stream.try_clone().ok()?).read_line(&mut line).ok()?;
    line.trim().strip_prefix("from ")?.parse().ok()
}

fn event_line(offset: u64, target: &Target, controller: ControllerIndex) -> String {
    let topology = json!({"rev": offset, "all": false, "targets": [target.json(controller)]});
    format!("{}\n", json!({"offset": offset, "topology": topology}))
}
