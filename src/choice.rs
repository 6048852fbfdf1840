//! All decisions: which calls are set up, over which route, and what becomes of those that fail.
//!
//! The machine makes one [`Controller`] from its [`ControllerConfig`] and tells it what happens by the
//! methods below, each with the time; the controller acts through the [`ControllerActions`] it is handed. The
//! interface is in `interface.rs`, the reasons in `docs/design.md`. A call's entry holds what to do
//! next: a closure that is handed the end of its seizure, or the end of its wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::fmt::Arguments;
use std::ops::Bound;
use std::time::Duration;

use crate::interface::*;
use crate::random::MwcRng;

/// The balance counts tenths of a further attempt.
const FURTHER: u32 = 10;
const CREDIT_AT_START: u32 = 2 * FURTHER;
const CREDIT_CAP: u32 = 10 * FURTHER;
const SEIZURES: u8 = 4;
const FIRST_CEILING: Duration = Duration::from_millis(100);
const LAST_CEILING: Duration = Duration::from_millis(800);
/// The least time in which a seizure is worth sending, and what is kept for the final answer.
const USEFUL: Duration = Duration::from_millis(20);
const RESERVE: Duration = Duration::from_millis(50);
/// Circuits beyond its width that a call leaves free on a group that is not its direct one.
const RESERVED: f64 = 2.0;
/// How long an exchange is left alone after a seizure that its full processor refused, or after a second
/// one in a row that it did not answer; how often that doubles.
const ALONE: Duration = Duration::from_millis(300);
const ALONE_DOUBLINGS: u32 = 3;
/// Seizures in a row without use that make an exchange silent.
const SILENT_AFTER: u32 = 2;
/// How long a tandem that turned a call back is not tried again for the same destination.
const BLOCKED_FOR: Duration = Duration::from_secs(2);
/// And one of which nothing says that it has a group onward.
const UNKNOWN_FOR: Duration = Duration::from_secs(20);
/// A window opens while set-ups stand within this share of the shortest setup target, and shuts by this
/// factor when they don't.
const PROMPT: f64 = 0.35;
/// And well before a waiting set-up is repeated, which is work for a processor that is pressed already.
const BEFORE_REPEAT: f64 = 0.5;
const SHUT_BY: f64 = 0.7;
const WINDOW_AT_START: f64 = 4.0;
/// A number that comes again within this time is its caller dialling again.
const REDIALS_WITHIN: Duration = Duration::from_secs(4);
/// How long a number that was busy is not tried.
const BUSY_FOR: Duration = Duration::from_secs(2);
/// The last circuit of the direct group is left to other types by those that earn less than this share of the
/// best, if it has more circuits than these: few calls need the last one of a thin group.
const FAR_LESS: f64 = 0.5;
const THIN: f64 = 7.0;
/// Share of the setup target for which a call without a way is held.
const HELD: f64 = 0.5;
/// A cold exchange is sent its share of the calls times what would push it over, over this surge in them.
const SURGE: f64 = 1.6;
/// An exchange that can take less than this share of the most it ever told is pressed; how long until its
/// word counts no more.
const EASY: f64 = 0.7;
const WORD_FADES: f64 = 20.0;
/// Within this time after the first roster a controller tells its peers which groups it has.
const INTRODUCED: Duration = Duration::from_secs(1);
const HOUSEKEEPING: TimerId = TimerId(1 << 63);
const INTRODUCTION: TimerId = TimerId(HOUSEKEEPING.0 + 1);
/// First byte of a message: a controller that has just started, and the answer to it.
const HELLO: u8 = 1;
const WELCOME: u8 = 2;
/// Bytes that a message has for groups.
const LONGEST: u16 = 250;

type AfterSeizure = Box<dyn FnOnce(&mut Controller, Duration, &mut dyn ControllerActions, Call, Cause)>;
type AfterWait = Box<dyn FnOnce(&mut Controller, Duration, &mut dyn ControllerActions, Call)>;

/// What a call does next, once it is told what it waits for.
enum Next {
    Seized(AfterSeizure),
    Waiting { until: Duration, then: AfterWait },
}

/// A call for which this controller owes a final answer.
struct Call {
    offer: CallOffer,
    /// Its place in `kinds`.
    kind: usize,
    arrived: Duration,
    /// Drawn below one: which share of the calls it belongs to where only some are sent.
    lot: f64,
    seizures: u8,
    /// Set where a set-up that must not be repeated may have been carried out.
    spent: bool,
}

/// What is known of one type of call.
struct CallKind {
    target: Duration,
    repeats: RepeatPolicy,
    /// How many types of call earn more.
    rank: usize,
    /// Whether it leaves the last circuit to types that earn far more for theirs.
    leaves: bool,
    pools: Vec<ExchangeNumber>,
}

/// What is known of one exchange. Entries come from the roster and leave with it, or once replaced.
#[derive(Clone, Debug)]
struct Exchange {
    office: ExchangeNumber,
    zone: Zone,
    standing: ExchangeStatus,
    started: Duration,
    /// Free circuits (or agents) towards it, not known until told, and how many there are in all.
    free: Option<f64>,
    size: f64,
    respite: Respite,
    window: Window,
    /// What is known of the ways beyond it. One entry a destination at the most; gone with the exchange.
    beyond: BTreeMap<ExchangeNumber, Beyond>,
    /// The share of the usual set-ups that it said it takes, when, and the most a second it ever told.
    eased: (f64, Duration),
    most: f64,
}

/// What is known of the way from a tandem to one destination.
#[derive(Clone, Copy, Debug, Default)]
struct Beyond {
    /// Whether a group leads there, as a peer said, an advice implied or a standing call showed.
    leads: Option<bool>,
    /// It turned a call back: until when, and from which width on, it is not tried.
    blocked: (Duration, u16),
}

/// Seizures in a row that got no answer, or found a processor full, and until when it is left alone. Guards
/// against sending call after call into silence and asking a line that is full, and so seconds long, while it
/// drains. It could keep calls off one that was full, or silent twice, by chance.
#[derive(Clone, Debug, Default)]
struct Respite {
    fruitless: u32,
    until: Duration,
}

/// How many set-ups may be out at a time, how many are, and when it was last cut.
#[derive(Clone, Debug, Default)]
struct Window {
    out: f64,
    size: f64,
    shut_at: Duration,
}

pub struct Controller {
    own: Option<ExchangeNumber>,
    /// Where it is, once the roster names it.
    zone: Option<Zone>,
    kinds: Vec<CallKind>,
    seizure_limit: u8,
    come_back: Duration,
    may_cancel: bool,
    release_wait: Duration,
    warm_up: Duration,
    cold_share: f64,
    ample: f64,
    /// A set-up that takes longer met a pressed processor.
    prompt: Duration,
    must_subscribe: bool,
    may_message_peers: bool,
    /// When it told its peers which groups it has.
    introduced: Option<Duration>,
    chance: MwcRng,
    credit: u32,
    /// Over all exchanges: what the own processor works off, and whether the last answer was late.
    window: Window,
    late: bool,
    /// Where one exchange of a region after the other was no use, and which was last; the own region stands
    /// for the own processor. One entry a region at the most, gone once it is of use.
    vain: BTreeMap<Option<Zone>, (Respite, ExchangeId)>,
    /// Emptied by the roster: what it no longer names is dropped.
    exchanges: BTreeMap<ExchangeId, Exchange>,
    /// Emptied by each call's standing or final answer, or the end of a seizure whose caller has gone.
    calls: BTreeMap<CallId, (Call, Next)>,
    /// Numbers whose calls were given up lately, when they were first offered, their lots; emptied by time.
    given_up: Lately<(Duration, f64)>,
    /// Numbers found busy lately; emptied by time.
    busy: Lately<()>,
    /// Calls held for a way, by where they go, rank and age; emptied as they leave `calls` or find one.
    line: BTreeMap<ExchangeNumber, BTreeMap<u8, BTreeSet<Place>>>,
}

/// Lots are told apart in the line by sixteenths.
const LOTS: u8 = 16;

fn lots(call: &Call) -> u8 {
    (call.lot * f64::from(LOTS)) as u8
}

/// A place in the line: dearer calls first, then older ones.
type Place = (usize, Duration, CallId);

/// What was last seen of numbers, oldest first, and by number: a crowd's redials must not cost a search each.
struct Lately<T> {
    seen: VecDeque<(Duration, DialledNumber)>,
    last: BTreeMap<DialledNumber, (Duration, T)>,
}

impl Controller {
    pub fn new(data: &ControllerConfig, seed: u64) -> Self {
        let density = |of: &CallTypeConfig| {
            of.revenue / (f64::from(of.width.max(1)) * of.mean_hold.as_secs_f64().max(f64::EPSILON))
        };
        let best = data.call_types.iter().map(density).fold(0.0, f64::max);
        let kind = |of: &CallTypeConfig| CallKind {
            target: of.setup_target.min(of.guard_time),
            repeats: of.repeats,
            leaves: density(of) < FAR_LESS * best,
            rank: data.call_types.iter().filter(|other| other.revenue > of.revenue).count(),
            pools: of.pools.clone(),
        };
        let shortest = data.call_types.iter().map(|of| of.setup_target).min().unwrap_or(Duration::MAX / 2);
        let repeated =
            Some(data.retransmit_after).filter(|after| !after.is_zero()).unwrap_or(Duration::MAX / 2);
        Self {
            own: data.own,
            zone: None,
            kinds: data.call_types.iter().map(kind).collect(),
            seizure_limit: SEIZURES.min(data.seizure_limit),
            come_back: data.max_retry_after,
            may_cancel: data.may_cancel,
            release_wait: data.release_wait,
            warm_up: data.warm_up,
            cold_share: data.cold_share.clamp(0.0, 1.0),
            ample: data.overload_multiple.max(0.0) / SURGE,
            prompt: shortest.mul_f64(PROMPT).min(repeated.mul_f64(BEFORE_REPEAT)),
            must_subscribe: data.must_subscribe,
            may_message_peers: data.may_message_peers && data.own.is_some(),
            introduced: None,
            chance: MwcRng::new(seed),
            credit: CREDIT_AT_START,
            window: Window { size: 4.0 * WINDOW_AT_START, ..Window::default() },
            late: false,
            vain: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            calls: BTreeMap::new(),
            given_up: Lately::new(),
            busy: Lately::new(),
            line: BTreeMap::new(),
        }
    }

    /// The whole roster, as last held or as it is now.
    pub fn on_membership(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        lines: &[ExchangeEntry],
    ) {
        let first = self.exchanges.is_empty();
        self.on_membership_changes(now, actions, lines);
        self.exchanges.retain(|id, _| lines.iter().any(|line| line.id == *id));
        if first && self.must_subscribe {
            actions.subscribe();
        }
        if first && self.may_message_peers {
            actions.set_timer(INTRODUCED.mul_f64(self.chance.next_f64()), INTRODUCTION);
        }
    }

    /// Changed lines of the roster only.
    pub fn on_membership_changes(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        lines: &[ExchangeEntry],
    ) {
        for line in lines {
            let exchange = self.exchanges.entry(line.id).or_insert_with(|| Exchange {
                office: line.number,
                zone: line.zone,
                standing: line.status,
                started: line.started,
                free: None,
                size: 0.0,
                respite: Respite::default(),
                window: Window { size: WINDOW_AT_START, ..Window::default() },
                beyond: BTreeMap::new(),
                eased: (1.0, now),
                most: 0.0,
            });
            let (was, is) = ((exchange.standing, exchange.started), (line.status, line.started));
            if was != is {
                actions.log(&format!("exchange {}: {is:?}, was {was:?} (standing, start)", line.number.0));
                // A new processor knows nothing of what the old one left unanswered.
                exchange.respite = Respite::default();
            }
            (exchange.office, exchange.zone) = (line.number, line.zone);
            (exchange.standing, exchange.started) = is;
        }
        let mut here = lines.iter().filter(|line| Some(line.number) == self.own);
        self.zone = here.next().map(|line| line.zone).or(self.zone);
        let ready = |far: &&Exchange| far.standing == ExchangeStatus::Ready;
        let served: BTreeSet<_> = self.exchanges.values().filter(ready).map(|far| far.office).collect();
        self.exchanges.retain(|_, far| far.standing != ExchangeStatus::Gone || !served.contains(&far.office));
    }

    /// A subscription failed or broke: asked for again after a jittered while.
    pub fn on_subscription_failed(&mut self, _now: Duration, actions: &mut dyn ControllerActions) {
        if self.must_subscribe {
            actions.set_timer(LAST_CEILING.mul_f64(1.0 + self.chance.next_f64()), HOUSEKEEPING);
        }
    }

    /// A call is offered, by a subscriber or in transit.
    pub fn on_offer(&mut self, now: Duration, actions: &mut dyn ControllerActions, offer: CallOffer) {
        // A caller who dials again waits since the first try: what is late already earns little.
        self.given_up.forget(REDIALS_WITHIN, now);
        let first = self.given_up.get(offer.dialled).copied();
        let (arrived, lot) = first.unwrap_or_else(|| (now, self.chance.next_f64()));
        if let Some(advised) = offer.advised.filter(|_| !offer.transit) {
            let mut all = self.exchanges.values_mut();
            if let Some(far) = all.find(|far| far.office == advised) {
                far.beyond.entry(offer.dest).or_default().leads = Some(true);
            }
        }
        let kind = usize::from(offer.call_type.0);
        match kind < self.kinds.len() {
            true => self.set_up(now, actions, Call { offer, kind, arrived, lot, seizures: 0, spent: false }),
            false => actions.reject(offer.call, Duration::ZERO),
        }
    }

    /// The call stands; all that is left of it is its end, which needs no answer.
    pub fn on_seizure_answered(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        stood: &SeizureAnswered,
    ) {
        if let Some((call, Next::Seized(_))) = self.calls.remove(&stood.call) {
            self.answered(now, stood.exchange, stood.elapsed <= self.prompt, false);
            if let Some(far) = self.exchanges.get_mut(&stood.exchange) {
                far.beyond.entry(call.offer.dest).or_default().leads = Some(true);
            }
        }
        self.alive(actions, stood.exchange);
        self.serve_line(now, actions);
    }

    /// A seizure has ended.
    pub fn on_seizure_ended(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        end: &SeizureEnded,
    ) {
        let SeizureEnded { call, exchange, cause, .. } = *end;
        match cause {
            // Guards against finding a group without a free circuit, or none at all, once a call.
            Cause::NotSent { own_down: false } => {
                self.exchanges.get_mut(&exchange).into_iter().for_each(|far| far.free = Some(0.0));
            }
            Cause::TimedOut | Cause::Unreachable | Cause::ProcessorFull { .. } => {
                self.in_vain(now, actions, end)
            }
            // That a call has ended says nothing of the processor that set it up long ago.
            Cause::NotSent { .. } | Cause::Cancelled | Cause::Cut | Cause::Done => {}
            _ => self.alive(actions, exchange),
        }
        match self.calls.remove(&call) {
            Some((call, Next::Seized(next))) if call.seizures.checked_sub(1) == Some(end.seizure.0) => {
                let silence = matches!(cause, Cause::TimedOut | Cause::Unreachable);
                let pressed = silence || matches!(cause, Cause::ProcessorFull { .. });
                self.answered(now, exchange, !pressed && end.elapsed <= self.prompt, silence);
                if !end.closed {
                    next(self, now, actions, call, cause);
                }
            }
            Some(entry) => drop(self.calls.insert(call, entry)),
            _ => {}
        }
        self.serve_line(now, actions);
    }

    /// The caller is gone; nothing is owed any more.
    pub fn on_caller_gone(&mut self, now: Duration, actions: &mut dyn ControllerActions, call: CallId) {
        let Some((entry, next)) = self.calls.remove(&call) else { return };
        self.remember(now, &entry);
        if let Next::Seized(_) = next {
            // The seizure is still out, and its window with it, until its end is told.
            if self.may_cancel {
                actions.cancel(call, SeizureNumber(entry.seizures - 1));
            }
            self.calls.insert(call, (entry, Next::Seized(Box::new(|_, _, _, _, _| {}))));
        } else {
            self.leave_line(&entry);
        }
    }

    /// An alarm set earlier; stale ones find no call that waits for them.
    pub fn on_timer(&mut self, now: Duration, actions: &mut dyn ControllerActions, timer: TimerId) {
        if timer == HOUSEKEEPING {
            return actions.subscribe();
        }
        if timer == INTRODUCTION {
            self.introduced = Some(now);
            return actions.send_to_peers(None, &self.groups(HELLO));
        }
        let id = CallId(timer.0);
        match self.calls.remove(&id) {
            Some((call, Next::Waiting { until, then })) if until <= now => then(self, now, actions, call),
            Some(entry) => drop(self.calls.insert(id, entry)),
            None => {}
        }
    }

    /// A report: it came with an outcome, or tells of a change in the own group.
    pub fn on_capacity_report(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        exchange: ExchangeId,
        report: &CapacityReport,
    ) {
        if let Some(far) = self.exchanges.get_mut(&exchange) {
            far.free = report.free.or(far.free);
            far.size = report.size.unwrap_or(far.size);
            if let Some(rate) = report.rate {
                far.most = far.most.max(rate);
                far.eased = ((rate / (EASY * far.most)).min(1.0), now);
            }
        }
        self.serve_line(now, actions);
    }

    /// A message from another controller: which groups its exchange has. One that started later than this one
    /// is answered in kind, those that start together need no answer.
    pub fn on_peer_message(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        peer: PeerId,
        message: &[u8],
    ) {
        let [kind @ (HELLO | WELCOME), high, low, groups @ ..] = message else { return };
        let office = ExchangeNumber(u16::from_be_bytes([*high, *low]));
        if let Some(far) = self.exchanges.values_mut().find(|far| far.office == office) {
            let bits = groups.iter().flat_map(|byte| (0..8).map(move |bit| byte >> bit & 1));
            for (dest, bit) in (0..=u16::MAX).zip(bits) {
                far.beyond.entry(ExchangeNumber(dest)).or_default().leads = Some(bit == 1);
            }
        }
        if *kind == HELLO && self.introduced.is_some_and(|at| now > at + INTRODUCED) {
            actions.send_to_peers(Some(peer), &self.groups(WELCOME));
        }
    }

    /// The own number and a bit for each exchange to which the own one has a group, as far as a message goes.
    fn groups(&self, kind: u8) -> Vec<u8> {
        let [high, low] = self.own.map_or(0, |own| own.0).to_be_bytes();
        let mut message = vec![kind, high, low];
        for far in self.exchanges.values().filter(|far| far.size > 0.0 && far.office.0 / 8 < LONGEST) {
            let at = 3 + usize::from(far.office.0 / 8);
            message.resize(message.len().max(at + 1), 0);
            message[at] |= 1 << (far.office.0 % 8);
        }
        message
    }

    fn set_up(&mut self, now: Duration, actions: &mut dyn ControllerActions, call: Call) {
        self.busy.forget(BUSY_FOR, now);
        // Guards against set-ups for a number whose lines are all busy; it could miss one that frees.
        if self.busy.get(call.offer.dialled).is_some() {
            return self.give_up(now, actions, call);
        }
        match self.route(now, &call) {
            Some(to) => self.seize(now, actions, call, to),
            None => self.hold(now, actions, call),
        }
    }

    /// Holds a call without a way for part of its setup target, in case circuits or a processor free up.
    /// Guards against answering a passing shortage by rejecting, and against the redials that follow.
    fn hold(&mut self, now: Duration, actions: &mut dyn ControllerActions, call: Call) {
        let held = self.kinds[call.kind].target.mul_f64(HELD);
        let until = call.arrived.saturating_add(held).min(call.offer.deadline);
        // Where nobody is there to take it, waiting serves nobody.
        if call.offer.transit || until <= now || self.own.is_some() && self.dest(&call.offer).is_none() {
            return self.give_up(now, actions, call);
        }
        let place = self.place_in_line(&call);
        self.line.entry(call.offer.dest).or_default().entry(lots(&call)).or_default().insert(place);
        let then: AfterWait = Box::new(|me, now, actions, call| {
            me.leave_line(&call);
            me.give_up(now, actions, call);
        });
        self.wait(now, actions, call, until - now, then);
    }

    /// The one way to wait. To the microsecond, as clocks count, and no less than asked: guards against an
    /// alarm that rings a shade early, finds the wait not over and leaves its call without an answer.
    fn wait(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        call: Call,
        span: Duration,
        then: AfterWait,
    ) {
        let span = Duration::from_micros(span.as_nanos().div_ceil(1000) as u64);
        actions.set_timer(span, TimerId(call.offer.call.0));
        self.calls.insert(call.offer.call, (call, Next::Waiting { until: now + span, then }));
    }

    fn place_in_line(&self, call: &Call) -> Place {
        (self.kinds[call.kind].rank, call.arrived, call.offer.call)
    }

    fn leave_line(&mut self, call: &Call) {
        let place = self.place_in_line(call);
        let Some(all) = self.line.get_mut(&call.offer.dest) else { return };
        if let Some(places) = all.get_mut(&lots(call)) {
            places.remove(&place);
        }
        all.retain(|_, places| !places.is_empty());
        if all.is_empty() {
            self.line.remove(&call.offer.dest);
        }
    }

    /// Sends on what now finds a way, highest revenue first; none does while the window over all is shut.
    /// Only calls that may find room, of lots that are taken, are looked at: a pressed line gets long.
    fn serve_line(&mut self, now: Duration, actions: &mut dyn ControllerActions) {
        if self.line.is_empty() || !self.window.open() {
            return;
        }
        let tandems = self.exchanges.values().any(|far| far.has_room(1.0 + RESERVED));
        let mut next = BinaryHeap::new();
        for (dest, all) in &self.line {
            let below = self.may_go(now, *dest, tandems);
            let hopeful = all.iter().filter(|(lots, _)| f64::from(**lots) < below * f64::from(LOTS));
            let firsts = hopeful.filter_map(|(lots, all)| Some((*all.first()?, *dest, *lots)));
            next.extend(firsts.map(Reverse));
        }
        while self.window.open()
            && let Some(Reverse((place, dest, lots))) = next.pop()
        {
            let after = (Bound::Excluded(place), Bound::Unbounded);
            let places = self.line.get(&dest).and_then(|all| all.get(&lots));
            let follows = places.and_then(|places| places.range(after).next().copied());
            next.extend(follows.map(|follows| Reverse((follows, dest, lots))));
            let to = self.calls.get(&place.2).and_then(|(call, _)| self.route(now, call));
            if let Some(to) = to
                && let Some((call, _)) = self.calls.remove(&place.2)
            {
                self.leave_line(&call);
                self.seize(now, actions, call, to);
            }
        }
    }

    /// Below which lot the narrowest call could go there; room only gets less while the line is served.
    fn may_go(&self, now: Duration, dest: ExchangeNumber, tandems: bool) -> f64 {
        if self.own.is_none() {
            return 1.0;
        }
        let there = |far: &&Exchange| far.office == dest && far.standing == ExchangeStatus::Ready;
        let open = self.exchanges.values().filter(there).filter(|far| tandems || far.has_room(1.0));
        open.map(|far| self.taken(now, far)).fold(0.0, f64::max)
    }

    /// The one place that sends: `route` has seen to drains, cold exchanges and silence just before.
    fn seize(&mut self, now: Duration, actions: &mut dyn ControllerActions, mut call: Call, to: ExchangeId) {
        let Some(left) = call.offer.deadline.checked_sub(now + RESERVE).filter(|left| *left >= USEFUL) else {
            return self.give_up(now, actions, call);
        };
        let Some(far) = self.exchanges.get_mut(&to) else { return self.give_up(now, actions, call) };
        far.free = far.free.map(|free| free - f64::from(call.offer.width));
        far.window.out += 1.0;
        self.window.out += 1.0;
        // Guards against callers who dial again and again refilling the balance: those are late already.
        let rest = (call.arrived.saturating_add(self.kinds[call.kind].target)).checked_sub(now);
        if call.seizures == 0 && !call.offer.transit && rest.is_some() {
            self.credit = (self.credit + 1).min(CREDIT_CAP);
        }
        call.seizures += 1;
        // What takes longer than the setup target is worth little, and holds circuits on its way.
        let limit = rest.filter(|rest| *rest >= USEFUL).unwrap_or(left).min(left);
        actions.seize(call.offer.call, to, limit);
        let next: AfterSeizure =
            Box::new(move |me, now, actions, call, cause| me.failed(now, actions, call, to, cause));
        self.calls.insert(call.offer.call, (call, Next::Seized(next)));
    }

    /// A seizure came to nothing: only what a further attempt may mend pays for one.
    fn failed(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        mut call: Call,
        to: ExchangeId,
        cause: Cause,
    ) {
        use Cause::{Busy, Cancelled, Cut, Fault, TimedOut, TurnedBack};
        let maybe = matches!(cause, TimedOut | Cut | Cancelled | Busy | Fault);
        call.spent |= maybe && self.kinds[call.kind].repeats != RepeatPolicy::Freely;
        let told = match cause {
            Cause::TimedOut | Cause::Cut | Cause::Cancelled => self.release_wait,
            Cause::ProcessorFull { wait } => wait,
            Cause::Busy => {
                self.busy.push(now, call.offer.dialled, ());
                return self.give_up(now, actions, call);
            }
            Cause::Done | Cause::NotSent { own_down: true } => return self.give_up(now, actions, call),
            _ => Duration::ZERO,
        };
        let tandem = self.exchanges.get_mut(&to).filter(|far| far.office != call.offer.dest);
        if let (TurnedBack { .. } | Fault, Some(tandem)) = (cause, tandem) {
            // Guards against turn-backs and faults piling up on tandems without room beyond; this call skips
            // it too.
            let way = tandem.beyond.entry(call.offer.dest).or_default();
            let (until, width) = &mut way.blocked;
            *width = if *until <= now { call.offer.width } else { call.offer.width.min(*width) };
            *until = now + if way.leads.is_some() { BLOCKED_FOR } else { UNKNOWN_FOR };
        }
        let doublings = u32::from(call.seizures.saturating_sub(1)).min(8);
        let ceiling = LAST_CEILING.min(FIRST_CEILING * 2u32.pow(doublings));
        let drawn = ceiling.mul_f64(self.chance.next_f64());
        // The release time, or a stated wait, is the same for all, and mostly longer than the draw. Guards
        // against instances whose seizures ended together sending them again together; could cost a call its
        // last try.
        let wait = told + drawn;
        let fits = now + wait + USEFUL + RESERVE <= call.offer.deadline;
        let may = !call.offer.transit && !call.spent && call.seizures < self.seizure_limit;
        if !may || !fits || self.credit < FURTHER {
            return self.give_up(now, actions, call);
        }
        self.credit -= FURTHER;
        self.wait(now, actions, call, wait, Box::new(|me, now, actions, call| me.set_up(now, actions, call)));
    }

    /// Guards against callers who dial again and again being taken for as many new ones.
    fn remember(&mut self, now: Duration, call: &Call) {
        if !call.offer.transit {
            self.given_up.push(now, call.offer.dialled, (call.arrived, call.lot));
        }
    }

    /// The final answer of a call that is not set up. What may have been carried out is not called rejected.
    fn give_up(&mut self, now: Duration, actions: &mut dyn ControllerActions, call: Call) {
        self.remember(now, &call);
        match call.spent {
            true => actions.release(call.offer.call),
            false => {
                // Guards against callers who were rejected together coming back together.
                let share = 1.0 - 0.5 * self.chance.next_f64();
                actions.reject(call.offer.call, self.come_back.mul_f64(share));
            }
        }
    }

    /// Where the call is for, if it is there: not the own exchange, for which calls come while another
    /// exchange's controller is down.
    fn dest(&self, offer: &CallOffer) -> Option<(ExchangeId, &Exchange)> {
        let there = |far: &&Exchange| far.standing == ExchangeStatus::Ready && Some(far.office) != self.own;
        let mut all = self.exchanges.iter().filter(|(_, far)| far.office == offer.dest && there(far));
        all.next().map(|(id, far)| (*id, far))
    }

    /// Direct while its group has room, else the tandem whose first leg has most room.
    fn route(&self, now: Duration, call: &Call) -> Option<ExchangeId> {
        let offer = &call.offer;
        let width = f64::from(offer.width);
        let kind = &self.kinds[call.kind];
        if self.rests(now, self.zone) || !offer.transit && !self.window.open() {
            return None;
        }
        let dest = self.dest(offer).filter(|(_, far)| self.takes(now, far, call.lot));
        if let Some((id, far)) = dest.filter(|(_, far)| far.has_room(width)) {
            // What earns little leaves the last circuit to others. A call in transit leaves none: it holds
            // circuits already, and most come from where no group leads here.
            let left = f64::from(u8::from(kind.leaves && far.size > THIN));
            let left = if offer.transit { 0.0 } else { left.max(self.kept_for(call)) };
            if far.has_room(width + left) {
                return Some(id);
            }
        }
        // One that is not there, or takes nothing, is not reached over a tandem either.
        let no_detour = dest.is_none_or(|(_, far)| far.has_room(width));
        if offer.transit || self.own.is_some() && no_detour {
            return None;
        }
        self.exchanges
            .iter()
            .filter(|(_, far)| far.office != offer.dest && Some(far.office) != self.own)
            .filter(|(_, far)| self.own.is_some() || kind.pools.contains(&far.office))
            .filter(|(_, far)| far.has_room(width + RESERVED) && far.leads_on(now, offer))
            .filter(|(_, far)| self.cold_share(now, far).is_none() && self.takes(now, far, call.lot))
            .map(|(id, far)| (far.leads_to(offer.dest), far.free, id))
            .max_by(|a, b| a.0.cmp(&b.0).then(a.1.unwrap_or(0.0).total_cmp(&b.1.unwrap_or(0.0))))
            .map(|(_, _, id)| *id)
    }

    /// Circuits that dearer calls in the line wait for on the way to the same place. Guards against wide
    /// calls starving while narrow ones take each circuit that comes free; holds back the narrow ones for it.
    fn kept_for(&self, call: &Call) -> f64 {
        let Some(all) = self.line.get(&call.offer.dest) else { return 0.0 };
        let dearer = ..(self.kinds[call.kind].rank, Duration::ZERO, CallId(0));
        let ahead = all.values().flat_map(|places| places.range(dearer));
        let widths = ahead.filter_map(|place| self.calls.get(&place.2)).map(|(other, _)| other.offer.width);
        f64::from(widths.max().unwrap_or(0))
    }

    /// Whether an exchange may be sent a call of this lot. Guards against pressing a processor of which each
    /// of many senders sees little: all leave out the same share, for a while also when it is well again.
    fn takes(&self, now: Duration, far: &Exchange, lot: f64) -> bool {
        lot < self.taken(now, far)
    }

    /// Below which lot calls are sent there.
    fn taken(&self, now: Duration, far: &Exchange) -> f64 {
        let silent = !far.answers(now) || self.rests(now, Some(far.zone));
        if silent { 0.0 } else { self.cold_share(now, far).unwrap_or(1.0).min(far.share(now)) }
    }

    /// A cold exchange takes no more than its share of the calls, so that all controllers together stay below
    /// what would push it over even in a surge. None: it is warm.
    fn cold_share(&self, now: Duration, far: &Exchange) -> Option<f64> {
        let age = now.saturating_sub(far.started);
        let cold = !far.started.is_zero() && age < self.warm_up;
        let warmth = age.as_secs_f64() / self.warm_up.as_secs_f64();
        cold.then_some((self.cold_share + (1.0 - self.cold_share) * warmth) * self.ample)
    }

    /// One set-up less out to an exchange. The window on them keeps a pressed processor, the far one or the
    /// own, from being sent more than it works off: its queue would make every set-up late, and what is given
    /// up is worked on all the same. It could hold back calls where a far way is long by itself.
    fn answered(&mut self, now: Duration, exchange: ExchangeId, promptly: bool, silence: bool) {
        let at_ease = self.exchanges.get_mut(&exchange).is_some_and(|far| {
            far.window.answered(now, self.prompt, promptly, !promptly);
            far.most > 0.0 && far.share(now) >= 1.0
        });
        // Neither silence nor some late far ends among many must shut the way to all others: an own processor
        // that is late makes all answers late, also of those that say they are at ease.
        let late = !promptly && !silence;
        self.window.answered(now, self.prompt, promptly, late && (self.late || at_ease));
        self.late = late || self.late && silence;
    }

    fn alive(&mut self, actions: &mut dyn ControllerActions, exchange: ExchangeId) {
        self.vain.remove(&self.zone);
        if let Some(far) = self.exchanges.get_mut(&exchange) {
            self.vain.remove(&Some(far.zone));
            let count = std::mem::take(&mut far.respite).fruitless;
            if count >= SILENT_AFTER {
                actions.log(&format!("exchange {} of use again after {count} seizures", far.office.0));
            }
        }
    }

    /// No answer from one exchange of a region after the other: it is cut off, on whatever way. In the own
    /// region it is the own processor, which all calls pass, as are full answers from anywhere; the far ends
    /// are not blamed then. It could leave a region alone where many hang.
    fn in_vain(&mut self, now: Duration, actions: &mut dyn ControllerActions, end: &SeizureEnded) {
        let Some(far) = self.exchanges.get_mut(&end.exchange) else { return };
        let (full, zone) = match end.cause {
            Cause::ProcessorFull { wait } => (Some(wait), self.zone),
            _ => (None, Some(far.zone)),
        };
        let (respite, at) = self.vain.entry(zone).or_insert((Respite::default(), end.exchange));
        let next = std::mem::replace(at, end.exchange) != end.exchange;
        if next && end.cause != Cause::Unreachable {
            respite.again(now, actions, format_args!("exchange after exchange of region {zone:?}"), None);
        }
        if self.vain.get(&self.zone).is_none_or(|(own, _)| own.fruitless < SILENT_AFTER) {
            far.respite.again(now, actions, format_args!("exchange {}", far.office.0), full);
        }
    }

    fn rests(&self, now: Duration, zone: Option<Zone>) -> bool {
        self.vain.get(&zone).is_some_and(|(respite, _)| now < respite.until)
    }
}

impl<T> Lately<T> {
    fn new() -> Self {
        Self { seen: VecDeque::new(), last: BTreeMap::new() }
    }

    /// Number 0 is none, and not remembered.
    fn push(&mut self, now: Duration, dialled: DialledNumber, what: T) {
        if dialled.0 != 0 {
            self.seen.push_back((now, dialled));
            self.last.insert(dialled, (now, what));
        }
    }

    fn get(&self, dialled: DialledNumber) -> Option<&T> {
        self.last.get(&dialled).map(|(_, what)| what)
    }

    /// Drops, oldest first, what is older than `span`.
    fn forget(&mut self, span: Duration, now: Duration) {
        while let Some((at, dialled)) = self.seen.pop_front_if(|(at, _)| *at + span < now) {
            if self.last.get(&dialled).is_some_and(|(last, _)| *last == at) {
                self.last.remove(&dialled);
            }
        }
    }
}

impl Respite {
    /// Once more without use.
    fn again(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        who: Arguments,
        full: Option<Duration>,
    ) {
        self.fruitless = self.fruitless.saturating_add(1);
        if full.is_some() || self.fruitless >= SILENT_AFTER {
            let alone = ALONE * 2u32.pow((self.fruitless - 1).min(ALONE_DOUBLINGS));
            self.until = self.until.max(now + alone.max(full.unwrap_or_default()));
        }
        if self.fruitless == SILENT_AFTER {
            actions.log(&format!("{who} silent or full: {SILENT_AFTER} seizures in a row"));
        }
    }
}

impl Window {
    fn open(&self) -> bool {
        self.out < self.size.floor()
    }

    fn answered(&mut self, now: Duration, prompt: Duration, opens: bool, shuts: bool) {
        self.out = (self.out - 1.0).max(0.0);
        if opens {
            self.size = (self.size + 1.0 / self.size).min(2.0 * self.out + WINDOW_AT_START).max(self.size);
        } else if shuts && now >= self.shut_at + prompt {
            self.size = (self.size * SHUT_BY).max(1.0);
            self.shut_at = now;
        }
    }
}

impl Exchange {
    fn has_room(&self, circuits: f64) -> bool {
        self.free.is_none_or(|free| free >= circuits)
    }

    /// The share of the usual calls that it takes, by its last word.
    fn share(&self, now: Duration) -> f64 {
        let (eased, at) = self.eased;
        (eased + now.saturating_sub(at).as_secs_f64() / WORD_FADES).min(1.0)
    }

    /// Whether it has not lately turned back a call like this one.
    fn leads_on(&self, now: Duration, offer: &CallOffer) -> bool {
        let way = self.beyond.get(&offer.dest).copied().unwrap_or_default();
        way.leads != Some(false) && (now >= way.blocked.0 || offer.width < way.blocked.1)
    }

    fn leads_to(&self, dest: ExchangeNumber) -> Option<bool> {
        self.beyond.get(&dest).and_then(|way| way.leads)
    }

    /// Whether a set-up sent there now is likely to be answered.
    fn answers(&self, now: Duration) -> bool {
        let trial = self.respite.fruitless < SILENT_AFTER || self.window.out < 1.0;
        self.standing == ExchangeStatus::Ready && now >= self.respite.until && self.window.open() && trial
    }
}
