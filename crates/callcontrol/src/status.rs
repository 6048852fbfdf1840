//! What is shown of an office: plain figures, copied out.

use std::collections::BTreeSet;

use mintstall::interface::ExchangeNumber;

use crate::callcontrol::CallControl;
use crate::calls::{CallRecord, IncomingSide, OutgoingSide};
use crate::circuits::{Blocking, CircuitUse};
use crate::links::{Link, LocalAspState};

/// Counts since start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub offered: u64,
    pub transit: u64,
    pub seizures: u64,
    pub stood: u64,
    pub refused: u64,
    pub failed: u64,
    /// Standing calls that were cut.
    pub cut: u64,
    /// Calls that came in for a number here and stood.
    pub terminated: u64,
    /// Seizures given up after their limit, circuits that both ends seized, and of those the ones yielded.
    pub timed_out: u64,
    pub dual_seizures: u64,
    pub yielded: u64,
    /// Releases sent again, circuits reset.
    pub releases_repeated: u64,
    pub resets: u64,
    /// Circuits that an audit found busy at one end and idle at the other.
    pub stuck_found: u64,
    /// Messages that made no sense, or none in the state of their circuit.
    pub unexpected: u64,
    /// Offers turned away because too many calls were in hand.
    pub overflow: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStatus {
    Down,
    Opening,
    Up,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupStatus {
    pub to: ExchangeNumber,
    pub link: LinkStatus,
    pub circuits: usize,
    pub free: usize,
    pub seized: usize,
    pub standing: usize,
    pub releasing: usize,
    pub resetting: usize,
    pub blocked: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallControlStatus {
    pub own: ExchangeNumber,
    pub tally: Counters,
    /// Calls in hand, and those of them that wait for their final answer.
    pub calls: usize,
    pub owed: usize,
    pub timers: usize,
    pub traces: usize,
    pub groups: Vec<GroupStatus>,
}

impl Link {
    fn state(&self) -> LinkStatus {
        match self.phase {
            LocalAspState::Down => LinkStatus::Down,
            _ if self.usable() => LinkStatus::Up,
            _ => LinkStatus::Opening,
        }
    }
}

impl CallControl {
    /// What its books hold against each other: circuits that carry a call that does not hold them, calls that hold circuits
    /// which do not carry them, answers owed that nobody counts. None, ever; for tests and for a look from outside.
    pub fn inconsistencies(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let held = |leg: &CallRecord| {
            let source = match &leg.source {
                IncomingSide::Trunk(held) => Some(held.clone()),
                _ => None,
            };
            let sink = match &leg.sink {
                OutgoingSide::Seized(out) | OutgoingSide::Standing(out) => Some(out.held.clone()),
                _ => None,
            };
            source.into_iter().chain(sink)
        };
        let mut holds = BTreeSet::new();
        for (call, leg) in &self.desk.calls {
            let indices =
                held(leg).flat_map(|held| held.indices.into_iter().map(move |index| (held.to, index)));
            holds.extend(indices.map(|(to, index)| (to, index, *call)));
        }
        let circuits =
            self.desk.groups.iter().flat_map(|(to, group)| group.all().map(move |(no, c)| (*to, no, c.used)));
        let carries: BTreeSet<_> =
            circuits.filter_map(|(to, no, used)| Some((to, no, used.call()?))).collect();
        for (to, index, call) in carries.symmetric_difference(&holds) {
            faults.push(format!("{call:?} and circuit {index} to {to:?} do not agree"));
        }
        let owed = self.desk.calls.values().filter(|leg| {
            matches!(
                (&leg.source, &leg.sink),
                (IncomingSide::Subscriber, OutgoingSide::Open | OutgoingSide::Seized(_))
            )
        });
        let (owed, counted) = (owed.count(), self.desk.owed);
        if owed != counted {
            faults.push(format!("{owed} answers are owed, {counted} counted"));
        }
        faults
    }

    pub fn state(&self) -> CallControlStatus {
        let groups = self.desk.groups.iter().map(|(to, group)| {
            let mut state = GroupStatus {
                to: *to,
                link: self.desk.links.get(to).map_or(LinkStatus::Down, Link::state),
                circuits: usize::from(group.size()),
                free: group.free(),
                seized: 0,
                standing: 0,
                releasing: 0,
                resetting: 0,
                blocked: 0,
            };
            for (_, circuit) in group.all() {
                state.blocked += usize::from(circuit.blocked != Blocking::Open);
                match circuit.used {
                    CircuitUse::Idle => {}
                    CircuitUse::SeizedOut(_) | CircuitUse::SeizedIn(_) => state.seized += 1,
                    CircuitUse::StandingOut(_) | CircuitUse::StandingIn(_) => state.standing += 1,
                    CircuitUse::Releasing { .. } | CircuitUse::ReleasedWith(_) => state.releasing += 1,
                    CircuitUse::Resetting { .. } => state.resetting += 1,
                }
            }
            state
        });
        CallControlStatus {
            own: self.desk.own,
            tally: self.desk.tally,
            calls: self.desk.calls.len(),
            owed: self.desk.owed,
            timers: self.desk.timers.len(),
            traces: self.desk.traces.len(),
            groups: groups.collect(),
        }
    }
}
