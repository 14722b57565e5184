//! Messages of the operator API, shared by the entry process and `redwingctl`.
//!
//! Every request carries `Authorization: Bearer TOKEN` with an operator's
//! token. A request that changes something carries its id in the header
//! [`CHANGE_ID_HEADER`]; repeating it with the same id is safe.
//!
//! | request | answer |
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
//! | `GET /v1/admin/status` | [`NodeStatus`] |
//! | `GET /v1/admin/audit[?FILTERS]` | [`AuditEntry`] a line |
//! | `GET /v1/admin/rollouts/POOL` | status of the pool's roll-out |
//! | `POST /v1/admin/rollouts/POOL`, command | the status after it |
//! | `GET /v1/admin/explain/vm\|pool\|class/NAME` | the decision with its inputs |
//!
//! The status of a [`ChangeResponse`] is 200 for `accepted`, 202 for `pending`,
//! 409 for a conflict, 422 for a faulty declaration, 503 if the table could
//! not be reached. Other failures are [`ProblemReport`]s.

use serde::{Deserialize, Serialize};

use crate::access::KeyHash;
use crate::diff::FieldDifference;
use crate::error::{DeclarationError, TextPosition};
use crate::name::{CustomerName, NodeId, NodeIncarnation, QueueName};

/// Header with the id of a change.
pub const CHANGE_ID_HEADER: &str = "redwing-change-id";

/// Header with the version that the operator last saw; the change is refused
/// if another is in force.
pub const BASE_VERSION_HEADER: &str = "redwing-base-version";

/// Largest number of bytes in the id of a change.
pub const MAX_CHANGE_ID_BYTES: usize = 128;

/// What became of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeStatus {
    /// The table has it and a majority of the entry VMs has installed it.
    Accepted,
    /// It had no effect and never will.
    Refused,
    /// It is not yet known to be accepted; repeat the request with the same id.
    Pending,
}

/// Why a change was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// Another version than the operator's base is in force.
    Conflict,
    /// The content cannot hold.
    #[serde(rename = "faulty")]
    Invalid,
    /// Nothing of that name, hash or version exists.
    NotFound,
    /// The id of the change was used for another change.
    IdReused,
    /// The table could not be reached; nothing was written.
    Unavailable,
}

/// Answer to a request that changes something.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ChangeResponse {
    /// What became of the change.
    pub status: ChangeStatus,
    /// Id of the change.
    pub change: String,
    /// Version that the change made; `None` if it made none, or none yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Why it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<RefusalCause>,
    /// One sentence for the operator.
    pub detail: String,
    /// What differs from the version in force before.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub differences: Vec<FieldDifference>,
    /// All faults of a declaration.
    #[serde(default, rename = "faults", skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<ErrorReport>,
    /// Both sides of a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<ConflictReport>,
    /// Secret of a granted key or token, shown this once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub secret: Option<String>,
    /// Digest of the key or token concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hash: Option<KeyHash>,
}

/// One fault of a declaration, with its place in the text where it has one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ErrorReport {
    /// Line number, counted from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// Column number, counted from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
    /// Path of the field.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub field: String,
    /// What is wrong and what would mend it.
    pub message: String,
}

impl ErrorReport {
    /// Creates a report of a fault, with `position` if it has none of its own.
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

/// Both sides of a change that met another version than its base.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConflictReport {
    /// Version that the operator started from.
    pub base_version: u64,
    /// Version in force.
    pub head_version: u64,
    /// Id of the change that made the version in force.
    pub head_change: String,
    /// Operator who made it.
    pub head_operator: String,
    /// What the version in force has otherwise than the operator's base.
    pub changed_since_base: Vec<FieldDifference>,
    /// What the refused change would have made of the version in force.
    pub proposed: Vec<FieldDifference>,
}

/// A declaration as it was put in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeclarationView {
    /// Version of the configuration that was asked for.
    pub version: u64,
    /// Text of the declaration.
    pub text: String,
}

/// What a change of the configuration was.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// A new declaration.
    Apply,
    /// The content of an earlier version was put in force again.
    #[serde(rename_all = "kebab-case")]
    Rollback {
        /// Version that the content came from.
        to_version: u64,
    },
    /// A key was granted.
    #[serde(rename_all = "kebab-case")]
    GrantKey {
        /// Digest of the key.
        hash: KeyHash,
        /// Customer that the key belongs to.
        #[serde(rename = "team")]
        customer: CustomerName,
        /// Queue that it is good for; `None` for every queue.
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
}

/// One change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HistoryEntry {
    /// Version that the change made.
    pub version: u64,
    /// Version before it.
    pub from_version: u64,
    /// Id of the change.
    pub change: String,
    /// Operator who made it.
    pub operator: String,
    /// When it was made, in milliseconds since 1970.
    pub at_millis: u64,
    /// What it was.
    pub kind: ChangeKind,
    /// Text of the declaration, if the change put one in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declaration: Option<String>,
}

/// Request to put an earlier declaration in force again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RollbackRequest {
    /// Version whose declaration is wanted.
    pub version: u64,
}

/// Request for a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct KeyRequest {
    /// Customer that the key belongs to.
    #[serde(rename = "team")]
    pub customer: CustomerName,
    /// Queue that it is good for; `None` for every queue.
    #[serde(default)]
    pub queue: Option<QueueName>,
}

/// A key in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyView {
    /// Digest of the key.
    pub hash: KeyHash,
    /// Customer that the key belongs to.
    #[serde(rename = "team")]
    pub customer: CustomerName,
    /// Queue that it is good for; `None` for every queue.
    pub queue: Option<QueueName>,
}

/// Request for an operator's token.
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

/// State of one entry process and what it knows of the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct NodeStatus {
    /// The process that answered.
    pub node: NodeIncarnation,
    /// Version of the configuration that it has in force.
    pub version: u64,
    /// Whether it accepts requests with keys.
    pub accepts_keyed: bool,
    /// Whether it is ready for the balancer.
    pub ready: bool,
    /// Whether the table answered its last call.
    pub table_reachable: bool,
    /// Whether it lately heard from a majority of the entry VMs.
    pub majority_reachable: bool,
    /// The entry VMs that it knows of, itself included.
    pub members: Vec<MemberStatus>,
}

/// What an entry process knows of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct MemberStatus {
    /// Name of the entry VM.
    pub node: NodeId,
    /// Version of the configuration that it last told.
    pub version: u64,
    /// Whether it was lately heard of.
    pub reachable: bool,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct AuditEntry {
    /// When it happened, in milliseconds since 1970.
    pub at_millis: u64,
    /// Process that wrote the entry.
    pub node: NodeIncarnation,
    /// Number of the entry at that process.
    pub sequence: u64,
    /// Operator, or `system` for the process's own decisions.
    pub actor: String,
    /// What was done, for example `apply`, `drain` or `eject`.
    pub action: String,
    /// What it was done to, for example `vm/reports-3`.
    pub subject: String,
    /// Version before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from_version: Option<u64>,
    /// Version after.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to_version: Option<u64>,
    /// How it ended, for example `accepted`.
    pub result: String,
    /// Why.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
}

/// Which entries of the audit trail are wanted; all filters must match.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct AuditFilter {
    /// Earliest time, in milliseconds since 1970.
    pub since_millis: Option<u64>,
    /// Latest time, in milliseconds since 1970.
    pub until_millis: Option<u64>,
    /// Operator or `system`.
    pub actor: Option<String>,
    /// Exact action.
    pub action: Option<String>,
    /// Start of the subject.
    pub subject: Option<String>,
    /// Process that wrote the entry.
    pub node: Option<NodeId>,
    /// Largest number of entries; the latest ones are given.
    pub limit: Option<usize>,
}

impl AuditFilter {
    /// Returns whether an entry matches all filters.
    pub fn matches(&self, entry: &AuditEntry) -> bool {
        let equals = |wanted: &Option<String>, value: &str| {
            wanted.as_deref().is_none_or(|wanted| wanted == value)
        };
        let subject = self.subject.as_deref();
        self.since_millis
            .is_none_or(|since| entry.at_millis >= since)
            && self
                .until_millis
                .is_none_or(|until| entry.at_millis <= until)
            && equals(&self.actor, &entry.actor)
            && equals(&self.action, &entry.action)
            && subject.is_none_or(|start| entry.subject.starts_with(start))
            && self
                .node
                .as_ref()
                .is_none_or(|node| *node == entry.node.node)
    }
}

/// Failure of a request, as RFC 9457 has it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProblemReport {
    /// Stable name of the problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short text, the same for every occurrence.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened this time.
    pub detail: String,
}
