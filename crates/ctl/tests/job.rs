//! The `job` subcommands against a stand-in of an entry process.

use std::io::{Read, Write};
use std::net;
use std::thread;

use redwing_ctl::command::{self, ExitStatus};
use rstest::rstest;

/// Responds to one request with a status; returns the address and the request.
fn respond_once(status: &'static str) -> (String, thread::JoinHandle<String>) {
    respond_with(status, "{}")
}

fn respond_with(status: &'static str, body: &'static str) -> (String, thread::JoinHandle<String>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let request = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection is accepted");
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).expect("the request is read");
        let length_header = format!("content-length: {}", body.len());
        let response =
            format!("HTTP/1.1 {status}\r\n{length_header}\r\nconnection: close\r\n\r\n{body}");
        stream
            .write_all(response.as_bytes())
            .expect("the response is sent");
        String::from_utf8_lossy(&buffer[..length]).into_owned()
    });
    (format!("http://{address}"), request)
}

#[rstest]
#[case("state", "GET /v1/queues/certificates/jobs/a1 ")]
#[case("cancel", "DELETE /v1/queues/certificates/jobs/a1 ")]
fn a_request_contains_queue_job_and_key(#[case] verb: &str, #[case] line: &str) {
    let (target, request) = respond_once("200 OK");
    let status = command::run([
        "redwingctl",
        "job",
        verb,
        "--target",
        &target,
        "--queue",
        "certificates",
        "--id",
        "a1",
        "--key",
        "secret",
    ]);
    assert_eq!(status, ExitStatus::Success);
    let request = request.join().expect("the stand-in responded");
    assert!(request.starts_with(line), "{request}");
    assert!(
        request
            .to_lowercase()
            .contains("authorization: bearer secret"),
        "{request}"
    );
}

#[rstest]
#[case("503 Service Unavailable", ExitStatus::Failure)]
#[case("504 Gateway Timeout", ExitStatus::Pending)]
#[case("404 Not Found", ExitStatus::Failure)]
fn an_error_response_decides_the_exit_status(
    #[case] status_line: &'static str,
    #[case] expected: ExitStatus,
) {
    let (target, request) = respond_once(status_line);
    let status = command::run([
        "redwingctl",
        "job",
        "pending",
        "--target",
        &target,
        "--queue",
        "certificates",
    ]);
    request.join().expect("the stand-in responded");
    assert_eq!(status, expected);
}

#[test]
fn a_missing_file_is_reported_before_anything_is_sent() {
    let status = command::run([
        "redwingctl",
        "job",
        "submit",
        "--target",
        "http://127.0.0.1:9",
        "--queue",
        "certificates",
        "--id",
        "a1",
        "--file",
        "/nowhere/job.json",
    ]);
    assert_eq!(status, ExitStatus::Usage);
}

#[rstest]
#[case(
    r#"{"state":"failed","failure":{"reason":"crashed-workers","task":"a1.0.0.3"}}"#,
    ExitStatus::Success
)]
#[case(r#"{"state":"running"}"#, ExitStatus::Success)]
#[case(r#"{"state":"lost"}"#, ExitStatus::Failure)]
fn a_job_is_explained_by_its_state(#[case] body: &'static str, #[case] expected: ExitStatus) {
    let (target, request) = respond_with("200 OK", body);
    let status = command::run([
        "redwingctl",
        "explain",
        "job",
        "a1",
        "--target",
        &target,
        "--queue",
        "certificates",
    ]);
    assert_eq!(status, expected);
    let request = request.join().expect("the stand-in responded");
    assert!(
        request.starts_with("GET /v1/queues/certificates/jobs/a1 "),
        "{request}"
    );
}

#[rstest]
#[case("job")]
#[case("vm")]
fn an_explanation_needs_the_address_of_its_kind(#[case] kind: &str) {
    let status = command::run(["redwingctl", "explain", kind, "a1"]);
    assert_eq!(status, ExitStatus::Usage);
}
