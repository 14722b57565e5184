//! Subcommands of the operator API against a listener that responds or closes the
//! connection.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::path;
use std::thread;

use redwing_ctl::ExitStatus;
use rstest::rstest;

const ACCEPTED: &str = r#"{"status":"accepted","change":"c1","version":2,"detail":"in force"}"#;
const PENDING: &str = r#"{"status":"pending","change":"c1","detail":"not yet acknowledged"}"#;
const CONFLICT: &str = r#"{"status":"refused","change":"c1","cause":"conflict","detail":"no",
    "conflict":{"base-version":1,"head-version":2,"head-change":"c0","head-operator":"ama",
    "changed-since-base":[{"field":"teams.a.limit","before":"1","after":"2"}],"proposed":[]}}"#;
const INVALID: &str = r#"{"status":"refused","change":"c1","cause":"faulty","detail":"no",
    "faults":[{"field":"teams.a.limit","message":"too small"}]}"#;

/// Action of the listener on one request.
#[derive(Clone, Copy)]
enum ListenerAction {
    /// Responds with a status and a body.
    Respond(u16, &'static str),
    /// Reads the request and closes the connection.
    HangUp,
}

/// Request line and headers of one request, in lower case.
type RequestHead = String;

/// Starts a listener that serves one request after the other; its thread returns
/// the heads of the requests.
fn listen(actions: Vec<ListenerAction>) -> (String, thread::JoinHandle<Vec<RequestHead>>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base_url = format!("http://{}", listener.local_addr().expect("an address"));
    let thread = thread::spawn(move || {
        let serve = |action| {
            let (stream, _) = listener.accept().expect("a connection");
            serve_one(stream, action)
        };
        actions.into_iter().map(serve).collect()
    });
    (base_url, thread)
}

fn serve_one(stream: net::TcpStream, action: ListenerAction) -> RequestHead {
    let mut reader = BufReader::new(&stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).expect("a line");
    }
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |text| text.parse().expect("a length"));
    reader.read_exact(&mut vec![0; length]).expect("a body");
    if let ListenerAction::Respond(status, body) = action {
        let length = body.len();
        let response = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        (&stream)
            .write_all(response.as_bytes())
            .expect("a response");
    }
    head
}

fn write_declaration(name: &str, text: &str) -> path::PathBuf {
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("a file");
    path
}

fn apply(base_url: &str, file: &path::Path, wait: &str) -> ExitStatus {
    let file = file.to_str().expect("a path");
    redwing_ctl::run([
        "redwingctl",
        "apply",
        "-f",
        file,
        "--admin",
        base_url,
        "--token",
        "t",
        "--wait",
        wait,
    ])
}

/// Returns the value of a header of a request.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

#[rstest]
#[case::accepted(200, ACCEPTED, ExitStatus::Success)]
#[case::pending(202, PENDING, ExitStatus::Pending)]
#[case::conflict(409, CONFLICT, ExitStatus::Conflict)]
#[case::invalid(422, INVALID, ExitStatus::Usage)]
#[case::unauthorised(
    401,
    r#"{"type":"t","title":"wrong token","status":401,"detail":"d"}"#,
    ExitStatus::Failure
)]
#[case::not_decodable(200, "[]", ExitStatus::Failure)]
fn the_exit_status_follows_the_result_of_a_change(
    #[case] status: u16,
    #[case] body: &'static str,
    #[case] expected: ExitStatus,
) {
    let (base_url, thread) = listen(vec![ListenerAction::Respond(status, body)]);
    let file = write_declaration("plain.toml", "");
    assert_eq!(apply(&base_url, &file, "0"), expected);
    assert_eq!(thread.join().expect("the listener").len(), 1);
}

#[test]
fn a_lost_reply_is_resolved_by_repeating_with_the_same_id() {
    let (base_url, thread) = listen(vec![
        ListenerAction::HangUp,
        ListenerAction::Respond(202, PENDING),
        ListenerAction::Respond(200, ACCEPTED),
    ]);
    let file = write_declaration("lost.toml", "");
    assert_eq!(apply(&base_url, &file, "30"), ExitStatus::Success);
    let heads = thread.join().expect("the listener");
    let ids: Vec<_> = heads
        .iter()
        .map(|head| header(head, "redwing-change-id"))
        .collect();
    assert!(ids[0].is_some());
    assert_eq!(ids, [ids[0]; 3]);
}

#[test]
fn a_lost_response_is_reported_as_pending() {
    let (base_url, thread) = listen(vec![ListenerAction::HangUp]);
    let file = write_declaration("unknown.toml", "");
    assert_eq!(apply(&base_url, &file, "0"), ExitStatus::Pending);
    thread.join().expect("the listener");
}

#[rstest]
#[case::unknown_field("[pools.reports]\nvms = 1\nmax-unavailable = 0\nweight = 3\n")]
#[case::undeclared_pool("spare-pool = \"reports\"\n")]
#[case::syntax("[pools")]
fn an_invalid_declaration_is_not_sent(#[case] text: &str) {
    let file = write_declaration(&format!("invalid-{}.toml", text.len()), text);
    // Nothing listens on the discard port, so sending would give another status.
    assert_eq!(apply("http://127.0.0.1:9", &file, "0"), ExitStatus::Usage);
}

#[test]
fn a_second_listener_is_tried_when_the_first_is_down() {
    let (base_url, thread) = listen(vec![ListenerAction::Respond(200, ACCEPTED)]);
    let file = write_declaration("second.toml", "");
    let base_urls = format!("http://127.0.0.1:9,{base_url}");
    assert_eq!(apply(&base_urls, &file, "0"), ExitStatus::Success);
    thread.join().expect("the listener");
}

#[test]
fn audit_filters_are_sent_in_the_query() {
    let line = r#"{"at-millis":0,"node":{"node":"n","epoch":1},"sequence":1,"actor":"ama","action":"apply","subject":"config","result":"accepted"}"#;
    let (base_url, thread) = listen(vec![ListenerAction::Respond(200, line)]);
    let status = redwing_ctl::run([
        "redwingctl",
        "audit",
        "--admin",
        &base_url,
        "--token",
        "t",
        "--actor",
        "ama",
        "--limit",
        "7",
    ]);
    assert_eq!(status, ExitStatus::Success);
    let heads = thread.join().expect("the listener");
    assert!(
        heads[0].starts_with("get /v1/admin/audit?actor=ama&limit=7 "),
        "{}",
        heads[0]
    );
}

#[rstest]
#[case::received(
    r#"{"status":"accepted","change":"c1","detail":"d","secret":"s"}"#,
    ExitStatus::Success
)]
#[case::lost(
    r#"{"status":"accepted","change":"c1","detail":"d"}"#,
    ExitStatus::Failure
)]
fn a_grant_whose_secret_was_lost_exits_with_failure(
    #[case] body: &'static str,
    #[case] expected: ExitStatus,
) {
    let (base_url, thread) = listen(vec![ListenerAction::Respond(200, body)]);
    let status = redwing_ctl::run([
        "redwingctl",
        "key",
        "grant",
        "--team",
        "a",
        "--admin",
        &base_url,
        "--token",
        "t",
    ]);
    assert_eq!(status, expected);
    thread.join().expect("the listener");
}
