//! What surrounds an entry process, as traits.

use std::rc;
use std::sync;

use redwing_jobs::name::{MachineName, PoolName, WorkerId, WorkerLabel};
use redwing_jobs::scheduler::{AdviceRequest, AdviceResponse};
use redwing_jobs::spec::ResourceAmount;
use redwing_jobs::worker::{OrderOutcome, OrderResponse, RenewalReport, WorkerOrder};
use redwing_provider::{LocalFuture, Result, TableStore};

use crate::codec::DeploymentCodec;

/// Answer of a worker to an order.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// Answer to a start, a stop or a limit.
    Order(OrderResponse),
    /// Lists in answer to a hold.
    Report(RenewalReport),
    /// The hold was not answered with lists.
    NoReport(OrderOutcome),
}

/// Sends orders to workers; each call ends within its own timeout.
pub trait WorkerClient {
    /// Sends one order and waits for its answer.
    fn send<'a>(&'a self, order: &'a WorkerOrder) -> LocalFuture<'a, WorkerReply>;
}

/// Knows which workers may run a step, on queues that ask for it.
pub trait AdvisorClient {
    /// Asks one question; the advisor takes one at a time.
    ///
    /// # Errors
    ///
    /// Fails if there is no advisor, or it does not answer in time.
    fn advise<'a>(&'a self, question: &'a AdviceRequest)
    -> LocalFuture<'a, Result<AdviceResponse>>;
}

/// What the platform is doing with a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// It runs its worker.
    Up,
    /// It is on the way to another pool.
    Moving,
    /// It is in upkeep.
    Upkeep,
    /// It is down.
    Down,
}

/// Machine as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// Name of the machine.
    pub name: MachineName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// What the platform is doing with it.
    pub state: MachineState,
    /// Worker that runs on it.
    pub worker: Option<WorkerId>,
    /// What the machine offers.
    pub capacity: ResourceAmount,
    /// Its labels.
    pub labels: Vec<WorkerLabel>,
}

/// What became of an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineOutcome {
    /// It is done, or was done before.
    Accepted,
    /// A newer owner gave an order for the machine.
    Fenced,
    /// The machine is not up or is about to leave.
    Busy,
    /// The machine does not belong to the wave.
    NotInWave,
    /// There is no such machine, or it cannot join the pool.
    Invalid,
    /// Too many calls; nothing was done.
    Throttled,
}

/// Who gives an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineHolder<'a> {
    /// Name of this process.
    pub name: &'a str,
    /// Fencing token of the owner.
    pub fence: u64,
}

/// Lists, moves and maintains machines.
pub trait MachineClient {
    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    fn list(&self) -> LocalFuture<'_, Result<Vec<ListedMachine>>>;

    /// Moves a machine to another pool; what runs on it ends.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if it may have been moved.
    fn change_pool<'a>(
        &'a self,
        holder: MachineHolder<'a>,
        machine: &'a MachineName,
        pool: &'a PoolName,
    ) -> LocalFuture<'a, Result<MachineOutcome>>;

    /// Takes a machine down for the upkeep of a wave; what runs on it ends.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if the upkeep may have begun.
    fn begin_upkeep<'a>(
        &'a self,
        holder: MachineHolder<'a>,
        machine: &'a MachineName,
        wave: u64,
    ) -> LocalFuture<'a, Result<MachineOutcome>>;
}

/// Services of one thread.
#[derive(Clone)]
pub struct DeploymentServices {
    /// Transactional table.
    pub table: rc::Rc<dyn TableStore>,
    /// Orders to workers.
    pub workers: rc::Rc<dyn WorkerClient>,
    /// Permits for workers.
    pub advisor: rc::Rc<dyn AdvisorClient>,
    /// Orders for machines.
    pub machines: rc::Rc<dyn MachineClient>,
}

/// Creates the services of a thread, and the formats of the deployment.
pub trait ServicesFactory: Send + Sync {
    /// Creates the services for the calling thread.
    fn services(&self) -> DeploymentServices;

    /// Returns the formats of the deployment.
    fn codec(&self) -> sync::Arc<dyn DeploymentCodec>;
}
