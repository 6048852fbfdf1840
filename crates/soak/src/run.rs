//! Carries out a plan: starts all parties, applies the faults at their times, stops the parties, and has the records
//! checked against the rules.

use std::io::{self, BufRead, BufReader};
use std::iter::repeat_n;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use thiserror::Error;

use crate::address::allocate;
use crate::bad_callers;
use crate::callers::{CallerBehavior, CallerGroup, CallerPlan};
use crate::controller::{ControllerProcess, DRAIN_GRACE, Files, Options};
use crate::event_bus::{EventBus, Target};
use crate::exchange::ExchangeConfig;
use crate::plan::{CONTROLLERS, DESTINATIONS, Fault, Plan};
use crate::proxy::{NetworkState, Proxy};
use crate::record::{Event, Record, Recorder, now};
use crate::rule_checker::{Verdict, check_rules};
use crate::sync::lock;

/// Number of event bus addresses of each controller, of which its configuration names one.
const BUS_ADDRESSES: usize = 3;
/// Time after which a controller that has stopped is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time in which callers announce the standing calls to a controller that has restarted.
const ANNOUNCE_TIME: Duration = Duration::from_millis(500);
/// Mean time between two set-ups of one caller of a crowd.
const CROWD_SET_UP_INTERVAL: Duration = Duration::from_millis(1200);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two checks of a controller's memory and descriptors.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Error)]
pub enum RunError {
    #[error("{action}: {error}")]
    Io { action: &'static str, error: io::Error },
    #[error("{action}: {error}")]
    Json { action: &'static str, error: serde_json::Error },
}

fn io_error(action: &'static str) -> impl FnOnce(io::Error) -> RunError {
    move |error| RunError::Io { action, error }
}

/// The programs of a run, and the directory for its logs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The controller: `mintstall`.
    pub controller: PathBuf,
    /// The soak program, for its sub-command `exchange`.
    pub soak: PathBuf,
    pub directory: PathBuf,
}

/// One emulated exchange as a process.
#[derive(Debug)]
struct Exchange {
    uid: String,
    child: Child,
    listen: Vec<SocketAddr>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // Errors are ignored: usually the process has been killed already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Exchange {
    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

/// The exchange that serves a destination at present, and its proxies.
#[derive(Debug)]
struct Destination {
    exchange: Exchange,
    proxies: Vec<Proxy>,
    /// How often the exchange has been replaced. A fault with several steps compares it to detect that another fault has
    /// replaced the exchange in the meantime.
    generation: u32,
    ended: bool,
}

struct SoakRun {
    plan: Plan,
    programs: Programs,
    recorder: Recorder,
    bus: EventBus,
    bus_addresses: Vec<Vec<SocketAddr>>,
    controllers: Vec<ControllerProcess>,
    destinations: Vec<Mutex<Destination>>,
    /// The proxies of all exchanges, also of those that have been replaced.
    all_proxies: Mutex<Vec<Proxy>>,
    stopped: Arc<AtomicBool>,
}

/// Carries out one plan and checks its records against the rules.
pub fn run(plan: &Plan, programs: &Programs) -> Result<(Verdict, Vec<Record>), RunError> {
    std::fs::create_dir_all(&programs.directory).map_err(io_error("can't create the directory"))?;
    let soak_run = Arc::new(SoakRun::start(plan, programs)?);
    let caller_threads = soak_run.start_callers();
    let started = Instant::now();
    let mut fault_threads = Vec::new();
    for (at, fault) in plan.faults.clone() {
        soak_run.wait_until(started + at);
        let soak_run = Arc::clone(&soak_run);
        fault_threads.push(thread::spawn(move || soak_run.apply_fault(fault)));
    }
    soak_run.wait_until(started + plan.duration);
    let end = now();
    soak_run.stopped.store(true, Ordering::Relaxed);
    join_all(caller_threads);
    join_all(fault_threads);
    soak_run.stop();
    let records = soak_run.recorder.sorted();
    Ok((check_rules(&records, end), records))
}

fn join_all(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        // The error is ignored: the panic message has been printed.
        let _ = thread.join();
    }
}

impl SoakRun {
    fn start(plan: &Plan, programs: &Programs) -> Result<Self, RunError> {
        let recorder = Recorder::default();
        let bus_addresses: Vec<Vec<_>> =
            (0..CONTROLLERS).map(|_| (0..BUS_ADDRESSES).map(|_| allocate()).collect()).collect();
        let bus = EventBus::start(&bus_addresses, &recorder);
        let files = Files { binary: programs.controller.clone(), directory: programs.directory.clone() };
        let controllers = (0..CONTROLLERS)
            .map(|index| {
                ControllerProcess::new(
                    index,
                    allocate(),
                    bus_addresses[index][0],
                    &files,
                    plan.seed + index as u64,
                    Options { probes_enabled: plan.probes_enabled, longest_deadline: plan.longest_deadline },
                    &recorder,
                )
            })
            .collect();
        let mut soak_run = Self {
            plan: plan.clone(),
            programs: programs.clone(),
            recorder,
            bus,
            bus_addresses,
            controllers,
            destinations: Vec::new(),
            all_proxies: Mutex::default(),
            stopped: Arc::default(),
        };
        for destination in 0..DESTINATIONS {
            let exchange = soak_run.start_exchange(destination, 0, exchange_uid(destination, 0))?;
            let proxies = soak_run.start_proxies(&exchange, destination);
            soak_run.publish(destination, &exchange.uid, &proxies, "in_service", 0);
            soak_run.destinations.push(Mutex::new(Destination {
                exchange,
                proxies,
                generation: 0,
                ended: false,
            }));
        }
        for controller in &soak_run.controllers {
            let initial_events = soak_run.bus.initial_events(controller.index);
            controller.start(&initial_events).map_err(io_error("can't start a controller"))?;
        }
        Ok(soak_run)
    }

    fn start_exchange(&self, destination: usize, generation: u32, uid: String) -> Result<Exchange, RunError> {
        let listen: Vec<_> = (0..CONTROLLERS).map(|_| allocate()).collect();
        let config = ExchangeConfig {
            uid,
            listen: listen.clone(),
            seed: self.plan.seed ^ (destination as u64) << 8 ^ u64::from(generation) << 16,
            circuits: self.plan.circuits,
            answer_ms: (2, 60),
            hold_ms: self.plan.hold_ms,
            faults: self.plan.answer_faults,
            bursts: self.plan.answer_bursts,
        };
        let text = serde_json::to_string(&config).map_err(|error| RunError::Json {
            action: "can't encode the configuration of an exchange",
            error,
        })?;
        let mut child = Command::new(&self.programs.soak)
            .args(["exchange", &text])
            .stdout(Stdio::piped())
            .spawn()
            .map_err(io_error("can't start an exchange"))?;
        let mut lines = child.stdout.take().map(BufReader::new).into_iter().flat_map(BufRead::lines);
        // The exchange prints a first line when it listens.
        let _ = lines.next();
        let recorder = self.recorder.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Ok(Record { at, event }) = serde_json::from_str(&line) {
                    recorder.add_at(at, event);
                }
            }
        });
        Ok(Exchange { uid: config.uid, child, listen })
    }

    fn start_proxies(&self, exchange: &Exchange, destination: usize) -> Vec<Proxy> {
        let start = |controller: usize| {
            let seed = self.plan.seed ^ (destination * CONTROLLERS + controller) as u64;
            let upstream = exchange.listen[controller];
            let proxy = Proxy::start(controller, allocate(), upstream, &exchange.uid, seed, &self.recorder);
            proxy.set_faults(self.plan.connection_faults);
            proxy
        };
        let proxies: Vec<_> = (0..CONTROLLERS).map(start).collect();
        lock(&self.all_proxies).extend(proxies.iter().cloned());
        proxies
    }

    fn publish(&self, destination: usize, uid: &str, proxies: &[Proxy], state: &'static str, boot_ms: u64) {
        self.bus.publish(Target {
            uid: uid.to_string(),
            destination: destination as u16 + 1,
            endpoints: proxies.iter().map(|proxy| proxy.addr).collect(),
            state,
            boot_ms,
        });
    }

    /// Starts the callers of each controller, and a thread that checks the controller's limits.
    fn start_callers(&self) -> Vec<JoinHandle<()>> {
        let mut threads = Vec::new();
        for controller in &self.controllers {
            let group = CallerGroup::new(controller, &self.recorder, &self.stopped);
            let usual =
                self.plan.behaviors.iter().map(|behavior| (*behavior, self.plan.mean_set_up_interval));
            let crowd = repeat_n((CallerBehavior::Plain, CROWD_SET_UP_INTERVAL), self.plan.crowd);
            for (position, (behavior, mean_interval)) in usual.chain(crowd).enumerate() {
                let seed = self.plan.seed << 16 ^ (controller.index * 64 + position) as u64;
                threads.push(group.spawn(CallerPlan {
                    behavior,
                    mean_interval,
                    destination_count: DESTINATIONS as u16,
                    longest_deadline: self.plan.longest_deadline,
                    seed,
                }));
            }
            if self.plan.bad_callers {
                let (controller, recorder, stopped) =
                    (controller.clone(), self.recorder.clone(), Arc::clone(&self.stopped));
                let seed = self.plan.seed ^ 0xbad;
                threads.push(thread::spawn(move || bad_callers::run(&controller, &recorder, &stopped, seed)));
            }
            if let Some(slices) = self.plan.time_slices {
                let (controller, stopped) = (controller.clone(), Arc::clone(&self.stopped));
                threads.push(thread::spawn(move || controller.run_in_slices(slices, &stopped)));
            }
            let (controller, stopped) = (controller.clone(), Arc::clone(&self.stopped));
            threads.push(thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    controller.check_limits();
                    thread::sleep(LIMIT_CHECK_INTERVAL);
                }
            }));
        }
        threads
    }

    /// Waits until the given time, or until the run is stopped.
    fn wait_until(&self, until: Instant) {
        while Instant::now() < until && !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
    }

    fn wait_for(&self, duration: Duration) {
        self.wait_until(Instant::now() + duration);
    }

    fn apply_fault(&self, fault: Fault) {
        match fault {
            Fault::Restart { controller, signals } => {
                self.restart(&self.controllers[controller], |controller| controller.shut_down(signals))
            }
            Fault::Pauses { controller, count, pause } => self.controllers[controller].pause(count, pause),
            Fault::Kill { controller } => self.restart(&self.controllers[controller], |controller| {
                // An exchange repeats its releases on the first connection from a restarted controller. They are lost
                // for good if the controller is killed before a caller has announced its calls.
                thread::sleep(ANNOUNCE_TIME);
                controller.kill();
            }),
            Fault::Reconfigure { controller } => self.reconfigure(controller),
            Fault::MachineLost { destination, listed_after } => self.lose_machine(destination, listed_after),
            Fault::MachineReturns { destination, lost_for, listed_after } => {
                self.lose_and_return(destination, lost_for, listed_after)
            }
            Fault::ProcessCrash { destination, listed_after } => {
                self.crash_process(destination, listed_after)
            }
            Fault::Hang { destination, duration } => self.hang(destination, duration),
            Fault::Replace { destination, same_address } => {
                self.replace(destination, same_address, DRAIN_GRACE + Duration::from_millis(500))
            }
            Fault::LongDrain { destination, duration } => self.replace(destination, false, duration),
            Fault::Partition { destination, only_controller, duration } => {
                self.partition(destination, only_controller, duration)
            }
            Fault::ResetLinks { destination, controller } => {
                lock(&self.destinations[destination]).proxies[controller].reset_links()
            }
            Fault::ResetOldestLink { destination, controller } => {
                lock(&self.destinations[destination]).proxies[controller].reset_oldest_link();
            }
            Fault::Bus { fault, duration } => {
                self.bus.begin_fault(fault);
                self.wait_for(duration);
                self.bus.end_fault(fault);
            }
        }
    }

    fn restart(&self, controller: &ControllerProcess, stop: impl FnOnce(&ControllerProcess)) {
        let _guard = controller.lock_restart();
        stop(controller);
        self.wait_for(RESTART_DELAY);
        if !self.stopped.load(Ordering::Relaxed) {
            let result = controller.start(&self.bus.initial_events(controller.index));
            if let Err(error) = result {
                let what = format!("can't be started: {error}");
                self.recorder.add(Event::OverLimit { controller: controller.index, what });
            }
        }
    }

    fn reconfigure(&self, controller: usize) {
        let addresses = &self.bus_addresses[controller];
        let new_address = addresses[(now() as usize / 7) % addresses.len()];
        self.bus.set_address(controller, new_address);
        let controller = &self.controllers[controller];
        // If the new configuration can't be written, the former one stays in force.
        let _ = controller.reconfigure(&self.bus.initial_events(controller.index), new_address);
    }

    /// Kills the exchange of a destination and returns its generation, or `None` if another fault has ended it already.
    fn end_exchange(&self, destination: usize, network: NetworkState) -> Option<u32> {
        let mut destination = lock(&self.destinations[destination]);
        if std::mem::replace(&mut destination.ended, true) {
            return None;
        }
        destination.proxies.iter().for_each(|proxy| proxy.set_network_state(network));
        // Gives the proxies time to finish what they are forwarding before the process is killed.
        thread::sleep(2 * POLL_INTERVAL);
        let uid = destination.exchange.uid.clone();
        self.recorder.add(Event::ExchangeEnded { uid });
        destination.exchange.signal(Signal::SIGKILL);
        let _ = destination.exchange.child.wait();
        if network == NetworkState::Refusing {
            destination.proxies.iter().for_each(Proxy::reset_links);
        }
        Some(destination.generation)
    }

    fn lose_machine(&self, destination: usize, listed_after: Duration) {
        let Some(generation) = self.end_exchange(destination, NetworkState::Partitioned) else { return };
        self.wait_for(listed_after);
        self.replace_ended(destination, generation, false);
    }

    fn lose_and_return(&self, destination: usize, lost_for: Duration, listed_after: Duration) {
        let Some(generation) = self.end_exchange(destination, NetworkState::Partitioned) else { return };
        self.wait_for(lost_for);
        let boot_ms = now() / 1000;
        if !self.return_empty(destination, generation) {
            return;
        }
        self.wait_for(listed_after.saturating_sub(lost_for));
        let current = lock(&self.destinations[destination]);
        if current.generation == generation + 1 && !current.ended && !self.stopped.load(Ordering::Relaxed) {
            self.publish(destination, &current.exchange.uid, &current.proxies, "in_service", boot_ms);
        }
    }

    /// Starts a process without calls in place of an exchange whose machine was lost. It has the same uid and addresses,
    /// and is not listed. Returns whether it was started.
    fn return_empty(&self, destination: usize, generation: u32) -> bool {
        let mut current = lock(&self.destinations[destination]);
        if current.generation != generation || self.stopped.load(Ordering::Relaxed) {
            return false;
        }
        let uid = current.exchange.uid.clone();
        let Ok(returned) = self.start_exchange(destination, generation + 1, uid) else { return false };
        for (proxy, upstream) in current.proxies.iter().zip(&returned.listen) {
            proxy.forget_links();
            proxy.set_upstream(*upstream, &returned.uid);
            proxy.set_network_state(NetworkState::Up);
        }
        let proxies = current.proxies.clone();
        *current = Destination { exchange: returned, proxies, generation: generation + 1, ended: false };
        true
    }

    fn crash_process(&self, destination: usize, listed_after: Duration) {
        let Some(generation) = self.end_exchange(destination, NetworkState::Refusing) else { return };
        self.wait_for(listed_after);
        self.replace_ended(destination, generation, true);
    }

    /// Lists an exchange that has ended as terminated, and starts and lists a replacement.
    fn replace_ended(&self, destination: usize, generation: u32, same_address: bool) {
        let mut current = lock(&self.destinations[destination]);
        if current.generation != generation || self.stopped.load(Ordering::Relaxed) {
            return;
        }
        self.publish(destination, &current.exchange.uid, &current.proxies, "terminated", 0);
        let uid = exchange_uid(destination, generation + 1);
        let Ok(replacement) = self.start_exchange(destination, generation + 1, uid) else { return };
        let proxies = if same_address {
            for (proxy, upstream) in current.proxies.iter().zip(&replacement.listen) {
                proxy.set_upstream(*upstream, &replacement.uid);
                proxy.set_network_state(NetworkState::Up);
            }
            current.proxies.clone()
        } else {
            self.start_proxies(&replacement, destination)
        };
        let boot_ms = now() / 1000;
        self.publish(destination, &replacement.uid, &proxies, "in_service", boot_ms);
        *current = Destination { exchange: replacement, proxies, generation: generation + 1, ended: false };
    }

    fn replace(&self, destination: usize, same_address: bool, drain: Duration) {
        let generation = {
            let current = lock(&self.destinations[destination]);
            self.publish(destination, &current.exchange.uid, &current.proxies, "terminating", 0);
            current.generation
        };
        self.wait_for(drain);
        if lock(&self.destinations[destination]).generation == generation {
            self.end_exchange(destination, NetworkState::Refusing);
            self.replace_ended(destination, generation, same_address);
        }
    }

    fn hang(&self, destination: usize, duration: Duration) {
        let (uid, generation) = {
            let current = lock(&self.destinations[destination]);
            current.exchange.signal(Signal::SIGSTOP);
            (current.exchange.uid.clone(), current.generation)
        };
        self.recorder.add(Event::ExchangeHung { uid: uid.clone() });
        self.wait_for(duration);
        let current = lock(&self.destinations[destination]);
        if current.generation == generation {
            current.exchange.signal(Signal::SIGCONT);
            self.recorder.add(Event::ExchangeResumed { uid });
        }
    }

    fn partition(&self, destination: usize, only_controller: Option<usize>, duration: Duration) {
        let (uid, proxies) = {
            let current = lock(&self.destinations[destination]);
            if current.ended {
                return;
            }
            (current.exchange.uid.clone(), current.proxies.clone())
        };
        let partitioned: Vec<_> = match only_controller {
            Some(controller) => vec![proxies[controller].clone()],
            None => proxies,
        };
        self.recorder.add(Event::NetworkCut { uid: uid.clone() });
        partitioned.iter().for_each(|proxy| proxy.set_network_state(NetworkState::Partitioned));
        self.wait_for(duration);
        let current = lock(&self.destinations[destination]);
        if current.exchange.uid == uid && !current.ended {
            partitioned.iter().for_each(|proxy| proxy.set_network_state(NetworkState::Up));
            self.recorder.add(Event::NetworkHealed { uid });
        }
    }

    fn stop(&self) {
        self.controllers.iter().for_each(ControllerProcess::kill);
        self.bus.stop();
        lock(&self.all_proxies).iter().for_each(Proxy::stop);
    }
}

impl Drop for SoakRun {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.stop();
    }
}

/// The uid of the exchange that replaces the `generation`-th of a destination.
fn exchange_uid(destination: usize, generation: u32) -> String {
    format!("s-{destination}-{generation}")
}

/// Writes all records of a run, one JSON object per line.
pub fn save_records(records: &[Record], path: &Path) -> Result<(), RunError> {
    let mut text = String::new();
    for record in records {
        let line = serde_json::to_string(record)
            .map_err(|error| RunError::Json { action: "can't encode a record", error })?;
        text.push_str(&line);
        text.push('\n');
    }
    std::fs::write(path, text).map_err(io_error("can't write the records"))
}
