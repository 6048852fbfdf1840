//! One exchange's controller without I/O: told things with the time, acting through [`CallControlActions`].
//!
//! | file | holds |
//! | --- | --- |
//! | `config` | what is read at start |
//! | `actions` | what the office acts through, and what it tells its callers |
//! | `circuits` | trunk groups, the states of their circuits, selection, dual seizure |
//! | `audit` | circuits that one end holds busy and the other idle |
//! | `calls` | the calls of this exchange and the circuits that each holds |
//! | `links` | the M3UA state of the link to each other exchange |
//! | `timers` | what rings when |
//! | `callcontrol` | what callers, roster and clock tell |
//! | `signalling` | what the other exchanges tell |
//! | `context` | what the decisions may do: `mintstall::interface::ControllerActions` |
//! | `trace` | what became of the last calls, step by step |
//! | `status` | what is shown of it |

mod actions;
mod audit;
mod callcontrol;
mod calls;
mod circuits;
mod config;
mod context;
mod links;
mod signalling;
mod status;
mod timers;
mod trace;

pub use actions::{Answer, CallControlActions, CallEnd};
pub use callcontrol::{CallControl, CallRequest};
pub use config::{CallControlConfig, GroupConfig, NumberPlan, Timers};
pub use status::{CallControlStatus, Counters, GroupStatus, LinkStatus};
pub use trace::{Trace, TraceStep};
