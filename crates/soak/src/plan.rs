//! The plan of a run: faults and settings drawn from a seed, so that a run that breaks a rule can be repeated.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::CallerBehavior;
use crate::controller::TimeSlices;
use crate::exchange::{AnswerBursts, AnswerFaults};
use crate::proxy::ConnectionFaults;
use crate::record::{BusFault, ControllerIndex};

/// Number of controllers in a run.
pub const CONTROLLERS: usize = 3;
/// Number of destinations that callers dial. Each is served by one exchange at a time.
pub const DESTINATIONS: usize = 3;
/// Faults begin only when there are standing calls.
const FIRST_FAULT_MS: u64 = 3000;
const LAST_FAULT_MS: u64 = 11_000;
/// Time from the last fault to the end of the run, so that the time limit for call ends without a release expires within
/// the run.
const SETTLE_TIME: Duration = Duration::from_millis(11_500);

/// The longest time that a call waits for its answer, and that of runs with long deadlines: longer than the longest that
/// counts for the time of the kill.
const LONGEST_DEADLINE: Duration = Duration::from_millis(2500);
const LONG_DEADLINE: Duration = Duration::from_secs(6);
/// With the other callers, less than a third of a controller's descriptors.
const MAX_CROWD: usize = 60;
const LATE_DRAW_SEED: u64 = 0x1a7e;

/// The signals of a planned restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownSignals {
    Single,
    /// SIGHUP before it, and SIGTERM and SIGHUP again after it. The process is also stopped for a while shortly before the
    /// end of its shutdown.
    Series,
}

/// The index of a destination. A fault of an exchange hits the one that serves the destination at that time.
pub type DestinationIndex = usize;

/// A fault or a planned change that a run applies.
#[derive(Clone, Debug)]
pub enum Fault {
    /// SIGTERM, SIGKILL at the earliest time allowed, and a new start 300 ms later.
    Restart {
        controller: ControllerIndex,
        signals: ShutdownSignals,
    },
    /// The process is stopped for a while, several times in a row.
    Pauses {
        controller: ControllerIndex,
        count: u32,
        pause: Duration,
    },
    /// SIGKILL without warning, and a new start.
    Kill {
        controller: ControllerIndex,
    },
    /// A new configuration with another address of the event bus.
    Reconfigure {
        controller: ControllerIndex,
    },
    /// The machine is lost and its connections stay silent. The event bus lists a replacement after `listed_after`.
    MachineLost {
        destination: DestinationIndex,
        listed_after: Duration,
    },
    /// The machine is lost and returns at its address with an empty process. Of its former connections half are reset
    /// then, and half stay silent until something is sent on them. The event bus lists the new start `listed_after` the
    /// loss.
    MachineReturns {
        destination: DestinationIndex,
        lost_for: Duration,
        listed_after: Duration,
    },
    /// The process is killed and its connections are reset. The event bus lists a replacement after `listed_after`.
    ProcessCrash {
        destination: DestinationIndex,
        listed_after: Duration,
    },
    /// The process is stopped for a while; its connections stay open.
    Hang {
        destination: DestinationIndex,
        duration: Duration,
    },
    /// The exchange is listed as terminating, killed after the drain grace, and replaced by a new one at the same
    /// address or another.
    Replace {
        destination: DestinationIndex,
        same_address: bool,
    },
    /// As [`Fault::Replace`] at another address, with this time from the drain to the end.
    LongDrain {
        destination: DestinationIndex,
        duration: Duration,
    },
    /// The network between an exchange and all controllers, or only one, is partitioned.
    Partition {
        destination: DestinationIndex,
        only_controller: Option<ControllerIndex>,
        duration: Duration,
    },
    ResetLinks {
        destination: DestinationIndex,
        controller: ControllerIndex,
    },
    ResetOldestLink {
        destination: DestinationIndex,
        controller: ControllerIndex,
    },
    Bus {
        fault: BusFault,
        duration: Duration,
    },
}

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// Faults with their times from the start of the run, in order of time.
    pub faults: Vec<(Duration, Fault)>,
    pub duration: Duration,
    /// The behavior of each caller of a controller.
    pub behaviors: Vec<CallerBehavior>,
    /// Mean time between two set-ups of one caller.
    pub mean_set_up_interval: Duration,
    pub bad_callers: bool,
    /// Whether the controllers' settings allow them to probe exchanges.
    pub probes_enabled: bool,
    /// Circuits of the group between an exchange and each controller.
    pub circuits: u32,
    /// Minimum and maximum time from the answer to the end of a call.
    pub hold_ms: (u64, u64),
    pub answer_faults: AnswerFaults,
    pub answer_bursts: Option<AnswerBursts>,
    /// How the controllers are scheduled, if they have less than a core.
    pub time_slices: Option<TimeSlices>,
    pub connection_faults: ConnectionFaults,
    /// The longest time that a call waits for its answer.
    pub longest_deadline: Duration,
    /// Callers of each controller beside those of `behaviors`.
    pub crowd: usize,
}

/// The main kind of faults of a run. A seed selects one; some faults of other kinds are drawn in addition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Theme {
    Shutdowns,
    EventBus,
    BadPeers,
    Network,
    Fragments,
    /// A high call rate and most kinds of faults.
    HighLoad,
    /// Answers near the maximum length of a message that come together, to controllers that have less than a core.
    AnswerBursts,
    /// Machines that are lost and return before the event bus tells of it, and an event bus that is slow meanwhile.
    MachinesReturn,
}

const THEMES: [Theme; 8] = [
    Theme::Shutdowns,
    Theme::EventBus,
    Theme::BadPeers,
    Theme::Network,
    Theme::Fragments,
    Theme::HighLoad,
    Theme::AnswerBursts,
    Theme::MachinesReturn,
];

const CIRCUITS: u32 = 50;
const HOLD_MS: (u64, u64) = (500, 7000);
/// With answer bursts, an exchange must take all set-ups of the callers while it answers none.
const BURST_CIRCUITS: u32 = 300;
const BURST_HOLD_MS: (u64, u64) = (100, 1500);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct FaultDraw {
    rng: Pcg64Mcg,
    faults: Vec<(Duration, Fault)>,
}

impl FaultDraw {
    fn fault_time(&mut self) -> Duration {
        millis(self.rng.random_range(FIRST_FAULT_MS..LAST_FAULT_MS))
    }

    fn draw_millis(&mut self, from: u64, to: u64) -> Duration {
        millis(self.rng.random_range(from..=to))
    }

    fn destination(&mut self) -> DestinationIndex {
        self.rng.random_range(0..DESTINATIONS)
    }

    fn controller(&mut self) -> ControllerIndex {
        self.rng.random_range(0..CONTROLLERS)
    }

    fn add(&mut self, at: Duration, fault: Fault) {
        self.faults.push((at, fault));
    }

    /// Restarts all controllers, one after another.
    fn add_restarts(&mut self) {
        let mut at = self.draw_millis(FIRST_FAULT_MS, 5000);
        for controller in 0..CONTROLLERS {
            self.add(at, Fault::Restart { controller, signals: ShutdownSignals::Single });
            at += self.draw_millis(300, 2500);
        }
    }

    /// Adds a fault of one exchange: machine lost, process crash, hang or replacement.
    fn add_exchange_fault(&mut self, at: Duration) {
        let destination = self.destination();
        let fault = match self.rng.random_range(0..4) {
            0 => Fault::MachineLost { destination, listed_after: self.draw_millis(5900, 12_000) },
            1 => Fault::ProcessCrash { destination, listed_after: self.draw_millis(1500, 5000) },
            2 => Fault::Hang { destination, duration: self.draw_millis(800, 6000) },
            _ => Fault::Replace { destination, same_address: self.rng.random_bool(0.5) },
        };
        self.add(at, fault);
    }

    /// Adds a fault of the event bus and the replacement of an exchange shortly before the fault ends. In half of the
    /// cases a machine is lost when the fault begins, and listed 300 ms after it ends.
    fn add_bus_fault(&mut self) {
        let at = self.fault_time();
        let fault = *[BusFault::Break, BusFault::Silent, BusFault::Down]
            .choose(&mut self.rng)
            .unwrap_or(&BusFault::Down);
        let duration = self.draw_millis(1000, 8000);
        self.add(at, Fault::Bus { fault, duration });
        let destination = self.destination();
        let near_end = at + duration - millis(self.rng.random_range(0..800).min(duration.as_millis() as u64));
        let same_address = self.rng.random_bool(0.5);
        self.add(near_end, Fault::Replace { destination, same_address });
        if self.rng.random_bool(0.5) {
            let destination = self.destination();
            self.add(at, Fault::MachineLost { destination, listed_after: duration + millis(300) });
        }
    }

    /// Adds several new configurations for one controller in quick succession.
    fn add_reconfigurations(&mut self) {
        let controller = self.controller();
        let mut at = self.fault_time();
        for _ in 0..self.rng.random_range(2..5) {
            self.add(at, Fault::Reconfigure { controller });
            at += self.draw_millis(5, 900);
        }
    }

    fn answer_bursts(&mut self) -> AnswerBursts {
        AnswerBursts {
            interval: self.draw_millis(2500, 4000),
            pause: self.draw_millis(300, 1000),
            padding_octets: self.rng.random_range(11_000..15_500),
        }
    }

    /// About a third of a core.
    fn time_slices(&mut self) -> TimeSlices {
        TimeSlices { run: self.draw_millis(20, 40), pause: self.draw_millis(40, 80) }
    }

    /// Adds the loss and the return of two machines, and a slow event bus that tells of the third exchange's replacement.
    fn add_returning_machines(&mut self) {
        let first = self.destination();
        for destination in [first, (first + 1) % DESTINATIONS] {
            let (at, lost_for) = (self.fault_time(), self.draw_millis(300, 6500));
            let listed_after = lost_for + self.draw_millis(5000, 12_000);
            self.add(at, Fault::MachineReturns { destination, lost_for, listed_after });
        }
        let at = self.fault_time();
        self.add(at, Fault::Bus { fault: BusFault::Slow, duration: millis(8000) });
        let drains_at = at + self.draw_millis(300, 2000);
        let destination = (first + 2) % DESTINATIONS;
        let duration = self.draw_millis(6500, 9000);
        self.add(drains_at, Fault::LongDrain { destination, duration });
    }

    fn add_network_fault(&mut self) {
        let (at, destination, controller) = (self.fault_time(), self.destination(), self.controller());
        let fault = match self.rng.random_range(0..4) {
            0 => {
                Fault::Partition { destination, only_controller: None, duration: self.draw_millis(500, 6000) }
            }
            1 => Fault::Partition {
                destination,
                only_controller: Some(controller),
                duration: self.draw_millis(500, 9000),
            },
            2 => Fault::ResetLinks { destination, controller },
            _ => Fault::ResetOldestLink { destination, controller },
        };
        self.add(at, fault);
    }
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64) -> Self {
        let theme = THEMES[(seed % THEMES.len() as u64) as usize];
        let mut draw = FaultDraw { rng: Pcg64Mcg::seed_from_u64(seed), faults: Vec::new() };
        let is_high_load = theme == Theme::HighLoad;
        if theme == Theme::Shutdowns || theme == Theme::Fragments || is_high_load {
            draw.add_restarts();
        }
        if theme == Theme::Shutdowns || theme == Theme::Network {
            for _ in 0..2 {
                let at = draw.fault_time();
                draw.add_exchange_fault(at);
            }
        }
        // A slow bus that also goes down can't tell a drain in time, and when it counts as told is not defined.
        let may_have_bus_fault = theme != Theme::MachinesReturn;
        if theme == Theme::EventBus || is_high_load || may_have_bus_fault && draw.rng.random_bool(0.2) {
            draw.add_bus_fault();
        }
        if theme == Theme::EventBus || draw.rng.random_bool(0.2) {
            draw.add_reconfigurations();
        }
        if theme == Theme::Network || is_high_load {
            (0..4).for_each(|_| draw.add_network_fault());
        }
        if theme == Theme::MachinesReturn {
            draw.add_returning_machines();
        } else if draw.rng.random_bool(0.3) {
            let (at, controller) = (draw.fault_time(), draw.controller());
            draw.add(at, Fault::Kill { controller });
        }
        let fault_share =
            if theme == Theme::BadPeers || theme == Theme::Fragments || is_high_load { 0.01 } else { 0.0 };
        let answer_faults = AnswerFaults {
            noise: fault_share,
            broken_off: fault_share,
            missing: 2.0 * fault_share,
            doubled: 3.0 * fault_share,
            stray: 3.0 * fault_share,
            reset: if theme == Theme::Network || is_high_load { 0.01 } else { fault_share },
            error: fault_share,
        };
        let connection_faults = ConnectionFaults {
            closed_early: if theme == Theme::Network || is_high_load { 0.1 } else { 0.0 },
            in_pieces: if theme == Theme::Fragments || is_high_load { 0.5 } else { 0.1 },
        };
        let behaviors = match theme {
            Theme::Fragments => {
                vec![
                    CallerBehavior::WritesSlowly,
                    CallerBehavior::WritesSlowly,
                    CallerBehavior::Plain,
                    CallerBehavior::GivesUpEarly,
                ]
            }
            Theme::AnswerBursts => vec![CallerBehavior::Plain; 2],
            _ => vec![
                CallerBehavior::Plain,
                CallerBehavior::WritesSlowly,
                CallerBehavior::GivesUpEarly,
                CallerBehavior::RedialsAtOnce,
            ],
        };
        let mean_set_up_interval = match theme {
            Theme::HighLoad => millis(15),
            Theme::AnswerBursts => millis(8),
            _ => millis(110),
        };
        let answer_bursts = (theme == Theme::AnswerBursts).then(|| draw.answer_bursts());
        let time_slices = (theme == Theme::AnswerBursts).then(|| draw.time_slices());
        let late = LateDraw::new(seed, theme, &mut draw.faults);
        draw.faults.sort_by_key(|(at, _)| *at);
        Self {
            longest_deadline: late.longest_deadline,
            crowd: late.crowd,
            seed,
            duration: run_duration(&draw.faults),
            faults: draw.faults,
            behaviors,
            mean_set_up_interval,
            probes_enabled: !(seed / THEMES.len() as u64).is_multiple_of(3),
            bad_callers: theme == Theme::BadPeers || is_high_load,
            circuits: if answer_bursts.is_some() { BURST_CIRCUITS } else { CIRCUITS },
            hold_ms: if answer_bursts.is_some() { BURST_HOLD_MS } else { HOLD_MS },
            answer_faults,
            answer_bursts,
            time_slices,
            connection_faults,
        }
    }

    /// The plan of issue 25: the machines of two exchanges with standing calls are lost while the event bus is down.
    pub fn machines_lost_while_bus_is_down() -> Self {
        let listed_after = millis(12_200);
        let faults = vec![
            (millis(3000), Fault::Bus { fault: BusFault::Down, duration: millis(12_500) }),
            (millis(4000), Fault::MachineLost { destination: 0, listed_after }),
            (millis(4000), Fault::MachineLost { destination: 1, listed_after }),
        ];
        Self {
            seed: 25,
            duration: millis(14_000),
            faults,
            behaviors: vec![CallerBehavior::Plain; 4],
            mean_set_up_interval: millis(110),
            bad_callers: false,
            probes_enabled: true,
            circuits: CIRCUITS,
            hold_ms: HOLD_MS,
            answer_faults: AnswerFaults::default(),
            answer_bursts: None,
            time_slices: None,
            connection_faults: ConnectionFaults::default(),
            longest_deadline: LONGEST_DEADLINE,
            crowd: 0,
        }
    }
}

/// What is drawn apart from the rest of a plan, so that seeds draw the same other faults as before.
struct LateDraw {
    longest_deadline: Duration,
    crowd: usize,
}

impl LateDraw {
    /// Adds to shutdowns what they meet in service: signals in series, exchanges that hang, pauses, long deadlines.
    fn new(seed: u64, theme: Theme, faults: &mut Vec<(Duration, Fault)>) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ LATE_DRAW_SEED);
        let is_shutdowns = theme == Theme::Shutdowns;
        let has_series = is_shutdowns || rng.random_bool(0.5);
        let has_hangs = is_shutdowns || rng.random_bool(0.2);
        let has_long_deadlines = is_shutdowns || rng.random_bool(0.3);
        let has_crowd = !matches!(theme, Theme::HighLoad | Theme::AnswerBursts) && rng.random_bool(0.35);
        let mut restarts = Vec::new();
        for (at, fault) in faults.iter_mut() {
            if let Fault::Restart { signals, .. } = fault {
                restarts.push(*at);
                *signals = if has_series { ShutdownSignals::Series } else { ShutdownSignals::Single };
            }
        }
        for at in restarts {
            if has_hangs {
                let destination = rng.random_range(0..DESTINATIONS);
                let duration = millis(rng.random_range(3000..5000));
                faults.push((at, Fault::Hang { destination, duration }));
            }
        }
        if is_shutdowns || theme == Theme::Network && rng.random_bool(0.5) {
            for controller in 0..CONTROLLERS {
                let at = millis(rng.random_range(FIRST_FAULT_MS..LAST_FAULT_MS));
                let (count, pause) = (rng.random_range(1..6), millis(rng.random_range(20..250)));
                faults.push((at, Fault::Pauses { controller, count, pause }));
            }
        }
        Self {
            longest_deadline: if has_long_deadlines { LONG_DEADLINE } else { LONGEST_DEADLINE },
            crowd: if has_crowd { rng.random_range(20..=MAX_CROWD) } else { 0 },
        }
    }
}

fn run_duration(faults: &[(Duration, Fault)]) -> Duration {
    let ends = faults.iter().map(|(at, fault)| {
        *at + match fault {
            Fault::Restart { .. } => millis(4000),
            _ => Duration::ZERO,
        }
    });
    ends.max().unwrap_or(millis(FIRST_FAULT_MS)) + SETTLE_TIME
}
