//! Operator API over loopback, and with requests passed directly to the router.

use std::net;
use std::time;

use crate::fleet::{TestFleet, declaration};
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::admin::{
    AuditEntry, CHANGE_ID_HEADER, ChangeResponse, ChangeStatus, DeclarationView, HistoryEntry,
    KeyView, NodeStatus, ProblemReport, RefusalCause,
};
use redwing_node::admin::{self, AdminRequest, AdminRouter};
use redwing_node::stop::StopPhase;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

const BOOTSTRAP: &str = "bootstrap-token";

/// Client of one admin listener.
struct AdminClient {
    url: String,
    token: String,
}

impl AdminClient {
    async fn send(&self, method: Method, path: &str, id: &str, body: &str) -> (StatusCode, String) {
        let client = awc::Client::builder()
            .timeout(time::Duration::from_secs(20))
            .finish();
        let request = client
            .request(method, format!("{}/v1/admin/{path}", self.url))
            .bearer_auth(&self.token);
        let request = match id {
            "" => request,
            _ => request.insert_header((CHANGE_ID_HEADER, id)),
        };
        let mut response = request.send_body(body.to_owned()).await.unwrap();
        let body = response.body().await.unwrap();
        (response.status(), String::from_utf8(body.to_vec()).unwrap())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let (status, body) = self.send(Method::GET, path, "", "").await;
        assert_eq!(status, StatusCode::OK, "{body}");
        serde_json::from_str(&body).unwrap()
    }

    async fn change(
        &self,
        method: Method,
        path: &str,
        id: &str,
        body: &str,
    ) -> (StatusCode, ChangeResponse) {
        let (status, body) = self.send(method, path, id, body).await;
        let response = serde_json::from_str(&body);
        (
            status,
            response.unwrap_or_else(|error| panic!("{error}: {body}")),
        )
    }
}

/// Runs `test` against the admin listener of a single process.
fn with_listener<F: Future<Output = ()>>(test: impl FnOnce(AdminClient, TestFleet) -> F) {
    actix_rt::System::new().block_on(async {
        let fleet = TestFleet::new(1);
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let client = AdminClient {
            url: format!("http://{}", listener.local_addr().unwrap()),
            token: BOOTSTRAP.to_owned(),
        };
        let (stop, stopped) = watch::channel(StopPhase::Running);
        let router = AdminRouter::new(fleet.nodes[0].config.clone());
        let server = actix_rt::spawn(admin::serve(listener, router, stopped));
        test(client, fleet).await;
        drop(stop);
        server.await.unwrap().unwrap();
    });
}

#[test]
fn apply_show_and_history() {
    with_listener(|client, _fleet| async move {
        let text = declaration(5);
        let (status, response) = client
            .change(Method::PUT, "declaration?dry-run", "", &text)
            .await;
        assert_eq!((status, response.version), (StatusCode::OK, None));
        assert!(!response.differences.is_empty());

        let (status, response) = client.change(Method::PUT, "declaration", "c1", &text).await;
        assert_eq!((status, response.version), (StatusCode::OK, Some(1)));
        let (_, again) = client.change(Method::PUT, "declaration", "c1", &text).await;
        assert_eq!(
            (again.status, again.version),
            (ChangeStatus::Accepted, Some(1))
        );

        let view: DeclarationView = client.get("declaration").await;
        assert_eq!((view.version, view.text), (1, text));
        let history: Vec<HistoryEntry> = client.get("history?limit=5").await;
        assert_eq!((history.len(), &*history[0].operator), (1, "bootstrap"));
        let status: NodeStatus = client.get("status").await;
        assert!(status.accepts_keyed && status.table_reachable && status.majority_reachable);
    });
}

#[test]
fn malformed_declaration_is_refused_with_its_position() {
    with_listener(|client, _fleet| async move {
        client
            .change(Method::PUT, "declaration", "c1", &declaration(5))
            .await;
        let text = "[pools.a]\nvms = 4\nmax-unavailabel = 1\n[teams.sales]\nlimit = 0\n";
        let (status, response) = client.change(Method::PUT, "declaration", "c2", text).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(response.cause, Some(RefusalCause::Invalid));
        assert!(response.errors.iter().any(|error| error.line == Some(3)));
        let view: DeclarationView = client.get("declaration").await;
        assert_eq!((view.version, view.text), (1, declaration(5)));
    });
}

#[test]
fn key_is_shown_once_and_withdrawn() {
    with_listener(|client, _fleet| async move {
        client
            .change(Method::PUT, "declaration", "c1", &declaration(5))
            .await;
        let body = r#"{"team":"sales","queue":"q"}"#;
        let (_, granted) = client.change(Method::POST, "keys", "c2", body).await;
        let secret = granted.secret.unwrap();
        let hash = granted.hash.unwrap();
        assert_eq!(redwing_model::KeyHash::of(&secret), hash);
        let (_, again) = client.change(Method::POST, "keys", "c2", body).await;
        assert_eq!((again.secret, again.hash), (None, Some(hash)));
        let keys: Vec<KeyView> = client.get("keys").await;
        assert_eq!(keys.len(), 1);

        let path = format!("keys/{}", hash.to_hex());
        let (status, _) = client.change(Method::DELETE, &path, "c3", "").await;
        assert_eq!(status, StatusCode::OK);
        assert!(client.get::<Vec<KeyView>>("keys").await.is_empty());
        let (status, response) = client.change(Method::DELETE, &path, "c4", "").await;
        assert_eq!(status, StatusCode::NOT_FOUND);
        assert_eq!(response.cause, Some(RefusalCause::NotFound));
        let (_, again) = client.change(Method::DELETE, &path, "c3", "").await;
        assert_eq!(again.status, ChangeStatus::Accepted);

        let (_, trail) = client
            .send(Method::GET, "audit?action=grant-key", "", "")
            .await;
        assert!(!trail.contains(&secret));
        let entry: AuditEntry = serde_json::from_str(trail.lines().next().unwrap()).unwrap();
        assert_eq!((&*entry.actor, entry.to_version), ("bootstrap", Some(2)));
    });
}

#[test]
fn tokens_of_operators_are_granted_and_withdrawn() {
    with_listener(|client, _fleet| async move {
        let body = r#"{"name":"alice"}"#;
        let (_, granted) = client.change(Method::POST, "operators", "c1", body).await;
        let alice = AdminClient {
            url: client.url.clone(),
            token: granted.secret.unwrap(),
        };
        let (_, response) = alice
            .change(Method::PUT, "declaration", "c2", &declaration(5))
            .await;
        assert_eq!(response.status, ChangeStatus::Accepted);
        let history: Vec<HistoryEntry> = alice.get("history").await;
        assert_eq!(&*history[0].operator, "alice");

        let path = format!("operators/{}", granted.hash.unwrap().to_hex());
        client.change(Method::DELETE, &path, "c3", "").await;
        let (status, body) = alice.send(Method::GET, "status", "", "").await;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
        let problem: ProblemReport = serde_json::from_str(&body).unwrap();
        assert_eq!(problem.kind, "urn:redwinglb:problem:bad-token");
    });
}

#[test]
fn rollback_restores_an_earlier_declaration() {
    with_listener(|client, _fleet| async move {
        client
            .change(Method::PUT, "declaration", "c1", &declaration(5))
            .await;
        client
            .change(Method::PUT, "declaration", "c2", &declaration(6))
            .await;
        let (_, response) = client
            .change(Method::POST, "rollback", "c3", r#"{"version":1}"#)
            .await;
        assert_eq!(
            (response.status, response.version),
            (ChangeStatus::Accepted, Some(3))
        );
        assert_eq!(response.differences[0].after.as_deref(), Some("5"));
        let view: DeclarationView = client.get("declaration?version=2").await;
        assert_eq!(view.text, declaration(6));
        let (status, _) = client
            .send(Method::POST, "rollback", "c4", r#"{"version":9}"#)
            .await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    });
}

#[test]
fn wrong_methods_and_paths() {
    with_listener(|client, _fleet| async move {
        let (status, _) = client.send(Method::DELETE, "status", "", "").await;
        assert_eq!(status, StatusCode::METHOD_NOT_ALLOWED);
        let (status, _) = client.send(Method::GET, "nothing", "", "").await;
        assert_eq!(status, StatusCode::NOT_FOUND);
        let (status, _) = client.send(Method::GET, "history?limits=3", "", "").await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    });
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(503))]

    /// Every request gets a response other than an internal error, and only a
    /// valid declaration replaces the one in force.
    #[test]
    fn arbitrary_requests_get_a_response(
        method in prop::sample::select(vec![Method::GET, Method::PUT, Method::POST, Method::DELETE]),
        path in prop_oneof![
            prop::sample::select(vec![
                "declaration", "rollback", "keys", "operators", "history", "audit", "status",
            ]).prop_map(str::to_owned),
            "keys/[0-9a-fA-F]{0,70}",
            "[ -~]{0,30}",
        ],
        query in prop_oneof!["", "(version|limit|since-millis|node|dry-run)=[ -~]{0,20}", "[ -~]{0,30}"],
        body in prop_oneof![
            prop::collection::vec(any::<u8>(), 0..200),
            r#"\{"(customer|version|name|queue)":("[a-z]{0,9}"|[0-9]{1,25}|null|\[\])\}"#
                .prop_map(String::into_bytes),
        ],
    ) {
        actix_rt::System::new().block_on(async {
            let fleet = TestFleet::new(1);
            let router = AdminRouter::new(fleet.nodes[0].config.clone());
            fleet.nodes[0].apply("c1", 5, None).await;
            let request = AdminRequest {
                method,
                path,
                query,
                headers: HeaderMap::new(),
                operator: "alice".to_owned(),
                body,
            };
            let response = router.route(&request).await;
            assert_ne!(response.status(), StatusCode::INTERNAL_SERVER_ERROR);
            let accepted = response.status() == StatusCode::OK && request.method == Method::PUT;
            assert!(accepted || fleet.nodes[0].limit() == Some(5));
        });
    }
}
