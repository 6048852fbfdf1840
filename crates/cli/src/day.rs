//! `mintstall day`: plays a day, judges the rules, tells what became of the calls.

use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use mintstall_daemon::config::read_json;
use mintstall_emulator::{Day, Observation, Observer};
use mintstall_lab::pcap::SignallingCapture;
use mintstall_lab::{Report, RuleChecker, loopback, virtual_day};

use crate::{bad_input, failed};

#[derive(Args)]
pub struct DayArgs {
    /// The day's script, JSON; `--schema` tells its form.
    #[arg(required_unless_present = "schema")]
    file: Option<PathBuf>,
    /// In virtual time, with the office core of every exchange in this process.
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    /// In place of the script's own seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Writes the signalling as a capture file (pcap, MTP3).
    #[arg(long, value_name = "OUT.pcap")]
    capture: Option<PathBuf>,
    /// The whole report as JSON.
    #[arg(long)]
    json: bool,
    /// On loopback: what the machine's scheduling may add to a time before a rule counts as broken, milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 400)]
    slack_ms: u64,
    /// Writes the JSON Schema of days to standard output.
    #[arg(long)]
    schema: bool,
}

/// The auditor, and the capture where one is asked for.
struct Observers {
    rule_checker: RuleChecker,
    capture: Option<SignallingCapture<BufWriter<File>>>,
}

impl Observer for Observers {
    fn observe(&mut self, at: Duration, observation: Observation) {
        self.rule_checker.observe(at, observation);
        self.capture.iter_mut().for_each(|capture| capture.observe(at, observation));
    }
}

pub fn day(args: &DayArgs) -> ExitCode {
    let Some(file) = args.file.as_deref().filter(|_| !args.schema) else { return crate::schema::<Day>() };
    let mut day: Day = match read_json(file) {
        Ok(day) => day,
        Err(error) => return bad_input(error),
    };
    let faults = day.validation_errors();
    if !faults.is_empty() {
        return bad_input(
            faults.iter().map(|fault| format!("{}: {fault}", file.display())).collect::<Vec<_>>().join("\n"),
        );
    }
    day.seed = args.seed.unwrap_or(day.seed);
    match play(args, &day) {
        Ok(report) => {
            if args.json {
                println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
            } else {
                print!("{}", report.text(&day));
            }
            if in_order(&report) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => failed(error),
    }
}

/// What exit code 0 promises.
fn in_order(report: &Report) -> bool {
    report.passed && report.crashes == 0
}

fn play(args: &DayArgs, day: &Day) -> Result<Report, String> {
    let capture = args.capture.as_deref().map(open_capture).transpose()?;
    // In virtual time only the rounding of times is allowed for.
    let (slack, crossing) = match args.in_virtual_time {
        true => (Duration::from_millis(2), Duration::ZERO),
        false => (Duration::from_millis(args.slack_ms), Duration::from_millis(args.slack_ms)),
    };
    let mut observers = Observers { rule_checker: RuleChecker::new(&day.rules, slack, crossing), capture };
    let (score, ended, tallies, crashes, stuck, calls_left, clients, how) = if args.in_virtual_time {
        let played = virtual_day::run(day, &mut observers, &mut virtual_day::PassThrough);
        (
            played.score,
            played.ended_at,
            played.counters,
            0,
            played.stuck_circuits,
            played.calls_left,
            None,
            "virtual",
        )
    } else {
        let program = std::env::current_exe().map_err(|error| format!("the own program: {error}"))?;
        let folder = std::env::temp_dir().join(format!("mintstall-day-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let played = loopback::run(day, &program, &folder, &mut observers);
        let removed = std::fs::remove_dir_all(&folder);
        let played = played.map_err(|error| error.to_string())?;
        removed.map_err(|error| format!("{}: {error}", folder.display()))?;
        (
            played.score,
            played.ended_at,
            played.counters,
            played.crashes,
            played.stuck_circuits,
            played.calls_left,
            played.clients,
            "loopback",
        )
    };
    let Observers { rule_checker, capture } = observers;
    if let (Some(capture), Some(path)) = (capture, &args.capture) {
        let flushed = capture.finish().map_err(|error| error.to_string());
        flushed
            .and_then(|file| file.into_inner().map_err(|error| error.to_string()))
            .map_err(|error| format!("{}: {error}", path.display()))?;
    }
    let mut report = Report::new(day, how, score, rule_checker.finish(ended), &tallies);
    (report.crashes, report.stuck_circuits, report.calls_left) = (crashes, Some(stuck), Some(calls_left));
    report.clients = clients;
    Ok(report)
}

fn open_capture(path: &Path) -> Result<SignallingCapture<BufWriter<File>>, String> {
    let fail = |error: String| format!("{}: {error}", path.display());
    let file = File::create(path).map_err(|error| fail(error.to_string()))?;
    SignallingCapture::new(BufWriter::new(file)).map_err(|error| fail(error.to_string()))
}

#[cfg(test)]
mod tests {
    use mintstall_callapi::FinalAnswer;

    use super::*;

    #[test]
    fn a_broken_rule_or_a_controller_that_ended_unasked_is_not_in_order() {
        let day = Day::default();
        let report = |broken: bool| {
            let mut rule_checker = RuleChecker::new(&day.rules, Duration::ZERO, Duration::ZERO);
            let answer =
                Observation::Answered { office: 1, call: 1, exchange_call: 1, answer: FinalAnswer::Fails };
            if broken {
                rule_checker.observe(Duration::ZERO, answer);
            }
            Report::new(&day, "virtual", Default::default(), rule_checker.finish(Duration::ZERO), &[])
        };
        assert!(in_order(&report(false)) && !in_order(&report(true)));
        assert!(!in_order(&Report { crashes: 1, ..report(false) }));
        assert!(report(true).text(&day).contains("BROKEN rule 1"));
    }
}
