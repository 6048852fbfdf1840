//! Offers that are let in, wait, or are refused, through the exchange core with a far exchange that answers when told to.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall::interface::ExchangeNumber;
use mintstall_callapi::{FinalAnswer, Hangup, Offer, Request, RequestMessage, ServerMessage};
use mintstall_daemon::config::LimitsConfig;
use mintstall_daemon::exchange::{Exchange, LineId, Transport, own_seed};
use serde_json::json;

use common::{FAR, Far};

#[derive(Default)]
struct Wires {
    said: BTreeMap<LineId, Vec<ServerMessage>>,
    sent: Vec<Vec<u8>>,
    notes: Vec<String>,
    closed: Vec<LineId>,
}

impl Transport for Wires {
    fn send_to_link(&mut self, _: ExchangeNumber, octets: &[u8]) {
        self.sent.push(octets.to_vec());
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn send_to_line(&mut self, line: LineId, text: &str) {
        self.said.entry(line).or_default().push(ServerMessage::read(text.as_bytes()).unwrap());
    }
    fn close_line(&mut self, line: LineId, _: &str) {
        self.closed.push(line);
    }
    fn has_room(&self, _: LineId) -> bool {
        true
    }
    fn send_to_directory(&mut self, _: &str) {}
    fn log_info(&mut self, line: &str) {
        self.notes.push(line.to_string());
    }
}

struct Room {
    exchange: Exchange,
    wires: Wires,
    now: Duration,
    far: Far,
}

impl Room {
    fn new(limits: LimitsConfig) -> Self {
        let config = common::config(limits);
        let now = Duration::from_secs(3600);
        let exchange = Exchange::new(now, &config, 2, 1);
        let mut room = Self { exchange, wires: Wires::default(), now, far: Far::default() };
        room.exchange.feed_note(now, &mut room.wires, &common::roster());
        room.exchange.link_up(now, &mut room.wires, FAR);
        room.far();
        room
    }

    /// Lets the far exchange read what was sent; set-ups are left for [`Room::stands`].
    fn far(&mut self) {
        while !self.wires.sent.is_empty() {
            for octets in std::mem::take(&mut self.wires.sent) {
                let out = self.far.read(&octets);
                self.exchange.link_octets(self.now, &mut self.wires, FAR, &out);
            }
        }
    }

    /// The far exchange answers its oldest set-up.
    fn stands(&mut self) {
        let out = self.far.answers(0);
        self.exchange.link_octets(self.now, &mut self.wires, FAR, &out);
        self.far();
    }

    fn line(&mut self) -> LineId {
        self.exchange.line_open(self.now).unwrap()
    }

    fn ask(&mut self, line: LineId, request: Request) {
        let text = RequestMessage { id: Some(json!(1)), request }.text() + "\n";
        self.exchange.line_octets(self.now, &mut self.wires, line, text.as_bytes());
        self.far();
    }

    fn offer(&mut self, line: LineId, call: u64, customer: u16) {
        let offer = Offer {
            call,
            call_type: 0,
            customer,
            dest: 2,
            number: 1000 + call,
            time_left_ms: 3000,
            advised: None,
            cut: false,
            redial: false,
        };
        self.ask(line, Request::Offer(offer));
    }

    /// The answers given on a line since last asked: call and answer.
    fn answers(&mut self, line: LineId) -> Vec<(u64, FinalAnswer)> {
        let said = self.wires.said.remove(&line).unwrap_or_default();
        let answer = |heard| match heard {
            ServerMessage::Answered(answered) => Some((answered.call, answered.answer)),
            _ => None,
        };
        said.into_iter().filter_map(answer).collect()
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.exchange.next_timer().filter(|at| *at <= end) {
            self.now = at;
            self.exchange.on_timer(at, &mut self.wires);
            self.far();
        }
        self.now = end;
    }

    fn figures(&self) -> (u64, u64) {
        let status = self.exchange.status();
        let figure = |name: &str| status["admission"][name].as_u64().unwrap();
        (figure("unanswered"), figure("waiting"))
    }
}

fn unanswered(count: usize) -> LimitsConfig {
    LimitsConfig { unanswered: count, ..LimitsConfig::default() }
}

#[test]
fn offers_beyond_what_may_be_unanswered_have_their_turn_as_answers_come() {
    let mut room = Room::new(unanswered(2));
    let line = room.line();
    (1..=4).for_each(|call| room.offer(line, call, 0));
    assert_eq!((room.far.set_ups.len(), room.figures()), (2, (2, 2)));
    room.stands();
    assert_eq!((room.far.set_ups.len(), room.figures()), (2, (2, 1)));
    (0..3).for_each(|_| room.stands());
    assert_eq!(room.answers(line).len(), 4);
    assert_eq!(room.figures(), (0, 0));
    assert_eq!(room.wires.notes.iter().filter(|note| note.contains("admission")).count(), 2);
}

#[test]
fn a_quiet_customer_is_served_beside_one_that_offers_ten_times_as_much() {
    let mut room = Room::new(unanswered(1));
    let (greedy, quiet) = (room.line(), room.line());
    (1..=50).for_each(|call| room.offer(greedy, call, 1));
    room.offer(quiet, 1, 2);
    (0..3).for_each(|_| room.stands());
    assert_eq!(room.answers(quiet), [(1, FinalAnswer::Stands)]);
}

#[test]
fn an_offer_that_waits_too_long_is_refused_once_with_a_time_to_come_back() {
    let mut room = Room::new(unanswered(1));
    let line = room.line();
    room.offer(line, 1, 0);
    room.offer(line, 2, 0);
    room.pass(Duration::from_millis(760));
    let answers = room.answers(line);
    assert!(
        matches!(answers[..], [(2, FinalAnswer::Refused { come_back_ms })] if come_back_ms >= 500),
        "{answers:?}"
    );
    room.stands();
    assert_eq!(room.answers(line), [(1, FinalAnswer::Stands)]);
    room.pass(Duration::from_secs(5));
    assert_eq!((room.answers(line), room.figures()), (vec![], (0, 0)));
}

#[test]
fn a_line_that_closes_leaves_no_place_taken_and_the_next_has_its_turn() {
    let mut room = Room::new(unanswered(1));
    let (gone, stays) = (room.line(), room.line());
    (1..=3).for_each(|call| room.offer(gone, call, 0));
    room.offer(stays, 1, 1);
    room.exchange.line_closed(room.now, &mut room.wires, gone);
    room.far();
    assert_eq!((room.far.set_ups.len(), room.figures()), (1, (1, 0)), "the other line's call is out");
    room.stands();
    assert_eq!(room.answers(stays), [(1, FinalAnswer::Stands)]);
    room.ask(stays, Request::Hangup(Hangup { call: 1 }));
    let status = room.exchange.status();
    assert_eq!((&status["calls"], room.figures()), (&json!(0), (0, 0)));
}

#[test]
fn giving_up_while_waiting_is_answered_at_once_and_costs_no_seizure() {
    let mut room = Room::new(unanswered(1));
    let line = room.line();
    room.offer(line, 1, 0);
    room.offer(line, 2, 0);
    room.ask(line, Request::Hangup(Hangup { call: 2 }));
    assert_eq!(room.answers(line), [(2, FinalAnswer::Fails)]);
    room.stands();
    assert_eq!((room.far.set_ups.len(), room.figures()), (0, (0, 0)));
}

#[test]
fn a_line_that_offers_too_fast_is_refused_and_its_calls_in_hand_are_not() {
    let limits = LimitsConfig { offers_per_s: 10.0, offers_at_once: 3.0, ..LimitsConfig::default() };
    let mut room = Room::new(limits);
    let line = room.line();
    (1..=5).for_each(|call| room.offer(line, call, 0));
    let refused: Vec<_> = room.answers(line).into_iter().map(|(call, _)| call).collect();
    assert_eq!((room.far.set_ups.len(), refused), (3, vec![4, 5]));
    (0..3).for_each(|_| room.stands());
    assert_eq!(room.answers(line).len(), 3);
}

#[test]
fn an_accept_storm_is_told_when_to_come_back() {
    let limits =
        LimitsConfig { opens_per_s: 10.0, opens_at_once: 2.0, sessions: 3, ..LimitsConfig::default() };
    let mut room = Room::new(limits);
    assert!(room.exchange.line_open(room.now).is_ok() && room.exchange.line_open(room.now).is_ok());
    assert!(room.exchange.line_open(room.now).unwrap_err().text().contains("come back in"));
    room.now += Duration::from_secs(1);
    assert!(room.exchange.line_open(room.now).is_ok());
    assert!(room.exchange.line_open(room.now).unwrap_err().text().contains("3 lines are open"));
}

#[test]
fn stopping_refuses_what_waits_and_answers_what_is_out() {
    let mut room = Room::new(unanswered(1));
    let line = room.line();
    room.offer(line, 1, 0);
    room.offer(line, 2, 0);
    room.exchange.stop(&mut room.wires);
    assert!(matches!(room.answers(line)[..], [(2, FinalAnswer::Refused { .. })]));
    room.offer(line, 3, 0);
    room.stands();
    let answers: BTreeMap<_, _> = room.answers(line).into_iter().collect();
    assert_eq!(answers.get(&1), Some(&FinalAnswer::Stands));
    assert!(matches!(answers.get(&3), Some(FinalAnswer::Refused { .. })), "{answers:?}");
}

impl Room {
    /// Says hello and returns the whole result.
    fn hello(&mut self, line: LineId, hello: serde_json::Value) -> serde_json::Value {
        let text = json!({ "jsonrpc": "2.0", "id": 0, "method": "session.hello", "params": hello })
            .to_string()
            + "\n";
        let mut ear = Ear { wires: &mut self.wires, texts: Vec::new() };
        self.exchange.line_octets(self.now, &mut ear, line, text.as_bytes());
        let texts = ear.texts;
        let mut texts = texts.into_iter();
        let welcome: serde_json::Value = serde_json::from_str(&texts.next().unwrap()).unwrap();
        for text in texts {
            self.wires.send_to_line(line, &text);
        }
        welcome
    }

    fn opened(&mut self) -> (LineId, String) {
        let line = self.line();
        let welcome = self.hello(line, json!({ "client": "test", "resumable": true }));
        (line, welcome["result"]["session"].as_str().unwrap().to_string())
    }

    fn cut(&mut self, line: LineId) {
        self.exchange.line_closed(self.now, &mut self.wires, line);
        self.far();
    }
}

/// Hears what is said as text, before it is read as an answer.
struct Ear<'a> {
    wires: &'a mut Wires,
    texts: Vec<String>,
}

impl Transport for Ear<'_> {
    fn send_to_link(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.wires.send_to_link(to, octets);
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn send_to_line(&mut self, _: LineId, text: &str) {
        self.texts.push(text.to_string());
    }
    fn close_line(&mut self, line: LineId, why: &str) {
        self.wires.close_line(line, why);
    }
    fn has_room(&self, _: LineId) -> bool {
        true
    }
    fn send_to_directory(&mut self, _: &str) {}
    fn log_info(&mut self, line: &str) {
        self.wires.log_info(line);
    }
}

#[test]
fn a_session_taken_up_after_a_cut_is_told_the_answer_that_came_meanwhile_once() {
    let mut room = Room::new(unanswered(1));
    let (before, key) = room.opened();
    room.offer(before, 1, 0);
    room.offer(before, 2, 0);
    room.cut(before);
    room.stands();
    room.stands();
    assert_eq!(room.answers(before), [], "nobody is there to hear it");
    let after = room.line();
    let welcome = room.hello(after, json!({ "client": "test", "resume": key }));
    let calls = welcome["result"]["calls"].as_array().unwrap();
    let calls: Vec<_> = calls.iter().map(|call| (&call["call"], &call["state"])).collect();
    assert_eq!(calls, [(&json!(1), &json!("stands")), (&json!(2), &json!("stands"))]);
    assert_eq!(welcome["result"]["owed"], json!(2));
    assert_eq!(room.answers(after), [(1, FinalAnswer::Stands), (2, FinalAnswer::Stands)]);
    assert_eq!((room.answers(after), room.figures()), (vec![], (0, 0)));
    // The calls are the new line's: it ends them.
    room.ask(after, Request::Hangup(Hangup { call: 1 }));
    room.ask(after, Request::Hangup(Hangup { call: 2 }));
    assert_eq!(room.exchange.status()["calls"], json!(0));
    // Whoever comes with the key has it, though the connection before is not known to be dead; that one is closed.
    let third = room.line();
    assert_eq!(room.hello(third, json!({ "client": "test", "resume": key }))["result"]["calls"], json!([]));
    assert_eq!(room.wires.closed, [after]);
    room.cut(after);
    room.offer(third, 3, 0);
    room.stands();
    assert_eq!((room.answers(after), room.answers(third)), (vec![], vec![(3, FinalAnswer::Stands)]));
    assert_eq!(room.hello(third, json!({ "client": "test", "resume": key }))["error"]["code"], -32602);
}

#[test]
fn a_session_that_nobody_takes_up_has_its_calls_hung_up_when_its_time_is_over() {
    let mut room = Room::new(LimitsConfig { resume_ms: 2000, ..LimitsConfig::default() });
    let (line, key) = room.opened();
    room.offer(line, 1, 0);
    room.stands();
    room.answers(line);
    room.cut(line);
    room.pass(Duration::from_millis(1900));
    assert_eq!(room.exchange.status()["calls"], json!(1));
    room.pass(Duration::from_millis(200));
    let status = room.exchange.status();
    assert_eq!(
        (&status["calls"], &status["lines"], &status["admission"]["kept_sessions"]),
        (&json!(0), &json!(0), &json!(0))
    );
    let late = room.line();
    assert_eq!(room.hello(late, json!({ "client": "test", "resume": key }))["error"]["code"], -32004);
    assert_eq!(room.hello(late, json!({ "client": "test", "resume": "no key" }))["error"]["code"], -32602);
}

#[test]
fn a_session_taken_up_keeps_its_place_in_turn() {
    let mut room = Room::new(unanswered(1));
    let (before, key) = room.opened();
    let other = room.line();
    room.offer(other, 1, 1);
    room.offer(before, 2, 0);
    room.cut(before);
    let after = room.line();
    room.hello(after, json!({ "client": "test", "resume": key }));
    room.stands();
    room.stands();
    assert_eq!(
        (room.answers(other), room.answers(after)),
        (vec![(1, FinalAnswer::Stands)], vec![(2, FinalAnswer::Stands)])
    );
    assert_eq!(room.figures(), (0, 0));
}

#[test]
fn a_cut_session_with_more_to_hear_than_is_kept_is_over_and_its_client_is_told_so() {
    let mut room = Room::new(LimitsConfig { resume_texts: 3, ..LimitsConfig::default() });
    let (line, key) = room.opened();
    (1..=5).for_each(|call| room.offer(line, call, 0));
    room.cut(line);
    (0..5).for_each(|_| {
        if !room.far.set_ups.is_empty() {
            room.stands();
        }
    });
    assert!(
        room.wires.notes.iter().any(|note| note.contains("is over: 4 texts wait")),
        "{:?}",
        room.wires.notes
    );
    assert_eq!((room.exchange.status()["calls"].clone(), room.figures()), (json!(0), (0, 0)));
    let after = room.line();
    assert_eq!(room.hello(after, json!({ "client": "test", "resume": key }))["error"]["code"], -32004);
}

#[test]
fn a_call_is_cancelled_only_before_it_stands_and_asked_for_at_any_time() {
    let mut room = Room::new(unanswered(1));
    let line = room.line();
    let get = |room: &mut Room, call: u64| {
        room.ask(line, Request::Get(mintstall_callapi::Get { call }));
        room.wires.said.remove(&line).unwrap_or_default().pop().unwrap()
    };
    let state = |heard: ServerMessage| match heard {
        ServerMessage::Result { result, .. } => result["state"].as_str().unwrap().to_string(),
        ServerMessage::Error { code, .. } => code.to_string(),
        other => panic!("{other:?}"),
    };
    (1..=2).for_each(|call| room.offer(line, call, 0));
    assert_eq!((state(get(&mut room, 1)), state(get(&mut room, 2))), ("offered".into(), "waits".into()));
    room.stands();
    room.answers(line);
    assert_eq!((state(get(&mut room, 1)), state(get(&mut room, 2))), ("stands".into(), "offered".into()));
    let cancel = |room: &mut Room, call: u64| {
        room.ask(line, Request::Cancel(mintstall_callapi::Cancel { call }));
        room.wires.said.remove(&line).unwrap_or_default()
    };
    assert!(matches!(cancel(&mut room, 1)[..], [ServerMessage::Error { code: -32006, .. }]));
    let said = cancel(&mut room, 2);
    assert!(
        matches!(&said[..], [ServerMessage::Answered(a), ServerMessage::Result { .. }] if a.answer == FinalAnswer::Fails),
        "{said:?}"
    );
    assert_eq!((state(get(&mut room, 2)), state(get(&mut room, 9))), ("over".into(), "-32001".into()));
}

#[test]
fn requests_that_come_too_fast_are_told_when_to_come_back() {
    let limits = LimitsConfig { requests_per_s: 10.0, requests_at_once: 2.0, ..LimitsConfig::default() };
    let mut room = Room::new(limits);
    let line = room.line();
    let get = Request::Get(mintstall_callapi::Get { call: 1 });
    (0..3).for_each(|_| room.ask(line, get.clone()));
    let said = room.wires.said.remove(&line).unwrap();
    let codes = said.iter().map(|heard| match heard {
        ServerMessage::Error { code, retry_after_ms, .. } => (*code, retry_after_ms.is_some()),
        other => panic!("{other:?}"),
    });
    assert_eq!(codes.collect::<Vec<_>>(), [(-32001, false), (-32001, false), (-32005, true)]);
}

#[test]
fn a_trace_is_had_by_whoever_may_watch() {
    let mut room = Room::new(LimitsConfig::default());
    let line = room.line();
    room.offer(line, 1, 0);
    room.stands();
    let said = room.wires.said.remove(&line).unwrap();
    let [ServerMessage::Answered(answered)] = said[..] else { panic!("{said:?}") };
    let get = |exchange_call| Request::TraceGet(mintstall_callapi::TraceGet { exchange_call, origin: None });
    room.ask(line, get(answered.exchange_call));
    room.ask(line, get(77));
    let said = room.wires.said.remove(&line).unwrap();
    let [ServerMessage::Result { result, .. }, ServerMessage::Error { code: -32001, .. }] = &said[..] else {
        panic!("{said:?}")
    };
    let steps = result["traces"][0]["steps"].as_array().unwrap();
    let names: Vec<_> = steps.iter().map(|step| step["step"].as_str().unwrap()).collect();
    assert_eq!(names, ["offered", "seized", "stands", "answered"]);
}

#[test]
fn an_offer_that_comes_twice_is_told_the_first_answer_and_costs_no_second_call() {
    let mut room = Room::new(LimitsConfig::default());
    let (before, key) = room.opened();
    room.offer(before, 1, 0);
    room.stands();
    assert_eq!(room.answers(before), [(1, FinalAnswer::Stands)]);
    room.offer(before, 1, 0);
    assert_eq!((room.answers(before), room.far.set_ups.len()), (vec![(1, FinalAnswer::Stands)], 0));
    // On the connection after a cut too: it is the same session.
    room.cut(before);
    let after = room.line();
    room.hello(after, json!({ "client": "test", "resume": key }));
    room.offer(after, 1, 0);
    assert_eq!((room.answers(after), room.far.set_ups.len()), (vec![(1, FinalAnswer::Stands)], 0));
    assert_eq!(room.exchange.status()["counts"]["offered"], json!(1));
    room.ask(after, Request::Hangup(Hangup { call: 1 }));
    room.pass(Duration::from_secs(31));
    room.offer(after, 1, 0);
    assert_eq!(room.far.set_ups.len(), 1, "its number is free again");
}

#[test]
fn a_watcher_is_told_what_happens_to_calls_from_its_cursor_on() {
    let mut room = Room::new(LimitsConfig::default());
    let (caller, watcher) = (room.line(), room.line());
    let subscribe = |cursor: Option<u64>| Request::Subscribe(mintstall_callapi::Subscribe { cursor });
    for call in 1..=3 {
        room.offer(caller, call, 0);
        room.stands();
    }
    room.ask(watcher, subscribe(Some(2)));
    // The reply, then the second and third answers.
    assert_eq!(room.wires.said.remove(&watcher).unwrap_or_default().len(), 3);
    room.offer(caller, 4, 0);
    room.stands();
    assert_eq!(room.wires.said.remove(&watcher).unwrap_or_default().len(), 1);
    room.ask(watcher, subscribe(Some(99)));
    assert!(matches!(
        room.wires.said.remove(&watcher).unwrap()[..],
        [ServerMessage::Error { code: -32602, .. }]
    ));
}

#[test]
fn what_waits_for_its_turn_when_all_is_let_go_is_answered_too() {
    let mut room = Room::new(unanswered(2));
    let line = room.line();
    (0..3).for_each(|call| room.offer(line, call, 0));
    room.exchange.stop(&mut room.wires);
    // Offered while the stop waits for those that are out: nobody's turn comes any more.
    (3..6).for_each(|call| room.offer(line, call, 0));
    let now = room.now;
    room.exchange.release_all(now, &mut room.wires);
    let mut answers = room.answers(line);
    answers.sort_by_key(|(call, _)| *call);
    let calls: Vec<u64> = answers.iter().map(|(call, _)| *call).collect();
    assert_eq!(calls, [0, 1, 2, 3, 4, 5], "{answers:?}");
    assert_eq!(room.figures(), (0, 0));
}

#[test]
fn controllers_with_one_configured_seed_do_not_draw_alike() {
    let draw = |exchange: u16| mintstall::random::MwcRng::new(own_seed(exchange, 7)).next_f64();
    let thousandths: BTreeSet<u32> = (1..=100).map(|exchange| (draw(exchange) * 1e3) as u32).collect();
    assert!(thousandths.len() >= 90, "{thousandths:?}");
}
