//! Service that changes the configuration and publishes the version in force.

use std::cell;
use std::collections::BTreeSet;
use std::rc;
use std::sync;
use std::time;

use futures_util::future;
use redwing_model::admin::{ChangeResponse, RefusalCause};
use redwing_model::{DataCentre, KeyHash};
use redwing_provider::{
    CallCause, Category, CommitOutcome, Result, RowKey, TableClient, TableRow, TableTransaction,
};
use tokio::{sync as channel, time as timer};

use crate::audit::{AuditDraft, AuditLog};
use crate::config::change::ChangeDraft;
use crate::config::evacuation::{self, VmPlaces};
use crate::config::propagation::{self, ConfigPropagation};
use crate::config::response;
use crate::config::row::{self, ChangeRecord};
use crate::config::state::{ConfigState, ConfigView, InstallOutcome};
use crate::evacuation::{DispatchDeadline, EvacuationNotice, EvacuationReceiver, EvacuationSender};
use crate::event;
use crate::peer::ConfigSnapshot;
use crate::snapshot::{FreshnessDeadline, NodeSnapshot, SnapshotSender};

/// Cause under which the configuration's table calls are counted.
pub(crate) const CALL_CAUSE: CallCause = CallCause::Configuration;

/// Maximum number of attempts at a change that commutes with concurrent ones.
const MAX_CHANGE_ATTEMPTS: u32 = 8;

/// Settings of the configuration service.
#[derive(Clone, Debug)]
pub struct ConfigSettings {
    /// Mean time between two polls of the table for changes.
    pub poll_interval: time::Duration,
    /// Time for which keys are accepted after the process last verified that it
    /// has the latest accepted version.
    pub freshness_limit: time::Duration,
    /// Maximum time that a change waits for a majority to install it.
    pub propagation_timeout: time::Duration,
    /// Time between two attempts to reach a majority.
    pub propagation_interval: time::Duration,
    /// Digest of an operator token that is valid without a grant.
    pub bootstrap: Option<KeyHash>,
    /// Longest time after the acceptance of an evacuation for which a process that does not
    /// learn of it may dispatch requests; none if it has no bound.
    pub evacuation_bound: Option<time::Duration>,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            poll_interval: time::Duration::from_secs(1),
            freshness_limit: time::Duration::from_secs(4),
            propagation_timeout: time::Duration::from_secs(5),
            propagation_interval: time::Duration::from_millis(200),
            bootstrap: None,
            evacuation_bound: None,
        }
    }
}

/// Time that remains of the bound of an evacuation for a request on its way to a backend
/// server.
const EVACUATION_MARGIN: time::Duration = time::Duration::from_secs(1);

/// Name of the operator who presents the bootstrap token.
pub const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Configuration of one process, owned by its control thread.
pub struct ConfigService {
    pub(crate) client: TableClient,
    pub(crate) peers: rc::Rc<dyn ConfigPropagation>,
    pub(crate) settings: ConfigSettings,
    pub(crate) state: cell::RefCell<ConfigState>,
    pub(crate) refresh_requested: channel::Notify,
    pub(crate) freshness: sync::Arc<FreshnessDeadline>,
    snapshots: rc::Rc<SnapshotSender>,
    evacuations: EvacuationSender,
    places: cell::RefCell<VmPlaces>,
    audit: AuditLog,
    change_lock: channel::Mutex<()>,
}

impl ConfigService {
    /// Creates a service without a configuration.
    pub fn new(
        client: TableClient,
        peers: rc::Rc<dyn ConfigPropagation>,
        snapshots: rc::Rc<SnapshotSender>,
        audit: AuditLog,
        settings: ConfigSettings,
    ) -> Self {
        Self {
            client,
            peers,
            settings,
            state: cell::RefCell::default(),
            refresh_requested: channel::Notify::new(),
            freshness: sync::Arc::default(),
            snapshots,
            evacuations: EvacuationSender::default(),
            places: cell::RefCell::default(),
            audit,
            change_lock: channel::Mutex::new(()),
        }
    }

    /// Publishes the evacuations in force to `evacuations` as well.
    pub fn with_evacuations(self, evacuations: EvacuationSender) -> Self {
        let service = Self {
            evacuations,
            ..self
        };
        service.publish_evacuations(&service.view());
        service
    }

    /// Returns a receiver of the evacuations in force.
    pub fn evacuations(&self) -> EvacuationReceiver {
        self.evacuations.subscribe()
    }

    /// Sets where the VMs of the fleet are, by which evacuations are checked.
    pub fn set_places(&self, places: VmPlaces) {
        *self.places.borrow_mut() = places;
    }

    /// Returns the number of VMs in a data centre, as last read.
    pub fn vms_in(&self, data_centre: &DataCentre) -> u32 {
        self.places.borrow().count(data_centre)
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.state.borrow().version()
    }

    /// Returns the configuration in force.
    pub fn view(&self) -> ConfigView {
        self.state.borrow().view().clone()
    }

    /// Returns the rows in force, for a process without a configuration.
    pub fn config_snapshot(&self) -> ConfigSnapshot {
        self.state.borrow().snapshot()
    }

    /// Returns the audit trail.
    pub fn audit(&self) -> &AuditLog {
        &self.audit
    }

    /// Returns the snapshot that traffic threads read.
    pub fn snapshot(&self) -> sync::Arc<NodeSnapshot> {
        self.snapshots.borrow().clone()
    }

    /// Returns the access to the other entry processes.
    pub fn peers(&self) -> &dyn ConfigPropagation {
        &*self.peers
    }

    /// Returns how long keys are accepted after the version was last verified.
    pub fn freshness_limit(&self) -> time::Duration {
        self.settings.freshness_limit
    }

    /// Returns whether the table responded to its latest calls.
    pub fn table_reachable(&self) -> bool {
        self.client.is_reachable()
    }

    /// Returns the name of the operator who has this token.
    pub fn operator_of(&self, token: &str) -> Option<String> {
        let hash = KeyHash::of(token);
        if self.settings.bootstrap == Some(hash) {
            return Some(BOOTSTRAP_OPERATOR.to_owned());
        }
        self.state.borrow().view().operators.get(&hash).cloned()
    }

    /// Installs committed rows that a peer sent.
    pub fn announce(&self, rows: &[TableRow]) {
        let outcome = self.state.borrow_mut().install_change(rows);
        self.publish_install(&outcome, "a peer's announcement");
        if outcome == InstallOutcome::Gap {
            self.refresh_requested.notify_one();
        }
    }

    /// Publishes the configuration in force: the evacuations before the rest, so that no
    /// request is admitted under a version whose evacuations the scheduler does not have.
    pub(crate) fn publish(&self) {
        let view = self.view();
        self.publish_evacuations(&view);
        let accepts_keyed = view.head.version > 0 && self.is_fresh();
        self.snapshots.send_if_modified(|snapshot| {
            let same_version = snapshot.version == view.head.version;
            if same_version && snapshot.accepts_keyed == accepts_keyed {
                return false;
            }
            if snapshot.accepts_keyed != accepts_keyed {
                log_event!(
                    warn,
                    event::KEYED_WORK_CHANGED,
                    "keyed requests accepted: {accepts_keyed}"
                );
            }
            let next = NodeSnapshot {
                version: view.head.version,
                declaration: view.declaration,
                keys: view.keys,
                accepts_keyed,
                freshness_deadline: Some(self.freshness.clone()),
                ..NodeSnapshot::clone(snapshot)
            };
            *snapshot = sync::Arc::new(next);
            true
        });
    }

    fn publish_evacuations(&self, view: &ConfigView) {
        let evacuated: BTreeSet<DataCentre> = view.evacuations.keys().cloned().collect();
        let bound = self.settings.evacuation_bound;
        self.evacuations.send_if_modified(|notice| {
            let is_same = *notice.evacuated == evacuated;
            if is_same && notice.deadline.is_some() == bound.is_some() {
                return false;
            }
            for data_centre in evacuated.symmetric_difference(&notice.evacuated) {
                let action = match evacuated.contains(data_centre) {
                    true => "evacuated",
                    false => "no longer evacuated",
                };
                log_event!(
                    warn,
                    event::EVACUATION_INSTALLED,
                    "data centre {data_centre} is {action} as of version {}",
                    view.head.version
                );
            }
            let margin = bound.map(|bound| bound.saturating_sub(self.shortest_evacuation_bound()));
            let deadline =
                margin.map(|margin| DispatchDeadline::new(self.freshness.clone(), margin));
            *notice = EvacuationNotice {
                evacuated: sync::Arc::new(evacuated),
                deadline,
            };
            true
        });
    }

    /// Returns the shortest bound of an evacuation that a process can keep.
    fn shortest_evacuation_bound(&self) -> time::Duration {
        self.settings.freshness_limit + EVACUATION_MARGIN
    }

    /// Returns whether the process recently verified that it has the latest
    /// accepted version.
    pub fn is_fresh(&self) -> bool {
        self.freshness.is_fresh(time::Instant::now())
    }

    pub(crate) fn publish_install(&self, outcome: &InstallOutcome, source: &str) {
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
                log_event!(
                    error,
                    event::CONFIG_MALFORMED,
                    "rows from {source} are malformed: {message}"
                );
            }
            InstallOutcome::Stale | InstallOutcome::Gap => {}
        }
    }

    /// Makes a change; returns once it is accepted, refused, or pending: its
    /// outcome is unknown, or no majority has installed it in time.
    pub async fn change(&self, draft: &ChangeDraft) -> ChangeResponse {
        let _guard = self.change_lock.lock().await;
        let from_version = self.version();
        let response = self.retry_change(draft).await;
        self.audit.record(AuditDraft {
            actor: draft.operator.clone(),
            action: draft.action(),
            subject: draft.subject(),
            from_version: Some(response.version.map_or(from_version, |version| version - 1)),
            to_version: response.version,
            result: response::status_name(response.status),
            reason: response.detail.clone(),
        });
        response
    }

    /// Checks a change and returns the response that [`ConfigService::change`]
    /// would give, without making the change.
    pub async fn dry_run(&self, draft: &ChangeDraft) -> ChangeResponse {
        if let Err(error) = self.refresh().await {
            return response::refused(draft, RefusalCause::Unavailable, error.to_string());
        }
        match self.check(draft).await {
            Ok(Some(refusal)) => refusal,
            Ok(None) => response::dry_run(draft, &self.view()),
            Err(error) => response::refused(draft, RefusalCause::Unavailable, error.to_string()),
        }
    }

    async fn retry_change(&self, draft: &ChangeDraft) -> ChangeResponse {
        let mut refresh_first = !self.can_skip_refresh(draft);
        for _ in 0..MAX_CHANGE_ATTEMPTS {
            let attempt = self.try_change(draft, refresh_first).await;
            refresh_first = true;
            match attempt {
                Ok(Some(response)) => return response,
                Ok(None) => {}
                Err(error) if draft.id_chosen || error.classify() == Category::Unknown => {
                    return response::pending(draft, None, &error.to_string());
                }
                Err(error) => {
                    return response::refused(draft, RefusalCause::Unavailable, error.to_string());
                }
            }
        }
        response::refused(
            draft,
            RefusalCause::Conflict,
            "too many concurrent changes were made",
        )
    }

    /// Returns whether the first attempt may be made without reading the table.
    ///
    /// The conditions of the transaction then fail if the state is outdated. A
    /// declaration without a base version is always compared with the table.
    fn can_skip_refresh(&self, draft: &ChangeDraft) -> bool {
        let has_base = draft.base_version.is_some() || !draft.replaces_declaration();
        has_base && self.version() > 0
    }

    /// Makes one attempt; returns `None` if the change must be retried after a
    /// refresh.
    async fn try_change(
        &self,
        draft: &ChangeDraft,
        refresh_first: bool,
    ) -> Result<Option<ChangeResponse>> {
        let change_key = row::change_row_key(draft.id.as_str());
        if refresh_first {
            let existing = self.client.scan(CALL_CAUSE, change_key.as_str());
            let ((), existing) = future::try_join(self.refresh(), existing).await?;
            if let Some(existing) = existing.rows.first() {
                return Ok(Some(self.repeated_response(draft, existing).await));
            }
        }
        if let Some(response) = self.check(draft).await? {
            if !refresh_first {
                return Ok(None);
            }
            return Ok(Some(self.confirm_unchanged(draft, response).await));
        }
        let base = self.state.borrow().clone();
        let transaction = draft.transaction(&base);
        let transaction = match transaction {
            Ok(transaction) => transaction,
            Err(error) => {
                let refusal = response::refused(draft, RefusalCause::Invalid, error.to_string());
                return Ok(Some(refusal));
            }
        };
        let outcome = self
            .client
            .commit_resolved(CALL_CAUSE, &transaction, &change_key);
        match outcome.await {
            Ok(CommitOutcome::Committed(commit)) => {
                Ok(Some(self.finish_commit(draft, &transaction, commit).await))
            }
            Ok(CommitOutcome::Conflict(rows)) => {
                let base = refresh_first.then_some(base.view());
                self.resolve_conflict(draft, base, &rows).await
            }
            Err(error) if error.classify() == Category::Refused => {
                let refusal = response::refused(draft, RefusalCause::Invalid, error.to_string());
                Ok(Some(refusal))
            }
            Err(error) => Err(error),
        }
    }

    /// Returns the response to a change that is not made, because it is invalid for the
    /// configuration in force or changes nothing.
    async fn check(&self, draft: &ChangeDraft) -> Result<Option<ChangeResponse>> {
        let view = self.view();
        if let Some(response) = response::check(draft, &view, &self.places.borrow()) {
            return Ok(Some(response));
        }
        match draft.base_version {
            Some(base) if base != view.head.version && draft.replaces_declaration() => {
                let base_text = self.declaration_at(base).await?;
                Ok(Some(response::conflict(
                    draft,
                    base,
                    base_text.as_deref(),
                    &view,
                )))
            }
            _ => Ok(None),
        }
    }

    async fn resolve_conflict(
        &self,
        draft: &ChangeDraft,
        base: Option<&ConfigView>,
        rows: &[TableRow],
    ) -> Result<Option<ChangeResponse>> {
        let change_key = row::change_row_key(draft.id.as_str());
        let existing = rows.iter().find(|row| row.key == change_key);
        if let Some(existing) = existing.filter(|existing| existing.value.is_some()) {
            return Ok(Some(self.repeated_response(draft, existing).await));
        }
        let Some(base) = base.filter(|_| draft.replaces_declaration()) else {
            return Ok(None);
        };
        self.refresh().await?;
        let text = Some(&*base.text);
        let response = response::conflict(draft, base.head.version, text, &self.view());
        Ok(Some(response))
    }

    async fn finish_commit(
        &self,
        draft: &ChangeDraft,
        transaction: &TableTransaction,
        commit: u64,
    ) -> ChangeResponse {
        let rows = written_rows(transaction, commit);
        let before = self.view();
        let outcome = self.state.borrow_mut().install_change(&rows);
        self.publish_install(&outcome, "an operator's change");
        let version = before.head.version + 1;
        let has_majority = self.propagate_to_majority(&rows, version).await;
        let mut response = response::committed(draft, version, has_majority);
        response.differences = response::differences(&before, draft);
        let places = self.places.borrow();
        let consequence = evacuation::consequence(&draft.kind, &places, &before.evacuations);
        append(&mut response, consequence);
        if self.version() > version {
            let reversal = evacuation::reversal(&draft.kind, &self.view().evacuations);
            append(&mut response, reversal);
        }
        response
    }

    /// Returns the response to a change that is not made; one that finds what it requests in
    /// force is accepted only if a majority of members has it.
    async fn confirm_unchanged(
        &self,
        draft: &ChangeDraft,
        response: ChangeResponse,
    ) -> ChangeResponse {
        if !response.unchanged {
            return response;
        }
        let rows = self.state.borrow().latest_change_rows();
        match self.propagate_to_majority(&rows, self.version()).await {
            true => response,
            false => response::pending(draft, None, &response.detail),
        }
    }

    /// Returns the response to a change whose id is already in the table.
    async fn repeated_response(&self, draft: &ChangeDraft, existing: &TableRow) -> ChangeResponse {
        let record = existing.value.as_deref().unwrap_or_default();
        let record: ChangeRecord = match serde_json::from_str(record) {
            Ok(record) => record,
            Err(error) => return response::pending(draft, None, &error.to_string()),
        };
        if record.request != draft.request_digest() {
            let detail = format!(
                "the id was used for another change, version {}",
                record.version
            );
            return response::refused(draft, RefusalCause::IdReused, detail);
        }
        if draft.is_evacuation() {
            // A later change may have reversed this one; without the table, the response
            // does not tell.
            let _ = self.refresh().await;
        }
        // Peers that cannot install these rows read the table instead.
        let rows = self.state.borrow().latest_change_rows();
        let has_majority = self.propagate_to_majority(&rows, record.version).await;
        let mut response = response::committed(draft, record.version, has_majority);
        let has_same_hash = response.hash == record.hash;
        response.hash = record.hash;
        if !has_same_hash {
            response
                .detail
                .push_str("; the secret is shown only in the response to the original grant");
        }
        if self.version() > record.version {
            append(
                &mut response,
                evacuation::reversal(&draft.kind, &self.view().evacuations),
            );
        }
        response
    }

    /// Sends rows to the peers until a majority of members has `version` in
    /// force; returns false if the timeout expires first.
    async fn propagate_to_majority(&self, rows: &[TableRow], version: u64) -> bool {
        let deadline = time::Instant::now() + self.settings.propagation_timeout;
        loop {
            let own = usize::from(self.version() >= version);
            let installed = self.peers.announce(rows, version).await;
            if propagation::is_majority(own + installed, self.peers.peer_count()) {
                return true;
            }
            if time::Instant::now() >= deadline {
                return false;
            }
            timer::sleep(self.settings.propagation_interval).await;
        }
    }
}

/// Appends a remark to the detail of a response.
fn append(response: &mut ChangeResponse, remark: Option<String>) {
    if let Some(remark) = remark {
        response.detail.push_str("; ");
        response.detail.push_str(&remark);
    }
}

/// Returns the rows in force that the transaction wrote or deleted.
fn written_rows(transaction: &TableTransaction, commit: u64) -> Vec<TableRow> {
    let in_force = |key: &RowKey| key.as_str().starts_with(row::CONFIG_PREFIX);
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
