//! Queue of changes that are still to be told to other balancers.

/// Entry that a change concerns.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Item {
    /// Whole record of a balancer.
    Balancer(u64),
    /// Whole record of an endpoint.
    Endpoint(u64),
    /// Judgement about a balancer.
    BalancerHealth(u64),
    /// Judgement about an endpoint.
    EndpointHealth(u64),
    /// Object of the platform store.
    Object(u64),
}

#[derive(Clone, Copy, Debug)]
struct Update {
    item: Item,
    sends: u32,
}

/// Changes with the number of times that each was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Updates {
    /// In ascending order of items.
    queue: Vec<Update>,
}

/// Factor of the logarithm of the number of balancers; four leaves less than one balancer in 10^4
/// without an update, which anti-entropy then repairs.
const SENDS_PER_LOG: u32 = 4;

/// Returns how often one process sends an update among `balancers`.
pub(crate) fn send_limit(balancers: usize) -> u32 {
    let log = (balancers as f64 + 1.0).log10().ceil() as u32;
    SENDS_PER_LOG * log.max(1)
}

impl Updates {
    /// Queues a change, or starts its count again.
    pub(crate) fn push(&mut self, item: Item) {
        match self.position(item) {
            Ok(index) => self.queue[index].sends = 0,
            Err(index) => self.queue.insert(index, Update { item, sends: 0 }),
        }
    }

    /// Drops a change that another one replaced.
    pub(crate) fn remove(&mut self, item: Item) {
        if let Ok(index) = self.position(item) {
            self.queue.remove(index);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the changes, the least sent ones first.
    pub(crate) fn by_need(&self) -> Vec<Item> {
        let mut order: Vec<&Update> = self.queue.iter().collect();
        order.sort_by_key(|update| update.sends);
        order.into_iter().map(|update| update.item).collect()
    }

    /// Counts a send of each item.
    pub(crate) fn count_sent(&mut self, items: &[Item]) {
        for item in items {
            if let Ok(index) = self.position(*item) {
                self.queue[index].sends += 1;
            }
        }
    }

    /// Drops changes that were sent often enough.
    pub(crate) fn drop_sent(&mut self, limit: u32) {
        self.queue.retain(|update| update.sends < limit);
    }

    fn position(&self, item: Item) -> Result<usize, usize> {
        self.queue.binary_search_by_key(&item, |update| update.item)
    }
}
