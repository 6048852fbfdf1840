//! The core with a recording transport, in virtual time. All messages are checked against the rules as they are sent: one
//! final answer per call, one open seizure per call at a time, no set-up to an exchange after its drain grace, no further
//! set-up of a call within the release wait.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Arguments;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mintstall::interface::CallId;
use mintstall_platform::exchange_protocol::{self, MessageType, WireCallId, parameter};
use mintstall_platform::{BusConnectionId, CallerConnectionId, Config, Core, Disconnect, LinkId, Transport};
use mintstall_sip as sip;
use serde_json::json;

pub const START: Duration = Duration::from_secs(1_800_000_000);
pub const RELEASE_WAIT: Duration = Duration::from_millis(200);
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
pub const SDP: &[u8] = b"from the exchange";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn target(uid: &str, number: u16, state: &str, boot_ms: u64) -> serde_json::Value {
    json!({"uid": uid, "endpoint": format!("10.0.0.{number}:3868"), "az": "east", "model": "std",
        "pod_group": number, "state": state, "capacity_hint": 1, "boot_ms": boot_ms})
}

pub fn config_with(change: impl FnOnce(&mut serde_json::Value)) -> Result<Config, String> {
    let targets = [
        target("own", 0, "in_service", 0),
        target("one", 1, "in_service", 0),
        target("two", 2, "in_service", 0),
    ];
    let mut config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bus": "127.0.0.1:4222",
        "limits": {"cores": 0.3, "memory_mb": 32, "sockets": 256},
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"rev": 1, "all": true, "targets": targets}}]},
        "settings": {
            "lanes": [{"name": "voice", "aim_s": 0.8, "hard_limit_s": 3.0, "worth": 1.0}],
            "tenants": [{"name": "acme"}], "dcs": ["east"],
            "specifics": {"own_number": 0, "widths": [1], "call_length_s": [5.0], "clear_wait_s": 0.2},
            "limits": {"most_tries": 5, "cancelling": true, "retry_after": true, "max_retry_after_s": 2.0,
                "dial_timeout_s": 0.5, "probes": true},
            "report": {"fields": ["idle", "circuits"]},
            "rules": {"fall_multiple": 2.5, "cold_from": 0.3, "ramp_time_s": 15.0}
        }
    });
    change(&mut config);
    Config::parse(Path::new("config.json"), config.to_string().as_bytes()).map_err(|error| error.to_string())
}

pub fn config() -> Config {
    config_with(|_| ()).unwrap()
}

/// What is needed to check the rules, from the messages so far.
#[derive(Debug, Default)]
pub struct RuleChecker {
    pub final_answers: BTreeSet<(CallerConnectionId, String)>,
    pub open_set_ups: BTreeMap<WireCallId, LinkId>,
    pub given_up_at: BTreeMap<WireCallId, Duration>,
    pub draining_since: BTreeMap<SocketAddr, Duration>,
}

/// Records what the core does, as decoded messages.
#[derive(Debug, Default)]
pub struct RecordingTransport {
    pub now: Duration,
    pub caller_messages: Vec<(CallerConnectionId, String, Vec<u8>)>,
    /// Lengths of the messages to callers.
    pub caller_octets: Vec<usize>,
    pub closed_callers: Vec<CallerConnectionId>,
    pub connecting: Vec<(LinkId, SocketAddr)>,
    pub link_messages: Vec<(LinkId, MessageType, WireCallId, Option<u8>)>,
    pub closed_links: Vec<LinkId>,
    pub half_closed_links: Vec<LinkId>,
    pub addresses: BTreeMap<LinkId, SocketAddr>,
    pub bus_steps: Vec<String>,
    /// The connections to the event bus that are not closed, oldest first.
    pub bus_connections: Vec<BusConnectionId>,
    pub log_lines: Vec<String>,
    pub rules: RuleChecker,
    /// Whether nothing is read from callers and exchanges.
    pub reads_are_paused: bool,
    pub callers_with_pending_data: BTreeSet<CallerConnectionId>,
    /// Whether no link takes output, so that set-ups can be taken back.
    pub set_ups_stay_unwritten: bool,
    pub unwritten_set_ups: BTreeMap<(LinkId, u64), WireCallId>,
}

impl Transport for RecordingTransport {
    fn send_to_caller(&mut self, caller: CallerConnectionId, octets: &[u8]) {
        assert!(!self.closed_callers.contains(&caller), "sent on a closed connection");
        self.caller_octets.push(octets.len());
        let mut decoder = sip::Decoder::default();
        decoder.push(octets);
        while let Some(message) = decoder.next_message().unwrap() {
            let id = message.header("Call-ID").unwrap_or("-").to_string();
            let what = match message.start {
                sip::StartLine::Response { status } => {
                    format!("{status} {}", message.cseq().map_or("-", |cseq| cseq.1))
                }
                sip::StartLine::Request { method, .. } => {
                    format!("{method} {}", message.header("Reason").unwrap_or("-"))
                }
            };
            if what.ends_with(" INVITE") && !what.starts_with("400") {
                let first = self.rules.final_answers.insert((caller, id.clone()));
                assert!(first, "rule 1: a second answer for {id}: {what}");
            }
            self.caller_messages.push((caller, what, message.body.to_vec()));
        }
    }

    fn close_caller_after_flush(&mut self, caller: CallerConnectionId) {
        self.closed_callers.push(caller);
    }

    fn connect_link(&mut self, link: LinkId, to: SocketAddr) {
        self.connecting.push((link, to));
        self.addresses.insert(link, to);
    }

    fn send_to_link(&mut self, link: LinkId, octets: &[u8]) {
        let mut decoder = exchange_protocol::Decoder::default();
        decoder.push(octets);
        while let Some(message) = decoder.next_message().unwrap() {
            let (id, now) = (message.call, self.now);
            match message.kind {
                MessageType::SetUp => {
                    assert_eq!(
                        self.rules.open_set_ups.insert(id, link),
                        None,
                        "rule 2: two open seizures of {id}"
                    );
                    let given_up = self.rules.given_up_at.get(&id);
                    assert!(
                        given_up.is_none_or(|at| *at + RELEASE_WAIT <= now),
                        "rule 5: {id} sent again too soon"
                    );
                    let drained = self.rules.draining_since.get(&self.addresses[&link]);
                    assert!(
                        drained.is_none_or(|at| *at + DRAIN_GRACE >= now),
                        "rule 3: {id} sent to a draining exchange"
                    );
                }
                MessageType::Release if self.rules.open_set_ups.get(&id) == Some(&link) => {
                    self.rules.open_set_ups.remove(&id);
                    self.rules.given_up_at.insert(id, now);
                }
                _ => {}
            }
            self.link_messages.push((link, message.kind, id, message.cause));
        }
    }

    fn send_set_up(&mut self, link: LinkId, call: CallId, octets: &[u8]) {
        self.send_to_link(link, octets);
        if self.set_ups_stay_unwritten {
            let mut decoder = exchange_protocol::Decoder::default();
            decoder.push(octets);
            let id = decoder.next_message().unwrap().unwrap().call;
            self.unwritten_set_ups.insert((link, call.0), id);
        }
    }

    fn revoke_set_up(&mut self, link: LinkId, call: CallId) -> bool {
        let Some(id) = self.unwritten_set_ups.remove(&(link, call.0)) else { return false };
        self.link_messages
            .retain(|message| (message.0, message.1, message.2) != (link, MessageType::SetUp, id));
        self.rules.open_set_ups.remove(&id);
        true
    }

    fn is_write_blocked(&self, _link: LinkId) -> bool {
        false
    }

    fn is_caller_read_paused(&self, _caller: CallerConnectionId) -> bool {
        self.reads_are_paused
    }

    fn has_pending_data(&self, caller: CallerConnectionId) -> bool {
        self.callers_with_pending_data.contains(&caller)
    }

    fn is_link_read_paused(&self, _link: LinkId) -> bool {
        self.reads_are_paused
    }

    fn shutdown_link_write(&mut self, link: LinkId) {
        self.half_closed_links.push(link);
    }

    fn close_link(&mut self, link: LinkId) {
        self.rules.open_set_ups.retain(|_, sent_on| *sent_on != link);
        self.closed_links.push(link);
    }

    fn connect_bus(&mut self, connection: BusConnectionId, to: SocketAddr) {
        self.bus_connections.push(connection);
        self.bus_steps.push(format!("connect {to}"));
    }

    fn send_to_bus(&mut self, _connection: BusConnectionId, text: &str) {
        self.bus_steps.push(text.to_string());
    }

    fn close_bus(&mut self, connection: BusConnectionId) {
        self.close_bus_connection(connection);
        self.bus_steps.push("close".into());
    }

    fn log_info(&mut self, line: &str) {
        self.log_lines.push(line.to_string());
    }

    fn log_debug(&mut self, _step: Arguments) {}
}

impl RecordingTransport {
    pub fn close_bus_connection(&mut self, connection: BusConnectionId) {
        self.bus_connections.retain(|open| *open != connection);
    }
}

pub struct Platform {
    pub core: Core,
    pub transport: RecordingTransport,
}

impl Platform {
    /// The core before any of its connections has come up.
    pub fn without_links(config: &Config) -> Self {
        let mut transport = RecordingTransport { now: START, ..RecordingTransport::default() };
        let core = Core::new(config, START, &mut transport);
        Self { core, transport }
    }

    /// The core with all links up, each of which has reported 10 free circuits.
    pub fn start() -> Self {
        let mut platform = Self::without_links(&config());
        platform.connect_bus();
        platform.connect_links();
        platform
    }

    pub fn connect_links(&mut self) {
        while let Some((link, _)) = self.transport.connecting.pop() {
            self.core.link_connected(self.transport.now, &mut self.transport, link);
            self.report_free(link, 10);
        }
    }

    /// The links to the exchange with this number that are not closed, oldest first.
    pub fn links(&self, number: u16) -> Vec<LinkId> {
        let address: SocketAddr = format!("10.0.0.{number}:3868").parse().unwrap();
        let all = self
            .transport
            .addresses
            .iter()
            .filter(|(link, to)| **to == address && !self.transport.closed_links.contains(link));
        all.map(|(link, _)| *link).collect()
    }

    /// The network loses a link.
    pub fn lose_link(&mut self, link: LinkId) {
        self.core.link_disconnected(self.transport.now, &mut self.transport, link, Disconnect::Lost);
    }

    /// The network loses all links to the exchange with this number.
    pub fn lose_links(&mut self, number: u16) {
        self.links(number).into_iter().for_each(|link| self.lose_link(link));
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.transport.now + span;
        while let Some(due) = self.core.next_timer().filter(|due| *due <= end) {
            self.transport.now = due.max(self.transport.now);
            self.core.on_timer(self.transport.now, &mut self.transport);
        }
        self.transport.now = end;
    }

    pub fn send_from_caller(&mut self, caller: u64, text: &str) {
        self.core.caller_data(
            self.transport.now,
            &mut self.transport,
            CallerConnectionId(caller),
            text.as_bytes(),
        );
    }

    pub fn connect_caller(&mut self, caller: u64) {
        self.core.caller_connected(self.transport.now, CallerConnectionId(caller));
    }

    pub fn send_invite(&mut self, caller: u64, id: u64) {
        self.send_from_caller(caller, &invite(id, "dest:1;width:1;via:-1", "1500", "hello"));
    }

    pub fn send_on_link(&mut self, link: LinkId, kind: MessageType, id: u64, parameters: &[(u8, &[u8])]) {
        let mut octets = Vec::new();
        exchange_protocol::encode(&mut octets, kind, WireCallId(id), parameters);
        if matches!(kind, MessageType::Release | MessageType::Answer)
            && self.transport.rules.open_set_ups.get(&WireCallId(id)) == Some(&link)
        {
            self.transport.rules.open_set_ups.remove(&WireCallId(id));
        }
        self.core.link_data(self.transport.now, &mut self.transport, link, &octets);
    }

    pub fn report_free(&mut self, link: LinkId, free: u32) {
        let text = format!("idle:{free};circuits:20");
        self.send_on_link(link, MessageType::State, 0, &[(parameter::REPORT, text.as_bytes())]);
    }

    pub fn answer(&mut self, link: LinkId, id: u64) {
        self.send_on_link(link, MessageType::Answer, id, &[(parameter::DESCRIPTION, SDP)]);
    }

    pub fn release(&mut self, link: LinkId, id: u64, cause: u8) {
        self.send_on_link(link, MessageType::Release, id, &[(parameter::CAUSE, &[cause])]);
    }

    /// The set-ups sent since the last call; other messages to links are dropped.
    pub fn set_ups_sent(&mut self) -> Vec<(LinkId, u64)> {
        let messages = std::mem::take(&mut self.transport.link_messages);
        messages
            .into_iter()
            .filter(|message| message.1 == MessageType::SetUp)
            .map(|(link, _, id, _)| (link, id.0))
            .collect()
    }

    /// Sets up a call until it stands and returns its link.
    pub fn set_up_call(&mut self, caller: u64, id: u64) -> LinkId {
        self.send_invite(caller, id);
        let set_ups = self.set_ups_sent();
        let [(link, sent_id)] = set_ups[..] else { panic!("expected one set-up, not {set_ups:?}") };
        assert_eq!(sent_id, id);
        self.answer(link, id);
        assert_eq!(self.messages_to_callers(), [format!("{caller}: 200 INVITE")]);
        link
    }

    /// The messages sent to callers since the last call.
    pub fn messages_to_callers(&mut self) -> Vec<String> {
        std::mem::take(&mut self.transport.caller_messages)
            .into_iter()
            .map(|(caller, what, _)| format!("{}: {what}", caller.0))
            .collect()
    }

    pub fn bus_event(&mut self, offset: u64, all: bool, targets: &[serde_json::Value]) {
        let event = json!({"offset": offset, "topology": {"rev": offset, "all": all, "targets": targets}});
        self.bus_line(&format!("{event}\n"));
    }

    pub fn bus_line(&mut self, line: &str) {
        let connection = self.newest_bus_connection();
        self.core.bus_data(self.transport.now, &mut self.transport, connection, line.as_bytes());
    }

    pub fn newest_bus_connection(&self) -> BusConnectionId {
        *self.transport.bus_connections.last().expect("no connection to the event bus is open")
    }

    /// The bus accepts the newest connection.
    pub fn connect_bus(&mut self) {
        let connection = self.newest_bus_connection();
        self.core.bus_connected(self.transport.now, &mut self.transport, connection);
    }
}

pub fn invite(id: u64, info: &str, expires: &str, body: &str) -> String {
    format!(
        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id:016x}\r\nCSeq: 1 INVITE\r\n\
         Priority-Class: voice\r\nExpires-Ms: {expires}\r\nP-Customer: acme\r\nP-Trunk-Info: {info}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn request(method: &str, id: u64) -> String {
    format!(
        "{method} sip:peer@net SIP/2.0\r\nCall-ID: {id:016x}\r\nCSeq: 1 {method}\r\nContent-Length: 0\r\n\r\n"
    )
}
