//! Capacity planning without I/O: the traffic that a fleet carries, and which groups and processors saturate first as traffic
//! grows or exchanges are lost.
//!
//! | file | holds |
//! | --- | --- |
//! | `erlang` | Erlang's loss formula and its inverses |
//! | `multirate` | blocking of calls of several widths on one group (Kaufman and Roberts), with reserved circuits |
//! | `fleet` | the description of a fleet and its validation |
//! | `model` | loads and losses of all groups and processors together, by fixed-point iteration |
//! | `analysis` | saturation order, sizing, loss of exchanges, comparison of two fleets |
//! | `call_log` | call logs of controllers: their records, and reading them |
//! | `call_log_writer` | the records to be written to call logs, with bounded queue and files |
//! | `traffic_matrix` | a traffic matrix estimated from call logs, with confidence intervals |

pub mod analysis;
pub mod call_log;
pub mod call_log_writer;
pub mod erlang;
pub mod fleet;
pub mod model;
pub mod multirate;
pub mod traffic_matrix;

pub use analysis::{
    Bottleneck, Comparison, GroupSize, LossEffect, SaturationPoint, compare, loss_effect, saturation_points,
    size_groups, size_processors,
};
pub use fleet::Fleet;
pub use model::{Equilibria, Solution, solve};
