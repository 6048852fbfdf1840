//! The laboratory: runs day scripts over sockets or in virtual time, checks the five rules on what the controllers send, and
//! puts load on a single controller.

pub mod clients;
pub mod controller_config;
pub mod far;
pub mod load;
pub mod loopback;
pub mod pcap;
pub mod report;
pub mod rule_checker;
pub mod virtual_day;

pub use report::Report;
pub use rule_checker::{RuleChecker, Verdict, Violation};
