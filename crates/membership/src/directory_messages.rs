//! The directory's feed: what crosses its line, as JSON-RPC 2.0 notifications either way.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::membership::News;

/// What the exchange's plant and the directory tell a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "method", content = "params")]
pub enum FeedNote {
    /// A version of the roster, whole or changes.
    #[serde(rename = "roster.version")]
    Roster(News),
    /// Circuits to an exchange, from the first on, that are in service.
    #[serde(rename = "exchange.circuits")]
    Circuits { to: u16, in_service: u16 },
    /// What the own processor says of itself.
    #[serde(rename = "exchange.processor")]
    Processor(ProcessorNote),
}

/// What a processor says of itself. Any other field is turned down by name.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProcessorNote {
    /// New set-ups a second that it can take.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
}

/// What a controller tells the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "method", content = "params")]
pub enum Reply {
    #[serde(rename = "roster.taken")]
    Taken { office: u16, version: u64 },
    /// The version before stays in force.
    #[serde(rename = "roster.turned_down")]
    TurnedDown { office: u16, version: u64, why: String },
    /// Asks for the whole list, once connected and after a gap.
    #[serde(rename = "roster.want")]
    Want(Ask),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Ask {
    pub office: u16,
    /// The version held, if any.
    pub held: Option<u64>,
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

impl FeedNote {
    pub fn text(&self) -> String {
        text(self)
    }

    pub fn read(line: &[u8]) -> serde_json::Result<Self> {
        Ok(serde_json::from_slice::<Marked<Self>>(line)?.note)
    }
}

impl Reply {
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
        let note = FeedNote::Roster(News { version: 3, since: Some(2), entries: Vec::new() });
        assert_eq!(FeedNote::read(note.text().as_bytes()).unwrap(), note);
        let reply = Reply::TurnedDown { office: 4, version: 9, why: "a gap".into() };
        assert_eq!(Reply::read(reply.text().as_bytes()).unwrap(), reply);
        assert!(FeedNote::read(br#"{"jsonrpc":"2.0","method":"roster.version","params":{}}"#).is_err());
    }

    #[test]
    fn what_a_processor_may_no_longer_say_is_turned_down_by_name() {
        let held =
            br#"{"jsonrpc":"2.0","method":"exchange.processor","params":{"rate":9.5,"hold_back":0.2}}"#;
        let error = FeedNote::read(held).unwrap_err().to_string();
        assert!(error.contains("hold_back"), "{error}");
    }
}
