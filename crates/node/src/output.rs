//! Non-blocking log output.
//!
//! A separate thread writes the lines, so that a slow or stopped reader blocks
//! no other thread. The queue of lines is bounded: lines beyond the bound are
//! dropped and counted, and the count is logged as soon as lines can be written
//! again.

use std::sync;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use logforth::append::Async;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::diagnostic::Diagnostic;
use logforth::kv;
use logforth::record::{Level, Record};
use logforth::{Append, Error};

use crate::event;

/// Largest number of queued lines.
pub const MAX_QUEUED_LINES: usize = 8_192;

/// Counters shared by the appender and the writer thread.
#[derive(Debug, Default)]
struct LineCounters {
    queued: AtomicUsize,
    dropped: AtomicU64,
}

/// Appender that queues lines for a writer thread and never blocks.
#[derive(Debug)]
pub struct NonBlockingOutput {
    queue: Async,
    counters: sync::Arc<LineCounters>,
}

impl NonBlockingOutput {
    /// Starts the thread that writes lines to `output`.
    pub fn start(output: impl Append) -> Self {
        let counters = sync::Arc::new(LineCounters::default());
        let writer = CountingAppender {
            inner: Box::new(output),
            counters: sync::Arc::clone(&counters),
        };
        Self {
            // `LineCounters::queued` bounds the queue.
            queue: AsyncBuilder::new("log").append(writer).build(),
            counters,
        }
    }
}

impl Append for NonBlockingOutput {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if self.counters.queued.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED_LINES {
            self.counters.queued.fetch_sub(1, Ordering::Relaxed);
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.queue.append(record, diagnostics)
    }

    fn flush(&self) -> Result<(), Error> {
        self.queue.flush()
    }
}

/// Writes lines, preceded by the number of lines dropped since the last one.
#[derive(Debug)]
struct CountingAppender {
    inner: Box<dyn Append>,
    counters: sync::Arc<LineCounters>,
}

impl CountingAppender {
    fn write_dropped_count(&self) -> Result<(), Error> {
        let dropped = self.counters.dropped.swap(0, Ordering::Relaxed);
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

impl Append for CountingAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.counters.queued.fetch_sub(1, Ordering::Relaxed);
        self.write_dropped_count()?;
        self.inner.append(record, diagnostics)
    }

    fn flush(&self) -> Result<(), Error> {
        self.write_dropped_count()?;
        self.inner.flush()
    }
}
