//! What happened in a run: records with the Unix clock, from all parties, for the judge.

use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::sync::lock;

/// Microseconds since the Unix epoch.
pub type Micros = u64;

/// A call as it is named on every wire.
pub type CallId = u64;

/// The position of a controller in the run.
pub type ControllerIndex = usize;

/// A connection or link, numbered over the whole run.
pub type ConnectionId = u64;

pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
}

/// How an attempt ended at its exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    Answered,
    /// Answered with what can't be decoded, or is cut off: no use to the caller.
    Spoilt,
    Refused,
    GivenUp,
}

/// How the event bus was disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BusFault {
    /// Connections are closed, in the middle of a line; new ones are accepted.
    Break,
    /// Connections stay open and tell nothing; new ones work.
    Silent,
    /// Nothing listens.
    Down,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    // Callers.
    ConnectionOpened {
        connection: ConnectionId,
        controller: ControllerIndex,
    },
    /// Its last octet has been written.
    SetUpSent {
        call: CallId,
        connection: ConnectionId,
        controller: ControllerIndex,
        patience_ms: u64,
    },
    /// A final answer has been read; `description` is that of an answer 200.
    FinalAnswer {
        call: CallId,
        connection: ConnectionId,
        status: u16,
        description: String,
    },
    CancelSent {
        call: CallId,
    },
    /// The controller, or the end of its process, has closed the connection.
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
    /// A standing call has been named to a controller that started again.
    Announced {
        call: CallId,
        controller: ControllerIndex,
    },
    /// What a controller sent can't be read.
    Unreadable {
        connection: ConnectionId,
        why: String,
    },
    /// A connection that broke the protocol: whether it got a refusal, an error or a close in time.
    BadCaller {
        what: String,
        controller: ControllerIndex,
        opened: Micros,
        settled: bool,
    },
    // Exchanges.
    SetUpReceived {
        uid: String,
        call: CallId,
    },
    AttemptEnded {
        uid: String,
        call: CallId,
        end: AttemptEnd,
    },
    /// A call that stood is over, by its exchange or by a release from the controller.
    CallOver {
        uid: String,
        call: CallId,
        by_controller: bool,
    },
    // Proxies.
    /// The first octet of a set-up has been read from the controller.
    SetUpPassed {
        uid: String,
        call: CallId,
        controller: ControllerIndex,
        link: ConnectionId,
    },
    /// A release has been read from the controller: the set-up on that link is given up, or the call is over.
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
    // The run itself.
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
    /// A controller has ended by itself; `expected` after SIGTERM and with code 0.
    Exited {
        controller: ControllerIndex,
        expected: bool,
        status: String,
    },
    /// A limit was broken.
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

    /// All records so far in order of time.
    pub fn sorted(&self) -> Vec<Record> {
        let mut all = lock(&self.records).clone();
        all.sort_by_key(|record| record.at);
        all
    }
}
