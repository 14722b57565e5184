//! Run times learned from attempts that ended.

use std::collections::HashMap;
use std::time;

use redwing_model::TeamName;

/// Run time assumed before any attempt of a class has ended.
const INITIAL_RUN: time::Duration = time::Duration::from_millis(100);

/// Weight of a new run time in a mean.
const MEAN_GAIN: f64 = 0.1;

/// Ended attempts after which a team's own mean is used.
const MIN_TEAM_RUNS: u32 = 5;

/// Mean run time with the number of attempts behind it.
#[derive(Clone, Copy, Debug, Default)]
struct RunMean {
    runs: u32,
    seconds: f64,
}

/// Learned run times of one class.
#[derive(Debug, Default)]
pub struct RunEstimate {
    class: RunMean,
    teams: HashMap<Option<TeamName>, RunMean>,
}

impl RunEstimate {
    /// Returns the mean run time of the class.
    pub fn class_mean(&self) -> time::Duration {
        match self.class.runs {
            0 => INITIAL_RUN,
            _ => self.class.mean(),
        }
    }

    /// Returns the expected run time of a request of `team`.
    pub fn expect(&self, team: Option<&TeamName>) -> time::Duration {
        match self.teams.get(&team.cloned()) {
            Some(mean) if mean.runs >= MIN_TEAM_RUNS => mean.mean(),
            _ => self.class_mean(),
        }
    }

    /// Returns whether enough attempts ended to refuse work on this evidence.
    pub fn is_learned(&self) -> bool {
        self.class.runs >= MIN_TEAM_RUNS
    }

    /// Takes the run time of an attempt that ended.
    pub fn learn(&mut self, team: Option<&TeamName>, run: time::Duration) {
        self.class.learn(run);
        match self.teams.get_mut(&team.cloned()) {
            Some(mean) => mean.learn(run),
            None => {
                let mut mean = RunMean::default();
                mean.learn(run);
                self.teams.insert(team.cloned(), mean);
            }
        }
    }
}

impl RunMean {
    fn mean(self) -> time::Duration {
        time::Duration::from_secs_f64(self.seconds)
    }

    fn learn(&mut self, run: time::Duration) {
        self.runs = self.runs.saturating_add(1);
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.runs));
        self.seconds += gain * (run.as_secs_f64() - self.seconds);
    }
}
