//! Output towards peers that read and that do not, over loopback.

use std::io::Read;
use std::net::TcpListener;
use std::thread;

use mintstall_limits::{ConnectionTimeouts, STALL_TIMEOUT};

use super::*;

const MESSAGE: [u8; 100] = [b'm'; 100];
/// Far more than the limit of any connection.
const BURST_OCTETS: usize = 16 << 20;
const MOST_UNREAD_OCTETS: usize = 64 << 10;

struct Peers {
    connections: Connections,
    listener: TcpListener,
}

impl Peers {
    fn new() -> Self {
        let monitor = || ConnectionMonitor::new(ConnectionTimeouts::default());
        let poll = Poll::new().unwrap();
        let connections = Connections::new(poll, monitor(), monitor(), MOST_UNREAD_OCTETS);
        Self { connections, listener: TcpListener::bind("127.0.0.1:0").unwrap() }
    }

    fn open(&mut self, purpose: Purpose) -> (Token, std::net::TcpStream) {
        let ours = std::net::TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        ours.set_nonblocking(true).unwrap();
        let token = self.connections.add(TcpStream::from_std(ours), purpose).unwrap();
        (token, self.listener.accept().unwrap().0)
    }

    fn open_link(&mut self, to: u16) -> (Token, std::net::TcpStream) {
        let (token, peer) = self.open(Purpose::Link(ExchangeNumber(to)));
        self.connections.links.insert(ExchangeNumber(to), token);
        (token, peer)
    }

    fn open_line(&mut self, line: u64) -> (Token, std::net::TcpStream) {
        let (token, peer) = self.open(Purpose::Line(LineId(line)));
        self.connections.lines.insert(LineId(line), token);
        (token, peer)
    }

    fn waiting(&self, token: Token) -> usize {
        self.connections.by_token[&token].output.waiting()
    }

    fn end_turn(&mut self) {
        self.connections.flush_all();
        self.connections.close_stalled();
    }

    /// Writes until the sockets take no more. The system enlarges their buffers for a while, so that one to a peer that
    /// does not read takes more than a message at a later attempt too.
    fn fill_sockets(&mut self) {
        const SETTLED_ROUNDS: u32 = 20;
        let mut unchanged_rounds = 0;
        while unchanged_rounds < SETTLED_ROUNDS {
            let before = self.connections.output_monitor.total_octets();
            let tokens: Vec<_> = self.connections.by_token.keys().copied().collect();
            tokens.into_iter().for_each(|token| self.connections.flush(token));
            let changed = self.connections.output_monitor.total_octets() != before;
            unchanged_rounds = if changed { 0 } else { unchanged_rounds + 1 };
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// The time passes that a peer has to take something.
    fn pass_stall_timeout(&mut self) {
        self.fill_sockets();
        self.connections.started -= STALL_TIMEOUT;
    }

    fn closed(&mut self) -> Vec<Token> {
        self.connections.to_close.drain(..).map(|(token, _)| token).collect()
    }

    /// Ends turns until all is written to a peer that reads. Returns what it got.
    fn deliver(&mut self, token: Token, mut peer: std::net::TcpStream, due: usize) -> usize {
        let reader = thread::spawn(move || {
            let (mut received, mut buffer) = (0, vec![0; 64 << 10]);
            while received < due
                && let Ok(count @ 1..) = peer.read(&mut buffer)
            {
                received += count;
            }
            received
        });
        while self.waiting(token) > 0 && self.connections.to_close.is_empty() {
            self.connections.unflushed.push(token);
            self.end_turn();
            thread::sleep(Duration::from_millis(1));
        }
        self.connections.remove(token);
        reader.join().unwrap()
    }
}

// Guards against: a burst of set-ups, releases or answers between exchanges closes a link that reads (issue 34).
#[test]
fn a_burst_reaches_an_exchange_that_reads() {
    let mut peers = Peers::new();
    let (link, peer) = peers.open_link(2);
    let messages = BURST_OCTETS / MESSAGE.len();
    (0..messages).for_each(|_| peers.connections.send_to_link(ExchangeNumber(2), &MESSAGE));
    peers.end_turn();
    assert!(peers.closed().is_empty());
    assert_eq!(peers.deliver(link, peer, messages * MESSAGE.len()), messages * MESSAGE.len());
}

// Guards against: a burst of answers and ended calls closes a subscriber's line that reads (issue 34).
#[test]
fn a_burst_reaches_a_line_that_reads() {
    let mut peers = Peers::new();
    let (line, peer) = peers.open_line(1);
    let text = "n".repeat(MESSAGE.len() - 1);
    let messages = BURST_OCTETS / MESSAGE.len();
    (0..messages).for_each(|_| peers.connections.send_to_line(LineId(1), &text));
    peers.end_turn();
    assert!(peers.closed().is_empty());
    assert_eq!(peers.deliver(line, peer, messages * MESSAGE.len()), messages * MESSAGE.len());
}

#[test]
fn a_line_that_does_not_read_is_not_read_from_and_is_closed_alone() {
    let mut peers = Peers::new();
    let (silent, _silent_peer) = peers.open_line(1);
    let (other, mut other_peer) = peers.open_line(2);
    let text = "n".repeat(BURST_OCTETS);
    peers.connections.send_to_line(LineId(1), &text);
    peers.end_turn();
    assert!(!peers.connections.may_read(silent) && peers.connections.may_read(other));
    peers.pass_stall_timeout();
    peers.connections.send_to_line(LineId(2), "hello");
    peers.end_turn();
    assert_eq!(peers.closed(), [silent]);
    other_peer.read_exact(&mut [0; 6]).unwrap();
}

#[test]
fn links_are_not_read_while_memory_is_scarce_and_are_once_the_exchange_that_does_not_read_is_closed() {
    let mut peers = Peers::new();
    let (silent, _silent_peer) = peers.open_link(2);
    let (other, _other_peer) = peers.open_link(3);
    let (line, _line_peer) = peers.open_line(1);
    while !peers.connections.output_monitor.is_scarce() {
        peers.connections.send_to_link(ExchangeNumber(2), &[0; 1 << 20]);
    }
    assert!(!peers.connections.may_read(other) && peers.connections.may_read(line));
    peers.connections.pause_reads(other);
    peers.connections.resume_reads();
    assert_eq!(peers.connections.paused_reads, [other].into());
    peers.pass_stall_timeout();
    peers.end_turn();
    assert_eq!(peers.closed(), [silent]);
    peers.connections.remove(silent);
    peers.connections.resume_reads();
    assert!(peers.connections.paused_reads.is_empty());
}
