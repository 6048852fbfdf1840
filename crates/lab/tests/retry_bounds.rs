//! Counts all further attempts that one failing call causes: offers by the client, set-ups by the exchange that accepted the
//! offer, onward set-ups by tandems. The bounds are those of the table in `docs/hardening-review.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::*;
use mintstall_callapi::{FinalAnswer, Offer, Request, RequestMessage, ServerMessage};
use mintstall_callcontrol::{Answer, CallControl, CallControlActions, CallEnd};
use mintstall_client::{RedialBudget, RedialPolicy};
use mintstall_daemon::Config;
use mintstall_daemon::exchange::{Exchange, LineId, Transport};
use mintstall_isup::{
    Body, CauseIndicators, Cic, Deframer, Frame, Location, Message, ProtocolData, Q850, Rel,
};
use serde_json::json;

const START: Duration = Duration::from_secs(3600);
// The client's exchange has number 1.
const DEST: u16 = 2;
const TANDEMS: [u16; 2] = [3, 4];

/// Octets in transit between exchanges, and the messages sent to the client.
#[derive(Default)]
struct TestTransport {
    /// The exchange whose output is recorded.
    from: u16,
    /// Sender, receiver and octets.
    in_transit: VecDeque<(u16, u16, Vec<u8>)>,
    client_messages: Vec<ServerMessage>,
}

impl Transport for TestTransport {
    fn send_to_link(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.in_transit.push_back((1, to.0, octets.to_vec()));
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn send_to_line(&mut self, _: LineId, text: &str) {
        self.client_messages.push(ServerMessage::read(text.as_bytes()).unwrap());
    }
    fn close_line(&mut self, _: LineId, why: &str) {
        panic!("{why}");
    }
    fn has_room(&self, _: LineId) -> bool {
        true
    }
    fn send_to_directory(&mut self, _: &str) {}
    fn log_info(&mut self, _: &str) {}
}

impl CallControlActions for TestTransport {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.in_transit.push_back((self.from, to.0, octets.to_vec()));
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn answer(&mut self, _: CallId, _: Answer) {}
    fn call_ended(&mut self, _: CallId, _: CallEnd) {}
    fn log_info(&mut self, _: &str) {}
}

/// How the destination responds to set-ups.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DestBehavior {
    Congested,
    Busy,
    Silent,
}

struct Network {
    now: Duration,
    /// Exchange 1, which has the client's line.
    origin: Exchange,
    tandems: BTreeMap<u16, CallControl>,
    transport: TestTransport,
    dest_behavior: DestBehavior,
    line: LineId,
    /// Number of set-ups sent by exchange 1 and of onward set-ups sent by tandems, by the id of the call at exchange 1.
    set_ups: BTreeMap<u64, (u32, u32)>,
}

/// Each link is given as its far exchange and its number of circuits.
fn config(own: u16, links: &[(u16, u16)]) -> Config {
    let links = links.iter().map(|(to, circuits)| json!({ "to": to, "circuits": circuits }));
    serde_json::from_value(json!({
        "exchange": own,
        "signalling": { "listen": "127.0.0.1:1", "links": links.collect::<Vec<_>>() },
        "call_types": [{ "name": "call", "setup_target_ms": 2000, "guard_time_ms": 9000, "revenue": 1,
                         "mean_hold_ms": 10000 }],
    }))
    .unwrap()
}

impl Network {
    fn new(dest_behavior: DestBehavior, direct_circuits: u16) -> Self {
        let origin_config = config(1, &[(DEST, direct_circuits), (TANDEMS[0], 310), (TANDEMS[1], 310)]);
        let entries: Vec<_> = (1..=4)
            .map(|number| ExchangeEntry {
                id: ExchangeId(number),
                number: ExchangeNumber(number as u16),
                zone: Zone(0),
                status: ExchangeStatus::Ready,
                started: Duration::ZERO,
            })
            .collect();
        let mut origin = Exchange::new(START, &origin_config, 1, 1);
        let line = origin.line_open(START).unwrap();
        let mut transport = TestTransport::default();
        let entry =
            |number: u16| json!({ "exchange": number, "office": number, "region": 0, "standing": "ready" });
        let update = json!({ "version": 1, "entries": [entry(1), entry(2), entry(3), entry(4)] });
        let notification =
            mintstall_membership::DirectoryNotification::Membership(serde_json::from_value(update).unwrap());
        origin.on_directory_notification(START, &mut transport, &notification);
        let tandem = |number: u16| {
            CallControl::new(
                START,
                &config(number, &[(1, 310), (DEST, 310)]).call_control_config(),
                1,
                number.into(),
            )
        };
        let (tandems, set_ups) = (TANDEMS.map(|number| (number, tandem(number))).into(), BTreeMap::new());
        let mut network = Self { now: START, origin, tandems, transport, dest_behavior, line, set_ups };
        for to in [DEST, TANDEMS[0], TANDEMS[1]] {
            network.origin.link_up(START, &mut network.transport, ExchangeNumber(to));
        }
        for tandem in TANDEMS {
            network.transport.from = tandem;
            let call_control = network.tandems.get_mut(&tandem).unwrap();
            call_control.on_membership(START, &mut network.transport, &entries);
            [1, DEST]
                .iter()
                .for_each(|to| call_control.link_up(START, &mut network.transport, ExchangeNumber(*to)));
        }
        network.deliver();
        network
    }

    /// The octets that the destination sends in response to a frame.
    fn dest_response(&self, from: u16, octets: &[u8]) -> Vec<u8> {
        let mut out = Vec::new();
        let mut frames = Deframer::default();
        frames.push(octets);
        let frame = frames.next().unwrap().unwrap().to_vec();
        let mut write = |cic: Cic, body: Body| {
            let mut user = Vec::new();
            Message::new(cic, body).write(&mut user);
            let (opc, dpc) = (DEST.into(), from.into());
            Frame::Data(ProtocolData { opc, dpc, service: 5, network: 2, priority: 0, sls: 0, user: &user })
                .write(&mut out);
        };
        match Frame::read(&frame).unwrap() {
            Frame::AspUp { .. } => {
                Frame::AspUpAck { asp: Some(DEST.into()) }.write(&mut out);
                Frame::AspUp { asp: Some(DEST.into()) }.write(&mut out);
                Frame::AspActive.write(&mut out);
            }
            Frame::AspActive => Frame::AspActiveAck.write(&mut out),
            Frame::Heartbeat(data) => Frame::HeartbeatAck(data).write(&mut out),
            Frame::Data(data) => {
                let Message { cic, body } = Message::read(data.user).unwrap();
                match body {
                    Body::Iam(_) if self.dest_behavior == DestBehavior::Silent => {}
                    Body::Iam(_) => {
                        let cause = if self.dest_behavior == DestBehavior::Busy {
                            Q850::UserBusy
                        } else {
                            Q850::Congestion
                        };
                        write(cic, Body::Rel(Rel::new(CauseIndicators::new(Location::Local, cause))));
                    }
                    Body::Grs { count } => {
                        write(cic, Body::Gra(mintstall_isup::RangeStatus { count, status: 0 }))
                    }
                    Body::Rel(_) => write(cic, Body::Rlc { unknown_parameters: Vec::new() }),
                    _ => {}
                }
            }
            _ => {}
        }
        out
    }

    /// Delivers all octets in transit, and those sent in response, without delay.
    fn deliver(&mut self) {
        while let Some((from, to, octets)) = self.transport.in_transit.pop_front() {
            self.count_set_ups(from, &octets);
            self.deliver_octets(from, to, &octets);
        }
    }

    fn deliver_octets(&mut self, from: u16, to: u16, octets: &[u8]) {
        self.transport.from = to;
        let (now, far) = (self.now, ExchangeNumber(from));
        match to {
            1 => self.origin.link_octets(now, &mut self.transport, far, octets),
            DEST => {
                let response = self.dest_response(from, octets);
                if !response.is_empty() {
                    self.transport.in_transit.push_back((DEST, from, response));
                }
            }
            tandem => self.tandems.get_mut(&tandem).unwrap().on_octets(now, &mut self.transport, far, octets),
        }
    }

    fn count_set_ups(&mut self, from: u16, octets: &[u8]) {
        let mut frames = Deframer::default();
        frames.push(octets);
        while let Ok(Some(frame)) = frames.next() {
            if let Ok(Frame::Data(data)) = Frame::read(frame)
                && let Ok(Message { body: Body::Iam(iam), .. }) = Message::read(data.user)
            {
                let (set_ups, onward) = self.set_ups.entry(iam.identity.unwrap().call).or_default();
                *(if from == 1 { set_ups } else { onward }) += 1;
            }
        }
    }

    fn run_until(&mut self, end: Duration) {
        loop {
            let tandems = self
                .tandems
                .iter()
                .filter_map(|(tandem, call_control)| Some((call_control.next_timer()?, *tandem)));
            let next = tandems.chain(self.origin.next_timer().map(|at| (at, 1))).min();
            let Some((at, exchange)) = next.filter(|(at, _)| *at <= end) else { break };
            self.now = self.now.max(at);
            let now = self.now;
            self.transport.from = exchange;
            match exchange {
                1 => self.origin.on_timer(now, &mut self.transport),
                tandem => self.tandems.get_mut(&tandem).unwrap().on_timer(now, &mut self.transport),
            }
            self.deliver();
        }
        self.now = end;
    }

    fn offer(&mut self, call: u64, time_left: Duration, redial: bool) {
        let offer = Offer {
            call,
            call_type: 0,
            customer: 0,
            dest: DEST,
            number: 1000 + call,
            time_left_ms: time_left.as_millis() as u32,
            advised: None,
            cut: false,
            redial,
        };
        let text = RequestMessage { id: Some(json!(call)), request: Request::Offer(offer) }.text();
        let now = self.now;
        self.origin.line_message(now, &mut self.transport, self.line, text.as_bytes());
        self.deliver();
    }
}

/// A client's call that waits for an answer, or for its next offer.
struct ClientCall {
    deadline: Duration,
    offers: u8,
    /// `Duration::MAX` while the call waits for an answer.
    next_offer_at: Duration,
}

/// Makes 300 calls, ten a second, all of which fail. Checks the bounds of each call and of the sums, and returns the sums: offers,
/// set-ups by exchange 1, onward set-ups.
fn run_failing_calls(dest_behavior: DestBehavior, direct_circuits: u16) -> (u32, u32, u32) {
    const CALLS: u64 = 300;
    let mut network = Network::new(dest_behavior, direct_circuits);
    let mut redial_budget = RedialBudget::new(RedialPolicy::default(), 1);
    // Both maps are keyed by the client's call; keys are multiples of 10. An offer's number is the key plus the count of
    // offers.
    let mut waiting: BTreeMap<u64, ClientCall> = BTreeMap::new();
    // Numbers of offers, of set-ups by exchange 1 and of onward set-ups.
    let mut attempts: BTreeMap<u64, (u32, u32, u32)> = BTreeMap::new();
    for call in 0..CALLS {
        let at = START + Duration::from_millis(100 * call);
        waiting.insert(
            10 * call,
            ClientCall { deadline: at + Duration::from_secs(9), offers: 0, next_offer_at: at },
        );
    }
    while let Some((key, at)) =
        waiting.iter().map(|(key, call)| (*key, call.next_offer_at)).min_by_key(|(_, at)| *at)
    {
        // Time advances in steps of at most 10 ms, so that an answer that arrives before the next offer is handled soon after
        // its arrival.
        let step = (network.now + Duration::from_millis(10)).min(at);
        network.run_until(step.max(network.now));
        if network.now >= at {
            let call = waiting.get_mut(&key).unwrap();
            (call.offers, call.next_offer_at) = (call.offers + 1, Duration::MAX);
            let (time_left, is_redial) = (call.deadline.saturating_sub(network.now), call.offers > 1);
            if !is_redial {
                redial_budget.on_first_offer();
            }
            let offer_number = key + u64::from(call.offers);
            attempts.entry(key).or_default().0 += 1;
            network.offer(offer_number, time_left, is_redial);
        }
        for message in std::mem::take(&mut network.transport.client_messages) {
            let ServerMessage::Answered(answered) = message else { panic!("{message:?}") };
            let key = answered.call / 10 * 10;
            let (set_ups, onward) = network.set_ups.remove(&answered.exchange_call).unwrap_or_default();
            let counts = attempts.entry(key).or_default();
            (counts.1, counts.2) = (counts.1 + set_ups, counts.2 + onward);
            let call = waiting.get_mut(&key).unwrap();
            let retry_after = match answered.answer {
                FinalAnswer::Stands => panic!("a call was answered"),
                FinalAnswer::Refused { come_back_ms } => Some(Duration::from_millis(come_back_ms.into())),
                FinalAnswer::Fails => None,
            };
            match redial_budget.next_offer_at(network.now, call.deadline, call.offers, retry_after) {
                Ok(at) => call.next_offer_at = at,
                Err(_) => _ = waiting.remove(&key),
            }
        }
    }
    for (call, (offers, set_ups, onward)) in &attempts {
        assert!(
            *offers <= 3 && *set_ups <= 4 * offers && onward <= set_ups,
            "call {call}: {offers} offers, {set_ups} set-ups, {onward} onward"
        );
    }
    let sum = attempts
        .values()
        .fold((0, 0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1, sum.2 + counts.2));
    // The client's budget allows further offers for one in ten of its calls, that of the exchange further seizures for one in
    // ten of its offers. Each budget starts with a credit of two.
    let (offers, set_ups, _) = sum;
    assert!(
        f64::from(offers) <= 1.1 * CALLS as f64 + 2.0,
        "{dest_behavior:?}: {offers} offers for {CALLS} calls"
    );
    assert!(
        f64::from(set_ups) <= 1.1 * f64::from(offers) + 2.0,
        "{dest_behavior:?}: {set_ups} set-ups for {offers} offers"
    );
    sum
}

#[test]
fn further_attempts_stay_within_the_bounds_per_layer_and_per_call() {
    let (offers, set_ups, onward) = run_failing_calls(DestBehavior::Congested, 310);
    assert!(
        offers > 302 && set_ups > 10 && onward == 0,
        "direct, congested: {offers} offers, {set_ups} set-ups, {onward} onward"
    );
    let (offers, set_ups, onward) = run_failing_calls(DestBehavior::Busy, 310);
    assert!(
        offers > 302 && set_ups > 200 && onward == 0,
        "direct, busy: {offers} offers, {set_ups} set-ups, {onward} onward"
    );
    // There is one direct circuit, so the other calls go over tandems.
    let (offers, set_ups, onward) = run_failing_calls(DestBehavior::Silent, 1);
    assert!(
        offers > 302 && set_ups > 10 && onward > 10,
        "over tandems, silent: {offers} offers, {set_ups} set-ups, {onward} onward"
    );
}
