//! Configuration of several processes over the stand-in platform.

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
        fleet.links.borrow_mut().cut[2] = true;
        let reply = fleet.nodes[0].apply("c1", 5, None).await;
        assert_eq!(
            (reply.status, reply.version),
            (ChangeStatus::Accepted, Some(1))
        );
        assert_eq!(fleet.nodes[1].limit(), Some(5));
        assert_eq!(fleet.nodes[2].limit(), None);
        fleet.nodes[2].desk.refresh().await.unwrap();
        assert_eq!(fleet.nodes[2].limit(), Some(5));
    });
}

#[test]
fn change_without_a_majority_is_pending_until_repeated() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.links.borrow_mut().cut[0] = true;
        let reply = fleet.nodes[0].apply("c1", 5, None).await;
        assert_eq!(
            (reply.status, reply.version),
            (ChangeStatus::Pending, Some(1))
        );
        fleet.links.borrow_mut().cut[0] = false;
        fleet.nodes[1].desk.refresh().await.unwrap();
        let reply = fleet.nodes[2].apply("c1", 5, None).await;
        assert_eq!(
            (reply.status, reply.version),
            (ChangeStatus::Accepted, Some(1))
        );
        assert_eq!(fleet.nodes[2].desk.version(), 1);
    });
}

#[test]
fn later_of_two_racing_operators_sees_both_sides() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        let first = apply_draft("c2", 6, Some(1));
        let second = apply_draft("c3", 7, Some(1));
        let (first, second) = futures_util::future::join(
            fleet.nodes[0].desk.change(&first),
            fleet.nodes[1].desk.change(&second),
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
fn reply_lost_after_the_write_is_resolved() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0]
            .platform
            .set_faults(|faults| faults.lost_replies = 2);
        let reply = fleet.nodes[0].apply("c1", 5, None).await;
        assert_eq!(
            (reply.status, reply.version),
            (ChangeStatus::Accepted, Some(1))
        );
        let again = fleet.nodes[1].apply("c1", 5, None).await;
        assert_eq!(
            (again.status, again.version),
            (ChangeStatus::Accepted, Some(1))
        );
        assert_eq!(fleet.nodes[1].desk.version(), 1);
    });
}

#[test]
fn reply_lost_for_good_is_pending_and_a_repeat_tells() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0]
            .platform
            .set_faults(|faults| faults.lost_replies = u32::MAX);
        let reply = fleet.nodes[0].apply("c1", 5, None).await;
        // Conflicts are lost as well, so that nothing can be proven.
        assert_eq!((reply.status, reply.version), (ChangeStatus::Pending, None));
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
        let reply = fleet.nodes[0].apply("c1", 6, None).await;
        assert_eq!(reply.cause, Some(RefusalCause::IdReused));
        assert_eq!(fleet.nodes[0].limit(), Some(5));
    });
}

#[test]
fn faulty_declaration_changes_nothing() {
    block_on(async {
        let fleet = TestFleet::new(1);
        fleet.nodes[0].apply("c1", 5, None).await;
        let mut change = apply_draft("c2", 0, None);
        let text = declaration(0).replace("max-unavailable = 1", "max-unavailable = 9");
        change.declaration = Some(text);
        let reply = fleet.nodes[0].desk.change(&change).await;
        assert_eq!(reply.cause, Some(RefusalCause::Invalid));
        let places: Vec<_> = reply
            .errors
            .iter()
            .map(|fault| (fault.line, &*fault.field))
            .collect();
        let expected = [
            (Some(3), "pools.a.max-unavailable"),
            (Some(7), "teams.sales.limit"),
        ];
        assert_eq!(places, expected);
        assert_eq!(fleet.nodes[0].desk.version(), 1);
    });
}

#[test]
fn withdrawn_key_dies_at_a_process_that_the_table_cannot_reach() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        let key = AccessKey::generate();
        let granted = fleet.nodes[0].desk.change(&grant_draft("c2", &key)).await;
        assert_eq!(granted.status, ChangeStatus::Accepted);
        assert!(fleet.nodes[2].desk.view().keys.contains_key(&key.hash()));

        fleet.nodes[2]
            .platform
            .set_faults(|faults| faults.table_down = true);
        let withdrawal = draft("c3", ChangeKind::WithdrawKey { hash: key.hash() });
        let reply = fleet.nodes[0].desk.change(&withdrawal).await;
        assert_eq!(reply.status, ChangeStatus::Accepted);
        fleet.platform.set_faults(|faults| faults.table_down = true);
        for node in &fleet.nodes {
            assert!(!node.desk.view().keys.contains_key(&key.hash()));
        }
    });
}

#[test]
fn process_that_reaches_nobody_stops_keyed_work() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        let desk = &fleet.nodes[2].desk;
        desk.refresh().await.unwrap();
        assert!(desk.snapshot().accepts_keyed);
        fleet.links.borrow_mut().cut[2] = true;
        fleet.nodes[2]
            .platform
            .set_faults(|faults| faults.table_down = true);
        assert!(desk.refresh().await.is_err());
        actix_rt::time::sleep(time::Duration::from_millis(520)).await;
        // Traffic threads see it before the control thread has decided.
        assert!(desk.snapshot().accepts_keyed);
        assert!(!desk.snapshot().accepts_keyed_at(time::Instant::now()));
        desk.check_trust();
        assert!(!desk.snapshot().accepts_keyed);

        // Peers alone suffice, as long as none is known to be ahead.
        fleet.links.borrow_mut().cut[2] = false;
        desk.check_trust();
        assert!(desk.snapshot().accepts_keyed);
        fleet.links.borrow_mut().delays = true;
        fleet.nodes[0].apply("c2", 6, None).await;
        actix_rt::time::sleep(time::Duration::from_millis(520)).await;
        desk.check_trust();
        assert!(!desk.snapshot().accepts_keyed);
        desk.refresh_from_peers().await;
        desk.check_trust();
        assert!(desk.snapshot().accepts_keyed);
        assert_eq!(fleet.nodes[2].limit(), Some(6));
    });
}

#[test]
fn restart_in_an_outage_takes_the_highest_of_a_majority() {
    block_on(async {
        let mut fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        fleet.links.borrow_mut().cut[1] = true;
        let reply = fleet.nodes[0].apply("c2", 6, None).await;
        assert_eq!(reply.status, ChangeStatus::Accepted);
        for node in &fleet.nodes {
            node.platform.set_faults(|faults| faults.table_down = true);
        }
        fleet.restart(2);
        // One peer is not a majority of three members.
        fleet.nodes[2].desk.refresh_from_peers().await;
        assert_eq!(fleet.nodes[2].desk.version(), 0);
        fleet.links.borrow_mut().cut[1] = false;
        fleet.nodes[2].desk.refresh_from_peers().await;
        assert_eq!(fleet.nodes[2].limit(), Some(6));
    });
}

#[test]
fn rollback_makes_a_new_version_and_spares_keys() {
    block_on(async {
        let fleet = TestFleet::new(1);
        let node = &fleet.nodes[0];
        node.apply("c1", 5, None).await;
        let key = AccessKey::generate();
        node.desk.change(&grant_draft("c2", &key)).await;
        let withdrawal = draft("c3", ChangeKind::WithdrawKey { hash: key.hash() });
        node.desk.change(&withdrawal).await;
        node.apply("c4", 6, None).await;
        let text = node.desk.declaration_at(2).await.unwrap();
        assert_eq!(text, Some(declaration(5)));
        let mut rollback = draft("c5", ChangeKind::Rollback { to_version: 2 });
        rollback.declaration = text;
        let reply = node.desk.change(&rollback).await;
        assert_eq!(
            (reply.status, reply.version),
            (ChangeStatus::Accepted, Some(5))
        );
        assert_eq!(node.limit(), Some(5));
        assert!(node.desk.view().keys.is_empty());
        let history = node.desk.history(3).await.unwrap();
        let versions: Vec<u64> = history.iter().map(|entry| entry.version).collect();
        assert_eq!(versions, [5, 4, 3]);
    });
}

#[test]
fn history_crosses_blocks() {
    block_on(async {
        let fleet = TestFleet::new(1);
        for number in 0..103 {
            let reply = fleet.nodes[0]
                .apply(&format!("c{number}"), 1 + number, None)
                .await;
            assert_eq!(reply.status, ChangeStatus::Accepted);
        }
        let history = fleet.nodes[0].desk.history(1_000).await.unwrap();
        let versions: Vec<u64> = history.iter().map(|entry| entry.version).collect();
        assert!(versions.into_iter().eq((1..=103).rev()));
    });
}

#[test]
fn unreachable_table_refuses_or_leaves_open() {
    block_on(async {
        let fleet = TestFleet::new(1);
        fleet.nodes[0]
            .platform
            .set_faults(|faults| faults.table_down = true);
        // An operator's own id may have been used before the outage.
        let reply = fleet.nodes[0].apply("c1", 5, None).await;
        assert_eq!(reply.status, ChangeStatus::Pending);
        let mut change = apply_draft("c1", 5, None);
        change.id_chosen = false;
        let reply = fleet.nodes[0].desk.change(&change).await;
        assert_eq!(reply.cause, Some(RefusalCause::Unavailable));
    });
}

#[test]
fn audit_trail_tells_who_changed_what_and_no_secret() {
    block_on(async {
        let fleet = TestFleet::new(1);
        let node = &fleet.nodes[0];
        node.apply("c1", 5, None).await;
        let key = AccessKey::generate();
        node.desk.change(&grant_draft("c2", &key)).await;
        node.apply("c3", 0, None).await;
        node.desk.audit().flush().await.unwrap();
        let entries = node
            .desk
            .audit()
            .query(&AuditFilter::default())
            .await
            .unwrap();
        let told: Vec<_> = entries
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
        assert_eq!(told, expected);
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

/// Regression: of two heads in one message, the lower must not be installed.
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

/// A change that a current process makes costs one call of the table, so that
/// a table that takes 2 s a call stays within the time that a change may take.
#[test]
fn withdrawal_at_a_current_process_takes_one_call() {
    block_on(async {
        let fleet = TestFleet::new(1);
        let node = &fleet.nodes[0];
        node.apply("c1", 5, None).await;
        let key = AccessKey::generate();
        node.desk.change(&grant_draft("c2", &key)).await;
        let before = node.calls();
        let withdrawal = draft("c3", ChangeKind::WithdrawKey { hash: key.hash() });
        let reply = node.desk.change(&withdrawal).await;
        assert_eq!(reply.status, ChangeStatus::Accepted);
        assert_eq!(node.calls() - before, 1);
    });
}

/// A process that lags behind reads the table before it refuses.
#[test]
fn lagging_process_does_not_refuse_what_it_has_not_heard_of() {
    block_on(async {
        let fleet = TestFleet::new(3);
        fleet.nodes[0].apply("c1", 5, None).await;
        fleet.links.borrow_mut().cut[2] = true;
        let key = AccessKey::generate();
        fleet.nodes[0].desk.change(&grant_draft("c2", &key)).await;
        fleet.links.borrow_mut().cut[2] = false;
        let withdrawal = draft("c3", ChangeKind::WithdrawKey { hash: key.hash() });
        let reply = fleet.nodes[2].desk.change(&withdrawal).await;
        assert_eq!(
            (reply.status, reply.version),
            (ChangeStatus::Accepted, Some(3))
        );
        let again = fleet.nodes[2].desk.change(&withdrawal).await;
        assert_eq!(
            (again.status, again.version),
            (ChangeStatus::Accepted, Some(3))
        );
    });
}
