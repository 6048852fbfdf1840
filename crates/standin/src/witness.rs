//! What crosses between controllers and the world, as seen at the world's end of each socket.

use std::time::Duration;

use mintstall_callapi::{EndReason, FinalAnswer, Offer};
use mintstall_roster::Entry;

/// One thing seen. Offices are point codes.
#[derive(Clone, Copy, Debug)]
pub enum Seen<'a> {
    /// A controller sent a frame on its link to another exchange; or got one from there.
    Sent {
        office: u16,
        to: u16,
        frame: &'a [u8],
    },
    Got {
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
    ClientGone {
        office: u16,
        call: u64,
    },
    Ended {
        office: u16,
        call: u64,
        how: EndReason,
    },
    /// A controller was told of exchanges.
    Told {
        office: u16,
        whole: bool,
        entries: &'a [Entry],
    },
    Started {
        office: u16,
    },
    Killed {
        office: u16,
    },
    /// A processor started cold; warm, it can do `set_ups` a second.
    Cold {
        office: u16,
        set_ups: f64,
    },
    /// A set-up reached a processor, as a share of the work of a usual one.
    SetUp {
        office: u16,
        from: u16,
    },
    /// A trouble begins or ends.
    Trouble {
        name: &'static str,
        begins: bool,
    },
}

pub trait Witness {
    fn saw(&mut self, at: Duration, seen: Seen);
}

/// All of them, in turn.
impl<W: Witness> Witness for Vec<W> {
    fn saw(&mut self, at: Duration, seen: Seen) {
        self.iter_mut().for_each(|witness| witness.saw(at, seen));
    }
}

impl Witness for Box<dyn Witness + '_> {
    fn saw(&mut self, at: Duration, seen: Seen) {
        (**self).saw(at, seen);
    }
}

impl<W: Witness> Witness for &mut W {
    fn saw(&mut self, at: Duration, seen: Seen) {
        (**self).saw(at, seen);
    }
}
