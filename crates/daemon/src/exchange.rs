//! Call control, membership and subscriber lines together, without I/O: octets and messages in, octets and messages out.
//! Connections, timers and signals are left to `server`.

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

/// A connection on which a client makes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineId(pub u64);

/// The connections through which an exchange sends, and its log.
pub trait Transport {
    fn send_to_link(&mut self, to: ExchangeNumber, octets: &[u8]);
    fn close_link(&mut self, to: ExchangeNumber, why: &str);
    /// Sends a message on a subscriber line. The transport adds the delimiter.
    fn send_to_line(&mut self, line: LineId, text: &str);
    fn close_line(&mut self, line: LineId, why: &str);
    /// Whether little enough waits to be written to a line for messages that are not urgent.
    fn has_room(&self, line: LineId) -> bool;
    /// Sends a message to the directory. The transport adds the delimiter.
    fn send_to_directory(&mut self, text: &str);
    fn log_info(&mut self, line: &str);
}

/// Longest message on a line: an offer has some 200 octets.
pub const MAX_MESSAGE_OCTETS: usize = 16 << 10;
/// Longest message of the directory: 2,048 entries of some 100 octets.
const MAX_DIRECTORY_MESSAGE_OCTETS: usize = 1 << 20;

struct LineState {
    decoder: LineDecoder,
    /// The session of the line: the one opened with the connection, or a resumed one.
    session: SessionId,
    /// The name of the token that the client presented.
    token: Option<String>,
    /// Messages kept until the session is resumed; none while the line is connected.
    backlog: Option<Backlog<String>>,
    /// Calls by the client's numbers, until they end.
    calls: BTreeMap<u64, LineCall>,
}

/// How far a call of a line has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineCall {
    /// It waits in the admission queue.
    Queued,
    Placed(CallId),
}

/// An offer that is not admitted yet.
struct PendingOffer {
    line: LineId,
    session: SessionId,
    id: Option<Value>,
    offer: Offer,
    received_at: Duration,
}

/// A call that was offered to call control, with the line that asked for it.
struct ActiveCall {
    line: LineId,
    session: SessionId,
    customer: CustomerId,
    progress: Progress,
    /// The client's number of the call.
    call: u64,
    id: Option<Value>,
    /// Log span of the call, from its offer to its end.
    span: Span,
}

/// Why a connection is not accepted as a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LineOpenError {
    #[error("too many lines open at once, come back in {} ms", .0.as_millis() + 1)]
    RateLimited(Duration),
    #[error("{0} lines are open")]
    Full(usize),
}

impl LineOpenError {
    /// The message that is sent to the client before its connection is closed.
    pub fn error_response(&self) -> String {
        let mut rpc_error = RpcError::new(code::LIMIT_EXCEEDED, self.to_string());
        if let Self::RateLimited(wait) = self {
            rpc_error.retry_after_ms = Some(wait.as_millis() as u64 + 1);
        }
        error_text(&Value::Null, &rpc_error)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Unanswered,
    Stands,
}

/// An exchange with its subscriber lines.
pub struct Exchange {
    pub call_control: CallControl,
    admission: Admission<PendingOffer>,
    tokens: Tokens,
    resumable_sessions: ResumableSessions,
    answer_cache: AnswerCache<OfferResult>,
    event_log: EventLog<CallEvent>,
    /// Random numbers for session keys.
    key_rng: StdRng,
    max_backlog_messages: usize,
    /// How long answers are cached, as given to clients.
    repeat_ms: u64,
    /// Admitted offers that are not placed yet. Empty whenever a public method returns.
    admitted: VecDeque<PendingOffer>,
    /// Disconnected lines whose backlog is full; their sessions are ended. Empty whenever a public method returns.
    overflowed: Vec<LineId>,
    /// The backlog of a resumed session, sent after the result of `session.hello`. Empty after that.
    resumed_messages: Vec<String>,
    membership: Membership,
    directory_decoder: LineDecoder,
    lines: BTreeMap<LineId, LineState>,
    /// The line of each session, or the last one if the session is disconnected. Entries go with their lines.
    sessions: BTreeMap<SessionId, LineId>,
    /// Calls offered to call control, until they end.
    active_calls: BTreeMap<CallId, ActiveCall>,
}

/// The seed of an exchange's random numbers: exchanges with the same configured seed must not draw the same numbers, or
/// they would retry at the same times.
pub fn own_seed(exchange: u16, seed: u64) -> u64 {
    seed ^ u64::from(exchange) << 40
}

/// The members of the membership list as the controller's entries.
pub fn exchange_entries(members: &[mintstall_membership::Member]) -> Vec<ExchangeEntry> {
    let entry = |member: &mintstall_membership::Member| ExchangeEntry {
        id: ExchangeId(member.entry.exchange),
        number: ExchangeNumber(member.entry.exchange_number),
        zone: Zone(member.entry.region),
        status: match member.entry.status {
            MemberStatus::Ready => ExchangeStatus::Ready,
            MemberStatus::Draining => ExchangeStatus::Draining,
            MemberStatus::Gone => ExchangeStatus::Gone,
        },
        started: member.started,
    };
    members.iter().map(entry).collect()
}

/// The actions of call control. Answers and ends are collected and handled once call control has returned, since they
/// need the exchange's records of the calls.
struct CollectedActions<'a> {
    transport: &'a mut dyn Transport,
    answers: Vec<(CallId, Answer)>,
    ends: Vec<(CallId, CallEnd)>,
}

impl CallControlActions for CollectedActions<'_> {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.transport.send_to_link(to, octets);
    }
    fn close_link(&mut self, to: ExchangeNumber, why: &str) {
        self.transport.close_link(to, why);
    }
    fn answer(&mut self, call: CallId, answer: Answer) {
        self.answers.push((call, answer));
    }
    fn call_ended(&mut self, call: CallId, end: CallEnd) {
        self.ends.push((call, end));
    }
    fn log_info(&mut self, line: &str) {
        self.transport.log_info(line);
    }
}

impl Exchange {
    /// `now` must be well above zero: start times of processors that started earlier are given on the same clock.
    pub fn new(now: Duration, config: &Config, incarnation: u64, seed: u64) -> Self {
        let seed = own_seed(config.exchange, seed);
        let shares = (0..).map(CustomerId).zip(config.customers.iter().map(|customer| customer.share));
        Self {
            call_control: CallControl::new(now, &config.call_control_config(), incarnation, seed),
            admission: Admission::new(now, config.limits.limits(), shares.collect(), seed),
            tokens: Tokens::unrestricted(),
            resumable_sessions: ResumableSessions::new(
                Duration::from_millis(config.limits.resume_ms),
                config.limits.resume_sessions,
            ),
            key_rng: StdRng::from_os_rng(),
            answer_cache: AnswerCache::new(
                Duration::from_millis(config.limits.repeat_ms),
                config.limits.repeats,
            ),
            event_log: EventLog::new(config.limits.news),
            max_backlog_messages: config.limits.resume_texts,
            repeat_ms: config.limits.repeat_ms,
            admitted: VecDeque::new(),
            overflowed: Vec::new(),
            sessions: BTreeMap::new(),
            resumed_messages: Vec::new(),
            membership: Membership::new(MembershipLimits::default()),
            directory_decoder: LineDecoder::new(MAX_DIRECTORY_MESSAGE_OCTETS),
            lines: BTreeMap::new(),
            active_calls: BTreeMap::new(),
        }
    }

    /// Runs `f` on call control, then handles the answers and ends that it produced.
    fn with_call_control<R>(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        f: impl FnOnce(&mut CallControl, &mut CollectedActions) -> R,
    ) -> R {
        let mut collected = CollectedActions { transport, answers: Vec::new(), ends: Vec::new() };
        let result = f(&mut self.call_control, &mut collected);
        let CollectedActions { answers, ends, transport } = collected;
        for (call, answer) in answers {
            let stands = answer == Answer::Stands;
            let Some(active) = self.active_calls.get_mut(&call) else { continue };
            active.progress = if stands { Progress::Stands } else { Progress::Unanswered };
            let answer = final_answer(answer);
            active.span.in_scope(|| debug!(?answer, "answered"));
            let answered = OfferResult { call: active.call, exchange_call: call.0, answer };
            let (session, customer, line) = (active.session, active.customer, active.line);
            if let Some(id) = &active.id {
                let text = result_text(id, answered);
                self.send_or_keep(transport, line, None, text);
            }
            self.answer_cache.insert(now, session, answered.call, answered);
            let event = CallEvent {
                exchange_call: call.0,
                customer: customer.0,
                what: CallEventKind::Answered(answer),
            };
            self.event_log.push(customer, event);
            let log = &mut |line: &str| transport.log_info(line);
            self.admitted.extend(self.admission.on_answer(now, session, customer, stands, log));
            if !stands {
                self.remove_call(call);
            }
        }
        for (call, end) in ends {
            if let Some(active) = self.remove_call(call) {
                let how = end_reason(end);
                active.span.in_scope(|| debug!(?how, "ended"));
                let what = CallEventKind::Ended { ended: how };
                let event = CallEvent { exchange_call: call.0, customer: active.customer.0, what };
                self.event_log.push(active.customer, event);
                let text = ended_text(&CallEndedNotification { call: active.call, how });
                self.send_or_keep(transport, active.line, Some(active.call), text);
            }
        }
        result
    }

    /// Sends a message on a line, or keeps it in the backlog of a disconnected session. `notified_call`: the message is a
    /// notification about that call.
    fn send_or_keep(
        &mut self,
        transport: &mut dyn Transport,
        line: LineId,
        notified_call: Option<u64>,
        text: String,
    ) {
        let Some(state) = self.lines.get_mut(&line) else { return };
        let Some(backlog) = &mut state.backlog else { return transport.send_to_line(line, &text) };
        let kept = match notified_call {
            Some(call) => backlog.push_notification(call, text),
            None => backlog.push_answer(text),
        };
        if let Err(overflow) = kept {
            transport.log_info(&format!("session {} ended: {overflow}", state.session.0));
            self.overflowed.push(line);
        }
    }

    fn remove_call(&mut self, call: CallId) -> Option<ActiveCall> {
        let active = self.active_calls.remove(&call)?;
        if active.progress == Progress::Stands {
            self.admission.end_call(active.session, active.customer);
        }
        if let Some(line) = self.lines.get_mut(&active.line) {
            line.calls.remove(&active.call);
        }
        Some(active)
    }

    pub fn link_up(&mut self, now: Duration, transport: &mut dyn Transport, to: ExchangeNumber) {
        self.with_call_control(now, transport, |call_control, actions| {
            call_control.link_up(now, actions, to)
        });
    }

    pub fn link_down(&mut self, now: Duration, transport: &mut dyn Transport, to: ExchangeNumber) {
        self.with_call_control(now, transport, |call_control, actions| {
            call_control.link_down(now, actions, to)
        });
        self.process_admitted(now, transport);
    }

    /// Sends a heartbeat on the link to an exchange, on which another connection claims to be it. Returns whether the link is
    /// open, so that an answer can be expected.
    pub fn probe_link(&mut self, now: Duration, transport: &mut dyn Transport, to: ExchangeNumber) -> bool {
        self.with_call_control(now, transport, |call_control, actions| {
            call_control.probe_link(now, actions, to)
        })
    }

    pub fn link_octets(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        from: ExchangeNumber,
        octets: &[u8],
    ) {
        self.with_call_control(now, transport, |call_control, actions| {
            call_control.on_octets(now, actions, from, octets)
        });
        self.process_admitted(now, transport);
    }

    pub fn on_timer(&mut self, now: Duration, transport: &mut dyn Transport) {
        for (pending, error) in self.admission.on_timer(now, &mut |text| transport.log_info(text)) {
            self.refuse(transport, &pending, error);
        }
        let expired = self.resumable_sessions.take_expired(now);
        if !expired.is_empty() {
            self.end_sessions(now, transport, &expired);
        }
        self.with_call_control(now, transport, |call_control, actions| call_control.on_timer(now, actions));
        self.process_admitted(now, transport);
    }

    /// When [`Exchange::on_timer`] is next to be called.
    pub fn next_timer(&self) -> Option<Duration> {
        let all = [
            self.call_control.next_timer(),
            self.admission.next_timer(),
            self.resumable_sessions.next_timer(),
        ];
        all.into_iter().flatten().min()
    }

    /// Refuses new calls from now on, and the offers that are queued.
    pub fn stop(&mut self, transport: &mut dyn Transport) {
        self.call_control.stop();
        let queued = self.admission.drain();
        queued.iter().for_each(|(pending, error)| self.refuse(transport, pending, *error));
    }

    /// Releases all remaining calls.
    pub fn release_all(&mut self, now: Duration, transport: &mut dyn Transport) {
        self.with_call_control(now, transport, |call_control, actions| {
            call_control.release_all(now, actions)
        });
        // The answers to the released calls admit queued offers, which are refused: no new call is accepted any more.
        self.process_admitted(now, transport);
    }

    // Subscriber lines.

    /// Opens a line for a new connection, within the limits.
    pub fn line_open(&mut self, now: Duration) -> Result<LineId, LineOpenError> {
        match self.admission.open_session(now) {
            OpenOutcome::Open(SessionId(number)) => {
                let state = LineState {
                    decoder: LineDecoder::new(MAX_MESSAGE_OCTETS),
                    session: SessionId(number),
                    token: None,
                    backlog: None,
                    calls: BTreeMap::new(),
                };
                self.lines.insert(LineId(number), state);
                self.sessions.insert(SessionId(number), LineId(number));
                Ok(LineId(number))
            }
            OpenOutcome::RateLimited(wait) => Err(LineOpenError::RateLimited(wait)),
            OpenOutcome::Full => Err(LineOpenError::Full(self.lines.len())),
        }
    }

    /// The connection is lost. A resumable session is kept for some time; the calls of any other session are hung up, and
    /// no message about them is sent.
    pub fn line_disconnected(&mut self, now: Duration, transport: &mut dyn Transport, line: LineId) {
        let Some(state) = self.lines.get_mut(&line) else { return };
        match self.resumable_sessions.on_disconnect(now, state.session) {
            DisconnectOutcome::Ended => self.end_line(now, transport, line),
            DisconnectOutcome::Kept { evicted, .. } => {
                state.backlog = Some(Backlog::new(self.max_backlog_messages));
                state.decoder = LineDecoder::new(MAX_MESSAGE_OCTETS);
                self.end_sessions(now, transport, &evicted);
            }
        }
        self.process_admitted(now, transport);
    }

    /// The far end has closed the connection, and some of what it sent before may still be unread. A session that cannot be
    /// resumed is over, so that no more of its offers are placed.
    pub fn line_left(&mut self, now: Duration, transport: &mut dyn Transport, line: LineId) {
        let Some(state) = self.lines.get(&line) else { return };
        if !self.resumable_sessions.is_registered(state.session) {
            self.end_line(now, transport, line);
            self.process_admitted(now, transport);
        }
    }

    /// The client has closed the line on purpose: its calls are hung up, whether the session is resumable or not.
    pub fn line_closed_by_client(&mut self, now: Duration, transport: &mut dyn Transport, line: LineId) {
        self.end_line(now, transport, line);
        self.process_admitted(now, transport);
    }

    fn end_sessions(&mut self, now: Duration, transport: &mut dyn Transport, sessions: &[SessionId]) {
        for session in sessions {
            if let Some(line) = self.sessions.get(session).copied() {
                self.end_line(now, transport, line);
            }
        }
    }

    fn end_line(&mut self, now: Duration, transport: &mut dyn Transport, line: LineId) {
        let Some(LineState { calls, session, .. }) = self.lines.remove(&line) else { return };
        self.sessions.remove(&session);
        self.resumable_sessions.remove(session);
        self.answer_cache.remove_session(session);
        self.event_log.remove_watcher(session);
        self.admission.close_session(now, session, &mut |text| transport.log_info(text));
        for line_call in calls.into_values() {
            let LineCall::Placed(call) = line_call else { continue };
            let active = self.active_calls.remove(&call);
            self.with_call_control(now, transport, |call_control, actions| {
                call_control.hang_up(now, actions, call)
            });
            if let Some(active) = active.filter(|active| active.progress == Progress::Unanswered) {
                let log = &mut |text: &str| transport.log_info(text);
                let next = self.admission.on_answer(now, session, active.customer, false, log);
                self.admitted.extend(next);
            }
        }
    }

    /// Moves a disconnected session with its calls and its backlog to another line.
    fn resume_session(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        line: LineId,
        key: &str,
    ) -> Result<Vec<CallState>, RpcError> {
        let invalid = |text: &str| RpcError::new(code::INVALID_PARAMS, text);
        let key = u128::from_str_radix(key, 16).map_err(|_| invalid("resume is no session's key"))?;
        let current = self.lines.get(&line).ok_or_else(|| invalid("the line is closed"))?;
        if !current.calls.is_empty() {
            return Err(invalid("a session is taken up before anything else is asked for"));
        }
        let resumed = self.resumable_sessions.resume(now, SessionKey(key), current.token.as_deref());
        let session = resumed.map_err(|error| RpcError::new(code::DENIED, error.to_string()))?;
        if current.session == session {
            return Err(invalid("the session is this connection's own"));
        }
        let previous = self.sessions.insert(session, line);
        let previous = previous.and_then(|line| Some((line, self.lines.remove(&line)?)));
        let (previous_line, previous) = previous.ok_or_else(|| invalid("the session has nothing left"))?;
        if previous.backlog.is_none() {
            // The exchange still takes the previous connection for open; the client has lost it.
            transport.close_line(previous_line, "its session was taken up on another connection");
        }
        let current = self.lines.get_mut(&line).ok_or_else(|| invalid("the line is closed"))?;
        let unused_session = std::mem::replace(&mut current.session, session);
        current.calls = previous.calls;
        let calls = current.calls.clone();
        for line_call in current.calls.values() {
            if let LineCall::Placed(call) = line_call
                && let Some(active) = self.active_calls.get_mut(call)
            {
                active.line = line;
            }
        }
        self.admission.for_each_waiting(|pending| {
            if pending.session == session {
                pending.line = line;
            }
        });
        self.sessions.remove(&unused_session);
        self.admission.close_session(now, unused_session, &mut |text| transport.log_info(text));
        let calls = calls.into_iter().map(|(call, line_call)| self.call_state(call, line_call)).collect();
        // Sent after the result of session.hello: the client must know first which session the messages belong to.
        let mut backlog = previous.backlog;
        while let Some(text) = backlog.as_mut().and_then(Backlog::pop) {
            self.resumed_messages.push(text);
        }
        Ok(calls)
    }

    /// Places admitted offers until there are none left: the answers to some may admit others. Ends sessions whose backlog
    /// is full, and notifies watchers.
    fn process_admitted(&mut self, now: Duration, transport: &mut dyn Transport) {
        loop {
            if let Some(line) = self.overflowed.pop() {
                self.end_line(now, transport, line);
            } else if let Some(pending) = self.admitted.pop_front() {
                self.place_call(now, transport, pending);
            } else {
                break;
            }
        }
        self.notify_watchers(transport);
    }

    /// Replaces the tokens. Standing calls are not affected.
    pub fn set_tokens(&mut self, tokens: Tokens) {
        self.tokens = tokens;
    }

    /// Checks whether a token allows requests on the admin port.
    pub fn check_admin_token(&self, token: Option<&str>) -> Result<(), AuthError> {
        if !self.tokens.are_required() {
            return Ok(());
        }
        let grant = self.tokens.lookup(token.ok_or(AuthError::NoToken)?)?;
        if grant.allows(Scope::Admin) { Ok(()) } else { Err(AuthError::Scope) }
    }

    fn hello(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        line: LineId,
        hello: &Hello,
    ) -> Result<HelloResult, RpcError> {
        let state =
            self.lines.get_mut(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        if self.tokens.are_required() {
            let token = hello.token.as_deref().ok_or(AuthError::NoToken);
            let grant = token.and_then(|token| self.tokens.lookup(token));
            let grant = grant.map_err(|denied| RpcError::new(code::DENIED, denied.to_string()))?;
            state.token = Some(grant.name.clone());
        }
        debug!(line = line.0, client = hello.client, token = state.token, "hello");
        let calls = match &hello.resume {
            Some(key) => self.resume_session(now, transport, line, key)?,
            None => Vec::new(),
        };
        let state = self.lines.get(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        let mut session = hello.resume.clone();
        if hello.resumable && session.is_none() {
            let key = SessionKey(self.key_rng.random());
            self.resumable_sessions.register(state.session, key, state.token.clone());
            session = Some(format!("{:032x}", key.0));
        }
        let limits = self.admission.session_limiter.limits();
        Ok(HelloResult {
            server: "mintstall".into(),
            version: env!("CARGO_PKG_VERSION").into(),
            exchange: self.call_control.own().0,
            token: state.token.clone(),
            limits: SessionLimits {
                calls_a_session: limits.max_calls_per_session,
                calls_a_customer: limits.max_calls_per_customer,
                offers_per_s: limits.offers_per_s,
                requests_per_s: limits.requests_per_s,
                text_octets: MAX_MESSAGE_OCTETS,
                kept_ms: self.resumable_sessions.retention().as_millis() as u64,
                repeat_ms: self.repeat_ms,
            },
            session,
            calls,
            pending_messages: self.resumed_messages.len(),
        })
    }

    /// Answers an offer that is not admitted: as refused if a later attempt may succeed, else by an error.
    fn refuse(&mut self, transport: &mut dyn Transport, pending: &PendingOffer, error: AdmissionError) {
        let (line, call) = (pending.line, pending.offer.call);
        if let Some(state) = self.lines.get_mut(&line)
            && state.calls.get(&call) == Some(&LineCall::Queued)
        {
            state.calls.remove(&call);
        }
        debug!(line = line.0, call, "offer not admitted: {error}");
        let Some(id) = &pending.id else { return };
        match error {
            AdmissionError::RateLimited { retry_after } | AdmissionError::Overloaded { retry_after } => {
                let answer = FinalAnswer::Refused { come_back_ms: retry_after.as_millis() as u32 };
                let text = result_text(id, OfferResult { call, exchange_call: 0, answer });
                self.send_or_keep(transport, line, None, text);
            }
            other => {
                let text = error_text(id, &RpcError::new(code::LIMIT_EXCEEDED, other.to_string()));
                self.send_or_keep(transport, line, None, text);
            }
        }
    }

    fn subscribe(&mut self, line: LineId, cursor: Option<u64>) -> Result<u64, RpcError> {
        let state = self.lines.get(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        let allowed = self.tokens.check(state.token.as_deref(), Scope::Watch, None);
        allowed.map_err(|denied| RpcError::new(code::DENIED, denied.to_string()))?;
        let filter = self
            .tokens
            .grant_named(state.token.as_deref())
            .map_or(CustomerFilter::All, Grant::customer_filter);
        let cursor = self.event_log.watch(state.session, cursor, filter);
        cursor.map_err(|error| RpcError::new(code::INVALID_PARAMS, error.to_string()))
    }

    /// Sends new call events to the watchers whose connections have room.
    fn notify_watchers(&mut self, transport: &mut dyn Transport) {
        const MAX_EVENTS_AT_ONCE: usize = 256;
        if self.event_log.watchers() == 0 {
            return;
        }
        for session in self.event_log.lagging_sessions() {
            let connected = |line: &LineId| self.lines.get(line).is_some_and(|line| line.backlog.is_none());
            let line = self.sessions.get(&session).copied().filter(connected);
            let Some(line) = line.filter(|line| transport.has_room(*line)) else { continue };
            let batch = self.event_log.next_batch(session, MAX_EVENTS_AT_ONCE);
            if batch.missed > 0 {
                transport.send_to_line(
                    line,
                    &notification_text("call.news.missed", NewsMissedNotification { count: batch.missed }),
                );
            }
            for (number, event) in batch.events {
                transport.send_to_line(
                    line,
                    &notification_text("call.news", CallNewsNotification { number, event }),
                );
            }
        }
    }

    /// Passes an admitted offer to call control, with the time that its caller has left.
    fn place_call(&mut self, now: Duration, transport: &mut dyn Transport, pending: PendingOffer) {
        let PendingOffer { line, session, id, offer, received_at } = pending;
        let customer = CustomerId(offer.customer);
        let Some(state) = self.lines.get_mut(&line) else {
            // The line was closed in the meantime: the next queued offer is admitted instead.
            let log = &mut |text: &str| transport.log_info(text);
            let next = self.admission.on_answer(now, session, customer, false, log);
            return self.admitted.extend(next);
        };
        let call = self.call_control.next_call();
        state.calls.insert(offer.call, LineCall::Placed(call));
        let span = debug_span!("call", id = call.0, line = line.0, call = offer.call, dest = offer.dest);
        span.in_scope(|| debug!(kind = offer.call_type, number = offer.number, "offered"));
        let progress = Progress::Unanswered;
        self.active_calls
            .insert(call, ActiveCall { line, session, customer, progress, call: offer.call, id, span });
        let mut request = call_request(&offer);
        request.time_left = request.time_left.saturating_sub(now.saturating_sub(received_at));
        self.with_call_control(now, transport, |call_control, actions| {
            call_control.offer(now, actions, call, request)
        });
    }

    pub fn line_octets(&mut self, now: Duration, transport: &mut dyn Transport, line: LineId, octets: &[u8]) {
        let Some(state) = self.lines.get_mut(&line) else { return };
        // Taken out of the line while its messages are handled.
        let mut decoder = std::mem::replace(&mut state.decoder, LineDecoder::new(MAX_MESSAGE_OCTETS));
        decoder.push(octets);
        loop {
            match decoder.next() {
                Ok(Some(text)) => self.handle_message(now, transport, line, text),
                Ok(None) => break,
                Err(error) => {
                    let rpc_error = RpcError::new(code::PARSE, error.to_string());
                    transport.send_to_line(line, &error_text(&Value::Null, &rpc_error));
                    transport.close_line(line, &error.to_string());
                    break;
                }
            }
        }
        if let Some(state) = self.lines.get_mut(&line) {
            state.decoder = decoder;
        }
        self.process_admitted(now, transport);
    }

    /// A whole message of a line whose transport keeps message boundaries (WebSocket).
    pub fn line_message(&mut self, now: Duration, transport: &mut dyn Transport, line: LineId, text: &[u8]) {
        self.handle_message(now, transport, line, text);
        self.process_admitted(now, transport);
    }

    fn handle_message(&mut self, now: Duration, transport: &mut dyn Transport, line: LineId, text: &[u8]) {
        let Some(session) = self.lines.get(&line).map(|line| line.session) else { return };
        let allowed = self.admission.session_limiter.check_request(now, session);
        let RequestMessage { id, request } = match RequestMessage::read(text) {
            Ok(message) => message,
            Err((id, error)) => return transport.send_to_line(line, &error_text(&id, &error)),
        };
        if let Err(error) = allowed {
            let mut rpc_error = RpcError::new(code::RATE_LIMITED, error.to_string());
            if let AdmissionError::RateLimited { retry_after } = error {
                rpc_error.retry_after_ms = Some(retry_after.as_millis() as u64 + 1);
            }
            return id.iter().for_each(|id| transport.send_to_line(line, &error_text(id, &rpc_error)));
        }
        let result = match request {
            Request::Hello(hello) => self.hello(now, transport, line, &hello).map(|result| {
                id.iter().for_each(|id| transport.send_to_line(line, &result_text(id, &result)));
                self.resumed_messages.drain(..).for_each(|text| transport.send_to_line(line, &text));
            }),
            Request::Subscribe(subscribe) => self.subscribe(line, subscribe.cursor).map(|cursor| {
                id.iter().for_each(|id| {
                    transport.send_to_line(line, &result_text(id, SubscribeResult { cursor }))
                });
            }),
            Request::Offer(offer) => self.handle_offer(now, transport, line, &id, &offer),
            Request::Hangup(hangup) => self.hang_up(now, transport, line, hangup.call).map(|()| {
                id.iter().for_each(|id| {
                    transport.send_to_line(line, &result_text(id, CallAck { call: hangup.call }))
                });
            }),
            Request::Cancel(cancel) => self.cancel(now, transport, line, cancel.call).map(|()| {
                id.iter().for_each(|id| {
                    transport.send_to_line(line, &result_text(id, CallAck { call: cancel.call }))
                });
            }),
            Request::Get(get) => self.get(now, line, get.call).map(|state| {
                id.iter().for_each(|id| transport.send_to_line(line, &result_text(id, state)));
            }),
            Request::TraceGet(get) => self.trace_get(line, get).map(|traces| {
                id.iter().for_each(|id| {
                    transport.send_to_line(line, &result_text(id, TraceResult { traces: traces.clone() }))
                });
            }),
        };
        if let (Err(error), Some(id)) = (result, id) {
            transport.send_to_line(line, &error_text(&id, &error));
        }
    }

    fn handle_offer(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        line: LineId,
        id: &Option<Value>,
        offer: &Offer,
    ) -> Result<(), RpcError> {
        let state =
            self.lines.get_mut(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        let allowed =
            self.tokens.check(state.token.as_deref(), Scope::Offer, Some(CustomerId(offer.customer)));
        allowed.map_err(|denied| RpcError::new(code::DENIED, denied.to_string()))?;
        if let CachedAnswer::Answered(answered) = self.answer_cache.on_offer(now, state.session, offer.call) {
            id.iter().for_each(|id| transport.send_to_line(line, &result_text(id, answered)));
            return Ok(());
        }
        if state.calls.contains_key(&offer.call) {
            return Err(RpcError::new(
                code::NUMBER_IN_USE,
                format!("call {} is in hand already", offer.call),
            ));
        }
        let session = state.session;
        let pending = PendingOffer { line, session, id: id.clone(), offer: offer.clone(), received_at: now };
        let (customer, time_left) =
            (CustomerId(offer.customer), Duration::from_millis(offer.time_left_ms.into()));
        let log = &mut |text: &str| transport.log_info(text);
        let (decision, evicted) = self.admission.offer(now, session, customer, time_left, pending, log);
        match decision {
            AdmissionDecision::Admit(pending) => self.place_call(now, transport, pending),
            AdmissionDecision::Queued => _ = state.calls.insert(offer.call, LineCall::Queued),
            AdmissionDecision::Refused(pending, error) => self.refuse(transport, &pending, error),
        }
        evicted.iter().for_each(|(pending, error)| self.refuse(transport, pending, *error));
        Ok(())
    }

    fn hang_up(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        line: LineId,
        call: u64,
    ) -> Result<(), RpcError> {
        let line_call = self.lines.get(&line).and_then(|line| line.calls.get(&call)).copied();
        let unknown = || RpcError::new(code::UNKNOWN_CALL, format!("no call {call} is in hand"));
        let id = match line_call.ok_or_else(unknown)? {
            LineCall::Placed(id) => id,
            LineCall::Queued => {
                let is_withdrawn =
                    |pending: &PendingOffer| pending.line == line && pending.offer.call == call;
                let pending =
                    self.admission.withdraw(now, is_withdrawn, &mut |text| transport.log_info(text));
                self.lines.get_mut(&line).into_iter().for_each(|line| _ = line.calls.remove(&call));
                if let Some(id) = pending.and_then(|pending| pending.id) {
                    transport.send_to_line(
                        line,
                        &result_text(&id, OfferResult { call, exchange_call: 0, answer: FinalAnswer::Fails }),
                    );
                }
                return Ok(());
            }
        };
        // If the call has no final answer yet, it is sent in here, before the response to this request.
        self.with_call_control(now, transport, |call_control, actions| {
            call_control.hang_up(now, actions, id)
        });
        if let Some(active) = self.remove_call(id) {
            active.span.in_scope(|| debug!("hung up"));
        }
        Ok(())
    }

    /// Gives up a call that has no final answer yet.
    fn cancel(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        line: LineId,
        call: u64,
    ) -> Result<(), RpcError> {
        let line_call = self.lines.get(&line).and_then(|line| line.calls.get(&call)).copied();
        if let Some(LineCall::Placed(id)) = line_call
            && self.active_calls.get(&id).is_some_and(|active| active.progress == Progress::Stands)
        {
            return Err(RpcError::new(code::CALL_STANDS, format!("call {call} stands: hang it up")));
        }
        self.hang_up(now, transport, line, call)
    }

    fn call_state(&self, call: u64, line_call: LineCall) -> CallState {
        match line_call {
            LineCall::Queued => CallState { call, exchange_call: 0, state: CallStatus::Waits },
            LineCall::Placed(id) => {
                let stands =
                    self.active_calls.get(&id).is_some_and(|active| active.progress == Progress::Stands);
                let state = if stands { CallStatus::Stands } else { CallStatus::Offered };
                CallState { call, exchange_call: id.0, state }
            }
        }
    }

    fn get(&mut self, now: Duration, line: LineId, call: u64) -> Result<CallState, RpcError> {
        let unknown = || RpcError::new(code::UNKNOWN_CALL, format!("no call {call} is known"));
        let state = self.lines.get(&line).ok_or_else(unknown)?;
        if let Some(line_call) = state.calls.get(&call) {
            return Ok(self.call_state(call, *line_call));
        }
        let OfferResult { exchange_call, answer, .. } =
            self.answer_cache.get(now, state.session, call).ok_or_else(unknown)?;
        Ok(CallState { call, exchange_call, state: CallStatus::Over { answer } })
    }

    /// A client with the watch scope sees the traces of the customers that its token covers.
    fn trace_get(&self, line: LineId, get: TraceGet) -> Result<Vec<CallTrace>, RpcError> {
        let state = self.lines.get(&line).ok_or(RpcError::new(code::UNKNOWN_CALL, "the line is closed"))?;
        let allowed = self.tokens.check(state.token.as_deref(), Scope::Watch, None);
        allowed.map_err(|denied| RpcError::new(code::DENIED, denied.to_string()))?;
        let filter = self
            .tokens
            .grant_named(state.token.as_deref())
            .map_or(CustomerFilter::All, Grant::customer_filter);
        let mut traces = self.traces(get.origin, get.exchange_call);
        traces.retain(|trace| filter.includes(CustomerId(trace.customer)));
        if traces.is_empty() {
            let why = format!("call {} is not among the last calls", get.exchange_call);
            return Err(RpcError::new(code::UNKNOWN_CALL, why));
        }
        Ok(traces)
    }

    // Directory.

    /// The directory is connected: asks it for all changes since the version held.
    pub fn directory_connected(&mut self, transport: &mut dyn Transport) {
        self.directory_decoder = LineDecoder::new(MAX_DIRECTORY_MESSAGE_OCTETS);
        transport.send_to_directory(
            &ControllerNotification::RequestFullList(FullListRequest {
                exchange_number: self.call_control.own().0,
                held_version: self.membership.version(),
            })
            .text(),
        );
    }

    /// `Err`: the octets are no valid line, and the connection is to be closed. `Ok(true)`: the membership has changed.
    pub fn directory_octets(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        octets: &[u8],
    ) -> Result<bool, String> {
        self.directory_decoder.push(octets);
        let mut decoder =
            std::mem::replace(&mut self.directory_decoder, LineDecoder::new(MAX_DIRECTORY_MESSAGE_OCTETS));
        let mut changed = false;
        let result = loop {
            match decoder.next() {
                Ok(Some(text)) => match DirectoryNotification::read(text) {
                    Ok(notification) => {
                        changed |= self.on_directory_notification(now, transport, &notification)
                    }
                    Err(error) => {
                        transport.log_info(&format!("directory: ignoring an invalid notification: {error}"));
                        let (exchange_number, why) = (self.call_control.own().0, error.to_string());
                        transport.send_to_directory(
                            &ControllerNotification::Rejected { exchange_number, version: 0, why }.text(),
                        );
                    }
                },
                Ok(None) => break Ok(changed),
                Err(error) => break Err(error.to_string()),
            }
        };
        self.directory_decoder = decoder;
        result
    }

    /// Handles a notification of the directory (membership) or of the exchange's equipment (circuits, processor). `true`:
    /// the membership has changed.
    pub fn on_directory_notification(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        notification: &DirectoryNotification,
    ) -> bool {
        match notification {
            DirectoryNotification::Membership(update) => {
                let exchange_number = self.call_control.own().0;
                let (outcome, change) = self.membership.apply(now, update);
                match outcome {
                    UpdateOutcome::Accepted { version } => transport.send_to_directory(
                        &ControllerNotification::Accepted { exchange_number, version }.text(),
                    ),
                    UpdateOutcome::Rejected { version, reason } => {
                        transport.log_info(&format!("membership version {version} rejected: {reason}"));
                        transport.send_to_directory(
                            &ControllerNotification::Rejected {
                                exchange_number,
                                version,
                                why: reason.to_string(),
                            }
                            .text(),
                        );
                        if matches!(reason, RejectReason::Gap { .. } | RejectReason::NoBaseVersion { .. }) {
                            transport.send_to_directory(
                                &ControllerNotification::RequestFullList(FullListRequest {
                                    exchange_number,
                                    held_version: None,
                                })
                                .text(),
                            );
                        }
                    }
                }
                let changed = change.is_some();
                change.iter().for_each(|change| self.apply_membership_change(now, transport, change));
                changed
            }
            DirectoryNotification::CircuitsInService { to, in_service } => {
                self.with_call_control(now, transport, |call_control, actions| {
                    call_control.set_circuits_in_service(now, actions, ExchangeNumber(*to), *in_service)
                });
                false
            }
            DirectoryNotification::Processor(report) => {
                self.call_control.set_processor_report(processor_report(report.rate));
                false
            }
        }
    }

    fn apply_membership_change(
        &mut self,
        now: Duration,
        transport: &mut dyn Transport,
        change: &MembershipChange,
    ) {
        self.with_call_control(now, transport, |call_control, actions| match change {
            MembershipChange::Full(members) => {
                call_control.on_membership(now, actions, &exchange_entries(members))
            }
            MembershipChange::Delta(members) => {
                call_control.on_membership_changes(now, actions, &exchange_entries(members))
            }
        });
    }

    /// Restores the membership from a snapshot of before a restart. `wall_ms` is the time of day, in milliseconds since
    /// 1970.
    pub fn restore_membership(
        &mut self,
        now: Duration,
        wall_ms: u64,
        transport: &mut dyn Transport,
        text: &[u8],
    ) -> Result<(), String> {
        let (membership, change) = Membership::restore(MembershipLimits::default(), now, wall_ms, text)
            .map_err(|error| error.to_string())?;
        self.membership = membership;
        self.apply_membership_change(now, transport, &change);
        Ok(())
    }

    /// The membership as JSON for [`Exchange::restore_membership`], if there is any.
    pub fn membership_snapshot(&self, now: Duration, wall_ms: u64) -> Option<String> {
        serde_json::to_string(&self.membership.snapshot(now, wall_ms)?).ok()
    }

    // Status and traces.

    /// Traces of the part of a call that was handled here. `origin`: the exchange at which the call was offered; `None`: the
    /// own exchange.
    pub fn traces(&self, origin: Option<u16>, call: u64) -> Vec<CallTrace> {
        match origin.filter(|origin| *origin != self.call_control.own().0) {
            Some(origin) => {
                self.call_control.traces_of(ExchangeNumber(origin), call).map(trace_json).collect()
            }
            None => self.call_control.trace(CallId(call)).into_iter().map(trace_json).collect(),
        }
    }

    pub fn status(&self) -> Value {
        let CallControlStatus { own, counters, calls, pending_answers, timers, traces, groups } =
            self.call_control.status();
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
        let busiest = self.admission.session_limiter.customers_by_calls(10).into_iter();
        let in_hand: Vec<_> =
            busiest.map(|(customer, calls)| json!({ "customer": customer.0, "calls": calls })).collect();
        json!({
            "exchange": own.0, "calls": calls, "owed": pending_answers, "timers": timers, "traces": traces, "lines": self.lines.len(),
            "admission": { "unanswered": self.admission.unanswered(), "waiting": self.admission.waiting(),
                "kept_sessions": self.resumable_sessions.kept_count(), "repeats_told": self.answer_cache.hits(),
                "in_hand": in_hand },
            "roster": { "version": self.membership.version(), "entries": self.membership.members().count(),
                "turned_down": self.membership.rejected_updates() },
            "groups": groups,
            "counts": {
                "offered": counters.offered, "transit": counters.transit, "seizures": counters.seizures, "stood": counters.stood,
                "refused": counters.refused, "failed": counters.failed, "cut": counters.cut, "terminated": counters.terminated,
                "timed_out": counters.timed_out, "dual_seizures": counters.dual_seizures, "yielded": counters.yielded,
                "releases_repeated": counters.releases_repeated, "resets": counters.resets, "stuck_found": counters.stuck_found,
                "unexpected": counters.unexpected, "overflow": counters.overflow,
            },
        })
    }
}

/// The JSON form of a trace, with times in milliseconds since its first step.
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
        left_out: trace.steps_omitted,
        steps: steps.collect(),
    }
}

fn step_json(step: &TraceStep) -> Value {
    let ms = |span: &Duration| span.as_micros() as f64 / 1e3;
    match step {
        TraceStep::Offered { time_left } => json!({ "step": "offered", "left_ms": ms(time_left) }),
        TraceStep::Arrived { from, cic } => json!({ "step": "arrived", "from": from.0, "circuit": cic.0 }),
        TraceStep::Seized { seizure, exchange, to, cic, circuits, limit } => json!({
            "step": "seized", "seizure": seizure.0, "exchange": exchange.0, "to": to.0, "circuit": cic.0,
            "circuits": circuits, "limit_ms": ms(limit),
        }),
        TraceStep::Alerted { seizure } => json!({ "step": "address complete", "seizure": seizure.0 }),
        TraceStep::SeizureEnded { seizure, cause, elapsed } => {
            json!({ "step": "seizure ended", "seizure": seizure.0, "cause": format!("{cause:?}"), "after_ms": ms(elapsed) })
        }
        TraceStep::Stands => json!({ "step": "stands" }),
        TraceStep::StandsHere => json!({ "step": "stands here" }),
        TraceStep::Answered(answer) => json!({ "step": "answered", "answer": final_answer(*answer) }),
        TraceStep::TurnedBack(cause) => json!({ "step": "turned back", "cause": cause.value() }),
        TraceStep::CallerGone(cause) => json!({ "step": "caller gone", "cause": cause.value() }),
        TraceStep::Ended(end) => json!({ "step": "ended", "how": end_reason(*end) }),
    }
}

/// The call request of an offer.
pub fn call_request(offer: &Offer) -> CallRequest {
    CallRequest {
        call_type: CallType(offer.call_type),
        customer: CustomerId(offer.customer),
        dest: ExchangeNumber(offer.dest),
        dialled: DialledNumber(offer.number),
        time_left: Duration::from_millis(offer.time_left_ms.into()),
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

pub fn end_reason(end: CallEnd) -> EndReason {
    match end {
        CallEnd::HungUp => EndReason::HungUp,
        CallEnd::Released => EndReason::Released,
        CallEnd::Cut => EndReason::Cut,
    }
}

/// A processor report with the rate in the thousandths that the signalling carries. A rate that is not a finite number of
/// at least 0 is left out.
pub fn processor_report(rate: Option<f64>) -> ProcessorReport {
    let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    ProcessorReport { rate_milli: rate.map(|rate| (rate * 1e3).min(f64::from(u32::MAX)) as u32) }
}
