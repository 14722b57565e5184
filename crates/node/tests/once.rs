//! Requests that may run at most once, sent again under the same key.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::thread;

use common::Process;
use common::client::{Request, Response};

fn once(id: &str) -> Request {
    Request::post("notices", "x")
        .header("Redwing-Repeatable", "false")
        .header("Idempotency-Key", id)
        .header("Redwing-Standin-Request", id)
}

fn executions(entry: &Process, id: &str) -> u64 {
    let answer = Request::get("/standin/executions");
    let answer = answer.send(entry.backend()).unwrap();
    let counts: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    counts["executions"][id].as_u64().unwrap_or(0)
}

/// Sends the request until its earlier claim has its final form in the table.
fn send_until(entry: &Process, request: &Request, wanted: (u16, &str)) -> Response {
    let sent = common::wait_for(|| {
        let answer = request.send(entry.address("listen")).unwrap();
        ((answer.status, answer.outcome()) == wanted).then_some(answer)
    });
    sent.unwrap_or_else(|| panic!("never answered {wanted:?}"))
}

#[test]
fn a_request_that_ran_is_not_run_again() {
    let entry = common::embedded(&[]);
    let first = once("door-7").send(entry.address("listen")).unwrap();
    assert_eq!((first.status, first.outcome()), (200, "ran"));
    let again = send_until(&entry, &once("door-7"), (409, "ran"));
    assert_eq!(again.problem(), "conflict");
    assert_eq!(executions(&entry, "door-7"), 1);
    let other = once("door-8").send(entry.address("listen")).unwrap();
    assert_eq!(other.status, 200);
}

#[test]
fn a_request_under_way_is_not_run_beside_itself() {
    let entry = common::embedded(&[]);
    let listen = entry.address("listen");
    let callers: Vec<_> = (0..8)
        .map(|_| {
            let request = once("lorry").header("Redwing-Standin-Delay", "0.3");
            thread::spawn(move || request.send(listen).unwrap())
        })
        .collect();
    let mut statuses: Vec<u16> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap().status)
        .collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409, 409, 409, 409, 409, 409, 409]);
    assert_eq!(executions(&entry, "lorry"), 1);
}

#[test]
fn a_request_that_did_not_run_may_be_sent_again() {
    let entry = common::embedded(&[]);
    let refused = once("report").header("Redwing-Standin-Fault", "not-started");
    let answer = refused.send(entry.address("listen")).unwrap();
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    send_until(&entry, &once("report"), (200, "ran"));
    assert_eq!(executions(&entry, "report"), 1);
}

#[test]
fn a_request_of_unknown_outcome_is_not_run_again() {
    let entry = common::embedded(&[]);
    let broken = once("invoice").header("Redwing-Standin-Fault", "break");
    let answer = broken.send(entry.address("listen")).unwrap();
    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
    let again = send_until(&entry, &once("invoice"), (409, "unknown"));
    assert_eq!(again.problem(), "conflict");
    assert_eq!(executions(&entry, "invoice"), 1);
}
