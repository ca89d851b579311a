//! Validates profiles and services, from files and from the administration API.

use hawthorntide_types::{Profile, ProfileName, ProfileProblem, ResultCode, Service};
use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;

use crate::document::{Document, PARSE_OPTIONS};
use crate::problem::SettingsProblem;

const MAX_ADDRESSES: usize = 64;

/// Profiles and services of a deployment, against which a service is checked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Catalog {
    pub profiles: Vec<Profile>,
    pub services: Vec<Service>,
}

impl Catalog {
    fn has_profile(&self, name: &ProfileName) -> bool {
        self.profiles.iter().any(|profile| profile.name == *name)
    }

    pub fn services_using<'c>(
        &'c self,
        profile: &'c ProfileName,
    ) -> impl Iterator<Item = &'c Service> + 'c {
        let services = self.services.iter();
        services.filter(move |service| service.profile == *profile)
    }
}

/// Parses and validates a profile; `file` is the name shown in problems.
pub fn check_profile(text: &str, file: &str) -> Result<Profile, Vec<SettingsProblem>> {
    let document = Document::parse(file, text).map_err(|problem| vec![problem])?;
    let profile: Profile = read(&document)?;
    let problems = profile.check();
    finish(&document, profile, problems)
}

/// Parses and validates a service; without `catalog`, references to other objects are not checked.
///
/// `file` is the name shown in problems.
pub fn check_service_file(
    text: &str,
    file: &str,
    catalog: Option<&Catalog>,
) -> Result<Service, Vec<SettingsProblem>> {
    let document = Document::parse(file, text).map_err(|problem| vec![problem])?;
    let service: Service = read(&document)?;
    let mut problems = check_addresses(&service);
    if let Some(catalog) = catalog {
        problems.extend(check_references(&service, catalog));
    }
    finish(&document, service, problems)
}

/// Validates a service: its profile must exist in `catalog`, and none of its addresses nor its
/// identifier may belong to another service there.
pub fn check_service(service: &Service, catalog: &Catalog) -> Vec<ProfileProblem> {
    let mut problems = check_addresses(service);
    problems.extend(check_references(service, catalog));
    problems
}

fn check_addresses(service: &Service) -> Vec<ProfileProblem> {
    let mut problems = Vec::new();
    if service.addresses.is_empty() || service.addresses.len() > MAX_ADDRESSES {
        let reason = format!("1 to {MAX_ADDRESSES} addresses are accepted");
        problems.push(problem("addresses", reason));
    }
    for (index, address) in service.addresses.iter().enumerate() {
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let reason = format!("{address} is not an address that callers can reach");
            problems.push(problem("addresses", reason));
        }
        if service.addresses[..index].contains(address) {
            problems.push(problem("addresses", format!("{address} is given twice")));
        }
    }
    problems
}

fn check_references(service: &Service, catalog: &Catalog) -> Vec<ProfileProblem> {
    let mut problems = Vec::new();
    if !catalog.has_profile(&service.profile) {
        let reason = format!("the profile {} does not exist", service.profile);
        problems.push(problem("profile", reason));
    }
    for other in &catalog.services {
        if other.name == service.name {
            continue;
        }
        if let Some(shared) = service
            .addresses
            .iter()
            .find(|address| other.addresses.contains(address))
        {
            let reason = format!("{shared} belongs to the service {}", other.name);
            problems.push(problem("addresses", reason));
        }
        if other.id() == service.id() {
            let reason = format!(
                "its hash equals that of the service {}; choose another name",
                other.name
            );
            problems.push(problem("name", reason));
        }
    }
    problems
}

fn read<Object: DeserializeOwned>(document: &Document<'_>) -> Result<Object, Vec<SettingsProblem>> {
    parse_to_serde_value(document.text, &PARSE_OPTIONS).map_err(|error| {
        let reason = error.kind().to_string();
        let field = field_of(&reason);
        // serde errors come without a line, so the line is looked up by the field's name.
        let line = document.line_of_name(&field);
        vec![SettingsProblem {
            file: document.file.to_owned(),
            line: line.unwrap_or_else(|| error.line_display()),
            field,
            accepted: reason,
            code: ResultCode::SettingsInvalid,
        }]
    })
}

fn finish<Object>(
    document: &Document<'_>,
    object: Object,
    problems: Vec<ProfileProblem>,
) -> Result<Object, Vec<SettingsProblem>> {
    if problems.is_empty() {
        return Ok(object);
    }
    let with_line = |problem: ProfileProblem| SettingsProblem {
        file: document.file.to_owned(),
        line: document.line_of_path(&problem.field),
        field: problem.field,
        accepted: problem.reason,
        code: ResultCode::SettingsInvalid,
    };
    Err(problems.into_iter().map(with_line).collect())
}

/// Extracts the field's name from a serde message, which quotes it in backticks.
fn field_of(reason: &str) -> String {
    let field = reason.split('`').nth(1).unwrap_or("file");
    field.chars().take(80).collect()
}

fn problem(field: &str, reason: String) -> ProfileProblem {
    ProfileProblem {
        field: field.to_owned(),
        reason,
    }
}
