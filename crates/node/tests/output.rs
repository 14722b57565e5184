//! Log output with a reader that is blocked.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::sync;
use std::time;

use logforth::diagnostic::Diagnostic;
use logforth::kv;
use logforth::record::Record;
use logforth::{Append, Error};
use redwing_node::output::{MAX_QUEUED_LINES, NonBlockingOutput};

/// Number of lines appended while the reader is blocked.
const LINES: usize = MAX_QUEUED_LINES + 500;

/// Reader that blocks while the test holds `lock`.
#[derive(Clone, Debug, Default)]
struct BlockableReader {
    lock: sync::Arc<sync::Mutex<()>>,
    lines: sync::Arc<sync::Mutex<Vec<String>>>,
}

impl Append for BlockableReader {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let _guard = self.lock.lock().unwrap();
        let mut text = record.payload().to_string();
        for (key, value) in record.key_values().iter() {
            text.push_str(&format!(" {key}={value}"));
        }
        self.lines.lock().unwrap().push(text);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn append_line(output: &NonBlockingOutput, number: usize) {
    let values = [(kv::Key::new("number"), kv::Value::u64(number as u64))];
    let record = Record::builder().key_values(values.as_slice());
    let record = record.payload(format_args!("line")).build();
    output.append(&record, &[]).unwrap();
}

#[test]
fn a_blocked_reader_blocks_no_writer_and_gets_the_dropped_count() {
    let reader = BlockableReader::default();
    let output = NonBlockingOutput::start(reader.clone());
    let started = time::Instant::now();
    {
        let _guard = reader.lock.lock().unwrap();
        for number in 0..LINES {
            append_line(&output, number);
        }
        assert!(started.elapsed() < time::Duration::from_secs(5));
    }
    output.flush().unwrap();
    let lines = reader.lines.lock().unwrap();
    let drop_report = lines.iter().find(|line| line.contains("log-dropped"));
    let dropped: usize = drop_report
        .and_then(|line| line.split("lines=").nth(1))
        .and_then(|rest| rest.split(' ').next())
        .and_then(|count| count.parse().ok())
        .unwrap();
    let written = lines.iter().filter(|line| line.starts_with("line")).count();
    assert_eq!(written + dropped, LINES);
    assert!(written >= MAX_QUEUED_LINES, "{written}");
}

#[test]
fn no_dropped_count_is_written_without_drops() {
    let reader = BlockableReader::default();
    let output = NonBlockingOutput::start(reader.clone());
    for number in 0..100 {
        append_line(&output, number);
    }
    output.flush().unwrap();
    let lines = reader.lines.lock().unwrap();
    assert_eq!(lines.len(), 100);
    assert_eq!(lines[7], "line number=7");
}
