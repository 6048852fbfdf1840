//! A controller as a process.
//!
//! | file | holds |
//! | --- | --- |
//! | `config` | the configuration: JSON with a schema, and its checks |
//! | `exchange` | call control, membership and subscriber lines together, without I/O |
//! | `output_buffer` | a size-limited buffer of octets to be written to a connection |
//! | `server` | the mio loop: sockets, timers, signals |

pub mod config;
pub mod exchange;
pub mod output_buffer;
pub mod server;

pub use config::{Config, ConfigError};
pub use exchange::{Exchange, exchange_entries};
pub use server::{ListenAddresses, Server, ServerError};
