//! The network between one controller and one exchange: it can be partitioned, reset its connections, or split messages into pieces.
//!
//! The proxy records the messages between the two, since it sees those of the controller first.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use mintstall_platform::exchange_protocol::{Decoder, MessageType};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::listener::{PartitionableListener, reset};
use crate::record::{ConnectionId, ControllerIndex, Event, Micros, Recorder, now};
use crate::sync::lock;

/// Interval at which a thread checks for a change of the network state, a reset or the end of the run.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Octets that are buffered in each direction while the network is partitioned.
const MAX_BUFFERED_OCTETS: usize = 1 << 20;
const READ_OCTETS: usize = 8192;
/// Size of a piece, and the time between two, on a connection that is forwarded in pieces.
const PIECE_OCTETS: usize = 7;
const PIECE_INTERVAL: Duration = Duration::from_micros(300);

/// The state of the network between the controller and the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkState {
    Up,
    /// No octets pass in either direction. Connections stay open and new ones are never established.
    Partitioned,
    /// Nothing listens, so connections are refused.
    Refusing,
}

/// Shares of connections with a fault, each between 0 and 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionFaults {
    /// Share of connections that are reset as soon as they are accepted.
    pub closed_early: f64,
    /// Share of connections on which octets are forwarded in small pieces.
    pub in_pieces: f64,
}

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

#[derive(Debug)]
struct Shared {
    network: Mutex<NetworkState>,
    /// The address and uid of the exchange.
    upstream: Mutex<(SocketAddr, String)>,
    faults: Mutex<ConnectionFaults>,
    links: Mutex<Vec<Arc<Link>>>,
    controller: ControllerIndex,
    recorder: Recorder,
    stopped: AtomicBool,
}

#[derive(Debug)]
struct Link {
    id: ConnectionId,
    uid: String,
    /// Tells the threads of both directions to reset the link.
    reset: AtomicBool,
    /// Set when one direction can't be forwarded any more, so that the other ends too.
    closed: AtomicBool,
    in_pieces: bool,
    /// The machine at the other end has returned and does not know of the link: it is silent, and reset when something
    /// is sent on it.
    stale: AtomicBool,
}

fn get<T: Clone>(mutex: &Mutex<T>) -> T {
    lock(mutex).clone()
}

fn set<T>(mutex: &Mutex<T>, value: T) {
    *lock(mutex) = value;
}

/// The proxy between one controller and one exchange. Clones refer to the same proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    pub fn start(
        controller: ControllerIndex,
        addr: SocketAddr,
        upstream: SocketAddr,
        uid: &str,
        seed: u64,
        recorder: &Recorder,
    ) -> Self {
        let shared = Arc::new(Shared {
            network: Mutex::new(NetworkState::Up),
            upstream: Mutex::new((upstream, uid.to_string())),
            faults: Mutex::new(ConnectionFaults::default()),
            links: Mutex::new(Vec::new()),
            controller,
            recorder: recorder.clone(),
            stopped: AtomicBool::new(false),
        });
        let thread_shared = Arc::clone(&shared);
        thread::spawn(move || accept(&thread_shared, addr, seed));
        Self { addr, shared }
    }

    pub fn set_network_state(&self, network: NetworkState) {
        set(&self.shared.network, network);
    }

    pub fn set_faults(&self, faults: ConnectionFaults) {
        set(&self.shared.faults, faults);
    }

    /// Forwards new connections to another exchange from now on.
    pub fn set_upstream(&self, upstream: SocketAddr, uid: &str) {
        set(&self.shared.upstream, (upstream, uid.to_string()));
    }

    /// Resets all links.
    pub fn reset_links(&self) {
        for link in get(&self.shared.links) {
            link.reset.store(true, Ordering::Relaxed);
        }
    }

    /// Resets the link that was opened first.
    pub fn reset_oldest_link(&self) {
        if let Some(link) = get(&self.shared.links).first() {
            link.reset.store(true, Ordering::Relaxed);
        }
    }

    /// The machine of the exchange has returned: every second of its links is reset, the others are stale.
    pub fn forget_links(&self) {
        for (index, link) in get(&self.shared.links).iter().enumerate() {
            let flag = if index % 2 == 0 { &link.stale } else { &link.reset };
            flag.store(true, Ordering::Relaxed);
        }
    }

    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

fn accept(shared: &Arc<Shared>, addr: SocketAddr, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut listener, mut last_state) = (None, NetworkState::Refusing);
    while !shared.stopped.load(Ordering::Relaxed) {
        let network = get(&shared.network);
        if network != last_state {
            if network == NetworkState::Refusing {
                listener = None;
            } else if listener.is_none() {
                listener = PartitionableListener::bind(addr).ok();
            }
            match (&mut listener, network) {
                (Some(listener), NetworkState::Partitioned) => drop(listener.partition()),
                (Some(listener), NetworkState::Up) => listener.heal(),
                _ => {}
            }
            last_state = network;
        }
        let stream = listener.as_mut().and_then(PartitionableListener::accept);
        match stream {
            Some(stream) => open_link(shared, stream, &mut rng),
            None => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn open_link(shared: &Arc<Shared>, stream: TcpStream, rng: &mut Pcg64Mcg) {
    let (upstream, uid) = get(&shared.upstream);
    let faults = get(&shared.faults);
    if rng.random_bool(faults.closed_early) {
        return reset(&stream);
    }
    let Ok(exchange) = TcpStream::connect(upstream) else { return reset(&stream) };
    let link = Arc::new(Link {
        id: NEXT_LINK.fetch_add(1, Ordering::Relaxed),
        uid,
        reset: AtomicBool::new(false),
        closed: AtomicBool::new(false),
        in_pieces: rng.random_bool(faults.in_pieces),
        stale: AtomicBool::new(false),
    });
    shared.recorder.add(Event::LinkOpened { link: link.id, controller: shared.controller });
    let mut links = lock(&shared.links);
    links.retain(|link| Arc::strong_count(link) > 1);
    links.push(Arc::clone(&link));
    drop(links);
    for (direction, from, to) in
        [(Direction::ToExchange, &stream, &exchange), (Direction::ToController, &exchange, &stream)]
    {
        if start_direction(shared, &link, direction, from, to).is_err() {
            link.closed.store(true, Ordering::Relaxed);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToExchange,
    ToController,
}

/// What was received from one side and waits to be forwarded to the other.
#[derive(Debug, Default)]
struct Received {
    octets: Vec<u8>,
    source_closed: bool,
}

/// Hands over octets from the thread that reads one side to the thread that writes to the other, so that messages are
/// recorded when they arrive, however slowly they are forwarded.
#[derive(Debug, Default)]
struct Pipe {
    received: Mutex<Received>,
    changed: Condvar,
}

impl Pipe {
    fn push(&self, octets: &[u8]) {
        lock(&self.received).octets.extend_from_slice(octets);
        self.changed.notify_one();
    }

    fn close(&self) {
        lock(&self.received).source_closed = true;
        self.changed.notify_one();
    }

    fn is_full(&self) -> bool {
        lock(&self.received).octets.len() >= MAX_BUFFERED_OCTETS
    }

    /// Takes all that has been received, after at most [`POLL_INTERVAL`].
    fn take(&self) -> Received {
        let received = lock(&self.received);
        let idle = |received: &mut Received| received.octets.is_empty() && !received.source_closed;
        let wait_result = self.changed.wait_timeout_while(received, POLL_INTERVAL, idle);
        let mut received = wait_result.unwrap_or_else(PoisonError::into_inner).0;
        Received { octets: std::mem::take(&mut received.octets), source_closed: received.source_closed }
    }
}

fn start_direction(
    shared: &Arc<Shared>,
    link: &Arc<Link>,
    direction: Direction,
    from: &TcpStream,
    to: &TcpStream,
) -> std::io::Result<()> {
    from.set_nonblocking(false)?;
    // Without a read timeout the thread would notice a requested reset late.
    from.set_read_timeout(Some(POLL_INTERVAL))?;
    to.set_nodelay(true)?;
    let pipe = Arc::new(Pipe::default());
    let (reader_shared, reader_link, reader_pipe) = (Arc::clone(shared), Arc::clone(link), Arc::clone(&pipe));
    let (source, from, to) = (from.try_clone()?, from.try_clone()?, to.try_clone()?);
    thread::spawn(move || read_direction(&reader_shared, &reader_link, direction, source, &reader_pipe));
    let (shared, link) = (Arc::clone(shared), Arc::clone(link));
    thread::spawn(move || forward_direction(&shared, &link, direction, &from, to, &pipe));
    Ok(())
}

/// Reads one side until it closes the connection, or the link is reset. Records the messages of the controller, and
/// the close after all messages before it.
fn read_direction(shared: &Shared, link: &Link, direction: Direction, mut from: TcpStream, pipe: &Pipe) {
    let (mut decoder, mut buffer) = (Decoder::default(), [0; READ_OCTETS]);
    let mut last_read = now();
    while !shared.stopped.load(Ordering::Relaxed) && !link.reset.load(Ordering::Relaxed) {
        if pipe.is_full() {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let arrived_after = last_read;
        let read_began = now();
        let result = from.read(&mut buffer);
        // All that had arrived by then has been read, unless the buffer is full. A read can return long after it found nothing.
        if !matches!(result, Ok(READ_OCTETS)) {
            last_read = read_began;
        }
        match result {
            Ok(count @ 1..) => {
                if direction == Direction::ToExchange {
                    record_messages(shared, link, direction, &mut decoder, &buffer[..count], arrived_after);
                }
                pipe.push(&buffer[..count]);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Ok(0) | Err(_) => {
                let (link, controller) = (link.id, shared.controller);
                shared.recorder.add(match direction {
                    Direction::ToExchange => Event::LinkClosed { link, controller },
                    Direction::ToController => Event::LinkReset { link, controller },
                });
                return pipe.close();
            }
        }
    }
}

/// Forwards one direction until either side closes the connection, or the link is reset. Records the messages to the
/// controller.
fn forward_direction(
    shared: &Shared,
    link: &Link,
    direction: Direction,
    from: &TcpStream,
    mut to: TcpStream,
    pipe: &Pipe,
) {
    let mut decoder = Decoder::default();
    while !shared.stopped.load(Ordering::Relaxed) && !link.reset.load(Ordering::Relaxed) {
        if get(&shared.network) == NetworkState::Partitioned {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let is_stale = link.stale.load(Ordering::Relaxed);
        if is_stale && direction == Direction::ToController {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let received = pipe.take();
        if is_stale {
            let is_used = received.source_closed || !received.octets.is_empty();
            link.reset.fetch_or(is_used, Ordering::Relaxed);
            continue;
        }
        let forwarded = forward(link, &received.octets, &mut to, |octets| {
            if direction == Direction::ToController {
                record_messages(shared, link, direction, &mut decoder, octets, now());
            }
        });
        if received.source_closed && forwarded.is_ok() && direction == Direction::ToExchange {
            // Half-closes the connection. The exchange closes the other direction after it has sent what remains.
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if received.source_closed || forwarded.is_err() || link.closed.load(Ordering::Relaxed) {
            link.closed.store(true, Ordering::Relaxed);
            // Wakes the threads that read. They record a close of the other side that has not been read yet.
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
    if direction == Direction::ToController {
        shared.recorder.add(Event::LinkReset { link: link.id, controller: shared.controller });
    }
    reset(from);
    reset(&to);
}

/// Writes the octets, in pieces if the link has that fault. Calls `before_write` with each part.
fn forward(
    link: &Link,
    octets: &[u8],
    to: &mut TcpStream,
    mut before_write: impl FnMut(&[u8]),
) -> std::io::Result<()> {
    let (part_octets, pause) =
        if link.in_pieces { (PIECE_OCTETS, PIECE_INTERVAL) } else { (READ_OCTETS, Duration::ZERO) };
    for part in octets.chunks(part_octets) {
        before_write(part);
        to.write_all(part)?;
        thread::sleep(pause);
    }
    Ok(())
}

/// Decodes the octets of one direction and records the set-ups and releases in them.
fn record_messages(
    shared: &Shared,
    link: &Link,
    direction: Direction,
    decoder: &mut Decoder,
    octets: &[u8],
    arrived_after: Micros,
) {
    decoder.push(octets);
    let controller = shared.controller;
    while let Ok(Some(message)) = decoder.next_message() {
        let (uid, call, link) = (link.uid.clone(), message.call.0, link.id);
        match (direction, message.kind) {
            (Direction::ToExchange, MessageType::SetUp) => {
                shared.recorder.add(Event::SetUpPassed { arrived_after, uid, call, controller, link });
            }
            (Direction::ToExchange, MessageType::Release) => {
                shared.recorder.add(Event::ReleasePassed { uid, call, controller, link });
            }
            (Direction::ToController, MessageType::Release)
                if get(&shared.network) != NetworkState::Partitioned =>
            {
                shared.recorder.add(Event::ReleaseDelivered { uid, call, controller, link });
            }
            _ => {}
        }
    }
}
