//! What a run does: drawn from a seed, so that a run that breaks a rule can be played again.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::CallerBehavior;
use crate::exchange::AnswerFaults;
use crate::proxy::ConnectionFaults;
use crate::record::{BusFault, ControllerIndex};

pub const CONTROLLERS: usize = 3;
/// Offices that are called, each served by one exchange at a time.
pub const OFFICES: usize = 3;
/// Faults begin once calls stand.
const FIRST_FAULT_MS: u64 = 3000;
const LAST_FAULT_MS: u64 = 11_000;
/// After the last fault, ends that nobody tells still have their time.
const SETTLE: Duration = Duration::from_millis(11_500);

/// The exchange that serves an office at that time.
pub type OfficeIndex = usize;

/// One fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// SIGTERM, SIGKILL at the earliest, and a new start at once.
    Restart {
        controller: ControllerIndex,
    },
    /// SIGKILL without warning, and a new start.
    Kill {
        controller: ControllerIndex,
    },
    /// A new configuration with another address of the bus.
    Reconfigure {
        controller: ControllerIndex,
    },
    /// The machine is gone and says nothing; the list follows after `listed_after`.
    MachineLost {
        office: OfficeIndex,
        listed_after: Duration,
    },
    /// The process dies: its connections are reset; the list follows after `listed_after`.
    ProcessCrash {
        office: OfficeIndex,
        listed_after: Duration,
    },
    /// The process stops for a while, its connections open.
    Hang {
        office: OfficeIndex,
        duration: Duration,
    },
    /// Listed as leaving, ended after the grace, and replaced by a new one, on the same address or another.
    Replace {
        office: OfficeIndex,
        same_address: bool,
    },
    /// The network between all controllers, or one, and an exchange is cut.
    Partition {
        office: OfficeIndex,
        only: Option<ControllerIndex>,
        duration: Duration,
    },
    ResetLinks {
        office: OfficeIndex,
        controller: ControllerIndex,
    },
    ResetOldestLink {
        office: OfficeIndex,
        controller: ControllerIndex,
    },
    Bus {
        fault: BusFault,
        duration: Duration,
    },
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub faults: Vec<(Duration, Fault)>,
    pub duration: Duration,
    pub behaviors: Vec<CallerBehavior>,
    /// Between two set-ups of one caller.
    pub mean_set_up_interval: Duration,
    pub bad_callers: bool,
    /// Whether the controllers' settings allow tests of exchanges.
    pub probes_enabled: bool,
    pub answer_faults: AnswerFaults,
    pub connection_faults: ConnectionFaults,
}

/// The kinds of trouble; a seed takes one, and something of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Theme {
    Shutdowns,
    EventBus,
    BadPeers,
    Network,
    Fragments,
    HighLoad,
}

const THEMES: [Theme; 6] =
    [Theme::Shutdowns, Theme::EventBus, Theme::BadPeers, Theme::Network, Theme::Fragments, Theme::HighLoad];

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Draw {
    rng: Pcg64Mcg,
    faults: Vec<(Duration, Fault)>,
}

impl Draw {
    fn at(&mut self) -> Duration {
        millis(self.rng.random_range(FIRST_FAULT_MS..LAST_FAULT_MS))
    }

    fn span(&mut self, from: u64, to: u64) -> Duration {
        millis(self.rng.random_range(from..=to))
    }

    fn office(&mut self) -> OfficeIndex {
        self.rng.random_range(0..OFFICES)
    }

    fn controller(&mut self) -> ControllerIndex {
        self.rng.random_range(0..CONTROLLERS)
    }

    fn add(&mut self, at: Duration, fault: Fault) {
        self.faults.push((at, fault));
    }

    /// Controllers restarted one after another.
    fn restarts(&mut self) {
        let mut at = self.span(FIRST_FAULT_MS, 5000);
        for controller in 0..CONTROLLERS {
            self.add(at, Fault::Restart { controller });
            at += self.span(300, 2500);
        }
    }

    /// An exchange hangs, vanishes, dies or is replaced.
    fn exchange_trouble(&mut self, at: Duration) {
        let office = self.office();
        let fault = match self.rng.random_range(0..4) {
            0 => Fault::MachineLost { office, listed_after: self.span(5900, 12_000) },
            1 => Fault::ProcessCrash { office, listed_after: self.span(1500, 5000) },
            2 => Fault::Hang { office, duration: self.span(800, 6000) },
            _ => Fault::Replace { office, same_address: self.rng.random_bool(0.5) },
        };
        self.add(at, fault);
    }

    /// The bus fails for a while, and something happens at its return.
    fn bus_trouble(&mut self) {
        let at = self.at();
        let fault = *[BusFault::Break, BusFault::Silent, BusFault::Down]
            .choose(&mut self.rng)
            .unwrap_or(&BusFault::Down);
        let duration = self.span(1000, 8000);
        self.add(at, Fault::Bus { fault, duration });
        let office = self.office();
        let near = at + duration - millis(self.rng.random_range(0..800).min(duration.as_millis() as u64));
        let same_address = self.rng.random_bool(0.5);
        self.add(near, Fault::Replace { office, same_address });
        if self.rng.random_bool(0.5) {
            let office = self.office();
            self.add(at, Fault::MachineLost { office, listed_after: duration + millis(300) });
        }
    }

    /// New configurations in quick succession.
    fn reconfigurations(&mut self) {
        let controller = self.controller();
        let mut at = self.at();
        for _ in 0..self.rng.random_range(2..5) {
            self.add(at, Fault::Reconfigure { controller });
            at += self.span(5, 900);
        }
    }

    fn network_trouble(&mut self) {
        let (at, office, controller) = (self.at(), self.office(), self.controller());
        let fault = match self.rng.random_range(0..4) {
            0 => Fault::Partition { office, only: None, duration: self.span(500, 6000) },
            1 => Fault::Partition { office, only: Some(controller), duration: self.span(500, 9000) },
            2 => Fault::ResetLinks { office, controller },
            _ => Fault::ResetOldestLink { office, controller },
        };
        self.add(at, fault);
    }
}

impl Plan {
    /// The run of a seed.
    pub fn from_seed(seed: u64) -> Self {
        let theme = THEMES[(seed % THEMES.len() as u64) as usize];
        let mut draw = Draw { rng: Pcg64Mcg::seed_from_u64(seed), faults: Vec::new() };
        let all = theme == Theme::HighLoad;
        if theme == Theme::Shutdowns || theme == Theme::Fragments || all {
            draw.restarts();
        }
        if theme == Theme::Shutdowns || theme == Theme::Network {
            for _ in 0..2 {
                let at = draw.at();
                draw.exchange_trouble(at);
            }
        }
        if theme == Theme::EventBus || all || draw.rng.random_bool(0.2) {
            draw.bus_trouble();
        }
        if theme == Theme::EventBus || draw.rng.random_bool(0.2) {
            draw.reconfigurations();
        }
        if theme == Theme::Network || all {
            (0..4).for_each(|_| draw.network_trouble());
        }
        if draw.rng.random_bool(0.3) {
            let (at, controller) = (draw.at(), draw.controller());
            draw.add(at, Fault::Kill { controller });
        }
        let spoilt = if theme == Theme::BadPeers || theme == Theme::Fragments || all { 0.01 } else { 0.0 };
        let answer_faults = AnswerFaults {
            noise: spoilt,
            broken_off: spoilt,
            missing: 2.0 * spoilt,
            doubled: 3.0 * spoilt,
            stray: 3.0 * spoilt,
            reset: if theme == Theme::Network || all { 0.01 } else { spoilt },
            error: spoilt,
        };
        let connection_faults = ConnectionFaults {
            closed_early: if theme == Theme::Network || all { 0.1 } else { 0.0 },
            in_pieces: if theme == Theme::Fragments || all { 0.5 } else { 0.1 },
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
            _ => vec![
                CallerBehavior::Plain,
                CallerBehavior::WritesSlowly,
                CallerBehavior::GivesUpEarly,
                CallerBehavior::RedialsAtOnce,
            ],
        };
        let mean_set_up_interval = if all { millis(15) } else { millis(110) };
        draw.faults.sort_by_key(|(at, _)| *at);
        Self {
            seed,
            duration: duration(&draw.faults),
            faults: draw.faults,
            behaviors,
            mean_set_up_interval,
            probes_enabled: !(seed / THEMES.len() as u64).is_multiple_of(3),
            bad_callers: theme == Theme::BadPeers || all,
            answer_faults,
            connection_faults,
        }
    }

    /// Issue 25: exchanges vanish with calls standing while the event bus is down.
    pub fn machines_lost_while_bus_is_down() -> Self {
        let listed_after = millis(12_200);
        let faults = vec![
            (millis(3000), Fault::Bus { fault: BusFault::Down, duration: millis(12_500) }),
            (millis(4000), Fault::MachineLost { office: 0, listed_after }),
            (millis(4000), Fault::MachineLost { office: 1, listed_after }),
        ];
        Self {
            seed: 25,
            duration: millis(14_000),
            faults,
            behaviors: vec![CallerBehavior::Plain; 4],
            mean_set_up_interval: millis(110),
            bad_callers: false,
            probes_enabled: true,
            answer_faults: AnswerFaults::default(),
            connection_faults: ConnectionFaults::default(),
        }
    }
}

fn duration(faults: &[(Duration, Fault)]) -> Duration {
    let last = faults.iter().map(|(at, fault)| {
        *at + match fault {
            Fault::Restart { .. } => millis(3500),
            _ => Duration::ZERO,
        }
    });
    last.max().unwrap_or(millis(FIRST_FAULT_MS)) + SETTLE
}
