//! The call log of a controller: a file with one JSON text a line, of which the first is a header with the version.
//!
//! A file may end in the middle of a line, if the process was killed. A controller may also have dropped records because they
//! came faster than they could be written. Both can be seen in the log, so that an estimate counts only the time that was
//! observed. A file of a newer version is rejected.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version that is written, and the newest one that is read.
pub const VERSION: u32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    pub mintstall_capture: u32,
    pub exchange: u16,
    /// Start of the file, milliseconds since 1970.
    pub begun_ms: u64,
}

/// One line of a call log. `t` is in milliseconds since the start of the file, `call` is the call's number at this exchange. The
/// names are short because every call takes several lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "k", rename_all = "snake_case")]
pub enum Record {
    /// A try of a caller: a call of type `kind` to exchange `dest`. `redial`: the caller dials again after a failed try. `cut`:
    /// the call was cut while it stood, and the caller sets it up again.
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
    /// The call was answered.
    Stands { t: u64, call: u64 },
    /// The call was not answered.
    #[serde(rename = "not")]
    NotAnswered { t: u64, call: u64 },
    /// A standing call ended.
    Ended { t: u64, call: u64 },
    /// No records were written from `since` to `t`.
    Gap { t: u64, since: u64 },
    /// The file was closed in order; always its last line.
    Closed { t: u64 },
}

impl Record {
    /// Milliseconds since the start of the file.
    pub fn time_ms(&self) -> u64 {
        match self {
            Self::Offer { t, .. }
            | Self::Stands { t, .. }
            | Self::NotAnswered { t, .. }
            | Self::Ended { t, .. }
            | Self::Gap { t, .. }
            | Self::Closed { t } => *t,
        }
    }
}

#[derive(Debug, Error)]
pub enum CallLogError {
    #[error("line 1: not the header of a call log: {0}")]
    Header(String),
    #[error("line 1: version {0} is newer than {VERSION}, the newest supported one")]
    NewerVersion(u32),
    #[error("line {line}: {why}")]
    Line { line: usize, why: String },
}

/// A call log that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct CallLog {
    pub header: Header,
    pub records: Vec<Record>,
    /// Whether the file was closed in order. Otherwise the process was killed, and its last records are missing.
    pub complete: bool,
}

/// Reads the text of a file. `header` is its parsed first line, `parse` parses each further line. Errors count lines from 1.
pub fn read(
    text: &str,
    parse: impl Fn(&str) -> Result<Record, String>,
    header: Result<Header, String>,
) -> Result<CallLog, CallLogError> {
    let header = header.map_err(CallLogError::Header)?;
    if header.mintstall_capture > VERSION {
        return Err(CallLogError::NewerVersion(header.mintstall_capture));
    }
    let ends_with_newline = text.ends_with('\n');
    let lines: Vec<&str> = text.lines().collect();
    let (mut records, mut last_ms) = (Vec::new(), 0);
    for (index, line) in lines.iter().enumerate().skip(1) {
        match parse(line) {
            Ok(record) if record.time_ms() < last_ms => {
                return Err(CallLogError::Line {
                    line: index + 1,
                    why: "its time is before that of the previous line".into(),
                });
            }
            Ok(record) => {
                last_ms = record.time_ms();
                records.push(record);
            }
            // The process was killed in the middle of this line.
            Err(_) if index + 1 == lines.len() && !ends_with_newline => {}
            Err(why) => return Err(CallLogError::Line { line: index + 1, why }),
        }
    }
    let complete = matches!(records.last(), Some(Record::Closed { .. }));
    Ok(CallLog { header, records, complete })
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEADER: Header = Header { mintstall_capture: 1, exchange: 3, begun_ms: 5 };

    /// A simple form of the lines for these tests: kind and time.
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
    fn a_truncated_file_is_read_up_to_its_last_whole_line_and_marked_incomplete() {
        let complete = read("header\nstands 4\nclosed 9\n", parse, Ok(HEADER)).unwrap();
        assert_eq!((complete.records.len(), complete.complete), (2, true));
        let truncated = read("header\nstands 4\nsta", parse, Ok(HEADER)).unwrap();
        assert_eq!((truncated.records.len(), truncated.complete), (1, false));
    }

    #[test]
    fn an_invalid_line_is_named_by_its_number() {
        let error = |text: &str| read(text, parse, Ok(HEADER)).unwrap_err().to_string();
        assert_eq!(error("header\nnonsense 3\nclosed 9\n"), "line 2: no kind nonsense");
        assert_eq!(
            error("header\nstands 4\nstands 3\n"),
            "line 3: its time is before that of the previous line"
        );
        let newer = Header { mintstall_capture: 2, ..HEADER };
        assert!(matches!(read("header\n", parse, Ok(newer)), Err(CallLogError::NewerVersion(2))));
    }
}
