//! What the other exchanges tell: frames of a link, ISUP messages of a circuit.
//!
//! What comes on a circuit is acted on by the circuit's state; what has no meaning in it is counted and, where the two
//! ends must disagree, the circuit is reset (Q.764 clause 2.9.5).

use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::{CallId, CapacityReport, Cause, ExchangeNumber, PeerId, SeizureAnswered};
use mintstall_isup::{
    Body, CallIdentity, CauseIndicators, Cic, Frame, FrameError, Iam, Location, Message, Number,
    ProcessorReport, Q850, RangeStatus, Rel, m3ua,
};

use crate::actions::{Answer, CallControlActions, CallEnd};
use crate::callcontrol::{CallControl, OFFICE_DIGITS, failure, normal};
use crate::calls::{CallRecord, HeldCircuits, IncomingSide, OutgoingSeizure, OutgoingSide};
use crate::circuits::CircuitUse;
use crate::config::ANSWER_MARGIN;
use crate::context::{EventContext, in_range};
use crate::links::{LocalAspState, RemoteAspState};
use crate::timers::Timer;
use crate::trace::TraceStep;

/// No charge, subscriber free, ISUP all the way, terminating access ISDN.
const BACKWARD: [u8; 2] = [0x16, 0x34];

impl CallControl {
    /// Octets came on the link from an exchange, cut anywhere.
    pub fn on_octets(
        &mut self,
        now: Duration,
        plant: &mut dyn CallControlActions,
        from: ExchangeNumber,
        octets: &[u8],
    ) {
        let Some(link) = self.desk.links.get_mut(&from).filter(|link| link.phase != LocalAspState::Down)
        else {
            return;
        };
        // Taken out while its frames are handled, which may act on the link.
        let mut deframer = std::mem::take(&mut link.deframer);
        link.unanswered = 0;
        deframer.push(octets);
        let closing = self.closing();
        let broken: Option<FrameError> = loop {
            match deframer.next().and_then(|frame| frame.map(Frame::read).transpose()) {
                Ok(Some(frame)) => {
                    self.handle_event(now, plant, |controller, w| w.frame(controller, from, frame, closing))
                }
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        if let Some(link) = self.desk.links.get_mut(&from) {
            link.deframer = deframer;
        }
        if let Some(error) = broken {
            self.desk.tally.unexpected += 1;
            plant.close_link(from, &error.to_string());
        }
    }
}

impl EventContext<'_> {
    fn frame(&mut self, controller: &mut Controller, from: ExchangeNumber, frame: Frame, closing: bool) {
        let Some(link) = self.desk.links.get_mut(&from) else { return };
        let was = link.usable();
        match frame {
            Frame::AspUp { .. } => {
                link.far = RemoteAspState::Inactive;
                self.send_frame(from, Frame::AspUpAck { asp: Some(self.desk.own.0.into()) });
            }
            Frame::AspUpAck { .. } => self.activate(from),
            Frame::AspActive => {
                link.far = RemoteAspState::Active;
                self.send_frame(from, Frame::AspActiveAck);
            }
            Frame::AspActiveAck if link.phase == LocalAspState::Activating => {
                link.phase = LocalAspState::Active
            }
            Frame::AspInactive => {
                link.far = RemoteAspState::Inactive;
                self.send_frame(from, Frame::AspInactiveAck);
            }
            Frame::AspDown => {
                link.far = RemoteAspState::Inactive;
                self.send_frame(from, Frame::AspDownAck);
            }
            Frame::Heartbeat(data) => self.send_frame(from, Frame::HeartbeatAck(data)),
            Frame::Data(data)
                if !was || data.service != m3ua::ISUP || data.dpc != u32::from(self.desk.own.0) =>
            {
                self.desk.tally.unexpected += 1;
                self.send_frame(from, Frame::Error { code: m3ua::UNEXPECTED_MESSAGE });
            }
            Frame::Data(data) => match Message::read(data.user) {
                Ok(message) => self.message(controller, from, message, closing),
                Err(_) => {
                    self.desk.tally.unexpected += 1;
                    self.send_frame(from, Frame::Error { code: m3ua::PROTOCOL_ERROR });
                }
            },
            Frame::Other { .. } => {
                self.desk.tally.unexpected += 1;
                self.send_frame(from, Frame::Error { code: m3ua::UNSUPPORTED_CLASS });
            }
            _ => {}
        }
        if !was && self.desk.links.get(&from).is_some_and(|link| link.usable()) {
            self.opened(from);
        }
    }

    fn message(
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
        let Some(index) = self.desk.groups.get(&from).and_then(|group| group.index_of(cic)) else {
            self.desk.tally.unexpected += 1;
            // A set-up for a circuit that is not equipped here.
            if let Body::Iam(_) = message.body {
                self.send(from, cic, Body::Rel(failure(Q850::CircuitNotAvailable)));
            }
            return;
        };
        let used = self.desk.groups[&from].get(index).map_or(CircuitUse::Idle, |circuit| circuit.used);
        match message.body {
            Body::Iam(iam) => self.initial_address(controller, from, index, &iam, closing),
            Body::Acm { report, .. } => {
                self.reported(controller, from, &report);
                if let CircuitUse::SeizedOut(call) = used {
                    if let Some(CallRecord { sink: OutgoingSide::Seized(out), .. }) =
                        self.desk.calls.get(&call)
                    {
                        let no = out.no;
                        self.trace(call, TraceStep::Alerted { no });
                    }
                    self.pass_back(
                        call,
                        Body::Acm {
                            backward: BACKWARD,
                            report: self.desk.report,
                            unknown_parameters: Vec::new(),
                        },
                    );
                }
            }
            Body::Cpg { event, .. } => {
                if let CircuitUse::SeizedOut(call) = used {
                    self.pass_back(call, Body::Cpg { event, unknown_parameters: Vec::new() });
                }
            }
            Body::Anm { report, .. } => {
                self.reported(controller, from, &report);
                match used {
                    CircuitUse::SeizedOut(call) => self.answered(controller, call),
                    _ => self.desk.tally.unexpected += 1,
                }
            }
            Body::Rel(rel) => {
                self.reported(controller, from, &rel.report);
                // Also where a release of ours is on its way: each end completes the other's (Q.764 clause 2.3.1).
                self.send(from, cic, Body::Rlc { unknown_parameters: Vec::new() });
                let cause = match used {
                    CircuitUse::SeizedOut(call) => match self.prevailed_on(call) {
                        // Beside the circuit on which it signals: the far end gives up its own set-up.
                        Some(first) if first != index => return,
                        Some(_) => crossed_cause(&rel),
                        None => seizure_cause(&rel),
                    },
                    _ => end_cause(&rel),
                };
                if let Some(call) = used.call() {
                    self.on_circuits_lost(
                        controller,
                        call,
                        (from, index),
                        cause,
                        &onward(&rel),
                        HeldCircuits::idle,
                    );
                }
            }
            Body::Rlc { .. } => match used {
                CircuitUse::Releasing { .. } | CircuitUse::Resetting { timer: Some(_) } => {
                    self.idle(from, index)
                }
                CircuitUse::Idle | CircuitUse::ReleasedWith(_) | CircuitUse::Resetting { timer: None } => {}
                // The far end thinks that a call is over which here is not: nothing on this circuit is known any more.
                _ => {
                    self.desk.tally.unexpected += 1;
                    let rel = failure(Q850::ProtocolError);
                    used.call().into_iter().for_each(|call| {
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
            },
            Body::Rsc => {
                if self.desk.groups[&from].get(index).is_some_and(|circuit| circuit.blocked.here()) {
                    self.send(from, cic, Body::Blo);
                }
                self.send(from, cic, Body::Rlc { unknown_parameters: Vec::new() });
                self.far_reset(controller, from, index, used);
            }
            Body::Grs { count } => {
                let meant = in_range(&self.desk.groups[&from], cic, RangeStatus { count, status: 0 });
                let meant: Vec<u16> = meant.into_iter().map(|(index, _)| index).collect();
                // None may be seized until all are reset and that is acknowledged: what the end of one call sets free
                // would be reset with the next, its set-up on the way.
                meant.iter().for_each(|index| self.block_there(from, *index, true));
                let mut status = 0;
                for (at, index) in meant.iter().enumerate() {
                    let Some(circuit) = self.desk.groups[&from].get(*index).copied() else { continue };
                    status |= u32::from(circuit.blocked.here()) << at;
                    self.carried_no_more(controller, from, *index, circuit.used);
                }
                self.send(from, cic, Body::Gra(RangeStatus { count, status }));
                meant.iter().for_each(|index| self.block_there(from, *index, false));
            }
            Body::Gra(range) => {
                for (index, blocked) in in_range(&self.desk.groups[&from], cic, range) {
                    self.block_there(from, index, blocked);
                    let used = self.desk.groups[&from].get(index).map(|circuit| circuit.used);
                    if let Some(CircuitUse::Resetting { timer: None }) = used {
                        self.idle(from, index);
                    }
                }
            }
            Body::Blo => {
                self.block_there(from, index, true);
                self.send(from, cic, Body::Bla);
            }
            Body::Ubl => {
                self.block_there(from, index, false);
                self.send(from, cic, Body::Uba);
            }
            Body::Cgb { kind, range } => {
                const HARDWARE: u8 = 1;
                let meant = in_range(&self.desk.groups[&from], cic, range);
                let meant: Vec<_> =
                    meant.into_iter().filter(|(_, status)| *status).map(|(index, _)| index).collect();
                meant.iter().for_each(|index| self.block_there(from, *index, true));
                for index in meant.into_iter().filter(|_| kind == HARDWARE) {
                    self.circuit_fails(controller, from, index);
                }
                self.send(from, cic, Body::Cgba { kind, range });
            }
            Body::Cgu { kind, range } => {
                for (index, _) in in_range(&self.desk.groups[&from], cic, range).into_iter().filter(|at| at.1)
                {
                    self.block_there(from, index, false);
                }
                self.send(from, cic, Body::Cgua { kind, range });
            }
            Body::Cqm { count } => {
                let states = (0..u16::from(count)).map(|at| {
                    let group = &self.desk.groups[&from];
                    let index = group.index_of(Cic(cic.0.saturating_add(at)));
                    index.map_or(mintstall_isup::CircuitState::Unequipped, |index| group.state(index))
                });
                let states = states.collect();
                self.send(from, cic, Body::Cqr { states });
            }
            Body::Cqr { states } => self.audited(controller, from, cic, &states),
            Body::Bla | Body::Uba | Body::Cgba { .. } | Body::Cgua { .. } => {}
            Body::Unknown { .. } => self.desk.tally.unexpected += 1,
            Body::Peer(_) => {}
        }
    }

    /// The circuit on which a seizure signals, if it prevailed over a set-up of the far end.
    fn prevailed_on(&self, call: CallId) -> Option<u16> {
        match &self.desk.calls.get(&call)?.sink {
            OutgoingSide::Seized(out) if out.prevailed => Some(out.held.first()),
            _ => None,
        }
    }

    fn reported(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        report: &Option<ProcessorReport>,
    ) {
        let Some(report) = report else { return };
        let far = CapacityReport {
            rate: report.rate_milli.map(|milli| f64::from(milli) / 1e3),
            ..CapacityReport::default()
        };
        let there: Vec<_> = self.desk.exchanges_at(from).collect();
        there.into_iter().for_each(|id| controller.on_capacity_report(self.now, self, id, &far));
    }

    fn block_there(&mut self, from: ExchangeNumber, index: u16, blocked: bool) {
        if let Some(group) = self.desk.groups.get_mut(&from) {
            group.block(index, None, Some(blocked));
            self.desk.changed.insert(from);
        }
    }

    /// The far end resets a circuit: what it carried is cut, and its block there is forgotten (Q.764 clause 2.9.3).
    fn far_reset(&mut self, controller: &mut Controller, from: ExchangeNumber, index: u16, used: CircuitUse) {
        self.block_there(from, index, false);
        self.carried_no_more(controller, from, index, used);
    }

    fn carried_no_more(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        index: u16,
        used: CircuitUse,
    ) {
        match used {
            CircuitUse::Releasing { .. } => self.idle(from, index),
            _ => {
                let rel = failure(Q850::TemporaryFailure);
                used.call().into_iter().for_each(|call| {
                    self.on_circuits_lost(
                        controller,
                        call,
                        (from, index),
                        Cause::Cut,
                        &rel,
                        HeldCircuits::idle,
                    );
                });
            }
        }
    }

    /// Something to say backwards to where a call in transit came from.
    fn pass_back(&mut self, call: CallId, body: Body) {
        if let Some(CallRecord { source: IncomingSide::Trunk(held), .. }) = self.desk.calls.get(&call) {
            let (to, cic) = (held.to, Cic::from_index(held.first()));
            self.send(to, cic, body);
        }
    }

    /// A call's seizure led to where it stands.
    fn answered(&mut self, controller: &mut Controller, call: CallId) {
        let now = self.now;
        let Some(leg) = self.desk.calls.get_mut(&call) else { return };
        let OutgoingSide::Seized(out) = std::mem::replace(&mut leg.sink, OutgoingSide::Open) else { return };
        self.desk.traces.step(now, call, TraceStep::Stands);
        let (exchange, seizure, elapsed, held) = (out.exchange, out.no, now - out.at, out.held.clone());
        let set = [leg.guard.take(), leg.alarm.take(), out.limit];
        set.into_iter().flatten().for_each(|set| self.desk.timers.stop(set));
        leg.sink = OutgoingSide::Standing(OutgoingSeizure { limit: None, ..out });
        let source = match &leg.source {
            IncomingSide::Trunk(held) => Some(held.clone()),
            IncomingSide::Subscriber => {
                self.desk.owed -= 1;
                self.desk.tally.stood += 1;
                self.desk.traces.step(now, call, TraceStep::Answered(Answer::Stands));
                self.plant.answer(call, Answer::Stands);
                None
            }
            IncomingSide::Gone => None,
        };
        self.put(&held, CircuitUse::StandingOut(call));
        if let Some(source) = source {
            self.put(&source, CircuitUse::StandingIn(call));
            self.send(
                source.to,
                Cic::from_index(source.first()),
                Body::Anm { report: self.desk.report, unknown_parameters: Vec::new() },
            );
        }
        controller.on_seizure_answered(now, self, &SeizureAnswered { call, seizure, exchange, elapsed });
        // Where a seizure could not be cancelled, its caller had gone long ago.
        if let Some(CallRecord { source: IncomingSide::Gone, .. }) = self.desk.calls.get(&call) {
            self.caller_gone(controller, call, normal(Location::Local));
        }
    }

    /// The circuits that a call holds at one side are lost to it; `then` says what becomes of them, `rel` goes to its
    /// other side.
    pub fn on_circuits_lost(
        &mut self,
        controller: &mut Controller,
        call: CallId,
        (to, index): (ExchangeNumber, u16),
        cause: Cause,
        rel: &Rel,
        then: fn(&HeldCircuits, &mut Self),
    ) {
        let now = self.now;
        let Some(leg) = self.desk.calls.get_mut(&call) else { return };
        let here = |held: &HeldCircuits| held.to == to && held.indices.contains(&index);
        if let IncomingSide::Trunk(held) = &leg.source
            && here(held)
        {
            let held = held.clone();
            then(&held, self);
            return self.caller_gone(controller, call, Rel { unknown_parameters: Vec::new(), ..rel.clone() });
        }
        match std::mem::replace(&mut leg.sink, OutgoingSide::Open) {
            OutgoingSide::Seized(out) if here(&out.held) => {
                leg.last = Some(cause);
                self.desk.traces.step(
                    now,
                    call,
                    TraceStep::SeizureEnded { no: out.no, cause, elapsed: now - out.at },
                );
                out.limit.into_iter().for_each(|set| self.desk.timers.stop(set));
                then(&out.held, self);
                let closed = self.desk.closed(call);
                controller.on_seizure_ended(now, self, &out.ended(call, now, cause, closed));
                self.desk.finish(call);
            }
            OutgoingSide::Standing(out) if here(&out.held) => {
                then(&out.held, self);
                match &leg_source(self, call) {
                    Some(held) => self.let_go(held, rel),
                    None => {
                        let cut = cause != Cause::Done;
                        self.desk.tally.cut += u64::from(cut);
                        let end = if cut { CallEnd::Cut } else { CallEnd::Released };
                        self.trace(call, TraceStep::Ended(end));
                        self.plant.ended(call, end);
                    }
                }
                self.desk.drop_leg(call);
                controller.on_seizure_ended(now, self, &out.ended(call, now, cause, true));
            }
            other => leg.sink = other,
        }
    }

    /// A link is gone: set-ups on it are lost, and whether the far end worked on them is not known.
    pub fn link_lost(&mut self, controller: &mut Controller, to: ExchangeNumber) {
        let grace = self.now + self.desk.t.link_grace;
        let Some(link) = self.desk.links.get_mut(&to).filter(|link| link.phase != LocalAspState::Down) else {
            return;
        };
        (link.phase, link.far) = (LocalAspState::Down, RemoteAspState::Inactive);
        link.timer.take().into_iter().for_each(|set| self.desk.timers.stop(set));
        let set = self.desk.timers.set(grace, Timer::LinkGrace(to));
        link.grace.replace(set).into_iter().for_each(|set| self.desk.timers.stop(set));
        self.plant.log_info(&format!("link to exchange {} is gone", to.0));
        self.drop_calls(controller, to, |used| {
            matches!(used, CircuitUse::SeizedOut(_) | CircuitUse::SeizedIn(_))
        });
    }

    /// Standing calls have outlived their link for as long as they may.
    pub fn link_grace(&mut self, controller: &mut Controller, to: ExchangeNumber) {
        if let Some(link) = self.desk.links.get_mut(&to) {
            link.grace = None;
            self.drop_calls(controller, to, |used| used.call().is_some());
        }
    }

    fn drop_calls(&mut self, controller: &mut Controller, to: ExchangeNumber, which: fn(CircuitUse) -> bool) {
        let Some(group) = self.desk.groups.get(&to) else { return };
        let lost: Vec<_> =
            group.all().filter(|(_, circuit)| which(circuit.used)).map(|(index, _)| index).collect();
        let rel = failure(Q850::NetworkOutOfOrder);
        for index in lost {
            let used =
                self.desk.groups.get(&to).and_then(|group| group.get(index)).map(|circuit| circuit.used);
            if let Some(call) = used.and_then(CircuitUse::call) {
                self.on_circuits_lost(controller, call, (to, index), Cause::Cut, &rel, HeldCircuits::reset);
            }
        }
    }

    fn initial_address(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        first: u16,
        iam: &Iam,
        closing: bool,
    ) {
        let Some(indices) = self.incoming(controller, from, first, iam) else { return };
        let held = HeldCircuits { to: from, indices };
        let digits = iam.called.digits();
        let (office, number) = digits.split_at(OFFICE_DIGITS.min(digits.len()));
        let dest = Number::parse_decimal(office).and_then(|dest| u16::try_from(dest).ok());
        let (Some(dest), Some(dialled)) =
            (dest.filter(|_| office.len() == OFFICE_DIGITS), Number::parse_decimal(number))
        else {
            // Invalid number format (Q.850 value 28).
            return self.release_held(&held, failure(Q850::Other(28)));
        };
        let turned_away = if closing {
            Some(Q850::OutOfOrder)
        } else if self.desk.calls.len() >= self.desk.max_calls {
            self.desk.tally.overflow += 1;
            Some(Q850::Congestion)
        } else if ExchangeNumber(dest) != self.desk.own && iam.hops == Some(0) {
            // Exchange routing error (Q.850 value 25): it would go round.
            Some(Q850::Other(25))
        } else {
            None
        };
        if let Some(cause) = turned_away {
            return self.release_held(&held, failure(cause));
        }
        let call = CallId(self.desk.next_call + 1);
        self.desk.next_call += 1;
        let identity = iam.identity.unwrap_or(CallIdentity {
            origin: from.0,
            call: call.0,
            seizure: 0,
            call_type: 0,
            customer: 0,
            time_left_ms: self.desk.t.t7.as_millis() as u32,
            cut: false,
            redial: false,
        });
        let width = held.indices.len() as u16;
        let mut leg = CallRecord {
            source: IncomingSide::Trunk(held.clone()),
            sink: OutgoingSide::Open,
            identity,
            called: iam.called,
            dialled,
            dest: ExchangeNumber(dest),
            width,
            until: self.now.saturating_add(identity.time_left()).saturating_sub(ANSWER_MARGIN),
            guard: None,
            alarm: None,
            seizures: 0,
            last: None,
        };
        if leg.dest == self.desk.own {
            return self.terminate(call, leg, held);
        }
        self.desk.tally.transit += 1;
        let arrived = TraceStep::Arrived { from, cic: Cic::from_index(first) };
        self.desk.traces.begin(self.now, call, identity, ExchangeNumber(dest), dialled, arrived);
        leg.guard = Some(self.desk.timers.set(leg.until, Timer::Guard(call)));
        self.desk.calls.insert(call, leg);
        self.put(&held, CircuitUse::SeizedIn(call));
        let offer = self.desk.offer(call, None);
        offer.into_iter().for_each(|offer| controller.on_offer(self.now, self, offer));
    }

    /// A call for a number here: it stands at once, if the number has a line free.
    fn terminate(&mut self, call: CallId, mut leg: CallRecord, held: HeldCircuits) {
        let cic = Cic::from_index(held.first());
        if let Some((lines, taken)) = self.desk.lines.get_mut(&leg.dialled) {
            if taken >= lines {
                let busy = Rel {
                    report: self.desk.report,
                    ..Rel::new(CauseIndicators::new(Location::User, Q850::UserBusy))
                };
                return self.release_held(&held, busy);
            }
            *taken += 1;
        }
        self.desk.tally.terminated += 1;
        let arrived = TraceStep::Arrived { from: held.to, cic };
        self.desk.traces.begin(self.now, call, leg.identity, leg.dest, leg.dialled, arrived);
        self.trace(call, TraceStep::StandsHere);
        leg.sink = OutgoingSide::OwnSubscriber;
        self.desk.calls.insert(call, leg);
        self.put(&held, CircuitUse::StandingIn(call));
        let report = self.desk.report;
        self.send(
            held.to,
            cic,
            Body::Acm { backward: BACKWARD, report: None, unknown_parameters: Vec::new() },
        );
        self.send(held.to, cic, Body::Anm { report, unknown_parameters: Vec::new() });
    }

    /// The circuits that a set-up asks for, if it is to be worked on; settles dual seizure (Q.764 clause 2.9.1.4): the
    /// wider call prevails, else the end that controls the lowest circuit in dispute.
    fn incoming(
        &mut self,
        controller: &mut Controller,
        from: ExchangeNumber,
        first: u16,
        iam: &Iam,
    ) -> Option<Vec<u16>> {
        let group = self.desk.groups.get(&from)?;
        let cic = Cic::from_index(first);
        let indices: Option<Vec<u16>> = match iam.map {
            None => Some(vec![first]),
            Some(map) => map.circuits(cic).map(|cic| group.index_of(cic)).collect(),
        };
        let indices = indices.filter(|indices| indices.first() == Some(&first));
        let Some(indices) = indices else {
            self.desk.tally.unexpected += 1;
            if group.get(first).is_some_and(|circuit| circuit.used == CircuitUse::Idle) {
                let held = HeldCircuits { to: from, indices: vec![first] };
                self.release_held(&held, failure(Q850::CircuitNotAvailable));
            }
            return None;
        };
        let uses: Vec<_> = indices.iter().filter_map(|index| group.get(*index).copied()).collect();
        // A release or a reset of ours is on its way: the far end gives the set-up up once it has that, if it is for
        // the circuit that it signals on; of another it is told here, or it would wait until its limit.
        let closing = |used| {
            matches!(
                used,
                CircuitUse::Releasing { .. } | CircuitUse::Resetting { .. } | CircuitUse::ReleasedWith(_)
            )
        };
        if uses.iter().any(|circuit| closing(circuit.used)) {
            self.desk.tally.unexpected += 1;
            if matches!(uses[0].used, CircuitUse::Idle | CircuitUse::ReleasedWith(_)) {
                let held = HeldCircuits { to: from, indices: vec![first] };
                self.release_held(&held, failure(Q850::CircuitNotAvailable));
            }
            return None;
        }
        let mut yielding = Vec::new();
        let mut stale = Vec::new();
        for (index, circuit) in indices.iter().zip(&uses) {
            match circuit.used {
                CircuitUse::SeizedOut(call) => {
                    self.desk.tally.dual_seizures += 1;
                    let ours = self.desk.calls.get(&call).map_or(0, |leg| usize::from(leg.width));
                    let prevails = match ours.cmp(&indices.len()) {
                        std::cmp::Ordering::Equal => group.controls(*index),
                        order => order.is_gt(),
                    };
                    if prevails {
                        // The far end finds the same and yields.
                        if let Some(CallRecord { sink: OutgoingSide::Seized(out), .. }) =
                            self.desk.calls.get_mut(&call)
                        {
                            out.prevailed = true;
                        }
                        return None;
                    }
                    yielding.push((*index, call));
                }
                CircuitUse::Idle => {}
                // The far end answered this call, and so had yielded: its set-up was overtaken by its answer.
                CircuitUse::StandingOut(_) => return None,
                used => stale.extend(used.call().map(|call| (*index, call))),
            }
        }
        if !stale.is_empty() {
            // The far end holds idle what here is busy: what it carried is over, and both start afresh.
            self.desk.tally.unexpected += 1;
            let rel = failure(Q850::TemporaryFailure);
            for (index, call) in stale {
                self.on_circuits_lost(controller, call, (from, index), Cause::Cut, &rel, HeldCircuits::reset);
            }
            return None;
        }
        let blocked = uses.iter().any(|circuit| circuit.blocked.here());
        if blocked {
            self.send(from, cic, Body::Blo);
            self.release_held(&HeldCircuits { to: from, indices }, failure(Q850::CircuitNotAvailable));
            return None;
        }
        // The decisions must not take again at once what is yielded: it is let go once they know.
        for (index, call) in yielding {
            self.desk.tally.yielded += 1;
            let rel = failure(Q850::CircuitNotAvailable);
            let held = match self.desk.calls.get(&call).map(|leg| &leg.sink) {
                Some(OutgoingSide::Seized(out)) => out.held.clone(),
                _ => HeldCircuits { to: from, indices: vec![index] },
            };
            self.on_circuits_lost(
                controller,
                call,
                (from, index),
                Cause::NoCircuit,
                &rel,
                HeldCircuits::keep,
            );
            held.idle(self);
        }
        Some(indices)
    }
}

fn leg_source(w: &EventContext, call: CallId) -> Option<HeldCircuits> {
    match w.desk.calls.get(&call).map(|leg| &leg.source) {
        Some(IncomingSide::Trunk(held)) => Some(held.clone()),
        _ => None,
    }
}

/// What a release means for a seizure that has no answer.
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

/// And for one that prevailed over a set-up of the far end, which then gave its own up: it ignored ours meanwhile, and
/// says nothing of the number called.
fn crossed_cause(rel: &Rel) -> Cause {
    match seizure_cause(rel) {
        Cause::Busy if rel.cause.cause != Q850::UserBusy => Cause::NoCircuit,
        cause => cause,
    }
}

/// And for a call that stands.
fn end_cause(rel: &Rel) -> Cause {
    match rel.cause.cause {
        Q850::NormalClearing | Q850::NormalUnspecified => Cause::Done,
        _ => Cause::Cut,
    }
}

/// What is passed on of a release at one side to the other.
fn onward(rel: &Rel) -> Rel<'static> {
    Rel::new(CauseIndicators::new(Location::Transit, rel.cause.cause))
}
