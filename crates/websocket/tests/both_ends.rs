//! The server and the client side connected to each other, and the server side with hand-made frames.

use std::collections::BTreeSet;

use mintstall_websocket::{
    ClientHandshake, ClientHandshakeError, ClientHandshakeState, CloseInfo, ServerHandshake,
    ServerHandshakeState, WebSocketConnection, WebSocketEvent, close,
};

const MAX_TEXT_OCTETS: usize = 1000;

/// An open connection: the server and the client side. `chunk`: octets passed on at a time.
fn open(chunk: usize) -> (WebSocketConnection, WebSocketConnection) {
    let (mut handshake, request) =
        ClientHandshake::new("127.0.0.1:9".parse().unwrap(), MAX_TEXT_OCTETS).unwrap();
    let mut server_handshake = ServerHandshake::default();
    let mut server = None;
    for part in request.chunks(chunk) {
        match server_handshake.push(part, &BTreeSet::new()) {
            ServerHandshakeState::Valid(upgrade) => server = Some(upgrade.accept(MAX_TEXT_OCTETS)),
            ServerHandshakeState::Incomplete => {}
            ServerHandshakeState::Rejected(rejection) => panic!("{rejection:?}"),
        }
    }
    let mut server = server.unwrap();
    // Sent at once, so that it arrives together with the response.
    server.send_text("first");
    let mut client = None;
    let mut events = Vec::new();
    for part in std::mem::take(server.output()).chunks(chunk) {
        match (&mut client, push_until_open(&mut handshake, &events, part)) {
            (None, Some(mut open)) => {
                open.on_octets(&[], &mut |event| events.push(event));
                client = Some(open);
            }
            (Some(client), _) => client.on_octets(part, &mut |event| events.push(event)),
            (None, None) => {}
        }
    }
    assert_eq!(events, [WebSocketEvent::Text("first".into())]);
    (server, *client.unwrap())
}

fn push_until_open(
    handshake: &mut ClientHandshake,
    events: &[WebSocketEvent],
    part: &[u8],
) -> Option<Box<WebSocketConnection>> {
    // The text arrived, so the handshake is complete.
    if !events.is_empty() {
        return None;
    }
    match handshake.push(part) {
        ClientHandshakeState::Open(connection) => Some(connection),
        ClientHandshakeState::Incomplete => None,
        ClientHandshakeState::Rejected(error) => panic!("{error}"),
    }
}

fn pass(from: &mut WebSocketConnection, to: &mut WebSocketConnection, chunk: usize) -> Vec<WebSocketEvent> {
    let mut events = Vec::new();
    for part in std::mem::take(from.output()).chunks(chunk) {
        to.on_octets(part, &mut |event| events.push(event));
    }
    events
}

#[test]
fn texts_and_pings_arrive_however_the_octets_are_split() {
    for chunk in [3, 4096] {
        let (mut server, mut client) = open(chunk);
        let long = "ü".repeat(MAX_TEXT_OCTETS / 2);
        client.send_text("one");
        client.send_text(&long);
        assert_eq!(
            pass(&mut client, &mut server, chunk),
            [WebSocketEvent::Text("one".into()), WebSocketEvent::Text(long)]
        );
        server.ping();
        assert_eq!(pass(&mut server, &mut client, chunk), [WebSocketEvent::PingOrPong]);
        assert_eq!(pass(&mut client, &mut server, chunk), [WebSocketEvent::PingOrPong], "a ping is answered");
    }
}

#[test]
fn closing_is_answered_and_both_sides_know_the_reason() {
    let (mut server, mut client) = open(4096);
    server.close(close::GOING_AWAY, &"ä".repeat(100));
    server.send_text("too late");
    assert!(server.is_closing() && server.close_info().is_none());
    pass(&mut server, &mut client, 4096);
    let close_info = client.close_info().unwrap();
    assert_eq!(
        (close_info.code, close_info.by_far_end, close_info.reason.as_str()),
        (1001, true, "ä".repeat(61).as_str())
    );
    pass(&mut client, &mut server, 4096);
    assert!(!server.close_info().unwrap().by_far_end);
    server.send_text("nothing after the end");
    assert_eq!(server.output(), &Vec::<u8>::new());
}

/// A frame as a client sends it, with a masking key of zeros (clause 5.2).
fn frame(first_octet: u8, payload: &[u8]) -> Vec<u8> {
    let mut octets = vec![first_octet];
    match u16::try_from(payload.len()).unwrap() {
        short @ 0..=125 => octets.push(0x80 | short as u8),
        long => {
            octets.push(0x80 | 126);
            octets.extend_from_slice(&long.to_be_bytes());
        }
    }
    octets.extend_from_slice(&[0; 4]);
    octets.extend_from_slice(payload);
    octets
}

const TEXT: u8 = 0x01;
const FIN: u8 = 0x80;

/// The events that the server reports for these octets, how the connection ended, and what the server sends.
fn server_receives(octets: &[u8]) -> (Vec<WebSocketEvent>, Option<CloseInfo>, Vec<u8>) {
    let (mut server, _) = open(4096);
    let mut events = Vec::new();
    server.on_octets(octets, &mut |event| events.push(event));
    let output = std::mem::take(server.output());
    (events, server.close_info().cloned(), output)
}

#[test]
fn fragments_are_one_text_and_a_ping_between_them_is_answered() {
    let octets = [frame(TEXT, b"one "), frame(FIN | 0x9, b"?"), frame(FIN, b"text")].concat();
    let (events, close_info, output) = server_receives(&octets);
    assert_eq!(events, [WebSocketEvent::PingOrPong, WebSocketEvent::Text("one text".into())]);
    assert_eq!((close_info, output), (None, vec![FIN | 0xA, 1, b'?']));
}

#[test]
fn each_protocol_error_closes_the_connection_with_its_code() {
    let code = |octets: &[u8]| {
        let (events, close_info, output) = server_receives(octets);
        assert_eq!(events, []);
        let close_info = close_info.expect("ended");
        // A close frame with the same code is sent.
        assert_eq!((output[0], u16::from_be_bytes([output[2], output[3]])), (FIN | 0x8, close_info.code));
        close_info.code
    };
    assert_eq!(code(&frame(FIN | TEXT, &[0xff, 0xfe])), close::NOT_UTF8);
    assert_eq!(code(&frame(FIN | 0x2, b"binary")), close::UNSUPPORTED);
    assert_eq!(code(&frame(FIN | TEXT, &[b'a'; MAX_TEXT_OCTETS + 1])), close::TOO_BIG);
    let fragments: Vec<u8> =
        std::iter::once(frame(TEXT, &[b'a'; 600])).chain([frame(0, &[b'a'; 600])]).flatten().collect();
    assert_eq!(code(&fragments), close::TOO_BIG, "the sum of the fragments counts");
    assert_eq!(code(&frame(FIN, b"no beginning")), close::PROTOCOL);
    assert_eq!(code(&[frame(TEXT, b"one"), frame(FIN | TEXT, b"two")].concat()), close::PROTOCOL);
    assert_eq!(code(&frame(0xC0 | TEXT, b"reserved bit")), close::PROTOCOL);
    assert_eq!(code(&frame(FIN | 0x3, b"reserved opcode")), close::PROTOCOL);
    assert_eq!(code(&[FIN | TEXT, 1, b'a']), close::PROTOCOL, "not masked");
}

#[test]
fn messages_after_a_protocol_error_are_ignored() {
    let (mut server, _) = open(4096);
    let mut events = Vec::new();
    server.on_octets(&frame(FIN | 0x2, b"binary"), &mut |event| events.push(event));
    server.on_octets(&frame(FIN | TEXT, b"text"), &mut |event| events.push(event));
    assert_eq!(events, []);
}

#[test]
fn a_client_gets_the_reason_and_the_retry_time_of_a_rejection() {
    let (mut handshake, _) = ClientHandshake::new("127.0.0.1:9".parse().unwrap(), MAX_TEXT_OCTETS).unwrap();
    let rejection = mintstall_websocket::HandshakeRejection {
        status: 503,
        reason: "full".into(),
        retry_after_s: Some(3),
    };
    let octets = rejection.to_octets();
    assert!(matches!(handshake.push(&octets[..octets.len() - 2]), ClientHandshakeState::Incomplete));
    let ClientHandshakeState::Rejected(error) = handshake.push(&octets[octets.len() - 2..]) else {
        panic!("not rejected")
    };
    assert_eq!(error.retry_after(), Some(std::time::Duration::from_secs(3)));
    assert!(matches!(error, ClientHandshakeError::Status { status: 503, reason, .. } if reason == "full"));
    for response in ["nonsense\r\n\r\n", "HTTP/1.1 101 x\r\nSec-WebSocket-Accept: other\r\n\r\n"] {
        let (mut handshake, _) =
            ClientHandshake::new("127.0.0.1:9".parse().unwrap(), MAX_TEXT_OCTETS).unwrap();
        assert!(matches!(
            handshake.push(response.as_bytes()),
            ClientHandshakeState::Rejected(ClientHandshakeError::InvalidResponse(_))
        ));
    }
}
