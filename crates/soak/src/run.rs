//! Carries a plan out: starts everything, applies the faults in time, stops, and has the records judged.

use std::io::{self, BufRead, BufReader};
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
use crate::callers::{CallerGroup, CallerPlan};
use crate::controller::{ControllerProcess, DRAIN_GRACE, Files};
use crate::event_bus::{EventBus, Target};
use crate::exchange::ExchangeConfig;
use crate::plan::{CONTROLLERS, Fault, OFFICES, Plan};
use crate::proxy::{NetworkState, Proxy};
use crate::record::{Event, Record, Recorder, now};
use crate::rule_checker::{Verdict, check_rules};
use crate::sync::lock;

/// Addresses of the bus that each controller's configuration may name.
const BUS_ADDRESSES: usize = 3;
const CIRCUITS: u32 = 150;
/// A controller that was killed starts again after this.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Callers have named the calls that stand to a new start after this.
const NAMED_WITHIN: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(10);
/// How often limits are looked at.
const LIMITS_EVERY: Duration = Duration::from_millis(500);

#[derive(Debug, Error)]
pub enum RunError {
    #[error("{what}: {error}")]
    Io { what: &'static str, error: io::Error },
    #[error("{what}: {error}")]
    Json { what: &'static str, error: serde_json::Error },
}

fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> RunError {
    move |error| RunError::Io { what, error }
}

/// The programs of a run and where it leaves its logs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The controller: `mintstall`.
    pub controller: PathBuf,
    /// The program with the sub-command `exchange`.
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
        // Mostly it has been killed before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Exchange {
    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

/// What serves an office at present.
#[derive(Debug)]
struct Office {
    exchange: Exchange,
    proxies: Vec<Proxy>,
    /// How often it has been replaced; also whether a later step of an action is still about the same exchange.
    generation: u32,
    ended: bool,
}

struct World {
    plan: Plan,
    programs: Programs,
    recorder: Recorder,
    bus: EventBus,
    bus_addresses: Vec<Vec<SocketAddr>>,
    controllers: Vec<ControllerProcess>,
    offices: Vec<Mutex<Office>>,
    all_proxies: Mutex<Vec<Proxy>>,
    over: Arc<AtomicBool>,
}

/// Plays one plan and judges it.
pub fn run(plan: &Plan, programs: &Programs) -> Result<(Verdict, Vec<Record>), RunError> {
    std::fs::create_dir_all(&programs.directory).map_err(io_error("directory"))?;
    let world = Arc::new(World::start(plan, programs)?);
    let groups = world.start_callers();
    let began = Instant::now();
    let mut steps = Vec::new();
    for (at, action) in plan.faults.clone() {
        world.wait(began + at);
        let world = Arc::clone(&world);
        steps.push(thread::spawn(move || world.carry_out(action)));
    }
    world.wait(began + plan.duration);
    let end = now();
    world.over.store(true, Ordering::Relaxed);
    join(groups);
    join(steps);
    world.stop();
    let records = world.recorder.sorted();
    Ok((check_rules(&records, end), records))
}

fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        // A thread that panicked has said so.
        let _ = thread.join();
    }
}

impl World {
    fn start(plan: &Plan, programs: &Programs) -> Result<Self, RunError> {
        let recorder = Recorder::default();
        let bus_addresses: Vec<Vec<_>> =
            (0..CONTROLLERS).map(|_| (0..BUS_ADDRESSES).map(|_| allocate()).collect()).collect();
        let bus = EventBus::start(&bus_addresses, &recorder);
        let files = Files { binary: programs.controller.clone(), directory: programs.directory.clone() };
        let controllers = (0..CONTROLLERS)
            .map(|no| {
                ControllerProcess::new(
                    no,
                    allocate(),
                    bus_addresses[no][0],
                    &files,
                    plan.seed + no as u64,
                    plan.probes_enabled,
                    &recorder,
                )
            })
            .collect();
        let mut world = Self {
            plan: plan.clone(),
            programs: programs.clone(),
            recorder,
            bus,
            bus_addresses,
            controllers,
            offices: Vec::new(),
            all_proxies: Mutex::default(),
            over: Arc::default(),
        };
        for office in 0..OFFICES {
            let exchange = world.start_exchange(office, 0)?;
            let proxies = world.start_proxies(&exchange, office);
            world.publish(office, &exchange.uid, &proxies, "in_service", 0);
            world.offices.push(Mutex::new(Office { exchange, proxies, generation: 0, ended: false }));
        }
        for controller in &world.controllers {
            let known = world.bus.initial_events(controller.index);
            controller.start(&known).map_err(io_error("controller"))?;
        }
        Ok(world)
    }

    fn start_exchange(&self, office: usize, generation: u32) -> Result<Exchange, RunError> {
        let listen: Vec<_> = (0..CONTROLLERS).map(|_| allocate()).collect();
        let config = ExchangeConfig {
            uid: format!("s-{office}-{generation}"),
            listen: listen.clone(),
            seed: self.plan.seed ^ (office as u64) << 8 ^ u64::from(generation) << 16,
            circuits: CIRCUITS,
            answer_ms: (2, 60),
            hold_ms: (500, 7000),
            faults: self.plan.answer_faults,
        };
        let text =
            serde_json::to_string(&config).map_err(|error| RunError::Json { what: "exchange", error })?;
        let mut child = Command::new(&self.programs.soak)
            .args(["exchange", &text])
            .stdout(Stdio::piped())
            .spawn()
            .map_err(io_error("exchange"))?;
        let mut lines = child.stdout.take().map(BufReader::new).into_iter().flat_map(BufRead::lines);
        // The first line says that it listens.
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

    fn start_proxies(&self, exchange: &Exchange, office: usize) -> Vec<Proxy> {
        let start = |controller: usize| {
            let seed = self.plan.seed ^ (office * CONTROLLERS + controller) as u64;
            let upstream = exchange.listen[controller];
            let proxy = Proxy::start(controller, allocate(), upstream, &exchange.uid, seed, &self.recorder);
            proxy.set_faults(self.plan.connection_faults);
            proxy
        };
        let proxies: Vec<_> = (0..CONTROLLERS).map(start).collect();
        lock(&self.all_proxies).extend(proxies.iter().cloned());
        proxies
    }

    fn publish(&self, office: usize, uid: &str, proxies: &[Proxy], state: &'static str, boot_ms: u64) {
        self.bus.publish(Target {
            uid: uid.to_string(),
            office: office as u16 + 1,
            endpoints: proxies.iter().map(|proxy| proxy.addr).collect(),
            state,
            boot_ms,
        });
    }

    fn start_callers(&self) -> Vec<JoinHandle<()>> {
        let mut threads = Vec::new();
        for controller in &self.controllers {
            let group = CallerGroup::new(controller, &self.recorder, &self.over);
            for (at, behavior) in self.plan.behaviors.iter().copied().enumerate() {
                let seed = self.plan.seed << 16 ^ (controller.index * 64 + at) as u64;
                let plan = CallerPlan {
                    behavior,
                    mean_interval: self.plan.mean_set_up_interval,
                    office_count: OFFICES as u16,
                    seed,
                };
                threads.push(group.spawn(plan));
            }
            if self.plan.bad_callers {
                let (controller, recorder, over) =
                    (controller.clone(), self.recorder.clone(), Arc::clone(&self.over));
                let seed = self.plan.seed ^ 0xbad;
                threads.push(thread::spawn(move || bad_callers::run(&controller, &recorder, &over, seed)));
            }
            let (controller, over) = (controller.clone(), Arc::clone(&self.over));
            threads.push(thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    controller.check_limits();
                    thread::sleep(LIMITS_EVERY);
                }
            }));
        }
        threads
    }

    fn wait(&self, until: Instant) {
        while Instant::now() < until && !self.over.load(Ordering::Relaxed) {
            thread::sleep(TICK.min(until.saturating_duration_since(Instant::now())));
        }
    }

    fn pass(&self, span: Duration) {
        self.wait(Instant::now() + span);
    }

    fn carry_out(&self, action: Fault) {
        match action {
            Fault::Restart { controller } => {
                self.restart(&self.controllers[controller], ControllerProcess::shut_down)
            }
            Fault::Kill { controller } => self.restart(&self.controllers[controller], |controller| {
                // What an exchange repeats on the first connection of a start is lost for good where that start is
                // killed before a caller has named its calls.
                thread::sleep(NAMED_WITHIN);
                controller.kill();
            }),
            Fault::Reconfigure { controller } => self.reconfigure(controller),
            Fault::MachineLost { office, listed_after } => self.vanish(office, listed_after),
            Fault::ProcessCrash { office, listed_after } => self.die(office, listed_after),
            Fault::Hang { office, duration } => self.hang(office, duration),
            Fault::Replace { office, same_address } => self.replace(office, same_address),
            Fault::Partition { office, only, duration } => self.cut(office, only, duration),
            Fault::ResetLinks { office, controller } => {
                lock(&self.offices[office]).proxies[controller].reset_links()
            }
            Fault::ResetOldestLink { office, controller } => {
                lock(&self.offices[office]).proxies[controller].reset_oldest_link();
            }
            Fault::Bus { fault, duration } => {
                self.bus.begin_fault(fault);
                self.pass(duration);
                self.bus.end_fault(fault);
            }
        }
    }

    fn restart(&self, controller: &ControllerProcess, end: fn(&ControllerProcess)) {
        let _restart = controller.lock_restart();
        end(controller);
        self.pass(RESTART_AFTER);
        if !self.over.load(Ordering::Relaxed) {
            let started = controller.start(&self.bus.initial_events(controller.index));
            if let Err(error) = started {
                let what = format!("can't be started: {error}");
                self.recorder.add(Event::OverLimit { controller: controller.index, what });
            }
        }
    }

    fn reconfigure(&self, controller: usize) {
        let addresses = &self.bus_addresses[controller];
        let next = addresses[(now() as usize / 7) % addresses.len()];
        self.bus.set_address(controller, next);
        let controller = &self.controllers[controller];
        // One that can't be written leaves the former in place.
        let _ = controller.reconfigure(&self.bus.initial_events(controller.index), next);
    }

    /// Ends an exchange, unless another fault has; what follows is about that one while the generation is the same.
    fn end_exchange(&self, office: usize, network: NetworkState) -> Option<u32> {
        let mut office = lock(&self.offices[office]);
        if std::mem::replace(&mut office.ended, true) {
            return None;
        }
        office.proxies.iter().for_each(|proxy| proxy.set_network_state(network));
        // What passes has come to its end before the process does.
        thread::sleep(2 * TICK);
        let uid = office.exchange.uid.clone();
        self.recorder.add(Event::ExchangeEnded { uid });
        office.exchange.signal(Signal::SIGKILL);
        let _ = office.exchange.child.wait();
        if network == NetworkState::Refusing {
            office.proxies.iter().for_each(Proxy::reset_links);
        }
        Some(office.generation)
    }

    fn vanish(&self, office: usize, listed_after: Duration) {
        let Some(generation) = self.end_exchange(office, NetworkState::Partitioned) else { return };
        self.pass(listed_after);
        self.replace_ended(office, generation, false);
    }

    fn die(&self, office: usize, listed_after: Duration) {
        let Some(generation) = self.end_exchange(office, NetworkState::Refusing) else { return };
        self.pass(listed_after);
        self.replace_ended(office, generation, true);
    }

    /// Lists an exchange that has ended as gone, and one in its place.
    fn replace_ended(&self, office: usize, generation: u32, same_address: bool) {
        let mut present = lock(&self.offices[office]);
        if present.generation != generation || self.over.load(Ordering::Relaxed) {
            return;
        }
        self.publish(office, &present.exchange.uid, &present.proxies, "terminated", 0);
        let Ok(next) = self.start_exchange(office, generation + 1) else { return };
        let proxies = if same_address {
            for (proxy, upstream) in present.proxies.iter().zip(&next.listen) {
                proxy.set_upstream(*upstream, &next.uid);
                proxy.set_network_state(NetworkState::Up);
            }
            present.proxies.clone()
        } else {
            self.start_proxies(&next, office)
        };
        let boot_ms = now() / 1000;
        self.publish(office, &next.uid, &proxies, "in_service", boot_ms);
        *present = Office { exchange: next, proxies, generation: generation + 1, ended: false };
    }

    fn replace(&self, office: usize, same_address: bool) {
        let generation = {
            let present = lock(&self.offices[office]);
            self.publish(office, &present.exchange.uid, &present.proxies, "terminating", 0);
            present.generation
        };
        self.pass(DRAIN_GRACE + Duration::from_millis(500));
        if lock(&self.offices[office]).generation == generation {
            self.end_exchange(office, NetworkState::Refusing);
            self.replace_ended(office, generation, same_address);
        }
    }

    fn hang(&self, office: usize, duration: Duration) {
        let (uid, generation) = {
            let present = lock(&self.offices[office]);
            present.exchange.signal(Signal::SIGSTOP);
            (present.exchange.uid.clone(), present.generation)
        };
        self.recorder.add(Event::ExchangeHung { uid: uid.clone() });
        self.pass(duration);
        let present = lock(&self.offices[office]);
        if present.generation == generation {
            present.exchange.signal(Signal::SIGCONT);
            self.recorder.add(Event::ExchangeResumed { uid });
        }
    }

    fn cut(&self, office: usize, only: Option<usize>, duration: Duration) {
        let (uid, proxies) = {
            let present = lock(&self.offices[office]);
            if present.ended {
                return;
            }
            (present.exchange.uid.clone(), present.proxies.clone())
        };
        let cut: Vec<_> = match only {
            Some(controller) => vec![proxies[controller].clone()],
            None => proxies,
        };
        self.recorder.add(Event::NetworkCut { uid: uid.clone() });
        cut.iter().for_each(|proxy| proxy.set_network_state(NetworkState::Partitioned));
        self.pass(duration);
        let present = lock(&self.offices[office]);
        if present.exchange.uid == uid && !present.ended {
            cut.iter().for_each(|proxy| proxy.set_network_state(NetworkState::Up));
            self.recorder.add(Event::NetworkHealed { uid });
        }
    }

    fn stop(&self) {
        self.controllers.iter().for_each(ControllerProcess::kill);
        self.bus.stop();
        lock(&self.all_proxies).iter().for_each(Proxy::stop);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.stop();
    }
}

/// Writes all records of a run, one JSON object a line.
pub fn save_records(records: &[Record], path: &Path) -> Result<(), RunError> {
    let mut text = String::new();
    for record in records {
        let line = serde_json::to_string(record).map_err(|error| RunError::Json { what: "record", error })?;
        text.push_str(&line);
        text.push('\n');
    }
    std::fs::write(path, text).map_err(io_error("records"))
}
