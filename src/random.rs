//! Random numbers by Marsaglia's multiply-with-carry: good enough for jitter, and quick to seed.

/// A multiply-with-carry generator; the same seed gives the same numbers.
///
/// ```
/// use mintstall::random::MwcRng;
/// let (mut a, mut b) = (MwcRng::new(7), MwcRng::new(7));
/// let draw = a.next_f64();
/// assert_eq!(draw, b.next_f64());
/// assert!((0.0..1.0).contains(&draw) && draw != a.next_f64());
/// ```
#[derive(Clone, Debug)]
pub struct MwcRng {
    low: u32,
    carry: u32,
}

impl MwcRng {
    const MULTIPLIER: u64 = 4_294_957_665;

    pub fn new(seed: u64) -> Self {
        // With both halves at zero, or both at their maximum, the generator would repeat one number for ever.
        let carry = ((seed >> 32) as u32 % (Self::MULTIPLIER as u32 - 1)) + 1;
        let mut rng = Self { low: seed as u32, carry };
        // Skipped, since the first numbers of neighbouring seeds are alike.
        for _ in 0..4 {
            rng.next();
        }
        rng
    }

    fn next(&mut self) -> u32 {
        let wide = Self::MULTIPLIER * u64::from(self.low) + u64::from(self.carry);
        (self.low, self.carry) = (wide as u32, (wide >> 32) as u32);
        self.low
    }

    /// A number from [0, 1).
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.next()) / (f64::from(u32::MAX) + 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn first_draws_of_neighbouring_seeds_are_spread_evenly() {
        for step in [1, 1 << 16, 1 << 32, (1 << 32) + 1] {
            for nth in 0..3 {
                let mut bins = [0; 20];
                for seed in 0..1000u64 {
                    let mut rng = MwcRng::new(seed * step);
                    (0..nth).for_each(|_| _ = rng.next_f64());
                    bins[(rng.next_f64() * 20.0) as usize] += 1;
                }
                assert!(bins.iter().all(|bin| (20..=80).contains(bin)), "step {step}, draw {nth}: {bins:?}");
            }
        }
    }
}
