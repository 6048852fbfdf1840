//! The mio loop: sockets, timers and signals around an [`Exchange`]. It decides nothing about calls.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mintstall::interface::ExchangeNumber;
use mintstall_callapi::{LineDecoder, RpcError, code, error_text, result_text};
use mintstall_isup::{Deframer, Frame};
use mintstall_limits::{ConnectionMonitor, ConnectionTimeouts, MonitorAction};
use mintstall_websocket::{
    HandshakeRejection, ServerHandshake, ServerHandshakeState, WebSocketConnection, WebSocketEvent, close,
};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use rand::Rng;
use serde::Serialize;
use serde_json::{Value, json};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use thiserror::Error;
use tracing::{debug, info, warn};

use crate::config::{Config, ConfigError, read_tokens};
use crate::exchange::{Exchange, LineId, LineOpenError, MAX_MESSAGE_OCTETS, Transport};
use crate::output_buffer::OutputBuffer;

/// Log target of this module. Operators filter by it, so it does not follow the module path.
const LOG_TARGET: &str = "mintstall_daemon::shell";

#[derive(Debug, Error)]
pub enum ServerError {
    #[error("{what} {addr}: {error}")]
    Listen { what: &'static str, addr: SocketAddr, error: io::Error },
    #[error("no event loop: {0}")]
    Poll(io::Error),
    #[error(transparent)]
    Tokens(#[from] ConfigError),
}

/// The clock starts an hour in: processors that started before this process are told by their age.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// An orderly stop gives calls that wait for an answer so long, those in transit too. A call whose caller would wait
/// longer than that fails then, before its caller's time.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// After the last call is let go, what is still to be written and to be completed by far ends that can be reached gets
/// this long. T1 is longer: a far end that does not answer in this time is left to its own timers.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections that have not said which exchange they are.
const MAX_UNIDENTIFIED_CONNECTIONS: usize = 64;
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// Connections accepted before others are served again: an accept storm must not keep those that are open waiting.
const MAX_ACCEPTS_AT_ONCE: usize = 64;
/// A reconnect waits a draw from half of this, doubled with each failure up to the last.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);
const MAX_ADMIN_MESSAGE_OCTETS: usize = 4096;

const SIGNALS: Token = Token(0);
const LINK_LISTENER: Token = Token(1);
const LINE_LISTENER: Token = Token(2);
const ADMIN_LISTENER: Token = Token(3);
const CALL_LISTENER: Token = Token(4);
const FIRST_CONNECTION: usize = 16;

/// What a connection is for.
enum Purpose {
    /// ConnectTarget, not connected yet.
    Connecting(ConnectTarget),
    Link(ExchangeNumber),
    /// Came in on the signalling port and has not said who it is.
    Unidentified {
        deframer: Deframer,
        octets: Vec<u8>,
    },
    Line(LineId),
    /// Came in for calls, its handshake not whole yet.
    Handshake(ServerHandshake),
    /// A line over WebSocket.
    WebSocket {
        line: LineId,
        socket: Box<WebSocketConnection>,
    },
    /// Told why it is closed; it goes once that is written.
    Closing,
    Directory,
    Admin(LineDecoder),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectTarget {
    Link(ExchangeNumber),
    Directory,
}

struct Connection {
    stream: TcpStream,
    purpose: Purpose,
    output: OutputBuffer,
    /// Whether it is registered for write_state too.
    write_state: WriteState,
    /// It goes once what waits is written.
    close_after_flush: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteState {
    Idle,
    Blocked,
}

/// Who is target, where, and when next.
struct Reconnect {
    to: SocketAddr,
    failures: u32,
    due: Option<Instant>,
}

/// All connections; what the exchange acts through.
struct Connections {
    poll: Poll,
    by_token: BTreeMap<Token, Connection>,
    links: BTreeMap<ExchangeNumber, Token>,
    lines: BTreeMap<LineId, Token>,
    directory: Option<Token>,
    /// Who has not said which exchange it is; clients over WebSocket.
    unidentified: ConnectionMonitor<Token>,
    clients: ConnectionMonitor<Token>,
    admin_connections: usize,
    max_unread_octets: usize,
    started: Instant,
    /// Connections with something to write, and those to be closed, with the reason.
    unflushed: Vec<Token>,
    to_close: VecDeque<(Token, String)>,
    next_token: usize,
}

impl Connections {
    fn now(&self) -> Duration {
        CLOCK_START + self.started.elapsed()
    }

    fn push(&mut self, token: Option<Token>, parts: &[&[u8]]) {
        let Some((token, connection)) = token.and_then(|token| Some((token, self.by_token.get_mut(&token)?)))
        else {
            return;
        };
        parts.iter().for_each(|part| connection.output.push(part));
        self.unflushed.push(token);
    }

    fn close(&mut self, token: Option<Token>, why: &str) {
        self.to_close.extend(token.map(|token| (token, why.to_string())));
    }

    /// What a WebSocket end has to write is written, and the connection goes once it has ended.
    fn transfer_websocket_output(&mut self, token: Token) {
        let now = self.now();
        let Some(connection) = self.by_token.get_mut(&token) else { return };
        let Purpose::WebSocket { socket, .. } = &mut connection.purpose else { return };
        let out = std::mem::take(socket.out());
        match socket.ended().is_some() || socket.closing() && !connection.output.last_pushed() {
            true => connection.output.push_last(&out),
            false => connection.output.push(&out),
        }
        if connection.output.overrun() {
            socket.close(close::POLICY, "reads too slowly");
            connection.output.push_last(socket.out());
            socket.out().clear();
        }
        if socket.closing() {
            self.clients.closing(now, token);
        }
        if socket.ended().is_some() {
            self.close_after_flush(token);
        }
        self.unflushed.push(token);
    }

    /// The connection goes once what waits is written; nothing is read any more.
    fn close_after_flush(&mut self, token: Token) {
        let now = self.now();
        self.clients.closing(now, token);
        let Some(connection) = self.by_token.get_mut(&token) else { return };
        connection.close_after_flush = true;
        self.unflushed.push(token);
    }

    fn add(&mut self, mut stream: TcpStream, purpose: Purpose) -> io::Result<Token> {
        let token = Token(self.next_token);
        self.next_token += 1;
        // Small messages must not wait for each other; where it can't be set, they do.
        let _ = stream.set_nodelay(true);
        let connecting = matches!(purpose, Purpose::Connecting(_));
        let interest = if connecting { Interest::WRITABLE } else { Interest::READABLE };
        self.poll.registry().register(&mut stream, token, interest)?;
        let write_state = WriteState::Idle;
        let output = match purpose {
            Purpose::Handshake(_) => OutputBuffer::new(self.max_unread_octets),
            _ => OutputBuffer::default(),
        };
        self.admin_connections += usize::from(matches!(purpose, Purpose::Admin(_)));
        self.by_token
            .insert(token, Connection { stream, purpose, output, write_state, close_after_flush: false });
        Ok(token)
    }

    /// Writes what waits, and has the rest waited for.
    fn flush(&mut self, token: Token) {
        let Some(connection) = self.by_token.get_mut(&token) else { return };
        if matches!(connection.purpose, Purpose::Connecting(_)) {
            return;
        }
        if connection.output.overrun() {
            return self.close(Some(token), "reads too slowly");
        }
        let write_state = match connection.output.write_to(&mut connection.stream) {
            Ok(true) if connection.close_after_flush => return self.close(Some(token), "told to go"),
            Ok(true) => WriteState::Idle,
            Ok(false) => WriteState::Blocked,
            Err(error) => return self.close(Some(token), &error.to_string()),
        };
        if std::mem::replace(&mut connection.write_state, write_state) != write_state {
            let interest = match write_state {
                WriteState::Idle => Interest::READABLE,
                WriteState::Blocked => Interest::READABLE | Interest::WRITABLE,
            };
            if let Err(error) = self.poll.registry().reregister(&mut connection.stream, token, interest) {
                self.close(Some(token), &error.to_string());
            }
        }
    }

    fn flush_all(&mut self) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        unflushed.drain(..).for_each(|token| self.flush(token));
        // Kept for its room.
        if self.unflushed.is_empty() {
            self.unflushed = unflushed;
        }
    }
}

impl Transport for Connections {
    fn send_to_link(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.push(self.links.get(&to).copied(), &[octets]);
    }
    fn close_link(&mut self, to: ExchangeNumber, why: &str) {
        self.close(self.links.get(&to).copied(), why);
    }
    fn send_to_line(&mut self, line: LineId, text: &str) {
        let Some(token) = self.lines.get(&line).copied() else { return };
        match self.by_token.get_mut(&token).map(|connection| &mut connection.purpose) {
            Some(Purpose::WebSocket { socket, .. }) => {
                socket.send_text(text);
                self.transfer_websocket_output(token);
            }
            _ => self.push(Some(token), &[text.as_bytes(), b"\n"]),
        }
    }
    fn close_line(&mut self, line: LineId, why: &str) {
        let Some(token) = self.lines.get(&line).copied() else { return };
        match self.by_token.get_mut(&token).map(|connection| &mut connection.purpose) {
            Some(Purpose::WebSocket { socket, .. }) => {
                socket.close(close::POLICY, why);
                self.transfer_websocket_output(token);
            }
            _ => self.close(Some(token), why),
        }
    }
    fn has_room(&self, line: LineId) -> bool {
        const ROOM: usize = 64 << 10;
        let connection = self.lines.get(&line).and_then(|token| self.by_token.get(token));
        connection.is_some_and(|connection| connection.output.waiting() < ROOM)
    }
    fn send_to_directory(&mut self, text: &str) {
        self.push(self.directory, &[text.as_bytes(), b"\n"]);
    }
    fn log_info(&mut self, line: &str) {
        info!(target: "mintstall::mode", "{line}");
    }
}

/// Where a controller is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ListenAddresses {
    pub signalling: Option<SocketAddr>,
    pub subscribers: Option<SocketAddr>,
    pub calls: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
}

/// A controller with its sockets.
pub struct Server {
    exchange: Exchange,
    connections: Connections,
    signals: Signals,
    link_listener: Option<TcpListener>,
    line_listener: Option<TcpListener>,
    admin_listener: Option<TcpListener>,
    call_listener: Option<TcpListener>,
    /// Pages that may ask for calls.
    origins: BTreeSet<String>,
    /// Listeners with more to accept than was accepted in one turn.
    accepting: BTreeSet<Token>,
    reconnects: BTreeMap<ConnectTarget, Reconnect>,
    membership_file: Option<PathBuf>,
    token_file: Option<PathBuf>,
    stopping_since: Option<Instant>,
    /// Since when nothing is left but releases to be completed.
    all_released_at: Option<Instant>,
    /// Read buffer, kept for its room.
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

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

impl Server {
    /// Opens all that the configuration names. The configuration has no faults.
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
        // Milliseconds since 2020 as the number of this start: it grows, and fits for a century.
        let incarnation = wall_ms().saturating_sub(1_577_836_800_000);
        let seed = config.seed.unwrap_or_else(|| rand::rng().random());
        let mut server = Self {
            exchange: Exchange::new(CLOCK_START, config, incarnation, seed),
            connections: Connections {
                poll,
                by_token: BTreeMap::new(),
                links: BTreeMap::new(),
                lines: BTreeMap::new(),
                directory: None,
                unidentified: ConnectionMonitor::new(unidentified),
                clients: ConnectionMonitor::new(config.calls.connection_timeouts()),
                admin_connections: 0,
                max_unread_octets: config.calls.most_unread,
                started: now,
                unflushed: Vec::new(),
                to_close: VecDeque::new(),
                next_token: FIRST_CONNECTION,
            },
            signals,
            link_listener,
            line_listener,
            admin_listener,
            call_listener,
            origins: config.calls.origins.clone(),
            accepting: BTreeSet::new(),
            reconnects: links.chain(directory).collect(),
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

    /// Where the subscriber lines and the admin port ended up, where they were left to the machine.
    pub fn addresses(&self) -> ListenAddresses {
        let [signalling, subscribers, calls, admin] =
            [&self.link_listener, &self.line_listener, &self.call_listener, &self.admin_listener]
                .map(|listener| listener.as_ref().and_then(|listener| listener.local_addr().ok()));
        ListenAddresses { signalling, subscribers, calls, admin }
    }

    fn now(&self) -> Duration {
        self.connections.now()
    }

    /// The roster of the last time, or all that the configuration links to where no directory speaks.
    fn load_membership(&mut self, config: &Config) {
        let now = self.now();
        if config.directory.is_none() {
            let all = config.signalling.links.iter().map(|link| link.to).chain([config.exchange]);
            let entry = |office: u16| mintstall_membership::MemberEntry {
                exchange: office.into(),
                office,
                region: 0,
                status: mintstall_membership::MemberStatus::Ready,
                age_ms: None,
            };
            let news = mintstall_membership::MembershipUpdate {
                version: 1,
                since: None,
                entries: all.map(entry).collect(),
            };
            self.exchange.on_directory_notification(
                now,
                &mut self.connections,
                &mintstall_membership::DirectoryNotification::Membership(news),
            );
        }
        let Some(path) = &self.membership_file else { return };
        match std::fs::read(path) {
            Ok(text) => {
                match self.exchange.restore_membership(now, wall_ms(), &mut self.connections, &text) {
                    Ok(()) => info!(target: LOG_TARGET, path = %path.display(), "roster of before taken"),
                    Err(error) => {
                        warn!(target: LOG_TARGET, path = %path.display(), "{error}; waiting for the directory")
                    }
                }
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => {
                warn!(target: LOG_TARGET, path = %path.display(), "{error}; waiting for the directory")
            }
        }
    }

    /// Runs until it is told to stop and has answered all it took.
    pub fn run(mut self) -> Result<(), ServerError> {
        let mut events = Events::with_capacity(1024);
        loop {
            let wait = self.poll_timeout();
            match self.connections.poll.poll(&mut events, wait) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(ServerError::Poll(error)),
            }
            for event in &events {
                match event.token() {
                    SIGNALS => self.on_signals(),
                    on @ (LINK_LISTENER | LINE_LISTENER | ADMIN_LISTENER | CALL_LISTENER) => {
                        _ = self.accepting.insert(on)
                    }
                    token => self.on_ready(token, event.is_readable(), event.is_writable()),
                }
            }
            let accepting = std::mem::take(&mut self.accepting);
            accepting.into_iter().for_each(|on| self.accept(on));
            let now = self.now();
            self.exchange.on_timer(now, &mut self.connections);
            self.start_due_connects();
            self.check_connection_timeouts(now);
            self.flush_and_close();
            if self.stopped() {
                return Ok(());
            }
        }
    }

    fn poll_timeout(&self) -> Option<Duration> {
        let now = self.now();
        let alarm = self.exchange.next_timer().map(|at| at.saturating_sub(now));
        let dial = self.reconnects.values().filter_map(|reconnect| reconnect.due).min();
        let dial = dial.map(|due| due.saturating_duration_since(Instant::now()));
        let vigils = [self.connections.unidentified.next_timer(), self.connections.clients.next_timer()];
        let vigil = vigils.into_iter().flatten().min().map(|at| at.saturating_sub(now));
        let stopping = self.stopping_since.map(|_| Duration::from_millis(20));
        let accepting = (!self.accepting.is_empty()).then_some(Duration::ZERO);
        let all = [alarm, dial, vigil, stopping, accepting];
        // Rounded up: the machine's clock wakes a shade early otherwise, and finds nothing due.
        all.into_iter().flatten().min().map(|wait| wait + Duration::from_micros(50))
    }

    /// Writes and closes until neither leaves anything to do.
    fn flush_and_close(&mut self) {
        self.connections.flush_all();
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
            info!(target: LOG_TARGET, "stopping: no new calls, {} in hand", self.exchange.call_control.state().calls);
            self.exchange.stop(&mut self.connections);
            self.stopping_since = Some(Instant::now());
            (self.link_listener, self.line_listener, self.call_listener) = (None, None, None);
        }
    }

    /// The tokens as their file has them now; a file that makes no sense leaves those in force.
    fn read_tokens(&mut self) {
        let Some(path) = &self.token_file else { return };
        match read_tokens(path) {
            Ok(tokens) => {
                info!(target: LOG_TARGET, path = %path.display(), "tokens read");
                self.exchange.set_tokens(tokens);
            }
            Err(error) => warn!(target: LOG_TARGET, "{error}; the tokens of before stay in force"),
        }
    }

    /// Whether all that was taken is answered, let go, completed and written.
    fn stopped(&mut self) -> bool {
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

    fn accept(&mut self, on: Token) {
        for _ in 0..MAX_ACCEPTS_AT_ONCE {
            let listener = match on {
                LINK_LISTENER => &self.link_listener,
                LINE_LISTENER => &self.line_listener,
                CALL_LISTENER => &self.call_listener,
                _ => &self.admin_listener,
            };
            let Some(Ok((stream, from))) = listener.as_ref().map(TcpListener::accept) else { return };
            let purpose = match on {
                LINK_LISTENER => Purpose::Unidentified { deframer: Deframer::default(), octets: Vec::new() },
                CALL_LISTENER => Purpose::Handshake(ServerHandshake::default()),
                LINE_LISTENER => match self.exchange.line_open(self.now()) {
                    Ok(line) => Purpose::Line(line),
                    Err(why) => {
                        debug!(target: LOG_TARGET, %from, "line turned away: {why}");
                        // Best effort: whoever does not read it sees the close.
                        let _ = (&stream).write_all(format!("{}\n", why.error_response()).as_bytes());
                        continue;
                    }
                },
                _ if self.connections.admin_connections >= MAX_ADMIN_CONNECTIONS => {
                    warn!(target: LOG_TARGET, %from, "connection turned away: {MAX_ADMIN_CONNECTIONS} there already");
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
                    warn!(target: LOG_TARGET, %from, "connection can't be watched: {error}");
                    continue;
                }
            };
            if let Some(line) = line {
                self.connections.lines.insert(line, token);
                debug!(target: LOG_TARGET, %from, line = line.0, "line open");
            }
            let now = self.now();
            let came = match on {
                LINK_LISTENER => self.connections.unidentified.came(now, token),
                CALL_LISTENER => self.connections.clients.came(now, token),
                _ => Ok(()),
            };
            if let Err(why) = came {
                debug!(target: LOG_TARGET, %from, "connection turned away: {why}");
                if on == CALL_LISTENER {
                    let busy = HandshakeRejection {
                        retry_after_s: Some(1),
                        ..HandshakeRejection::new(503, why.to_string())
                    };
                    self.connections.push(Some(token), &[&busy.octets()]);
                    self.connections.flush(token);
                }
                self.connections.close(Some(token), &why.to_string());
            }
        }
        self.accepting.insert(on);
    }

    /// Connections that never say who they are, clients that fall silent or do not close.
    fn check_connection_timeouts(&mut self, now: Duration) {
        let mut due = self.connections.unidentified.on_timer(now);
        due.extend(self.connections.clients.on_timer(now));
        for due in due {
            match due {
                MonitorAction::Drop(token, lapse) => self.connections.close(Some(token), &lapse.to_string()),
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

    fn start_due_connects(&mut self) {
        let now = Instant::now();
        let due =
            self.reconnects.iter_mut().filter(|(_, reconnect)| reconnect.due.is_some_and(|due| due <= now));
        let due: Vec<_> =
            due.map(|(target, reconnect)| (*target, reconnect.due.take().map(|_| reconnect.to))).collect();
        for (target, to) in due {
            let Some(to) = to else { continue };
            let tried = TcpStream::connect(to)
                .and_then(|stream| self.connections.add(stream, Purpose::Connecting(target)));
            if let Err(error) = tried {
                debug!(target: LOG_TARGET, dialled = ?target, %to, "can't connect: {error}");
                self.schedule_reconnect(target);
            }
        }
    }

    fn schedule_reconnect(&mut self, target: ConnectTarget) {
        if let Some(reconnect) = self.reconnects.get_mut(&target) {
            let span =
                MIN_RECONNECT_DELAY.saturating_mul(1 << reconnect.failures.min(8)).min(MAX_RECONNECT_DELAY);
            reconnect.failures = reconnect.failures.saturating_add(1);
            reconnect.due = Some(Instant::now() + span.mul_f64(rand::rng().random_range(0.5..1.0)));
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

    /// A connection that was target is there, or has failed.
    fn on_connect_finished(&mut self, token: Token, target: ConnectTarget) {
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
        let error = connection.stream.take_error().ok().flatten();
        if error.is_some() || connection.stream.peer_addr().is_err() {
            if error.is_some() {
                self.connections.close(Some(token), "can't connect");
            }
            return;
        }
        connection.purpose = match target {
            ConnectTarget::Link(to) => Purpose::Link(to),
            ConnectTarget::Directory => Purpose::Directory,
        };
        if let Err(error) =
            self.connections.poll.registry().reregister(&mut connection.stream, token, Interest::READABLE)
        {
            return self.connections.close(Some(token), &error.to_string());
        }
        match target {
            ConnectTarget::Link(to) => self.on_link_connected(token, to),
            ConnectTarget::Directory => {
                self.connections.directory = Some(token);
                info!(target: LOG_TARGET, "directory connected");
                self.exchange.directory_connected(&mut self.connections);
            }
        }
    }

    fn on_link_connected(&mut self, token: Token, to: ExchangeNumber) {
        let now = self.now();
        // The far end may come back before its old connection is known to be dead.
        if let Some(before) = self.connections.links.insert(to, token) {
            self.exchange.link_down(now, &mut self.connections, to);
            self.connections.close(Some(before), "replaced by a newer connection");
        }
        self.exchange.link_up(now, &mut self.connections, to);
    }

    fn read(&mut self, token: Token) {
        // Bounded, so that one connection that never pauses does not keep the others waiting.
        for _ in 0..8 {
            let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
            let mut buffer = std::mem::take(&mut self.buffer);
            let more = match connection.stream.read(&mut buffer) {
                Ok(0) => Err("closed by the far end".to_string()),
                Ok(count) => {
                    self.on_octets(token, &buffer[..count]);
                    // Less than there was room for: nothing more is there, and what comes is told anew.
                    Ok(count == buffer.len())
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
        // More waits: asks to be told again.
        if let Some(connection) = self.connections.by_token.get_mut(&token) {
            let interest = match connection.write_state {
                WriteState::Idle => Interest::READABLE,
                WriteState::Blocked => Interest::READABLE | Interest::WRITABLE,
            };
            let again = self.connections.poll.registry().reregister(&mut connection.stream, token, interest);
            again.err().into_iter().for_each(|error| self.connections.close(Some(token), &error.to_string()));
        }
    }

    fn on_octets(&mut self, token: Token, octets: &[u8]) {
        let now = self.now();
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
        match &mut connection.purpose {
            Purpose::Link(from) => {
                let from = *from;
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
                ServerHandshakeState::Rejected(why) => self.reject_handshake(token, &why),
                ServerHandshakeState::Valid(request) => match self.exchange.line_open(now) {
                    Ok(line) => {
                        debug!(target: LOG_TARGET, line = line.0, "line open");
                        connection.purpose =
                            Purpose::WebSocket { line, socket: Box::new(request.accept(MAX_MESSAGE_OCTETS)) };
                        self.connections.lines.insert(line, token);
                        self.connections.clients.opened(now, token);
                        self.client_octets(now, token, &[]);
                    }
                    Err(why) => {
                        let wait = match why {
                            LineOpenError::RateLimited(wait) => wait.as_secs() + 1,
                            LineOpenError::Full(_) => 2,
                        };
                        let busy = HandshakeRejection {
                            retry_after_s: Some(wait),
                            ..HandshakeRejection::new(503, why.to_string())
                        };
                        self.reject_handshake(token, &busy);
                    }
                },
            },
            Purpose::WebSocket { .. } => self.client_octets(now, token, octets),
            Purpose::Closing => {}
            Purpose::Unidentified { deframer, octets: held } => {
                held.extend_from_slice(octets);
                deframer.push(octets);
                let asp = match deframer.next().map(|frame| frame.map(Frame::read)) {
                    Ok(None) => return,
                    Ok(Some(Ok(Frame::AspUp { asp: Some(asp) }))) => {
                        u16::try_from(asp).ok().map(ExchangeNumber)
                    }
                    _ => None,
                };
                let held = std::mem::take(held);
                let known = asp.filter(|asp| {
                    self.exchange.call_control.state().groups.iter().any(|group| group.to == *asp)
                });
                let Some(from) = known else {
                    return self
                        .connections
                        .close(Some(token), "does not say which exchange it is, or none with a link here");
                };
                connection.purpose = Purpose::Link(from);
                self.connections.unidentified.gone(token);
                self.on_link_connected(token, from);
                self.exchange.link_octets(now, &mut self.connections, from, &held);
            }
            Purpose::Admin(decoder) => {
                decoder.push(octets);
                let mut replies = Vec::new();
                let fault = loop {
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
                fault.iter().for_each(|why| self.connections.close(Some(token), why));
            }
            Purpose::Connecting(_) => {}
        }
    }

    /// Octets of a client over WebSocket.
    fn client_octets(&mut self, now: Duration, token: Token, octets: &[u8]) {
        self.connections.clients.heard(now, token);
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
        let Purpose::WebSocket { line, socket } = &mut connection.purpose else { return };
        let line = *line;
        // At most what was read in one go: what is asked is acted on once this connection is not held any more.
        let mut texts = Vec::new();
        socket.on_octets(octets, &mut |event| match event {
            WebSocketEvent::Text(text) => texts.push(text),
            WebSocketEvent::PingOrPong => {}
        });
        for text in texts {
            self.exchange.line_text(now, &mut self.connections, line, text.as_bytes());
        }
        self.connections.transfer_websocket_output(token);
    }

    fn reject_handshake(&mut self, token: Token, why: &HandshakeRejection) {
        debug!(target: LOG_TARGET, status = why.status, "client turned away: {}", why.why);
        if let Some(connection) = self.connections.by_token.get_mut(&token) {
            connection.purpose = Purpose::Closing;
            connection.output.push_last(&why.octets());
            self.connections.close_after_flush(token);
        }
    }

    /// Written beside and moved into place, so that a half-written file never takes the place of a good one.
    fn save_membership(&mut self, now: Duration) {
        let (Some(path), Some(text)) =
            (&self.membership_file, self.exchange.membership_snapshot(now, wall_ms()))
        else {
            return;
        };
        let beside = path.with_extension("new");
        if let Err(error) = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, path)) {
            warn!(target: LOG_TARGET, path = %path.display(), "the roster can't be kept: {error}");
        }
    }

    /// A connection is over: the exchange is told, and what was target is target again.
    fn on_closed(&mut self, token: Token, why: &str) {
        let Some(mut connection) = self.connections.by_token.remove(&token) else { return };
        let _ = self.connections.poll.registry().deregister(&mut connection.stream);
        let now = self.now();
        self.connections.unidentified.gone(token);
        self.connections.clients.gone(token);
        match connection.purpose {
            Purpose::Connecting(target) => self.schedule_reconnect(target),
            Purpose::Link(to) => {
                if self.connections.links.get(&to) == Some(&token) {
                    self.connections.links.remove(&to);
                    info!(target: LOG_TARGET, exchange = to.0, "link closed: {why}");
                    self.exchange.link_down(now, &mut self.connections, to);
                    self.reconnects
                        .entry(ConnectTarget::Link(to))
                        .and_modify(|reconnect| reconnect.failures = 0);
                    self.schedule_reconnect(ConnectTarget::Link(to));
                }
            }
            Purpose::WebSocket { line, socket } => {
                self.connections.lines.remove(&line);
                let why = socket.ended().map_or(why, |ended| ended.reason.as_str());
                debug!(target: LOG_TARGET, line = line.0, code = socket.ended().map(|ended| ended.code), "line closed: {why}");
                match socket.ended() {
                    Some(ended) if ended.by_far_end && ended.code == close::NORMAL => {
                        self.exchange.line_closed_by_client(now, &mut self.connections, line);
                    }
                    _ => self.exchange.line_disconnected(now, &mut self.connections, line),
                }
            }
            Purpose::Handshake(_) => debug!(target: LOG_TARGET, "client closed in its handshake: {why}"),
            Purpose::Closing => {}
            Purpose::Line(line) => {
                self.connections.lines.remove(&line);
                debug!(target: LOG_TARGET, line = line.0, "line closed: {why}");
                self.exchange.line_disconnected(now, &mut self.connections, line);
            }
            Purpose::Directory => {
                self.connections.directory = None;
                warn!(target: LOG_TARGET, "directory gone: {why}; the last roster stays in force");
                self.schedule_reconnect(ConnectTarget::Directory);
            }
            Purpose::Unidentified { .. } => {
                warn!(target: LOG_TARGET, "connection on the signalling port closed: {why}")
            }
            Purpose::Admin(_) => self.connections.admin_connections -= 1,
        }
    }
}

fn admin_reply(exchange: &Exchange, text: &[u8], started: Instant) -> String {
    let asked: Result<Value, _> = serde_json::from_slice(text);
    let asked = match asked {
        Ok(asked) => asked,
        Err(error) => return error_text(&Value::Null, &RpcError::new(code::PARSE, error.to_string())),
    };
    let id = asked.get("id").cloned().unwrap_or(Value::Null);
    if let Err(denied) = exchange.admin_may(asked["token"].as_str()) {
        return error_text(&id, &RpcError::new(code::DENIED, denied.to_string()));
    }
    match asked["method"].as_str() {
        Some("status") => {
            let mut status = exchange.status();
            status["up_ms"] = json!(started.elapsed().as_millis() as u64);
            result_text(&id, status)
        }
        Some("trace") => {
            let params = &asked["params"];
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
