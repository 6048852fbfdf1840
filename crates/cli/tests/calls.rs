//! Clients over WebSocket against a controller in a process of its own, with a simulated exchange at the far end of its link.
//! Each test covers one failure that is typical of the night of a release.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use mintstall_client::{CallOutcome, Client, Event, SessionConfig, offer};
use mintstall_emulator::FarPlan;
use mintstall_websocket::ClientHandshake;
use serde_json::{Value, json};

use common::TIMEOUT;
use common::sessions::{RawClient, Site};

/// An exchange that answers no set-up.
fn silent() -> FarPlan {
    FarPlan { silent: 1.0, ..FarPlan::default() }
}

#[test]
fn a_client_that_disappears_during_a_seizure_leaves_no_circuit_occupied() {
    let site = Site::start("vanish.json", silent(), json!({}));
    let mut client = RawClient::open(site.calls_addr());
    client.offer(1, 8000);
    site.wait_until("the seizure", |status| status["groups"][0]["seized"] == 1);
    drop(client);
    site.wait_until_idle();
    assert_eq!(site.far.counters().given_up, 1);
    site.finish();
}

#[test]
fn an_answer_after_the_caller_cancelled_is_not_reported_to_the_caller() {
    let site =
        Site::start("late.json", FarPlan { answer_ms: [700.0, 700.0], ..FarPlan::default() }, json!({}));
    let mut client = site.client();
    let call = client.start(offer(2, 5_551_000, Duration::from_secs(5))).unwrap();
    site.wait_until("the seizure", |status| status["groups"][0]["seized"] == 1);
    let cancelled_at = Instant::now();
    client.cancel(call);
    assert_eq!(client.outcome(call).unwrap(), CallOutcome::Fails);
    assert!(cancelled_at.elapsed() < Duration::from_millis(600), "the answer must not wait for the exchange");
    assert_eq!(client.next_event(Duration::from_millis(900)), None);
    site.wait_until_idle();
    site.finish();
}

#[test]
fn a_repeated_offer_is_one_call_on_the_same_session_and_another_call_on_another() {
    let site =
        Site::start("twice.json", FarPlan { answer_ms: [300.0, 300.0], ..FarPlan::default() }, json!({}));
    let (mut one, mut two) = (RawClient::open(site.calls_addr()), RawClient::open(site.calls_addr()));
    (0..2).for_each(|_| one.offer(7, 5000));
    two.offer(7, 5000);
    assert_eq!(one.receive().unwrap()["error"]["code"], -32002, "the call is in progress");
    let answer = one.receive().unwrap();
    assert_eq!(answer["result"]["answer"], "stands");
    one.offer(7, 5000);
    assert_eq!(one.receive().unwrap(), answer, "the same answer");
    assert_eq!(two.receive().unwrap()["result"]["answer"], "stands");
    let status = site.status();
    assert_eq!((&status["counts"]["offered"], &status["calls"]), (&json!(2), &json!(2)));
    drop((one, two));
    site.wait_until_idle();
    site.finish();
}

#[test]
fn a_session_resumed_after_a_cut_receives_the_pending_answer() {
    let site =
        Site::start("resume.json", FarPlan { answer_ms: [400.0, 400.0], ..FarPlan::default() }, json!({}));
    let mut before = RawClient::open(site.calls_addr());
    let hello = before.hello(None);
    before.offer(1, 5000);
    site.wait_until("the seizure", |status| status["groups"][0]["seized"] == 1);
    drop(before);
    site.wait_until("the answer", |status| status["counts"]["stood"] == 1);
    let mut after = RawClient::open(site.calls_addr());
    let hello = after.hello(Some(&hello["session"]));
    assert_eq!((&hello["calls"][0]["state"], &hello["owed"]), (&json!("stands"), &json!(1)));
    assert_eq!(after.receive().unwrap()["result"]["answer"], "stands");
    assert_eq!(after.request("call.hangup", json!({ "call": 1 }))["result"]["call"], 1);
    site.wait_until_idle();
    site.finish();
}

#[test]
fn a_client_that_answers_no_ping_is_disconnected_and_its_calls_are_hung_up() {
    let short_timeouts = json!({ "calls": { "listen": "127.0.0.1:0", "quiet_ms": 300, "answer_ms": 300 } });
    let site = Site::start("half-open.json", FarPlan::default(), short_timeouts);
    let mut unresponsive = RawClient::open(site.calls_addr());
    unresponsive.offer(1, 5000);
    assert_eq!(unresponsive.receive().unwrap()["result"]["answer"], "stands");
    // The second client reads, so it answers pings and stays connected.
    let mut responsive = site.client();
    assert!(matches!(responsive.call(offer(2, 5_551_000, TIMEOUT)).unwrap(), CallOutcome::Stands { .. }));
    // The first client reads no more, so it answers no ping.
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        assert_eq!(responsive.next_event(Duration::from_millis(100)), None);
    }
    let status = site.status();
    assert_eq!((&status["lines"], &status["calls"]), (&json!(1), &json!(1)), "{status}");
    responsive.close();
    site.wait_until_idle();
    site.finish();
}

#[test]
fn a_client_that_never_reads_is_disconnected_without_affecting_others() {
    let limits = json!({ "calls": { "listen": "127.0.0.1:0", "most_unread": 65_536 },
        "limits": { "requests_per_s": 1e9, "requests_at_once": 1e9 } });
    let site = Site::start("never-reads.json", FarPlan::default(), limits);
    let mut good = site.client();
    let CallOutcome::Stands { exchange_call } = good.call(offer(2, 5_551_000, TIMEOUT)).unwrap() else {
        panic!()
    };
    let mut bad = RawClient::open(site.calls_addr());
    bad.stream.set_write_timeout(Some(TIMEOUT)).unwrap();
    let get = json!({ "jsonrpc": "2.0", "id": 1, "method": "trace.get", "params": { "exchange_call": exchange_call } });
    // The socket buffers of the system hold some megabytes before a write blocks. The controller may close the connection on the
    // way: write errors are ignored.
    let _ = (0..50_000).try_for_each(|_| bad.send(&get));
    site.wait_until("one line", |status| status["lines"] == 1);
    let start = Instant::now();
    while bad.send(&get).is_ok() {
        assert!(start.elapsed() < TIMEOUT, "the connection is not closed");
    }
    assert!(matches!(good.call(offer(2, 5_551_001, TIMEOUT)).unwrap(), CallOutcome::Stands { .. }));
    good.close();
    site.wait_until_idle();
    site.finish();
}

#[test]
fn a_session_within_its_share_is_served_beside_one_that_offers_ten_times_as_much() {
    let far = FarPlan { per_s: 100.0, ..FarPlan::default() };
    let shares = json!({ "limits": { "unanswered": 4, "waiting": 100 },
        "customers": [{ "name": "quiet", "share": 1 }, { "name": "greedy", "share": 1 }] });
    let site = Site::start("greedy.json", far, shares);
    let mut greedy = RawClient::open(site.calls_addr());
    for call in 1..=150 {
        let params = json!({ "call": call, "customer": 1, "dest": 2, "number": call, "time_left_ms": 2000 });
        greedy
            .send(&json!({ "jsonrpc": "2.0", "id": call, "method": "call.offer", "params": params }))
            .unwrap();
    }
    let mut quiet = site.client();
    for number in 0..15 {
        let outcome = quiet.call(offer(2, 5_551_000 + number, Duration::from_secs(10))).unwrap();
        assert!(matches!(outcome, CallOutcome::Stands { .. }), "quiet call {number}: {outcome:?}");
        quiet.hang_up(number + 1);
    }
    let answers: Vec<Value> = (0..150).map(|_| greedy.receive().unwrap()["result"].clone()).collect();
    let refused = answers.iter().filter(|answer| answer["answer"] == "refused").collect::<Vec<_>>();
    assert!(refused.len() > 20 && refused.iter().all(|answer| answer["come_back_ms"].as_u64() >= Some(500)));
    drop(greedy);
    quiet.close();
    site.wait_until_idle();
    site.finish();
}

#[test]
fn a_stopped_controller_answers_and_ends_its_calls_then_closes_the_connection() {
    let mut site = Site::start(
        "stop-calls.json",
        FarPlan { answer_ms: [500.0, 500.0], ..FarPlan::default() },
        json!({}),
    );
    let mut client = RawClient::open(site.calls_addr());
    client.offer(1, 5000);
    assert_eq!(client.receive().unwrap()["result"]["answer"], "stands");
    client.offer(2, 5000);
    site.wait_until("the second seizure", |status| status["groups"][0]["seized"] == 1);
    site.controller.kill("-TERM");
    // A call offered after the stop is refused. The outstanding call is answered and each standing call is ended, each once.
    let mut received = Vec::new();
    let close_info = loop {
        match client.receive() {
            Ok(text) => received.push(text),
            Err(close_info) => break close_info,
        }
    };
    assert_eq!(received[0]["result"]["call"], 2);
    let ended: Vec<_> = received[1..].iter().map(|text| (&text["method"], &text["params"]["call"])).collect();
    let call_ended = json!("call.ended");
    let standing = usize::from(received[0]["result"]["answer"] == "stands");
    assert_eq!(ended.len(), 1 + standing, "{received:?}");
    assert!(ended.iter().all(|(method, _)| **method == call_ended));
    assert_eq!((close_info.code, close_info.by_far_end), (1001, true));
    assert_eq!(site.controller.wait(), Some(0));
}

#[test]
fn a_burst_of_connections_is_paced_and_all_are_accepted() {
    let limits = json!({ "limits": { "opens_per_s": 100, "opens_at_once": 20 } });
    let site = Site::start("storm.json", FarPlan::default(), limits);
    let mut first = site.client();
    let clients: Vec<_> = (0..40)
        .map(|_| {
            let addr = site.calls_addr();
            std::thread::spawn(move || {
                Client::connect(vec![addr], SessionConfig::named("storm"), TIMEOUT).map(Client::close).is_ok()
            })
        })
        .collect();
    assert!(matches!(first.call(offer(2, 5_551_000, TIMEOUT)).unwrap(), CallOutcome::Stands { .. }));
    assert!(clients.into_iter().all(|client| client.join().unwrap()));
    first.close();
    site.wait_until_idle();
    site.finish();
}

#[test]
fn browser_pages_and_broken_clients_get_the_documented_errors() {
    let site = Site::start("broken.json", FarPlan::default(), json!({}));
    let (_, request) = ClientHandshake::new(site.calls_addr(), 100).unwrap();
    let request = String::from_utf8(request).unwrap();
    let status_line = |request: &str| {
        let mut stream = TcpStream::connect(site.calls_addr()).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer.lines().next().unwrap_or_default().to_string()
    };
    assert_eq!(
        status_line(&request.replace("Host:", "Origin: https://elsewhere\r\nHost:")),
        "HTTP/1.1 403 Forbidden"
    );
    assert_eq!(status_line(&request.replace("calls.v1", "calls.v9")), "HTTP/1.1 400 Bad Request");
    assert_eq!(status_line("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), "HTTP/1.1 404 Not Found");
    for (octets, code) in [(&[0x82, 0x80, 0, 0, 0, 0][..], 1003), (&[0x81, 0x81, 0, 0, 0, 0, 0xff], 1007)] {
        let mut client = RawClient::open(site.calls_addr());
        client.stream.write_all(octets).unwrap();
        assert_eq!(client.receive().unwrap_err().code, code);
    }
    site.finish();
}

#[test]
fn the_blocking_client_survives_a_killed_controller() {
    let mut site = Site::start("killed.json", FarPlan::default(), json!({}));
    let addr = site.calls_addr();
    let mut client = site.client();
    let call = client.start(offer(2, 5_551_000, TIMEOUT)).unwrap();
    assert!(matches!(client.outcome(call).unwrap(), CallOutcome::Stands { .. }));
    site.controller.kill("-KILL");
    site.controller.wait();
    assert!(matches!(client.next_event(TIMEOUT), Some(Event::Disconnected { .. })));
    // No controller can be reached: the offer is kept until the caller's time is over, then reported as lost.
    let call = client.start(offer(2, 5_551_001, Duration::from_millis(600))).unwrap();
    assert_eq!(client.outcome(call).unwrap(), CallOutcome::Lost, "{addr}");
}

#[test]
fn a_stop_does_not_wait_for_a_caller_longer_than_its_own_time_limit() {
    // The client answers no pings while it waits for its answer.
    let long_times = json!({ "calls": { "listen": "127.0.0.1:0", "quiet_ms": 300_000 },
                          "call_types": [{ "name": "call", "setup_target_ms": 600_000, "guard_time_ms": 600_000,
                                           "revenue": 1, "mean_hold_ms": 10_000 }] });
    let mut site = Site::start("patient.json", silent(), long_times);
    let mut client = RawClient::open(site.calls_addr());
    client.stream.set_read_timeout(Some(4 * TIMEOUT)).unwrap();
    client.offer(1, 500_000);
    site.wait_until("the seizure", |status| status["groups"][0]["seized"] == 1);
    site.controller.kill("-TERM");
    let stopped_at = Instant::now();
    assert_eq!(client.receive().unwrap()["result"]["answer"], "fails");
    assert_eq!(client.receive().unwrap_err().code, 1001);
    assert!(stopped_at.elapsed() < 3 * TIMEOUT, "the stop waited for the caller's time");
    assert_eq!(site.controller.wait(), Some(0));
    assert_eq!(site.far.counters().in_use, 0, "the seizure was not released before the process ended");
}
