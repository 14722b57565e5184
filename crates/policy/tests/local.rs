//! Behaviour of a single scheduler.

mod support;

use redwing_model::{RunOutcome, VmId};
use redwing_policy::{
    AttemptReport, AttemptVerdict, NodeScheduler, RefusalReason, SchedulerAction,
    SchedulerSettings, TicketId,
};

use support::{
    FleetShape, at, customer, dispatched, lost, millis, node, refusals, refused, success, ticket,
    vm,
};

fn single_scheduler(shape: &FleetShape) -> NodeScheduler {
    let mut scheduler = NodeScheduler::new(SchedulerSettings::default(), node(0));
    scheduler.install(at(0), shape.view(0, 1));
    scheduler
}

#[test]
fn a_request_is_dispatched_at_once_when_a_slot_is_free() {
    let shape = FleetShape::default();
    let mut scheduler = single_scheduler(&shape);
    scheduler.submit(at(1), ticket(1, &shape.class(0), Some(&customer("a"))));
    assert_eq!(dispatched(&scheduler.take_actions()).len(), 1);
}

#[test]
fn the_limit_of_a_customer_bounds_its_running_requests() {
    let shape = FleetShape {
        customers: vec![(customer("a"), 1.0, 3)],
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    for id in 0..10 {
        scheduler.submit(at(1), ticket(id, &shape.class(0), Some(&customer("a"))));
    }
    assert_eq!(dispatched(&scheduler.take_actions()).len(), 3);
    scheduler.finish(at(2), TicketId(0), &success(&vm(0)));
    assert_eq!(dispatched(&scheduler.take_actions()).len(), 1);
}

#[test]
fn a_lowered_limit_applies_at_once() {
    let mut shape = FleetShape {
        customers: vec![(customer("a"), 1.0, 5)],
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    for id in 0..10 {
        scheduler.submit(at(1), ticket(id, &shape.class(0), Some(&customer("a"))));
    }
    let started = dispatched(&scheduler.take_actions());
    assert_eq!(started.len(), 5);
    shape.customers[0].2 = 2;
    scheduler.install(at(2), shape.view(0, 1));
    for (id, vm) in &started[..3] {
        scheduler.finish(at(3), *id, &success(vm));
    }
    // At most two permits remain in use, whichever attempts ended.
    assert!(scheduler.running() <= 5 - 3 + 2);
    for (id, vm) in &started[3..] {
        scheduler.finish(at(4), *id, &success(vm));
    }
    assert_eq!(scheduler.running(), 2);
}

#[test]
fn slots_are_shared_by_weight_under_overload() {
    let shape = FleetShape {
        customers: vec![(customer("a"), 0.75, 100), (customer("b"), 0.25, 100)],
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    for id in 0..4_000 {
        let name = if id % 2 == 0 {
            customer("a")
        } else {
            customer("b")
        };
        scheduler.submit(at(1), ticket(id, &shape.class(0), Some(&name)));
    }
    let mut served = [0u32; 2];
    let mut now = 1;
    let mut running = dispatched(&scheduler.take_actions());
    while served[0] + served[1] < 1_600 {
        now += 10;
        for (id, vm) in std::mem::take(&mut running) {
            served[(id.0 % 2) as usize] += 1;
            scheduler.finish(at(now), id, &success(&vm));
        }
        running = dispatched(&scheduler.take_actions());
    }
    let share = f64::from(served[0]) / f64::from(served[0] + served[1]);
    assert!((share - 0.75).abs() < 0.02, "customer a got {share}");
}

#[test]
fn slots_are_shared_by_time_used_and_not_by_requests() {
    let shape = FleetShape {
        workers: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    for id in 0..4_000 {
        let name = if id % 2 == 0 {
            customer("a")
        } else {
            customer("b")
        };
        scheduler.submit(at(1), ticket(id, &shape.class(0), Some(&name)));
    }
    // Requests of customer a run ten times longer than those of customer b.
    let mut used = [0u64; 2];
    let mut ends = std::collections::BTreeSet::new();
    let mut now = 1;
    while now < 4_000 {
        for (id, vm) in dispatched(&scheduler.take_actions()) {
            let run = if id.0 % 2 == 0 { 100 } else { 10 };
            used[(id.0 % 2) as usize] += run;
            ends.insert((now + run, id, vm));
        }
        let (end, id, vm) = ends.pop_first().unwrap();
        now = end;
        scheduler.finish(at(now), id, &success(&vm));
    }
    let share = used[0] as f64 / (used[0] + used[1]) as f64;
    assert!((share - 0.5).abs() < 0.03, "customer a used {share}");
}

#[test]
fn an_idle_customer_earns_no_credit() {
    let shape = FleetShape {
        workers: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    let mut next = 0;
    let mut running = Vec::new();
    let mut counts = [0u32; 2];
    for step in 0..400u64 {
        let now = 1 + step * 10;
        let customers = if step < 200 {
            vec!["a"]
        } else {
            vec!["a", "b"]
        };
        for name in customers {
            for _ in 0..8 {
                let id = next * 2 + u64::from(name == "b");
                next += 1;
                scheduler.submit(at(now), ticket(id, &shape.class(0), Some(&customer(name))));
            }
        }
        running.extend(dispatched(&scheduler.take_actions()));
        for (id, vm) in std::mem::take(&mut running) {
            if (200..220).contains(&step) {
                counts[(id.0 % 2) as usize] += 1;
            }
            scheduler.finish(at(now + 9), id, &success(&vm));
        }
        running.extend(dispatched(&scheduler.take_actions()));
    }
    // After customer a was alone for 2 s, it still gets half as soon as
    // customer b arrives.
    let share = f64::from(counts[0]) / f64::from(counts[0] + counts[1]);
    assert!(share > 0.4, "customer a got {share}");
}

#[test]
fn the_earliest_deadline_of_a_customer_goes_first() {
    let shape = FleetShape {
        workers: 1,
        slots: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    let class = shape.class(0);
    scheduler.submit(at(1), ticket(1, &class, Some(&customer("a"))));
    let mut late = ticket(2, &class, Some(&customer("a")));
    late.deadline = at(9_000);
    let mut early = ticket(3, &class, Some(&customer("a")));
    early.deadline = at(5_000);
    scheduler.submit(at(1), late);
    scheduler.submit(at(1), early);
    scheduler.take_actions();
    scheduler.finish(at(2), TicketId(1), &success(&vm(0)));
    assert_eq!(
        dispatched(&scheduler.take_actions()),
        [(TicketId(3), vm(0))]
    );
}

#[test]
fn an_overdue_request_is_refused_as_not_run() {
    let shape = FleetShape {
        workers: 1,
        slots: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    scheduler.submit(at(1), ticket(1, &shape.class(0), Some(&customer("a"))));
    let mut short = ticket(2, &shape.class(0), Some(&customer("a")));
    short.deadline = at(500);
    scheduler.submit(at(1), short);
    scheduler.take_actions();
    scheduler.tick(at(500));
    let actions = scheduler.take_actions();
    let Some(SchedulerAction::Refuse { id, refusal }) = actions.first() else {
        panic!("no refusal in {actions:?}");
    };
    assert_eq!(*id, TicketId(2));
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnmet);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after >= millis(1_000));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let shape = FleetShape {
        workers: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    let class = shape.class(0);
    for id in 0..16 {
        scheduler.submit(at(1), ticket(id, &class, Some(&customer("a"))));
    }
    for (id, vm) in dispatched(&scheduler.take_actions()) {
        scheduler.finish(at(1_001), id, &success(&vm));
    }
    // Eight run and none wait; the next 40 need 6 s at 8 slots and 1 s each.
    for id in 100..140 {
        scheduler.submit(at(1_001), ticket(id, &class, Some(&customer("a"))));
    }
    scheduler.take_actions();
    let mut urgent = ticket(500, &class, Some(&customer("a")));
    urgent.deadline = at(4_000);
    scheduler.submit(at(1_001), urgent);
    assert_eq!(refusals(&scheduler.take_actions()), [TicketId(500)]);
    scheduler.submit(at(1_001), ticket(501, &class, Some(&customer("a"))));
    assert!(refusals(&scheduler.take_actions()).is_empty());
}

#[test]
fn a_full_queue_of_one_customer_does_not_affect_others() {
    let shape = FleetShape {
        workers: 1,
        queue_depth: 2,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    let class = shape.class(0);
    for id in 0..12 {
        scheduler.submit(at(1), ticket(id, &class, Some(&customer("a"))));
    }
    assert_eq!(
        refusals(&scheduler.take_actions()),
        [TicketId(10), TicketId(11)]
    );
    scheduler.submit(at(1), ticket(20, &class, Some(&customer("b"))));
    assert!(refusals(&scheduler.take_actions()).is_empty());
}

#[test]
fn an_undeclared_class_has_no_capacity() {
    let shape = FleetShape::default();
    let mut scheduler = single_scheduler(&shape);
    scheduler.submit(at(1), ticket(1, &support::class("other"), None));
    let actions = scheduler.take_actions();
    let [SchedulerAction::Refuse { refusal, .. }] = &actions[..] else {
        panic!("no single refusal in {actions:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::NoCapacity);
}

#[test]
fn a_caller_without_a_customer_needs_no_permit() {
    let shape = FleetShape {
        customers: Vec::new(),
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    for id in 0..20 {
        scheduler.submit(at(1), ticket(id, &shape.class(0), None));
    }
    assert_eq!(dispatched(&scheduler.take_actions()).len(), 16);
}

#[test]
fn a_refused_attempt_is_retried_on_another_worker() {
    let shape = FleetShape::default();
    let mut scheduler = single_scheduler(&shape);
    let mut unrepeatable = ticket(1, &shape.class(0), Some(&customer("a")));
    unrepeatable.repeatable = false;
    scheduler.submit(at(1), unrepeatable);
    let [(id, first)] = &dispatched(&scheduler.take_actions())[..] else {
        panic!("no single dispatch");
    };
    let verdict = scheduler.finish(at(2), *id, &refused(first));
    assert_eq!(verdict, AttemptVerdict::Pending);
    let [(_, second)] = &dispatched(&scheduler.take_actions())[..] else {
        panic!("no single retry");
    };
    assert_ne!(first, second);
}

#[test]
fn a_request_that_may_run_once_is_not_retried_after_an_unknown_outcome() {
    let shape = FleetShape::default();
    let mut scheduler = single_scheduler(&shape);
    let mut unrepeatable = ticket(1, &shape.class(0), Some(&customer("a")));
    unrepeatable.repeatable = false;
    scheduler.submit(at(1), unrepeatable);
    let started = dispatched(&scheduler.take_actions());
    let verdict = scheduler.finish(at(2), TicketId(1), &lost(&started[0].1));
    assert_eq!(verdict, AttemptVerdict::Final);
    scheduler.tick(at(70_000));
    let actions = scheduler.take_actions();
    assert!(dispatched(&actions).is_empty() && refusals(&actions).is_empty());
}

/// Sends a request whose attempts end as `report` returns, given their numbers from 1, until
/// no other follows; returns their number and the verdict on the last.
fn run_attempts(report: impl Fn(u32, &VmId) -> AttemptReport) -> (u32, AttemptVerdict) {
    let shape = FleetShape {
        workers: 5,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    scheduler.submit(at(1), ticket(1, &shape.class(0), Some(&customer("a"))));
    let mut attempts = 0;
    let mut verdict = AttemptVerdict::Pending;
    while let [(id, vm)] = &dispatched(&scheduler.take_actions())[..] {
        attempts += 1;
        verdict = scheduler.finish(at(2), *id, &report(attempts, vm));
    }
    (attempts, verdict)
}

/// A request that crashes its backend servers must not be sent to all of them.
#[test]
fn a_request_under_which_two_backend_servers_close_is_given_up() {
    let (attempts, verdict) = run_attempts(|_, vm| lost(vm));
    assert_eq!(attempts, 2);
    assert_eq!(verdict, AttemptVerdict::Final);
}

/// A backend server that did not start the request says nothing about it.
#[test]
fn a_request_that_was_not_started_keeps_its_attempts() {
    let (attempts, _) = run_attempts(|attempt, vm| match attempt {
        1 => lost(vm),
        _ => refused(vm),
    });
    assert_eq!(attempts, 3);
}

#[test]
fn no_attempt_follows_once_a_response_has_started() {
    let shape = FleetShape::default();
    let mut scheduler = single_scheduler(&shape);
    scheduler.submit(at(1), ticket(1, &shape.class(0), Some(&customer("a"))));
    let started = dispatched(&scheduler.take_actions());
    let report = AttemptReport {
        response_started: true,
        ..lost(&started[0].1)
    };
    let verdict = scheduler.finish(at(2), TicketId(1), &report);
    assert_eq!(verdict, AttemptVerdict::Final);
    assert!(dispatched(&scheduler.take_actions()).is_empty());
}

#[test]
fn a_refusal_after_an_attempt_that_may_have_run_has_an_unknown_outcome() {
    let shape = FleetShape {
        workers: 1,
        slots: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    let mut short = ticket(1, &shape.class(0), Some(&customer("a")));
    short.deadline = at(1_000);
    scheduler.submit(at(1), short);
    scheduler.take_actions();
    // The only slot is quarantined, so the retry waits until its deadline.
    let verdict = scheduler.finish(at(2), TicketId(1), &lost(&vm(0)));
    assert_eq!(verdict, AttemptVerdict::Pending);
    scheduler.tick(at(1_000));
    let actions = scheduler.take_actions();
    let [SchedulerAction::Refuse { refusal, .. }] = &actions[..] else {
        panic!("no single refusal in {actions:?}");
    };
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
}

#[test]
fn tokens_of_a_lost_attempt_are_quarantined_for_the_task_lease() {
    let shape = FleetShape {
        workers: 1,
        slots: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    let mut unrepeatable = ticket(1, &shape.class(0), Some(&customer("a")));
    unrepeatable.repeatable = false;
    scheduler.submit(at(1), unrepeatable);
    scheduler.take_actions();
    scheduler.finish(at(10), TicketId(1), &lost(&vm(0)));
    let mut next = ticket(2, &shape.class(0), Some(&customer("a")));
    next.deadline = at(200_000);
    scheduler.submit(at(11), next);
    scheduler.tick(at(60_009));
    assert!(dispatched(&scheduler.take_actions()).is_empty());
    scheduler.tick(at(60_010));
    assert_eq!(dispatched(&scheduler.take_actions()).len(), 1);
}

#[test]
fn cancelled_requests_are_never_dispatched() {
    let shape = FleetShape {
        workers: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    for id in 0..1_000 {
        scheduler.submit(at(1), ticket(id, &shape.class(0), Some(&customer("a"))));
    }
    let mut running = dispatched(&scheduler.take_actions());
    for id in (8..1_000).filter(|id| id % 5 != 0) {
        scheduler.cancel(at(2), TicketId(id));
    }
    assert_eq!(scheduler.waiting(), 198);
    let mut served = 0;
    let mut now = 3;
    while !running.is_empty() {
        now += 1;
        for (id, vm) in std::mem::take(&mut running) {
            assert!(id.0 < 8 || id.0 % 5 == 0);
            served += 1;
            scheduler.finish(at(now), id, &success(&vm));
        }
        running = dispatched(&scheduler.take_actions());
    }
    assert_eq!(served, 206);
}

#[test]
fn retries_stay_within_the_budget() {
    let shape = FleetShape {
        workers: 10,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    let mut attempts = 0;
    for id in 0..1_000 {
        scheduler.submit(at(id), ticket(id, &shape.class(0), Some(&customer("a"))));
        let mut started = dispatched(&scheduler.take_actions());
        while let Some((id, vm)) = started.pop() {
            attempts += 1;
            scheduler.finish(at(id.0), id, &refused(&vm));
            started.extend(dispatched(&scheduler.take_actions()));
        }
    }
    assert!(attempts <= 1_000 + 100 + 20, "{attempts} attempts");
}

#[test]
fn a_released_token_is_not_used_until_it_is_listed_again() {
    let shape = FleetShape {
        workers: 1,
        slots: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    let slot = shape.tokens()[0].clone();
    assert!(scheduler.release_ownership(&slot));
    assert!(!scheduler.release_ownership(&slot));
    scheduler.submit(at(1), ticket(1, &shape.class(0), Some(&customer("a"))));
    assert!(dispatched(&scheduler.take_actions()).is_empty());
    scheduler.install(at(2), shape.view(0, 1));
    assert_eq!(dispatched(&scheduler.take_actions()).len(), 1);
    assert!(!scheduler.release_ownership(&slot));
}

#[test]
fn a_request_that_can_no_longer_end_in_time_is_refused_before_its_deadline() {
    let shape = FleetShape {
        workers: 1,
        ..FleetShape::default()
    };
    let mut scheduler = single_scheduler(&shape);
    let class = shape.class(0);
    for id in 0..16 {
        scheduler.submit(at(1), ticket(id, &class, Some(&customer("a"))));
    }
    // Every run takes 1 s; the next eight occupy the slots for longer.
    for (id, vm) in dispatched(&scheduler.take_actions()) {
        scheduler.finish(at(1_001), id, &success(&vm));
    }
    scheduler.take_actions();
    let mut short = ticket(100, &class, Some(&customer("a")));
    short.deadline = at(6_001);
    scheduler.submit(at(1_001), short);
    scheduler.submit(at(1_001), ticket(101, &class, Some(&customer("a"))));
    scheduler.tick(at(4_990));
    assert!(refusals(&scheduler.take_actions()).is_empty());
    scheduler.tick(at(5_010));
    assert_eq!(refusals(&scheduler.take_actions()), [TicketId(100)]);
}
