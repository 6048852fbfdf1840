//! What is shown of an office: plain figures, copied out.

use std::collections::BTreeSet;

use mintstall::interface::ExchangeNumber;

use crate::circuits::{Blocked, Use};
use crate::legs::{Leg, Sink, Source};
use crate::links::{Link, Phase};
use crate::office::Office;

/// Counts since start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
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
pub enum LinkState {
    Down,
    Opening,
    Up,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupState {
    pub to: ExchangeNumber,
    pub link: LinkState,
    pub circuits: usize,
    pub free: usize,
    pub seized: usize,
    pub standing: usize,
    pub releasing: usize,
    pub resetting: usize,
    pub blocked: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OfficeState {
    pub own: ExchangeNumber,
    pub tally: Tally,
    /// Calls in hand, and those of them that wait for their final answer.
    pub calls: usize,
    pub owed: usize,
    pub timers: usize,
    pub traces: usize,
    pub groups: Vec<GroupState>,
}

impl Link {
    fn state(&self) -> LinkState {
        match self.phase {
            Phase::Down => LinkState::Down,
            _ if self.usable() => LinkState::Up,
            _ => LinkState::Opening,
        }
    }
}

impl Office {
    /// What its books hold against each other: circuits that carry a call that does not hold them, calls that hold circuits
    /// which do not carry them, answers owed that nobody counts. None, ever; for tests and for a look from outside.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let held = |leg: &Leg| {
            let source = match &leg.source {
                Source::Trunk(held) => Some(held.clone()),
                _ => None,
            };
            let sink = match &leg.sink {
                Sink::Seized(out) | Sink::Standing(out) => Some(out.held.clone()),
                _ => None,
            };
            source.into_iter().chain(sink)
        };
        let mut holds = BTreeSet::new();
        for (call, leg) in &self.desk.legs {
            let places =
                held(leg).flat_map(|held| held.places.into_iter().map(move |place| (held.to, place)));
            holds.extend(places.map(|(to, place)| (to, place, *call)));
        }
        let circuits =
            self.desk.groups.iter().flat_map(|(to, group)| group.all().map(move |(no, c)| (*to, no, c.used)));
        let carries: BTreeSet<_> =
            circuits.filter_map(|(to, no, used)| Some((to, no, used.call()?))).collect();
        for (to, place, call) in carries.symmetric_difference(&holds) {
            faults.push(format!("{call:?} and circuit {place} to {to:?} do not agree"));
        }
        let owed = self.desk.legs.values().filter(|leg| {
            matches!((&leg.source, &leg.sink), (Source::Subscriber, Sink::Open | Sink::Seized(_)))
        });
        let (owed, counted) = (owed.count(), self.desk.owed);
        if owed != counted {
            faults.push(format!("{owed} answers are owed, {counted} counted"));
        }
        faults
    }

    pub fn state(&self) -> OfficeState {
        let groups = self.desk.groups.iter().map(|(to, group)| {
            let mut state = GroupState {
                to: *to,
                link: self.desk.links.get(to).map_or(LinkState::Down, Link::state),
                circuits: usize::from(group.size()),
                free: group.free(),
                seized: 0,
                standing: 0,
                releasing: 0,
                resetting: 0,
                blocked: 0,
            };
            for (_, circuit) in group.all() {
                state.blocked += usize::from(circuit.blocked != Blocked::Open);
                match circuit.used {
                    Use::Idle => {}
                    Use::SeizedOut(_) | Use::SeizedIn(_) => state.seized += 1,
                    Use::StandingOut(_) | Use::StandingIn(_) => state.standing += 1,
                    Use::Releasing { .. } | Use::Along(_) => state.releasing += 1,
                    Use::Resetting { .. } => state.resetting += 1,
                }
            }
            state
        });
        OfficeState {
            own: self.desk.own,
            tally: self.desk.tally,
            calls: self.desk.legs.len(),
            owed: self.desk.owed,
            timers: self.desk.timers.len(),
            traces: self.desk.traces.len(),
            groups: groups.collect(),
        }
    }
}
