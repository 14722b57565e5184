//! Log lines for a reader that may be slow or gone.
//!
//! Lines are handed to a thread that writes them. At most a fixed number
//! waits; those beyond are dropped and counted, and the count is written as
//! soon as lines get through again.

use std::sync;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use logforth::append::Async;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::diagnostic::Diagnostic;
use logforth::kv;
use logforth::record::{Level, Record};
use logforth::{Append, Error};

use crate::event;

/// Lines that may wait for a slow reader.
pub const WAITING_LINES: usize = 8_192;

/// What both sides of the thread count.
#[derive(Debug, Default)]
struct LineCount {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

/// Takes lines without ever waiting.
#[derive(Debug)]
pub struct DetachedOutput {
    queue: Async,
    count: sync::Arc<LineCount>,
}

impl DetachedOutput {
    /// Starts the thread that writes lines to `output`.
    pub fn start(output: impl Append) -> Self {
        let count = sync::Arc::new(LineCount::default());
        let writer = CountingWriter {
            inner: Box::new(output),
            count: sync::Arc::clone(&count),
        };
        Self {
            // The count bounds the queue.
            queue: AsyncBuilder::new("log").append(writer).build(),
            count,
        }
    }
}

impl Append for DetachedOutput {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if self.count.waiting.fetch_add(1, Ordering::Relaxed) >= WAITING_LINES {
            self.count.waiting.fetch_sub(1, Ordering::Relaxed);
            self.count.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.queue.append(record, diagnostics)
    }

    fn flush(&self) -> Result<(), Error> {
        self.queue.flush()
    }
}

/// Writes the lines, and how many were dropped before them.
#[derive(Debug)]
struct CountingWriter {
    inner: Box<dyn Append>,
    count: sync::Arc<LineCount>,
}

impl CountingWriter {
    fn tell_dropped(&self) -> Result<(), Error> {
        let dropped = self.count.dropped.swap(0, Ordering::Relaxed);
        if dropped == 0 {
            return Ok(());
        }
        let code = event::LOG_DROPPED;
        let values = [
            (kv::Key::new("lines"), kv::Value::u64(dropped)),
            (kv::Key::new("event"), kv::Value::u64(code.number.into())),
        ];
        let record = Record::builder()
            .level(Level::Warn)
            .target(module_path!())
            .key_values(values.as_slice());
        let name = code.to_string();
        self.inner
            .append(&record.payload(format_args!("{name}")).build(), &[])
    }
}

impl Append for CountingWriter {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.count.waiting.fetch_sub(1, Ordering::Relaxed);
        self.tell_dropped()?;
        self.inner.append(record, diagnostics)
    }

    fn flush(&self) -> Result<(), Error> {
        self.tell_dropped()?;
        self.inner.flush()
    }
}
