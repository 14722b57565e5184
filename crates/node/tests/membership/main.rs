//! Ownership of tokens under kills, restarts, outages and lost responses.
//!
//! Each process runs the real membership over the stand-in platform. Its
//! scheduler is a model that lends, borrows and uses tokens at random; the
//! model of the backend server detects a token that is used twice.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod limits;
mod model;
mod simulation;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use model::{NODES, SLOTS, TASK_LEASE};
use simulation::{Simulation, Step};

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        6 => node.clone().prop_map(Step::Round),
        4 => node.clone().prop_map(Step::Rounds),
        4 => (0..NODES, 1..NODES).prop_map(|(first, offset)| {
            Step::RoundPair(first, (first + offset) % NODES)
        }),
        8 => node.clone().prop_map(Step::Start),
        3 => any::<usize>().prop_map(Step::Finish),
        5 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::Lend(from, to)),
        3 => node.clone().prop_map(Step::Return),
        5 => any::<usize>().prop_map(Step::Deliver),
        2 => any::<usize>().prop_map(Step::LoseAck),
        2 => node.clone().prop_map(Step::Kill),
        3 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Leave),
        1 => (node.clone(), any::<bool>()).prop_map(|(index, down)| Step::TableDown(index, down)),
        3 => node.clone().prop_map(Step::LoseReply),
        3 => node.prop_map(Step::LoseRequest),
        3 => (100_u64..5_000).prop_map(Step::Advance),
        4 => (30_000_u64..70_000).prop_map(Step::Advance),
    ]
}

/// Runs `steps`, then checks that all tokens are recovered.
fn run(steps: &[Step]) {
    let system = actix_rt::System::new();
    system.block_on(async {
        // With paused time, delays of the table elapse immediately.
        tokio::time::pause();
        let mut simulation = Simulation::new().await;
        for step in steps {
            simulation.apply(step).await;
        }
        simulation.recover().await;
        simulation.check_recovered().await;
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_token_is_used_twice_and_none_is_lost(
        steps in prop::collection::vec(any_step(), 20..160),
    ) {
        run(&steps);
    }
}

/// A write whose response was lost may have transferred a token, so the process
/// must not use the token again while it cannot read the table.
#[test]
fn a_transferred_token_stays_unused_when_the_response_is_lost() {
    let system = actix_rt::System::new();
    system.block_on(async {
        let mut simulation = Simulation::new().await;
        // The only remaining process becomes the owner of every token.
        for index in 1..NODES {
            simulation.leave(index).await;
        }
        for _ in 0..8 {
            simulation.round(0).await;
            simulation.advance(TASK_LEASE.as_millis() as u64 / 2);
        }
        for index in 1..NODES {
            simulation.start_process(index).await;
        }
        simulation.set_lost_calls(0, 1, 0);
        simulation.round(0).await;
        simulation.set_table_down(0, true);
        for index in [1, 2, 0, 1, 2, 0] {
            simulation.round(index).await;
        }
        for index in (0..NODES).cycle().take(NODES * SLOTS as usize) {
            simulation.start_task(index);
        }
        simulation.recover().await;
        simulation.check_recovered().await;
    });
}

/// Two members take over tokens of one row concurrently: the one whose write
/// conflicts must not count as settled before the table names it as the owner.
#[test]
fn a_member_settles_only_once_the_table_names_it_as_owner() {
    let system = actix_rt::System::new();
    system.block_on(async {
        tokio::time::pause();
        let mut simulation = Simulation::new().await;
        for index in 1..NODES {
            simulation.leave(index).await;
        }
        for _ in 0..8 {
            simulation.round(0).await;
            simulation.advance(TASK_LEASE.as_millis() as u64 / 2);
        }
        // The new members know the first one, but own no tokens.
        for index in 1..NODES {
            simulation.start_process(index).await;
        }
        simulation.processes[0]
            .as_mut()
            .unwrap()
            .scheduler
            .0
            .borrow_mut()
            .peers = simulation.processes[1..]
            .iter()
            .flatten()
            .map(|peer| peer.incarnation.clone())
            .collect();
        for index in 1..NODES {
            simulation.lend(0, index);
            simulation.deliver(0, true);
        }
        simulation.round_pair(1, 2).await;
        simulation.kill(0);
        for _ in 0..4 {
            simulation.advance(30_000);
            simulation.round_pair(1, 2).await;
        }
        for _ in 0..4 {
            simulation.advance(TASK_LEASE.as_millis() as u64);
            simulation.round_pair(1, 2).await;
            for index in (1..NODES).cycle().take(NODES * SLOTS as usize) {
                simulation.start_task(index);
            }
        }
        simulation.recover().await;
        simulation.check_recovered().await;
    });
}
