//! Counters of the process, written to the log at intervals, because the platform has no address to query them at.
//!
//! The core counts through the `metrics` crate. Label values come from enums, so the number of counters is bounded.

use std::collections::BTreeMap;
use std::sync::OnceLock;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use metrics_util::registry::{AtomicStorage, Registry};
use tracing::info;

/// How often counters that have changed are logged.
pub const LOG_INTERVAL: Duration = Duration::from_secs(10);

type Counters = Registry<Key, AtomicStorage>;

static COUNTERS: OnceLock<Counters> = OnceLock::new();

struct CounterRecorder;

impl Recorder for CounterRecorder {
    fn describe_counter(&self, _key: KeyName, _unit: Option<Unit>, _description: SharedString) {}

    fn describe_gauge(&self, _key: KeyName, _unit: Option<Unit>, _description: SharedString) {}

    fn describe_histogram(&self, _key: KeyName, _unit: Option<Unit>, _description: SharedString) {}

    fn register_counter(&self, key: &Key, _metadata: &Metadata<'_>) -> Counter {
        let counters = COUNTERS.get_or_init(|| Registry::new(AtomicStorage));
        counters.get_or_create_counter(key, |counter| Counter::from_arc(counter.clone()))
    }

    fn register_gauge(&self, _key: &Key, _metadata: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _key: &Key, _metadata: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

/// Starts counting. If the process already has a recorder, that one is kept.
pub fn install() {
    let _ = metrics::set_global_recorder(CounterRecorder);
}

/// The counters as last logged, so that a process whose counters don't change logs nothing.
#[derive(Debug, Default)]
pub struct CounterLog {
    last_logged: BTreeMap<String, u64>,
}

impl CounterLog {
    /// Logs all counters in one line if any has changed since the last line.
    pub fn log_changes(&mut self) {
        let counters = snapshot();
        if counters != self.last_logged {
            info!(target: "mintstall::metrics", ?counters);
            self.last_logged = counters;
        }
    }
}

fn snapshot() -> BTreeMap<String, u64> {
    let Some(counters) = COUNTERS.get() else { return BTreeMap::new() };
    let mut values = BTreeMap::new();
    counters.visit_counters(|key, value| {
        values.insert(name(key), value.load(Ordering::Relaxed));
    });
    values
}

/// The name with its labels, as in `links_lost/refused`.
fn name(key: &Key) -> String {
    let labels = key.labels().map(|label| label.value());
    std::iter::once(key.name()).chain(labels).collect::<Vec<_>>().join("/")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counters_are_logged_by_name_and_label_once_they_change() {
        install();
        metrics::counter!("links_lost", "reason" => "refused").increment(2);
        let mut log = CounterLog::default();
        log.log_changes();
        assert_eq!(log.last_logged["links_lost/refused"], 2);
    }
}
