//! What became of each call, step by step: a bounded memory of the last calls, by number and by whose they are.
//!
//! A call keeps its identity along the way, so that the same call can be looked up at the exchange that took it, at a
//! tandem and at the one that has the number called. What the decisions did is seen in what they had done.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::{CallId, Cause, ExchangeId, ExchangeNumber, SeizureNumber};
use mintstall_isup::{CallIdentity, Cic, Q850};

use crate::actions::{Answer, CallEnd};

/// One thing that happened to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceStep {
    /// A subscriber asked for it, waiting for so long.
    Offered {
        left: Duration,
    },
    /// It came in on a circuit.
    Arrived {
        from: ExchangeNumber,
        cic: Cic,
    },
    /// Its seizure went out on the first of so many circuits, to be given up after `limit`.
    Seized {
        no: SeizureNumber,
        exchange: ExchangeId,
        to: ExchangeNumber,
        cic: Cic,
        circuits: u16,
        limit: Duration,
    },
    /// The far end has all digits.
    Alerted {
        no: SeizureNumber,
    },
    /// A seizure ended, or was never sent.
    SeizureEnded {
        no: SeizureNumber,
        cause: Cause,
        elapsed: Duration,
    },
    /// It stands: through this exchange, or at a number here.
    Stands,
    StandsHere,
    /// The final answer to its caller.
    Answered(Answer),
    /// Turned back to the exchange that it came from.
    TurnedBack(Q850),
    /// Its caller hung up, gave up, or was lost with its circuit or link.
    CallerGone(Q850),
    /// A standing call ended otherwise.
    Ended(CallEnd),
}

/// What is remembered of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    pub call: CallId,
    pub identity: CallIdentity,
    pub dest: ExchangeNumber,
    pub dialled: u64,
    /// With the time of each, on the office's clock.
    pub steps: Vec<(Duration, TraceStep)>,
    /// Steps that there was no room for.
    pub left_out: u32,
}

impl Trace {
    /// What a caller sees last, or would.
    pub fn last(&self) -> Option<&(Duration, TraceStep)> {
        self.steps.last()
    }

    /// Seizures that were out at the same time: none, if the second rule was kept.
    pub fn seizures_out(&self) -> usize {
        self.steps
            .iter()
            .fold((0usize, 0usize), |(out, most), (_, step)| {
                let out = match step {
                    TraceStep::Seized { .. } => out + 1,
                    TraceStep::SeizureEnded { .. } => out.saturating_sub(1),
                    _ => out,
                };
                (out, most.max(out))
            })
            .1
    }
}

/// Steps of one call: five seizures with what belongs to them, and its two ends.
const STEPS: usize = 24;

/// The last calls. At most `most`; the oldest goes as a new one comes.
#[derive(Debug)]
pub(crate) struct Traces {
    most: usize,
    calls: BTreeMap<CallId, Trace>,
    order: VecDeque<CallId>,
}

impl Traces {
    /// None are kept where `most` is nought.
    pub fn new(most: usize) -> Self {
        Self { most, calls: BTreeMap::new(), order: VecDeque::new() }
    }

    pub fn begin(
        &mut self,
        at: Duration,
        call: CallId,
        identity: CallIdentity,
        dest: ExchangeNumber,
        dialled: u64,
        step: TraceStep,
    ) {
        if self.most == 0 {
            return;
        }
        // The room of the one that goes serves the one that comes.
        let mut steps = Vec::new();
        if self.order.len() >= self.most
            && let Some(oldest) = self.order.pop_front().and_then(|oldest| self.calls.remove(&oldest))
        {
            steps = oldest.steps;
            steps.clear();
        }
        steps.push((at, step));
        self.order.push_back(call);
        self.calls.insert(call, Trace { call, identity, dest, dialled, steps, left_out: 0 });
    }

    pub fn step(&mut self, at: Duration, call: CallId, step: TraceStep) {
        if let Some(trace) = self.calls.get_mut(&call) {
            if trace.steps.len() < STEPS {
                trace.steps.push((at, step));
            } else {
                trace.left_out += 1;
            }
        }
    }

    pub fn get(&self, call: CallId) -> Option<&Trace> {
        self.calls.get(&call)
    }

    /// The traces here of a call that another exchange took: more than one if it came again.
    pub fn of(&self, origin: ExchangeNumber, call: u64) -> impl Iterator<Item = &Trace> {
        let same = move |trace: &&Trace| trace.identity.origin == origin.0 && trace.identity.call == call;
        self.calls.values().filter(same)
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn identity(call: u64) -> CallIdentity {
        CallIdentity {
            origin: 7,
            call,
            seizure: 0,
            call_type: 0,
            customer: 0,
            time_left_ms: 0,
            cut: false,
            redial: false,
        }
    }

    fn begin(traces: &mut Traces, call: u64) {
        let step = TraceStep::Offered { left: Duration::from_secs(3) };
        traces.begin(Duration::ZERO, CallId(call), identity(call), ExchangeNumber(2), 5, step);
    }

    #[test]
    fn the_oldest_call_goes_as_a_new_one_comes() {
        let mut traces = Traces::new(3);
        (1..=5).for_each(|call| begin(&mut traces, call));
        assert_eq!((traces.len(), traces.get(CallId(2)), traces.get(CallId(3)).is_some()), (3, None, true));
        assert_eq!(traces.get(CallId(5)).unwrap().steps.len(), 1, "nothing of the one before it is left");
        let mut none = Traces::new(0);
        begin(&mut none, 1);
        assert_eq!(none.len(), 0);
    }

    #[test]
    fn a_call_that_does_too_much_says_how_much_was_left_out() {
        let mut traces = Traces::new(3);
        begin(&mut traces, 1);
        (0..40).for_each(|_| traces.step(Duration::ZERO, CallId(1), TraceStep::Stands));
        let trace = traces.get(CallId(1)).unwrap();
        assert_eq!((trace.steps.len(), trace.left_out), (STEPS, 17));
        assert_eq!(traces.of(ExchangeNumber(7), 1).count(), 1);
        assert_eq!(traces.of(ExchangeNumber(8), 1).count(), 0);
    }
}
