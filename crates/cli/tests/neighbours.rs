//! Three controllers as processes, linked to each other. When one of them is killed or stopped, the circuits of the others must
//! become idle at both ends.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mintstall_client::{CallOutcome, Client, Event, SessionConfig, offer};
use serde_json::{Value, json};

use common::{Controller, TIMEOUT};

/// Circuits of each group.
const CIRCUITS: u64 = 3;

/// Starts exchange `own`, which connects to those exchanges whose address is given.
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

fn addr(controller: &Controller, port: &str) -> SocketAddr {
    controller.ready[port].as_str().unwrap().parse().unwrap()
}

fn group(status: &Value, to: u16) -> Value {
    let groups = status["groups"].as_array().unwrap();
    groups.iter().find(|group| group["to"] == to).unwrap().clone()
}

fn wait_until_idle(controller: &Controller, to: u16) {
    controller.wait_until("an idle group", |status| {
        let group = group(status, to);
        group["link"] == "up" && group["free"] == CIRCUITS
    });
}

#[test]
fn neighbours_of_a_killed_or_stopped_tandem_free_all_circuits() {
    let one = start("one.json", 1, &[(2, None), (3, None)]);
    let first = addr(&one, "signalling");
    let two = start("two.json", 2, &[(1, Some(first)), (3, None)]);
    let second = addr(&two, "signalling");
    let tandem = || start("three.json", 3, &[(1, Some(first)), (2, Some(second))]);
    let mut three = tandem();
    let all_idle = |three: &Controller| {
        [(&one, 3), (&two, 3), (three, 1), (three, 2)]
            .iter()
            .for_each(|(controller, to)| wait_until_idle(controller, *to));
    };
    all_idle(&three);
    wait_until_idle(&one, 2);
    let mut client =
        Client::connect(vec![addr(&one, "calls")], SessionConfig::named("test"), TIMEOUT).unwrap();
    let mut calls: Vec<u64> = Vec::new();
    // Calls fill the direct group first, then go over the tandem.
    let mut fill = |client: &mut Client, count: u64| {
        for number in 0..count {
            let call = client.start(offer(2, 5_551_000 + number, Duration::from_secs(5))).unwrap();
            assert!(matches!(client.outcome(call).unwrap(), CallOutcome::Stands { .. }), "call {number}");
            calls.push(call);
        }
    };
    fill(&mut client, CIRCUITS + 1);
    assert_eq!(group(&two.status(), 3)["standing"], 1, "one call goes over the tandem");
    three.kill("-KILL");
    three.wait();
    let killed_at = Instant::now();
    let three = tandem();
    // The restarted tandem resets the circuits of the killed one; both ends of each circuit become idle.
    all_idle(&three);
    assert!(killed_at.elapsed() < Duration::from_secs(12), "took longer than the link grace period");
    let event = client.next_event(TIMEOUT);
    assert!(matches!(event, Some(Event::Ended { .. })), "{event:?}");

    fill(&mut client, 1);
    assert_eq!(group(&two.status(), 3)["standing"], 1);
    // A stopped tandem releases its standing calls, and exits only when both neighbours have completed the releases.
    assert_eq!(three.stop(), Some(0));
    for (controller, to) in [(&one, 3), (&two, 3)] {
        let group = group(&controller.status(), to);
        let held = [&group["seized"], &group["standing"], &group["releasing"], &group["resetting"]];
        assert!(held.iter().all(|count| **count == 0), "{group}");
    }
    client.close();
    assert_eq!((one.stop(), two.stop()), (Some(0), Some(0)));
}
