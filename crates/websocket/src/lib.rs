//! Both ends of a WebSocket connection (RFC 6455), without I/O: octets in, texts out.
//!
//! | file | holds |
//! | --- | --- |
//! | `server_handshake` | the server's opening handshake: who may come in, by path, origin and subprotocol |
//! | `client_handshake` | the client's |
//! | `connection` | an open connection, the same for both: texts, pings, the closing handshake |
//!
//! Framing, masking and the handshakes' headers are tungstenite's. What is stated here: the answer to everything that an end
//! may get wrong.

mod client_handshake;
mod connection;
mod server_handshake;

pub use client_handshake::{ClientHandshake, ClientHandshakeError, ClientHandshakeState};
pub use connection::{CloseInfo, WebSocketConnection, WebSocketEvent};
pub use server_handshake::{HandshakeRejection, ServerHandshake, ServerHandshakeState, UpgradeRequest};

/// The subprotocol that both ends must name: its number changes when a client that knows the last one would be misled.
pub const SUBPROTOCOL: &str = "mintstall.calls.v1";

/// Where calls are asked for.
pub const PATH: &str = "/calls";

/// Octets of the longest head of a handshake.
pub const MAX_HEAD_OCTETS: usize = 8 << 10;

/// Why a connection is closed: RFC 6455 clause 7.4.1, with what each means here.
pub mod close {
    /// Done, at the client's or the server's wish.
    pub const NORMAL: u16 = 1000;
    /// The controller stops: connect to another, or come back.
    pub const GOING_AWAY: u16 = 1001;
    /// Frames that break RFC 6455: unmasked, reserved bits, a fragment out of turn.
    pub const PROTOCOL: u16 = 1002;
    /// A binary message; only texts are understood.
    pub const UNSUPPORTED: u16 = 1003;
    /// A text that is not UTF-8.
    pub const NOT_UTF8: u16 = 1007;
    /// Against the limits: reads too slowly.
    pub const POLICY: u16 = 1008;
    /// A message, or the sum of its fragments, is too long.
    pub const TOO_BIG: u16 = 1009;
}
