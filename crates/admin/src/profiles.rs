//! Routes of profiles.

use hawthorntide_configuration::{Catalog, Team, check_profile};
use hawthorntide_store::ObjectKind;
use hawthorntide_types::{Profile, ProfileName, ResultCode, Version};

use crate::access::{catalog, read as read_value, require_profile};
use crate::body::VersionedProfile;
use crate::request::{Request, key_of, parse};
use crate::response::{Answer, Refusal};
use crate::writes::write;

pub(crate) async fn list(request: &Request) -> Answer {
    let objects = request.edge.operations.objects().await.into_iter();
    let profiles: Vec<VersionedProfile> = objects
        .filter(|object| object.key.kind == ObjectKind::Profile && !object.is_deleted)
        .filter_map(|object| {
            let version = object.version;
            let profile = read_value(object)?;
            Some(VersionedProfile { version, profile })
        })
        .collect();
    Answer::ok(&profiles)
}

pub(crate) async fn read(request: &Request) -> Result<Answer, Refusal> {
    let key = request.key(ObjectKind::Profile)?;
    let object = request.edge.operations.object(key).await;
    let object = object.filter(|object| !object.is_deleted);
    let object = object.ok_or_else(|| Refusal::new(ResultCode::NotFound))?;
    let version = object.version;
    let profile = read_value(object).ok_or_else(|| Refusal::new(ResultCode::Failure))?;
    Ok(Answer::ok(&VersionedProfile { version, profile }).version(version))
}

pub(crate) async fn create(request: &mut Request, team: &Team) -> Result<Answer, Refusal> {
    let profile = profile_of(request).await?;
    set(request, team, profile, Version::NONE).await
}

pub(crate) async fn update(request: &mut Request, team: &Team) -> Result<Answer, Refusal> {
    let expected = request.if_match()?;
    let profile = profile_of(request).await?;
    if profile.name.as_str() != request.names.name {
        return Err(Refusal::field("name", "must be the name in the path"));
    }
    set(request, team, profile, expected).await
}

pub(crate) async fn delete(request: &Request, team: &Team) -> Result<Answer, Refusal> {
    let expected = request.if_match()?;
    let key = request.key(ObjectKind::Profile)?;
    let name: ProfileName = parse("name", Some(&key.name), "a name is accepted")?;
    let object = request.edge.operations.object(key.clone()).await;
    if object.is_none_or(|object| object.is_deleted) {
        return Err(Refusal::new(ResultCode::NotFound));
    }
    let catalog = catalog(&*request.edge.operations).await;
    refuse_followed(&name, &catalog)?;
    write(request, team, key, None, expected).await
}

fn refuse_followed(name: &ProfileName, catalog: &Catalog) -> Result<(), Refusal> {
    let followers: Vec<String> = catalog
        .services_using(name)
        .map(|service| service.name.to_string())
        .collect();
    if followers.is_empty() {
        return Ok(());
    }
    let message = format!("The profile is followed by {}.", followers.join(", "));
    Err(Refusal::new(ResultCode::ProfileFollowed).message(message))
}

async fn profile_of(request: &mut Request) -> Result<Profile, Refusal> {
    let text = request.text().await?;
    check_profile(&text, "body").map_err(Refusal::problems)
}

async fn set(
    request: &Request,
    team: &Team,
    profile: Profile,
    expected: Version,
) -> Result<Answer, Refusal> {
    let catalog = catalog(&*request.edge.operations).await;
    require_profile(team, &profile.name, &catalog)?;
    let key = key_of(ObjectKind::Profile, profile.name.as_str())?;
    let value = serde_json::to_value(&profile).map_err(|_| Refusal::new(ResultCode::Failure))?;
    write(request, team, key, Some(value), expected).await
}
