//! Tests the job scheduling process as a child process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::process;
use std::time;

/// Child process that is killed on drop.
struct JobProcess {
    child: process::Child,
    address: net::SocketAddr,
}

impl JobProcess {
    /// Starts the process and reads its address; the rest of its output is unread.
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

    /// Sends a request on its own connection; returns the whole response.
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
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("it responds");
        response
    }

    fn wait_ready(&self) {
        while !self.call("GET", "/readyz", "").starts_with("HTTP/1.1 200") {
            std::thread::sleep(time::Duration::from_millis(50));
        }
    }
}

impl Drop for JobProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const JOB: &str = r#"{"steps":[{"count":1,"needs":{"cpu-millis":100}}]}"#;

/// With an unread log the pipe is full after some hundred lines; the process
/// must still schedule jobs and respond.
#[test]
fn an_unread_log_does_not_block_the_process() {
    let (process, _unread) = JobProcess::start();
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
    let (process, _unread) = JobProcess::start();
    process.wait_ready();
    let metrics = process.call("GET", "/metrics", "");
    assert!(metrics.contains("redwing_manifest_version 1"), "{metrics}");
}

/// Each refused call is logged with its path and response.
#[test]
fn a_refused_call_is_logged_with_its_path() {
    let (process, output) = JobProcess::start();
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
