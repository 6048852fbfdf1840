use super::*;

// Guards against: a caller at full speed that is read once more in each turn than in the one before, while all others wait.
#[test]
fn a_connection_with_an_event_and_more_to_read_is_handled_once_in_each_turn() {
    let (busy, other) = (Token(7), Token(8));
    let mut pending_reads = Vec::new();
    for _ in 0..5 {
        let events = [(busy, false), (other, true)];
        let ready = merge_ready(events.into_iter(), std::mem::take(&mut pending_reads));
        assert_eq!(ready, BTreeMap::from([(busy, false), (other, true)]));
        // Whatever is handled and not read to its end is read on in the next turn.
        pending_reads.extend(ready.into_keys().filter(|token| *token == busy));
        // A failed write, or the end of a pause, adds the connection once more.
        pending_reads.push(busy);
    }
}

#[test]
fn a_connection_can_be_written_if_any_of_its_events_says_so() {
    let ready = merge_ready([(Token(7), true), (Token(7), false)].into_iter(), vec![Token(7)]);
    assert_eq!(ready, BTreeMap::from([(Token(7), true)]));
}

#[test]
fn what_a_poll_reports_may_have_waited_for_a_turn_or_while_the_process_did_not_run() {
    let ms = Duration::from_millis;
    assert_eq!(unread_time(ms(80), ms(0), ms(0)), ms(80), "it came during the turn before");
    assert_eq!(unread_time(ms(80), ms(100), ms(0)), ms(0), "the poll waited for it");
    assert_eq!(unread_time(ms(80), ms(1000), ms(750)), ms(750), "the process did not run");
}
