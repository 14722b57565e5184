//! Test harness: real processes on the loopback interface and an HTTP client.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub(crate) mod client;
pub(crate) mod cluster;
pub(crate) mod fleet;

use std::io::{BufRead, BufReader};
use std::net;
use std::process;
use std::sync;
use std::thread;
use std::time;

/// Time after which an operation of a test counts as hung.
pub(crate) const HANG_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Access key printed by an embedded entry process.
pub(crate) struct Key {
    pub(crate) customer: String,
    pub(crate) queue: String,
    pub(crate) secret: String,
}

/// A `redwinglb` process, killed when dropped.
pub(crate) struct Process {
    child: process::Child,
    pub(crate) stdout: Vec<String>,
    stderr: sync::Arc<sync::Mutex<Vec<String>>>,
}

impl Process {
    /// Starts `redwinglb` and waits for a line on standard output that starts with
    /// `ready`.
    pub(crate) fn start(arguments: &[&str]) -> Self {
        Self::start_until(arguments, "ready")
    }

    /// Starts `redwinglb` and waits for a line on standard output that starts with
    /// `last`.
    pub(crate) fn start_until(arguments: &[&str], last: &str) -> Self {
        // Not set when an example uses the harness; it passes the binary itself.
        let binary = option_env!("CARGO_BIN_EXE_redwinglb").unwrap_or("redwinglb");
        Self::start_binary(binary, arguments, last)
    }

    /// Starts `binary` and waits for a line on standard output that starts with
    /// `last`.
    pub(crate) fn start_binary(binary: &str, arguments: &[&str], last: &str) -> Self {
        let mut child = process::Command::new(binary)
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = sync::Arc::<sync::Mutex<Vec<String>>>::default();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let sink = sync::Arc::clone(&stderr);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                sink.lock().unwrap().push(line);
            }
        });
        let mut output = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut stdout = Vec::new();
        while stdout
            .last()
            .is_none_or(|line: &String| !line.starts_with(last))
        {
            let line = output
                .next()
                .expect("the process exited before it was ready");
            stdout.push(line.unwrap());
        }
        // Drains the pipe so that the process never blocks on a full one.
        thread::spawn(move || output.for_each(drop));
        Self {
            child,
            stdout,
            stderr,
        }
    }

    /// Returns the rest of the first line on standard output that starts with `name`.
    pub(crate) fn stdout_value(&self, name: &str) -> String {
        let prefix = format!("{name} ");
        let line = self.stdout.iter().find(|line| line.starts_with(&prefix));
        line.unwrap()[prefix.len()..].to_owned()
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn address(&self, name: &str) -> net::SocketAddr {
        let url = self.stdout_value(name);
        url.strip_prefix("http://").unwrap().parse().unwrap()
    }

    /// Returns the first line of standard error that contains `text`.
    pub(crate) fn log_line(&self, text: &str) -> String {
        let found = wait_for(|| {
            let lines = self.stderr.lock().unwrap();
            lines.iter().find(|line| line.contains(text)).cloned()
        });
        found.unwrap_or_else(|| panic!("no log line with {text:?}"))
    }

    pub(crate) fn log_lines(&self) -> Vec<String> {
        self.stderr.lock().unwrap().clone()
    }

    /// Returns the address of a stand-in backend server that runs in the process.
    pub(crate) fn backend(&self) -> net::SocketAddr {
        let line = self.log_line("E104");
        let address = line.split(" at ").nth(1).unwrap();
        address.split_whitespace().next().unwrap().parse().unwrap()
    }

    pub(crate) fn keys(&self) -> Vec<Key> {
        let lines = self.stdout.iter().filter(|line| line.starts_with("key "));
        lines
            .map(|line| {
                let words: Vec<&str> = line.split(' ').collect();
                Key {
                    customer: words[1].to_owned(),
                    queue: words[2].to_owned(),
                    secret: words[3].to_owned(),
                }
            })
            .collect()
    }

    /// Sends a signal by name, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let status = process::Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits until the process exits and returns its exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let status = wait_for(|| self.child.try_wait().unwrap());
        status.expect("the process did not exit").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls until `probe` returns a value, or returns `None` after [`HANG_LIMIT`].
pub(crate) fn wait_for<T>(probe: impl FnMut() -> Option<T>) -> Option<T> {
    wait_within(HANG_LIMIT, probe)
}

/// Polls until `probe` returns a value, or returns `None` after `limit`.
pub(crate) fn wait_within<T>(
    limit: time::Duration,
    mut probe: impl FnMut() -> Option<T>,
) -> Option<T> {
    let start = time::Instant::now();
    while start.elapsed() < limit {
        if let Some(found) = probe() {
            return Some(found);
        }
        thread::sleep(time::Duration::from_millis(5));
    }
    None
}

/// Starts an embedded entry process with additional flags; its leave delay is 0
/// unless the flags set it.
pub(crate) fn embedded(flags: &[&str]) -> Process {
    let mut arguments = vec!["serve", "--platform", "embedded"];
    if !flags.contains(&"--leave-delay") {
        arguments.extend(["--leave-delay", "0"]);
    }
    arguments.extend_from_slice(flags);
    Process::start(&arguments)
}
