//! Claims of requests that may run at most once.

use std::cell;
use std::collections::BTreeSet;
use std::rc;
use std::time;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::{CustomerName, NodeId, NodeIncarnation, QueueName, RunOutcome};
use redwing_node::claim::{
    self, ClaimGuard, ClaimHandle, ClaimKey, ClaimResponse, ClaimSettings, CommitAges,
};
use redwing_node::stop::StopPhase;
use redwing_provider::backoff::BackoffSettings;
use redwing_provider::{TableClient, TableStore};
use redwing_standin::MemoryPlatform;
use tokio::sync::watch;

use crate::fleet::fast_client;

const RETRY_INTERVAL: time::Duration = time::Duration::from_micros(200);

type EndedNodes = rc::Rc<cell::RefCell<BTreeSet<NodeIncarnation>>>;

/// One process that claims requests.
struct Claimant {
    platform: MemoryPlatform,
    node: NodeIncarnation,
    handle: ClaimHandle,
    stop: watch::Sender<StopPhase>,
}

fn start(platform: &MemoryPlatform, number: usize, epoch: u64, ended: &EndedNodes) -> Claimant {
    let platform = platform.new_client();
    let name = NodeId::new(&format!("node-{number}")).unwrap();
    let node = NodeIncarnation { node: name, epoch };
    let backoff = BackoffSettings {
        initial_delay: RETRY_INTERVAL,
        max_delay: RETRY_INTERVAL,
    };
    let settings = ClaimSettings {
        backoff,
        recheck_interval: RETRY_INTERVAL,
        ..ClaimSettings::default()
    };
    let (stop, stopped) = watch::channel(StopPhase::Running);
    let client = TableClient::new(platform.services().table, fast_client());
    let ended = ended.clone();
    let is_ended = rc::Rc::new(move |node: &NodeIncarnation| ended.borrow().contains(node));
    let handle = claim::start(client, node.clone(), is_ended, settings, stopped);
    Claimant {
        platform,
        node,
        handle,
        stop,
    }
}

fn key(number: u32) -> ClaimKey {
    ClaimKey {
        customer: Some(CustomerName::new("sales").unwrap()),
        queue: QueueName::new("q").unwrap(),
        key: number.to_string(),
    }
}

async fn short_delay() {
    actix_rt::time::sleep(time::Duration::from_millis(5)).await;
}

fn claimed(response: ClaimResponse) -> ClaimGuard {
    match response {
        ClaimResponse::Claimed(claim) => claim,
        other => panic!("{other:?}"),
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

/// Repeats a claim until its response is as expected; any other response than
/// `InProgress` fails the test.
async fn claim_until(
    node: &Claimant,
    number: u32,
    expected: impl Fn(&ClaimResponse) -> bool,
) -> ClaimResponse {
    loop {
        let response = node.handle.claim(key(number)).await;
        if expected(&response) {
            return response;
        }
        assert!(
            matches!(response, ClaimResponse::InProgress),
            "{response:?}"
        );
        short_delay().await;
    }
}

#[test]
fn request_is_claimed_once_and_its_outcome_kept() {
    block_on(async {
        let (platform, ended) = (MemoryPlatform::default(), EndedNodes::default());
        let nodes = [0, 1].map(|number| start(&platform, number, 1, &ended));
        let claim = claimed(nodes[0].handle.claim(key(1)).await);
        assert!(matches!(
            nodes[1].handle.claim(key(1)).await,
            ClaimResponse::InProgress
        ));
        claim.complete(RunOutcome::Ran);
        claim_until(&nodes[1], 1, |response| {
            matches!(response, ClaimResponse::Done(RunOutcome::Ran))
        })
        .await;
    });
}

#[test]
fn released_request_may_be_claimed_again() {
    block_on(async {
        let (platform, ended) = (MemoryPlatform::default(), EndedNodes::default());
        let nodes = [0, 1].map(|number| start(&platform, number, 1, &ended));
        claimed(nodes[0].handle.claim(key(1)).await).release();
        claim_until(&nodes[1], 1, |response| {
            matches!(response, ClaimResponse::Claimed(_))
        })
        .await;
    });
}

#[test]
fn claims_fail_in_an_outage_and_outcomes_are_written_after_it() {
    block_on(async {
        let (platform, ended) = (MemoryPlatform::default(), EndedNodes::default());
        let node = start(&platform, 0, 1, &ended);
        let claim = claimed(node.handle.claim(key(1)).await);
        node.platform.set_faults(|faults| faults.table_down = true);
        assert!(matches!(
            node.handle.claim(key(2)).await,
            ClaimResponse::Unavailable
        ));
        claim.complete(RunOutcome::Ran);
        short_delay().await;
        node.platform.set_faults(|faults| faults.table_down = false);
        claim_until(&node, 1, |response| {
            matches!(response, ClaimResponse::Done(RunOutcome::Ran))
        })
        .await;
    });
}

#[test]
fn outcome_is_unknown_after_the_owner_ended() {
    block_on(async {
        let (platform, ended) = (MemoryPlatform::default(), EndedNodes::default());
        let nodes = [0, 1].map(|number| start(&platform, number, 1, &ended));
        let claim = claimed(nodes[0].handle.claim(key(1)).await);
        nodes[0].stop.send(StopPhase::Ended).unwrap();
        short_delay().await;
        drop(claim);
        assert!(matches!(
            nodes[1].handle.claim(key(1)).await,
            ClaimResponse::InProgress
        ));
        ended.borrow_mut().insert(nodes[0].node.clone());
        let response = nodes[1].handle.claim(key(1)).await;
        assert!(matches!(response, ClaimResponse::Done(RunOutcome::Unknown)));
    });
}

#[test]
fn claim_with_unknown_commit_is_withdrawn() {
    block_on(async {
        let (platform, ended) = (MemoryPlatform::default(), EndedNodes::default());
        let node = start(&platform, 0, 1, &ended);
        node.platform
            .set_faults(|faults| faults.lost_replies = u32::MAX);
        assert!(matches!(
            node.handle.claim(key(1)).await,
            ClaimResponse::Unavailable
        ));
        node.platform.set_faults(|faults| faults.lost_replies = 0);
        claim_until(&node, 1, |response| {
            matches!(response, ClaimResponse::Claimed(_))
        })
        .await;
    });
}

#[test]
fn only_commits_older_than_the_retention_expire() {
    let retention = time::Duration::from_secs(60);
    let start = time::Instant::now();
    let at = |seconds| start + time::Duration::from_secs(seconds);
    let mut ages = CommitAges::new(retention);
    assert_eq!(ages.horizon(start), None);
    ages.record(at(0), 10);
    ages.record(at(30), 20);
    assert_eq!(ages.horizon(at(59)), None);
    assert_eq!(ages.horizon(at(60)), Some(10));
    assert_eq!(ages.horizon(at(89)), Some(10));
    assert_eq!(ages.horizon(at(95)), Some(20));
}

#[derive(Clone, Debug)]
enum Step {
    Claim(usize, u32),
    Release(usize),
    Complete(usize),
    Drop(usize),
    TableDown(usize, bool),
    LoseReplies(usize, u32),
    DelayRequests(usize, u32),
    DeliverRequests,
    Kill(usize),
    Pause,
}

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0..3usize;
    prop_oneof![
        8 => (node.clone(), 0..4u32).prop_map(|(node, key)| Step::Claim(node, key)),
        2 => (0..4usize).prop_map(Step::Release),
        2 => (0..4usize).prop_map(Step::Complete),
        1 => (0..4usize).prop_map(Step::Drop),
        1 => (node.clone(), any::<bool>()).prop_map(|(node, down)| Step::TableDown(node, down)),
        2 => (node.clone(), 0..8u32).prop_map(|(node, count)| Step::LoseReplies(node, count)),
        2 => (node.clone(), 0..8u32).prop_map(|(node, count)| Step::DelayRequests(node, count)),
        1 => Just(Step::DeliverRequests),
        1 => node.prop_map(Step::Kill),
        2 => Just(Step::Pause),
    ]
}

/// Processes, their open claims, and the requests that may have run.
struct ClaimModel {
    platform: MemoryPlatform,
    ended: EndedNodes,
    nodes: Vec<Claimant>,
    claims: Vec<(u32, ClaimGuard)>,
    ran: BTreeSet<u32>,
}

impl ClaimModel {
    async fn apply(&mut self, step: Step) {
        match step {
            Step::Claim(node, number) => match self.nodes[node].handle.claim(key(number)).await {
                ClaimResponse::Claimed(claim) => {
                    assert!(self.ran.insert(number), "request {number} would run twice");
                    self.claims.push((number, claim));
                }
                // A claim whose commit was uncertain when its process ended counts
                // as unknown, even if the request never ran.
                ClaimResponse::Done(RunOutcome::Unknown) => {}
                ClaimResponse::Done(_) => assert!(self.ran.contains(&number)),
                ClaimResponse::InProgress | ClaimResponse::Unavailable => {}
            },
            Step::Release(index) if index < self.claims.len() => {
                let (number, claim) = self.claims.swap_remove(index);
                self.ran.remove(&number);
                claim.release();
            }
            Step::Complete(index) if index < self.claims.len() => {
                self.claims.swap_remove(index).1.complete(RunOutcome::Ran);
            }
            Step::Drop(index) if index < self.claims.len() => drop(self.claims.swap_remove(index)),
            Step::Release(_) | Step::Complete(_) | Step::Drop(_) => {}
            Step::TableDown(node, down) => {
                self.nodes[node]
                    .platform
                    .set_faults(|faults| faults.table_down = down);
            }
            Step::LoseReplies(node, count) => {
                self.nodes[node]
                    .platform
                    .set_faults(|faults| faults.lost_replies = count);
            }
            Step::DelayRequests(node, count) => {
                self.nodes[node]
                    .platform
                    .set_faults(|faults| faults.late_requests = count);
            }
            Step::DeliverRequests => self.platform.deliver_late_requests(),
            Step::Kill(node) => {
                let killed = &self.nodes[node];
                killed.stop.send(StopPhase::Ended).unwrap();
                short_delay().await;
                self.ended.borrow_mut().insert(killed.node.clone());
                let epoch = killed.node.epoch + 1;
                self.nodes[node] = start(&self.platform, node, epoch, &self.ended);
            }
            Step::Pause => short_delay().await,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(505),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_request_is_claimed_twice(steps in prop::collection::vec(any_step(), 1..50)) {
        block_on(async {
            let (platform, ended) = (MemoryPlatform::default(), EndedNodes::default());
            let nodes = (0..3).map(|number| start(&platform, number, 1, &ended)).collect();
            let mut model = ClaimModel {
                platform,
                ended,
                nodes,
                claims: Vec::new(),
                ran: BTreeSet::new(),
            };
            for step in steps {
                model.apply(step).await;
            }
            let rows = model.platform.scan("claim/").await.unwrap().rows.len();
            assert!(rows <= 4);
        });
    }
}
