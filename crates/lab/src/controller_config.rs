//! The configuration that each controller of a day reads at start.

use std::net::SocketAddr;

use mintstall_daemon::config::{
    Admin, CallApiConfig, CallType, Config, Customer, Directory, LimitsConfig, Link, Number, Rules,
    Signalling, Subscribers, TimersMs,
};
use mintstall_emulator::{Day, Fault, Simulation};

/// Socket addresses that a controller connects to or listens on, and its membership file.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    /// The address to connect to for the link to each other exchange.
    pub links: Vec<(u16, SocketAddr)>,
    pub subscribers: Option<SocketAddr>,
    pub calls: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    pub directory: Option<SocketAddr>,
    pub membership_file: Option<std::path::PathBuf>,
}

/// Builds the configuration of one exchange's controller.
pub fn build(simulation: &Simulation, exchange_number: u16, endpoints: &Endpoints) -> Config {
    let day: &Day = simulation.day();
    let groups =
        simulation.groups().iter().filter(|((a, b), _)| *a == exchange_number || *b == exchange_number);
    let links = groups.map(|((a, b), circuits)| {
        let to = if *a == exchange_number { *b } else { *a };
        let connect = endpoints.links.iter().find(|(other, _)| *other == to).map(|(_, addr)| *addr);
        Link { to, circuits: *circuits, connect }
    });
    let call_types = day.call_types.iter().map(|call_type| CallType {
        name: call_type.name.clone(),
        setup_target_ms: call_type.setup_target_ms,
        guard_time_ms: call_type.guard_time_ms,
        revenue: call_type.revenue,
        width: call_type.width,
        mean_hold_ms: (call_type.hold_s * 1e3) as u64,
    });
    let crowd_number = |fault: &mintstall_emulator::FaultAt| match fault.what {
        Fault::Crowd { exchange, number, lines, .. } if exchange == exchange_number => {
            Some(Number { number, lines })
        }
        _ => None,
    };
    let mut numbers: Vec<Number> = day.faults.iter().filter_map(crowd_number).collect();
    numbers.sort_by_key(|number| number.number);
    numbers.dedup_by_key(|number| number.number);
    let rules = &day.rules;
    Config {
        exchange: exchange_number,
        signalling: Signalling { listen: None, links: links.collect() },
        subscribers: Subscribers { listen: endpoints.subscribers },
        calls: CallApiConfig { listen: endpoints.calls, ..CallApiConfig::default() },
        directory: endpoints
            .directory
            .map(|connect| Directory { connect, keep: endpoints.membership_file.clone() }),
        admin: endpoints.admin.map(|listen| Admin { listen }),
        call_types: call_types.collect(),
        numbers,
        customers: day
            .customers
            .iter()
            .map(|customer| Customer { name: customer.name.clone(), share: customer.share })
            .collect(),
        // A day lasts about a minute: sessions of clients that are gone for good must not hold circuits for half of it.
        limits: LimitsConfig { resume_ms: 3000, ..LimitsConfig::default() },
        tokens: None,
        rules: Rules {
            seizures: day.seizures,
            may_cancel: true,
            longest_come_back_ms: 2000,
            may_tell: day.messages,
            fall_multiple: rules.fall_multiple,
            cold_share: rules.cold_share,
            warm_up_ms: rules.warm_up_ms,
            release_wait_ms: rules.release_wait_ms,
            repeat_after_ms: 0,
        },
        // A day lasts about a minute: timers of minutes in service are shortened.
        timers: TimersMs {
            t1_ms: 2000,
            t5_ms: 6000,
            t16_ms: 2000,
            t17_ms: 4000,
            t22_ms: 2000,
            link_ack_ms: 500,
            audit_ms: 6000,
            ..TimersMs::default()
        },
        most_calls: 20_000,
        traces: 1000,
        seed: Some(day.seed.wrapping_mul(1009).wrapping_add(exchange_number.into())),
    }
}
