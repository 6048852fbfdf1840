//! Parsing of INVITE: every field of a caller's set-up is checked before the call is accepted.

use std::time::Duration;

use mintstall::interface::{CallType, CustomerId, DialledNumber, ExchangeNumber};
use mintstall_settings::Settings;
use mintstall_sip::Message;
use thiserror::Error;

use crate::exchange_protocol::{MAX_MESSAGE_OCTETS, WireCallId, set_up_length};

/// Why a set-up is invalid: its caller is answered 400 with this as Warning.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InviteError {
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{0} is doubled")]
    Duplicate(&'static str),
    #[error("{0} makes no sense")]
    Invalid(&'static str),
    #[error("{0} is not known here")]
    Unknown(&'static str),
    #[error("the description is too long to go on")]
    TooLong,
}

/// A valid set-up.
#[derive(Debug)]
pub struct SetUp<'a> {
    pub id: WireCallId,
    pub number: &'a str,
    pub description: &'a [u8],
    /// The call type's name, as it is sent on to the exchange.
    pub call_type_name: &'a str,
    pub call_type: CallType,
    pub customer: CustomerId,
    pub dialled: DialledNumber,
    pub expires: Duration,
    pub dest: ExchangeNumber,
    pub width: u16,
    pub advised: Option<ExchangeNumber>,
    pub transit: bool,
    /// The call was standing, was cut, and is set up again.
    pub was_cut: bool,
}

/// What an INVITE is for.
#[derive(Debug)]
pub enum Invite<'a> {
    Call(SetUp<'a>),
    /// Names a call that stands already and its exchange; it gets no answer.
    Stands {
        id: WireCallId,
        exchange_uid: &'a str,
    },
}

/// `Expires-Ms` may exceed the guard time by this: callers wait less than the guard time, but the value is rounded, and
/// the set-up takes time to arrive.
const EXPIRES_TOLERANCE: Duration = Duration::from_secs(1);

/// The value of a header that may be missing but must not be repeated.
fn optional<'a>(message: &Message<'a>, name: &'static str) -> Result<Option<&'a str>, InviteError> {
    let mut all = message.headers(name);
    match (all.next(), all.next()) {
        (_, Some(_)) => Err(InviteError::Duplicate(name)),
        (value, None) => Ok(value.map(str::trim)),
    }
}

/// The value of a header that must be there once and not be empty.
fn required<'a>(message: &Message<'a>, name: &'static str) -> Result<&'a str, InviteError> {
    optional(message, name)?.filter(|value| !value.is_empty()).ok_or(InviteError::Missing(name))
}

/// The fields of `P-Trunk-Info`, as they are written there.
#[derive(Default)]
struct TrunkInfo<'a> {
    dest: Option<&'a str>,
    width: Option<&'a str>,
    via: Option<&'a str>,
    transit: Option<&'a str>,
    again: Option<&'a str>,
    at: Option<&'a str>,
}

const TRUNK_INFO: &str = "P-Trunk-Info";

impl<'a> TrunkInfo<'a> {
    fn parse(text: &'a str) -> Result<Self, InviteError> {
        let mut info = Self::default();
        for part in text.split(';').map(str::trim).filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':').ok_or(InviteError::Invalid(TRUNK_INFO))?;
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
                return Err(InviteError::Duplicate(TRUNK_INFO));
            }
        }
        Ok(info)
    }
}

fn parse_number(text: &str, min: i32) -> Result<u16, InviteError> {
    text.parse().ok().filter(|number| i32::from(*number) >= min).ok_or(InviteError::Invalid(TRUNK_INFO))
}

fn parse_flag(text: Option<&str>) -> Result<bool, InviteError> {
    match text {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        Some(_) => Err(InviteError::Invalid(TRUNK_INFO)),
    }
}

pub fn parse<'a>(message: &Message<'a>, settings: &Settings) -> Result<Invite<'a>, InviteError> {
    let id = WireCallId::parse(required(message, "Call-ID")?).ok_or(InviteError::Invalid("Call-ID"))?;
    let info = TrunkInfo::parse(optional(message, TRUNK_INFO)?.unwrap_or_default())?;
    if let Some(exchange_uid) = info.at {
        return Ok(Invite::Stands { id, exchange_uid });
    }
    let user = message.user().ok_or(InviteError::Invalid("the address"))?;
    let dialled = WireCallId::parse(user).ok_or(InviteError::Invalid("the address"))?.0;
    let call_type_name = required(message, "Priority-Class")?;
    let call_type = settings.call_types.iter().position(|name| name == call_type_name);
    let call_type = call_type.ok_or(InviteError::Unknown("Priority-Class"))?;
    let customer = match optional(message, "P-Customer")? {
        Some(name) => settings.customers.iter().position(|known| known == name),
        None => Some(0),
    };
    let customer = customer.ok_or(InviteError::Unknown("P-Customer"))?;
    let expires = required(message, "Expires-Ms")?.parse().map_err(|_| InviteError::Invalid("Expires-Ms"))?;
    let expires = Duration::from_millis(expires);
    let max_expires = settings
        .controller
        .call_types
        .get(call_type)
        .map_or(Duration::ZERO, |call_type| call_type.guard_time);
    if expires.is_zero() || expires > max_expires.saturating_add(EXPIRES_TOLERANCE) {
        return Err(InviteError::Invalid("Expires-Ms"));
    }
    let advised = match info.via {
        None | Some("-1") => None,
        Some(text) => Some(ExchangeNumber(parse_number(text, 0)?)),
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
        dest: ExchangeNumber(parse_number(info.dest.ok_or(InviteError::Missing(TRUNK_INFO))?, 0)?),
        width: info.width.map_or(Ok(1), |text| parse_number(text, 1))?,
        advised,
        transit: parse_flag(info.transit)?,
        was_cut: parse_flag(info.again)?,
    }))
}
