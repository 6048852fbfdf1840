//! Admission of sessions and offers, and what a client does about it, decided without I/O.
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
//! | `backlog` | what is to be said to a session that was cut, once it is taken up |
//! | `vigil` | connections that never say who they are, fall silent, or do not close |
//! | `comeback` | at the client: when to dial anew, and when to offer a refused call again |
//! | `book` | at the client: its calls, and what became of them across a cut |

mod admission;
mod auth;
mod backlog;
mod book;
mod bucket;
mod comeback;
mod gate;
mod news;
mod repeats;
mod resume;
mod turns;
mod vigil;

pub use admission::{Admission, Verdict};
pub use auth::{Denied, Grant, Scope, TokenEntry, TokenFile, Tokens, digest_text};
pub use backlog::{Backlog, Overflow};
pub use book::{Book, InUse, Settled, ThereIs};
pub use bucket::Bucket;
pub use comeback::{ComeBack, ComeBackPlan, NotAgain, Redial, RedialPlan};
pub use gate::{Gate, Limits, Opening, Refusal, SessionNo};
pub use news::{CursorError, News, Sees, Told};
pub use repeats::{Repeat, Repeats};
pub use resume::{Fate, Resumable, ResumeError, SessionKey};
pub use turns::{Displaced, Turns};
pub use vigil::{Due, Lapse, Patience, TooManyOpening, Vigil};
