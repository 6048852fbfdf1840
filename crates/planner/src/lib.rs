//! Capacity planning, without I/O: what a fleet carries, and what breaks first as it grows or loses exchanges.
//!
//! | file | holds |
//! | --- | --- |
//! | `erlang` | Erlang's loss formula and its inverses |
//! | `multirate` | calls of several widths on one group: Kaufman and Roberts, with circuits kept back |
//! | `fleet` | the description of a fleet, every fault found with its place |
//! | `model` | loads and losses of all groups and processors together, by fixed points |
//! | `analysis` | what saturates first, what a loss of exchanges does |
//! | `call_log` | what controllers saw, as files of lines |
//! | `call_log_writer` | what is written to such a file, bounded |
//! | `traffic_matrix` | a traffic matrix from these, with how sure it is |

pub mod analysis;
pub mod call_log;
pub mod call_log_writer;
pub mod erlang;
pub mod fleet;
pub mod model;
pub mod multirate;
pub mod traffic_matrix;

pub use analysis::{
    Bottleneck, Compared, Lost, SaturationPoint, Sized, compare, lose, saturation_points, size_groups,
    size_processors,
};
pub use fleet::Fleet;
pub use model::{Equilibria, Solution, solve};
