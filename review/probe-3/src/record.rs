//! Record of a case: a line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::{self, Write};
use std::time::Instant;

/// Record that is written to a file and to standard output.
pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            file: File::create(path)?,
            started: Instant::now(),
        })
    }

    /// Adds a line with the time since the record was created.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:>7} ms  {text}", self.started.elapsed().as_millis());
        println!("{line}");
        // A record that cannot be written does not change the verdict.
        let _ = writeln!(self.file, "{line}");
    }
}
