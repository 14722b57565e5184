//! Sends orders to workers, with a limit of concurrent orders per worker.
//!
//! Load pattern: start orders wait here while an operator evacuates their data centre, or
//! while the process is paused. Whether a start may be sent is decided when it is sent, by
//! the latest rows of operators. Once a process has released the ownership, it sends none
//! of the orders that still wait.

use std::collections::HashMap;
use std::rc;
use std::sync;
use std::time;

use redwing_jobs::evacuation::StartGuard;
use redwing_jobs::name::WorkerId;
use redwing_jobs::worker::{OrderAction, OrderOutcome, OrderResponse, WorkerOrder};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};

use crate::clock;
use crate::manifest::OperatorView;
use crate::services::{WorkerClient, WorkerReply};

/// Concurrent orders to one worker, not counting lease renewals.
const MAX_ORDERS_IN_FLIGHT: usize = 3;

/// Age above which a start order is not sent any more, because its worker
/// responds too slowly.
const MAX_START_WAIT: time::Duration = time::Duration::from_millis(1_200);

/// Order with the reply of its worker.
#[derive(Debug)]
pub(super) struct CompletedOrder {
    pub(super) order: WorkerOrder,
    pub(super) reply: WorkerReply,
}

/// Per-worker order queues; replies go to one channel.
pub(super) struct OrderQueues {
    client: rc::Rc<dyn WorkerClient>,
    completed: mpsc::UnboundedSender<CompletedOrder>,
    semaphores: HashMap<WorkerId, sync::Arc<Semaphore>>,
    permission: StartPermission,
    /// Whether nothing is sent any more; also once this is dropped.
    is_closed: watch::Sender<bool>,
}

/// Which starts the operators permit.
#[derive(Clone, Debug)]
pub(super) struct StartPermission {
    /// Longest time from the confirmation of an evacuation until the last start.
    pub(super) bound: Option<time::Duration>,
    pub(super) operators: watch::Receiver<OperatorView>,
}

impl StartPermission {
    /// Returns whether the operators' rows, as last read, permit to send an order now.
    fn permits(&self, order: &WorkerOrder) -> bool {
        let view = self.operators.borrow();
        let mut guard = StartGuard::new(self.bound);
        guard.set_evacuations(sync::Arc::clone(&view.evacuations));
        guard.set_confirmed(view.confirmed_at);
        guard.permits(order.data_centre.as_ref(), clock::boot_now())
    }

    /// Waits until the data centre of an order is evacuated; for an order without one, for
    /// ever.
    async fn withdrawn(mut self, order: &WorkerOrder) {
        let Some(data_centre) = &order.data_centre else {
            return std::future::pending().await;
        };
        let is_evacuated = |view: &OperatorView| view.evacuations.contains(data_centre);
        if self.operators.wait_for(is_evacuated).await.is_err() {
            std::future::pending().await
        }
    }
}

impl OrderQueues {
    pub(super) fn new(
        client: rc::Rc<dyn WorkerClient>,
        completed: mpsc::UnboundedSender<CompletedOrder>,
        permission: StartPermission,
    ) -> Self {
        Self {
            client,
            completed,
            semaphores: HashMap::new(),
            permission,
            is_closed: watch::Sender::new(false),
        }
    }

    /// Sends nothing any more: the orders that wait are not carried out.
    pub(super) fn close(&self) {
        self.is_closed.send_replace(true);
    }

    /// Sends an order in a separate task.
    pub(super) fn send(&mut self, order: WorkerOrder) {
        let client = rc::Rc::clone(&self.client);
        let completed = self.completed.clone();
        let semaphore = self.semaphore_for(&order);
        let permission = self.permission.clone();
        let is_closed = self.is_closed.subscribe();
        tokio::task::spawn_local(async move {
            let outgoing = OutgoingOrder {
                client: client.as_ref(),
                order: &order,
                semaphore,
                is_closed,
            };
            let reply = match order.action {
                OrderAction::Start { .. } => outgoing.send_start(permission).await,
                _ => outgoing.send().await,
            };
            // The receiver is gone if the session has ended.
            let _ = completed.send(CompletedOrder { order, reply });
        });
    }

    fn semaphore_for(&mut self, order: &WorkerOrder) -> Option<sync::Arc<Semaphore>> {
        if matches!(order.action, OrderAction::Renew { .. }) {
            return None;
        }
        let semaphore = self
            .semaphores
            .entry(order.worker.clone())
            .or_insert_with(|| sync::Arc::new(Semaphore::new(MAX_ORDERS_IN_FLIGHT)));
        Some(sync::Arc::clone(semaphore))
    }
}

/// Order that waits until its worker has few others.
struct OutgoingOrder<'a> {
    client: &'a dyn WorkerClient,
    order: &'a WorkerOrder,
    semaphore: Option<sync::Arc<Semaphore>>,
    is_closed: watch::Receiver<bool>,
}

impl OutgoingOrder<'_> {
    /// Waits for the turn of the order; a renewal needs none. Returns none if the queues
    /// are closed before.
    async fn turn(&self) -> Option<Option<OwnedSemaphorePermit>> {
        let mut is_closed = self.is_closed.clone();
        tokio::select! {
            biased;
            // An error means that the queues were dropped.
            _ = is_closed.wait_for(|is_closed| *is_closed) => None,
            turn = self.permit() => Some(turn),
        }
    }

    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        let semaphore = self.semaphore.clone()?;
        // The semaphore is never closed.
        semaphore.acquire_owned().await.ok()
    }

    async fn send(self) -> WorkerReply {
        let Some(_turn) = self.turn().await else {
            return self.unsent();
        };
        self.client.send(self.order).await
    }

    /// Sends a start, unless its data centre is evacuated before its turn.
    async fn send_start(self, permission: StartPermission) -> WorkerReply {
        let turn = tokio::select! {
            biased;
            () = permission.clone().withdrawn(self.order) => None,
            turn = self.turn() => turn,
        };
        let Some(_turn) = turn.filter(|_| permission.permits(self.order)) else {
            return self.unsent();
        };
        let waited = clock::boot_now().saturating_since(self.order.issued_at);
        if waited > MAX_START_WAIT {
            return rejected(OrderOutcome::Unhealthy);
        }
        self.client.send(self.order).await
    }

    /// Returns the reply to an order that was not sent.
    fn unsent(&self) -> WorkerReply {
        match self.order.action {
            OrderAction::Renew { .. } => WorkerReply::NoReport(OrderOutcome::Unsent),
            _ => rejected(OrderOutcome::Unsent),
        }
    }
}

/// Returns the reply to an order that was not carried out.
fn rejected(outcome: OrderOutcome) -> WorkerReply {
    WorkerReply::Order(OrderResponse {
        outcome,
        clock_ms: None,
    })
}
