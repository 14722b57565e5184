//! Sends orders to workers, with a limit of concurrent orders per worker.

use std::collections::HashMap;
use std::rc;
use std::sync;
use std::time;

use redwing_jobs::name::WorkerId;
use redwing_jobs::worker::{OrderAction, OrderOutcome, OrderResponse, WorkerOrder};
use tokio::sync::{Semaphore, mpsc};

use crate::clock;
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
}

impl OrderQueues {
    pub(super) fn new(
        client: rc::Rc<dyn WorkerClient>,
        completed: mpsc::UnboundedSender<CompletedOrder>,
    ) -> Self {
        Self {
            client,
            completed,
            semaphores: HashMap::new(),
        }
    }

    /// Sends an order in a separate task.
    pub(super) fn send(&mut self, order: WorkerOrder) {
        let client = rc::Rc::clone(&self.client);
        let completed = self.completed.clone();
        let semaphore = self.semaphore_for(&order);
        tokio::task::spawn_local(async move {
            let reply = send_within_limit(client.as_ref(), semaphore, &order).await;
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

async fn send_within_limit(
    client: &dyn WorkerClient,
    semaphore: Option<sync::Arc<Semaphore>>,
    order: &WorkerOrder,
) -> WorkerReply {
    let _permit = match &semaphore {
        // The semaphore is never closed.
        Some(semaphore) => semaphore.acquire().await.ok(),
        None => None,
    };
    let waited = clock::boot_now().saturating_since(order.issued_at);
    let is_start = matches!(order.action, OrderAction::Start { .. });
    if is_start && waited > MAX_START_WAIT {
        return WorkerReply::Order(OrderResponse {
            outcome: OrderOutcome::Unhealthy,
            clock_ms: None,
        });
    }
    client.send(order).await
}
