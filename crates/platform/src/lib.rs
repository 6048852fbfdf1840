//! A controller on the operators' platform, without I/O.
//!
//! | file | holds |
//! | --- | --- |
//! | `exchange_protocol` | the binary protocol between controllers and exchanges |
//! | `event_bus` | the decoder of the event bus's lines |
//! | `config` | the configuration file that the platform gives a controller |
//! | `reasons` | why connections are closed and standing calls end, for log and metrics |
//! | `invite` | the parser of callers' set-ups |
//! | `state` | calls, seizures, standing calls, links to exchanges; carries out the controller's actions |
//! | `core` | handles events from outside and passes them to the controller |
//!
//! [`Core`] is given the time and each event, and acts through [`Transport`]. All decisions about calls and routes are
//! made by [`mintstall::Controller`], which gets the same events as from the simulator's adapter.

pub mod bus_connector;
mod config;
mod core;
pub mod event_bus;
pub mod exchange_protocol;
pub mod invite;
pub mod reasons;
mod state;

use std::fmt::Arguments;
use std::net::SocketAddr;

pub use mintstall::interface::CallId;

pub use crate::config::{Config, ConfigError};
pub use crate::core::{Core, Disconnect};

/// One connection from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerConnectionId(pub u64);

/// One connection to an exchange, connecting or open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// One connection to the event bus, connecting or open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BusConnectionId(pub u64);

/// The I/O that the core asks for, carried out in the order called.
pub trait Transport {
    fn send_to_caller(&mut self, caller: CallerConnectionId, octets: &[u8]);
    /// Whether what a caller sends is left unread for now, because too much output waits.
    fn is_caller_read_paused(&self, caller: CallerConnectionId) -> bool;
    /// Whether output for a caller waits to be written, or input from it that has arrived to be read. It can't know of a close
    /// before it has read the output, so what it sends until then counts.
    fn has_pending_data(&self, caller: CallerConnectionId) -> bool;
    /// Closes a caller's connection once everything sent on it is written. The core gets no more events of it.
    fn close_caller_after_flush(&mut self, caller: CallerConnectionId);
    /// Opens a link. The core is told by [`Core::link_connected`] or [`Core::link_disconnected`].
    fn connect_link(&mut self, link: LinkId, to: SocketAddr);
    fn send_to_link(&mut self, link: LinkId, octets: &[u8]);
    /// Sends a set-up, which can be taken back by its call until some of it is written.
    fn send_set_up(&mut self, link: LinkId, call: CallId, octets: &[u8]);
    /// Takes back the set-up of a call. Returns whether nothing of it was written, and so nothing ever will be.
    fn revoke_set_up(&mut self, link: LinkId, call: CallId) -> bool;
    /// Whether data sent on a link still waits to be written.
    fn is_write_blocked(&self, link: LinkId) -> bool;
    /// Whether what arrives on a link is left unread for now, because too much output waits.
    fn is_link_read_paused(&self, link: LinkId) -> bool;
    /// Closes an open link in the direction to the exchange and drops data that is not written yet. The core still gets
    /// the data that arrives; the end of the other direction counts as the link's end.
    fn shutdown_link_write(&mut self, link: LinkId);
    /// Closes a link, connecting or open. The core gets no more events of it.
    fn close_link(&mut self, link: LinkId);
    /// Opens a connection to the event bus. The core is told by [`Core::bus_connected`] or [`Core::bus_disconnected`].
    fn connect_bus(&mut self, connection: BusConnectionId, to: SocketAddr);
    fn send_to_bus(&mut self, connection: BusConnectionId, text: &str);
    /// Closes a connection to the event bus. The core gets no more events of it.
    fn close_bus(&mut self, connection: BusConnectionId);
    /// Writes a log line at level info, about a change of mode or state.
    fn log_info(&mut self, line: &str);
    /// Writes a log line at level debug, about a step of a call or a connection.
    fn log_debug(&mut self, step: Arguments);
}
