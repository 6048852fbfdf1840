//! Checks whether the process that answers at an exchange's address is the one with which its calls were set up.

use std::time::Duration;

use mintstall::incarnation::{FirstReport, OlderConnections, Verdict};
use mintstall::interface::ExchangeId;
use mintstall::liveness::Renewal;

use super::Core;
use crate::reasons::{CallEnd, LinkLoss};
use crate::state::{Link, LinkState, RemoteExchange};
use crate::{LinkId, Transport};

impl Core {
    /// Renews the lease of an exchange, from which a message has come at the given time.
    pub(super) fn renew_lease(&mut self, exchange: ExchangeId, heard_at: Duration) {
        let remote = self.state.exchanges.get_mut(&exchange);
        if remote.is_some_and(|remote| remote.lease.renew(heard_at) == Renewal::AfterSuspicion) {
            self.state.plan_release_connection(exchange);
        }
    }

    /// Whether a message on this link may come from another process than the one that holds the exchange's calls.
    pub(super) fn is_in_doubt(&self, link_id: LinkId, exchange: ExchangeId) -> bool {
        let opened_at = self.state.exchanges.get(&exchange).and_then(RemoteExchange::opened_in_doubt);
        let link = self.state.links.get(&link_id);
        opened_at.is_some_and(|at| link.is_some_and(|link| !link.is_older(at)))
    }

    /// Checks the standing calls against the first report on a link.
    pub(super) fn note_first_report(
        &mut self,
        transport: &mut dyn Transport,
        link_id: LinkId,
        exchange: ExchangeId,
        text: Option<&str>,
    ) {
        let Some(link) = self.state.links.get_mut(&link_id) else { return };
        if std::mem::replace(&mut link.has_reported, true) {
            return;
        }
        let opened_at = link.opened_at;
        let standing = self.state.standing_before(exchange, opened_at);
        let older = self.older_connections(exchange, opened_at);
        transport.log_debug(format_args!(
            "link {} to exchange {}: first report {:?}, {standing} calls stand from before, older links: {older:?}",
            link_id.0,
            exchange.0,
            text.unwrap_or("nothing"),
        ));
        let report = text.and_then(|text| self.settings.reports.parse_named(text));
        let Some(first_report) = report.and_then(|report| FirstReport::new(opened_at, &report)) else {
            return;
        };
        let Some(remote) = self.state.exchanges.get_mut(&exchange) else { return };
        if remote.first_report.is_none_or(|known| known.is_superseded_by(opened_at)) {
            remote.first_report = Some(first_report);
        }
        self.check_incarnation(transport, exchange);
    }

    /// The links to an exchange on which something had been received by the given time.
    fn older_connections(&self, exchange: ExchangeId, opened_at: Duration) -> OlderConnections {
        let links = self.state.links.values().filter(|link| link.exchange == exchange);
        let older: Vec<_> = links.filter(|link| link.is_older(opened_at)).collect();
        let was_open =
            self.state.exchanges.get(&exchange).is_some_and(|remote| remote.lease.is_contact_made());
        match older[..] {
            [] if was_open => OlderConnections::Lost,
            [] => OlderConnections::NeverOpen,
            _ if older.iter().any(|link| link.liveness.last_heard() > opened_at) => OlderConnections::Heard,
            _ => OlderConnections::Silent,
        }
    }

    /// Checks the standing calls against the first report on the newest link, and ends them if they are over.
    pub(super) fn check_incarnation(&mut self, transport: &mut dyn Transport, exchange: ExchangeId) {
        let Some(mut first_report) =
            self.state.exchanges.get(&exchange).and_then(|remote| remote.first_report)
        else {
            return;
        };
        let opened_at = first_report.opened_at();
        let standing = self.state.standing_before(exchange, opened_at);
        let older = self.older_connections(exchange, opened_at);
        let was_in_doubt = first_report.is_in_doubt();
        let verdict = first_report.judge(self.state.now, standing, older);
        if let Some(remote) = self.state.exchanges.get_mut(&exchange) {
            remote.first_report = Some(first_report);
        }
        if !was_in_doubt && verdict == Verdict::SameIncarnation {
            return;
        }
        transport.log_debug(format_args!(
            "exchange {}: {standing} calls stand from before {first_report:?}, older links {older:?}: {verdict:?}",
            exchange.0
        ));
        match verdict {
            Verdict::SameIncarnation | Verdict::Undecided => {}
            Verdict::CallsOver => {
                self.end_and_release_calls(transport, exchange, opened_at, CallEnd::NotHeld)
            }
            Verdict::SomeCallsOver => {
                self.state.exchanges.entry(exchange).and_modify(|remote| remote.first_report = None);
            }
            Verdict::OtherIncarnation => {
                self.end_former_incarnation(transport, exchange, opened_at, CallEnd::ExchangeRestarted);
            }
        }
    }

    /// Ends the calls and links of the process that was there before a link was opened. The lease of later calls counts
    /// from the last message of the present process.
    pub(super) fn end_former_incarnation(
        &mut self,
        transport: &mut dyn Transport,
        exchange: ExchangeId,
        opened_at: Duration,
        reason: CallEnd,
    ) {
        metrics::counter!("exchange_incarnations").increment(1);
        self.close_former_links(transport, exchange, opened_at);
        self.end_and_release_calls(transport, exchange, opened_at, reason);
        let links = self.state.links.values().filter(|link| link.exchange == exchange);
        let heard_at =
            links.filter(|link| link.first_received.is_some()).map(|link| link.liveness.last_heard()).max();
        if let Some(heard_at) = heard_at {
            self.renew_lease(exchange, heard_at);
        }
    }

    /// Closes the links to a former process, whose machine may not know of them any more.
    fn close_former_links(
        &mut self,
        transport: &mut dyn Transport,
        exchange: ExchangeId,
        opened_at: Duration,
    ) {
        let is_former = |link: &Link| {
            link.exchange == exchange && link.state != LinkState::Connecting && link.is_older(opened_at)
        };
        let links = self.state.links.iter().filter(|(_, link)| is_former(link));
        for link_id in links.map(|(link_id, _)| *link_id).collect::<Vec<_>>() {
            self.remove_link(transport, link_id, LinkLoss::FormerIncarnation);
        }
    }
}
