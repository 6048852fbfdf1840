//! A traffic matrix estimated from call logs: first tries a second by pair and call type, and holding times, each with a
//! confidence interval.
//!
//! Tries are counted rather than answered calls, so that lost calls are included. Redials, and calls that are set up again after
//! they were cut, carry flags and are not counted as first tries. Arrivals are taken as Poisson and holding times as exponential.
//! A call that still stands at the end counts with the time for which it has stood (the usual estimator for censored
//! observations).

use std::collections::BTreeMap;

use crate::call_log::{CallLog, Record};

/// A rate or time with its confidence interval at a level of 0.95.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    pub low: f64,
    pub high: f64,
    /// Number of events on which the estimate is based.
    pub count: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficMatrix {
    /// By origin, destination and call type.
    pub first_tries_per_s: BTreeMap<(u16, u16, u8), Estimate>,
    /// Mean holding time by call type.
    pub hold_s: BTreeMap<u8, Estimate>,
    /// Redials over tries that were not answered, by exchange.
    pub redial_share: BTreeMap<u16, f64>,
    /// Time covered by the logs, by exchange.
    pub observed_s: BTreeMap<u16, f64>,
    /// Data that are missing from the estimate: gaps, truncated files, exchanges without a file.
    pub missing_data: Vec<String>,
}

/// The 0.975 quantile of the normal distribution.
const NORMAL_QUANTILE: f64 = 1.959_964;

/// The confidence interval of a Poisson mean after `count` events. Garwood's exact interval (1936) is given by chi-squared
/// quantiles; this uses their Wilson-Hilferty cube-root approximation, which differs by less than a hundredth from one event on.
fn poisson_interval(count: u64) -> (f64, f64) {
    let bound = |k: f64, z: f64| {
        if k <= 0.0 { 0.0 } else { k * (1.0 - 1.0 / (9.0 * k) + z / (3.0 * k.sqrt())).powi(3) }
    };
    let count = count as f64;
    (bound(count, -NORMAL_QUANTILE).max(0.0), bound(count + 1.0, NORMAL_QUANTILE))
}

fn rate(count: u64, seconds: f64) -> Estimate {
    let (low, high) = poisson_interval(count);
    let per_second = |value: f64| if seconds > 0.0 { value / seconds } else { 0.0 };
    Estimate { value: per_second(count as f64), low: per_second(low), high: per_second(high), count }
}

/// Observed holding times of one call type.
#[derive(Default)]
struct Holding {
    total_s: f64,
    ended: u64,
}

/// `expected`: exchanges that should have a log.
pub fn estimate(logs: &[CallLog], expected: &[u16]) -> TrafficMatrix {
    let mut matrix = TrafficMatrix::default();
    let mut counts: BTreeMap<(u16, u16, u8), u64> = BTreeMap::new();
    let mut holding: BTreeMap<u8, Holding> = BTreeMap::new();
    // Redials and tries that were not answered, by exchange.
    let mut redials_and_lost: BTreeMap<u16, (u64, u64)> = BTreeMap::new();
    for log in logs {
        let from = log.header.exchange;
        let mut observed_ms = log.records.last().map_or(0, Record::time_ms);
        // Type and time of the answer of each call that has not ended.
        let mut calls: BTreeMap<u64, (u8, Option<u64>)> = BTreeMap::new();
        let (redials, lost) = redials_and_lost.entry(from).or_default();
        for record in &log.records {
            match *record {
                Record::Offer { call, dest, kind, redial, cut, .. } => {
                    calls.insert(call, (kind, None));
                    *redials += u64::from(redial);
                    if !redial && !cut {
                        *counts.entry((from, dest, kind)).or_default() += 1;
                    }
                }
                Record::Stands { t, call } => {
                    if let Some((_, answered_ms)) = calls.get_mut(&call) {
                        *answered_ms = Some(t);
                    }
                }
                Record::NotAnswered { call, .. } => {
                    calls.remove(&call);
                    *lost += 1;
                }
                Record::Ended { t, call } => {
                    if let Some((kind, Some(since))) = calls.remove(&call) {
                        let holding = holding.entry(kind).or_default();
                        holding.total_s += t.saturating_sub(since) as f64 / 1e3;
                        holding.ended += 1;
                    }
                }
                Record::Gap { t, since } => {
                    // Calls may have ended during the gap: their holding times are not known.
                    calls.clear();
                    observed_ms = observed_ms.saturating_sub(t.saturating_sub(since));
                    matrix.missing_data.push(format!(
                        "exchange {from}: no records from {:.1} to {:.1} s",
                        since as f64 / 1e3,
                        t as f64 / 1e3
                    ));
                }
                Record::Closed { .. } => {}
            }
        }
        let end_ms = log.records.last().map_or(0, Record::time_ms);
        for (kind, answered_ms) in calls.into_values() {
            if let Some(since) = answered_ms {
                holding.entry(kind).or_default().total_s += end_ms.saturating_sub(since) as f64 / 1e3;
            }
        }
        if !log.complete {
            matrix.missing_data.push(format!(
                "exchange {from}: file was not closed and ends at {:.1} s",
                end_ms as f64 / 1e3
            ));
        }
        *matrix.observed_s.entry(from).or_default() += observed_ms as f64 / 1e3;
    }
    for exchange in expected.iter().filter(|exchange| !matrix.observed_s.contains_key(exchange)) {
        matrix.missing_data.push(format!("exchange {exchange}: no file; its offered traffic is not known"));
    }
    for ((from, to, kind), count) in counts {
        let seconds = matrix.observed_s.get(&from).copied().unwrap_or(0.0);
        matrix.first_tries_per_s.insert((from, to, kind), rate(count, seconds));
    }
    for (kind, Holding { total_s, ended }) in holding {
        // The mean is the total time over the number of ended calls, so its upper bound follows from the lower bound of that
        // number and the other way round.
        let (low, high) = poisson_interval(ended);
        let mean_s = |ended: f64| if ended > 0.0 { total_s / ended } else { f64::INFINITY };
        let estimate =
            Estimate { value: mean_s(ended as f64), low: mean_s(high), high: mean_s(low), count: ended };
        matrix.hold_s.insert(kind, estimate);
    }
    let share = |(from, (redials, lost)): (u16, (u64, u64))| {
        Some((from, redials as f64 / lost as f64)).filter(|_| lost > 0)
    };
    matrix.redial_share = redials_and_lost.into_iter().filter_map(share).collect();
    matrix
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::call_log::Header;

    fn log(exchange: u16, records: Vec<Record>) -> CallLog {
        let complete = matches!(records.last(), Some(Record::Closed { .. }));
        CallLog { header: Header { mintstall_capture: 1, exchange, begun_ms: 0 }, records, complete }
    }

    fn offer(t: u64, call: u64, redial: bool) -> Record {
        Record::Offer { t, call, dest: 2, kind: 0, redial, cut: false }
    }

    #[test]
    fn lost_first_tries_count_and_redials_do_not() {
        let mut records = Vec::new();
        for number in 0..100 {
            // Each first try is lost; half of the callers redial.
            records.push(offer(number * 100, 2 * number, false));
            records.push(Record::NotAnswered { t: number * 100 + 10, call: 2 * number });
            if number % 2 == 0 {
                records.push(offer(number * 100 + 50, 2 * number + 1, true));
                records.push(Record::Stands { t: number * 100 + 60, call: 2 * number + 1 });
            }
        }
        records.push(Record::Closed { t: 10_000 });
        let matrix = estimate(&[log(1, records)], &[1]);
        let rate = matrix.first_tries_per_s[&(1, 2, 0)];
        assert_eq!((rate.value, rate.count), (10.0, 100));
        // Garwood's exact interval for 100 events: 81.36 to 121.63.
        assert!((rate.low - 8.136).abs() < 0.01 && (rate.high - 12.163).abs() < 0.01, "{rate:?}");
        assert_eq!((matrix.redial_share[&1], matrix.missing_data), (0.5, vec![]));
    }

    #[test]
    fn calls_that_still_stand_count_with_their_time_so_far() {
        // Two calls ended after 4 s each, two still stand after 16 s: 40 s in total and two ended calls.
        let mut records = Vec::new();
        (0..4).for_each(|call| records.push(offer(0, call, false)));
        (0..4).for_each(|call| records.push(Record::Stands { t: 0, call }));
        records.extend([
            Record::Ended { t: 4000, call: 0 },
            Record::Ended { t: 4000, call: 1 },
            Record::Closed { t: 16_000 },
        ]);
        let hold_s = estimate(&[log(1, records)], &[]).hold_s[&0];
        assert_eq!((hold_s.value, hold_s.count), (20.0, 2));
        assert!(hold_s.low < 8.0 && hold_s.high > 80.0, "{hold_s:?}");
    }

    #[test]
    fn gaps_truncated_files_and_missing_exchanges_are_reported() {
        let records = vec![
            offer(0, 1, false),
            Record::Gap { t: 9_000, since: 1_000 },
            offer(9_500, 2, false),
            offer(10_000, 3, false),
        ];
        let matrix = estimate(&[log(1, records)], &[1, 2]);
        assert_eq!(matrix.observed_s[&1], 2.0);
        assert_eq!(matrix.first_tries_per_s[&(1, 2, 0)].value, 1.5);
        assert_eq!(matrix.missing_data.len(), 3, "{:?}", matrix.missing_data);
        assert!(matrix.missing_data[2].contains("exchange 2: no file"));
    }

    #[test]
    fn zero_events_still_give_an_interval() {
        let (low, high) = poisson_interval(0);
        // Garwood's exact interval: 0 to 3.689.
        assert!(low == 0.0 && (high - 3.689).abs() < 0.06, "{high}");
    }
}
