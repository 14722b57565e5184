//! Homes of tokens under kills, restarts, outages and lost replies.
//!
//! Each process runs the real membership over the stand-in platform. Its
//! scheduler is a small model that lends, borrows and uses tokens at random;
//! the model of the backend servers notices when a token is used twice.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod model;
mod world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use model::{NODES, SLOTS, TASK_LEASE};
use world::{Step, World};

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        6 => node.clone().prop_map(Step::Round),
        4 => node.clone().prop_map(Step::Rounds),
        4 => (0..NODES, 1..NODES).prop_map(|(first, step)| {
            Step::RoundPair(first, (first + step) % NODES)
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

/// Runs `steps`, then checks that everything is recovered.
fn run(steps: &[Step]) {
    let system = actix_rt::System::new();
    system.block_on(async {
        // Delays of the table pass at once.
        tokio::time::pause();
        let mut world = World::new().await;
        for step in steps {
            world.apply(step).await;
        }
        world.heal().await;
        world.check_recovered().await;
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
        steps in prop::collection::vec(step(), 20..160),
    ) {
        run(&steps);
    }
}

/// A write whose reply was lost may have given a token away: it must not be
/// used here again while the table cannot be read.
#[test]
fn a_token_given_away_stays_out_of_use_when_the_reply_is_lost() {
    let system = actix_rt::System::new();
    system.block_on(async {
        let mut world = World::new().await;
        // Alone, one process becomes the home of every token.
        for index in 1..NODES {
            world.leave(index).await;
        }
        for _ in 0..8 {
            world.round(0).await;
            world.advance(TASK_LEASE.as_millis() as u64 / 2);
        }
        for index in 1..NODES {
            world.start_process(index).await;
        }
        world.lose(0, 1, 0);
        world.round(0).await;
        world.set_table(0, true);
        for index in [1, 2, 0, 1, 2, 0] {
            world.round(index).await;
        }
        for index in (0..NODES).cycle().take(NODES * SLOTS as usize) {
            world.start(index);
        }
        world.heal().await;
        world.check_recovered().await;
    });
}

/// Two members that take over tokens of one row at once: the one whose write
/// loses may not count as settled before its tokens are at home with it.
#[test]
fn a_member_settles_only_once_the_table_names_it_as_home() {
    let system = actix_rt::System::new();
    system.block_on(async {
        tokio::time::pause();
        let mut world = World::new().await;
        for index in 1..NODES {
            world.leave(index).await;
        }
        for _ in 0..8 {
            world.round(0).await;
            world.advance(TASK_LEASE.as_millis() as u64 / 2);
        }
        // The new members know the first one, but have no home tokens.
        for index in 1..NODES {
            world.start_process(index).await;
        }
        world.processes[0]
            .as_mut()
            .unwrap()
            .port
            .0
            .borrow_mut()
            .peers = world.processes[1..]
            .iter()
            .flatten()
            .map(|peer| peer.incarnation.clone())
            .collect();
        for index in 1..NODES {
            world.lend(0, index);
            world.deliver(0, true);
        }
        world.round_pair(1, 2).await;
        world.kill(0);
        for _ in 0..4 {
            world.advance(30_000);
            world.round_pair(1, 2).await;
        }
        for _ in 0..4 {
            world.advance(TASK_LEASE.as_millis() as u64);
            world.round_pair(1, 2).await;
            for index in (1..NODES).cycle().take(NODES * SLOTS as usize) {
                world.start(index);
            }
        }
        world.heal().await;
        world.check_recovered().await;
    });
}
