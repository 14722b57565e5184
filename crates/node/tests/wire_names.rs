//! Names on the wire that differ from the names in the code.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use redwing_model::admin::{ChangeKind, KeyRequest, KeyView};
use redwing_model::{CustomerName, KeyHash, QueueName};
use redwing_node::config::row::KeyRecord;
use rstest::rstest;
use serde_json::{Value, json};

fn sales() -> CustomerName {
    CustomerName::new("sales").unwrap()
}

fn request() -> Value {
    serde_json::to_value(KeyRequest {
        customer: sales(),
        queue: None,
    })
    .unwrap()
}

fn view() -> Value {
    serde_json::to_value(KeyView {
        hash: KeyHash::of("secret"),
        customer: sales(),
        queue: None,
    })
    .unwrap()
}

fn change() -> Value {
    let kind = ChangeKind::GrantKey {
        hash: KeyHash::of("secret"),
        customer: sales(),
        queue: None,
    };
    serde_json::to_value(kind).unwrap()["grant-key"].take()
}

fn row() -> Value {
    serde_json::to_value(KeyRecord {
        customer: sales(),
        queue: QueueName::new("mail").ok(),
        version: 3,
    })
    .unwrap()
}

#[rstest]
#[case::request(request())]
#[case::view(view())]
#[case::change(change())]
#[case::row(row())]
fn a_customer_is_serialized_as_team(#[case] message: Value) {
    assert_eq!(message["team"], json!("sales"), "{message}");
    assert_eq!(message.get("customer"), None, "{message}");
}

#[test]
fn the_declaration_calls_customers_teams() {
    let text = "[pools.a]\nvms = 1\nmax-unavailable = 0\n\
        [queues.mail]\npool = \"a\"\nmax-waiting-per-team = 7\n\
        [teams.sales]\nlimit = 3\n";
    let fleet = redwing_model::from_toml(text).unwrap();
    assert_eq!(fleet.customers[&sales()].limit, 3);
    let mail = &fleet.queues[&QueueName::new("mail").unwrap()];
    assert_eq!(mail.max_waiting_per_customer, 7);
}
