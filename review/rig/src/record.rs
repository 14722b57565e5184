//! Record of what was sent, answered and run, and the check of the rule TWICE.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;

use crate::clock;

/// Index of a run in the record.
pub type RunKey = usize;

/// One run of a subtask.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u32,
    pub worker: String,
    pub started_ms: u64,
    pub ended: Option<(u64, &'static str)>,
    /// When the end was taken note of, unless the lease had lapsed since the end.
    pub noted_ms: Option<u64>,
}

struct State {
    runs: Vec<Run>,
    file: std::fs::File,
}

/// The record.
pub struct Record {
    state: Mutex<State>,
}

impl Record {
    /// Creates the record, which is written to the file at `path`.
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = std::fs::File::create(path)?;
        let runs = Vec::new();
        Ok(Self {
            state: Mutex::new(State { runs, file }),
        })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut state = self.state.lock().expect("no thread panics with the lock");
        write_line(&mut state, text);
    }

    /// Records the start of a run.
    pub fn start(&self, task: &str, run: u32, worker: &str) -> RunKey {
        let mut state = self.state.lock().expect("no thread panics with the lock");
        write_line(&mut state, &format!("run {task} {run} starts on {worker}"));
        state.runs.push(Run {
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            started_ms: clock::now_ms(),
            ended: None,
            noted_ms: None,
        });
        state.runs.len() - 1
    }

    /// Records the end of a run.
    pub fn end(&self, key: RunKey, how: &'static str) {
        let mut state = self.state.lock().expect("no thread panics with the lock");
        let run = state.runs[key].clone();
        write_line(
            &mut state,
            &format!("run {} {} ends {how} on {}", run.task, run.run, run.worker),
        );
        state.runs[key].ended = Some((clock::now_ms(), how));
    }

    /// Records that an end was taken note of.
    pub fn note(&self, key: RunKey, has_lapsed: bool) {
        let mut state = self.state.lock().expect("no thread panics with the lock");
        if !has_lapsed {
            state.runs[key].noted_ms.get_or_insert(clock::now_ms());
        }
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<Run> {
        let state = self.state.lock().expect("no thread panics with the lock");
        state.runs.clone()
    }

    /// Returns how the rule TWICE was broken.
    pub fn twice(&self) -> Vec<String> {
        let runs = self.runs();
        let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &runs {
            by_task.entry(&run.task).or_default().push(run);
        }
        let mut breaks = Vec::new();
        for (task, runs) in by_task {
            for (index, later) in runs.iter().enumerate() {
                for earlier in &runs[..index] {
                    breaks.extend(compare(task, earlier, later));
                }
            }
        }
        breaks
    }
}

fn compare(task: &str, earlier: &Run, later: &Run) -> Option<String> {
    let at = later.started_ms;
    let Some((ended_ms, how)) = earlier.ended.filter(|(ended_ms, _)| *ended_ms <= at) else {
        let until = earlier.ended.map(|(ended_ms, _)| ended_ms);
        return Some(format!(
            "{task}: run {} starts on {} at {at} ms while run {} runs on {} until {until:?} ms",
            later.run, later.worker, earlier.run, earlier.worker
        ));
    };
    let noted_ms = earlier.noted_ms.filter(|_| how == "done")?;
    Some(format!(
        "{task}: run {} starts on {} at {at} ms, after run {} ended done on {} at {ended_ms} ms, taken note of at {noted_ms} ms",
        later.run, later.worker, earlier.run, earlier.worker
    ))
}

fn write_line(state: &mut State, text: &str) {
    // The check goes by what is kept in memory.
    let _ = writeln!(state.file, "{:>8} ms  {text}", clock::now_ms());
}
