//! A controller of exchange 1 with one link, to an emulated exchange 2.

use mintstall::interface::ExchangeNumber;
use mintstall_daemon::Config;
use mintstall_daemon::config::LimitsConfig;
use mintstall_isup::{Body, Cic, Deframer, Frame, Message, ProtocolData, RangeStatus};
use mintstall_membership::DirectoryNotification;
use serde_json::json;

pub const FAR_NUMBER: ExchangeNumber = ExchangeNumber(2);

pub fn config(limits: LimitsConfig) -> Config {
    let config: Config = serde_json::from_value(json!({
        "exchange": 1,
        "signalling": { "listen": "127.0.0.1:1", "links": [{ "to": 2, "circuits": 310 }] },
        "call_types": [{ "name": "call", "setup_target_ms": 2000, "guard_time_ms": 9000, "revenue": 1,
                         "mean_hold_ms": 10000 }],
    }))
    .unwrap();
    let config = Config { limits, ..config };
    assert_eq!(config.validation_errors(), Vec::<String>::new());
    config
}

/// Membership with both exchanges ready.
pub fn membership() -> DirectoryNotification {
    let entry = |exchange_number: u16| json!({ "exchange": exchange_number, "office": exchange_number, "region": 0, "standing": "ready" });
    let update = json!({ "version": 1, "entries": [entry(1), entry(2)] });
    DirectoryNotification::Membership(serde_json::from_value(update).unwrap())
}

/// The far exchange. It acknowledges resets and releases at once, and keeps set-ups until the test answers them.
#[derive(Default)]
pub struct FarExchange {
    /// Circuits of unanswered set-ups, oldest first.
    pub set_ups: Vec<Cic>,
}

impl FarExchange {
    /// Reads one message and returns the response, which may be empty.
    pub fn respond_to(&mut self, octets: &[u8]) -> Vec<u8> {
        let mut frames = Deframer::default();
        frames.push(octets);
        let frame = frames.next().unwrap().unwrap().to_vec();
        let mut out = Vec::new();
        match Frame::read(&frame).unwrap() {
            Frame::AspUp { .. } => {
                Frame::AspUpAck { asp: Some(2) }.write(&mut out);
                Frame::AspUp { asp: Some(2) }.write(&mut out);
                Frame::AspActive.write(&mut out);
            }
            Frame::AspActive => Frame::AspActiveAck.write(&mut out),
            Frame::Data(data) => {
                let Message { cic, body } = Message::read(data.user).unwrap();
                let response = match body {
                    Body::Iam(_) => {
                        self.set_ups.push(cic);
                        None
                    }
                    Body::Grs { count } => Some(Body::Gra(RangeStatus { count, status: 0 })),
                    Body::Rel(_) => {
                        self.set_ups.retain(|other| *other != cic);
                        Some(Body::Rlc { unknown_parameters: Vec::new() })
                    }
                    _ => None,
                };
                response.into_iter().for_each(|body| write_message(cic, body, &mut out));
            }
            _ => {}
        }
        out
    }

    /// Returns the answer to an unanswered set-up.
    pub fn answer_set_up(&mut self, index: usize) -> Vec<u8> {
        let cic = self.set_ups.remove(index);
        let mut out = Vec::new();
        write_message(cic, Body::Anm { report: None, unknown_parameters: Vec::new() }, &mut out);
        out
    }
}

pub fn write_message(cic: Cic, body: Body, out: &mut Vec<u8>) {
    let mut user = Vec::new();
    Message::new(cic, body).write(&mut user);
    Frame::Data(ProtocolData { opc: 2, dpc: 1, service: 5, network: 2, priority: 0, sls: 0, user: &user })
        .write(out);
}
