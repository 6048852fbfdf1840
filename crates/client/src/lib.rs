//! Client of the call-control API over WebSocket. It reconnects after disconnections and restarts of the controller, resumes
//! its session and settles its calls.
//!
//! | file | holds |
//! | --- | --- |
//! | `session` | the session without I/O: reconnects, resumes, settles its calls; the time is an argument |
//! | `client` | the blocking client, which runs a session over TCP |
//!
//! ```no_run
//! use std::time::Duration;
//! use mintstall_client::{Client, SessionConfig, offer};
//!
//! let mut client = Client::connect(vec!["127.0.0.1:7300".parse()?], SessionConfig::named("example"), Duration::from_secs(5))?;
//! let outcome = client.call(offer(2, 5_551_000, Duration::from_secs(3)))?;
//! println!("{outcome:?}");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod client;
mod session;

pub use client::{CallOutcome, Client, ClientError, offer};
pub use session::{Event, RequestError, Session, SessionConfig};

pub use mintstall_callapi as api;
pub use mintstall_limits::{ReconnectPolicy, RedialBudget, RedialDenied, RedialPolicy};
