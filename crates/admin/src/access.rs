//! Tokens of teams and what they cover.

use hawthorntide_configuration::{Catalog, Team};
use hawthorntide_store::{ObjectKind, StoredObject};
use hawthorntide_types::{ProfileName, ResultCode, ServiceName};

use crate::operations::Operations;
use crate::request::Request;
use crate::response::Refusal;

/// Finds the team whose token came with the request.
pub(crate) fn team(request: &Request) -> Result<Team, Refusal> {
    let refusal = || Refusal::new(ResultCode::Unauthenticated);
    let token = request.token().ok_or_else(refusal)?;
    let mut teams = request.edge.teams.iter();
    let team = teams.find(|team| team.has_token(token));
    team.cloned().ok_or_else(refusal)
}

/// Refuses teams that may not change processes.
pub(crate) fn require_operator(team: &Team) -> Result<(), Refusal> {
    if team.is_operator() {
        return Ok(());
    }
    Err(forbidden(team, "processes and the set of services"))
}

/// Refuses teams that may not change `service`.
pub(crate) fn require_service(team: &Team, service: &ServiceName) -> Result<(), Refusal> {
    if team.may_change(service) {
        return Ok(());
    }
    Err(forbidden(team, &format!("the service {service}")))
}

/// Refuses teams that may not change every service that follows `profile`.
pub(crate) fn require_profile(
    team: &Team,
    profile: &ProfileName,
    catalog: &Catalog,
) -> Result<(), Refusal> {
    for service in catalog.services_using(profile) {
        require_service(team, &service.name)?;
    }
    Ok(())
}

/// Reads the profiles and services of the replica.
pub(crate) async fn catalog(operations: &dyn Operations) -> Catalog {
    let mut catalog = Catalog::default();
    for object in operations.objects().await {
        if object.is_deleted {
            continue;
        }
        match object.key.kind {
            ObjectKind::Profile => catalog.profiles.extend(read(object)),
            ObjectKind::Service => catalog.services.extend(read(object)),
            ObjectKind::WatcherSlot | ObjectKind::Directory | ObjectKind::FlowRecord => {}
        }
    }
    catalog
}

/// Reads the value of an object; a value of an unknown form is left out.
pub(crate) fn read<Value>(object: StoredObject) -> Option<Value>
where
    Value: serde::de::DeserializeOwned,
{
    serde_json::from_value(object.value).ok()
}

fn forbidden(team: &Team, what: &str) -> Refusal {
    let message = format!("The team {} may not change {what}.", team.name);
    Refusal::new(ResultCode::Forbidden).message(message)
}
