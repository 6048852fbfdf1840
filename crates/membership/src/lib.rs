//! Membership as a controller holds it: numbered versions from a directory, checked, acknowledged or turned down.
//!
//! The directory sends [`MembershipUpdate`]; [`Membership::apply`] answers with a [`UpdateOutcome`] and, where something changed, with what the
//! controller is to be told. A version that makes no sense changes nothing: the last good one stays in force. The text
//! of [`Membership::snapshot`] brings a restarted controller back to it.

mod directory_messages;
mod membership;

pub use directory_messages::{
    ControllerNotification, DirectoryNotification, FullListRequest, ProcessorStatus,
};
pub use membership::{
    Member, MemberEntry, MemberStatus, Membership, MembershipChange, MembershipLimits, MembershipUpdate,
    RejectReason, Snapshot, SnapshotError, UpdateOutcome,
};
