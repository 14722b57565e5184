//! Operator API routes that change the configuration.

use std::rc;

use actix_http::Method;
use redwing_model::admin::{
    BASE_VERSION_HEADER, CHANGE_ID_HEADER, ChangeKind, ChangeResponse, ChangeStatus, KeyRequest,
    OperatorRequest, RollbackRequest,
};
use redwing_model::{AccessKey, KeyHash};
use redwing_provider::LocalFuture;
use serde::Deserialize;

use crate::admin::{AdminHandler, AdminProblem, AdminRequest, AdminResponse, now_millis};
use crate::config::{ChangeDraft, ChangeId, ConfigService};

/// Longest name of an operator, in bytes.
const MAX_OPERATOR_NAME_BYTES: usize = 63;

/// Routes that change the configuration.
pub(crate) struct ChangeRoutes {
    service: rc::Rc<ConfigService>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct ApplyQuery {
    dry_run: Option<String>,
}

impl AdminHandler for ChangeRoutes {
    fn handle<'a>(&'a self, request: &'a AdminRequest) -> Option<LocalFuture<'a, AdminResponse>> {
        let (path, rest) = match request.path.split_once('/') {
            Some((path, rest)) => (path, Some(rest)),
            None => (request.path.as_str(), None),
        };
        let response: LocalFuture<'a, Result<AdminResponse, AdminResponse>> =
            match (&request.method, path, rest) {
                (&Method::PUT, "declaration", None) => Box::pin(self.apply(request)),
                (&Method::POST, "rollback", None) => Box::pin(self.roll_back(request)),
                (&Method::POST, "keys", None) => Box::pin(self.grant_key(request)),
                (&Method::DELETE, "keys", Some(hash)) => {
                    Box::pin(self.withdraw(request, hash, |hash| ChangeKind::WithdrawKey { hash }))
                }
                (&Method::POST, "operators", None) => Box::pin(self.grant_operator(request)),
                (&Method::DELETE, "operators", Some(hash)) => {
                    Box::pin(
                        self.withdraw(request, hash, |hash| ChangeKind::WithdrawOperator { hash }),
                    )
                }
                _ => return None,
            };
        Some(Box::pin(async {
            response.await.unwrap_or_else(|problem| problem)
        }))
    }
}

impl ChangeRoutes {
    pub(crate) fn new(service: rc::Rc<ConfigService>) -> Self {
        Self { service }
    }

    async fn apply(&self, request: &AdminRequest) -> Result<AdminResponse, AdminResponse> {
        let query: ApplyQuery = request.query()?;
        let text = String::from_utf8(request.body.clone());
        let text = text.map_err(|_| AdminProblem::Malformed.response("body: not UTF-8"))?;
        let mut draft = draft(request, ChangeKind::Apply)?;
        draft.declaration = Some(text);
        let response = match query.dry_run {
            Some(_) => self.service.dry_run(&draft).await,
            None => self.service.change(&draft).await,
        };
        Ok(AdminResponse::change(&response))
    }

    async fn roll_back(&self, request: &AdminRequest) -> Result<AdminResponse, AdminResponse> {
        let RollbackRequest { version } = request.json()?;
        let text = self.service.declaration_at(version).await;
        let text = text.map_err(|error| AdminResponse::platform_error(&error))?;
        let not_found = || AdminProblem::NoSuchPath.response(&format!("no version {version}"));
        let kind = ChangeKind::Rollback {
            to_version: version,
        };
        let mut draft = draft(request, kind)?;
        draft.declaration = Some(text.ok_or_else(not_found)?);
        let response = self.service.change(&draft).await;
        Ok(AdminResponse::change(&response))
    }

    async fn grant_key(&self, request: &AdminRequest) -> Result<AdminResponse, AdminResponse> {
        let KeyRequest { customer, queue } = request.json()?;
        let secret = AccessKey::generate();
        let hash = secret.hash();
        let kind = ChangeKind::GrantKey {
            hash,
            customer,
            queue,
        };
        self.grant(request, kind, &secret).await
    }

    async fn grant_operator(&self, request: &AdminRequest) -> Result<AdminResponse, AdminResponse> {
        let OperatorRequest { name } = request.json()?;
        let visible = name.bytes().all(|byte| byte.is_ascii_graphic());
        if name.is_empty() || name.len() > MAX_OPERATOR_NAME_BYTES || !visible {
            let detail =
                format!("name: use 1 to {MAX_OPERATOR_NAME_BYTES} visible ASCII characters");
            return Err(AdminProblem::Malformed.response(&detail));
        }
        let secret = AccessKey::generate();
        let hash = secret.hash();
        self.grant(request, ChangeKind::GrantOperator { hash, name }, &secret)
            .await
    }

    /// Grants `secret` and returns it in the response, unless an earlier request
    /// with the same change id was granted another secret.
    async fn grant(
        &self,
        request: &AdminRequest,
        kind: ChangeKind,
        secret: &AccessKey,
    ) -> Result<AdminResponse, AdminResponse> {
        let draft = draft(request, kind)?;
        let mut response = self.service.change(&draft).await;
        if may_be_granted(&response, secret) {
            response.secret = Some(secret.expose().to_owned());
        }
        Ok(AdminResponse::change(&response))
    }

    async fn withdraw(
        &self,
        request: &AdminRequest,
        hash: &str,
        kind: impl FnOnce(KeyHash) -> ChangeKind,
    ) -> Result<AdminResponse, AdminResponse> {
        let hash = KeyHash::from_hex(hash)
            .map_err(|error| AdminProblem::Malformed.response(&error.to_string()))?;
        let response = self.service.change(&draft(request, kind(hash))?).await;
        Ok(AdminResponse::change(&response))
    }
}

/// Returns whether `secret` is, or may be, the one that the change granted.
fn may_be_granted(response: &ChangeResponse, secret: &AccessKey) -> bool {
    response.status != ChangeStatus::Refused && response.hash == Some(secret.hash())
}

/// Returns the draft of the requested change, without a declaration.
pub(crate) fn draft(
    request: &AdminRequest,
    kind: ChangeKind,
) -> Result<ChangeDraft, AdminResponse> {
    let malformed = |detail: &str| AdminProblem::Malformed.response(detail);
    let header = request.headers.get(CHANGE_ID_HEADER);
    let id = match header {
        Some(id) => id.to_str().unwrap_or_default().parse(),
        None => Ok(ChangeId::generate()),
    };
    let base_version = match request.headers.get(BASE_VERSION_HEADER) {
        Some(version) => {
            let version = version
                .to_str()
                .ok()
                .and_then(|version| version.parse().ok());
            let malformed_version = || malformed("Redwing-Base-Version: use a version number");
            Some(version.ok_or_else(malformed_version)?)
        }
        None => None,
    };
    Ok(ChangeDraft {
        id: id.map_err(|error| malformed(&error))?,
        id_chosen: header.is_some(),
        operator: request.operator.clone(),
        base_version,
        kind,
        declaration: None,
        at_millis: now_millis(),
    })
}
