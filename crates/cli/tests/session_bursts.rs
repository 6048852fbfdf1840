//! `mintstall run` under bursts: much output that is due to one client at once. A client that reads keeps its connection and
//! gets all of it.
//!
//! The controller is stopped while the requests are written, so that it reads them in as few turns as it can.

mod common;

use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use common::{Controller, TIMEOUT};
use mintstall_websocket::{ClientHandshake, ClientHandshakeState, WebSocketEvent};
use serde_json::json;

/// The least that the configuration may allow to wait for a session.
const MOST_UNREAD_OCTETS: usize = 64 << 10;
const REQUESTS: usize = 20_000;

/// A controller without rate limits. Its link is never up.
fn start(name: &str) -> Controller {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = json!({
        "calls": { "listen": "127.0.0.1:0", "most_unread": MOST_UNREAD_OCTETS },
        "limits": { "requests_per_s": 1e9, "requests_at_once": 1e9 },
    });
    Controller::start_with(name, unused.local_addr().unwrap(), limits)
}

/// Writes while the controller is stopped, and on in the background once it goes on.
fn write_while_stopped(controller: &Controller, mut stream: TcpStream, octets: Vec<u8>) {
    controller.kill("-STOP");
    // The controller closes the connection only where the test fails.
    thread::spawn(move || stream.write_all(&octets));
    thread::sleep(Duration::from_millis(100));
    controller.kill("-CONT");
}

/// Sends one request many times over a connection of one JSON text a line, and expects as many replies.
fn expect_replies(controller: &Controller, port: &str, request: &str, count: usize) {
    let replies = controller.connect(port);
    let requests = format!("{request}\n").repeat(count).into_bytes();
    write_while_stopped(controller, replies.get_ref().try_clone().unwrap(), requests);
    let received = replies.lines().take(count).take_while(Result::is_ok).count();
    assert_eq!(received, count, "the connection was closed");
}

// Guards against: answers that come together close a client's session over WebSocket though it reads (issue 34).
#[test]
fn answers_that_come_together_reach_a_session_over_websocket_that_reads() {
    let controller = start("burst-websocket.json");
    let addr: SocketAddr = controller.ready["calls"].as_str().unwrap().parse().unwrap();
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let (mut handshake, request) = ClientHandshake::new(addr, 1 << 20).unwrap();
    stream.write_all(&request).unwrap();
    let mut buffer = vec![0; 64 << 10];
    let mut connection = loop {
        let count = stream.read(&mut buffer).unwrap();
        match handshake.push(&buffer[..count]) {
            ClientHandshakeState::Open(connection) => break connection,
            ClientHandshakeState::Incomplete => {}
            ClientHandshakeState::Rejected(why) => panic!("{why}"),
        }
    };
    (0..REQUESTS).for_each(|_| connection.send_text(r#"{"jsonrpc":"2.0","id":1,"method":"unknown"}"#));
    let requests = std::mem::take(connection.output());
    write_while_stopped(&controller, stream.try_clone().unwrap(), requests);
    let mut replies = 0;
    while replies < REQUESTS {
        let count = stream.read(&mut buffer).unwrap();
        connection.on_octets(&buffer[..count], &mut |event| {
            replies += usize::from(matches!(event, WebSocketEvent::Text(_)));
        });
        assert_eq!(connection.close_info(), None, "after {replies} replies");
    }
}

// Guards against: answers that come together close a subscriber's line though it reads (issue 34).
#[test]
fn answers_that_come_together_reach_a_line_that_reads() {
    // An invalid request, whose answer is many times as long.
    expect_replies(&start("burst-line.json"), "subscribers", "{}", 5 * REQUESTS);
}

// Guards against: replies that come together close an admin connection though it reads (issue 34).
#[test]
fn replies_that_come_together_reach_an_admin_client_that_reads() {
    expect_replies(&start("burst-admin.json"), "admin", r#"{"id":1,"method":"status"}"#, REQUESTS);
}
