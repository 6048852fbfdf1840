//! Calls, seizures, standing calls and links to exchanges; carries out what the decisions ask for.

mod actions;
mod calls;
mod links;
mod releases;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use mintstall::interface::{
    CallId, CapacityReport, ExchangeId, ExchangeStatus, SeizureEnded, SeizureNumber, TimerId,
};
use mintstall::liveness::Lease;
use mintstall::random::MwcRng;
use mintstall_sip as sip;

use crate::exchange_protocol::{self, WireCallId};
use crate::{CallerConnectionId, LinkId};

pub use self::actions::EventContext;

/// Q.850: normal clearing; temporary failure.
pub const NORMAL_CLEARING: u8 = 16;
pub const TEMPORARY_FAILURE: u8 = 41;
/// A release that finds no connection to its caller is kept so long. Its time has passed before that, but a caller that
/// comes back later still holds the call.
const PENDING_RELEASE_KEPT: Duration = Duration::from_secs(30);
/// A release of a call that is not known here is kept so long for the caller that is yet to name the call: exchanges
/// repeat releases as soon as a connection is up, callers come only once the process passes a test.
const UNMATCHED_RELEASE_KEPT: Duration = Duration::from_secs(30);
/// A release towards an exchange is repeated on the next connection within this time.
const REPEAT_RELEASE_WITHIN: Duration = Duration::from_secs(10);
/// And one that was written is sent again where its connection closes within this time.
const CONFIRM_WITHIN: Duration = Duration::from_secs(2);
/// Releases that may wait for a caller's or an exchange's connection: a region's calls, some seconds long.
const MOST_PENDING_RELEASES: usize = 4096;
/// A failed dial is repeated after a draw from the upper half of this, doubled with each failure up to the last.
const REDIAL_FIRST: Duration = Duration::from_millis(50);
const REDIAL_LAST: Duration = Duration::from_millis(800);
/// Links to one exchange: one spoilt answer costs all set-ups of its link, and reports come on so many.
const MOST_LINKS: usize = 4;
/// And beyond them, while a call was given up on each, or each waits to be written.
const SPARE_LINKS: usize = 2;
/// A draining link is read on for so long: longer than a set-up may be out.
const DRAINING_FOR: Duration = Duration::from_secs(4);
/// And then the other side has this time to close it too.
const FINISHED_WITHIN: Duration = Duration::from_millis(1500);

/// What falls due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Alarm(TimerId),
    /// A seizure's time-out.
    SeizureTimeout(CallId, SeizureNumber),
    /// The end of the caller's time.
    GuardTime(CallId),
    /// A dial that is not answered by now is given up.
    ConnectTimeout(LinkId),
    /// A connection on which an exchange repeats releases.
    DialForReleases(ExchangeId),
    /// Another try to reach an exchange.
    MaintainPool(ExchangeId),
    Sweep,
    ReconnectBus,
    ShutdownDeadline,
    /// Another look at which connections of callers can be closed in a shutdown.
    DrainCallers,
}

/// A seizure that is out.
#[derive(Debug)]
pub struct OpenSeizure {
    pub no: SeizureNumber,
    pub to: ExchangeId,
    /// None while its link is dialled.
    pub link: Option<LinkId>,
    pub since: Duration,
    pub limit: Duration,
}

/// Whether the caller still waits for the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    Pending,
    Settled,
}

/// A call that has no final answer, or whose seizure is out. Emptied by both ends.
#[derive(Debug)]
pub struct Call {
    pub id: WireCallId,
    pub caller: CallerConnectionId,
    /// Headers of the set-up that its answers repeat.
    pub via: Box<str>,
    pub cseq: u32,
    pub call_type: Box<str>,
    pub number: Box<str>,
    pub description: Box<[u8]>,
    pub answer_state: AnswerState,
    pub seizures: u8,
    pub open_seizure: Option<OpenSeizure>,
    /// Links on which a seizure of this call was given up: what still comes there is not for a later one.
    pub left: Vec<LinkId>,
}

impl Call {
    fn octets(&self) -> usize {
        self.via.len() + self.description.len()
    }
}

/// A call that stands. Emptied by its release from either end, or the end of its exchange.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    pub call: CallId,
    pub seizure: SeizureNumber,
    pub exchange: ExchangeId,
    pub caller: CallerConnectionId,
    pub sent: Duration,
    pub since: Duration,
}

/// One connection of a caller.
#[derive(Debug)]
pub struct Caller {
    pub decoder: sip::Decoder,
    pub open: BTreeSet<CallId>,
    pub heard: Duration,
    /// Since when a message has come in part, or nothing at all.
    pub partial_since: Option<Duration>,
    /// Whether it has sent something that makes sense.
    pub sent_valid: bool,
    /// Whether a call of its has stood: no caller that only breaks things gets so far.
    pub had_standing_call: bool,
    /// Releases written lately that it has not confirmed, oldest first.
    unconfirmed: VecDeque<(Duration, WireCallId, u8)>,
}

impl Caller {
    /// Whether a release was written lately that it has not confirmed.
    pub fn awaits_confirmation(&self, now: Duration) -> bool {
        self.unconfirmed.iter().any(|(at, ..)| *at + CONFIRM_WITHIN > now)
    }
}

#[derive(PartialEq, Eq)]
pub enum LinkState {
    Connecting,
    Up,
    /// Nothing came on it for long: no set-up goes there, but what still comes is read, a release perhaps.
    Draining {
        at: Duration,
    },
    /// Closed in the direction to the exchange: read to its end, as a release may be on its way.
    HalfClosed {
        at: Duration,
    },
}

/// The log of calls holds `Connecting` as `Dialled` and `HalfClosed` as `Finishing`.
impl fmt::Debug for LinkState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Connecting => f.write_str("Dialled"),
            Self::Up => f.write_str("Up"),
            Self::Draining { at } => f.debug_struct("Draining").field("at", at).finish(),
            Self::HalfClosed { at } => f.debug_struct("Finishing").field("at", at).finish(),
        }
    }
}

/// One connection to an exchange.
#[derive(Debug)]
pub struct Link {
    pub to: ExchangeId,
    pub state: LinkState,
    pub decoder: exchange_protocol::Decoder,
    pub heard: Duration,
    pub partial_since: Option<Duration>,
    /// Set-ups out on it.
    pub open_set_ups: BTreeMap<WireCallId, CallId>,
    /// The group's state that came last on it, while another link's is believed.
    pub state_told: Option<CapacityReport>,
}

/// One exchange. Emptied by the bus, once it is gone.
#[derive(Debug)]
pub struct RemoteExchange {
    pub uid: Box<str>,
    pub at: SocketAddr,
    pub service: ExchangeStatus,
    pub started: Duration,
    /// Dialled or up, oldest first.
    pub links: Vec<LinkId>,
    /// Those that are only read on.
    pub draining: VecDeque<LinkId>,
    pub failures: u32,
    pub next_dial: Duration,
    /// Set-ups that wait for a link.
    pub queued_set_ups: VecDeque<CallId>,
    /// Calls to be released there once a link is up, and those whose release it has not confirmed, with their time.
    pub releases: VecDeque<(Duration, WireCallId)>,
    /// For how long it is believed to hold the calls that stand there.
    pub lease: Lease,
    /// When its last open link was lost by the other side: whoever listens there next may be another process.
    pub all_links_lost: Option<Duration>,
    /// Whether a connection is planned on which it repeats releases.
    pub dials_for_releases: bool,
}

pub struct PlatformState {
    pub now: Duration,
    pub calls: BTreeMap<CallId, Call>,
    /// Calls whose answer is owed, by the id on the wire.
    pub unanswered: BTreeMap<WireCallId, CallId>,
    pub standing: BTreeMap<WireCallId, Standing>,
    pub callers: BTreeMap<CallerConnectionId, Caller>,
    pub exchanges: BTreeMap<ExchangeId, RemoteExchange>,
    pub links: BTreeMap<LinkId, Link>,
    pub timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// Ends of seizures that the decisions are to be told.
    pub ends: VecDeque<SeizureEnded>,
    /// Releases for callers to whom no connection is open, oldest first.
    pending_releases: VecDeque<(Duration, WireCallId, u8)>,
    /// Releases by exchanges of calls that are not known here, oldest first.
    unmatched_releases: VecDeque<(Duration, WireCallId, u8)>,
    /// Octets of all descriptions and headers in `calls`.
    pub held: usize,
    pub links_each: usize,
    /// Whether the process ends, and dials no further links.
    pub links_closed: bool,
    pub links_budget: usize,
    pub connect_timeout: Duration,
    chance: MwcRng,
    next: u64,
}

impl PlatformState {
    pub fn new(now: Duration, seed: u64, links_budget: usize, connect_timeout: Duration) -> Self {
        Self {
            now,
            calls: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            standing: BTreeMap::new(),
            callers: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            links: BTreeMap::new(),
            timers: BinaryHeap::new(),
            ends: VecDeque::new(),
            pending_releases: VecDeque::new(),
            unmatched_releases: VecDeque::new(),
            held: 0,
            links_each: 1,
            links_closed: false,
            links_budget,
            connect_timeout,
            chance: MwcRng::new(seed ^ 0x5eed),
            next: 0,
        }
    }

    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub fn set(&mut self, after: Duration, timer: Timer) {
        let order = self.number();
        self.timers.push(Reverse((self.now + after, order, timer)));
    }

    /// A draw from the upper half of a span: what many lost together they do not ask for together.
    pub fn jittered(&mut self, span: Duration) -> Duration {
        span.mul_f64(0.5 + 0.5 * self.chance.next_f64())
    }

    // Callers.

    pub fn caller_connected(&mut self, caller: CallerConnectionId) {
        let fresh = Caller {
            decoder: sip::Decoder::default(),
            open: BTreeSet::new(),
            heard: self.now,
            partial_since: Some(self.now),
            sent_valid: false,
            had_standing_call: false,
            unconfirmed: VecDeque::new(),
        };
        self.callers.insert(caller, fresh);
    }
}

/// A span doubled with each failure, up to the last.
pub fn exponential_backoff(first: Duration, failures: u32, last: Duration) -> Duration {
    const MOST_DOUBLINGS: u32 = 8;
    last.min(first * 2u32.pow(failures.min(MOST_DOUBLINGS)))
}
