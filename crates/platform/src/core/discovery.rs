//! The client of the event bus: keeps its connection, and applies changes of the list of exchanges.

use std::time::Duration;

use mintstall::interface::{ExchangeEntry, ExchangeId, ExchangeNumber, ExchangeStatus, Zone};
use mintstall::liveness::Lease;

use super::{BUS_AGAIN, BUS_AGAIN_LONGEST, BusState, Core};
use crate::event_bus::{self, Event, Topology};
use crate::reasons::{CallEnd, LinkLoss};
use crate::state::{RemoteExchange, Timer, exponential_backoff};
use crate::{Config, Transport};

impl Core {
    pub(super) fn dial_bus(&mut self, transport: &mut dyn Transport) {
        (self.bus_state, self.bus_since) = (BusState::Connecting, self.state.now);
        transport.connect_bus(self.bus_at);
    }

    pub fn bus_connected(&mut self, now: Duration, transport: &mut dyn Transport) {
        self.state.now = now;
        (self.bus_state, self.bus_since) = (BusState::Up, now);
        transport.send_to_bus(&self.bus.resume_request());
    }

    pub fn bus_disconnected(&mut self, now: Duration, transport: &mut dyn Transport) {
        self.state.now = now;
        self.drop_bus(transport, "connection lost or refused");
    }

    pub(super) fn drop_bus(&mut self, transport: &mut dyn Transport, reason: &str) {
        let after = self.state.now.saturating_sub(self.bus_since);
        transport.log_debug(format_args!(
            "event bus dropped: {reason}, {after:?} after it was last heard or dialled"
        ));
        metrics::counter!("bus_dropped").increment(1);
        transport.close_bus();
        (self.bus_state, self.bus_since) = (BusState::Down, self.state.now);
        let pause = self.state.jittered(exponential_backoff(BUS_AGAIN, self.bus_failures, BUS_AGAIN_LONGEST));
        self.bus_failures = self.bus_failures.saturating_add(1);
        self.state.set(pause, Timer::ReconnectBus);
    }

    pub fn bus_data(&mut self, now: Duration, transport: &mut dyn Transport, octets: &[u8]) {
        self.state.now = now;
        (self.bus_since, self.bus_failures) = (now, 0);
        let mut events = Vec::new();
        let taken = self.bus.decode(octets, |event| events.push(event));
        events.iter().for_each(|event| self.apply(transport, event));
        if let Err(spoilt) = taken {
            transport.log_info(&format!("event bus: {spoilt}; asked again from {}", self.bus.last()));
            self.drop_bus(transport, "unreadable line or gap");
        }
        self.report_ended_seizures(transport);
    }

    /// A new configuration: only where the bus is may change while calls are in hand.
    pub fn configured(&mut self, now: Duration, transport: &mut dyn Transport, config: &Config) {
        self.state.now = now;
        if config.bus != self.bus_at {
            transport.log_info(&format!("event bus: now at {}, was at {}", config.bus, self.bus_at));
            (self.bus_at, self.bus_failures) = (config.bus, 0);
            self.dial_bus(transport);
        }
    }

    pub(super) fn apply(&mut self, transport: &mut dyn Transport, event: &Event) {
        let Some(topology) = &event.topology else { return };
        let lines = self.lines(topology);
        let gone: Vec<_> = self.changes(transport, topology, &lines);
        match topology.is_full {
            true => self.with_controller(transport, |controller, now, context| {
                controller.on_membership(now, context, &lines)
            }),
            false => self.with_controller(transport, |controller, now, context| {
                controller.on_membership_changes(now, context, &lines)
            }),
        }
        for (exchange, before, reason) in gone {
            self.cut_calls(transport, exchange, before, reason);
        }
        self.state.share_links();
        let all: Vec<_> = self.state.exchanges.keys().copied().collect();
        all.into_iter().for_each(|exchange| self.state.maintain_pool(transport, exchange));
    }

    /// A topology as the decisions read it; exchanges that are new get their number.
    pub(super) fn lines(&mut self, topology: &Topology) -> Vec<ExchangeEntry> {
        let zones = &self.settings.zones;
        let mut lines = Vec::new();
        for target in &topology.targets {
            let zone = zones.iter().position(|zone| **zone == *target.az);
            let exchange = *self.uids.entry(target.uid.clone()).or_insert_with(|| {
                self.next_exchange += 1;
                ExchangeId(self.next_exchange)
            });
            lines.push(ExchangeEntry {
                id: exchange,
                number: ExchangeNumber(target.pod_group),
                zone: Zone(zone.map_or(u8::MAX, |at| at as u8)),
                status: match target.state {
                    event_bus::TargetState::InService => ExchangeStatus::Ready,
                    event_bus::TargetState::Terminating => ExchangeStatus::Draining,
                    event_bus::TargetState::Terminated => ExchangeStatus::Gone,
                },
                started: Duration::from_millis(target.boot_ms),
            });
        }
        lines
    }

    /// Takes changes into the books; gives the exchanges whose calls, from before some time, ended through them.
    pub(super) fn changes(
        &mut self,
        transport: &mut dyn Transport,
        topology: &Topology,
        lines: &[ExchangeEntry],
    ) -> Vec<(ExchangeId, Duration, CallEnd)> {
        let mut ended = Vec::new();
        for (line, target) in lines.iter().zip(&topology.targets) {
            // Calls to the own exchange are not set up over the platform.
            if Some(line.number) == self.settings.controller.own {
                continue;
            }
            let fresh = RemoteExchange {
                uid: target.uid.clone(),
                at: target.endpoint,
                service: line.status,
                started: line.started,
                links: Vec::new(),
                draining: Default::default(),
                failures: 0,
                next_dial: Duration::ZERO,
                queued_set_ups: Default::default(),
                releases: Default::default(),
                lease: Lease::new(self.state.now),
                all_links_lost: None,
                dials_for_releases: false,
            };
            let far = self.state.exchanges.entry(line.id).or_insert(fresh);
            far.service = line.status;
            if std::mem::replace(&mut far.started, line.started) != line.started {
                ended.push((line.id, line.started, CallEnd::ExchangeRestarted));
            }
            if std::mem::replace(&mut far.at, target.endpoint) != target.endpoint {
                let links = far.links.clone();
                for link in links {
                    self.state.remove_link(transport, link, LinkLoss::AddressChanged);
                }
            }
        }
        let missing = |id: &ExchangeId| topology.is_full && lines.iter().all(|line| line.id != *id);
        for (id, far) in &mut self.state.exchanges {
            if missing(id) {
                far.service = ExchangeStatus::Gone;
            }
        }
        let gone = |far: &RemoteExchange| far.service == ExchangeStatus::Gone;
        let all: Vec<_> =
            self.state.exchanges.iter().filter(|(_, far)| gone(far)).map(|(id, _)| *id).collect();
        for id in all {
            let far = self.state.exchanges.get(&id);
            let links = far.map(|far| far.links.iter().chain(&far.draining).copied().collect::<Vec<_>>());
            for link in links.unwrap_or_default() {
                self.state.remove_link(transport, link, LinkLoss::ExchangeGone);
            }
            if let Some(far) = self.state.exchanges.remove(&id) {
                self.uids.remove(&far.uid);
            }
            ended.push((id, Duration::MAX, CallEnd::ExchangeGone));
        }
        ended
    }
}
