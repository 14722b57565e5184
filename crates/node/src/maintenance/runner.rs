//! Maintenance rounds of one process.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::rc;
use std::sync;
use std::time;

use futures_util::future;
use redwing_membership::{MemberRecord, member};
use redwing_model::vm::VmPhase;
use redwing_model::{FleetDeclaration, NodeIncarnation, VmId};
use redwing_planner::plan::{FleetPlan, plan};
use redwing_planner::step::{PlanStep, PlatformCall, RowReference};
use redwing_planner::{FleetRows, PlanTime, PlannerSettings, ProfileTargets};
use redwing_provider::builder::{TransactionBuilder, UnitFit};
use redwing_provider::table::CommitOutcome;
use redwing_provider::{Category, PlatformServices, Result, RowKey, TableRow, TableTransaction};
use tokio::sync::watch;

use crate::audit::{AuditDraft, AuditLog};
use crate::evacuation::EvacuationReceiver;
use crate::event;
use crate::maintenance::observe::{
    DemandMeter, ListTracker, ObservationInputs, SchedulerUsage, UsageReport, probe_vms,
};
use crate::maintenance::rows::{self, DrainAck};
use crate::maintenance::turn::TurnTracker;
use crate::maintenance::{MaintenanceState, SharedState};
use crate::snapshot::SnapshotReceiver;
use crate::stop::StopPhase;
use crate::table_cache::TableCache;

/// Largest number of platform calls in one round.
const MAX_CALLS_PER_ROUND: usize = 32;

/// Maintenance settings of one process.
#[derive(Clone, Debug)]
pub struct MaintenanceSettings {
    /// Settings of the planner.
    pub planner: PlannerSettings,
    /// Interval between rounds.
    pub interval: time::Duration,
    /// Age above which the VM list is stale.
    pub max_list_age: time::Duration,
    /// Timeout of the connection that probes an out-of-service VM.
    pub probe_timeout: time::Duration,
    /// Time for which a draining VM must be unused before its drain is confirmed;
    /// longer than a new fleet view takes to reach the scheduler.
    pub drain_confirm_delay: time::Duration,
    /// Delay per rank before a member acts on a step that is still due.
    pub turn_delay: time::Duration,
}

impl Default for MaintenanceSettings {
    fn default() -> Self {
        Self {
            planner: PlannerSettings::default(),
            interval: time::Duration::from_secs(1),
            max_list_age: time::Duration::from_secs(15),
            probe_timeout: time::Duration::from_millis(300),
            drain_confirm_delay: time::Duration::from_secs(2),
            turn_delay: time::Duration::from_secs(3),
        }
    }
}

/// Result of one maintenance round.
#[derive(Clone, Debug, Default)]
pub struct RoundReport {
    /// Steps that were committed.
    pub committed: Vec<PlanStep>,
    /// Steps that the table rejected because a row had changed since it was read.
    pub conflicts: usize,
    /// Steps whose commit has an unknown outcome.
    pub unknown: usize,
    /// Calls that the platform accepted.
    pub calls: usize,
}

/// Runs the maintenance rounds of one process.
pub struct MaintenanceRunner {
    settings: MaintenanceSettings,
    services: PlatformServices,
    usage: rc::Rc<dyn SchedulerUsage>,
    incarnation: NodeIncarnation,
    state: SharedState,
    fleet_caches: [TableCache; 3],
    drain_confirmations: TableCache,
    members: TableCache,
    vm_list: ListTracker,
    demand_meter: DemandMeter,
    accepted_operations: BTreeSet<String>,
    unused_since: BTreeMap<VmId, (u64, PlanTime)>,
    turns: TurnTracker,
    audit: Option<AuditLog>,
    evacuations: Option<EvacuationReceiver>,
}

impl MaintenanceRunner {
    /// Creates the runner of the registered process `incarnation`.
    pub fn new(
        settings: MaintenanceSettings,
        services: PlatformServices,
        usage: rc::Rc<dyn SchedulerUsage>,
        incarnation: NodeIncarnation,
    ) -> Self {
        let state = MaintenanceState {
            settings: settings.planner.clone(),
            ..MaintenanceState::default()
        };
        let prefixes = [rows::VM_PREFIX, rows::POOL_PREFIX, rows::ROLLOUT_PREFIX];
        let window = ProfileTargets::of(Default::default()).demand_window;
        Self {
            settings,
            services,
            usage,
            incarnation,
            state: rc::Rc::new(RefCell::new(state)),
            fleet_caches: prefixes.map(TableCache::new),
            drain_confirmations: TableCache::new(rows::DRAIN_PREFIX),
            members: TableCache::new(member::MEMBER_PREFIX),
            vm_list: ListTracker::default(),
            demand_meter: DemandMeter::new(window),
            accepted_operations: BTreeSet::new(),
            unused_since: BTreeMap::new(),
            turns: TurnTracker::default(),
            audit: None,
            evacuations: None,
        }
    }

    /// Records each change in the audit trail.
    pub fn with_audit(mut self, audit: AuditLog) -> Self {
        self.audit = Some(audit);
        self
    }

    /// Plans around the evacuations in force.
    pub fn with_evacuations(mut self, evacuations: EvacuationReceiver) -> Self {
        self.evacuations = Some(evacuations);
        self
    }

    /// Returns the state shared with the operator API.
    pub fn state(&self) -> SharedState {
        rc::Rc::clone(&self.state)
    }

    /// Runs rounds until `stop` reaches [`StopPhase::Ended`].
    pub async fn run(mut self, snapshots: SnapshotReceiver, mut stop: watch::Receiver<StopPhase>) {
        let mut ticks = tokio::time::interval(self.settings.interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                ended = stop.wait_for(|phase| *phase == StopPhase::Ended) => {
                    drop(ended);
                    return;
                }
            }
            let snapshot = sync::Arc::clone(&snapshots.borrow());
            if snapshot.version == 0 {
                continue;
            }
            let now = wall_clock();
            let declaration = &snapshot.declaration;
            if let Err(error) = self.round(now, snapshot.version, declaration).await {
                log_event!(
                    warn,
                    event::MAINTENANCE_ROUND_FAILED,
                    "{error}; the next round retries"
                );
            }
        }
    }

    /// Runs one round: reads the state, computes the plan and executes it.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be read; no step is executed then.
    pub async fn round(
        &mut self,
        now: PlanTime,
        config_version: u64,
        declaration: &sync::Arc<FleetDeclaration>,
    ) -> Result<RoundReport> {
        self.read_state(now, config_version, declaration).await?;
        let plan = self.compute_plan(now);
        Ok(self.execute(now, plan).await)
    }

    /// Refreshes the state and confirms the drains that are complete at this process.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be read.
    pub async fn read_state(
        &mut self,
        now: PlanTime,
        config_version: u64,
        declaration: &sync::Arc<FleetDeclaration>,
    ) -> Result<()> {
        self.apply_configuration(config_version, declaration);
        let table = rc::Rc::clone(&self.services.table);
        for cache in &mut self.fleet_caches {
            for row in cache.refresh(table.as_ref()).await? {
                if !install(&self.state, &row) {
                    let key = row.key.as_str();
                    log_event!(
                        warn,
                        event::MAINTENANCE_ROW_MALFORMED,
                        "row {key} is malformed; its last valid content stays in use"
                    );
                }
            }
        }
        self.drain_confirmations.refresh(table.as_ref()).await?;
        self.members.refresh(table.as_ref()).await?;
        // If the list cannot be read, the last one ages until `list_recent` turns false.
        let list = self.services.directory.list().await;
        let rows = rc::Rc::clone(&self.state.borrow().rows);
        if let Ok(list) = &list {
            self.vm_list.update(now, list, &rows);
        }
        let usage = self.usage.usage().await.unwrap_or_default();
        self.demand_meter.sample(now, &usage.classes);
        let responding = probe_vms(&rows, self.settings.probe_timeout).await;
        self.confirm_drains(now, &rows, &usage).await;
        self.observe(now, &rows, &usage, &responding);
        Ok(())
    }

    /// Computes the plan for the state last read.
    pub fn compute_plan(&self, now: PlanTime) -> FleetPlan {
        plan(now, &self.settings.planner, &self.state.borrow().view())
    }

    /// Commits the steps of a plan and makes its platform calls, except those that
    /// members of lower rank still have time to execute.
    pub async fn execute(&mut self, now: PlanTime, plan: FleetPlan) -> RoundReport {
        let wait = self.settings.turn_delay * self.rank();
        let mut report = RoundReport::default();
        let due_pools: BTreeSet<String> = plan
            .steps
            .iter()
            .map(|step| step.pool.to_string())
            .collect();
        let due_operations: BTreeSet<&str> = plan.calls.iter().map(operation).collect();
        self.turns
            .retain(|key| due_pools.contains(key) || due_operations.contains(key));
        for step in plan.steps {
            let version = self.pool_version(&step);
            let key = step.pool.to_string();
            if self.turns.is_turn(now, &key, version, wait) {
                self.commit(step, &mut report).await;
            }
        }
        let calls = plan.calls.iter();
        let mut due_calls = Vec::new();
        for call in calls {
            let key = operation(call);
            if !self.accepted_operations.contains(key) && self.turns.is_turn(now, key, 0, wait) {
                due_calls.push(call);
            }
        }
        due_calls.truncate(MAX_CALLS_PER_ROUND);
        report.calls = self.call(&due_calls).await;
        report
    }

    fn apply_configuration(&mut self, version: u64, declaration: &sync::Arc<FleetDeclaration>) {
        if declaration.profile != self.state.borrow().declaration.profile {
            // The profile sets the demand window; the estimate restarts with the new one.
            self.demand_meter =
                DemandMeter::new(ProfileTargets::of(declaration.profile).demand_window);
        }
        let state = &mut *self.state.borrow_mut();
        state.config_version = version;
        state.declaration = sync::Arc::clone(declaration);
        if let Some(evacuations) = &self.evacuations {
            state.follow(evacuations);
        }
    }

    /// Returns the rank of this process among the members, in the order of names.
    fn rank(&self) -> u32 {
        let member_key = RowKey::new(member::member_key(&self.incarnation.node));
        let before = self.members.rows().filter(|row| row.key < member_key);
        before.count() as u32
    }

    fn pool_version(&self, step: &PlanStep) -> u64 {
        let state = self.state.borrow();
        let row = RowReference::Pool(step.pool.clone());
        state.rows.version(&row).unwrap_or(0)
    }

    async fn commit(&self, step: PlanStep, report: &mut RoundReport) {
        let Ok(transaction) = rows::transaction(&step.commit) else {
            return;
        };
        match self.services.table.commit(&transaction).await {
            Ok(CommitOutcome::Committed(_)) => {
                self.record_step(&step);
                report.committed.push(step);
            }
            Ok(CommitOutcome::Conflict(_)) => report.conflicts += 1,
            // The next round reads the table and finds out whether it took effect.
            Err(error) if error.classify() == Category::Unknown => report.unknown += 1,
            Err(error) => {
                log_event!(
                    warn,
                    event::MAINTENANCE_STEP_FAILED,
                    "step not committed: {error}; the next round plans again"
                );
            }
        }
    }

    /// Logs the changes of a committed step and records them in the audit trail.
    fn record_step(&self, step: &PlanStep) {
        let pool = &step.pool;
        for change in &step.changes {
            log_event!(info, event::MAINTENANCE_STEP, "pool {pool}: {change:?}");
            if let Some(audit) = &self.audit {
                let subject = match change.vm() {
                    Some(vm) => format!("vm/{vm}"),
                    None => format!("pool/{pool}"),
                };
                let reason = format!("pool {pool}: {change:?}");
                audit.record(AuditDraft::decision(change.action(), subject, reason));
            }
        }
    }

    async fn call(&mut self, calls: &[&PlatformCall]) -> usize {
        let control = &self.services.control;
        let results = calls.iter().map(|call| async move {
            let result = match call {
                PlatformCall::Reboot { vm, operation } => control.reboot(vm, operation).await,
                PlatformCall::Checkpoint { vm, operation } => {
                    control.checkpoint(vm, operation).await
                }
            };
            (operation(call), result)
        });
        let results = future::join_all(results).await;
        let mut accepted = 0;
        for (operation, result) in results {
            match result {
                Ok(()) => {
                    accepted += 1;
                    self.accepted_operations.insert(operation.to_owned());
                }
                Err(error) => {
                    log_event!(
                        warn,
                        event::MAINTENANCE_CALL_FAILED,
                        "operation {operation} not confirmed: {error}; the next round retries"
                    );
                }
            }
        }
        accepted
    }

    /// Writes a confirmation for each draining VM that this process no longer uses.
    async fn confirm_drains(&mut self, now: PlanTime, rows: &FleetRows, usage: &UsageReport) {
        let limits = self.services.table.limits();
        let new_builder = || TransactionBuilder::new(limits, TableTransaction::default());
        let mut builder = new_builder();
        let mut unused_since = BTreeMap::new();
        for (vm, row) in &rows.vms {
            let draining = matches!(row.value.phase, VmPhase::Draining | VmPhase::Moving);
            if !draining || !usage.unused.contains(vm) {
                continue;
            }
            let revision = row.value.revision;
            let earlier = self.unused_since.get(vm);
            let earlier = earlier.filter(|(earlier, _)| *earlier == revision);
            let since = earlier.map_or(now, |(_, since)| *since);
            unused_since.insert(vm.clone(), (revision, since));
            if now.saturating_since(since) < self.settings.drain_confirm_delay {
                continue;
            }
            let ack = DrainAck {
                incarnation: self.incarnation.clone(),
                revision,
            };
            let confirmation = self.confirmation(vm, &ack);
            if builder.add(&confirmation) == UnitFit::Full {
                let full = mem::replace(&mut builder, new_builder());
                self.commit_confirmations(full.finish()).await;
                builder.add(&confirmation);
            }
        }
        self.unused_since = unused_since;
        self.commit_confirmations(builder.finish()).await;
    }

    async fn commit_confirmations(&self, transaction: TableTransaction) {
        if !transaction.writes().is_empty()
            && let Err(error) = self.services.table.commit(&transaction).await
        {
            log_event!(
                warn,
                event::MAINTENANCE_STEP_FAILED,
                "drain confirmations not written: {error}; the next round retries"
            );
        }
    }

    /// Returns the transaction that writes a confirmation, empty if it is stored.
    fn confirmation(&self, vm: &VmId, ack: &DrainAck) -> TableTransaction {
        let transaction = TableTransaction::default();
        let row = RowReference::DrainAck {
            vm: vm.clone(),
            node: self.incarnation.node.clone(),
        };
        let stored = self.drain_confirmations.row(&row.key());
        let stored = stored.and_then(|row| parse_ack(row.value.as_deref()?));
        match serde_json::to_string(ack) {
            Ok(value) if stored.as_ref() != Some(ack) => {
                transaction.put(RowKey::new(row.key()), value)
            }
            _ => transaction,
        }
    }

    fn observe(
        &mut self,
        now: PlanTime,
        rows: &FleetRows,
        usage: &UsageReport,
        responding: &BTreeSet<VmId>,
    ) {
        let inputs = ObservationInputs {
            now,
            rows,
            tracker: &self.vm_list,
            usage,
            responding,
            accepted_operations: &self.accepted_operations,
        };
        let mut observations = inputs.observe();
        let members = self.member_incarnations();
        let mut confirmed: BTreeMap<VmId, BTreeSet<NodeIncarnation>> = BTreeMap::new();
        for row in self.drain_confirmations.rows() {
            let ack = row.value.as_deref().and_then(parse_ack);
            let (Some(vm), Some(ack)) = (rows::confirmed_vm(&row.key), ack) else {
                continue;
            };
            let Some(observation) = observations.get_mut(&vm) else {
                continue;
            };
            observation
                .acknowledged_by
                .push(ack.incarnation.node.clone());
            let revision = rows.vms.get(&vm).map(|row| row.value.revision);
            if revision == Some(ack.revision) {
                confirmed.entry(vm).or_default().insert(ack.incarnation);
            }
        }
        for (vm, nodes) in confirmed {
            if let Some(observation) = observations.get_mut(&vm) {
                observation.drained = !members.is_empty() && members.is_subset(&nodes);
            }
        }
        let state = &mut *self.state.borrow_mut();
        state.observations = observations;
        state.unassigned = self.vm_list.unassigned(rows);
        state.demand = self.demand_meter.sustained();
        state.list_recent = self.vm_list.is_recent(now, self.settings.max_list_age);
    }

    fn member_incarnations(&self) -> BTreeSet<NodeIncarnation> {
        let values = self.members.rows().filter_map(|row| row.value.as_deref());
        let records = values.filter_map(|text| serde_json::from_str::<MemberRecord>(text).ok());
        records.map(|record| record.incarnation).collect()
    }
}

/// Returns the wall-clock time, the time base of timestamps in rows.
pub fn wall_clock() -> PlanTime {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    PlanTime::from_millis(since_epoch.unwrap_or_default().as_millis() as u64)
}

fn install(state: &SharedState, row: &TableRow) -> bool {
    let state = &mut *state.borrow_mut();
    rows::install(rc::Rc::make_mut(&mut state.rows), row)
}

fn operation(call: &PlatformCall) -> &str {
    match call {
        PlatformCall::Reboot { operation, .. } | PlatformCall::Checkpoint { operation, .. } => {
            operation
        }
    }
}

fn parse_ack(text: &str) -> Option<DrainAck> {
    serde_json::from_str(text).ok()
}
