//! Decoder of the event bus: numbered lines with changes of the list of exchanges.
//!
//! Repeated lines are skipped and a gap is requested again. An unreadable line costs the connection, but the list of
//! exchanges that is held stays.

use std::net::SocketAddr;

use mintstall_callapi::LineDecoder;
use serde::Deserialize;
use thiserror::Error;

/// Room for a full list of a thousand exchanges.
pub const MAX_LINE_OCTETS: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    InService,
    Terminating,
    Terminated,
}

/// One exchange as it stands on the bus.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Target {
    pub uid: Box<str>,
    pub endpoint: SocketAddr,
    #[serde(default)]
    pub az: String,
    pub pod_group: u16,
    pub state: TargetState,
    /// When the exchange was started, if it started late: milliseconds since the Unix epoch; else 0.
    #[serde(default)]
    pub boot_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Topology {
    /// Whether this is the full list of exchanges; if not, it holds those that have changed.
    #[serde(rename = "all", default)]
    pub is_full: bool,
    pub targets: Vec<Target>,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Event {
    pub offset: u64,
    /// None for events of other kinds.
    pub topology: Option<Topology>,
}

#[derive(Debug, Error)]
pub enum DecodeError {
    #[error("line longer than {MAX_LINE_OCTETS} octets")]
    TooLong,
    #[error("unreadable line: {0}")]
    Line(String),
    #[error("gap: event {received} received after {last_offset}")]
    Gap { last_offset: u64, received: u64 },
}

/// Decodes the events of the bus and detects gaps.
#[derive(Debug)]
pub struct EventDecoder {
    /// Offset of the last event that was handed on.
    last_offset: u64,
    lines: LineDecoder,
    /// `last_offset` when a gap was last reported. If the bus shows a gap again after a request from there, the missing
    /// events can't be had any more.
    requested_from: Option<u64>,
}

impl EventDecoder {
    pub fn new(last_offset: u64) -> Self {
        Self { last_offset, lines: LineDecoder::new(MAX_LINE_OCTETS), requested_from: None }
    }

    pub fn last_offset(&self) -> u64 {
        self.last_offset
    }

    /// The line that requests all events after the last one. A partial line of the former connection is dropped.
    pub fn resume_request(&mut self) -> String {
        self.lines = LineDecoder::new(MAX_LINE_OCTETS);
        format!("from {}\n", self.last_offset)
    }

    /// Decodes received octets and hands on each new event.
    pub fn decode(&mut self, octets: &[u8], mut on_event: impl FnMut(Event)) -> Result<(), DecodeError> {
        let mut lines = std::mem::replace(&mut self.lines, LineDecoder::new(MAX_LINE_OCTETS));
        lines.push(octets);
        while let Some(line) = lines.next().map_err(|_| DecodeError::TooLong)? {
            self.decode_line(line.trim_ascii(), &mut on_event)?;
        }
        self.lines = lines;
        Ok(())
    }

    fn decode_line(&mut self, line: &[u8], on_event: &mut impl FnMut(Event)) -> Result<(), DecodeError> {
        let unreadable = |error: &dyn std::fmt::Display| DecodeError::Line(error.to_string());
        if line.is_empty() {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_digit) {
            // The bus's pulse: the offset of its last event. A higher one than here means that events were missed.
            let text = std::str::from_utf8(line).map_err(|error| unreadable(&error))?;
            let received: u64 = text.parse().map_err(|error| unreadable(&error))?;
            return if received > self.last_offset { self.gap(received).map_or(Ok(()), Err) } else { Ok(()) };
        }
        let event: Event = serde_json::from_slice(line).map_err(|error| unreadable(&error))?;
        if event.offset <= self.last_offset {
            return Ok(());
        }
        if event.offset > self.last_offset.saturating_add(1)
            && let Some(gap) = self.gap(event.offset)
        {
            return Err(gap);
        }
        self.last_offset = event.offset;
        on_event(event);
        Ok(())
    }

    /// The error for a gap, or none if the bus shows the same gap after a request for the missing events.
    fn gap(&mut self, received: u64) -> Option<DecodeError> {
        let requested_before = self.requested_from.replace(self.last_offset) == Some(self.last_offset);
        (!requested_before).then_some(DecodeError::Gap { last_offset: self.last_offset, received })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(offset: u64, state: &str) -> String {
        format!(
            r#"{{"offset":{offset},"topology":{{"rev":7,"all":false,"targets":[{{"uid":"s-1","endpoint":"10.1.0.9:3868","az":"east","model":"std","pod_group":2,"state":"{state}","capacity_hint":4,"boot_ms":0}}]}}}}"#
        ) + "\n"
    }

    fn decoded(bus: &mut EventDecoder, text: &str) -> Vec<u64> {
        let mut offsets = Vec::new();
        bus.decode(text.as_bytes(), |event| offsets.push(event.offset)).unwrap();
        offsets
    }

    #[test]
    fn repeated_lines_are_skipped_and_partial_lines_are_dropped_on_reconnect() {
        let mut bus = EventDecoder::new(3);
        let (four, five) = (line(4, "in_service"), line(5, "terminating"));
        assert_eq!(decoded(&mut bus, &format!("{four}{four}4\n{}", &five[..30])), [4]);
        assert_eq!(bus.resume_request(), "from 4\n");
        assert_eq!(decoded(&mut bus, &format!("{four}{five}5\n\n")), [5]);
        assert_eq!(bus.last_offset(), 5);
    }

    #[test]
    fn a_gap_is_requested_once_and_accepted_if_it_remains() {
        let mut bus = EventDecoder::new(3);
        let six = line(6, "in_service");
        assert!(matches!(
            bus.decode(six.as_bytes(), |_| ()),
            Err(DecodeError::Gap { last_offset: 3, received: 6 })
        ));
        assert_eq!(bus.resume_request(), "from 3\n");
        assert_eq!(decoded(&mut bus, &six), [6]);
        assert!(bus.decode(b"9\n", |_| ()).is_err(), "the pulse shows the gap, too");
    }

    #[test]
    fn an_unreadable_line_changes_nothing() {
        let mut bus = EventDecoder::new(3);
        for invalid in ["{\"offset\":4,\n", "nonsense\n", &line(4, "in_doubt"), "99999999999999999999999\n"] {
            let result = bus.decode(invalid.as_bytes(), |_| panic!("no event is handed on"));
            assert!(matches!(result, Err(DecodeError::Line(_))), "{invalid}");
            assert_eq!(bus.resume_request(), "from 3\n");
        }
        assert!(matches!(bus.decode(&vec![b'x'; MAX_LINE_OCTETS + 1], |_| ()), Err(DecodeError::TooLong)));
    }
}
