//! Tests of the table client against the stand-in platform with injected faults.

use std::rc;
use std::time;

use futures_util::future;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_provider::backoff::BackoffSettings;
use redwing_provider::{
    CallCause, Category, ClientSettings, CommitOutcome, ReadProgress, RowKey, TableClient,
    TableStore, TableTransaction,
};
use redwing_standin::{LinkSettings, LinkedTable, MemoryPlatform};
use tokio::time as timer;

const CAUSE: CallCause = CallCause::Configuration;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn fast_settings() -> ClientSettings {
    let delay = time::Duration::from_micros(100);
    let mut settings = ClientSettings {
        commit_interval: delay,
        read_interval: delay,
        resolve_timeout: time::Duration::ZERO,
        backoff: BackoffSettings {
            initial_delay: delay,
            max_delay: delay,
        },
        ..ClientSettings::default()
    };
    settings.breaker.failure_threshold = u32::MAX;
    settings
}

/// Runs a test whose time passes only while all tasks wait, however long the machine takes
/// for their work.
fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(async {
        timer::pause();
        future.await
    })
}

fn client_for(platform: &MemoryPlatform, settings: ClientSettings) -> TableClient {
    TableClient::new(rc::Rc::new(platform.clone()), settings)
}

fn key(text: &str) -> RowKey {
    RowKey::new(text)
}

/// Transaction that creates the row `name` with content that no other
/// transaction writes.
fn creation(name: &str, content: &str) -> TableTransaction {
    TableTransaction::default()
        .require_absent(key(name))
        .put(key(name), content)
}

#[test]
fn waiting_transactions_are_committed_as_one() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let client = client_for(&platform, ClientSettings::default());
        let names: Vec<String> = (0..20).map(|number| format!("row/{number}")).collect();
        let commits = names
            .iter()
            .map(|name| client.commit(CAUSE, creation(name, "1")));
        for outcome in future::join_all(commits).await {
            assert_eq!(outcome.unwrap(), CommitOutcome::Committed(1));
        }
        let sent: u64 = client.counts().iter().map(|count| count.commits).sum();
        assert_eq!(sent, 1);
    });
}

#[test]
fn conflict_of_one_transaction_leaves_the_rest_of_its_batch() {
    block_on(async {
        let platform = MemoryPlatform::default();
        platform
            .commit(&creation("row/3", "earlier"))
            .await
            .unwrap();
        let client = client_for(&platform, fast_settings());
        let names: Vec<String> = (0..6).map(|number| format!("row/{number}")).collect();
        let commits = names
            .iter()
            .map(|name| client.commit(CAUSE, creation(name, "1")));
        for (number, outcome) in future::join_all(commits).await.into_iter().enumerate() {
            match outcome.unwrap() {
                CommitOutcome::Committed(_) => assert_ne!(number, 3),
                CommitOutcome::Conflict(rows) => {
                    assert_eq!(number, 3);
                    assert_eq!(rows[0].value.as_deref(), Some("earlier"));
                }
            }
        }
    });
}

#[test]
fn open_breaker_rejects_calls_without_sending_them() {
    block_on(async {
        let platform = MemoryPlatform::default();
        platform.set_faults(|faults| faults.table_down = true);
        let mut settings = fast_settings();
        settings.breaker.failure_threshold = 3;
        settings.breaker.min_open = time::Duration::from_secs(3_600);
        let client = client_for(&platform, settings);
        for _ in 0..50 {
            assert!(client.scan(CAUSE, "a").await.is_err());
        }
        let reads: u64 = client.counts().iter().map(|count| count.reads).sum();
        assert_eq!(reads, 3);
        assert!(!client.is_reachable());
    });
}

#[test]
fn probe_closes_the_breaker_after_the_table_recovers() {
    block_on(async {
        let platform = MemoryPlatform::default();
        platform.set_faults(|faults| faults.table_down = true);
        let mut settings = fast_settings();
        settings.breaker.failure_threshold = 1;
        settings.breaker.min_open = time::Duration::from_millis(1);
        settings.breaker.backoff = settings.backoff.clone();
        let client = client_for(&platform, settings);
        assert!(client.scan(CAUSE, "a").await.is_err());
        platform.set_faults(|faults| faults.table_down = false);
        while client.scan(CAUSE, "a").await.is_err() {}
        assert!(client.is_reachable());
    });
}

#[test]
fn timeout_leaves_the_outcome_of_a_commit_unknown() {
    block_on(async {
        let platform = MemoryPlatform::default();
        platform.set_faults(|faults| faults.table_delay_millis = 10_000);
        let settings = ClientSettings {
            call_timeout: time::Duration::from_millis(20),
            ..fast_settings()
        };
        let client = client_for(&platform, settings);
        let error = client.commit(CAUSE, creation("a", "1")).await.unwrap_err();
        assert_eq!(error.classify(), Category::Unknown);
        let error = client.scan(CAUSE, "a").await.unwrap_err();
        assert_eq!(error.classify(), Category::Unavailable);
    });
}

#[test]
fn batches_stay_within_the_limits_of_the_table() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let client = client_for(&platform, fast_settings());
        let names: Vec<String> = (0..60).map(|number| format!("row/{number}")).collect();
        let large = "x".repeat(30_000);
        let commits = names
            .iter()
            .map(|name| client.commit(CAUSE, creation(name, &large)));
        for outcome in future::join_all(commits).await {
            assert!(
                matches!(outcome, Ok(CommitOutcome::Committed(_))),
                "{outcome:?}"
            );
        }
        let sent: u64 = client.counts().iter().map(|count| count.commits).sum();
        assert!((2..=4).contains(&sent), "{sent} commits");
    });
}

#[test]
fn transaction_beyond_the_limits_is_refused_with_its_sizes() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let client = client_for(&platform, fast_settings());
        let change = creation("row/1", &"x".repeat(65_537));
        let error = client.commit(CAUSE, change).await.unwrap_err();
        assert_eq!(error.classify(), Category::Refused);
        let text = error.to_string();
        assert!(
            text.contains("2 entries") && text.contains("65537 bytes"),
            "{text}"
        );
        assert!(client.counts().iter().all(|count| count.commits == 0));
    });
}

/// The table refuses what is within the known limits, because its own are lower.
#[test]
fn refusal_of_a_batch_is_one_of_the_transaction_that_the_table_refuses() {
    struct StricterTable(MemoryPlatform);
    impl TableStore for StricterTable {
        fn commit<'a>(
            &'a self,
            transaction: &'a TableTransaction,
        ) -> redwing_provider::LocalFuture<'a, redwing_provider::Result<CommitOutcome>> {
            let mut writes = transaction.writes().iter();
            if writes.any(|write| write.key == key("row/3")) {
                let error = redwing_provider::Error::refused("commit", "fake", "no right");
                return Box::pin(async { Err(error) });
            }
            self.0.commit(transaction)
        }
        fn scan<'a>(
            &'a self,
            prefix: &'a str,
        ) -> redwing_provider::LocalFuture<
            'a,
            redwing_provider::Result<redwing_provider::table::TableView>,
        > {
            self.0.scan(prefix)
        }
        fn changes<'a>(
            &'a self,
            prefix: &'a str,
            cursor: u64,
        ) -> redwing_provider::LocalFuture<
            'a,
            redwing_provider::Result<redwing_provider::table::TableView>,
        > {
            self.0.changes(prefix, cursor)
        }
    }
    block_on(async {
        let table = rc::Rc::new(StricterTable(MemoryPlatform::default()));
        let client = TableClient::new(table, fast_settings());
        let names: Vec<String> = (0..10).map(|number| format!("row/{number}")).collect();
        let commits = names
            .iter()
            .map(|name| client.commit(CAUSE, creation(name, "1")));
        let outcomes = future::join_all(commits).await;
        for (number, outcome) in outcomes.iter().enumerate() {
            assert_eq!(outcome.is_err(), number == 3, "{outcome:?}");
        }
    });
}

#[test]
fn commit_that_is_not_sent_in_time_is_without_effect() {
    block_on(async {
        let platform = MemoryPlatform::default();
        platform.set_faults(|faults| faults.table_delay_millis = 100);
        let settings = ClientSettings {
            max_commits_in_flight: 1,
            batch_limit: 1,
            ..fast_settings()
        };
        let client = client_for(&platform, settings);
        let limit = time::Duration::from_millis(20);
        let (first, second) = future::join(
            client.commit_within(CAUSE, creation("row/1", "1"), limit),
            client.commit_within(CAUSE, creation("row/2", "1"), limit),
        )
        .await;
        assert_eq!(first.unwrap_err().classify(), Category::Unknown);
        assert_eq!(second.unwrap_err().classify(), Category::Unavailable);
        platform.set_faults(|faults| faults.table_delay_millis = 0);
        let last = client.commit(CAUSE, creation("row/3", "1")).await;
        assert!(matches!(last, Ok(CommitOutcome::Committed(_))));
        let rows = platform.scan("row/").await.unwrap().rows;
        let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        assert_eq!(keys, ["row/1", "row/3"]);
    });
}

/// The table returns while a probe has no response: the next call does not wait for
/// the end of that probe.
#[test]
fn probe_without_a_response_does_not_delay_the_next_for_long() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let mut settings = fast_settings();
        settings.call_timeout = time::Duration::from_secs(30);
        settings.probe_interval = time::Duration::from_millis(20);
        settings.breaker.failure_threshold = 1;
        settings.breaker.min_open = time::Duration::from_millis(1);
        settings.breaker.backoff = settings.backoff.clone();
        let client = client_for(&platform, settings);
        platform.set_faults(|faults| faults.table_down = true);
        assert!(client.scan(CAUSE, "row/").await.is_err());
        platform.set_faults(|faults| {
            faults.table_down = false;
            faults.table_delay_millis = 60_000;
        });
        let pause = time::Duration::from_millis(50);
        timer::sleep(pause).await;
        let probe = timer::timeout(pause, client.scan(CAUSE, "row/"));
        assert!(probe.await.is_err(), "the table is silent");
        platform.set_faults(|faults| faults.table_delay_millis = 0);
        let commit = client.commit(CAUSE, creation("row/1", "1")).await;
        assert!(
            matches!(commit, Ok(CommitOutcome::Committed(_))),
            "{commit:?}"
        );
    });
}

/// Settings of a client that soon notices that the table is silent, but waits long for a
/// response to each call.
fn patient_settings() -> ClientSettings {
    let mut settings = fast_settings();
    settings.call_timeout = time::Duration::from_secs(30);
    settings.scan_timeout = time::Duration::from_millis(20);
    settings
}

/// Makes the table silent, sends `hung`, and ends the silence once the client has noticed
/// it; returns the response after another call got one.
async fn return_during<T>(
    platform: &MemoryPlatform,
    client: &TableClient,
    hung: impl Future<Output = T>,
) -> T {
    platform.set_faults(|faults| faults.table_silent = true);
    let returned = async {
        assert!(client.scan(CAUSE, "other/").await.is_err());
        platform.set_faults(|faults| faults.table_silent = false);
        let row = creation("row/1", "1");
        platform.commit(&row).await.expect("the table is up");
        assert!(client.scan(CAUSE, "other/").await.is_ok());
    };
    let both = future::join(hung, returned);
    let limit = time::Duration::from_secs(5);
    let (response, ()) = timer::timeout(limit, both)
        .await
        .expect("the call ends soon after the return of the table");
    response
}

/// A watch was sent while the table was silent: it is sent again once another call got a
/// response, and does not wait for the end of its own time limit.
#[test]
fn a_watch_from_before_the_return_of_the_table_is_sent_again() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let client = client_for(&platform, patient_settings());
        let watch = client.watch(CAUSE, "row/", 0, time::Duration::from_secs(1));
        let view = return_during(&platform, &client, watch).await;
        assert_eq!(view.expect("the table is up").rows.len(), 1);
    });
}

/// No other call shows that the table has returned: a read without a response is sent again
/// at the interval of probes while the table fails.
#[test]
fn a_read_notices_the_return_of_the_table_by_itself() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let mut settings = patient_settings();
        settings.probe_interval = time::Duration::from_millis(20);
        let client = client_for(&platform, settings);
        platform.set_faults(|faults| faults.table_silent = true);
        assert!(client.scan(CAUSE, "other/").await.is_err());
        let watch = client.watch(CAUSE, "row/", 0, time::Duration::from_secs(1));
        let returned = async {
            timer::sleep(time::Duration::from_millis(200)).await;
            platform.set_faults(|faults| faults.table_silent = false);
        };
        let limit = time::Duration::from_secs(5);
        let both = timer::timeout(limit, future::join(watch, returned)).await;
        let (view, ()) = both.expect("the watch ends soon after the return of the table");
        assert!(view.is_ok(), "{view:?}");
    });
}

/// The same for a commit, whose outcome is then unknown.
#[test]
fn a_commit_from_before_the_return_of_the_table_ends() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let client = client_for(&platform, patient_settings());
        let commit = client.commit(CAUSE, creation("row/2", "1"));
        let outcome = return_during(&platform, &client, commit).await;
        assert_eq!(outcome.unwrap_err().classify(), Category::Unknown);
    });
}

/// Calls that the table never answered time out after it has returned: they say nothing
/// of the table as it is now.
#[test]
fn timeouts_of_earlier_calls_do_not_open_the_breaker() {
    block_on(async {
        let platform = MemoryPlatform::default();
        platform.set_faults(|faults| faults.table_delay_millis = 60_000);
        let mut settings = fast_settings();
        settings.batch_limit = 1;
        settings.call_timeout = time::Duration::from_millis(500);
        settings.breaker.failure_threshold = 3;
        settings.breaker.min_open = time::Duration::from_secs(60);
        let client = client_for(&platform, settings);
        let names: Vec<String> = (0..4).map(|number| format!("row/{number}")).collect();
        let hung = names
            .iter()
            .map(|name| client.commit(CAUSE, creation(name, "1")));
        let returned = async {
            timer::sleep(time::Duration::from_millis(100)).await;
            platform.set_faults(|faults| faults.table_delay_millis = 0);
            client.scan(CAUSE, "row/").await
        };
        let (hung, returned) = future::join(future::join_all(hung), returned).await;
        assert!(hung.iter().all(Result::is_err));
        assert!(returned.is_ok());
        let scan = client.scan(CAUSE, "row/").await;
        assert!(scan.is_ok(), "{scan:?}");
    });
}

#[test]
fn full_queue_rejects_commits_without_effect() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let settings = ClientSettings {
            queue_capacity: 2,
            ..fast_settings()
        };
        let client = client_for(&platform, settings);
        let names: Vec<String> = (0..5).map(|number| format!("row/{number}")).collect();
        let commits = names
            .iter()
            .map(|name| client.commit(CAUSE, creation(name, "1")));
        let outcomes = future::join_all(commits).await;
        let rejected = outcomes.iter().filter_map(|outcome| outcome.as_ref().err());
        assert!(
            rejected
                .clone()
                .all(|error| error.classify() == Category::Unavailable)
        );
        let rejected = rejected.count();
        let rows = platform.scan("row/").await.unwrap().rows.len();
        assert_eq!((rejected, rows), (3, 2));
    });
}

#[test]
fn refusal_after_an_unknown_outcome_stays_unknown() {
    struct RefusingTable(std::cell::Cell<u32>);
    impl TableStore for RefusingTable {
        fn commit<'a>(
            &'a self,
            _: &'a TableTransaction,
        ) -> redwing_provider::LocalFuture<'a, redwing_provider::Result<CommitOutcome>> {
            self.0.set(self.0.get() + 1);
            let first = self.0.get() == 1;
            Box::pin(async move {
                Err(match first {
                    true => redwing_provider::Error::unknown("commit", "fake", "cut"),
                    false => redwing_provider::Error::refused("commit", "fake", "no right"),
                })
            })
        }
        fn scan<'a>(
            &'a self,
            _: &'a str,
        ) -> redwing_provider::LocalFuture<
            'a,
            redwing_provider::Result<redwing_provider::table::TableView>,
        > {
            Box::pin(async { Ok(Default::default()) })
        }
        fn changes<'a>(
            &'a self,
            prefix: &'a str,
            _: u64,
        ) -> redwing_provider::LocalFuture<
            'a,
            redwing_provider::Result<redwing_provider::table::TableView>,
        > {
            self.scan(prefix)
        }
    }
    block_on(async {
        let table = rc::Rc::new(RefusingTable(std::cell::Cell::new(0)));
        let client = TableClient::new(table, fast_settings());
        let outcome = client
            .commit_resolved(CAUSE, &creation("a", "1"), &key("a"))
            .await;
        assert_eq!(outcome.unwrap_err().classify(), Category::Unknown);
    });
}

proptest! {
    #![proptest_config(config(501))]

    /// Clients create the same rows while requests and responses are lost: a
    /// commit is reported only to the client that created the row, and a conflict
    /// only to the others.
    #[test]
    fn resolved_commits_report_the_true_outcome(
        steps in prop::collection::vec((0usize..3, 0u32..4, 0u32..3, 0u32..3), 1..40),
    ) {
        block_on(async {
            let platform = MemoryPlatform::default();
            let clients: Vec<TableClient> =
                (0..3).map(|_| client_for(&platform, fast_settings())).collect();
            for (number, (writer, row, lost_replies, lost_requests)) in steps.iter().enumerate() {
                platform.set_faults(|faults| {
                    faults.lost_replies = *lost_replies;
                    faults.lost_requests = *lost_requests;
                });
                let name = format!("row/{row}");
                let content = format!("{writer}-{number}");
                let existed = !platform.scan(&name).await.unwrap().rows.is_empty();
                let change = creation(&name, &content);
                let outcome = clients[*writer].commit_resolved(CAUSE, &change, &key(&name)).await;
                let rows = platform.scan(&name).await.unwrap().rows;
                let created = rows.first().and_then(|row| row.value.clone()) == Some(content);
                match outcome {
                    Ok(CommitOutcome::Committed(version)) => {
                        assert!(created && !existed);
                        assert_eq!(rows[0].version, version);
                    }
                    Ok(CommitOutcome::Conflict(_)) => assert!(!created && existed),
                    Err(error) => assert_eq!(error.classify(), Category::Unknown),
                }
            }
        });
    }

    /// A batch has the same result as its transactions committed one by one.
    #[test]
    fn batches_have_the_same_result_as_single_commits(
        rows in prop::collection::vec((0u32..12, any::<bool>()), 1..30),
    ) {
        block_on(async {
            let batched = MemoryPlatform::default();
            let single = MemoryPlatform::default();
            for platform in [&batched, &single] {
                platform.commit(&creation("row/1", "earlier")).await.unwrap();
                platform.commit(&creation("row/2", "earlier")).await.unwrap();
            }
            let changes: Vec<TableTransaction> = rows
                .iter()
                .enumerate()
                .map(|(number, (row, creates))| {
                    let name = format!("row/{row}");
                    match creates {
                        true => creation(&name, &number.to_string()),
                        false => TableTransaction::default()
                            .require_version(key(&name), 1)
                            .put(key(&name), number.to_string()),
                    }
                })
                .collect();
            let client = client_for(&batched, fast_settings());
            let commits = changes.iter().map(|change| client.commit(CAUSE, change.clone()));
            let outcomes = future::join_all(commits).await;
            for (change, outcome) in changes.iter().zip(outcomes) {
                let expected = single.commit(change).await.unwrap();
                let same = matches!(
                    (&expected, &outcome.unwrap()),
                    (CommitOutcome::Committed(_), CommitOutcome::Committed(_))
                        | (CommitOutcome::Conflict(_), CommitOutcome::Conflict(_))
                );
                assert!(same);
            }
            let values = |view: redwing_provider::table::TableView| -> Vec<_> {
                view.rows.into_iter().map(|row| (row.key, row.value)).collect()
            };
            let left = values(batched.scan("").await.unwrap());
            assert_eq!(left, values(single.scan("").await.unwrap()));
        });
    }
}

/// Settings under which a scan without progress soon ends.
fn impatient_settings() -> ClientSettings {
    ClientSettings {
        call_timeout: time::Duration::from_millis(250),
        scan_timeout: time::Duration::from_millis(250),
        scan_hedge_delay: Some(time::Duration::from_millis(60)),
        ..fast_settings()
    }
}

/// Client of a table with rows of 1 MB in several pages, over a link.
async fn linked_client(link: &LinkSettings) -> TableClient {
    let platform = MemoryPlatform::default();
    for number in 0..1_000 {
        let row =
            TableTransaction::default().put(key(&format!("a/{number:04}")), "x".repeat(1_000));
        platform.commit(&row).await.expect("the table is up");
    }
    let table = LinkedTable::new(rc::Rc::new(platform), link.clone());
    TableClient::new(rc::Rc::new(table), impatient_settings())
}

/// A scan that was repeated while its rows arrived took up the link for itself.
#[test]
fn a_scan_over_a_slow_link_receives_each_row_once() {
    block_on(async {
        let link = LinkSettings::default();
        link.bytes_per_second.set(Some(1_000_000));
        let client = linked_client(&link).await;
        let progress = ReadProgress::default();
        let view = client.scan_observed(CAUSE, "a/", &progress).await;
        assert_eq!(view.expect("the rows arrive").rows.len(), 1_000);
        assert!(progress.bytes() < 1_100_000, "{} bytes", progress.bytes());
    });
}

/// A watch that ends before its rows have arrived reads the same rows again.
#[test]
fn a_watch_over_a_slow_link_receives_all_changes() {
    block_on(async {
        let link = LinkSettings::default();
        link.bytes_per_second.set(Some(1_000_000));
        let client = linked_client(&link).await;
        let wait = time::Duration::from_millis(100);
        let view = client.watch(CAUSE, "a/", 0, wait).await;
        assert_eq!(view.expect("the rows arrive").rows.len(), 1_000);
    });
}

#[test]
fn a_page_without_a_response_is_requested_again() {
    block_on(async {
        let link = LinkSettings::default();
        link.silent_pages.set(2);
        let client = linked_client(&link).await;
        let view = client.scan(CAUSE, "a/").await.expect("the rows arrive");
        assert_eq!(view.rows.len(), 1_000);
    });
}

#[test]
fn a_scan_ends_once_nothing_arrives_any_more() {
    block_on(async {
        let link = LinkSettings::default();
        link.silent_pages.set(u32::MAX);
        let client = linked_client(&link).await;
        let started = timer::Instant::now();
        let error = client.scan(CAUSE, "a/").await.expect_err("nothing arrives");
        assert_eq!(error.classify(), Category::Unavailable);
        assert!(started.elapsed() >= impatient_settings().scan_timeout);
    });
}
