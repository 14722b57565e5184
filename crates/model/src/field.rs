//! Fields of a declaration's text: unknown ones, and the places of known ones.

use toml::de::{DeTable, DeValue};

use crate::error::{DeclarationError, TextPosition};

/// Fields of the whole declaration.
const FLEET_FIELDS: &[&str] = &["profile", "spare-pool", "pools", "queues", "teams"];

/// Fields of one pool.
const POOL_FIELDS: &[&str] = &["vms", "max-unavailable", "drain-seconds", "long-jobs"];

/// Fields of one queue.
const QUEUE_FIELDS: &[&str] = &[
    "pool",
    "open",
    "max-timeout-seconds",
    "max-body-bytes",
    "max-waiting-per-team",
    "shares",
];

/// Fields of one customer.
const CUSTOMER_FIELDS: &[&str] = &["limit"];

/// Text of a declaration, parsed, with the place of each field.
#[derive(Clone, Debug)]
pub(crate) struct FieldTree<'a> {
    text: &'a str,
    root: DeTable<'a>,
}

impl<'a> FieldTree<'a> {
    /// Creates a tree of `root`, which was parsed from `text`.
    pub(crate) fn new(text: &'a str, root: DeTable<'a>) -> Self {
        Self { text, root }
    }

    /// Returns the line and column of a field such as `pools.reports.vms`.
    ///
    /// A field that is left out has the place of the table that lacks it.
    pub(crate) fn position(&self, path: &str) -> Option<TextPosition> {
        let mut table = &self.root;
        let mut found = None;
        for part in path.split('.') {
            let Some((key, value)) = table.get_key_value(part) else {
                break;
            };
            found = Some(text_position(self.text, key.span().start));
            match value.get_ref() {
                DeValue::Table(inner) => table = inner,
                _ => break,
            }
        }
        found
    }

    /// Removes all unknown fields and returns a fault for each.
    pub(crate) fn remove_unknown(&mut self) -> Vec<DeclarationError> {
        let mut faults = Vec::new();
        remove_from(self.text, "", &mut self.root, FLEET_FIELDS, &mut faults);
        for (group, fields) in [
            ("pools", POOL_FIELDS),
            ("queues", QUEUE_FIELDS),
            ("teams", CUSTOMER_FIELDS),
        ] {
            let Some(DeValue::Table(group_table)) =
                self.root.get_mut(group).map(|value| value.get_mut())
            else {
                continue;
            };
            for (name, value) in group_table.iter_mut() {
                if let DeValue::Table(table) = value.get_mut() {
                    let path = format!("{group}.{}.", name.get_ref());
                    remove_from(self.text, &path, table, fields, &mut faults);
                }
            }
        }
        faults
    }

    /// Returns the parsed text.
    pub(crate) fn into_root(self) -> DeTable<'a> {
        self.root
    }
}

/// Removes the fields of `table` that are not in `known`.
fn remove_from(
    text: &str,
    path: &str,
    table: &mut DeTable<'_>,
    known: &[&str],
    faults: &mut Vec<DeclarationError>,
) {
    let unknown: Vec<_> = table
        .keys()
        .filter(|key| !known.contains(&key.get_ref().as_ref()))
        .cloned()
        .collect();
    for key in unknown {
        table.remove(&key);
        faults.push(DeclarationError {
            position: Some(text_position(text, key.span().start)),
            field: format!("{path}{}", key.get_ref()),
            message: format!("unknown field; use one of: {}", known.join(", ")),
        });
    }
}

/// Returns the line and column of the byte at `offset`.
pub(crate) fn text_position(text: &str, offset: usize) -> TextPosition {
    let mut end = offset.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    let before = &text[..end];
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    let column = before[line_start..].chars().count() + 1;
    TextPosition { line, column }
}
