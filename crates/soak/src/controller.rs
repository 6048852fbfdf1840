//! A controller under test: the real program as a process, with its configuration, signals and resource limits.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::callers::{Connection, answers_options};
use crate::plan::ShutdownSignals;
use crate::record::{ControllerIndex, Event, Recorder};
use crate::sync::lock;

/// SIGKILL follows SIGTERM at the earliest after the longest deadline, counted as this where it is longer, ...
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// ... and this time.
pub const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Callers still open new connections for this time after SIGTERM.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Time within which a controller must answer OPTIONS after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the drain of an exchange has been listed in which controllers may still send set-ups to it.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Time that must pass between the release of an attempt and the next attempt of the call.
pub const RELEASE_TIME: Duration = Duration::from_millis(200);
/// In a series of signals: the time between two, and when and how long the process is stopped before the kill.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(150);
const PAUSE_BEFORE_KILL: Duration = Duration::from_millis(550);
const SHUTDOWN_PAUSE: Duration = Duration::from_millis(150);
const MAX_SOCKETS: usize = 256;
const MAX_MEMORY_KIB: u64 = 64 << 10;

/// How a process is scheduled on a machine with less than a core: it runs for a while, and pauses for a while.
#[derive(Clone, Copy, Debug)]
pub struct TimeSlices {
    pub run: Duration,
    pub pause: Duration,
}

/// The state of a controller as the load balancer in front of it knows it.
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
    /// How often the controller has been started.
    start_count: u32,
    bus: SocketAddr,
}

/// One controller. Clones refer to the same controller.
#[derive(Clone, Debug)]
pub struct ControllerProcess {
    pub index: ControllerIndex,
    pub listen: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Held during a restart, so that two restarts don't overlap.
    restart: Arc<Mutex<()>>,
    binary: PathBuf,
    directory: PathBuf,
    recorder: Recorder,
    seed: u64,
    options: Options,
}

/// What the settings of a controller allow and ask for.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether the controller may probe exchanges.
    pub probes_enabled: bool,
    /// The longest time that a call waits for its answer.
    pub longest_deadline: Duration,
}

/// The controller program, and the directory for its configuration and log files.
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
        options: Options,
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
            options,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// How often the controller has been started. Callers announce standing calls again after each start.
    pub fn start_count(&self) -> u32 {
        self.lock().start_count
    }

    /// Waits for a restart in progress, and blocks other restarts while the guard is held.
    pub fn lock_restart(&self) -> MutexGuard<'_, ()> {
        lock(&self.restart)
    }

    /// Whether callers may open new connections to the controller.
    pub fn accepts_connections(&self) -> bool {
        match self.phase() {
            Phase::Ready => true,
            Phase::Terminating { since } => since.elapsed() < ACCEPT_AFTER_SIGTERM,
            Phase::Down => false,
        }
    }

    fn config_path(&self) -> PathBuf {
        self.directory.join(format!("controller-{}.json", self.index))
    }

    pub fn log_path(&self) -> PathBuf {
        self.directory.join(format!("controller-{}.log", self.index))
    }

    fn write_config(&self, initial_events: &Value, bus: SocketAddr, start_count: u32) -> io::Result<()> {
        let seed = self.seed.wrapping_add(u64::from(start_count));
        let call_type = |name: &str, setup_target: f64, deadline: f64, semantics: &str| json!({"name": name, "aim_s": setup_target, "hard_limit_s": deadline, "worth": 1.0, "semantics": semantics});
        let deadline = self.options.longest_deadline.as_secs_f64();
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.listen, "seed": format!("{seed:016x}"), "bus": bus,
            "limits": {"cores": 0.5, "memory_mb": MAX_MEMORY_KIB / 1024, "sockets": MAX_SOCKETS},
            "known": initial_events,
            "settings": {
                "lanes": [call_type("voice", 0.8, 1.5, "free"), call_type("data", 1.0, deadline, "single_shot")],
                "tenants": [{"name": "acme"}], "dcs": ["east"],
                "specifics": {"own_number": 0, "widths": [1, 1], "call_length_s": [4.0, 4.0], "clear_wait_s": RELEASE_TIME.as_secs_f64()},
                "limits": {"most_tries": 4, "cancelling": true, "retry_after": true, "max_retry_after_s": 1.0, "probes": self.options.probes_enabled, "dial_timeout_s": 0.5},
                "report": {"fields": ["idle", "circuits"]},
                "rules": {"fall_multiple": 2.5, "cold_from": 0.5, "ramp_time_s": 3.0}
            }
        });
        let path = self.config_path();
        let temporary = path.with_extension("next");
        fs::write(&temporary, config.to_string())?;
        fs::rename(temporary, path)
    }

    /// Starts the program and waits until it answers OPTIONS, or records that it did not within 10 s.
    pub fn start(&self, initial_events: &Value) -> io::Result<()> {
        let start_count = {
            let mut state = self.lock();
            state.start_count += 1;
            state.start_count
        };
        self.write_config(initial_events, self.lock().bus, start_count)?;
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
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
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
            // An error is ignored: the process may have exited already.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Writes a configuration with another address of the event bus and makes the controller reload it.
    pub fn reconfigure(&self, initial_events: &Value, bus: SocketAddr) -> io::Result<()> {
        let start_count = {
            let mut state = self.lock();
            state.bus = bus;
            state.start_count
        };
        self.write_config(initial_events, bus, start_count)?;
        self.recorder.add(Event::Reconfigured { controller: self.index });
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Sends SIGTERM and waits for the exit. Sends SIGKILL at the earliest time allowed if the process still runs then.
    pub fn shut_down(&self, signals: ShutdownSignals) {
        let since = Instant::now();
        let kill_after = self.options.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
        self.lock().phase = Phase::Terminating { since };
        self.recorder.add(Event::Terminating { controller: self.index });
        let mut series = match signals {
            ShutdownSignals::Single => vec![(Duration::ZERO, Signal::SIGTERM)],
            ShutdownSignals::Series => vec![
                (Duration::ZERO, Signal::SIGHUP),
                (Duration::ZERO, Signal::SIGTERM),
                (SIGNAL_INTERVAL, Signal::SIGHUP),
                (2 * SIGNAL_INTERVAL, Signal::SIGTERM),
                (kill_after - PAUSE_BEFORE_KILL, Signal::SIGSTOP),
                (kill_after - PAUSE_BEFORE_KILL + SHUTDOWN_PAUSE, Signal::SIGCONT),
            ],
        };
        while since.elapsed() < kill_after {
            let due = series.iter().take_while(|(at, _)| *at <= since.elapsed()).count();
            series.drain(..due).for_each(|(_, signal)| self.signal(signal));
            if self.has_exited() {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.kill();
    }

    /// Stops the process for a while, several times in a row.
    pub fn pause(&self, count: u32, pause: Duration) {
        for _ in 0..count {
            self.signal(Signal::SIGSTOP);
            thread::sleep(pause);
            self.signal(Signal::SIGCONT);
            thread::sleep(pause / 2);
        }
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

    /// Lets the process run for one slice of time after each pause, as a machine with less than a core does, until the
    /// run ends.
    pub fn run_in_slices(&self, slices: TimeSlices, stopped: &AtomicBool) {
        while !stopped.load(Ordering::Relaxed) {
            // A process that is not ready yet must not be late for that.
            if self.phase() == Phase::Ready {
                self.signal(Signal::SIGSTOP);
                thread::sleep(slices.pause);
            }
            self.signal(Signal::SIGCONT);
            thread::sleep(slices.run);
        }
    }

    /// Whether the process has exited by itself. Records its exit status.
    pub fn has_exited(&self) -> bool {
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

    /// Checks that the process runs, and that its memory and descriptors are within the limits.
    pub fn check_limits(&self) {
        // Until the controller is ready, the child process may not have executed the program yet.
        if self.phase() == Phase::Down {
            return;
        }
        let process_id = self.lock().child.as_ref().map(Child::id);
        let Some(process_id) = process_id.filter(|_| !self.has_exited()) else { return };
        let proc_directory = Path::new("/proc").join(process_id.to_string());
        let descriptors = fs::read_dir(proc_directory.join("fd")).map_or(0, Iterator::count);
        if descriptors > MAX_SOCKETS {
            let what = format!("{descriptors} descriptors");
            self.recorder.add(Event::OverLimit { controller: self.index, what });
        }
        let resident =
            fs::read_to_string(proc_directory.join("status")).ok().and_then(|text| resident_kib(&text));
        if let Some(kib) = resident.filter(|kib| *kib > MAX_MEMORY_KIB) {
            self.recorder
                .add(Event::OverLimit { controller: self.index, what: format!("{kib} KiB resident") });
        }
    }

    /// Opens a caller connection.
    pub fn connect(&self) -> io::Result<TcpStream> {
        Connection::connect(self.listen)
    }
}

fn resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_ascii_whitespace().nth(1)?.parse().ok()
}
