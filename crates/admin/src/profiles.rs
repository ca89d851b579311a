//! Handlers for profiles.

use hawthorntide_configuration::{Catalog, Team, check_profile};
use hawthorntide_store::ObjectKind;
use hawthorntide_types::{Profile, ProfileName, ResultCode, Version};

use crate::access::{decode_value, load_catalog, require_profile};
use crate::body::VersionedProfile;
use crate::request::{Request, object_key, parse};
use crate::response::{ApiError, ApiResponse};
use crate::writes::write;

pub(crate) async fn list(request: &Request) -> ApiResponse {
    let objects = request.context.operations.objects().await.into_iter();
    let profiles: Vec<VersionedProfile> = objects
        .filter(|object| object.key.kind == ObjectKind::Profile && !object.is_deleted)
        .filter_map(|object| {
            let version = object.version;
            let profile = decode_value(object)?;
            Some(VersionedProfile { version, profile })
        })
        .collect();
    ApiResponse::ok(&profiles)
}

pub(crate) async fn read(request: &Request) -> Result<ApiResponse, ApiError> {
    let key = request.key(ObjectKind::Profile)?;
    let object = request.context.operations.object(key).await;
    let object = object.filter(|object| !object.is_deleted);
    let object = object.ok_or_else(|| ApiError::new(ResultCode::NotFound))?;
    let version = object.version;
    let profile = decode_value(object).ok_or_else(|| ApiError::new(ResultCode::Failure))?;
    Ok(ApiResponse::ok(&VersionedProfile { version, profile }).with_version(version))
}

pub(crate) async fn create(request: &mut Request, team: &Team) -> Result<ApiResponse, ApiError> {
    let profile = read_profile(request).await?;
    write_profile(request, team, profile, Version::NONE).await
}

pub(crate) async fn update(request: &mut Request, team: &Team) -> Result<ApiResponse, ApiError> {
    let expected = request.if_match()?;
    let profile = read_profile(request).await?;
    if profile.name.as_str() != request.path.name {
        return Err(ApiError::field("name", "must match the name in the path"));
    }
    write_profile(request, team, profile, expected).await
}

pub(crate) async fn delete(request: &Request, team: &Team) -> Result<ApiResponse, ApiError> {
    let expected = request.if_match()?;
    let key = request.key(ObjectKind::Profile)?;
    let name: ProfileName = parse("name", Some(&key.name), "a profile name is accepted")?;
    let object = request.context.operations.object(key.clone()).await;
    if object.is_none_or(|object| object.is_deleted) {
        return Err(ApiError::new(ResultCode::NotFound));
    }
    let catalog = load_catalog(&*request.context.operations).await;
    require_unused(&name, &catalog)?;
    write(request, team, key, None, expected).await
}

fn require_unused(name: &ProfileName, catalog: &Catalog) -> Result<(), ApiError> {
    let services: Vec<String> = catalog
        .services_using(name)
        .map(|service| service.name.to_string())
        .collect();
    if services.is_empty() {
        return Ok(());
    }
    let message = format!("The profile is in use by {}.", services.join(", "));
    Err(ApiError::new(ResultCode::ProfileFollowed).with_message(message))
}

async fn read_profile(request: &mut Request) -> Result<Profile, ApiError> {
    let text = request.text().await?;
    check_profile(&text, "body").map_err(ApiError::problems)
}

async fn write_profile(
    request: &Request,
    team: &Team,
    profile: Profile,
    expected: Version,
) -> Result<ApiResponse, ApiError> {
    let catalog = load_catalog(&*request.context.operations).await;
    require_profile(team, &profile.name, &catalog)?;
    let key = object_key(ObjectKind::Profile, profile.name.as_str())?;
    let value = serde_json::to_value(&profile).map_err(|_| ApiError::new(ResultCode::Failure))?;
    write(request, team, key, Some(value), expected).await
}
