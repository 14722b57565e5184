//! Operator API routes for evacuations of data centres.

use std::rc;

use actix_http::{Method, StatusCode};
use redwing_model::DataCentre;
use redwing_model::admin::{ChangeKind, EvacuationRequest, EvacuationView};
use redwing_provider::LocalFuture;

use crate::admin::change;
use crate::admin::{AdminHandler, AdminProblem, AdminRequest, AdminResponse};
use crate::config::ConfigService;
use crate::config::evacuation::VmPlaces;

/// Path of the list of evacuations, and path prefix of each.
const EVACUATIONS_PATH: &str = "evacuations";

/// Source of where the VMs of the fleet are.
pub trait PlaceSource {
    /// Returns the places of the VMs as last read from the table.
    fn places(&self) -> VmPlaces;
}

/// Operator API routes for evacuations.
pub struct EvacuationRoutes {
    service: rc::Rc<ConfigService>,
    places: rc::Rc<dyn PlaceSource>,
}

impl EvacuationRoutes {
    /// Creates the routes; changes are checked against `places`.
    pub fn new(service: rc::Rc<ConfigService>, places: rc::Rc<dyn PlaceSource>) -> Self {
        Self { service, places }
    }

    fn list(&self) -> AdminResponse {
        self.service.set_places(self.places.places());
        let view = self.service.view();
        let evacuations = view.evacuations.iter();
        let evacuations = evacuations.map(|(data_centre, record)| EvacuationView {
            data_centre: data_centre.clone(),
            version: record.version,
            operator: record.operator.clone(),
            at_millis: record.at_millis,
            vms: self.service.vms_in(data_centre),
        });
        AdminResponse::json(StatusCode::OK, &evacuations.collect::<Vec<_>>())
    }

    async fn change(
        &self,
        request: &AdminRequest,
        kind: ChangeKind,
    ) -> Result<AdminResponse, AdminResponse> {
        let draft = change::draft(request, kind)?;
        self.service.set_places(self.places.places());
        Ok(AdminResponse::change(&self.service.change(&draft).await))
    }

    async fn respond(
        &self,
        request: &AdminRequest,
        name: &str,
    ) -> Result<AdminResponse, AdminResponse> {
        let malformed = |detail: &str| AdminProblem::Malformed.response(detail);
        let data_centre = DataCentre::new(name).map_err(|error| malformed(&error.to_string()))?;
        let kind = match request.method {
            Method::POST => {
                let EvacuationRequest { also } = match request.body.is_empty() {
                    true => EvacuationRequest::default(),
                    false => request.json()?,
                };
                ChangeKind::Evacuate { data_centre, also }
            }
            Method::DELETE => ChangeKind::UndoEvacuation { data_centre },
            _ => return Err(AdminProblem::WrongMethod.response(request.method.as_str())),
        };
        self.change(request, kind).await
    }
}

impl AdminHandler for EvacuationRoutes {
    fn handle<'a>(&'a self, request: &'a AdminRequest) -> Option<LocalFuture<'a, AdminResponse>> {
        let rest = request.path.strip_prefix(EVACUATIONS_PATH)?;
        if rest.is_empty() {
            let response = match request.method {
                Method::GET => self.list(),
                _ => AdminProblem::WrongMethod.response(request.method.as_str()),
            };
            return Some(Box::pin(async { response }));
        }
        let name = rest.strip_prefix('/')?;
        Some(Box::pin(async move {
            let response = self.respond(request, name).await;
            response.unwrap_or_else(|problem| problem)
        }))
    }
}
