//! External services of an entry process, as traits.

use std::rc;
use std::sync;

use redwing_jobs::name::{DataCentre, MachineName, PoolName, WorkerId, WorkerLabel};
use redwing_jobs::scheduler::{AdviceRequest, AdviceResponse};
use redwing_jobs::spec::ResourceAmount;
use redwing_jobs::worker::{OrderOutcome, OrderResponse, RenewalReport, WorkerOrder};
use redwing_provider::{LocalFuture, Result, TableStore};

use crate::codec::DeploymentCodec;

/// Reply of a worker to an order.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// Reply to a start, stop or throttle order.
    Order(OrderResponse),
    /// Report of runs, in reply to a lease renewal.
    Report(RenewalReport),
    /// The lease renewal returned no report; with its outcome.
    NoReport(OrderOutcome),
}

/// Client of workers; each call completes within its own timeout.
pub trait WorkerClient {
    /// Sends one order and waits for its reply.
    fn send<'a>(&'a self, order: &'a WorkerOrder) -> LocalFuture<'a, WorkerReply>;
}

/// Client of the advisor, which permits workers to run the steps of advised
/// queues.
pub trait AdvisorClient {
    /// Sends one request; the advisor accepts one at a time.
    ///
    /// # Errors
    ///
    /// Fails if there is no advisor, or it does not respond in time.
    fn advise<'a>(&'a self, request: &'a AdviceRequest) -> LocalFuture<'a, Result<AdviceResponse>>;
}

/// State of a machine on the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// The machine runs its worker.
    Up,
    /// The machine is moving to another pool.
    Moving,
    /// The machine is in maintenance.
    Maintenance,
    /// The machine is down.
    Down,
}

/// Machine as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// Name of the machine.
    pub name: MachineName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Its data centre, if known; a machine never changes it.
    pub data_centre: Option<DataCentre>,
    /// State of the machine.
    pub state: MachineState,
    /// Worker that runs on the machine.
    pub worker: Option<WorkerId>,
    /// Capacity of the machine.
    pub capacity: ResourceAmount,
    /// Its labels.
    pub labels: Vec<WorkerLabel>,
}

/// Outcome of an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineOutcome {
    /// The order took effect, now or earlier.
    Accepted,
    /// A newer owner has sent an order for the machine.
    Fenced,
    /// The machine is not up or is about to be removed.
    Busy,
    /// The machine does not belong to the wave.
    NotInWave,
    /// There is no such machine, or it cannot join the pool.
    Invalid,
    /// The platform rejected the order because of too many calls.
    Throttled,
}

/// Sender of an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseHolder<'a> {
    /// Name of this process.
    pub name: &'a str,
    /// Fencing token of the owner.
    pub fencing_token: u64,
}

/// Client of the platform's machine service, which lists, moves and maintains
/// machines.
pub trait MachineClient {
    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond in time.
    fn list(&self) -> LocalFuture<'_, Result<Vec<ListedMachine>>>;

    /// Moves a machine to another pool; its worker ends.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if it may have been moved.
    fn change_pool<'a>(
        &'a self,
        holder: LeaseHolder<'a>,
        machine: &'a MachineName,
        pool: &'a PoolName,
    ) -> LocalFuture<'a, Result<MachineOutcome>>;

    /// Takes a machine down for the maintenance of a wave; its worker ends.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if the maintenance may have begun.
    fn begin_maintenance<'a>(
        &'a self,
        holder: LeaseHolder<'a>,
        machine: &'a MachineName,
        wave: u64,
    ) -> LocalFuture<'a, Result<MachineOutcome>>;
}

/// Services of one thread.
#[derive(Clone)]
pub struct DeploymentServices {
    /// Client of the table.
    pub table: rc::Rc<dyn TableStore>,
    /// Client of workers.
    pub workers: rc::Rc<dyn WorkerClient>,
    /// Client of the advisor.
    pub advisor: rc::Rc<dyn AdvisorClient>,
    /// Client of the platform's machine service.
    pub machines: rc::Rc<dyn MachineClient>,
}

/// Factory of the services of a thread and the formats of the deployment.
pub trait ServicesFactory: Send + Sync {
    /// Creates the services for the calling thread.
    fn services(&self) -> DeploymentServices;

    /// Returns the formats of the deployment.
    fn codec(&self) -> sync::Arc<dyn DeploymentCodec>;
}
