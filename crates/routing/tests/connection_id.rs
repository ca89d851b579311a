//! Guards connection identifiers against loss of content, forgery and rotations that break flows.

use googletest::prelude::*;
use hawthorntide_routing::{
    CONNECTION_ID_BYTES, ConnectionIdCodec, ConnectionIdKey, ConnectionToken, KeyRing, KeyRingError,
};
use hawthorntide_types::{EndpointId, Incarnation};
use proptest::prelude::{any, prop_assert_eq, proptest};

fn key(id: u8) -> ConnectionIdKey {
    ConnectionIdKey::new(id, [0xa0 + id; 16])
}

fn codec(issuing: u8, accepted: Option<u8>) -> ConnectionIdCodec {
    ConnectionIdCodec::new(KeyRing::new(key(issuing), accepted.map(key)).unwrap())
}

proptest! {
    // Guards against an identifier that names another endpoint or incarnation than it was made for.
    #[test]
    fn an_identifier_says_what_it_was_made_for(
        endpoint in 0_u64..1 << 48,
        incarnation in any::<u64>(),
        nonce in any::<u64>(),
    ) {
        let id = codec(3, None).encode(EndpointId(endpoint), Incarnation(incarnation), nonce);
        let token = ConnectionToken {
            endpoint: EndpointId(endpoint),
            incarnation_low: incarnation as u32,
        };
        prop_assert_eq!(codec(3, None).decode(&id), Some(token));
    }

    // Guards against an altered identifier steering packets to an endpoint of the attacker's choice.
    #[test]
    fn an_altered_identifier_is_refused(
        nonce in any::<u64>(),
        byte in 0..CONNECTION_ID_BYTES,
        change in 1..=u8::MAX,
    ) {
        let mut id = codec(3, None).encode(EndpointId(9), Incarnation(4), nonce);
        id[byte] ^= change;
        prop_assert_eq!(codec(3, None).decode(&id), None);
    }

    // Guards against a panic on input of any length.
    #[test]
    fn random_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..40)) {
        prop_assert_eq!(codec(3, Some(4)).decode(&bytes), None);
    }
}

// Guards against flows that end during a key rotation, at any pair of neighbouring steps.
#[gtest]
fn neighbouring_steps_of_a_rotation_accept_each_other() {
    let steps = [
        codec(1, None),
        codec(1, Some(2)),
        codec(2, Some(1)),
        codec(2, None),
    ];
    for pair in steps[..3].windows(2) {
        for (issuer, reader) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let id = issuer.encode(EndpointId(5), Incarnation(6), 7);
            expect_that!(reader.decode(&id), some(anything()));
        }
    }
    let new_id = steps[2].encode(EndpointId(5), Incarnation(6), 7);
    expect_that!(steps[3].decode(&new_id), some(anything()));
}

// Guards against a removed key that still opens the way to endpoints.
#[gtest]
fn a_removed_key_is_refused() {
    let id = codec(1, None).encode(EndpointId(5), Incarnation(6), 7);
    expect_that!(codec(2, None).decode(&id), none());
}

// Guards against rings whose identifiers cannot be told apart on the wire.
#[gtest]
fn ambiguous_rings_are_refused() {
    let ring = |issuing, accepted: Option<u8>| KeyRing::new(key(issuing), accepted.map(key));
    expect_that!(ring(16, None), err(eq(&KeyRingError::IdOutOfRange(16))));
    expect_that!(ring(1, Some(1)), err(eq(&KeyRingError::IdUsedTwice(1))));
}

// Guards against key bytes in logs.
#[gtest]
fn debug_output_shows_no_key() {
    let ring = KeyRing::new(key(1), Some(key(2))).unwrap();
    let codec = ConnectionIdCodec::new(ring.clone());
    expect_that!(
        format!("{ring:?}"),
        eq("KeyRing { issuing: ConnectionIdKey(1, ..), accepted: Some(ConnectionIdKey(2, ..)) }")
    );
    expect_that!(format!("{codec:?}"), eq("ConnectionIdCodec(..)"));
}
