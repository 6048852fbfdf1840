//! Clients over WebSocket against a controller of its own process, with a stand-in exchange at the far end of its link: what goes
//! wrong on release nights, one at a time.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use mintstall_client::{CallOutcome, Client, Event, SessionConfig, offer};
use mintstall_emulator::FarPlan;
use mintstall_lab::far::FarServer;
use mintstall_websocket::{
    ClientHandshake, ClientHandshakeState, CloseInfo, WebSocketConnection, WebSocketEvent,
};
use serde_json::{Value, json};

use common::{CIRCUITS, Controller, LONG};

/// A controller with its far exchange, the link up.
struct Site {
    controller: Controller,
    far: FarServer,
}

impl Site {
    fn start(name: &str, far: FarPlan, more: Value) -> Self {
        let far = FarServer::start("127.0.0.1:0".parse().unwrap(), far).unwrap();
        let controller = Controller::start_with(name, far.addr(), more);
        let site = Self { controller, far };
        site.until("the link is up", |status| {
            status["groups"][0]["free"] == CIRCUITS && status["groups"][0]["link"] == "up"
        });
        site
    }

    fn calls(&self) -> SocketAddr {
        self.controller.ready["calls"].as_str().unwrap().parse().unwrap()
    }

    fn status(&self) -> Value {
        self.controller.status()
    }

    fn until(&self, what: &str, holds: impl Fn(&Value) -> bool) -> Value {
        self.controller.until(what, holds)
    }

    /// All circuits are back, and no call is in hand.
    fn at_rest(&self) {
        self.until("rest", |status| status["calls"] == 0 && status["groups"][0]["free"] == CIRCUITS);
        assert_eq!(self.far.counters().in_use, 0);
    }

    fn client(&self) -> Client {
        Client::connect(vec![self.calls()], SessionConfig::named("test"), LONG).unwrap()
    }

    /// The far exchange saw no call with two seizures out, none sent again too soon, and the controller stops in order.
    fn over(self) {
        let tally = self.far.counters();
        assert_eq!((tally.second_out, tally.too_soon), (0, 0), "{tally:?}");
        assert_eq!(self.controller.stop(), Some(0));
    }
}

/// A connection by hand: it reads only when asked to, and is cut by being dropped.
struct Ws {
    stream: TcpStream,
    end: Box<WebSocketConnection>,
}

impl Ws {
    fn open(to: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(to).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        let (mut dialled, request) = ClientHandshake::new(to, 1 << 20).unwrap();
        stream.write_all(&request).unwrap();
        let mut buffer = [0; 4096];
        loop {
            let count = stream.read(&mut buffer).unwrap();
            match dialled.push(&buffer[..count]) {
                ClientHandshakeState::Open(end) => return Self { stream, end },
                ClientHandshakeState::Incomplete => {}
                ClientHandshakeState::Rejected(why) => panic!("{why}"),
            }
        }
    }

    fn say(&mut self, text: &Value) -> std::io::Result<()> {
        self.end.send_text(&text.to_string());
        self.stream.write_all(&std::mem::take(self.end.output()))
    }

    /// The next text, or how the connection ended.
    fn hear(&mut self) -> Result<Value, CloseInfo> {
        let mut buffer = [0; 1];
        let mut texts = Vec::new();
        while texts.is_empty() {
            // One octet at a time: no text that follows is taken with it.
            match self.stream.read(&mut buffer) {
                Ok(1) => {}
                other => panic!("{other:?}, {:?}", self.end.close_info()),
            }
            self.end.on_octets(&buffer, &mut |event| match event {
                WebSocketEvent::Text(text) => texts.push(text),
                WebSocketEvent::PingOrPong => {}
            });
            if let Some(ended) = self.end.close_info() {
                return Err(ended.clone());
            }
        }
        Ok(serde_json::from_str(&texts[0]).unwrap())
    }

    fn ask(&mut self, method: &str, params: Value) -> Value {
        self.say(&json!({ "jsonrpc": "2.0", "id": "a", "method": method, "params": params })).unwrap();
        self.hear().unwrap()
    }

    fn hello(&mut self, resume: Option<&Value>) -> Value {
        let mut hello = json!({ "client": "test", "resumable": true });
        resume.iter().for_each(|key| hello["resume"] = (*key).clone());
        self.ask("session.hello", hello)["result"].clone()
    }

    fn offer(&mut self, call: u64, left_ms: u64) {
        let params = json!({ "call": call, "dest": 2, "number": 5_550_000 + call, "time_left_ms": left_ms });
        self.say(&json!({ "jsonrpc": "2.0", "id": call, "method": "call.offer", "params": params })).unwrap();
    }
}

fn silent() -> FarPlan {
    FarPlan { silent: 1.0, ..FarPlan::default() }
}

#[test]
fn a_client_that_vanishes_with_a_seizure_out_leaves_no_circuit_taken() {
    let site = Site::start("vanish.json", silent(), json!({}));
    let mut client = Ws::open(site.calls());
    client.offer(1, 8000);
    site.until("the seizure", |status| status["groups"][0]["seized"] == 1);
    drop(client);
    site.at_rest();
    assert_eq!(site.far.counters().given_up, 1);
    site.over();
}

#[test]
fn an_exchange_that_answers_after_the_caller_gave_up_is_not_told_to_the_caller() {
    let site =
        Site::start("late.json", FarPlan { answer_ms: [700.0, 700.0], ..FarPlan::default() }, json!({}));
    let mut client = site.client();
    let call = client.start(offer(2, 5_551_000, Duration::from_secs(5))).unwrap();
    site.until("the seizure", |status| status["groups"][0]["seized"] == 1);
    let asked = Instant::now();
    client.cancel(call);
    assert_eq!(client.outcome(call).unwrap(), CallOutcome::Fails);
    assert!(asked.elapsed() < Duration::from_millis(600), "answered at once, not when the exchange would");
    assert_eq!(client.next_event(Duration::from_millis(900)), None);
    site.at_rest();
    site.over();
}

#[test]
fn an_offer_sent_twice_is_one_call_on_one_session_and_two_on_two() {
    let site =
        Site::start("twice.json", FarPlan { answer_ms: [300.0, 300.0], ..FarPlan::default() }, json!({}));
    let (mut one, mut two) = (Ws::open(site.calls()), Ws::open(site.calls()));
    (0..2).for_each(|_| one.offer(7, 5000));
    two.offer(7, 5000);
    assert_eq!(one.hear().unwrap()["error"]["code"], -32002, "in hand");
    let answer = one.hear().unwrap();
    assert_eq!(answer["result"]["answer"], "stands");
    one.offer(7, 5000);
    assert_eq!(one.hear().unwrap(), answer, "the same again");
    assert_eq!(two.hear().unwrap()["result"]["answer"], "stands");
    let status = site.status();
    assert_eq!((&status["counts"]["offered"], &status["calls"]), (&json!(2), &json!(2)));
    drop((one, two));
    site.at_rest();
    site.over();
}

#[test]
fn a_session_taken_up_after_a_cut_hears_the_answer_that_was_due() {
    let site =
        Site::start("resume.json", FarPlan { answer_ms: [400.0, 400.0], ..FarPlan::default() }, json!({}));
    let mut before = Ws::open(site.calls());
    let welcome = before.hello(None);
    before.offer(1, 5000);
    site.until("the seizure", |status| status["groups"][0]["seized"] == 1);
    drop(before);
    site.until("the answer", |status| status["counts"]["stood"] == 1);
    let mut after = Ws::open(site.calls());
    let welcome = after.hello(Some(&welcome["session"]));
    assert_eq!((&welcome["calls"][0]["state"], &welcome["owed"]), (&json!("stands"), &json!(1)));
    assert_eq!(after.hear().unwrap()["result"]["answer"], "stands");
    assert_eq!(after.ask("call.hangup", json!({ "call": 1 }))["result"]["call"], 1);
    site.at_rest();
    site.over();
}

#[test]
fn a_client_that_gives_no_sign_of_life_is_dropped_and_its_calls_hung_up() {
    let quick = json!({ "calls": { "listen": "127.0.0.1:0", "quiet_ms": 300, "answer_ms": 300 } });
    let site = Site::start("half-open.json", FarPlan::default(), quick);
    let mut gone = Ws::open(site.calls());
    gone.offer(1, 5000);
    assert_eq!(gone.hear().unwrap()["result"]["answer"], "stands");
    // Another answers pings, being read, and stays.
    let mut lives = site.client();
    assert!(matches!(lives.call(offer(2, 5_551_000, LONG)).unwrap(), CallOutcome::Stands { .. }));
    // Nothing is read from the first any more, so that no ping is answered.
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        assert_eq!(lives.next_event(Duration::from_millis(100)), None);
    }
    let status = site.status();
    assert_eq!((&status["lines"], &status["calls"]), (&json!(1), &json!(1)), "{status}");
    lives.close();
    site.at_rest();
    site.over();
}

#[test]
fn a_client_that_never_reads_is_closed_and_costs_the_others_nothing() {
    let limits = json!({ "calls": { "listen": "127.0.0.1:0", "most_unread": 65_536 },
        "limits": { "requests_per_s": 1e9, "requests_at_once": 1e9 } });
    let site = Site::start("never-reads.json", FarPlan::default(), limits);
    let mut good = site.client();
    let CallOutcome::Stands { exchange_call } = good.call(offer(2, 5_551_000, LONG)).unwrap() else {
        panic!()
    };
    let mut bad = Ws::open(site.calls());
    bad.stream.set_write_timeout(Some(LONG)).unwrap();
    let get = json!({ "jsonrpc": "2.0", "id": 1, "method": "trace.get", "params": { "exchange_call": exchange_call } });
    // The machine's own buffers take some megabytes before any wait here; what comes once it is closed is not wanted.
    let _ = (0..50_000).try_for_each(|_| bad.say(&get));
    site.until("one line", |status| status["lines"] == 1);
    let start = Instant::now();
    while bad.say(&get).is_ok() {
        assert!(start.elapsed() < LONG, "it may go on for ever");
    }
    assert!(matches!(good.call(offer(2, 5_551_001, LONG)).unwrap(), CallOutcome::Stands { .. }));
    good.close();
    site.at_rest();
    site.over();
}

#[test]
fn quiet_sessions_are_served_beside_one_that_offers_ten_times_as_much() {
    let far = FarPlan { per_s: 100.0, ..FarPlan::default() };
    let shares = json!({ "limits": { "unanswered": 4, "waiting": 100 },
        "customers": [{ "name": "quiet", "share": 1 }, { "name": "greedy", "share": 1 }] });
    let site = Site::start("greedy.json", far, shares);
    let mut greedy = Ws::open(site.calls());
    for call in 1..=150 {
        let params = json!({ "call": call, "customer": 1, "dest": 2, "number": call, "time_left_ms": 2000 });
        greedy
            .say(&json!({ "jsonrpc": "2.0", "id": call, "method": "call.offer", "params": params }))
            .unwrap();
    }
    let mut quiet = site.client();
    for no in 0..15 {
        let outcome = quiet.call(offer(2, 5_551_000 + no, Duration::from_secs(10))).unwrap();
        assert!(matches!(outcome, CallOutcome::Stands { .. }), "quiet call {no}: {outcome:?}");
        quiet.hang_up(no + 1);
    }
    let answers: Vec<Value> = (0..150).map(|_| greedy.hear().unwrap()["result"].clone()).collect();
    let refused = answers.iter().filter(|answer| answer["answer"] == "refused").collect::<Vec<_>>();
    assert!(refused.len() > 20 && refused.iter().all(|answer| answer["come_back_ms"].as_u64() >= Some(500)));
    drop(greedy);
    quiet.close();
    site.at_rest();
    site.over();
}

#[test]
fn a_stop_with_calls_in_progress_answers_them_and_says_good_bye() {
    let mut site = Site::start(
        "stop-calls.json",
        FarPlan { answer_ms: [500.0, 500.0], ..FarPlan::default() },
        json!({}),
    );
    let mut client = Ws::open(site.calls());
    client.offer(1, 5000);
    assert_eq!(client.hear().unwrap()["result"]["answer"], "stands");
    client.offer(2, 5000);
    site.until("the second seizure", |status| status["groups"][0]["seized"] == 1);
    site.controller.kill("-TERM");
    // Offered after that it is refused; what was out is answered, and what stands is ended, each once.
    let mut heard = Vec::new();
    let ended = loop {
        match client.hear() {
            Ok(text) => heard.push(text),
            Err(ended) => break ended,
        }
    };
    assert_eq!(heard[0]["result"]["call"], 2);
    let over: Vec<_> = heard[1..].iter().map(|text| (&text["method"], &text["params"]["call"])).collect();
    let note = json!("call.ended");
    let standing = usize::from(heard[0]["result"]["answer"] == "stands");
    assert_eq!(over.len(), 1 + standing, "{heard:?}");
    assert!(over.iter().all(|(method, _)| **method == note));
    assert_eq!((ended.code, ended.by_far_end), (1001, true));
    assert_eq!(site.controller.wait(), Some(0));
}

#[test]
fn an_accept_storm_is_paced_and_everybody_gets_in() {
    let limits = json!({ "limits": { "opens_per_s": 100, "opens_at_once": 20 } });
    let site = Site::start("storm.json", FarPlan::default(), limits);
    let mut early = site.client();
    let clients: Vec<_> = (0..40)
        .map(|_| {
            let to = site.calls();
            std::thread::spawn(move || {
                Client::connect(vec![to], SessionConfig::named("storm"), LONG).map(Client::close).is_ok()
            })
        })
        .collect();
    assert!(matches!(early.call(offer(2, 5_551_000, LONG)).unwrap(), CallOutcome::Stands { .. }));
    assert!(clients.into_iter().all(|client| client.join().unwrap()));
    early.close();
    site.at_rest();
    site.over();
}

#[test]
fn what_a_browser_page_or_a_broken_client_sends_has_its_stated_answer() {
    let site = Site::start("broken.json", FarPlan::default(), json!({}));
    let (_, request) = ClientHandshake::new(site.calls(), 100).unwrap();
    let request = String::from_utf8(request).unwrap();
    let knock = |request: &str| {
        let mut stream = TcpStream::connect(site.calls()).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer.lines().next().unwrap_or_default().to_string()
    };
    assert_eq!(
        knock(&request.replace("Host:", "Origin: https://elsewhere\r\nHost:")),
        "HTTP/1.1 403 Forbidden"
    );
    assert_eq!(knock(&request.replace("calls.v1", "calls.v9")), "HTTP/1.1 400 Bad Request");
    assert_eq!(knock("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), "HTTP/1.1 404 Not Found");
    for (octets, code) in [(&[0x82, 0x80, 0, 0, 0, 0][..], 1003), (&[0x81, 0x81, 0, 0, 0, 0, 0xff], 1007)] {
        let mut client = Ws::open(site.calls());
        client.stream.write_all(octets).unwrap();
        assert_eq!(client.hear().unwrap_err().code, code);
    }
    site.over();
}

#[test]
fn the_blocking_client_survives_a_controller_that_is_killed() {
    let mut site = Site::start("killed.json", FarPlan::default(), json!({}));
    let nobody = site.calls();
    let mut client = site.client();
    let call = client.start(offer(2, 5_551_000, LONG)).unwrap();
    assert!(matches!(client.outcome(call).unwrap(), CallOutcome::Stands { .. }));
    site.controller.kill("-KILL");
    site.controller.wait();
    assert!(matches!(client.next_event(LONG), Some(Event::Disconnected { .. })));
    // Nothing is there to dial: the offer is kept for its caller's time, then said to be lost.
    let call = client.start(offer(2, 5_551_001, Duration::from_millis(600))).unwrap();
    assert_eq!(client.outcome(call).unwrap(), CallOutcome::Lost, "{nobody}");
}

#[test]
fn a_stop_does_not_wait_for_a_caller_whose_time_is_longer_than_its_own() {
    // It answers no pings while it waits.
    let patient = json!({ "calls": { "listen": "127.0.0.1:0", "quiet_ms": 300_000 },
                          "call_types": [{ "name": "call", "setup_target_ms": 600_000, "guard_time_ms": 600_000,
                                           "revenue": 1, "mean_hold_ms": 10_000 }] });
    let mut site = Site::start("patient.json", silent(), patient);
    let mut client = Ws::open(site.calls());
    client.stream.set_read_timeout(Some(4 * LONG)).unwrap();
    client.offer(1, 500_000);
    site.until("the seizure", |status| status["groups"][0]["seized"] == 1);
    site.controller.kill("-TERM");
    let asked = Instant::now();
    assert_eq!(client.hear().unwrap()["result"]["answer"], "fails");
    assert_eq!(client.hear().unwrap_err().code, 1001);
    assert!(asked.elapsed() < 3 * LONG, "the stop's own bound, not the caller's time");
    assert_eq!(site.controller.wait(), Some(0));
    assert_eq!(site.far.counters().in_use, 0, "its seizure is released before the process ends");
}
