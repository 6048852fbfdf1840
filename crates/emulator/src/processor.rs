//! An exchange's processor: one line of work, slower when cold, slowed, aged or hung. A model, not a measurement.

use std::collections::VecDeque;
use std::time::Duration;

use mintstall_callapi::Offer;

/// What is handed to the controller once its work is done.
#[derive(Debug)]
pub(crate) enum Payload {
    Frame { from: u16, frame: Vec<u8> },
    Offer { caller: u64, offer: Offer },
    Nothing,
}

#[derive(Debug)]
pub(crate) struct Job {
    /// Seconds of work at speed 1.
    pub work: f64,
    pub payload: Payload,
    /// A set-up's link and circuit, while it waits.
    pub set_up: Option<(u16, u16)>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Cold {
    pub started: Duration,
    pub share: f64,
    pub warm_up: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct Processor {
    pub speed: f64,
    pub slow: f64,
    /// Since when, until when, and up to which factor it ages.
    pub ageing: Option<(Duration, Duration, f64)>,
    pub cold: Option<Cold>,
    pub hung: bool,
    ahead: VecDeque<Job>,
    line: VecDeque<Job>,
    pub current: Option<Job>,
    /// Work waiting or being done, seconds at speed 1.
    pub backlog: f64,
    /// Counts what was started, so that an end that was overtaken by a restart is known.
    pub round: u64,
}

impl Processor {
    pub fn new(speed: f64) -> Self {
        Self { speed, slow: 1.0, ..Self::default() }
    }

    /// Work done a second.
    pub fn pace(&self, now: Duration) -> f64 {
        let warmth = self.cold.map_or(1.0, |cold| {
            let age = now.saturating_sub(cold.started).as_secs_f64() / cold.warm_up.as_secs_f64().max(1e-9);
            (cold.share + (1.0 - cold.share) * age).min(1.0)
        });
        let aged = self.ageing.map_or(1.0, |(since, until, factor)| {
            let share = now.saturating_sub(since).as_secs_f64() / (until - since).as_secs_f64().max(1e-9);
            1.0 + (factor - 1.0) * share.min(1.0)
        });
        self.speed * warmth / (self.slow * aged)
    }

    pub fn wait(&self, now: Duration) -> f64 {
        self.backlog / self.pace(now)
    }

    pub fn queued(&self, set_up: (u16, u16)) -> bool {
        let waits = |job: &Job| job.set_up == Some(set_up);
        self.line.iter().any(waits) || self.current.as_ref().is_some_and(waits)
    }

    pub fn queued_from(&self, link: u16) -> bool {
        let waits = |job: &Job| job.set_up.is_some_and(|(from, _)| from == link);
        self.line.iter().any(waits) || self.current.as_ref().is_some_and(waits)
    }

    pub fn push(&mut self, job: Job, ahead: bool) {
        self.backlog += job.work;
        if ahead { &mut self.ahead } else { &mut self.line }.push_back(job);
    }

    /// Takes up the next job; returns how long it takes.
    pub fn start(&mut self, now: Duration) -> Option<Duration> {
        if self.hung || self.current.is_some() {
            return None;
        }
        let job = self.ahead.pop_front().or_else(|| self.line.pop_front())?;
        let span = Duration::from_secs_f64((job.work / self.pace(now)).min(1e6));
        self.current = Some(job);
        self.round += 1;
        Some(span)
    }

    pub fn done(&mut self) -> Option<Job> {
        let job = self.current.take()?;
        self.backlog = (self.backlog - job.work).max(0.0);
        Some(job)
    }

    /// All that waits, at once and in order.
    pub fn drain(&mut self) -> Vec<Job> {
        self.backlog = 0.0;
        self.round += 1;
        self.current.take().into_iter().chain(self.ahead.drain(..)).chain(self.line.drain(..)).collect()
    }

    /// What a link that broke still had waiting is lost; its work is done all the same.
    pub fn lose(&mut self, link: u16) {
        for job in self.ahead.iter_mut().chain(&mut self.line).chain(&mut self.current) {
            if matches!(job.payload, Payload::Frame { from, .. } if from == link) {
                (job.payload, job.set_up) = (Payload::Nothing, None);
            }
        }
    }
}
