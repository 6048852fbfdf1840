//! Emulates the environment of controllers: exchange processors, network, directory and subscribers. All are models;
//! none of their figures is a measurement of a real exchange.
//!
//! [`Day`] is the script and [`Simulation`] runs it. The simulation takes what controllers send and returns what they
//! receive as [`Action`]s. An [`Observer`] is notified of both. [`FarExchange`] emulates a single exchange.

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
