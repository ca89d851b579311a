//! Command `profile`: shows, changes and deletes profiles.

use hawthorntide_admin::VersionedProfile;
use hawthorntide_configuration::check_profile;
use hawthorntide_types::{Profile, ProfileName, ResultCode, Version};
use reqwest::Method;
use serde_json::Value;

use crate::admin_client::{AdminClient, ChangeRequest};
use crate::cli::{
    AdminArguments, ProfileArguments, ProfileCommand, ProfileDeleteArguments, ProfileEditArguments,
    ProfileSetArguments, ProfileShowArguments,
};
use crate::failure::Failure;
use crate::output::{OutputFormat, Table, print_json};

pub(crate) async fn run(
    arguments: ProfileArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    match arguments.command {
        ProfileCommand::List(arguments) => list(arguments, format).await,
        ProfileCommand::Show(arguments) => show(arguments, format).await,
        ProfileCommand::Set(arguments) => set(arguments, format).await,
        ProfileCommand::Edit(arguments) => edit(arguments, format).await,
        ProfileCommand::Delete(arguments) => delete(arguments, format).await,
    }
}

async fn list(arguments: AdminArguments, format: OutputFormat) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments)?;
    let profiles: Vec<VersionedProfile> = client.get("/v1/profiles").await?;
    if format == OutputFormat::Json {
        print_json(&profiles)?;
        return Ok(ResultCode::Ok);
    }
    let mut table = Table::new(&["PROFILE", "VERSION", "TARGET DELAY", "DRAIN LIMIT", "WORK"]);
    for VersionedProfile { version, profile } in &profiles {
        let kinds: Vec<String> = profile.work.iter().map(|it| it.kind.to_string()).collect();
        let target = format!("{} ms", profile.target_delay_ms);
        let drain = format!("{} ms", profile.drain_limit_ms);
        table.row(&[&profile.name, version, &target, &drain, &kinds.join(", ")]);
    }
    table.print()?;
    Ok(ResultCode::Ok)
}

async fn show(
    arguments: ProfileShowArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments.admin)?;
    let found: VersionedProfile = client.get(&path(&arguments.name)).await?;
    if format == OutputFormat::Json {
        print_json(&found)?;
        return Ok(ResultCode::Ok);
    }
    let header = [
        "WORK",
        "HALF",
        "URGENCY",
        "SHARE",
        "QUEUE WAIT",
        "DEADLINE",
        "NEW FLOWS",
        "RETRIES",
    ];
    let mut table = Table::new(&header);
    for work in &found.profile.work {
        for (condition, it) in [("calm", work.calm), ("crowded", work.crowded)] {
            table.row(&[
                &work.kind,
                &condition,
                &it.urgency,
                &format!("{} ‰", it.share_per_mille),
                &format!("{} ms", it.queue_wait_ms),
                &format!("{} ms", it.deadline_ms),
                &format!("{}/s", it.new_flows_per_second),
                &format!("{} ‰", it.retry_budget_per_mille),
            ]);
        }
    }
    table.print()?;
    let Profile {
        target_delay_ms,
        drain_limit_ms,
        ..
    } = found.profile;
    crate::output::print_text(&format!(
        "version {}, target delay {target_delay_ms} ms, drain limit {drain_limit_ms} ms",
        found.version
    ))?;
    Ok(ResultCode::Ok)
}

async fn set(arguments: ProfileSetArguments, format: OutputFormat) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments.admin)?;
    let text = crate::service::read_file(&arguments.file)?;
    let file = arguments.file.display().to_string();
    let profile = check_profile(&text, &file).map_err(crate::role::to_failure)?;
    let path = path(&profile.name);
    let expected = client.version_for(&path, arguments.change).await?;
    let request = change_request(&profile, expected)?;
    client.change(request, arguments.change, format).await
}

async fn edit(
    arguments: ProfileEditArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments.admin)?;
    let found: VersionedProfile = client.get(&path(&arguments.name)).await?;
    let mut value = serde_json::to_value(&found.profile)
        .map_err(|error| Failure::new(ResultCode::Failure, error))?;
    for field in &arguments.fields {
        set_field(&mut value, field)?;
    }
    let text = value.to_string();
    let profile = check_profile(&text, "profile").map_err(crate::role::to_failure)?;
    let expected = arguments.change.version.unwrap_or(found.version);
    let request = change_request(&profile, expected)?;
    client.change(request, arguments.change, format).await
}

async fn delete(
    arguments: ProfileDeleteArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments.admin)?;
    let path = path(&arguments.name);
    let expected = match arguments.change.version {
        Some(version) => version,
        None => client.get::<VersionedProfile>(&path).await?.version,
    };
    let request = ChangeRequest {
        method: Method::DELETE,
        path,
        expected,
        body: None,
    };
    client.change(request, arguments.change, format).await
}

fn path(name: &ProfileName) -> String {
    format!("/v1/profiles/{name}")
}

fn change_request(profile: &Profile, expected: Version) -> Result<ChangeRequest, Failure> {
    let body =
        serde_json::to_string(profile).map_err(|error| Failure::new(ResultCode::Failure, error))?;
    let (method, path) = if expected == Version::NONE {
        (Method::POST, "/v1/profiles".to_owned())
    } else {
        (Method::PUT, path(&profile.name))
    };
    Ok(ChangeRequest {
        method,
        path,
        expected,
        body: Some(body),
    })
}

/// Sets one field from an argument such as `work.sheet.calm.share_per_mille=150`. A list entry is
/// selected by its `kind`.
fn set_field(profile: &mut Value, text: &str) -> Result<(), Failure> {
    let usage_failure = |reason: &str| Failure::new(ResultCode::Usage, format!("{text}: {reason}"));
    let Some((field, value)) = text.split_once('=') else {
        return Err(usage_failure("expected FIELD=VALUE"));
    };
    let mut node = profile;
    for segment in field.split('.') {
        let next = match node {
            Value::Object(object) => object.get_mut(segment),
            Value::Array(entries) => entries.iter_mut().find(|it| it["kind"] == segment),
            _ => None,
        };
        node = next.ok_or_else(|| usage_failure("the profile has no such field"))?;
    }
    if node.is_object() || node.is_array() {
        return Err(usage_failure(
            "this is a group of fields; name one field of it",
        ));
    }
    *node = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_owned()));
    Ok(())
}
