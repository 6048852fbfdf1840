//! `mintstall-soak`: runs controllers as processes with seeded faults, and checks the records against the rules.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use clap::{Parser, Subcommand};
use mintstall_soak::exchange::{self, ExchangeConfig};
use mintstall_soak::plan::Plan;
use mintstall_soak::run::{Programs, run, save_records};

#[derive(Parser)]
#[command(
    about = "Runs controllers on loopback with seeded faults and checks them against the protocol's rules"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Carries out runs; exit code 1 if a rule was broken.
    Run(RunArguments),
    /// Runs one emulated exchange; started by a run.
    #[command(hide = true)]
    Exchange { config: String },
}

#[derive(clap::Args)]
struct RunArguments {
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// The number of seeds.
    #[arg(long, default_value_t = 6)]
    count: u64,
    /// The number of concurrent runs.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Carries out the run of issue 25 instead of seeds.
    #[arg(long)]
    incident: bool,
    /// The controller program; by default `mintstall` in the directory of this program.
    #[arg(long)]
    controller: Option<PathBuf>,
    /// The directory for the logs and records of each run.
    #[arg(long, default_value = "soak-logs")]
    directory: PathBuf,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run(arguments) => run_all(&arguments),
        Command::Exchange { config } => run_exchange(&config),
    }
}

fn run_exchange(config: &str) -> ExitCode {
    let config: ExchangeConfig = match serde_json::from_str(config) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("invalid exchange configuration: {error}");
            return ExitCode::from(2);
        }
    };
    if let Err(error) = exchange::run(config) {
        eprintln!("exchange failed: {error}");
    }
    ExitCode::FAILURE
}

fn run_all(arguments: &RunArguments) -> ExitCode {
    let soak = match std::env::current_exe() {
        Ok(path) => path,
        Err(error) => {
            eprintln!("can't determine the path of this program: {error}");
            return ExitCode::from(2);
        }
    };
    let controller = arguments.controller.clone().unwrap_or_else(|| soak.with_file_name("mintstall"));
    let plans: Vec<_> = match arguments.incident {
        true => vec![Plan::machines_lost_while_bus_is_down()],
        false => (arguments.from..arguments.from + arguments.count).map(Plan::from_seed).collect(),
    };
    let (next_plan, broken_seeds) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..arguments.jobs.max(1) {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next_plan.fetch_add(1, Ordering::Relaxed) as usize) {
                    let directory = arguments.directory.join(plan.seed.to_string());
                    let programs = Programs { controller: controller.clone(), soak: soak.clone(), directory };
                    if !run_plan(plan, &programs)
                        && let Ok(mut broken_seeds) = broken_seeds.lock()
                    {
                        broken_seeds.push(plan.seed);
                    }
                }
            });
        }
    });
    let broken_seeds = broken_seeds.into_inner().unwrap_or_default();
    println!("{} runs, {} with a broken rule: {broken_seeds:?}", plans.len(), broken_seeds.len());
    if broken_seeds.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Carries out one plan and prints the result. Returns whether all rules were kept.
fn run_plan(plan: &Plan, programs: &Programs) -> bool {
    let (verdict, records) = match run(plan, programs) {
        Ok(result) => result,
        Err(error) => {
            println!("seed {}: run failed: {error}", plan.seed);
            return false;
        }
    };
    if let Err(error) = save_records(&records, &programs.directory.join("records.jsonl")) {
        println!("seed {}: records not saved: {error}", plan.seed);
    }
    println!(
        "seed {}: {} set-ups, {} served, {} ended, {} breaches",
        plan.seed,
        verdict.set_ups,
        verdict.served,
        verdict.ended_calls,
        verdict.violations.len()
    );
    for violation in verdict.violations.iter().take(8) {
        println!("seed {}:   {violation}", plan.seed);
    }
    verdict.violations.is_empty()
}
