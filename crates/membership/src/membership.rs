//! The roster and what a new version must keep to.

use std::collections::BTreeMap;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Standing")]
pub enum MemberStatus {
    Ready,
    Draining,
    Gone,
}

/// One exchange as the directory names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Entry")]
#[schemars(rename = "Entry")]
pub struct MemberEntry {
    /// The machine: a new one that takes another's place has a new id.
    pub exchange: u32,
    /// Its number in the numbering plan, also its point code.
    pub office: u16,
    pub region: u8,
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// How long its processor has been running, milliseconds; none: long.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// What a directory says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields, expecting = "struct News")]
#[schemars(rename = "News")]
pub struct MembershipUpdate {
    pub version: u64,
    /// The version that these are the changes against; none: the whole list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    pub entries: Vec<MemberEntry>,
}

/// What a roster may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipLimits {
    /// Entries: as many as a fleet of a thousand needs while every machine is replaced at once.
    pub entries: usize,
    /// Point codes have 14 bits.
    pub highest_office: u16,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        Self { entries: 2048, highest_office: 16_383 }
    }
}

/// Why a version was turned down; the one before stays in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    #[error("version {told} is not after {held}")]
    StaleVersion { told: u64, held: u64 },
    #[error("changes against version {since}, but {held} is held")]
    Gap { since: u64, held: u64 },
    #[error("changes against version {since}, but none is held")]
    NoBaseVersion { since: u64 },
    #[error("{count} entries, at most {most}")]
    TooMany { count: usize, most: usize },
    #[error("exchange {exchange}: office {office} is above {most}")]
    Office { exchange: u32, office: u16, most: u16 },
    #[error("exchange {exchange} is named twice")]
    DuplicateExchange { exchange: u32 },
    #[error("exchange {exchange}: office {told}, but it is {held}")]
    Moved { exchange: u32, told: u16, held: u16 },
    #[error("exchanges {one} and {other} are both ready as office {office}")]
    DuplicatePointCode { one: u32, other: u32, office: u16 },
    #[error("a whole list without an entry")]
    Empty,
}

/// What is answered to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    Accepted { version: u64 },
    Rejected { version: u64, why: RejectReason },
}

/// What the controller is to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    Full(Vec<Member>),
    Delta(Vec<Member>),
}

/// An entry with the time its processor started, on the clock of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub entry: MemberEntry,
    /// Zero: long ago.
    pub started: Duration,
}

/// The roster in force.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    version: Option<u64>,
    /// Emptied by whole lists, and of what is gone and replaced.
    held: BTreeMap<u32, Member>,
    limits: MembershipLimits,
    rejected_updates: u64,
}

/// A version written out to come back to. Ages are those of the moment it was written; `written_ms` is wall time, so that
/// they grow while the controller is down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Kept")]
pub struct Snapshot {
    pub format: u32,
    pub written_ms: u64,
    pub version: u64,
    pub entries: Vec<MemberEntry>,
}

#[derive(Debug, Error)]
pub enum SnapshotError {
    #[error("the kept roster makes no sense: {0}")]
    Text(#[from] serde_json::Error),
    #[error("the kept roster has format {0}, at most 1 is known")]
    Format(u32),
    #[error("the kept roster breaks a rule: {0}")]
    Refused(RejectReason),
}

const FORMAT: u32 = 1;

impl Membership {
    pub fn new(limits: MembershipLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    pub fn version(&self) -> Option<u64> {
        self.version
    }

    pub fn rejected_updates(&self) -> u64 {
        self.rejected_updates
    }

    pub fn entries(&self) -> impl Iterator<Item = &Member> {
        self.held.values()
    }

    /// Takes or turns down what the directory says; nothing of a version that is turned down takes effect.
    pub fn apply(
        &mut self,
        now: Duration,
        news: &MembershipUpdate,
    ) -> (UpdateOutcome, Option<MembershipChange>) {
        match self.next(now, news) {
            Ok((held, told)) => {
                (self.version, self.held) = (Some(news.version), held);
                (UpdateOutcome::Accepted { version: news.version }, Some(told))
            }
            Err(why) => {
                self.rejected_updates += 1;
                (UpdateOutcome::Rejected { version: news.version, why }, None)
            }
        }
    }

    fn next(
        &self,
        now: Duration,
        news: &MembershipUpdate,
    ) -> Result<(BTreeMap<u32, Member>, MembershipChange), RejectReason> {
        if let Some(held) = self.version.filter(|held| news.version <= *held) {
            return Err(RejectReason::StaleVersion { told: news.version, held });
        }
        match (news.since, self.version) {
            (Some(since), None) => return Err(RejectReason::NoBaseVersion { since }),
            (Some(since), Some(held)) if since != held => return Err(RejectReason::Gap { since, held }),
            (None, _) if news.entries.is_empty() => return Err(RejectReason::Empty),
            _ => {}
        }
        let mut seen = BTreeMap::new();
        for entry in &news.entries {
            self.check(entry)?;
            let held = Member { entry: *entry, started: self.started(now, entry) };
            if seen.insert(entry.exchange, held).is_some() {
                return Err(RejectReason::DuplicateExchange { exchange: entry.exchange });
            }
        }
        let mut next = if news.since.is_some() { self.held.clone() } else { BTreeMap::new() };
        next.extend(&seen);
        let mut ready: BTreeMap<u16, u32> = BTreeMap::new();
        for Member { entry, .. } in next.values().filter(|held| held.entry.status == MemberStatus::Ready) {
            if let Some(one) = ready.insert(entry.office, entry.exchange) {
                return Err(RejectReason::DuplicatePointCode {
                    one,
                    other: entry.exchange,
                    office: entry.office,
                });
            }
        }
        // What is gone and replaced is named once more, to those who are told, and then dropped.
        next.retain(|_, held| {
            held.entry.status != MemberStatus::Gone || !ready.contains_key(&held.entry.office)
        });
        if next.len() > self.limits.entries {
            return Err(RejectReason::TooMany { count: next.len(), most: self.limits.entries });
        }
        let lines = seen.into_values().collect();
        Ok((
            next,
            if news.since.is_some() { MembershipChange::Delta(lines) } else { MembershipChange::Full(lines) },
        ))
    }

    fn check(&self, entry: &MemberEntry) -> Result<(), RejectReason> {
        let MemberEntry { exchange, office, .. } = *entry;
        if office > self.limits.highest_office {
            return Err(RejectReason::Office { exchange, office, most: self.limits.highest_office });
        }
        match self.held.get(&exchange) {
            Some(held) if held.entry.office != office => {
                Err(RejectReason::Moved { exchange, told: office, held: held.entry.office })
            }
            _ => Ok(()),
        }
    }

    /// A start that is known stays as it was first reckoned, unless the processor started again since: ages come late
    /// and rounded, and an exchange whose start moved a little has not restarted.
    fn started(&self, now: Duration, entry: &MemberEntry) -> Duration {
        const ROUNDING: Duration = Duration::from_secs(5);
        let told = entry.age_ms.map_or(Duration::ZERO, |age| now.saturating_sub(Duration::from_millis(age)));
        match self.held.get(&entry.exchange) {
            Some(held) if !held.started.is_zero() && held.started.abs_diff(told) < ROUNDING => held.started,
            _ => told,
        }
    }

    /// The roster in force, to be written out.
    pub fn snapshot(&self, now: Duration, wall_ms: u64) -> Option<Snapshot> {
        let aged = |held: &Member| {
            let age = (!held.started.is_zero()).then(|| now.saturating_sub(held.started).as_millis() as u64);
            MemberEntry { age_ms: age, ..held.entry }
        };
        let entries = self.held.values().map(aged).collect();
        Some(Snapshot { format: FORMAT, written_ms: wall_ms, version: self.version?, entries })
    }

    /// Reads back what `snapshot` gave. A clock that stepped back counts as no time passed.
    pub fn restore(
        limits: MembershipLimits,
        now: Duration,
        wall_ms: u64,
        text: &[u8],
    ) -> Result<(Self, MembershipChange), SnapshotError> {
        let kept: Snapshot = serde_json::from_slice(text)?;
        if kept.format != FORMAT {
            return Err(SnapshotError::Format(kept.format));
        }
        let away = wall_ms.saturating_sub(kept.written_ms);
        let older = |entry: &MemberEntry| MemberEntry {
            age_ms: entry.age_ms.map(|age| age.saturating_add(away)),
            ..*entry
        };
        let entries = kept.entries.iter().map(older).collect();
        let mut roster = Self::new(limits);
        match roster.apply(now, &MembershipUpdate { version: kept.version, since: None, entries }) {
            (UpdateOutcome::Accepted { .. }, Some(told)) => Ok((roster, told)),
            (UpdateOutcome::Rejected { why, .. }, _) => Err(SnapshotError::Refused(why)),
            (UpdateOutcome::Accepted { .. }, None) => Err(SnapshotError::Refused(RejectReason::Empty)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Duration = Duration::from_secs(3600);

    fn entry(exchange: u32, office: u16, status: MemberStatus) -> MemberEntry {
        MemberEntry { exchange, office, region: 0, status, age_ms: None }
    }

    fn whole(version: u64, entries: Vec<MemberEntry>) -> MembershipUpdate {
        MembershipUpdate { version, since: None, entries }
    }

    fn two() -> Membership {
        let mut roster = Membership::default();
        let list = vec![entry(10, 1, MemberStatus::Ready), entry(20, 2, MemberStatus::Ready)];
        assert_eq!(roster.apply(NOW, &whole(5, list)).0, UpdateOutcome::Accepted { version: 5 });
        roster
    }

    #[test]
    fn changes_apply_to_the_version_they_name_and_to_no_other() {
        let mut roster = two();
        let change = MembershipUpdate {
            version: 7,
            since: Some(6),
            entries: vec![entry(20, 2, MemberStatus::Draining)],
        };
        let gap = RejectReason::Gap { since: 6, held: 5 };
        assert_eq!(roster.apply(NOW, &change), (UpdateOutcome::Rejected { version: 7, why: gap }, None));
        let (verdict, told) = roster.apply(NOW, &MembershipUpdate { since: Some(5), ..change });
        assert_eq!(verdict, UpdateOutcome::Accepted { version: 7 });
        assert!(matches!(told, Some(MembershipChange::Delta(lines)) if lines.len() == 1));
    }

    #[test]
    fn what_breaks_a_rule_is_turned_down_whole() {
        let mut roster = two();
        let mut down = |news: &MembershipUpdate| match roster.apply(NOW, news) {
            (UpdateOutcome::Rejected { why, .. }, None) => why,
            taken => panic!("{taken:?}"),
        };
        let twice = vec![entry(30, 3, MemberStatus::Ready), entry(30, 3, MemberStatus::Ready)];
        assert_eq!(down(&whole(6, twice)), RejectReason::DuplicateExchange { exchange: 30 });
        assert_eq!(down(&whole(6, vec![])), RejectReason::Empty);
        assert_eq!(
            down(&whole(5, vec![entry(10, 1, MemberStatus::Ready)])),
            RejectReason::StaleVersion { told: 5, held: 5 }
        );
        let high = RejectReason::Office { exchange: 10, office: 20_000, most: 16_383 };
        assert_eq!(down(&whole(6, vec![entry(10, 20_000, MemberStatus::Ready)])), high);
        let moved = RejectReason::Moved { exchange: 10, told: 3, held: 1 };
        assert_eq!(down(&whole(6, vec![entry(10, 3, MemberStatus::Ready)])), moved);
        let same =
            MembershipUpdate { version: 6, since: Some(5), entries: vec![entry(11, 1, MemberStatus::Ready)] };
        assert_eq!(down(&same), RejectReason::DuplicatePointCode { one: 10, other: 11, office: 1 });
        assert_eq!((roster.version(), roster.entries().count(), roster.rejected_updates()), (Some(5), 2, 6));
    }

    #[test]
    fn a_replaced_machine_is_told_gone_and_then_forgotten() {
        let mut roster = two();
        let entries = vec![entry(20, 2, MemberStatus::Gone), entry(21, 2, MemberStatus::Ready)];
        let (_, told) = roster.apply(NOW, &MembershipUpdate { version: 6, since: Some(5), entries });
        assert!(matches!(told, Some(MembershipChange::Delta(lines)) if lines.len() == 2));
        assert_eq!(roster.entries().map(|held| held.entry.exchange).collect::<Vec<_>>(), [10, 21]);
    }

    #[test]
    fn a_start_told_with_rounding_is_the_same_start_and_a_later_one_is_not() {
        let mut roster = Membership::default();
        let aged = |age| vec![MemberEntry { age_ms: Some(age), ..entry(10, 1, MemberStatus::Ready) }];
        roster.apply(NOW, &whole(1, aged(2000)));
        let first = roster.entries().next().unwrap().started;
        roster.apply(NOW + Duration::from_secs(10), &whole(2, aged(12_400)));
        assert_eq!(roster.entries().next().unwrap().started, first);
        roster.apply(NOW + Duration::from_secs(20), &whole(3, aged(1000)));
        assert_eq!(roster.entries().next().unwrap().started, NOW + Duration::from_secs(19));
    }

    #[test]
    fn a_kept_roster_comes_back_older_by_the_time_away() {
        let mut roster = Membership::default();
        let cold = MemberEntry { age_ms: Some(2000), ..entry(10, 1, MemberStatus::Ready) };
        roster.apply(NOW, &whole(9, vec![cold, entry(20, 2, MemberStatus::Draining)]));
        let text = serde_json::to_vec(&roster.snapshot(NOW, 1_000_000).unwrap()).unwrap();
        let (back, told) = Membership::restore(MembershipLimits::default(), NOW, 1_003_000, &text).unwrap();
        assert_eq!(back.version(), Some(9));
        let MembershipChange::Full(lines) = told else { panic!("changes") };
        assert_eq!((lines[0].started, lines[1].started), (NOW - Duration::from_secs(5), Duration::ZERO));
        assert!(Membership::restore(MembershipLimits::default(), NOW, 0, &text[..text.len() - 3]).is_err());
        let newer = String::from_utf8(text).unwrap().replace("\"format\":1", "\"format\":2");
        let error = Membership::restore(MembershipLimits::default(), NOW, 0, newer.as_bytes()).err().unwrap();
        assert_eq!(error.to_string(), "the kept roster has format 2, at most 1 is known");
    }
}
