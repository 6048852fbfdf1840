//! The queue of waiting offers: deficit round robin (Shreedhar and Varghese, 1995) with a customer's share as its quantum.
//!
//! Each customer has a queue of its own. The queues are served in turn: at each turn a customer's deficit grows by its share,
//! and it is served as long as the deficit covers the cost of its first item. A customer without waiting items has no turn, so
//! that no capacity is left unused (work-conserving). When too many items wait, the customer with the highest waiting cost for
//! its share loses its newest item, not the customer whose item came last.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::CustomerId;

#[derive(Debug)]
struct Waiting<T> {
    /// When the item expires.
    deadline: Duration,
    cost: f64,
    item: T,
}

#[derive(Debug)]
struct CustomerQueue<T> {
    waiting: VecDeque<Waiting<T>>,
    /// Sum of the costs of all waiting items.
    cost: f64,
    deficit: f64,
    share: f64,
}

/// The item that was removed because too many wait.
#[derive(Debug, PartialEq, Eq)]
pub struct Evicted<T>(pub T);

#[derive(Debug)]
pub struct FairQueue<T> {
    max: usize,
    count: usize,
    /// Shares of customers that have one configured; all others have a share of 1.
    shares: BTreeMap<CustomerId, f64>,
    /// Without empty queues.
    queues: BTreeMap<CustomerId, CustomerQueue<T>>,
    /// Customers with waiting items, in the order of their turns.
    round: VecDeque<CustomerId>,
}

impl<T> FairQueue<T> {
    pub fn new(max: usize, shares: BTreeMap<CustomerId, f64>) -> Self {
        let shares: BTreeMap<_, _> =
            shares.into_iter().filter(|(_, share)| share.is_finite() && *share > 0.0).collect();
        // Shares are scaled so that the smallest is 1 and pays for an offer in one round. Shares below a thousandth of the
        // greatest are raised to that, which bounds the scaled values.
        let greatest = shares.values().copied().fold(0.0, f64::max);
        let least = shares.values().copied().fold(f64::MAX, f64::min).max(greatest / 1e3);
        let shares =
            shares.into_iter().map(|(customer, share)| (customer, (share / least).max(1.0))).collect();
        Self { max, count: 0, shares, queues: BTreeMap::new(), round: VecDeque::new() }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds an item that expires at `deadline`. `cost` is in the unit of shares, at least a thousandth. Returns the item that is
    /// evicted when too many wait.
    pub fn push(
        &mut self,
        customer: CustomerId,
        cost: f64,
        deadline: Duration,
        item: T,
    ) -> Option<Evicted<T>> {
        let share = self.shares.get(&customer).copied().unwrap_or(1.0);
        let queue = self.queues.entry(customer).or_insert_with(|| {
            self.round.push_back(customer);
            CustomerQueue { waiting: VecDeque::new(), cost: 0.0, deficit: 0.0, share }
        });
        let cost = if cost.is_finite() { cost.max(1e-3) } else { 1e-3 };
        queue.waiting.push_back(Waiting { deadline, cost, item });
        queue.cost += cost;
        self.count += 1;
        if self.count <= self.max {
            return None;
        }
        // The customer with the highest waiting cost for its share; of equal ones that with the highest id.
        let load = |queue: &CustomerQueue<T>| queue.cost / queue.share;
        let largest = self
            .queues
            .iter()
            .max_by(|a, b| load(a.1).total_cmp(&load(b.1)))
            .map(|(customer, _)| *customer)?;
        let queue = self.queues.get_mut(&largest)?;
        let evicted = queue.waiting.pop_back()?;
        queue.cost -= evicted.cost;
        self.count -= 1;
        self.remove_if_empty(largest);
        Some(Evicted(evicted.item))
    }

    /// Removes the item whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            let customer = *self.round.front()?;
            let queue = self.queues.get_mut(&customer)?;
            match queue.waiting.front() {
                Some(first) if first.cost <= queue.deficit => {
                    let first = queue.waiting.pop_front()?;
                    queue.deficit -= first.cost;
                    queue.cost -= first.cost;
                    self.count -= 1;
                    self.remove_if_empty(customer);
                    return Some(first.item);
                }
                // The deficit doesn't cover the cost: the turn ends, and the deficit is kept for the next turn.
                _ => {
                    queue.deficit += queue.share;
                    self.round.rotate_left(1);
                }
            }
        }
    }

    /// Removes and returns the expired items, in order of customers.
    pub fn take_expired(&mut self, now: Duration) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let (expired, rest): (Vec<_>, Vec<_>) =
                queue.waiting.drain(..).partition(|waiting| waiting.deadline <= now);
            queue.cost -= expired.iter().map(|waiting| waiting.cost).sum::<f64>();
            queue.waiting.extend(rest);
            removed.extend(expired.into_iter().map(|waiting| waiting.item));
        }
        self.count -= removed.len();
        let empty: Vec<_> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.waiting.is_empty())
            .map(|(customer, _)| *customer)
            .collect();
        empty.into_iter().for_each(|customer| self.remove_if_empty(customer));
        removed
    }

    /// When the next item expires.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.queues.values().flat_map(|queue| queue.waiting.iter().map(|waiting| waiting.deadline)).min()
    }

    pub fn for_each(&mut self, mut change: impl FnMut(&mut T)) {
        let waiting = self.queues.values_mut().flat_map(|queue| &mut queue.waiting);
        waiting.for_each(|waiting| change(&mut waiting.item));
    }

    /// Removes and returns the items that match.
    pub fn remove(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let (matching, rest): (Vec<_>, Vec<_>) =
                queue.waiting.drain(..).partition(|waiting| matches(&waiting.item));
            queue.cost -= matching.iter().map(|waiting| waiting.cost).sum::<f64>();
            queue.waiting.extend(rest);
            removed.extend(matching.into_iter().map(|waiting| waiting.item));
        }
        self.count -= removed.len();
        let empty: Vec<_> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.waiting.is_empty())
            .map(|(customer, _)| *customer)
            .collect();
        empty.into_iter().for_each(|customer| self.remove_if_empty(customer));
        removed
    }

    fn remove_if_empty(&mut self, customer: CustomerId) {
        if self.queues.get(&customer).is_some_and(|queue| queue.waiting.is_empty()) {
            self.queues.remove(&customer);
            self.round.retain(|other| *other != customer);
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const DEADLINE: Duration = Duration::from_secs(99);

    fn shares(shares: &[(u16, f64)]) -> BTreeMap<CustomerId, f64> {
        shares.iter().map(|(customer, share)| (CustomerId(*customer), *share)).collect()
    }

    #[test]
    fn customers_are_served_by_their_shares_however_many_offers_each_has() {
        let mut queue = FairQueue::new(100_000, shares(&[(1, 3.0), (2, 1.0)]));
        for item in 0..4000 {
            queue.push(CustomerId(1), 1.0, DEADLINE, (1, item));
            (0..5).for_each(|_| _ = queue.push(CustomerId(2), 1.0, DEADLINE, (2, item)));
        }
        let served: Vec<_> = (0..4000).map(|_| queue.pop().unwrap().0).collect();
        let of_first = served.iter().filter(|customer| **customer == 1).count();
        assert!((2990..=3010).contains(&of_first), "{of_first}");
    }

    #[test]
    fn a_customer_that_waits_alone_gets_all_turns() {
        let mut queue = FairQueue::new(100, shares(&[(1, 0.01)]));
        (0..50).for_each(|item| _ = queue.push(CustomerId(1), 1.0, DEADLINE, item));
        assert_eq!((0..50).map(|_| queue.pop()).collect::<Vec<_>>(), (0..50).map(Some).collect::<Vec<_>>());
        assert!(queue.pop().is_none() && queue.queues.is_empty() && queue.round.is_empty());
    }

    #[test]
    fn the_customer_with_most_waiting_loses_its_newest_item() {
        let mut queue = FairQueue::new(10, BTreeMap::new());
        (0..9).for_each(|item| assert!(queue.push(CustomerId(1), 1.0, DEADLINE, ("busy", item)).is_none()));
        assert_eq!(queue.push(CustomerId(2), 1.0, DEADLINE, ("quiet", 0)), None);
        assert_eq!(queue.push(CustomerId(2), 1.0, DEADLINE, ("quiet", 1)), Some(Evicted(("busy", 8))));
        assert_eq!(queue.len(), 10);
    }

    #[test]
    fn expired_items_are_removed_and_the_rest_stays_in_order() {
        let mut queue = FairQueue::new(10, BTreeMap::new());
        let at = Duration::from_secs;
        (0..6).for_each(|item| _ = queue.push(CustomerId(item as u16 % 2), 1.0, at(10 - item), item));
        assert_eq!(queue.next_expiry(), Some(at(5)));
        assert_eq!(queue.take_expired(at(7)), [4, 3, 5]);
        assert_eq!(queue.remove(|item| *item == 2), [2]);
        assert_eq!((queue.pop(), queue.pop(), queue.pop()), (Some(0), Some(1), None));
    }

    proptest! {
        #[test]
        fn every_item_leaves_the_queue_exactly_once(pushes in proptest::collection::vec((0u16..6, 1u32..9, 1u64..50), 0..200)) {
            let mut queue = FairQueue::new(64, shares(&[(0, 2.0), (1, 0.3), (2, 7.0)]));
            let mut removed = Vec::new();
            for (item, (customer, cost, deadline_s)) in pushes.iter().enumerate() {
                let evicted = queue.push(CustomerId(*customer), f64::from(*cost), Duration::from_secs(*deadline_s), item);
                removed.extend(evicted.map(|evicted| evicted.0));
                prop_assert!(queue.len() <= 64);
                if item % 7 == 0 {
                    removed.extend(queue.take_expired(Duration::from_secs(item as u64 / 4)));
                    removed.extend(queue.pop());
                }
            }
            while let Some(item) = queue.pop() {
                removed.push(item);
            }
            removed.sort_unstable();
            prop_assert_eq!(removed, (0..pushes.len()).collect::<Vec<_>>());
            prop_assert!(queue.is_empty() && queue.queues.is_empty() && queue.round.is_empty());
        }
    }
}
