//! Responses of a real process to valid and invalid requests.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use common::client::{self, Request};
use rstest::rstest;

/// Size of a large body, in bytes.
const LARGE_BYTES: usize = 10_000_000;

fn large_body() -> Vec<u8> {
    (0..LARGE_BYTES)
        .map(|index| (index * 31 % 251) as u8)
        .collect()
}

#[test]
fn serves_keyed_queues_and_open_queues() {
    let entry = common::embedded(&[]);
    let listen = entry.address("listen");
    for key in entry.keys() {
        let request = Request::post(&key.queue, "hello").key(&key.secret);
        let response = request.send(listen).unwrap();
        assert_eq!((response.status, response.outcome()), (200, "ran"));
        assert_eq!(response.body, b"hello");
        assert!(response.header("redwing-standin-digest").is_some());
    }
    let response = Request::post("notices", "open").send(listen).unwrap();
    assert_eq!((response.status, response.text().as_str()), (200, "open"));
}

#[test]
fn prints_addresses_queues_and_keys_at_startup() {
    let entry = common::embedded(&[]);
    let first_words: Vec<&str> = entry
        .stdout
        .iter()
        .map(|line| line.split(' ').next().unwrap())
        .collect();
    let expected = [
        "listen",
        "admin",
        "admin-token",
        "queue",
        "queue",
        "key",
        "key",
        "ready",
    ];
    assert_eq!(first_words, expected);
    assert!(entry.stdout.contains(&"queue notices open".to_owned()));
    assert!(
        entry
            .stdout
            .contains(&"queue certificates keyed".to_owned())
    );
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn streams_large_bodies_both_ways(#[case] chunked: bool) {
    let entry = common::embedded(&[]);
    let mut request = Request::post("notices", large_body());
    request.chunked = chunked;
    let response = request.send(entry.address("listen")).unwrap();
    assert_eq!((response.status, response.outcome()), (200, "ran"));
    assert!(response.complete);
    assert!(
        response.body == request.body,
        "the response body differs from the request body"
    );
}

#[test]
fn refuses_keys_not_granted_for_the_queue() {
    let entry = common::embedded(&[]);
    let listen = entry.address("listen");
    let key = &entry.keys()[0];
    let cases = [
        (Request::post("certificates", "x"), 401, "bad-key"),
        (
            Request::post("certificates", "x").key("nonsense"),
            401,
            "bad-key",
        ),
        (
            Request::post("certificates", "x").header("Authorization", "Basic eDp5"),
            401,
            "bad-key",
        ),
        (
            Request::post("notices", "x").key("nonsense"),
            401,
            "bad-key",
        ),
        (
            Request::post("notices", "x").key(&key.secret),
            403,
            "wrong-key",
        ),
    ];
    for (request, status, problem) in cases {
        let response = request.send(listen).unwrap();
        assert_eq!((response.status, response.outcome()), (status, "not-run"));
        assert_eq!(response.problem(), problem);
        assert_eq!(response.header("www-authenticate").is_some(), status == 401);
        assert!(!response.text().contains("nonsense"));
    }
    let logs = entry.log_lines().join("\n");
    assert!(!logs.contains(&key.secret));
}

#[rstest]
#[case::repeatable("Redwing-Repeatable", "maybe", 400, "malformed")]
#[case::timeout_text("Redwing-Timeout", "soon", 400, "malformed")]
#[case::timeout_zero("Redwing-Timeout", "0", 400, "malformed")]
#[case::timeout_negative("Redwing-Timeout", "-1", 400, "malformed")]
#[case::timeout_exponent("Redwing-Timeout", "1e9", 400, "malformed")]
#[case::idempotency("Idempotency-Key", "with space", 400, "malformed")]
#[case::idempotency_empty("Idempotency-Key", "", 400, "malformed")]
fn refuses_malformed_headers(
    #[case] name: &str,
    #[case] value: &str,
    #[case] status: u16,
    #[case] problem: &str,
) {
    let entry = common::embedded(&[]);
    let request = Request::post("notices", "x").header(name, value);
    let response = request.send(entry.address("listen")).unwrap();
    assert_eq!((response.status, response.outcome()), (status, "not-run"));
    assert_eq!(response.problem(), problem);
    assert_eq!(
        response.header("content-type"),
        Some("application/problem+json")
    );
}

#[test]
fn refuses_unknown_paths_queues_and_methods() {
    let entry = common::embedded(&[]);
    let listen = entry.address("listen");
    let cases = [
        (Request::post("missing", "x"), 404, "no-such-queue"),
        (Request::post("Bad_Name", "x"), 404, "no-such-queue"),
        (
            Request::get("/v1/queues/notices/requests"),
            405,
            "wrong-method",
        ),
        (Request::get("/v1/nothing"), 404, "no-such-path"),
        (Request::get("/v1/queues/a/b/requests"), 404, "no-such-path"),
    ];
    for (request, status, problem) in cases {
        let response = request.send(listen).unwrap();
        assert_eq!((response.status, response.outcome()), (status, "not-run"));
        assert_eq!(response.problem(), problem);
    }
}

#[rstest]
#[case::sized(false)]
#[case::chunked(true)]
fn refuses_bodies_larger_than_the_queue_limit(#[case] chunked: bool) {
    let entry = common::embedded(&[]);
    let mut request = Request::post("notices", vec![7; 33 * 1024 * 1024]);
    request.chunked = chunked;
    let response = request.send(entry.address("listen")).unwrap();
    assert_eq!(response.status, 413);
    assert_eq!(response.problem(), "body-too-large");
    // The start of a chunked body had already been sent to a backend server.
    assert_eq!(
        response.outcome(),
        if chunked { "unknown" } else { "not-run" }
    );
}

#[test]
fn refuses_large_headers() {
    let entry = common::embedded(&["--header-bytes", "1024"]);
    let large = "v".repeat(2_000);
    let request = Request::post("notices", "x").header("X-Large", &large);
    let response = request.send(entry.address("listen")).unwrap();
    assert_eq!((response.status, response.outcome()), (431, "not-run"));
}

#[test]
fn refuses_http_1_0_callers() {
    let entry = common::embedded(&[]);
    let mut stream = client::connect(entry.address("listen")).unwrap();
    let head = "POST /v1/queues/notices/requests HTTP/1.0\r\nContent-Length: 1\r\n\r\nx";
    std::io::Write::write_all(&mut stream, head.as_bytes()).unwrap();
    let response = client::read_response(&mut std::io::BufReader::new(stream)).unwrap();
    assert_eq!((response.status, response.outcome()), (505, "not-run"));
}

#[test]
fn refuses_a_stalled_body() {
    let entry = common::embedded(&["--body-timeout", "0.2"]);
    let mut stream = client::connect(entry.address("listen")).unwrap();
    let head = "POST /v1/queues/notices/requests HTTP/1.1\r\nHost: t\r\nContent-Length: 9\r\n\r\nx";
    std::io::Write::write_all(&mut stream, head.as_bytes()).unwrap();
    let response = client::read_response(&mut std::io::BufReader::new(stream)).unwrap();
    assert_eq!((response.status, response.outcome()), (408, "not-run"));
}

#[test]
fn serves_health_checks_and_metrics() {
    let entry = common::embedded(&[]);
    let listen = entry.address("listen");
    assert_eq!(Request::get("/healthz").send(listen).unwrap().status, 200);
    assert_eq!(Request::get("/readyz").send(listen).unwrap().status, 200);
    Request::post("notices", "x").send(listen).unwrap();
    let metrics = Request::get("/metrics").send(listen).unwrap().text();
    assert!(metrics.contains("redwing_requests_total{outcome=\"ran\",status=\"200\"} 1"));
    assert!(metrics.contains("redwing_ready 1"));
    let tokens = || {
        let metrics = Request::get("/metrics").send(listen).unwrap().text();
        metrics
            .contains("redwing_tokens{state=\"used\"} 0")
            .then_some(())
    };
    common::wait_for(tokens).expect("a token is still in use");
}
