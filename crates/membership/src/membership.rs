//! The membership list in force, and the rules that a new version must satisfy.

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

/// One exchange in the directory's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Entry")]
#[schemars(rename = "Entry")]
pub struct MemberEntry {
    /// Identifies the machine. A machine that replaces another has a new id.
    pub exchange: u32,
    /// The exchange's number in the numbering plan, which is also its point code.
    #[serde(rename = "office")]
    pub exchange_number: u16,
    pub region: u8,
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// How long the exchange's processor has been running, in milliseconds. Absent if it has run for a long time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// A version of the list as the directory sends it: the whole list or changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields, expecting = "struct News")]
#[schemars(rename = "News")]
pub struct MembershipUpdate {
    pub version: u64,
    /// The version to which the changes apply. Absent for a whole list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    pub entries: Vec<MemberEntry>,
}

/// Limits of a membership list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipLimits {
    /// The default is enough for a fleet of a thousand exchanges while every machine is replaced at once.
    pub max_entries: usize,
    /// Point codes have 14 bits.
    pub max_exchange_number: u16,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        Self { max_entries: 2048, max_exchange_number: 16_383 }
    }
}

/// Why a version was rejected. The previous version stays in force. The texts are sent to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    #[error("version {received} is not after {held}")]
    StaleVersion { received: u64, held: u64 },
    #[error("changes against version {since}, but {held} is held")]
    Gap { since: u64, held: u64 },
    #[error("changes against version {since}, but none is held")]
    NoBaseVersion { since: u64 },
    #[error("{count} entries, at most {max}")]
    TooManyEntries { count: usize, max: usize },
    #[error("exchange {exchange}: office {exchange_number} is above {max}")]
    ExchangeNumberOutOfRange { exchange: u32, exchange_number: u16, max: u16 },
    #[error("exchange {exchange} is named twice")]
    DuplicateExchange { exchange: u32 },
    #[error("exchange {exchange}: office {received}, but it is {held}")]
    ExchangeNumberChanged { exchange: u32, received: u16, held: u16 },
    #[error("exchanges {one} and {other} are both ready as office {exchange_number}")]
    DuplicatePointCode { one: u32, other: u32, exchange_number: u16 },
    #[error("a whole list without an entry")]
    EmptyList,
}

/// Whether a version was accepted, to be reported to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    Accepted { version: u64 },
    Rejected { version: u64, reason: RejectReason },
}

/// The change to pass on to the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    Full(Vec<Member>),
    Delta(Vec<Member>),
}

/// An entry with the start time of the exchange's processor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub entry: MemberEntry,
    /// By the controller's clock. Zero means long ago.
    pub started: Duration,
}

/// The membership list in force.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    version: Option<u64>,
    /// By the id of the machine. A whole list replaces all members; an exchange that is gone is removed once another
    /// machine with its number is ready.
    members: BTreeMap<u32, Member>,
    limits: MembershipLimits,
    rejected_updates: u64,
}

/// A stored version, from which a restarted controller continues. `written_ms` is the wall-clock time of writing. Ages
/// are as of that time, so that a restart can add the time since.
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
    #[error("stored membership list is not valid: {0}")]
    Json(#[from] serde_json::Error),
    #[error("stored membership list has format {0}, only format 1 is supported")]
    UnsupportedFormat(u32),
    #[error("stored membership list violates a rule: {0}")]
    Rejected(RejectReason),
}

const SNAPSHOT_FORMAT: u32 = 1;

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

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Accepts or rejects a version from the directory. No part of a rejected version takes effect.
    pub fn apply(
        &mut self,
        now: Duration,
        update: &MembershipUpdate,
    ) -> (UpdateOutcome, Option<MembershipChange>) {
        match self.checked_update(now, update) {
            Ok((members, change)) => {
                (self.version, self.members) = (Some(update.version), members);
                (UpdateOutcome::Accepted { version: update.version }, Some(change))
            }
            Err(reason) => {
                self.rejected_updates += 1;
                (UpdateOutcome::Rejected { version: update.version, reason }, None)
            }
        }
    }

    /// The members after the update, and the change for the controller.
    fn checked_update(
        &self,
        now: Duration,
        update: &MembershipUpdate,
    ) -> Result<(BTreeMap<u32, Member>, MembershipChange), RejectReason> {
        if let Some(held) = self.version.filter(|held| update.version <= *held) {
            return Err(RejectReason::StaleVersion { received: update.version, held });
        }
        match (update.since, self.version) {
            (Some(since), None) => return Err(RejectReason::NoBaseVersion { since }),
            (Some(since), Some(held)) if since != held => return Err(RejectReason::Gap { since, held }),
            (None, _) if update.entries.is_empty() => return Err(RejectReason::EmptyList),
            _ => {}
        }
        let mut updated = BTreeMap::new();
        for entry in &update.entries {
            self.check(entry)?;
            let member = Member { entry: *entry, started: self.start_time(now, entry) };
            if updated.insert(entry.exchange, member).is_some() {
                return Err(RejectReason::DuplicateExchange { exchange: entry.exchange });
            }
        }
        let mut members = if update.since.is_some() { self.members.clone() } else { BTreeMap::new() };
        members.extend(&updated);
        let mut ready_by_number: BTreeMap<u16, u32> = BTreeMap::new();
        let ready = members.values().filter(|member| member.entry.status == MemberStatus::Ready);
        for Member { entry, .. } in ready {
            if let Some(one) = ready_by_number.insert(entry.exchange_number, entry.exchange) {
                return Err(RejectReason::DuplicatePointCode {
                    one,
                    other: entry.exchange,
                    exchange_number: entry.exchange_number,
                });
            }
        }
        // An exchange that is gone and replaced is still part of the change passed on, but is not kept as a member.
        members.retain(|_, member| {
            member.entry.status != MemberStatus::Gone
                || !ready_by_number.contains_key(&member.entry.exchange_number)
        });
        if members.len() > self.limits.max_entries {
            return Err(RejectReason::TooManyEntries { count: members.len(), max: self.limits.max_entries });
        }
        let updated = updated.into_values().collect();
        let is_delta = update.since.is_some();
        Ok((
            members,
            if is_delta { MembershipChange::Delta(updated) } else { MembershipChange::Full(updated) },
        ))
    }

    fn check(&self, entry: &MemberEntry) -> Result<(), RejectReason> {
        let MemberEntry { exchange, exchange_number, .. } = *entry;
        if exchange_number > self.limits.max_exchange_number {
            return Err(RejectReason::ExchangeNumberOutOfRange {
                exchange,
                exchange_number,
                max: self.limits.max_exchange_number,
            });
        }
        match self.members.get(&exchange) {
            Some(member) if member.entry.exchange_number != exchange_number => {
                Err(RejectReason::ExchangeNumberChanged {
                    exchange,
                    received: exchange_number,
                    held: member.entry.exchange_number,
                })
            }
            _ => Ok(()),
        }
    }

    /// The start time of the processor. A known start time is kept until the processor has restarted: ages arrive late
    /// and rounded, so a start time that moves by less than the tolerance is not a restart.
    fn start_time(&self, now: Duration, entry: &MemberEntry) -> Duration {
        const TOLERANCE: Duration = Duration::from_secs(5);
        let received =
            entry.age_ms.map_or(Duration::ZERO, |age| now.saturating_sub(Duration::from_millis(age)));
        match self.members.get(&entry.exchange) {
            Some(member) if !member.started.is_zero() && member.started.abs_diff(received) < TOLERANCE => {
                member.started
            }
            _ => received,
        }
    }

    /// The membership list in force, to be stored. `wall_ms` is the wall-clock time. `None` before the first version.
    pub fn snapshot(&self, now: Duration, wall_ms: u64) -> Option<Snapshot> {
        let with_current_age = |member: &Member| {
            let age_ms =
                (!member.started.is_zero()).then(|| now.saturating_sub(member.started).as_millis() as u64);
            MemberEntry { age_ms, ..member.entry }
        };
        let entries = self.members.values().map(with_current_age).collect();
        Some(Snapshot { format: SNAPSHOT_FORMAT, written_ms: wall_ms, version: self.version?, entries })
    }

    /// Restores the list from the JSON text of a [`Snapshot`]. If the wall clock was set back since, ages stay as they
    /// were stored.
    pub fn restore(
        limits: MembershipLimits,
        now: Duration,
        wall_ms: u64,
        text: &[u8],
    ) -> Result<(Self, MembershipChange), SnapshotError> {
        let snapshot: Snapshot = serde_json::from_slice(text)?;
        if snapshot.format != SNAPSHOT_FORMAT {
            return Err(SnapshotError::UnsupportedFormat(snapshot.format));
        }
        let elapsed_ms = wall_ms.saturating_sub(snapshot.written_ms);
        let with_current_age = |entry: &MemberEntry| MemberEntry {
            age_ms: entry.age_ms.map(|age_ms| age_ms.saturating_add(elapsed_ms)),
            ..*entry
        };
        let entries = snapshot.entries.iter().map(with_current_age).collect();
        let mut membership = Self::new(limits);
        match membership.apply(now, &MembershipUpdate { version: snapshot.version, since: None, entries }) {
            (UpdateOutcome::Accepted { .. }, Some(change)) => Ok((membership, change)),
            (UpdateOutcome::Rejected { reason, .. }, _) => Err(SnapshotError::Rejected(reason)),
            (UpdateOutcome::Accepted { .. }, None) => Err(SnapshotError::Rejected(RejectReason::EmptyList)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Duration = Duration::from_secs(3600);

    fn entry(exchange: u32, exchange_number: u16, status: MemberStatus) -> MemberEntry {
        MemberEntry { exchange, exchange_number, region: 0, status, age_ms: None }
    }

    fn full_list(version: u64, entries: Vec<MemberEntry>) -> MembershipUpdate {
        MembershipUpdate { version, since: None, entries }
    }

    /// Version 5: exchanges 10 and 20, ready as numbers 1 and 2.
    fn two_ready_exchanges() -> Membership {
        let mut membership = Membership::default();
        let list = vec![entry(10, 1, MemberStatus::Ready), entry(20, 2, MemberStatus::Ready)];
        assert_eq!(membership.apply(NOW, &full_list(5, list)).0, UpdateOutcome::Accepted { version: 5 });
        membership
    }

    #[test]
    fn changes_apply_only_to_the_version_that_they_name() {
        let mut membership = two_ready_exchanges();
        let update = MembershipUpdate {
            version: 7,
            since: Some(6),
            entries: vec![entry(20, 2, MemberStatus::Draining)],
        };
        let gap = RejectReason::Gap { since: 6, held: 5 };
        assert_eq!(
            membership.apply(NOW, &update),
            (UpdateOutcome::Rejected { version: 7, reason: gap }, None)
        );
        let (outcome, change) = membership.apply(NOW, &MembershipUpdate { since: Some(5), ..update });
        assert_eq!(outcome, UpdateOutcome::Accepted { version: 7 });
        assert!(matches!(change, Some(MembershipChange::Delta(members)) if members.len() == 1));
    }

    #[test]
    fn an_update_that_violates_a_rule_changes_nothing() {
        let mut membership = two_ready_exchanges();
        let mut rejection = |update: &MembershipUpdate| match membership.apply(NOW, update) {
            (UpdateOutcome::Rejected { reason, .. }, None) => reason,
            accepted => panic!("{accepted:?}"),
        };
        let twice = vec![entry(30, 3, MemberStatus::Ready), entry(30, 3, MemberStatus::Ready)];
        assert_eq!(rejection(&full_list(6, twice)), RejectReason::DuplicateExchange { exchange: 30 });
        assert_eq!(rejection(&full_list(6, vec![])), RejectReason::EmptyList);
        assert_eq!(
            rejection(&full_list(5, vec![entry(10, 1, MemberStatus::Ready)])),
            RejectReason::StaleVersion { received: 5, held: 5 }
        );
        let out_of_range =
            RejectReason::ExchangeNumberOutOfRange { exchange: 10, exchange_number: 20_000, max: 16_383 };
        assert_eq!(rejection(&full_list(6, vec![entry(10, 20_000, MemberStatus::Ready)])), out_of_range);
        let changed = RejectReason::ExchangeNumberChanged { exchange: 10, received: 3, held: 1 };
        assert_eq!(rejection(&full_list(6, vec![entry(10, 3, MemberStatus::Ready)])), changed);
        let same_number =
            MembershipUpdate { version: 6, since: Some(5), entries: vec![entry(11, 1, MemberStatus::Ready)] };
        assert_eq!(
            rejection(&same_number),
            RejectReason::DuplicatePointCode { one: 10, other: 11, exchange_number: 1 }
        );
        assert_eq!(
            (membership.version(), membership.members().count(), membership.rejected_updates()),
            (Some(5), 2, 6)
        );
    }

    #[test]
    fn a_replaced_machine_is_passed_on_as_gone_and_then_dropped() {
        let mut membership = two_ready_exchanges();
        let entries = vec![entry(20, 2, MemberStatus::Gone), entry(21, 2, MemberStatus::Ready)];
        let (_, change) = membership.apply(NOW, &MembershipUpdate { version: 6, since: Some(5), entries });
        assert!(matches!(change, Some(MembershipChange::Delta(members)) if members.len() == 2));
        assert_eq!(membership.members().map(|member| member.entry.exchange).collect::<Vec<_>>(), [10, 21]);
    }

    #[test]
    fn a_rounded_age_keeps_the_start_time_and_a_restart_changes_it() {
        let mut membership = Membership::default();
        let aged = |age| vec![MemberEntry { age_ms: Some(age), ..entry(10, 1, MemberStatus::Ready) }];
        membership.apply(NOW, &full_list(1, aged(2000)));
        let first = membership.members().next().unwrap().started;
        membership.apply(NOW + Duration::from_secs(10), &full_list(2, aged(12_400)));
        assert_eq!(membership.members().next().unwrap().started, first);
        membership.apply(NOW + Duration::from_secs(20), &full_list(3, aged(1000)));
        assert_eq!(membership.members().next().unwrap().started, NOW + Duration::from_secs(19));
    }

    #[test]
    fn restored_ages_include_the_time_since_the_snapshot() {
        let mut membership = Membership::default();
        let cold = MemberEntry { age_ms: Some(2000), ..entry(10, 1, MemberStatus::Ready) };
        membership.apply(NOW, &full_list(9, vec![cold, entry(20, 2, MemberStatus::Draining)]));
        let text = serde_json::to_vec(&membership.snapshot(NOW, 1_000_000).unwrap()).unwrap();
        let (restored, change) =
            Membership::restore(MembershipLimits::default(), NOW, 1_003_000, &text).unwrap();
        assert_eq!(restored.version(), Some(9));
        let MembershipChange::Full(members) = change else { panic!("expected a full list") };
        assert_eq!((members[0].started, members[1].started), (NOW - Duration::from_secs(5), Duration::ZERO));
        assert!(Membership::restore(MembershipLimits::default(), NOW, 0, &text[..text.len() - 3]).is_err());
        let newer = String::from_utf8(text).unwrap().replace("\"format\":1", "\"format\":2");
        let error = Membership::restore(MembershipLimits::default(), NOW, 0, newer.as_bytes()).err().unwrap();
        assert_eq!(error.to_string(), "stored membership list has format 2, only format 1 is supported");
    }
}
