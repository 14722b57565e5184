//! The load tool against a listener that answers truly or falsely.

use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::thread;

use redwing_ctl::ExitStatus;
use rstest::rstest;
use sha2::Digest;

/// How the listener answers every request.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// Echoes the body with its digest.
    Echo,
    /// Echoes the body of the request before.
    Previous,
    /// Ends the connection in the middle of the body.
    CutOff,
    /// Echoes the body without an outcome.
    NoOutcome,
    /// Refuses with status 503 and no time to come back.
    NoRetryAfter,
    /// Refuses as it should.
    Refuse,
}

/// Starts a listener and returns its address; it serves until the test ends.
fn listen(manner: Manner) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base = format!("http://{}", listener.local_addr().expect("an address"));
    thread::spawn(move || {
        let mut previous = Vec::new();
        for stream in listener.incoming().map_while(Result::ok) {
            serve(&stream, manner, &mut previous);
        }
    });
    base
}

/// Serves one request and closes the connection.
fn serve(stream: &net::TcpStream, manner: Manner, previous: &mut Vec<u8>) {
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
    let answer = if head.starts_with("GET") {
        answer_of("200 OK", "", b"ready")
    } else {
        answer_to(manner, &body, previous)
    };
    let cut = match manner {
        Manner::CutOff if head.starts_with("POST") => answer.len() - length / 2,
        _ => answer.len(),
    };
    // A caller that has gone needs no answer.
    let _ = (&mut &*stream).write_all(&answer[..cut]);
    *previous = body;
}

fn answer_to(manner: Manner, body: &[u8], previous: &[u8]) -> Vec<u8> {
    let digest: String = sha2::Sha256::digest(body)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let echo = format!("redwing-outcome: ran\r\nredwing-standin-digest: {digest}\r\n");
    match manner {
        Manner::Echo | Manner::CutOff => answer_of("200 OK", &echo, body),
        Manner::Previous => answer_of("200 OK", &echo, previous),
        Manner::NoOutcome => {
            let headers = format!("redwing-standin-digest: {digest}\r\n");
            answer_of("200 OK", &headers, body)
        }
        Manner::NoRetryAfter => answer_of("503 X", "redwing-outcome: not-run\r\n", b""),
        Manner::Refuse => {
            let headers = "redwing-outcome: not-run\r\nretry-after: 1\r\n";
            answer_of("503 X", headers, b"")
        }
    }
}

fn answer_of(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\nconnection: close\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

#[rstest]
#[case(Manner::Echo, ExitStatus::Success)]
#[case(Manner::Refuse, ExitStatus::Success)]
#[case(Manner::Previous, ExitStatus::Failure)]
#[case(Manner::CutOff, ExitStatus::Failure)]
#[case(Manner::NoOutcome, ExitStatus::Failure)]
#[case(Manner::NoRetryAfter, ExitStatus::Failure)]
fn false_answers_are_found(#[case] manner: Manner, #[case] expected: ExitStatus) {
    let base = listen(manner);
    let status = redwing_ctl::run([
        "redwingctl",
        "load",
        "--target",
        &base,
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
fn a_request_that_nobody_takes_is_a_broken_promise() {
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
