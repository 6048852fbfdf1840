//! Admission of offers and resumption of sessions, through the exchange core with a far exchange that answers when a test
//! tells it to.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mintstall::interface::ExchangeNumber;
use mintstall_callapi::{FinalAnswer, Hangup, Offer, Request, RequestMessage, ServerMessage};
use mintstall_daemon::config::LimitsConfig;
use mintstall_daemon::exchange::{Exchange, LineId, Transport, own_seed};
use serde_json::json;

use common::{FAR_NUMBER, FarExchange};

#[derive(Default)]
struct RecordingTransport {
    messages: BTreeMap<LineId, Vec<ServerMessage>>,
    link_octets: Vec<Vec<u8>>,
    log: Vec<String>,
    closed_lines: Vec<LineId>,
}

impl Transport for RecordingTransport {
    fn send_to_link(&mut self, _: ExchangeNumber, octets: &[u8]) {
        self.link_octets.push(octets.to_vec());
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn send_to_line(&mut self, line: LineId, text: &str) {
        self.messages.entry(line).or_default().push(ServerMessage::read(text.as_bytes()).unwrap());
    }
    fn close_line(&mut self, line: LineId, _: &str) {
        self.closed_lines.push(line);
    }
    fn has_room(&self, _: LineId) -> bool {
        true
    }
    fn send_to_directory(&mut self, _: &str) {}
    fn log_info(&mut self, line: &str) {
        self.log.push(line.to_string());
    }
}

struct Harness {
    exchange: Exchange,
    transport: RecordingTransport,
    now: Duration,
    far: FarExchange,
}

impl Harness {
    fn new(limits: LimitsConfig) -> Self {
        let config = common::config(limits);
        let now = Duration::from_secs(3600);
        let exchange = Exchange::new(now, &config, 2, 1);
        let mut harness =
            Self { exchange, transport: RecordingTransport::default(), now, far: FarExchange::default() };
        harness.exchange.on_directory_notification(now, &mut harness.transport, &common::membership());
        harness.exchange.link_up(now, &mut harness.transport, FAR_NUMBER);
        harness.run_far_exchange();
        harness
    }

    /// Delivers link octets to the far exchange and its responses back. Set-ups wait for
    /// [`Harness::answer_oldest_set_up`].
    fn run_far_exchange(&mut self) {
        while !self.transport.link_octets.is_empty() {
            for octets in std::mem::take(&mut self.transport.link_octets) {
                let out = self.far.respond_to(&octets);
                self.exchange.link_octets(self.now, &mut self.transport, FAR_NUMBER, &out);
            }
        }
    }

    /// The far exchange answers its oldest set-up.
    fn answer_oldest_set_up(&mut self) {
        let out = self.far.answer_set_up(0);
        self.exchange.link_octets(self.now, &mut self.transport, FAR_NUMBER, &out);
        self.run_far_exchange();
    }

    fn open_line(&mut self) -> LineId {
        self.exchange.line_open(self.now).unwrap()
    }

    fn request(&mut self, line: LineId, request: Request) {
        let text = RequestMessage { id: Some(json!(1)), request }.text() + "\n";
        self.exchange.line_octets(self.now, &mut self.transport, line, text.as_bytes());
        self.run_far_exchange();
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
        self.request(line, Request::Offer(offer));
    }

    /// The final answers received on a line since the last call, with their call numbers.
    fn take_answers(&mut self, line: LineId) -> Vec<(u64, FinalAnswer)> {
        let messages = self.transport.messages.remove(&line).unwrap_or_default();
        let answer = |message| match message {
            ServerMessage::Answered(answered) => Some((answered.call, answered.answer)),
            _ => None,
        };
        messages.into_iter().filter_map(answer).collect()
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.exchange.next_timer().filter(|at| *at <= end) {
            self.now = at;
            self.exchange.on_timer(at, &mut self.transport);
            self.run_far_exchange();
        }
        self.now = end;
    }

    fn admission_counts(&self) -> (u64, u64) {
        let status = self.exchange.status();
        let count = |name: &str| status["admission"][name].as_u64().unwrap();
        (count("unanswered"), count("waiting"))
    }
}

fn max_unanswered(count: usize) -> LimitsConfig {
    LimitsConfig { unanswered: count, ..LimitsConfig::default() }
}

#[test]
fn offers_beyond_the_unanswered_limit_are_queued_and_admitted_as_answers_arrive() {
    let mut harness = Harness::new(max_unanswered(2));
    let line = harness.open_line();
    (1..=4).for_each(|call| harness.offer(line, call, 0));
    assert_eq!((harness.far.set_ups.len(), harness.admission_counts()), (2, (2, 2)));
    harness.answer_oldest_set_up();
    assert_eq!((harness.far.set_ups.len(), harness.admission_counts()), (2, (2, 1)));
    (0..3).for_each(|_| harness.answer_oldest_set_up());
    assert_eq!(harness.take_answers(line).len(), 4);
    assert_eq!(harness.admission_counts(), (0, 0));
    assert_eq!(harness.transport.log.iter().filter(|line| line.contains("admission")).count(), 2);
}

#[test]
fn a_customer_with_few_offers_is_served_beside_one_with_many() {
    let mut harness = Harness::new(max_unanswered(1));
    let (busy, quiet) = (harness.open_line(), harness.open_line());
    (1..=50).for_each(|call| harness.offer(busy, call, 1));
    harness.offer(quiet, 1, 2);
    (0..3).for_each(|_| harness.answer_oldest_set_up());
    assert_eq!(harness.take_answers(quiet), [(1, FinalAnswer::Stands)]);
}

#[test]
fn an_offer_queued_too_long_is_refused_once_with_a_retry_time() {
    let mut harness = Harness::new(max_unanswered(1));
    let line = harness.open_line();
    harness.offer(line, 1, 0);
    harness.offer(line, 2, 0);
    harness.advance(Duration::from_millis(760));
    let answers = harness.take_answers(line);
    assert!(
        matches!(answers[..], [(2, FinalAnswer::Refused { come_back_ms })] if come_back_ms >= 500),
        "{answers:?}"
    );
    harness.answer_oldest_set_up();
    assert_eq!(harness.take_answers(line), [(1, FinalAnswer::Stands)]);
    harness.advance(Duration::from_secs(5));
    assert_eq!((harness.take_answers(line), harness.admission_counts()), (vec![], (0, 0)));
}

#[test]
fn a_closed_line_frees_its_places_and_the_next_offer_is_admitted() {
    let mut harness = Harness::new(max_unanswered(1));
    let (closed, open) = (harness.open_line(), harness.open_line());
    (1..=3).for_each(|call| harness.offer(closed, call, 0));
    harness.offer(open, 1, 1);
    harness.exchange.line_disconnected(harness.now, &mut harness.transport, closed);
    harness.run_far_exchange();
    assert_eq!(
        (harness.far.set_ups.len(), harness.admission_counts()),
        (1, (1, 0)),
        "the other line's call is set up"
    );
    harness.answer_oldest_set_up();
    assert_eq!(harness.take_answers(open), [(1, FinalAnswer::Stands)]);
    harness.request(open, Request::Hangup(Hangup { call: 1 }));
    let status = harness.exchange.status();
    assert_eq!((&status["calls"], harness.admission_counts()), (&json!(0), (0, 0)));
}

#[test]
fn hanging_up_a_queued_call_is_answered_at_once_and_makes_no_seizure() {
    let mut harness = Harness::new(max_unanswered(1));
    let line = harness.open_line();
    harness.offer(line, 1, 0);
    harness.offer(line, 2, 0);
    harness.request(line, Request::Hangup(Hangup { call: 2 }));
    assert_eq!(harness.take_answers(line), [(2, FinalAnswer::Fails)]);
    harness.answer_oldest_set_up();
    assert_eq!((harness.far.set_ups.len(), harness.admission_counts()), (0, (0, 0)));
}

#[test]
fn offers_beyond_the_rate_of_a_line_are_refused_and_its_other_calls_continue() {
    let limits = LimitsConfig { offers_per_s: 10.0, offers_at_once: 3.0, ..LimitsConfig::default() };
    let mut harness = Harness::new(limits);
    let line = harness.open_line();
    (1..=5).for_each(|call| harness.offer(line, call, 0));
    let refused: Vec<_> = harness.take_answers(line).into_iter().map(|(call, _)| call).collect();
    assert_eq!((harness.far.set_ups.len(), refused), (3, vec![4, 5]));
    (0..3).for_each(|_| harness.answer_oldest_set_up());
    assert_eq!(harness.take_answers(line).len(), 3);
}

#[test]
fn lines_opened_too_fast_are_refused_with_a_retry_time() {
    let limits =
        LimitsConfig { opens_per_s: 10.0, opens_at_once: 2.0, sessions: 3, ..LimitsConfig::default() };
    let mut harness = Harness::new(limits);
    assert!(
        harness.exchange.line_open(harness.now).is_ok() && harness.exchange.line_open(harness.now).is_ok()
    );
    assert!(harness.exchange.line_open(harness.now).unwrap_err().error_response().contains("come back in"));
    harness.now += Duration::from_secs(1);
    assert!(harness.exchange.line_open(harness.now).is_ok());
    assert!(
        harness.exchange.line_open(harness.now).unwrap_err().error_response().contains("3 lines are open")
    );
}

#[test]
fn a_stop_refuses_queued_offers_and_answers_calls_being_set_up() {
    let mut harness = Harness::new(max_unanswered(1));
    let line = harness.open_line();
    harness.offer(line, 1, 0);
    harness.offer(line, 2, 0);
    harness.exchange.stop(&mut harness.transport);
    assert!(matches!(harness.take_answers(line)[..], [(2, FinalAnswer::Refused { .. })]));
    harness.offer(line, 3, 0);
    harness.answer_oldest_set_up();
    let answers: BTreeMap<_, _> = harness.take_answers(line).into_iter().collect();
    assert_eq!(answers.get(&1), Some(&FinalAnswer::Stands));
    assert!(matches!(answers.get(&3), Some(FinalAnswer::Refused { .. })), "{answers:?}");
}

impl Harness {
    /// Sends `session.hello` and returns the response; later messages are recorded as usual.
    fn hello(&mut self, line: LineId, hello: serde_json::Value) -> serde_json::Value {
        let text = json!({ "jsonrpc": "2.0", "id": 0, "method": "session.hello", "params": hello })
            .to_string()
            + "\n";
        let mut raw = RawMessages { transport: &mut self.transport, texts: Vec::new() };
        self.exchange.line_octets(self.now, &mut raw, line, text.as_bytes());
        let texts = raw.texts;
        let mut texts = texts.into_iter();
        let response: serde_json::Value = serde_json::from_str(&texts.next().unwrap()).unwrap();
        for text in texts {
            self.transport.send_to_line(line, &text);
        }
        response
    }

    fn open_resumable_line(&mut self) -> (LineId, String) {
        let line = self.open_line();
        let response = self.hello(line, json!({ "client": "test", "resumable": true }));
        (line, response["result"]["session"].as_str().unwrap().to_string())
    }

    fn disconnect(&mut self, line: LineId) {
        self.exchange.line_disconnected(self.now, &mut self.transport, line);
        self.run_far_exchange();
    }
}

/// Records the messages of a line as text, and passes everything else to the recording transport.
struct RawMessages<'a> {
    transport: &'a mut RecordingTransport,
    texts: Vec<String>,
}

impl Transport for RawMessages<'_> {
    fn send_to_link(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.transport.send_to_link(to, octets);
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn send_to_line(&mut self, _: LineId, text: &str) {
        self.texts.push(text.to_string());
    }
    fn close_line(&mut self, line: LineId, why: &str) {
        self.transport.close_line(line, why);
    }
    fn has_room(&self, _: LineId) -> bool {
        true
    }
    fn send_to_directory(&mut self, _: &str) {}
    fn log_info(&mut self, line: &str) {
        self.transport.log_info(line);
    }
}

#[test]
fn a_resumed_session_receives_the_answers_given_while_it_was_disconnected_once() {
    let mut harness = Harness::new(max_unanswered(1));
    let (before, key) = harness.open_resumable_line();
    harness.offer(before, 1, 0);
    harness.offer(before, 2, 0);
    harness.disconnect(before);
    harness.answer_oldest_set_up();
    harness.answer_oldest_set_up();
    assert_eq!(harness.take_answers(before), [], "the line is disconnected");
    let after = harness.open_line();
    let response = harness.hello(after, json!({ "client": "test", "resume": key }));
    let calls = response["result"]["calls"].as_array().unwrap();
    let calls: Vec<_> = calls.iter().map(|call| (&call["call"], &call["state"])).collect();
    assert_eq!(calls, [(&json!(1), &json!("stands")), (&json!(2), &json!("stands"))]);
    assert_eq!(response["result"]["owed"], json!(2));
    assert_eq!(harness.take_answers(after), [(1, FinalAnswer::Stands), (2, FinalAnswer::Stands)]);
    assert_eq!((harness.take_answers(after), harness.admission_counts()), (vec![], (0, 0)));
    // The calls belong to the new line, which hangs them up.
    harness.request(after, Request::Hangup(Hangup { call: 1 }));
    harness.request(after, Request::Hangup(Hangup { call: 2 }));
    assert_eq!(harness.exchange.status()["calls"], json!(0));
    // A client with the key gets the session even if the loss of the previous connection is not detected yet; the previous
    // connection is closed.
    let third = harness.open_line();
    assert_eq!(
        harness.hello(third, json!({ "client": "test", "resume": key }))["result"]["calls"],
        json!([])
    );
    assert_eq!(harness.transport.closed_lines, [after]);
    harness.disconnect(after);
    harness.offer(third, 3, 0);
    harness.answer_oldest_set_up();
    assert_eq!(
        (harness.take_answers(after), harness.take_answers(third)),
        (vec![], vec![(3, FinalAnswer::Stands)])
    );
    assert_eq!(harness.hello(third, json!({ "client": "test", "resume": key }))["error"]["code"], -32602);
}

#[test]
fn the_calls_of_a_session_that_is_not_resumed_in_time_are_hung_up() {
    let mut harness = Harness::new(LimitsConfig { resume_ms: 2000, ..LimitsConfig::default() });
    let (line, key) = harness.open_resumable_line();
    harness.offer(line, 1, 0);
    harness.answer_oldest_set_up();
    harness.take_answers(line);
    harness.disconnect(line);
    harness.advance(Duration::from_millis(1900));
    assert_eq!(harness.exchange.status()["calls"], json!(1));
    harness.advance(Duration::from_millis(200));
    let status = harness.exchange.status();
    assert_eq!(
        (&status["calls"], &status["lines"], &status["admission"]["kept_sessions"]),
        (&json!(0), &json!(0), &json!(0))
    );
    let late = harness.open_line();
    assert_eq!(harness.hello(late, json!({ "client": "test", "resume": key }))["error"]["code"], -32004);
    assert_eq!(harness.hello(late, json!({ "client": "test", "resume": "no key" }))["error"]["code"], -32602);
}

#[test]
fn a_resumed_session_keeps_its_place_in_the_queue() {
    let mut harness = Harness::new(max_unanswered(1));
    let (before, key) = harness.open_resumable_line();
    let other = harness.open_line();
    harness.offer(other, 1, 1);
    harness.offer(before, 2, 0);
    harness.disconnect(before);
    let after = harness.open_line();
    harness.hello(after, json!({ "client": "test", "resume": key }));
    harness.answer_oldest_set_up();
    harness.answer_oldest_set_up();
    assert_eq!(
        (harness.take_answers(other), harness.take_answers(after)),
        (vec![(1, FinalAnswer::Stands)], vec![(2, FinalAnswer::Stands)])
    );
    assert_eq!(harness.admission_counts(), (0, 0));
}

#[test]
fn a_disconnected_session_whose_backlog_overflows_ends_and_cannot_be_resumed() {
    let mut harness = Harness::new(LimitsConfig { resume_texts: 3, ..LimitsConfig::default() });
    let (line, key) = harness.open_resumable_line();
    (1..=5).for_each(|call| harness.offer(line, call, 0));
    harness.disconnect(line);
    (0..5).for_each(|_| {
        if !harness.far.set_ups.is_empty() {
            harness.answer_oldest_set_up();
        }
    });
    assert!(
        harness.transport.log.iter().any(|line| line.contains("ended: 4 messages wait")),
        "{:?}",
        harness.transport.log
    );
    assert_eq!((harness.exchange.status()["calls"].clone(), harness.admission_counts()), (json!(0), (0, 0)));
    let after = harness.open_line();
    assert_eq!(harness.hello(after, json!({ "client": "test", "resume": key }))["error"]["code"], -32004);
}

#[test]
fn a_call_can_be_cancelled_only_before_it_stands_and_queried_at_any_time() {
    let mut harness = Harness::new(max_unanswered(1));
    let line = harness.open_line();
    let get = |harness: &mut Harness, call: u64| {
        harness.request(line, Request::Get(mintstall_callapi::Get { call }));
        harness.transport.messages.remove(&line).unwrap_or_default().pop().unwrap()
    };
    let state = |message: ServerMessage| match message {
        ServerMessage::Result { result, .. } => result["state"].as_str().unwrap().to_string(),
        ServerMessage::Fault { code, .. } => code.to_string(),
        other => panic!("{other:?}"),
    };
    (1..=2).for_each(|call| harness.offer(line, call, 0));
    assert_eq!(
        (state(get(&mut harness, 1)), state(get(&mut harness, 2))),
        ("offered".into(), "waits".into())
    );
    harness.answer_oldest_set_up();
    harness.take_answers(line);
    assert_eq!(
        (state(get(&mut harness, 1)), state(get(&mut harness, 2))),
        ("stands".into(), "offered".into())
    );
    let cancel = |harness: &mut Harness, call: u64| {
        harness.request(line, Request::Cancel(mintstall_callapi::Cancel { call }));
        harness.transport.messages.remove(&line).unwrap_or_default()
    };
    assert!(matches!(cancel(&mut harness, 1)[..], [ServerMessage::Fault { code: -32006, .. }]));
    let messages = cancel(&mut harness, 2);
    assert!(
        matches!(&messages[..], [ServerMessage::Answered(a), ServerMessage::Result { .. }] if a.answer == FinalAnswer::Fails),
        "{messages:?}"
    );
    assert_eq!((state(get(&mut harness, 2)), state(get(&mut harness, 9))), ("over".into(), "-32001".into()));
}

#[test]
fn requests_beyond_the_rate_are_refused_with_a_retry_time() {
    let limits = LimitsConfig { requests_per_s: 10.0, requests_at_once: 2.0, ..LimitsConfig::default() };
    let mut harness = Harness::new(limits);
    let line = harness.open_line();
    let get = Request::Get(mintstall_callapi::Get { call: 1 });
    (0..3).for_each(|_| harness.request(line, get.clone()));
    let messages = harness.transport.messages.remove(&line).unwrap();
    let codes = messages.iter().map(|message| match message {
        ServerMessage::Fault { code, come_back_ms, .. } => (*code, come_back_ms.is_some()),
        other => panic!("{other:?}"),
    });
    assert_eq!(codes.collect::<Vec<_>>(), [(-32001, false), (-32001, false), (-32005, true)]);
}

#[test]
fn a_client_that_may_watch_gets_traces() {
    let mut harness = Harness::new(LimitsConfig::default());
    let line = harness.open_line();
    harness.offer(line, 1, 0);
    harness.answer_oldest_set_up();
    let messages = harness.transport.messages.remove(&line).unwrap();
    let [ServerMessage::Answered(answered)] = messages[..] else { panic!("{messages:?}") };
    let get = |exchange_call| Request::TraceGet(mintstall_callapi::TraceGet { exchange_call, origin: None });
    harness.request(line, get(answered.exchange_call));
    harness.request(line, get(77));
    let messages = harness.transport.messages.remove(&line).unwrap();
    let [ServerMessage::Result { result, .. }, ServerMessage::Fault { code: -32001, .. }] = &messages[..]
    else {
        panic!("{messages:?}")
    };
    let steps = result["traces"][0]["steps"].as_array().unwrap();
    let names: Vec<_> = steps.iter().map(|step| step["step"].as_str().unwrap()).collect();
    assert_eq!(names, ["offered", "seized", "stands", "answered"]);
}

#[test]
fn a_repeated_offer_gets_the_first_answer_and_makes_no_second_call() {
    let mut harness = Harness::new(LimitsConfig::default());
    let (before, key) = harness.open_resumable_line();
    harness.offer(before, 1, 0);
    harness.answer_oldest_set_up();
    assert_eq!(harness.take_answers(before), [(1, FinalAnswer::Stands)]);
    harness.offer(before, 1, 0);
    assert_eq!(
        (harness.take_answers(before), harness.far.set_ups.len()),
        (vec![(1, FinalAnswer::Stands)], 0)
    );
    // The same holds on a new connection of the resumed session.
    harness.disconnect(before);
    let after = harness.open_line();
    harness.hello(after, json!({ "client": "test", "resume": key }));
    harness.offer(after, 1, 0);
    assert_eq!((harness.take_answers(after), harness.far.set_ups.len()), (vec![(1, FinalAnswer::Stands)], 0));
    assert_eq!(harness.exchange.status()["counts"]["offered"], json!(1));
    harness.request(after, Request::Hangup(Hangup { call: 1 }));
    harness.advance(Duration::from_secs(31));
    harness.offer(after, 1, 0);
    assert_eq!(harness.far.set_ups.len(), 1, "its number is free again");
}

#[test]
fn a_watcher_receives_call_events_from_its_cursor_on() {
    let mut harness = Harness::new(LimitsConfig::default());
    let (caller, watcher) = (harness.open_line(), harness.open_line());
    let subscribe = |cursor: Option<u64>| Request::Subscribe(mintstall_callapi::Subscribe { cursor });
    for call in 1..=3 {
        harness.offer(caller, call, 0);
        harness.answer_oldest_set_up();
    }
    harness.request(watcher, subscribe(Some(2)));
    // The response, then the events of the second and the third answer.
    assert_eq!(harness.transport.messages.remove(&watcher).unwrap_or_default().len(), 3);
    harness.offer(caller, 4, 0);
    harness.answer_oldest_set_up();
    assert_eq!(harness.transport.messages.remove(&watcher).unwrap_or_default().len(), 1);
    harness.request(watcher, subscribe(Some(99)));
    assert!(matches!(
        harness.transport.messages.remove(&watcher).unwrap()[..],
        [ServerMessage::Fault { code: -32602, .. }]
    ));
}

#[test]
fn offers_queued_when_all_calls_are_released_are_answered_too() {
    let mut harness = Harness::new(max_unanswered(2));
    let line = harness.open_line();
    (0..3).for_each(|call| harness.offer(line, call, 0));
    harness.exchange.stop(&mut harness.transport);
    // Offers during the stop, while it waits for the calls being set up: none is admitted any more.
    (3..6).for_each(|call| harness.offer(line, call, 0));
    let now = harness.now;
    harness.exchange.release_all(now, &mut harness.transport);
    let mut answers = harness.take_answers(line);
    answers.sort_by_key(|(call, _)| *call);
    let calls: Vec<u64> = answers.iter().map(|(call, _)| *call).collect();
    assert_eq!(calls, [0, 1, 2, 3, 4, 5], "{answers:?}");
    assert_eq!(harness.admission_counts(), (0, 0));
}

#[test]
fn controllers_with_the_same_configured_seed_draw_different_numbers() {
    let draw = |exchange: u16| mintstall::random::MwcRng::new(own_seed(exchange, 7)).next_f64();
    let thousandths: BTreeSet<u32> = (1..=100).map(|exchange| (draw(exchange) * 1e3) as u32).collect();
    assert!(thousandths.len() >= 90, "{thousandths:?}");
}
