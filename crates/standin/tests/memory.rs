//! Tests of the stand-in platform, in memory and over HTTP.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net;
use std::time;

use redwing_model::vm::VmIdentity;
use redwing_model::{DataCentre, RackName, VmId};
use redwing_provider::{
    Category, CommitOutcome, ListedStatus, ListedVm, PlatformServices, RowKey, TableTransaction,
    VmRole,
};
use redwing_standin::server::{self, ControlCall};
use redwing_standin::{FaultPlan, HttpPlatform, MemoryPlatform};
use rstest::rstest;

fn key(text: &str) -> RowKey {
    RowKey::new(text)
}

fn listed_vm(name: &str) -> ListedVm {
    ListedVm {
        identity: VmIdentity {
            vm: VmId::new(name).unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            rack: RackName::new("rack-1").unwrap(),
            data_centre: DataCentre::new("dc-1").unwrap(),
        },
        role: VmRole::BackendServer,
        status: ListedStatus::Live,
    }
}

/// Runs `test` with the platform in memory, or over HTTP on the loopback
/// interface.
fn with_services<F: Future<Output = ()>>(
    http: bool,
    test: impl FnOnce(PlatformServices, MemoryPlatform) -> F,
) {
    actix_rt::System::new().block_on(async {
        let platform = MemoryPlatform::default();
        if !http {
            return test(platform.services(), platform).await;
        }
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let server = server::serve(listener, platform.clone()).unwrap();
        let handle = server.handle();
        actix_rt::spawn(server);
        let client = HttpPlatform::new(&url, "node-1");
        test(client.services(), platform).await;
        handle.stop(false).await;
    });
}

#[rstest]
fn commit_checks_conditions_and_changes_include_deletions(#[values(false, true)] http: bool) {
    with_services(http, |services, _| async move {
        let table = services.table;
        let create = TableTransaction::default()
            .require_absent(key("a/1"))
            .put(key("a/1"), "one")
            .put(key("b/1"), "other");
        assert_eq!(
            table.commit(&create).await.unwrap(),
            CommitOutcome::Committed(1)
        );
        let CommitOutcome::Conflict(rows) = table.commit(&create).await.unwrap() else {
            panic!("the row exists");
        };
        assert_eq!((rows.len(), rows[0].version), (1, 1));

        let delete = TableTransaction::default()
            .require_version(key("a/1"), 1)
            .delete(key("a/1"));
        assert_eq!(
            table.commit(&delete).await.unwrap(),
            CommitOutcome::Committed(2)
        );
        assert!(table.scan("a/").await.unwrap().rows.is_empty());
        let changes = table.changes("a/", 1).await.unwrap();
        assert_eq!(changes.cursor, 2);
        assert_eq!(changes.rows[0].value, None);
        assert!(table.changes("a/", 2).await.unwrap().rows.is_empty());
    });
}

#[rstest]
fn commit_with_a_lost_reply_takes_effect_and_is_unknown(#[values(false, true)] http: bool) {
    with_services(http, |services, platform| async move {
        platform.set_faults(|faults| faults.lost_replies = 1);
        let change = TableTransaction::default().put(key("a"), "1");
        let error = services.table.commit(&change).await.unwrap_err();
        assert_eq!(error.classify(), Category::Unknown);
        assert_eq!(services.table.scan("a").await.unwrap().rows.len(), 1);
    });
}

/// Entries and bytes at and beyond the limits of the table.
#[rstest]
#[case::conditions_and_writes(50, 50, 1, true)]
#[case::one_entry_too_many(50, 51, 1, false)]
#[case::largest_row(1, 1, 65_536, true)]
#[case::row_too_large(1, 1, 65_537, false)]
#[case::values_in_base64(0, 11, 65_536, true)]
#[case::too_many_bytes(0, 12, 65_536, false)]
fn commit_refuses_what_is_beyond_the_limits(
    #[values(false, true)] http: bool,
    #[case] conditions: usize,
    #[case] puts: usize,
    #[case] value_bytes: usize,
    #[case] is_allowed: bool,
) {
    with_services(http, |services, _| async move {
        let mut change = TableTransaction::default();
        for number in 0..conditions {
            change = change.require_absent(key(&format!("a/{number}")));
        }
        for number in 0..puts {
            let value = "x".repeat(value_bytes);
            change = change.put(key(&format!("b/{number}")), value);
        }
        let outcome = services.table.commit(&change).await;
        let category = outcome
            .as_ref()
            .err()
            .map(redwing_provider::Error::classify);
        assert_eq!(category, (!is_allowed).then_some(Category::Refused));
        let rows = services.table.scan("b/").await.unwrap().rows;
        assert_eq!(rows.len(), if is_allowed { puts } else { 0 });
    });
}

#[test]
fn commit_refuses_long_keys() {
    with_services(false, |services, _| async move {
        for (length, is_allowed) in [(200, true), (201, false)] {
            let name = "n".repeat(length);
            let change = TableTransaction::default().put(key(&format!("t@1/{name}")), "1");
            assert_eq!(services.table.commit(&change).await.is_ok(), is_allowed);
        }
    });
}

#[rstest]
fn objects_are_written_once(#[values(false, true)] http: bool) {
    with_services(http, |services, _| async move {
        services.objects.put("x/1", b"content").await.unwrap();
        services.objects.put("x/1", b"content").await.unwrap();
        let error = services.objects.put("x/1", b"other").await.unwrap_err();
        assert_eq!(error.classify(), Category::Refused);
        let content = services.objects.get("x/1").await.unwrap();
        assert_eq!(content.as_deref(), Some(&b"content"[..]));
        assert_eq!(services.objects.list("x/").await.unwrap(), ["x/1"]);
    });
}

#[rstest]
fn reboot_is_idempotent_and_vm_list_lags(#[values(false, true)] http: bool) {
    with_services(http, |services, platform| async move {
        let vm = VmId::new("vm-1").unwrap();
        platform.put_vm(listed_vm("vm-1"));
        assert!(services.directory.list().await.unwrap().is_empty());
        platform.skip_list_lag();
        assert_eq!(services.directory.list().await.unwrap().len(), 1);

        services.control.reboot(&vm, "roll-1").await.unwrap();
        platform.advance(time::Duration::from_millis(1_500));
        assert!(!platform.is_up(&vm));
        assert_eq!(services.directory.list().await.unwrap().len(), 1);
        platform.advance(time::Duration::from_secs(2));
        assert!(services.directory.list().await.unwrap().is_empty());

        services.control.reboot(&vm, "roll-1").await.unwrap();
        platform.advance(time::Duration::from_secs(5));
        assert!(platform.is_up(&vm));
        platform.skip_list_lag();
        let listed = services.directory.list().await.unwrap();
        assert_eq!(listed[0].status, ListedStatus::Live);
        assert_eq!(platform.operation_count(), 1);
    });
}

#[test]
fn client_faults_do_not_affect_other_clients() {
    actix_rt::System::new().block_on(async {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let server = server::serve(listener, MemoryPlatform::default()).unwrap();
        let handle = server.handle();
        actix_rt::spawn(server);
        let cut_off = HttpPlatform::new(&url, "node-1");
        let plan = FaultPlan {
            table_down: true,
            ..FaultPlan::default()
        };
        let call = ControlCall::ClientFaults("node-1".to_owned(), plan);
        cut_off.control(&call).await.unwrap();
        let error = cut_off.services().table.scan("a").await.unwrap_err();
        assert_eq!(error.classify(), Category::Unavailable);
        let other = HttpPlatform::new(&url, "node-2");
        other.services().table.scan("a").await.unwrap();
        handle.stop(false).await;
    });
}

#[test]
fn unreachable_platform_is_unavailable() {
    actix_rt::System::new().block_on(async {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        drop(listener);
        let client = HttpPlatform::new(&url, "node-1");
        let change = TableTransaction::default().put(key("a"), "1");
        let error = client.services().table.commit(&change).await.unwrap_err();
        assert_eq!(error.classify(), Category::Unavailable);
    });
}

/// Regression: a peer that closes the connection after the request may have
/// executed it.
#[test]
fn connection_closed_after_the_request_is_unknown() {
    actix_rt::System::new().block_on(async {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut bytes = [0; 4_096];
            std::io::Read::read(&mut stream, &mut bytes).unwrap();
        });
        let client = HttpPlatform::new(&url, "node-1");
        let change = TableTransaction::default().put(key("a"), "1");
        let error = client.services().table.commit(&change).await.unwrap_err();
        assert_eq!(error.classify(), Category::Unknown);
        peer.join().unwrap();
    });
}
