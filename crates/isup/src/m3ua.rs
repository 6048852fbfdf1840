//! M3UA frames (RFC 4666 clause 3) on a stream of bytes, and their cutting.
//!
//! In service M3UA runs over SCTP; here each frame stands on TCP by its own length field, our stated substitution.

use thiserror::Error;

/// What a stream carried that is no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    #[error("frame: version {0}, want 1")]
    Version(u8),
    #[error("frame: length {0} is not within {least} to {most} octets, by fours", least = HEADER, most = MAX_FRAME_LENGTH)]
    Length(u32),
    #[error("frame: parameter {tag:#06x} is cut short")]
    Parameter { tag: u16 },
    #[error("frame: DATA without protocol data")]
    NoData,
}

const HEADER: usize = 8;
/// Octets of the longest frame taken: an ISUP message has at most 272 (Q.704), the rest is parameters.
pub const MAX_FRAME_LENGTH: usize = 1024;

const ERROR_CODE: u16 = 0x000c;
const ASP_IDENTIFIER: u16 = 0x0011;
const HEARTBEAT_DATA: u16 = 0x0009;
const PROTOCOL_DATA: u16 = 0x0210;

/// Service indicator of ISUP (Q.704 clause 14.2.1).
pub const ISUP: u8 = 5;

/// A signalling unit as MTP3 would carry it (RFC 4666 clause 3.3.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolData<'a> {
    /// Originating and destination point codes.
    pub opc: u32,
    pub dpc: u32,
    /// Service indicator, network indicator, message priority, signalling link selection.
    pub service: u8,
    pub network: u8,
    pub priority: u8,
    pub sls: u8,
    pub user: &'a [u8],
}

/// One frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frame<'a> {
    /// The far end's process is up and says which it is.
    AspUp {
        asp: Option<u32>,
    },
    AspUpAck {
        asp: Option<u32>,
    },
    AspDown,
    AspDownAck,
    /// It takes traffic from now on.
    AspActive,
    AspActiveAck,
    AspInactive,
    AspInactiveAck,
    Heartbeat(&'a [u8]),
    HeartbeatAck(&'a [u8]),
    Data(ProtocolData<'a>),
    /// The far end could not make use of a frame (clause 3.8.1).
    Error {
        code: u32,
    },
    /// Any other, passed over.
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
    fn kind(&self) -> (u8, u8) {
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
        let (class, kind) = self.kind();
        out.extend_from_slice(&[1, 0, class, kind, 0, 0, 0, 0]);
        match self {
            Self::AspUp { asp: Some(asp) } | Self::AspUpAck { asp: Some(asp) } => {
                parameter(out, ASP_IDENTIFIER, &[&asp.to_be_bytes()]);
            }
            Self::Heartbeat(data) | Self::HeartbeatAck(data) if !data.is_empty() => {
                parameter(out, HEARTBEAT_DATA, &[data]);
            }
            Self::Error { code } => parameter(out, ERROR_CODE, &[&code.to_be_bytes()]),
            Self::Data(data) => {
                let head = [data.service, data.network, data.priority, data.sls];
                let parts = [&data.opc.to_be_bytes()[..], &data.dpc.to_be_bytes(), &head, data.user];
                parameter(out, PROTOCOL_DATA, &parts);
            }
            _ => {}
        }
        let length = (out.len() - start) as u32;
        out[start + 4..start + 8].copy_from_slice(&length.to_be_bytes());
    }

    /// Reads one whole frame, as [`Deframer::next`] cuts it.
    pub fn read(frame: &'a [u8]) -> Result<Self, FrameError> {
        let (Some(header), Some(body)) = (frame.first_chunk::<HEADER>(), frame.get(HEADER..)) else {
            return Err(FrameError::Length(frame.len() as u32));
        };
        Ok(match (header[2], header[3]) {
            (0, 0) => Self::Error { code: word(body, ERROR_CODE)?.unwrap_or(0) },
            (1, 1) => Self::Data(data(body)?),
            (3, 1) => Self::AspUp { asp: word(body, ASP_IDENTIFIER)? },
            (3, 2) => Self::AspDown,
            (3, 3) => Self::Heartbeat(find(body, HEARTBEAT_DATA)?.unwrap_or_default()),
            (3, 4) => Self::AspUpAck { asp: word(body, ASP_IDENTIFIER)? },
            (3, 5) => Self::AspDownAck,
            (3, 6) => Self::HeartbeatAck(find(body, HEARTBEAT_DATA)?.unwrap_or_default()),
            (4, 1) => Self::AspActive,
            (4, 2) => Self::AspInactive,
            (4, 3) => Self::AspActiveAck,
            (4, 4) => Self::AspInactiveAck,
            (class, kind) => Self::Other { class, kind },
        })
    }
}

/// Tag, length without padding, value, padding to four octets (clause 3.2).
fn parameter(out: &mut Vec<u8>, tag: u16, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.extend_from_slice(&tag.to_be_bytes());
    out.extend_from_slice(&(length as u16).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
    out.resize(out.len() + (4 - length % 4) % 4, 0);
}

fn find(mut body: &[u8], wanted: u16) -> Result<Option<&[u8]>, FrameError> {
    while let [a, b, c, d, rest @ ..] = body {
        let (tag, length) = (u16::from_be_bytes([*a, *b]), usize::from(u16::from_be_bytes([*c, *d])));
        let cut = FrameError::Parameter { tag };
        let value = length.checked_sub(4).and_then(|length| rest.get(..length)).ok_or(cut)?;
        if tag == wanted {
            return Ok(Some(value));
        }
        let padded = value.len() + (4 - length % 4) % 4;
        // The last padding may be missing from a frame whose length leaves it out.
        body = rest.get(padded..).unwrap_or_default();
    }
    Ok(None)
}

fn word(body: &[u8], tag: u16) -> Result<Option<u32>, FrameError> {
    match find(body, tag)? {
        Some(value) => {
            let octets = value.try_into().map_err(|_| FrameError::Parameter { tag })?;
            Ok(Some(u32::from_be_bytes(octets)))
        }
        None => Ok(None),
    }
}

fn data(body: &[u8]) -> Result<ProtocolData<'_>, FrameError> {
    // A network appearance and a routing context may stand before it and are of no use here.
    let value = find(body, PROTOCOL_DATA)?.ok_or(FrameError::NoData)?;
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

/// Cuts frames off a stream. Holds at most what was pushed last and one unfinished frame.
#[derive(Debug, Default)]
pub struct Deframer {
    held: Vec<u8>,
    /// Octets of `held` that were handed out already.
    used: usize,
}

impl Deframer {
    /// More of the stream. What was handed out before is dropped.
    pub fn push(&mut self, octets: &[u8]) {
        self.held.drain(..std::mem::take(&mut self.used));
        self.held.extend_from_slice(octets);
    }

    /// The next whole frame, `None` while it has not all come. After an error the stream can't be used on: where the
    /// next frame starts is not known.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let rest = &self.held[self.used..];
        let Some([version, _, _, _, a, b, c, d]) = rest.first_chunk::<HEADER>().copied() else {
            // A wrong version is told at once: garbage may be shorter than a header.
            return match rest.first() {
                Some(version) if *version != 1 => Err(FrameError::Version(*version)),
                _ => Ok(None),
            };
        };
        if version != 1 {
            return Err(FrameError::Version(version));
        }
        let told = u32::from_be_bytes([a, b, c, d]);
        let length = told as usize;
        if !(HEADER..=MAX_FRAME_LENGTH).contains(&length) || !length.is_multiple_of(4) {
            return Err(FrameError::Length(told));
        }
        if rest.len() < length {
            return Ok(None);
        }
        let start = self.used;
        self.used += length;
        Ok(Some(&self.held[start..self.used]))
    }
}
