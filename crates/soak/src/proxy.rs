//! The network between one controller and one exchange: it can be partitioned, reset its connections, or split messages into pieces.
//!
//! It also is where the controller's messages are first seen, so it records them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mintstall_platform::exchange_protocol::{Decoder, MessageType};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::listener::{PartitionableListener, reset};
use crate::record::{ConnectionId, ControllerIndex, Event, Recorder};
use crate::sync::lock;

/// How often a thread looks at what has been asked of it.
const TICK: Duration = Duration::from_millis(5);
/// Octets that wait while the network is partitioned.
const MOST_HELD: usize = 1 << 20;

/// What the network does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkState {
    Up,
    /// Nothing passes, in either direction; connections stay open and new ones never come up.
    Partitioned,
    /// Nobody listens.
    Refusing,
}

/// Shares of connections, each between 0 and 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionFaults {
    /// Closed as soon as they are open.
    pub closed_early: f64,
    /// Messages pass in pieces of a few octets.
    pub in_pieces: f64,
}

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

#[derive(Debug)]
struct Shared {
    network: Mutex<NetworkState>,
    upstream: Mutex<(SocketAddr, String)>,
    faults: Mutex<ConnectionFaults>,
    links: Mutex<Vec<Arc<Link>>>,
    controller: ControllerIndex,
    recorder: Recorder,
    over: AtomicBool,
}

#[derive(Debug)]
struct Link {
    no: ConnectionId,
    uid: String,
    reset: AtomicBool,
    closed: AtomicBool,
    in_pieces: bool,
}

fn get<T: Clone>(of: &Mutex<T>) -> T {
    lock(of).clone()
}

fn set<T>(of: &Mutex<T>, to: T) {
    *lock(of) = to;
}

/// The way from one controller to one exchange.
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
            over: AtomicBool::new(false),
        });
        let of_thread = Arc::clone(&shared);
        thread::spawn(move || accept(&of_thread, addr, seed));
        Self { addr, shared }
    }

    pub fn set_network_state(&self, network: NetworkState) {
        set(&self.shared.network, network);
    }

    pub fn set_faults(&self, faults: ConnectionFaults) {
        set(&self.shared.faults, faults);
    }

    /// Another exchange answers at this address from now on.
    pub fn set_upstream(&self, upstream: SocketAddr, uid: &str) {
        set(&self.shared.upstream, (upstream, uid.to_string()));
    }

    /// Resets all connections.
    pub fn reset_links(&self) {
        for link in get(&self.shared.links) {
            link.reset.store(true, Ordering::Relaxed);
        }
    }

    /// Resets one connection, the one opened first.
    pub fn reset_oldest_link(&self) {
        if let Some(link) = get(&self.shared.links).first() {
            link.reset.store(true, Ordering::Relaxed);
        }
    }

    pub fn stop(&self) {
        self.shared.over.store(true, Ordering::Relaxed);
    }
}

fn accept(shared: &Arc<Shared>, addr: SocketAddr, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut listener, mut was) = (None, NetworkState::Refusing);
    while !shared.over.load(Ordering::Relaxed) {
        let network = get(&shared.network);
        if network != was {
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
            was = network;
        }
        let stream = listener.as_mut().and_then(PartitionableListener::accept);
        match stream {
            Some(stream) => connect(shared, stream, &mut rng),
            None => thread::sleep(TICK),
        }
    }
}

fn connect(shared: &Arc<Shared>, stream: TcpStream, rng: &mut Pcg64Mcg) {
    let (upstream, uid) = get(&shared.upstream);
    let faults = get(&shared.faults);
    if rng.random_bool(faults.closed_early) {
        return reset(&stream);
    }
    let Ok(exchange) = TcpStream::connect(upstream) else { return reset(&stream) };
    let link = Arc::new(Link {
        no: NEXT_LINK.fetch_add(1, Ordering::Relaxed),
        uid,
        reset: AtomicBool::new(false),
        closed: AtomicBool::new(false),
        in_pieces: rng.random_bool(faults.in_pieces),
    });
    shared.recorder.add(Event::LinkOpened { link: link.no, controller: shared.controller });
    let mut links = lock(&shared.links);
    links.retain(|link| Arc::strong_count(link) > 1);
    links.push(Arc::clone(&link));
    drop(links);
    let (Ok(from), Ok(to)) = (stream.try_clone(), exchange.try_clone()) else { return };
    for (direction, from, to) in [(Direction::Up, from, to), (Direction::Down, exchange, stream)] {
        let (shared, link) = (Arc::clone(shared), Arc::clone(&link));
        thread::spawn(move || copy(&shared, &link, direction, from, to));
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// From the controller to the exchange.
    Up,
    Down,
}

/// Copies one direction until either side ends.
fn copy(shared: &Shared, link: &Link, direction: Direction, mut from: TcpStream, mut to: TcpStream) {
    // A stream without a read timeout would only notice a reset late.
    let _ = from.set_nonblocking(false).and_then(|()| from.set_read_timeout(Some(TICK)));
    let _ = to.set_nodelay(true);
    let (mut decoder, mut buffer, mut held) = (Decoder::default(), [0; 8192], Vec::new());
    let mut ended = false;
    while !shared.over.load(Ordering::Relaxed) && !link.reset.load(Ordering::Relaxed) {
        if !ended && held.len() < MOST_HELD {
            match from.read(&mut buffer) {
                Ok(0) => ended = true,
                Ok(count) => {
                    observe(shared, link, direction, &mut decoder, &buffer[..count]);
                    held.extend_from_slice(&buffer[..count]);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => ended = true,
            }
            if ended {
                let (link, controller) = (link.no, shared.controller);
                shared.recorder.add(match direction {
                    Direction::Up => Event::LinkClosed { link, controller },
                    Direction::Down => Event::LinkReset { link, controller },
                });
            }
        } else {
            thread::sleep(TICK);
        }
        if get(&shared.network) == NetworkState::Partitioned {
            continue;
        }
        let passed = pass_on(link, &held, &mut to);
        held.clear();
        if ended && passed.is_ok() && direction == Direction::Up {
            // One direction has ended: the exchange closes the other, with what it had still to send.
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
        if ended || passed.is_err() || link.closed.load(Ordering::Relaxed) {
            link.closed.store(true, Ordering::Relaxed);
            return;
        }
    }
    if direction == Direction::Down {
        shared.recorder.add(Event::LinkReset { link: link.no, controller: shared.controller });
    }
    reset(&from);
    reset(&to);
}

fn pass_on(link: &Link, octets: &[u8], to: &mut TcpStream) -> std::io::Result<()> {
    if !link.in_pieces {
        return to.write_all(octets);
    }
    for piece in octets.chunks(7) {
        to.write_all(piece)?;
        thread::sleep(Duration::from_micros(300));
    }
    Ok(())
}

/// Records what a direction's octets say, as they are read.
fn observe(shared: &Shared, link: &Link, direction: Direction, decoder: &mut Decoder, octets: &[u8]) {
    decoder.push(octets);
    let controller = shared.controller;
    while let Ok(Some(message)) = decoder.next_message() {
        let (uid, call, link) = (link.uid.clone(), message.call.0, link.no);
        match (direction, message.kind) {
            (Direction::Up, MessageType::SetUp) => {
                shared.recorder.add(Event::SetUpPassed { uid, call, controller, link });
            }
            (Direction::Up, MessageType::Release) => {
                shared.recorder.add(Event::ReleasePassed { uid, call, controller, link });
            }
            (Direction::Down, MessageType::Release) if get(&shared.network) != NetworkState::Partitioned => {
                shared.recorder.add(Event::ReleaseDelivered { uid, call, controller, link });
            }
            _ => {}
        }
    }
}
