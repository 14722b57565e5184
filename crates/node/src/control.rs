//! The control thread: it owns the scheduler and executes its decisions.
//!
//! Traffic threads and the tasks of the control thread reach the scheduler
//! through a [`ControlHandle`]. Its task ends once the last handle is dropped.

use std::collections::HashMap;
use std::fmt;
use std::net;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::time;

use redwing_model::{NodeIncarnation, RunOutcome, VmId};
use redwing_policy::ticket::RequestRefusal;
use redwing_policy::{
    AttemptReport, AttemptVerdict, FleetView, NodeScheduler, NodeTime, PeerMessage, RequestTicket,
    SchedulerAction, SchedulerSettings, TicketId,
};
use redwing_provider::PlatformServices;
use tokio::sync::{mpsc, oneshot, watch};

use crate::event;
use crate::metrics::ControlMetrics;
use crate::settings::{self, NodeSettings};
use crate::snapshot::SnapshotSender;
use crate::stop::StopPhase;

/// Time between two ticks of the scheduler while requests are outstanding.
const BUSY_TICK: time::Duration = time::Duration::from_millis(5);

/// Time between two ticks of the scheduler while none is.
const IDLE_TICK: time::Duration = time::Duration::from_millis(50);

/// Commands handled in a row before the scheduler's decisions are executed.
const COMMAND_BATCH: usize = 256;

/// What the scheduler decided about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestVerdict {
    /// Send it to a backend server.
    Dispatch(DispatchOrder),
    /// Answer it with a refusal; no further attempt follows.
    Refuse(RequestRefusal),
}

/// Where a request is to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchOrder {
    /// VM of the backend server.
    pub vm: VmId,
    /// Address of the backend server.
    pub address: net::SocketAddr,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// Message to another entry process, as the scheduler wants it sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEnvelope {
    /// The receiver.
    pub to: NodeIncarnation,
    /// The message.
    pub message: PeerMessage,
}

/// Where the verdict on a request is sent.
pub type VerdictSender = oneshot::Sender<RequestVerdict>;

/// What the owner of the scheduler is asked to do.
#[derive(Debug)]
pub enum ControlCommand {
    /// Take a new request.
    Submit {
        /// The request.
        ticket: RequestTicket,
        /// Where the verdict goes.
        reply: VerdictSender,
    },
    /// Forget a request whose caller has gone or got its answer.
    Cancel(TicketId),
    /// Take the report of an attempt that ended.
    Finish {
        /// Number of the request.
        id: TicketId,
        /// How the attempt ended.
        report: AttemptReport,
        /// Where the next verdict goes, if another attempt may follow.
        reply: Option<VerdictSender>,
    },
    /// Replace the view of the fleet.
    Install(Box<FleetView>),
    /// Take a message from another entry process.
    Receive {
        /// The sender.
        from: NodeIncarnation,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Run `work` with the scheduler, between two other commands.
    Visit(SchedulerVisit),
    /// Refuse new requests, and tell when nothing waits or runs.
    Leave(oneshot::Sender<()>),
}

/// Function that is called once with the scheduler and the time.
type VisitFn = dyn FnOnce(&mut NodeScheduler, NodeTime) + Send;

/// Work that needs the scheduler itself.
pub struct SchedulerVisit(Box<VisitFn>);

impl fmt::Debug for SchedulerVisit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SchedulerVisit(..)")
    }
}

/// Clock of the process, the same on all its threads.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock(time::Instant);

impl NodeClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self(time::Instant::now())
    }

    /// Returns the time since the start.
    pub fn now(&self) -> NodeTime {
        NodeTime::from(self.0.elapsed())
    }

    /// Returns the instant at which the clock shows `at`.
    pub fn instant(&self, at: NodeTime) -> time::Instant {
        self.0 + at.since_start()
    }
}

/// Way to the owner of the scheduler, from any thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<ControlCommand>,
    next_ticket: sync::Arc<atomic::AtomicU64>,
    clock: NodeClock,
}

impl ControlHandle {
    /// Returns the clock of the process.
    pub fn clock(&self) -> NodeClock {
        self.clock
    }

    /// Returns a number for a new request.
    pub fn next_ticket(&self) -> TicketId {
        TicketId(self.next_ticket.fetch_add(1, atomic::Ordering::Relaxed))
    }

    /// Sends a command; it is dropped if the control thread has ended.
    pub fn send(&self, command: ControlCommand) {
        let _ = self.commands.send(command);
    }

    /// Submits a request and returns where its verdict arrives.
    pub fn submit(&self, ticket: RequestTicket) -> oneshot::Receiver<RequestVerdict> {
        let (reply, verdict) = oneshot::channel();
        self.send(ControlCommand::Submit { ticket, reply });
        verdict
    }

    /// Reports an attempt after which no other follows.
    pub fn finish(&self, id: TicketId, report: AttemptReport) {
        let reply = None;
        self.send(ControlCommand::Finish { id, report, reply });
    }

    /// Reports an attempt and returns where the next verdict arrives.
    pub fn retry(&self, id: TicketId, report: AttemptReport) -> oneshot::Receiver<RequestVerdict> {
        let (sender, verdict) = oneshot::channel();
        let reply = Some(sender);
        self.send(ControlCommand::Finish { id, report, reply });
        verdict
    }

    /// Runs `work` with the scheduler and returns its result, or `None` if
    /// the control thread has ended.
    pub async fn visit<R, F>(&self, work: F) -> Option<R>
    where
        R: Send + 'static,
        F: FnOnce(&mut NodeScheduler, NodeTime) -> R + Send + 'static,
    {
        let (sender, result) = oneshot::channel();
        let visit = move |scheduler: &mut NodeScheduler, now: NodeTime| {
            let _ = sender.send(work(scheduler, now));
        };
        self.send(ControlCommand::Visit(SchedulerVisit(Box::new(visit))));
        result.await.ok()
    }

    /// Refuses new requests and waits until nothing waits or runs any more.
    pub async fn leave(&self) {
        let (sender, done) = oneshot::channel();
        self.send(ControlCommand::Leave(sender));
        let _ = done.await;
    }
}

/// What the tasks on the control thread work with.
///
/// They run as local tasks beside the owner of the scheduler and end when
/// `stop` shows [`StopPhase::Ended`].
#[derive(Clone)]
pub struct NodeServices {
    /// Settings of the process.
    pub settings: rc::Rc<NodeSettings>,
    /// Services of the platform.
    pub platform: PlatformServices,
    /// Where the state that traffic threads read is published.
    pub snapshots: rc::Rc<SnapshotSender>,
    /// Way to the scheduler.
    pub control: ControlHandle,
    /// How far the process has stopped.
    pub stop: watch::Receiver<StopPhase>,
}

/// Channels of the control thread before it runs.
#[derive(Debug)]
pub struct ControlChannel {
    /// Way to the owner of the scheduler.
    pub handle: ControlHandle,
    /// Gauges that show the scheduler's state.
    pub metrics: Option<ControlMetrics>,
    commands: mpsc::UnboundedReceiver<ControlCommand>,
}

impl ControlChannel {
    /// Creates the channels.
    pub fn open(clock: NodeClock) -> Self {
        let (sender, commands) = mpsc::unbounded_channel();
        let handle = ControlHandle {
            commands: sender,
            next_ticket: sync::Arc::new(atomic::AtomicU64::new(1)),
            clock,
        };
        Self {
            handle,
            metrics: None,
            commands,
        }
    }

    /// Starts the owner of the scheduler as a local task; messages to other
    /// entry processes go to `outbox`.
    pub fn start(
        self,
        node: NodeIncarnation,
        scheduler: SchedulerSettings,
        outbox: mpsc::UnboundedSender<PeerEnvelope>,
    ) -> ControlHandle {
        let handle = self.handle;
        let owner = SchedulerOwner {
            pause_limit: scheduler.task_lease / settings::PAUSE_LIMITS_PER_LEASE,
            scheduler: NodeScheduler::new(scheduler, node),
            clock: handle.clock,
            awake: handle.clock.now(),
            awake_wall: time::SystemTime::now(),
            metrics: self.metrics,
            replies: HashMap::new(),
            running: 0,
            leaving: Vec::new(),
            outbox,
        };
        actix_rt::spawn(owner.run(self.commands));
        handle
    }
}

/// Owner of the scheduler.
struct SchedulerOwner {
    scheduler: NodeScheduler,
    clock: NodeClock,
    metrics: Option<ControlMetrics>,
    replies: HashMap<TicketId, VerdictSender>,
    running: usize,
    pause_limit: time::Duration,
    awake: NodeTime,
    awake_wall: time::SystemTime,
    leaving: Vec<oneshot::Sender<()>>,
    outbox: mpsc::UnboundedSender<PeerEnvelope>,
}

impl SchedulerOwner {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<ControlCommand>) {
        let mut ticked = self.clock.now();
        loop {
            let period = self.tick_period();
            let due = self.clock.instant(ticked + period);
            tokio::select! {
                biased;
                command = commands.recv() => {
                    let Some(command) = command else {
                        return;
                    };
                    self.check_pause(self.clock.now());
                    self.handle(command);
                    self.handle_more(&mut commands);
                }
                () = tokio::time::sleep_until(due.into()) => {}
            }
            let now = self.clock.now();
            self.check_pause(now);
            if now.saturating_since(ticked) >= period {
                self.scheduler.tick(now);
                ticked = now;
                self.show();
            }
            self.execute();
            self.tell_leaving();
        }
    }

    /// Suspends the scheduler if the process stood still for so long that its
    /// place may be taken; the next membership round that finds its row
    /// unchanged resumes it.
    ///
    /// The clock of the process may not count the time that the VM was
    /// suspended, so the wall clock is looked at too.
    fn check_pause(&mut self, now: NodeTime) {
        let wall = time::SystemTime::now();
        let by_clock = now.saturating_since(self.awake);
        let by_wall = wall.duration_since(self.awake_wall).unwrap_or_default();
        let gap = by_clock.max(by_wall);
        if gap > self.pause_limit {
            self.scheduler.suspend(now);
            log_event!(warn, event::PAUSE_NOTICED, "for {} s", gap.as_secs_f64());
        }
        self.awake = now;
        self.awake_wall = wall;
    }

    fn show(&self) {
        if let Some(metrics) = &self.metrics {
            metrics.show(&self.scheduler);
        }
    }

    fn tick_period(&self) -> time::Duration {
        if self.is_idle() { IDLE_TICK } else { BUSY_TICK }
    }

    fn is_idle(&self) -> bool {
        self.replies.is_empty() && self.running == 0
    }

    fn handle_more(&mut self, commands: &mut mpsc::UnboundedReceiver<ControlCommand>) {
        for _ in 1..COMMAND_BATCH {
            let Ok(command) = commands.try_recv() else {
                return;
            };
            self.handle(command);
        }
    }

    fn handle(&mut self, command: ControlCommand) {
        let now = self.clock.now();
        match command {
            ControlCommand::Submit { ticket, reply } => {
                self.replies.insert(ticket.id, reply);
                self.scheduler.submit(now, ticket);
            }
            ControlCommand::Cancel(id) => {
                self.replies.remove(&id);
                self.scheduler.cancel(now, id);
            }
            ControlCommand::Finish { id, report, reply } => {
                self.running = self.running.saturating_sub(1);
                let verdict = self.scheduler.finish(now, id, &report);
                // Without another attempt the dropped reply says so at once.
                if let (AttemptVerdict::Pending, Some(reply)) = (verdict, reply) {
                    self.replies.insert(id, reply);
                }
            }
            ControlCommand::Install(view) => self.scheduler.install(now, *view),
            ControlCommand::Receive { from, message } => {
                self.scheduler.receive(now, &from, *message);
            }
            ControlCommand::Visit(visit) => (visit.0)(&mut self.scheduler, now),
            ControlCommand::Leave(done) => {
                self.scheduler.leave(now);
                self.leaving.push(done);
            }
        }
    }

    /// Executes decisions until no more come; a request that nobody waits for
    /// any more gives its place back at once.
    fn execute(&mut self) {
        loop {
            let actions = self.scheduler.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute_one(action);
            }
        }
    }

    fn execute_one(&mut self, action: SchedulerAction) {
        match action {
            SchedulerAction::Dispatch {
                id,
                vm,
                address,
                attempt,
            } => {
                let order = DispatchOrder {
                    vm: vm.clone(),
                    address,
                    attempt,
                };
                self.running += 1;
                if !self.tell(id, RequestVerdict::Dispatch(order)) {
                    self.running -= 1;
                    let now = self.clock.now();
                    self.scheduler.finish(now, id, &undelivered(vm));
                }
            }
            SchedulerAction::Refuse { id, refusal } => {
                self.tell(id, RequestVerdict::Refuse(refusal));
            }
            SchedulerAction::Send { to, message } => {
                let envelope = PeerEnvelope { to, message };
                if self.outbox.send(envelope).is_err() {
                    log_event!(debug, event::OUTBOX_CLOSED, "no peer task takes messages");
                }
            }
        }
    }

    /// Passes a verdict on; returns whether somebody took it.
    fn tell(&mut self, id: TicketId, verdict: RequestVerdict) -> bool {
        let reply = self.replies.remove(&id);
        reply.is_some_and(|reply| reply.send(verdict).is_ok())
    }

    fn tell_leaving(&mut self) {
        if !self.leaving.is_empty() && self.is_idle() {
            for done in self.leaving.drain(..) {
                let _ = done.send(());
            }
        }
    }
}

/// Returns the report of an attempt that was never made.
pub(crate) fn undelivered(vm: VmId) -> AttemptReport {
    AttemptReport {
        vm,
        outcome: RunOutcome::NotRun,
        faulty: false,
        ended: true,
        response_started: true,
    }
}
