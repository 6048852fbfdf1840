//! A controller as a process.
//!
//! | file | holds |
//! | --- | --- |
//! | `config` | the configuration: JSON, its schema, every fault found with its place |
//! | `exchange` | office, roster and subscriber lines together, without I/O |
//! | `output_buffer` | what waits to be written, bounded |
//! | `server` | the mio loop: sockets, timers, signals |

pub mod config;
pub mod exchange;
pub mod output_buffer;
pub mod server;

pub use config::{Config, ConfigError};
pub use exchange::{Exchange, exchange_entries};
pub use server::{ListenAddresses, Server, ServerError};
