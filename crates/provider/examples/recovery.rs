//! Peak load on the table when it returns after an outage, with eight clients.
//!
//! ```text
//! cargo run --release -p redwing-provider --example recovery -- [OUTAGE SECONDS]
//! ```

use std::cell;
use std::env;
use std::rc;
use std::time;

use redwing_provider::table::TableView;
use redwing_provider::{
    CallCause, ClientSettings, CommitOutcome, LocalFuture, Result, RowKey, TableClient, TableStore,
    TableTransaction,
};
use redwing_standin::MemoryPlatform;
use tokio::{task, time as timer};

/// Entry VMs of one fleet.
const CLIENTS: u64 = 8;

/// Time between two commits that one client asks for.
const COMMIT_GAP: time::Duration = time::Duration::from_millis(10);

/// Time between two reads that one client asks for.
const READ_GAP: time::Duration = time::Duration::from_millis(25);

/// Time measured before the outage and after it.
const PHASE: time::Duration = time::Duration::from_secs(5);

/// Time between attempts of the plain client.
const PLAIN_RETRY: time::Duration = time::Duration::from_millis(500);

/// Window over which a peak is counted.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// When calls reached the table.
#[derive(Default)]
struct CallLog {
    commits: Vec<time::Instant>,
    reads: Vec<time::Instant>,
}

/// Table that notes when it is called.
struct LoggingTable {
    table: MemoryPlatform,
    log: rc::Rc<cell::RefCell<CallLog>>,
}

impl TableStore for LoggingTable {
    fn commit<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalFuture<'a, Result<CommitOutcome>> {
        self.log.borrow_mut().commits.push(time::Instant::now());
        self.table.commit(transaction)
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<TableView>> {
        self.log.borrow_mut().reads.push(time::Instant::now());
        self.table.scan(prefix)
    }

    fn changes<'a>(&'a self, prefix: &'a str, cursor: u64) -> LocalFuture<'a, Result<TableView>> {
        self.log.borrow_mut().reads.push(time::Instant::now());
        self.table.changes(prefix, cursor)
    }
}

/// Returns the largest number of calls in any window that starts within the phase.
fn peak(calls: &[time::Instant], from: time::Instant, until: time::Instant) -> usize {
    let first = calls.partition_point(|call| *call < from);
    let last = calls.partition_point(|call| *call < until);
    let calls = &calls[first..last];
    let counted = calls.iter().enumerate().map(|(index, start)| {
        let end = *start + WINDOW;
        calls.partition_point(|call| *call < end) - index
    });
    counted.max().unwrap_or(0)
}

/// Asks for commits and reads until the end, each until it succeeds.
fn load(table: rc::Rc<dyn TableStore>, client: u64, end: time::Instant) {
    let reader = table.clone();
    task::spawn_local(async move {
        let mut number = 0;
        while time::Instant::now() < end {
            number += 1;
            task::spawn_local(commit_until_done(table.clone(), client, number, end));
            timer::sleep(COMMIT_GAP).await;
        }
    });
    task::spawn_local(async move {
        while time::Instant::now() < end {
            task::spawn_local(read_until_done(reader.clone(), end));
            timer::sleep(READ_GAP).await;
        }
    });
}

async fn commit_until_done(
    table: rc::Rc<dyn TableStore>,
    client: u64,
    number: u64,
    end: time::Instant,
) {
    let change = TableTransaction::default().put(RowKey::new(format!("{client}/{number}")), "1");
    while table.commit(&change).await.is_err() && time::Instant::now() < end {
        timer::sleep(PLAIN_RETRY).await;
    }
}

async fn read_until_done(table: rc::Rc<dyn TableStore>, end: time::Instant) {
    while table.changes("config/", u64::MAX).await.is_err() && time::Instant::now() < end {
        timer::sleep(PLAIN_RETRY).await;
    }
}

async fn measure(name: &str, outage: time::Duration, bounded: bool) {
    let platform = MemoryPlatform::default();
    platform.set_faults(|faults| faults.table_delay_millis = 10);
    let log = rc::Rc::new(cell::RefCell::new(CallLog::default()));
    let start = time::Instant::now();
    let down = start + PHASE;
    let up = down + outage;
    let end = up + PHASE;
    for client in 0..CLIENTS {
        let table: rc::Rc<dyn TableStore> = rc::Rc::new(LoggingTable {
            table: platform.clone(),
            log: log.clone(),
        });
        let table = match bounded {
            true => TableClient::new(table, ClientSettings::default()).store(CallCause::Claim),
            false => table,
        };
        load(table, client, end);
    }
    timer::sleep_until(down.into()).await;
    platform.set_faults(|faults| faults.table_down = true);
    timer::sleep_until(up.into()).await;
    platform.set_faults(|faults| faults.table_down = false);
    timer::sleep_until(end.into()).await;
    let log = log.borrow();
    for (phase, from, until) in [
        ("before", start, down),
        ("outage", down, up),
        ("after", up, end),
    ] {
        let commits = peak(&log.commits, from, until);
        let reads = peak(&log.reads, from, until);
        println!("{name}: {phase}: peak {commits} commits/s, {reads} reads/s");
    }
}

fn main() {
    let seconds = env::args().nth(1).and_then(|text| text.parse().ok());
    let outage = time::Duration::from_secs(seconds.unwrap_or(10));
    actix_rt::System::new().block_on(async {
        measure("plain client", outage, false).await;
        measure("table client", outage, true).await;
    });
}
