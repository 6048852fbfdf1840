//! `mintstall plan`: capacity planning for a fleet. Parses arguments and prints results; the models are in `mintstall-planner`.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use mintstall_daemon::config::read_json;
use mintstall_planner::{
    Bottleneck, Fleet, Solution, compare, erlang, loss_effect, saturation_points, size_groups,
    size_processors, solve,
};
use serde_json::json;

use crate::bad_input;

#[derive(Subcommand)]
pub enum PlanCommand {
    /// Works out the third of offered erlangs, circuits and blocking from the other two.
    Erlang(ErlangArgs),
    /// Checks the description of a fleet and lists all errors, each with its place.
    Check { file: PathBuf },
    /// Writes the JSON Schema of fleet descriptions to standard output.
    Schema,
    /// Shows the loads and losses of groups and processors.
    Show {
        file: PathBuf,
        /// Factor on the traffic.
        #[arg(long, default_value_t = 1.0)]
        growth: f64,
        #[arg(long)]
        json: bool,
    },
    /// Lists groups and processors in the order in which growing traffic saturates them.
    Saturate {
        file: PathBuf,
        /// A group is saturated if it blocks more than this share of any call type.
        #[arg(long, default_value_t = 0.02)]
        blocking: f64,
        /// Lowest factor on the traffic.
        #[arg(long, default_value_t = 1.0)]
        from: f64,
        /// Highest factor on the traffic.
        #[arg(long, default_value_t = 3.0)]
        to: f64,
        /// Step between factors.
        #[arg(long, default_value_t = 0.05)]
        step: f64,
        #[arg(long)]
        json: bool,
    },
    /// Works out the circuits that groups need for a blocking, and the processor speed needed for a goal.
    Size {
        file: PathBuf,
        /// Share of calls of any type that a group may block.
        #[arg(long, default_value_t = 0.01)]
        blocking: f64,
        /// Share of first tries that is to be answered.
        #[arg(long)]
        goal: Option<f64>,
        /// Factor on the traffic.
        #[arg(long, default_value_t = 1.0)]
        growth: f64,
        #[arg(long)]
        json: bool,
    },
    /// Compares two fleets.
    Compare {
        one: PathBuf,
        other: PathBuf,
        /// A group is saturated if it blocks more than this share of any call type.
        #[arg(long, default_value_t = 0.02)]
        blocking: f64,
        #[arg(long)]
        json: bool,
    },
    /// Works out what the loss of a region or of exchanges does to the rest.
    Lose {
        file: PathBuf,
        /// The region that is lost.
        #[arg(long, conflicts_with = "exchange", required_unless_present = "exchange")]
        zone: Option<String>,
        /// An exchange that is lost; may be given more than once.
        #[arg(long)]
        exchange: Vec<u16>,
        /// Factor on the callers' redials after the loss, as when all redial early.
        #[arg(long, default_value_t = 1.0)]
        redials: f64,
        /// A group is saturated if it blocks more than this share of any call type.
        #[arg(long, default_value_t = 0.02)]
        blocking: f64,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
pub struct ErlangArgs {
    /// Offered traffic, erlangs.
    #[arg(long)]
    offered: Option<f64>,
    #[arg(long)]
    circuits: Option<u32>,
    /// Share of calls that is blocked.
    #[arg(long)]
    blocking: Option<f64>,
    #[arg(long)]
    json: bool,
}

fn read_fleet(file: &Path) -> Result<Fleet, ExitCode> {
    let fleet: Fleet = read_json(file).map_err(bad_input)?;
    let errors = fleet.validation_errors();
    if errors.is_empty() {
        return Ok(fleet);
    }
    let errors: Vec<_> = errors.iter().map(|error| format!("{}: {error}", file.display())).collect();
    Err(bad_input(errors.join("\n")))
}

pub fn plan(command: &PlanCommand) -> ExitCode {
    match command {
        PlanCommand::Erlang(args) => print_erlang(args),
        PlanCommand::Schema => crate::print_schema::<Fleet>(),
        PlanCommand::Check { file } => with_fleet(file, |fleet| {
            let (exchanges, groups) = (fleet.exchanges.len(), fleet.groups.len());
            println!("{}: {exchanges} exchanges, {groups} groups, valid", file.display());
        }),
        PlanCommand::Show { growth, .. } if !(*growth >= 0.0 && growth.is_finite()) => {
            bad_input("--growth: must be a finite number of at least 0")
        }
        PlanCommand::Show { file, growth, json } => {
            with_fleet(file, |fleet| print_solution(fleet, *growth, *json))
        }
        PlanCommand::Saturate { file, blocking, from, to, step, json } => {
            if !(*from >= 0.0 && to > from && to.is_finite() && *step > 0.0) {
                return bad_input(
                    "--from, --to, --step: --from must be at least 0 and below --to, --step above 0",
                );
            }
            with_fleet(file, |fleet| print_saturation(fleet, *blocking, [*from, *to], *step, *json))
        }
        PlanCommand::Compare { one, other, blocking, json } => match (read_fleet(one), read_fleet(other)) {
            (Ok(one), Ok(other)) => {
                print_comparison(&one, &other, *blocking, *json);
                ExitCode::SUCCESS
            }
            (Err(code), _) | (_, Err(code)) => code,
        },
        PlanCommand::Size { file, blocking, goal, growth, json } => {
            if !(*blocking > 0.0 && *blocking < 1.0) {
                return bad_input("--blocking: must be above 0 and below 1");
            }
            if !(*growth >= 0.0 && growth.is_finite()) {
                return bad_input("--growth: must be a finite number of at least 0");
            }
            with_fleet(file, |fleet| print_sizes(&fleet.with_growth(*growth), *blocking, *goal, *json))
        }
        PlanCommand::Lose { file, zone, exchange, redials, blocking, json } => {
            let fleet = match read_fleet(file) {
                Ok(fleet) => fleet,
                Err(code) => return code,
            };
            let lost: BTreeSet<u16> = match zone {
                Some(zone) => fleet.regions().get(zone.as_str()).cloned().unwrap_or_default(),
                None => exchange.iter().copied().collect(),
            };
            let unknown = lost
                .iter()
                .find(|number| !fleet.exchanges.iter().any(|exchange| exchange.exchange == **number));
            match (lost.is_empty(), unknown) {
                (true, _) => bad_input("--zone: no exchange in this region"),
                (_, Some(number)) => bad_input(format!("--exchange: there is no exchange {number}")),
                _ => {
                    print_loss_effect(&fleet, &lost, *redials, *blocking, *json);
                    ExitCode::SUCCESS
                }
            }
        }
    }
}

/// Runs `command` on the fleet of a file.
fn with_fleet(file: &Path, command: impl FnOnce(&Fleet)) -> ExitCode {
    match read_fleet(file) {
        Ok(fleet) => {
            command(&fleet);
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn print_erlang(args: &ErlangArgs) -> ExitCode {
    let result = match (args.offered, args.circuits, args.blocking) {
        (Some(offered), Some(circuits), None) => {
            erlang::blocking(offered, circuits).map(|blocking| (offered, circuits, blocking))
        }
        (Some(offered), None, Some(max_blocking)) => erlang::circuits(offered, max_blocking)
            .and_then(|circuits| Ok((offered, circuits, erlang::blocking(offered, circuits)?))),
        (None, Some(circuits), Some(max_blocking)) => {
            erlang::offered(circuits, max_blocking).map(|offered| (offered, circuits, max_blocking))
        }
        _ => return bad_input("exactly two of --offered, --circuits, --blocking are required"),
    };
    match result {
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

fn bottleneck_text(bottleneck: &Bottleneck) -> String {
    match bottleneck {
        Bottleneck::Group { between: [a, b] } => format!("group {a} - {b}"),
        Bottleneck::Processor { exchange } => format!("processor of exchange {exchange}"),
    }
}

fn bottleneck_json(bottleneck: &Bottleneck) -> serde_json::Value {
    match bottleneck {
        Bottleneck::Group { between } => json!({ "group": between }),
        Bottleneck::Processor { exchange } => json!({ "processor": exchange }),
    }
}

fn solution_json(solution: &Solution) -> serde_json::Value {
    let groups: Vec<_> = solution
        .groups
        .iter()
        .map(|group| {
            json!({ "between": group.between, "circuits": group.circuits, "taken": group.mean_occupied,
                    "blocked": group.blocked })
        })
        .collect();
    let processors: Vec<_> = solution
        .processors
        .iter()
        .map(|processor| json!({ "exchange": processor.exchange, "load": processor.load }))
        .collect();
    json!({ "stood": solution.answered_share, "stood_by_type": solution.answered_share_by_type,
            "tries": solution.tries_per_first_try, "detours": solution.detour_share,
            "settled": solution.convergence.is_ok(), "groups": groups, "processors": processors })
}

fn print_solution(fleet: &Fleet, growth: f64, as_json: bool) {
    let equilibria = solve(&fleet.with_growth(growth));
    if as_json {
        let high_blocking = equilibria.high_blocking.as_ref().map(solution_json);
        println!(
            "{}",
            json!({ "growth": growth, "free": solution_json(&equilibria.low_blocking), "jammed": high_blocking })
        );
        return;
    }
    let solution = &equilibria.low_blocking;
    println!(
        "at {growth} times the traffic: {:.4} of first tries answered, {:.2} tries each, {:.3} of calls over a tandem",
        solution.answered_share, solution.tries_per_first_try, solution.detour_share
    );
    for (call_type, answered) in fleet.call_types.iter().zip(&solution.answered_share_by_type) {
        println!("  {:<16} {answered:.4}", call_type.name);
    }
    if let Err(largest_move) = solution.convergence {
        println!("not converged: losses still moved by {largest_move:.1e} in the last round");
    }
    if let Some(high_blocking) = &equilibria.high_blocking {
        println!(
            "the fleet can jam: once it is full, {:.4} of first tries are answered",
            high_blocking.answered_share
        );
    }
    println!("{:>12} {:>9} {:>9} {:>9}", "group", "circuits", "occupied", "blocked");
    let mut groups: Vec<_> = solution.groups.iter().collect();
    let worst = |blocked: &[f64]| blocked.iter().copied().fold(0.0, f64::max);
    groups.sort_by(|a, b| worst(&b.blocked).total_cmp(&worst(&a.blocked)));
    for group in groups.iter().take(20) {
        let [a, b] = group.between;
        println!(
            "{:>12} {:>9} {:>9.1} {:>9.4}",
            format!("{a} - {b}"),
            group.circuits,
            group.mean_occupied,
            worst(&group.blocked)
        );
    }
    println!("{:>12} {:>9}", "processor", "load");
    let mut processors = solution.processors.clone();
    processors.sort_by(|a, b| b.load.total_cmp(&a.load));
    for processor in processors.iter().take(20) {
        println!("{:>12} {:>9.3}", processor.exchange, processor.load);
    }
}

fn print_saturation(fleet: &Fleet, blocking: f64, range: [f64; 2], step: f64, as_json: bool) {
    use std::io::{IsTerminal, Write};
    let mut progress = std::io::stderr();
    let show_progress = progress.is_terminal();
    let points = saturation_points(fleet, blocking, range, step, &mut |share| {
        if show_progress {
            let _ = write!(progress, "\r{:3.0} %", share * 100.0);
        }
    });
    if show_progress {
        eprintln!();
    }
    if as_json {
        let points: Vec<_> = points
            .iter()
            .map(|point| json!({ "limit": bottleneck_json(&point.bottleneck), "growth": point.growth }))
            .collect();
        println!("{}", json!(points));
        return;
    }
    if points.is_empty() {
        println!("nothing is saturated up to {} times the traffic", range[1]);
    }
    for point in &points {
        println!("{:>6.2}  {}", point.growth, bottleneck_text(&point.bottleneck));
    }
}

fn print_sizes(fleet: &Fleet, blocking: f64, goal: Option<f64>, as_json: bool) {
    let (groups, settled) = size_groups(fleet, blocking);
    let factor = goal.map(|goal| size_processors(fleet, goal));
    if as_json {
        let groups: Vec<_> = groups
            .iter()
            .map(|group| json!({ "between": group.between, "circuits": group.circuits, "needed": group.needed }))
            .collect();
        let processors = factor.map(|factor| json!({ "times": factor }));
        println!("{}", json!({ "groups": groups, "at_rest": settled, "processors": processors }));
        return;
    }
    let too_small: Vec<_> = groups.iter().filter(|group| group.needed > group.circuits).collect();
    println!(
        "{} of {} groups need more circuits for a blocking of {blocking}",
        too_small.len(),
        groups.len()
    );
    for group in too_small {
        let [a, b] = group.between;
        println!("  {a:>5} - {b:<5} {:>5} -> {}", group.circuits, group.needed);
    }
    if !settled {
        println!(
            "not settled: sizes still changed in the last round, since resized groups change each other's load"
        );
    }
    match (goal, factor) {
        (Some(goal), Some(Some(factor))) => {
            println!(
                "processors {factor:.2} times as fast are needed for {goal} of first tries to be answered"
            )
        }
        (Some(goal), _) => {
            println!(
                "no processor speed suffices for {goal} of first tries to be answered: the groups are too small"
            )
        }
        _ => {}
    }
}

fn print_comparison(one: &Fleet, other: &Fleet, blocking: f64, as_json: bool) {
    let comparison = compare(one, other, blocking);
    let [only_one, only_other] = &comparison.saturated_only_in;
    if as_json {
        let bottlenecks =
            |bottlenecks: &[Bottleneck]| bottlenecks.iter().map(bottleneck_json).collect::<Vec<_>>();
        println!(
            "{}",
            json!({ "stood": comparison.answered_share, "full_in_one": bottlenecks(only_one),
                    "full_in_other": bottlenecks(only_other),
                    "blocked": comparison.blocking_differences, "loads": comparison.load_differences })
        );
        return;
    }
    println!(
        "{:.4} of first tries answered in the first fleet, {:.4} in the second",
        comparison.answered_share[0], comparison.answered_share[1]
    );
    for bottleneck in only_one {
        println!("saturated in the first fleet only: {}", bottleneck_text(bottleneck));
    }
    for bottleneck in only_other {
        println!("saturated in the second fleet only: {}", bottleneck_text(bottleneck));
    }
    for ([a, b], difference) in comparison.blocking_differences.iter().take(20) {
        println!("  group {a} - {b}: {difference:+.4} blocked");
    }
    for (exchange, difference) in comparison.load_differences.iter().take(20) {
        println!("  processor of exchange {exchange}: {difference:+.3} load");
    }
}

fn print_loss_effect(fleet: &Fleet, lost: &BTreeSet<u16>, redial_factor: f64, blocking: f64, as_json: bool) {
    let effect = loss_effect(fleet, lost, redial_factor, blocking);
    if as_json {
        let newly_saturated: Vec<_> = effect.newly_saturated.iter().map(bottleneck_json).collect();
        println!(
            "{}",
            json!({ "gone": effect.lost_traffic_share, "before": effect.answered_before,
                    "after": effect.answered_after, "jams": effect.may_stay_jammed,
                    "reached": newly_saturated })
        );
        return;
    }
    println!(
        "{:.3} of the traffic is lost with the exchanges; first tries answered: {:.4} before, {:.4} of the rest after",
        effect.lost_traffic_share, effect.answered_before, effect.answered_after
    );
    if effect.may_stay_jammed {
        println!("the rest of the fleet can jam, and stay jammed");
    }
    for bottleneck in &effect.newly_saturated {
        println!("newly saturated: {}", bottleneck_text(bottleneck));
    }
}
