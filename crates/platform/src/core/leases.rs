//! Carries out what the failure detection decides about exchanges at which calls stand.

use std::collections::BTreeSet;
use std::time::Duration;

use mintstall::host::ExchangeId;
use mintstall::liveness::{Check, Holder};

use super::Core;
use crate::Transport;
use crate::reasons::CallEnd;

impl Core {
    /// Looks at the lease of each exchange at which a call stands.
    pub(super) fn check_leases(&mut self, port: &mut dyn Transport) {
        let holders: BTreeSet<ExchangeId> = self.desk.standing.values().map(|call| call.exchange).collect();
        let holder = if self.draining() { Holder::Leaves } else { Holder::Stays };
        for exchange in holders {
            let Some(remote) = self.desk.exchanges.get_mut(&exchange) else { continue };
            let quiet = self.desk.now.saturating_sub(remote.lease.last_heard());
            match remote.lease.check(self.desk.now, holder) {
                Check::Valid => {}
                Check::SendHeartbeat if self.settings.may_probe => {
                    port.log_debug(format_args!("exchange {} quiet for {quiet:?}: heartbeat", exchange.0));
                    self.desk.send_heartbeat(port, exchange);
                }
                Check::SendHeartbeat => {
                    // Each new connection brings the group's state as its first message.
                    port.log_debug(format_args!("exchange {} quiet for {quiet:?}: connection", exchange.0));
                    self.replace_connection(port, exchange);
                }
                Check::ReplaceConnection => {
                    port.log_debug(format_args!("exchange {} quiet for {quiet:?}: no answer", exchange.0));
                    self.replace_connection(port, exchange);
                }
                Check::Expired => {
                    port.log_info(&format!(
                        "exchange {} quiet for {quiet:?}: its lease has expired",
                        exchange.0
                    ));
                    self.end_calls(port, exchange, Duration::MAX, CallEnd::LeaseExpired);
                }
            }
        }
    }

    /// A heartbeat was not answered: a new connection shows whether the exchange or the connection is at fault.
    fn replace_connection(&mut self, port: &mut dyn Transport, exchange: ExchangeId) {
        match self.desk.oldest_open_link(exchange) {
            // Which sees to the pool itself.
            Some(link) => self.desk.drain_link(port, link),
            None => self.desk.maintain_pool(port, exchange),
        }
        if self.settings.may_probe {
            self.desk.send_heartbeat(port, exchange);
        }
    }
}
