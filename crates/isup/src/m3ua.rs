//! M3UA frames (RFC 4666 clause 3), and their separation on a stream of octets.
//!
//! Deployed networks run M3UA over SCTP. This software replaces SCTP by TCP, where the length field of each frame
//! marks its end.

use thiserror::Error;

/// Reason why received octets are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    #[error("frame: version {0}, expected 1")]
    Version(u8),
    #[error(
        "frame: length {0} is not a multiple of 4 within {min} to {max} octets",
        min = HEADER_OCTETS,
        max = MAX_FRAME_OCTETS
    )]
    Length(u32),
    #[error("frame: parameter {tag:#06x} has the wrong length")]
    Parameter { tag: u16 },
    #[error("frame: DATA without protocol data")]
    NoData,
}

const HEADER_OCTETS: usize = 8;
/// Longest frame that is accepted. An ISUP message has at most 272 octets (Q.704); the rest is for M3UA parameters.
pub const MAX_FRAME_OCTETS: usize = 1024;

const ERROR_CODE: u16 = 0x000c;
const ASP_IDENTIFIER: u16 = 0x0011;
const HEARTBEAT_DATA: u16 = 0x0009;
const PROTOCOL_DATA: u16 = 0x0210;

/// Service indicator of ISUP (Q.704 clause 14.2.1).
pub const ISUP: u8 = 5;

/// A user message with its MTP3 routing label (RFC 4666 clause 3.3.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolData<'a> {
    /// Originating point code.
    pub opc: u32,
    /// Destination point code.
    pub dpc: u32,
    /// Service indicator.
    pub service: u8,
    /// Network indicator.
    pub network: u8,
    /// Message priority.
    pub priority: u8,
    /// Signalling link selection.
    pub sls: u8,
    /// The user's message, ISUP with service indicator [`ISUP`].
    pub user: &'a [u8],
}

/// An M3UA message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frame<'a> {
    /// The sender's application server process (ASP) is up; `asp` is its identifier.
    AspUp {
        asp: Option<u32>,
    },
    AspUpAck {
        asp: Option<u32>,
    },
    AspDown,
    AspDownAck,
    /// The sender's ASP accepts traffic from now on.
    AspActive,
    AspActiveAck,
    AspInactive,
    AspInactiveAck,
    Heartbeat(&'a [u8]),
    HeartbeatAck(&'a [u8]),
    Data(ProtocolData<'a>),
    /// The sender received an invalid or unexpected frame (clause 3.8.1).
    Error {
        code: u32,
    },
    /// Any other message, ignored.
    Other {
        class: u8,
        kind: u8,
    },
}

/// Error codes of clause 3.8.1.
pub const UNSUPPORTED_CLASS: u32 = 3;
pub const UNEXPECTED_MESSAGE: u32 = 6;
pub const PROTOCOL_ERROR: u32 = 7;

impl<'a> Frame<'a> {
    /// Message class and type.
    fn class_and_type(&self) -> (u8, u8) {
        match self {
            Self::Error { .. } => (0, 0),
            Self::Data(_) => (1, 1),
            Self::AspUp { .. } => (3, 1),
            Self::AspDown => (3, 2),
            Self::Heartbeat(_) => (3, 3),
            Self::AspUpAck { .. } => (3, 4),
            Self::AspDownAck => (3, 5),
            Self::HeartbeatAck(_) => (3, 6),
            Self::AspActive => (4, 1),
            Self::AspInactive => (4, 2),
            Self::AspActiveAck => (4, 3),
            Self::AspInactiveAck => (4, 4),
            Self::Other { class, kind } => (*class, *kind),
        }
    }

    /// Appends the frame to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        let start = out.len();
        let (class, kind) = self.class_and_type();
        out.extend_from_slice(&[1, 0, class, kind, 0, 0, 0, 0]);
        match self {
            Self::AspUp { asp: Some(asp) } | Self::AspUpAck { asp: Some(asp) } => {
                write_parameter(out, ASP_IDENTIFIER, &[&asp.to_be_bytes()]);
            }
            Self::Heartbeat(data) | Self::HeartbeatAck(data) if !data.is_empty() => {
                write_parameter(out, HEARTBEAT_DATA, &[data]);
            }
            Self::Error { code } => write_parameter(out, ERROR_CODE, &[&code.to_be_bytes()]),
            Self::Data(data) => {
                let head = [data.service, data.network, data.priority, data.sls];
                let parts = [&data.opc.to_be_bytes()[..], &data.dpc.to_be_bytes(), &head, data.user];
                write_parameter(out, PROTOCOL_DATA, &parts);
            }
            _ => {}
        }
        let length = (out.len() - start) as u32;
        out[start + 4..start + 8].copy_from_slice(&length.to_be_bytes());
    }

    /// Reads one whole frame, as [`Deframer::next`] returns it.
    pub fn read(frame: &'a [u8]) -> Result<Self, FrameError> {
        let (Some(header), Some(body)) = (frame.first_chunk::<HEADER_OCTETS>(), frame.get(HEADER_OCTETS..))
        else {
            return Err(FrameError::Length(frame.len() as u32));
        };
        Ok(match (header[2], header[3]) {
            (0, 0) => Self::Error { code: u32_parameter(body, ERROR_CODE)?.unwrap_or(0) },
            (1, 1) => Self::Data(protocol_data(body)?),
            (3, 1) => Self::AspUp { asp: u32_parameter(body, ASP_IDENTIFIER)? },
            (3, 2) => Self::AspDown,
            (3, 3) => Self::Heartbeat(find_parameter(body, HEARTBEAT_DATA)?.unwrap_or_default()),
            (3, 4) => Self::AspUpAck { asp: u32_parameter(body, ASP_IDENTIFIER)? },
            (3, 5) => Self::AspDownAck,
            (3, 6) => Self::HeartbeatAck(find_parameter(body, HEARTBEAT_DATA)?.unwrap_or_default()),
            (4, 1) => Self::AspActive,
            (4, 2) => Self::AspInactive,
            (4, 3) => Self::AspActiveAck,
            (4, 4) => Self::AspInactiveAck,
            (class, kind) => Self::Other { class, kind },
        })
    }
}

/// Tag, length without padding, value, padding to four octets (clause 3.2).
fn write_parameter(out: &mut Vec<u8>, tag: u16, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.extend_from_slice(&tag.to_be_bytes());
    out.extend_from_slice(&(length as u16).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
    out.resize(out.len() + (4 - length % 4) % 4, 0);
}

fn find_parameter(mut body: &[u8], wanted: u16) -> Result<Option<&[u8]>, FrameError> {
    while let [a, b, c, d, rest @ ..] = body {
        let (tag, length) = (u16::from_be_bytes([*a, *b]), usize::from(u16::from_be_bytes([*c, *d])));
        let wrong_length = FrameError::Parameter { tag };
        let value = length.checked_sub(4).and_then(|length| rest.get(..length)).ok_or(wrong_length)?;
        if tag == wanted {
            return Ok(Some(value));
        }
        let padded = value.len() + (4 - length % 4) % 4;
        // A frame's length may leave out the padding of its last parameter.
        body = rest.get(padded..).unwrap_or_default();
    }
    Ok(None)
}

fn u32_parameter(body: &[u8], tag: u16) -> Result<Option<u32>, FrameError> {
    match find_parameter(body, tag)? {
        Some(value) => {
            let octets = value.try_into().map_err(|_| FrameError::Parameter { tag })?;
            Ok(Some(u32::from_be_bytes(octets)))
        }
        None => Ok(None),
    }
}

fn protocol_data(body: &[u8]) -> Result<ProtocolData<'_>, FrameError> {
    // A network appearance and a routing context may precede the protocol data; both are ignored.
    let value = find_parameter(body, PROTOCOL_DATA)?.ok_or(FrameError::NoData)?;
    let Some((head, user)) = value.split_first_chunk::<12>() else {
        return Err(FrameError::Parameter { tag: PROTOCOL_DATA });
    };
    let [a, b, c, d, e, f, g, h, service, network, priority, sls] = *head;
    Ok(ProtocolData {
        opc: u32::from_be_bytes([a, b, c, d]),
        dpc: u32::from_be_bytes([e, f, g, h]),
        service,
        network,
        priority,
        sls,
        user,
    })
}

/// Splits a stream into frames. Buffers at most the octets of the last push and one unfinished frame.
#[derive(Debug, Default)]
pub struct Deframer {
    buffer: Vec<u8>,
    /// Octets at the front of `buffer` that were already returned as frames.
    consumed: usize,
}

impl Deframer {
    /// Appends received octets and discards those already returned as frames.
    pub fn push(&mut self, octets: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(octets);
    }

    /// The next whole frame; `None` if it has not been received in full. After an error the stream can't be read any
    /// further, since the start of the next frame is unknown.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let Some([version, _, _, _, a, b, c, d]) = rest.first_chunk::<HEADER_OCTETS>().copied() else {
            // Reports a wrong version at once: invalid input may be shorter than a header.
            return match rest.first() {
                Some(version) if *version != 1 => Err(FrameError::Version(*version)),
                _ => Ok(None),
            };
        };
        if version != 1 {
            return Err(FrameError::Version(version));
        }
        let declared_length = u32::from_be_bytes([a, b, c, d]);
        let length = declared_length as usize;
        if !(HEADER_OCTETS..=MAX_FRAME_OCTETS).contains(&length) || !length.is_multiple_of(4) {
            return Err(FrameError::Length(declared_length));
        }
        if rest.len() < length {
            return Ok(None);
        }
        let start = self.consumed;
        self.consumed += length;
        Ok(Some(&self.buffer[start..self.consumed]))
    }
}
