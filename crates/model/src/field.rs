//! Detection of unknown fields in a declaration and lookup of field positions.

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

/// Parsed text of a declaration, with the position of each field.
#[derive(Clone, Debug)]
pub(crate) struct FieldTree<'a> {
    text: &'a str,
    root: DeTable<'a>,
}

impl<'a> FieldTree<'a> {
    /// Creates a tree from `root`, which was parsed from `text`.
    pub(crate) fn new(text: &'a str, root: DeTable<'a>) -> Self {
        Self { text, root }
    }

    /// Returns the line and column of a field such as `pools.reports.vms`.
    ///
    /// For a field that is left out, returns the position of the innermost
    /// table that lacks it.
    pub(crate) fn position(&self, path: &str) -> Option<TextPosition> {
        let mut table = &self.root;
        let mut position = None;
        for segment in path.split('.') {
            let Some((key, value)) = table.get_key_value(segment) else {
                break;
            };
            position = Some(text_position(self.text, key.span().start));
            match value.get_ref() {
                DeValue::Table(child) => table = child,
                _ => break,
            }
        }
        position
    }

    /// Removes all unknown fields and returns an error for each.
    pub(crate) fn remove_unknown_fields(&mut self) -> Vec<DeclarationError> {
        let mut errors = Vec::new();
        remove_unknown_from(self.text, "", &mut self.root, FLEET_FIELDS, &mut errors);
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
                    let path_prefix = format!("{group}.{}.", name.get_ref());
                    remove_unknown_from(self.text, &path_prefix, table, fields, &mut errors);
                }
            }
        }
        errors
    }

    /// Returns the parsed text.
    pub(crate) fn into_root(self) -> DeTable<'a> {
        self.root
    }
}

/// Removes the fields of `table` that are not in `known_fields`.
///
/// `path_prefix` is the path of the table with a final dot, or empty for the root.
fn remove_unknown_from(
    text: &str,
    path_prefix: &str,
    table: &mut DeTable<'_>,
    known_fields: &[&str],
    errors: &mut Vec<DeclarationError>,
) {
    let unknown: Vec<_> = table
        .keys()
        .filter(|key| !known_fields.contains(&key.get_ref().as_ref()))
        .cloned()
        .collect();
    for key in unknown {
        table.remove(&key);
        errors.push(DeclarationError {
            position: Some(text_position(text, key.span().start)),
            field: format!("{path_prefix}{}", key.get_ref()),
            message: format!("unknown field; use one of: {}", known_fields.join(", ")),
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
