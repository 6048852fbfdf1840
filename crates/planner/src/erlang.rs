//! Erlang's loss formula (Erlang, 1917; ITU-T E.501) and its inverses.
//!
//! The reciprocal of the blocking B of n circuits at A erlangs follows the recursion `1/B(n) = 1 + n/A * 1/B(n-1)`. It adds
//! positive terms only, so it is stable at any number of circuits. It exceeds the range of f64 only where the blocking is
//! zero for all practical purposes.

use thiserror::Error;

/// An argument outside its range.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum ErlangError {
    #[error("offered: {0} is not above 0, finite and at most 1000000 erlangs")]
    Offered(f64),
    #[error("blocking: {0} is not above 0 and below 1")]
    Blocking(f64),
    #[error("circuits: {0} is not within 1 to 1000000")]
    Circuits(u32),
}

/// Upper bound of circuits and of offered erlangs; no trunk group is larger.
const MAX_CIRCUITS: u32 = 1_000_000;

fn check_offered(offered: f64) -> Result<f64, ErlangError> {
    let valid = offered > 0.0 && offered <= f64::from(MAX_CIRCUITS);
    valid.then_some(offered).ok_or(ErlangError::Offered(offered))
}

fn check_blocking(blocking: f64) -> Result<f64, ErlangError> {
    (blocking > 0.0 && blocking < 1.0).then_some(blocking).ok_or(ErlangError::Blocking(blocking))
}

fn check_circuits(circuits: u32) -> Result<u32, ErlangError> {
    (1..=MAX_CIRCUITS).contains(&circuits).then_some(circuits).ok_or(ErlangError::Circuits(circuits))
}

/// The share of calls that find all circuits occupied when `offered` erlangs are offered to `circuits`.
pub fn blocking(offered: f64, circuits: u32) -> Result<f64, ErlangError> {
    let (offered, circuits) = (check_offered(offered)?, check_circuits(circuits)?);
    Ok(1.0 / (1..=circuits).fold(1.0, |inverse, n| 1.0 + f64::from(n) / offered * inverse))
}

/// The fewest circuits on which at most the share `max_blocking` of `offered` erlangs is blocked.
pub fn circuits(offered: f64, max_blocking: f64) -> Result<u32, ErlangError> {
    let (offered, max_blocking) = (check_offered(offered)?, check_blocking(max_blocking)?);
    let mut inverse = 1.0;
    for n in 1..=MAX_CIRCUITS {
        inverse = 1.0 + f64::from(n) / offered * inverse;
        if 1.0 / inverse <= max_blocking {
            return Ok(n);
        }
    }
    Err(ErlangError::Circuits(MAX_CIRCUITS))
}

/// The most erlangs of which at most the share `max_blocking` is blocked on `circuits`.
pub fn offered(circuits: u32, max_blocking: f64) -> Result<f64, ErlangError> {
    let (circuits, max_blocking) = (check_circuits(circuits)?, check_blocking(max_blocking)?);
    // Blocking grows with the offered traffic: bisect until no f64 lies between the bounds.
    let (mut low, mut high) = (0.0_f64, f64::from(MAX_CIRCUITS));
    for _ in 0..200 {
        let middle = low.midpoint(high);
        if middle <= low || middle >= high {
            break;
        }
        match blocking(middle, circuits)? <= max_blocking {
            true => low = middle,
            false => high = middle,
        }
    }
    Ok(low)
}

/// The peakedness of the overflow traffic as a second group sees it: variance over mean (Riordan; Wilkinson, 1956).
pub fn peakedness(offered: f64, circuits: u32) -> Result<f64, ErlangError> {
    let overflow = offered * blocking(offered, circuits)?;
    Ok(1.0 - overflow + offered / (f64::from(circuits) + 1.0 - offered + overflow))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Erlang's formula by its definition, with logarithms in place of the recursion.
    fn by_definition(offered: f64, circuits: u32) -> f64 {
        let mut term = 0.0;
        let mut logs = vec![0.0];
        for n in 1..=circuits {
            term += (offered / f64::from(n)).ln();
            logs.push(term);
        }
        let largest = logs.iter().copied().fold(f64::MIN, f64::max);
        let sum: f64 = logs.iter().map(|log| (log - largest).exp()).sum();
        (term - largest).exp() / sum
    }

    #[test]
    fn the_recursion_matches_the_definition_over_a_grid() {
        for circuits in [1, 2, 5, 10, 31, 62, 100, 310, 1000] {
            for load in [0.1, 0.5, 0.8, 0.95, 1.0, 1.2, 2.0] {
                let offered = f64::from(circuits) * load;
                let error = (blocking(offered, circuits).unwrap() - by_definition(offered, circuits)).abs();
                assert!(error < 1e-9, "{offered} on {circuits}: {error}");
            }
        }
    }

    #[test]
    fn values_match_published_erlang_tables() {
        // One circuit: A / (1 + A). At 1 % blocking 4.461 E can be offered to ten circuits, 84.06 E to a hundred.
        assert!((blocking(1.0, 1).unwrap() - 0.5).abs() < 1e-12);
        assert!((offered(10, 0.01).unwrap() - 4.461).abs() < 5e-4);
        assert!((offered(100, 0.01).unwrap() - 84.06).abs() < 5e-3);
        assert_eq!(circuits(84.06, 0.01), Ok(100));
        assert_eq!(circuits(84.07, 0.01), Ok(101));
    }

    #[test]
    fn the_recursion_is_stable_at_ten_thousand_circuits() {
        let half = blocking(20_000.0, 10_000).unwrap();
        assert!((half - 0.5).abs() < 1e-3, "{half}");
        assert!(blocking(5_000.0, 10_000).unwrap() < 1e-300);
        let found = offered(10_000, 0.01).unwrap();
        assert!((blocking(found, 10_000).unwrap() - 0.01).abs() < 1e-9);
        assert!(circuits(found, 0.01).unwrap().abs_diff(10_000) <= 1);
    }

    #[test]
    fn an_argument_out_of_range_is_named_in_the_error() {
        assert_eq!(blocking(-1.0, 3), Err(ErlangError::Offered(-1.0)));
        assert!(matches!(blocking(f64::NAN, 3), Err(ErlangError::Offered(_))));
        assert_eq!(blocking(1.0, 0), Err(ErlangError::Circuits(0)));
        assert_eq!(circuits(1.0, 1.0), Err(ErlangError::Blocking(1.0)));
        assert_eq!(offered(10, 0.0), Err(ErlangError::Blocking(0.0)));
    }

    #[test]
    fn overflow_traffic_is_peaked() {
        assert!(peakedness(10.0, 10).unwrap() > 1.5);
        assert!((peakedness(10.0, 1).unwrap() - 1.0).abs() < 0.2);
    }
}
