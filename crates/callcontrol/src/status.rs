//! Status of call control: figures and counters, copied out.

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
    /// Calls from other exchanges that stood at a number of this exchange.
    pub terminated: u64,
    /// Seizures given up after their time limit.
    pub timed_out: u64,
    /// Circuits that both ends seized.
    pub dual_seizures: u64,
    /// Circuits of dual seizures that this end yielded.
    pub yielded: u64,
    /// Releases sent again.
    pub releases_repeated: u64,
    /// Resets sent, of single circuits or of systems.
    pub resets: u64,
    /// Circuits that an audit found busy at one end and idle at the other.
    pub stuck_found: u64,
    /// Messages that were invalid, or unexpected in the state of their circuit.
    pub unexpected: u64,
    /// Calls refused because there were too many calls.
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
    pub counters: Counters,
    /// Current calls.
    pub calls: usize,
    /// Calls of subscribers whose final answer is outstanding.
    pub pending_answers: usize,
    pub timers: usize,
    pub traces: usize,
    pub groups: Vec<GroupStatus>,
}

impl Link {
    fn status(&self) -> LinkStatus {
        match self.local_state {
            LocalAspState::Down => LinkStatus::Down,
            _ if self.is_usable() => LinkStatus::Up,
            _ => LinkStatus::Opening,
        }
    }
}

impl CallControl {
    /// Inconsistencies of the state: circuits that carry a call which does not hold them, calls that hold circuits
    /// which do not carry them, pending answers that are not counted. Always empty; for tests and for outside checks.
    pub fn inconsistencies(&self) -> Vec<String> {
        let mut inconsistencies = Vec::new();
        let held = |record: &CallRecord| {
            let incoming = match &record.incoming {
                IncomingSide::Trunk(held) => Some(held.clone()),
                _ => None,
            };
            let outgoing = match &record.outgoing {
                OutgoingSide::Seized(seizure) | OutgoingSide::Standing(seizure) => Some(seizure.held.clone()),
                _ => None,
            };
            incoming.into_iter().chain(outgoing)
        };
        let mut holds = BTreeSet::new();
        for (call, record) in &self.state.calls {
            let indices =
                held(record).flat_map(|held| held.indices.into_iter().map(move |index| (held.to, index)));
            holds.extend(indices.map(|(to, index)| (to, index, *call)));
        }
        let circuits = self
            .state
            .groups
            .iter()
            .flat_map(|(to, group)| group.iter().map(move |(index, c)| (*to, index, c.usage)));
        let carries: BTreeSet<_> =
            circuits.filter_map(|(to, index, usage)| Some((to, index, usage.call()?))).collect();
        for (to, index, call) in carries.symmetric_difference(&holds) {
            inconsistencies.push(format!("{call:?} and circuit {index} to {to:?} do not agree"));
        }
        let pending = self.state.calls.values().filter(|record| {
            matches!(
                (&record.incoming, &record.outgoing),
                (IncomingSide::Subscriber, OutgoingSide::Waiting | OutgoingSide::Seized(_))
            )
        });
        let (pending, counted) = (pending.count(), self.state.pending_answers);
        if pending != counted {
            inconsistencies.push(format!("{pending} answers are pending, {counted} counted"));
        }
        inconsistencies
    }

    pub fn status(&self) -> CallControlStatus {
        let groups = self.state.groups.iter().map(|(to, group)| {
            let mut status = GroupStatus {
                to: *to,
                link: self.state.links.get(to).map_or(LinkStatus::Down, Link::status),
                circuits: usize::from(group.size()),
                free: group.free_count(),
                seized: 0,
                standing: 0,
                releasing: 0,
                resetting: 0,
                blocked: 0,
            };
            for (_, circuit) in group.iter() {
                status.blocked += usize::from(circuit.blocking != Blocking::Unblocked);
                match circuit.usage {
                    CircuitUse::Idle => {}
                    CircuitUse::SeizedOut(_) | CircuitUse::SeizedIn(_) => status.seized += 1,
                    CircuitUse::StandingOut(_) | CircuitUse::StandingIn(_) => status.standing += 1,
                    CircuitUse::Releasing { .. } | CircuitUse::ReleasedWith(_) => status.releasing += 1,
                    CircuitUse::Resetting { .. } => status.resetting += 1,
                }
            }
            status
        });
        CallControlStatus {
            own: self.state.own,
            counters: self.state.counters,
            calls: self.state.calls.len(),
            pending_answers: self.state.pending_answers,
            timers: self.state.timers.len(),
            traces: self.state.traces.len(),
            groups: groups.collect(),
        }
    }
}
