//! The controllers of a day: what each reads at start.

use std::net::SocketAddr;

use mintstall_daemon::config::{
    Admin, CallApiConfig, CallType, Config, Customer, Directory, LimitsConfig, Link, Number, Rules,
    Signalling, Subscribers, TimersMs,
};
use mintstall_emulator::{Day, Fault, Simulation};

/// Where a controller finds the world, and is found.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    /// Where it connects to for each other exchange.
    pub links: Vec<(u16, SocketAddr)>,
    pub subscribers: Option<SocketAddr>,
    pub calls: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    pub directory: Option<SocketAddr>,
    pub membership_file: Option<std::path::PathBuf>,
}

/// The configuration of one exchange's controller.
pub fn build(simulation: &Simulation, office: u16, endpoints: &Endpoints) -> Config {
    let day: &Day = simulation.day();
    let groups = simulation.groups().iter().filter(|((a, b), _)| *a == office || *b == office);
    let links = groups.map(|((a, b), circuits)| {
        let to = if *a == office { *b } else { *a };
        let connect = endpoints.links.iter().find(|(other, _)| *other == to).map(|(_, addr)| *addr);
        Link { to, circuits: *circuits, connect }
    });
    let call_types = day.call_types.iter().map(|of| CallType {
        name: of.name.clone(),
        setup_target_ms: of.setup_target_ms,
        guard_time_ms: of.guard_time_ms,
        revenue: of.revenue,
        width: of.width,
        mean_hold_ms: (of.hold_s * 1e3) as u64,
    });
    let number = |fault: &mintstall_emulator::FaultAt| match fault.what {
        Fault::Crowd { exchange, number, lines, .. } if exchange == office => Some(Number { number, lines }),
        _ => None,
    };
    let mut numbers: Vec<Number> = day.faults.iter().filter_map(number).collect();
    numbers.sort_by_key(|number| number.number);
    numbers.dedup_by_key(|number| number.number);
    let rules = &day.rules;
    Config {
        exchange: office,
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
            .map(|of| Customer { name: of.name.clone(), share: of.share })
            .collect(),
        // Clients that are gone for good must not hold circuits for half of a day that lasts a minute.
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
        // Days last a minute: the timers that wait for minutes in service are shorter here.
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
        seed: Some(day.seed.wrapping_mul(1009).wrapping_add(office.into())),
    }
}
