//! Events from other exchanges: M3UA frames of a link, ISUP messages of a circuit.
//!
//! A message is handled according to the state of its circuit. A message that is unexpected in that state is counted
//! and, if it shows that the two ends disagree, the circuit is reset (Q.764 clause 2.9.5).

use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::{CallId, CapacityReport, Cause, ExchangeNumber, PeerId, SeizureAnswered};
use mintstall_isup::{
    Body, CallIdentity, CauseIndicators, Cic, Frame, FrameError, Iam, Location, Message, Number,
    ProcessorReport, Q850, RangeStatus, Rel, m3ua,
};

use crate::actions::{Answer, CallControlActions, CallEnd};
use crate::callcontrol::{CallControl, EXCHANGE_DIGITS, local_failure, normal_clearing};
use crate::calls::{CallRecord, HeldCircuits, IncomingSide, OutgoingSeizure, OutgoingSide};
use crate::circuits::{CircuitUse, TrunkGroup};
use crate::config::ANSWER_MARGIN;
use crate::context::{EventContext, circuits_in_range};
use crate::links::{LocalAspState, RemoteAspState};
use crate::timers::Timer;
use crate::trace::TraceStep;

/// No charge, subscriber free, ISUP all the way, terminating access ISDN.
const BACKWARD_INDICATORS: [u8; 2] = [0x16, 0x34];

impl CallControl {
    /// Handles octets received on the link from an exchange, split at any point.
    pub fn on_octets(
        &mut self,
        now: Duration,
        actions: &mut dyn CallControlActions,
        from: ExchangeNumber,
        octets: &[u8],
    ) {
        let Some(link) =
            self.state.links.get_mut(&from).filter(|link| link.local_state != LocalAspState::Down)
        else {
            return;
        };
        // Taken out of the link, since the handling of a frame may change the link.
        let mut deframer = std::mem::take(&mut link.deframer);
        link.unanswered_requests = 0;
        deframer.push(octets);
        let closing = self.is_closing();
        let error: Option<FrameError> = loop {
            match deframer.next().and_then(|frame| frame.map(Frame::read).transpose()) {
                Ok(Some(frame)) => self.handle_event(now, actions, |controller, context| {
                    context.on_frame(controller, from, frame, closing)
                }),
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        if let Some(link) = self.state.links.get_mut(&from) {
            link.deframer = deframer;
        }
        if let Some(error) = error {
            self.state.counters.unexpected += 1;
            actions.close_link(from, &error.to_string());
        }
    }
}

impl EventContext<'_> {
    fn on_frame(&mut self, controller: &mut Controller, from: ExchangeNumber, frame: Frame, closing: bool) {
        let Some(link) = self.state.links.get_mut(&from) else { return };
        let was_usable = link.is_usable();
        match frame {
            Frame::AspUp { .. } => {
                link.remote_state = RemoteAspState::Inactive;
                self.send_frame(from, Frame::AspUpAck { asp: Some(self.state.own.0.into()) });
            }
            Frame::AspUpAck { .. } => self.on_asp_up_ack(from),
            Frame::AspActive => {
                link.remote_state = RemoteAspState::Active;
                self.send_frame(from, Frame::AspActiveAck);
            }
            Frame::AspActiveAck if link.local_state == LocalAspState::Activating => {
                link.local_state = LocalAspState::Active
            }
            Frame::AspInactive => {
                link.remote_state = RemoteAspState::Inactive;
                self.send_frame(from, Frame::AspInactiveAck);
            }
            Frame::AspDown => {
                link.remote_state = RemoteAspState::Inactive;
                self.send_frame(from, Frame::AspDownAck);
            }
            Frame::Heartbeat(data) => self.send_frame(from, Frame::HeartbeatAck(data)),
            Frame::Data(data)
                if !was_usable || data.service != m3ua::ISUP || data.dpc != u32::from(self.state.own.0) =>
            {
                self.state.counters.unexpected += 1;
                self.send_frame(from, Frame::Error { code: m3ua::UNEXPECTED_MESSAGE });
            }
            Frame::Data(data) => match Message::read(data.user) {
                Ok(message) => self.on_message(controller, from, message, closing),
                Err(_) => {
                    self.state.counters.unexpected += 1;
                    self.send_frame(from, Frame::Error { code: m3ua::PROTOCOL_ERROR });
                }
            },
            Frame::Other { .. } => {
                self.state.counters.unexpected += 1;
                self.send_frame(from, Frame::Error { code: m3ua::UNSUPPORTED_CLASS });
            }
            _ => {}
        }
        if !was_usable && self.state.links.get(&from).is_some_and(|link| link.is_usable()) {
            self.on_link_open(from);
        }
    }

    fn on_message(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        message: Message,
        closing: bool,
    ) {
        let cic = message.cic;
        if let Body::Peer(octets) = message.body {
            return controller.on_peer_message(self.now, self, PeerId(from.0), octets);
        }
        let Some(index) = self.state.groups.get(&from).and_then(|group| group.index_of(cic)) else {
            self.state.counters.unexpected += 1;
            // A set-up on a circuit that this group does not have.
            if let Body::Iam(_) = message.body {
                self.send(from, cic, Body::Rel(local_failure(Q850::CircuitNotAvailable)));
            }
            return;
        };
        let usage = self.state.groups[&from].get(index).map_or(CircuitUse::Idle, |circuit| circuit.usage);
        match message.body {
            Body::Iam(iam) => self.on_iam(controller, from, index, &iam, closing),
            Body::Acm { report, .. } => {
                self.on_processor_report(controller, from, &report);
                if let CircuitUse::SeizedOut(call) = usage {
                    if let Some(CallRecord { outgoing: OutgoingSide::Seized(seizure), .. }) =
                        self.state.calls.get(&call)
                    {
                        let number = seizure.number;
                        self.trace(call, TraceStep::Alerted { seizure: number });
                    }
                    self.send_backward(
                        call,
                        Body::Acm {
                            backward: BACKWARD_INDICATORS,
                            report: self.state.own_report,
                            unknown_parameters: Vec::new(),
                        },
                    );
                }
            }
            Body::Cpg { event, .. } => {
                if let CircuitUse::SeizedOut(call) = usage {
                    self.send_backward(call, Body::Cpg { event, unknown_parameters: Vec::new() });
                }
            }
            Body::Anm { report, .. } => {
                self.on_processor_report(controller, from, &report);
                match usage {
                    CircuitUse::SeizedOut(call) => self.on_answer(controller, call),
                    _ => self.state.counters.unexpected += 1,
                }
            }
            Body::Rel(rel) => {
                self.on_processor_report(controller, from, &rel.report);
                // Also if a release from this end is in transit: each end completes the other's (Q.764 clause 2.3.1).
                self.send(from, cic, Body::Rlc { unknown_parameters: Vec::new() });
                let cause = match usage {
                    CircuitUse::SeizedOut(call) => match self.prevailed_on(call) {
                        // Not on the signalling circuit of the seizure: the far end releases its own set-up.
                        Some(first) if first != index => return,
                        Some(_) => cause_after_prevailing(&rel),
                        None => seizure_cause(&rel),
                    },
                    _ => end_cause(&rel),
                };
                if let Some(call) = usage.call() {
                    self.on_circuits_lost(
                        controller,
                        call,
                        (from, index),
                        cause,
                        &onward_release(&rel),
                        HeldCircuits::set_idle,
                    );
                }
            }
            Body::Rlc { .. } => {
                let is_due = self.state.groups.get_mut(&from).is_some_and(|group| group.take_complete(index));
                self.on_release_complete(controller, (from, index), usage, is_due);
            }
            Body::Rsc => {
                if self.state.groups[&from].get(index).is_some_and(|circuit| circuit.blocking.is_local()) {
                    self.send(from, cic, Body::Blo);
                }
                self.send(from, cic, Body::Rlc { unknown_parameters: Vec::new() });
                self.on_circuit_reset(controller, from, index, usage);
            }
            Body::Grs { count } => {
                let circuits =
                    circuits_in_range(&self.state.groups[&from], cic, RangeStatus { count, status: 0 });
                let indices: Vec<u16> = circuits.into_iter().map(|(index, _)| index).collect();
                // No circuit may be seized until all are reset and the reset is acknowledged: otherwise a waiting call
                // that proceeds when another one ends could seize a circuit that is reset next, with its set-up in
                // transit.
                indices.iter().for_each(|index| self.set_remote_blocking(from, *index, true));
                let mut status = 0;
                for (offset, index) in indices.iter().enumerate() {
                    let Some(circuit) = self.state.groups[&from].get(*index).copied() else { continue };
                    status |= u32::from(circuit.blocking.is_local()) << offset;
                    self.clear_circuit(controller, from, *index, circuit.usage);
                }
                self.send(from, cic, Body::Gra(RangeStatus { count, status }));
                indices.iter().for_each(|index| self.set_remote_blocking(from, *index, false));
            }
            Body::Gra(range) => {
                for (index, blocked) in circuits_in_range(&self.state.groups[&from], cic, range) {
                    self.set_remote_blocking(from, index, blocked);
                    let usage = self.state.groups[&from].get(index).map(|circuit| circuit.usage);
                    if let Some(CircuitUse::Resetting { timer: None }) = usage {
                        self.make_idle(from, index);
                    }
                }
            }
            Body::Blo => {
                self.set_remote_blocking(from, index, true);
                self.send(from, cic, Body::Bla);
            }
            Body::Ubl => {
                self.set_remote_blocking(from, index, false);
                self.send(from, cic, Body::Uba);
            }
            Body::Cgb { kind, range } => {
                const HARDWARE: u8 = 1;
                let circuits = circuits_in_range(&self.state.groups[&from], cic, range);
                let indices: Vec<_> =
                    circuits.into_iter().filter(|(_, status)| *status).map(|(index, _)| index).collect();
                indices.iter().for_each(|index| self.set_remote_blocking(from, *index, true));
                for index in indices.into_iter().filter(|_| kind == HARDWARE) {
                    self.on_circuit_failure(controller, from, index);
                }
                self.send(from, cic, Body::Cgba { kind, range });
            }
            Body::Cgu { kind, range } => {
                for (index, _) in circuits_in_range(&self.state.groups[&from], cic, range)
                    .into_iter()
                    .filter(|(_, status)| *status)
                {
                    self.set_remote_blocking(from, index, false);
                }
                self.send(from, cic, Body::Cgua { kind, range });
            }
            Body::Cqm { count } => {
                let states = (0..u16::from(count)).map(|offset| {
                    let group = &self.state.groups[&from];
                    let index = group.index_of(Cic(cic.0.saturating_add(offset)));
                    index.map_or(mintstall_isup::CircuitState::Unequipped, |index| group.query_state(index))
                });
                let states = states.collect();
                self.send(from, cic, Body::Cqr { states });
            }
            Body::Cqr { states } => self.on_query_response(controller, from, cic, &states),
            Body::Bla | Body::Uba | Body::Cgba { .. } | Body::Cgua { .. } => {}
            Body::Unknown { .. } => self.state.counters.unexpected += 1,
            Body::Peer(_) => {}
        }
    }

    /// The far end has completed a release or a reset. `is_due`: one was sent that it has not completed before.
    fn on_release_complete(
        &mut self,
        controller: &mut Controller,
        (from, index): (ExchangeNumber, u16),
        usage: CircuitUse,
        is_due: bool,
    ) {
        match usage {
            CircuitUse::Releasing { .. } | CircuitUse::Resetting { timer: Some(_) } => {
                self.make_idle(from, index)
            }
            CircuitUse::Idle | CircuitUse::ReleasedWith(_) | CircuitUse::Resetting { timer: None } => {}
            // It completes a repeated release of the call before.
            _ if is_due => {}
            // The call is over for the far end, but not here: the state of the circuit is unknown.
            _ => {
                self.state.counters.unexpected += 1;
                let rel = local_failure(Q850::ProtocolError);
                usage.call().into_iter().for_each(|call| {
                    self.on_circuits_lost(
                        controller,
                        call,
                        (from, index),
                        Cause::Cut,
                        &rel,
                        HeldCircuits::reset,
                    );
                });
            }
        }
    }

    /// The signalling circuit of a seizure that prevailed over a set-up of the far end.
    fn prevailed_on(&self, call: CallId) -> Option<u16> {
        match &self.state.calls.get(&call)?.outgoing {
            OutgoingSide::Seized(seizure) if seizure.prevailed => Some(seizure.held.first()),
            _ => None,
        }
    }

    fn on_processor_report(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        report: &Option<ProcessorReport>,
    ) {
        let Some(report) = report else { return };
        let capacity = CapacityReport {
            rate: report.rate_milli.map(|milli| f64::from(milli) / 1e3),
            ..CapacityReport::default()
        };
        let exchanges: Vec<_> = self.state.exchanges_at(from).collect();
        exchanges.into_iter().for_each(|id| controller.on_capacity_report(self.now, self, id, &capacity));
    }

    fn set_remote_blocking(&mut self, from: ExchangeNumber, index: u16, blocked: bool) {
        if let Some(group) = self.state.groups.get_mut(&from) {
            group.block(index, None, Some(blocked));
            self.state.changed_groups.insert(from);
        }
    }

    /// The far end resets a circuit: its call is cut, and the blocking by the far end ends (Q.764 clause 2.9.3).
    fn on_circuit_reset(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        index: u16,
        usage: CircuitUse,
    ) {
        self.set_remote_blocking(from, index, false);
        self.clear_circuit(controller, from, index, usage);
    }

    /// Frees a circuit that the far end has reset, and cuts its call.
    fn clear_circuit(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        index: u16,
        usage: CircuitUse,
    ) {
        match usage {
            CircuitUse::Releasing { .. } => self.make_idle(from, index),
            _ => {
                let rel = local_failure(Q850::TemporaryFailure);
                usage.call().into_iter().for_each(|call| {
                    self.on_circuits_lost(
                        controller,
                        call,
                        (from, index),
                        Cause::Cut,
                        &rel,
                        HeldCircuits::set_idle,
                    );
                });
            }
        }
    }

    /// Sends a message of a call in transit backward to the exchange that the call came from.
    fn send_backward(&mut self, call: CallId, body: Body) {
        if let Some(CallRecord { incoming: IncomingSide::Trunk(held), .. }) = self.state.calls.get(&call) {
            let (to, cic) = (held.to, Cic::from_index(held.first()));
            self.send(to, cic, body);
        }
    }

    /// The seizure of a call is answered: the call stands.
    fn on_answer(&mut self, controller: &mut Controller, call: CallId) {
        let now = self.now;
        let Some(record) = self.state.calls.get_mut(&call) else { return };
        let OutgoingSide::Seized(seizure) = std::mem::replace(&mut record.outgoing, OutgoingSide::Waiting)
        else {
            return;
        };
        self.state.traces.push(now, call, TraceStep::Stands);
        let (exchange, number, elapsed, held) =
            (seizure.exchange, seizure.number, now - seizure.sent_at, seizure.held.clone());
        let stopped = [record.guard_timer.take(), record.controller_timer.take(), seizure.limit_timer];
        stopped.into_iter().flatten().for_each(|timer| self.state.timers.cancel(timer));
        record.outgoing = OutgoingSide::Standing(OutgoingSeizure { limit_timer: None, ..seizure });
        let incoming = match &record.incoming {
            IncomingSide::Trunk(held) => Some(held.clone()),
            IncomingSide::Subscriber => {
                self.state.pending_answers -= 1;
                self.state.counters.stood += 1;
                self.state.traces.push(now, call, TraceStep::Answered(Answer::Stands));
                self.actions.answer(call, Answer::Stands);
                None
            }
            IncomingSide::Gone => None,
        };
        self.set_usage(&held, CircuitUse::StandingOut(call));
        if let Some(incoming) = incoming {
            self.set_usage(&incoming, CircuitUse::StandingIn(call));
            self.send(
                incoming.to,
                Cic::from_index(incoming.first()),
                Body::Anm { report: self.state.own_report, unknown_parameters: Vec::new() },
            );
        }
        controller.on_seizure_answered(
            now,
            self,
            &SeizureAnswered { call, seizure: number, exchange, elapsed },
        );
        // The caller had gone, but the seizure could not be cancelled.
        if let Some(CallRecord { incoming: IncomingSide::Gone, .. }) = self.state.calls.get(&call) {
            self.caller_gone(controller, call, normal_clearing(Location::Local));
        }
    }

    /// A call loses the circuits that it holds on one side; `update_circuits` sets their new state, `rel` is sent on
    /// its other side.
    pub fn on_circuits_lost(
        &mut self,
        controller: &mut Controller,
        call: CallId,
        (to, index): (ExchangeNumber, u16),
        cause: Cause,
        rel: &Rel,
        update_circuits: fn(&HeldCircuits, &mut Self),
    ) {
        let now = self.now;
        let Some(record) = self.state.calls.get_mut(&call) else { return };
        let includes = |held: &HeldCircuits| held.to == to && held.indices.contains(&index);
        if let IncomingSide::Trunk(held) = &record.incoming
            && includes(held)
        {
            let held = held.clone();
            update_circuits(&held, self);
            return self.caller_gone(controller, call, Rel { unknown_parameters: Vec::new(), ..rel.clone() });
        }
        match std::mem::replace(&mut record.outgoing, OutgoingSide::Waiting) {
            OutgoingSide::Seized(seizure) if includes(&seizure.held) => {
                record.last_cause = Some(cause);
                self.state.traces.push(
                    now,
                    call,
                    TraceStep::SeizureEnded {
                        seizure: seizure.number,
                        cause,
                        elapsed: now - seizure.sent_at,
                    },
                );
                seizure.limit_timer.into_iter().for_each(|timer| self.state.timers.cancel(timer));
                update_circuits(&seizure.held, self);
                let closed = self.state.has_final_answer(call);
                controller.on_seizure_ended(now, self, &seizure.end_event(call, now, cause, closed));
                self.state.remove_if_finished(call);
            }
            OutgoingSide::Standing(seizure) if includes(&seizure.held) => {
                update_circuits(&seizure.held, self);
                match &incoming_circuits(self, call) {
                    Some(held) => self.release_if_seized(held, rel),
                    None => {
                        let cut = cause != Cause::Done;
                        self.state.counters.cut += u64::from(cut);
                        let end = if cut { CallEnd::Cut } else { CallEnd::Released };
                        self.trace(call, TraceStep::Ended(end));
                        self.actions.call_ended(call, end);
                    }
                }
                self.state.remove_call(call);
                controller.on_seizure_ended(now, self, &seizure.end_event(call, now, cause, true));
            }
            other => record.outgoing = other,
        }
    }

    /// A link is lost: set-ups on it fail, and it is unknown whether the far end has received them.
    pub fn on_link_lost(&mut self, controller: &mut Controller, to: ExchangeNumber) {
        let grace_end = self.now + self.state.durations.link_grace;
        let Some(link) = self.state.links.get_mut(&to).filter(|link| link.local_state != LocalAspState::Down)
        else {
            return;
        };
        (link.local_state, link.remote_state) = (LocalAspState::Down, RemoteAspState::Inactive);
        link.timer.take().into_iter().for_each(|timer| self.state.timers.cancel(timer));
        self.state.groups.entry(to).and_modify(TrunkGroup::forget_completes);
        // The grace runs from when the link was last usable: a connection that is lost while it opens does not prolong it.
        if link.grace_timer.is_none() {
            link.grace_timer = Some(self.state.timers.set(grace_end, Timer::LinkGrace(to)));
        }
        self.actions.log_info(&format!("link to exchange {} is lost", to.0));
        self.drop_calls(controller, to, |usage| {
            matches!(usage, CircuitUse::SeizedOut(_) | CircuitUse::SeizedIn(_))
        });
    }

    /// The link was not restored within `link_grace`: cuts its standing calls.
    pub fn on_link_grace(&mut self, controller: &mut Controller, to: ExchangeNumber) {
        if let Some(link) = self.state.links.get_mut(&to) {
            link.grace_timer = None;
            self.drop_calls(controller, to, |usage| usage.call().is_some());
        }
    }

    fn drop_calls(
        &mut self,
        controller: &mut Controller,
        to: ExchangeNumber,
        is_lost: fn(CircuitUse) -> bool,
    ) {
        let Some(group) = self.state.groups.get(&to) else { return };
        let lost: Vec<_> =
            group.iter().filter(|(_, circuit)| is_lost(circuit.usage)).map(|(index, _)| index).collect();
        let rel = local_failure(Q850::NetworkOutOfOrder);
        for index in lost {
            let usage =
                self.state.groups.get(&to).and_then(|group| group.get(index)).map(|circuit| circuit.usage);
            if let Some(call) = usage.and_then(CircuitUse::call) {
                self.on_circuits_lost(controller, call, (to, index), Cause::Cut, &rel, HeldCircuits::reset);
            }
        }
    }

    fn on_iam(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        first: u16,
        iam: &Iam,
        closing: bool,
    ) {
        let Some(indices) = self.circuits_for_set_up(controller, from, first, iam) else { return };
        let held = HeldCircuits { to: from, indices };
        let digits = iam.called.digits();
        let (exchange_digits, number_digits) = digits.split_at(EXCHANGE_DIGITS.min(digits.len()));
        let dest = Number::parse_decimal(exchange_digits).and_then(|dest| u16::try_from(dest).ok());
        let (Some(dest), Some(dialled)) =
            (dest.filter(|_| exchange_digits.len() == EXCHANGE_DIGITS), Number::parse_decimal(number_digits))
        else {
            // Invalid number format (Q.850 value 28).
            return self.release_held(&held, local_failure(Q850::Other(28)));
        };
        let refusal = if closing {
            Some(Q850::OutOfOrder)
        } else if self.state.calls.len() >= self.state.max_calls {
            self.state.counters.overflow += 1;
            Some(Q850::Congestion)
        } else if ExchangeNumber(dest) != self.state.own && iam.hops == Some(0) {
            // Exchange routing error (Q.850 value 25): the call would loop.
            Some(Q850::Other(25))
        } else {
            None
        };
        if let Some(cause) = refusal {
            return self.release_held(&held, local_failure(cause));
        }
        let call = CallId(self.state.next_call + 1);
        self.state.next_call += 1;
        let identity = iam.identity.unwrap_or(CallIdentity {
            origin: from.0,
            call: call.0,
            seizure: 0,
            call_type: 0,
            customer: 0,
            time_left_ms: self.state.durations.t7.as_millis() as u32,
            cut: false,
            redial: false,
        });
        let width = held.indices.len() as u16;
        let mut record = CallRecord {
            incoming: IncomingSide::Trunk(held.clone()),
            outgoing: OutgoingSide::Waiting,
            identity,
            called: iam.called,
            dialled,
            dest: ExchangeNumber(dest),
            width,
            deadline: self.now.saturating_add(identity.time_left()).saturating_sub(ANSWER_MARGIN),
            guard_timer: None,
            controller_timer: None,
            seizure_count: 0,
            last_cause: None,
        };
        if record.dest == self.state.own {
            return self.terminate(call, record, held);
        }
        self.state.counters.transit += 1;
        let arrived = TraceStep::Arrived { from, cic: Cic::from_index(first) };
        self.state.traces.start(self.now, call, identity, ExchangeNumber(dest), dialled, arrived);
        record.guard_timer = Some(self.state.timers.set(record.deadline, Timer::GuardTime(call)));
        self.state.calls.insert(call, record);
        self.set_usage(&held, CircuitUse::SeizedIn(call));
        let offer = self.state.offer(call, None);
        offer.into_iter().for_each(|offer| controller.on_offer(self.now, self, offer));
    }

    /// A call for a number of this exchange: it stands at once if the number has a free line, else it is released as
    /// busy.
    fn terminate(&mut self, call: CallId, mut record: CallRecord, held: HeldCircuits) {
        let cic = Cic::from_index(held.first());
        if let Some((lines, taken)) = self.state.lines.get_mut(&record.dialled) {
            if taken >= lines {
                let busy = Rel {
                    report: self.state.own_report,
                    ..Rel::new(CauseIndicators::new(Location::User, Q850::UserBusy))
                };
                return self.release_held(&held, busy);
            }
            *taken += 1;
        }
        self.state.counters.terminated += 1;
        let arrived = TraceStep::Arrived { from: held.to, cic };
        self.state.traces.start(self.now, call, record.identity, record.dest, record.dialled, arrived);
        self.trace(call, TraceStep::StandsHere);
        record.outgoing = OutgoingSide::OwnSubscriber;
        self.state.calls.insert(call, record);
        self.set_usage(&held, CircuitUse::StandingIn(call));
        let report = self.state.own_report;
        self.send(
            held.to,
            cic,
            Body::Acm { backward: BACKWARD_INDICATORS, report: None, unknown_parameters: Vec::new() },
        );
        self.send(held.to, cic, Body::Anm { report, unknown_parameters: Vec::new() });
    }

    /// The circuits that a set-up seizes, or none if the set-up is not accepted. Resolves dual seizure (Q.764 clause
    /// 2.9.1.4): the wider call prevails, else the end that controls the lowest circuit in dispute.
    fn circuits_for_set_up(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        first: u16,
        iam: &Iam,
    ) -> Option<Vec<u16>> {
        let group = self.state.groups.get(&from)?;
        let cic = Cic::from_index(first);
        let indices: Option<Vec<u16>> = match iam.map {
            None => Some(vec![first]),
            Some(map) => map.circuits(cic).map(|cic| group.index_of(cic)).collect(),
        };
        let indices = indices.filter(|indices| indices.first() == Some(&first));
        let Some(indices) = indices else {
            self.state.counters.unexpected += 1;
            if group.get(first).is_some_and(|circuit| circuit.usage == CircuitUse::Idle) {
                let held = HeldCircuits { to: from, indices: vec![first] };
                self.release_held(&held, local_failure(Q850::CircuitNotAvailable));
            }
            return None;
        };
        let uses: Vec<_> = indices.iter().filter_map(|index| group.get(*index).copied()).collect();
        // A release or a reset from this end is in transit. If it is for the signalling circuit of the set-up, the far
        // end gives the set-up up on receiving it; if it is for another circuit, the set-up must be released here, or
        // it would wait until its time limit.
        let clearing = |usage| {
            matches!(
                usage,
                CircuitUse::Releasing { .. } | CircuitUse::Resetting { .. } | CircuitUse::ReleasedWith(_)
            )
        };
        if uses.iter().any(|circuit| clearing(circuit.usage)) {
            self.state.counters.unexpected += 1;
            if matches!(uses[0].usage, CircuitUse::Idle | CircuitUse::ReleasedWith(_)) {
                let held = HeldCircuits { to: from, indices: vec![first] };
                self.release_held(&held, local_failure(Q850::CircuitNotAvailable));
            }
            return None;
        }
        let mut yielding = Vec::new();
        let mut stale = Vec::new();
        for (index, circuit) in indices.iter().zip(&uses) {
            match circuit.usage {
                CircuitUse::SeizedOut(call) => {
                    self.state.counters.dual_seizures += 1;
                    let own_width = self.state.calls.get(&call).map_or(0, |record| usize::from(record.width));
                    let prevails = match own_width.cmp(&indices.len()) {
                        std::cmp::Ordering::Equal => group.controls(*index),
                        order => order.is_gt(),
                    };
                    if prevails {
                        // The far end comes to the same result and yields.
                        if let Some(CallRecord { outgoing: OutgoingSide::Seized(seizure), .. }) =
                            self.state.calls.get_mut(&call)
                        {
                            seizure.prevailed = true;
                        }
                        return None;
                    }
                    yielding.push((*index, call));
                }
                CircuitUse::Idle => {}
                // The far end answered this call, so it had yielded: its answer overtook its own set-up.
                CircuitUse::StandingOut(_) => return None,
                usage => stale.extend(usage.call().map(|call| (*index, call))),
            }
        }
        if !stale.is_empty() {
            // The circuit is busy here but idle at the far end: the call on it is over, and the circuit is reset.
            self.state.counters.unexpected += 1;
            let rel = local_failure(Q850::TemporaryFailure);
            for (index, call) in stale {
                self.on_circuits_lost(controller, call, (from, index), Cause::Cut, &rel, HeldCircuits::reset);
            }
            return None;
        }
        let blocked = uses.iter().any(|circuit| circuit.blocking.is_local());
        if blocked {
            self.send(from, cic, Body::Blo);
            self.release_held(&HeldCircuits { to: from, indices }, local_failure(Q850::CircuitNotAvailable));
            return None;
        }
        // The controller must not seize the yielded circuits again at once: they become idle after it knows of the end.
        for (index, call) in yielding {
            self.state.counters.yielded += 1;
            let rel = local_failure(Q850::CircuitNotAvailable);
            let held = match self.state.calls.get(&call).map(|record| &record.outgoing) {
                Some(OutgoingSide::Seized(seizure)) => seizure.held.clone(),
                _ => HeldCircuits { to: from, indices: vec![index] },
            };
            self.on_circuits_lost(
                controller,
                call,
                (from, index),
                Cause::NoCircuit,
                &rel,
                HeldCircuits::leave_unchanged,
            );
            held.set_idle(self);
        }
        Some(indices)
    }
}

fn incoming_circuits(context: &EventContext, call: CallId) -> Option<HeldCircuits> {
    match context.state.calls.get(&call).map(|record| &record.incoming) {
        Some(IncomingSide::Trunk(held)) => Some(held.clone()),
        _ => None,
    }
}

/// The cause that a release gives a seizure without an answer.
fn seizure_cause(rel: &Rel) -> Cause {
    if let Some(crankback) = rel.crankback {
        return Cause::TurnedBack { beyond: crankback.next_exchange_full };
    }
    match rel.cause.cause {
        Q850::Congestion => Cause::ProcessorFull { wait: rel.congestion_wait.unwrap_or_default() },
        Q850::NoCircuit | Q850::CircuitNotAvailable | Q850::ResourceUnavailable => Cause::NoCircuit,
        Q850::NoRoute | Q850::OutOfOrder | Q850::NetworkOutOfOrder => Cause::Unreachable,
        Q850::TemporaryFailure => Cause::Cut,
        Q850::RecoveryOnTimer => Cause::TimedOut,
        _ => Cause::Busy,
    }
}

/// The cause for a seizure that prevailed over a set-up of the far end, which then released its own: the far end has
/// ignored the set-up from here meanwhile, so the release tells nothing about the called number.
fn cause_after_prevailing(rel: &Rel) -> Cause {
    match seizure_cause(rel) {
        Cause::Busy if rel.cause.cause != Q850::UserBusy => Cause::NoCircuit,
        cause => cause,
    }
}

/// The cause for a standing call.
fn end_cause(rel: &Rel) -> Cause {
    match rel.cause.cause {
        Q850::NormalClearing | Q850::NormalUnspecified => Cause::Done,
        _ => Cause::Cut,
    }
}

/// The release that a release on one side of a call causes on the other.
fn onward_release(rel: &Rel) -> Rel<'static> {
    Rel::new(CauseIndicators::new(Location::Transit, rel.cause.cause))
}
