//! Circuit audits: find and free circuits that are busy at one end and idle at the other (Q.764 clause 2.8.3, circuit
//! group query).
//!
//! Lost or reordered signalling can leave a call standing at one end of a circuit while the other end has no such call;
//! nothing else would ever release it. The audit queries one system of each group at a time, in turn. A circuit counts
//! as stuck only if two queries in a row find the ends in disagreement and its use has not changed in between: a
//! message that is in transit during one query has arrived by the next, so that no live circuit is freed. A stuck
//! circuit is found within two rounds: `2 x 1.25 x audit x systems`, as jitter lengthens each interval by at most a
//! quarter.

use std::collections::BTreeMap;

use mintstall::Controller;
use mintstall::interface::{Cause, ExchangeNumber};
use mintstall_isup::{Body, Cic, CircuitState, Q850};

use crate::callcontrol::local_failure;
use crate::calls::HeldCircuits;
use crate::circuits::{CircuitUse, TrunkGroup};
use crate::context::EventContext;
use crate::timers::Timer;

/// The state of the audit of one group.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    /// The system queried last.
    last_system: u16,
    /// Circuits that differed at the last query, with their change count at that time. At most one entry a circuit.
    suspects: BTreeMap<u16, u32>,
}

/// The result of comparing one circuit with its state at the far end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    Consistent,
    /// The ends disagree at this query only.
    Suspected,
    /// The ends disagree at two queries, without a change in between.
    Stuck,
}

impl Audit {
    fn compare(&mut self, group: &TrunkGroup, index: u16, far: CircuitState) -> Finding {
        let Some(circuit) = group.get(index) else { return Finding::Consistent };
        let far_idle = matches!(far, CircuitState::Idle { .. });
        let (far_in, far_out) = (
            matches!(far, CircuitState::IncomingBusy { .. }),
            matches!(far, CircuitState::OutgoingBusy { .. }),
        );
        // Set-ups, releases and resets have timers of their own.
        let differs = match circuit.usage {
            CircuitUse::StandingOut(_) => far_idle || far_out,
            CircuitUse::StandingIn(_) => far_idle || far_in,
            CircuitUse::Idle => far_in || far_out,
            _ => false,
        };
        match (differs, self.suspects.remove(&index)) {
            (false, _) => Finding::Consistent,
            (true, Some(changes)) if changes == circuit.changes => Finding::Stuck,
            (true, _) => {
                self.suspects.insert(index, circuit.changes);
                Finding::Suspected
            }
        }
    }
}

impl EventContext<'_> {
    /// Sends a circuit group query for the next system of a group, and sets the timer of the next one.
    pub fn send_circuit_query(&mut self, to: ExchangeNumber) {
        let next = self.now + self.state.with_jitter(self.state.durations.audit);
        self.state.timers.set(next, Timer::Audit(to));
        let Some(size) = self.state.groups.get(&to).map(TrunkGroup::size).filter(|size| *size > 0) else {
            return;
        };
        let audit = self.state.audits.entry(to).or_default();
        audit.last_system = (audit.last_system + 1) % size.div_ceil(Cic::PER_SYSTEM);
        let first = audit.last_system * Cic::PER_SYSTEM;
        let count = (size - first).min(Cic::PER_SYSTEM) as u8;
        self.send(to, Cic::from_index(first), Body::Cqm { count });
    }

    /// Compares the states that the far end reports with those here, and frees stuck circuits.
    pub fn on_query_response(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        first: Cic,
        states: &[CircuitState],
    ) {
        for (cic, far) in (first.0..).map(Cic).zip(states) {
            let Some(group) = self.state.groups.get(&from) else { return };
            let Some(index) = group.index_of(cic) else { continue };
            let finding = self.state.audits.entry(from).or_default().compare(group, index, *far);
            if finding != Finding::Stuck {
                continue;
            }
            let usage = group.get(index).map(|circuit| circuit.usage);
            self.state.counters.stuck_found += 1;
            self.actions.log_info(&format!(
                "exchange {}: circuit {} is {usage:?} here, {far:?} at the far end: resetting it",
                from.0, cic.0
            ));
            match usage.and_then(CircuitUse::call) {
                Some(call) => {
                    let rel = local_failure(Q850::TemporaryFailure);
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
    fn a_call_unknown_to_the_far_end_is_stuck_at_the_second_query() {
        let (mut audit, mut group) = (Audit::default(), group());
        group.set_usage(3, CircuitUse::StandingOut(CallId(7)));
        assert_eq!(audit.compare(&group, 3, BUSY), Finding::Consistent);
        assert_eq!(audit.compare(&group, 3, IDLE), Finding::Suspected);
        assert_eq!(audit.compare(&group, 3, IDLE), Finding::Stuck);
        // Both ends are in the state of having set the call up.
        let both_out = CircuitState::OutgoingBusy { blocked: false };
        assert_eq!(audit.compare(&group, 3, both_out), Finding::Suspected);
        assert_eq!(audit.compare(&group, 3, both_out), Finding::Stuck);
    }

    #[test]
    fn a_circuit_that_changed_between_two_queries_is_not_freed() {
        let (mut audit, mut group) = (Audit::default(), group());
        group.set_usage(3, CircuitUse::StandingOut(CallId(7)));
        assert_eq!(audit.compare(&group, 3, IDLE), Finding::Suspected);
        group.set_usage(3, CircuitUse::Idle);
        group.set_usage(3, CircuitUse::StandingOut(CallId(8)));
        assert_eq!(audit.compare(&group, 3, IDLE), Finding::Suspected);
        assert_eq!(audit.compare(&group, 3, BUSY), Finding::Consistent);
        assert_eq!(audit.compare(&group, 3, IDLE), Finding::Suspected, "one agreement clears the suspicion");
    }

    #[test]
    fn circuits_being_set_up_or_reset_are_left_to_their_timers() {
        let (mut audit, mut group) = (Audit::default(), group());
        group.set_usage(3, CircuitUse::SeizedOut(CallId(7)));
        assert!((0..3).all(|_| audit.compare(&group, 3, IDLE) == Finding::Consistent));
        group.set_usage(3, CircuitUse::Resetting { timer: None });
        assert!((0..3).all(|_| audit.compare(&group, 3, BUSY) == Finding::Consistent));
    }
}
