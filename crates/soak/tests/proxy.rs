//! The proxy between a controller and an exchange: what it records, and when.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use mintstall_platform::exchange_protocol::{MessageType, WireCallId, encode, parameter};
use mintstall_soak::address::allocate;
use mintstall_soak::proxy::{ConnectionFaults, Proxy};
use mintstall_soak::record::{Event, Recorder};

const CALL: u64 = 7;
const LIMIT: Duration = Duration::from_secs(5);

/// Starts a proxy that forwards all connections in pieces, with a listener in place of the exchange.
fn start_proxy(recorder: &Recorder) -> (Proxy, TcpListener) {
    let exchange = TcpListener::bind(allocate()).unwrap();
    let proxy = Proxy::start(0, allocate(), exchange.local_addr().unwrap(), "s-0-0", 1, recorder);
    proxy.set_faults(ConnectionFaults { in_pieces: 1.0, ..ConnectionFaults::default() });
    (proxy, exchange)
}

fn connect(proxy: &Proxy) -> TcpStream {
    let started = Instant::now();
    loop {
        match TcpStream::connect(proxy.addr) {
            Ok(stream) => return stream,
            Err(error) => assert!(started.elapsed() < LIMIT, "no connection to the proxy: {error}"),
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until as many recorded events match.
fn wait_for_records(recorder: &Recorder, count: usize, matches: fn(&Event) -> bool) -> usize {
    let started = Instant::now();
    loop {
        let found = recorder.sorted().iter().filter(|record| matches(&record.event)).count();
        if found >= count || started.elapsed() > LIMIT {
            return found;
        }
        thread::sleep(Duration::from_millis(1));
    }
}

// Guards against: a release on a link in pieces recorded only after all octets before it were forwarded, so that the
// next attempt of the call seemed to come before the release.
#[test]
fn messages_are_recorded_when_they_arrive_and_not_when_they_are_forwarded() {
    let recorder = Recorder::default();
    let (proxy, exchange) = start_proxy(&recorder);
    let mut controller = connect(&proxy);
    let (mut link, _) = exchange.accept().unwrap();
    let mut set_up = Vec::new();
    let description = vec![b'd'; 14_000];
    encode(&mut set_up, MessageType::SetUp, WireCallId(CALL), &[(parameter::DESCRIPTION, &description)]);
    controller.write_all(&set_up).unwrap();
    let mut first_piece = [0; 7];
    link.read_exact(&mut first_piece).unwrap();
    let mut release = Vec::new();
    encode(&mut release, MessageType::Release, WireCallId(CALL), &[(parameter::CAUSE, &[16])]);
    controller.write_all(&release).unwrap();
    let is_release = |event: &Event| matches!(event, Event::ReleasePassed { call: CALL, .. });
    assert_eq!(wait_for_records(&recorder, 1, is_release), 1);
    // Most of the set-up is still under way: its 2,000 pieces take at least 0.6 s.
    link.set_nonblocking(true).unwrap();
    let forwarded = first_piece.len() + link.read(&mut vec![0; set_up.len()]).unwrap_or_default();
    assert!(forwarded < set_up.len() / 2, "{forwarded} octets had been forwarded before the record");
    proxy.stop();
}

// Guards against: a close by the controller that was not recorded when the thread of the other direction met it first,
// so that attempts on the link seemed to stay open.
#[test]
fn a_close_by_the_controller_is_recorded_even_if_the_other_direction_meets_it_first() {
    let recorder = Recorder::default();
    let (proxy, exchange) = start_proxy(&recorder);
    let mut controller = connect(&proxy);
    let (mut link, _) = exchange.accept().unwrap();
    link.write_all(&[0; 2000]).unwrap();
    wait_for_octets(&controller);
    // The direction to the exchange is busy with these octets when the other direction meets the close.
    controller.write_all(&[0; 2000]).unwrap();
    link.read_exact(&mut [0; 7]).unwrap();
    drop(controller);
    let is_close = |event: &Event| matches!(event, Event::LinkClosed { .. });
    assert_eq!(wait_for_records(&recorder, 1, is_close), 1, "the close was not recorded");
    proxy.stop();
}

/// Waits until octets have arrived, and leaves them unread.
fn wait_for_octets(stream: &TcpStream) {
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    assert!(stream.peek(&mut [0; 16]).unwrap() > 0);
}
