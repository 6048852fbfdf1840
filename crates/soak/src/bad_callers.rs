//! Callers that break the protocol: each is owed a refusal, an error or a close within 3 s of connecting.

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

/// A bad caller is settled within this time of connecting.
const SETTLED_WITHIN: Duration = Duration::from_secs(3);
/// Connections that one crowd of silent callers opens.
const SILENT_CROWD: usize = 20;

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

/// Sends bad requests to one controller until the run is over.
pub fn run(controller: &ControllerProcess, recorder: &Recorder, over: &Arc<AtomicBool>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(50..500)));
        let starts = controller.start_count();
        if controller.phase() != Phase::Ready {
            continue;
        }
        let bad_request = BAD_REQUESTS[rng.random_range(0..BAD_REQUESTS.len())];
        let opened = now();
        let Ok(stream) = controller.connect() else { continue };
        let settled = attempt(controller, stream, bad_request, &mut rng);
        // A controller that was shut down meanwhile owed nothing more to this one.
        if controller.phase() == Phase::Ready
            && controller.start_count() == starts
            && !over.load(Ordering::Relaxed)
        {
            let what = format!("{bad_request:?}");
            recorder.add(Event::BadCaller { what, controller: controller.index, opened, settled });
        }
    }
}

fn attempt(
    controller: &ControllerProcess,
    mut stream: TcpStream,
    bad_request: BadRequest,
    rng: &mut Pcg64Mcg,
) -> bool {
    let opened = Instant::now();
    let id = format!("{:016x}", rng.random::<u64>());
    let head = format!("INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: {id}\r\nCSeq: 1 INVITE\r\n");
    let full = |class: &str, call: &str, length: &str| {
        format!(
            "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\n{call}CSeq: 1 INVITE\r\nPriority-Class: {class}\r\n\
             Expires-Ms: 1500\r\nP-Trunk-Info: dest:1;width:1;via:-1\r\nContent-Length: {length}\r\n\r\nhello"
        )
    };
    let call = format!("Call-ID: {id}\r\n");
    let text = match bad_request {
        BadRequest::Noise => (0..200).map(|_| rng.random_range('!'..'~')).chain("\r\n\r\n".chars()).collect(),
        BadRequest::NegativeLength => full("voice", &call, "-5"),
        BadRequest::HugeBody => full("voice", &call, "60000000"),
        BadRequest::EndlessHeaders => head + &"X-More: of the same\r\n".repeat(5000),
        BadRequest::UnknownClass => full("telepathy", &call, "5"),
        BadRequest::NoId => full("voice", "", "5"),
        BadRequest::HalfARequest => head,
        BadRequest::UnknownCall => {
            format!("CANCEL sip:x@net SIP/2.0\r\n{call}CSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n")
        }
        BadRequest::Crowd => String::new(),
    };
    let crowd: Vec<_> = match bad_request {
        BadRequest::Crowd => (0..SILENT_CROWD).filter_map(|_| controller.connect().ok()).collect(),
        _ => Vec::new(),
    };
    // A close while it still writes settles it as well.
    let _ = stream.write_all(text.as_bytes());
    let settled = hears_something(&mut stream, opened);
    drop(crowd);
    settled
}

/// Whether a message or a close has come in time.
fn hears_something(stream: &mut TcpStream, opened: Instant) -> bool {
    let mut buffer = [0; 1024];
    while opened.elapsed() < SETTLED_WITHIN {
        match stream.read(&mut buffer) {
            Ok(_) => return true,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return true,
        }
    }
    false
}
