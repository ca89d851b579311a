//! Command `status`: shows balancers, upstreams, configuration versions in force and alarms.

use hawthorntide_admin::StatusReport;
use hawthorntide_types::ResultCode;

use crate::admin_client::AdminClient;
use crate::cli::AdminArguments;
use crate::failure::Failure;
use crate::output::{OutputFormat, Table, print_json, print_text};

pub(crate) async fn run(
    arguments: AdminArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments)?;
    let status: StatusReport = client.get("/v1/status").await?;
    if format == OutputFormat::Json {
        print_json(&status)?;
        return Ok(ResultCode::Ok);
    }
    balancers(&status).print()?;
    print_text("")?;
    upstreams(&status).print()?;
    print_text("")?;
    let mut versions = Table::new(&["OBJECT", "VERSION"]);
    for version in &status.versions {
        versions.row(&[&version.key, &version.version]);
    }
    versions.print()?;
    for alarm in &status.alarms {
        print_text(&format!("alarm: {alarm}"))?;
    }
    Ok(ResultCode::Ok)
}

fn balancers(status: &StatusReport) -> Table {
    let mut table = Table::new(&["BALANCER", "ADMIN", "FAILURE DOMAIN", "PHASE", "SUSPECTED"]);
    for it in &status.balancers {
        let admin = it.admin_address.map_or("-".to_owned(), |it| it.to_string());
        let suspected = yes_or_no(it.is_suspected);
        let (address, domain) = (&it.control_address, &it.failure_domain);
        table.row(&[address, &admin, domain, &it.phase, &suspected]);
    }
    table
}

fn upstreams(status: &StatusReport) -> Table {
    let header = [
        "UPSTREAM",
        "SERVICE",
        "FAILURE DOMAIN",
        "PHASE",
        "WEIGHT",
        "SLOTS",
        "SUSPECTED",
    ];
    let mut table = Table::new(&header);
    for it in &status.upstreams {
        let service = it
            .service
            .as_ref()
            .map_or("-".to_owned(), ToString::to_string);
        table.row(&[
            &it.data_address,
            &service,
            &it.failure_domain,
            &it.phase,
            &it.weight,
            &it.slots,
            &yes_or_no(it.is_suspected),
        ]);
    }
    table
}

const fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
