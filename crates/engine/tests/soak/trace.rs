//! Log lines of the product, for the trace of a failure.

use std::sync;
use std::time;

/// Largest number of lines that are kept.
const MAX_LINES: usize = 400_000;

static LINES: sync::Mutex<Vec<(time::Instant, String)>> = sync::Mutex::new(Vec::new());

static LOGGER: LineLogger = LineLogger;

struct LineLogger;

impl log::Log for LineLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.target().starts_with("redwing")
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut lines = LINES.lock().expect("no logger panics");
        if lines.len() < MAX_LINES {
            lines.push((time::Instant::now(), record.args().to_string()));
        }
    }

    fn flush(&self) {}
}

/// Drops the lines of earlier seeds, and keeps those from now on.
pub(crate) fn install() {
    // It is set already from the second seed on.
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(log::LevelFilter::Info);
    LINES.lock().expect("no logger panics").clear();
}

/// Returns the lines since `start` that contain one of the words.
pub(crate) fn lines(start: time::Instant, words: &[&str]) -> Vec<(time::Instant, String)> {
    let lines = LINES.lock().expect("no logger panics");
    let recent = lines.iter().filter(|(at, _)| *at >= start);
    let matching = recent.filter(|(_, line)| words.iter().any(|word| line.contains(word)));
    matching.cloned().collect()
}
