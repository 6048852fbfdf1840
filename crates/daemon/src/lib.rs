//! A controller as a process.
//!
//! | file | holds |
//! | --- | --- |
//! | `config` | the configuration: JSON with a schema, and its checks |
//! | `connections` | the sockets, and the output that waits for each |
//! | `exchange` | call control, membership and subscriber lines together, without I/O |
//! | `link_claims` | incoming connections that name an exchange which has a link already |
//! | `output_buffer` | the octets that wait to be written to a connection |
//! | `server` | the mio loop: listeners, reads, timers, signals; outgoing connections and links |

pub mod config;
mod connections;
pub mod exchange;
mod link_claims;
pub mod output_buffer;
pub mod server;

pub use config::{Config, ConfigError};
pub use exchange::{Exchange, exchange_entries};
pub use server::{ListenAddresses, Server, ServerError};
