//! The configuration of a controller: JSON with a schema, checked at start. The keys are documented on the fields.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use mintstall::interface::{CallTypeConfig, ControllerConfig, ExchangeNumber, RepeatPolicy};
use mintstall_callcontrol::{CallControlConfig, GroupConfig, NumberConfig, Timers};
use mintstall_isup::Cic;
use mintstall_limits::{ConnectionTimeouts, Limits, TokenFile, Tokens};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A controller's configuration. Times are milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The own exchange's number, also its point code: 1 to 16383.
    pub exchange: u16,
    #[serde(default)]
    pub signalling: Signalling,
    #[serde(default)]
    pub subscribers: Subscribers,
    #[serde(default)]
    pub calls: CallApiConfig,
    /// The directory server. Without one, the membership is the own exchange and all exchanges of `signalling.links`, all
    /// ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<Directory>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin: Option<Admin>,
    pub call_types: Vec<CallType>,
    /// Numbers of the own exchange that have a limited count of lines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub numbers: Vec<Number>,
    /// The customers to whom subscribers belong; an offer names its customer by the index in this list. Without any, all
    /// subscribers belong to one customer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<Customer>,
    #[serde(default)]
    pub limits: LimitsConfig,
    /// The token file, read again on SIGHUP. Without one, no client needs a token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<PathBuf>,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub timers: TimersMs,
    /// Maximum of simultaneous calls, transit calls included. Further calls are refused.
    #[serde(default = "default_most_calls")]
    pub most_calls: usize,
    /// How many of the last calls keep a trace of their steps, some 500 octets each.
    #[serde(default = "default_traces")]
    pub traces: usize,
    /// Seed of the random numbers. Without one, each start draws a new seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Signalling {
    /// The address to which other exchanges connect. Required if any link has no `connect`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    pub links: Vec<Link>,
}

/// The link and the trunk group to another exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Link {
    pub to: u16,
    /// Number of circuits of the group, at most 3968.
    pub circuits: u16,
    /// The address to connect to. Without one, the far end connects to this exchange.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connect: Option<SocketAddr>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Subscribers {
    /// The address to which subscriber lines connect, with newline-delimited JSON-RPC 2.0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
}

/// The call-control API over WebSocket; the reference is `docs/call-control.md`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Calls")]
pub struct CallApiConfig {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// Origins of the browser pages that may connect (`https://host`). If empty, no page may connect. Clients that are not
    /// browser pages send no origin.
    pub origins: BTreeSet<String>,
    /// Timeout of the opening handshake, and the maximum of simultaneous handshakes.
    pub opening_ms: u64,
    pub most_opening: usize,
    /// A connection that is idle for `quiet_ms` is pinged, and dropped if nothing is received within `answer_ms`.
    pub quiet_ms: u64,
    pub answer_ms: u64,
    /// Timeout of the closing handshake.
    pub closing_ms: u64,
    /// A client for which more octets wait is not read from. It is closed as too slow if it takes less than 16 KiB in 5 s.
    pub most_unread: usize,
}

impl Default for CallApiConfig {
    fn default() -> Self {
        let timeouts = ConnectionTimeouts::default();
        let ms = |span: Duration| span.as_millis() as u64;
        Self {
            listen: None,
            origins: BTreeSet::new(),
            opening_ms: ms(timeouts.handshake_timeout),
            most_opening: timeouts.max_handshakes,
            quiet_ms: ms(timeouts.idle_timeout),
            answer_ms: ms(timeouts.pong_timeout),
            closing_ms: ms(timeouts.close_timeout),
            most_unread: 256 << 10,
        }
    }
}

impl CallApiConfig {
    pub fn connection_timeouts(&self) -> ConnectionTimeouts {
        let ms = Duration::from_millis;
        ConnectionTimeouts {
            handshake_timeout: ms(self.opening_ms),
            max_handshakes: self.most_opening,
            idle_timeout: ms(self.quiet_ms),
            pong_timeout: ms(self.answer_ms),
            close_timeout: ms(self.closing_ms),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Directory {
    pub connect: SocketAddr,
    /// The file that keeps the last valid membership list for the next start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keep: Option<PathBuf>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    pub listen: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallType {
    pub name: String,
    /// Target for the time from the offer to the answer.
    pub setup_target_ms: u64,
    /// How long the caller waits for an answer in all.
    pub guard_time_ms: u64,
    pub revenue: f64,
    /// Circuits that a call takes, at most 31, since all lie in one 2048 kbit/s system.
    #[serde(default = "default_width")]
    pub width: u16,
    /// Mean duration of a call.
    pub mean_hold_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Number {
    pub number: u64,
    pub lines: u16,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    /// Weight of the customer when more calls are offered than can be handled; the capacity is divided in proportion to
    /// the customers' weights.
    pub share: f64,
}

/// Admission limits, applied before a call is offered to call control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "LimitsPlan")]
pub struct LimitsConfig {
    /// Subscriber lines: the maximum that is open, the rate at which they may be opened, and the burst.
    pub sessions: usize,
    pub opens_per_s: f64,
    pub opens_at_once: f64,
    /// Maximum of simultaneous calls of one line, and of one customer.
    pub calls_a_session: usize,
    pub calls_a_customer: usize,
    /// Rate and burst of the offers of one line.
    pub offers_per_s: f64,
    pub offers_at_once: f64,
    /// Rate and burst of the requests of one line, of any kind.
    pub requests_per_s: f64,
    pub requests_at_once: f64,
    /// Maximum of offers without a final answer. Further offers are queued and served by the customers' shares.
    pub unanswered: usize,
    /// Maximum of queued offers, and the share of the caller's remaining time that an offer may be queued.
    pub waiting: usize,
    pub wait_share: f64,
    /// How long a resumable session is kept after its connection is lost, how many sessions are kept, and how many messages
    /// are kept for each.
    pub resume_ms: u64,
    pub resume_sessions: usize,
    pub resume_texts: usize,
    /// How long the answer to an offer is cached for a repeated offer with the same call number, and how many answers are
    /// cached.
    pub repeat_ms: u64,
    pub repeats: usize,
    /// Number of call events that are kept for subscribers of `calls.subscribe`.
    pub news: usize,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            sessions: limits.max_sessions,
            opens_per_s: limits.opens_per_s,
            opens_at_once: limits.open_burst,
            calls_a_session: limits.max_calls_per_session,
            calls_a_customer: limits.max_calls_per_customer,
            offers_per_s: limits.offers_per_s,
            offers_at_once: limits.offer_burst,
            requests_per_s: limits.requests_per_s,
            requests_at_once: limits.request_burst,
            unanswered: limits.max_unanswered,
            waiting: limits.max_waiting,
            wait_share: limits.max_wait_share,
            resume_ms: 30_000,
            resume_sessions: 10_000,
            resume_texts: 1_000,
            repeat_ms: 30_000,
            repeats: 20_000,
            news: 10_000,
        }
    }
}

impl LimitsConfig {
    pub fn limits(&self) -> Limits {
        Limits {
            max_sessions: self.sessions,
            opens_per_s: self.opens_per_s,
            open_burst: self.opens_at_once,
            max_calls_per_session: self.calls_a_session,
            max_calls_per_customer: self.calls_a_customer,
            offers_per_s: self.offers_per_s,
            offer_burst: self.offers_at_once,
            requests_per_s: self.requests_per_s,
            request_burst: self.requests_at_once,
            max_unanswered: self.unanswered,
            max_waiting: self.waiting,
            max_wait_share: self.wait_share,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Maximum of seizures of one call.
    pub seizures: u8,
    /// Whether a seizure may be cancelled after its caller has given up.
    pub may_cancel: bool,
    /// The longest retry time that a refused caller is given. 0: callers are given none.
    pub longest_come_back_ms: u64,
    /// Whether controllers may send short messages to each other.
    pub may_tell: bool,
    /// A cold exchange fails when it is offered more than this multiple of its capacity for some time.
    pub fall_multiple: f64,
    /// Share of its capacity that an exchange has when it starts, and the longest time that the warm-up takes.
    pub cold_share: f64,
    pub warm_up_ms: u64,
    /// How long circuits may stay in use after a seizure timed out, was cut or was cancelled.
    pub release_wait_ms: u64,
    /// Time after which a set-up without a response is sent again; 0: never.
    pub repeat_after_ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            seizures: 5,
            may_cancel: true,
            longest_come_back_ms: 2000,
            may_tell: true,
            fall_multiple: 2.5,
            cold_share: 0.3,
            warm_up_ms: 15_000,
            release_wait_ms: 200,
            repeat_after_ms: 0,
        }
    }
}

/// The timers of Q.764 and RFC 4666 that apply here. The defaults are the middle values of the standards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct TimersMs {
    pub t1_ms: u64,
    pub t5_ms: u64,
    pub t7_ms: u64,
    pub t16_ms: u64,
    pub t17_ms: u64,
    pub t22_ms: u64,
    pub link_ack_ms: u64,
    pub beat_ms: u64,
    pub link_grace_ms: u64,
    /// Interval at which each group is audited, one system of 31 circuits at a time.
    pub audit_ms: u64,
}

impl Default for TimersMs {
    fn default() -> Self {
        let timers = Timers::default();
        let ms = |span: Duration| span.as_millis() as u64;
        Self {
            t1_ms: ms(timers.t1),
            t5_ms: ms(timers.t5),
            t7_ms: ms(timers.t7),
            t16_ms: ms(timers.t16),
            t17_ms: ms(timers.t17),
            t22_ms: ms(timers.t22),
            link_ack_ms: ms(timers.link_ack),
            beat_ms: ms(timers.heartbeat),
            link_grace_ms: ms(timers.link_grace),
            audit_ms: ms(timers.audit),
        }
    }
}

fn default_width() -> u16 {
    1
}

/// Enough for the last ten seconds or more at 100 calls/s.
fn default_traces() -> usize {
    2000
}

/// 20,000 calls take some tens of MiB.
fn default_most_calls() -> usize {
    20_000
}

/// Why a configuration file can't be used. An invalid file is reported with all its errors and their places.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("{path}: {error}")]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{path}:{line}:{column}: at {place}: {error}")]
    Parse { path: PathBuf, place: String, line: usize, column: usize, error: String },
    #[error("{}", .errors.iter().map(|error| format!("{}: {error}", .path.display())).collect::<Vec<_>>().join("\n"))]
    Invalid { path: PathBuf, errors: Vec<String> },
}

pub fn read_tokens(path: &Path) -> Result<Tokens, ConfigError> {
    let file: TokenFile = read_json(path)?;
    Tokens::from_file(&file).map_err(|errors| ConfigError::Invalid { path: path.into(), errors })
}

/// Reads a JSON file. A parse error names the place in the file and the path of the value.
pub fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| ConfigError::Unreadable { path: path.into(), error })?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    let parsed = serde_path_to_error::deserialize(&mut reader);
    let value = parsed.map_err(|error| {
        let place = error.path().to_string();
        let error = error.into_inner();
        ConfigError::Parse {
            path: path.into(),
            place,
            line: error.line(),
            column: error.column(),
            // serde_json appends line and column to its message; they are in the fields above.
            error: error.to_string().split(" at line ").next().unwrap_or_default().to_string(),
        }
    })?;
    reader.end().map_err(|error| ConfigError::Parse {
        path: path.into(),
        place: ".".into(),
        line: error.line(),
        column: error.column(),
        error: "unexpected text after the end of the JSON value".into(),
    })?;
    Ok(value)
}

impl Config {
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let config: Self = read_json(path)?;
        match config.validation_errors() {
            errors if errors.is_empty() => Ok(config),
            errors => Err(ConfigError::Invalid { path: path.into(), errors }),
        }
    }

    /// All errors, each as "place: reason".
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut reject_if = |invalid: bool, place: &str, reason: String| {
            if invalid {
                errors.push(format!("{place}: {reason}"));
            }
        };
        let exchange_numbers = 1..=16_383;
        reject_if(
            !exchange_numbers.contains(&self.exchange),
            "exchange",
            format!("{} is not within 1 to 16383", self.exchange),
        );
        let mut linked = BTreeSet::new();
        for (index, link) in self.signalling.links.iter().enumerate() {
            let place = format!("signalling.links[{index}]");
            let to = link.to;
            reject_if(
                !exchange_numbers.contains(&to),
                &format!("{place}.to"),
                format!("{to} is not within 1 to 16383"),
            );
            reject_if(to == self.exchange, &format!("{place}.to"), "is the own exchange".into());
            reject_if(
                !linked.insert(to),
                &format!("{place}.to"),
                format!("exchange {to} has a link already"),
            );
            let max = Cic::MAX_PER_GROUP;
            reject_if(
                link.circuits > max,
                &format!("{place}.circuits"),
                format!("{} is more than {max}", link.circuits),
            );
            let listens = self.signalling.listen.is_some();
            reject_if(
                link.connect.is_none() && !listens,
                &place,
                "has no connect, and signalling.listen is missing".into(),
            );
        }
        reject_if(self.call_types.is_empty(), "call_types", "is empty".into());
        reject_if(self.call_types.len() > 255, "call_types", "has more than 255 entries".into());
        for (index, call_type) in self.call_types.iter().enumerate() {
            let place = |field: &str| format!("call_types[{index}].{field}");
            reject_if(
                !(1..=31).contains(&call_type.width),
                &place("width"),
                format!("{} is not within 1 to 31", call_type.width),
            );
            let guard = call_type.guard_time_ms;
            reject_if(
                !(1..=3_600_000).contains(&guard),
                &place("guard_time_ms"),
                format!("{guard} is not within 1 to 3600000"),
            );
            reject_if(call_type.setup_target_ms == 0, &place("setup_target_ms"), "is 0".into());
            reject_if(
                !(call_type.revenue >= 0.0 && call_type.revenue.is_finite()),
                &place("revenue"),
                format!("{} is below 0", call_type.revenue),
            );
            reject_if(call_type.mean_hold_ms == 0, &place("mean_hold_ms"), "is 0".into());
        }
        let mut listed = BTreeSet::new();
        for (index, number) in self.numbers.iter().enumerate() {
            let place = format!("numbers[{index}].number");
            reject_if(!listed.insert(number.number), &place, format!("{} is listed already", number.number));
        }
        let rules = &self.rules;
        reject_if(
            !(1..=16).contains(&rules.seizures),
            "rules.seizures",
            format!("{} is not within 1 to 16", rules.seizures),
        );
        reject_if(
            !(0.0..=1.0).contains(&rules.cold_share),
            "rules.cold_share",
            format!("{} is not within 0 to 1", rules.cold_share),
        );
        let multiple = rules.fall_multiple;
        reject_if(
            !(multiple > 0.0 && multiple.is_finite()),
            "rules.fall_multiple",
            format!("{multiple} is not above 0"),
        );
        for (index, customer) in self.customers.iter().enumerate() {
            let invalid = !(customer.share > 0.0 && customer.share.is_finite());
            reject_if(
                invalid,
                &format!("customers[{index}].share"),
                format!("{} is not above 0", customer.share),
            );
        }
        let limits = &self.limits;
        let rates = [
            ("opens_per_s", limits.opens_per_s),
            ("opens_at_once", limits.opens_at_once),
            ("offers_per_s", limits.offers_per_s),
            ("offers_at_once", limits.offers_at_once),
            ("requests_per_s", limits.requests_per_s),
            ("requests_at_once", limits.requests_at_once),
        ];
        for (name, rate) in rates {
            reject_if(
                !(rate > 0.0 && rate.is_finite()),
                &format!("limits.{name}"),
                format!("{rate} is not above 0"),
            );
        }
        let counts = [
            ("sessions", limits.sessions),
            ("calls_a_session", limits.calls_a_session),
            ("unanswered", limits.unanswered),
        ];
        for (name, count) in counts {
            reject_if(count == 0, &format!("limits.{name}"), "is 0".into());
        }
        reject_if(
            !(0.0..=1.0).contains(&limits.wait_share),
            "limits.wait_share",
            format!("{} is not within 0 to 1", limits.wait_share),
        );
        let calls = &self.calls;
        let timeouts = [
            ("opening_ms", calls.opening_ms),
            ("quiet_ms", calls.quiet_ms),
            ("answer_ms", calls.answer_ms),
            ("closing_ms", calls.closing_ms),
        ];
        for (name, ms) in timeouts {
            let invalid = !(1..=86_400_000).contains(&ms);
            reject_if(invalid, &format!("calls.{name}"), format!("{ms} is not within 1 to 86400000"));
        }
        reject_if(calls.most_opening == 0, "calls.most_opening", "is 0".into());
        let min = 64 << 10;
        reject_if(
            calls.most_unread < min,
            "calls.most_unread",
            format!("{} is less than {min}", calls.most_unread),
        );
        for origin in &calls.origins {
            let invalid = !origin.contains("://") || origin.ends_with('/');
            reject_if(
                invalid,
                "calls.origins",
                format!("{origin:?} is not an origin such as \"https://host:port\""),
            );
        }
        reject_if(self.traces > 1_000_000, "traces", format!("{} is more than 1000000", self.traces));
        reject_if(self.most_calls == 0, "most_calls", "is 0".into());
        let timers = &self.timers;
        let all_timers = [
            timers.t1_ms,
            timers.t5_ms,
            timers.t7_ms,
            timers.t16_ms,
            timers.t17_ms,
            timers.t22_ms,
            timers.link_ack_ms,
            timers.beat_ms,
            timers.link_grace_ms,
            timers.audit_ms,
        ];
        reject_if(
            all_timers.iter().any(|ms| !(1..=86_400_000).contains(ms)),
            "timers",
            "a timer is not within 1 to 86400000".into(),
        );
        reject_if(timers.t5_ms < timers.t1_ms, "timers.t5_ms", "is shorter than t1_ms".into());
        errors
    }

    /// The configuration of call control.
    pub fn call_control_config(&self) -> CallControlConfig {
        let ms = Duration::from_millis;
        let call_type_config = |call_type: &CallType| CallTypeConfig {
            setup_target: ms(call_type.setup_target_ms),
            guard_time: ms(call_type.guard_time_ms),
            revenue: call_type.revenue,
            width: call_type.width,
            mean_hold: ms(call_type.mean_hold_ms),
            repeats: RepeatPolicy::Freely,
            pools: Vec::new(),
        };
        let (rules, timers) = (&self.rules, &self.timers);
        CallControlConfig {
            own: ExchangeNumber(self.exchange),
            controller: ControllerConfig {
                own: Some(ExchangeNumber(self.exchange)),
                call_types: self.call_types.iter().map(call_type_config).collect(),
                seizure_limit: rules.seizures,
                may_cancel: rules.may_cancel,
                max_retry_after: ms(rules.longest_come_back_ms),
                must_subscribe: false,
                may_message_peers: rules.may_tell,
                overload_multiple: rules.fall_multiple,
                cold_share: rules.cold_share,
                warm_up: ms(rules.warm_up_ms),
                release_wait: ms(rules.release_wait_ms),
                retransmit_after: ms(rules.repeat_after_ms),
            },
            groups: self
                .signalling
                .links
                .iter()
                .map(|link| GroupConfig { to: ExchangeNumber(link.to), circuits: link.circuits })
                .collect(),
            numbers: self
                .numbers
                .iter()
                .map(|number| NumberConfig { dialled: number.number, lines: number.lines })
                .collect(),
            timers: Timers {
                t1: ms(timers.t1_ms),
                t5: ms(timers.t5_ms),
                t7: ms(timers.t7_ms),
                t16: ms(timers.t16_ms),
                t17: ms(timers.t17_ms),
                t22: ms(timers.t22_ms),
                link_ack: ms(timers.link_ack_ms),
                heartbeat: ms(timers.beat_ms),
                link_grace: ms(timers.link_grace_ms),
                audit: ms(timers.audit_ms),
            },
            max_calls: self.most_calls,
            max_traces: self.traces,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn config_file(text: &str) -> PathBuf {
        use std::sync::atomic::{AtomicU32, Ordering};
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("mintstall-config-{}-{number}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        path
    }

    #[test]
    fn a_parse_error_names_its_place() {
        let path = config_file("{\"exchange\": 1,\n \"call_types\": [{\"name\": 3}]}");
        let error = Config::read(&path).unwrap_err().to_string();
        assert!(error.contains(":2:") && error.contains("at call_types[0].name"), "{error}");
        let path = config_file("{\"exchange\": 1, \"call_types\": [], \"more\": 2}");
        assert!(Config::read(&path).unwrap_err().to_string().contains("unknown field `more`"));
    }

    #[test]
    fn all_validation_errors_are_reported_at_once() {
        let path = config_file(
            r#"{"exchange": 0, "signalling": {"links": [{"to": 2, "circuits": 5000}, {"to": 2, "circuits": 1}]},
                "call_types": [], "rules": {"cold_share": 2}}"#,
        );
        let Err(ConfigError::Invalid { errors, .. }) = Config::read(&path) else {
            panic!("the configuration is accepted")
        };
        let places: Vec<_> = errors.iter().map(|error| error.split(": ").next().unwrap()).collect();
        let expected = [
            "exchange",
            "signalling.links[0].circuits",
            "signalling.links[0]",
            "signalling.links[1].to",
            "signalling.links[1]",
            "call_types",
            "rules.cold_share",
        ];
        assert_eq!(places, expected);
    }
}
