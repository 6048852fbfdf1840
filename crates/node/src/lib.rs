//! A controller on the operators' platform as a process: sockets, timers and signals around a [`Core`].
//!
//! It decides nothing. What came is handed to the core in the order bus, exchanges, callers; what the core wants written is
//! written at the end of each turn. Every queue has a bound: reads are cut to a share of a turn, a caller that does not
//! read is not read either, and accepted connections leave the descriptors that links and the bus need.

mod metrics;

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Arguments;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mintstall_daemon::output_buffer::OutputBuffer;
use mintstall_platform::{CallerConnectionId, Config, Core, Disconnect, LinkId, Transport};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use thiserror::Error;
use tracing::{debug, info, warn};

#[derive(Debug, Error)]
pub enum NodeError {
    #[error("callers' address {addr}: {error}")]
    Listen { addr: SocketAddr, error: io::Error },
    #[error("no event loop: {0}")]
    Poll(io::Error),
}

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const FIRST: usize = 2;
const READ: usize = 16 << 10;
/// Reads of one connection in a turn: a flooder waits for the others.
const READS: usize = 4;
/// Connections accepted in a turn.
const ACCEPTS: usize = 64;
/// Octets that may wait for a connection; a caller is not read while half of that waits.
const MOST_WAITING: usize = 128 << 10;
/// A connection told why it is closed is read on for so long, or the reset for what it still sends would take the
/// words away.
const LINGER: Duration = Duration::from_millis(1500);
/// And at the end of the process for so long: the other side needs that to see the close.
const LAST_LINGER: Duration = Duration::from_millis(200);
/// A configuration that can't be read is read again after this, so many times in all.
const RELOAD_AFTER: Duration = Duration::from_millis(250);
const RELOAD_TRIES: u32 = 8;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    Bus,
    Link(LinkId),
    Caller(CallerConnectionId),
    /// A caller's, told why it is closed: what still comes is thrown away until then.
    Leaving,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Dialled,
    Open,
    /// Open, and waits until more can be written.
    Full,
    /// Closed in our direction: nothing more is written, and it is read to its end.
    HalfClosed,
    /// A write has failed: what had come before is read, then it is over.
    Broken(Disconnect),
}

struct Connection {
    stream: TcpStream,
    purpose: Purpose,
    phase: Phase,
    out: OutputBuffer,
}

struct Wires {
    poll: Poll,
    connections: BTreeMap<Token, Connection>,
    links: BTreeMap<LinkId, Token>,
    bus: Option<Token>,
    callers: usize,
    /// Connections with something to write.
    dirty: Vec<Token>,
    /// Connections with more to read than their share of a turn.
    more: Vec<Token>,
    /// What failed in the midst of a turn, to be told at its end.
    failed: Vec<(Purpose, Disconnect)>,
    /// Connections that linger, by when they go.
    leaving: VecDeque<(Instant, Token)>,
    next: usize,
}

impl Wires {
    fn add(&mut self, mut stream: TcpStream, purpose: Purpose, phase: Phase) -> io::Result<Token> {
        let token = Token(self.next);
        self.next += 1;
        // Small messages must not wait for each other; where it can't be set, they do.
        let _ = stream.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, token, interest)?;
        self.connections
            .insert(token, Connection { stream, purpose, phase, out: OutputBuffer::new(MOST_WAITING) });
        Ok(token)
    }

    fn dial_out(&mut self, to: SocketAddr, purpose: Purpose) -> Option<Token> {
        let dialled = TcpStream::connect(to).and_then(|stream| self.add(stream, purpose, Phase::Dialled));
        match dialled {
            Ok(token) => Some(token),
            Err(error) => {
                self.failed.push((purpose, broke(&error)));
                None
            }
        }
    }

    fn push(&mut self, token: Option<Token>, octets: &[u8]) {
        let Some(token) = token else { return };
        if let Some(connection) = self.connections.get_mut(&token)
            && connection.phase != Phase::HalfClosed
        {
            connection.out.push(octets);
            self.dirty.push(token);
        }
    }

    fn remove(&mut self, token: Token) -> Option<Connection> {
        let mut connection = self.connections.remove(&token)?;
        // One that was never registered, or is closed by now, needs no taking out.
        let _ = self.poll.registry().deregister(&mut connection.stream);
        match connection.purpose {
            Purpose::Bus => self.bus = None,
            Purpose::Link(no) => drop(self.links.remove(&no)),
            Purpose::Caller(_) | Purpose::Leaving => self.callers -= 1,
        }
        Some(connection)
    }

    /// A connection broke: told at the end of the turn.
    fn fail(&mut self, token: Token, how: Disconnect) {
        if let Some(connection) = self.remove(token) {
            self.failed.push((connection.purpose, how));
        }
    }

    fn flush(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if matches!(connection.phase, Phase::Dialled | Phase::HalfClosed | Phase::Broken(_)) {
            return;
        }
        if connection.out.overrun() {
            return self.fail(token, Disconnect::Lost);
        }
        let had = connection.out.waiting() >= MOST_WAITING / 2;
        match connection.out.write_to(&mut connection.stream) {
            Ok(true) => {
                connection.phase = Phase::Open;
                if connection.purpose == Purpose::Leaving {
                    // Fails where the other side has closed: nothing is lost by it.
                    let _ = connection.stream.shutdown(Shutdown::Write);
                }
                if had {
                    self.more.push(token);
                }
            }
            Ok(false) => connection.phase = Phase::Full,
            Err(error) => {
                connection.phase = Phase::Broken(broke(&error));
                self.more.push(token);
            }
        }
    }

    fn flush_all(&mut self) {
        let mut dirty = std::mem::take(&mut self.dirty);
        dirty.sort_unstable();
        dirty.dedup();
        dirty.drain(..).for_each(|token| self.flush(token));
        if self.dirty.is_empty() {
            // Kept for its room.
            self.dirty = dirty;
        }
    }
}

fn broke(error: &io::Error) -> Disconnect {
    if error.kind() == io::ErrorKind::ConnectionRefused { Disconnect::Refused } else { Disconnect::Lost }
}

impl Transport for Wires {
    fn send_to_caller(&mut self, caller: CallerConnectionId, octets: &[u8]) {
        self.push(Some(Token(caller.0 as usize)), octets);
    }

    fn close_caller_after_flush(&mut self, caller: CallerConnectionId) {
        let token = Token(caller.0 as usize);
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.purpose = Purpose::Leaving;
            self.leaving.push_back((Instant::now() + LINGER, token));
            self.dirty.push(token);
            self.more.push(token);
        }
    }

    fn connect_link(&mut self, link: LinkId, to: SocketAddr) {
        if let Some(token) = self.dial_out(to, Purpose::Link(link)) {
            self.links.insert(link, token);
        }
    }

    fn send_to_link(&mut self, link: LinkId, octets: &[u8]) {
        self.push(self.links.get(&link).copied(), octets);
    }

    fn is_write_blocked(&self, link: LinkId) -> bool {
        let connection = self.links.get(&link).and_then(|token| self.connections.get(token));
        connection.is_none_or(|connection| matches!(connection.phase, Phase::Full | Phase::Broken(_)))
    }

    fn shutdown_link_write(&mut self, link: LinkId) {
        let Some(token) = self.links.get(&link).copied() else { return };
        self.flush(token);
        if let Some(connection) = self.connections.get_mut(&token)
            && connection.phase != Phase::Dialled
        {
            connection.phase = Phase::HalfClosed;
            // Fails where the other side has closed; its end is read all the same.
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }

    fn close_link(&mut self, link: LinkId) {
        if let Some(token) = self.links.get(&link).copied() {
            // What was sent before goes out first: a release, mostly.
            self.flush(token);
            self.remove(token);
        }
    }

    fn connect_bus(&mut self, to: SocketAddr) {
        self.close_bus();
        self.bus = self.dial_out(to, Purpose::Bus);
    }

    fn send_to_bus(&mut self, text: &str) {
        self.push(self.bus, text.as_bytes());
    }

    fn close_bus(&mut self) {
        if let Some(token) = self.bus {
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

/// A controller with its sockets.
pub struct Node {
    core: Core,
    wires: Wires,
    listener: TcpListener,
    signals: Signals,
    config: PathBuf,
    /// The Unix clock at the start, carried on by one that never steps.
    epoch: Duration,
    started: Instant,
    most_callers: usize,
    /// Connections wait that could not be accepted.
    accept_later: bool,
    buffer: Vec<u8>,
    counter_log: metrics::CounterLog,
    next_counter_log: Instant,
    /// Since when nothing has been left to do in a shutdown.
    stopped_since: Option<Instant>,
    /// When the configuration is read again, and how many tries are left.
    reload: Option<(Instant, u32)>,
}

impl Node {
    /// Listens and dials; `path` is read again at a SIGHUP.
    pub fn open(config: &Config, listen: SocketAddr, path: PathBuf) -> Result<Self, NodeError> {
        metrics::install();
        let poll = Poll::new().map_err(NodeError::Poll)?;
        let mut listener =
            TcpListener::bind(listen).map_err(|error| NodeError::Listen { addr: listen, error })?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE).map_err(NodeError::Poll)?;
        let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(NodeError::Poll)?;
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE).map_err(NodeError::Poll)?;
        let mut wires = Wires {
            poll,
            connections: BTreeMap::new(),
            links: BTreeMap::new(),
            bus: None,
            callers: 0,
            dirty: Vec::new(),
            more: Vec::new(),
            failed: Vec::new(),
            leaving: VecDeque::new(),
            next: FIRST,
        };
        // A clock before the epoch is none that processors' starts could be told by.
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = Instant::now();
        let core = Core::new(config, epoch, &mut wires);
        Ok(Self {
            core,
            wires,
            listener,
            signals,
            config: path,
            epoch,
            started,
            most_callers: config.sockets * 5 / 8,
            accept_later: false,
            buffer: vec![0; READ],
            counter_log: metrics::CounterLog::default(),
            next_counter_log: started + metrics::LOG_INTERVAL,
            stopped_since: None,
            reload: None,
        })
    }

    /// Where callers connect.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    fn now(&self) -> Duration {
        self.epoch + self.started.elapsed()
    }

    /// Runs until it is told to stop and owes nothing.
    pub fn run(mut self) -> Result<(), NodeError> {
        let mut events = Events::with_capacity(256);
        loop {
            self.told_of_failures();
            self.wires.flush_all();
            if self.may_end() {
                return Ok(());
            }
            match self.wires.poll.poll(&mut events, Some(self.rest())) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(NodeError::Poll(error)),
            }
            let mut ready: Vec<_> = events.iter().map(|event| (event.token(), event.is_writable())).collect();
            ready.extend(std::mem::take(&mut self.wires.more).into_iter().map(|token| (token, false)));
            // The bus first: nothing new may go where it has told a drain.
            ready.sort_by_key(|(token, _)| (self.wires.connections.get(token).map(|of| of.purpose), *token));
            for (token, writable) in ready {
                match token {
                    LISTENER => self.accept(),
                    SIGNALS => self.signalled(),
                    token => self.turn(token, writable),
                }
                self.told_of_failures();
            }
            if std::mem::take(&mut self.accept_later) {
                self.accept();
            }
            let now = self.now();
            self.core.on_timer(now, &mut self.wires);
            self.let_go();
            self.reload_if_due();
            self.log_counters();
        }
    }

    /// Whether nothing is owed any more, and callers have seen that their connections are closed.
    fn may_end(&mut self) -> bool {
        if !self.core.is_shutdown_complete(self.now()) {
            self.stopped_since = None;
            return false;
        }
        // A connection that the machine has accepted is served before the process ends.
        self.accept();
        let since = *self.stopped_since.get_or_insert_with(Instant::now);
        let waits = self.wires.connections.values().any(|connection| connection.out.waiting() > 0);
        let lingers = self.wires.callers > 0 || waits;
        self.core.is_shutdown_complete(self.now()) && (!lingers || since.elapsed() >= LAST_LINGER)
    }

    fn log_counters(&mut self) {
        let now = Instant::now();
        if now >= self.next_counter_log {
            self.next_counter_log = now + metrics::LOG_INTERVAL;
            self.counter_log.log_changes();
        }
    }

    /// How long to wait for what comes.
    fn rest(&self) -> Duration {
        const LONGEST: Duration = Duration::from_millis(250);
        const SHORT_REST: Duration = Duration::from_millis(5);
        if !self.wires.more.is_empty() || !self.wires.failed.is_empty() {
            return Duration::ZERO;
        }
        if self.stopped_since.is_some() {
            return SHORT_REST;
        }
        let alarm = self.core.next_timer().map(|due| due.saturating_sub(self.now()));
        alarm.map_or(LONGEST, |rest| rest.min(LONGEST))
    }

    fn told_of_failures(&mut self) {
        while let Some((purpose, how)) = self.wires.failed.pop() {
            let now = self.now();
            match purpose {
                Purpose::Bus => self.core.bus_disconnected(now, &mut self.wires),
                Purpose::Link(no) => self.core.link_disconnected(now, &mut self.wires, no, how),
                Purpose::Caller(no) => self.core.caller_disconnected(now, &mut self.wires, no),
                Purpose::Leaving => {}
            }
        }
    }

    /// Connections told why they are closed go once their time is up.
    fn let_go(&mut self) {
        let now = Instant::now();
        while let Some((_, token)) = self.wires.leaving.pop_front_if(|(due, _)| *due <= now) {
            self.wires.remove(token);
        }
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPTS {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
                // No descriptor is free, against all bounds: tried again with the next alarm, not at once.
                Err(_) => return self.accept_later = true,
            };
            if self.wires.callers >= self.most_callers && !self.make_room() {
                // Closed at once: all that are open have set-ups in hand.
                continue;
            }
            let caller = CallerConnectionId(self.wires.next as u64);
            match self.wires.add(stream, Purpose::Caller(caller), Phase::Open) {
                Ok(_) => {
                    self.wires.callers += 1;
                    self.core.caller_connected(self.now(), caller);
                }
                Err(error) => warn!("a caller's connection can't be watched: {error}"),
            }
        }
        self.wires.more.push(LISTENER);
    }

    /// Closes the connection that is missed least; whether there was one.
    fn make_room(&mut self) -> bool {
        while let Some((_, token)) = self.wires.leaving.pop_front() {
            if self.wires.remove(token).is_some() {
                return true;
            }
        }
        let Some(idle) = self.core.least_active_caller() else { return false };
        self.core.caller_disconnected(self.now(), &mut self.wires, idle);
        self.wires.remove(Token(idle.0 as usize)).is_some()
    }

    fn signalled(&mut self) {
        let pending: Vec<_> = self.signals.pending().collect();
        for signal in pending {
            let now = self.now();
            match signal {
                SIGHUP => self.reload(RELOAD_TRIES),
                _ => self.core.stop(now, &mut self.wires),
            }
        }
    }

    /// Reads the configuration again. One that can't be read may be half written, so it is tried some times more.
    fn reload(&mut self, tries: u32) {
        self.reload = None;
        match Config::read(&self.config) {
            Ok(config) => self.core.reconfigure(self.now(), &mut self.wires, &config),
            Err(error) if tries > 1 => {
                warn!("the configuration stays as it was, read again soon: {error}");
                self.reload = Some((Instant::now() + RELOAD_AFTER, tries - 1));
            }
            Err(error) => warn!("the configuration stays as it was: {error}"),
        }
    }

    fn reload_if_due(&mut self) {
        if let Some((at, tries)) = self.reload
            && at <= Instant::now()
        {
            self.reload(tries);
        }
    }

    /// Something can be read or written on a connection.
    fn turn(&mut self, token: Token, writable: bool) {
        let Some(connection) = self.wires.connections.get_mut(&token) else { return };
        if connection.phase == Phase::Dialled {
            if !writable || !self.dialled(token) {
                return;
            }
        } else if writable && connection.phase == Phase::Full {
            self.wires.flush(token);
        }
        self.read(token);
    }

    /// A dial has come to something; whether the connection is there.
    fn dialled(&mut self, token: Token) -> bool {
        let Some(connection) = self.wires.connections.get_mut(&token) else { return false };
        let error = connection.stream.take_error().ok().flatten();
        match error.map_or_else(|| connection.stream.peer_addr().map(drop), Err) {
            Ok(()) => {
                connection.phase = Phase::Open;
                let (purpose, now) = (connection.purpose, self.now());
                match purpose {
                    Purpose::Link(no) => self.core.link_connected(now, &mut self.wires, no),
                    _ => self.core.bus_connected(now, &mut self.wires),
                }
                true
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => false,
            Err(error) => {
                self.wires.fail(token, broke(&error));
                false
            }
        }
    }

    fn read(&mut self, token: Token) {
        for _ in 0..READS {
            let Some(connection) = self.wires.connections.get_mut(&token) else { return };
            // Who does not read is not read either; flushing takes it up again.
            let broken = matches!(connection.phase, Phase::Broken(_));
            if !broken && connection.out.waiting() >= MOST_WAITING / 2 {
                return;
            }
            let purpose = connection.purpose;
            match connection.stream.read(&mut self.buffer) {
                Ok(0) => return self.wires.fail(token, Disconnect::Lost),
                Ok(count) => {
                    let (now, octets) = (self.epoch + self.started.elapsed(), &self.buffer[..count]);
                    match purpose {
                        Purpose::Bus => self.core.bus_data(now, &mut self.wires, octets),
                        Purpose::Link(no) => self.core.link_data(now, &mut self.wires, no, octets),
                        Purpose::Caller(no) => self.core.caller_data(now, &mut self.wires, no, octets),
                        Purpose::Leaving => {}
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if let Phase::Broken(how) = connection.phase {
                        self.wires.fail(token, how);
                    }
                    return;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return self.wires.fail(token, broke(&error)),
            }
        }
        self.wires.more.push(token);
    }
}
