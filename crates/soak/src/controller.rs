//! A controller under test: the real program as a process, its configuration, its signals and its limits.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::callers::{Connection, answers_options};
use crate::record::{ControllerIndex, Event, Recorder};
use crate::sync::lock;

/// Calls wait no longer than this for their answer.
pub const MAX_CALL_DEADLINE: Duration = Duration::from_millis(2500);
/// SIGKILL may come this long after the longest deadline has passed since SIGTERM.
pub const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// New connections may still come for this long after SIGTERM.
const CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(300);
/// A controller is ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
pub const RELEASE_TIME: Duration = Duration::from_millis(200);
const SOCKETS: usize = 256;
const MEMORY_KIB: u64 = 64 << 10;

/// What the front knows of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Terminating { since: Instant },
    Down,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    child: Option<Child>,
    /// How often it has started.
    start_count: u32,
    bus: SocketAddr,
}

/// One controller; clones are the same one.
#[derive(Clone, Debug)]
pub struct ControllerProcess {
    pub index: ControllerIndex,
    pub listen: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Held through a restart: two of them don't run into each other.
    restart: Arc<Mutex<()>>,
    binary: PathBuf,
    directory: PathBuf,
    recorder: Recorder,
    seed: u64,
    /// Whether the settings allow tests of exchanges.
    probes_enabled: bool,
}

/// Where a run finds the program and leaves its files.
#[derive(Clone, Debug)]
pub struct Files {
    pub binary: PathBuf,
    pub directory: PathBuf,
}

impl ControllerProcess {
    pub fn new(
        index: ControllerIndex,
        listen: SocketAddr,
        bus: SocketAddr,
        files: &Files,
        seed: u64,
        probes_enabled: bool,
        recorder: &Recorder,
    ) -> Self {
        let state = State { phase: Phase::Down, child: None, start_count: 0, bus };
        Self {
            index,
            listen,
            state: Arc::new(Mutex::new(state)),
            restart: Arc::default(),
            binary: files.binary.clone(),
            directory: files.directory.clone(),
            recorder: recorder.clone(),
            seed,
            probes_enabled,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// How often it has started: standing calls are announced again to each start.
    pub fn start_count(&self) -> u32 {
        self.lock().start_count
    }

    /// Waits for a restart that is under way, and keeps others waiting.
    pub fn lock_restart(&self) -> MutexGuard<'_, ()> {
        lock(&self.restart)
    }

    /// Whether the front opens new connections to it.
    pub fn accepts_connections(&self) -> bool {
        match self.phase() {
            Phase::Ready => true,
            Phase::Terminating { since } => since.elapsed() < CONNECTIONS_AFTER_TERM,
            Phase::Down => false,
        }
    }

    fn config_path(&self) -> PathBuf {
        self.directory.join(format!("controller-{}.json", self.index))
    }

    pub fn log_path(&self) -> PathBuf {
        self.directory.join(format!("controller-{}.log", self.index))
    }

    fn write_config(&self, known: &Value, bus: SocketAddr, start_count: u32) -> io::Result<()> {
        let seed = self.seed.wrapping_add(u64::from(start_count));
        let lane = |name: &str, aim: f64, deadline: f64, semantics: &str| json!({"name": name, "aim_s": aim, "hard_limit_s": deadline, "worth": 1.0, "semantics": semantics});
        let deadline = MAX_CALL_DEADLINE.as_secs_f64();
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.listen, "seed": format!("{seed:016x}"), "bus": bus,
            "limits": {"cores": 0.5, "memory_mb": MEMORY_KIB / 1024, "sockets": SOCKETS},
            "known": known,
            "settings": {
                "lanes": [lane("voice", 0.8, 1.5, "free"), lane("data", 1.0, deadline, "single_shot")],
                "tenants": [{"name": "acme"}], "dcs": ["east"],
                "specifics": {"own_number": 0, "widths": [1, 1], "call_length_s": [4.0, 4.0], "clear_wait_s": RELEASE_TIME.as_secs_f64()},
                "limits": {"most_tries": 4, "cancelling": true, "retry_after": true, "max_retry_after_s": 1.0, "probes": self.probes_enabled, "dial_timeout_s": 0.5},
                "report": {"fields": ["idle", "circuits"]},
                "rules": {"fall_multiple": 2.5, "cold_from": 0.5, "ramp_time_s": 3.0}
            }
        });
        let path = self.config_path();
        let next = path.with_extension("next");
        fs::write(&next, config.to_string())?;
        fs::rename(next, path)
    }

    /// Starts the program, and waits until it passes a test.
    pub fn start(&self, known: &Value) -> io::Result<()> {
        let start_count = {
            let mut state = self.lock();
            state.start_count += 1;
            state.start_count
        };
        self.write_config(known, self.lock().bus, start_count)?;
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let child = Command::new(&self.binary)
            .args(["--log", "info,mintstall::calls=debug", "node"])
            .env("LB_CONFIG", self.config_path())
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_NAME", format!("n{}", self.index))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.lock().child = Some(child);
        let began = Instant::now();
        while began.elapsed() < READY_WITHIN {
            if answers_options(self.listen) {
                self.recorder.add(Event::ControllerReady { controller: self.index });
                self.lock().phase = Phase::Ready;
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.recorder.add(Event::OverLimit { controller: self.index, what: "not ready in 10 s".into() });
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.lock().child {
            // It may have ended by itself.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// A new configuration with another address of the bus.
    pub fn reconfigure(&self, known: &Value, bus: SocketAddr) -> io::Result<()> {
        let start_count = {
            let mut state = self.lock();
            state.bus = bus;
            state.start_count
        };
        self.write_config(known, bus, start_count)?;
        self.recorder.add(Event::Reconfigured { controller: self.index });
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// SIGTERM, then SIGKILL at the earliest time allowed, or the end by itself before that.
    pub fn shut_down(&self) {
        let since = Instant::now();
        self.lock().phase = Phase::Terminating { since };
        self.recorder.add(Event::Terminating { controller: self.index });
        self.signal(Signal::SIGTERM);
        while since.elapsed() < MAX_CALL_DEADLINE + KILL_AFTER_DEADLINE {
            if self.has_ended() {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.kill();
    }

    pub fn kill(&self) {
        let mut state = self.lock();
        state.phase = Phase::Down;
        if let Some(mut child) = state.child.take() {
            self.recorder.add(Event::Killed { controller: self.index });
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself; recorded with its status.
    pub fn has_ended(&self) -> bool {
        let mut state = self.lock();
        let Some(child) = &mut state.child else { return true };
        let Ok(Some(status)) = child.try_wait() else { return false };
        let expected = matches!(state.phase, Phase::Terminating { .. }) && status.success();
        let (controller, status) = (self.index, status.to_string());
        self.recorder.add(Event::Exited { controller, expected, status });
        state.child = None;
        state.phase = Phase::Down;
        true
    }

    /// Looks at memory and descriptors, and whether it still runs.
    pub fn check_limits(&self) {
        // One that is not ready may not even have begun to run the program.
        if self.phase() == Phase::Down {
            return;
        }
        let process = self.lock().child.as_ref().map(Child::id);
        let Some(process) = process.filter(|_| !self.has_ended()) else { return };
        let path = Path::new("/proc").join(process.to_string());
        let descriptors = fs::read_dir(path.join("fd")).map_or(0, Iterator::count);
        if descriptors > SOCKETS {
            let what = format!("{descriptors} descriptors");
            self.recorder.add(Event::OverLimit { controller: self.index, what });
        }
        let resident = fs::read_to_string(path.join("status")).ok().and_then(|text| resident_kib(&text));
        if let Some(kib) = resident.filter(|kib| *kib > MEMORY_KIB) {
            self.recorder
                .add(Event::OverLimit { controller: self.index, what: format!("{kib} KiB resident") });
        }
    }

    /// A connection as the front opens it.
    pub fn connect(&self) -> io::Result<TcpStream> {
        Connection::connect(self.listen)
    }
}

fn resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_ascii_whitespace().nth(1)?.parse().ok()
}
