//! What a process sends after its ownership has ended.

#[allow(dead_code)]
mod common;

use std::time;

use common::{TestCluster, run_test};
use redwing_jobs::JobState;
use redwing_jobs::name::WorkerId;
use redwing_standin::WorkerFault;
use tokio::time as timer;

/// The previous owner stops with start orders in its queues. It still sent them after it had
/// released the ownership, when its successor ordered the same tasks.
#[test]
fn a_process_sends_nothing_after_it_has_released_the_ownership() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_secs(1)).await;
        let slow = WorkerFault {
            response_delay: Some(time::Duration::from_millis(300)),
            ..WorkerFault::default()
        };
        for number in 1..=3 {
            let worker = WorkerId::new(&format!("worker-{number}"));
            cluster.workers.set_fault(&worker, slow);
        }
        let owner = cluster.owner().await;
        let index = cluster.process_index(&owner);
        cluster.submit(index, "a", 24).await;
        timer::sleep(time::Duration::from_millis(100)).await;
        cluster.processes[index].stop();
        cluster.owner_above(owner.fencing_token).await;
        let released_at = timer::Instant::now();
        cluster
            .wait_state(1 - index, "a", JobState::Completed)
            .await;
        let received = cluster.workers.received();
        let late = received
            .iter()
            .filter(|start| start.fencing_token == owner.fencing_token && start.at > released_at);
        assert_eq!(late.count(), 0);
        cluster.assert_no_double_run();
    });
}
