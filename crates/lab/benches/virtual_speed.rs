//! Measures how many times faster than real time a day runs in virtual time on one core, for several sizes. The simulated time
//! is the time in which calls arrive; the real time is that of the whole run.
//!
//! `cargo bench -p mintstall-lab --bench virtual_speed` (`-- --long` adds 500 exchanges).

use std::time::{Duration, Instant};

use mintstall_emulator::{Day, Groups, Traffic};
use mintstall_lab::RuleChecker;
use mintstall_lab::virtual_day::{self, PassThrough};

fn main() {
    let include_largest = std::env::args().any(|arg| arg == "--long");
    let sizes = [(10, 103.0, 30.0), (40, 410.0, 30.0), (75, 770.0, 30.0), (500, 5000.0, 10.0)];
    println!(
        "{:>9} {:>8} {:>9} {:>10} {:>12} {:>8}",
        "exchanges", "calls/s", "events", "real s", "times faster", "rules"
    );
    for (exchanges, calls_per_s, length_s) in sizes.into_iter().filter(|size| size.0 <= 75 || include_largest)
    {
        let day = Day {
            exchanges,
            length_s,
            traffic: Traffic { calls_per_s, load: 0.92, ..Traffic::default() },
            groups: Groups { spare_root: 1.3, ..Groups::default() },
            ..Day::default()
        };
        let mut rule_checker = RuleChecker::new(&day.rules, Duration::from_millis(2), Duration::ZERO);
        let start = Instant::now();
        let result = virtual_day::run(&day, &mut rule_checker, &mut PassThrough);
        let real_s = start.elapsed().as_secs_f64();
        let passed = rule_checker.finish(result.ended_at).passed();
        let rules = if passed { "kept" } else { "BROKEN" };
        println!(
            "{exchanges:>9} {calls_per_s:>8} {:>9} {real_s:>10.2} {:>12.1} {rules:>8}",
            result.events,
            length_s / real_s
        );
    }
}
