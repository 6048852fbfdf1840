//! A token bucket: so many a second on average, so many at once.

use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    per_s: f64,
    most: f64,
    tokens: f64,
    at: Duration,
}

impl TokenBucket {
    /// Full at start. A rate that is no figure above nought never fills again.
    pub fn new(now: Duration, per_s: f64, at_once: f64) -> Self {
        let per_s = if per_s.is_finite() { per_s.max(0.0) } else { 0.0 };
        Self { per_s, most: at_once.max(1.0), tokens: at_once.max(1.0), at: now }
    }

    /// Takes one, or says how long until there is one. A clock that steps back counts as standing still.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let gone = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + gone * self.per_s).min(self.most);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.per_s;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_burst_passes_and_then_the_rate_holds() {
        let mut bucket = TokenBucket::new(Duration::ZERO, 10.0, 5.0);
        let taken = |bucket: &mut TokenBucket, ms| bucket.take(Duration::from_millis(ms)).is_ok();
        assert_eq!((0..20).filter(|_| taken(&mut bucket, 0)).count(), 5);
        assert_eq!((0..10_000).filter(|ms| taken(&mut bucket, *ms)).count(), 99);
    }

    #[test]
    fn the_told_wait_is_enough_and_no_more() {
        let mut bucket = TokenBucket::new(Duration::ZERO, 4.0, 1.0);
        bucket.take(Duration::ZERO).unwrap();
        let wait = bucket.take(Duration::ZERO).unwrap_err();
        assert!(bucket.take(wait - Duration::from_millis(1)).is_err());
        assert!(bucket.take(wait + Duration::from_micros(1)).is_ok());
        assert_eq!(TokenBucket::new(Duration::ZERO, f64::NAN, 0.0).per_s, 0.0);
    }
}
