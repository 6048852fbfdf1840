//! The calls of this exchange: where each comes from, where it goes, which circuits it holds.

use std::time::Duration;

use mintstall::host::{Cause, ExchangeId, OfficeNo, SeizureNo};
use mintstall_isup::{CallIdentity, Number};

use crate::circuits::Use;
use crate::desk::Working;
use crate::timers::Set;

/// Circuits of one group that a call holds; signalling is on the first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    pub to: OfficeNo,
    /// Places in the group, ascending, never none.
    pub places: Vec<u16>,
}

impl Held {
    pub fn first(&self) -> u16 {
        self.places[0]
    }

    /// The far end has let go, or lets go of its own accord.
    pub fn idle(&self, w: &mut Working) {
        w.put(self, Use::Idle);
    }

    /// What becomes of the circuits is settled after the decisions were told.
    pub fn keep(&self, _: &mut Working) {}

    /// Nobody knows what the far end holds.
    pub fn reset(&self, w: &mut Working) {
        w.reset_held(self);
    }
}

pub(crate) enum Source {
    Subscriber,
    /// From another exchange: in transit, or for a number here.
    Trunk(Held),
    /// The caller has gone, or has the final answer: what is left is a seizure whose end is awaited.
    Gone,
}

/// One seizure that is out, or led to where the call stands.
pub(crate) struct Out {
    pub no: SeizureNo,
    pub exchange: ExchangeId,
    pub held: Held,
    pub at: Duration,
    pub limit: Option<Set>,
    /// A set-up of the far end met it on its circuits, and it prevailed.
    pub prevailed: bool,
}

pub(crate) enum Sink {
    /// The decisions hold it.
    Open,
    Seized(Out),
    Standing(Out),
    /// It stands at a number of this exchange.
    Here,
}

/// One call, from when it is taken until its answer is given and its circuits are let go.
pub(crate) struct Leg {
    pub source: Source,
    pub sink: Sink,
    pub identity: CallIdentity,
    pub called: Number,
    pub dialled: u64,
    pub dest: OfficeNo,
    pub width: u16,
    pub until: Duration,
    pub guard: Option<Set>,
    /// What the decisions wait for.
    pub alarm: Option<Set>,
    pub seizures: u8,
    /// How the last seizure ended.
    pub last: Option<Cause>,
}
