//! The blocking client: one thread, one connection, dialled anew as the session asks for it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use mintstall_callapi::{
    CallState, FinalAnswer, Get, HelloResult, Offer, OfferResult, Request, TraceGet, Traced,
};
use mintstall_limits::{RedialBudget, RedialDenied};
use rand::Rng;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::session::{Event, RequestError, Session, SessionConfig};

#[derive(Debug, Error)]
pub enum ClientError {
    #[error("no servers are named")]
    NoServers,
    #[error("no session within {0:?}: {1}")]
    NotOpen(Duration, String),
    #[error("denied: {0}")]
    Denied(String),
    #[error(transparent)]
    Ask(#[from] RequestError),
    #[error("error {code}: {why}")]
    Fault { code: i64, why: String },
    #[error("no reply within {0:?}")]
    NoReply(Duration),
    #[error("the reply makes no sense: {0}")]
    Reply(#[from] serde_json::Error),
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It stands, under the number that the exchange gave it.
    Stands {
        exchange_call: u64,
    },
    Refused {
        retry_after: Duration,
    },
    Fails,
    /// Nobody can tell: its session is over, or no answer came in time.
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

/// An offer of the first call type and customer; its number is set when it is made.
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
    at: usize,
    stream: Option<TcpStream>,
    start: Instant,
    last_call: u64,
    welcome: Option<HelloResult>,
    /// Events that came while another was waited for.
    kept: Vec<Event>,
    buffer: Vec<u8>,
}

/// How long a reply to a request other than an offer may take.
const REPLY_WITHIN: Duration = Duration::from_secs(10);
const DIAL_WITHIN: Duration = Duration::from_secs(5);
/// A server that takes nothing for so long is gone.
const WRITE_WITHIN: Duration = Duration::from_secs(10);
/// Events kept for an owner that does not ask for them; beyond them news are left out.
const MOST_KEPT: usize = 10_000;

impl Client {
    /// Connects to the first of the servers that lets it in. Later cuts are mended by themselves, the server of before first.
    pub fn connect(
        servers: Vec<SocketAddr>,
        plan: SessionConfig,
        within: Duration,
    ) -> Result<Self, ClientError> {
        if servers.is_empty() {
            return Err(ClientError::NoServers);
        }
        let mut client = Self {
            session: Session::new(Duration::ZERO, plan, rand::rng().random()),
            servers,
            at: 0,
            stream: None,
            start: Instant::now(),
            last_call: 0,
            welcome: None,
            kept: Vec::new(),
            buffer: vec![0; 16 << 10],
        };
        let until = client.now() + within;
        let mut last = "nothing answers".to_string();
        while client.now() < until {
            match client.pump(until) {
                Some(Event::Connected { .. }) => return Ok(client),
                Some(Event::Disconnected { why }) => last = why,
                Some(Event::Denied { why }) => return Err(ClientError::Denied(why)),
                Some(event) => client.keep(event),
                None => {}
            }
        }
        Err(ClientError::NotOpen(within, last))
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// What the server said of itself when the session was last opened.
    pub fn welcome(&self) -> Option<&HelloResult> {
        self.welcome.as_ref()
    }

    /// Asks for a call and waits for its final answer.
    pub fn call(&mut self, offer: Offer) -> Result<CallOutcome, ClientError> {
        let call = self.start(offer)?;
        self.outcome(call)
    }

    /// Asks for a call, and for the same again while it is refused or fails, as the rules for that allow: within its caller's
    /// time and after the wait that was told. Returns the last outcome and why there is no further offer, if it does not stand.
    pub fn call_with_redial(
        &mut self,
        redial: &mut RedialBudget,
        offer: Offer,
    ) -> Result<(CallOutcome, Option<RedialDenied>), ClientError> {
        let until = self.now() + Duration::from_millis(offer.time_left_ms.into());
        redial.on_first_offer();
        let mut offers = 0;
        loop {
            let left = until.saturating_sub(self.now()).as_millis() as u32;
            let outcome = self.call(Offer { time_left_ms: left, redial: offers > 0, ..offer.clone() })?;
            offers += 1;
            let told = match outcome {
                CallOutcome::Stands { .. } => return Ok((outcome, None)),
                // It may stand unheard: only its caller can tell whether to ask again.
                CallOutcome::Lost => return Ok((outcome, Some(RedialDenied::TooLate))),
                CallOutcome::Refused { retry_after } => Some(retry_after),
                CallOutcome::Fails => None,
            };
            match redial.next_offer_at(self.now(), until, offers, told) {
                Err(why) => return Ok((outcome, Some(why))),
                Ok(at) => self.rest_until(at),
            }
        }
    }

    /// Lets time pass; what happens meanwhile is kept.
    fn rest_until(&mut self, at: Duration) {
        while self.now() < at {
            if let Some(event) = self.pump(at) {
                self.keep(event);
            }
        }
    }

    /// Asks for a call without waiting; its answer comes as an event, or by [`Client::outcome`]. Returns its number.
    pub fn start(&mut self, offer: Offer) -> Result<u64, ClientError> {
        self.last_call += 1;
        let call = self.last_call;
        self.session.offer(self.now(), Offer { call, ..offer })?;
        self.write();
        Ok(call)
    }

    /// Waits for a call's answer. It comes, or is lost, before the caller's time and a grace are up.
    pub fn outcome(&mut self, call: u64) -> Result<CallOutcome, ClientError> {
        let of = move |event: &Event| match event {
            Event::Answered(answered) => answered.call == call,
            Event::Lost { call: lost } => *lost == call,
            Event::Fault { call: faulty, .. } => *faulty == call,
            Event::Denied { .. } => true,
            _ => false,
        };
        match self.wait_for(of, Duration::MAX)? {
            Event::Answered(answered) => Ok(answered.into()),
            Event::Fault { code, why, .. } => Err(ClientError::Fault { code, why }),
            Event::Denied { why } => Err(ClientError::Denied(why)),
            _ => Ok(CallOutcome::Lost),
        }
    }

    /// Ends a call that stands, or gives up one that has no answer yet.
    pub fn hang_up(&mut self, call: u64) {
        self.session.hang_up(call);
        self.write();
    }

    /// Gives up a call that has no answer yet; its answer, `fails`, still comes.
    pub fn cancel(&mut self, call: u64) {
        self.session.cancel(call);
        self.write();
    }

    /// Where a call is.
    pub fn get(&mut self, call: u64) -> Result<CallState, ClientError> {
        self.ask(Request::Get(Get { call }))
    }

    /// What became of a call, step by step, by the number that its exchange gave it.
    pub fn trace(&mut self, exchange_call: u64, origin: Option<u16>) -> Result<Traced, ClientError> {
        self.ask(Request::TraceGet(TraceGet { exchange_call, origin }))
    }

    /// Asks for news of calls, from now on and through cuts.
    pub fn watch(&mut self) {
        self.session.watch();
        self.write();
    }

    fn ask<R: DeserializeOwned>(&mut self, request: Request) -> Result<R, ClientError> {
        let ask = self.session.ask(request)?;
        self.write();
        let of = move |event: &Event| matches!(event, Event::Reply { ask: of, .. } if *of == ask);
        match self.wait_for(of, REPLY_WITHIN)? {
            Event::Reply { result: Ok(result), .. } => Ok(serde_json::from_value(result)?),
            Event::Reply { result: Err((code, why)), .. } => Err(ClientError::Fault { code, why }),
            _ => Err(ClientError::NoReply(REPLY_WITHIN)),
        }
    }

    fn wait_for(&mut self, which: impl Fn(&Event) -> bool, within: Duration) -> Result<Event, ClientError> {
        if let Some(at) = self.kept.iter().position(&which) {
            return Ok(self.kept.remove(at));
        }
        let until = self.now().saturating_add(within);
        while self.now() < until {
            match self.pump(until) {
                Some(event) if which(&event) => return Ok(event),
                Some(event) => self.keep(event),
                None if self.session.is_closed() => return Err(RequestError::Closed.into()),
                None => {}
            }
        }
        Err(ClientError::NoReply(within))
    }

    fn keep(&mut self, event: Event) {
        if self.kept.len() < MOST_KEPT || !matches!(event, Event::News(_)) {
            self.kept.push(event);
        }
    }

    /// The next event, or none within the time.
    pub fn next_event(&mut self, within: Duration) -> Option<Event> {
        if !self.kept.is_empty() {
            return Some(self.kept.remove(0));
        }
        let until = self.now().saturating_add(within);
        loop {
            if let Some(event) = self.pump(until) {
                return Some(event);
            }
            if self.now() >= until || self.session.is_closed() {
                return None;
            }
        }
    }

    /// Ends the session: what it has in hand is hung up.
    pub fn close(mut self) {
        self.session.close();
        self.write();
        // The server closes its end once it has read that; what it still says is not wanted.
        if let Some(mut stream) = self.stream.take() {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            while matches!(stream.read(&mut self.buffer), Ok(count) if count > 0) {}
        }
    }

    /// One turn: dials, reads or waits, at most until then.
    fn pump(&mut self, until: Duration) -> Option<Event> {
        let now = self.now();
        self.session.on_timer(now);
        if self.session.wants_dial(now) {
            self.dial();
        }
        self.write();
        let mut event = self.session.next_event();
        if event.is_none() {
            let alarm = self.session.next_timer().unwrap_or(Duration::MAX).min(until);
            let wait =
                alarm.saturating_sub(self.now()).clamp(Duration::from_millis(1), Duration::from_secs(1));
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

    fn dial(&mut self) {
        // A server that failed is tried once more before the next one is: a session is taken up where it was opened.
        let to = self.servers[self.at / 2 % self.servers.len()];
        match TcpStream::connect_timeout(&to, DIAL_WITHIN) {
            Ok(stream) => {
                // Small texts must not wait for each other; where it can't be set, they do.
                let _ = stream.set_nodelay(true);
                let _ = stream.set_write_timeout(Some(WRITE_WITHIN));
                self.stream = Some(stream);
                let now = self.now();
                self.session.dialled(now, to);
            }
            Err(error) => self.gone(&format!("{to}: {error}")),
        }
    }

    fn gone(&mut self, why: &str) {
        self.stream = None;
        self.at = self.at.wrapping_add(1);
        let now = self.now();
        self.session.lost(now, why);
    }

    fn write(&mut self) {
        let out = std::mem::take(self.session.out());
        if let Some(stream) = &mut self.stream
            && !out.is_empty()
            && let Err(error) = stream.write_all(&out)
        {
            self.gone(&error.to_string());
        }
    }

    fn read(&mut self, wait: Duration) {
        let Some(stream) = &mut self.stream else { return std::thread::sleep(wait) };
        let read = stream.set_read_timeout(Some(wait)).and_then(|()| stream.read(&mut self.buffer));
        match read {
            Ok(0) => self.gone("closed by the server"),
            Ok(count) => {
                let now = self.now();
                self.session.on_octets(now, &self.buffer[..count]);
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => self.gone(&error.to_string()),
        }
    }
}
