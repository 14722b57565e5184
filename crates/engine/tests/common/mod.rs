//! Several processes in one test, with one table and the same workers.

use std::cell;
use std::collections::HashSet;
use std::rc;
use std::sync;
use std::time;

use redwing_engine::DeploymentServices;
use redwing_engine::caller::answer::{CallerDesk, CallerSettings, CallerVerb};
use redwing_engine::codec::{CallerAnswer, CallerHead};
use redwing_engine::manifest;
use redwing_engine::metrics::JobMetrics;
use redwing_engine::owner::{self, OwnerParts, OwnerSettings};
use redwing_engine::product::{self, ProductCodec};
use redwing_engine::row::{self, OwnerRecord};
use redwing_engine::run;
use redwing_jobs::JobState;
use redwing_provider::table::TableView;
use redwing_provider::{
    CommitOutcome, LocalFuture, RowKey, TableClient, TableStore, TableTransaction,
};
use redwing_standin::worker::{NoAdvisor, NoMachines};
use redwing_standin::{MemoryPlatform, MemoryWorkers};
use tokio::sync::watch;
use tokio::task;
use tokio::time as timer;

const MANIFEST: &str = r#"{"version":1,
    "queues":[{"name":"certificates","address":{"path-prefix":"/q/"},"pool":"workers","priority":0,
      "max-attempts":3,"stretch":1.6,"objective-ms":600,"is-public":false,"is-advised":false}],
    "customers":[{"name":"inspectors","keys":["good"],"weight":1.0,"limit":{}}],
    "pools":[{"name":"workers","is-standby":false,"enforces-capacity":false}]}"#;

/// Which calls a table leaves without an answer, as a connection does that
/// went silent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum SilentCalls {
    #[default]
    None,
    /// Each third scan or commit.
    EachThird,
    /// The first commit of each job's row.
    FirstOfJob,
}

/// Table that leaves calls without an answer.
struct SilentTable {
    inner: MemoryPlatform,
    silent: rc::Rc<cell::Cell<SilentCalls>>,
    calls: cell::Cell<u32>,
    /// Rows of jobs that were written before.
    written: cell::RefCell<HashSet<RowKey>>,
}

impl SilentTable {
    fn loses_next(&self) -> bool {
        let number = self.calls.get();
        self.calls.set(number + 1);
        self.silent.get() == SilentCalls::EachThird && number.is_multiple_of(3)
    }

    fn loses_commit(&self, transaction: &TableTransaction) -> bool {
        let mut puts = transaction.writes().iter().map(|write| write.key.clone());
        let job = puts.find(|key| key.as_str().starts_with("jobs@"));
        let is_first = job.is_some_and(|key| self.written.borrow_mut().insert(key));
        let loses_first = self.silent.get() == SilentCalls::FirstOfJob && is_first;
        self.loses_next() || loses_first
    }
}

impl TableStore for SilentTable {
    fn commit<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalFuture<'a, redwing_provider::Result<CommitOutcome>> {
        if self.loses_commit(transaction) {
            return Box::pin(std::future::pending());
        }
        self.inner.commit(transaction)
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, redwing_provider::Result<TableView>> {
        if self.loses_next() {
            return Box::pin(std::future::pending());
        }
        self.inner.scan(prefix)
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        cursor: u64,
    ) -> LocalFuture<'a, redwing_provider::Result<TableView>> {
        self.inner.changes(prefix, cursor)
    }
}

/// A process of the cluster.
pub(crate) struct TestProcess {
    pub(crate) platform: MemoryPlatform,
    pub(crate) desk: CallerDesk,
    pub(crate) metrics: JobMetrics,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) owner: task::JoinHandle<()>,
}

/// Processes with one table and the same workers.
pub(crate) struct TestCluster {
    pub(crate) platform: MemoryPlatform,
    pub(crate) workers: MemoryWorkers,
    pub(crate) processes: Vec<TestProcess>,
    /// Which calls the table leaves without an answer.
    pub(crate) silent: rc::Rc<cell::Cell<SilentCalls>>,
}

impl TestCluster {
    pub(crate) async fn start(processes: usize, task_time: time::Duration) -> Self {
        let platform = MemoryPlatform::default();
        let workers = MemoryWorkers::new("workers", 3, task_time);
        workers.register(&platform).await.expect("the table is up");
        let row = TableTransaction::default().put(RowKey::new(product::MANIFEST_KEY), MANIFEST);
        platform.commit(&row).await.expect("the table is up");
        let mut cluster = Self {
            platform,
            workers,
            processes: Vec::new(),
            silent: rc::Rc::default(),
        };
        for number in 0..processes {
            cluster.add(number).await;
        }
        cluster
    }

    pub(crate) async fn add(&mut self, number: usize) {
        self.add_sized(number, false).await;
    }

    pub(crate) async fn add_sized(&mut self, number: usize, is_small: bool) {
        let settings = OwnerSettings {
            is_small,
            ..OwnerSettings::default()
        };
        self.add_with(number, settings).await;
    }

    pub(crate) async fn add_with(&mut self, number: usize, settings: OwnerSettings) {
        self.add_life(number, number as u64, settings).await;
    }

    /// Adds a process of VM `number`.
    pub(crate) async fn add_life(&mut self, number: usize, life: u64, settings: OwnerSettings) {
        let platform = self.platform.new_client();
        let services = DeploymentServices {
            table: rc::Rc::new(SilentTable {
                inner: platform.clone(),
                silent: rc::Rc::clone(&self.silent),
                calls: cell::Cell::new(0),
                written: cell::RefCell::default(),
            }),
            workers: rc::Rc::new(self.workers.clone()),
            advisor: rc::Rc::new(NoAdvisor),
            machines: rc::Rc::new(NoMachines),
        };
        let client = TableClient::new(rc::Rc::clone(&services.table), run::client_settings());
        let codec = sync::Arc::new(ProductCodec);
        let metrics = JobMetrics::new().expect("the names differ");
        let mut operators = manifest::follow_operators(&client, codec.clone(), metrics.clone());
        let known = operators.wait_for(|view| view.manifest.is_some()).await;
        known.expect("the manifest is followed");
        let (stop, stopping) = watch::channel(false);
        let desk = CallerDesk::new(
            CallerSettings::default(),
            client.clone(),
            codec.clone(),
            operators.clone(),
        );
        let owner = task::spawn_local(owner::run(OwnerParts {
            node: format!("entry-{number}"),
            life,
            settings: rc::Rc::new(settings),
            client,
            services,
            codec,
            operators,
            metrics: metrics.clone(),
            stopping,
        }));
        self.processes.push(TestProcess {
            platform,
            desk,
            metrics,
            stop,
            owner,
        });
    }

    /// Returns the row of the owner once it names one.
    pub(crate) async fn owner(&self) -> OwnerRecord {
        self.owner_after(0).await
    }

    /// Returns the row of the owner once its fencing token is above `fence`.
    pub(crate) async fn owner_after(&self, fence: u64) -> OwnerRecord {
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
            if let Some(record) = record.filter(|record| record.fence > fence && !record.released) {
                return record;
            }
            timer::sleep(time::Duration::from_millis(20)).await;
        }
    }

    pub(crate) fn position(&self, record: &OwnerRecord) -> usize {
        record.life as usize
    }

    pub(crate) async fn submit(&self, process: usize, id: &str, tasks: u32) -> CallerAnswer {
        let body = format!(r#"{{"steps":[{{"count":{tasks},"needs":{{"cpu-millis":500}}}}]}}"#);
        let desk = &self.processes[process].desk;
        desk.answer(CallerVerb::Submit, &head(id, "good"), body.as_bytes())
            .await
    }

    pub(crate) async fn state(&self, process: usize, id: &str) -> CallerAnswer {
        let desk = &self.processes[process].desk;
        desk.answer(CallerVerb::Read, &head(id, "good"), b"").await
    }

    /// Waits until a job has the state; the test's own limit ends the wait.
    pub(crate) async fn wait_state(&self, process: usize, id: &str, state: JobState) {
        while self.state(process, id).await != CallerAnswer::State(state) {
            timer::sleep(time::Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn wait_starts(&self, count: usize) {
        while self.workers.starts().len() < count {
            timer::sleep(time::Duration::from_millis(10)).await;
        }
    }

    /// Cuts a process from the table.
    pub(crate) fn cut(&self, process: usize) {
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
        patience: Some(time::Duration::from_secs(3)),
    }
}

/// Runs a test on one thread with local tasks, a minute at most.
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    let limit = time::Duration::from_secs(60);
    let limited = async { timer::timeout(limit, test).await };
    let finished = actix_rt::System::new().block_on(limited);
    finished.expect("the test ends within a minute");
}
