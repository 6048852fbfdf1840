//! WebSocket connections (RFC 6455) for the server and the client, without I/O: octets in, text messages out.
//!
//! | file | holds |
//! | --- | --- |
//! | `server_handshake` | the server's opening handshake: checks path, origin and subprotocol |
//! | `client_handshake` | the client's opening handshake |
//! | `connection` | an open connection of either side: text messages, pings, the closing handshake |
//!
//! Tungstenite does the framing, the masking and the headers of the handshakes. This crate decides how each protocol error of
//! the other side is answered.

mod client_handshake;
mod connection;
mod server_handshake;

pub use client_handshake::{ClientHandshake, ClientHandshakeError, ClientHandshakeState};
pub use connection::{CloseInfo, WebSocketConnection, WebSocketEvent};
pub use server_handshake::{HandshakeRejection, ServerHandshake, ServerHandshakeState, UpgradeRequest};

/// The subprotocol that both sides must name. Its version changes when the protocol becomes incompatible with older clients.
pub const SUBPROTOCOL: &str = "mintstall.calls.v1";

/// The request path of the WebSocket endpoint.
pub const PATH: &str = "/calls";

/// Maximum length of the header of a handshake message.
pub const MAX_HEAD_OCTETS: usize = 8 << 10;

/// Close codes of RFC 6455 clause 7.4.1, and their meaning here.
pub mod close {
    /// The client or the server closed the connection normally.
    pub const NORMAL: u16 = 1000;
    /// The controller shuts down. The client connects to another one, or reconnects later.
    pub const GOING_AWAY: u16 = 1001;
    /// A frame violates RFC 6455: not masked, a reserved bit or opcode, an unexpected fragment.
    pub const PROTOCOL: u16 = 1002;
    /// A binary message; only text messages are supported.
    pub const UNSUPPORTED: u16 = 1003;
    /// A text message that is not UTF-8.
    pub const NOT_UTF8: u16 = 1007;
    /// The client exceeds a limit, for example because it reads too slowly.
    pub const POLICY: u16 = 1008;
    /// A message, or the sum of its fragments, is too long.
    pub const TOO_BIG: u16 = 1009;
}
