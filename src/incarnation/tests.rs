use super::*;

const OPENED: Duration = Duration::from_secs(1000);

fn after(ms: u64) -> Duration {
    OPENED + Duration::from_millis(ms)
}

fn first_report(free: f64) -> FirstReport {
    let report = CapacityReport { free: Some(free), size: Some(20.0), rate: None };
    FirstReport::new(OPENED, &report).unwrap()
}

#[test]
fn a_process_with_as_many_busy_circuits_as_calls_stand_is_the_same() {
    let mut first = first_report(17.0);
    assert_eq!(first.judge(after(10), 3, OlderConnections::Lost), Verdict::SameIncarnation);
    assert!(!first.is_in_doubt());
}

#[test]
fn a_process_that_misses_calls_is_another_unless_it_releases_them_soon() {
    let mut first = first_report(18.0);
    assert_eq!(first.judge(after(10), 3, OlderConnections::Silent), Verdict::Undecided);
    assert!(first.is_in_doubt());
    assert_eq!(first.judge(after(500), 3, OlderConnections::Silent), Verdict::Undecided);
    let mut released = first;
    assert_eq!(released.judge(after(505), 2, OlderConnections::Silent), Verdict::SameIncarnation);
    assert_eq!(first.judge(after(510), 3, OlderConnections::Silent), Verdict::OtherIncarnation);
    assert!(!first.is_in_doubt());
}

#[test]
fn a_message_on_an_older_connection_shows_that_the_process_is_alive() {
    let mut none_busy = first_report(20.0);
    none_busy.judge(after(10), 3, OlderConnections::Heard);
    assert_eq!(none_busy.judge(after(510), 3, OlderConnections::Heard), Verdict::CallsOver);
    let mut some_busy = first_report(18.0);
    some_busy.judge(after(10), 3, OlderConnections::Heard);
    assert_eq!(some_busy.judge(after(510), 3, OlderConnections::Heard), Verdict::SomeCallsOver);
}

#[test]
fn the_releases_are_waited_for_unless_all_connections_were_lost_and_no_circuit_is_busy() {
    assert_eq!(first_report(20.0).judge(after(10), 1, OlderConnections::Lost), Verdict::OtherIncarnation);
    assert_eq!(first_report(20.0).judge(after(10), 1, OlderConnections::NeverOpen), Verdict::Undecided);
    assert_eq!(first_report(19.0).judge(after(10), 2, OlderConnections::Lost), Verdict::Undecided);
}

#[test]
fn only_an_earlier_connection_takes_the_place_of_one_in_doubt() {
    let mut first = first_report(20.0);
    assert!(first.is_superseded_by(after(100)));
    first.judge(after(10), 3, OlderConnections::Silent);
    assert!(!first.is_superseded_by(after(100)));
    assert!(first.is_superseded_by(OPENED - Duration::from_millis(1)));
}

#[test]
fn reports_without_circuits_show_nothing() {
    assert_eq!(FirstReport::new(OPENED, &CapacityReport::default()), None);
}
