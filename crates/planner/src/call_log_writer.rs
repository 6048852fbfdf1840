//! What is written to a capture, and when a file is full, without I/O: its owner writes the lines and says when that failed.
//!
//! Bounded in every direction: so many lines wait to be written, so many octets are in a file, so many files are kept. What comes
//! while too much waits is left out, and a gap with its beginning is written in its place: an estimate never takes silence for
//! an hour without calls.

use std::collections::VecDeque;

use crate::call_log::{Header, Seen, VERSION};

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
pub enum Act {
    /// Begins the file of this number with the header, and removes that of the other, if any.
    Begin {
        file: u32,
        header: Header,
        remove: Option<u32>,
    },
    Write(Seen),
}

#[derive(Debug)]
pub struct Recorder {
    bounds: Bounds,
    exchange: u16,
    /// Milliseconds since 1970 at the beginning of the file, and on the owner's clock.
    begun: Option<(u64, u64)>,
    file: u32,
    octets: u64,
    waiting: VecDeque<Act>,
    /// Since when lines are left out, on the owner's clock.
    gap: Option<u64>,
    left_out: u64,
}

impl Recorder {
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
    pub fn see(&mut self, now_ms: u64, wall_ms: u64, line: impl FnOnce(u64) -> Seen) {
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
            self.waiting.push_back(Act::Write(Seen::Gap { t, since }));
        }
        self.waiting.push_back(Act::Write(line(t)));
    }

    fn begin(&mut self, now_ms: u64, wall_ms: u64) {
        if let Some((_, begun)) = self.begun {
            self.waiting.push_back(Act::Write(Seen::Closed { t: now_ms.saturating_sub(begun) }));
        }
        self.file = self.file.wrapping_add(1);
        self.octets = 0;
        self.begun = Some((wall_ms, now_ms));
        let header = Header { mintstall_capture: VERSION, exchange: self.exchange, begun_ms: wall_ms };
        let remove = self.file.checked_sub(self.bounds.files.max(1)).filter(|file| *file > 0);
        self.waiting.push_back(Act::Begin { file: self.file, header, remove });
    }

    /// The next to be done; the owner tells of it by [`Recorder::written`] or [`Recorder::failed`].
    pub fn next_act(&mut self) -> Option<Act> {
        let act = self.waiting.pop_front();
        if let Some(Act::Begin { .. }) = act {
            // What was written until now was the last of the file before.
            self.octets = 0;
        }
        act
    }

    pub fn written(&mut self, octets: u64) {
        self.octets += octets;
    }

    /// It could not be written: what waits is left out likewise, and another file is begun with what is seen next.
    pub fn failed(&mut self, now_ms: u64) {
        let writes = |act: &Act| matches!(act, Act::Write(_));
        self.left_out += 1 + self.waiting.iter().filter(|act| writes(act)).count() as u64;
        self.waiting.clear();
        self.gap.get_or_insert(now_ms);
        self.begun = None;
    }

    /// An orderly end: the last line.
    pub fn close(&mut self, now_ms: u64) {
        if let Some((_, begun)) = self.begun.take() {
            let t = now_ms.saturating_sub(begun);
            if let Some(since) = self.gap.take() {
                self.waiting.push_back(Act::Write(Seen::Gap { t, since: since.saturating_sub(begun) }));
            }
            self.waiting.push_back(Act::Write(Seen::Closed { t }));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn see(recorder: &mut Recorder, now: u64) {
        recorder.see(now, 1_000_000 + now, |t| Seen::Stands { t, call: 1 });
    }

    fn all(recorder: &mut Recorder) -> Vec<Act> {
        std::iter::from_fn(|| recorder.next_act()).collect()
    }

    #[test]
    fn times_count_from_the_beginning_of_the_file() {
        let mut recorder = Recorder::new(3, Bounds::default());
        see(&mut recorder, 5_000);
        see(&mut recorder, 5_020);
        recorder.close(5_050);
        let acts = all(&mut recorder);
        let header = Header { mintstall_capture: 1, exchange: 3, begun_ms: 1_005_000 };
        assert_eq!(acts[0], Act::Begin { file: 1, header, remove: None });
        let lines = [Seen::Stands { t: 0, call: 1 }, Seen::Stands { t: 20, call: 1 }, Seen::Closed { t: 50 }];
        assert_eq!(acts[1..], lines.map(Act::Write));
    }

    #[test]
    fn a_full_file_is_closed_the_next_begun_and_the_oldest_removed() {
        let mut recorder = Recorder::new(3, Bounds { octets: 100, files: 2, ..Bounds::default() });
        let mut begun = Vec::new();
        for now in 0..5 {
            see(&mut recorder, now);
            while let Some(act) = recorder.next_act() {
                match act {
                    Act::Begin { file, remove, .. } => begun.push((file, remove)),
                    Act::Write(_) => recorder.written(60),
                }
            }
        }
        assert_eq!(begun, [(1, None), (2, None), (3, Some(1))]);
    }

    #[test]
    fn what_comes_too_fast_is_left_out_and_a_gap_says_so() {
        let mut recorder = Recorder::new(3, Bounds { waiting: 3, ..Bounds::default() });
        (0..10).for_each(|now| see(&mut recorder, now));
        assert_eq!((all(&mut recorder).len(), recorder.left_out()), (3, 8));
        see(&mut recorder, 20);
        let acts = all(&mut recorder);
        assert_eq!(acts[0], Act::Write(Seen::Gap { t: 20, since: 2 }));
        assert_eq!(acts[1], Act::Write(Seen::Stands { t: 20, call: 1 }));
    }

    #[test]
    fn a_failure_leaves_out_what_waits_and_begins_another_file() {
        let mut recorder = Recorder::new(3, Bounds::default());
        (0..3).for_each(|now| see(&mut recorder, now));
        recorder.next_act();
        recorder.failed(5);
        assert_eq!((recorder.left_out(), recorder.next_act()), (4, None));
        see(&mut recorder, 9);
        let acts = all(&mut recorder);
        assert!(matches!(acts[0], Act::Begin { file: 2, .. }), "{acts:?}");
        assert_eq!(acts[1], Act::Write(Seen::Gap { t: 0, since: 0 }));
    }
}
