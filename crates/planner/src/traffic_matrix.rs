//! A traffic matrix from what controllers saw: first tries a second by pair and call type, holding times, each with how sure it is.
//!
//! Tries are counted, not calls that stood: what was lost is in them. Redials, and calls that come again after a cut, are folded into
//! the first try they belong to, by their flags. Arrivals are taken as Poisson and holding times as exponential; a call that still
//! stands at the end counts with the time that it has stood (the usual estimator where observation is cut short).

use std::collections::BTreeMap;

use crate::call_log::{CallLog, Record};

/// A rate or time, and the range in which it lies with a probability of 0.95.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    pub low: f64,
    pub high: f64,
    /// On how many it rests.
    pub count: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficMatrix {
    /// First tries a second, by where from, where to, call type.
    pub first_tries: BTreeMap<(u16, u16, u8), Estimate>,
    /// Seconds, by call type.
    pub holding: BTreeMap<u8, Estimate>,
    /// Redials over tries that did not stand, at each exchange.
    pub redials: BTreeMap<u16, f64>,
    /// Seconds looked at, by exchange.
    pub looked: BTreeMap<u16, f64>,
    /// What the figures do not rest on: gaps, files cut short, exchanges without one.
    pub missing: Vec<String>,
}

/// Quantile of the normal distribution for 0.975.
const SURE: f64 = 1.959_964;

/// The range of a Poisson mean after `count` events: by the Wilson-Hilferty cube-root form of the chi-squared quantiles that give
/// Garwood's exact range (1936); within a hundredth of it from one event on.
fn poisson(count: u64) -> (f64, f64) {
    let of = |k: f64, z: f64| {
        if k <= 0.0 { 0.0 } else { k * (1.0 - 1.0 / (9.0 * k) + z / (3.0 * k.sqrt())).powi(3) }
    };
    let count = count as f64;
    (of(count, -SURE).max(0.0), of(count + 1.0, SURE))
}

fn rate(count: u64, seconds: f64) -> Estimate {
    let (low, high) = poisson(count);
    let over = |value: f64| if seconds > 0.0 { value / seconds } else { 0.0 };
    Estimate { value: over(count as f64), low: over(low), high: over(high), count }
}

#[derive(Default)]
struct Holding {
    stood_s: f64,
    ends: u64,
}

/// `wanted`: exchanges that should have a file.
pub fn estimate(logs: &[CallLog], wanted: &[u16]) -> TrafficMatrix {
    let mut matrix = TrafficMatrix::default();
    let mut counts: BTreeMap<(u16, u16, u8), u64> = BTreeMap::new();
    let mut holding: BTreeMap<u8, Holding> = BTreeMap::new();
    let mut again: BTreeMap<u16, (u64, u64)> = BTreeMap::new();
    for log in logs {
        let from = log.header.exchange;
        let mut looked_ms = log.records.last().map_or(0, Record::at);
        // Type of each call, and when it began to stand. Emptied as calls end.
        let mut calls: BTreeMap<u64, (u8, Option<u64>)> = BTreeMap::new();
        let (redials, lost) = again.entry(from).or_default();
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
                    if let Some((_, stands)) = calls.get_mut(&call) {
                        *stands = Some(t);
                    }
                }
                Record::Not { call, .. } => {
                    calls.remove(&call);
                    *lost += 1;
                }
                Record::Ended { t, call } => {
                    if let Some((kind, Some(since))) = calls.remove(&call) {
                        let holding = holding.entry(kind).or_default();
                        holding.stood_s += t.saturating_sub(since) as f64 / 1e3;
                        holding.ends += 1;
                    }
                }
                Record::Gap { t, since } => {
                    // What happened to calls meanwhile is not known: none of them tells of its holding time.
                    calls.clear();
                    looked_ms = looked_ms.saturating_sub(t.saturating_sub(since));
                    matrix.missing.push(format!(
                        "exchange {from}: nothing written from {:.1} to {:.1} s",
                        since as f64 / 1e3,
                        t as f64 / 1e3
                    ));
                }
                Record::Closed { .. } => {}
            }
        }
        let end = log.records.last().map_or(0, Record::at);
        for (kind, stands) in calls.into_values() {
            if let Some(since) = stands {
                holding.entry(kind).or_default().stood_s += end.saturating_sub(since) as f64 / 1e3;
            }
        }
        if !log.complete {
            matrix.missing.push(format!(
                "exchange {from}: its file ends at {:.1} s without being closed",
                end as f64 / 1e3
            ));
        }
        *matrix.looked.entry(from).or_default() += looked_ms as f64 / 1e3;
    }
    for no in wanted.iter().filter(|no| !matrix.looked.contains_key(no)) {
        matrix.missing.push(format!("exchange {no}: no file; what it offers is not known"));
    }
    for ((from, to, kind), count) in counts {
        let seconds = matrix.looked.get(&from).copied().unwrap_or(0.0);
        matrix.first_tries.insert((from, to, kind), rate(count, seconds));
    }
    for (kind, Holding { stood_s, ends }) in holding {
        // The mean is time over ends; its range is that of the ends in that time, turned over.
        let (low, high) = poisson(ends);
        let over = |ends: f64| if ends > 0.0 { stood_s / ends } else { f64::INFINITY };
        let estimate = Estimate { value: over(ends as f64), low: over(high), high: over(low), count: ends };
        matrix.holding.insert(kind, estimate);
    }
    let share = |(from, (redials, lost)): (u16, (u64, u64))| {
        Some((from, redials as f64 / lost as f64)).filter(|_| lost > 0)
    };
    matrix.redials = again.into_iter().filter_map(share).collect();
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
    fn redials_are_folded_into_first_tries_and_lost_calls_are_in() {
        let mut records = Vec::new();
        for no in 0..100 {
            // Each is lost at first, and dialled again half of the time.
            records.push(offer(no * 100, 2 * no, false));
            records.push(Record::Not { t: no * 100 + 10, call: 2 * no });
            if no % 2 == 0 {
                records.push(offer(no * 100 + 50, 2 * no + 1, true));
                records.push(Record::Stands { t: no * 100 + 60, call: 2 * no + 1 });
            }
        }
        records.push(Record::Closed { t: 10_000 });
        let matrix = estimate(&[log(1, records)], &[1]);
        let rate = matrix.first_tries[&(1, 2, 0)];
        assert_eq!((rate.value, rate.count), (10.0, 100));
        // Garwood's exact range for 100 events: 81.36 to 121.63.
        assert!((rate.low - 8.136).abs() < 0.01 && (rate.high - 12.163).abs() < 0.01, "{rate:?}");
        assert_eq!((matrix.redials[&1], matrix.missing), (0.5, vec![]));
    }

    #[test]
    fn calls_that_still_stand_count_with_what_they_have_stood() {
        // Two ended after 4 s each; two stand since 16 s: 40 s of standing, two ends.
        let mut records = Vec::new();
        (0..4).for_each(|call| records.push(offer(0, call, false)));
        (0..4).for_each(|call| records.push(Record::Stands { t: 0, call }));
        records.extend([
            Record::Ended { t: 4000, call: 0 },
            Record::Ended { t: 4000, call: 1 },
            Record::Closed { t: 16_000 },
        ]);
        let holding = estimate(&[log(1, records)], &[]).holding[&0];
        assert_eq!((holding.value, holding.count), (20.0, 2));
        assert!(holding.low < 8.0 && holding.high > 80.0, "{holding:?}");
    }

    #[test]
    fn gaps_cut_files_and_missing_exchanges_are_said_and_not_guessed_over() {
        let records = vec![
            offer(0, 1, false),
            Record::Gap { t: 9_000, since: 1_000 },
            offer(9_500, 2, false),
            offer(10_000, 3, false),
        ];
        let matrix = estimate(&[log(1, records)], &[1, 2]);
        assert_eq!(matrix.looked[&1], 2.0);
        assert_eq!(matrix.first_tries[&(1, 2, 0)].value, 1.5);
        assert_eq!(matrix.missing.len(), 3, "{:?}", matrix.missing);
        assert!(matrix.missing[2].contains("exchange 2: no file"));
    }

    #[test]
    fn nothing_seen_still_has_a_range() {
        let (low, high) = poisson(0);
        // Exact: 0 to 3.689.
        assert!(low == 0.0 && (high - 3.689).abs() < 0.06, "{high}");
    }
}
