//! Tests of maintenance by several processes against the stand-in platform.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use redwing_membership::{MemberRecord, member};
use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
use redwing_model::{FleetDeclaration, NodeIncarnation, PoolName, VmId};
use redwing_node::maintenance::{
    MaintenanceRunner, MaintenanceService, MaintenanceSettings, RoundReport, SchedulerUsage,
    UsageReport,
};
use redwing_planner::rollout::{RolloutCommand, RolloutState};
use redwing_planner::{PlanTime, PlannerSettings, PoolRecord};
use redwing_provider::{
    Category, ListedStatus, ListedVm, LocalFuture, RowKey, TableStore, TableTransaction, VmRole,
};
use redwing_standin::MemoryPlatform;
use tokio::net::TcpListener;

const DECLARATION: &str = r#"
spare-pool = "general"

[pools.general]
vms = 4
max-unavailable = 1

[pools.reports]
vms = 8
max-unavailable = 2
"#;

/// Scheduler usage in which no VM is used unless `busy` is set.
#[derive(Default)]
struct FakeScheduler {
    vms: RefCell<BTreeSet<VmId>>,
    busy: Cell<bool>,
}

impl SchedulerUsage for FakeScheduler {
    fn usage(&self) -> LocalFuture<'_, Option<UsageReport>> {
        let unused = match self.busy.get() {
            true => BTreeSet::new(),
            false => self.vms.borrow().clone(),
        };
        let report = UsageReport {
            unused,
            ..UsageReport::default()
        };
        Box::pin(async move { Some(report) })
    }
}

/// Entry process with its own view of the platform, in which faults can be injected.
struct Process {
    platform: MemoryPlatform,
    scheduler: Rc<FakeScheduler>,
    runner: MaintenanceRunner,
    service: MaintenanceService,
}

/// Platform with several entry processes and a simulated clock.
struct Region {
    platform: MemoryPlatform,
    declaration: Arc<FleetDeclaration>,
    processes: Vec<Process>,
    now_seconds: u64,
    backend: SocketAddr,
}

impl Region {
    /// Creates `count` entry processes and 12 VMs that are in no pool yet.
    async fn new(count: usize) -> Self {
        let platform = MemoryPlatform::default();
        let backend = start_backend().await;
        for number in 0..12 {
            platform.put_vm(listed_vm(number, backend));
        }
        platform.skip_list_lag();
        let mut region = Self {
            platform,
            declaration: Arc::new(redwing_model::from_toml(DECLARATION).unwrap()),
            processes: Vec::new(),
            now_seconds: 1_000,
            backend,
        };
        for number in 0..count {
            region.add_process(number).await;
        }
        region
    }

    async fn add_process(&mut self, number: usize) {
        let node = format!("entry-{number}").parse().unwrap();
        let incarnation = NodeIncarnation { node, epoch: 1 };
        let record = MemberRecord {
            incarnation: incarnation.clone(),
            nonce: 1,
            peer_address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "dc-0".parse().unwrap(),
            settled: BTreeSet::new(),
        };
        let key = RowKey::new(member::member_key(&incarnation.node));
        let value = serde_json::to_string(&record).unwrap();
        let transaction = TableTransaction::default().put(key, value);
        self.platform.commit(&transaction).await.unwrap();
        let platform = self.platform.new_client();
        let scheduler = Rc::new(FakeScheduler::default());
        let names = (0..12).map(|number| vm_name(number).parse().unwrap());
        scheduler.vms.replace(names.collect());
        // Without a turn delay, all processes race in each round.
        let settings = MaintenanceSettings {
            turn_delay: Duration::ZERO,
            planner: PlannerSettings {
                reboot_settle: Duration::from_secs(20),
                ..PlannerSettings::default()
            },
            ..MaintenanceSettings::default()
        };
        let services = platform.services();
        let table = Rc::clone(&services.table);
        let runner = MaintenanceRunner::new(settings, services, scheduler.clone(), incarnation);
        let service = MaintenanceService::new(runner.state(), table);
        self.processes.push(Process {
            platform,
            scheduler,
            runner,
            service,
        });
    }

    fn now(&self) -> PlanTime {
        PlanTime::from_secs(self.now_seconds)
    }

    fn advance_second(&mut self) {
        self.now_seconds += 1;
        self.platform.advance(Duration::from_secs(1));
    }

    /// Runs a round in which every process reads before any of them writes.
    async fn race(&mut self) -> Vec<RoundReport> {
        self.advance_second();
        let now = self.now();
        let mut plans = Vec::new();
        for process in &mut self.processes {
            process
                .runner
                .read_state(now, 1, &self.declaration)
                .await
                .unwrap();
            plans.push(process.runner.compute_plan(now));
        }
        let mut reports = Vec::new();
        for (process, plan) in self.processes.iter_mut().zip(plans) {
            reports.push(process.runner.execute(now, plan).await);
        }
        self.check_invariants().await;
        reports
    }

    async fn race_for(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.race().await;
        }
    }

    async fn vms(&self) -> BTreeMap<VmId, VmRecord> {
        let view = self.platform.scan("vm/").await.unwrap();
        let texts = view.rows.iter().filter_map(|row| row.value.as_deref());
        let records = texts.map(|text| serde_json::from_str::<VmRecord>(text).unwrap());
        records
            .map(|record| (record.identity.vm.clone(), record))
            .collect()
    }

    async fn pool(&self, name: &str) -> PoolRecord {
        let view = self.platform.scan(&format!("pool/{name}")).await.unwrap();
        serde_json::from_str(view.rows[0].value.as_deref().unwrap()).unwrap()
    }

    /// Asserts the invariants of every round: the member count of each pool and its
    /// limit of unavailable VMs.
    async fn check_invariants(&self) {
        let vms = self.vms().await;
        for (name, target) in &self.declaration.pools {
            let record = self.pool(name.as_str()).await;
            let members = vms.values().filter(|vm| vm.pool == *name).count();
            assert_eq!(record.members as usize, members, "members of {name}");
            assert!(record.unavailable() <= target.max_unavailable, "{name}");
        }
    }

    async fn command(&self, process: usize, command: RolloutCommand) {
        let service = &self.processes[process].service;
        service
            .command(self.now(), &reports_pool(), command)
            .await
            .unwrap();
    }

    fn rollout_state(&self) -> RolloutState {
        let service = &self.processes[0].service;
        service.status(self.now(), &reports_pool()).unwrap().state
    }

    async fn finish_rollout(&mut self) {
        for _ in 0..600 {
            self.race().await;
            if self.rollout_state() == RolloutState::Done {
                return;
            }
        }
        panic!(
            "the roll-out did not finish: {:?}",
            self.pool("reports").await
        );
    }
}

fn reports_pool() -> PoolName {
    PoolName::new("reports").unwrap()
}

fn vm_name(number: usize) -> String {
    format!("vm-{number:02}")
}

/// Starts a backend server that accepts connections and never responds.
async fn start_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move { while listener.accept().await.is_ok() {} });
    address
}

fn listed_vm(number: usize, backend: SocketAddr) -> ListedVm {
    ListedVm {
        identity: VmIdentity {
            vm: vm_name(number).parse().unwrap(),
            address: backend,
            rack: format!("rack-{}", number / 4).parse().unwrap(),
            data_centre: format!("dc-{}", number / 4).parse().unwrap(),
        },
        role: VmRole::BackendServer,
        status: ListedStatus::Live,
    }
}

#[actix_rt::test]
async fn racing_processes_adopt_each_vm_once() {
    let mut region = Region::new(3).await;
    let reports = region.race().await;
    let committed: usize = reports.iter().map(|report| report.committed.len()).sum();
    let conflicts: usize = reports.iter().map(|report| report.conflicts).sum();
    assert_eq!((committed, conflicts), (2, 4));
    assert_eq!(region.pool("reports").await.members, 8);
    assert_eq!(region.pool("general").await.members, 4);
}

#[actix_rt::test]
async fn racing_processes_reboot_each_vm_once() {
    let mut region = Region::new(3).await;
    region.race().await;
    region.command(1, RolloutCommand::Start).await;
    region.finish_rollout().await;
    assert_eq!(region.platform.operation_count(), 8);
    let vms = region.vms().await;
    assert!(vms.values().all(|vm| vm.phase == VmPhase::Serving));
}

#[actix_rt::test]
async fn lost_replies_reboot_no_vm_twice() {
    let mut region = Region::new(2).await;
    region.race().await;
    region.command(0, RolloutCommand::Start).await;
    for round in 0..600 {
        let fault = &region.processes[round % 2].platform;
        fault.set_faults(|plan| match round % 3 {
            0 => plan.lost_replies = 1,
            1 => plan.lost_requests = 1,
            _ => {}
        });
        region.race().await;
        if region.rollout_state() == RolloutState::Done {
            break;
        }
    }
    assert_eq!(region.rollout_state(), RolloutState::Done);
    assert_eq!(region.platform.operation_count(), 8);
}

#[actix_rt::test]
async fn paused_process_commits_no_outdated_step() {
    let mut region = Region::new(2).await;
    region.race().await;
    region.command(0, RolloutCommand::Start).await;
    region.advance_second();
    let now = region.now();
    let paused = &mut region.processes[1].runner;
    paused
        .read_state(now, 1, &region.declaration)
        .await
        .unwrap();
    let plan = paused.compute_plan(now);
    assert_eq!(plan.steps.len(), 1);
    for _ in 0..3 {
        region.advance_second();
        let now = region.now();
        let other = &mut region.processes[0].runner;
        other.round(now, 1, &region.declaration).await.unwrap();
    }
    let before = region.vms().await;
    let report = region.processes[1].runner.execute(now, plan).await;
    assert_eq!((report.committed.len(), report.conflicts), (0, 1));
    assert_eq!(region.vms().await, before);
}

#[actix_rt::test]
async fn drain_waits_for_every_process() {
    let mut region = Region::new(3).await;
    region.race().await;
    region.processes[2].scheduler.busy.set(true);
    region.command(0, RolloutCommand::Start).await;
    region.race_for(60).await;
    assert_eq!(region.platform.operation_count(), 0);
    let vms = region.vms().await;
    let draining = vms.values().filter(|vm| vm.phase == VmPhase::Draining);
    assert_eq!(draining.count(), 2);
    region.processes[2].scheduler.busy.set(false);
    region.race_for(6).await;
    assert_eq!(region.platform.operation_count(), 2);
}

#[actix_rt::test]
async fn table_outage_only_delays_a_rollout() {
    let mut region = Region::new(2).await;
    region.race().await;
    region.command(0, RolloutCommand::Start).await;
    region.race_for(2).await;
    let before = region.vms().await;
    for process in &region.processes {
        process.platform.set_faults(|plan| plan.table_down = true);
    }
    for _ in 0..60 {
        region.advance_second();
        let now = region.now();
        for process in &mut region.processes {
            let round = process.runner.round(now, 1, &region.declaration).await;
            assert!(round.is_err());
        }
    }
    assert_eq!(region.vms().await, before);
    for process in &region.processes {
        process.platform.set_faults(|plan| plan.table_down = false);
    }
    region.finish_rollout().await;
}

#[actix_rt::test]
async fn lost_reply_of_a_command_is_resolved_by_reading() {
    let mut region = Region::new(1).await;
    region.race().await;
    region.processes[0]
        .platform
        .set_faults(|plan| plan.lost_replies = 1);
    region.command(0, RolloutCommand::Start).await;
    region.race().await;
    assert_eq!(region.rollout_state(), RolloutState::Running);
    region.processes[0]
        .platform
        .set_faults(|plan| plan.lost_requests = 1);
    let service = region.processes[0].service.clone();
    let paused = service
        .command(region.now(), &reports_pool(), RolloutCommand::Pause)
        .await;
    assert_eq!(paused.unwrap_err().classify(), Category::Unknown);
}

#[actix_rt::test]
async fn vm_removed_by_the_platform_is_replaced() {
    let mut region = Region::new(2).await;
    region.race().await;
    let vms = region.vms().await;
    let (leaving, _) = vms
        .iter()
        .find(|(_, vm)| vm.pool == reports_pool())
        .unwrap();
    let number = vms.keys().position(|vm| vm == leaving).unwrap();
    let mut listed = listed_vm(number, region.backend);
    listed.status = ListedStatus::Leaving;
    region.platform.put_vm(listed);
    region.race_for(5).await;
    assert_eq!(region.vms().await[leaving].phase, VmPhase::Draining);
    region.platform.remove_vm(leaving);
    region.platform.put_vm(listed_vm(20, region.backend));
    region.race_for(60).await;
    let vms = region.vms().await;
    assert!(!vms.contains_key(leaving));
    let newcomer: VmId = vm_name(20).parse().unwrap();
    assert_eq!(vms[&newcomer].pool, reports_pool());
}

/// A failure drains many VMs at once: the confirmations are more than one transaction
/// holds.
#[actix_rt::test]
async fn many_drains_are_confirmed() {
    let mut region = Region::new(1).await;
    let names = (100..230).map(|number| format!("vm-{number}"));
    let vms: BTreeSet<VmId> = names.map(|name| name.parse().unwrap()).collect();
    for vm in &vms {
        let record = VmRecord {
            identity: VmIdentity {
                vm: vm.clone(),
                ..listed_vm(0, region.backend).identity
            },
            pool: "reports".parse().unwrap(),
            phase: VmPhase::Draining,
            revision: 1,
        };
        let value = serde_json::to_string(&record).unwrap();
        let row = TableTransaction::default().put(RowKey::new(format!("vm/{vm}")), value);
        region.platform.commit(&row).await.unwrap();
    }
    region.processes[0].scheduler.vms.replace(vms.clone());
    for _ in 0..10 {
        region.advance_second();
        let now = region.now();
        let runner = &mut region.processes[0].runner;
        runner
            .read_state(now, 1, &region.declaration)
            .await
            .unwrap();
    }
    let confirmations = region.platform.scan("drain/").await.unwrap().rows;
    assert_eq!(confirmations.len(), vms.len());
}
