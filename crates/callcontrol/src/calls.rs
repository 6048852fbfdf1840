//! The calls of this exchange: where each comes from, where it goes, which circuits it holds.

use std::time::Duration;

use mintstall::interface::{Cause, ExchangeId, ExchangeNumber, SeizureNumber};
use mintstall_isup::{CallIdentity, Number};

use crate::circuits::CircuitUse;
use crate::context::EventContext;
use crate::timers::TimerHandle;

/// Circuits of one group that a call holds; signalling is on the first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldCircuits {
    pub to: ExchangeNumber,
    /// Places in the group, ascending, never none.
    pub indices: Vec<u16>,
}

impl HeldCircuits {
    pub fn first(&self) -> u16 {
        self.indices[0]
    }

    /// The far end has let go, or lets go of its own accord.
    pub fn idle(&self, w: &mut EventContext) {
        w.put(self, CircuitUse::Idle);
    }

    /// What becomes of the circuits is settled after the decisions were told.
    pub fn keep(&self, _: &mut EventContext) {}

    /// Nobody knows what the far end holds.
    pub fn reset(&self, w: &mut EventContext) {
        w.reset_held(self);
    }
}

pub(crate) enum IncomingSide {
    Subscriber,
    /// From another exchange: in transit, or for a number here.
    Trunk(HeldCircuits),
    /// The caller has gone, or has the final answer: what is left is a seizure whose end is awaited.
    Gone,
}

/// One seizure that is out, or led to where the call stands.
pub(crate) struct OutgoingSeizure {
    pub no: SeizureNumber,
    pub exchange: ExchangeId,
    pub held: HeldCircuits,
    pub at: Duration,
    pub limit: Option<TimerHandle>,
    /// A set-up of the far end met it on its circuits, and it prevailed.
    pub prevailed: bool,
}

pub(crate) enum OutgoingSide {
    /// The decisions hold it.
    Open,
    Seized(OutgoingSeizure),
    Standing(OutgoingSeizure),
    /// It stands at a number of this exchange.
    OwnSubscriber,
}

/// One call, from when it is taken until its answer is given and its circuits are let go.
pub(crate) struct CallRecord {
    pub source: IncomingSide,
    pub sink: OutgoingSide,
    pub identity: CallIdentity,
    pub called: Number,
    pub dialled: u64,
    pub dest: ExchangeNumber,
    pub width: u16,
    pub until: Duration,
    pub guard: Option<TimerHandle>,
    /// What the decisions wait for.
    pub alarm: Option<TimerHandle>,
    pub seizures: u8,
    /// How the last seizure ended.
    pub last: Option<Cause>,
}
