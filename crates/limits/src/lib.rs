//! Admission control for sessions and offers at the server, and call state and retries at the client. No I/O.
//!
//! | file | holds |
//! | --- | --- |
//! | `token_bucket` | rate limits: an average rate and a burst |
//! | `session_limiter` | limits on open sessions, and on the calls and request rates of each session and customer |
//! | `fair_queue` | the queue of waiting offers: deficit round robin by customers' shares |
//! | `admission` | combines both: an offer is admitted, queued, or refused with a retry time |
//! | `auth` | tokens, their scopes and customers |
//! | `event_log` | call events, delivered to watching sessions from their cursors |
//! | `answer_cache` | answers of recent offers, for offers that are sent twice under one number |
//! | `resumable_sessions` | sessions that can be resumed after their connection was lost |
//! | `backlog` | messages kept for a session that has no connection until it is resumed |
//! | `connection_monitor` | timeouts of connections: opening handshake, idle time, closing handshake |
//! | `output_monitor` | output that waits for connections: peers that do not read, and when to read less |
//! | `retry` | client: when to reconnect, and when to offer a refused call again |
//! | `call_table` | client: its calls, and their reconciliation with the server after a lost connection |

mod admission;
mod answer_cache;
mod auth;
mod backlog;
mod call_table;
mod connection_monitor;
mod event_log;
mod fair_queue;
mod output_monitor;
mod resumable_sessions;
mod retry;
mod session_limiter;
mod token_bucket;

pub use admission::{Admission, AdmissionDecision};
pub use answer_cache::{AnswerCache, CachedAnswer};
pub use auth::{AuthError, Grant, Scope, TokenEntry, TokenFile, Tokens, token_digest};
pub use backlog::{Backlog, BacklogFull};
pub use call_table::{CallNumberInUse, CallTable, ReconciledCalls, ServerCallState};
pub use connection_monitor::{
    ConnectionMonitor, ConnectionTimeouts, MonitorAction, TimeoutCause, TooManyHandshakes,
};
pub use event_log::{CursorError, CustomerFilter, EventBatch, EventLog};
pub use fair_queue::{Evicted, FairQueue};
pub use output_monitor::{
    MIN_PROGRESS_OCTETS, OutputMonitor, SCARCE_STALL_TIMEOUT, STALL_TIMEOUT, StalledPeer,
};
pub use resumable_sessions::{DisconnectOutcome, ResumableSessions, ResumeError, SessionKey};
pub use retry::{ReconnectBackoff, ReconnectPolicy, RedialBudget, RedialDenied, RedialPolicy};
pub use session_limiter::{AdmissionError, Limits, OpenOutcome, SessionId, SessionLimiter};
pub use token_bucket::TokenBucket;
