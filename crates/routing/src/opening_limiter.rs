//! Admission of opening packets at a balancer.
//!
//! Established packets never pass the gate. It keeps no state per source, so that spoofed addresses
//! cost no memory; a caller that proved its address through a QUIC Retry sends a connection
//! identifier of the agent and counts as established.

use hawthorntide_types::{RatePerSecond, ResultCode, ServiceId, TimeMs};

use crate::id_map::IdMap;

/// Parts of one token; a token admits one opening packet.
const TOKEN: i64 = 1_000;

/// Time in which an idle bucket fills; a burst of this length passes.
const BURST_MS: u64 = 250;

/// Bucket that fills by `rate` thousandths of a token each millisecond, which is `rate` tokens a
/// second.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: u64,
    /// Below zero while guaranteed packets have used more than the total; this debt keeps the sum of
    /// guaranteed and spare packets within the total rate.
    level: i64,
    filled_at: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    limit: Bucket,
    guaranteed: Bucket,
}

/// Limits opening packets by service, and in total by the shares of the services.
///
/// Each service has its own limit. Of the total rate each service is guaranteed a share in
/// proportion to its limit; what others leave unused is open to all.
#[derive(Clone, Debug)]
pub struct OpeningRateLimiter {
    total: Bucket,
    sum_of_limits: u64,
    shares: IdMap<ServiceId, Share>,
}

impl OpeningRateLimiter {
    /// Creates a gate that passes `total` opening packets a second.
    pub fn new(total: RatePerSecond) -> Self {
        Self {
            total: Bucket::new(u64::from(total.get())),
            sum_of_limits: 0,
            shares: IdMap::default(),
        }
    }

    /// Sets how many opening packets a second one service may take.
    pub fn set_limit(&mut self, service: ServiceId, limit: RatePerSecond) {
        let limit = Bucket::new(u64::from(limit.get()));
        match self.shares.get_mut(&service) {
            Some(share) if share.limit.rate == limit.rate => return,
            Some(share) => share.limit = limit,
            None => {
                let guaranteed = Bucket::new(0);
                let share = Share { limit, guaranteed };
                self.shares.insert(service, share);
            }
        }
        self.divide();
    }

    /// Removes a service.
    pub fn remove_service(&mut self, service: ServiceId) {
        if self.shares.remove(&service).is_some() {
            self.divide();
        }
    }

    /// Takes the tokens of one opening packet, or tells why the packet is dropped.
    pub fn admit(&mut self, now: TimeMs, service: ServiceId) -> Result<(), ResultCode> {
        let Some(share) = self.shares.get_mut(&service) else {
            return Err(ResultCode::NoEndpoint);
        };
        self.total.fill(now);
        share.limit.fill(now);
        share.guaranteed.fill(now);
        if !share.limit.has_token() {
            return Err(ResultCode::OpeningLimited);
        }
        if share.guaranteed.has_token() {
            share.guaranteed.take();
        } else if !self.total.has_token() {
            return Err(ResultCode::OpeningLimited);
        }
        share.limit.take();
        self.total.take();
        Ok(())
    }

    /// Divides the total rate among the services.
    fn divide(&mut self) {
        self.sum_of_limits = self.shares.values().map(|share| share.limit.rate).sum();
        let total = self.total.rate;
        let sum = self.sum_of_limits.max(1);
        for share in self.shares.values_mut() {
            share.guaranteed.set_rate(total * share.limit.rate / sum);
        }
    }
}

impl Bucket {
    fn new(rate: u64) -> Self {
        let mut bucket = Self {
            rate,
            level: 0,
            filled_at: TimeMs::default(),
        };
        bucket.level = bucket.depth();
        bucket
    }

    /// A bucket holds at least one token, so that a small rate admits packets too.
    fn depth(&self) -> i64 {
        ((self.rate * BURST_MS) as i64).max(TOKEN)
    }

    fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
        self.level = self.level.min(self.depth());
    }

    fn fill(&mut self, now: TimeMs) {
        let elapsed_ms = now.since(self.filled_at).get();
        let gained = self.rate.saturating_mul(elapsed_ms).min(i64::MAX as u64) as i64;
        self.level = self.level.saturating_add(gained).min(self.depth());
        self.filled_at = now;
    }

    const fn has_token(&self) -> bool {
        self.level >= TOKEN
    }

    const fn take(&mut self) {
        self.level -= TOKEN;
    }
}
