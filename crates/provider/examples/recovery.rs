//! Measures the peak load of eight clients on the table when it recovers from an
//! outage.
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
    CallCause, ClientSettings, CommitOutcome, LocalFuture, Result, RowKey, TableClient,
    TableLimits, TableStore, TableTransaction,
};
use redwing_standin::MemoryPlatform;
use tokio::{task, time as timer};

/// Number of clients, one for each entry VM of a fleet.
const CLIENTS: u64 = 8;

/// Time between two commits that one client requests.
const COMMIT_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Time between two reads that one client requests.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Duration of the measurements before and after the outage.
const PHASE_DURATION: time::Duration = time::Duration::from_secs(5);

/// Time between attempts of the client without limits.
const PLAIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Length of the window over which a peak is counted.
const PEAK_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Times at which calls reached the table.
#[derive(Default)]
struct CallLog {
    commits: Vec<time::Instant>,
    reads: Vec<time::Instant>,
}

/// Table that records when it is called.
struct LoggingTable {
    table: MemoryPlatform,
    log: rc::Rc<cell::RefCell<CallLog>>,
}

impl TableStore for LoggingTable {
    fn limits(&self) -> TableLimits {
        self.table.limits()
    }

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
fn peak_calls(calls: &[time::Instant], from: time::Instant, until: time::Instant) -> usize {
    let first = calls.partition_point(|call| *call < from);
    let last = calls.partition_point(|call| *call < until);
    let calls = &calls[first..last];
    let counted = calls.iter().enumerate().map(|(index, start)| {
        let end = *start + PEAK_WINDOW;
        calls.partition_point(|call| *call < end) - index
    });
    counted.max().unwrap_or(0)
}

/// Starts commits and reads until `end`; each is repeated until it succeeds.
fn spawn_load(table: rc::Rc<dyn TableStore>, client: u64, end: time::Instant) {
    let reader = table.clone();
    task::spawn_local(async move {
        let mut number = 0;
        while time::Instant::now() < end {
            number += 1;
            task::spawn_local(commit_until_done(table.clone(), client, number, end));
            timer::sleep(COMMIT_INTERVAL).await;
        }
    });
    task::spawn_local(async move {
        while time::Instant::now() < end {
            task::spawn_local(read_until_done(reader.clone(), end));
            timer::sleep(READ_INTERVAL).await;
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
        timer::sleep(PLAIN_RETRY_DELAY).await;
    }
}

async fn read_until_done(table: rc::Rc<dyn TableStore>, end: time::Instant) {
    while table.changes("config/", u64::MAX).await.is_err() && time::Instant::now() < end {
        timer::sleep(PLAIN_RETRY_DELAY).await;
    }
}

async fn measure(name: &str, outage: time::Duration, bounded: bool) {
    let platform = MemoryPlatform::default();
    platform.set_faults(|faults| faults.table_delay_millis = 10);
    let log = rc::Rc::new(cell::RefCell::new(CallLog::default()));
    let start = time::Instant::now();
    let down = start + PHASE_DURATION;
    let up = down + outage;
    let end = up + PHASE_DURATION;
    for client in 0..CLIENTS {
        let table: rc::Rc<dyn TableStore> = rc::Rc::new(LoggingTable {
            table: platform.clone(),
            log: log.clone(),
        });
        let table = match bounded {
            true => TableClient::new(table, ClientSettings::default()).store(CallCause::Claim),
            false => table,
        };
        spawn_load(table, client, end);
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
        let commits = peak_calls(&log.commits, from, until);
        let reads = peak_calls(&log.reads, from, until);
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
