//! The description of a fleet: exchanges, groups, the traffic offered between exchanges, and how callers redial.

use std::collections::{BTreeMap, BTreeSet};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A fleet. Names ending in `_s` are seconds, those ending in `_ms` are milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub exchanges: Vec<Exchange>,
    pub groups: Vec<Group>,
    pub call_types: Vec<CallType>,
    /// First tries a second from one exchange to another, over all call types.
    pub traffic: Vec<Traffic>,
    #[serde(default)]
    pub redials: Redials,
    #[serde(default)]
    pub work: Work,
    /// Circuits that calls over a tandem leave free on the first leg, reserved for direct calls.
    #[serde(default = "default_reserved")]
    pub reserved: u16,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Exchange {
    pub exchange: u16,
    #[serde(default)]
    pub region: String,
    /// Speed of the processor, relative to the one on which `work` was measured.
    #[serde(default = "default_speed")]
    pub speed: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub between: [u16; 2],
    pub circuits: u16,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallType {
    pub name: String,
    /// Share of all first tries.
    pub share: f64,
    /// Circuits that each call takes.
    #[serde(default = "default_width")]
    pub width: u16,
    pub hold_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub from: u16,
    pub to: u16,
    pub per_s: f64,
}

/// Redials of callers whose call is not answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Redials {
    /// Share of these callers that redial.
    pub share: f64,
    /// Redials of one caller at most.
    pub most: u8,
}

impl Default for Redials {
    fn default() -> Self {
        Self { share: 0.9, most: 2 }
    }
}

/// Processor time for each call, milliseconds at speed 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Work {
    /// For a try, at the caller's own exchange.
    pub look_ms: f64,
    /// For a set-up that arrives at a tandem or at the destination.
    pub set_up_ms: f64,
    pub answer_ms: f64,
    pub release_ms: f64,
}

impl Default for Work {
    fn default() -> Self {
        Self { look_ms: 1.0, set_up_ms: 2.0, answer_ms: 1.0, release_ms: 0.5 }
    }
}

fn default_speed() -> f64 {
    1.0
}

fn default_width() -> u16 {
    1
}

fn default_reserved() -> u16 {
    2
}

impl Fleet {
    /// All errors of the description, each with its place.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut check = |wrong: bool, place: String, why: String| {
            if wrong {
                errors.push(format!("{place}: {why}"));
            }
        };
        let is_positive = |value: f64| value > 0.0 && value.is_finite();
        let is_share = |value: f64| (0.0..=1.0).contains(&value);
        let mut numbers = BTreeSet::new();
        check(
            !(2..=1000).contains(&self.exchanges.len()),
            "exchanges".into(),
            "there must be 2 to 1000".into(),
        );
        for (index, exchange) in self.exchanges.iter().enumerate() {
            let place = format!("exchanges[{index}]");
            check(
                !numbers.insert(exchange.exchange),
                format!("{place}.exchange"),
                format!("{} is already in use", exchange.exchange),
            );
            check(
                !is_positive(exchange.speed),
                format!("{place}.speed"),
                format!("{} is not a finite number above 0", exchange.speed),
            );
        }
        let mut pairs = BTreeSet::new();
        for (index, group) in self.groups.iter().enumerate() {
            let (place, [a, b]) = (format!("groups[{index}]"), group.between);
            for end in [a, b] {
                check(
                    !numbers.contains(&end),
                    format!("{place}.between"),
                    format!("there is no exchange {end}"),
                );
            }
            check(a == b, format!("{place}.between"), "both ends are the same".into());
            check(
                !pairs.insert((a.min(b), a.max(b))),
                format!("{place}.between"),
                "there is already a group between these exchanges".into(),
            );
            check(
                group.circuits > 3968,
                format!("{place}.circuits"),
                format!("{} is more than 3968", group.circuits),
            );
        }
        check(self.call_types.is_empty(), "call_types".into(), "there must be at least one".into());
        for (index, call_type) in self.call_types.iter().enumerate() {
            let place = format!("call_types[{index}]");
            check(
                !is_share(call_type.share),
                format!("{place}.share"),
                format!("{} is not a share from 0 to 1", call_type.share),
            );
            check(
                !(1..=31).contains(&call_type.width),
                format!("{place}.width"),
                format!("{} is not within 1 to 31", call_type.width),
            );
            check(
                !is_positive(call_type.hold_s),
                format!("{place}.hold_s"),
                format!("{} is not a finite number above 0", call_type.hold_s),
            );
        }
        let total: f64 = self.call_types.iter().map(|call_type| call_type.share).sum();
        check(
            (total - 1.0).abs() > 1e-6,
            "call_types".into(),
            format!("the shares add up to {total}, not 1"),
        );
        for (index, traffic) in self.traffic.iter().enumerate() {
            let place = format!("traffic[{index}]");
            for end in [traffic.from, traffic.to] {
                check(!numbers.contains(&end), place.clone(), format!("there is no exchange {end}"));
            }
            check(traffic.from == traffic.to, place.clone(), "both ends are the same".into());
            check(
                !(traffic.per_s >= 0.0 && traffic.per_s.is_finite()),
                format!("{place}.per_s"),
                format!("{} is not a finite number of at least 0", traffic.per_s),
            );
        }
        check(
            !is_share(self.redials.share),
            "redials.share".into(),
            format!("{} is not a share from 0 to 1", self.redials.share),
        );
        let work = [
            ("look_ms", self.work.look_ms),
            ("set_up_ms", self.work.set_up_ms),
            ("answer_ms", self.work.answer_ms),
            ("release_ms", self.work.release_ms),
        ];
        for (name, ms) in work {
            check(
                !(ms >= 0.0 && ms.is_finite()),
                format!("work.{name}"),
                format!("{ms} is not a finite number of at least 0"),
            );
        }
        errors
    }

    /// The fleet without the exchanges `lost`, their groups and the traffic from and to them.
    pub fn without(&self, lost: &BTreeSet<u16>) -> Self {
        let mut fleet = self.clone();
        fleet.exchanges.retain(|exchange| !lost.contains(&exchange.exchange));
        fleet.groups.retain(|group| group.between.iter().all(|end| !lost.contains(end)));
        fleet.traffic.retain(|traffic| !lost.contains(&traffic.from) && !lost.contains(&traffic.to));
        fleet
    }

    /// The fleet with its traffic multiplied by `factor`.
    pub fn with_growth(&self, factor: f64) -> Self {
        let mut fleet = self.clone();
        fleet.traffic.iter_mut().for_each(|traffic| traffic.per_s *= factor);
        fleet
    }

    /// The exchanges of each region.
    pub fn regions(&self) -> BTreeMap<&str, BTreeSet<u16>> {
        let mut regions: BTreeMap<&str, BTreeSet<u16>> = BTreeMap::new();
        for exchange in &self.exchanges {
            regions.entry(&exchange.region).or_default().insert(exchange.exchange);
        }
        regions
    }
}
