//! The records to be written to call logs, and the change to the next file when one is full, without I/O: the owner performs the
//! writes and reports failures.
//!
//! The number of queued actions, the octets of a file and the number of files are bounded. Records that arrive while the queue is
//! full are dropped, and a gap record with the time of the first one is written in their place, so that an estimate doesn't
//! mistake dropped records for a time without calls.

use std::collections::VecDeque;

use crate::call_log::{Header, Record, VERSION};

/// Limits of a call log writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterLimits {
    /// Queued actions at which further records are dropped.
    pub max_queued: usize,
    /// Octets of a file at which the next one is begun.
    pub max_file_octets: u64,
    /// Files that are kept, including the one being written.
    pub max_files: u32,
}

impl Default for WriterLimits {
    fn default() -> Self {
        Self { max_queued: 10_000, max_file_octets: 64 << 20, max_files: 8 }
    }
}

/// What the owner is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteAction {
    /// Begin file number `file` with the header, and remove file number `remove`, if any.
    BeginFile {
        file: u32,
        header: Header,
        remove: Option<u32>,
    },
    Write(Record),
}

#[derive(Debug)]
pub struct CallLogWriter {
    limits: WriterLimits,
    exchange: u16,
    /// Start of the current file in milliseconds: since 1970, and on the owner's clock.
    begun: Option<(u64, u64)>,
    /// Number of the current file.
    file: u32,
    /// Octets written to the current file.
    file_octets: u64,
    queue: VecDeque<WriteAction>,
    /// Time of the first dropped record since the last written one, milliseconds on the owner's clock.
    gap_since_ms: Option<u64>,
    dropped: u64,
}

impl CallLogWriter {
    pub fn new(exchange: u16, limits: WriterLimits) -> Self {
        Self {
            limits,
            exchange,
            begun: None,
            file: 0,
            file_octets: 0,
            queue: VecDeque::new(),
            gap_since_ms: None,
            dropped: 0,
        }
    }

    /// Records that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Queues a record at `now_ms` on the owner's clock, which is `wall_ms` since 1970. `record` gets the milliseconds since the
    /// start of the file.
    pub fn record(&mut self, now_ms: u64, wall_ms: u64, record: impl FnOnce(u64) -> Record) {
        if self.queue.len() >= self.limits.max_queued {
            self.gap_since_ms.get_or_insert(now_ms);
            self.dropped += 1;
            return;
        }
        if self.begun.is_none() || self.file_octets >= self.limits.max_file_octets {
            self.begin_file(now_ms, wall_ms);
        }
        let Some((_, begun)) = self.begun else { return };
        let t = now_ms.saturating_sub(begun);
        if let Some(since) = self.gap_since_ms.take() {
            // A gap that began in the previous file counts from the start of this one.
            let since = since.saturating_sub(begun);
            self.queue.push_back(WriteAction::Write(Record::Gap { t, since }));
        }
        self.queue.push_back(WriteAction::Write(record(t)));
    }

    fn begin_file(&mut self, now_ms: u64, wall_ms: u64) {
        if let Some((_, begun)) = self.begun {
            self.queue.push_back(WriteAction::Write(Record::Closed { t: now_ms.saturating_sub(begun) }));
        }
        self.file = self.file.wrapping_add(1);
        self.file_octets = 0;
        self.begun = Some((wall_ms, now_ms));
        let header = Header { mintstall_capture: VERSION, exchange: self.exchange, begun_ms: wall_ms };
        let remove = self.file.checked_sub(self.limits.max_files.max(1)).filter(|file| *file > 0);
        self.queue.push_back(WriteAction::BeginFile { file: self.file, header, remove });
    }

    /// The next action. The owner reports its result with [`CallLogWriter::on_written`] or [`CallLogWriter::on_write_failed`].
    pub fn next_action(&mut self) -> Option<WriteAction> {
        let action = self.queue.pop_front();
        if let Some(WriteAction::BeginFile { .. }) = action {
            // The octets written so far belong to the previous file.
            self.file_octets = 0;
        }
        action
    }

    pub fn on_written(&mut self, octets: u64) {
        self.file_octets += octets;
    }

    /// A write failed: the queued records are dropped as well, and the next record begins another file.
    pub fn on_write_failed(&mut self, now_ms: u64) {
        let is_record = |action: &WriteAction| matches!(action, WriteAction::Write(_));
        self.dropped += 1 + self.queue.iter().filter(|action| is_record(action)).count() as u64;
        self.queue.clear();
        self.gap_since_ms.get_or_insert(now_ms);
        self.begun = None;
    }

    /// Queues the last record of a file that ends in order.
    pub fn close(&mut self, now_ms: u64) {
        if let Some((_, begun)) = self.begun.take() {
            let t = now_ms.saturating_sub(begun);
            if let Some(since) = self.gap_since_ms.take() {
                self.queue
                    .push_back(WriteAction::Write(Record::Gap { t, since: since.saturating_sub(begun) }));
            }
            self.queue.push_back(WriteAction::Write(Record::Closed { t }));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record_at(writer: &mut CallLogWriter, now: u64) {
        writer.record(now, 1_000_000 + now, |t| Record::Stands { t, call: 1 });
    }

    fn take_actions(writer: &mut CallLogWriter) -> Vec<WriteAction> {
        std::iter::from_fn(|| writer.next_action()).collect()
    }

    #[test]
    fn times_count_from_the_start_of_the_file() {
        let mut writer = CallLogWriter::new(3, WriterLimits::default());
        record_at(&mut writer, 5_000);
        record_at(&mut writer, 5_020);
        writer.close(5_050);
        let actions = take_actions(&mut writer);
        let header = Header { mintstall_capture: 1, exchange: 3, begun_ms: 1_005_000 };
        assert_eq!(actions[0], WriteAction::BeginFile { file: 1, header, remove: None });
        let lines =
            [Record::Stands { t: 0, call: 1 }, Record::Stands { t: 20, call: 1 }, Record::Closed { t: 50 }];
        assert_eq!(actions[1..], lines.map(WriteAction::Write));
    }

    #[test]
    fn a_full_file_is_followed_by_the_next_and_the_oldest_is_removed() {
        let mut writer = CallLogWriter::new(
            3,
            WriterLimits { max_file_octets: 100, max_files: 2, ..WriterLimits::default() },
        );
        let mut begun = Vec::new();
        for now in 0..5 {
            record_at(&mut writer, now);
            while let Some(action) = writer.next_action() {
                match action {
                    WriteAction::BeginFile { file, remove, .. } => begun.push((file, remove)),
                    WriteAction::Write(_) => writer.on_written(60),
                }
            }
        }
        assert_eq!(begun, [(1, None), (2, None), (3, Some(1))]);
    }

    #[test]
    fn records_beyond_a_full_queue_are_dropped_and_leave_a_gap_record() {
        let mut writer = CallLogWriter::new(3, WriterLimits { max_queued: 3, ..WriterLimits::default() });
        (0..10).for_each(|now| record_at(&mut writer, now));
        assert_eq!((take_actions(&mut writer).len(), writer.dropped()), (3, 8));
        record_at(&mut writer, 20);
        let actions = take_actions(&mut writer);
        assert_eq!(actions[0], WriteAction::Write(Record::Gap { t: 20, since: 2 }));
        assert_eq!(actions[1], WriteAction::Write(Record::Stands { t: 20, call: 1 }));
    }

    #[test]
    fn a_failed_write_drops_the_queue_and_begins_another_file() {
        let mut writer = CallLogWriter::new(3, WriterLimits::default());
        (0..3).for_each(|now| record_at(&mut writer, now));
        writer.next_action();
        writer.on_write_failed(5);
        assert_eq!((writer.dropped(), writer.next_action()), (4, None));
        record_at(&mut writer, 9);
        let actions = take_actions(&mut writer);
        assert!(matches!(actions[0], WriteAction::BeginFile { file: 2, .. }), "{actions:?}");
        assert_eq!(actions[1], WriteAction::Write(Record::Gap { t: 0, since: 0 }));
    }
}
