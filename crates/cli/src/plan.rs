//! `mintstall plan`: what a fleet carries, and what breaks first. The models are in `mintstall-planner`.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use mintstall_daemon::config::read_json;
use mintstall_planner::{
    Bottleneck, Fleet, Solution, compare, erlang, lose, saturation_points, size_groups, size_processors,
    solve,
};
use serde_json::json;

use crate::bad_input;

#[derive(Subcommand)]
pub enum PlanCommand {
    /// Works out the third of offered erlangs, circuits and blocking from the other two.
    Erlang(ErlangArgs),
    /// Finds every fault of a fleet's description, each with its place.
    Check { file: PathBuf },
    /// Writes the JSON Schema of descriptions to standard output.
    Schema,
    /// Groups and processors of a fleet in balance, at a growth of its traffic.
    Show {
        file: PathBuf,
        #[arg(long, default_value_t = 1.0)]
        growth: f64,
        #[arg(long)]
        json: bool,
    },
    /// What is full first as the traffic grows, and what next.
    Saturate {
        file: PathBuf,
        /// A group is full where it blocks more than this share of any call type.
        #[arg(long, default_value_t = 0.02)]
        blocking: f64,
        /// The growth looked at: from, to, and by how much at a time.
        #[arg(long, default_value_t = 1.0)]
        from: f64,
        #[arg(long, default_value_t = 3.0)]
        to: f64,
        #[arg(long, default_value_t = 0.05)]
        step: f64,
        #[arg(long)]
        json: bool,
    },
    /// How many circuits groups need for a blocking, and how fast processors must be for a goal.
    Size {
        file: PathBuf,
        #[arg(long, default_value_t = 0.01)]
        blocking: f64,
        /// Share of first tries that are to stand.
        #[arg(long)]
        goal: Option<f64>,
        #[arg(long, default_value_t = 1.0)]
        growth: f64,
        #[arg(long)]
        json: bool,
    },
    /// Two descriptions side by side.
    Compare {
        one: PathBuf,
        other: PathBuf,
        #[arg(long, default_value_t = 0.02)]
        blocking: f64,
        #[arg(long)]
        json: bool,
    },
    /// What the loss of a region or of exchanges does to the rest.
    Lose {
        file: PathBuf,
        #[arg(long, conflicts_with = "exchange", required_unless_present = "exchange")]
        zone: Option<String>,
        #[arg(long)]
        exchange: Vec<u16>,
        /// Callers dial again so many times as often, as when all do so early.
        #[arg(long, default_value_t = 1.0)]
        redials: f64,
        #[arg(long, default_value_t = 0.02)]
        blocking: f64,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
pub struct ErlangArgs {
    #[arg(long)]
    offered: Option<f64>,
    #[arg(long)]
    circuits: Option<u32>,
    #[arg(long)]
    blocking: Option<f64>,
    #[arg(long)]
    json: bool,
}

fn read(file: &Path) -> Result<Fleet, ExitCode> {
    let fleet: Fleet = read_json(file).map_err(bad_input)?;
    let faults = fleet.validation_errors();
    if faults.is_empty() {
        return Ok(fleet);
    }
    let faults: Vec<_> = faults.iter().map(|fault| format!("{}: {fault}", file.display())).collect();
    Err(bad_input(faults.join("\n")))
}

pub fn plan(command: &PlanCommand) -> ExitCode {
    match command {
        PlanCommand::Erlang(args) => worked_out(args),
        PlanCommand::Schema => crate::schema::<Fleet>(),
        PlanCommand::Check { file } => with(file, |fleet| {
            let (exchanges, groups) = (fleet.exchanges.len(), fleet.groups.len());
            println!("{}: {exchanges} exchanges, {groups} groups, in order", file.display());
        }),
        PlanCommand::Show { growth, .. } if !(*growth >= 0.0 && growth.is_finite()) => {
            bad_input("--growth: is below 0")
        }
        PlanCommand::Show { file, growth, json } => with(file, |fleet| show(fleet, *growth, *json)),
        PlanCommand::Saturate { file, blocking, from, to, step, json } => {
            if !(*from >= 0.0 && to > from && to.is_finite() && *step > 0.0) {
                return bad_input("--from, --to, --step: are no range");
            }
            with(file, |fleet| order(fleet, *blocking, [*from, *to], *step, *json))
        }
        PlanCommand::Compare { one, other, blocking, json } => match (read(one), read(other)) {
            (Ok(one), Ok(other)) => {
                side_by_side(&one, &other, *blocking, *json);
                ExitCode::SUCCESS
            }
            (Err(code), _) | (_, Err(code)) => code,
        },
        PlanCommand::Size { file, blocking, goal, growth, json } => {
            if !(*blocking > 0.0 && *blocking < 1.0) {
                return bad_input("--blocking: is not above 0 and below 1");
            }
            if !(*growth >= 0.0 && growth.is_finite()) {
                return bad_input("--growth: is below 0");
            }
            with(file, |fleet| sizes(&fleet.grown(*growth), *blocking, *goal, *json))
        }
        PlanCommand::Lose { file, zone, exchange, redials, blocking, json } => {
            let fleet = match read(file) {
                Ok(fleet) => fleet,
                Err(code) => return code,
            };
            let lost: BTreeSet<u16> = match zone {
                Some(zone) => fleet.regions().get(zone.as_str()).cloned().unwrap_or_default(),
                None => exchange.iter().copied().collect(),
            };
            let unknown = lost.iter().find(|no| !fleet.exchanges.iter().any(|of| of.exchange == **no));
            match (lost.is_empty(), unknown) {
                (true, _) => bad_input("--zone: no exchange is there"),
                (_, Some(no)) => bad_input(format!("--exchange: there is no exchange {no}")),
                _ => {
                    without(&fleet, &lost, *redials, *blocking, *json);
                    ExitCode::SUCCESS
                }
            }
        }
    }
}

fn with(file: &Path, f: impl FnOnce(&Fleet)) -> ExitCode {
    match read(file) {
        Ok(fleet) => {
            f(&fleet);
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn worked_out(args: &ErlangArgs) -> ExitCode {
    let found = match (args.offered, args.circuits, args.blocking) {
        (Some(offered), Some(circuits), None) => {
            erlang::blocking(offered, circuits).map(|b| (offered, circuits, b))
        }
        (Some(offered), None, Some(most)) => erlang::circuits(offered, most)
            .and_then(|circuits| Ok((offered, circuits, erlang::blocking(offered, circuits)?))),
        (None, Some(circuits), Some(most)) => {
            erlang::offered(circuits, most).map(|offered| (offered, circuits, most))
        }
        _ => return bad_input("two of --offered, --circuits, --blocking are wanted"),
    };
    match found {
        Ok((offered, circuits, blocking)) => {
            match args.json {
                true => {
                    println!("{}", json!({ "offered": offered, "circuits": circuits, "blocking": blocking }))
                }
                false => println!("{offered:.3} erlangs on {circuits} circuits: {blocking:.6} blocked"),
            }
            ExitCode::SUCCESS
        }
        Err(error) => bad_input(error),
    }
}

fn limit_text(limit: &Bottleneck) -> String {
    match limit {
        Bottleneck::Group { between: [a, b] } => format!("group {a} - {b}"),
        Bottleneck::Processor { exchange } => format!("processor of {exchange}"),
    }
}

fn limit_json(limit: &Bottleneck) -> serde_json::Value {
    match limit {
        Bottleneck::Group { between } => json!({ "group": between }),
        Bottleneck::Processor { exchange } => json!({ "processor": exchange }),
    }
}

fn solution_json(of: &Solution) -> serde_json::Value {
    let groups: Vec<_> = of
        .groups
        .iter()
        .map(|group| {
            json!({ "between": group.between, "circuits": group.circuits, "taken": group.taken,
                    "blocked": group.blocked })
        })
        .collect();
    let processors: Vec<_> =
        of.processors.iter().map(|of| json!({ "exchange": of.exchange, "load": of.load })).collect();
    json!({ "stood": of.stood, "stood_by_type": of.stood_by_type, "tries": of.tries, "detours": of.detours,
            "settled": of.rounds.is_ok(), "groups": groups, "processors": processors })
}

fn show(fleet: &Fleet, growth: f64, whole: bool) {
    let solved = solve(&fleet.grown(growth));
    if whole {
        let jammed = solved.high_blocking.as_ref().map(solution_json);
        println!(
            "{}",
            json!({ "growth": growth, "free": solution_json(&solved.low_blocking), "jammed": jammed })
        );
        return;
    }
    let free = &solved.low_blocking;
    println!(
        "at {growth} of the traffic {:.4} of first tries stand, {:.2} tries each, {:.3} of the calls over a tandem",
        free.stood, free.tries, free.detours
    );
    for (of, stood) in fleet.call_types.iter().zip(&free.stood_by_type) {
        println!("  {:<16} {stood:.4}", of.name);
    }
    if let Err(moved) = free.rounds {
        println!("not settled: losses still moved by {moved:.1e}");
    }
    if let Some(jammed) = &solved.high_blocking {
        println!("it can jam: once full, {:.4} of first tries stand", jammed.stood);
    }
    println!("{:>12} {:>9} {:>9} {:>9}", "group", "circuits", "taken", "blocked");
    let mut groups: Vec<_> = free.groups.iter().collect();
    let worst = |blocked: &[f64]| blocked.iter().copied().fold(0.0, f64::max);
    groups.sort_by(|a, b| worst(&b.blocked).total_cmp(&worst(&a.blocked)));
    for group in groups.iter().take(20) {
        let [a, b] = group.between;
        println!(
            "{:>12} {:>9} {:>9.1} {:>9.4}",
            format!("{a} - {b}"),
            group.circuits,
            group.taken,
            worst(&group.blocked)
        );
    }
    println!("{:>12} {:>9}", "processor", "load");
    let mut processors = free.processors.clone();
    processors.sort_by(|a, b| b.load.total_cmp(&a.load));
    processors.iter().take(20).for_each(|of| println!("{:>12} {:>9.3}", of.exchange, of.load));
}

fn order(fleet: &Fleet, blocking: f64, range: [f64; 2], step: f64, whole: bool) {
    use std::io::{IsTerminal, Write};
    let mut progress = std::io::stderr();
    let shown = progress.is_terminal();
    let found = saturation_points(fleet, blocking, range, step, &mut |share| {
        if shown {
            let _ = write!(progress, "\r{:3.0} %", share * 100.0);
        }
    });
    if shown {
        eprintln!();
    }
    if whole {
        let all: Vec<_> =
            found.iter().map(|of| json!({ "limit": limit_json(&of.limit), "growth": of.growth })).collect();
        println!("{}", json!(all));
        return;
    }
    if found.is_empty() {
        println!("nothing is full at {} of the traffic", range[1]);
    }
    found.iter().for_each(|of| println!("{:>6.2}  {}", of.growth, limit_text(&of.limit)));
}

fn sizes(fleet: &Fleet, blocking: f64, goal: Option<f64>, whole: bool) {
    let (groups, at_rest) = size_groups(fleet, blocking);
    let times = goal.map(|goal| size_processors(fleet, goal));
    if whole {
        let groups: Vec<_> = groups
            .iter()
            .map(|of| json!({ "between": of.between, "circuits": of.circuits, "needed": of.needed }))
            .collect();
        let processors = times.map(|times| json!({ "times": times }));
        println!("{}", json!({ "groups": groups, "at_rest": at_rest, "processors": processors }));
        return;
    }
    let short: Vec<_> = groups.iter().filter(|of| of.needed > of.circuits).collect();
    println!("{} of {} groups need more circuits for a blocking of {blocking}", short.len(), groups.len());
    for of in short {
        println!("  {:>5} - {:<5} {:>5} -> {}", of.between[0], of.between[1], of.circuits, of.needed);
    }
    if !at_rest {
        println!("not at rest: what one group takes over still moved the others");
    }
    match (goal, times) {
        (Some(goal), Some(Some(times))) => {
            println!("processors {times:.2} times as fast let {goal} of first tries stand")
        }
        (Some(goal), _) => {
            println!("no speed of processors lets {goal} of first tries stand: the groups are too small")
        }
        _ => {}
    }
}

fn side_by_side(one: &Fleet, other: &Fleet, blocking: f64, whole: bool) {
    let compared = compare(one, other, blocking);
    let [here, there] = &compared.only;
    if whole {
        let limits = |limits: &[Bottleneck]| limits.iter().map(limit_json).collect::<Vec<_>>();
        println!(
            "{}",
            json!({ "stood": compared.stood, "full_in_one": limits(here), "full_in_other": limits(there),
                    "blocked": compared.blocked, "loads": compared.loads })
        );
        return;
    }
    println!(
        "{:.4} of first tries stand in the one, {:.4} in the other",
        compared.stood[0], compared.stood[1]
    );
    here.iter().for_each(|limit| println!("full in the one alone: {}", limit_text(limit)));
    there.iter().for_each(|limit| println!("full in the other alone: {}", limit_text(limit)));
    for ([a, b], more) in compared.blocked.iter().take(20) {
        println!("  group {a} - {b}: {more:+.4} blocked");
    }
    compared
        .loads
        .iter()
        .take(20)
        .for_each(|(no, more)| println!("  processor of {no}: {more:+.3} of its work"));
}

fn without(fleet: &Fleet, gone: &BTreeSet<u16>, redials: f64, blocking: f64, whole: bool) {
    let lost = lose(fleet, gone, redials, blocking);
    if whole {
        let reached: Vec<_> = lost.reached.iter().map(limit_json).collect();
        println!(
            "{}",
            json!({ "gone": lost.gone, "before": lost.before, "after": lost.after, "jams": lost.jams,
                    "reached": reached })
        );
        return;
    }
    println!(
        "{:.3} of the traffic goes with them; of the rest {:.4} stood, {:.4} stands",
        lost.gone, lost.before, lost.after
    );
    if lost.jams {
        println!("the rest can jam, and stay so");
    }
    lost.reached.iter().for_each(|limit| println!("full now: {}", limit_text(limit)));
}
