//! Configuration changes by several processes over the stand-in platform.

use std::time;

use crate::fleet::{TestFleet, apply_draft, declaration, draft, grant_draft};
use redwing_model::AccessKey;
use redwing_model::admin::{AuditFilter, ChangeKind, ChangeStatus, RefusalCause};

fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

#[test]
fn accepted_change_is_in_force_at_a_majority() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.network.borrow_mut().isolated[2] = true;
        let response = fleet.nodes[0].apply("c1", 5, None).await;
        assert_eq!(
            (response.status, response.version),
            (ChangeStatus::Accepted, Some(1))
        );
        assert_eq!(fleet.nodes[1].limit(), Some(5));
        assert_eq!(fleet.nodes[2].limit(), None);
        fleet.nodes[2].config.refresh().await.unwrap();
        assert_eq!(fleet.nodes[2].limit(), Some(5));
    });
}

#[test]
fn change_without_a_majority_is_pending_until_repeated() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.network.borrow_mut().isolated[0] = true;
        let response = fleet.nodes[0].apply("c1", 5, None).await;
        assert_eq!(
            (response.status, response.version),
            (ChangeStatus::Pending, Some(1))
        );
        fleet.network.borrow_mut().isolated[0] = false;
        fleet.nodes[1].config.refresh().await.unwrap();
        let response = fleet.nodes[2].apply("c1", 5, None).await;
        assert_eq!(
            (response.status, response.version),
            (ChangeStatus::Accepted, Some(1))
        );
        assert_eq!(fleet.nodes[2].config.version(), 1);
    });
}

#[test]
fn later_of_two_concurrent_changes_gets_the_differences_of_both() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        let first = apply_draft("c2", 6, Some(1));
        let second = apply_draft("c3", 7, Some(1));
        let (first, second) = futures_util::future::join(
            fleet.nodes[0].config.change(&first),
            fleet.nodes[1].config.change(&second),
        )
        .await;
        let (winner, loser) = match first.status {
            ChangeStatus::Accepted => (first, second),
            _ => (second, first),
        };
        assert_eq!(
            (winner.status, winner.version),
            (ChangeStatus::Accepted, Some(2))
        );
        assert_eq!(loser.status, ChangeStatus::Refused);
        assert_eq!(loser.cause, Some(RefusalCause::Conflict));
        let conflict = loser.conflict.unwrap();
        assert_eq!((conflict.base_version, conflict.head_version), (1, 2));
        assert_eq!(conflict.changed_since_base[0].field, "teams.sales.limit");
        assert_eq!(conflict.changed_since_base[0].before.as_deref(), Some("5"));
        assert_eq!(conflict.proposed[0].field, "teams.sales.limit");
    });
}

#[test]
fn response_lost_after_the_write_is_resolved() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0]
            .platform
            .set_faults(|faults| faults.lost_replies = 2);
        let response = fleet.nodes[0].apply("c1", 5, None).await;
        assert_eq!(
            (response.status, response.version),
            (ChangeStatus::Accepted, Some(1))
        );
        let again = fleet.nodes[1].apply("c1", 5, None).await;
        assert_eq!(
            (again.status, again.version),
            (ChangeStatus::Accepted, Some(1))
        );
        assert_eq!(fleet.nodes[1].config.version(), 1);
    });
}

#[test]
fn change_without_any_response_is_pending_until_repeated() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0]
            .platform
            .set_faults(|faults| faults.lost_replies = u32::MAX);
        let response = fleet.nodes[0].apply("c1", 5, None).await;
        // Responses with conflicts are lost too, so the outcome stays unknown.
        assert_eq!(
            (response.status, response.version),
            (ChangeStatus::Pending, None)
        );
        fleet.nodes[0]
            .platform
            .set_faults(|faults| faults.lost_replies = 0);
        let again = fleet.nodes[0].apply("c1", 5, None).await;
        assert_eq!(
            (again.status, again.version),
            (ChangeStatus::Accepted, Some(1))
        );
    });
}

#[test]
fn id_of_another_change_is_refused() {
    block_on(async {
        let fleet = TestFleet::new(1);
        fleet.nodes[0].apply("c1", 5, None).await;
        let response = fleet.nodes[0].apply("c1", 6, None).await;
        assert_eq!(response.cause, Some(RefusalCause::IdReused));
        assert_eq!(fleet.nodes[0].limit(), Some(5));
    });
}

#[test]
fn invalid_declaration_changes_nothing() {
    block_on(async {
        let fleet = TestFleet::new(1);
        fleet.nodes[0].apply("c1", 5, None).await;
        let mut change = apply_draft("c2", 0, None);
        let text = declaration(0).replace("max-unavailable = 1", "max-unavailable = 9");
        change.declaration = Some(text);
        let response = fleet.nodes[0].config.change(&change).await;
        assert_eq!(response.cause, Some(RefusalCause::Invalid));
        let positions: Vec<_> = response
            .errors
            .iter()
            .map(|error| (error.line, &*error.field))
            .collect();
        let expected = [
            (Some(3), "pools.a.max-unavailable"),
            (Some(7), "teams.sales.limit"),
        ];
        assert_eq!(positions, expected);
        assert_eq!(fleet.nodes[0].config.version(), 1);
    });
}

#[test]
fn withdrawn_key_is_removed_at_a_process_without_the_table() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        let key = AccessKey::generate();
        let granted = fleet.nodes[0].config.change(&grant_draft("c2", &key)).await;
        assert_eq!(granted.status, ChangeStatus::Accepted);
        assert!(fleet.nodes[2].config.view().keys.contains_key(&key.hash()));

        fleet.nodes[2]
            .platform
            .set_faults(|faults| faults.table_down = true);
        let withdrawal = draft("c3", ChangeKind::WithdrawKey { hash: key.hash() });
        let response = fleet.nodes[0].config.change(&withdrawal).await;
        assert_eq!(response.status, ChangeStatus::Accepted);
        fleet.platform.set_faults(|faults| faults.table_down = true);
        for node in &fleet.nodes {
            assert!(!node.config.view().keys.contains_key(&key.hash()));
        }
    });
}

#[test]
fn process_without_table_and_peers_rejects_keyed_requests() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        let config = &fleet.nodes[2].config;
        config.refresh().await.unwrap();
        assert!(config.snapshot().accepts_keyed);
        fleet.network.borrow_mut().isolated[2] = true;
        fleet.nodes[2]
            .platform
            .set_faults(|faults| faults.table_down = true);
        assert!(config.refresh().await.is_err());
        actix_rt::time::sleep(time::Duration::from_millis(520)).await;
        // Traffic threads reject keyed requests at the deadline, before the
        // control thread has published the change.
        assert!(config.snapshot().accepts_keyed);
        assert!(!config.snapshot().accepts_keyed_at(time::Instant::now()));
        config.check_freshness();
        assert!(!config.snapshot().accepts_keyed);

        // Contact with a majority suffices unless a peer has a higher version.
        fleet.network.borrow_mut().isolated[2] = false;
        config.check_freshness();
        assert!(config.snapshot().accepts_keyed);
        fleet.network.borrow_mut().delays_messages = true;
        fleet.nodes[0].apply("c2", 6, None).await;
        actix_rt::time::sleep(time::Duration::from_millis(520)).await;
        config.check_freshness();
        assert!(!config.snapshot().accepts_keyed);
        config.refresh_from_peers().await;
        config.check_freshness();
        assert!(config.snapshot().accepts_keyed);
        assert_eq!(fleet.nodes[2].limit(), Some(6));
    });
}

#[test]
fn restart_in_an_outage_installs_the_highest_version_of_a_majority() {
    block_on(async {
        let mut fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        fleet.network.borrow_mut().isolated[1] = true;
        let response = fleet.nodes[0].apply("c2", 6, None).await;
        assert_eq!(response.status, ChangeStatus::Accepted);
        for node in &fleet.nodes {
            node.platform.set_faults(|faults| faults.table_down = true);
        }
        fleet.restart(2);
        // One peer is not a majority of three members.
        fleet.nodes[2].config.refresh_from_peers().await;
        assert_eq!(fleet.nodes[2].config.version(), 0);
        fleet.network.borrow_mut().isolated[1] = false;
        fleet.nodes[2].config.refresh_from_peers().await;
        assert_eq!(fleet.nodes[2].limit(), Some(6));
    });
}

#[test]
fn rollback_creates_a_version_and_keeps_keys_unchanged() {
    block_on(async {
        let fleet = TestFleet::new(1);
        let node = &fleet.nodes[0];
        node.apply("c1", 5, None).await;
        let key = AccessKey::generate();
        node.config.change(&grant_draft("c2", &key)).await;
        let withdrawal = draft("c3", ChangeKind::WithdrawKey { hash: key.hash() });
        node.config.change(&withdrawal).await;
        node.apply("c4", 6, None).await;
        let text = node.config.declaration_at(2).await.unwrap();
        assert_eq!(text, Some(declaration(5)));
        let mut rollback = draft("c5", ChangeKind::Rollback { to_version: 2 });
        rollback.declaration = text;
        let response = node.config.change(&rollback).await;
        assert_eq!(
            (response.status, response.version),
            (ChangeStatus::Accepted, Some(5))
        );
        assert_eq!(node.limit(), Some(5));
        assert!(node.config.view().keys.is_empty());
        let history = node.config.history(3).await.unwrap();
        let versions: Vec<u64> = history.iter().map(|entry| entry.version).collect();
        assert_eq!(versions, [5, 4, 3]);
    });
}

#[test]
fn history_crosses_blocks() {
    block_on(async {
        let fleet = TestFleet::new(1);
        for number in 0..103 {
            let response = fleet.nodes[0]
                .apply(&format!("c{number}"), 1 + number, None)
                .await;
            assert_eq!(response.status, ChangeStatus::Accepted);
        }
        let history = fleet.nodes[0].config.history(1_000).await.unwrap();
        let versions: Vec<u64> = history.iter().map(|entry| entry.version).collect();
        assert!(versions.into_iter().eq((1..=103).rev()));
    });
}

#[test]
fn change_without_the_table_is_refused_or_pending() {
    block_on(async {
        let fleet = TestFleet::new(1);
        fleet.nodes[0]
            .platform
            .set_faults(|faults| faults.table_down = true);
        // An operator's own id may have been used before the outage.
        let response = fleet.nodes[0].apply("c1", 5, None).await;
        assert_eq!(response.status, ChangeStatus::Pending);
        let mut change = apply_draft("c1", 5, None);
        change.id_chosen = false;
        let response = fleet.nodes[0].config.change(&change).await;
        assert_eq!(response.cause, Some(RefusalCause::Unavailable));
    });
}

#[test]
fn audit_trail_records_changes_without_secrets() {
    block_on(async {
        let fleet = TestFleet::new(1);
        let node = &fleet.nodes[0];
        node.apply("c1", 5, None).await;
        let key = AccessKey::generate();
        node.config.change(&grant_draft("c2", &key)).await;
        node.apply("c3", 0, None).await;
        node.config.audit().flush().await.unwrap();
        let entries = node
            .config
            .audit()
            .query(&AuditFilter::default())
            .await
            .unwrap();
        let recorded: Vec<_> = entries
            .iter()
            .map(|entry| {
                (
                    &*entry.action,
                    entry.from_version,
                    entry.to_version,
                    &*entry.result,
                )
            })
            .collect();
        let expected = [
            ("apply", Some(0), Some(1), "accepted"),
            ("grant-key", Some(1), Some(2), "accepted"),
            ("apply", Some(2), None, "refused"),
        ];
        assert_eq!(recorded, expected);
        for name in node.platform.services().objects.list("").await.unwrap() {
            let content = node
                .platform
                .services()
                .objects
                .get(&name)
                .await
                .unwrap()
                .unwrap();
            assert!(!String::from_utf8(content).unwrap().contains(key.expose()));
        }
        for row in node.platform.services().table.scan("").await.unwrap().rows {
            assert!(!row.value.unwrap().contains(key.expose()));
        }
    });
}

/// Regression test: of two head rows in one message, the lower must not be
/// installed.
#[test]
fn rows_with_two_heads_are_refused() {
    use redwing_node::config::{ConfigState, InstallOutcome};
    use redwing_provider::{RowKey, TableRow};

    let head = |version: u64| TableRow {
        key: RowKey::new("config/head"),
        version: 1,
        value: Some(format!(
            r#"{{"version":{version},"change":"c","operator":"o","at-millis":1,"rows":2}}"#
        )),
    };
    let mut state = ConfigState::default();
    let outcome = state.install_change(&[head(1), head(0)]);
    assert!(matches!(outcome, InstallOutcome::Malformed(_)));
    assert_eq!(state.version(), 0);
}

/// A change by an up-to-date process takes one table call, so that it meets
/// its time limit even with a table that takes 2 s per call.
#[test]
fn withdrawal_at_a_current_process_takes_one_call() {
    block_on(async {
        let fleet = TestFleet::new(1);
        let node = &fleet.nodes[0];
        node.apply("c1", 5, None).await;
        let key = AccessKey::generate();
        node.config.change(&grant_draft("c2", &key)).await;
        let before = node.calls();
        let withdrawal = draft("c3", ChangeKind::WithdrawKey { hash: key.hash() });
        let response = node.config.change(&withdrawal).await;
        assert_eq!(response.status, ChangeStatus::Accepted);
        assert_eq!(node.calls() - before, 1);
    });
}

/// An outdated process refreshes from the table before it refuses a change.
#[test]
fn outdated_process_reads_the_table_before_it_refuses() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        fleet.network.borrow_mut().isolated[2] = true;
        let key = AccessKey::generate();
        fleet.nodes[0].config.change(&grant_draft("c2", &key)).await;
        fleet.network.borrow_mut().isolated[2] = false;
        let withdrawal = draft("c3", ChangeKind::WithdrawKey { hash: key.hash() });
        let response = fleet.nodes[2].config.change(&withdrawal).await;
        assert_eq!(
            (response.status, response.version),
            (ChangeStatus::Accepted, Some(3))
        );
        let again = fleet.nodes[2].config.change(&withdrawal).await;
        assert_eq!(
            (again.status, again.version),
            (ChangeStatus::Accepted, Some(3))
        );
    });
}
