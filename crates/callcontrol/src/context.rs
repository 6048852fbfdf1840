//! The state of call control, and the controller's actions carried out on its circuits, links and timers.
//!
//! An event that occurs while the controller handles another one (a seizure that can't be sent, a cancel that takes
//! effect) reaches the controller after it has returned, through the queue `deferred`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::{
    CallId, CapacityReport, Cause, ControllerActions, ExchangeId, ExchangeNumber, PeerId, SeizureEnded,
    SeizureNumber, TimerId,
};
use mintstall::random::MwcRng;
use mintstall_isup::{
    Body, CauseIndicators, Cic, CircuitMap, Crankback, Frame, Iam, Location, Message, ProcessorReport,
    ProtocolData, Q850, RangeStatus, Rel, m3ua,
};

use crate::actions::{Answer, CallControlActions};
use crate::audit::Audit;
use crate::calls::{CallRecord, HeldCircuits, IncomingSide, OutgoingSeizure, OutgoingSide};
use crate::circuits::{CircuitUse, TrunkGroup};
use crate::config::{HOP_LIMIT, JITTER_FRACTION, Timers};
use crate::links::Link;
use crate::status::Counters;
use crate::timers::{Timer, TimerHandle, TimerQueue};
use crate::trace::{TraceStep, Traces};

pub(crate) type DeferredEvent = Box<dyn FnOnce(&mut Controller, &mut EventContext)>;

/// All state of call control besides the controller.
pub(crate) struct CallControlState {
    pub own: ExchangeNumber,
    pub durations: Timers,
    pub max_calls: usize,
    pub widths: Vec<u16>,
    /// Fixed at start.
    pub groups: BTreeMap<ExchangeNumber, TrunkGroup>,
    pub links: BTreeMap<ExchangeNumber, Link>,
    /// At most one for each link.
    pub audits: BTreeMap<ExchangeNumber, Audit>,
    /// At most `max_calls`; an entry is removed as its call ends.
    pub calls: BTreeMap<CallId, CallRecord>,
    pub timers: TimerQueue,
    /// For the jitter of timers that must not run in step with those of other exchanges.
    pub rng: MwcRng,
    /// Set and cleared by the membership list.
    pub exchanges: BTreeMap<ExchangeId, ExchangeNumber>,
    /// Numbers with a limited number of lines: their lines, and the lines taken. Fixed at start.
    pub lines: BTreeMap<u64, (u16, u16)>,
    /// The report of the own processor, sent along with answers and releases.
    pub own_report: Option<ProcessorReport>,
    /// Events for the controller; emptied before call control returns.
    pub deferred: VecDeque<DeferredEvent>,
    /// Groups of which the controller must get a capacity report; emptied before call control returns.
    pub changed_groups: BTreeSet<ExchangeNumber>,
    pub next_call: u64,
    /// Calls of subscribers whose final answer is outstanding.
    pub pending_answers: usize,
    pub counters: Counters,
    pub traces: Traces,
    /// Reused when frames and messages are encoded.
    pub frame_buffer: Vec<u8>,
    pub message_buffer: Vec<u8>,
}

/// State, actions and time while one event is handled; the controller acts on it.
pub(crate) struct EventContext<'a> {
    pub state: &'a mut CallControlState,
    pub actions: &'a mut dyn CallControlActions,
    pub now: Duration,
}

impl CallControlState {
    pub fn exchanges_at(&self, number: ExchangeNumber) -> impl Iterator<Item = ExchangeId> {
        self.exchanges.iter().filter(move |(_, at)| **at == number).map(|(id, _)| *id)
    }

    /// Number of free and of unblocked circuits of the group to an exchange, for the controller.
    pub fn group_report(&self, number: ExchangeNumber) -> CapacityReport {
        let group = self.groups.get(&number);
        let (free, size) = group.map_or((0, 0), |group| (group.free_count(), group.unblocked_count()));
        CapacityReport { free: Some(free as f64), size: Some(size as f64), ..CapacityReport::default() }
    }

    /// Lengthens a duration by a random share of at most [`JITTER_FRACTION`].
    pub fn with_jitter(&mut self, duration: Duration) -> Duration {
        duration.mul_f64(1.0 + JITTER_FRACTION * self.rng.next_f64())
    }

    /// Removes a call and cancels its timers.
    pub fn remove_call(&mut self, call: CallId) {
        if let Some(record) = self.calls.remove(&call) {
            record
                .guard_timer
                .into_iter()
                .chain(record.controller_timer)
                .for_each(|timer| self.timers.cancel(timer));
        }
    }

    /// Removes a call if its caller is gone and its last seizure has ended.
    pub fn remove_if_finished(&mut self, call: CallId) {
        if self.calls.get(&call).is_some_and(|record| {
            matches!((&record.incoming, &record.outgoing), (IncomingSide::Gone, OutgoingSide::Waiting))
        }) {
            self.remove_call(call);
        }
    }

    /// Whether the caller of a call has the final answer or is gone.
    pub fn has_final_answer(&self, call: CallId) -> bool {
        self.calls.get(&call).is_none_or(|record| matches!(record.incoming, IncomingSide::Gone))
    }
}

impl EventContext<'_> {
    pub fn send(&mut self, to: ExchangeNumber, cic: Cic, body: Body) {
        if !self.state.links.get(&to).is_some_and(Link::is_usable) {
            return;
        }
        if let Body::Rel(_) | Body::Rsc = body
            && let Some(group) = self.state.groups.get_mut(&to)
            && let Some(index) = group.index_of(cic)
        {
            group.await_complete(index);
        }
        let CallControlState { frame_buffer, message_buffer, own, .. } = &mut *self.state;
        frame_buffer.clear();
        message_buffer.clear();
        Message::new(cic, body).write(message_buffer);
        // One signalling link selection, the low four bits of the CIC, keeps the order of all messages of a circuit
        // (Q.704 clause 14.2.2).
        let sls = (cic.0 & 15) as u8;
        let (opc, dpc) = (u32::from(own.0), u32::from(to.0));
        let data = ProtocolData {
            opc,
            dpc,
            service: m3ua::ISUP,
            network: 2,
            priority: 0,
            sls,
            user: message_buffer,
        };
        Frame::Data(data).write(frame_buffer);
        self.actions.send(to, frame_buffer);
    }

    pub fn send_frame(&mut self, to: ExchangeNumber, frame: Frame) {
        self.state.frame_buffer.clear();
        frame.write(&mut self.state.frame_buffer);
        self.actions.send(to, &self.state.frame_buffer);
    }

    pub fn trace(&mut self, call: CallId, step: TraceStep) {
        self.state.traces.push(self.now, call, step);
    }

    pub fn set_usage(&mut self, held: &HeldCircuits, usage: CircuitUse) {
        if let Some(group) = self.state.groups.get_mut(&held.to) {
            held.indices.iter().for_each(|index| group.set_usage(*index, usage));
        }
        self.state.changed_groups.insert(held.to);
    }

    /// Sets the use of the signalling circuit of a call; its other circuits become released with it.
    pub fn set_signalling_usage(&mut self, held: &HeldCircuits, usage: CircuitUse) {
        self.set_usage(held, CircuitUse::ReleasedWith(held.first()));
        if let Some(group) = self.state.groups.get_mut(&held.to) {
            group.set_usage(held.first(), usage);
        }
    }

    /// Releases circuits from this end: sends a release, and the circuits stay taken until it is completed.
    pub fn release_held(&mut self, held: &HeldCircuits, rel: Rel) {
        let rel = Rel { report: rel.report.or(self.state.own_report), ..rel };
        self.send(held.to, Cic::from_index(held.first()), Body::Rel(rel));
        let (since, t1) = (self.now, self.state.with_jitter(self.state.durations.t1));
        let timer = self.state.timers.set(since + t1, Timer::Circuit(held.to, held.first()));
        self.set_signalling_usage(held, CircuitUse::Releasing { since, timer });
    }

    /// Resets circuits whose state at the far end is unknown, at once or when their link opens again.
    pub fn reset_held(&mut self, held: &HeldCircuits) {
        self.state.counters.resets += 1;
        let usable = self.state.links.get(&held.to).is_some_and(Link::is_usable);
        let timer = usable.then(|| self.set_reset_timer(held.to, held.first(), self.state.durations.t16));
        self.send(held.to, Cic::from_index(held.first()), Body::Rsc);
        self.set_signalling_usage(held, CircuitUse::Resetting { timer });
    }

    pub fn set_reset_timer(&mut self, to: ExchangeNumber, index: u16, after: Duration) -> TimerHandle {
        let after = self.state.with_jitter(after);
        self.state.timers.set(self.now + after, Timer::Circuit(to, index))
    }

    /// Makes a circuit idle, with those that are released with it.
    pub fn make_idle(&mut self, to: ExchangeNumber, index: u16) {
        let Some(group) = self.state.groups.get_mut(&to) else { return };
        let usage = group.get(index).map(|circuit| circuit.usage);
        if let Some(CircuitUse::Releasing { timer, .. } | CircuitUse::Resetting { timer: Some(timer) }) =
            usage
        {
            self.state.timers.cancel(timer);
        }
        group.with_released(index).into_iter().for_each(|index| group.set_usage(index, CircuitUse::Idle));
        self.state.changed_groups.insert(to);
    }

    /// Reports the end of a seizure to the controller after it has returned.
    fn defer_seizure_end(
        &mut self,
        call: CallId,
        seizure: SeizureNumber,
        exchange: ExchangeId,
        elapsed: Duration,
        cause: Cause,
    ) {
        self.state.deferred.push_back(Box::new(move |controller, context| {
            let closed = context.state.has_final_answer(call);
            if let Some(record) = context.state.calls.get_mut(&call) {
                record.last_cause = Some(cause);
            }
            context.trace(call, TraceStep::SeizureEnded { seizure, cause, elapsed });
            controller.on_seizure_ended(
                context.now,
                context,
                &SeizureEnded { call, seizure, exchange, cause, elapsed, closed },
            );
            context.state.remove_if_finished(call);
        }));
    }

    /// Gives a call the final answer that the controller has chosen, possibly because time ran out.
    pub fn send_final_answer(&mut self, call: CallId, answer: Answer) {
        let Some(record) = self.state.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut record.incoming, IncomingSide::Gone) {
            IncomingSide::Subscriber => {
                let counters = &mut self.state.counters;
                *(if answer == Answer::Fails { &mut counters.failed } else { &mut counters.refused }) += 1;
                self.state.pending_answers -= 1;
                self.trace(call, TraceStep::Answered(answer));
                self.actions.answer(call, answer);
            }
            IncomingSide::Trunk(held) => {
                let rel = crankback_release(record.last_cause);
                self.trace(call, TraceStep::TurnedBack(rel.cause.cause));
                self.release_held(&held, rel);
            }
            IncomingSide::Gone => {}
        }
        self.state.remove_if_finished(call);
    }
}

/// The release of a call in transit towards its origin: user busy if the number is busy, else crankback.
fn crankback_release(last_cause: Option<Cause>) -> Rel<'static> {
    match last_cause {
        Some(Cause::Busy) => Rel::new(CauseIndicators::new(Location::Remote, Q850::UserBusy)),
        _ => {
            let next_exchange_full = matches!(last_cause, Some(Cause::ProcessorFull { .. }));
            let rel = Rel::new(CauseIndicators::new(Location::Transit, Q850::NoCircuit));
            Rel { crankback: Some(Crankback { next_exchange_full }), ..rel }
        }
    }
}

impl ControllerActions for EventContext<'_> {
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration) {
        let now = self.now;
        let number = self.state.exchanges.get(&to).copied();
        let Some(record) = self.state.calls.get_mut(&call) else { return };
        let seizure = SeizureNumber(record.seizure_count);
        record.seizure_count = record.seizure_count.saturating_add(1);
        let linked = number.filter(|number| self.state.links.get(number).is_some_and(Link::is_usable));
        let Some(number) = linked else {
            return self.defer_seizure_end(call, seizure, to, Duration::ZERO, Cause::Unreachable);
        };
        let indices = self.state.groups.get(&number).and_then(|group| group.select(record.width));
        let Some(indices) = indices else {
            return self.defer_seizure_end(
                call,
                seizure,
                to,
                Duration::ZERO,
                Cause::NotSent { own_down: false },
            );
        };
        let held = HeldCircuits { to: number, indices };
        let limit_timer = self
            .state
            .timers
            .set(now + limit.min(self.state.durations.t7), Timer::SeizureLimit(call, seizure));
        let mut identity = record.identity;
        let hops = match record.incoming {
            IncomingSide::Trunk(_) => 0,
            _ => {
                identity.seizure = seizure.0;
                HOP_LIMIT
            }
        };
        identity.time_left_ms =
            u32::try_from(record.deadline.saturating_sub(now).as_millis()).unwrap_or(u32::MAX);
        let bit = |index: &u16| 1 << (index % Cic::PER_SYSTEM);
        let map = (held.indices.len() > 1)
            .then(|| CircuitMap(held.indices.iter().map(bit).fold(0, |map, bit| map | bit)));
        let iam = Iam {
            nature: 0,
            // National call, ISUP all the way.
            forward: [0x60, 0x01],
            // Ordinary calling subscriber; speech, or several 64 kbit/s circuits according to the map.
            category: 0x0a,
            medium: 0,
            called: record.called,
            calling: None,
            map,
            hops: Some(hops),
            identity: Some(identity),
            unknown_parameters: Vec::new(),
        };
        let first = Cic::from_index(held.first());
        let circuits = held.indices.len() as u16;
        let limit = limit.min(self.state.durations.t7);
        self.state.counters.seizures += 1;
        self.state.traces.push(
            now,
            call,
            TraceStep::Seized { seizure, exchange: to, to: number, cic: first, circuits, limit },
        );
        record.outgoing = OutgoingSide::Seized(OutgoingSeizure {
            number: seizure,
            exchange: to,
            held: held.clone(),
            sent_at: now,
            limit_timer: Some(limit_timer),
            prevailed: false,
        });
        self.set_usage(&held, CircuitUse::SeizedOut(call));
        self.send(number, first, Body::Iam(iam));
    }

    fn cancel(&mut self, call: CallId, number: SeizureNumber) {
        let Some(record) = self.state.calls.get_mut(&call) else { return };
        match std::mem::replace(&mut record.outgoing, OutgoingSide::Waiting) {
            OutgoingSide::Seized(seizure) if seizure.number == number => {
                seizure.limit_timer.into_iter().for_each(|timer| self.state.timers.cancel(timer));
                self.release_held(
                    &seizure.held,
                    Rel::new(CauseIndicators::new(Location::Local, Q850::NormalClearing)),
                );
                self.defer_seizure_end(
                    call,
                    number,
                    seizure.exchange,
                    self.now - seizure.sent_at,
                    Cause::Cancelled,
                );
            }
            other => record.outgoing = other,
        }
    }

    fn reject(&mut self, call: CallId, retry_after: Duration) {
        self.send_final_answer(call, Answer::Refused { retry_after });
    }

    fn release(&mut self, call: CallId) {
        self.send_final_answer(call, Answer::Fails);
    }

    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        let handle = self.state.timers.set(self.now + after, Timer::Controller(timer));
        if let Some(record) = self.state.calls.get_mut(&CallId(timer.0))
            && let Some(before) = record.controller_timer.replace(handle)
        {
            self.state.timers.cancel(before);
        }
    }

    fn send_to_peers(&mut self, peer: Option<PeerId>, message: &[u8]) {
        let all = self.state.links.keys().copied();
        let to: Vec<_> = all.filter(|number| peer.is_none_or(|peer| peer.0 == number.0)).collect();
        for number in to {
            // Keeps messages of the first second from being lost on links that open a moment later.
            if let Some(link) = self.state.links.get_mut(&number).filter(|link| !link.is_usable()) {
                link.queued_peer_message = Some(message.to_vec());
            }
            self.send(number, Cic(0), Body::Peer(message));
        }
    }

    /// The membership list arrives without a subscription here.
    fn subscribe(&mut self) {}

    fn log(&mut self, line: &str) {
        self.actions.log_info(line);
    }
}

/// The circuits of a range, by their indices in a group, with their status bits.
pub(crate) fn circuits_in_range(group: &TrunkGroup, first: Cic, range: RangeStatus) -> Vec<(u16, bool)> {
    let circuits = (0..u16::from(range.count))
        .map(|offset| (Cic(first.0.saturating_add(offset)), range.status >> offset & 1 == 1));
    circuits.filter_map(|(cic, status)| Some((group.index_of(cic)?, status))).collect()
}
