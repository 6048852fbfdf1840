//! Office, roster and subscriber lines together, without I/O: texts and octets in, texts and octets out.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::{
    CallId, CallType, CustomerId, DialledNumber, ExchangeEntry, ExchangeId, ExchangeNumber, ExchangeStatus,
    Zone,
};
use mintstall_callapi::{
    CallAck, CallEndedNotification, CallEvent, CallEventKind, CallNewsNotification, CallState, CallStatus,
    CallTrace, EndReason, FinalAnswer, Hello, HelloResult, LineDecoder, NewsMissedNotification, Offer,
    OfferResult, Request, RequestMessage, RpcError, SessionLimits, SubscribeResult, TraceGet, TraceResult,
    code, ended_text, error_text, notification_text, result_text,
};
use mintstall_callcontrol::{
    Answer, CallControl, CallControlActions, CallControlStatus, CallEnd, CallRequest, LinkStatus, Trace,
    TraceStep,
};
use mintstall_isup::ProcessorReport;
use mintstall_limits::{
    Admission, AdmissionDecision, AdmissionError, AnswerCache, AuthError, Backlog, CachedAnswer,
    CustomerFilter, DisconnectOutcome, EventLog, Grant, OpenOutcome, ResumableSessions, Scope, SessionId,
    SessionKey, Tokens,
};
use mintstall_membership::{
    ControllerNotification, DirectoryNotification, FullListRequest, MemberStatus, Membership,
    MembershipChange, MembershipLimits, RejectReason, UpdateOutcome,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use thiserror::Error;
use tracing::{Span, debug, debug_span};

use crate::config::Config;

/// One connection on which calls are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineId(pub u64);

/// What an exchange acts through.
pub trait Transport {
    fn send_to_link(&mut self, to: ExchangeNumber, octets: &[u8]);
    fn close_link(&mut self, to: ExchangeNumber, why: &str);
    /// A text for a subscriber line, its end not included.
    fn send_to_line(&mut self, line: LineId, text: &str);
    fn close_line(&mut self, line: LineId, why: &str);
    /// Whether what waits for a line is little enough to add what can wait.
    fn has_room(&self, line: LineId) -> bool;
    /// A text for the directory.
    fn send_to_directory(&mut self, text: &str);
    fn log_info(&mut self, line: &str);
}

/// Octets of the longest text that a line may carry: an offer has some 200.
pub const MAX_MESSAGE_OCTETS: usize = 16 << 10;
/// And of the directory: 2,048 entries of some 100 octets.
const LONGEST_NEWS: usize = 1 << 20;

struct Line {
    cutter: LineDecoder,
    /// The session whose it is: that of the connection, or one taken up.
    session: SessionId,
    /// The name of the token that it presented.
    token: Option<String>,
    /// What waits to be said once its session is taken up again; none while it has a connection.
    backlog: Option<Backlog<String>>,
    /// By the client's numbers. Emptied as calls end.
    calls: BTreeMap<u64, Held>,
}

/// Where a call of a line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    /// It waits for its turn.
    Waiting,
    With(CallId),
}

/// An offer on its way in.
struct Pending {
    line: LineId,
    session: SessionId,
    id: Option<Value>,
    offer: Offer,
    since: Duration,
}

struct Asker {
    line: LineId,
    session: SessionId,
    customer: CustomerId,
    progress: Progress,
    call: u64,
    id: Option<Value>,
    /// Spans the call from its offer to its end in the log.
    span: Span,
}

/// Why a connection is not taken as a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LineOpenError {
    #[error("too many lines open at once, come back in {} ms", .0.as_millis() + 1)]
    Later(Duration),
    #[error("{0} lines are open")]
    Full(usize),
}

impl LineOpenError {
    /// What is said to it before it is closed.
    pub fn text(&self) -> String {
        let mut fault = RpcError::new(code::LIMIT_EXCEEDED, self.to_string());
        if let Self::Later(wait) = self {
            fault.retry_after_ms = Some(wait.as_millis() as u64 + 1);
        }
        error_text(&Value::Null, &fault)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Unanswered,
    Stands,
}

pub struct Exchange {
    pub office: CallControl,
    admission: Admission<Pending>,
    tokens: Tokens,
    resumable: ResumableSessions,
    repeats: AnswerCache<OfferResult>,
    news: EventLog<CallEvent>,
    /// Draws the keys of sessions.
    keys: StdRng,
    resume_texts: usize,
    repeat_ms: u64,
    /// Offers whose turn has come. Emptied before anything returns.
    ready: VecDeque<Pending>,
    /// Cut sessions with more to hear than is kept. Emptied likewise.
    overflown: Vec<LineId>,
    /// What a session that is taken up is told after its welcome. Emptied with it.
    owed_texts: Vec<String>,
    roster: Membership,
    feed: LineDecoder,
    lines: BTreeMap<LineId, Line>,
    /// Which line each session has, or had when it was cut. Emptied with the lines.
    sessions: BTreeMap<SessionId, LineId>,
    /// Who asked for each call. Emptied as calls end.
    askers: BTreeMap<CallId, Asker>,
}

/// What starts an exchange's random numbers. Guards against exchanges that are configured alike, seed included, drawing
/// alike and so trying again in step.
pub fn own_seed(exchange: u16, seed: u64) -> u64 {
    seed ^ u64::from(exchange) << 40
}

/// A roster's lines as the decisions read them.
pub fn exchange_entries(held: &[mintstall_membership::Member]) -> Vec<ExchangeEntry> {
    let line = |held: &mintstall_membership::Member| ExchangeEntry {
        id: ExchangeId(held.entry.exchange),
        number: ExchangeNumber(held.entry.office),
        zone: Zone(held.entry.region),
        status: match held.entry.status {
            MemberStatus::Ready => ExchangeStatus::Ready,
            MemberStatus::Draining => ExchangeStatus::Draining,
            MemberStatus::Gone => ExchangeStatus::Gone,
        },
        started: held.started,
    };
    held.iter().map(line).collect()
}

/// What the office does, written down until it has returned: answers need its callers' names.
struct Wire<'a> {
    port: &'a mut dyn Transport,
    answers: Vec<(CallId, Answer)>,
    ends: Vec<(CallId, CallEnd)>,
}

impl CallControlActions for Wire<'_> {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.port.send_to_link(to, octets);
    }
    fn close_link(&mut self, to: ExchangeNumber, why: &str) {
        self.port.close_link(to, why);
    }
    fn answer(&mut self, call: CallId, answer: Answer) {
        self.answers.push((call, answer));
    }
    fn ended(&mut self, call: CallId, end: CallEnd) {
        self.ends.push((call, end));
    }
    fn log_info(&mut self, line: &str) {
        self.port.log_info(line);
    }
}

impl Exchange {
    /// `now` must be well above zero: it is the clock on which processors that started earlier are told.
    pub fn new(now: Duration, config: &Config, incarnation: u64, seed: u64) -> Self {
        let seed = own_seed(config.exchange, seed);
        let shares = (0..).map(CustomerId).zip(config.customers.iter().map(|customer| customer.share));
        Self {
            office: CallControl::new(now, &config.plan(), incarnation, seed),
            admission: Admission::new(now, config.limits.limits(), shares.collect(), seed),
            tokens: Tokens::open(),
            resumable: ResumableSessions::new(
                Duration::from_millis(config.limits.resume_ms),
                config.limits.resume_sessions,
            ),
            keys: StdRng::from_os_rng(),
            repeats: AnswerCache::new(Duration::from_millis(config.limits.repeat_ms), config.limits.repeats),
            news: EventLog::new(config.limits.news),
            resume_texts: config.limits.resume_texts,
            repeat_ms: config.limits.repeat_ms,
            ready: VecDeque::new(),
            overflown: Vec::new(),
            sessions: BTreeMap::new(),
            owed_texts: Vec::new(),
            roster: Membership::new(MembershipLimits::default()),
            feed: LineDecoder::new(LONGEST_NEWS),
            lines: BTreeMap::new(),
            askers: BTreeMap::new(),
        }
    }

    /// Runs something of the office and gives out what it answers.
    fn with<R>(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        f: impl FnOnce(&mut CallControl, &mut Wire) -> R,
    ) -> R {
        let mut wire = Wire { port, answers: Vec::new(), ends: Vec::new() };
        let result = f(&mut self.office, &mut wire);
        let Wire { answers, ends, port } = wire;
        for (call, answer) in answers {
            let stands = answer == Answer::Stands;
            let Some(asker) = self.askers.get_mut(&call) else { continue };
            asker.progress = if stands { Progress::Stands } else { Progress::Unanswered };
            let answer = final_answer(answer);
            asker.span.in_scope(|| debug!(?answer, "answered"));
            let answered = OfferResult { call: asker.call, exchange_call: call.0, answer };
            let (session, customer, line) = (asker.session, asker.customer, asker.line);
            if let Some(id) = &asker.id {
                let text = result_text(id, answered);
                self.say(port, line, None, text);
            }
            self.repeats.answered(now, session, answered.call, answered);
            let event = CallEvent {
                exchange_call: call.0,
                customer: customer.0,
                what: CallEventKind::Answered(answer),
            };
            self.news.push(customer, event);
            let log = &mut |line: &str| port.log_info(line);
            self.ready.extend(self.admission.answered(now, session, customer, stands, log));
            if !stands {
                self.forget(call);
            }
        }
        for (call, end) in ends {
            if let Some(asker) = self.forget(call) {
                let how = how_ended(end);
                asker.span.in_scope(|| debug!(?how, "ended"));
                let what = CallEventKind::Ended { ended: how };
                let event = CallEvent { exchange_call: call.0, customer: asker.customer.0, what };
                self.news.push(asker.customer, event);
                let text = ended_text(&CallEndedNotification { call: asker.call, how });
                self.say(port, asker.line, Some(asker.call), text);
            }
        }
        result
    }

    /// Says something on a line, or keeps it for when its session is taken up; `about`: a notification about that call.
    fn say(&mut self, port: &mut dyn Transport, line: LineId, about: Option<u64>, text: String) {
        let Some(held) = self.lines.get_mut(&line) else { return };
        let Some(backlog) = &mut held.backlog else { return port.send_to_line(line, &text) };
        let kept = match about {
            Some(call) => backlog.note(call, text),
            None => backlog.answer(text),
        };
        if let Err(overflow) = kept {
            port.log_info(&format!("session {} is over: {overflow}", held.session.0));
            self.overflown.push(line);
        }
    }

    fn forget(&mut self, call: CallId) -> Option<Asker> {
        let asker = self.askers.remove(&call)?;
        if asker.progress == Progress::Stands {
            self.admission.over(asker.session, asker.customer);
        }
        if let Some(line) = self.lines.get_mut(&asker.line) {
            line.calls.remove(&asker.call);
        }
        Some(asker)
    }

    pub fn link_up(&mut self, now: Duration, port: &mut dyn Transport, to: ExchangeNumber) {
        self.with(now, port, |office, wire| office.link_up(now, wire, to));
    }

    pub fn link_down(&mut self, now: Duration, port: &mut dyn Transport, to: ExchangeNumber) {
        self.with(now, port, |office, wire| office.link_down(now, wire, to));
        self.take_ready(now, port);
    }

    pub fn link_octets(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        from: ExchangeNumber,
        octets: &[u8],
    ) {
        self.with(now, port, |office, wire| office.on_octets(now, wire, from, octets));
        self.take_ready(now, port);
    }

    pub fn on_timer(&mut self, now: Duration, port: &mut dyn Transport) {
        for (pending, refusal) in self.admission.on_timer(now, &mut |text| port.log_info(text)) {
            self.refuse(port, &pending, refusal);
        }
        let over = self.resumable.expired(now);
        if !over.is_empty() {
            self.end_sessions(now, port, &over);
        }
        self.with(now, port, |office, wire| office.on_timer(now, wire));
        self.take_ready(now, port);
    }

    /// When [`Exchange::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        let all = [self.office.next_timer(), self.admission.next_timer(), self.resumable.next_timer()];
        all.into_iter().flatten().min()
    }

    /// No new calls from now on; those that wait for their turn are refused.
    pub fn stop(&mut self, port: &mut dyn Transport) {
        self.office.stop();
        let waiting = self.admission.drain();
        waiting.iter().for_each(|(pending, refusal)| self.refuse(port, pending, *refusal));
    }

    /// All calls that are left are let go.
    pub fn release_all(&mut self, now: Duration, port: &mut dyn Transport) {
        self.with(now, port, |office, wire| office.release_all(now, wire));
        // Their answers gave others their turn, which are refused: nobody is let in any more.
        self.take_ready(now, port);
    }

    // Subscriber lines.

    /// A connection for calls, if there is room for one more.
    pub fn line_open(&mut self, now: Duration) -> Result<LineId, LineOpenError> {
        match self.admission.open(now) {
            OpenOutcome::Open(SessionId(no)) => {
                let line = Line {
                    cutter: LineDecoder::new(MAX_MESSAGE_OCTETS),
                    session: SessionId(no),
                    token: None,
                    backlog: None,
                    calls: BTreeMap::new(),
                };
                self.lines.insert(LineId(no), line);
                self.sessions.insert(SessionId(no), LineId(no));
                Ok(LineId(no))
            }
            OpenOutcome::RateLimited(wait) => Err(LineOpenError::Later(wait)),
            OpenOutcome::Full => Err(LineOpenError::Full(self.lines.len())),
        }
    }

    /// The connection is gone. A resumable session is kept for a while; of any other what is in hand is hung up, and
    /// nobody is told.
    pub fn line_closed(&mut self, now: Duration, port: &mut dyn Transport, line: LineId) {
        let Some(held) = self.lines.get_mut(&line) else { return };
        match self.resumable.cut(now, held.session) {
            DisconnectOutcome::Over => self.end_line(now, port, line),
            DisconnectOutcome::Kept { displaced, .. } => {
                held.backlog = Some(Backlog::new(self.resume_texts));
                held.cutter = LineDecoder::new(MAX_MESSAGE_OCTETS);
                self.end_sessions(now, port, &displaced);
            }
        }
        self.take_ready(now, port);
    }

    /// Its client has closed it for good: what is in hand is hung up, resumable or not.
    pub fn line_over(&mut self, now: Duration, port: &mut dyn Transport, line: LineId) {
        self.end_line(now, port, line);
        self.take_ready(now, port);
    }

    fn end_sessions(&mut self, now: Duration, port: &mut dyn Transport, sessions: &[SessionId]) {
        for session in sessions {
            if let Some(line) = self.sessions.get(session).copied() {
                self.end_line(now, port, line);
            }
        }
    }

    fn end_line(&mut self, now: Duration, port: &mut dyn Transport, line: LineId) {
        let Some(Line { calls, session, .. }) = self.lines.remove(&line) else { return };
        self.sessions.remove(&session);
        self.resumable.forget(session);
        self.repeats.over(session);
        self.news.leave(session);
        self.admission.close(now, session, &mut |text| port.log_info(text));
        for held in calls.into_values() {
            let Held::With(call) = held else { continue };
            let asker = self.askers.remove(&call);
            self.with(now, port, |office, wire| office.hang_up(now, wire, call));
            if let Some(asker) = asker.filter(|asker| asker.progress == Progress::Unanswered) {
                let log = &mut |text: &str| port.log_info(text);
                let next = self.admission.answered(now, session, asker.customer, false, log);
                self.ready.extend(next);
            }
        }
    }

    /// A session that was cut is taken up on another line: its calls, and what was not said.
    fn take_up(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        line: LineId,
        key: &str,
    ) -> Result<Vec<CallState>, RpcError> {
        let invalid = |text: &str| RpcError::new(code::INVALID_PARAMS, text);
        let key = u128::from_str_radix(key, 16).map_err(|_| invalid("resume is no session's key"))?;
        let here = self.lines.get(&line).ok_or_else(|| invalid("the line is closed"))?;
        if !here.calls.is_empty() {
            return Err(invalid("a session is taken up before anything else is asked for"));
        }
        let resumed = self.resumable.resume(now, SessionKey(key), here.token.as_deref());
        let session = resumed.map_err(|error| RpcError::new(code::DENIED, error.to_string()))?;
        if here.session == session {
            return Err(invalid("the session is this connection's own"));
        }
        let before = self.sessions.insert(session, line);
        let before = before.and_then(|no| Some((no, self.lines.remove(&no)?)));
        let (before_no, before) = before.ok_or_else(|| invalid("the session has nothing left"))?;
        if before.backlog.is_none() {
            // Open still, for all that is known here: its client knows better.
            port.close_line(before_no, "its session was taken up on another connection");
        }
        let here = self.lines.get_mut(&line).ok_or_else(|| invalid("the line is closed"))?;
        let fresh = std::mem::replace(&mut here.session, session);
        here.calls = before.calls;
        let calls = here.calls.clone();
        for held in here.calls.values() {
            if let Held::With(call) = held
                && let Some(asker) = self.askers.get_mut(call)
            {
                asker.line = line;
            }
        }
        self.admission.for_each_waiting(|pending| {
            if pending.session == session {
                pending.line = line;
            }
        });
        self.sessions.remove(&fresh);
        self.admission.close(now, fresh, &mut |text| port.log_info(text));
        let calls = calls.into_iter().map(|(call, held)| self.call_state(call, held)).collect();
        // Said after the welcome: the client must know whose they are.
        let mut backlog = before.backlog;
        while let Some(text) = backlog.as_mut().and_then(Backlog::pop) {
            self.owed_texts.push(text);
        }
        Ok(calls)
    }

    /// Offers whose turn has come go to the decisions, and what that answers may bring others their turn.
    fn take_ready(&mut self, now: Duration, port: &mut dyn Transport) {
        loop {
            if let Some(line) = self.overflown.pop() {
                self.end_line(now, port, line);
            } else if let Some(pending) = self.ready.pop_front() {
                self.take(now, port, pending);
            } else {
                break;
            }
        }
        self.tell_watchers(port);
    }

    /// The tokens in force from now on; what stands is left alone.
    pub fn set_tokens(&mut self, tokens: Tokens) {
        self.tokens = tokens;
    }

    /// Whether a token allows something on the admin port.
    pub fn admin_may(&self, token: Option<&str>) -> Result<(), AuthError> {
        if !self.tokens.asks() {
            return Ok(());
        }
        let grant = self.tokens.present(token.ok_or(AuthError::NoToken)?)?;
        if grant.may(Scope::Admin) { Ok(()) } else { Err(AuthError::Scope) }
    }

    fn hello(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        line: LineId,
        hello: &Hello,
    ) -> Result<HelloResult, RpcError> {
        let held =
            self.lines.get_mut(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        if self.tokens.asks() {
            let token = hello.token.as_deref().ok_or(AuthError::NoToken);
            let grant = token.and_then(|token| self.tokens.present(token));
            let grant = grant.map_err(|denied| RpcError::new(code::DENIED, denied.to_string()))?;
            held.token = Some(grant.name.clone());
        }
        debug!(line = line.0, client = hello.client, token = held.token, "hello");
        let calls = match &hello.resume {
            Some(key) => self.take_up(now, port, line, key)?,
            None => Vec::new(),
        };
        let held = self.lines.get(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        let mut session = hello.resume.clone();
        if hello.resumable && session.is_none() {
            let key = SessionKey(self.keys.random());
            self.resumable.register(held.session, key, held.token.clone());
            session = Some(format!("{:032x}", key.0));
        }
        let limits = self.admission.gate.limits();
        Ok(HelloResult {
            server: "mintstall".into(),
            version: env!("CARGO_PKG_VERSION").into(),
            exchange: self.office.own().0,
            token: held.token.clone(),
            limits: SessionLimits {
                calls_a_session: limits.calls_a_session,
                calls_a_customer: limits.calls_a_customer,
                offers_per_s: limits.offers_per_s,
                requests_per_s: limits.requests_per_s,
                text_octets: MAX_MESSAGE_OCTETS,
                kept_ms: self.resumable.span().as_millis() as u64,
                repeat_ms: self.repeat_ms,
            },
            session,
            calls,
            pending_messages: self.owed_texts.len(),
        })
    }

    /// What was not let in: a call answered as refused where a later try may do better, else a fault of the client.
    fn refuse(&mut self, port: &mut dyn Transport, pending: &Pending, refusal: AdmissionError) {
        let (line, call) = (pending.line, pending.offer.call);
        if let Some(held) = self.lines.get_mut(&line)
            && held.calls.get(&call) == Some(&Held::Waiting)
        {
            held.calls.remove(&call);
        }
        debug!(line = line.0, call, "not let in: {refusal}");
        let Some(id) = &pending.id else { return };
        match refusal {
            AdmissionError::RateLimited { retry_after } | AdmissionError::Overloaded { retry_after } => {
                let answer = FinalAnswer::Refused { come_back_ms: retry_after.as_millis() as u32 };
                let text = result_text(id, OfferResult { call, exchange_call: 0, answer });
                self.say(port, line, None, text);
            }
            other => {
                let text = error_text(id, &RpcError::new(code::LIMIT_EXCEEDED, other.to_string()));
                self.say(port, line, None, text);
            }
        }
    }

    fn subscribe(&mut self, line: LineId, cursor: Option<u64>) -> Result<u64, RpcError> {
        let held = self.lines.get(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        let allowed = self.tokens.check(held.token.as_deref(), Scope::Watch, None);
        allowed.map_err(|denied| RpcError::new(code::DENIED, denied.to_string()))?;
        let sees = self.tokens.named(held.token.as_deref()).map_or(CustomerFilter::All, Grant::sees);
        let cursor = self.news.watch(held.session, cursor, sees);
        cursor.map_err(|error| RpcError::new(code::INVALID_PARAMS, error.to_string()))
    }

    /// Tells those who watch what is new, as far as their connections have room.
    fn tell_watchers(&mut self, port: &mut dyn Transport) {
        const AT_ONCE: usize = 256;
        if self.news.watchers() == 0 {
            return;
        }
        for session in self.news.behind() {
            let there = |line: &LineId| self.lines.get(line).is_some_and(|line| line.backlog.is_none());
            let line = self.sessions.get(&session).copied().filter(there);
            let Some(line) = line.filter(|line| port.has_room(*line)) else { continue };
            let told = self.news.tell(session, AT_ONCE);
            if told.missed > 0 {
                port.send_to_line(
                    line,
                    &notification_text("call.news.missed", NewsMissedNotification { count: told.missed }),
                );
            }
            for (number, event) in told.events {
                port.send_to_line(
                    line,
                    &notification_text("call.news", CallNewsNotification { number, event }),
                );
            }
        }
    }

    /// An offer goes to the decisions, with the time that its caller has left.
    fn take(&mut self, now: Duration, port: &mut dyn Transport, pending: Pending) {
        let Pending { line, session, id, offer, since } = pending;
        let customer = CustomerId(offer.customer);
        let Some(held) = self.lines.get_mut(&line) else {
            // Its line closed as its turn came: its place goes on.
            let log = &mut |text: &str| port.log_info(text);
            let next = self.admission.answered(now, session, customer, false, log);
            return self.ready.extend(next);
        };
        let call = self.office.next_call();
        held.calls.insert(offer.call, Held::With(call));
        let span = debug_span!("call", id = call.0, line = line.0, call = offer.call, dest = offer.dest);
        span.in_scope(|| debug!(kind = offer.call_type, number = offer.number, "offered"));
        let progress = Progress::Unanswered;
        self.askers.insert(call, Asker { line, session, customer, progress, call: offer.call, id, span });
        let mut order = order(&offer);
        order.left = order.left.saturating_sub(now.saturating_sub(since));
        self.with(now, port, |office, wire| office.offer(now, wire, call, order));
    }

    pub fn line_octets(&mut self, now: Duration, port: &mut dyn Transport, line: LineId, octets: &[u8]) {
        let Some(held) = self.lines.get_mut(&line) else { return };
        // Taken out while its texts are acted on.
        let mut cutter = std::mem::replace(&mut held.cutter, LineDecoder::new(MAX_MESSAGE_OCTETS));
        cutter.push(octets);
        loop {
            match cutter.next() {
                Ok(Some(text)) => self.text(now, port, line, text),
                Ok(None) => break,
                Err(error) => {
                    let fault = RpcError::new(code::PARSE, error.to_string());
                    port.send_to_line(line, &error_text(&Value::Null, &fault));
                    port.close_line(line, &error.to_string());
                    break;
                }
            }
        }
        if let Some(held) = self.lines.get_mut(&line) {
            held.cutter = cutter;
        }
        self.take_ready(now, port);
    }

    /// One whole text of a line whose connection carries texts.
    pub fn line_text(&mut self, now: Duration, port: &mut dyn Transport, line: LineId, text: &[u8]) {
        self.text(now, port, line, text);
        self.take_ready(now, port);
    }

    fn text(&mut self, now: Duration, port: &mut dyn Transport, line: LineId, text: &[u8]) {
        let Some(session) = self.lines.get(&line).map(|line| line.session) else { return };
        let allowed = self.admission.gate.request(now, session);
        let RequestMessage { id, request } = match RequestMessage::read(text) {
            Ok(asked) => asked,
            Err((id, fault)) => return port.send_to_line(line, &error_text(&id, &fault)),
        };
        if let Err(refusal) = allowed {
            let mut fault = RpcError::new(code::RATE_LIMITED, refusal.to_string());
            if let AdmissionError::RateLimited { retry_after } = refusal {
                fault.retry_after_ms = Some(retry_after.as_millis() as u64 + 1);
            }
            return id.iter().for_each(|id| port.send_to_line(line, &error_text(id, &fault)));
        }
        let done = match request {
            Request::Hello(hello) => self.hello(now, port, line, &hello).map(|welcome| {
                id.iter().for_each(|id| port.send_to_line(line, &result_text(id, &welcome)));
                self.owed_texts.drain(..).for_each(|text| port.send_to_line(line, &text));
            }),
            Request::Subscribe(subscribe) => self.subscribe(line, subscribe.cursor).map(|cursor| {
                id.iter()
                    .for_each(|id| port.send_to_line(line, &result_text(id, SubscribeResult { cursor })));
            }),
            Request::Offer(offer) => self.offer(now, port, line, &id, &offer),
            Request::Hangup(hangup) => self.hang_up(now, port, line, hangup.call).map(|()| {
                id.iter()
                    .for_each(|id| port.send_to_line(line, &result_text(id, CallAck { call: hangup.call })));
            }),
            Request::Cancel(cancel) => self.cancel(now, port, line, cancel.call).map(|()| {
                id.iter()
                    .for_each(|id| port.send_to_line(line, &result_text(id, CallAck { call: cancel.call })));
            }),
            Request::Get(get) => self.get(now, line, get.call).map(|state| {
                id.iter().for_each(|id| port.send_to_line(line, &result_text(id, state)));
            }),
            Request::TraceGet(get) => self.trace_get(line, get).map(|traces| {
                id.iter().for_each(|id| {
                    port.send_to_line(line, &result_text(id, TraceResult { traces: traces.clone() }))
                });
            }),
        };
        if let (Err(fault), Some(id)) = (done, id) {
            port.send_to_line(line, &error_text(&id, &fault));
        }
    }

    fn offer(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        line: LineId,
        id: &Option<Value>,
        offer: &Offer,
    ) -> Result<(), RpcError> {
        let held =
            self.lines.get_mut(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        let allowed =
            self.tokens.check(held.token.as_deref(), Scope::Offer, Some(CustomerId(offer.customer)));
        allowed.map_err(|denied| RpcError::new(code::DENIED, denied.to_string()))?;
        if let CachedAnswer::Answered(answered) = self.repeats.offer(now, held.session, offer.call) {
            id.iter().for_each(|id| port.send_to_line(line, &result_text(id, answered)));
            return Ok(());
        }
        if held.calls.contains_key(&offer.call) {
            return Err(RpcError::new(
                code::NUMBER_IN_USE,
                format!("call {} is in hand already", offer.call),
            ));
        }
        let session = held.session;
        let pending = Pending { line, session, id: id.clone(), offer: offer.clone(), since: now };
        let (customer, left) = (CustomerId(offer.customer), Duration::from_millis(offer.time_left_ms.into()));
        let log = &mut |text: &str| port.log_info(text);
        let (verdict, displaced) = self.admission.offer(now, session, customer, left, pending, log);
        match verdict {
            AdmissionDecision::Admit(pending) => self.take(now, port, pending),
            AdmissionDecision::Queued => _ = held.calls.insert(offer.call, Held::Waiting),
            AdmissionDecision::Refused(pending, refusal) => self.refuse(port, &pending, refusal),
        }
        displaced.iter().for_each(|(pending, refusal)| self.refuse(port, pending, *refusal));
        Ok(())
    }

    fn hang_up(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        line: LineId,
        call: u64,
    ) -> Result<(), RpcError> {
        let known = self.lines.get(&line).and_then(|line| line.calls.get(&call)).copied();
        let unknown = || RpcError::new(code::UNKNOWN_CALL, format!("no call {call} is in hand"));
        let id = match known.ok_or_else(unknown)? {
            Held::With(id) => id,
            Held::Waiting => {
                let which = |pending: &Pending| pending.line == line && pending.offer.call == call;
                let pending = self.admission.withdraw(now, which, &mut |text| port.log_info(text));
                self.lines.get_mut(&line).into_iter().for_each(|line| _ = line.calls.remove(&call));
                if let Some(id) = pending.and_then(|pending| pending.id) {
                    port.send_to_line(
                        line,
                        &result_text(&id, OfferResult { call, exchange_call: 0, answer: FinalAnswer::Fails }),
                    );
                }
                return Ok(());
            }
        };
        // The final answer of a call that is given up goes out within, before the reply to this.
        self.with(now, port, |office, wire| office.hang_up(now, wire, id));
        if let Some(asker) = self.forget(id) {
            asker.span.in_scope(|| debug!("hung up"));
        }
        Ok(())
    }

    /// Gives up a call that has no answer yet.
    fn cancel(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        line: LineId,
        call: u64,
    ) -> Result<(), RpcError> {
        let held = self.lines.get(&line).and_then(|line| line.calls.get(&call)).copied();
        if let Some(Held::With(id)) = held
            && self.askers.get(&id).is_some_and(|asker| asker.progress == Progress::Stands)
        {
            return Err(RpcError::new(code::CALL_STANDS, format!("call {call} stands: hang it up")));
        }
        self.hang_up(now, port, line, call)
    }

    fn call_state(&self, call: u64, held: Held) -> CallState {
        match held {
            Held::Waiting => CallState { call, exchange_call: 0, state: CallStatus::Waits },
            Held::With(id) => {
                let stands = self.askers.get(&id).is_some_and(|asker| asker.progress == Progress::Stands);
                let state = if stands { CallStatus::Stands } else { CallStatus::Offered };
                CallState { call, exchange_call: id.0, state }
            }
        }
    }

    fn get(&mut self, now: Duration, line: LineId, call: u64) -> Result<CallState, RpcError> {
        let unknown = || RpcError::new(code::UNKNOWN_CALL, format!("no call {call} is known"));
        let held = self.lines.get(&line).ok_or_else(unknown)?;
        if let Some(held) = held.calls.get(&call) {
            return Ok(self.call_state(call, *held));
        }
        let OfferResult { exchange_call, answer, .. } =
            self.repeats.get(now, held.session, call).ok_or_else(unknown)?;
        Ok(CallState { call, exchange_call, state: CallStatus::Over { answer } })
    }

    /// Whoever may watch sees the traces of the customers that its token sees.
    fn trace_get(&self, line: LineId, get: TraceGet) -> Result<Vec<CallTrace>, RpcError> {
        let held = self.lines.get(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        let allowed = self.tokens.check(held.token.as_deref(), Scope::Watch, None);
        allowed.map_err(|denied| RpcError::new(code::DENIED, denied.to_string()))?;
        let sees = self.tokens.named(held.token.as_deref()).map_or(CustomerFilter::All, Grant::sees);
        let mut traces = self.traces(get.origin, get.exchange_call);
        traces.retain(|trace| sees.includes(CustomerId(trace.customer)));
        if traces.is_empty() {
            let why = format!("call {} is not among the last calls", get.exchange_call);
            return Err(RpcError::new(code::UNKNOWN_CALL, why));
        }
        Ok(traces)
    }

    // Directory.

    /// The directory is there: it is asked for all that is new.
    pub fn directory_open(&mut self, port: &mut dyn Transport) {
        self.feed = LineDecoder::new(LONGEST_NEWS);
        port.send_to_directory(
            &ControllerNotification::RequestFullList(FullListRequest {
                office: self.office.own().0,
                held_version: self.roster.version(),
            })
            .text(),
        );
    }

    /// `Err`: what came makes no sense as a line, and the connection is to be closed. `Ok(true)`: the roster is new.
    pub fn directory_octets(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        octets: &[u8],
    ) -> Result<bool, String> {
        self.feed.push(octets);
        let mut feed = std::mem::replace(&mut self.feed, LineDecoder::new(LONGEST_NEWS));
        let mut new = false;
        let result = loop {
            match feed.next() {
                Ok(Some(text)) => match DirectoryNotification::read(text) {
                    Ok(note) => new |= self.feed_note(now, port, &note),
                    Err(error) => {
                        port.log_info(&format!(
                            "directory: a line makes no sense and is passed over: {error}"
                        ));
                        let (office, why) = (self.office.own().0, error.to_string());
                        port.send_to_directory(
                            &ControllerNotification::Rejected { office, version: 0, why }.text(),
                        );
                    }
                },
                Ok(None) => break Ok(new),
                Err(error) => break Err(error.to_string()),
            }
        };
        self.feed = feed;
        result
    }

    /// One note of the directory or the plant; `true`: the roster is new.
    pub fn feed_note(
        &mut self,
        now: Duration,
        port: &mut dyn Transport,
        note: &DirectoryNotification,
    ) -> bool {
        match note {
            DirectoryNotification::Membership(news) => {
                let office = self.office.own().0;
                let (verdict, told) = self.roster.apply(now, news);
                match verdict {
                    UpdateOutcome::Accepted { version } => {
                        port.send_to_directory(&ControllerNotification::Accepted { office, version }.text())
                    }
                    UpdateOutcome::Rejected { version, reason } => {
                        port.log_info(&format!("roster version {version} turned down: {reason}"));
                        port.send_to_directory(
                            &ControllerNotification::Rejected { office, version, why: reason.to_string() }
                                .text(),
                        );
                        if matches!(reason, RejectReason::Gap { .. } | RejectReason::NoBaseVersion { .. }) {
                            port.send_to_directory(
                                &ControllerNotification::RequestFullList(FullListRequest {
                                    office,
                                    held_version: None,
                                })
                                .text(),
                            );
                        }
                    }
                }
                let new = told.is_some();
                told.iter().for_each(|told| self.roster_told(now, port, told));
                new
            }
            DirectoryNotification::CircuitsInService { to, in_service } => {
                self.with(now, port, |office, wire| {
                    office.circuits(now, wire, ExchangeNumber(*to), *in_service)
                });
                false
            }
            DirectoryNotification::Processor(note) => {
                self.office.processor(processor_report(note.rate));
                false
            }
        }
    }

    fn roster_told(&mut self, now: Duration, port: &mut dyn Transport, told: &MembershipChange) {
        self.with(now, port, |office, wire| match told {
            MembershipChange::Full(held) => office.roster(now, wire, &exchange_entries(held)),
            MembershipChange::Delta(held) => office.roster_changes(now, wire, &exchange_entries(held)),
        });
    }

    /// The roster kept from before a restart.
    pub fn come_back(
        &mut self,
        now: Duration,
        wall_ms: u64,
        port: &mut dyn Transport,
        text: &[u8],
    ) -> Result<(), String> {
        let (roster, told) = Membership::restore(MembershipLimits::default(), now, wall_ms, text)
            .map_err(|error| error.to_string())?;
        self.roster = roster;
        self.roster_told(now, port, &told);
        Ok(())
    }

    pub fn keep(&self, now: Duration, wall_ms: u64) -> Option<String> {
        serde_json::to_string(&self.roster.snapshot(now, wall_ms)?).ok()
    }

    // What is shown.

    /// What became here of a call that an exchange took; of one taken here, where none is named.
    pub fn traces(&self, origin: Option<u16>, call: u64) -> Vec<CallTrace> {
        match origin.filter(|origin| *origin != self.office.own().0) {
            Some(origin) => self.office.traces_of(ExchangeNumber(origin), call).map(trace_json).collect(),
            None => self.office.trace(CallId(call)).into_iter().map(trace_json).collect(),
        }
    }

    pub fn status(&self) -> Value {
        let CallControlStatus { own, tally, calls, owed, timers, traces, groups } = self.office.state();
        let groups: Vec<Value> = groups
            .iter()
            .map(|group| {
                let link = match group.link {
                    LinkStatus::Down => "down",
                    LinkStatus::Opening => "opening",
                    LinkStatus::Up => "up",
                };
                json!({
                    "to": group.to.0, "link": link, "circuits": group.circuits, "free": group.free,
                    "seized": group.seized, "standing": group.standing, "releasing": group.releasing,
                    "resetting": group.resetting, "blocked": group.blocked,
                })
            })
            .collect();
        let in_hand = self.admission.gate.greediest(10).into_iter();
        let in_hand: Vec<_> =
            in_hand.map(|(no, calls)| json!({ "customer": no.0, "calls": calls })).collect();
        json!({
            "exchange": own.0, "calls": calls, "owed": owed, "timers": timers, "traces": traces, "lines": self.lines.len(),
            "admission": { "unanswered": self.admission.unanswered(), "waiting": self.admission.waiting(),
                "kept_sessions": self.resumable.kept(), "repeats_told": self.repeats.told(),
                "in_hand": in_hand },
            "roster": { "version": self.roster.version(), "entries": self.roster.members().count(),
                "turned_down": self.roster.rejected_updates() },
            "groups": groups,
            "counts": {
                "offered": tally.offered, "transit": tally.transit, "seizures": tally.seizures, "stood": tally.stood,
                "refused": tally.refused, "failed": tally.failed, "cut": tally.cut, "terminated": tally.terminated,
                "timed_out": tally.timed_out, "dual_seizures": tally.dual_seizures, "yielded": tally.yielded,
                "releases_repeated": tally.releases_repeated, "resets": tally.resets, "stuck_found": tally.stuck_found,
                "unexpected": tally.unexpected, "overflow": tally.overflow,
            },
        })
    }
}

/// A trace as it is told: times in milliseconds since its first step.
fn trace_json(trace: &Trace) -> CallTrace {
    let first = trace.steps.first().map_or(Duration::ZERO, |(at, _)| *at);
    let steps = trace.steps.iter().map(|(at, step)| {
        let mut json = step_json(step);
        json["at_ms"] = json!(at.saturating_sub(first).as_micros() as f64 / 1e3);
        json
    });
    CallTrace {
        call: trace.call.0,
        origin: trace.identity.origin,
        origin_call: trace.identity.call,
        call_type: trace.identity.call_type,
        customer: trace.identity.customer,
        dest: trace.dest.0,
        number: trace.dialled,
        left_out: trace.left_out,
        steps: steps.collect(),
    }
}

fn step_json(step: &TraceStep) -> Value {
    let ms = |span: &Duration| span.as_micros() as f64 / 1e3;
    match step {
        TraceStep::Offered { left } => json!({ "step": "offered", "left_ms": ms(left) }),
        TraceStep::Arrived { from, cic } => json!({ "step": "arrived", "from": from.0, "circuit": cic.0 }),
        TraceStep::Seized { no, exchange, to, cic, circuits, limit } => json!({
            "step": "seized", "seizure": no.0, "exchange": exchange.0, "to": to.0, "circuit": cic.0,
            "circuits": circuits, "limit_ms": ms(limit),
        }),
        TraceStep::Alerted { no } => json!({ "step": "address complete", "seizure": no.0 }),
        TraceStep::SeizureEnded { no, cause, elapsed } => {
            json!({ "step": "seizure ended", "seizure": no.0, "cause": format!("{cause:?}"), "after_ms": ms(elapsed) })
        }
        TraceStep::Stands => json!({ "step": "stands" }),
        TraceStep::StandsHere => json!({ "step": "stands here" }),
        TraceStep::Answered(answer) => json!({ "step": "answered", "answer": final_answer(*answer) }),
        TraceStep::TurnedBack(cause) => json!({ "step": "turned back", "cause": cause.value() }),
        TraceStep::CallerGone(cause) => json!({ "step": "caller gone", "cause": cause.value() }),
        TraceStep::Ended(end) => json!({ "step": "ended", "how": how_ended(*end) }),
    }
}

/// A call as its subscriber's message asks for it.
pub fn order(offer: &Offer) -> CallRequest {
    CallRequest {
        call_type: CallType(offer.call_type),
        customer: CustomerId(offer.customer),
        dest: ExchangeNumber(offer.dest),
        dialled: DialledNumber(offer.number),
        left: Duration::from_millis(offer.time_left_ms.into()),
        advised: offer.advised.map(ExchangeNumber),
        cut: offer.cut,
        redial: offer.redial,
    }
}

pub fn final_answer(answer: Answer) -> FinalAnswer {
    match answer {
        Answer::Stands => FinalAnswer::Stands,
        Answer::Refused { retry_after } => {
            FinalAnswer::Refused { come_back_ms: retry_after.as_millis() as u32 }
        }
        Answer::Fails => FinalAnswer::Fails,
    }
}

pub fn how_ended(end: CallEnd) -> EndReason {
    match end {
        CallEnd::HungUp => EndReason::HungUp,
        CallEnd::Released => EndReason::Released,
        CallEnd::Cut => EndReason::Cut,
    }
}

/// A report in the thousandths that the signalling carries; what is no figure is not told.
pub fn processor_report(rate: Option<f64>) -> ProcessorReport {
    let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    ProcessorReport { rate_milli: rate.map(|rate| (rate * 1e3).min(f64::from(u32::MAX)) as u32) }
}
