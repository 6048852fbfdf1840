//! The pool of connections to each exchange.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mintstall::interface::{Cause, ExchangeId, ExchangeStatus};

use super::{
    DRAINING_FOR, FINISHED_WITHIN, Link, LinkState, MOST_LINKS, PlatformState, REDIAL_FIRST, REDIAL_LAST,
    RemoteExchange, Timer, exponential_backoff,
};
use crate::exchange_protocol::{self, MessageType, WireCallId, parameter};
use crate::reasons::LinkLoss;
use crate::{LinkId, Transport};

/// The connection for releases that may have been lost is opened after this: the other side has noticed the loss, and a
/// process that had hung has worked off what had piled up.
const DIAL_FOR_RELEASES_AFTER: Duration = Duration::from_millis(250);
/// The cause that a test carries.
const TEST: u8 = 0;
/// The longest pause before a further dial to an exchange whose calls may be over: it has to be reached, or given up,
/// before its lease expires.
const REDIAL_IN_DOUBT: Duration = Duration::from_millis(250);

impl PlatformState {
    /// Closes draining links whose time is over in our direction; gives those that the other side has not closed since.
    pub fn expire_links(&mut self, transport: &mut dyn Transport) -> Vec<LinkId> {
        let now = self.now;
        let (mut drained, mut expired) = (Vec::new(), Vec::new());
        for (no, link) in &self.links {
            match link.state {
                LinkState::Draining { at } if at + DRAINING_FOR < now => drained.push(*no),
                LinkState::HalfClosed { at } if at + FINISHED_WITHIN < now => expired.push(*no),
                _ => {}
            }
        }
        drained.into_iter().for_each(|no| self.finish(transport, no));
        expired
    }

    /// Sends nothing new on a link, reads it on for a while, and has another dialled in its place.
    pub fn drain_link(&mut self, transport: &mut dyn Transport, no: LinkId) {
        let Some(link) = self.links.get_mut(&no) else { return };
        let to = link.to;
        link.state = LinkState::Draining { at: self.now };
        transport.log_debug(format_args!("link {} to exchange {} drained", no.0, to.0));
        if let Some(far) = self.exchanges.get_mut(&to) {
            far.links.retain(|known| *known != no);
            far.draining.push_back(no);
        }
        self.finish_oldest(transport, to);
        self.maintain_pool(transport, to);
    }

    /// No more than some links of an exchange are read on.
    fn finish_oldest(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        let draining = |no: &&LinkId| {
            self.links.get(no).is_some_and(|link| matches!(link.state, LinkState::Draining { .. }))
        };
        let Some(remote) = self.exchanges.get(&to) else { return };
        let all: Vec<_> = remote.draining.iter().filter(draining).copied().collect();
        let oldest = remote.draining.front().copied();
        if remote.draining.len() > 2 * MOST_LINKS
            && let Some(oldest) = oldest
        {
            self.remove_link(transport, oldest, LinkLoss::DrainExpired);
        } else if all.len() > MOST_LINKS {
            self.finish(transport, all[0]);
        }
    }

    /// Closes a link in our direction; it is read to its end.
    fn finish(&mut self, transport: &mut dyn Transport, no: LinkId) {
        if let Some(link) = self.links.get_mut(&no) {
            link.state = LinkState::HalfClosed { at: self.now };
            transport.shutdown_link_write(no);
        }
    }

    /// Closes all links, and dials none any more. Exchanges repeat on the next connection what they have told meanwhile.
    pub fn close_links(&mut self, transport: &mut dyn Transport) {
        self.links_closed = true;
        let all: Vec<_> = self.links.keys().copied().collect();
        for no in all {
            self.remove_link(transport, no, LinkLoss::Shutdown);
        }
    }

    /// A link that was dialled for the releases that another may have lost makes the oldest one superfluous.
    fn drain_surplus(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        let Some(remote) = self.exchanges.get(&to) else { return };
        if self.up_links(remote).count() > self.links_each
            && let Some(oldest) = self.oldest_open_link(to)
        {
            self.drain_link(transport, oldest);
        }
    }

    /// Releases may have been lost with a link, or written to one of a former process. Exchanges repeat them on the next
    /// connection that is opened, so one is before long, also where the pool is not short of any.
    pub fn plan_dial_for_releases(&mut self, to: ExchangeId) {
        let Some(remote) = self.exchanges.get_mut(&to) else { return };
        if !std::mem::replace(&mut remote.dials_for_releases, true) {
            self.set(DIAL_FOR_RELEASES_AFTER, Timer::DialForReleases(to));
        }
    }

    pub fn dial_for_releases(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        let Some(remote) = self.exchanges.get_mut(&to) else { return };
        remote.dials_for_releases = false;
        let (listed, at) = (remote.service != ExchangeStatus::Gone, remote.at);
        if listed && self.standing.values().any(|call| call.exchange == to) {
            self.dial(transport, to, at);
        }
    }

    /// Asks an exchange for a sign of life, if a link is up; a new one brings its own.
    pub fn send_heartbeat(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        let Some(link) = self.oldest_open_link(to) else { return };
        let mut octets = Vec::new();
        exchange_protocol::encode(
            &mut octets,
            MessageType::Test,
            WireCallId(self.number()),
            &[(parameter::CAUSE, &[TEST])],
        );
        transport.send_to_link(link, &octets);
        metrics::counter!("heartbeats_sent").increment(1);
    }

    /// How many links an exchange gets, so that all fit the descriptors.
    pub fn share_links(&mut self) {
        let ready = self.exchanges.values().filter(|far| far.service == ExchangeStatus::Ready).count();
        self.links_each = (self.links_budget / ready.max(1)).clamp(1, MOST_LINKS);
    }

    /// Dials what an exchange is short of links.
    pub fn maintain_pool(&mut self, transport: &mut dyn Transport, to: ExchangeId) {
        let Some(far) = self.exchanges.get(&to) else { return };
        let wanted = match far.service {
            ExchangeStatus::Ready => self.links_each,
            ExchangeStatus::Draining => 1,
            ExchangeStatus::Gone => 0,
        };
        let short = wanted.saturating_sub(far.links.len());
        let (first, next_dial, at) = (far.failures == 0, far.next_dial, far.at);
        if short == 0 || !first && self.dialling(far) {
            return;
        }
        if self.now < next_dial {
            return self.set(next_dial - self.now, Timer::MaintainPool(to));
        }
        (0..if first { short } else { 1 }).for_each(|_| self.dial(transport, to, at));
    }

    pub(super) fn dial(&mut self, transport: &mut dyn Transport, to: ExchangeId, at: SocketAddr) {
        if self.links_closed {
            return;
        }
        let no = LinkId(self.number());
        let (state, decoder) = (LinkState::Connecting, exchange_protocol::Decoder::default());
        let link = Link {
            to,
            state,
            decoder,
            heard: self.now,
            partial_since: None,
            open_set_ups: BTreeMap::new(),
            state_told: None,
        };
        self.links.insert(no, link);
        self.exchanges.entry(to).and_modify(|far| far.links.push(no));
        self.set(self.connect_timeout, Timer::ConnectTimeout(no));
        metrics::counter!("links_dialled").increment(1);
        transport.log_debug(format_args!("link {} to exchange {} dialled at {at}", no.0, to.0));
        transport.connect_link(no, at);
    }

    /// Whether a link to an exchange is being dialled.
    pub(super) fn dialling(&self, far: &RemoteExchange) -> bool {
        far.links.iter().any(|no| self.links.get(no).is_some_and(|link| link.state == LinkState::Connecting))
    }

    pub fn link_connected(&mut self, transport: &mut dyn Transport, no: LinkId) {
        let Some(link) = self.links.get_mut(&no) else { return };
        (link.state, link.heard) = (LinkState::Up, self.now);
        let to = link.to;
        transport.log_debug(format_args!("link {} to exchange {} up", no.0, to.0));
        let Some(far) = self.exchanges.get_mut(&to) else { return };
        far.failures = 0;
        let waiting = std::mem::take(&mut far.queued_set_ups);
        let ready = far.service == ExchangeStatus::Ready;
        self.repeat_releases(transport, to, no);
        self.drain_surplus(transport, to);
        for id in waiting {
            // One that began to drain meanwhile is sent nothing new.
            if !ready {
                self.end(id, Cause::Unreachable);
            } else if !self.send_set_up(transport, id) {
                self.exchanges.entry(to).and_modify(|far| far.queued_set_ups.push_back(id));
            }
        }
        self.maintain_pool(transport, to);
    }

    /// A link has gone, or is closed here: every set-up on it was cut. Whether it had ever been up.
    pub fn remove_link(
        &mut self,
        transport: &mut dyn Transport,
        no: LinkId,
        reason: LinkLoss,
    ) -> Option<(ExchangeId, LinkState)> {
        let link = self.links.remove(&no)?;
        transport.close_link(no);
        let (to, silent) = (link.to, self.now.saturating_sub(link.heard));
        let was_open = link.state != LinkState::Connecting;
        metrics::counter!("links_lost", "reason" => reason.label()).increment(1);
        transport.log_debug(format_args!(
            "link {} to exchange {} lost: {reason}, was {:?}, {} set-ups out, silent for {silent:?}",
            no.0,
            to.0,
            link.state,
            link.open_set_ups.len(),
        ));
        for id in link.open_set_ups.into_values() {
            self.end(id, Cause::Cut);
        }
        if let Some(far) = self.exchanges.get_mut(&to) {
            far.links.retain(|known| *known != no);
            far.draining.retain(|known| *known != no);
            let open =
                |no: &LinkId| self.links.get(no).is_some_and(|link| link.state != LinkState::Connecting);
            let none_open = !far.links.iter().chain(&far.draining).any(open);
            if none_open && was_open && reason == LinkLoss::Disconnected {
                far.all_links_lost = Some(self.now);
            }
        }
        if !was_open {
            self.back_off(to);
        }
        self.maintain_pool(transport, to);
        let read_to_its_end =
            matches!((&link.state, reason), (LinkState::HalfClosed { .. }, LinkLoss::Disconnected));
        let dialled_since = self.exchanges.get(&to).is_some_and(|remote| self.dialling(remote));
        if was_open && !read_to_its_end && !dialled_since {
            self.plan_dial_for_releases(to);
        }
        self.unreached(to);
        Some((to, link.state))
    }

    /// A dial has failed: when the next may follow.
    fn back_off(&mut self, to: ExchangeId) {
        let Some(far) = self.exchanges.get_mut(&to) else { return };
        far.failures = far.failures.saturating_add(1);
        let last = if far.lease.is_suspected() { REDIAL_IN_DOUBT } else { REDIAL_LAST };
        let ceiling = exponential_backoff(REDIAL_FIRST, far.failures, last);
        let next_dial = self.now + self.jittered(ceiling);
        self.exchanges.entry(to).and_modify(|far| far.next_dial = next_dial);
    }

    /// Set-ups that wait for an exchange to which nothing is dialled are not reached.
    pub(super) fn unreached(&mut self, to: ExchangeId) {
        if self.exchanges.get(&to).is_some_and(|far| !self.dialling(far))
            && let Some(far) = self.exchanges.get_mut(&to)
        {
            for id in std::mem::take(&mut far.queued_set_ups) {
                self.end(id, Cause::Unreachable);
            }
        }
    }

    /// The links of an exchange that are up, oldest first.
    fn up_links(&self, of: &RemoteExchange) -> impl Iterator<Item = LinkId> {
        let up = |no: &&LinkId| self.links.get(no).is_some_and(|link| link.state == LinkState::Up);
        of.links.iter().filter(up).copied()
    }

    /// The oldest link that is up. Its word of the group's state alone is believed: each link is told each change, and
    /// a copy that comes after a further seizure would set the free circuits back up.
    pub fn oldest_open_link(&self, of: ExchangeId) -> Option<LinkId> {
        self.up_links(self.exchanges.get(&of)?).next()
    }
}
