//! Erlang's loss formula (Erlang, 1917; ITU-T E.501) and its inverses.
//!
//! By the recursion of its reciprocal, `1/B(n) = 1 + n/A * 1/B(n-1)`, which only adds what is positive: it is stable at any
//! number of circuits, and grows past what a float holds only where blocking is nought for all purposes.

use thiserror::Error;

/// Figures that no group has.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum ErlangError {
    #[error("offered: {0} is not above 0, finite and at most 1000000 erlangs")]
    Offered(f64),
    #[error("blocking: {0} is not above 0 and below 1")]
    Blocking(f64),
    #[error("circuits: {0} are not 1 to 1000000")]
    Circuits(u32),
}

/// The most that is worked with: beyond it nothing is a trunk group.
const MOST: u32 = 1_000_000;

fn offered_ok(offered: f64) -> Result<f64, ErlangError> {
    let fine = offered > 0.0 && offered <= f64::from(MOST);
    fine.then_some(offered).ok_or(ErlangError::Offered(offered))
}

fn blocking_ok(blocking: f64) -> Result<f64, ErlangError> {
    (blocking > 0.0 && blocking < 1.0).then_some(blocking).ok_or(ErlangError::Blocking(blocking))
}

fn circuits_ok(circuits: u32) -> Result<u32, ErlangError> {
    (1..=MOST).contains(&circuits).then_some(circuits).ok_or(ErlangError::Circuits(circuits))
}

/// The share of calls that find all circuits taken, `offered` erlangs on `circuits`.
pub fn blocking(offered: f64, circuits: u32) -> Result<f64, ErlangError> {
    let (offered, circuits) = (offered_ok(offered)?, circuits_ok(circuits)?);
    Ok(1.0 / (1..=circuits).fold(1.0, |inverse, n| 1.0 + f64::from(n) / offered * inverse))
}

/// The fewest circuits on which no more than this share is blocked.
pub fn circuits(offered: f64, most_blocked: f64) -> Result<u32, ErlangError> {
    let (offered, most_blocked) = (offered_ok(offered)?, blocking_ok(most_blocked)?);
    let mut inverse = 1.0;
    for n in 1..=MOST {
        inverse = 1.0 + f64::from(n) / offered * inverse;
        if 1.0 / inverse <= most_blocked {
            return Ok(n);
        }
    }
    Err(ErlangError::Circuits(MOST))
}

/// The most erlangs of which no more than this share is blocked.
pub fn offered(circuits: u32, most_blocked: f64) -> Result<f64, ErlangError> {
    let (circuits, most_blocked) = (circuits_ok(circuits)?, blocking_ok(most_blocked)?);
    // Blocking grows with what is offered: halved until nothing is left between.
    let (mut low, mut high) = (0.0_f64, f64::from(MOST));
    for _ in 0..200 {
        let middle = low.midpoint(high);
        if middle <= low || middle >= high {
            break;
        }
        match blocking(middle, circuits)? <= most_blocked {
            true => low = middle,
            false => high = middle,
        }
    }
    Ok(low)
}

/// What of the blocked traffic a second group sees, as peakedness: variance over mean (Riordan; Wilkinson, 1956).
pub fn peakedness(offered: f64, circuits: u32) -> Result<f64, ErlangError> {
    let overflow = offered * blocking(offered, circuits)?;
    Ok(1.0 - overflow + offered / (f64::from(circuits) + 1.0 - offered + overflow))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// By the definition, in logarithms: no recursion.
    fn by_definition(offered: f64, circuits: u32) -> f64 {
        let mut term = 0.0;
        let mut logs = vec![0.0];
        for n in 1..=circuits {
            term += (offered / f64::from(n)).ln();
            logs.push(term);
        }
        let most = logs.iter().copied().fold(f64::MIN, f64::max);
        let sum: f64 = logs.iter().map(|log| (log - most).exp()).sum();
        (term - most).exp() / sum
    }

    #[test]
    fn it_is_the_definition_over_a_grid() {
        for circuits in [1, 2, 5, 10, 31, 62, 100, 310, 1000] {
            for load in [0.1, 0.5, 0.8, 0.95, 1.0, 1.2, 2.0] {
                let offered = f64::from(circuits) * load;
                let error = (blocking(offered, circuits).unwrap() - by_definition(offered, circuits)).abs();
                assert!(error < 1e-9, "{offered} on {circuits}: {error}");
            }
        }
    }

    #[test]
    fn known_values_of_the_tables_come_out() {
        // One circuit: A / (1 + A). Ten circuits at 1 %: 4.461 E; hundred: 84.06 E.
        assert!((blocking(1.0, 1).unwrap() - 0.5).abs() < 1e-12);
        assert!((offered(10, 0.01).unwrap() - 4.461).abs() < 5e-4);
        assert!((offered(100, 0.01).unwrap() - 84.06).abs() < 5e-3);
        assert_eq!(circuits(84.06, 0.01), Ok(100));
        assert_eq!(circuits(84.07, 0.01), Ok(101));
    }

    #[test]
    fn it_is_stable_at_ten_thousand_circuits_and_beyond() {
        let half = blocking(20_000.0, 10_000).unwrap();
        assert!((half - 0.5).abs() < 1e-3, "{half}");
        assert!(blocking(5_000.0, 10_000).unwrap() < 1e-300);
        let found = offered(10_000, 0.01).unwrap();
        assert!((blocking(found, 10_000).unwrap() - 0.01).abs() < 1e-9);
        assert!(circuits(found, 0.01).unwrap().abs_diff(10_000) <= 1);
    }

    #[test]
    fn figures_that_make_no_sense_are_named() {
        assert_eq!(blocking(-1.0, 3), Err(ErlangError::Offered(-1.0)));
        assert!(matches!(blocking(f64::NAN, 3), Err(ErlangError::Offered(_))));
        assert_eq!(blocking(1.0, 0), Err(ErlangError::Circuits(0)));
        assert_eq!(circuits(1.0, 1.0), Err(ErlangError::Blocking(1.0)));
        assert_eq!(offered(10, 0.0), Err(ErlangError::Blocking(0.0)));
    }

    #[test]
    fn overflow_is_peaked() {
        assert!(peakedness(10.0, 10).unwrap() > 1.5);
        assert!((peakedness(10.0, 1).unwrap() - 1.0).abs() < 0.2);
    }
}
