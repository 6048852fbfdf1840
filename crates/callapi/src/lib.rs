//! Call-control messages: parses JSON-RPC 2.0 texts to types and writes them, without I/O.
//!
//! A subscriber line carries one message per line of text ([`LineDecoder`]), a WebSocket connection one per WebSocket
//! message. The client names a call by its own number, which is unique in the session; answers also carry the number that
//! the exchange gave the call. The reference for authors of clients is `docs/call-control.md`; the tests of this crate
//! check its examples.

mod line_decoder;
mod schema;

use std::borrow::Cow;

use schemars::JsonSchema;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};

pub use line_decoder::{LineDecoder, LineTooLong};
pub use schema::schema;

/// `call.offer`: requests a call. The result is the call's only final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The client's own number for the call. No other call of the session may be using it.
    pub call: u64,
    /// Index in the configuration's list of call types.
    #[serde(rename = "type", default)]
    pub call_type: u8,
    /// The customer to which the calling subscriber belongs.
    #[serde(default)]
    pub customer: u16,
    /// The number of the destination exchange.
    pub dest: u16,
    /// The number dialled at the destination exchange.
    pub number: u64,
    /// How long the caller waits for the final answer, in milliseconds.
    pub time_left_ms: u32,
    /// The tandem exchange that a routing centre advises.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advised: Option<u16>,
    /// The call was standing, was cut, and is offered again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cut: bool,
    /// The caller redials.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub redial: bool,
}

/// `call.hangup`: the caller gives up an unanswered call, or ends a standing one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hangup {
    pub call: u64,
}

/// `call.cancel`: gives up an unanswered call; its final answer is `fails` and is sent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    pub call: u64,
}

/// `call.get`: requests the state of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Get {
    pub call: u64,
}

/// `trace.get`: requests the recorded steps of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TraceGet {
    /// The number given to the call by the exchange to which it was offered.
    pub exchange_call: u64,
    /// The number of that exchange, if it is not this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<u16>,
}

/// The result of `trace.get`: the steps of the call at this exchange, oldest first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Traced")]
#[serde(expecting = "struct Traced")]
pub struct TraceResult {
    pub traces: Vec<CallTrace>,
}

/// The trace of a call through one exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct CallTrace {
    /// The number of the call at this exchange.
    pub call: u64,
    /// The exchange to which the call was offered; `origin_call` is the number that it gave the call.
    pub origin: u16,
    pub origin_call: u64,
    #[serde(rename = "type")]
    pub call_type: u8,
    pub customer: u16,
    pub dest: u16,
    pub number: u64,
    /// How many steps were not recorded for lack of room.
    pub left_out: u32,
    /// Each step has its name in `step`, the milliseconds since the first step in `at_ms`, and fields of its own.
    pub steps: Vec<Value>,
}

/// The result of `call.get`; `session.hello` also lists one for each call resumed with the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallState {
    pub call: u64,
    /// The number that the exchange gave the call; 0 while the call is queued for admission.
    pub exchange_call: u64,
    #[serde(flatten)]
    pub state: CallStatus,
}

/// The state of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "state", rename_all = "snake_case")]
#[schemars(rename = "State")]
pub enum CallStatus {
    /// Queued for admission.
    Waits,
    /// A route is being chosen or tried.
    Offered,
    Stands,
    /// No longer in hand. `answer` was its final answer.
    Over {
        answer: FinalAnswer,
    },
}

/// `session.hello`: identifies the client, where the controller requires it, and sets up or resumes a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// The client's name for the log.
    pub client: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// Asks that the session be kept for some time after a lost connection. The result carries the session's key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub resumable: bool,
    /// The key of a session to resume here after a lost connection. Must come before any other request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<String>,
}

/// The result of `session.hello`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Welcome")]
pub struct HelloResult {
    pub server: String,
    pub version: String,
    pub exchange: u16,
    /// The name of the token, if the client presented one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    pub limits: SessionLimits,
    /// The session's key, if the session is resumable.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
    /// Calls in hand that were resumed with the session.
    pub calls: Vec<CallState>,
    /// How many messages became due while the connection was lost. They follow this result.
    #[serde(rename = "owed")]
    pub pending_messages: usize,
}

/// The limits of a session at this exchange. Requests beyond them are answered by errors or by refused calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct SessionLimits {
    /// Calls in hand per session.
    pub calls_a_session: usize,
    /// Calls in hand per customer.
    pub calls_a_customer: usize,
    /// Offers per second.
    pub offers_per_s: f64,
    /// Requests of any kind per second, offers included.
    pub requests_per_s: f64,
    /// The maximum length of a message in octets.
    pub text_octets: usize,
    /// How long a resumable session is kept after its connection is lost, in milliseconds.
    pub kept_ms: u64,
    /// How long a final answer is kept for an offer that is repeated under the same number, in milliseconds.
    pub repeat_ms: u64,
}

/// The result of `calls.subscribe`: the number of the first event that will be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Subscribed")]
#[serde(expecting = "struct Subscribed")]
pub struct SubscribeResult {
    pub cursor: u64,
}

/// The result of `call.hangup` and `call.cancel`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Done")]
pub struct CallAck {
    pub call: u64,
}

/// `calls.subscribe`: subscribes to the events of calls, sent as `call.news`, from now on or from a cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Subscribe {
    /// The number of the first event wanted: one more than that of the last event received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cursor: Option<u64>,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "method", content = "params")]
pub enum Request {
    #[serde(rename = "calls.subscribe")]
    Subscribe(Subscribe),
    #[serde(rename = "session.hello")]
    Hello(Hello),
    #[serde(rename = "call.offer")]
    Offer(Offer),
    #[serde(rename = "call.hangup")]
    Hangup(Hangup),
    #[serde(rename = "call.cancel")]
    Cancel(Cancel),
    #[serde(rename = "call.get")]
    Get(Get),
    #[serde(rename = "trace.get")]
    TraceGet(TraceGet),
}

/// A request with its JSON-RPC id, which the reply repeats. A request without an id gets no reply.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMessage {
    pub id: Option<Value>,
    pub request: Request,
}

/// The final answer of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "answer", rename_all = "snake_case")]
#[schemars(rename = "Final")]
pub enum FinalAnswer {
    Stands,
    /// Nothing was done for the call. `come_back_ms`: wait before a redial, in milliseconds (0: not stated).
    Refused {
        come_back_ms: u32,
    },
    Fails,
}

/// The result of `call.offer`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Answered")]
pub struct OfferResult {
    pub call: u64,
    /// The number that the exchange gave the call.
    pub exchange_call: u64,
    #[serde(flatten)]
    pub answer: FinalAnswer,
}

/// An event of a call, as sent in `call.news`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallEvent {
    pub exchange_call: u64,
    pub customer: u16,
    #[serde(flatten)]
    pub what: CallEventKind,
}

/// Notification `call.news`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "NewsNote")]
#[serde(expecting = "struct NewsNote")]
pub struct CallNewsNotification {
    /// One more than the number of the previous event, even if this session may not see that event.
    pub number: u64,
    pub event: CallEvent,
}

/// Notification `call.news.missed`: `count` events were dropped because the client read too slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "MissedNote")]
#[serde(expecting = "struct MissedNote")]
pub struct NewsMissedNotification {
    pub count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
#[schemars(rename = "Happened")]
#[serde(expecting = "data did not match any variant of untagged enum Happened")]
pub enum CallEventKind {
    Answered(FinalAnswer),
    Ended { ended: EndReason },
}

/// How a standing call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "How")]
pub enum EndReason {
    HungUp,
    Released,
    Cut,
}

/// Notification `call.ended`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "EndedNote")]
#[serde(expecting = "struct EndedNote")]
pub struct CallEndedNotification {
    pub call: u64,
    pub how: EndReason,
}

/// Why a request was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RpcError {
    pub code: i32,
    pub text: String,
    /// The wait until the request may be repeated, in milliseconds. Sent as `data.come_back_ms`.
    pub retry_after_ms: Option<u64>,
}

/// Error codes: those of JSON-RPC 2.0 clause 5.1, and those of this protocol below -32000.
pub mod code {
    pub const PARSE: i32 = -32700;
    pub const INVALID_REQUEST: i32 = -32600;
    pub const NO_SUCH_METHOD: i32 = -32601;
    pub const INVALID_PARAMS: i32 = -32602;
    /// There is no such call.
    pub const UNKNOWN_CALL: i32 = -32001;
    /// Another call of the session uses the client's number.
    pub const NUMBER_IN_USE: i32 = -32002;
    /// There are too many calls, or too many connections are open.
    pub const LIMIT_EXCEEDED: i32 = -32003;
    /// The session's token does not allow the request, or the session has no token.
    pub const DENIED: i32 = -32004;
    /// The request rate is too high. `data.come_back_ms` is the wait until the next request is accepted.
    pub const RATE_LIMITED: i32 = -32005;
    /// The call stands, so it can be hung up but not cancelled.
    pub const CALL_STANDS: i32 = -32006;

    /// All codes with their meanings, for the schema and the reference.
    pub const ALL: [(i32, &str); 10] = [
        (PARSE, "the text is not JSON"),
        (INVALID_REQUEST, "the text is no request of JSON-RPC 2.0; batches are not taken"),
        (NO_SUCH_METHOD, "no such method"),
        (
            INVALID_PARAMS,
            "the parameters are not the method's, or a key or cursor is none that can be followed",
        ),
        (UNKNOWN_CALL, "no such call is known"),
        (NUMBER_IN_USE, "the number is in use by another call of the session"),
        (LIMIT_EXCEEDED, "too many calls are in hand, or too many connections are open"),
        (DENIED, "the token does not allow it, or there is none"),
        (RATE_LIMITED, "requests come too fast; data.come_back_ms says when the next is read"),
        (CALL_STANDS, "the call stands: it is hung up, not cancelled"),
    ];
}

impl RpcError {
    pub fn new(code: i32, text: impl Into<String>) -> Self {
        Self { code, text: text.into(), retry_after_ms: None }
    }
}

impl RequestMessage {
    /// Parses one message. An error comes with the id for the reply: null if the message has none that can be used.
    pub fn read(text: &[u8]) -> Result<Self, (Value, RpcError)> {
        let raw: RawRequest = match serde_json::from_slice(text) {
            Ok(raw) => raw,
            Err(error) => {
                return Err((Value::Null, RpcError::new(syntax_error_code(text), error.to_string())));
            }
        };
        let id = raw.id.map(|id| serde_json::from_str::<Value>(id.get()).unwrap_or(Value::Null));
        let fail = |code, text: &str| (id.clone().unwrap_or(Value::Null), RpcError::new(code, text));
        if !matches!(id, None | Some(Value::Null | Value::String(_) | Value::Number(_))) {
            return Err((Value::Null, RpcError::new(code::INVALID_REQUEST, "id is neither text nor number")));
        }
        if raw.jsonrpc.as_deref() != Some("2.0") {
            return Err(fail(code::INVALID_REQUEST, "jsonrpc is not \"2.0\""));
        }
        let Some(method) = raw.method else { return Err(fail(code::INVALID_REQUEST, "method is missing")) };
        let params = raw.params.map_or("null", RawValue::get);
        let request = match &*method {
            "calls.subscribe" => serde_json::from_str(params).map(Request::Subscribe),
            "session.hello" => serde_json::from_str(params).map(Request::Hello),
            "call.offer" => serde_json::from_str(params).map(Request::Offer),
            "call.hangup" => serde_json::from_str(params).map(Request::Hangup),
            "call.cancel" => serde_json::from_str(params).map(Request::Cancel),
            "call.get" => serde_json::from_str(params).map(Request::Get),
            "trace.get" => serde_json::from_str(params).map(Request::TraceGet),
            other => return Err(fail(code::NO_SUCH_METHOD, &format!("no method {other:?}"))),
        };
        match request {
            Ok(request) => Ok(Self { id, request }),
            Err(error) => Err(fail(code::INVALID_PARAMS, &error.to_string())),
        }
    }

    pub fn text(&self) -> String {
        #[derive(Serialize)]
        struct Text<'a> {
            jsonrpc: &'static str,
            #[serde(skip_serializing_if = "Option::is_none")]
            id: &'a Option<Value>,
            #[serde(flatten)]
            request: &'a Request,
        }
        text(&Text { jsonrpc: "2.0", id: &self.id, request: &self.request })
    }
}

/// The parts of a request before they are checked.
#[derive(Deserialize)]
#[serde(expecting = "struct RawAsked")]
struct RawRequest<'a> {
    #[serde(borrow, default)]
    jsonrpc: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    id: Option<&'a RawValue>,
    #[serde(borrow, default)]
    method: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    params: Option<&'a RawValue>,
}

/// The error code for a text that is not a request: it depends on whether the text is JSON at all.
fn syntax_error_code(text: &[u8]) -> i32 {
    match serde_json::from_slice::<IgnoredAny>(text) {
        Ok(_) => code::INVALID_REQUEST,
        Err(_) => code::PARSE,
    }
}

/// The types of this crate always serialize, so the fallback is never used.
fn text(message: &impl Serialize) -> String {
    serde_json::to_string(message).unwrap_or_default()
}

pub fn result_text(id: &Value, result: impl Serialize) -> String {
    #[derive(Serialize)]
    struct Text<'a, R> {
        jsonrpc: &'static str,
        id: &'a Value,
        result: R,
    }
    text(&Text { jsonrpc: "2.0", id, result })
}

pub fn error_text(id: &Value, error: &RpcError) -> String {
    let mut object = json!({ "code": error.code, "message": error.text });
    if let Some(wait) = error.retry_after_ms {
        object["data"] = json!({ "come_back_ms": wait });
    }
    text(&json!({ "jsonrpc": "2.0", "id": id, "error": object }))
}

pub fn notification_text(method: &str, params: impl Serialize) -> String {
    #[derive(Serialize)]
    struct Text<'a, P> {
        jsonrpc: &'static str,
        method: &'a str,
        params: P,
    }
    text(&Text { jsonrpc: "2.0", method, params })
}

pub fn ended_text(notification: &CallEndedNotification) -> String {
    notification_text("call.ended", notification)
}

/// A message from the server: a result, an error or a notification.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    Answered(OfferResult),
    /// The result of a request other than `call.offer`.
    Result {
        id: Value,
        result: Value,
    },
    Error {
        id: Value,
        code: i64,
        message: String,
        retry_after_ms: Option<u64>,
    },
    Ended(CallEndedNotification),
    News(CallNewsNotification),
    Missed(NewsMissedNotification),
    /// A notification that this version does not know; it is ignored.
    Other(String),
}

impl ServerMessage {
    pub fn read(text: &[u8]) -> serde_json::Result<Self> {
        #[derive(Deserialize)]
        struct Raw<'a> {
            #[serde(borrow, default)]
            result: Option<&'a RawValue>,
            #[serde(default)]
            error: Option<Error>,
            #[serde(default)]
            id: Value,
            #[serde(borrow, default)]
            method: Option<Cow<'a, str>>,
            #[serde(borrow, default)]
            params: Option<&'a RawValue>,
        }
        #[derive(Deserialize)]
        struct Error {
            code: i64,
            message: String,
            #[serde(default)]
            data: Value,
        }
        let raw: Raw = serde_json::from_slice(text)?;
        let params = raw.params.map_or("null", RawValue::get);
        match raw.method.as_deref() {
            None => {}
            Some("call.ended") => return serde_json::from_str(params).map(Self::Ended),
            Some("call.news") => return serde_json::from_str(params).map(Self::News),
            Some("call.news.missed") => return serde_json::from_str(params).map(Self::Missed),
            Some(other) => return Ok(Self::Other(other.to_string())),
        }
        if let Some(Error { code, message, data }) = raw.error {
            let retry_after_ms = data["come_back_ms"].as_u64();
            return Ok(Self::Error { id: raw.id, code, message, retry_after_ms });
        }
        let result = raw.result.map_or("null", RawValue::get);
        match serde_json::from_str(result) {
            Ok(answer) => Ok(Self::Answered(answer)),
            _ => Ok(Self::Result { id: raw.id, result: serde_json::from_str(result)? }),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_offer_survives_parsing_and_writing() {
        let text = br#"{"jsonrpc":"2.0","id":7,"method":"call.offer","params":{"call":1,"dest":4,"number":55,"time_left_ms":3000}}"#;
        let message = RequestMessage::read(text).unwrap();
        assert!(matches!(&message.request, Request::Offer(offer) if offer.dest == 4 && offer.call_type == 0));
        assert_eq!(RequestMessage::read(message.text().as_bytes()).unwrap(), message);
    }

    #[test]
    fn each_kind_of_invalid_request_has_its_error_code_and_reply_id() {
        let code = |text: &str| {
            RequestMessage::read(text.as_bytes()).map_err(|(id, error)| (id, error.code)).unwrap_err()
        };
        assert_eq!(code("{"), (Value::Null, code::PARSE));
        assert_eq!(code("[]"), (Value::Null, code::INVALID_REQUEST));
        assert_eq!(code(r#"{"id":3,"method":"call.offer"}"#), (json!(3), code::INVALID_REQUEST));
        assert_eq!(code(r#"{"jsonrpc":"2.0","id":"a","method":"x"}"#), (json!("a"), code::NO_SUCH_METHOD));
        let extra = r#"{"jsonrpc":"2.0","id":1,"method":"call.hangup","params":{"call":1,"more":2}}"#;
        assert_eq!(code(extra), (json!(1), code::INVALID_PARAMS));
    }

    #[test]
    fn answers_and_call_ends_survive_writing_and_parsing() {
        let answer =
            OfferResult { call: 3, exchange_call: 9, answer: FinalAnswer::Refused { come_back_ms: 500 } };
        assert_eq!(
            ServerMessage::read(result_text(&json!(3), answer).as_bytes()).unwrap(),
            ServerMessage::Answered(answer)
        );
        let notification = CallEndedNotification { call: 3, how: EndReason::Cut };
        assert_eq!(
            ServerMessage::read(ended_text(&notification).as_bytes()).unwrap(),
            ServerMessage::Ended(notification)
        );
    }

    /// The examples in the reference for one direction: `--> ` to the server, `<-- ` from it.
    fn examples(direction: &str) -> Vec<&'static str> {
        let page = include_str!("../../../docs/call-control.md");
        page.lines().filter_map(|line| line.strip_prefix("    ")?.strip_prefix(direction)).collect()
    }

    #[test]
    fn the_reference_shows_every_method_and_its_requests_are_parsed() {
        let mut methods = std::collections::BTreeSet::new();
        for text in examples("--> ") {
            let message = RequestMessage::read(text.as_bytes())
                .unwrap_or_else(|(_, error)| panic!("{text}: {error:?}"));
            // The parsed request is written with the same parameters.
            let (shown, written): (Value, Value) =
                (serde_json::from_str(text).unwrap(), serde_json::from_str(&message.text()).unwrap());
            methods.insert(shown["method"].as_str().unwrap().to_string());
            for (name, value) in shown["params"].as_object().unwrap() {
                assert_eq!(&written["params"][name], value, "{text}");
            }
        }
        let schema = schema();
        let known: std::collections::BTreeSet<_> =
            schema["methods"].as_object().unwrap().keys().cloned().collect();
        assert_eq!(methods, known);
    }

    #[test]
    fn server_messages_in_the_reference_have_the_fields_of_their_types() {
        fn assert_round_trip<T: Serialize + serde::de::DeserializeOwned>(shown: &Value) {
            let read: T =
                serde_json::from_value(shown.clone()).unwrap_or_else(|error| panic!("{shown}: {error}"));
            assert_eq!(&serde_json::to_value(read).unwrap(), shown);
        }
        let (mut codes, mut notifications) =
            (std::collections::BTreeSet::new(), std::collections::BTreeSet::new());
        for text in examples("<-- ") {
            let shown: Value = serde_json::from_str(text).unwrap();
            ServerMessage::read(text.as_bytes()).unwrap();
            if let Some(code) = shown["error"]["code"].as_i64() {
                codes.insert(code as i32);
            }
            if let Some(method) = shown["method"].as_str() {
                notifications.insert(method.to_string());
                match method {
                    "call.ended" => assert_round_trip::<CallEndedNotification>(&shown["params"]),
                    "call.news" => assert_round_trip::<CallNewsNotification>(&shown["params"]),
                    _ => assert_round_trip::<NewsMissedNotification>(&shown["params"]),
                }
            }
            let Some(result) = shown.get("result") else { continue };
            match result.as_object().unwrap() {
                fields if fields.contains_key("server") => assert_round_trip::<HelloResult>(result),
                fields if fields.contains_key("state") => assert_round_trip::<CallState>(result),
                fields if fields.contains_key("answer") => assert_round_trip::<OfferResult>(result),
                fields if fields.contains_key("cursor") => assert_round_trip::<SubscribeResult>(result),
                fields if fields.contains_key("traces") => assert_round_trip::<TraceResult>(result),
                _ => assert_round_trip::<CallAck>(result),
            }
        }
        assert_eq!(codes, code::ALL.iter().map(|(code, _)| *code).collect());
        let schema = schema();
        let known: std::collections::BTreeSet<_> =
            schema["notifications"].as_object().unwrap().keys().cloned().collect();
        assert_eq!(notifications, known);
        let page = include_str!("../../../docs/call-control.md");
        for (code, meaning) in code::ALL {
            assert!(
                page.contains(&format!("| {code} | {meaning} |")),
                "{code} is missing from the table, or its meaning differs"
            );
        }
    }
}
