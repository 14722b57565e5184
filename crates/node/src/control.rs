//! Task on the control thread that owns the scheduler and executes its decisions.
//!
//! Traffic threads and the other tasks of the control thread send commands to it
//! through a [`ControlHandle`]. The task ends once the last handle is dropped.

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

use crate::evacuation::{DispatchDeadline, EvacuationReceiver};
use crate::event;
use crate::metrics::SchedulerMetrics;
use crate::settings::{self, NodeSettings};
use crate::snapshot::SnapshotSender;
use crate::stop::StopPhase;

/// Interval between scheduler ticks while requests wait or run.
const BUSY_TICK_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Interval between scheduler ticks while no request waits or runs.
const IDLE_TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Largest number of commands handled before the scheduler's decisions are executed.
const MAX_COMMAND_BATCH: usize = 256;

/// Scheduler's decision about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestVerdict {
    /// Send the request to a backend server.
    Dispatch(DispatchOrder),
    /// Refuse the request; no further attempt follows.
    Refuse(RequestRefusal),
}

/// Backend server that an attempt is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchOrder {
    /// VM of the backend server.
    pub vm: VmId,
    /// Address of the backend server.
    pub address: net::SocketAddr,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// Message from the scheduler to another entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEnvelope {
    /// Receiver.
    pub to: NodeIncarnation,
    /// Content.
    pub message: PeerMessage,
}

/// Sender of the verdict on a request.
pub type VerdictSender = oneshot::Sender<RequestVerdict>;

/// Command to the scheduler task.
#[derive(Debug)]
pub enum ControlCommand {
    /// Submit a new request.
    Submit {
        /// Request to schedule.
        ticket: RequestTicket,
        /// Sender of the verdict.
        reply: VerdictSender,
    },
    /// Drop a request whose caller has disconnected or received its response.
    Cancel(TicketId),
    /// Report an attempt that ended.
    Finish {
        /// Number of the request.
        id: TicketId,
        /// How the attempt ended.
        report: AttemptReport,
        /// Sender of the next verdict, if another attempt may follow.
        reply: Option<VerdictSender>,
    },
    /// Replace the fleet view.
    Install(Box<FleetView>),
    /// Deliver a message from another entry process.
    Receive {
        /// Sender.
        from: NodeIncarnation,
        /// Content.
        message: Box<PeerMessage>,
    },
    /// Call a function with the scheduler, between other commands.
    Call(SchedulerCall),
    /// Refuse new requests, and signal once no request waits or runs.
    Leave(oneshot::Sender<()>),
}

/// Function that is called once with the scheduler and the time.
type CallFn = dyn FnOnce(&mut NodeScheduler, NodeTime) + Send;

/// Function to call with the scheduler.
pub struct SchedulerCall(Box<CallFn>);

impl fmt::Debug for SchedulerCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SchedulerCall(..)")
    }
}

/// Monotonic clock of the process, shared by all its threads.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock(time::Instant);

impl NodeClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self(time::Instant::now())
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> NodeTime {
        NodeTime::from(self.0.elapsed())
    }

    /// Returns the instant at which the clock shows `at`.
    pub fn instant(&self, at: NodeTime) -> time::Instant {
        self.0 + at.since_start()
    }
}

/// Sender of commands to the scheduler task, usable from any thread.
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

    /// Returns a ticket number for a new request.
    pub fn next_ticket(&self) -> TicketId {
        TicketId(self.next_ticket.fetch_add(1, atomic::Ordering::Relaxed))
    }

    /// Sends a command; it is dropped if the control thread has ended.
    pub fn send(&self, command: ControlCommand) {
        let _ = self.commands.send(command);
    }

    /// Submits a request and returns the receiver of its verdict.
    pub fn submit(&self, ticket: RequestTicket) -> oneshot::Receiver<RequestVerdict> {
        let (reply, verdict) = oneshot::channel();
        self.send(ControlCommand::Submit { ticket, reply });
        verdict
    }

    /// Reports the last attempt of a request.
    pub fn finish(&self, id: TicketId, report: AttemptReport) {
        let reply = None;
        self.send(ControlCommand::Finish { id, report, reply });
    }

    /// Reports an attempt and returns the receiver of the next verdict.
    pub fn retry(&self, id: TicketId, report: AttemptReport) -> oneshot::Receiver<RequestVerdict> {
        let (sender, verdict) = oneshot::channel();
        let reply = Some(sender);
        self.send(ControlCommand::Finish { id, report, reply });
        verdict
    }

    /// Calls `work` with the scheduler and returns its result, or `None` if the
    /// control thread has ended.
    pub async fn call<R, F>(&self, work: F) -> Option<R>
    where
        R: Send + 'static,
        F: FnOnce(&mut NodeScheduler, NodeTime) -> R + Send + 'static,
    {
        let (sender, result) = oneshot::channel();
        let call = move |scheduler: &mut NodeScheduler, now: NodeTime| {
            let _ = sender.send(work(scheduler, now));
        };
        self.send(ControlCommand::Call(SchedulerCall(Box::new(call))));
        result.await.ok()
    }

    /// Calls `work` with the scheduler, without waiting for it.
    pub fn run<F>(&self, work: F)
    where
        F: FnOnce(&mut NodeScheduler, NodeTime) + Send + 'static,
    {
        self.send(ControlCommand::Call(SchedulerCall(Box::new(work))));
    }

    /// Refuses new requests and waits until no request waits or runs.
    pub async fn leave(&self) {
        let (sender, done) = oneshot::channel();
        self.send(ControlCommand::Leave(sender));
        let _ = done.await;
    }
}

/// Services shared by the tasks of the control thread.
///
/// The tasks run as local tasks beside the scheduler task and end when `stop`
/// reaches [`StopPhase::Ended`].
#[derive(Clone)]
pub struct NodeServices {
    /// Settings of the process.
    pub settings: rc::Rc<NodeSettings>,
    /// Services of the platform.
    pub platform: PlatformServices,
    /// Publisher of the state that traffic threads read.
    pub snapshots: rc::Rc<SnapshotSender>,
    /// Handle of the scheduler task.
    pub control: ControlHandle,
    /// Stop phase of the process.
    pub stop: watch::Receiver<StopPhase>,
}

/// Command channel of the scheduler task before the task is started.
#[derive(Debug)]
pub struct ControlChannel {
    /// Handle of the scheduler task.
    pub handle: ControlHandle,
    /// Gauges of the scheduler's state, if they are exported.
    pub metrics: Option<SchedulerMetrics>,
    /// Receiver of the evacuations in force, if there are any.
    pub evacuations: Option<EvacuationReceiver>,
    commands: mpsc::UnboundedReceiver<ControlCommand>,
}

impl ControlChannel {
    /// Creates the channel.
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
            evacuations: None,
            commands,
        }
    }

    /// Starts the scheduler task as a local task; messages to other entry
    /// processes are sent to `outbox`.
    pub fn start(
        self,
        node: NodeIncarnation,
        scheduler: SchedulerSettings,
        outbox: mpsc::UnboundedSender<PeerEnvelope>,
    ) -> ControlHandle {
        let handle = self.handle;
        let task = SchedulerTask {
            pause_limit: scheduler.task_lease / settings::PAUSE_LIMITS_PER_LEASE,
            scheduler: NodeScheduler::new(scheduler, node),
            clock: handle.clock,
            last_active: handle.clock.now(),
            last_active_wall: time::SystemTime::now(),
            metrics: self.metrics,
            evacuations: self.evacuations,
            dispatch_deadline: None,
            is_held: false,
            verdict_senders: HashMap::new(),
            running: 0,
            leave_waiters: Vec::new(),
            outbox,
        };
        actix_rt::spawn(task.run(self.commands));
        handle
    }
}

/// Task that owns the scheduler.
struct SchedulerTask {
    scheduler: NodeScheduler,
    clock: NodeClock,
    metrics: Option<SchedulerMetrics>,
    evacuations: Option<EvacuationReceiver>,
    dispatch_deadline: Option<DispatchDeadline>,
    is_held: bool,
    verdict_senders: HashMap<TicketId, VerdictSender>,
    running: usize,
    pause_limit: time::Duration,
    last_active: NodeTime,
    last_active_wall: time::SystemTime,
    leave_waiters: Vec<oneshot::Sender<()>>,
    outbox: mpsc::UnboundedSender<PeerEnvelope>,
}

impl SchedulerTask {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<ControlCommand>) {
        let mut last_tick = self.clock.now();
        loop {
            let period = self.tick_period();
            let due = self.clock.instant(last_tick + period);
            tokio::select! {
                biased;
                command = commands.recv() => {
                    let Some(command) = command else {
                        return;
                    };
                    self.check_pause(self.clock.now());
                    self.follow_evacuations(self.clock.now());
                    self.handle(command);
                    self.handle_queued(&mut commands);
                }
                () = tokio::time::sleep_until(due.into()) => {}
            }
            let now = self.clock.now();
            self.check_pause(now);
            self.follow_evacuations(now);
            if now.saturating_since(last_tick) >= period {
                self.scheduler.tick(now);
                last_tick = now;
                self.update_metrics();
            }
            self.execute();
            self.notify_leave_waiters();
        }
    }

    /// Suspends the scheduler if the process was paused for so long that another
    /// process may have replaced it. The next membership round that finds the
    /// process's row unchanged resumes the scheduler.
    ///
    /// The monotonic clock may not count the time that the VM was suspended, so
    /// the wall clock is checked as well.
    fn check_pause(&mut self, now: NodeTime) {
        let wall = time::SystemTime::now();
        let by_clock = now.saturating_since(self.last_active);
        let by_wall = wall
            .duration_since(self.last_active_wall)
            .unwrap_or_default();
        let gap = by_clock.max(by_wall);
        if gap > self.pause_limit {
            self.scheduler.suspend(now);
            log_event!(
                warn,
                event::PAUSE_NOTICED,
                "paused for {} s; scheduling is suspended until the next membership round",
                gap.as_secs_f64()
            );
        }
        self.last_active = now;
        self.last_active_wall = wall;
    }

    /// Passes a change of the evacuations to the scheduler, and holds it while the
    /// configuration is too old to know them.
    fn follow_evacuations(&mut self, now: NodeTime) {
        let Some(evacuations) = &mut self.evacuations else {
            return;
        };
        // Once the sender is gone, the process is ending.
        if evacuations.has_changed().unwrap_or(false) {
            let notice = evacuations.borrow_and_update().clone();
            self.scheduler.set_evacuations(now, &notice.evacuated);
            self.dispatch_deadline = notice.deadline;
        }
        let deadline = self.dispatch_deadline.as_ref();
        let is_held = deadline.is_some_and(|deadline| !deadline.allows(time::Instant::now()));
        if is_held != self.is_held {
            log_event!(
                warn,
                event::DISPATCH_HELD,
                "requests are held back because the configuration is too old: {is_held}"
            );
            self.is_held = is_held;
            self.scheduler.set_held(now, is_held);
        }
    }

    fn update_metrics(&self) {
        if let Some(metrics) = &self.metrics {
            metrics.update(&self.scheduler);
        }
    }

    fn tick_period(&self) -> time::Duration {
        if self.is_idle() {
            IDLE_TICK_INTERVAL
        } else {
            BUSY_TICK_INTERVAL
        }
    }

    fn is_idle(&self) -> bool {
        self.verdict_senders.is_empty() && self.running == 0
    }

    fn handle_queued(&mut self, commands: &mut mpsc::UnboundedReceiver<ControlCommand>) {
        for _ in 1..MAX_COMMAND_BATCH {
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
                self.verdict_senders.insert(ticket.id, reply);
                self.scheduler.submit(now, ticket);
            }
            ControlCommand::Cancel(id) => {
                self.verdict_senders.remove(&id);
                self.scheduler.cancel(now, id);
            }
            ControlCommand::Finish { id, report, reply } => {
                self.running = self.running.saturating_sub(1);
                let verdict = self.scheduler.finish(now, id, &report);
                // If no attempt follows, dropping `reply` closes the receiver at once.
                if let (AttemptVerdict::Pending, Some(reply)) = (verdict, reply) {
                    self.verdict_senders.insert(id, reply);
                }
            }
            ControlCommand::Install(view) => self.scheduler.install(now, *view),
            ControlCommand::Receive { from, message } => {
                self.scheduler.receive(now, &from, *message);
            }
            ControlCommand::Call(call) => (call.0)(&mut self.scheduler, now),
            ControlCommand::Leave(done) => {
                self.scheduler.leave(now);
                self.leave_waiters.push(done);
            }
        }
    }

    /// Executes decisions until none are left. If the receiver of a dispatch is
    /// gone, the slot is released at once, which may lead to further decisions.
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
                if !self.send_verdict(id, RequestVerdict::Dispatch(order)) {
                    self.running -= 1;
                    let now = self.clock.now();
                    self.scheduler.finish(now, id, &undelivered_report(vm));
                }
            }
            SchedulerAction::Refuse { id, refusal } => {
                self.send_verdict(id, RequestVerdict::Refuse(refusal));
            }
            SchedulerAction::Send { to, message } => {
                let envelope = PeerEnvelope { to, message };
                if self.outbox.send(envelope).is_err() {
                    log_event!(
                        debug,
                        event::OUTBOX_CLOSED,
                        "message to a peer dropped: the peer task has ended"
                    );
                }
            }
        }
    }

    /// Sends a verdict; returns whether the receiver still exists.
    fn send_verdict(&mut self, id: TicketId, verdict: RequestVerdict) -> bool {
        let sender = self.verdict_senders.remove(&id);
        sender.is_some_and(|sender| sender.send(verdict).is_ok())
    }

    fn notify_leave_waiters(&mut self) {
        if !self.leave_waiters.is_empty() && self.is_idle() {
            for done in self.leave_waiters.drain(..) {
                let _ = done.send(());
            }
        }
    }
}

/// Returns the report of an attempt whose dispatch reached no receiver.
pub(crate) fn undelivered_report(vm: VmId) -> AttemptReport {
    AttemptReport {
        vm,
        outcome: RunOutcome::NotRun,
        faulty: false,
        ended: true,
        response_started: true,
    }
}
