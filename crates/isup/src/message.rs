//! ISUP messages (Q.763 clause 2 and Annex A), each with a fixed, a variable and an optional part.

use std::time::Duration;

use thiserror::Error;

use crate::cause::CauseIndicators;
use crate::circuit::{Cic, CircuitMap, CircuitState, RangeStatus};
use crate::national::{self, CallIdentity, Crankback, ProcessorReport};
use crate::number::Number;
use crate::octet_reader::OctetReader;

/// Reason why octets are not a valid ISUP message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IsupError {
    #[error("{what}: needs {needed} octets, has {actual}")]
    TooShort { what: &'static str, needed: usize, actual: usize },
    #[error("{what}: at most {max}, has {actual}")]
    TooLong { what: &'static str, max: usize, actual: usize },
    #[error("{what}: invalid value {value}")]
    InvalidValue { what: &'static str, value: u32 },
}

type ReadResult<T> = Result<T, IsupError>;

/// Code and contents of the optional parameters that the codec does not know, unchanged.
pub type UnknownParameters<'a> = Vec<(u8, &'a [u8])>;

/// Initial address (Q.763 table 32).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Iam<'a> {
    /// Nature of connection indicators.
    pub nature: u8,
    /// Forward call indicators, as on the wire.
    pub forward: [u8; 2],
    /// Calling party's category.
    pub category: u8,
    /// Transmission medium requirement.
    pub medium: u8,
    pub called: Number,
    pub calling: Option<Number>,
    /// The circuits, for a call of width above 1.
    pub map: Option<CircuitMap>,
    /// Hop counter: exchanges that the call may still pass.
    pub hops: Option<u8>,
    pub identity: Option<CallIdentity>,
    pub unknown_parameters: UnknownParameters<'a>,
}

/// Release (Q.763 table 33).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rel<'a> {
    pub cause: CauseIndicators,
    /// Automatic congestion level, 1 or 2.
    pub congestion: Option<u8>,
    /// For how long a full processor asks to get no set-ups.
    pub congestion_wait: Option<Duration>,
    pub crankback: Option<Crankback>,
    pub report: Option<ProcessorReport>,
    pub unknown_parameters: UnknownParameters<'a>,
}

impl Rel<'_> {
    pub fn new(cause: CauseIndicators) -> Self {
        Self {
            cause,
            congestion: None,
            congestion_wait: None,
            crankback: None,
            report: None,
            unknown_parameters: Vec::new(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body<'a> {
    Iam(Iam<'a>),
    /// Address complete.
    Acm {
        backward: [u8; 2],
        report: Option<ProcessorReport>,
        unknown_parameters: UnknownParameters<'a>,
    },
    /// Answer.
    Anm {
        report: Option<ProcessorReport>,
        unknown_parameters: UnknownParameters<'a>,
    },
    /// Call progress.
    Cpg {
        event: u8,
        unknown_parameters: UnknownParameters<'a>,
    },
    Rel(Rel<'a>),
    /// Release complete.
    Rlc {
        unknown_parameters: UnknownParameters<'a>,
    },
    /// Reset circuit.
    Rsc,
    /// Blocking.
    Blo,
    /// Blocking acknowledgement.
    Bla,
    /// Unblocking.
    Ubl,
    /// Unblocking acknowledgement.
    Uba,
    /// Circuit group reset of `count` consecutive circuits from the message's circuit on.
    Grs {
        count: u8,
    },
    /// Circuit group reset acknowledgement; the status bits mark the blocked circuits.
    Gra(RangeStatus),
    /// Circuit group blocking; `kind` is the supervision type, here and in the next three messages.
    Cgb {
        kind: u8,
        range: RangeStatus,
    },
    /// Circuit group blocking acknowledgement.
    Cgba {
        kind: u8,
        range: RangeStatus,
    },
    /// Circuit group unblocking.
    Cgu {
        kind: u8,
        range: RangeStatus,
    },
    /// Circuit group unblocking acknowledgement.
    Cgua {
        kind: u8,
        range: RangeStatus,
    },
    /// Circuit group query for `count` consecutive circuits.
    Cqm {
        count: u8,
    },
    /// Circuit group query response: the state of each circuit of the query.
    Cqr {
        states: Vec<CircuitState>,
    },
    /// Extension of this project: a short message from controller to controller.
    Peer(&'a [u8]),
    /// Any other message type.
    Unknown {
        kind: u8,
        octets: &'a [u8],
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    pub cic: Cic,
    pub body: Body<'a>,
}

const CALLING_PARTY_NUMBER: u8 = 0x0a;
const CIRCUIT_ASSIGNMENT_MAP: u8 = 0x25;
const AUTOMATIC_CONGESTION_LEVEL: u8 = 0x27;
const HOP_COUNTER: u8 = 0x3d;

/// Second octet of a called number: routing to an internal number allowed, ISDN numbering plan.
const CALLED_PLAN: u8 = 0x10;
/// Second octet of a calling number: complete, ISDN numbering plan, presentation allowed, network provided.
const CALLING_PLAN: u8 = 0x13;

impl<'a> Message<'a> {
    pub fn new(cic: Cic, body: Body<'a>) -> Self {
        Self { cic, body }
    }

    /// The message type's acronym from Q.763.
    pub fn name(&self) -> &'static str {
        match self.body {
            Body::Iam(_) => "IAM",
            Body::Acm { .. } => "ACM",
            Body::Anm { .. } => "ANM",
            Body::Cpg { .. } => "CPG",
            Body::Rel(_) => "REL",
            Body::Rlc { .. } => "RLC",
            Body::Rsc => "RSC",
            Body::Blo => "BLO",
            Body::Bla => "BLA",
            Body::Ubl => "UBL",
            Body::Uba => "UBA",
            Body::Grs { .. } => "GRS",
            Body::Gra(_) => "GRA",
            Body::Cgb { .. } => "CGB",
            Body::Cgba { .. } => "CGBA",
            Body::Cgu { .. } => "CGU",
            Body::Cgua { .. } => "CGUA",
            Body::Cqm { .. } => "CQM",
            Body::Cqr { .. } => "CQR",
            Body::Peer(_) => "PEER",
            Body::Unknown { .. } => "UNKNOWN",
        }
    }

    /// Reads the message of a DATA frame; octets after the known parts are ignored (Q.764 clause 2.9.5).
    pub fn read(octets: &'a [u8]) -> ReadResult<Self> {
        let mut fixed = OctetReader::new(octets, "message");
        let [low, high] = fixed.array()?;
        let cic = Cic(u16::from_le_bytes([low, high]) & Cic::MAX);
        let kind = fixed.u8()?;
        let body = match kind {
            0x01 => Body::Iam(read_iam(fixed.rest())?),
            0x06 => {
                let backward = fixed.array()?;
                let found = optional_part(fixed.rest(), 0)?;
                Body::Acm { backward, report: found.report, unknown_parameters: found.unknown_parameters }
            }
            0x09 => {
                let found = optional_part(fixed.rest(), 0)?;
                Body::Anm { report: found.report, unknown_parameters: found.unknown_parameters }
            }
            0x2c => {
                let event = fixed.u8()?;
                Body::Cpg { event, unknown_parameters: optional_part(fixed.rest(), 0)?.unknown_parameters }
            }
            0x0c => {
                let rest = fixed.rest();
                let cause = CauseIndicators::read(variable_parameter(rest, 0)?)?;
                let OptionalParameters {
                    congestion,
                    congestion_wait,
                    crankback,
                    report,
                    unknown_parameters,
                    ..
                } = optional_part(rest, 1)?;
                Body::Rel(Rel { cause, congestion, congestion_wait, crankback, report, unknown_parameters })
            }
            0x10 => Body::Rlc { unknown_parameters: optional_part(fixed.rest(), 0)?.unknown_parameters },
            0x12 => Body::Rsc,
            0x13 => Body::Blo,
            0x14 => Body::Ubl,
            0x15 => Body::Bla,
            0x16 => Body::Uba,
            0x17 => {
                Body::Grs { count: RangeStatus::read(variable_parameter(fixed.rest(), 0)?, false)?.count }
            }
            0x29 => Body::Gra(RangeStatus::read(variable_parameter(fixed.rest(), 0)?, true)?),
            0x18..=0x1b => {
                let group = fixed.u8()? & 3;
                let range = RangeStatus::read(variable_parameter(fixed.rest(), 0)?, true)?;
                match kind {
                    0x18 => Body::Cgb { kind: group, range },
                    0x19 => Body::Cgu { kind: group, range },
                    0x1a => Body::Cgba { kind: group, range },
                    _ => Body::Cgua { kind: group, range },
                }
            }
            0x2a => {
                Body::Cqm { count: RangeStatus::read(variable_parameter(fixed.rest(), 0)?, false)?.count }
            }
            0x2b => {
                let rest = fixed.rest();
                let count = usize::from(RangeStatus::read(variable_parameter(rest, 0)?, false)?.count);
                let states = variable_parameter(rest, 1)?;
                let too_short =
                    IsupError::TooShort { what: "circuit states", needed: count, actual: states.len() };
                let states = states.get(..count).ok_or(too_short)?;
                Body::Cqr { states: states.iter().map(|octet| CircuitState::read(*octet)).collect() }
            }
            national::PEER_MESSAGE => Body::Peer(fixed.rest()),
            kind => Body::Unknown { kind, octets: fixed.rest() },
        };
        Ok(Self { cic, body })
    }

    /// Appends the message to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&(self.cic.0 & Cic::MAX).to_le_bytes());
        match &self.body {
            Body::Iam(iam) => {
                out.extend_from_slice(&[
                    0x01,
                    iam.nature,
                    iam.forward[0],
                    iam.forward[1],
                    iam.category,
                    iam.medium,
                ]);
                let mut called = Vec::with_capacity(16);
                iam.called.write(&mut called, CALLED_PLAN);
                let mut parameters = ParameterWriter::begin(out, [&called], true);
                if let Some(calling) = &iam.calling {
                    let mut number = Vec::with_capacity(16);
                    calling.write(&mut number, CALLING_PLAN);
                    parameters.add(CALLING_PARTY_NUMBER, &number);
                }
                iam.map.iter().for_each(|map| parameters.add(CIRCUIT_ASSIGNMENT_MAP, &map.write()));
                iam.hops.iter().for_each(|hops| parameters.add(HOP_COUNTER, &[hops & 31]));
                iam.identity
                    .iter()
                    .for_each(|identity| parameters.add(national::IDENTITY, &identity.write()));
                parameters.end(&iam.unknown_parameters);
            }
            Body::Acm { backward, report, unknown_parameters } => {
                out.extend_from_slice(&[0x06, backward[0], backward[1]]);
                ParameterWriter::begin(out, [], true).report(report).end(unknown_parameters);
            }
            Body::Anm { report, unknown_parameters } => {
                out.push(0x09);
                ParameterWriter::begin(out, [], true).report(report).end(unknown_parameters);
            }
            Body::Cpg { event, unknown_parameters } => {
                out.extend_from_slice(&[0x2c, *event]);
                ParameterWriter::begin(out, [], true).end(unknown_parameters);
            }
            Body::Rel(rel) => {
                out.push(0x0c);
                let mut parameters = ParameterWriter::begin(out, [&rel.cause.write()], true);
                rel.congestion.iter().for_each(|level| parameters.add(AUTOMATIC_CONGESTION_LEVEL, &[*level]));
                if let Some(congestion_wait) = rel.congestion_wait {
                    let ms = u32::try_from(congestion_wait.as_millis()).unwrap_or(u32::MAX);
                    parameters.add(national::CONGESTION_WAIT, &ms.to_be_bytes());
                }
                if let Some(crankback) = rel.crankback {
                    parameters.add(national::CRANKBACK, &[u8::from(crankback.next_exchange_full)]);
                }
                parameters.report(&rel.report).end(&rel.unknown_parameters);
            }
            Body::Rlc { unknown_parameters } => {
                out.push(0x10);
                ParameterWriter::begin(out, [], true).end(unknown_parameters);
            }
            Body::Rsc => out.push(0x12),
            Body::Blo => out.push(0x13),
            Body::Ubl => out.push(0x14),
            Body::Bla => out.push(0x15),
            Body::Uba => out.push(0x16),
            Body::Grs { count } => write_range(out, &[0x17], RangeStatus { count: *count, status: 0 }, false),
            Body::Gra(status) => write_range(out, &[0x29], *status, true),
            Body::Cgb { kind, range: status } => write_range(out, &[0x18, *kind], *status, true),
            Body::Cgu { kind, range: status } => write_range(out, &[0x19, *kind], *status, true),
            Body::Cgba { kind, range: status } => write_range(out, &[0x1a, *kind], *status, true),
            Body::Cgua { kind, range: status } => write_range(out, &[0x1b, *kind], *status, true),
            Body::Cqm { count } => write_range(out, &[0x2a], RangeStatus { count: *count, status: 0 }, false),
            Body::Cqr { states } => {
                out.push(0x2b);
                let count = states.len().clamp(1, usize::from(RangeStatus::MAX_COUNT));
                let octets: Vec<u8> = states.iter().take(count).map(|state| state.write()).collect();
                ParameterWriter::begin(out, [&[count as u8 - 1][..], &octets], false);
            }
            Body::Peer(octets) => {
                out.push(national::PEER_MESSAGE);
                out.extend_from_slice(octets);
            }
            Body::Unknown { kind, octets } => {
                out.push(*kind);
                out.extend_from_slice(octets);
            }
        }
    }
}

fn write_range(out: &mut Vec<u8>, head: &[u8], status: RangeStatus, with_status: bool) {
    out.extend_from_slice(head);
    let mut octets = Vec::with_capacity(5);
    status.write(&mut octets, with_status);
    ParameterWriter::begin(out, [&octets], false);
}

fn read_iam(rest: &[u8]) -> ReadResult<Iam<'_>> {
    let mut fixed = OctetReader::new(rest, "IAM");
    let (nature, forward, category, medium) = (fixed.u8()?, fixed.array()?, fixed.u8()?, fixed.u8()?);
    let rest = fixed.rest();
    let called = Number::read(variable_parameter(rest, 0)?)?;
    let OptionalParameters { calling, map, hops, identity, unknown_parameters, .. } = optional_part(rest, 1)?;
    Ok(Iam { nature, forward, category, medium, called, calling, map, hops, identity, unknown_parameters })
}

/// The variable parameter that a pointer leads to (Q.763 clause 1.5); a pointer counts octets from its own position.
fn variable_parameter(rest: &[u8], pointer_index: usize) -> ReadResult<&[u8]> {
    let too_short = |needed| IsupError::TooShort { what: "variable part", needed, actual: rest.len() };
    let pointer = usize::from(*rest.get(pointer_index).ok_or(too_short(pointer_index + 1))?);
    let start = pointer_index + pointer;
    if pointer == 0 {
        return Err(IsupError::InvalidValue { what: "pointer to variable part", value: 0 });
    }
    let length = usize::from(*rest.get(start).ok_or(too_short(start + 1))?);
    rest.get(start + 1..start + 1 + length).ok_or(too_short(start + 1 + length))
}

#[derive(Default)]
struct OptionalParameters<'a> {
    calling: Option<Number>,
    map: Option<CircuitMap>,
    hops: Option<u8>,
    identity: Option<CallIdentity>,
    congestion: Option<u8>,
    congestion_wait: Option<Duration>,
    crankback: Option<Crankback>,
    report: Option<ProcessorReport>,
    unknown_parameters: UnknownParameters<'a>,
}

/// The optional part that a pointer leads to, empty if the pointer is missing or zero.
fn optional_part(rest: &[u8], pointer_index: usize) -> ReadResult<OptionalParameters<'_>> {
    let mut found = OptionalParameters::default();
    let pointer = usize::from(rest.get(pointer_index).copied().unwrap_or(0));
    if pointer == 0 {
        return Ok(found);
    }
    let part = rest.get(pointer_index + pointer..).unwrap_or_default();
    let mut part = OctetReader::new(part, "optional part");
    loop {
        let code = part.u8()?;
        if code == 0 {
            return Ok(found);
        }
        let length = usize::from(part.u8()?);
        let contents = part.take(length)?;
        let mut octets = OctetReader::new(contents, "optional parameter");
        match code {
            CALLING_PARTY_NUMBER => found.calling = Some(Number::read(contents)?),
            CIRCUIT_ASSIGNMENT_MAP => found.map = Some(CircuitMap::read(contents)?),
            HOP_COUNTER => found.hops = Some(octets.u8()? & 31),
            AUTOMATIC_CONGESTION_LEVEL => found.congestion = Some(octets.u8()?),
            national::IDENTITY => found.identity = Some(CallIdentity::read(contents)?),
            national::CONGESTION_WAIT => {
                found.congestion_wait = Some(Duration::from_millis(octets.u32()?.into()))
            }
            national::CRANKBACK => {
                found.crankback = Some(Crankback { next_exchange_full: octets.u8()? != 0 })
            }
            national::REPORT => found.report = Some(ProcessorReport::read(contents)?),
            _ => found.unknown_parameters.push((code, contents)),
        }
    }
}

/// Writes the pointers, the variable part, then the optional part.
struct ParameterWriter<'a> {
    out: &'a mut Vec<u8>,
    /// Index in `out` of the pointer to the optional part; the pointer is 0 until a parameter is added.
    pointer_index: usize,
    has_optional: bool,
}

impl<'a> ParameterWriter<'a> {
    fn begin<const N: usize>(out: &'a mut Vec<u8>, variable: [&[u8]; N], optional: bool) -> Self {
        let pointers = N + usize::from(optional);
        let mut offset = 0;
        for (index, part) in variable.iter().enumerate() {
            out.push((pointers - index + offset) as u8);
            offset += 1 + part.len();
        }
        let pointer_index = out.len();
        if optional {
            out.push(0);
        }
        for part in variable {
            out.push(part.len() as u8);
            out.extend_from_slice(part);
        }
        Self { out, pointer_index, has_optional: false }
    }

    fn add(&mut self, code: u8, contents: &[u8]) {
        if !std::mem::replace(&mut self.has_optional, true) {
            self.out[self.pointer_index] = (self.out.len() - self.pointer_index) as u8;
        }
        self.out.push(code);
        self.out.push(contents.len() as u8);
        self.out.extend_from_slice(contents);
    }

    fn report(mut self, report: &Option<ProcessorReport>) -> Self {
        report.iter().for_each(|report| self.add(national::REPORT, &report.write()));
        self
    }

    fn end(mut self, unknown_parameters: &UnknownParameters) {
        unknown_parameters.iter().for_each(|(code, contents)| self.add(*code, contents));
        if self.has_optional {
            self.out.push(0);
        }
    }
}
