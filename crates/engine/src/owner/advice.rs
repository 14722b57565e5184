//! Task that sends requests to the advisor, one at a time.

use std::rc;

use redwing_jobs::scheduler::{AdviceRequest, AdviceResponse};
use tokio::sync::mpsc;

use crate::event;
use crate::log_job_event;
use crate::services::AdvisorClient;

/// Request to the advisor and its outcome.
#[derive(Debug)]
pub(super) struct AdviceResult {
    pub(super) request: AdviceRequest,
    /// Response of the advisor; none if the call failed.
    pub(super) response: Option<AdviceResponse>,
}

/// Starts a task that sends each received request to the advisor; it ends
/// once the request channel is closed.
pub(super) fn start(
    advisor: rc::Rc<dyn AdvisorClient>,
) -> (
    mpsc::UnboundedSender<AdviceRequest>,
    mpsc::UnboundedReceiver<AdviceResult>,
) {
    let (request_sender, mut requests) = mpsc::unbounded_channel::<AdviceRequest>();
    let (result_sender, results) = mpsc::unbounded_channel();
    tokio::task::spawn_local(async move {
        while let Some(request) = requests.recv().await {
            let response = match advisor.advise(&request).await {
                Ok(response) => Some(response),
                Err(error) => {
                    log_job_event!(
                        warn,
                        event::ADVICE_FAILED,
                        step = request.step,
                        error = error,
                    );
                    None
                }
            };
            if result_sender
                .send(AdviceResult { request, response })
                .is_err()
            {
                return;
            }
        }
    });
    (request_sender, results)
}
