//! Call control of one exchange without I/O: its methods take events with their time and act through
//! [`CallControlActions`].
//!
//! | file | holds |
//! | --- | --- |
//! | `config` | what is read at start |
//! | `actions` | the trait of outward actions, final answers and ends of calls |
//! | `circuits` | trunk groups, the states of their circuits, selection, dual seizure |
//! | `audit` | circuit audits: circuits that are busy at one end and idle at the other |
//! | `calls` | the calls of this exchange and the circuits that each holds |
//! | `links` | the M3UA state of the link to each other exchange |
//! | `timers` | what timers there are |
//! | `callcontrol` | events from callers, the membership list, the own circuits and the clock |
//! | `signalling` | events from other exchanges: M3UA frames and ISUP messages |
//! | `context` | the state, and the controller's actions on it (`mintstall::interface::ControllerActions`) |
//! | `trace` | traces of the last calls, step by step |
//! | `status` | status figures and counters |

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
pub use config::{CallControlConfig, GroupConfig, NumberConfig, Timers};
pub use status::{CallControlStatus, Counters, GroupStatus, LinkStatus};
pub use trace::{Trace, TraceStep};
