//! The opening handshake at the client.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tungstenite::handshake::client::{Request, Response, generate_key, generate_request};
use tungstenite::handshake::derive_accept_key;
use tungstenite::handshake::machine::TryParse;

use crate::connection::WebSocketConnection;
use crate::{MAX_HEAD_OCTETS, PATH, SUBPROTOCOL};

/// The server does not let this client in.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClientHandshakeError {
    #[error("turned away with status {status}: {reason}")]
    Status { status: u16, reason: String, retry_after: Option<Duration> },
    #[error("what answers is no server of calls: {0}")]
    InvalidResponse(String),
}

impl ClientHandshakeError {
    /// How long the server asks this client to stay away.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Status { retry_after, .. } => *retry_after,
            Self::InvalidResponse(_) => None,
        }
    }
}

/// What has come of a handshake.
#[derive(Debug)]
pub enum ClientHandshakeState {
    Incomplete,
    /// Open. [`WebSocketConnection::on_octets`] is to be called once, with none, for what came with the response.
    Open(Box<WebSocketConnection>),
    Rejected(ClientHandshakeError),
}

/// A handshake that is under way.
#[derive(Debug)]
pub struct ClientHandshake {
    accept: String,
    head: Vec<u8>,
    max_text_octets: usize,
}

impl ClientHandshake {
    /// With the request, to be written first.
    pub fn new(to: SocketAddr, max_text_octets: usize) -> Result<(Self, Vec<u8>), ClientHandshakeError> {
        let key = generate_key();
        let request = Request::builder()
            .uri(PATH)
            .header("Host", to.to_string())
            .header("Connection", "Upgrade")
            .header("Upgrade", "websocket")
            .header("Sec-WebSocket-Version", "13")
            .header("Sec-WebSocket-Key", key)
            .header("Sec-WebSocket-Protocol", SUBPROTOCOL)
            .body(())
            .map_err(|error| ClientHandshakeError::InvalidResponse(error.to_string()))?;
        let (octets, key) = generate_request(request)
            .map_err(|error| ClientHandshakeError::InvalidResponse(error.to_string()))?;
        Ok((Self { accept: derive_accept_key(key.as_bytes()), head: Vec::new(), max_text_octets }, octets))
    }

    pub fn push(&mut self, octets: &[u8]) -> ClientHandshakeState {
        self.head.extend_from_slice(octets);
        let no_server =
            |reason: String| ClientHandshakeState::Rejected(ClientHandshakeError::InvalidResponse(reason));
        let (length, response) = match Response::try_parse(&self.head) {
            Ok(Some(parsed)) => parsed,
            Ok(None) if self.head.len() > MAX_HEAD_OCTETS => return no_server("its head is too long".into()),
            Ok(None) => return ClientHandshakeState::Incomplete,
            Err(error) => return no_server(error.to_string()),
        };
        let field = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
        let rest = &self.head[length..];
        if response.status() != 101 {
            let whole = field("Content-Length").and_then(|count| count.parse::<usize>().ok()).unwrap_or(0);
            if rest.len() < whole.min(MAX_HEAD_OCTETS) {
                return ClientHandshakeState::Incomplete;
            }
            let retry_after =
                field("Retry-After").and_then(|wait| wait.parse().ok()).map(Duration::from_secs);
            let reason = String::from_utf8_lossy(rest).trim().to_string();
            let status = response.status().as_u16();
            return ClientHandshakeState::Rejected(ClientHandshakeError::Status {
                status,
                reason,
                retry_after,
            });
        }
        if field("Sec-WebSocket-Accept") != Some(&self.accept) {
            return no_server("its Sec-WebSocket-Accept is not of this request".into());
        }
        if field("Sec-WebSocket-Protocol") != Some(SUBPROTOCOL) {
            return no_server(format!("it does not speak {SUBPROTOCOL}"));
        }
        let rest = self.head.split_off(length);
        ClientHandshakeState::Open(Box::new(WebSocketConnection::client(rest, self.max_text_octets)))
    }
}
