//! Capacity and labels of the fleet, to reject jobs that no worker can ever run.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::name::WorkerLabel;
use crate::spec::{JobSpec, ResourceAmount, StepSpec};

/// Largest capacity and all labels that any machine or worker was listed with.
///
/// It only grows: a machine that is temporarily missing makes no job infeasible.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct FleetCapacity {
    /// Largest amount of each resource on one worker.
    pub largest: ResourceAmount,
    /// All labels.
    pub labels: BTreeSet<WorkerLabel>,
}

impl FleetCapacity {
    /// Adds the capacity and labels of one worker or machine.
    pub fn add(&mut self, capacity: &ResourceAmount, labels: &[WorkerLabel]) {
        let largest = &mut self.largest;
        largest.cpu_millis = largest.cpu_millis.max(capacity.cpu_millis);
        largest.memory_mb = largest.memory_mb.max(capacity.memory_mb);
        largest.accelerators = largest.accelerators.max(capacity.accelerators);
        for label in labels {
            if !self.labels.contains(label) {
                self.labels.insert(label.clone());
            }
        }
    }

    /// Checks that some worker could run each task of a job.
    ///
    /// # Errors
    ///
    /// Fails with the first field that asks for more than any worker has. While no
    /// machine or worker has been added yet, all jobs pass.
    pub fn check(&self, spec: &JobSpec) -> Result<()> {
        if *self == Self::default() {
            return Ok(());
        }
        for (number, step) in spec.steps.iter().enumerate() {
            self.check_step(number, step)?;
        }
        Ok(())
    }

    fn check_step(&self, number: usize, step: &StepSpec) -> Result<()> {
        let needs = step.reserved();
        let largest = &self.largest;
        let check = |name, need, maximum| check_amount(number, name, need, maximum);
        check("cpu-millis", needs.cpu_millis, largest.cpu_millis)?;
        check("memory-mb", needs.memory_mb, largest.memory_mb)?;
        check("accelerators", needs.accelerators, largest.accelerators)?;
        match &step.requires {
            Some(label) if !self.labels.contains(label) => {
                let field = format!("steps[{number}].requires");
                Err(Error::field(
                    field,
                    format!("no worker has the label {label}"),
                ))
            }
            _ => Ok(()),
        }
    }
}

fn check_amount(step: usize, name: &str, need: u64, maximum: u64) -> Result<()> {
    if need <= maximum {
        return Ok(());
    }
    let field = format!("steps[{step}].needs.{name}");
    let problem = format!("{need} is more than any worker has; use at most {maximum}");
    Err(Error::field(field, problem))
}
