//! The script of a day: the fleet, its traffic, and what goes wrong when.

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
    /// One day. Whatever is left out has the default shown in the schema.
    Day {
        name: String = "a day".into(),
        seed: u64 = 1,
        /// Calls arrive for so long, seconds; the day runs on until all are answered and over.
        length_s: f64 = 30.0,
        regions: Vec<String> = vec!["here".into()],
        /// How many exchanges; they are numbered from 1 and spread over the regions in turn.
        exchanges: u16 = 6,
        /// True speed of each exchange's processor, in turn, 1 being what the plan reckons with.
        speeds: Vec<f64> = vec![1.0],
        network: Network = Network::default(),
        groups: Groups = Groups::default(),
        call_types: Vec<CallTypePlan> = vec![CallTypePlan::default()],
        customers: Vec<CustomerPlan> = vec![CustomerPlan::default()],
        traffic: Traffic = Traffic::default(),
        callers: Callers = Callers::default(),
        /// On loopback: sessions over WebSocket that callers ask on. In virtual time there are no connections.
        clients: ClientPlan = ClientPlan::default(),
        processor: ProcessorPlan = ProcessorPlan::default(),
        directory: DirectoryPlan = DirectoryPlan::default(),
        rules: RuleLimits = RuleLimits::default(),
        /// Seizures a call may make.
        seizures: u8 = 5,
        /// Whether each call comes with the tandem that had most room a while ago.
        advice: bool = false,
        /// Whether controllers may send each other short messages.
        messages: bool = false,
        faults: Vec<FaultAt> = Vec::new(),
    }
    /// One way between exchanges.
    Network {
        same_ms: [f64; 2] = [3.0, 7.0],
        cross_ms: [f64; 2] = [11.0, 25.0],
        /// Each message takes up to this share longer.
        jitter: f64 = 0.2,
    }
    /// Trunk groups: sized for the planned traffic of each pair, which the true one misses.
    Groups {
        /// Circuits beyond the planned traffic, as a share of it.
        spare: f64 = 0.05,
        /// And this many times its square root.
        spare_root: f64 = 0.8,
        /// The plan missed the traffic of each pair by up to this share.
        miss: f64 = 0.15,
        /// Share of the pairs without a group.
        unlinked: f64 = 0.0,
    }
    CallTypePlan {
        name: String = "call".into(),
        share: f64 = 1.0,
        setup_target_ms: u64 = 2000,
        guard_time_ms: u64 = 9000,
        revenue: f64 = 1.0,
        /// What it earns of its revenue if it stands later than the target.
        late_share: f64 = 0.25,
        width: u16 = 1,
        hold_s: f64 = 9.0,
    }
    CustomerPlan {
        name: String = "all".into(),
        share: f64 = 1.0,
    }
    Traffic {
        /// First tries a second, all exchanges together, as planned.
        calls_per_s: f64 = 70.0,
        /// Offered over planned.
        load: f64 = 0.9,
        /// Where calls go shifts this often, seconds (0: never), and by up to which share.
        drift_s: f64 = 15.0,
        drift: f64 = 0.3,
    }
    Callers {
        redials: u32 = 2,
        after_ms: [f64; 2] = [560.0, 1500.0],
        /// A try is given up after this share of the guard time.
        try_share: [f64; 2] = [0.3, 0.4],
        /// Share that heeds a told time to come back.
        heeds: f64 = 0.7,
        /// Share that hangs up before its time.
        impatient: f64 = 0.005,
    }
    #[schemars(rename = "Clients")]
    ClientPlan {
        /// Of each exchange; 0: all callers of an exchange share one plain line.
        sessions: u16 = 0,
        /// Connections cut a second, of all exchanges together; their clients come back by themselves.
        cuts_per_s: f64 = 0.0,
        /// Share of the clients cut that never come back; others take their places.
        gone: f64 = 0.2,
    }
    /// The processor of each exchange: one line.
    ProcessorPlan {
        /// Share of its time that the planned load takes; its speed follows from it.
        busy: f64 = 0.77,
        look_ms: f64 = 1.0,
        set_up_ms: f64 = 2.0,
        answer_ms: f64 = 1.0,
        release_ms: f64 = 1.0,
        turn_away_ms: f64 = 0.3,
        /// It turns set-ups away once they would wait this long.
        full_wait_ms: f64 = 2000.0,
        /// Whether it then says how long to stay away.
        tells_wait: bool = true,
        /// Whether answers and releases go ahead of set-ups.
        answers_first: bool = true,
        reports: Reports = Reports::None,
    }
    DirectoryPlan {
        late_ms: [f64; 2] = [1600.0, 4900.0],
    }
    /// Figures of the five rules.
    #[schemars(rename = "Rules")]
    RuleLimits {
        answer_grace_ms: u64 = 250,
        drain_grace_ms: u64 = 2000,
        fall_multiple: f64 = 2.5,
        fall_ms: u64 = 1000,
        cold_share: f64 = 0.3,
        warm_up_ms: u64 = 15_000,
        release_wait_ms: u64 = 200,
    }
    /// Something that goes wrong.
    FaultAt {
        at_s: f64 = 0.0,
        for_s: f64 = 0.0,
        what: Fault = Fault::RedialAtOnce,
    }
}

/// What a processor says of itself along with answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Reports {
    None,
    /// New set-ups a second that it can take.
    Rate,
}

/// Which exchanges a trouble strikes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
#[schemars(rename = "Which")]
pub enum FaultTarget {
    Listed(Vec<u16>),
    /// So many of them, drawn from the day's seed.
    Share {
        share: f64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Processors run slower by a factor.
    Slow { exchanges: FaultTarget, factor: f64 },
    /// Processors take all and answer nothing, then everything at once.
    Hang { exchanges: FaultTarget },
    /// Processors slow down bit by bit, up to a factor, until they are well again at the end.
    Ageing { exchanges: FaultTarget, factor: f64 },
    /// Calls come this many times as often.
    Burst { factor: f64 },
    /// This share of all calls goes to one number with few lines; they are worth a tenth, their callers dial again at once.
    Crowd { exchange: u16, number: u64, lines: u16, share: f64 },
    /// A region's links to the others are gone.
    RegionCut { region: usize },
    /// The groups between a region and the others keep this share of their circuits.
    CircuitsLost { region: usize, keep: f64 },
    /// This share of all circuits fails for an instant: calls on them are cut, and come again.
    MassCut { share: f64 },
    /// New machines take the place of old ones, a few seconds apart: told as draining, then gone; the new one is cold.
    Replaced { exchanges: FaultTarget, drain_s: f64 },
    /// Processors and controllers stop, and start again, cold, when the trouble ends.
    MassRestart { exchanges: FaultTarget },
    /// Controllers are killed, and come back when the trouble ends with nothing but the last list.
    ControllersKilled { exchanges: FaultTarget },
    /// The directory speaks later by this.
    DirectoryLate { by_ms: f64 },
    /// This share of the short messages between controllers is lost.
    MessagesLost { share: f64 },
    /// Callers dial again without a pause.
    RedialAtOnce,
    /// The connection between two exchanges is gone.
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
    /// Every fault of the script, each with its place.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut say = |wrong: bool, place: String, why: &str| {
            if wrong {
                found.push(format!("{place}: {why}"));
            }
        };
        let range = |range: [f64; 2]| !(range[0] >= 0.0 && range[1] >= range[0] && range[1].is_finite());
        say(!(1.0..=3600.0).contains(&self.length_s), "length_s".into(), "is not within 1 to 3600");
        say(!(2..=1000).contains(&self.exchanges), "exchanges".into(), "are not 2 to 1000");
        say(self.regions.is_empty() || self.regions.len() > 200, "regions".into(), "are not 1 to 200");
        say(
            self.speeds.iter().any(|speed| !(0.05..=20.0).contains(speed)),
            "speeds".into(),
            "not within 0.05 to 20",
        );
        let clients = &self.clients;
        say(clients.sessions > 10_000, "clients.sessions".into(), "are more than 10000");
        let wrong = !(0.0..=1000.0).contains(&clients.cuts_per_s);
        say(wrong, "clients.cuts_per_s".into(), "is not within 0 to 1000");
        say(!(0.0..=1.0).contains(&clients.gone), "clients.gone".into(), "is no share");
        say(self.speeds.is_empty(), "speeds".into(), "are missing");
        say(!(1..=16).contains(&self.seizures), "seizures".into(), "are not 1 to 16");
        say(range(self.network.same_ms), "network.same_ms".into(), "is no range");
        say(range(self.network.cross_ms), "network.cross_ms".into(), "is no range");
        say(!(0.0..=5.0).contains(&self.network.jitter), "network.jitter".into(), "is not within 0 to 5");
        say(range(self.callers.after_ms), "callers.after_ms".into(), "is no range");
        say(
            range(self.callers.try_share) || self.callers.try_share[1] > 1.0,
            "callers.try_share".into(),
            "is no range of shares",
        );
        say(range(self.directory.late_ms), "directory.late_ms".into(), "is no range");
        say(!(0.01..=1.0).contains(&self.processor.busy), "processor.busy".into(), "is not within 0.01 to 1");
        say(
            !(self.traffic.calls_per_s > 0.0 && self.traffic.calls_per_s <= 1e5),
            "traffic.calls_per_s".into(),
            "is not above 0, up to 100000",
        );
        say(!(0.0..=10.0).contains(&self.traffic.load), "traffic.load".into(), "is not within 0 to 10");
        say(!(0.0..=1.0).contains(&self.groups.unlinked), "groups.unlinked".into(), "is no share");
        say(!(0.0..1.0).contains(&self.groups.miss), "groups.miss".into(), "is not from 0 to below 1");
        say(!(0.0..=1.0).contains(&self.rules.cold_share), "rules.cold_share".into(), "is no share");
        say(
            self.call_types.is_empty() || self.call_types.len() > 255,
            "call_types".into(),
            "are not 1 to 255",
        );
        say(
            self.customers.is_empty() || self.customers.len() > 65_535,
            "customers".into(),
            "are not 1 to 65535",
        );
        for (at, of) in self.call_types.iter().enumerate() {
            let place = |field: &str| format!("call_types[{at}].{field}");
            say(!(of.share >= 0.0 && of.share.is_finite()), place("share"), "is below 0");
            say(
                !(1..=31).contains(&of.width),
                place("width"),
                "is not 1 to 31: a call's circuits lie in one system",
            );
            say(
                of.guard_time_ms == 0 || of.guard_time_ms > 600_000,
                place("guard_time_ms"),
                "is not 1 to 600000",
            );
            say(!(of.hold_s > 0.0 && of.hold_s <= 3600.0), place("hold_s"), "is not above 0, up to 3600");
            say(!(of.revenue >= 0.0 && of.revenue.is_finite()), place("revenue"), "is below 0");
        }
        say(self.call_types.iter().all(|of| of.share <= 0.0), "call_types".into(), "have no share at all");
        say(self.customers.iter().all(|of| of.share <= 0.0), "customers".into(), "have no share at all");
        for (at, fault) in self.faults.iter().enumerate() {
            let place = |field: &str| format!("faults[{at}].{field}");
            let listed = |which: &FaultTarget| match which {
                FaultTarget::Listed(these) => these.iter().any(|no| !(1..=self.exchanges).contains(no)),
                FaultTarget::Share { share } => !(0.0..=1.0).contains(share),
            };
            say(!(fault.at_s >= 0.0 && fault.at_s <= self.length_s), place("at_s"), "is not within the day");
            say(!(fault.for_s >= 0.0 && fault.for_s <= 3600.0), place("for_s"), "is not within 0 to 3600");
            match &fault.what {
                Fault::Slow { exchanges, factor } | Fault::Ageing { exchanges, factor } => {
                    say(
                        listed(exchanges),
                        place("what.exchanges"),
                        "names one that is not there, or no share",
                    );
                    say(!(1.0..=1e3).contains(factor), place("what.factor"), "is not within 1 to 1000");
                }
                Fault::Hang { exchanges }
                | Fault::MassRestart { exchanges }
                | Fault::ControllersKilled { exchanges }
                | Fault::Replaced { exchanges, .. } => {
                    say(
                        listed(exchanges),
                        place("what.exchanges"),
                        "names one that is not there, or no share",
                    );
                }
                Fault::Burst { factor } => {
                    say(!(0.0..=100.0).contains(factor), place("what.factor"), "is not within 0 to 100")
                }
                Fault::Crowd { exchange, share, .. } => {
                    say(!(1..=self.exchanges).contains(exchange), place("what.exchange"), "is not there");
                    say(!(0.0..=1.0).contains(share), place("what.share"), "is no share");
                }
                Fault::RegionCut { region } | Fault::CircuitsLost { region, .. } => {
                    say(*region >= self.regions.len(), place("what.region"), "is not there");
                }
                Fault::MassCut { share } | Fault::MessagesLost { share } => {
                    say(!(0.0..=1.0).contains(share), place("what.share"), "is no share");
                }
                Fault::LinkBreaks { between } => {
                    let there = between.iter().all(|no| (1..=self.exchanges).contains(no));
                    say(
                        !there || between[0] == between[1],
                        place("what.between"),
                        "does not name two exchanges",
                    );
                }
                Fault::DirectoryLate { by_ms } => {
                    say(!(0.0..=1e6).contains(by_ms), place("what.by_ms"), "is not within 0 to 1000000")
                }
                Fault::RedialAtOnce => {}
            }
        }
        found
    }
}
