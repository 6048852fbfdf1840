//! A session without I/O: octets and the time in, octets and events out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use mintstall_callapi::{
    CallEndedNotification, CallNewsNotification, CallState, CallStatus, Cancel, EndReason, FinalAnswer,
    Hangup, Hello, HelloResult, NewsMissedNotification, Offer, OfferResult, Request, RequestMessage,
    ServerMessage, Subscribe, Subscribed, code,
};
use mintstall_limits::{
    CallNumberInUse, CallTable, ConnectionMonitor, ConnectionTimeouts, MonitorAction, ReconciledCalls,
    ReconnectBackoff, ReconnectPolicy, ServerCallState,
};
use mintstall_websocket::{
    ClientHandshake, ClientHandshakeState, WebSocketConnection, WebSocketEvent, close,
};
use serde_json::{Value, json};
use thiserror::Error;

/// How a session is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionConfig {
    /// What the client calls itself, for the server's log.
    pub client: String,
    pub token: Option<String>,
    /// Whether a session that was cut is taken up again; otherwise each connection is a session of its own.
    pub resumes: bool,
    pub reconnect: ReconnectPolicy,
    /// When a server that says nothing is pinged, and given up.
    pub timeouts: ConnectionTimeouts,
    /// Calls in hand at a time.
    pub most_calls: usize,
    /// How long after its caller's time an answer may still be on its way, before the call counts as lost.
    pub grace: Duration,
}

impl SessionConfig {
    pub fn named(client: impl Into<String>) -> Self {
        Self {
            client: client.into(),
            token: None,
            resumes: true,
            reconnect: ReconnectPolicy::default(),
            // The server pings sooner: only one that is gone is silent for so long.
            timeouts: ConnectionTimeouts {
                idle_timeout: Duration::from_secs(45),
                ..ConnectionTimeouts::default()
            },
            most_calls: 10_000,
            grace: Duration::from_secs(1),
        }
    }
}

/// What happens on a session.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It is open; `resumed`: it is the session of before.
    Connected {
        resumed: bool,
        welcome: Box<HelloResult>,
    },
    /// The connection is gone, or was not to be had; it is dialled again by itself.
    Disconnected {
        why: String,
    },
    /// The server wants nothing of this client: its token is no good. Not dialled again.
    Denied {
        why: String,
    },
    /// A call's one final answer.
    Answered(OfferResult),
    /// A standing call ended; `None`: while the connection was gone, how is not known.
    Ended {
        call: u64,
        how: Option<EndReason>,
    },
    /// What became of a call can't be told any more: its session is over, or no answer came in time.
    Lost {
        call: u64,
    },
    /// An offer was not accepted: the fault is the client's.
    Fault {
        call: u64,
        code: i64,
        why: String,
    },
    News(CallNewsNotification),
    Missed(NewsMissedNotification),
    /// What [`Session::ask`] asked for.
    Reply {
        ask: u64,
        result: Result<Value, (i64, String)>,
    },
}

/// An offer or request that can't be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    #[error(transparent)]
    InUse(#[from] CallNumberInUse),
    #[error("{0} calls are in hand already")]
    TooMany(usize),
    #[error("the session is not open")]
    NotOpen,
    #[error("the session is closed")]
    Closed,
}

enum Link {
    /// To be dialled then.
    Down {
        dial_at: Duration,
    },
    /// Being dialled by the owner.
    Dialling,
    Shaking(ClientHandshake),
    /// Hello was said.
    Greeting(Box<WebSocketConnection>),
    Open(Box<WebSocketConnection>),
    /// For good.
    Closed,
}

/// Octets of the longest text that is taken from a server: a trace has some thousands.
const LONGEST_TEXT: usize = 1 << 20;
/// Requests whose reply is waited for.
const MOST_ASKED: usize = 1_000;

pub struct Session {
    plan: SessionConfig,
    link: Link,
    back: ReconnectBackoff,
    book: CallTable<Offer>,
    vigil: ConnectionMonitor<()>,
    key: Option<String>,
    /// How long the server keeps it after a cut.
    kept: Duration,
    /// What was in hand there when it was taken up, until what is owed has been heard.
    settling: Option<(usize, BTreeMap<u64, CallState>)>,
    /// Of the next event, once subscribed.
    cursor: Option<u64>,
    watches: bool,
    /// Calls given up while there was no connection to say so. Emptied when there is one.
    cancels: BTreeSet<u64>,
    /// Asked and not replied to: at most [`MOST_ASKED`]. Emptied by replies and when the connection goes.
    asked: BTreeMap<u64, Asking>,
    last_ask: u64,
    out: Vec<u8>,
    events: VecDeque<Event>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asking {
    Hello,
    Subscribe,
    /// The owner's.
    Other,
    /// A call given up: that it is over already is no fault.
    GiveUp,
}

impl Session {
    /// Dials at once. `seed` sets the jitter apart from that of other clients.
    pub fn new(now: Duration, plan: SessionConfig, seed: u64) -> Self {
        Self {
            link: Link::Down { dial_at: now },
            back: ReconnectBackoff::new(plan.reconnect, seed),
            book: CallTable::new(plan.most_calls, plan.grace),
            vigil: ConnectionMonitor::new(ConnectionTimeouts { max_handshakes: 1, ..plan.timeouts }),
            plan,
            key: None,
            kept: Duration::ZERO,
            settling: None,
            cursor: None,
            watches: false,
            cancels: BTreeSet::new(),
            asked: BTreeMap::new(),
            last_ask: 0,
            out: Vec::new(),
            events: VecDeque::new(),
        }
    }

    // What the owner does.

    /// Whether a connection is to be dialled; once it is told so, the owner says [`Session::dialled`] or
    /// [`Session::lost`].
    pub fn wants_dial(&mut self, now: Duration) -> bool {
        let due = matches!(self.link, Link::Down { dial_at } if dial_at <= now);
        if due {
            self.link = Link::Dialling;
        }
        due
    }

    /// The connection is there.
    pub fn dialled(&mut self, now: Duration, to: SocketAddr) {
        match ClientHandshake::new(to, LONGEST_TEXT) {
            Ok((dialled, request)) => {
                self.out.extend_from_slice(&request);
                self.link = Link::Shaking(dialled);
                // It is the only one.
                let _ = self.vigil.add(now, ());
            }
            Err(why) => self.lost(now, &why.to_string()),
        }
    }

    /// What is to be written; the owner takes it.
    pub fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    pub fn is_open(&self) -> bool {
        matches!(self.link, Link::Open(_))
    }

    /// Whether it has gone for good.
    pub fn is_closed(&self) -> bool {
        matches!(self.link, Link::Closed)
    }

    /// Calls in hand.
    pub fn calls(&self) -> usize {
        self.book.len()
    }

    /// Their numbers.
    pub fn in_hand(&self) -> impl Iterator<Item = u64> {
        self.book.numbers()
    }

    /// Whether a call has been answered, and stands.
    pub fn stands(&self, call: u64) -> bool {
        self.book.is_standing(call)
    }

    pub fn unanswered(&self) -> usize {
        self.book.unanswered()
    }

    /// When [`Session::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        let dial = match self.link {
            Link::Down { dial_at } => Some(dial_at),
            _ => None,
        };
        [dial, self.book.next_timer(), self.vigil.next_timer()].into_iter().flatten().min()
    }

    pub fn on_timer(&mut self, now: Duration) {
        for call in self.book.on_timer(now) {
            // Were it to stand all the same, nobody would know of it.
            self.give_up(call);
            self.events.push_back(Event::Lost { call });
        }
        for due in self.vigil.on_timer(now) {
            match due {
                MonitorAction::Ping(()) => {
                    if let Link::Open(end) | Link::Greeting(end) = &mut self.link {
                        end.ping();
                    }
                }
                MonitorAction::Drop((), lapse) => self.lost(now, &format!("the server {lapse}")),
            }
        }
        self.pump();
    }

    /// The connection is gone, or was not to be had.
    pub fn lost(&mut self, now: Duration, why: &str) {
        self.down(now, why, None);
    }

    fn down(&mut self, now: Duration, why: &str, told: Option<Duration>) {
        if matches!(self.link, Link::Closed | Link::Down { .. }) {
            return;
        }
        self.out.clear();
        self.vigil.remove(());
        self.settling = None;
        self.book.on_disconnect();
        for (ask, asking) in std::mem::take(&mut self.asked) {
            if asking == Asking::Other {
                let result = Err((0, format!("no reply came: {why}")));
                self.events.push_back(Event::Reply { ask, result });
            }
        }
        let kept = if self.key.is_some() { self.kept } else { Duration::ZERO };
        self.link = Link::Down { dial_at: self.back.on_failure(now, told, kept) };
        self.events.push_back(Event::Disconnected { why: why.to_string() });
    }

    /// Octets that came on the connection.
    pub fn on_octets(&mut self, now: Duration, octets: &[u8]) {
        let mut heard = Vec::new();
        match &mut self.link {
            Link::Shaking(dialled) => match dialled.push(octets) {
                ClientHandshakeState::Incomplete => return,
                ClientHandshakeState::Rejected(why) => {
                    return self.down(now, &why.to_string(), why.retry_after());
                }
                ClientHandshakeState::Open(mut end) => {
                    end.on_octets(&[], &mut |event| heard.push(event));
                    self.vigil.on_open(now, ());
                    self.link = Link::Greeting(end);
                    self.greet();
                }
            },
            Link::Greeting(end) | Link::Open(end) => end.on_octets(octets, &mut |event| heard.push(event)),
            Link::Down { .. } | Link::Dialling | Link::Closed => return,
        }
        self.vigil.on_received(now, ());
        for event in heard {
            if let WebSocketEvent::Text(text) = event {
                self.text(now, &text);
            }
        }
        self.pump();
        if let Link::Greeting(end) | Link::Open(end) = &self.link
            && let Some(ended) = end.close_info()
        {
            let why = match ended.by_far_end {
                true => format!("closed by the server ({}): {}", ended.code, ended.reason),
                false => ended.reason.clone(),
            };
            let out = std::mem::take(&mut self.out);
            self.down(now, &why, None);
            // The closing handshake is completed before the owner closes.
            self.out = out;
        }
    }

    fn greet(&mut self) {
        let hello = Hello {
            client: self.plan.client.clone(),
            token: self.plan.token.clone(),
            resumable: self.plan.resumes,
            resume: self.key.clone(),
        };
        self.say(Asking::Hello, Request::Hello(hello));
    }

    fn text(&mut self, now: Duration, text: &str) {
        let heard = match ServerMessage::read(text.as_bytes()) {
            Ok(heard) => heard,
            Err(error) => {
                if let Link::Greeting(end) | Link::Open(end) = &mut self.link {
                    end.close(close::PROTOCOL, &format!("a text makes no sense: {error}"));
                }
                return;
            }
        };
        match heard {
            ServerMessage::Answered(answered) => self.answered(answered),
            ServerMessage::Ended(CallEndedNotification { call, how }) => {
                if self.book.remove(call) {
                    self.events.push_back(Event::Ended { call, how: Some(how) });
                }
            }
            ServerMessage::News(note) => {
                self.cursor = Some(note.number + 1);
                self.events.push_back(Event::News(note));
            }
            ServerMessage::Missed(note) => self.events.push_back(Event::Missed(note)),
            ServerMessage::Other(_) => {}
            ServerMessage::Result { id, result } => self.replied(now, &id, Ok(result)),
            ServerMessage::Fault { id, code, message, come_back_ms } => match id.as_u64() {
                Some(call) => self.offer_fault(call, code, message, come_back_ms),
                None => self.replied(now, &id, Err((code, message))),
            },
        }
        if let Some((owed, _)) = &mut self.settling {
            match *owed {
                0 => self.settle(now),
                _ => *owed -= 1,
            }
        }
    }

    fn answered(&mut self, answered: OfferResult) {
        if self.book.on_answer(answered.call, answered.answer == FinalAnswer::Stands) {
            self.events.push_back(Event::Answered(answered));
        }
    }

    fn offer_fault(&mut self, call: u64, code: i64, why: String, come_back_ms: Option<u64>) {
        if code == i64::from(code::TOO_FAST) {
            let come_back_ms = come_back_ms.map_or(0, |ms| u32::try_from(ms).unwrap_or(u32::MAX));
            let answer = FinalAnswer::Refused { come_back_ms };
            return self.answered(OfferResult { call, exchange_call: 0, answer });
        }
        if self.book.remove(call) {
            self.events.push_back(Event::Fault { call, code, why });
        }
    }

    fn replied(&mut self, now: Duration, id: &Value, result: Result<Value, (i64, String)>) {
        let ask = id.as_str().and_then(|id| id.strip_prefix('a')).and_then(|id| id.parse::<u64>().ok());
        let Some((ask, asking)) = ask.and_then(|ask| Some((ask, self.asked.remove(&ask)?))) else { return };
        match (asking, result) {
            (Asking::Hello, Ok(welcome)) => self.welcome(now, welcome),
            (Asking::Hello, Err((_, why))) => match self.key.take() {
                // The session of before is over: this connection begins another.
                Some(_) => self.greet(),
                None => {
                    self.close();
                    self.events.push_back(Event::Denied { why });
                }
            },
            (Asking::Subscribe, Ok(result)) => {
                if let Ok(Subscribed { cursor }) = serde_json::from_value(result) {
                    self.cursor = Some(cursor);
                }
            }
            (Asking::Subscribe, Err((code, why))) => match self.cursor.take() {
                // Too old, or another server's: from now on, and the gap is told.
                Some(_) if code == i64::from(code::INVALID_PARAMS) => {
                    self.events.push_back(Event::Missed(NewsMissedNotification { count: 0 }));
                    self.say(Asking::Subscribe, Request::Subscribe(Subscribe { cursor: None }));
                }
                _ => {
                    self.watches = false;
                    self.events.push_back(Event::Reply { ask: 0, result: Err((code, why)) });
                }
            },
            (Asking::GiveUp, _) => {}
            (Asking::Other, result) => self.events.push_back(Event::Reply { ask, result }),
        }
    }

    fn welcome(&mut self, now: Duration, welcome: Value) {
        let welcome: HelloResult = match serde_json::from_value(welcome) {
            Ok(welcome) => welcome,
            Err(error) => return self.down(now, &format!("its welcome makes no sense: {error}"), None),
        };
        let Link::Greeting(end) = std::mem::replace(&mut self.link, Link::Dialling) else { return };
        self.link = Link::Open(end);
        self.back.on_open(now);
        let resumed = self.key.is_some() && self.key == welcome.session;
        self.key = welcome.session.clone();
        self.kept = Duration::from_millis(welcome.limits.kept_ms);
        let there = welcome.calls.iter().map(|call| (call.call, *call)).collect();
        let owed = welcome.owed;
        self.events.push_back(Event::Connected { resumed, welcome: Box::new(welcome) });
        match resumed {
            true => self.settling = Some((owed, there)),
            false => {
                let settled = self.book.on_new_session(now);
                self.carry_out(now, settled, &BTreeMap::new());
            }
        }
        if self.watches {
            self.say(Asking::Subscribe, Request::Subscribe(Subscribe { cursor: self.cursor }));
        }
    }

    /// All that was owed has been heard: what is still in doubt is told by what the server has in hand.
    fn settle(&mut self, now: Duration) {
        let Some((_, there)) = self.settling.take() else { return };
        let in_hand = |state: &CallState| match state.state {
            CallStatus::Stands => ServerCallState::Standing,
            _ => ServerCallState::Unanswered,
        };
        let states = there.iter().map(|(call, state)| (*call, in_hand(state))).collect();
        let settled = self.book.on_resumed(now, &states);
        // Hung up here while there was no connection to say so.
        let forgotten: Vec<u64> = there.keys().copied().filter(|call| !self.book.contains(*call)).collect();
        for call in
            forgotten.into_iter().filter(|call| !settled.ended.contains(call) && !settled.lost.contains(call))
        {
            self.give_up(call);
        }
        self.carry_out(now, settled, &there);
    }

    fn carry_out(&mut self, now: Duration, settled: ReconciledCalls, there: &BTreeMap<u64, CallState>) {
        let ReconciledCalls { to_send, standing, ended, lost } = settled;
        for call in standing {
            let exchange_call = there.get(&call).map_or(0, |state| state.exchange_call);
            self.events.push_back(Event::Answered(OfferResult {
                call,
                exchange_call,
                answer: FinalAnswer::Stands,
            }));
        }
        self.events.extend(ended.into_iter().map(|call| Event::Ended { call, how: None }));
        self.events.extend(lost.into_iter().map(|call| Event::Lost { call }));
        to_send.into_iter().for_each(|call| self.send(now, call));
        for call in std::mem::take(&mut self.cancels) {
            if self.book.contains(call) {
                self.say(Asking::GiveUp, Request::Cancel(Cancel { call }));
            }
        }
    }

    // What the client asks.

    /// Asks for a call, under a number that is not in hand; `offer.time_left_ms` counts from now. While there is no
    /// connection it is kept, and sent with the time that is left then.
    pub fn offer(&mut self, now: Duration, offer: Offer) -> Result<(), RequestError> {
        if self.is_closed() {
            return Err(RequestError::Closed);
        }
        if self.book.is_full() {
            return Err(RequestError::TooMany(self.book.len()));
        }
        let (call, until) = (offer.call, now + Duration::from_millis(offer.time_left_ms.into()));
        self.book.offer(call, offer, until)?;
        if self.is_open() && self.settling.is_none() {
            self.send(now, call);
            self.pump();
        }
        Ok(())
    }

    fn send(&mut self, now: Duration, call: u64) {
        let Some((offer, left)) = self.book.offer_and_time_left(now, call) else { return };
        let offer = Offer { time_left_ms: left.as_millis() as u32, ..offer.clone() };
        let Link::Open(end) = &mut self.link else { return };
        end.send_text(&RequestMessage { id: Some(json!(call)), request: Request::Offer(offer) }.text());
        self.book.mark_sent(call);
    }

    /// Ends a call that stands, or gives it up; without a connection it is forgotten here, and over there when the session
    /// is taken up or its time is over.
    pub fn hang_up(&mut self, call: u64) {
        self.give_up(call);
        self.book.remove(call);
        self.pump();
    }

    /// Gives up a call that has no answer; it gets `fails` at once, or when there is a connection again.
    pub fn cancel(&mut self, call: u64) {
        if !self.is_open() || self.settling.is_some() {
            self.cancels.extend(self.book.contains(call).then_some(call));
            return;
        }
        self.say(Asking::GiveUp, Request::Cancel(Cancel { call }));
        self.pump();
    }

    fn give_up(&mut self, call: u64) {
        self.say(Asking::GiveUp, Request::Hangup(Hangup { call }));
    }

    /// Asks for news of calls from now on, through cuts too.
    pub fn watch(&mut self) {
        self.watches = true;
        if self.is_open() {
            self.say(Asking::Subscribe, Request::Subscribe(Subscribe { cursor: self.cursor }));
            self.pump();
        }
    }

    /// Any other request; its reply comes as an event under the number returned.
    pub fn ask(&mut self, request: Request) -> Result<u64, RequestError> {
        if !self.is_open() {
            return Err(RequestError::NotOpen);
        }
        if self.asked.len() >= MOST_ASKED {
            return Err(RequestError::TooMany(MOST_ASKED));
        }
        let ask = self.say(Asking::Other, request);
        self.pump();
        Ok(ask)
    }

    fn say(&mut self, asking: Asking, request: Request) -> u64 {
        self.last_ask += 1;
        let ask = self.last_ask;
        let (Link::Greeting(end) | Link::Open(end)) = &mut self.link else { return ask };
        // Beyond that the reply is not looked for.
        if self.asked.len() < MOST_ASKED {
            self.asked.insert(ask, asking);
        }
        end.send_text(&RequestMessage { id: Some(json!(format!("a{ask}"))), request }.text());
        ask
    }

    /// Ends the session for good: the server hangs up what it has in hand once the connection is gone.
    pub fn close(&mut self) {
        if let Link::Greeting(end) | Link::Open(end) = &mut self.link {
            end.close(close::NORMAL, "done");
        }
        self.pump();
        self.vigil.remove(());
        self.link = Link::Closed;
    }

    fn pump(&mut self) {
        if let Link::Greeting(end) | Link::Open(end) = &mut self.link {
            self.out.append(end.output());
        }
    }
}
