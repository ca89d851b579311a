//! Rendezvous hashing: agents choose their home balancers with it, and balancers compute the same
//! choice.

use hawthorntide_types::{EndpointId, NodeId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{BalancerMember, HOMES_PER_AGENT};

/// Returns the rank of `balancer` for `endpoint`; the highest-ranked ones are its home balancers.
pub(crate) fn rank(endpoint: EndpointId, balancer: NodeId) -> u64 {
    xxh3_64_with_seed(&balancer.get().to_le_bytes(), endpoint.get())
}

/// Returns up to `count` balancers in descending order of rank. The first [`HOMES_PER_AGENT`]
/// include one from another failure domain than the first, if there is one.
pub(crate) fn choose<'a>(
    endpoint: EndpointId,
    balancers: impl Iterator<Item = &'a BalancerMember>,
    count: usize,
) -> Vec<&'a BalancerMember> {
    let mut best: Vec<(u64, &BalancerMember)> = Vec::with_capacity(count + 1);
    let mut best_by_domain: Vec<(u64, &BalancerMember)> = Vec::new();
    for balancer in balancers {
        let ranked = (rank(endpoint, balancer.id), balancer);
        insert_ranked(&mut best, ranked, count);
        let same =
            |held: &&mut (u64, &BalancerMember)| held.1.failure_domain == balancer.failure_domain;
        match best_by_domain.iter_mut().find(same) {
            Some(held) if held.0 < ranked.0 => *held = ranked,
            Some(_) => {}
            None => best_by_domain.push(ranked),
        }
    }
    let Some(first) = best.first().copied() else {
        return Vec::new();
    };
    let second = best_by_domain
        .iter()
        .filter(|held| held.1.failure_domain != first.1.failure_domain)
        .max_by_key(|held| held.0)
        .copied();
    if let Some(second) = second {
        best.retain(|held| held.1.id != second.1.id);
        best.insert(HOMES_PER_AGENT - 1, second);
        best.truncate(count);
    }
    best.into_iter().map(|held| held.1).collect()
}

fn insert_ranked<'a>(
    best: &mut Vec<(u64, &'a BalancerMember)>,
    ranked: (u64, &'a BalancerMember),
    count: usize,
) {
    if best.len() == count && best.last().is_some_and(|last| last.0 > ranked.0) {
        return;
    }
    let index = best.partition_point(|held| held.0 > ranked.0);
    best.insert(index, ranked);
    best.truncate(count);
}
