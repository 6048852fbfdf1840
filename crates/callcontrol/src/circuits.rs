//! Trunk groups: the circuits to one other exchange, their states, selection, and who yields in dual seizure.

use std::collections::BTreeSet;
use std::time::Duration;

use mintstall::interface::{CallId, ExchangeNumber};
use mintstall_isup::{Cic, CircuitState};

use crate::timers::TimerHandle;

/// What a circuit is doing, apart from whether it is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CircuitUse {
    Idle,
    /// A set-up went out on it and has no answer.
    SeizedOut(CallId),
    /// A set-up came in on it and is not answered.
    SeizedIn(CallId),
    /// It carries a call that this exchange set up, or that came in.
    StandingOut(CallId),
    StandingIn(CallId),
    /// A release went out and is not completed: it counts as taken. `since` for T5, `timer` for T1.
    Releasing {
        since: Duration,
        timer: TimerHandle,
    },
    /// A reset of it went out, or waits for its link; it is repeated by `timer`, where there is one of its own.
    Resetting {
        timer: Option<TimerHandle>,
    },
    /// Let go together with the circuit at this place, on which the signalling is.
    ReleasedWith(u16),
}

impl CircuitUse {
    pub fn call(self) -> Option<CallId> {
        match self {
            Self::SeizedOut(call)
            | Self::SeizedIn(call)
            | Self::StandingOut(call)
            | Self::StandingIn(call) => Some(call),
            Self::Idle | Self::Releasing { .. } | Self::Resetting { .. } | Self::ReleasedWith(_) => None,
        }
    }
}

/// Who took a circuit out of service. It may still carry a call that was there before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Blocking {
    #[default]
    Open,
    Here,
    There,
    Both,
}

impl Blocking {
    fn parts(self) -> (bool, bool) {
        (matches!(self, Self::Here | Self::Both), matches!(self, Self::There | Self::Both))
    }

    fn of(here: bool, there: bool) -> Self {
        match (here, there) {
            (false, false) => Self::Open,
            (true, false) => Self::Here,
            (false, true) => Self::There,
            (true, true) => Self::Both,
        }
    }

    pub fn here(self) -> bool {
        self.parts().0
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Circuit {
    pub used: CircuitUse,
    pub blocked: Blocking,
    /// How often its use has changed.
    pub turns: u32,
}

/// The circuits to one other exchange, by their places in the group.
#[derive(Debug)]
pub(crate) struct TrunkGroup {
    circuits: Vec<Circuit>,
    /// Whether this exchange has the higher point code, and so controls the even circuits (Q.764 clause 2.9.1.4).
    controls_even: bool,
    /// Free circuits, those controlled here and those controlled there. Kept in step by `set`.
    free_own: BTreeSet<u16>,
    free_other: BTreeSet<u16>,
}

impl TrunkGroup {
    pub fn new(own: ExchangeNumber, to: ExchangeNumber, count: u16) -> Self {
        let circuit = Circuit { used: CircuitUse::Idle, blocked: Blocking::Open, turns: 0 };
        let mut group = Self {
            circuits: vec![circuit; usize::from(count.min(Cic::MAX_PER_GROUP))],
            controls_even: own > to,
            free_own: BTreeSet::new(),
            free_other: BTreeSet::new(),
        };
        (0..group.size()).for_each(|index| group.keep_in_step(index));
        group
    }

    pub fn size(&self) -> u16 {
        self.circuits.len() as u16
    }

    /// Circuits that no one has taken out of service.
    pub fn open(&self) -> usize {
        self.circuits.iter().filter(|circuit| circuit.blocked == Blocking::Open).count()
    }

    pub fn free(&self) -> usize {
        self.free_own.len() + self.free_other.len()
    }

    pub fn all(&self) -> impl Iterator<Item = (u16, &Circuit)> {
        (0..).zip(&self.circuits)
    }

    pub fn get(&self, index: u16) -> Option<&Circuit> {
        self.circuits.get(usize::from(index))
    }

    /// The place of a circuit that this group has.
    pub fn index_of(&self, cic: Cic) -> Option<u16> {
        cic.index().filter(|index| *index < self.size())
    }

    pub fn put(&mut self, index: u16, used: CircuitUse) {
        if let Some(circuit) = self.circuits.get_mut(usize::from(index)) {
            circuit.used = used;
            circuit.turns = circuit.turns.wrapping_add(1);
            self.keep_in_step(index);
        }
    }

    pub fn block(&mut self, index: u16, here: Option<bool>, there: Option<bool>) {
        if let Some(circuit) = self.circuits.get_mut(usize::from(index)) {
            let was = circuit.blocked.parts();
            circuit.blocked = Blocking::of(here.unwrap_or(was.0), there.unwrap_or(was.1));
            self.keep_in_step(index);
        }
    }

    fn keep_in_step(&mut self, index: u16) {
        let Some(circuit) = self.circuits.get(usize::from(index)) else { return };
        let free = circuit.used == CircuitUse::Idle && circuit.blocked == Blocking::Open;
        let half = if self.controls(index) { &mut self.free_own } else { &mut self.free_other };
        match free {
            true => half.insert(index),
            false => half.remove(&index),
        };
    }

    /// Whether this exchange prevails on a circuit that both ends seize at once.
    pub fn controls(&self, index: u16) -> bool {
        Cic::from_index(index).0.is_multiple_of(2) == self.controls_even
    }

    /// The circuits for a call, none taken yet: the lowest free one that is controlled here, else the highest of the
    /// others (Q.764 clause 2.9.1.3, method 2), which the far end takes last. A wider call takes them from one
    /// system, as its circuit map speaks of one; of those with room, the fullest.
    pub fn select(&self, width: u16) -> Option<Vec<u16>> {
        if width <= 1 {
            let index = self.free_own.first().or(self.free_other.last())?;
            return Some(vec![*index]);
        }
        let systems = self.size().div_ceil(Cic::PER_SYSTEM);
        let free_in = |system: u16| {
            let indices = system * Cic::PER_SYSTEM..(system + 1) * Cic::PER_SYSTEM;
            let own = self.free_own.range(indices.clone()).copied();
            own.chain(self.free_other.range(indices).rev().copied()).collect::<Vec<_>>()
        };
        let enough = (0..systems).map(free_in).filter(|free| free.len() >= usize::from(width));
        let mut indices = enough.min_by_key(Vec::len)?;
        indices.truncate(usize::from(width));
        indices.sort_unstable();
        Some(indices)
    }

    /// A circuit and those let go along with it.
    pub fn together(&self, first: u16) -> Vec<u16> {
        let system = first / Cic::PER_SYSTEM * Cic::PER_SYSTEM;
        let along = |index: &u16| {
            self.get(*index).is_some_and(|circuit| circuit.used == CircuitUse::ReleasedWith(first))
        };
        std::iter::once(first).chain((system..system + Cic::PER_SYSTEM).filter(along)).collect()
    }

    /// What is said of a circuit to a query (Q.764 clause 2.8.3).
    pub fn state(&self, index: u16) -> CircuitState {
        let Some(circuit) = self.get(index) else { return CircuitState::Unequipped };
        let blocked = circuit.blocked != Blocking::Open;
        match circuit.used {
            CircuitUse::Idle => CircuitState::Idle { blocked },
            CircuitUse::SeizedOut(_) | CircuitUse::StandingOut(_) => CircuitState::OutgoingBusy { blocked },
            CircuitUse::SeizedIn(_) | CircuitUse::StandingIn(_) => CircuitState::IncomingBusy { blocked },
            CircuitUse::Releasing { .. } | CircuitUse::Resetting { .. } | CircuitUse::ReleasedWith(_) => {
                CircuitState::Transient
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_ends_agree_who_controls_each_circuit() {
        let (low, high) = (
            TrunkGroup::new(ExchangeNumber(3), ExchangeNumber(8), 70),
            TrunkGroup::new(ExchangeNumber(8), ExchangeNumber(3), 70),
        );
        assert!((0..70).all(|index| low.controls(index) != high.controls(index)));
        assert!(high.controls(1), "circuit 2 is even, the higher point code controls it");
    }

    #[test]
    fn the_ends_meet_on_the_last_circuits_only() {
        let (mut low, mut high) = (
            TrunkGroup::new(ExchangeNumber(3), ExchangeNumber(8), 10),
            TrunkGroup::new(ExchangeNumber(8), ExchangeNumber(3), 10),
        );
        let mut taken = BTreeSet::new();
        for call in 0..5 {
            for group in [&mut low, &mut high] {
                let index = group.select(1).unwrap()[0];
                assert!(taken.insert(index), "circuit {index} is seized by both ends");
                group.put(index, CircuitUse::SeizedOut(CallId(call)));
            }
        }
        assert_eq!((low.free(), high.free(), taken.len()), (5, 5, 10));
    }

    #[test]
    fn a_wide_call_takes_the_fullest_system_with_room() {
        let mut group = TrunkGroup::new(ExchangeNumber(1), ExchangeNumber(2), 62);
        (31..55).for_each(|index| group.put(index, CircuitUse::SeizedIn(CallId(1))));
        assert_eq!(group.select(4).unwrap().len(), 4);
        assert!(group.select(4).unwrap().iter().all(|index| *index >= 55));
        assert!(group.select(8).unwrap().iter().all(|index| *index < 31));
        assert_eq!(group.select(32), None);
    }
}
