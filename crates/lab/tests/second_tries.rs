//! Every second try that one call causes, counted on the wire over all layers: offers of a client, set-ups of the exchange that
//! took it, onward set-ups of tandems. The bounds are those of the table in `docs/hardening-review.md`.

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
const DEST: u16 = 2;
const TANDEMS: [u16; 2] = [3, 4];

/// What is on its way between exchanges, and what the client was told.
#[derive(Default)]
struct Wires {
    from: u16,
    sent: VecDeque<(u16, u16, Vec<u8>)>,
    said: Vec<ServerMessage>,
}

impl Transport for Wires {
    fn send_to_link(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.sent.push_back((1, to.0, octets.to_vec()));
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn send_to_line(&mut self, _: LineId, text: &str) {
        self.said.push(ServerMessage::read(text.as_bytes()).unwrap());
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

impl CallControlActions for Wires {
    fn send(&mut self, to: ExchangeNumber, octets: &[u8]) {
        self.sent.push_back((self.from, to.0, octets.to_vec()));
    }
    fn close_link(&mut self, _: ExchangeNumber, why: &str) {
        panic!("{why}");
    }
    fn answer(&mut self, _: CallId, _: Answer) {}
    fn call_ended(&mut self, _: CallId, _: CallEnd) {}
    fn log_info(&mut self, _: &str) {}
}

/// How the destination treats set-ups.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Far {
    Full,
    Busy,
    Silent,
}

struct Net {
    now: Duration,
    first: Exchange,
    tandems: BTreeMap<u16, CallControl>,
    wires: Wires,
    far: Far,
    line: LineId,
    /// Set-ups by the first exchange, and onward ones, by its number of the call.
    set_ups: BTreeMap<u64, (u32, u32)>,
}

/// Links are to an exchange, with so many circuits.
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

impl Net {
    fn new(far: Far, direct: u16) -> Self {
        let own = config(1, &[(DEST, direct), (TANDEMS[0], 310), (TANDEMS[1], 310)]);
        let lines: Vec<_> = (1..=4)
            .map(|no| ExchangeEntry {
                id: ExchangeId(no),
                number: ExchangeNumber(no as u16),
                zone: Zone(0),
                status: ExchangeStatus::Ready,
                started: Duration::ZERO,
            })
            .collect();
        let mut first = Exchange::new(START, &own, 1, 1);
        let line = first.line_open(START).unwrap();
        let mut wires = Wires::default();
        let entry = |no: u16| json!({ "exchange": no, "office": no, "region": 0, "standing": "ready" });
        let news = json!({ "version": 1, "entries": [entry(1), entry(2), entry(3), entry(4)] });
        let note =
            mintstall_membership::DirectoryNotification::Membership(serde_json::from_value(news).unwrap());
        first.on_directory_notification(START, &mut wires, &note);
        let tandem = |no: u16| {
            CallControl::new(START, &config(no, &[(1, 310), (DEST, 310)]).call_control_config(), 1, no.into())
        };
        let (tandems, set_ups) = (TANDEMS.map(|no| (no, tandem(no))).into(), BTreeMap::new());
        let mut net = Self { now: START, first, tandems, wires, far, line, set_ups };
        for to in [DEST, TANDEMS[0], TANDEMS[1]] {
            net.first.link_up(START, &mut net.wires, ExchangeNumber(to));
        }
        for no in TANDEMS {
            net.wires.from = no;
            let office = net.tandems.get_mut(&no).unwrap();
            office.on_membership(START, &mut net.wires, &lines);
            [1, DEST].iter().for_each(|to| office.link_up(START, &mut net.wires, ExchangeNumber(*to)));
        }
        net.carry();
        net
    }

    /// What the destination does with a frame; the time that passes on the way is none.
    fn at_dest(&self, from: u16, octets: &[u8]) -> Vec<u8> {
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
                    Body::Iam(_) if self.far == Far::Silent => {}
                    Body::Iam(_) => {
                        let why = if self.far == Far::Busy { Q850::UserBusy } else { Q850::Congestion };
                        write(cic, Body::Rel(Rel::new(CauseIndicators::new(Location::Local, why))));
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

    fn carry(&mut self) {
        while let Some((from, to, octets)) = self.wires.sent.pop_front() {
            self.count(from, &octets);
            self.give(from, to, &octets);
        }
    }

    fn give(&mut self, from: u16, to: u16, octets: &[u8]) {
        self.wires.from = to;
        let (now, far) = (self.now, ExchangeNumber(from));
        match to {
            1 => self.first.link_octets(now, &mut self.wires, far, octets),
            DEST => {
                let back = self.at_dest(from, octets);
                if !back.is_empty() {
                    self.wires.sent.push_back((DEST, from, back));
                }
            }
            tandem => self.tandems.get_mut(&tandem).unwrap().on_octets(now, &mut self.wires, far, octets),
        }
    }

    fn count(&mut self, from: u16, octets: &[u8]) {
        let mut frames = Deframer::default();
        frames.push(octets);
        while let Ok(Some(frame)) = frames.next() {
            if let Ok(Frame::Data(data)) = Frame::read(frame)
                && let Ok(Message { body: Body::Iam(iam), .. }) = Message::read(data.user)
            {
                let (first, onward) = self.set_ups.entry(iam.identity.unwrap().call).or_default();
                *(if from == 1 { first } else { onward }) += 1;
            }
        }
    }

    fn pass_until(&mut self, end: Duration) {
        loop {
            let tandems = self.tandems.iter().filter_map(|(no, office)| Some((office.next_timer()?, *no)));
            let next = tandems.chain(self.first.next_timer().map(|at| (at, 1))).min();
            let Some((at, no)) = next.filter(|(at, _)| *at <= end) else { break };
            self.now = self.now.max(at);
            let now = self.now;
            self.wires.from = no;
            match no {
                1 => self.first.on_timer(now, &mut self.wires),
                tandem => self.tandems.get_mut(&tandem).unwrap().on_timer(now, &mut self.wires),
            }
            self.carry();
        }
        self.now = end;
    }

    fn offer(&mut self, call: u64, left: Duration, redial: bool) {
        let offer = Offer {
            call,
            call_type: 0,
            customer: 0,
            dest: DEST,
            number: 1000 + call,
            time_left_ms: left.as_millis() as u32,
            advised: None,
            cut: false,
            redial,
        };
        let text = RequestMessage { id: Some(json!(call)), request: Request::Offer(offer) }.text();
        let now = self.now;
        self.first.line_message(now, &mut self.wires, self.line, text.as_bytes());
        self.carry();
    }
}

/// A client's call that waits for an answer, or for its next offer.
struct Wish {
    until: Duration,
    offers: u8,
    at: Duration,
}

/// 300 calls, ten a second, all of which fail; the figures of the whole.
fn all_fail(far: Far, direct: u16) -> (u32, u32, u32) {
    const CALLS: u64 = 300;
    let mut net = Net::new(far, direct);
    let mut redial = RedialBudget::new(RedialPolicy::default(), 1);
    // By the number of the offer, ten apart; by the exchange's number, which client's call it was.
    let mut wishes: BTreeMap<u64, Wish> = BTreeMap::new();
    let mut of_call: BTreeMap<u64, (u32, u32, u32)> = BTreeMap::new();
    for call in 0..CALLS {
        let at = START + Duration::from_millis(100 * call);
        wishes.insert(10 * call, Wish { until: at + Duration::from_secs(9), offers: 0, at });
    }
    while let Some((no, at)) = wishes.iter().map(|(no, wish)| (*no, wish.at)).min_by_key(|(_, at)| *at) {
        // Answers come in between: time passes in small steps.
        let step = (net.now + Duration::from_millis(10)).min(at);
        net.pass_until(step.max(net.now));
        if net.now >= at {
            let wish = wishes.get_mut(&no).unwrap();
            (wish.offers, wish.at) = (wish.offers + 1, Duration::MAX);
            let (left, again) = (wish.until.saturating_sub(net.now), wish.offers > 1);
            if !again {
                redial.on_first_offer();
            }
            let name = no + u64::from(wish.offers);
            of_call.entry(no).or_default().0 += 1;
            net.offer(name, left, again);
        }
        for heard in std::mem::take(&mut net.wires.said) {
            let ServerMessage::Answered(answered) = heard else { panic!("{heard:?}") };
            let no = answered.call / 10 * 10;
            let (first, onward) = net.set_ups.remove(&answered.exchange_call).unwrap_or_default();
            let of = of_call.entry(no).or_default();
            (of.1, of.2) = (of.1 + first, of.2 + onward);
            let wish = wishes.get_mut(&no).unwrap();
            let told = match answered.answer {
                FinalAnswer::Stands => panic!("all fail"),
                FinalAnswer::Refused { come_back_ms } => Some(Duration::from_millis(come_back_ms.into())),
                FinalAnswer::Fails => None,
            };
            match redial.next_offer_at(net.now, wish.until, wish.offers, told) {
                Ok(at) => wish.at = at,
                Err(_) => _ = wishes.remove(&no),
            }
        }
    }
    for (call, (offers, first, onward)) in &of_call {
        assert!(*offers <= 3 && *first <= 4 * offers && onward <= first, "{call}: {offers} {first} {onward}");
    }
    let sum = of_call.values().fold((0, 0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1, sum.2 + of.2));
    // One in ten of the client's calls is offered again, and one in ten of the exchange's offers is seized again,
    // besides what each starts with: two, and two.
    let (offers, first, _) = sum;
    assert!(f64::from(offers) <= 1.1 * CALLS as f64 + 2.0, "{far:?}: {offers} offers of {CALLS} calls");
    assert!(f64::from(first) <= 1.1 * f64::from(offers) + 2.0, "{far:?}: {first} set-ups of {offers} offers");
    sum
}

#[test]
fn each_layer_keeps_to_its_own_bound_and_the_product_is_as_stated() {
    let (offers, first, onward) = all_fail(Far::Full, 310);
    assert!(offers > 302 && first > 10 && onward == 0, "direct, full: {offers} {first} {onward}");
    let (offers, first, onward) = all_fail(Far::Busy, 310);
    assert!(offers > 302 && first > 200 && onward == 0, "direct, busy: {offers} {first} {onward}");
    // One direct circuit: the others go over tandems.
    let (offers, first, onward) = all_fail(Far::Silent, 1);
    assert!(offers > 302 && first > 10 && onward > 10, "over tandems, silent: {offers} {first} {onward}");
}
