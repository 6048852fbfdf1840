//! The time that a session gives the opening handshake, in virtual time.

use std::time::Duration;

use mintstall_client::{Session, SessionConfig};

/// Time in which the server of the test would complete the handshake.
const SERVER_DELAY: Duration = Duration::from_secs(18);

// Guards against: attempts that are all given up after the same time, so that a server that serves later is never reached.
#[test]
fn a_slow_handshake_is_given_more_time_each_time() {
    let mut now = Duration::from_secs(1000);
    let mut session = Session::new(now, SessionConfig::named("test"), 1);
    let mut waits = Vec::new();
    for _ in 0..6 {
        while !session.should_connect(now) {
            now = session.next_timer().expect("the session would never connect again").max(now);
            session.on_timer(now);
        }
        session.on_connected(now, "127.0.0.1:7300".parse().unwrap());
        let given_up = session.next_timer().expect("the handshake has no time-out");
        waits.push(given_up - now);
        now = given_up;
        session.on_timer(now);
    }
    assert!(waits.is_sorted() && waits[0] < SERVER_DELAY && waits[3] > SERVER_DELAY, "{waits:?}");
    assert!(waits[5] <= Duration::from_secs(60), "{waits:?}");
}
