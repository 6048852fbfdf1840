//! The core: handles the events of callers, links, the event bus and timers, and passes them to the controller.
//!
//! `callers`, `set_ups`, `exchanges` and `releases` handle the messages and connections of each side, `discovery` the event bus, `leases`,
//! `link_liveness` and `incarnations` the failure detection, `shutdown` the end of the process; timers are handled here.
//! State is kept in `crate::state`.

mod callers;
mod discovery;
mod exchanges;
mod incarnations;
mod leases;
mod link_liveness;
mod releases;
mod set_ups;
mod shutdown;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::{CallId, Cause, ExchangeId};
use mintstall_settings::Settings;

use self::shutdown::Shutdown;
use crate::bus_connector::{self, BusConnector};
use crate::event_bus::EventDecoder;
use crate::reasons::{CallerClose, LinkLoss};
use crate::state::{AnswerState, Caller, CallerEvidence, EventContext, LinkState, PlatformState, Timer};
use crate::{Config, Transport};

/// Interval at which connections and leases are checked for time-outs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// A caller's connection is closed when no message has arrived on it, or a message has been incomplete, for this long.
const CALLER_PARTIAL_TIMEOUT: Duration = Duration::from_millis(2200);
/// The same for a connection that has had a standing call: such a caller completes its messages, however slowly.
const PROVEN_CALLER_PARTIAL_TIMEOUT: Duration = Duration::from_secs(6);
/// A link is closed when a message on it has been incomplete for this long.
const LINK_PARTIAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Open set-ups on one connection; more are refused, so that a flood from one caller leaves room for others.
const MAX_OPEN_SET_UPS: usize = 256;
/// Octets of descriptions and headers in all open calls, so that a flood of long ones does not fill the memory.
const MAX_HELD_OCTETS: usize = 4 << 20;

/// How a link was lost, or an attempt to connect it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// Nothing listens at the address.
    Refused,
    Lost,
}

pub struct Core {
    controller: Controller,
    state: PlatformState,
    settings: Settings,
    bus_decoder: EventDecoder,
    bus_address: SocketAddr,
    bus: BusConnector,
    /// Ids of the exchanges by their uid on the bus. Exchanges that are gone are removed.
    uids: BTreeMap<Box<str>, ExchangeId>,
    last_exchange: u32,
    shutdown: Shutdown,
    /// What is received may have waited unread since this time.
    earliest_arrival: Duration,
}

impl Core {
    /// Connects to the bus and to every exchange. `now` is the time since the Unix epoch.
    pub fn new(config: &Config, now: Duration, transport: &mut dyn Transport) -> Self {
        let settings = config.settings.clone();
        let link_connect_timeout = if settings.connect_timeout.is_zero() {
            bus_connector::CONNECT_TIMEOUT
        } else {
            settings.connect_timeout
        };
        let mut core = Self {
            controller: Controller::new(&settings.controller, config.seed),
            state: PlatformState::new(
                now,
                config.seed,
                config.sockets / 4,
                link_connect_timeout,
                settings.controller.release_wait,
            ),
            settings,
            bus_decoder: EventDecoder::new(config.last_offset),
            bus_address: config.bus,
            bus: BusConnector::default(),
            uids: BTreeMap::new(),
            last_exchange: 0,
            shutdown: Shutdown::NotRequested,
            earliest_arrival: Duration::MAX,
        };
        for event in &config.initial_events {
            core.apply_event(transport, event);
        }
        core.connect_to_bus(transport);
        core.state.set_timer(SWEEP_INTERVAL, Timer::Sweep);
        core.report_ended_seizures(transport);
        core
    }

    /// Calls a method of the controller, whose actions take effect at once.
    fn with_controller(
        &mut self,
        transport: &mut dyn Transport,
        call: impl FnOnce(&mut Controller, Duration, &mut EventContext),
    ) {
        let now = self.state.now;
        call(&mut self.controller, now, &mut EventContext { state: &mut self.state, transport });
    }

    /// Tells the controller of the seizures that have ended since the last call.
    fn report_ended_seizures(&mut self, transport: &mut dyn Transport) {
        while let Some(end) = self.state.ended_seizures.pop_front() {
            transport.log_debug(format_args!(
                "call {}: attempt {} at exchange {} ended after {:?}: {:?}",
                end.call.0, end.seizure.0, end.exchange.0, end.elapsed, end.cause
            ));
            self.with_controller(transport, |controller, now, context| {
                controller.on_seizure_ended(now, context, &end)
            });
        }
    }

    /// What is passed to the core from now on may have arrived as early as at this time.
    pub fn set_earliest_arrival(&mut self, at: Duration) {
        self.earliest_arrival = at;
    }

    /// When [`Core::on_timer`] has to be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.state.timers.next_expiry()
    }

    /// Handles all timers that have expired.
    pub fn on_timer(&mut self, now: Duration, transport: &mut dyn Transport) {
        self.state.now = now;
        while let Some(timer) = self.state.timers.pop_due(now) {
            self.handle_timer(transport, timer);
            self.report_ended_seizures(transport);
        }
    }

    fn handle_timer(&mut self, transport: &mut dyn Transport, timer: Timer) {
        match timer {
            Timer::Controller(timer) => self.with_controller(transport, |controller, now, context| {
                controller.on_timer(now, context, timer)
            }),
            Timer::SeizureTimeout(call, number) => self.state.on_seizure_timeout(transport, call, number),
            Timer::GuardTime(call) => self.fail_unanswered_call(transport, call, 408),
            Timer::ConnectTimeout(link) => {
                if self.state.links.get(&link).is_some_and(|link| link.state == LinkState::Connecting) {
                    self.remove_link(transport, link, LinkLoss::ConnectTimeout);
                }
            }
            Timer::ConnectForReleases(exchange) => self.state.connect_for_releases(transport, exchange),
            Timer::MaintainPool(exchange) => self.state.maintain_pool(transport, exchange),
            Timer::ReconnectBus => self.connect_to_bus(transport),
            Timer::Sweep => self.sweep(transport),
            Timer::ShutdownDeadline => {
                let unanswered: Vec<_> = self.state.unanswered.values().copied().collect();
                unanswered.into_iter().for_each(|call| self.fail_unanswered_call(transport, call, 500));
            }
            Timer::DrainCallers => self.drain_callers(transport),
        }
    }

    /// Answers a call with this status if it has no final answer. At the guard time it normally has one, since the
    /// controller answers earlier.
    fn fail_unanswered_call(&mut self, transport: &mut dyn Transport, id: CallId, status: u16) {
        if self.state.calls.get(&id).is_some_and(|call| call.answer_state == AnswerState::Pending) {
            self.state.answer(transport, id, status, &[], b"");
            self.report_caller_gone(transport, id);
        }
    }

    /// Tells the controller that a call needs no answer any more. Its set-up is not sent if that can be helped, whether or
    /// not the controller may cancel.
    fn report_caller_gone(&mut self, transport: &mut dyn Transport, id: CallId) {
        if self.state.revoke_set_up(transport, id) {
            self.state.end_seizure(id, Cause::Revoked);
        }
        self.with_controller(transport, |controller, now, context| {
            controller.on_caller_gone(now, context, id)
        });
    }

    /// Restarts the time of each incomplete message whose rest may have arrived, but is left unread here.
    fn restart_partial_times(&mut self, transport: &dyn Transport) {
        let now = self.state.now;
        for (id, caller) in &mut self.state.callers {
            if caller.partial_since.is_some() && transport.is_caller_read_paused(*id) {
                caller.partial_since = Some(now);
            }
        }
        for (id, link) in &mut self.state.links {
            if link.partial_since.is_some() && transport.is_link_read_paused(*id) {
                link.partial_since = Some(now);
            }
        }
    }

    /// Looks for incomplete messages, callers that send nothing, drained links, quiet exchanges and a silent bus.
    fn sweep(&mut self, transport: &mut dyn Transport) {
        let now = self.state.now;
        self.state.set_timer(SWEEP_INTERVAL, Timer::Sweep);
        self.restart_partial_times(transport);
        let late = |since: Option<Duration>, span| since.is_some_and(|since| since + span < now);
        let stuck = |caller: &Caller| {
            let timeout = if caller.evidence == CallerEvidence::KnownCall {
                PROVEN_CALLER_PARTIAL_TIMEOUT
            } else {
                CALLER_PARTIAL_TIMEOUT
            };
            // Its open calls get their answers first.
            late(caller.partial_since, timeout) && caller.open_calls.is_empty()
        };
        let callers = self.state.callers.iter().filter(|(_, caller)| stuck(caller));
        for id in callers.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.close_caller(transport, id, CallerClose::IncompleteMessage);
        }
        let links =
            self.state.links.iter().filter(|(_, link)| late(link.partial_since, LINK_PARTIAL_TIMEOUT));
        for id in links.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.remove_link(transport, id, LinkLoss::IncompleteMessage);
        }
        for id in self.state.expire_links(transport) {
            self.remove_link(transport, id, LinkLoss::DrainExpired);
        }
        for id in self.state.drained_links() {
            self.remove_link(transport, id, LinkLoss::Drained);
        }
        for exchange in self.state.exchanges_with_calls() {
            self.check_incarnation(transport, exchange);
            self.check_links(transport, exchange);
            self.check_lease(transport, exchange);
        }
        self.check_bus(transport);
    }
}

/// Since when the message at the end of what was received has been incomplete. `has_completed`: another message was
/// completed by the octets received at `now`.
fn partial_since(
    before: Option<Duration>,
    now: Duration,
    has_completed: bool,
    has_partial: bool,
) -> Option<Duration> {
    let since = before.filter(|_| !has_completed).unwrap_or(now);
    has_partial.then_some(since)
}
