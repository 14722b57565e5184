//! Faults of backend servers and callers, against a real process.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::io::{BufReader, Write};
use std::thread;

use common::Process;
use common::client::{self, Request, Response};
use rstest::rstest;

/// Slots of one backend server.
const SLOTS: usize = 8;

/// Flags for one backend server, so that its slots are quickly taken.
const ONE_WORKER: &[&str] = &["--embedded-workers", "1"];

fn fault(kind: &str, id: &str) -> Request {
    Request::post("notices", "content of the request")
        .header("Redwing-Standin-Fault", kind)
        .header("Redwing-Standin-Request", id)
}

fn counts(entry: &Process) -> serde_json::Value {
    let answer = Request::get("/standin/executions");
    let answer = answer.send(entry.backend()).unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

fn executions(entry: &Process, id: &str) -> u64 {
    counts(entry)["executions"][id].as_u64().unwrap_or(0)
}

fn running(entry: &Process) -> u64 {
    counts(entry)["running"].as_u64().unwrap()
}

fn metric(entry: &Process, name: &str) -> u64 {
    let text = Request::get("/metrics");
    let text = text.send(entry.address("listen")).unwrap().text();
    let line = text.lines().find(|line| line.starts_with(name));
    line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

/// Sends `count` requests that run for `seconds` and waits until they run.
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
#[case::stated_not_started("not-started", 503, "not-run", "not-started", 0)]
fn starts_an_unrepeatable_request_at_most_once(
    #[case] kind: &str,
    #[case] status: u16,
    #[case] outcome: &str,
    #[case] problem: &str,
    #[case] expected: u64,
) {
    let entry = common::embedded(&[]);
    let request = fault(kind, "once").header("Redwing-Repeatable", "false");
    let answer = request.send(entry.address("listen")).unwrap();
    assert_eq!((answer.status, answer.outcome()), (status, outcome));
    assert_eq!(answer.problem(), problem);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(executions(&entry, "once"), expected);
}

#[rstest]
#[case::closed_before_the_request("refuse", 502, "unknown")]
#[case::closed_after_the_execution("break", 502, "unknown")]
#[case::stated_not_started("not-started", 503, "not-run")]
fn gives_up_on_a_repeatable_request_at_once(
    #[case] kind: &str,
    #[case] status: u16,
    #[case] outcome: &str,
) {
    let entry = common::embedded(&[]);
    // Were the answer held back, it would come after the hang limit.
    let request = fault(kind, "again").header("Redwing-Timeout", "60");
    let answer = request.send(entry.address("listen")).unwrap();
    assert_eq!((answer.status, answer.outcome()), (status, outcome));
    assert_ne!(answer.problem(), "late-answer");
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn passes_on_an_error_of_the_backend_server() {
    let entry = common::embedded(&[]);
    let answer = fault("fail", "fail").send(entry.address("listen")).unwrap();
    assert_eq!((answer.status, answer.outcome()), (500, "ran"));
    assert_eq!(executions(&entry, "fail"), 1);
}

#[rstest]
#[case::announced("cut-off")]
#[case::chunked("cut-off-chunked")]
fn never_passes_a_truncated_answer_off_as_complete(#[case] kind: &str) {
    let entry = common::embedded(&[]);
    // The connection may break before or after the head of the answer.
    let answer = fault(kind, "cut").send(entry.address("listen"));
    assert!(answer.is_err() || answer.is_ok_and(|answer| !answer.complete));
    assert_eq!(executions(&entry, "cut"), 1);
    entry.log_line("E111");
}

#[test]
fn answers_at_the_deadline_when_the_backend_server_hangs() {
    let entry = common::embedded(&[]);
    let request = fault("hang", "hang").header("Redwing-Timeout", "0.3");
    let answer = request.send(entry.address("listen")).unwrap();
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"));
    assert_eq!(answer.problem(), "late-answer");
    assert_eq!(executions(&entry, "hang"), 1);
}

#[test]
fn a_late_answer_reaches_no_other_caller() {
    let entry = common::embedded(ONE_WORKER);
    let listen = entry.address("listen");
    let late: Vec<_> = (0..SLOTS)
        .map(|number| {
            let request = Request::post("notices", format!("late {number}"))
                .header("Redwing-Standin-Delay", "0.6")
                .header("Redwing-Timeout", "0.3");
            thread::spawn(move || request.send(listen).unwrap())
        })
        .collect();
    for caller in late {
        let answer = caller.join().unwrap();
        assert_eq!((answer.status, answer.outcome()), (504, "unknown"));
    }
    for number in 0..2 * SLOTS {
        let body = format!("other {number}");
        let answer = Request::post("notices", body.clone()).send(listen).unwrap();
        assert_eq!((answer.status, answer.text()), (200, body));
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
    let most = counts(&entry)["most-running"].as_u64().unwrap();
    assert!(most <= SLOTS as u64, "{most} requests ran on {SLOTS} slots");
}

#[test]
fn a_waiting_request_whose_caller_hangs_up_never_runs() {
    let entry = common::embedded(ONE_WORKER);
    let callers = occupy(&entry, SLOTS, "1");
    let mut stream = client::connect(entry.address("listen")).unwrap();
    let request = Request::post("notices", "x").header("Redwing-Standin-Request", "gone");
    request.write(&mut stream).unwrap();
    let open = |expected| (metric(&entry, "redwing_open_requests") == expected).then_some(());
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
    let answer = request.send(entry.address("listen")).unwrap();
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert_eq!(answer.problem(), "deadline-unmet");
    assert!(answer.header("retry-after").is_some());
    for caller in callers {
        assert_eq!(caller.join().unwrap().status, 200);
    }
    assert_eq!(executions(&entry, "waits"), 0);
}

#[test]
fn a_body_that_breaks_off_leaves_no_request_behind() {
    let entry = common::embedded(&["--buffer-bytes", "0"]);
    let listen = entry.address("listen");
    let mut stream = client::connect(listen).unwrap();
    let head = "POST /v1/queues/notices/requests HTTP/1.1\r\nHost: t\r\n\
                Redwing-Standin-Request: broken\r\nContent-Length: 1000\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).unwrap();
    let open = |expected| (metric(&entry, "redwing_open_requests") == expected).then_some(());
    common::wait_for(|| open(1)).unwrap();
    drop(stream);
    common::wait_for(|| open(0)).expect("the request was not cancelled");
    assert_eq!(executions(&entry, "broken"), 0);
}

#[test]
fn keeps_the_connection_of_a_caller_for_further_requests() {
    let entry = common::embedded(&[]);
    let mut stream = client::connect(entry.address("listen")).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for number in 0..5 {
        let body = format!("request {number}");
        let request = Request::post("notices", body.clone());
        request.write(&mut stream).unwrap();
        let answer = client::read_response(&mut reader).unwrap();
        assert_eq!(answer.text(), body);
    }
}
