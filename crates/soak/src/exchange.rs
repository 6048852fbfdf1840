//! An emulated exchange as a process of its own: it answers set-ups, holds calls, ends them, and can be killed or stopped.
//!
//! It listens on one address for each controller. What happens is written to standard output, one JSON record a line, so
//! that nothing of it is lost when the process is killed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use mintstall_platform::exchange_protocol::{Decoder, Message, MessageType, WireCallId, encode, parameter};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::listener::reset;
use crate::record::{AttemptEnd, CallId, ControllerIndex, Event, Record, now};
use crate::sync;

/// Q.850: normal clearing.
const NORMAL_CLEARING: u8 = 16;
/// The platform's cause for a full exchange.
const FULL: u8 = 34;
/// The platform's cause for an error.
const ERROR: u8 = 47;

/// How an exchange behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeConfig {
    pub uid: String,
    /// Where each controller, by position, connects.
    pub listen: Vec<SocketAddr>,
    pub seed: u64,
    pub circuits: u32,
    /// From set-up to answer, at least and at most.
    pub answer_ms: (u64, u64),
    /// From answer to the call's end.
    pub hold_ms: (u64, u64),
    /// Shares of set-ups that are not simply answered.
    pub faults: AnswerFaults,
}

/// Shares of set-ups, each between 0 and 1, whose answers are spoilt or missing.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct AnswerFaults {
    /// Noise in place of the answer; the connection is then of no use.
    pub noise: f64,
    /// Half an answer, then a close.
    pub broken_off: f64,
    /// Carried out, and never answered.
    pub missing: f64,
    /// A second copy of the answer follows some milliseconds later.
    pub doubled: f64,
    /// An answer under an unknown id comes first.
    pub stray: f64,
    /// The connection is reset once the set-up has been read.
    pub reset: f64,
    /// Error, at once.
    pub error: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Waiting,
    Standing,
}

#[derive(Debug)]
struct Call {
    state: CallState,
    controller: ControllerIndex,
    link: u64,
}

#[derive(Debug)]
struct Link {
    controller: ControllerIndex,
    stream: TcpStream,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Answer(CallId),
    Copy(CallId, u64),
    End(CallId),
}

#[derive(Debug)]
struct State {
    config: ExchangeConfig,
    rng: Pcg64Mcg,
    calls: BTreeMap<CallId, Call>,
    links: BTreeMap<u64, Link>,
    next_link: u64,
    due: BinaryHeap<Reverse<(Instant, Due)>>,
    /// Releases that the next connection of a controller brings again.
    repeated: BTreeMap<ControllerIndex, Vec<CallId>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    Usual,
    Reset,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    sync::lock(&shared.0)
}

/// Runs until the process is killed.
pub fn run(config: ExchangeConfig) -> io::Result<()> {
    let listeners = config.listen.iter().map(TcpListener::bind).collect::<io::Result<Vec<_>>>()?;
    let state = State {
        rng: Pcg64Mcg::seed_from_u64(config.seed),
        config,
        calls: BTreeMap::new(),
        links: BTreeMap::new(),
        next_link: 0,
        due: BinaryHeap::new(),
        repeated: BTreeMap::new(),
    };
    let shared: Shared = Arc::new((Mutex::new(state), Condvar::new()));
    for (controller, listener) in listeners.into_iter().enumerate() {
        let shared = Arc::clone(&shared);
        thread::spawn(move || accept(&shared, controller, &listener));
    }
    println!("ready");
    carry_out(&shared)
}

fn record(event: Event) {
    let record = Record { at: now(), event };
    if let Ok(line) = serde_json::to_string(&record) {
        // Without a reader the run is over, and so is this process.
        if writeln!(io::stdout(), "{line}").is_err() {
            std::process::exit(0);
        }
    }
}

fn accept(shared: &Shared, controller: ControllerIndex, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        let Ok(reader) = stream.try_clone() else { continue };
        let link = lock(shared).open(controller, stream);
        let shared = Arc::clone(shared);
        thread::spawn(move || read(&shared, link, reader));
    }
}

fn read(shared: &Shared, link: u64, mut stream: TcpStream) {
    let (mut decoder, mut buffer) = (Decoder::default(), [0; 8192]);
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        decoder.push(&buffer[..count]);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => lock(shared).message(link, &message),
                Ok(None) => break,
                // What can't be read ends the connection.
                Err(_) => return lock(shared).close(link, Close::Reset),
            }
            shared.1.notify_one();
        }
    }
    lock(shared).close(link, Close::Usual);
}

/// Carries out what falls due.
fn carry_out(shared: &Shared) -> ! {
    let mut state = lock(shared);
    loop {
        let now = Instant::now();
        let wait = state.due.peek().map_or(Duration::from_secs(1), |first| first.0.0.duration_since(now));
        if wait.is_zero() {
            if let Some(Reverse((_, due))) = state.due.pop() {
                state.fall_due(due);
            }
            continue;
        }
        let waited = shared.1.wait_timeout(state, wait);
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}

impl State {
    fn uid(&self) -> String {
        self.config.uid.clone()
    }

    fn after(&mut self, range: (u64, u64), due: Due) {
        let wait = Duration::from_millis(self.rng.random_range(range.0..=range.1));
        self.due.push(Reverse((Instant::now() + wait, due)));
    }

    fn open(&mut self, controller: ControllerIndex, stream: TcpStream) -> u64 {
        self.next_link += 1;
        let link = self.next_link;
        self.links.insert(link, Link { controller, stream });
        self.send_state(link);
        // One whose other side has closed it already, while this process was stopped, is no open connection.
        if !self.is_open(link) {
            return link;
        }
        for call in self.repeated.remove(&controller).unwrap_or_default() {
            self.send(link, MessageType::Release, call, &[(parameter::CAUSE, &[NORMAL_CLEARING])]);
        }
        link
    }

    /// The set-ups of the link are given up; standing calls belong to no connection.
    fn close(&mut self, link: u64, how: Close) {
        let Some(closed) = self.links.remove(&link) else { return };
        match how {
            Close::Usual => drop(closed.stream.shutdown(Shutdown::Both)),
            Close::Reset => reset(&closed.stream),
        }
        let waits = |call: &Call| call.link == link && call.state == CallState::Waiting;
        let given_up: Vec<_> = self.calls.iter().filter(|(_, call)| waits(call)).map(|(id, _)| *id).collect();
        for id in given_up {
            self.calls.remove(&id);
            record(Event::AttemptEnded { uid: self.uid(), call: id, end: AttemptEnd::GivenUp });
        }
    }

    /// Whether a connection is there, and its other side has not closed it, also behind what is still unread.
    fn is_open(&self, link: u64) -> bool {
        self.links.get(&link).is_some_and(|link| !is_closed_by_peer(&link.stream).unwrap_or(true))
    }

    fn report(&self) -> String {
        let idle = (self.config.circuits as usize).saturating_sub(self.calls.len());
        format!("idle:{idle};circuits:{}", self.config.circuits)
    }

    fn send(&mut self, link: u64, kind: MessageType, call: CallId, parameters: &[(u8, &[u8])]) {
        let mut octets = Vec::new();
        encode(&mut octets, kind, WireCallId(call), parameters);
        self.send_raw(link, &octets);
    }

    fn send_raw(&mut self, link: u64, octets: &[u8]) {
        if let Some(link) = self.links.get_mut(&link) {
            // The reader sees a connection that has gone.
            let _ = link.stream.write_all(octets);
        }
    }

    fn send_state(&mut self, link: u64) {
        let report = self.report();
        self.send(link, MessageType::State, 0, &[(parameter::REPORT, report.as_bytes())]);
    }

    fn broadcast_state(&mut self) {
        let links: Vec<_> = self.links.keys().copied().collect();
        links.into_iter().for_each(|link| self.send_state(link));
    }

    fn message(&mut self, link: u64, message: &Message) {
        let call = message.call.0;
        match message.kind {
            MessageType::SetUp => self.set_up(link, call),
            MessageType::Release => self.release(link, call),
            MessageType::Test => {
                let report = self.report();
                let parameters: &[(u8, &[u8])] =
                    &[(parameter::CAUSE, &[1]), (parameter::REPORT, report.as_bytes())];
                self.send(link, MessageType::TestResult, call, parameters);
            }
            _ => {}
        }
    }

    fn set_up(&mut self, link: u64, call: CallId) {
        let uid = self.uid();
        record(Event::SetUpReceived { uid: uid.clone(), call });
        let Some(controller) = self.links.get(&link).map(|link| link.controller) else { return };
        let faults = self.config.faults;
        if self.calls.len() >= self.config.circuits as usize || self.rng.random_bool(faults.error) {
            let full = self.calls.len() >= self.config.circuits as usize;
            record(Event::AttemptEnded { uid, call, end: AttemptEnd::Refused });
            let report = self.report();
            let (cause, note): (u8, &[u8]) = if full { (FULL, b"congestion") } else { (ERROR, b"") };
            let parameters: &[(u8, &[u8])] = &[
                (parameter::CAUSE, &[cause]),
                (parameter::NOTE, note),
                (parameter::REPORT, report.as_bytes()),
            ];
            return self.send(link, MessageType::Release, call, parameters);
        }
        self.calls.insert(call, Call { state: CallState::Waiting, controller, link });
        if self.rng.random_bool(faults.reset) {
            return self.close(link, Close::Reset);
        }
        self.after(self.config.answer_ms, Due::Answer(call));
        self.broadcast_state();
    }

    fn release(&mut self, link: u64, call: CallId) {
        let Some(known) = self.calls.remove(&call) else { return };
        let uid = self.uid();
        match known.state {
            CallState::Waiting => record(Event::AttemptEnded { uid, call, end: AttemptEnd::GivenUp }),
            CallState::Standing => record(Event::CallOver { uid, call, by_controller: true }),
        }
        self.send(link, MessageType::ReleaseComplete, call, &[]);
        self.broadcast_state();
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Answer(call) => self.answer(call),
            Due::Copy(call, link) => self.send_answer(link, call),
            Due::End(call) => self.end(call),
        }
    }

    fn send_answer(&mut self, link: u64, call: CallId) {
        let octets = self.answer_octets(call);
        self.send_raw(link, &octets);
    }

    fn answer_octets(&self, call: CallId) -> Vec<u8> {
        let (mut octets, description) = (Vec::new(), description(&self.config.uid, call));
        encode(
            &mut octets,
            MessageType::Answer,
            WireCallId(call),
            &[(parameter::DESCRIPTION, description.as_bytes())],
        );
        octets
    }

    fn answer(&mut self, call: CallId) {
        let faults = self.config.faults;
        let Some(known) = self.calls.get_mut(&call).filter(|call| call.state == CallState::Waiting) else {
            return;
        };
        let link = known.link;
        let lot = self.rng.random::<f64>();
        if lot < faults.missing {
            return;
        }
        if lot < faults.missing + faults.noise + faults.broken_off {
            return self.spoil(call, link, lot < faults.missing + faults.noise);
        }
        known.state = CallState::Standing;
        record(Event::AttemptEnded { uid: self.uid(), call, end: AttemptEnd::Answered });
        if self.rng.random_bool(faults.stray) {
            self.send_answer(link, !call);
        }
        self.send_answer(link, call);
        if self.rng.random_bool(faults.doubled) {
            self.after((1, 20), Due::Copy(call, link));
        }
        self.after(self.config.hold_ms, Due::End(call));
    }

    /// The call ran, and its answer is of no use.
    fn spoil(&mut self, call: CallId, link: u64, noise: bool) {
        self.calls.remove(&call);
        record(Event::AttemptEnded { uid: self.uid(), call, end: AttemptEnd::Spoilt });
        if noise {
            return self.send_raw(link, &[0xff, 0xff, 0xee, 1, 2, 3]);
        }
        let mut octets = self.answer_octets(call);
        octets.truncate(octets.len() / 2);
        self.send_raw(link, &octets);
        self.close(link, Close::Usual);
    }

    fn end(&mut self, call: CallId) {
        let Some(known) = self.calls.remove(&call) else { return };
        record(Event::CallOver { uid: self.uid(), call, by_controller: false });
        let of_controller = self.links.iter().filter(|(_, link)| link.controller == known.controller);
        let mut all = std::iter::once(known.link).chain(of_controller.map(|(no, _)| *no));
        let link = all.find(|no| self.is_open(*no));
        if let Some(link) = link {
            self.send(link, MessageType::Release, call, &[(parameter::CAUSE, &[NORMAL_CLEARING])]);
        }
        self.repeated.entry(known.controller).or_default().push(call);
        self.broadcast_state();
    }
}

/// What an exchange answers: it names exchange and call, so that an answer can be told from any other.
pub fn description(uid: &str, call: CallId) -> String {
    format!("{uid}/{call:016x}\r\nc=IN IP4 10.4.7.9\r\n")
}

/// The exchange that a description is from.
pub fn uid_of(description: &str) -> &str {
    description.split('/').next().unwrap_or_default()
}

/// Whether the end of a connection has come, behind what is unread.
fn is_closed_by_peer(stream: &TcpStream) -> nix::Result<bool> {
    let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
    epoll.add(stream, EpollEvent::new(EpollFlags::EPOLLRDHUP, 0))?;
    let mut events = [EpollEvent::empty()];
    Ok(epoll.wait(&mut events, EpollTimeout::ZERO)? > 0)
}
