//! What a caller's set-up says: every field checked before the call is taken.

use std::fmt;
use std::time::Duration;

use mintstall::interface::{CallType, CustomerId, DialledNumber, ExchangeNumber};
use mintstall_settings::Settings;
use mintstall_sip::Message;
use thiserror::Error;

use crate::exchange_protocol::{MAX_MESSAGE_OCTETS, WireCallId, set_up_length};

/// Why a set-up is not taken: its caller is told 400.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InviteError {
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
pub struct SetUp<'a> {
    pub id: WireCallId,
    pub number: &'a str,
    pub description: &'a [u8],
    /// The name of the call type as it goes on.
    pub call_type_name: &'a str,
    pub call_type: CallType,
    pub customer: CustomerId,
    pub dialled: DialledNumber,
    pub expires: Duration,
    pub dest: ExchangeNumber,
    pub width: u16,
    pub advised: Option<ExchangeNumber>,
    pub transit: bool,
    pub again: bool,
}

/// The log of calls holds `expires` as `patience` and `advised` as `via`.
impl fmt::Debug for SetUp<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("SetUp")
            .field("id", &self.id)
            .field("number", &self.number)
            .field("description", &self.description)
            .field("call_type_name", &self.call_type_name)
            .field("call_type", &self.call_type)
            .field("customer", &self.customer)
            .field("dialled", &self.dialled)
            .field("patience", &self.expires)
            .field("dest", &self.dest)
            .field("width", &self.width)
            .field("via", &self.advised)
            .field("transit", &self.transit)
            .field("again", &self.again)
            .finish()
    }
}

/// What any set-up of a caller is about.
#[derive(Debug)]
pub enum Invite<'a> {
    Call(SetUp<'a>),
    /// It names a call that stands already, at which exchange, and wants no answer.
    Stands {
        id: WireCallId,
        at: &'a str,
    },
}

/// Callers wait less than the guard time; what they say is rounded and takes its way.
const ROUNDING: Duration = Duration::from_secs(1);

fn one<'a>(message: &Message<'a>, name: &'static str) -> Result<Option<&'a str>, InviteError> {
    let mut all = message.headers(name);
    match (all.next(), all.next()) {
        (_, Some(_)) => Err(InviteError::Doubled(name)),
        (value, None) => Ok(value.map(str::trim)),
    }
}

fn must<'a>(message: &Message<'a>, name: &'static str) -> Result<&'a str, InviteError> {
    one(message, name)?.filter(|value| !value.is_empty()).ok_or(InviteError::Missing(name))
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
    fn read(text: &'a str) -> Result<Self, InviteError> {
        let mut info = Self::default();
        for part in text.split(';').map(str::trim).filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':').ok_or(InviteError::Nonsense(INFO))?;
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
                return Err(InviteError::Doubled(INFO));
            }
        }
        Ok(info)
    }
}

fn number(text: &str, least: i32) -> Result<u16, InviteError> {
    text.parse().ok().filter(|number| i32::from(*number) >= least).ok_or(InviteError::Nonsense(INFO))
}

fn flag(text: Option<&str>) -> Result<bool, InviteError> {
    match text {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        Some(_) => Err(InviteError::Nonsense(INFO)),
    }
}

/// Reads an INVITE.
pub fn read<'a>(message: &Message<'a>, settings: &Settings) -> Result<Invite<'a>, InviteError> {
    let id = WireCallId::parse(must(message, "Call-ID")?).ok_or(InviteError::Nonsense("Call-ID"))?;
    let info = Info::read(one(message, INFO)?.unwrap_or_default())?;
    if let Some(at) = info.at {
        return Ok(Invite::Stands { id, at });
    }
    let user = message.user().ok_or(InviteError::Nonsense("the address"))?;
    let dialled = WireCallId::parse(user).ok_or(InviteError::Nonsense("the address"))?.0;
    let call_type_name = must(message, "Priority-Class")?;
    let call_type = settings.call_types.iter().position(|name| name == call_type_name);
    let call_type = call_type.ok_or(InviteError::Unknown("Priority-Class"))?;
    let customer = match one(message, "P-Customer")? {
        Some(name) => settings.customers.iter().position(|known| known == name),
        None => Some(0),
    };
    let customer = customer.ok_or(InviteError::Unknown("P-Customer"))?;
    let expires = must(message, "Expires-Ms")?.parse().map_err(|_| InviteError::Nonsense("Expires-Ms"))?;
    let expires = Duration::from_millis(expires);
    let longest = settings.controller.call_types.get(call_type).map_or(Duration::ZERO, |of| of.guard_time);
    if expires.is_zero() || expires > longest.saturating_add(ROUNDING) {
        return Err(InviteError::Nonsense("Expires-Ms"));
    }
    let advised = match info.via {
        None | Some("-1") => None,
        Some(text) => Some(ExchangeNumber(number(text, 0)?)),
    };
    if message.body.is_empty() {
        return Err(InviteError::Missing("the description"));
    }
    if set_up_length(call_type_name, user, message.body) > MAX_MESSAGE_OCTETS {
        return Err(InviteError::TooLong);
    }
    Ok(Invite::Call(SetUp {
        id,
        number: user,
        description: message.body,
        call_type_name,
        call_type: CallType(call_type as u8),
        customer: CustomerId(customer as u16),
        dialled: DialledNumber(dialled),
        expires,
        dest: ExchangeNumber(number(info.dest.ok_or(InviteError::Missing(INFO))?, 0)?),
        width: info.width.map_or(Ok(1), |text| number(text, 1))?,
        advised,
        transit: flag(info.transit)?,
        again: flag(info.again)?,
    }))
}
