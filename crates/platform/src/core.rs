//! What is told from outside: callers' messages, links' messages, the bus, the clock; and the decisions it is told on to.

mod callers;
mod discovery;
mod exchanges;
mod leases;
mod shutdown;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mintstall::Controller;
use mintstall::host::{CallId, ExchangeId};
use mintstall_settings::Trade;

use crate::bus::Bus;
use crate::desk::{Desk, LinkState, Owed, Timer, Turn};
use crate::reasons::LinkLoss;
use crate::{Config, Port};

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
pub enum Disconnect {
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

    // Time.

    /// When [`Core::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        self.desk.timers.peek().map(|first| first.0.0)
    }

    /// What has fallen due.
    pub fn on_timer(&mut self, now: Duration, port: &mut dyn Port) {
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
                    self.lose(port, link, LinkLoss::DialTimeout);
                }
            }
            Timer::MaintainPool(exchange) => self.desk.maintain_pool(port, exchange),
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

    /// Looks for half messages, silent connections, quiet exchanges and a silent bus.
    fn sweep(&mut self, port: &mut dyn Port) {
        let now = self.desk.now;
        self.desk.set(SWEEP, Timer::Sweep);
        let late = |since: Option<Duration>, span| since.is_some_and(|since| since + span < now);
        let callers = self.desk.callers.iter().filter(|(_, caller)| late(caller.half, HALF_FOR));
        for no in callers.map(|(no, _)| *no).collect::<Vec<_>>() {
            port.detail(format_args!("caller {} closed: silent, or half a message, for too long", no.0));
            metrics::counter!("callers_closed", "reason" => "incomplete_message").increment(1);
            self.caller_gone(port, no);
            port.hang_up(no);
        }
        let links = self.desk.links.iter().filter(|(_, link)| late(link.half, HALF_ANSWER_FOR));
        for no in links.map(|(no, _)| *no).collect::<Vec<_>>() {
            self.lose(port, no, LinkLoss::IncompleteMessage);
        }
        for no in self.desk.expired_links() {
            self.lose(port, no, LinkLoss::DrainExpired);
        }
        self.check_leases(port);
        let patience = if self.bus_state == BusState::Dialled { BUS_DIAL } else { BUS_SILENT };
        if self.bus_state != BusState::Down && self.bus_since + patience < now {
            let reason = if self.bus_state == BusState::Dialled { "dial timeout" } else { "silent" };
            self.drop_bus(port, reason);
        }
    }
}
