//! Exchanges that are silent while this process is terminating, in virtual time.

mod common;

use common::{Platform, ms};

// Guards against: an exchange given up at the end of the process because of one dead link, before another was tried.
#[test]
fn another_link_is_tried_before_a_terminating_process_gives_an_exchange_up() {
    for (silence_ms, answers) in [(2000, true), (2000, false), (2600, true)] {
        let mut platform = Platform::start();
        platform.connect_caller(1);
        platform.set_up_call(1, 6);
        platform.advance(ms(silence_ms));
        platform.core.stop(platform.transport.now, &mut platform.transport);
        platform.advance(ms(3600 - silence_ms));
        let closed = platform.transport.closed_links.clone();
        platform.transport.connecting.retain(|(link, _)| !closed.contains(link));
        if answers {
            platform.connect_links();
        }
        platform.advance(ms(600));
        let expected: &[&str] = if answers { &[] } else { &["1: BYE Q.850;cause=41"] };
        assert_eq!(platform.messages_to_callers(), expected, "silent for {silence_ms} ms before the signal");
    }
}
