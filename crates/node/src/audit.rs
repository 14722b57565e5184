//! Audit trail of operators' changes and of the process's own decisions.
//!
//! Entries are buffered and written to the object store in batches, one
//! object per batch, under `audit/DAY/NODE.EPOCH/SEQUENCE`. Objects are never
//! modified. The name starts with the day, so that a query lists only the days
//! that it covers.

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

/// Milliseconds per day.
const MILLIS_PER_DAY: u64 = 24 * 60 * 60 * 1_000;

/// Days covered by a query without an earliest time.
const DEFAULT_QUERY_DAYS: u64 = 7;

/// Largest number of days that a query covers.
const MAX_QUERY_DAYS: u64 = 92;

/// Largest number of entries that a query returns.
pub const MAX_QUERY_ENTRIES: usize = 10_000;

/// Actor in entries of the process's own decisions.
pub const SYSTEM_ACTOR: &str = "system";

/// Buffer limits and timing of the audit trail.
#[derive(Clone, Debug)]
pub struct AuditSettings {
    /// Largest number of pending entries.
    pub buffer_entries: usize,
    /// Largest number of entries per object.
    pub batch_entries: usize,
    /// Delay before new entries are written, so that they share an object.
    pub flush_interval: time::Duration,
    /// Timeout of a write.
    pub write_timeout: time::Duration,
    /// Timeout for writing the pending entries when the process stops.
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

/// Content of a new audit entry.
#[derive(Clone, Debug)]
pub struct AuditDraft {
    /// Operator, or [`SYSTEM_ACTOR`].
    pub actor: String,
    /// Action.
    pub action: &'static str,
    /// Object of the action.
    pub subject: String,
    /// Configuration version before the action, if it changes the configuration.
    pub from_version: Option<u64>,
    /// Configuration version after the action, if it changes the configuration.
    pub to_version: Option<u64>,
    /// Result of the action.
    pub result: &'static str,
    /// Reason or details.
    pub reason: String,
}

impl AuditDraft {
    /// Creates an entry for a decision of the process itself.
    pub fn decision(
        action: &'static str,
        subject: impl Into<String>,
        reason: impl Into<String>,
    ) -> Self {
        Self {
            actor: SYSTEM_ACTOR.to_owned(),
            action,
            subject: subject.into(),
            from_version: None,
            to_version: None,
            result: "done",
            reason: reason.into(),
        }
    }
}

/// Audit trail of one process, shared by the tasks of its control thread.
#[derive(Clone)]
pub struct AuditLog {
    shared: rc::Rc<SharedTrail>,
}

struct SharedTrail {
    node: NodeIncarnation,
    objects: rc::Rc<dyn ObjectStore>,
    settings: AuditSettings,
    buffer: cell::RefCell<AuditBuffer>,
    entry_added: channel::Notify,
}

/// Entries that are not written yet.
#[derive(Debug, Default)]
struct AuditBuffer {
    pending: VecDeque<AuditEntry>,
    next_sequence: u64,
    dropped: u64,
    /// Entries of the object being written. Fixed until the write is confirmed,
    /// since an object whose write may have succeeded must not get other content.
    batch: Vec<AuditEntry>,
}

impl AuditLog {
    /// Creates the audit trail of the process `node`.
    pub fn new(
        node: NodeIncarnation,
        objects: rc::Rc<dyn ObjectStore>,
        settings: AuditSettings,
    ) -> Self {
        let shared = SharedTrail {
            node,
            objects,
            settings,
            buffer: cell::RefCell::default(),
            entry_added: channel::Notify::new(),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Returns the process that the trail belongs to.
    pub fn node(&self) -> &NodeIncarnation {
        &self.shared.node
    }

    /// Returns the number of entries that are not written yet.
    pub fn pending(&self) -> usize {
        let buffer = self.shared.buffer.borrow();
        buffer.pending.len() + buffer.batch.len()
    }

    /// Returns the number of entries that were dropped because the buffer was full
    /// and that no entry of the trail reports yet.
    pub fn dropped(&self) -> u64 {
        self.shared.buffer.borrow().dropped
    }

    /// Adds an entry; it is written after the flush interval.
    ///
    /// If the buffer is full, the entry is dropped and counted. The count is
    /// recorded as an entry when the next batch is taken from the buffer.
    pub fn record(&self, draft: AuditDraft) {
        let shared = &self.shared;
        let mut buffer = shared.buffer.borrow_mut();
        if buffer.pending.len() >= shared.settings.buffer_entries {
            if buffer.dropped == 0 {
                log_event!(
                    error,
                    event::AUDIT_DROPPED,
                    "the buffer is full; new entries are dropped"
                );
            }
            buffer.dropped += 1;
            return;
        }
        buffer.push(&shared.node, draft);
        shared.entry_added.notify_one();
    }

    /// Writes all pending entries.
    ///
    /// # Errors
    ///
    /// Fails if the object store does not respond; the entries stay pending.
    pub async fn flush(&self) -> Result<()> {
        while let Some((name, content)) = self.next_object()? {
            let put = self.shared.objects.put(&name, &content);
            let put = timer::timeout(self.shared.settings.write_timeout, put).await;
            put.unwrap_or_else(|_| Err(Error::unknown("write audit trail", &name, "timed out")))?;
            self.shared.buffer.borrow_mut().batch.clear();
        }
        Ok(())
    }

    /// Returns the newest entries that match, ordered by time.
    ///
    /// # Errors
    ///
    /// Fails if the object store does not respond or an object is malformed.
    pub async fn query(&self, filter: &AuditFilter) -> Result<Vec<AuditEntry>> {
        let mut found = BTreeMap::new();
        let mut keep = |entry: AuditEntry| {
            if filter.matches(&entry) {
                let order = (entry.at_millis, entry.node.clone(), entry.sequence);
                found.insert(order, entry);
            }
        };
        for day in query_days(filter, now_millis()) {
            for name in self.shared.objects.list(&format!("audit/{day}/")).await? {
                if may_match(&name, filter) {
                    self.read_object(&name)
                        .await?
                        .into_iter()
                        .for_each(&mut keep);
                }
            }
        }
        let buffer = self.shared.buffer.borrow();
        let unwritten = buffer.batch.iter().chain(&buffer.pending);
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

    /// Returns the name and content of the next object, or `None` if no entry is
    /// pending.
    fn next_object(&self) -> Result<Option<(String, Vec<u8>)>> {
        let shared = &self.shared;
        let mut buffer = shared.buffer.borrow_mut();
        buffer.fill_batch(&shared.node, shared.settings.batch_entries);
        let Some(first) = buffer.batch.first() else {
            return Ok(None);
        };
        let day = first.at_millis / MILLIS_PER_DAY;
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
        self.pending.push_back(AuditEntry {
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
        let count = limit.min(self.pending.len());
        self.batch.extend(self.pending.drain(..count));
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

/// Writes recorded entries until the process has stopped, then the remaining ones.
pub async fn run(log: AuditLog, mut stop: StopReceiver) {
    let mut backoff = RetryBackoff::new(BackoffSettings::default());
    let stopped = async move {
        // A closed channel ends the task as well.
        let _ = stop.wait_for(|phase| *phase == StopPhase::Ended).await;
    };
    let writing = async {
        loop {
            log.shared.entry_added.notified().await;
            timer::sleep(log.shared.settings.flush_interval).await;
            while let Err(error) = log.flush().await {
                log_event!(
                    warn,
                    event::AUDIT_DELAYED,
                    "{error}; the write will be retried"
                );
                timer::sleep(backoff.next_delay(rand::random())).await;
            }
            backoff.reset();
        }
    };
    tokio::select! {
        () = writing => {}
        () = stopped => {}
    }
    let result = timer::timeout(log.shared.settings.stop_timeout, log.flush()).await;
    if !matches!(result, Ok(Ok(()))) {
        let pending = log.pending();
        log_event!(
            error,
            event::AUDIT_DROPPED,
            "{pending} entries could not be written before the process stopped"
        );
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn now_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the days whose objects may contain matching entries.
///
/// An object is named after the day of its first entry, which may be the day
/// before the matching one.
fn query_days(filter: &AuditFilter, now: u64) -> impl Iterator<Item = u64> {
    let last = filter.until_millis.unwrap_or(now + MILLIS_PER_DAY) / MILLIS_PER_DAY;
    let default = last.saturating_sub(DEFAULT_QUERY_DAYS);
    let first = filter
        .since_millis
        .map_or(default, |since| since / MILLIS_PER_DAY);
    let first = first
        .saturating_sub(1)
        .max(last.saturating_sub(MAX_QUERY_DAYS));
    first..=last
}

/// Returns whether an object may contain matching entries, judging by its name.
fn may_match(name: &str, filter: &AuditFilter) -> bool {
    let Some(node) = &filter.node else {
        return true;
    };
    let writer = name
        .split('/')
        .nth(2)
        .and_then(|writer| writer.rsplit_once('.'));
    writer.is_none_or(|(writer, _)| writer == node.as_str())
}
