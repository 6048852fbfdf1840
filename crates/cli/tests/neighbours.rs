//! Three controllers as processes, linked to each other: what one that is killed or stopped leaves on the trunks of the
//! others, until both ends of each circuit are idle.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mintstall_client::{CallOutcome, Client, Event, SessionConfig, offer};
use serde_json::{Value, json};

use common::{Controller, LONG};

/// Of each group.
const CIRCUITS: u64 = 3;

/// Exchange `own`; it dials those whose address is given.
fn start(name: &str, own: u16, links: &[(u16, Option<SocketAddr>)]) -> Controller {
    let link = |(to, connect): &(u16, Option<SocketAddr>)| match connect {
        Some(addr) => json!({ "to": to, "circuits": CIRCUITS, "connect": addr }),
        None => json!({ "to": to, "circuits": CIRCUITS }),
    };
    let links: Vec<Value> = links.iter().map(link).collect();
    let signalling = json!({ "listen": "127.0.0.1:0", "links": links });
    let nowhere = "127.0.0.1:1".parse().unwrap();
    Controller::start_with(name, nowhere, json!({ "exchange": own, "signalling": signalling }))
}

fn addr(controller: &Controller, what: &str) -> SocketAddr {
    controller.ready[what].as_str().unwrap().parse().unwrap()
}

fn group(status: &Value, to: u16) -> Value {
    let groups = status["groups"].as_array().unwrap();
    groups.iter().find(|group| group["to"] == to).unwrap().clone()
}

fn idle(controller: &Controller, to: u16) {
    controller.until("an idle group", |status| {
        let group = group(status, to);
        group["link"] == "up" && group["free"] == CIRCUITS
    });
}

#[test]
fn a_tandem_that_is_killed_or_stopped_leaves_no_circuit_taken_at_its_neighbours() {
    let one = start("one.json", 1, &[(2, None), (3, None)]);
    let first = addr(&one, "signalling");
    let two = start("two.json", 2, &[(1, Some(first)), (3, None)]);
    let second = addr(&two, "signalling");
    let tandem = || start("three.json", 3, &[(1, Some(first)), (2, Some(second))]);
    let mut three = tandem();
    let all_idle = |three: &Controller| {
        [(&one, 3), (&two, 3), (three, 1), (three, 2)]
            .iter()
            .for_each(|(controller, to)| idle(controller, *to));
    };
    all_idle(&three);
    idle(&one, 2);
    let mut client = Client::connect(vec![addr(&one, "calls")], SessionConfig::named("test"), LONG).unwrap();
    let mut calls: Vec<u64> = Vec::new();
    // The direct group first, then over the tandem.
    let mut fill = |client: &mut Client, count: u64| {
        for no in 0..count {
            let call = client.start(offer(2, 5_551_000 + no, Duration::from_secs(5))).unwrap();
            assert!(matches!(client.outcome(call).unwrap(), CallOutcome::Stands { .. }), "call {no}");
            calls.push(call);
        }
    };
    fill(&mut client, CIRCUITS + 1);
    assert_eq!(group(&two.status(), 3)["standing"], 1, "one stands over the tandem");
    three.kill("-KILL");
    three.wait();
    let killed = Instant::now();
    let three = tandem();
    // Its next life resets what the last one held; both ends of each circuit are idle.
    all_idle(&three);
    assert!(killed.elapsed() < Duration::from_secs(12), "longer than a link's grace");
    let cut = client.next_event(LONG);
    assert!(matches!(cut, Some(Event::Ended { .. })), "{cut:?}");

    fill(&mut client, 1);
    assert_eq!(group(&two.status(), 3)["standing"], 1);
    // Told to stop it lets go of what stands, and is gone only when both neighbours have completed that.
    assert_eq!(three.stop(), Some(0));
    for (controller, to) in [(&one, 3), (&two, 3)] {
        let group = group(&controller.status(), to);
        let held = [&group["seized"], &group["standing"], &group["releasing"], &group["resetting"]];
        assert!(held.iter().all(|count| **count == 0), "{group}");
    }
    client.close();
    assert_eq!((one.stop(), two.stop()), (Some(0), Some(0)));
}
