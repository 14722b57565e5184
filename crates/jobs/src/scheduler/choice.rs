//! Choice of a worker for a task.
//!
//! Load pattern: many tasks and workers in one placement. A worker is compared by what is
//! known of it when the placement begins, and what was placed there since.

use std::cmp;
use std::collections::BTreeSet;

use crate::name::{JobId, TaskId, WorkerId, WorkerLabel};
use crate::spec::StepSpec;

use super::JobScheduler;
use super::candidate::PlacementCandidate;
use super::entry::StartCaution;
use super::placement::PlacementPass;

impl JobScheduler {
    /// Chooses a worker for each member: in one rack if the step asks for that and
    /// a rack has capacity for all.
    pub(super) fn choose_for_gang(
        &self,
        members: &[TaskId],
        spec: &StepSpec,
        candidates: &[PlacementCandidate],
    ) -> Option<Vec<(usize, StartCaution)>> {
        if !spec.same_rack {
            return self.choose_for_all(members, spec, candidates);
        }
        let racks: BTreeSet<&WorkerLabel> = candidates
            .iter()
            .filter_map(|candidate| candidate.rack.as_ref())
            .collect();
        // The rack of the step's affinity is tried first.
        let preferred = racks
            .iter()
            .filter(|rack| spec.affinity.as_ref() == Some(rack));
        let others = racks
            .iter()
            .filter(|rack| spec.affinity.as_ref() != Some(rack));
        let mut by_rack = preferred.chain(others).filter_map(|rack| {
            let mut scratch = candidates.to_vec();
            for candidate in &mut scratch {
                candidate.is_excluded |= candidate.rack.as_ref() != Some(rack);
            }
            self.choose_for_all(members, spec, &scratch)
        });
        by_rack
            .next()
            .or_else(|| self.choose_for_all(members, spec, candidates))
    }

    /// Chooses a worker for each member if all fit on `candidates`.
    fn choose_for_all(
        &self,
        members: &[TaskId],
        spec: &StepSpec,
        candidates: &[PlacementCandidate],
    ) -> Option<Vec<(usize, StartCaution)>> {
        let mut cautions = self.cautions(members.first()?).iter();
        cautions.find_map(|&caution| {
            let chosen = self.choose_with_caution(members, spec, candidates, caution)?;
            let chosen = chosen.into_iter().map(|position| (position, caution));
            Some(chosen.collect())
        })
    }

    fn choose_with_caution(
        &self,
        members: &[TaskId],
        spec: &StepSpec,
        candidates: &[PlacementCandidate],
        caution: StartCaution,
    ) -> Option<Vec<usize>> {
        let mut scratch = candidates.to_vec();
        let mut chosen: Vec<usize> = Vec::with_capacity(members.len());
        for task in members {
            let chosen_count =
                |position: usize| chosen.iter().filter(|&&other| other == position).count();
            let position =
                self.choose_candidate_with(task, spec, &scratch, caution, chosen_count)?;
            scratch[position].add_run(&task.job, caution, &spec.reserved());
            chosen.push(position);
        }
        Some(chosen)
    }

    /// Returns the best worker for a task, and what its run is kept apart from there.
    pub(super) fn choose_candidate(
        &self,
        task: &TaskId,
        spec: &StepSpec,
        candidates: &[PlacementCandidate],
    ) -> Option<(usize, StartCaution)> {
        self.choose_candidate_in(PlacementPass::Regular, task, spec, candidates)
    }

    pub(super) fn choose_candidate_in(
        &self,
        pass: PlacementPass,
        task: &TaskId,
        spec: &StepSpec,
        candidates: &[PlacementCandidate],
    ) -> Option<(usize, StartCaution)> {
        let cautions = self.cautions(task);
        let cautions = match pass {
            PlacementPass::Isolated => &cautions[..cautions.len().min(1)],
            PlacementPass::Regular => cautions,
        };
        cautions.iter().find_map(|&caution| {
            let position = self.choose_candidate_with(task, spec, candidates, caution, |_| 0)?;
            Some((position, caution))
        })
    }

    /// Returns the best worker for a task that is kept apart by `caution`; `chosen_count`
    /// returns how many tasks of the step are already chosen for a candidate.
    fn choose_candidate_with(
        &self,
        task: &TaskId,
        spec: &StepSpec,
        candidates: &[PlacementCandidate],
        caution: StartCaution,
        chosen_count: impl Fn(usize) -> usize,
    ) -> Option<usize> {
        let reserved = spec.reserved();
        let entry = self.task(task);
        let is_retried = entry.is_some_and(|entry| entry.run > 0);
        let rejections = entry.map(|entry| &entry.rejections);
        let is_rejected =
            |worker: &WorkerId| rejections.is_some_and(|rejections| rejections.excludes(worker));
        let mut best: Option<(PlacementScore, usize)> = None;
        for (position, candidate) in candidates.iter().enumerate() {
            let is_admitted = !candidate.is_excluded && candidate.admits(&task.job, caution);
            if !is_admitted
                || is_rejected(&candidate.worker)
                || !reserved.fits_in(&candidate.free_capacity)
            {
                continue;
            }
            let is_constrained = is_retried || spec.requires.is_some() || spec.max_per_worker > 0;
            if is_constrained
                && !self.meets_constraints(task, spec, candidate, chosen_count(position))
            {
                continue;
            }
            let score = PlacementScore {
                matches_affinity: self.matches_affinity(spec, candidate),
                ..PlacementScore::new(candidate, &task.job, caution)
            };
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, position));
            }
        }
        best.map(|(_, position)| position)
    }

    fn matches_affinity(&self, spec: &StepSpec, candidate: &PlacementCandidate) -> bool {
        let Some(rack) = &spec.affinity else {
            return true;
        };
        let entry = self.fleet.get(&candidate.worker);
        let view = entry.and_then(|entry| entry.view.as_ref());
        view.is_some_and(|view| view.labels.contains(rack))
    }

    /// Returns whether the step's constraints allow the task on a worker, and no run
    /// of the task holds a reservation there; `chosen_count` more tasks of the step
    /// count as placed on the worker.
    fn meets_constraints(
        &self,
        task: &TaskId,
        spec: &StepSpec,
        candidate: &PlacementCandidate,
        chosen_count: usize,
    ) -> bool {
        let Some(entry) = self.fleet.get(&candidate.worker) else {
            return false;
        };
        let labels = entry.view.as_ref().map(|view| &view.labels);
        let has_label = spec
            .requires
            .as_ref()
            .is_none_or(|label| labels.is_some_and(|labels| labels.contains(label)));
        if !has_label || entry.reservations.contains_key(task) {
            return false;
        }
        if spec.max_per_worker == 0 {
            return true;
        }
        let same_step = entry.reservations.keys();
        let same_step = same_step.filter(|other| other.is_of_step(task));
        same_step.count() + chosen_count < spec.max_per_worker as usize
    }
}

/// Suitability of a worker for a task; higher is better.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct PlacementScore {
    matches_affinity: bool,
    /// Number of other jobs with runs there under whose tasks workers crashed: these are
    /// spread, and others avoid them.
    clear_of_suspects: cmp::Reverse<usize>,
    /// Whether the worker already has long-running tasks: packing tasks beside them
    /// keeps the other machines movable.
    runs_long_running: bool,
    /// Share of the worker's processor in use: the fullest worker is preferred, so
    /// that others become empty.
    used_share: f64,
}

impl PlacementScore {
    /// Returns the score of a worker for a task of a job without affinity. One under which
    /// workers crashed goes where it can do least harm.
    fn new(candidate: &PlacementCandidate, job: &JobId, caution: StartCaution) -> Self {
        let is_suspect = caution != StartCaution::None;
        let used_share = candidate.used_share();
        Self {
            matches_affinity: true,
            clear_of_suspects: cmp::Reverse(candidate.other_suspects(job)),
            runs_long_running: candidate.runs_long_running != is_suspect,
            used_share: if is_suspect { -used_share } else { used_share },
        }
    }
}
