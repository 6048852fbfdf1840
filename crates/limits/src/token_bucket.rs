//! A token bucket: limits an average rate and the size of a burst.

use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    per_s: f64,
    capacity: f64,
    tokens: f64,
    updated: Duration,
}

impl TokenBucket {
    /// A full bucket. One whose rate is not a finite number above zero is never refilled.
    pub fn new(now: Duration, per_s: f64, burst: f64) -> Self {
        let per_s = if per_s.is_finite() { per_s.max(0.0) } else { 0.0 };
        Self { per_s, capacity: burst.max(1.0), tokens: burst.max(1.0), updated: now }
    }

    /// Takes a token, or returns the time until there is one. A clock that steps back is treated as one that stands still.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.capacity);
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
    fn a_token_is_available_after_the_returned_wait_and_not_before() {
        let mut bucket = TokenBucket::new(Duration::ZERO, 4.0, 1.0);
        bucket.take(Duration::ZERO).unwrap();
        let wait = bucket.take(Duration::ZERO).unwrap_err();
        assert!(bucket.take(wait - Duration::from_millis(1)).is_err());
        assert!(bucket.take(wait + Duration::from_micros(1)).is_ok());
        assert_eq!(TokenBucket::new(Duration::ZERO, f64::NAN, 0.0).per_s, 0.0);
    }
}
