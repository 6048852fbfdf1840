//! The messages between directory and controller: JSON-RPC 2.0 notifications in both directions.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::membership::MembershipUpdate;

/// A notification to the controller, from the directory or from the exchange's own equipment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "method", content = "params")]
#[schemars(rename = "FeedNote")]
pub enum DirectoryNotification {
    /// A version of the membership list: the whole list or changes.
    #[serde(rename = "roster.version")]
    Membership(MembershipUpdate),
    /// How many circuits to an exchange are in service, counted from the first.
    #[serde(rename = "exchange.circuits")]
    CircuitsInService { to: u16, in_service: u16 },
    /// The state of the exchange's own processor.
    #[serde(rename = "exchange.processor")]
    Processor(ProcessorStatus),
}

/// A processor's report. Unknown fields are an error that names the field.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct ProcessorNote")]
#[schemars(rename = "ProcessorNote")]
pub struct ProcessorStatus {
    /// How many new set-ups per second the processor can handle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
}

/// A notification to the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "method", content = "params")]
#[schemars(rename = "Reply")]
pub enum ControllerNotification {
    #[serde(rename = "roster.taken")]
    Accepted {
        #[serde(rename = "office")]
        exchange_number: u16,
        version: u64,
    },
    /// The previous version stays in force.
    #[serde(rename = "roster.turned_down")]
    Rejected {
        #[serde(rename = "office")]
        exchange_number: u16,
        version: u64,
        why: String,
    },
    /// Requests the whole list: after connecting and after a gap in the versions.
    #[serde(rename = "roster.want")]
    RequestFullList(FullListRequest),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Ask")]
pub struct FullListRequest {
    #[serde(rename = "office")]
    pub exchange_number: u16,
    /// The version held, if any.
    #[serde(rename = "held")]
    pub held_version: Option<u64>,
}

/// One message with its `jsonrpc` version member.
#[derive(Serialize, Deserialize)]
#[serde(expecting = "struct Marked")]
struct Envelope<T> {
    jsonrpc: String,
    #[serde(flatten)]
    notification: T,
}

fn text(notification: impl Serialize) -> String {
    serde_json::to_string(&Envelope { jsonrpc: "2.0".into(), notification }).unwrap_or_default()
}

impl DirectoryNotification {
    pub fn text(&self) -> String {
        text(self)
    }

    pub fn read(line: &[u8]) -> serde_json::Result<Self> {
        Ok(serde_json::from_slice::<Envelope<Self>>(line)?.notification)
    }
}

impl ControllerNotification {
    pub fn text(&self) -> String {
        text(self)
    }

    pub fn read(line: &[u8]) -> serde_json::Result<Self> {
        Ok(serde_json::from_slice::<Envelope<Self>>(line)?.notification)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn notifications_survive_writing_and_parsing() {
        let to_controller = DirectoryNotification::Membership(MembershipUpdate {
            version: 3,
            since: Some(2),
            entries: Vec::new(),
        });
        assert_eq!(DirectoryNotification::read(to_controller.text().as_bytes()).unwrap(), to_controller);
        let to_directory =
            ControllerNotification::Rejected { exchange_number: 4, version: 9, why: "a gap".into() };
        assert_eq!(ControllerNotification::read(to_directory.text().as_bytes()).unwrap(), to_directory);
        assert!(
            DirectoryNotification::read(br#"{"jsonrpc":"2.0","method":"roster.version","params":{}}"#)
                .is_err()
        );
    }

    #[test]
    fn a_field_that_processors_no_longer_send_is_an_error_that_names_it() {
        let text =
            br#"{"jsonrpc":"2.0","method":"exchange.processor","params":{"rate":9.5,"hold_back":0.2}}"#;
        let error = DirectoryNotification::read(text).unwrap_err().to_string();
        assert!(error.contains("hold_back"), "{error}");
    }
}
