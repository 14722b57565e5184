//! Owners that have seen workers start again more often than they have fencing tokens.

mod common;

use std::time;

use common::FakeWorker;
use redwing_jobs::scheduler::InheritedLeases;
use redwing_jobs::time::WallTime;
use redwing_jobs::{BootTime, JobScheduler, SchedulerSettings, fence};

/// Fencing token of the owner.
const OWNER_TOKEN: u64 = 1;

/// Number of restarts: a day of 8,300 workers of which each starts again every ten minutes.
const RESTARTS: u64 = 1_200_000;

/// Number of restarts between two orders.
const ORDER_INTERVAL: u64 = 1_000;

/// Returns the token of the renewal that is sent to a worker now, if one is.
fn next_token(scheduler: &mut JobScheduler, now: BootTime) -> Option<u64> {
    scheduler.tick(now);
    scheduler.place_tasks(now, WallTime::from_millis(now.as_millis()));
    let orders = scheduler.take_orders();
    orders.last().map(|order| order.fencing_token)
}

/// Guards against orders to an incarnation that the next one carries out (TWICE): from some number
/// of restarts on, both have the same fencing token. An owner without a further one sends none.
#[test]
fn no_two_incarnations_have_the_same_token_however_many_there_were() {
    let next_owner = fence::next_owner_token(Some(OWNER_TOKEN));
    let mut scheduler = JobScheduler::new(SchedulerSettings::default(), OWNER_TOKEN);
    scheduler.inherit_leases(InheritedLeases::default());
    let mut view = FakeWorker::new("w0", "builders", 8_000).view;
    let mut now = BootTime::from_millis(10_000);
    let mut latest = None;
    for restart in 0..RESTARTS {
        view.incarnation += 1;
        now = now + time::Duration::from_millis(72);
        scheduler.worker_listed(view.clone(), now);
        if restart % ORDER_INTERVAL != 0 {
            continue;
        }
        scheduler.take_events();
        let Some(token) = next_token(&mut scheduler, now) else {
            continue;
        };
        assert!(Some(token) > latest, "restart {restart}: {token}");
        assert!(token < next_owner, "it is the next owner's");
        latest = Some(token);
    }
    assert!(latest.is_some(), "it has sent some");
}

/// Guards against tokens that are used by two owners, or twice by one.
#[test]
fn an_owner_whose_tokens_are_used_up_has_no_further_one() {
    let next_owner = fence::next_owner_token(Some(OWNER_TOKEN));
    let count = next_owner - OWNER_TOKEN;
    assert_eq!(
        fence::order_token(OWNER_TOKEN, count - 1),
        Some(next_owner - 1)
    );
    assert_eq!(fence::order_token(OWNER_TOKEN, count), None);
}
