//! Stand-in platform that lives in memory.

use std::collections::{BTreeMap, HashSet};
use std::sync;
use std::time;

use redwing_model::VmId;
use redwing_provider::table::{CommitOutcome, TableRow, TableTransaction, TableView};
use redwing_provider::{
    Error, ListedStatus, ListedVm, LocalFuture, ObjectStore, PlatformServices, Result, RowKey,
    TableStore, VmControl, VmDirectory,
};
use tokio::time as timer;

use crate::fault::FaultPlan;

/// Name of the stand-in in errors.
const PEER: &str = "stand-in platform";

/// How the stand-in platform times what it does to VMs.
#[derive(Clone, Debug)]
pub struct MemorySettings {
    /// Age of the VM list that clients see.
    pub list_lag: time::Duration,
    /// Time between the start of a reboot and the moment the VM is gone.
    pub leave_time: time::Duration,
    /// Time that a rebooting VM is gone.
    pub reboot_time: time::Duration,
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self {
            list_lag: time::Duration::from_secs(2),
            leave_time: time::Duration::from_secs(1),
            reboot_time: time::Duration::from_secs(5),
        }
    }
}

/// Stand-in platform in memory: table, objects, VM list and VM control.
///
/// Clones share the content and the faults. [`MemoryPlatform::view`] gives a
/// handle that shares the content only, so that one client can be cut off.
///
/// # Examples
///
/// ```
/// let platform = redwing_standin::MemoryPlatform::default();
/// let cut_off = platform.view();
/// cut_off.set_faults(|plan| plan.table_down = true);
/// assert!(!platform.faults().table_down);
/// ```
#[derive(Clone, Default)]
pub struct MemoryPlatform {
    content: sync::Arc<sync::Mutex<Content>>,
    faults: sync::Arc<sync::Mutex<FaultPlan>>,
}

#[derive(Default)]
struct Content {
    settings: MemorySettings,
    rows: BTreeMap<RowKey, TableRow>,
    commits: u64,
    late: Vec<TableTransaction>,
    objects: BTreeMap<String, Vec<u8>>,
    vms: BTreeMap<VmId, VmHistory>,
    operations: HashSet<String>,
    clock: StandinClock,
}

/// Status of a VM over time; `None` while it is gone.
struct VmHistory {
    vm: ListedVm,
    changes: Vec<(time::Duration, Option<ListedStatus>)>,
}

/// Time since the platform was created, which tests may set forward.
struct StandinClock {
    start: time::Instant,
    skipped: time::Duration,
}

impl Default for StandinClock {
    fn default() -> Self {
        Self {
            start: time::Instant::now(),
            skipped: time::Duration::ZERO,
        }
    }
}

impl StandinClock {
    fn now(&self) -> time::Duration {
        self.start.elapsed() + self.skipped
    }
}

impl VmHistory {
    fn status_at(&self, time: time::Duration) -> Option<ListedStatus> {
        let passed = self.changes.iter().rev().find(|change| change.0 <= time);
        passed.and_then(|change| change.1)
    }
}

impl MemoryPlatform {
    /// Creates an empty platform.
    pub fn new(settings: MemorySettings) -> Self {
        let platform = Self::default();
        platform.lock().settings = settings;
        platform
    }

    /// Returns a handle on the same content with faults of its own.
    pub fn view(&self) -> Self {
        Self {
            content: self.content.clone(),
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

    /// Returns whether the VM is live or leaving now, without the list's lag.
    pub fn is_up(&self, vm: &VmId) -> bool {
        let content = self.lock();
        let now = content.clock.now();
        let history = content.vms.get(vm);
        history.is_some_and(|history| history.status_at(now).is_some())
    }

    /// Returns the number of distinct operations on VMs that were started.
    pub fn operation_count(&self) -> usize {
        self.lock().operations.len()
    }

    /// Changes the faults of this handle.
    pub fn set_faults(&self, change: impl FnOnce(&mut FaultPlan)) {
        change(&mut self.lock_faults());
    }

    /// Sets the clock of the platform forward.
    pub fn advance(&self, duration: time::Duration) {
        self.lock().clock.skipped += duration;
    }

    /// Adds a VM, or changes what it is and its status from now on.
    pub fn put_vm(&self, vm: ListedVm) {
        let content = &mut *self.lock();
        let change = (content.clock.now(), Some(vm.status));
        let name = vm.identity.vm.clone();
        let history = content.vms.entry(name).or_insert_with(|| VmHistory {
            vm: vm.clone(),
            changes: Vec::new(),
        });
        history.vm = vm;
        history.changes.push(change);
    }

    /// Takes a VM away at once, as a failure does.
    pub fn remove_vm(&self, vm: &VmId) {
        let content = &mut *self.lock();
        let now = content.clock.now();
        if let Some(history) = content.vms.get_mut(vm) {
            history.changes.push((now, None));
        }
    }

    /// Lets all commits that were held up reach the table.
    pub fn deliver_late_requests(&self) {
        let content = &mut *self.lock();
        for transaction in std::mem::take(&mut content.late) {
            content.apply(&transaction);
        }
    }

    /// Makes a change of the VM list visible at once, whatever the lag.
    pub fn skip_list_lag(&self) {
        let lag = self.lock().settings.list_lag;
        self.advance(lag);
    }

    fn lock(&self) -> sync::MutexGuard<'_, Content> {
        self.content
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock_faults(&self) -> sync::MutexGuard<'_, FaultPlan> {
        self.faults
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Waits half the time that a call of the table takes.
    async fn pass_half_delay(&self) {
        let millis = self.lock_faults().table_delay_millis;
        if millis > 0 {
            timer::sleep(time::Duration::from_millis(millis) / 2).await;
        }
    }

    async fn read_table(
        &self,
        step: &'static str,
        prefix: &str,
        wanted: impl Fn(&TableRow) -> bool,
    ) -> Result<TableView> {
        fail_if(self.lock_faults().table_down, step)?;
        self.pass_half_delay().await;
        let view = self.lock().read(prefix, wanted);
        self.pass_half_delay().await;
        Ok(view)
    }

    fn start_operation(&self, step: &'static str, vm: &VmId, operation: &str) -> Result<bool> {
        fail_if(self.lock_faults().directory_down, step)?;
        let content = &mut *self.lock();
        if !content.vms.contains_key(vm) {
            return Err(Error::refused(step, PEER, format!("no VM {vm}")));
        }
        Ok(content.operations.insert(format!("{step}/{operation}")))
    }
}

impl Content {
    fn read(&self, prefix: &str, wanted: impl Fn(&TableRow) -> bool) -> TableView {
        // Up to the part, which may stand for all, keys are in order.
        let start = prefix.split('@').next().unwrap_or(prefix);
        let from_prefix = self.rows.range(RowKey::new(start)..);
        let rows = from_prefix
            .map(|(_, row)| row)
            .take_while(|row| row.key.as_str().starts_with(start))
            .filter(|row| row.key.is_under(prefix) && wanted(row))
            .cloned()
            .collect();
        let cursor = self.commits;
        TableView { rows, cursor }
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

    /// Returns the rows, as they are, whose conditions do not hold.
    fn failed_rows(&self, transaction: &TableTransaction) -> Vec<TableRow> {
        let mut failed = Vec::new();
        for condition in transaction.conditions() {
            let row = self.rows.get(&condition.key);
            let present = row.filter(|row| row.value.is_some());
            if present.map(|row| row.version) != condition.version {
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
        let gone = now + self.settings.leave_time;
        let back = gone + self.settings.reboot_time;
        if let Some(history) = self.vms.get_mut(vm) {
            history.changes.push((now, Some(ListedStatus::Leaving)));
            history.changes.push((gone, None));
            history.changes.push((back, Some(ListedStatus::Live)));
        }
    }

    fn listed_vms(&self) -> Vec<ListedVm> {
        let seen = self.clock.now().saturating_sub(self.settings.list_lag);
        let listed = self.vms.values().filter_map(|history| {
            let status = history.status_at(seen)?;
            let mut vm = history.vm.clone();
            vm.status = status;
            Some(vm)
        });
        listed.collect()
    }
}

impl TableStore for MemoryPlatform {
    fn commit<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalFuture<'a, Result<CommitOutcome>> {
        Box::pin(async move {
            fail_if(self.lock_faults().table_down, "commit")?;
            self.pass_half_delay().await;
            if self.lock_faults().take_lost_request() {
                return Err(Error::unknown("commit", PEER, "connection broken"));
            }
            if self.lock_faults().take_late_request() {
                self.lock().late.push(transaction.clone());
                return Err(Error::unknown("commit", PEER, "connection broken"));
            }
            let outcome = self.lock().apply(transaction);
            self.pass_half_delay().await;
            if self.lock_faults().take_lost_reply() {
                return Err(Error::unknown("commit", PEER, "connection broken"));
            }
            Ok(outcome)
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(self.read_table("scan", prefix, |row| row.value.is_some()))
    }

    fn changes<'a>(&'a self, prefix: &'a str, cursor: u64) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(self.read_table("changes", prefix, move |row| row.version > cursor))
    }
}

impl ObjectStore for MemoryPlatform {
    fn put<'a>(&'a self, name: &'a str, content: &'a [u8]) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            fail_if(self.lock_faults().objects_down, "put object")?;
            let objects = &mut self.lock().objects;
            let present = objects
                .entry(name.to_owned())
                .or_insert_with(|| content.to_vec());
            if present.as_slice() == content {
                return Ok(());
            }
            let message = format!("{name} has other content");
            Err(Error::refused("put object", PEER, message))
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>>> {
        Box::pin(async move {
            fail_if(self.lock_faults().objects_down, "get object")?;
            Ok(self.lock().objects.get(name).cloned())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<String>>> {
        Box::pin(async move {
            fail_if(self.lock_faults().objects_down, "list objects")?;
            let content = self.lock();
            let names = content.objects.range(prefix.to_owned()..);
            let listed = names.map(|(name, _)| name.clone());
            Ok(listed.take_while(|name| name.starts_with(prefix)).collect())
        })
    }
}

impl VmDirectory for MemoryPlatform {
    fn list(&self) -> LocalFuture<'_, Result<Vec<ListedVm>>> {
        Box::pin(async move {
            fail_if(self.lock_faults().directory_down, "list VMs")?;
            Ok(self.lock().listed_vms())
        })
    }
}

impl VmControl for MemoryPlatform {
    fn reboot<'a>(&'a self, vm: &'a VmId, operation: &'a str) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            if self.start_operation("reboot", vm, operation)? {
                self.lock().reboot(vm);
            }
            Ok(())
        })
    }

    fn checkpoint<'a>(&'a self, vm: &'a VmId, operation: &'a str) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            self.start_operation("checkpoint", vm, operation)?;
            Ok(())
        })
    }
}

fn fail_if(down: bool, step: &'static str) -> Result<()> {
    if down {
        return Err(Error::unavailable(step, PEER, "the service is down"));
    }
    Ok(())
}
