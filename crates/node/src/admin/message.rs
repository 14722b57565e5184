//! Requests and responses of the operator API.

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use redwing_model::admin::{ChangeResponse, ChangeStatus, ProblemReport, RefusalCause};
use redwing_provider::{Category, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

const JSON_MEDIA_TYPE: &str = "application/json";
const JSON_LINES_MEDIA_TYPE: &str = "application/jsonl";
const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Prefix of all problem types.
const PROBLEM_TYPE_PREFIX: &str = "urn:redwinglb:problem:";

/// Authenticated request of an operator.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// Method.
    pub method: Method,
    /// Path after `/v1/admin/`.
    pub path: String,
    /// Query string, not decoded.
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

    /// Parses the query string.
    ///
    /// # Errors
    ///
    /// Fails with the response to send if a field is unknown or malformed.
    pub fn query<T: DeserializeOwned>(&self) -> Result<T, AdminResponse> {
        serde_urlencoded::from_str(&self.query)
            .map_err(|error| AdminProblem::Malformed.response(&format!("query: {error}")))
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails with the response to send if the body is malformed.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, AdminResponse> {
        serde_json::from_slice(&self.body)
            .map_err(|error| AdminProblem::Malformed.response(&format!("body: {error}")))
    }
}

/// Response to an operator.
#[derive(Clone, Debug)]
pub struct AdminResponse {
    status: StatusCode,
    media_type: &'static str,
    body: Vec<u8>,
}

impl AdminResponse {
    /// Creates a response with a JSON body.
    pub fn json(status: StatusCode, content: &impl Serialize) -> Self {
        match serde_json::to_vec(content) {
            Ok(body) => Self {
                status,
                media_type: JSON_MEDIA_TYPE,
                body,
            },
            Err(error) => AdminProblem::Internal.response(&error.to_string()),
        }
    }

    /// Creates a response with one JSON document per line.
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
            media_type: JSON_LINES_MEDIA_TYPE,
            body,
        }
    }

    /// Creates the response to a configuration change.
    pub fn change(response: &ChangeResponse) -> Self {
        let status = match (response.status, response.cause) {
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
        Self::json(status, response)
    }

    /// Creates the response to a read that failed at the platform.
    pub fn platform_error(error: &Error) -> Self {
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

/// Problem reported to an operator instead of the requested result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdminProblem {
    /// The token is missing or not valid.
    BadToken,
    /// The request is malformed.
    Malformed,
    /// The path or the named object does not exist.
    NoSuchPath,
    /// The path does not support the method.
    WrongMethod,
    /// The body is too large.
    BodyTooLarge,
    /// The current state does not allow the request.
    Conflict,
    /// The platform did not respond.
    StoreUnavailable,
    /// The process failed to produce the response.
    Internal,
}

impl AdminProblem {
    /// Returns the problem response with `detail` about this occurrence.
    pub fn response(self, detail: &str) -> AdminResponse {
        let (status, name, title) = self.description();
        let report = ProblemReport {
            kind: format!("{PROBLEM_TYPE_PREFIX}{name}"),
            title: title.to_owned(),
            status: status.as_u16(),
            detail: detail.to_owned(),
        };
        AdminResponse {
            status,
            media_type: PROBLEM_MEDIA_TYPE,
            body: serde_json::to_vec(&report).unwrap_or_default(),
        }
    }

    /// Returns the status, the name within the problem type and the title.
    fn description(self) -> (StatusCode, &'static str, &'static str) {
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
