//! A controller as a process.
//!
//! | file | holds |
//! | --- | --- |
//! | `config` | the configuration: JSON, its schema, every fault found with its place |
//! | `exchange` | office, roster and subscriber lines together, without I/O |
//! | `wires` | what waits to be written, bounded |
//! | `shell` | the mio loop: sockets, timers, signals |

pub mod config;
pub mod exchange;
pub mod shell;
pub mod wires;

pub use config::{Config, ConfigError};
pub use exchange::{Exchange, roster_lines};
pub use shell::{Addresses, Shell, ShellError};
