//! What a caller's set-up says: every field checked before the call is taken.

use std::time::Duration;

use mintstall::host::{CallType, CustomerNo, Dialled, OfficeNo};
use mintstall_settings::Settings;
use mintstall_sip::Message;
use thiserror::Error;

use crate::message::{LONGEST, WireId, set_up_length};

/// Why a set-up is not taken: its caller is told 400.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{0} is doubled")]
    Doubled(&'static str),
    #[error("{0} makes no sense")]
    Nonsense(&'static str),
    #[error("{0} is not known here")]
    Unknown(&'static str),
    #[error("the description is too long to go on")]
    TooLong,
}

/// A set-up that makes sense.
#[derive(Debug)]
pub struct SetUp<'a> {
    pub id: WireId,
    pub number: &'a str,
    pub description: &'a [u8],
    /// The name of the call type as it goes on.
    pub call_type_name: &'a str,
    pub call_type: CallType,
    pub customer: CustomerNo,
    pub dialled: Dialled,
    pub patience: Duration,
    pub dest: OfficeNo,
    pub width: u16,
    pub via: Option<OfficeNo>,
    pub transit: bool,
    pub again: bool,
}

/// What any set-up of a caller is about.
#[derive(Debug)]
pub enum SetupRequest<'a> {
    Call(SetUp<'a>),
    /// It names a call that stands already, at which exchange, and wants no answer.
    Stands {
        id: WireId,
        at: &'a str,
    },
}

/// Callers wait less than the guard time; what they say is rounded and takes its way.
const ROUNDING: Duration = Duration::from_secs(1);

fn one<'a>(message: &Message<'a>, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    let mut all = message.headers(name);
    match (all.next(), all.next()) {
        (_, Some(_)) => Err(Refusal::Doubled(name)),
        (value, None) => Ok(value.map(str::trim)),
    }
}

fn must<'a>(message: &Message<'a>, name: &'static str) -> Result<&'a str, Refusal> {
    one(message, name)?.filter(|value| !value.is_empty()).ok_or(Refusal::Missing(name))
}

/// The figures in `P-Trunk-Info`.
#[derive(Default)]
struct Info<'a> {
    dest: Option<&'a str>,
    width: Option<&'a str>,
    via: Option<&'a str>,
    transit: Option<&'a str>,
    again: Option<&'a str>,
    at: Option<&'a str>,
}

const INFO: &str = "P-Trunk-Info";

impl<'a> Info<'a> {
    fn read(text: &'a str) -> Result<Self, Refusal> {
        let mut info = Self::default();
        for part in text.split(';').map(str::trim).filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':').ok_or(Refusal::Nonsense(INFO))?;
            let field = match name {
                "dest" => &mut info.dest,
                "width" => &mut info.width,
                "via" => &mut info.via,
                "transit" => &mut info.transit,
                "again" => &mut info.again,
                "at" => &mut info.at,
                _ => continue,
            };
            if field.replace(value).is_some() {
                return Err(Refusal::Doubled(INFO));
            }
        }
        Ok(info)
    }
}

fn number(text: &str, least: i32) -> Result<u16, Refusal> {
    text.parse().ok().filter(|number| i32::from(*number) >= least).ok_or(Refusal::Nonsense(INFO))
}

fn flag(text: Option<&str>) -> Result<bool, Refusal> {
    match text {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        Some(_) => Err(Refusal::Nonsense(INFO)),
    }
}

/// Reads an INVITE.
pub fn read<'a>(message: &Message<'a>, settings: &Settings) -> Result<SetupRequest<'a>, Refusal> {
    let id = WireId::read(must(message, "Call-ID")?).ok_or(Refusal::Nonsense("Call-ID"))?;
    let info = Info::read(one(message, INFO)?.unwrap_or_default())?;
    if let Some(at) = info.at {
        return Ok(SetupRequest::Stands { id, at });
    }
    let user = message.user().ok_or(Refusal::Nonsense("the address"))?;
    let dialled = WireId::read(user).ok_or(Refusal::Nonsense("the address"))?.0;
    let call_type_name = must(message, "Priority-Class")?;
    let call_type = settings.call_types.iter().position(|name| name == call_type_name);
    let call_type = call_type.ok_or(Refusal::Unknown("Priority-Class"))?;
    let customer = match one(message, "P-Customer")? {
        Some(name) => settings.customers.iter().position(|known| known == name),
        None => Some(0),
    };
    let customer = customer.ok_or(Refusal::Unknown("P-Customer"))?;
    let patience = must(message, "Expires-Ms")?.parse().map_err(|_| Refusal::Nonsense("Expires-Ms"))?;
    let patience = Duration::from_millis(patience);
    let longest = settings.controller.call_types.get(call_type).map_or(Duration::ZERO, |of| of.guard_time);
    if patience.is_zero() || patience > longest.saturating_add(ROUNDING) {
        return Err(Refusal::Nonsense("Expires-Ms"));
    }
    let via = match info.via {
        None | Some("-1") => None,
        Some(text) => Some(OfficeNo(number(text, 0)?)),
    };
    if message.body.is_empty() {
        return Err(Refusal::Missing("the description"));
    }
    if set_up_length(call_type_name, user, message.body) > LONGEST {
        return Err(Refusal::TooLong);
    }
    Ok(SetupRequest::Call(SetUp {
        id,
        number: user,
        description: message.body,
        call_type_name,
        call_type: CallType(call_type as u8),
        customer: CustomerNo(customer as u16),
        dialled: Dialled(dialled),
        patience,
        dest: OfficeNo(number(info.dest.ok_or(Refusal::Missing(INFO))?, 0)?),
        width: info.width.map_or(Ok(1), |text| number(text, 1))?,
        via,
        transit: flag(info.transit)?,
        again: flag(info.again)?,
    }))
}
