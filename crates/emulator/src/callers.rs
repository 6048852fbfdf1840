//! Subscribers: they call, wait for an answer, redial, talk and hang up. A caller is removed when its last attempt or
//! call ends.

use std::time::Duration;

use mintstall_callapi::{EndReason, FinalAnswer, Offer};
use rand::Rng;

use crate::observer::{Observation, Observer};
use crate::score::Outcome;
use crate::simulation::{Action, Event, Simulation};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Waits until the next attempt.
    BetweenAttempts,
    /// Has an attempt at the own exchange's processor, or at the controller if `offered`.
    Attempting {
        offered: bool,
    },
    Standing,
}

#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// The caller's own exchange.
    pub from: u16,
    offer: Offer,
    first_attempt: Duration,
    /// Start of the setup target: the first attempt, or the first one after a cut.
    target_start: Duration,
    /// When the caller gives up the current attempt.
    deadline: Duration,
    attempts: u8,
    redials_left: u32,
    pub state: State,
    revenue: f64,
    earned: f64,
    /// Whether a standing call of the caller was cut.
    cut: bool,
    /// Whether the caller calls the number of a [`Fault::Crowd`](crate::Fault::Crowd).
    crowd: bool,
}

/// Longest time that a call stands after the end of arrivals. Days test call set-up and need not wait for long calls.
const MAX_HOLD_AFTER_END: Duration = Duration::from_secs(5);

/// Number of a call on its subscriber line: the caller's ID and the number of its attempt.
fn call_number(caller: u64, attempt: u8) -> u64 {
    caller << 8 | u64::from(attempt)
}

/// A duration in a range in milliseconds; `draw` is from 0 to 1.
fn ms_in_range(range: [f64; 2], draw: f64) -> Duration {
    Duration::from_secs_f64((range[0] + (range[1] - range[0]) * draw) / 1e3)
}

impl Simulation {
    /// A new caller makes its first attempt. Schedules the next caller.
    pub(crate) fn on_new_caller(&mut self, now: Duration) {
        let rate = self.day.traffic.calls_per_s * self.day.traffic.load * self.arrival_factor;
        let gap = -(1.0 - self.arrival_rng.random::<f64>()).ln() / rate.max(1e-9);
        let next = now + Duration::from_secs_f64(gap.min(1e6));
        if next < self.length {
            self.schedule(next, Event::NewCaller);
        }
        let draw = self.arrival_rng.random::<f64>();
        let (from, mut dest) = self.draw_pair(draw);
        let (type_draw, customer_draw) = (self.arrival_rng.random::<f64>(), self.arrival_rng.random::<f64>());
        let call_type = pick_share(self.day.call_types.iter().map(|call_type| call_type.share), type_draw);
        let customer = pick_share(self.day.customers.iter().map(|customer| customer.share), customer_draw);
        let mut dialled = 1_000_000 + self.arrival_rng.random_range(0..8_000_000u64);
        let crowd = self
            .crowd
            .filter(|crowd| self.arrival_rng.random::<f64>() < crowd.share && crowd.exchange != from);
        if let Some(crowd) = crowd {
            (dest, dialled) = (crowd.exchange, crowd.number);
        }
        let revenue = self.day.call_types[call_type].revenue * if crowd.is_some() { 0.1 } else { 1.0 };
        let offer = Offer {
            call: 0,
            call_type: call_type as u8,
            customer: customer as u16,
            dest,
            number: dialled,
            time_left_ms: 0,
            advised: None,
            cut: false,
            redial: false,
        };
        let caller = Caller {
            from,
            offer,
            first_attempt: now,
            target_start: now,
            deadline: now,
            attempts: 0,
            redials_left: self.day.callers.redials,
            state: State::BetweenAttempts,
            revenue,
            earned: 0.0,
            cut: false,
            crowd: crowd.is_some(),
        };
        self.last_caller_id += 1;
        self.score.first_tries += 1;
        self.callers.insert(self.last_caller_id, caller);
        self.on_attempt(now, self.last_caller_id);
    }

    /// A caller makes an attempt, which the own exchange's processor examines first.
    pub(crate) fn on_attempt(&mut self, now: Duration, id: u64) {
        let share = self.day.callers.try_share;
        let (share_draw, early_draw) = (self.rng.random::<f64>(), self.rng.random::<f64>());
        let impatient = self.rng.random::<f64>() < self.day.callers.impatient;
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let guard_ms = self.day.call_types[usize::from(caller.offer.call_type)].guard_time_ms;
        let max_wait = ms_in_range([share[0] * guard_ms as f64, share[1] * guard_ms as f64], share_draw);
        caller.attempts = caller.attempts.saturating_add(1);
        caller.deadline = now + max_wait;
        caller.state = State::Attempting { offered: false };
        caller.offer.call = call_number(id, caller.attempts);
        let (from, attempt, offer) = (caller.from, caller.attempts, caller.offer.clone());
        self.score.tries += 1;
        let gives_up_at = if impatient { now + max_wait.mul_f64(early_draw) } else { now + max_wait };
        self.schedule(gives_up_at, Event::GivesUp { caller: id, attempt });
        if !self.enqueue_attempt(now, from, id, offer) {
            self.on_attempt_failed(now, id, Duration::ZERO, Outcome::NotTaken);
        }
    }

    /// The own exchange's processor has examined an attempt: offers it to the controller, if that is running.
    pub(crate) fn deliver_offer(
        &mut self,
        now: Duration,
        id: u64,
        mut offer: Offer,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let time_left = caller.deadline.saturating_sub(now);
        let is_current = caller.state == State::Attempting { offered: false }
            && offer.call == call_number(id, caller.attempts);
        let exchange_number = caller.from;
        if !is_current || time_left.is_zero() || !self.exchanges[usize::from(exchange_number) - 1].running {
            return;
        }
        caller.state = State::Attempting { offered: true };
        offer.time_left_ms = time_left.as_millis() as u32;
        if self.day.advice {
            offer.advised = self.advice(now, exchange_number, offer.dest);
        }
        observer.observe(now, Observation::Offered { exchange_number, offer: &offer });
        actions.push(Action::Offer { exchange_number, offer });
    }

    /// The caller gives up its attempt, unless it ended before.
    pub(crate) fn on_give_up(
        &mut self,
        now: Duration,
        id: u64,
        attempt: u8,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let Some(caller) = self.callers.get(&id).filter(|caller| caller.attempts == attempt) else { return };
        let State::Attempting { offered } = caller.state else { return };
        let (exchange_number, call) = (caller.from, call_number(id, attempt));
        if offered {
            self.send_hang_up(now, exchange_number, call, observer, actions);
        }
        self.on_attempt_failed(
            now,
            id,
            Duration::ZERO,
            if offered { Outcome::GaveUp } else { Outcome::NotTaken },
        );
    }

    /// An attempt failed: the caller redials after a pause, or gives up the call if it has no redials left.
    fn on_attempt_failed(&mut self, now: Duration, id: u64, retry_after: Duration, outcome: Outcome) {
        let (draw, heeds_retry_after) =
            (self.rng.random::<f64>(), self.rng.random::<f64>() < self.day.callers.heeds);
        let Some(caller) = self.callers.get_mut(&id) else { return };
        caller.state = State::BetweenAttempts;
        if caller.redials_left == 0 {
            return self.finish_caller(id, outcome);
        }
        caller.redials_left -= 1;
        caller.offer.redial = true;
        let at_once = self.redial_at_once || caller.crowd;
        let mut wait =
            if at_once { Duration::from_millis(50) } else { ms_in_range(self.day.callers.after_ms, draw) };
        if heeds_retry_after && !at_once {
            wait = wait.max(retry_after);
        }
        self.schedule(now + wait, Event::Attempt { caller: id });
    }

    /// Counts a caller's outcome and removes the caller.
    fn finish_caller(&mut self, id: u64, outcome: Outcome) {
        if let Some(caller) = self.callers.remove(&id) {
            let (call_type, customer) = (caller.offer.call_type, caller.offer.customer);
            let outcome = if caller.cut && caller.earned == 0.0 { Outcome::Cut } else { outcome };
            self.score.count(
                caller.first_attempt.as_secs_f64(),
                call_type,
                customer,
                caller.revenue,
                caller.earned,
                outcome,
            );
        }
    }

    /// A controller gave a call its final answer.
    pub fn call_answered(
        &mut self,
        now: Duration,
        exchange_number: u16,
        call: u64,
        exchange_call: u64,
        answer: FinalAnswer,
        observer: &mut dyn Observer,
    ) {
        observer.observe(now, Observation::Answered { exchange_number, call, exchange_call, answer });
        let (id, draw) = (call >> 8, self.rng.random::<f64>());
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if call != call_number(id, caller.attempts) || caller.state != (State::Attempting { offered: true }) {
            return;
        }
        match answer {
            FinalAnswer::Stands => {
                let call_type = &self.day.call_types[usize::from(caller.offer.call_type)];
                let late = now - caller.target_start > Duration::from_millis(call_type.setup_target_ms);
                caller.earned = caller.revenue * if late { call_type.late_share } else { 1.0 };
                caller.state = State::Standing;
                let hold_s = -(1.0 - draw).ln() * call_type.hold_s;
                let attempt = caller.attempts;
                let hang_up_at =
                    (now + Duration::from_secs_f64(hold_s)).min(now.max(self.length + MAX_HOLD_AFTER_END));
                self.schedule(hang_up_at, Event::HangsUp { caller: id, attempt });
            }
            FinalAnswer::Refused { come_back_ms } => {
                self.on_attempt_failed(now, id, Duration::from_millis(come_back_ms.into()), Outcome::Refused);
            }
            FinalAnswer::Fails => self.on_attempt_failed(now, id, Duration::ZERO, Outcome::Failed),
        }
    }

    /// Tells the controller, if it is running, that a call's caller hung up.
    fn send_hang_up(
        &self,
        now: Duration,
        exchange_number: u16,
        call: u64,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if self.exchanges[usize::from(exchange_number) - 1].running {
            observer.observe(now, Observation::HungUp { exchange_number, call });
            actions.push(Action::HangUp { exchange_number, call });
        }
    }

    /// The caller of a standing call hangs up.
    pub(crate) fn on_hang_up(
        &mut self,
        now: Duration,
        id: u64,
        attempt: u8,
        observer: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let Some(caller) = self.callers.get(&id).filter(|caller| caller.attempts == attempt) else { return };
        if caller.state != State::Standing {
            return;
        }
        let (exchange_number, late) = (caller.from, caller.earned < caller.revenue);
        self.send_hang_up(now, exchange_number, call_number(id, attempt), observer, actions);
        self.finish_caller(id, if late { Outcome::Late } else { Outcome::Served });
    }

    /// A standing call ended, but not by its caller: it was cut. The caller calls again, unless a call of it was cut
    /// before.
    pub fn call_ended(
        &mut self,
        now: Duration,
        exchange_number: u16,
        call: u64,
        how: EndReason,
        observer: &mut dyn Observer,
    ) {
        observer.observe(now, Observation::Ended { exchange_number, call, how });
        self.on_call_cut(now, call >> 8, Some(call));
    }

    /// A caller notices that its standing call was cut. `call` is the call's number if the controller reported the end.
    fn on_call_cut(&mut self, now: Duration, id: u64, call: Option<u64>) {
        let draw = self.rng.random::<f64>();
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if caller.state != State::Standing
            || call.is_some_and(|call| call != call_number(id, caller.attempts))
        {
            return;
        }
        (caller.earned, caller.state) = (0.0, State::BetweenAttempts);
        if std::mem::replace(&mut caller.cut, true) {
            return self.finish_caller(id, Outcome::Cut);
        }
        let wait = ms_in_range([260.0, 3000.0], draw);
        (caller.target_start, caller.offer.cut) = (now + wait, true);
        self.schedule(now + wait, Event::Attempt { caller: id });
    }

    /// The client that offered a call disconnected for good.
    pub fn client_lost(
        &mut self,
        now: Duration,
        exchange_number: u16,
        call: u64,
        observer: &mut dyn Observer,
    ) {
        observer.observe(now, Observation::ClientLost { exchange_number, call });
        let caller =
            self.callers.get(&(call >> 8)).filter(|caller| call_number(call >> 8, caller.attempts) == call);
        match caller.map(|caller| caller.state) {
            Some(State::Standing) => self.finish_caller(call >> 8, Outcome::Served),
            Some(_) => self.finish_caller(call >> 8, Outcome::GaveUp),
            None => {}
        }
    }

    /// A controller was killed: its callers get no answer, and its standing calls are cut.
    pub(crate) fn cut_standing_calls(&mut self, now: Duration, exchange_number: u16) {
        let is_standing = |caller: &Caller| caller.from == exchange_number && caller.state == State::Standing;
        let standing = self.callers.iter().filter(|(_, caller)| is_standing(caller));
        let standing: Vec<u64> = standing.map(|(id, _)| *id).collect();
        standing.into_iter().for_each(|id| self.on_call_cut(now, id, None));
    }
}

/// Index of the share that `draw`, from 0 to below 1, selects.
pub(crate) fn pick_share(shares: impl Iterator<Item = f64> + Clone, draw: f64) -> usize {
    let mut rest = draw * shares.clone().sum::<f64>();
    let is_selected = |share: f64| {
        rest -= share;
        rest < 0.0
    };
    let last = shares.clone().count() - 1;
    shares.clone().map(is_selected).position(|selected| selected).unwrap_or(last)
}
