//! Admission of sessions and offers, decided without I/O.
//!
//! | file | holds |
//! | --- | --- |
//! | `bucket` | rates: so many a second, so many at once |
//! | `gate` | sessions and what each, and each customer, may have in hand |
//! | `turns` | whose turn it is when offers wait: deficit round robin by customers' shares |
//! | `admission` | the two together: taken, waits, or refused with a time to come back |
//! | `auth` | tokens, their scopes and customers |
//! | `news` | what happens to calls, told to watchers from their cursors |
//! | `repeats` | offers that come twice under one number |
//! | `resume` | sessions that are taken up again after a cut |
//! | `backlog` | what waits to be said to a session, and what is kept for one that was cut |

mod admission;
mod auth;
mod backlog;
mod bucket;
mod gate;
mod news;
mod repeats;
mod resume;
mod turns;

pub use admission::{Admission, Verdict};
pub use auth::{Denied, Grant, Scope, TokenEntry, TokenFile, Tokens, digest_text};
pub use backlog::{Backlog, Kept, Overflow};
pub use bucket::Bucket;
pub use gate::{Gate, Limits, Opening, Refusal, SessionNo};
pub use news::{CursorError, News, Sees, Told};
pub use repeats::{Repeat, Repeats};
pub use resume::{Fate, Resumable, ResumeError, SessionKey};
pub use turns::{Displaced, Turns};
