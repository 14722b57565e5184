//! Run of one simulation and its measurements.

use std::collections::BTreeMap;
use std::time;

use redwing_model::declaration::{PolicyProfile, QueueTarget};
use redwing_model::{ClassName, PoolName, Result, VmId};

use crate::capacity::BufferPlan;
use crate::demand::DemandTracker;
use crate::plan::{PlannerSettings, plan};
use crate::profile::ProfileTargets;
use crate::rollout::{self, RolloutCommand, RolloutState};
use crate::simulation::baseline;
use crate::simulation::demand::RotatingDemand;
use crate::simulation::fleet::{FleetLayout, SimulatedFleet, simulation_time};
use crate::step::{PlanStep, RowContent, StepChange};
use crate::view::PlannerView;

/// Interval between two points of the curves, in seconds.
const SAMPLE_SECONDS: u64 = 10;

/// Policy under simulation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SimulationPolicy {
    /// The planner.
    Planner(PolicyProfile),
    /// Lock-step waves with a reserve in each pool, no moves.
    LockStep,
    /// The planner's roll-outs, with a move at each surge.
    SurgeMoves,
}

impl SimulationPolicy {
    /// Returns the name for tables and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Planner(PolicyProfile::ShareFirst) => "planner, share first",
            Self::Planner(PolicyProfile::BufferFirst) => "planner, buffer first",
            Self::LockStep => "lock-step waves",
            Self::SurgeMoves => "move on each surge",
        }
    }
}

/// Settings of a simulation, independent of the policy.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Layout of the fleet.
    pub layout: FleetLayout,
    /// Planner settings.
    pub planner: PlannerSettings,
    /// Length of the simulation, in seconds.
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
    /// Second at which one rack fails permanently, if any.
    pub rack_fails_at: Option<u64>,
    /// Seed of demand and drain times.
    pub seed: u64,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            layout: FleetLayout::default(),
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

/// Interval in which one VM was out of service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutageInterval {
    /// Pool of the VM at the start.
    pub pool: PoolName,
    /// The VM.
    pub vm: VmId,
    /// First second out of service.
    pub from: u64,
    /// First second in service again.
    pub to: u64,
}

/// One point of the curves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SimulationPoint {
    /// Second of the simulation.
    pub second: u64,
    /// Minimum headroom over all pools; negative if failures exceed a budget.
    pub headroom: i64,
    /// Number of moves completed so far.
    pub moves: u32,
    /// Fraction of the VMs that the roll-outs have rebooted.
    pub progress: f64,
}

/// Measurements of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationResult {
    /// Simulated policy.
    pub policy: SimulationPolicy,
    /// Time from the start to the end of the last roll-out, in seconds.
    pub rollout_seconds: Option<u64>,
    /// Lower bound of that time, in seconds: the maximum over the pools of the
    /// sum of the outage durations divided by the budget.
    pub bound_seconds: f64,
    /// VMs beyond those that the mean demand would fully use: the reserve, and
    /// the VMs that the targeted utilisation leaves idle.
    pub buffer: u32,
    /// Completed moves.
    pub moves: u32,
    /// Mean over pools and rotations of the work of a class that its declared
    /// capacity would have completed and that was not completed, as a fraction of
    /// the declared capacity.
    pub share_error: f64,
    /// Mean waiting work, in seconds of the declared capacity.
    pub mean_delay_seconds: f64,
    /// Minimum headroom of any pool at any second.
    pub smallest_headroom: i64,
    /// Number of invariant violations.
    pub violation_count: usize,
    /// Outages of VMs.
    pub outages: Vec<OutageInterval>,
    /// Curves.
    pub points: Vec<SimulationPoint>,
}

impl SimulationResult {
    /// Returns the roll-out time divided by its lower bound.
    pub fn rollout_ratio(&self) -> Option<f64> {
        let seconds = self.rollout_seconds? as f64;
        Some(seconds / self.bound_seconds)
    }
}

/// Runs one simulation.
///
/// # Errors
///
/// Fails if a generated name is not valid, which would be a bug.
pub fn run(settings: &SimulationSettings, policy: SimulationPolicy) -> Result<SimulationResult> {
    let mut simulation = Simulation::new(settings, policy)?;
    for second in 0..settings.seconds {
        simulation.step(second);
    }
    Ok(simulation.finish())
}

struct Simulation<'a> {
    settings: &'a SimulationSettings,
    fleet: SimulatedFleet,
    demand: RotatingDemand,
    tracker: DemandTracker,
    pools: Vec<(PoolName, ClassName)>,
    open_outages: BTreeMap<VmId, (PoolName, u64)>,
    queues: Vec<FluidQueue>,
    result: SimulationResult,
}

/// Fluid model of the queue of one class, compared with a reference queue that
/// always has the declared capacity.
///
/// Work is measured in slot seconds.
#[derive(Clone, Copy, Debug, Default)]
struct FluidQueue {
    /// Waiting work.
    waiting: f64,
    /// Waiting work of the reference queue.
    reference_waiting: f64,
    /// Work completed in the current window, less that of the reference queue.
    balance: f64,
    /// Declared capacity summed over the current window.
    declared: f64,
    /// Sum over past windows of the missed work as a fraction of the capacity.
    error: f64,
    /// Number of past windows.
    windows: u32,
    /// Sum over the seconds of the waiting work, in seconds of declared capacity.
    delay: f64,
}

impl FluidQueue {
    fn step(&mut self, demand: f64, capacity: f64, declared: f64) {
        let served = serve(&mut self.waiting, demand, capacity);
        let reference = serve(&mut self.reference_waiting, demand, declared);
        self.balance += served - reference;
        self.declared += declared;
        self.delay += self.waiting / declared;
    }

    fn close_window(&mut self) {
        self.error += (-self.balance).max(0.0) / self.declared;
        self.windows += 1;
        (self.balance, self.declared) = (0.0, 0.0);
    }
}

/// Adds `demand` to the waiting work and returns the part that `capacity`
/// completes.
fn serve(waiting: &mut f64, demand: f64, capacity: f64) -> f64 {
    *waiting += demand;
    let served = waiting.min(capacity);
    *waiting -= served;
    served
}

impl<'a> Simulation<'a> {
    fn new(settings: &'a SimulationSettings, policy: SimulationPolicy) -> Result<Self> {
        let layout = FleetLayout {
            seed: settings.seed,
            ..settings.layout.clone()
        };
        let mut fleet = SimulatedFleet::new(&layout)?;
        let profile = match policy {
            SimulationPolicy::Planner(profile) => profile,
            SimulationPolicy::LockStep | SimulationPolicy::SurgeMoves => PolicyProfile::default(),
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
            SimulationPolicy::Planner(_) => BufferPlan::derive(&view, 0.0).total(),
            _ => baseline::reserve_per_pool(&view),
        };
        let buffer = reserve + idle_vms(&means, settings, profile);
        let bound_seconds = lower_bound(settings, &fleet);
        let window = ProfileTargets::of(profile).demand_window;
        let queue_count = pools.len();
        Ok(Self {
            settings,
            demand: RotatingDemand::new(means, settings.surge_seconds, settings.seed),
            tracker: DemandTracker::new(window),
            fleet,
            pools,
            open_outages: BTreeMap::new(),
            queues: vec![FluidQueue::default(); queue_count],
            result: SimulationResult {
                policy,
                rollout_seconds: None,
                bound_seconds,
                buffer,
                moves: 0,
                share_error: 0.0,
                mean_delay_seconds: 0.0,
                smallest_headroom: i64::MAX,
                violation_count: 0,
                outages: Vec::new(),
                points: Vec::new(),
            },
        })
    }

    fn step(&mut self, second: u64) {
        self.apply_events(second);
        let samples = self.demand.sample(second);
        for ((_, class), slots) in self.pools.iter().zip(&samples) {
            let elapsed = time::Duration::from_secs(1);
            self.tracker.observe(class, *slots, elapsed);
        }
        self.run_planner(second, &samples);
        self.measure(second, &samples);
    }

    fn apply_events(&mut self, second: u64) {
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
            self.fleet.set_rack_failed(second, rack, true);
        }
        if second == settings.rollout_at {
            for (pool, _) in &self.pools {
                let now = simulation_time(second);
                let rows = &self.fleet.rows;
                let start = rollout::command(now, rows, pool, RolloutCommand::Start);
                if let Ok(commit) = start {
                    self.fleet.commit(second, &commit);
                }
            }
        }
    }

    fn run_planner(&mut self, second: u64, samples: &[f64]) {
        let now = simulation_time(second);
        let planner = &self.settings.planner;
        let observations = self.fleet.observe(second);
        let planned = matches!(self.result.policy, SimulationPolicy::Planner(_));
        let demand = if planned {
            self.tracker.sustained()
        } else {
            BTreeMap::new()
        };
        let lock_step_rows = baseline::lock_step_rows(&self.fleet.rows);
        let lock_step = self.result.policy == SimulationPolicy::LockStep;
        let rows = if lock_step {
            &lock_step_rows
        } else {
            &self.fleet.rows
        };
        let view = PlannerView {
            observations: &observations,
            demand: &demand,
            ..PlannerView::new(&self.fleet.declaration, rows)
        };
        let plan = plan(now, planner, &view);
        let mut steps = plan.steps;
        let surge_begins = second.is_multiple_of(self.settings.surge_seconds);
        if self.result.policy == SimulationPolicy::SurgeMoves && surge_begins {
            let pools = self.pools.iter().map(|(pool, _)| pool.clone());
            let loads: Vec<_> = pools.zip(samples.iter().copied()).collect();
            let slots = planner.slots_per_vm;
            steps.extend(baseline::move_for_surge(now, &view, slots, &loads));
        }
        for mut step in steps {
            if lock_step {
                restore_running(&mut step);
            }
            if self.fleet.commit_step(second, &step) {
                self.record_changes(second, &step.pool, &step.changes);
            }
        }
        for call in &plan.calls {
            self.fleet.call(second, call);
        }
    }

    fn record_changes(&mut self, second: u64, pool: &PoolName, changes: &[StepChange]) {
        for change in changes {
            match change {
                StepChange::Drain { vm, .. } => {
                    self.open_outages.insert(vm.clone(), (pool.clone(), second));
                }
                StepChange::Return { vm } | StepChange::CancelDrain { vm } => {
                    self.close_outage(second, vm);
                }
                StepChange::Move { vm, .. } => {
                    self.result.moves += 1;
                    self.close_outage(second, vm);
                }
                StepChange::FinishRollout => {
                    self.result.rollout_seconds = Some(second - self.settings.rollout_at);
                }
                _ => {}
            }
        }
    }

    fn close_outage(&mut self, second: u64, vm: &VmId) {
        if let Some((pool, from)) = self.open_outages.remove(vm) {
            let (vm, to) = (vm.clone(), second);
            self.result
                .outages
                .push(OutageInterval { pool, vm, from, to });
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
            self.result.points.push(SimulationPoint {
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

    fn finish(mut self) -> SimulationResult {
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
        self.result.violation_count = self.fleet.violations().len();
        self.result
    }
}

/// Restores the running state that the lock-step baseline replaced by a pause.
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
fn idle_vms(means: &[f64], settings: &SimulationSettings, profile: PolicyProfile) -> u32 {
    let slots = f64::from(settings.planner.slots_per_vm);
    let utilisation = ProfileTargets::of(profile).utilisation;
    let idle = |mean: &f64| (mean / slots / utilisation).ceil() - (mean / slots).ceil();
    means.iter().map(idle).sum::<f64>() as u32
}

fn lower_bound(settings: &SimulationSettings, fleet: &SimulatedFleet) -> f64 {
    let check = settings.planner.return_check.as_secs();
    let pools = fleet.declaration.pools.iter();
    pools
        .map(|(pool, target)| {
            let seconds = fleet.total_outage_seconds(pool, check) as f64;
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
