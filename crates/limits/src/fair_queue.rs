//! Whose turn it is when offers wait: deficit round robin (Shreedhar and Varghese, 1995), a customer's quantum its share.
//!
//! Each customer has a line of its own. Turns go round; at each a customer is given its quantum and sends what that pays
//! for. One that waits for nothing has no turn, so the rest is work-conserving. When too much waits, whoever has most
//! waiting for its share loses its newest, not whoever comes last.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::CustomerId;

#[derive(Debug)]
struct Waiting<T> {
    until: Duration,
    cost: f64,
    item: T,
}

#[derive(Debug)]
struct Line<T> {
    waiting: VecDeque<Waiting<T>>,
    cost: f64,
    deficit: f64,
    share: f64,
}

/// What had to go because too much waits.
#[derive(Debug, PartialEq, Eq)]
pub struct Evicted<T>(pub T);

#[derive(Debug)]
pub struct FairQueue<T> {
    most: usize,
    count: usize,
    /// Shares that were told; others count as one.
    shares: BTreeMap<CustomerId, f64>,
    /// Emptied as what waits has its turn or its time is up; a line without anything is dropped.
    lines: BTreeMap<CustomerId, Line<T>>,
    round: VecDeque<CustomerId>,
}

impl<T> FairQueue<T> {
    pub fn new(most: usize, shares: BTreeMap<CustomerId, f64>) -> Self {
        let shares: BTreeMap<_, _> = shares.into_iter().filter(|(_, s)| s.is_finite() && *s > 0.0).collect();
        // In units of the smallest, none below a thousandth of the greatest: a round pays for at least one offer then.
        let greatest = shares.values().copied().fold(0.0, f64::max);
        let least = shares.values().copied().fold(f64::MAX, f64::min).max(greatest / 1e3);
        let shares = shares.into_iter().map(|(no, share)| (no, (share / least).max(1.0))).collect();
        Self { most, count: 0, shares, lines: BTreeMap::new(), round: VecDeque::new() }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Waits for its turn until a time; `cost` is in the unit of shares, at least a thousandth.
    pub fn push(&mut self, customer: CustomerId, cost: f64, until: Duration, item: T) -> Option<Evicted<T>> {
        let share = self.shares.get(&customer).copied().unwrap_or(1.0);
        let line = self.lines.entry(customer).or_insert_with(|| {
            self.round.push_back(customer);
            Line { waiting: VecDeque::new(), cost: 0.0, deficit: 0.0, share }
        });
        let cost = if cost.is_finite() { cost.max(1e-3) } else { 1e-3 };
        line.waiting.push_back(Waiting { until, cost, item });
        line.cost += cost;
        self.count += 1;
        if self.count <= self.most {
            return None;
        }
        // The customer with most waiting for its share; among equals the one with the highest number.
        let load = |line: &Line<T>| line.cost / line.share;
        let longest = self
            .lines
            .iter()
            .max_by(|a, b| load(a.1).total_cmp(&load(b.1)))
            .map(|(customer, _)| *customer)?;
        let line = self.lines.get_mut(&longest)?;
        let gone = line.waiting.pop_back()?;
        line.cost -= gone.cost;
        self.count -= 1;
        self.drop_empty(longest);
        Some(Evicted(gone.item))
    }

    /// Who is next.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            let customer = *self.round.front()?;
            let line = self.lines.get_mut(&customer)?;
            match line.waiting.front() {
                Some(first) if first.cost <= line.deficit => {
                    let first = line.waiting.pop_front()?;
                    line.deficit -= first.cost;
                    line.cost -= first.cost;
                    self.count -= 1;
                    self.drop_empty(customer);
                    return Some(first.item);
                }
                // Its turn is over: what it has left it keeps for the next.
                _ => {
                    line.deficit += line.share;
                    self.round.rotate_left(1);
                }
            }
        }
    }

    /// What has waited for as long as it may, in order of customers.
    pub fn expired(&mut self, now: Duration) -> Vec<T> {
        let mut gone = Vec::new();
        for line in self.lines.values_mut() {
            let (late, rest): (Vec<_>, Vec<_>) =
                line.waiting.drain(..).partition(|waiting| waiting.until <= now);
            line.cost -= late.iter().map(|waiting| waiting.cost).sum::<f64>();
            line.waiting.extend(rest);
            gone.extend(late.into_iter().map(|waiting| waiting.item));
        }
        self.count -= gone.len();
        let empty: Vec<_> =
            self.lines.iter().filter(|(_, line)| line.waiting.is_empty()).map(|(no, _)| *no).collect();
        empty.into_iter().for_each(|customer| self.drop_empty(customer));
        gone
    }

    /// When the first will have waited for as long as it may.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.lines.values().flat_map(|line| line.waiting.iter().map(|waiting| waiting.until)).min()
    }

    pub fn for_each(&mut self, mut change: impl FnMut(&mut T)) {
        let waiting = self.lines.values_mut().flat_map(|line| &mut line.waiting);
        waiting.for_each(|waiting| change(&mut waiting.item));
    }

    /// What waits and is wanted no more.
    pub fn remove(&mut self, mut which: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut gone = Vec::new();
        for line in self.lines.values_mut() {
            let (out, rest): (Vec<_>, Vec<_>) =
                line.waiting.drain(..).partition(|waiting| which(&waiting.item));
            line.cost -= out.iter().map(|waiting| waiting.cost).sum::<f64>();
            line.waiting.extend(rest);
            gone.extend(out.into_iter().map(|waiting| waiting.item));
        }
        self.count -= gone.len();
        let empty: Vec<_> =
            self.lines.iter().filter(|(_, line)| line.waiting.is_empty()).map(|(no, _)| *no).collect();
        empty.into_iter().for_each(|customer| self.drop_empty(customer));
        gone
    }

    fn drop_empty(&mut self, customer: CustomerId) {
        if self.lines.get(&customer).is_some_and(|line| line.waiting.is_empty()) {
            self.lines.remove(&customer);
            self.round.retain(|other| *other != customer);
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const LATE: Duration = Duration::from_secs(99);

    fn shares(shares: &[(u16, f64)]) -> BTreeMap<CustomerId, f64> {
        shares.iter().map(|(no, share)| (CustomerId(*no), *share)).collect()
    }

    #[test]
    fn customers_are_served_by_their_shares_however_much_each_asks_for() {
        let mut turns = FairQueue::new(100_000, shares(&[(1, 3.0), (2, 1.0)]));
        for no in 0..4000 {
            turns.push(CustomerId(1), 1.0, LATE, (1, no));
            (0..5).for_each(|_| _ = turns.push(CustomerId(2), 1.0, LATE, (2, no)));
        }
        let served: Vec<_> = (0..4000).map(|_| turns.pop().unwrap().0).collect();
        let of_first = served.iter().filter(|customer| **customer == 1).count();
        assert!((2990..=3010).contains(&of_first), "{of_first}");
    }

    #[test]
    fn one_that_is_alone_gets_all() {
        let mut turns = FairQueue::new(100, shares(&[(1, 0.01)]));
        (0..50).for_each(|no| _ = turns.push(CustomerId(1), 1.0, LATE, no));
        assert_eq!((0..50).map(|_| turns.pop()).collect::<Vec<_>>(), (0..50).map(Some).collect::<Vec<_>>());
        assert!(turns.pop().is_none() && turns.lines.is_empty() && turns.round.is_empty());
    }

    #[test]
    fn the_greedy_one_loses_its_newest_not_the_one_who_comes_last() {
        let mut turns = FairQueue::new(10, BTreeMap::new());
        (0..9).for_each(|no| assert!(turns.push(CustomerId(1), 1.0, LATE, ("greedy", no)).is_none()));
        assert_eq!(turns.push(CustomerId(2), 1.0, LATE, ("quiet", 0)), None);
        assert_eq!(turns.push(CustomerId(2), 1.0, LATE, ("quiet", 1)), Some(Evicted(("greedy", 8))));
        assert_eq!(turns.len(), 10);
    }

    #[test]
    fn what_has_waited_too_long_goes_and_the_rest_stays_in_order() {
        let mut turns = FairQueue::new(10, BTreeMap::new());
        let at = Duration::from_secs;
        (0..6).for_each(|no| _ = turns.push(CustomerId(no as u16 % 2), 1.0, at(10 - no), no));
        assert_eq!(turns.next_expiry(), Some(at(5)));
        assert_eq!(turns.expired(at(7)), [4, 3, 5]);
        assert_eq!(turns.remove(|no| *no == 2), [2]);
        assert_eq!((turns.pop(), turns.pop(), turns.pop()), (Some(0), Some(1), None));
    }

    proptest! {
        #[test]
        fn nothing_is_lost_or_served_twice(pushes in proptest::collection::vec((0u16..6, 1u32..9, 1u64..50), 0..200)) {
            let mut turns = FairQueue::new(64, shares(&[(0, 2.0), (1, 0.3), (2, 7.0)]));
            let mut seen = Vec::new();
            for (no, (customer, cost, until)) in pushes.iter().enumerate() {
                let displaced = turns.push(CustomerId(*customer), f64::from(*cost), Duration::from_secs(*until), no);
                seen.extend(displaced.map(|displaced| displaced.0));
                prop_assert!(turns.len() <= 64);
                if no % 7 == 0 {
                    seen.extend(turns.expired(Duration::from_secs(no as u64 / 4)));
                    seen.extend(turns.pop());
                }
            }
            while let Some(item) = turns.pop() {
                seen.push(item);
            }
            seen.sort_unstable();
            prop_assert_eq!(seen, (0..pushes.len()).collect::<Vec<_>>());
            prop_assert!(turns.is_empty() && turns.lines.is_empty() && turns.round.is_empty());
        }
    }
}
