//! Helper of the review scripts: sends one HTTP call, or judges the runs that the
//! stand-in platform has recorded.

mod json;
mod judge;

use std::env;
use std::fs;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::process::ExitCode;
use std::time::Duration;

use judge::Task;

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Exit status if a case could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args.as_slice() {
        ["call", method, url, body, headers @ ..] => call(method, url, body, headers),
        ["gaps", longest, from, path] => return judge_gaps(longest, from, path),
        ["judge", "all", path] => return judge(path, Task::breaches),
        ["judge", "repeated", path] => return judge(path, Task::repeats),
        _ => Err(io::Error::other(
            "usage: review-tool call METHOD URL BODY [HEADER...] | judge all|repeated FILE | gaps LONGEST_MS FROM_MS FILE",
        )),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("review-tool: {message}");
    ExitCode::from(NOT_RUN)
}

/// Sends a call and prints the status and the body of the response.
fn call(method: &str, url: &str, body: &str, headers: &[&str]) -> io::Result<()> {
    let rest = url.strip_prefix("http://").unwrap_or(url);
    let (address, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n");
    for header in headers {
        request.push_str(header);
        request.push_str("\r\n");
    }
    let length = body.len();
    request.push_str(&format!(
        "Content-Type: application/json\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    ));
    stream.write_all(request.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    let text = String::from_utf8_lossy(&response);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).unwrap_or("000");
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let body = match is_chunked {
        true => join_chunks(body),
        false => body.to_owned(),
    };
    println!("{status} {body}");
    Ok(())
}

/// Joins the chunks of a response body.
fn join_chunks(mut body: &str) -> String {
    let mut joined = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        let Some(chunk) = rest.get(..size).filter(|chunk| !chunk.is_empty()) else {
            break;
        };
        joined.push_str(chunk);
        body = rest.get(size + 2..).unwrap_or_default();
    }
    joined
}

fn read_state(path: &str) -> io::Result<json::Value> {
    let text = fs::read_to_string(path)?;
    json::parse(&text).ok_or_else(|| io::Error::other("the state of the platform cannot be read"))
}

/// Prints all runs, and the times of at least `longest_ms` for which a subtask that is not
/// done had no run, if they begin `from_ms` after the last subtask started first, or later.
fn judge_gaps(longest_ms: &str, from_ms: &str, path: &str) -> ExitCode {
    let (Ok(longest_ms), Ok(from_ms)) = (longest_ms.parse::<f64>(), from_ms.parse::<f64>()) else {
        return fail("the times are no numbers");
    };
    let state = match read_state(path) {
        Ok(state) => state,
        Err(error) => return fail(&error.to_string()),
    };
    let Some(tasks) = judge::tasks(&state) else {
        return fail("the state of the platform has no subtasks");
    };
    for task in &tasks {
        task.print_runs();
    }
    let first_starts = tasks.iter().filter_map(Task::first_start_ms);
    let from_ms: f64 = first_starts.fold(0.0, f64::max) + from_ms;
    let now_ms = state.field("nowMs").and_then(json::Value::number);
    let mut broken = 0;
    for task in &tasks {
        for (began_ms, ended_ms) in task.gaps(from_ms, now_ms.unwrap_or(0.0)) {
            let length_ms: f64 = ended_ms - began_ms;
            if length_ms >= longest_ms {
                println!(
                    "LOST {} had no run for {length_ms:.0} ms from {began_ms:.0}",
                    task.name()
                );
                broken += 1;
            }
        }
    }
    println!("{} subtasks, {broken} breaches of LOST", tasks.len());
    ExitCode::from(u8::from(broken > 0))
}

/// Prints all runs, and those that break the rule on double runs.
fn judge(path: &str, breaches: impl Fn(&Task) -> Vec<String>) -> ExitCode {
    let state = match read_state(path) {
        Ok(state) => state,
        Err(error) => return fail(&error.to_string()),
    };
    let Some(tasks) = judge::tasks(&state) else {
        return fail("the state of the platform has no subtasks");
    };
    let mut broken = 0;
    for task in &tasks {
        task.print_runs();
    }
    for task in &tasks {
        for breach in breaches(task) {
            println!("TWICE {breach}");
            broken += 1;
        }
    }
    println!("{} subtasks, {broken} breaches of TWICE", tasks.len());
    ExitCode::from(u8::from(broken > 0))
}
