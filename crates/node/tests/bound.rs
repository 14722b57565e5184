//! Bounds of the request path, and backend servers that cannot be reached.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::io::{Read, Write};
use std::thread;
use std::time;

use common::client::{self, Request};
use common::fleet::{FleetSetup, TestFleet};
use redwing_node::connect::ConnectionSeats;
use rstest::rstest;

/// One open queue in which few requests of a customer may wait.
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
#[case::once("false")]
fn a_request_that_reached_no_backend_server_did_not_run(#[case] repeatable: &str) {
    let fleet = TestFleet::start(FleetSetup {
        live: 0,
        dead: 2,
        ..plan()
    });
    let request = Request::post("notices", "x").header("Redwing-Repeatable", repeatable);
    let answer = request.send(fleet.listen).unwrap();
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert_eq!(answer.problem(), "not-started");
    assert!(answer.header("retry-after").is_some());
}

#[rstest]
#[case::repeatable("true")]
#[case::once("false")]
fn a_request_moves_on_from_an_unreachable_backend_server(#[case] repeatable: &str) {
    let fleet = TestFleet::start(FleetSetup { dead: 1, ..plan() });
    for number in 0..16 {
        let id = format!("request {number}");
        let request = Request::post("notices", id.clone())
            .header("Redwing-Repeatable", repeatable)
            .header("Redwing-Standin-Request", &id);
        let answer = request.send(fleet.listen).unwrap();
        assert_eq!((answer.status, answer.text()), (200, id.clone()));
        assert_eq!(fleet.state.counts().executions[&id], 1);
    }
}

#[test]
fn a_large_body_moves_on_while_nothing_of_it_was_passed_on() {
    let fleet = TestFleet::start(FleetSetup {
        dead: 1,
        flags: &["--buffer-bytes", "1000"],
        ..plan()
    });
    for _ in 0..4 {
        let body = vec![9; 2_000_000];
        let answer = Request::post("notices", body).send(fleet.listen).unwrap();
        assert_eq!((answer.status, answer.body.len()), (200, 2_000_000));
    }
}

#[test]
fn refuses_more_waiting_requests_than_the_queue_takes() {
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
    let answer = Request::post("notices", "x").send(listen).unwrap();
    assert_eq!((answer.status, answer.outcome()), (429, "not-run"));
    assert_eq!(answer.problem(), "queue-full");
    assert!(answer.header("retry-after").is_some());
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
fn closes_connections_that_hold_it_up(#[case] flags: &'static [&'static str], #[case] sent: &str) {
    let fleet = TestFleet::start(FleetSetup { flags, ..plan() });
    let mut stream = client::connect(fleet.listen).unwrap();
    stream.write_all(sent.as_bytes()).unwrap();
    let mut received = Vec::new();
    stream
        .read_to_end(&mut received)
        .expect("the connection was not closed");
}

/// The listener reads a clock of its own that is up to half a second behind:
/// a timeout that is shorter may lie in the past when it is set.
#[rstest]
#[case::slow_head(&["--head-timeout", "0.2"], "POST /v1/queues/notices/requests HTTP/1.1\r\nHo")]
#[case::idle(&["--idle-timeout", "0.2"], "GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n")]
fn closes_connections_whenever_they_were_opened(
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
fn a_caller_who_stops_reading_gives_the_slot_back() {
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
    let answer = Request::post("notices", "x").send(fleet.listen).unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "x"));
}

#[test]
fn seats_bound_the_connections_kept_for_reuse() {
    let seats = ConnectionSeats::new(2);
    let address = "127.0.0.1:1".parse().unwrap();
    let other = "127.0.0.1:2".parse().unwrap();
    let first = seats.take(address);
    let second = seats.clone().take(address);
    assert!(first.is_some() && second.is_some());
    assert!(seats.take(address).is_none());
    assert!(seats.take(other).is_some());
    drop(first);
    assert!(seats.take(address).is_some());
}
