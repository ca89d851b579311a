//! Rate limiter for opening packets, the handshake packets that start a flow at a balancer.
//!
//! Packets of established flows are not limited. The limiter keeps no state per source address, so
//! spoofed addresses cost no memory. A caller whose address was validated by a QUIC Retry sends a
//! connection identifier that the agent issued, and its packets count as established.

use hawthorntide_types::{RatePerSecond, ResultCode, ServiceId, TimeMs};

use crate::id_map::IdMap;

/// One token, which admits one opening packet, in thousandths.
const TOKEN_MILLI: i64 = 1_000;

/// Time in which an empty bucket fills up; bounds the size of a burst.
const BURST_MS: u64 = 250;

/// Token bucket. It gains `rate` thousandths of a token per millisecond, which is `rate` tokens per
/// second.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    rate: u64,
    /// Negative when guaranteed packets have overdrawn the total; the debt keeps the sum of
    /// guaranteed and other packets within the total rate.
    level_milli: i64,
    refilled_at: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct ServiceBuckets {
    limit: TokenBucket,
    guaranteed: TokenBucket,
}

/// Limits the rate of opening packets per service and in total.
///
/// Each service has its own limit, and is guaranteed a share of the total rate in proportion to
/// that limit. Any service may use the part of the total rate that the others leave unused.
#[derive(Clone, Debug)]
pub struct OpeningRateLimiter {
    total: TokenBucket,
    sum_of_limits: u64,
    services: IdMap<ServiceId, ServiceBuckets>,
}

impl OpeningRateLimiter {
    /// Creates a limiter that admits `total` opening packets per second.
    pub fn new(total: RatePerSecond) -> Self {
        Self {
            total: TokenBucket::new(u64::from(total.get())),
            sum_of_limits: 0,
            services: IdMap::default(),
        }
    }

    /// Adds `service` or changes its limit in opening packets per second.
    pub fn set_limit(&mut self, service: ServiceId, limit: RatePerSecond) {
        let limit = TokenBucket::new(u64::from(limit.get()));
        match self.services.get_mut(&service) {
            Some(buckets) if buckets.limit.rate == limit.rate => return,
            Some(buckets) => buckets.limit = limit,
            None => {
                let guaranteed = TokenBucket::new(0);
                let buckets = ServiceBuckets { limit, guaranteed };
                self.services.insert(service, buckets);
            }
        }
        self.update_guarantees();
    }

    pub fn remove_service(&mut self, service: ServiceId) {
        if self.services.remove(&service).is_some() {
            self.update_guarantees();
        }
    }

    /// Consumes the tokens for one opening packet, or returns the reason to drop it.
    pub fn admit(&mut self, now: TimeMs, service: ServiceId) -> Result<(), ResultCode> {
        let Some(buckets) = self.services.get_mut(&service) else {
            return Err(ResultCode::NoEndpoint);
        };
        self.total.refill(now);
        buckets.limit.refill(now);
        buckets.guaranteed.refill(now);
        if !buckets.limit.has_token() {
            return Err(ResultCode::OpeningLimited);
        }
        if buckets.guaranteed.has_token() {
            buckets.guaranteed.consume();
        } else if !self.total.has_token() {
            return Err(ResultCode::OpeningLimited);
        }
        buckets.limit.consume();
        self.total.consume();
        Ok(())
    }

    /// Recomputes the guaranteed rates after a change of the limits.
    fn update_guarantees(&mut self) {
        self.sum_of_limits = self
            .services
            .values()
            .map(|buckets| buckets.limit.rate)
            .sum();
        let total = self.total.rate;
        let sum = self.sum_of_limits.max(1);
        for buckets in self.services.values_mut() {
            buckets
                .guaranteed
                .set_rate(total * buckets.limit.rate / sum);
        }
    }
}

impl TokenBucket {
    fn new(rate: u64) -> Self {
        let mut bucket = Self {
            rate,
            level_milli: 0,
            refilled_at: TimeMs::default(),
        };
        bucket.level_milli = bucket.capacity_milli();
        bucket
    }

    /// At least one token, so that a service with a small rate is not blocked entirely.
    fn capacity_milli(&self) -> i64 {
        ((self.rate * BURST_MS) as i64).max(TOKEN_MILLI)
    }

    fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
        self.level_milli = self.level_milli.min(self.capacity_milli());
    }

    fn refill(&mut self, now: TimeMs) {
        let elapsed_ms = now.since(self.refilled_at).get();
        let gained_milli = self.rate.saturating_mul(elapsed_ms).min(i64::MAX as u64) as i64;
        self.level_milli = self
            .level_milli
            .saturating_add(gained_milli)
            .min(self.capacity_milli());
        self.refilled_at = now;
    }

    const fn has_token(&self) -> bool {
        self.level_milli >= TOKEN_MILLI
    }

    const fn consume(&mut self) {
        self.level_milli -= TOKEN_MILLI;
    }
}
