//! Model of an exchange's processor: it handles one job at a time, more slowly when cold, slowed or ageing, and none
//! when hung.

use std::collections::VecDeque;
use std::time::Duration;

use mintstall_callapi::Offer;

/// Message that the controller gets once the processor has done the job's work.
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
    /// For a received set-up: the exchange it came from, and its circuit.
    pub set_up: Option<(u16, u16)>,
}

/// A cold start: the speed rises linearly from `share` of full speed to full speed within `warm_up`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdStart {
    pub started: Duration,
    pub share: f64,
    pub warm_up: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct Processor {
    /// Seconds of work at speed 1 that the processor does in a second when warm.
    pub speed: f64,
    /// Factor by which a fault slows the processor; 1 if none does.
    pub slowdown: f64,
    /// Start, end and largest slowdown factor of gradual ageing.
    pub ageing: Option<(Duration, Duration, f64)>,
    pub cold: Option<ColdStart>,
    pub hung: bool,
    /// Jobs that are handled before those of `queue`.
    priority_queue: VecDeque<Job>,
    queue: VecDeque<Job>,
    pub current: Option<Job>,
    /// Work of the current and all queued jobs, seconds at speed 1.
    pub backlog: f64,
    /// Counts job starts and drains, so that the end of a job that was drained is recognized as outdated.
    pub generation: u64,
}

impl Processor {
    pub fn new(speed: f64) -> Self {
        Self { speed, slowdown: 1.0, ..Self::default() }
    }

    /// Seconds of work at speed 1 that the processor does in a second at present.
    pub fn pace(&self, now: Duration) -> f64 {
        let cold_factor = self.cold.map_or(1.0, |cold| {
            let progress =
                now.saturating_sub(cold.started).as_secs_f64() / cold.warm_up.as_secs_f64().max(1e-9);
            (cold.share + (1.0 - cold.share) * progress).min(1.0)
        });
        let ageing_factor = self.ageing.map_or(1.0, |(since, until, factor)| {
            let progress = now.saturating_sub(since).as_secs_f64() / (until - since).as_secs_f64().max(1e-9);
            1.0 + (factor - 1.0) * progress.min(1.0)
        });
        self.speed * cold_factor / (self.slowdown * ageing_factor)
    }

    /// Seconds until the processor has done its backlog at its present speed.
    pub fn wait(&self, now: Duration) -> f64 {
        self.backlog / self.pace(now)
    }

    /// Whether a set-up, given by sender and circuit, is still queued or in progress.
    pub fn has_set_up(&self, set_up: (u16, u16)) -> bool {
        let matches = |job: &Job| job.set_up == Some(set_up);
        self.queue.iter().any(matches) || self.current.as_ref().is_some_and(matches)
    }

    /// Whether any set-up of an exchange is still queued or in progress.
    pub fn has_set_up_from(&self, exchange: u16) -> bool {
        let matches = |job: &Job| job.set_up.is_some_and(|(from, _)| from == exchange);
        self.queue.iter().any(matches) || self.current.as_ref().is_some_and(matches)
    }

    pub fn push(&mut self, job: Job, priority: bool) {
        self.backlog += job.work;
        if priority { &mut self.priority_queue } else { &mut self.queue }.push_back(job);
    }

    /// Starts the next job unless one is in progress; returns its duration.
    pub fn start(&mut self, now: Duration) -> Option<Duration> {
        if self.hung || self.current.is_some() {
            return None;
        }
        let job = self.priority_queue.pop_front().or_else(|| self.queue.pop_front())?;
        let duration = Duration::from_secs_f64((job.work / self.pace(now)).min(1e6));
        self.current = Some(job);
        self.generation += 1;
        Some(duration)
    }

    /// Ends the current job.
    pub fn finish(&mut self) -> Option<Job> {
        let job = self.current.take()?;
        self.backlog = (self.backlog - job.work).max(0.0);
        Some(job)
    }

    /// Removes all jobs and returns them in the order in which they would have been handled.
    pub fn drain(&mut self) -> Vec<Job> {
        self.backlog = 0.0;
        self.generation += 1;
        self.current
            .take()
            .into_iter()
            .chain(self.priority_queue.drain(..))
            .chain(self.queue.drain(..))
            .collect()
    }

    /// Discards the frames of an exchange whose link was lost. The processor still does the work for them.
    pub fn discard_frames_from(&mut self, exchange: u16) {
        for job in self.priority_queue.iter_mut().chain(&mut self.queue).chain(&mut self.current) {
            if matches!(job.payload, Payload::Frame { from, .. } if from == exchange) {
                (job.payload, job.set_up) = (Payload::Nothing, None);
            }
        }
    }
}
