//! Calls of several widths on one group: the recursion of Kaufman (1981) and Roberts (1981), with circuits kept back from some
//! (Roberts, 1983; an approximation where anything is kept back, exact where nothing is).
//!
//! Circuits of a wide call lie in one system of 31 here; that a group may have room in pieces only is not in this model.

/// What one kind of call offers to a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// Calls at a time, were none lost: arrivals times holding time.
    pub erlangs: f64,
    /// Circuits of each.
    pub width: u16,
    /// Circuits that must stay free behind it.
    pub leaves: u16,
}

/// A group in balance.
#[derive(Clone, Debug, PartialEq)]
pub struct Balance {
    /// Share of each stream's calls that find no room.
    pub blocked: Vec<f64>,
    /// Circuits taken on average.
    pub taken: f64,
}

/// A stream with no erlangs is told what a call of it would find.
pub fn kaufman_roberts(circuits: u16, streams: &[Stream]) -> Balance {
    let size = usize::from(circuits);
    let mut share = vec![0.0; size + 1];
    share[0] = 1.0;
    let mut sum = 1.0;
    for taken in 1..=size {
        let fed = streams.iter().filter_map(|stream| {
            let width = usize::from(stream.width.max(1));
            let before = taken.checked_sub(width)?;
            let fits = taken + usize::from(stream.leaves) <= size;
            fits.then(|| stream.erlangs.max(0.0) * width as f64 * share[before])
        });
        share[taken] = fed.sum::<f64>() / taken as f64;
        sum += share[taken];
        // Groups of thousands of circuits pass what a float holds.
        if sum > 1e200 {
            share[..=taken].iter_mut().for_each(|share| *share /= sum);
            sum = 1.0;
        }
    }
    let blocked = streams.iter().map(|stream| {
        let needs = usize::from(stream.width.max(1)) + usize::from(stream.leaves);
        let first = (size + 1).saturating_sub(needs);
        (share[first..].iter().sum::<f64>() / sum).min(1.0)
    });
    let taken = share.iter().enumerate().map(|(taken, share)| taken as f64 * share).sum::<f64>() / sum;
    Balance { blocked: blocked.collect(), taken }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stream(erlangs: f64, width: u16) -> Stream {
        Stream { erlangs, width, leaves: 0 }
    }

    /// All states of a small group, each with its weight by the product form.
    fn by_counting(circuits: u16, streams: &[Stream]) -> Vec<f64> {
        fn states(room: u16, streams: &[Stream], weight: f64, taken: u16, all: &mut Vec<(u16, f64)>) {
            let Some((first, rest)) = streams.split_first() else { return all.push((taken, weight)) };
            let (mut weight, mut held) = (weight, 0);
            while held * first.width <= room {
                states(room - held * first.width, rest, weight, taken + held * first.width, all);
                held += 1;
                weight *= first.erlangs / f64::from(held);
            }
        }
        let mut all = Vec::new();
        states(circuits, streams, 1.0, 0, &mut all);
        let sum: f64 = all.iter().map(|(_, weight)| weight).sum();
        let full = |width: u16| {
            all.iter().filter(move |(taken, _)| taken + width > circuits).map(|(_, weight)| weight)
        };
        streams.iter().map(|stream| full(stream.width).sum::<f64>() / sum).collect()
    }

    #[test]
    fn it_is_what_counting_all_states_gives() {
        for circuits in [4, 7, 12] {
            for streams in [
                vec![stream(3.0, 1)],
                vec![stream(2.0, 1), stream(0.7, 2)],
                vec![stream(4.0, 1), stream(1.0, 3), stream(0.3, 4)],
            ] {
                let (worked, counted) =
                    (kaufman_roberts(circuits, &streams).blocked, by_counting(circuits, &streams));
                for (worked, counted) in worked.iter().zip(&counted) {
                    assert!((worked - counted).abs() < 1e-12, "{circuits}, {streams:?}: {worked}, {counted}");
                }
            }
        }
    }

    #[test]
    fn one_width_is_erlang_s_formula_up_to_thousands_of_circuits() {
        for (offered, circuits) in [(20.0, 31), (300.0, 310), (3900.0, 3968)] {
            let worked = kaufman_roberts(circuits, &[stream(offered, 1)]);
            let erlang = crate::erlang::blocking(offered, circuits.into()).unwrap();
            assert!((worked.blocked[0] - erlang).abs() < 1e-9);
            assert!((worked.taken - offered * (1.0 - erlang)).abs() < 1e-6 * offered);
        }
    }

    #[test]
    fn wide_calls_starve_behind_narrow_ones_unless_some_is_kept_for_them() {
        let filled = kaufman_roberts(31, &[stream(30.0, 1), stream(0.5, 6)]);
        assert!(filled.blocked[1] > 3.0 * filled.blocked[0], "{filled:?}");
        let kept = kaufman_roberts(31, &[Stream { leaves: 5, ..stream(30.0, 1) }, stream(0.5, 6)]);
        assert!(kept.blocked[1] < filled.blocked[1] / 2.0 && kept.blocked[0] > filled.blocked[0], "{kept:?}");
    }

    #[test]
    fn what_never_fits_is_always_blocked() {
        assert_eq!(kaufman_roberts(3, &[stream(1.0, 4)]).blocked, [1.0]);
        assert_eq!(kaufman_roberts(0, &[stream(1.0, 1)]).blocked, [1.0]);
        assert_eq!(kaufman_roberts(3, &[]).taken, 0.0);
    }
}
