//! Messages and events between controllers and the simulation, observed at the simulation's end of each socket.

use std::time::Duration;

use mintstall_callapi::{EndReason, FinalAnswer, Offer};
use mintstall_membership::MemberEntry;

/// One observed message or event. `exchange_number`, `to` and `from` are exchange numbers, which are also point codes.
#[derive(Clone, Copy, Debug)]
pub enum Observation<'a> {
    /// A controller sent a frame on its link to another exchange.
    FrameSent { exchange_number: u16, to: u16, frame: &'a [u8] },
    /// A controller received a frame on its link to another exchange.
    FrameReceived { exchange_number: u16, from: u16, frame: &'a [u8] },
    /// A controller's link to another exchange was opened.
    LinkUp { exchange_number: u16, to: u16 },
    /// A controller's link to another exchange was lost.
    LinkDown { exchange_number: u16, to: u16 },
    /// A caller's call was offered to a controller.
    Offered { exchange_number: u16, offer: &'a Offer },
    /// A controller gave a call its final answer.
    Answered { exchange_number: u16, call: u64, exchange_call: u64, answer: FinalAnswer },
    /// A caller hung up, before or after the final answer.
    HungUp { exchange_number: u16, call: u64 },
    /// The client that offered a call disconnected for good. If the call has no final answer yet, nobody receives it.
    ClientLost { exchange_number: u16, call: u64 },
    /// A standing call ended, but not by its caller.
    Ended { exchange_number: u16, call: u64, how: EndReason },
    /// A controller received entries of the membership list, all of them if `is_full`.
    MembershipDelivered { exchange_number: u16, is_full: bool, entries: &'a [MemberEntry] },
    /// A controller accepts calls from now on.
    Started { exchange_number: u16 },
    /// A controller was killed or crashed.
    Killed { exchange_number: u16 },
    /// A processor started cold. When warm, it handles `set_ups` set-ups a second.
    ColdStart { exchange_number: u16, set_ups: f64 },
    /// A set-up from another exchange reached a processor.
    SetUpArrived { exchange_number: u16, from: u16 },
    /// A fault of the script begins or ends.
    Fault { name: &'static str, begins: bool },
}

pub trait Observer {
    fn observe(&mut self, at: Duration, observation: Observation);
}

/// Notifies all observers in turn.
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
