//! What is written to a capture, and when a file is full, without I/O: its owner writes the lines and says when that failed.
//!
//! Bounded in every direction: so many lines wait to be written, so many octets are in a file, so many files are kept. What comes
//! while too much waits is left out, and a gap with its beginning is written in its place: an estimate never takes silence for
//! an hour without calls.

use std::collections::VecDeque;

use crate::call_log::{Header, Record, VERSION};

/// Bounds of a recorder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub waiting: usize,
    /// Octets of a file, after which the next is begun; and files kept, the one being written among them.
    pub octets: u64,
    pub files: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { waiting: 10_000, octets: 64 << 20, files: 8 }
    }
}

/// What its owner is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteAction {
    /// Begins the file of this number with the header, and removes that of the other, if any.
    Begin {
        file: u32,
        header: Header,
        remove: Option<u32>,
    },
    Write(Record),
}

#[derive(Debug)]
pub struct CallLogWriter {
    bounds: Bounds,
    exchange: u16,
    /// Milliseconds since 1970 at the beginning of the file, and on the owner's clock.
    begun: Option<(u64, u64)>,
    file: u32,
    octets: u64,
    waiting: VecDeque<WriteAction>,
    /// Since when lines are left out, on the owner's clock.
    gap: Option<u64>,
    left_out: u64,
}

impl CallLogWriter {
    pub fn new(exchange: u16, bounds: Bounds) -> Self {
        Self {
            bounds,
            exchange,
            begun: None,
            file: 0,
            octets: 0,
            waiting: VecDeque::new(),
            gap: None,
            left_out: 0,
        }
    }

    /// Lines that were left out since the start.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Something was seen at `now_ms` on the owner's clock; `line` makes it of the milliseconds since the file was begun.
    pub fn record(&mut self, now_ms: u64, wall_ms: u64, line: impl FnOnce(u64) -> Record) {
        if self.waiting.len() >= self.bounds.waiting {
            self.gap.get_or_insert(now_ms);
            self.left_out += 1;
            return;
        }
        if self.begun.is_none() || self.octets >= self.bounds.octets {
            self.begin(now_ms, wall_ms);
        }
        let Some((_, begun)) = self.begun else { return };
        let t = now_ms.saturating_sub(begun);
        if let Some(since) = self.gap.take() {
            // One that began in the file before is told from the beginning of this one.
            let since = since.saturating_sub(begun);
            self.waiting.push_back(WriteAction::Write(Record::Gap { t, since }));
        }
        self.waiting.push_back(WriteAction::Write(line(t)));
    }

    fn begin(&mut self, now_ms: u64, wall_ms: u64) {
        if let Some((_, begun)) = self.begun {
            self.waiting.push_back(WriteAction::Write(Record::Closed { t: now_ms.saturating_sub(begun) }));
        }
        self.file = self.file.wrapping_add(1);
        self.octets = 0;
        self.begun = Some((wall_ms, now_ms));
        let header = Header { mintstall_capture: VERSION, exchange: self.exchange, begun_ms: wall_ms };
        let remove = self.file.checked_sub(self.bounds.files.max(1)).filter(|file| *file > 0);
        self.waiting.push_back(WriteAction::Begin { file: self.file, header, remove });
    }

    /// The next to be done; the owner tells of it by [`CallLogWriter::written`] or [`CallLogWriter::failed`].
    pub fn next_action(&mut self) -> Option<WriteAction> {
        let action = self.waiting.pop_front();
        if let Some(WriteAction::Begin { .. }) = action {
            // What was written until now was the last of the file before.
            self.octets = 0;
        }
        action
    }

    pub fn written(&mut self, octets: u64) {
        self.octets += octets;
    }

    /// It could not be written: what waits is left out likewise, and another file is begun with what is seen next.
    pub fn failed(&mut self, now_ms: u64) {
        let writes = |action: &WriteAction| matches!(action, WriteAction::Write(_));
        self.left_out += 1 + self.waiting.iter().filter(|action| writes(action)).count() as u64;
        self.waiting.clear();
        self.gap.get_or_insert(now_ms);
        self.begun = None;
    }

    /// An orderly end: the last line.
    pub fn close(&mut self, now_ms: u64) {
        if let Some((_, begun)) = self.begun.take() {
            let t = now_ms.saturating_sub(begun);
            if let Some(since) = self.gap.take() {
                self.waiting
                    .push_back(WriteAction::Write(Record::Gap { t, since: since.saturating_sub(begun) }));
            }
            self.waiting.push_back(WriteAction::Write(Record::Closed { t }));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn see(writer: &mut CallLogWriter, now: u64) {
        writer.record(now, 1_000_000 + now, |t| Record::Stands { t, call: 1 });
    }

    fn all(writer: &mut CallLogWriter) -> Vec<WriteAction> {
        std::iter::from_fn(|| writer.next_action()).collect()
    }

    #[test]
    fn times_count_from_the_beginning_of_the_file() {
        let mut writer = CallLogWriter::new(3, Bounds::default());
        see(&mut writer, 5_000);
        see(&mut writer, 5_020);
        writer.close(5_050);
        let actions = all(&mut writer);
        let header = Header { mintstall_capture: 1, exchange: 3, begun_ms: 1_005_000 };
        assert_eq!(actions[0], WriteAction::Begin { file: 1, header, remove: None });
        let lines =
            [Record::Stands { t: 0, call: 1 }, Record::Stands { t: 20, call: 1 }, Record::Closed { t: 50 }];
        assert_eq!(actions[1..], lines.map(WriteAction::Write));
    }

    #[test]
    fn a_full_file_is_closed_the_next_begun_and_the_oldest_removed() {
        let mut writer = CallLogWriter::new(3, Bounds { octets: 100, files: 2, ..Bounds::default() });
        let mut begun = Vec::new();
        for now in 0..5 {
            see(&mut writer, now);
            while let Some(action) = writer.next_action() {
                match action {
                    WriteAction::Begin { file, remove, .. } => begun.push((file, remove)),
                    WriteAction::Write(_) => writer.written(60),
                }
            }
        }
        assert_eq!(begun, [(1, None), (2, None), (3, Some(1))]);
    }

    #[test]
    fn what_comes_too_fast_is_left_out_and_a_gap_says_so() {
        let mut writer = CallLogWriter::new(3, Bounds { waiting: 3, ..Bounds::default() });
        (0..10).for_each(|now| see(&mut writer, now));
        assert_eq!((all(&mut writer).len(), writer.left_out()), (3, 8));
        see(&mut writer, 20);
        let actions = all(&mut writer);
        assert_eq!(actions[0], WriteAction::Write(Record::Gap { t: 20, since: 2 }));
        assert_eq!(actions[1], WriteAction::Write(Record::Stands { t: 20, call: 1 }));
    }

    #[test]
    fn a_failure_leaves_out_what_waits_and_begins_another_file() {
        let mut writer = CallLogWriter::new(3, Bounds::default());
        (0..3).for_each(|now| see(&mut writer, now));
        writer.next_action();
        writer.failed(5);
        assert_eq!((writer.left_out(), writer.next_action()), (4, None));
        see(&mut writer, 9);
        let actions = all(&mut writer);
        assert!(matches!(actions[0], WriteAction::Begin { file: 2, .. }), "{actions:?}");
        assert_eq!(actions[1], WriteAction::Write(Record::Gap { t: 0, since: 0 }));
    }
}
