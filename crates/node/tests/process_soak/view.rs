//! What the platform shows: runs, machines and waves.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;

use crate::platform::StandinPlatform;

/// One run of a task.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RunView {
    pub(crate) run: u32,
    pub(crate) worker: String,
    pub(crate) machine: String,
    fencing_token: u64,
    /// Start of the worker and arrival of the order, on the platform's clock.
    worker_since_ms: f64,
    received_ms: f64,
    /// Start and end on the platform's clock.
    pub(crate) started_ms: f64,
    pub(crate) ended_ms: Option<f64>,
    /// When an owner took note of the end.
    pub(crate) noted_ms: Option<f64>,
    pub(crate) how: Option<String>,
}

impl RunView {
    pub(crate) fn is(&self, how: &str) -> bool {
        self.how.as_deref() == Some(how)
    }

    /// Returns whether an order ended the run, if its worker did not leave by itself.
    pub(crate) fn is_ordered_end(&self) -> bool {
        self.is("stopped") || self.is("lost")
    }
}

impl fmt::Display for RunView {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (run, worker, machine) = (self.run, &self.worker, &self.machine);
        let (since_ms, received_ms) = (self.worker_since_ms, self.received_ms);
        let (started_ms, token) = (self.started_ms, self.fencing_token);
        write!(
            formatter,
            "run {run} on {worker} ({machine}) since {since_ms:.0} ms, order of fence {token} at \
             {received_ms:.0} ms, {started_ms:.0} ms to "
        )?;
        match (self.ended_ms, &self.how) {
            (Some(ended_ms), Some(how)) => write!(formatter, "{ended_ms:.0} ms, {how}"),
            _ => formatter.write_str("now"),
        }
    }
}

/// All runs of a task.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct TaskView {
    pub(crate) runs: Vec<RunView>,
    pub(crate) speculative: bool,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct CapacityView {
    cpu: i64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct MachineView {
    machine: String,
    zone: String,
    capacity: CapacityView,
    /// Highest fencing token that the worker has seen.
    fencing_token: u64,
    /// Active runs with their numbers.
    running: Vec<(String, u32)>,
}

/// Wave as the operator requested it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct WaveRequest {
    pub(crate) wave: u64,
    pub(crate) machines: Vec<String>,
    pub(crate) max_count: usize,
}

/// Wave with its state.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct WaveView {
    pub(crate) request: WaveRequest,
    status: serde_json::Value,
    pub(crate) maintained: Vec<String>,
    pub(crate) max_down: usize,
}

impl WaveView {
    pub(crate) fn is_completed(&self) -> bool {
        self.status["state"] == "completed"
    }

    /// Returns the machines that had no maintenance, without those that are lost.
    pub(crate) fn open_machines(
        &self,
        platform: &StandinPlatform,
    ) -> impl Iterator<Item = &String> {
        let machines = self.request.machines.iter();
        machines.filter(|machine| !self.maintained.contains(machine) && !platform.is_lost(machine))
    }
}

/// Start in an evacuated data centre that came too late.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct LateStartView {
    pub(crate) task: String,
    pub(crate) run: u32,
    pub(crate) machine: String,
    pub(crate) started_ms: f64,
}

/// Evacuation of a data centre.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct EvacuationView {
    pub(crate) data_centre: String,
    /// Confirmation on the platform's clock.
    pub(crate) from_ms: f64,
    pub(crate) first_late: Vec<LateStartView>,
}

/// State of the platform.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct PlatformView {
    pub(crate) now_ms: f64,
    pub(crate) tasks: BTreeMap<String, TaskView>,
    machines: Vec<MachineView>,
    pub(crate) waves: BTreeMap<String, WaveView>,
    pub(crate) evacuations: Vec<EvacuationView>,
}

impl PlatformView {
    pub(crate) fn is_running(&self, task: &str) -> bool {
        let runs = self.tasks.get(task).map_or(&[][..], |task| &task.runs);
        runs.iter().any(|run| run.ended_ms.is_none())
    }

    /// Returns whether a job has had a run.
    pub(crate) fn has_begun(&self, job: &str) -> bool {
        // The separator after the id is the least character of a name.
        let mut later = self.tasks.range(format!("{job}.")..);
        later.next().is_some_and(|(name, _)| name.starts_with(job))
    }

    pub(crate) fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Returns the views of machines by their numbers.
    fn select(&self, machines: &[usize]) -> impl Iterator<Item = &MachineView> {
        let numbers = machines.iter();
        numbers.filter_map(|number| self.machines.get(number - 1))
    }

    /// Returns how many of the machines have runs.
    pub(crate) fn busy_count(&self, machines: &[usize]) -> usize {
        let busy = self.select(machines);
        busy.filter(|machine| !machine.running.is_empty()).count()
    }

    /// Returns the highest fencing token that a worker has seen.
    pub(crate) fn last_token(&self) -> u64 {
        let tokens = self.machines.iter().map(|machine| machine.fencing_token);
        tokens.max().unwrap_or(0)
    }

    /// Returns how many of the machines have seen a token higher than `token`.
    pub(crate) fn fenced_count(&self, machines: &[usize], token: u64) -> usize {
        let fenced = self.select(machines);
        fenced
            .filter(|machine| machine.fencing_token > token)
            .count()
    }

    /// Returns when the leases of machines expired after a time, by the names of those on
    /// which runs were lost by that.
    pub(crate) fn lapses(&self, from_ms: f64, machines: &[usize]) -> BTreeMap<&str, f64> {
        let names = self.select(machines);
        let names: Vec<&str> = names.map(|machine| machine.machine.as_str()).collect();
        let runs = self.tasks.values().flat_map(|task| &task.runs);
        let lapsed = runs.filter(|run| run.is("lapsed") && names.contains(&run.machine.as_str()));
        let lapses = lapsed.filter_map(|run| Some((run.machine.as_str(), run.ended_ms?)));
        lapses.filter(|(_, at)| *at > from_ms).collect()
    }

    /// Returns the numbers of the machines in a data centre, from 1.
    pub(crate) fn machines_in(&self, data_centre: &str) -> Vec<usize> {
        let machines = self.machines.iter().zip(1..);
        let found = machines.filter(|(machine, _)| machine.zone == data_centre);
        found.map(|(_, number)| number).collect()
    }

    /// Returns the CPU of a machine.
    pub(crate) fn capacity(&self, machine: &str) -> Option<i64> {
        let mut machines = self.machines.iter();
        let found = machines.find(|entry| entry.machine == machine);
        found.map(|entry| entry.capacity.cpu)
    }
}
