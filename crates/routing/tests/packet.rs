//! Guards the classification of packets of known and unknown QUIC versions, and of malformed input.

use googletest::prelude::*;
use hawthorntide_routing::{ConnectionIdCodec, ConnectionIdKey, KeyRing, PacketClass, classify};
use hawthorntide_types::{EndpointId, Incarnation};
use proptest::prelude::{any, proptest};

const VERSION_1: u32 = 1;
const VERSION_2: u32 = 0x6b33_43cf;
const UNKNOWN_VERSION: u32 = 0x1a2a_3a4a;

fn codec() -> ConnectionIdCodec {
    ConnectionIdCodec::new(KeyRing::new(ConnectionIdKey::new(1, [7; 16]), None).unwrap())
}

fn valid_id() -> [u8; 20] {
    codec().encode(EndpointId(5), Incarnation(6), 7)
}

fn long_header(first: u8, version: u32, id: &[u8]) -> Vec<u8> {
    let mut packet = vec![first];
    packet.extend_from_slice(&version.to_be_bytes());
    packet.push(id.len() as u8);
    packet.extend_from_slice(id);
    packet.push(0);
    packet
}

fn is_opening(packet: &[u8]) -> bool {
    matches!(classify(packet, &codec()), PacketClass::Opening { .. })
}

fn is_established(packet: &[u8]) -> bool {
    matches!(classify(packet, &codec()), PacketClass::Established { .. })
}

// Guards against dropped handshakes. This includes versions that only the agent can reject, by
// version negotiation.
#[gtest]
fn initial_packets_of_each_version_open_a_flow() {
    for id in [&[][..], &[1; 8], &[1; 20]] {
        expect_true!(is_opening(&long_header(0xc0, VERSION_1, id)));
        expect_true!(is_opening(&long_header(0xd0, VERSION_2, id)));
        expect_true!(is_opening(&long_header(0xf0, UNKNOWN_VERSION, id)));
    }
    expect_true!(is_opening(&long_header(0xf0, UNKNOWN_VERSION, &[1; 255])));
}

// Guards against packets that cannot start a flow being routed as opening packets.
#[gtest]
fn other_packets_without_a_valid_id_are_malformed() {
    let packets = [
        long_header(0xe0, VERSION_1, &[1; 8]),
        long_header(0xd0, VERSION_1, &[1; 8]),
        long_header(0xc0, VERSION_2, &[1; 8]),
        long_header(0xc0, VERSION_1, &[1; 21]),
        long_header(0xc0, 0, &[1; 8]),
        [&[0x40][..], &[1; 60]].concat(),
    ];
    for packet in &packets {
        expect_that!(classify(packet, &codec()), eq(PacketClass::Malformed));
    }
}

// Guards against packets with a valid connection identifier that do not reach its endpoint.
#[gtest]
fn a_valid_id_is_used_in_each_packet_type() {
    expect_true!(is_established(&[&[0x40][..], &valid_id()].concat()));
    for first in [0xc0, 0xd0, 0xe0, 0xf0] {
        for version in [VERSION_1, VERSION_2, UNKNOWN_VERSION] {
            expect_true!(is_established(&long_header(first, version, &valid_id())));
        }
    }
}

// Guards against a retransmitted opening packet that is routed to another agent than the original.
#[gtest]
fn the_key_depends_on_the_identifier_only() {
    let class = |packet: &[u8]| classify(packet, &codec());
    let mut retransmitted = long_header(0xc3, VERSION_1, &[1; 8]);
    retransmitted.extend_from_slice(&[9; 1000]);
    expect_that!(
        class(&retransmitted),
        eq(class(&long_header(0xc0, VERSION_1, &[1; 8])))
    );
    expect_that!(
        class(&long_header(0xc0, VERSION_1, &[2; 8])),
        not(eq(class(&long_header(0xc0, VERSION_1, &[1; 8]))))
    );
}

// Guards against reading past the end of a truncated packet.
#[gtest]
fn truncated_packets_are_malformed() {
    for packet in [
        long_header(0xc0, VERSION_1, &[1; 8]),
        [&[0x40][..], &valid_id()].concat(),
    ] {
        for length in 0..packet.len() {
            expect_that!(
                classify(&packet[..length], &codec()),
                eq(PacketClass::Malformed)
            );
        }
    }
}

proptest! {
    // Guards against a panic on hostile input.
    #[test]
    fn random_packets_never_panic(packet in proptest::collection::vec(any::<u8>(), 0..80)) {
        classify(&packet, &codec());
    }
}
