//! Connections to the signalling port of `mintstall run`: which of them is the link of an exchange.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{CIRCUITS, Controller, TIMEOUT, peak_memory_kib};
use mintstall_client::{CallOutcome, Client, SessionConfig, offer};
use mintstall_emulator::{FarExchange, FarPlan};
use mintstall_isup::Frame;
use serde_json::json;

const FAR: u16 = 2;

/// A connection of the far exchange to the controller.
struct FarLink {
    stream: TcpStream,
    is_silent: Arc<AtomicBool>,
    is_closed: Arc<AtomicBool>,
}

impl FarLink {
    fn open(controller: &Controller) -> Self {
        let addr = controller.ready["signalling"].as_str().unwrap();
        let stream = TcpStream::connect(addr).unwrap();
        let link = Self {
            stream: stream.try_clone().unwrap(),
            is_silent: Arc::default(),
            is_closed: Arc::default(),
        };
        let (is_silent, is_closed) = (Arc::clone(&link.is_silent), Arc::clone(&link.is_closed));
        thread::spawn(move || {
            // Ends with an error when either side closes the connection.
            let _ = serve(stream, &is_silent);
            is_closed.store(true, Ordering::Relaxed);
        });
        link
    }

    fn fall_silent(&self) {
        self.is_silent.store(true, Ordering::Relaxed);
    }

    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Waits until the controller has closed the connection.
    fn wait_until_closed(&self) {
        let started = Instant::now();
        while !self.is_closed() {
            assert!(started.elapsed() < TIMEOUT, "it is not closed");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for FarLink {
    fn drop(&mut self) {
        // Fails if it is closed already.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn serve(mut stream: TcpStream, is_silent: &AtomicBool) -> std::io::Result<()> {
    let mut far = FarExchange::new(FarPlan { exchange: FAR, ..FarPlan::default() });
    let (started, mut out, mut buffer) = (Instant::now(), Vec::new(), [0; 4096]);
    far.link_up(&mut out);
    stream.set_read_timeout(Some(Duration::from_millis(10)))?;
    loop {
        if !is_silent.load(Ordering::Relaxed) {
            stream.write_all(&out)?;
        }
        out.clear();
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(count) => drop(far.on_octets(started.elapsed(), &buffer[..count], &mut out)),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
        far.on_timer(started.elapsed(), &mut out);
    }
}

/// A controller to which the far exchange connects.
fn start(name: &str) -> Controller {
    let signalling = json!({ "listen": "127.0.0.1:0", "links": [{ "to": FAR, "circuits": CIRCUITS }] });
    Controller::start_with(name, "127.0.0.1:1".parse().unwrap(), json!({ "signalling": signalling }))
}

fn wait_until_up(controller: &Controller) {
    controller.wait_until("the link is up", |status| {
        status["groups"][0]["link"] == "up" && status["groups"][0]["free"] == CIRCUITS
    });
}

/// A connection that claims to be the far exchange.
fn claim_link(controller: &Controller) -> FarLink {
    FarLink::open(controller)
}

// Guards against: whoever names an exchange in the first message takes the place of its working link, and its set-ups fail.
#[test]
fn a_link_that_works_is_not_replaced_by_a_connection_that_claims_to_be_its_exchange() {
    let controller = start("claim.json");
    let link = FarLink::open(&controller);
    wait_until_up(&controller);
    let calls = controller.ready["calls"].as_str().unwrap().parse().unwrap();
    let mut client = Client::connect(vec![calls], SessionConfig::named("test"), TIMEOUT).unwrap();
    let call = client.start(offer(FAR, 5_551_000, Duration::from_secs(5))).unwrap();
    assert!(matches!(client.outcome(call).unwrap(), CallOutcome::Stands { .. }));
    for _ in 0..3 {
        let claim = claim_link(&controller);
        claim.wait_until_closed();
        assert!(!link.is_closed());
    }
    let status = controller.status();
    assert_eq!((&status["groups"][0]["link"], &status["groups"][0]["standing"]), (&json!("up"), &json!(1)));
}

#[test]
fn a_link_that_is_silent_is_replaced_by_the_next_connection_of_its_exchange() {
    let controller = start("claim-silent.json");
    let link = FarLink::open(&controller);
    wait_until_up(&controller);
    link.fall_silent();
    let claim = claim_link(&controller);
    link.wait_until_closed();
    wait_until_up(&controller);
    assert!(!claim.is_closed());
}

#[test]
fn a_link_that_is_lost_is_replaced_at_once_by_a_connection_that_waits() {
    let controller = start("claim-lost.json");
    let link = FarLink::open(&controller);
    wait_until_up(&controller);
    link.fall_silent();
    let claim = claim_link(&controller);
    thread::sleep(Duration::from_millis(200));
    let lost_at = Instant::now();
    drop(link);
    wait_until_up(&controller);
    assert!(lost_at.elapsed() < Duration::from_millis(1500), "{:?}", lost_at.elapsed());
    assert!(!claim.is_closed());
}

// Guards against: memory taken up by what a connection sends that waits to become the link.
#[test]
fn a_connection_that_waits_may_not_send_without_end() {
    let controller = start("claim-flood.json");
    let link = FarLink::open(&controller);
    wait_until_up(&controller);
    link.fall_silent();
    let mut stream = TcpStream::connect(controller.ready["signalling"].as_str().unwrap()).unwrap();
    let mut frames = Vec::new();
    Frame::AspUp { asp: Some(FAR.into()) }.write(&mut frames);
    (0..100_000).for_each(|_| Frame::Heartbeat(b"flooding").write(&mut frames));
    // The controller closes the connection, or leaves the rest unread until it is the link.
    let _ = stream.set_write_timeout(Some(Duration::from_millis(300)));
    let _ = stream.write_all(&frames);
    let peak = peak_memory_kib(&controller.child);
    assert!(peak < 32 << 10, "{peak} KiB");
}
