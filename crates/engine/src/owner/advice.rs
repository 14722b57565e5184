//! Asks the advisor, one question at a time.

use std::rc;

use redwing_jobs::scheduler::{AdviceRequest, AdviceResponse};
use tokio::sync::mpsc;

use crate::event;
use crate::log_job_event;
use crate::services::AdvisorClient;

/// Question with its answer; none if there was none.
#[derive(Debug)]
pub(super) struct AnsweredQuestion {
    pub(super) question: AdviceRequest,
    pub(super) answer: Option<AdviceResponse>,
}

/// Starts a task that asks what it is sent; it ends once the sender is closed.
pub(super) fn start(
    advisor: rc::Rc<dyn AdvisorClient>,
) -> (
    mpsc::UnboundedSender<AdviceRequest>,
    mpsc::UnboundedReceiver<AnsweredQuestion>,
) {
    let (questions, mut waiting) = mpsc::unbounded_channel::<AdviceRequest>();
    let (answers, answered) = mpsc::unbounded_channel();
    tokio::task::spawn_local(async move {
        while let Some(question) = waiting.recv().await {
            let answer = match advisor.advise(&question).await {
                Ok(answer) => Some(answer),
                Err(error) => {
                    log_job_event!(
                        warn,
                        event::ADVICE_FAILED,
                        step = question.step,
                        error = error,
                    );
                    None
                }
            };
            if answers.send(AnsweredQuestion { question, answer }).is_err() {
                return;
            }
        }
    });
    (questions, answered)
}
