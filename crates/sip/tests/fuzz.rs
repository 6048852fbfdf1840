//! Fuzz targets for the decoder. As ordinary tests they run new random inputs for a few seconds.

use mintstall_sip::{Decoder, MAX_MESSAGE_OCTETS, StartLine, encode};

#[test]
fn decoded_messages_are_bounded_and_do_not_depend_on_how_the_input_is_split() {
    bolero::check!().with_iterations(20_000).with_type::<(Vec<u8>, usize)>().for_each(|(octets, split)| {
        // Most random input fails at its first line. After a valid message it reaches later stages of the decoder.
        let octets = [b"OPTIONS sip:ping@net SIP/2.0\r\nContent-Length: 0\r\n", &octets[..]].concat();
        let split = split % octets.len();
        let decode = |parts: &[&[u8]]| {
            let (mut decoder, mut results) = (Decoder::default(), Vec::new());
            for part in parts {
                decoder.push(part);
                loop {
                    match decoder.next_message() {
                        Ok(Some(message)) => results.push(Ok(message.body.len())),
                        Ok(None) => break,
                        Err(error) => {
                            results.push(Err(error));
                            return results;
                        }
                    }
                }
            }
            results
        };
        let whole = decode(&[&octets]);
        assert!(whole.iter().flatten().all(|length| *length <= MAX_MESSAGE_OCTETS));
        assert_eq!(whole, decode(&[&octets[..split], &octets[split..]]));
    });
}

#[test]
fn any_body_survives_encoding_and_decoding() {
    bolero::check!().with_iterations(5_000).for_each(|body: &[u8]| {
        let mut out = Vec::new();
        encode(&mut out, "INVITE sip:a@net SIP/2.0", &[("Call-ID", "a")], body);
        let mut decoder = Decoder::default();
        decoder.push(&out);
        let message = decoder.next_message().unwrap().unwrap();
        assert_eq!(
            (message.start, message.body),
            (StartLine::Request { method: "INVITE", uri: "sip:a@net" }, body)
        );
    });
}
