//! One trial from its first to its last second.

use std::collections::BTreeMap;
use std::time;

use redwing_model::declaration::{PolicyProfile, QueueTarget};
use redwing_model::{ClassName, PoolName, Result, VmId};

use crate::capacity::BufferPlan;
use crate::demand::DemandTracker;
use crate::plan::{PlannerSettings, plan};
use crate::profile::ProfileTargets;
use crate::rollout::{self, RolloutCommand, RolloutState};
use crate::step::{PlanStep, RowContent, StepChange};
use crate::trial::baseline;
use crate::trial::demand::RotatingDemand;
use crate::trial::fleet::{TrialFleet, TrialLayout, trial_time};
use crate::view::PlannerView;

/// Seconds between two points of the drawn curves.
const SAMPLE_SECONDS: u64 = 10;

/// Which decisions a trial uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrialPolicy {
    /// The planner.
    Planner(PolicyProfile),
    /// Lock-step waves with a reserve in each pool, no moves.
    LockStep,
    /// The planner's roll-outs, with a move on each surge.
    SurgeMoves,
}

impl TrialPolicy {
    /// Returns a name for tables and pictures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Planner(PolicyProfile::ShareFirst) => "planner, share first",
            Self::Planner(PolicyProfile::BufferFirst) => "planner, buffer first",
            Self::LockStep => "lock-step waves",
            Self::SurgeMoves => "move on each surge",
        }
    }
}

/// Inputs of a trial, the same for every policy.
#[derive(Clone, Debug)]
pub struct TrialSettings {
    /// Shape of the fleet.
    pub layout: TrialLayout,
    /// Planner settings.
    pub planner: PlannerSettings,
    /// Length of the trial, in seconds.
    pub seconds: u64,
    /// Second at which the roll-outs of all pools start.
    pub rollout_at: u64,
    /// Length of a surge, in seconds.
    pub surge_seconds: u64,
    /// Mean demand of each pool as a fraction of its slots.
    pub mean_load: f64,
    /// Mean demand of the spare pool as a fraction of its slots.
    pub spare_load: f64,
    /// Second from which the first pool's mean demand is `grown_load`.
    pub growth_at: u64,
    /// Mean demand of the first pool after its growth.
    pub grown_load: f64,
    /// Second at which one rack fails for good, if any.
    pub rack_fails_at: Option<u64>,
    /// Seed of demand and drain times.
    pub seed: u64,
}

impl Default for TrialSettings {
    fn default() -> Self {
        Self {
            layout: TrialLayout::default(),
            planner: PlannerSettings::default(),
            seconds: 10_800,
            rollout_at: 1_800,
            surge_seconds: 20,
            mean_load: 0.5,
            spare_load: 0.2,
            growth_at: 5_400,
            grown_load: 0.85,
            rack_fails_at: None,
            seed: 1,
        }
    }
}

/// Time that one VM was out of service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutageBar {
    /// Pool that it left service from.
    pub pool: PoolName,
    /// The VM.
    pub vm: VmId,
    /// First second out of service.
    pub from: u64,
    /// First second in service again.
    pub to: u64,
}

/// One point of the drawn curves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialPoint {
    /// Second of the trial.
    pub second: u64,
    /// Smallest headroom of any pool; below 0 if failures exceed a budget.
    pub headroom: i64,
    /// Moves begun so far.
    pub moves: u32,
    /// Fraction of the VMs that the roll-outs have rebooted.
    pub progress: f64,
}

/// Measurements of a trial.
#[derive(Clone, Debug)]
pub struct TrialResult {
    /// Policy that was tried.
    pub policy: TrialPolicy,
    /// Time from the start to the end of the last roll-out, in seconds.
    pub rollout_seconds: Option<u64>,
    /// Lower bound of that time, in seconds: for each pool the sum of the
    /// times out divided by the budget, and the largest of these.
    pub bound_seconds: f64,
    /// VMs held beyond those that the mean demand would fill: the reserve, and
    /// what the targeted utilisation leaves idle.
    pub buffer: u32,
    /// Completed moves.
    pub moves: u32,
    /// Mean over pools and rotations of the work that a class would have had
    /// done with its declared capacity and had not, as a fraction of it.
    pub share_error: f64,
    /// Mean time that work waits, in seconds of the declared capacity.
    pub mean_delay_seconds: f64,
    /// Smallest headroom of any pool at any second.
    pub smallest_headroom: i64,
    /// Number of rules broken.
    pub broken_rules: usize,
    /// Outages of VMs.
    pub outages: Vec<OutageBar>,
    /// Curves.
    pub points: Vec<TrialPoint>,
}

impl TrialResult {
    /// Returns the roll-out time divided by its lower bound.
    pub fn rollout_ratio(&self) -> Option<f64> {
        let seconds = self.rollout_seconds? as f64;
        Some(seconds / self.bound_seconds)
    }
}

/// Runs one trial.
///
/// # Errors
///
/// Fails if a generated name is not valid, which would be a defect.
pub fn run(settings: &TrialSettings, policy: TrialPolicy) -> Result<TrialResult> {
    let mut trial = Trial::new(settings, policy)?;
    for second in 0..settings.seconds {
        trial.step(second);
    }
    Ok(trial.finish())
}

struct Trial<'a> {
    settings: &'a TrialSettings,
    fleet: TrialFleet,
    demand: RotatingDemand,
    tracker: DemandTracker,
    pools: Vec<(PoolName, ClassName)>,
    open: BTreeMap<VmId, (PoolName, u64)>,
    queues: Vec<FluidQueue>,
    result: TrialResult,
}

/// Queue of one class, beside one that always has the declared capacity.
///
/// Work is counted in slot seconds.
#[derive(Clone, Copy, Debug, Default)]
struct FluidQueue {
    /// Work that waits.
    waiting: f64,
    /// Work that would wait at the declared capacity.
    entitled_waiting: f64,
    /// Work done in the present window, less the work due in it.
    balance: f64,
    /// Capacity declared over the present window.
    declared: f64,
    /// Sum over past windows of the part of the capacity that was missed.
    error: f64,
    /// Number of past windows.
    windows: u32,
    /// Sum of the waiting work over the seconds, in seconds of capacity.
    delay: f64,
}

impl FluidQueue {
    fn step(&mut self, demand: f64, capacity: f64, declared: f64) {
        let served = serve(&mut self.waiting, demand, capacity);
        let due = serve(&mut self.entitled_waiting, demand, declared);
        self.balance += served - due;
        self.declared += declared;
        self.delay += self.waiting / declared;
    }

    fn close_window(&mut self) {
        self.error += (-self.balance).max(0.0) / self.declared;
        self.windows += 1;
        (self.balance, self.declared) = (0.0, 0.0);
    }
}

/// Adds `demand` to the waiting work and returns what `capacity` does of it.
fn serve(waiting: &mut f64, demand: f64, capacity: f64) -> f64 {
    *waiting += demand;
    let served = waiting.min(capacity);
    *waiting -= served;
    served
}

impl<'a> Trial<'a> {
    fn new(settings: &'a TrialSettings, policy: TrialPolicy) -> Result<Self> {
        let layout = TrialLayout {
            seed: settings.seed,
            ..settings.layout.clone()
        };
        let mut fleet = TrialFleet::new(&layout)?;
        let profile = match policy {
            TrialPolicy::Planner(profile) => profile,
            TrialPolicy::LockStep | TrialPolicy::SurgeMoves => PolicyProfile::default(),
        };
        fleet.declaration.profile = profile;
        let mut pools = Vec::new();
        let mut means = Vec::new();
        for (pool, target) in fleet.declaration.pools.clone() {
            let class = ClassName::new(&format!("class-{pool}"))?;
            let queue = queue_of(&pool);
            fleet.declaration.queues.insert(class.clone(), queue);
            let spare = fleet.declaration.spare_pool.as_ref() == Some(&pool);
            let load = if spare {
                settings.spare_load
            } else {
                settings.mean_load
            };
            means.push(load * f64::from(target.vms * settings.planner.slots_per_vm));
            pools.push((pool, class));
        }
        let view = PlannerView::new(&fleet.declaration, &fleet.rows);
        let reserve = match policy {
            TrialPolicy::Planner(_) => BufferPlan::derive(&view, 0.0).total(),
            _ => baseline::reserve_per_pool(&view),
        };
        let buffer = reserve + idle_vms(&means, settings, profile);
        let bound_seconds = lower_bound(settings, &fleet);
        let window = ProfileTargets::of(profile).demand_window;
        let means_count = pools.len();
        Ok(Self {
            settings,
            demand: RotatingDemand::new(means, settings.surge_seconds, settings.seed),
            tracker: DemandTracker::new(window),
            fleet,
            pools,
            open: BTreeMap::new(),
            queues: vec![FluidQueue::default(); means_count],
            result: TrialResult {
                policy,
                rollout_seconds: None,
                bound_seconds,
                buffer,
                moves: 0,
                share_error: 0.0,
                mean_delay_seconds: 0.0,
                smallest_headroom: i64::MAX,
                broken_rules: 0,
                outages: Vec::new(),
                points: Vec::new(),
            },
        })
    }

    fn step(&mut self, second: u64) {
        self.disturb(second);
        let samples = self.demand.sample(second);
        for ((_, class), slots) in self.pools.iter().zip(&samples) {
            let elapsed = time::Duration::from_secs(1);
            self.tracker.observe(class, *slots, elapsed);
        }
        self.decide(second, &samples);
        self.measure(second, &samples);
    }

    fn disturb(&mut self, second: u64) {
        let settings = self.settings;
        if second == settings.growth_at
            && let Some(target) = self.fleet.declaration.pools.get(&self.pools[0].0)
        {
            let slots = f64::from(target.vms * settings.planner.slots_per_vm);
            self.demand.set_mean(0, settings.grown_load * slots);
        }
        if Some(second) == settings.rack_fails_at
            && let Some(rack) = self.fleet.racks().first()
        {
            self.fleet.set_rack_dead(second, rack, true);
        }
        if second == settings.rollout_at {
            for (pool, _) in &self.pools {
                let now = trial_time(second);
                let rows = &self.fleet.rows;
                let start = rollout::command(now, rows, pool, RolloutCommand::Start);
                if let Ok(commit) = start {
                    self.fleet.commit(second, &commit);
                }
            }
        }
    }

    fn decide(&mut self, second: u64, samples: &[f64]) {
        let now = trial_time(second);
        let planner = &self.settings.planner;
        let observations = self.fleet.observe(second);
        let planned = matches!(self.result.policy, TrialPolicy::Planner(_));
        let demand = if planned {
            self.tracker.sustained()
        } else {
            BTreeMap::new()
        };
        let waves = baseline::lock_step(&self.fleet.rows);
        let lock_step = self.result.policy == TrialPolicy::LockStep;
        let rows = if lock_step { &waves } else { &self.fleet.rows };
        let view = PlannerView {
            observations: &observations,
            demand: &demand,
            ..PlannerView::new(&self.fleet.declaration, rows)
        };
        let plan = plan(now, planner, &view);
        let mut steps = plan.steps;
        let surge_begins = second.is_multiple_of(self.settings.surge_seconds);
        if self.result.policy == TrialPolicy::SurgeMoves && surge_begins {
            let pools = self.pools.iter().map(|(pool, _)| pool.clone());
            let loads: Vec<_> = pools.zip(samples.iter().copied()).collect();
            let slots = planner.slots_per_vm;
            steps.extend(baseline::follow_surge(now, &view, slots, &loads));
        }
        for mut step in steps {
            if lock_step {
                restore_running(&mut step);
            }
            if self.fleet.commit_step(second, &step) {
                self.record(second, &step.pool, &step.changes);
            }
        }
        for call in &plan.calls {
            self.fleet.call(second, call);
        }
    }

    fn record(&mut self, second: u64, pool: &PoolName, changes: &[StepChange]) {
        for change in changes {
            match change {
                StepChange::Drain { vm, .. } => {
                    self.open.insert(vm.clone(), (pool.clone(), second));
                }
                StepChange::Return { vm } | StepChange::CancelDrain { vm } => {
                    self.close(second, vm);
                }
                StepChange::Move { vm, .. } => {
                    self.result.moves += 1;
                    self.close(second, vm);
                }
                StepChange::FinishRollout => {
                    self.result.rollout_seconds = Some(second - self.settings.rollout_at);
                }
                _ => {}
            }
        }
    }

    fn close(&mut self, second: u64, vm: &VmId) {
        if let Some((pool, from)) = self.open.remove(vm) {
            let (vm, to) = (vm.clone(), second);
            self.result.outages.push(OutageBar { pool, vm, from, to });
        }
    }

    fn measure(&mut self, second: u64, samples: &[f64]) {
        let slots_per_vm = f64::from(self.settings.planner.slots_per_vm);
        let mut smallest = i64::MAX;
        let queues = self.queues.iter_mut();
        for (((pool, _), load), queue) in self.pools.iter().zip(samples).zip(queues) {
            let Some(row) = self.fleet.rows.pools.get(pool) else {
                continue;
            };
            let record = &row.value;
            let headroom = i64::from(record.max_unavailable) - i64::from(record.unavailable());
            smallest = smallest.min(headroom);
            let declared = f64::from(record.declared) * slots_per_vm;
            let serving = f64::from(record.serving()) * slots_per_vm;
            queue.step(*load, serving, declared);
        }
        let rotation = self.settings.surge_seconds * self.queues.len() as u64;
        if (second + 1).is_multiple_of(rotation) {
            self.queues.iter_mut().for_each(FluidQueue::close_window);
        }
        self.result.smallest_headroom = self.result.smallest_headroom.min(smallest);
        if second.is_multiple_of(SAMPLE_SECONDS) {
            self.result.points.push(TrialPoint {
                second,
                headroom: smallest,
                moves: self.result.moves,
                progress: self.progress(),
            });
        }
    }

    fn progress(&self) -> f64 {
        let rollouts = self.fleet.rows.rollouts.values();
        let (done, total) = rollouts.fold((0, 0), |(done, total), row| {
            (done + row.value.done, total + row.value.total)
        });
        f64::from(done) / f64::from(total.max(1))
    }

    fn finish(mut self) -> TrialResult {
        let rollouts = self.fleet.rows.rollouts.values();
        let done = |state| state == RolloutState::Done;
        if !rollouts.clone().all(|row| done(row.value.state)) {
            self.result.rollout_seconds = None;
        }
        let windows: u32 = self.queues.iter().map(|queue| queue.windows).sum();
        let error: f64 = self.queues.iter().map(|queue| queue.error).sum();
        self.result.share_error = error / f64::from(windows.max(1));
        let seconds = self.settings.seconds as f64 * self.queues.len() as f64;
        let delay: f64 = self.queues.iter().map(|queue| queue.delay).sum();
        self.result.mean_delay_seconds = delay / seconds;
        self.result.broken_rules = self.fleet.broken().len();
        self.result
    }
}

/// Writes back the state that the lock-step baseline hid from the planner.
fn restore_running(step: &mut PlanStep) {
    for update in &mut step.commit.updates {
        if let Some(RowContent::Rollout(rollout)) = &mut update.content
            && rollout.state == RolloutState::Paused
        {
            rollout.state = RolloutState::Running;
        }
    }
}

/// Returns the VMs that the targeted utilisation leaves idle at mean demand.
fn idle_vms(means: &[f64], settings: &TrialSettings, profile: PolicyProfile) -> u32 {
    let slots = f64::from(settings.planner.slots_per_vm);
    let utilisation = ProfileTargets::of(profile).utilisation;
    let idle = |mean: &f64| (mean / slots / utilisation).ceil() - (mean / slots).ceil();
    means.iter().map(idle).sum::<f64>() as u32
}

fn lower_bound(settings: &TrialSettings, fleet: &TrialFleet) -> f64 {
    let check = settings.planner.return_check.as_secs();
    let pools = fleet.declaration.pools.iter();
    pools
        .map(|(pool, target)| {
            let seconds = fleet.outage_seconds(pool, check) as f64;
            seconds / f64::from(target.max_unavailable.max(1))
        })
        .fold(0.0, f64::max)
}

fn queue_of(pool: &PoolName) -> QueueTarget {
    QueueTarget {
        pool: pool.clone(),
        open: false,
        max_timeout_seconds: 60,
        max_body_bytes: 1,
        max_waiting_per_customer: 1,
        shares: BTreeMap::new(),
    }
}
