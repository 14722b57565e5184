//! Heads of requests, as anybody may send them.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::HashMap;
use std::sync;
use std::time;

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::{AccessKey, CustomerName, QueueName, RunOutcome, declaration};
use redwing_node::gate::{self, AdmittedRequest, GateResult};
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

fn admit(path: &str, headers: &[(&str, &[u8])], key: &AccessKey) -> GateResult<AdmittedRequest> {
    gate::admit(&head(path, headers), &snapshot(key), &PathLimits::default())
}

const OPEN: &str = "/v1/queues/open/requests";
const KEYED: &str = "/v1/queues/keyed/requests";

proptest! {
    #![proptest_config(config())]

    /// No value makes the checks fail in another way than with a refusal
    /// that says the request did not run, and nothing exceeds its bound.
    #[test]
    fn any_values_are_admitted_within_bounds_or_refused(
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
        match admit(OPEN, &headers[..count], &AccessKey::generate()) {
            Ok(request) => {
                prop_assert!(request.timeout > time::Duration::ZERO);
                prop_assert!(request.timeout <= time::Duration::from_secs(30));
                prop_assert!(request.declared_bytes.is_none_or(|bytes| bytes <= 1_000));
                prop_assert_eq!(request.customer, None);
            }
            Err(problem) => prop_assert_eq!(problem.outcome, RunOutcome::NotRun),
        }
    }

    /// Only the granted key opens its queue, and only that.
    #[test]
    fn no_other_key_is_good(secret in "[0-9a-f]{0,70}") {
        let key = AccessKey::generate();
        let value = format!("Bearer {secret}");
        let headers = [("authorization", value.as_bytes())];
        prop_assert!(admit(KEYED, &headers, &key).is_err());
    }

    /// No path but that of a declared queue gets through.
    #[test]
    fn no_other_path_is_good(path in "/[a-z0-9/.%_-]{0,40}") {
        prop_assume!(path != OPEN && path != KEYED && path.parse::<actix_http::Uri>().is_ok());
        prop_assert!(admit(&path, &[], &AccessKey::generate()).is_err());
    }
}

#[test]
fn a_granted_key_gives_its_customer() {
    let key = AccessKey::generate();
    let value = format!("bearer {}", key.expose());
    let headers = [(header::AUTHORIZATION.as_str(), value.as_bytes())];
    let request = admit(KEYED, &headers, &key).unwrap();
    assert_eq!(request.customer, CustomerName::new("customer").ok());
    assert!(request.repeatable);
}

#[test]
fn a_process_that_cannot_tell_withdrawn_keys_takes_open_queues_only() {
    let key = AccessKey::generate();
    let value = format!("Bearer {}", key.expose());
    let headers = [("authorization", value.as_bytes())];
    let cut_off = NodeSnapshot {
        accepts_keyed: false,
        ..snapshot(&key)
    };
    let limits = PathLimits::default();
    let refused = gate::admit(&head(KEYED, &headers), &cut_off, &limits).unwrap_err();
    assert_eq!(refused.kind.name(), "not-ready");
    assert_eq!(refused.outcome, RunOutcome::NotRun);
    assert!(gate::admit(&head(OPEN, &[]), &cut_off, &limits).is_ok());
}
