//! Admission of arbitrary request heads.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::HashMap;
use std::sync;
use std::time;

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::{AccessKey, CustomerName, QueueName, RunOutcome, declaration};
use redwing_node::admission::{self, AdmissionResult, AdmittedRequest};
use redwing_node::settings::PathLimits;
use redwing_node::{KeyGrant, NodeSnapshot};

const DECLARATION: &str = r#"
[pools.workers]
vms = 1
max-unavailable = 0
[queues.open]
pool = "workers"
open = true
max-timeout-seconds = 30
max-body-bytes = 1000
[queues.keyed]
pool = "workers"
shares = { customer = 1.0 }
[teams.customer]
limit = 1
"#;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

fn snapshot(key: &AccessKey) -> NodeSnapshot {
    let grant = KeyGrant {
        customer: CustomerName::new("customer").unwrap(),
        queue: Some(QueueName::new("keyed").unwrap()),
    };
    NodeSnapshot {
        version: 1,
        declaration: sync::Arc::new(declaration::from_toml(DECLARATION).unwrap()),
        keys: sync::Arc::new(HashMap::from([(key.hash(), grant)])),
        accepts_keyed: true,
        freshness_deadline: None,
        ready: true,
    }
}

fn head(path: &str, headers: &[(&str, &[u8])]) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = path.parse().unwrap();
    head.version = Version::HTTP_11;
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        if let Ok(value) = HeaderValue::from_bytes(value) {
            head.headers.append(name, value);
        }
    }
    head
}

fn admit(
    path: &str,
    headers: &[(&str, &[u8])],
    key: &AccessKey,
) -> AdmissionResult<AdmittedRequest> {
    admission::admit(&head(path, headers), &snapshot(key), &PathLimits::default())
}

const OPEN_PATH: &str = "/v1/queues/open/requests";
const KEYED_PATH: &str = "/v1/queues/keyed/requests";

proptest! {
    #![proptest_config(config())]

    /// Any header value is either refused with the outcome that the request did
    /// not run, or admitted within the limits of the queue.
    #[test]
    fn any_header_value_is_admitted_within_limits_or_refused(
        name in prop::sample::select(vec![
            "redwing-timeout", "redwing-repeatable", "idempotency-key",
            "content-length", "authorization",
        ]),
        value in prop_oneof![
            prop::collection::vec(any::<u8>(), 0..40),
            "[0-9]{0,25}(\\.[0-9]{0,25})?".prop_map(String::into_bytes),
            "(true|false|Bearer [a-z]*| )".prop_map(String::into_bytes),
        ],
        repeated in any::<bool>(),
    ) {
        let headers = [(name, value.as_slice()), (name, value.as_slice())];
        let count = if repeated { 2 } else { 1 };
        match admit(OPEN_PATH, &headers[..count], &AccessKey::generate()) {
            Ok(request) => {
                prop_assert!(request.timeout > time::Duration::ZERO);
                prop_assert!(request.timeout <= time::Duration::from_secs(30));
                prop_assert!(request.declared_bytes.is_none_or(|bytes| bytes <= 1_000));
                prop_assert_eq!(request.customer, None);
            }
            Err(problem) => prop_assert_eq!(problem.outcome, RunOutcome::NotRun),
        }
    }

    /// A queue with keys refuses every key that was not granted.
    #[test]
    fn no_other_key_is_accepted(secret in "[0-9a-f]{0,70}") {
        let key = AccessKey::generate();
        let value = format!("Bearer {secret}");
        let headers = [("authorization", value.as_bytes())];
        prop_assert!(admit(KEYED_PATH, &headers, &key).is_err());
    }

    /// Every path other than that of a declared queue is refused.
    #[test]
    fn no_other_path_is_accepted(path in "/[a-z0-9/.%_-]{0,40}") {
        prop_assume!(path != OPEN_PATH && path != KEYED_PATH && path.parse::<actix_http::Uri>().is_ok());
        prop_assert!(admit(&path, &[], &AccessKey::generate()).is_err());
    }
}

#[test]
fn a_granted_key_determines_the_customer() {
    let key = AccessKey::generate();
    let value = format!("bearer {}", key.expose());
    let headers = [(header::AUTHORIZATION.as_str(), value.as_bytes())];
    let request = admit(KEYED_PATH, &headers, &key).unwrap();
    assert_eq!(request.customer, CustomerName::new("customer").ok());
    assert!(request.repeatable);
}

#[test]
fn a_process_that_cannot_check_keys_accepts_open_queues_only() {
    let key = AccessKey::generate();
    let value = format!("Bearer {}", key.expose());
    let headers = [("authorization", value.as_bytes())];
    let stale_snapshot = NodeSnapshot {
        accepts_keyed: false,
        ..snapshot(&key)
    };
    let limits = PathLimits::default();
    let refused =
        admission::admit(&head(KEYED_PATH, &headers), &stale_snapshot, &limits).unwrap_err();
    assert_eq!(refused.kind.name(), "not-ready");
    assert_eq!(refused.outcome, RunOutcome::NotRun);
    assert!(admission::admit(&head(OPEN_PATH, &[]), &stale_snapshot, &limits).is_ok());
}
