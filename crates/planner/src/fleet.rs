//! The description of a fleet: exchanges, groups, what is offered between them, and how callers behave.

use std::collections::{BTreeMap, BTreeSet};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A fleet. Times are seconds or milliseconds as their names say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub exchanges: Vec<Exchange>,
    pub groups: Vec<Group>,
    pub call_types: Vec<CallType>,
    /// First tries a second from one exchange to another, of all call types together.
    pub traffic: Vec<Traffic>,
    #[serde(default)]
    pub redials: Redials,
    #[serde(default)]
    pub work: Work,
    /// Circuits of a tandem's first leg that are left to direct calls.
    #[serde(default = "reserved")]
    pub reserved: u16,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Exchange {
    pub exchange: u16,
    #[serde(default)]
    pub region: String,
    /// Of its processor, 1 being that on which the work was measured.
    #[serde(default = "one")]
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
    /// Of all first tries.
    pub share: f64,
    #[serde(default = "one_circuit")]
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

/// Callers whose call does not stand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Redials {
    /// Share of them that dials again.
    pub share: f64,
    /// How often at most.
    pub most: u8,
}

impl Default for Redials {
    fn default() -> Self {
        Self { share: 0.9, most: 2 }
    }
}

/// What a processor does for a call, milliseconds at speed 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Work {
    /// For a caller's try, at its own exchange.
    pub look_ms: f64,
    /// For a set-up that arrives, at a tandem or a destination.
    pub set_up_ms: f64,
    pub answer_ms: f64,
    pub release_ms: f64,
}

impl Default for Work {
    fn default() -> Self {
        Self { look_ms: 1.0, set_up_ms: 2.0, answer_ms: 1.0, release_ms: 0.5 }
    }
}

fn one() -> f64 {
    1.0
}

fn one_circuit() -> u16 {
    1
}

fn reserved() -> u16 {
    2
}

impl Fleet {
    /// Every fault, each with its place.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut say = |wrong: bool, place: String, why: String| {
            if wrong {
                found.push(format!("{place}: {why}"));
            }
        };
        let above = |value: f64| value > 0.0 && value.is_finite();
        let share = |value: f64| (0.0..=1.0).contains(&value);
        let mut known = BTreeSet::new();
        say(!(2..=1000).contains(&self.exchanges.len()), "exchanges".into(), "are not 2 to 1000".into());
        for (at, of) in self.exchanges.iter().enumerate() {
            let place = format!("exchanges[{at}]");
            say(
                !known.insert(of.exchange),
                format!("{place}.exchange"),
                format!("{} is named before", of.exchange),
            );
            say(!above(of.speed), format!("{place}.speed"), format!("{} is not above 0", of.speed));
        }
        let mut pairs = BTreeSet::new();
        for (at, group) in self.groups.iter().enumerate() {
            let (place, [a, b]) = (format!("groups[{at}]"), group.between);
            for end in [a, b] {
                say(!known.contains(&end), format!("{place}.between"), format!("there is no exchange {end}"));
            }
            say(a == b, format!("{place}.between"), "both ends are the same".into());
            say(
                !pairs.insert((a.min(b), a.max(b))),
                format!("{place}.between"),
                "has a group already".into(),
            );
            say(
                group.circuits > 3968,
                format!("{place}.circuits"),
                format!("{} are more than 3968", group.circuits),
            );
        }
        say(self.call_types.is_empty(), "call_types".into(), "are missing".into());
        for (at, of) in self.call_types.iter().enumerate() {
            let place = format!("call_types[{at}]");
            say(!share(of.share), format!("{place}.share"), format!("{} is no share", of.share));
            say(
                !(1..=31).contains(&of.width),
                format!("{place}.width"),
                format!("{} is not within 1 to 31", of.width),
            );
            say(!above(of.hold_s), format!("{place}.hold_s"), format!("{} is not above 0", of.hold_s));
        }
        let whole: f64 = self.call_types.iter().map(|of| of.share).sum();
        say((whole - 1.0).abs() > 1e-6, "call_types".into(), format!("their shares make {whole}, not 1"));
        for (at, of) in self.traffic.iter().enumerate() {
            let place = format!("traffic[{at}]");
            for end in [of.from, of.to] {
                say(!known.contains(&end), place.clone(), format!("there is no exchange {end}"));
            }
            say(of.from == of.to, place.clone(), "both ends are the same".into());
            say(
                !(of.per_s >= 0.0 && of.per_s.is_finite()),
                format!("{place}.per_s"),
                format!("{} is below 0", of.per_s),
            );
        }
        say(
            !share(self.redials.share),
            "redials.share".into(),
            format!("{} is no share", self.redials.share),
        );
        let work = [
            ("look_ms", self.work.look_ms),
            ("set_up_ms", self.work.set_up_ms),
            ("answer_ms", self.work.answer_ms),
            ("release_ms", self.work.release_ms),
        ];
        for (name, ms) in work {
            say(!(ms >= 0.0 && ms.is_finite()), format!("work.{name}"), format!("{ms} is below 0"));
        }
        found
    }

    /// Without some exchanges: their groups go, and so does what came from or went to them.
    pub fn without(&self, lost: &BTreeSet<u16>) -> Self {
        let mut fleet = self.clone();
        fleet.exchanges.retain(|of| !lost.contains(&of.exchange));
        fleet.groups.retain(|group| group.between.iter().all(|end| !lost.contains(end)));
        fleet.traffic.retain(|of| !lost.contains(&of.from) && !lost.contains(&of.to));
        fleet
    }

    /// With so many times the traffic.
    pub fn grown(&self, times: f64) -> Self {
        let mut fleet = self.clone();
        fleet.traffic.iter_mut().for_each(|of| of.per_s *= times);
        fleet
    }

    /// Exchanges of each region.
    pub fn regions(&self) -> BTreeMap<&str, BTreeSet<u16>> {
        let mut regions: BTreeMap<&str, BTreeSet<u16>> = BTreeMap::new();
        for of in &self.exchanges {
            regions.entry(&of.region).or_default().insert(of.exchange);
        }
        regions
    }
}
