//! Membership as a controller holds it: numbered versions from a directory, checked, acknowledged or turned down.
//!
//! The directory sends [`News`]; [`Roster::hear`] answers with a [`Verdict`] and, where something changed, with what the
//! controller is to be told. A version that makes no sense changes nothing: the last good one stays in force. The text
//! of [`Roster::keep`] brings a restarted controller back to it.

mod directory_messages;
mod membership;

pub use directory_messages::{Ask, FeedNote, ProcessorNote, Reply};
pub use membership::{Entry, Held, Kept, KeptError, Limits, News, Refusal, Roster, Standing, Told, Verdict};
