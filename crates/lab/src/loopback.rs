//! A day over sockets: every controller runs as a process of its own (`mintstall run`), the simulation in this process, and
//! TCP on the loopback address connects them.
//!
//! Each link of a controller ends in this process, as do its subscriber line, its client sessions and its directory
//! connection. Observers get the signalling at the time at which this process sends or receives it.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use mintstall_callapi::{Hangup, LineDecoder, Request, RequestMessage, ServerMessage};
use mintstall_callcontrol::Counters;
use mintstall_daemon::output_buffer::OutputBuffer;
use mintstall_emulator::{Action, Day, LinkMode, Observer, Score, Simulation};
use mintstall_membership::{ControllerNotification, DirectoryNotification, ProcessorStatus};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use serde_json::{Value, json};
use thiserror::Error;
use tracing::{info, warn};

use crate::clients::{ClientCounters, ClientId, ClientPool};
use crate::controller_config::{self, Endpoints};

#[derive(Debug, Error)]
pub enum LoopbackError {
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
    #[error("controller of exchange {exchange_number} was not ready within {within:?}")]
    NotReady { exchange_number: u16, within: Duration },
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> LoopbackError {
    let what = what.into();
    move |error| LoopbackError::Io { what, error }
}

/// The line that a controller writes to its standard output once it accepts calls.
#[derive(Debug, Deserialize)]
struct Ready {
    subscribers: Option<SocketAddr>,
    calls: Option<SocketAddr>,
    admin: Option<SocketAddr>,
}

/// The result of a day over sockets.
pub struct DayResult {
    pub score: Score,
    pub ended_at: Duration,
    pub counters: Vec<Counters>,
    /// Controllers that ended by themselves, or did not exit with success after SIGTERM.
    pub crashes: u64,
    pub stuck_circuits: usize,
    pub calls_left: usize,
    /// Counters of the WebSocket clients, if the day has any.
    pub clients: Option<ClientCounters>,
}

/// Exchange and start number of a controller, and the first line of its standard output, if that could be parsed.
type StartMessage = (u16, u64, Option<Ready>);

/// Time limit for all controllers to accept calls before the day starts.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// A day runs at most this much longer than its scripted length.
const MAX_OVERRUN: Duration = Duration::from_secs(60);
const WAKER: Token = Token(0);
const FIRST_TOKEN: usize = 1 << 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    Link { exchange_number: u16, to: u16 },
    Line(u16),
    Client(ClientId),
    Directory(u16),
}

struct Connection {
    stream: TcpStream,
    purpose: Purpose,
    decoder: LineDecoder,
    out: OutputBuffer,
    /// A client connection whose session does not know yet that it is connected.
    connecting: bool,
}

/// The process of one controller.
struct Process {
    child: Child,
    /// Number of this start: start messages of earlier processes that arrive late are ignored.
    start_number: u64,
    ready: Option<Ready>,
}

struct LoopbackRun<'a> {
    simulation: Simulation,
    clients: ClientPool,
    observer: &'a mut dyn Observer,
    program: &'a Path,
    folder: PathBuf,
    poll: Poll,
    listeners: BTreeMap<Token, (TcpListener, Purpose)>,
    connections: BTreeMap<Token, Connection>,
    by_purpose: BTreeMap<Purpose, Token>,
    endpoints: BTreeMap<u16, Endpoints>,
    processes: BTreeMap<u16, Process>,
    /// From the threads that read the controllers' standard output.
    start_messages: (Sender<StartMessage>, Receiver<StartMessage>),
    /// Notifications for controllers that are not connected to their directory yet.
    queued_notifications: BTreeMap<u16, Vec<String>>,
    start: Instant,
    next_token: usize,
    starts: u64,
    crashes: u64,
}

/// Runs a day whose script has no validation errors. `program` is the `mintstall` command; configurations and membership
/// files are written to `folder`.
pub fn run(
    day: &Day,
    program: &Path,
    folder: &Path,
    observer: &mut dyn Observer,
) -> Result<DayResult, LoopbackError> {
    let poll = Poll::new().map_err(io_error("event loop"))?;
    let mut day_run = LoopbackRun {
        simulation: Simulation::new(day, LinkMode::Sockets),
        clients: ClientPool::new(&day.clients, day.seed),
        observer,
        program,
        folder: folder.to_path_buf(),
        poll,
        listeners: BTreeMap::new(),
        connections: BTreeMap::new(),
        by_purpose: BTreeMap::new(),
        endpoints: BTreeMap::new(),
        processes: BTreeMap::new(),
        start_messages: channel(),
        queued_notifications: BTreeMap::new(),
        start: Instant::now(),
        next_token: FIRST_TOKEN,
        starts: 0,
        crashes: 0,
    };
    let result = day_run.run(day);
    // No process is left running, even after an error.
    for process in day_run.processes.values_mut() {
        let _ = process.child.kill();
        let _ = process.child.wait();
    }
    result
}

impl LoopbackRun<'_> {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn listen(&mut self, purpose: Purpose) -> Result<SocketAddr, LoopbackError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut listener = TcpListener::bind(any).map_err(io_error("listening on loopback"))?;
        let addr = listener.local_addr().map_err(io_error("listening on loopback"))?;
        self.next_token += 1;
        let token = Token(self.next_token);
        let registry = self.poll.registry();
        registry
            .register(&mut listener, token, Interest::READABLE)
            .map_err(io_error("listening on loopback"))?;
        self.listeners.insert(token, (listener, purpose));
        Ok(addr)
    }

    fn run(&mut self, day: &Day) -> Result<DayResult, LoopbackError> {
        let waker = Waker::new(self.poll.registry(), WAKER).map_err(io_error("event loop"))?;
        let waker = std::sync::Arc::new(waker);
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for exchange_number in 1..=day.exchanges {
            let pairs: Vec<(u16, u16)> = self.simulation.groups().keys().copied().collect();
            let others = pairs.iter().filter(|(a, b)| *a == exchange_number || *b == exchange_number);
            let mut links = Vec::new();
            for to in others.map(|(a, b)| if *a == exchange_number { *b } else { *a }) {
                links.push((to, self.listen(Purpose::Link { exchange_number, to })?));
            }
            let directory = Some(self.listen(Purpose::Directory(exchange_number))?);
            let membership_file = Some(self.folder.join(format!("roster-{exchange_number}.json")));
            self.endpoints.insert(
                exchange_number,
                Endpoints {
                    links,
                    subscribers: Some(any),
                    calls: Some(any),
                    admin: Some(any),
                    directory,
                    membership_file,
                },
            );
        }
        for exchange_number in 1..=day.exchanges {
            self.spawn(exchange_number, &waker)?;
        }
        // The day's clock starts once all controllers accept calls.
        let mut events = Events::with_capacity(1024);
        while (1..=day.exchanges).any(|exchange_number| self.line_token(exchange_number).is_none()) {
            if self.start.elapsed() > READY_TIMEOUT {
                let exchange_number = (1..=day.exchanges)
                    .find(|exchange_number| self.line_token(*exchange_number).is_none())
                    .unwrap_or(0);
                return Err(LoopbackError::NotReady { exchange_number, within: READY_TIMEOUT });
            }
            self.run_once(&mut events, Some(Duration::from_millis(50)), &waker)?;
        }
        self.start = Instant::now();
        for exchange_number in 1..=day.exchanges {
            let mut actions = Vec::new();
            let now = self.now();
            self.clients.exchange_ready(now, exchange_number);
            self.simulation.controller_ready(now, exchange_number, self.observer, &mut actions);
            self.carry_out(actions, &waker)?;
        }
        let day_end = Duration::from_secs_f64(day.length_s) + MAX_OVERRUN;
        while !self.simulation.is_finished(self.now()) && self.now() < day_end {
            let wait = self.simulation.next_event_time().map(|at| at.saturating_sub(self.now()));
            let wait = wait.unwrap_or(Duration::from_millis(100)).min(Duration::from_millis(100));
            self.run_once(&mut events, Some(wait), &waker)?;
            loop {
                let (now, mut actions) = (self.now(), Vec::new());
                if !self.simulation.advance(now, self.observer, &mut actions) {
                    break;
                }
                self.carry_out(actions, &waker)?;
            }
            self.flush();
        }
        // Releases of the last calls are still in transit: run on for 3 s.
        let drain_end = self.now() + Duration::from_secs(3);
        while self.now() < drain_end {
            self.run_once(&mut events, Some(Duration::from_millis(20)), &waker)?;
            let (now, mut actions) = (self.now(), Vec::new());
            while self.simulation.advance(now, self.observer, &mut actions) {}
            self.carry_out(actions, &waker)?;
            self.flush();
        }
        let ended_at = self.now();
        let (mut counters, mut stuck_circuits, mut calls_left) = (Vec::new(), 0, 0);
        for process in self.processes.values() {
            let Some(status) = process.ready.as_ref().and_then(|ready| status(ready.admin?).ok()) else {
                continue;
            };
            counters.push(parse_counters(&status));
            calls_left += status["calls"].as_u64().unwrap_or(0) as usize;
            let groups = status["groups"].as_array().cloned().unwrap_or_default();
            let count = |group: &Value, key: &str| group[key].as_u64().unwrap_or(0) as usize;
            let stuck_in = |group: &Value| {
                ["seized", "releasing", "resetting"].map(|key| count(group, key)).iter().sum::<usize>()
            };
            stuck_circuits += groups.iter().map(stuck_in).sum::<usize>();
        }
        self.stop_all();
        let score = self.simulation.score.clone();
        let clients = (!self.clients.is_disabled()).then_some(self.clients.counters);
        Ok(DayResult {
            score,
            ended_at,
            counters,
            crashes: self.crashes,
            stuck_circuits,
            calls_left,
            clients,
        })
    }

    /// Sends SIGTERM to every controller and counts those that do not exit with success within 10 s.
    fn stop_all(&mut self) {
        for process in self.processes.values() {
            // The process is a child that has not been waited for yet, so its id is not in use by another process.
            let pid = Pid::from_raw(process.child.id() as i32);
            if let Err(error) = kill(pid, Signal::SIGTERM) {
                warn!(%pid, "SIGTERM to the controller failed: {error}");
            }
        }
        let deadline = Instant::now() + Duration::from_secs(10);
        for (exchange_number, process) in &mut self.processes {
            loop {
                match process.child.try_wait() {
                    Ok(Some(status)) if status.success() => break,
                    Ok(None) if Instant::now() < deadline => std::thread::sleep(Duration::from_millis(5)),
                    other => {
                        warn!(
                            office = exchange_number,
                            ?other,
                            "controller did not exit with success after SIGTERM"
                        );
                        self.crashes += 1;
                        break;
                    }
                }
            }
        }
    }

    fn spawn(&mut self, exchange_number: u16, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        let config =
            controller_config::build(&self.simulation, exchange_number, &self.endpoints[&exchange_number]);
        let path = self.folder.join(format!("exchange-{exchange_number}.json"));
        let text = serde_json::to_string_pretty(&config).unwrap_or_default();
        std::fs::write(&path, text).map_err(io_error(path.display().to_string()))?;
        let mut child = Command::new(self.program)
            .arg("run")
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .map_err(io_error(self.program.display().to_string()))?;
        self.starts += 1;
        let (start_number, sender, waker) = (self.starts, self.start_messages.0.clone(), waker.clone());
        if let Some(stdout) = child.stdout.take() {
            std::thread::spawn(move || {
                let mut lines = BufReader::new(stdout).lines();
                let ready =
                    lines.next().and_then(Result::ok).and_then(|line| serde_json::from_str(&line).ok());
                let _ = sender.send((exchange_number, start_number, ready));
                let _ = waker.wake();
                lines.for_each(drop);
            });
        }
        self.processes.insert(exchange_number, Process { child, start_number, ready: None });
        Ok(())
    }

    fn line_token(&self, exchange_number: u16) -> Option<Token> {
        self.by_purpose.get(&Purpose::Line(exchange_number)).copied()
    }

    fn add_connection(&mut self, mut stream: TcpStream, purpose: Purpose) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        self.next_token += 1;
        let token = Token(self.next_token);
        self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let decoder = LineDecoder::new(1 << 16);
        let connecting = matches!(purpose, Purpose::Client(_));
        let connection = Connection { stream, purpose, decoder, out: OutputBuffer::default(), connecting };
        self.connections.insert(token, connection);
        if let Some(replaced) = self.by_purpose.insert(purpose, token) {
            self.connections.remove(&replaced);
        }
        Ok(())
    }

    /// Waits for events and handles them once.
    fn run_once(
        &mut self,
        events: &mut Events,
        wait: Option<Duration>,
        waker: &std::sync::Arc<Waker>,
    ) -> Result<(), LoopbackError> {
        match self.poll.poll(events, wait) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => {
                return Err(io_error("event loop")(error));
            }
            _ => {}
        }
        let tokens: Vec<Token> = events.iter().map(|event| event.token()).collect();
        for token in tokens {
            if token == WAKER {
                self.handle_start_messages(waker)?;
            } else if self.listeners.contains_key(&token) {
                self.accept(token, waker)?;
            } else {
                self.read(token, waker)?;
            }
        }
        self.update_clients()?;
        self.flush();
        Ok(())
    }

    /// Cuts client connections as the script says, runs the timers of the sessions and connects those that ask for it.
    fn update_clients(&mut self) -> Result<(), LoopbackError> {
        let now = self.now();
        for client in self.clients.apply_cuts(now, &mut self.simulation, self.observer) {
            self.close(Purpose::Client(client));
        }
        for client in self.clients.client_ids() {
            let Some(session) = self.clients.session(client) else { continue };
            if session.next_timer().is_some_and(|at| at <= now) {
                session.on_timer(now);
            }
            if session.should_connect(now) {
                let address = self.processes.get(&client.0).and_then(|process| process.ready.as_ref()?.calls);
                let stream =
                    address.ok_or_else(|| io::ErrorKind::NotConnected.into()).and_then(TcpStream::connect);
                match stream.and_then(|stream| self.add_connection(stream, Purpose::Client(client))) {
                    Ok(()) => {}
                    Err(error) => session_lost(&mut self.clients, now, client, &error.to_string()),
                }
            }
            self.process_client(client);
        }
        Ok(())
    }

    /// Passes the events of a client session to the simulation and queues its output.
    fn process_client(&mut self, client: ClientId) {
        let now = self.now();
        self.clients.process_events(now, client, &mut self.simulation, self.observer);
        let Some(session) = self.clients.session(client) else { return };
        let out = std::mem::take(session.output());
        if !out.is_empty() {
            self.send(Purpose::Client(client), &[&out]);
        }
    }

    /// Handles the start messages of controllers that now accept calls: connects their subscriber lines.
    fn handle_start_messages(&mut self, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        while let Ok((exchange_number, start_number, ready)) = self.start_messages.1.try_recv() {
            let Some(process) = self
                .processes
                .get_mut(&exchange_number)
                .filter(|process| process.start_number == start_number)
            else {
                continue;
            };
            process.ready = ready;
            let Some(address) = process.ready.as_ref().and_then(|ready| ready.subscribers) else { continue };
            let stream = TcpStream::connect(address).map_err(io_error("connecting a subscriber line"))?;
            self.add_connection(stream, Purpose::Line(exchange_number))
                .map_err(io_error("connecting a subscriber line"))?;
            // The first start of each controller is reported to the simulation by `run`, once all are ready.
            if start_number > u64::from(self.simulation.day().exchanges) {
                let (now, mut actions) = (self.now(), Vec::new());
                self.clients.exchange_ready(now, exchange_number);
                self.simulation.controller_ready(now, exchange_number, self.observer, &mut actions);
                self.carry_out(actions, waker)?;
            }
        }
        Ok(())
    }

    fn accept(&mut self, token: Token, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        while let Some((listener, purpose)) = self.listeners.get(&token) {
            let purpose = *purpose;
            let Ok((stream, _)) = listener.accept() else { return Ok(()) };
            self.add_connection(stream, purpose).map_err(io_error("accepting a connection"))?;
            match purpose {
                Purpose::Link { exchange_number, to } => {
                    let (now, mut actions) = (self.now(), Vec::new());
                    self.simulation.link_connected(now, exchange_number, to, self.observer, &mut actions);
                    self.carry_out(actions, waker)?;
                }
                Purpose::Directory(exchange_number) => {
                    for text in self.queued_notifications.remove(&exchange_number).unwrap_or_default() {
                        self.send(purpose, &[text.as_bytes(), b"\n"]);
                    }
                }
                Purpose::Line(_) | Purpose::Client(_) => {}
            }
        }
        Ok(())
    }

    fn send(&mut self, purpose: Purpose, parts: &[&[u8]]) {
        let token = self.by_purpose.get(&purpose);
        if let Some(connection) = token.and_then(|token| self.connections.get_mut(token)) {
            parts.iter().for_each(|part| connection.out.push(part));
        }
    }

    fn flush(&mut self) {
        for connection in self.connections.values_mut().filter(|connection| connection.out.waiting() > 0) {
            // If this fails, the next read returns the error or the end of the connection.
            let _ = connection.out.write_to(&mut connection.stream);
        }
    }

    fn read(&mut self, token: Token, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        let mut buffer = [0; 16 << 10];
        if let Some(connection) = self.connections.get_mut(&token).filter(|connection| connection.connecting)
            && let Ok(to) = connection.stream.peer_addr()
            && let Purpose::Client(client) = connection.purpose
        {
            connection.connecting = false;
            let now = self.now();
            if let Some(session) = self.clients.session(client) {
                session.on_connected(now, to);
            }
            self.process_client(client);
        }
        loop {
            let Some(connection) = self.connections.get_mut(&token) else { return Ok(()) };
            match connection.stream.read(&mut buffer) {
                Ok(count) if count > 0 => self.on_octets(token, &buffer[..count], waker)?,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // The connection is still being set up; another event follows.
                Err(error) if error.kind() == io::ErrorKind::NotConnected => return Ok(()),
                _ => return self.connection_lost(token, waker),
            }
        }
    }

    fn on_octets(
        &mut self,
        token: Token,
        octets: &[u8],
        waker: &std::sync::Arc<Waker>,
    ) -> Result<(), LoopbackError> {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&token) else { return Ok(()) };
        let purpose = connection.purpose;
        if let Purpose::Client(client) = purpose {
            if let Some(session) = self.clients.session(client) {
                session.on_octets(now, octets);
            }
            self.process_client(client);
            return Ok(());
        }
        if let Purpose::Link { exchange_number, to } = purpose {
            self.simulation.on_controller_octets(now, exchange_number, to, octets, self.observer);
            return Ok(());
        }
        connection.decoder.push(octets);
        let mut texts = Vec::new();
        while let Ok(Some(text)) = connection.decoder.next() {
            texts.push(text.to_vec());
        }
        let mut actions = Vec::new();
        for text in texts {
            match purpose {
                Purpose::Line(exchange_number) => match ServerMessage::read(&text) {
                    Ok(ServerMessage::Answered(result)) => {
                        self.simulation.call_answered(
                            now,
                            exchange_number,
                            result.call,
                            result.exchange_call,
                            result.answer,
                            self.observer,
                        );
                    }
                    Ok(ServerMessage::Ended(notification)) => self.simulation.call_ended(
                        now,
                        exchange_number,
                        notification.call,
                        notification.how,
                        self.observer,
                    ),
                    Ok(
                        ServerMessage::Result { .. }
                        | ServerMessage::News(_)
                        | ServerMessage::Missed(_)
                        | ServerMessage::Other(_),
                    ) => {}
                    Ok(ServerMessage::Error { code, message, .. }) => {
                        info!(office = exchange_number, code, "controller answered with an error: {message}")
                    }
                    Err(error) => warn!(
                        office = exchange_number,
                        "cannot parse a message on the subscriber line: {error}"
                    ),
                },
                Purpose::Directory(exchange_number) => {
                    if let Ok(ControllerNotification::RequestFullList(request)) =
                        ControllerNotification::read(&text)
                        && request.held_version.is_none()
                        && self.processes.get(&exchange_number).is_some_and(|process| process.ready.is_some())
                    {
                        self.simulation.resend_membership(now, exchange_number, self.observer, &mut actions);
                    }
                }
                Purpose::Link { .. } | Purpose::Client(_) => {}
            }
        }
        self.carry_out(actions, waker)
    }

    fn connection_lost(&mut self, token: Token, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        let Some(connection) = self.connections.remove(&token) else { return Ok(()) };
        let purpose = connection.purpose;
        if self.by_purpose.get(&purpose) != Some(&token) {
            return Ok(());
        }
        self.by_purpose.remove(&purpose);
        let (now, mut actions) = (self.now(), Vec::new());
        match purpose {
            Purpose::Link { exchange_number, to } => {
                self.simulation.link_disconnected(now, exchange_number, to, self.observer, &mut actions)
            }
            Purpose::Line(exchange_number) => {
                if let Some(mut process) = self.processes.remove(&exchange_number) {
                    warn!(
                        office = exchange_number,
                        "controller ended by itself: {:?}",
                        process.child.try_wait()
                    );
                    let _ = process.child.kill();
                    let _ = process.child.wait();
                    self.crashes += 1;
                    self.simulation.controller_crashed(now, exchange_number, self.observer, &mut actions);
                }
            }
            Purpose::Client(client) => {
                session_lost(&mut self.clients, now, client, "connection closed by the controller")
            }
            Purpose::Directory(_) => {}
        }
        self.carry_out(actions, waker)
    }

    fn close(&mut self, purpose: Purpose) {
        if let Some(token) = self.by_purpose.remove(&purpose) {
            self.connections.remove(&token);
        }
    }

    fn carry_out(
        &mut self,
        actions: Vec<Action>,
        waker: &std::sync::Arc<Waker>,
    ) -> Result<(), LoopbackError> {
        for action in actions {
            match action {
                Action::Start { exchange_number, .. } => self.spawn(exchange_number, waker)?,
                Action::Kill { exchange_number } => {
                    if let Some(mut process) = self.processes.remove(&exchange_number) {
                        let _ = process.child.kill();
                        let _ = process.child.wait();
                    }
                    self.close(Purpose::Line(exchange_number));
                    for client in
                        self.clients.client_ids().into_iter().filter(|client| client.0 == exchange_number)
                    {
                        self.close(Purpose::Client(client));
                    }
                    self.clients.controller_killed(exchange_number);
                    self.close(Purpose::Directory(exchange_number));
                    self.queued_notifications.remove(&exchange_number);
                    let links: Vec<u16> =
                        self.endpoints[&exchange_number].links.iter().map(|(to, _)| *to).collect();
                    links.into_iter().for_each(|to| self.close(Purpose::Link { exchange_number, to }));
                }
                Action::LinkUp { .. } => {}
                Action::LinkDown { exchange_number, to } => self.close(Purpose::Link { exchange_number, to }),
                Action::LinkOctets { exchange_number, from, octets } => {
                    self.send(Purpose::Link { exchange_number, to: from }, &[&octets])
                }
                Action::Offer { exchange_number, offer } if !self.clients.is_disabled() => {
                    let (now, client) = (self.now(), self.clients.client_for(exchange_number, offer.call));
                    self.clients.offer(now, exchange_number, offer);
                    self.process_client(client);
                }
                Action::HangUp { exchange_number, call } if !self.clients.is_disabled() => {
                    self.clients.hang_up(exchange_number, call);
                    self.process_client(self.clients.client_for(exchange_number, call));
                }
                Action::Offer { exchange_number, offer } => {
                    let request =
                        RequestMessage { id: Some(json!(offer.call)), request: Request::Offer(offer) };
                    self.send(Purpose::Line(exchange_number), &[request.text().as_bytes(), b"\n"]);
                }
                Action::HangUp { exchange_number, call } => {
                    let request =
                        RequestMessage { id: Some(json!(call)), request: Request::Hangup(Hangup { call }) };
                    self.send(Purpose::Line(exchange_number), &[request.text().as_bytes(), b"\n"]);
                }
                Action::Membership { exchange_number, update } => {
                    self.notify(exchange_number, &DirectoryNotification::Membership(update))
                }
                Action::CircuitsInService { exchange_number, to, in_service } => {
                    self.notify(exchange_number, &DirectoryNotification::CircuitsInService { to, in_service })
                }
                Action::ProcessorReport { exchange_number, rate } => self.notify(
                    exchange_number,
                    &DirectoryNotification::Processor(ProcessorStatus { rate: Some(rate) }),
                ),
            }
        }
        Ok(())
    }

    fn notify(&mut self, exchange_number: u16, notification: &DirectoryNotification) {
        const MAX_QUEUED: usize = 1000;
        if self.by_purpose.contains_key(&Purpose::Directory(exchange_number)) {
            self.send(Purpose::Directory(exchange_number), &[notification.text().as_bytes(), b"\n"]);
        } else {
            let queue = self.queued_notifications.entry(exchange_number).or_default();
            if queue.len() < MAX_QUEUED {
                queue.push(notification.text());
            }
        }
    }
}

fn session_lost(clients: &mut ClientPool, now: Duration, client: ClientId, why: &str) {
    if let Some(session) = clients.session(client) {
        session.on_connection_lost(now, why);
    }
}

/// Requests the status from a controller's admin port.
pub fn status(admin: SocketAddr) -> io::Result<Value> {
    admin_request(admin, "status", &Value::Null, None)
}

/// Sends a request to a controller's admin port and returns the result.
pub fn admin_request(
    admin: SocketAddr,
    method: &str,
    params: &Value,
    token: Option<&str>,
) -> io::Result<Value> {
    let timeout = Duration::from_secs(5);
    let mut stream = std::net::TcpStream::connect_timeout(&admin, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let request = json!({ "jsonrpc": "2.0", "id": 1, "method": method, "params": params, "token": token });
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let reply: Value = serde_json::from_str(&line)?;
    match reply.get("result") {
        Some(result) => Ok(result.clone()),
        None => Err(io::Error::other(reply["error"]["message"].as_str().unwrap_or("no result").to_string())),
    }
}

fn parse_counters(status: &Value) -> Counters {
    let count = |key: &str| status["counts"][key].as_u64().unwrap_or(0);
    Counters {
        offered: count("offered"),
        transit: count("transit"),
        seizures: count("seizures"),
        stood: count("stood"),
        refused: count("refused"),
        failed: count("failed"),
        cut: count("cut"),
        terminated: count("terminated"),
        timed_out: count("timed_out"),
        dual_seizures: count("dual_seizures"),
        yielded: count("yielded"),
        releases_repeated: count("releases_repeated"),
        resets: count("resets"),
        stuck_found: count("stuck_found"),
        unexpected: count("unexpected"),
        overflow: count("overflow"),
    }
}
