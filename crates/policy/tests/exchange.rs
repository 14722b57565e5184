//! Several schedulers under random sequences of requests and faults.

mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_policy::{SchedulerSettings, TicketId};

use support::cluster::{Cluster, NetworkFaults, WorkerFaults};
use support::{FleetShape, customer, millis};

/// Longest run time of a task, in milliseconds; shorter than the task lease.
const MAX_RUN_MILLIS: u64 = 1_500;

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        node: usize,
        class: usize,
        customer: usize,
        repeatable: bool,
        run: u64,
        timeout: u64,
        count: u64,
    },
    Cancel {
        back: u64,
    },
    Advance {
        millis: u64,
    },
    Kill {
        node: usize,
    },
    Pause {
        node: usize,
        millis: u64,
    },
    Isolate {
        node: usize,
        millis: u64,
    },
    Leave {
        node: usize,
    },
    Join,
    Network {
        lost: u64,
        repeated: u64,
        delay: u64,
    },
    Workers {
        refused: u64,
        failed: u64,
        lost: u64,
    },
}

fn random_step() -> impl Strategy<Value = Step> {
    let submit = (
        0..8usize,
        0..2usize,
        0..4usize,
        any::<bool>(),
        1..MAX_RUN_MILLIS,
        1..5_000u64,
        1..12u64,
    );
    let submit =
        submit.prop_map(
            |(node, class, customer, repeatable, run, timeout, count)| Step::Submit {
                node,
                class,
                customer,
                repeatable,
                run,
                timeout,
                count,
            },
        );
    let network = (0..50u64, 0..50u64, 0..100u64);
    let workers = (0..20u64, 0..20u64, 0..20u64);
    prop_oneof![
        12 => submit,
        8 => (1..600u64).prop_map(|millis| Step::Advance { millis }),
        3 => (0..40u64).prop_map(|back| Step::Cancel { back }),
        1 => (0..8usize).prop_map(|node| Step::Kill { node }),
        1 => (0..8usize, 1..6_000u64).prop_map(|(node, millis)| Step::Pause { node, millis }),
        1 => (0..8usize, 1..6_000u64).prop_map(|(node, millis)| Step::Isolate { node, millis }),
        1 => (0..8usize).prop_map(|node| Step::Leave { node }),
        1 => Just(Step::Join),
        1 => network.prop_map(|(lost, repeated, delay)| Step::Network { lost, repeated, delay }),
        1 => workers.prop_map(|(refused, failed, lost)| Step::Workers { refused, failed, lost }),
    ]
}

fn apply(cluster: &mut Cluster, step: &Step) {
    let serving = cluster.serving();
    let pick = |node: usize| serving[node % serving.len()];
    match *step {
        Step::Submit {
            node,
            class,
            customer,
            repeatable,
            run,
            timeout,
            count,
        } => {
            let class = cluster.shape.class(class);
            let customers = cluster.shape.customers.clone();
            let customer = customers.get(customer).map(|(name, ..)| name);
            for _ in 0..count {
                cluster.submit(pick(node), &class, customer, repeatable, run, timeout);
            }
        }
        Step::Cancel { back } => {
            let last = cluster.requests.len() as u64;
            cluster.cancel(TicketId(last.saturating_sub(back)));
        }
        Step::Advance { millis } => cluster.run(millis, 5),
        Step::Kill { node } if serving.len() > 1 => cluster.kill(pick(node)),
        Step::Leave { node } if serving.len() > 1 => cluster.leave(pick(node)),
        Step::Pause { node, millis } => cluster.pause(pick(node), millis),
        Step::Isolate { node, millis } => cluster.isolate(pick(node), millis),
        Step::Join if serving.len() < 6 => {
            cluster.join();
        }
        Step::Network {
            lost,
            repeated,
            delay,
        } => {
            cluster.network = NetworkFaults {
                lost,
                repeated,
                delay,
            };
        }
        Step::Workers {
            refused,
            failed,
            lost,
        } => {
            cluster.faults = WorkerFaults {
                refused,
                failed,
                lost,
            };
        }
        Step::Kill { .. } | Step::Leave { .. } | Step::Join => {}
    }
}

fn shape() -> FleetShape {
    FleetShape {
        workers: 4,
        slots: 3,
        classes: 2,
        customers: vec![
            (customer("a"), 0.5, 5),
            (customer("b"), 0.3, 3),
            (customer("c"), 0.2, 8),
        ],
        queue_depth: 50,
    }
}

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        slots_per_worker: 3,
        task_lease: millis(2_000),
        ..SchedulerSettings::default()
    }
}

/// Ends all faults, runs until all requests have ended, and checks that no
/// request or token was lost.
fn run_to_quiescence(cluster: &mut Cluster) -> Result<(), TestCaseError> {
    cluster.network = NetworkFaults::default();
    cluster.faults = WorkerFaults::default();
    cluster.run(30_000, 10);
    prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    for (id, request) in &cluster.requests {
        prop_assert_eq!(request.ends.len(), 1, "{:?}: {:?}", id, request);
    }
    let all = cluster.shape.tokens().len();
    prop_assert_eq!(cluster.free_tokens(), all, "tokens were lost");
    prop_assert_eq!(cluster.borrowed_tokens(), 0, "tokens were not returned");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_under_random_faults(
        nodes in 1..5usize,
        seed in any::<u64>(),
        steps in prop::collection::vec(random_step(), 1..120),
    ) {
        let mut cluster = Cluster::new(shape(), nodes, settings(), seed);
        for step in &steps {
            apply(&mut cluster, step);
            prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        }
        run_to_quiescence(&mut cluster)?;
    }
}
