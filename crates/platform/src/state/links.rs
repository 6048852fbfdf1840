//! The pool of connections to each exchange.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mintstall::interface::{Cause, ExchangeId, ExchangeStatus};
use mintstall::liveness::ConnectionLiveness;

use super::{
    DRAIN_PERIOD, HALF_CLOSE_TIMEOUT, LINK_RECONNECT_DELAY, Link, LinkState, MAX_LINK_RECONNECT_DELAY,
    MAX_LINKS, PlatformState, RemoteExchange, Timer,
};
use crate::bus_connector::exponential_backoff;
use crate::exchange_protocol::{self, MessageType, WireCallId, parameter};
use crate::reasons::LinkLoss;
use crate::{LinkId, Transport};

/// Delay before a connection is opened for releases that may have been lost. By then the other side has noticed the
/// loss, and a process that had hung has worked off its backlog.
const RELEASE_CONNECTION_DELAY: Duration = Duration::from_millis(250);
/// Cause parameter of the test message that serves as heartbeat.
const HEARTBEAT_CAUSE: u8 = 0;
/// Upper limit of the reconnect delay for an exchange that is suspected to have failed: it has to be reached, or given
/// up, before its lease expires.
const MAX_SUSPECTED_RECONNECT_DELAY: Duration = Duration::from_millis(250);

impl PlatformState {
    /// Half-closes links whose drain period is over. Returns the half-closed links that the other side has not closed
    /// in time.
    pub fn expire_links(&mut self, transport: &mut dyn Transport) -> Vec<LinkId> {
        let now = self.now;
        let (mut drained, mut expired) = (Vec::new(), Vec::new());
        for (link_id, link) in &self.links {
            match link.state {
                LinkState::Draining { at } if at + DRAIN_PERIOD < now => drained.push(*link_id),
                LinkState::HalfClosed { at } if at + HALF_CLOSE_TIMEOUT < now => expired.push(*link_id),
                _ => {}
            }
        }
        drained.into_iter().for_each(|link_id| self.half_close_link(transport, link_id));
        expired
    }

    /// Notes which draining exchanges have no call left. Returns the links to those that have had none for a while.
    pub fn drained_links(&mut self) -> Vec<LinkId> {
        let now = self.now;
        let mut in_use = self.exchanges_with_calls();
        let with_set_ups = self.links.values().filter(|link| !link.open_set_ups.is_empty());
        in_use.extend(with_set_ups.map(|link| link.exchange));
        for (id, remote) in &mut self.exchanges {
            let has_calls = in_use.contains(id) || !remote.queued_set_ups.is_empty();
            let drained = remote.status == ExchangeStatus::Draining && !has_calls;
            remote.drained_since = drained.then(|| remote.drained_since.unwrap_or(now));
        }
        let drained = self.exchanges.values().filter(|remote| remote.is_drained(now));
        drained.flat_map(|remote| remote.links.iter().chain(&remote.draining)).copied().collect()
    }

    /// Sends no more set-ups on a link, keeps reading it for a while, and opens another in its place.
    pub fn drain_link(&mut self, transport: &mut dyn Transport, link_id: LinkId) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        let to = link.exchange;
        link.state = LinkState::Draining { at: self.now };
        transport.log_debug(format_args!("link {} to exchange {} draining", link_id.0, to.0));
        if let Some(remote) = self.exchanges.get_mut(&to) {
            remote.links.retain(|known| *known != link_id);
            remote.draining.push_back(link_id);
        }
        self.limit_draining_links(transport, to);
        self.maintain_pool(transport, to);
    }

    /// Limits the number of an exchange's links that are only read, by closing the oldest.
    fn limit_draining_links(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        let draining = |link_id: &&LinkId| {
            self.links.get(link_id).is_some_and(|link| matches!(link.state, LinkState::Draining { .. }))
        };
        let Some(remote) = self.exchanges.get(&to) else { return };
        let not_half_closed: Vec<_> = remote.draining.iter().filter(draining).copied().collect();
        let oldest = remote.draining.front().copied();
        if remote.draining.len() > 2 * MAX_LINKS
            && let Some(oldest) = oldest
        {
            self.remove_link(transport, oldest, LinkLoss::DrainExpired);
        } else if not_half_closed.len() > MAX_LINKS {
            self.half_close_link(transport, not_half_closed[0]);
        }
    }

    /// Closes a link in the direction to the exchange. It is read until the other side closes it.
    fn half_close_link(&mut self, transport: &mut dyn Transport, link_id: LinkId) {
        if let Some(link) = self.links.get_mut(&link_id) {
            link.state = LinkState::HalfClosed { at: self.now };
            transport.shutdown_link_write(link_id);
        }
    }

    /// Closes all links for good. Exchanges repeat unconfirmed releases on the next connection, which is the
    /// successor's.
    pub fn close_links(&mut self, transport: &mut dyn Transport) {
        self.links_closed = true;
        let all: Vec<_> = self.links.keys().copied().collect();
        for link_id in all {
            self.remove_link(transport, link_id, LinkLoss::Shutdown);
        }
    }

    /// Drains the oldest link if an additional one, opened for releases that may have been lost, has come up.
    fn drain_surplus(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        let Some(remote) = self.exchanges.get(&to) else { return };
        if self.up_links(remote).count() > self.links_per_exchange
            && let Some(oldest) = self.oldest_open_link(to)
        {
            self.drain_link(transport, oldest);
        }
    }

    /// Plans a connection to an exchange whose releases may have been lost with a link, or written to a link of a
    /// former process. Exchanges repeat releases on the next connection that is opened, so one is opened soon even if
    /// the pool is full.
    pub fn plan_release_connection(&mut self, to: ExchangeId) {
        let Some(remote) = self.exchanges.get_mut(&to) else { return };
        if !std::mem::replace(&mut remote.release_connection_planned, true) {
            self.set_timer(RELEASE_CONNECTION_DELAY, Timer::ConnectForReleases(to));
        }
    }

    pub fn connect_for_releases(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        let Some(remote) = self.exchanges.get_mut(&to) else { return };
        remote.release_connection_planned = false;
        let (is_reachable, address) = (remote.is_reachable(), remote.address);
        if is_reachable && self.standing.values().any(|call| call.exchange == to) {
            self.connect(transport, to, address);
        }
    }

    /// Sends a heartbeat if a link is up. Without one there is no need: an exchange sends a message on each new link.
    pub fn send_heartbeat(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        if let Some(link) = self.oldest_open_link(to) {
            self.send_heartbeat_on(transport, link);
        }
    }

    pub fn send_heartbeat_on(&mut self, transport: &mut dyn Transport, link_id: LinkId) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        link.liveness.await_message(self.now);
        let mut octets = Vec::new();
        exchange_protocol::encode(
            &mut octets,
            MessageType::Test,
            WireCallId(self.next_number()),
            &[(parameter::CAUSE, &[HEARTBEAT_CAUSE])],
        );
        transport.send_to_link(link_id, &octets);
        metrics::counter!("heartbeats_sent").increment(1);
    }

    /// Divides `max_links`, a share of the process's descriptors, among the exchanges.
    pub fn share_links(&mut self) {
        let ready = self.exchanges.values().filter(|remote| remote.status == ExchangeStatus::Ready).count();
        self.links_per_exchange = (self.max_links / ready.max(1)).clamp(1, MAX_LINKS);
    }

    /// Opens the links that an exchange lacks: all at once, or one at a time after a failure.
    pub fn maintain_pool(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        let Some(remote) = self.exchanges.get(&to) else { return };
        let wanted = match remote.status {
            _ if !remote.is_reachable() => 0,
            ExchangeStatus::Ready => self.links_per_exchange,
            ExchangeStatus::Draining if remote.is_drained(self.now) => 0,
            ExchangeStatus::Draining => 1,
            ExchangeStatus::Gone => 0,
        };
        let missing = wanted.saturating_sub(remote.links.len());
        let (no_failures, next_connect, address) =
            (remote.connect_failures == 0, remote.next_connect, remote.address);
        if missing == 0 || !no_failures && self.is_connecting(remote) {
            return;
        }
        if self.now < next_connect {
            let timer = self.set_timer(next_connect - self.now, Timer::MaintainPool(to));
            let previous = self.exchanges.get_mut(&to).and_then(|remote| remote.pool_timer.replace(timer));
            return previous.into_iter().for_each(|previous| self.timers.cancel(previous));
        }
        (0..if no_failures { missing } else { 1 }).for_each(|_| self.connect(transport, to, address));
    }

    pub fn connect(&mut self, transport: &mut dyn Transport, to: ExchangeId, address: SocketAddr) {
        if self.links_closed {
            return;
        }
        let link_id = LinkId(self.next_number());
        let (state, decoder) = (LinkState::Connecting, exchange_protocol::Decoder::default());
        let link = Link {
            exchange: to,
            state,
            decoder,
            opened_at: self.now,
            first_received: None,
            has_reported: false,
            liveness: ConnectionLiveness::new(self.now),
            partial_since: None,
            open_set_ups: BTreeMap::new(),
            abandoned_set_ups: Default::default(),
            last_report: None,
        };
        self.links.insert(link_id, link);
        if let Some(remote) = self.exchanges.get_mut(&to) {
            remote.links.push(link_id);
            remote.last_connect = self.now;
        }
        self.set_timer(self.connect_timeout, Timer::ConnectTimeout(link_id));
        metrics::counter!("links_dialled").increment(1);
        transport.log_debug(format_args!("link {} to exchange {} connecting to {address}", link_id.0, to.0));
        transport.connect_link(link_id, address);
    }

    /// Whether a link to an exchange is connecting.
    pub(super) fn is_connecting(&self, remote: &RemoteExchange) -> bool {
        remote
            .links
            .iter()
            .any(|link_id| self.links.get(link_id).is_some_and(|link| link.state == LinkState::Connecting))
    }

    pub fn link_connected(&mut self, transport: &mut dyn Transport, link_id: LinkId) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        link.state = LinkState::Up;
        link.liveness.renew(self.now);
        let to = link.exchange;
        transport.log_debug(format_args!("link {} to exchange {} up", link_id.0, to.0));
        let Some(remote) = self.exchanges.get_mut(&to) else { return };
        remote.connect_failures = 0;
        let queued = std::mem::take(&mut remote.queued_set_ups);
        let ready = remote.status == ExchangeStatus::Ready;
        self.repeat_releases(transport, to, link_id);
        self.drain_surplus(transport, to);
        for id in queued {
            // An exchange that has begun to drain since gets no more set-ups.
            if !ready {
                self.end_seizure(id, Cause::Unreachable);
            } else if !self.send_set_up(transport, id) {
                self.exchanges.entry(to).and_modify(|remote| remote.queued_set_ups.push_back(id));
            }
        }
        self.maintain_pool(transport, to);
    }

    /// Removes a link that was lost, or closes it, and ends the seizures on it as cut. Returns its exchange and the
    /// state that it was in.
    pub fn remove_link(
        &mut self,
        transport: &mut dyn Transport,
        link_id: LinkId,
        reason: LinkLoss,
    ) -> Option<(ExchangeId, LinkState)> {
        let link = self.links.remove(&link_id)?;
        transport.close_link(link_id);
        let (to, silent) = (link.exchange, self.now.saturating_sub(link.liveness.last_heard()));
        let was_open = link.state != LinkState::Connecting;
        metrics::counter!("links_lost", "reason" => reason.label()).increment(1);
        transport.log_debug(format_args!(
            "link {} to exchange {} lost: {reason}, was {:?}, {} open set-ups, silent for {silent:?}",
            link_id.0,
            to.0,
            link.state,
            link.open_set_ups.len(),
        ));
        for id in link.open_set_ups.into_values() {
            self.end_seizure(id, Cause::Cut);
        }
        if let Some(remote) = self.exchanges.get_mut(&to) {
            remote.links.retain(|known| *known != link_id);
            remote.draining.retain(|known| *known != link_id);
            if reason == LinkLoss::DrainExpired {
                remote.unconfirmed_closes.insert(link_id);
            }
        }
        if !was_open {
            self.schedule_reconnect(to);
        }
        self.maintain_pool(transport, to);
        let read_to_end =
            matches!((&link.state, reason), (LinkState::HalfClosed { .. }, LinkLoss::Disconnected))
                && !link.liveness.is_suspected();
        let is_connecting = self.exchanges.get(&to).is_some_and(|remote| self.is_connecting(remote));
        if was_open && !read_to_end && !is_connecting {
            self.plan_release_connection(to);
        }
        self.fail_unreachable_set_ups(to);
        Some((to, link.state))
    }

    /// Sets the time of the next attempt after a link could not be connected.
    fn schedule_reconnect(&mut self, to: ExchangeId) {
        let Some(remote) = self.exchanges.get_mut(&to) else { return };
        remote.connect_failures = remote.connect_failures.saturating_add(1);
        let max_delay = if remote.lease.is_suspected() {
            MAX_SUSPECTED_RECONNECT_DELAY
        } else {
            MAX_LINK_RECONNECT_DELAY
        };
        let delay = exponential_backoff(LINK_RECONNECT_DELAY, remote.connect_failures, max_delay);
        let next_connect = self.now + self.jittered(delay);
        self.exchanges.entry(to).and_modify(|remote| remote.next_connect = next_connect);
    }

    /// Ends seizures that wait for a link to an exchange as unreachable, unless a link is connecting.
    pub(super) fn fail_unreachable_set_ups(&mut self, to: ExchangeId) {
        if self.exchanges.get(&to).is_some_and(|remote| !self.is_connecting(remote))
            && let Some(remote) = self.exchanges.get_mut(&to)
        {
            for id in std::mem::take(&mut remote.queued_set_ups) {
                self.end_seizure(id, Cause::Unreachable);
            }
        }
    }

    /// The links of an exchange that are up, oldest first.
    fn up_links(&self, of: &RemoteExchange) -> impl Iterator<Item = LinkId> {
        let up = |link_id: &&LinkId| self.links.get(link_id).is_some_and(|link| link.state == LinkState::Up);
        of.links.iter().filter(up).copied()
    }

    /// The oldest link that is up. Only its reports of the group's state are used: the exchange sends each change on
    /// every link, and a copy that arrives after a further seizure would raise the number of free circuits again.
    pub fn oldest_open_link(&self, of: ExchangeId) -> Option<LinkId> {
        self.up_links(self.exchanges.get(&of)?).next()
    }
}
