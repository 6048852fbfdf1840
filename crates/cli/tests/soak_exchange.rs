//! The emulated exchange of the soak, as a process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use mintstall_platform::exchange_protocol::{Decoder, MessageType, WireCallId, encode, parameter};
use mintstall_soak::address::allocate;
use mintstall_soak::exchange::{AnswerFaults, ExchangeConfig};

const CALL: WireCallId = WireCallId(7);
const ANSWER_MS: u64 = 80;
const HOLD_MS: u64 = 100;

struct Exchange {
    child: Child,
    link: TcpStream,
    decoder: Decoder,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Exchange {
    fn start() -> Self {
        let listen = allocate();
        let config = ExchangeConfig {
            uid: "s-0-0".into(),
            listen: vec![listen],
            seed: 1,
            circuits: 10,
            answer_ms: (ANSWER_MS, ANSWER_MS),
            hold_ms: (HOLD_MS, HOLD_MS),
            faults: AnswerFaults::default(),
            bursts: None,
        };
        let mut child = Command::new(env!("CARGO_BIN_EXE_mintstall-soak"))
            .args(["exchange", &serde_json::to_string(&config).unwrap()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        output.read_line(&mut String::new()).unwrap();
        // The records are read so that the process can go on writing them.
        std::thread::spawn(move || output.lines().for_each(drop));
        let link = TcpStream::connect(listen).unwrap();
        link.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        Self { child, link, decoder: Decoder::default() }
    }

    fn send(&mut self, kind: MessageType, parameters: &[(u8, &[u8])]) {
        let mut octets = Vec::new();
        encode(&mut octets, kind, CALL, parameters);
        self.link.write_all(&octets).unwrap();
    }

    /// Reads until a message of this kind, and returns when it came.
    fn wait_for(&mut self, kind: MessageType) -> Instant {
        let mut buffer = [0; 1024];
        loop {
            while let Some(message) = self.decoder.next_message().unwrap() {
                if message.kind == kind {
                    return Instant::now();
                }
            }
            let count = self.link.read(&mut buffer).unwrap();
            assert!(count > 0, "closed before {kind:?}");
            self.decoder.push(&buffer[..count]);
        }
    }
}

// Guards against: the end of a released attempt's holding time ending the next attempt of the call, so that this one
// seemed to stay open while the controller sent the call again.
#[test]
fn a_released_attempt_does_not_end_the_next_one_of_its_call() {
    let mut exchange = Exchange::start();
    exchange.send(MessageType::SetUp, &[]);
    exchange.wait_for(MessageType::Answer);
    exchange.send(MessageType::Release, &[(parameter::CAUSE, &[16])]);
    exchange.wait_for(MessageType::ReleaseComplete);
    exchange.send(MessageType::SetUp, &[]);
    let answered = exchange.wait_for(MessageType::Answer);
    let held = exchange.wait_for(MessageType::Release) - answered;
    assert!(held > Duration::from_millis(HOLD_MS / 2), "the second attempt was held for {held:?}");
}
