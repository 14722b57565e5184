//! Tests the job scheduling process as a child process.

mod job_process;

use std::io::BufRead;
use std::time;

use job_process::JobProcess;

/// Longest time that a response may take.
const RESPONSE_LIMIT: time::Duration = time::Duration::from_secs(20);

const JOB: &str = r#"{"steps":[{"count":1,"needs":{"cpu-millis":100}}]}"#;

/// With an unread log the pipe is full after some hundred lines; the process
/// must still schedule jobs and respond.
#[test]
fn an_unread_log_does_not_block_the_process() {
    let (process, _unread) = JobProcess::start("debug", RESPONSE_LIMIT);
    process.wait_ready();
    for number in 0..400 {
        let path = format!("/v1/queues/certificates/jobs/job-{number}");
        let response = process.call("POST", &path, JOB);
        assert!(response.starts_with("HTTP/1.1 201"), "{response}");
    }
    let last_path = "/v1/queues/certificates/jobs/job-399";
    while !process.call("GET", last_path, "").contains("completed") {
        std::thread::sleep(time::Duration::from_millis(50));
    }
}

#[test]
fn metrics_are_served() {
    let (process, _unread) = JobProcess::start("debug", RESPONSE_LIMIT);
    process.wait_ready();
    let metrics = process.call("GET", "/metrics", "");
    assert!(metrics.contains("redwing_manifest_version 1"), "{metrics}");
}

/// Each refused call is logged with its path and response.
#[test]
fn a_refused_call_is_logged_with_its_path() {
    let (process, output) = JobProcess::start("debug", RESPONSE_LIMIT);
    process.wait_ready();
    let response = process.call("POST", "/v1/queues/certificates/jobs/bad", "{}");
    assert!(
        response.starts_with("HTTP/1.1 400") && response.contains("steps"),
        "{response}"
    );
    let mut lines = output.lines().map_while(Result::ok);
    let line = lines.find(|line| line.contains("E511 call-refused"));
    let line = line.expect("the refusal is logged");
    assert!(
        line.contains("path=/v1/queues/certificates/jobs/bad"),
        "{line}"
    );
    assert!(line.contains("Malformed"), "{line}");
}
