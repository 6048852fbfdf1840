//! `mintstall-soak`: plays seeded faults against controllers as processes, and judges what happened.

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
    about = "Plays seeded faults against controllers on loopback and judges them by the protocol's rules"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays runs; exit code 1 if a rule was broken.
    Run(RunArguments),
    /// One emulated exchange; started by a run.
    #[command(hide = true)]
    Exchange { config: String },
}

#[derive(clap::Args)]
struct RunArguments {
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 6)]
    count: u64,
    /// Runs at a time.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Plays the run of issue 25 instead of seeds.
    #[arg(long)]
    incident: bool,
    /// The controller; `mintstall` beside this program if not given.
    #[arg(long)]
    controller: Option<PathBuf>,
    /// Where logs and records of each run are left.
    #[arg(long, default_value = "soak-logs")]
    directory: PathBuf,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run(arguments) => play(&arguments),
        Command::Exchange { config } => serve(&config),
    }
}

fn serve(config: &str) -> ExitCode {
    let config: ExchangeConfig = match serde_json::from_str(config) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("exchange: {error}");
            return ExitCode::from(2);
        }
    };
    if let Err(error) = exchange::run(config) {
        eprintln!("exchange: {error}");
    }
    ExitCode::FAILURE
}

fn play(arguments: &RunArguments) -> ExitCode {
    let soak = match std::env::current_exe() {
        Ok(path) => path,
        Err(error) => {
            eprintln!("the path of this program: {error}");
            return ExitCode::from(2);
        }
    };
    let controller = arguments.controller.clone().unwrap_or_else(|| soak.with_file_name("mintstall"));
    let plans: Vec<_> = match arguments.incident {
        true => vec![Plan::machines_lost_while_bus_is_down()],
        false => (arguments.from..arguments.from + arguments.count).map(Plan::from_seed).collect(),
    };
    let (next, broken) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..arguments.jobs.max(1) {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next.fetch_add(1, Ordering::Relaxed) as usize) {
                    let directory = arguments.directory.join(plan.seed.to_string());
                    let programs = Programs { controller: controller.clone(), soak: soak.clone(), directory };
                    if !play_one(plan, &programs)
                        && let Ok(mut broken) = broken.lock()
                    {
                        broken.push(plan.seed);
                    }
                }
            });
        }
    });
    let broken = broken.into_inner().unwrap_or_default();
    println!("{} runs, {} with a broken rule: {broken:?}", plans.len(), broken.len());
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays one run and prints what came of it; whether the rules were kept.
fn play_one(plan: &Plan, programs: &Programs) -> bool {
    let (verdict, records) = match run(plan, programs) {
        Ok(done) => done,
        Err(error) => {
            println!("seed {}: not run: {error}", plan.seed);
            return false;
        }
    };
    if let Err(error) = save_records(&records, &programs.directory.join("records.jsonl")) {
        println!("seed {}: records not kept: {error}", plan.seed);
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
