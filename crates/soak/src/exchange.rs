//! An emulated exchange in a separate process, which can be killed or stopped. It answers set-ups, holds calls and
//! releases them.
//!
//! It listens on one address for each controller. It writes its records to standard output at once, one JSON object a
//! line, so that none is lost when the process is killed.

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
/// The platform's cause for an exchange without a free circuit.
const NO_FREE_CIRCUIT: u8 = 34;
/// The platform's cause for an error.
const ERROR: u8 = 47;

/// Settings of an emulated exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeConfig {
    pub uid: String,
    /// The address for each controller, by controller index.
    pub listen: Vec<SocketAddr>,
    pub seed: u64,
    /// Circuits of the group to each controller.
    pub circuits: u32,
    /// Minimum and maximum time from set-up to answer.
    pub answer_ms: (u64, u64),
    /// Minimum and maximum time from the answer to the end of the call.
    pub hold_ms: (u64, u64),
    pub faults: AnswerFaults,
    pub bursts: Option<AnswerBursts>,
}

/// The exchange takes set-ups all the time, but now and then answers none for a while, and then all at once.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AnswerBursts {
    /// Time from the beginning of one pause to the next.
    pub interval: Duration,
    pub pause: Duration,
    /// Octets added to each description, up to the maximum of a message.
    pub padding_octets: usize,
}

/// Shares of set-ups whose answers have a fault, each between 0 and 1.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct AnswerFaults {
    /// Noise is sent in place of the answer; no later message on the connection can be decoded.
    pub noise: f64,
    /// Half of the answer is sent, then the connection is closed.
    pub broken_off: f64,
    /// The set-up is carried out, but never answered.
    pub missing: f64,
    /// A second copy of the answer follows 1 to 20 ms later.
    pub doubled: f64,
    /// An answer with an unknown call id is sent before the answer.
    pub stray: f64,
    /// The connection is reset when the set-up has been read.
    pub reset: f64,
    /// The set-up is refused at once with the platform's cause for an error.
    pub error: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Waiting,
    Standing,
}

/// One attempt of a call. A call may come again under its id after a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    call: CallId,
    number: u64,
}

#[derive(Debug)]
struct Call {
    attempt: Attempt,
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
enum TimerEvent {
    Answer(Attempt),
    /// The second copy of an answer, on the given link.
    RepeatAnswer(CallId, u64),
    End(Attempt),
}

#[derive(Debug)]
struct State {
    config: ExchangeConfig,
    started: Instant,
    rng: Pcg64Mcg,
    calls: BTreeMap<CallId, Call>,
    links: BTreeMap<u64, Link>,
    next_link: u64,
    attempt_count: u64,
    timers: BinaryHeap<Reverse<(Instant, TimerEvent)>>,
    /// Calls ended by the exchange, whose releases are repeated on the next connection of their controller.
    releases_to_repeat: BTreeMap<ControllerIndex, Vec<CallId>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseMode {
    Graceful,
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
        started: Instant::now(),
        calls: BTreeMap::new(),
        links: BTreeMap::new(),
        next_link: 0,
        attempt_count: 0,
        timers: BinaryHeap::new(),
        releases_to_repeat: BTreeMap::new(),
    };
    let shared: Shared = Arc::new((Mutex::new(state), Condvar::new()));
    for (controller, listener) in listeners.into_iter().enumerate() {
        let shared = Arc::clone(&shared);
        thread::spawn(move || accept(&shared, controller, &listener));
    }
    println!("ready");
    run_timers(&shared)
}

fn write_record(event: Event) {
    let record = Record { at: now(), event };
    if let Ok(line) = serde_json::to_string(&record) {
        // The reader is gone, so the run has ended and this process exits.
        if writeln!(io::stdout(), "{line}").is_err() {
            std::process::exit(0);
        }
    }
}

fn accept(shared: &Shared, controller: ControllerIndex, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        let Ok(reader) = stream.try_clone() else { continue };
        let link = lock(shared).open_link(controller, stream);
        let shared = Arc::clone(shared);
        thread::spawn(move || read_until_closed(&shared, link, reader));
    }
}

fn read_until_closed(shared: &Shared, link: u64, mut stream: TcpStream) {
    let (mut decoder, mut buffer) = (Decoder::default(), [0; 8192]);
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        decoder.push(&buffer[..count]);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => lock(shared).on_message(link, &message),
                Ok(None) => break,
                // A message that can't be decoded resets the connection.
                Err(_) => return lock(shared).close_link(link, CloseMode::Reset),
            }
            shared.1.notify_one();
        }
    }
    lock(shared).close_link(link, CloseMode::Graceful);
}

/// Runs the timer events.
fn run_timers(shared: &Shared) -> ! {
    let mut state = lock(shared);
    loop {
        let now = Instant::now();
        let wait =
            state.timers.peek().map_or(Duration::from_secs(1), |earliest| earliest.0.0.duration_since(now));
        if wait.is_zero() {
            if let Some(Reverse((_, event))) = state.timers.pop() {
                state.on_timer(event);
            }
            continue;
        }
        let wait_result = shared.1.wait_timeout(state, wait);
        state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
    }
}

impl State {
    fn uid(&self) -> String {
        self.config.uid.clone()
    }

    fn start_timer(&mut self, delay_ms: (u64, u64), event: TimerEvent) {
        let delay = Duration::from_millis(self.rng.random_range(delay_ms.0..=delay_ms.1));
        self.timers.push(Reverse((Instant::now() + delay, event)));
    }

    fn open_link(&mut self, controller: ControllerIndex, stream: TcpStream) -> u64 {
        self.next_link += 1;
        let link = self.next_link;
        self.links.insert(link, Link { controller, stream });
        self.send_state(link);
        // While this process was stopped, the controller may have closed the connection already. Repeated releases must
        // not be sent on it.
        if !self.is_open(link) {
            return link;
        }
        for call in self.releases_to_repeat.remove(&controller).unwrap_or_default() {
            self.send(link, MessageType::Release, call, &[(parameter::CAUSE, &[NORMAL_CLEARING])]);
        }
        link
    }

    /// Gives up the waiting set-ups of the link. Standing calls don't depend on a connection.
    fn close_link(&mut self, link: u64, mode: CloseMode) {
        let Some(closed) = self.links.remove(&link) else { return };
        match mode {
            CloseMode::Graceful => drop(closed.stream.shutdown(Shutdown::Both)),
            CloseMode::Reset => reset(&closed.stream),
        }
        let is_waiting = |call: &Call| call.link == link && call.state == CallState::Waiting;
        let given_up: Vec<_> =
            self.calls.iter().filter(|(_, call)| is_waiting(call)).map(|(id, _)| *id).collect();
        for id in given_up {
            self.calls.remove(&id);
            write_record(Event::AttemptEnded { uid: self.uid(), call: id, end: AttemptEnd::GivenUp });
        }
    }

    /// Whether the link exists and the controller has not closed it. A close counts even if octets before it are unread.
    fn is_open(&self, link: u64) -> bool {
        self.links.get(&link).is_some_and(|link| !is_closed_by_peer(&link.stream).unwrap_or(true))
    }

    /// The calls on the group of one controller.
    fn busy_circuits(&self, controller: ControllerIndex) -> usize {
        self.calls.values().filter(|call| call.controller == controller).count()
    }

    /// The report on the group of the controller at the other end of a link.
    fn load_report(&self, link: u64) -> String {
        let controller = self.links.get(&link).map(|link| link.controller);
        let busy = controller.map_or(0, |controller| self.busy_circuits(controller));
        let idle = (self.config.circuits as usize).saturating_sub(busy);
        format!("idle:{idle};circuits:{}", self.config.circuits)
    }

    fn send(&mut self, link: u64, kind: MessageType, call: CallId, parameters: &[(u8, &[u8])]) {
        let mut octets = Vec::new();
        encode(&mut octets, kind, WireCallId(call), parameters);
        self.send_raw(link, &octets);
    }

    fn send_raw(&mut self, link: u64, octets: &[u8]) {
        if let Some(link) = self.links.get_mut(&link) {
            // A write error is ignored: the reader thread detects a lost connection.
            let _ = link.stream.write_all(octets);
        }
    }

    fn send_state(&mut self, link: u64) {
        let report = self.load_report(link);
        self.send(link, MessageType::State, 0, &[(parameter::REPORT, report.as_bytes())]);
    }

    fn broadcast_state(&mut self) {
        let links: Vec<_> = self.links.keys().copied().collect();
        links.into_iter().for_each(|link| self.send_state(link));
    }

    fn on_message(&mut self, link: u64, message: &Message) {
        let call = message.call.0;
        match message.kind {
            MessageType::SetUp => self.on_set_up(link, call),
            MessageType::Release => self.on_release(link, call),
            MessageType::Test => {
                let report = self.load_report(link);
                let parameters: &[(u8, &[u8])] =
                    &[(parameter::CAUSE, &[1]), (parameter::REPORT, report.as_bytes())];
                self.send(link, MessageType::TestResult, call, parameters);
            }
            _ => {}
        }
    }

    fn on_set_up(&mut self, link: u64, call: CallId) {
        let uid = self.uid();
        write_record(Event::SetUpReceived { uid: uid.clone(), call });
        let Some(controller) = self.links.get(&link).map(|link| link.controller) else { return };
        let faults = self.config.faults;
        let full = self.busy_circuits(controller) >= self.config.circuits as usize;
        if full || self.rng.random_bool(faults.error) {
            write_record(Event::AttemptEnded { uid, call, end: AttemptEnd::Refused });
            let report = self.load_report(link);
            let (cause, note): (u8, &[u8]) =
                if full { (NO_FREE_CIRCUIT, b"congestion") } else { (ERROR, b"") };
            let parameters: &[(u8, &[u8])] = &[
                (parameter::CAUSE, &[cause]),
                (parameter::NOTE, note),
                (parameter::REPORT, report.as_bytes()),
            ];
            return self.send(link, MessageType::Release, call, parameters);
        }
        self.attempt_count += 1;
        let attempt = Attempt { call, number: self.attempt_count };
        self.calls.insert(call, Call { attempt, state: CallState::Waiting, controller, link });
        if self.rng.random_bool(faults.reset) {
            return self.close_link(link, CloseMode::Reset);
        }
        self.start_timer(self.config.answer_ms, TimerEvent::Answer(attempt));
        self.broadcast_state();
    }

    fn on_release(&mut self, link: u64, call: CallId) {
        let Some(released) = self.calls.remove(&call) else { return };
        let uid = self.uid();
        match released.state {
            CallState::Waiting => write_record(Event::AttemptEnded { uid, call, end: AttemptEnd::GivenUp }),
            CallState::Standing => write_record(Event::CallOver { uid, call, by_controller: true }),
        }
        self.send(link, MessageType::ReleaseComplete, call, &[]);
        self.broadcast_state();
    }

    /// The end of the current pause in answers.
    fn end_of_pause(&self) -> Option<Instant> {
        let bursts = self.config.bursts?;
        let intervals = (self.started.elapsed().as_millis() / bursts.interval.as_millis().max(1)) as u32;
        let end = self.started + bursts.interval * intervals + bursts.pause;
        // None at the start, when there is nothing to hold back.
        (intervals > 0 && Instant::now() < end).then_some(end)
    }

    fn on_timer(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::Answer(_) if let Some(end) = self.end_of_pause() => {
                self.timers.push(Reverse((end, event)))
            }
            TimerEvent::Answer(attempt) if self.is_present(attempt) => self.answer(attempt),
            TimerEvent::RepeatAnswer(call, link) => self.send_answer(link, call),
            TimerEvent::End(attempt) if self.is_present(attempt) => self.end_call(attempt.call),
            TimerEvent::Answer(_) | TimerEvent::End(_) => {}
        }
    }

    /// Whether the attempt has not ended. A later one of the same call is another.
    fn is_present(&self, attempt: Attempt) -> bool {
        self.calls.get(&attempt.call).is_some_and(|call| call.attempt == attempt)
    }

    fn send_answer(&mut self, link: u64, call: CallId) {
        let octets = self.answer_octets(call);
        self.send_raw(link, &octets);
    }

    fn answer_octets(&self, call: CallId) -> Vec<u8> {
        let padding_octets = self.config.bursts.map_or(0, |bursts| bursts.padding_octets);
        let description = with_padding(description(&self.config.uid, call), padding_octets);
        let mut octets = Vec::new();
        encode(
            &mut octets,
            MessageType::Answer,
            WireCallId(call),
            &[(parameter::DESCRIPTION, description.as_bytes())],
        );
        octets
    }

    fn answer(&mut self, attempt: Attempt) {
        let call = attempt.call;
        let faults = self.config.faults;
        let Some(waiting_call) = self.calls.get_mut(&call).filter(|call| call.state == CallState::Waiting)
        else {
            return;
        };
        let link = waiting_call.link;
        let draw = self.rng.random::<f64>();
        if draw < faults.missing {
            return;
        }
        if draw < faults.missing + faults.noise + faults.broken_off {
            return self.send_corrupt_answer(call, link, draw < faults.missing + faults.noise);
        }
        waiting_call.state = CallState::Standing;
        write_record(Event::AttemptEnded { uid: self.uid(), call, end: AttemptEnd::Answered });
        if self.rng.random_bool(faults.stray) {
            self.send_answer(link, !call);
        }
        self.send_answer(link, call);
        if self.rng.random_bool(faults.doubled) {
            self.start_timer((1, 20), TimerEvent::RepeatAnswer(call, link));
        }
        self.start_timer(self.config.hold_ms, TimerEvent::End(attempt));
    }

    /// Ends the call with an answer that can't be decoded: noise, or half of the answer and then a close.
    fn send_corrupt_answer(&mut self, call: CallId, link: u64, noise: bool) {
        self.calls.remove(&call);
        write_record(Event::AttemptEnded { uid: self.uid(), call, end: AttemptEnd::Corrupted });
        if noise {
            return self.send_raw(link, &[0xff, 0xff, 0xee, 1, 2, 3]);
        }
        let mut octets = self.answer_octets(call);
        octets.truncate(octets.len() / 2);
        self.send_raw(link, &octets);
        self.close_link(link, CloseMode::Graceful);
    }

    fn end_call(&mut self, call: CallId) {
        let Some(ended) = self.calls.remove(&call) else { return };
        write_record(Event::CallOver { uid: self.uid(), call, by_controller: false });
        let controller_links = self.links.iter().filter(|(_, link)| link.controller == ended.controller);
        let mut candidates = std::iter::once(ended.link).chain(controller_links.map(|(id, _)| *id));
        let link = candidates.find(|id| self.is_open(*id));
        if let Some(link) = link {
            self.send(link, MessageType::Release, call, &[(parameter::CAUSE, &[NORMAL_CLEARING])]);
        }
        self.releases_to_repeat.entry(ended.controller).or_default().push(call);
        self.broadcast_state();
    }
}

/// The description in an exchange's answer. It names the exchange and the call, so that each answer is unique.
pub fn description(uid: &str, call: CallId) -> String {
    format!("{uid}/{call:016x}\r\nc=IN IP4 10.4.7.9\r\n")
}

const PADDING_LINE: &str = "a=padding:";

/// Adds a line with a number, and as many octets.
fn with_padding(description: String, octets: usize) -> String {
    if octets == 0 {
        return description;
    }
    format!("{description}{PADDING_LINE}{octets}\r\n{}", "p".repeat(octets))
}

/// The description without its padding. One whose padding is not whole is returned as it is.
pub fn without_padding(description: &str) -> &str {
    let whole = description.split_once(PADDING_LINE).and_then(|(base, padding)| {
        let (octets, padding) = padding.split_once("\r\n")?;
        let is_whole = octets.parse() == Ok(padding.len()) && padding.bytes().all(|octet| octet == b'p');
        is_whole.then_some(base)
    });
    whole.unwrap_or(description)
}

/// The uid of the exchange that a description names.
pub fn uid_of(description: &str) -> &str {
    description.split('/').next().unwrap_or_default()
}

/// Whether the peer has closed the connection, even if octets before the close are unread.
fn is_closed_by_peer(stream: &TcpStream) -> nix::Result<bool> {
    let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
    epoll.add(stream, EpollEvent::new(EpollFlags::EPOLLRDHUP, 0))?;
    let mut events = [EpollEvent::empty()];
    Ok(epoll.wait(&mut events, EpollTimeout::ZERO)? > 0)
}
