//! Configuration in force at one process, without I/O.

use std::collections::{BTreeMap, HashMap};
use std::sync;

use redwing_model::{FleetDeclaration, KeyHash, declaration};
use redwing_provider::table::TableView;
use redwing_provider::{RowKey, TableRow};
use serde::Deserialize;

use crate::config::row::{
    DeclarationRecord, HEAD, HeadRecord, KeyRecord, OperatorRecord, PREFIX, RowKind,
};
use crate::peer::ConfigCopy;
use crate::snapshot::KeyGrant;

/// What became of rows that were offered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InstallOutcome {
    /// They are in force as this version.
    Installed(u64),
    /// They are not newer than what is in force.
    Stale,
    /// They do not follow on the version in force; what lies between is missing.
    Gap,
    /// They cannot be read; what was in force stays.
    Malformed(String),
}

impl InstallOutcome {
    /// Returns whether the state has everything that the rows could tell.
    pub fn is_current(&self) -> bool {
        matches!(self, Self::Installed(_) | Self::Stale)
    }
}

/// Rows in force and what they mean; the version never goes down.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    rows: BTreeMap<RowKey, TableRow>,
    cursor: u64,
    view: ConfigView,
}

/// What the rows in force mean.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Version in force and who made it.
    pub head: HeadRecord,
    /// Version that put the declaration in force.
    pub declaration_version: u64,
    /// Declaration in force.
    pub declaration: sync::Arc<FleetDeclaration>,
    /// Its text.
    pub text: sync::Arc<str>,
    /// Keys in force, by digest.
    pub keys: sync::Arc<HashMap<KeyHash, KeyGrant>>,
    /// Names of operators, by digest of their tokens.
    pub operators: sync::Arc<HashMap<KeyHash, String>>,
}

impl ConfigState {
    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.view.head.version
    }

    /// Returns what the rows in force mean.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Returns the latest commit of the table that the rows reflect.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Returns the rows in force for a process that has none.
    pub fn copy(&self) -> ConfigCopy {
        ConfigCopy {
            version: self.version(),
            rows: self.rows.values().cloned().collect(),
        }
    }

    /// Returns the row of the head.
    pub fn head_row(&self) -> Option<&TableRow> {
        self.rows.get(&RowKey::new(HEAD))
    }

    /// Returns the rows that the latest change wrote; deleted ones are not known.
    pub fn latest_change(&self) -> Vec<TableRow> {
        let commit = self.head_row().map(|head| head.version);
        let latest = |row: &&TableRow| Some(row.version) == commit;
        self.rows.values().filter(latest).cloned().collect()
    }

    /// Installs everything that the table has.
    pub fn install_scan(&mut self, scan: &TableView) -> InstallOutcome {
        let outcome = self.install_whole(&scan.rows);
        if !matches!(outcome, InstallOutcome::Malformed(_)) && self.covers(&scan.rows) {
            self.cursor = self.cursor.max(scan.cursor);
        }
        outcome
    }

    /// Installs what the table says has changed since `since`.
    pub fn install_changes(&mut self, changes: &TableView, since: u64) -> InstallOutcome {
        if since > self.cursor {
            return InstallOutcome::Gap;
        }
        let outcome = match head_of(&changes.rows) {
            Err(message) => return InstallOutcome::Malformed(message),
            Ok(None) => InstallOutcome::Stale,
            Ok(Some(head)) if head.version <= self.version() => InstallOutcome::Stale,
            Ok(Some(_)) => self.install_over(&changes.rows),
        };
        if !matches!(outcome, InstallOutcome::Malformed(_)) {
            self.cursor = self.cursor.max(changes.cursor);
        }
        outcome
    }

    /// Installs the rows that one change wrote, as told by a peer.
    pub fn install_change(&mut self, rows: &[TableRow]) -> InstallOutcome {
        let head = match head_of(rows) {
            Err(message) => return InstallOutcome::Malformed(message),
            Ok(None) => return InstallOutcome::Malformed("the head is missing".to_owned()),
            Ok(Some(head)) => head,
        };
        if head.version <= self.version() {
            return InstallOutcome::Stale;
        }
        if head.version != self.version() + 1 || head.rows != rows.len() {
            return InstallOutcome::Gap;
        }
        if rows.iter().any(|row| row.version != rows[0].version) {
            return InstallOutcome::Malformed("the rows are of different commits".to_owned());
        }
        self.install_over(rows)
    }

    /// Installs all rows of a peer.
    pub fn install_copy(&mut self, copy: &ConfigCopy) -> InstallOutcome {
        self.install_whole(&copy.rows)
    }

    fn install_whole(&mut self, rows: &[TableRow]) -> InstallOutcome {
        match head_of(rows) {
            Err(message) => return InstallOutcome::Malformed(message),
            Ok(None) => return InstallOutcome::Stale,
            Ok(Some(head)) if head.version <= self.version() => return InstallOutcome::Stale,
            Ok(Some(_)) => {}
        }
        self.replace(merge(BTreeMap::new(), rows))
    }

    fn install_over(&mut self, rows: &[TableRow]) -> InstallOutcome {
        self.replace(merge(self.rows.clone(), rows))
    }

    fn replace(&mut self, rows: BTreeMap<RowKey, TableRow>) -> InstallOutcome {
        match read_view(&rows, &self.view) {
            Err(message) => InstallOutcome::Malformed(message),
            // Rows from elsewhere may hold one key twice.
            Ok(view) if view.head.version <= self.version() => {
                InstallOutcome::Malformed("the heads disagree".to_owned())
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

    /// Returns whether the state is at least as new as these rows.
    fn covers(&self, rows: &[TableRow]) -> bool {
        match head_of(rows) {
            Ok(Some(head)) => head.version <= self.version(),
            Ok(None) => true,
            Err(_) => false,
        }
    }
}

/// Puts `rows` over those known; deleted rows go.
fn merge(mut known: BTreeMap<RowKey, TableRow>, rows: &[TableRow]) -> BTreeMap<RowKey, TableRow> {
    for row in rows {
        if !row.key.as_str().starts_with(PREFIX) {
            continue;
        }
        match row.value {
            Some(_) => known.insert(row.key.clone(), row.clone()),
            None => known.remove(&row.key),
        };
    }
    known
}

fn head_of(rows: &[TableRow]) -> Result<Option<HeadRecord>, String> {
    let head = rows
        .iter()
        .find(|row| RowKind::of(&row.key) == RowKind::Head);
    head.map(parse).transpose()
}

fn parse<'a, T: Deserialize<'a>>(row: &'a TableRow) -> Result<T, String> {
    let key = row.key.as_str();
    let value = row.value.as_deref().ok_or(format!("{key} is deleted"))?;
    serde_json::from_str(value).map_err(|error| format!("{key}: {error}"))
}

fn read_view(rows: &BTreeMap<RowKey, TableRow>, before: &ConfigView) -> Result<ConfigView, String> {
    let mut view = ConfigView::default();
    let mut keys = HashMap::new();
    let mut operators = HashMap::new();
    for row in rows.values() {
        match RowKind::of(&row.key) {
            RowKind::Head => view.head = parse(row)?,
            RowKind::Declaration => read_declaration(row, before, &mut view)?,
            RowKind::Key(hash) => {
                let KeyRecord {
                    customer, queue, ..
                } = parse(row)?;
                keys.insert(hash, KeyGrant { customer, queue });
            }
            RowKind::Operator(hash) => {
                let record: OperatorRecord = parse(row)?;
                operators.insert(hash, record.name);
            }
            RowKind::Other => {}
        }
    }
    view.keys = sync::Arc::new(keys);
    view.operators = sync::Arc::new(operators);
    Ok(view)
}

fn read_declaration(
    row: &TableRow,
    before: &ConfigView,
    view: &mut ConfigView,
) -> Result<(), String> {
    let record: DeclarationRecord = parse(row)?;
    view.declaration_version = record.version;
    if record.version == before.declaration_version {
        view.declaration = before.declaration.clone();
        view.text = before.text.clone();
        return Ok(());
    }
    let fleet = declaration::from_toml(&record.text).map_err(|error| error.to_string())?;
    view.declaration = sync::Arc::new(fleet);
    view.text = record.text.into();
    Ok(())
}
