//! Routes of services.

use hawthorntide_configuration::{Team, check_service, check_service_file};
use hawthorntide_store::ObjectKind;
use hawthorntide_types::{ResultCode, Service, Version};

use crate::access::{catalog, read as read_value, require_operator, require_service};
use crate::body::{ProfileChoice, VersionedService};
use crate::request::{Request, key_of};
use crate::response::{Answer, Refusal};
use crate::writes::write;

pub(crate) async fn list(request: &Request) -> Answer {
    let objects = request.edge.operations.objects().await.into_iter();
    let services: Vec<VersionedService> = objects
        .filter(|object| object.key.kind == ObjectKind::Service && !object.is_deleted)
        .filter_map(|object| {
            let version = object.version;
            let service = read_value(object)?;
            Some(VersionedService { version, service })
        })
        .collect();
    Answer::ok(&services)
}

pub(crate) async fn read(request: &Request) -> Result<Answer, Refusal> {
    let found = find(request).await?;
    let version = found.version;
    Ok(Answer::ok(&found).version(version))
}

/// Creates a service or replaces it as a whole.
pub(crate) async fn set(request: &mut Request, team: &Team) -> Result<Answer, Refusal> {
    require_operator(team)?;
    let expected = request.if_match()?;
    let text = request.text().await?;
    let catalog = catalog(&*request.edge.operations).await;
    let service = check_service_file(&text, "body", Some(&catalog)).map_err(Refusal::problems)?;
    if service.name.as_str() != request.names.name {
        return Err(Refusal::field("name", "must be the name in the path"));
    }
    store(request, team, &service, expected).await
}

/// Chooses the profile that a service follows.
pub(crate) async fn follow(request: &mut Request, team: &Team) -> Result<Answer, Refusal> {
    let expected = request.if_match()?;
    let found = find(request).await?;
    require_service(team, &found.service.name)?;
    let choice: ProfileChoice = request.json("profile").await?;
    if expected != found.version {
        return Err(Refusal::conflict(expected, found.version));
    }
    let service = Service {
        profile: choice.profile,
        ..found.service
    };
    let catalog = catalog(&*request.edge.operations).await;
    if let Some(problem) = check_service(&service, &catalog).first() {
        return Err(Refusal::field(&problem.field, &problem.reason));
    }
    store(request, team, &service, expected).await
}

async fn find(request: &Request) -> Result<VersionedService, Refusal> {
    let key = request.key(ObjectKind::Service)?;
    let object = request.edge.operations.object(key).await;
    let object = object.filter(|object| !object.is_deleted);
    let object = object.ok_or_else(|| Refusal::new(ResultCode::NotFound))?;
    let version = object.version;
    let service = read_value(object).ok_or_else(|| Refusal::new(ResultCode::Failure))?;
    Ok(VersionedService { version, service })
}

async fn store(
    request: &Request,
    team: &Team,
    service: &Service,
    expected: Version,
) -> Result<Answer, Refusal> {
    let key = key_of(ObjectKind::Service, service.name.as_str())?;
    let value = serde_json::to_value(service).map_err(|_| Refusal::new(ResultCode::Failure))?;
    write(request, team, key, Some(value), expected).await
}
