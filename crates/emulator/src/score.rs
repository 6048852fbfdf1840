//! Results of a day: the revenue offered and earned, and the outcomes of the callers' calls.

use std::collections::BTreeMap;

use serde::Serialize;

/// Final outcome of a caller's call, after all redials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Served,
    /// The call was answered after the setup target.
    Late,
    /// The call was answered, then cut.
    Cut,
    Refused,
    Failed,
    /// The caller received no final answer in time, or hung up early.
    GaveUp,
    /// The own exchange's processor rejected the attempt, or its controller was down.
    NotTaken,
}

/// Revenue of a set of calls: what they could have earned, and what they earned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Revenue {
    pub offered: f64,
    pub served: f64,
}

impl Revenue {
    fn add(&mut self, offered: f64, served: f64) {
        self.offered += offered;
        self.served += served;
    }

    /// Revenue served as a share of revenue offered; 1 if none was offered.
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 { self.served / self.offered } else { 1.0 }
    }
}

/// Revenue in total, by window, call type and customer, and the number of calls by outcome. A call counts in the 10 s
/// window of its first attempt.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Score {
    pub whole: Revenue,
    pub windows: Vec<Revenue>,
    pub call_types: Vec<Revenue>,
    pub customers: Vec<Revenue>,
    pub outcomes: BTreeMap<Outcome, u64>,
    /// First attempts, one for each call.
    pub first_tries: u64,
    /// All attempts, redials included.
    pub tries: u64,
}

impl Score {
    pub(crate) fn count(
        &mut self,
        first_attempt_s: f64,
        call_type: u8,
        customer: u16,
        offered: f64,
        served: f64,
        outcome: Outcome,
    ) {
        fn entry(revenues: &mut Vec<Revenue>, index: usize) -> &mut Revenue {
            if revenues.len() <= index {
                revenues.resize(index + 1, Revenue::default());
            }
            &mut revenues[index]
        }
        self.whole.add(offered, served);
        entry(&mut self.windows, (first_attempt_s / 10.0) as usize).add(offered, served);
        entry(&mut self.call_types, call_type.into()).add(offered, served);
        entry(&mut self.customers, customer.into()).add(offered, served);
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// The lowest share of revenue served of any window.
    pub fn worst_window(&self) -> f64 {
        self.windows.iter().map(Revenue::share).fold(1.0, f64::min)
    }
}
