//! Queue of updates that are spread by gossip.

/// Identifies the entry that an update carries. Messages are packed from the current state of the
/// entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Item {
    /// Full record of a balancer.
    Balancer(u64),
    /// Full record of an endpoint.
    Endpoint(u64),
    /// Only the health of a balancer.
    BalancerHealth(u64),
    /// Only the health of an endpoint.
    EndpointHealth(u64),
    /// Configuration object of the platform store.
    Object(u64),
}

#[derive(Clone, Copy, Debug)]
struct Update {
    item: Item,
    transmissions: u32,
}

/// Pending updates, each with the number of times that it was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    /// Sorted by item.
    queue: Vec<Update>,
}

/// Transmissions of an update per decimal order of magnitude of the cluster size. With four, fewer
/// than one balancer in 10^4 misses an update; anti-entropy repairs that.
const RETRANSMIT_MULTIPLIER: u32 = 4;

/// Returns how often each process sends an update in a cluster of `balancers`.
pub(crate) fn max_transmissions(balancers: usize) -> u32 {
    let log = (balancers as f64 + 1.0).log10().ceil() as u32;
    RETRANSMIT_MULTIPLIER * log.max(1)
}

impl UpdateQueue {
    /// Queues an update, or resets its transmission count if it is already queued.
    pub(crate) fn push(&mut self, item: Item) {
        match self.position(item) {
            Ok(index) => self.queue[index].transmissions = 0,
            Err(index) => self.queue.insert(
                index,
                Update {
                    item,
                    transmissions: 0,
                },
            ),
        }
    }

    /// Removes an update that was superseded by another one.
    pub(crate) fn remove(&mut self, item: Item) {
        if let Ok(index) = self.position(item) {
            self.queue.remove(index);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the updates in ascending order of their transmissions.
    pub(crate) fn by_fewest_transmissions(&self) -> Vec<Item> {
        let mut order: Vec<&Update> = self.queue.iter().collect();
        order.sort_by_key(|update| update.transmissions);
        order.into_iter().map(|update| update.item).collect()
    }

    /// Counts one transmission of each item.
    pub(crate) fn count_transmissions(&mut self, items: &[Item]) {
        for item in items {
            if let Ok(index) = self.position(*item) {
                self.queue[index].transmissions += 1;
            }
        }
    }

    /// Removes updates without remaining transmissions.
    pub(crate) fn remove_fully_transmitted(&mut self, limit: u32) {
        self.queue.retain(|update| update.transmissions < limit);
    }

    fn position(&self, item: Item) -> Result<usize, usize> {
        self.queue.binary_search_by_key(&item, |update| update.item)
    }
}
