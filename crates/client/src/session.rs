//! The session without I/O: received octets and the time go in, octets to send and events come out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use mintstall_callapi::{
    CallEndedNotification, CallNewsNotification, CallState, CallStatus, Cancel, EndReason, FinalAnswer,
    Hangup, Hello, HelloResult, NewsMissedNotification, Offer, OfferResult, Request, RequestMessage,
    ServerMessage, Subscribe, SubscribeResult, code,
};
use mintstall_limits::{
    CallNumberInUse, CallTable, ConnectionMonitor, ConnectionTimeouts, MonitorAction, ReconciledCalls,
    ReconnectBackoff, ReconnectPolicy, ServerCallState, TimeoutCause,
};
use mintstall_websocket::{
    ClientHandshake, ClientHandshakeState, WebSocketConnection, WebSocketEvent, close,
};
use serde_json::{Value, json};
use thiserror::Error;

const MAX_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_HANDSHAKE_DOUBLINGS: u32 = 8;

/// Settings of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionConfig {
    /// The client's name in the server's log.
    pub client: String,
    pub token: Option<String>,
    /// Whether the session is resumed after a disconnection. Otherwise each connection is a session of its own.
    pub resumable: bool,
    pub reconnect: ReconnectPolicy,
    /// When a silent server is pinged, and when its connection is dropped.
    pub timeouts: ConnectionTimeouts,
    /// Calls in progress at a time.
    pub max_calls: usize,
    /// Time after a caller's deadline in which the answer may still arrive. Then the call is reported as lost.
    pub grace: Duration,
}

impl SessionConfig {
    /// Default settings for a client of this name.
    pub fn named(client: impl Into<String>) -> Self {
        Self {
            client: client.into(),
            token: None,
            resumable: true,
            reconnect: ReconnectPolicy::default(),
            // Longer than the server's idle timeout: a live server sends a ping before this one expires.
            timeouts: ConnectionTimeouts {
                idle_timeout: Duration::from_secs(45),
                ..ConnectionTimeouts::default()
            },
            max_calls: 10_000,
            grace: Duration::from_secs(1),
        }
    }
}

/// What happens on a session.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The session is open. `resumed`: it is the session of the previous connection.
    Connected {
        resumed: bool,
        welcome: Box<HelloResult>,
    },
    /// The connection was lost, or the attempt failed. The session reconnects by itself.
    Disconnected {
        why: String,
    },
    /// The server rejected `session.hello`, for instance because of the token. The session is closed and does not reconnect.
    Denied {
        why: String,
    },
    /// The final answer of a call. Each call gets one at most.
    Answered(OfferResult),
    /// A standing call ended. `None`: it ended during a disconnection, for an unknown reason.
    Ended {
        call: u64,
        how: Option<EndReason>,
    },
    /// The result of a call is unknown: its session has ended, or no answer came in time.
    Lost {
        call: u64,
    },
    /// The server replied to an offer with an error: the offer is invalid or not allowed.
    OfferError {
        call: u64,
        code: i64,
        why: String,
    },
    News(CallNewsNotification),
    Missed(NewsMissedNotification),
    /// The reply to a request of [`Session::ask`].
    Reply {
        request_id: u64,
        result: Result<Value, (i64, String)>,
    },
}

/// An offer or request that can't be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    #[error(transparent)]
    InUse(#[from] CallNumberInUse),
    #[error("too many calls or requests in progress: {0}")]
    TooMany(usize),
    #[error("the session is not open")]
    NotOpen,
    #[error("the session is closed")]
    Closed,
}

enum ConnectionState {
    Disconnected {
        connect_at: Duration,
    },
    /// The owner is opening the TCP connection.
    Connecting,
    Handshake(ClientHandshake),
    HelloSent(Box<WebSocketConnection>),
    Open(Box<WebSocketConnection>),
    /// Closed for good.
    Closed,
}

/// Limit of a text message from the server. A trace has some thousands of octets.
const MAX_MESSAGE_OCTETS: usize = 1 << 20;
const MAX_PENDING_REQUESTS: usize = 1_000;

pub struct Session {
    config: SessionConfig,
    connection: ConnectionState,
    backoff: ReconnectBackoff,
    calls: CallTable<Offer>,
    monitor: ConnectionMonitor<()>,
    /// Opening handshakes in a row that were not completed in time.
    late_handshakes: u32,
    /// The key that resumes the session at the server.
    session_key: Option<String>,
    /// How long the server keeps the session after a disconnection.
    session_kept: Duration,
    /// Set after the session was resumed, until its calls are reconciled: the countdown of the messages that the server kept
    /// during the disconnection, and the calls that the server had in progress when it resumed the session.
    resuming: Option<(usize, BTreeMap<u64, CallState>)>,
    /// Number of the next news event, once subscribed.
    cursor: Option<u64>,
    watching: bool,
    /// Calls cancelled while the session was not open. Emptied once it is open and its calls are reconciled.
    pending_cancels: BTreeSet<u64>,
    /// Requests without a reply, at most [`MAX_PENDING_REQUESTS`]. Emptied by replies and when the connection is lost.
    pending_requests: BTreeMap<u64, RequestKind>,
    last_request: u64,
    output: Vec<u8>,
    events: VecDeque<Event>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Hello,
    Subscribe,
    /// Made by [`Session::ask`]: the reply becomes an event.
    Other,
    /// Hang-up or cancel. The reply is ignored: an error only means that the call has ended already.
    EndCall,
}

impl Session {
    /// Wants to connect at once. `seed` makes the jitter differ from that of other clients.
    pub fn new(now: Duration, config: SessionConfig, seed: u64) -> Self {
        Self {
            connection: ConnectionState::Disconnected { connect_at: now },
            backoff: ReconnectBackoff::new(config.reconnect, seed),
            calls: CallTable::new(config.max_calls, config.grace),
            monitor: ConnectionMonitor::new(ConnectionTimeouts { max_handshakes: 1, ..config.timeouts }),
            late_handshakes: 0,
            config,
            session_key: None,
            session_kept: Duration::ZERO,
            resuming: None,
            cursor: None,
            watching: false,
            pending_cancels: BTreeSet::new(),
            pending_requests: BTreeMap::new(),
            last_request: 0,
            output: Vec::new(),
            events: VecDeque::new(),
        }
    }

    // Connection. The owner does the I/O.

    /// Whether the owner must open a connection now. Returns `true` once per attempt; the owner then reports the result by
    /// [`Session::on_connected`] or [`Session::on_connection_lost`].
    pub fn should_connect(&mut self, now: Duration) -> bool {
        let due =
            matches!(self.connection, ConnectionState::Disconnected { connect_at } if connect_at <= now);
        if due {
            self.connection = ConnectionState::Connecting;
        }
        due
    }

    /// The TCP connection to `server` is open.
    pub fn on_connected(&mut self, now: Duration, server: SocketAddr) {
        match ClientHandshake::new(server, MAX_MESSAGE_OCTETS) {
            Ok((handshake, request)) => {
                self.output.extend_from_slice(&request);
                self.connection = ConnectionState::Handshake(handshake);
                // Can't fail: no other connection is in the handshake.
                let _ = self.monitor.add_with_timeout(now, (), self.handshake_timeout());
            }
            Err(why) => self.on_connection_lost(now, &why.to_string()),
        }
    }

    /// The time for the opening handshake. It doubles with each handshake that was not completed in time: a crowded server
    /// serves connections in turn, and would never be reached by attempts that are all too short.
    fn handshake_timeout(&self) -> Duration {
        let initial = self.config.timeouts.handshake_timeout;
        let doublings = self.late_handshakes.min(MAX_HANDSHAKE_DOUBLINGS);
        initial.saturating_mul(1 << doublings).min(MAX_HANDSHAKE_TIMEOUT.max(initial))
    }

    /// The octets to send. The owner takes them out.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    pub fn is_open(&self) -> bool {
        matches!(self.connection, ConnectionState::Open(_))
    }

    /// Whether the session is closed for good.
    pub fn is_closed(&self) -> bool {
        matches!(self.connection, ConnectionState::Closed)
    }

    /// How many calls are in progress.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// The numbers of the calls in progress.
    pub fn call_numbers(&self) -> impl Iterator<Item = u64> {
        self.calls.numbers()
    }

    /// Whether the call was answered and stands.
    pub fn stands(&self, call: u64) -> bool {
        self.calls.is_standing(call)
    }

    /// How many calls have no answer yet.
    pub fn unanswered(&self) -> usize {
        self.calls.unanswered()
    }

    /// When [`Session::on_timer`] must be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        let connect = match self.connection {
            ConnectionState::Disconnected { connect_at } => Some(connect_at),
            _ => None,
        };
        [connect, self.calls.next_timer(), self.monitor.next_timer()].into_iter().flatten().min()
    }

    pub fn on_timer(&mut self, now: Duration) {
        for call in self.calls.on_timer(now) {
            // If the call stands at the server, the client would never learn of it.
            self.send_hangup(call);
            self.events.push_back(Event::Lost { call });
        }
        for action in self.monitor.on_timer(now) {
            match action {
                MonitorAction::Ping(()) => {
                    if let ConnectionState::Open(websocket) | ConnectionState::HelloSent(websocket) =
                        &mut self.connection
                    {
                        websocket.ping();
                    }
                }
                MonitorAction::Drop((), cause) => {
                    if cause == TimeoutCause::Handshake {
                        self.late_handshakes = self.late_handshakes.saturating_add(1);
                    }
                    self.on_connection_lost(now, &format!("the server {cause}"))
                }
            }
        }
        self.collect_output();
    }

    /// The connection was lost, or the attempt failed.
    pub fn on_connection_lost(&mut self, now: Duration, why: &str) {
        self.disconnect(now, why, None);
    }

    /// `retry_after`: the wait that the server asked for.
    fn disconnect(&mut self, now: Duration, why: &str, retry_after: Option<Duration>) {
        if matches!(self.connection, ConnectionState::Closed | ConnectionState::Disconnected { .. }) {
            return;
        }
        self.output.clear();
        self.monitor.remove(());
        self.resuming = None;
        self.calls.on_disconnect();
        for (request_id, kind) in std::mem::take(&mut self.pending_requests) {
            if kind == RequestKind::Other {
                let result = Err((0, format!("no reply: {why}")));
                self.events.push_back(Event::Reply { request_id, result });
            }
        }
        let kept = if self.session_key.is_some() { self.session_kept } else { Duration::ZERO };
        self.connection =
            ConnectionState::Disconnected { connect_at: self.backoff.on_failure(now, retry_after, kept) };
        self.events.push_back(Event::Disconnected { why: why.to_string() });
    }

    /// Processes octets received on the connection.
    pub fn on_octets(&mut self, now: Duration, octets: &[u8]) {
        let mut received = Vec::new();
        match &mut self.connection {
            ConnectionState::Handshake(handshake) => match handshake.push(octets) {
                ClientHandshakeState::Incomplete => return,
                ClientHandshakeState::Rejected(why) => {
                    return self.disconnect(now, &why.to_string(), why.retry_after());
                }
                ClientHandshakeState::Open(mut websocket) => {
                    websocket.on_octets(&[], &mut |event| received.push(event));
                    self.monitor.on_open(now, ());
                    self.late_handshakes = 0;
                    self.connection = ConnectionState::HelloSent(websocket);
                    self.send_hello();
                }
            },
            ConnectionState::HelloSent(websocket) | ConnectionState::Open(websocket) => {
                websocket.on_octets(octets, &mut |event| received.push(event))
            }
            ConnectionState::Disconnected { .. } | ConnectionState::Connecting | ConnectionState::Closed => {
                return;
            }
        }
        self.monitor.on_received(now, ());
        for event in received {
            if let WebSocketEvent::Text(text) = event {
                self.on_text(now, &text);
            }
        }
        self.collect_output();
        if let ConnectionState::HelloSent(websocket) | ConnectionState::Open(websocket) = &self.connection
            && let Some(info) = websocket.close_info()
        {
            let why = match info.by_far_end {
                true => format!("closed by the server ({}): {}", info.code, info.reason),
                false => info.reason.clone(),
            };
            let output = std::mem::take(&mut self.output);
            self.disconnect(now, &why, None);
            // Kept: it completes the closing handshake before the owner closes the connection.
            self.output = output;
        }
    }

    fn send_hello(&mut self) {
        let hello = Hello {
            client: self.config.client.clone(),
            token: self.config.token.clone(),
            resumable: self.config.resumable,
            resume: self.session_key.clone(),
        };
        self.send_request(RequestKind::Hello, Request::Hello(hello));
    }

    fn on_text(&mut self, now: Duration, text: &str) {
        let message = match ServerMessage::read(text.as_bytes()) {
            Ok(message) => message,
            Err(error) => {
                if let ConnectionState::HelloSent(websocket) | ConnectionState::Open(websocket) =
                    &mut self.connection
                {
                    websocket.close(close::PROTOCOL, &format!("a text makes no sense: {error}"));
                }
                return;
            }
        };
        match message {
            ServerMessage::Answered(result) => self.on_answer(result),
            ServerMessage::Ended(CallEndedNotification { call, how }) => {
                if self.calls.remove(call) {
                    self.events.push_back(Event::Ended { call, how: Some(how) });
                }
            }
            ServerMessage::News(news) => {
                self.cursor = Some(news.number + 1);
                self.events.push_back(Event::News(news));
            }
            ServerMessage::Missed(missed) => self.events.push_back(Event::Missed(missed)),
            ServerMessage::Other(_) => {}
            ServerMessage::Result { id, result } => self.on_reply(now, &id, Ok(result)),
            ServerMessage::Error { id, code, message, retry_after_ms } => match id.as_u64() {
                Some(call) => self.on_offer_error(call, code, message, retry_after_ms),
                None => self.on_reply(now, &id, Err((code, message))),
            },
        }
        // Runs for the result of session.hello too, so at 0 the last kept message has just been processed.
        if let Some((remaining, _)) = &mut self.resuming {
            match *remaining {
                0 => self.reconcile(now),
                _ => *remaining -= 1,
            }
        }
    }

    fn on_answer(&mut self, result: OfferResult) {
        if self.calls.on_answer(result.call, result.answer == FinalAnswer::Stands) {
            self.events.push_back(Event::Answered(result));
        }
    }

    fn on_offer_error(&mut self, call: u64, code: i64, why: String, retry_after_ms: Option<u64>) {
        if code == i64::from(code::RATE_LIMITED) {
            let come_back_ms = retry_after_ms.map_or(0, |ms| u32::try_from(ms).unwrap_or(u32::MAX));
            let answer = FinalAnswer::Refused { come_back_ms };
            return self.on_answer(OfferResult { call, exchange_call: 0, answer });
        }
        if self.calls.remove(call) {
            self.events.push_back(Event::OfferError { call, code, why });
        }
    }

    fn on_reply(&mut self, now: Duration, id: &Value, result: Result<Value, (i64, String)>) {
        let request_id =
            id.as_str().and_then(|id| id.strip_prefix('a')).and_then(|id| id.parse::<u64>().ok());
        let Some((request_id, kind)) =
            request_id.and_then(|request_id| Some((request_id, self.pending_requests.remove(&request_id)?)))
        else {
            return;
        };
        match (kind, result) {
            (RequestKind::Hello, Ok(welcome)) => self.on_welcome(now, welcome),
            (RequestKind::Hello, Err((_, why))) => match self.session_key.take() {
                // The previous session has ended: open a new one on this connection.
                Some(_) => self.send_hello(),
                None => {
                    self.close();
                    self.events.push_back(Event::Denied { why });
                }
            },
            (RequestKind::Subscribe, Ok(result)) => {
                if let Ok(SubscribeResult { cursor }) = serde_json::from_value(result) {
                    self.cursor = Some(cursor);
                }
            }
            (RequestKind::Subscribe, Err((code, why))) => match self.cursor.take() {
                // The cursor is too old or of another server: subscribe from now on, and report the gap.
                Some(_) if code == i64::from(code::INVALID_PARAMS) => {
                    self.events.push_back(Event::Missed(NewsMissedNotification { count: 0 }));
                    self.send_request(RequestKind::Subscribe, Request::Subscribe(Subscribe { cursor: None }));
                }
                _ => {
                    self.watching = false;
                    self.events.push_back(Event::Reply { request_id: 0, result: Err((code, why)) });
                }
            },
            (RequestKind::EndCall, _) => {}
            (RequestKind::Other, result) => self.events.push_back(Event::Reply { request_id, result }),
        }
    }

    fn on_welcome(&mut self, now: Duration, welcome: Value) {
        let welcome: HelloResult = match serde_json::from_value(welcome) {
            Ok(welcome) => welcome,
            Err(error) => {
                return self.disconnect(now, &format!("invalid result of session.hello: {error}"), None);
            }
        };
        let ConnectionState::HelloSent(websocket) =
            std::mem::replace(&mut self.connection, ConnectionState::Connecting)
        else {
            return;
        };
        self.connection = ConnectionState::Open(websocket);
        self.backoff.on_open(now);
        let resumed = self.session_key.is_some() && self.session_key == welcome.session;
        self.session_key = welcome.session.clone();
        self.session_kept = Duration::from_millis(welcome.limits.kept_ms);
        let at_server = welcome.calls.iter().map(|call| (call.call, *call)).collect();
        let remaining = welcome.pending_messages;
        self.events.push_back(Event::Connected { resumed, welcome: Box::new(welcome) });
        match resumed {
            true => self.resuming = Some((remaining, at_server)),
            false => {
                let reconciled = self.calls.on_new_session(now);
                self.apply_reconciled(now, reconciled, &BTreeMap::new());
            }
        }
        if self.watching {
            self.send_request(RequestKind::Subscribe, Request::Subscribe(Subscribe { cursor: self.cursor }));
        }
    }

    /// Settles the calls in doubt by the calls that the server reported. To be called once the messages that the server kept
    /// during the disconnection have been processed.
    fn reconcile(&mut self, now: Duration) {
        let Some((_, at_server)) = self.resuming.take() else { return };
        let server_state = |state: &CallState| match state.state {
            CallStatus::Stands => ServerCallState::Standing,
            _ => ServerCallState::Unanswered,
        };
        let states = at_server.iter().map(|(call, state)| (*call, server_state(state))).collect();
        let reconciled = self.calls.on_resumed(now, &states);
        // Calls that were hung up during the disconnection, so that the server does not know of it.
        let hung_up: Vec<u64> =
            at_server.keys().copied().filter(|call| !self.calls.contains(*call)).collect();
        for call in hung_up
            .into_iter()
            .filter(|call| !reconciled.ended.contains(call) && !reconciled.lost.contains(call))
        {
            self.send_hangup(call);
        }
        self.apply_reconciled(now, reconciled, &at_server);
    }

    fn apply_reconciled(
        &mut self,
        now: Duration,
        reconciled: ReconciledCalls,
        at_server: &BTreeMap<u64, CallState>,
    ) {
        let ReconciledCalls { to_send, standing, ended, lost } = reconciled;
        for call in standing {
            let exchange_call = at_server.get(&call).map_or(0, |state| state.exchange_call);
            self.events.push_back(Event::Answered(OfferResult {
                call,
                exchange_call,
                answer: FinalAnswer::Stands,
            }));
        }
        self.events.extend(ended.into_iter().map(|call| Event::Ended { call, how: None }));
        self.events.extend(lost.into_iter().map(|call| Event::Lost { call }));
        to_send.into_iter().for_each(|call| self.send_offer(now, call));
        for call in std::mem::take(&mut self.pending_cancels) {
            if self.calls.contains(call) {
                self.send_request(RequestKind::EndCall, Request::Cancel(Cancel { call }));
            }
        }
    }

    // Calls and requests.

    /// Offers a call, under a number that no call in progress has. `offer.time_left_ms` counts from now. While the session is
    /// not open, the offer is kept and then sent with the time that is left.
    pub fn offer(&mut self, now: Duration, offer: Offer) -> Result<(), RequestError> {
        if self.is_closed() {
            return Err(RequestError::Closed);
        }
        if self.calls.is_full() {
            return Err(RequestError::TooMany(self.calls.len()));
        }
        let (call, deadline) = (offer.call, now + Duration::from_millis(offer.time_left_ms.into()));
        self.calls.offer(call, offer, deadline)?;
        if self.is_open() && self.resuming.is_none() {
            self.send_offer(now, call);
            self.collect_output();
        }
        Ok(())
    }

    fn send_offer(&mut self, now: Duration, call: u64) {
        let Some((offer, left)) = self.calls.offer_and_time_left(now, call) else { return };
        let offer = Offer { time_left_ms: left.as_millis() as u32, ..offer.clone() };
        let ConnectionState::Open(websocket) = &mut self.connection else { return };
        websocket.send_text(&RequestMessage { id: Some(json!(call)), request: Request::Offer(offer) }.text());
        self.calls.mark_sent(call);
    }

    /// Ends a standing call, or gives up one that has no answer yet. While disconnected, the call is only removed here; at the
    /// server it ends when the session is resumed or expires.
    pub fn hang_up(&mut self, call: u64) {
        self.send_hangup(call);
        self.calls.remove(call);
        self.collect_output();
    }

    /// Gives up a call that has no answer. It is answered with `fails` at once, or, while the session is not open, once it is
    /// open again.
    pub fn cancel(&mut self, call: u64) {
        if !self.is_open() || self.resuming.is_some() {
            self.pending_cancels.extend(self.calls.contains(call).then_some(call));
            return;
        }
        self.send_request(RequestKind::EndCall, Request::Cancel(Cancel { call }));
        self.collect_output();
    }

    fn send_hangup(&mut self, call: u64) {
        self.send_request(RequestKind::EndCall, Request::Hangup(Hangup { call }));
    }

    /// Subscribes to news of calls from now on. The subscription is renewed after a disconnection.
    pub fn watch(&mut self) {
        self.watching = true;
        if self.is_open() {
            self.send_request(RequestKind::Subscribe, Request::Subscribe(Subscribe { cursor: self.cursor }));
            self.collect_output();
        }
    }

    /// Sends any other request. Its reply comes as an event with the id returned here.
    pub fn ask(&mut self, request: Request) -> Result<u64, RequestError> {
        if !self.is_open() {
            return Err(RequestError::NotOpen);
        }
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            return Err(RequestError::TooMany(MAX_PENDING_REQUESTS));
        }
        let request_id = self.send_request(RequestKind::Other, request);
        self.collect_output();
        Ok(request_id)
    }

    fn send_request(&mut self, kind: RequestKind, request: Request) -> u64 {
        self.last_request += 1;
        let request_id = self.last_request;
        let (ConnectionState::HelloSent(websocket) | ConnectionState::Open(websocket)) = &mut self.connection
        else {
            return request_id;
        };
        // Above the limit, the reply is ignored.
        if self.pending_requests.len() < MAX_PENDING_REQUESTS {
            self.pending_requests.insert(request_id, kind);
        }
        websocket.send_text(&RequestMessage { id: Some(json!(format!("a{request_id}"))), request }.text());
        request_id
    }

    /// Closes the session for good. The server hangs up its calls once the connection is closed.
    pub fn close(&mut self) {
        if let ConnectionState::HelloSent(websocket) | ConnectionState::Open(websocket) = &mut self.connection
        {
            websocket.close(close::NORMAL, "done");
        }
        self.collect_output();
        self.monitor.remove(());
        self.connection = ConnectionState::Closed;
    }

    /// Moves the octets that the WebSocket connection has to send into `output`.
    fn collect_output(&mut self) {
        if let ConnectionState::HelloSent(websocket) | ConnectionState::Open(websocket) = &mut self.connection
        {
            self.output.append(websocket.output());
        }
    }
}
