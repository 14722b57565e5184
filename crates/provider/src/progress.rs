//! Progress of a read that consists of many responses.

use std::cell;
use std::rc;
use std::time;

use crate::clock;

/// Counts what a read has received. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct ReadProgress {
    counts: rc::Rc<ReadCounts>,
    /// Read that this one is a part of.
    parent: Option<rc::Rc<ReadCounts>>,
}

#[derive(Debug, Default)]
struct ReadCounts {
    bytes: cell::Cell<u64>,
    rows: cell::Cell<u64>,
    pages: cell::Cell<u64>,
    requests: cell::Cell<u64>,
    received_at: cell::Cell<Option<time::Instant>>,
}

impl ReadProgress {
    /// Returns a progress whose counts are added to those of this one too.
    pub fn child(&self) -> Self {
        Self {
            counts: rc::Rc::default(),
            parent: Some(rc::Rc::clone(&self.counts)),
        }
    }

    /// Returns the number of bytes received, also of responses that are incomplete.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.get()
    }

    /// Returns the number of rows in complete responses.
    pub fn rows(&self) -> u64 {
        self.counts.rows.get()
    }

    /// Returns the number of complete responses.
    pub fn pages(&self) -> u64 {
        self.counts.pages.get()
    }

    /// Returns the number of requests sent.
    pub fn requests(&self) -> u64 {
        self.counts.requests.get()
    }

    /// Returns when bytes were last received.
    pub(crate) fn received_at(&self) -> Option<time::Instant> {
        self.counts.received_at.get()
    }

    /// Counts received bytes.
    pub fn add(&self, bytes: u64) {
        self.count(|counts| &counts.bytes, bytes);
        for counts in self.all_counts() {
            counts.received_at.set(Some(clock::now()));
        }
    }

    /// Counts a complete response with `rows` rows.
    pub(crate) fn add_page(&self, rows: usize) {
        self.count(|counts| &counts.pages, 1);
        self.count(|counts| &counts.rows, rows as u64);
    }

    /// Counts a request.
    pub(crate) fn add_request(&self) {
        self.count(|counts| &counts.requests, 1);
    }

    fn count(&self, counter: impl Fn(&ReadCounts) -> &cell::Cell<u64>, amount: u64) {
        for counts in self.all_counts() {
            let cell = counter(counts);
            cell.set(cell.get() + amount);
        }
    }

    fn all_counts(&self) -> impl Iterator<Item = &ReadCounts> {
        let all = [Some(&self.counts), self.parent.as_ref()];
        all.into_iter().flatten().map(rc::Rc::as_ref)
    }
}
