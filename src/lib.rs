//! mintstall decides which calls an exchange sets up and over which route.
//!
//! [`choice`] holds every decision, [`interface`] the interface to whatever feeds and obeys it,
//! [`random`] the random numbers. Nothing here reads a clock, a file or a network.

pub mod choice;
pub mod interface;
pub mod liveness;
pub mod random;

pub use choice::Controller;
