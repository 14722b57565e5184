//! Differences between two declarations, field by field.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::declaration::FleetDeclaration;
use crate::error::{Error, Result};

/// Field whose value differs between two declarations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct FieldDifference {
    /// Path of the field, for example `pools.reports.max-unavailable`.
    pub field: String,
    /// Value in the earlier declaration; `None` if it lacks the field.
    pub before: Option<String>,
    /// Value in the later declaration; `None` if it lacks the field.
    pub after: Option<String>,
}

/// Returns every field that differs, sorted by path.
///
/// # Errors
///
/// Fails if a value cannot be represented in TOML.
///
/// # Examples
///
/// ```
/// use redwing_model::{FleetDeclaration, diff};
///
/// let before = redwing_model::from_toml("[teams.sales]\nlimit = 1")?;
/// let after = redwing_model::from_toml("[teams.sales]\nlimit = 2")?;
/// let differences = diff::differences(&before, &after)?;
/// assert_eq!(differences[0].field, "teams.sales.limit");
/// # Ok::<(), redwing_model::Error>(())
/// ```
pub fn differences(
    before: &FleetDeclaration,
    after: &FleetDeclaration,
) -> Result<Vec<FieldDifference>> {
    let mut before_fields = flatten_fields(before)?;
    let mut differences = Vec::new();
    for (field, after) in flatten_fields(after)? {
        let before = before_fields.remove(&field);
        if before.as_ref() != Some(&after) {
            differences.push(FieldDifference {
                field,
                before,
                after: Some(after),
            });
        }
    }
    let removed = before_fields
        .into_iter()
        .map(|(field, value)| FieldDifference {
            field,
            before: Some(value),
            after: None,
        });
    differences.extend(removed);
    differences.sort_by(|left, right| left.field.cmp(&right.field));
    Ok(differences)
}

fn flatten_fields(fleet: &FleetDeclaration) -> Result<BTreeMap<String, String>> {
    let value = toml::Value::try_from(fleet).map_err(|error| Error::encode(error.to_string()))?;
    let mut fields = BTreeMap::new();
    collect_fields("", &value, &mut fields);
    Ok(fields)
}

fn collect_fields(path: &str, value: &toml::Value, fields: &mut BTreeMap<String, String>) {
    let toml::Value::Table(table) = value else {
        fields.insert(path.to_owned(), value.to_string());
        return;
    };
    for (name, child) in table {
        let child_path = match path {
            "" => name.clone(),
            _ => format!("{path}.{name}"),
        };
        collect_fields(&child_path, child, fields);
    }
}
