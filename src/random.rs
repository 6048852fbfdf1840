//! Random numbers: Marsaglia's multiply-with-carry, enough for jitter and quick to seed.

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
        // Both halves at nought, or both at their top, would stay there for good.
        let carry = ((seed >> 32) as u32 % (Self::MULTIPLIER as u32 - 1)) + 1;
        let mut chance = Self { low: seed as u32, carry };
        // The first numbers of neighbouring seeds are alike.
        for _ in 0..4 {
            chance.next();
        }
        chance
    }

    fn next(&mut self) -> u32 {
        let wide = Self::MULTIPLIER * u64::from(self.low) + u64::from(self.carry);
        (self.low, self.carry) = (wide as u32, (wide >> 32) as u32);
        self.low
    }

    /// A number from nought up to, but not including, one.
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.next()) / (f64::from(u32::MAX) + 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_draws_of_neighbouring_seeds_are_apart() {
        for step in [1, 1 << 16, 1 << 32, (1 << 32) + 1] {
            for nth in 0..3 {
                let mut bins = [0; 20];
                for seed in 0..1000u64 {
                    let mut chance = MwcRng::new(seed * step);
                    (0..nth).for_each(|_| _ = chance.next_f64());
                    bins[(chance.next_f64() * 20.0) as usize] += 1;
                }
                assert!(bins.iter().all(|bin| (20..=80).contains(bin)), "step {step}, draw {nth}: {bins:?}");
            }
        }
    }
}
