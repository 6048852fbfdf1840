//! Cause indicators (Q.763 clause 3.12, values of Q.850).

use crate::message::IsupError;

macro_rules! causes {
    ($($(#[$doc:meta])* $name:ident = $value:literal;)*) => {
        /// Cause values of Q.850 clause 2.2.7 that the software uses; all others are kept unchanged.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Q850 {
            $($(#[$doc])* $name,)*
            /// Any other value, 0 to 127.
            Other(u8),
        }

        impl Q850 {
            pub fn value(self) -> u8 {
                match self {
                    $(Self::$name => $value,)*
                    Self::Other(value) => value & 0x7f,
                }
            }

            /// Ignores the top bit, which is the extension bit.
            pub fn from_value(value: u8) -> Self {
                match value & 0x7f {
                    $($value => Self::$name,)*
                    other => Self::Other(other),
                }
            }
        }
    };
}

causes! {
    /// No route to the destination.
    NoRoute = 3;
    NormalClearing = 16;
    UserBusy = 17;
    NoUserResponding = 18;
    /// Destination out of order.
    OutOfOrder = 27;
    NormalUnspecified = 31;
    NoCircuit = 34;
    NetworkOutOfOrder = 38;
    TemporaryFailure = 41;
    /// Switching equipment congestion.
    Congestion = 42;
    /// Requested circuit or channel not available.
    CircuitNotAvailable = 44;
    ResourceUnavailable = 47;
    RecoveryOnTimer = 102;
    ProtocolError = 111;
}

/// Part of the network that set a cause (Q.850 clause 2.2.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    User,
    /// Public network serving the local user.
    Local,
    Transit,
    /// Public network serving the remote user.
    Remote,
    Other(u8),
}

impl Location {
    fn value(self) -> u8 {
        match self {
            Self::User => 0,
            Self::Local => 2,
            Self::Transit => 3,
            Self::Remote => 4,
            Self::Other(value) => value & 15,
        }
    }

    fn from_value(value: u8) -> Self {
        match value & 15 {
            0 => Self::User,
            2 => Self::Local,
            3 => Self::Transit,
            4 => Self::Remote,
            other => Self::Other(other),
        }
    }
}

/// A cause and where it was set; diagnostics are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CauseIndicators {
    pub location: Location,
    pub cause: Q850,
}

impl CauseIndicators {
    pub fn new(location: Location, cause: Q850) -> Self {
        Self { location, cause }
    }

    pub(crate) fn read(octets: &[u8]) -> Result<Self, IsupError> {
        // Octet 1 without its extension bit is followed by octet 1a (recommendation), which is ignored.
        let (first, cause) = match octets {
            [first, cause, ..] if first & 0x80 != 0 => (first, cause),
            [first, _recommendation, cause, ..] if first & 0x80 == 0 => (first, cause),
            _ => {
                return Err(IsupError::TooShort {
                    what: "cause indicators",
                    needed: 2,
                    actual: octets.len(),
                });
            }
        };
        Ok(Self { location: Location::from_value(*first), cause: Q850::from_value(*cause) })
    }

    pub(crate) fn write(self) -> [u8; 2] {
        [0x80 | self.location.value(), 0x80 | self.cause.value()]
    }
}
