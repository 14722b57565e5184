//! Log lines of the processes and runs of a job, for the trace of a failure.

use std::path::Path;

use crate::cluster::SoakCluster;
use crate::process;

/// Largest number of log lines in a trace.
const MAX_LINES: usize = 400;

/// Words of lines that belong to each trace.
const WORDS: [&str; 6] = [
    "owner-",
    "engine-",
    "pause-noticed",
    "change-delayed",
    "table-",
    "panicked",
];

/// Returns what the soak knows of a job, its runs, and the log lines on it and on
/// owners.
pub(crate) fn collect(cluster: &SoakCluster, subject: &str) -> String {
    let called = cluster.ledger.find(subject);
    let runs = cluster.platform.runs_of(subject);
    let runs = runs.iter().map(|run| format!("  {run}\n"));
    let lines = log_lines(&cluster.directory, subject);
    let skipped = lines.len().saturating_sub(MAX_LINES);
    let lines = lines.into_iter().skip(skipped);
    let lines = lines.map(|line| format!("  {line}\n"));
    let directory = cluster.directory.display();
    format!(
        "  {called:?}\n{}  logs in {directory}, {skipped} earlier lines left out:\n{}",
        runs.collect::<String>(),
        lines.collect::<String>()
    )
}

/// Returns the lines on a subject, each with the name of its log, in the order of
/// their times.
fn log_lines(directory: &Path, subject: &str) -> Vec<String> {
    let mut lines = Vec::new();
    for path in process::list_logs(directory) {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let text = process::read_log(&path).unwrap_or_default();
        let is_wanted = |line: &&str| {
            let is_general = WORDS.iter().any(|word| line.contains(word));
            is_general || !subject.is_empty() && line.contains(subject)
        };
        let wanted = text.lines().filter(is_wanted);
        // Each line begins with its time.
        lines.extend(wanted.map(|line| format!("{line} [{name}]")));
    }
    lines.sort();
    lines
}
