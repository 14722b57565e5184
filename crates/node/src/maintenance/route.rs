//! Operator API routes for roll-outs and explanations.

use actix_http::{Method, StatusCode};
use redwing_model::PoolName;
use redwing_planner::explain::Subject;
use redwing_planner::rollout::RolloutRequest;
use redwing_provider::{Category, LocalFuture};

use crate::admin::{AdminHandler, AdminProblem, AdminRequest, AdminResponse};
use crate::audit::{AuditDraft, AuditLog};
use crate::maintenance::MaintenanceService;
use crate::maintenance::runner::wall_clock;

/// Path prefix of roll-outs.
const ROLLOUTS_PREFIX: &str = "rollouts/";

/// Path prefix of explanations.
const EXPLAIN_PREFIX: &str = "explain/";

/// Operator API routes of maintenance.
pub struct MaintenanceRoutes {
    service: MaintenanceService,
    audit: AuditLog,
}

impl MaintenanceRoutes {
    /// Creates the routes over a service.
    pub fn new(service: MaintenanceService, audit: AuditLog) -> Self {
        Self { service, audit }
    }

    async fn rollout(&self, request: &AdminRequest, name: &str) -> AdminResponse {
        let Ok(pool) = PoolName::new(name) else {
            return AdminProblem::Malformed.response("invalid pool name");
        };
        if request.method == Method::POST {
            let command = match request.json::<RolloutRequest>() {
                Ok(body) => body.command,
                Err(response) => return response,
            };
            let result = self.service.command(wall_clock(), &pool, command).await;
            let outcome = match &result {
                Ok(()) => "accepted",
                Err(error) if error.classify() == Category::Refused => "refused",
                Err(_) => "pending",
            };
            self.audit.record(AuditDraft {
                actor: request.operator.clone(),
                result: outcome,
                ..AuditDraft::decision("roll-out", format!("pool/{pool}"), format!("{command:?}"))
            });
            if let Err(error) = result {
                let problem = match error.classify() {
                    Category::Refused => AdminProblem::Conflict,
                    _ => AdminProblem::StoreUnavailable,
                };
                return problem.response(&error.to_string());
            }
        } else if request.method != Method::GET {
            return AdminProblem::WrongMethod.response(request.method.as_str());
        }
        match self.service.read_status(wall_clock(), &pool).await {
            Ok(Some(status)) => AdminResponse::json(StatusCode::OK, &status),
            Ok(None) => AdminProblem::NoSuchPath.response("the pool has never had a roll-out"),
            Err(error) => AdminProblem::StoreUnavailable.response(&error.to_string()),
        }
    }

    async fn explain(&self, kind: &str, name: &str) -> AdminResponse {
        let subject = match kind {
            "vm" => name.parse().map(Subject::Vm),
            "pool" => name.parse().map(Subject::Pool),
            "class" => name.parse().map(Subject::Class),
            _ => return AdminProblem::NoSuchPath.response("the kind must be vm, pool or class"),
        };
        let Ok(subject) = subject else {
            return AdminProblem::Malformed.response("invalid name");
        };
        match self.service.explain(wall_clock(), &subject) {
            Some(explanation) => AdminResponse::json(StatusCode::OK, &explanation),
            None => AdminProblem::NoSuchPath.response("no VM, pool or class of this name"),
        }
    }
}

impl AdminHandler for MaintenanceRoutes {
    fn handle<'a>(&'a self, request: &'a AdminRequest) -> Option<LocalFuture<'a, AdminResponse>> {
        if let Some(pool) = request.path.strip_prefix(ROLLOUTS_PREFIX) {
            return Some(Box::pin(self.rollout(request, pool)));
        }
        let (kind, name) = request.path.strip_prefix(EXPLAIN_PREFIX)?.split_once('/')?;
        Some(Box::pin(self.explain(kind, name)))
    }
}
