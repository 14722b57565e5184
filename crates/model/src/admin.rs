//! Messages of the operator API, shared by the entry process and `redwingctl`.
//!
//! Every request carries `Authorization: Bearer TOKEN` with an operator's
//! token. A request that changes the configuration carries a change id in the
//! header [`CHANGE_ID_HEADER`]; repeating it with the same id is safe.
//!
//! | request | response |
//! | --- | --- |
//! | `PUT /v1/admin/declaration[?dry-run]`, TOML | [`ChangeResponse`] |
//! | `GET /v1/admin/declaration[?version=N]` | [`DeclarationView`] |
//! | `GET /v1/admin/history[?limit=N]` | list of [`HistoryEntry`], latest first |
//! | `POST /v1/admin/rollback`, [`RollbackRequest`] | [`ChangeResponse`] |
//! | `GET /v1/admin/keys` | list of [`KeyView`] |
//! | `POST /v1/admin/keys`, [`KeyRequest`] | [`ChangeResponse`] with the secret |
//! | `DELETE /v1/admin/keys/HASH` | [`ChangeResponse`] |
//! | `GET /v1/admin/operators` | list of [`OperatorView`] |
//! | `POST /v1/admin/operators`, [`OperatorRequest`] | [`ChangeResponse`] with the secret |
//! | `DELETE /v1/admin/operators/HASH` | [`ChangeResponse`] |
//! | `GET /v1/admin/evacuations` | list of [`EvacuationView`] |
//! | `POST /v1/admin/evacuations/DATA-CENTRE`, [`EvacuationRequest`] or empty | [`ChangeResponse`] |
//! | `DELETE /v1/admin/evacuations/DATA-CENTRE` | [`ChangeResponse`] |
//! | `GET /v1/admin/status` | [`NodeStatus`] |
//! | `GET /v1/admin/audit[?FILTERS]` | one [`AuditEntry`] per line |
//! | `GET /v1/admin/rollouts/POOL` | status of the pool's roll-out |
//! | `POST /v1/admin/rollouts/POOL`, command | status after the command |
//! | `GET /v1/admin/explain/vm\|pool\|class/NAME` | decision with its inputs |
//!
//! The status of a [`ChangeResponse`] is 200 for `accepted`, 202 for `pending`,
//! 404 for an unknown object, 409 for a conflict, 422 for an invalid declaration,
//! 503 if the table could not be reached. Other failures are [`ProblemReport`]s.

use serde::{Deserialize, Serialize};

use crate::access::KeyHash;
use crate::diff::FieldDifference;
use crate::error::{DeclarationError, TextPosition};
use crate::name::{CustomerName, DataCentre, NodeId, NodeIncarnation, QueueName};

/// Header that carries the change id.
pub const CHANGE_ID_HEADER: &str = "redwing-change-id";

/// Header that carries the version on which the operator based the change.
///
/// The change is refused if another version is in force.
pub const BASE_VERSION_HEADER: &str = "redwing-base-version";

/// Largest length of a change id, in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 128;

/// Status of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeStatus {
    /// The change is stored in the table and installed on a majority of the
    /// entry VMs.
    Accepted,
    /// The change had no effect and will have none.
    Refused,
    /// It is not yet certain whether the change is accepted; repeat the request
    /// with the same id.
    Pending,
}

/// Reason for which a change was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// The version in force is not the operator's base version.
    Conflict,
    /// The content of the change is invalid.
    #[serde(rename = "faulty")]
    Invalid,
    /// No entry with that name, hash or version exists.
    NotFound,
    /// The change id was already used for a different change.
    IdReused,
    /// The state in force does not allow the change, whoever requests it.
    Disallowed,
    /// The table could not be reached; nothing was written.
    Unavailable,
}

/// Response to a request that changes the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ChangeResponse {
    /// Status of the change.
    pub status: ChangeStatus,
    /// Change id.
    pub change: String,
    /// Version that the change created; `None` if it created none so far.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Reason for the refusal, if the change was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<RefusalCause>,
    /// One-sentence explanation for the operator.
    pub detail: String,
    /// Fields that differ from the version previously in force.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub differences: Vec<FieldDifference>,
    /// All errors found in the declaration.
    #[serde(default, rename = "faults", skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<ErrorReport>,
    /// Details of a conflict with the version in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<ConflictReport>,
    /// Secret of a granted key or token, shown only in this response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub secret: Option<String>,
    /// Digest of the key or token that was granted or withdrawn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hash: Option<KeyHash>,
    /// Whether an accepted change found that what it requests is in force already.
    #[serde(default, skip_serializing_if = "is_false")]
    pub unchanged: bool,
}

fn is_false(value: &bool) -> bool {
    !*value
}

/// Error in a declaration, with its position in the text if it has one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ErrorReport {
    /// Line number, counted from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// Column number, counted from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
    /// Path of the field; empty if the error concerns no single field.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub field: String,
    /// Description of the error and how to correct it.
    pub message: String,
}

impl ErrorReport {
    /// Creates a report of `error`, using `position` if the error has none of its own.
    pub fn new(position: Option<TextPosition>, error: &DeclarationError) -> Self {
        let position = error.position.or(position);
        Self {
            line: position.map(|position| position.line),
            column: position.map(|position| position.column),
            field: error.field.clone(),
            message: error.message.clone(),
        }
    }
}

/// Conflict between a change and a version in force that is not its base.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConflictReport {
    /// Version on which the operator based the change.
    pub base_version: u64,
    /// Version in force.
    pub head_version: u64,
    /// Id of the change that created the version in force.
    pub head_change: String,
    /// Operator who made that change.
    pub head_operator: String,
    /// Fields that differ between the base version and the version in force.
    pub changed_since_base: Vec<FieldDifference>,
    /// Fields that the refused change would have altered in the version in force.
    pub proposed: Vec<FieldDifference>,
}

/// Declaration of one version of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeclarationView {
    /// Requested version of the configuration.
    pub version: u64,
    /// Text of the declaration.
    pub text: String,
}

/// Kind of a configuration change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// A new declaration.
    Apply,
    /// The declaration of an earlier version was restored.
    #[serde(rename_all = "kebab-case")]
    Rollback {
        /// Version that was restored.
        to_version: u64,
    },
    /// A key was granted.
    #[serde(rename_all = "kebab-case")]
    GrantKey {
        /// Digest of the key.
        hash: KeyHash,
        /// Customer to whom the key belongs.
        #[serde(rename = "team")]
        customer: CustomerName,
        /// Queue for which the key is valid; `None` for every queue.
        queue: Option<QueueName>,
    },
    /// A key was withdrawn.
    #[serde(rename_all = "kebab-case")]
    WithdrawKey {
        /// Digest of the key.
        hash: KeyHash,
    },
    /// An operator's token was granted.
    #[serde(rename_all = "kebab-case")]
    GrantOperator {
        /// Digest of the token.
        hash: KeyHash,
        /// Name of the operator.
        name: String,
    },
    /// An operator's token was withdrawn.
    #[serde(rename_all = "kebab-case")]
    WithdrawOperator {
        /// Digest of the token.
        hash: KeyHash,
    },
    /// A data centre was evacuated.
    #[serde(rename_all = "kebab-case")]
    Evacuate {
        /// Data centre that gets no new requests.
        data_centre: DataCentre,
        /// Whether other data centres may be evacuated at the same time.
        also: bool,
    },
    /// The evacuation of a data centre was undone.
    #[serde(rename_all = "kebab-case")]
    UndoEvacuation {
        /// Data centre that gets requests again.
        data_centre: DataCentre,
    },
}

/// One change in the configuration's history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HistoryEntry {
    /// Version that the change created.
    pub version: u64,
    /// Version before the change.
    pub from_version: u64,
    /// Id of the change.
    pub change: String,
    /// Operator who made the change.
    pub operator: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Text of the declaration, if the change put one in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declaration: Option<String>,
}

/// Request to restore an earlier declaration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RollbackRequest {
    /// Version whose declaration is restored.
    pub version: u64,
}

/// Request to grant a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct KeyRequest {
    /// Customer to whom the key belongs.
    #[serde(rename = "team")]
    pub customer: CustomerName,
    /// Queue for which the key is valid; `None` for every queue.
    #[serde(default)]
    pub queue: Option<QueueName>,
}

/// A key in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyView {
    /// Digest of the key.
    pub hash: KeyHash,
    /// Customer to whom the key belongs.
    #[serde(rename = "team")]
    pub customer: CustomerName,
    /// Queue for which the key is valid; `None` for every queue.
    pub queue: Option<QueueName>,
}

/// Request to grant an operator's token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OperatorRequest {
    /// Name of the operator.
    pub name: String,
}

/// An operator's token in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OperatorView {
    /// Digest of the token.
    pub hash: KeyHash,
    /// Name of the operator.
    pub name: String,
}

/// Request to evacuate a data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct EvacuationRequest {
    /// Whether other data centres may be evacuated at the same time.
    pub also: bool,
}

/// An evacuation in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EvacuationView {
    /// Data centre that gets no new requests.
    pub data_centre: DataCentre,
    /// Version that began the evacuation.
    pub version: u64,
    /// Operator who requested it.
    pub operator: String,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// Number of VMs in the data centre, as last read by the process.
    pub vms: u32,
}

/// Status of one entry process, with its view of the cluster.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct NodeStatus {
    /// Process that sent the response.
    pub node: NodeIncarnation,
    /// Version of the configuration in force at this process.
    pub version: u64,
    /// Whether the process accepts requests with keys.
    pub accepts_keyed: bool,
    /// Whether the process is ready to receive traffic from the balancer.
    pub ready: bool,
    /// Whether the table responded to the latest calls.
    pub table_reachable: bool,
    /// Whether the entry VMs that recently sent messages form a majority,
    /// together with this one.
    pub majority_reachable: bool,
    /// Evacuated data centres, which get no new requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<DataCentre>,
    /// Known entry VMs, including this one.
    pub members: Vec<MemberStatus>,
}

/// Status of one entry VM as seen by an entry process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct MemberStatus {
    /// Name of the entry VM.
    pub node: NodeId,
    /// Latest version of the configuration that it announced.
    pub version: u64,
    /// Whether it has recently sent a message.
    pub reachable: bool,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct AuditEntry {
    /// Time of the action, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// Process that wrote the entry.
    pub node: NodeIncarnation,
    /// Sequence number of the entry at that process.
    pub sequence: u64,
    /// Name of the operator, or `system` for a decision of the process itself.
    pub actor: String,
    /// Action, for example `apply`, `drain` or `eject`.
    pub action: String,
    /// Object of the action, for example `vm/reports-3`.
    pub subject: String,
    /// Version of the configuration before the action.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from_version: Option<u64>,
    /// Version of the configuration after the action.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to_version: Option<u64>,
    /// Result of the action, for example `accepted`.
    pub result: String,
    /// Reason for the action.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
}

/// Filter on the audit trail; an entry has to match every field that is set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct AuditFilter {
    /// Earliest time, in milliseconds since the Unix epoch.
    pub since_millis: Option<u64>,
    /// Latest time, in milliseconds since the Unix epoch.
    pub until_millis: Option<u64>,
    /// Name of the operator, or `system`.
    pub actor: Option<String>,
    /// Action, matched exactly.
    pub action: Option<String>,
    /// Prefix of the subject.
    pub subject: Option<String>,
    /// Process that wrote the entry.
    pub node: Option<NodeId>,
    /// Largest number of entries; the latest ones are returned.
    pub limit: Option<usize>,
}

impl AuditFilter {
    /// Returns whether `entry` matches every field except `limit`.
    pub fn matches(&self, entry: &AuditEntry) -> bool {
        let equals = |expected: &Option<String>, value: &str| {
            expected.as_deref().is_none_or(|expected| expected == value)
        };
        let subject = self.subject.as_deref();
        self.since_millis
            .is_none_or(|since| entry.at_millis >= since)
            && self
                .until_millis
                .is_none_or(|until| entry.at_millis <= until)
            && equals(&self.actor, &entry.actor)
            && equals(&self.action, &entry.action)
            && subject.is_none_or(|prefix| entry.subject.starts_with(prefix))
            && self
                .node
                .as_ref()
                .is_none_or(|node| *node == entry.node.node)
    }
}

/// Failure of a request as a problem details object (RFC 9457).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProblemReport {
    /// Stable URI of the problem type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short description, the same for every occurrence of the problem.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Description of this occurrence.
    pub detail: String,
}
