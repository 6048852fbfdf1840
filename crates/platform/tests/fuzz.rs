//! Fuzz targets: octets from a link or from the event bus are decoded or rejected, and never cause a panic.

use mintstall_platform::event_bus::EventDecoder;
use mintstall_platform::exchange_protocol::{Decoder, Message, MessageType, WireCallId, encode, parameter};

#[test]
fn a_decoded_link_message_encodes_to_an_equal_one() {
    bolero::check!().with_iterations(20_000).for_each(|octets: &[u8]| {
        let mut decoder = Decoder::default();
        decoder.push(octets);
        while let Ok(Some(_)) = decoder.next_message() {}
        let Ok(message) = Message::decode(octets) else { return };
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
        let mut encoded = Vec::new();
        encode(&mut encoded, message.kind, message.call, &parameters);
        assert_eq!(Message::decode(&encoded[2..]).as_ref(), Ok(&message));
    });
}

#[test]
fn a_message_with_one_octet_changed_is_decoded_or_rejected() {
    bolero::check!().with_iterations(20_000).with_type::<(usize, u8)>().for_each(|(position, octet)| {
        let mut octets = Vec::new();
        encode(
            &mut octets,
            MessageType::Answer,
            WireCallId(7),
            &[(parameter::DESCRIPTION, b"v=0"), (parameter::REPORT, b"idle:1")],
        );
        let position = position % octets.len();
        octets[position] ^= octet;
        let mut decoder = Decoder::default();
        decoder.push(&octets);
        while let Ok(Some(_)) = decoder.next_message() {}
    });
}

#[test]
fn the_last_offset_never_falls_for_any_input_from_the_bus() {
    bolero::check!().with_iterations(20_000).for_each(|octets: &[u8]| {
        let mut bus = EventDecoder::new(3);
        let _ = bus.decode(octets, |_| ());
        assert!(bus.last_offset() >= 3);
    });
}
