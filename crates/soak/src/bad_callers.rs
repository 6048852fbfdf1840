//! Callers that break the protocol: the controller must answer each with a refusal, an error or a close within 3 s of
//! connecting.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::controller::{ControllerProcess, Phase};
use crate::record::{Event, Recorder, now};

/// Time from connecting within which the controller must answer or close the connection.
const REACTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Connections that [`BadRequest::Crowd`] opens and leaves silent.
const SILENT_CONNECTIONS: usize = 20;

/// The variant names are written to the records.
#[derive(Clone, Copy, Debug)]
enum BadRequest {
    Noise,
    NegativeLength,
    HugeBody,
    EndlessHeaders,
    UnknownClass,
    NoId,
    HalfARequest,
    UnknownCall,
    /// No octets, on this connection and on many others.
    Crowd,
}

const BAD_REQUESTS: [BadRequest; 9] = [
    BadRequest::Noise,
    BadRequest::NegativeLength,
    BadRequest::HugeBody,
    BadRequest::EndlessHeaders,
    BadRequest::UnknownClass,
    BadRequest::NoId,
    BadRequest::HalfARequest,
    BadRequest::UnknownCall,
    BadRequest::Crowd,
];

/// Sends bad requests to one controller until the run ends.
pub fn run(controller: &ControllerProcess, recorder: &Recorder, stopped: &Arc<AtomicBool>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !stopped.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(50..500)));
        let start_count = controller.start_count();
        if controller.phase() != Phase::Ready {
            continue;
        }
        let bad_request = BAD_REQUESTS[rng.random_range(0..BAD_REQUESTS.len())];
        let opened = now();
        let Ok(stream) = controller.connect() else { continue };
        let settled = send_bad_request(controller, stream, bad_request, &mut rng);
        // A controller that was shut down in the meantime need not have reacted.
        if controller.phase() == Phase::Ready
            && controller.start_count() == start_count
            && !stopped.load(Ordering::Relaxed)
        {
            let what = format!("{bad_request:?}");
            recorder.add(Event::BadCaller { what, controller: controller.index, opened, settled });
        }
    }
}

/// Returns whether the controller reacted in time.
fn send_bad_request(
    controller: &ControllerProcess,
    mut stream: TcpStream,
    bad_request: BadRequest,
    rng: &mut Pcg64Mcg,
) -> bool {
    let opened = Instant::now();
    let id = format!("{:016x}", rng.random::<u64>());
    let partial_head =
        format!("INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: {id}\r\nCSeq: 1 INVITE\r\n");
    let invite = |class: &str, call_id_header: &str, length: &str| {
        format!(
            "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\n{call_id_header}CSeq: 1 INVITE\r\nPriority-Class: {class}\r\n\
             Expires-Ms: 1500\r\nP-Trunk-Info: dest:1;width:1;via:-1\r\nContent-Length: {length}\r\n\r\nhello"
        )
    };
    let call_id_header = format!("Call-ID: {id}\r\n");
    let text = match bad_request {
        BadRequest::Noise => (0..200).map(|_| rng.random_range('!'..'~')).chain("\r\n\r\n".chars()).collect(),
        BadRequest::NegativeLength => invite("voice", &call_id_header, "-5"),
        BadRequest::HugeBody => invite("voice", &call_id_header, "60000000"),
        BadRequest::EndlessHeaders => partial_head + &"X-More: of the same\r\n".repeat(5000),
        BadRequest::UnknownClass => invite("telepathy", &call_id_header, "5"),
        BadRequest::NoId => invite("voice", "", "5"),
        BadRequest::HalfARequest => partial_head,
        BadRequest::UnknownCall => {
            format!("CANCEL sip:x@net SIP/2.0\r\n{call_id_header}CSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n")
        }
        BadRequest::Crowd => String::new(),
    };
    let silent_connections: Vec<_> = match bad_request {
        BadRequest::Crowd => (0..SILENT_CONNECTIONS).filter_map(|_| controller.connect().ok()).collect(),
        _ => Vec::new(),
    };
    // A write error is ignored: the controller may close the connection before it has read the whole text.
    let _ = stream.write_all(text.as_bytes());
    let reacted = wait_for_reaction(&mut stream, opened);
    drop(silent_connections);
    reacted
}

/// Whether the controller sends something or closes the connection within [`REACTION_TIMEOUT`] of `opened`.
fn wait_for_reaction(stream: &mut TcpStream, opened: Instant) -> bool {
    let mut buffer = [0; 1024];
    while opened.elapsed() < REACTION_TIMEOUT {
        match stream.read(&mut buffer) {
            Ok(_) => return true,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return true,
        }
    }
    false
}
