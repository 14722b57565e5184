//! Cluster of several processes in one test, with one table and shared workers.

use std::cell;
use std::collections::HashSet;
use std::process;
use std::rc;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

use redwing_engine::DeploymentServices;
use redwing_engine::caller::service::{CallerService, CallerSettings, CallerVerb};
use redwing_engine::clock;
use redwing_engine::codec::{CallerHead, CallerResponse, DeploymentCodec};
use redwing_engine::manifest;
use redwing_engine::metrics::JobMetrics;
use redwing_engine::owner::{self, OwnerDependencies, OwnerSettings};
use redwing_engine::product::{self, ProductCodec};
use redwing_engine::row::{self, OwnerRecord};
use redwing_engine::run;
use redwing_engine::stop::{CLOSING_TIME, StopPhase};
use redwing_jobs::JobState;
use redwing_jobs::name::WorkerId;
use redwing_provider::table::{PageRequest, TablePage, TableView, WatchRequest};
use redwing_provider::{
    CommitOutcome, LocalFuture, RowKey, TableClient, TableLimits, TableStore, TableTransaction,
};
use redwing_standin::worker::NoAdvisor;
use redwing_standin::{
    LinkSettings, LinkedTable, MemoryMachines, MemoryPlatform, MemoryWorkers, WorkerFault,
};
use tokio::sync::watch;
use tokio::task;
use tokio::time as timer;

/// First version of the manifest.
pub(crate) const MANIFEST: &str = r#"{"version":1,
    "queues":[{"name":"certificates","address":{"path-prefix":"/q/"},"pool":"workers","priority":0,
      "max-attempts":3,"stretch":1.6,"objective-ms":600,"is-public":false,"is-advised":false}],
    "customers":[{"name":"inspectors","keys":["good"],"weight":1.0,"limit":{}}],
    "pools":[{"name":"workers","is-standby":false,"enforces-capacity":false}]}"#;

/// Longest time that a task of a lost worker may have no run: it is due 6 s after
/// its last run, and 3 s later counts as lost.
pub(crate) const RESTART_LIMIT: time::Duration = time::Duration::from_secs(9);

/// Time on the clock of the machine after which a test counts as stuck.
const STUCK_LIMIT: time::Duration = time::Duration::from_secs(600);

/// Table calls that get no response, as on a broken connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum LostCalls {
    #[default]
    None,
    /// The first scan of each prefix and the first commit of each set of rows; scans of the
    /// owner row as [`OwnerCalls`] counts them.
    OnceEach {
        /// Number of the scan of the owner row that is lost before the first claim; zero if
        /// none is.
        read: u32,
    },
    /// The first commit of each job row.
    FirstOfEachJob,
    /// The replies to claims of the ownership, and all later commits.
    AfterClaim,
    /// All reads of the rows of workers.
    WorkerReads,
    /// All reads of the rows of operators.
    OperatorReads,
    /// All reads of the rows of operators and of their changes.
    OperatorFeed,
}

/// Transactions that the table refuses although they are within its limits.
#[derive(Debug, Default)]
pub(crate) struct RefusalRule {
    /// Largest number of entries, if it is lower than the limit of the table.
    pub(crate) max_entries: Option<usize>,
    /// Key of a row that is refused.
    pub(crate) key: Option<RowKey>,
    /// All transactions that were refused.
    pub(crate) refused: Vec<TableTransaction>,
}

impl RefusalRule {
    fn refuses(&mut self, transaction: &TableTransaction) -> bool {
        let entries = transaction.keys().count();
        let is_too_large = self.max_entries.is_some_and(|limit| entries > limit);
        let has_key = transaction.keys().any(|key| Some(key) == self.key.as_ref());
        if is_too_large || has_key {
            self.refused.push(transaction.clone());
        }
        is_too_large || has_key
    }
}

/// Calls of a process that wants to become owner.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerCalls {
    /// Number of claims.
    claims: u32,
    /// Number of scans of the owner row since the latest claim.
    reads: u32,
}

impl OwnerCalls {
    /// Counts a scan of the owner row. Returns whether it is lost: the scan `read` before
    /// the first claim, and the first one after it.
    fn is_read_lost(&mut self, read: u32) -> bool {
        self.reads += 1;
        match self.claims {
            0 => self.reads == read,
            1 => self.reads == 1,
            _ => false,
        }
    }

    /// Counts a claim. Returns whether it is lost: the first one.
    fn is_claim_lost(&mut self) -> bool {
        self.claims += 1;
        self.reads = 0;
        self.claims == 1
    }
}

/// Table that never responds to lost calls.
struct LossyTable {
    refusals: rc::Rc<cell::RefCell<RefusalRule>>,
    inner: LinkedTable,
    /// Platform behind the link, with its faults.
    platform: MemoryPlatform,
    lost_calls: rc::Rc<cell::Cell<LostCalls>>,
    owner_calls: cell::RefCell<OwnerCalls>,
    /// Scans and commits that were sent before.
    sent: cell::RefCell<HashSet<String>>,
    /// When the latest claim was lost, or took effect without its reply.
    claimed_at: rc::Rc<cell::Cell<Option<timer::Instant>>>,
}

impl LossyTable {
    fn is_read_lost(&self, prefix: &str) -> bool {
        match self.lost_calls.get() {
            LostCalls::OperatorReads | LostCalls::OperatorFeed => {
                product::MANIFEST_KEY.starts_with(prefix)
            }
            LostCalls::WorkerReads => prefix == ProductCodec.worker_prefix(),
            LostCalls::OnceEach { read } if prefix == row::OWNER_KEY => {
                self.owner_calls.borrow_mut().is_read_lost(read)
            }
            LostCalls::OnceEach { .. } => self.sent.borrow_mut().insert(format!("scan {prefix}")),
            _ => false,
        }
    }

    /// Returns whether the transaction claims the ownership.
    fn is_claim(transaction: &TableTransaction) -> bool {
        let mut puts = transaction.writes().iter();
        let owner = puts.find(|write| write.key.as_str() == row::OWNER_KEY);
        let value = owner.and_then(|write| write.value.as_deref());
        let record = value.and_then(|text| serde_json::from_str::<OwnerRecord>(text).ok());
        record.is_some_and(|record| record.change == 0)
    }

    /// Executes a claim of the ownership, and never responds.
    async fn lose_claim_reply(
        &self,
        transaction: &TableTransaction,
    ) -> redwing_provider::Result<CommitOutcome> {
        if Self::is_claim(transaction) {
            self.inner.commit(transaction).await?;
            self.claimed_at.set(Some(timer::Instant::now()));
        }
        std::future::pending().await
    }

    fn is_commit_lost(&self, transaction: &TableTransaction) -> bool {
        let mut keys = transaction.writes().iter().map(|write| &write.key);
        let mut sent = self.sent.borrow_mut();
        match self.lost_calls.get() {
            LostCalls::FirstOfEachJob => {
                let job = keys.find(|key| key.as_str().starts_with("jobs@"));
                job.is_some_and(|key| sent.insert(format!("commit {key:?}")))
            }
            LostCalls::OnceEach { .. } if Self::is_claim(transaction) => {
                let is_lost = self.owner_calls.borrow_mut().is_claim_lost();
                if is_lost {
                    self.claimed_at.set(Some(timer::Instant::now()));
                }
                is_lost
            }
            LostCalls::OnceEach { .. } => {
                sent.insert(format!("commit {:?}", keys.collect::<Vec<_>>()))
            }
            _ => false,
        }
    }
}

impl TableStore for LossyTable {
    fn limits(&self) -> TableLimits {
        self.inner.limits()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalFuture<'a, redwing_provider::Result<CommitOutcome>> {
        if self.lost_calls.get() == LostCalls::AfterClaim {
            return Box::pin(self.lose_claim_reply(transaction));
        }
        if self.refusals.borrow_mut().refuses(transaction) {
            let delay = time::Duration::from_millis(self.platform.faults().table_delay_millis);
            return Box::pin(async move {
                timer::sleep(delay).await;
                let message = "a rule of the test";
                Err(redwing_provider::Error::refused("commit", "table", message))
            });
        }
        if self.is_commit_lost(transaction) {
            return Box::pin(std::future::pending());
        }
        self.inner.commit(transaction)
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, redwing_provider::Result<TableView>> {
        if self.is_read_lost(prefix) {
            return Box::pin(std::future::pending());
        }
        self.inner.scan(prefix)
    }

    fn scan_page<'a>(
        &'a self,
        request: PageRequest<'a>,
    ) -> LocalFuture<'a, redwing_provider::Result<TablePage>> {
        if self.is_read_lost(request.prefix) {
            return Box::pin(std::future::pending());
        }
        self.inner.scan_page(request)
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        cursor: u64,
    ) -> LocalFuture<'a, redwing_provider::Result<TableView>> {
        self.inner.changes(prefix, cursor)
    }

    fn watch<'a>(
        &'a self,
        request: WatchRequest<'a>,
    ) -> LocalFuture<'a, redwing_provider::Result<TableView>> {
        let is_feed_lost = self.lost_calls.get() == LostCalls::OperatorFeed;
        if is_feed_lost && product::MANIFEST_KEY.starts_with(request.prefix) {
            return Box::pin(std::future::pending());
        }
        self.inner.watch(request)
    }
}

/// Process of the cluster.
pub(crate) struct TestProcess {
    pub(crate) platform: MemoryPlatform,
    pub(crate) service: CallerService,
    pub(crate) metrics: JobMetrics,
    pub(crate) stop: watch::Sender<StopPhase>,
    pub(crate) owner: task::JoinHandle<()>,
}

impl TestProcess {
    /// Stops its owner, as a signal does.
    pub(crate) fn stop(&self) {
        let closes_at = timer::Instant::now() + CLOSING_TIME;
        self.stop.send_replace(StopPhase::stopping(closes_at));
    }
}

/// Processes with one table and shared workers.
pub(crate) struct TestCluster {
    pub(crate) platform: MemoryPlatform,
    pub(crate) workers: MemoryWorkers,
    pub(crate) machines: MemoryMachines,
    pub(crate) processes: Vec<TestProcess>,
    /// Links from the VMs to the table; each VM has its own bandwidth.
    pub(crate) link: LinkSettings,
    /// Table calls that get no response.
    pub(crate) lost_calls: rc::Rc<cell::Cell<LostCalls>>,
    /// When the latest claim was lost, or took effect without its reply.
    pub(crate) claimed_at: rc::Rc<cell::Cell<Option<timer::Instant>>>,
    /// Transactions that the table refuses.
    pub(crate) refusals: rc::Rc<cell::RefCell<RefusalRule>>,
}

impl TestCluster {
    pub(crate) async fn start(processes: usize, task_time: time::Duration) -> Self {
        Self::with_workers(3, processes, task_time).await
    }

    /// Starts a cluster with so many workers.
    pub(crate) async fn with_workers(
        count: u32,
        processes: usize,
        task_time: time::Duration,
    ) -> Self {
        let platform = MemoryPlatform::default();
        let workers = MemoryWorkers::new("workers", count, task_time);
        workers.register(&platform).await.expect("the table is up");
        let row = TableTransaction::default().put(RowKey::new(product::MANIFEST_KEY), MANIFEST);
        platform.commit(&row).await.expect("the table is up");
        let mut cluster = Self {
            platform,
            workers,
            machines: MemoryMachines::default(),
            processes: Vec::new(),
            link: LinkSettings::default(),
            lost_calls: rc::Rc::default(),
            claimed_at: rc::Rc::default(),
            refusals: rc::Rc::default(),
        };
        for number in 0..processes {
            cluster.add_process(number).await;
        }
        cluster
    }

    pub(crate) async fn add_process(&mut self, number: usize) {
        self.add_process_of_size(number, false).await;
    }

    pub(crate) async fn add_process_of_size(&mut self, number: usize, is_small: bool) {
        let settings = OwnerSettings {
            is_small,
            ..OwnerSettings::default()
        };
        self.add_process_with(number, settings).await;
    }

    pub(crate) async fn add_process_with(&mut self, number: usize, settings: OwnerSettings) {
        self.add_incarnation(number, number as u64, settings).await;
    }

    /// Adds a process of VM `number` with the given incarnation.
    pub(crate) async fn add_incarnation(
        &mut self,
        number: usize,
        incarnation: u64,
        settings: OwnerSettings,
    ) {
        let platform = self.platform.new_client();
        let services = DeploymentServices {
            table: rc::Rc::new(LossyTable {
                refusals: rc::Rc::clone(&self.refusals),
                platform: platform.clone(),
                inner: LinkedTable::new(rc::Rc::new(platform.clone()), self.link.clone()),
                lost_calls: rc::Rc::clone(&self.lost_calls),
                owner_calls: cell::RefCell::default(),
                sent: cell::RefCell::default(),
                claimed_at: rc::Rc::clone(&self.claimed_at),
            }),
            workers: rc::Rc::new(self.workers.clone()),
            advisor: rc::Rc::new(NoAdvisor),
            machines: rc::Rc::new(self.machines.clone()),
        };
        let client = TableClient::new(rc::Rc::clone(&services.table), run::client_settings());
        let codec = sync::Arc::new(ProductCodec);
        let metrics = JobMetrics::new().expect("the names differ");
        let mut operators = manifest::follow_operators(&client, codec.clone(), metrics.clone());
        let is_feed_lost = matches!(
            self.lost_calls.get(),
            LostCalls::OperatorReads | LostCalls::OperatorFeed
        );
        if !is_feed_lost {
            let first_view = operators.wait_for(|view| view.manifest.is_some()).await;
            first_view.expect("the manifest is followed");
        }
        let (stop, stop_phase) = watch::channel(StopPhase::default());
        let service = CallerService::new(
            CallerSettings {
                refuses_early: settings.publishes_backlogs,
                ..CallerSettings::default()
            },
            client.clone(),
            codec.clone(),
            operators.clone(),
        );
        let owner = task::spawn_local(owner::run(OwnerDependencies {
            node: format!("entry-{number}"),
            incarnation,
            settings: rc::Rc::new(settings),
            client,
            services,
            codec,
            operators,
            metrics: metrics.clone(),
            stop_phase,
        }));
        self.processes.push(TestProcess {
            platform,
            service,
            metrics,
            stop,
            owner,
        });
    }

    /// Waits until there is an owner and returns its record.
    pub(crate) async fn owner(&self) -> OwnerRecord {
        self.owner_above(0).await
    }

    /// Waits for an owner with a fencing token above `fencing_token` and returns
    /// its record.
    pub(crate) async fn owner_above(&self, fencing_token: u64) -> OwnerRecord {
        loop {
            let view = self
                .platform
                .scan(row::OWNER_KEY)
                .await
                .expect("the table is up");
            let record = view
                .rows
                .first()
                .and_then(|row| row::read::<OwnerRecord>(row).ok());
            if let Some(record) =
                record.filter(|record| record.fencing_token > fencing_token && !record.released)
            {
                return record;
            }
            timer::sleep(time::Duration::from_millis(20)).await;
        }
    }

    pub(crate) fn process_index(&self, record: &OwnerRecord) -> usize {
        record.incarnation as usize
    }

    pub(crate) async fn submit(&self, process: usize, id: &str, tasks: u32) -> CallerResponse {
        self.submit_with_cpu(process, id, tasks, 500).await
    }

    /// Submits a job whose tasks need so many thousandths of a core each.
    pub(crate) async fn submit_with_cpu(
        &self,
        process: usize,
        id: &str,
        tasks: u32,
        cpu_millis: u64,
    ) -> CallerResponse {
        let needs = format!(r#"{{"cpu-millis":{cpu_millis}}}"#);
        let body = format!(r#"{{"steps":[{{"count":{tasks},"needs":{needs}}}]}}"#);
        let service = &self.processes[process].service;
        service
            .respond(CallerVerb::Submit, &head(id, "good"), body.as_bytes())
            .await
    }

    pub(crate) async fn state(&self, process: usize, id: &str) -> CallerResponse {
        let service = &self.processes[process].service;
        service
            .respond(CallerVerb::Read, &head(id, "good"), b"")
            .await
    }

    /// Asks for the pending count of the queue.
    pub(crate) async fn pending(&self, process: usize) -> CallerResponse {
        let service = &self.processes[process].service;
        service
            .respond(CallerVerb::Read, &head("", "good"), b"")
            .await
    }

    /// Waits until a job has the state; the time limit of the test ends the wait.
    pub(crate) async fn wait_state(&self, process: usize, id: &str, state: JobState) {
        while self.state(process, id).await != CallerResponse::State(state) {
            timer::sleep(time::Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn wait_starts(&self, count: usize) {
        while self.workers.starts().len() < count {
            timer::sleep(time::Duration::from_millis(10)).await;
        }
    }

    /// Makes a worker unresponsive.
    pub(crate) fn lose_worker(&self, worker: &WorkerId) {
        let fault = WorkerFault {
            is_unresponsive: true,
            ..WorkerFault::default()
        };
        self.workers.set_fault(worker, fault);
    }

    /// Makes the table unreachable for a process.
    pub(crate) fn disconnect_table(&self, process: usize) {
        self.processes[process]
            .platform
            .set_faults(|plan| plan.table_down = true);
    }

    pub(crate) fn assert_no_double_run(&self) {
        let running = self.workers.running();
        assert!(running.values().all(|count| *count == 1), "{running:?}");
    }
}

pub(crate) fn head(id: &str, key: &str) -> CallerHead {
    CallerHead {
        host: "any".to_owned(),
        path: format!("/q/{id}"),
        key: Some(key.to_owned()),
        timeout: Some(time::Duration::from_secs(3)),
    }
}

/// Runs a test on one thread with local tasks, with a limit of one minute. Its time passes
/// only while all tasks wait, however long the machine takes for their work.
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    let limit = time::Duration::from_secs(60);
    let _running = abort_if_stuck();
    let limited = async {
        timer::pause();
        clock::follow_timer();
        timer::timeout(limit, test).await
    };
    let finished = actix_rt::System::new().block_on(limited);
    finished.expect("the test ends within a minute");
}

/// Ends the program if the sender still exists after [`STUCK_LIMIT`]: while a test works
/// without end, its own time stands still and never reaches its limit.
fn abort_if_stuck() -> mpsc::Sender<()> {
    let (running, ended) = mpsc::channel();
    thread::spawn(move || {
        if ended.recv_timeout(STUCK_LIMIT) == Err(mpsc::RecvTimeoutError::Timeout) {
            eprintln!("a test runs for more than {STUCK_LIMIT:?}");
            process::abort();
        }
    });
    running
}
