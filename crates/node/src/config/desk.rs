//! Makes changes of the configuration and keeps the state current.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use futures_util::future;
use redwing_model::KeyHash;
use redwing_model::admin::{ChangeResponse, RefusalCause};
use redwing_provider::{
    CallCause, Category, CommitOutcome, Result, RowKey, TableClient, TableRow, TableTransaction,
};
use tokio::{sync as channel, time as timer};

use crate::audit::{AuditDraft, AuditLog};
use crate::config::change::ChangeDraft;
use crate::config::reply;
use crate::config::row::{self, ChangeRecord};
use crate::config::spread::{self, PeerSpread};
use crate::config::state::{ConfigState, ConfigView, InstallOutcome};
use crate::event;
use crate::peer::ConfigCopy;
use crate::snapshot::{FreshnessDeadline, NodeSnapshot, SnapshotSender};

/// Cause of all calls of the table made here.
pub(crate) const CAUSE: CallCause = CallCause::Configuration;

/// Attempts at a change that commutes with those that came between.
const MAX_ATTEMPTS: u32 = 8;

/// Times of the configuration.
#[derive(Clone, Debug)]
pub struct DeskSettings {
    /// Mean time between two reads of what changed.
    pub poll_interval: time::Duration,
    /// How long keys are trusted after the process last made sure that it has
    /// the latest accepted version.
    pub trust_limit: time::Duration,
    /// How long an operator waits for a majority to install a change.
    pub spread_limit: time::Duration,
    /// Time between two attempts to reach a majority.
    pub spread_interval: time::Duration,
    /// Digest of a token that is an operator's without being granted.
    pub bootstrap: Option<KeyHash>,
}

impl Default for DeskSettings {
    fn default() -> Self {
        Self {
            poll_interval: time::Duration::from_secs(1),
            trust_limit: time::Duration::from_secs(4),
            spread_limit: time::Duration::from_secs(5),
            spread_interval: time::Duration::from_millis(200),
            bootstrap: None,
        }
    }
}

/// Name of the operator who presents the bootstrap token.
pub const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Configuration of one process, owned by its control thread.
pub struct ConfigDesk {
    pub(crate) client: TableClient,
    pub(crate) spread: rc::Rc<dyn PeerSpread>,
    pub(crate) settings: DeskSettings,
    pub(crate) state: cell::RefCell<ConfigState>,
    pub(crate) wake: channel::Notify,
    pub(crate) trust: sync::Arc<FreshnessDeadline>,
    snapshots: rc::Rc<SnapshotSender>,
    audit: AuditLog,
    changing: channel::Mutex<()>,
}

impl ConfigDesk {
    /// Creates a desk without a configuration.
    pub fn new(
        client: TableClient,
        spread: rc::Rc<dyn PeerSpread>,
        snapshots: rc::Rc<SnapshotSender>,
        audit: AuditLog,
        settings: DeskSettings,
    ) -> Self {
        Self {
            client,
            spread,
            settings,
            state: cell::RefCell::default(),
            wake: channel::Notify::new(),
            trust: sync::Arc::default(),
            snapshots,
            audit,
            changing: channel::Mutex::new(()),
        }
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.state.borrow().version()
    }

    /// Returns what is in force.
    pub fn view(&self) -> ConfigView {
        self.state.borrow().view().clone()
    }

    /// Returns the rows in force for a process that has none.
    pub fn copy(&self) -> ConfigCopy {
        self.state.borrow().copy()
    }

    /// Returns the audit trail.
    pub fn audit(&self) -> &AuditLog {
        &self.audit
    }

    /// Returns the state that traffic threads see.
    pub fn snapshot(&self) -> sync::Arc<NodeSnapshot> {
        self.snapshots.borrow().clone()
    }

    /// Returns the way to the other entry processes.
    pub fn peers(&self) -> &dyn PeerSpread {
        &*self.spread
    }

    /// Returns how long keys are trusted without news.
    pub fn trust_limit(&self) -> time::Duration {
        self.settings.trust_limit
    }

    /// Returns whether the table answered its latest calls.
    pub fn table_reachable(&self) -> bool {
        self.client.is_reachable()
    }

    /// Returns the name of the operator with this token.
    pub fn operator_of(&self, token: &str) -> Option<String> {
        let hash = KeyHash::of(token);
        if self.settings.bootstrap == Some(hash) {
            return Some(BOOTSTRAP_OPERATOR.to_owned());
        }
        self.state.borrow().view().operators.get(&hash).cloned()
    }

    /// Takes rows that the table has accepted, as told by a peer.
    pub fn announce(&self, rows: &[TableRow]) {
        let outcome = self.state.borrow_mut().install_change(rows);
        self.after_install(&outcome, "a peer's announcement");
        if outcome == InstallOutcome::Gap {
            self.wake.notify_one();
        }
    }

    /// Publishes the state, as far as it is the configuration's to say.
    pub(crate) fn publish(&self) {
        let view = self.view();
        let accepts_keyed = view.head.version > 0 && self.is_trusted();
        self.snapshots.send_if_modified(|snapshot| {
            let same = snapshot.version == view.head.version;
            if same && snapshot.accepts_keyed == accepts_keyed {
                return false;
            }
            if snapshot.accepts_keyed != accepts_keyed {
                log_event!(warn, event::KEYED_WORK_CHANGED, "accepted: {accepts_keyed}");
            }
            let next = NodeSnapshot {
                version: view.head.version,
                declaration: view.declaration,
                keys: view.keys,
                accepts_keyed,
                freshness_deadline: Some(self.trust.clone()),
                ..NodeSnapshot::clone(snapshot)
            };
            *snapshot = sync::Arc::new(next);
            true
        });
    }

    /// Returns whether the process lately made sure that it has the latest
    /// accepted version.
    pub fn is_trusted(&self) -> bool {
        self.trust.is_fresh(time::Instant::now())
    }

    pub(crate) fn after_install(&self, outcome: &InstallOutcome, source: &str) {
        match outcome {
            InstallOutcome::Installed(version) => {
                log_event!(
                    info,
                    event::CONFIG_INSTALLED,
                    "version {version} from {source}"
                );
                self.publish();
            }
            InstallOutcome::Malformed(message) => {
                log_event!(error, event::CONFIG_MALFORMED, "{source}: {message}");
            }
            InstallOutcome::Stale | InstallOutcome::Gap => {}
        }
    }

    /// Makes a change, and answers once it is accepted, refused, or not known
    /// to be either.
    pub async fn change(&self, draft: &ChangeDraft) -> ChangeResponse {
        let _changing = self.changing.lock().await;
        let from_version = self.version();
        let reply = self.change_alone(draft).await;
        self.audit.record(AuditDraft {
            actor: draft.operator.clone(),
            action: draft.action(),
            subject: draft.subject(),
            from_version: Some(reply.version.map_or(from_version, |version| version - 1)),
            to_version: reply.version,
            result: reply::status_name(reply.status),
            reason: reply.detail.clone(),
        });
        reply
    }

    /// Answers as [`ConfigDesk::change`] would, without changing anything.
    pub async fn dry_run(&self, draft: &ChangeDraft) -> ChangeResponse {
        if let Err(error) = self.refresh().await {
            return reply::refused(draft, RefusalCause::Unavailable, error.to_string());
        }
        match self.check(draft).await {
            Ok(Some(refusal)) => refusal,
            Ok(None) => reply::dry_run(draft, &self.view()),
            Err(error) => reply::refused(draft, RefusalCause::Unavailable, error.to_string()),
        }
    }

    async fn change_alone(&self, draft: &ChangeDraft) -> ChangeResponse {
        let mut fresh = !self.may_try_at_once(draft);
        for _ in 0..MAX_ATTEMPTS {
            let attempt = self.attempt(draft, fresh).await;
            fresh = true;
            match attempt {
                Ok(Some(reply)) => return reply,
                Ok(None) => {}
                Err(error) if draft.id_chosen || error.classify() == Category::Unknown => {
                    return reply::pending(draft, None, &error.to_string());
                }
                Err(error) => {
                    return reply::refused(draft, RefusalCause::Unavailable, error.to_string());
                }
            }
        }
        reply::refused(
            draft,
            RefusalCause::Conflict,
            "too many other changes came between",
        )
    }

    /// Returns whether the change may be tried without reading the table first.
    ///
    /// A condition of the transaction then tells if the state was not current.
    /// A declaration without a base is compared with what the table has.
    fn may_try_at_once(&self, draft: &ChangeDraft) -> bool {
        let has_base = draft.base_version.is_some() || !draft.replaces_declaration();
        has_base && self.version() > 0
    }

    /// Tries once; `None` if it has to be tried again with what the table has.
    async fn attempt(&self, draft: &ChangeDraft, fresh: bool) -> Result<Option<ChangeResponse>> {
        let change_key = row::change_key(draft.id.as_str());
        if fresh {
            let known = self.client.scan(CAUSE, change_key.as_str());
            let ((), known) = future::try_join(self.refresh(), known).await?;
            if let Some(known) = known.rows.first() {
                return Ok(Some(self.answer_known(draft, known).await));
            }
        }
        if let Some(refusal) = self.check(draft).await? {
            return Ok(fresh.then_some(refusal));
        }
        let base = self.state.borrow().clone();
        let transaction = draft.transaction(&base);
        let transaction = match transaction {
            Ok(transaction) => transaction,
            Err(error) => {
                let refusal = reply::refused(draft, RefusalCause::Invalid, error.to_string());
                return Ok(Some(refusal));
            }
        };
        let outcome = self
            .client
            .commit_resolved(CAUSE, &transaction, &change_key);
        match outcome.await {
            Ok(CommitOutcome::Committed(commit)) => Ok(Some(
                self.answer_committed(draft, &transaction, commit).await,
            )),
            Ok(CommitOutcome::Conflict(rows)) => {
                let base = fresh.then_some(base.view());
                self.answer_conflict(draft, base, &rows).await
            }
            Err(error) if error.classify() == Category::Refused => {
                let refusal = reply::refused(draft, RefusalCause::Invalid, error.to_string());
                Ok(Some(refusal))
            }
            Err(error) => Err(error),
        }
    }

    /// Returns the refusal of a change that cannot be made on what is in force.
    async fn check(&self, draft: &ChangeDraft) -> Result<Option<ChangeResponse>> {
        let view = self.view();
        if let Some(refusal) = reply::check(draft, &view) {
            return Ok(Some(refusal));
        }
        match draft.base_version {
            Some(base) if base != view.head.version && draft.replaces_declaration() => {
                let base_text = self.declaration_at(base).await?;
                Ok(Some(reply::conflict(
                    draft,
                    base,
                    base_text.as_deref(),
                    &view,
                )))
            }
            _ => Ok(None),
        }
    }

    async fn answer_conflict(
        &self,
        draft: &ChangeDraft,
        base: Option<&ConfigView>,
        rows: &[TableRow],
    ) -> Result<Option<ChangeResponse>> {
        let change_key = row::change_key(draft.id.as_str());
        let known = rows.iter().find(|row| row.key == change_key);
        if let Some(known) = known.filter(|known| known.value.is_some()) {
            return Ok(Some(self.answer_known(draft, known).await));
        }
        let Some(base) = base.filter(|_| draft.replaces_declaration()) else {
            return Ok(None);
        };
        self.refresh().await?;
        let text = Some(&*base.text);
        let reply = reply::conflict(draft, base.head.version, text, &self.view());
        Ok(Some(reply))
    }

    async fn answer_committed(
        &self,
        draft: &ChangeDraft,
        transaction: &TableTransaction,
        commit: u64,
    ) -> ChangeResponse {
        let rows = written_rows(transaction, commit);
        let before = self.view();
        let outcome = self.state.borrow_mut().install_change(&rows);
        self.after_install(&outcome, "an operator's change");
        let version = before.head.version + 1;
        let spread = self.reach_majority(&rows, version).await;
        let mut reply = reply::made(draft, version, spread);
        reply.differences = reply::differences(&before, draft);
        reply
    }

    /// Answers a change whose id was used before.
    async fn answer_known(&self, draft: &ChangeDraft, known: &TableRow) -> ChangeResponse {
        let record = known.value.as_deref().unwrap_or_default();
        let record: ChangeRecord = match serde_json::from_str(record) {
            Ok(record) => record,
            Err(error) => return reply::pending(draft, None, &error.to_string()),
        };
        if record.request != draft.request_digest() {
            let detail = format!(
                "the id was used for another change, version {}",
                record.version
            );
            return reply::refused(draft, RefusalCause::IdReused, detail);
        }
        // Peers that cannot install these rows take them for a sign to read the table.
        let rows = self.state.borrow().latest_change();
        let spread = self.reach_majority(&rows, record.version).await;
        let mut reply = reply::made(draft, record.version, spread);
        let made_here = reply.hash == record.hash;
        reply.hash = record.hash;
        if !made_here {
            reply
                .detail
                .push_str("; the secret was shown when it was granted");
        }
        reply
    }

    /// Spreads rows until a majority of members has `version` in force, or
    /// the time is over.
    async fn reach_majority(&self, rows: &[TableRow], version: u64) -> bool {
        let deadline = time::Instant::now() + self.settings.spread_limit;
        loop {
            let own = usize::from(self.version() >= version);
            let informed = self.spread.announce(rows, version).await;
            if spread::is_majority(own + informed, self.spread.peer_count()) {
                return true;
            }
            if time::Instant::now() >= deadline {
                return false;
            }
            timer::sleep(self.settings.spread_interval).await;
        }
    }
}

/// Returns the rows in force as the transaction left them.
fn written_rows(transaction: &TableTransaction, commit: u64) -> Vec<TableRow> {
    let in_force = |key: &RowKey| key.as_str().starts_with(row::PREFIX);
    let writes = transaction.writes().iter();
    let rows = writes
        .filter(|write| in_force(&write.key))
        .map(|write| TableRow {
            key: write.key.clone(),
            version: commit,
            value: write.value.clone(),
        });
    rows.collect()
}
