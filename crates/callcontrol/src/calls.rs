//! The calls of this exchange: incoming side, outgoing side and the circuits that each call holds.

use std::time::Duration;

use mintstall::interface::{Cause, ExchangeId, ExchangeNumber, SeizureNumber};
use mintstall_isup::{CallIdentity, Number};

use crate::circuits::CircuitUse;
use crate::context::EventContext;
use crate::timers::TimerHandle;

/// Circuits of one group that a call holds; signalling uses the first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldCircuits {
    pub to: ExchangeNumber,
    /// Indices in the group, ascending, at least one.
    pub indices: Vec<u16>,
}

impl HeldCircuits {
    pub fn first(&self) -> u16 {
        self.indices[0]
    }

    /// For circuits that the far end has released or releases by itself.
    pub fn set_idle(&self, context: &mut EventContext) {
        context.set_usage(self, CircuitUse::Idle);
    }

    /// For circuits whose state is set after the controller knows that the seizure has ended.
    pub fn leave_unchanged(&self, _: &mut EventContext) {}

    /// For circuits whose state at the far end is unknown.
    pub fn reset(&self, context: &mut EventContext) {
        context.reset_held(self);
    }
}

pub(crate) enum IncomingSide {
    Subscriber,
    /// From another exchange: in transit, or for a number of this exchange.
    Trunk(HeldCircuits),
    /// The caller has gone or has the final answer; the record remains until the end of the open seizure.
    Gone,
}

/// A seizure that has no answer yet, or that led to the standing call.
pub(crate) struct OutgoingSeizure {
    pub number: SeizureNumber,
    pub exchange: ExchangeId,
    pub held: HeldCircuits,
    pub sent_at: Duration,
    pub limit_timer: Option<TimerHandle>,
    /// It prevailed in dual seizure over a set-up of the far end.
    pub prevailed: bool,
}

pub(crate) enum OutgoingSide {
    /// No seizure is open: the call waits for the controller.
    Waiting,
    Seized(OutgoingSeizure),
    Standing(OutgoingSeizure),
    /// It is answered by a number of this exchange.
    OwnSubscriber,
}

/// One call, from its acceptance until it has its answer and its circuits are released.
pub(crate) struct CallRecord {
    pub incoming: IncomingSide,
    pub outgoing: OutgoingSide,
    pub identity: CallIdentity,
    pub called: Number,
    pub dialled: u64,
    pub dest: ExchangeNumber,
    pub width: u16,
    pub deadline: Duration,
    pub guard_timer: Option<TimerHandle>,
    /// The last timer that the controller set for this call.
    pub controller_timer: Option<TimerHandle>,
    pub seizure_count: u8,
    /// Cause of the last seizure's end.
    pub last_cause: Option<Cause>,
}
