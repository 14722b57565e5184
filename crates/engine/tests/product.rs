//! Responses in the product's own format.

use redwing_engine::DeploymentCodec;
use redwing_engine::codec::CallerResponse;
use redwing_engine::product::ProductCodec;
use redwing_jobs::JobState;
use redwing_jobs::record::{FailureReason, JobFailure};
use rstest::rstest;

#[rstest]
#[case(CallerResponse::State(JobState::Running), r#"{"state":"running"}"#)]
#[case(
    CallerResponse::Failed(JobFailure {
        reason: FailureReason::CrashedWorkers,
        task: "a1.0.0.3".parse().expect("the name is valid"),
    }),
    r#"{"state":"failed","failure":{"reason":"crashed-workers","task":"a1.0.0.3"}}"#
)]
fn a_state_has_the_reason_of_a_failure(#[case] response: CallerResponse, #[case] body: &str) {
    let encoded = ProductCodec.encode_response(&response);
    assert_eq!((encoded.status, encoded.body.as_str()), (200, body));
}
