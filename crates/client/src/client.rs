//! The blocking client: runs a [`Session`] in the thread of its caller, and opens its connection whenever the session asks
//! for one.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use mintstall_callapi::{
    CallState, FinalAnswer, Get, HelloResult, Offer, OfferResult, Request, TraceGet, TraceResult,
};
use mintstall_limits::{RedialBudget, RedialDenied};
use rand::Rng;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::session::{Event, RequestError, Session, SessionConfig};

#[derive(Debug, Error)]
pub enum ClientError {
    #[error("the list of servers is empty")]
    NoServers,
    #[error("the session did not open within {0:?}: {1}")]
    NotOpen(Duration, String),
    #[error("denied by the server: {0}")]
    Denied(String),
    #[error(transparent)]
    Request(#[from] RequestError),
    #[error("error {code}: {why}")]
    Rpc { code: i64, why: String },
    #[error("no reply within {0:?}")]
    NoReply(Duration),
    #[error("invalid reply: {0}")]
    Reply(#[from] serde_json::Error),
}

/// The outcome of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// `exchange_call`: the number that the exchange gave the call.
    Stands {
        exchange_call: u64,
    },
    Refused {
        retry_after: Duration,
    },
    Fails,
    /// The result is unknown: the session has ended, or no answer came in time.
    Lost,
}

impl From<OfferResult> for CallOutcome {
    fn from(OfferResult { exchange_call, answer, .. }: OfferResult) -> Self {
        match answer {
            FinalAnswer::Stands => Self::Stands { exchange_call },
            FinalAnswer::Refused { come_back_ms } => {
                Self::Refused { retry_after: Duration::from_millis(come_back_ms.into()) }
            }
            FinalAnswer::Fails => Self::Fails,
        }
    }
}

/// An offer of call type 0 for customer 0. [`Client::start`] sets its call number.
pub fn offer(dest: u16, number: u64, time_left: Duration) -> Offer {
    Offer {
        call: 0,
        call_type: 0,
        customer: 0,
        dest,
        number,
        time_left_ms: u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX),
        advised: None,
        cut: false,
        redial: false,
    }
}

pub struct Client {
    session: Session,
    servers: Vec<SocketAddr>,
    /// Failed and lost TCP connections; selects the server to connect to.
    failures: usize,
    stream: Option<TcpStream>,
    start: Instant,
    last_call: u64,
    welcome: Option<HelloResult>,
    /// Events that arrived while the client waited for another one.
    pending_events: Vec<Event>,
    read_buffer: Vec<u8>,
}

/// For requests other than offers.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// A server that reads nothing for this long counts as lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Above this number, news events are discarded. Others are always kept.
const MAX_PENDING_EVENTS: usize = 10_000;

impl Client {
    /// Opens a session on the first server that accepts it. After a disconnection the client reconnects by itself, to the same
    /// server first.
    pub fn connect(
        servers: Vec<SocketAddr>,
        config: SessionConfig,
        timeout: Duration,
    ) -> Result<Self, ClientError> {
        if servers.is_empty() {
            return Err(ClientError::NoServers);
        }
        let mut client = Self {
            session: Session::new(Duration::ZERO, config, rand::rng().random()),
            servers,
            failures: 0,
            stream: None,
            start: Instant::now(),
            last_call: 0,
            welcome: None,
            pending_events: Vec::new(),
            read_buffer: vec![0; 16 << 10],
        };
        let deadline = client.now() + timeout;
        let mut last_error = "no response".to_string();
        while client.now() < deadline {
            match client.run_once(deadline) {
                Some(Event::Connected { .. }) => return Ok(client),
                Some(Event::Disconnected { why }) => last_error = why,
                Some(Event::Denied { why }) => return Err(ClientError::Denied(why)),
                Some(event) => client.push_pending(event),
                None => {}
            }
        }
        Err(ClientError::NotOpen(timeout, last_error))
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The result of the latest `session.hello`.
    pub fn welcome(&self) -> Option<&HelloResult> {
        self.welcome.as_ref()
    }

    /// Offers a call and waits for its final answer.
    pub fn call(&mut self, offer: Offer) -> Result<CallOutcome, ClientError> {
        let call = self.start(offer)?;
        self.outcome(call)
    }

    /// Offers a call, and offers it again while it is refused or fails and the budget allows it: within the caller's time, and
    /// after the wait that the server asked for. Returns the last outcome and, unless the call stands, why it is not offered
    /// again.
    pub fn call_with_redial(
        &mut self,
        redial: &mut RedialBudget,
        offer: Offer,
    ) -> Result<(CallOutcome, Option<RedialDenied>), ClientError> {
        let deadline = self.now() + Duration::from_millis(offer.time_left_ms.into());
        redial.on_first_offer();
        let mut offers = 0;
        loop {
            let left = deadline.saturating_sub(self.now()).as_millis() as u32;
            let outcome = self.call(Offer { time_left_ms: left, redial: offers > 0, ..offer.clone() })?;
            offers += 1;
            let retry_after = match outcome {
                CallOutcome::Stands { .. } => return Ok((outcome, None)),
                // The call may stand without the client knowing: only the caller can decide whether to offer it again.
                CallOutcome::Lost => return Ok((outcome, Some(RedialDenied::TooLate))),
                CallOutcome::Refused { retry_after } => Some(retry_after),
                CallOutcome::Fails => None,
            };
            match redial.next_offer_at(self.now(), deadline, offers, retry_after) {
                Err(why) => return Ok((outcome, Some(why))),
                Ok(at) => self.run_until(at),
            }
        }
    }

    /// Runs the session until then. Its events are kept for later.
    fn run_until(&mut self, deadline: Duration) {
        while self.now() < deadline {
            if let Some(event) = self.run_once(deadline) {
                self.push_pending(event);
            }
        }
    }

    /// Offers a call without waiting, and returns its number. The answer comes as an event or by [`Client::outcome`].
    pub fn start(&mut self, offer: Offer) -> Result<u64, ClientError> {
        self.last_call += 1;
        let call = self.last_call;
        self.session.offer(self.now(), Offer { call, ..offer })?;
        self.write();
        Ok(call)
    }

    /// Waits for the answer of a call. The call is answered or lost by the caller's deadline plus [`SessionConfig::grace`].
    pub fn outcome(&mut self, call: u64) -> Result<CallOutcome, ClientError> {
        let is_outcome = move |event: &Event| match event {
            Event::Answered(answered) => answered.call == call,
            Event::Lost { call: lost } => *lost == call,
            Event::OfferError { call: rejected, .. } => *rejected == call,
            Event::Denied { .. } => true,
            _ => false,
        };
        match self.wait_for(is_outcome, Duration::MAX)? {
            Event::Answered(answered) => Ok(answered.into()),
            Event::OfferError { code, why, .. } => Err(ClientError::Rpc { code, why }),
            Event::Denied { why } => Err(ClientError::Denied(why)),
            _ => Ok(CallOutcome::Lost),
        }
    }

    /// Ends a standing call, or gives up one that has no answer yet.
    pub fn hang_up(&mut self, call: u64) {
        self.session.hang_up(call);
        self.write();
    }

    /// Gives up a call that has no answer yet. It is still answered, with `fails`.
    pub fn cancel(&mut self, call: u64) {
        self.session.cancel(call);
        self.write();
    }

    /// The state of a call.
    pub fn get(&mut self, call: u64) -> Result<CallState, ClientError> {
        self.ask(Request::Get(Get { call }))
    }

    /// The recorded steps of a call, by the number that its exchange gave it. `origin`: that exchange, if it is not the server's.
    pub fn trace(&mut self, exchange_call: u64, origin: Option<u16>) -> Result<TraceResult, ClientError> {
        self.ask(Request::TraceGet(TraceGet { exchange_call, origin }))
    }

    /// Subscribes to news of calls from now on. The subscription is renewed after a disconnection.
    pub fn watch(&mut self) {
        self.session.watch();
        self.write();
    }

    fn ask<R: DeserializeOwned>(&mut self, request: Request) -> Result<R, ClientError> {
        let request_id = self.session.ask(request)?;
        self.write();
        let is_reply =
            move |event: &Event| matches!(event, Event::Reply { request_id: id, .. } if *id == request_id);
        match self.wait_for(is_reply, REPLY_TIMEOUT)? {
            Event::Reply { result: Ok(result), .. } => Ok(serde_json::from_value(result)?),
            Event::Reply { result: Err((code, why)), .. } => Err(ClientError::Rpc { code, why }),
            _ => Err(ClientError::NoReply(REPLY_TIMEOUT)),
        }
    }

    fn wait_for(
        &mut self,
        matches: impl Fn(&Event) -> bool,
        timeout: Duration,
    ) -> Result<Event, ClientError> {
        if let Some(index) = self.pending_events.iter().position(&matches) {
            return Ok(self.pending_events.remove(index));
        }
        let deadline = self.now().saturating_add(timeout);
        while self.now() < deadline {
            match self.run_once(deadline) {
                Some(event) if matches(&event) => return Ok(event),
                Some(event) => self.push_pending(event),
                None if self.session.is_closed() => return Err(RequestError::Closed.into()),
                None => {}
            }
        }
        Err(ClientError::NoReply(timeout))
    }

    fn push_pending(&mut self, event: Event) {
        if self.pending_events.len() < MAX_PENDING_EVENTS || !matches!(event, Event::News(_)) {
            self.pending_events.push(event);
        }
    }

    /// The next event, or `None` if there is none before the timeout or the session is closed.
    pub fn next_event(&mut self, timeout: Duration) -> Option<Event> {
        if !self.pending_events.is_empty() {
            return Some(self.pending_events.remove(0));
        }
        let deadline = self.now().saturating_add(timeout);
        loop {
            if let Some(event) = self.run_once(deadline) {
                return Some(event);
            }
            if self.now() >= deadline || self.session.is_closed() {
                return None;
            }
        }
    }

    /// Closes the session. The server hangs up its calls.
    pub fn close(mut self) {
        self.session.close();
        self.write();
        // Discards what the server still sends, until it closes the connection in turn or is silent for 1 s.
        if let Some(mut stream) = self.stream.take() {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            while matches!(stream.read(&mut self.read_buffer), Ok(count) if count > 0) {}
        }
    }

    /// Connects, or reads or waits until the next timer, at most until the deadline. Returns an event if there is one.
    fn run_once(&mut self, deadline: Duration) -> Option<Event> {
        let now = self.now();
        self.session.on_timer(now);
        if self.session.should_connect(now) {
            self.open_connection();
        }
        self.write();
        let mut event = self.session.next_event();
        if event.is_none() {
            let wake_at = self.session.next_timer().unwrap_or(Duration::MAX).min(deadline);
            let wait =
                wake_at.saturating_sub(self.now()).clamp(Duration::from_millis(1), Duration::from_secs(1));
            self.read(wait);
            self.write();
            event = self.session.next_event();
        }
        match &event {
            Some(Event::Connected { welcome, .. }) => self.welcome = Some((**welcome).clone()),
            Some(Event::Disconnected { .. }) => self.stream = None,
            _ => {}
        }
        event
    }

    fn open_connection(&mut self) {
        // A server that failed is tried once more before the next one: a session can only be resumed where it was opened.
        let server = self.servers[self.failures / 2 % self.servers.len()];
        match TcpStream::connect_timeout(&server, CONNECT_TIMEOUT) {
            Ok(stream) => {
                // Without Nagle's delay for small messages. If the option can't be set, they are only slower.
                let _ = stream.set_nodelay(true);
                let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
                self.stream = Some(stream);
                let now = self.now();
                self.session.on_connected(now, server);
            }
            Err(error) => self.on_connection_lost(&format!("{server}: {error}")),
        }
    }

    fn on_connection_lost(&mut self, why: &str) {
        self.stream = None;
        self.failures = self.failures.wrapping_add(1);
        let now = self.now();
        self.session.on_connection_lost(now, why);
    }

    fn write(&mut self) {
        let output = std::mem::take(self.session.output());
        if let Some(stream) = &mut self.stream
            && !output.is_empty()
            && let Err(error) = stream.write_all(&output)
        {
            self.on_connection_lost(&error.to_string());
        }
    }

    fn read(&mut self, wait: Duration) {
        let Some(stream) = &mut self.stream else { return std::thread::sleep(wait) };
        let result = stream.set_read_timeout(Some(wait)).and_then(|()| stream.read(&mut self.read_buffer));
        match result {
            Ok(0) => self.on_connection_lost("closed by the server"),
            Ok(count) => {
                let now = self.now();
                self.session.on_octets(now, &self.read_buffer[..count]);
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => self.on_connection_lost(&error.to_string()),
        }
    }
}
