//! What stands between a [`crate::Controller`] and the machine it runs on.
//!
//! The machine tells the controller what happens by calling its methods; the controller acts by
//! calling [`ControllerActions`]. All times are spans since the zero of the machine's clock.

use std::fmt;
use std::time::Duration;

// `logged as` gives the name that Debug writes, where log lines have another than the type.
macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($raw:ty) $(logged as $logged:literal)?;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $raw);

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                let name = [$($logged,)? stringify!($name)][0];
                f.debug_tuple(name).field(&self.0).finish()
            }
        }
    )*};
}

id! {
    /// One call, or one try of a caller who dials again.
    CallId(u64);
    /// One exchange (or pool of agents) as the roster names it.
    ExchangeId(u32);
    /// The number of an exchange in the numbering plan; calls name their destination by it.
    ExchangeNumber(u16) logged as "OfficeNo";
    /// Position in [`ControllerConfig::call_types`].
    CallType(u8);
    /// The customer whose subscriber calls; 0 where there are none.
    CustomerId(u16) logged as "CustomerNo";
    /// The number dialled; 0 where none was.
    DialledNumber(u64) logged as "Dialled";
    /// Another controller.
    PeerId(u16);
    /// Which seizure of a call, counted from 0.
    SeizureNumber(u8);
    /// Handed back when an alarm rings.
    TimerId(u64);
    Zone(u8);
}

/// What a controller can do. Everything takes effect at once, in the order called.
pub trait ControllerActions {
    /// Seizes circuits towards `to` and sends the set-up there; given up after `limit`.
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration);
    /// Gives up one seizure; its end is told later.
    fn cancel(&mut self, call: CallId, seizure: SeizureNumber);
    /// Final answer: rejected; the caller is asked to stay away for `retry_after` (zero: no word).
    fn reject(&mut self, call: CallId, retry_after: Duration);
    /// Final answer: released without having stood.
    fn release(&mut self, call: CallId);
    /// Rings `timer` once `after` has passed.
    fn set_timer(&mut self, after: Duration, timer: TimerId);
    /// Sends a short message to one other controller, or to all of them.
    fn send_to_peers(&mut self, peer: Option<PeerId>, message: &[u8]);
    /// Asks the roster for its changes from now on, where they don't come by themselves.
    fn subscribe(&mut self);
    /// Adds a line to the log.
    fn log(&mut self, line: &str);
}

/// How far a set-up of a call type may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    Freely,
    /// Exchanges discard repeats, within limits.
    Deduplicated,
    /// A set-up that may have been carried out must not be repeated.
    Never,
}

#[derive(Clone, Debug)]
pub struct CallTypeConfig {
    pub setup_target: Duration,
    pub guard_time: Duration,
    pub revenue: f64,
    pub width: u16,
    pub mean_hold: Duration,
    pub repeats: RepeatPolicy,
    /// Where agents stand in pools: the pools that may take this type.
    pub pools: Vec<ExchangeNumber>,
}

/// Everything an exchange's controller reads at start.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// The own exchange's number; none where agents stand in pools.
    pub own: Option<ExchangeNumber>,
    pub call_types: Vec<CallTypeConfig>,
    pub seizure_limit: u8,
    pub may_cancel: bool,
    /// The longest wait that callers follow when they are told one; zero where they can't be told.
    pub max_retry_after: Duration,
    pub must_subscribe: bool,
    /// Whether controllers may send each other messages.
    pub may_message_peers: bool,
    /// A cold exchange sent more than this many times what it can do for a while falls over.
    pub overload_multiple: f64,
    /// Share of its capacity that an exchange has when it starts.
    pub cold_share: f64,
    /// How long it takes to warm up at most.
    pub warm_up: Duration,
    /// How long after a time-out, a cut or a cancel circuits may stay taken.
    pub release_wait: Duration,
    /// A waiting set-up is repeated after this; zero: never.
    pub retransmit_after: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStatus {
    Ready,
    Draining,
    Gone,
}

/// One line of the roster.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeEntry {
    pub id: ExchangeId,
    pub number: ExchangeNumber,
    pub zone: Zone,
    pub status: ExchangeStatus,
    /// When its processor last started; zero: long ago.
    pub started: Duration,
}

/// A call as it is offered.
#[derive(Clone, Copy, Debug)]
pub struct CallOffer {
    pub call: CallId,
    pub call_type: CallType,
    pub customer: CustomerId,
    pub dialled: DialledNumber,
    /// When the caller gives up this try.
    pub deadline: Duration,
    pub dest: ExchangeNumber,
    pub width: u16,
    /// The tandem that a centre advises; where the call comes from when it is in transit.
    pub advised: Option<ExchangeNumber>,
    pub transit: bool,
    /// It stood, was cut, and comes again.
    pub cut: bool,
    pub redial: bool,
}

/// A seizure that led to a standing call.
#[derive(Clone, Copy, Debug)]
pub struct SeizureAnswered {
    pub call: CallId,
    pub seizure: SeizureNumber,
    pub exchange: ExchangeId,
    /// Time since it went out.
    pub elapsed: Duration,
}

/// A seizure that has ended.
#[derive(Clone, Copy, Debug)]
pub struct SeizureEnded {
    pub call: CallId,
    pub seizure: SeizureNumber,
    pub exchange: ExchangeId,
    pub cause: Cause,
    /// Time since it went out.
    pub elapsed: Duration,
    /// Whether the call has its final answer, by this or before.
    pub closed: bool,
}

/// How a seizure ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The call stood and has ended.
    Done,
    /// All lines of the number are busy.
    Busy,
    /// A signalling fault: says nothing of the number.
    Fault,
    /// Full: no circuit or agent there.
    NoCircuit,
    /// The tandem turned the call back; `beyond`: the processor after it was full.
    TurnedBack {
        beyond: bool,
    },
    /// The far processor is full and asks to be left alone for `wait` (zero: not said).
    ProcessorFull {
        wait: Duration,
    },
    TimedOut,
    Unreachable,
    /// The set-up or the standing call was cut.
    Cut,
    Cancelled,
    /// Never sent: no circuit of the own group, or (`own_down`) the own processor is down.
    NotSent {
        own_down: bool,
    },
}

/// What an exchange reports, as far as it does; `free` and `size` are circuits of the group to it
/// (or agents of the pool).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityReport {
    pub free: Option<f64>,
    pub size: Option<f64>,
    /// New set-ups a second that it can take from all senders.
    pub rate: Option<f64>,
}
