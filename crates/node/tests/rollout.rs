//! Roll-outs by real processes, under load and with the loss of an entry process.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::client::Request;
use common::cluster::{TestCluster, send};
use common::{Process, wait_for, wait_within};
use redwing_model::vm::VmIdentity;
use redwing_planner::rollout::{RolloutState, RolloutStatus};
use redwing_provider::{ListedStatus, ListedVm, VmRole};
use redwing_standin::backend::ExecutionCounts;
use redwing_standin::server::ControlCall;

/// Time limit of a roll-out, which takes 41 s on an idle machine.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(300);

/// Operator API path of the pool's roll-out.
const ROLLOUT_PATH: &str = "/v1/admin/rollouts/reports";

/// Results of one caller's requests.
#[derive(Debug, Default)]
struct CallerLog {
    succeeded: usize,
    failed: Vec<String>,
}

fn call_until(listen: SocketAddr, stop: &AtomicBool) -> CallerLog {
    let mut log = CallerLog::default();
    while !stop.load(Ordering::Relaxed) {
        let response = send(listen, "notices", "", "0.05");
        if response.status == 200 && response.complete {
            log.succeeded += 1;
        } else {
            log.failed
                .push(format!("{} {}", response.status, response.text()));
        }
    }
    log
}

fn status(cluster: &TestCluster, node: usize) -> Option<RolloutStatus> {
    let response = cluster.admin_request(node, "GET", ROLLOUT_PATH, "");
    serde_json::from_slice(&response.body).ok()
}

#[test]
fn rollout_reboots_every_vm_within_the_budget_and_fails_no_request() {
    let mut cluster = TestCluster::start();
    let stop = AtomicBool::new(false);
    let listens = [cluster.listen(0), cluster.listen(1)];
    let logs: Vec<CallerLog> = thread::scope(|scope| {
        let callers: Vec<_> = listens
            .iter()
            .cycle()
            .take(6)
            .map(|listen| scope.spawn(|| call_until(*listen, &stop)))
            .collect();
        let response = cluster.admin_request(2, "POST", ROLLOUT_PATH, r#"{"command": "start"}"#);
        assert_eq!(response.status, 200, "{}", response.text());
        let started = || status(&cluster, 0).filter(|status| !status.unavailable.is_empty());
        wait_for(started).expect("no VM was taken out of service");
        // The process that accepted the command dies; the others continue the roll-out.
        cluster.kill(2);
        let mut max_unavailable = 0;
        let done = wait_within(ROLLOUT_LIMIT, || {
            // Each status request reads the table.
            thread::sleep(Duration::from_millis(100));
            let status = status(&cluster, 0)?;
            max_unavailable = max_unavailable.max(status.unavailable.len());
            (status.state == RolloutState::Done).then_some(status)
        });
        stop.store(true, Ordering::Relaxed);
        let done = done.expect("the roll-out did not finish");
        assert_eq!((done.done, done.failed.len()), (2, 0), "{done:?}");
        assert_eq!(max_unavailable, 1);
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect()
    });
    for log in logs {
        assert!(log.succeeded > 0);
        assert_eq!(log.failed, Vec::<String>::new());
    }
}

/// Time after which a leaving backend server must not get new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Returns the number of requests that the backend server of `process` has started.
fn execution_count(process: &Process) -> usize {
    let address = process.stdout[0].strip_prefix("backend http://").unwrap();
    let response = Request::get("/standin/executions")
        .send(address.parse().unwrap())
        .unwrap();
    let counts: ExecutionCounts = serde_json::from_slice(&response.body).unwrap();
    counts.executions.len()
}

#[test]
fn leaving_backend_server_gets_no_new_requests_after_a_few_seconds() {
    let cluster = TestCluster::start();
    let leaving = Process::start(&["standin", "backend", "--listen", "127.0.0.1:0"]);
    let address = leaving.stdout[0].strip_prefix("backend http://").unwrap();
    let list = |status| {
        cluster.control(&ControlCall::PutVm(ListedVm {
            identity: VmIdentity {
                vm: "vm-7".parse().unwrap(),
                address: address.parse().unwrap(),
                rack: "rack-2".parse().unwrap(),
                data_centre: "dc-2".parse().unwrap(),
            },
            role: VmRole::BackendServer,
            status,
        }));
    };
    let mut sent = 0;
    let mut send_requests = || {
        for node in 0..30 {
            sent += 1;
            let id = format!("request-{sent}");
            let response = Request::post("notices", "body")
                .header("Redwing-Standin-Request", &id)
                .send(cluster.listen(node % 3))
                .unwrap();
            assert_eq!(response.status, 200, "{}", response.text());
        }
    };
    list(ListedStatus::Live);
    let used = wait_for(|| {
        send_requests();
        (execution_count(&leaving) > 0).then_some(())
    });
    assert!(used.is_some(), "the new backend server never got a request");
    list(ListedStatus::Leaving);
    thread::sleep(LEAVING_LIMIT);
    let before = execution_count(&leaving);
    for _ in 0..10 {
        send_requests();
    }
    assert_eq!(execution_count(&leaving), before);
}
