//! The client's opening handshake.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tungstenite::handshake::client::{Request, Response, generate_key, generate_request};
use tungstenite::handshake::derive_accept_key;
use tungstenite::handshake::machine::TryParse;

use crate::connection::WebSocketConnection;
use crate::{MAX_HEAD_OCTETS, PATH, SUBPROTOCOL};

/// The handshake failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClientHandshakeError {
    /// The server answered with an HTTP error.
    #[error("the server rejected the handshake with status {status}: {reason}")]
    Status { status: u16, reason: String, retry_after: Option<Duration> },
    /// The response does not complete the handshake, or the request can't be built.
    #[error("not a call server: {0}")]
    InvalidResponse(String),
}

impl ClientHandshakeError {
    /// The wait before the next attempt that the server asks for.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Status { retry_after, .. } => *retry_after,
            Self::InvalidResponse(_) => None,
        }
    }
}

/// State of a handshake after each received part.
#[derive(Debug)]
pub enum ClientHandshakeState {
    /// The response is not complete yet.
    Incomplete,
    /// The connection is open. The owner must call [`WebSocketConnection::on_octets`] once without octets, to process those that
    /// followed the response.
    Open(Box<WebSocketConnection>),
    Rejected(ClientHandshakeError),
}

/// A handshake in progress.
#[derive(Debug)]
pub struct ClientHandshake {
    /// The expected value of `Sec-WebSocket-Accept`.
    accept: String,
    /// The octets received so far.
    received: Vec<u8>,
    max_text_octets: usize,
}

impl ClientHandshake {
    /// Returns the handshake and the request to send.
    pub fn new(server: SocketAddr, max_text_octets: usize) -> Result<(Self, Vec<u8>), ClientHandshakeError> {
        let key = generate_key();
        let request = Request::builder()
            .uri(PATH)
            .header("Host", server.to_string())
            .header("Connection", "Upgrade")
            .header("Upgrade", "websocket")
            .header("Sec-WebSocket-Version", "13")
            .header("Sec-WebSocket-Key", key)
            .header("Sec-WebSocket-Protocol", SUBPROTOCOL)
            .body(())
            .map_err(|error| ClientHandshakeError::InvalidResponse(error.to_string()))?;
        let (octets, key) = generate_request(request)
            .map_err(|error| ClientHandshakeError::InvalidResponse(error.to_string()))?;
        Ok((
            Self { accept: derive_accept_key(key.as_bytes()), received: Vec::new(), max_text_octets },
            octets,
        ))
    }

    /// Processes received octets.
    pub fn push(&mut self, octets: &[u8]) -> ClientHandshakeState {
        self.received.extend_from_slice(octets);
        let invalid =
            |reason: String| ClientHandshakeState::Rejected(ClientHandshakeError::InvalidResponse(reason));
        let (length, response) = match Response::try_parse(&self.received) {
            Ok(Some(parsed)) => parsed,
            Ok(None) if self.received.len() > MAX_HEAD_OCTETS => {
                return invalid("its response header is too long".into());
            }
            Ok(None) => return ClientHandshakeState::Incomplete,
            Err(error) => return invalid(error.to_string()),
        };
        let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
        let body = &self.received[length..];
        if response.status() != 101 {
            let body_length =
                header("Content-Length").and_then(|count| count.parse::<usize>().ok()).unwrap_or(0);
            if body.len() < body_length.min(MAX_HEAD_OCTETS) {
                return ClientHandshakeState::Incomplete;
            }
            let retry_after =
                header("Retry-After").and_then(|wait| wait.parse().ok()).map(Duration::from_secs);
            let reason = String::from_utf8_lossy(body).trim().to_string();
            let status = response.status().as_u16();
            return ClientHandshakeState::Rejected(ClientHandshakeError::Status {
                status,
                reason,
                retry_after,
            });
        }
        if header("Sec-WebSocket-Accept") != Some(&self.accept) {
            return invalid("its Sec-WebSocket-Accept does not match the request".into());
        }
        if header("Sec-WebSocket-Protocol") != Some(SUBPROTOCOL) {
            return invalid(format!("it does not support {SUBPROTOCOL}"));
        }
        let early_octets = self.received.split_off(length);
        ClientHandshakeState::Open(Box::new(WebSocketConnection::client(early_octets, self.max_text_octets)))
    }
}
