//! Fuzz targets: whatever comes on a link, from a caller or from the bus is read or told to be spoilt, never a panic.

use mintstall_platform::event_bus::EventDecoder;
use mintstall_platform::exchange_protocol::{Decoder, Message, MessageType, WireCallId, encode, parameter};

#[test]
fn whatever_is_read_from_a_link_is_written_back_the_same() {
    bolero::check!().with_iterations(20_000).for_each(|octets: &[u8]| {
        let mut decoder = Decoder::default();
        decoder.push(octets);
        while let Ok(Some(_)) = decoder.next_message() {}
        let Ok(message) = Message::read(octets) else { return };
        let (cause, wait) =
            (message.cause.map(|cause| [cause]), message.wait_ms.map(|wait| wait.to_string()));
        let parameters = [
            (parameter::CAUSE, cause.as_ref().map(|cause| &cause[..])),
            (parameter::NOTE, message.note.map(str::as_bytes)),
            (parameter::WAIT_MS, wait.as_ref().map(String::as_bytes)),
            (parameter::REPORT, message.report.map(str::as_bytes)),
            (parameter::DESCRIPTION, message.description),
        ];
        let parameters: Vec<_> =
            parameters.into_iter().filter_map(|(code, value)| Some((code, value?))).collect();
        let mut written = Vec::new();
        encode(&mut written, message.kind, message.call, &parameters);
        assert_eq!(Message::read(&written[2..]).as_ref(), Ok(&message));
    });
}

#[test]
fn a_message_with_one_octet_changed_is_read_or_told_to_be_spoilt() {
    bolero::check!().with_iterations(20_000).with_type::<(usize, u8)>().for_each(|(at, octet)| {
        let mut octets = Vec::new();
        encode(
            &mut octets,
            MessageType::Answer,
            WireCallId(7),
            &[(parameter::DESCRIPTION, b"v=0"), (parameter::REPORT, b"idle:1")],
        );
        let at = at % octets.len();
        octets[at] ^= octet;
        let mut decoder = Decoder::default();
        decoder.push(&octets);
        while let Ok(Some(_)) = decoder.next_message() {}
    });
}

#[test]
fn whatever_the_bus_says_the_number_never_falls() {
    bolero::check!().with_iterations(20_000).for_each(|octets: &[u8]| {
        let mut bus = EventDecoder::new(3);
        let _ = bus.decode(octets, |_| ());
        assert!(bus.last() >= 3);
    });
}
