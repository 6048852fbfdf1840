//! The process of a controller on the operators' platform: sockets, timers and signals around a [`Core`].
//!
//! The core makes all decisions. Each turn of the event loop passes received data to the core in the order event bus,
//! exchanges, callers, and writes the core's output at its end. All queues are bounded: the reads per connection and turn
//! are limited, a caller that does not read its messages is not read from, and the number of accepted connections leaves
//! the file descriptors that links and the event bus need.

mod connections;
mod metrics;

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mintstall_platform::{CallerConnectionId, Config, Core, Disconnect};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use thiserror::Error;
use tracing::{debug, info, warn};

use crate::connections::{Connections, Discard, Phase, Purpose, disconnect_reason};

#[derive(Debug, Error)]
pub enum NodeError {
    #[error("can't listen for callers on {addr}: {error}")]
    Listen { addr: SocketAddr, error: io::Error },
    #[error("event loop failed: {0}")]
    Poll(io::Error),
}

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const READ_BUFFER_OCTETS: usize = 16 << 10;
/// Per connection and turn, so that one that floods the controller does not hold up the others.
const MAX_READS_PER_TURN: usize = 4;
/// The most events of one poll, whatever number of descriptors the configuration allows.
const MAX_EVENTS: usize = 1 << 16;
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// The output that waits for all connections may take up the memory limit divided by this.
const OUTPUT_SHARE_OF_MEMORY: usize = 4;
const MIN_OUTPUT_OCTETS: usize = 1 << 20;
/// How long open connections delay the end of the process, so that the callers see the close.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(200);
/// The delay before a configuration file that can't be read is tried again.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RELOAD_ATTEMPTS: u32 = 8;
/// A poll that returns sooner found something that had come before it.
const IMMEDIATE_POLL: Duration = Duration::from_millis(1);
/// Before timers run, what had arrived until this long ago has been read. Well below the protocol's slack.
const MAX_INPUT_AGE: Duration = Duration::from_millis(10);
/// So that a flood, which takes longer than that to read, does not keep timers from running.
const MAX_REPEATED_POLLS: usize = 4;
/// A turn of the event loop that takes longer is logged: the protocol's slack for each time limit.
const LATE_TURN: Duration = Duration::from_millis(50);

/// A controller with its sockets, timers and signals.
pub struct Node {
    core: Core,
    connections: Connections,
    listener: TcpListener,
    signals: Signals,
    config_path: PathBuf,
    /// Unix time at the start. The monotonic time since then is added to it, so that the clock never steps.
    started_unix: Duration,
    started: Instant,
    max_callers: usize,
    /// As many as there can be connections: timers judge by what has been received, so all that is ready is read first.
    max_events: usize,
    /// Whether connections are left that could not be accepted yet.
    retry_accept: bool,
    buffer: Vec<u8>,
    counter_log: metrics::CounterLog,
    next_counter_log: Instant,
    /// When the last poll returned.
    turn_started: Instant,
    /// How much later than it should the last poll returned.
    overslept: Duration,
    /// Since when the core's shutdown has been complete.
    shutdown_complete_since: Option<Instant>,
    /// When the configuration is read again, and how many attempts are left.
    reload_retry: Option<(Instant, u32)>,
}

impl Node {
    /// Listens for callers and starts the core. SIGHUP reloads the configuration from `config_path`.
    pub fn open(config: &Config, listen: SocketAddr, config_path: PathBuf) -> Result<Self, NodeError> {
        metrics::install();
        let poll = Poll::new().map_err(NodeError::Poll)?;
        let mut listener =
            TcpListener::bind(listen).map_err(|error| NodeError::Listen { addr: listen, error })?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE).map_err(NodeError::Poll)?;
        let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(NodeError::Poll)?;
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE).map_err(NodeError::Poll)?;
        let max_output_octets = (config.memory_octets / OUTPUT_SHARE_OF_MEMORY).max(MIN_OUTPUT_OCTETS);
        let mut connections = Connections::new(poll, max_output_octets);
        // A clock set before 1970 can't date the start times of processors. It counts as zero.
        let started_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = Instant::now();
        let core = Core::new(config, started_unix, &mut connections);
        Ok(Self {
            core,
            connections,
            listener,
            signals,
            config_path,
            started_unix,
            started,
            max_callers: config.sockets * 5 / 8,
            max_events: config.sockets.min(MAX_EVENTS),
            retry_accept: false,
            buffer: vec![0; READ_BUFFER_OCTETS],
            counter_log: metrics::CounterLog::default(),
            next_counter_log: started + metrics::LOG_INTERVAL,
            turn_started: started,
            overslept: Duration::ZERO,
            shutdown_complete_since: None,
            reload_retry: None,
        })
    }

    /// The address on which callers connect.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    fn now(&self) -> Duration {
        self.started_unix + self.started.elapsed()
    }

    /// Runs until a signal has stopped the controller and its shutdown is complete.
    pub fn run(mut self) -> Result<(), NodeError> {
        let mut events = Events::with_capacity(self.max_events);
        loop {
            self.report_failures();
            self.connections.flush_all();
            self.connections.close_stalled();
            self.connections.resume_reads();
            if self.may_exit() {
                return Ok(());
            }
            let timeout = self.poll_timeout();
            let mut polled_at = self.poll_and_handle(&mut events, timeout)?;
            // Timers judge by what has been received. What arrived while the process did not run is read before them.
            for _ in 0..MAX_REPEATED_POLLS {
                if !self.is_timer_due() || polled_at.elapsed() <= MAX_INPUT_AGE {
                    break;
                }
                polled_at = self.poll_and_handle(&mut events, Duration::ZERO)?;
            }
            let now = self.now();
            self.core.on_timer(now, &mut self.connections);
            self.close_lingering();
            self.reload_if_due();
            self.log_counters();
        }
    }

    fn is_timer_due(&self) -> bool {
        self.core.next_timer().is_some_and(|due| due <= self.now())
    }

    /// Waits for events, and handles them. Returns when the wait began: what had arrived until then has been read.
    fn poll_and_handle(&mut self, events: &mut Events, timeout: Duration) -> Result<Instant, NodeError> {
        let polled_at = Instant::now();
        let turn_time = polled_at - self.turn_started;
        match self.connections.poll.poll(events, Some(timeout)) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => events.clear(),
            Err(error) => return Err(NodeError::Poll(error)),
        }
        self.turn_started = Instant::now();
        self.connections.now = self.now();
        let poll_time = self.turn_started - polled_at;
        let overslept = poll_time.saturating_sub(timeout);
        let unread = unread_time(turn_time + self.overslept, poll_time, overslept);
        self.overslept = overslept;
        self.core.set_earliest_arrival(self.connections.now.saturating_sub(unread));
        for event in events.iter().filter(|event| event.is_read_closed() || event.is_error()) {
            self.note_departure(event.token());
        }
        let ready = merge_ready(
            events.iter().map(|event| (event.token(), event.is_writable())),
            std::mem::take(&mut self.connections.pending_reads),
        );
        self.handle_all(ready);
        log_late_turn(self.turn_started.elapsed());
        Ok(polled_at)
    }

    /// Handles the connections that are ready. The event bus comes first, so that no new call goes to an exchange that it has
    /// just reported draining. New connections come last: what has arrived on open ones tells which can be closed to make
    /// room for them.
    fn handle_all(&mut self, ready: BTreeMap<Token, bool>) {
        let mut ready: Vec<_> = ready.into_iter().collect();
        ready.sort_by_key(|(token, _)| {
            let purpose = self.connections.by_token.get(token).map(|connection| connection.purpose);
            (*token == LISTENER, purpose, *token)
        });
        for (token, writable) in ready {
            match token {
                LISTENER => self.accept(),
                SIGNALS => self.handle_signals(),
                token => self.handle_ready(token, writable),
            }
            self.report_failures();
        }
        if std::mem::take(&mut self.retry_accept) {
            self.accept();
        }
    }

    /// Whether the core's shutdown is complete and the callers have seen their connections close.
    fn may_exit(&mut self) -> bool {
        if !self.core.is_shutdown_complete(self.now()) {
            self.shutdown_complete_since = None;
            return false;
        }
        // Connections that the operating system has already accepted are served before the process ends.
        self.accept();
        let since = *self.shutdown_complete_since.get_or_insert_with(Instant::now);
        let has_output = self.connections.by_token.values().any(|connection| connection.output.waiting() > 0);
        let lingers = self.connections.caller_count > 0 && since.elapsed() < SHUTDOWN_LINGER;
        let now = self.now();
        let may_exit =
            self.core.is_shutdown_complete(now) && (self.core.must_exit(now) || !has_output && !lingers);
        if may_exit {
            self.log_exit();
        }
        may_exit
    }

    /// Logs what the end of the process cuts off.
    fn log_exit(&self) {
        let connections = self.connections.by_token.values();
        let unwritten: usize = connections.map(|connection| connection.output.waiting()).sum();
        info!(
            target: connections::LOG_TARGET,
            "process ends: {} connections open, {unwritten} octets unwritten",
            self.connections.by_token.len()
        );
    }

    fn log_counters(&mut self) {
        let now = Instant::now();
        if now >= self.next_counter_log {
            self.next_counter_log = now + metrics::LOG_INTERVAL;
            self.counter_log.log_changes();
        }
    }

    fn poll_timeout(&self) -> Duration {
        const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(250);
        const SHUTDOWN_POLL_TIMEOUT: Duration = Duration::from_millis(5);
        if !self.connections.pending_reads.is_empty() || !self.connections.failed.is_empty() {
            return Duration::ZERO;
        }
        if self.shutdown_complete_since.is_some() {
            return SHUTDOWN_POLL_TIMEOUT;
        }
        let until_timer = self.core.next_timer().map(|due| due.saturating_sub(self.now()));
        until_timer.map_or(MAX_POLL_TIMEOUT, |timeout| timeout.min(MAX_POLL_TIMEOUT))
    }

    fn report_failures(&mut self) {
        while let Some((purpose, reason)) = self.connections.failed.pop() {
            let now = self.now();
            match purpose {
                Purpose::Bus(connection) => {
                    self.core.bus_disconnected(now, &mut self.connections, connection)
                }
                Purpose::Link(link) => self.core.link_disconnected(now, &mut self.connections, link, reason),
                Purpose::Caller(caller) => self.core.caller_disconnected(now, &mut self.connections, caller),
                Purpose::ClosingCaller => {}
            }
        }
    }

    /// Closes the connections whose linger time is over.
    fn close_lingering(&mut self) {
        let now = Instant::now();
        while let Some((_, token)) = self.connections.closing.pop_front_if(|(due, _)| *due <= now) {
            self.connections.discard(token, Discard::LingerExpired);
        }
    }

    fn accept(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
                // No file descriptor is free, although the connection limits should prevent that. Retried once at the
                // end of a turn, not at once.
                Err(_) => return self.retry_accept = true,
            };
            if self.connections.caller_count >= self.max_callers && !self.make_room() {
                // Closes the new connection: all open ones have unanswered set-ups.
                ::metrics::counter!("connections_refused").increment(1);
                debug!(target: connections::LOG_TARGET, "a caller's connection refused: no other can be closed");
                continue;
            }
            let caller = CallerConnectionId(self.connections.next_token as u64);
            match self.connections.add(stream, Purpose::Caller(caller), Phase::Open) {
                Ok(_) => {
                    self.connections.caller_count += 1;
                    self.core.caller_connected(self.now(), caller);
                }
                Err(error) => warn!("can't register a caller's connection: {error}"),
            }
        }
        self.connections.pending_reads.insert(LISTENER);
    }

    /// Closes a lingering connection or else the least active caller. Returns whether there was one. No connection is closed
    /// whose output is not written or whose input is not read.
    fn make_room(&mut self) -> bool {
        while let Some(token) = self.connections.next_to_discard() {
            if self.connections.discard(token, Discard::NoRoom) {
                return true;
            }
        }
        while let Some(caller) = self.core.least_active_caller(&self.connections) {
            let token = Token(caller.0 as usize);
            self.read(token);
            self.report_failures();
            // It may have closed the connection itself.
            if self.connections.caller_count < self.max_callers {
                return true;
            }
            // What was read may have opened calls, or may be more than is read at once.
            if self.core.least_active_caller(&self.connections) == Some(caller) {
                self.core.caller_disconnected(self.now(), &mut self.connections, caller);
                return self.connections.discard(token, Discard::NoRoom);
            }
        }
        false
    }

    fn handle_signals(&mut self) {
        let pending: Vec<_> = self.signals.pending().collect();
        for signal in pending {
            let now = self.now();
            match signal {
                SIGHUP => self.reload(MAX_RELOAD_ATTEMPTS),
                _ => self.core.stop(now, &mut self.connections),
            }
        }
    }

    /// Reloads the configuration. A file that can't be read may be incomplete, so further attempts follow.
    fn reload(&mut self, attempts: u32) {
        self.reload_retry = None;
        match Config::read(&self.config_path) {
            Ok(config) => self.core.reconfigure(self.now(), &mut self.connections, &config),
            Err(error) if attempts > 1 => {
                warn!(
                    "can't reload the configuration, keeping the current one until the next attempt: {error}"
                );
                self.reload_retry = Some((Instant::now() + RELOAD_RETRY_DELAY, attempts - 1));
            }
            Err(error) => warn!("can't reload the configuration, keeping the current one: {error}"),
        }
    }

    fn reload_if_due(&mut self) {
        if let Some((due, attempts)) = self.reload_retry
            && due <= Instant::now()
        {
            self.reload(attempts);
        }
    }

    /// If a caller has closed its connection, tells the core before what it sent earlier is read.
    fn note_departure(&mut self, token: Token) {
        if let Some(Purpose::Caller(caller)) =
            self.connections.by_token.get(&token).map(|known| known.purpose)
        {
            self.core.caller_left(self.now(), &mut self.connections, caller);
        }
    }

    /// Handles a connection that is ready to be read or written.
    fn handle_ready(&mut self, token: Token, writable: bool) {
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
        if connection.phase == Phase::Connecting {
            if !writable || !self.finish_connect(token) {
                return;
            }
        } else if writable && connection.phase == Phase::WriteBlocked {
            self.connections.flush(token);
        }
        self.read(token);
    }

    /// Checks the outcome of a connection attempt. Returns whether the connection is open.
    fn finish_connect(&mut self, token: Token) -> bool {
        let Some(connection) = self.connections.by_token.get_mut(&token) else { return false };
        let error = connection.stream.take_error().ok().flatten();
        match error.map_or_else(|| connection.stream.peer_addr().map(drop), Err) {
            Ok(()) => {
                connection.phase = Phase::Open;
                let (purpose, now) = (connection.purpose, self.now());
                match purpose {
                    Purpose::Link(link) => self.core.link_connected(now, &mut self.connections, link),
                    Purpose::Bus(connection) => {
                        self.core.bus_connected(now, &mut self.connections, connection)
                    }
                    Purpose::Caller(_) | Purpose::ClosingCaller => {}
                }
                true
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => false,
            Err(error) => {
                self.connections.fail(token, disconnect_reason(&error));
                false
            }
        }
    }

    fn read(&mut self, token: Token) {
        for _ in 0..MAX_READS_PER_TURN {
            if !self.connections.may_read(token) {
                return self.connections.pause_reads(token);
            }
            let Some(connection) = self.connections.by_token.get_mut(&token) else { return };
            let purpose = connection.purpose;
            match connection.stream.read(&mut self.buffer) {
                Ok(0) => return self.connections.fail(token, Disconnect::Lost),
                Ok(count) => {
                    let (now, octets) = (self.started_unix + self.started.elapsed(), &self.buffer[..count]);
                    match purpose {
                        Purpose::Bus(connection) => {
                            self.core.bus_data(now, &mut self.connections, connection, octets)
                        }
                        Purpose::Link(link) => self.core.link_data(now, &mut self.connections, link, octets),
                        Purpose::Caller(caller) => {
                            self.core.caller_data(now, &mut self.connections, caller, octets)
                        }
                        Purpose::ClosingCaller => {}
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if let Phase::WriteFailed(reason) = connection.phase {
                        self.connections.fail(token, reason);
                    }
                    return;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return self.connections.fail(token, disconnect_reason(&error)),
            }
        }
        self.connections.pending_reads.insert(token);
    }
}

/// The connections to handle in a turn, each once, with whether it can be written: those with an event, and those of which
/// more may be left to read. One that is handled twice gets twice its share of the turn, and more with each turn.
fn merge_ready(
    events: impl Iterator<Item = (Token, bool)>,
    pending_reads: impl IntoIterator<Item = Token>,
) -> BTreeMap<Token, bool> {
    let mut ready: BTreeMap<_, _> = pending_reads.into_iter().map(|token| (token, false)).collect();
    for (token, writable) in events {
        *ready.entry(token).or_default() |= writable;
    }
    ready
}

/// How long what a poll reports may have waited: since the last poll collected events (`since_last_poll`) if this one did not
/// wait, and while the process did not run if it returned later than it should (`overslept`).
fn unread_time(since_last_poll: Duration, poll_time: Duration, overslept: Duration) -> Duration {
    if poll_time < IMMEDIATE_POLL { since_last_poll + overslept } else { overslept }
}

fn log_late_turn(elapsed: Duration) {
    if elapsed > LATE_TURN {
        ::metrics::counter!("late_turns").increment(1);
        debug!(target: connections::LOG_TARGET, "a turn of the event loop took {elapsed:?}");
    }
}

#[cfg(test)]
mod tests;
