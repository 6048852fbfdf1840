//! The settings of an instance, from path=value lines to the trade's words.

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

use mintstall::host::{CallTypeData, OfficeData, OfficeNo, Repeats, Report};

use crate::frames::{Read, bad};

/// What a position in a load report stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Figure {
    Free,
    Size,
    Rate,
    /// Not used by the decisions.
    Other,
}

/// The order of the figures in this instance's load reports.
#[derive(Clone, Debug, Default)]
pub struct ReportLayout(Vec<Figure>);

impl ReportLayout {
    fn parse(names: &str) -> Self {
        let figure = |name: &str| match name {
            "idle" => Figure::Free,
            "circuits" => Figure::Size,
            "max_rate" => Figure::Rate,
            _ => Figure::Other,
        };
        Self(names.split(',').filter(|name| !name.is_empty()).map(figure).collect())
    }

    /// Figures below nought were not told.
    pub fn report(&self, values: impl Iterator<Item = f32>) -> Report {
        let mut report = Report::default();
        for (figure, value) in self.0.iter().zip(values) {
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

/// The lines of the settings by their path.
struct Paths<'a>(HashMap<&'a str, &'a str>);

impl<'a> Paths<'a> {
    fn text(&self, path: &str) -> &'a str {
        self.0.get(path).copied().unwrap_or_default()
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

fn call_type(paths: &Paths, at: usize) -> Read<CallTypeData> {
    let of = |key: &str| format!("lanes.{at}.{key}");
    let hold = paths.item("specifics.call_length_s", at)?;
    let pools_path = format!("specifics.pools_by_class.{at}");
    Ok(CallTypeData {
        setup_target: paths.must_span(&of("aim_s"))?,
        guard_time: paths.must_span(&of("hard_limit_s"))?,
        revenue: paths.or(&of("worth"), 1.0)?,
        width: paths.item("specifics.widths", at)?.unwrap_or(1),
        mean_hold: paths.seconds("specifics.call_length_s", hold.unwrap_or(1.0))?,
        repeats: match paths.text(&of("semantics")) {
            "" | "free" => Repeats::Freely,
            "guarded" => Repeats::Guarded,
            "single_shot" => Repeats::Never,
            other => return bad(format!("settings: {} = {other} is unknown", of("semantics"))),
        },
        pools: paths
            .text(&pools_path)
            .split(',')
            .filter(|pool| !pool.is_empty())
            .map(|pool| parse(&pools_path, pool).map(OfficeNo))
            .collect::<Read<_>>()?,
    })
}

pub fn read(settings: &[u8]) -> Read<(OfficeData, ReportLayout)> {
    let Ok(text) = std::str::from_utf8(settings) else {
        return bad("settings: not UTF-8");
    };
    let mut paths = Paths(HashMap::new());
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match line.split_once('=') {
            Some((path, value)) => paths.0.insert(path.trim(), value.trim()),
            None => return bad(format!("settings: no '=' in line {line:?}")),
        };
    }
    let pooled = paths.text("specifics.network_form") == "skills";
    let own: i32 = if pooled { -1 } else { paths.must("specifics.own_number")? };
    let come_back = paths.span_or_none("limits.max_retry_after_s")?;
    let count: usize = paths.must("lanes.count")?;
    let data = OfficeData {
        own: u16::try_from(own).ok().map(OfficeNo),
        call_types: (0..count).map(|at| call_type(&paths, at)).collect::<Read<_>>()?,
        seizure_limit: paths.or("limits.most_tries", u8::MAX)?,
        may_cancel: paths.or("limits.cancelling", false)?,
        longest_come_back: if paths.or("limits.retry_after", false)? { come_back } else { Duration::ZERO },
        must_subscribe: paths.text("membership_mode") == "subscribe",
        may_tell: paths.or("limits.peers", false)?,
        fall_multiple: paths.or("rules.fall_multiple", 1.0)?,
        cold_share: paths.or("rules.cold_from", 1.0)?,
        warm_up: paths.span_or_none("rules.ramp_time_s")?,
        release_wait: paths.span_or_none("specifics.clear_wait_s")?,
        repeat_after: paths.span_or_none("specifics.retransmit_s")?,
    };
    Ok((data, ReportLayout::parse(paths.text("report.fields"))))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_are_read_and_unknown_ones_passed_over() {
        let text = "lanes.count=1\nlanes.0.aim_s=0.8\nlanes.0.hard_limit_s=6.0\nspecifics.own_number=3\n\
                    specifics.widths=4\nreport.fields=idle,circuits,new_thing,max_rate\nnew.key=what\n";
        let (data, layout) = read(text.as_bytes()).unwrap();
        assert_eq!((data.own, data.call_types[0].width), (Some(OfficeNo(3)), 4));
        let report = layout.report([5.0, -1.0, 9.0, 40.0].into_iter());
        assert_eq!((report.free, report.size, report.rate), (Some(5.0), None, Some(40.0)));
    }

    #[test]
    fn what_is_missing_is_named() {
        let error = read(b"lanes.count=1\nspecifics.own_number=0\n").unwrap_err();
        assert_eq!(error.0, "settings: lanes.0.aim_s is missing");
    }
}
