//! Records of what happened in a run, from all parties, with times of the Unix clock. The rule checker reads them.

use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::sync::lock;

/// Microseconds since the Unix epoch.
pub type Micros = u64;

/// The id of a call in all protocols.
pub type CallId = u64;

/// The index of a controller in the run.
pub type ControllerIndex = usize;

/// The number of a connection or link, unique in the run.
pub type ConnectionId = u64;

/// The current time of the Unix clock.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
}

/// How an attempt ended at its exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    Answered,
    /// The answer can't be decoded or is cut off, so the call can't be served.
    #[serde(rename = "Spoilt")]
    Corrupted,
    Refused,
    GivenUp,
}

/// A fault of the event bus.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BusFault {
    /// Connections are closed in the middle of a line; new ones are accepted.
    Break,
    /// Open connections stay open but receive nothing; new ones work.
    Silent,
    /// As `Break`, and each new connection is served only after some seconds.
    Slow,
    /// Nothing listens, and open connections are closed.
    Down,
}

/// An event that a party of the run records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    // Events that callers record.
    ConnectionOpened {
        connection: ConnectionId,
        controller: ControllerIndex,
    },
    /// The last octet of a set-up has been written.
    SetUpSent {
        call: CallId,
        connection: ConnectionId,
        controller: ControllerIndex,
        #[serde(rename = "patience_ms")]
        expires_ms: u64,
    },
    /// A final answer has been read. `description` is set for status 200.
    FinalAnswer {
        call: CallId,
        connection: ConnectionId,
        status: u16,
        description: String,
    },
    CancelSent {
        call: CallId,
    },
    /// The controller has closed the connection, or its process has ended.
    ClosedByController {
        connection: ConnectionId,
    },
    ClosedByCaller {
        connection: ConnectionId,
    },
    #[serde(rename = "ReleaseHeard")]
    ReleaseReceivedByCaller {
        call: CallId,
        controller: ControllerIndex,
    },
    ReleaseSentByCaller {
        call: CallId,
    },
    /// A standing call has been announced to a controller that has restarted.
    Announced {
        call: CallId,
        controller: ControllerIndex,
    },
    /// A message from a controller can't be decoded.
    Unreadable {
        connection: ConnectionId,
        why: String,
    },
    /// A caller has broken the protocol. `settled` says whether it got a refusal, an error or a close in time.
    BadCaller {
        what: String,
        controller: ControllerIndex,
        opened: Micros,
        settled: bool,
    },
    // Events that exchanges record.
    SetUpReceived {
        uid: String,
        call: CallId,
    },
    AttemptEnded {
        uid: String,
        call: CallId,
        end: AttemptEnd,
    },
    /// A standing call has ended, either at its exchange or by a release from the controller.
    CallOver {
        uid: String,
        call: CallId,
        by_controller: bool,
    },
    // Events that proxies record.
    /// A set-up has been read from the controller. Its last octets had not arrived at `arrived_after`, so the time until this
    /// was recorded may be that of the proxy.
    SetUpPassed {
        arrived_after: Micros,
        uid: String,
        call: CallId,
        controller: ControllerIndex,
        link: ConnectionId,
    },
    /// A release has been read from the controller: the set-up on that link is given up, or the call has ended.
    ReleasePassed {
        uid: String,
        call: CallId,
        controller: ControllerIndex,
        link: ConnectionId,
    },
    LinkOpened {
        link: ConnectionId,
        controller: ControllerIndex,
    },
    /// The controller has closed the link.
    LinkClosed {
        link: ConnectionId,
        controller: ControllerIndex,
    },
    /// The link has been reset by the network or the exchange.
    LinkReset {
        link: ConnectionId,
        controller: ControllerIndex,
    },
    /// A release of the exchange has been written to the controller.
    ReleaseDelivered {
        uid: String,
        call: CallId,
        controller: ControllerIndex,
        link: ConnectionId,
    },
    // Events that the run records.
    ExchangeEnded {
        uid: String,
    },
    ExchangeHung {
        uid: String,
    },
    ExchangeResumed {
        uid: String,
    },
    NetworkCut {
        uid: String,
    },
    NetworkHealed {
        uid: String,
    },
    ListChanged {
        offset: u64,
        uid: String,
        state: String,
    },
    BusFaultBegan {
        fault: BusFault,
    },
    BusFaultEnded {
        fault: BusFault,
    },
    ControllerReady {
        controller: ControllerIndex,
    },
    Reconfigured {
        controller: ControllerIndex,
    },
    Terminating {
        controller: ControllerIndex,
    },
    Killed {
        controller: ControllerIndex,
    },
    /// A controller has exited by itself. `expected` is true after SIGTERM with exit code 0.
    Exited {
        controller: ControllerIndex,
        expected: bool,
        status: String,
    },
    /// A controller exceeded a limit, for example of memory, or did not become ready.
    OverLimit {
        controller: ControllerIndex,
        what: String,
    },
}

/// An event with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    pub at: Micros,
    pub event: Event,
}

/// Collects the records of all threads.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    records: Arc<Mutex<Vec<Record>>>,
}

impl Recorder {
    pub fn add(&self, event: Event) {
        self.add_at(now(), event);
    }

    pub fn add_at(&self, at: Micros, event: Event) {
        let mut records = lock(&self.records);
        records.push(Record { at, event });
    }

    /// All records so far, ordered by time.
    pub fn sorted(&self) -> Vec<Record> {
        let mut all = lock(&self.records).clone();
        all.sort_by_key(|record| record.at);
        all
    }
}
