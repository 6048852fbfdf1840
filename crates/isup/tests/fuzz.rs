//! Fuzz target of the codec. As an ordinary test it runs the kept corpus and some seconds' worth of new inputs;
//! `cargo bolero test -p mintstall-isup whatever_is_read_is_written_back_the_same` fuzzes on with coverage.

use mintstall_isup::{Deframer, Frame, Message};

#[test]
fn whatever_is_read_is_written_back_the_same() {
    bolero::check!().with_iterations(20_000).for_each(|octets: &[u8]| {
        let mut deframer = Deframer::default();
        deframer.push(octets);
        while let Ok(Some(frame)) = deframer.next() {
            if let Ok(Frame::Data(data)) = Frame::read(frame) {
                read_again(data.user);
            }
        }
        read_again(octets);
    });
}

/// What a message means is the same after it was written and read again, though its octets may differ: pointers may
/// skip, optional parameters may come in another order.
fn read_again(octets: &[u8]) {
    if let Ok(message) = Message::read(octets) {
        let mut written = Vec::new();
        message.write(&mut written);
        if written.len() <= 272 {
            assert_eq!(Message::read(&written).as_ref(), Ok(&message), "{octets:02x?} became {written:02x?}");
        }
    }
}
