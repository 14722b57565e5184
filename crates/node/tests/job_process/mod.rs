//! Job scheduling process with its own table and workers, as a child process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::process;
use std::time;

/// Child process that is killed on drop.
pub(crate) struct JobProcess {
    pub(crate) child: process::Child,
    pub(crate) address: net::SocketAddr,
    /// Longest time that a response may take.
    response_limit: time::Duration,
}

impl JobProcess {
    /// Starts the process and reads its address; the rest of its output is unread.
    pub(crate) fn start(
        log_level: &str,
        response_limit: time::Duration,
    ) -> (Self, BufReader<process::ChildStdout>) {
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_redwinglb"))
            .args(["jobs", "--log-level", log_level])
            .stdout(process::Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("its output is piped");
        let mut output = BufReader::with_capacity(256, output);
        let mut line = String::new();
        output.read_line(&mut line).expect("it prints its address");
        let address = line.trim().strip_prefix("listen http://");
        let address = address.expect("the address comes first");
        let started = Self {
            child,
            address: address.parse().expect("it is an address"),
            response_limit,
        };
        (started, output)
    }

    /// Sends a request on its own connection; returns the whole response.
    pub(crate) fn call(&self, method: &str, path: &str, body: &str) -> String {
        let mut stream = net::TcpStream::connect(self.address).expect("it listens");
        let limit = Some(self.response_limit);
        stream.set_read_timeout(limit).expect("a limit can be set");
        let framing = format!("content-length: {}", body.len());
        let request = head(method, path, &framing) + body;
        stream.write_all(request.as_bytes()).expect("it reads");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("it responds");
        response
    }

    pub(crate) fn wait_ready(&self) {
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

/// Returns the head of a request with a valid key.
pub(crate) fn head(method: &str, path: &str, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: any\r\nauthorization: Bearer inspectors-key\r\n\
         connection: close\r\n{framing}\r\n\r\n"
    )
}
