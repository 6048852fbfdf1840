//! Fuzz target of the session state machine: clients' sessions against the exchange core, in virtual time, over connections that
//! are cut at any point, with and without the controller knowing.
//!
//! `cargo bolero test -p mintstall-daemon whatever_happens_to_connections_each_call_has_one_outcome` fuzzes on with coverage.

mod common;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use mintstall::interface::ExchangeNumber;
use mintstall_callapi::{FinalAnswer, Offer};
use mintstall_client::{Event, Session, SessionConfig};
use mintstall_daemon::config::LimitsConfig;
use mintstall_daemon::exchange::{Exchange, LineId, MAX_MESSAGE_OCTETS, Transport};
use mintstall_isup::{Body, CauseIndicators, Location, Q850, Rel};
use mintstall_websocket::{ServerHandshake, ServerHandshakeState, WebSocketConnection, WebSocketEvent};

use common::{FAR, Far};

#[derive(Default)]
struct Wires {
    sent: Vec<Vec<u8>>,
    said: Vec<(LineId, String)>,
    closed: Vec<LineId>,
}

impl Transport for Wires {
    fn send_to_link(&mut self, _: ExchangeNumber, octets: &[u8]) {
        self.sent.push(octets.to_vec());
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn send_to_line(&mut self, line: LineId, text: &str) {
        self.said.push((line, text.to_string()));
    }
    fn close_line(&mut self, line: LineId, _: &str) {
        self.closed.push(line);
    }
    fn has_room(&self, _: LineId) -> bool {
        true
    }
    fn send_to_directory(&mut self, _: &str) {}
    fn log_info(&mut self, _: &str) {}
}

enum Server {
    Door(ServerHandshake),
    Open(LineId, Box<WebSocketConnection>),
}

/// A connection, with what is on its way.
struct Wire {
    server: Server,
    to_server: VecDeque<Vec<u8>>,
    to_client: VecDeque<Vec<u8>>,
    /// The client has lost it; the controller may not know.
    cut: bool,
}

struct Client {
    session: Session,
    /// The newest last; those before it were cut.
    wires: Vec<Wire>,
    last_call: u64,
    outcomes: BTreeMap<u64, Vec<&'static str>>,
    standing: BTreeSet<u64>,
    /// Hung up by the client: no outcome is owed.
    forgone: BTreeSet<u64>,
}

struct Net {
    exchange: Exchange,
    wires: Wires,
    now: Duration,
    far: Far,
    clients: Vec<Client>,
}

const CLIENTS: usize = 3;

impl Net {
    fn new() -> Self {
        let limits =
            LimitsConfig { unanswered: 3, resume_ms: 2000, resume_texts: 4, ..LimitsConfig::default() };
        let config = common::config(limits);
        let now = Duration::from_secs(3600);
        let client = |seed| Client {
            session: Session::new(now, SessionConfig::named("fuzz"), seed),
            wires: Vec::new(),
            last_call: 0,
            outcomes: BTreeMap::new(),
            standing: BTreeSet::new(),
            forgone: BTreeSet::new(),
        };
        let mut net = Self {
            exchange: Exchange::new(now, &config, 2, 1),
            wires: Wires::default(),
            now,
            far: Far::default(),
            clients: (0..CLIENTS as u64).map(client).collect(),
        };
        net.exchange.on_directory_notification(now, &mut net.wires, &common::roster());
        net.exchange.link_up(now, &mut net.wires, FAR);
        net.carry();
        net
    }

    /// What the core wants sent and said is put on its way.
    fn carry(&mut self) {
        while !self.wires.sent.is_empty() {
            for octets in std::mem::take(&mut self.wires.sent) {
                let back = self.far.read(&octets);
                self.exchange.link_octets(self.now, &mut self.wires, FAR, &back);
            }
        }
        for (line, text) in std::mem::take(&mut self.wires.said) {
            if let Some(wire) = self.wire_of(line)
                && let Server::Open(_, end) = &mut wire.server
            {
                end.send_text(&text);
                wire.to_client.push_back(std::mem::take(end.out()));
            }
        }
        for line in std::mem::take(&mut self.wires.closed) {
            if let Some(wire) = self.wire_of(line) {
                assert!(wire.cut, "closed, though its client has it");
            }
        }
    }

    fn wire_of(&mut self, line: LineId) -> Option<&mut Wire> {
        let of = |wire: &&mut Wire| matches!(wire.server, Server::Open(at, _) if at == line);
        self.clients.iter_mut().flat_map(|client| &mut client.wires).find(of)
    }

    /// Sessions that want a connection get one; what they have to say is put on its way, and what happened is noted.
    fn look_after(&mut self, at: usize) {
        let now = self.now;
        let client = &mut self.clients[at];
        client.session.on_timer(now);
        if client.session.wants_dial(now) {
            client.session.dialled(now, "127.0.0.1:9".parse().unwrap());
            client.wires.push(Wire {
                server: Server::Door(ServerHandshake::default()),
                to_server: VecDeque::new(),
                to_client: VecDeque::new(),
                cut: false,
            });
        }
        let out = std::mem::take(client.session.out());
        if let Some(wire) = client.wires.last_mut().filter(|wire| !wire.cut && !out.is_empty()) {
            wire.to_server.push_back(out);
        }
        while let Some(event) = client.session.next_event() {
            let (call, outcome) = match event {
                Event::Answered(answered) => {
                    if answered.answer == FinalAnswer::Stands {
                        client.standing.insert(answered.call);
                    }
                    (answered.call, "answered")
                }
                Event::Lost { call } => (call, "lost"),
                Event::Ended { call, .. } => {
                    assert!(client.standing.remove(&call), "call {call} ended, and did not stand");
                    continue;
                }
                Event::Fault { call, code, why } => panic!("call {call}: {code} {why}"),
                Event::Denied { why } => panic!("{why}"),
                _ => continue,
            };
            client.outcomes.entry(call).or_default().push(outcome);
        }
    }

    fn server_hears(&mut self, at: usize) -> bool {
        let now = self.now;
        let Some(wire) = self.clients[at].wires.last_mut().filter(|wire| !wire.cut) else { return false };
        let Some(octets) = wire.to_server.pop_front() else { return false };
        let mut texts = Vec::new();
        let mut hear = |event| match event {
            WebSocketEvent::Text(text) => texts.push(text),
            WebSocketEvent::PingOrPong => {}
        };
        let line = match &mut wire.server {
            Server::Door(door) => {
                let ServerHandshakeState::Valid(wish) = door.push(&octets, &BTreeSet::new()) else {
                    panic!("not let in")
                };
                let mut end = Box::new(wish.accept(MAX_MESSAGE_OCTETS));
                end.on_octets(&[], &mut hear);
                let line = self.exchange.line_open(now).unwrap();
                wire.to_client.push_back(std::mem::take(end.out()));
                wire.server = Server::Open(line, end);
                line
            }
            Server::Open(line, end) => {
                end.on_octets(&octets, &mut hear);
                *line
            }
        };
        for text in texts {
            self.exchange.line_text(now, &mut self.wires, line, text.as_bytes());
        }
        self.carry();
        true
    }

    fn client_hears(&mut self, at: usize) -> bool {
        let now = self.now;
        let client = &mut self.clients[at];
        let Some(wire) = client.wires.last_mut().filter(|wire| !wire.cut) else { return false };
        let Some(octets) = wire.to_client.pop_front() else { return false };
        client.session.on_octets(now, &octets);
        self.look_after(at);
        true
    }

    fn cut(&mut self, at: usize) {
        let client = &mut self.clients[at];
        if let Some(wire) = client.wires.last_mut().filter(|wire| !wire.cut) {
            wire.cut = true;
            client.session.lost(self.now, "cut");
        }
        self.look_after(at);
    }

    /// The controller finds out about connections that were cut.
    fn known(&mut self, at: usize) {
        let client = &mut self.clients[at];
        let gone: Vec<Wire> = client.wires.extract_if(.., |wire| wire.cut).collect();
        for wire in gone {
            if let Server::Open(line, _) = wire.server {
                self.exchange.line_disconnected(self.now, &mut self.wires, line);
            }
        }
        self.carry();
    }

    fn offer(&mut self, at: usize) {
        let now = self.now;
        let client = &mut self.clients[at];
        client.last_call += 1;
        let offer = Offer {
            call: client.last_call,
            call_type: 0,
            customer: 0,
            dest: 2,
            number: 100 + client.last_call,
            time_left_ms: 3000,
            advised: None,
            cut: false,
            redial: false,
        };
        client.session.offer(now, offer).unwrap();
        self.look_after(at);
    }

    fn far_answers(&mut self) {
        if !self.far.set_ups.is_empty() {
            let octets = self.far.answers(0);
            self.exchange.link_octets(self.now, &mut self.wires, FAR, &octets);
            self.carry();
        }
    }

    fn far_turns_back(&mut self) {
        if let Some(cic) = self.far.set_ups.first().copied() {
            self.far.set_ups.remove(0);
            let mut octets = Vec::new();
            let body = Body::Rel(Rel::new(CauseIndicators::new(Location::Remote, Q850::UserBusy)));
            common::write(cic, body, &mut octets);
            self.exchange.link_octets(self.now, &mut self.wires, FAR, &octets);
            self.carry();
        }
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let sessions = self.clients.iter().filter_map(|client| client.session.next_timer());
            let alarm = sessions.chain(self.exchange.next_timer()).min().filter(|at| *at <= end);
            let Some(at) = alarm else { break };
            self.now = self.now.max(at);
            self.exchange.on_timer(self.now, &mut self.wires);
            self.carry();
            (0..CLIENTS).for_each(|at| self.look_after(at));
        }
        self.now = end;
    }

    /// Everything arrives, everybody answers, and time passes until all is settled.
    fn settle(&mut self) {
        for _ in 0..100 {
            for at in 0..CLIENTS {
                self.known(at);
                while self.server_hears(at) || self.client_hears(at) {}
            }
            self.far_answers();
            self.pass(Duration::from_millis(200));
        }
    }

    fn judge(&self) {
        let mut standing = 0;
        for (at, client) in self.clients.iter().enumerate() {
            for call in 1..=client.last_call {
                let outcomes = client.outcomes.get(&call).map_or(0, Vec::len);
                let owed = usize::from(!client.forgone.contains(&call));
                assert!(
                    (owed..=1).contains(&outcomes),
                    "client {at}, call {call}: {:?}",
                    client.outcomes.get(&call)
                );
            }
            assert!(client.session.is_open(), "client {at} did not come back");
            assert_eq!(client.session.calls(), client.standing.len());
            standing += client.standing.len();
        }
        // What clients think stands is what stands.
        let status = self.exchange.status();
        assert_eq!(status["calls"], standing, "{status}");
        assert_eq!(status["admission"]["unanswered"], 0);
        assert_eq!(self.exchange.call_control.inconsistencies(), Vec::<String>::new());
    }
}

fn run(input: &[u8]) -> Net {
    let mut net = Net::new();
    (0..CLIENTS).for_each(|at| net.look_after(at));
    for octet in input {
        let (at, what) = (usize::from(octet >> 4) % CLIENTS, octet & 15);
        match what {
            0 | 1 => net.offer(at),
            2 | 3 => _ = net.server_hears(at),
            4 | 5 => _ = net.client_hears(at),
            6 => net.far_answers(),
            7 => net.far_turns_back(),
            8 => net.cut(at),
            9 => {
                net.cut(at);
                net.known(at);
            }
            10 => net.known(at),
            11 | 12 => {
                let call = net.clients[at].last_call;
                if net.clients[at].standing.remove(&call) || !net.clients[at].outcomes.contains_key(&call) {
                    if what == 11 {
                        net.clients[at].session.hang_up(call);
                        net.clients[at].forgone.insert(call);
                    } else if !net.clients[at].outcomes.contains_key(&call) {
                        net.clients[at].session.cancel(call);
                    } else {
                        net.clients[at].standing.insert(call);
                    }
                }
                net.look_after(at);
            }
            13 | 14 => net.pass(Duration::from_millis(60)),
            _ => net.pass(Duration::from_millis(900)),
        }
    }
    net.settle();
    net
}

#[test]
fn whatever_happens_to_connections_each_call_has_one_outcome() {
    bolero::check!().with_iterations(2_000).for_each(|input: &[u8]| run(input).judge());
}

/// The way of a session opened: what it says reaches the server and back.
const OPEN: [u8; 4] = [0x02, 0x04, 0x02, 0x04];

#[test]
fn an_answer_lost_with_the_connection_is_told_when_the_session_is_taken_up() {
    // Offered, answered into a connection that its client has lost already.
    let ops = [0x00, 0x02, 0x06, 0x08];
    let net = run(&[&OPEN[..], &ops].concat());
    net.judge();
    assert_eq!(
        (net.clients[0].outcomes[&1].as_slice(), net.clients[0].standing.len()),
        (&["answered"][..], 1)
    );
}

#[test]
fn an_offer_lost_on_its_way_is_sent_again_and_is_one_call() {
    let net = run(&[&OPEN[..], &[0x00, 0x08]].concat());
    net.judge();
    assert_eq!(net.clients[0].outcomes[&1], ["answered"]);
    assert_eq!(net.exchange.status()["counts"]["offered"], 1);
}

#[test]
fn a_client_that_stays_away_too_long_loses_its_calls_and_is_told() {
    // Answered and heard; then cut, the server knows, and its time to come back passes undelivered.
    let ops = [0x00, 0x02, 0x06, 0x04, 0x09, 0x0f, 0x0f, 0x0f];
    let net = run(&[&OPEN[..], &ops].concat());
    net.judge();
    assert_eq!((net.clients[0].standing.len(), &net.exchange.status()["calls"]), (0, &serde_json::json!(0)));
}
