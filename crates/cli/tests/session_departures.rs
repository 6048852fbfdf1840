//! Clients of `mintstall run` that close their connection while much of what they sent is still unread.
//!
//! The controller is stopped while a client writes and closes, so that it finds all of it at once.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::sessions::{RawClient, Site, offer_request};
use mintstall_emulator::FarPlan;
use serde_json::json;

/// More than one read takes.
const OFFERS: u64 = 900;
const TIME_LEFT_MS: u64 = 5000;
const SETTLED: Duration = Duration::from_millis(700);

fn start(name: &str) -> Site {
    Site::start(name, FarPlan::default(), json!({}))
}

fn while_stopped(site: &Site, act: impl FnOnce()) {
    site.controller.kill("-STOP");
    act();
    std::thread::sleep(Duration::from_millis(50));
    site.controller.kill("-CONT");
    std::thread::sleep(SETTLED);
}

/// Offers of calls, one a line.
fn offer_lines() -> String {
    (1..=OFFERS).map(|call| format!("{}\n", offer_request(call, TIME_LEFT_MS))).collect()
}

// Guards against: offers of a client that has left, placed because they were read before its close.
#[test]
fn offers_on_a_line_that_was_closed_are_not_placed() {
    let site = start("left-line.json");
    let addr: SocketAddr = site.controller.ready["subscribers"].as_str().unwrap().parse().unwrap();
    let mut line = TcpStream::connect(addr).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    while_stopped(&site, || {
        line.write_all(offer_lines().as_bytes()).unwrap();
        drop(line);
    });
    assert_eq!(site.far.counters().set_ups, 0);
    site.wait_until_idle();
    site.finish();
}

// Guards against: the same over WebSocket, where the connection is cut, or closed by the client.
#[test]
fn offers_on_a_connection_that_was_cut_or_closed_are_not_placed() {
    for closes in [false, true] {
        let site = start(&format!("left-{closes}.json"));
        let mut client = RawClient::open(site.calls_addr());
        while_stopped(&site, || {
            for call in 1..=OFFERS {
                client.connection.send_text(&offer_request(call, TIME_LEFT_MS).to_string());
            }
            if closes {
                client.connection.close(1000, "");
            }
            // One write, so that the kernel of the controller has room for all of it and for the close.
            client.stream.write_all(&std::mem::take(client.connection.output())).unwrap();
            drop(client);
        });
        assert_eq!(site.far.counters().set_ups, 0, "closed by the client: {closes}");
        site.wait_until_idle();
        site.finish();
    }
}

// Guards against: an offer that runs twice, unread on a connection whose session is resumed on another and offers it again.
#[test]
fn an_offer_that_comes_again_in_a_resumed_session_runs_once() {
    let site = start("again.json");
    let mut before = RawClient::open(site.calls_addr());
    let session = before.hello(None)["session"].clone();
    let mut after = RawClient::open(site.calls_addr());
    site.controller.kill("-STOP");
    before.offer(7, TIME_LEFT_MS);
    drop(before);
    let hello = json!({ "client": "test", "resumable": true, "resume": session });
    after.send(&json!({ "jsonrpc": "2.0", "id": "a", "method": "session.hello", "params": hello })).unwrap();
    after.offer(7, TIME_LEFT_MS);
    std::thread::sleep(Duration::from_millis(50));
    site.controller.kill("-CONT");
    // The session's result, perhaps that the call is in hand already, and its one answer.
    while after.receive().unwrap()["result"]["answer"] != "stands" {}
    std::thread::sleep(SETTLED);
    assert_eq!(site.far.counters().set_ups, 1);
    site.finish();
}

// A new controller process at the address of a former one does not take its sessions for its own.
#[test]
fn the_session_of_a_former_process_cannot_be_taken_up_at_a_new_one() {
    let former = start("former.json");
    let mut client = RawClient::open(former.calls_addr());
    let session = client.hello(None)["session"].clone();
    client.offer(7, TIME_LEFT_MS);
    assert_eq!(client.receive().unwrap()["result"]["answer"], "stands");
    let port = former.calls_addr();
    former.controller.kill("-KILL");
    drop(former);
    let calls = json!({ "calls": { "listen": port } });
    let site = Site::start("new.json", FarPlan::default(), calls);
    let mut client = RawClient::open(site.calls_addr());
    let hello = json!({ "client": "test", "resumable": true, "resume": session });
    let denied = client.request("session.hello", hello);
    assert!(denied["error"]["code"].is_i64(), "{denied}");
    assert_eq!(site.far.counters().set_ups, 0);
    site.finish();
}
