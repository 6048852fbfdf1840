//! Trunk groups: the circuits to one other exchange, their states, selection, and who yields in dual seizure.

use std::collections::BTreeSet;
use std::time::Duration;

use mintstall::host::{CallId, OfficeNo};
use mintstall_isup::{Cic, CircuitState};

use crate::timers::Set;

/// What a circuit is doing, apart from whether it is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Use {
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
        timer: Set,
    },
    /// A reset of it went out, or waits for its link; it is repeated by `timer`, where there is one of its own.
    Resetting {
        timer: Option<Set>,
    },
    /// Let go together with the circuit at this place, on which the signalling is.
    Along(u16),
}

impl Use {
    pub fn call(self) -> Option<CallId> {
        match self {
            Self::SeizedOut(call)
            | Self::SeizedIn(call)
            | Self::StandingOut(call)
            | Self::StandingIn(call) => Some(call),
            Self::Idle | Self::Releasing { .. } | Self::Resetting { .. } | Self::Along(_) => None,
        }
    }
}

/// Who took a circuit out of service. It may still carry a call that was there before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Blocked {
    #[default]
    Open,
    Here,
    There,
    Both,
}

impl Blocked {
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
    pub used: Use,
    pub blocked: Blocked,
    /// How often its use has changed.
    pub turns: u32,
}

/// The circuits to one other exchange, by their places in the group.
#[derive(Debug)]
pub(crate) struct Group {
    circuits: Vec<Circuit>,
    /// Whether this exchange has the higher point code, and so controls the even circuits (Q.764 clause 2.9.1.4).
    controls_even: bool,
    /// Free circuits, those controlled here and those controlled there. Kept in step by `set`.
    free_own: BTreeSet<u16>,
    free_other: BTreeSet<u16>,
}

impl Group {
    pub fn new(own: OfficeNo, to: OfficeNo, count: u16) -> Self {
        let circuit = Circuit { used: Use::Idle, blocked: Blocked::Open, turns: 0 };
        let mut group = Self {
            circuits: vec![circuit; usize::from(count.min(Cic::MAX_PER_GROUP))],
            controls_even: own > to,
            free_own: BTreeSet::new(),
            free_other: BTreeSet::new(),
        };
        (0..group.size()).for_each(|place| group.keep_in_step(place));
        group
    }

    pub fn size(&self) -> u16 {
        self.circuits.len() as u16
    }

    /// Circuits that no one has taken out of service.
    pub fn open(&self) -> usize {
        self.circuits.iter().filter(|circuit| circuit.blocked == Blocked::Open).count()
    }

    pub fn free(&self) -> usize {
        self.free_own.len() + self.free_other.len()
    }

    pub fn all(&self) -> impl Iterator<Item = (u16, &Circuit)> {
        (0..).zip(&self.circuits)
    }

    pub fn get(&self, place: u16) -> Option<&Circuit> {
        self.circuits.get(usize::from(place))
    }

    /// The place of a circuit that this group has.
    pub fn place(&self, cic: Cic) -> Option<u16> {
        cic.index().filter(|place| *place < self.size())
    }

    pub fn put(&mut self, place: u16, used: Use) {
        if let Some(circuit) = self.circuits.get_mut(usize::from(place)) {
            circuit.used = used;
            circuit.turns = circuit.turns.wrapping_add(1);
            self.keep_in_step(place);
        }
    }

    pub fn block(&mut self, place: u16, here: Option<bool>, there: Option<bool>) {
        if let Some(circuit) = self.circuits.get_mut(usize::from(place)) {
            let was = circuit.blocked.parts();
            circuit.blocked = Blocked::of(here.unwrap_or(was.0), there.unwrap_or(was.1));
            self.keep_in_step(place);
        }
    }

    fn keep_in_step(&mut self, place: u16) {
        let Some(circuit) = self.circuits.get(usize::from(place)) else { return };
        let free = circuit.used == Use::Idle && circuit.blocked == Blocked::Open;
        let half = if self.controls(place) { &mut self.free_own } else { &mut self.free_other };
        match free {
            true => half.insert(place),
            false => half.remove(&place),
        };
    }

    /// Whether this exchange prevails on a circuit that both ends seize at once.
    pub fn controls(&self, place: u16) -> bool {
        Cic::from_index(place).0.is_multiple_of(2) == self.controls_even
    }

    /// The circuits for a call, none taken yet: the lowest free one that is controlled here, else the highest of the
    /// others (Q.764 clause 2.9.1.3, method 2), which the far end takes last. A wider call takes them from one
    /// system, as its circuit map speaks of one; of those with room, the fullest.
    pub fn select(&self, width: u16) -> Option<Vec<u16>> {
        if width <= 1 {
            let place = self.free_own.first().or(self.free_other.last())?;
            return Some(vec![*place]);
        }
        let systems = self.size().div_ceil(Cic::PER_SYSTEM);
        let free_in = |system: u16| {
            let places = system * Cic::PER_SYSTEM..(system + 1) * Cic::PER_SYSTEM;
            let own = self.free_own.range(places.clone()).copied();
            own.chain(self.free_other.range(places).rev().copied()).collect::<Vec<_>>()
        };
        let enough = (0..systems).map(free_in).filter(|free| free.len() >= usize::from(width));
        let mut places = enough.min_by_key(Vec::len)?;
        places.truncate(usize::from(width));
        places.sort_unstable();
        Some(places)
    }

    /// A circuit and those let go along with it.
    pub fn together(&self, first: u16) -> Vec<u16> {
        let system = first / Cic::PER_SYSTEM * Cic::PER_SYSTEM;
        let along = |place: &u16| self.get(*place).is_some_and(|circuit| circuit.used == Use::Along(first));
        std::iter::once(first).chain((system..system + Cic::PER_SYSTEM).filter(along)).collect()
    }

    /// What is said of a circuit to a query (Q.764 clause 2.8.3).
    pub fn state(&self, place: u16) -> CircuitState {
        let Some(circuit) = self.get(place) else { return CircuitState::Unequipped };
        let blocked = circuit.blocked != Blocked::Open;
        match circuit.used {
            Use::Idle => CircuitState::Idle { blocked },
            Use::SeizedOut(_) | Use::StandingOut(_) => CircuitState::OutgoingBusy { blocked },
            Use::SeizedIn(_) | Use::StandingIn(_) => CircuitState::IncomingBusy { blocked },
            Use::Releasing { .. } | Use::Resetting { .. } | Use::Along(_) => CircuitState::Transient,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_ends_agree_who_controls_each_circuit() {
        let (low, high) =
            (Group::new(OfficeNo(3), OfficeNo(8), 70), Group::new(OfficeNo(8), OfficeNo(3), 70));
        assert!((0..70).all(|place| low.controls(place) != high.controls(place)));
        assert!(high.controls(1), "circuit 2 is even, the higher point code controls it");
    }

    #[test]
    fn the_ends_meet_on_the_last_circuits_only() {
        let (mut low, mut high) =
            (Group::new(OfficeNo(3), OfficeNo(8), 10), Group::new(OfficeNo(8), OfficeNo(3), 10));
        let mut taken = BTreeSet::new();
        for call in 0..5 {
            for group in [&mut low, &mut high] {
                let place = group.select(1).unwrap()[0];
                assert!(taken.insert(place), "circuit {place} is seized by both ends");
                group.put(place, Use::SeizedOut(CallId(call)));
            }
        }
        assert_eq!((low.free(), high.free(), taken.len()), (5, 5, 10));
    }

    #[test]
    fn a_wide_call_takes_the_fullest_system_with_room() {
        let mut group = Group::new(OfficeNo(1), OfficeNo(2), 62);
        (31..55).for_each(|place| group.put(place, Use::SeizedIn(CallId(1))));
        assert_eq!(group.select(4).unwrap().len(), 4);
        assert!(group.select(4).unwrap().iter().all(|place| *place >= 55));
        assert!(group.select(8).unwrap().iter().all(|place| *place < 31));
        assert_eq!(group.select(32), None);
    }
}
