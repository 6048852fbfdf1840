//! What became of the calls: revenue served over revenue offered, and why the rest was not.

use std::collections::BTreeMap;

use serde::Serialize;

/// What became of a caller's call in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Served,
    /// It stood, but after the target.
    Late,
    /// It stood and was cut.
    Cut,
    Refused,
    Failed,
    /// Its caller had no answer in time, or hung up early.
    GaveUp,
    /// The own exchange's processor turned it away, or its controller was down.
    NotTaken,
}

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

    pub fn share(&self) -> f64 {
        if self.offered > 0.0 { self.served / self.offered } else { 1.0 }
    }
}

/// Revenue by call type, customer and windows of 10 s of first tries; callers by what became of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Score {
    pub whole: Revenue,
    pub windows: Vec<Revenue>,
    pub call_types: Vec<Revenue>,
    pub customers: Vec<Revenue>,
    pub outcomes: BTreeMap<Outcome, u64>,
    pub first_tries: u64,
    pub tries: u64,
}

impl Score {
    pub(crate) fn count(
        &mut self,
        at_s: f64,
        call_type: u8,
        customer: u16,
        offered: f64,
        served: f64,
        outcome: Outcome,
    ) {
        fn at(slices: &mut Vec<Revenue>, index: usize) -> &mut Revenue {
            if slices.len() <= index {
                slices.resize(index + 1, Revenue::default());
            }
            &mut slices[index]
        }
        self.whole.add(offered, served);
        at(&mut self.windows, (at_s / 10.0) as usize).add(offered, served);
        at(&mut self.call_types, call_type.into()).add(offered, served);
        at(&mut self.customers, customer.into()).add(offered, served);
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    pub fn worst_window(&self) -> f64 {
        self.windows.iter().map(Revenue::share).fold(1.0, f64::min)
    }
}
