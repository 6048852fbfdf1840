//! For clients: when one that lost its connection, or was turned away, comes back, and when a refused call is offered again.
//!
//! The same that the exchanges hold to among themselves: a wait that was told is kept, what is left to choose is jittered and
//! grows with each failure, and repeated attempts are paid for from a capped balance that first attempts earn. Many clients
//! that lost the same controller do not return in one wave, and do not press it harder the less it can do.

use std::time::Duration;

use mintstall::random::MwcRng;

/// A connection that is dialled anew.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReconnectPolicy {
    /// The wait after the first failure, doubled with each up to the last; each is drawn from the upper half of it.
    pub initial_delay: Duration,
    pub max_delay: Duration,
    /// A connection that held for so long was a success: failures before it are forgotten.
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
    plan: ReconnectPolicy,
    chance: MwcRng,
    failures: u32,
    opened: Option<Duration>,
    /// When what was open last was lost.
    lost: Option<Duration>,
}

impl ReconnectBackoff {
    pub fn new(plan: ReconnectPolicy, seed: u64) -> Self {
        Self { plan, chance: MwcRng::new(seed), failures: 0, opened: None, lost: None }
    }

    /// The connection is open.
    pub fn on_open(&mut self, now: Duration) {
        self.opened = Some(now);
        self.lost = None;
    }

    /// It is lost, or was not to be had; `told`: the wait that the server asked for; `kept`: how long the server keeps the
    /// session that it carried. Returns when to dial.
    pub fn on_failure(&mut self, now: Duration, told: Option<Duration>, kept: Duration) -> Duration {
        let lost = *self.lost.get_or_insert(now);
        if self.opened.take().is_some_and(|opened| now.saturating_sub(opened) >= self.plan.stable_after) {
            self.failures = 0;
        }
        let grown =
            self.plan.initial_delay.saturating_mul(1 << self.failures.min(16)).min(self.plan.max_delay);
        self.failures = self.failures.saturating_add(1);
        // Guards against coming back to a session that is over: while it is kept there are some tries to take it up.
        let grown = if now < lost + kept { grown.min(kept / 4) } else { grown };
        let drawn = grown.mul_f64(0.5 + 0.5 * self.chance.next_f64());
        // All that were told the same wait would return together: they spread behind it.
        now + told.map_or(drawn, |told| told + drawn)
    }
}

/// What a client may offer again before any first offer has credit_per_offer it. The controller starts with as much and earns as much,
/// one in ten: two such balances one behind the other make 1.21 tries of a call, and no more however many fail.
const SAVED_AT_START: f64 = 2.0;

/// Calls that are offered again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RedialPolicy {
    /// Offers of one call, the first among them.
    pub max_offers: u8,
    /// The wait before the second, doubled with each further one.
    pub initial_delay: Duration,
    /// What each first offer earns towards a second, and how much may be saved up.
    pub credit_per_offer: f64,
    pub max_credit: f64,
    /// A call that could not stand in less is not offered again.
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
    #[error("it was offered {0} times")]
    TooManyOffers(u8),
    #[error("its caller's time would be up")]
    TooLate,
    #[error("too much was offered again lately")]
    NoCredit,
}

#[derive(Debug)]
pub struct RedialBudget {
    plan: RedialPolicy,
    chance: MwcRng,
    saved: f64,
}

impl RedialBudget {
    pub fn new(plan: RedialPolicy, seed: u64) -> Self {
        Self { plan, chance: MwcRng::new(seed), saved: plan.max_credit.min(SAVED_AT_START) }
    }

    /// A call is offered for the first time.
    pub fn on_first_offer(&mut self) {
        self.saved = (self.saved + self.plan.credit_per_offer).min(self.plan.max_credit);
    }

    /// A call was refused (with a wait, where one was told) or failed, after so many offers; its caller waits until
    /// `until`. Returns when to offer it again; its credit is spent.
    pub fn next_offer_at(
        &mut self,
        now: Duration,
        until: Duration,
        offers: u8,
        told: Option<Duration>,
    ) -> Result<Duration, RedialDenied> {
        if offers >= self.plan.max_offers {
            return Err(RedialDenied::TooManyOffers(offers));
        }
        let grown = self.plan.initial_delay.saturating_mul(1 << u32::from(offers.saturating_sub(1)).min(16));
        let drawn = grown.mul_f64(0.5 + 0.5 * self.chance.next_f64());
        // All callers are told alike: they spread behind what they were told.
        let at = now + told.map_or(drawn, |told| told + drawn);
        if at + self.plan.min_time_left > until {
            return Err(RedialDenied::TooLate);
        }
        if self.saved < 1.0 {
            return Err(RedialDenied::NoCredit);
        }
        self.saved -= 1.0;
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
    fn a_session_that_is_kept_is_come_back_for_in_time_however_often_it_was_cut() {
        let mut back = ReconnectBackoff::new(ReconnectPolicy::default(), 7);
        (0..10).for_each(|_| _ = back.on_failure(ms(0), None, NONE));
        back.on_open(ms(100));
        let (mut now, mut tries) = (ms(200), 0);
        while now < ms(3200) {
            now = back.on_failure(now, None, ms(3000));
            tries += 1;
        }
        assert!(tries >= 4, "{tries}");
        assert!(back.on_failure(now, None, ms(3000)) - now >= ms(5000), "it is over");
    }

    #[test]
    fn waits_grow_to_the_last_and_a_told_wait_is_kept() {
        let mut back = ReconnectBackoff::new(ReconnectPolicy::default(), 7);
        let waits: Vec<_> = (0..12).map(|_| back.on_failure(ms(0), None, NONE)).collect();
        for (no, wait) in waits.iter().enumerate() {
            let whole = ms(100 * (1 << no.min(20))).min(ms(10_000));
            assert!(*wait >= whole / 2 && *wait <= whole, "{no}: {wait:?}");
        }
        let mut back = ReconnectBackoff::new(ReconnectPolicy::default(), 7);
        let told = back.on_failure(ms(0), Some(ms(3000)), NONE);
        assert!(told >= ms(3050) && told <= ms(3100), "{told:?}");
    }

    #[test]
    fn only_a_connection_that_held_makes_failures_forgotten() {
        let mut back = ReconnectBackoff::new(ReconnectPolicy::default(), 7);
        (0..8).for_each(|_| _ = back.on_failure(ms(0), None, NONE));
        back.on_open(ms(0));
        assert!(back.on_failure(ms(500), None, NONE) - ms(500) >= ms(5000), "it flaps");
        back.on_open(ms(0));
        assert!(back.on_failure(ms(20_000), None, NONE) - ms(20_000) <= ms(100));
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
    fn a_call_is_offered_again_within_its_time_and_number_and_after_the_told_wait() {
        let mut redial = RedialBudget::new(RedialPolicy::default(), 1);
        let at = redial.next_offer_at(ms(0), ms(3000), 1, Some(ms(900))).unwrap();
        assert!(at >= ms(900 + 125) && at <= ms(900 + 250), "{at:?}");
        assert!(redial.next_offer_at(ms(0), ms(3000), 1, None).unwrap() >= ms(125));
        assert_eq!(redial.next_offer_at(ms(0), ms(3000), 3, None), Err(RedialDenied::TooManyOffers(3)));
        assert_eq!(redial.next_offer_at(ms(0), ms(1000), 1, Some(ms(900))), Err(RedialDenied::TooLate));
    }

    #[test]
    fn what_is_offered_again_is_paid_for_by_first_offers() {
        let plan = RedialPolicy { max_credit: 2.0, credit_per_offer: 0.25, ..RedialPolicy::default() };
        let mut redial = RedialBudget::new(plan, 1);
        let mut again = || redial.next_offer_at(ms(0), ms(9000), 1, None).is_ok();
        assert_eq!([again(), again(), again()], [true, true, false]);
        (0..4).for_each(|_| redial.on_first_offer());
        assert!(redial.next_offer_at(ms(0), ms(9000), 1, None).is_ok());
        assert_eq!(redial.next_offer_at(ms(0), ms(9000), 1, None), Err(RedialDenied::NoCredit));
        (0..100).for_each(|_| redial.on_first_offer());
        let again = (0..5).filter(|_| redial.next_offer_at(ms(0), ms(9000), 1, None).is_ok()).count();
        assert_eq!(again, 2, "no more than may be saved");
    }
}
