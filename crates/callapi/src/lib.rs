//! Call-control messages: JSON-RPC 2.0 texts to types and back, without I/O.
//!
//! A subscriber line carries one text a line ([`LineDecoder`]), a WebSocket connection one a message. A call is named by its
//! client's own number, unique in its session; answers also tell the number that the exchange gave it. The reference for
//! those who write clients is `docs/call-control.md`; its examples are read by the tests here.

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

/// `call.offer`: asks for a call. Its result is the call's one final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The client's own number for it, not in use on this line.
    pub call: u64,
    /// Position in the configuration's list of call types.
    #[serde(rename = "type", default)]
    pub call_type: u8,
    /// Which customer's subscriber calls.
    #[serde(default)]
    pub customer: u16,
    /// The number of the destination exchange.
    pub dest: u16,
    /// The number dialled there.
    pub number: u64,
    /// How long the caller waits for the final answer, milliseconds.
    pub time_left_ms: u32,
    /// The tandem that a centre advises.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advised: Option<u16>,
    /// It stood, was cut, and comes again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cut: bool,
    /// Its caller dials again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub redial: bool,
}

/// `call.hangup`: the caller gives up, or ends a call that stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hangup {
    pub call: u64,
}

/// `call.cancel`: gives up a call that has no answer yet; it gets its answer, `fails`, at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    pub call: u64,
}

/// `call.get`: asks where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Get {
    pub call: u64,
}

/// `trace.get`: asks what became of a call, step by step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TraceGet {
    /// The number that the exchange which took it gave it.
    pub exchange_call: u64,
    /// That exchange, if another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<u16>,
}

/// The result of `trace.get`: what became of the call here, oldest step first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Traced {
    pub traces: Vec<CallTrace>,
}

/// A call's way through one exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct CallTrace {
    /// The number of the call here.
    pub call: u64,
    /// The exchange that took it, and the number it gave it.
    pub origin: u16,
    pub origin_call: u64,
    #[serde(rename = "type")]
    pub call_type: u8,
    pub customer: u16,
    pub dest: u16,
    pub number: u64,
    /// Steps that there was no room for.
    pub left_out: u32,
    /// Each has `step`, its name, `at_ms`, milliseconds since the first, and what belongs to it.
    pub steps: Vec<Value>,
}

/// The result of `call.get`, and what `session.hello` tells of each call taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallState {
    pub call: u64,
    /// The number that the exchange gave it; 0 while it waits for its turn.
    pub exchange_call: u64,
    #[serde(flatten)]
    pub state: CallStatus,
}

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "state", rename_all = "snake_case")]
#[schemars(rename = "State")]
pub enum CallStatus {
    /// For its turn.
    Waits,
    /// A route is looked for, or tried.
    Offered,
    Stands,
    /// It is not in hand any more; its final answer was this.
    Over {
        answer: FinalAnswer,
    },
}

/// `session.hello`: says who asks, where the controller wants to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// What the client calls itself, for the log.
    pub client: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// Keep the session for a while after a cut: the result tells its key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub resumable: bool,
    /// The key of a session that was cut, to be taken up here; nothing may have been asked for before.
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
    /// The token's name, where one was presented.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    pub limits: SessionLimits,
    /// The session's key, where it is resumable.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
    /// Calls in hand that were taken up with the session.
    pub calls: Vec<CallState>,
    /// Texts that were to be said while it was cut: so many follow this one.
    pub owed: usize,
}

/// What a session may do here; beyond it, errors and refusals say so.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct SessionLimits {
    /// Calls in hand in one session, and of one customer.
    pub calls_a_session: usize,
    pub calls_a_customer: usize,
    /// Offers, and requests of any kind, a second.
    pub offers_per_s: f64,
    pub requests_per_s: f64,
    /// Octets of the longest text.
    pub text_octets: usize,
    /// How long a resumable session is kept after a cut, milliseconds.
    pub kept_ms: u64,
    /// How long an answer is remembered for an offer that comes again under its number, milliseconds.
    pub repeat_ms: u64,
}

/// The result of `calls.subscribe`: the number of the first event that will be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Subscribed {
    pub cursor: u64,
}

/// The result of `call.hangup` and `call.cancel`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Done")]
pub struct CallAck {
    pub call: u64,
}

/// `calls.subscribe`: what happens to calls is told as `call.news` from now on, or from a cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Subscribe {
    /// The number of the first event wanted: one more than the last that was heard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cursor: Option<u64>,
}

/// What a client asks.
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

/// A request and the id by which its reply names it; without one no reply is given.
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
    /// Nothing was carried out. The caller is asked to stay away for so long, milliseconds (0: no word).
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

/// What `call.news` tells of a call.
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
    /// One more than that of the event before, whether or not this session may see that one.
    pub number: u64,
    pub event: CallEvent,
}

/// Notification `call.news.missed`: so many events were more than are kept for a slow reader.
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
    /// When it may be asked again, milliseconds from now.
    pub come_back_ms: Option<u64>,
}

/// Error codes: those of JSON-RPC 2.0 clause 5.1, and ours from -32000 down.
pub mod code {
    pub const PARSE: i32 = -32700;
    pub const INVALID_REQUEST: i32 = -32600;
    pub const NO_SUCH_METHOD: i32 = -32601;
    pub const INVALID_PARAMS: i32 = -32602;
    /// No such call is in hand.
    pub const UNKNOWN_CALL: i32 = -32001;
    /// The client's number for the call is in use on this line.
    pub const NUMBER_IN_USE: i32 = -32002;
    /// Too many calls on this line wait for an answer.
    pub const TOO_MANY: i32 = -32003;
    /// The session's token does not allow it, or there is none.
    pub const DENIED: i32 = -32004;
    /// Requests come too fast; `data.come_back_ms` says when the next is read.
    pub const TOO_FAST: i32 = -32005;
    /// The call stands: it is hung up, not cancelled.
    pub const STANDS: i32 = -32006;

    /// Each with what it means, for the schema and the reference.
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
        (TOO_MANY, "too many calls are in hand, or too many connections are open"),
        (DENIED, "the token does not allow it, or there is none"),
        (TOO_FAST, "requests come too fast; data.come_back_ms says when the next is read"),
        (STANDS, "the call stands: it is hung up, not cancelled"),
    ];
}

impl RpcError {
    pub fn new(code: i32, text: impl Into<String>) -> Self {
        Self { code, text: text.into(), come_back_ms: None }
    }
}

impl RequestMessage {
    /// Reads one text; a fault comes with the id to reply to, null where it can't be known.
    pub fn read(text: &[u8]) -> Result<Self, (Value, RpcError)> {
        let raw: RawAsked = match serde_json::from_slice(text) {
            Ok(raw) => raw,
            Err(error) => return Err((Value::Null, RpcError::new(shape(text), error.to_string()))),
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

/// A request as its text has it, its parts not read yet.
#[derive(Deserialize)]
struct RawAsked<'a> {
    #[serde(borrow, default)]
    jsonrpc: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    id: Option<&'a RawValue>,
    #[serde(borrow, default)]
    method: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    params: Option<&'a RawValue>,
}

/// Whether a text that is no request is JSON at all.
fn shape(text: &[u8]) -> i32 {
    match serde_json::from_slice::<IgnoredAny>(text) {
        Ok(_) => code::INVALID_REQUEST,
        Err(_) => code::PARSE,
    }
}

/// Our own types always have a text.
fn text(of: &impl Serialize) -> String {
    serde_json::to_string(of).unwrap_or_default()
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

pub fn error_text(id: &Value, fault: &RpcError) -> String {
    let mut error = json!({ "code": fault.code, "message": fault.text });
    if let Some(wait) = fault.come_back_ms {
        error["data"] = json!({ "come_back_ms": wait });
    }
    text(&json!({ "jsonrpc": "2.0", "id": id, "error": error }))
}

/// Any notification.
pub fn notification_text(method: &str, params: impl Serialize) -> String {
    #[derive(Serialize)]
    struct Text<'a, P> {
        jsonrpc: &'static str,
        method: &'a str,
        params: P,
    }
    text(&Text { jsonrpc: "2.0", method, params })
}

pub fn ended_text(note: &CallEndedNotification) -> String {
    notification_text("call.ended", note)
}

/// What comes back: a result, a fault, or a notification.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    Answered(OfferResult),
    /// A result that is no answer of a call: the request's id and what it says.
    Result {
        id: Value,
        result: Value,
    },
    Fault {
        id: Value,
        code: i64,
        message: String,
        come_back_ms: Option<u64>,
    },
    Ended(CallEndedNotification),
    News(CallNewsNotification),
    Missed(NewsMissedNotification),
    /// A notification that this version does not know: passed over.
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
            let come_back_ms = data["come_back_ms"].as_u64();
            return Ok(Self::Fault { id: raw.id, code, message, come_back_ms });
        }
        let result = raw.result.map_or("null", RawValue::get);
        match serde_json::from_str(result) {
            Ok(answered) => Ok(Self::Answered(answered)),
            _ => Ok(Self::Result { id: raw.id, result: serde_json::from_str(result)? }),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_offer_is_read_and_written_the_same() {
        let text = br#"{"jsonrpc":"2.0","id":7,"method":"call.offer","params":{"call":1,"dest":4,"number":55,"time_left_ms":3000}}"#;
        let asked = RequestMessage::read(text).unwrap();
        assert!(matches!(&asked.request, Request::Offer(offer) if offer.dest == 4 && offer.call_type == 0));
        assert_eq!(RequestMessage::read(asked.text().as_bytes()).unwrap(), asked);
    }

    #[test]
    fn each_kind_of_bad_text_has_its_code_and_the_id_to_reply_to() {
        let code = |text: &str| {
            RequestMessage::read(text.as_bytes()).map_err(|(id, fault)| (id, fault.code)).unwrap_err()
        };
        assert_eq!(code("{"), (Value::Null, code::PARSE));
        assert_eq!(code("[]"), (Value::Null, code::INVALID_REQUEST));
        assert_eq!(code(r#"{"id":3,"method":"call.offer"}"#), (json!(3), code::INVALID_REQUEST));
        assert_eq!(code(r#"{"jsonrpc":"2.0","id":"a","method":"x"}"#), (json!("a"), code::NO_SUCH_METHOD));
        let extra = r#"{"jsonrpc":"2.0","id":1,"method":"call.hangup","params":{"call":1,"more":2}}"#;
        assert_eq!(code(extra), (json!(1), code::INVALID_PARAMS));
    }

    #[test]
    fn answers_and_ends_are_heard_as_said() {
        let answer =
            OfferResult { call: 3, exchange_call: 9, answer: FinalAnswer::Refused { come_back_ms: 500 } };
        assert_eq!(
            ServerMessage::read(result_text(&json!(3), answer).as_bytes()).unwrap(),
            ServerMessage::Answered(answer)
        );
        let note = CallEndedNotification { call: 3, how: EndReason::Cut };
        assert_eq!(ServerMessage::read(ended_text(&note).as_bytes()).unwrap(), ServerMessage::Ended(note));
    }

    /// The reference's examples, by direction.
    fn examples(direction: &str) -> Vec<&'static str> {
        let page = include_str!("../../../docs/call-control.md");
        page.lines().filter_map(|line| line.strip_prefix("    ")?.strip_prefix(direction)).collect()
    }

    #[test]
    fn each_method_of_the_reference_is_read_as_it_stands_there_and_none_is_left_out() {
        let mut methods = std::collections::BTreeSet::new();
        for text in examples("--> ") {
            let asked = RequestMessage::read(text.as_bytes())
                .unwrap_or_else(|(_, fault)| panic!("{text}: {fault:?}"));
            // Written back it says the same.
            let (was, is): (Value, Value) =
                (serde_json::from_str(text).unwrap(), serde_json::from_str(&asked.text()).unwrap());
            methods.insert(was["method"].as_str().unwrap().to_string());
            for (name, value) in was["params"].as_object().unwrap() {
                assert_eq!(&is["params"][name], value, "{text}");
            }
        }
        let schema = schema();
        let known: std::collections::BTreeSet<_> =
            schema["methods"].as_object().unwrap().keys().cloned().collect();
        assert_eq!(methods, known);
    }

    #[test]
    fn each_thing_that_is_heard_in_the_reference_has_every_field_it_shows() {
        fn same<T: Serialize + serde::de::DeserializeOwned>(shown: &Value) {
            let read: T =
                serde_json::from_value(shown.clone()).unwrap_or_else(|error| panic!("{shown}: {error}"));
            assert_eq!(&serde_json::to_value(read).unwrap(), shown);
        }
        let (mut codes, mut notices) = (std::collections::BTreeSet::new(), std::collections::BTreeSet::new());
        for text in examples("<-- ") {
            let shown: Value = serde_json::from_str(text).unwrap();
            ServerMessage::read(text.as_bytes()).unwrap();
            if let Some(code) = shown["error"]["code"].as_i64() {
                codes.insert(code as i32);
            }
            if let Some(method) = shown["method"].as_str() {
                notices.insert(method.to_string());
                match method {
                    "call.ended" => same::<CallEndedNotification>(&shown["params"]),
                    "call.news" => same::<CallNewsNotification>(&shown["params"]),
                    _ => same::<NewsMissedNotification>(&shown["params"]),
                }
            }
            let Some(result) = shown.get("result") else { continue };
            match result.as_object().unwrap() {
                of if of.contains_key("server") => same::<HelloResult>(result),
                of if of.contains_key("state") => same::<CallState>(result),
                of if of.contains_key("answer") => same::<OfferResult>(result),
                of if of.contains_key("cursor") => same::<Subscribed>(result),
                of if of.contains_key("traces") => same::<Traced>(result),
                _ => same::<CallAck>(result),
            }
        }
        assert_eq!(codes, code::ALL.iter().map(|(code, _)| *code).collect());
        let schema = schema();
        let known: std::collections::BTreeSet<_> =
            schema["notifications"].as_object().unwrap().keys().cloned().collect();
        assert_eq!(notices, known);
        let page = include_str!("../../../docs/call-control.md");
        for (code, meaning) in code::ALL {
            assert!(page.contains(&format!("| {code} | {meaning} |")), "{code} is not in the table as it is");
        }
    }
}
