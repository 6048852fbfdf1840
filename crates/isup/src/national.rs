//! What the standard has no place for, in codes that it leaves to national use: "from the highest code downwards",
//! `1111 1111` to `1110 0000` (Q.763 clause 1.10). An exchange that does not know them passes over them.

use std::time::Duration;

use crate::message::IsupError;
use crate::octet_reader::OctetReader;

/// Parameter: how long the full processor asks to be left alone, milliseconds.
pub const CONGESTION_WAIT: u8 = 0xff;
/// Parameter: the processor's own report, see [`ProcessorReport`].
pub const REPORT: u8 = 0xfe;
/// Parameter: a tandem turned the call back, see [`Crankback`].
pub const CRANKBACK: u8 = 0xfd;
/// Parameter: whose call it is, see [`CallIdentity`].
pub const IDENTITY: u8 = 0xfc;

/// Message: a short message from one controller to another.
pub const PEER_MESSAGE: u8 = 0xfd;

/// What a processor says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorReport {
    /// New set-ups a second that it can take from all senders, in thousandths.
    pub rate_milli: Option<u32>,
}

impl ProcessorReport {
    pub(crate) fn read(octets: &[u8]) -> Result<Self, IsupError> {
        let mut octets = OctetReader::new(octets, "processor's report");
        let (told, rate) = (octets.u8()?, octets.u32()?);
        Ok(Self { rate_milli: (told & 1 != 0).then_some(rate) })
    }

    pub(crate) fn write(self) -> [u8; 5] {
        let [a, b, c, d] = self.rate_milli.unwrap_or(0).to_be_bytes();
        [u8::from(self.rate_milli.is_some()), a, b, c, d]
    }
}

/// How a tandem turned a call back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crankback {
    /// The processor after the tandem was full.
    pub next_exchange_full: bool,
}

/// Whose call a set-up belongs to, for the audit and for tandems. Stays the same along the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallIdentity {
    /// The exchange that took the call from its caller.
    pub origin: u16,
    /// The call's number there, never used twice.
    pub call: u64,
    /// Which seizure of the call, counted from 0.
    pub seizure: u8,
    pub call_type: u8,
    pub customer: u16,
    /// Time that the caller has left when the set-up goes out, to the millisecond.
    pub time_left_ms: u32,
    /// It stood, was cut, and comes again.
    pub cut: bool,
    /// Its caller dials again.
    pub redial: bool,
}

impl CallIdentity {
    const LENGTH: usize = 19;

    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.time_left_ms.into())
    }

    pub(crate) fn read(octets: &[u8]) -> Result<Self, IsupError> {
        let mut octets = OctetReader::new(octets, "call's identity");
        let (origin, call, seizure) = (octets.u16()?, octets.u64()?, octets.u8()?);
        let (call_type, customer, time_left_ms) = (octets.u8()?, octets.u16()?, octets.u32()?);
        let marks = octets.u8()?;
        Ok(Self {
            origin,
            call,
            seizure,
            call_type,
            customer,
            time_left_ms,
            cut: marks & 1 != 0,
            redial: marks & 2 != 0,
        })
    }

    pub(crate) fn write(self) -> [u8; Self::LENGTH] {
        let mut out = [0; Self::LENGTH];
        out[..2].copy_from_slice(&self.origin.to_be_bytes());
        out[2..10].copy_from_slice(&self.call.to_be_bytes());
        out[10] = self.seizure;
        out[11] = self.call_type;
        out[12..14].copy_from_slice(&self.customer.to_be_bytes());
        out[14..18].copy_from_slice(&self.time_left_ms.to_be_bytes());
        out[18] = u8::from(self.cut) | u8::from(self.redial) << 1;
        out
    }
}
