//! The binary messages between controllers and exchanges: octets to types and back.
//!
//! A message is its length (two octets, of what follows), its type, the call's id, and parameters (code, two octets of
//! length, value). Everything is checked before any of it is believed.

use thiserror::Error;

/// Octets that a message may have.
pub const MAX_MESSAGE_OCTETS: usize = 16 << 10;
/// Type and id.
const LEAST: usize = 9;

/// A call as it is named on every wire of the platform.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WireCallId(pub u64);

impl WireCallId {
    /// Sixteen hex digits, as they are written here.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 16 && text.bytes().all(|octet| matches!(octet, b'0'..=b'9' | b'a'..=b'f'));
        digits.then(|| u64::from_str_radix(text, 16).ok().map(Self)).flatten()
    }
}

/// The log of calls holds this type under its former name.
impl std::fmt::Debug for WireCallId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_tuple("WireId").field(&self.0).finish()
    }
}

impl std::fmt::Display for WireCallId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Why a link can't be read any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    #[error("a message of {0} octets")]
    Length(usize),
    #[error("a message of unknown type {0}")]
    Type(u8),
    #[error("a parameter that runs past its message")]
    Parameter,
    #[error("parameter {0} is missing, doubled or makes no sense")]
    Value(u8),
}

/// What a message is.
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
    fn read(octet: u8) -> Result<Self, DecodeError> {
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

/// Parameters that are known here; others are passed over.
pub mod parameter {
    pub const CALL_TYPE: u8 = 33;
    pub const PATIENCE_MS: u8 = 34;
    pub const NUMBER: u8 = 37;
    pub const NOTE: u8 = 40;
    pub const WAIT_MS: u8 = 41;
    pub const REPORT: u8 = 42;
    pub const CAUSE: u8 = 47;
    pub const DESCRIPTION: u8 = 48;
}

/// One message, as it lies in the octets that came.
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
    /// Reads what follows the length.
    pub fn read(octets: &'a [u8]) -> Result<Self, DecodeError> {
        let (head, mut rest) = octets.split_at_checked(LEAST).ok_or(DecodeError::Length(octets.len()))?;
        let call = WireCallId(head[1..].iter().fold(0, |id, octet| id << 8 | u64::from(*octet)));
        let (kind, mut seen) = (MessageType::read(head[0])?, [false; 256]);
        let mut message =
            Self { kind, call, cause: None, note: None, wait_ms: None, report: None, description: None };
        while let [code, high, low, more @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            let (value, next) = more.split_at_checked(length).ok_or(DecodeError::Parameter)?;
            let wrong = DecodeError::Value(*code);
            if std::mem::replace(&mut seen[usize::from(*code)], true) {
                return Err(wrong);
            }
            let text = || std::str::from_utf8(value).map_err(|_| wrong);
            match *code {
                parameter::CAUSE => match value {
                    [cause] => message.cause = Some(*cause),
                    _ => return Err(wrong),
                },
                parameter::NOTE => message.note = Some(text()?),
                parameter::WAIT_MS => message.wait_ms = Some(wait(text()?).ok_or(wrong)?),
                parameter::REPORT => message.report = Some(text()?),
                parameter::DESCRIPTION => message.description = Some(value),
                _ => {}
            }
            rest = next;
        }
        if !rest.is_empty() {
            return Err(DecodeError::Parameter);
        }
        let lacks = match kind {
            MessageType::Answer => {
                message.description.is_none_or(<[u8]>::is_empty).then_some(parameter::DESCRIPTION)
            }
            MessageType::Release | MessageType::TestResult => {
                message.cause.is_none().then_some(parameter::CAUSE)
            }
            MessageType::State => message.report.is_none().then_some(parameter::REPORT),
            _ => None,
        };
        lacks.map_or(Ok(message), |code| Err(DecodeError::Value(code)))
    }
}

/// Milliseconds, with or without a fraction.
fn wait(text: &str) -> Option<u32> {
    let wait: f64 = text.trim().parse().ok()?;
    (0.0..=f64::from(u32::MAX)).contains(&wait).then_some(wait.ceil() as u32)
}

/// Cuts what comes on a link into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    held: Vec<u8>,
    done: usize,
}

impl Decoder {
    pub fn push(&mut self, octets: &[u8]) {
        if self.done > 0 {
            self.held.drain(..self.done);
            self.done = 0;
        }
        self.held.extend_from_slice(octets);
    }

    /// Whether a message has come in part.
    pub fn has_partial(&self) -> bool {
        self.done < self.held.len()
    }

    /// The next whole message, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Message<'_>>, DecodeError> {
        let rest = &self.held[self.done..];
        let [high, low, after @ ..] = rest else {
            if rest.is_empty() {
                (self.held, self.done) = (Vec::new(), 0);
            }
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        if !(LEAST..=MAX_MESSAGE_OCTETS - 2).contains(&length) {
            return Err(DecodeError::Length(length));
        }
        // A type that is none is told before a long message has come.
        after.first().map_or(Ok(()), |octet| MessageType::read(*octet).map(drop))?;
        if after.len() < length {
            return Ok(None);
        }
        let start = self.done + 2;
        self.done = start + length;
        Message::read(&self.held[start..self.done]).map(Some)
    }
}

/// Writes a message with its parameters; what is too long for a message is the caller's fault and was refused before.
pub fn encode(out: &mut Vec<u8>, kind: MessageType, call: WireCallId, parameters: &[(u8, &[u8])]) {
    let length = LEAST + parameters.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
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

/// Octets that a set-up with these needs on the wire.
pub fn set_up_length(call_type: &str, number: &str, description: &[u8]) -> usize {
    2 + LEAST + 4 * 3 + call_type.len() + number.len() + 10 + description.len()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn written(kind: MessageType, parameters: &[(u8, &[u8])]) -> Vec<u8> {
        let mut out = Vec::new();
        encode(&mut out, kind, WireCallId(0x9b1f_03aa_5c7e_2d41), parameters);
        out
    }

    #[test]
    fn a_release_is_written_as_the_page_says_and_read_again() {
        let octets = written(
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
    fn what_lacks_what_it_needs_or_runs_over_is_spoilt() {
        let spoilt = |octets: &[u8]| {
            let mut decoder = Decoder::default();
            decoder.push(octets);
            decoder.next_message().unwrap_err()
        };
        assert_eq!(spoilt(&written(MessageType::Answer, &[])), DecodeError::Value(48));
        assert_eq!(spoilt(&written(MessageType::Release, &[(47, &[1, 2])])), DecodeError::Value(47));
        assert_eq!(spoilt(&written(MessageType::Release, &[(47, &[1]), (47, &[1])])), DecodeError::Value(47));
        assert_eq!(
            spoilt(&written(MessageType::Release, &[(47, &[1]), (41, b"-1")])),
            DecodeError::Value(41)
        );
        assert_eq!(spoilt(&[0xff, 0xff, 9]), DecodeError::Length(0xffff));
        assert_eq!(spoilt(&[0, 8]), DecodeError::Length(8));
        assert_eq!(spoilt(&[0, 9, 77]), DecodeError::Type(77));
        let mut over = written(MessageType::Release, &[(47, &[1])]);
        *over.last_mut().unwrap() = 9;
        over[13] = 200;
        assert_eq!(spoilt(&over), DecodeError::Parameter);
    }

    #[test]
    fn ids_are_sixteen_small_hex_digits() {
        assert_eq!(
            WireCallId::parse("9b1f03aa5c7e2d41").map(|id| id.to_string()).as_deref(),
            Some("9b1f03aa5c7e2d41")
        );
        for wrong in ["", "9b1f03aa5c7e2d4", "9B1F03AA5C7E2D41", "+b1f03aa5c7e2d41", "9b1f03aa5c7e2d411"] {
            assert_eq!(WireCallId::parse(wrong), None);
        }
    }
}
