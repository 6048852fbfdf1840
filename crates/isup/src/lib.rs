//! Codec for ISUP messages (ITU-T Q.763) in M3UA frames (RFC 4666), without I/O.
//!
//! [`m3ua`] splits a stream of octets into frames and reads and writes them, [`message`] reads and writes the ISUP
//! message of a DATA frame. [`number`], [`cause`] and [`circuit`] hold the standard parameters, [`national`] the
//! extensions of this project. Frames and messages borrow from the octets that they were read from.

pub mod cause;
pub mod circuit;
pub mod m3ua;
pub mod message;
pub mod national;
pub mod number;
mod octet_reader;

pub use cause::{CauseIndicators, Location, Q850};
pub use circuit::{Cic, CircuitMap, CircuitState, RangeStatus};
pub use m3ua::{Deframer, Frame, FrameError, ProtocolData};
pub use message::{Body, Iam, IsupError, Message, Rel, UnknownParameters};
pub use national::{CallIdentity, Crankback, ProcessorReport};
pub use number::Number;
