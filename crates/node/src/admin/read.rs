//! Operator API routes that read the configuration, the status and the audit trail.

use std::rc;

use actix_http::Method;
use redwing_model::admin::{AuditFilter, DeclarationView, KeyView, NodeStatus, OperatorView};
use redwing_provider::LocalFuture;
use serde::Deserialize;

use crate::admin::{AdminHandler, AdminProblem, AdminRequest, AdminResponse, OK};
use crate::config::{ConfigService, propagation};

/// Number of history entries returned if the query has no limit.
const DEFAULT_HISTORY_ENTRIES: usize = 50;

/// Paths for which an unsupported method is reported instead of an unknown path.
const KNOWN_PATHS: &[&str] = &[
    "audit",
    "declaration",
    "history",
    "keys",
    "operators",
    "rollback",
    "status",
];

/// Routes that read the configuration, the status and the audit trail.
pub(crate) struct ReadRoutes {
    service: rc::Rc<ConfigService>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VersionQuery {
    version: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HistoryQuery {
    limit: Option<usize>,
}

impl AdminHandler for ReadRoutes {
    fn handle<'a>(&'a self, request: &'a AdminRequest) -> Option<LocalFuture<'a, AdminResponse>> {
        if request.method != Method::GET {
            let known = KNOWN_PATHS.contains(&request.path.as_str());
            let response = AdminProblem::WrongMethod.response(request.method.as_str());
            return known.then(|| Box::pin(async { response }) as LocalFuture<'a, AdminResponse>);
        }
        let response: LocalFuture<'a, Result<AdminResponse, AdminResponse>> =
            match request.path.as_str() {
                "audit" => Box::pin(self.audit(request)),
                "declaration" => Box::pin(self.declaration(request)),
                "history" => Box::pin(self.history(request)),
                "keys" => Box::pin(async { Ok(self.keys()) }),
                "operators" => Box::pin(async { Ok(self.operators()) }),
                "status" => Box::pin(async { Ok(self.status()) }),
                _ => return None,
            };
        Some(Box::pin(async {
            response.await.unwrap_or_else(|problem| problem)
        }))
    }
}

impl ReadRoutes {
    pub(crate) fn new(service: rc::Rc<ConfigService>) -> Self {
        Self { service }
    }

    async fn audit(&self, request: &AdminRequest) -> Result<AdminResponse, AdminResponse> {
        let filter: AuditFilter = request.query()?;
        let entries = self.service.audit().query(&filter).await;
        let entries = entries.map_err(|error| AdminResponse::platform_error(&error))?;
        Ok(AdminResponse::json_lines(&entries))
    }

    async fn declaration(&self, request: &AdminRequest) -> Result<AdminResponse, AdminResponse> {
        let VersionQuery { version } = request.query()?;
        let view = self.service.view();
        let (version, text) = match version {
            Some(version) if version != view.head.version => {
                let text = self.service.declaration_at(version).await;
                let text = text.map_err(|error| AdminResponse::platform_error(&error))?;
                let not_found =
                    || AdminProblem::NoSuchPath.response(&format!("no version {version}"));
                (version, text.ok_or_else(not_found)?)
            }
            _ => (view.head.version, view.text.to_string()),
        };
        Ok(AdminResponse::json(OK, &DeclarationView { version, text }))
    }

    async fn history(&self, request: &AdminRequest) -> Result<AdminResponse, AdminResponse> {
        let HistoryQuery { limit } = request.query()?;
        let entries = self
            .service
            .history(limit.unwrap_or(DEFAULT_HISTORY_ENTRIES))
            .await;
        let entries = entries.map_err(|error| AdminResponse::platform_error(&error))?;
        Ok(AdminResponse::json(OK, &entries))
    }

    fn keys(&self) -> AdminResponse {
        let view = self.service.view();
        let mut keys: Vec<KeyView> = view
            .keys
            .iter()
            .map(|(hash, grant)| KeyView {
                hash: *hash,
                customer: grant.customer.clone(),
                queue: grant.queue.clone(),
            })
            .collect();
        keys.sort_by(|left, right| (&left.customer, left.hash).cmp(&(&right.customer, right.hash)));
        AdminResponse::json(OK, &keys)
    }

    fn operators(&self) -> AdminResponse {
        let view = self.service.view();
        let mut operators: Vec<OperatorView> = view
            .operators
            .iter()
            .map(|(hash, name)| OperatorView {
                hash: *hash,
                name: name.clone(),
            })
            .collect();
        operators.sort_by(|left, right| (&left.name, left.hash).cmp(&(&right.name, right.hash)));
        AdminResponse::json(OK, &operators)
    }

    fn status(&self) -> AdminResponse {
        let service = &self.service;
        let snapshot = service.snapshot();
        let peers = service.peers();
        let reachable = peers.reachable(service.freshness_limit());
        let status = NodeStatus {
            node: service.audit().node().clone(),
            version: service.version(),
            accepts_keyed: snapshot.accepts_keyed,
            ready: snapshot.ready,
            table_reachable: service.table_reachable(),
            majority_reachable: propagation::is_majority(reachable + 1, peers.peer_count()),
            evacuated: service.view().evacuations.keys().cloned().collect(),
            members: peers.members(),
        };
        AdminResponse::json(OK, &status)
    }
}
