//! All controllers of this process: decodes a batch of events, passes each event to its controller and encodes the
//! controllers' actions in the reply.

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

use crate::frames::{Fields, FrameError, ReadResult, Record, frame_error};

/// Encodes the actions of one controller in the reply.
struct ReplyWriter<'a> {
    reply: &'a mut Vec<u8>,
    count: &'a mut u32,
    controller: u16,
}

impl ReplyWriter<'_> {
    fn record(&mut self, code: u8) -> Record<'_> {
        *self.count += 1;
        Record::new(self.reply, code, self.controller)
    }
}

impl ControllerActions for ReplyWriter<'_> {
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
    memberships: HashMap<u16, Vec<ExchangeEntry>>,
}

fn cause(code: u16, clear_code: u32) -> ReadResult<Cause> {
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
        _ => return frame_error(format!("resolved: unknown code {code}")),
    })
}

fn membership(fields: &mut Fields) -> ReadResult<(u16, Vec<ExchangeEntry>)> {
    let number = fields.u16()?;
    let count = fields.u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        let id = ExchangeId(fields.u32()?);
        let zone = Zone(fields.u8()?);
        let _kind = fields.u8()?;
        let exchange_number = ExchangeNumber(fields.u16()?);
        let status = match fields.u8()? {
            0 => ExchangeStatus::Gone,
            1 => ExchangeStatus::Ready,
            2 => ExchangeStatus::Draining,
            other => return frame_error(format!("ledger: unknown mode {other}")),
        };
        let _capacity_hint = fields.f32()?;
        entries.push(ExchangeEntry { id, number: exchange_number, zone, status, started: fields.time()? });
    }
    Ok((number, entries))
}

fn report(fields: &mut Fields, layout: &LoadReportLayout) -> ReadResult<CapacityReport> {
    let mut values = [0.0; u8::MAX as usize];
    let count = usize::from(fields.u8()?);
    for value in &mut values[..count] {
        *value = fields.f32()?;
    }
    Ok(layout.positional_report(values[..count].iter().copied()))
}

/// A number that is sent as a float; negative values mean that there is none.
fn optional_number(value: f32) -> Option<u16> {
    (value >= 0.0 && value <= f32::from(u16::MAX)).then_some(value as u16)
}

fn offer(fields: &mut Fields) -> ReadResult<CallOffer> {
    let call = CallId(fields.u64()?);
    let call_type = CallType(fields.u8()?);
    let customer = CustomerId(fields.u16()?);
    let dialled = DialledNumber(fields.u64()?);
    let deadline = fields.time()?;
    let _predicted = fields.take(8)?;
    let Some(dest) = optional_number(fields.f32()?) else {
        return frame_error("work_item: dest is not an exchange number");
    };
    let width = optional_number(fields.f32()?).unwrap_or(1).max(1);
    let advised = optional_number(fields.f32()?).map(ExchangeNumber);
    let flags = fields.u8()?;
    Ok(CallOffer {
        call,
        call_type,
        customer,
        dialled,
        deadline,
        dest: ExchangeNumber(dest),
        width,
        advised,
        transit: flags & 8 != 0,
        cut: flags & 16 != 0,
        redial: flags & 2 != 0,
    })
}

impl BatchProcessor {
    /// Handles one batch and writes the reply; `batch` is without its length field.
    pub fn process(&mut self, batch: &[u8], reply: &mut Vec<u8>) -> ReadResult<()> {
        let mut fields = Fields::new(batch, "batch");
        let now = fields.time()?;
        let number = fields.u32()?;
        reply.clear();
        reply.extend([0; 8]);
        reply.extend(number.to_be_bytes());
        let mut count = 0;
        while !fields.is_empty() {
            let (code, record) = fields.record()?;
            self.handle_record(now, code, record, reply, &mut count)?;
        }
        let length = (reply.len() - 8) as u32;
        reply[..4].copy_from_slice(&count.to_be_bytes());
        reply[4..8].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }

    fn handle_record(
        &mut self,
        now: Duration,
        code: u8,
        fields: Fields,
        reply: &mut Vec<u8>,
        count: &mut u32,
    ) -> ReadResult<()> {
        const RECORD_NAMES: [&str; 11] = [
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
        let Some(name) = RECORD_NAMES.get(usize::from(code)) else {
            return Ok(());
        };
        let fields = &mut fields.with_name(name);
        if code == 10 {
            let (number, entries) = membership(fields)?;
            self.memberships.insert(number, entries);
            return Ok(());
        }
        let number = fields.u16()?;
        let writer = &mut ReplyWriter { reply, count, controller: number };
        if code == 0 {
            let seed = fields.u64()?;
            let length = fields.u32()? as usize;
            let settings = from_lines(fields.take(length)?).map_err(|error| FrameError(error.0))?;
            let controller = Controller::new(&settings.controller, seed);
            self.instances.insert(number, Instance { controller, layout: settings.reports });
            return Ok(());
        }
        if code == 9 {
            self.instances.remove(&number);
            return Ok(());
        }
        let Some(Instance { controller, layout }) = self.instances.get_mut(&number) else {
            return frame_error(format!("{name}: controller {number} was not attached"));
        };
        let memberships = &self.memberships;
        // A panic of a controller must not be taken for a decision: its text is sent, and the simulated day ends.
        catch_unwind(AssertUnwindSafe(|| {
            dispatch(controller, layout, memberships, now, code, fields, writer)
        }))
        .unwrap_or_else(|panic| {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            writer.record(74).counted(text.as_bytes());
            Ok(())
        })
    }
}

/// Passes one event to its controller.
fn dispatch(
    controller: &mut Controller,
    layout: &LoadReportLayout,
    memberships: &HashMap<u16, Vec<ExchangeEntry>>,
    now: Duration,
    code: u8,
    fields: &mut Fields,
    actions: &mut ReplyWriter,
) -> ReadResult<()> {
    match code {
        1 => {
            let _epoch = fields.u64()?;
            let kind = fields.u8()?;
            let list = fields.u16()?;
            match (kind, memberships.get(&list)) {
                (1, _) => controller.on_subscription_failed(now, actions),
                (0 | 2, Some(entries)) => controller.on_membership(now, actions, entries),
                (3, Some(entries)) => controller.on_membership_changes(now, actions, entries),
                (0 | 2 | 3, None) => return frame_error(format!("targets: ledger {list} was not sent")),
                _ => return frame_error(format!("targets: unknown kind {kind}")),
            }
        }
        2 => controller.on_offer(now, actions, offer(fields)?),
        3 => {
            let (call, seizure) = (CallId(fields.u64()?), SeizureNumber(fields.u8()?));
            let exchange = ExchangeId(fields.u32()?);
            controller.on_seizure_answered(
                now,
                actions,
                &SeizureAnswered { call, seizure, exchange, elapsed: fields.time()? },
            );
        }
        4 => {
            let (call, seizure) = (CallId(fields.u64()?), SeizureNumber(fields.u8()?));
            let exchange = ExchangeId(fields.u32()?);
            let code = fields.u16()?;
            let elapsed = fields.time()?;
            let closed = fields.u8()? != 0;
            let cause = cause(code, fields.u32()?)?;
            controller.on_capacity_report(now, actions, exchange, &report(fields, layout)?);
            controller.on_seizure_ended(
                now,
                actions,
                &SeizureEnded { call, seizure, exchange, cause, elapsed, closed },
            );
        }
        5 => controller.on_caller_gone(now, actions, CallId(fields.u64()?)),
        6 => controller.on_timer(now, actions, TimerId(fields.u64()?)),
        7 => {
            let exchange = ExchangeId(fields.u32()?);
            let (_code, _after) = (fields.u16()?, fields.time()?);
            controller.on_capacity_report(now, actions, exchange, &report(fields, layout)?);
        }
        8 => {
            let peer = PeerId(fields.u16()?);
            let length = usize::from(fields.u16()?);
            controller.on_peer_message(now, actions, peer, fields.take(length)?);
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
    fn empty_batch_gets_a_reply() {
        let mut reply = Vec::new();
        BatchProcessor::default().process(&bytes("4020d3126e978d50 00000001"), &mut reply).unwrap();
        assert_eq!(reply, bytes("00000000 00000004 00000001"));
    }

    #[test]
    fn actions_are_encoded_byte_for_byte() {
        let (mut reply, mut count) = (Vec::new(), 0);
        let mut writer = ReplyWriter { reply: &mut reply, count: &mut count, controller: 3 };
        writer.seize(CallId(0x000d_f759_5d3a_91c4), ExchangeId(0x0312_4a07), Duration::from_millis(80));
        writer.set_timer(Duration::from_millis(500), TimerId(0x4d));
        writer.send_to_peers(None, b"hi 7");
        writer.log("two servers known");
        let expected = "43 00000016 0003 000df7595d3a91c4 03124a07 3fb47ae147ae147b
                      45 00000012 0003 3fe0000000000000 000000000000004d
                      41 0000000c 0003 ffffffff 0004 68692037
                      49 00000015 0003 0011 74776f2073657276657273206b6e6f776e";
        assert_eq!((reply, count), (bytes(expected), 4));
    }

    #[test]
    fn events_are_decoded() {
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
        let (number, entries) = membership(&mut Fields::new(&ledger, "ledger")).unwrap();
        assert_eq!((number, entries.len(), entries[1].id), (0, 2, ExchangeId(0x2c90_11f2)));
        assert_eq!(entries[1].started, Duration::from_millis(6100));
    }

    #[test]
    fn records_of_unknown_type_are_skipped() {
        let mut reply = Vec::new();
        let batch = bytes("4020d3126e978d50 00000002 c8 00000003 aabbcc");
        BatchProcessor::default().process(&batch, &mut reply).unwrap();
        assert_eq!(reply, bytes("00000000 00000004 00000002"));
    }
}
