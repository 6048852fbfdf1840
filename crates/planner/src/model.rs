//! Loads and losses of all groups and processors of a fleet together, by fixed-point iteration.
//!
//! Each group is in equilibrium with the traffic offered to it (`multirate`), reduced by what the other groups and processors on
//! the route lose (the reduced-load approximation; Kelly, 1986). A call goes direct, else over a tandem whose first leg has more
//! free circuits than the reserved ones; the tandem is drawn by the number of free circuits there. Callers whose call is not
//! answered redial. A processor that is offered more work than it can do accepts a share of it. In each round every loss moves
//! half-way to its new value, until no loss moves any more. Alternative routing can have two equilibria, one with low and one
//! with high blocking (Akinpelu, 1984): the iteration starts from an empty and from a full fleet, and both results are reported.
//!
//! The model leaves out further attempts after a failed seizure (slightly more calls are answered in practice), free circuits
//! that are scattered so that a wide call finds no room, and the time of day.

use std::collections::BTreeMap;

use crate::fleet::Fleet;
use crate::multirate::{Stream, kaufman_roberts};

/// A group in equilibrium.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupState {
    pub between: [u16; 2],
    pub circuits: u16,
    /// Share of direct calls that find no room, by call type.
    pub blocked: Vec<f64>,
    /// Mean number of occupied circuits.
    pub mean_occupied: f64,
    /// Offered traffic: direct calls and second legs by call type, then first legs to tandems by call type.
    pub offered: Vec<Stream>,
    /// Share of calls that find no room when this group is their first leg to a tandem, by call type.
    first_leg_blocked: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessorState {
    pub exchange: u16,
    /// Offered work over capacity; above 1 the processor accepts only a share of it.
    pub load: f64,
}

/// One equilibrium of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Solution {
    pub groups: Vec<GroupState>,
    pub processors: Vec<ProcessorState>,
    /// Share of first tries whose call is answered in the end, if need be after redials.
    pub answered_share: f64,
    pub answered_share_by_type: Vec<f64>,
    pub tries_per_first_try: f64,
    /// Share of the answered calls that go over a tandem.
    pub detour_share: f64,
    /// The number of rounds after which the iteration converged, or the largest move of the last round if it did not.
    pub convergence: Result<u32, f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Equilibria {
    /// The iteration starts from an empty fleet.
    pub low_blocking: Solution,
    /// The iteration starts from a full fleet. Present if it ends in another equilibrium: the fleet can be in either.
    pub high_blocking: Option<Solution>,
}

const MAX_ROUNDS: u32 = 400;
/// The iteration has converged when no loss moves by more than this in a round.
const CONVERGED_MOVE: f64 = 1e-7;
/// Overflow of a direct group below this rate is not routed over tandems.
const MIN_OVERFLOW_PER_S: f64 = 1e-9;
/// Two solutions whose answered shares differ by no more than this are the same equilibrium.
const SAME_EQUILIBRIUM: f64 = 1e-3;

/// Solves a fleet that has no validation errors.
pub fn solve(fleet: &Fleet) -> Equilibria {
    let low_blocking = Model::new(fleet, 0.0).run();
    let from_full = Model::new(fleet, 0.95).run();
    let differ = (low_blocking.answered_share - from_full.answered_share).abs() > SAME_EQUILIBRIUM;
    Equilibria { low_blocking, high_blocking: differ.then_some(from_full) }
}

struct Model<'a> {
    fleet: &'a Fleet,
    /// Index in `groups` by the two ends, the lower number first.
    group_index: BTreeMap<(u16, u16), usize>,
    /// Exchanges to which an exchange has a group.
    neighbours: BTreeMap<u16, Vec<u16>>,
    groups: Vec<GroupState>,
    /// Share of the offered work that each processor accepts.
    accepted_share: BTreeMap<u16, f64>,
    processor_loads: BTreeMap<u16, f64>,
    /// Share of tries that are not answered, by index in `traffic` and call type.
    lost_share: Vec<Vec<f64>>,
}

/// The traffic of one round.
struct Round {
    /// Erlangs of direct calls and second legs, by group and call type.
    direct_erlangs: Vec<Vec<f64>>,
    /// Erlangs of first legs to tandems, by group and call type.
    first_leg_erlangs: Vec<Vec<f64>>,
    /// Milliseconds of work at speed 1 for each second, by exchange.
    work_ms: BTreeMap<u16, f64>,
    tries_per_s: f64,
    first_tries_per_s: f64,
    detoured_per_s: f64,
    answered_per_s: f64,
    answered_per_s_by_type: Vec<f64>,
    first_tries_per_s_by_type: Vec<f64>,
}

impl<'a> Model<'a> {
    /// All losses start at `initial_loss`.
    fn new(fleet: &'a Fleet, initial_loss: f64) -> Self {
        let types = fleet.call_types.len();
        let mut group_index = BTreeMap::new();
        let mut neighbours: BTreeMap<u16, Vec<u16>> = BTreeMap::new();
        for (index, group) in fleet.groups.iter().enumerate() {
            let [a, b] = group.between;
            group_index.insert((a.min(b), a.max(b)), index);
            neighbours.entry(a).or_default().push(b);
            neighbours.entry(b).or_default().push(a);
        }
        let initial_state = |group: &crate::fleet::Group| GroupState {
            between: group.between,
            circuits: group.circuits,
            blocked: vec![initial_loss; types],
            first_leg_blocked: vec![initial_loss; types],
            mean_occupied: f64::from(group.circuits) * initial_loss,
            offered: Vec::new(),
        };
        Self {
            fleet,
            group_index,
            neighbours,
            groups: fleet.groups.iter().map(initial_state).collect(),
            accepted_share: fleet.exchanges.iter().map(|exchange| (exchange.exchange, 1.0)).collect(),
            processor_loads: BTreeMap::new(),
            lost_share: vec![vec![initial_loss; types]; fleet.traffic.len()],
        }
    }

    fn run(mut self) -> Solution {
        let mut largest_move = f64::MAX;
        for number in 1..=MAX_ROUNDS {
            let round = self.offer_traffic();
            largest_move = self.update_losses(&round);
            if largest_move < CONVERGED_MOVE {
                return self.solution(&round, Ok(number));
            }
        }
        let round = self.offer_traffic();
        self.solution(&round, Err(largest_move))
    }

    fn group_between(&self, a: u16, b: u16) -> Option<usize> {
        self.group_index.get(&(a.min(b), a.max(b))).copied()
    }

    fn accepted_share_at(&self, exchange: u16) -> f64 {
        self.accepted_share.get(&exchange).copied().unwrap_or(0.0)
    }

    /// Offers all traffic to groups and processors under the present losses, and moves the lost share of each pair.
    fn offer_traffic(&mut self) -> Round {
        let types = self.fleet.call_types.len();
        let mut round = Round {
            direct_erlangs: vec![vec![0.0; types]; self.groups.len()],
            first_leg_erlangs: vec![vec![0.0; types]; self.groups.len()],
            work_ms: BTreeMap::new(),
            tries_per_s: 0.0,
            first_tries_per_s: 0.0,
            detoured_per_s: 0.0,
            answered_per_s: 0.0,
            answered_per_s_by_type: vec![0.0; types],
            first_tries_per_s_by_type: vec![0.0; types],
        };
        for pair in 0..self.fleet.traffic.len() {
            let traffic = &self.fleet.traffic[pair];
            if traffic.per_s <= 0.0 {
                continue;
            }
            let accepted = self.accepted_share_at(traffic.from) * self.accepted_share_at(traffic.to);
            for kind in 0..types {
                let call_type = &self.fleet.call_types[kind];
                let first_tries = traffic.per_s * call_type.share;
                let redial_share = self.fleet.redials.share * self.lost_share[pair][kind];
                let tries: f64 =
                    (0..=i32::from(self.fleet.redials.most)).map(|k| redial_share.powi(k)).sum::<f64>()
                        * first_tries;
                *round.work_ms.entry(traffic.from).or_default() += tries * self.fleet.work.look_ms;
                let sent = tries * accepted;
                let answered = self.route(pair, kind, sent, &mut round);
                let lost = if tries > 0.0 { 1.0 - (answered / tries).min(1.0) } else { 0.0 };
                round.tries_per_s += tries;
                round.first_tries_per_s += first_tries;
                round.answered_per_s += answered;
                round.first_tries_per_s_by_type[kind] += first_tries;
                round.answered_per_s_by_type[kind] += answered;
                self.lost_share[pair][kind] = self.lost_share[pair][kind].midpoint(lost);
            }
        }
        round
    }

    /// Routes `sent` calls a second of one pair and type, direct and over tandems; returns how many of them are answered.
    fn route(&self, pair: usize, kind: usize, sent: f64, round: &mut Round) -> f64 {
        let traffic = &self.fleet.traffic[pair];
        let hold_s = self.fleet.call_types[kind].hold_s;
        let direct =
            self.group_between(traffic.from, traffic.to).filter(|group| self.groups[*group].circuits > 0);
        let blocked = direct.map_or(1.0, |group| self.groups[group].blocked[kind]);
        let mut answered = 0.0;
        if let Some(group) = direct {
            round.direct_erlangs[group][kind] += sent * hold_s;
            answered += sent * (1.0 - blocked);
            self.add_set_up_work(traffic.to, sent * (1.0 - blocked), round);
        }
        let overflow = sent * blocked;
        if overflow < MIN_OVERFLOW_PER_S {
            return answered;
        }
        // Tandems with a group to both ends and room on their first leg, each with the probability that it takes a call and with
        // its weight in the choice.
        let none = Vec::new();
        let neighbours = self.neighbours.get(&traffic.from).unwrap_or(&none);
        let tandems = neighbours.iter().filter(|tandem| **tandem != traffic.to).filter_map(|tandem| {
            let first_leg = self.group_between(traffic.from, *tandem)?;
            let second_leg = self.group_between(*tandem, traffic.to)?;
            let open =
                (1.0 - self.groups[first_leg].first_leg_blocked[kind]) * self.accepted_share_at(*tandem);
            let room = f64::from(self.groups[first_leg].circuits) - self.groups[first_leg].mean_occupied;
            (open > 0.0 && room > 0.0).then_some((*tandem, first_leg, second_leg, open, open * room))
        });
        let tandems: Vec<_> = tandems.collect();
        let all_closed: f64 = tandems.iter().map(|(.., open, _)| 1.0 - open).product();
        let total_weight: f64 = tandems.iter().map(|(.., weight)| weight).sum();
        for (tandem, first_leg, second_leg, _, weight) in tandems {
            let to_tandem = overflow * (1.0 - all_closed) * weight / total_weight;
            let second_leg_passes = 1.0 - self.groups[second_leg].blocked[kind];
            // Calls that the second leg loses hold no circuit on the first leg; all calls that passed the first leg are offered
            // to the second. `to_tandem` counts calls that passed the first leg, since the choice of the tandem includes its
            // blocking: the division turns them back into offered calls.
            let first_leg_passes = (1.0 - self.groups[first_leg].first_leg_blocked[kind]).max(1e-6);
            round.first_leg_erlangs[first_leg][kind] +=
                to_tandem * second_leg_passes / first_leg_passes * hold_s;
            round.direct_erlangs[second_leg][kind] += to_tandem * hold_s;
            self.add_set_up_work(tandem, to_tandem, round);
            self.add_set_up_work(traffic.to, to_tandem * second_leg_passes, round);
            answered += to_tandem * second_leg_passes;
            round.detoured_per_s += to_tandem * second_leg_passes;
        }
        answered
    }

    /// Adds the work of `per_s` calls a second that arrive at a tandem or a destination.
    fn add_set_up_work(&self, exchange: u16, per_s: f64, round: &mut Round) {
        let work = &self.fleet.work;
        *round.work_ms.entry(exchange).or_default() +=
            per_s * (work.set_up_ms + work.answer_ms + work.release_ms);
    }

    /// Moves the losses of groups and processors half-way to their equilibrium with the traffic of a round; returns the largest
    /// difference between an old and a new value.
    fn update_losses(&mut self, round: &Round) -> f64 {
        let mut largest_move: f64 = 0.0;
        let mut move_half_way = |value: &mut f64, target: f64| {
            largest_move = largest_move.max((target - *value).abs());
            *value = value.midpoint(target);
        };
        for (index, group) in self.groups.iter_mut().enumerate() {
            let stream = |erlangs: f64, width: u16, reserved: u16| Stream { erlangs, width, reserved };
            let types = &self.fleet.call_types;
            let direct = types
                .iter()
                .zip(&round.direct_erlangs[index])
                .map(|(call_type, erlangs)| stream(*erlangs, call_type.width, 0));
            let first_legs = types.iter().zip(&round.first_leg_erlangs[index]);
            let first_legs =
                first_legs.map(|(call_type, erlangs)| stream(*erlangs, call_type.width, self.fleet.reserved));
            let streams: Vec<Stream> = direct.chain(first_legs).collect();
            let equilibrium = kaufman_roberts(group.circuits, &streams);
            let (blocked, first_leg_blocked) = equilibrium.blocked.split_at(types.len());
            group.blocked.iter_mut().zip(blocked).for_each(|(value, target)| move_half_way(value, *target));
            let first_leg_values = group.first_leg_blocked.iter_mut().zip(first_leg_blocked);
            first_leg_values.for_each(|(value, target)| move_half_way(value, *target));
            group.mean_occupied = group.mean_occupied.midpoint(equilibrium.mean_occupied);
            group.offered = streams;
        }
        for exchange in &self.fleet.exchanges {
            let work = round.work_ms.get(&exchange.exchange).copied().unwrap_or(0.0) / 1e3;
            // The work of the round is already reduced by the accepted share: dividing by that share gives the whole load.
            let accepted = self.accepted_share.entry(exchange.exchange).or_insert(1.0);
            let load = work / exchange.speed;
            self.processor_loads.insert(exchange.exchange, load / accepted.max(1e-6));
            let target = (*accepted / load.max(1e-9)).min(1.0);
            move_half_way(accepted, target);
        }
        largest_move
    }

    fn solution(self, round: &Round, convergence: Result<u32, f64>) -> Solution {
        let share = |part: f64, whole: f64| if whole > 0.0 { (part / whole).min(1.0) } else { 1.0 };
        let processors = self.fleet.exchanges.iter().map(|exchange| ProcessorState {
            exchange: exchange.exchange,
            load: self.processor_loads.get(&exchange.exchange).copied().unwrap_or(0.0),
        });
        Solution {
            processors: processors.collect(),
            answered_share: share(round.answered_per_s, round.first_tries_per_s),
            answered_share_by_type: round
                .answered_per_s_by_type
                .iter()
                .zip(&round.first_tries_per_s_by_type)
                .map(|(answered, first_tries)| share(*answered, *first_tries))
                .collect(),
            tries_per_first_try: if round.first_tries_per_s > 0.0 {
                round.tries_per_s / round.first_tries_per_s
            } else {
                1.0
            },
            detour_share: if round.answered_per_s > 0.0 {
                round.detoured_per_s / round.answered_per_s
            } else {
                0.0
            },
            groups: self.groups,
            convergence,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::{CallType, Exchange, Group, Redials, Traffic, Work};

    /// A full mesh with the same traffic in both directions of each pair; `erlangs` is the sum of both.
    pub(crate) fn mesh(exchanges: u16, circuits: u16, erlangs: f64) -> Fleet {
        let all = 1..=exchanges;
        let pairs = || all.clone().flat_map(move |a| (a + 1..=exchanges).map(move |b| (a, b)));
        let one_way = |from, to| Traffic { from, to, per_s: erlangs / 2.0 / 10.0 };
        Fleet {
            exchanges: all
                .clone()
                .map(|no| Exchange { exchange: no, region: "here".into(), speed: 1.0 })
                .collect(),
            groups: pairs().map(|(a, b)| Group { between: [a, b], circuits }).collect(),
            call_types: vec![CallType { name: "call".into(), share: 1.0, width: 1, hold_s: 10.0 }],
            traffic: pairs().flat_map(|(a, b)| [one_way(a, b), one_way(b, a)]).collect(),
            redials: Redials { share: 0.0, most: 0 },
            work: Work { look_ms: 0.0, set_up_ms: 0.0, answer_ms: 0.0, release_ms: 0.0 },
            reserved: 2,
        }
    }

    #[test]
    fn one_group_alone_matches_erlangs_formula() {
        let solved = solve(&mesh(2, 31, 25.0));
        let erlang = crate::erlang::blocking(25.0, 31).unwrap();
        assert!((solved.low_blocking.groups[0].blocked[0] - erlang).abs() < 1e-6);
        assert!((solved.low_blocking.answered_share - (1.0 - erlang)).abs() < 1e-6);
        assert_eq!((solved.high_blocking, solved.low_blocking.detour_share), (None, 0.0));
    }

    #[test]
    fn tandems_carry_the_overflow_of_a_direct_group_while_they_have_room() {
        let mut fleet = mesh(5, 31, 15.0);
        fleet.traffic.iter_mut().filter(|of| (of.from, of.to) == (1, 2)).for_each(|of| of.per_s = 5.0);
        let solved = solve(&fleet);
        let direct = &solved.low_blocking.groups[0];
        assert!(direct.blocked[0] > 0.4, "{direct:?}");
        assert!(
            solved.low_blocking.answered_share > 0.97 && solved.low_blocking.detour_share > 0.05,
            "{:?}",
            solved.low_blocking
        );
    }

    #[test]
    fn a_pair_without_a_direct_group_is_connected_over_tandems() {
        let mut fleet = mesh(4, 31, 10.0);
        fleet.groups.remove(0);
        let solved = solve(&fleet);
        assert!(
            solved.low_blocking.answered_share > 0.99 && solved.low_blocking.detour_share > 0.1,
            "{:?}",
            solved.low_blocking
        );
        fleet.groups.clear();
        assert_eq!(solve(&fleet).low_blocking.answered_share, 0.0);
    }

    #[test]
    fn redials_raise_tries_answered_share_and_blocking() {
        let without_redials = solve(&mesh(2, 31, 40.0)).low_blocking;
        let mut fleet = mesh(2, 31, 40.0);
        fleet.redials = Redials { share: 0.9, most: 2 };
        let with_redials = solve(&fleet).low_blocking;
        assert!(
            with_redials.tries_per_first_try > 1.3
                && with_redials.answered_share > without_redials.answered_share,
            "{} tries, answered {} with and {} without redials",
            with_redials.tries_per_first_try,
            with_redials.answered_share,
            without_redials.answered_share
        );
        assert!(with_redials.groups[0].blocked[0] > without_redials.groups[0].blocked[0]);
    }

    #[test]
    fn an_overloaded_processor_accepts_a_share_and_reports_its_whole_load() {
        let mut fleet = mesh(3, 310, 60.0);
        fleet.work = Work { look_ms: 0.0, set_up_ms: 100.0, answer_ms: 0.0, release_ms: 0.0 };
        // Each processor is offered 6 set-ups a second, a load of 0.6. One is four times as slow: its load is 2.4, and it accepts
        // one in 2.4.
        fleet.exchanges[2].speed = 0.25;
        let solved = solve(&fleet).low_blocking;
        assert!((solved.processors[2].load - 2.4).abs() < 0.01, "{:?}", solved.processors);
        // The slow processor also sets up its own callers' calls: calls that it does not accept add no load to the others.
        assert!((solved.processors[0].load - (0.3 + 0.3 / 2.4)).abs() < 0.01, "{:?}", solved.processors);
        assert!(
            (solved.answered_share - (1.0 / 3.0 + 2.0 / 3.0 / 2.4)).abs() < 0.01,
            "{}",
            solved.answered_share
        );
    }

    #[test]
    fn an_overloaded_fleet_converges_and_wide_calls_lose_more() {
        let mut fleet = mesh(8, 62, 75.0);
        fleet.call_types = vec![
            CallType { name: "call".into(), share: 0.95, width: 1, hold_s: 10.0 },
            CallType { name: "feed".into(), share: 0.05, width: 6, hold_s: 10.0 },
        ];
        let solved = solve(&fleet).low_blocking;
        assert!(solved.convergence.is_ok(), "{:?}", solved.convergence);
        assert!(
            solved.answered_share_by_type[1] < solved.answered_share_by_type[0] - 0.1,
            "{:?}",
            solved.answered_share_by_type
        );
    }
}
