//! `mintstall load` and `mintstall far`: many sessions on one controller, and an exchange for its calls to reach.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use mintstall_daemon::config::read_json;
use mintstall_emulator::FarPlan;
use mintstall_lab::far::FarServer;
use mintstall_lab::load::{self, LoadPlan};
use serde_json::json;

use crate::{bad_input, failed};

#[derive(Args)]
pub struct LoadArgs {
    /// The script, JSON; `--schema` tells its form.
    #[arg(required_unless_present = "schema")]
    file: Option<PathBuf>,
    /// Where calls are asked for: `calls` of what `mintstall run` writes. More than one share the sessions.
    #[arg(required_unless_present = "schema")]
    servers: Vec<SocketAddr>,
    /// The whole report as JSON.
    #[arg(long)]
    json: bool,
    /// Writes the JSON Schema of scripts to standard output.
    #[arg(long)]
    schema: bool,
}

pub fn load(args: &LoadArgs) -> ExitCode {
    let Some(file) = args.file.as_deref().filter(|_| !args.schema) else {
        return crate::schema::<LoadPlan>();
    };
    let plan: LoadPlan = match read_json(file) {
        Ok(plan) => plan,
        Err(error) => return bad_input(error),
    };
    let faults = plan.validation_errors();
    if !faults.is_empty() {
        let faults: Vec<_> = faults.iter().map(|fault| format!("{}: {fault}", file.display())).collect();
        return bad_input(faults.join("\n"));
    }
    match load::run(&plan, &args.servers) {
        Ok(report) => {
            match args.json {
                true => println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default()),
                false => print!("{}", report.text()),
            }
            if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => failed(error),
    }
}

#[derive(Args)]
pub struct FarArgs {
    /// Where controllers connect to: `connect` of their link to it.
    listen: SocketAddr,
    /// What it does with set-ups, JSON; `--schema` tells its form.
    file: Option<PathBuf>,
    /// How long it runs, seconds.
    #[arg(long, default_value_t = 3600.0)]
    for_s: f64,
    /// Writes the JSON Schema of plans to standard output.
    #[arg(long)]
    schema: bool,
}

pub fn far(args: &FarArgs) -> ExitCode {
    if args.schema {
        return crate::schema::<FarPlan>();
    }
    let plan = match args.file.as_deref().map_or(Ok(FarPlan::default()), read_json) {
        Ok(plan) => plan,
        Err(error) => return bad_input(error),
    };
    let faults = plan.validation_errors();
    if !faults.is_empty() {
        return bad_input(faults.join("\n"));
    }
    let Ok(span) = Duration::try_from_secs_f64(args.for_s) else { return bad_input("--for-s: is no time") };
    match FarServer::start(args.listen, plan) {
        Ok(server) => {
            println!("{}", json!({ "signalling": server.addr() }));
            std::thread::sleep(span);
            println!("{}", json!(server.counters()));
            ExitCode::SUCCESS
        }
        Err(error) => failed(format!("{}: {error}", args.listen)),
    }
}
