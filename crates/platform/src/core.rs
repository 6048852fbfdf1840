//! What is told from outside: callers' messages, links' messages, the bus, the clock; and the decisions it is told on to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mintstall::Controller;
use mintstall::host::{
    CallId, Cause, Ended, ExchangeId, Offer, OfficeNo, RosterLine, SeizureNo, Standing as Service, Stood,
    Zone,
};
use mintstall_settings::Trade;
use mintstall_sip::{self as sip, Message, Start};

use crate::bus::{self, Bus, Event, Topology};
use crate::desk::{BROKEN, Call, Desk, Far, LinkState, NORMAL, Owed, Standing, Timer, Turn};
use crate::message::{self, Kind, WireId};
use crate::offer::{self, SetUp, Wish};
use crate::{CallerNo, Config, LinkNo, Port};

/// How often half messages and silent connections are looked for.
const SWEEP: Duration = Duration::from_millis(250);
/// A connection that has said nothing, or half a message, is given so long.
const HALF_FOR: Duration = Duration::from_millis(2200);
/// And a link so long for the rest of a message.
const HALF_ANSWER_FOR: Duration = Duration::from_millis(700);
/// The bus says something each second; without it for so long it has fallen silent.
const BUS_SILENT: Duration = Duration::from_millis(2300);
const BUS_DIAL: Duration = Duration::from_millis(500);
/// A lost bus is dialled again after this.
const BUS_AGAIN: Duration = Duration::from_millis(200);
/// After the signal to stop, calls keep coming for so long.
const STOP_COMING: Duration = Duration::from_millis(750);
/// What is taken after the signal to stop has its answer by then, or in the longest guard time where that is less.
const STOP_ANSWERS: Duration = Duration::from_millis(3400);
/// Set-ups open on one connection, beyond which a caller is refused: a flood must leave room to others.
const MOST_OPEN: usize = 256;
/// Octets of descriptions and headers in all open calls: a flood of long ones must not fill the memory.
const MOST_HELD: usize = 4 << 20;
/// Standing calls: far beyond what the circuits of all groups carry.
const MOST_STANDING: usize = 20_000;

/// How a link or a dial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broke {
    /// Nobody listens there.
    Refused,
    Lost,
}

enum Stop {
    Not,
    Asked { at: Duration, by: Duration },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum BusState {
    Dialled,
    Up,
    /// To be dialled again when its timer rings.
    Down,
}

pub struct Core {
    controller: Controller,
    desk: Desk,
    trade: Trade,
    bus: Bus,
    bus_at: SocketAddr,
    bus_state: BusState,
    /// Since when the bus has been in that state, or was last heard.
    bus_since: Duration,
    /// Exchanges by the names of the bus. Emptied as they go.
    uids: BTreeMap<Box<str>, ExchangeId>,
    next_exchange: u32,
    stop: Stop,
}

impl Core {
    /// `now` is the span since the Unix epoch. Dials the bus and every exchange.
    pub fn new(config: &Config, now: Duration, port: &mut dyn Port) -> Self {
        let trade = config.trade.clone();
        let dial_within = if trade.dial_within.is_zero() { BUS_DIAL } else { trade.dial_within };
        let mut core = Self {
            controller: Controller::new(&trade.office, config.seed),
            desk: Desk::new(now, config.seed, config.sockets / 4, dial_within),
            trade,
            bus: Bus::new(config.last),
            bus_at: config.bus,
            bus_state: BusState::Down,
            bus_since: now,
            uids: BTreeMap::new(),
            next_exchange: 0,
            stop: Stop::Not,
        };
        for event in &config.known {
            core.apply(port, event);
        }
        core.dial_bus(port);
        core.desk.set(SWEEP, Timer::Sweep);
        core.settle(port);
        core
    }

    /// Tells the decisions one thing; they act at once.
    fn decide(&mut self, port: &mut dyn Port, tell: impl FnOnce(&mut Controller, Duration, &mut Turn)) {
        let now = self.desk.now;
        tell(&mut self.controller, now, &mut Turn { desk: &mut self.desk, port });
    }

    /// Tells the decisions which seizures ended through what was done since.
    fn settle(&mut self, port: &mut dyn Port) {
        while let Some(end) = self.desk.ends.pop_front() {
            self.decide(port, |controller, now, turn| controller.ended(now, turn, &end));
        }
    }

    // Callers.

    pub fn caller_came(&mut self, now: Duration, caller: CallerNo) {
        self.desk.now = now;
        self.desk.came(caller);
    }

    pub fn caller_said(&mut self, now: Duration, port: &mut dyn Port, no: CallerNo, octets: &[u8]) {
        self.desk.now = now;
        let Some(caller) = self.desk.callers.get_mut(&no) else { return };
        caller.heard = now;
        let mut cutter = std::mem::take(&mut caller.cutter);
        cutter.push(octets);
        loop {
            match cutter.next_message() {
                Ok(Some(message)) => self.message(port, no, &message),
                Ok(None) => break,
                Err(spoilt) => {
                    let mut answer = Vec::new();
                    let why = [("Warning", &*spoilt.to_string())];
                    sip::write_response(&mut answer, spoilt.status(), &why, b"");
                    port.say(no, &answer);
                    self.caller_gone(port, no);
                    port.hang_up(no);
                    break;
                }
            }
            self.settle(port);
            if !self.desk.callers.contains_key(&no) {
                break;
            }
        }
        if let Some(caller) = self.desk.callers.get_mut(&no) {
            caller.half = if cutter.half() { caller.half.or(Some(now)) } else { None };
            caller.cutter = cutter;
        }
        self.settle(port);
    }

    /// A caller's connection has ended.
    pub fn caller_left(&mut self, now: Duration, port: &mut dyn Port, no: CallerNo) {
        self.desk.now = now;
        self.caller_gone(port, no);
        self.settle(port);
    }

    fn caller_gone(&mut self, port: &mut dyn Port, no: CallerNo) {
        for id in self.desk.left(port, no) {
            self.withdraw(port, id);
        }
    }

    /// Nothing is owed for a call any more.
    fn withdraw(&mut self, port: &mut dyn Port, id: CallId) {
        self.desk.forget(id);
        self.decide(port, |controller, now, turn| controller.withdrawn(now, turn, id));
    }

    fn message(&mut self, port: &mut dyn Port, no: CallerNo, message: &Message) {
        match message.start {
            Start::Request { method, .. } => {
                if method != "INVITE" {
                    self.usual(port, no);
                }
                match method {
                    "INVITE" => self.invite(port, no, message),
                    "CANCEL" => self.cancel(port, no, message),
                    "BYE" => self.caller_releases(port, no, message),
                    "OPTIONS" => {
                        let status = if matches!(self.stop, Stop::Not) { 200 } else { 503 };
                        reply(port, no, message, status, "");
                    }
                    "ACK" | "NOTIFY" => {}
                    _ => reply(port, no, message, 405, ""),
                }
            }
            Start::Response { .. } => {
                if let (Some((_, "BYE")), Some(id)) =
                    (message.cseq(), message.header("Call-ID").and_then(WireId::read))
                {
                    self.desk.heard_bye(no, id);
                }
            }
        }
    }

    /// A connection that says something that makes sense can be told of calls that ended.
    fn usual(&mut self, port: &mut dyn Port, no: CallerNo) {
        if let Some(caller) = self.desk.callers.get_mut(&no)
            && !std::mem::replace(&mut caller.usual, true)
        {
            self.desk.say_farewells(port);
        }
    }

    fn invite(&mut self, port: &mut dyn Port, no: CallerNo, message: &Message) {
        let wish = match offer::read(message, &self.trade) {
            Ok(wish) if message.cseq().is_some() => wish,
            Ok(_) => return reply(port, no, message, 400, "CSeq is missing"),
            Err(refusal) => return reply(port, no, message, 400, &refusal.to_string()),
        };
        match wish {
            Wish::Stands { id, at } => {
                self.usual(port, no);
                self.stood_before(port, no, id, at);
            }
            Wish::Call(set_up) => {
                if self.desk.named.contains_key(&set_up.id) || self.desk.standing.contains_key(&set_up.id) {
                    return reply(port, no, message, 400, "a call has this id");
                }
                self.usual(port, no);
                let full = self.desk.callers.get(&no).is_none_or(|caller| caller.open.len() >= MOST_OPEN)
                    || self.desk.standing.len() >= MOST_STANDING
                    || self.desk.held >= MOST_HELD;
                match full {
                    true => reply(port, no, message, 503, "too many set-ups are open"),
                    false => self.offer(port, no, message, &set_up),
                }
            }
        }
    }

    fn offer(&mut self, port: &mut dyn Port, no: CallerNo, message: &Message, set_up: &SetUp) {
        let now = self.desk.now;
        let mut until = now + set_up.patience;
        if let Stop::Asked { by, .. } = self.stop {
            until = until.min(by.max(now));
        }
        let id = CallId(self.desk.number());
        port.detail(format_args!("{} offered by {}: {set_up:?}", set_up.id, no.0));
        let call = Call {
            id: set_up.id,
            caller: no,
            via: message.header("Via").unwrap_or("SIP/2.0/TCP peer").into(),
            cseq: message.cseq().map_or(1, |(number, _)| number),
            call_type: set_up.call_type_name.into(),
            number: set_up.number.into(),
            description: set_up.description.into(),
            owed: Owed::Answer,
            seizures: 0,
            out: None,
            left: Vec::new(),
        };
        self.desk.take(id, call);
        self.desk.named.insert(set_up.id, id);
        if let Some(caller) = self.desk.callers.get_mut(&no) {
            caller.open.insert(id);
        }
        self.desk.set(until - now, Timer::Guard(id));
        let offer = Offer {
            call: id,
            call_type: set_up.call_type,
            customer: set_up.customer,
            dialled: set_up.dialled,
            until,
            dest: set_up.dest,
            width: set_up.width,
            advised: set_up.via,
            transit: set_up.transit,
            cut: set_up.again,
            redial: false,
        };
        self.decide(port, |controller, now, turn| controller.offered(now, turn, offer));
    }

    /// A call that stood before this process: remembered for its release.
    fn stood_before(&mut self, port: &mut dyn Port, no: CallerNo, id: WireId, at: &str) {
        if self.desk.standing.contains_key(&id) || self.desk.standing.len() >= MOST_STANDING {
            return;
        }
        let now = self.desk.now;
        match self.uids.get(at) {
            Some(exchange) => {
                let call = CallId(self.desk.number());
                let (seizure, exchange) = (SeizureNo(0), *exchange);
                let stands = Standing { call, seizure, exchange, caller: no, sent: now, since: now };
                self.desk.standing.insert(id, stands);
            }
            // Its exchange has gone, and the call with it.
            None => self.desk.bye(port, Some(no), id, BROKEN, now),
        }
    }

    fn cancel(&mut self, port: &mut dyn Port, no: CallerNo, message: &Message) {
        let id = message.header("Call-ID").and_then(WireId::read);
        let call = id.and_then(|id| self.desk.named.get(&id).copied());
        let own = call.filter(|id| self.desk.calls.get(id).is_some_and(|call| call.caller == no));
        let Some(id) = own else { return reply(port, no, message, 481, "") };
        reply(port, no, message, 200, "");
        self.desk.answer(port, id, 487, &[], b"");
        self.decide(port, |controller, now, turn| controller.withdrawn(now, turn, id));
    }

    fn caller_releases(&mut self, port: &mut dyn Port, no: CallerNo, message: &Message) {
        let id = message.header("Call-ID").and_then(WireId::read);
        let Some((id, call)) = id.and_then(|id| Some((id, self.desk.standing.remove(&id)?))) else {
            return reply(port, no, message, 481, "");
        };
        reply(port, no, message, 200, "");
        self.desk.release_there(port, call.exchange, id);
        self.over(port, &call, Cause::Cancelled);
    }

    /// A standing call has ended, for the decisions to be told.
    fn over(&mut self, port: &mut dyn Port, call: &Standing, cause: Cause) {
        let Standing { call, seizure, exchange, sent, .. } = *call;
        let after = self.desk.now.saturating_sub(sent);
        let end = Ended { call, seizure, exchange, cause, after, closed: true };
        self.decide(port, |controller, now, turn| controller.ended(now, turn, &end));
    }

    // Exchanges.

    pub fn link_up(&mut self, now: Duration, port: &mut dyn Port, no: LinkNo) {
        self.desk.now = now;
        self.desk.link_up(port, no);
        self.settle(port);
    }

    pub fn link_down(&mut self, now: Duration, port: &mut dyn Port, no: LinkNo, how: Broke) {
        self.desk.now = now;
        let lost = self.lose(port, no);
        if let (Some((exchange, LinkState::Dialled)), Broke::Refused) = (lost, how) {
            // Nobody listens and no link is left: its process has died, and its calls with it.
            if self.desk.first_up(exchange).is_none() {
                self.cut_calls(port, exchange, Duration::MAX);
            }
        }
        self.settle(port);
    }

    /// A link goes. Where it told the group's state, what the next one was told last holds from now on.
    fn lose(&mut self, port: &mut dyn Port, no: LinkNo) -> Option<(ExchangeId, LinkState)> {
        let exchange = self.desk.links.get(&no)?.to;
        let told = self.desk.first_up(exchange) == Some(no);
        let lost = self.desk.lose(port, no);
        let next =
            self.desk.first_up(exchange).filter(|_| told).and_then(|next| self.desk.links.get_mut(&next));
        if let Some(report) = next.and_then(|link| link.state_told.take()) {
            self.decide(port, |controller, now, turn| controller.reported(now, turn, exchange, &report));
        }
        lost
    }

    pub fn link_said(&mut self, now: Duration, port: &mut dyn Port, no: LinkNo, octets: &[u8]) {
        self.desk.now = now;
        let Some(link) = self.desk.links.get_mut(&no) else { return };
        link.heard = now;
        let exchange = link.to;
        let mut cutter = std::mem::take(&mut link.cutter);
        cutter.push(octets);
        loop {
            match cutter.next_message() {
                Ok(Some(message)) => self.exchange_says(port, no, exchange, &message),
                Ok(None) => break,
                Err(spoilt) => {
                    port.detail(format_args!("link {}: {spoilt}", no.0));
                    self.lose(port, no);
                    break;
                }
            }
            self.settle(port);
        }
        if let Some(link) = self.desk.links.get_mut(&no) {
            link.half = if cutter.half() { link.half.or(Some(now)) } else { None };
            link.cutter = cutter;
        }
        self.settle(port);
    }

    fn exchange_says(
        &mut self,
        port: &mut dyn Port,
        no: LinkNo,
        exchange: ExchangeId,
        message: &message::Message,
    ) {
        match message.kind {
            Kind::Answer => self.answered(port, no, exchange, message),
            Kind::Release => self.released(port, no, exchange, message),
            Kind::State if self.desk.first_up(exchange) != Some(no) => {
                let told = message.report.and_then(|text| self.trade.reports.named_report(text));
                self.desk.links.entry(no).and_modify(|link| link.state_told = told.or(link.state_told));
            }
            Kind::State | Kind::TestResult => self.report(port, exchange, message.report),
            Kind::SetUp | Kind::Progress | Kind::ReleaseHeard | Kind::Test => {}
        }
    }

    fn report(&mut self, port: &mut dyn Port, exchange: ExchangeId, text: Option<&str>) {
        let report = text.and_then(|text| self.trade.reports.named_report(text));
        port.detail(format_args!("exchange {} reports {text:?}", exchange.0));
        if let Some(report) = report {
            self.decide(port, |controller, now, turn| controller.reported(now, turn, exchange, &report));
        }
    }

    fn answered(
        &mut self,
        port: &mut dyn Port,
        no: LinkNo,
        exchange: ExchangeId,
        message: &message::Message,
    ) {
        let Some(id) = self.desk.links.get_mut(&no).and_then(|link| link.out.remove(&message.call)) else {
            return;
        };
        let Some(description) = message.description else { return };
        port.detail(format_args!("{} answered by exchange {}", message.call, exchange.0));
        let now = self.desk.now;
        let Some(call) = self.desk.calls.get_mut(&id) else { return };
        let Some(out) = call.out.take() else { return };
        let (caller, owed) = (call.caller, call.owed);
        if owed == Owed::Nothing {
            // Its caller has gone and it could not be cancelled: released at once.
            call.out = Some(out);
            self.desk.release_there(port, exchange, message.call);
            return self.desk.end(id, Cause::Cancelled);
        }
        let stands = Standing { call: id, seizure: out.no, exchange, caller, sent: out.since, since: now };
        self.desk.standing.insert(message.call, stands);
        self.desk.callers.entry(caller).and_modify(|caller| caller.proven = true);
        self.desk.answer(port, id, 200, &[("Content-Type", "application/sdp")], description);
        let after = now.saturating_sub(out.since);
        let stood = Stood { call: id, seizure: out.no, exchange, after };
        self.decide(port, |controller, now, turn| controller.stands(now, turn, &stood));
    }

    fn released(
        &mut self,
        port: &mut dyn Port,
        no: LinkNo,
        exchange: ExchangeId,
        message: &message::Message,
    ) {
        let cause = message.cause.unwrap_or(BROKEN);
        let waits = self.desk.links.get(&no).and_then(|link| link.out.get(&message.call).copied());
        let (id, note) = (message.call, message.note.unwrap_or("-"));
        port.detail(format_args!("{id} released by exchange {}: cause {cause} {note}", exchange.0));
        if let Some(id) = waits {
            self.report(port, exchange, message.report);
            self.desk.end(id, before_answer(cause, message));
            return;
        }
        let stood = self.desk.standing.get(&message.call).filter(|call| call.exchange == exchange).copied();
        let Some(call) = stood else { return };
        self.desk.standing.remove(&message.call);
        let (cause, of) = if cause == NORMAL { (NORMAL, Cause::Done) } else { (BROKEN, Cause::Cut) };
        self.desk.bye(port, Some(call.caller), message.call, cause, self.desk.now);
        let mut heard = Vec::new();
        message::write(&mut heard, Kind::ReleaseHeard, message.call, &[]);
        port.send(no, &heard);
        self.report(port, exchange, message.report);
        self.over(port, &call, of);
    }

    /// Calls that stand at an exchange since before some time ended with it.
    fn cut_calls(&mut self, port: &mut dyn Port, exchange: ExchangeId, before: Duration) {
        for (id, call) in self.desk.take_standing(exchange, before) {
            self.desk.bye(port, Some(call.caller), id, BROKEN, self.desk.now);
            self.over(port, &call, Cause::Cut);
        }
    }

    // The bus.

    fn dial_bus(&mut self, port: &mut dyn Port) {
        (self.bus_state, self.bus_since) = (BusState::Dialled, self.desk.now);
        port.dial_bus(self.bus_at);
    }

    pub fn bus_up(&mut self, now: Duration, port: &mut dyn Port) {
        self.desk.now = now;
        (self.bus_state, self.bus_since) = (BusState::Up, now);
        port.ask_bus(&self.bus.ask());
    }

    pub fn bus_down(&mut self, now: Duration, port: &mut dyn Port) {
        self.desk.now = now;
        self.drop_bus(port);
    }

    fn drop_bus(&mut self, port: &mut dyn Port) {
        port.cut_bus();
        (self.bus_state, self.bus_since) = (BusState::Down, self.desk.now);
        self.desk.set(BUS_AGAIN, Timer::Bus);
    }

    pub fn bus_said(&mut self, now: Duration, port: &mut dyn Port, octets: &[u8]) {
        self.desk.now = now;
        self.bus_since = now;
        let mut events = Vec::new();
        let taken = self.bus.take(octets, |event| events.push(event));
        events.iter().for_each(|event| self.apply(port, event));
        if let Err(spoilt) = taken {
            port.note(&format!("event bus: {spoilt}; asked again from {}", self.bus.last()));
            self.drop_bus(port);
        }
        self.settle(port);
    }

    /// A new configuration: only where the bus is may change while calls are in hand.
    pub fn configured(&mut self, now: Duration, port: &mut dyn Port, config: &Config) {
        self.desk.now = now;
        if config.bus != self.bus_at {
            port.note(&format!("event bus: now at {}, was at {}", config.bus, self.bus_at));
            self.bus_at = config.bus;
            self.dial_bus(port);
        }
    }

    fn apply(&mut self, port: &mut dyn Port, event: &Event) {
        let Some(topology) = &event.topology else { return };
        let lines = self.lines(topology);
        let gone: Vec<_> = self.changes(port, topology, &lines);
        match topology.all {
            true => self.decide(port, |controller, now, turn| controller.roster(now, turn, &lines)),
            false => self.decide(port, |controller, now, turn| controller.roster_changes(now, turn, &lines)),
        }
        for (exchange, before) in gone {
            self.cut_calls(port, exchange, before);
        }
        self.desk.share_links();
        let all: Vec<_> = self.desk.exchanges.keys().copied().collect();
        all.into_iter().for_each(|exchange| self.desk.tend(port, exchange));
    }

    /// A topology as the decisions read it; exchanges that are new get their number.
    fn lines(&mut self, topology: &Topology) -> Vec<RosterLine> {
        let zones = &self.trade.zones;
        let mut lines = Vec::new();
        for target in &topology.targets {
            let zone = zones.iter().position(|zone| **zone == *target.az);
            let exchange = *self.uids.entry(target.uid.clone()).or_insert_with(|| {
                self.next_exchange += 1;
                ExchangeId(self.next_exchange)
            });
            lines.push(RosterLine {
                exchange,
                office: OfficeNo(target.pod_group),
                zone: Zone(zone.map_or(u8::MAX, |at| at as u8)),
                standing: match target.state {
                    bus::Service::InService => Service::Ready,
                    bus::Service::Terminating => Service::Draining,
                    bus::Service::Terminated => Service::Gone,
                },
                started: Duration::from_millis(target.boot_ms),
            });
        }
        lines
    }

    /// Takes changes into the books; gives the exchanges whose calls, from before some time, ended through them.
    fn changes(
        &mut self,
        port: &mut dyn Port,
        topology: &Topology,
        lines: &[RosterLine],
    ) -> Vec<(ExchangeId, Duration)> {
        let mut ended = Vec::new();
        for (line, target) in lines.iter().zip(&topology.targets) {
            // Calls to the own exchange are not set up over the platform.
            if Some(line.office) == self.trade.office.own {
                continue;
            }
            let fresh = Far {
                uid: target.uid.clone(),
                at: target.endpoint,
                service: line.standing,
                started: line.started,
                links: Vec::new(),
                retired: Default::default(),
                failures: 0,
                next_dial: Duration::ZERO,
                waiting: Default::default(),
                releases: Default::default(),
            };
            let far = self.desk.exchanges.entry(line.exchange).or_insert(fresh);
            far.service = line.standing;
            if std::mem::replace(&mut far.started, line.started) != line.started {
                ended.push((line.exchange, line.started));
            }
            if std::mem::replace(&mut far.at, target.endpoint) != target.endpoint {
                let links = far.links.clone();
                links.into_iter().for_each(|link| _ = self.desk.lose(port, link));
            }
        }
        let missing = |id: &ExchangeId| topology.all && lines.iter().all(|line| line.exchange != *id);
        for (id, far) in &mut self.desk.exchanges {
            if missing(id) {
                far.service = Service::Gone;
            }
        }
        let gone = |far: &Far| far.service == Service::Gone;
        let all: Vec<_> =
            self.desk.exchanges.iter().filter(|(_, far)| gone(far)).map(|(id, _)| *id).collect();
        for id in all {
            let far = self.desk.exchanges.get(&id);
            let links = far.map(|far| far.links.iter().chain(&far.retired).copied().collect::<Vec<_>>());
            links.unwrap_or_default().into_iter().for_each(|link| _ = self.desk.lose(port, link));
            if let Some(far) = self.desk.exchanges.remove(&id) {
                self.uids.remove(&far.uid);
            }
            ended.push((id, Duration::MAX));
        }
        ended
    }

    // Time.

    /// When [`Core::ring`] is next to be called.
    pub fn next_alarm(&self) -> Option<Duration> {
        self.desk.timers.peek().map(|first| first.0.0)
    }

    /// What has fallen due.
    pub fn ring(&mut self, now: Duration, port: &mut dyn Port) {
        self.desk.now = now;
        while self.desk.timers.peek().is_some_and(|first| first.0.0 <= now)
            && let Some(first) = self.desk.timers.pop()
        {
            let (_, _, timer) = first.0;
            self.falls_due(port, timer);
            self.settle(port);
        }
    }

    fn falls_due(&mut self, port: &mut dyn Port, timer: Timer) {
        match timer {
            Timer::Alarm(alarm) => {
                self.decide(port, |controller, now, turn| controller.rings(now, turn, alarm))
            }
            Timer::Limit(call, no) => self.desk.limit(port, call, no),
            Timer::Guard(call) => self.time_is_up(port, call, 408),
            Timer::Dial(link) => {
                if self.desk.links.get(&link).is_some_and(|link| link.state == LinkState::Dialled) {
                    self.lose(port, link);
                }
            }
            Timer::Tend(exchange) => self.desk.tend(port, exchange),
            Timer::Bus if self.bus_state == BusState::Down => self.dial_bus(port),
            Timer::Bus => {}
            Timer::Sweep => self.sweep(port),
            Timer::Stop => {
                let owed: Vec<_> = self.desk.named.values().copied().collect();
                owed.into_iter().for_each(|call| self.time_is_up(port, call, 500));
            }
        }
    }

    /// The decisions leave time for their answer; what has none by now fails.
    fn time_is_up(&mut self, port: &mut dyn Port, id: CallId, status: u16) {
        if self.desk.calls.get(&id).is_some_and(|call| call.owed == Owed::Answer) {
            self.desk.answer(port, id, status, &[], b"");
            self.decide(port, |controller, now, turn| controller.withdrawn(now, turn, id));
        }
    }

    /// Looks for half messages, silent connections and a silent bus.
    fn sweep(&mut self, port: &mut dyn Port) {
        let now = self.desk.now;
        self.desk.set(SWEEP, Timer::Sweep);
        let late = |since: Option<Duration>, span| since.is_some_and(|since| since + span < now);
        let callers = self.desk.callers.iter().filter(|(_, caller)| late(caller.half, HALF_FOR));
        for no in callers.map(|(no, _)| *no).collect::<Vec<_>>() {
            self.caller_gone(port, no);
            port.hang_up(no);
        }
        let links = self.desk.links.iter().filter(|(_, link)| late(link.half, HALF_ANSWER_FOR));
        for no in links.map(|(no, _)| *no).collect::<Vec<_>>() {
            self.lose(port, no);
        }
        self.desk.worn_out().into_iter().for_each(|no| _ = self.lose(port, no));
        let patience = if self.bus_state == BusState::Dialled { BUS_DIAL } else { BUS_SILENT };
        if self.bus_state != BusState::Down && self.bus_since + patience < now {
            self.drop_bus(port);
        }
    }

    // The end.

    /// The signal to stop: what comes is still taken, with time for its answer before the process is ended.
    pub fn stop(&mut self, now: Duration, port: &mut dyn Port) {
        self.desk.now = now;
        if let Stop::Not = self.stop {
            let longest =
                self.trade.office.call_types.iter().map(|of| of.guard_time).max().unwrap_or_default();
            let by = now + STOP_ANSWERS.min(longest.max(STOP_COMING));
            port.note(&format!("told to stop: {} calls to be answered", self.desk.named.len()));
            self.stop = Stop::Asked { at: now, by };
            self.desk.set(by - now, Timer::Stop);
        }
    }

    /// Whether all that was taken is answered and nothing more will come.
    pub fn stopped(&self, now: Duration) -> bool {
        matches!(self.stop, Stop::Asked { at, .. } if at + STOP_COMING < now) && self.desk.named.is_empty()
    }

    /// The connection that can be closed to make room for another: the longest silent without an open set-up.
    pub fn idlest(&self) -> Option<CallerNo> {
        let idle = self.desk.callers.iter().filter(|(_, caller)| caller.open.is_empty());
        idle.min_by_key(|(_, caller)| (caller.usual, caller.heard)).map(|(no, _)| *no)
    }
}

/// How a seizure ended that had no answer yet.
fn before_answer(cause: u8, message: &message::Message) -> Cause {
    let wait = Duration::from_millis(message.wait_ms.unwrap_or_default().into());
    match (cause, message.note) {
        (34, Some("congestion")) => Cause::NoCircuit,
        (34, Some("crankback")) => Cause::TurnedBack { beyond: false },
        (34, Some("remote_throttled")) => Cause::TurnedBack { beyond: true },
        (34, _) => Cause::ProcessorFull { wait },
        (17 | 47, Some("engaged")) => Cause::Busy,
        (17 | 47, _) => Cause::Fault,
        (102, note) => Cause::NotSent { own_down: note == Some("throttled") },
        _ => Cause::Cut,
    }
}

/// Answers a request that is no call taken.
fn reply(port: &mut dyn Port, no: CallerNo, message: &Message, status: u16, why: &str) {
    let names = ["Via", "Call-ID", "CSeq"];
    let mut headers: Vec<_> = names.iter().filter_map(|name| Some((*name, message.header(name)?))).collect();
    if !why.is_empty() {
        headers.push(("Warning", why));
    }
    let mut octets = Vec::new();
    sip::write_response(&mut octets, status, &headers, b"");
    port.say(no, &octets);
}
