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
        ["busiest", path] => busiest(path),
        ["quota", limit, path] => return judge_quota(limit, path),
        ["judge", "all", path] => return judge(path, Task::breaches),
        ["judge", "repeated", path] => return judge(path, Task::repeats),
        _ => Err(io::Error::other(
            "usage: review-tool call METHOD URL BODY [HEADER...] | judge all|repeated FILE | busiest FILE | quota RUNS FILE",
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

/// Prints the number of the machine with most runs.
fn busiest(path: &str) -> io::Result<()> {
    let state = read_state(path)?;
    let machine = judge::busiest_machine(&state);
    let machine = machine.ok_or_else(|| io::Error::other("no machine has runs"))?;
    println!("{machine}");
    Ok(())
}

/// Prints all runs, and the starts that bring more than `limit` runs to work at a time.
fn judge_quota(limit: &str, path: &str) -> ExitCode {
    let Ok(limit) = limit.parse::<usize>() else {
        return fail("the limit is no number");
    };
    let tasks = match read_state(path) {
        Ok(state) => judge::tasks(&state).unwrap_or_default(),
        Err(error) => return fail(&error.to_string()),
    };
    for task in &tasks {
        task.print_runs();
    }
    let starts = judge::starts_above(&tasks, limit);
    for start in &starts {
        println!("QUOTA {start}");
    }
    println!(
        "{} subtasks, {} breaches of QUOTA",
        tasks.len(),
        starts.len()
    );
    ExitCode::from(u8::from(!starts.is_empty()))
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
