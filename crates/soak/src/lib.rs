//! A fault soak of the platform controller, `mintstall node`.
//!
//! A few controllers and emulated exchanges run as real processes on loopback, with an event bus, callers and a fault
//! proxy between each controller and each exchange. A seed draws the faults; the records of all parties are judged by
//! the rules of the platform's protocol.
//!
//! | module | holds |
//! | --- | --- |
//! | [`plan`] | what a seed does |
//! | [`run`] | carries a plan out |
//! | [`controller`], [`exchange`], [`event_bus`], [`callers`], [`bad_callers`] | the parties |
//! | [`proxy`], [`listener`] | the network and its faults |
//! | [`record`], [`rule_checker`] | what happened, and the rules |

pub mod address;
pub mod bad_callers;
pub mod callers;
pub mod controller;
pub mod event_bus;
pub mod exchange;
pub mod listener;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod rule_checker;
pub mod run;
mod sync;
