//! Three entry processes over loopback with one stand-in platform.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::thread;
use std::time::Duration;

use common::client::Request;
use common::cluster::{CUSTOMER_LIMIT, DECLARATION, NODES, SLOTS, TestCluster, send};
use common::wait_for;
use redwing_model::admin::ChangeStatus;
use redwing_standin::FaultPlan;

#[test]
fn a_customer_stays_below_its_limit_through_all_processes() {
    let cluster = TestCluster::start();
    let callers: Vec<_> = (0..NODES * 6)
        .map(|number| {
            let listen = cluster.listen(number % NODES);
            let key = cluster.key.clone();
            thread::spawn(move || {
                (0..6)
                    .map(|_| send(listen, "certificates", &key, "0.1").status)
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    for caller in callers {
        assert_eq!(caller.join().unwrap(), [200; 6]);
    }
    let counts = cluster.counts();
    assert_eq!(counts.most_running, CUSTOMER_LIMIT);
}

#[test]
fn one_process_can_use_every_slot_and_recovers_those_of_a_killed_one() {
    let mut cluster = TestCluster::start();
    let filled = wait_for(|| cluster.fills_all_slots(0).then_some(()));
    assert!(filled.is_some(), "entry-0 never got all slots");
    cluster.kill(2);
    let filled = wait_for(|| cluster.fills_all_slots(1).then_some(()));
    assert!(filled.is_some(), "the slots of entry-2 were lost");
    assert_eq!(cluster.counts().most_running, SLOTS);
}

#[test]
fn a_withdrawn_key_is_rejected_everywhere_during_a_table_outage() {
    let cluster = TestCluster::start();
    for node in 0..NODES {
        assert_eq!(cluster.send_keyed(node).status, 200);
    }
    let response = cluster.withdraw(0);
    let down = FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    };
    cluster.set_faults(None, down);
    assert_eq!(response.status, ChangeStatus::Accepted);
    for node in 0..NODES {
        let refused = || (cluster.send_keyed(node).status == 401).then_some(());
        assert!(
            wait_for(refused).is_some(),
            "entry-{node} still accepts the key"
        );
    }
    // The open queue keeps serving during the outage.
    for node in 0..NODES {
        assert_eq!(cluster.send_open(node).status, 200);
    }
}

#[test]
fn one_of_two_concurrent_changes_gets_a_conflict() {
    let cluster = TestCluster::start();
    let base = cluster.status(0).unwrap().version;
    let (first, second) = thread::scope(|scope| {
        let low = DECLARATION.replace("limit = 5", "limit = 3");
        let high = DECLARATION.replace("limit = 5", "limit = 9");
        let cluster = &cluster;
        let first = scope.spawn(move || cluster.apply(0, &low, Some(base)));
        let second = scope.spawn(move || cluster.apply(1, &high, Some(base)));
        (first.join().unwrap(), second.join().unwrap())
    });
    let accepted = [&first, &second]
        .iter()
        .filter(|response| response.status == ChangeStatus::Accepted)
        .count();
    assert_eq!(accepted, 1, "{first:?} {second:?}");
    for node in 0..NODES {
        let has_change = || (cluster.status(node)?.version == base + 1).then_some(());
        assert!(
            wait_for(has_change).is_some(),
            "entry-{node} lacks the change"
        );
    }
}

#[test]
fn a_change_whose_response_was_lost_is_found_by_reading() {
    let cluster = TestCluster::start();
    let lost = FaultPlan {
        lost_replies: 1,
        ..FaultPlan::default()
    };
    cluster.set_faults(Some(0), lost);
    let base = cluster.status(0).unwrap().version;
    let text = DECLARATION.replace("limit = 5", "limit = 4");
    let response = cluster.apply(0, &text, None);
    assert_eq!(response.status, ChangeStatus::Accepted, "{response:?}");
    assert_eq!(response.version, Some(base + 1), "{response:?}");
}

#[test]
fn a_process_that_starts_in_an_outage_waits_and_the_others_serve() {
    let mut cluster = TestCluster::start();
    let down = FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    };
    cluster.entries[2] = None;
    cluster.set_faults(None, down);
    cluster.entries[2] = Some(cluster.spawn(2));
    cluster.entry(2).log_line("E301");
    let listen = cluster.listen(2);
    assert_eq!(Request::get("/healthz").send(listen).unwrap().status, 200);
    assert_eq!(Request::get("/readyz").send(listen).unwrap().status, 503);
    for node in 0..2 {
        let response = cluster.send_keyed(node);
        let log = || cluster.entry(node).log_lines().join("\n");
        assert_eq!(response.status, 200, "{}\n{}", response.text(), log());
    }
    cluster.set_faults(None, FaultPlan::default());
    cluster.wait_ready(2);
    let response = cluster.send_keyed(2);
    assert_eq!(response.status, 200, "{}", response.text());
}

#[test]
fn a_process_without_the_table_serves_while_it_reaches_its_peers() {
    let cluster = TestCluster::start();
    let down = FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    };
    cluster.set_faults(Some(1), down);
    // Longer than keys are accepted without any contact.
    thread::sleep(Duration::from_secs(6));
    assert_eq!(cluster.send_keyed(1).status, 200);
    let text = DECLARATION.replace("limit = 5", "limit = 4");
    let response = cluster.apply(0, &text, None);
    assert_eq!(response.status, ChangeStatus::Accepted);
    let version = response.version;
    let has_version = || (cluster.status(1).map(|status| status.version) == version).then_some(());
    assert!(
        wait_for(has_version).is_some(),
        "entry-1 did not receive the change from its peers"
    );
}

#[test]
fn a_paused_process_checks_its_registration_before_it_resumes() {
    let cluster = TestCluster::start();
    cluster.entry(1).signal("STOP");
    thread::sleep(Duration::from_secs(5));
    assert_eq!(cluster.send_open(0).status, 200);
    cluster.entry(1).signal("CONT");
    cluster.entry(1).log_line("E306");
    let is_served = || (cluster.send_open(1).status == 200).then_some(());
    assert!(wait_for(is_served).is_some(), "entry-1 did not resume");
}

#[test]
fn a_replaced_process_stops() {
    let mut cluster = TestCluster::start();
    let newer = cluster.spawn(2);
    let old = cluster.entries[2].as_mut().unwrap();
    assert_eq!(old.wait(), Some(1));
    old.log_line("E302");
    cluster.entries[2] = Some(newer);
    cluster.wait_ready(2);
}

#[test]
fn a_request_whose_process_was_killed_is_not_run_again_elsewhere() {
    let mut cluster = TestCluster::start();
    let request = Request::post("notices", "x")
        .header("Redwing-Repeatable", "false")
        .header("Idempotency-Key", "lorry-12")
        .header("Redwing-Standin-Request", "lorry-12");
    let running = request.clone().header("Redwing-Standin-Delay", "2");
    let first = cluster.listen(0);
    let caller = thread::spawn(move || running.send(first));
    wait_for(|| (cluster.counts().running == 1).then_some(())).unwrap();
    // Dropping the process kills it.
    drop(cluster.entries[0].take());
    assert!(caller.join().unwrap().is_err());
    for node in [1, 2] {
        let response = request.send(cluster.listen(node)).unwrap();
        assert_eq!((response.status, response.outcome()), (409, "unknown"));
        assert_eq!(response.problem(), "conflict");
    }
    assert_eq!(cluster.counts().executions["lorry-12"], 1);
}

#[test]
fn an_unrepeatable_request_waits_for_the_table() {
    let cluster = TestCluster::start();
    let request = Request::post("notices", "x")
        .header("Redwing-Repeatable", "false")
        .header("Idempotency-Key", "invoice-3")
        .header("Redwing-Standin-Request", "invoice-3");
    let down = FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    };
    cluster.set_faults(None, down);
    let refused = request.send(cluster.listen(0)).unwrap();
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(refused.problem(), "store-unavailable");
    assert!(refused.header("retry-after").is_some());
    // Requests without a claim are still served.
    assert_eq!(cluster.send_open(0).status, 200);
    assert_eq!(cluster.counts().executions.get("invoice-3"), None);
    cluster.set_faults(None, FaultPlan::default());
    let ran = || (request.send(cluster.listen(0)).ok()?.status == 200).then_some(());
    assert!(wait_for(ran).is_some(), "the request never ran");
    assert_eq!(cluster.counts().executions["invoice-3"], 1);
}

#[test]
fn two_processes_leave_at_once_with_the_table_down() {
    let mut cluster = TestCluster::start();
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let listen = cluster.listen(number % 2);
            thread::spawn(move || send(listen, "notices", "", "1"))
        })
        .collect();
    wait_for(|| (cluster.counts().running == 8).then_some(())).unwrap();
    let down = FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    };
    cluster.set_faults(None, down);
    for node in 0..2 {
        cluster.entry(node).signal("TERM");
    }
    for caller in callers {
        let response = caller.join().unwrap();
        assert_eq!((response.status, response.complete), (200, true));
    }
    for node in 0..2 {
        let entry = cluster.entries[node].as_mut().unwrap();
        assert_eq!(entry.wait(), Some(0), "{:?}", entry.log_lines());
    }
    assert_eq!(cluster.send_open(2).status, 200);
}
