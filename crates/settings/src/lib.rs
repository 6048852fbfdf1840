//! Parses a controller's settings, from path=value lines or nested JSON, to the configuration types of `mintstall`.

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

use mintstall::interface::{CallTypeConfig, CapacityReport, ControllerConfig, ExchangeNumber, RepeatPolicy};
use serde_json::Value;
use thiserror::Error;

/// An invalid setting. The text names its path.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct SettingsError(pub String);

type SettingsResult<T> = Result<T, SettingsError>;

fn settings_error<T>(message: impl Into<String>) -> SettingsResult<T> {
    Err(SettingsError(message.into()))
}

/// The meaning of one figure in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Figure {
    Free,
    Size,
    Rate,
    /// Not used for routing decisions.
    Other,
}

/// The names and the order of the figures in load reports to this controller.
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

    /// Parses a report with named figures, as in `idle:12;circuits:40`. Names that are not in the settings are ignored.
    /// Returns `None` if any value is not a finite number.
    pub fn parse_named(&self, text: &str) -> Option<CapacityReport> {
        let mut values = vec![-1.0; self.0.len()];
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':')?;
            let value: f32 = value.trim().parse().ok().filter(|value: &f32| value.is_finite())?;
            if let Some(index) = self.0.iter().position(|(known, _)| known == name.trim()) {
                values[index] = value;
            }
        }
        Some(self.positional_report(values.into_iter()))
    }

    /// A report from values in the order of the settings. A negative value means that the figure is not reported.
    pub fn positional_report(&self, values: impl Iterator<Item = f32>) -> CapacityReport {
        let mut report = CapacityReport::default();
        for ((_, figure), value) in self.0.iter().zip(values) {
            let value = Some(f64::from(value)).filter(|value| *value >= 0.0);
            match figure {
                Figure::Free => report.free = value,
                Figure::Size => report.size = value,
                Figure::Rate => report.rate = value,
                Figure::Other => {}
            }
        }
        report
    }
}

fn parse<T: FromStr>(path: &str, text: &str) -> SettingsResult<T> {
    text.parse().or_else(|_| settings_error(format!("settings: {path}={text} is not valid")))
}

/// The texts of the settings by path. An empty text counts as missing.
struct FlatSettings(HashMap<String, String>);

impl FlatSettings {
    fn text(&self, path: &str) -> &str {
        self.0.get(path).map(String::as_str).unwrap_or_default()
    }

    fn list(&self, path: &str) -> Vec<String> {
        self.text(path).split(',').filter(|text| !text.is_empty()).map(str::to_string).collect()
    }

    /// The `name` of each item in a list of objects.
    fn names(&self, list: &str) -> SettingsResult<Vec<String>> {
        let count: usize = self.value_or(&format!("{list}.count"), 0)?;
        if count > MAX_LIST_ITEMS {
            return settings_error(format!("settings: {list}.count={count} is above {MAX_LIST_ITEMS}"));
        }
        Ok((0..count).map(|index| self.text(&format!("{list}.{index}.name")).to_string()).collect())
    }

    fn value_or<T: FromStr>(&self, path: &str, default: T) -> SettingsResult<T> {
        match self.text(path) {
            "" => Ok(default),
            text => parse(path, text),
        }
    }

    fn required<T: FromStr>(&self, path: &str) -> SettingsResult<T> {
        match self.text(path) {
            "" => settings_error(format!("settings: {path} is missing")),
            text => parse(path, text),
        }
    }

    fn duration(&self, path: &str, seconds: f64) -> SettingsResult<Duration> {
        Duration::try_from_secs_f64(seconds)
            .or_else(|_| settings_error(format!("settings: {path}={seconds} is not a duration in seconds")))
    }

    fn required_duration(&self, path: &str) -> SettingsResult<Duration> {
        self.duration(path, self.required(path)?)
    }

    fn duration_or_zero(&self, path: &str) -> SettingsResult<Duration> {
        self.duration(path, self.value_or(path, 0.0)?)
    }

    /// The item at `index` of a comma-separated list, or `None` if the list is shorter.
    fn list_item<T: FromStr>(&self, path: &str, index: usize) -> SettingsResult<Option<T>> {
        let item = self.text(path).split(',').nth(index).filter(|text| !text.is_empty());
        item.map(|text| parse(path, text)).transpose()
    }
}

const MAX_LIST_ITEMS: usize = 255;

fn call_type(settings: &FlatSettings, index: usize) -> SettingsResult<CallTypeConfig> {
    let path = |key: &str| format!("lanes.{index}.{key}");
    let mean_hold_s = settings.list_item("specifics.call_length_s", index)?;
    let pools_path = format!("specifics.pools_by_class.{index}");
    Ok(CallTypeConfig {
        setup_target: settings.required_duration(&path("aim_s"))?,
        guard_time: settings.required_duration(&path("hard_limit_s"))?,
        revenue: settings.value_or(&path("worth"), 1.0)?,
        width: settings.list_item("specifics.widths", index)?.unwrap_or(1),
        mean_hold: settings.duration("specifics.call_length_s", mean_hold_s.unwrap_or(1.0))?,
        repeats: match settings.text(&path("semantics")) {
            "" | "free" => RepeatPolicy::Freely,
            "guarded" => RepeatPolicy::Deduplicated,
            "single_shot" => RepeatPolicy::Never,
            other => return settings_error(format!("settings: {} = {other} is unknown", path("semantics"))),
        },
        pools: settings
            .text(&pools_path)
            .split(',')
            .filter(|pool| !pool.is_empty())
            .map(|pool| parse(&pools_path, pool).map(ExchangeNumber))
            .collect::<SettingsResult<_>>()?,
    })
}

/// All settings that a controller reads at start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub controller: ControllerConfig,
    pub reports: LoadReportLayout,
    /// Call types, customers and zones by index. Messages carry their names, routing decisions use the index.
    pub call_types: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    /// How long a connection may take to open. Zero if not set.
    pub connect_timeout: Duration,
    /// Whether heartbeats may be sent to exchanges.
    pub may_send_heartbeats: bool,
}

/// Parses settings from path=value lines.
pub fn from_lines(settings: &[u8]) -> SettingsResult<Settings> {
    let Ok(text) = std::str::from_utf8(settings) else {
        return settings_error("settings: not UTF-8");
    };
    let mut flat = FlatSettings(HashMap::new());
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match line.split_once('=') {
            Some((path, value)) => flat.0.insert(path.trim().into(), value.trim().into()),
            None => return settings_error(format!("settings: no '=' in line {line:?}")),
        };
    }
    build(&flat)
}

/// Parses settings from nested JSON.
pub fn from_json(settings: &Value) -> SettingsResult<Settings> {
    if !settings.is_object() {
        return settings_error("settings: not an object");
    }
    let mut flat = FlatSettings(HashMap::new());
    flatten(String::new(), settings, &mut flat.0);
    build(&flat)
}

/// Writes JSON as one text per path: an array of plain values with commas, any other array with its count and its items
/// by index.
fn flatten(path: String, value: &Value, texts: &mut HashMap<String, String>) {
    let child = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    let plain = |value: &Value| match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| flatten(child(key), value, texts)),
        Value::Array(items) => match items.iter().map(plain).collect::<Option<Vec<_>>>() {
            Some(items) => drop(texts.insert(path, items.join(","))),
            None => {
                texts.insert(child("count"), items.len().to_string());
                items
                    .iter()
                    .enumerate()
                    .for_each(|(index, item)| flatten(child(&index.to_string()), item, texts));
            }
        },
        value => texts.extend(plain(value).map(|text| (path, text))),
    }
}

fn build(settings: &FlatSettings) -> SettingsResult<Settings> {
    let is_pooled = settings.text("specifics.network_form") == "skills";
    let own_number: i32 = if is_pooled { -1 } else { settings.required("specifics.own_number")? };
    let max_retry_after = settings.duration_or_zero("limits.max_retry_after_s")?;
    let count: usize = settings.required("lanes.count")?;
    if count > MAX_LIST_ITEMS {
        return settings_error(format!("settings: lanes.count={count} is above {MAX_LIST_ITEMS}"));
    }
    let controller = ControllerConfig {
        own: u16::try_from(own_number).ok().map(ExchangeNumber),
        call_types: (0..count).map(|index| call_type(settings, index)).collect::<SettingsResult<_>>()?,
        seizure_limit: settings.value_or("limits.most_tries", u8::MAX)?,
        may_cancel: settings.value_or("limits.cancelling", false)?,
        max_retry_after: if settings.value_or("limits.retry_after", false)? {
            max_retry_after
        } else {
            Duration::ZERO
        },
        must_subscribe: settings.text("membership_mode") == "subscribe",
        may_message_peers: settings.value_or("limits.peers", false)?,
        overload_multiple: settings.value_or("rules.fall_multiple", 1.0)?,
        cold_share: settings.value_or("rules.cold_from", 1.0)?,
        warm_up: settings.duration_or_zero("rules.ramp_time_s")?,
        release_wait: settings.duration_or_zero("specifics.clear_wait_s")?,
        retransmit_after: settings.duration_or_zero("specifics.retransmit_s")?,
    };
    Ok(Settings {
        controller,
        reports: LoadReportLayout::parse(settings.text("report.fields")),
        call_types: settings.names("lanes")?,
        customers: settings.names("tenants")?,
        zones: settings.list("dcs"),
        connect_timeout: settings.duration_or_zero("limits.dial_timeout_s")?,
        may_send_heartbeats: settings.value_or("limits.probes", false)?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_settings_are_ignored() {
        let text = "lanes.count=1\nlanes.0.aim_s=0.8\nlanes.0.hard_limit_s=6.0\nspecifics.own_number=3\n\
                    specifics.widths=4\nreport.fields=idle,circuits,new_thing,max_rate\nnew.key=what\n";
        let Settings { controller, reports, .. } = from_lines(text.as_bytes()).unwrap();
        assert_eq!((controller.own, controller.call_types[0].width), (Some(ExchangeNumber(3)), 4));
        let report = reports.positional_report([5.0, -1.0, 9.0, 40.0].into_iter());
        assert_eq!((report.free, report.size, report.rate), (Some(5.0), None, Some(40.0)));
    }

    #[test]
    fn the_error_names_a_missing_setting() {
        let error = from_lines(b"lanes.count=1\nspecifics.own_number=0\n").unwrap_err();
        assert_eq!(error.0, "settings: lanes.0.aim_s is missing");
    }

    #[test]
    fn nested_json_and_lines_give_the_same_settings() {
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
    fn named_reports_are_parsed_and_invalid_ones_rejected() {
        let layout = LoadReportLayout::parse("idle,circuits,reduce");
        let report = layout.parse_named("circuits:40;idle:12;new:3;reduce:-1").unwrap();
        assert_eq!((report.free, report.size, report.rate), (Some(12.0), Some(40.0), None));
        assert_eq!(layout.parse_named("idle:-1;circuits:40").unwrap().free, None);
        assert!(layout.parse_named("idle=12").is_none() && layout.parse_named("idle:NaN").is_none());
    }
}
