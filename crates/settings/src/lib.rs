//! The settings of a controller, as path=value lines or as nested JSON, to the trade's words.

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

use mintstall::interface::{CallTypeConfig, CapacityReport, ControllerConfig, ExchangeNumber, RepeatPolicy};
use serde_json::Value;
use thiserror::Error;

/// What is wrong with the settings, and where.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct SettingsError(pub String);

type Read<T> = Result<T, SettingsError>;

fn bad<T>(what: impl Into<String>) -> Read<T> {
    Err(SettingsError(what.into()))
}

/// What a position in a load report stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Figure {
    Free,
    Size,
    Rate,
    /// Not used by the decisions.
    Other,
}

/// The figures in this controller's load reports, by name and in order.
#[derive(Clone, Debug, Default)]
pub struct LoadReportLayout(Vec<(String, Figure)>);

impl LoadReportLayout {
    fn parse(names: &str) -> Self {
        let figure = |name: &str| match name {
            "idle" => Figure::Free,
            "circuits" => Figure::Size,
            "max_rate" => Figure::Rate,
            _ => Figure::Other,
        };
        let names = names.split(',').filter(|name| !name.is_empty());
        Self(names.map(|name| (name.to_string(), figure(name))).collect())
    }

    /// A report whose figures stand by name, as in `idle:12;circuits:40`. Names that the settings don't have are
    /// passed over; a figure that is none makes the whole unreadable.
    pub fn parse_named(&self, text: &str) -> Option<CapacityReport> {
        let mut values = vec![-1.0; self.0.len()];
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':')?;
            let value: f32 = value.trim().parse().ok().filter(|value: &f32| value.is_finite())?;
            if let Some(at) = self.0.iter().position(|(known, _)| known == name.trim()) {
                values[at] = value;
            }
        }
        Some(self.positional_report(values.into_iter()))
    }

    /// Figures below nought were not told.
    pub fn positional_report(&self, values: impl Iterator<Item = f32>) -> CapacityReport {
        let mut report = CapacityReport::default();
        for ((_, figure), value) in self.0.iter().zip(values) {
            let told = Some(f64::from(value)).filter(|told| *told >= 0.0);
            match figure {
                Figure::Free => report.free = told,
                Figure::Size => report.size = told,
                Figure::Rate => report.rate = told,
                Figure::Other => {}
            }
        }
        report
    }
}

fn parse<T: FromStr>(path: &str, text: &str) -> Read<T> {
    text.parse().or_else(|_| bad(format!("settings: {path}={text} makes no sense")))
}

/// The settings by their path.
struct Paths(HashMap<String, String>);

impl Paths {
    fn text(&self, path: &str) -> &str {
        self.0.get(path).map(String::as_str).unwrap_or_default()
    }

    fn texts(&self, path: &str) -> Vec<String> {
        self.text(path).split(',').filter(|text| !text.is_empty()).map(str::to_string).collect()
    }

    /// The names in a list of objects.
    fn names(&self, list: &str) -> Read<Vec<String>> {
        let count: usize = self.or(&format!("{list}.count"), 0)?;
        if count > MOST_ITEMS {
            return bad(format!("settings: {list}.count={count} is too many"));
        }
        Ok((0..count).map(|at| self.text(&format!("{list}.{at}.name")).to_string()).collect())
    }

    /// A value that may be missing.
    fn or<T: FromStr>(&self, path: &str, missing: T) -> Read<T> {
        match self.text(path) {
            "" => Ok(missing),
            text => parse(path, text),
        }
    }

    /// A value that must be there.
    fn must<T: FromStr>(&self, path: &str) -> Read<T> {
        match self.text(path) {
            "" => bad(format!("settings: {path} is missing")),
            text => parse(path, text),
        }
    }

    fn seconds(&self, path: &str, value: f64) -> Read<Duration> {
        Duration::try_from_secs_f64(value)
            .or_else(|_| bad(format!("settings: {path}={value} is no span of time")))
    }

    fn must_span(&self, path: &str) -> Read<Duration> {
        self.seconds(path, self.must(path)?)
    }

    fn span_or_none(&self, path: &str) -> Read<Duration> {
        self.seconds(path, self.or(path, 0.0)?)
    }

    /// One item of a comma-separated list, if the list is that long.
    fn item<T: FromStr>(&self, path: &str, at: usize) -> Read<Option<T>> {
        let item = self.text(path).split(',').nth(at).filter(|text| !text.is_empty());
        item.map(|text| parse(path, text)).transpose()
    }
}

/// Items that one list of objects may have.
const MOST_ITEMS: usize = 255;

fn call_type(paths: &Paths, at: usize) -> Read<CallTypeConfig> {
    let of = |key: &str| format!("lanes.{at}.{key}");
    let hold = paths.item("specifics.call_length_s", at)?;
    let pools_path = format!("specifics.pools_by_class.{at}");
    Ok(CallTypeConfig {
        setup_target: paths.must_span(&of("aim_s"))?,
        guard_time: paths.must_span(&of("hard_limit_s"))?,
        revenue: paths.or(&of("worth"), 1.0)?,
        width: paths.item("specifics.widths", at)?.unwrap_or(1),
        mean_hold: paths.seconds("specifics.call_length_s", hold.unwrap_or(1.0))?,
        repeats: match paths.text(&of("semantics")) {
            "" | "free" => RepeatPolicy::Freely,
            "guarded" => RepeatPolicy::Deduplicated,
            "single_shot" => RepeatPolicy::Never,
            other => return bad(format!("settings: {} = {other} is unknown", of("semantics"))),
        },
        pools: paths
            .text(&pools_path)
            .split(',')
            .filter(|pool| !pool.is_empty())
            .map(|pool| parse(&pools_path, pool).map(ExchangeNumber))
            .collect::<Read<_>>()?,
    })
}

/// What a controller reads at start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub controller: ControllerConfig,
    pub reports: LoadReportLayout,
    /// Names by their number, where messages name what the decisions know by number.
    pub call_types: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    /// A connection that is not there by then is not waited for.
    pub connect_timeout: Duration,
    /// Whether exchanges may be sent tests.
    pub may_probe: bool,
}

/// The settings as path=value lines.
pub fn from_lines(settings: &[u8]) -> Read<Settings> {
    let Ok(text) = std::str::from_utf8(settings) else {
        return bad("settings: not UTF-8");
    };
    let mut paths = Paths(HashMap::new());
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match line.split_once('=') {
            Some((path, value)) => paths.0.insert(path.trim().into(), value.trim().into()),
            None => return bad(format!("settings: no '=' in line {line:?}")),
        };
    }
    read(&paths)
}

/// The same settings as nested JSON.
pub fn from_json(settings: &Value) -> Read<Settings> {
    if !settings.is_object() {
        return bad("settings: not an object");
    }
    let mut paths = Paths(HashMap::new());
    flatten(String::new(), settings, &mut paths.0);
    read(&paths)
}

/// One line a value: lists of plain values with commas, other lists with their count and by position.
fn flatten(path: String, value: &Value, lines: &mut HashMap<String, String>) {
    let at = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    let plain = |value: &Value| match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| flatten(at(key), value, lines)),
        Value::Array(items) => match items.iter().map(plain).collect::<Option<Vec<_>>>() {
            Some(items) => drop(lines.insert(path, items.join(","))),
            None => {
                lines.insert(at("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(nth, item)| flatten(at(&nth.to_string()), item, lines));
            }
        },
        value => lines.extend(plain(value).map(|text| (path, text))),
    }
}

fn read(paths: &Paths) -> Read<Settings> {
    let pooled = paths.text("specifics.network_form") == "skills";
    let own: i32 = if pooled { -1 } else { paths.must("specifics.own_number")? };
    let come_back = paths.span_or_none("limits.max_retry_after_s")?;
    let count: usize = paths.must("lanes.count")?;
    if count > MOST_ITEMS {
        return bad(format!("settings: lanes.count={count} is too many"));
    }
    let controller = ControllerConfig {
        own: u16::try_from(own).ok().map(ExchangeNumber),
        call_types: (0..count).map(|at| call_type(paths, at)).collect::<Read<_>>()?,
        seizure_limit: paths.or("limits.most_tries", u8::MAX)?,
        may_cancel: paths.or("limits.cancelling", false)?,
        max_retry_after: if paths.or("limits.retry_after", false)? { come_back } else { Duration::ZERO },
        must_subscribe: paths.text("membership_mode") == "subscribe",
        may_message_peers: paths.or("limits.peers", false)?,
        overload_multiple: paths.or("rules.fall_multiple", 1.0)?,
        cold_share: paths.or("rules.cold_from", 1.0)?,
        warm_up: paths.span_or_none("rules.ramp_time_s")?,
        release_wait: paths.span_or_none("specifics.clear_wait_s")?,
        retransmit_after: paths.span_or_none("specifics.retransmit_s")?,
    };
    Ok(Settings {
        controller,
        reports: LoadReportLayout::parse(paths.text("report.fields")),
        call_types: paths.names("lanes")?,
        customers: paths.names("tenants")?,
        zones: paths.texts("dcs"),
        connect_timeout: paths.span_or_none("limits.dial_timeout_s")?,
        may_probe: paths.or("limits.probes", false)?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_are_read_and_unknown_ones_passed_over() {
        let text = "lanes.count=1\nlanes.0.aim_s=0.8\nlanes.0.hard_limit_s=6.0\nspecifics.own_number=3\n\
                    specifics.widths=4\nreport.fields=idle,circuits,new_thing,max_rate\nnew.key=what\n";
        let Settings { controller, reports, .. } = from_lines(text.as_bytes()).unwrap();
        assert_eq!((controller.own, controller.call_types[0].width), (Some(ExchangeNumber(3)), 4));
        let report = reports.positional_report([5.0, -1.0, 9.0, 40.0].into_iter());
        assert_eq!((report.free, report.size, report.rate), (Some(5.0), None, Some(40.0)));
    }

    #[test]
    fn what_is_missing_is_named() {
        let error = from_lines(b"lanes.count=1\nspecifics.own_number=0\n").unwrap_err();
        assert_eq!(error.0, "settings: lanes.0.aim_s is missing");
    }

    #[test]
    fn nested_json_and_lines_say_the_same() {
        let json = serde_json::json!({
            "lanes": [{"name": "voice", "aim_s": 0.8, "hard_limit_s": 6.0, "worth": 8}],
            "specifics": {"own_number": 3, "widths": [4], "call_length_s": [9.5]},
            "dcs": ["east", "west"], "limits": {"retry_after": true, "max_retry_after_s": 2.0},
            "report": {"fields": ["idle", "circuits"]}, "tenants": [{"name": "a"}, {"name": "b"}]
        });
        let lines = "lanes.count=1\nlanes.0.name=voice\nlanes.0.aim_s=0.8\nlanes.0.hard_limit_s=6.0\n\
                     lanes.0.worth=8\nspecifics.own_number=3\nspecifics.widths=4\n\
                     specifics.call_length_s=9.5\ndcs=east,west\nlimits.retry_after=true\n\
                     limits.max_retry_after_s=2.0\nreport.fields=idle,circuits\ntenants.count=2\n\
                     tenants.0.name=a\ntenants.1.name=b\n";
        let (json, lines) = (from_json(&json).unwrap(), from_lines(lines.as_bytes()).unwrap());
        assert_eq!(format!("{json:?}"), format!("{lines:?}"));
        assert_eq!((json.zones.len(), json.customers.len(), json.controller.call_types[0].width), (2, 2, 4));
    }

    #[test]
    fn reports_are_read_by_name_and_nonsense_is_not() {
        let reports = LoadReportLayout::parse("idle,circuits,reduce");
        let report = reports.parse_named("circuits:40;idle:12;new:3;reduce:-1").unwrap();
        assert_eq!((report.free, report.size, report.rate), (Some(12.0), Some(40.0), None));
        assert_eq!(reports.parse_named("idle:-1;circuits:40").unwrap().free, None);
        assert!(reports.parse_named("idle=12").is_none() && reports.parse_named("idle:NaN").is_none());
    }
}
