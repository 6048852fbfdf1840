//! Checks each link to an exchange with standing calls: the exchange sends the release of a call on the link of its set-up,
//! and a link can fail while the others work.

use std::time::Duration;

use mintstall::interface::ExchangeId;
use mintstall::liveness::{ConnectionAction, HeartbeatPolicy};

use super::Core;
use crate::state::{LinkState, MAX_LINKS, RemoteExchange};
use crate::{LinkId, Transport};

/// How often a link is opened for the releases of calls whose exchange may send them on a link that is closed here.
const RELEASE_CONNECTION_INTERVAL: Duration = Duration::from_secs(4);

impl Core {
    /// Sends a heartbeat on each silent link of an exchange that is heard on others, and replaces those that have failed.
    pub(super) fn check_links(&mut self, transport: &mut dyn Transport, exchange: ExchangeId) {
        let Some(remote) = self.state.exchanges.get(&exchange) else { return };
        let exchange_heard = remote.lease.last_heard();
        for link_id in remote.links.clone() {
            self.check_link(transport, link_id, exchange_heard);
        }
        self.connect_for_unconfirmed_closes(transport, exchange);
    }

    fn check_link(&mut self, transport: &mut dyn Transport, link_id: LinkId, exchange_heard: Duration) {
        let now = self.state.now;
        let heartbeats = self.heartbeat_policy();
        let up = self.state.links.get_mut(&link_id).filter(|link| link.state == LinkState::Up);
        let Some(link) = up else { return };
        if transport.is_link_read_paused(link_id) {
            return link.liveness.renew(now);
        }
        match link.liveness.check(now, exchange_heard, heartbeats) {
            ConnectionAction::Keep => {}
            ConnectionAction::SendHeartbeat => self.state.send_heartbeat_on(transport, link_id),
            ConnectionAction::Replace => {
                transport.log_debug(format_args!(
                    "link {} to exchange {} silent for {:?}, though others are not: replacing it",
                    link_id.0,
                    link.exchange.0,
                    now.saturating_sub(link.liveness.last_heard())
                ));
                metrics::counter!("links_silent").increment(1);
                self.state.drain_link(transport, link_id);
            }
        }
    }

    fn heartbeat_policy(&self) -> HeartbeatPolicy {
        match self.settings.may_send_heartbeats {
            true => HeartbeatPolicy::Allowed,
            false => HeartbeatPolicy::Forbidden,
        }
    }

    /// A report has come on a link that is not its first message. An exchange sends it on all open links, up to
    /// [`MAX_LINKS`], so where heartbeats are forbidden it tells which links work.
    pub(super) fn await_report_on_other_links(&mut self, link_id: LinkId, exchange: ExchangeId) {
        let is_first = self.state.links.get(&link_id).is_none_or(|link| !link.has_reported);
        let Some(remote) = self.state.exchanges.get(&exchange) else { return };
        let link_count = remote.links.len() + remote.draining.len();
        if is_first || link_count > MAX_LINKS || self.heartbeat_policy() == HeartbeatPolicy::Allowed {
            return;
        }
        for other in remote.links.iter().filter(|other| **other != link_id) {
            if let Some(other) = self.state.links.get_mut(other).filter(|other| other.has_reported) {
                other.liveness.await_message(self.state.now);
            }
        }
    }

    /// Opens a link now and then while calls stand whose releases the exchange may send on a link that is closed here: it
    /// repeats them on the next link.
    fn connect_for_unconfirmed_closes(&mut self, transport: &mut dyn Transport, exchange: ExchangeId) {
        let Some(remote) = self.state.exchanges.get_mut(&exchange) else { return };
        if remote.unconfirmed_closes.is_empty() {
            return;
        }
        let calls = self.state.standing.values().filter(|call| call.exchange == exchange);
        let in_use: Vec<_> = calls.filter_map(|call| call.link).collect();
        remote.unconfirmed_closes.retain(|link| in_use.contains(link));
        let RemoteExchange { address, last_connect, .. } = *remote;
        if !remote.unconfirmed_closes.is_empty()
            && remote.is_reachable()
            && self.state.now >= last_connect + RELEASE_CONNECTION_INTERVAL
        {
            self.state.connect(transport, exchange, address);
        }
    }
}
