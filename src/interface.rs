//! The interface between a [`crate::Controller`] and the program it runs in.
//!
//! The program reports events by calling the controller's methods; the controller acts by calling
//! [`ControllerActions`]. All times are durations since the zero of the program's clock.

use std::time::Duration;

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($raw:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $raw);
    )*};
}

id! {
    /// One call; a redial is a call of its own.
    CallId(u64);
    /// One exchange (or pool of agents) as the membership list names it.
    ExchangeId(u32);
    /// The number of an exchange in the numbering plan; calls name their destination by it.
    ExchangeNumber(u16);
    /// Position in [`ControllerConfig::call_types`].
    CallType(u8);
    /// The customer whose subscriber calls; 0 where there are none.
    CustomerId(u16);
    /// The number dialled; 0 where none was.
    DialledNumber(u64);
    /// Another controller.
    PeerId(u16);
    /// Which seizure of a call, counted from 0.
    SeizureNumber(u8);
    /// Passed back when a timer expires.
    TimerId(u64);
    Zone(u8);
}

/// What a controller can have done. Everything takes effect at once, in the order called.
pub trait ControllerActions {
    /// Seizes circuits towards `to` and sends the set-up there; it times out after `limit`.
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration);
    /// Cancels one seizure; its end is reported later.
    fn cancel(&mut self, call: CallId, seizure: SeizureNumber);
    /// Final answer: rejected; the caller is asked not to redial for `retry_after` (zero: nothing is asked).
    fn reject(&mut self, call: CallId, retry_after: Duration);
    /// Final answer: released without having stood.
    fn release(&mut self, call: CallId);
    /// Starts `timer`, which expires once `after` has passed.
    fn set_timer(&mut self, after: Duration, timer: TimerId);
    /// Sends a short message to one other controller, or to all of them.
    fn send_to_peers(&mut self, peer: Option<PeerId>, message: &[u8]);
    /// Subscribes to changes of the membership list, where they don't come by themselves.
    fn subscribe(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}

/// Whether a set-up of a call type may be repeated.
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
    /// Where agents are in pools: the pools that may take this type.
    pub pools: Vec<ExchangeNumber>,
}

/// Everything that an exchange's controller reads at start.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// The own exchange's number; `None` where agents are in pools.
    pub own: Option<ExchangeNumber>,
    pub call_types: Vec<CallTypeConfig>,
    pub seizure_limit: u8,
    pub may_cancel: bool,
    /// The longest time for which callers follow a request not to redial; zero where they can't be asked.
    pub max_retry_after: Duration,
    pub must_subscribe: bool,
    /// Whether controllers may send each other messages.
    pub may_message_peers: bool,
    /// A cold exchange fails if it is sent more than this multiple of its capacity for a while.
    pub overload_multiple: f64,
    /// Share of its capacity that an exchange has when it starts.
    pub cold_share: f64,
    /// The longest time an exchange takes to warm up.
    pub warm_up: Duration,
    /// How long circuits may stay occupied after a time-out, a cut or a cancel.
    pub release_wait: Duration,
    /// A waiting set-up is retransmitted after this time; zero: never.
    pub retransmit_after: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStatus {
    Ready,
    Draining,
    Gone,
}

/// One entry of the membership list.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeEntry {
    pub id: ExchangeId,
    pub number: ExchangeNumber,
    pub zone: Zone,
    pub status: ExchangeStatus,
    /// When its processor last started; zero: long ago.
    pub started: Duration,
}

/// A call that is offered to the controller.
#[derive(Clone, Copy, Debug)]
pub struct CallOffer {
    pub call: CallId,
    pub call_type: CallType,
    pub customer: CustomerId,
    pub dialled: DialledNumber,
    /// When the caller gives up this call.
    pub deadline: Duration,
    pub dest: ExchangeNumber,
    pub width: u16,
    /// The tandem that a centre advises; for a call in transit, the exchange that it comes from.
    pub advised: Option<ExchangeNumber>,
    pub transit: bool,
    /// The caller redials a standing call that was cut.
    pub cut: bool,
    pub redial: bool,
}

/// A seizure was answered: the call stands.
#[derive(Clone, Copy, Debug)]
pub struct SeizureAnswered {
    pub call: CallId,
    pub seizure: SeizureNumber,
    pub exchange: ExchangeId,
    /// Time since the seizure was sent.
    pub elapsed: Duration,
}

/// The end of a seizure.
#[derive(Clone, Copy, Debug)]
pub struct SeizureEnded {
    pub call: CallId,
    pub seizure: SeizureNumber,
    pub exchange: ExchangeId,
    pub cause: Cause,
    /// Time since the seizure was sent.
    pub elapsed: Duration,
    /// Whether the call has its final answer, from this end or before.
    pub closed: bool,
}

/// How a seizure ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The call stood and has ended.
    Done,
    /// All lines of the number are busy.
    Busy,
    /// A signalling fault, which says nothing about the number.
    Fault,
    /// No free circuit or agent at the exchange.
    NoCircuit,
    /// Crankback from the tandem; `beyond`: the processor after it was full.
    TurnedBack {
        beyond: bool,
    },
    /// The far processor is full and asks for no set-ups for `wait` (zero: it gave no time).
    ProcessorFull {
        wait: Duration,
    },
    TimedOut,
    Unreachable,
    /// The set-up or the standing call was cut.
    Cut,
    Cancelled,
    /// Taken back before any of it was sent. It holds no circuit.
    Revoked,
    /// Never sent: no free circuit in the own group, or (`own_down`) the own processor is down.
    NotSent {
        own_down: bool,
    },
}

/// What an exchange reports; each figure is optional. `free` and `size` count circuits of the group to it
/// (or agents of the pool).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityReport {
    pub free: Option<f64>,
    pub size: Option<f64>,
    /// New set-ups a second that it can take from all senders together.
    pub rate: Option<f64>,
}
