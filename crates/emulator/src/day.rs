//! The script of a day: the exchanges, their traffic, and the faults with their times.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! script {
    ($($(#[$meta:meta])* $name:ident { $($(#[$field_meta:meta])* $field:ident: $kind:ty = $default:expr,)* })*) => {$(
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
        $(#[$meta])*
        #[serde(deny_unknown_fields, default)]
        pub struct $name { $($(#[$field_meta])* pub $field: $kind,)* }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }
    )*};
}

script! {
    /// One day. Fields that are left out have the default of the schema.
    Day {
        name: String = "a day".into(),
        seed: u64 = 1,
        /// Time during which callers start new calls, seconds. The day lasts until all calls are answered and ended.
        length_s: f64 = 30.0,
        regions: Vec<String> = vec!["here".into()],
        /// Number of exchanges. They are numbered from 1 and assigned to the regions in turn.
        exchanges: u16 = 6,
        /// Actual speeds of the exchanges' processors as multiples of the planned speed, assigned in turn.
        speeds: Vec<f64> = vec![1.0],
        network: Network = Network::default(),
        groups: Groups = Groups::default(),
        call_types: Vec<CallTypePlan> = vec![CallTypePlan::default()],
        customers: Vec<CustomerPlan> = vec![CustomerPlan::default()],
        traffic: Traffic = Traffic::default(),
        callers: Callers = Callers::default(),
        /// WebSocket sessions of the callers, on loopback only. In virtual time there are no connections.
        clients: ClientPlan = ClientPlan::default(),
        processor: ProcessorPlan = ProcessorPlan::default(),
        directory: DirectoryPlan = DirectoryPlan::default(),
        rules: RuleLimits = RuleLimits::default(),
        /// Maximum number of seizures of a call.
        seizures: u8 = 5,
        /// Whether each offer advises the tandem that had most free circuits up to two seconds ago.
        advice: bool = false,
        /// Whether controllers may send short messages to each other.
        messages: bool = false,
        faults: Vec<FaultAt> = Vec::new(),
    }
    /// One-way delays between exchanges.
    Network {
        /// Within a region: each pair's delay is drawn from this range, milliseconds.
        same_ms: [f64; 2] = [3.0, 7.0],
        /// Between regions, milliseconds.
        cross_ms: [f64; 2] = [11.0, 25.0],
        /// Each message is delayed further by up to this share of the delay.
        jitter: f64 = 0.2,
    }
    /// Trunk groups, sized for the planned traffic of each pair of exchanges. Actual traffic differs from it.
    Groups {
        /// Spare circuits as a share of the planned traffic in erlangs.
        spare: f64 = 0.05,
        /// Further spare circuits, as a multiple of the square root of the planned traffic.
        spare_root: f64 = 0.8,
        /// Actual traffic of each pair differs from the planned traffic by up to this share.
        miss: f64 = 0.15,
        /// Share of the pairs that have no trunk group.
        unlinked: f64 = 0.0,
    }
    CallTypePlan {
        name: String = "call".into(),
        share: f64 = 1.0,
        setup_target_ms: u64 = 2000,
        guard_time_ms: u64 = 9000,
        revenue: f64 = 1.0,
        /// Share of the revenue that a call earns if it is answered after the setup target.
        late_share: f64 = 0.25,
        /// Circuits of a call.
        width: u16 = 1,
        /// Mean duration of a standing call, seconds.
        hold_s: f64 = 9.0,
    }
    CustomerPlan {
        name: String = "all".into(),
        share: f64 = 1.0,
    }
    Traffic {
        /// Planned calls a second of all exchanges together, redials not counted.
        calls_per_s: f64 = 70.0,
        /// Actual calls as a multiple of the planned calls.
        load: f64 = 0.9,
        /// Interval at which the traffic of each pair of exchanges changes, seconds; 0: never.
        drift_s: f64 = 15.0,
        /// Largest change of a pair's traffic at a time, as a share of it.
        drift: f64 = 0.3,
    }
    Callers {
        /// Redials of a caller at most.
        redials: u32 = 2,
        /// Pause before a redial, milliseconds.
        after_ms: [f64; 2] = [560.0, 1500.0],
        /// A caller gives up an attempt after a share of the guard time that is drawn from this range.
        try_share: [f64; 2] = [0.3, 0.4],
        /// Share of the failed attempts after which the caller waits for the retry time that it received.
        heeds: f64 = 0.7,
        /// Share of the attempts that the caller gives up before that time.
        impatient: f64 = 0.005,
    }
    #[schemars(rename = "Clients")]
    ClientPlan {
        /// Sessions of each exchange; 0: all callers of an exchange share one subscriber line.
        sessions: u16 = 0,
        /// Connections cut a second, of all exchanges together. The clients reconnect by themselves.
        cuts_per_s: f64 = 0.0,
        /// Share of the disconnected clients that never reconnect; new clients replace them.
        gone: f64 = 0.2,
    }
    /// The processor of each exchange, which handles one job at a time.
    ProcessorPlan {
        /// Processor utilization at the planned load. The processor's speed follows from it.
        busy: f64 = 0.77,
        /// Time to examine a call that a subscriber offers.
        look_ms: f64 = 1.0,
        /// Time to send or receive a set-up.
        set_up_ms: f64 = 2.0,
        answer_ms: f64 = 1.0,
        release_ms: f64 = 1.0,
        /// Time to reject a set-up.
        turn_away_ms: f64 = 0.3,
        /// The processor rejects set-ups while they would wait longer than this.
        full_wait_ms: f64 = 2000.0,
        /// Whether a rejection says for how long to send no set-ups.
        tells_wait: bool = true,
        /// Whether answers and releases are handled before set-ups.
        answers_first: bool = true,
        reports: Reports = Reports::None,
    }
    DirectoryPlan {
        /// Delay of the directory's updates to each controller, milliseconds.
        late_ms: [f64; 2] = [1600.0, 4900.0],
    }
    /// Limits of the five rules that controllers must keep.
    #[schemars(rename = "Rules")]
    RuleLimits {
        answer_grace_ms: u64 = 250,
        drain_grace_ms: u64 = 2000,
        /// A cold exchange must not be sent more than this multiple of its capacity within `fall_ms`.
        fall_multiple: f64 = 2.5,
        fall_ms: u64 = 1000,
        /// Capacity of an exchange that starts cold, as a share of its full capacity, which it has after `warm_up_ms`.
        cold_share: f64 = 0.3,
        warm_up_ms: u64 = 15_000,
        release_wait_ms: u64 = 200,
    }
    /// A fault, its start and its duration.
    FaultAt {
        at_s: f64 = 0.0,
        for_s: f64 = 0.0,
        what: Fault = Fault::RedialAtOnce,
    }
}

/// What processors report of themselves to their controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Reports {
    None,
    /// New set-ups that the processor accepts a second.
    Rate,
}

/// The exchanges that a fault affects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
#[schemars(rename = "Which")]
pub enum FaultTarget {
    Listed(Vec<u16>),
    /// A share of the exchanges, drawn with the day's seed.
    Share {
        share: f64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Processors run slower by a factor.
    Slow { exchanges: FaultTarget, factor: f64 },
    /// Processors queue all messages and handle none, then all at once when the fault ends.
    Hang { exchanges: FaultTarget },
    /// Processors slow down gradually, up to a factor, and recover when the fault ends.
    Ageing { exchanges: FaultTarget, factor: f64 },
    /// New calls arrive more often by a factor.
    Burst { factor: f64 },
    /// A share of all calls goes to one number with few lines. They earn a tenth of the revenue, and their callers
    /// redial at once.
    Crowd { exchange: u16, number: u64, lines: u16, share: f64 },
    /// The links between a region and the others are lost.
    RegionCut { region: usize },
    /// The trunk groups between a region and the others keep only a share of their circuits.
    CircuitsLost { region: usize, keep: f64 },
    /// A share of the circuits of each trunk group fails for 0.3 s. Calls on them are cut; their callers call again.
    MassCut { share: f64 },
    /// New machines replace old ones, 3 seconds apart. The directory announces each old machine as draining, then as
    /// gone; the new machine starts cold.
    Replaced { exchanges: FaultTarget, drain_s: f64 },
    /// Processors and controllers stop. They start again, cold, when the fault ends.
    MassRestart { exchanges: FaultTarget },
    /// Controllers are killed. They start again when the fault ends, with no state but the last membership list.
    ControllersKilled { exchanges: FaultTarget },
    /// The directory's updates arrive later by this time.
    DirectoryLate { by_ms: f64 },
    /// A share of the short messages between controllers is lost.
    MessagesLost { share: f64 },
    /// Callers redial almost at once, without the usual pause.
    RedialAtOnce,
    /// The connection between two exchanges is lost.
    LinkBreaks { between: [u16; 2] },
}

impl Fault {
    pub fn name(&self) -> &'static str {
        match self {
            Self::Slow { .. } => "slow",
            Self::Hang { .. } => "hang",
            Self::Ageing { .. } => "ageing",
            Self::Burst { .. } => "burst",
            Self::Crowd { .. } => "crowd",
            Self::RegionCut { .. } => "region_cut",
            Self::CircuitsLost { .. } => "circuits_lost",
            Self::MassCut { .. } => "mass_cut",
            Self::Replaced { .. } => "replaced",
            Self::MassRestart { .. } => "mass_restart",
            Self::ControllersKilled { .. } => "controllers_killed",
            Self::DirectoryLate { .. } => "directory_late",
            Self::MessagesLost { .. } => "messages_lost",
            Self::RedialAtOnce => "redial_at_once",
            Self::LinkBreaks { .. } => "link_breaks",
        }
    }
}

impl Day {
    /// All errors in the script, each with the path of its field.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut reject_if = |invalid: bool, path: String, reason: &str| {
            if invalid {
                errors.push(format!("{path}: {reason}"));
            }
        };
        let is_invalid_range =
            |range: [f64; 2]| !(range[0] >= 0.0 && range[1] >= range[0] && range[1].is_finite());
        reject_if(!(1.0..=3600.0).contains(&self.length_s), "length_s".into(), "is not within 1 to 3600");
        reject_if(!(2..=1000).contains(&self.exchanges), "exchanges".into(), "is not within 2 to 1000");
        reject_if(
            self.regions.is_empty() || self.regions.len() > 200,
            "regions".into(),
            "does not list 1 to 200 regions",
        );
        reject_if(
            self.speeds.iter().any(|speed| !(0.05..=20.0).contains(speed)),
            "speeds".into(),
            "values are not all within 0.05 to 20",
        );
        let clients = &self.clients;
        reject_if(clients.sessions > 10_000, "clients.sessions".into(), "is above 10000");
        let invalid = !(0.0..=1000.0).contains(&clients.cuts_per_s);
        reject_if(invalid, "clients.cuts_per_s".into(), "is not within 0 to 1000");
        reject_if(!(0.0..=1.0).contains(&clients.gone), "clients.gone".into(), "is not within 0 to 1");
        reject_if(self.speeds.is_empty(), "speeds".into(), "is empty");
        reject_if(!(1..=16).contains(&self.seizures), "seizures".into(), "is not within 1 to 16");
        reject_if(
            is_invalid_range(self.network.same_ms),
            "network.same_ms".into(),
            "is not a range from a lower to a higher number, 0 or above",
        );
        reject_if(
            is_invalid_range(self.network.cross_ms),
            "network.cross_ms".into(),
            "is not a range from a lower to a higher number, 0 or above",
        );
        reject_if(
            !(0.0..=5.0).contains(&self.network.jitter),
            "network.jitter".into(),
            "is not within 0 to 5",
        );
        reject_if(
            is_invalid_range(self.callers.after_ms),
            "callers.after_ms".into(),
            "is not a range from a lower to a higher number, 0 or above",
        );
        reject_if(
            is_invalid_range(self.callers.try_share) || self.callers.try_share[1] > 1.0,
            "callers.try_share".into(),
            "is not a range from a lower to a higher share within 0 to 1",
        );
        reject_if(
            is_invalid_range(self.directory.late_ms),
            "directory.late_ms".into(),
            "is not a range from a lower to a higher number, 0 or above",
        );
        reject_if(
            !(0.01..=1.0).contains(&self.processor.busy),
            "processor.busy".into(),
            "is not within 0.01 to 1",
        );
        reject_if(
            !(self.traffic.calls_per_s > 0.0 && self.traffic.calls_per_s <= 1e5),
            "traffic.calls_per_s".into(),
            "is not above 0 and at most 100000",
        );
        reject_if(!(0.0..=10.0).contains(&self.traffic.load), "traffic.load".into(), "is not within 0 to 10");
        reject_if(
            !(0.0..=1.0).contains(&self.groups.unlinked),
            "groups.unlinked".into(),
            "is not within 0 to 1",
        );
        reject_if(
            !(0.0..1.0).contains(&self.groups.miss),
            "groups.miss".into(),
            "is not at least 0 and below 1",
        );
        reject_if(
            !(0.0..=1.0).contains(&self.rules.cold_share),
            "rules.cold_share".into(),
            "is not within 0 to 1",
        );
        reject_if(
            self.call_types.is_empty() || self.call_types.len() > 255,
            "call_types".into(),
            "does not list 1 to 255 call types",
        );
        reject_if(
            self.customers.is_empty() || self.customers.len() > 65_535,
            "customers".into(),
            "does not list 1 to 65535 customers",
        );
        for (index, call_type) in self.call_types.iter().enumerate() {
            let path = |field: &str| format!("call_types[{index}].{field}");
            reject_if(
                !(call_type.share >= 0.0 && call_type.share.is_finite()),
                path("share"),
                "is not a finite number of at least 0",
            );
            reject_if(
                !(1..=31).contains(&call_type.width),
                path("width"),
                "is not within 1 to 31: all circuits of a call are in one 2048 kbit/s system",
            );
            reject_if(
                call_type.guard_time_ms == 0 || call_type.guard_time_ms > 600_000,
                path("guard_time_ms"),
                "is not within 1 to 600000",
            );
            reject_if(
                !(call_type.hold_s > 0.0 && call_type.hold_s <= 3600.0),
                path("hold_s"),
                "is not above 0 and at most 3600",
            );
            reject_if(
                !(call_type.revenue >= 0.0 && call_type.revenue.is_finite()),
                path("revenue"),
                "is not a finite number of at least 0",
            );
        }
        reject_if(
            self.call_types.iter().all(|call_type| call_type.share <= 0.0),
            "call_types".into(),
            "all shares are 0",
        );
        reject_if(
            self.customers.iter().all(|customer| customer.share <= 0.0),
            "customers".into(),
            "all shares are 0",
        );
        for (index, fault) in self.faults.iter().enumerate() {
            let path = |field: &str| format!("faults[{index}].{field}");
            let is_invalid_target = |target: &FaultTarget| match target {
                FaultTarget::Listed(exchanges) => {
                    exchanges.iter().any(|exchange| !(1..=self.exchanges).contains(exchange))
                }
                FaultTarget::Share { share } => !(0.0..=1.0).contains(share),
            };
            reject_if(
                !(fault.at_s >= 0.0 && fault.at_s <= self.length_s),
                path("at_s"),
                "is not within 0 to length_s",
            );
            reject_if(
                !(fault.for_s >= 0.0 && fault.for_s <= 3600.0),
                path("for_s"),
                "is not within 0 to 3600",
            );
            match &fault.what {
                Fault::Slow { exchanges, factor } | Fault::Ageing { exchanges, factor } => {
                    reject_if(
                        is_invalid_target(exchanges),
                        path("what.exchanges"),
                        "lists an unknown exchange, or the share is not within 0 to 1",
                    );
                    reject_if(!(1.0..=1e3).contains(factor), path("what.factor"), "is not within 1 to 1000");
                }
                Fault::Hang { exchanges }
                | Fault::MassRestart { exchanges }
                | Fault::ControllersKilled { exchanges }
                | Fault::Replaced { exchanges, .. } => {
                    reject_if(
                        is_invalid_target(exchanges),
                        path("what.exchanges"),
                        "lists an unknown exchange, or the share is not within 0 to 1",
                    );
                }
                Fault::Burst { factor } => {
                    reject_if(!(0.0..=100.0).contains(factor), path("what.factor"), "is not within 0 to 100")
                }
                Fault::Crowd { exchange, share, .. } => {
                    reject_if(
                        !(1..=self.exchanges).contains(exchange),
                        path("what.exchange"),
                        "is not an exchange of the day",
                    );
                    reject_if(!(0.0..=1.0).contains(share), path("what.share"), "is not within 0 to 1");
                }
                Fault::RegionCut { region } | Fault::CircuitsLost { region, .. } => {
                    reject_if(
                        *region >= self.regions.len(),
                        path("what.region"),
                        "is not the index of a region",
                    );
                }
                Fault::MassCut { share } | Fault::MessagesLost { share } => {
                    reject_if(!(0.0..=1.0).contains(share), path("what.share"), "is not within 0 to 1");
                }
                Fault::LinkBreaks { between } => {
                    let known = between.iter().all(|exchange| (1..=self.exchanges).contains(exchange));
                    reject_if(
                        !known || between[0] == between[1],
                        path("what.between"),
                        "does not list two different exchanges of the day",
                    );
                }
                Fault::DirectoryLate { by_ms } => {
                    reject_if(!(0.0..=1e6).contains(by_ms), path("what.by_ms"), "is not within 0 to 1000000")
                }
                Fault::RedialAtOnce => {}
            }
        }
        errors
    }
}
