//! The client of the event bus: keeps the connection open, and applies changes of the list of exchanges.

use std::time::Duration;

use mintstall::interface::{ExchangeEntry, ExchangeId, ExchangeNumber, ExchangeStatus, Zone};
use mintstall::liveness::Lease;

use super::Core;
use crate::event_bus::{self, Event, Topology};
use crate::reasons::{BusLoss, CallEnd, LinkLoss};
use crate::state::{RemoteExchange, Timer};
use crate::{BusConnectionId, Config, Transport};

impl Core {
    /// Opens a connection to the event bus if one is needed.
    pub(super) fn connect_to_bus(&mut self, transport: &mut dyn Transport) {
        if let Some(connection) = self.bus.next_connection(self.state.now) {
            transport.connect_bus(connection, self.bus_address);
        }
    }

    pub fn bus_connected(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        connection: BusConnectionId,
    ) {
        self.state.now = now;
        if self.bus.connected(now, connection) {
            transport.send_to_bus(connection, &self.bus_decoder.resume_request());
        }
    }

    pub fn bus_disconnected(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        connection: BusConnectionId,
    ) {
        self.state.now = now;
        self.drop_bus(transport, connection, BusLoss::Disconnected);
    }

    /// Gives up overdue connections, and opens one beside a connection that is not served.
    pub(super) fn check_bus(&mut self, transport: &mut dyn Transport) {
        for (connection, reason) in self.bus.overdue(self.state.now) {
            self.drop_bus(transport, connection, reason);
        }
        self.connect_to_bus(transport);
    }

    fn drop_bus(&mut self, transport: &mut dyn Transport, connection: BusConnectionId, reason: BusLoss) {
        let jitter = self.state.jitter();
        let Some((waited, delay)) = self.bus.lost(self.state.now, connection, jitter) else { return };
        transport.log_debug(format_args!(
            "event bus connection {} closed: {reason}, {waited:?} after the last data or since it came up",
            connection.0
        ));
        metrics::counter!("bus_dropped", "reason" => reason.label()).increment(1);
        transport.close_bus(connection);
        self.state.set_timer(delay, Timer::ReconnectBus);
    }

    pub fn bus_data(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        connection: BusConnectionId,
        octets: &[u8],
    ) {
        self.state.now = now;
        let Some(others) = self.bus.received(now, connection) else { return };
        others.into_iter().for_each(|other| transport.close_bus(other));
        let mut events = Vec::new();
        let result = self.bus_decoder.decode(octets, |event| events.push(event));
        events.iter().for_each(|event| self.apply_event(transport, event));
        if let Err(error) = result {
            transport.log_info(&format!(
                "event bus: {error}; will resume from event {}",
                self.bus_decoder.last_offset()
            ));
            self.drop_bus(transport, connection, BusLoss::Malformed);
        }
        self.report_ended_seizures(transport);
    }

    /// Applies a new configuration. Only the address of the event bus can change while the process runs.
    pub fn reconfigure(&mut self, now: Duration, transport: &mut dyn Transport, config: &Config) {
        self.state.now = now;
        if config.bus != self.bus_address {
            transport.log_info(&format!("event bus moved to {} from {}", config.bus, self.bus_address));
            self.bus_address = config.bus;
            self.bus.reset().into_iter().for_each(|former| transport.close_bus(former));
            self.connect_to_bus(transport);
        }
    }

    pub(super) fn apply_event(&mut self, transport: &mut dyn Transport, event: &Event) {
        let Some(topology) = &event.topology else { return };
        let entries = self.exchange_entries(topology);
        let ended = self.apply_changes(transport, topology, &entries);
        match topology.is_full {
            true => self.with_controller(transport, |controller, now, context| {
                controller.on_membership(now, context, &entries)
            }),
            false => self.with_controller(transport, |controller, now, context| {
                controller.on_membership_changes(now, context, &entries)
            }),
        }
        for (exchange, answered_before, reason) in ended {
            self.cut_calls(transport, exchange, answered_before, reason);
        }
        self.state.share_links();
        let all: Vec<_> = self.state.exchanges.keys().copied().collect();
        all.into_iter().for_each(|exchange| self.state.maintain_pool(transport, exchange));
    }

    /// Converts a topology to the controller's form. New exchanges get an id.
    pub(super) fn exchange_entries(&mut self, topology: &Topology) -> Vec<ExchangeEntry> {
        let zones = &self.settings.zones;
        let mut entries = Vec::new();
        for target in &topology.targets {
            let zone = zones.iter().position(|zone| **zone == *target.az);
            let exchange = *self.uids.entry(target.uid.clone()).or_insert_with(|| {
                self.last_exchange += 1;
                ExchangeId(self.last_exchange)
            });
            entries.push(ExchangeEntry {
                id: exchange,
                number: ExchangeNumber(target.pod_group),
                zone: Zone(zone.map_or(u8::MAX, |index| index as u8)),
                status: match target.state {
                    event_bus::TargetState::InService => ExchangeStatus::Ready,
                    event_bus::TargetState::Terminating => ExchangeStatus::Draining,
                    event_bus::TargetState::Terminated => ExchangeStatus::Gone,
                },
                started: Duration::from_millis(target.boot_ms),
            });
        }
        entries
    }

    /// An exchange is reported with an address. If others are listed there, the one that started last has it, of those that
    /// tell no start the one that was reported last. Connections to the address lead to that one, so the others get no more
    /// links, and their calls have ended. Returns these.
    fn settle_address(
        &mut self,
        transport: &mut dyn Transport,
        reported: ExchangeId,
    ) -> Vec<(ExchangeId, Duration, CallEnd)> {
        let Some(remote) = self.state.exchanges.get_mut(&reported) else { return Vec::new() };
        remote.address_taken = false;
        let (address, started, status) = (remote.address, remote.started, remote.status);
        if status == ExchangeStatus::Gone {
            return Vec::new();
        }
        let at_address = self.state.exchanges.iter().filter(|(_, other)| other.address == address);
        let listed = at_address.filter(|(id, other)| **id != reported && other.is_reachable());
        let others: Vec<_> = listed.map(|(id, other)| (*id, other.started)).collect();
        let (earlier, later): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|(_, other_started)| *other_started <= started);
        let losers =
            if later.is_empty() { earlier.into_iter().map(|(id, _)| id).collect() } else { vec![reported] };
        for id in &losers {
            self.close_links_of_taken_address(transport, *id);
        }
        losers.into_iter().map(|id| (id, Duration::MAX, CallEnd::AddressTaken)).collect()
    }

    fn close_links_of_taken_address(&mut self, transport: &mut dyn Transport, exchange: ExchangeId) {
        let Some(remote) = self.state.exchanges.get_mut(&exchange) else { return };
        remote.address_taken = true;
        transport.log_info(&format!(
            "exchange {}: another exchange has its address {}",
            exchange.0, remote.address
        ));
        let links: Vec<_> = remote.links.iter().chain(&remote.draining).copied().collect();
        for link in links {
            self.state.remove_link(transport, link, LinkLoss::AddressTaken);
        }
    }

    /// Updates, adds and removes exchanges. Returns those whose calls have ended by it, if answered before the given
    /// time, and why.
    pub(super) fn apply_changes(
        &mut self,
        transport: &mut dyn Transport,
        topology: &Topology,
        entries: &[ExchangeEntry],
    ) -> Vec<(ExchangeId, Duration, CallEnd)> {
        let mut ended = Vec::new();
        for (entry, target) in entries.iter().zip(&topology.targets) {
            // Calls to the own exchange are not set up over links.
            if Some(entry.number) == self.settings.controller.own {
                continue;
            }
            let new_remote = RemoteExchange {
                uid: target.uid.clone(),
                address: target.endpoint,
                address_taken: false,
                status: entry.status,
                started: entry.started,
                links: Vec::new(),
                draining: Default::default(),
                connect_failures: 0,
                next_connect: Duration::ZERO,
                pool_timer: None,
                queued_set_ups: Default::default(),
                unconfirmed_releases: Default::default(),
                lease: Lease::new(self.state.now),
                first_report: None,
                release_connection_planned: false,
                last_connect: Duration::ZERO,
                unconfirmed_closes: Default::default(),
                drained_since: None,
            };
            let is_new = !self.state.exchanges.contains_key(&entry.id);
            let remote = self.state.exchanges.entry(entry.id).or_insert(new_remote);
            remote.status = entry.status;
            if entry.status != ExchangeStatus::Ready {
                self.state.revoke_set_ups_to(transport, entry.id);
            }
            let Some(remote) = self.state.exchanges.get_mut(&entry.id) else { continue };
            let is_restarted = std::mem::replace(&mut remote.started, entry.started) != entry.started;
            if is_restarted {
                ended.push((entry.id, entry.started, CallEnd::ExchangeRestarted));
            }
            let is_moved = std::mem::replace(&mut remote.address, target.endpoint) != target.endpoint;
            if is_moved {
                let links = remote.links.clone();
                for link in links {
                    self.state.remove_link(transport, link, LinkLoss::AddressChanged);
                }
            }
            if is_new || is_restarted || is_moved {
                ended.extend(self.settle_address(transport, entry.id));
            }
        }
        let missing = |id: &ExchangeId| topology.is_full && entries.iter().all(|entry| entry.id != *id);
        for (id, remote) in &mut self.state.exchanges {
            if missing(id) {
                remote.status = ExchangeStatus::Gone;
            }
        }
        let gone = |remote: &RemoteExchange| remote.status == ExchangeStatus::Gone;
        let all: Vec<_> =
            self.state.exchanges.iter().filter(|(_, remote)| gone(remote)).map(|(id, _)| *id).collect();
        for id in all {
            let remote = self.state.exchanges.get(&id);
            let links =
                remote.map(|remote| remote.links.iter().chain(&remote.draining).copied().collect::<Vec<_>>());
            for link in links.unwrap_or_default() {
                self.state.remove_link(transport, link, LinkLoss::ExchangeGone);
            }
            if let Some(remote) = self.state.exchanges.remove(&id) {
                self.uids.remove(&remote.uid);
            }
            ended.push((id, Duration::MAX, CallEnd::ExchangeGone));
        }
        ended
    }
}
