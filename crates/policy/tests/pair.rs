//! Transfer of tokens between processes, without faults and under single faults.

mod support;

use redwing_policy::message::TokenTransfer;
use redwing_policy::{
    AttemptReport, AttemptVerdict, NodeScheduler, PeerMessage, SchedulerAction, SchedulerSettings,
    TicketId,
};

use support::cluster::{Cluster, RequestEnd};
use support::{FleetShape, at, customer, dispatched, millis, node, refusals, success, ticket, vm};

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        task_lease: millis(2_000),
        ..SchedulerSettings::default()
    }
}

#[test]
fn permits_move_to_the_process_with_demand() {
    let shape = FleetShape {
        workers: 10,
        ..FleetShape::default()
    };
    let mut cluster = Cluster::new(shape.clone(), 8, settings(), 1);
    for _ in 0..300 {
        cluster.submit(
            7,
            &shape.class(0),
            Some(&customer("b")),
            true,
            5_000,
            20_000,
        );
    }
    cluster.run(1_000, 2);
    assert_eq!(cluster.running_of(&customer("b")), 80);
}

#[test]
fn slots_are_shared_between_customers_at_different_processes() {
    let shape = FleetShape {
        workers: 10,
        ..FleetShape::default()
    };
    let mut cluster = Cluster::new(shape.clone(), 8, settings(), 1);
    for _ in 0..4_000 {
        cluster.submit(0, &shape.class(0), Some(&customer("a")), true, 100, 20_000);
    }
    cluster.run(1_000, 2);
    assert_eq!(cluster.running_of(&customer("a")), 80);
    for _ in 0..4_000 {
        cluster.submit(7, &shape.class(0), Some(&customer("b")), true, 100, 20_000);
    }
    cluster.run(1_000, 2);
    let start = cluster.now;
    cluster.run(4_000, 2);
    let mut used = [0u64; 2];
    for task in cluster.finished.iter().filter(|task| task.start >= start) {
        let index = usize::from(task.customer == Some(customer("b")));
        used[index] += task.end - task.start;
    }
    let share = used[1] as f64 / (used[0] + used[1]) as f64;
    assert!((share - 0.5).abs() < 0.05, "customer b used {share}");
}

/// Submits one long request of customer `a` per slot at the last of `nodes`
/// processes, so that it has to borrow all slots it does not own.
fn borrow_all_slots(cluster: &mut Cluster, nodes: usize, run: u64) {
    let class = cluster.shape.class(0);
    let tokens = cluster.shape.workers as u64 * u64::from(cluster.shape.slots);
    for _ in 0..tokens {
        cluster.submit(nodes - 1, &class, Some(&customer("a")), true, run, 20_000);
    }
    cluster.run(500, 2);
    assert_eq!(u64::from(cluster.running_of(&customer("a"))), tokens);
}

#[test]
fn tokens_lent_to_an_ended_process_stay_out_of_use_while_its_tasks_may_run() {
    let shape = FleetShape {
        workers: 2,
        ..FleetShape::default()
    };
    let mut cluster = Cluster::new(shape.clone(), 3, settings(), 1);
    borrow_all_slots(&mut cluster, 3, 1_900);
    cluster.kill(2);
    for _ in 0..32 {
        cluster.submit(0, &shape.class(0), Some(&customer("b")), true, 50, 20_000);
    }
    // The tasks of the ended process keep running; no others may start.
    cluster.run(1_200, 2);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert_eq!(cluster.running(), 16);
    cluster.run(8_000, 2);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert_eq!(cluster.free_tokens(), shape.tokens().len());
}

#[test]
fn a_message_of_a_settled_process_is_dropped() {
    let (owner, borrower) = (node(0), node(1));
    let shape = FleetShape::default();
    let mut scheduler = NodeScheduler::new(settings(), borrower);
    scheduler.install(at(0), shape.view(1, 2));
    let held_count = scheduler.usable_tokens().len();
    scheduler.settle(at(1), &owner);
    let message = PeerMessage {
        sequence: 1,
        transfers: vec![TokenTransfer {
            id: 1,
            tokens: vec![shape.tokens()[0].clone()],
        }],
        ..PeerMessage::default()
    };
    scheduler.receive(at(2), &owner, message);
    assert_eq!(scheduler.usable_tokens().len(), held_count);
}

#[test]
fn an_unacknowledged_returned_token_is_not_adopted() {
    let (owner, borrower) = (node(0), node(1));
    let shape = FleetShape::default();
    let mut scheduler = NodeScheduler::new(settings(), borrower);
    scheduler.install(at(0), shape.view(1, 2));
    let held_count = scheduler.usable_tokens().len();
    let lent = shape.tokens()[0].clone();
    let message = PeerMessage {
        sequence: 1,
        transfers: vec![TokenTransfer {
            id: 1,
            tokens: vec![lent.clone()],
        }],
        ..PeerMessage::default()
    };
    scheduler.receive(at(1), &owner, message);
    assert_eq!(scheduler.usable_tokens().len(), held_count + 1);
    // The idle token is returned; the owner ends without acknowledging it.
    scheduler.tick(at(1_000));
    scheduler.tick(at(1_100));
    let sent = scheduler.take_actions().into_iter().any(|action| {
        matches!(action, SchedulerAction::Send { message, .. }
            if message.transfers.iter().any(|transfer| transfer.tokens == [lent.clone()]))
    });
    assert!(sent);
    assert!(scheduler.settle(at(2_000), &owner).is_empty());
    scheduler.tick(at(70_000));
    assert_eq!(scheduler.usable_tokens().len(), held_count);
}

#[test]
fn a_suspended_process_neither_dispatches_nor_transfers() {
    let shape = FleetShape::default();
    let mut scheduler = NodeScheduler::new(settings(), node(0));
    scheduler.install(at(0), shape.view(0, 2));
    scheduler.take_actions();
    scheduler.suspend(at(1));
    scheduler.submit(at(2), ticket(1, &shape.class(0), Some(&customer("a"))));
    scheduler.tick(at(1_000));
    assert!(scheduler.take_actions().is_empty());
    scheduler.resume(at(2_000));
    assert_eq!(dispatched(&scheduler.take_actions()).len(), 1);
}

#[test]
fn a_leaving_process_transfers_its_tokens_and_drains() {
    let shape = FleetShape::default();
    let mut cluster = Cluster::new(shape.clone(), 3, settings(), 1);
    for _ in 0..12 {
        cluster.submit(0, &shape.class(0), Some(&customer("a")), true, 300, 20_000);
    }
    cluster.leave(0);
    cluster.run(2_000, 2);
    assert!(cluster.scheduler(0).is_none(), "the process did not drain");
    let succeeded = |request: &&support::cluster::Request| {
        matches!(
            request.ends[..],
            [RequestEnd::Responded { success: true, .. }]
        )
    };
    assert_eq!(cluster.requests.values().filter(succeeded).count(), 12);
    // The tokens are usable elsewhere without waiting for the task lease.
    assert_eq!(cluster.free_tokens(), shape.tokens().len());
}

#[test]
fn two_processes_that_leave_together_both_drain() {
    let shape = FleetShape::default();
    let mut cluster = Cluster::new(shape.clone(), 3, settings(), 1);
    cluster.leave(0);
    cluster.leave(1);
    cluster.run(3_000, 2);
    assert!(cluster.scheduler(0).is_none() && cluster.scheduler(1).is_none());
    cluster.run(6_000, 2);
    assert_eq!(cluster.free_tokens(), shape.tokens().len());
}

#[test]
fn the_last_process_leaves_without_a_peer() {
    let shape = FleetShape::default();
    let mut scheduler = NodeScheduler::new(settings(), node(0));
    scheduler.install(at(0), shape.view(0, 1));
    scheduler.submit(at(1), ticket(1, &shape.class(0), Some(&customer("a"))));
    scheduler.leave(at(2));
    assert!(!scheduler.is_drained());
    let started = dispatched(&scheduler.take_actions());
    scheduler.finish(at(3), started[0].0, &success(&started[0].1));
    assert!(scheduler.is_drained());
    scheduler.submit(at(4), ticket(2, &shape.class(0), Some(&customer("a"))));
    assert_eq!(refusals(&scheduler.take_actions()), [TicketId(2)]);
}

#[test]
fn an_isolated_process_keeps_using_its_own_tokens() {
    let shape = FleetShape::default();
    let mut cluster = Cluster::new(shape.clone(), 4, settings(), 1);
    cluster.isolate(3, 5_000);
    for _ in 0..20 {
        cluster.submit(3, &shape.class(0), Some(&customer("a")), true, 200, 4_000);
    }
    cluster.run(5_500, 2);
    let succeeded = |request: &&support::cluster::Request| {
        matches!(
            request.ends[..],
            [RequestEnd::Responded { success: true, .. }]
        )
    };
    assert_eq!(cluster.requests.values().filter(succeeded).count(), 20);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

#[test]
fn a_worker_that_fails_every_request_is_ejected_and_probed_again() {
    let shape = FleetShape {
        workers: 10,
        ..FleetShape::default()
    };
    let mut cluster = Cluster::new(shape.clone(), 1, settings(), 1);
    cluster.black_hole = Some(vm(3));
    let submit_steadily = |cluster: &mut Cluster, millis: u64| {
        for _ in 0..millis / 10 {
            cluster.submit(0, &shape.class(0), Some(&customer("a")), true, 100, 4_000);
            cluster.run(10, 5);
        }
    };
    submit_steadily(&mut cluster, 2_000);
    let ejected: Vec<_> = cluster.scheduler(0).unwrap().ejected().cloned().collect();
    assert_eq!(ejected, [vm(3)]);
    cluster.black_hole = None;
    submit_steadily(&mut cluster, 20_000);
    assert_eq!(cluster.scheduler(0).unwrap().ejected().count(), 0);
    let served = cluster.finished.iter().filter(|task| task.vm == vm(3));
    assert!(served.count() > 50);
}

#[test]
fn requests_that_always_fail_eject_no_worker() {
    let shape = FleetShape {
        workers: 10,
        ..FleetShape::default()
    };
    let mut scheduler = NodeScheduler::new(settings(), node(0));
    scheduler.install(at(0), shape.view(0, 1));
    let broken = AttemptReport {
        response_started: true,
        faulty: true,
        ..success(&vm(0))
    };
    for id in 0..400 {
        let name = if id % 2 == 0 {
            customer("a")
        } else {
            customer("b")
        };
        scheduler.submit(at(id * 10), ticket(id, &shape.class(0), Some(&name)));
        for (id, vm) in dispatched(&scheduler.take_actions()) {
            // All requests of customer a fail, all requests of customer b succeed.
            let report = match id.0 % 2 {
                0 => broken.clone(),
                _ => success(&vm),
            };
            let report = AttemptReport { vm, ..report };
            scheduler.finish(at(id.0 * 10 + 5), id, &report);
        }
    }
    assert_eq!(scheduler.ejected().count(), 0);
}

#[test]
fn a_request_is_not_retried_after_it_failed_on_several_workers() {
    let shape = FleetShape {
        workers: 10,
        ..FleetShape::default()
    };
    let mut scheduler = NodeScheduler::new(settings(), node(0));
    scheduler.install(at(0), shape.view(0, 1));
    scheduler.submit(at(1), ticket(1, &shape.class(0), Some(&customer("a"))));
    let mut tried = Vec::new();
    while let [(id, vm)] = &dispatched(&scheduler.take_actions())[..] {
        tried.push(vm.clone());
        let report = AttemptReport {
            response_started: false,
            faulty: true,
            ..success(vm)
        };
        let verdict = scheduler.finish(at(2), *id, &report);
        let last = tried.len() == 3;
        assert_eq!(verdict == AttemptVerdict::Final, last);
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3);
    assert_eq!(scheduler.ejected().count(), 0);
}
