//! All instances of this process: takes a batch apart, tells each controller its part and writes
//! down what the controllers do.

use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use mintstall::Controller;
use mintstall::interface::{
    CallId, CallOffer, CallType, CapacityReport, Cause, ControllerActions, CustomerId, DialledNumber,
    ExchangeEntry, ExchangeId, ExchangeNumber, ExchangeStatus, PeerId, SeizureAnswered, SeizureEnded,
    SeizureNumber, TimerId, Zone,
};

use mintstall_settings::{LoadReportLayout, from_lines};

use crate::frames::{Fields, FrameError, Read, Record, bad};

/// Writes what one controller does into the reply.
struct Line<'a> {
    reply: &'a mut Vec<u8>,
    count: &'a mut u32,
    controller: u16,
}

impl Line<'_> {
    fn record(&mut self, code: u8) -> Record<'_> {
        *self.count += 1;
        Record::new(self.reply, code, self.controller)
    }
}

impl ControllerActions for Line<'_> {
    fn seize(&mut self, call: CallId, to: ExchangeId, limit: Duration) {
        self.record(67).put(call.0.to_be_bytes()).put(to.0.to_be_bytes()).time(limit);
    }

    fn cancel(&mut self, call: CallId, seizure: SeizureNumber) {
        self.record(64).put(call.0.to_be_bytes()).put([seizure.0]);
    }

    fn reject(&mut self, call: CallId, retry_after: Duration) {
        self.record(70).put(call.0.to_be_bytes()).time(retry_after);
    }

    fn release(&mut self, call: CallId) {
        self.record(71).put(call.0.to_be_bytes());
    }

    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        self.record(69).time(after).put(timer.0.to_be_bytes());
    }

    fn send_to_peers(&mut self, peer: Option<PeerId>, message: &[u8]) {
        let to = peer.map_or(u32::MAX, |peer| peer.0.into());
        self.record(65).put(to.to_be_bytes()).counted(message);
    }

    fn subscribe(&mut self) {
        self.record(75).put([1]);
    }

    fn log(&mut self, line: &str) {
        self.record(73).counted(line.as_bytes());
    }
}

struct Instance {
    controller: Controller,
    layout: LoadReportLayout,
}

#[derive(Default)]
pub struct BatchProcessor {
    instances: HashMap<u16, Instance>,
    rosters: HashMap<u16, Vec<ExchangeEntry>>,
}

fn cause(code: u16, clear_code: u32) -> Read<Cause> {
    let wait = Duration::from_millis(u64::from(clear_code >> 4));
    Ok(match (code, clear_code & 15) {
        (10, _) => Cause::Done,
        (20, 4) => Cause::Busy,
        (20, _) => Cause::Fault,
        (30, 1) => Cause::NoCircuit,
        (30, 2) => Cause::TurnedBack { beyond: clear_code & 16 != 0 },
        (30, _) => Cause::ProcessorFull { wait },
        (40, _) => Cause::TimedOut,
        (50, _) => Cause::Unreachable,
        (60, _) => Cause::Cut,
        (70, _) => Cause::Cancelled,
        (80, low) => Cause::NotSent { own_down: low == 3 },
        _ => return bad(format!("resolved: unknown code {code}")),
    })
}

fn roster(fields: &mut Fields) -> Read<(u16, Vec<ExchangeEntry>)> {
    let number = fields.u16()?;
    let count = fields.u32()?;
    let mut lines = Vec::new();
    for _ in 0..count {
        let exchange = ExchangeId(fields.u32()?);
        let zone = Zone(fields.u8()?);
        let _kind = fields.u8()?;
        let office = ExchangeNumber(fields.u16()?);
        let standing = match fields.u8()? {
            0 => ExchangeStatus::Gone,
            1 => ExchangeStatus::Ready,
            2 => ExchangeStatus::Draining,
            other => return bad(format!("ledger: unknown mode {other}")),
        };
        let _capacity_hint = fields.f32()?;
        lines.push(ExchangeEntry {
            id: exchange,
            number: office,
            zone,
            status: standing,
            started: fields.time()?,
        });
    }
    Ok((number, lines))
}

fn report(fields: &mut Fields, layout: &LoadReportLayout) -> Read<CapacityReport> {
    let mut values = [0.0; u8::MAX as usize];
    let count = usize::from(fields.u8()?);
    for value in &mut values[..count] {
        *value = fields.f32()?;
    }
    Ok(layout.positional_report(values[..count].iter().copied()))
}

/// A number that the wire carries as a float; those below nought mean none.
fn whole(value: f32) -> Option<u16> {
    (value >= 0.0 && value <= f32::from(u16::MAX)).then_some(value as u16)
}

fn offer(fields: &mut Fields) -> Read<CallOffer> {
    let call = CallId(fields.u64()?);
    let call_type = CallType(fields.u8()?);
    let customer = CustomerId(fields.u16()?);
    let dialled = DialledNumber(fields.u64()?);
    let deadline = fields.time()?;
    let _predicted = fields.take(8)?;
    let Some(dest) = whole(fields.f32()?) else {
        return bad("work_item: dest is no number of an exchange");
    };
    let width = whole(fields.f32()?).unwrap_or(1).max(1);
    let advised = whole(fields.f32()?).map(ExchangeNumber);
    let marks = fields.u8()?;
    Ok(CallOffer {
        call,
        call_type,
        customer,
        dialled,
        deadline,
        dest: ExchangeNumber(dest),
        width,
        advised,
        transit: marks & 8 != 0,
        cut: marks & 16 != 0,
        redial: marks & 2 != 0,
    })
}

impl BatchProcessor {
    /// Answers one batch; `batch` is what follows its length.
    pub fn process(&mut self, batch: &[u8], reply: &mut Vec<u8>) -> Read<()> {
        let mut fields = Fields::new(batch, "batch");
        let now = fields.time()?;
        let number = fields.u32()?;
        reply.clear();
        reply.extend([0; 8]);
        reply.extend(number.to_be_bytes());
        let mut count = 0;
        while !fields.is_empty() {
            let (code, record) = fields.record()?;
            self.take(now, code, record, reply, &mut count)?;
        }
        let length = (reply.len() - 8) as u32;
        reply[..4].copy_from_slice(&count.to_be_bytes());
        reply[4..8].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }

    fn take(&mut self, now: Duration, code: u8, f: Fields, reply: &mut Vec<u8>, count: &mut u32) -> Read<()> {
        const NAMES: [&str; 11] = [
            "attach",
            "targets",
            "work_item",
            "headers",
            "resolved",
            "withdrawn",
            "deadline_hit",
            "checked",
            "datagram",
            "crash_now",
            "ledger",
        ];
        let Some(name) = NAMES.get(usize::from(code)) else {
            return Ok(());
        };
        let f = &mut f.named(name);
        if code == 10 {
            let (number, lines) = roster(f)?;
            self.rosters.insert(number, lines);
            return Ok(());
        }
        let number = f.u16()?;
        let line = &mut Line { reply, count, controller: number };
        if code == 0 {
            let seed = f.u64()?;
            let length = f.u32()? as usize;
            let settings = from_lines(f.take(length)?).map_err(|error| FrameError(error.0))?;
            let controller = Controller::new(&settings.controller, seed);
            self.instances.insert(number, Instance { controller, layout: settings.reports });
            return Ok(());
        }
        if code == 9 {
            self.instances.remove(&number);
            return Ok(());
        }
        let Some(Instance { controller, layout }) = self.instances.get_mut(&number) else {
            return bad(format!("{name}: instance {number} was never attached"));
        };
        let rosters = &self.rosters;
        // A fault of the module must not pass for a decision: the day ends with its text.
        catch_unwind(AssertUnwindSafe(|| tell(controller, layout, rosters, now, code, f, line)))
            .unwrap_or_else(|panic| {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
                line.record(74).counted(text.as_bytes());
                Ok(())
            })
    }
}

/// Tells one controller one thing.
fn tell(
    controller: &mut Controller,
    layout: &LoadReportLayout,
    rosters: &HashMap<u16, Vec<ExchangeEntry>>,
    now: Duration,
    code: u8,
    f: &mut Fields,
    actions: &mut Line,
) -> Read<()> {
    match code {
        1 => {
            let _epoch = f.u64()?;
            let how = f.u8()?;
            let list = f.u16()?;
            match (how, rosters.get(&list)) {
                (1, _) => controller.on_subscription_failed(now, actions),
                (0 | 2, Some(lines)) => controller.on_membership(now, actions, lines),
                (3, Some(lines)) => controller.on_membership_changes(now, actions, lines),
                (0 | 2 | 3, None) => return bad(format!("targets: ledger {list} was never sent")),
                _ => return bad(format!("targets: unknown kind {how}")),
            }
        }
        2 => controller.on_offer(now, actions, offer(f)?),
        3 => {
            let (call, seizure) = (CallId(f.u64()?), SeizureNumber(f.u8()?));
            let exchange = ExchangeId(f.u32()?);
            controller.on_seizure_answered(
                now,
                actions,
                &SeizureAnswered { call, seizure, exchange, elapsed: f.time()? },
            );
        }
        4 => {
            let (call, seizure) = (CallId(f.u64()?), SeizureNumber(f.u8()?));
            let exchange = ExchangeId(f.u32()?);
            let code = f.u16()?;
            let elapsed = f.time()?;
            let closed = f.u8()? != 0;
            let cause = cause(code, f.u32()?)?;
            controller.on_capacity_report(now, actions, exchange, &report(f, layout)?);
            controller.on_seizure_ended(
                now,
                actions,
                &SeizureEnded { call, seizure, exchange, cause, elapsed, closed },
            );
        }
        5 => controller.on_caller_gone(now, actions, CallId(f.u64()?)),
        6 => controller.on_timer(now, actions, TimerId(f.u64()?)),
        7 => {
            let exchange = ExchangeId(f.u32()?);
            let (_code, _after) = (f.u16()?, f.time()?);
            controller.on_capacity_report(now, actions, exchange, &report(f, layout)?);
        }
        8 => {
            let peer = PeerId(f.u16()?);
            let length = usize::from(f.u16()?);
            controller.on_peer_message(now, actions, peer, f.take(length)?);
        }
        _ => {}
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bytes(hex: &str) -> Vec<u8> {
        let digits: Vec<u32> = hex.chars().filter_map(|c| c.to_digit(16)).collect();
        digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect()
    }

    #[test]
    fn the_empty_batch_is_answered() {
        let mut reply = Vec::new();
        BatchProcessor::default().process(&bytes("4020d3126e978d50 00000001"), &mut reply).unwrap();
        assert_eq!(reply, bytes("00000000 00000004 00000001"));
    }

    #[test]
    fn the_worked_actions_are_written_to_the_letter() {
        let (mut reply, mut count) = (Vec::new(), 0);
        let mut line = Line { reply: &mut reply, count: &mut count, controller: 3 };
        line.seize(CallId(0x000d_f759_5d3a_91c4), ExchangeId(0x0312_4a07), Duration::from_millis(80));
        line.set_timer(Duration::from_millis(500), TimerId(0x4d));
        line.send_to_peers(None, b"hi 7");
        line.log("two servers known");
        let wanted = "43 00000016 0003 000df7595d3a91c4 03124a07 3fb47ae147ae147b
                      45 00000012 0003 3fe0000000000000 000000000000004d
                      41 0000000c 0003 ffffffff 0004 68692037
                      49 00000015 0003 0011 74776f2073657276657273206b6e6f776e";
        assert_eq!((reply, count), (bytes(wanted), 4));
    }

    #[test]
    fn the_worked_events_are_read() {
        let record = bytes(
            "02 00000032 0003 000df7595d3a91c4 00 0000 91f03b7c55d20a64 40214df3b645a1cb 3f889374bc6a7efa
             42640000 44960000 43800000 01",
        );
        let (code, mut fields) = Fields::new(&record, "batch").record().unwrap();
        assert_eq!((code, fields.u16().unwrap()), (2, 3));
        let offer = offer(&mut fields).unwrap();
        assert_eq!(
            (offer.call, offer.dest, offer.width),
            (CallId(0x000d_f759_5d3a_91c4), ExchangeNumber(57), 1200)
        );
        assert_eq!((offer.deadline, offer.transit), (Duration::from_micros(8_652_250), false));
        let ledger = bytes(
            "0000 00000002 03124a07 00 00 0000 01 3f800000 0000000000000000
             2c9011f2 01 00 0000 01 3fc00000 4018666666666666",
        );
        let (number, lines) = roster(&mut Fields::new(&ledger, "ledger")).unwrap();
        assert_eq!((number, lines.len(), lines[1].id), (0, 2, ExchangeId(0x2c90_11f2)));
        assert_eq!(lines[1].started, Duration::from_millis(6100));
    }

    #[test]
    fn records_of_unknown_kind_are_passed_over() {
        let mut reply = Vec::new();
        let batch = bytes("4020d3126e978d50 00000002 c8 00000003 aabbcc");
        BatchProcessor::default().process(&batch, &mut reply).unwrap();
        assert_eq!(reply, bytes("00000000 00000004 00000002"));
    }
}
