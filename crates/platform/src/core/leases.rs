//! Checks the lease of an exchange with standing calls, and carries out the actions of the failure detection.

use std::time::Duration;

use mintstall::interface::ExchangeId;
use mintstall::liveness::{LeaseAction, ProcessPhase};

use super::Core;
use crate::Transport;
use crate::reasons::CallEnd;
use crate::state::RemoteExchange;

impl Core {
    /// Checks the lease of an exchange that has standing calls.
    pub(super) fn check_lease(&mut self, transport: &mut dyn Transport, exchange: ExchangeId) {
        let phase = if self.is_draining() { ProcessPhase::Terminating } else { ProcessPhase::Running };
        let Some(remote) = self.state.exchanges.get_mut(&exchange) else { return };
        let quiet = self.state.now.saturating_sub(remote.lease.last_heard());
        match remote.lease.check(self.state.now, phase) {
            LeaseAction::Valid => {}
            LeaseAction::SendHeartbeat if self.settings.may_send_heartbeats => {
                transport.log_debug(format_args!(
                    "exchange {} quiet for {quiet:?}: sending a heartbeat",
                    exchange.0
                ));
                self.state.send_heartbeat(transport, exchange);
            }
            LeaseAction::SendHeartbeat => {
                // An exchange sends the group's state as its first message on each new connection.
                transport.log_debug(format_args!(
                    "exchange {} quiet for {quiet:?}: replacing its connection",
                    exchange.0
                ));
                self.replace_connection(transport, exchange);
            }
            LeaseAction::ReplaceConnection => {
                transport.log_debug(format_args!(
                    "exchange {} quiet for {quiet:?}: heartbeat unanswered, replacing its connection",
                    exchange.0
                ));
                self.replace_connection(transport, exchange);
            }
            LeaseAction::Expired => {
                transport.log_info(&format!("exchange {} quiet for {quiet:?}: lease expired", exchange.0));
                self.expire_lease(transport, exchange);
            }
        }
    }

    /// Ends the calls at an exchange whose lease has expired. If another process may listen at its address by now, calls
    /// answered since then are not over.
    fn expire_lease(&mut self, transport: &mut dyn Transport, exchange: ExchangeId) {
        match self.state.exchanges.get(&exchange).and_then(RemoteExchange::opened_in_doubt) {
            Some(opened_at) => {
                self.end_former_incarnation(transport, exchange, opened_at, CallEnd::LeaseExpired)
            }
            None => self.end_and_release_calls(transport, exchange, Duration::MAX, CallEnd::LeaseExpired),
        }
    }

    /// Opens a new connection, which shows whether the exchange or the old connection has failed.
    fn replace_connection(&mut self, transport: &mut dyn Transport, exchange: ExchangeId) {
        match self.state.oldest_open_link(exchange) {
            // This also opens the new link.
            Some(link) => self.state.drain_link(transport, link),
            None => self.state.maintain_pool(transport, exchange),
        }
        if self.settings.may_send_heartbeats {
            self.state.send_heartbeat(transport, exchange);
        }
    }
}
