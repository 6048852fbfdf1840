//! One exchange's controller without I/O: told things with the time, acting through [`Plant`].
//!
//! | file | holds |
//! | --- | --- |
//! | `plan` | what is read at start |
//! | `plant` | what the office acts through, and what it tells its callers |
//! | `circuits` | trunk groups, the states of their circuits, selection, dual seizure |
//! | `queries` | circuits that one end holds busy and the other idle |
//! | `legs` | the calls of this exchange and the circuits that each holds |
//! | `links` | the M3UA state of the link to each other exchange |
//! | `timers` | what rings when |
//! | `office` | what callers, roster and clock tell |
//! | `signalling` | what the other exchanges tell |
//! | `desk` | what the decisions may do: `mintstall::interface::Host` |
//! | `trace` | what became of the last calls, step by step |
//! | `state` | what is shown of it |

mod circuits;
mod desk;
mod legs;
mod links;
mod office;
mod plan;
mod plant;
mod queries;
mod signalling;
mod state;
mod timers;
mod trace;

pub use office::{Office, Order};
pub use plan::{GroupPlan, NumberPlan, OfficePlan, Timers};
pub use plant::{Answer, CallEnd, Plant};
pub use state::{GroupState, LinkState, OfficeState, Tally};
pub use trace::{Step, Trace};
