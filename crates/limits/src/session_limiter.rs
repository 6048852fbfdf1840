//! Limits on sessions: how many are open, how fast they open, and the calls and request rates of each session and customer.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall::interface::CustomerId;
use mintstall::random::MwcRng;
use thiserror::Error;

use crate::token_bucket::TokenBucket;

/// Identifies a session, in which a client offers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Limits on sessions, calls and rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub max_sessions: usize,
    /// Rate at which sessions may open. Many clients that connect at once are accepted at this rate, so that open sessions
    /// keep their service.
    pub opens_per_s: f64,
    pub open_burst: f64,
    pub max_calls_per_session: usize,
    pub max_calls_per_customer: usize,
    /// Offers of one session.
    pub offers_per_s: f64,
    pub offer_burst: f64,
    /// Requests of one session, of any kind.
    pub requests_per_s: f64,
    pub request_burst: f64,
    /// Offers that the controller may have without an answer. Further offers are queued.
    pub max_unanswered: usize,
    /// Offers that may be queued.
    pub max_waiting: usize,
    /// Share of a caller's remaining time that its offer may be queued.
    pub max_wait_share: f64,
}

impl Default for Limits {
    /// Sized for a release night on one controller with ten thousand sessions. A client that behaves well does not reach them.
    fn default() -> Self {
        Self {
            max_sessions: 10_000,
            opens_per_s: 2_000.0,
            open_burst: 4_000.0,
            max_calls_per_session: 10_000,
            max_calls_per_customer: 20_000,
            offers_per_s: 1_000.0,
            offer_burst: 2_000.0,
            requests_per_s: 4_000.0,
            request_burst: 8_000.0,
            max_unanswered: 4_000,
            max_waiting: 8_000,
            max_wait_share: 0.25,
        }
    }
}

/// Why a request or an offer was refused. `retry_after`: the time after which it may be repeated, jittered so that refused
/// clients do not return together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdmissionError {
    #[error("no such session")]
    NoSession,
    #[error("too fast on this session, come back in {} ms", .retry_after.as_millis() + 1)]
    RateLimited { retry_after: Duration },
    #[error("{max} calls are in hand on this session")]
    SessionCalls { max: usize },
    #[error("{max} calls are in hand for this customer")]
    CustomerCalls { max: usize },
    #[error("more calls are offered than can be worked on")]
    Overloaded { retry_after: Duration },
}

/// Result of opening a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    Open(SessionId),
    /// Sessions are opening too fast; to be tried again after this wait.
    RateLimited(Duration),
    /// The maximum number of sessions is open.
    Full,
}

#[derive(Debug)]
struct Session {
    offers: TokenBucket,
    requests: TokenBucket,
    /// Calls in progress by customer; without customers that have none.
    calls: BTreeMap<CustomerId, usize>,
}

/// The open sessions and the calls in progress of each session and customer.
#[derive(Debug)]
pub struct SessionLimiter {
    limits: Limits,
    rng: MwcRng,
    opens: TokenBucket,
    last_id: u64,
    /// At most `limits.max_sessions`.
    sessions: BTreeMap<SessionId, Session>,
    /// Calls in progress by customer; without customers that have none.
    customers: BTreeMap<CustomerId, usize>,
}

/// Jitter of retry times, as a share of the shortest one.
const MAX_JITTER: f64 = 0.5;

impl SessionLimiter {
    pub fn new(now: Duration, limits: Limits, seed: u64) -> Self {
        Self {
            opens: TokenBucket::new(now, limits.opens_per_s, limits.open_burst),
            limits,
            rng: MwcRng::new(seed),
            last_id: 0,
            sessions: BTreeMap::new(),
            customers: BTreeMap::new(),
        }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    pub fn customer_calls(&self, customer: CustomerId) -> usize {
        self.customers.get(&customer).copied().unwrap_or(0)
    }

    pub fn open(&mut self, now: Duration) -> OpenOutcome {
        if self.sessions.len() >= self.limits.max_sessions {
            return OpenOutcome::Full;
        }
        if let Err(wait) = self.opens.take(now) {
            return OpenOutcome::RateLimited(wait);
        }
        self.last_id += 1;
        let id = SessionId(self.last_id);
        let offers = TokenBucket::new(now, self.limits.offers_per_s, self.limits.offer_burst);
        let requests = TokenBucket::new(now, self.limits.requests_per_s, self.limits.request_burst);
        self.sessions.insert(id, Session { offers, requests, calls: BTreeMap::new() });
        OpenOutcome::Open(id)
    }

    /// Checks the request rate of a session, for a request of any kind.
    pub fn check_request(&mut self, now: Duration, session: SessionId) -> Result<(), AdmissionError> {
        let state = self.sessions.get_mut(&session).ok_or(AdmissionError::NoSession)?;
        state
            .requests
            .take(now)
            .map_err(|wait| AdmissionError::RateLimited { retry_after: self.with_jitter(wait) })
    }

    /// Counts an offer as a call in progress, or refuses it. The count is reduced by [`SessionLimiter::end_call`].
    pub fn admit_offer(
        &mut self,
        now: Duration,
        session: SessionId,
        customer: CustomerId,
    ) -> Result<(), AdmissionError> {
        let (max_in_session, max_of_customer) =
            (self.limits.max_calls_per_session, self.limits.max_calls_per_customer);
        let of_customer = self.customer_calls(customer);
        let state = self.sessions.get_mut(&session).ok_or(AdmissionError::NoSession)?;
        if let Err(wait) = state.offers.take(now) {
            return Err(AdmissionError::RateLimited { retry_after: self.with_jitter(wait) });
        }
        if state.calls.values().sum::<usize>() >= max_in_session {
            return Err(AdmissionError::SessionCalls { max: max_in_session });
        }
        if of_customer >= max_of_customer {
            return Err(AdmissionError::CustomerCalls { max: max_of_customer });
        }
        *state.calls.entry(customer).or_default() += 1;
        *self.customers.entry(customer).or_default() += 1;
        Ok(())
    }

    /// A call that [`SessionLimiter::admit_offer`] counted has ended.
    pub fn end_call(&mut self, session: SessionId, customer: CustomerId) {
        let Some(state) = self.sessions.get_mut(&session) else { return };
        if subtract(&mut state.calls, customer, 1) {
            subtract(&mut self.customers, customer, 1);
        }
    }

    /// Calls in progress of a session by customer.
    pub fn calls_by_customer(&self, session: SessionId) -> impl Iterator<Item = (CustomerId, usize)> {
        let calls = self.sessions.get(&session).map(|state| &state.calls);
        calls.into_iter().flatten().map(|(customer, count)| (*customer, *count))
    }

    /// The customers with the most calls in progress, at most `max`, in descending order of calls.
    pub fn customers_by_calls(&self, max: usize) -> Vec<(CustomerId, usize)> {
        let mut customers: Vec<_> =
            self.customers.iter().map(|(customer, count)| (*customer, *count)).collect();
        customers.sort_by_key(|(customer, count)| (std::cmp::Reverse(*count), *customer));
        customers.truncate(max);
        customers
    }

    /// Removes a session and its calls.
    pub fn close(&mut self, session: SessionId) {
        let calls = self.sessions.remove(&session).map(|state| state.calls).unwrap_or_default();
        calls.into_iter().for_each(|(customer, count)| _ = subtract(&mut self.customers, customer, count));
    }

    /// A retry time of at least `least`, with jitter added.
    pub fn with_jitter(&mut self, least: Duration) -> Duration {
        Duration::try_from_secs_f64(least.as_secs_f64() * (1.0 + MAX_JITTER * self.rng.next_f64()))
            .unwrap_or(least)
    }
}

/// Reduces the count of a customer and removes it at zero. `false`: the customer has no entry.
fn subtract(counts: &mut BTreeMap<CustomerId, usize>, customer: CustomerId, by: usize) -> bool {
    let Some(count) = counts.get_mut(&customer) else { return false };
    *count = count.saturating_sub(by);
    if *count == 0 {
        counts.remove(&customer);
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Duration = Duration::from_secs(5);
    const CUSTOMER: CustomerId = CustomerId(1);

    fn limiter_with(change: impl FnOnce(&mut Limits)) -> SessionLimiter {
        let mut limits = Limits::default();
        change(&mut limits);
        SessionLimiter::new(NOW, limits, 1)
    }

    fn open(limiter: &mut SessionLimiter) -> SessionId {
        match limiter.open(NOW) {
            OpenOutcome::Open(id) => id,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn sessions_open_at_the_limited_rate_up_to_the_maximum() {
        let mut limiter = limiter_with(|limits| {
            (limits.max_sessions, limits.opens_per_s, limits.open_burst) = (30, 10.0, 20.0)
        });
        let opened = (0..100).filter(|_| matches!(limiter.open(NOW), OpenOutcome::Open(_))).count();
        assert_eq!(opened, 20);
        let OpenOutcome::RateLimited(wait) = limiter.open(NOW) else { panic!("not rate limited") };
        assert!(matches!(limiter.open(NOW + wait + Duration::from_micros(1)), OpenOutcome::Open(_)));
        let later = NOW + Duration::from_secs(60);
        assert_eq!((0..100).filter(|_| matches!(limiter.open(later), OpenOutcome::Open(_))).count(), 9);
        assert_eq!(limiter.open(later), OpenOutcome::Full);
    }

    #[test]
    fn a_session_that_offers_ten_times_its_rate_is_limited_and_a_slow_one_is_not() {
        let mut limiter = limiter_with(|limits| (limits.offers_per_s, limits.offer_burst) = (10.0, 10.0));
        let (fast, slow) = (open(&mut limiter), open(&mut limiter));
        let (mut fast_admitted, mut slow_admitted) = (0, 0);
        for ms in 0..10_000 {
            let now = NOW + Duration::from_millis(ms);
            fast_admitted += u32::from(ms % 10 == 0 && limiter.admit_offer(now, fast, CUSTOMER).is_ok());
            slow_admitted += u32::from(ms % 200 == 0 && limiter.admit_offer(now, slow, CUSTOMER).is_ok());
        }
        assert!((105..=111).contains(&fast_admitted), "{fast_admitted}");
        assert_eq!(slow_admitted, 50);
    }

    #[test]
    fn the_calls_of_a_session_are_removed_when_it_closes() {
        let mut limiter =
            limiter_with(|limits| (limits.max_calls_per_session, limits.max_calls_per_customer) = (3, 5));
        let (first, second) = (open(&mut limiter), open(&mut limiter));
        assert!((0..3).all(|_| limiter.admit_offer(NOW, first, CUSTOMER).is_ok()));
        assert_eq!(limiter.admit_offer(NOW, first, CUSTOMER), Err(AdmissionError::SessionCalls { max: 3 }));
        assert!((0..2).all(|_| limiter.admit_offer(NOW, second, CUSTOMER).is_ok()));
        assert_eq!(limiter.admit_offer(NOW, second, CUSTOMER), Err(AdmissionError::CustomerCalls { max: 5 }));
        assert_eq!(
            (limiter.calls_by_customer(second).collect::<Vec<_>>(), limiter.customers_by_calls(3)),
            (vec![(CUSTOMER, 2)], vec![(CUSTOMER, 5)])
        );
        limiter.end_call(second, CUSTOMER);
        limiter.end_call(second, CustomerId(9));
        limiter.close(first);
        assert_eq!((limiter.customer_calls(CUSTOMER), limiter.sessions()), (1, 1));
        assert_eq!(limiter.admit_offer(NOW, first, CUSTOMER), Err(AdmissionError::NoSession));
        limiter.close(second);
        assert!(limiter.customers.is_empty());
    }

    #[test]
    fn retry_times_are_spread_by_jitter() {
        let mut limiter = limiter_with(|_| {});
        let least = Duration::from_millis(100);
        let retry_times: std::collections::BTreeSet<_> =
            (0..50).map(|_| limiter.with_jitter(least)).collect();
        assert!(
            retry_times.len() > 40 && retry_times.iter().all(|time| (least..least * 3 / 2).contains(time))
        );
    }
}
