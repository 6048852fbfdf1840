//! mintstall decides which calls an exchange sets up and over which route.
//!
//! [`choice`] makes all decisions, [`interface`] defines what it exchanges with the program around it,
//! [`liveness`] detects failed exchanges, [`incarnation`] new processes in their place, and [`random`] generates random
//! numbers. Nothing here reads a clock, a file or a network.

pub mod choice;
pub mod incarnation;
pub mod interface;
pub mod liveness;
pub mod random;

pub use choice::Controller;
