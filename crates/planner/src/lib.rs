//! Capacity planning, without I/O: what a fleet carries, and what breaks first as it grows or loses exchanges.
//!
//! | file | holds |
//! | --- | --- |
//! | `erlang` | Erlang's loss formula and its inverses |
//! | `widths` | calls of several widths on one group: Kaufman and Roberts, with circuits kept back |
//! | `fleet` | the description of a fleet, every fault found with its place |
//! | `model` | loads and losses of all groups and processors together, by fixed points |
//! | `answers` | what saturates first, what a loss of exchanges does |
//! | `capture` | what controllers saw, as files of lines |
//! | `recorder` | what is written to such a file, bounded |
//! | `measure` | a traffic matrix from these, with how sure it is |

pub mod answers;
pub mod capture;
pub mod erlang;
pub mod fleet;
pub mod measure;
pub mod model;
pub mod recorder;
pub mod widths;

pub use answers::{
    Compared, Limit, Lost, Saturates, Sized, compare, lose, saturate, size_groups, size_processors,
};
pub use fleet::Fleet;
pub use model::{Solution, Solved, solve};
