//! Log output whose reader stops reading.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::sync;
use std::time;

use logforth::diagnostic::Diagnostic;
use logforth::kv;
use logforth::record::Record;
use logforth::{Append, Error};
use redwing_node::output::{DetachedOutput, WAITING_LINES};

/// Lines that are handed in while nobody reads.
const LINES: usize = WAITING_LINES + 500;

/// Reader that takes lines only while the gate is open.
#[derive(Clone, Debug, Default)]
struct StoppedReader {
    gate: sync::Arc<sync::Mutex<()>>,
    lines: sync::Arc<sync::Mutex<Vec<String>>>,
}

impl Append for StoppedReader {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let _open = self.gate.lock().unwrap();
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

fn hand_in(output: &DetachedOutput, number: usize) {
    let values = [(kv::Key::new("number"), kv::Value::u64(number as u64))];
    let record = Record::builder().key_values(values.as_slice());
    let record = record.payload(format_args!("line")).build();
    output.append(&record, &[]).unwrap();
}

#[test]
fn a_reader_that_stops_holds_nothing_up_and_hears_what_was_dropped() {
    let reader = StoppedReader::default();
    let output = DetachedOutput::start(reader.clone());
    let begun = time::Instant::now();
    {
        let _closed = reader.gate.lock().unwrap();
        for number in 0..LINES {
            hand_in(&output, number);
        }
        assert!(begun.elapsed() < time::Duration::from_secs(5));
    }
    output.flush().unwrap();
    let lines = reader.lines.lock().unwrap();
    let told = lines.iter().find(|line| line.contains("log-dropped"));
    let dropped: usize = told
        .and_then(|line| line.split("lines=").nth(1))
        .and_then(|rest| rest.split(' ').next())
        .and_then(|count| count.parse().ok())
        .unwrap();
    let written = lines.iter().filter(|line| line.starts_with("line")).count();
    assert_eq!(written + dropped, LINES);
    assert!(written >= WAITING_LINES, "{written}");
}

#[test]
fn nothing_is_told_while_nothing_is_dropped() {
    let reader = StoppedReader::default();
    let output = DetachedOutput::start(reader.clone());
    for number in 0..100 {
        hand_in(&output, number);
    }
    output.flush().unwrap();
    let lines = reader.lines.lock().unwrap();
    assert_eq!(lines.len(), 100);
    assert_eq!(lines[7], "line number=7");
}
