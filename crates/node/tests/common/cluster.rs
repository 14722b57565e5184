//! Cluster of three real entry processes, a stand-in platform and backend servers.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use redwing_model::AccessKey;
use redwing_model::admin::{ChangeResponse, ChangeStatus, NodeStatus};
use redwing_standin::backend::ExecutionCounts;
use redwing_standin::server::ControlCall;
use redwing_standin::{FaultPlan, HttpPlatform};

use super::client::{Request, Response};
use super::{Process, wait_for};

/// Number of entry processes.
pub(crate) const NODES: usize = 3;

/// Concurrency limit of the customer, lower than the number of slots.
pub(crate) const CUSTOMER_LIMIT: u64 = 5;

/// Total slots of the two backend servers.
pub(crate) const SLOTS: u64 = 16;

/// Declaration of the cluster.
pub(crate) const DECLARATION: &str = r#"
[pools.reports]
vms = 2
max-unavailable = 1

[queues.certificates]
pool = "reports"
shares = { inspectors = 0.5 }

[queues.notices]
pool = "reports"
open = true

[teams.inspectors]
limit = 5
"#;

/// Entry processes with the platform and the backend servers that they use.
pub(crate) struct TestCluster {
    platform: Process,
    backends: Process,
    pub(crate) entries: Vec<Option<Process>>,
    token: AccessKey,
    pub(crate) key: String,
}

impl TestCluster {
    /// Starts all processes, puts the declaration in force and grants a key.
    pub(crate) fn start() -> Self {
        let backends = Process::start(&[
            "standin",
            "backend",
            "--listen",
            "127.0.0.1:0",
            "--listen",
            "127.0.0.1:0",
        ]);
        let addresses: Vec<SocketAddr> = backend_addresses(&backends);
        let mut arguments = vec!["standin".to_owned(), "platform".to_owned()];
        arguments.extend(["--lag".to_owned(), "0.2".to_owned()]);
        for (index, address) in addresses.iter().enumerate() {
            arguments.extend([
                "--vm".to_owned(),
                format!("vm-{index},{address},rack-1,dc-1"),
            ]);
        }
        for node in 0..NODES {
            let vm = format!("entry-{node},127.0.0.1:1,rack-9,dc-1");
            arguments.extend(["--vm".to_owned(), vm]);
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let platform = Process::start(&arguments);
        let mut cluster = Self {
            platform,
            backends,
            entries: Vec::new(),
            token: AccessKey::generate(),
            key: String::new(),
        };
        cluster.entries = (0..NODES).map(|node| Some(cluster.spawn(node))).collect();
        cluster.wait_members(NODES);
        let response = cluster.apply(0, DECLARATION, None);
        assert_eq!(response.status, ChangeStatus::Accepted, "{response:?}");
        cluster.key = cluster.grant(1);
        for node in 0..NODES {
            cluster.wait_ready(node);
            // The grant is accepted once a majority has the key; wait for the others.
            let version = cluster.status(1).unwrap().version;
            let up_to_date = || (cluster.status(node)?.version == version).then_some(());
            wait_for(up_to_date).unwrap();
            // A new VM is assigned to its pool by whichever process acts first.
            let assigned = || (cluster.send_open(node).status == 200).then_some(());
            wait_for(assigned).unwrap();
        }
        cluster
    }

    /// Starts one entry process without waiting until it is ready.
    pub(crate) fn spawn(&self, node: usize) -> Process {
        let url = self.platform.stdout_value("platform");
        let name = format!("entry-{node}");
        let digest = self.token.hash().to_hex();
        Process::start_until(
            &[
                "serve",
                "--platform",
                &url,
                "--node",
                &name,
                "--bootstrap-hash",
                &digest,
                "--task-lease",
                "4",
                "--list-lag",
                "1",
                "--leave-delay",
                "0.2",
                "--stop-timeout",
                "20",
            ],
            "admin ",
        )
    }

    pub(crate) fn entry(&self, node: usize) -> &Process {
        self.entries[node].as_ref().unwrap()
    }

    pub(crate) fn listen(&self, node: usize) -> SocketAddr {
        self.entry(node).address("listen")
    }

    /// Sends a request to the operator API of one process.
    pub(crate) fn admin_request(
        &self,
        node: usize,
        method: &'static str,
        path: &str,
        body: &str,
    ) -> Response {
        let mut request = Request::post("", body).key(self.token.expose());
        request.method = method;
        request.path = path.to_owned();
        request.send(self.entry(node).address("admin")).unwrap()
    }

    pub(crate) fn wait_ready(&self, node: usize) {
        let listen = self.listen(node);
        let ready = || (Request::get("/readyz").send(listen).ok()?.status == 200).then_some(());
        wait_for(ready).unwrap_or_else(|| panic!("entry-{node} did not become ready"));
    }

    pub(crate) fn status(&self, node: usize) -> Option<NodeStatus> {
        let request = Request::get("/v1/admin/status").key(self.token.expose());
        let response = request.send(self.entry(node).address("admin")).ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    pub(crate) fn wait_members(&self, count: usize) {
        for node in 0..NODES {
            if self.entries[node].is_none() {
                continue;
            }
            let reached = || {
                let members = self.status(node)?.members;
                let reachable = members.iter().filter(|member| member.reachable);
                (reachable.count() == count).then_some(())
            };
            wait_for(reached)
                .unwrap_or_else(|| panic!("entry-{node} did not reach {count} members"));
        }
    }

    pub(crate) fn apply(&self, node: usize, text: &str, base: Option<u64>) -> ChangeResponse {
        let mut request = Request::post("", text).key(self.token.expose());
        request.method = "PUT";
        request.path = "/v1/admin/declaration".to_owned();
        if let Some(base) = base {
            request = request.header("Redwing-Base-Version", &base.to_string());
        }
        self.change(node, request)
    }

    /// Requests a change and repeats the request with the same change id while it
    /// is pending, as operators do. Only the first response to a grant contains the
    /// secret.
    pub(crate) fn change(&self, node: usize, request: Request) -> ChangeResponse {
        let id = AccessKey::generate().hash().to_hex();
        let request = request.header("Redwing-Change-Id", &id);
        let first = self.change_once(node, &request);
        if first.status != ChangeStatus::Pending {
            return first;
        }
        let repeated = wait_for(|| {
            let response = self.change_once(node, &request);
            (response.status != ChangeStatus::Pending).then_some(response)
        });
        ChangeResponse {
            secret: first.secret,
            ..repeated.expect("the change stayed pending")
        }
    }

    pub(crate) fn change_once(&self, node: usize, request: &Request) -> ChangeResponse {
        let response = request.send(self.entry(node).address("admin")).unwrap();
        serde_json::from_slice(&response.body)
            .unwrap_or_else(|error| panic!("{error}: {}", response.text()))
    }

    /// Grants a key through one process and returns the secret.
    pub(crate) fn grant(&self, node: usize) -> String {
        let body = r#"{"team": "inspectors", "queue": "certificates"}"#;
        let mut request = Request::post("", body).key(self.token.expose());
        request.path = "/v1/admin/keys".to_owned();
        let response = self.change(node, request);
        assert_eq!(response.status, ChangeStatus::Accepted, "{response:?}");
        response.secret.unwrap()
    }

    pub(crate) fn withdraw(&self, node: usize) -> ChangeResponse {
        let mut request = Request::get("").key(self.token.expose());
        request.method = "DELETE";
        request.path = format!(
            "/v1/admin/keys/{}",
            redwing_model::KeyHash::of(&self.key).to_hex()
        );
        self.change(node, request)
    }

    /// Sends a request with the key to the keyed queue.
    pub(crate) fn send_keyed(&self, node: usize) -> Response {
        send(self.listen(node), "certificates", &self.key, "0")
    }

    /// Sends a request to the open queue.
    pub(crate) fn send_open(&self, node: usize) -> Response {
        send(self.listen(node), "notices", "", "0")
    }

    pub(crate) fn counts(&self) -> ExecutionCounts {
        let address = backend_addresses(&self.backends)[0];
        let response = Request::get("/standin/executions").send(address).unwrap();
        serde_json::from_slice(&response.body).unwrap()
    }

    /// Sets the platform faults for the calls of one process, or of all processes.
    pub(crate) fn set_faults(&self, node: Option<usize>, plan: FaultPlan) {
        let call = match node {
            Some(node) => ControlCall::ClientFaults(format!("entry-{node}"), plan),
            None => ControlCall::AllFaults(plan),
        };
        self.control(&call);
    }

    pub(crate) fn control(&self, call: &ControlCall) {
        let url = self.platform.stdout_value("platform");
        actix_rt::System::new()
            .block_on(async { HttpPlatform::new(&url, "test").control(call).await })
            .unwrap();
    }

    /// Kills a process and removes its VM from the platform's list.
    pub(crate) fn kill(&mut self, node: usize) {
        self.entries[node] = None;
        self.control(&ControlCall::RemoveVm(
            format!("entry-{node}").parse().unwrap(),
        ));
    }

    /// Sends one long request per slot to the open queue through one process, and
    /// returns whether they all ran concurrently.
    pub(crate) fn fills_all_slots(&self, node: usize) -> bool {
        let callers: Vec<_> = (0..SLOTS)
            .map(|_| {
                let listen = self.listen(node);
                thread::spawn(move || send(listen, "notices", "", "1.5").status)
            })
            .collect();
        let filled = (0..120).any(|_| {
            thread::sleep(Duration::from_millis(10));
            self.counts().running == SLOTS
        });
        for caller in callers {
            caller.join().unwrap();
        }
        filled
    }
}

fn backend_addresses(backends: &Process) -> Vec<SocketAddr> {
    let lines = backends.stdout.iter();
    let urls = lines.filter_map(|line| line.strip_prefix("backend http://"));
    urls.map(|address| address.parse().unwrap()).collect()
}

pub(crate) fn send(listen: SocketAddr, queue: &str, key: &str, delay: &str) -> Response {
    let mut request = Request::post(queue, "body").header("Redwing-Standin-Delay", delay);
    if !key.is_empty() {
        request = request.key(key);
    }
    request.send(listen).unwrap()
}
