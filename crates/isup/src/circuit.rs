//! Circuit identification codes, and the parameters that describe several circuits.

use crate::message::IsupError;

/// Circuit identification code: 12 bits (Q.763 clause 1.2). With 2048 kbit/s systems the low five bits are the time
/// slot, 1 to 31; slot 0 carries no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cic(pub u16);

impl Cic {
    pub const MAX: u16 = 0x0fff;
    /// Circuits of one 2048 kbit/s system.
    pub const PER_SYSTEM: u16 = 31;
    /// Circuits in the largest possible group.
    pub const MAX_PER_GROUP: u16 = (Self::MAX + 1) / 32 * Self::PER_SYSTEM;

    /// The code of the circuit at an index in its group, counted from 0 over slots 1 to 31 of each system.
    pub fn from_index(index: u16) -> Self {
        Self(index / Self::PER_SYSTEM * 32 + index % Self::PER_SYSTEM + 1)
    }

    /// The circuit's index in its group; `None` for slot 0.
    pub fn index(self) -> Option<u16> {
        (self.0 % 32).checked_sub(1).map(|slot| self.0 / 32 * Self::PER_SYSTEM + slot)
    }
}

/// Circuits of one system that a call of width above 1 takes (Q.763 clause 3.69): bit 0 is time slot 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitMap(pub u32);

impl CircuitMap {
    /// Map type: 2048 kbit/s digital path, 64 kbit/s base rate.
    const MAP_TYPE: u8 = 2;

    pub(crate) fn read(octets: &[u8]) -> Result<Self, IsupError> {
        match octets {
            [map_type, map @ ..] if map_type & 0x3f == Self::MAP_TYPE && map.len() == 4 => {
                Ok(Self(u32::from_le_bytes([map[0], map[1], map[2], map[3]]) & 0x7fff_ffff))
            }
            _ => Err(IsupError::InvalidValue {
                what: "circuit assignment map",
                value: u32::from(octets.first().copied().unwrap_or(0)),
            }),
        }
    }

    pub(crate) fn write(self) -> [u8; 5] {
        let [a, b, c, d] = (self.0 & 0x7fff_ffff).to_le_bytes();
        [Self::MAP_TYPE, a, b, c, d]
    }

    /// The mapped circuits, in the system of circuit `first`.
    pub fn circuits(self, first: Cic) -> impl Iterator<Item = Cic> {
        let system = first.0 & !31;
        (0..31).filter(move |slot| self.0 >> slot & 1 == 1).map(move |slot| Cic(system + slot + 1))
    }
}

/// State of a circuit in the response to a circuit group query (Q.763 clause 3.14).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    Unequipped,
    /// Being seized or released, or in an unspecified maintenance state.
    Transient,
    Idle {
        blocked: bool,
    },
    IncomingBusy {
        blocked: bool,
    },
    OutgoingBusy {
        blocked: bool,
    },
}

impl CircuitState {
    pub(crate) fn read(octet: u8) -> Self {
        let blocked = octet & 3 != 0;
        match octet >> 2 & 3 {
            1 => Self::IncomingBusy { blocked },
            2 => Self::OutgoingBusy { blocked },
            3 => Self::Idle { blocked },
            _ if octet & 3 == 3 => Self::Unequipped,
            _ => Self::Transient,
        }
    }

    pub(crate) fn write(self) -> u8 {
        match self {
            Self::Unequipped => 3,
            Self::Transient => 0,
            Self::IncomingBusy { blocked } => 4 | u8::from(blocked),
            Self::OutgoingBusy { blocked } => 8 | u8::from(blocked),
            Self::Idle { blocked } => 12 | u8::from(blocked),
        }
    }
}

/// A number of consecutive circuits from the one that the message names, and a status bit for each (Q.763 clause 3.43).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeStatus {
    /// Number of circuits, 1 to 32; the range on the wire is one less.
    pub count: u8,
    /// Bit 0 is the circuit that the message names.
    pub status: u32,
}

impl RangeStatus {
    /// Most circuits in one message: the range of a group reset is below 32 (Q.763 clause 3.43).
    pub const MAX_COUNT: u8 = 32;

    pub(crate) fn read(octets: &[u8], with_status: bool) -> Result<Self, IsupError> {
        let [range, status @ ..] = octets else {
            return Err(IsupError::TooShort { what: "range and status", needed: 1, actual: 0 });
        };
        if *range >= Self::MAX_COUNT {
            return Err(IsupError::TooLong {
                what: "range and status",
                max: 31,
                actual: usize::from(*range),
            });
        }
        let needed = if with_status { usize::from(range / 8) + 1 } else { 0 };
        let Some(status) = status.get(..needed) else {
            return Err(IsupError::TooShort { what: "range and status", needed, actual: status.len() });
        };
        let bits = status.iter().rev().fold(0u32, |bits, octet| bits << 8 | u32::from(*octet));
        Ok(Self { count: range + 1, status: bits & Self::mask(range + 1) })
    }

    pub(crate) fn write(self, out: &mut Vec<u8>, with_status: bool) {
        let count = self.count.clamp(1, Self::MAX_COUNT);
        out.push(count - 1);
        if with_status {
            let bits = (self.status & Self::mask(count)).to_le_bytes();
            out.extend_from_slice(&bits[..usize::from((count - 1) / 8) + 1]);
        }
    }

    fn mask(count: u8) -> u32 {
        u32::MAX >> (32 - u32::from(count.clamp(1, Self::MAX_COUNT)))
    }
}
