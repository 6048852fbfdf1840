//! The event bus: numbered lines that tell changes of the list of exchanges.
//!
//! Lines that were seen are passed over, a gap is asked for again, and what can't be read costs the connection, never the
//! list that is held.

use std::net::SocketAddr;

use mintstall_callapi::LineDecoder;
use serde::Deserialize;
use thiserror::Error;

/// Octets that a line may have: a whole list of a thousand exchanges.
pub const LONGEST_LINE: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    InService,
    Terminating,
    Terminated,
}

/// One exchange as the bus tells it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Target {
    pub uid: Box<str>,
    pub endpoint: SocketAddr,
    #[serde(default)]
    pub az: String,
    pub pod_group: u16,
    pub state: TargetState,
    /// Unix milliseconds of a late start, or 0.
    #[serde(default)]
    pub boot_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Topology {
    /// Whether the list is whole; else it holds what has changed.
    #[serde(rename = "all", default)]
    pub is_full: bool,
    pub targets: Vec<Target>,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Event {
    pub offset: u64,
    /// Events of other kinds have none.
    pub topology: Option<Topology>,
}

#[derive(Debug, Error)]
pub enum DecodeError {
    #[error("a line of more than {LONGEST_LINE} octets")]
    TooLong,
    #[error("a line that can't be read: {0}")]
    Line(String),
    #[error("event {came} came after {had}")]
    Gap { had: u64, came: u64 },
}

/// What has come from the bus so far.
#[derive(Debug)]
pub struct EventDecoder {
    /// Number of the last event that was taken.
    last: u64,
    lines: LineDecoder,
    /// A gap that the bus told again just after it was asked from the last number is none that can be filled.
    asked_from: Option<u64>,
}

impl EventDecoder {
    pub fn new(last: u64) -> Self {
        Self { last, lines: LineDecoder::new(LONGEST_LINE), asked_from: None }
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    /// The line that asks for all events behind the last; what had come in part is dropped.
    pub fn resume_request(&mut self) -> String {
        self.lines = LineDecoder::new(LONGEST_LINE);
        format!("from {}\n", self.last)
    }

    /// Takes what came and hands on each new event.
    pub fn decode(&mut self, octets: &[u8], mut each: impl FnMut(Event)) -> Result<(), DecodeError> {
        let mut lines = std::mem::replace(&mut self.lines, LineDecoder::new(LONGEST_LINE));
        lines.push(octets);
        while let Some(line) = lines.next().map_err(|_| DecodeError::TooLong)? {
            self.line(line.trim_ascii(), &mut each)?;
        }
        self.lines = lines;
        Ok(())
    }

    fn line(&mut self, line: &[u8], each: &mut impl FnMut(Event)) -> Result<(), DecodeError> {
        let unreadable = |error: &dyn std::fmt::Display| DecodeError::Line(error.to_string());
        if line.is_empty() {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_digit) {
            // The pulse: a number beyond the last one taken says that events were missed.
            let text = std::str::from_utf8(line).map_err(|error| unreadable(&error))?;
            let came: u64 = text.parse().map_err(|error| unreadable(&error))?;
            return if came > self.last { self.gap(came).map_or(Ok(()), Err) } else { Ok(()) };
        }
        let event: Event = serde_json::from_slice(line).map_err(|error| unreadable(&error))?;
        if event.offset <= self.last {
            return Ok(());
        }
        if event.offset > self.last.saturating_add(1)
            && let Some(gap) = self.gap(event.offset)
        {
            return Err(gap);
        }
        self.last = event.offset;
        each(event);
        Ok(())
    }

    fn gap(&mut self, came: u64) -> Option<DecodeError> {
        let known = self.asked_from.replace(self.last) == Some(self.last);
        (!known).then_some(DecodeError::Gap { had: self.last, came })
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

    fn taken(bus: &mut EventDecoder, text: &str) -> Vec<u64> {
        let mut all = Vec::new();
        bus.decode(text.as_bytes(), |event| all.push(event.offset)).unwrap();
        all
    }

    #[test]
    fn repeats_are_passed_over_and_half_lines_are_dropped_at_a_break() {
        let mut bus = EventDecoder::new(3);
        let (four, five) = (line(4, "in_service"), line(5, "terminating"));
        assert_eq!(taken(&mut bus, &format!("{four}{four}4\n{}", &five[..30])), [4]);
        assert_eq!(bus.resume_request(), "from 4\n");
        assert_eq!(taken(&mut bus, &format!("{four}{five}5\n\n")), [5]);
        assert_eq!(bus.last(), 5);
    }

    #[test]
    fn a_gap_is_asked_for_once_and_what_stays_missing_is_taken_as_it_is() {
        let mut bus = EventDecoder::new(3);
        let six = line(6, "in_service");
        assert!(matches!(bus.decode(six.as_bytes(), |_| ()), Err(DecodeError::Gap { had: 3, came: 6 })));
        assert_eq!(bus.resume_request(), "from 3\n");
        assert_eq!(taken(&mut bus, &six), [6]);
        assert!(bus.decode(b"9\n", |_| ()).is_err(), "the pulse shows a gap too");
    }

    #[test]
    fn a_line_that_cant_be_read_changes_nothing() {
        let mut bus = EventDecoder::new(3);
        for wrong in ["{\"offset\":4,\n", "nonsense\n", &line(4, "in_doubt"), "99999999999999999999999\n"] {
            let taken = bus.decode(wrong.as_bytes(), |_| panic!("nothing was told"));
            assert!(matches!(taken, Err(DecodeError::Line(_))), "{wrong}");
            assert_eq!(bus.resume_request(), "from 3\n");
        }
        assert!(matches!(bus.decode(&vec![b'x'; LONGEST_LINE + 1], |_| ()), Err(DecodeError::TooLong)));
    }
}
