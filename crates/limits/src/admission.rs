//! Admission of offers: an offer is passed to the controller at once, queued, or refused with a retry time.
//!
//! The number of offers that the controller has not answered is limited. Further offers are queued, and customers are served by
//! their shares. An offer is queued for a limited share of its caller's time: a call that is refused early can be tried
//! elsewhere, or again.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall::interface::CustomerId;

use crate::fair_queue::FairQueue;
use crate::session_limiter::{AdmissionError, Limits, OpenOutcome, SessionId, SessionLimiter};

#[derive(Debug, PartialEq, Eq)]
pub enum AdmissionDecision<T> {
    /// To be passed to the controller at once.
    Admit(T),
    /// The offer waits, and is admitted or refused later.
    Queued,
    Refused(T, AdmissionError),
}

/// A queued offer.
#[derive(Debug)]
struct QueuedOffer<T> {
    session: SessionId,
    customer: CustomerId,
    item: T,
}

/// Whether offers are queued; each change is logged once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Normal,
    Queueing { since: Duration, queued: usize },
}

#[derive(Debug)]
pub struct Admission<T> {
    pub session_limiter: SessionLimiter,
    queue: FairQueue<QueuedOffer<T>>,
    /// Admitted offers without a final answer.
    unanswered: usize,
    mode: Mode,
}

/// The shortest retry time of an offer that is refused because of overload.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

impl<T> Admission<T> {
    pub fn new(now: Duration, limits: Limits, shares: BTreeMap<CustomerId, f64>, seed: u64) -> Self {
        let queue = FairQueue::new(limits.max_waiting, shares);
        Self {
            session_limiter: SessionLimiter::new(now, limits, seed),
            queue,
            unanswered: 0,
            mode: Mode::Normal,
        }
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    pub fn open_session(&mut self, now: Duration) -> OpenOutcome {
        self.session_limiter.open(now)
    }

    /// Decides on an offer whose caller waits for `time_left`. If another offer is evicted from the queue for it, that offer is
    /// refused and returned as well.
    pub fn offer(
        &mut self,
        now: Duration,
        session: SessionId,
        customer: CustomerId,
        time_left: Duration,
        item: T,
        log: &mut dyn FnMut(&str),
    ) -> (AdmissionDecision<T>, Option<(T, AdmissionError)>) {
        if let Err(error) = self.session_limiter.admit_offer(now, session, customer) {
            return (AdmissionDecision::Refused(item, error), None);
        }
        if self.unanswered < self.session_limiter.limits().max_unanswered && self.queue.is_empty() {
            self.unanswered += 1;
            return (AdmissionDecision::Admit(item), None);
        }
        if self.mode == Mode::Normal {
            self.mode = Mode::Queueing { since: now, queued: 0 };
            log(&format!(
                "admission overloaded: {} offers unanswered, queueing further offers",
                self.unanswered
            ));
        }
        if let Mode::Queueing { queued, .. } = &mut self.mode {
            *queued += 1;
        }
        let deadline = now + time_left.mul_f64(self.session_limiter.limits().max_wait_share.clamp(0.0, 1.0));
        let evicted = self.queue.push(customer, 1.0, deadline, QueuedOffer { session, customer, item });
        let evicted = evicted.map(|evicted| self.refuse(evicted.0));
        (AdmissionDecision::Queued, evicted)
    }

    fn refuse(&mut self, queued_offer: QueuedOffer<T>) -> (T, AdmissionError) {
        self.session_limiter.end_call(queued_offer.session, queued_offer.customer);
        (
            queued_offer.item,
            AdmissionError::Overloaded { retry_after: self.session_limiter.with_jitter(MIN_RETRY_AFTER) },
        )
    }

    /// An admitted offer got its final answer. `stands`: the call stays in progress. Returns the queued offers that are admitted
    /// now, to be passed to the controller.
    pub fn on_answer(
        &mut self,
        now: Duration,
        session: SessionId,
        customer: CustomerId,
        stands: bool,
        log: &mut dyn FnMut(&str),
    ) -> Vec<T> {
        self.unanswered = self.unanswered.saturating_sub(1);
        if !stands {
            self.session_limiter.end_call(session, customer);
        }
        let mut next = Vec::new();
        while self.unanswered < self.session_limiter.limits().max_unanswered
            && let Some(queued_offer) = self.queue.pop()
        {
            self.unanswered += 1;
            next.push(queued_offer.item);
        }
        self.end_queueing_if_empty(now, log);
        next
    }

    /// A standing call has ended.
    pub fn end_call(&mut self, session: SessionId, customer: CustomerId) {
        self.session_limiter.end_call(session, customer);
    }

    /// Removes a session and returns its queued offers. Its admitted offers count as unanswered until the controller answers
    /// them.
    pub fn close_session(&mut self, now: Duration, session: SessionId, log: &mut dyn FnMut(&str)) -> Vec<T> {
        let dropped = self.queue.remove(|queued_offer| queued_offer.session == session);
        self.session_limiter.close(session);
        self.end_queueing_if_empty(now, log);
        dropped.into_iter().map(|queued_offer| queued_offer.item).collect()
    }

    /// Removes one queued offer.
    pub fn withdraw(
        &mut self,
        now: Duration,
        matches: impl Fn(&T) -> bool,
        log: &mut dyn FnMut(&str),
    ) -> Option<T> {
        let mut removed = self.queue.remove(|queued_offer| matches(&queued_offer.item));
        let queued_offer = removed.pop()?;
        self.session_limiter.end_call(queued_offer.session, queued_offer.customer);
        self.end_queueing_if_empty(now, log);
        Some(queued_offer.item)
    }

    /// Refuses all queued offers.
    pub fn drain(&mut self) -> Vec<(T, AdmissionError)> {
        let waiting = self.queue.remove(|_| true);
        waiting.into_iter().map(|queued_offer| self.refuse(queued_offer)).collect()
    }

    /// Changes the queued offers in place.
    pub fn for_each_waiting(&mut self, mut change: impl FnMut(&mut T)) {
        self.queue.for_each(|queued_offer| change(&mut queued_offer.item));
    }

    /// When [`Admission::on_timer`] must be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.queue.next_expiry()
    }

    /// Refuses the queued offers that have waited for too long.
    pub fn on_timer(&mut self, now: Duration, log: &mut dyn FnMut(&str)) -> Vec<(T, AdmissionError)> {
        let expired = self.queue.take_expired(now);
        let refused = expired.into_iter().map(|queued_offer| self.refuse(queued_offer)).collect();
        self.end_queueing_if_empty(now, log);
        refused
    }

    fn end_queueing_if_empty(&mut self, now: Duration, log: &mut dyn FnMut(&str)) {
        if let Mode::Queueing { since, queued } = self.mode
            && self.queue.is_empty()
        {
            self.mode = Mode::Normal;
            log(&format!(
                "admission back to normal after {:.1?}: {queued} offers were queued",
                now.saturating_sub(since)
            ));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: CustomerId = CustomerId(1);
    const TWO: CustomerId = CustomerId(2);
    const TIME_LEFT: Duration = Duration::from_secs(4);

    struct Fixture {
        admission: Admission<u64>,
        now: Duration,
        log: Vec<String>,
    }

    impl Fixture {
        fn new(unanswered: usize, waiting: usize) -> Self {
            let limits = Limits { max_unanswered: unanswered, max_waiting: waiting, ..Limits::default() };
            let now = Duration::from_secs(1);
            Self { admission: Admission::new(now, limits, BTreeMap::new(), 1), now, log: Vec::new() }
        }

        fn open(&mut self) -> SessionId {
            let OpenOutcome::Open(id) = self.admission.open_session(self.now) else { panic!("not opened") };
            id
        }

        fn offer(
            &mut self,
            session: SessionId,
            customer: CustomerId,
            number: u64,
        ) -> (AdmissionDecision<u64>, Option<(u64, AdmissionError)>) {
            let log = &mut |line: &str| self.log.push(line.to_string());
            self.admission.offer(self.now, session, customer, TIME_LEFT, number, log)
        }

        fn on_answer(&mut self, session: SessionId, customer: CustomerId, stands: bool) -> Vec<u64> {
            let log = &mut |line: &str| self.log.push(line.to_string());
            self.admission.on_answer(self.now, session, customer, stands, log)
        }
    }

    #[test]
    fn offers_are_admitted_at_once_until_too_many_are_unanswered() {
        let mut fixture = Fixture::new(2, 10);
        let session = fixture.open();
        assert_eq!(fixture.offer(session, ONE, 1).0, AdmissionDecision::Admit(1));
        assert_eq!(fixture.offer(session, ONE, 2).0, AdmissionDecision::Admit(2));
        assert_eq!(fixture.offer(session, ONE, 3).0, AdmissionDecision::Queued);
        assert_eq!(fixture.on_answer(session, ONE, true), [3]);
        assert_eq!(
            (fixture.admission.unanswered(), fixture.admission.waiting(), fixture.log.len()),
            (2, 0, 2)
        );
        assert!(
            fixture.log[0].contains("overloaded") && fixture.log[1].contains("back to normal"),
            "{:?}",
            fixture.log
        );
    }

    #[test]
    fn a_customer_with_one_offer_is_served_beside_one_with_many() {
        let mut fixture = Fixture::new(1, 1000);
        let (busy, quiet) = (fixture.open(), fixture.open());
        fixture.offer(busy, ONE, 0);
        (1..500).for_each(|number| _ = fixture.offer(busy, ONE, number));
        fixture.offer(quiet, TWO, 1000);
        let admitted: Vec<_> = (0..3).flat_map(|_| fixture.on_answer(busy, ONE, false)).collect();
        assert!(admitted.contains(&1000), "{admitted:?}");
    }

    #[test]
    fn an_offer_queued_too_long_is_refused_with_a_retry_time_and_no_longer_counted() {
        let mut fixture = Fixture::new(1, 10);
        let session = fixture.open();
        fixture.offer(session, ONE, 1);
        fixture.offer(session, ONE, 2);
        assert_eq!(fixture.admission.next_timer(), Some(fixture.now + TIME_LEFT / 4));
        fixture.now += TIME_LEFT / 4;
        let refused = fixture.admission.on_timer(fixture.now, &mut |_| {});
        assert!(
            matches!(refused[..], [(2, AdmissionError::Overloaded { retry_after })] if retry_after >= MIN_RETRY_AFTER)
        );
        assert_eq!(
            (fixture.admission.session_limiter.customer_calls(ONE), fixture.admission.next_timer()),
            (1, None)
        );
    }

    #[test]
    fn closing_a_session_removes_its_queued_offers() {
        let mut fixture = Fixture::new(1, 10);
        let (closing, other) = (fixture.open(), fixture.open());
        fixture.offer(closing, ONE, 1);
        fixture.offer(closing, ONE, 2);
        fixture.offer(other, TWO, 3);
        assert_eq!(fixture.admission.close_session(fixture.now, closing, &mut |_| {}), [2]);
        // Its admitted offer still counts until it is answered.
        assert_eq!(fixture.admission.unanswered(), 1);
        assert_eq!(fixture.on_answer(closing, ONE, false), [3]);
        assert_eq!(
            (
                fixture.admission.session_limiter.customer_calls(ONE),
                fixture.admission.session_limiter.customer_calls(TWO)
            ),
            (0, 1)
        );
    }

    #[test]
    fn an_offer_leaves_once_whether_evicted_expired_or_admitted() {
        let mut fixture = Fixture::new(1, 2);
        let session = fixture.open();
        let mut left = Vec::new();
        for number in 0..6 {
            let (decision, evicted) = fixture.offer(session, ONE, number);
            left.extend(evicted.map(|(number, _)| number));
            if let AdmissionDecision::Admit(number) = decision {
                left.push(number);
            }
        }
        left.extend(fixture.on_answer(session, ONE, false));
        fixture.now += TIME_LEFT;
        left.extend(
            fixture.admission.on_timer(fixture.now, &mut |_| {}).into_iter().map(|(number, _)| number),
        );
        left.sort_unstable();
        assert_eq!(left, [0, 1, 2, 3, 4, 5]);
        assert_eq!(fixture.admission.session_limiter.customer_calls(ONE), 1, "the admitted one");
    }
}
