//! Rounds of maintenance.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
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
use redwing_provider::table::CommitOutcome;
use redwing_provider::{Category, PlatformServices, Result, RowKey, TableRow, TableTransaction};
use tokio::sync::watch;

use crate::audit::{AuditDraft, AuditLog};
use crate::event;
use crate::maintenance::observe::{
    DemandMeter, ListWatch, ObservationInputs, SchedulerUsage, UsageReport, probe,
};
use crate::maintenance::pace::TurnPacer;
use crate::maintenance::rows::{self, DrainAck};
use crate::maintenance::{MaintenanceState, SharedState};
use crate::snapshot::SnapshotReceiver;
use crate::stop::StopPhase;
use crate::table_cache::TableCache;

/// Largest number of calls to the platform in one round.
const MAX_CALLS: usize = 32;

/// Settings of maintenance at one process.
#[derive(Clone, Debug)]
pub struct MaintenanceSettings {
    /// Settings of the planner.
    pub planner: PlannerSettings,
    /// Time between two rounds.
    pub interval: time::Duration,
    /// Age from which the VM list counts as stale.
    pub list_age: time::Duration,
    /// Time within which a VM that is back must take a connection.
    pub probe_timeout: time::Duration,
    /// Time for which a draining VM must be unused before that is confirmed;
    /// longer than a view of the fleet takes to reach the scheduler.
    pub quiet_time: time::Duration,
    /// Time after which the next member acts on what is still due.
    pub turn_delay: time::Duration,
}

impl Default for MaintenanceSettings {
    fn default() -> Self {
        Self {
            planner: PlannerSettings::default(),
            interval: time::Duration::from_secs(1),
            list_age: time::Duration::from_secs(15),
            probe_timeout: time::Duration::from_millis(300),
            quiet_time: time::Duration::from_secs(2),
            turn_delay: time::Duration::from_secs(3),
        }
    }
}

/// What one round did.
#[derive(Clone, Debug, Default)]
pub struct RoundReport {
    /// Steps that took effect.
    pub committed: Vec<PlanStep>,
    /// Steps that the table rejected because a row had changed.
    pub conflicts: usize,
    /// Steps whose outcome is not known.
    pub unknown: usize,
    /// Calls that the platform confirmed.
    pub calls: usize,
}

/// Carries out maintenance at one process.
pub struct MaintenanceRunner {
    settings: MaintenanceSettings,
    services: PlatformServices,
    usage: rc::Rc<dyn SchedulerUsage>,
    own: NodeIncarnation,
    state: SharedState,
    mirrors: [TableCache; 3],
    drains: TableCache,
    members: TableCache,
    watch: ListWatch,
    meter: DemandMeter,
    accepted: BTreeSet<String>,
    quiet_since: BTreeMap<VmId, (u64, PlanTime)>,
    pacer: TurnPacer,
    audit: Option<AuditLog>,
}

impl MaintenanceRunner {
    /// Creates the maintenance of the registered process `own`.
    pub fn new(
        settings: MaintenanceSettings,
        services: PlatformServices,
        usage: rc::Rc<dyn SchedulerUsage>,
        own: NodeIncarnation,
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
            own,
            state: rc::Rc::new(RefCell::new(state)),
            mirrors: prefixes.map(TableCache::new),
            drains: TableCache::new(rows::DRAIN_PREFIX),
            members: TableCache::new(member::MEMBER_PREFIX),
            watch: ListWatch::default(),
            meter: DemandMeter::new(window),
            accepted: BTreeSet::new(),
            quiet_since: BTreeMap::new(),
            pacer: TurnPacer::default(),
            audit: None,
        }
    }

    /// Notes each change in the audit trail.
    pub fn with_audit(mut self, audit: AuditLog) -> Self {
        self.audit = Some(audit);
        self
    }

    /// Returns the state that the operator API reads.
    pub fn state(&self) -> SharedState {
        rc::Rc::clone(&self.state)
    }

    /// Runs rounds until `stop` shows the end of the process.
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
                log_event!(warn, event::MAINTENANCE_ROUND_FAILED, "{error}");
            }
        }
    }

    /// Reads, plans and carries out one round.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be read; nothing was done then.
    pub async fn round(
        &mut self,
        now: PlanTime,
        config_version: u64,
        declaration: &sync::Arc<FleetDeclaration>,
    ) -> Result<RoundReport> {
        self.read(now, config_version, declaration).await?;
        let plan = self.decide(now);
        Ok(self.carry_out(now, plan).await)
    }

    /// Brings the state up to date and confirms drains that are complete here.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be read.
    pub async fn read(
        &mut self,
        now: PlanTime,
        config_version: u64,
        declaration: &sync::Arc<FleetDeclaration>,
    ) -> Result<()> {
        self.adopt_configuration(config_version, declaration);
        let table = rc::Rc::clone(&self.services.table);
        for mirror in &mut self.mirrors {
            for row in mirror.refresh(table.as_ref()).await? {
                if !install(&self.state, &row) {
                    let key = row.key.as_str();
                    log_event!(warn, event::MAINTENANCE_ROW_MALFORMED, "{key} is malformed");
                }
            }
        }
        self.drains.refresh(table.as_ref()).await?;
        self.members.refresh(table.as_ref()).await?;
        // A list that cannot be read grows old; the planner sees that.
        let list = self.services.directory.list().await;
        let known = rc::Rc::clone(&self.state.borrow().rows);
        if let Ok(list) = &list {
            self.watch.take(now, list, &known);
        }
        let usage = self.usage.usage().await.unwrap_or_default();
        self.meter.sample(now, &usage.classes);
        let answering = probe(&known, self.settings.probe_timeout).await;
        self.confirm_drains(now, &known, &usage).await;
        self.observe(now, &known, &usage, &answering);
        Ok(())
    }

    /// Returns the plan for the state last read.
    pub fn decide(&self, now: PlanTime) -> FleetPlan {
        plan(now, &self.settings.planner, &self.state.borrow().view())
    }

    /// Commits the steps of a plan and makes its calls, as far as it is the
    /// turn of this process.
    pub async fn carry_out(&mut self, now: PlanTime, plan: FleetPlan) -> RoundReport {
        let wait = self.settings.turn_delay * self.rank();
        let mut report = RoundReport::default();
        let due: BTreeSet<String> = plan
            .steps
            .iter()
            .map(|step| step.pool.to_string())
            .collect();
        let called: BTreeSet<&str> = plan.calls.iter().map(operation).collect();
        self.pacer
            .retain(|key| due.contains(key) || called.contains(key));
        for step in plan.steps {
            let version = self.pool_version(&step);
            let key = step.pool.to_string();
            if self.pacer.is_turn(now, &key, version, wait) {
                self.commit(step, &mut report).await;
            }
        }
        let calls = plan.calls.iter();
        let mut mine = Vec::new();
        for call in calls {
            let key = operation(call);
            if !self.accepted.contains(key) && self.pacer.is_turn(now, key, 0, wait) {
                mine.push(call);
            }
        }
        mine.truncate(MAX_CALLS);
        report.calls = self.call(&mine).await;
        report
    }

    fn adopt_configuration(&mut self, version: u64, declaration: &sync::Arc<FleetDeclaration>) {
        if declaration.profile != self.state.borrow().declaration.profile {
            // Another window asks for another estimate, begun anew.
            self.meter = DemandMeter::new(ProfileTargets::of(declaration.profile).demand_window);
        }
        let state = &mut *self.state.borrow_mut();
        state.config_version = version;
        state.declaration = sync::Arc::clone(declaration);
    }

    /// Returns the position of this process among the members.
    fn rank(&self) -> u32 {
        let own = RowKey::new(member::member_key(&self.own.node));
        let before = self.members.rows().filter(|row| row.key < own);
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
                self.note(&step);
                report.committed.push(step);
            }
            Ok(CommitOutcome::Conflict(_)) => report.conflicts += 1,
            // The next round reads whether it took effect.
            Err(error) if error.classify() == Category::Unknown => report.unknown += 1,
            Err(error) => {
                log_event!(warn, event::MAINTENANCE_STEP_FAILED, "{error}");
            }
        }
    }

    /// Logs the changes of a step and notes them in the audit trail.
    fn note(&self, step: &PlanStep) {
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
        let mut confirmed = 0;
        for (operation, result) in results {
            match result {
                Ok(()) => {
                    confirmed += 1;
                    self.accepted.insert(operation.to_owned());
                }
                Err(error) => {
                    log_event!(warn, event::MAINTENANCE_CALL_FAILED, "{operation}: {error}");
                }
            }
        }
        confirmed
    }

    /// Writes a confirmation for each draining VM that is unused here.
    async fn confirm_drains(&mut self, now: PlanTime, rows: &FleetRows, usage: &UsageReport) {
        let mut transaction = TableTransaction::default();
        let mut quiet_since = BTreeMap::new();
        for (vm, row) in &rows.vms {
            let draining = matches!(row.value.phase, VmPhase::Draining | VmPhase::Moving);
            if !draining || !usage.quiet.contains(vm) {
                continue;
            }
            let revision = row.value.revision;
            let known = self.quiet_since.get(vm);
            let known = known.filter(|(known, _)| *known == revision);
            let since = known.map_or(now, |(_, since)| *since);
            quiet_since.insert(vm.clone(), (revision, since));
            if now.saturating_since(since) < self.settings.quiet_time {
                continue;
            }
            let ack = DrainAck {
                incarnation: self.own.clone(),
                revision,
            };
            transaction = self.acknowledge(transaction, vm, &ack);
        }
        self.quiet_since = quiet_since;
        if !transaction.writes().is_empty()
            && let Err(error) = self.services.table.commit(&transaction).await
        {
            log_event!(warn, event::MAINTENANCE_STEP_FAILED, "{error}");
        }
    }

    /// Adds the confirmation to `transaction` unless the table has it.
    fn acknowledge(
        &self,
        transaction: TableTransaction,
        vm: &VmId,
        ack: &DrainAck,
    ) -> TableTransaction {
        let row = RowReference::DrainAck {
            vm: vm.clone(),
            node: self.own.node.clone(),
        };
        let known = self.drains.row(&row.key());
        let known = known.and_then(|row| parse_ack(row.value.as_deref()?));
        match serde_json::to_string(ack) {
            Ok(value) if known.as_ref() != Some(ack) => {
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
        answering: &BTreeSet<VmId>,
    ) {
        let inputs = ObservationInputs {
            now,
            rows,
            watch: &self.watch,
            usage,
            answering,
            accepted: &self.accepted,
        };
        let mut observations = inputs.observe();
        let members = self.member_incarnations();
        let mut confirmed: BTreeMap<VmId, BTreeSet<NodeIncarnation>> = BTreeMap::new();
        for row in self.drains.rows() {
            let ack = row.value.as_deref().and_then(parse_ack);
            let (Some(vm), Some(ack)) = (rows::acknowledged_vm(&row.key), ack) else {
                continue;
            };
            let Some(seen) = observations.get_mut(&vm) else {
                continue;
            };
            seen.acknowledged_by.push(ack.incarnation.node.clone());
            let revision = rows.vms.get(&vm).map(|row| row.value.revision);
            if revision == Some(ack.revision) {
                confirmed.entry(vm).or_default().insert(ack.incarnation);
            }
        }
        for (vm, nodes) in confirmed {
            if let Some(seen) = observations.get_mut(&vm) {
                seen.drained = !members.is_empty() && members.is_subset(&nodes);
            }
        }
        let state = &mut *self.state.borrow_mut();
        state.observations = observations;
        state.unassigned = self.watch.unassigned(rows);
        state.demand = self.meter.sustained();
        state.list_recent = self.watch.is_recent(now, self.settings.list_age);
    }

    fn member_incarnations(&self) -> BTreeSet<NodeIncarnation> {
        let values = self.members.rows().filter_map(|row| row.value.as_deref());
        let records = values.filter_map(|text| serde_json::from_str::<MemberRecord>(text).ok());
        records.map(|record| record.incarnation).collect()
    }
}

/// Returns the time as other processes read it in rows.
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
