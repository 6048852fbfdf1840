//! Calls, seizures, standing calls and links to exchanges; carries out what the decisions ask for.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use mintstall::chance::Chance;
use mintstall::host::{
    AlarmId, CallId, Cause, Ended, ExchangeId, Host, PeerNo, Report, SeizureNo, Standing as Service,
};
use mintstall_sip as sip;

use crate::message::{self, Kind, WireId, code};
use crate::{CallerNo, LinkNo, Port};

/// Q.850: normal clearing; temporary failure.
pub const NORMAL: u8 = 16;
pub const BROKEN: u8 = 41;
/// A release that finds no connection to its caller is kept so long: then its time has passed.
const FAREWELL_WITHIN: Duration = Duration::from_secs(8);
/// And one that was written is sent again where its connection closes within this time.
const HEARD_WITHIN: Duration = Duration::from_secs(2);
/// Releases that may wait for a caller's or an exchange's connection: a region's calls, some seconds long.
const MOST_FAREWELLS: usize = 4096;
/// A failed dial is repeated after a draw from the upper half of this, doubled with each failure up to the last.
const REDIAL_FIRST: Duration = Duration::from_millis(50);
const REDIAL_LAST: Duration = Duration::from_millis(800);
/// Links to one exchange: one spoilt answer costs all set-ups of its link, and reports come on so many.
const MOST_LINKS: usize = 4;
/// And beyond them, while a call was given up on each, or each waits to be written.
const SPARE_LINKS: usize = 2;
/// A retired link is read on for so long: longer than a set-up may be out.
const RETIRED_FOR: Duration = Duration::from_secs(4);

/// What falls due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Alarm(AlarmId),
    /// A seizure's time-out.
    Limit(CallId, SeizureNo),
    /// The end of the caller's time.
    Guard(CallId),
    /// A dial that is not answered by now is given up.
    Dial(LinkNo),
    /// Another try to reach an exchange.
    Tend(ExchangeId),
    Sweep,
    Bus,
    Stop,
}

/// A seizure that is out.
#[derive(Debug)]
pub struct Out {
    pub no: SeizureNo,
    pub to: ExchangeId,
    /// None while its link is dialled.
    pub link: Option<LinkNo>,
    pub since: Duration,
    pub limit: Duration,
}

/// Whether the caller still waits for the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owed {
    Answer,
    Nothing,
}

/// A call that has no final answer, or whose seizure is out. Emptied by both ends.
#[derive(Debug)]
pub struct Call {
    pub id: WireId,
    pub caller: CallerNo,
    /// Headers of the set-up that its answers repeat.
    pub via: Box<str>,
    pub cseq: u32,
    pub call_type: Box<str>,
    pub number: Box<str>,
    pub description: Box<[u8]>,
    pub owed: Owed,
    pub seizures: u8,
    pub out: Option<Out>,
    /// Links on which a seizure of this call was given up: what still comes there is not for a later one.
    pub left: Vec<LinkNo>,
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
    pub seizure: SeizureNo,
    pub exchange: ExchangeId,
    pub caller: CallerNo,
    pub sent: Duration,
    pub since: Duration,
}

/// One connection of a caller.
#[derive(Debug)]
pub struct Caller {
    pub cutter: sip::Cutter,
    pub open: BTreeSet<CallId>,
    pub heard: Duration,
    /// Since when a message has come in part, or nothing at all.
    pub half: Option<Duration>,
    /// Whether it has sent something that makes sense.
    pub usual: bool,
    /// Whether a call of its has stood: no caller that only breaks things gets so far.
    pub proven: bool,
    /// Releases written lately that it has not confirmed, oldest first.
    byes: VecDeque<(Duration, WireId, u8)>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum LinkState {
    Dialled,
    Up,
    /// Nothing came on it for long: no set-up goes there, but what still comes is read, a release perhaps.
    Retired {
        at: Duration,
    },
}

/// One connection to an exchange.
#[derive(Debug)]
pub struct Link {
    pub to: ExchangeId,
    pub state: LinkState,
    pub cutter: message::Cutter,
    pub heard: Duration,
    pub half: Option<Duration>,
    /// Set-ups out on it.
    pub out: BTreeMap<WireId, CallId>,
    /// The group's state that came last on it, while another link's is believed.
    pub state_told: Option<Report>,
}

/// One exchange. Emptied by the bus, once it is gone.
#[derive(Debug)]
pub struct Far {
    pub uid: Box<str>,
    pub at: SocketAddr,
    pub service: Service,
    pub started: Duration,
    /// Dialled or up, oldest first.
    pub links: Vec<LinkNo>,
    /// Those that are only read on.
    pub retired: VecDeque<LinkNo>,
    pub failures: u32,
    pub next_dial: Duration,
    /// Set-ups that wait for a link.
    pub waiting: VecDeque<CallId>,
    /// Calls to be released there once a link is up.
    pub releases: VecDeque<WireId>,
}

pub struct Desk {
    pub now: Duration,
    pub calls: BTreeMap<CallId, Call>,
    /// Calls whose answer is owed, by the id on the wire.
    pub named: BTreeMap<WireId, CallId>,
    pub standing: BTreeMap<WireId, Standing>,
    pub callers: BTreeMap<CallerNo, Caller>,
    pub exchanges: BTreeMap<ExchangeId, Far>,
    pub links: BTreeMap<LinkNo, Link>,
    pub timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// Ends of seizures that the decisions are to be told.
    pub ends: VecDeque<Ended>,
    /// Releases for callers to whom no connection is open, oldest first.
    farewells: VecDeque<(Duration, WireId, u8)>,
    /// Octets of all descriptions and headers in `calls`.
    pub held: usize,
    pub links_each: usize,
    pub links_budget: usize,
    pub dial_within: Duration,
    chance: Chance,
    next: u64,
}

impl Desk {
    pub fn new(now: Duration, seed: u64, links_budget: usize, dial_within: Duration) -> Self {
        Self {
            now,
            calls: BTreeMap::new(),
            named: BTreeMap::new(),
            standing: BTreeMap::new(),
            callers: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            links: BTreeMap::new(),
            timers: BinaryHeap::new(),
            ends: VecDeque::new(),
            farewells: VecDeque::new(),
            held: 0,
            links_each: 1,
            links_budget,
            dial_within,
            chance: Chance::new(seed ^ 0x5eed),
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

    // Callers.

    pub fn came(&mut self, caller: CallerNo) {
        let fresh = Caller {
            cutter: sip::Cutter::default(),
            open: BTreeSet::new(),
            heard: self.now,
            half: Some(self.now),
            usual: false,
            proven: false,
            byes: VecDeque::new(),
        };
        self.callers.insert(caller, fresh);
    }

    pub fn take(&mut self, id: CallId, call: Call) {
        self.held += call.octets();
        self.calls.insert(id, call);
    }

    fn drop_call(&mut self, id: CallId) {
        self.held -= self.calls.remove(&id).map_or(0, |call| call.octets());
    }

    /// The final answer of a call: written once, and nothing after it.
    pub fn answer(
        &mut self,
        port: &mut dyn Port,
        id: CallId,
        status: u16,
        more: &[(&str, &str)],
        body: &[u8],
    ) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.owed == Owed::Answer) else { return };
        call.owed = Owed::Nothing;
        let (cseq, wire) = (format!("{} INVITE", call.cseq), call.id.to_string());
        let mut headers = vec![("Via", &*call.via), ("Call-ID", &wire), ("CSeq", &cseq)];
        headers.extend_from_slice(more);
        let (mut octets, caller) = (Vec::new(), call.caller);
        sip::write_response(&mut octets, status, &headers, body);
        self.named.remove(&call.id);
        if let Some(caller) = self.callers.get_mut(&caller) {
            caller.open.remove(&id);
        }
        if call.out.is_none() {
            self.drop_call(id);
        }
        port.say(caller, &octets);
        port.detail(format_args!("{wire} told {status} {more:?}"));
    }

    /// Tells a caller that its call is over: on its own connection, else on any, else on the next that opens.
    pub fn bye(
        &mut self,
        port: &mut dyn Port,
        caller: Option<CallerNo>,
        id: WireId,
        cause: u8,
        since: Duration,
    ) {
        // Connections on which a call has stood come first: others may be of those who only break things.
        let usual = |no: &CallerNo| self.callers.get(no).is_some_and(|caller| caller.usual);
        let open = caller.filter(usual);
        let any = || {
            let usual = self.callers.iter().filter(|(_, caller)| caller.usual);
            usual.max_by_key(|(_, caller)| (caller.proven, caller.heard)).map(|(no, _)| *no)
        };
        let Some(no) = open.or_else(any) else {
            if self.farewells.len() == MOST_FAREWELLS {
                self.farewells.pop_front();
            }
            port.detail(format_args!("{id} over: no caller's connection is open"));
            return self.farewells.push_back((since, id, cause));
        };
        let (wire, reason) = (id.to_string(), format!("Q.850;cause={cause}"));
        let headers =
            [("Via", "SIP/2.0/TCP controller"), ("Call-ID", &*wire), ("CSeq", "1 BYE"), ("Reason", &*reason)];
        let mut octets = Vec::new();
        sip::write(&mut octets, "BYE sip:peer@net SIP/2.0", &headers, b"");
        if let Some(caller) = self.callers.get_mut(&no) {
            while caller.byes.pop_front_if(|(at, ..)| *at + HEARD_WITHIN < self.now).is_some() {}
            if caller.byes.len() < MOST_FAREWELLS {
                caller.byes.push_back((self.now, id, cause));
            }
        }
        port.say(no, &octets);
        port.detail(format_args!("{id} over: told on {}, cause {cause}", no.0));
    }

    pub fn heard_bye(&mut self, caller: CallerNo, id: WireId) {
        if let Some(caller) = self.callers.get_mut(&caller) {
            caller.byes.retain(|(_, known, _)| *known != id);
        }
    }

    /// Releases that waited for a connection go out now.
    pub fn say_farewells(&mut self, port: &mut dyn Port) {
        for (since, id, cause) in std::mem::take(&mut self.farewells) {
            if since + FAREWELL_WITHIN > self.now {
                self.bye(port, None, id, cause, since);
            }
        }
    }

    /// A caller's connection has gone: the calls that waited on it, for the decisions to be told.
    pub fn left(&mut self, port: &mut dyn Port, no: CallerNo) -> Vec<CallId> {
        let Some(caller) = self.callers.remove(&no) else { return Vec::new() };
        for (at, id, cause) in caller.byes {
            if at + HEARD_WITHIN > self.now {
                self.bye(port, None, id, cause, at);
            }
        }
        caller.open.into_iter().collect()
    }

    /// Nothing more is owed for a call; what is out of it goes on to its end.
    pub fn forget(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if std::mem::replace(&mut call.owed, Owed::Nothing) == Owed::Answer {
            self.named.remove(&call.id);
            if let Some(caller) = self.callers.get_mut(&call.caller) {
                caller.open.remove(&id);
            }
        }
        if call.out.is_none() {
            self.drop_call(id);
        }
    }

    // Seizures.

    /// The link for a further set-up: the one with fewest out.
    fn pick(&self, port: &dyn Port, far: &Far, call: &Call) -> Option<LinkNo> {
        let links = far.links.iter().filter_map(|no| self.links.get(no).map(|link| (no, link)));
        let free = links.filter(|(no, link)| {
            link.state == LinkState::Up
                && link.half.is_none()
                && !call.left.contains(no)
                && !port.backed_up(**no)
        });
        free.min_by_key(|(_, link)| link.out.len()).map(|(no, _)| *no)
    }

    /// Sends the set-up of a call whose seizure waits, if a link is free.
    fn send_set_up(&mut self, port: &mut dyn Port, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else { return true };
        let Some(out) = call.out.as_ref().filter(|out| out.link.is_none()) else { return true };
        let Some(far) = self.exchanges.get(&out.to) else { return false };
        let Some(no) = self.pick(port, far, call) else { return false };
        let left = out.limit.saturating_sub(self.now.saturating_sub(out.since));
        let patience = left.as_millis().to_string();
        let mut octets = Vec::with_capacity(64 + call.description.len());
        let parameters = [
            (code::CALL_TYPE, call.call_type.as_bytes()),
            (code::PATIENCE_MS, patience.as_bytes()),
            (code::NUMBER, call.number.as_bytes()),
            (code::DESCRIPTION, &call.description[..]),
        ];
        message::write(&mut octets, Kind::SetUp, call.id, &parameters);
        let wire = call.id;
        if let Some(link) = self.links.get_mut(&no) {
            link.out.insert(wire, id);
        }
        if let Some(out) = self.calls.get_mut(&id).and_then(|call| call.out.as_mut()) {
            out.link = Some(no);
        }
        port.send(no, &octets);
        port.detail(format_args!("{wire} sent on link {} with {patience} ms", no.0));
        true
    }

    /// A seizure has ended: taken off the books, to be told.
    pub fn end(&mut self, id: CallId, cause: Cause) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = call.out.take() else { return };
        let closed = call.owed == Owed::Nothing;
        if let Some(link) = out.link.and_then(|no| self.links.get_mut(&no)) {
            link.out.remove(&call.id);
        }
        if out.link.is_none()
            && let Some(far) = self.exchanges.get_mut(&out.to)
        {
            far.waiting.retain(|waits| *waits != id);
        }
        let after = self.now.saturating_sub(out.since);
        self.ends.push_back(Ended { call: id, seizure: out.no, exchange: out.to, cause, after, closed });
        if closed {
            self.drop_call(id);
        }
    }

    /// Gives up a seizure: the exchange is told, and what still comes on that link is not for a later one.
    pub fn give_up(&mut self, port: &mut dyn Port, id: CallId, cause: Cause) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = &call.out else { return };
        // What never went out is not reached, and has not run.
        let Some(link) = out.link else { return self.end(id, Cause::Unreachable) };
        call.left.push(link);
        release_on(port, link, call.id);
        self.end(id, cause);
    }

    /// The time of a seizure is up.
    pub fn limit(&mut self, port: &mut dyn Port, id: CallId, no: SeizureNo) {
        let Some(out) = self.calls.get(&id).and_then(|call| call.out.as_ref()) else { return };
        if out.no != no {
            return;
        }
        let (link, since) = (out.link, out.since);
        self.give_up(port, id, Cause::TimedOut);
        // A link on which nothing came since is of no use to others either. It is read on for a while: closing it would
        // lose a release that is on its way, and the set-ups that are out on it.
        if let Some(no) = link
            && let Some(link) = self.links.get_mut(&no)
            && link.state == LinkState::Up
            && link.heard < since
        {
            let to = link.to;
            link.state = LinkState::Retired { at: self.now };
            if let Some(far) = self.exchanges.get_mut(&to) {
                far.links.retain(|known| *known != no);
                far.retired.push_back(no);
                if far.retired.len() > MOST_LINKS
                    && let Some(oldest) = far.retired.front().copied()
                {
                    self.lose(port, oldest);
                }
            }
            port.detail(format_args!("link {} to exchange {} retired", no.0, to.0));
            self.tend(port, to);
        }
    }

    /// Retired links whose time is over.
    pub fn worn_out(&self) -> Vec<LinkNo> {
        let over =
            |link: &Link| matches!(link.state, LinkState::Retired { at } if at + RETIRED_FOR < self.now);
        self.links.iter().filter(|(_, link)| over(link)).map(|(no, _)| *no).collect()
    }

    /// Releases a standing call towards its exchange.
    pub fn release_there(&mut self, port: &mut dyn Port, to: ExchangeId, id: WireId) {
        if let Some(link) = self.first_up(to) {
            return release_on(port, link, id);
        }
        let Some(far) = self.exchanges.get_mut(&to) else { return };
        if far.releases.len() == MOST_FAREWELLS {
            far.releases.pop_front();
        }
        far.releases.push_back(id);
    }

    // Links.

    /// How many links an exchange gets, so that all fit the descriptors.
    pub fn share_links(&mut self) {
        let ready = self.exchanges.values().filter(|far| far.service == Service::Ready).count();
        self.links_each = (self.links_budget / ready.max(1)).clamp(1, MOST_LINKS);
    }

    /// Dials what an exchange is short of links.
    pub fn tend(&mut self, port: &mut dyn Port, to: ExchangeId) {
        let Some(far) = self.exchanges.get(&to) else { return };
        let wanted = match far.service {
            Service::Ready => self.links_each,
            Service::Draining => 1,
            Service::Gone => 0,
        };
        let short = wanted.saturating_sub(far.links.len());
        let (first, next_dial, at) = (far.failures == 0, far.next_dial, far.at);
        if short == 0 || !first && self.dialling(far) {
            return;
        }
        if self.now < next_dial {
            return self.set(next_dial - self.now, Timer::Tend(to));
        }
        (0..if first { short } else { 1 }).for_each(|_| self.dial(port, to, at));
    }

    fn dial(&mut self, port: &mut dyn Port, to: ExchangeId, at: SocketAddr) {
        let no = LinkNo(self.number());
        let (state, cutter) = (LinkState::Dialled, message::Cutter::default());
        let link =
            Link { to, state, cutter, heard: self.now, half: None, out: BTreeMap::new(), state_told: None };
        self.links.insert(no, link);
        self.exchanges.entry(to).and_modify(|far| far.links.push(no));
        self.set(self.dial_within, Timer::Dial(no));
        port.dial(no, at);
    }

    /// Whether a link to an exchange is being dialled.
    fn dialling(&self, far: &Far) -> bool {
        far.links.iter().any(|no| self.links.get(no).is_some_and(|link| link.state == LinkState::Dialled))
    }

    pub fn link_up(&mut self, port: &mut dyn Port, no: LinkNo) {
        let Some(link) = self.links.get_mut(&no) else { return };
        (link.state, link.heard) = (LinkState::Up, self.now);
        let to = link.to;
        port.detail(format_args!("link {} to exchange {} up", no.0, to.0));
        let Some(far) = self.exchanges.get_mut(&to) else { return };
        far.failures = 0;
        let (waiting, releases) = (std::mem::take(&mut far.waiting), std::mem::take(&mut far.releases));
        let ready = far.service == Service::Ready;
        releases.into_iter().for_each(|id| self.release_there(port, to, id));
        for id in waiting {
            // One that began to drain meanwhile is sent nothing new.
            if !ready {
                self.end(id, Cause::Unreachable);
            } else if !self.send_set_up(port, id) {
                self.exchanges.entry(to).and_modify(|far| far.waiting.push_back(id));
            }
        }
        self.tend(port, to);
    }

    /// A link has gone, or is closed here: every set-up on it was cut. Whether it had ever been up.
    pub fn lose(&mut self, port: &mut dyn Port, no: LinkNo) -> Option<(ExchangeId, LinkState)> {
        let link = self.links.remove(&no)?;
        port.cut(no);
        port.detail(format_args!("link {} to exchange {} lost ({:?})", no.0, link.to.0, link.state));
        let to = link.to;
        for id in link.out.into_values() {
            self.end(id, Cause::Cut);
        }
        if let Some(far) = self.exchanges.get_mut(&to) {
            far.links.retain(|known| *known != no);
            far.retired.retain(|known| *known != no);
            if link.state == LinkState::Dialled {
                far.failures = far.failures.saturating_add(1);
                let ceiling = REDIAL_LAST.min(REDIAL_FIRST * 2u32.pow(far.failures.min(8)));
                far.next_dial = self.now + ceiling.mul_f64(0.5 + 0.5 * self.chance.below_one());
            }
        }
        self.tend(port, to);
        self.unreached(to);
        Some((to, link.state))
    }

    /// Set-ups that wait for an exchange to which nothing is dialled are not reached.
    fn unreached(&mut self, to: ExchangeId) {
        if self.exchanges.get(&to).is_some_and(|far| !self.dialling(far))
            && let Some(far) = self.exchanges.get_mut(&to)
        {
            for id in std::mem::take(&mut far.waiting) {
                self.end(id, Cause::Unreachable);
            }
        }
    }

    /// The oldest link that is up. Its word of the group's state alone is believed: each link is told each change, and
    /// a copy that comes after a further seizure would set the free circuits back up.
    pub fn first_up(&self, of: ExchangeId) -> Option<LinkNo> {
        let mut links = self.exchanges.get(&of)?.links.iter();
        links.find(|no| self.links.get(no).is_some_and(|link| link.state == LinkState::Up)).copied()
    }

    /// Calls that stand at an exchange since before some time, taken off the books.
    pub fn take_standing(&mut self, at: ExchangeId, before: Duration) -> Vec<(WireId, Standing)> {
        self.standing.extract_if(.., |_, call| call.exchange == at && call.since < before).collect()
    }
}

/// Releases a call on a link, for a reason of its caller's or our own.
fn release_on(port: &mut dyn Port, link: LinkNo, id: WireId) {
    let mut octets = Vec::new();
    message::write(&mut octets, Kind::Release, id, &[(code::CAUSE, &[NORMAL])]);
    port.send(link, &octets);
}

/// The decisions act through this.
pub struct Turn<'a> {
    pub desk: &'a mut Desk,
    pub port: &'a mut dyn Port,
}

impl Host for Turn<'_> {
    fn seize(&mut self, id: CallId, to: ExchangeId, limit: Duration) {
        let Self { desk, port } = self;
        let Some(call) = desk.calls.get_mut(&id) else { return };
        let no = SeizureNo(call.seizures);
        call.seizures = call.seizures.saturating_add(1);
        call.out = Some(Out { no, to, link: None, since: desk.now, limit });
        desk.set(limit, Timer::Limit(id, no));
        if desk.send_set_up(*port, id) {
            return;
        }
        // No link is free: one is waited for while it is dialled, which a seizure is reason enough for.
        let Some(far) = desk.exchanges.get(&to).filter(|far| far.service == Service::Ready) else {
            return desk.end(id, Cause::Unreachable);
        };
        if !desk.dialling(far) && far.links.len() < desk.links_each + SPARE_LINKS {
            let at = far.at;
            desk.dial(*port, to, at);
        }
        if let Some(far) = desk.exchanges.get_mut(&to) {
            far.waiting.push_back(id);
        }
        desk.unreached(to);
    }

    fn cancel(&mut self, id: CallId, seizure: SeizureNo) {
        let out = self.desk.calls.get(&id).and_then(|call| call.out.as_ref());
        if out.is_some_and(|out| out.no == seizure) {
            self.desk.give_up(self.port, id, Cause::Cancelled);
        }
    }

    fn reject(&mut self, id: CallId, come_back: Duration) {
        let wait = come_back.as_millis().to_string();
        let more = [("P-Back-Off", &*wait)];
        let more = if come_back.is_zero() { &more[..0] } else { &more[..] };
        self.desk.answer(self.port, id, 503, more, b"");
    }

    fn release(&mut self, id: CallId) {
        self.desk.answer(self.port, id, 500, &[], b"");
    }

    fn alarm(&mut self, after: Duration, alarm: AlarmId) {
        self.desk.set(after, Timer::Alarm(alarm));
    }

    fn tell(&mut self, _peer: Option<PeerNo>, _message: &[u8]) {
        // The platform has no way between controllers where its settings allow none, as they do so far.
    }

    fn subscribe(&mut self) {
        // The bus sends all changes by itself on the connection that is kept open anyway.
    }

    fn log(&mut self, line: &str) {
        self.port.note(line);
    }
}
