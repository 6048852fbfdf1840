//! What crosses between controllers and the world, as seen at the world's end of each socket.

use std::time::Duration;

use mintstall_callapi::{EndReason, FinalAnswer, Offer};
use mintstall_membership::MemberEntry;

/// One thing seen. Offices are point codes.
#[derive(Clone, Copy, Debug)]
pub enum Observation<'a> {
    /// A controller sent a frame on its link to another exchange; or got one from there.
    FrameSent {
        office: u16,
        to: u16,
        frame: &'a [u8],
    },
    FrameReceived {
        office: u16,
        from: u16,
        frame: &'a [u8],
    },
    /// A controller's link to another exchange opened, or is gone.
    LinkUp {
        office: u16,
        to: u16,
    },
    LinkDown {
        office: u16,
        to: u16,
    },
    Offered {
        office: u16,
        offer: &'a Offer,
    },
    Answered {
        office: u16,
        call: u64,
        exchange_call: u64,
        answer: FinalAnswer,
    },
    HungUp {
        office: u16,
        call: u64,
    },
    /// The client of a call that waits for its answer has gone for good: nobody is there to hear it.
    ClientLost {
        office: u16,
        call: u64,
    },
    Ended {
        office: u16,
        call: u64,
        how: EndReason,
    },
    /// A controller was told of exchanges.
    MembershipDelivered {
        office: u16,
        is_full: bool,
        entries: &'a [MemberEntry],
    },
    Started {
        office: u16,
    },
    Killed {
        office: u16,
    },
    /// A processor started cold; warm, it can do `set_ups` a second.
    ColdStart {
        office: u16,
        set_ups: f64,
    },
    /// A set-up reached a processor, as a share of the work of a usual one.
    SetUpArrived {
        office: u16,
        from: u16,
    },
    /// A trouble begins or ends.
    Fault {
        name: &'static str,
        begins: bool,
    },
}

pub trait Observer {
    fn observe(&mut self, at: Duration, observation: Observation);
}

/// All of them, in turn.
impl<W: Observer> Observer for Vec<W> {
    fn observe(&mut self, at: Duration, observation: Observation) {
        self.iter_mut().for_each(|observer| observer.observe(at, observation));
    }
}

impl Observer for Box<dyn Observer + '_> {
    fn observe(&mut self, at: Duration, observation: Observation) {
        (**self).observe(at, observation);
    }
}

impl<W: Observer> Observer for &mut W {
    fn observe(&mut self, at: Duration, observation: Observation) {
        (**self).observe(at, observation);
    }
}
