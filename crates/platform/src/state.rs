//! The state of calls, seizures, standing calls, callers' connections and links to exchanges, and the actions on it
//! that the controller asks for.
//!
//! `calls` holds the calls without a final answer, `abandoned_set_ups` those set-ups of which messages may still arrive, `links` the pools of connections to exchanges, `caller_releases` and
//! `releases` the releases of standing calls towards callers and exchanges, `release_waits` the ids that must wait, and `actions` the [`mintstall::interface::ControllerActions`] of this platform.

mod abandoned_set_ups;
mod actions;
mod caller_releases;
mod calls;
mod links;
mod release_waits;
mod releases;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use mintstall::incarnation::FirstReport;
use mintstall::interface::{
    CallId, CapacityReport, ExchangeId, ExchangeStatus, SeizureEnded, SeizureNumber, TimerId,
};
use mintstall::liveness::{ConnectionLiveness, Lease};
use mintstall::random::MwcRng;
use mintstall::timer_queue::{TimerHandle, TimerQueue};
use mintstall_sip as sip;

use crate::exchange_protocol::{self, WireCallId};
use crate::{CallerConnectionId, LinkId};

use self::abandoned_set_ups::AbandonedSetUps;
pub use self::actions::EventContext;
pub use self::caller_releases::CallerEvidence;
use self::caller_releases::CallerReleases;
use self::release_waits::ReleaseWaits;
pub use self::releases::release_on;

/// Q.850 cause: normal call clearing.
pub const NORMAL_CLEARING: u8 = 16;
/// Q.850 cause: temporary failure.
pub const TEMPORARY_FAILURE: u8 = 41;
/// A release of a call that is not known here is kept this long, until the caller names the call: exchanges repeat
/// releases as soon as a connection is up, callers connect only once the process passes a test.
const UNMATCHED_RELEASE_TTL: Duration = Duration::from_secs(30);
/// A release towards an exchange is repeated on new connections within this time: longer than a region is cut off.
const RELEASE_REPEAT_WINDOW: Duration = Duration::from_secs(60);
/// A repeated release is not repeated again on the other links that come up at the same time.
const RELEASE_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How often a release is repeated. An exchange need not confirm releases.
const MAX_RELEASE_REPEATS: u32 = 3;
/// A release that was written to a caller is sent again if its connection closes within this time.
const RELEASE_CONFIRM_WINDOW: Duration = Duration::from_secs(2);
/// Far more standing calls than the circuits of all groups carry.
pub const MAX_STANDING_CALLS: usize = 20_000;
/// Limit for each list of releases that wait for a connection or a confirmation. All standing calls can end at once.
const MAX_PENDING_RELEASES: usize = MAX_STANDING_CALLS;
/// A failed attempt to connect a link is repeated after a random delay from the upper half of this span, which doubles
/// with each failure.
const LINK_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_LINK_RECONNECT_DELAY: Duration = Duration::from_millis(800);
/// Links to one exchange. More than one, since an unreadable answer cuts all set-ups of its link; no more, since each
/// link gets a copy of each report.
pub const MAX_LINKS: usize = 4;
/// Links beyond the regular ones, for when the call has given up a seizure on each of those or all wait to be written.
const MAX_EXTRA_LINKS: usize = 2;
/// A draining link is still read for this long: longer than a set-up may be open.
const DRAIN_PERIOD: Duration = Duration::from_secs(4);
/// The links to a draining exchange are closed when it has had no call for this time.
const DRAINED_LINGER: Duration = Duration::from_secs(1);
/// Time for the other side to close a link that has been closed in the direction to the exchange.
const HALF_CLOSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// What is due when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A timer that the controller has set.
    Controller(TimerId),
    SeizureTimeout(CallId, SeizureNumber),
    /// The caller's deadline for the final answer.
    GuardTime(CallId),
    /// A link that is still not connected is given up.
    ConnectTimeout(LinkId),
    /// Opens a connection on which the exchange repeats releases.
    ConnectForReleases(ExchangeId),
    /// Opens the links that an exchange lacks.
    MaintainPool(ExchangeId),
    Sweep,
    ReconnectBus,
    ShutdownDeadline,
    /// Looks in a shutdown for callers' connections that can be closed.
    DrainCallers,
}

/// A seizure that has not ended.
#[derive(Debug)]
pub struct OpenSeizure {
    pub number: SeizureNumber,
    pub exchange: ExchangeId,
    /// None until a link is available.
    pub link: Option<LinkId>,
    pub seized_at: Duration,
    pub timeout: Duration,
    pub timer: TimerHandle,
}

/// Whether the caller still waits for the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    Pending,
    Settled,
}

/// A call that has no final answer or has an open seizure. Removed once neither applies.
#[derive(Debug)]
pub struct Call {
    pub id: WireCallId,
    pub caller: CallerConnectionId,
    /// Via header of the set-up, repeated in the answer like the CSeq number.
    pub via: Box<str>,
    pub cseq: u32,
    pub call_type: Box<str>,
    pub number: Box<str>,
    pub description: Box<[u8]>,
    pub answer_state: AnswerState,
    pub seizure_count: u8,
    pub open_seizure: Option<OpenSeizure>,
    pub guard_timer: Option<TimerHandle>,
    /// The timer that the controller has set for the call.
    pub controller_timer: Option<TimerHandle>,
}

impl Call {
    fn octets(&self) -> usize {
        self.via.len() + self.description.len()
    }
}

/// A standing call. Removed when either side releases it or its exchange is given up.
#[derive(Clone, Copy, Debug)]
pub struct StandingCall {
    pub call: CallId,
    pub seizure: SeizureNumber,
    pub exchange: ExchangeId,
    /// The link on which it was set up, unless that was done by a former process.
    pub link: Option<LinkId>,
    pub caller: CallerConnectionId,
    pub seized_at: Duration,
    /// For a call that its caller named, a time before the start of this process.
    pub answered_at: Duration,
}

/// One connection of a caller.
#[derive(Debug)]
pub struct Caller {
    pub decoder: sip::Decoder,
    pub open_calls: BTreeSet<CallId>,
    pub last_received: Duration,
    /// Since when a message has been incomplete, or the connection open without any message.
    pub partial_since: Option<Duration>,
    pub evidence: CallerEvidence,
    /// Whether it has closed the connection: what it sent before may still be read, but nobody waits for answers.
    pub has_left: bool,
    /// Releases written recently that it has not confirmed, oldest first.
    unconfirmed_releases: VecDeque<(Duration, WireCallId)>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum LinkState {
    Connecting,
    Up,
    /// Gets no more set-ups, since it may have failed or is to be replaced, but is still read: a release may arrive.
    Draining {
        at: Duration,
    },
    /// Closed in the direction to the exchange: read until the other side closes it, as a release may be on its way.
    HalfClosed {
        at: Duration,
    },
}

/// One connection to an exchange.
#[derive(Debug)]
pub struct Link {
    pub exchange: ExchangeId,
    pub state: LinkState,
    pub decoder: exchange_protocol::Decoder,
    /// When the attempt to connect it began.
    pub opened_at: Duration,
    pub first_received: Option<Duration>,
    /// Whether a report of the group's state has come on it.
    pub has_reported: bool,
    /// Whether it works, by what was received on it.
    pub liveness: ConnectionLiveness,
    pub partial_since: Option<Duration>,
    /// Set-ups sent on it whose seizure has not ended.
    pub open_set_ups: BTreeMap<WireCallId, CallId>,
    /// Set-ups sent on it that were given up here. No other set-up of such a call is sent on it, and one of another call under
    /// the same id only if there is no other link.
    pub abandoned_set_ups: AbandonedSetUps,
    /// The last report of the group's state on this link, kept while the reports of an older link are the ones used.
    pub last_report: Option<CapacityReport>,
}

/// A release that an exchange has not confirmed.
#[derive(Clone, Copy, Debug)]
pub struct UnconfirmedRelease {
    pub id: WireCallId,
    pub since: Duration,
    pub repeated_at: Option<Duration>,
    pub repeats: u32,
}

impl Link {
    /// Whether something had been received on it when another link was opened.
    pub fn is_older(&self, opened_at: Duration) -> bool {
        self.first_received.is_some_and(|at| at < opened_at)
    }
}

/// One exchange. Removed when the event bus reports it gone.
#[derive(Debug)]
pub struct RemoteExchange {
    pub uid: Box<str>,
    pub address: SocketAddr,
    /// Whether another exchange has been reported at the address since: this one is gone, though still listed.
    pub address_taken: bool,
    pub status: ExchangeStatus,
    pub started: Duration,
    /// Links that are connecting or up, oldest first.
    pub links: Vec<LinkId>,
    /// Links that are only read, oldest first.
    pub draining: VecDeque<LinkId>,
    pub connect_failures: u32,
    pub next_connect: Duration,
    /// Runs while the pool waits for `next_connect`.
    pub pool_timer: Option<TimerHandle>,
    /// Set-ups that wait for a link.
    pub queued_set_ups: VecDeque<CallId>,
    /// Releases that wait for a link or that the exchange has not confirmed, oldest first.
    pub unconfirmed_releases: VecDeque<UnconfirmedRelease>,
    /// How long the exchange is assumed to hold its standing calls.
    pub lease: Lease,
    /// The first report on the newest link. Standing calls are checked against it.
    pub first_report: Option<FirstReport>,
    /// Whether [`Timer::ConnectForReleases`] is set.
    pub release_connection_planned: bool,
    /// When the last link was opened. The exchange repeats on it the releases of calls that ended before.
    pub last_connect: Duration,
    /// Closed links that the exchange may take for open, as it did not close its side. It sends releases of calls that were
    /// set up on them there.
    pub unconfirmed_closes: BTreeSet<LinkId>,
    /// Since when it is draining, and no call stands there and no set-up is out.
    pub drained_since: Option<Duration>,
}

impl RemoteExchange {
    /// Whether connections to its address lead to it, as far as is known.
    pub fn is_reachable(&self) -> bool {
        self.status != ExchangeStatus::Gone && !self.address_taken
    }

    /// Whether it is draining, and has had no call for so long that it needs no link.
    fn is_drained(&self, now: Duration) -> bool {
        self.status == ExchangeStatus::Draining
            && self.drained_since.is_some_and(|since| since + DRAINED_LINGER <= now)
    }

    /// If calls are missing in the first report on the newest link: when that link was opened.
    pub fn opened_in_doubt(&self) -> Option<Duration> {
        self.first_report.filter(FirstReport::is_in_doubt).map(|first_report| first_report.opened_at())
    }
}

pub struct PlatformState {
    pub now: Duration,
    /// When this process started.
    pub started_at: Duration,
    pub calls: BTreeMap<CallId, Call>,
    /// Calls without a final answer.
    pub unanswered: BTreeMap<WireCallId, CallId>,
    pub standing: BTreeMap<WireCallId, StandingCall>,
    pub callers: BTreeMap<CallerConnectionId, Caller>,
    pub exchanges: BTreeMap<ExchangeId, RemoteExchange>,
    pub links: BTreeMap<LinkId, Link>,
    pub timers: TimerQueue<Timer>,
    /// Ended seizures of which the controller is yet to be told.
    pub ended_seizures: VecDeque<SeizureEnded>,
    caller_releases: CallerReleases,
    /// Releases by exchanges of calls that are not known here, oldest first.
    unmatched_releases: VecDeque<(Duration, WireCallId, u8)>,
    /// Ids under which no set-up may be sent yet.
    pub release_waits: ReleaseWaits,
    /// Octets of all descriptions and Via headers in `calls`.
    pub held_octets: usize,
    pub links_per_exchange: usize,
    /// Whether the process ends and opens no more links.
    pub links_closed: bool,
    /// Limit for the links to all exchanges together.
    pub max_links: usize,
    pub connect_timeout: Duration,
    random: MwcRng,
    last_number: u64,
}

impl PlatformState {
    pub fn new(
        now: Duration,
        seed: u64,
        max_links: usize,
        connect_timeout: Duration,
        release_wait: Duration,
    ) -> Self {
        Self {
            now,
            started_at: now,
            calls: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            standing: BTreeMap::new(),
            callers: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            links: BTreeMap::new(),
            timers: TimerQueue::default(),
            ended_seizures: VecDeque::new(),
            caller_releases: CallerReleases::default(),
            unmatched_releases: VecDeque::new(),
            release_waits: ReleaseWaits::new(release_wait),
            held_octets: 0,
            links_per_exchange: 1,
            links_closed: false,
            max_links,
            connect_timeout,
            random: MwcRng::new(seed ^ 0x5eed),
            last_number: 0,
        }
    }

    /// The next of the numbers that identify calls and links.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub fn set_timer(&mut self, after: Duration, timer: Timer) -> TimerHandle {
        self.timers.set(self.now + after, timer)
    }

    /// A random number from 0.5 to 1, so that controllers that lose a connection at the same time don't reconnect at the
    /// same time.
    pub fn jitter(&mut self) -> f64 {
        0.5 + 0.5 * self.random.next_f64()
    }

    /// A random duration from the upper half of a span.
    pub fn jittered(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.jitter())
    }

    // Callers.

    pub fn caller_connected(&mut self, caller: CallerConnectionId) {
        let new_caller = Caller {
            decoder: sip::Decoder::default(),
            open_calls: BTreeSet::new(),
            last_received: self.now,
            partial_since: Some(self.now),
            evidence: CallerEvidence::Nothing,
            has_left: false,
            unconfirmed_releases: VecDeque::new(),
        };
        self.callers.insert(caller, new_caller);
    }
}
