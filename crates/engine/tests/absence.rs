//! Work after an absence of the table.

#[allow(dead_code)]
mod common;

use std::time;

use common::{TestCluster, run_test};
use redwing_engine::codec::CallerResponse;
use tokio::time as timer;

/// Longest time from the return of the table until accepted work starts.
const START_LIMIT: time::Duration = time::Duration::from_secs(1);

/// The table is silent for the owner while another process accepts work. The owner's
/// reads from that time never get a response, and must not delay the later ones.
#[test]
fn work_that_the_owner_had_not_read_starts_soon_after_the_return_of_the_table() {
    run_test(async {
        let mut cluster = TestCluster::start(1, time::Duration::from_millis(10)).await;
        cluster.owner().await;
        cluster.add_process(1).await;
        cluster.processes[1].owner.abort();
        for (number, millis) in (1_400_u64..3_000).step_by(200).enumerate() {
            let platform = cluster.processes[0].platform.clone();
            platform.set_faults(|faults| faults.table_silent = true);
            let id = format!("a{number}");
            assert_eq!(cluster.submit(1, &id, 1).await, CallerResponse::Accepted);
            timer::sleep(time::Duration::from_millis(millis)).await;
            platform.set_faults(|faults| faults.table_silent = false);
            let returned = timer::Instant::now();
            cluster.wait_starts(number + 1).await;
            let elapsed = returned.elapsed();
            assert!(elapsed < START_LIMIT, "{elapsed:?} after {millis} ms");
        }
    });
}
