//! Requests and answers of the operator API.

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use redwing_model::admin::{ChangeResponse, ChangeStatus, ProblemReport, RefusalCause};
use redwing_provider::{Category, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

const JSON: &str = "application/json";
const JSON_LINES: &str = "application/jsonl";
const PROBLEM: &str = "application/problem+json";

/// Prefix of all problem types.
const PROBLEM_PREFIX: &str = "urn:redwinglb:problem:";

/// Request of an operator, whose token was checked.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// Method.
    pub method: Method,
    /// Path after `/v1/admin/`.
    pub path: String,
    /// Query, as it was sent.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Name of the operator.
    pub operator: String,
    /// Body.
    pub body: Vec<u8>,
}

impl AdminRequest {
    /// Returns the value of a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the query.
    ///
    /// # Errors
    ///
    /// Fails with the answer for the operator if a field is unknown or malformed.
    pub fn query<T: DeserializeOwned>(&self) -> Result<T, AdminResponse> {
        serde_urlencoded::from_str(&self.query)
            .map_err(|error| AdminProblem::Malformed.response(&format!("query: {error}")))
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails with the answer for the operator if the body is malformed.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, AdminResponse> {
        serde_json::from_slice(&self.body)
            .map_err(|error| AdminProblem::Malformed.response(&format!("body: {error}")))
    }
}

/// Answer to an operator.
#[derive(Clone, Debug)]
pub struct AdminResponse {
    status: StatusCode,
    media_type: &'static str,
    body: Vec<u8>,
}

impl AdminResponse {
    /// Creates an answer in JSON.
    pub fn json(status: StatusCode, content: &impl Serialize) -> Self {
        match serde_json::to_vec(content) {
            Ok(body) => Self {
                status,
                media_type: JSON,
                body,
            },
            Err(error) => AdminProblem::Internal.response(&error.to_string()),
        }
    }

    /// Creates an answer with one JSON document a line.
    pub fn json_lines(contents: &[impl Serialize]) -> Self {
        let mut body = Vec::new();
        for content in contents {
            if let Err(error) = serde_json::to_writer(&mut body, content) {
                return AdminProblem::Internal.response(&error.to_string());
            }
            body.push(b'\n');
        }
        Self {
            status: StatusCode::OK,
            media_type: JSON_LINES,
            body,
        }
    }

    /// Creates the answer to a change.
    pub fn change(reply: &ChangeResponse) -> Self {
        let status = match (reply.status, reply.cause) {
            (ChangeStatus::Accepted, _) => StatusCode::OK,
            (ChangeStatus::Pending, _) => StatusCode::ACCEPTED,
            (ChangeStatus::Refused, Some(RefusalCause::Invalid)) => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            (ChangeStatus::Refused, Some(RefusalCause::NotFound)) => StatusCode::NOT_FOUND,
            (ChangeStatus::Refused, Some(RefusalCause::Unavailable)) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            (ChangeStatus::Refused, _) => StatusCode::CONFLICT,
        };
        Self::json(status, reply)
    }

    /// Creates the answer to a read that the platform did not answer.
    pub fn platform(error: &Error) -> Self {
        match error.classify() {
            Category::Refused => AdminProblem::Internal.response(&error.to_string()),
            _ => AdminProblem::StoreUnavailable.response(&error.to_string()),
        }
    }

    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    pub(crate) fn into_http(self) -> Response<BoxBody> {
        let mut response = Response::new(self.status).set_body(BoxBody::new(self.body));
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static(self.media_type),
        );
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

/// Why a request of an operator is not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdminProblem {
    /// There is no token, or it is not in force.
    BadToken,
    /// The request is malformed.
    Malformed,
    /// There is no such path, or nothing under it.
    NoSuchPath,
    /// The path takes other methods only.
    WrongMethod,
    /// The body is too large.
    BodyTooLarge,
    /// The present state does not allow it.
    Conflict,
    /// The platform did not answer.
    StoreUnavailable,
    /// The process could not make the answer.
    Internal,
}

impl AdminProblem {
    /// Returns the answer with what happened this time.
    pub fn response(self, detail: &str) -> AdminResponse {
        let (status, name, title) = self.parts();
        let report = ProblemReport {
            kind: format!("{PROBLEM_PREFIX}{name}"),
            title: title.to_owned(),
            status: status.as_u16(),
            detail: detail.to_owned(),
        };
        AdminResponse {
            status,
            media_type: PROBLEM,
            body: serde_json::to_vec(&report).unwrap_or_default(),
        }
    }

    fn parts(self) -> (StatusCode, &'static str, &'static str) {
        match self {
            Self::BadToken => (
                StatusCode::UNAUTHORIZED,
                "bad-token",
                "No operator's token in force",
            ),
            Self::Malformed => (
                StatusCode::BAD_REQUEST,
                "malformed",
                "The request is malformed",
            ),
            Self::NoSuchPath => (StatusCode::NOT_FOUND, "no-such-path", "No such path"),
            Self::WrongMethod => (
                StatusCode::METHOD_NOT_ALLOWED,
                "wrong-method",
                "The path takes other methods",
            ),
            Self::BodyTooLarge => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-large",
                "The body is too large",
            ),
            Self::Conflict => (
                StatusCode::CONFLICT,
                "conflict",
                "The present state does not allow it",
            ),
            Self::StoreUnavailable => (
                StatusCode::SERVICE_UNAVAILABLE,
                "store-unavailable",
                "The platform did not answer",
            ),
            Self::Internal => (
                StatusCode::INTERNAL_SERVER_ERROR,
                "internal",
                "The answer could not be made",
            ),
        }
    }
}
