//! Limits of the request path, and unreachable backend servers.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::io::{Read, Write};
use std::thread;
use std::time;

use common::client::{self, Request};
use common::fleet::{FleetSetup, TestFleet};
use redwing_node::connection::ConnectionLimiter;
use rstest::rstest;

/// One open queue with a low limit of waiting requests per customer.
const OPEN_QUEUE: &str = r#"
[pools.workers]
vms = 2
max-unavailable = 1

[queues.notices]
pool = "workers"
open = true
max-waiting-per-team = 2
"#;

fn plan() -> FleetSetup {
    FleetSetup {
        declaration: OPEN_QUEUE,
        live: 1,
        ..FleetSetup::default()
    }
}

#[rstest]
#[case::repeatable("true")]
#[case::at_most_once("false")]
fn a_request_that_reached_no_backend_server_did_not_run(#[case] repeatable: &str) {
    let fleet = TestFleet::start(FleetSetup {
        live: 0,
        dead: 2,
        ..plan()
    });
    let request = Request::post("notices", "x").header("Redwing-Repeatable", repeatable);
    let response = request.send(fleet.listen).unwrap();
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(response.problem(), "not-started");
    assert!(response.header("retry-after").is_some());
}

#[rstest]
#[case::repeatable("true")]
#[case::at_most_once("false")]
fn a_request_is_retried_after_an_unreachable_backend_server(#[case] repeatable: &str) {
    let fleet = TestFleet::start(FleetSetup { dead: 1, ..plan() });
    for number in 0..16 {
        let id = format!("request {number}");
        let request = Request::post("notices", id.clone())
            .header("Redwing-Repeatable", repeatable)
            .header("Redwing-Standin-Request", &id);
        let response = request.send(fleet.listen).unwrap();
        assert_eq!((response.status, response.text()), (200, id.clone()));
        assert_eq!(fleet.state.counts().executions[&id], 1);
    }
}

#[test]
fn a_large_body_is_retried_while_nothing_was_forwarded() {
    let fleet = TestFleet::start(FleetSetup {
        dead: 1,
        flags: &["--buffer-bytes", "1000"],
        ..plan()
    });
    for _ in 0..4 {
        let body = vec![9; 2_000_000];
        let response = Request::post("notices", body).send(fleet.listen).unwrap();
        assert_eq!((response.status, response.body.len()), (200, 2_000_000));
    }
}

#[test]
fn refuses_more_waiting_requests_than_the_queue_limit() {
    let fleet = TestFleet::start(plan());
    let listen = fleet.listen;
    let callers: Vec<_> = (0..10)
        .map(|_| {
            let request = Request::post("notices", "x").header("Redwing-Standin-Delay", "1");
            thread::spawn(move || request.send(listen).unwrap().status)
        })
        .collect();
    let open = || {
        let metrics = Request::get("/metrics").send(listen).unwrap().text();
        metrics.contains("redwing_open_requests 10").then_some(())
    };
    common::wait_for(open).unwrap();
    let response = Request::post("notices", "x").send(listen).unwrap();
    assert_eq!((response.status, response.outcome()), (429, "not-run"));
    assert_eq!(response.problem(), "queue-full");
    assert!(response.header("retry-after").is_some());
    for caller in callers {
        assert_eq!(caller.join().unwrap(), 200);
    }
}

#[test]
fn never_runs_more_than_the_slots_of_a_backend_server() {
    let fleet = TestFleet::start(FleetSetup {
        declaration: r#"
            [pools.workers]
            vms = 1
            max-unavailable = 0
            [queues.notices]
            pool = "workers"
            open = true
        "#,
        ..plan()
    });
    let listen = fleet.listen;
    let callers: Vec<_> = (0..64)
        .map(|_| {
            let request = Request::post("notices", "x").header("Redwing-Standin-Delay", "0.02");
            thread::spawn(move || request.send(listen).unwrap().status)
        })
        .collect();
    for caller in callers {
        assert_eq!(caller.join().unwrap(), 200);
    }
    assert_eq!(fleet.state.counts().most_running, 8);
}

#[rstest]
#[case::slow_head(&["--head-timeout", "0.2"], "POST /v1/queues/notices/requests HTTP/1.1\r\nHo")]
#[case::idle(&["--idle-timeout", "0.2"], "GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n")]
fn closes_slow_and_idle_connections(#[case] flags: &'static [&'static str], #[case] sent: &str) {
    let fleet = TestFleet::start(FleetSetup { flags, ..plan() });
    let mut stream = client::connect(fleet.listen).unwrap();
    stream.write_all(sent.as_bytes()).unwrap();
    let mut received = Vec::new();
    stream
        .read_to_end(&mut received)
        .expect("the connection was not closed");
}

/// The HTTP library computes deadlines from a cached clock that is up to half a
/// second behind: the deadline of a shorter timeout may be past when it is set.
#[rstest]
#[case::slow_head(&["--head-timeout", "0.2"], "POST /v1/queues/notices/requests HTTP/1.1\r\nHo")]
#[case::idle(&["--idle-timeout", "0.2"], "GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n")]
fn closes_connections_opened_at_any_time(
    #[case] flags: &'static [&'static str],
    #[case] sent: &str,
) {
    let fleet = TestFleet::start(FleetSetup { flags, ..plan() });
    let mut streams = Vec::new();
    for _ in 0..10 {
        let mut stream = client::connect(fleet.listen).unwrap();
        stream.write_all(sent.as_bytes()).unwrap();
        streams.push(stream);
        thread::sleep(time::Duration::from_millis(70));
    }
    for mut stream in streams {
        let closed = stream.read_to_end(&mut Vec::new());
        closed.expect("the connection was not closed");
    }
}

#[test]
fn a_caller_that_stops_reading_frees_the_slot() {
    let fleet = TestFleet::start(FleetSetup {
        flags: &["--answer-timeout", "0.3"],
        ..plan()
    });
    let mut stalled = Vec::new();
    for _ in 0..8 {
        let mut stream = client::connect(fleet.listen).unwrap();
        let request = Request::post("notices", vec![1; 16_000_000]);
        request.write(&mut stream).unwrap();
        stalled.push(stream);
    }
    let response = Request::post("notices", "x").send(fleet.listen).unwrap();
    assert_eq!((response.status, response.text().as_str()), (200, "x"));
}

#[test]
fn limiter_bounds_the_connections_kept_for_reuse() {
    let limiter = ConnectionLimiter::new(2);
    let address = "127.0.0.1:1".parse().unwrap();
    let other = "127.0.0.1:2".parse().unwrap();
    let first = limiter.try_acquire(address);
    let second = limiter.clone().try_acquire(address);
    assert!(first.is_some() && second.is_some());
    assert!(limiter.try_acquire(address).is_none());
    assert!(limiter.try_acquire(other).is_some());
    drop(first);
    assert!(limiter.try_acquire(address).is_some());
}
