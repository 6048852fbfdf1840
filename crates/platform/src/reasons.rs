//! Reasons why connections are closed and standing calls end, as written to the log and to metric labels.

use std::fmt;

/// Why a connection to an exchange was lost or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkLoss {
    /// Nobody listens at the address.
    Refused,
    /// The other side closed or reset it, or the network failed.
    Disconnected,
    /// It did not come up in time.
    ConnectTimeout,
    /// A message could not be decoded.
    Malformed,
    /// The rest of a message did not arrive in time.
    IncompleteMessage,
    /// It was draining, and the time for that is over.
    DrainExpired,
    /// The exchange terminates, and its last call is over.
    Drained,
    /// The event bus reported another address of the exchange.
    AddressChanged,
    /// The event bus reported the exchange gone.
    ExchangeGone,
    /// The event bus reported another exchange at its address.
    AddressTaken,
    /// Another process of the exchange listens at its address.
    FormerIncarnation,
    /// This process ends.
    Shutdown,
}

impl LinkLoss {
    pub const fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Disconnected => "disconnected",
            Self::ConnectTimeout => "dial_timeout",
            Self::Malformed => "malformed",
            Self::IncompleteMessage => "incomplete_message",
            Self::DrainExpired => "drain_expired",
            Self::Drained => "drained",
            Self::AddressChanged => "address_changed",
            Self::ExchangeGone => "exchange_gone",
            Self::AddressTaken => "address_taken",
            Self::FormerIncarnation => "former_incarnation",
            Self::Shutdown => "shutdown",
        }
    }
}

/// Why a standing call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Its exchange released it.
    Released,
    /// Its exchange reported it cut.
    Cut,
    /// Its caller released it.
    ReleasedByCaller,
    /// The event bus reported its exchange gone.
    ExchangeGone,
    /// The event bus reported another exchange at the address of its exchange, whose process is gone.
    AddressTaken,
    /// The event bus or the exchange's first report showed that the exchange has restarted.
    ExchangeRestarted,
    /// The exchange's first report showed that it holds none of the calls, though it has not restarted.
    NotHeld,
    /// The exchange's address refuses connections, and no link is open.
    ExchangeRefused,
    /// Nothing was received from the exchange until its lease expired.
    LeaseExpired,
    /// A caller named a call at an exchange that is not listed.
    ExchangeUnknown,
}

impl CallEnd {
    pub const fn label(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::Cut => "cut",
            Self::ReleasedByCaller => "released_by_caller",
            Self::ExchangeGone => "exchange_gone",
            Self::AddressTaken => "address_taken",
            Self::ExchangeRestarted => "exchange_restarted",
            Self::NotHeld => "not_held",
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

/// Why a connection to the event bus was lost or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BusLoss {
    /// It did not come up in time.
    ConnectTimeout,
    /// It came up, but nothing arrived on it in time.
    NotServed,
    /// It was served, and then nothing arrived for too long.
    Silent,
    /// It was refused, or the bus closed or reset it.
    Disconnected,
    /// A line could not be read, or events were missing.
    Malformed,
}

impl BusLoss {
    pub const fn label(self) -> &'static str {
        match self {
            Self::ConnectTimeout => "connect_timeout",
            Self::NotServed => "not_served",
            Self::Silent => "silent",
            Self::Disconnected => "disconnected",
            Self::Malformed => "malformed",
        }
    }
}

/// Why a caller's connection is closed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerClose {
    /// A message is not valid SIP.
    Malformed,
    /// No message, or only part of one, arrived in time.
    IncompleteMessage,
    /// This process ends, and the connection is no longer needed or the shutdown is over.
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

/// Why a set-up was refused without an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpRefusal {
    /// A field is missing or invalid.
    Invalid,
    /// An open or standing call has its id.
    DuplicateId,
    /// Its caller has closed the connection.
    CallerLeft,
    /// This process ends.
    Shutdown,
    /// An attempt under its id has just been released.
    ReleaseWait,
    /// It had waited unread until its time was over.
    Overdue,
    /// Too many set-ups are open, on its connection or altogether.
    TooMany,
}

impl SetUpRefusal {
    pub const fn label(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::DuplicateId => "duplicate_id",
            Self::CallerLeft => "caller_left",
            Self::Shutdown => "shutdown",
            Self::ReleaseWait => "release_wait",
            Self::Overdue => "overdue",
            Self::TooMany => "too_many",
        }
    }
}

/// Why a call without a final answer needs none any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// Its caller has cancelled it.
    Cancelled,
    /// Its caller has closed the connection, of which some may still be unread.
    CallerLeft,
    /// The connection of its caller is lost, or was closed here.
    Disconnected,
}

impl Withdrawal {
    pub const fn label(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::CallerLeft => "caller_left",
            Self::Disconnected => "disconnected",
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

display_by_label!(LinkLoss, CallEnd, BusLoss, CallerClose, SetUpRefusal, Withdrawal);
