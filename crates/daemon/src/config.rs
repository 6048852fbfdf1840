//! The configuration of a controller: JSON with a schema, checked at start.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use mintstall::interface::{CallTypeConfig, ControllerConfig, ExchangeNumber, RepeatPolicy};
use mintstall_callcontrol::{CallControlConfig, GroupConfig, NumberPlan, Timers};
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
    /// Where the directory is; without one the roster is all exchanges of `signalling.links`, ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<Directory>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin: Option<Admin>,
    pub call_types: Vec<CallType>,
    /// Numbers of the own exchange that have few lines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub numbers: Vec<Number>,
    /// Whose subscribers call; offers name them by their place. None: all are one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<Customer>,
    #[serde(default)]
    pub limits: LimitsConfig,
    /// The file of tokens; read again on SIGHUP. None: nobody is asked for one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<PathBuf>,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub timers: TimersMs,
    /// Calls in hand at a time, those in transit too; what comes beyond is refused.
    #[serde(default = "most_calls")]
    pub most_calls: usize,
    /// Calls of which what became of them is remembered, step by step, some 500 octets each.
    #[serde(default = "traces")]
    pub traces: usize,
    /// Starts the random numbers; none: drawn anew at each start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Signalling {
    /// Where other exchanges connect to; needed if any link has no `connect`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    pub links: Vec<Link>,
}

/// The link and the trunk group to another exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Link {
    pub to: u16,
    /// Circuits of the group, at most 3968.
    pub circuits: u16,
    /// Where to connect to; without one, the far end connects here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connect: Option<SocketAddr>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Subscribers {
    /// Where subscriber lines connect to: newline-delimited JSON-RPC 2.0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
}

/// Where clients ask for calls over WebSocket; the reference is `docs/call-control.md`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Calls")]
pub struct CallApiConfig {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// Origins of browser pages that may connect (`https://host`); none: no page may. Clients that are no pages name none.
    pub origins: BTreeSet<String>,
    /// How long the opening handshake may take, and how many connections may be at it at a time.
    pub opening_ms: u64,
    pub most_opening: usize,
    /// A connection that was silent for so long is pinged, and dropped when nothing comes back for so long.
    pub quiet_ms: u64,
    pub answer_ms: u64,
    /// How long the closing handshake may take.
    pub closing_ms: u64,
    /// Octets that may wait to be read by one client, before it is closed as too slow.
    pub most_unread: usize,
}

impl Default for CallApiConfig {
    fn default() -> Self {
        let patience = ConnectionTimeouts::default();
        let ms = |span: Duration| span.as_millis() as u64;
        Self {
            listen: None,
            origins: BTreeSet::new(),
            opening_ms: ms(patience.handshake_timeout),
            most_opening: patience.max_handshakes,
            quiet_ms: ms(patience.idle_timeout),
            answer_ms: ms(patience.pong_timeout),
            closing_ms: ms(patience.close_timeout),
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
    /// Where the last good roster is kept for the next start.
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
    /// It is to stand within this.
    pub setup_target_ms: u64,
    /// Its caller waits so long in all.
    pub guard_time_ms: u64,
    pub revenue: f64,
    /// Circuits it takes, at most 31: they lie in one 2048 kbit/s system.
    #[serde(default = "one")]
    pub width: u16,
    /// How long it lasts on average.
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
    /// Its part of what can be worked on while more is offered, beside those of the others.
    pub share: f64,
}

/// What is let in before a call is offered to the decisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "LimitsPlan")]
pub struct LimitsConfig {
    /// Subscriber lines at a time, opened a second, and at once.
    pub sessions: usize,
    pub opens_per_s: f64,
    pub opens_at_once: f64,
    /// Calls in hand on one line, and of one customer.
    pub calls_a_session: usize,
    pub calls_a_customer: usize,
    /// Offers of one line a second, and at once.
    pub offers_per_s: f64,
    pub offers_at_once: f64,
    /// Requests of one line a second of any kind, and at once.
    pub requests_per_s: f64,
    pub requests_at_once: f64,
    /// Offers that wait for their final answer at a time; what comes beyond takes turns by customers' shares.
    pub unanswered: usize,
    /// Offers that may wait for their turn, and for which share of their callers' time.
    pub waiting: usize,
    pub wait_share: f64,
    /// How long a resumable session is kept after a cut, how many at a time, and how many texts for each.
    pub resume_ms: u64,
    pub resume_sessions: usize,
    pub resume_texts: usize,
    /// How long the answer of an offer is remembered for one that comes again under its number, and how many are.
    pub repeat_ms: u64,
    pub repeats: usize,
    /// Events of calls kept for watchers.
    pub news: usize,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            sessions: limits.sessions,
            opens_per_s: limits.opens_per_s,
            opens_at_once: limits.opens_at_once,
            calls_a_session: limits.calls_a_session,
            calls_a_customer: limits.calls_a_customer,
            offers_per_s: limits.offers_per_s,
            offers_at_once: limits.offers_at_once,
            requests_per_s: limits.requests_per_s,
            requests_at_once: limits.requests_at_once,
            unanswered: limits.unanswered,
            waiting: limits.waiting,
            wait_share: limits.wait_share,
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
            sessions: self.sessions,
            opens_per_s: self.opens_per_s,
            opens_at_once: self.opens_at_once,
            calls_a_session: self.calls_a_session,
            calls_a_customer: self.calls_a_customer,
            offers_per_s: self.offers_per_s,
            offers_at_once: self.offers_at_once,
            requests_per_s: self.requests_per_s,
            requests_at_once: self.requests_at_once,
            unanswered: self.unanswered,
            waiting: self.waiting,
            wait_share: self.wait_share,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Seizures a call may make.
    pub seizures: u8,
    /// Whether a seizure may be cancelled once its caller has gone.
    pub may_cancel: bool,
    /// The longest wait that callers follow when told one; 0: they are told none.
    pub longest_come_back_ms: u64,
    /// Whether controllers may send each other short messages.
    pub may_tell: bool,
    /// A cold exchange sent more than this many times what it can do for a while falls over.
    pub fall_multiple: f64,
    /// Share of its capacity that an exchange has when it starts, and how long it takes to warm up at most.
    pub cold_share: f64,
    pub warm_up_ms: u64,
    /// How long circuits may stay taken after a time-out, a cut or a cancel.
    pub release_wait_ms: u64,
    /// A waiting set-up is repeated after this; 0: never.
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

/// Timers of Q.764 and RFC 4666, as far as they bear here; the standards' middle values by default.
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
    /// Each group is audited this often, one system of 31 circuits at a time.
    pub audit_ms: u64,
}

impl Default for TimersMs {
    fn default() -> Self {
        let t = Timers::default();
        let ms = |span: Duration| span.as_millis() as u64;
        Self {
            t1_ms: ms(t.t1),
            t5_ms: ms(t.t5),
            t7_ms: ms(t.t7),
            t16_ms: ms(t.t16),
            t17_ms: ms(t.t17),
            t22_ms: ms(t.t22),
            link_ack_ms: ms(t.link_ack),
            beat_ms: ms(t.beat),
            link_grace_ms: ms(t.link_grace),
            audit_ms: ms(t.audit),
        }
    }
}

fn one() -> u16 {
    1
}

/// The last ten seconds or more at a hundred calls a second.
fn traces() -> usize {
    2000
}

/// 20,000 calls take some tens of MiB.
fn most_calls() -> usize {
    20_000
}

/// Why a configuration can't be used: each fault with its place.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("{path}: {error}")]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{path}:{line}:{column}: at {place}: {error}")]
    Parse { path: PathBuf, place: String, line: usize, column: usize, error: String },
    #[error("{}", .errors.iter().map(|error| format!("{}: {error}", .path.display())).collect::<Vec<_>>().join("\n"))]
    Invalid { path: PathBuf, errors: Vec<String> },
}

/// Reads a file of tokens.
pub fn read_tokens(path: &Path) -> Result<Tokens, ConfigError> {
    let file: TokenFile = read_json(path)?;
    Tokens::read(&file).map_err(|errors| ConfigError::Invalid { path: path.into(), errors })
}

/// Reads any JSON file of ours, with the place of what makes no sense in it.
pub fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| ConfigError::Unreadable { path: path.into(), error })?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    let read = serde_path_to_error::deserialize(&mut reader);
    let value = read.map_err(|error| {
        let place = error.path().to_string();
        let error = error.into_inner();
        ConfigError::Parse {
            path: path.into(),
            place,
            line: error.line(),
            column: error.column(),
            // The library adds the line itself.
            error: error.to_string().split(" at line ").next().unwrap_or_default().to_string(),
        }
    })?;
    reader.end().map_err(|error| ConfigError::Parse {
        path: path.into(),
        place: ".".into(),
        line: error.line(),
        column: error.column(),
        error: "something follows the end".into(),
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

    /// Every fault, each with its place.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut say = |wrong: bool, place: &str, why: String| {
            if wrong {
                found.push(format!("{place}: {why}"));
            }
        };
        let offices = 1..=16_383;
        say(
            !offices.contains(&self.exchange),
            "exchange",
            format!("{} is not within 1 to 16383", self.exchange),
        );
        let mut seen = BTreeSet::new();
        for (at, link) in self.signalling.links.iter().enumerate() {
            let place = format!("signalling.links[{at}]");
            let to = link.to;
            say(!offices.contains(&to), &format!("{place}.to"), format!("{to} is not within 1 to 16383"));
            say(to == self.exchange, &format!("{place}.to"), "is the own exchange".into());
            say(!seen.insert(to), &format!("{place}.to"), format!("exchange {to} has a link already"));
            let most = Cic::MAX_PER_GROUP;
            say(
                link.circuits > most,
                &format!("{place}.circuits"),
                format!("{} are more than {most}", link.circuits),
            );
            let listens = self.signalling.listen.is_some();
            say(
                link.connect.is_none() && !listens,
                &place,
                "has no connect, and signalling.listen is missing".into(),
            );
        }
        say(self.call_types.is_empty(), "call_types", "are missing".into());
        say(self.call_types.len() > 255, "call_types", "are more than 255".into());
        for (at, of) in self.call_types.iter().enumerate() {
            let place = |field: &str| format!("call_types[{at}].{field}");
            say(
                !(1..=31).contains(&of.width),
                &place("width"),
                format!("{} is not within 1 to 31", of.width),
            );
            let guard = of.guard_time_ms;
            say(
                !(1..=3_600_000).contains(&guard),
                &place("guard_time_ms"),
                format!("{guard} is not within 1 to 3600000"),
            );
            say(of.setup_target_ms == 0, &place("setup_target_ms"), "is 0".into());
            say(
                !(of.revenue >= 0.0 && of.revenue.is_finite()),
                &place("revenue"),
                format!("{} is below 0", of.revenue),
            );
            say(of.mean_hold_ms == 0, &place("mean_hold_ms"), "is 0".into());
        }
        let mut seen = BTreeSet::new();
        for (at, number) in self.numbers.iter().enumerate() {
            let place = format!("numbers[{at}].number");
            say(!seen.insert(number.number), &place, format!("{} is named before", number.number));
        }
        let rules = &self.rules;
        say(
            !(1..=16).contains(&rules.seizures),
            "rules.seizures",
            format!("{} is not within 1 to 16", rules.seizures),
        );
        say(
            !(0.0..=1.0).contains(&rules.cold_share),
            "rules.cold_share",
            format!("{} is no share", rules.cold_share),
        );
        let multiple = rules.fall_multiple;
        say(
            !(multiple > 0.0 && multiple.is_finite()),
            "rules.fall_multiple",
            format!("{multiple} is not above 0"),
        );
        for (at, customer) in self.customers.iter().enumerate() {
            let wrong = !(customer.share > 0.0 && customer.share.is_finite());
            say(wrong, &format!("customers[{at}].share"), format!("{} is not above 0", customer.share));
        }
        let l = &self.limits;
        let rates = [
            ("opens_per_s", l.opens_per_s),
            ("opens_at_once", l.opens_at_once),
            ("offers_per_s", l.offers_per_s),
            ("offers_at_once", l.offers_at_once),
            ("requests_per_s", l.requests_per_s),
            ("requests_at_once", l.requests_at_once),
        ];
        for (name, rate) in rates {
            say(
                !(rate > 0.0 && rate.is_finite()),
                &format!("limits.{name}"),
                format!("{rate} is not above 0"),
            );
        }
        let counts =
            [("sessions", l.sessions), ("calls_a_session", l.calls_a_session), ("unanswered", l.unanswered)];
        for (name, count) in counts {
            say(count == 0, &format!("limits.{name}"), "is 0".into());
        }
        say(
            !(0.0..=1.0).contains(&l.wait_share),
            "limits.wait_share",
            format!("{} is no share", l.wait_share),
        );
        let c = &self.calls;
        let spans = [
            ("opening_ms", c.opening_ms),
            ("quiet_ms", c.quiet_ms),
            ("answer_ms", c.answer_ms),
            ("closing_ms", c.closing_ms),
        ];
        for (name, ms) in spans {
            let wrong = !(1..=86_400_000).contains(&ms);
            say(wrong, &format!("calls.{name}"), format!("{ms} is not within 1 to 86400000"));
        }
        say(c.most_opening == 0, "calls.most_opening", "is 0".into());
        let least = 64 << 10;
        say(c.most_unread < least, "calls.most_unread", format!("{} is less than {least}", c.most_unread));
        for origin in &c.origins {
            let wrong = !origin.contains("://") || origin.ends_with('/');
            say(wrong, "calls.origins", format!("{origin:?} is no origin, such as \"https://host:port\""));
        }
        say(self.traces > 1_000_000, "traces", format!("{} are more than 1000000", self.traces));
        say(self.most_calls == 0, "most_calls", "is 0".into());
        let t = &self.timers;
        let all = [
            t.t1_ms,
            t.t5_ms,
            t.t7_ms,
            t.t16_ms,
            t.t17_ms,
            t.t22_ms,
            t.link_ack_ms,
            t.beat_ms,
            t.link_grace_ms,
            t.audit_ms,
        ];
        say(
            all.iter().any(|ms| !(1..=86_400_000).contains(ms)),
            "timers",
            "are not all within 1 to 86400000".into(),
        );
        say(t.t5_ms < t.t1_ms, "timers.t5_ms", "is shorter than t1_ms".into());
        found
    }

    /// What the office reads at start.
    pub fn call_control_config(&self) -> CallControlConfig {
        let ms = Duration::from_millis;
        let call_type = |of: &CallType| CallTypeConfig {
            setup_target: ms(of.setup_target_ms),
            guard_time: ms(of.guard_time_ms),
            revenue: of.revenue,
            width: of.width,
            mean_hold: ms(of.mean_hold_ms),
            repeats: RepeatPolicy::Freely,
            pools: Vec::new(),
        };
        let (rules, t) = (&self.rules, &self.timers);
        CallControlConfig {
            own: ExchangeNumber(self.exchange),
            data: ControllerConfig {
                own: Some(ExchangeNumber(self.exchange)),
                call_types: self.call_types.iter().map(call_type).collect(),
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
            numbers: self.numbers.iter().map(|n| NumberPlan { dialled: n.number, lines: n.lines }).collect(),
            timers: Timers {
                t1: ms(t.t1_ms),
                t5: ms(t.t5_ms),
                t7: ms(t.t7_ms),
                t16: ms(t.t16_ms),
                t17: ms(t.t17_ms),
                t22: ms(t.t22_ms),
                link_ack: ms(t.link_ack_ms),
                beat: ms(t.beat_ms),
                link_grace: ms(t.link_grace_ms),
                audit: ms(t.audit_ms),
            },
            max_calls: self.most_calls,
            traces: self.traces,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn written(text: &str) -> PathBuf {
        use std::sync::atomic::{AtomicU32, Ordering};
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let no = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("mintstall-config-{}-{no}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        path
    }

    #[test]
    fn a_fault_of_the_text_is_told_with_its_place() {
        let path = written("{\"exchange\": 1,\n \"call_types\": [{\"name\": 3}]}");
        let error = Config::read(&path).unwrap_err().to_string();
        assert!(error.contains(":2:") && error.contains("at call_types[0].name"), "{error}");
        let path = written("{\"exchange\": 1, \"call_types\": [], \"more\": 2}");
        assert!(Config::read(&path).unwrap_err().to_string().contains("unknown field `more`"));
    }

    #[test]
    fn every_fault_of_the_sense_is_told_at_once() {
        let path = written(
            r#"{"exchange": 0, "signalling": {"links": [{"to": 2, "circuits": 5000}, {"to": 2, "circuits": 1}]},
                "call_types": [], "rules": {"cold_share": 2}}"#,
        );
        let Err(ConfigError::Invalid { errors, .. }) = Config::read(&path) else { panic!("taken") };
        let places: Vec<_> = errors.iter().map(|error| error.split(": ").next().unwrap()).collect();
        let wanted = [
            "exchange",
            "signalling.links[0].circuits",
            "signalling.links[0]",
            "signalling.links[1].to",
            "signalling.links[1]",
            "call_types",
            "rules.cold_share",
        ];
        assert_eq!(places, wanted);
    }
}
