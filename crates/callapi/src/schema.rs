//! The JSON schema of all messages, for authors of clients.

use schemars::{JsonSchema, SchemaGenerator};
use serde_json::{Value, json};

use crate::{
    CallAck, CallEndedNotification, CallNewsNotification, CallState, Cancel, Get, Hangup, Hello, HelloResult,
    NewsMissedNotification, Offer, OfferResult, Subscribe, SubscribeResult, TraceGet, TraceResult, code,
};

/// All methods with their parameters and results, all notifications and all error codes. The types are under `$defs`.
pub fn schema() -> Value {
    let mut types = SchemaGenerator::default();
    fn method<P: JsonSchema, R: JsonSchema>(types: &mut SchemaGenerator) -> Value {
        json!({ "params": types.subschema_for::<P>(), "result": types.subschema_for::<R>() })
    }
    let methods = json!({
        "session.hello": method::<Hello, HelloResult>(&mut types),
        "call.offer": method::<Offer, OfferResult>(&mut types),
        "call.cancel": method::<Cancel, CallAck>(&mut types),
        "call.hangup": method::<Hangup, CallAck>(&mut types),
        "call.get": method::<Get, CallState>(&mut types),
        "calls.subscribe": method::<Subscribe, SubscribeResult>(&mut types),
        "trace.get": method::<TraceGet, TraceResult>(&mut types),
    });
    let notifications = json!({
        "call.ended": types.subschema_for::<CallEndedNotification>(),
        "call.news": types.subschema_for::<CallNewsNotification>(),
        "call.news.missed": types.subschema_for::<NewsMissedNotification>(),
    });
    let errors: Vec<Value> =
        code::ALL.iter().map(|(code, meaning)| json!({ "code": code, "meaning": meaning })).collect();
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "mintstall.calls.v1",
        "methods": methods,
        "notifications": notifications,
        "errors": errors,
        "$defs": types.take_definitions(true),
    })
}
