//! Rows of owners that are together more than one transaction holds.

use std::rc::Rc;
use std::time::Duration;

use redwing_node::membership::{MembershipRunner, MembershipSettings};
use redwing_policy::NodeTime;
use redwing_provider::TableStore;
use redwing_standin::MemoryPlatform;

use crate::model::ModelScheduler;
use crate::simulation::{put_worker, register_entry};

/// Number of backend servers.
const WORKERS: usize = 40;

/// Slots of each backend server; a row of their owners takes about half of the limit.
const SLOTS_PER_WORKER: u32 = 2_000;

#[test]
fn owners_of_many_tokens_are_stored_within_the_limits_of_the_table() {
    actix_rt::System::new().block_on(async {
        tokio::time::pause();
        let platform = MemoryPlatform::default();
        for number in 0..WORKERS {
            put_worker(&platform, number).await;
        }
        let incarnation = register_entry(&platform, 0).await;
        let scheduler = Rc::new(ModelScheduler::default());
        let settings = MembershipSettings {
            slots_per_worker: SLOTS_PER_WORKER,
            ..MembershipSettings::default()
        };
        let services = platform.services();
        let mut runner = MembershipRunner::new(settings, services, scheduler.clone(), incarnation);
        let declaration = redwing_model::from_toml("[pools.a]\nvms = 1\nmax-unavailable = 0");
        let declaration = declaration.unwrap();
        let mut now = NodeTime::from_millis(0);
        for _ in 0..8 {
            now = now + Duration::from_secs(10);
            platform.advance(Duration::from_secs(10));
            scheduler.0.borrow_mut().now = now;
            runner.round(now, &declaration).await.unwrap();
        }
        let rows = platform.scan("holding/slot/").await.unwrap().rows;
        assert_eq!(rows.len(), WORKERS);
        let sizes = rows.iter().filter_map(|row| row.value.as_ref());
        assert!(sizes.map(String::len).sum::<usize>() > 1_000_000);
    });
}
