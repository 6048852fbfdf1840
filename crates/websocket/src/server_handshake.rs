//! The server's opening handshake: checks a client's request, and makes the HTTP response to one that is rejected.

use std::collections::BTreeSet;

use tungstenite::Error;
use tungstenite::error::{CapacityError, ProtocolError};
use tungstenite::handshake::machine::TryParse;
use tungstenite::handshake::server::{Request, Response, create_response, write_response};
use tungstenite::http::HeaderValue;

use crate::connection::WebSocketConnection;
use crate::{MAX_HEAD_OCTETS, PATH, SUBPROTOCOL};

/// Why a handshake is rejected, as an HTTP status and a reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandshakeRejection {
    pub status: u16,
    pub reason: String,
    /// Value of the `Retry-After` header in seconds, rounded up.
    pub retry_after_s: Option<u64>,
}

impl HandshakeRejection {
    pub fn new(status: u16, reason: impl Into<String>) -> Self {
        Self { status, reason: reason.into(), retry_after_s: None }
    }

    /// The complete HTTP response. The connection is closed after it.
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
        let headers = match (self.status, self.retry_after_s) {
            (426, _) => "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n".to_string(),
            (405, _) => "Allow: GET\r\n".to_string(),
            (_, Some(wait)) => format!("Retry-After: {wait}\r\n"),
            _ => String::new(),
        };
        format!(
            "HTTP/1.1 {} {phrase}\r\nConnection: close\r\n{headers}Content-Type: text/plain; charset=utf-8\r\n\
             Content-Length: {}\r\n\r\n{}\n",
            self.status,
            self.reason.len() + 1,
            self.reason
        )
        .into_bytes()
    }
}

/// State of a handshake after each received part.
#[derive(Debug)]
pub enum ServerHandshakeState {
    /// The request header is not complete yet.
    Incomplete,
    /// The request is valid; the server accepts it or rejects it.
    Valid(Box<UpgradeRequest>),
    Rejected(HandshakeRejection),
}

/// A valid upgrade request of a client.
#[derive(Debug)]
pub struct UpgradeRequest {
    response: Response,
    /// Octets received after the request header.
    early_octets: Vec<u8>,
}

impl UpgradeRequest {
    /// Opens the connection, with the response as its first output.
    pub fn accept(self, max_text_octets: usize) -> WebSocketConnection {
        let mut output = Vec::new();
        // Writing a response built here to memory can't fail.
        let _ = write_response(&mut output, &self.response);
        WebSocketConnection::server(output, self.early_octets, max_text_octets)
    }
}

/// A handshake in progress. Buffers at most [`MAX_HEAD_OCTETS`] octets and those of the last call of [`ServerHandshake::push`].
#[derive(Debug, Default)]
pub struct ServerHandshake {
    received: Vec<u8>,
}

impl ServerHandshake {
    /// Processes received octets. `origins`: the origins of browser pages whose requests are accepted. A client without an
    /// `Origin` header is not a browser page and is accepted.
    pub fn push(&mut self, octets: &[u8], origins: &BTreeSet<String>) -> ServerHandshakeState {
        self.received.extend_from_slice(octets);
        let (length, request) = match Request::try_parse(&self.received) {
            Ok(None) if self.received.len() > MAX_HEAD_OCTETS => {
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
            Err(error) => return ServerHandshakeState::Rejected(rejection_for(&error)),
        };
        match check_request(&request, origins) {
            Ok(response) => ServerHandshakeState::Valid(Box::new(UpgradeRequest {
                response,
                early_octets: self.received.split_off(length),
            })),
            Err(rejection) => ServerHandshakeState::Rejected(rejection),
        }
    }
}

fn check_request(request: &Request, origins: &BTreeSet<String>) -> Result<Response, HandshakeRejection> {
    if request.uri().path() != PATH {
        return Err(HandshakeRejection::new(404, format!("calls are asked for at {PATH}")));
    }
    let header = |name: &str| request.headers().get_all(name).iter();
    for origin in header("Origin") {
        if !origin.to_str().is_ok_and(|origin| origins.contains(origin)) {
            return Err(HandshakeRejection::new(403, "pages of this origin may not ask for calls"));
        }
    }
    let mut response = create_response(request).map_err(|error| rejection_for(&error))?;
    let mut offered = header("Sec-WebSocket-Protocol").filter_map(|value| value.to_str().ok());
    if !offered.any(|list| list.split(',').any(|name| name.trim() == SUBPROTOCOL)) {
        return Err(HandshakeRejection::new(
            400,
            format!("Sec-WebSocket-Protocol does not name {SUBPROTOCOL}"),
        ));
    }
    response.headers_mut().insert("Sec-WebSocket-Protocol", HeaderValue::from_static(SUBPROTOCOL));
    Ok(response)
}

fn rejection_for(error: &Error) -> HandshakeRejection {
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

    fn handshake(head: &str) -> Result<Vec<u8>, HandshakeRejection> {
        let origins = ["https://ours.example".to_string()].into();
        match ServerHandshake::default().push(head.as_bytes(), &origins) {
            ServerHandshakeState::Incomplete => panic!("incomplete"),
            ServerHandshakeState::Valid(request) => Ok(std::mem::take(request.accept(100).output())),
            ServerHandshakeState::Rejected(rejection) => Err(rejection),
        }
    }

    #[test]
    fn the_example_of_the_rfc_is_accepted_however_it_is_split() {
        let response = String::from_utf8(handshake(HEAD).unwrap()).unwrap().to_ascii_lowercase();
        assert!(response.starts_with("http/1.1 101 "), "{response}");
        // RFC 6455 clause 1.3.
        assert!(response.contains("sec-websocket-accept: s3pplmbitxaq9kygzzhzrbk+xoo=\r\n"), "{response}");
        assert!(response.contains("sec-websocket-protocol: mintstall.calls.v1\r\n"), "{response}");
        for split in 1..HEAD.len() {
            let mut server = ServerHandshake::default();
            assert!(matches!(
                server.push(&HEAD.as_bytes()[..split], &BTreeSet::new()),
                ServerHandshakeState::Incomplete
            ));
            assert!(matches!(
                server.push(&HEAD.as_bytes()[split..], &BTreeSet::new()),
                ServerHandshakeState::Valid(_)
            ));
        }
    }

    #[test]
    fn each_handshake_error_has_its_status() {
        let status = |head: &str| handshake(head).map_err(|rejection| rejection.status).unwrap_err();
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
    fn a_page_of_another_origin_is_rejected() {
        let from = |origin: &str| HEAD.replace("Host:", &format!("Origin: {origin}\r\nHost:"));
        assert!(handshake(&from("https://ours.example")).is_ok());
        assert_eq!(handshake(&from("https://ours.example.evil.example")).unwrap_err().status, 403);
        assert_eq!(handshake(&from("null")).unwrap_err().status, 403);
        // Two origins: all must be accepted.
        assert_eq!(handshake(&from("https://ours.example\r\nOrigin: x")).unwrap_err().status, 403);
    }

    #[test]
    fn a_rejection_carries_the_retry_time() {
        let rejection = HandshakeRejection { status: 503, reason: "full".into(), retry_after_s: Some(2) };
        let text = String::from_utf8(rejection.to_octets()).unwrap();
        assert!(
            text.contains("\r\nRetry-After: 2\r\n") && text.ends_with("Content-Length: 5\r\n\r\nfull\n"),
            "{text}"
        );
    }
}
