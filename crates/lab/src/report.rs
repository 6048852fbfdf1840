//! The report of a day: the result of the rule check and the outcomes of the calls. All figures are of simulated exchanges.

use std::fmt::Write;

use mintstall_callcontrol::Counters;
use mintstall_emulator::{Day, Score};
use serde::Serialize;

use crate::clients::ClientCounters;
use crate::rule_checker::Verdict;

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub day: String,
    pub seed: u64,
    /// `virtual` or `loopback`.
    #[serde(rename = "played")]
    pub mode: &'static str,
    pub exchanges: u16,
    pub length_s: f64,
    #[serde(rename = "troubles")]
    pub faults: Vec<&'static str>,
    #[serde(rename = "kept")]
    pub passed: bool,
    /// Revenue of calls that stood within their target and were not cut, over the revenue offered.
    pub service: f64,
    /// The lowest share of revenue served in a window of 10 s.
    pub worst_window: f64,
    pub score: Score,
    pub verdict: Verdict,
    pub seizures: u64,
    pub timed_out: u64,
    pub dual_seizures: u64,
    pub transit: u64,
    /// Counters of the WebSocket clients, if the day has any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub clients: Option<ClientCounters>,
    /// Controllers that ended by themselves, or did not stop with success.
    pub crashes: u64,
    /// Circuits that neither are free nor carry a call at the end.
    pub stuck_circuits: Option<usize>,
    /// Calls still in progress at the end.
    pub calls_left: Option<usize>,
}

impl Report {
    pub fn new(day: &Day, mode: &'static str, score: Score, verdict: Verdict, counters: &[Counters]) -> Self {
        let sum = |counter: fn(&Counters) -> u64| counters.iter().map(counter).sum();
        Self {
            day: day.name.clone(),
            seed: day.seed,
            mode,
            exchanges: day.exchanges,
            length_s: day.length_s,
            faults: day.faults.iter().map(|fault| fault.what.name()).collect(),
            passed: verdict.passed(),
            service: score.whole.share(),
            worst_window: score.worst_window(),
            score,
            verdict,
            seizures: sum(|counters| counters.seizures),
            timed_out: sum(|counters| counters.timed_out),
            dual_seizures: sum(|counters| counters.dual_seizures),
            transit: sum(|counters| counters.transit),
            clients: None,
            crashes: 0,
            stuck_circuits: None,
            calls_left: None,
        }
    }

    /// The report as text.
    pub fn text(&self, day: &Day) -> String {
        let mut out = String::new();
        let mut line = |text: String| _ = writeln!(out, "{text}");
        line(format!(
            "{} (seed {}, {}): {} exchanges, {} s, {} first attempts, {} attempts",
            self.day,
            self.seed,
            self.mode,
            self.exchanges,
            self.length_s,
            self.score.first_tries,
            self.score.tries
        ));
        line(format!("faults: {}", self.faults.join(", ")));
        line(format!(
            "service {:.3}, worst 10 s {:.3} (simulated exchanges)",
            self.service, self.worst_window
        ));
        for (call_type, slice) in day.call_types.iter().zip(&self.score.call_types) {
            line(format!("  {:<16} {:.3} of {:.0} offered", call_type.name, slice.share(), slice.offered));
        }
        let callers: u64 = self.score.outcomes.values().sum();
        for (outcome, count) in &self.score.outcomes {
            let share = *count as f64 / callers.max(1) as f64;
            line(format!("  {:<16} {count:>7} callers, {share:.3}", format!("{outcome:?}").to_lowercase()));
        }
        line(format!(
            "seizures {}, of them timed out {}, yielded in dual seizure {}; calls in transit {}",
            self.seizures, self.timed_out, self.dual_seizures, self.transit
        ));
        if let (Some(stuck), Some(left)) = (self.stuck_circuits, self.calls_left) {
            line(format!(
                "at the end: {stuck} circuits neither free nor carrying a call, {left} calls in progress"
            ));
        }
        if let Some(ClientCounters { cuts, resumed, gone }) = self.clients {
            line(format!(
                "clients over WebSocket: {cuts} connections cut, {resumed} sessions resumed, {gone} gone for good \
                 ({} unanswered calls of these clients)",
                self.verdict.checked.calls_of_lost_clients
            ));
        }
        if self.crashes > 0 {
            line(format!(
                "controllers that ended by themselves or did not stop with success: {}",
                self.crashes
            ));
        }
        let checked = &self.verdict.checked;
        line(format!(
            "checked: 1 answers: {} calls, {} in transit ({} of killed controllers exempt)",
            checked.calls, checked.calls_in_transit, checked.calls_exempt
        ));
        line(format!(
            "         2 one seizure: {} seizures, {} dual seizures",
            checked.seizures, checked.dual_seizures
        ));
        line(format!("         3 drains: {} notices", checked.drains));
        line(format!(
            "         4 cold exchanges: {} starts, {} set-ups, at most {:.2} of the budget",
            checked.cold_starts, checked.set_ups_at_cold, self.verdict.cold_peak
        ));
        line(format!(
            "         5 release wait: {} releases, {} further attempts",
            checked.releases, checked.further_attempts
        ));
        for violation in &self.verdict.violations {
            line(format!("BROKEN {violation}"));
        }
        if self.verdict.unlisted > 0 {
            line(format!("... and {} more", self.verdict.unlisted));
        }
        line(if self.passed { "rules kept".into() } else { "RULES BROKEN".to_string() });
        out
    }
}
