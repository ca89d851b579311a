//! Handlers for services.

use hawthorntide_configuration::{Team, check_service, check_service_file};
use hawthorntide_store::ObjectKind;
use hawthorntide_types::{ResultCode, Service, Version};

use crate::access::{decode_value, load_catalog, require_operator, require_service};
use crate::body::{ProfileChoice, VersionedService};
use crate::request::{Request, object_key};
use crate::response::{ApiError, ApiResponse};
use crate::writes::write;

pub(crate) async fn list(request: &Request) -> ApiResponse {
    let objects = request.context.operations.objects().await.into_iter();
    let services: Vec<VersionedService> = objects
        .filter(|object| object.key.kind == ObjectKind::Service && !object.is_deleted)
        .filter_map(|object| {
            let version = object.version;
            let service = decode_value(object)?;
            Some(VersionedService { version, service })
        })
        .collect();
    ApiResponse::ok(&services)
}

pub(crate) async fn read(request: &Request) -> Result<ApiResponse, ApiError> {
    let current = find_service(request).await?;
    let version = current.version;
    Ok(ApiResponse::ok(&current).with_version(version))
}

/// Creates or replaces a service.
pub(crate) async fn set(request: &mut Request, team: &Team) -> Result<ApiResponse, ApiError> {
    require_operator(team)?;
    let expected = request.if_match()?;
    let text = request.text().await?;
    let catalog = load_catalog(&*request.context.operations).await;
    let service = check_service_file(&text, "body", Some(&catalog)).map_err(ApiError::problems)?;
    if service.name.as_str() != request.path.name {
        return Err(ApiError::field("name", "must match the name in the path"));
    }
    write_service(request, team, &service, expected).await
}

/// Changes the profile of a service.
pub(crate) async fn set_profile(
    request: &mut Request,
    team: &Team,
) -> Result<ApiResponse, ApiError> {
    let expected = request.if_match()?;
    let current = find_service(request).await?;
    require_service(team, &current.service.name)?;
    let choice: ProfileChoice = request.json("profile").await?;
    if expected != current.version {
        return Err(ApiError::conflict(expected, current.version));
    }
    let service = Service {
        profile: choice.profile,
        ..current.service
    };
    let catalog = load_catalog(&*request.context.operations).await;
    if let Some(problem) = check_service(&service, &catalog).first() {
        return Err(ApiError::field(&problem.field, &problem.reason));
    }
    write_service(request, team, &service, expected).await
}

async fn find_service(request: &Request) -> Result<VersionedService, ApiError> {
    let key = request.key(ObjectKind::Service)?;
    let object = request.context.operations.object(key).await;
    let object = object.filter(|object| !object.is_deleted);
    let object = object.ok_or_else(|| ApiError::new(ResultCode::NotFound))?;
    let version = object.version;
    let service = decode_value(object).ok_or_else(|| ApiError::new(ResultCode::Failure))?;
    Ok(VersionedService { version, service })
}

async fn write_service(
    request: &Request,
    team: &Team,
    service: &Service,
    expected: Version,
) -> Result<ApiResponse, ApiError> {
    let key = object_key(ObjectKind::Service, service.name.as_str())?;
    let value = serde_json::to_value(service).map_err(|_| ApiError::new(ResultCode::Failure))?;
    write(request, team, key, Some(value), expected).await
}
