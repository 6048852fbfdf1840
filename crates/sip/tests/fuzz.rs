//! Fuzz target of the decoder. As an ordinary test it runs some seconds' worth of new inputs.

use mintstall_sip::{Decoder, MAX_MESSAGE_OCTETS, StartLine, encode};

#[test]
fn whatever_is_cut_is_bounded_and_reads_the_same_in_two_parts() {
    bolero::check!().with_iterations(20_000).with_type::<(Vec<u8>, usize)>().for_each(|(octets, at)| {
        // Most noise ends at its first line; behind a good one it gets further.
        let octets = [b"OPTIONS sip:ping@net SIP/2.0\r\nContent-Length: 0\r\n", &octets[..]].concat();
        let at = at % octets.len();
        let cut = |parts: &[&[u8]]| {
            let (mut decoder, mut all) = (Decoder::default(), Vec::new());
            for part in parts {
                decoder.push(part);
                loop {
                    match decoder.next_message() {
                        Ok(Some(message)) => all.push(Ok(message.body.len())),
                        Ok(None) => break,
                        Err(spoilt) => {
                            all.push(Err(spoilt));
                            return all;
                        }
                    }
                }
            }
            all
        };
        let whole = cut(&[&octets]);
        assert!(whole.iter().flatten().all(|length| *length <= MAX_MESSAGE_OCTETS));
        assert_eq!(whole, cut(&[&octets[..at], &octets[at..]]));
    });
}

#[test]
fn any_body_is_written_and_read_back() {
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
