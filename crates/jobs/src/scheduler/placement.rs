//! Choice of a worker for each task, and the order in which jobs are placed.
//!
//! Load pattern: demand that exceeds a pool's capacity for seconds. Long-running
//! tasks, whose value grows with the time for which they run, go first, then jobs
//! that can still meet their objective: those with the least work left to place,
//! so that most of them end in time and begun jobs are finished. Late jobs come
//! next, by due time, then those that can no longer be of use, and jobs of which only
//! best-effort tasks wait come last.

use std::collections::HashMap;

use crate::name::{JobId, PoolName, TaskId, WorkerId};
use crate::record::JobState;
use crate::spec::{ResourceAmount, StepSpec};
use crate::time::{BootTime, WallTime};

use super::advice::StepId;
use super::candidate::{self, PlacementCandidate};
use super::confirmation::StartResponse;
use super::entry::{JobEntry, RunLocation, StartCaution, TaskEntry, TaskPhase};
use super::fleet::RunReservation;
use super::shares::PoolShares;
use super::waiting::{JobRank, PoolVisit, WaitingEntry};
use super::{JobScheduler, SchedulerEvent, SharePolicy};

/// Tolerance for wrong estimates before a job counts as late, in milliseconds.
const ESTIMATE_GRACE_MS: u64 = 150;

impl JobScheduler {
    /// Places the tasks that are ready.
    pub fn place_tasks(&mut self, now: BootTime, wall: WallTime) {
        if self.is_restoring {
            return;
        }
        self.crashes.begin_placement(now);
        self.begin_due(wall);
        self.rank_overdue_jobs(wall);
        for pool in self.waiting.take_changed() {
            self.place_in_pool(&pool, now);
        }
    }

    /// Ranks the jobs whose deadlines have passed, by the progress of their runs at
    /// this time.
    pub(super) fn rank_overdue_jobs(&mut self, wall: WallTime) {
        while let Some(id) = self.waiting.next_overdue(wall) {
            self.update_waiting(&id);
            self.waiting.rank_overdue(&id, wall);
        }
    }

    /// Visits the jobs that wait for a pool in their order, once each.
    fn place_in_pool(&mut self, pool: &PoolName, now: BootTime) {
        let least_need = self.waiting.least_need(pool);
        let mut candidates = self.candidates_for(pool, &least_need, now);
        if candidates.is_empty() {
            return;
        }
        self.limit_isolation(pool, &mut candidates);
        self.place_isolated(pool, &mut candidates, now);
        let shares = self.pool_shares(pool);
        let mut free = candidate::free_capacity(&candidates);
        let mut visit = PoolVisit::new(&self.waiting, pool, &free, |customer| {
            shares.is_used_up(customer, &self.pool_usage)
        });
        while let Some(id) = visit.next(&self.waiting, &free, |customer| {
            shares.is_used_up(customer, &self.pool_usage)
        }) {
            let pass = PlacementPass::Regular;
            let placed_count = self.place_job(&id, &mut candidates, pass, now);
            if placed_count > 0 {
                self.limit_isolation(pool, &mut candidates);
                free = candidate::free_capacity(&candidates);
            }
        }
        self.vacate_for_isolated(pool, now);
    }

    /// Divides a pool among the customers that use it or wait for it.
    fn pool_shares(&self, pool: &PoolName) -> PoolShares {
        let waiting = self.waiting.customers(pool);
        let customers = waiting.chain(self.pool_usage.users(pool));
        let weights = customers.map(|customer| {
            let weight = self.manifest.weight(customer.as_ref());
            (customer.clone(), weight)
        });
        let weights = match self.settings.share_policy {
            SharePolicy::Ignored => HashMap::new(),
            SharePolicy::Weighted => weights.collect(),
        };
        let capacity = self.fleet.capacity_of_pool(pool);
        PoolShares::new(pool, capacity, weights)
    }

    /// Records that the capacity of a worker changed.
    pub(super) fn mark_worker_changed(&mut self, worker: &WorkerId) {
        let view = self.fleet.get(worker).and_then(|entry| entry.view.as_ref());
        if let Some(view) = view {
            self.waiting.mark_changed(&view.pool);
        }
    }

    /// Updates whether a job waits, and has it placed as soon as it fits.
    pub(super) fn refresh_waiting(&mut self, id: &JobId) {
        self.update_waiting(id);
        let pool = self.jobs.get(id).map(|job| self.pool_of(job).clone());
        if let Some(pool) = pool {
            self.waiting.mark_changed(&pool);
        }
    }

    /// Updates whether a job waits, and its place in the order.
    pub(super) fn update_waiting(&mut self, id: &JobId) {
        let job = self.jobs.get(id);
        let job = job.filter(|_| !self.changes.is_set_aside(id));
        let entry = job.and_then(|job| self.waiting_entry(job));
        match entry {
            Some(entry) => self.waiting.insert(id, entry),
            None => self.waiting.remove(id),
        }
    }

    fn waiting_entry(&self, job: &JobEntry) -> Option<WaitingEntry> {
        let smallest_need = job.smallest_need()?;
        let queue = self.manifest.queue(&job.record.queue);
        let is_advised = queue.is_some_and(|queue| queue.is_advised);
        let due_ms = self.due_ms(job);
        Some(WaitingEntry {
            pool: self.pool_of(job).clone(),
            customer: job.record.customer.clone(),
            rank: JobRank {
                is_best_effort: job.is_waiting_best_effort(),
                is_finite: !job.record.spec.is_long_running(),
                is_late: false,
                is_expired: false,
                priority: queue.map_or(0, |queue| queue.priority),
                unplaced_work: job.unplaced_work(),
                due_ms,
            },
            latest_start_ms: due_ms
                .saturating_add(ESTIMATE_GRACE_MS)
                .saturating_sub(job.remaining_ms()),
            expiry_ms: self.expiry_ms(job),
            // The advisor is asked for permits also while no worker has capacity.
            smallest_need: if is_advised {
                ResourceAmount::default()
            } else {
                smallest_need
            },
            waiting_tasks: job.waiting_tasks(),
            waiting_cpu: job.waiting_cpu(),
        })
    }

    /// Returns the pool whose workers run the tasks of a job.
    pub(super) fn pool_of<'a>(&'a self, job: &'a JobEntry) -> &'a PoolName {
        let queue = self.manifest.queue(&job.record.queue);
        queue.map_or(&job.record.pool, |queue| &queue.pool)
    }

    /// Returns when a job is due to finish, in milliseconds since the Unix epoch.
    fn due_ms(&self, job: &JobEntry) -> u64 {
        let queue = self.manifest.queue(&job.record.queue);
        let (stretch, objective_ms) =
            queue.map_or((1.0, 0), |queue| (queue.stretch, queue.objective_ms));
        let stretched_ms = (stretch * job.critical_path_ms as f64) as u64;
        let released_ms = job.released_ms();
        released_ms
            .saturating_add(objective_ms)
            .saturating_add(stretched_ms)
    }

    /// Returns the usable workers of a pool, by their ids.
    pub(super) fn candidates(&self, pool: &PoolName, now: BootTime) -> Vec<PlacementCandidate> {
        self.candidates_for(pool, &ResourceAmount::default(), now)
    }

    /// Returns the usable workers of a pool that have `need` free, by their ids.
    fn candidates_for(
        &self,
        pool: &PoolName,
        need: &ResourceAmount,
        now: BootTime,
    ) -> Vec<PlacementCandidate> {
        let workers = self.fleet.of_pool(pool);
        let usable = workers.filter(|(id, entry)| {
            need.fits_in(&entry.free_capacity())
                && self.may_start_on(entry, now)
                && !self.lease_ledger.covers(id)
        });
        usable
            .map(|(id, entry)| PlacementCandidate::new(id, entry, now))
            .collect()
    }

    /// Places as many tasks of a job as fit; returns their number.
    pub(super) fn place_job(
        &mut self,
        id: &JobId,
        candidates: &mut [PlacementCandidate],
        pass: PlacementPass,
        now: BootTime,
    ) -> u32 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let ready = job.waiting_steps();
        let ready = ready.map(|step| (step.spec.best_effort, step.occurrence, step.number));
        let mut ready: Vec<_> = ready.collect();
        ready.sort_by_key(|(is_best_effort, ..)| *is_best_effort);
        let mut placed = 0;
        let mut unplaced = 0;
        for (_, occurrence, step) in ready {
            let step = StepId {
                job: id.clone(),
                occurrence,
                step,
            };
            let placement = if self.is_advised(id) {
                self.place_advised(&step, candidates, pass, now)
            } else {
                self.place_step(&step, candidates, pass, now)
            };
            placed += placement.placed;
            unplaced += placement.unplaced;
        }
        if placed > 0 {
            self.record_placement(id, placed, unplaced);
        }
        placed
    }

    fn record_placement(&mut self, id: &JobId, count: u32, unplaced: u32) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
        }
        self.mark_starting(id);
        // The remaining tasks wait for more capacity; another attempt with the
        // same capacity would place none of them.
        self.update_waiting(id);
        self.events.push(SchedulerEvent::TasksPlaced {
            job: id.clone(),
            count,
            unplaced,
        });
    }

    /// Places tasks on the workers that the advisor permits, and requests permits
    /// for others if those are not enough.
    fn place_advised(
        &mut self,
        step: &StepId,
        candidates: &mut [PlacementCandidate],
        pass: PlacementPass,
        now: BootTime,
    ) -> StepPlacement {
        self.exclude_unpermitted(step, candidates, now);
        let placement = self.place_step(step, candidates, pass, now);
        candidate::include_all(candidates);
        if placement.unplaced > 0 {
            self.request_advice(step, candidates, now);
        }
        placement
    }

    /// Excludes the workers that the advisor does not permit for a step.
    pub(super) fn exclude_unpermitted(
        &self,
        step: &StepId,
        candidates: &mut [PlacementCandidate],
        now: BootTime,
    ) {
        for candidate in candidates {
            let ticket = self
                .advice
                .ticket(step, &candidate.worker, candidate.incarnation, now);
            candidate.is_excluded = ticket.is_none();
        }
    }

    fn place_step(
        &mut self,
        step: &StepId,
        candidates: &mut [PlacementCandidate],
        pass: PlacementPass,
        now: BootTime,
    ) -> StepPlacement {
        let mut placement = StepPlacement::default();
        let Some(job) = self.jobs.get(&step.job) else {
            return placement;
        };
        let Some(spec) = job.record.spec.steps.get(step.step as usize).cloned() else {
            return placement;
        };
        let Some(entry) = job.step(step.occurrence, step.step) else {
            return placement;
        };
        let mut tasks = entry.tasks.iter();
        let has_rejected = tasks.any(|task| !task.rejections.is_empty());
        let tasks = entry.tasks.iter().enumerate();
        let idle: Vec<TaskId> = tasks
            .filter(|(_, task)| task.phase == TaskPhase::Idle && pass.places(task))
            .map(|(index, _)| TaskId {
                job: step.job.clone(),
                occurrence: step.occurrence,
                step: step.step,
                index: index as u32,
            })
            .collect();
        let count = idle.len() as u32;
        let due = match has_rejected {
            true => self.due_tasks(idle, now),
            false => idle,
        };
        if spec.gang {
            return self.place_gang(&due, &spec, candidates, now);
        }
        for task in &due {
            if !self.within_limit(task, &spec, 1) {
                self.record_limited(task);
                break;
            }
            match self.choose_candidate_in(pass, task, &spec, candidates) {
                Some((position, caution)) => {
                    let candidate = &mut candidates[position];
                    self.reserve(task, &spec, candidate, caution, None, now);
                    placement.placed += 1;
                }
                // The others fit nowhere either, unless an earlier run of this task
                // still holds a reservation.
                None if self.task(task).is_some_and(|entry| entry.run == 0) => break,
                None => self.note_unplaced(task),
            }
        }
        placement.unplaced = count - placement.placed;
        placement
    }

    /// Returns the tasks that may be placed now: not those that workers have rejected lately.
    fn due_tasks(&mut self, mut idle: Vec<TaskId>, now: BootTime) -> Vec<TaskId> {
        idle.retain(|task| {
            let entry = self.task_mut(task);
            entry.is_none_or(|entry| entry.rejections.prepare(now))
        });
        idle
    }

    /// Places all members of a gang, or none.
    fn place_gang(
        &mut self,
        members: &[TaskId],
        spec: &StepSpec,
        candidates: &mut [PlacementCandidate],
        now: BootTime,
    ) -> StepPlacement {
        let count = members.len() as u32;
        let none = StepPlacement {
            placed: 0,
            unplaced: count,
        };
        let first = members.first().filter(|_| count == spec.count);
        let Some(first) = first else {
            return none;
        };
        if !self.within_limit(first, spec, count) {
            self.record_limited(first);
            return none;
        }
        let Some(chosen) = self.choose_for_gang(members, spec, candidates) else {
            self.note_unplaced(first);
            return none;
        };
        let runs = members.iter().filter_map(|task| self.task(task));
        let run = runs.map(|task| task.run).max().unwrap_or(0) + 1;
        for (task, (position, caution)) in members.iter().zip(chosen) {
            let candidate = &mut candidates[position];
            self.reserve(task, spec, candidate, caution, Some(run), now);
        }
        StepPlacement {
            placed: count,
            unplaced: 0,
        }
    }

    /// Records that the limit of the task's customer has kept it from being placed.
    fn record_limited(&mut self, task: &TaskId) {
        let job = self.jobs.get(&task.job);
        let customer = job.and_then(|job| job.record.customer.clone());
        self.limited_customers.extend(customer);
    }

    /// Returns whether `count` more tasks of the step keep the customer
    /// within its limit.
    pub(super) fn within_limit(&self, task: &TaskId, spec: &StepSpec, count: u32) -> bool {
        let job = self.jobs.get(&task.job);
        let Some(customer) = job.and_then(|job| job.record.customer.as_ref()) else {
            return true;
        };
        let Some(policy) = self.manifest.customer(customer) else {
            return true;
        };
        let used = self.usage.get(customer).copied().unwrap_or_default();
        let needs = spec.needs;
        let is_within = |limit: u64, used: u64, need: u64| {
            limit == 0 || used.saturating_add(need.saturating_mul(u64::from(count))) <= limit
        };
        is_within(policy.limit.cpu_millis, used.cpu_millis, needs.cpu_millis)
            && is_within(policy.limit.memory_mb, used.memory_mb, needs.memory_mb)
            && is_within(
                policy.limit.accelerators,
                used.accelerators,
                needs.accelerators,
            )
    }

    /// Reserves capacity for a task; its start waits until the row is stored. Meanwhile the
    /// worker's clock is read, if that was too long ago.
    fn reserve(
        &mut self,
        task: &TaskId,
        spec: &StepSpec,
        candidate: &mut PlacementCandidate,
        caution: StartCaution,
        run: Option<u32>,
        now: BootTime,
    ) {
        let reserved = spec.reserved();
        candidate.add_run(&task.job, caution, &reserved);
        candidate.runs_long_running |= spec.long_running;
        let location = RunLocation {
            worker: candidate.worker.clone(),
            incarnation: candidate.incarnation,
        };
        let Some(entry) = self.task_mut(task) else {
            return;
        };
        entry.run = run.unwrap_or(entry.run + 1);
        entry.phase = TaskPhase::Reserved(location);
        let reservation = RunReservation {
            run: entry.run,
            reserved,
            is_long_running: spec.long_running,
            caution,
            is_over: false,
            response: StartResponse::Unsent,
            orphan_stop: None,
        };
        if let Some(worker) = self.fleet.get_mut(&candidate.worker) {
            worker.reserve(task.clone(), reservation);
        }
        self.count_active(task);
        self.refresh_reading(&candidate.worker, now);
    }
}

/// Which tasks are placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PlacementPass {
    /// Those that are to be isolated, on vacant workers.
    Isolated,
    /// All.
    Regular,
}

impl PlacementPass {
    fn places(self, task: &TaskEntry) -> bool {
        self == Self::Regular || task.wants_isolation()
    }
}

/// Numbers of tasks of a step that were placed and that were not.
#[derive(Clone, Copy, Debug, Default)]
struct StepPlacement {
    placed: u32,
    unplaced: u32,
}
