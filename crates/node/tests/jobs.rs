//! The process that schedules jobs, as a process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::process;
use std::time;

/// Process that is killed when a test ends.
struct JobProcess {
    child: process::Child,
    address: net::SocketAddr,
}

impl JobProcess {
    /// Starts the process and reads no more of its output than its address.
    fn start() -> (Self, BufReader<process::ChildStdout>) {
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_redwinglb"))
            .args(["jobs", "--log-level", "debug"])
            .stdout(process::Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("its output is piped");
        let mut output = BufReader::with_capacity(256, output);
        let mut line = String::new();
        output.read_line(&mut line).expect("it prints its address");
        let address = line.trim().strip_prefix("listen http://");
        let address = address.expect("the address comes first");
        let address = address.parse().expect("it is an address");
        (Self { child, address }, output)
    }

    /// Sends a request on a connection of its own; returns the whole answer.
    fn call(&self, method: &str, path: &str, body: &str) -> String {
        let mut stream = net::TcpStream::connect(self.address).expect("it listens");
        let limit = Some(time::Duration::from_secs(20));
        stream.set_read_timeout(limit).expect("a limit can be set");
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: any\r\nauthorization: Bearer inspectors-key\r\n\
             connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).expect("it reads");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("it answers");
        answer
    }

    fn wait_ready(&self) {
        while !self.call("GET", "/readyz", "").starts_with("HTTP/1.1 200") {
            std::thread::sleep(time::Duration::from_millis(50));
        }
    }
}

impl Drop for JobProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const JOB: &str = r#"{"steps":[{"count":1,"needs":{"cpu-millis":100}}]}"#;

/// Nobody reads the log: its pipe is full after some hundred lines, and the
/// process still decides and answers.
#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    let (process, _unread) = JobProcess::start();
    process.wait_ready();
    for number in 0..400 {
        let path = format!("/v1/queues/certificates/jobs/job-{number}");
        let answer = process.call("POST", &path, JOB);
        assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
    }
    let last = "/v1/queues/certificates/jobs/job-399";
    while !process.call("GET", last, "").contains("completed") {
        std::thread::sleep(time::Duration::from_millis(50));
    }
}

#[test]
fn metrics_are_served() {
    let (process, _unread) = JobProcess::start();
    process.wait_ready();
    let metrics = process.call("GET", "/metrics", "");
    assert!(metrics.contains("redwing_manifest_version 1"), "{metrics}");
}

/// Each refusal leaves a line with the path and the answer.
#[test]
fn a_refusal_is_logged_with_its_path() {
    let (process, output) = JobProcess::start();
    process.wait_ready();
    let answer = process.call("POST", "/v1/queues/certificates/jobs/bad", "{}");
    assert!(
        answer.starts_with("HTTP/1.1 400") && answer.contains("steps"),
        "{answer}"
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
