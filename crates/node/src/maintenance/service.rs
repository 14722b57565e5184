//! Roll-out commands and explanations for the operator API.

use std::rc;

use redwing_model::PoolName;
use redwing_planner::explain::{self, Explanation, Subject};
use redwing_planner::rollout::{self, RolloutCommand, RolloutStatus};
use redwing_planner::step::{RowContent, RowReference};
use redwing_planner::{FleetRows, PlanTime, StepCommit};
use redwing_provider::table::CommitOutcome;
use redwing_provider::{Category, Error, Result, RowKey, TableStore};

use crate::admin::PlaceSource;
use crate::config::evacuation::VmPlaces;
use crate::evacuation::EvacuationReceiver;
use crate::event;
use crate::maintenance::rows;
use crate::maintenance::{MaintenanceState, SharedState};

/// Resource name of the table in errors.
const TABLE: &str = "table";

/// Serves operators' requests about maintenance from the state of one process.
#[derive(Clone)]
pub struct MaintenanceService {
    state: SharedState,
    table: rc::Rc<dyn TableStore>,
    evacuations: Option<EvacuationReceiver>,
}

impl MaintenanceService {
    /// Creates a service that reads the state of a runner.
    pub fn new(state: SharedState, table: rc::Rc<dyn TableStore>) -> Self {
        Self {
            state,
            table,
            evacuations: None,
        }
    }

    /// Explains with the evacuations in force, which may be newer than the last round.
    pub fn with_evacuations(self, evacuations: EvacuationReceiver) -> Self {
        Self {
            evacuations: Some(evacuations),
            ..self
        }
    }

    /// Returns the progress of the pool's roll-out from the last round, or `None`
    /// if the pool never had one.
    pub fn status(&self, now: PlanTime, pool: &PoolName) -> Option<RolloutStatus> {
        status(&self.state.borrow(), now, pool)
    }

    /// Returns the progress of the pool's roll-out after reading its row from the
    /// table.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be read.
    pub async fn read_status(
        &self,
        now: PlanTime,
        pool: &PoolName,
    ) -> Result<Option<RolloutStatus>> {
        let mut state = MaintenanceState::clone(&self.state.borrow());
        let rows = rc::Rc::make_mut(&mut state.rows);
        rows.rollouts.remove(pool);
        self.read_rollout(rows, pool).await?;
        Ok(status(&state, now, pool))
    }

    /// Explains the current maintenance decisions for a VM, pool or class.
    pub fn explain(&self, now: PlanTime, subject: &Subject) -> Option<Explanation> {
        if let Some(evacuations) = &self.evacuations {
            self.state.borrow_mut().follow(evacuations);
        }
        let state = self.state.borrow();
        explain::explain(now, &state.settings, &state.view(), subject)
    }

    /// Executes an operator's command on the pool's roll-out.
    ///
    /// # Errors
    ///
    /// Fails with category `Refused` if the pool is not declared, if the state of
    /// its roll-out does not allow the command, or if the roll-out was changed
    /// concurrently. Fails with `Unknown` if the command may have taken effect
    /// and the table could not be read to check it.
    pub async fn command(
        &self,
        now: PlanTime,
        pool: &PoolName,
        command: RolloutCommand,
    ) -> Result<()> {
        const STEP: &str = "command a roll-out";
        if !self.state.borrow().declaration.pools.contains_key(pool) {
            let message = format!("pool {pool} is not declared");
            return Err(Error::refused(STEP, TABLE, message));
        }
        let mut rows = FleetRows::default();
        self.read_rollout(&mut rows, pool).await?;
        if command == RolloutCommand::Start {
            // VMs may have been added to the pool since the last round.
            self.read_vms(&mut rows).await?;
        }
        let commit = rollout::command(now, &rows, pool, command)
            .map_err(|error| Error::refused(STEP, TABLE, error.to_string()))?;
        let transaction = rows::transaction(&commit)?;
        match self.table.commit(&transaction).await {
            Ok(CommitOutcome::Committed(_)) => {}
            Ok(CommitOutcome::Conflict(_)) => {
                let message = format!("the roll-out of pool {pool} was changed concurrently");
                return Err(Error::refused(STEP, TABLE, message));
            }
            Err(error) if error.classify() == Category::Unknown => {
                self.resolve_unknown(pool, &commit, error).await?;
            }
            Err(error) => return Err(error),
        }
        log_event!(info, event::ROLLOUT_COMMANDED, "pool {pool}: {command:?}");
        Ok(())
    }

    /// Reads the table to find out whether a commit of unknown outcome took effect.
    async fn resolve_unknown(
        &self,
        pool: &PoolName,
        commit: &StepCommit,
        error: Error,
    ) -> Result<()> {
        let mut rows = FleetRows::default();
        self.read_rollout(&mut rows, pool).await?;
        let stored = rows.rollouts.get(pool).map(|row| &row.value);
        let expected = commit
            .updates
            .iter()
            .find_map(|update| match &update.content {
                Some(RowContent::Rollout(record)) => Some(record),
                _ => None,
            });
        if stored.is_some() && stored == expected {
            return Ok(());
        }
        Err(error)
    }

    async fn read_vms(&self, rows: &mut FleetRows) -> Result<()> {
        let view = self.table.scan(rows::VM_PREFIX).await?;
        for row in &view.rows {
            rows::install(rows, row);
        }
        Ok(())
    }

    async fn read_rollout(&self, rows: &mut FleetRows, pool: &PoolName) -> Result<()> {
        let key = RowKey::new(RowReference::Rollout(pool.clone()).key());
        let view = self.table.scan(key.as_str()).await?;
        for row in view.rows.iter().filter(|row| row.key == key) {
            rows::install(rows, row);
        }
        Ok(())
    }
}

impl PlaceSource for MaintenanceService {
    fn places(&self) -> VmPlaces {
        let rows = rc::Rc::clone(&self.state.borrow().rows);
        let records = rows.vms.values().map(|row| &row.value);
        VmPlaces::new(records.map(|record| (&record.pool, &record.identity.data_centre)))
    }
}

fn status(state: &MaintenanceState, now: PlanTime, pool: &PoolName) -> Option<RolloutStatus> {
    let drain = state.declaration.pools.get(pool)?.drain_seconds;
    let outage = explain::expected_outage(&state.settings, drain);
    rollout::status(now, outage, &state.view(), pool)
}
