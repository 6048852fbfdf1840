//! Called and calling party numbers (Q.763 clauses 3.9 and 3.10): digits, four bits each.

use std::fmt;

use crate::message::IsupError;

/// Digits of a number, at most [`Number::MAX_DIGITS`].
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Number {
    digits: [u8; Self::MAX_DIGITS],
    count: u8,
}

impl Number {
    /// More than E.164 allows (15), so that an exchange's own prefix fits before one.
    pub const MAX_DIGITS: usize = 28;

    /// `None`: too many digits, or one above 15.
    pub fn new(digits: &[u8]) -> Option<Self> {
        let mut all = [0; Self::MAX_DIGITS];
        all.get_mut(..digits.len())?.copy_from_slice(digits);
        digits.iter().all(|digit| *digit < 16).then_some(Self { digits: all, count: digits.len() as u8 })
    }

    /// The decimal digits of `value`, at least `least` of them, after those of `self`; `None`: too many.
    pub fn append_decimal(self, value: u64, least: usize) -> Option<Self> {
        let mut number = self;
        let text = format!("{value:0least$}");
        for digit in text.bytes() {
            *number.digits.get_mut(usize::from(number.count))? = digit - b'0';
            number.count += 1;
        }
        Some(number)
    }

    pub fn empty() -> Self {
        Self { digits: [0; Self::MAX_DIGITS], count: 0 }
    }

    pub fn digits(&self) -> &[u8] {
        &self.digits[..usize::from(self.count)]
    }

    /// What these digits say as a decimal number; `None` where one is no decimal digit, or it is too large.
    pub fn parse_decimal(digits: &[u8]) -> Option<u64> {
        digits.iter().try_fold(0u64, |sum, digit| {
            let sum = sum.checked_mul(10)?.checked_add(u64::from(*digit))?;
            (*digit < 10).then_some(sum)
        })
    }

    /// `octets`: odd or even and the nature of the address, the numbering plan, then the digits.
    pub(crate) fn read(octets: &[u8]) -> Result<Self, IsupError> {
        let [nature, _plan, packed @ ..] = octets else {
            return Err(IsupError::Short { what: "party number", needs: 2, has: octets.len() });
        };
        let odd = usize::from(nature >> 7);
        let count = (packed.len() * 2).saturating_sub(odd);
        if count > Self::MAX_DIGITS {
            return Err(IsupError::Long { what: "party number", most: Self::MAX_DIGITS, has: count });
        }
        let mut number = Self::empty();
        number.count = count as u8;
        for (at, digit) in number.digits[..count].iter_mut().enumerate() {
            *digit = packed[at / 2] >> (4 * (at % 2)) & 15;
        }
        Ok(number)
    }

    /// `plan` is the second octet: numbering plan and its flags, which differ between called and calling.
    pub(crate) fn write(&self, out: &mut Vec<u8>, plan: u8) {
        const NATIONAL: u8 = 3;
        out.push((self.count & 1) << 7 | NATIONAL);
        out.push(plan);
        for pair in self.digits().chunks(2) {
            out.push(pair[0] | pair.get(1).copied().unwrap_or(0) << 4);
        }
    }
}

impl fmt::Debug for Number {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.digits().iter().try_for_each(|digit| write!(f, "{digit:X}"))
    }
}
