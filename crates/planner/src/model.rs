//! Loads and losses of all groups and processors together, by fixed points.
//!
//! Each group is in balance with what is offered to it (`multirate`), thinned by what the other groups and processors of a way lose
//! (the reduced-load approximation; Kelly, 1986). A call goes direct, else over a tandem whose first leg has room beyond the
//! circuits kept back, drawn by how much is free there; callers whose call does not stand dial again; a processor that is offered
//! more than it can do takes its share. All is turned round, half of the way at a time, until nothing moves. Routing with a choice
//! can have two balances, one free and one jammed (Akinpelu, 1984): both starts are tried, and both ends told.
//!
//! Not in it: further attempts after a failed one (what stands is a little more), room in pieces for wide calls, the time of day.

use std::collections::BTreeMap;

use crate::fleet::Fleet;
use crate::multirate::{Stream, kaufman_roberts};

/// A group in balance.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupState {
    pub between: [u16; 2],
    pub circuits: u16,
    /// Share of each call type's direct calls that find no room.
    pub blocked: Vec<f64>,
    /// Circuits taken on average.
    pub taken: f64,
    /// What is offered to it, direct calls by type and then first legs to tandems by type.
    pub offered: Vec<Stream>,
    /// Of each call type's calls over this group as a first leg.
    beyond: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessorState {
    pub exchange: u16,
    /// Work offered over what it can do: above 1 it takes its share.
    pub load: f64,
}

/// One balance of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Solution {
    pub groups: Vec<GroupState>,
    pub processors: Vec<ProcessorState>,
    /// Share of first tries whose caller stands in the end, of all and by call type.
    pub stood: f64,
    pub stood_by_type: Vec<f64>,
    /// Tries over first tries, and share of what stands that goes over a tandem.
    pub tries: f64,
    pub detours: f64,
    /// Rounds until nothing moved; `None`: it still moved by so much at the last.
    pub rounds: Result<u32, f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Equilibria {
    /// From an empty fleet.
    pub low_blocking: Solution,
    /// From a full one, where that ends elsewhere: the fleet can be in either.
    pub high_blocking: Option<Solution>,
}

/// Rounds at most, and what counts as no move.
const ROUNDS: u32 = 400;
const STILL: f64 = 1e-7;
/// What overflows less than this is not followed over tandems.
const NOTHING: f64 = 1e-9;
/// Balances that differ less are one.
const SAME: f64 = 1e-3;

/// Works out a fleet without faults.
pub fn solve(fleet: &Fleet) -> Equilibria {
    let low_blocking = Model::new(fleet, 0.0).run();
    let full = Model::new(fleet, 0.95).run();
    let apart = (low_blocking.stood - full.stood).abs() > SAME;
    Equilibria { low_blocking, high_blocking: apart.then_some(full) }
}

struct Model<'a> {
    fleet: &'a Fleet,
    /// Places of groups by their ends, the lower first.
    places: BTreeMap<(u16, u16), usize>,
    /// Who has a group with whom.
    neighbours: BTreeMap<u16, Vec<u16>>,
    groups: Vec<GroupState>,
    /// Share of what it is offered that each processor takes, and its load.
    taking: BTreeMap<u16, f64>,
    loads: BTreeMap<u16, f64>,
    /// By place in `traffic` and call type: share of tries that do not stand.
    lost: Vec<Vec<f64>>,
}

/// What one round offers.
struct Round {
    /// By group and call type: calls at a time of direct and second legs, and of first legs.
    direct: Vec<Vec<f64>>,
    first: Vec<Vec<f64>>,
    work: BTreeMap<u16, f64>,
    tries: f64,
    firsts: f64,
    detoured: f64,
    carried: f64,
    stood: Vec<f64>,
    wanted: Vec<f64>,
}

impl<'a> Model<'a> {
    fn new(fleet: &'a Fleet, start: f64) -> Self {
        let types = fleet.call_types.len();
        let mut places = BTreeMap::new();
        let mut neighbours: BTreeMap<u16, Vec<u16>> = BTreeMap::new();
        for (place, group) in fleet.groups.iter().enumerate() {
            let [a, b] = group.between;
            places.insert((a.min(b), a.max(b)), place);
            neighbours.entry(a).or_default().push(b);
            neighbours.entry(b).or_default().push(a);
        }
        let state = |group: &crate::fleet::Group| GroupState {
            between: group.between,
            circuits: group.circuits,
            blocked: vec![start; types],
            beyond: vec![start; types],
            taken: f64::from(group.circuits) * start,
            offered: Vec::new(),
        };
        Self {
            fleet,
            places,
            neighbours,
            groups: fleet.groups.iter().map(state).collect(),
            taking: fleet.exchanges.iter().map(|of| (of.exchange, 1.0)).collect(),
            loads: BTreeMap::new(),
            lost: vec![vec![start; types]; fleet.traffic.len()],
        }
    }

    fn run(mut self) -> Solution {
        let mut moved = f64::MAX;
        for round in 1..=ROUNDS {
            let offered = self.offer();
            moved = self.settle(&offered);
            if moved < STILL {
                return self.solution(&offered, Ok(round));
            }
        }
        let offered = self.offer();
        self.solution(&offered, Err(moved))
    }

    fn place(&self, a: u16, b: u16) -> Option<usize> {
        self.places.get(&(a.min(b), a.max(b))).copied()
    }

    fn taken_at(&self, exchange: u16) -> f64 {
        self.taking.get(&exchange).copied().unwrap_or(0.0)
    }

    /// What goes where with the losses as they are; the losses of each pair are brought up to date on the way.
    fn offer(&mut self) -> Round {
        let types = self.fleet.call_types.len();
        let mut round = Round {
            direct: vec![vec![0.0; types]; self.groups.len()],
            first: vec![vec![0.0; types]; self.groups.len()],
            work: BTreeMap::new(),
            tries: 0.0,
            firsts: 0.0,
            detoured: 0.0,
            carried: 0.0,
            stood: vec![0.0; types],
            wanted: vec![0.0; types],
        };
        for at in 0..self.fleet.traffic.len() {
            let of = &self.fleet.traffic[at];
            if of.per_s <= 0.0 {
                continue;
            }
            let ends = self.taken_at(of.from) * self.taken_at(of.to);
            for kind in 0..types {
                let call_type = &self.fleet.call_types[kind];
                let first_tries = of.per_s * call_type.share;
                let again = self.fleet.redials.share * self.lost[at][kind];
                let tries: f64 = (0..=i32::from(self.fleet.redials.most)).map(|k| again.powi(k)).sum::<f64>()
                    * first_tries;
                *round.work.entry(of.from).or_default() += tries * self.fleet.work.look_ms;
                let sent = tries * ends;
                let stands = self.way(at, kind, sent, &mut round);
                let lost = if tries > 0.0 { 1.0 - (stands / tries).min(1.0) } else { 0.0 };
                round.tries += tries;
                round.firsts += first_tries;
                round.carried += stands;
                round.wanted[kind] += first_tries;
                round.stood[kind] += stands;
                self.lost[at][kind] = self.lost[at][kind].midpoint(lost);
            }
        }
        round
    }

    /// Sends calls of one pair and type, a second; returns how many stand.
    fn way(&self, at: usize, kind: usize, sent: f64, round: &mut Round) -> f64 {
        let of = &self.fleet.traffic[at];
        let hold = self.fleet.call_types[kind].hold_s;
        let direct = self.place(of.from, of.to).filter(|place| self.groups[*place].circuits > 0);
        let blocked = direct.map_or(1.0, |place| self.groups[place].blocked[kind]);
        let mut stands = 0.0;
        if let Some(place) = direct {
            round.direct[place][kind] += sent * hold;
            stands += sent * (1.0 - blocked);
            self.arrives(of.to, sent * (1.0 - blocked), round);
        }
        let over = sent * blocked;
        if over < NOTHING {
            return stands;
        }
        // Tandems with a group to both ends: which has room behind its first leg, and how much.
        let none = Vec::new();
        let beside = self.neighbours.get(&of.from).unwrap_or(&none);
        let legs = beside.iter().filter(|tandem| **tandem != of.to).filter_map(|tandem| {
            let (one, two) = (self.place(of.from, *tandem)?, self.place(*tandem, of.to)?);
            let open = (1.0 - self.groups[one].beyond[kind]) * self.taken_at(*tandem);
            let room = f64::from(self.groups[one].circuits) - self.groups[one].taken;
            (open > 0.0 && room > 0.0).then_some((*tandem, one, two, open, open * room))
        });
        let legs: Vec<_> = legs.collect();
        let all_shut: f64 = legs.iter().map(|(.., open, _)| 1.0 - open).product();
        let weight: f64 = legs.iter().map(|(.., weight)| weight).sum();
        for (tandem, one, two, _, of_this) in legs {
            let goes = over * (1.0 - all_shut) * of_this / weight;
            let through = 1.0 - self.groups[two].blocked[kind];
            // What the second leg loses holds nothing on the first; what the first has let on is offered to the second. The
            // first leg is offered what it would let on: its own blocking is in who chose it.
            let open = (1.0 - self.groups[one].beyond[kind]).max(1e-6);
            round.first[one][kind] += goes * through / open * hold;
            round.direct[two][kind] += goes * hold;
            self.arrives(tandem, goes, round);
            self.arrives(of.to, goes * through, round);
            stands += goes * through;
            round.detoured += goes * through;
        }
        stands
    }

    fn arrives(&self, exchange: u16, per_s: f64, round: &mut Round) {
        let work = &self.fleet.work;
        *round.work.entry(exchange).or_default() +=
            per_s * (work.set_up_ms + work.answer_ms + work.release_ms);
    }

    /// Half of the way to the balance with what is offered; returns the largest move.
    fn settle(&mut self, offered: &Round) -> f64 {
        let mut moved: f64 = 0.0;
        let mut step = |was: &mut f64, is: f64| {
            moved = moved.max((is - *was).abs());
            *was = was.midpoint(is);
        };
        for (place, group) in self.groups.iter_mut().enumerate() {
            let stream = |erlangs: f64, width: u16, leaves: u16| Stream { erlangs, width, leaves };
            let types = &self.fleet.call_types;
            let direct =
                types.iter().zip(&offered.direct[place]).map(|(of, load)| stream(*load, of.width, 0));
            let first = types.iter().zip(&offered.first[place]);
            let first = first.map(|(of, load)| stream(*load, of.width, self.fleet.reserved));
            let streams: Vec<Stream> = direct.chain(first).collect();
            let found = kaufman_roberts(group.circuits, &streams);
            let (blocked, beyond) = found.blocked.split_at(types.len());
            group.blocked.iter_mut().zip(blocked).for_each(|(was, is)| step(was, *is));
            group.beyond.iter_mut().zip(beyond).for_each(|(was, is)| step(was, *is));
            group.taken = group.taken.midpoint(found.taken);
            group.offered = streams;
        }
        for of in &self.fleet.exchanges {
            let work = offered.work.get(&of.exchange).copied().unwrap_or(0.0) / 1e3;
            // What is offered has been thinned by what it takes already: its whole load is what came before that.
            let taking = self.taking.entry(of.exchange).or_insert(1.0);
            let load = work / of.speed;
            self.loads.insert(of.exchange, load / taking.max(1e-6));
            let wanted = (*taking / load.max(1e-9)).min(1.0);
            step(taking, wanted);
        }
        moved
    }

    fn solution(self, offered: &Round, rounds: Result<u32, f64>) -> Solution {
        let share = |part: f64, whole: f64| if whole > 0.0 { (part / whole).min(1.0) } else { 1.0 };
        let processors = self.fleet.exchanges.iter().map(|of| ProcessorState {
            exchange: of.exchange,
            load: self.loads.get(&of.exchange).copied().unwrap_or(0.0),
        });
        Solution {
            processors: processors.collect(),
            stood: share(offered.carried, offered.firsts),
            stood_by_type: offered
                .stood
                .iter()
                .zip(&offered.wanted)
                .map(|(stood, wanted)| share(*stood, *wanted))
                .collect(),
            tries: if offered.firsts > 0.0 { offered.tries / offered.firsts } else { 1.0 },
            detours: if offered.carried > 0.0 { offered.detoured / offered.carried } else { 0.0 },
            groups: self.groups,
            rounds,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::{CallType, Exchange, Group, Redials, Traffic, Work};

    /// A full mesh with the same traffic on each pair, each way.
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
    fn one_group_alone_is_erlang_s_formula() {
        let solved = solve(&mesh(2, 31, 25.0));
        let erlang = crate::erlang::blocking(25.0, 31).unwrap();
        assert!((solved.low_blocking.groups[0].blocked[0] - erlang).abs() < 1e-6);
        assert!((solved.low_blocking.stood - (1.0 - erlang)).abs() < 1e-6);
        assert_eq!((solved.high_blocking, solved.low_blocking.detours), (None, 0.0));
    }

    #[test]
    fn tandems_carry_what_the_direct_group_does_not_while_there_is_room() {
        let mut fleet = mesh(5, 31, 15.0);
        fleet.traffic.iter_mut().filter(|of| (of.from, of.to) == (1, 2)).for_each(|of| of.per_s = 5.0);
        let solved = solve(&fleet);
        let direct = &solved.low_blocking.groups[0];
        assert!(direct.blocked[0] > 0.4, "{direct:?}");
        assert!(
            solved.low_blocking.stood > 0.97 && solved.low_blocking.detours > 0.05,
            "{:?}",
            solved.low_blocking
        );
    }

    #[test]
    fn a_pair_without_a_group_is_reached_over_others() {
        let mut fleet = mesh(4, 31, 10.0);
        fleet.groups.remove(0);
        let solved = solve(&fleet);
        assert!(
            solved.low_blocking.stood > 0.99 && solved.low_blocking.detours > 0.1,
            "{:?}",
            solved.low_blocking
        );
        fleet.groups.clear();
        assert_eq!(solve(&fleet).low_blocking.stood, 0.0);
    }

    #[test]
    fn redials_add_tries_and_help_some() {
        let still = solve(&mesh(2, 31, 40.0)).low_blocking;
        let mut fleet = mesh(2, 31, 40.0);
        fleet.redials = Redials { share: 0.9, most: 2 };
        let again = solve(&fleet).low_blocking;
        assert!(
            again.tries > 1.3 && again.stood > still.stood,
            "{} tries, {} and {}",
            again.tries,
            again.stood,
            still.stood
        );
        assert!(again.groups[0].blocked[0] > still.groups[0].blocked[0]);
    }

    #[test]
    fn a_slow_processor_takes_its_share_and_says_how_far_it_is_over() {
        let mut fleet = mesh(3, 310, 60.0);
        fleet.work = Work { look_ms: 0.0, set_up_ms: 100.0, answer_ms: 0.0, release_ms: 0.0 };
        // Each is offered 6 set-ups a second, 0.6 of its time; one is four times as slow, and takes 1 in 2.4.
        fleet.exchanges[2].speed = 0.25;
        let solved = solve(&fleet).low_blocking;
        assert!((solved.processors[2].load - 2.4).abs() < 0.01, "{:?}", solved.processors);
        // Its own callers wait for it likewise: the others are spared what it does not get to.
        assert!((solved.processors[0].load - (0.3 + 0.3 / 2.4)).abs() < 0.01, "{:?}", solved.processors);
        assert!((solved.stood - (1.0 / 3.0 + 2.0 / 3.0 / 2.4)).abs() < 0.01, "{}", solved.stood);
    }

    #[test]
    fn overload_settles_and_wide_calls_lose_more() {
        let mut fleet = mesh(8, 62, 75.0);
        fleet.call_types = vec![
            CallType { name: "call".into(), share: 0.95, width: 1, hold_s: 10.0 },
            CallType { name: "feed".into(), share: 0.05, width: 6, hold_s: 10.0 },
        ];
        let solved = solve(&fleet).low_blocking;
        assert!(solved.rounds.is_ok(), "{:?}", solved.rounds);
        assert!(solved.stood_by_type[1] < solved.stood_by_type[0] - 0.1, "{:?}", solved.stood_by_type);
    }
}
