//! The link to another exchange: M3UA between two peers without a gateway (RFC 4666 clause 4.3, IPSP, both ends
//! announcing themselves), no I/O.

use mintstall_isup::Deframer;

use crate::timers::TimerHandle;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LocalAspState {
    /// No connection.
    #[default]
    Down,
    /// Connected; the own ASP up is not acknowledged.
    Announcing,
    /// Acknowledged; the own ASP active is not.
    Activating,
    Active,
}

/// Whether the far end said that it takes traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RemoteAspState {
    #[default]
    Inactive,
    Active,
}

#[derive(Debug, Default)]
pub(crate) struct Link {
    pub phase: LocalAspState,
    pub far: RemoteAspState,
    pub deframer: Deframer,
    pub timer: Option<TimerHandle>,
    pub grace: Option<TimerHandle>,
    /// Signs of life asked for since anything came.
    pub unanswered: u8,
    /// Whether this process has reset the group's circuits at the far end, which may hold calls of one before it.
    pub cleared: Cleared,
    /// The last short message that the link could not take yet.
    pub waiting: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Cleared {
    #[default]
    NotYet,
    Asked,
}

/// Signs of life without an answer after which a link is given up.
pub(crate) const MAX_UNANSWERED_HEARTBEATS: u8 = 3;

impl Link {
    pub fn usable(&self) -> bool {
        self.phase == LocalAspState::Active && self.far == RemoteAspState::Active
    }
}
