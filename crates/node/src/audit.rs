//! Audit trail: who changed what, and what the process decided itself.
//!
//! Entries are buffered and written to the object store in batches, one
//! object a batch, under `audit/DAY/NODE.EPOCH/SEQUENCE`. Objects are never
//! changed. The day leads, so that a query reads only the days it asks for.

use std::cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc;
use std::time;

use redwing_model::NodeIncarnation;
use redwing_model::admin::{AuditEntry, AuditFilter};
use redwing_provider::backoff::{BackoffSettings, RetryBackoff};
use redwing_provider::{Error, ObjectStore, Result};
use tokio::{sync as channel, time as timer};

use crate::event;
use crate::stop::{StopPhase, StopReceiver};

/// Milliseconds of a day.
const DAY_MILLIS: u64 = 24 * 60 * 60 * 1_000;

/// Days that a query without an earliest time looks back.
const DEFAULT_DAYS: u64 = 7;

/// Largest number of days that a query reads.
const MAX_DAYS: u64 = 92;

/// Largest number of entries that a query returns.
pub const MAX_QUERY_ENTRIES: usize = 10_000;

/// Actor of the process's own decisions.
pub const SYSTEM: &str = "system";

/// Bounds of the audit trail.
#[derive(Clone, Debug)]
pub struct AuditSettings {
    /// Largest number of entries that wait to be written.
    pub buffer_entries: usize,
    /// Largest number of entries in an object.
    pub batch_entries: usize,
    /// Time between two writes.
    pub flush_interval: time::Duration,
    /// Longest time that a write may take.
    pub write_timeout: time::Duration,
    /// Longest time to write what waits when the process stops.
    pub stop_timeout: time::Duration,
}

impl Default for AuditSettings {
    fn default() -> Self {
        Self {
            buffer_entries: 20_000,
            batch_entries: 500,
            flush_interval: time::Duration::from_secs(1),
            write_timeout: time::Duration::from_secs(5),
            stop_timeout: time::Duration::from_secs(2),
        }
    }
}

/// What is to be noted in the audit trail.
#[derive(Clone, Debug)]
pub struct AuditDraft {
    /// Operator, or [`SYSTEM`].
    pub actor: String,
    /// What was done.
    pub action: &'static str,
    /// What it was done to.
    pub subject: String,
    /// Version before.
    pub from_version: Option<u64>,
    /// Version after.
    pub to_version: Option<u64>,
    /// How it ended.
    pub result: &'static str,
    /// Why.
    pub reason: String,
}

impl AuditDraft {
    /// Creates a note of a decision of the process itself.
    pub fn decision(
        action: &'static str,
        subject: impl Into<String>,
        reason: impl Into<String>,
    ) -> Self {
        Self {
            actor: SYSTEM.to_owned(),
            action,
            subject: subject.into(),
            from_version: None,
            to_version: None,
            result: "done",
            reason: reason.into(),
        }
    }
}

/// Audit trail of one process, shared by all parts of its control thread.
#[derive(Clone)]
pub struct AuditLog {
    shared: rc::Rc<SharedLog>,
}

struct SharedLog {
    node: NodeIncarnation,
    objects: rc::Rc<dyn ObjectStore>,
    settings: AuditSettings,
    buffer: cell::RefCell<AuditBuffer>,
    recorded: channel::Notify,
}

/// Entries that wait to be written.
#[derive(Debug, Default)]
struct AuditBuffer {
    waiting: VecDeque<AuditEntry>,
    next_sequence: u64,
    dropped: u64,
    /// Entries of the object being written; fixed until it is, since an
    /// object whose write may have succeeded cannot get other content.
    batch: Vec<AuditEntry>,
}

impl AuditLog {
    /// Creates the trail of the process `node`.
    pub fn new(
        node: NodeIncarnation,
        objects: rc::Rc<dyn ObjectStore>,
        settings: AuditSettings,
    ) -> Self {
        let shared = SharedLog {
            node,
            objects,
            settings,
            buffer: cell::RefCell::default(),
            recorded: channel::Notify::new(),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Returns the process whose trail it is.
    pub fn node(&self) -> &NodeIncarnation {
        &self.shared.node
    }

    /// Returns the number of entries that wait to be written.
    pub fn waiting(&self) -> usize {
        let buffer = self.shared.buffer.borrow();
        buffer.waiting.len() + buffer.batch.len()
    }

    /// Returns the number of entries dropped because the buffer was full and
    /// not yet accounted for in the trail.
    pub fn dropped(&self) -> u64 {
        self.shared.buffer.borrow().dropped
    }

    /// Notes something; it is written within the flush interval.
    ///
    /// If the buffer is full, the entry is dropped and counted, and the count
    /// is noted once there is room.
    pub fn record(&self, draft: AuditDraft) {
        let shared = &self.shared;
        let mut buffer = shared.buffer.borrow_mut();
        if buffer.waiting.len() >= shared.settings.buffer_entries {
            if buffer.dropped == 0 {
                log_event!(error, event::AUDIT_DROPPED, "the buffer is full");
            }
            buffer.dropped += 1;
            return;
        }
        buffer.push(&shared.node, draft);
        shared.recorded.notify_one();
    }

    /// Writes everything that waits.
    ///
    /// # Errors
    ///
    /// Fails if the object store does not answer; nothing is lost by it.
    pub async fn flush(&self) -> Result<()> {
        while let Some((name, content)) = self.next_object()? {
            let put = self.shared.objects.put(&name, &content);
            let put = timer::timeout(self.shared.settings.write_timeout, put).await;
            put.unwrap_or_else(|_| Err(Error::unknown("write audit trail", &name, "timed out")))?;
            self.shared.buffer.borrow_mut().batch.clear();
        }
        Ok(())
    }

    /// Returns the entries that match, in the order of their times.
    ///
    /// # Errors
    ///
    /// Fails if the object store does not answer.
    pub async fn query(&self, filter: &AuditFilter) -> Result<Vec<AuditEntry>> {
        let mut found = BTreeMap::new();
        let mut keep = |entry: AuditEntry| {
            if filter.matches(&entry) {
                let order = (entry.at_millis, entry.node.clone(), entry.sequence);
                found.insert(order, entry);
            }
        };
        for day in days_of(filter, now_millis()) {
            for name in self.shared.objects.list(&format!("audit/{day}/")).await? {
                if is_wanted(&name, filter) {
                    self.read_object(&name)
                        .await?
                        .into_iter()
                        .for_each(&mut keep);
                }
            }
        }
        let buffer = self.shared.buffer.borrow();
        let unwritten = buffer.batch.iter().chain(&buffer.waiting);
        unwritten.cloned().for_each(&mut keep);
        let limit = filter
            .limit
            .unwrap_or(MAX_QUERY_ENTRIES)
            .min(MAX_QUERY_ENTRIES);
        let surplus = found.len().saturating_sub(limit);
        Ok(found.into_values().skip(surplus).collect())
    }

    async fn read_object(&self, name: &str) -> Result<Vec<AuditEntry>> {
        let content = self.shared.objects.get(name).await?.unwrap_or_default();
        let lines = content.split(|byte| *byte == b'\n');
        let entries = lines.filter(|line| !line.is_empty()).map(|line| {
            serde_json::from_slice(line)
                .map_err(|error| Error::refused("read audit trail", name, error.to_string()))
        });
        entries.collect()
    }

    /// Returns the name and content of the next object, if anything waits.
    fn next_object(&self) -> Result<Option<(String, Vec<u8>)>> {
        let shared = &self.shared;
        let mut buffer = shared.buffer.borrow_mut();
        buffer.fill_batch(&shared.node, shared.settings.batch_entries);
        let Some(first) = buffer.batch.first() else {
            return Ok(None);
        };
        let day = first.at_millis / DAY_MILLIS;
        let name = format!("audit/{day}/{}/{:012}", shared.node, first.sequence);
        let mut content = Vec::new();
        for entry in &buffer.batch {
            let line = serde_json::to_vec(entry)
                .map_err(|error| Error::refused("write audit trail", &name, error.to_string()))?;
            content.extend_from_slice(&line);
            content.push(b'\n');
        }
        Ok(Some((name, content)))
    }
}

impl AuditBuffer {
    fn push(&mut self, node: &NodeIncarnation, draft: AuditDraft) {
        self.waiting.push_back(AuditEntry {
            at_millis: now_millis(),
            node: node.clone(),
            sequence: self.next_sequence,
            actor: draft.actor,
            action: draft.action.to_owned(),
            subject: draft.subject,
            from_version: draft.from_version,
            to_version: draft.to_version,
            result: draft.result.to_owned(),
            reason: draft.reason,
        });
        self.next_sequence += 1;
    }

    fn fill_batch(&mut self, node: &NodeIncarnation, limit: usize) {
        if !self.batch.is_empty() {
            return;
        }
        let count = limit.min(self.waiting.len());
        self.batch.extend(self.waiting.drain(..count));
        if self.dropped > 0 {
            let reason = format!("{} entries were dropped, the buffer was full", self.dropped);
            self.dropped = 0;
            self.push(
                node,
                AuditDraft::decision("drop-audit-entries", "audit", reason),
            );
        }
    }
}

/// Writes what is noted until the process has stopped, then what is left.
pub async fn run(log: AuditLog, mut stop: StopReceiver) {
    let mut backoff = RetryBackoff::new(BackoffSettings::default());
    let stopped = async move {
        // A closed channel ends the task as well.
        let _ = stop.wait_for(|phase| *phase == StopPhase::Ended).await;
    };
    let writing = async {
        loop {
            log.shared.recorded.notified().await;
            timer::sleep(log.shared.settings.flush_interval).await;
            while let Err(error) = log.flush().await {
                log_event!(warn, event::AUDIT_DELAYED, "{error}");
                timer::sleep(backoff.next_delay(rand::random())).await;
            }
            backoff.reset();
        }
    };
    tokio::select! {
        () = writing => {}
        () = stopped => {}
    }
    let rest = timer::timeout(log.shared.settings.stop_timeout, log.flush()).await;
    if !matches!(rest, Ok(Ok(()))) {
        let waiting = log.waiting();
        log_event!(
            error,
            event::AUDIT_DROPPED,
            "{waiting} entries were left at the stop"
        );
    }
}

/// Returns the time in milliseconds since 1970.
pub fn now_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the days whose objects may hold wanted entries; a batch may start
/// on the day before an entry.
fn days_of(filter: &AuditFilter, now: u64) -> impl Iterator<Item = u64> {
    let last = filter.until_millis.unwrap_or(now + DAY_MILLIS) / DAY_MILLIS;
    let default = last.saturating_sub(DEFAULT_DAYS);
    let first = filter
        .since_millis
        .map_or(default, |since| since / DAY_MILLIS);
    let first = first.saturating_sub(1).max(last.saturating_sub(MAX_DAYS));
    first..=last
}

/// Returns whether an object may hold wanted entries, by its name.
fn is_wanted(name: &str, filter: &AuditFilter) -> bool {
    let Some(node) = &filter.node else {
        return true;
    };
    let writer = name
        .split('/')
        .nth(2)
        .and_then(|writer| writer.rsplit_once('.'));
    writer.is_none_or(|(writer, _)| writer == node.as_str())
}
