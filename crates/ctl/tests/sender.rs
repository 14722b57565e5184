//! The `load` subcommand against a listener with valid or invalid responses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::thread;

use redwing_ctl::ExitStatus;
use rstest::rstest;
use sha2::Digest;

/// Kind of response that the listener sends to every request.
#[derive(Clone, Copy, Debug)]
enum ResponseMode {
    /// Echoes the body with its digest.
    Echo,
    /// Echoes the body of the previous request.
    Previous,
    /// Closes the connection in the middle of the body.
    CutOff,
    /// Echoes the body without an outcome header.
    NoOutcome,
    /// Refuses with status 503 but without a `Retry-After` header.
    NoRetryAfter,
    /// Refuses with status 503 and all headers.
    Refuse,
}

/// Starts a listener and returns its address; it serves until the test ends.
fn listen(mode: ResponseMode) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base_url = format!("http://{}", listener.local_addr().expect("an address"));
    thread::spawn(move || {
        let mut previous = Vec::new();
        for stream in listener.incoming().map_while(Result::ok) {
            serve(&stream, mode, &mut previous);
        }
    });
    base_url
}

/// Serves one request and closes the connection.
fn serve(stream: &net::TcpStream, mode: ResponseMode, previous: &mut Vec<u8>) {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
    }
    let lower = head.to_lowercase();
    let length = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    if reader.read_exact(&mut body).is_err() {
        return;
    }
    let response = if head.starts_with("GET") {
        encode_response("200 OK", "", b"ready")
    } else {
        build_response(mode, &body, previous)
    };
    let cut = match mode {
        ResponseMode::CutOff if head.starts_with("POST") => response.len() - length / 2,
        _ => response.len(),
    };
    // The caller may have cancelled and closed the connection.
    let _ = (&mut &*stream).write_all(&response[..cut]);
    *previous = body;
}

fn build_response(mode: ResponseMode, body: &[u8], previous: &[u8]) -> Vec<u8> {
    let digest: String = sha2::Sha256::digest(body)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let echo = format!("redwing-outcome: ran\r\nredwing-standin-digest: {digest}\r\n");
    match mode {
        ResponseMode::Echo | ResponseMode::CutOff => encode_response("200 OK", &echo, body),
        ResponseMode::Previous => encode_response("200 OK", &echo, previous),
        ResponseMode::NoOutcome => {
            let headers = format!("redwing-standin-digest: {digest}\r\n");
            encode_response("200 OK", &headers, body)
        }
        ResponseMode::NoRetryAfter => encode_response("503 X", "redwing-outcome: not-run\r\n", b""),
        ResponseMode::Refuse => {
            let headers = "redwing-outcome: not-run\r\nretry-after: 1\r\n";
            encode_response("503 X", headers, b"")
        }
    }
}

fn encode_response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\nconnection: close\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

#[rstest]
#[case(ResponseMode::Echo, ExitStatus::Success)]
#[case(ResponseMode::Refuse, ExitStatus::Success)]
#[case(ResponseMode::Previous, ExitStatus::Failure)]
#[case(ResponseMode::CutOff, ExitStatus::Failure)]
#[case(ResponseMode::NoOutcome, ExitStatus::Failure)]
#[case(ResponseMode::NoRetryAfter, ExitStatus::Failure)]
fn invalid_responses_are_detected(#[case] mode: ResponseMode, #[case] expected: ExitStatus) {
    let base_url = listen(mode);
    let status = redwing_ctl::run([
        "redwingctl",
        "load",
        "--target",
        &base_url,
        "--stream",
        "a/q",
        "--rate",
        "100",
        "--seconds",
        "0.3",
        "--max-requests",
        "12",
    ]);
    assert_eq!(status, expected);
}

#[test]
fn a_refused_connection_is_reported_as_a_violation() {
    let status = redwing_ctl::run([
        "redwingctl",
        "load",
        "--target",
        "http://127.0.0.1:9",
        "--stream",
        "a/q",
        "--rate",
        "20",
        "--seconds",
        "0.2",
    ]);
    assert_eq!(status, ExitStatus::Failure);
}
