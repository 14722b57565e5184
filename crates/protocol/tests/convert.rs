//! Tests of the internal protocol: round trips and malformed input.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::{CustomerName, QueueName, VmId};
use redwing_policy::PeerMessage;
use redwing_policy::message::{CustomerDemand, IdleSlots, PermitRequest, TokenTransfer};
use redwing_policy::token::{TokenId, TokenPool};
use redwing_protocol::{Category, convert, peer_capnp};
use redwing_provider::{RowKey, TableRow};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31),
        ..ProptestConfig::default()
    }
}

fn name_text() -> impl Strategy<Value = String> {
    "[a-z]([a-z0-9-]{0,20}[a-z0-9])?"
}

fn queue() -> impl Strategy<Value = QueueName> {
    name_text().prop_map(|text| QueueName::new(&text).unwrap())
}

fn customer() -> impl Strategy<Value = CustomerName> {
    name_text().prop_map(|text| CustomerName::new(&text).unwrap())
}

fn pool() -> impl Strategy<Value = TokenPool> {
    prop_oneof![
        customer().prop_map(TokenPool::Permit),
        name_text().prop_map(|text| TokenPool::Slot(VmId::new(&text).unwrap())),
    ]
}

fn token() -> impl Strategy<Value = TokenId> {
    (pool(), any::<u32>()).prop_map(|(pool, number)| TokenId { pool, number })
}

fn demand() -> impl Strategy<Value = CustomerDemand> {
    let fields = (
        queue(),
        proptest::option::of(customer()),
        any::<u32>(),
        any::<u64>(),
    );
    fields.prop_map(
        |(class, customer, waiting, service_micros)| CustomerDemand {
            class,
            customer,
            waiting,
            service_micros,
        },
    )
}

fn transfer() -> impl Strategy<Value = TokenTransfer> {
    let fields = (any::<u64>(), prop::collection::vec(token(), 0..6));
    fields.prop_map(|(id, tokens)| TokenTransfer { id, tokens })
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let idle = (queue(), any::<u32>()).prop_map(|(class, slots)| IdleSlots { class, slots });
    let request = (customer(), any::<u32>())
        .prop_map(|(customer, permits)| PermitRequest { customer, permits });
    let fields = (
        any::<u64>(),
        prop::collection::vec(demand(), 0..5),
        prop::collection::vec(idle, 0..5),
        prop::collection::vec(request, 0..5),
        prop::collection::vec(transfer(), 0..5),
        prop::collection::vec(any::<u64>(), 0..5),
        prop::collection::vec(pool(), 0..5),
    );
    fields.prop_map(
        |(sequence, demand, idle, requests, transfers, received, recalls)| PeerMessage {
            sequence,
            demand,
            idle,
            permit_requests: requests,
            transfers,
            received,
            recalls,
        },
    )
}

/// Encodes `message` in the wire format.
fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut frame = capnp::message::Builder::new_default();
    convert::write_message(message, frame.init_root());
    capnp::serialize::write_message_to_words(&frame)
}

/// Decodes a message; returns `None` if the bytes are rejected.
fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let options = capnp::message::ReaderOptions::new();
    let frame = capnp::serialize::read_message(bytes, options).ok()?;
    let root = frame
        .get_root::<peer_capnp::peer_message::Reader<'_>>()
        .ok()?;
    convert::read_message(root).ok()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn encoded_messages_decode_to_the_same_value(message in message()) {
        prop_assert_eq!(decode(&encode(&message)), Some(message));
    }

    #[test]
    fn corrupt_bytes_are_rejected_or_decode_to_a_valid_message(
        message in message(),
        position in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        let mut bytes = encode(&message);
        let position = position.index(bytes.len());
        bytes[position] = value;
        if let Some(decoded) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&decoded)), Some(decoded));
        }
    }

    #[test]
    fn random_bytes_do_not_cause_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode(&bytes);
    }
}

#[test]
fn deleted_rows_and_empty_rows_decode_differently() {
    let row = |key: &str, version, value: Option<&str>| TableRow {
        key: RowKey::new(key),
        version,
        value: value.map(str::to_owned),
    };
    let rows = vec![
        row("config/key/a", 3, None),
        row("config/key/b", 4, Some("")),
    ];
    let mut frame = capnp::message::Builder::new_default();
    let root = frame.init_root::<peer_capnp::peer::announce_params::Builder<'_>>();
    convert::write_rows(&rows, root.init_rows(2));
    let root = frame
        .get_root_as_reader::<peer_capnp::peer::announce_params::Reader<'_>>()
        .unwrap();
    assert_eq!(convert::read_rows(root.get_rows().unwrap()).unwrap(), rows);
}

#[test]
fn invalid_name_is_a_data_error() {
    let mut frame = capnp::message::Builder::new_default();
    let mut root = frame.init_root::<peer_capnp::incarnation::Builder<'_>>();
    root.set_node("Not A Name");
    let reader = frame.get_root_as_reader::<peer_capnp::incarnation::Reader<'_>>();
    let error = convert::read_incarnation(reader.unwrap()).unwrap_err();
    assert_eq!(error.classify(), Category::Data);
}
