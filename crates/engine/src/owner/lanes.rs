//! Sends orders to workers, few at a time to each.

use std::collections::HashMap;
use std::rc;
use std::sync;
use std::time;

use redwing_jobs::name::WorkerId;
use redwing_jobs::worker::{OrderAction, OrderOutcome, OrderResponse, WorkerOrder};
use tokio::sync::{Semaphore, mpsc};

use crate::clock;
use crate::services::{WorkerClient, WorkerReply};

/// Orders to one worker that wait for their answers at a time, holds aside.
const ORDERS_IN_FLIGHT: usize = 3;

/// Age at which an order to start is not sent any more: its worker answers
/// too slowly.
const LONGEST_WAIT: time::Duration = time::Duration::from_millis(1_200);

/// Order with its answer.
#[derive(Debug)]
pub(super) struct AnsweredOrder {
    pub(super) order: WorkerOrder,
    pub(super) reply: WorkerReply,
}

/// Sends orders and passes their answers on.
pub(super) struct OrderLanes {
    client: rc::Rc<dyn WorkerClient>,
    answers: mpsc::UnboundedSender<AnsweredOrder>,
    lanes: HashMap<WorkerId, sync::Arc<Semaphore>>,
}

impl OrderLanes {
    pub(super) fn new(
        client: rc::Rc<dyn WorkerClient>,
        answers: mpsc::UnboundedSender<AnsweredOrder>,
    ) -> Self {
        Self {
            client,
            answers,
            lanes: HashMap::new(),
        }
    }

    /// Sends an order in a task of its own.
    pub(super) fn send(&mut self, order: WorkerOrder) {
        let client = rc::Rc::clone(&self.client);
        let answers = self.answers.clone();
        let lane = self.lane(&order);
        tokio::task::spawn_local(async move {
            let reply = send_in_turn(client.as_ref(), lane, &order).await;
            // The session may have ended in the meantime.
            let _ = answers.send(AnsweredOrder { order, reply });
        });
    }

    fn lane(&mut self, order: &WorkerOrder) -> Option<sync::Arc<Semaphore>> {
        if matches!(order.action, OrderAction::Renew { .. }) {
            return None;
        }
        let lane = self
            .lanes
            .entry(order.worker.clone())
            .or_insert_with(|| sync::Arc::new(Semaphore::new(ORDERS_IN_FLIGHT)));
        Some(sync::Arc::clone(lane))
    }
}

async fn send_in_turn(
    client: &dyn WorkerClient,
    lane: Option<sync::Arc<Semaphore>>,
    order: &WorkerOrder,
) -> WorkerReply {
    let _turn = match &lane {
        // The semaphore is never closed.
        Some(lane) => lane.acquire().await.ok(),
        None => None,
    };
    let waited = clock::boot_now().saturating_since(order.issued_at);
    let is_start = matches!(order.action, OrderAction::Start { .. });
    if is_start && waited > LONGEST_WAIT {
        return WorkerReply::Order(OrderResponse {
            outcome: OrderOutcome::Unhealthy,
            clock_ms: None,
        });
    }
    client.send(order).await
}
