//! An open connection, either end: what is heard, what is to be written, and how it closes.

use std::io::{self, Read, Write};

use tungstenite::error::CapacityError;
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::protocol::{CloseFrame, Role, WebSocketConfig, WebSocketContext};
use tungstenite::{Error, Message};

use crate::close;

/// What an end hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WebSocketEvent {
    Text(String),
    /// A pong, or a ping, which is answered: the far end lives.
    PingOrPong,
}

/// How a connection has come to its end; nothing is heard or said after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CloseInfo {
    /// The code that the far end gave, or that it was given; [`close::NORMAL`] where it gave none.
    pub code: u16,
    pub reason: String,
    /// Whether the far end began it.
    pub by_far_end: bool,
}

/// One end of a connection. Holds one unfinished message of bounded length, and what its owner has not taken to write.
#[derive(Debug)]
pub struct WebSocketConnection {
    context: WebSocketContext,
    out: Vec<u8>,
    /// What came with the handshake.
    early: Vec<u8>,
    said_why: Option<CloseInfo>,
    ended: Option<CloseInfo>,
}

/// What the library reads from and writes to.
struct Pipe<'a> {
    octets: &'a [u8],
    out: &'a mut Vec<u8>,
}

impl Read for Pipe<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.octets.read(buf)? {
            0 => Err(io::ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }
}

impl Write for Pipe<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.out.extend_from_slice(buf);
        Ok(buf.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl WebSocketConnection {
    pub(crate) fn server(out: Vec<u8>, early: Vec<u8>, max_text_octets: usize) -> Self {
        Self::new(Role::Server, out, early, max_text_octets)
    }

    pub(crate) fn client(early: Vec<u8>, max_text_octets: usize) -> Self {
        Self::new(Role::Client, Vec::new(), early, max_text_octets)
    }

    fn new(role: Role, out: Vec<u8>, early: Vec<u8>, max_text_octets: usize) -> Self {
        // Small: thousands of ends lie idle at a time. What is written goes to memory, and needs no buffer before it.
        let config = WebSocketConfig::default()
            .read_buffer_size(1 << 10)
            .write_buffer_size(0)
            .max_message_size(Some(max_text_octets))
            .max_frame_size(Some(max_text_octets));
        Self { context: WebSocketContext::new(role, Some(config)), out, early, said_why: None, ended: None }
    }

    /// What is to be written now; its owner takes it.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    pub fn close_info(&self) -> Option<&CloseInfo> {
        self.ended.as_ref()
    }

    /// Octets that came; after a handshake once with none, for what came with it.
    pub fn on_octets(&mut self, octets: &[u8], hear: &mut dyn FnMut(WebSocketEvent)) {
        let early = std::mem::take(&mut self.early);
        let mut parts = [early.as_slice(), octets].into_iter().filter(|part| !part.is_empty());
        while self.ended.is_none()
            && let Some(octets) = parts.next()
        {
            self.read(octets, hear);
        }
    }

    fn read(&mut self, octets: &[u8], hear: &mut dyn FnMut(WebSocketEvent)) {
        let mut pipe = Pipe { octets, out: &mut self.out };
        let fault = loop {
            match self.context.read(&mut pipe) {
                // Told why it closes already: what still comes is not wanted.
                Ok(Message::Text(_) | Message::Binary(_)) if self.said_why.is_some() => {}
                Ok(Message::Text(text)) => hear(WebSocketEvent::Text(text.as_str().to_string())),
                Ok(Message::Ping(_) | Message::Pong(_)) => hear(WebSocketEvent::PingOrPong),
                Ok(Message::Binary(_)) => {
                    break Some((close::UNSUPPORTED, "only texts are understood".to_string()));
                }
                Ok(Message::Close(frame)) => {
                    let (code, reason) = match frame {
                        Some(frame) => (frame.code.into(), frame.reason.as_str().to_string()),
                        None => (close::NORMAL, String::new()),
                    };
                    let heard = CloseInfo { code, reason, by_far_end: true };
                    self.ended = Some(self.said_why.take().unwrap_or(heard));
                    // Its answer goes out with this.
                    let _ = self.context.flush(&mut pipe);
                    return;
                }
                Ok(Message::Frame(_)) => {}
                Err(Error::Io(error)) if error.kind() == io::ErrorKind::WouldBlock => break None,
                Err(Error::Capacity(CapacityError::MessageTooLong { size, max_size })) => {
                    break Some((close::TOO_BIG, format!("{size} octets are more than {max_size}")));
                }
                Err(Error::Utf8(_)) => break Some((close::NOT_UTF8, "not UTF-8".into())),
                Err(error) => break Some((close::PROTOCOL, error.to_string())),
            }
        };
        if let Some((code, reason)) = fault {
            self.close(code, &reason);
            // What follows a fault can't be made sense of: no answer is waited for.
            self.ended = self.said_why.take();
        }
    }

    pub fn send_text(&mut self, text: &str) {
        self.write(Message::text(text));
    }

    pub fn ping(&mut self) {
        self.write(Message::Ping(Vec::new().into()));
    }

    fn write(&mut self, message: Message) {
        if self.ended.is_none() && self.said_why.is_none() {
            let mut pipe = Pipe { octets: &[], out: &mut self.out };
            // Into memory; it fails only once the connection is closing, when nothing more is said.
            let _ = self.context.write(&mut pipe, message).and_then(|()| self.context.flush(&mut pipe));
        }
    }

    /// Begins to close; it has ended once the far end answers.
    pub fn close(&mut self, code: u16, reason: &str) {
        if self.ended.is_some() || self.said_why.is_some() {
            return;
        }
        // A control frame carries 125 octets, two of them the code (clause 5.5).
        let cut = (0..=reason.len().min(123)).rev().find(|at| reason.is_char_boundary(*at)).unwrap_or(0);
        let reason = reason[..cut].to_string();
        let frame = CloseFrame { code: CloseCode::from(code), reason: reason.as_str().into() };
        let mut pipe = Pipe { octets: &[], out: &mut self.out };
        let _ = self.context.close(&mut pipe, Some(frame));
        self.said_why = Some(CloseInfo { code, reason, by_far_end: false });
    }

    /// Whether it has begun to close.
    pub fn is_closing(&self) -> bool {
        self.said_why.is_some() || self.ended.is_some()
    }
}
