//! ISUP (ITU-T Q.763) in M3UA frames (RFC 4666): bytes to types and back, without I/O.
//!
//! [`m3ua`] cuts a stream of bytes into frames and names them, [`message`] reads and writes what a DATA frame
//! carries, [`number`], [`cause`] and [`circuit`] hold the parameters that have a meaning here, [`national`] what is
//! ours. Whatever is read borrows from the bytes it was read from.

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
