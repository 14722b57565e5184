//! Responses to configuration changes.

use redwing_model::admin::{
    ChangeKind, ChangeResponse, ChangeStatus, ConflictReport, ErrorReport, RefusalCause,
};
use redwing_model::diff::{self, FieldDifference};
use redwing_model::evacuation::EvacuationVerdict;
use redwing_model::{FleetDeclaration, declaration};

use crate::config::change::ChangeDraft;
use crate::config::evacuation::{self, VmPlaces};
use crate::config::state::ConfigView;

/// Returns the name of a status in the audit trail.
pub(crate) fn status_name(status: ChangeStatus) -> &'static str {
    match status {
        ChangeStatus::Accepted => "accepted",
        ChangeStatus::Refused => "refused",
        ChangeStatus::Pending => "pending",
    }
}

/// Returns the response to a change that the table has committed;
/// `has_majority` tells whether a majority of members has installed it.
pub(crate) fn committed(draft: &ChangeDraft, version: u64, has_majority: bool) -> ChangeResponse {
    if !has_majority {
        let detail =
            "the table has committed the change, but too few entry VMs have acknowledged it yet";
        return pending(draft, Some(version), detail);
    }
    let detail = format!("in force as version {version}");
    response_of(draft, ChangeStatus::Accepted, Some(version), detail)
}

pub(crate) fn pending(draft: &ChangeDraft, version: Option<u64>, detail: &str) -> ChangeResponse {
    let detail = format!("{detail}; repeat the request with the same id");
    response_of(draft, ChangeStatus::Pending, version, detail)
}

pub(crate) fn refused(
    draft: &ChangeDraft,
    cause: RefusalCause,
    detail: impl Into<String>,
) -> ChangeResponse {
    ChangeResponse {
        cause: Some(cause),
        ..response_of(draft, ChangeStatus::Refused, None, detail.into())
    }
}

/// Returns the response to a change that finds what it requests in force.
pub(crate) fn unchanged(draft: &ChangeDraft, detail: String) -> ChangeResponse {
    ChangeResponse {
        unchanged: true,
        ..response_of(draft, ChangeStatus::Accepted, None, detail)
    }
}

/// Returns the response to a dry run of a change that would be accepted.
pub(crate) fn dry_run(draft: &ChangeDraft, view: &ConfigView) -> ChangeResponse {
    let detail = "dry run: nothing was changed".to_owned();
    ChangeResponse {
        differences: differences(view, draft),
        ..response_of(draft, ChangeStatus::Accepted, None, detail)
    }
}

/// Returns the response to a change whose base is not the version in force.
pub(crate) fn conflict(
    draft: &ChangeDraft,
    base_version: u64,
    base_text: Option<&str>,
    view: &ConfigView,
) -> ChangeResponse {
    let base = base_text.and_then(|text| declaration::from_toml(text).ok());
    let head = &view.head;
    let report = ConflictReport {
        base_version,
        head_version: head.version,
        head_change: head.change.clone(),
        head_operator: head.operator.clone(),
        changed_since_base: base.map_or_else(Vec::new, |base| compare(&base, &view.declaration)),
        proposed: differences(view, draft),
    };
    let detail = format!(
        "version {} by {} is in force, not {base_version}; review the differences and apply again",
        head.version, head.operator
    );
    ChangeResponse {
        conflict: Some(report),
        ..refused(draft, RefusalCause::Conflict, detail)
    }
}

/// Returns the response to a change that is not made: the refusal of one that is invalid
/// for the configuration in force, or the acceptance of one that changes nothing.
pub(crate) fn check(
    draft: &ChangeDraft,
    view: &ConfigView,
    places: &VmPlaces,
) -> Option<ChangeResponse> {
    let fleet = &view.declaration;
    match &draft.kind {
        ChangeKind::Apply | ChangeKind::Rollback { .. } => check_declaration(draft),
        ChangeKind::GrantKey {
            customer, queue, ..
        } => {
            if !fleet.customers.contains_key(customer) {
                return Some(not_found(
                    draft,
                    &format!("customer {customer} is not declared"),
                ));
            }
            let queue = queue.as_ref()?;
            let declared = fleet.queues.contains_key(queue);
            (!declared).then(|| not_found(draft, &format!("queue {queue} is not declared")))
        }
        ChangeKind::WithdrawKey { hash } => {
            let granted = view.keys.contains_key(hash);
            (!granted).then(|| not_found(draft, "no key with this digest is in force"))
        }
        ChangeKind::WithdrawOperator { hash } => {
            let granted = view.operators.contains_key(hash);
            (!granted).then(|| not_found(draft, "no token with this digest is in force"))
        }
        ChangeKind::GrantOperator { .. } => None,
        ChangeKind::Evacuate { .. } | ChangeKind::UndoEvacuation { .. } => {
            check_evacuation(draft, view, places)
        }
    }
}

fn check_evacuation(
    draft: &ChangeDraft,
    view: &ConfigView,
    places: &VmPlaces,
) -> Option<ChangeResponse> {
    let (verdict, reason) = evacuation::check(&draft.kind, places, &view.evacuations);
    let cause = match verdict {
        EvacuationVerdict::Allowed => return None,
        EvacuationVerdict::Unchanged => return Some(unchanged(draft, reason)),
        EvacuationVerdict::Unknown => RefusalCause::NotFound,
        EvacuationVerdict::Last | EvacuationVerdict::Second => RefusalCause::Disallowed,
        EvacuationVerdict::PlacesUnread => RefusalCause::Unavailable,
    };
    Some(refused(draft, cause, reason))
}

/// Returns the refusal of an invalid declaration, with all its errors.
pub(crate) fn check_declaration(draft: &ChangeDraft) -> Option<ChangeResponse> {
    let text = draft.declaration.as_deref().unwrap_or_default();
    let error = declaration::from_toml(text).err()?;
    let position = error.position();
    let mut errors: Vec<ErrorReport> = error
        .declaration_errors()
        .iter()
        .map(|declaration_error| ErrorReport::new(position, declaration_error))
        .collect();
    if errors.is_empty() {
        errors.push(ErrorReport {
            line: position.map(|position| position.line),
            column: position.map(|position| position.column),
            field: String::new(),
            message: error.to_string(),
        });
    }
    Some(ChangeResponse {
        errors,
        ..refused(draft, RefusalCause::Invalid, "the declaration is invalid")
    })
}

/// Returns the fields of the declaration in force that the change modifies.
pub(crate) fn differences(view: &ConfigView, draft: &ChangeDraft) -> Vec<FieldDifference> {
    let text = draft.declaration.as_deref();
    let proposed = text.and_then(|text| declaration::from_toml(text).ok());
    proposed.map_or_else(Vec::new, |proposed| compare(&view.declaration, &proposed))
}

fn compare(before: &FleetDeclaration, after: &FleetDeclaration) -> Vec<FieldDifference> {
    diff::differences(before, after).unwrap_or_default()
}

fn not_found(draft: &ChangeDraft, detail: &str) -> ChangeResponse {
    refused(draft, RefusalCause::NotFound, detail)
}

fn response_of(
    draft: &ChangeDraft,
    status: ChangeStatus,
    version: Option<u64>,
    detail: String,
) -> ChangeResponse {
    ChangeResponse {
        status,
        change: draft.id.as_str().to_owned(),
        version,
        cause: None,
        detail,
        differences: Vec::new(),
        errors: Vec::new(),
        conflict: None,
        secret: None,
        hash: draft.hash(),
        unchanged: false,
    }
}
