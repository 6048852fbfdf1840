//! SIP (RFC 3261) as the operators' callers speak it over TCP: octets to requests and responses and back.
//!
//! No I/O. Everything that comes is bounded: a message has at most [`MAX_MESSAGE_OCTETS`] octets, says its length exactly once, and
//! what it is short of or has too much of is told with the status that answers it. The header block is httparse's.

use std::fmt::Write;

use thiserror::Error;

/// Octets that a message may have, its body included.
pub const MAX_MESSAGE_OCTETS: usize = 16 << 10;
const MOST_HEADERS: usize = 64;

/// Why the stream can't be cut into messages any more: the connection is of no use.
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
    /// The status of the response that says so (RFC 3261, 21.4).
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

/// One message, as it lies in the octets that came.
#[derive(Debug)]
pub struct Message<'a> {
    pub start: StartLine<'a>,
    headers: Vec<(&'a str, &'a str)>,
    pub body: &'a [u8],
}

impl<'a> Message<'a> {
    /// The value of a header, whatever the case of its name; of several the first.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| *value)
    }

    pub fn headers(&self, name: &str) -> impl Iterator<Item = &'a str> {
        self.headers
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| *value)
    }

    /// The number and the method in `CSeq`.
    pub fn cseq(&self) -> Option<(u32, &'a str)> {
        let mut words = self.header("CSeq")?.split_ascii_whitespace();
        Some((words.next()?.parse().ok()?, words.next()?))
    }

    /// The user part of a request's `sip:` address.
    pub fn user(&self) -> Option<&'a str> {
        let StartLine::Request { uri, .. } = self.start else { return None };
        uri.strip_prefix("sip:")?.split_once('@').map(|(user, _)| user)
    }
}

/// Cuts what comes on a connection into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    held: Vec<u8>,
    /// Octets of `held` that were handed out.
    done: usize,
    /// Up to where no end of a header block was found.
    searched: usize,
}

impl Decoder {
    /// Takes what came. What waits to be cut is bounded by the reader: one read, and one message half come.
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
        // Empty lines between messages keep connections alive (RFC 5626).
        while self.held.get(self.done).is_some_and(|octet| matches!(octet, b'\r' | b'\n')) {
            self.done += 1;
        }
        let Some((head, length)) = self.measure()? else {
            if !self.has_partial() {
                self.held = Vec::new();
                (self.done, self.searched) = (0, 0);
            }
            return Ok(None);
        };
        let start = self.done;
        self.done += head + length;
        self.searched = 0;
        let message = &self.held[start..self.done];
        read(&message[..head], &message[head..]).map(Some)
    }

    /// Octets of the next message's head and body, once all have come.
    fn measure(&mut self) -> Result<Option<(usize, usize)>, DecodeError> {
        let rest = &self.held[self.done..];
        let from = self.searched.min(rest.len());
        let Some(end) = rest[from..].windows(4).position(|four| four == b"\r\n\r\n") else {
            self.searched = rest.len().saturating_sub(3);
            let line = rest.iter().position(|octet| *octet == b'\n');
            // Noise is told as soon as its first line shows it.
            match line {
                Some(line) => drop(start_line(&rest[..line])?),
                None if rest.len() > 512 => return Err(DecodeError::StartLine),
                None => {}
            }
            return if rest.len() > MAX_MESSAGE_OCTETS { Err(DecodeError::TooLong) } else { Ok(None) };
        };
        let head = from + end + 4;
        self.searched = from + end;
        if head > MAX_MESSAGE_OCTETS {
            return Err(DecodeError::TooLong);
        }
        let length = length(&headers(&rest[..head])?)?;
        if head + length > MAX_MESSAGE_OCTETS {
            return Err(DecodeError::TooLong);
        }
        Ok((rest.len() >= head + length).then_some((head, length)))
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

/// The headers of a head, its start line passed over.
fn headers(head: &[u8]) -> Result<Vec<(&str, &str)>, DecodeError> {
    let line = head.iter().position(|octet| *octet == b'\n').ok_or(DecodeError::StartLine)?;
    start_line(&head[..line])?;
    let mut room = [httparse::EMPTY_HEADER; MOST_HEADERS];
    match httparse::parse_headers(&head[line + 1..], &mut room) {
        Ok(httparse::Status::Complete((_, headers))) => headers
            .iter()
            .map(|header| {
                Ok((header.name, std::str::from_utf8(header.value).map_err(|_| DecodeError::Headers)?))
            })
            .collect(),
        _ => Err(DecodeError::Headers),
    }
}

fn length(headers: &[(&str, &str)]) -> Result<usize, DecodeError> {
    let mut all = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
    match (all.next(), all.next()) {
        (Some((_, text)), None) if !text.is_empty() && text.bytes().all(|octet| octet.is_ascii_digit()) => {
            // A length that does not fit a word is too long all the more.
            Ok(text.parse().unwrap_or(usize::MAX / 2))
        }
        _ => Err(DecodeError::Length),
    }
}

fn read<'a>(head: &'a [u8], body: &'a [u8]) -> Result<Message<'a>, DecodeError> {
    let line = head.iter().position(|octet| *octet == b'\n').ok_or(DecodeError::StartLine)?;
    Ok(Message { start: start_line(&head[..line])?, headers: headers(head)?, body })
}

/// The usual words for a status.
fn reason(status: u16) -> &'static str {
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

/// Writes a response.
pub fn encode_response(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    encode(out, &format!("SIP/2.0 {status} {}", reason(status)), headers, body);
}

/// Writes a message: its start line, its headers in order, its length and its body.
pub fn encode(out: &mut Vec<u8>, start: &str, headers: &[(&str, &str)], body: &[u8]) {
    let mut head = String::with_capacity(256);
    head.push_str(start);
    head.push_str("\r\n");
    for (name, value) in headers {
        // Writing to a string does not fail.
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

    fn cut(octets: &[u8]) -> Result<usize, DecodeError> {
        let mut decoder = Decoder::default();
        decoder.push(octets);
        let mut count = 0;
        while decoder.next_message()?.is_some() {
            count += 1;
        }
        Ok(count)
    }

    #[test]
    fn a_set_up_is_read_octet_by_octet_as_at_once() {
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
            "an empty line is no half message"
        );
        assert_eq!(cut(&[INVITE, INVITE, &INVITE[..9]].concat()), Ok(2));
    }

    #[test]
    fn lengths_and_lines_that_make_no_sense_are_told_apart() {
        let with = |length: &str| {
            let head = format!("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: a\r\n{length}\r\n");
            cut(head.as_bytes())
        };
        assert_eq!(with("Content-Length: 0\r\n"), Ok(1));
        for wrong in [
            "",
            "Content-Length: -1\r\n",
            "Content-Length: 0\r\nContent-Length: 0\r\n",
            "Content-Length: x\r\n",
        ] {
            assert_eq!(with(wrong), Err(DecodeError::Length), "{wrong}");
        }
        for huge in ["16384", "60000000", "99999999999999999999999999"] {
            assert_eq!(with(&format!("Content-Length: {huge}\r\n")), Err(DecodeError::TooLong), "{huge}");
        }
        assert_eq!(cut(b"GET / HTTP/1.1\r\n"), Err(DecodeError::StartLine));
        assert_eq!(cut(&[b'x'; 600]), Err(DecodeError::StartLine));
        let endless = [&b"OPTIONS sip:ping@net SIP/2.0\r\n"[..], &b"A: b\r\n".repeat(3000)].concat();
        assert_eq!(cut(&endless), Err(DecodeError::TooLong));
    }

    #[test]
    fn what_is_written_is_read_again() {
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
