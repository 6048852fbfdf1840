//! SIP (RFC 3261) over TCP, as the operators' callers use it: decodes octets to requests and responses, and encodes them.
//!
//! No I/O. Input is bounded: a message has at most [`MAX_MESSAGE_OCTETS`] octets and exactly one Content-Length. A
//! [`DecodeError`] carries the status of the response to an invalid message. `httparse` parses the header block.

use std::fmt::Write;

use thiserror::Error;

/// The maximum length of a message, including its body.
pub const MAX_MESSAGE_OCTETS: usize = 16 << 10;
const MAX_HEADERS: usize = 64;
const MAX_START_LINE_OCTETS: usize = 512;

/// Why the stream can't be decoded. No further message can be found in it, so the connection must be closed. The texts
/// are sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    #[error("a message of more than {MAX_MESSAGE_OCTETS} octets")]
    TooLong,
    #[error("no start line of SIP/2.0")]
    StartLine,
    #[error("headers that can't be read")]
    Headers,
    #[error("Content-Length missing, doubled, or no length")]
    Length,
}

impl DecodeError {
    /// The status of the response that reports the error (RFC 3261, 21.4).
    pub fn status(self) -> u16 {
        match self {
            Self::TooLong => 513,
            _ => 400,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLine<'a> {
    Request { method: &'a str, uri: &'a str },
    Response { status: u16 },
}

/// A message that borrows from the received octets.
#[derive(Debug)]
pub struct Message<'a> {
    pub start: StartLine<'a>,
    headers: Vec<(&'a str, &'a str)>,
    pub body: &'a [u8],
}

impl<'a> Message<'a> {
    /// The value of the first header with this name, in upper or lower case.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name)).map(|(_, value)| *value)
    }

    pub fn headers(&self, name: &str) -> impl Iterator<Item = &'a str> {
        self.headers
            .iter()
            .filter(move |(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| *value)
    }

    /// The sequence number and the method in `CSeq`.
    pub fn cseq(&self) -> Option<(u32, &'a str)> {
        let mut words = self.header("CSeq")?.split_ascii_whitespace();
        Some((words.next()?.parse().ok()?, words.next()?))
    }

    /// The user part of a request's `sip:` URI.
    pub fn user(&self) -> Option<&'a str> {
        let StartLine::Request { uri, .. } = self.start else { return None };
        uri.strip_prefix("sip:")?.split_once('@').map(|(user, _)| user)
    }
}

/// Splits the octets of a connection into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// Octets at the start of `buffer` that have been returned.
    consumed: usize,
    /// Octets after `consumed` that hold no end of a header block.
    searched: usize,
}

impl Decoder {
    /// Adds received octets. If all messages are taken after each push, the buffer holds at most one push and one
    /// incomplete message.
    pub fn push(&mut self, octets: &[u8]) {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(octets);
    }

    /// Whether a message has been received in part.
    pub fn has_partial(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// The next complete message, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Message<'_>>, DecodeError> {
        // Empty lines between messages keep connections alive (RFC 5626).
        while self.buffer.get(self.consumed).is_some_and(|octet| matches!(octet, b'\r' | b'\n')) {
            self.consumed += 1;
        }
        let Some((head_octets, body_octets)) = self.measure()? else {
            if !self.has_partial() {
                self.buffer = Vec::new();
                (self.consumed, self.searched) = (0, 0);
            }
            return Ok(None);
        };
        let start = self.consumed;
        self.consumed += head_octets + body_octets;
        self.searched = 0;
        let message = &self.buffer[start..self.consumed];
        parse(&message[..head_octets], &message[head_octets..]).map(Some)
    }

    /// The lengths of the next message's head and body, once the message is complete.
    fn measure(&mut self) -> Result<Option<(usize, usize)>, DecodeError> {
        let rest = &self.buffer[self.consumed..];
        let from = self.searched.min(rest.len());
        let Some(end) = rest[from..].windows(4).position(|four| four == b"\r\n\r\n") else {
            self.searched = rest.len().saturating_sub(3);
            let line = rest.iter().position(|octet| *octet == b'\n');
            // Input that is not SIP is rejected by its first line, before the header block is complete.
            match line {
                Some(line) => drop(start_line(&rest[..line])?),
                None if rest.len() > MAX_START_LINE_OCTETS => return Err(DecodeError::StartLine),
                None => {}
            }
            return if rest.len() > MAX_MESSAGE_OCTETS { Err(DecodeError::TooLong) } else { Ok(None) };
        };
        let head_octets = from + end + 4;
        self.searched = from + end;
        if head_octets > MAX_MESSAGE_OCTETS {
            return Err(DecodeError::TooLong);
        }
        let body_octets = content_length(&headers(&rest[..head_octets])?)?;
        if head_octets + body_octets > MAX_MESSAGE_OCTETS {
            return Err(DecodeError::TooLong);
        }
        Ok((rest.len() >= head_octets + body_octets).then_some((head_octets, body_octets)))
    }
}

fn start_line(line: &[u8]) -> Result<StartLine<'_>, DecodeError> {
    let line = std::str::from_utf8(line).map_err(|_| DecodeError::StartLine)?.trim_end();
    if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        let status = rest.get(..3).and_then(|status| status.parse().ok());
        return match status {
            Some(status @ 100..=699) => Ok(StartLine::Response { status }),
            _ => Err(DecodeError::StartLine),
        };
    }
    let mut words = line.split(' ');
    match (words.next(), words.next(), words.next(), words.next()) {
        (Some(method), Some(uri), Some("SIP/2.0"), None)
            if !method.is_empty() && method.bytes().all(|octet| octet.is_ascii_uppercase()) =>
        {
            Ok(StartLine::Request { method, uri })
        }
        _ => Err(DecodeError::StartLine),
    }
}

/// The headers of a message head. The start line must be valid but is not returned.
fn headers(head: &[u8]) -> Result<Vec<(&str, &str)>, DecodeError> {
    let line = head.iter().position(|octet| *octet == b'\n').ok_or(DecodeError::StartLine)?;
    start_line(&head[..line])?;
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(&head[line + 1..], &mut storage) {
        Ok(httparse::Status::Complete((_, headers))) => headers
            .iter()
            .map(|header| {
                Ok((header.name, std::str::from_utf8(header.value).map_err(|_| DecodeError::Headers)?))
            })
            .collect(),
        _ => Err(DecodeError::Headers),
    }
}

fn content_length(headers: &[(&str, &str)]) -> Result<usize, DecodeError> {
    let mut lengths = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
    match (lengths.next(), lengths.next()) {
        (Some((_, text)), None) if !text.is_empty() && text.bytes().all(|octet| octet.is_ascii_digit()) => {
            // A length that overflows `usize` is above the limit too. Half of the maximum leaves room for an addition.
            Ok(text.parse().unwrap_or(usize::MAX / 2))
        }
        _ => Err(DecodeError::Length),
    }
}

fn parse<'a>(head: &'a [u8], body: &'a [u8]) -> Result<Message<'a>, DecodeError> {
    let line = head.iter().position(|octet| *octet == b'\n').ok_or(DecodeError::StartLine)?;
    Ok(Message { start: start_line(&head[..line])?, headers: headers(head)?, body })
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        480 => "Temporarily Unavailable",
        481 => "Call/Transaction Does Not Exist",
        482 => "Loop Detected",
        487 => "Request Terminated",
        500 => "Server Internal Error",
        503 => "Service Unavailable",
        513 => "Message Too Large",
        _ => "Answer",
    }
}

/// Appends a response to `out`.
pub fn encode_response(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    encode(out, &format!("SIP/2.0 {status} {}", reason_phrase(status)), headers, body);
}

/// Appends a message to `out`: start line, headers in the given order, Content-Length and body.
pub fn encode(out: &mut Vec<u8>, start: &str, headers: &[(&str, &str)], body: &[u8]) {
    let mut head = String::with_capacity(256);
    head.push_str(start);
    head.push_str("\r\n");
    for (name, value) in headers {
        // Writing to a `String` never fails.
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

#[cfg(test)]
mod tests {
    use super::*;

    const INVITE: &[u8] = b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n\
        Call-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nPriority-Class: voice\r\nContent-Length: 5\r\n\r\nhello";

    fn message_count(octets: &[u8]) -> Result<usize, DecodeError> {
        let mut decoder = Decoder::default();
        decoder.push(octets);
        let mut count = 0;
        while decoder.next_message()?.is_some() {
            count += 1;
        }
        Ok(count)
    }

    #[test]
    fn an_invite_is_decoded_from_single_octets() {
        let mut decoder = Decoder::default();
        for octet in &INVITE[..INVITE.len() - 1] {
            decoder.push(&[*octet]);
            assert!(decoder.next_message().unwrap().is_none() && decoder.has_partial());
        }
        decoder.push(b"o\r\n");
        let message = decoder.next_message().unwrap().unwrap();
        assert_eq!((message.user(), message.cseq()), (Some("7f3a9c21e0b4d655"), Some((1, "INVITE"))));
        assert_eq!((message.header("call-id"), message.body), (Some("9b1f03aa5c7e2d41"), &b"hello"[..]));
        assert!(
            decoder.next_message().unwrap().is_none() && !decoder.has_partial(),
            "an empty line is not a partial message"
        );
        assert_eq!(message_count(&[INVITE, INVITE, &INVITE[..9]].concat()), Ok(2));
    }

    #[test]
    fn invalid_lengths_and_start_lines_have_different_errors() {
        let decode_with = |length: &str| {
            let head = format!("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: a\r\n{length}\r\n");
            message_count(head.as_bytes())
        };
        assert_eq!(decode_with("Content-Length: 0\r\n"), Ok(1));
        for invalid in [
            "",
            "Content-Length: -1\r\n",
            "Content-Length: 0\r\nContent-Length: 0\r\n",
            "Content-Length: x\r\n",
        ] {
            assert_eq!(decode_with(invalid), Err(DecodeError::Length), "{invalid}");
        }
        for huge in ["16384", "60000000", "99999999999999999999999999"] {
            assert_eq!(
                decode_with(&format!("Content-Length: {huge}\r\n")),
                Err(DecodeError::TooLong),
                "{huge}"
            );
        }
        assert_eq!(message_count(b"GET / HTTP/1.1\r\n"), Err(DecodeError::StartLine));
        assert_eq!(message_count(&[b'x'; 600]), Err(DecodeError::StartLine));
        let endless_head = [&b"OPTIONS sip:ping@net SIP/2.0\r\n"[..], &b"A: b\r\n".repeat(3000)].concat();
        assert_eq!(message_count(&endless_head), Err(DecodeError::TooLong));
    }

    #[test]
    fn an_encoded_message_is_decoded_unchanged() {
        let mut out = Vec::new();
        encode(&mut out, "SIP/2.0 503 Service Unavailable", &[("Call-ID", "a"), ("CSeq", "7 INVITE")], b"x");
        let mut decoder = Decoder::default();
        decoder.push(&out);
        let message = decoder.next_message().unwrap().unwrap();
        assert_eq!(
            (message.start, message.cseq()),
            (StartLine::Response { status: 503 }, Some((7, "INVITE")))
        );
        assert_eq!(message.body, b"x");
    }
}
