//! What saturates first as a fleet grows, and what a loss of exchanges does to the rest.

use std::collections::{BTreeMap, BTreeSet};

use crate::fleet::Fleet;
use crate::model::{Solution, solve};
use crate::multirate::kaufman_roberts;

/// What can be full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bottleneck {
    Group { between: [u16; 2] },
    Processor { exchange: u16 },
}

/// A limit and the growth at which it is reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SaturationPoint {
    pub limit: Bottleneck,
    pub growth: f64,
}

/// Which limits are reached: groups that block more than `most_blocked` of any call type, processors offered more than they can do.
fn reached(solution: &Solution, most_blocked: f64) -> BTreeSet<Bottleneck> {
    let full =
        solution.groups.iter().filter(|group| group.blocked.iter().any(|blocked| *blocked > most_blocked));
    let groups = full.map(|group| Bottleneck::Group { between: group.between });
    let over = solution.processors.iter().filter(|of| of.load > 1.0);
    groups.chain(over.map(|of| Bottleneck::Processor { exchange: of.exchange })).collect()
}

/// Limits in the order in which growth reaches them, from `least` to `most` times the traffic, to within `step`.
///
/// `told`: how far it has come, from nought to one.
pub fn saturation_points(
    fleet: &Fleet,
    most_blocked: f64,
    [least, most]: [f64; 2],
    step: f64,
    told: &mut dyn FnMut(f64),
) -> Vec<SaturationPoint> {
    let steps = ((most - least) / step.max(1e-3)).ceil().clamp(1.0, 10_000.0) as u32;
    let mut found: BTreeMap<Bottleneck, f64> = BTreeMap::new();
    for at in 0..=steps {
        let growth = least + (most - least) * f64::from(at) / f64::from(steps);
        let now = reached(&solve(&fleet.grown(growth)).low_blocking, most_blocked);
        now.into_iter().for_each(|limit| _ = found.entry(limit).or_insert(growth));
        told(f64::from(at) / f64::from(steps));
    }
    let mut all: Vec<_> =
        found.into_iter().map(|(limit, growth)| SaturationPoint { limit, growth }).collect();
    all.sort_by(|a, b| a.growth.total_cmp(&b.growth).then(a.limit.cmp(&b.limit)));
    all
}

/// What a loss of exchanges does.
#[derive(Clone, Debug, PartialEq)]
pub struct Lost {
    /// Share of the traffic that came from or went to them.
    pub gone: f64,
    /// Share of the rest that stands before and after.
    pub before: f64,
    pub after: f64,
    /// Whether the rest may stay jammed.
    pub jams: bool,
    /// Limits of the rest that are reached now and were not before.
    pub reached: Vec<Bottleneck>,
}

/// Loses exchanges, with so many times the callers' redials (1: as ever), as when all dial again early.
pub fn lose(fleet: &Fleet, lost: &BTreeSet<u16>, redials: f64, most_blocked: f64) -> Lost {
    let mut rest = fleet.without(lost);
    let all = |fleet: &Fleet| fleet.traffic.iter().map(|of| of.per_s).sum::<f64>();
    let gone = if all(fleet) > 0.0 { 1.0 - all(&rest) / all(fleet) } else { 0.0 };
    let before = solve(fleet).low_blocking;
    let most = f64::from(rest.redials.most) * redials.max(0.0);
    rest.redials.most = most.round().min(255.0) as u8;
    let after = solve(&rest);
    let known = reached(&before, most_blocked);
    let new = reached(&after.low_blocking, most_blocked).into_iter().filter(|limit| !known.contains(limit));
    Lost {
        gone,
        before: before.stood,
        after: after.low_blocking.stood,
        jams: after.high_blocking.is_some(),
        reached: new.collect(),
    }
}

/// A group and the circuits it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sized {
    pub between: [u16; 2],
    pub circuits: u16,
    pub needed: u16,
}

/// Rounds of sizing and solving again: what one group takes over changes what others are offered.
const SIZINGS: u32 = 20;

/// The fewest circuits on each group at which no call type is blocked more than this, none taken away. The second: whether it
/// came to rest.
pub fn size_groups(fleet: &Fleet, most_blocked: f64) -> (Vec<Sized>, bool) {
    let mut sized = fleet.clone();
    let types = fleet.call_types.len();
    let mut at_rest = false;
    for _ in 0..SIZINGS {
        let solution = solve(&sized).low_blocking;
        at_rest = true;
        for (group, state) in sized.groups.iter_mut().zip(&solution.groups) {
            let fits = |circuits: u16| {
                let blocked = kaufman_roberts(circuits, &state.offered).blocked;
                blocked.iter().take(types).all(|blocked| *blocked <= most_blocked)
            };
            if fits(group.circuits) {
                continue;
            }
            at_rest = false;
            let (mut low, mut high) = (group.circuits, MOST_CIRCUITS);
            while high - low > 1 {
                let middle = low.midpoint(high);
                match fits(middle) {
                    true => high = middle,
                    false => low = middle,
                }
            }
            group.circuits = high;
        }
        if at_rest {
            break;
        }
    }
    let both = fleet.groups.iter().zip(&sized.groups);
    let all =
        both.map(|(was, is)| Sized { between: was.between, circuits: was.circuits, needed: is.circuits });
    (all.collect(), at_rest)
}

/// As many as one group can have here.
const MOST_CIRCUITS: u16 = 3968;

/// How many times as fast all processors must be for this share of first tries to stand. `None`: no speed helps, the groups
/// are too small.
pub fn size_processors(fleet: &Fleet, goal: f64) -> Option<f64> {
    let stood = |times: f64| {
        let mut faster = fleet.clone();
        faster.exchanges.iter_mut().for_each(|of| of.speed *= times);
        solve(&faster).low_blocking.stood
    };
    let (mut low, mut high) = (0.0, 64.0);
    if stood(high) < goal {
        return None;
    }
    // To a thousandth: speeds are not known better.
    while high - low > 1e-3 * high {
        let middle = f64::midpoint(low, high);
        match middle > 0.0 && stood(middle) >= goal {
            true => high = middle,
            false => low = middle,
        }
    }
    Some(high)
}

/// Two descriptions side by side.
#[derive(Clone, Debug, PartialEq)]
pub struct Compared {
    /// Share of first tries that stands in each.
    pub stood: [f64; 2],
    /// Limits reached in the one alone, and in the other alone.
    pub only: [Vec<Bottleneck>; 2],
    /// Groups of both, by how much more the second blocks of any call type; those that differ, most first.
    pub blocked: Vec<([u16; 2], f64)>,
    /// Processors of both, by how much more the second is offered over what it can do.
    pub loads: Vec<(u16, f64)>,
}

/// Differences below this are none.
const NO_DIFFERENCE: f64 = 1e-4;

pub fn compare(one: &Fleet, other: &Fleet, most_blocked: f64) -> Compared {
    let solved = [solve(one).low_blocking, solve(other).low_blocking];
    let [here, there] = [&solved[0], &solved[1]].map(|solution| reached(solution, most_blocked));
    let worst = |solution: &Solution| -> BTreeMap<[u16; 2], f64> {
        let of = |blocked: &[f64]| blocked.iter().copied().fold(0.0, f64::max);
        let ends = |[a, b]: [u16; 2]| [a.min(b), a.max(b)];
        solution.groups.iter().map(|group| (ends(group.between), of(&group.blocked))).collect()
    };
    let load = |solution: &Solution| -> BTreeMap<u16, f64> {
        solution.processors.iter().map(|of| (of.exchange, of.load)).collect()
    };
    Compared {
        stood: [solved[0].stood, solved[1].stood],
        only: [here.difference(&there).copied().collect(), there.difference(&here).copied().collect()],
        blocked: differences(&worst(&solved[0]), &worst(&solved[1])),
        loads: differences(&load(&solved[0]), &load(&solved[1])),
    }
}

/// What is in both, by how much more the second has; the largest differences first.
fn differences<K: Ord + Copy>(one: &BTreeMap<K, f64>, other: &BTreeMap<K, f64>) -> Vec<(K, f64)> {
    let both = one.iter().filter_map(|(key, was)| Some((*key, other.get(key)? - was)));
    let mut all: Vec<_> = both.filter(|(_, more)| more.abs() > NO_DIFFERENCE).collect();
    all.sort_by(|a, b| b.1.abs().total_cmp(&a.1.abs()).then(a.0.cmp(&b.0)));
    all
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::{CallType, Exchange, Group, Redials, Traffic, Work};

    /// Four exchanges in two regions; one group is small, one processor slow.
    fn fleet() -> Fleet {
        let exchange = |no: u16| Exchange {
            exchange: no,
            region: if no < 3 { "north" } else { "south" }.into(),
            speed: if no == 4 { 0.5 } else { 1.0 },
        };
        let pairs = [(1, 2), (1, 3), (1, 4), (2, 3), (2, 4), (3, 4)];
        let circuits = |pair: &(u16, u16)| if *pair == (1, 2) { 12 } else { 62 };
        let both = |(a, b): (u16, u16)| [(a, b), (b, a)];
        Fleet {
            exchanges: (1..=4).map(exchange).collect(),
            groups: pairs
                .iter()
                .map(|pair| Group { between: [pair.0, pair.1], circuits: circuits(pair) })
                .collect(),
            call_types: vec![CallType { name: "call".into(), share: 1.0, width: 1, hold_s: 10.0 }],
            traffic: pairs
                .into_iter()
                .flat_map(both)
                .map(|(from, to)| Traffic { from, to, per_s: 0.5 })
                .collect(),
            redials: Redials::default(),
            work: Work { look_ms: 10.0, set_up_ms: 60.0, answer_ms: 20.0, release_ms: 20.0 },
            reserved: 2,
        }
    }

    #[test]
    fn limits_are_reached_in_the_order_of_their_room() {
        assert_eq!(fleet().validation_errors(), Vec::<String>::new());
        let mut told = Vec::new();
        let order = saturation_points(&fleet(), 0.05, [0.5, 6.0], 0.25, &mut |share| told.push(share));
        assert_eq!(order[0].limit, Bottleneck::Group { between: [1, 2] }, "{order:?}");
        let processors: Vec<_> =
            order.iter().filter(|of| matches!(of.limit, Bottleneck::Processor { .. })).collect();
        assert_eq!(processors[0].limit, Bottleneck::Processor { exchange: 4 }, "{order:?}");
        assert!(processors[0].growth < 4.0 && order.windows(2).all(|pair| pair[0].growth <= pair[1].growth));
        assert_eq!((told.first(), told.last()), (Some(&0.0), Some(&1.0)));
    }

    #[test]
    fn sized_groups_lose_no_more_than_wanted_and_not_much_less() {
        let (sized, at_rest) = size_groups(&fleet().grown(2.0), 0.01);
        let needed = |between: [u16; 2]| sized.iter().find(|of| of.between == between).unwrap();
        assert!(at_rest && needed([1, 2]).needed > 24, "{sized:?}");
        assert_eq!(needed([3, 4]).needed, 62, "enough already");
        let mut fleet = fleet().grown(2.0);
        fleet.groups[0].circuits = needed([1, 2]).needed;
        assert!(solve(&fleet).low_blocking.groups[0].blocked[0] <= 0.01);
        fleet.groups[0].circuits -= 2;
        assert!(solve(&fleet).low_blocking.groups[0].blocked[0] > 0.01);
    }

    #[test]
    fn processors_are_sized_for_a_goal_that_groups_allow() {
        let pressed = fleet().grown(4.0);
        let mut wide = pressed.clone();
        wide.groups.iter_mut().for_each(|group| group.circuits = 310);
        let before = solve(&wide).low_blocking.stood;
        let times = size_processors(&wide, 0.98).unwrap();
        assert!(before < 0.95 && times > 1.2 && times < 6.0, "{before}, {times}");
        let mut narrow = pressed;
        narrow.groups.iter_mut().for_each(|group| group.circuits = 4);
        assert_eq!(size_processors(&narrow, 0.98), None);
    }

    #[test]
    fn two_fleets_are_compared_by_what_differs() {
        let (one, mut other) = (fleet().grown(2.0), fleet().grown(2.0));
        assert_eq!(compare(&one, &one, 0.02).blocked, []);
        other.groups[0].circuits = 62;
        let compared = compare(&one, &other, 0.02);
        assert!(compared.stood[1] > compared.stood[0], "{compared:?}");
        assert_eq!(compared.only, [vec![Bottleneck::Group { between: [1, 2] }], vec![]]);
        assert!(compared.blocked[0].0 == [1, 2] && compared.blocked[0].1 < -0.1, "{compared:?}");
    }

    #[test]
    fn a_region_lost_takes_its_traffic_along_and_leaves_the_rest() {
        let fleet = fleet();
        let lost = lose(&fleet, &fleet.regions()["south"], 2.0, 0.05);
        // Only the pair of 1 and 2 is left of six.
        assert!((lost.gone - 5.0 / 6.0).abs() < 1e-9, "{lost:?}");
        // It has its small group alone now: no tandem is left.
        assert!(lost.after < lost.before && lost.after > 0.5, "{lost:?}");
    }

    #[test]
    fn each_fault_of_a_description_has_its_place() {
        let mut bad = fleet();
        bad.groups[1].between = [1, 9];
        bad.call_types[0].share = 0.5;
        bad.traffic[0].per_s = f64::NAN;
        bad.exchanges[3].exchange = 1;
        let faults = bad.validation_errors().join("\n");
        for place in [
            "groups[1].between: there is no exchange 9",
            "call_types: their shares make 0.5",
            "traffic[0].per_s",
            "exchanges[3].exchange: 1 is named",
        ] {
            assert!(faults.contains(place), "{faults}");
        }
    }
}
