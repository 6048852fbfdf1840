//! Server and client ends against each other, and the server against octets made by hand.

use std::collections::BTreeSet;

use mintstall_websocket::{
    ClientHandshake, ClientHandshakeError, ClientHandshakeState, CloseInfo, ServerHandshake,
    ServerHandshakeState, WebSocketConnection, WebSocketEvent, close,
};

const LONGEST: usize = 1000;

/// Both ends, open. `cut`: octets handed over at a time.
fn open(cut: usize) -> (WebSocketConnection, WebSocketConnection) {
    let (mut dialled, request) = ClientHandshake::new("127.0.0.1:9".parse().unwrap(), LONGEST).unwrap();
    let mut door = ServerHandshake::default();
    let mut server = None;
    for part in request.chunks(cut) {
        match door.push(part, &BTreeSet::new()) {
            ServerHandshakeState::Valid(wish) => server = Some(wish.accept(LONGEST)),
            ServerHandshakeState::Incomplete => {}
            ServerHandshakeState::Rejected(why) => panic!("{why:?}"),
        }
    }
    let mut server = server.unwrap();
    // Said at once: it comes with the response.
    server.send_text("first");
    let mut client = None;
    let mut early = Vec::new();
    for part in std::mem::take(server.output()).chunks(cut) {
        match (&mut client, dialled_push(&mut dialled, &early, part)) {
            (None, Some(mut open)) => {
                open.on_octets(&[], &mut |event| early.push(event));
                client = Some(open);
            }
            (Some(client), _) => client.on_octets(part, &mut |event| early.push(event)),
            (None, None) => {}
        }
    }
    assert_eq!(early, [WebSocketEvent::Text("first".into())]);
    (server, *client.unwrap())
}

fn dialled_push(
    dialled: &mut ClientHandshake,
    early: &[WebSocketEvent],
    part: &[u8],
) -> Option<Box<WebSocketConnection>> {
    if !early.is_empty() {
        return None;
    }
    match dialled.push(part) {
        ClientHandshakeState::Open(end) => Some(end),
        ClientHandshakeState::Incomplete => None,
        ClientHandshakeState::Rejected(why) => panic!("{why}"),
    }
}

fn pass(from: &mut WebSocketConnection, to: &mut WebSocketConnection, cut: usize) -> Vec<WebSocketEvent> {
    let mut heard = Vec::new();
    for part in std::mem::take(from.output()).chunks(cut) {
        to.on_octets(part, &mut |event| heard.push(event));
    }
    heard
}

#[test]
fn texts_arrive_whole_both_ways_whole_or_in_pieces() {
    for cut in [3, 4096] {
        let (mut server, mut client) = open(cut);
        let long = "ü".repeat(LONGEST / 2);
        client.send_text("one");
        client.send_text(&long);
        assert_eq!(
            pass(&mut client, &mut server, cut),
            [WebSocketEvent::Text("one".into()), WebSocketEvent::Text(long)]
        );
        server.ping();
        assert_eq!(pass(&mut server, &mut client, cut), [WebSocketEvent::PingOrPong]);
        assert_eq!(pass(&mut client, &mut server, cut), [WebSocketEvent::PingOrPong], "a ping is answered");
    }
}

#[test]
fn closing_is_answered_and_the_reason_told_on_both_sides() {
    let (mut server, mut client) = open(4096);
    server.close(close::GOING_AWAY, &"ä".repeat(100));
    server.send_text("too late");
    assert!(server.is_closing() && server.close_info().is_none());
    pass(&mut server, &mut client, 4096);
    let told = client.close_info().unwrap();
    assert_eq!((told.code, told.by_far_end, told.reason.as_str()), (1001, true, "ä".repeat(61).as_str()));
    pass(&mut client, &mut server, 4096);
    assert!(!server.close_info().unwrap().by_far_end);
    server.send_text("nothing after the end");
    assert_eq!(server.output(), &Vec::<u8>::new());
}

/// A frame as a client sends it, masked with noughts (clause 5.2).
fn frame(first: u8, payload: &[u8]) -> Vec<u8> {
    let mut octets = vec![first];
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
const LAST: u8 = 0x80;

/// What the server hears of such octets, and how it ended.
fn server_hears(octets: &[u8]) -> (Vec<WebSocketEvent>, Option<CloseInfo>, Vec<u8>) {
    let (mut server, _) = open(4096);
    let mut heard = Vec::new();
    server.on_octets(octets, &mut |event| heard.push(event));
    let out = std::mem::take(server.output());
    (heard, server.close_info().cloned(), out)
}

#[test]
fn fragments_are_one_text_and_a_ping_between_them_is_answered() {
    let octets = [frame(TEXT, b"one "), frame(LAST | 0x9, b"?"), frame(LAST, b"text")].concat();
    let (heard, ended, out) = server_hears(&octets);
    assert_eq!(heard, [WebSocketEvent::PingOrPong, WebSocketEvent::Text("one text".into())]);
    assert_eq!((ended, out), (None, vec![LAST | 0xA, 1, b'?']));
}

#[test]
fn each_fault_closes_with_its_code() {
    let code = |octets: &[u8]| {
        let (heard, ended, out) = server_hears(octets);
        assert_eq!(heard, []);
        let ended = ended.expect("ended");
        // A close frame with the same code goes out.
        assert_eq!((out[0], u16::from_be_bytes([out[2], out[3]])), (LAST | 0x8, ended.code));
        ended.code
    };
    assert_eq!(code(&frame(LAST | TEXT, &[0xff, 0xfe])), close::NOT_UTF8);
    assert_eq!(code(&frame(LAST | 0x2, b"binary")), close::UNSUPPORTED);
    assert_eq!(code(&frame(LAST | TEXT, &[b'a'; LONGEST + 1])), close::TOO_BIG);
    let pieces: Vec<u8> =
        std::iter::once(frame(TEXT, &[b'a'; 600])).chain([frame(0, &[b'a'; 600])]).flatten().collect();
    assert_eq!(code(&pieces), close::TOO_BIG, "the sum of the fragments counts");
    assert_eq!(code(&frame(LAST, b"no beginning")), close::PROTOCOL);
    assert_eq!(code(&[frame(TEXT, b"one"), frame(LAST | TEXT, b"two")].concat()), close::PROTOCOL);
    assert_eq!(code(&frame(0xC0 | TEXT, b"reserved bit")), close::PROTOCOL);
    assert_eq!(code(&frame(LAST | 0x3, b"reserved opcode")), close::PROTOCOL);
    assert_eq!(code(&[LAST | TEXT, 1, b'a']), close::PROTOCOL, "not masked");
}

#[test]
fn what_comes_after_a_fault_is_not_heard() {
    let (mut server, _) = open(4096);
    let mut heard = Vec::new();
    server.on_octets(&frame(LAST | 0x2, b"binary"), &mut |event| heard.push(event));
    server.on_octets(&frame(LAST | TEXT, b"text"), &mut |event| heard.push(event));
    assert_eq!(heard, []);
}

#[test]
fn a_client_is_told_why_it_is_turned_away() {
    let (mut dialled, _) = ClientHandshake::new("127.0.0.1:9".parse().unwrap(), LONGEST).unwrap();
    let why = mintstall_websocket::HandshakeRejection {
        status: 503,
        reason: "full".into(),
        retry_after_s: Some(3),
    };
    let octets = why.to_octets();
    assert!(matches!(dialled.push(&octets[..octets.len() - 2]), ClientHandshakeState::Incomplete));
    let ClientHandshakeState::Rejected(turned) = dialled.push(&octets[octets.len() - 2..]) else {
        panic!("not turned away")
    };
    assert_eq!(turned.retry_after(), Some(std::time::Duration::from_secs(3)));
    assert!(matches!(turned, ClientHandshakeError::Status { status: 503, reason, .. } if reason == "full"));
    for answer in ["nonsense\r\n\r\n", "HTTP/1.1 101 x\r\nSec-WebSocket-Accept: other\r\n\r\n"] {
        let (mut dialled, _) = ClientHandshake::new("127.0.0.1:9".parse().unwrap(), LONGEST).unwrap();
        assert!(matches!(
            dialled.push(answer.as_bytes()),
            ClientHandshakeState::Rejected(ClientHandshakeError::InvalidResponse(_))
        ));
    }
}
