//! What the other exchanges tell: frames of a link, ISUP messages of a circuit.
//!
//! What comes on a circuit is acted on by the circuit's state; what has no meaning in it is counted and, where the two
//! ends must disagree, the circuit is reset (Q.764 clause 2.9.5).

use std::time::Duration;

use mintstall::Controller;
use mintstall::host::{CallId, Cause, OfficeNo, PeerNo, Report as FarReport, Stood};
use mintstall_isup::{
    Body, CauseIndicators, Cic, Frame, FrameError, Iam, Identity, Location, Message, Number, Q850,
    RangeStatus, Rel, Report, m3ua,
};

use crate::circuits::Use;
use crate::desk::{Working, in_range};
use crate::legs::{Held, Leg, Out, Sink, Source};
use crate::links::{Far, Phase};
use crate::office::{OFFICE_DIGITS, Office, failure, normal};
use crate::plan::ANSWER_WAY;
use crate::plant::{Answer, CallEnd, Plant};
use crate::timers::Timer;
use crate::trace::Step;

/// No charge, subscriber free, ISUP all the way, terminating access ISDN.
const BACKWARD: [u8; 2] = [0x16, 0x34];

impl Office {
    /// Octets came on the link from an exchange, cut anywhere.
    pub fn octets(&mut self, now: Duration, plant: &mut dyn Plant, from: OfficeNo, octets: &[u8]) {
        let Some(link) = self.desk.links.get_mut(&from).filter(|link| link.phase != Phase::Down) else {
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
                    self.happens(now, plant, |controller, w| w.frame(controller, from, frame, closing))
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
            plant.close(from, &error.to_string());
        }
    }
}

impl Working<'_> {
    fn frame(&mut self, controller: &mut Controller, from: OfficeNo, frame: Frame, closing: bool) {
        let Some(link) = self.desk.links.get_mut(&from) else { return };
        let was = link.usable();
        match frame {
            Frame::AspUp { .. } => {
                link.far = Far::Inactive;
                self.send_frame(from, Frame::AspUpAck { asp: Some(self.desk.own.0.into()) });
            }
            Frame::AspUpAck { .. } => self.activate(from),
            Frame::AspActive => {
                link.far = Far::Active;
                self.send_frame(from, Frame::AspActiveAck);
            }
            Frame::AspActiveAck if link.phase == Phase::Activating => link.phase = Phase::Active,
            Frame::AspInactive => {
                link.far = Far::Inactive;
                self.send_frame(from, Frame::AspInactiveAck);
            }
            Frame::AspDown => {
                link.far = Far::Inactive;
                self.send_frame(from, Frame::AspDownAck);
            }
            Frame::Beat(data) => self.send_frame(from, Frame::BeatAck(data)),
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

    fn message(&mut self, controller: &mut Controller, from: OfficeNo, message: Message, closing: bool) {
        let cic = message.cic;
        if let Body::Peer(octets) = message.body {
            return controller.heard(self.now, self, PeerNo(from.0), octets);
        }
        let Some(place) = self.desk.groups.get(&from).and_then(|group| group.place(cic)) else {
            self.desk.tally.unexpected += 1;
            // A set-up for a circuit that is not equipped here.
            if let Body::Iam(_) = message.body {
                self.send(from, cic, Body::Rel(failure(Q850::CircuitNotAvailable)));
            }
            return;
        };
        let used = self.desk.groups[&from].get(place).map_or(Use::Idle, |circuit| circuit.used);
        match message.body {
            Body::Iam(iam) => self.initial_address(controller, from, place, &iam, closing),
            Body::Acm { report, .. } => {
                self.reported(controller, from, &report);
                if let Use::SeizedOut(call) = used {
                    if let Some(Leg { sink: Sink::Seized(out), .. }) = self.desk.legs.get(&call) {
                        let no = out.no;
                        self.trace(call, Step::Alerted { no });
                    }
                    self.pass_back(
                        call,
                        Body::Acm { backward: BACKWARD, report: self.desk.report, other: Vec::new() },
                    );
                }
            }
            Body::Cpg { event, .. } => {
                if let Use::SeizedOut(call) = used {
                    self.pass_back(call, Body::Cpg { event, other: Vec::new() });
                }
            }
            Body::Anm { report, .. } => {
                self.reported(controller, from, &report);
                match used {
                    Use::SeizedOut(call) => self.answered(controller, call),
                    _ => self.desk.tally.unexpected += 1,
                }
            }
            Body::Rel(rel) => {
                self.reported(controller, from, &rel.report);
                // Also where a release of ours is on its way: each end completes the other's (Q.764 clause 2.3.1).
                self.send(from, cic, Body::Rlc { other: Vec::new() });
                let cause = match used {
                    Use::SeizedOut(call) => match self.prevailed_on(call) {
                        // Beside the circuit on which it signals: the far end gives up its own set-up.
                        Some(first) if first != place => return,
                        Some(_) => crossed_cause(&rel),
                        None => seizure_cause(&rel),
                    },
                    _ => end_cause(&rel),
                };
                if let Some(call) = used.call() {
                    self.side_lost(controller, call, (from, place), cause, &onward(&rel), Held::idle);
                }
            }
            Body::Rlc { .. } => match used {
                Use::Releasing { .. } | Use::Resetting { timer: Some(_) } => self.idle(from, place),
                Use::Idle | Use::Along(_) | Use::Resetting { timer: None } => {}
                // The far end thinks that a call is over which here is not: nothing on this circuit is known any more.
                _ => {
                    self.desk.tally.unexpected += 1;
                    let rel = failure(Q850::ProtocolError);
                    used.call().into_iter().for_each(|call| {
                        self.side_lost(controller, call, (from, place), Cause::Cut, &rel, Held::reset);
                    });
                }
            },
            Body::Rsc => {
                if self.desk.groups[&from].get(place).is_some_and(|circuit| circuit.blocked.here()) {
                    self.send(from, cic, Body::Blo);
                }
                self.send(from, cic, Body::Rlc { other: Vec::new() });
                self.far_reset(controller, from, place, used);
            }
            Body::Grs { count } => {
                let meant = in_range(&self.desk.groups[&from], cic, RangeStatus { count, status: 0 });
                let meant: Vec<u16> = meant.into_iter().map(|(place, _)| place).collect();
                // None may be seized until all are reset and that is acknowledged: what the end of one call sets free
                // would be reset with the next, its set-up on the way.
                meant.iter().for_each(|place| self.block_there(from, *place, true));
                let mut status = 0;
                for (at, place) in meant.iter().enumerate() {
                    let Some(circuit) = self.desk.groups[&from].get(*place).copied() else { continue };
                    status |= u32::from(circuit.blocked.here()) << at;
                    self.carried_no_more(controller, from, *place, circuit.used);
                }
                self.send(from, cic, Body::Gra(RangeStatus { count, status }));
                meant.iter().for_each(|place| self.block_there(from, *place, false));
            }
            Body::Gra(range) => {
                for (place, blocked) in in_range(&self.desk.groups[&from], cic, range) {
                    self.block_there(from, place, blocked);
                    let used = self.desk.groups[&from].get(place).map(|circuit| circuit.used);
                    if let Some(Use::Resetting { timer: None }) = used {
                        self.idle(from, place);
                    }
                }
            }
            Body::Blo => {
                self.block_there(from, place, true);
                self.send(from, cic, Body::Bla);
            }
            Body::Ubl => {
                self.block_there(from, place, false);
                self.send(from, cic, Body::Uba);
            }
            Body::Cgb { kind, range } => {
                const HARDWARE: u8 = 1;
                let meant = in_range(&self.desk.groups[&from], cic, range);
                let meant: Vec<_> =
                    meant.into_iter().filter(|(_, status)| *status).map(|(place, _)| place).collect();
                meant.iter().for_each(|place| self.block_there(from, *place, true));
                for place in meant.into_iter().filter(|_| kind == HARDWARE) {
                    self.circuit_fails(controller, from, place);
                }
                self.send(from, cic, Body::Cgba { kind, range });
            }
            Body::Cgu { kind, range } => {
                for (place, _) in in_range(&self.desk.groups[&from], cic, range).into_iter().filter(|at| at.1)
                {
                    self.block_there(from, place, false);
                }
                self.send(from, cic, Body::Cgua { kind, range });
            }
            Body::Cqm { count } => {
                let states = (0..u16::from(count)).map(|at| {
                    let group = &self.desk.groups[&from];
                    let place = group.place(Cic(cic.0.saturating_add(at)));
                    place.map_or(mintstall_isup::CircuitState::Unequipped, |place| group.state(place))
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
        match &self.desk.legs.get(&call)?.sink {
            Sink::Seized(out) if out.prevailed => Some(out.held.first()),
            _ => None,
        }
    }

    fn reported(&mut self, controller: &mut Controller, from: OfficeNo, report: &Option<Report>) {
        let Some(report) = report else { return };
        let far =
            FarReport { rate: report.rate_milli.map(|milli| f64::from(milli) / 1e3), ..FarReport::default() };
        let there: Vec<_> = self.desk.exchanges_at(from).collect();
        there.into_iter().for_each(|id| controller.reported(self.now, self, id, &far));
    }

    fn block_there(&mut self, from: OfficeNo, place: u16, blocked: bool) {
        if let Some(group) = self.desk.groups.get_mut(&from) {
            group.block(place, None, Some(blocked));
            self.desk.changed.insert(from);
        }
    }

    /// The far end resets a circuit: what it carried is cut, and its block there is forgotten (Q.764 clause 2.9.3).
    fn far_reset(&mut self, controller: &mut Controller, from: OfficeNo, place: u16, used: Use) {
        self.block_there(from, place, false);
        self.carried_no_more(controller, from, place, used);
    }

    fn carried_no_more(&mut self, controller: &mut Controller, from: OfficeNo, place: u16, used: Use) {
        match used {
            Use::Releasing { .. } => self.idle(from, place),
            _ => {
                let rel = failure(Q850::TemporaryFailure);
                used.call().into_iter().for_each(|call| {
                    self.side_lost(controller, call, (from, place), Cause::Cut, &rel, Held::idle);
                });
            }
        }
    }

    /// Something to say backwards to where a call in transit came from.
    fn pass_back(&mut self, call: CallId, body: Body) {
        if let Some(Leg { source: Source::Trunk(held), .. }) = self.desk.legs.get(&call) {
            let (to, cic) = (held.to, Cic::at(held.first()));
            self.send(to, cic, body);
        }
    }

    /// A call's seizure led to where it stands.
    fn answered(&mut self, controller: &mut Controller, call: CallId) {
        let now = self.now;
        let Some(leg) = self.desk.legs.get_mut(&call) else { return };
        let Sink::Seized(out) = std::mem::replace(&mut leg.sink, Sink::Open) else { return };
        self.desk.traces.step(now, call, Step::Stands);
        let (exchange, seizure, after, held) = (out.exchange, out.no, now - out.at, out.held.clone());
        let set = [leg.guard.take(), leg.alarm.take(), out.limit];
        set.into_iter().flatten().for_each(|set| self.desk.timers.stop(set));
        leg.sink = Sink::Standing(Out { limit: None, ..out });
        let source = match &leg.source {
            Source::Trunk(held) => Some(held.clone()),
            Source::Subscriber => {
                self.desk.owed -= 1;
                self.desk.tally.stood += 1;
                self.desk.traces.step(now, call, Step::Answered(Answer::Stands));
                self.plant.answer(call, Answer::Stands);
                None
            }
            Source::Gone => None,
        };
        self.put(&held, Use::StandingOut(call));
        if let Some(source) = source {
            self.put(&source, Use::StandingIn(call));
            self.send(
                source.to,
                Cic::at(source.first()),
                Body::Anm { report: self.desk.report, other: Vec::new() },
            );
        }
        controller.stands(now, self, &Stood { call, seizure, exchange, after });
        // Where a seizure could not be cancelled, its caller had gone long ago.
        if let Some(Leg { source: Source::Gone, .. }) = self.desk.legs.get(&call) {
            self.caller_gone(controller, call, normal(Location::Local));
        }
    }

    /// The circuits that a call holds at one side are lost to it; `then` says what becomes of them, `rel` goes to its
    /// other side.
    pub fn side_lost(
        &mut self,
        controller: &mut Controller,
        call: CallId,
        (to, place): (OfficeNo, u16),
        cause: Cause,
        rel: &Rel,
        then: fn(&Held, &mut Self),
    ) {
        let now = self.now;
        let Some(leg) = self.desk.legs.get_mut(&call) else { return };
        let here = |held: &Held| held.to == to && held.places.contains(&place);
        if let Source::Trunk(held) = &leg.source
            && here(held)
        {
            let held = held.clone();
            then(&held, self);
            return self.caller_gone(controller, call, Rel { other: Vec::new(), ..rel.clone() });
        }
        match std::mem::replace(&mut leg.sink, Sink::Open) {
            Sink::Seized(out) if here(&out.held) => {
                leg.last = Some(cause);
                self.desk.traces.step(
                    now,
                    call,
                    Step::SeizureEnded { no: out.no, cause, after: now - out.at },
                );
                out.limit.into_iter().for_each(|set| self.desk.timers.stop(set));
                then(&out.held, self);
                let closed = self.desk.closed(call);
                controller.ended(now, self, &out.ended(call, now, cause, closed));
                self.desk.finish(call);
            }
            Sink::Standing(out) if here(&out.held) => {
                then(&out.held, self);
                match &leg_source(self, call) {
                    Some(held) => self.let_go(held, rel),
                    None => {
                        let cut = cause != Cause::Done;
                        self.desk.tally.cut += u64::from(cut);
                        let end = if cut { CallEnd::Cut } else { CallEnd::Released };
                        self.trace(call, Step::Ended(end));
                        self.plant.ended(call, end);
                    }
                }
                self.desk.drop_leg(call);
                controller.ended(now, self, &out.ended(call, now, cause, true));
            }
            other => leg.sink = other,
        }
    }

    /// A link is gone: set-ups on it are lost, and whether the far end worked on them is not known.
    pub fn link_lost(&mut self, controller: &mut Controller, to: OfficeNo) {
        let grace = self.now + self.desk.t.link_grace;
        let Some(link) = self.desk.links.get_mut(&to).filter(|link| link.phase != Phase::Down) else {
            return;
        };
        (link.phase, link.far) = (Phase::Down, Far::Inactive);
        link.timer.take().into_iter().for_each(|set| self.desk.timers.stop(set));
        let set = self.desk.timers.set(grace, Timer::LinkGrace(to));
        link.grace.replace(set).into_iter().for_each(|set| self.desk.timers.stop(set));
        self.plant.log_info(&format!("link to exchange {} is gone", to.0));
        self.drop_calls(controller, to, |used| matches!(used, Use::SeizedOut(_) | Use::SeizedIn(_)));
    }

    /// Standing calls have outlived their link for as long as they may.
    pub fn link_grace(&mut self, controller: &mut Controller, to: OfficeNo) {
        if let Some(link) = self.desk.links.get_mut(&to) {
            link.grace = None;
            self.drop_calls(controller, to, |used| used.call().is_some());
        }
    }

    fn drop_calls(&mut self, controller: &mut Controller, to: OfficeNo, which: fn(Use) -> bool) {
        let Some(group) = self.desk.groups.get(&to) else { return };
        let lost: Vec<_> =
            group.all().filter(|(_, circuit)| which(circuit.used)).map(|(place, _)| place).collect();
        let rel = failure(Q850::NetworkOutOfOrder);
        for place in lost {
            let used =
                self.desk.groups.get(&to).and_then(|group| group.get(place)).map(|circuit| circuit.used);
            if let Some(call) = used.and_then(Use::call) {
                self.side_lost(controller, call, (to, place), Cause::Cut, &rel, Held::reset);
            }
        }
    }

    fn initial_address(
        &mut self,
        controller: &mut Controller,
        from: OfficeNo,
        first: u16,
        iam: &Iam,
        closing: bool,
    ) {
        let Some(places) = self.incoming(controller, from, first, iam) else { return };
        let held = Held { to: from, places };
        let digits = iam.called.digits();
        let (office, number) = digits.split_at(OFFICE_DIGITS.min(digits.len()));
        let dest = Number::value(office).and_then(|dest| u16::try_from(dest).ok());
        let (Some(dest), Some(dialled)) =
            (dest.filter(|_| office.len() == OFFICE_DIGITS), Number::value(number))
        else {
            // Invalid number format (Q.850 value 28).
            return self.release_held(&held, failure(Q850::Other(28)));
        };
        let turned_away = if closing {
            Some(Q850::OutOfOrder)
        } else if self.desk.legs.len() >= self.desk.most_calls {
            self.desk.tally.overflow += 1;
            Some(Q850::Congestion)
        } else if OfficeNo(dest) != self.desk.own && iam.hops == Some(0) {
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
        let identity = iam.identity.unwrap_or(Identity {
            origin: from.0,
            call: call.0,
            seizure: 0,
            call_type: 0,
            customer: 0,
            left_ms: self.desk.t.t7.as_millis() as u32,
            cut: false,
            redial: false,
        });
        let width = held.places.len() as u16;
        let mut leg = Leg {
            source: Source::Trunk(held.clone()),
            sink: Sink::Open,
            identity,
            called: iam.called,
            dialled,
            dest: OfficeNo(dest),
            width,
            until: self.now.saturating_add(identity.left()).saturating_sub(ANSWER_WAY),
            guard: None,
            alarm: None,
            seizures: 0,
            last: None,
        };
        if leg.dest == self.desk.own {
            return self.terminate(call, leg, held);
        }
        self.desk.tally.transit += 1;
        let arrived = Step::Arrived { from, cic: Cic::at(first) };
        self.desk.traces.begin(self.now, call, identity, OfficeNo(dest), dialled, arrived);
        leg.guard = Some(self.desk.timers.set(leg.until, Timer::Guard(call)));
        self.desk.legs.insert(call, leg);
        self.put(&held, Use::SeizedIn(call));
        let offer = self.desk.offer(call, None);
        offer.into_iter().for_each(|offer| controller.offered(self.now, self, offer));
    }

    /// A call for a number here: it stands at once, if the number has a line free.
    fn terminate(&mut self, call: CallId, mut leg: Leg, held: Held) {
        let cic = Cic::at(held.first());
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
        let arrived = Step::Arrived { from: held.to, cic };
        self.desk.traces.begin(self.now, call, leg.identity, leg.dest, leg.dialled, arrived);
        self.trace(call, Step::StandsHere);
        leg.sink = Sink::Here;
        self.desk.legs.insert(call, leg);
        self.put(&held, Use::StandingIn(call));
        let report = self.desk.report;
        self.send(held.to, cic, Body::Acm { backward: BACKWARD, report: None, other: Vec::new() });
        self.send(held.to, cic, Body::Anm { report, other: Vec::new() });
    }

    /// The circuits that a set-up asks for, if it is to be worked on; settles dual seizure (Q.764 clause 2.9.1.4): the
    /// wider call prevails, else the end that controls the lowest circuit in dispute.
    fn incoming(
        &mut self,
        controller: &mut Controller,
        from: OfficeNo,
        first: u16,
        iam: &Iam,
    ) -> Option<Vec<u16>> {
        let group = self.desk.groups.get(&from)?;
        let cic = Cic::at(first);
        let places: Option<Vec<u16>> = match iam.map {
            None => Some(vec![first]),
            Some(map) => map.circuits(cic).map(|cic| group.place(cic)).collect(),
        };
        let places = places.filter(|places| places.first() == Some(&first));
        let Some(places) = places else {
            self.desk.tally.unexpected += 1;
            if group.get(first).is_some_and(|circuit| circuit.used == Use::Idle) {
                let held = Held { to: from, places: vec![first] };
                self.release_held(&held, failure(Q850::CircuitNotAvailable));
            }
            return None;
        };
        let uses: Vec<_> = places.iter().filter_map(|place| group.get(*place).copied()).collect();
        // A release or a reset of ours is on its way: the far end gives the set-up up once it has that, if it is for
        // the circuit that it signals on; of another it is told here, or it would wait until its limit.
        let closing = |used| matches!(used, Use::Releasing { .. } | Use::Resetting { .. } | Use::Along(_));
        if uses.iter().any(|circuit| closing(circuit.used)) {
            self.desk.tally.unexpected += 1;
            if matches!(uses[0].used, Use::Idle | Use::Along(_)) {
                let held = Held { to: from, places: vec![first] };
                self.release_held(&held, failure(Q850::CircuitNotAvailable));
            }
            return None;
        }
        let mut yielding = Vec::new();
        let mut stale = Vec::new();
        for (place, circuit) in places.iter().zip(&uses) {
            match circuit.used {
                Use::SeizedOut(call) => {
                    self.desk.tally.dual_seizures += 1;
                    let ours = self.desk.legs.get(&call).map_or(0, |leg| usize::from(leg.width));
                    let prevails = match ours.cmp(&places.len()) {
                        std::cmp::Ordering::Equal => group.controls(*place),
                        order => order.is_gt(),
                    };
                    if prevails {
                        // The far end finds the same and yields.
                        if let Some(Leg { sink: Sink::Seized(out), .. }) = self.desk.legs.get_mut(&call) {
                            out.prevailed = true;
                        }
                        return None;
                    }
                    yielding.push((*place, call));
                }
                Use::Idle => {}
                // The far end answered this call, and so had yielded: its set-up was overtaken by its answer.
                Use::StandingOut(_) => return None,
                used => stale.extend(used.call().map(|call| (*place, call))),
            }
        }
        if !stale.is_empty() {
            // The far end holds idle what here is busy: what it carried is over, and both start afresh.
            self.desk.tally.unexpected += 1;
            let rel = failure(Q850::TemporaryFailure);
            for (place, call) in stale {
                self.side_lost(controller, call, (from, place), Cause::Cut, &rel, Held::reset);
            }
            return None;
        }
        let blocked = uses.iter().any(|circuit| circuit.blocked.here());
        if blocked {
            self.send(from, cic, Body::Blo);
            self.release_held(&Held { to: from, places }, failure(Q850::CircuitNotAvailable));
            return None;
        }
        // The decisions must not take again at once what is yielded: it is let go once they know.
        for (place, call) in yielding {
            self.desk.tally.yielded += 1;
            let rel = failure(Q850::CircuitNotAvailable);
            let held = match self.desk.legs.get(&call).map(|leg| &leg.sink) {
                Some(Sink::Seized(out)) => out.held.clone(),
                _ => Held { to: from, places: vec![place] },
            };
            self.side_lost(controller, call, (from, place), Cause::NoCircuit, &rel, Held::keep);
            held.idle(self);
        }
        Some(places)
    }
}

fn leg_source(w: &Working, call: CallId) -> Option<Held> {
    match w.desk.legs.get(&call).map(|leg| &leg.source) {
        Some(Source::Trunk(held)) => Some(held.clone()),
        _ => None,
    }
}

/// What a release means for a seizure that has no answer.
fn seizure_cause(rel: &Rel) -> Cause {
    if let Some(turned) = rel.turned_back {
        return Cause::TurnedBack { beyond: turned.beyond };
    }
    match rel.cause.cause {
        Q850::Congestion => Cause::ProcessorFull { wait: rel.wait.unwrap_or_default() },
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
