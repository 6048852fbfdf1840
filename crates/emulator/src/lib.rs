//! Stand-ins for the world around controllers. Simulated: nothing here measures a real exchange.
//!
//! [`Day`] is the script, [`Simulation`] plays it: told what controllers send, it says by [`Action`] what reaches them.
//! [`Observer`] sees what crosses between the two.

mod callers;
mod day;
mod far_exchange;
mod observer;
mod processor;
mod score;
mod simulation;

pub use day::*;
pub use far_exchange::{FarCounters, FarExchange, FarPlan};
pub use observer::{Observation, Observer};
pub use score::{Outcome, Revenue, Score};
pub use simulation::{Action, LinkMode, Simulation};
