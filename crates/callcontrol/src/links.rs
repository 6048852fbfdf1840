//! The link to another exchange: M3UA between two peers without a gateway (RFC 4666 clause 4.3, IPSP double
//! exchange), no I/O.

use mintstall_isup::Deframer;

use crate::timers::TimerHandle;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LocalAspState {
    /// No connection.
    #[default]
    Down,
    /// Connected; the own ASP Up is not acknowledged.
    Announcing,
    /// ASP Up is acknowledged; the own ASP Active is not.
    Activating,
    Active,
}

/// Whether the far end takes traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RemoteAspState {
    #[default]
    Inactive,
    Active,
}

#[derive(Debug, Default)]
pub(crate) struct Link {
    pub local_state: LocalAspState,
    pub remote_state: RemoteAspState,
    pub deframer: Deframer,
    pub timer: Option<TimerHandle>,
    pub grace_timer: Option<TimerHandle>,
    /// Heartbeats, and repeated requests to open the link, sent since the last octets received.
    pub unanswered_requests: u8,
    /// Whether this process has reset the group's circuits at the far end, which may hold calls of an earlier process.
    pub initial_reset: InitialReset,
    /// The last peer message sent while the link was not usable; it is sent when the link opens.
    pub queued_peer_message: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum InitialReset {
    #[default]
    NotSent,
    Sent,
}

/// What a heartbeat carries; the far end sends it back (RFC 4666 clause 3.5.5).
pub(crate) const HEARTBEAT_DATA: &[u8] = b"mintstal";
/// Heartbeats, or repeated requests to open the link, without an answer after which a link is closed.
pub(crate) const MAX_UNANSWERED_REQUESTS: u8 = 3;

impl Link {
    pub fn is_usable(&self) -> bool {
        self.local_state == LocalAspState::Active && self.remote_state == RemoteAspState::Active
    }
}
