//! `mintstall node` as a process, with callers, exchanges and an event bus that the test provides on loopback.

mod common;

use std::io::Write;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use common::node::{Node, config, invite, request, start_bus, start_exchange};
use common::{TIMEOUT, output_text, temp_file};
use mintstall_platform::exchange_protocol::MessageType;
use nix::sys::signal::Signal;
use serde_json::json;

#[test]
fn a_controller_serves_calls_despite_bad_callers_changes_its_bus_and_stops_after_the_last_answer() {
    let (exchange, received) = start_exchange();
    let ((first_bus, first_requests), (second_bus, second_requests)) = (start_bus(), start_bus());
    let mut node = Node::start("node.json", &config(exchange, first_bus));
    assert_eq!(first_requests.recv_timeout(TIMEOUT).unwrap(), "from 1\n");

    let mut caller = node.connect();
    caller.send(&request("OPTIONS", 0));
    assert_eq!(caller.next_status(), "200");
    caller.send(&invite(7, "1"));
    assert_eq!(caller.next_message().unwrap(), ("200".to_string(), "HELLO".to_string()));
    assert_eq!(received.recv_timeout(TIMEOUT).unwrap(), (MessageType::SetUp, 7));

    let mut bad = node.connect();
    bad.send(&invite(8, "nowhere"));
    assert_eq!(bad.next_status(), "400");
    bad.send("INVITE sip:a@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n");
    // The controller reads and discards what is sent after the error: a reset connection would lose the error response.
    let _ = bad.stream.write_all(&vec![b'x'; 1 << 20]);
    assert_eq!((bad.next_status(), bad.next_status()), ("513".to_string(), "closed".to_string()));
    let mut silent: Vec<_> = (0..300).map(|_| node.connect()).collect();
    assert_eq!(silent[0].next_status(), "closed", "idle, with more connections open than allowed");
    drop(silent);

    std::fs::write(&node.config_path, "{").unwrap();
    node.signal(Signal::SIGHUP);
    caller.send(&request("OPTIONS", 1));
    assert_eq!(caller.next_status(), "200", "an invalid file changes nothing");
    std::fs::write(&node.config_path, config(exchange, second_bus).to_string()).unwrap();
    node.signal(Signal::SIGHUP);
    assert_eq!(second_requests.recv_timeout(TIMEOUT).unwrap(), "from 1\n");

    node.signal(Signal::SIGTERM);
    caller.send(&invite(9, "1"));
    assert_eq!(caller.next_status(), "200", "new calls are still accepted for a while");
    caller.send(&request("BYE", 7));
    assert_eq!(caller.next_status(), "200");
    assert_eq!(received.recv_timeout(TIMEOUT).unwrap(), (MessageType::SetUp, 9));
    assert_eq!(received.recv_timeout(TIMEOUT).unwrap(), (MessageType::Release, 7));
    let started = Instant::now();
    let ended = loop {
        match node.child.try_wait().unwrap() {
            Some(status) => break status,
            None if started.elapsed() > TIMEOUT => panic!("the controller does not stop"),
            None => thread::sleep(Duration::from_millis(20)),
        }
    };
    assert!(ended.success());
}

#[test]
fn a_configuration_error_names_its_place_and_value() {
    let unused = "127.0.0.1:1".parse().unwrap();
    let mut invalid = config(unused, unused);
    invalid["settings"]["lanes"][0]["aim_s"] = json!("soon");
    let path = temp_file("wrong-node.json", &invalid.to_string());
    let output =
        Command::new(env!("CARGO_BIN_EXE_mintstall")).arg("node").env("LB_CONFIG", &path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(output_text(&output).contains("lanes.0.aim_s=soon"), "{}", output_text(&output));
}
