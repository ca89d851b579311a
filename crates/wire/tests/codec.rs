//! Guards the codecs against forged, replayed and malformed input, and input from other clusters.

use googletest::prelude::*;
use hawthorntide_types::{Incarnation, NodeId, ResultCode, ServiceId};
use hawthorntide_wire::control::{ControlMessage, Probe, control_message::Body};
use hawthorntide_wire::{
    ClusterKey, ControlCodec, ForwardHeader, ForwardKind, FrameReader, MAX_CONTROL_BYTES,
    ReplayWindow, encode_frame,
};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

fn probe(number: u64) -> ControlMessage {
    ControlMessage {
        body: Some(Body::Probe(Probe {
            number,
            gossip: None,
        })),
    }
}

fn codec(cluster: &str, key: u8) -> ControlCodec {
    ControlCodec::new(cluster, ClusterKey::new([key; 32]))
}

// Guards against accepting messages from outside the cluster.
#[gtest]
fn a_message_opens_only_with_its_key_and_cluster() {
    let mut sealer = codec("a", 1).sealer(NodeId(7), Incarnation(3));
    let datagram = sealer.seal(&probe(9)).unwrap();
    expect_that!(codec("a", 1).open(&datagram).unwrap().sender, eq(NodeId(7)));
    expect_that!(
        codec("a", 2).open(&datagram).unwrap_err(),
        eq(ResultCode::MessageForged)
    );
    expect_that!(
        codec("b", 1).open(&datagram).unwrap_err(),
        eq(ResultCode::ClusterForeign)
    );
}

// Guards against decoding oversized datagrams.
#[gtest]
fn oversized_datagrams_are_refused() {
    let result = codec("a", 1).open(&vec![1; MAX_CONTROL_BYTES + 1]);
    expect_that!(result.unwrap_err(), eq(ResultCode::PacketOversized));
}

// Guards against accepting replayed messages, also after the sender has restarted.
#[gtest]
fn a_number_is_accepted_once() {
    let mut window = ReplayWindow::default();
    for number in [5, 3, 70, 69] {
        expect_that!(window.accept(Incarnation(1), number), ok(anything()));
    }
    for number in [5, 3, 70, 69] {
        expect_that!(
            window.accept(Incarnation(1), number),
            err(eq(ResultCode::MessageReplayed))
        );
    }
    expect_that!(window.accept(Incarnation(2), 1), ok(anything()));
    expect_that!(
        window.accept(Incarnation(1), 71),
        err(eq(ResultCode::MessageReplayed))
    );
}

proptest! {
    // Guards against accepting altered datagrams, and against a panic on them.
    #[test]
    fn altered_datagrams_are_refused(position in 0_usize..60, flip in 1_u8..) {
        let codec = codec("a", 1);
        let mut datagram = codec.sealer(NodeId(7), Incarnation(3)).seal(&probe(9)).unwrap();
        let position = position % datagram.len();
        datagram[position] ^= flip;
        prop_assert!(codec.open(&datagram).is_err());
    }

    // Guards against decoders that panic on arbitrary bytes.
    #[test]
    fn decoders_survive_arbitrary_bytes(bytes: Vec<u8>) {
        let _ = codec("a", 1).open(&bytes);
        let _ = ForwardHeader::read(&bytes);
        let mut reader = FrameReader::new(100);
        reader.push(&bytes);
        while let Ok(Some(_)) = reader.next_message::<ControlMessage>() {}
    }

    // Guards against headers or packets that change when they are encoded and decoded.
    #[test]
    fn forward_header_round_trips(
        caller: std::net::SocketAddrV4, service_address: std::net::SocketAddrV6, hops: u8,
        service in any::<u64>(), packet: Vec<u8>
    ) {
        let service_address =
            std::net::SocketAddr::new(std::net::IpAddr::V6(*service_address.ip()).to_canonical(), 443);
        let header = ForwardHeader {
            kind: ForwardKind::Opening, hops, service: ServiceId(service), caller: caller.into(),
            service_address,
        };
        let datagram = header.wrap(&packet);
        prop_assert_eq!(ForwardHeader::read(&datagram), Ok((header, &packet[..])));
    }

    // Guards against messages that are lost or changed when a stream arrives in pieces.
    #[test]
    fn frames_survive_any_split(numbers: Vec<u64>, piece in 1_usize..20) {
        let bytes: Vec<u8> = numbers.iter().flat_map(|n| encode_frame(&probe(*n))).collect();
        let mut reader = FrameReader::new(100);
        let mut received = Vec::new();
        for piece in bytes.chunks(piece) {
            reader.push(piece);
            while let Some(message) = reader.next_message::<ControlMessage>().unwrap() {
                received.push(message);
            }
        }
        prop_assert_eq!(received, numbers.into_iter().map(probe).collect::<Vec<_>>());
        prop_assert!(!reader.has_incomplete_message());
    }
}
