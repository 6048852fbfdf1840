//! The monitor of waiting output: who is closed, when, and when less is read.

use std::time::Duration;

use mintstall_limits::{
    MIN_PROGRESS_OCTETS, OutputMonitor, SCARCE_STALL_TIMEOUT, STALL_TIMEOUT, StalledPeer,
};
use proptest::prelude::*;

const LIMIT: usize = 128 << 10;
const MAX_TOTAL: usize = 8 << 20;
const START: Duration = Duration::from_secs(100);

fn stalled_connections(monitor: &OutputMonitor<u32>, now: Duration) -> Vec<u32> {
    monitor.stalled(now).into_iter().map(|peer| peer.connection).collect()
}

#[test]
fn a_burst_of_any_size_closes_nobody_who_takes_it() {
    let mut monitor = OutputMonitor::new(MAX_TOTAL);
    monitor.update(START, 1, 3 << 20, 0, LIMIT);
    assert!(stalled_connections(&monitor, START).is_empty());
    let mut waiting = 3 << 20;
    let mut now = START;
    while waiting > 0 {
        now += STALL_TIMEOUT - Duration::from_millis(1);
        waiting -= MIN_PROGRESS_OCTETS;
        monitor.update(now, 1, waiting, MIN_PROGRESS_OCTETS, LIMIT);
        assert!(stalled_connections(&monitor, now).is_empty(), "{waiting} octets wait");
    }
    assert!(!monitor.has_waiting());
}

#[test]
fn a_peer_that_takes_less_than_a_message_in_the_time_is_closed_and_it_alone() {
    let mut monitor = OutputMonitor::new(MAX_TOTAL);
    monitor.update(START, 1, LIMIT + 1, 0, LIMIT);
    monitor.update(START, 2, LIMIT, 0, LIMIT);
    let almost = START + STALL_TIMEOUT - Duration::from_millis(1);
    monitor.update(almost, 1, LIMIT + 1, MIN_PROGRESS_OCTETS - 1, LIMIT);
    assert!(stalled_connections(&monitor, almost).is_empty());
    let stalled = monitor.stalled(START + STALL_TIMEOUT);
    let expected = StalledPeer {
        connection: 1,
        waiting: LIMIT + 1,
        taken: MIN_PROGRESS_OCTETS - 1,
        stalled_for: STALL_TIMEOUT,
    };
    assert_eq!(stalled, [expected], "the other one is within its limit");
}

#[test]
fn while_memory_is_scarce_the_peers_that_take_nothing_are_closed_soon_those_with_most_waiting_first() {
    let mut monitor = OutputMonitor::new(MAX_TOTAL);
    monitor.update(START, 1, 1 << 20, 0, LIMIT);
    monitor.update(START, 2, 2 << 20, 0, LIMIT);
    assert!(!monitor.is_scarce());
    monitor.update(START, 3, 1 << 20, 0, LIMIT);
    assert!(monitor.is_scarce());
    assert!(stalled_connections(&monitor, START).is_empty());
    let later = START + SCARCE_STALL_TIMEOUT;
    assert_eq!(stalled_connections(&monitor, later), [2], "then there is enough memory for the others");
    monitor.update(later, 2, 2 << 20, MIN_PROGRESS_OCTETS, LIMIT);
    assert_eq!(stalled_connections(&monitor, later)[0], 1, "not the one that reads");
    monitor.remove(2);
    assert!(!monitor.is_scarce());
}

proptest! {
    #[test]
    fn the_total_is_the_sum_and_closing_what_is_stalled_keeps_it_within_the_bound(
        updates in prop::collection::vec((0u64..2000, 0u32..20, 0usize..3_000_000, 0usize..40_000), 1..100)
    ) {
        let mut monitor = OutputMonitor::new(MAX_TOTAL);
        let mut now = START;
        let mut waiting = std::collections::BTreeMap::new();
        for (elapsed_ms, connection, octets, taken) in updates {
            now += Duration::from_millis(elapsed_ms);
            monitor.update(now, connection, octets, taken, LIMIT);
            waiting.insert(connection, octets);
            prop_assert_eq!(monitor.total_octets(), waiting.values().sum::<usize>());
            for peer in monitor.stalled(now) {
                prop_assert_eq!(waiting.remove(&peer.connection), Some(peer.waiting));
                monitor.remove(peer.connection);
            }
            prop_assert!(monitor.total_octets() <= MAX_TOTAL);
        }
    }
}
