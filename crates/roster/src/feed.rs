//! The directory's feed: what crosses its line, as JSON-RPC 2.0 notifications either way.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::roster::News;

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
    Processor {
        /// New set-ups a second that it can take.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rate: Option<f64>,
        /// Share of new set-ups that senders are asked to hold back.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        hold_back: Option<f64>,
    },
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
        assert!(FeedNote::read(br#"{"method":"roster.version","params":{}}"#).is_err());
    }
}
