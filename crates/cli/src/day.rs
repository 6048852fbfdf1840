//! `mintstall day`: runs a day in virtual time or over loopback, and prints a report on the rules and the outcomes of calls.

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
    /// The day's script, JSON; `--schema` prints its schema.
    #[arg(required_unless_present = "schema")]
    file: Option<PathBuf>,
    /// Runs in virtual time, with the call control of every exchange in this process.
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    /// Replaces the seed of the script.
    #[arg(long)]
    seed: Option<u64>,
    /// Writes the signalling to a capture file (pcap, MTP3).
    #[arg(long, value_name = "OUT.pcap")]
    capture: Option<PathBuf>,
    /// Prints the whole report as JSON.
    #[arg(long)]
    json: bool,
    /// On loopback: tolerance for scheduling delays of the machine before a rule counts as broken, milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 400)]
    slack_ms: u64,
    /// Writes the JSON Schema of days to standard output.
    #[arg(long)]
    schema: bool,
}

/// The rule checker, and the signalling capture if requested.
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
    let Some(file) = args.file.as_deref().filter(|_| !args.schema) else {
        return crate::print_schema::<Day>();
    };
    let mut day: Day = match read_json(file) {
        Ok(day) => day,
        Err(error) => return bad_input(error),
    };
    let errors = day.validation_errors();
    if !errors.is_empty() {
        return bad_input(
            errors.iter().map(|error| format!("{}: {error}", file.display())).collect::<Vec<_>>().join("\n"),
        );
    }
    day.seed = args.seed.unwrap_or(day.seed);
    match run(args, &day) {
        Ok(report) => {
            if args.json {
                println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
            } else {
                print!("{}", report.text(&day));
            }
            if is_success(&report) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => failed(error),
    }
}

/// Whether the exit code is 0: no rule was broken and no controller crashed.
fn is_success(report: &Report) -> bool {
    report.passed && report.crashes == 0
}

fn run(args: &DayArgs, day: &Day) -> Result<Report, String> {
    let capture = args.capture.as_deref().map(open_capture).transpose()?;
    // In virtual time the only tolerance is 2 ms for the rounding of times.
    let (slack, crossing) = match args.in_virtual_time {
        true => (Duration::from_millis(2), Duration::ZERO),
        false => (Duration::from_millis(args.slack_ms), Duration::from_millis(args.slack_ms)),
    };
    let mut observers = Observers { rule_checker: RuleChecker::new(&day.rules, slack, crossing), capture };
    let (score, end_time, counters, crashes, stuck_circuits, calls_left, clients, mode) = if args
        .in_virtual_time
    {
        let result = virtual_day::run(day, &mut observers, &mut virtual_day::PassThrough);
        (
            result.score,
            result.ended_at,
            result.counters,
            0,
            result.stuck_circuits,
            result.calls_left,
            None,
            "virtual",
        )
    } else {
        let program = std::env::current_exe().map_err(|error| format!("path of this program: {error}"))?;
        let folder = std::env::temp_dir().join(format!("mintstall-day-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let result = loopback::run(day, &program, &folder, &mut observers);
        let removed = std::fs::remove_dir_all(&folder);
        let result = result.map_err(|error| error.to_string())?;
        removed.map_err(|error| format!("{}: {error}", folder.display()))?;
        (
            result.score,
            result.ended_at,
            result.counters,
            result.crashes,
            result.stuck_circuits,
            result.calls_left,
            result.clients,
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
    let mut report = Report::new(day, mode, score, rule_checker.finish(end_time), &counters);
    (report.crashes, report.stuck_circuits, report.calls_left) =
        (crashes, Some(stuck_circuits), Some(calls_left));
    report.clients = clients;
    Ok(report)
}

fn open_capture(path: &Path) -> Result<SignallingCapture<BufWriter<File>>, String> {
    let with_path = |error: String| format!("{}: {error}", path.display());
    let file = File::create(path).map_err(|error| with_path(error.to_string()))?;
    SignallingCapture::new(BufWriter::new(file)).map_err(|error| with_path(error.to_string()))
}

#[cfg(test)]
mod tests {
    use mintstall_callapi::FinalAnswer;

    use super::*;

    #[test]
    fn a_broken_rule_or_a_crashed_controller_is_no_success() {
        let day = Day::default();
        let report = |rule_broken: bool| {
            let mut rule_checker = RuleChecker::new(&day.rules, Duration::ZERO, Duration::ZERO);
            let answer = Observation::Answered {
                exchange_number: 1,
                call: 1,
                exchange_call: 1,
                answer: FinalAnswer::Fails,
            };
            if rule_broken {
                rule_checker.observe(Duration::ZERO, answer);
            }
            Report::new(&day, "virtual", Default::default(), rule_checker.finish(Duration::ZERO), &[])
        };
        assert!(is_success(&report(false)) && !is_success(&report(true)));
        assert!(!is_success(&Report { crashes: 1, ..report(false) }));
        assert!(report(true).text(&day).contains("BROKEN rule 1"));
    }
}
