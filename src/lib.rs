//! mintstall decides which calls an exchange sets up and over which route.
//!
//! [`choice`] holds every decision, [`host`] the interface to whatever feeds and obeys it,
//! [`chance`] the random numbers. Nothing here reads a clock, a file or a network.

pub mod chance;
pub mod choice;
pub mod host;
pub mod liveness;

pub use choice::Controller;
