//! The opening handshake at the server: what a client must ask for, and what it is told when it is not let in.

use std::collections::BTreeSet;

use tungstenite::Error;
use tungstenite::error::{CapacityError, ProtocolError};
use tungstenite::handshake::machine::TryParse;
use tungstenite::handshake::server::{Request, Response, create_response, write_response};
use tungstenite::http::HeaderValue;

use crate::connection::WebSocketConnection;
use crate::{MAX_HEAD_OCTETS, PATH, SUBPROTOCOL};

/// Why a client is not let in, as an HTTP status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandshakeRejection {
    pub status: u16,
    pub reason: String,
    /// Seconds to stay away, rounded up.
    pub retry_after_s: Option<u64>,
}

impl HandshakeRejection {
    pub fn new(status: u16, reason: impl Into<String>) -> Self {
        Self { status, reason: reason.into(), retry_after_s: None }
    }

    /// The whole response. The connection is closed after it.
    pub fn to_octets(&self) -> Vec<u8> {
        let phrase = match self.status {
            400 => "Bad Request",
            403 => "Forbidden",
            404 => "Not Found",
            405 => "Method Not Allowed",
            426 => "Upgrade Required",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "Error",
        };
        let more = match (self.status, self.retry_after_s) {
            (426, _) => "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n".to_string(),
            (405, _) => "Allow: GET\r\n".to_string(),
            (_, Some(wait)) => format!("Retry-After: {wait}\r\n"),
            _ => String::new(),
        };
        format!(
            "HTTP/1.1 {} {phrase}\r\nConnection: close\r\n{more}Content-Type: text/plain; charset=utf-8\r\n\
             Content-Length: {}\r\n\r\n{}\n",
            self.status,
            self.reason.len() + 1,
            self.reason
        )
        .into_bytes()
    }
}

/// What has come of a handshake.
#[derive(Debug)]
pub enum ServerHandshakeState {
    /// Its head is not whole yet.
    Incomplete,
    /// In order; to be let in or turned away.
    Valid(Box<UpgradeRequest>),
    Rejected(HandshakeRejection),
}

/// A client's handshake that is in order.
#[derive(Debug)]
pub struct UpgradeRequest {
    response: Response,
    /// What followed the head.
    rest: Vec<u8>,
}

impl UpgradeRequest {
    /// The open end, with the response first in what it has to write.
    pub fn accept(self, max_text_octets: usize) -> WebSocketConnection {
        let mut out = Vec::new();
        // Into memory, of a response built here: it has no way to fail.
        let _ = write_response(&mut out, &self.response);
        WebSocketConnection::server(out, self.rest, max_text_octets)
    }
}

/// One client at the door. Holds at most [`MAX_HEAD_OCTETS`] octets and what was pushed last.
#[derive(Debug, Default)]
pub struct ServerHandshake {
    head: Vec<u8>,
}

impl ServerHandshake {
    /// `origins`: those of browser pages that are let in. A client that names none is no browser page.
    pub fn push(&mut self, octets: &[u8], origins: &BTreeSet<String>) -> ServerHandshakeState {
        self.head.extend_from_slice(octets);
        let (length, request) = match Request::try_parse(&self.head) {
            Ok(None) if self.head.len() > MAX_HEAD_OCTETS => {
                return ServerHandshakeState::Rejected(HandshakeRejection::new(
                    431,
                    format!("the head is longer than {MAX_HEAD_OCTETS} octets"),
                ));
            }
            Ok(None) => return ServerHandshakeState::Incomplete,
            Ok(Some((length, _))) if length > MAX_HEAD_OCTETS => {
                return ServerHandshakeState::Rejected(HandshakeRejection::new(
                    431,
                    format!("the head is longer than {MAX_HEAD_OCTETS} octets"),
                ));
            }
            Ok(Some(parsed)) => parsed,
            Err(error) => return ServerHandshakeState::Rejected(turned(&error)),
        };
        match judge(&request, origins) {
            Ok(response) => ServerHandshakeState::Valid(Box::new(UpgradeRequest {
                response,
                rest: self.head.split_off(length),
            })),
            Err(reason) => ServerHandshakeState::Rejected(reason),
        }
    }
}

fn judge(request: &Request, origins: &BTreeSet<String>) -> Result<Response, HandshakeRejection> {
    if request.uri().path() != PATH {
        return Err(HandshakeRejection::new(404, format!("calls are asked for at {PATH}")));
    }
    let header = |name: &str| request.headers().get_all(name).iter();
    for origin in header("Origin") {
        if !origin.to_str().is_ok_and(|origin| origins.contains(origin)) {
            return Err(HandshakeRejection::new(403, "pages of this origin may not ask for calls"));
        }
    }
    let mut response = create_response(request).map_err(|error| turned(&error))?;
    let mut named = header("Sec-WebSocket-Protocol").filter_map(|value| value.to_str().ok());
    if !named.any(|list| list.split(',').any(|name| name.trim() == SUBPROTOCOL)) {
        return Err(HandshakeRejection::new(
            400,
            format!("Sec-WebSocket-Protocol does not name {SUBPROTOCOL}"),
        ));
    }
    response.headers_mut().insert("Sec-WebSocket-Protocol", HeaderValue::from_static(SUBPROTOCOL));
    Ok(response)
}

fn turned(error: &Error) -> HandshakeRejection {
    match error {
        Error::Protocol(ProtocolError::WrongHttpMethod) => {
            HandshakeRejection::new(405, "only GET is known here")
        }
        Error::Protocol(
            ProtocolError::MissingConnectionUpgradeHeader
            | ProtocolError::MissingUpgradeWebSocketHeader
            | ProtocolError::MissingSecWebSocketVersionHeader,
        ) => HandshakeRejection::new(426, "only WebSocket, version 13 (RFC 6455), is spoken here"),
        Error::Capacity(CapacityError::TooManyHeaders) => {
            HandshakeRejection::new(431, "too many header fields")
        }
        error => HandshakeRejection::new(400, error.to_string()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &str = "GET /calls HTTP/1.1\r\nHost: here\r\nConnection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n\
        Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\
        Sec-WebSocket-Protocol: other, mintstall.calls.v1\r\n\r\n";

    fn knock(head: &str) -> Result<Vec<u8>, HandshakeRejection> {
        let origins = ["https://ours.example".to_string()].into();
        match ServerHandshake::default().push(head.as_bytes(), &origins) {
            ServerHandshakeState::Incomplete => panic!("not whole"),
            ServerHandshakeState::Valid(wish) => Ok(std::mem::take(wish.accept(100).output())),
            ServerHandshakeState::Rejected(reason) => Err(reason),
        }
    }

    #[test]
    fn the_standard_s_own_example_is_let_in_however_it_is_cut() {
        let response = String::from_utf8(knock(HEAD).unwrap()).unwrap().to_ascii_lowercase();
        assert!(response.starts_with("http/1.1 101 "), "{response}");
        // RFC 6455 clause 1.3.
        assert!(response.contains("sec-websocket-accept: s3pplmbitxaq9kygzzhzrbk+xoo=\r\n"), "{response}");
        assert!(response.contains("sec-websocket-protocol: mintstall.calls.v1\r\n"), "{response}");
        for cut in 1..HEAD.len() {
            let mut door = ServerHandshake::default();
            assert!(matches!(
                door.push(&HEAD.as_bytes()[..cut], &BTreeSet::new()),
                ServerHandshakeState::Incomplete
            ));
            assert!(matches!(
                door.push(&HEAD.as_bytes()[cut..], &BTreeSet::new()),
                ServerHandshakeState::Valid(_)
            ));
        }
    }

    #[test]
    fn each_fault_of_a_handshake_has_its_status() {
        let status = |head: &str| knock(head).map_err(|reason| reason.status).unwrap_err();
        assert_eq!(status(&HEAD.replace("/calls", "/")), 404);
        assert_eq!(status(&HEAD.replace("GET", "POST")), 405);
        assert_eq!(status(&HEAD.replace("Upgrade: websocket\r\n", "")), 426);
        assert_eq!(status(&HEAD.replace(": 13", ": 8")), 426);
        assert_eq!(status(&HEAD.replace("calls.v1", "calls.v2")), 400);
        assert_eq!(status(&HEAD.replace("dGhlIHNhbXBsZSBub25jZQ==", "short")), 400);
        assert_eq!(status("nonsense\r\n\r\n"), 400);
        assert_eq!(status(&HEAD.replace("here", &"a".repeat(9000))), 431);
        assert_eq!(status(&format!("GET /calls HTTP/1.1\r\nX: {}", "a".repeat(9000))), 431);
    }

    #[test]
    fn a_page_of_another_origin_is_not_let_in() {
        let from = |origin: &str| HEAD.replace("Host:", &format!("Origin: {origin}\r\nHost:"));
        assert!(knock(&from("https://ours.example")).is_ok());
        assert_eq!(knock(&from("https://ours.example.evil.example")).unwrap_err().status, 403);
        assert_eq!(knock(&from("null")).unwrap_err().status, 403);
        // Two origins: all must be known.
        assert_eq!(knock(&from("https://ours.example\r\nOrigin: x")).unwrap_err().status, 403);
    }

    #[test]
    fn who_is_turned_away_is_told_when_to_come_back() {
        let reason = HandshakeRejection { status: 503, reason: "full".into(), retry_after_s: Some(2) };
        let text = String::from_utf8(reason.to_octets()).unwrap();
        assert!(
            text.contains("\r\nRetry-After: 2\r\n") && text.ends_with("Content-Length: 5\r\n\r\nfull\n"),
            "{text}"
        );
    }
}
