//! The order in which groups and processors saturate as traffic grows, the sizes that a goal needs, what a loss of exchanges does
//! to the rest, and a comparison of two fleets. Each question is answered by solving the `model`, often many times.

use std::collections::{BTreeMap, BTreeSet};

use crate::fleet::Fleet;
use crate::model::{Solution, solve};
use crate::multirate::kaufman_roberts;

/// A group or processor that can saturate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bottleneck {
    Group { between: [u16; 2] },
    Processor { exchange: u16 },
}

/// A bottleneck and the growth of the traffic at which it saturates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SaturationPoint {
    pub bottleneck: Bottleneck,
    pub growth: f64,
}

/// The saturated bottlenecks: groups that block a larger share than `max_blocking` of any call type, and processors that are
/// offered more work than they can do.
fn saturated(solution: &Solution, max_blocking: f64) -> BTreeSet<Bottleneck> {
    let full_groups =
        solution.groups.iter().filter(|group| group.blocked.iter().any(|blocked| *blocked > max_blocking));
    let groups = full_groups.map(|group| Bottleneck::Group { between: group.between });
    let overloaded = solution.processors.iter().filter(|processor| processor.load > 1.0);
    let processors = overloaded.map(|processor| Bottleneck::Processor { exchange: processor.exchange });
    groups.chain(processors).collect()
}

/// Bottlenecks in the order in which growth of the traffic saturates them, from `min_growth` to `max_growth` in equal steps of at
/// most `step`. A `step` below 0.001 counts as 0.001, and there are at most 10,000 steps.
///
/// `on_progress` is called after each step with the share of the work done, from 0 to 1.
pub fn saturation_points(
    fleet: &Fleet,
    max_blocking: f64,
    [min_growth, max_growth]: [f64; 2],
    step: f64,
    on_progress: &mut dyn FnMut(f64),
) -> Vec<SaturationPoint> {
    let steps = ((max_growth - min_growth) / step.max(1e-3)).ceil().clamp(1.0, 10_000.0) as u32;
    let mut first_growth: BTreeMap<Bottleneck, f64> = BTreeMap::new();
    for number in 0..=steps {
        let growth = min_growth + (max_growth - min_growth) * f64::from(number) / f64::from(steps);
        let bottlenecks = saturated(&solve(&fleet.with_growth(growth)).low_blocking, max_blocking);
        bottlenecks.into_iter().for_each(|bottleneck| _ = first_growth.entry(bottleneck).or_insert(growth));
        on_progress(f64::from(number) / f64::from(steps));
    }
    let mut points: Vec<_> =
        first_growth.into_iter().map(|(bottleneck, growth)| SaturationPoint { bottleneck, growth }).collect();
    points.sort_by(|a, b| a.growth.total_cmp(&b.growth).then(a.bottleneck.cmp(&b.bottleneck)));
    points
}

/// The effect of a loss of exchanges.
#[derive(Clone, Debug, PartialEq)]
pub struct LossEffect {
    /// Share of all traffic that came from or went to the lost exchanges.
    pub lost_traffic_share: f64,
    /// Share of first tries that is answered in the whole fleet before the loss.
    pub answered_before: f64,
    /// Share of first tries that is answered among the remaining exchanges after the loss.
    pub answered_after: f64,
    /// Whether the remaining exchanges have a second equilibrium with high blocking, in which they may stay.
    pub may_stay_jammed: bool,
    /// Bottlenecks that are saturated after the loss and were not before.
    pub newly_saturated: Vec<Bottleneck>,
}

/// Works out the loss of the exchanges `lost`. `redial_factor` multiplies the callers' redials after the loss (1: as before), as
/// when all callers redial early.
pub fn loss_effect(fleet: &Fleet, lost: &BTreeSet<u16>, redial_factor: f64, max_blocking: f64) -> LossEffect {
    let mut rest = fleet.without(lost);
    let traffic_per_s = |fleet: &Fleet| fleet.traffic.iter().map(|pair| pair.per_s).sum::<f64>();
    let lost_traffic_share =
        if traffic_per_s(fleet) > 0.0 { 1.0 - traffic_per_s(&rest) / traffic_per_s(fleet) } else { 0.0 };
    let before = solve(fleet).low_blocking;
    let max_redials = f64::from(rest.redials.most) * redial_factor.max(0.0);
    rest.redials.most = max_redials.round().min(255.0) as u8;
    let after = solve(&rest);
    let saturated_before = saturated(&before, max_blocking);
    let newly_saturated = saturated(&after.low_blocking, max_blocking)
        .into_iter()
        .filter(|bottleneck| !saturated_before.contains(bottleneck));
    LossEffect {
        lost_traffic_share,
        answered_before: before.answered_share,
        answered_after: after.low_blocking.answered_share,
        may_stay_jammed: after.high_blocking.is_some(),
        newly_saturated: newly_saturated.collect(),
    }
}

/// The circuits that a group has and those that it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSize {
    pub between: [u16; 2],
    pub circuits: u16,
    pub needed: u16,
}

/// Rounds of sizing all groups and solving again. Each round changes what groups overflow to each other.
const MAX_SIZING_ROUNDS: u32 = 20;

/// The fewest circuits of each group at which no call type is blocked more than `max_blocking`. No group gets fewer circuits than
/// it has. The second value says whether the sizes settled.
pub fn size_groups(fleet: &Fleet, max_blocking: f64) -> (Vec<GroupSize>, bool) {
    let mut sized = fleet.clone();
    let types = fleet.call_types.len();
    let mut settled = false;
    for _ in 0..MAX_SIZING_ROUNDS {
        let solution = solve(&sized).low_blocking;
        settled = true;
        for (group, state) in sized.groups.iter_mut().zip(&solution.groups) {
            let suffices = |circuits: u16| {
                let blocked = kaufman_roberts(circuits, &state.offered).blocked;
                blocked.iter().take(types).all(|blocked| *blocked <= max_blocking)
            };
            if suffices(group.circuits) {
                continue;
            }
            settled = false;
            let (mut low, mut high) = (group.circuits, MAX_CIRCUITS_PER_GROUP);
            while high - low > 1 {
                let middle = low.midpoint(high);
                match suffices(middle) {
                    true => high = middle,
                    false => low = middle,
                }
            }
            group.circuits = high;
        }
        if settled {
            break;
        }
    }
    let pairs = fleet.groups.iter().zip(&sized.groups);
    let sizes = pairs.map(|(present, sized)| GroupSize {
        between: present.between,
        circuits: present.circuits,
        needed: sized.circuits,
    });
    (sizes.collect(), settled)
}

const MAX_CIRCUITS_PER_GROUP: u16 = 3968;

/// The factor on the speed of all processors with which the share `goal` of first tries is answered. `None`: even a factor of 64
/// does not suffice, the groups are too small.
pub fn size_processors(fleet: &Fleet, goal: f64) -> Option<f64> {
    let answered_share = |factor: f64| {
        let mut faster = fleet.clone();
        faster.exchanges.iter_mut().for_each(|exchange| exchange.speed *= factor);
        solve(&faster).low_blocking.answered_share
    };
    let (mut low, mut high) = (0.0, 64.0);
    if answered_share(high) < goal {
        return None;
    }
    // Speeds are not known more exactly than to a thousandth.
    while high - low > 1e-3 * high {
        let middle = f64::midpoint(low, high);
        match middle > 0.0 && answered_share(middle) >= goal {
            true => high = middle,
            false => low = middle,
        }
    }
    Some(high)
}

/// A comparison of two fleets.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Share of first tries that is answered in each.
    pub answered_share: [f64; 2],
    /// Bottlenecks that are saturated in the first fleet only, and in the second only.
    pub saturated_only_in: [Vec<Bottleneck>; 2],
    /// Groups of both fleets with the blocking of their worst call type in the second minus that in the first; the largest
    /// differences first, without those that are equal.
    pub blocking_differences: Vec<([u16; 2], f64)>,
    /// Processors of both fleets with their load in the second minus that in the first, in the same order.
    pub load_differences: Vec<(u16, f64)>,
}

/// Values that differ by no more than this count as equal.
const MAX_EQUAL_DIFFERENCE: f64 = 1e-4;

pub fn compare(first: &Fleet, second: &Fleet, max_blocking: f64) -> Comparison {
    let solutions = [solve(first).low_blocking, solve(second).low_blocking];
    let [in_first, in_second] =
        [&solutions[0], &solutions[1]].map(|solution| saturated(solution, max_blocking));
    let worst_blocking = |solution: &Solution| -> BTreeMap<[u16; 2], f64> {
        let worst = |blocked: &[f64]| blocked.iter().copied().fold(0.0, f64::max);
        let ends = |[a, b]: [u16; 2]| [a.min(b), a.max(b)];
        solution.groups.iter().map(|group| (ends(group.between), worst(&group.blocked))).collect()
    };
    let loads = |solution: &Solution| -> BTreeMap<u16, f64> {
        solution.processors.iter().map(|processor| (processor.exchange, processor.load)).collect()
    };
    Comparison {
        answered_share: [solutions[0].answered_share, solutions[1].answered_share],
        saturated_only_in: [
            in_first.difference(&in_second).copied().collect(),
            in_second.difference(&in_first).copied().collect(),
        ],
        blocking_differences: differences(&worst_blocking(&solutions[0]), &worst_blocking(&solutions[1])),
        load_differences: differences(&loads(&solutions[0]), &loads(&solutions[1])),
    }
}

/// The second value minus the first for each key that is in both maps; the largest differences first.
fn differences<K: Ord + Copy>(first: &BTreeMap<K, f64>, second: &BTreeMap<K, f64>) -> Vec<(K, f64)> {
    let in_both = first.iter().filter_map(|(key, value)| Some((*key, second.get(key)? - value)));
    let mut differences: Vec<_> =
        in_both.filter(|(_, difference)| difference.abs() > MAX_EQUAL_DIFFERENCE).collect();
    differences.sort_by(|a, b| b.1.abs().total_cmp(&a.1.abs()).then(a.0.cmp(&b.0)));
    differences
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::{CallType, Exchange, Group, Redials, Traffic, Work};

    /// Four exchanges in two regions. The group between 1 and 2 is small, the processor of 4 is slow.
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
    fn bottlenecks_saturate_in_the_order_of_their_spare_capacity() {
        assert_eq!(fleet().validation_errors(), Vec::<String>::new());
        let mut progress = Vec::new();
        let order = saturation_points(&fleet(), 0.05, [0.5, 6.0], 0.25, &mut |share| progress.push(share));
        assert_eq!(order[0].bottleneck, Bottleneck::Group { between: [1, 2] }, "{order:?}");
        let processors: Vec<_> =
            order.iter().filter(|point| matches!(point.bottleneck, Bottleneck::Processor { .. })).collect();
        assert_eq!(processors[0].bottleneck, Bottleneck::Processor { exchange: 4 }, "{order:?}");
        assert!(processors[0].growth < 4.0 && order.windows(2).all(|pair| pair[0].growth <= pair[1].growth));
        assert_eq!((progress.first(), progress.last()), (Some(&0.0), Some(&1.0)));
    }

    #[test]
    fn sized_groups_meet_the_blocking_limit_with_few_spare_circuits() {
        let (sized, settled) = size_groups(&fleet().with_growth(2.0), 0.01);
        let needed = |between: [u16; 2]| sized.iter().find(|group| group.between == between).unwrap();
        assert!(settled && needed([1, 2]).needed > 24, "{sized:?}");
        assert_eq!(needed([3, 4]).needed, 62, "the present circuits suffice");
        let mut fleet = fleet().with_growth(2.0);
        fleet.groups[0].circuits = needed([1, 2]).needed;
        assert!(solve(&fleet).low_blocking.groups[0].blocked[0] <= 0.01);
        fleet.groups[0].circuits -= 2;
        assert!(solve(&fleet).low_blocking.groups[0].blocked[0] > 0.01);
    }

    #[test]
    fn processors_are_sized_for_a_goal_unless_the_groups_are_too_small() {
        let loaded = fleet().with_growth(4.0);
        let mut large_groups = loaded.clone();
        large_groups.groups.iter_mut().for_each(|group| group.circuits = 310);
        let before = solve(&large_groups).low_blocking.answered_share;
        let factor = size_processors(&large_groups, 0.98).unwrap();
        assert!(before < 0.95 && factor > 1.2 && factor < 6.0, "{before}, {factor}");
        let mut small_groups = loaded;
        small_groups.groups.iter_mut().for_each(|group| group.circuits = 4);
        assert_eq!(size_processors(&small_groups, 0.98), None);
    }

    #[test]
    fn a_comparison_lists_only_the_differences_of_two_fleets() {
        let (one, mut other) = (fleet().with_growth(2.0), fleet().with_growth(2.0));
        assert_eq!(compare(&one, &one, 0.02).blocking_differences, []);
        other.groups[0].circuits = 62;
        let compared = compare(&one, &other, 0.02);
        assert!(compared.answered_share[1] > compared.answered_share[0], "{compared:?}");
        assert_eq!(compared.saturated_only_in, [vec![Bottleneck::Group { between: [1, 2] }], vec![]]);
        assert!(
            compared.blocking_differences[0].0 == [1, 2] && compared.blocking_differences[0].1 < -0.1,
            "{compared:?}"
        );
    }

    #[test]
    fn losing_a_region_removes_its_traffic_and_keeps_the_rest_connected() {
        let fleet = fleet();
        let effect = loss_effect(&fleet, &fleet.regions()["south"], 2.0, 0.05);
        // Of six pairs only that of 1 and 2 is left.
        assert!((effect.lost_traffic_share - 5.0 / 6.0).abs() < 1e-9, "{effect:?}");
        // This pair has only its small direct group: no tandem is left.
        assert!(effect.answered_after < effect.answered_before && effect.answered_after > 0.5, "{effect:?}");
    }

    #[test]
    fn each_validation_error_names_its_place() {
        let mut bad = fleet();
        bad.groups[1].between = [1, 9];
        bad.call_types[0].share = 0.5;
        bad.traffic[0].per_s = f64::NAN;
        bad.exchanges[3].exchange = 1;
        let errors = bad.validation_errors().join("\n");
        for place in [
            "groups[1].between: there is no exchange 9",
            "call_types: the shares add up to 0.5",
            "traffic[0].per_s",
            "exchanges[3].exchange: 1 is already in use",
        ] {
            assert!(errors.contains(place), "{errors}");
        }
    }
}
