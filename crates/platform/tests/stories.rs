//! Stories of the core on a fake platform, in virtual time. Whatever crosses the wire is judged by the rules as it goes:
//! one final answer a call, one seizure out at a time, nothing new after a drain's grace or within the release time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Arguments;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mintstall_platform::exchange_protocol::{self, MessageType, WireCallId, parameter};
use mintstall_platform::{CallerConnectionId, Config, Core, Disconnect, LinkId, Transport};
use mintstall_sip as sip;
use serde_json::json;

const START: Duration = Duration::from_secs(1_800_000_000);
const RELEASE_WAIT: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_secs(2);
const SDP: &[u8] = b"from the exchange";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(uid: &str, office: u16, state: &str, boot_ms: u64) -> serde_json::Value {
    json!({"uid": uid, "endpoint": format!("10.0.0.{office}:3868"), "az": "east", "model": "std",
        "pod_group": office, "state": state, "capacity_hint": 1, "boot_ms": boot_ms})
}

fn config_with(change: impl FnOnce(&mut serde_json::Value)) -> Result<Config, String> {
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

fn config() -> Config {
    config_with(|_| ()).unwrap()
}

#[derive(Debug, Default)]
struct Judge {
    final_answers: BTreeSet<(CallerConnectionId, String)>,
    out: BTreeMap<WireCallId, LinkId>,
    given_up: BTreeMap<WireCallId, Duration>,
    drained: BTreeMap<SocketAddr, Duration>,
}

/// What the core did, as messages.
#[derive(Debug, Default)]
struct Wires {
    now: Duration,
    said: Vec<(CallerConnectionId, String, Vec<u8>)>,
    hung_up: Vec<CallerConnectionId>,
    dialled: Vec<(LinkId, SocketAddr)>,
    sent: Vec<(LinkId, MessageType, WireCallId, Option<u8>)>,
    cut: Vec<LinkId>,
    finished: Vec<LinkId>,
    at: BTreeMap<LinkId, SocketAddr>,
    bus: Vec<String>,
    notes: Vec<String>,
    judge: Judge,
}

impl Transport for Wires {
    fn send_to_caller(&mut self, caller: CallerConnectionId, octets: &[u8]) {
        assert!(!self.hung_up.contains(&caller), "said to one that was hung up on");
        let mut decoder = sip::Decoder::default();
        decoder.push(octets);
        while let Some(message) = decoder.next_message().unwrap() {
            let id = message.header("Call-ID").unwrap_or("-").to_string();
            let what = match message.start {
                sip::StartLine::Response { status } => {
                    format!("{status} {}", message.cseq().map_or("-", |of| of.1))
                }
                sip::StartLine::Request { method, .. } => {
                    format!("{method} {}", message.header("Reason").unwrap_or("-"))
                }
            };
            if what.ends_with(" INVITE") && !what.starts_with("400") {
                let first = self.judge.final_answers.insert((caller, id.clone()));
                assert!(first, "rule 1: a second answer for {id}: {what}");
            }
            self.said.push((caller, what, message.body.to_vec()));
        }
    }

    fn close_caller_after_flush(&mut self, caller: CallerConnectionId) {
        self.hung_up.push(caller);
    }

    fn connect_link(&mut self, link: LinkId, to: SocketAddr) {
        self.dialled.push((link, to));
        self.at.insert(link, to);
    }

    fn send_to_link(&mut self, link: LinkId, octets: &[u8]) {
        let mut decoder = exchange_protocol::Decoder::default();
        decoder.push(octets);
        while let Some(message) = decoder.next_message().unwrap() {
            let (id, now) = (message.call, self.now);
            match message.kind {
                MessageType::SetUp => {
                    assert_eq!(self.judge.out.insert(id, link), None, "rule 2: two seizures of {id} out");
                    let given_up = self.judge.given_up.get(&id);
                    assert!(
                        given_up.is_none_or(|at| *at + RELEASE_WAIT <= now),
                        "rule 5: {id} sent again too soon"
                    );
                    let drained = self.judge.drained.get(&self.at[&link]);
                    assert!(
                        drained.is_none_or(|at| *at + GRACE >= now),
                        "rule 3: {id} sent to one that drains"
                    );
                }
                MessageType::Release if self.judge.out.get(&id) == Some(&link) => {
                    self.judge.out.remove(&id);
                    self.judge.given_up.insert(id, now);
                }
                _ => {}
            }
            self.sent.push((link, message.kind, id, message.cause));
        }
    }

    fn is_write_blocked(&self, _link: LinkId) -> bool {
        false
    }

    fn shutdown_link_write(&mut self, link: LinkId) {
        self.finished.push(link);
    }

    fn close_link(&mut self, link: LinkId) {
        self.judge.out.retain(|_, on| *on != link);
        self.cut.push(link);
    }

    fn connect_bus(&mut self, to: SocketAddr) {
        self.bus.push(format!("dial {to}"));
    }

    fn send_to_bus(&mut self, text: &str) {
        self.bus.push(text.to_string());
    }

    fn close_bus(&mut self) {
        self.bus.push("cut".into());
    }

    fn log_info(&mut self, line: &str) {
        self.notes.push(line.to_string());
    }

    fn log_debug(&mut self, _step: Arguments) {}
}

struct Platform {
    core: Core,
    wires: Wires,
}

impl Platform {
    /// Nothing has come up yet.
    fn unconnected(config: &Config) -> Self {
        let mut wires = Wires { now: START, ..Wires::default() };
        let core = Core::new(config, START, &mut wires);
        Self { core, wires }
    }

    /// All exchanges reached, each with one link that told 10 free circuits.
    fn start() -> Self {
        let mut platform = Self::unconnected(&config());
        platform.core.bus_connected(START, &mut platform.wires);
        platform.links_up();
        platform
    }

    fn links_up(&mut self) {
        while let Some((link, _)) = self.wires.dialled.pop() {
            self.core.link_connected(self.wires.now, &mut self.wires, link);
            self.state(link, 10);
        }
    }

    /// The links to an office that are up, oldest first.
    fn links(&self, office: u16) -> Vec<LinkId> {
        let at: SocketAddr = format!("10.0.0.{office}:3868").parse().unwrap();
        let all = self.wires.at.iter().filter(|(link, to)| **to == at && !self.wires.cut.contains(link));
        all.map(|(link, _)| *link).collect()
    }

    fn pass(&mut self, span: Duration) {
        let until = self.wires.now + span;
        while let Some(due) = self.core.next_timer().filter(|due| *due <= until) {
            self.wires.now = due.max(self.wires.now);
            self.core.on_timer(self.wires.now, &mut self.wires);
        }
        self.wires.now = until;
    }

    fn says(&mut self, caller: u64, text: &str) {
        self.core.caller_data(self.wires.now, &mut self.wires, CallerConnectionId(caller), text.as_bytes());
    }

    fn comes(&mut self, caller: u64) {
        self.core.caller_connected(self.wires.now, CallerConnectionId(caller));
    }

    fn calls(&mut self, caller: u64, id: u64) {
        self.says(caller, &invite(id, "dest:1;width:1;via:-1", "1500", "hello"));
    }

    fn link_says(&mut self, link: LinkId, kind: MessageType, id: u64, parameters: &[(u8, &[u8])]) {
        let mut octets = Vec::new();
        exchange_protocol::encode(&mut octets, kind, WireCallId(id), parameters);
        if matches!(kind, MessageType::Release | MessageType::Answer)
            && self.wires.judge.out.get(&WireCallId(id)) == Some(&link)
        {
            self.wires.judge.out.remove(&WireCallId(id));
        }
        self.core.link_data(self.wires.now, &mut self.wires, link, &octets);
    }

    fn state(&mut self, link: LinkId, free: u32) {
        let text = format!("idle:{free};circuits:20");
        self.link_says(link, MessageType::State, 0, &[(parameter::REPORT, text.as_bytes())]);
    }

    fn answers(&mut self, link: LinkId, id: u64) {
        self.link_says(link, MessageType::Answer, id, &[(parameter::DESCRIPTION, SDP)]);
    }

    fn releases(&mut self, link: LinkId, id: u64, cause: u8) {
        self.link_says(link, MessageType::Release, id, &[(parameter::CAUSE, &[cause])]);
    }

    /// The set-ups sent since last asked.
    fn set_ups(&mut self) -> Vec<(LinkId, u64)> {
        let sent = std::mem::take(&mut self.wires.sent);
        sent.into_iter()
            .filter(|sent| sent.1 == MessageType::SetUp)
            .map(|(link, _, id, _)| (link, id.0))
            .collect()
    }

    /// A call that is set up over one link, which is given.
    fn stands(&mut self, caller: u64, id: u64) -> LinkId {
        self.calls(caller, id);
        let set_ups = self.set_ups();
        let [(link, sent)] = set_ups[..] else { panic!("one set-up, not {set_ups:?}") };
        assert_eq!(sent, id);
        self.answers(link, id);
        assert_eq!(self.said(), [format!("{caller}: 200 INVITE")]);
        link
    }

    /// What callers were told since last asked.
    fn said(&mut self) -> Vec<String> {
        std::mem::take(&mut self.wires.said)
            .into_iter()
            .map(|(caller, what, _)| format!("{}: {what}", caller.0))
            .collect()
    }

    fn bus(&mut self, offset: u64, all: bool, targets: &[serde_json::Value]) {
        let event = json!({"offset": offset, "topology": {"rev": offset, "all": all, "targets": targets}});
        self.bus_line(&format!("{event}\n"));
    }

    fn bus_line(&mut self, line: &str) {
        self.core.bus_data(self.wires.now, &mut self.wires, line.as_bytes());
    }
}

fn invite(id: u64, info: &str, expires: &str, body: &str) -> String {
    format!(
        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id:016x}\r\nCSeq: 1 INVITE\r\n\
         Priority-Class: voice\r\nExpires-Ms: {expires}\r\nP-Customer: acme\r\nP-Trunk-Info: {info}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn request(method: &str, id: u64) -> String {
    format!(
        "{method} sip:peer@net SIP/2.0\r\nCall-ID: {id:016x}\r\nCSeq: 1 {method}\r\nContent-Length: 0\r\n\r\n"
    )
}

#[test]
fn a_call_is_set_up_answered_with_the_exchanges_description_and_released_by_it() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.calls(1, 7);
    let [(link, 7)] = platform.set_ups()[..] else { panic!("one set-up") };
    platform.pass(ms(40));
    platform.answers(link, 7);
    assert_eq!(platform.wires.said[0].2, SDP, "unchanged");
    assert_eq!(platform.said(), ["1: 200 INVITE"]);
    platform.says(1, &request("ACK", 7));
    platform.answers(link, 7);
    platform.answers(link, 99);
    assert!(platform.said().is_empty(), "second copies and unknown ids change nothing");
    let other = platform.links(1).into_iter().find(|other| *other != link).unwrap();
    platform.releases(other, 7, 16);
    platform.releases(link, 7, 16);
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=16"], "once, whatever link it came on");
}

#[test]
fn a_caller_releases_on_any_connection_and_one_that_has_gone_is_told_on_the_next() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.stands(1, 7);
    platform.comes(2);
    platform.says(2, &request("BYE", 7));
    assert_eq!(platform.said(), ["2: 200 BYE"]);
    assert!(
        platform
            .wires
            .sent
            .iter()
            .any(|sent| (sent.1, sent.2.0, sent.3) == (MessageType::Release, 7, Some(16)))
    );
    let link = platform.stands(1, 8);
    platform.core.caller_disconnected(platform.wires.now, &mut platform.wires, CallerConnectionId(1));
    platform.core.caller_disconnected(platform.wires.now, &mut platform.wires, CallerConnectionId(2));
    platform.releases(link, 8, 41);
    assert!(platform.said().is_empty());
    platform.comes(3);
    platform.says(3, &request("OPTIONS", 0));
    assert_eq!(platform.said(), ["3: BYE Q.850;cause=41", "3: 200 OPTIONS"]);
    platform.core.caller_disconnected(platform.wires.now, &mut platform.wires, CallerConnectionId(3));
    platform.comes(4);
    platform.says(4, &request("OPTIONS", 0));
    assert_eq!(platform.said(), ["4: BYE Q.850;cause=41", "4: 200 OPTIONS"], "a close crossed the first");
    platform
        .says(4, "SIP/2.0 200 OK\r\nCall-ID: 0000000000000008\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n");
    platform.core.caller_disconnected(platform.wires.now, &mut platform.wires, CallerConnectionId(4));
    platform.comes(5);
    platform.says(5, &request("OPTIONS", 0));
    assert_eq!(platform.said(), ["5: 200 OPTIONS"], "heard");
}

#[test]
fn a_rejected_call_is_answered_at_once_and_told_when_to_come_back() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.says(1, &invite(7, "dest:9;width:1;via:-1", "1500", "hello"));
    let (_, what, _) = platform.wires.said[0].clone();
    assert_eq!((what.as_str(), platform.wires.said.len()), ("503 INVITE", 1), "no exchange is there");
}

#[test]
fn a_time_out_is_released_and_sent_again_on_another_link_after_the_release_time() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.calls(1, 7);
    let [(link, 7)] = platform.set_ups()[..] else { panic!("one set-up") };
    platform.pass(ms(820));
    assert!(
        platform
            .wires
            .sent
            .iter()
            .any(|sent| (sent.0, sent.1, sent.3) == (link, MessageType::Release, Some(16)))
    );
    platform.pass(ms(320));
    let set_ups = platform.set_ups();
    let [(next, 7)] = set_ups[..] else { panic!("one further set-up, not {set_ups:?}") };
    assert_ne!(next, link);
    platform.answers(link, 7);
    assert!(platform.said().is_empty(), "a late answer for the first is not for the second");
    platform.answers(next, 7);
    assert_eq!(platform.said(), ["1: 200 INVITE"]);
}

#[test]
fn a_silent_link_gets_no_more_set_ups_but_is_read_on_for_a_release() {
    let mut platform = Platform::start();
    platform.comes(1);
    let silent = platform.stands(1, 6);
    platform.pass(ms(10));
    platform.calls(1, 7);
    assert_eq!(platform.set_ups(), [(silent, 7)], "the one with fewest out");
    platform.pass(ms(810));
    assert!(!platform.wires.cut.contains(&silent));
    platform.links_up();
    (10..18).for_each(|id| platform.calls(1, id));
    assert!(platform.set_ups().iter().all(|(link, _)| *link != silent));
    platform.said();
    platform.releases(silent, 6, 16);
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=16"]);
    // It speaks again; the close of our side lets a release that is on its way arrive.
    platform.says(1, &invite(20, "at:one", "1500", "hello"));
    let other = platform.links(1).into_iter().find(|other| *other != silent).unwrap();
    for _ in 0..4 {
        platform.pass(ms(1000));
        platform.state(other, 10);
    }
    platform.pass(ms(400));
    assert_eq!(platform.wires.finished.first(), Some(&silent), "and then closed, but read to its end");
    assert!(!platform.wires.cut.contains(&silent));
    platform.said();
    platform.releases(silent, 20, 16);
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=16"]);
    platform.pass(ms(2000));
    assert!(platform.wires.cut.contains(&silent));
}

#[test]
fn no_answer_at_all_is_a_final_answer_before_the_callers_time() {
    let mut platform = Platform::start();
    platform.comes(1);
    (1..=20).for_each(|id| platform.calls(1, id));
    platform.pass(ms(1500));
    assert_eq!(platform.said().len(), 20, "one each, the judge saw to it");
    platform.pass(ms(5000));
    assert!(platform.said().is_empty());
}

#[test]
fn a_cancelled_call_is_given_up_and_one_whose_caller_hangs_up_too() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.calls(1, 7);
    let [(link, 7)] = platform.set_ups()[..] else { panic!("one set-up") };
    platform.comes(2);
    platform.says(2, &request("CANCEL", 7));
    assert_eq!(platform.said(), ["2: 481 CANCEL"], "not that connection's call");
    platform.says(1, &request("CANCEL", 7));
    assert_eq!(platform.said(), ["1: 200 CANCEL", "1: 487 INVITE"]);
    platform.answers(link, 7);
    assert!(platform.said().is_empty(), "an answer that crossed it");
    assert!(platform.wires.sent.iter().any(|sent| (sent.1, sent.2.0) == (MessageType::Release, 7)));
    platform.pass(ms(2000));
    assert!(platform.said().is_empty(), "nothing after its answer");
    platform.calls(1, 8);
    platform.set_ups();
    platform.core.caller_disconnected(platform.wires.now, &mut platform.wires, CallerConnectionId(1));
    assert!(platform.wires.sent.iter().any(|sent| (sent.1, sent.2.0) == (MessageType::Release, 8)));
}

#[test]
fn what_cant_be_read_costs_the_link_and_its_set_ups_but_no_standing_call() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.stands(1, 6);
    (10..13).for_each(|id| platform.calls(1, id));
    let set_ups = platform.set_ups();
    let (link, id) = set_ups[0];
    let mut answer = Vec::new();
    exchange_protocol::encode(
        &mut answer,
        MessageType::Answer,
        WireCallId(id),
        &[(parameter::DESCRIPTION, SDP)],
    );
    answer[0] = 0xff;
    platform.core.link_data(platform.wires.now, &mut platform.wires, link, &answer);
    assert!(platform.wires.cut.contains(&link));
    assert!(platform.said().is_empty(), "nothing spoilt is passed on");
    platform.links_up();
    platform.pass(ms(320));
    let again = platform.set_ups();
    assert!(
        again.iter().any(|(on, of)| *of == id && *on != link),
        "sent again after the release time: {again:?}"
    );
    let (other, of) = set_ups[1];
    platform.answers(other, of);
    assert_eq!(platform.said(), ["1: 200 INVITE"], "other links' calls go on");
    platform.releases(other, 6, 16);
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=16"]);
}

#[test]
fn half_an_answer_is_waited_for_but_not_for_long() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.calls(1, 7);
    let [(link, 7)] = platform.set_ups()[..] else { panic!("one set-up") };
    platform.core.link_data(platform.wires.now, &mut platform.wires, link, &[0, 200, 9]);
    platform.pass(ms(500));
    assert!(!platform.wires.cut.contains(&link));
    platform.pass(ms(600));
    assert!(platform.wires.cut.contains(&link));
}

#[test]
fn a_copy_of_an_old_report_does_not_set_the_free_circuits_back_up() {
    let mut platform = Platform::start();
    platform.comes(1);
    let links = platform.links(1);
    links.iter().for_each(|link| platform.state(*link, 0));
    let two = platform.links(2)[0];
    platform.state(two, 0);
    platform.state(links[0], 1);
    platform.calls(1, 7);
    assert_eq!(platform.set_ups().len(), 1);
    platform.state(links[1], 1);
    platform.calls(1, 8);
    assert_eq!(platform.set_ups(), [], "the only free circuit is taken");
    platform.state(links[0], 0);
    platform.core.link_disconnected(platform.wires.now, &mut platform.wires, links[0], Disconnect::Lost);
    platform.state(links[1], 1);
    assert_eq!(platform.set_ups().len(), 1, "the next link is believed once the first has gone");
}

#[test]
fn an_exchange_that_drains_is_sent_nothing_not_even_what_waits_for_a_link() {
    let mut platform = Platform::start();
    platform.comes(1);
    for link in platform.links(1) {
        platform.core.link_disconnected(platform.wires.now, &mut platform.wires, link, Disconnect::Lost);
    }
    platform.calls(1, 7);
    assert_eq!(platform.set_ups(), [], "no link is up");
    platform.bus(2, false, &[target("one", 1, "terminating", 0)]);
    platform.wires.judge.drained.insert("10.0.0.1:3868".parse().unwrap(), platform.wires.now - GRACE - ms(1));
    platform.links_up();
    assert_eq!(platform.set_ups(), []);
    platform.pass(ms(1500));
    assert_eq!(platform.said().len(), 1, "answered all the same");
}

#[test]
fn a_refused_dial_is_told_as_unreachable_and_ends_the_calls_of_a_dead_exchange() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.stands(1, 6);
    for link in platform.links(1) {
        platform.core.link_disconnected(platform.wires.now, &mut platform.wires, link, Disconnect::Lost);
    }
    assert!(platform.said().is_empty(), "links reset by themselves end no call");
    platform.calls(1, 7);
    for link in platform.links(1) {
        platform.core.link_disconnected(platform.wires.now, &mut platform.wires, link, Disconnect::Refused);
    }
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=41"]);
    platform.pass(ms(1500));
    assert_eq!(platform.said().len(), 1, "and call 7 has its answer");
}

#[test]
fn a_replaced_exchange_ends_what_stood_before_and_its_address_is_taken_over() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.stands(1, 6);
    platform.pass(ms(1000));
    platform.bus(2, false, &[target("one", 1, "terminated", 0), target("uno", 1, "in_service", 0)]);
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=41"]);
    platform.links_up();
    platform.stands(1, 7);
    let boot = (platform.wires.now + ms(500)).as_millis() as u64;
    platform.pass(ms(2000));
    platform.bus(3, false, &[target("uno", 1, "in_service", boot)]);
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=41"], "a new start ends what stood before it");
}

#[test]
fn a_silent_or_spoilt_bus_is_asked_again_from_the_last_number() {
    let mut platform = Platform::start();
    assert_eq!(platform.wires.bus.last().unwrap(), "from 1\n");
    platform.bus(2, false, &[target("two", 2, "terminating", 0)]);
    platform.bus_line("{\"offset\":3,\"topo\n");
    platform.pass(ms(300));
    platform.core.bus_connected(platform.wires.now, &mut platform.wires);
    assert_eq!(platform.wires.bus.last().unwrap(), "from 2\n");
    for _ in 0..5 {
        platform.pass(ms(1000));
        platform.bus_line("2\n");
    }
    assert_eq!(platform.wires.bus.last().unwrap(), "from 2\n", "its pulse keeps it");
    platform.pass(ms(3000));
    assert!(platform.wires.bus.last().unwrap().starts_with("dial"), "{:?}", platform.wires.bus);
}

#[test]
fn a_new_configuration_moves_the_bus_and_keeps_the_numbers() {
    let mut platform = Platform::start();
    platform.bus(2, false, &[target("two", 2, "terminating", 0)]);
    let moved = config_with(|config| config["bus"] = json!("127.0.0.1:4999")).unwrap();
    platform.core.configured(platform.wires.now, &mut platform.wires, &moved);
    assert_eq!(platform.wires.bus.last().unwrap(), "dial 127.0.0.1:4999");
    platform.core.bus_connected(platform.wires.now, &mut platform.wires);
    assert_eq!(platform.wires.bus.last().unwrap(), "from 2\n");
}

#[test]
fn a_stop_answers_all_that_was_taken_and_cuts_no_standing_call() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.stands(1, 6);
    platform.calls(1, 7);
    let [(link, 7)] = platform.set_ups()[..] else { panic!("one set-up") };
    platform.core.stop(platform.wires.now, &mut platform.wires);
    platform.pass(ms(600));
    platform.calls(1, 8);
    assert!(!platform.core.is_shutdown_complete(platform.wires.now));
    platform.answers(link, 7);
    platform.pass(ms(3000));
    let said = platform.said();
    assert_eq!((said.len(), platform.core.is_shutdown_complete(platform.wires.now)), (2, true), "{said:?}");
    assert!(said.iter().all(|said| !said.contains("BYE")));
}

#[test]
fn what_comes_long_after_the_signal_to_stop_is_answered_at_once() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.says(1, &request("OPTIONS", 0));
    platform.said();
    platform.core.stop(platform.wires.now, &mut platform.wires);
    platform.pass(ms(600));
    assert!(!platform.core.is_shutdown_complete(platform.wires.now), "calls may still come");
    platform.pass(ms(200));
    assert_eq!(platform.wires.hung_up, [CallerConnectionId(1)], "nothing is left on it");
    assert!(platform.core.is_shutdown_complete(platform.wires.now));
    platform.pass(ms(4200));
    platform.comes(2);
    platform.calls(2, 8);
    platform.pass(ms(1));
    assert_eq!(platform.said(), ["2: 503 INVITE"]);
}

#[test]
fn a_connection_that_carries_calls_stays_in_a_shutdown_until_their_ends_are_told() {
    let mut platform = Platform::start();
    platform.comes(1);
    let link = platform.stands(1, 6);
    platform.core.stop(platform.wires.now, &mut platform.wires);
    platform.pass(ms(1000));
    assert!(platform.wires.hung_up.is_empty() && !platform.core.is_shutdown_complete(platform.wires.now));
    platform.calls(1, 7);
    assert_eq!(platform.said(), ["1: 503 INVITE"], "set-ups on it are refused");
    platform.releases(link, 6, 16);
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=16"]);
    platform.pass(ms(100));
    assert!(platform.wires.hung_up.is_empty(), "the release is not confirmed yet");
    platform
        .says(1, "SIP/2.0 200 OK\r\nCall-ID: 0000000000000006\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n");
    platform.pass(ms(100));
    assert_eq!(platform.wires.hung_up, [CallerConnectionId(1)]);
    assert!(platform.core.is_shutdown_complete(platform.wires.now));
}

#[test]
fn a_shutdown_ends_before_the_kill_whatever_is_left() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.comes(2);
    platform.stands(1, 6);
    platform.core.stop(platform.wires.now, &mut platform.wires);
    platform.pass(ms(700));
    platform.calls(1, 7);
    // The longest deadline is 3 s: the kill comes 3.7 s after the signal at the earliest.
    platform.pass(ms(2600));
    assert!(platform.core.is_shutdown_complete(platform.wires.now), "{:?}", platform.wires.hung_up);
    assert_eq!(platform.said().len(), 1, "and call 7 has its answer");
}

#[test]
fn a_release_that_comes_before_the_caller_names_its_call_is_told_once_it_does() {
    let mut platform = Platform::start();
    let link = platform.links(1)[0];
    platform.releases(link, 6, 16);
    platform.comes(1);
    platform.says(1, &invite(6, "at:one", "1500", "hello"));
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=16"]);
}

#[test]
fn a_release_lost_with_its_link_goes_to_the_exchange_again_on_the_next() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.stands(1, 6);
    platform.says(1, &request("BYE", 6));
    for link in platform.links(1) {
        platform.core.link_disconnected(platform.wires.now, &mut platform.wires, link, Disconnect::Lost);
    }
    platform.wires.sent.clear();
    platform.links_up();
    let released = |sent: &&(LinkId, MessageType, WireCallId, Option<u8>)| {
        (sent.1, sent.2.0) == (MessageType::Release, 6)
    };
    assert_eq!(platform.wires.sent.iter().filter(released).count(), 1);
    platform.said();
    platform.set_ups();
    platform.stands(1, 7);
    platform.says(1, &request("BYE", 7));
    let link = platform.links(1)[0];
    platform.link_says(link, MessageType::ReleaseComplete, 7, &[]);
    platform.wires.sent.clear();
    platform.core.link_disconnected(platform.wires.now, &mut platform.wires, link, Disconnect::Lost);
    platform.links_up();
    assert!(platform.wires.sent.is_empty(), "one that was confirmed does not");
}

#[test]
fn what_is_open_on_a_connection_that_sends_nonsense_is_answered_before_the_close() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.calls(1, 7);
    platform.says(1, "GET / HTTP/1.1\r\n\r\n");
    assert_eq!(platform.said(), ["1: 500 INVITE", "1: 400 -"]);
    assert_eq!(platform.wires.hung_up, [CallerConnectionId(1)]);
    platform.comes(2);
    platform.calls(2, 8);
    platform.says(2, "INVITE sip:half");
    platform.pass(ms(1400));
    assert_eq!(platform.wires.hung_up, [CallerConnectionId(1)]);
    platform.pass(ms(1500));
    assert_eq!(
        platform.wires.hung_up,
        [CallerConnectionId(1), CallerConnectionId(2)],
        "once its call has its answer"
    );
    assert!(platform.said()[0].starts_with("2: "));
}

#[test]
fn a_bus_that_can_not_be_reached_is_dialled_with_jitter_and_given_longer_each_time() {
    let mut platform = Platform::start();
    platform.core.bus_disconnected(platform.wires.now, &mut platform.wires);
    let dials = |platform: &mut Platform, span: u64| {
        platform.wires.bus.clear();
        platform.pass(ms(span));
        platform.wires.bus.iter().filter(|step| step.starts_with("dial")).count()
    };
    let first = dials(&mut platform, 2000);
    assert!((2..=3).contains(&first), "{first} dials that are not answered in 2 s");
    let later = dials(&mut platform, 12_000);
    assert!(
        (4..=6).contains(&later),
        "{later} in the next 12 s: none lasts over 2 s, nor does a pause over 1 s"
    );
    platform.core.bus_connected(platform.wires.now, &mut platform.wires);
    assert_eq!(platform.wires.bus.last().unwrap(), "from 1\n");
}

#[test]
fn a_release_is_told_where_calls_have_stood_rather_than_to_who_came_last() {
    let mut platform = Platform::start();
    (1..=3).for_each(|caller| platform.comes(caller));
    let link = platform.stands(1, 6);
    platform.stands(2, 7);
    platform.calls(3, 8);
    platform.core.caller_disconnected(platform.wires.now, &mut platform.wires, CallerConnectionId(1));
    platform.releases(link, 6, 16);
    assert_eq!(platform.said(), ["2: BYE Q.850;cause=16"]);
}

#[test]
fn a_flood_of_long_descriptions_is_bounded_in_octets() {
    let mut platform = Platform::start();
    let long = "x".repeat(15 << 10);
    for caller in 1..=4 {
        platform.comes(caller);
        (0..100).for_each(|id| {
            platform.says(caller, &invite(1000 * caller + id, "dest:1;width:1", "1500", &long))
        });
    }
    assert!(
        platform.said().iter().filter(|said| said.starts_with("4: 503")).count() >= 100,
        "over 4 MiB wait"
    );
    platform.pass(ms(1500));
    platform.calls(1, 7);
    assert!(platform.said().iter().all(|said| !said.contains("too many")));
}

#[test]
fn calls_that_stood_before_a_restart_are_released_as_others_are() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.says(1, &invite(6, "at:one", "1500", "hello"));
    platform.says(1, &invite(6, "at:one", "1500", "hello"));
    platform.says(1, &invite(5, "at:nowhere", "1500", "hello"));
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=41"], "one exchange has gone; no other answer");
    let link = platform.links(1)[0];
    platform.releases(link, 6, 16);
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=16"]);
}

#[test]
fn bad_set_ups_are_refused_and_the_open_call_of_that_id_is_unharmed() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.comes(2);
    platform.calls(1, 7);
    platform.says(2, &invite(7, "dest:1;width:1", "1500", "another"));
    assert_eq!(platform.said(), ["2: 400 INVITE"]);
    let wrong = [
        invite(8, "dest:-4;width:1", "1500", "a"),
        invite(8, "dest:1;width:0", "1500", "a"),
        invite(8, "dest:1;width:x", "1500", "a"),
        invite(8, "dest:1;dest:2", "1500", "a"),
        invite(8, "width:1", "1500", "a"),
        invite(8, "dest:1", "-5", "a"),
        invite(8, "dest:1", "0", "a"),
        invite(8, "dest:1", "99999999999999999999999", "a"),
        invite(8, "dest:1", "1500", ""),
        invite(8, "dest:1", "1500", "a").replace("voice", "nothing"),
        invite(8, "dest:1", "1500", "a").replace("acme", "nobody"),
        invite(8, "dest:1", "1500", "a").replace("7f3a9c21e0b4d655", "me"),
        invite(8, "dest:1", "1500", "a").replace("Call-ID: 0000000000000008", "Call-ID: 8"),
        invite(8, "dest:1", "1500", "a").replace("Call-ID: 0000000000000008\r\n", ""),
    ];
    for wrong in &wrong {
        platform.says(2, wrong);
        let said = platform.said();
        assert!(matches!(&said[..], [one] if one.starts_with("2: 400")), "{wrong}: {said:?}");
    }
    assert_eq!(platform.set_ups().len(), 1, "only the good one went on");
    platform.says(2, "GET / HTTP/1.1\r\n\r\n");
    assert_eq!(
        (platform.said(), &platform.wires.hung_up[..]),
        (vec!["2: 400 -".to_string()], &[CallerConnectionId(2)][..])
    );
    let link = platform.wires.judge.out[&WireCallId(7)];
    platform.answers(link, 7);
    assert_eq!(platform.said(), ["1: 200 INVITE"]);
}

#[test]
fn the_silent_and_the_half_said_are_closed_and_a_flood_is_bounded() {
    let mut platform = Platform::start();
    (1..=3).for_each(|caller| platform.comes(caller));
    platform.says(2, "INVITE sip:half");
    platform.says(3, &request("OPTIONS", 0));
    platform.said();
    platform.pass(ms(2800));
    assert_eq!(platform.wires.hung_up, [CallerConnectionId(1), CallerConnectionId(2)]);
    (0..500).for_each(|id| platform.calls(3, 1000 + id));
    assert!(platform.said().len() >= 500 - 256, "what is over the bound is refused at once");
    platform.pass(ms(1500));
    assert_eq!(platform.wires.judge.final_answers.len(), 500, "each has its one answer");
    assert_eq!(platform.core.least_active_caller(), Some(CallerConnectionId(3)));
}

#[test]
fn faults_of_the_configuration_name_place_and_cause() {
    let told = |change: fn(&mut serde_json::Value)| config_with(change).unwrap_err();
    assert!(
        told(|config| config["bus"] = json!("nowhere")).starts_with("config.json: invalid socket address")
    );
    assert!(told(|config| config["seed"] = json!("xyz")).contains("seed"));
    assert!(
        told(|config| config["settings"]["lanes"][0]["aim_s"] = json!("soon")).contains("lanes.0.aim_s=soon")
    );
    assert!(told(|config| config["limits"]["sockets"] = json!(3)).contains("sockets"));
    assert!(told(|config| config["known"]["batch"] = json!([])).contains("known"));
}

#[test]
fn the_calls_of_a_silent_exchange_end_before_their_limit_without_the_bus() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.stands(1, 6);
    // The machine is gone: nothing comes, dials are never answered, and the bus tells nothing.
    platform.pass(ms(8000));
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=41"]);
}

#[test]
fn another_process_at_the_address_ends_the_calls_of_the_former_one() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.stands(1, 6);
    platform.pass(ms(10));
    let lose_all = |platform: &mut Platform| {
        for link in platform.links(1) {
            platform.core.link_disconnected(platform.wires.now, &mut platform.wires, link, Disconnect::Lost);
        }
        while let Some((link, _)) = platform.wires.dialled.pop() {
            platform.core.link_connected(platform.wires.now, &mut platform.wires, link);
        }
        platform.links(1)[0]
    };
    let link = lose_all(&mut platform);
    platform.state(link, 19);
    assert!(platform.said().is_empty(), "one of its 20 circuits is taken: it may be the same process");
    let link = lose_all(&mut platform);
    platform.state(link, 20);
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=41"]);
}

#[test]
fn a_quiet_exchange_is_sent_a_heartbeat_and_its_answer_keeps_the_calls() {
    let mut platform = Platform::start();
    platform.comes(1);
    platform.stands(1, 6);
    for _ in 0..5 {
        platform.wires.sent.clear();
        platform.pass(ms(2800));
        let tests: Vec<_> = platform.wires.sent.iter().filter(|sent| sent.1 == MessageType::Test).collect();
        let [(link, _, id, _)] = tests[..] else { panic!("one heartbeat, not {tests:?}") };
        let (link, id) = (*link, id.0);
        platform.link_says(link, MessageType::TestResult, id, &[(parameter::CAUSE, &[1])]);
    }
    assert!(platform.said().is_empty(), "14 s and the call stands");
    platform.pass(ms(7500));
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=41"]);
}

#[test]
fn calls_named_to_a_new_process_end_soon_where_their_exchange_is_never_reached() {
    let mut platform = Platform::unconnected(&config());
    platform.comes(1);
    platform.says(1, &invite(6, "at:one", "1500", "hello"));
    platform.pass(ms(1900));
    assert!(platform.said().is_empty());
    platform.pass(ms(400));
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=41"]);
}

#[test]
fn where_exchanges_may_not_be_tested_a_quiet_one_is_asked_by_a_new_connection() {
    let config = config_with(|config| config["settings"]["limits"]["probes"] = json!(false)).unwrap();
    let mut platform = Platform::unconnected(&config);
    platform.links_up();
    platform.comes(1);
    platform.stands(1, 6);
    for _ in 0..5 {
        platform.pass(ms(2800));
        assert!(!platform.wires.dialled.is_empty());
        platform.links_up();
    }
    assert!(platform.wires.sent.iter().all(|sent| sent.1 != MessageType::Test) && platform.said().is_empty());
    platform.pass(ms(7500));
    assert_eq!(platform.said(), ["1: BYE Q.850;cause=41"]);
}
