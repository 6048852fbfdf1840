//! Output towards peers that read, read late and do not read, over loopback. Time is an argument.

use std::io::Read;
use std::net::TcpListener;
use std::thread;

use mintstall_limits::{SCARCE_STALL_TIMEOUT, STALL_TIMEOUT};

use super::*;

const PLENTY: usize = 64 << 20;
/// More than the system takes for a peer that does not read.
const MORE_THAN_SOCKETS_HOLD: usize = 32 << 20;
const MESSAGE: [u8; 15_000] = [b'm'; 15_000];

struct Peers {
    connections: Connections,
    listener: TcpListener,
}

impl Peers {
    fn new(max_output_octets: usize) -> Self {
        let connections = Connections::new(Poll::new().unwrap(), max_output_octets);
        Self { connections, listener: TcpListener::bind("127.0.0.1:0").unwrap() }
    }

    /// An open connection for this purpose, and the peer's side of it.
    fn open(&mut self, purpose: fn(u64) -> Purpose) -> (Token, std::net::TcpStream) {
        let ours = std::net::TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        ours.set_nonblocking(true).unwrap();
        let purpose = purpose(self.connections.next_token as u64);
        let token = self.connections.add(TcpStream::from_std(ours), purpose, Phase::Open).unwrap();
        match purpose {
            Purpose::Link(link) => drop(self.connections.links.insert(link, token)),
            Purpose::Bus(connection) => drop(self.connections.bus.insert(connection, token)),
            Purpose::Caller(_) | Purpose::ClosingCaller => self.connections.caller_count += 1,
        }
        (token, self.listener.accept().unwrap().0)
    }

    fn open_caller(&mut self) -> (Token, std::net::TcpStream) {
        self.open(|number| Purpose::Caller(CallerConnectionId(number)))
    }

    fn open_link(&mut self) -> (Token, std::net::TcpStream) {
        self.open(|number| Purpose::Link(LinkId(number)))
    }

    fn send(&mut self, token: Token, octets: &[u8]) {
        match self.connections.by_token[&token].purpose {
            Purpose::Link(link) => self.connections.send_to_link(link, octets),
            _ => self.connections.send_to_caller(CallerConnectionId(token.0 as u64), octets),
        }
    }

    /// Sends to a peer that does not read until this much waits.
    fn fill(&mut self, token: Token, waiting: usize) {
        let mut sent = 0;
        while self.waiting(token) < waiting {
            self.send(token, &MESSAGE);
            sent += MESSAGE.len();
            assert!(sent < MORE_THAN_SOCKETS_HOLD + waiting);
        }
    }

    fn waiting(&self, token: Token) -> usize {
        self.connections.by_token[&token].output.waiting()
    }

    fn end_turn(&mut self) {
        self.connections.flush_all();
        self.connections.close_stalled();
        self.connections.resume_reads();
    }

    /// What was closed since the last call.
    fn closed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.connections.failed).iter().map(|(purpose, _)| purpose.to_string()).collect()
    }

    /// Sends a burst in one turn to a peer that reads all the time. Returns what it got before `deadline`.
    fn burst(&mut self, token: Token, mut peer: std::net::TcpStream, messages: usize) -> usize {
        let due = messages * MESSAGE.len();
        let reader = thread::spawn(move || {
            let (mut received, mut buffer) = (0, vec![0; 64 << 10]);
            while received < due
                && let Ok(count @ 1..) = peer.read(&mut buffer)
            {
                received += count;
            }
            received
        });
        (0..messages).for_each(|_| self.send(token, &MESSAGE));
        while self.connections.by_token.contains_key(&token) && self.waiting(token) > 0 {
            // The event loop does this once the socket takes more.
            self.connections.flush(token);
            self.end_turn();
            thread::sleep(Duration::from_millis(1));
        }
        reader.join().unwrap()
    }
}

// Guards against: a burst to a caller that reads closes its connection (issue 34).
#[test]
fn a_burst_reaches_a_caller_that_reads() {
    let mut peers = Peers::new(PLENTY);
    let (caller, peer) = peers.open_caller();
    assert_eq!(peers.burst(caller, peer, 1000), 1000 * MESSAGE.len());
    assert!(peers.closed().is_empty());
}

// Guards against: a burst of set-ups or releases to an exchange that reads closes its link (issue 34).
#[test]
fn a_burst_reaches_an_exchange_that_reads() {
    let mut peers = Peers::new(PLENTY);
    let (link, peer) = peers.open_link();
    assert_eq!(peers.burst(link, peer, 1000), 1000 * MESSAGE.len());
    assert!(peers.closed().is_empty());
}

#[test]
fn a_burst_is_written_before_the_end_of_the_turn() {
    let mut peers = Peers::new(PLENTY);
    let (caller, mut peer) = peers.open_caller();
    (0..10).for_each(|_| peers.send(caller, &MESSAGE));
    assert!(peers.waiting(caller) < EAGER_WRITE_OCTETS);
    peer.read_exact(&mut vec![0; EAGER_WRITE_OCTETS]).unwrap();
}

#[test]
fn a_caller_that_does_not_read_is_closed_and_it_alone() {
    let mut peers = Peers::new(PLENTY);
    let (silent, _silent_peer) = peers.open_caller();
    let (other, mut other_peer) = peers.open_caller();
    let (link, _link_peer) = peers.open_link();
    peers.fill(silent, 2 * SLOW_READER_OCTETS);
    assert!(!peers.connections.may_read(silent) && peers.connections.may_read(other));
    assert!(peers.connections.may_read(link), "its answers are for others too");
    peers.connections.now += STALL_TIMEOUT - Duration::from_millis(1);
    peers.end_turn();
    assert!(peers.closed().is_empty());
    peers.send(other, &MESSAGE);
    peers.connections.now += Duration::from_millis(1);
    peers.end_turn();
    assert_eq!(peers.closed(), [format!("caller {}", silent.0)]);
    other_peer.read_exact(&mut vec![0; MESSAGE.len()]).unwrap();
}

// Guards against: a caller with little waiting is left unread for good, and its requests with it.
#[test]
fn a_caller_is_either_read_from_or_closed_in_time() {
    for waiting in (20..160).step_by(20).map(|kib| kib << 10) {
        let mut peers = Peers::new(PLENTY);
        let (silent, _silent_peer) = peers.open_caller();
        peers.fill(silent, waiting);
        let is_read = peers.connections.may_read(silent);
        peers.connections.now += STALL_TIMEOUT;
        peers.end_turn();
        assert_eq!(peers.closed().is_empty(), is_read, "{waiting} octets wait");
    }
}

#[test]
fn a_caller_that_reads_again_in_time_keeps_its_connection() {
    let mut peers = Peers::new(PLENTY);
    let (caller, mut peer) = peers.open_caller();
    peers.fill(caller, 2 * SLOW_READER_OCTETS);
    peers.connections.pause_reads(caller);
    peers.connections.now += STALL_TIMEOUT - Duration::from_millis(1);
    peer.set_nonblocking(true).unwrap();
    while peers.waiting(caller) > 0 {
        while let Ok(1..) = peer.read(&mut vec![0; 1 << 20]) {}
        peers.connections.flush(caller);
    }
    peers.connections.now += STALL_TIMEOUT;
    peers.end_turn();
    assert!(peers.closed().is_empty());
    assert_eq!(peers.connections.pending_reads, BTreeSet::from([caller]), "it is read from again");
}

// Guards against: answers are left unread on a link because its exchange reads late.
#[test]
fn an_exchange_that_does_not_read_is_read_from_gets_no_more_set_ups_and_is_closed_alone() {
    let mut peers = Peers::new(PLENTY);
    let (link, _peer) = peers.open_link();
    let (other, _other_peer) = peers.open_link();
    peers.fill(link, 2 * SLOW_READER_OCTETS);
    assert!(peers.connections.may_read(link));
    assert!(peers.connections.is_write_blocked(LinkId(link.0 as u64)));
    assert!(!peers.connections.is_write_blocked(LinkId(other.0 as u64)));
    peers.connections.now += STALL_TIMEOUT;
    peers.end_turn();
    assert_eq!(peers.closed(), [format!("link {}", link.0)]);
}

#[test]
fn exchanges_are_not_read_while_memory_is_scarce_until_the_peers_that_do_not_read_are_closed() {
    const MAX_OUTPUT_OCTETS: usize = 4 << 20;
    let mut peers = Peers::new(MAX_OUTPUT_OCTETS);
    let (silent, _silent_peer) = peers.open_caller();
    let (caller, _caller_peer) = peers.open_caller();
    let (link, _link_peer) = peers.open_link();
    let (bus, _bus_peer) = peers.open(|_| Purpose::Bus(BusConnectionId(1)));
    peers.fill(silent, MAX_OUTPUT_OCTETS / 2);
    let read: Vec<_> =
        [silent, caller, link, bus].iter().map(|token| peers.connections.may_read(*token)).collect();
    assert_eq!(read, [false, true, false, true]);
    peers.connections.pause_reads(link);
    peers.end_turn();
    assert!(peers.connections.pending_reads.is_empty());
    peers.connections.now += SCARCE_STALL_TIMEOUT;
    peers.end_turn();
    assert_eq!(peers.closed(), [format!("caller {}", silent.0)]);
    assert_eq!(peers.connections.pending_reads, BTreeSet::from([link]));
    assert!(!peers.connections.output_monitor.has_waiting());
}
