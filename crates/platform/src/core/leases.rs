//! Carries out what the failure detection decides about exchanges at which calls stand.

use std::collections::BTreeSet;
use std::time::Duration;

use mintstall::interface::ExchangeId;
use mintstall::liveness::{LeaseAction, ProcessPhase};

use super::Core;
use crate::Transport;
use crate::reasons::CallEnd;

impl Core {
    /// Looks at the lease of each exchange at which a call stands.
    pub(super) fn check_leases(&mut self, transport: &mut dyn Transport) {
        let holders: BTreeSet<ExchangeId> = self.state.standing.values().map(|call| call.exchange).collect();
        let holder = if self.draining() { ProcessPhase::Terminating } else { ProcessPhase::Running };
        for exchange in holders {
            let Some(remote) = self.state.exchanges.get_mut(&exchange) else { continue };
            let quiet = self.state.now.saturating_sub(remote.lease.last_heard());
            match remote.lease.check(self.state.now, holder) {
                LeaseAction::Valid => {}
                LeaseAction::SendHeartbeat if self.settings.may_probe => {
                    transport
                        .log_debug(format_args!("exchange {} quiet for {quiet:?}: heartbeat", exchange.0));
                    self.state.send_heartbeat(transport, exchange);
                }
                LeaseAction::SendHeartbeat => {
                    // Each new connection brings the group's state as its first message.
                    transport
                        .log_debug(format_args!("exchange {} quiet for {quiet:?}: connection", exchange.0));
                    self.replace_connection(transport, exchange);
                }
                LeaseAction::ReplaceConnection => {
                    transport
                        .log_debug(format_args!("exchange {} quiet for {quiet:?}: no answer", exchange.0));
                    self.replace_connection(transport, exchange);
                }
                LeaseAction::Expired => {
                    transport.log_info(&format!(
                        "exchange {} quiet for {quiet:?}: its lease has expired",
                        exchange.0
                    ));
                    self.end_calls(transport, exchange, Duration::MAX, CallEnd::LeaseExpired);
                }
            }
        }
    }

    /// A heartbeat was not answered: a new connection shows whether the exchange or the connection is at fault.
    fn replace_connection(&mut self, transport: &mut dyn Transport, exchange: ExchangeId) {
        match self.state.oldest_open_link(exchange) {
            // Which sees to the pool itself.
            Some(link) => self.state.drain_link(transport, link),
            None => self.state.maintain_pool(transport, exchange),
        }
        if self.settings.may_probe {
            self.state.send_heartbeat(transport, exchange);
        }
    }
}
