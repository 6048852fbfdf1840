//! Fuzz target of the codec. As an ordinary test it runs the stored corpus and a few seconds of new inputs;
//! `cargo bolero test -p mintstall-isup whatever_is_read_is_written_back_the_same` fuzzes guided by coverage.

use mintstall_isup::{Deframer, Frame, Message};

#[test]
fn whatever_is_read_is_written_back_the_same() {
    bolero::check!().with_iterations(20_000).for_each(|octets: &[u8]| {
        let mut deframer = Deframer::default();
        deframer.push(octets);
        while let Ok(Some(frame)) = deframer.next() {
            if let Ok(Frame::Data(data)) = Frame::read(frame) {
                check_round_trip(data.user);
            }
        }
        check_round_trip(octets);
    });
}

/// A message is equal to itself after it is written and read again. The octets may differ, since pointers may skip
/// octets and optional parameters may be in another order.
fn check_round_trip(octets: &[u8]) {
    if let Ok(message) = Message::read(octets) {
        let mut written = Vec::new();
        message.write(&mut written);
        if written.len() <= 272 {
            assert_eq!(Message::read(&written).as_ref(), Ok(&message), "{octets:02x?} became {written:02x?}");
        }
    }
}
