//! Fuzz target of the session state machine: clients' sessions against the exchange core, in virtual time, over connections
//! that are cut at any point. The controller detects a cut at once or later.
//!
//! `cargo bolero test -p mintstall-daemon whatever_happens_to_connections_each_call_has_one_outcome` continues the fuzzing,
//! guided by coverage.

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

use common::{FAR_NUMBER, FarExchange};

#[derive(Default)]
struct RecordingTransport {
    link_octets: Vec<Vec<u8>>,
    messages: Vec<(LineId, String)>,
    closed_lines: Vec<LineId>,
}

impl Transport for RecordingTransport {
    fn send_to_link(&mut self, _: ExchangeNumber, octets: &[u8]) {
        self.link_octets.push(octets.to_vec());
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn send_to_line(&mut self, line: LineId, text: &str) {
        self.messages.push((line, text.to_string()));
    }
    fn close_line(&mut self, line: LineId, _: &str) {
        self.closed_lines.push(line);
    }
    fn has_room(&self, _: LineId) -> bool {
        true
    }
    fn send_to_directory(&mut self, _: &str) {}
    fn log_info(&mut self, _: &str) {}
}

enum ServerSide {
    Handshake(ServerHandshake),
    Open(LineId, Box<WebSocketConnection>),
}

/// A connection between a client and the server, with the octets in transit.
struct ClientConnection {
    server: ServerSide,
    to_server: VecDeque<Vec<u8>>,
    to_client: VecDeque<Vec<u8>>,
    /// The client has lost the connection; the controller may not have detected it.
    cut: bool,
}

struct Client {
    session: Session,
    /// The newest last; the older ones were cut.
    connections: Vec<ClientConnection>,
    last_call: u64,
    outcomes: BTreeMap<u64, Vec<&'static str>>,
    standing: BTreeSet<u64>,
    /// Calls that the client hung up: they need no outcome.
    hung_up: BTreeSet<u64>,
}

struct Network {
    exchange: Exchange,
    transport: RecordingTransport,
    now: Duration,
    far: FarExchange,
    clients: Vec<Client>,
}

const CLIENTS: usize = 3;

impl Network {
    fn new() -> Self {
        let limits =
            LimitsConfig { unanswered: 3, resume_ms: 2000, resume_texts: 4, ..LimitsConfig::default() };
        let config = common::config(limits);
        let now = Duration::from_secs(3600);
        let client = |seed| Client {
            session: Session::new(now, SessionConfig::named("fuzz"), seed),
            connections: Vec::new(),
            last_call: 0,
            outcomes: BTreeMap::new(),
            standing: BTreeSet::new(),
            hung_up: BTreeSet::new(),
        };
        let mut network = Self {
            exchange: Exchange::new(now, &config, 2, 1),
            transport: RecordingTransport::default(),
            now,
            far: FarExchange::default(),
            clients: (0..CLIENTS as u64).map(client).collect(),
        };
        network.exchange.on_directory_notification(now, &mut network.transport, &common::membership());
        network.exchange.link_up(now, &mut network.transport, FAR_NUMBER);
        network.deliver();
        network
    }

    /// Delivers the output of the exchange core: link octets to the far exchange, messages to the connections.
    fn deliver(&mut self) {
        while !self.transport.link_octets.is_empty() {
            for octets in std::mem::take(&mut self.transport.link_octets) {
                let response = self.far.respond_to(&octets);
                self.exchange.link_octets(self.now, &mut self.transport, FAR_NUMBER, &response);
            }
        }
        for (line, text) in std::mem::take(&mut self.transport.messages) {
            if let Some(connection) = self.connection_of(line)
                && let ServerSide::Open(_, socket) = &mut connection.server
            {
                socket.send_text(&text);
                connection.to_client.push_back(std::mem::take(socket.output()));
            }
        }
        for line in std::mem::take(&mut self.transport.closed_lines) {
            if let Some(connection) = self.connection_of(line) {
                assert!(connection.cut, "the server closed a connection that its client uses");
            }
        }
    }

    fn connection_of(&mut self, line: LineId) -> Option<&mut ClientConnection> {
        let mut connections = self.clients.iter_mut().flat_map(|client| &mut client.connections);
        connections.find(|connection| matches!(connection.server, ServerSide::Open(open, _) if open == line))
    }

    /// Runs a client's session: opens a connection if it wants one, sends its output and records its events.
    fn run_client(&mut self, index: usize) {
        let now = self.now;
        let client = &mut self.clients[index];
        client.session.on_timer(now);
        if client.session.wants_dial(now) {
            client.session.dialled(now, "127.0.0.1:9".parse().unwrap());
            client.connections.push(ClientConnection {
                server: ServerSide::Handshake(ServerHandshake::default()),
                to_server: VecDeque::new(),
                to_client: VecDeque::new(),
                cut: false,
            });
        }
        let out = std::mem::take(client.session.out());
        if let Some(connection) =
            client.connections.last_mut().filter(|connection| !connection.cut && !out.is_empty())
        {
            connection.to_server.push_back(out);
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
                    assert!(client.standing.remove(&call), "call {call} ended but was not standing");
                    continue;
                }
                Event::Fault { call, code, why } => panic!("call {call}: {code} {why}"),
                Event::Denied { why } => panic!("{why}"),
                _ => continue,
            };
            client.outcomes.entry(call).or_default().push(outcome);
        }
    }

    fn deliver_to_server(&mut self, index: usize) -> bool {
        let now = self.now;
        let Some(connection) =
            self.clients[index].connections.last_mut().filter(|connection| !connection.cut)
        else {
            return false;
        };
        let Some(octets) = connection.to_server.pop_front() else { return false };
        let mut texts = Vec::new();
        let mut on_event = |event| match event {
            WebSocketEvent::Text(text) => texts.push(text),
            WebSocketEvent::PingOrPong => {}
        };
        let line = match &mut connection.server {
            ServerSide::Handshake(handshake) => {
                let ServerHandshakeState::Valid(request) = handshake.push(&octets, &BTreeSet::new()) else {
                    panic!("the handshake was rejected")
                };
                let mut socket = Box::new(request.accept(MAX_MESSAGE_OCTETS));
                socket.on_octets(&[], &mut on_event);
                let line = self.exchange.line_open(now).unwrap();
                connection.to_client.push_back(std::mem::take(socket.output()));
                connection.server = ServerSide::Open(line, socket);
                line
            }
            ServerSide::Open(line, socket) => {
                socket.on_octets(&octets, &mut on_event);
                *line
            }
        };
        for text in texts {
            self.exchange.line_message(now, &mut self.transport, line, text.as_bytes());
        }
        self.deliver();
        true
    }

    fn deliver_to_client(&mut self, index: usize) -> bool {
        let now = self.now;
        let client = &mut self.clients[index];
        let Some(connection) = client.connections.last_mut().filter(|connection| !connection.cut) else {
            return false;
        };
        let Some(octets) = connection.to_client.pop_front() else { return false };
        client.session.on_octets(now, &octets);
        self.run_client(index);
        true
    }

    fn cut(&mut self, index: usize) {
        let client = &mut self.clients[index];
        if let Some(connection) = client.connections.last_mut().filter(|connection| !connection.cut) {
            connection.cut = true;
            client.session.lost(self.now, "cut");
        }
        self.run_client(index);
    }

    /// The controller detects the connections that were cut.
    fn detect_cuts(&mut self, index: usize) {
        let client = &mut self.clients[index];
        let cut: Vec<ClientConnection> =
            client.connections.extract_if(.., |connection| connection.cut).collect();
        for connection in cut {
            if let ServerSide::Open(line, _) = connection.server {
                self.exchange.line_disconnected(self.now, &mut self.transport, line);
            }
        }
        self.deliver();
    }

    fn offer(&mut self, index: usize) {
        let now = self.now;
        let client = &mut self.clients[index];
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
        self.run_client(index);
    }

    fn far_exchange_answers(&mut self) {
        if !self.far.set_ups.is_empty() {
            let octets = self.far.answer_set_up(0);
            self.exchange.link_octets(self.now, &mut self.transport, FAR_NUMBER, &octets);
            self.deliver();
        }
    }

    fn far_exchange_rejects(&mut self) {
        if let Some(cic) = self.far.set_ups.first().copied() {
            self.far.set_ups.remove(0);
            let mut octets = Vec::new();
            let body = Body::Rel(Rel::new(CauseIndicators::new(Location::Remote, Q850::UserBusy)));
            common::write_message(cic, body, &mut octets);
            self.exchange.link_octets(self.now, &mut self.transport, FAR_NUMBER, &octets);
            self.deliver();
        }
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let sessions = self.clients.iter().filter_map(|client| client.session.next_timer());
            let timer = sessions.chain(self.exchange.next_timer()).min().filter(|at| *at <= end);
            let Some(at) = timer else { break };
            self.now = self.now.max(at);
            self.exchange.on_timer(self.now, &mut self.transport);
            self.deliver();
            (0..CLIENTS).for_each(|index| self.run_client(index));
        }
        self.now = end;
    }

    /// Detects all cuts, delivers all messages and answers set-ups for 20 s, so that every session reaches its final state.
    fn run_until_settled(&mut self) {
        for _ in 0..100 {
            for index in 0..CLIENTS {
                self.detect_cuts(index);
                while self.deliver_to_server(index) || self.deliver_to_client(index) {}
            }
            self.far_exchange_answers();
            self.advance(Duration::from_millis(200));
        }
    }

    fn check(&self) {
        let mut standing = 0;
        for (index, client) in self.clients.iter().enumerate() {
            for call in 1..=client.last_call {
                let outcomes = client.outcomes.get(&call).map_or(0, Vec::len);
                let min_outcomes = usize::from(!client.hung_up.contains(&call));
                assert!(
                    (min_outcomes..=1).contains(&outcomes),
                    "client {index}, call {call}: {:?}",
                    client.outcomes.get(&call)
                );
            }
            assert!(client.session.is_open(), "client {index} has not reconnected");
            assert_eq!(client.session.calls(), client.standing.len());
            standing += client.standing.len();
        }
        // The clients and the exchange agree on the standing calls.
        let status = self.exchange.status();
        assert_eq!(status["calls"], standing, "{status}");
        assert_eq!(status["admission"]["unanswered"], 0);
        assert_eq!(self.exchange.call_control.inconsistencies(), Vec::<String>::new());
    }
}

fn run(input: &[u8]) -> Network {
    let mut network = Network::new();
    (0..CLIENTS).for_each(|index| network.run_client(index));
    for octet in input {
        let (index, action) = (usize::from(octet >> 4) % CLIENTS, octet & 15);
        match action {
            0 | 1 => network.offer(index),
            2 | 3 => _ = network.deliver_to_server(index),
            4 | 5 => _ = network.deliver_to_client(index),
            6 => network.far_exchange_answers(),
            7 => network.far_exchange_rejects(),
            8 => network.cut(index),
            9 => {
                network.cut(index);
                network.detect_cuts(index);
            }
            10 => network.detect_cuts(index),
            11 | 12 => {
                let call = network.clients[index].last_call;
                if network.clients[index].standing.remove(&call)
                    || !network.clients[index].outcomes.contains_key(&call)
                {
                    if action == 11 {
                        network.clients[index].session.hang_up(call);
                        network.clients[index].hung_up.insert(call);
                    } else if !network.clients[index].outcomes.contains_key(&call) {
                        network.clients[index].session.cancel(call);
                    } else {
                        network.clients[index].standing.insert(call);
                    }
                }
                network.run_client(index);
            }
            13 | 14 => network.advance(Duration::from_millis(60)),
            _ => network.advance(Duration::from_millis(900)),
        }
    }
    network.run_until_settled();
    network
}

#[test]
fn whatever_happens_to_connections_each_call_has_one_outcome() {
    bolero::check!().with_iterations(2_000).for_each(|input: &[u8]| run(input).check());
}

/// Actions that open the session of client 0: handshake and hello are delivered to the server, the responses to the client.
const OPEN: [u8; 4] = [0x02, 0x04, 0x02, 0x04];

#[test]
fn an_answer_lost_with_the_connection_is_delivered_when_the_session_is_resumed() {
    // Offer, delivery, answer, then a cut before the answer reaches the client.
    let actions = [0x00, 0x02, 0x06, 0x08];
    let network = run(&[&OPEN[..], &actions].concat());
    network.check();
    assert_eq!(
        (network.clients[0].outcomes[&1].as_slice(), network.clients[0].standing.len()),
        (&["answered"][..], 1)
    );
}

#[test]
fn an_offer_lost_in_transit_is_sent_again_and_makes_one_call() {
    let network = run(&[&OPEN[..], &[0x00, 0x08]].concat());
    network.check();
    assert_eq!(network.clients[0].outcomes[&1], ["answered"]);
    assert_eq!(network.exchange.status()["counts"]["offered"], 1);
}

#[test]
fn a_client_that_reconnects_too_late_loses_its_calls_and_is_notified() {
    // The answer reaches the client. Then the connection is cut, the server detects it, and the time for resuming passes
    // before anything of the new connection is delivered.
    let actions = [0x00, 0x02, 0x06, 0x04, 0x09, 0x0f, 0x0f, 0x0f];
    let network = run(&[&OPEN[..], &actions].concat());
    network.check();
    assert_eq!(
        (network.clients[0].standing.len(), &network.exchange.status()["calls"]),
        (0, &serde_json::json!(0))
    );
}
