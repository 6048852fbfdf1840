//! The sockets of the process: links, lines, the directory and admin clients, with the output that waits for each.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::io;
use std::time::{Duration, Instant};

use mintstall::interface::ExchangeNumber;
use mintstall_callapi::LineDecoder;
use mintstall_isup::Deframer;
use mintstall_limits::{ConnectionMonitor, OutputMonitor, StalledPeer};
use mintstall_websocket::{ServerHandshake, WebSocketConnection, close};
use mio::net::TcpStream;
use mio::{Interest, Poll, Token};
use tracing::{info, warn};

use crate::exchange::{LineId, Transport};
use crate::output_buffer::OutputBuffer;

/// Log target of the event loop. Operators filter by it, so it does not follow the module path.
pub const LOG_TARGET: &str = "mintstall_daemon::shell";

/// The clock starts at one hour, not at zero: processors that started before this process are given by their age, and
/// their start times must not be negative.
pub const CLOCK_START: Duration = Duration::from_secs(3600);
const FIRST_CONNECTION: usize = 16;
/// Output is written at the end of a turn, or as soon as this much waits.
const EAGER_WRITE_OCTETS: usize = 64 << 10;
/// Octets that may wait for all connections together.
const MAX_OUTPUT_OCTETS: usize = 64 << 20;
pub const MAX_ADMIN_MESSAGE_OCTETS: usize = 4096;
/// Octets read at once from a client. Requests can be as short as two octets, and each costs the others time.
const MAX_CLIENT_READ_OCTETS: usize = 4 << 10;
const READS_TOO_SLOWLY: &str = "reads too slowly";

/// What a connection is for.
pub enum Purpose {
    /// An outgoing connection that is not established yet.
    Connecting(ConnectTarget),
    Link(ExchangeNumber),
    /// Accepted on the signalling port; the far end has not identified itself yet.
    Unidentified {
        deframer: Deframer,
        octets: Vec<u8>,
    },
    /// It has named an exchange which has a link, and waits until that link turns out to be dead.
    WaitingLink(ExchangeNumber),
    Line(LineId),
    /// Accepted on the port of the call-control API; the WebSocket handshake is not complete yet.
    Handshake(ServerHandshake),
    /// A line over WebSocket.
    WebSocket {
        line: LineId,
        socket: Box<WebSocketConnection>,
    },
    /// Rejected in its handshake, or replaced by another connection. What still arrives is discarded.
    Closing,
    Directory,
    Admin(LineDecoder),
}

impl Purpose {
    /// Octets that are read at once: fewer from clients than from other exchanges.
    pub fn max_read_octets(&self) -> usize {
        match self {
            Self::Admin(_) | Self::Line(_) | Self::WebSocket { .. } | Self::Handshake(_) => {
                MAX_CLIENT_READ_OCTETS
            }
            _ => usize::MAX,
        }
    }
}

/// The far end of an outgoing connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectTarget {
    Link(ExchangeNumber),
    Directory,
}

// Keeps the published form of the log field `dialled`.
impl fmt::Debug for ConnectTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Link(to) => write!(f, "Link(OfficeNo({}))", to.0),
            Self::Directory => f.write_str("Directory"),
        }
    }
}

/// One connection, incoming or outgoing.
pub struct Connection {
    pub stream: TcpStream,
    pub purpose: Purpose,
    pub output: OutputBuffer,
    pub write_state: WriteState,
    /// The connection is closed once its output is written.
    close_after_flush: bool,
}

/// Whether the socket takes output.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum WriteState {
    Idle,
    /// Output waits; the socket is registered for writing too.
    Blocked,
}

/// All connections; the transport of the exchange.
pub struct Connections {
    pub poll: Poll,
    pub by_token: BTreeMap<Token, Connection>,
    pub links: BTreeMap<ExchangeNumber, Token>,
    pub lines: BTreeMap<LineId, Token>,
    pub directory: Option<Token>,
    /// Timeouts of signalling connections that have not identified their exchange.
    pub unidentified: ConnectionMonitor<Token>,
    /// Timeouts of clients over WebSocket.
    pub clients: ConnectionMonitor<Token>,
    pub admin_connections: usize,
    max_unread_octets: usize,
    pub started: Instant,
    /// Connections with new output.
    unflushed: Vec<Token>,
    output_monitor: OutputMonitor<Token>,
    /// Connections that are not read from until less output waits.
    paused_reads: BTreeSet<Token>,
    /// Connections to be closed, with the reason.
    pub to_close: VecDeque<(Token, String)>,
    next_token: usize,
}

impl Connections {
    pub fn new(
        poll: Poll,
        unidentified: ConnectionMonitor<Token>,
        clients: ConnectionMonitor<Token>,
        max_unread_octets: usize,
    ) -> Self {
        Self {
            poll,
            by_token: BTreeMap::new(),
            links: BTreeMap::new(),
            lines: BTreeMap::new(),
            directory: None,
            unidentified,
            clients,
            admin_connections: 0,
            max_unread_octets,
            started: Instant::now(),
            unflushed: Vec::new(),
            output_monitor: OutputMonitor::new(MAX_OUTPUT_OCTETS),
            paused_reads: BTreeSet::new(),
            to_close: VecDeque::new(),
            next_token: FIRST_CONNECTION,
        }
    }

    pub fn now(&self) -> Duration {
        CLOCK_START + self.started.elapsed()
    }

    pub fn push(&mut self, token: Option<Token>, parts: &[&[u8]]) {
        let Some((token, connection)) = token.and_then(|token| Some((token, self.by_token.get_mut(&token)?)))
        else {
            return;
        };
        parts.iter().for_each(|part| connection.output.push(part));
        self.write_soon(token);
    }

    /// Schedules the flush of a connection whose output has grown. What a burst adds is written before the end of the turn, so
    /// that the peer reads it while the rest is collected.
    fn write_soon(&mut self, token: Token) {
        let Some(connection) = self.by_token.get(&token) else { return };
        let write_now =
            connection.write_state == WriteState::Idle && connection.output.waiting() >= EAGER_WRITE_OCTETS;
        self.unflushed.push(token);
        if write_now {
            self.flush(token);
        } else {
            self.report_output(token, 0);
        }
    }

    /// Tells the monitor how much output waits, of which the socket has taken `taken` octets since the last report.
    fn report_output(&mut self, token: Token, taken: usize) {
        let now = self.now();
        let Some(Connection { output, .. }) = self.by_token.get(&token) else { return };
        self.output_monitor.update(now, token, output.waiting(), taken, output.limit());
    }

    pub fn close(&mut self, token: Option<Token>, why: &str) {
        self.to_close.extend(token.map(|token| (token, why.to_string())));
    }

    /// Moves the output of a WebSocket connection to its buffer. A connection that has ended is closed after the flush.
    pub fn transfer_websocket_output(&mut self, token: Token) {
        let now = self.now();
        let Some(connection) = self.by_token.get_mut(&token) else { return };
        let Purpose::WebSocket { socket, .. } = &mut connection.purpose else { return };
        let octets = std::mem::take(socket.output());
        match socket.close_info().is_some() || socket.is_closing() && !connection.output.last_pushed() {
            true => connection.output.push_last(&octets),
            false => connection.output.push(&octets),
        }
        if socket.is_closing() {
            self.clients.start_close(now, token);
        }
        if socket.close_info().is_some() {
            self.close_after_flush(token);
        }
        self.write_soon(token);
    }

    /// Closes the connection once its output is written. Nothing is read any more.
    pub fn close_after_flush(&mut self, token: Token) {
        let now = self.now();
        self.clients.start_close(now, token);
        let Some(connection) = self.by_token.get_mut(&token) else { return };
        connection.close_after_flush = true;
        self.unflushed.push(token);
    }

    pub fn add(&mut self, mut stream: TcpStream, purpose: Purpose) -> io::Result<Token> {
        let token = Token(self.next_token);
        self.next_token += 1;
        // Small messages must not be delayed by Nagle's algorithm. If the option can't be set, they are.
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

    /// Writes as much output as the socket accepts, and registers for writing if some is left.
    pub fn flush(&mut self, token: Token) {
        let Some(connection) = self.by_token.get_mut(&token) else { return };
        if matches!(connection.purpose, Purpose::Connecting(_)) {
            return;
        }
        let waiting = connection.output.waiting();
        let written = connection.output.write_to(&mut connection.stream);
        let taken = waiting - connection.output.waiting();
        let write_state = match written {
            Ok(true) if connection.close_after_flush => {
                return self.close(Some(token), "closed after the last message");
            }
            Ok(true) => WriteState::Idle,
            Ok(false) => WriteState::Blocked,
            Err(error) => return self.close(Some(token), &error.to_string()),
        };
        if std::mem::replace(&mut connection.write_state, write_state) != write_state
            && !self.register_again(token)
        {
            return;
        }
        self.report_output(token, taken);
    }

    pub fn flush_all(&mut self) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        unflushed.drain(..).for_each(|token| self.flush(token));
        // Reuses the allocation.
        if self.unflushed.is_empty() {
            self.unflushed = unflushed;
        }
    }

    /// Closes the connections whose peers do not read. To be called after [`Connections::flush_all`].
    pub fn close_stalled(&mut self) {
        if !self.output_monitor.has_waiting() {
            return;
        }
        for peer in self.output_monitor.stalled(self.now()) {
            let Some(connection) = self.by_token.get_mut(&peer.connection) else { continue };
            // One that is closing already is dropped by its close timeout.
            if matches!(&connection.purpose, Purpose::WebSocket { socket, .. } if socket.is_closing()) {
                continue;
            }
            log_stalled(connection, &peer);
            if let Purpose::WebSocket { socket, .. } = &mut connection.purpose {
                socket.close(close::POLICY, READS_TOO_SLOWLY);
                self.transfer_websocket_output(peer.connection);
            } else {
                self.close(Some(peer.connection), READS_TOO_SLOWLY);
            }
        }
    }

    /// When [`Connections::close_stalled`] has to be called next.
    pub fn next_stall_check(&self) -> Option<Duration> {
        const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
        self.output_monitor.has_waiting().then(|| self.now() + STALL_CHECK_INTERVAL)
    }

    /// Whether a connection may be read from: not a client that does not take its answers, no input that causes more output
    /// while too much waits, and no connection that waits to become a link.
    pub fn may_read(&self, token: Token) -> bool {
        let Some(Connection { purpose, output, .. }) = self.by_token.get(&token) else { return true };
        match purpose {
            Purpose::Connecting(_) | Purpose::Directory | Purpose::Closing => true,
            Purpose::WaitingLink(_) => false,
            Purpose::Link(_) | Purpose::Unidentified { .. } => !self.output_monitor.is_scarce(),
            Purpose::Line(_) | Purpose::Handshake(_) | Purpose::WebSocket { .. } | Purpose::Admin(_) => {
                self.output_monitor.accepts_requests(output.waiting(), output.limit())
            }
        }
    }

    /// Leaves a connection unread until [`Connections::may_read`] allows it.
    pub fn pause_reads(&mut self, token: Token) {
        self.paused_reads.insert(token);
    }

    /// Lets the event loop read connections that were paused and may be read from again.
    pub fn resume_reads(&mut self) {
        let paused = std::mem::take(&mut self.paused_reads);
        let (resumed, paused) = paused.into_iter().partition(|token| self.may_read(*token));
        self.paused_reads = paused;
        let resumed: BTreeSet<_> = resumed;
        for token in resumed {
            self.register_again(token);
        }
    }

    /// Registers a connection anew, for reading, and for writing if output waits. What it has to read is reported again.
    /// Returns whether it is still open.
    pub fn register_again(&mut self, token: Token) -> bool {
        let Some(connection) = self.by_token.get_mut(&token) else { return false };
        let interest = match connection.write_state {
            WriteState::Idle => Interest::READABLE,
            WriteState::Blocked => Interest::READABLE | Interest::WRITABLE,
        };
        let registered = self.poll.registry().reregister(&mut connection.stream, token, interest);
        if let Err(error) = &registered {
            self.close(Some(token), &error.to_string());
        }
        registered.is_ok()
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, token: Token) -> Option<Connection> {
        let mut connection = self.by_token.remove(&token)?;
        // Fails if the stream is closed already, which does no harm.
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.unidentified.remove(token);
        self.clients.remove(token);
        self.output_monitor.remove(token);
        self.paused_reads.remove(&token);
        Some(connection)
    }
}

/// Logs a close, with what tells a peer that does not read from one that had no chance to.
fn log_stalled(connection: &Connection, peer: &StalledPeer<Token>) {
    warn!(
        target: LOG_TARGET,
        connection = peer.connection.0,
        waiting = peer.waiting,
        taken = peer.taken,
        stalled_ms = peer.stalled_for.as_millis() as u64,
        unattempted = connection.output.unattempted(),
        socket_full = connection.write_state == WriteState::Blocked,
        "closed with unread output"
    );
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
        const MAX_WAITING_OCTETS: usize = 64 << 10;
        let connection = self.lines.get(&line).and_then(|token| self.by_token.get(token));
        connection.is_some_and(|connection| connection.output.waiting() < MAX_WAITING_OCTETS)
    }
    fn send_to_directory(&mut self, text: &str) {
        self.push(self.directory, &[text.as_bytes(), b"\n"]);
    }
    fn log_info(&mut self, line: &str) {
        info!(target: "mintstall::mode", "{line}");
    }
}

#[cfg(test)]
mod tests;
