//! What a controller saw, as lines of a file: one text of JSON each, the first a header with its version.
//!
//! A file may end in the middle of a line (its process was killed), and a controller may have left lines out when they came too
//! fast: both are said, and only the time that was looked at counts. A file of a newer version is not read.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version written, and the newest that is read.
pub const VERSION: u32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    pub mintstall_capture: u32,
    pub exchange: u16,
    /// Milliseconds since 1970.
    pub begun_ms: u64,
}

/// One thing seen; `t`: milliseconds since the file was begun. Short names: there are some for each call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "k", rename_all = "snake_case")]
pub enum Record {
    /// A caller's try: its number here, where to, its type; whether it is a redial, or comes again after a cut.
    Offer {
        t: u64,
        call: u64,
        dest: u16,
        kind: u8,
        #[serde(default)]
        redial: bool,
        #[serde(default)]
        cut: bool,
    },
    Stands {
        t: u64,
        call: u64,
    },
    /// It did not come to stand.
    Not {
        t: u64,
        call: u64,
    },
    /// A standing call ended.
    Ended {
        t: u64,
        call: u64,
    },
    /// Nothing was written since then.
    Gap {
        t: u64,
        since: u64,
    },
    /// Everything until now is written: the last line of a file that was closed.
    Closed {
        t: u64,
    },
}

impl Record {
    pub fn at(&self) -> u64 {
        match self {
            Self::Offer { t, .. }
            | Self::Stands { t, .. }
            | Self::Not { t, .. }
            | Self::Ended { t, .. }
            | Self::Gap { t, .. }
            | Self::Closed { t } => *t,
        }
    }
}

#[derive(Debug, Error)]
pub enum CallLogError {
    #[error("line 1: is no header of a capture: {0}")]
    Header(String),
    #[error("line 1: version {0} is newer than {VERSION}, the newest read here")]
    Newer(u32),
    #[error("line {line}: {why}")]
    Line { line: usize, why: String },
}

/// A file that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct CallLog {
    pub header: Header,
    pub records: Vec<Record>,
    /// Whether it ends with its last line; otherwise its process was killed, and what it saw last is missing.
    pub complete: bool,
}

/// Reads a file's text. `parse` and the errors name lines from 1.
pub fn read(
    text: &str,
    parse: impl Fn(&str) -> Result<Record, String>,
    header: Result<Header, String>,
) -> Result<CallLog, CallLogError> {
    let header = header.map_err(CallLogError::Header)?;
    if header.mintstall_capture > VERSION {
        return Err(CallLogError::Newer(header.mintstall_capture));
    }
    let ends = text.ends_with('\n');
    let lines: Vec<&str> = text.lines().collect();
    let (mut records, mut last) = (Vec::new(), 0);
    for (at, line) in lines.iter().enumerate().skip(1) {
        match parse(line) {
            Ok(one) if one.at() < last => {
                return Err(CallLogError::Line {
                    line: at + 1,
                    why: "its time is before that of the line above".into(),
                });
            }
            Ok(one) => {
                last = one.at();
                records.push(one);
            }
            // Cut in the middle by the end of its process.
            Err(_) if at + 1 == lines.len() && !ends => {}
            Err(why) => return Err(CallLogError::Line { line: at + 1, why }),
        }
    }
    let complete = matches!(records.last(), Some(Record::Closed { .. }));
    Ok(CallLog { header, records, complete })
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEADER: Header = Header { mintstall_capture: 1, exchange: 3, begun_ms: 5 };

    /// A plain form of the lines, for the tests of this file: kind and time.
    fn parse(line: &str) -> Result<Record, String> {
        let (kind, t) = line.split_once(' ').ok_or("no space")?;
        let t = t.parse().map_err(|error| format!("{error}"))?;
        match kind {
            "closed" => Ok(Record::Closed { t }),
            "stands" => Ok(Record::Stands { t, call: 1 }),
            other => Err(format!("no kind {other}")),
        }
    }

    #[test]
    fn a_file_cut_in_the_middle_is_read_up_to_there_and_said() {
        let whole = read("header\nstands 4\nclosed 9\n", parse, Ok(HEADER)).unwrap();
        assert_eq!((whole.records.len(), whole.complete), (2, true));
        let cut = read("header\nstands 4\nsta", parse, Ok(HEADER)).unwrap();
        assert_eq!((cut.records.len(), cut.complete), (1, false));
    }

    #[test]
    fn what_makes_no_sense_is_named_by_its_line() {
        let error = |text: &str| read(text, parse, Ok(HEADER)).unwrap_err().to_string();
        assert_eq!(error("header\nnonsense 3\nclosed 9\n"), "line 2: no kind nonsense");
        assert_eq!(
            error("header\nstands 4\nstands 3\n"),
            "line 3: its time is before that of the line above"
        );
        let newer = Header { mintstall_capture: 2, ..HEADER };
        assert!(matches!(read("header\n", parse, Ok(newer)), Err(CallLogError::Newer(2))));
    }
}
