//! The laboratory, first part: days over sockets or in virtual time, and the verdict on the rules.

pub mod audit;
pub mod capture;
pub mod clients;
pub mod far;
pub mod load;
pub mod loopback;
pub mod report;
pub mod setup;
pub mod virtual_day;

pub use audit::{Auditor, Breach, Verdict};
pub use report::Report;
