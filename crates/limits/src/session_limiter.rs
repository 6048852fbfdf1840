//! Sessions: how many there may be, how fast they open, and what each and each customer may have in hand.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall::interface::CustomerId;
use mintstall::random::MwcRng;
use thiserror::Error;

use crate::token_bucket::TokenBucket;

/// One connection on which calls are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// What may be in hand, and how fast it may come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub max_sessions: usize,
    /// Sessions opened a second, and at once: an accept storm is paced, those already open keep their service.
    pub opens_per_s: f64,
    pub open_burst: f64,
    pub max_calls_per_session: usize,
    pub max_calls_per_customer: usize,
    /// Offers of one session a second, and at once.
    pub offers_per_s: f64,
    pub offer_burst: f64,
    /// Requests of one session of any kind, a second and at once.
    pub requests_per_s: f64,
    pub request_burst: f64,
    /// Offers that may be with the decisions, not answered yet; what comes beyond takes turns.
    pub max_unanswered: usize,
    /// Offers that may wait for their turn, and for which share of their callers' time.
    pub max_waiting: usize,
    pub max_wait_share: f64,
}

impl Default for Limits {
    /// For a release night on one controller: ten thousand sessions, of which a client that behaves notices nothing.
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

/// Why something was not let in. `retry_after`: when it may be, jittered so that those refused do not return together.
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

/// What becomes of a connection that wants to be a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    Open(SessionId),
    /// Too many open at once: to be looked at again after this.
    RateLimited(Duration),
    Full,
}

#[derive(Debug)]
struct Session {
    offers: TokenBucket,
    requests: TokenBucket,
    /// Calls in hand by customer. Emptied as calls end.
    calls: BTreeMap<CustomerId, usize>,
}

/// Who is there and what they have in hand.
#[derive(Debug)]
pub struct SessionLimiter {
    limits: Limits,
    chance: MwcRng,
    opens: TokenBucket,
    next: u64,
    /// Emptied as sessions close; at most `limits.max_sessions`.
    sessions: BTreeMap<SessionId, Session>,
    /// Calls in hand. Emptied as calls end.
    customers: BTreeMap<CustomerId, usize>,
}

/// Those told to come back do so within this share more than the least.
const SPREAD: f64 = 0.5;

impl SessionLimiter {
    pub fn new(now: Duration, limits: Limits, seed: u64) -> Self {
        Self {
            opens: TokenBucket::new(now, limits.opens_per_s, limits.open_burst),
            limits,
            chance: MwcRng::new(seed),
            next: 0,
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
        self.next += 1;
        let no = SessionId(self.next);
        let offers = TokenBucket::new(now, self.limits.offers_per_s, self.limits.offer_burst);
        let requests = TokenBucket::new(now, self.limits.requests_per_s, self.limits.request_burst);
        self.sessions.insert(no, Session { offers, requests, calls: BTreeMap::new() });
        OpenOutcome::Open(no)
    }

    /// A request of any kind: read, or turned down with the wait until the next is.
    pub fn check_request(&mut self, now: Duration, session: SessionId) -> Result<(), AdmissionError> {
        let held = self.sessions.get_mut(&session).ok_or(AdmissionError::NoSession)?;
        held.requests
            .take(now)
            .map_err(|wait| AdmissionError::RateLimited { retry_after: self.with_jitter(wait) })
    }

    /// An offer: taken in hand, or refused. What is taken is given back by [`SessionLimiter::end_call`].
    pub fn admit_offer(
        &mut self,
        now: Duration,
        session: SessionId,
        customer: CustomerId,
    ) -> Result<(), AdmissionError> {
        let (in_session, in_all) = (self.limits.max_calls_per_session, self.limits.max_calls_per_customer);
        let of_customer = self.customer_calls(customer);
        let held = self.sessions.get_mut(&session).ok_or(AdmissionError::NoSession)?;
        if let Err(wait) = held.offers.take(now) {
            return Err(AdmissionError::RateLimited { retry_after: self.with_jitter(wait) });
        }
        if held.calls.values().sum::<usize>() >= in_session {
            return Err(AdmissionError::SessionCalls { max: in_session });
        }
        if of_customer >= in_all {
            return Err(AdmissionError::CustomerCalls { max: in_all });
        }
        *held.calls.entry(customer).or_default() += 1;
        *self.customers.entry(customer).or_default() += 1;
        Ok(())
    }

    /// A call that was taken in hand is over.
    pub fn end_call(&mut self, session: SessionId, customer: CustomerId) {
        let Some(held) = self.sessions.get_mut(&session) else { return };
        if less(&mut held.calls, customer, 1) {
            less(&mut self.customers, customer, 1);
        }
    }

    /// What a session has in hand, by customer, for a look from outside.
    pub fn calls_by_customer(&self, session: SessionId) -> impl Iterator<Item = (CustomerId, usize)> {
        let calls = self.sessions.get(&session).map(|held| &held.calls);
        calls.into_iter().flatten().map(|(customer, count)| (*customer, *count))
    }

    /// Customers by how much they have in hand, max first: who presses.
    pub fn customers_by_calls(&self, max: usize) -> Vec<(CustomerId, usize)> {
        let mut all: Vec<_> = self.customers.iter().map(|(customer, count)| (*customer, *count)).collect();
        all.sort_by_key(|(customer, count)| (std::cmp::Reverse(*count), *customer));
        all.truncate(max);
        all
    }

    /// The session is gone, and with it all it had in hand.
    pub fn close(&mut self, session: SessionId) {
        let calls = self.sessions.remove(&session).map(|held| held.calls).unwrap_or_default();
        calls.into_iter().for_each(|(customer, count)| _ = less(&mut self.customers, customer, count));
    }

    /// A time to come back, spread over what follows it.
    pub fn with_jitter(&mut self, least: Duration) -> Duration {
        Duration::try_from_secs_f64(least.as_secs_f64() * (1.0 + SPREAD * self.chance.next_f64()))
            .unwrap_or(least)
    }
}

/// Takes off a count, and the entry with the last of it. `false`: there was none.
fn less(counts: &mut BTreeMap<CustomerId, usize>, customer: CustomerId, by: usize) -> bool {
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
    const ONE: CustomerId = CustomerId(1);

    fn gate(change: impl FnOnce(&mut Limits)) -> SessionLimiter {
        let mut limits = Limits::default();
        change(&mut limits);
        SessionLimiter::new(NOW, limits, 1)
    }

    fn open(gate: &mut SessionLimiter) -> SessionId {
        match gate.open(NOW) {
            OpenOutcome::Open(no) => no,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn an_accept_storm_is_paced_and_ends_at_the_limit() {
        let mut gate =
            gate(|limits| (limits.max_sessions, limits.opens_per_s, limits.open_burst) = (30, 10.0, 20.0));
        let opened = (0..100).filter(|_| matches!(gate.open(NOW), OpenOutcome::Open(_))).count();
        assert_eq!(opened, 20);
        let OpenOutcome::RateLimited(wait) = gate.open(NOW) else { panic!("not paced") };
        assert!(matches!(gate.open(NOW + wait + Duration::from_micros(1)), OpenOutcome::Open(_)));
        let later = NOW + Duration::from_secs(60);
        assert_eq!((0..100).filter(|_| matches!(gate.open(later), OpenOutcome::Open(_))).count(), 9);
        assert_eq!(gate.open(later), OpenOutcome::Full);
    }

    #[test]
    fn a_session_at_ten_times_its_rate_is_held_to_it_and_the_quiet_one_is_not() {
        let mut gate = gate(|limits| (limits.offers_per_s, limits.offer_burst) = (10.0, 10.0));
        let (greedy, quiet) = (open(&mut gate), open(&mut gate));
        let (mut of_greedy, mut of_quiet) = (0, 0);
        for ms in 0..10_000 {
            let now = NOW + Duration::from_millis(ms);
            of_greedy += u32::from(ms % 10 == 0 && gate.admit_offer(now, greedy, ONE).is_ok());
            of_quiet += u32::from(ms % 200 == 0 && gate.admit_offer(now, quiet, ONE).is_ok());
        }
        assert!((105..=111).contains(&of_greedy), "{of_greedy}");
        assert_eq!(of_quiet, 50);
    }

    #[test]
    fn what_a_session_had_in_hand_is_given_back_when_it_goes() {
        let mut gate = gate(|limits| (limits.max_calls_per_session, limits.max_calls_per_customer) = (3, 5));
        let (one, other) = (open(&mut gate), open(&mut gate));
        assert!((0..3).all(|_| gate.admit_offer(NOW, one, ONE).is_ok()));
        assert_eq!(gate.admit_offer(NOW, one, ONE), Err(AdmissionError::SessionCalls { max: 3 }));
        assert!((0..2).all(|_| gate.admit_offer(NOW, other, ONE).is_ok()));
        assert_eq!(gate.admit_offer(NOW, other, ONE), Err(AdmissionError::CustomerCalls { max: 5 }));
        assert_eq!(
            (gate.calls_by_customer(other).collect::<Vec<_>>(), gate.customers_by_calls(3)),
            (vec![(ONE, 2)], vec![(ONE, 5)])
        );
        gate.end_call(other, ONE);
        gate.end_call(other, CustomerId(9));
        gate.close(one);
        assert_eq!((gate.customer_calls(ONE), gate.sessions()), (1, 1));
        assert_eq!(gate.admit_offer(NOW, one, ONE), Err(AdmissionError::NoSession));
        gate.close(other);
        assert!(gate.customers.is_empty());
    }

    #[test]
    fn those_told_to_come_back_do_not_return_together() {
        let mut gate = gate(|_| {});
        let least = Duration::from_millis(100);
        let told: std::collections::BTreeSet<_> = (0..50).map(|_| gate.with_jitter(least)).collect();
        assert!(told.len() > 40 && told.iter().all(|told| (least..least * 3 / 2).contains(told)));
    }
}
