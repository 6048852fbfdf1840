//! Makes all decisions: which calls are set up, over which route, and whether a call whose seizure failed is
//! retried, rejected or released.
//!
//! The surrounding program makes one [`Controller`] from its [`ControllerConfig`] and reports events by calling
//! the methods below, each with the time. The controller acts through the [`ControllerActions`] that it is
//! passed. The interface is in `interface.rs`, the reasons are in `docs/design.md`. Each call is stored with its
//! `Continuation`: a closure that runs when its seizure fails or its wait ends.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt::Arguments;
use std::ops::Bound;
use std::time::Duration;

use crate::interface::*;
use crate::random::MwcRng;
use crate::recent_numbers::RecentNumbers;

/// Retry credit is counted in tenths of a retry.
const CREDIT_PER_RETRY: u32 = 10;
const INITIAL_CREDIT: u32 = 2 * CREDIT_PER_RETRY;
const MAX_CREDIT: u32 = 10 * CREDIT_PER_RETRY;
const MAX_SEIZURES_PER_CALL: u8 = 4;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Minimum time left in which a seizure is worth sending.
const MIN_SEIZURE_TIME: Duration = Duration::from_millis(20);
/// Time kept for the final answer before the caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// Circuits that a call leaves free, beyond its own width, on a group that is not its direct route.
const TRUNK_RESERVATION: f64 = 2.0;
/// How long an exchange gets no set-ups after its processor was full, or after a second seizure in a row
/// without an answer.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(300);
/// How many times the ejection time doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Failed seizures in a row after which an exchange counts as silent.
const EJECTION_THRESHOLD: u32 = 2;
/// How long a tandem that turned a call back is not tried again for the same destination.
const CRANKBACK_BLOCK_TIME: Duration = Duration::from_secs(2);
/// The same for a tandem that is not known to have a group to the destination.
const UNKNOWN_ROUTE_BLOCK_TIME: Duration = Duration::from_secs(20);
/// A concurrency limit rises while set-ups are answered within this share of the shortest setup target.
const LATENCY_SHARE_OF_TARGET: f64 = 0.35;
/// The answers must also come well before a waiting set-up is retransmitted, which is more work for a
/// processor that is overloaded already.
const LATENCY_SHARE_OF_RETRANSMIT: f64 = 0.5;
/// A late answer multiplies a concurrency limit by this factor.
const LIMIT_DECREASE_FACTOR: f64 = 0.7;
const INITIAL_CONCURRENCY_LIMIT: f64 = 4.0;
/// A further call to the same number within this time is a redial.
const REDIAL_WINDOW: Duration = Duration::from_secs(4);
/// How long no set-up is sent for a number that was busy.
const BUSY_BLOCK_TIME: Duration = Duration::from_secs(2);
/// Call types whose revenue per circuit and time is below this share of the best type leave the last circuit
/// of the direct group to others.
const LOW_REVENUE_SHARE: f64 = 0.5;
/// They don't in groups of at most this many circuits: few calls need the last one of a small group.
const SMALL_GROUP_CIRCUITS: f64 = 7.0;
/// Share of the setup target for which a call without a route is queued.
const QUEUE_SHARE_OF_TARGET: f64 = 0.5;
/// The share of calls that a cold exchange is sent is multiplied by the overload multiple and divided by this
/// surge in calls.
const CALL_SURGE_FACTOR: f64 = 1.6;
/// An exchange is overloaded if it reports a rate below this share of the highest rate that it has reported.
const OVERLOAD_RATE_SHARE: f64 = 0.7;
/// Seconds within which the effect of a reported rate fades out.
const REPORTED_RATE_FADE_S: f64 = 20.0;
/// Within this time after the first membership list, a controller announces its groups to its peers.
const ANNOUNCEMENT_WINDOW: Duration = Duration::from_secs(1);
const RESUBSCRIBE_TIMER: TimerId = TimerId(1 << 63);
const ANNOUNCEMENT_TIMER: TimerId = TimerId(RESUBSCRIBE_TIMER.0 + 1);
/// First byte of a message to peers: the announcement of a controller that has just started, and the reply to
/// one.
const ANNOUNCEMENT: u8 = 1;
const ANNOUNCEMENT_REPLY: u8 = 2;
/// Space for the bitmap of groups in a message.
const MAX_GROUP_BITMAP_BYTES: u16 = 250;

type AfterSeizure = Box<dyn FnOnce(&mut Controller, Duration, &mut dyn ControllerActions, Call, Cause)>;
type AfterWait = Box<dyn FnOnce(&mut Controller, Duration, &mut dyn ControllerActions, Call)>;

/// What happens to a call at the next event for it.
enum Continuation {
    SeizureEnd(AfterSeizure),
    Wait { until: Duration, then: AfterWait },
}

/// A call to which this controller has to give a final answer.
struct Call {
    offer: CallOffer,
    /// Index in `call_types` of the controller.
    call_type: usize,
    arrived: Duration,
    /// Drawn from [0, 1). Where only a fraction of the calls is sent, a call is sent if its key is below the
    /// fraction.
    sampling_key: f64,
    seizures: u8,
    /// A set-up that must not be repeated may have been carried out.
    retry_is_unsafe: bool,
}

/// How calls of one type are treated.
struct CallTypeRules {
    setup_target: Duration,
    repeat_policy: RepeatPolicy,
    /// Number of call types with higher revenue.
    revenue_rank: usize,
    /// Whether the last circuit is left to types with far higher revenue.
    low_revenue: bool,
    pools: Vec<ExchangeNumber>,
}

/// What is known of one exchange. Entries come from the membership list, and are removed once it no longer
/// names the exchange or names a replacement.
#[derive(Clone, Debug)]
struct Exchange {
    number: ExchangeNumber,
    zone: Zone,
    status: ExchangeStatus,
    started: Duration,
    /// Free circuits (or agents) towards it; `None` until the first report.
    free_circuits: Option<f64>,
    /// All circuits (or agents) towards it.
    group_size: f64,
    ejection: Ejection,
    concurrency: ConcurrencyLimit,
    /// Routes from it, as a tandem, to other exchanges. At most one entry a destination.
    onward_routes: BTreeMap<ExchangeNumber, OnwardRoute>,
    /// The share of the usual set-ups that its last report accepts, and the time of that report.
    reported_share: (f64, Duration),
    /// Highest rate that it has reported, in set-ups a second.
    max_reported_rate: f64,
}

/// What is known of the route from a tandem to one destination.
#[derive(Clone, Copy, Debug, Default)]
struct OnwardRoute {
    /// Whether the tandem has a group to the destination: told by a peer, implied by advice for a call or
    /// shown by an answered call.
    has_group: Option<bool>,
    /// After the tandem turned a call back: until when it is not tried, and from which width on.
    blocked: (Duration, u16),
}

/// Seizures in a row that got no answer or found the processor full, and until when no set-ups are sent.
/// Guards against sending call after call to an exchange that does not answer, and to a full processor while
/// its queue of several seconds drains. It could keep calls from an exchange that was full, or silent twice,
/// by chance.
#[derive(Clone, Debug, Default)]
struct Ejection {
    consecutive_failures: u32,
    until: Duration,
}

/// How many set-ups may be in flight, how many are, and when the limit was last lowered.
#[derive(Clone, Debug, Default)]
struct ConcurrencyLimit {
    in_flight: f64,
    limit: f64,
    decreased_at: Duration,
}

pub struct Controller {
    own_number: Option<ExchangeNumber>,
    /// Zone of the own exchange, once the membership list names it.
    own_zone: Option<Zone>,
    call_types: Vec<CallTypeRules>,
    max_seizures: u8,
    max_retry_after: Duration,
    may_cancel: bool,
    release_wait: Duration,
    warm_up: Duration,
    cold_share: f64,
    cold_load_multiple: f64,
    /// A set-up that takes longer met an overloaded processor.
    latency_threshold: Duration,
    must_subscribe: bool,
    may_message_peers: bool,
    /// When the own groups were announced to the peers.
    announced_at: Option<Duration>,
    rng: MwcRng,
    retry_credit: u32,
    /// Limit over all exchanges, for what the own processor can work off.
    concurrency: ConcurrencyLimit,
    last_answer_late: bool,
    /// Regions in which one exchange after the other failed, and the exchange that failed last. The own
    /// region stands for the own processor. At most one entry a region, removed once a seizure there
    /// succeeds.
    region_ejections: BTreeMap<Option<Zone>, (Ejection, ExchangeId)>,
    /// Exchanges that the membership list no longer names are removed.
    exchanges: BTreeMap<ExchangeId, Exchange>,
    /// A call is removed when it stands, gets its final answer, or its seizure ends after the caller has
    /// gone.
    calls: BTreeMap<CallId, (Call, Continuation)>,
    /// Numbers whose calls ended unanswered lately, with the time of the first offer and the sampling key.
    /// Old entries are removed.
    given_up_numbers: RecentNumbers<(Duration, f64)>,
    /// Numbers found busy lately. Old entries are removed.
    busy_numbers: RecentNumbers<()>,
    /// Calls that wait for a route, by destination and sampling bucket, then by revenue rank and age. They
    /// are removed when they leave `calls` or find a route.
    queue: BTreeMap<ExchangeNumber, BTreeMap<u8, BTreeSet<QueueKey>>>,
}

/// The queue groups calls by their sampling key, in sixteenths.
const SAMPLING_BUCKETS: u8 = 16;

fn sampling_bucket(call: &Call) -> u8 {
    (call.sampling_key * f64::from(SAMPLING_BUCKETS)) as u8
}

/// Position in the queue: calls of higher revenue first, then older ones.
type QueueKey = (usize, Duration, CallId);

impl Controller {
    pub fn new(config: &ControllerConfig, seed: u64) -> Self {
        let revenue_density = |call_type: &CallTypeConfig| {
            call_type.revenue
                / (f64::from(call_type.width.max(1)) * call_type.mean_hold.as_secs_f64().max(f64::EPSILON))
        };
        let best_density = config.call_types.iter().map(revenue_density).fold(0.0, f64::max);
        let call_type_rules = |call_type: &CallTypeConfig| CallTypeRules {
            setup_target: call_type.setup_target.min(call_type.guard_time),
            repeat_policy: call_type.repeats,
            low_revenue: revenue_density(call_type) < LOW_REVENUE_SHARE * best_density,
            revenue_rank: config.call_types.iter().filter(|other| other.revenue > call_type.revenue).count(),
            pools: call_type.pools.clone(),
        };
        let shortest_target = config
            .call_types
            .iter()
            .map(|call_type| call_type.setup_target)
            .min()
            .unwrap_or(Duration::MAX / 2);
        let retransmit_after =
            Some(config.retransmit_after).filter(|time| !time.is_zero()).unwrap_or(Duration::MAX / 2);
        Self {
            own_number: config.own,
            own_zone: None,
            call_types: config.call_types.iter().map(call_type_rules).collect(),
            max_seizures: MAX_SEIZURES_PER_CALL.min(config.seizure_limit),
            max_retry_after: config.max_retry_after,
            may_cancel: config.may_cancel,
            release_wait: config.release_wait,
            warm_up: config.warm_up,
            cold_share: config.cold_share.clamp(0.0, 1.0),
            cold_load_multiple: config.overload_multiple.max(0.0) / CALL_SURGE_FACTOR,
            latency_threshold: shortest_target
                .mul_f64(LATENCY_SHARE_OF_TARGET)
                .min(retransmit_after.mul_f64(LATENCY_SHARE_OF_RETRANSMIT)),
            must_subscribe: config.must_subscribe,
            may_message_peers: config.may_message_peers && config.own.is_some(),
            announced_at: None,
            rng: MwcRng::new(seed),
            retry_credit: INITIAL_CREDIT,
            concurrency: ConcurrencyLimit {
                limit: 4.0 * INITIAL_CONCURRENCY_LIMIT,
                ..ConcurrencyLimit::default()
            },
            last_answer_late: false,
            region_ejections: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            calls: BTreeMap::new(),
            given_up_numbers: RecentNumbers::default(),
            busy_numbers: RecentNumbers::default(),
            queue: BTreeMap::new(),
        }
    }

    /// Takes a full membership list, restored or current.
    pub fn on_membership(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        entries: &[ExchangeEntry],
    ) {
        let is_first = self.exchanges.is_empty();
        self.on_membership_changes(now, actions, entries);
        self.exchanges.retain(|id, _| entries.iter().any(|entry| entry.id == *id));
        if is_first && self.must_subscribe {
            actions.subscribe();
        }
        if is_first && self.may_message_peers {
            actions.set_timer(ANNOUNCEMENT_WINDOW.mul_f64(self.rng.next_f64()), ANNOUNCEMENT_TIMER);
        }
    }

    /// Takes only the changed entries of the membership list.
    pub fn on_membership_changes(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        entries: &[ExchangeEntry],
    ) {
        for entry in entries {
            let exchange = self.exchanges.entry(entry.id).or_insert_with(|| Exchange {
                number: entry.number,
                zone: entry.zone,
                status: entry.status,
                started: entry.started,
                free_circuits: None,
                group_size: 0.0,
                ejection: Ejection::default(),
                concurrency: ConcurrencyLimit {
                    limit: INITIAL_CONCURRENCY_LIMIT,
                    ..ConcurrencyLimit::default()
                },
                onward_routes: BTreeMap::new(),
                reported_share: (1.0, now),
                max_reported_rate: 0.0,
            });
            let (old, new) = ((exchange.status, exchange.started), (entry.status, entry.started));
            if old != new {
                actions.log(&format!(
                    "exchange {}: status and processor start changed from {old:?} to {new:?}",
                    entry.number.0
                ));
                // A new processor knows nothing of what the old one left unanswered.
                exchange.ejection = Ejection::default();
            }
            (exchange.number, exchange.zone) = (entry.number, entry.zone);
            (exchange.status, exchange.started) = new;
        }
        let mut own_entries = entries.iter().filter(|entry| Some(entry.number) == self.own_number);
        self.own_zone = own_entries.next().map(|entry| entry.zone).or(self.own_zone);
        let is_ready = |exchange: &&Exchange| exchange.status == ExchangeStatus::Ready;
        let ready_numbers: BTreeSet<_> =
            self.exchanges.values().filter(is_ready).map(|exchange| exchange.number).collect();
        self.exchanges.retain(|_, exchange| {
            exchange.status != ExchangeStatus::Gone || !ready_numbers.contains(&exchange.number)
        });
    }

    /// The subscription failed or was lost: subscribes again after a jittered delay.
    pub fn on_subscription_failed(&mut self, _now: Duration, actions: &mut dyn ControllerActions) {
        if self.must_subscribe {
            actions.set_timer(MAX_BACKOFF.mul_f64(1.0 + self.rng.next_f64()), RESUBSCRIBE_TIMER);
        }
    }

    /// A call is offered, by a subscriber or in transit.
    pub fn on_offer(&mut self, now: Duration, actions: &mut dyn ControllerActions, offer: CallOffer) {
        // A redial counts from the first try: a call that is already late is worth little.
        self.given_up_numbers.remove_older_than(REDIAL_WINDOW, now);
        let first_try = self.given_up_numbers.get(offer.dialled).copied();
        let (arrived, sampling_key) = first_try.unwrap_or_else(|| (now, self.rng.next_f64()));
        if let Some(advised) = offer.advised.filter(|_| !offer.transit) {
            let mut exchanges = self.exchanges.values_mut();
            if let Some(exchange) = exchanges.find(|exchange| exchange.number == advised) {
                exchange.onward_routes.entry(offer.dest).or_default().has_group = Some(true);
            }
        }
        let call_type = usize::from(offer.call_type.0);
        match call_type < self.call_types.len() {
            true => self.set_up(
                now,
                actions,
                Call { offer, call_type, arrived, sampling_key, seizures: 0, retry_is_unsafe: false },
            ),
            false => actions.reject(offer.call, Duration::ZERO),
        }
    }

    /// The call stands; its end needs no answer.
    pub fn on_seizure_answered(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        answered: &SeizureAnswered,
    ) {
        if let Some((call, Continuation::SeizureEnd(_))) = self.calls.remove(&answered.call) {
            self.update_concurrency(
                now,
                answered.exchange,
                answered.elapsed <= self.latency_threshold,
                false,
            );
            if let Some(exchange) = self.exchanges.get_mut(&answered.exchange) {
                exchange.onward_routes.entry(call.offer.dest).or_default().has_group = Some(true);
            }
        }
        self.record_success(actions, answered.exchange);
        self.serve_queue(now, actions);
    }

    pub fn on_seizure_ended(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        end: &SeizureEnded,
    ) {
        let SeizureEnded { call, exchange: id, cause, .. } = *end;
        match cause {
            // Guards against sending call after call to a group that has no free circuit or does not exist.
            Cause::NotSent { own_down: false } => {
                self.exchanges
                    .get_mut(&id)
                    .into_iter()
                    .for_each(|exchange| exchange.free_circuits = Some(0.0));
            }
            Cause::TimedOut | Cause::Unreachable | Cause::ProcessorFull { .. } => {
                self.record_failure(now, actions, end)
            }
            Cause::Revoked => self.return_circuits(call, id),
            // The end of a call says nothing about the processor that set it up long ago.
            Cause::NotSent { .. } | Cause::Cancelled | Cause::Cut | Cause::Done => {}
            _ => self.record_success(actions, id),
        }
        match self.calls.remove(&call) {
            Some((call, Continuation::SeizureEnd(resume)))
                if call.seizures.checked_sub(1) == Some(end.seizure.0) =>
            {
                let no_answer = matches!(cause, Cause::TimedOut | Cause::Unreachable);
                let failed = no_answer || matches!(cause, Cause::ProcessorFull { .. });
                if cause == Cause::Revoked {
                    self.count_unsent(now, id);
                } else {
                    let prompt = !failed && end.elapsed <= self.latency_threshold;
                    self.update_concurrency(now, id, prompt, no_answer);
                }
                if !end.closed {
                    resume(self, now, actions, call, cause);
                }
            }
            Some(entry) => drop(self.calls.insert(call, entry)),
            _ => {}
        }
        self.serve_queue(now, actions);
    }

    /// The caller has gone; the call needs no answer any more.
    pub fn on_caller_gone(&mut self, now: Duration, actions: &mut dyn ControllerActions, call: CallId) {
        let Some((withdrawn, continuation)) = self.calls.remove(&call) else { return };
        self.record_given_up(now, &withdrawn);
        if let Continuation::SeizureEnd(_) = continuation {
            // The seizure stays in flight, and counts in the limits, until its end is reported.
            if self.may_cancel {
                actions.cancel(call, SeizureNumber(withdrawn.seizures - 1));
            }
            self.calls.insert(call, (withdrawn, Continuation::SeizureEnd(Box::new(|_, _, _, _, _| {}))));
        } else {
            self.remove_from_queue(&withdrawn);
        }
    }

    /// A timer has expired; an outdated one finds no call that waits for it.
    pub fn on_timer(&mut self, now: Duration, actions: &mut dyn ControllerActions, timer: TimerId) {
        if timer == RESUBSCRIBE_TIMER {
            return actions.subscribe();
        }
        if timer == ANNOUNCEMENT_TIMER {
            self.announced_at = Some(now);
            return actions.send_to_peers(None, &self.groups_message(ANNOUNCEMENT));
        }
        let call_id = CallId(timer.0);
        match self.calls.remove(&call_id) {
            Some((call, Continuation::Wait { until, then })) if until <= now => {
                then(self, now, actions, call)
            }
            Some(entry) => drop(self.calls.insert(call_id, entry)),
            None => {}
        }
    }

    /// A capacity report came with the outcome of a seizure, or reports a change in the own group.
    pub fn on_capacity_report(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        id: ExchangeId,
        report: &CapacityReport,
    ) {
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.free_circuits = report.free.or(exchange.free_circuits);
            exchange.group_size = report.size.unwrap_or(exchange.group_size);
            if let Some(rate) = report.rate {
                exchange.max_reported_rate = exchange.max_reported_rate.max(rate);
                exchange.reported_share =
                    ((rate / (OVERLOAD_RATE_SHARE * exchange.max_reported_rate)).min(1.0), now);
            }
        }
        self.serve_queue(now, actions);
    }

    /// A message of another controller says to which exchanges its own one has groups. An announcement from a
    /// controller that started later than this one is answered in the same form; controllers that start
    /// together need no reply.
    pub fn on_peer_message(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        peer: PeerId,
        message: &[u8],
    ) {
        let [message_type @ (ANNOUNCEMENT | ANNOUNCEMENT_REPLY), high, low, groups @ ..] = message else {
            return;
        };
        let number = ExchangeNumber(u16::from_be_bytes([*high, *low]));
        if let Some(exchange) = self.exchanges.values_mut().find(|exchange| exchange.number == number) {
            let bits = groups.iter().flat_map(|byte| (0..8).map(move |bit| byte >> bit & 1));
            for (dest, bit) in (0..=u16::MAX).zip(bits) {
                exchange.onward_routes.entry(ExchangeNumber(dest)).or_default().has_group = Some(bit == 1);
            }
        }
        if *message_type == ANNOUNCEMENT && self.announced_at.is_some_and(|at| now > at + ANNOUNCEMENT_WINDOW)
        {
            actions.send_to_peers(Some(peer), &self.groups_message(ANNOUNCEMENT_REPLY));
        }
    }

    /// The own number and a bitmap of the exchanges to which the own one has a group, as far as a message has
    /// space.
    fn groups_message(&self, message_type: u8) -> Vec<u8> {
        let [high, low] = self.own_number.map_or(0, |own| own.0).to_be_bytes();
        let mut message = vec![message_type, high, low];
        for exchange in self
            .exchanges
            .values()
            .filter(|exchange| exchange.group_size > 0.0 && exchange.number.0 / 8 < MAX_GROUP_BITMAP_BYTES)
        {
            let index = 3 + usize::from(exchange.number.0 / 8);
            message.resize(message.len().max(index + 1), 0);
            message[index] |= 1 << (exchange.number.0 % 8);
        }
        message
    }

    fn set_up(&mut self, now: Duration, actions: &mut dyn ControllerActions, call: Call) {
        self.busy_numbers.remove_older_than(BUSY_BLOCK_TIME, now);
        // Guards against set-ups for a number whose lines are all busy; it could miss a line that becomes
        // free.
        if self.busy_numbers.get(call.offer.dialled).is_some() {
            return self.reject_or_release(now, actions, call);
        }
        match self.route(now, &call) {
            Some(to) => self.seize(now, actions, call, to),
            None => self.enqueue(now, actions, call),
        }
    }

    /// Queues a call without a route for part of its setup target, in case circuits or a processor become
    /// free. Guards against rejecting calls in a brief shortage, and against the redials that follow.
    fn enqueue(&mut self, now: Duration, actions: &mut dyn ControllerActions, call: Call) {
        let max_wait = self.call_types[call.call_type].setup_target.mul_f64(QUEUE_SHARE_OF_TARGET);
        let until = call.arrived.saturating_add(max_wait).min(call.offer.deadline);
        // Waiting does not help while the destination is not ready.
        if call.offer.transit
            || until <= now
            || self.own_number.is_some() && self.ready_destination(&call.offer).is_none()
        {
            return self.reject_or_release(now, actions, call);
        }
        let key = self.queue_key(&call);
        self.queue.entry(call.offer.dest).or_default().entry(sampling_bucket(&call)).or_default().insert(key);
        let then: AfterWait = Box::new(|controller, now, actions, call| {
            controller.remove_from_queue(&call);
            controller.reject_or_release(now, actions, call);
        });
        self.start_wait(now, actions, call, until - now, then);
    }

    /// All waits are set here. The delay is in whole microseconds, as clocks count, and rounded up: guards
    /// against a timer that expires slightly early, finds the wait not over and leaves its call without an
    /// answer.
    fn start_wait(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        call: Call,
        delay: Duration,
        then: AfterWait,
    ) {
        let delay = Duration::from_micros(delay.as_nanos().div_ceil(1000) as u64);
        actions.set_timer(delay, TimerId(call.offer.call.0));
        self.calls.insert(call.offer.call, (call, Continuation::Wait { until: now + delay, then }));
    }

    fn queue_key(&self, call: &Call) -> QueueKey {
        (self.call_types[call.call_type].revenue_rank, call.arrived, call.offer.call)
    }

    fn remove_from_queue(&mut self, call: &Call) {
        let key = self.queue_key(call);
        let Some(buckets) = self.queue.get_mut(&call.offer.dest) else { return };
        if let Some(keys) = buckets.get_mut(&sampling_bucket(call)) {
            keys.remove(&key);
        }
        buckets.retain(|_, keys| !keys.is_empty());
        if buckets.is_empty() {
            self.queue.remove(&call.offer.dest);
        }
    }

    /// Seizes for queued calls that now have a route, highest revenue first, as long as the concurrency limit
    /// over all exchanges allows. Only calls that may find free circuits and whose bucket is sampled are
    /// examined, since the queue gets long under overload.
    fn serve_queue(&mut self, now: Duration, actions: &mut dyn ControllerActions) {
        if self.queue.is_empty() || !self.concurrency.has_capacity() {
            return;
        }
        let tandem_has_room =
            self.exchanges.values().any(|exchange| exchange.has_free_circuits(1.0 + TRUNK_RESERVATION));
        let mut heads = BinaryHeap::new();
        for (dest, buckets) in &self.queue {
            let max_fraction = self.max_sampling_fraction(now, *dest, tandem_has_room);
            let eligible = buckets
                .iter()
                .filter(|(bucket, _)| f64::from(**bucket) < max_fraction * f64::from(SAMPLING_BUCKETS));
            let first_keys = eligible.filter_map(|(bucket, keys)| Some((*keys.first()?, *dest, *bucket)));
            heads.extend(first_keys.map(Reverse));
        }
        while self.concurrency.has_capacity()
            && let Some(Reverse((key, dest, bucket))) = heads.pop()
        {
            let after_key = (Bound::Excluded(key), Bound::Unbounded);
            let keys = self.queue.get(&dest).and_then(|buckets| buckets.get(&bucket));
            let next_key = keys.and_then(|keys| keys.range(after_key).next().copied());
            heads.extend(next_key.map(|next_key| Reverse((next_key, dest, bucket))));
            let to = self.calls.get(&key.2).and_then(|(call, _)| self.route(now, call));
            if let Some(to) = to
                && let Some((call, _)) = self.calls.remove(&key.2)
            {
                self.remove_from_queue(&call);
                self.seize(now, actions, call, to);
            }
        }
    }

    /// The largest sampling fraction with which the narrowest call could go there. Free circuits only
    /// decrease while the queue is served.
    fn max_sampling_fraction(&self, now: Duration, dest: ExchangeNumber, tandem_has_room: bool) -> f64 {
        if self.own_number.is_none() {
            return 1.0;
        }
        let is_destination =
            |exchange: &&Exchange| exchange.number == dest && exchange.status == ExchangeStatus::Ready;
        let usable = self
            .exchanges
            .values()
            .filter(is_destination)
            .filter(|exchange| tandem_has_room || exchange.has_free_circuits(1.0));
        usable.map(|exchange| self.sampling_fraction(now, exchange)).fold(0.0, f64::max)
    }

    /// All set-ups are sent here. `route` has just checked for draining, cold and silent exchanges.
    fn seize(&mut self, now: Duration, actions: &mut dyn ControllerActions, mut call: Call, to: ExchangeId) {
        let Some(time_left) = call
            .offer
            .deadline
            .checked_sub(now + ANSWER_MARGIN)
            .filter(|time_left| *time_left >= MIN_SEIZURE_TIME)
        else {
            return self.reject_or_release(now, actions, call);
        };
        let Some(exchange) = self.exchanges.get_mut(&to) else {
            return self.reject_or_release(now, actions, call);
        };
        exchange.free_circuits = exchange.free_circuits.map(|free| free - f64::from(call.offer.width));
        exchange.concurrency.in_flight += 1.0;
        self.concurrency.in_flight += 1.0;
        // Guards against callers who redial again and again refilling the retry credit: their calls are late
        // already.
        let target_left =
            (call.arrived.saturating_add(self.call_types[call.call_type].setup_target)).checked_sub(now);
        if call.seizures == 0 && !call.offer.transit && target_left.is_some() {
            self.retry_credit = (self.retry_credit + 1).min(MAX_CREDIT);
        }
        call.seizures += 1;
        // A set-up that takes longer than the setup target is worth little, and holds circuits along its
        // route.
        let timeout = target_left
            .filter(|target_left| *target_left >= MIN_SEIZURE_TIME)
            .unwrap_or(time_left)
            .min(time_left);
        actions.seize(call.offer.call, to, timeout);
        let resume: AfterSeizure = Box::new(move |controller, now, actions, call, cause| {
            controller.retry_or_reject(now, actions, call, to, cause)
        });
        self.calls.insert(call.offer.call, (call, Continuation::SeizureEnd(resume)));
    }

    /// Handles a failed seizure. Only a failure that a retry may mend spends retry credit.
    fn retry_or_reject(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        mut call: Call,
        to: ExchangeId,
        cause: Cause,
    ) {
        use Cause::{Busy, Cancelled, Cut, Fault, TimedOut, TurnedBack};
        let may_have_executed = matches!(cause, TimedOut | Cut | Cancelled | Busy | Fault);
        call.retry_is_unsafe |=
            may_have_executed && self.call_types[call.call_type].repeat_policy != RepeatPolicy::Freely;
        let min_wait = match cause {
            Cause::TimedOut | Cause::Cut | Cause::Cancelled => self.release_wait,
            Cause::ProcessorFull { wait } => wait,
            Cause::Busy => {
                self.busy_numbers.push(now, call.offer.dialled, ());
                return self.reject_or_release(now, actions, call);
            }
            Cause::Done | Cause::NotSent { own_down: true } => {
                return self.reject_or_release(now, actions, call);
            }
            _ => Duration::ZERO,
        };
        let tandem = self.exchanges.get_mut(&to).filter(|exchange| exchange.number != call.offer.dest);
        if let (TurnedBack { .. } | Fault, Some(tandem)) = (cause, tandem) {
            // Guards against crankbacks and faults piling up at tandems without free circuits beyond. This
            // call skips the tandem, too.
            let route = tandem.onward_routes.entry(call.offer.dest).or_default();
            let (until, width) = &mut route.blocked;
            *width = if *until <= now { call.offer.width } else { call.offer.width.min(*width) };
            *until =
                now + if route.has_group.is_some() { CRANKBACK_BLOCK_TIME } else { UNKNOWN_ROUTE_BLOCK_TIME };
        }
        let doublings = u32::from(call.seizures.saturating_sub(1)).min(8);
        let backoff = MAX_BACKOFF.min(INITIAL_BACKOFF * 2u32.pow(doublings));
        let jitter = backoff.mul_f64(self.rng.next_f64());
        // The release wait, or the wait that a full processor asks for, is the same for all and mostly longer
        // than the jitter. Adding both guards against controllers whose seizures ended together sending them
        // again together; it could cost a call its last try.
        let wait = min_wait + jitter;
        let in_time = now + wait + MIN_SEIZURE_TIME + ANSWER_MARGIN <= call.offer.deadline;
        let may_retry = !call.offer.transit && !call.retry_is_unsafe && call.seizures < self.max_seizures;
        if !may_retry || !in_time || self.retry_credit < CREDIT_PER_RETRY {
            return self.reject_or_release(now, actions, call);
        }
        self.retry_credit -= CREDIT_PER_RETRY;
        self.start_wait(
            now,
            actions,
            call,
            wait,
            Box::new(|controller, now, actions, call| controller.set_up(now, actions, call)),
        );
    }

    /// Guards against counting a caller who redials again and again as many new callers.
    fn record_given_up(&mut self, now: Duration, call: &Call) {
        if !call.offer.transit {
            self.given_up_numbers.push(now, call.offer.dialled, (call.arrived, call.sampling_key));
        }
    }

    /// Gives the final answer to a call that is not set up. A call that may have been carried out is
    /// released, not rejected.
    fn reject_or_release(&mut self, now: Duration, actions: &mut dyn ControllerActions, call: Call) {
        self.record_given_up(now, &call);
        match call.retry_is_unsafe {
            true => actions.release(call.offer.call),
            false => {
                // Guards against callers who were rejected together dialling again together.
                let share = 1.0 - 0.5 * self.rng.next_f64();
                actions.reject(call.offer.call, self.max_retry_after.mul_f64(share));
            }
        }
    }

    /// The destination, if it is ready. The own exchange is none: calls to it come while another exchange's
    /// controller is down.
    fn ready_destination(&self, offer: &CallOffer) -> Option<(ExchangeId, &Exchange)> {
        let is_ready = |exchange: &&Exchange| {
            exchange.status == ExchangeStatus::Ready && Some(exchange.number) != self.own_number
        };
        let mut matching =
            self.exchanges.iter().filter(|(_, exchange)| exchange.number == offer.dest && is_ready(exchange));
        matching.next().map(|(id, exchange)| (*id, exchange))
    }

    /// The direct route while its group has free circuits, else over the tandem whose first leg has most free
    /// circuits. Tandems known to have a group to the destination come first.
    fn route(&self, now: Duration, call: &Call) -> Option<ExchangeId> {
        let offer = &call.offer;
        let width = f64::from(offer.width);
        let rules = &self.call_types[call.call_type];
        if self.is_region_ejected(now, self.own_zone) || !offer.transit && !self.concurrency.has_capacity() {
            return None;
        }
        let dest = self
            .ready_destination(offer)
            .filter(|(_, exchange)| self.is_sampled(now, exchange, call.sampling_key));
        if let Some((id, exchange)) = dest.filter(|(_, exchange)| exchange.has_free_circuits(width)) {
            // Calls of low revenue leave the last circuit to others. A call in transit leaves none: it holds
            // circuits already, and most such calls come from exchanges without a group to here.
            let reserved =
                f64::from(u8::from(rules.low_revenue && exchange.group_size > SMALL_GROUP_CIRCUITS));
            let reserved =
                if offer.transit { 0.0 } else { reserved.max(self.circuits_reserved_by_queue(call)) };
            if exchange.has_free_circuits(width + reserved) {
                return Some(id);
            }
        }
        // A destination that is not ready or accepts nothing can't be reached over a tandem either.
        let detour_is_useless = dest.is_none_or(|(_, exchange)| exchange.has_free_circuits(width));
        if offer.transit || self.own_number.is_some() && detour_is_useless {
            return None;
        }
        self.exchanges
            .iter()
            .filter(|(_, exchange)| exchange.number != offer.dest && Some(exchange.number) != self.own_number)
            .filter(|(_, exchange)| self.own_number.is_some() || rules.pools.contains(&exchange.number))
            .filter(|(_, exchange)| {
                exchange.has_free_circuits(width + TRUNK_RESERVATION) && exchange.may_forward(now, offer)
            })
            .filter(|(_, exchange)| {
                self.warm_up_share(now, exchange).is_none()
                    && self.is_sampled(now, exchange, call.sampling_key)
            })
            .map(|(id, exchange)| (exchange.has_group_to(offer.dest), exchange.free_circuits, id))
            .max_by(|a, b| a.0.cmp(&b.0).then(a.1.unwrap_or(0.0).total_cmp(&b.1.unwrap_or(0.0))))
            .map(|(_, _, id)| *id)
    }

    /// Circuits that queued calls of higher revenue wait for on the route to the same destination. Guards
    /// against wide calls starving while narrow ones take each circuit that becomes free; it holds back the
    /// narrow ones.
    fn circuits_reserved_by_queue(&self, call: &Call) -> f64 {
        let Some(buckets) = self.queue.get(&call.offer.dest) else { return 0.0 };
        let higher_revenue = ..(self.call_types[call.call_type].revenue_rank, Duration::ZERO, CallId(0));
        let keys_ahead = buckets.values().flat_map(|keys| keys.range(higher_revenue));
        let widths = keys_ahead.filter_map(|key| self.calls.get(&key.2)).map(|(other, _)| other.offer.width);
        f64::from(widths.max().unwrap_or(0))
    }

    /// Whether an exchange is sent a call with this sampling key. Guards against overloading a processor of
    /// which each of many senders sees little: all senders leave out the same share, and do so for a while
    /// after it has recovered.
    fn is_sampled(&self, now: Duration, exchange: &Exchange, sampling_key: f64) -> bool {
        sampling_key < self.sampling_fraction(now, exchange)
    }

    /// The exchange is sent calls whose sampling key is below this fraction.
    fn sampling_fraction(&self, now: Duration, exchange: &Exchange) -> f64 {
        let unavailable = !exchange.is_available(now) || self.is_region_ejected(now, Some(exchange.zone));
        if unavailable {
            0.0
        } else {
            self.warm_up_share(now, exchange).unwrap_or(1.0).min(exchange.accepted_share(now))
        }
    }

    /// The share of calls that a cold exchange is sent, so that all controllers together stay below what
    /// would overload it, even in a surge; `None` if it is warm.
    fn warm_up_share(&self, now: Duration, exchange: &Exchange) -> Option<f64> {
        let age = now.saturating_sub(exchange.started);
        let cold = !exchange.started.is_zero() && age < self.warm_up;
        let progress = age.as_secs_f64() / self.warm_up.as_secs_f64();
        cold.then_some((self.cold_share + (1.0 - self.cold_share) * progress) * self.cold_load_multiple)
    }

    /// Counts the end of a set-up to an exchange. The concurrency limits keep an overloaded processor, the
    /// far one or the own, from being sent more than it can work off: its queue would make every set-up late,
    /// and it works even on set-ups that were given up. They could hold back calls where a far route is slow
    /// by itself.
    fn update_concurrency(&mut self, now: Duration, id: ExchangeId, prompt: bool, no_answer: bool) {
        let reports_no_overload = self.exchanges.get_mut(&id).is_some_and(|exchange| {
            exchange.concurrency.on_set_up_ended(now, self.latency_threshold, prompt, !prompt);
            exchange.max_reported_rate > 0.0 && exchange.accepted_share(now) >= 1.0
        });
        // Neither missing answers nor a few late exchanges among many may block the calls to all others. A
        // late own processor makes all answers late, also those of exchanges that report no overload.
        let late = !prompt && !no_answer;
        self.concurrency.on_set_up_ended(
            now,
            self.latency_threshold,
            prompt,
            late && (self.last_answer_late || reports_no_overload),
        );
        self.last_answer_late = late || self.last_answer_late && no_answer;
    }

    /// Counts the end of a set-up that was never sent, which tells nothing of any processor.
    fn count_unsent(&mut self, now: Duration, id: ExchangeId) {
        let exchange = self.exchanges.get_mut(&id).map(|exchange| &mut exchange.concurrency);
        for concurrency in exchange.into_iter().chain([&mut self.concurrency]) {
            concurrency.on_set_up_ended(now, self.latency_threshold, false, false);
        }
    }

    /// Guards against a group that seems full: a set-up that was never sent is followed by no report of free circuits.
    fn return_circuits(&mut self, call: CallId, id: ExchangeId) {
        let width = self.calls.get(&call).map_or(0.0, |(call, _)| f64::from(call.offer.width));
        if let Some(free) = self.exchanges.get_mut(&id).and_then(|exchange| exchange.free_circuits.as_mut()) {
            *free += width;
        }
    }

    fn record_success(&mut self, actions: &mut dyn ControllerActions, id: ExchangeId) {
        self.region_ejections.remove(&self.own_zone);
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            self.region_ejections.remove(&Some(exchange.zone));
            let failures = std::mem::take(&mut exchange.ejection).consecutive_failures;
            if failures >= EJECTION_THRESHOLD {
                actions.log(&format!(
                    "exchange {} reachable again after {failures} failed seizures in a row",
                    exchange.number.0
                ));
            }
        }
    }

    /// Counts a seizure that was not answered or found the processor full. If one exchange of a region after
    /// the other does not answer, the region is cut off on every route. In the own region the cause is then
    /// the own processor, which all calls pass; so it is where one processor after the other is full, in any
    /// region. The far exchanges are not ejected in that case. It could eject a region in which many
    /// exchanges hang.
    fn record_failure(&mut self, now: Duration, actions: &mut dyn ControllerActions, end: &SeizureEnded) {
        let Some(exchange) = self.exchanges.get_mut(&end.exchange) else { return };
        let (full_wait, zone) = match end.cause {
            Cause::ProcessorFull { wait } => (Some(wait), self.own_zone),
            _ => (None, Some(exchange.zone)),
        };
        let (ejection, last_exchange) =
            self.region_ejections.entry(zone).or_insert((Ejection::default(), end.exchange));
        let another_exchange = std::mem::replace(last_exchange, end.exchange) != end.exchange;
        if another_exchange && end.cause != Cause::Unreachable {
            ejection.on_failure(now, actions, format_args!("several exchanges of region {zone:?}"), None);
        }
        if self
            .region_ejections
            .get(&self.own_zone)
            .is_none_or(|(own, _)| own.consecutive_failures < EJECTION_THRESHOLD)
        {
            exchange.ejection.on_failure(
                now,
                actions,
                format_args!("exchange {}", exchange.number.0),
                full_wait,
            );
        }
    }

    fn is_region_ejected(&self, now: Duration, zone: Option<Zone>) -> bool {
        self.region_ejections.get(&zone).is_some_and(|(ejection, _)| now < ejection.until)
    }
}

impl Ejection {
    fn on_failure(
        &mut self,
        now: Duration,
        actions: &mut dyn ControllerActions,
        subject: Arguments,
        full_wait: Option<Duration>,
    ) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if full_wait.is_some() || self.consecutive_failures >= EJECTION_THRESHOLD {
            let ejection_time =
                BASE_EJECTION_TIME * 2u32.pow((self.consecutive_failures - 1).min(MAX_EJECTION_DOUBLINGS));
            self.until = self.until.max(now + ejection_time.max(full_wait.unwrap_or_default()));
        }
        if self.consecutive_failures == EJECTION_THRESHOLD {
            actions.log(&format!("{subject} silent or full: {EJECTION_THRESHOLD} seizures in a row failed"));
        }
    }
}

impl ConcurrencyLimit {
    fn has_capacity(&self) -> bool {
        self.in_flight < self.limit.floor()
    }

    fn on_set_up_ended(&mut self, now: Duration, min_interval: Duration, increase: bool, decrease: bool) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        if increase {
            self.limit = (self.limit + 1.0 / self.limit)
                .min(2.0 * self.in_flight + INITIAL_CONCURRENCY_LIMIT)
                .max(self.limit);
        } else if decrease && now >= self.decreased_at + min_interval {
            self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(1.0);
            self.decreased_at = now;
        }
    }
}

impl Exchange {
    fn has_free_circuits(&self, circuits: f64) -> bool {
        self.free_circuits.is_none_or(|free| free >= circuits)
    }

    /// The share of the usual calls that it accepts, by its last report.
    fn accepted_share(&self, now: Duration) -> f64 {
        let (share, reported_at) = self.reported_share;
        (share + now.saturating_sub(reported_at).as_secs_f64() / REPORTED_RATE_FADE_S).min(1.0)
    }

    /// Whether it may have a group to the destination and has not lately turned back a call like this one.
    fn may_forward(&self, now: Duration, offer: &CallOffer) -> bool {
        let route = self.onward_routes.get(&offer.dest).copied().unwrap_or_default();
        route.has_group != Some(false) && (now >= route.blocked.0 || offer.width < route.blocked.1)
    }

    fn has_group_to(&self, dest: ExchangeNumber) -> Option<bool> {
        self.onward_routes.get(&dest).and_then(|route| route.has_group)
    }

    /// Whether a set-up sent there now is likely to be answered. A silent exchange gets one set-up at a time.
    fn is_available(&self, now: Duration) -> bool {
        let may_probe =
            self.ejection.consecutive_failures < EJECTION_THRESHOLD || self.concurrency.in_flight < 1.0;
        self.status == ExchangeStatus::Ready
            && now >= self.ejection.until
            && self.concurrency.has_capacity()
            && may_probe
    }
}
