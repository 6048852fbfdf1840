//! A fault soak of the platform controller, `mintstall node`.
//!
//! A few controllers and emulated exchanges run as processes on loopback, with an event bus, callers, and a fault proxy
//! between each controller and each exchange. A seed determines the faults. The records of all parties are checked
//! against the rules of the platform's protocol.
//!
//! | module | holds |
//! | --- | --- |
//! | [`plan`] | the faults and settings of a run, drawn from its seed |
//! | [`run`] | starts the parties and applies the faults of a plan |
//! | [`controller`], [`exchange`], [`event_bus`], [`callers`], [`bad_callers`] | the parties |
//! | [`proxy`], [`listener`], [`address`] | the emulated network and its faults, and loopback addresses |
//! | [`record`], [`rule_checker`] | the records of a run, and the check of the rules |

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
