//! Incoming connections that name an exchange which has a link already. Anybody can name an exchange, so the link that is
//! there is kept if it works: it is sent a heartbeat, and the new connection waits. If something comes on the link, the new
//! connection is refused; if nothing comes in time, or the link is lost, the new connection takes its place.
//!
//! No I/O: the user of this module passes the time, tells what happens on the links, and does what is returned.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall::interface::ExchangeNumber;
use thiserror::Error;

/// Time for the link to answer, as long as an exchange has for the acknowledgements that open a link.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Another connection waits to become the link of this exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("another connection waits already to become the link of exchange {}", .0.0)]
pub struct AlreadyClaimed(pub ExchangeNumber);

/// A connection that waits to become a link.
#[derive(Debug, PartialEq, Eq)]
pub struct LinkClaim<K> {
    pub connection: K,
    /// What was received on it so far.
    pub received: Vec<u8>,
    answer_due: Duration,
}

impl<K> LinkClaim<K> {
    /// A connection that need not wait, since its exchange has no link that could answer.
    pub fn immediate(connection: K, received: Vec<u8>) -> Self {
        Self { connection, received, answer_due: Duration::ZERO }
    }
}

/// The connections that wait to become links, at most one an exchange.
#[derive(Debug)]
pub struct LinkClaims<K> {
    by_exchange: BTreeMap<ExchangeNumber, LinkClaim<K>>,
}

impl<K> Default for LinkClaims<K> {
    fn default() -> Self {
        Self { by_exchange: BTreeMap::new() }
    }
}

impl<K: Copy + PartialEq> LinkClaims<K> {
    /// A connection has named an exchange whose link is to be sent a heartbeat now.
    pub fn add(
        &mut self,
        now: Duration,
        exchange: ExchangeNumber,
        connection: K,
        received: Vec<u8>,
    ) -> Result<(), AlreadyClaimed> {
        if self.by_exchange.contains_key(&exchange) {
            return Err(AlreadyClaimed(exchange));
        }
        let claim = LinkClaim { connection, received, answer_due: now + ANSWER_TIMEOUT };
        self.by_exchange.insert(exchange, claim);
        Ok(())
    }

    /// Something has come on the link of an exchange. Returns the connection that is refused.
    pub fn on_link_heard(&mut self, exchange: ExchangeNumber) -> Option<K> {
        self.by_exchange.remove(&exchange).map(|claim| claim.connection)
    }

    /// The link of an exchange is lost. Returns the connection that takes its place.
    pub fn on_link_lost(&mut self, exchange: ExchangeNumber) -> Option<LinkClaim<K>> {
        self.by_exchange.remove(&exchange)
    }

    /// A connection is closed.
    pub fn remove(&mut self, connection: K) {
        self.by_exchange.retain(|_, claim| claim.connection != connection);
    }

    /// The connections that take the place of links which did not answer in time.
    pub fn take_due(&mut self, now: Duration) -> Vec<(ExchangeNumber, LinkClaim<K>)> {
        self.by_exchange.extract_if(.., |_, claim| claim.answer_due <= now).collect()
    }

    /// When [`LinkClaims::take_due`] has to be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.by_exchange.values().map(|claim| claim.answer_due).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Duration = Duration::from_secs(100);
    const EXCHANGE: ExchangeNumber = ExchangeNumber(2);

    fn claimed() -> LinkClaims<u8> {
        let mut claims = LinkClaims::default();
        assert_eq!(claims.add(NOW, EXCHANGE, 7, b"first".to_vec()), Ok(()));
        claims
    }

    #[test]
    fn a_claim_is_refused_when_the_link_is_heard() {
        let mut claims = claimed();
        assert_eq!(claims.on_link_heard(ExchangeNumber(3)), None);
        assert_eq!(claims.on_link_heard(EXCHANGE), Some(7));
        assert_eq!((claims.on_link_heard(EXCHANGE), claims.next_timer()), (None, None));
    }

    #[test]
    fn a_claim_is_granted_when_the_link_does_not_answer_or_is_lost() {
        let mut claims = claimed();
        assert_eq!(claims.next_timer(), Some(NOW + ANSWER_TIMEOUT));
        assert!(claims.take_due(NOW + ANSWER_TIMEOUT - Duration::from_millis(1)).is_empty());
        let due = claims.take_due(NOW + ANSWER_TIMEOUT);
        assert!(
            matches!(&due[..], [(EXCHANGE, claim)] if claim.connection == 7 && claim.received == b"first")
        );
        let lost = claimed().on_link_lost(EXCHANGE);
        assert_eq!(lost.map(|claim| claim.connection), Some(7));
    }

    #[test]
    fn one_connection_may_wait_for_an_exchange_until_it_is_closed() {
        let mut claims = claimed();
        assert_eq!(claims.add(NOW, EXCHANGE, 8, Vec::new()), Err(AlreadyClaimed(EXCHANGE)));
        claims.remove(8);
        assert_eq!(claims.add(NOW, EXCHANGE, 8, Vec::new()), Err(AlreadyClaimed(EXCHANGE)));
        claims.remove(7);
        assert_eq!(claims.add(NOW, EXCHANGE, 8, Vec::new()), Ok(()));
    }
}
