//! Audit trail during outages of the object store.

use redwing_model::admin::AuditFilter;
use redwing_model::{NodeId, NodeIncarnation};
use redwing_node::audit::{AuditDraft, AuditLog, AuditSettings};
use redwing_standin::MemoryPlatform;

fn open_log(platform: &MemoryPlatform, buffer_entries: usize) -> AuditLog {
    let settings = AuditSettings {
        buffer_entries,
        batch_entries: 3,
        ..AuditSettings::default()
    };
    let node = NodeIncarnation {
        node: NodeId::new("node-1").unwrap(),
        epoch: 1,
    };
    AuditLog::new(node, platform.services().objects, settings)
}

fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

fn record_entries(log: &AuditLog, count: usize) {
    for number in 0..count {
        log.record(AuditDraft::decision(
            "drain",
            format!("vm/{number}"),
            "test",
        ));
    }
}

#[test]
fn entries_survive_an_outage_up_to_the_buffer_size() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let log = open_log(&platform, 10);
        platform.set_faults(|faults| faults.objects_down = true);
        record_entries(&log, 14);
        assert!(log.flush().await.is_err());
        assert_eq!(
            log.pending(),
            11,
            "ten buffered entries and the count of the dropped ones"
        );
        platform.set_faults(|faults| faults.objects_down = false);
        log.flush().await.unwrap();
        assert_eq!((log.pending(), log.dropped()), (0, 0));

        let entries = open_log(&platform, 10)
            .query(&AuditFilter::default())
            .await
            .unwrap();
        assert_eq!(entries.len(), 11);
        let dropped = entries
            .iter()
            .find(|entry| entry.action == "drop-audit-entries");
        assert!(dropped.unwrap().reason.starts_with("4 entries"));
    });
}

#[test]
fn filters_select_entries() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let log = open_log(&platform, 100);
        record_entries(&log, 8);
        log.flush().await.unwrap();
        record_entries(&log, 2);
        let count = async |filter: AuditFilter| log.query(&filter).await.unwrap().len();
        let all = AuditFilter::default;
        assert_eq!(count(all()).await, 10, "unwritten entries count as well");
        let subject = Some("vm/1".to_owned());
        assert_eq!(count(AuditFilter { subject, ..all() }).await, 2);
        let node = Some(NodeId::new("node-2").unwrap());
        assert_eq!(count(AuditFilter { node, ..all() }).await, 0);
        let until_millis = Some(1);
        assert_eq!(
            count(AuditFilter {
                until_millis,
                ..all()
            })
            .await,
            0
        );
        let limit = Some(4);
        assert_eq!(count(AuditFilter { limit, ..all() }).await, 4);
    });
}
