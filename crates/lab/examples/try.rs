use mintstall_lab::*;
use mintstall_standin::Day;
use std::time::Duration;
fn main() {
    let file = std::env::args().nth(1).unwrap();
    let day: Day = serde_json::from_str(&std::fs::read_to_string(file).unwrap()).unwrap();
    println!("{:?}", day.faults_found());
    let mut auditor = Auditor::new(&day.rules, Duration::from_millis(2), Duration::ZERO);
    let t = std::time::Instant::now();
    let played = virtual_day::play(&day, &mut auditor, &mut virtual_day::Honest);
    let took = t.elapsed().as_secs_f64();
    let verdict = auditor.finish(played.ended);
    let mut report = Report::new(&day, "virtual", played.score, verdict, &played.tallies);
    report.stuck_circuits = Some(played.stuck);
    report.calls_left = Some(played.calls_left);
    println!("{}", report.text(&day));
    let windows: Vec<_> = report.score.windows.iter().map(|w| format!("{:.2}", w.share())).collect();
    println!("{}", windows.join(" "));
    println!(
        "{:?} in {took:.3} s: {:.1} times real, {} events",
        played.ended,
        played.ended.as_secs_f64() / took,
        played.events
    );
}
