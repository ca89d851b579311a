//! Authentication of teams and the changes that they may make.

use hawthorntide_configuration::{Catalog, Team};
use hawthorntide_store::{ObjectKind, StoredObject};
use hawthorntide_types::{ProfileName, ResultCode, ServiceName};

use crate::operations::Operations;
use crate::request::Request;
use crate::response::ApiError;

/// Returns the team that the bearer token of the request belongs to.
pub(crate) fn authenticate(request: &Request) -> Result<Team, ApiError> {
    let error = || ApiError::new(ResultCode::Unauthenticated);
    let token = request.bearer_token().ok_or_else(error)?;
    let mut teams = request.context.teams.iter();
    let team = teams.find(|team| team.has_token(token));
    team.cloned().ok_or_else(error)
}

/// Rejects teams that may not change processes or the set of services.
pub(crate) fn require_operator(team: &Team) -> Result<(), ApiError> {
    if team.is_operator() {
        return Ok(());
    }
    Err(forbidden(team, "processes or the set of services"))
}

/// Rejects teams that may not change `service`.
pub(crate) fn require_service(team: &Team, service: &ServiceName) -> Result<(), ApiError> {
    if team.may_change(service) {
        return Ok(());
    }
    Err(forbidden(team, &format!("service {service}")))
}

/// Rejects teams that may not change every service that uses `profile`.
pub(crate) fn require_profile(
    team: &Team,
    profile: &ProfileName,
    catalog: &Catalog,
) -> Result<(), ApiError> {
    for service in catalog.services_using(profile) {
        require_service(team, &service.name)?;
    }
    Ok(())
}

/// Loads the profiles and services from the replica; skips values that cannot be decoded.
pub(crate) async fn load_catalog(operations: &dyn Operations) -> Catalog {
    let mut catalog = Catalog::default();
    for object in operations.objects().await {
        if object.is_deleted {
            continue;
        }
        match object.key.kind {
            ObjectKind::Profile => catalog.profiles.extend(decode_value(object)),
            ObjectKind::Service => catalog.services.extend(decode_value(object)),
            ObjectKind::WatcherSlot | ObjectKind::Directory | ObjectKind::FlowRecord => {}
        }
    }
    catalog
}

/// Decodes the value of an object; `None` if it is not a valid `Value`.
pub(crate) fn decode_value<Value>(object: StoredObject) -> Option<Value>
where
    Value: serde::de::DeserializeOwned,
{
    serde_json::from_value(object.value).ok()
}

fn forbidden(team: &Team, what: &str) -> ApiError {
    let message = format!("Team {} is not allowed to change {what}.", team.name);
    ApiError::new(ResultCode::Forbidden).with_message(message)
}
