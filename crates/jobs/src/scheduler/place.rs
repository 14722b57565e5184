//! Which task goes where, and in which order.
//!
//! Load pattern: demand that exceeds a pool's room for seconds. Jobs that
//! can still meet their objective go first, by the time that is left;
//! long-running tasks, which earn as long as they run, go before those.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::{JobId, PoolName, TaskId, WorkerId, WorkerLabel};
use crate::record::JobState;
use crate::spec::{ResourceAmount, StepSpec};
use crate::time::{BootTime, WallTime};

use super::advice::StepId;
use super::entry::{JobEntry, RunPlace, TaskPhase};
use super::fleet::{Occupant, WorkerEntry};
use super::{JobScheduler, SchedulerNote};

/// Time by which estimates may be wrong before a job counts as late, in
/// milliseconds.
const ESTIMATE_GRACE_MS: u64 = 150;

/// Rank of a job among those that wait for the same pool; lower goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct JobRank {
    is_short: bool,
    is_late: bool,
    priority: u32,
    due_ms: u64,
}

/// Job that waits for room.
#[derive(Clone, Debug)]
struct WaitingJob {
    rank: JobRank,
    id: JobId,
}

/// Worker that may get tasks, with the room that is left.
#[derive(Clone, Debug)]
pub(super) struct PlaceOption {
    pub(super) worker: WorkerId,
    pub(super) born: u64,
    rack: Option<WorkerLabel>,
    room: ResourceAmount,
    /// Whether the step at hand must not go there.
    is_excluded: bool,
}

impl JobScheduler {
    /// Gives room to the tasks whose turn has come.
    pub fn place(&mut self, now: BootTime, wall: WallTime) {
        self.begin_due(wall);
        if !self.may_place {
            return;
        }
        self.may_place = false;
        for (pool, mut jobs) in self.waiting_by_pool(wall) {
            jobs.sort_by(|one, other| (one.rank, &one.id).cmp(&(other.rank, &other.id)));
            let mut options = self.options(&pool, now);
            for job in jobs {
                if options.iter().all(|option| option.room.cpu_millis == 0) {
                    break;
                }
                self.place_job(&job.id, &mut options, now);
            }
        }
    }

    fn waiting_by_pool(&self, wall: WallTime) -> BTreeMap<PoolName, Vec<WaitingJob>> {
        let mut pools: BTreeMap<PoolName, Vec<WaitingJob>> = BTreeMap::new();
        for id in &self.waiting {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let pool = self.pool_of(job);
            let waiting = WaitingJob {
                rank: self.rank(job, wall),
                id: id.clone(),
            };
            pools.entry(pool.clone()).or_default().push(waiting);
        }
        pools
    }

    /// Returns the pool whose workers run the tasks of a job.
    pub(super) fn pool_of<'a>(&'a self, job: &'a JobEntry) -> &'a PoolName {
        let queue = self.manifest.queue(&job.record.queue);
        queue.map_or(&job.record.pool, |queue| &queue.pool)
    }

    fn rank(&self, job: &JobEntry, wall: WallTime) -> JobRank {
        let queue = self.manifest.queue(&job.record.queue);
        JobRank {
            is_short: !job.record.spec.is_long_running(),
            is_late: self.is_late(job, wall),
            priority: queue.map_or(0, |queue| queue.priority),
            due_ms: self.due_ms(job),
        }
    }

    /// Returns when a job should be finished, in milliseconds since the epoch.
    fn due_ms(&self, job: &JobEntry) -> u64 {
        let queue = self.manifest.queue(&job.record.queue);
        let (stretch, objective_ms) =
            queue.map_or((1.0, 0), |queue| (queue.stretch, queue.objective_ms));
        job.released_ms() + objective_ms + (stretch * job.chain_ms as f64) as u64
    }

    /// Returns whether a job cannot meet its objective any more, by its estimates.
    pub(super) fn is_late(&self, job: &JobEntry, wall: WallTime) -> bool {
        let finished = wall.as_millis() + job.remaining_ms();
        finished > self.due_ms(job) + ESTIMATE_GRACE_MS
    }

    pub(super) fn options(&self, pool: &PoolName, now: BootTime) -> Vec<PlaceOption> {
        let workers = self.fleet.iter();
        let usable = workers.filter(|(_, entry)| {
            let view = entry.view.as_ref();
            view.is_some_and(|view| view.pool == *pool) && entry.is_usable(now)
        });
        let mut options: Vec<PlaceOption> = usable
            .map(|(id, entry)| PlaceOption {
                worker: id.clone(),
                born: entry.born,
                rack: entry.view.as_ref().and_then(|view| view.rack.clone()),
                room: entry.room(),
                is_excluded: false,
            })
            .collect();
        options.sort_by(|one, other| one.worker.cmp(&other.worker));
        options
    }

    /// Gives room to as many tasks of a job as find it.
    fn place_job(&mut self, id: &JobId, options: &mut [PlaceOption], now: BootTime) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let mut ready = Vec::new();
        for occurrence in &job.occurrences {
            for (number, spec) in job.record.spec.steps.iter().enumerate() {
                if occurrence.is_ready(spec) && occurrence.steps[number].has_idle() {
                    ready.push((occurrence.number, number as u32));
                }
            }
        }
        let mut placed = 0;
        let mut left = 0;
        for (occurrence, step) in ready {
            let step = StepId {
                job: id.clone(),
                occurrence,
                step,
            };
            let outcome = if self.is_advised(id) {
                self.place_advised(&step, options, now)
            } else {
                self.place_step(&step, options)
            };
            placed += outcome.placed;
            left += outcome.left;
        }
        if placed > 0 {
            self.note_placed(id, placed, left);
        }
    }

    fn note_placed(&mut self, id: &JobId, count: u32, left: u32) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
        }
        self.journal.mark(id);
        self.refresh_waiting(id);
        // What is left waits for room, not for another look at the same room.
        self.may_place = false;
        self.notes.push(SchedulerNote::TasksPlaced {
            job: id.clone(),
            count,
            left,
        });
    }

    /// Gives room on the workers that the advisor permits, and asks about
    /// others if that is not enough.
    fn place_advised(
        &mut self,
        step: &StepId,
        options: &mut [PlaceOption],
        now: BootTime,
    ) -> StepOutcome {
        for option in options.iter_mut() {
            let ticket = self.advice.ticket(step, &option.worker, option.born, now);
            option.is_excluded = ticket.is_none();
        }
        let outcome = self.place_step(step, options);
        for option in options.iter_mut() {
            option.is_excluded = false;
        }
        if outcome.left > 0 {
            self.ask_advice(step, options, now);
        }
        outcome
    }

    fn place_step(&mut self, step: &StepId, options: &mut [PlaceOption]) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        let Some(job) = self.jobs.get(&step.job) else {
            return outcome;
        };
        let Some(spec) = job.record.spec.steps.get(step.step as usize).cloned() else {
            return outcome;
        };
        let Some(entry) = job.step(step.occurrence, step.step) else {
            return outcome;
        };
        let tasks = entry.tasks.iter().enumerate();
        let idle: Vec<TaskId> = tasks
            .filter(|(_, task)| task.phase == TaskPhase::Idle)
            .map(|(index, _)| TaskId {
                job: step.job.clone(),
                occurrence: step.occurrence,
                step: step.step,
                index: index as u32,
            })
            .collect();
        if spec.gang {
            return self.place_gang(&idle, &spec, options);
        }
        for task in &idle {
            match self.choose(task, &spec, options) {
                Some(position) if self.within_limit(task, &spec, 1) => {
                    self.reserve(task, &spec, &mut options[position], None);
                    outcome.placed += 1;
                }
                _ => outcome.left += 1,
            }
        }
        outcome
    }

    /// Gives room to all members of a gang, or to none.
    fn place_gang(
        &mut self,
        members: &[TaskId],
        spec: &StepSpec,
        options: &mut [PlaceOption],
    ) -> StepOutcome {
        let count = members.len() as u32;
        let none = StepOutcome {
            placed: 0,
            left: count,
        };
        if count != spec.count || !self.within_limit_of_first(members, spec, count) {
            return none;
        }
        let Some(chosen) = self.choose_for_gang(members, spec, options) else {
            return none;
        };
        let runs = members.iter().filter_map(|task| self.task(task));
        let run = runs.map(|task| task.run).max().unwrap_or(0) + 1;
        for (task, position) in members.iter().zip(chosen) {
            self.reserve(task, spec, &mut options[position], Some(run));
        }
        StepOutcome {
            placed: count,
            left: 0,
        }
    }

    /// Returns a worker for each member: of one rack if the step asks for that
    /// and a rack has room for all.
    fn choose_for_gang(
        &self,
        members: &[TaskId],
        spec: &StepSpec,
        options: &[PlaceOption],
    ) -> Option<Vec<usize>> {
        if !spec.same_rack {
            return self.choose_for_all(members, spec, options.to_vec());
        }
        let racks: BTreeSet<&WorkerLabel> =
            options.iter().filter_map(|o| o.rack.as_ref()).collect();
        // The rack of the data goes first.
        let near = racks
            .iter()
            .filter(|rack| spec.affinity.as_ref() == Some(rack));
        let others = racks
            .iter()
            .filter(|rack| spec.affinity.as_ref() != Some(rack));
        let mut within = near.chain(others).filter_map(|rack| {
            let mut trial = options.to_vec();
            for option in &mut trial {
                option.is_excluded |= option.rack.as_ref() != Some(rack);
            }
            self.choose_for_all(members, spec, trial)
        });
        within
            .next()
            .or_else(|| self.choose_for_all(members, spec, options.to_vec()))
    }

    /// Returns a worker for each member if all find room on `trial`.
    fn choose_for_all(
        &self,
        members: &[TaskId],
        spec: &StepSpec,
        mut trial: Vec<PlaceOption>,
    ) -> Option<Vec<usize>> {
        let mut chosen: Vec<usize> = Vec::with_capacity(members.len());
        for task in members {
            let taken = |position: usize| chosen.iter().filter(|&&other| other == position).count();
            let position = self.choose_beside(task, spec, &trial, taken)?;
            trial[position].room -= spec.reserved();
            chosen.push(position);
        }
        Some(chosen)
    }

    fn within_limit_of_first(&self, members: &[TaskId], spec: &StepSpec, count: u32) -> bool {
        members
            .first()
            .is_some_and(|first| self.within_limit(first, spec, count))
    }

    /// Returns whether `count` more tasks of the step keep the customer
    /// within its limit.
    fn within_limit(&self, task: &TaskId, spec: &StepSpec, count: u32) -> bool {
        let job = self.jobs.get(&task.job);
        let Some(customer) = job.and_then(|job| job.record.customer.as_ref()) else {
            return true;
        };
        let Some(policy) = self.manifest.customer(customer) else {
            return true;
        };
        let used = self.usage.get(customer).copied().unwrap_or_default();
        let needs = spec.needs;
        let fits = |limit: u64, used: u64, need: u64| {
            limit == 0 || used + need * u64::from(count) <= limit
        };
        fits(policy.limit.cpu_millis, used.cpu_millis, needs.cpu_millis)
            && fits(policy.limit.memory_mb, used.memory_mb, needs.memory_mb)
            && fits(
                policy.limit.accelerators,
                used.accelerators,
                needs.accelerators,
            )
    }

    pub(super) fn choose(
        &self,
        task: &TaskId,
        spec: &StepSpec,
        options: &[PlaceOption],
    ) -> Option<usize> {
        self.choose_beside(task, spec, options, |_| 0)
    }

    /// Returns the best worker for a task; `taken` tells how many tasks of
    /// the step are about to go to each.
    fn choose_beside(
        &self,
        task: &TaskId,
        spec: &StepSpec,
        options: &[PlaceOption],
        taken: impl Fn(usize) -> usize,
    ) -> Option<usize> {
        let reserved = spec.reserved();
        let mut best: Option<(PlaceScore, usize)> = None;
        for (position, option) in options.iter().enumerate() {
            if option.is_excluded || !reserved.fits_in(&option.room) {
                continue;
            }
            let Some(entry) = self.fleet.get(&option.worker) else {
                continue;
            };
            if !is_permitted(task, spec, entry, taken(position)) {
                continue;
            }
            let score = PlaceScore {
                is_packed: self.has_long_running(entry),
                ..PlaceScore::of(spec, entry, &option.room)
            };
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, position));
            }
        }
        best.map(|(_, position)| position)
    }

    fn has_long_running(&self, entry: &WorkerEntry) -> bool {
        entry
            .occupants
            .keys()
            .any(|task| self.is_long_running(task))
    }

    /// Takes room for a task; its start waits until the row is stored.
    fn reserve(
        &mut self,
        task: &TaskId,
        spec: &StepSpec,
        option: &mut PlaceOption,
        run: Option<u32>,
    ) {
        let reserved = spec.reserved();
        option.room -= reserved;
        let place = RunPlace {
            worker: option.worker.clone(),
            born: option.born,
        };
        let Some(entry) = self.task_mut(task) else {
            return;
        };
        entry.run = run.unwrap_or(entry.run + 1);
        entry.phase = TaskPhase::Reserved(place);
        let occupant = Occupant {
            run: entry.run,
            reserved,
            orphan_stop: None,
        };
        if let Some(worker) = self.fleet.get_mut(&option.worker) {
            worker.occupy(task.clone(), occupant);
        }
        self.count_active(task);
    }
}

/// How many tasks of a step found room.
#[derive(Clone, Copy, Debug, Default)]
struct StepOutcome {
    placed: u32,
    left: u32,
}

/// How well a worker suits a task; higher is better.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct PlaceScore {
    is_near: bool,
    /// Whether the task joins long-running ones, so that few machines are
    /// bound and the others can be moved.
    is_packed: bool,
    /// Share of the worker that is in use: the fullest goes first, so that
    /// others become empty.
    used_share: f64,
}

impl PlaceScore {
    fn of(spec: &StepSpec, entry: &WorkerEntry, room: &ResourceAmount) -> Self {
        let view = entry.view.as_ref();
        let is_near = spec
            .affinity
            .as_ref()
            .is_none_or(|rack| view.is_some_and(|view| view.labels.contains(rack)));
        let capacity = view.map_or(1, |view| view.capacity.cpu_millis.max(1));
        Self {
            is_near,
            is_packed: false,
            used_share: 1.0 - room.cpu_millis as f64 / capacity as f64,
        }
    }
}

/// Returns whether the step's rules allow one more of its tasks on a worker.
fn is_permitted(task: &TaskId, spec: &StepSpec, entry: &WorkerEntry, taken: usize) -> bool {
    let labels = entry.view.as_ref().map(|view| &view.labels);
    let has_label = spec
        .requires
        .as_ref()
        .is_none_or(|label| labels.is_some_and(|labels| labels.contains(label)));
    if !has_label || entry.occupants.contains_key(task) {
        return false;
    }
    if spec.max_per_worker == 0 {
        return true;
    }
    let beside = entry.occupants.keys().filter(|other| {
        other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
    });
    beside.count() + taken < spec.max_per_worker as usize
}
