//! Stand-ins for the world around controllers. Simulated: nothing here measures a real exchange.
//!
//! [`Day`] is the script, [`World`] plays it: told what controllers send, it says by [`Act`] what reaches them.
//! [`Witness`] sees what crosses between the two.

mod callers;
mod day;
mod far_exchange;
mod observer;
mod processor;
mod score;
mod simulation;

pub use day::*;
pub use far_exchange::{Far, FarPlan, FarTally};
pub use observer::{Seen, Witness};
pub use score::{Outcome, Score, Slice};
pub use simulation::{Act, Wiring, World};
