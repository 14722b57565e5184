//! Rules on the runs that the stand-in platform has recorded.

use std::fmt;

use crate::json::Value;

/// Run of a subtask, in milliseconds on the platform's clock.
#[derive(Clone, Debug)]
struct Run {
    number: f64,
    worker: String,
    started_ms: f64,
    ended_ms: Option<f64>,
    how: String,
    /// When the end was acknowledged.
    noted_ms: Option<f64>,
}

impl Run {
    fn read(value: &Value) -> Option<Self> {
        let number = |name| value.field(name).and_then(Value::number);
        let text = |name| value.field(name).and_then(Value::text).unwrap_or("-");
        Some(Self {
            number: number("run")?,
            worker: text("worker").to_owned(),
            started_ms: number("startedMs")?,
            ended_ms: number("endedMs"),
            how: text("how").to_owned(),
            noted_ms: number("notedMs"),
        })
    }

    fn overlaps(&self, other: &Run) -> bool {
        let is_open_at = |run: &Run, at: f64| run.ended_ms.is_none_or(|ended| ended > at);
        let is_first = self.started_ms <= other.started_ms;
        is_first && is_open_at(self, other.started_ms)
    }

    /// Returns whether `later` started after this run was done, and this end was
    /// acknowledged.
    fn was_done_before(&self, later: &Run) -> bool {
        let is_noted_done = self.how == "done" && self.noted_ms.is_some();
        let ended = self.ended_ms.filter(|_| is_noted_done);
        ended.is_some_and(|ended| later.started_ms > ended)
    }
}

impl fmt::Display for Run {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |time: Option<f64>| time.map_or("-".to_owned(), |time| format!("{time:.0}"));
        write!(
            formatter,
            "run {} on {} from {:.0} to {}: {}, acknowledged at {}",
            self.number,
            self.worker,
            self.started_ms,
            at(self.ended_ms),
            self.how,
            at(self.noted_ms)
        )
    }
}

/// Subtask with its runs.
#[derive(Clone, Debug)]
pub struct Task {
    name: String,
    runs: Vec<Run>,
}

/// Reads the subtasks from the state of the platform.
pub fn tasks(state: &Value) -> Option<Vec<Task>> {
    let Value::Object(entries) = state.field("tasks")? else {
        return None;
    };
    let tasks = entries.iter().map(|(name, entry)| {
        let Value::List(runs) = entry.field("runs")? else {
            return None;
        };
        let runs = runs.iter().map(Run::read).collect::<Option<Vec<Run>>>()?;
        Some(Task {
            name: name.clone(),
            runs,
        })
    });
    tasks.collect()
}

impl Task {
    /// Returns the name of the subtask.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns when the first run started.
    pub fn first_start_ms(&self) -> Option<f64> {
        self.runs.iter().map(|run| run.started_ms).reduce(f64::min)
    }

    /// Returns the times from `from_ms` on for which the subtask had no run although it was
    /// not done.
    pub fn gaps(&self, from_ms: f64, now_ms: f64) -> Vec<(f64, f64)> {
        let mut runs: Vec<&Run> = self.runs.iter().collect();
        runs.sort_by(|left, right| left.started_ms.total_cmp(&right.started_ms));
        let starts = runs.iter().skip(1).map(|run| run.started_ms);
        let next_starts = starts.chain([now_ms]);
        let gaps = runs.iter().zip(next_starts).filter_map(|(run, next_ms)| {
            let ended_ms = run.ended_ms.filter(|ended| *ended >= from_ms)?;
            (run.how != "done").then_some((ended_ms, next_ms))
        });
        gaps.collect()
    }

    /// Prints one line a run.
    pub fn print_runs(&self) {
        for run in &self.runs {
            println!("{} {run}", self.name);
        }
    }

    /// Returns the pairs of runs that break the rule.
    pub fn breaches(&self) -> Vec<String> {
        self.pairs(|first, second| {
            if first.was_done_before(second) {
                Some("started after it was done")
            } else if first.overlaps(second) {
                Some("two at the same time")
            } else {
                None
            }
        })
    }

    /// Returns the pairs of a run that was done and a higher one that started later.
    pub fn repeats(&self) -> Vec<String> {
        self.pairs(|first, second| {
            let is_repeat = first.was_done_before(second) && second.number > first.number;
            is_repeat.then_some("started again after it was done")
        })
    }

    fn pairs(&self, reason: impl Fn(&Run, &Run) -> Option<&'static str>) -> Vec<String> {
        let mut pairs = Vec::new();
        for (index, first) in self.runs.iter().enumerate() {
            for (other, second) in self.runs.iter().enumerate() {
                if index != other
                    && let Some(reason) = reason(first, second)
                {
                    pairs.push(format!("{}: {reason}: {first}; {second}", self.name));
                }
            }
        }
        pairs
    }
}
