//! Traces of the last calls, step by step: a bounded table, by call and by origin.
//!
//! A call keeps its identity along its path, so that it can be looked up at its origin, at a tandem and at the exchange
//! of the called number. The controller's decisions show in the recorded actions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::{CallId, Cause, ExchangeId, ExchangeNumber, SeizureNumber};
use mintstall_isup::{CallIdentity, Cic, Q850};

use crate::actions::{Answer, CallEnd};

/// One thing that happened to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceStep {
    /// A subscriber offered it and waits for `time_left`.
    Offered { time_left: Duration },
    /// It arrived from another exchange on a circuit.
    Arrived { from: ExchangeNumber, cic: Cic },
    /// A seizure was sent on `cic`, the first of `circuits` circuits; it is given up after `limit`.
    Seized {
        seizure: SeizureNumber,
        exchange: ExchangeId,
        to: ExchangeNumber,
        cic: Cic,
        circuits: u16,
        limit: Duration,
    },
    /// The far end has all digits (address complete).
    Alerted { seizure: SeizureNumber },
    /// A seizure ended, or was never sent.
    SeizureEnded { seizure: SeizureNumber, cause: Cause, elapsed: Duration },
    /// It stands over a circuit to another exchange.
    Stands,
    /// It stands at a number of this exchange.
    StandsHere,
    /// The final answer to its caller.
    Answered(Answer),
    /// Released towards the exchange that it came from.
    TurnedBack(Q850),
    /// The caller hung up or gave up, or its circuit or link was lost.
    CallerGone(Q850),
    /// The standing call ended in another way.
    Ended(CallEnd),
}

/// The trace of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    pub call: CallId,
    pub identity: CallIdentity,
    pub dest: ExchangeNumber,
    pub dialled: u64,
    /// Each with its time, on the clock of call control.
    pub steps: Vec<(Duration, TraceStep)>,
    /// Number of steps beyond the most that are kept.
    pub steps_omitted: u32,
}

impl Trace {
    pub fn last_step(&self) -> Option<&(Duration, TraceStep)> {
        self.steps.last()
    }

    /// Most seizures that were open at the same time: at most one, if the second rule was kept.
    pub fn max_open_seizures(&self) -> usize {
        self.steps
            .iter()
            .fold((0usize, 0usize), |(open, most), (_, step)| {
                let open = match step {
                    TraceStep::Seized { .. } => open + 1,
                    TraceStep::SeizureEnded { .. } => open.saturating_sub(1),
                    _ => open,
                };
                (open, most.max(open))
            })
            .1
    }
}

/// Most steps kept of one call: enough for five seizures with their steps, and its begin and end.
const MAX_STEPS: usize = 24;

/// The traces of the last calls, at most `capacity`; a new one replaces the oldest.
#[derive(Debug)]
pub(crate) struct Traces {
    capacity: usize,
    calls: BTreeMap<CallId, Trace>,
    order: VecDeque<CallId>,
}

impl Traces {
    /// No traces are kept if `capacity` is zero.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, calls: BTreeMap::new(), order: VecDeque::new() }
    }

    pub fn start(
        &mut self,
        at: Duration,
        call: CallId,
        identity: CallIdentity,
        dest: ExchangeNumber,
        dialled: u64,
        step: TraceStep,
    ) {
        if self.capacity == 0 {
            return;
        }
        // The new trace reuses the buffer of the oldest.
        let mut steps = Vec::new();
        if self.order.len() >= self.capacity
            && let Some(oldest) = self.order.pop_front().and_then(|oldest| self.calls.remove(&oldest))
        {
            steps = oldest.steps;
            steps.clear();
        }
        steps.push((at, step));
        self.order.push_back(call);
        self.calls.insert(call, Trace { call, identity, dest, dialled, steps, steps_omitted: 0 });
    }

    pub fn push(&mut self, at: Duration, call: CallId, step: TraceStep) {
        if let Some(trace) = self.calls.get_mut(&call) {
            if trace.steps.len() < MAX_STEPS {
                trace.steps.push((at, step));
            } else {
                trace.steps_omitted += 1;
            }
        }
    }

    pub fn get(&self, call: CallId) -> Option<&Trace> {
        self.calls.get(&call)
    }

    /// The traces of a call by its origin: more than one if it arrived here more than once.
    pub fn by_origin(&self, origin: ExchangeNumber, call: u64) -> impl Iterator<Item = &Trace> {
        let matches = move |trace: &&Trace| trace.identity.origin == origin.0 && trace.identity.call == call;
        self.calls.values().filter(matches)
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
        let step = TraceStep::Offered { time_left: Duration::from_secs(3) };
        traces.start(Duration::ZERO, CallId(call), identity(call), ExchangeNumber(2), 5, step);
    }

    #[test]
    fn a_new_call_replaces_the_oldest() {
        let mut traces = Traces::new(3);
        (1..=5).for_each(|call| begin(&mut traces, call));
        assert_eq!((traces.len(), traces.get(CallId(2)), traces.get(CallId(3)).is_some()), (3, None, true));
        assert_eq!(traces.get(CallId(5)).unwrap().steps.len(), 1, "no step of the replaced call is left");
        let mut none = Traces::new(0);
        begin(&mut none, 1);
        assert_eq!(none.len(), 0);
    }

    #[test]
    fn a_call_that_does_too_much_says_how_much_was_steps_omitted() {
        let mut traces = Traces::new(3);
        begin(&mut traces, 1);
        (0..40).for_each(|_| traces.push(Duration::ZERO, CallId(1), TraceStep::Stands));
        let trace = traces.get(CallId(1)).unwrap();
        assert_eq!((trace.steps.len(), trace.steps_omitted), (MAX_STEPS, 17));
        assert_eq!(traces.by_origin(ExchangeNumber(7), 1).count(), 1);
        assert_eq!(traces.by_origin(ExchangeNumber(8), 1).count(), 0);
    }
}
