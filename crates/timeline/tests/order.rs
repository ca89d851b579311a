//! Property tests of the hybrid logical clock.

use hawthorntide_timeline::{HybridClock, HybridTime};
use hawthorntide_types::TimeMs;
use proptest::prelude::*;

const PROCESSES: usize = 3;

proptest! {
    // Guards against clock skew that gives the receipt of a message a time before its sending.
    #[test]
    fn receipt_is_later_than_sending(
        steps in prop::collection::vec((0..PROCESSES, 0..PROCESSES, 0_u64..5000), 1..200),
    ) {
        let clocks: Vec<_> = (0..PROCESSES).map(|_| HybridClock::default()).collect();
        let mut last = [HybridTime(0); PROCESSES];
        for (from, to, wall_ms) in steps {
            let sent = clocks[from].tick(TimeMs(wall_ms));
            prop_assert!(sent > last[from]);
            last[from] = sent;
            let received = clocks[to].observe(sent, TimeMs(wall_ms / 2));
            prop_assert!(received > sent);
            prop_assert!(received > last[to]);
            last[to] = received;
        }
    }
}
