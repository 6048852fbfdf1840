//! Client: when to reconnect after a lost or rejected connection, and when to offer a refused call again.
//!
//! The same rules as among the exchanges: a wait that the server asked for is kept, the client's own back-off is jittered and
//! grows with each failure, and retries are paid for from a capped credit that first attempts earn. Thus many clients that lost
//! the same controller do not return in one wave, and do not load a controller more the less capacity it has.

use std::time::Duration;

use mintstall::random::MwcRng;

/// Back-off of connection attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReconnectPolicy {
    /// Delay after the first failure. It doubles with each further failure up to `max_delay`; the delay used is drawn from the
    /// upper half.
    pub initial_delay: Duration,
    pub max_delay: Duration,
    /// A connection that was open for this long resets the count of failures.
    pub stable_after: Duration,
}

impl Default for ReconnectPolicy {
    fn default() -> Self {
        Self {
            initial_delay: Duration::from_millis(100),
            max_delay: Duration::from_secs(10),
            stable_after: Duration::from_secs(10),
        }
    }
}

#[derive(Debug)]
pub struct ReconnectBackoff {
    policy: ReconnectPolicy,
    rng: MwcRng,
    failures: u32,
    opened_at: Option<Duration>,
    /// When the last open connection was lost; without one, when the first attempt failed.
    lost_at: Option<Duration>,
}

impl ReconnectBackoff {
    pub fn new(policy: ReconnectPolicy, seed: u64) -> Self {
        Self { policy, rng: MwcRng::new(seed), failures: 0, opened_at: None, lost_at: None }
    }

    /// The connection is open.
    pub fn on_open(&mut self, now: Duration) {
        self.opened_at = Some(now);
        self.lost_at = None;
    }

    /// The connection was lost, or the attempt failed. `retry_after`: the wait that the server asked for. `session_kept`: how
    /// long the server keeps the session of the connection. Returns when to connect.
    pub fn on_failure(
        &mut self,
        now: Duration,
        retry_after: Option<Duration>,
        session_kept: Duration,
    ) -> Duration {
        let lost_at = *self.lost_at.get_or_insert(now);
        if self.opened_at.take().is_some_and(|opened| now.saturating_sub(opened) >= self.policy.stable_after)
        {
            self.failures = 0;
        }
        let delay =
            self.policy.initial_delay.saturating_mul(1 << self.failures.min(16)).min(self.policy.max_delay);
        self.failures = self.failures.saturating_add(1);
        // Several attempts fit into the time that the session is kept, so that it can be resumed before it ends.
        let delay = if now < lost_at + session_kept { delay.min(session_kept / 4) } else { delay };
        let jittered = delay.mul_f64(0.5 + 0.5 * self.rng.next_f64());
        // Clients that were asked for the same wait would return together, so the jittered delay is added to it.
        now + retry_after.map_or(jittered, |wait| wait + jittered)
    }
}

/// Repeated offers that a client may make before first offers have earned any credit. The controller starts with the same credit
/// and earns at the same rate, one in ten. Two such budgets in series allow 1.21 attempts per call, however many fail.
const INITIAL_CREDIT: f64 = 2.0;

/// Limits on offering a refused or failed call again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RedialPolicy {
    /// Offers of one call, including the first.
    pub max_offers: u8,
    /// Delay before the second offer. It doubles with each further offer.
    pub initial_delay: Duration,
    /// Credit that each first offer earns; a repeated offer costs 1.
    pub credit_per_offer: f64,
    /// Credit that may be saved up.
    pub max_credit: f64,
    /// A call is not offered again if its caller would have less time left than this.
    pub min_time_left: Duration,
}

impl Default for RedialPolicy {
    fn default() -> Self {
        Self {
            max_offers: 3,
            initial_delay: Duration::from_millis(250),
            credit_per_offer: 0.1,
            max_credit: 10.0,
            min_time_left: Duration::from_millis(300),
        }
    }
}

/// Why a call is not offered again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RedialDenied {
    #[error("the call was offered {0} times already")]
    TooManyOffers(u8),
    #[error("the caller would give up before the next offer was answered")]
    TooLate,
    #[error("no retry credit is left: too many calls were offered again recently")]
    NoCredit,
}

#[derive(Debug)]
pub struct RedialBudget {
    policy: RedialPolicy,
    rng: MwcRng,
    credit: f64,
}

impl RedialBudget {
    pub fn new(policy: RedialPolicy, seed: u64) -> Self {
        Self { policy, rng: MwcRng::new(seed), credit: policy.max_credit.min(INITIAL_CREDIT) }
    }

    /// A call is offered for the first time.
    pub fn on_first_offer(&mut self) {
        self.credit = (self.credit + self.policy.credit_per_offer).min(self.policy.max_credit);
    }

    /// A call was refused or failed after `offers` offers, and its caller gives up at `deadline`. `retry_after`: the wait that
    /// the server asked for. Returns when to offer the call again, and takes the credit for it.
    pub fn next_offer_at(
        &mut self,
        now: Duration,
        deadline: Duration,
        offers: u8,
        retry_after: Option<Duration>,
    ) -> Result<Duration, RedialDenied> {
        if offers >= self.policy.max_offers {
            return Err(RedialDenied::TooManyOffers(offers));
        }
        let delay =
            self.policy.initial_delay.saturating_mul(1 << u32::from(offers.saturating_sub(1)).min(16));
        let jittered = delay.mul_f64(0.5 + 0.5 * self.rng.next_f64());
        // The server asks all callers for similar waits, so the jittered delay is added.
        let at = now + retry_after.map_or(jittered, |wait| wait + jittered);
        if at + self.policy.min_time_left > deadline {
            return Err(RedialDenied::TooLate);
        }
        if self.credit < 1.0 {
            return Err(RedialDenied::NoCredit);
        }
        self.credit -= 1.0;
        Ok(at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NONE: Duration = Duration::ZERO;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn several_reconnect_attempts_fit_into_the_time_a_session_is_kept_after_many_failures() {
        let mut backoff = ReconnectBackoff::new(ReconnectPolicy::default(), 7);
        (0..10).for_each(|_| _ = backoff.on_failure(ms(0), None, NONE));
        backoff.on_open(ms(100));
        let (mut now, mut attempts) = (ms(200), 0);
        while now < ms(3200) {
            now = backoff.on_failure(now, None, ms(3000));
            attempts += 1;
        }
        assert!(attempts >= 4, "{attempts}");
        assert!(backoff.on_failure(now, None, ms(3000)) - now >= ms(5000), "the session has ended");
    }

    #[test]
    fn delays_grow_to_the_maximum_and_the_wait_of_the_server_is_kept() {
        let mut backoff = ReconnectBackoff::new(ReconnectPolicy::default(), 7);
        let delays: Vec<_> = (0..12).map(|_| backoff.on_failure(ms(0), None, NONE)).collect();
        for (failures, delay) in delays.iter().enumerate() {
            let whole = ms(100 * (1 << failures.min(20))).min(ms(10_000));
            assert!(*delay >= whole / 2 && *delay <= whole, "{failures}: {delay:?}");
        }
        let mut backoff = ReconnectBackoff::new(ReconnectPolicy::default(), 7);
        let retry_at = backoff.on_failure(ms(0), Some(ms(3000)), NONE);
        assert!(retry_at >= ms(3050) && retry_at <= ms(3100), "{retry_at:?}");
    }

    #[test]
    fn only_a_connection_that_was_stable_resets_the_failures() {
        let mut backoff = ReconnectBackoff::new(ReconnectPolicy::default(), 7);
        (0..8).for_each(|_| _ = backoff.on_failure(ms(0), None, NONE));
        backoff.on_open(ms(0));
        assert!(
            backoff.on_failure(ms(500), None, NONE) - ms(500) >= ms(5000),
            "a short connection does not reset the failures"
        );
        backoff.on_open(ms(0));
        assert!(backoff.on_failure(ms(20_000), None, NONE) - ms(20_000) <= ms(100));
    }

    #[test]
    fn clients_that_failed_together_do_not_return_together() {
        let at: std::collections::BTreeSet<_> = (0..100)
            .map(|seed| {
                ReconnectBackoff::new(ReconnectPolicy::default(), seed)
                    .on_failure(ms(0), Some(ms(1000)), NONE)
                    .as_millis()
            })
            .collect();
        assert!(at.len() > 20, "{}", at.len());
    }

    #[test]
    fn a_call_is_offered_again_within_its_deadline_and_count_and_after_the_wait_of_the_server() {
        let mut redial = RedialBudget::new(RedialPolicy::default(), 1);
        let at = redial.next_offer_at(ms(0), ms(3000), 1, Some(ms(900))).unwrap();
        assert!(at >= ms(900 + 125) && at <= ms(900 + 250), "{at:?}");
        assert!(redial.next_offer_at(ms(0), ms(3000), 1, None).unwrap() >= ms(125));
        assert_eq!(redial.next_offer_at(ms(0), ms(3000), 3, None), Err(RedialDenied::TooManyOffers(3)));
        assert_eq!(redial.next_offer_at(ms(0), ms(1000), 1, Some(ms(900))), Err(RedialDenied::TooLate));
    }

    #[test]
    fn repeated_offers_are_paid_for_by_first_offers() {
        let policy = RedialPolicy { max_credit: 2.0, credit_per_offer: 0.25, ..RedialPolicy::default() };
        let mut redial = RedialBudget::new(policy, 1);
        let mut again = || redial.next_offer_at(ms(0), ms(9000), 1, None).is_ok();
        assert_eq!([again(), again(), again()], [true, true, false]);
        (0..4).for_each(|_| redial.on_first_offer());
        assert!(redial.next_offer_at(ms(0), ms(9000), 1, None).is_ok());
        assert_eq!(redial.next_offer_at(ms(0), ms(9000), 1, None), Err(RedialDenied::NoCredit));
        (0..100).for_each(|_| redial.on_first_offer());
        let again = (0..5).filter(|_| redial.next_offer_at(ms(0), ms(9000), 1, None).is_ok()).count();
        assert_eq!(again, 2, "no more than the maximum credit");
    }
}
