//! The command `mintstall`: its arguments, and the sub-commands that have no module of their own. Exit codes: 0 success, 1 a rule
//! was broken or something failed, 2 invalid input.

mod day;
mod load;
mod node;
mod plan;

use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use mintstall_daemon::{Config, Server, ServerError};
use serde_json::json;

#[derive(Parser)]
#[command(
    name = "mintstall",
    version,
    about = "A call router: sets calls up over trunk groups",
    max_term_width = 100
)]
struct Cli {
    /// Log filter: a level, or targets with levels (`info,mintstall::mode=debug`).
    #[arg(long, global = true, env = "MINTSTALL_LOG", default_value = "warn", value_name = "FILTER")]
    log: String,
    /// Format of the log, which is written to standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a controller until SIGTERM or SIGINT.
    ///
    /// Once it accepts calls it writes one line of JSON with its addresses to standard output.
    Run {
        /// Configuration file, JSON.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Runs a controller on the operators' platform: callers use SIP, exchanges the platform's binary messages.
    ///
    /// Configured by LB_CONFIG, LB_LISTEN and LB_NAME. SIGHUP reloads the configuration. SIGTERM stops the controller once
    /// every accepted call is answered.
    Node(node::NodeArgs),
    /// Checks configurations, or writes their schema.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Runs a day and checks the rules: over sockets with real processes, or in virtual time.
    Day(day::DayArgs),
    /// Opens many sessions on a controller and offers calls according to a script.
    Load(load::LoadArgs),
    /// Simulates one exchange that controllers connect to, for load tests.
    Far(load::FarArgs),
    /// Shows the status of a running controller.
    Status {
        /// The controller's admin address (`admin.listen`).
        admin: SocketAddr,
        /// Prints the whole status as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Shows the steps of one of the last calls of a running controller.
    Trace {
        /// The controller's admin address (`admin.listen`).
        admin: SocketAddr,
        /// The call's number at the exchange that accepted it: `exchange_call` of its answer.
        call: u64,
        /// The exchange that accepted the call, if it is another one: tandems and destinations identify the call by it.
        #[arg(long)]
        origin: Option<u16>,
        /// Prints the traces as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Works out what traffic a fleet carries, and what saturates first.
    Plan {
        #[command(subcommand)]
        command: plan::PlanCommand,
    },
    /// Documents the call API of clients.
    Api {
        #[command(subcommand)]
        command: ApiCommand,
    },
    /// Reads a token from standard input and writes its digest for a token file.
    TokenDigest,
    /// Writes shell completions to standard output.
    Completions { shell: clap_complete::Shell },
    /// Prints the version.
    Version,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Checks a configuration and reports every error with its place.
    Check { file: PathBuf },
    /// Writes the JSON Schema of configurations to standard output.
    Schema,
}

#[derive(Subcommand)]
enum ApiCommand {
    /// Writes the JSON Schema of all messages to standard output; `docs/call-control.md` is the reference.
    Schema,
}

/// Reports invalid input on standard error; exit code 2.
pub fn bad_input(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(2)
}

/// Reports a failure that is not the fault of the input on standard error; exit code 1.
pub fn failed(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = match tracing_subscriber::EnvFilter::try_new(&cli.log) {
        Ok(filter) => filter,
        Err(error) => return bad_input(format!("--log {}: {error}", cli.log)),
    };
    let colours = io::stderr().is_terminal();
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_ansi(colours).with_writer(io::stderr);
    match cli.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    match cli.command {
        Command::Run { config } => run(&config),
        Command::Node(args) => node::node(args),
        Command::Config { command: ConfigCommand::Check { file } } => match Config::read(&file) {
            Ok(config) => {
                println!(
                    "{}: exchange {}, {} links, valid",
                    file.display(),
                    config.exchange,
                    config.signalling.links.len()
                );
                ExitCode::SUCCESS
            }
            Err(error) => bad_input(error),
        },
        Command::Config { command: ConfigCommand::Schema } => print_schema::<Config>(),
        Command::Day(args) => day::day(&args),
        Command::Load(args) => load::load(&args),
        Command::Far(args) => load::far(&args),
        Command::Status { admin, json } => print_status(admin, json),
        Command::Trace { admin, call, origin, json } => print_trace(admin, call, origin, json),
        Command::Plan { command } => plan::plan(&command),
        Command::Api { command: ApiCommand::Schema } => {
            println!("{}", serde_json::to_string_pretty(&mintstall_callapi::schema()).unwrap_or_default());
            ExitCode::SUCCESS
        }
        Command::TokenDigest => {
            let mut token = String::new();
            if let Err(error) = io::stdin().read_line(&mut token) {
                return bad_input(error);
            }
            println!("{}", mintstall_limits::token_digest(token.trim_end_matches(['\r', '\n'])));
            ExitCode::SUCCESS
        }
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "mintstall", &mut io::stdout());
            ExitCode::SUCCESS
        }
        Command::Version => {
            println!("mintstall {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
    }
}

/// Writes the JSON Schema of a type to standard output.
pub fn print_schema<T: schemars::JsonSchema>() -> ExitCode {
    match serde_json::to_string_pretty(&schemars::schema_for!(T)) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => failed(error),
    }
}

fn run(path: &std::path::Path) -> ExitCode {
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return bad_input(error),
    };
    let server = match Server::open(&config) {
        Ok(server) => server,
        Err(error @ ServerError::Tokens(_)) => return bad_input(error),
        Err(error) => return failed(error),
    };
    println!("{}", json!(server.addresses()));
    tracing::info!(exchange = config.exchange, "accepting calls");
    match server.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(error),
    }
}

/// The token for admin ports. It is read from the environment, since command lines can be read in process lists.
fn admin_token() -> Option<String> {
    std::env::var("MINTSTALL_TOKEN").ok()
}

fn print_trace(admin: SocketAddr, call: u64, origin: Option<u16>, as_json: bool) -> ExitCode {
    let params = json!({ "call": call, "origin": origin });
    let traces =
        match mintstall_lab::loopback::admin_request(admin, "trace", &params, admin_token().as_deref()) {
            Ok(traces) => traces,
            Err(error) => return failed(format!("{admin}: {error}")),
        };
    if as_json {
        println!("{}", serde_json::to_string_pretty(&traces).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    let traces = traces.as_array().cloned().unwrap_or_default();
    if traces.is_empty() {
        return failed(format!("call {call} is not among the last calls of the controller at {admin}"));
    }
    for trace in &traces {
        println!(
            "call {} of exchange {} to {} at {}",
            trace["origin_call"], trace["origin"], trace["number"], trace["dest"]
        );
        for step in trace["steps"].as_array().into_iter().flatten() {
            let details = step
                .as_object()
                .into_iter()
                .flatten()
                .filter(|(name, _)| !["step", "at_ms"].contains(&name.as_str()));
            let details: Vec<String> = details.map(|(name, value)| format!("{name} {value}")).collect();
            println!(
                "{:>12.3} ms  {:<18} {}",
                step["at_ms"].as_f64().unwrap_or(0.0),
                step["step"].as_str().unwrap_or(""),
                details.join(", ")
            );
        }
    }
    ExitCode::SUCCESS
}

fn print_status(admin: SocketAddr, as_json: bool) -> ExitCode {
    let status = match mintstall_lab::loopback::admin_request(
        admin,
        "status",
        &serde_json::Value::Null,
        admin_token().as_deref(),
    ) {
        Ok(status) => status,
        Err(error) => return failed(format!("{admin}: {error}")),
    };
    if as_json {
        println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    let up_s = status["up_ms"].as_u64().unwrap_or(0) / 1000;
    println!(
        "exchange {}, up {up_s} s, {} calls, {} pending answers",
        status["exchange"], status["calls"], status["owed"]
    );
    let membership = &status["roster"];
    println!(
        "membership version {}, {} exchanges, {} versions rejected",
        membership["version"], membership["entries"], membership["turned_down"]
    );
    for (name, count) in status["counts"].as_object().into_iter().flatten() {
        println!("  {name:<18} {count}");
    }
    println!(
        "{:>8} {:<8} {:>8} {:>6} {:>6} {:>8} {:>9} {:>9} {:>7}",
        "group to", "link", "circuits", "free", "seized", "standing", "releasing", "resetting", "blocked"
    );
    for group in status["groups"].as_array().into_iter().flatten() {
        let field = |name: &str| group[name].as_str().map_or_else(|| group[name].to_string(), str::to_string);
        println!(
            "{:>8} {:<8} {:>8} {:>6} {:>6} {:>8} {:>9} {:>9} {:>7}",
            field("to"),
            field("link"),
            field("circuits"),
            field("free"),
            field("seized"),
            field("standing"),
            field("releasing"),
            field("resetting"),
            field("blocked")
        );
    }
    ExitCode::SUCCESS
}
