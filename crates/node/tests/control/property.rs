//! Configuration under random faults: lost and late messages, outages,
//! partitions, racing operators and restarts.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::KeyHash;
use redwing_model::admin::{ChangeKind, ChangeResponse, ChangeStatus, RefusalCause};
use redwing_node::config::ChangeDraft;
use redwing_node::config::row::{HISTORY_PREFIX, HistoryRecord};
use redwing_provider::TableStore;

use crate::fleet::{TestFleet, apply_draft, draft};

const NODES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Change(usize, ChangeDraft),
    Race(ChangeDraft, ChangeDraft),
    TableDown(usize, bool),
    LoseReplies(usize, u32),
    LoseRequests(usize, u32),
    DelayRequests(usize, u32),
    DeliverRequests,
    Isolate(usize, bool),
    DelayMessages(bool),
    DeliverMessage(usize),
    Poll(usize),
    FetchFromPeers(usize),
    Restart(usize),
}

/// Draws from few ids and contents, so that ids are repeated and reused.
fn any_change() -> impl Strategy<Value = ChangeDraft> {
    let id = 0..8u32;
    prop_oneof![
        3 => (id.clone(), 1..4u32, prop::option::of(0..6u64))
            .prop_map(|(id, limit, base)| apply_draft(&format!("c{id}"), limit, base)),
        2 => (id.clone(), 0..3u32).prop_map(|(id, key)| {
            let kind = ChangeKind::GrantOperator { hash: hash_of(key), name: format!("o{key}") };
            draft(&format!("c{id}"), kind)
        }),
        2 => (id, 0..3u32).prop_map(|(id, key)| {
            draft(&format!("c{id}"), ChangeKind::WithdrawOperator { hash: hash_of(key) })
        }),
    ]
}

fn hash_of(key: u32) -> KeyHash {
    KeyHash::of(&key.to_string())
}

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        6 => (node.clone(), any_change()).prop_map(|(node, change)| Step::Change(node, change)),
        2 => (any_change(), any_change()).prop_map(|(left, right)| Step::Race(left, right)),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, down)| Step::TableDown(node, down)),
        2 => (node.clone(), 0..6u32).prop_map(|(node, count)| Step::LoseReplies(node, count)),
        1 => (node.clone(), 0..3u32).prop_map(|(node, count)| Step::LoseRequests(node, count)),
        2 => (node.clone(), 0..6u32).prop_map(|(node, count)| Step::DelayRequests(node, count)),
        1 => Just(Step::DeliverRequests),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, cut)| Step::Isolate(node, cut)),
        1 => any::<bool>().prop_map(Step::DelayMessages),
        3 => (0..20usize).prop_map(Step::DeliverMessage),
        2 => node.clone().prop_map(Step::Poll),
        2 => node.clone().prop_map(Step::FetchFromPeers),
        1 => node.prop_map(Step::Restart),
    ]
}

/// Responses sent to operators and versions observed at each process.
#[derive(Default)]
struct ResponseLog {
    accepted: BTreeMap<String, u64>,
    refused: BTreeSet<String>,
    highest_accepted: u64,
    versions: [u64; NODES],
}

impl ResponseLog {
    /// Records a response; an accepted version must be in force at a majority.
    fn record(&mut self, fleet: &TestFleet, response: &ChangeResponse) {
        match (response.status, response.cause) {
            (ChangeStatus::Accepted, _) => {
                let version = response.version.unwrap();
                let installed = fleet
                    .nodes
                    .iter()
                    .filter(|node| node.config.version() >= version);
                assert!(installed.count() * 2 > NODES, "accepted without a majority");
                let before = self.accepted.insert(response.change.clone(), version);
                assert!(before.is_none_or(|before| before == version));
                self.highest_accepted = self.highest_accepted.max(version);
            }
            (ChangeStatus::Refused, Some(RefusalCause::IdReused)) => {}
            (ChangeStatus::Refused, _) => {
                self.refused.insert(response.change.clone());
            }
            (ChangeStatus::Pending, _) => {}
        }
    }

    /// Checks that no version decreased and that each process has exactly the
    /// configuration that the history has for its version.
    async fn check(&mut self, fleet: &TestFleet) {
        let history = history(fleet).await;
        let head = history.last().map_or(0, |record| record.entry.version);
        assert!(
            head >= self.highest_accepted,
            "an accepted version is missing"
        );
        for (number, node) in fleet.nodes.iter().enumerate() {
            let view = node.config.view();
            let version = view.head.version;
            assert!(version >= self.versions[number], "a version decreased");
            let restarted = self.versions[number] == 0 && version > 0;
            assert!(
                !restarted || version >= self.highest_accepted,
                "an accepted version is lost"
            );
            self.versions[number] = version;
            let expected = expected(&history, version);
            assert_eq!((&*view.text, &*view.operators), (&*expected.0, &expected.1));
        }
        for (change, version) in &self.accepted {
            let entry = &history[usize::try_from(*version).unwrap() - 1].entry;
            assert_eq!(&entry.change, change);
        }
        let changes: BTreeSet<&String> =
            history.iter().map(|record| &record.entry.change).collect();
        assert_eq!(changes.len(), history.len(), "a change was made twice");
    }
}

type ExpectedConfig = (String, std::collections::HashMap<KeyHash, String>);

/// Returns the declaration and the operators after the first `version` changes.
fn expected(history: &[HistoryRecord], version: u64) -> ExpectedConfig {
    let mut expected = ExpectedConfig::default();
    for record in history.iter().take(usize::try_from(version).unwrap()) {
        match &record.entry.kind {
            ChangeKind::Apply => expected.0 = record.entry.declaration.clone().unwrap(),
            ChangeKind::GrantOperator { hash, name } => {
                expected.1.insert(*hash, name.clone());
            }
            ChangeKind::WithdrawOperator { hash } => {
                expected.1.remove(hash);
            }
            other => panic!("{other:?} was not requested"),
        }
    }
    expected
}

async fn history(fleet: &TestFleet) -> Vec<HistoryRecord> {
    let view = fleet.platform.scan(HISTORY_PREFIX).await.unwrap();
    let parse = |row: redwing_provider::TableRow| serde_json::from_str(&row.value.unwrap());
    view.rows
        .into_iter()
        .map(|row| parse(row).unwrap())
        .collect()
}

async fn apply_step(step: Step, fleet: &mut TestFleet, log: &mut ResponseLog) {
    match step {
        Step::Change(node, change) => {
            let response = fleet.nodes[node].config.change(&change).await;
            log.record(fleet, &response);
        }
        Step::Race(left, right) => {
            let (left, right) = futures_util::future::join(
                fleet.nodes[0].config.change(&left),
                fleet.nodes[1].config.change(&right),
            )
            .await;
            log.record(fleet, &left);
            log.record(fleet, &right);
        }
        Step::TableDown(node, down) => {
            fleet.nodes[node]
                .platform
                .set_faults(|faults| faults.table_down = down);
        }
        Step::LoseReplies(node, count) => {
            fleet.nodes[node]
                .platform
                .set_faults(|faults| faults.lost_replies = count);
        }
        Step::LoseRequests(node, count) => {
            fleet.nodes[node]
                .platform
                .set_faults(|faults| faults.lost_requests = count);
        }
        Step::DelayRequests(node, count) => {
            fleet.nodes[node]
                .platform
                .set_faults(|faults| faults.late_requests = count);
        }
        Step::DeliverRequests => fleet.platform.deliver_late_requests(),
        Step::Isolate(node, isolated) => fleet.network.borrow_mut().isolated[node] = isolated,
        Step::DelayMessages(delays) => fleet.network.borrow_mut().delays_messages = delays,
        Step::DeliverMessage(number) => {
            let delayed = fleet.network.borrow().delayed.get(number).cloned();
            if let Some((node, rows)) = delayed {
                fleet.nodes[node].config.announce(&rows);
            }
        }
        // A failed refresh changes nothing.
        Step::Poll(node) => drop(fleet.nodes[node].config.refresh().await),
        Step::FetchFromPeers(node) => fleet.nodes[node].config.refresh_from_peers().await,
        Step::Restart(node) => {
            fleet.restart(node);
            log.versions[node] = 0;
        }
    }
}

/// Removes all faults and checks that all processes converge on the table.
async fn check_convergence(fleet: &TestFleet, log: &mut ResponseLog) {
    fleet.platform.deliver_late_requests();
    for node in &fleet.nodes {
        node.platform
            .set_faults(|faults| *faults = redwing_standin::FaultPlan::default());
        node.config.refresh().await.unwrap();
    }
    log.check(fleet).await;
    let history = history(fleet).await;
    let head = u64::try_from(history.len()).unwrap();
    assert!(fleet.nodes.iter().all(|node| node.config.version() == head));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(504),
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_changes_persist_and_versions_agree(steps in prop::collection::vec(any_step(), 1..40)) {
        actix_rt::System::new().block_on(async {
            let mut fleet = TestFleet::new(NODES);
            let mut log = ResponseLog::default();
            for step in steps {
                apply_step(step, &mut fleet, &mut log).await;
                log.check(&fleet).await;
            }
            check_convergence(&fleet, &mut log).await;
        });
    }

    /// Rows from the table or a peer with arbitrary content are rejected or
    /// increase the version.
    #[test]
    fn arbitrary_rows_never_lower_the_version_in_force(
        rows in prop::collection::vec(
            (
                prop_oneof![
                    "config/(head|declaration)",
                    "config/(key|operator)/[0-9a-f]{0,64}",
                    "[ -~]{0,20}",
                ],
                0..5u64,
                prop::option::of(prop_oneof![
                    ".{0,40}",
                    r#"\{"version":[0-9]{1,20},"change":"c","operator":"o","at-millis":1,"rows":[0-9]\}"#,
                ]),
            ),
            0..6,
        ),
    ) {
        use redwing_provider::{RowKey, TableRow, table::TableView};
        use redwing_node::config::{ConfigState, InstallOutcome};

        let rows: Vec<TableRow> = rows
            .into_iter()
            .map(|(key, version, value)| TableRow { key: RowKey::new(key), version, value })
            .collect();
        let mut state = ConfigState::default();
        let mut version = 0;
        let view = TableView { rows: rows.clone(), cursor: 5, table_ms: None };
        for outcome in [
            state.install_change(&rows),
            state.install_changes(&view, 0),
            state.install_scan(&view),
            state.install_snapshot(&redwing_node::peer::ConfigSnapshot { version: 1, rows }),
        ] {
            if let InstallOutcome::Installed(installed) = outcome {
                prop_assert!(installed > version);
                version = installed;
            }
        }
        prop_assert_eq!(state.version(), version);
    }
}
