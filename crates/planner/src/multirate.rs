//! Blocking of calls of several widths on one group: the recursion of Kaufman (1981) and Roberts (1981), with trunk reservation
//! (Roberts, 1983). The result is exact without reserved circuits and an approximation with them.
//!
//! In mintstall all circuits of a wide call lie in one system of 31 circuits. The model ignores this: it counts a group's free
//! circuits as one pool.

/// The traffic that one kind of call offers to a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// Offered calls: arrivals a second times the holding time in seconds.
    pub erlangs: f64,
    /// Circuits that each call takes.
    pub width: u16,
    /// Circuits that must still be free once a call of this stream is set up.
    pub reserved: u16,
}

/// The statistical equilibrium of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupEquilibrium {
    /// Share of calls that find no room, by stream.
    pub blocked: Vec<f64>,
    /// Mean number of occupied circuits.
    pub mean_occupied: f64,
}

/// Works out the blocking of each stream. For a stream of 0 erlangs it is the blocking that a single call would see.
pub fn kaufman_roberts(circuits: u16, streams: &[Stream]) -> GroupEquilibrium {
    let size = usize::from(circuits);
    // Weights of the states by the number of occupied circuits, not normalized; `sum` is their sum.
    let mut weights = vec![0.0; size + 1];
    weights[0] = 1.0;
    let mut sum = 1.0;
    for occupied in 1..=size {
        let inflow = streams.iter().filter_map(|stream| {
            let width = usize::from(stream.width.max(1));
            let before = occupied.checked_sub(width)?;
            let fits = occupied + usize::from(stream.reserved) <= size;
            fits.then(|| stream.erlangs.max(0.0) * width as f64 * weights[before])
        });
        weights[occupied] = inflow.sum::<f64>() / occupied as f64;
        sum += weights[occupied];
        // Scales the weights down: with thousands of circuits they exceed the range of f64.
        if sum > 1e200 {
            weights[..=occupied].iter_mut().for_each(|weight| *weight /= sum);
            sum = 1.0;
        }
    }
    let blocked = streams.iter().map(|stream| {
        let needed = usize::from(stream.width.max(1)) + usize::from(stream.reserved);
        let first_blocking = (size + 1).saturating_sub(needed);
        (weights[first_blocking..].iter().sum::<f64>() / sum).min(1.0)
    });
    let mean_occupied =
        weights.iter().enumerate().map(|(occupied, weight)| occupied as f64 * weight).sum::<f64>() / sum;
    GroupEquilibrium { blocked: blocked.collect(), mean_occupied }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stream(erlangs: f64, width: u16) -> Stream {
        Stream { erlangs, width, reserved: 0 }
    }

    /// Blocking by stream, from all states of a small group, each weighted by the product form.
    fn by_enumeration(circuits: u16, streams: &[Stream]) -> Vec<f64> {
        fn states(room: u16, streams: &[Stream], weight: f64, occupied: u16, all: &mut Vec<(u16, f64)>) {
            let Some((first, rest)) = streams.split_first() else { return all.push((occupied, weight)) };
            let (mut weight, mut held) = (weight, 0);
            while held * first.width <= room {
                states(room - held * first.width, rest, weight, occupied + held * first.width, all);
                held += 1;
                weight *= first.erlangs / f64::from(held);
            }
        }
        let mut all = Vec::new();
        states(circuits, streams, 1.0, 0, &mut all);
        let sum: f64 = all.iter().map(|(_, weight)| weight).sum();
        let full = |width: u16| {
            all.iter().filter(move |(occupied, _)| occupied + width > circuits).map(|(_, weight)| weight)
        };
        streams.iter().map(|stream| full(stream.width).sum::<f64>() / sum).collect()
    }

    #[test]
    fn the_recursion_matches_an_enumeration_of_all_states() {
        for circuits in [4, 7, 12] {
            for streams in [
                vec![stream(3.0, 1)],
                vec![stream(2.0, 1), stream(0.7, 2)],
                vec![stream(4.0, 1), stream(1.0, 3), stream(0.3, 4)],
            ] {
                let (computed, expected) =
                    (kaufman_roberts(circuits, &streams).blocked, by_enumeration(circuits, &streams));
                for (computed, expected) in computed.iter().zip(&expected) {
                    assert!(
                        (computed - expected).abs() < 1e-12,
                        "{circuits}, {streams:?}: {computed}, {expected}"
                    );
                }
            }
        }
    }

    #[test]
    fn a_single_width_matches_erlangs_formula_up_to_thousands_of_circuits() {
        for (offered, circuits) in [(20.0, 31), (300.0, 310), (3900.0, 3968)] {
            let computed = kaufman_roberts(circuits, &[stream(offered, 1)]);
            let erlang = crate::erlang::blocking(offered, circuits.into()).unwrap();
            assert!((computed.blocked[0] - erlang).abs() < 1e-9);
            assert!((computed.mean_occupied - offered * (1.0 - erlang)).abs() < 1e-6 * offered);
        }
    }

    #[test]
    fn wide_calls_are_blocked_more_than_narrow_ones_unless_circuits_are_reserved() {
        let unreserved = kaufman_roberts(31, &[stream(30.0, 1), stream(0.5, 6)]);
        assert!(unreserved.blocked[1] > 3.0 * unreserved.blocked[0], "{unreserved:?}");
        let reserved = kaufman_roberts(31, &[Stream { reserved: 5, ..stream(30.0, 1) }, stream(0.5, 6)]);
        assert!(
            reserved.blocked[1] < unreserved.blocked[1] / 2.0 && reserved.blocked[0] > unreserved.blocked[0],
            "{reserved:?}"
        );
    }

    #[test]
    fn a_call_wider_than_the_group_is_always_blocked() {
        assert_eq!(kaufman_roberts(3, &[stream(1.0, 4)]).blocked, [1.0]);
        assert_eq!(kaufman_roberts(0, &[stream(1.0, 1)]).blocked, [1.0]);
        assert_eq!(kaufman_roberts(3, &[]).mean_occupied, 0.0);
    }
}
