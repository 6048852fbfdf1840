//! A controller on the operators' platform, without I/O.
//!
//! | file | holds |
//! | --- | --- |
//! | `exchange_protocol` | the binary messages that exchanges speak |
//! | `event_bus` | the event bus's lines |
//! | `config` | what the platform hands a controller at its start |
//! | `reasons` | why connections are given up and standing calls end, for log and metrics |
//! | `invite` | what a caller's set-up says, every field checked |
//! | `state` | calls, seizures, standing calls, links to exchanges; acts for the decisions |
//! | `core` | what is told from outside, and the decisions it is told on to |
//!
//! [`Core`] is told the time and what came, and acts through [`Transport`]. It decides nothing about calls and routes: all that
//! is asked of [`mintstall::Controller`], which it tells what the simulator's adapter would tell for the same story.

pub mod config;
mod core;
pub mod event_bus;
pub mod exchange_protocol;
pub mod invite;
pub mod reasons;
mod state;

use std::fmt::Arguments;
use std::net::SocketAddr;

pub use crate::config::{Config, ConfigError};
pub use crate::core::{Core, Disconnect};

/// One connection from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerConnectionId(pub u64);

/// One connection to an exchange, dialled or open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// What the core can do outside. Everything is done in the order called.
pub trait Transport {
    /// Writes to a caller.
    fn send_to_caller(&mut self, caller: CallerConnectionId, octets: &[u8]);
    /// Closes a caller's connection once what was said is written; nothing more is told of it.
    fn close_caller_after_flush(&mut self, caller: CallerConnectionId);
    /// Opens a link; its coming up or its failure is told later.
    fn connect_link(&mut self, link: LinkId, to: SocketAddr);
    fn send_to_link(&mut self, link: LinkId, octets: &[u8]);
    /// Whether what was sent on a link waits to be written.
    fn is_write_blocked(&self, link: LinkId) -> bool;
    /// Closes the direction to the exchange of an open link; what could not be written by now is dropped. What comes is
    /// still told, and the end of the other direction as the link's.
    fn shutdown_link_write(&mut self, link: LinkId);
    /// Closes a link, dialled or open; nothing more is told of it.
    fn close_link(&mut self, link: LinkId);
    /// Opens the connection to the event bus in place of a former one.
    fn connect_bus(&mut self, to: SocketAddr);
    fn send_to_bus(&mut self, text: &str);
    fn close_bus(&mut self);
    /// One line of the log: a change of mode.
    fn log_info(&mut self, line: &str);
    /// One step of a call, for whoever has asked to see them all.
    fn log_debug(&mut self, step: Arguments);
}
