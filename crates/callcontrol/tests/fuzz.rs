//! Fuzz target of call control: no input on a link causes a panic, and every call gets exactly one answer.

mod common;

use common::{TestNetwork, ms};
use mintstall::interface::ExchangeNumber;

/// Each input is a sequence of messages, each with its length in a leading byte and sent in a frame on the open link.
#[test]
fn no_octets_on_a_live_link_cost_a_call_its_answer() {
    bolero::check!().with_iterations(300).for_each(|input: &[u8]| {
        let mut network = TestNetwork::new(2, 31);
        let calls: Vec<_> =
            (0..4).map(|dialled| network.offer_call(1, 2, dialled, (dialled % 2) as u8)).collect();
        let mut rest = input;
        while let Some((count, after)) = rest.split_first() {
            let (user, after) = after.split_at(usize::from(*count).min(after.len()));
            rest = after;
            let (opc, dpc) = (2, 1);
            let data =
                mintstall_isup::ProtocolData { opc, dpc, service: 5, network: 2, priority: 0, sls: 0, user };
            let mut frame = Vec::new();
            mintstall_isup::Frame::Data(data).write(&mut frame);
            network.deliver(2, 1, &frame);
            network.advance(ms(50));
        }
        // The input is also sent without frames, which may close the link.
        network.with(1, |control, now, actions| control.on_octets(now, actions, ExchangeNumber(2), input));
        network.deliver_all();
        network.advance(ms(5000));
        let answers = network.answers(1);
        for call in calls {
            let count = answers.iter().filter(|(answered, _)| *answered == call).count();
            assert_eq!(count, 1, "answers of {call:?}: {answers:?}");
        }
    });
}
