//! State of the configuration in one process, without I/O.

use std::collections::{BTreeMap, HashMap};
use std::sync;

use redwing_model::{DataCentre, FleetDeclaration, KeyHash, declaration};
use redwing_provider::table::TableView;
use redwing_provider::{RowKey, TableRow};
use serde::Deserialize;

use crate::config::row::{
    CONFIG_PREFIX, DeclarationRecord, EvacuationRecord, HEAD_KEY, HeadRecord, KeyRecord,
    OperatorRecord, RowKind,
};
use crate::peer::ConfigSnapshot;
use crate::snapshot::KeyGrant;

/// Result of an attempt to install rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InstallOutcome {
    /// The rows are in force as this version.
    Installed(u64),
    /// The rows are not newer than the version in force.
    Stale,
    /// Changes between the version in force and the rows are missing.
    Gap,
    /// The rows cannot be parsed; the version in force is unchanged.
    Malformed(String),
}

impl InstallOutcome {
    /// Returns whether the state is at least as new as the rows.
    pub fn is_current(&self) -> bool {
        matches!(self, Self::Installed(_) | Self::Stale)
    }
}

/// Rows in force and the configuration decoded from them; the version never
/// decreases.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    rows: BTreeMap<RowKey, TableRow>,
    cursor: u64,
    view: ConfigView,
}

/// Configuration decoded from the rows in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Version in force and the change that created it.
    pub head: HeadRecord,
    /// Version that wrote the declaration in force.
    pub declaration_version: u64,
    /// Declaration in force.
    pub declaration: sync::Arc<FleetDeclaration>,
    /// TOML text of the declaration.
    pub text: sync::Arc<str>,
    /// Access keys in force, by digest.
    pub keys: sync::Arc<HashMap<KeyHash, KeyGrant>>,
    /// Names of operators, by digest of their tokens.
    pub operators: sync::Arc<HashMap<KeyHash, String>>,
    /// Evacuations in force, by data centre.
    pub evacuations: sync::Arc<BTreeMap<DataCentre, EvacuationRecord>>,
}

impl ConfigState {
    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.view.head.version
    }

    /// Returns the configuration decoded from the rows in force.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Returns the version of the latest table commit that the rows include.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Returns the rows in force, for a process without a configuration.
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            version: self.version(),
            rows: self.rows.values().cloned().collect(),
        }
    }

    /// Returns the head row.
    pub fn head_row(&self) -> Option<&TableRow> {
        self.rows.get(&RowKey::new(HEAD_KEY))
    }

    /// Returns the rows that the latest change wrote, without those it deleted.
    pub fn latest_change_rows(&self) -> Vec<TableRow> {
        let commit = self.head_row().map(|head| head.version);
        let latest = |row: &&TableRow| Some(row.version) == commit;
        self.rows.values().filter(latest).cloned().collect()
    }

    /// Installs the result of a full table scan.
    pub fn install_scan(&mut self, scan: &TableView) -> InstallOutcome {
        let outcome = self.install_all(&scan.rows);
        if !matches!(outcome, InstallOutcome::Malformed(_)) && self.covers(&scan.rows) {
            self.cursor = self.cursor.max(scan.cursor);
        }
        outcome
    }

    /// Installs the rows that the table lists as changed after commit `since`.
    pub fn install_changes(&mut self, changes: &TableView, since: u64) -> InstallOutcome {
        if since > self.cursor {
            return InstallOutcome::Gap;
        }
        let outcome = match find_head(&changes.rows) {
            Err(message) => return InstallOutcome::Malformed(message),
            Ok(None) => InstallOutcome::Stale,
            Ok(Some(head)) if head.version <= self.version() => InstallOutcome::Stale,
            Ok(Some(_)) => self.install_delta(&changes.rows),
        };
        if !matches!(outcome, InstallOutcome::Malformed(_)) {
            self.cursor = self.cursor.max(changes.cursor);
        }
        outcome
    }

    /// Installs the rows written by one change, as received from a peer.
    pub fn install_change(&mut self, rows: &[TableRow]) -> InstallOutcome {
        let head = match find_head(rows) {
            Err(message) => return InstallOutcome::Malformed(message),
            Ok(None) => return InstallOutcome::Malformed("the head row is missing".to_owned()),
            Ok(Some(head)) => head,
        };
        if head.version <= self.version() {
            return InstallOutcome::Stale;
        }
        if head.version != self.version() + 1 || head.rows != rows.len() {
            return InstallOutcome::Gap;
        }
        if rows.iter().any(|row| row.version != rows[0].version) {
            return InstallOutcome::Malformed("the rows belong to different commits".to_owned());
        }
        self.install_delta(rows)
    }

    /// Installs the snapshot of a peer.
    pub fn install_snapshot(&mut self, snapshot: &ConfigSnapshot) -> InstallOutcome {
        self.install_all(&snapshot.rows)
    }

    fn install_all(&mut self, rows: &[TableRow]) -> InstallOutcome {
        match find_head(rows) {
            Err(message) => return InstallOutcome::Malformed(message),
            Ok(None) => return InstallOutcome::Stale,
            Ok(Some(head)) if head.version <= self.version() => return InstallOutcome::Stale,
            Ok(Some(_)) => {}
        }
        self.replace_rows(merge(BTreeMap::new(), rows))
    }

    fn install_delta(&mut self, rows: &[TableRow]) -> InstallOutcome {
        self.replace_rows(merge(self.rows.clone(), rows))
    }

    fn replace_rows(&mut self, rows: BTreeMap<RowKey, TableRow>) -> InstallOutcome {
        match decode_view(&rows, &self.view) {
            Err(message) => InstallOutcome::Malformed(message),
            // Rows from a peer may contain one key twice.
            Ok(view) if view.head.version <= self.version() => {
                InstallOutcome::Malformed("the head rows disagree".to_owned())
            }
            Ok(view) => {
                let commits = rows.values().map(|row| row.version);
                self.cursor = self.cursor.max(commits.max().unwrap_or(0));
                self.rows = rows;
                self.view = view;
                InstallOutcome::Installed(self.version())
            }
        }
    }

    /// Returns whether the state is at least as new as `rows`.
    fn covers(&self, rows: &[TableRow]) -> bool {
        match find_head(rows) {
            Ok(Some(head)) => head.version <= self.version(),
            Ok(None) => true,
            Err(_) => false,
        }
    }
}

/// Applies changed and deleted rows of the configuration to `rows_by_key`.
fn merge(
    mut rows_by_key: BTreeMap<RowKey, TableRow>,
    rows: &[TableRow],
) -> BTreeMap<RowKey, TableRow> {
    for row in rows {
        if !row.key.as_str().starts_with(CONFIG_PREFIX) {
            continue;
        }
        match row.value {
            Some(_) => rows_by_key.insert(row.key.clone(), row.clone()),
            None => rows_by_key.remove(&row.key),
        };
    }
    rows_by_key
}

fn find_head(rows: &[TableRow]) -> Result<Option<HeadRecord>, String> {
    let head = rows
        .iter()
        .find(|row| RowKind::of(&row.key) == RowKind::Head);
    head.map(parse_row).transpose()
}

fn parse_row<'a, T: Deserialize<'a>>(row: &'a TableRow) -> Result<T, String> {
    let key = row.key.as_str();
    let value = row.value.as_deref().ok_or(format!("{key} is deleted"))?;
    serde_json::from_str(value).map_err(|error| format!("{key}: {error}"))
}

fn decode_view(
    rows: &BTreeMap<RowKey, TableRow>,
    previous: &ConfigView,
) -> Result<ConfigView, String> {
    let mut view = ConfigView::default();
    let mut keys = HashMap::new();
    let mut operators = HashMap::new();
    let mut evacuations = BTreeMap::new();
    for row in rows.values() {
        match RowKind::of(&row.key) {
            RowKind::Head => view.head = parse_row(row)?,
            RowKind::Declaration => decode_declaration(row, previous, &mut view)?,
            RowKind::Key(hash) => {
                let KeyRecord {
                    customer, queue, ..
                } = parse_row(row)?;
                keys.insert(hash, KeyGrant { customer, queue });
            }
            RowKind::Operator(hash) => {
                let record: OperatorRecord = parse_row(row)?;
                operators.insert(hash, record.name);
            }
            RowKind::Evacuation(data_centre) => {
                evacuations.insert(data_centre, parse_row(row).unwrap_or_default());
            }
            RowKind::Other => {}
        }
    }
    view.keys = sync::Arc::new(keys);
    view.operators = sync::Arc::new(operators);
    view.evacuations = sync::Arc::new(evacuations);
    Ok(view)
}

fn decode_declaration(
    row: &TableRow,
    previous: &ConfigView,
    view: &mut ConfigView,
) -> Result<(), String> {
    let record: DeclarationRecord = parse_row(row)?;
    view.declaration_version = record.version;
    if record.version == previous.declaration_version {
        view.declaration = previous.declaration.clone();
        view.text = previous.text.clone();
        return Ok(());
    }
    let fleet = declaration::from_toml(&record.text).map_err(|error| error.to_string())?;
    view.declaration = sync::Arc::new(fleet);
    view.text = record.text.into();
    Ok(())
}
