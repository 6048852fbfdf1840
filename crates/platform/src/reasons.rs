//! Why connections are given up and standing calls end: the words of the log and the labels of the metrics.

use std::fmt;

/// Why a connection to an exchange was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkLoss {
    /// Nobody listens at the address.
    Refused,
    /// The other side closed or reset it, or the network did.
    Disconnected,
    /// It did not come up in time.
    DialTimeout,
    /// A message that can't be decoded.
    Malformed,
    /// Part of a message, and no more of it for long.
    IncompleteMessage,
    /// It was only read on, and that time is over.
    DrainExpired,
    /// The exchange is at another address now.
    AddressChanged,
    /// The event bus has told that the exchange is gone.
    ExchangeGone,
    /// The process ends.
    Shutdown,
}

impl LinkLoss {
    pub const fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Disconnected => "disconnected",
            Self::DialTimeout => "dial_timeout",
            Self::Malformed => "malformed",
            Self::IncompleteMessage => "incomplete_message",
            Self::DrainExpired => "drain_expired",
            Self::AddressChanged => "address_changed",
            Self::ExchangeGone => "exchange_gone",
            Self::Shutdown => "shutdown",
        }
    }
}

/// Why a call that stood is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Its exchange released it.
    Released,
    /// Its exchange told that it was cut.
    Cut,
    /// Its caller released it.
    ReleasedByCaller,
    /// The event bus has told that its exchange is gone.
    ExchangeGone,
    /// The event bus has told a later start of its exchange.
    ExchangeRestarted,
    /// The exchange's address refuses connections, and none is open.
    ExchangeRefused,
    /// Nothing has come from the exchange for longer than its calls may go without.
    LeaseExpired,
    /// A caller named a call at an exchange that is not on the list.
    ExchangeUnknown,
}

impl CallEnd {
    pub const fn label(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::Cut => "cut",
            Self::ReleasedByCaller => "released_by_caller",
            Self::ExchangeGone => "exchange_gone",
            Self::ExchangeRestarted => "exchange_restarted",
            Self::ExchangeRefused => "exchange_refused",
            Self::LeaseExpired => "lease_expired",
            Self::ExchangeUnknown => "exchange_unknown",
        }
    }

    /// Counts calls that ended for this reason.
    pub fn count(self, calls: usize) {
        metrics::counter!("calls_ended", "reason" => self.label()).increment(calls as u64);
    }
}

/// Why a caller's connection is closed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerClose {
    /// What came can't be read as SIP.
    Malformed,
    /// Nothing, or part of a message, for too long.
    IncompleteMessage,
    /// The process ends, and nothing is left on it.
    Shutdown,
}

impl CallerClose {
    pub const fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::IncompleteMessage => "incomplete_message",
            Self::Shutdown => "shutdown",
        }
    }
}

macro_rules! display_by_label {
    ($($name:ty),*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(self.label())
            }
        }
    )*};
}

display_by_label!(LinkLoss, CallEnd, CallerClose);
