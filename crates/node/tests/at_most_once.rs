//! Requests that may run at most once, repeated with the same idempotency key.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::thread;

use common::Process;
use common::client::{Request, Response};

fn at_most_once_request(id: &str) -> Request {
    Request::post("notices", "x")
        .header("Redwing-Repeatable", "false")
        .header("Idempotency-Key", id)
        .header("Redwing-Standin-Request", id)
}

fn executions(entry: &Process, id: &str) -> u64 {
    let response = Request::get("/standin/executions");
    let response = response.send(entry.backend()).unwrap();
    let counts: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    counts["executions"][id].as_u64().unwrap_or(0)
}

/// Repeats the request until the table has the outcome of its earlier claim.
fn send_until(entry: &Process, request: &Request, expected: (u16, &str)) -> Response {
    let sent = common::wait_for(|| {
        let response = request.send(entry.address("listen")).unwrap();
        ((response.status, response.outcome()) == expected).then_some(response)
    });
    sent.unwrap_or_else(|| panic!("no response with {expected:?}"))
}

#[test]
fn a_request_that_ran_is_not_run_again() {
    let entry = common::embedded(&[]);
    let first = at_most_once_request("order-7")
        .send(entry.address("listen"))
        .unwrap();
    assert_eq!((first.status, first.outcome()), (200, "ran"));
    let repeated = send_until(&entry, &at_most_once_request("order-7"), (409, "ran"));
    assert_eq!(repeated.problem(), "conflict");
    assert_eq!(executions(&entry, "order-7"), 1);
    let other = at_most_once_request("order-8")
        .send(entry.address("listen"))
        .unwrap();
    assert_eq!(other.status, 200);
}

#[test]
fn a_request_in_progress_is_not_run_concurrently() {
    let entry = common::embedded(&[]);
    let listen = entry.address("listen");
    let callers: Vec<_> = (0..8)
        .map(|_| {
            let request = at_most_once_request("concurrent").header("Redwing-Standin-Delay", "0.3");
            thread::spawn(move || request.send(listen).unwrap())
        })
        .collect();
    let mut statuses: Vec<u16> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap().status)
        .collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409, 409, 409, 409, 409, 409, 409]);
    assert_eq!(executions(&entry, "concurrent"), 1);
}

#[test]
fn a_request_that_did_not_run_may_be_retried() {
    let entry = common::embedded(&[]);
    let refused = at_most_once_request("report").header("Redwing-Standin-Fault", "not-started");
    let response = refused.send(entry.address("listen")).unwrap();
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    send_until(&entry, &at_most_once_request("report"), (200, "ran"));
    assert_eq!(executions(&entry, "report"), 1);
}

#[test]
fn a_request_of_unknown_outcome_is_not_run_again() {
    let entry = common::embedded(&[]);
    let broken = at_most_once_request("invoice").header("Redwing-Standin-Fault", "break");
    let response = broken.send(entry.address("listen")).unwrap();
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    let repeated = send_until(&entry, &at_most_once_request("invoice"), (409, "unknown"));
    assert_eq!(repeated.problem(), "conflict");
    assert_eq!(executions(&entry, "invoice"), 1);
}
