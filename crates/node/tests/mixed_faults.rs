//! Randomly mixed faults, disconnects and deadlines on one backend server.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::net;
use std::thread;

use common::client::{self, Request};
use common::fleet::{FleetSetup, TestFleet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Number of concurrent callers.
const CALLERS: u64 = 12;

/// Number of requests of each caller.
const REQUESTS: usize = 40;

/// Slots of the backend server.
const SLOTS: usize = 8;

const DECLARATION: &str = r#"
[pools.workers]
vms = 1
max-unavailable = 0
[queues.notices]
pool = "workers"
open = true
"#;

/// Faults to select from; a third of the requests get none.
const FAULTS: &[&str] = &[
    "none",
    "none",
    "none",
    "fail",
    "cut-off",
    "cut-off-chunked",
    "break",
    "refuse",
    "not-started",
];

/// Outcomes that one caller received, by request.
#[derive(Default)]
struct CallerLog {
    not_run: Vec<String>,
    ran: Vec<String>,
}

/// Sends requests with random faults and deadlines; disconnects during some.
fn send_requests(listen: net::SocketAddr, seed: u64) -> CallerLog {
    let mut random = StdRng::seed_from_u64(seed);
    let mut log = CallerLog::default();
    for number in 0..REQUESTS {
        let id = format!("{seed}-{number}");
        let request = Request::post("notices", id.clone())
            .header("Redwing-Repeatable", "false")
            .header("Redwing-Standin-Request", &id)
            .header(
                "Redwing-Standin-Fault",
                FAULTS[random.random_range(0..FAULTS.len())],
            )
            .header(
                "Redwing-Standin-Delay",
                &format!("0.0{}", random.random_range(0..4)),
            )
            .header(
                "Redwing-Timeout",
                if random.random_bool(0.2) {
                    "0.02"
                } else {
                    "20"
                },
            );
        if random.random_bool(0.2) {
            let mut stream = client::connect(listen).unwrap();
            request.write(&mut stream).unwrap();
            thread::sleep(std::time::Duration::from_millis(random.random_range(0..30)));
            continue;
        }
        let Ok(response) = request.send(listen) else {
            continue;
        };
        match (response.outcome(), response.complete) {
            ("not-run", true) => log.not_run.push(id),
            ("ran", true) => {
                if response.status == 200 {
                    assert_eq!(response.text(), id, "response to another request");
                }
                log.ran.push(id);
            }
            _ => {}
        }
    }
    log
}

#[rstest]
fn outcomes_are_correct_and_no_slot_is_lost(#[values(1, 2, 3)] round: u64) {
    let fleet = TestFleet::start(FleetSetup {
        declaration: DECLARATION,
        live: 1,
        flags: &["--task-lease", "0.3"],
        ..FleetSetup::default()
    });
    let listen = fleet.listen;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| thread::spawn(move || send_requests(listen, round * 1_000 + caller)))
        .collect();
    let logs: Vec<CallerLog> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect();
    let counts = fleet.state.counts();
    for log in &logs {
        for id in &log.not_run {
            assert_eq!(counts.executions.get(id), None, "{id} ran");
        }
        for id in &log.ran {
            assert_eq!(counts.executions.get(id), Some(&1), "{id}");
        }
    }
    assert!(counts.executions.values().all(|count| *count == 1));
    assert!(
        counts.most_running <= SLOTS as u64,
        "{}",
        counts.most_running
    );
    assert!(logs.iter().any(|log| !log.ran.is_empty()));
    assert_all_slots_free(&fleet);
}

/// Checks that as many requests as there are slots can run at once.
fn assert_all_slots_free(fleet: &TestFleet) {
    let listen = fleet.listen;
    let idle = || (fleet.state.counts().running == 0).then_some(());
    common::wait_for(idle).expect("executions did not end");
    let callers: Vec<_> = (0..SLOTS)
        .map(|_| {
            let request = Request::post("notices", "x").header("Redwing-Standin-Delay", "2");
            thread::spawn(move || request.send(listen).unwrap().status)
        })
        .collect();
    let all_running = || (fleet.state.counts().running == SLOTS as u64).then_some(());
    common::wait_for(all_running).expect("a slot was lost");
    for caller in callers {
        assert_eq!(caller.join().unwrap(), 200);
    }
}
