//! Outgoing connections, and which connection is the link of an exchange.

use std::time::{Duration, Instant};

use mintstall::interface::ExchangeNumber;
use mio::net::TcpStream;
use mio::{Interest, Token};
use rand::Rng;
use tracing::{debug, info};

use super::Server;
use crate::connections::{ConnectTarget, LOG_TARGET, Purpose};
use crate::link_claims::LinkClaim;

/// Delay before a reconnect, doubled with each failure up to the maximum. The wait is drawn at random between half the
/// delay and the whole.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);

impl Server {
    pub(super) fn start_due_connects(&mut self) {
        let now = Instant::now();
        let due =
            self.reconnects.iter_mut().filter(|(_, reconnect)| reconnect.due.is_some_and(|due| due <= now));
        let due: Vec<_> =
            due.map(|(target, reconnect)| (*target, reconnect.due.take().map(|_| reconnect.to))).collect();
        for (target, to) in due {
            let Some(to) = to else { continue };
            let started = TcpStream::connect(to)
                .and_then(|stream| self.connections.add(stream, Purpose::Connecting(target)));
            if let Err(error) = started {
                debug!(target: LOG_TARGET, dialled = ?target, %to, "cannot connect: {error}");
                self.schedule_reconnect(target);
            }
        }
    }

    pub(super) fn schedule_reconnect(&mut self, target: ConnectTarget) {
        if let Some(reconnect) = self.reconnects.get_mut(&target) {
            let delay =
                MIN_RECONNECT_DELAY.saturating_mul(1 << reconnect.failures.min(8)).min(MAX_RECONNECT_DELAY);
            reconnect.failures = reconnect.failures.saturating_add(1);
            reconnect.due = Some(Instant::now() + delay.mul_f64(rand::rng().random_range(0.5..1.0)));
        }
    }

    /// An outgoing connection is established or has failed.
    pub(super) fn on_connect_finished(&mut self, token: Token, target: ConnectTarget) {
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
        let error = connection.stream.take_error().ok().flatten();
        if error.is_some() || connection.stream.peer_addr().is_err() {
            if error.is_some() {
                self.connections.close(Some(token), "cannot connect");
            }
            return;
        }
        connection.purpose = match target {
            ConnectTarget::Link(to) => Purpose::Link(to),
            ConnectTarget::Directory => Purpose::Directory,
        };
        if let Err(error) =
            self.connections.poll.registry().reregister(&mut connection.stream, token, Interest::READABLE)
        {
            return self.connections.close(Some(token), &error.to_string());
        }
        match target {
            ConnectTarget::Link(to) => self.on_link_connected(token, to),
            ConnectTarget::Directory => {
                self.connections.directory = Some(token);
                info!(target: LOG_TARGET, "connected to the directory");
                self.exchange.directory_connected(&mut self.connections);
            }
        }
    }

    /// A connection is the link of an exchange from now on, in place of any other.
    fn on_link_connected(&mut self, token: Token, to: ExchangeNumber) {
        let now = self.now();
        if let Some(previous) = self.connections.links.insert(to, token) {
            self.exchange.link_down(now, &mut self.connections, to);
            if let Some(previous) = self.connections.by_token.get_mut(&previous) {
                previous.purpose = Purpose::Closing;
            }
            self.connections.close(Some(previous), "replaced by a newer connection");
        }
        self.exchange.link_up(now, &mut self.connections, to);
    }

    /// An incoming connection names an exchange that has a link here.
    pub(super) fn on_link_named(&mut self, token: Token, from: ExchangeNumber, received: Vec<u8>) {
        let now = self.now();
        let has_open_link = self.connections.links.contains_key(&from)
            && self.exchange.probe_link(now, &mut self.connections, from);
        if !has_open_link {
            let claim = LinkClaim::immediate(token, received);
            return self.grant_claim(from, claim);
        }
        match self.link_claims.add(now, from, token, received) {
            Ok(()) => {
                info!(target: LOG_TARGET, exchange = from.0, "another connection names an exchange whose link is open: checking the link");
                if let Some(connection) = self.connections.by_token.get_mut(&token) {
                    connection.purpose = Purpose::WaitingLink(from);
                }
            }
            Err(error) => self.connections.close(Some(token), &error.to_string()),
        }
    }

    /// The connection of a claim becomes the link of the exchange.
    pub(super) fn grant_claim(&mut self, from: ExchangeNumber, claim: LinkClaim<Token>) {
        let now = self.now();
        let LinkClaim { connection: token, received, .. } = claim;
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
        connection.purpose = Purpose::Link(from);
        self.connections.unidentified.remove(token);
        self.on_link_connected(token, from);
        self.exchange.link_octets(now, &mut self.connections, from, &received);
    }

    pub(super) fn grant_due_claims(&mut self, now: Duration) {
        for (exchange, claim) in self.link_claims.take_due(now) {
            info!(target: LOG_TARGET, exchange = exchange.0, "the link does not answer: another connection takes its place");
            self.grant_claim(exchange, claim);
        }
    }
}
