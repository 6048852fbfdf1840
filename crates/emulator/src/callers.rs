//! Subscribers: they call, wait, dial again, talk, hang up. Emptied as each caller's last try or call ends.

use std::time::Duration;

use mintstall_callapi::{EndReason, FinalAnswer, Offer};
use rand::Rng;

use crate::observer::{Observation, Observer};
use crate::score::Outcome;
use crate::simulation::{Action, Event, Simulation};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Between two tries.
    Away,
    /// A try is on its way to the own processor, or was handed to the controller.
    Trying {
        handed: bool,
    },
    Standing,
}

#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub from: u16,
    offer: Offer,
    first: Duration,
    /// The setup target counts from here: the first try, or the cut.
    since: Duration,
    until: Duration,
    tries: u8,
    redials: u32,
    pub state: State,
    revenue: f64,
    earned: f64,
    cut: bool,
    crowd: bool,
}

const LAST_TALK: Duration = Duration::from_secs(5);

/// A caller and which of its tries, as the number of a call on its line.
fn number(caller: u64, tries: u8) -> u64 {
    caller << 8 | u64::from(tries)
}

fn secs(range: [f64; 2], draw: f64) -> Duration {
    Duration::from_secs_f64((range[0] + (range[1] - range[0]) * draw) / 1e3)
}

impl Simulation {
    /// The next first try comes, and the one after it is set.
    pub(crate) fn caller_comes(&mut self, now: Duration) {
        let rate = self.day.traffic.calls_per_s * self.day.traffic.load * self.burst;
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / rate.max(1e-9);
        let next = now + Duration::from_secs_f64(gap.min(1e6));
        if next < self.length {
            self.at(next, Event::CallerComes);
        }
        let draw = self.arrivals.random::<f64>();
        let (from, mut dest) = self.pair(draw);
        let (type_draw, customer_draw) = (self.arrivals.random::<f64>(), self.arrivals.random::<f64>());
        let call_type = pick(self.day.call_types.iter().map(|of| of.share), type_draw);
        let customer = pick(self.day.customers.iter().map(|of| of.share), customer_draw);
        let mut dialled = 1_000_000 + self.arrivals.random_range(0..8_000_000u64);
        let crowd =
            self.crowd.filter(|crowd| self.arrivals.random::<f64>() < crowd.share && crowd.exchange != from);
        if let Some(crowd) = crowd {
            (dest, dialled) = (crowd.exchange, crowd.number);
        }
        let of = &self.day.call_types[call_type];
        let revenue = of.revenue * if crowd.is_some() { 0.1 } else { 1.0 };
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
            first: now,
            since: now,
            until: now,
            tries: 0,
            redials: self.day.callers.redials,
            state: State::Away,
            revenue,
            earned: 0.0,
            cut: false,
            crowd: crowd.is_some(),
        };
        self.last_caller += 1;
        self.score.first_tries += 1;
        self.callers.insert(self.last_caller, caller);
        self.dials(now, self.last_caller);
    }

    /// One try: the own exchange's processor looks at it first.
    pub(crate) fn dials(&mut self, now: Duration, id: u64) {
        let share = self.day.callers.try_share;
        let (share_draw, early) = (self.chance.random::<f64>(), self.chance.random::<f64>());
        let impatient = self.chance.random::<f64>() < self.day.callers.impatient;
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let guard = self.day.call_types[usize::from(caller.offer.call_type)].guard_time_ms;
        let span = secs([share[0] * guard as f64, share[1] * guard as f64], share_draw);
        caller.tries = caller.tries.saturating_add(1);
        caller.until = now + span;
        caller.state = State::Trying { handed: false };
        caller.offer.call = number(id, caller.tries);
        let (from, tries, offer) = (caller.from, caller.tries, caller.offer.clone());
        self.score.tries += 1;
        let leaves = if impatient { now + span.mul_f64(early) } else { now + span };
        self.at(leaves, Event::GivesUp { caller: id, tries });
        if !self.enqueue_attempt(now, from, id, offer) {
            self.turned_down(now, id, Duration::ZERO, Outcome::NotTaken);
        }
    }

    /// The own processor has looked at a try: the controller gets it, if it runs.
    pub(crate) fn deliver_offer(
        &mut self,
        now: Duration,
        id: u64,
        mut offer: Offer,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let left = caller.until.saturating_sub(now);
        let waits = caller.state == State::Trying { handed: false } && offer.call == number(id, caller.tries);
        let office = caller.from;
        if !waits || left.is_zero() || !self.exchanges[usize::from(office) - 1].running {
            return;
        }
        caller.state = State::Trying { handed: true };
        offer.time_left_ms = left.as_millis() as u32;
        if self.day.advice {
            offer.advised = self.advice(now, office, offer.dest);
        }
        w.observe(now, Observation::Offered { office, offer: &offer });
        actions.push(Action::Offer { office, offer });
    }

    pub(crate) fn gives_up(
        &mut self,
        now: Duration,
        id: u64,
        tries: u8,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let Some(caller) = self.callers.get(&id).filter(|caller| caller.tries == tries) else { return };
        let State::Trying { handed } = caller.state else { return };
        let (office, call) = (caller.from, number(id, tries));
        if handed {
            self.hang_up(now, office, call, w, actions);
        }
        self.turned_down(now, id, Duration::ZERO, if handed { Outcome::GaveUp } else { Outcome::NotTaken });
    }

    /// A try came to nothing: its caller dials again after a while, or leaves it.
    fn turned_down(&mut self, now: Duration, id: u64, come_back: Duration, outcome: Outcome) {
        let (draw, heeds) =
            (self.chance.random::<f64>(), self.chance.random::<f64>() < self.day.callers.heeds);
        let Some(caller) = self.callers.get_mut(&id) else { return };
        caller.state = State::Away;
        if caller.redials == 0 {
            return self.done(id, outcome);
        }
        caller.redials -= 1;
        caller.offer.redial = true;
        let at_once = self.redial_at_once || caller.crowd;
        let mut wait =
            if at_once { Duration::from_millis(50) } else { secs(self.day.callers.after_ms, draw) };
        if heeds && !at_once {
            wait = wait.max(come_back);
        }
        self.at(now + wait, Event::Dials { caller: id });
    }

    fn done(&mut self, id: u64, outcome: Outcome) {
        if let Some(caller) = self.callers.remove(&id) {
            let (call_type, customer) = (caller.offer.call_type, caller.offer.customer);
            let outcome = if caller.cut && caller.earned == 0.0 { Outcome::Cut } else { outcome };
            self.score.count(
                caller.first.as_secs_f64(),
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
        office: u16,
        call: u64,
        exchange_call: u64,
        answer: FinalAnswer,
        w: &mut dyn Observer,
    ) {
        w.observe(now, Observation::Answered { office, call, exchange_call, answer });
        let (id, draw) = (call >> 8, self.chance.random::<f64>());
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if call != number(id, caller.tries) || caller.state != (State::Trying { handed: true }) {
            return;
        }
        match answer {
            FinalAnswer::Stands => {
                let of = &self.day.call_types[usize::from(caller.offer.call_type)];
                let late = now - caller.since > Duration::from_millis(of.setup_target_ms);
                caller.earned = caller.revenue * if late { of.late_share } else { 1.0 };
                caller.state = State::Standing;
                let hold = -(1.0 - draw).ln() * of.hold_s;
                let tries = caller.tries;
                // The last to talk leave soon after the day's end: it is about set-ups.
                let until = (now + Duration::from_secs_f64(hold)).min(now.max(self.length + LAST_TALK));
                self.at(until, Event::HangsUp { caller: id, tries });
            }
            FinalAnswer::Refused { come_back_ms } => {
                self.turned_down(now, id, Duration::from_millis(come_back_ms.into()), Outcome::Refused);
            }
            FinalAnswer::Fails => self.turned_down(now, id, Duration::ZERO, Outcome::Failed),
        }
    }

    /// The controller hears that a call's caller hung up, if it runs.
    fn hang_up(
        &self,
        now: Duration,
        office: u16,
        call: u64,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        if self.exchanges[usize::from(office) - 1].running {
            w.observe(now, Observation::HungUp { office, call });
            actions.push(Action::HangUp { office, call });
        }
    }

    pub(crate) fn hangs_up(
        &mut self,
        now: Duration,
        id: u64,
        tries: u8,
        w: &mut dyn Observer,
        actions: &mut Vec<Action>,
    ) {
        let Some(caller) = self.callers.get(&id).filter(|caller| caller.tries == tries) else { return };
        if caller.state != State::Standing {
            return;
        }
        let (office, late) = (caller.from, caller.earned < caller.revenue);
        self.hang_up(now, office, number(id, tries), w, actions);
        self.done(id, if late { Outcome::Late } else { Outcome::Served });
    }

    /// A call that stood has ended, not by its caller: it was cut, and comes again once.
    pub fn call_ended(
        &mut self,
        now: Duration,
        office: u16,
        call: u64,
        how: EndReason,
        w: &mut dyn Observer,
    ) {
        w.observe(now, Observation::Ended { office, call, how });
        self.lost(now, call >> 8, Some(call));
    }

    /// Its call is gone, as it hears itself.
    pub(crate) fn lost(&mut self, now: Duration, id: u64, call: Option<u64>) {
        let draw = self.chance.random::<f64>();
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if caller.state != State::Standing || call.is_some_and(|call| call != number(id, caller.tries)) {
            return;
        }
        (caller.earned, caller.state) = (0.0, State::Away);
        if std::mem::replace(&mut caller.cut, true) {
            return self.done(id, Outcome::Cut);
        }
        let wait = secs([260.0, 3000.0], draw);
        (caller.since, caller.offer.cut) = (now + wait, true);
        self.at(now + wait, Event::Dials { caller: id });
    }

    /// The client over which a call was asked for has gone for good.
    pub fn client_lost(&mut self, now: Duration, office: u16, call: u64, w: &mut dyn Observer) {
        w.observe(now, Observation::ClientLost { office, call });
        let caller = self.callers.get(&(call >> 8)).filter(|caller| number(call >> 8, caller.tries) == call);
        match caller.map(|caller| caller.state) {
            Some(State::Standing) => self.done(call >> 8, Outcome::Served),
            Some(_) => self.done(call >> 8, Outcome::GaveUp),
            None => {}
        }
    }

    /// A controller died: its callers have no answer, and those who talk are cut off.
    pub(crate) fn callers_of_dead(&mut self, now: Duration, office: u16) {
        let standing = self.callers.iter().filter(|(_, c)| c.from == office && c.state == State::Standing);
        let standing: Vec<u64> = standing.map(|(id, _)| *id).collect();
        standing.into_iter().for_each(|id| self.lost(now, id, None));
    }
}

/// Which of some shares a draw below one falls into.
pub(crate) fn pick(shares: impl Iterator<Item = f64> + Clone, draw: f64) -> usize {
    let mut rest = draw * shares.clone().sum::<f64>();
    let fits = |share: f64| {
        rest -= share;
        rest < 0.0
    };
    let last = shares.clone().count() - 1;
    shares.clone().map(fits).position(|fits| fits).unwrap_or(last)
}
