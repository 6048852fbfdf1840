//! The directory's feed: what crosses its line, as JSON-RPC 2.0 notifications either way.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::membership::MembershipUpdate;

/// What the exchange's plant and the directory tell a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "method", content = "params")]
#[schemars(rename = "FeedNote")]
pub enum DirectoryNotification {
    /// A version of the roster, whole or changes.
    #[serde(rename = "roster.version")]
    Membership(MembershipUpdate),
    /// Circuits to an exchange, from the first on, that are in service.
    #[serde(rename = "exchange.circuits")]
    CircuitsInService { to: u16, in_service: u16 },
    /// What the own processor says of itself.
    #[serde(rename = "exchange.processor")]
    Processor(ProcessorStatus),
}

/// What a processor says of itself. Any other field is turned down by name.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct ProcessorNote")]
#[schemars(rename = "ProcessorNote")]
pub struct ProcessorStatus {
    /// New set-ups a second that it can take.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
}

/// What a controller tells the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "method", content = "params")]
#[schemars(rename = "Reply")]
pub enum ControllerNotification {
    #[serde(rename = "roster.taken")]
    Accepted { office: u16, version: u64 },
    /// The version before stays in force.
    #[serde(rename = "roster.turned_down")]
    Rejected { office: u16, version: u64, why: String },
    /// Asks for the whole list, once connected and after a gap.
    #[serde(rename = "roster.want")]
    RequestFullList(FullListRequest),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Ask")]
pub struct FullListRequest {
    pub office: u16,
    /// The version held, if any.
    #[serde(rename = "held")]
    pub held_version: Option<u64>,
}

/// One line with its `jsonrpc` mark.
#[derive(Serialize, Deserialize)]
struct Marked<T> {
    jsonrpc: String,
    #[serde(flatten)]
    note: T,
}

fn text(note: impl Serialize) -> String {
    serde_json::to_string(&Marked { jsonrpc: "2.0".into(), note }).unwrap_or_default()
}

impl DirectoryNotification {
    pub fn text(&self) -> String {
        text(self)
    }

    pub fn read(line: &[u8]) -> serde_json::Result<Self> {
        Ok(serde_json::from_slice::<Marked<Self>>(line)?.note)
    }
}

impl ControllerNotification {
    pub fn text(&self) -> String {
        text(self)
    }

    pub fn read(line: &[u8]) -> serde_json::Result<Self> {
        Ok(serde_json::from_slice::<Marked<Self>>(line)?.note)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn notes_and_replies_are_read_as_written() {
        let note = DirectoryNotification::Membership(MembershipUpdate {
            version: 3,
            since: Some(2),
            entries: Vec::new(),
        });
        assert_eq!(DirectoryNotification::read(note.text().as_bytes()).unwrap(), note);
        let reply = ControllerNotification::Rejected { office: 4, version: 9, why: "a gap".into() };
        assert_eq!(ControllerNotification::read(reply.text().as_bytes()).unwrap(), reply);
        assert!(
            DirectoryNotification::read(br#"{"jsonrpc":"2.0","method":"roster.version","params":{}}"#)
                .is_err()
        );
    }

    #[test]
    fn what_a_processor_may_no_longer_say_is_turned_down_by_name() {
        let held =
            br#"{"jsonrpc":"2.0","method":"exchange.processor","params":{"rate":9.5,"hold_back":0.2}}"#;
        let error = DirectoryNotification::read(held).unwrap_err().to_string();
        assert!(error.contains("hold_back"), "{error}");
    }
}
