//! mintstall decides which calls an exchange sets up and over which route.
//!
//! [`choice`] makes all decisions, [`interface`] defines what it exchanges with the program around it,
//! `recent_numbers` remembers numbers, [`liveness`] detects failed exchanges, [`incarnation`] new processes in their
//! place, [`random`] generates random numbers, and [`timer_queue`] keeps timers. Nothing here reads a clock, a file or a
//! network.

pub mod choice;
pub mod incarnation;
pub mod interface;
pub mod liveness;
pub mod random;
mod recent_numbers;
pub mod timer_queue;

pub use choice::Controller;
