//! What becomes of an offer: it goes to the decisions at once, waits for its turn, or is refused with a time to come back.
//!
//! Only so many offers are with the decisions unanswered; while more come, customers take turns by their shares. An offer
//! waits for a share of its caller's time at the most: what is refused early can be tried elsewhere, or again.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall::interface::CustomerId;

use crate::fair_queue::FairQueue;
use crate::session_limiter::{AdmissionError, Limits, OpenOutcome, SessionId, SessionLimiter};

#[derive(Debug, PartialEq, Eq)]
pub enum AdmissionDecision<T> {
    /// To the decisions, at once.
    Admit(T),
    /// It has its turn later, or is refused.
    Queued,
    Refused(T, AdmissionError),
}

/// An offer in line.
#[derive(Debug)]
struct Offered<T> {
    session: SessionId,
    customer: CustomerId,
    item: T,
}

/// Which mode it is in, for one log line a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    AtEase,
    Pressed { since: Duration, waited: usize },
}

#[derive(Debug)]
pub struct Admission<T> {
    pub session_limiter: SessionLimiter,
    turns: FairQueue<Offered<T>>,
    unanswered: usize,
    mode: Mode,
}

/// Refused for want of room: the least time to stay away.
const COME_BACK: Duration = Duration::from_millis(500);

impl<T> Admission<T> {
    pub fn new(now: Duration, limits: Limits, shares: BTreeMap<CustomerId, f64>, seed: u64) -> Self {
        let turns = FairQueue::new(limits.max_waiting, shares);
        Self {
            session_limiter: SessionLimiter::new(now, limits, seed),
            turns,
            unanswered: 0,
            mode: Mode::AtEase,
        }
    }

    pub fn waiting(&self) -> usize {
        self.turns.len()
    }

    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    pub fn open_session(&mut self, now: Duration) -> OpenOutcome {
        self.session_limiter.open(now)
    }

    /// An offer whose caller waits for `left`. What it displaces is refused in its place, and comes beside the verdict.
    pub fn offer(
        &mut self,
        now: Duration,
        session: SessionId,
        customer: CustomerId,
        left: Duration,
        item: T,
        log: &mut dyn FnMut(&str),
    ) -> (AdmissionDecision<T>, Option<(T, AdmissionError)>) {
        if let Err(refusal) = self.session_limiter.admit_offer(now, session, customer) {
            return (AdmissionDecision::Refused(item, refusal), None);
        }
        if self.unanswered < self.session_limiter.limits().max_unanswered && self.turns.is_empty() {
            self.unanswered += 1;
            return (AdmissionDecision::Admit(item), None);
        }
        if self.mode == Mode::AtEase {
            self.mode = Mode::Pressed { since: now, waited: 0 };
            log(&format!("admission pressed: {} offers unanswered, customers take turns", self.unanswered));
        }
        if let Mode::Pressed { waited, .. } = &mut self.mode {
            *waited += 1;
        }
        let until = now + left.mul_f64(self.session_limiter.limits().max_wait_share.clamp(0.0, 1.0));
        let displaced = self.turns.push(customer, 1.0, until, Offered { session, customer, item });
        let displaced = displaced.map(|displaced| self.refuse(displaced.0));
        (AdmissionDecision::Queued, displaced)
    }

    fn refuse(&mut self, offered: Offered<T>) -> (T, AdmissionError) {
        self.session_limiter.end_call(offered.session, offered.customer);
        (
            offered.item,
            AdmissionError::Overloaded { retry_after: self.session_limiter.with_jitter(COME_BACK) },
        )
    }

    /// An offer that was with the decisions has its final answer; `stands`: the call stays in hand. What has its turn
    /// now goes to the decisions.
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
            && let Some(offered) = self.turns.pop()
        {
            self.unanswered += 1;
            next.push(offered.item);
        }
        self.at_ease(now, log);
        next
    }

    /// A standing call has ended.
    pub fn end_call(&mut self, session: SessionId, customer: CustomerId) {
        self.session_limiter.end_call(session, customer);
    }

    /// The session is gone. What it had waiting is dropped; what of it is with the decisions is still answered, and
    /// counts until then.
    pub fn close_session(&mut self, now: Duration, session: SessionId, log: &mut dyn FnMut(&str)) -> Vec<T> {
        let dropped = self.turns.remove(|offered| offered.session == session);
        self.session_limiter.close(session);
        self.at_ease(now, log);
        dropped.into_iter().map(|offered| offered.item).collect()
    }

    /// One offer that waits is wanted no more.
    pub fn withdraw(
        &mut self,
        now: Duration,
        which: impl Fn(&T) -> bool,
        log: &mut dyn FnMut(&str),
    ) -> Option<T> {
        let mut gone = self.turns.remove(|offered| which(&offered.item));
        let offered = gone.pop()?;
        self.session_limiter.end_call(offered.session, offered.customer);
        self.at_ease(now, log);
        Some(offered.item)
    }

    /// All that waits is refused.
    pub fn drain(&mut self) -> Vec<(T, AdmissionError)> {
        let waiting = self.turns.remove(|_| true);
        waiting.into_iter().map(|offered| self.refuse(offered)).collect()
    }

    /// Changes what waits, without its place.
    pub fn for_each_waiting(&mut self, mut change: impl FnMut(&mut T)) {
        self.turns.for_each(|offered| change(&mut offered.item));
    }

    /// When [`Admission::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        self.turns.next_expiry()
    }

    /// What has waited for as long as it may.
    pub fn on_timer(&mut self, now: Duration, log: &mut dyn FnMut(&str)) -> Vec<(T, AdmissionError)> {
        let late = self.turns.expired(now);
        let refused = late.into_iter().map(|offered| self.refuse(offered)).collect();
        self.at_ease(now, log);
        refused
    }

    fn at_ease(&mut self, now: Duration, log: &mut dyn FnMut(&str)) {
        if let Mode::Pressed { since, waited } = self.mode
            && self.turns.is_empty()
        {
            self.mode = Mode::AtEase;
            log(&format!(
                "admission at ease after {:.1?}: {waited} offers waited",
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
    const LEFT: Duration = Duration::from_secs(4);

    struct Desk {
        admission: Admission<u64>,
        now: Duration,
        log: Vec<String>,
    }

    impl Desk {
        fn new(unanswered: usize, waiting: usize) -> Self {
            let limits = Limits { max_unanswered: unanswered, max_waiting: waiting, ..Limits::default() };
            let now = Duration::from_secs(1);
            Self { admission: Admission::new(now, limits, BTreeMap::new(), 1), now, log: Vec::new() }
        }

        fn open(&mut self) -> SessionId {
            let OpenOutcome::Open(no) = self.admission.open_session(self.now) else { panic!("not opened") };
            no
        }

        fn offer(
            &mut self,
            session: SessionId,
            customer: CustomerId,
            no: u64,
        ) -> (AdmissionDecision<u64>, Option<(u64, AdmissionError)>) {
            let log = &mut |line: &str| self.log.push(line.to_string());
            self.admission.offer(self.now, session, customer, LEFT, no, log)
        }

        fn on_answer(&mut self, session: SessionId, customer: CustomerId, stands: bool) -> Vec<u64> {
            let log = &mut |line: &str| self.log.push(line.to_string());
            self.admission.on_answer(self.now, session, customer, stands, log)
        }
    }

    #[test]
    fn offers_go_straight_through_until_too_many_are_unanswered() {
        let mut desk = Desk::new(2, 10);
        let session = desk.open();
        assert_eq!(desk.offer(session, ONE, 1).0, AdmissionDecision::Admit(1));
        assert_eq!(desk.offer(session, ONE, 2).0, AdmissionDecision::Admit(2));
        assert_eq!(desk.offer(session, ONE, 3).0, AdmissionDecision::Queued);
        assert_eq!(desk.on_answer(session, ONE, true), [3]);
        assert_eq!((desk.admission.unanswered(), desk.admission.waiting(), desk.log.len()), (2, 0, 2));
        assert!(desk.log[0].contains("pressed") && desk.log[1].contains("at ease"), "{:?}", desk.log);
    }

    #[test]
    fn a_quiet_customer_has_its_turn_beside_a_greedy_one() {
        let mut desk = Desk::new(1, 1000);
        let (greedy, quiet) = (desk.open(), desk.open());
        desk.offer(greedy, ONE, 0);
        (1..500).for_each(|no| _ = desk.offer(greedy, ONE, no));
        desk.offer(quiet, TWO, 1000);
        let first: Vec<_> = (0..3).flat_map(|_| desk.on_answer(greedy, ONE, false)).collect();
        assert!(first.contains(&1000), "{first:?}");
    }

    #[test]
    fn what_waits_too_long_is_refused_with_a_time_to_come_back_and_counts_no_more() {
        let mut desk = Desk::new(1, 10);
        let session = desk.open();
        desk.offer(session, ONE, 1);
        desk.offer(session, ONE, 2);
        assert_eq!(desk.admission.next_timer(), Some(desk.now + LEFT / 4));
        desk.now += LEFT / 4;
        let refused = desk.admission.on_timer(desk.now, &mut |_| {});
        assert!(
            matches!(refused[..], [(2, AdmissionError::Overloaded { retry_after })] if retry_after >= COME_BACK)
        );
        assert_eq!(
            (desk.admission.session_limiter.customer_calls(ONE), desk.admission.next_timer()),
            (1, None)
        );
    }

    #[test]
    fn a_session_that_goes_takes_what_it_had_waiting_with_it() {
        let mut desk = Desk::new(1, 10);
        let (gone, stays) = (desk.open(), desk.open());
        desk.offer(gone, ONE, 1);
        desk.offer(gone, ONE, 2);
        desk.offer(stays, TWO, 3);
        assert_eq!(desk.admission.close_session(desk.now, gone, &mut |_| {}), [2]);
        // What it had with the decisions still counts until its answer.
        assert_eq!(desk.admission.unanswered(), 1);
        assert_eq!(desk.on_answer(gone, ONE, false), [3]);
        assert_eq!(
            (
                desk.admission.session_limiter.customer_calls(ONE),
                desk.admission.session_limiter.customer_calls(TWO)
            ),
            (0, 1)
        );
    }

    #[test]
    fn an_offer_is_answered_once_whether_displaced_late_or_taken() {
        let mut desk = Desk::new(1, 2);
        let session = desk.open();
        let mut ends = Vec::new();
        for no in 0..6 {
            let (verdict, displaced) = desk.offer(session, ONE, no);
            ends.extend(displaced.map(|(no, _)| no));
            if let AdmissionDecision::Admit(no) = verdict {
                ends.push(no);
            }
        }
        ends.extend(desk.on_answer(session, ONE, false));
        desk.now += LEFT;
        ends.extend(desk.admission.on_timer(desk.now, &mut |_| {}).into_iter().map(|(no, _)| no));
        ends.sort_unstable();
        assert_eq!(ends, [0, 1, 2, 3, 4, 5]);
        assert_eq!(desk.admission.session_limiter.customer_calls(ONE), 1, "the one with the decisions");
    }
}
