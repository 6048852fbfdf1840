//! Admission of sessions and offers, and what a client does about it, decided without I/O.
//!
//! | file | holds |
//! | --- | --- |
//! | `token_bucket` | rates: so many a second, so many at once |
//! | `session_limiter` | sessions and what each, and each customer, may have in hand |
//! | `fair_queue` | whose turn it is when offers wait: deficit round robin by customers' shares |
//! | `admission` | the two together: taken, waits, or refused with a time to come back |
//! | `auth` | tokens, their scopes and customers |
//! | `event_log` | what happens to calls, told to watchers from their cursors |
//! | `answer_cache` | offers that come twice under one number |
//! | `resumable_sessions` | sessions that are taken up again after a cut |
//! | `backlog` | what is to be said to a session that was cut, once it is taken up |
//! | `connection_monitor` | connections that never say who they are, fall silent, or do not close |
//! | `retry` | at the client: when to dial anew, and when to offer a refused call again |
//! | `call_table` | at the client: its calls, and what became of them across a cut |

mod admission;
mod answer_cache;
mod auth;
mod backlog;
mod call_table;
mod connection_monitor;
mod event_log;
mod fair_queue;
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
pub use resumable_sessions::{DisconnectOutcome, ResumableSessions, ResumeError, SessionKey};
pub use retry::{ReconnectBackoff, ReconnectPolicy, RedialBudget, RedialDenied, RedialPolicy};
pub use session_limiter::{AdmissionError, Limits, OpenOutcome, SessionId, SessionLimiter};
pub use token_bucket::TokenBucket;
