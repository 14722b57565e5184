//! Stand-in platform in memory.

use std::collections::{BTreeMap, HashSet};
use std::future;
use std::sync;
use std::time;

use redwing_model::VmId;
use redwing_provider::table::{
    CommitOutcome, PageRequest, TablePage, TableRow, TableTransaction, TableView,
};
use redwing_provider::{
    Error, ListedStatus, ListedVm, LocalFuture, ObjectStore, PlatformServices, Result, RowKey,
    TableLimits, TableStore, VmControl, VmDirectory,
};
use tokio::time as timer;

use crate::fault::FaultPlan;

/// Name of the stand-in in errors.
const PEER: &str = "stand-in platform";

/// Limits of the table, and timing of the VM list and of reboots.
#[derive(Clone, Debug)]
pub struct MemorySettings {
    /// Age of the VM list that clients see.
    pub list_lag: time::Duration,
    /// Time between the start of a reboot and the moment when the VM goes down.
    pub leave_time: time::Duration,
    /// Time that a rebooting VM is down.
    pub reboot_time: time::Duration,
    /// Limits of the table.
    pub table_limits: TableLimits,
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self {
            list_lag: time::Duration::from_secs(2),
            leave_time: time::Duration::from_secs(1),
            reboot_time: time::Duration::from_secs(5),
            table_limits: TableLimits::default(),
        }
    }
}

/// Stand-in platform in memory: table, objects, VM list and VM control.
///
/// Clones share the state and the faults. [`MemoryPlatform::new_client`] returns
/// a handle that shares only the state, so that faults can be set for one client.
///
/// # Examples
///
/// ```
/// let platform = redwing_standin::MemoryPlatform::default();
/// let cut_off = platform.new_client();
/// cut_off.set_faults(|plan| plan.table_down = true);
/// assert!(!platform.faults().table_down);
/// ```
#[derive(Clone, Default)]
pub struct MemoryPlatform {
    state: sync::Arc<sync::Mutex<PlatformState>>,
    faults: sync::Arc<sync::Mutex<FaultPlan>>,
}

#[derive(Default)]
struct PlatformState {
    settings: MemorySettings,
    rows: BTreeMap<RowKey, TableRow>,
    commits: u64,
    delayed_commits: Vec<TableTransaction>,
    objects: BTreeMap<String, Vec<u8>>,
    vms: BTreeMap<VmId, VmHistory>,
    operations: HashSet<String>,
    clock: StandinClock,
}

/// Status changes of a VM over time; the status is `None` while it is down.
struct VmHistory {
    vm: ListedVm,
    changes: Vec<(time::Duration, Option<ListedStatus>)>,
}

/// Time since the platform was created; tests may advance it.
struct StandinClock {
    start: timer::Instant,
    advanced: time::Duration,
}

impl Default for StandinClock {
    fn default() -> Self {
        Self {
            start: timer::Instant::now(),
            advanced: time::Duration::ZERO,
        }
    }
}

impl StandinClock {
    fn now(&self) -> time::Duration {
        self.start.elapsed() + self.advanced
    }
}

impl VmHistory {
    fn status_at(&self, time: time::Duration) -> Option<ListedStatus> {
        let last_change = self.changes.iter().rev().find(|change| change.0 <= time);
        last_change.and_then(|change| change.1)
    }
}

impl MemoryPlatform {
    /// Creates an empty platform.
    pub fn new(settings: MemorySettings) -> Self {
        let platform = Self::default();
        platform.lock().settings = settings;
        platform
    }

    /// Returns a handle with the same state and separate faults.
    pub fn new_client(&self) -> Self {
        Self {
            state: self.state.clone(),
            faults: sync::Arc::default(),
        }
    }

    /// Returns the platform as the services that a process uses.
    pub fn services(&self) -> PlatformServices {
        PlatformServices {
            table: std::rc::Rc::new(self.clone()),
            objects: std::rc::Rc::new(self.clone()),
            directory: std::rc::Rc::new(self.clone()),
            control: std::rc::Rc::new(self.clone()),
        }
    }

    /// Returns the faults of this handle.
    pub fn faults(&self) -> FaultPlan {
        self.lock_faults().clone()
    }

    /// Returns whether the VM is live or leaving now, regardless of the list's
    /// lag.
    pub fn is_up(&self, vm: &VmId) -> bool {
        let state = self.lock();
        let now = state.clock.now();
        let history = state.vms.get(vm);
        history.is_some_and(|history| history.status_at(now).is_some())
    }

    /// Returns the number of distinct VM operations that were started.
    pub fn operation_count(&self) -> usize {
        self.lock().operations.len()
    }

    /// Changes the faults of this handle.
    pub fn set_faults(&self, change: impl FnOnce(&mut FaultPlan)) {
        change(&mut self.lock_faults());
    }

    /// Advances the clock of the platform.
    pub fn advance(&self, duration: time::Duration) {
        self.lock().clock.advanced += duration;
    }

    /// Adds a VM, or replaces its entry and sets its status from now on.
    pub fn put_vm(&self, vm: ListedVm) {
        let state = &mut *self.lock();
        let change = (state.clock.now(), Some(vm.status));
        let name = vm.identity.vm.clone();
        let history = state.vms.entry(name).or_insert_with(|| VmHistory {
            vm: vm.clone(),
            changes: Vec::new(),
        });
        history.vm = vm;
        history.changes.push(change);
    }

    /// Removes a VM at once, as a failure does.
    pub fn remove_vm(&self, vm: &VmId) {
        let state = &mut *self.lock();
        let now = state.clock.now();
        if let Some(history) = state.vms.get_mut(vm) {
            history.changes.push((now, None));
        }
    }

    /// Applies all delayed commits to the table.
    pub fn deliver_late_requests(&self) {
        let state = &mut *self.lock();
        for transaction in std::mem::take(&mut state.delayed_commits) {
            state.apply(&transaction);
        }
    }

    /// Advances the clock by the list's lag, so that all changes of the VM list
    /// are visible.
    pub fn skip_list_lag(&self) {
        let lag = self.lock().settings.list_lag;
        self.advance(lag);
    }

    fn lock(&self) -> sync::MutexGuard<'_, PlatformState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock_faults(&self) -> sync::MutexGuard<'_, FaultPlan> {
        self.faults
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Waits for half the duration of a table call.
    async fn wait_half_delay(&self) {
        let millis = self.lock_faults().table_delay_millis;
        if millis > 0 {
            timer::sleep(time::Duration::from_millis(millis) / 2).await;
        }
    }

    /// Fails if the table is down; never returns if it is silent.
    async fn reach_table(&self, operation: &'static str) -> Result<()> {
        let faults = self.faults();
        if faults.table_silent {
            return future::pending().await;
        }
        fail_if_down(faults.table_down, operation)
    }

    async fn read_table(
        &self,
        operation: &'static str,
        prefix: &str,
        is_selected: impl Fn(&TableRow) -> bool,
    ) -> Result<TableView> {
        self.reach_table(operation).await?;
        self.wait_half_delay().await;
        let view = self.lock().read(prefix, is_selected);
        self.wait_half_delay().await;
        Ok(view)
    }

    fn start_operation(
        &self,
        operation: &'static str,
        vm: &VmId,
        operation_id: &str,
    ) -> Result<bool> {
        fail_if_down(self.lock_faults().directory_down, operation)?;
        let state = &mut *self.lock();
        if !state.vms.contains_key(vm) {
            return Err(Error::refused(operation, PEER, format!("no VM {vm}")));
        }
        Ok(state
            .operations
            .insert(format!("{operation}/{operation_id}")))
    }
}

impl PlatformState {
    fn read(&self, prefix: &str, is_selected: impl Fn(&TableRow) -> bool) -> TableView {
        // The prefix may select all parts, so only the text before the part bounds
        // the range of keys.
        let start = prefix.split('@').next().unwrap_or(prefix);
        let from_prefix = self.rows.range(RowKey::new(start)..);
        let rows = from_prefix
            .map(|(_, row)| row)
            .take_while(|row| row.key.as_str().starts_with(start))
            .filter(|row| row.key.is_under(prefix) && is_selected(row))
            .cloned()
            .collect();
        let cursor = self.commits;
        TableView {
            rows,
            cursor,
            table_ms: Some(self.clock.now().as_millis() as u64),
        }
    }

    fn apply(&mut self, transaction: &TableTransaction) -> CommitOutcome {
        let failed = self.failed_rows(transaction);
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        self.commits += 1;
        for write in transaction.writes() {
            let row = TableRow {
                key: write.key.clone(),
                version: self.commits,
                value: write.value.clone(),
            };
            self.rows.insert(write.key.clone(), row);
        }
        CommitOutcome::Committed(self.commits)
    }

    /// Returns the current rows whose conditions failed.
    fn failed_rows(&self, transaction: &TableTransaction) -> Vec<TableRow> {
        let mut failed = Vec::new();
        for condition in transaction.conditions() {
            let row = self.rows.get(&condition.key);
            let existing = row.filter(|row| row.value.is_some());
            if existing.map(|row| row.version) != condition.version {
                failed.push(row.cloned().unwrap_or_else(|| TableRow {
                    key: condition.key.clone(),
                    version: 0,
                    value: None,
                }));
            }
        }
        failed
    }

    fn reboot(&mut self, vm: &VmId) {
        let now = self.clock.now();
        let down_at = now + self.settings.leave_time;
        let up_at = down_at + self.settings.reboot_time;
        if let Some(history) = self.vms.get_mut(vm) {
            history.changes.push((now, Some(ListedStatus::Leaving)));
            history.changes.push((down_at, None));
            history.changes.push((up_at, Some(ListedStatus::Live)));
        }
    }

    fn listed_vms(&self) -> Vec<ListedVm> {
        let listed_at = self.clock.now().saturating_sub(self.settings.list_lag);
        let listed = self.vms.values().filter_map(|history| {
            let status = history.status_at(listed_at)?;
            let mut vm = history.vm.clone();
            vm.status = status;
            Some(vm)
        });
        listed.collect()
    }
}

impl TableStore for MemoryPlatform {
    fn limits(&self) -> TableLimits {
        self.lock().settings.table_limits
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalFuture<'a, Result<CommitOutcome>> {
        Box::pin(async move {
            self.reach_table("commit").await?;
            self.limits().check(transaction, PEER)?;
            self.wait_half_delay().await;
            if self.lock_faults().consume_lost_request() {
                return Err(Error::unknown("commit", PEER, "connection broken"));
            }
            if self.lock_faults().consume_late_request() {
                self.lock().delayed_commits.push(transaction.clone());
                return Err(Error::unknown("commit", PEER, "connection broken"));
            }
            let outcome = self.lock().apply(transaction);
            self.wait_half_delay().await;
            if self.lock_faults().consume_lost_reply() {
                return Err(Error::unknown("commit", PEER, "connection broken"));
            }
            Ok(outcome)
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(self.read_table("scan", prefix, |row| row.value.is_some()))
    }

    fn scan_page<'a>(&'a self, request: PageRequest<'a>) -> LocalFuture<'a, Result<TablePage>> {
        Box::pin(async move {
            let is_selected = |row: &TableRow| {
                row.value.is_some() && request.after.is_none_or(|last| row.key > *last)
            };
            let mut view = self.read_table("scan", request.prefix, is_selected).await?;
            let page_rows = self.limits().page_rows;
            let has_more = view.rows.len() > page_rows;
            view.rows.truncate(page_rows);
            request.progress.add(view.size());
            Ok(TablePage {
                rows: view.rows,
                cursor: view.cursor,
                table_ms: view.table_ms,
                has_more,
            })
        })
    }

    fn changes<'a>(&'a self, prefix: &'a str, cursor: u64) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(self.read_table("changes", prefix, move |row| row.version > cursor))
    }
}

impl ObjectStore for MemoryPlatform {
    fn put<'a>(&'a self, name: &'a str, content: &'a [u8]) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            fail_if_down(self.lock_faults().objects_down, "put object")?;
            let objects = &mut self.lock().objects;
            let existing = objects
                .entry(name.to_owned())
                .or_insert_with(|| content.to_vec());
            if existing.as_slice() == content {
                return Ok(());
            }
            let message = format!("{name} has other content");
            Err(Error::refused("put object", PEER, message))
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>>> {
        Box::pin(async move {
            fail_if_down(self.lock_faults().objects_down, "get object")?;
            Ok(self.lock().objects.get(name).cloned())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<String>>> {
        Box::pin(async move {
            fail_if_down(self.lock_faults().objects_down, "list objects")?;
            let state = self.lock();
            let names = state.objects.range(prefix.to_owned()..);
            let listed = names.map(|(name, _)| name.clone());
            Ok(listed.take_while(|name| name.starts_with(prefix)).collect())
        })
    }
}

impl VmDirectory for MemoryPlatform {
    fn list(&self) -> LocalFuture<'_, Result<Vec<ListedVm>>> {
        Box::pin(async move {
            fail_if_down(self.lock_faults().directory_down, "list VMs")?;
            Ok(self.lock().listed_vms())
        })
    }
}

impl VmControl for MemoryPlatform {
    fn reboot<'a>(&'a self, vm: &'a VmId, operation_id: &'a str) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            if self.start_operation("reboot", vm, operation_id)? {
                self.lock().reboot(vm);
            }
            Ok(())
        })
    }

    fn checkpoint<'a>(
        &'a self,
        vm: &'a VmId,
        operation_id: &'a str,
    ) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            self.start_operation("checkpoint", vm, operation_id)?;
            Ok(())
        })
    }
}

fn fail_if_down(is_down: bool, operation: &'static str) -> Result<()> {
    if is_down {
        return Err(Error::unavailable(operation, PEER, "the service is down"));
    }
    Ok(())
}
