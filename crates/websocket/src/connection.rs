//! An open connection, of the server or the client: receiving and sending messages, and the closing handshake.

use std::io::{self, Read, Write};

use tungstenite::error::CapacityError;
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::protocol::{CloseFrame, Role, WebSocketConfig, WebSocketContext};
use tungstenite::{Error, Message};

use crate::close;

/// Something received on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WebSocketEvent {
    Text(String),
    /// A ping, which is answered, or a pong: the other side is alive.
    PingOrPong,
}

/// How a connection ended. Nothing is received or sent afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CloseInfo {
    /// The code of the side that began to close. [`close::NORMAL`] if the far end gave none.
    pub code: u16,
    pub reason: String,
    /// Whether the far end began to close.
    pub by_far_end: bool,
}

/// One side of a connection. Buffers one incomplete message of bounded length, and the output that its owner has not taken yet.
#[derive(Debug)]
pub struct WebSocketConnection {
    context: WebSocketContext,
    output: Vec<u8>,
    /// Octets received after the handshake in the same read.
    early_octets: Vec<u8>,
    /// Set once this side has sent a close frame.
    close_sent: Option<CloseInfo>,
    /// Set once the connection has ended.
    close_info: Option<CloseInfo>,
}

/// The in-memory stream that tungstenite reads from and writes to.
struct Stream<'a> {
    input: &'a [u8],
    output: &'a mut Vec<u8>,
}

impl Read for Stream<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.input.read(buf)? {
            0 => Err(io::ErrorKind::WouldBlock.into()),
            count => Ok(count),
        }
    }
}

impl Write for Stream<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.output.extend_from_slice(buf);
        Ok(buf.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl WebSocketConnection {
    pub(crate) fn server(output: Vec<u8>, early_octets: Vec<u8>, max_text_octets: usize) -> Self {
        Self::new(Role::Server, output, early_octets, max_text_octets)
    }

    pub(crate) fn client(early_octets: Vec<u8>, max_text_octets: usize) -> Self {
        Self::new(Role::Client, Vec::new(), early_octets, max_text_octets)
    }

    fn new(role: Role, output: Vec<u8>, early_octets: Vec<u8>, max_text_octets: usize) -> Self {
        // A small read buffer, because thousands of connections are idle at a time. Output is written to memory and needs no buffer.
        let config = WebSocketConfig::default()
            .read_buffer_size(1 << 10)
            .write_buffer_size(0)
            .max_message_size(Some(max_text_octets))
            .max_frame_size(Some(max_text_octets));
        Self {
            context: WebSocketContext::new(role, Some(config)),
            output,
            early_octets,
            close_sent: None,
            close_info: None,
        }
    }

    /// The octets to send. The owner takes them out.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// How the connection ended, if it has.
    pub fn close_info(&self) -> Option<&CloseInfo> {
        self.close_info.as_ref()
    }

    /// Processes received octets. To be called once without octets after the handshake, to process those that followed it.
    pub fn on_octets(&mut self, octets: &[u8], on_event: &mut dyn FnMut(WebSocketEvent)) {
        let early_octets = std::mem::take(&mut self.early_octets);
        let mut parts = [early_octets.as_slice(), octets].into_iter().filter(|part| !part.is_empty());
        while self.close_info.is_none()
            && let Some(octets) = parts.next()
        {
            self.process(octets, on_event);
        }
    }

    fn process(&mut self, octets: &[u8], on_event: &mut dyn FnMut(WebSocketEvent)) {
        let mut stream = Stream { input: octets, output: &mut self.output };
        let error = loop {
            match self.context.read(&mut stream) {
                // This side is closing and ignores further messages.
                Ok(Message::Text(_) | Message::Binary(_)) if self.close_sent.is_some() => {}
                Ok(Message::Text(text)) => on_event(WebSocketEvent::Text(text.as_str().to_string())),
                Ok(Message::Ping(_) | Message::Pong(_)) => on_event(WebSocketEvent::PingOrPong),
                Ok(Message::Binary(_)) => {
                    break Some((close::UNSUPPORTED, "only texts are understood".to_string()));
                }
                Ok(Message::Close(frame)) => {
                    let (code, reason) = match frame {
                        Some(frame) => (frame.code.into(), frame.reason.as_str().to_string()),
                        None => (close::NORMAL, String::new()),
                    };
                    let received = CloseInfo { code, reason, by_far_end: true };
                    self.close_info = Some(self.close_sent.take().unwrap_or(received));
                    // Sends the close frame that answers it.
                    let _ = self.context.flush(&mut stream);
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
        if let Some((code, reason)) = error {
            self.close(code, &reason);
            // Input after a protocol error can't be interpreted, so the connection ends without waiting for the answer.
            self.close_info = self.close_sent.take();
        }
    }

    pub fn send_text(&mut self, text: &str) {
        self.write(Message::text(text));
    }

    pub fn ping(&mut self) {
        self.write(Message::Ping(Vec::new().into()));
    }

    fn write(&mut self, message: Message) {
        if self.close_info.is_none() && self.close_sent.is_none() {
            let mut stream = Stream { input: &[], output: &mut self.output };
            // Writing to memory fails only once the connection is closing, and then nothing more is sent.
            let _ = self.context.write(&mut stream, message).and_then(|()| self.context.flush(&mut stream));
        }
    }

    /// Starts the closing handshake. The connection has ended once the far end answers.
    pub fn close(&mut self, code: u16, reason: &str) {
        if self.close_info.is_some() || self.close_sent.is_some() {
            return;
        }
        // The payload of a control frame has at most 125 octets, two of them for the code (clause 5.5).
        let length =
            (0..=reason.len().min(123)).rev().find(|length| reason.is_char_boundary(*length)).unwrap_or(0);
        let reason = reason[..length].to_string();
        let frame = CloseFrame { code: CloseCode::from(code), reason: reason.as_str().into() };
        let mut stream = Stream { input: &[], output: &mut self.output };
        let _ = self.context.close(&mut stream, Some(frame));
        self.close_sent = Some(CloseInfo { code, reason, by_far_end: false });
    }

    /// Whether the connection is closing or has ended.
    pub fn is_closing(&self) -> bool {
        self.close_sent.is_some() || self.close_info.is_some()
    }
}
