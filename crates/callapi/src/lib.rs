//! Call-control messages: JSON-RPC 2.0 texts to types and back, without I/O.
//!
//! A subscriber line carries one text a line ([`LineCutter`]); WebSocket will carry the same texts. A call is named by
//! its client's own number, unique on its line; answers also tell the number that the exchange gave it.

mod lines;

use std::borrow::Cow;

use schemars::JsonSchema;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};

pub use lines::{LineCutter, LineTooLong};

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Welcome {
    pub server: String,
    pub version: String,
    pub exchange: u16,
    /// The token's name, where one was presented.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// Calls that may be in hand on this line.
    pub calls_a_session: usize,
    /// The session's key, where it is resumable, and how long it is kept after a cut, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
    pub kept_ms: u64,
    /// Calls in hand that were taken up with the session. What was not said while it was cut follows this.
    pub calls: Vec<u64>,
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
}

/// A request and the id by which its reply names it; without one no reply is given.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    pub id: Option<Value>,
    pub request: Request,
}

/// The final answer of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Final {
    Stands,
    /// Nothing was carried out. The caller is asked to stay away for so long, milliseconds (0: no word).
    Refused {
        come_back_ms: u32,
    },
    Fails,
}

/// The result of `call.offer`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Answered {
    pub call: u64,
    /// The number that the exchange gave the call.
    pub exchange_call: u64,
    #[serde(flatten)]
    pub answer: Final,
}

/// What `call.news` tells of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallEvent {
    pub exchange_call: u64,
    pub customer: u16,
    #[serde(flatten)]
    pub what: Happened,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Happened {
    Answered(Final),
    Ended { ended: How },
}

/// How a standing call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum How {
    HungUp,
    Released,
    Cut,
}

/// Notification `call.ended`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EndedNote {
    pub call: u64,
    pub how: How,
}

/// Why a request was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub code: i32,
    pub text: String,
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
}

impl Fault {
    pub fn new(code: i32, text: impl Into<String>) -> Self {
        Self { code, text: text.into() }
    }
}

impl Asked {
    /// Reads one text; a fault comes with the id to reply to, null where it can't be known.
    pub fn read(text: &[u8]) -> Result<Self, (Value, Fault)> {
        let raw: RawAsked = match serde_json::from_slice(text) {
            Ok(raw) => raw,
            Err(error) => return Err((Value::Null, Fault::new(shape(text), error.to_string()))),
        };
        let id = raw.id.map(|id| serde_json::from_str::<Value>(id.get()).unwrap_or(Value::Null));
        let fail = |code, text: &str| (id.clone().unwrap_or(Value::Null), Fault::new(code, text));
        if !matches!(id, None | Some(Value::Null | Value::String(_) | Value::Number(_))) {
            return Err((Value::Null, Fault::new(code::INVALID_REQUEST, "id is neither text nor number")));
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

pub fn fault_text(id: &Value, fault: &Fault) -> String {
    text(&json!({ "jsonrpc": "2.0", "id": id, "error": { "code": fault.code, "message": fault.text } }))
}

/// Any other notification.
pub fn notice_text(method: &str, params: &Value) -> String {
    text(&json!({ "jsonrpc": "2.0", "method": method, "params": params }))
}

pub fn ended_text(note: &EndedNote) -> String {
    #[derive(Serialize)]
    struct Text<'a> {
        jsonrpc: &'static str,
        method: &'static str,
        params: &'a EndedNote,
    }
    text(&Text { jsonrpc: "2.0", method: "call.ended", params: note })
}

/// What comes back on a line: a result, a fault, or a notification.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Answered(Answered),
    /// A result that is no answer of a call.
    Done,
    Fault {
        id: Value,
        code: i64,
        message: String,
    },
    Ended(EndedNote),
}

impl Heard {
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
        }
        let raw: Raw = serde_json::from_slice(text)?;
        if let (Some("call.ended"), Some(params)) = (raw.method.as_deref(), raw.params) {
            return Ok(Self::Ended(serde_json::from_str(params.get())?));
        }
        if let Some(Error { code, message }) = raw.error {
            return Ok(Self::Fault { id: raw.id, code, message });
        }
        Ok(match raw.result.map(|result| serde_json::from_str(result.get())) {
            Some(Ok(answered)) => Self::Answered(answered),
            _ => Self::Done,
        })
    }
}

/// The schema of all messages, by name.
pub fn schema() -> Value {
    json!({
        "request": schemars::schema_for!(Request),
        "session.hello result": schemars::schema_for!(Welcome),
        "call.offer result": schemars::schema_for!(Answered),
        "call.news": schemars::schema_for!(CallEvent),
        "call.ended": schemars::schema_for!(EndedNote),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_offer_is_read_and_written_the_same() {
        let text = br#"{"jsonrpc":"2.0","id":7,"method":"call.offer","params":{"call":1,"dest":4,"number":55,"time_left_ms":3000}}"#;
        let asked = Asked::read(text).unwrap();
        assert!(matches!(&asked.request, Request::Offer(offer) if offer.dest == 4 && offer.call_type == 0));
        assert_eq!(Asked::read(asked.text().as_bytes()).unwrap(), asked);
    }

    #[test]
    fn each_kind_of_bad_text_has_its_code_and_the_id_to_reply_to() {
        let code =
            |text: &str| Asked::read(text.as_bytes()).map_err(|(id, fault)| (id, fault.code)).unwrap_err();
        assert_eq!(code("{"), (Value::Null, code::PARSE));
        assert_eq!(code("[]"), (Value::Null, code::INVALID_REQUEST));
        assert_eq!(code(r#"{"id":3,"method":"call.offer"}"#), (json!(3), code::INVALID_REQUEST));
        assert_eq!(code(r#"{"jsonrpc":"2.0","id":"a","method":"x"}"#), (json!("a"), code::NO_SUCH_METHOD));
        let extra = r#"{"jsonrpc":"2.0","id":1,"method":"call.hangup","params":{"call":1,"more":2}}"#;
        assert_eq!(code(extra), (json!(1), code::INVALID_PARAMS));
    }

    #[test]
    fn answers_and_ends_are_heard_as_said() {
        let answer = Answered { call: 3, exchange_call: 9, answer: Final::Refused { come_back_ms: 500 } };
        assert_eq!(Heard::read(result_text(&json!(3), answer).as_bytes()).unwrap(), Heard::Answered(answer));
        let note = EndedNote { call: 3, how: How::Cut };
        assert_eq!(Heard::read(ended_text(&note).as_bytes()).unwrap(), Heard::Ended(note));
    }
}
