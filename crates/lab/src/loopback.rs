//! A day over sockets: every controller a process of its own (`mintstall run`), the world in this one, loopback between.
//!
//! Each link of a controller ends here, as do its subscriber line and its directory: what crosses is seen at this end.

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
    #[error("controller {office} was not ready within {within:?}")]
    NotReady { office: u16, within: Duration },
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> LoopbackError {
    let what = what.into();
    move |error| LoopbackError::Io { what, error }
}

/// What a controller says on its standard output once it takes calls.
#[derive(Debug, Deserialize)]
struct Ready {
    subscribers: Option<SocketAddr>,
    calls: Option<SocketAddr>,
    admin: Option<SocketAddr>,
}

/// How a day over sockets went.
pub struct DayResult {
    pub score: Score,
    pub ended: Duration,
    pub tallies: Vec<Counters>,
    /// Controllers that ended without being asked to, and that did not stop in order when told.
    pub crashes: u64,
    pub stuck_circuits: usize,
    pub calls_left: usize,
    /// Of clients over WebSocket, where the day has any.
    pub clients: Option<ClientCounters>,
}

/// Which controller, which start of it, and what it said first, if that made sense.
type Said = (u16, u64, Option<Ready>);

const READY_WITHIN: Duration = Duration::from_secs(20);
const LINGER: Duration = Duration::from_secs(60);
const WAKER: Token = Token(0);
const FIRST_CONNECTION: usize = 1 << 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    Link { office: u16, to: u16 },
    Line(u16),
    Client(ClientId),
    Directory(u16),
}

struct Connection {
    stream: TcpStream,
    purpose: Purpose,
    cutter: LineDecoder,
    out: OutputBuffer,
    /// A client's that has not been told that it is there.
    dialling: bool,
}

/// One controller's process.
struct Process {
    child: Child,
    /// Which start of it this is: what an earlier one said late is passed over.
    round: u64,
    ready: Option<Ready>,
}

struct Site<'a> {
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
    said: (Sender<Said>, Receiver<Said>),
    /// Texts for directories that are not connected yet.
    waiting: BTreeMap<u16, Vec<String>>,
    start: Instant,
    next: usize,
    rounds: u64,
    crashes: u64,
}

/// Plays a day whose script has no faults, with `program` as the command `mintstall` and a folder of its own for
/// configurations.
pub fn run(
    day: &Day,
    program: &Path,
    folder: &Path,
    observer: &mut dyn Observer,
) -> Result<DayResult, LoopbackError> {
    let poll = Poll::new().map_err(io_error("event loop"))?;
    let mut site = Site {
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
        said: channel(),
        waiting: BTreeMap::new(),
        start: Instant::now(),
        next: FIRST_CONNECTION,
        rounds: 0,
        crashes: 0,
    };
    let played = site.run(day);
    // Whatever went wrong, no process is left behind.
    for process in site.processes.values_mut() {
        let _ = process.child.kill();
        let _ = process.child.wait();
    }
    played
}

impl Site<'_> {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn listen(&mut self, purpose: Purpose) -> Result<SocketAddr, LoopbackError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut listener = TcpListener::bind(any).map_err(io_error("listening on loopback"))?;
        let addr = listener.local_addr().map_err(io_error("listening on loopback"))?;
        self.next += 1;
        let token = Token(self.next);
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
        for office in 1..=day.exchanges {
            let pairs: Vec<(u16, u16)> = self.simulation.groups().keys().copied().collect();
            let others = pairs.iter().filter(|(a, b)| *a == office || *b == office);
            let mut links = Vec::new();
            for to in others.map(|(a, b)| if *a == office { *b } else { *a }) {
                links.push((to, self.listen(Purpose::Link { office, to })?));
            }
            let directory = Some(self.listen(Purpose::Directory(office))?);
            let membership_file = Some(self.folder.join(format!("roster-{office}.json")));
            self.endpoints.insert(
                office,
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
        for office in 1..=day.exchanges {
            self.spawn(office, &waker)?;
        }
        // The day's clock starts once all take calls.
        let mut events = Events::with_capacity(1024);
        while (1..=day.exchanges).any(|office| self.line(office).is_none()) {
            if self.start.elapsed() > READY_WITHIN {
                let office = (1..=day.exchanges).find(|office| self.line(*office).is_none()).unwrap_or(0);
                return Err(LoopbackError::NotReady { office, within: READY_WITHIN });
            }
            self.turn(&mut events, Some(Duration::from_millis(50)), &waker)?;
        }
        self.start = Instant::now();
        for office in 1..=day.exchanges {
            let mut actions = Vec::new();
            let now = self.now();
            self.clients.ready(now, office);
            self.simulation.controller_ready(now, office, self.observer, &mut actions);
            self.carry_out(actions, &waker)?;
        }
        let last = Duration::from_secs_f64(day.length_s) + LINGER;
        while !self.simulation.is_finished(self.now()) && self.now() < last {
            let wait = self.simulation.next_event_time().map(|at| at.saturating_sub(self.now()));
            let wait = wait.unwrap_or(Duration::from_millis(100)).min(Duration::from_millis(100));
            self.turn(&mut events, Some(wait), &waker)?;
            loop {
                let (now, mut actions) = (self.now(), Vec::new());
                if !self.simulation.advance(now, self.observer, &mut actions) {
                    break;
                }
                self.carry_out(actions, &waker)?;
            }
            self.flush();
        }
        // What was let go last still has its release on the way.
        let until = self.now() + Duration::from_secs(3);
        while self.now() < until {
            self.turn(&mut events, Some(Duration::from_millis(20)), &waker)?;
            let (now, mut actions) = (self.now(), Vec::new());
            while self.simulation.advance(now, self.observer, &mut actions) {}
            self.carry_out(actions, &waker)?;
            self.flush();
        }
        let ended = self.now();
        let (mut tallies, mut stuck_circuits, mut calls_left) = (Vec::new(), 0, 0);
        for process in self.processes.values() {
            let Some(status) = process.ready.as_ref().and_then(|ready| status(ready.admin?).ok()) else {
                continue;
            };
            tallies.push(tally(&status));
            calls_left += status["calls"].as_u64().unwrap_or(0) as usize;
            let groups = status["groups"].as_array().cloned().unwrap_or_default();
            let count = |group: &Value, what: &str| group[what].as_u64().unwrap_or(0) as usize;
            let stuck_in = |group: &Value| {
                ["seized", "releasing", "resetting"].map(|what| count(group, what)).iter().sum::<usize>()
            };
            stuck_circuits += groups.iter().map(stuck_in).sum::<usize>();
        }
        self.stop_all();
        let score = self.simulation.score.clone();
        let clients = (!self.clients.is_disabled()).then_some(self.clients.tally);
        Ok(DayResult { score, ended, tallies, crashes: self.crashes, stuck_circuits, calls_left, clients })
    }

    /// Tells every controller to stop, and counts those that do not do so in order.
    fn stop_all(&mut self) {
        for process in self.processes.values() {
            // The signal goes to a process that was started here and is not reaped yet.
            let pid = Pid::from_raw(process.child.id() as i32);
            if let Err(error) = kill(pid, Signal::SIGTERM) {
                warn!(%pid, "can't be told to stop: {error}");
            }
        }
        let until = Instant::now() + Duration::from_secs(10);
        for (office, process) in &mut self.processes {
            loop {
                match process.child.try_wait() {
                    Ok(Some(status)) if status.success() => break,
                    Ok(None) if Instant::now() < until => std::thread::sleep(Duration::from_millis(5)),
                    other => {
                        warn!(office, ?other, "did not stop in order");
                        self.crashes += 1;
                        break;
                    }
                }
            }
        }
    }

    fn spawn(&mut self, office: u16, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        let config = controller_config::build(&self.simulation, office, &self.endpoints[&office]);
        let path = self.folder.join(format!("exchange-{office}.json"));
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
        self.rounds += 1;
        let (round, sender, waker) = (self.rounds, self.said.0.clone(), waker.clone());
        if let Some(stdout) = child.stdout.take() {
            std::thread::spawn(move || {
                let mut lines = BufReader::new(stdout).lines();
                let ready =
                    lines.next().and_then(Result::ok).and_then(|line| serde_json::from_str(&line).ok());
                let _ = sender.send((office, round, ready));
                let _ = waker.wake();
                lines.for_each(drop);
            });
        }
        self.processes.insert(office, Process { child, round, ready: None });
        Ok(())
    }

    fn line(&self, office: u16) -> Option<Token> {
        self.by_purpose.get(&Purpose::Line(office)).copied()
    }

    fn add(&mut self, mut stream: TcpStream, purpose: Purpose) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        self.next += 1;
        let token = Token(self.next);
        self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let cutter = LineDecoder::new(1 << 16);
        let dialling = matches!(purpose, Purpose::Client(_));
        let connection = Connection { stream, purpose, cutter, out: OutputBuffer::default(), dialling };
        self.connections.insert(token, connection);
        if let Some(before) = self.by_purpose.insert(purpose, token) {
            self.connections.remove(&before);
        }
        Ok(())
    }

    /// One turn of the loop.
    fn turn(
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
                self.starts_said(waker)?;
            } else if self.listeners.contains_key(&token) {
                self.accept(token, waker)?;
            } else {
                self.read(token, waker)?;
            }
        }
        self.look_after_clients()?;
        self.flush();
        Ok(())
    }

    /// Clients that want a connection get one; the script cuts some.
    fn look_after_clients(&mut self) -> Result<(), LoopbackError> {
        let now = self.now();
        for no in self.clients.cuts(now, &mut self.simulation, self.observer) {
            self.close(Purpose::Client(no));
        }
        for no in self.clients.numbers() {
            let Some(session) = self.clients.session(no) else { continue };
            if session.next_timer().is_some_and(|at| at <= now) {
                session.on_timer(now);
            }
            if session.wants_dial(now) {
                let calls = self.processes.get(&no.0).and_then(|process| process.ready.as_ref()?.calls);
                let stream =
                    calls.ok_or_else(|| io::ErrorKind::NotConnected.into()).and_then(TcpStream::connect);
                match stream.and_then(|stream| self.add(stream, Purpose::Client(no))) {
                    Ok(()) => {}
                    Err(error) => session_lost(&mut self.clients, now, no, &error.to_string()),
                }
            }
            self.client_turn(no);
        }
        Ok(())
    }

    /// What a client has to say goes out; what happened to it is told to the world.
    fn client_turn(&mut self, no: ClientId) {
        let now = self.now();
        self.clients.events(now, no, &mut self.simulation, self.observer);
        let Some(session) = self.clients.session(no) else { return };
        let out = std::mem::take(session.out());
        if !out.is_empty() {
            self.push(Purpose::Client(no), &[&out]);
        }
    }

    /// Controllers that were started say that they take calls: their subscribers connect.
    fn starts_said(&mut self, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        while let Ok((office, round, ready)) = self.said.1.try_recv() {
            let Some(process) = self.processes.get_mut(&office).filter(|process| process.round == round)
            else {
                continue;
            };
            process.ready = ready;
            let Some(lines) = process.ready.as_ref().and_then(|ready| ready.subscribers) else { continue };
            let stream = TcpStream::connect(lines).map_err(io_error("connecting a subscriber line"))?;
            self.add(stream, Purpose::Line(office)).map_err(io_error("connecting a subscriber line"))?;
            // The first starts are told once all are there.
            if round > u64::from(self.simulation.day().exchanges) {
                let (now, mut actions) = (self.now(), Vec::new());
                self.clients.ready(now, office);
                self.simulation.controller_ready(now, office, self.observer, &mut actions);
                self.carry_out(actions, waker)?;
            }
        }
        Ok(())
    }

    fn accept(&mut self, token: Token, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        while let Some((listener, purpose)) = self.listeners.get(&token) {
            let purpose = *purpose;
            let Ok((stream, _)) = listener.accept() else { return Ok(()) };
            self.add(stream, purpose).map_err(io_error("a connection"))?;
            match purpose {
                Purpose::Link { office, to } => {
                    let (now, mut actions) = (self.now(), Vec::new());
                    self.simulation.link_connected(now, office, to, self.observer, &mut actions);
                    self.carry_out(actions, waker)?;
                }
                Purpose::Directory(office) => {
                    for text in self.waiting.remove(&office).unwrap_or_default() {
                        self.push(purpose, &[text.as_bytes(), b"\n"]);
                    }
                }
                Purpose::Line(_) | Purpose::Client(_) => {}
            }
        }
        Ok(())
    }

    fn push(&mut self, purpose: Purpose, parts: &[&[u8]]) {
        let token = self.by_purpose.get(&purpose);
        if let Some(connection) = token.and_then(|token| self.connections.get_mut(token)) {
            parts.iter().for_each(|part| connection.out.push(part));
        }
    }

    fn flush(&mut self) {
        for connection in self.connections.values_mut().filter(|connection| connection.out.waiting() > 0) {
            // A failure shows as the end of the connection when it is read.
            let _ = connection.out.write_to(&mut connection.stream);
        }
    }

    fn read(&mut self, token: Token, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        let mut buffer = [0; 16 << 10];
        if let Some(connection) = self.connections.get_mut(&token).filter(|connection| connection.dialling)
            && let Ok(to) = connection.stream.peer_addr()
            && let Purpose::Client(no) = connection.purpose
        {
            connection.dialling = false;
            let now = self.now();
            if let Some(session) = self.clients.session(no) {
                session.dialled(now, to);
            }
            self.client_turn(no);
        }
        loop {
            let Some(connection) = self.connections.get_mut(&token) else { return Ok(()) };
            match connection.stream.read(&mut buffer) {
                Ok(count) if count > 0 => self.on_octets(token, &buffer[..count], waker)?,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Not connected yet: told again once it is.
                Err(error) if error.kind() == io::ErrorKind::NotConnected => return Ok(()),
                _ => return self.gone(token, waker),
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
        if let Purpose::Client(no) = purpose {
            if let Some(session) = self.clients.session(no) {
                session.on_octets(now, octets);
            }
            self.client_turn(no);
            return Ok(());
        }
        if let Purpose::Link { office, to } = purpose {
            self.simulation.on_controller_octets(now, office, to, octets, self.observer);
            return Ok(());
        }
        connection.cutter.push(octets);
        let mut texts = Vec::new();
        while let Ok(Some(text)) = connection.cutter.next() {
            texts.push(text.to_vec());
        }
        let mut actions = Vec::new();
        for text in texts {
            match purpose {
                Purpose::Line(office) => match ServerMessage::read(&text) {
                    Ok(ServerMessage::Answered(a)) => {
                        self.simulation.call_answered(
                            now,
                            office,
                            a.call,
                            a.exchange_call,
                            a.answer,
                            self.observer,
                        );
                    }
                    Ok(ServerMessage::Ended(note)) => {
                        self.simulation.call_ended(now, office, note.call, note.how, self.observer)
                    }
                    Ok(
                        ServerMessage::Result { .. }
                        | ServerMessage::News(_)
                        | ServerMessage::Missed(_)
                        | ServerMessage::Other(_),
                    ) => {}
                    Ok(ServerMessage::Error { code, message, .. }) => info!(office, code, "{message}"),
                    Err(error) => warn!(office, "a line makes no sense: {error}"),
                },
                Purpose::Directory(office) => {
                    if let Ok(ControllerNotification::RequestFullList(request)) =
                        ControllerNotification::read(&text)
                        && request.held_version.is_none()
                        && self.processes.get(&office).is_some_and(|process| process.ready.is_some())
                    {
                        self.simulation.resend_membership(now, office, self.observer, &mut actions);
                    }
                }
                Purpose::Link { .. } | Purpose::Client(_) => {}
            }
        }
        self.carry_out(actions, waker)
    }

    fn gone(&mut self, token: Token, waker: &std::sync::Arc<Waker>) -> Result<(), LoopbackError> {
        let Some(connection) = self.connections.remove(&token) else { return Ok(()) };
        let purpose = connection.purpose;
        if self.by_purpose.get(&purpose) != Some(&token) {
            return Ok(());
        }
        self.by_purpose.remove(&purpose);
        let (now, mut actions) = (self.now(), Vec::new());
        match purpose {
            Purpose::Link { office, to } => {
                self.simulation.link_disconnected(now, office, to, self.observer, &mut actions)
            }
            Purpose::Line(office) => {
                if let Some(mut process) = self.processes.remove(&office) {
                    warn!(office, "ended unasked: {:?}", process.child.try_wait());
                    let _ = process.child.kill();
                    let _ = process.child.wait();
                    self.crashes += 1;
                    self.simulation.controller_crashed(now, office, self.observer, &mut actions);
                }
            }
            Purpose::Client(no) => session_lost(&mut self.clients, now, no, "closed by the controller"),
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
                Action::Start { office, .. } => self.spawn(office, waker)?,
                Action::Kill { office } => {
                    if let Some(mut process) = self.processes.remove(&office) {
                        let _ = process.child.kill();
                        let _ = process.child.wait();
                    }
                    self.close(Purpose::Line(office));
                    for no in self.clients.numbers().into_iter().filter(|no| no.0 == office) {
                        self.close(Purpose::Client(no));
                    }
                    self.clients.killed(office);
                    self.close(Purpose::Directory(office));
                    self.waiting.remove(&office);
                    let links: Vec<u16> = self.endpoints[&office].links.iter().map(|(to, _)| *to).collect();
                    links.into_iter().for_each(|to| self.close(Purpose::Link { office, to }));
                }
                Action::LinkUp { .. } => {}
                Action::LinkDown { office, to } => self.close(Purpose::Link { office, to }),
                Action::LinkOctets { office, from, octets } => {
                    self.push(Purpose::Link { office, to: from }, &[&octets])
                }
                Action::Offer { office, offer } if !self.clients.is_disabled() => {
                    let (now, no) = (self.now(), self.clients.client_for(office, offer.call));
                    self.clients.offer(now, office, offer);
                    self.client_turn(no);
                }
                Action::HangUp { office, call } if !self.clients.is_disabled() => {
                    self.clients.hang_up(office, call);
                    self.client_turn(self.clients.client_for(office, call));
                }
                Action::Offer { office, offer } => {
                    let asked =
                        RequestMessage { id: Some(json!(offer.call)), request: Request::Offer(offer) };
                    self.push(Purpose::Line(office), &[asked.text().as_bytes(), b"\n"]);
                }
                Action::HangUp { office, call } => {
                    let asked =
                        RequestMessage { id: Some(json!(call)), request: Request::Hangup(Hangup { call }) };
                    self.push(Purpose::Line(office), &[asked.text().as_bytes(), b"\n"]);
                }
                Action::Membership { office, news } => {
                    self.feed(office, &DirectoryNotification::Membership(news))
                }
                Action::CircuitsInService { office, to, in_service } => {
                    self.feed(office, &DirectoryNotification::CircuitsInService { to, in_service })
                }
                Action::ProcessorReport { office, rate } => {
                    self.feed(office, &DirectoryNotification::Processor(ProcessorStatus { rate: Some(rate) }))
                }
            }
        }
        Ok(())
    }

    fn feed(&mut self, office: u16, note: &DirectoryNotification) {
        const WAITING: usize = 1000;
        if self.by_purpose.contains_key(&Purpose::Directory(office)) {
            self.push(Purpose::Directory(office), &[note.text().as_bytes(), b"\n"]);
        } else {
            let waiting = self.waiting.entry(office).or_default();
            if waiting.len() < WAITING {
                waiting.push(note.text());
            }
        }
    }
}

fn session_lost(clients: &mut ClientPool, now: Duration, no: ClientId, why: &str) {
    if let Some(session) = clients.session(no) {
        session.lost(now, why);
    }
}

/// Asks a controller's admin port for its status.
pub fn status(admin: SocketAddr) -> io::Result<Value> {
    admin_request(admin, "status", &Value::Null, None)
}

/// Asks a controller's admin port.
pub fn admin_request(
    admin: SocketAddr,
    method: &str,
    params: &Value,
    token: Option<&str>,
) -> io::Result<Value> {
    let limit = Duration::from_secs(5);
    let mut stream = std::net::TcpStream::connect_timeout(&admin, limit)?;
    stream.set_read_timeout(Some(limit))?;
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

fn tally(status: &Value) -> Counters {
    let count = |what: &str| status["counts"][what].as_u64().unwrap_or(0);
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
