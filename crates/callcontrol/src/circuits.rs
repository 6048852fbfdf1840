//! Trunk groups: the circuits to one other exchange, their states, their selection, and which end prevails in dual
//! seizure.

use std::collections::BTreeSet;
use std::time::Duration;

use mintstall::interface::{CallId, ExchangeNumber};
use mintstall_isup::{Cic, CircuitState};

use crate::timers::TimerHandle;

/// The use of a circuit, apart from whether it is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CircuitUse {
    Idle,
    /// A set-up was sent on it and has no answer.
    SeizedOut(CallId),
    /// A set-up was received on it and is not answered.
    SeizedIn(CallId),
    /// It carries a standing call that this exchange set up.
    StandingOut(CallId),
    /// It carries a standing call that the far end set up.
    StandingIn(CallId),
    /// A release was sent and is not completed; the circuit counts as taken. `since` is for T5, `timer` for T1.
    Releasing {
        since: Duration,
        timer: TimerHandle,
    },
    /// A reset was sent, or waits for the link. `timer` repeats it; none if the reset waits or belongs to a group
    /// reset.
    Resetting {
        timer: Option<TimerHandle>,
    },
    /// Released together with the signalling circuit of its call, at this index.
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

/// Which ends have blocked a circuit. It may still carry a call from before the blocking.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Blocking {
    #[default]
    Unblocked,
    Local,
    Remote,
    Both,
}

impl Blocking {
    fn flags(self) -> (bool, bool) {
        (matches!(self, Self::Local | Self::Both), matches!(self, Self::Remote | Self::Both))
    }

    fn from_flags(local: bool, remote: bool) -> Self {
        match (local, remote) {
            (false, false) => Self::Unblocked,
            (true, false) => Self::Local,
            (false, true) => Self::Remote,
            (true, true) => Self::Both,
        }
    }

    pub fn is_local(self) -> bool {
        self.flags().0
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Circuit {
    pub usage: CircuitUse,
    pub blocking: Blocking,
    /// Counts the changes of its use.
    pub changes: u32,
    /// Releases and resets sent on the present link that the far end has not completed. Each is completed for itself, also a
    /// repeated one, when the circuit may carry the next call already.
    completes_due: u8,
}

/// The circuits to one other exchange, by their indices in the group.
#[derive(Debug)]
pub(crate) struct TrunkGroup {
    circuits: Vec<Circuit>,
    /// Whether this exchange has the higher point code, and so controls the even circuits (Q.764 clause 2.9.1.4).
    controls_even: bool,
    /// Free circuits that this exchange controls. Updated by `update_free_sets`, as is `free_remote`.
    free_local: BTreeSet<u16>,
    /// Free circuits that the far end controls.
    free_remote: BTreeSet<u16>,
}

impl TrunkGroup {
    pub fn new(own: ExchangeNumber, to: ExchangeNumber, count: u16) -> Self {
        let circuit =
            Circuit { usage: CircuitUse::Idle, blocking: Blocking::Unblocked, changes: 0, completes_due: 0 };
        let mut group = Self {
            circuits: vec![circuit; usize::from(count.min(Cic::MAX_PER_GROUP))],
            controls_even: own > to,
            free_local: BTreeSet::new(),
            free_remote: BTreeSet::new(),
        };
        (0..group.size()).for_each(|index| group.update_free_sets(index));
        group
    }

    pub fn size(&self) -> u16 {
        self.circuits.len() as u16
    }

    /// Number of circuits that neither end has blocked.
    pub fn unblocked_count(&self) -> usize {
        self.circuits.iter().filter(|circuit| circuit.blocking == Blocking::Unblocked).count()
    }

    pub fn free_count(&self) -> usize {
        self.free_local.len() + self.free_remote.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (u16, &Circuit)> {
        (0..).zip(&self.circuits)
    }

    pub fn get(&self, index: u16) -> Option<&Circuit> {
        self.circuits.get(usize::from(index))
    }

    /// The index of a circuit, if the group has it.
    pub fn index_of(&self, cic: Cic) -> Option<u16> {
        cic.index().filter(|index| *index < self.size())
    }

    pub fn set_usage(&mut self, index: u16, usage: CircuitUse) {
        if let Some(circuit) = self.circuits.get_mut(usize::from(index)) {
            circuit.usage = usage;
            circuit.changes = circuit.changes.wrapping_add(1);
            self.update_free_sets(index);
        }
    }

    /// A release or a reset was sent, which the far end will complete.
    pub fn await_complete(&mut self, index: u16) {
        if let Some(circuit) = self.circuits.get_mut(usize::from(index)) {
            circuit.completes_due = circuit.completes_due.saturating_add(1);
        }
    }

    /// A release complete has come. Returns whether it is for a release or a reset from this end.
    pub fn take_complete(&mut self, index: u16) -> bool {
        let Some(circuit) = self.circuits.get_mut(usize::from(index)) else { return false };
        let was_due = circuit.completes_due > 0;
        circuit.completes_due = circuit.completes_due.saturating_sub(1);
        was_due
    }

    /// The link is lost, and with it the release completes that were on their way.
    pub fn forget_completes(&mut self) {
        self.circuits.iter_mut().for_each(|circuit| circuit.completes_due = 0);
    }

    pub fn block(&mut self, index: u16, local: Option<bool>, remote: Option<bool>) {
        if let Some(circuit) = self.circuits.get_mut(usize::from(index)) {
            let before = circuit.blocking.flags();
            circuit.blocking = Blocking::from_flags(local.unwrap_or(before.0), remote.unwrap_or(before.1));
            self.update_free_sets(index);
        }
    }

    fn update_free_sets(&mut self, index: u16) {
        let Some(circuit) = self.circuits.get(usize::from(index)) else { return };
        let free = circuit.usage == CircuitUse::Idle && circuit.blocking == Blocking::Unblocked;
        let free_set = if self.controls(index) { &mut self.free_local } else { &mut self.free_remote };
        match free {
            true => free_set.insert(index),
            false => free_set.remove(&index),
        };
    }

    /// Whether this exchange prevails on a circuit that both ends seize at once.
    pub fn controls(&self, index: u16) -> bool {
        Cic::from_index(index).0.is_multiple_of(2) == self.controls_even
    }

    /// Selects the circuits for a call without taking them: the lowest free one that this end controls, else the
    /// highest of the others (Q.764 clause 2.9.1.3, method 2), which the far end takes last. A wider call takes its
    /// circuits from one system, as its circuit map covers only one; of the systems with enough free circuits, the
    /// fullest.
    pub fn select(&self, width: u16) -> Option<Vec<u16>> {
        if width <= 1 {
            let index = self.free_local.first().or(self.free_remote.last())?;
            return Some(vec![*index]);
        }
        let systems = self.size().div_ceil(Cic::PER_SYSTEM);
        let free_in = |system: u16| {
            let indices = system * Cic::PER_SYSTEM..(system + 1) * Cic::PER_SYSTEM;
            let own = self.free_local.range(indices.clone()).copied();
            own.chain(self.free_remote.range(indices).rev().copied()).collect::<Vec<_>>()
        };
        let enough = (0..systems).map(free_in).filter(|free| free.len() >= usize::from(width));
        let mut indices = enough.min_by_key(Vec::len)?;
        indices.truncate(usize::from(width));
        indices.sort_unstable();
        Some(indices)
    }

    /// A circuit and those that are released with it.
    pub fn with_released(&self, first: u16) -> Vec<u16> {
        let system = first / Cic::PER_SYSTEM * Cic::PER_SYSTEM;
        let released_with = |index: &u16| {
            self.get(*index).is_some_and(|circuit| circuit.usage == CircuitUse::ReleasedWith(first))
        };
        std::iter::once(first).chain((system..system + Cic::PER_SYSTEM).filter(released_with)).collect()
    }

    /// The state of a circuit as reported in response to a query (Q.764 clause 2.8.3).
    pub fn query_state(&self, index: u16) -> CircuitState {
        let Some(circuit) = self.get(index) else { return CircuitState::Unequipped };
        let blocked = circuit.blocking != Blocking::Unblocked;
        match circuit.usage {
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
    fn both_ends_agree_which_of_them_controls_each_circuit() {
        let (low, high) = (
            TrunkGroup::new(ExchangeNumber(3), ExchangeNumber(8), 70),
            TrunkGroup::new(ExchangeNumber(8), ExchangeNumber(3), 70),
        );
        assert!((0..70).all(|index| low.controls(index) != high.controls(index)));
        assert!(high.controls(1), "circuit 2 is even, the higher point code controls it");
    }

    #[test]
    fn two_ends_seizing_in_turn_share_a_group_without_dual_seizure() {
        let (mut low, mut high) = (
            TrunkGroup::new(ExchangeNumber(3), ExchangeNumber(8), 10),
            TrunkGroup::new(ExchangeNumber(8), ExchangeNumber(3), 10),
        );
        let mut taken = BTreeSet::new();
        for call in 0..5 {
            for group in [&mut low, &mut high] {
                let index = group.select(1).unwrap()[0];
                assert!(taken.insert(index), "circuit {index} is seized by both ends");
                group.set_usage(index, CircuitUse::SeizedOut(CallId(call)));
            }
        }
        assert_eq!((low.free_count(), high.free_count(), taken.len()), (5, 5, 10));
    }

    #[test]
    fn a_wide_call_takes_the_fullest_system_with_enough_free_circuits() {
        let mut group = TrunkGroup::new(ExchangeNumber(1), ExchangeNumber(2), 62);
        (31..55).for_each(|index| group.set_usage(index, CircuitUse::SeizedIn(CallId(1))));
        assert_eq!(group.select(4).unwrap().len(), 4);
        assert!(group.select(4).unwrap().iter().all(|index| *index >= 55));
        assert!(group.select(8).unwrap().iter().all(|index| *index < 31));
        assert_eq!(group.select(32), None);
    }
}
