//! Command `service`: shows and changes services and selects their profiles.

use std::path::Path;

use hawthorntide_admin::{ProfileChoice, VersionedService};
use hawthorntide_configuration::check_service_file;
use hawthorntide_types::{ResultCode, ServiceName};
use reqwest::Method;

use crate::admin_client::{AdminClient, ChangeRequest};
use crate::cli::{
    AdminArguments, ServiceArguments, ServiceCommand, ServiceFollowArguments, ServiceSetArguments,
    ServiceShowArguments,
};
use crate::failure::Failure;
use crate::output::{OutputFormat, Table, print_json};
use crate::role::to_failure;

pub(crate) async fn run(
    arguments: ServiceArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    match arguments.command {
        ServiceCommand::List(arguments) => list(arguments, format).await,
        ServiceCommand::Show(arguments) => show(arguments, format).await,
        ServiceCommand::Set(arguments) => set(arguments, format).await,
        ServiceCommand::Follow(arguments) => follow(arguments, format).await,
    }
}

async fn list(arguments: AdminArguments, format: OutputFormat) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments)?;
    let services: Vec<VersionedService> = client.get("/v1/services").await?;
    print_services(&services, &services, format)
}

async fn show(
    arguments: ServiceShowArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments.admin)?;
    let service: VersionedService = client.get(&path(&arguments.name)).await?;
    print_services(&service, std::slice::from_ref(&service), format)
}

async fn set(arguments: ServiceSetArguments, format: OutputFormat) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments.admin)?;
    let text = read_file(&arguments.file)?;
    let file = arguments.file.display().to_string();
    let service = check_service_file(&text, &file, None).map_err(to_failure)?;
    let path = path(&service.name);
    let expected = client.version_for(&path, arguments.change).await?;
    let body = serde_json::to_string(&service)
        .map_err(|error| Failure::new(ResultCode::Failure, error))?;
    let request = ChangeRequest {
        method: Method::PUT,
        path,
        expected,
        body: Some(body),
    };
    client.change(request, arguments.change, format).await
}

async fn follow(
    arguments: ServiceFollowArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments.admin)?;
    let path = path(&arguments.service);
    let expected = match arguments.change.version {
        Some(version) => version,
        None => client.get::<VersionedService>(&path).await?.version,
    };
    let choice = ProfileChoice {
        profile: arguments.profile,
    };
    let body =
        serde_json::to_string(&choice).map_err(|error| Failure::new(ResultCode::Failure, error))?;
    let request = ChangeRequest {
        method: Method::PUT,
        path: format!("{path}/profile"),
        expected,
        body: Some(body),
    };
    client.change(request, arguments.change, format).await
}

fn print_services(
    value: &impl serde::Serialize,
    services: &[VersionedService],
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    if format == OutputFormat::Json {
        print_json(value)?;
        return Ok(ResultCode::Ok);
    }
    let mut table = Table::new(&["SERVICE", "VERSION", "PROFILE", "TRANSPORT", "ADDRESSES"]);
    for VersionedService { version, service } in services {
        let addresses: Vec<String> = service.addresses.iter().map(ToString::to_string).collect();
        let (name, profile) = (&service.name, &service.profile);
        table.row(&[
            name,
            version,
            profile,
            &service.transport,
            &addresses.join(", "),
        ]);
    }
    table.print()?;
    Ok(ResultCode::Ok)
}

fn path(name: &ServiceName) -> String {
    format!("/v1/services/{name}")
}

/// Reads a file given on the command line.
pub(crate) fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| {
        let message = format!("cannot read {}: {error}", path.display());
        Failure::new(ResultCode::SettingsUnreadable, message)
    })
}
