//! Called and calling party numbers (Q.763 clauses 3.9 and 3.10), four bits a digit.

use std::fmt;

use crate::message::IsupError;

/// The digits of a number, at most [`Number::MAX_DIGITS`].
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Number {
    digits: [u8; Self::MAX_DIGITS],
    count: u8,
}

impl Number {
    /// More than the 15 digits of E.164, to leave room for an exchange's prefix before the number.
    pub const MAX_DIGITS: usize = 28;

    /// `None` if there are too many digits or one is above 15.
    pub fn new(digits: &[u8]) -> Option<Self> {
        let mut padded = [0; Self::MAX_DIGITS];
        padded.get_mut(..digits.len())?.copy_from_slice(digits);
        digits.iter().all(|digit| *digit < 16).then_some(Self { digits: padded, count: digits.len() as u8 })
    }

    /// Appends `value` in decimal, zero-padded to at least `min_digits`. `None` if the number gets too long.
    pub fn append_decimal(self, value: u64, min_digits: usize) -> Option<Self> {
        let mut number = self;
        let text = format!("{value:0min_digits$}");
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

    /// The value of decimal digits; `None` if a digit is above 9 or the value is too large.
    pub fn parse_decimal(digits: &[u8]) -> Option<u64> {
        digits.iter().try_fold(0u64, |sum, digit| {
            let sum = sum.checked_mul(10)?.checked_add(u64::from(*digit))?;
            (*digit < 10).then_some(sum)
        })
    }

    /// `octets` are the odd/even indicator with the nature of address, the numbering plan, then the digits.
    pub(crate) fn read(octets: &[u8]) -> Result<Self, IsupError> {
        let [nature, _plan, packed @ ..] = octets else {
            return Err(IsupError::TooShort { what: "party number", needed: 2, actual: octets.len() });
        };
        let odd = usize::from(nature >> 7);
        let count = (packed.len() * 2).saturating_sub(odd);
        if count > Self::MAX_DIGITS {
            return Err(IsupError::TooLong { what: "party number", max: Self::MAX_DIGITS, actual: count });
        }
        let mut number = Self::empty();
        number.count = count as u8;
        for (index, digit) in number.digits[..count].iter_mut().enumerate() {
            *digit = packed[index / 2] >> (4 * (index % 2)) & 15;
        }
        Ok(number)
    }

    /// `plan` is the second octet: the numbering plan and flags that differ between called and calling numbers.
    pub(crate) fn write(&self, out: &mut Vec<u8>, plan: u8) {
        const NATIONAL_NUMBER: u8 = 3;
        out.push((self.count & 1) << 7 | NATIONAL_NUMBER);
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
