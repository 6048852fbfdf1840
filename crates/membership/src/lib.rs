//! The list of exchanges as a controller holds it: numbered versions from a directory, accepted or rejected, without I/O.
//!
//! The directory sends a [`MembershipUpdate`]. [`Membership::apply`] returns an [`UpdateOutcome`] for the directory and,
//! if the version was accepted, the [`MembershipChange`] for the controller. A rejected version changes nothing: the last
//! accepted one stays in force. After a restart, [`Membership::restore`] continues from a stored [`Snapshot`].

mod directory_messages;
mod membership;

pub use directory_messages::{
    ControllerNotification, DirectoryNotification, FullListRequest, ProcessorStatus,
};
pub use membership::{
    Member, MemberEntry, MemberStatus, Membership, MembershipChange, MembershipLimits, MembershipUpdate,
    RejectReason, Snapshot, SnapshotError, UpdateOutcome,
};
