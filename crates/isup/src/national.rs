//! Extensions to the standard, in the codes that it reserves for national use: "from the highest code downwards",
//! `1111 1111` to `1110 0000` (Q.763 clause 1.10). An exchange that does not know them ignores them.

use std::time::Duration;

use crate::message::IsupError;
use crate::octet_reader::OctetReader;

/// Parameter: milliseconds for which a full processor asks to get no set-ups.
pub const CONGESTION_WAIT: u8 = 0xff;
/// Parameter: [`ProcessorReport`].
pub const REPORT: u8 = 0xfe;
/// Parameter: [`Crankback`].
pub const CRANKBACK: u8 = 0xfd;
/// Parameter: [`CallIdentity`].
pub const IDENTITY: u8 = 0xfc;

/// Message: a short message from one controller to another.
pub const PEER_MESSAGE: u8 = 0xfd;

/// Capacity of a processor, as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorReport {
    /// New set-ups that it accepts from all senders together, in thousandths a second.
    pub rate_milli: Option<u32>,
}

impl ProcessorReport {
    pub(crate) fn read(octets: &[u8]) -> Result<Self, IsupError> {
        let mut octets = OctetReader::new(octets, "processor report");
        let (flags, rate) = (octets.u8()?, octets.u32()?);
        Ok(Self { rate_milli: (flags & 1 != 0).then_some(rate) })
    }

    pub(crate) fn write(self) -> [u8; 5] {
        let [a, b, c, d] = self.rate_milli.unwrap_or(0).to_be_bytes();
        [u8::from(self.rate_milli.is_some()), a, b, c, d]
    }
}

/// A tandem could not pass a call on and returned it to the previous exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crankback {
    /// The processor of the exchange after the tandem was full.
    pub next_exchange_full: bool,
}

/// The call that a set-up belongs to, for tandems and for the laboratory's rule checker. A tandem passes it on with
/// a new `time_left_ms`, and otherwise unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallIdentity {
    /// The exchange that received the call from its caller.
    pub origin: u16,
    /// The call's number at that exchange, never used twice.
    pub call: u64,
    /// Number of the seizure within the call, from 0.
    pub seizure: u8,
    pub call_type: u8,
    pub customer: u16,
    /// Time that the caller still waits for an answer when the set-up is sent, in milliseconds.
    pub time_left_ms: u32,
    /// The call was standing, was cut, and is set up again.
    pub cut: bool,
    /// The caller is redialling after a failed attempt.
    pub redial: bool,
}

impl CallIdentity {
    const LENGTH: usize = 19;

    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.time_left_ms.into())
    }

    pub(crate) fn read(octets: &[u8]) -> Result<Self, IsupError> {
        let mut octets = OctetReader::new(octets, "call identity");
        let (origin, call, seizure) = (octets.u16()?, octets.u64()?, octets.u8()?);
        let (call_type, customer, time_left_ms) = (octets.u8()?, octets.u16()?, octets.u32()?);
        let flags = octets.u8()?;
        Ok(Self {
            origin,
            call,
            seizure,
            call_type,
            customer,
            time_left_ms,
            cut: flags & 1 != 0,
            redial: flags & 2 != 0,
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
