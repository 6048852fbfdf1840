//! Another process at the address of an exchange, in virtual time: calls of the former one end in time by the evidence
//! of the links alone, and calls that stand are not ended.

mod common;

use common::{Platform, ms};
use mintstall_platform::LinkId;
use mintstall_platform::exchange_protocol::{MessageType, parameter};

const CALLER: u64 = 1;
const CUT: &str = "1: BYE Q.850;cause=41";
const CLEARED: &str = "1: BYE Q.850;cause=16";
/// Circuits of the group, as `report_free` tells.
const CIRCUITS: u32 = 20;
/// The time for releases behind a first report, and an interval of the sweep.
const GRACE_MS: u64 = 800;
/// Until the second heartbeat, on a new link.
const SUSPECTED_MS: u64 = 3800;

/// Calls 1 to `count` stand at exchange 1, whose links stay open and silent from then on.
fn with_calls(count: u64) -> Platform {
    let mut platform = Platform::start();
    platform.connect_caller(CALLER);
    for call in 1..=count {
        platform.set_up_call(CALLER, call);
    }
    platform
}

/// The heartbeat is not answered, and the next link is accepted by the process that is there now.
fn open_link_after_silence(platform: &mut Platform, silence_ms: u64) -> LinkId {
    platform.advance(ms(silence_ms));
    let address = "10.0.0.1:3868".parse().unwrap();
    let transport = &platform.transport;
    let is_open = |link: &LinkId| !transport.closed_links.contains(link);
    let newest = transport.connecting.iter().rfind(|(link, to)| *to == address && is_open(link));
    let link = newest.expect("no link to exchange 1 is connecting").0;
    platform.core.link_connected(platform.transport.now, &mut platform.transport, link);
    platform.advance(ms(1));
    link
}

// Guards against: calls of a lost machine kept until the late list tells of its new start, since links of the former
// process were still open when the new one reported.
#[test]
fn calls_end_by_the_first_report_of_a_new_process_though_links_of_the_former_are_open() {
    let mut platform = with_calls(3);
    let older = platform.links(1);
    let link = open_link_after_silence(&mut platform, SUSPECTED_MS);
    platform.report_free(link, CIRCUITS);
    platform.advance(ms(GRACE_MS));
    assert_eq!(platform.messages_to_callers(), [CUT; 3]);
    assert!(
        older.iter().all(|link| platform.transport.closed_links.contains(link)),
        "links of the former process"
    );
    // Later calls are set up on the new link, and stand.
    assert_eq!(platform.set_up_call(CALLER, 9), link);
    platform.advance(ms(GRACE_MS));
    assert!(platform.messages_to_callers().is_empty());
}

// Guards against: a new process recognised only as long as it has no call at all.
#[test]
fn a_first_report_with_fewer_busy_circuits_than_calls_ends_them_too() {
    let mut platform = with_calls(3);
    let link = open_link_after_silence(&mut platform, SUSPECTED_MS);
    platform.report_free(link, CIRCUITS - 2);
    platform.advance(ms(GRACE_MS));
    assert_eq!(platform.messages_to_callers(), [CUT; 3]);
}

// Guards against: messages of a new process that renew the lease on calls of the former one.
#[test]
fn messages_of_a_new_process_do_not_renew_the_lease_of_former_calls() {
    let mut platform = with_calls(1);
    let link = open_link_after_silence(&mut platform, 6800);
    platform.report_free(link, CIRCUITS);
    assert_eq!(platform.set_up_call(CALLER, 9), link, "the link on which the exchange has answered");
    platform.advance(ms(499));
    assert_eq!(platform.messages_to_callers(), [CUT], "after the lease of 7.2 s, before the limit of 8 s");
    platform.advance(ms(2000));
    assert!(platform.messages_to_callers().is_empty(), "the call at the new process stands");
}

#[test]
fn calls_stay_if_the_first_report_on_a_new_link_shows_them() {
    let mut platform = with_calls(3);
    let link = open_link_after_silence(&mut platform, SUSPECTED_MS);
    platform.report_free(link, CIRCUITS - 3);
    platform.advance(ms(5000));
    assert!(platform.messages_to_callers().is_empty());
}

#[test]
fn a_call_answered_while_the_first_report_was_under_way_stays() {
    let mut platform = Platform::start();
    platform.connect_caller(CALLER);
    let first = platform.links(1)[0];
    platform.lose_link(first);
    let (link, _) = platform.transport.connecting.pop().unwrap();
    platform.core.link_connected(platform.transport.now, &mut platform.transport, link);
    platform.set_up_call(CALLER, 1);
    // Written when the connection was accepted, before the set-up came on another link.
    platform.report_free(link, CIRCUITS);
    platform.advance(ms(2000));
    assert!(platform.messages_to_callers().is_empty());
}

// Guards against: a call that ended normally reported as cut, since its repeated release comes behind the report.
#[test]
fn a_release_repeated_behind_the_first_report_counts() {
    let mut platform = with_calls(3);
    let link = open_link_after_silence(&mut platform, SUSPECTED_MS);
    platform.report_free(link, CIRCUITS - 2);
    platform.advance(ms(300));
    platform.release(link, 2, 16);
    platform.advance(ms(5000));
    assert_eq!(platform.messages_to_callers(), [CLEARED], "the other two stand");
}

#[test]
fn calls_that_a_living_process_no_longer_holds_end_and_its_links_stay() {
    let mut platform = with_calls(2);
    let older = platform.links(1);
    let link = open_link_after_silence(&mut platform, SUSPECTED_MS);
    platform.report_free(link, CIRCUITS);
    let heard_on = older.iter().find(|link| !platform.transport.closed_links.contains(link));
    platform.send_on_link(*heard_on.unwrap(), MessageType::TestResult, 5, &[(parameter::CAUSE, &[1])]);
    platform.advance(ms(GRACE_MS));
    assert_eq!(platform.messages_to_callers(), [CUT; 2]);
    assert!(!platform.transport.closed_links.contains(heard_on.unwrap()));
}

#[test]
fn calls_stay_if_all_links_were_lost_and_the_first_reports_come_after_a_late_release() {
    let mut platform = with_calls(2);
    platform.advance(ms(100));
    platform.lose_links(1);
    let link = open_link_after_silence(&mut platform, 60);
    platform.report_free(link, CIRCUITS - 1);
    platform.release(link, 1, 16);
    platform.advance(ms(2000));
    assert_eq!(platform.messages_to_callers(), [CLEARED], "call 2 stands");
}
