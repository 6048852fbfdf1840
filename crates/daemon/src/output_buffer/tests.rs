//! The buffer of output: what is kept, dropped and released.

use super::*;

#[test]
fn what_exceeds_the_limit_is_kept_and_memory_is_released_after_writing() {
    let mut buffer = OutputBuffer::default();
    (0..DEFAULT_OUTPUT_LIMIT / 1024).for_each(|_| buffer.push(&[0; 1024]));
    assert_eq!(buffer.waiting(), buffer.limit());
    buffer.push(&[0]);
    assert_eq!(buffer.waiting(), DEFAULT_OUTPUT_LIMIT + 1, "nothing is dropped");
    assert!(buffer.write_to(&mut Vec::new()).unwrap());
    assert_eq!(
        (buffer.waiting(), buffer.pending.capacity() <= MAX_IDLE_CAPACITY),
        (0, true),
        "the memory is released"
    );
}

#[test]
fn the_last_octets_are_written_after_all_others_and_later_ones_are_dropped() {
    let mut buffer = OutputBuffer::new(4);
    buffer.push(b"abcd");
    buffer.push(b"e");
    buffer.push_last(b"why");
    buffer.push(b"more");
    let mut written = Vec::new();
    buffer.write_to(&mut written).unwrap();
    assert_eq!(written, b"abcdewhy");
}

/// Takes this many octets at a time, and blocks after each.
struct SlowWriter {
    octets: usize,
    blocked: bool,
}

impl std::io::Write for SlowWriter {
    fn write(&mut self, octets: &[u8]) -> std::io::Result<usize> {
        self.blocked = !self.blocked;
        if self.blocked {
            Ok(self.octets.min(octets.len()))
        } else {
            Err(std::io::ErrorKind::WouldBlock.into())
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

// Guards against: memory that grows with what was written while a peer that reads slowly always has something waiting.
#[test]
fn what_is_written_is_released_although_the_buffer_is_never_empty() {
    const MESSAGE_OCTETS: usize = 1000;
    let (mut buffer, mut writer) =
        (OutputBuffer::default(), SlowWriter { octets: MESSAGE_OCTETS, blocked: false });
    buffer.push(&[0; MESSAGE_OCTETS]);
    for message in 0..10_000 {
        buffer.push(&[0; MESSAGE_OCTETS]);
        assert!(!buffer.write_to(&mut writer).unwrap());
        assert_eq!(buffer.waiting(), MESSAGE_OCTETS);
        assert!(buffer.pending.capacity() <= 16 * MESSAGE_OCTETS, "after {message} messages");
    }
}

// Guards against: a slow peer keeps the memory of a burst although most of it is written.
#[test]
fn the_memory_of_a_burst_is_released_while_it_is_written() {
    let (mut buffer, mut writer) = (OutputBuffer::default(), SlowWriter { octets: 1 << 10, blocked: false });
    buffer.push(&vec![7; 4 << 20]);
    while buffer.waiting() > 100 << 10 {
        assert!(!buffer.write_to(&mut writer).unwrap());
    }
    assert!(buffer.pending.capacity() <= 512 << 10, "{}", buffer.pending.capacity());
}

#[test]
fn a_message_is_taken_back_whole_or_not_at_all() {
    let mut buffer = OutputBuffer::new(64);
    buffer.push(b"ab");
    buffer.push_revocable(1, b"cdef");
    buffer.push(b"gh");
    buffer.push_revocable(2, b"ijkl");
    buffer.push_revocable(3, b"mnop");
    let mut writer = SlowWriter { octets: 3, blocked: false };
    assert!(!buffer.write_to(&mut writer).unwrap(), "the first message is begun");
    assert!(!buffer.revoke(1) && buffer.revoke(2) && !buffer.revoke(2) && !buffer.revoke(9));
    buffer.push_revocable(4, b"qrst");
    assert!(buffer.revoke(3));
    let mut written = Vec::new();
    assert!(buffer.write_to(&mut written).unwrap());
    assert_eq!(written, b"defghqrst");
    assert!(!buffer.revoke(4) && buffer.revocable.is_empty());
}

// Each message is either written whole or taken back, whatever the writer takes at a time.
#[test]
fn messages_taken_back_leave_the_others_whole() {
    for octets in 1..9 {
        let mut buffer = OutputBuffer::new(1 << 10);
        let mut writer = SlowWriter { octets, blocked: false };
        let (mut waiting, mut revoked) = (0, 0);
        for key in 0..50 {
            buffer.push_revocable(key, &[b'a' + (key % 26) as u8; 5]);
            waiting += 5;
            let before = buffer.waiting();
            buffer.write_to(&mut writer).unwrap();
            waiting -= before - buffer.waiting();
            if key % 3 == 2 && buffer.revoke(key - 1) {
                waiting -= 5;
                revoked += 1;
            }
            assert_eq!(buffer.waiting(), waiting, "{octets} octets at a time, message {key}");
        }
        assert!(octets > 4 || revoked > 0);
    }
}
