//! Stand-ins for the world around controllers. Simulated: nothing here measures a real exchange.
//!
//! [`Day`] is the script, [`World`] plays it: told what controllers send, it says by [`Act`] what reaches them.
//! [`Witness`] sees what crosses between the two.

mod callers;
mod day;
mod far;
mod processor;
mod score;
mod witness;
mod world;

pub use day::*;
pub use far::{Far, FarPlan, FarTally};
pub use score::{Outcome, Score, Slice};
pub use witness::{Seen, Witness};
pub use world::{Act, Wiring, World};
