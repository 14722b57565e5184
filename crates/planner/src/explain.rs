//! Explanations of the planner's decisions for operators.

use std::time;

use redwing_model::vm::VmPhase;
use redwing_model::{ClassName, PoolName, VmId};
use serde::{Deserialize, Serialize};

use crate::budget::PoolBudget;
use crate::capacity::{FleetIndex, pool_requirement};
use crate::plan::PlannerSettings;
use crate::profile::ProfileTargets;
use crate::record::{OutageCause, PoolRecord, VmOutage};
use crate::rollout::{RolloutBlocker, status};
use crate::time::PlanTime;
use crate::view::PlannerView;

/// Subject of an explanation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "name")]
pub enum Subject {
    /// A VM.
    Vm(VmId),
    /// A pool.
    Pool(PoolName),
    /// A class of work.
    Class(ClassName),
}

/// One input of a decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ExplainedInput {
    /// Name of the input.
    pub name: String,
    /// Value of the input, with the unit.
    pub value: String,
}

/// Explanation of the current decision on a VM, pool or class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Explanation {
    /// Subject of the explanation.
    pub subject: Subject,
    /// The decision in one sentence.
    pub decision: String,
    /// Inputs of the decision.
    pub inputs: Vec<ExplainedInput>,
    /// Events and conditions that would change the decision.
    pub would_change: Vec<String>,
}

impl Explanation {
    fn new(subject: Subject, decision: String) -> Self {
        Self {
            subject,
            decision,
            inputs: Vec::new(),
            would_change: Vec::new(),
        }
    }

    fn input(mut self, name: &str, value: impl ToString) -> Self {
        let (name, value) = (name.to_owned(), value.to_string());
        self.inputs.push(ExplainedInput { name, value });
        self
    }

    fn would_change(mut self, text: impl Into<String>) -> Self {
        self.would_change.push(text.into());
        self
    }
}

/// Explains `subject`, or returns `None` if it has no row or is not declared.
pub fn explain(
    now: PlanTime,
    settings: &PlannerSettings,
    view: &PlannerView<'_>,
    subject: &Subject,
) -> Option<Explanation> {
    match subject {
        Subject::Vm(vm) => explain_vm(now, settings, view, vm),
        Subject::Pool(pool) => explain_pool(now, settings, view, pool),
        Subject::Class(class) => explain_class(settings, view, class),
    }
}

fn explain_vm(
    now: PlanTime,
    settings: &PlannerSettings,
    view: &PlannerView<'_>,
    vm: &VmId,
) -> Option<Explanation> {
    let record = &view.rows.vms.get(vm)?.value;
    let pool = view.rows.pools.get(&record.pool)?;
    let subject = Subject::Vm(vm.clone());
    let outage = pool.value.outages.get(vm);
    let decision = match outage {
        None if view.is_suspect(vm) => {
            format!("{vm} is counted as out of service: it is ejected or not listed as live")
        }
        None if view.is_evacuated(&record.identity) => format!(
            "{vm} gets no requests: its data centre {} is evacuated",
            record.identity.data_centre
        ),
        None => format!("{vm} serves pool {}", record.pool),
        Some(outage) => describe_outage(vm, record.phase, outage),
    };
    let explanation = Explanation::new(subject, decision)
        .input("pool", &record.pool)
        .input("phase", phase_name(record.phase))
        .input("rack", &record.identity.rack)
        .input("data centre", &record.identity.data_centre);
    let explanation = match view.is_evacuated(&record.identity) {
        true => explanation.would_change("the undo of the evacuation of its data centre"),
        false => explanation,
    };
    let Some(outage) = outage else {
        let text = format!("a roll-out of pool {}, a move, or a failure", record.pool);
        return Some(explanation.would_change(text));
    };
    let seconds = now.saturating_since(outage.phase_started).as_secs();
    let explanation = explanation.input("in this phase for", format!("{seconds} s"));
    Some(explanation.would_change(describe_next_phase(settings, view, vm, record.phase)))
}

fn describe_outage(vm: &VmId, phase: VmPhase, outage: &VmOutage) -> String {
    let cause = match outage.cause {
        OutageCause::Rollout(id) => format!("roll-out {id} reboots it"),
        OutageCause::Move => "it changes its pool".to_owned(),
        OutageCause::Leaving => "the platform takes it away".to_owned(),
        OutageCause::Failure => "it failed or is not seen any more".to_owned(),
    };
    let target = outage.move_to.as_ref();
    let target = target.map_or_else(String::new, |pool| format!("; it will join pool {pool}"));
    format!("{vm} is {} because {cause}{target}", phase_name(phase))
}

fn describe_next_phase(
    settings: &PlannerSettings,
    view: &PlannerView<'_>,
    vm: &VmId,
    phase: VmPhase,
) -> String {
    let observation = view.observations.get(vm).cloned().unwrap_or_default();
    match phase {
        VmPhase::Serving => "a drain".to_owned(),
        VmPhase::Draining | VmPhase::Moving if observation.drained => {
            format!("the end of the {:?} notice", settings.min_drain)
        }
        VmPhase::Draining | VmPhase::Moving => {
            let count = observation.acknowledged_by.len();
            format!("the end of all requests on it; {count} entry VMs have confirmed theirs")
        }
        VmPhase::Rebooting => {
            format!("its answer, or failure after {:?}", settings.reboot_timeout)
        }
        VmPhase::Returning => format!("answers for {:?}", settings.return_check),
        VmPhase::Failed | VmPhase::Missing => {
            let seconds = settings.delete_after.as_secs();
            format!("its answer; it is forgotten once unlisted for {seconds} s")
        }
    }
}

fn explain_pool(
    now: PlanTime,
    settings: &PlannerSettings,
    view: &PlannerView<'_>,
    pool: &PoolName,
) -> Option<Explanation> {
    let record = &view.rows.pools.get(pool)?.value;
    let target = view.declaration.pools.get(pool)?;
    let index = FleetIndex::new(view);
    let (suspects, evacuated) = (index.suspects(pool), index.evacuated(pool).serving);
    let budget = PoolBudget::new(target.max_unavailable);
    let headroom = budget.headroom(record, suspects + evacuated);
    let decision = format!("{headroom} more VMs of pool {pool} may be taken out of service now");
    let mut explanation = Explanation::new(Subject::Pool(pool.clone()), decision)
        .input("declared VMs", target.vms)
        .input("assigned VMs", record.assigned)
        .input("members", record.members)
        .input("serving", record.serving())
        .input("out by plan", record.planned_outages())
        .input(
            "out otherwise",
            record.unavailable() - record.planned_outages(),
        )
        .input("ejected or unseen", suspects)
        .input("max-unavailable", target.max_unavailable);
    if evacuated > 0 {
        explanation = explanation
            .input("serving in evacuated data centres", evacuated)
            .would_change("the undo of an evacuation");
    }
    explanation = add_requirement(settings, view, pool, record, explanation);
    let default_outage = expected_outage(settings, target.drain_seconds);
    if let Some(status) = status(now, default_outage, view, pool) {
        let progress = format!("{}, {} of {} VMs", status.state, status.done, status.total);
        explanation = explanation.input("roll-out", progress);
        for blocker in &status.blocked_by {
            explanation = explanation.would_change(describe_blocker(blocker));
        }
    }
    if headroom == 0 {
        explanation = explanation.would_change("the return of a VM, or a larger max-unavailable");
    }
    Some(explanation)
}

/// Returns the expected duration of a reboot, with its drain and check.
pub fn expected_outage(settings: &PlannerSettings, drain_seconds: u32) -> time::Duration {
    let drain = time::Duration::from_secs(drain_seconds.into());
    drain + settings.reboot_settle + settings.return_check
}

fn add_requirement(
    settings: &PlannerSettings,
    view: &PlannerView<'_>,
    pool: &PoolName,
    record: &PoolRecord,
    explanation: Explanation,
) -> Explanation {
    let Some(requirement) = pool_requirement(view, settings.slots_per_vm, pool) else {
        return explanation
            .input("sustained demand", "not known yet")
            .would_change("one whole demand window of observation");
    };
    let more = format!(
        "a sustained demand above that of {} VMs brings VMs from the spare pool",
        record.assigned
    );
    explanation
        .input(
            "sustained demand",
            format!("{:.1} slots", requirement.slots),
        )
        .input("VMs needed", requirement.vms)
        .input(
            "VMs kept until demand falls further",
            requirement.release_vms,
        )
        .would_change(more)
}

fn describe_blocker(blocker: &RolloutBlocker) -> String {
    match blocker {
        RolloutBlocker::State { state } => format!("resuming the roll-out, which is {state}"),
        RolloutBlocker::BudgetSpent { planned, unplanned } => {
            format!("the return of one of {planned} planned and {unplanned} other outages")
        }
        RolloutBlocker::DataCentre { data_centre } => {
            format!("the return of the VMs that are out in data centre {data_centre}")
        }
        RolloutBlocker::Evacuated { vms } => {
            format!("the undo of an evacuation, by which {vms} VMs get no requests")
        }
        RolloutBlocker::StaleList => "a recent VM list from the platform".to_owned(),
        RolloutBlocker::LongDrains { vms } => {
            format!("the end of long requests on {} draining VMs", vms.len())
        }
    }
}

fn explain_class(
    settings: &PlannerSettings,
    view: &PlannerView<'_>,
    class: &ClassName,
) -> Option<Explanation> {
    let queue = view.declaration.queues.get(class)?;
    let pool = &queue.pool;
    let record = &view.rows.pools.get(pool)?.value;
    let targets = ProfileTargets::of(view.declaration.profile);
    let slots = record.serving() * settings.slots_per_vm;
    let decision = format!("class {class} runs on {slots} slots of pool {pool}");
    let demand = view.demand.get(class);
    let demand = demand.map_or_else(
        || "not known yet".to_owned(),
        |slots| format!("{slots:.1} slots"),
    );
    let window = targets.demand_window.as_secs();
    let explanation = Explanation::new(Subject::Class(class.clone()), decision)
        .input("sustained demand", demand)
        .input("demand window", format!("{window} s"))
        .input("targeted utilisation", targets.utilisation)
        .would_change("surges much shorter than the demand window change nothing");
    Some(add_requirement(settings, view, pool, record, explanation))
}

fn phase_name(phase: VmPhase) -> &'static str {
    match phase {
        VmPhase::Serving => "serving",
        VmPhase::Draining => "draining",
        VmPhase::Rebooting => "rebooting",
        VmPhase::Returning => "returning",
        VmPhase::Moving => "moving",
        VmPhase::Failed => "failed",
        VmPhase::Missing => "silent",
    }
}
