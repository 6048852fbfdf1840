//! The binary protocol between controllers and exchanges: decoder and encoder of messages.
//!
//! A message consists of the length of the rest (two octets), the type, the call's id and parameters (code, two octets
//! of length, value). It is checked completely before any of it is used.

use thiserror::Error;

/// Limit for a whole message, with its length field.
pub const MAX_MESSAGE_OCTETS: usize = 16 << 10;
/// Octets of the type and the id.
const MIN_BODY_OCTETS: usize = 9;

/// A call's id, as callers and exchanges know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WireCallId(pub u64);

impl WireCallId {
    /// Parses sixteen lower-case hex digits, the form that Display writes.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 16 && text.bytes().all(|octet| matches!(octet, b'0'..=b'9' | b'a'..=b'f'));
        digits.then(|| u64::from_str_radix(text, 16).ok().map(Self)).flatten()
    }
}

impl std::fmt::Display for WireCallId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Why a message is invalid; the link can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    #[error("invalid message length: {0} octets")]
    Length(usize),
    #[error("unknown message type {0}")]
    Type(u8),
    #[error("a parameter exceeds its message")]
    Parameter,
    #[error("parameter {0} is missing, duplicate or invalid")]
    Value(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageType {
    SetUp = 1,
    Progress = 6,
    Answer = 9,
    Release = 12,
    ReleaseComplete = 16,
    State = 43,
    Test = 52,
    TestResult = 53,
}

impl MessageType {
    fn from_octet(octet: u8) -> Result<Self, DecodeError> {
        const ALL: [MessageType; 8] = [
            MessageType::SetUp,
            MessageType::Progress,
            MessageType::Answer,
            MessageType::Release,
            MessageType::ReleaseComplete,
            MessageType::State,
            MessageType::Test,
            MessageType::TestResult,
        ];
        ALL.into_iter().find(|kind| *kind as u8 == octet).ok_or(DecodeError::Type(octet))
    }
}

/// Codes of the parameters that are used here; others are ignored.
pub mod parameter {
    pub const CALL_TYPE: u8 = 33;
    pub const EXPIRES_MS: u8 = 34;
    pub const NUMBER: u8 = 37;
    pub const NOTE: u8 = 40;
    pub const WAIT_MS: u8 = 41;
    pub const REPORT: u8 = 42;
    pub const CAUSE: u8 = 47;
    pub const DESCRIPTION: u8 = 48;
}

/// One message, borrowed from the received octets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    pub kind: MessageType,
    pub call: WireCallId,
    pub cause: Option<u8>,
    pub note: Option<&'a str>,
    pub wait_ms: Option<u32>,
    pub report: Option<&'a str>,
    pub description: Option<&'a [u8]>,
}

impl<'a> Message<'a> {
    /// Decodes a message without its length field.
    pub fn decode(octets: &'a [u8]) -> Result<Self, DecodeError> {
        let (head, mut rest) =
            octets.split_at_checked(MIN_BODY_OCTETS).ok_or(DecodeError::Length(octets.len()))?;
        let call = WireCallId(head[1..].iter().fold(0, |id, octet| id << 8 | u64::from(*octet)));
        let (kind, mut seen) = (MessageType::from_octet(head[0])?, [false; 256]);
        let mut message =
            Self { kind, call, cause: None, note: None, wait_ms: None, report: None, description: None };
        while let [code, high, low, more @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            let (value, next) = more.split_at_checked(length).ok_or(DecodeError::Parameter)?;
            let invalid = DecodeError::Value(*code);
            if std::mem::replace(&mut seen[usize::from(*code)], true) {
                return Err(invalid);
            }
            let text = || std::str::from_utf8(value).map_err(|_| invalid);
            match *code {
                parameter::CAUSE => match value {
                    [cause] => message.cause = Some(*cause),
                    _ => return Err(invalid),
                },
                parameter::NOTE => message.note = Some(text()?),
                parameter::WAIT_MS => message.wait_ms = Some(parse_wait_ms(text()?).ok_or(invalid)?),
                parameter::REPORT => message.report = Some(text()?),
                parameter::DESCRIPTION => message.description = Some(value),
                _ => {}
            }
            rest = next;
        }
        if !rest.is_empty() {
            return Err(DecodeError::Parameter);
        }
        let missing = match kind {
            MessageType::Answer => {
                message.description.is_none_or(<[u8]>::is_empty).then_some(parameter::DESCRIPTION)
            }
            MessageType::Release | MessageType::TestResult => {
                message.cause.is_none().then_some(parameter::CAUSE)
            }
            MessageType::State => message.report.is_none().then_some(parameter::REPORT),
            _ => None,
        };
        missing.map_or(Ok(message), |code| Err(DecodeError::Value(code)))
    }
}

/// Parses milliseconds, with or without a fraction, and rounds up.
fn parse_wait_ms(text: &str) -> Option<u32> {
    let wait_ms: f64 = text.trim().parse().ok()?;
    (0.0..=f64::from(u32::MAX)).contains(&wait_ms).then_some(wait_ms.ceil() as u32)
}

/// Splits the octets that arrive on a link into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// Octets at the start of the buffer that have been decoded.
    decoded: usize,
}

impl Decoder {
    pub fn push(&mut self, octets: &[u8]) {
        if self.decoded > 0 {
            self.buffer.drain(..self.decoded);
            self.decoded = 0;
        }
        self.buffer.extend_from_slice(octets);
    }

    /// Whether part of a message is buffered.
    pub fn has_partial(&self) -> bool {
        self.decoded < self.buffer.len()
    }

    /// The next complete message, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Message<'_>>, DecodeError> {
        let rest = &self.buffer[self.decoded..];
        let [high, low, after @ ..] = rest else {
            if rest.is_empty() {
                (self.buffer, self.decoded) = (Vec::new(), 0);
            }
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        if !(MIN_BODY_OCTETS..=MAX_MESSAGE_OCTETS - 2).contains(&length) {
            return Err(DecodeError::Length(length));
        }
        // An unknown type is reported without waiting for the rest of a long message.
        after.first().map_or(Ok(()), |octet| MessageType::from_octet(*octet).map(drop))?;
        if after.len() < length {
            return Ok(None);
        }
        let start = self.decoded + 2;
        self.decoded = start + length;
        Message::decode(&self.buffer[start..self.decoded]).map(Some)
    }
}

/// Appends a message with its parameters. Set-ups that are too long for a message are refused before.
pub fn encode(out: &mut Vec<u8>, kind: MessageType, call: WireCallId, parameters: &[(u8, &[u8])]) {
    let length = MIN_BODY_OCTETS + parameters.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
    debug_assert!(length <= MAX_MESSAGE_OCTETS - 2);
    out.extend((length as u16).to_be_bytes());
    out.push(kind as u8);
    out.extend(call.0.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend((value.len() as u16).to_be_bytes());
        out.extend_from_slice(value);
    }
}

/// Octets of a set-up message with these parameters.
pub fn set_up_length(call_type: &str, number: &str, description: &[u8]) -> usize {
    2 + MIN_BODY_OCTETS + 4 * 3 + call_type.len() + number.len() + 10 + description.len()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn encoded(kind: MessageType, parameters: &[(u8, &[u8])]) -> Vec<u8> {
        let mut out = Vec::new();
        encode(&mut out, kind, WireCallId(0x9b1f_03aa_5c7e_2d41), parameters);
        out
    }

    #[test]
    fn a_release_is_encoded_as_specified_and_decoded_again() {
        let octets = encoded(
            MessageType::Release,
            &[(parameter::CAUSE, &[34]), (parameter::NOTE, b"throttled"), (parameter::WAIT_MS, b"250")],
        );
        assert_eq!(octets[..14], [0, 31, 12, 0x9b, 0x1f, 0x03, 0xaa, 0x5c, 0x7e, 0x2d, 0x41, 47, 0, 1]);
        let mut decoder = Decoder::default();
        for octet in &octets[..octets.len() - 1] {
            decoder.push(&[*octet]);
            assert_eq!(decoder.next_message(), Ok(None));
            assert!(decoder.has_partial());
        }
        decoder.push(&octets[octets.len() - 1..]);
        let message = decoder.next_message().unwrap().unwrap();
        assert_eq!((message.cause, message.note, message.wait_ms), (Some(34), Some("throttled"), Some(250)));
        assert!(decoder.next_message() == Ok(None) && !decoder.has_partial());
    }

    #[test]
    fn messages_with_missing_duplicate_or_overlong_parts_are_invalid() {
        let decode_error = |octets: &[u8]| {
            let mut decoder = Decoder::default();
            decoder.push(octets);
            decoder.next_message().unwrap_err()
        };
        assert_eq!(decode_error(&encoded(MessageType::Answer, &[])), DecodeError::Value(48));
        assert_eq!(decode_error(&encoded(MessageType::Release, &[(47, &[1, 2])])), DecodeError::Value(47));
        assert_eq!(
            decode_error(&encoded(MessageType::Release, &[(47, &[1]), (47, &[1])])),
            DecodeError::Value(47)
        );
        assert_eq!(
            decode_error(&encoded(MessageType::Release, &[(47, &[1]), (41, b"-1")])),
            DecodeError::Value(41)
        );
        assert_eq!(decode_error(&[0xff, 0xff, 9]), DecodeError::Length(0xffff));
        assert_eq!(decode_error(&[0, 8]), DecodeError::Length(8));
        assert_eq!(decode_error(&[0, 9, 77]), DecodeError::Type(77));
        let mut overlong = encoded(MessageType::Release, &[(47, &[1])]);
        *overlong.last_mut().unwrap() = 9;
        overlong[13] = 200;
        assert_eq!(decode_error(&overlong), DecodeError::Parameter);
    }

    #[test]
    fn ids_are_sixteen_lower_case_hex_digits() {
        assert_eq!(
            WireCallId::parse("9b1f03aa5c7e2d41").map(|id| id.to_string()).as_deref(),
            Some("9b1f03aa5c7e2d41")
        );
        for invalid in ["", "9b1f03aa5c7e2d4", "9B1F03AA5C7E2D41", "+b1f03aa5c7e2d41", "9b1f03aa5c7e2d411"] {
            assert_eq!(WireCallId::parse(invalid), None);
        }
    }
}
