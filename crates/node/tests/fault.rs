//! Faults of backend servers and callers, tested with a real process.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::io::{BufReader, Write};
use std::thread;

use common::Process;
use common::client::{self, Request, Response};
use rstest::rstest;

/// Slots of one backend server.
const SLOTS: usize = 8;

/// Flags for a single backend server, so that few requests occupy all slots.
const ONE_WORKER: &[&str] = &["--embedded-workers", "1"];

fn faulty_request(kind: &str, id: &str) -> Request {
    Request::post("notices", "content of the request")
        .header("Redwing-Standin-Fault", kind)
        .header("Redwing-Standin-Request", id)
}

fn execution_counts(entry: &Process) -> serde_json::Value {
    let response = Request::get("/standin/executions");
    let response = response.send(entry.backend()).unwrap();
    serde_json::from_slice(&response.body).unwrap()
}

fn executions(entry: &Process, id: &str) -> u64 {
    execution_counts(entry)["executions"][id]
        .as_u64()
        .unwrap_or(0)
}

fn running(entry: &Process) -> u64 {
    execution_counts(entry)["running"].as_u64().unwrap()
}

fn metric_value(entry: &Process, name: &str) -> u64 {
    let text = Request::get("/metrics");
    let text = text.send(entry.address("listen")).unwrap().text();
    let line = text.lines().find(|line| line.starts_with(name));
    line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

/// Sends `count` requests that run for `seconds`; returns once all are running.
fn occupy(entry: &Process, count: usize, seconds: &str) -> Vec<thread::JoinHandle<Response>> {
    let listen = entry.address("listen");
    let callers = (0..count)
        .map(|_| {
            let request = Request::post("notices", "x").header("Redwing-Standin-Delay", seconds);
            thread::spawn(move || request.send(listen).unwrap())
        })
        .collect();
    common::wait_for(|| (running(entry) == count as u64).then_some(())).unwrap();
    callers
}

#[rstest]
#[case::closed_before_the_request("refuse", 502, "unknown", "broken-answer", 0)]
#[case::closed_after_the_execution("break", 502, "unknown", "broken-answer", 1)]
#[case::reported_not_started("not-started", 503, "not-run", "not-started", 0)]
fn starts_a_non_repeatable_request_at_most_once(
    #[case] kind: &str,
    #[case] status: u16,
    #[case] outcome: &str,
    #[case] problem: &str,
    #[case] expected: u64,
) {
    let entry = common::embedded(&[]);
    let request = faulty_request(kind, "once").header("Redwing-Repeatable", "false");
    let response = request.send(entry.address("listen")).unwrap();
    assert_eq!((response.status, response.outcome()), (status, outcome));
    assert_eq!(response.problem(), problem);
    assert!(response.header("retry-after").is_some());
    assert_eq!(executions(&entry, "once"), expected);
}

#[rstest]
#[case::closed_before_the_request("refuse", 502, "unknown")]
#[case::closed_after_the_execution("break", 502, "unknown")]
#[case::reported_not_started("not-started", 503, "not-run")]
fn fails_a_repeatable_request_immediately(
    #[case] kind: &str,
    #[case] status: u16,
    #[case] outcome: &str,
) {
    let entry = common::embedded(&[]);
    // If the response were delayed to the deadline, the test would hit its hang limit.
    let request = faulty_request(kind, "again").header("Redwing-Timeout", "60");
    let response = request.send(entry.address("listen")).unwrap();
    assert_eq!((response.status, response.outcome()), (status, outcome));
    assert_ne!(response.problem(), "late-answer");
    assert!(response.header("retry-after").is_some());
}

#[test]
fn forwards_an_error_response_of_the_backend_server() {
    let entry = common::embedded(&[]);
    let response = faulty_request("fail", "fail")
        .send(entry.address("listen"))
        .unwrap();
    assert_eq!((response.status, response.outcome()), (500, "ran"));
    assert_eq!(executions(&entry, "fail"), 1);
}

#[rstest]
#[case::sized("cut-off")]
#[case::chunked("cut-off-chunked")]
fn never_presents_a_truncated_response_as_complete(#[case] kind: &str) {
    let entry = common::embedded(&[]);
    // The connection may be closed before or after the response head.
    let response = faulty_request(kind, "cut").send(entry.address("listen"));
    assert!(response.is_err() || response.is_ok_and(|response| !response.complete));
    assert_eq!(executions(&entry, "cut"), 1);
    entry.log_line("E111");
}

#[test]
fn responds_at_the_deadline_when_the_backend_server_hangs() {
    let entry = common::embedded(&[]);
    let request = faulty_request("hang", "hang").header("Redwing-Timeout", "0.3");
    let response = request.send(entry.address("listen")).unwrap();
    assert_eq!((response.status, response.outcome()), (504, "unknown"));
    assert_eq!(response.problem(), "late-answer");
    assert_eq!(executions(&entry, "hang"), 1);
}

#[test]
fn a_late_response_is_not_sent_to_another_caller() {
    let entry = common::embedded(ONE_WORKER);
    let listen = entry.address("listen");
    let late_callers: Vec<_> = (0..SLOTS)
        .map(|number| {
            let request = Request::post("notices", format!("late {number}"))
                .header("Redwing-Standin-Delay", "0.6")
                .header("Redwing-Timeout", "0.3");
            thread::spawn(move || request.send(listen).unwrap())
        })
        .collect();
    for caller in late_callers {
        let response = caller.join().unwrap();
        assert_eq!((response.status, response.outcome()), (504, "unknown"));
    }
    for number in 0..2 * SLOTS {
        let body = format!("other {number}");
        let response = Request::post("notices", body.clone()).send(listen).unwrap();
        assert_eq!((response.status, response.text()), (200, body));
    }
}

#[test]
fn abandoned_requests_keep_their_slots_until_they_end() {
    let entry = common::embedded(ONE_WORKER);
    let listen = entry.address("listen");
    for _ in 0..3 * SLOTS {
        let request = Request::post("notices", "x")
            .header("Redwing-Standin-Delay", "0.2")
            .header("Redwing-Timeout", "0.05");
        assert_ne!(request.send(listen).unwrap().status, 200);
    }
    let most_running = execution_counts(&entry)["most-running"].as_u64().unwrap();
    assert!(
        most_running <= SLOTS as u64,
        "{most_running} requests ran on {SLOTS} slots"
    );
}

#[test]
fn a_waiting_request_whose_caller_disconnects_never_runs() {
    let entry = common::embedded(ONE_WORKER);
    let callers = occupy(&entry, SLOTS, "1");
    let mut stream = client::connect(entry.address("listen")).unwrap();
    let request = Request::post("notices", "x").header("Redwing-Standin-Request", "gone");
    request.write(&mut stream).unwrap();
    let open = |expected| (metric_value(&entry, "redwing_open_requests") == expected).then_some(());
    common::wait_for(|| open(SLOTS as u64 + 1)).unwrap();
    drop(stream);
    common::wait_for(|| open(SLOTS as u64)).expect("the request was not cancelled");
    for caller in callers {
        assert_eq!(caller.join().unwrap().status, 200);
    }
    let last = Request::post("notices", "x").send(entry.address("listen"));
    assert_eq!(last.unwrap().status, 200);
    assert_eq!(executions(&entry, "gone"), 0);
}

#[test]
fn a_waiting_request_is_refused_at_its_deadline() {
    let entry = common::embedded(ONE_WORKER);
    let callers = occupy(&entry, SLOTS, "1.5");
    let request = Request::post("notices", "x")
        .header("Redwing-Standin-Request", "waits")
        .header("Redwing-Timeout", "0.2");
    let response = request.send(entry.address("listen")).unwrap();
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(response.problem(), "deadline-unmet");
    assert!(response.header("retry-after").is_some());
    for caller in callers {
        assert_eq!(caller.join().unwrap().status, 200);
    }
    assert_eq!(executions(&entry, "waits"), 0);
}

#[test]
fn a_truncated_request_body_cancels_the_request() {
    let entry = common::embedded(&["--buffer-bytes", "0"]);
    let listen = entry.address("listen");
    let mut stream = client::connect(listen).unwrap();
    let head = "POST /v1/queues/notices/requests HTTP/1.1\r\nHost: t\r\n\
                Redwing-Standin-Request: broken\r\nContent-Length: 1000\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).unwrap();
    let open = |expected| (metric_value(&entry, "redwing_open_requests") == expected).then_some(());
    common::wait_for(|| open(1)).unwrap();
    drop(stream);
    common::wait_for(|| open(0)).expect("the request was not cancelled");
    assert_eq!(executions(&entry, "broken"), 0);
}

#[test]
fn reuses_a_caller_connection_for_further_requests() {
    let entry = common::embedded(&[]);
    let mut stream = client::connect(entry.address("listen")).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for number in 0..5 {
        let body = format!("request {number}");
        let request = Request::post("notices", body.clone());
        request.write(&mut stream).unwrap();
        let response = client::read_response(&mut reader).unwrap();
        assert_eq!(response.text(), body);
    }
}
