//! Evacuation of a data centre over loopback: three entry processes, backend servers in two
//! data centres, and an outage of the table.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::net;

use common::client::Request;
use common::cluster::{NODES, TestCluster};
use common::{Process, wait_for};
use redwing_model::admin::{ChangeResponse, ChangeStatus};
use redwing_model::vm::VmIdentity;
use redwing_provider::{ListedStatus, ListedVm, VmRole};
use redwing_standin::FaultPlan;
use redwing_standin::backend::ExecutionCounts;
use redwing_standin::server::ControlCall;

/// Requests of one round, over all entry processes.
const ROUND_REQUESTS: usize = 30;

/// Lists a backend server in data centre `dc-2` at this address.
fn list_second(cluster: &TestCluster, address: net::SocketAddr) {
    cluster.control(&ControlCall::PutVm(ListedVm {
        identity: VmIdentity {
            vm: "vm-7".parse().unwrap(),
            address,
            rack: "rack-2".parse().unwrap(),
            data_centre: "dc-2".parse().unwrap(),
        },
        role: VmRole::BackendServer,
        status: ListedStatus::Live,
    }));
}

/// Returns the number of requests that the backend server at this address has started.
fn executions(address: net::SocketAddr) -> usize {
    let response = Request::get("/standin/executions").send(address).unwrap();
    let counts: ExecutionCounts = serde_json::from_slice(&response.body).unwrap();
    counts.executions.len()
}

/// Sends a round of requests to the open queue.
fn send_round(cluster: &TestCluster, round: &str) {
    for number in 0..ROUND_REQUESTS {
        let response = Request::post("notices", "body")
            .header("Redwing-Standin-Request", &format!("{round}-{number}"))
            .send(cluster.listen(number % NODES))
            .unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
}

/// Sends rounds until the second data centre gets a request.
fn wait_until_used(cluster: &TestCluster, second: net::SocketAddr, round: &str) {
    let before = executions(second);
    let mut count = 0;
    let used = wait_for(|| {
        count += 1;
        send_round(cluster, &format!("{round}-{count}"));
        (executions(second) > before).then_some(())
    });
    assert!(used.is_some(), "{round}: the data centre got no request");
}

/// Repeats a change of the evacuation until it is accepted: a process knows a new VM once it
/// has read its row, and the table may have been down.
fn change(cluster: &TestCluster, method: &'static str) {
    let accepted = wait_for(|| {
        let response = cluster.admin_request(0, method, "/v1/admin/evacuations/dc-2", "");
        let response: ChangeResponse = serde_json::from_slice(&response.body).ok()?;
        (response.status == ChangeStatus::Accepted).then_some(())
    });
    assert!(accepted.is_some(), "{method} was not accepted");
}

/// Guards against requests that are sent to an evacuated data centre, also while the table
/// is down and the rounds that update the view of the fleet fail; and against one that gets
/// none after the undo.
#[test]
fn an_evacuated_data_centre_gets_no_request_during_a_table_outage() {
    let cluster = TestCluster::start();
    let backend = Process::start(&["standin", "backend", "--listen", "127.0.0.1:0"]);
    let second = backend.stdout[0].strip_prefix("backend http://").unwrap();
    let second = second.parse().unwrap();
    list_second(&cluster, second);
    wait_until_used(&cluster, second, "before");

    change(&cluster, "POST");
    let down = FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    };
    cluster.set_faults(None, down);
    for node in 0..NODES {
        let is_known = || (cluster.status(node)?.evacuated.len() == 1).then_some(());
        assert!(wait_for(is_known).is_some(), "entry-{node} does not know");
    }
    let before = executions(second);
    for round in 0..5 {
        send_round(&cluster, &format!("evacuated-{round}"));
    }
    assert_eq!(executions(second), before);
    let text = cluster.admin_request(1, "GET", "/v1/admin/explain/vm/vm-7", "");
    assert!(text.text().contains("evacuated"), "{}", text.text());

    cluster.set_faults(None, FaultPlan::default());
    change(&cluster, "DELETE");
    wait_until_used(&cluster, second, "undone");
}
