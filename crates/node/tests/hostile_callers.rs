//! Callers that send large bodies, many at once, and do not end them.

mod job_process;

use std::fs;
use std::io::{BufReader, Write};
use std::net;
use std::process;
use std::sync;
use std::time;

use job_process::JobProcess;
use rstest::rstest;

/// Connections of the callers that do not behave.
const CROWD: usize = 200;

/// Largest amount of memory that a process may ever have had, in kilobytes.
const MAX_MEMORY_KB: u64 = 100 * 1_024;

/// Largest number of descriptors that a process may have.
const MAX_DESCRIPTORS: usize = 400;

/// Bytes of a body just within the limit.
const LARGE_BYTES: usize = 500_000;

/// Bytes of a body far beyond the limit.
const EXCESSIVE_BYTES: usize = 8_000_000;

/// Time after which a connection that takes no more bytes is left as it is.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Longest time that a response may take.
const RESPONSE_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Held by each test: only one measures at a time.
static MEASURING: sync::Mutex<()> = sync::Mutex::new(());

/// Process whose memory is measured.
struct EntryProcess {
    jobs: JobProcess,
    /// Its further output, so that it can go on writing.
    _output: BufReader<process::ChildStdout>,
}

impl EntryProcess {
    fn start() -> Self {
        let (jobs, output) = JobProcess::start("error", RESPONSE_LIMIT);
        jobs.wait_ready();
        Self {
            jobs,
            _output: output,
        }
    }

    /// Submits a job, again after each 503, as callers do.
    fn submit(&self, id: &str, body: &str) {
        let path = format!("/v1/queues/certificates/jobs/{id}");
        let mut response = self.jobs.call("POST", &path, body);
        while response.starts_with("HTTP/1.1 503") {
            std::thread::sleep(time::Duration::from_millis(100));
            response = self.jobs.call("POST", &path, body);
        }
        assert!(response.starts_with("HTTP/1.1 201"), "{response}");
    }

    /// Opens a connection, sends the request as far as the process reads it, and keeps the
    /// connection open.
    fn send_part(&self, request: &[u8]) -> net::TcpStream {
        let mut stream = net::TcpStream::connect(self.jobs.address).expect("it listens");
        let limit = Some(WRITE_TIMEOUT);
        stream.set_write_timeout(limit).expect("a limit can be set");
        // The process may refuse the rest, or close the connection.
        let _ = stream.write_all(request);
        stream
    }

    /// Returns the largest amount of memory that the process has ever had, in kilobytes.
    fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.jobs.child.id()));
        let status = status.expect("it runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let figure = line.and_then(|line| line.split_whitespace().nth(1));
        figure.and_then(|text| text.parse().ok()).expect("a figure")
    }

    fn descriptor_count(&self) -> usize {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.jobs.child.id()));
        entries.expect("it runs").count()
    }
}

/// How a caller frames its body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    /// As a whole, with its length.
    Whole,
    /// In chunks of so many bytes.
    Chunks(usize),
}

/// Returns a request that submits a job, without the last byte or chunk of its body.
fn unfinished(number: usize, framing: Framing, body_bytes: usize) -> Vec<u8> {
    let path = format!("/v1/queues/certificates/jobs/hostile-{number}");
    match framing {
        Framing::Whole => {
            let head = job_process::head("POST", &path, &format!("content-length: {body_bytes}"));
            let mut request = head.into_bytes();
            request.resize(request.len() + body_bytes - 1, b' ');
            request
        }
        Framing::Chunks(chunk_bytes) => {
            let head = job_process::head("POST", &path, "transfer-encoding: chunked");
            let mut request = head.into_bytes();
            for _ in 0..body_bytes / chunk_bytes {
                request.extend_from_slice(format!("{chunk_bytes:x}\r\n").as_bytes());
                request.resize(request.len() + chunk_bytes, b' ');
                request.extend_from_slice(b"\r\n");
            }
            request
        }
    }
}

const JOB: &str = r#"{"steps":[{"count":1,"needs":{"cpu-millis":100}}]}"#;

/// Guards against a process that runs out of memory because callers keep large bodies open, and
/// then answers nobody.
#[rstest]
#[case::whole_bodies(Framing::Whole, LARGE_BYTES)]
#[case::large_chunks(Framing::Chunks(62_500), LARGE_BYTES)]
#[case::small_chunks(Framing::Chunks(4), 100_000)]
#[case::excessive_announced(Framing::Whole, EXCESSIVE_BYTES)]
#[case::excessive_chunks(Framing::Chunks(62_500), EXCESSIVE_BYTES)]
fn bodies_that_do_not_end_leave_memory_and_room_for_others(
    #[case] framing: Framing,
    #[case] body_bytes: usize,
) {
    let _alone = MEASURING.lock();
    let mut entry = EntryProcess::start();
    let senders = 8;
    let connections: Vec<net::TcpStream> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..senders)
            .map(|sender| {
                let entry = &entry;
                scope.spawn(move || {
                    let numbers = (sender..CROWD).step_by(senders);
                    let sent = numbers
                        .map(|number| entry.send_part(&unfinished(number, framing, body_bytes)));
                    sent.collect::<Vec<_>>()
                })
            })
            .collect();
        let joined = handles.into_iter().map(|handle| handle.join());
        joined.flat_map(|sent| sent.expect("it sends")).collect()
    });
    assert_eq!(connections.len(), CROWD);
    entry.submit("ordinary", JOB);
    let exited = entry.jobs.child.try_wait().expect("it can be asked");
    assert_eq!(exited, None);
    let memory_kb = entry.peak_memory_kb();
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
    let descriptors = entry.descriptor_count();
    assert!(descriptors < MAX_DESCRIPTORS, "{descriptors}");
}

/// Guards against the opposite: a large body within the limit that is refused in calm.
#[test]
fn a_large_body_is_read_in_calm() {
    let _alone = MEASURING.lock();
    let entry = EntryProcess::start();
    let padding = " ".repeat(LARGE_BYTES - JOB.len());
    let body = format!("{JOB}{padding}");
    entry.submit("large", &body);
}
