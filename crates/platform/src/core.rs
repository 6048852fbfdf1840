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
use mintstall::interface::{CallId, ExchangeId};
use mintstall_settings::Settings;

use self::shutdown::Shutdown;
use crate::event_bus::EventDecoder;
use crate::reasons::{CallerClose, LinkLoss};
use crate::state::{AnswerState, Caller, EventContext, LinkState, PlatformState, Timer, exponential_backoff};
use crate::{Config, Transport};

/// How often half messages and silent connections are looked for.
const SWEEP: Duration = Duration::from_millis(250);
/// A connection that has said nothing, or half a message, is given so long.
const HALF_FOR: Duration = Duration::from_millis(2200);
/// One on which a call has stood writes its messages in the end, however slowly.
const HALF_FOR_PROVEN: Duration = Duration::from_secs(6);
/// And a link so long for the rest of a message.
const HALF_ANSWER_FOR: Duration = Duration::from_millis(700);
/// The bus says something each second; without it for so long it has fallen silent.
const BUS_SILENT: Duration = Duration::from_millis(2300);
/// A dial that is not answered is given up after this at first, then after twice as long each time: a crowded bus
/// accepts late.
const BUS_DIAL: Duration = Duration::from_millis(500);
const BUS_DIAL_LONGEST: Duration = Duration::from_secs(2);
/// A lost bus is dialled again after a draw from the upper half of this, doubled with each failure up to the last: all
/// controllers lose it together. What the bus has counts as told 6 s after it can be reached, so that dial and pause
/// together stay well below that.
const BUS_AGAIN: Duration = Duration::from_millis(200);
const BUS_AGAIN_LONGEST: Duration = Duration::from_millis(1000);
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

#[derive(Clone, Copy, PartialEq, Eq)]
enum BusState {
    Connecting,
    Up,
    /// To be dialled again when its timer rings.
    Down,
}

pub struct Core {
    controller: Controller,
    state: PlatformState,
    settings: Settings,
    bus: EventDecoder,
    bus_at: SocketAddr,
    bus_state: BusState,
    /// Since when the bus has been in that state, or was last heard.
    bus_since: Duration,
    /// Times in a row that it was lost without a word.
    bus_failures: u32,
    /// Exchanges by the names of the bus. Emptied as they go.
    uids: BTreeMap<Box<str>, ExchangeId>,
    next_exchange: u32,
    shutdown: Shutdown,
}

impl Core {
    /// `now` is the span since the Unix epoch. Dials the bus and every exchange.
    pub fn new(config: &Config, now: Duration, transport: &mut dyn Transport) -> Self {
        let settings = config.settings.clone();
        let connect_timeout =
            if settings.connect_timeout.is_zero() { BUS_DIAL } else { settings.connect_timeout };
        let mut core = Self {
            controller: Controller::new(&settings.controller, config.seed),
            state: PlatformState::new(now, config.seed, config.sockets / 4, connect_timeout),
            settings,
            bus: EventDecoder::new(config.last),
            bus_at: config.bus,
            bus_state: BusState::Down,
            bus_since: now,
            bus_failures: 0,
            uids: BTreeMap::new(),
            next_exchange: 0,
            shutdown: Shutdown::NotAsked,
        };
        for event in &config.initial_events {
            core.apply(transport, event);
        }
        core.dial_bus(transport);
        core.state.set(SWEEP, Timer::Sweep);
        core.report_ended_seizures(transport);
        core
    }

    /// Tells the decisions one thing; they act at once.
    fn with_controller(
        &mut self,
        transport: &mut dyn Transport,
        tell: impl FnOnce(&mut Controller, Duration, &mut EventContext),
    ) {
        let now = self.state.now;
        tell(&mut self.controller, now, &mut EventContext { state: &mut self.state, transport });
    }

    /// Tells the decisions which seizures ended through what was done since.
    fn report_ended_seizures(&mut self, transport: &mut dyn Transport) {
        while let Some(end) = self.state.ends.pop_front() {
            self.with_controller(transport, |controller, now, context| {
                controller.on_seizure_ended(now, context, &end)
            });
        }
    }

    // Time.

    /// When [`Core::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        self.state.timers.peek().map(|first| first.0.0)
    }

    /// What has fallen due.
    pub fn on_timer(&mut self, now: Duration, transport: &mut dyn Transport) {
        self.state.now = now;
        while self.state.timers.peek().is_some_and(|first| first.0.0 <= now)
            && let Some(first) = self.state.timers.pop()
        {
            let (_, _, timer) = first.0;
            self.falls_due(transport, timer);
            self.report_ended_seizures(transport);
        }
    }

    fn falls_due(&mut self, transport: &mut dyn Transport, timer: Timer) {
        match timer {
            Timer::Alarm(alarm) => self.with_controller(transport, |controller, now, context| {
                controller.on_timer(now, context, alarm)
            }),
            Timer::SeizureTimeout(call, no) => self.state.limit(transport, call, no),
            Timer::GuardTime(call) => self.time_is_up(transport, call, 408),
            Timer::ConnectTimeout(link) => {
                if self.state.links.get(&link).is_some_and(|link| link.state == LinkState::Connecting) {
                    self.remove_link(transport, link, LinkLoss::DialTimeout);
                }
            }
            Timer::DialForReleases(exchange) => self.state.dial_for_releases(transport, exchange),
            Timer::MaintainPool(exchange) => self.state.maintain_pool(transport, exchange),
            Timer::ReconnectBus if self.bus_state == BusState::Down => self.dial_bus(transport),
            Timer::ReconnectBus => {}
            Timer::Sweep => self.sweep(transport),
            Timer::ShutdownDeadline => {
                let owed: Vec<_> = self.state.unanswered.values().copied().collect();
                owed.into_iter().for_each(|call| self.time_is_up(transport, call, 500));
            }
            Timer::DrainCallers => self.drain_callers(transport),
        }
    }

    /// The decisions leave time for their answer; what has none by now fails.
    fn time_is_up(&mut self, transport: &mut dyn Transport, id: CallId, status: u16) {
        if self.state.calls.get(&id).is_some_and(|call| call.answer_state == AnswerState::Pending) {
            self.state.answer(transport, id, status, &[], b"");
            self.with_controller(transport, |controller, now, context| {
                controller.on_caller_gone(now, context, id)
            });
        }
    }

    /// Looks for half messages, silent connections, quiet exchanges and a silent bus.
    fn sweep(&mut self, transport: &mut dyn Transport) {
        let now = self.state.now;
        self.state.set(SWEEP, Timer::Sweep);
        let late = |since: Option<Duration>, span| since.is_some_and(|since| since + span < now);
        let stuck = |caller: &Caller| {
            let patience = if caller.had_standing_call { HALF_FOR_PROVEN } else { HALF_FOR };
            // What has been taken is answered first.
            late(caller.partial_since, patience) && caller.open.is_empty()
        };
        let callers = self.state.callers.iter().filter(|(_, caller)| stuck(caller));
        for no in callers.map(|(no, _)| *no).collect::<Vec<_>>() {
            self.close_caller(transport, no, CallerClose::IncompleteMessage);
        }
        let links = self.state.links.iter().filter(|(_, link)| late(link.partial_since, HALF_ANSWER_FOR));
        for no in links.map(|(no, _)| *no).collect::<Vec<_>>() {
            self.remove_link(transport, no, LinkLoss::IncompleteMessage);
        }
        for no in self.state.expire_links(transport) {
            self.remove_link(transport, no, LinkLoss::DrainExpired);
        }
        self.check_leases(transport);
        let patience = match self.bus_state {
            BusState::Connecting => exponential_backoff(BUS_DIAL, self.bus_failures, BUS_DIAL_LONGEST),
            _ => BUS_SILENT,
        };
        if self.bus_state != BusState::Down && self.bus_since + patience < now {
            let reason = if self.bus_state == BusState::Connecting { "dial timeout" } else { "silent" };
            self.drop_bus(transport, reason);
        }
    }
}
