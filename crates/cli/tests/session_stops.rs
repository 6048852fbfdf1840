//! `mintstall run` that is stopped while a client has just connected.

mod common;

use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use common::{Controller, read_message};

// Guards against: a connection that the system had accepted, reset with the request on it as a controller stops (issue 45).
#[test]
fn a_request_on_a_connection_that_was_not_accepted_yet_is_answered_by_a_controller_that_stops() {
    let far_exchange = TcpListener::bind("127.0.0.1:0").unwrap();
    let controller = Controller::start("stops.json", far_exchange.local_addr().unwrap());
    controller.wait_until("started", |_| true);
    controller.kill("-STOP");
    let mut line = controller.connect("subscribers");
    let offer =
        r#"{"jsonrpc":"2.0","id":1,"method":"offer","params":{"call":1,"dialled":"5551234","dest":2}}"#;
    line.get_mut().write_all(offer.as_bytes()).unwrap();
    line.get_mut().write_all(b"\n").unwrap();
    controller.kill("-TERM");
    thread::sleep(Duration::from_millis(100));
    controller.kill("-CONT");
    let answer = read_message(&mut line);
    assert_eq!(answer["id"], 1, "{answer}");
}
