//! What is known of the numbers dialled lately, by number and by age, so that the redials of many callers don't cost a search
//! each. The count is bounded, since anybody can dial ever new numbers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::interface::DialledNumber;

/// More numbers than are given up or found busy within the time for which they count; the oldest are forgotten first.
const MAX_NUMBERS: usize = 20_000;

/// A value for each dialled number.
pub struct RecentNumbers<T> {
    /// Oldest first; a number can stand in it more than once.
    by_age: VecDeque<(Duration, DialledNumber)>,
    by_number: BTreeMap<DialledNumber, (Duration, T)>,
}

impl<T> Default for RecentNumbers<T> {
    fn default() -> Self {
        Self { by_age: VecDeque::new(), by_number: BTreeMap::new() }
    }
}

impl<T> RecentNumbers<T> {
    /// Number 0 means no number and is not stored.
    pub fn push(&mut self, now: Duration, dialled: DialledNumber, value: T) {
        if dialled.0 == 0 {
            return;
        }
        while self.by_age.len() >= MAX_NUMBERS {
            self.remove_oldest();
        }
        self.by_age.push_back((now, dialled));
        self.by_number.insert(dialled, (now, value));
    }

    pub fn get(&self, dialled: DialledNumber) -> Option<&T> {
        self.by_number.get(&dialled).map(|(_, value)| value)
    }

    pub fn remove_older_than(&mut self, max_age: Duration, now: Duration) {
        while self.by_age.front().is_some_and(|(at, _)| *at + max_age < now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((at, dialled)) = self.by_age.pop_front()
            && self.by_number.get(&dialled).is_some_and(|(latest, _)| *latest == at)
        {
            self.by_number.remove(&dialled);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn a_number_is_known_until_its_last_entry_is_too_old() {
        let mut numbers = RecentNumbers::default();
        numbers.push(at(0), DialledNumber(0), 'x');
        numbers.push(at(0), DialledNumber(5), 'a');
        numbers.push(at(100), DialledNumber(5), 'b');
        assert_eq!((numbers.get(DialledNumber(0)), numbers.get(DialledNumber(5))), (None, Some(&'b')));
        numbers.remove_older_than(at(50), at(100));
        assert_eq!(numbers.get(DialledNumber(5)), Some(&'b'));
        numbers.remove_older_than(at(50), at(151));
        assert_eq!(numbers.get(DialledNumber(5)), None);
    }

    // Guards against: memory that grows with each new number, however short the time for which it counts.
    #[test]
    fn ever_new_numbers_and_one_number_again_and_again_take_up_bounded_memory() {
        let mut numbers = RecentNumbers::default();
        let count = 3 * MAX_NUMBERS as u64;
        (1..=count).for_each(|number| numbers.push(at(0), DialledNumber(number), ()));
        (1..=count).for_each(|_| numbers.push(at(0), DialledNumber(7), ()));
        assert!(numbers.by_age.len() <= MAX_NUMBERS && numbers.by_number.len() <= MAX_NUMBERS);
        assert_eq!(numbers.get(DialledNumber(7)), Some(&()));
    }
}
