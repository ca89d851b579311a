//! Guards connection identifiers against lossy encoding, forgery and flows broken by key rotation.

use googletest::prelude::*;
use hawthorntide_routing::{
    CONNECTION_ID_BYTES, ConnectionIdCodec, ConnectionIdKey, DecodedConnectionId, KeyRing,
    KeyRingError,
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
    // Guards against an identifier that decodes to another endpoint or incarnation than encoded.
    #[test]
    fn encoded_contents_are_decoded(
        endpoint in 0_u64..1 << 48,
        incarnation in any::<u64>(),
        nonce in any::<u64>(),
    ) {
        let id = codec(3, None).encode(EndpointId(endpoint), Incarnation(incarnation), nonce);
        let decoded = DecodedConnectionId {
            endpoint: EndpointId(endpoint),
            incarnation_low: incarnation as u32,
        };
        prop_assert_eq!(codec(3, None).decode(&id), Some(decoded));
    }

    // Guards against an attacker who alters an identifier to send packets to an endpoint of choice.
    #[test]
    fn altered_identifiers_are_rejected(
        nonce in any::<u64>(),
        byte in 0..CONNECTION_ID_BYTES,
        change in 1..=u8::MAX,
    ) {
        let mut id = codec(3, None).encode(EndpointId(9), Incarnation(4), nonce);
        id[byte] ^= change;
        prop_assert_eq!(codec(3, None).decode(&id), None);
    }

    // Guards against a panic or a false match on arbitrary input.
    #[test]
    fn random_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..40)) {
        prop_assert_eq!(codec(3, Some(4)).decode(&bytes), None);
    }
}

// Guards against flows that break during a key rotation, when processes are at two adjacent steps.
#[gtest]
fn adjacent_rotation_steps_accept_each_other() {
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

// Guards against identifiers that stay valid after the removal of their key.
#[gtest]
fn removed_keys_are_rejected() {
    let id = codec(1, None).encode(EndpointId(5), Incarnation(6), 7);
    expect_that!(codec(2, None).decode(&id), none());
}

// Guards against key ids that do not fit in a connection identifier or do not select one key.
#[gtest]
fn ambiguous_key_rings_are_rejected() {
    let ring = |issuing, accepted: Option<u8>| KeyRing::new(key(issuing), accepted.map(key));
    expect_that!(ring(16, None), err(eq(&KeyRingError::IdOutOfRange(16))));
    expect_that!(ring(1, Some(1)), err(eq(&KeyRingError::IdUsedTwice(1))));
}

// Guards against secret key bytes in logs.
#[gtest]
fn debug_output_omits_secrets() {
    let ring = KeyRing::new(key(1), Some(key(2))).unwrap();
    let codec = ConnectionIdCodec::new(ring.clone());
    expect_that!(
        format!("{ring:?}"),
        eq("KeyRing { issuing: ConnectionIdKey(1, ..), accepted: Some(ConnectionIdKey(2, ..)) }")
    );
    expect_that!(format!("{codec:?}"), eq("ConnectionIdCodec(..)"));
}
