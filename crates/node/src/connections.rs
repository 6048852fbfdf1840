//! The sockets of the process: callers, links and the event bus, with the output that waits for each.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::{self, Arguments};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use mintstall_daemon::output_buffer::OutputBuffer;
use mintstall_limits::{OutputMonitor, StalledPeer};
use mintstall_platform::{BusConnectionId, CallId, CallerConnectionId, Disconnect, LinkId, Transport};
use mio::net::TcpStream;
use mio::{Interest, Poll, Token};
use tracing::{debug, info, warn};

/// The target of log lines about connections.
pub const LOG_TARGET: &str = "mintstall::connections";
const FIRST_CONNECTION_TOKEN: usize = 2;
/// A peer for which more octets wait is judged by what it takes, and a caller is not read from meanwhile.
const SLOW_READER_OCTETS: usize = 128 << 10;
/// Output is written at the end of a turn, or as soon as this much waits.
const EAGER_WRITE_OCTETS: usize = 64 << 10;
/// How long a connection is still read from after its last message. Closing at once would reset the connection if the
/// caller still sends, and the reset would discard the message.
const LINGER: Duration = Duration::from_millis(1500);

/// What a connection is for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    Bus(BusConnectionId),
    Link(LinkId),
    Caller(CallerConnectionId),
    /// A caller that has been sent its last message. Further input is discarded until the connection is closed.
    ClosingCaller,
}

impl Purpose {
    /// The kind of peer, as a metric label.
    const fn label(self) -> &'static str {
        match self {
            Self::Bus(_) => "bus",
            Self::Link(_) => "link",
            Self::Caller(_) | Self::ClosingCaller => "caller",
        }
    }
}

impl fmt::Display for Purpose {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::ClosingCaller => f.write_str(self.label()),
            Self::Bus(connection) => write!(f, "{} {}", self.label(), connection.0),
            Self::Link(link) => write!(f, "{} {}", self.label(), link.0),
            Self::Caller(caller) => write!(f, "{} {}", self.label(), caller.0),
        }
    }
}

/// Why a caller's connection is closed here without waiting for the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discard {
    /// Another connection needs its place.
    NoRoom,
    /// The other side has not closed it within the time for that.
    LingerExpired,
}

impl Discard {
    const fn label(self) -> &'static str {
        match self {
            Self::NoRoom => "no_room",
            Self::LingerExpired => "linger_expired",
        }
    }
}

/// The state of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Connecting,
    Open,
    /// Open, but the socket's send buffer is full.
    WriteBlocked,
    /// Shut down for writing, and read until the other side closes.
    HalfClosed,
    /// A write has failed. Data received before is still read, then the connection is reported as lost.
    WriteFailed(Disconnect),
}

/// One connection, incoming or outgoing.
pub struct Connection {
    pub stream: TcpStream,
    pub purpose: Purpose,
    pub phase: Phase,
    pub output: OutputBuffer,
}

/// All connections of the process; the transport of the core.
pub struct Connections {
    pub poll: Poll,
    pub by_token: BTreeMap<Token, Connection>,
    links: BTreeMap<LinkId, Token>,
    bus: BTreeMap<BusConnectionId, Token>,
    pub caller_count: usize,
    /// Connections with output to write.
    pending_writes: Vec<Token>,
    /// Connections, and the listener, that may have more input than the limit per turn.
    pub pending_reads: BTreeSet<Token>,
    /// Connections that are not read from until less output waits.
    paused_reads: BTreeSet<Token>,
    /// Connections lost during a turn that have not been reported to the core yet.
    pub failed: Vec<(Purpose, Disconnect)>,
    /// Connections that linger, with the time when they are closed, in order.
    pub closing: VecDeque<(Instant, Token)>,
    pub next_token: usize,
    output_monitor: OutputMonitor<Token>,
    /// The time at the start of the turn.
    pub now: Duration,
}

impl Connections {
    /// `max_output_octets` bounds the output that waits for all connections together.
    pub fn new(poll: Poll, max_output_octets: usize) -> Self {
        Self {
            poll,
            by_token: BTreeMap::new(),
            links: BTreeMap::new(),
            bus: BTreeMap::new(),
            caller_count: 0,
            pending_writes: Vec::new(),
            pending_reads: BTreeSet::new(),
            paused_reads: BTreeSet::new(),
            failed: Vec::new(),
            closing: VecDeque::new(),
            next_token: FIRST_CONNECTION_TOKEN,
            output_monitor: OutputMonitor::new(max_output_octets),
            now: Duration::ZERO,
        }
    }

    pub fn add(&mut self, mut stream: TcpStream, purpose: Purpose, phase: Phase) -> io::Result<Token> {
        let token = Token(self.next_token);
        self.next_token += 1;
        // Sends small messages without delay. If the option can't be set, the connection works without it.
        let _ = stream.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, token, interest)?;
        self.by_token.insert(
            token,
            Connection { stream, purpose, phase, output: OutputBuffer::new(SLOW_READER_OCTETS) },
        );
        Ok(token)
    }

    fn connect(&mut self, to: SocketAddr, purpose: Purpose) -> Option<Token> {
        let added = TcpStream::connect(to).and_then(|stream| self.add(stream, purpose, Phase::Connecting));
        match added {
            Ok(token) => Some(token),
            Err(error) => {
                self.failed.push((purpose, disconnect_reason(&error)));
                None
            }
        }
    }

    pub fn has_unwritten_output(&self, token: Token) -> bool {
        self.by_token.get(&token).is_some_and(|connection| connection.output.waiting() > 0)
    }

    /// Adds output to a connection. What a burst adds is written before the end of the turn, so that the peer reads it
    /// while the rest is collected.
    fn push(&mut self, token: Option<Token>, octets: &[u8]) {
        self.push_with(token, |output| output.push(octets));
    }

    fn push_with(&mut self, token: Option<Token>, add: impl FnOnce(&mut OutputBuffer)) {
        let Some(token) = token else { return };
        let Some(connection) = self.by_token.get_mut(&token) else { return };
        if connection.phase == Phase::HalfClosed {
            return;
        }
        add(&mut connection.output);
        let write_now = connection.phase == Phase::Open && connection.output.waiting() >= EAGER_WRITE_OCTETS;
        self.pending_writes.push(token);
        if write_now {
            self.flush(token);
        } else {
            self.report_output(token, 0);
        }
    }

    /// Tells the monitor how much output waits, of which the socket has taken `taken` octets since the last report.
    fn report_output(&mut self, token: Token, taken: usize) {
        let Some(connection) = self.by_token.get(&token) else { return };
        match connection.phase {
            // Nothing more is written.
            Phase::HalfClosed | Phase::WriteFailed(_) => self.output_monitor.remove(token),
            _ => {
                let output = &connection.output;
                self.output_monitor.update(self.now, token, output.waiting(), taken, output.limit());
            }
        }
    }

    pub fn remove(&mut self, token: Token) -> Option<Connection> {
        let mut connection = self.by_token.remove(&token)?;
        self.output_monitor.remove(token);
        self.paused_reads.remove(&token);
        // Fails if the stream was never registered or is closed already. Neither needs to be handled.
        let _ = self.poll.registry().deregister(&mut connection.stream);
        match connection.purpose {
            Purpose::Bus(connection) => drop(self.bus.remove(&connection)),
            Purpose::Link(link) => drop(self.links.remove(&link)),
            Purpose::Caller(_) | Purpose::ClosingCaller => self.caller_count -= 1,
        }
        Some(connection)
    }

    /// The lingering connection without unwritten output that was closed first. It lingers no more.
    pub fn next_to_discard(&mut self) -> Option<Token> {
        let is_written = |(_, token): &(Instant, Token)| !self.has_unwritten_output(*token);
        let position = self.closing.iter().position(is_written)?;
        self.closing.remove(position).map(|(_, token)| token)
    }

    /// Closes a connection without waiting for the other side. Returns whether it was open.
    pub fn discard(&mut self, token: Token, reason: Discard) -> bool {
        let Some(connection) = self.remove(token) else { return false };
        metrics::counter!("connections_discarded", "reason" => reason.label()).increment(1);
        debug!(
            target: LOG_TARGET,
            "{} {} closed: {}, {} octets unwritten",
            connection.purpose.label(),
            token.0,
            reason.label(),
            connection.output.waiting()
        );
        true
    }

    /// Removes a lost connection. The loss is reported to the core later.
    pub fn fail(&mut self, token: Token, reason: Disconnect) {
        if let Some(connection) = self.remove(token) {
            self.failed.push((connection.purpose, reason));
        }
    }

    pub fn flush(&mut self, token: Token) {
        let Some(connection) = self.by_token.get_mut(&token) else { return };
        if matches!(connection.phase, Phase::Connecting | Phase::HalfClosed | Phase::WriteFailed(_)) {
            return;
        }
        let waiting = connection.output.waiting();
        let written = connection.output.write_to(&mut connection.stream);
        let taken = waiting - connection.output.waiting();
        match written {
            Ok(true) => {
                connection.phase = Phase::Open;
                if connection.purpose == Purpose::ClosingCaller {
                    // Fails if the other side has closed, which does no harm.
                    let _ = connection.stream.shutdown(Shutdown::Write);
                }
            }
            Ok(false) => connection.phase = Phase::WriteBlocked,
            Err(error) => {
                connection.phase = Phase::WriteFailed(disconnect_reason(&error));
                self.pending_reads.insert(token);
            }
        }
        self.report_output(token, taken);
    }

    pub fn flush_all(&mut self) {
        let mut tokens = std::mem::take(&mut self.pending_writes);
        tokens.sort_unstable();
        tokens.dedup();
        tokens.drain(..).for_each(|token| self.flush(token));
        if self.pending_writes.is_empty() {
            // Keeps the allocation for the next turn.
            self.pending_writes = tokens;
        }
    }

    /// Closes the connections whose peers do not read. To be called after [`Connections::flush_all`].
    pub fn close_stalled(&mut self) {
        if !self.output_monitor.has_waiting() {
            return;
        }
        for peer in self.output_monitor.stalled(self.now) {
            if let Some(connection) = self.by_token.get(&peer.connection) {
                log_stalled(connection, &peer);
            }
            self.fail(peer.connection, Disconnect::Lost);
        }
    }

    /// Whether a connection may be read from: not a caller that does not take its answers, and no input that causes more
    /// output while too much waits. The event bus causes none.
    pub fn may_read(&self, token: Token) -> bool {
        let Some(connection) = self.by_token.get(&token) else { return true };
        let (waiting, limit) = (connection.output.waiting(), connection.output.limit());
        match (connection.purpose, connection.phase) {
            (_, Phase::WriteFailed(_)) | (Purpose::Bus(_) | Purpose::ClosingCaller, _) => true,
            (Purpose::Link(_), _) => !self.output_monitor.is_scarce(),
            (Purpose::Caller(_), _) => self.output_monitor.accepts_requests(waiting, limit),
        }
    }

    /// Leaves a connection unread until [`Connections::may_read`] allows it.
    pub fn pause_reads(&mut self, token: Token) {
        self.paused_reads.insert(token);
    }

    /// Schedules the reads of connections that were paused and may be read from again.
    pub fn resume_reads(&mut self) {
        let paused = std::mem::take(&mut self.paused_reads);
        let (resumed, paused): (BTreeSet<_>, BTreeSet<_>) =
            paused.into_iter().partition(|token| self.may_read(*token));
        self.paused_reads = paused;
        self.pending_reads.extend(resumed);
    }
}

/// Logs a close, with what tells a peer that does not read from one that had no chance to.
fn log_stalled(connection: &Connection, peer: &StalledPeer<Token>) {
    let label = connection.purpose.label();
    metrics::counter!("connections_closed_unread", "peer" => label).increment(1);
    warn!(
        target: LOG_TARGET,
        "{} closed with unread output: {} octets wait, {} were taken in {:?}, {} were added since the last attempt to \
         write, socket {}",
        connection.purpose,
        peer.waiting,
        peer.taken,
        peer.stalled_for,
        connection.output.unattempted(),
        if connection.phase == Phase::WriteBlocked { "full" } else { "not known to be full" },
    );
}

pub fn disconnect_reason(error: &io::Error) -> Disconnect {
    if error.kind() == io::ErrorKind::ConnectionRefused { Disconnect::Refused } else { Disconnect::Lost }
}

impl Transport for Connections {
    fn send_to_caller(&mut self, caller: CallerConnectionId, octets: &[u8]) {
        self.push(Some(Token(caller.0 as usize)), octets);
    }

    fn is_caller_read_paused(&self, caller: CallerConnectionId) -> bool {
        self.paused_reads.contains(&Token(caller.0 as usize))
    }

    fn has_pending_data(&self, caller: CallerConnectionId) -> bool {
        let token = Token(caller.0 as usize);
        self.has_unwritten_output(token)
            || self.paused_reads.contains(&token)
            || self.pending_reads.contains(&token)
    }

    fn close_caller_after_flush(&mut self, caller: CallerConnectionId) {
        let token = Token(caller.0 as usize);
        if let Some(connection) = self.by_token.get_mut(&token) {
            connection.purpose = Purpose::ClosingCaller;
            self.closing.push_back((Instant::now() + LINGER, token));
            self.pending_writes.push(token);
            self.pending_reads.insert(token);
        }
    }

    fn connect_link(&mut self, link: LinkId, to: SocketAddr) {
        if let Some(token) = self.connect(to, Purpose::Link(link)) {
            self.links.insert(link, token);
        }
    }

    fn send_to_link(&mut self, link: LinkId, octets: &[u8]) {
        self.push(self.links.get(&link).copied(), octets);
    }

    fn send_set_up(&mut self, link: LinkId, call: CallId, octets: &[u8]) {
        let token = self.links.get(&link).copied();
        self.push_with(token, |output| output.push_revocable(call.0, octets));
    }

    fn revoke_set_up(&mut self, link: LinkId, call: CallId) -> bool {
        let Some(token) = self.links.get(&link).copied() else { return false };
        let Some(connection) = self.by_token.get_mut(&token) else { return false };
        let is_revoked = connection.output.revoke(call.0);
        if is_revoked {
            self.report_output(token, 0);
        }
        is_revoked
    }

    fn is_write_blocked(&self, link: LinkId) -> bool {
        let connection = self.links.get(&link).and_then(|token| self.by_token.get(token));
        connection
            .is_none_or(|connection| matches!(connection.phase, Phase::WriteBlocked | Phase::WriteFailed(_)))
    }

    fn is_link_read_paused(&self, link: LinkId) -> bool {
        self.links.get(&link).is_some_and(|token| self.paused_reads.contains(token))
    }

    fn shutdown_link_write(&mut self, link: LinkId) {
        let Some(token) = self.links.get(&link).copied() else { return };
        self.flush(token);
        if let Some(connection) = self.by_token.get_mut(&token)
            && connection.phase != Phase::Connecting
        {
            connection.phase = Phase::HalfClosed;
            // Fails if the other side has closed. The connection is read to its end all the same.
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }

    fn close_link(&mut self, link: LinkId) {
        if let Some(token) = self.links.get(&link).copied() {
            // Writes the waiting output first, which is mostly a release.
            self.flush(token);
            self.remove(token);
        }
    }

    fn connect_bus(&mut self, connection: BusConnectionId, to: SocketAddr) {
        if let Some(token) = self.connect(to, Purpose::Bus(connection)) {
            self.bus.insert(connection, token);
        }
    }

    fn send_to_bus(&mut self, connection: BusConnectionId, text: &str) {
        self.push(self.bus.get(&connection).copied(), text.as_bytes());
    }

    fn close_bus(&mut self, connection: BusConnectionId) {
        if let Some(token) = self.bus.get(&connection).copied() {
            self.remove(token);
        }
    }

    fn log_info(&mut self, line: &str) {
        info!(target: "mintstall::mode", "{line}");
    }

    fn log_debug(&mut self, step: Arguments) {
        debug!(target: "mintstall::calls", "{step}");
    }
}

#[cfg(test)]
mod tests;
