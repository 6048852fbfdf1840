//! Audits of circuits: what one end holds busy and the other idle is found and freed (Q.764 clause 2.8.3, circuit
//! group query).
//!
//! Signalling that was lost or overtaken can leave a call standing at one end of a circuit of which the other knows
//! nothing; nobody would ever release it. Each link's group is asked about one system at a time, in turn. A
//! disagreement counts only when two looks in a row find it and the circuit has not changed in between: what is on its
//! way at one look has arrived by the next, so that no live circuit is freed. A stuck circuit is found within two
//! rounds: `2 x 1.25 x audit x systems`, as each look is drawn out by a quarter at the most.

use std::collections::BTreeMap;

use mintstall::Controller;
use mintstall::interface::{Cause, ExchangeNumber};
use mintstall_isup::{Body, Cic, CircuitState, Q850};

use crate::callcontrol::failure;
use crate::calls::HeldCircuits;
use crate::circuits::{CircuitUse, TrunkGroup};
use crate::context::EventContext;
use crate::timers::Timer;

/// What an audit knows of one group.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    /// The system asked about last.
    system: u16,
    /// Circuits that differed at the last look, and how often they had changed by then. At most one a circuit.
    doubts: BTreeMap<u16, u32>,
}

/// What becomes of a circuit on which the ends disagree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    Agreed,
    /// At this look only.
    Doubt,
    /// At two looks, without a change in between.
    Stuck,
}

impl Audit {
    fn look(&mut self, group: &TrunkGroup, index: u16, far: CircuitState) -> Finding {
        let Some(circuit) = group.get(index) else { return Finding::Agreed };
        let far_idle = matches!(far, CircuitState::Idle { .. });
        let (far_in, far_out) = (
            matches!(far, CircuitState::IncomingBusy { .. }),
            matches!(far, CircuitState::OutgoingBusy { .. }),
        );
        // Set-ups, releases and resets have timers of their own.
        let differs = match circuit.used {
            CircuitUse::StandingOut(_) => far_idle || far_out,
            CircuitUse::StandingIn(_) => far_idle || far_in,
            CircuitUse::Idle => far_in || far_out,
            _ => false,
        };
        match (differs, self.doubts.remove(&index)) {
            (false, _) => Finding::Agreed,
            (true, Some(turns)) if turns == circuit.turns => Finding::Stuck,
            (true, _) => {
                self.doubts.insert(index, circuit.turns);
                Finding::Doubt
            }
        }
    }
}

impl EventContext<'_> {
    /// Asks the far end about the next system of its group, and sets the next look.
    pub fn audit(&mut self, to: ExchangeNumber) {
        let next = self.now + self.desk.with_jitter(self.desk.t.audit);
        self.desk.timers.set(next, Timer::Audit(to));
        let Some(size) = self.desk.groups.get(&to).map(TrunkGroup::size).filter(|size| *size > 0) else {
            return;
        };
        let audit = self.desk.audits.entry(to).or_default();
        audit.system = (audit.system + 1) % size.div_ceil(Cic::PER_SYSTEM);
        let first = audit.system * Cic::PER_SYSTEM;
        let count = (size - first).min(Cic::PER_SYSTEM) as u8;
        self.send(to, Cic::from_index(first), Body::Cqm { count });
    }

    /// The far end says what it holds of each circuit.
    pub fn audited(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        first: Cic,
        states: &[CircuitState],
    ) {
        for (cic, far) in (first.0..).map(Cic).zip(states) {
            let Some(group) = self.desk.groups.get(&from) else { return };
            let Some(index) = group.index_of(cic) else { continue };
            let finding = self.desk.audits.entry(from).or_default().look(group, index, *far);
            if finding != Finding::Stuck {
                continue;
            }
            let used = group.get(index).map(|circuit| circuit.used);
            self.desk.tally.stuck_found += 1;
            self.plant.log_info(&format!(
                "exchange {}: circuit {} is {used:?} here, {far:?} there: reset",
                from.0, cic.0
            ));
            match used.and_then(CircuitUse::call) {
                Some(call) => {
                    let rel = failure(Q850::TemporaryFailure);
                    self.on_circuits_lost(
                        controller,
                        call,
                        (from, index),
                        Cause::Cut,
                        &rel,
                        HeldCircuits::reset,
                    );
                }
                None => self.reset_held(&HeldCircuits { to: from, indices: vec![index] }),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use mintstall::interface::CallId;

    use super::*;

    fn group() -> TrunkGroup {
        TrunkGroup::new(ExchangeNumber(1), ExchangeNumber(2), 10)
    }

    const IDLE: CircuitState = CircuitState::Idle { blocked: false };
    const BUSY: CircuitState = CircuitState::IncomingBusy { blocked: false };

    #[test]
    fn a_call_unknown_to_the_far_end_is_stuck_at_the_second_look() {
        let (mut audit, mut group) = (Audit::default(), group());
        group.put(3, CircuitUse::StandingOut(CallId(7)));
        assert_eq!(audit.look(&group, 3, BUSY), Finding::Agreed);
        assert_eq!(audit.look(&group, 3, IDLE), Finding::Doubt);
        assert_eq!(audit.look(&group, 3, IDLE), Finding::Stuck);
        // Both ends hold that they set the call up.
        let both_out = CircuitState::OutgoingBusy { blocked: false };
        assert_eq!(audit.look(&group, 3, both_out), Finding::Doubt);
        assert_eq!(audit.look(&group, 3, both_out), Finding::Stuck);
    }

    #[test]
    fn a_circuit_that_changed_between_the_looks_is_not_freed() {
        let (mut audit, mut group) = (Audit::default(), group());
        group.put(3, CircuitUse::StandingOut(CallId(7)));
        assert_eq!(audit.look(&group, 3, IDLE), Finding::Doubt);
        group.put(3, CircuitUse::Idle);
        group.put(3, CircuitUse::StandingOut(CallId(8)));
        assert_eq!(audit.look(&group, 3, IDLE), Finding::Doubt);
        assert_eq!(audit.look(&group, 3, BUSY), Finding::Agreed);
        assert_eq!(audit.look(&group, 3, IDLE), Finding::Doubt, "agreeing once starts afresh");
    }

    #[test]
    fn what_is_being_set_up_or_let_go_is_left_to_its_timers() {
        let (mut audit, mut group) = (Audit::default(), group());
        group.put(3, CircuitUse::SeizedOut(CallId(7)));
        assert!((0..3).all(|_| audit.look(&group, 3, IDLE) == Finding::Agreed));
        group.put(3, CircuitUse::Resetting { timer: None });
        assert!((0..3).all(|_| audit.look(&group, 3, BUSY) == Finding::Agreed));
    }
}
