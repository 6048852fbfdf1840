//! Fuzz target of the office: whatever comes on a link, no panic, and every call taken gets its one answer.

mod common;

use common::{Table, ms};
use mintstall::interface::ExchangeNumber;

/// Each input is a run of messages: a byte tells how many octets the next has, put into a frame of the live link.
#[test]
fn no_octets_on_a_live_link_cost_a_call_its_answer() {
    bolero::check!().with_iterations(300).for_each(|input: &[u8]| {
        let mut table = Table::new(2, 31);
        let calls: Vec<_> = (0..4).map(|no| table.call(1, 2, no, (no % 2) as u8)).collect();
        let mut rest = input;
        while let Some((count, after)) = rest.split_first() {
            let (user, after) = after.split_at(usize::from(*count).min(after.len()));
            rest = after;
            let (opc, dpc) = (2, 1);
            let data =
                mintstall_isup::ProtocolData { opc, dpc, service: 5, network: 2, priority: 0, sls: 0, user };
            let mut frame = Vec::new();
            mintstall_isup::Frame::Data(data).write(&mut frame);
            table.give(2, 1, &frame);
            table.pass(ms(50));
        }
        // And raw, which may break the link.
        table.with(1, |office, now, wires| office.on_octets(now, wires, ExchangeNumber(2), input));
        table.carry();
        table.pass(ms(5000));
        let answers = table.answers(1);
        for call in calls {
            let count = answers.iter().filter(|(answered, _)| *answered == call).count();
            assert_eq!(count, 1, "answers of {call:?}: {answers:?}");
        }
    });
}
