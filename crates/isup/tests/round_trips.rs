//! Messages and frames read back equal to what was written, and no octets make the readers panic.

use std::time::Duration;

use mintstall_isup::*;
use proptest::collection::vec;
use proptest::prelude::*;

fn number() -> impl Strategy<Value = Number> {
    vec(0u8..16, 0..=Number::MAX_DIGITS).prop_map(|digits| Number::new(&digits).unwrap())
}

fn identity() -> impl Strategy<Value = CallIdentity> {
    (any::<(u16, u64, u8, u8, u16)>(), any::<u32>(), any::<(bool, bool)>()).prop_map(
        |(ids, time_left_ms, (cut, redial))| {
            let (origin, call, seizure, call_type, customer) = ids;
            CallIdentity { origin, call, seizure, call_type, customer, time_left_ms, cut, redial }
        },
    )
}

fn report() -> impl Strategy<Value = ProcessorReport> {
    any::<Option<u32>>().prop_map(|rate_milli| ProcessorReport { rate_milli })
}

fn range() -> impl Strategy<Value = RangeStatus> {
    (1u8..=32, any::<u32>())
        .prop_map(|(count, bits)| RangeStatus { count, status: bits & (u32::MAX >> (32 - u32::from(count))) })
}

/// Parameters whose codes the codec does not know.
fn unknown_parameters() -> impl Strategy<Value = Vec<(u8, Vec<u8>)>> {
    vec((0x60u8..0x90, vec(any::<u8>(), 0..20)), 0..3)
}

fn state() -> impl Strategy<Value = CircuitState> {
    (0u8..5, any::<bool>()).prop_map(|(kind, blocked)| match kind {
        0 => CircuitState::Unequipped,
        1 => CircuitState::Transient,
        2 => CircuitState::Idle { blocked },
        3 => CircuitState::IncomingBusy { blocked },
        _ => CircuitState::OutgoingBusy { blocked },
    })
}

fn check_round_trip(message: &Message) -> Result<(), TestCaseError> {
    let mut octets = Vec::new();
    message.write(&mut octets);
    prop_assert_eq!(&Message::read(&octets).unwrap(), message);
    // Each truncated message is an error or another message, never a panic.
    (0..octets.len()).for_each(|end| drop(Message::read(&octets[..end])));
    Ok(())
}

proptest! {
    #[test]
    fn initial_addresses_read_back_as_written(
        fixed in any::<(u8, [u8; 2], u8, u8)>(), called in number(), calling in proptest::option::of(number()),
        map in proptest::option::of(0u32..1 << 31), hops in proptest::option::of(0u8..32),
        identity in proptest::option::of(identity()), unknown in unknown_parameters(),
        cic in 0u16..4096,
    ) {
        let (nature, forward, category, medium) = fixed;
        let unknown_parameters = unknown.iter().map(|(code, contents)| (*code, &contents[..])).collect();
        let map = map.map(CircuitMap);
        let iam = Iam { nature, forward, category, medium, called, calling, map, hops, identity, unknown_parameters };
        check_round_trip(&Message::new(Cic(cic), Body::Iam(iam)))?;
    }

    #[test]
    fn releases_read_back_as_written(
        value in 0u8..128, location in 0u8..16, congestion in any::<Option<u8>>(), wait in any::<Option<u32>>(),
        next_exchange_full in any::<Option<bool>>(), report in proptest::option::of(report()),
        unknown in unknown_parameters(),
    ) {
        let location = match location { 0 => Location::User, 2 => Location::Local, 3 => Location::Transit,
            4 => Location::Remote, other => Location::Other(other) };
        let rel = Rel {
            cause: CauseIndicators::new(location, Q850::from_value(value)),
            congestion,
            congestion_wait: wait.map(|ms| Duration::from_millis(ms.into())),
            crankback: next_exchange_full.map(|next_exchange_full| Crankback { next_exchange_full }),
            report,
            unknown_parameters: unknown.iter().map(|(code, contents)| (*code, &contents[..])).collect(),
        };
        check_round_trip(&Message::new(Cic(1), Body::Rel(rel)))?;
    }

    #[test]
    fn circuit_and_answer_messages_read_back_as_written(
        kind in 0usize..19, status in range(), group in 0u8..4, states in vec(state(), 1..=32),
        report in proptest::option::of(report()), octets in vec(any::<u8>(), 0..40),
    ) {
        let body = match kind {
            0 => Body::Acm { backward: [0x16, 0x34], report, unknown_parameters: Vec::new() },
            1 => Body::Anm { report, unknown_parameters: Vec::new() },
            2 => Body::Cpg { event: group, unknown_parameters: vec![(0x70, &octets)] },
            3 => Body::Rlc { unknown_parameters: Vec::new() },
            4 => Body::Rsc,
            5 => Body::Blo,
            6 => Body::Bla,
            7 => Body::Ubl,
            8 => Body::Uba,
            9 => Body::Grs { count: status.count },
            10 => Body::Gra(status),
            11 => Body::Cgb { kind: group, range: status },
            12 => Body::Cgba { kind: group, range: status },
            13 => Body::Cgu { kind: group, range: status },
            14 => Body::Cgua { kind: group, range: status },
            15 => Body::Cqm { count: status.count },
            16 => Body::Cqr { states },
            _ => Body::Peer(&octets),
        };
        check_round_trip(&Message::new(Cic(37), body))?;
    }

    #[test]
    fn no_octets_make_the_readers_panic(octets in vec(any::<u8>(), 0..300)) {
        let _ = Message::read(&octets);
        let _ = Frame::read(&octets);
        let mut deframer = Deframer::default();
        deframer.push(&octets);
        while let Ok(Some(frame)) = deframer.next() {
            let _ = Frame::read(frame);
        }
    }

    #[test]
    fn a_stream_split_anywhere_gives_the_same_frames(
        cuts in vec(0usize..200, 0..6), user in vec(any::<u8>(), 0..60),
    ) {
        let data = ProtocolData { opc: 3, dpc: 9, service: m3ua::ISUP, network: 2, priority: 0, sls: 7, user: &user };
        let frames = [Frame::AspUp { asp: Some(4) }, Frame::Data(data), Frame::Heartbeat(b"12345"), Frame::AspActiveAck];
        let mut stream = Vec::new();
        frames.iter().for_each(|frame| frame.write(&mut stream));
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(stream.len())).collect();
        cuts.sort();
        cuts.push(stream.len());
        let (mut deframer, mut start, mut seen) = (Deframer::default(), 0, 0);
        for cut in cuts {
            deframer.push(&stream[start..cut]);
            start = cut;
            while let Some(frame) = deframer.next().unwrap() {
                prop_assert_eq!(&Frame::read(frame).unwrap(), &frames[seen]);
                seen += 1;
            }
        }
        prop_assert_eq!(seen, frames.len());
    }
}

#[test]
fn a_release_has_the_octets_of_the_standard() {
    let cause = CauseIndicators::new(Location::Local, Q850::NormalClearing);
    let mut octets = Vec::new();
    Message::new(Cic(0x123), Body::Rel(Rel::new(cause))).write(&mut octets);
    assert_eq!(octets, [0x23, 0x01, 0x0c, 2, 0, 2, 0x82, 0x90]);
}

#[test]
fn an_invalid_version_or_length_is_reported() {
    let mut deframer = Deframer::default();
    deframer.push(b"GET / HTTP/1.1\r\n");
    assert_eq!(deframer.next(), Err(FrameError::Version(b'G')));
    let mut deframer = Deframer::default();
    deframer.push(&[1, 0, 1, 1, 0xff, 0, 0, 0]);
    assert_eq!(deframer.next(), Err(FrameError::Length(0xff00_0000)));
}

#[test]
fn circuits_lie_in_slots_one_to_thirty_one() {
    assert_eq!((Cic::from_index(0), Cic::from_index(30), Cic::from_index(31)), (Cic(1), Cic(31), Cic(33)));
    assert!((0..Cic::MAX_PER_GROUP).all(|index| Cic::from_index(index).index() == Some(index)));
    assert_eq!(Cic(64).index(), None);
    let map = CircuitMap(0b1010);
    assert_eq!(map.circuits(Cic(33)).collect::<Vec<_>>(), [Cic(34), Cic(36)]);
}
