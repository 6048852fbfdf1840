//! A controller on the operators' platform, without I/O.
//!
//! | file | holds |
//! | --- | --- |
//! | `message` | the binary messages that exchanges speak |
//! | `bus` | the event bus's lines |
//! | `config` | what the platform hands a controller at its start |
//! | `reasons` | why connections are given up and standing calls end, for log and metrics |
//! | `offer` | what a caller's set-up says, every field checked |
//! | `desk` | calls, seizures, standing calls, links to exchanges; acts for the decisions |
//! | `core` | what is told from outside, and the decisions it is told on to |
//!
//! [`Core`] is told the time and what came, and acts through [`Port`]. It decides nothing about calls and routes: all that
//! is asked of [`mintstall::Controller`], which it tells what the simulator's adapter would tell for the same story.

pub mod bus;
pub mod config;
mod core;
mod desk;
pub mod message;
pub mod offer;
pub mod reasons;

use std::fmt::Arguments;
use std::net::SocketAddr;

pub use crate::config::{Config, ConfigError};
pub use crate::core::{Core, Disconnect};

/// One connection from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerNo(pub u64);

/// One connection to an exchange, dialled or open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkNo(pub u64);

/// What the core can do outside. Everything is done in the order called.
pub trait Port {
    /// Writes to a caller.
    fn say(&mut self, caller: CallerNo, octets: &[u8]);
    /// Closes a caller's connection once what was said is written; nothing more is told of it.
    fn hang_up(&mut self, caller: CallerNo);
    /// Opens a link; its coming up or its failure is told later.
    fn dial(&mut self, link: LinkNo, to: SocketAddr);
    fn send(&mut self, link: LinkNo, octets: &[u8]);
    /// Whether what was sent on a link waits to be written.
    fn backed_up(&self, link: LinkNo) -> bool;
    /// Closes the direction to the exchange of an open link; what could not be written by now is dropped. What comes is
    /// still told, and the end of the other direction as the link's.
    fn finish(&mut self, link: LinkNo);
    /// Closes a link, dialled or open; nothing more is told of it.
    fn cut(&mut self, link: LinkNo);
    /// Opens the connection to the event bus in place of a former one.
    fn dial_bus(&mut self, to: SocketAddr);
    fn ask_bus(&mut self, text: &str);
    fn cut_bus(&mut self);
    /// One line of the log: a change of mode.
    fn note(&mut self, line: &str);
    /// One step of a call, for whoever has asked to see them all.
    fn detail(&mut self, step: Arguments);
}
