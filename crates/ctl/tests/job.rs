//! The `job` subcommands against a small stand-in of an entry process.

use std::io::{Read, Write};
use std::net;
use std::thread;

use redwing_ctl::command::{self, ExitStatus};
use rstest::rstest;

/// Answers one call with a status; returns the address and what was asked.
fn answer_once(status: &'static str) -> (String, thread::JoinHandle<String>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let asked = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call comes");
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).expect("the call is read");
        let answer =
            format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{{}}");
        stream
            .write_all(answer.as_bytes())
            .expect("the answer is sent");
        String::from_utf8_lossy(&buffer[..length]).into_owned()
    });
    (format!("http://{address}"), asked)
}

#[rstest]
#[case("state", "GET /v1/queues/certificates/jobs/a1 ")]
#[case("cancel", "DELETE /v1/queues/certificates/jobs/a1 ")]
fn a_call_names_queue_job_and_key(#[case] verb: &str, #[case] line: &str) {
    let (target, asked) = answer_once("200 OK");
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
    let asked = asked.join().expect("the stand-in answered");
    assert!(asked.starts_with(line), "{asked}");
    assert!(
        asked
            .to_lowercase()
            .contains("authorization: bearer secret"),
        "{asked}"
    );
}

#[rstest]
#[case("503 Service Unavailable", ExitStatus::Failure)]
#[case("504 Gateway Timeout", ExitStatus::Pending)]
#[case("404 Not Found", ExitStatus::Failure)]
fn a_bad_answer_decides_the_exit_status(
    #[case] answer: &'static str,
    #[case] expected: ExitStatus,
) {
    let (target, asked) = answer_once(answer);
    let status = command::run([
        "redwingctl",
        "job",
        "pending",
        "--target",
        &target,
        "--queue",
        "certificates",
    ]);
    asked.join().expect("the stand-in answered");
    assert_eq!(status, expected);
}

#[test]
fn a_missing_file_is_named_before_anything_is_sent() {
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
