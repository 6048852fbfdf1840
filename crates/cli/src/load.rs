//! `mintstall load` and `mintstall far`: many client sessions on controllers, and a simulated exchange as destination of calls.

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
    /// The load script, JSON; `--schema` prints its schema.
    #[arg(required_unless_present = "schema")]
    file: Option<PathBuf>,
    /// Addresses for callers: `calls` in the first line that `mintstall run` writes. Several addresses share the sessions.
    #[arg(required_unless_present = "schema")]
    servers: Vec<SocketAddr>,
    /// Prints the whole report as JSON.
    #[arg(long)]
    json: bool,
    /// Writes the JSON Schema of load scripts to standard output.
    #[arg(long)]
    schema: bool,
}

pub fn load(args: &LoadArgs) -> ExitCode {
    let Some(file) = args.file.as_deref().filter(|_| !args.schema) else {
        return crate::print_schema::<LoadPlan>();
    };
    let plan: LoadPlan = match read_json(file) {
        Ok(plan) => plan,
        Err(error) => return bad_input(error),
    };
    let errors = plan.validation_errors();
    if !errors.is_empty() {
        let errors: Vec<_> = errors.iter().map(|error| format!("{}: {error}", file.display())).collect();
        return bad_input(errors.join("\n"));
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
    /// Address for controllers: `connect` of their link to this exchange.
    listen: SocketAddr,
    /// How the exchange treats set-ups, JSON; `--schema` prints its schema.
    file: Option<PathBuf>,
    /// Running time, seconds.
    #[arg(long, default_value_t = 3600.0)]
    for_s: f64,
    /// Writes the JSON Schema of the file to standard output.
    #[arg(long)]
    schema: bool,
}

pub fn far(args: &FarArgs) -> ExitCode {
    if args.schema {
        return crate::print_schema::<FarPlan>();
    }
    let plan = match args.file.as_deref().map_or(Ok(FarPlan::default()), read_json) {
        Ok(plan) => plan,
        Err(error) => return bad_input(error),
    };
    let errors = plan.validation_errors();
    if !errors.is_empty() {
        return bad_input(errors.join("\n"));
    }
    let Ok(running_time) = Duration::try_from_secs_f64(args.for_s) else {
        return bad_input("--for-s: not a valid duration");
    };
    match FarServer::start(args.listen, plan) {
        Ok(server) => {
            println!("{}", json!({ "signalling": server.addr() }));
            std::thread::sleep(running_time);
            println!("{}", json!(server.counters()));
            ExitCode::SUCCESS
        }
        Err(error) => failed(format!("{}: {error}", args.listen)),
    }
}
