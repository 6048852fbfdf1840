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
const STOP_WITHIN: Duration = Duration::from_secs(30);
/// After the last call is let go, what is still to be written and to be completed by far ends that can be reached gets
/// this long. T1 is longer: a far end that does not answer in this time is left to its own timers.
const LET_GO_WITHIN: Duration = Duration::from_secs(2);
/// Connections that have not said which exchange they are.
const MOST_STRANGERS: usize = 64;
const STRANGER_FOR: Duration = Duration::from_secs(5);
const MOST_ADMINS: usize = 64;
/// Connections accepted before others are served again: an accept storm must not keep those that are open waiting.
const ACCEPT_AT_ONCE: usize = 64;
/// A reconnect waits a draw from half of this, doubled with each failure up to the last.
const REDIAL_FIRST: Duration = Duration::from_millis(100);
const REDIAL_LAST: Duration = Duration::from_secs(5);
const LONGEST_ADMIN_TEXT: usize = 4096;

const SIGNALS: Token = Token(0);
const LINKS_IN: Token = Token(1);
const LINES_IN: Token = Token(2);
const ADMINS_IN: Token = Token(3);
const CALLS_IN: Token = Token(4);
const FIRST_CONNECTION: usize = 16;

/// What a connection is for.
enum Purpose {
    /// Dialled, not connected yet.
    Dialling(Dialled),
    Link(ExchangeNumber),
    /// Came in on the signalling port and has not said who it is.
    Stranger {
        deframer: Deframer,
        octets: Vec<u8>,
    },
    Line(LineId),
    /// Came in for calls, its handshake not whole yet.
    Knocking(ServerHandshake),
    /// A line over WebSocket.
    Calls {
        line: LineId,
        end: Box<WebSocketConnection>,
    },
    /// Told why it is closed; it goes once that is written.
    Leaving,
    Directory,
    Admin(LineDecoder),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Dialled {
    Link(ExchangeNumber),
    Directory,
}

struct Connection {
    stream: TcpStream,
    purpose: Purpose,
    out: OutputBuffer,
    /// Whether it is registered for writing too.
    writing: Writing,
    /// It goes once what waits is written.
    leaving: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Writing {
    Idle,
    Waits,
}

/// Who is dialled, where, and when next.
struct Redial {
    to: SocketAddr,
    failures: u32,
    due: Option<Instant>,
}

/// All connections; what the exchange acts through.
struct Connections {
    poll: Poll,
    connections: BTreeMap<Token, Connection>,
    links: BTreeMap<ExchangeNumber, Token>,
    lines: BTreeMap<LineId, Token>,
    directory: Option<Token>,
    /// Who has not said which exchange it is; clients over WebSocket.
    strangers: ConnectionMonitor<Token>,
    clients: ConnectionMonitor<Token>,
    admins: usize,
    most_unread: usize,
    started: Instant,
    /// Connections with something to write, and those to be closed, with the reason.
    dirty: Vec<Token>,
    closing: VecDeque<(Token, String)>,
    next: usize,
}

impl Connections {
    fn now(&self) -> Duration {
        CLOCK_START + self.started.elapsed()
    }

    fn push(&mut self, token: Option<Token>, parts: &[&[u8]]) {
        let Some((token, connection)) =
            token.and_then(|token| Some((token, self.connections.get_mut(&token)?)))
        else {
            return;
        };
        parts.iter().for_each(|part| connection.out.push(part));
        self.dirty.push(token);
    }

    fn close(&mut self, token: Option<Token>, why: &str) {
        self.closing.extend(token.map(|token| (token, why.to_string())));
    }

    /// What a WebSocket end has to write is written, and the connection goes once it has ended.
    fn pump(&mut self, token: Token) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let Purpose::Calls { end, .. } = &mut connection.purpose else { return };
        let out = std::mem::take(end.out());
        match end.ended().is_some() || end.closing() && !connection.out.last_pushed() {
            true => connection.out.push_last(&out),
            false => connection.out.push(&out),
        }
        if connection.out.overrun() {
            end.close(close::POLICY, "reads too slowly");
            connection.out.push_last(end.out());
            end.out().clear();
        }
        if end.closing() {
            self.clients.closing(now, token);
        }
        if end.ended().is_some() {
            self.leave(token);
        }
        self.dirty.push(token);
    }

    /// The connection goes once what waits is written; nothing is read any more.
    fn leave(&mut self, token: Token) {
        let now = self.now();
        self.clients.closing(now, token);
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.leaving = true;
        self.dirty.push(token);
    }

    fn add(&mut self, mut stream: TcpStream, purpose: Purpose) -> io::Result<Token> {
        let token = Token(self.next);
        self.next += 1;
        // Small messages must not wait for each other; where it can't be set, they do.
        let _ = stream.set_nodelay(true);
        let dialling = matches!(purpose, Purpose::Dialling(_));
        let interest = if dialling { Interest::WRITABLE } else { Interest::READABLE };
        self.poll.registry().register(&mut stream, token, interest)?;
        let writing = Writing::Idle;
        let out = match purpose {
            Purpose::Knocking(_) => OutputBuffer::new(self.most_unread),
            _ => OutputBuffer::default(),
        };
        self.admins += usize::from(matches!(purpose, Purpose::Admin(_)));
        self.connections.insert(token, Connection { stream, purpose, out, writing, leaving: false });
        Ok(token)
    }

    /// Writes what waits, and has the rest waited for.
    fn flush(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if matches!(connection.purpose, Purpose::Dialling(_)) {
            return;
        }
        if connection.out.overrun() {
            return self.close(Some(token), "reads too slowly");
        }
        let writing = match connection.out.write_to(&mut connection.stream) {
            Ok(true) if connection.leaving => return self.close(Some(token), "told to go"),
            Ok(true) => Writing::Idle,
            Ok(false) => Writing::Waits,
            Err(error) => return self.close(Some(token), &error.to_string()),
        };
        if std::mem::replace(&mut connection.writing, writing) != writing {
            let interest = match writing {
                Writing::Idle => Interest::READABLE,
                Writing::Waits => Interest::READABLE | Interest::WRITABLE,
            };
            if let Err(error) = self.poll.registry().reregister(&mut connection.stream, token, interest) {
                self.close(Some(token), &error.to_string());
            }
        }
    }

    fn flush_all(&mut self) {
        let mut dirty = std::mem::take(&mut self.dirty);
        dirty.sort_unstable();
        dirty.dedup();
        dirty.drain(..).for_each(|token| self.flush(token));
        // Kept for its room.
        if self.dirty.is_empty() {
            self.dirty = dirty;
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
        match self.connections.get_mut(&token).map(|connection| &mut connection.purpose) {
            Some(Purpose::Calls { end, .. }) => {
                end.send_text(text);
                self.pump(token);
            }
            _ => self.push(Some(token), &[text.as_bytes(), b"\n"]),
        }
    }
    fn close_line(&mut self, line: LineId, why: &str) {
        let Some(token) = self.lines.get(&line).copied() else { return };
        match self.connections.get_mut(&token).map(|connection| &mut connection.purpose) {
            Some(Purpose::Calls { end, .. }) => {
                end.close(close::POLICY, why);
                self.pump(token);
            }
            _ => self.close(Some(token), why),
        }
    }
    fn has_room(&self, line: LineId) -> bool {
        const ROOM: usize = 64 << 10;
        let connection = self.lines.get(&line).and_then(|token| self.connections.get(token));
        connection.is_some_and(|connection| connection.out.waiting() < ROOM)
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
    wires: Connections,
    signals: Signals,
    links_in: Option<TcpListener>,
    lines_in: Option<TcpListener>,
    admins_in: Option<TcpListener>,
    calls_in: Option<TcpListener>,
    /// Pages that may ask for calls.
    origins: BTreeSet<String>,
    /// Listeners with more to accept than was accepted in one turn.
    accepting: BTreeSet<Token>,
    redials: BTreeMap<Dialled, Redial>,
    keep: Option<PathBuf>,
    tokens: Option<PathBuf>,
    stopping: Option<Instant>,
    /// Since when nothing is left but releases to be completed.
    let_go: Option<Instant>,
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
        let links_in = listener(&poll, "signalling.listen", config.signalling.listen, LINKS_IN)?;
        let lines_in = listener(&poll, "subscribers.listen", config.subscribers.listen, LINES_IN)?;
        let admins_in =
            listener(&poll, "admin.listen", config.admin.as_ref().map(|admin| admin.listen), ADMINS_IN)?;
        let calls_in = listener(&poll, "calls.listen", config.calls.listen, CALLS_IN)?;
        let strangers = ConnectionTimeouts {
            handshake_timeout: STRANGER_FOR,
            max_handshakes: MOST_STRANGERS,
            ..ConnectionTimeouts::default()
        };
        let now = Instant::now();
        let redial = |to| Redial { to, failures: 0, due: Some(now) };
        let links = config.signalling.links.iter();
        let links =
            links.filter_map(|link| Some((Dialled::Link(ExchangeNumber(link.to)), redial(link.connect?))));
        let directory =
            config.directory.iter().map(|directory| (Dialled::Directory, redial(directory.connect)));
        // Milliseconds since 2020 as the number of this start: it grows, and fits for a century.
        let incarnation = wall_ms().saturating_sub(1_577_836_800_000);
        let seed = config.seed.unwrap_or_else(|| rand::rng().random());
        let mut server = Self {
            exchange: Exchange::new(CLOCK_START, config, incarnation, seed),
            wires: Connections {
                poll,
                connections: BTreeMap::new(),
                links: BTreeMap::new(),
                lines: BTreeMap::new(),
                directory: None,
                strangers: ConnectionMonitor::new(strangers),
                clients: ConnectionMonitor::new(config.calls.connection_timeouts()),
                admins: 0,
                most_unread: config.calls.most_unread,
                started: now,
                dirty: Vec::new(),
                closing: VecDeque::new(),
                next: FIRST_CONNECTION,
            },
            signals,
            links_in,
            lines_in,
            admins_in,
            calls_in,
            origins: config.calls.origins.clone(),
            accepting: BTreeSet::new(),
            redials: links.chain(directory).collect(),
            keep: config.directory.as_ref().and_then(|directory| directory.keep.clone()),
            tokens: config.tokens.clone(),
            stopping: None,
            let_go: None,
            buffer: vec![0; 64 << 10],
        };
        if let Some(path) = &config.tokens {
            server.exchange.set_tokens(read_tokens(path)?);
        }
        server.first_roster(config);
        Ok(server)
    }

    /// Where the subscriber lines and the admin port ended up, where they were left to the machine.
    pub fn addresses(&self) -> ListenAddresses {
        let [signalling, subscribers, calls, admin] =
            [&self.links_in, &self.lines_in, &self.calls_in, &self.admins_in]
                .map(|listener| listener.as_ref().and_then(|listener| listener.local_addr().ok()));
        ListenAddresses { signalling, subscribers, calls, admin }
    }

    fn now(&self) -> Duration {
        self.wires.now()
    }

    /// The roster of the last time, or all that the configuration links to where no directory speaks.
    fn first_roster(&mut self, config: &Config) {
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
                &mut self.wires,
                &mintstall_membership::DirectoryNotification::Membership(news),
            );
        }
        let Some(path) = &self.keep else { return };
        match std::fs::read(path) {
            Ok(text) => match self.exchange.restore_membership(now, wall_ms(), &mut self.wires, &text) {
                Ok(()) => info!(target: LOG_TARGET, path = %path.display(), "roster of before taken"),
                Err(error) => {
                    warn!(target: LOG_TARGET, path = %path.display(), "{error}; waiting for the directory")
                }
            },
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
            let wait = self.wait();
            match self.wires.poll.poll(&mut events, wait) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(ServerError::Poll(error)),
            }
            for event in &events {
                match event.token() {
                    SIGNALS => self.signalled(),
                    on @ (LINKS_IN | LINES_IN | ADMINS_IN | CALLS_IN) => _ = self.accepting.insert(on),
                    token => self.ready(token, event.is_readable(), event.is_writable()),
                }
            }
            let accepting = std::mem::take(&mut self.accepting);
            accepting.into_iter().for_each(|on| self.accept(on));
            let now = self.now();
            self.exchange.on_timer(now, &mut self.wires);
            self.redial();
            self.look_after_clients(now);
            self.settle();
            if self.stopped() {
                return Ok(());
            }
        }
    }

    fn wait(&self) -> Option<Duration> {
        let now = self.now();
        let alarm = self.exchange.next_timer().map(|at| at.saturating_sub(now));
        let dial = self.redials.values().filter_map(|redial| redial.due).min();
        let dial = dial.map(|due| due.saturating_duration_since(Instant::now()));
        let vigils = [self.wires.strangers.next_timer(), self.wires.clients.next_timer()];
        let vigil = vigils.into_iter().flatten().min().map(|at| at.saturating_sub(now));
        let stopping = self.stopping.map(|_| Duration::from_millis(20));
        let accepting = (!self.accepting.is_empty()).then_some(Duration::ZERO);
        let all = [alarm, dial, vigil, stopping, accepting];
        // Rounded up: the machine's clock wakes a shade early otherwise, and finds nothing due.
        all.into_iter().flatten().min().map(|wait| wait + Duration::from_micros(50))
    }

    /// Writes and closes until neither leaves anything to do.
    fn settle(&mut self) {
        self.wires.flush_all();
        while let Some((token, why)) = self.wires.closing.pop_front() {
            self.gone(token, &why);
            self.wires.flush_all();
        }
    }

    fn signalled(&mut self) {
        let signals: Vec<_> = self.signals.pending().collect();
        if signals.contains(&SIGHUP) {
            self.read_tokens();
        }
        if signals.iter().any(|signal| *signal != SIGHUP) && self.stopping.is_none() {
            info!(target: LOG_TARGET, "stopping: no new calls, {} in hand", self.exchange.call_control.state().calls);
            self.exchange.stop(&mut self.wires);
            self.stopping = Some(Instant::now());
            (self.links_in, self.lines_in, self.calls_in) = (None, None, None);
        }
    }

    /// The tokens as their file has them now; a file that makes no sense leaves those in force.
    fn read_tokens(&mut self) {
        let Some(path) = &self.tokens else { return };
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
        let Some(since) = self.stopping else { return false };
        let Some(let_go) = self.let_go else {
            if !self.exchange.call_control.has_unanswered_calls() || since.elapsed() >= STOP_WITHIN {
                self.let_all_go();
            }
            return false;
        };
        let written = self.wires.connections.values().all(|connection| connection.out.waiting() == 0);
        let released = !self.exchange.call_control.awaits_release();
        if !(written && released) && let_go.elapsed() < LET_GO_WITHIN {
            return false;
        }
        info!(target: LOG_TARGET, written, released, "stopped");
        true
    }

    fn let_all_go(&mut self) {
        self.let_go = Some(Instant::now());
        let now = self.now();
        self.exchange.release_all(now, &mut self.wires);
        let clients: Vec<Token> = self.wires.lines.values().copied().collect();
        for token in clients {
            if let Some(Purpose::Calls { end, .. }) =
                self.wires.connections.get_mut(&token).map(|connection| &mut connection.purpose)
            {
                end.close(close::GOING_AWAY, "the controller stops");
                self.wires.pump(token);
            }
        }
        self.settle();
    }

    fn accept(&mut self, on: Token) {
        for _ in 0..ACCEPT_AT_ONCE {
            let listener = match on {
                LINKS_IN => &self.links_in,
                LINES_IN => &self.lines_in,
                CALLS_IN => &self.calls_in,
                _ => &self.admins_in,
            };
            let Some(Ok((stream, from))) = listener.as_ref().map(TcpListener::accept) else { return };
            let purpose = match on {
                LINKS_IN => Purpose::Stranger { deframer: Deframer::default(), octets: Vec::new() },
                CALLS_IN => Purpose::Knocking(ServerHandshake::default()),
                LINES_IN => match self.exchange.line_open(self.now()) {
                    Ok(line) => Purpose::Line(line),
                    Err(why) => {
                        debug!(target: LOG_TARGET, %from, "line turned away: {why}");
                        // Best effort: whoever does not read it sees the close.
                        let _ = (&stream).write_all(format!("{}\n", why.error_response()).as_bytes());
                        continue;
                    }
                },
                _ if self.wires.admins >= MOST_ADMINS => {
                    warn!(target: LOG_TARGET, %from, "connection turned away: {MOST_ADMINS} there already");
                    continue;
                }
                _ => Purpose::Admin(LineDecoder::new(LONGEST_ADMIN_TEXT)),
            };
            let line = match purpose {
                Purpose::Line(line) => Some(line),
                _ => None,
            };
            let token = match self.wires.add(stream, purpose) {
                Ok(token) => token,
                Err(error) => {
                    warn!(target: LOG_TARGET, %from, "connection can't be watched: {error}");
                    continue;
                }
            };
            if let Some(line) = line {
                self.wires.lines.insert(line, token);
                debug!(target: LOG_TARGET, %from, line = line.0, "line open");
            }
            let now = self.now();
            let came = match on {
                LINKS_IN => self.wires.strangers.came(now, token),
                CALLS_IN => self.wires.clients.came(now, token),
                _ => Ok(()),
            };
            if let Err(why) = came {
                debug!(target: LOG_TARGET, %from, "connection turned away: {why}");
                if on == CALLS_IN {
                    let busy = HandshakeRejection {
                        retry_after_s: Some(1),
                        ..HandshakeRejection::new(503, why.to_string())
                    };
                    self.wires.push(Some(token), &[&busy.octets()]);
                    self.wires.flush(token);
                }
                self.wires.close(Some(token), &why.to_string());
            }
        }
        self.accepting.insert(on);
    }

    /// Connections that never say who they are, clients that fall silent or do not close.
    fn look_after_clients(&mut self, now: Duration) {
        let mut due = self.wires.strangers.on_timer(now);
        due.extend(self.wires.clients.on_timer(now));
        for due in due {
            match due {
                MonitorAction::Drop(token, lapse) => self.wires.close(Some(token), &lapse.to_string()),
                MonitorAction::Ping(token) => {
                    if let Some(Purpose::Calls { end, .. }) =
                        self.wires.connections.get_mut(&token).map(|connection| &mut connection.purpose)
                    {
                        end.ping();
                        self.wires.pump(token);
                    }
                }
            }
        }
    }

    fn redial(&mut self) {
        let now = Instant::now();
        let due = self.redials.iter_mut().filter(|(_, redial)| redial.due.is_some_and(|due| due <= now));
        let due: Vec<_> =
            due.map(|(dialled, redial)| (*dialled, redial.due.take().map(|_| redial.to))).collect();
        for (dialled, to) in due {
            let Some(to) = to else { continue };
            let tried =
                TcpStream::connect(to).and_then(|stream| self.wires.add(stream, Purpose::Dialling(dialled)));
            if let Err(error) = tried {
                debug!(target: LOG_TARGET, ?dialled, %to, "can't connect: {error}");
                self.redial_later(dialled);
            }
        }
    }

    fn redial_later(&mut self, dialled: Dialled) {
        if let Some(redial) = self.redials.get_mut(&dialled) {
            let span = REDIAL_FIRST.saturating_mul(1 << redial.failures.min(8)).min(REDIAL_LAST);
            redial.failures = redial.failures.saturating_add(1);
            redial.due = Some(Instant::now() + span.mul_f64(rand::rng().random_range(0.5..1.0)));
        }
    }

    fn ready(&mut self, token: Token, readable: bool, writable: bool) {
        let Some(connection) = self.wires.connections.get_mut(&token) else { return };
        if let Purpose::Dialling(dialled) = connection.purpose {
            return self.dialled(token, dialled);
        }
        if writable {
            self.wires.flush(token);
        }
        if readable {
            self.read(token);
        }
    }

    /// A connection that was dialled is there, or has failed.
    fn dialled(&mut self, token: Token, dialled: Dialled) {
        let Some(connection) = self.wires.connections.get_mut(&token) else { return };
        let error = connection.stream.take_error().ok().flatten();
        if error.is_some() || connection.stream.peer_addr().is_err() {
            if error.is_some() {
                self.wires.close(Some(token), "can't connect");
            }
            return;
        }
        connection.purpose = match dialled {
            Dialled::Link(to) => Purpose::Link(to),
            Dialled::Directory => Purpose::Directory,
        };
        if let Err(error) =
            self.wires.poll.registry().reregister(&mut connection.stream, token, Interest::READABLE)
        {
            return self.wires.close(Some(token), &error.to_string());
        }
        match dialled {
            Dialled::Link(to) => self.link_open(token, to),
            Dialled::Directory => {
                self.wires.directory = Some(token);
                info!(target: LOG_TARGET, "directory connected");
                self.exchange.directory_open(&mut self.wires);
            }
        }
    }

    fn link_open(&mut self, token: Token, to: ExchangeNumber) {
        let now = self.now();
        // The far end may come back before its old connection is known to be dead.
        if let Some(before) = self.wires.links.insert(to, token) {
            self.exchange.link_down(now, &mut self.wires, to);
            self.wires.close(Some(before), "replaced by a newer connection");
        }
        self.exchange.link_up(now, &mut self.wires, to);
    }

    fn read(&mut self, token: Token) {
        // Bounded, so that one connection that never pauses does not keep the others waiting.
        for _ in 0..8 {
            let Some(connection) = self.wires.connections.get_mut(&token) else { return };
            let mut buffer = std::mem::take(&mut self.buffer);
            let more = match connection.stream.read(&mut buffer) {
                Ok(0) => Err("closed by the far end".to_string()),
                Ok(count) => {
                    self.octets(token, &buffer[..count]);
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
                Err(why) => return self.wires.close(Some(token), &why),
            }
        }
        // More waits: asks to be told again.
        if let Some(connection) = self.wires.connections.get_mut(&token) {
            let interest = match connection.writing {
                Writing::Idle => Interest::READABLE,
                Writing::Waits => Interest::READABLE | Interest::WRITABLE,
            };
            let again = self.wires.poll.registry().reregister(&mut connection.stream, token, interest);
            again.err().into_iter().for_each(|error| self.wires.close(Some(token), &error.to_string()));
        }
    }

    fn octets(&mut self, token: Token, octets: &[u8]) {
        let now = self.now();
        let Some(connection) = self.wires.connections.get_mut(&token) else { return };
        match &mut connection.purpose {
            Purpose::Link(from) => {
                let from = *from;
                self.exchange.link_octets(now, &mut self.wires, from, octets);
            }
            Purpose::Line(line) => {
                let line = *line;
                self.exchange.line_octets(now, &mut self.wires, line, octets);
            }
            Purpose::Directory => match self.exchange.directory_octets(now, &mut self.wires, octets) {
                Ok(true) => self.keep_roster(now),
                Ok(false) => {}
                Err(why) => self.wires.close(Some(token), &why),
            },
            Purpose::Knocking(door) => match door.push(octets, &self.origins) {
                ServerHandshakeState::Incomplete => {}
                ServerHandshakeState::Rejected(why) => self.turn_away(token, &why),
                ServerHandshakeState::Valid(wish) => match self.exchange.line_open(now) {
                    Ok(line) => {
                        debug!(target: LOG_TARGET, line = line.0, "line open");
                        connection.purpose =
                            Purpose::Calls { line, end: Box::new(wish.accept(MAX_MESSAGE_OCTETS)) };
                        self.wires.lines.insert(line, token);
                        self.wires.clients.opened(now, token);
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
                        self.turn_away(token, &busy);
                    }
                },
            },
            Purpose::Calls { .. } => self.client_octets(now, token, octets),
            Purpose::Leaving => {}
            Purpose::Stranger { deframer, octets: held } => {
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
                        .wires
                        .close(Some(token), "does not say which exchange it is, or none with a link here");
                };
                connection.purpose = Purpose::Link(from);
                self.wires.strangers.gone(token);
                self.link_open(token, from);
                self.exchange.link_octets(now, &mut self.wires, from, &held);
            }
            Purpose::Admin(cutter) => {
                cutter.push(octets);
                let mut replies = Vec::new();
                let fault = loop {
                    match cutter.next() {
                        Ok(Some(text)) => replies.push(admin_reply(&self.exchange, text, self.wires.started)),
                        Ok(None) => break None,
                        Err(error) => break Some(error.to_string()),
                    }
                };
                for reply in replies {
                    self.wires.push(Some(token), &[reply.as_bytes(), b"\n"]);
                }
                fault.iter().for_each(|why| self.wires.close(Some(token), why));
            }
            Purpose::Dialling(_) => {}
        }
    }

    /// Octets of a client over WebSocket.
    fn client_octets(&mut self, now: Duration, token: Token, octets: &[u8]) {
        self.wires.clients.heard(now, token);
        let Some(connection) = self.wires.connections.get_mut(&token) else { return };
        let Purpose::Calls { line, end } = &mut connection.purpose else { return };
        let line = *line;
        // At most what was read in one go: what is asked is acted on once this connection is not held any more.
        let mut texts = Vec::new();
        end.on_octets(octets, &mut |event| match event {
            WebSocketEvent::Text(text) => texts.push(text),
            WebSocketEvent::PingOrPong => {}
        });
        for text in texts {
            self.exchange.line_text(now, &mut self.wires, line, text.as_bytes());
        }
        self.wires.pump(token);
    }

    fn turn_away(&mut self, token: Token, why: &HandshakeRejection) {
        debug!(target: LOG_TARGET, status = why.status, "client turned away: {}", why.why);
        if let Some(connection) = self.wires.connections.get_mut(&token) {
            connection.purpose = Purpose::Leaving;
            connection.out.push_last(&why.octets());
            self.wires.leave(token);
        }
    }

    /// Written beside and moved into place, so that a half-written file never takes the place of a good one.
    fn keep_roster(&mut self, now: Duration) {
        let (Some(path), Some(text)) = (&self.keep, self.exchange.membership_snapshot(now, wall_ms())) else {
            return;
        };
        let beside = path.with_extension("new");
        if let Err(error) = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, path)) {
            warn!(target: LOG_TARGET, path = %path.display(), "the roster can't be kept: {error}");
        }
    }

    /// A connection is over: the exchange is told, and what was dialled is dialled again.
    fn gone(&mut self, token: Token, why: &str) {
        let Some(mut connection) = self.wires.connections.remove(&token) else { return };
        let _ = self.wires.poll.registry().deregister(&mut connection.stream);
        let now = self.now();
        self.wires.strangers.gone(token);
        self.wires.clients.gone(token);
        match connection.purpose {
            Purpose::Dialling(dialled) => self.redial_later(dialled),
            Purpose::Link(to) => {
                if self.wires.links.get(&to) == Some(&token) {
                    self.wires.links.remove(&to);
                    info!(target: LOG_TARGET, exchange = to.0, "link closed: {why}");
                    self.exchange.link_down(now, &mut self.wires, to);
                    self.redials.entry(Dialled::Link(to)).and_modify(|redial| redial.failures = 0);
                    self.redial_later(Dialled::Link(to));
                }
            }
            Purpose::Calls { line, end } => {
                self.wires.lines.remove(&line);
                let why = end.ended().map_or(why, |ended| ended.reason.as_str());
                debug!(target: LOG_TARGET, line = line.0, code = end.ended().map(|ended| ended.code), "line closed: {why}");
                match end.ended() {
                    Some(ended) if ended.by_far_end && ended.code == close::NORMAL => {
                        self.exchange.line_closed_by_client(now, &mut self.wires, line);
                    }
                    _ => self.exchange.line_disconnected(now, &mut self.wires, line),
                }
            }
            Purpose::Knocking(_) => debug!(target: LOG_TARGET, "client closed in its handshake: {why}"),
            Purpose::Leaving => {}
            Purpose::Line(line) => {
                self.wires.lines.remove(&line);
                debug!(target: LOG_TARGET, line = line.0, "line closed: {why}");
                self.exchange.line_disconnected(now, &mut self.wires, line);
            }
            Purpose::Directory => {
                self.wires.directory = None;
                warn!(target: LOG_TARGET, "directory gone: {why}; the last roster stays in force");
                self.redial_later(Dialled::Directory);
            }
            Purpose::Stranger { .. } => {
                warn!(target: LOG_TARGET, "connection on the signalling port closed: {why}")
            }
            Purpose::Admin(_) => self.wires.admins -= 1,
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
