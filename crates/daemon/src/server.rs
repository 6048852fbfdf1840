//! The mio loop: sockets, timers and signals around an [`Exchange`], which makes all decisions about calls.

mod links;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mintstall::interface::ExchangeNumber;
use mintstall_callapi::{LineDecoder, RpcError, code, error_text, result_text};
use mintstall_isup::{Deframer, Frame};
use mintstall_limits::{ConnectionMonitor, ConnectionTimeouts, MonitorAction};
use mintstall_websocket::{HandshakeRejection, ServerHandshake, ServerHandshakeState, WebSocketEvent, close};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use rand::Rng;
use serde::Serialize;
use serde_json::{Value, json};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use thiserror::Error;
use tracing::{debug, info, warn};

use crate::config::{Config, ConfigError, read_tokens};
use crate::connections::{
    CLOCK_START, ConnectTarget, Connections, LOG_TARGET, MAX_ADMIN_MESSAGE_OCTETS, Purpose,
};
use crate::exchange::{Exchange, LineOpenError, MAX_MESSAGE_OCTETS};
use crate::link_claims::LinkClaims;

#[derive(Debug, Error)]
pub enum ServerError {
    #[error("{what}: cannot listen on {addr}: {error}")]
    Listen { what: &'static str, addr: SocketAddr, error: io::Error },
    #[error("event loop: {0}")]
    Poll(io::Error),
    #[error(transparent)]
    Tokens(#[from] ConfigError),
}

/// How long an orderly stop waits for unanswered calls, transit calls included. A call whose caller would wait longer
/// fails at this timeout, before its caller's time is over.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a stop waits, after all calls are released, for pending output and for release completes from reachable far
/// ends. T1 is longer: a far end that does not respond in this time is left to its own timers.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Signalling connections that have not identified their exchange yet.
const MAX_UNIDENTIFIED_CONNECTIONS: usize = 64;
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// Connections accepted in a row. An accept storm must not keep open connections waiting.
const MAX_ACCEPTS_AT_ONCE: usize = 64;
const EVENTS_PER_POLL: usize = 1024;
/// Polls in a row before timers run, so that a flood does not keep them from running.
const MAX_POLLS_PER_TURN: usize = 4;
/// Before timers run, what had arrived until this long ago has been read.
const MAX_INPUT_AGE: Duration = Duration::from_millis(10);
const SIGNALS: Token = Token(0);
const LINK_LISTENER: Token = Token(1);
const LINE_LISTENER: Token = Token(2);
const ADMIN_LISTENER: Token = Token(3);
const CALL_LISTENER: Token = Token(4);

/// The reconnect state of a target; `due` is `None` while a connection exists or is being established.
struct Reconnect {
    to: SocketAddr,
    failures: u32,
    due: Option<Instant>,
}

/// The addresses on which a controller listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ListenAddresses {
    pub signalling: Option<SocketAddr>,
    pub subscribers: Option<SocketAddr>,
    pub calls: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
}

/// A controller process: an exchange with its sockets, signals and files.
pub struct Server {
    exchange: Exchange,
    connections: Connections,
    signals: Signals,
    link_listener: Option<TcpListener>,
    line_listener: Option<TcpListener>,
    admin_listener: Option<TcpListener>,
    call_listener: Option<TcpListener>,
    /// Origins of the browser pages that may connect.
    origins: BTreeSet<String>,
    /// Listeners that may have more connections to accept.
    accepting: BTreeSet<Token>,
    reconnects: BTreeMap<ConnectTarget, Reconnect>,
    link_claims: LinkClaims<Token>,
    membership_file: Option<PathBuf>,
    token_file: Option<PathBuf>,
    stopping_since: Option<Instant>,
    /// When the stop released all calls; since then only output and release completes are awaited.
    all_released_at: Option<Instant>,
    /// Read buffer, reused for all connections.
    buffer: Vec<u8>,
}

fn listener(
    poll: &Poll,
    what: &'static str,
    addr: Option<SocketAddr>,
    token: Token,
) -> Result<Option<TcpListener>, ServerError> {
    let Some(addr) = addr else { return Ok(None) };
    let fail = |error| ServerError::Listen { what, addr, error };
    let mut listener = TcpListener::bind(addr).map_err(fail)?;
    poll.registry().register(&mut listener, token, Interest::READABLE).map_err(fail)?;
    Ok(Some(listener))
}

/// The time of day, in milliseconds since 1970.
fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

impl Server {
    /// Opens the listeners of the configuration and reads its files. The configuration must be valid.
    pub fn open(config: &Config) -> Result<Self, ServerError> {
        let poll = Poll::new().map_err(ServerError::Poll)?;
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(ServerError::Poll)?;
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE).map_err(ServerError::Poll)?;
        let link_listener = listener(&poll, "signalling.listen", config.signalling.listen, LINK_LISTENER)?;
        let line_listener = listener(&poll, "subscribers.listen", config.subscribers.listen, LINE_LISTENER)?;
        let admin_listener =
            listener(&poll, "admin.listen", config.admin.as_ref().map(|admin| admin.listen), ADMIN_LISTENER)?;
        let call_listener = listener(&poll, "calls.listen", config.calls.listen, CALL_LISTENER)?;
        let unidentified = ConnectionTimeouts {
            handshake_timeout: IDENTIFICATION_TIMEOUT,
            max_handshakes: MAX_UNIDENTIFIED_CONNECTIONS,
            ..ConnectionTimeouts::default()
        };
        let now = Instant::now();
        let reconnect = |to| Reconnect { to, failures: 0, due: Some(now) };
        let links = config.signalling.links.iter();
        let links = links.filter_map(|link| {
            Some((ConnectTarget::Link(ExchangeNumber(link.to)), reconnect(link.connect?)))
        });
        let directory =
            config.directory.iter().map(|directory| (ConnectTarget::Directory, reconnect(directory.connect)));
        // Milliseconds since 2020 number this start: the number grows with each start, and fits for a century.
        let incarnation = wall_ms().saturating_sub(1_577_836_800_000);
        let seed = config.seed.unwrap_or_else(|| rand::rng().random());
        let mut server = Self {
            exchange: Exchange::new(CLOCK_START, config, incarnation, seed),
            connections: Connections::new(
                poll,
                ConnectionMonitor::new(unidentified),
                ConnectionMonitor::new(config.calls.connection_timeouts()),
                config.calls.most_unread,
            ),
            signals,
            link_listener,
            line_listener,
            admin_listener,
            call_listener,
            origins: config.calls.origins.clone(),
            accepting: BTreeSet::new(),
            reconnects: links.chain(directory).collect(),
            link_claims: LinkClaims::default(),
            membership_file: config.directory.as_ref().and_then(|directory| directory.keep.clone()),
            token_file: config.tokens.clone(),
            stopping_since: None,
            all_released_at: None,
            buffer: vec![0; 64 << 10],
        };
        if let Some(path) = &config.tokens {
            server.exchange.set_tokens(read_tokens(path)?);
        }
        server.load_membership(config);
        Ok(server)
    }

    /// The bound addresses. They differ from the configured ones where port 0 left the choice to the system.
    pub fn addresses(&self) -> ListenAddresses {
        let [signalling, subscribers, calls, admin] =
            [&self.link_listener, &self.line_listener, &self.call_listener, &self.admin_listener]
                .map(|listener| listener.as_ref().and_then(|listener| listener.local_addr().ok()));
        ListenAddresses { signalling, subscribers, calls, admin }
    }

    fn now(&self) -> Duration {
        self.connections.now()
    }

    /// Loads the initial membership: the file of the last run, or all exchanges of the configuration if there is no
    /// directory.
    fn load_membership(&mut self, config: &Config) {
        let now = self.now();
        if config.directory.is_none() {
            let all = config.signalling.links.iter().map(|link| link.to).chain([config.exchange]);
            let entry = |exchange_number: u16| mintstall_membership::MemberEntry {
                exchange: exchange_number.into(),
                exchange_number,
                region: 0,
                status: mintstall_membership::MemberStatus::Ready,
                age_ms: None,
            };
            let update = mintstall_membership::MembershipUpdate {
                version: 1,
                since: None,
                entries: all.map(entry).collect(),
            };
            self.exchange.on_directory_notification(
                now,
                &mut self.connections,
                &mintstall_membership::DirectoryNotification::Membership(update),
            );
        }
        let Some(path) = &self.membership_file else { return };
        match std::fs::read(path) {
            Ok(text) => {
                match self.exchange.restore_membership(now, wall_ms(), &mut self.connections, &text) {
                    Ok(()) => {
                        info!(target: LOG_TARGET, path = %path.display(), "membership of the last run restored")
                    }
                    Err(error) => {
                        warn!(target: LOG_TARGET, path = %path.display(), "cannot restore the membership, waiting for the directory: {error}")
                    }
                }
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => {
                warn!(target: LOG_TARGET, path = %path.display(), "cannot restore the membership, waiting for the directory: {error}")
            }
        }
    }

    /// Runs until SIGTERM or SIGINT, and then until the orderly stop is complete.
    pub fn run(mut self) -> Result<(), ServerError> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        loop {
            let mut timeout = self.poll_timeout();
            // Timers judge by what has been received. All that is ready, and what arrived while the process did not run, is
            // read before them.
            for _ in 0..MAX_POLLS_PER_TURN {
                let polled_at = Instant::now();
                self.poll_and_handle(&mut events, timeout)?;
                if events.iter().count() < EVENTS_PER_POLL && polled_at.elapsed() <= MAX_INPUT_AGE {
                    break;
                }
                self.connections.flush_all();
                timeout = Some(Duration::ZERO);
            }
            let accepting = std::mem::take(&mut self.accepting);
            accepting.into_iter().for_each(|listener| self.accept(listener));
            let now = self.now();
            self.exchange.on_timer(now, &mut self.connections);
            self.start_due_connects();
            self.check_connection_timeouts(now);
            self.grant_due_claims(now);
            self.flush_and_close();
            self.connections.resume_reads();
            if self.is_stop_complete() {
                return Ok(());
            }
        }
    }

    /// Waits for events, and handles them.
    fn poll_and_handle(&mut self, events: &mut Events, timeout: Option<Duration>) -> Result<(), ServerError> {
        match self.connections.poll.poll(events, timeout) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => events.clear(),
            Err(error) => return Err(ServerError::Poll(error)),
        }
        for event in events.iter().filter(|event| event.is_read_closed() || event.is_error()) {
            self.note_departure(event.token());
        }
        for event in events.iter() {
            match event.token() {
                SIGNALS => self.on_signals(),
                listener @ (LINK_LISTENER | LINE_LISTENER | ADMIN_LISTENER | CALL_LISTENER) => {
                    _ = self.accepting.insert(listener)
                }
                token => self.on_ready(token, event.is_readable(), event.is_writable()),
            }
        }
        Ok(())
    }

    fn poll_timeout(&self) -> Option<Duration> {
        let now = self.now();
        let exchange = self.exchange.next_timer().map(|at| at.saturating_sub(now));
        let connect = self.reconnects.values().filter_map(|reconnect| reconnect.due).min();
        let connect = connect.map(|due| due.saturating_duration_since(Instant::now()));
        let monitors = [
            self.connections.unidentified.next_timer(),
            self.connections.clients.next_timer(),
            self.connections.next_stall_check(),
            self.link_claims.next_timer(),
        ];
        let monitor = monitors.into_iter().flatten().min().map(|at| at.saturating_sub(now));
        let stopping = self.stopping_since.map(|_| Duration::from_millis(20));
        let accepting = (!self.accepting.is_empty()).then_some(Duration::ZERO);
        let all = [exchange, connect, monitor, stopping, accepting];
        // 50 us more, since the system's clock otherwise wakes the loop slightly early, before anything is due.
        all.into_iter().flatten().min().map(|wait| wait + Duration::from_micros(50))
    }

    /// Flushes and closes connections until there is nothing left to flush or close: closing one may add output to others.
    fn flush_and_close(&mut self) {
        self.connections.flush_all();
        self.connections.close_stalled();
        while let Some((token, why)) = self.connections.to_close.pop_front() {
            self.on_closed(token, &why);
            self.connections.flush_all();
        }
    }

    fn on_signals(&mut self) {
        let signals: Vec<_> = self.signals.pending().collect();
        if signals.contains(&SIGHUP) {
            self.read_tokens();
        }
        if signals.iter().any(|signal| *signal != SIGHUP) && self.stopping_since.is_none() {
            info!(target: LOG_TARGET, "stopping: refusing new calls, {} calls in progress", self.exchange.call_control.status().calls);
            // Connections that the operating system has accepted are served, since their peers may have sent requests.
            for listener in [LINK_LISTENER, LINE_LISTENER, CALL_LISTENER] {
                self.accept(listener);
            }
            self.exchange.stop(&mut self.connections);
            self.stopping_since = Some(Instant::now());
            (self.link_listener, self.line_listener, self.call_listener) = (None, None, None);
        }
    }

    /// Reads the token file again. If it is invalid, the tokens stay as they are.
    fn read_tokens(&mut self) {
        let Some(path) = &self.token_file else { return };
        match read_tokens(path) {
            Ok(tokens) => {
                info!(target: LOG_TARGET, path = %path.display(), "tokens read");
                self.exchange.set_tokens(tokens);
            }
            Err(error) => {
                warn!(target: LOG_TARGET, "cannot read the tokens, keeping the previous ones: {error}")
            }
        }
    }

    /// Advances an orderly stop; whether all calls are answered and released, and all output is written.
    fn is_stop_complete(&mut self) -> bool {
        let Some(since) = self.stopping_since else { return false };
        let Some(all_released_at) = self.all_released_at else {
            if !self.exchange.call_control.has_unanswered_calls() || since.elapsed() >= STOP_TIMEOUT {
                self.release_all();
            }
            return false;
        };
        let written = self.connections.by_token.values().all(|connection| connection.output.waiting() == 0);
        let released = !self.exchange.call_control.awaits_release();
        if !(written && released) && all_released_at.elapsed() < RELEASE_TIMEOUT {
            return false;
        }
        info!(target: LOG_TARGET, written, released, "stopped");
        true
    }

    fn release_all(&mut self) {
        self.all_released_at = Some(Instant::now());
        let now = self.now();
        self.exchange.release_all(now, &mut self.connections);
        let clients: Vec<Token> = self.connections.lines.values().copied().collect();
        for token in clients {
            if let Some(Purpose::WebSocket { socket, .. }) =
                self.connections.by_token.get_mut(&token).map(|connection| &mut connection.purpose)
            {
                socket.close(close::GOING_AWAY, "the controller stops");
                self.connections.transfer_websocket_output(token);
            }
        }
        self.flush_and_close();
    }

    fn accept(&mut self, listener_token: Token) {
        for _ in 0..MAX_ACCEPTS_AT_ONCE {
            let listener = match listener_token {
                LINK_LISTENER => &self.link_listener,
                LINE_LISTENER => &self.line_listener,
                CALL_LISTENER => &self.call_listener,
                _ => &self.admin_listener,
            };
            let Some(Ok((stream, from))) = listener.as_ref().map(TcpListener::accept) else { return };
            let purpose = match listener_token {
                LINK_LISTENER => Purpose::Unidentified { deframer: Deframer::default(), octets: Vec::new() },
                CALL_LISTENER => Purpose::Handshake(ServerHandshake::default()),
                LINE_LISTENER => match self.exchange.line_open(self.now()) {
                    Ok(line) => Purpose::Line(line),
                    Err(error) => {
                        debug!(target: LOG_TARGET, %from, "line refused: {error}");
                        // Best effort: a client that does not receive it sees the close.
                        let _ = (&stream).write_all(format!("{}\n", error.error_response()).as_bytes());
                        continue;
                    }
                },
                _ if self.connections.admin_connections >= MAX_ADMIN_CONNECTIONS => {
                    warn!(target: LOG_TARGET, %from, "admin connection refused: {MAX_ADMIN_CONNECTIONS} are open");
                    continue;
                }
                _ => Purpose::Admin(LineDecoder::new(MAX_ADMIN_MESSAGE_OCTETS)),
            };
            let line = match purpose {
                Purpose::Line(line) => Some(line),
                _ => None,
            };
            let token = match self.connections.add(stream, purpose) {
                Ok(token) => token,
                Err(error) => {
                    warn!(target: LOG_TARGET, %from, "cannot register the connection: {error}");
                    continue;
                }
            };
            if let Some(line) = line {
                self.connections.lines.insert(line, token);
                debug!(target: LOG_TARGET, %from, line = line.0, "line opened");
            }
            let now = self.now();
            let admitted = match listener_token {
                LINK_LISTENER => self.connections.unidentified.add(now, token),
                CALL_LISTENER => self.connections.clients.add(now, token),
                _ => Ok(()),
            };
            if let Err(error) = admitted {
                debug!(target: LOG_TARGET, %from, "connection refused: {error}");
                if listener_token == CALL_LISTENER {
                    let rejection = HandshakeRejection {
                        retry_after_s: Some(1),
                        ..HandshakeRejection::new(503, error.to_string())
                    };
                    self.connections.push(Some(token), &[&rejection.to_octets()]);
                    self.connections.flush(token);
                }
                self.connections.close(Some(token), &error.to_string());
            }
        }
        self.accepting.insert(listener_token);
    }

    /// Drops signalling connections that do not identify themselves, and pings or drops clients that are idle or do not
    /// complete a handshake or a close.
    fn check_connection_timeouts(&mut self, now: Duration) {
        let mut actions = self.connections.unidentified.on_timer(now);
        actions.extend(self.connections.clients.on_timer(now));
        for action in actions {
            match action {
                MonitorAction::Drop(token, cause) => self.connections.close(Some(token), &cause.to_string()),
                MonitorAction::Ping(token) => {
                    if let Some(Purpose::WebSocket { socket, .. }) =
                        self.connections.by_token.get_mut(&token).map(|connection| &mut connection.purpose)
                    {
                        socket.ping();
                        self.connections.transfer_websocket_output(token);
                    }
                }
            }
        }
    }

    fn on_ready(&mut self, token: Token, readable: bool, writable: bool) {
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
        if let Purpose::Connecting(target) = connection.purpose {
            return self.on_connect_finished(token, target);
        }
        if writable {
            self.connections.flush(token);
        }
        if readable {
            self.read(token);
        }
    }

    /// If a client has closed its connection, tells the exchange before what it sent earlier is read.
    fn note_departure(&mut self, token: Token) {
        let now = self.now();
        let Some(connection) = self.connections.by_token.get(&token) else { return };
        if let Purpose::Line(line) | Purpose::WebSocket { line, .. } = connection.purpose {
            self.exchange.line_left(now, &mut self.connections, line);
        }
    }

    fn read(&mut self, token: Token) {
        // At most 8 reads, so that a connection that always has data does not keep the others waiting.
        for _ in 0..8 {
            if !self.connections.may_read(token) {
                return self.connections.pause_reads(token);
            }
            let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
            let mut buffer = std::mem::take(&mut self.buffer);
            let max_octets = connection.purpose.max_read_octets().min(buffer.len());
            let more = match connection.stream.read(&mut buffer[..max_octets]) {
                Ok(0) => Err("closed by the far end".to_string()),
                Ok(count) => {
                    self.on_octets(token, &buffer[..count]);
                    // The buffer was not filled: nothing more is there now, and mio reports new data.
                    Ok(count == max_octets)
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(true),
                Err(error) => Err(error.to_string()),
            };
            self.buffer = buffer;
            match more {
                Ok(true) => {}
                Ok(false) => return,
                Err(why) => return self.connections.close(Some(token), &why),
            }
        }
        // More may wait.
        self.connections.register_again(token);
    }

    fn on_octets(&mut self, token: Token, octets: &[u8]) {
        let now = self.now();
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
        match &mut connection.purpose {
            Purpose::Link(from) => {
                let from = *from;
                if let Some(refused) = self.link_claims.on_link_heard(from) {
                    warn!(target: LOG_TARGET, exchange = from.0, "another connection that names the exchange is closed: the link works");
                    self.connections.close(Some(refused), "the exchange has a link that works");
                }
                self.exchange.link_octets(now, &mut self.connections, from, octets);
            }
            Purpose::Line(line) => {
                let line = *line;
                self.exchange.line_octets(now, &mut self.connections, line, octets);
            }
            Purpose::Directory => match self.exchange.directory_octets(now, &mut self.connections, octets) {
                Ok(true) => self.save_membership(now),
                Ok(false) => {}
                Err(why) => self.connections.close(Some(token), &why),
            },
            Purpose::Handshake(handshake) => match handshake.push(octets, &self.origins) {
                ServerHandshakeState::Incomplete => {}
                ServerHandshakeState::Rejected(rejection) => self.reject_handshake(token, &rejection),
                ServerHandshakeState::Valid(request) => match self.exchange.line_open(now) {
                    Ok(line) => {
                        debug!(target: LOG_TARGET, line = line.0, "line opened");
                        connection.purpose =
                            Purpose::WebSocket { line, socket: Box::new(request.accept(MAX_MESSAGE_OCTETS)) };
                        self.connections.lines.insert(line, token);
                        self.connections.clients.on_open(now, token);
                        self.client_octets(now, token, &[]);
                    }
                    Err(error) => {
                        let retry_after_s = match error {
                            LineOpenError::RateLimited(wait) => wait.as_secs() + 1,
                            LineOpenError::Full(_) => 2,
                        };
                        let rejection = HandshakeRejection {
                            retry_after_s: Some(retry_after_s),
                            ..HandshakeRejection::new(503, error.to_string())
                        };
                        self.reject_handshake(token, &rejection);
                    }
                },
            },
            Purpose::WebSocket { .. } => self.client_octets(now, token, octets),
            Purpose::Closing | Purpose::WaitingLink(_) => {}
            Purpose::Unidentified { deframer, octets: received } => {
                received.extend_from_slice(octets);
                deframer.push(octets);
                let asp = match deframer.next().map(|frame| frame.map(Frame::read)) {
                    Ok(None) => return,
                    Ok(Some(Ok(Frame::AspUp { asp: Some(asp) }))) => {
                        u16::try_from(asp).ok().map(ExchangeNumber)
                    }
                    _ => None,
                };
                let received = std::mem::take(received);
                let linked = asp.filter(|asp| {
                    self.exchange.call_control.status().groups.iter().any(|group| group.to == *asp)
                });
                let Some(from) = linked else {
                    return self.connections.close(
                        Some(token),
                        "the first message does not name an exchange that has a link here",
                    );
                };
                self.on_link_named(token, from, received);
            }
            Purpose::Admin(decoder) => {
                decoder.push(octets);
                let mut replies = Vec::new();
                let error = loop {
                    match decoder.next() {
                        Ok(Some(text)) => {
                            replies.push(admin_reply(&self.exchange, text, self.connections.started))
                        }
                        Ok(None) => break None,
                        Err(error) => break Some(error.to_string()),
                    }
                };
                for reply in replies {
                    self.connections.push(Some(token), &[reply.as_bytes(), b"\n"]);
                }
                error.iter().for_each(|why| self.connections.close(Some(token), why));
            }
            Purpose::Connecting(_) => {}
        }
    }

    /// Handles octets of a client over WebSocket.
    fn client_octets(&mut self, now: Duration, token: Token, octets: &[u8]) {
        self.connections.clients.on_received(now, token);
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
        let Purpose::WebSocket { line, socket } = &mut connection.purpose else { return };
        let line = *line;
        // The messages of one read at most. They are handled after the loop, when this connection is not borrowed any more.
        let mut texts = Vec::new();
        socket.on_octets(octets, &mut |event| match event {
            WebSocketEvent::Text(text) => texts.push(text),
            WebSocketEvent::PingOrPong => {}
        });
        // A close by the client ends the session and its calls, resumable or not.
        let is_over =
            socket.close_info().is_some_and(|ended| ended.by_far_end && ended.code == close::NORMAL);
        if is_over {
            texts.clear();
        }
        for text in texts {
            self.exchange.line_message(now, &mut self.connections, line, text.as_bytes());
        }
        self.connections.transfer_websocket_output(token);
    }

    fn reject_handshake(&mut self, token: Token, rejection: &HandshakeRejection) {
        debug!(target: LOG_TARGET, status = rejection.status, "client rejected: {}", rejection.reason);
        if let Some(connection) = self.connections.by_token.get_mut(&token) {
            connection.purpose = Purpose::Closing;
            connection.output.push_last(&rejection.to_octets());
            self.connections.close_after_flush(token);
        }
    }

    /// Saves the membership. The file is written under another name and renamed, so that a partly written file never
    /// replaces a valid one.
    fn save_membership(&mut self, now: Duration) {
        let (Some(path), Some(text)) =
            (&self.membership_file, self.exchange.membership_snapshot(now, wall_ms()))
        else {
            return;
        };
        let new_path = path.with_extension("new");
        if let Err(error) = std::fs::write(&new_path, text).and_then(|()| std::fs::rename(&new_path, path)) {
            warn!(target: LOG_TARGET, path = %path.display(), "cannot save the membership: {error}");
        }
    }

    /// Removes a closed connection: notifies the exchange, and schedules the reconnect of an outgoing connection.
    fn on_closed(&mut self, token: Token, why: &str) {
        let Some(connection) = self.connections.remove(token) else { return };
        let now = self.now();
        self.link_claims.remove(token);
        match connection.purpose {
            Purpose::Connecting(target) => self.schedule_reconnect(target),
            Purpose::Link(to) => {
                if self.connections.links.get(&to) == Some(&token) {
                    self.connections.links.remove(&to);
                    info!(target: LOG_TARGET, exchange = to.0, "link lost: {why}");
                    self.exchange.link_down(now, &mut self.connections, to);
                    self.reconnects
                        .entry(ConnectTarget::Link(to))
                        .and_modify(|reconnect| reconnect.failures = 0);
                    match self.link_claims.on_link_lost(to) {
                        Some(claim) => self.grant_claim(to, claim),
                        None => self.schedule_reconnect(ConnectTarget::Link(to)),
                    }
                }
            }
            Purpose::WebSocket { line, socket } => {
                self.connections.lines.remove(&line);
                let why = socket.close_info().map_or(why, |ended| ended.reason.as_str());
                debug!(target: LOG_TARGET, line = line.0, code = socket.close_info().map(|ended| ended.code), "line closed: {why}");
                match socket.close_info() {
                    Some(ended) if ended.by_far_end && ended.code == close::NORMAL => {
                        self.exchange.line_closed_by_client(now, &mut self.connections, line);
                    }
                    _ => self.exchange.line_disconnected(now, &mut self.connections, line),
                }
            }
            Purpose::Handshake(_) => {
                debug!(target: LOG_TARGET, "client connection closed during its handshake: {why}")
            }
            Purpose::Closing => {}
            Purpose::WaitingLink(from) => {
                info!(target: LOG_TARGET, exchange = from.0, "connection that waited to become the link closed: {why}");
            }
            Purpose::Line(line) => {
                self.connections.lines.remove(&line);
                debug!(target: LOG_TARGET, line = line.0, "line closed: {why}");
                self.exchange.line_disconnected(now, &mut self.connections, line);
            }
            Purpose::Directory => {
                self.connections.directory = None;
                warn!(target: LOG_TARGET, "connection to the directory lost, keeping the last membership: {why}");
                self.schedule_reconnect(ConnectTarget::Directory);
            }
            Purpose::Unidentified { .. } => {
                warn!(target: LOG_TARGET, "unidentified connection on the signalling port closed: {why}")
            }
            Purpose::Admin(_) => self.connections.admin_connections -= 1,
        }
    }
}

fn admin_reply(exchange: &Exchange, text: &[u8], started: Instant) -> String {
    let parsed: Result<Value, _> = serde_json::from_slice(text);
    let request = match parsed {
        Ok(request) => request,
        Err(error) => return error_text(&Value::Null, &RpcError::new(code::PARSE, error.to_string())),
    };
    let id = request.get("id").cloned().unwrap_or(Value::Null);
    if let Err(denied) = exchange.check_admin_token(request["token"].as_str()) {
        return error_text(&id, &RpcError::new(code::DENIED, denied.to_string()));
    }
    match request["method"].as_str() {
        Some("status") => {
            let mut status = exchange.status();
            status["up_ms"] = json!(started.elapsed().as_millis() as u64);
            result_text(&id, status)
        }
        Some("trace") => {
            let params = &request["params"];
            let origin = params["origin"].as_u64().map(|origin| u16::try_from(origin).unwrap_or(u16::MAX));
            match params["call"].as_u64() {
                Some(call) => result_text(&id, exchange.traces(origin, call)),
                None => error_text(&id, &RpcError::new(code::INVALID_PARAMS, "params.call is no number")),
            }
        }
        Some(method) => {
            error_text(&id, &RpcError::new(code::NO_SUCH_METHOD, format!("no method {method:?}")))
        }
        None => error_text(&id, &RpcError::new(code::INVALID_REQUEST, "method is missing")),
    }
}
