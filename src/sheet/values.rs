//! Converts a configuration to rows of cells, for export and comparison.

use std::collections::BTreeMap;

use super::cell::format_yes_no;
use super::columns::{Column, Table};
use super::number::format_thousandths;
use super::rows::TENTH_OF_PERCENT;
use crate::config::{
    Access, BackendServer, Class, Config, DataCentre, Organisation, Repeatability, Route,
    RouteTarget, ServerKind,
};
use crate::names::{OrganisationName, RouteName};

/// Cells of one row by column, without the columns that its table does not use.
pub type Cells = BTreeMap<Column, String>;

/// Rows of a configuration by table and name.
pub type Rows = BTreeMap<(Table, String), Cells>;

/// Converts a configuration to rows.
pub fn to_rows(config: &Config) -> Rows {
    let mut rows = Rows::new();
    for (name, class) in &config.classes {
        rows.insert((Table::Class, name.to_string()), class_cells(class));
    }
    for (name, route) in &config.routes {
        rows.insert((Table::Route, name.to_string()), route_cells(route));
    }
    let granted = granted_routes(config);
    for (name, organisation) in &config.organisations {
        let routes = granted.get(name).map(Vec::as_slice).unwrap_or_default();
        let cells = organisation_cells(organisation, routes);
        rows.insert((Table::Organisation, name.to_string()), cells);
    }
    for (name, data_centre) in &config.data_centres {
        rows.insert((Table::DataCentre, name.to_string()), data_centre_cells(data_centre));
    }
    for (name, server) in &config.backend_servers {
        rows.insert((Table::BackendServer, name.to_string()), backend_server_cells(server));
    }
    rows
}

fn granted_routes(config: &Config) -> BTreeMap<&OrganisationName, Vec<&RouteName>> {
    let mut granted: BTreeMap<&OrganisationName, Vec<&RouteName>> = BTreeMap::new();
    for route in config.routes.values() {
        if let Access::Granted(organisations) = &route.access {
            for organisation in organisations {
                granted.entry(organisation).or_default().push(&route.name);
            }
        }
    }
    granted
}

fn class_cells(class: &Class) -> Cells {
    let percent = format_thousandths(u64::from(class.promised_share) * TENTH_OF_PERCENT);
    Cells::from([
        (Column::Name, class.name.to_string()),
        (Column::Tier, class.tier.0.to_string()),
        (Column::FirstTokenMs, class.first_token_ms.to_string()),
        (Column::TokenGapMs, class.token_gap_ms.to_string()),
        (Column::PromisedShare, percent),
        (
            Column::Repeatable,
            format_yes_no(class.repeatability == Repeatability::Idempotent).to_owned(),
        ),
    ])
}

fn route_cells(route: &Route) -> Cells {
    let access = match route.access {
        Access::Open => "open",
        Access::Granted(_) => "granted",
    };
    let (column, target) = match &route.target {
        RouteTarget::Model(model) => (Column::Model, model.to_string()),
        RouteTarget::Prefix(prefix) => (Column::PathPrefix, prefix.clone()),
    };
    Cells::from([
        (Column::Name, route.name.to_string()),
        (column, target),
        (Column::Access, access.to_owned()),
        (Column::Class, route.class.to_string()),
    ])
}

fn organisation_cells(organisation: &Organisation, routes: &[&RouteName]) -> Cells {
    let optional = |value: Option<u64>| value.map(|value| value.to_string()).unwrap_or_default();
    let routes: Vec<&str> = routes.iter().map(|route| route.as_str()).collect();
    Cells::from([
        (Column::Name, organisation.name.to_string()),
        (Column::Weight, organisation.weight.to_string()),
        (Column::TokensPerMinute, optional(organisation.tokens_per_minute)),
        (Column::MaxRunning, optional(organisation.max_running.map(u64::from))),
        (Column::MaxWaiting, organisation.max_waiting.to_string()),
        (Column::Routes, routes.join(" ")),
    ])
}

fn data_centre_cells(data_centre: &DataCentre) -> Cells {
    Cells::from([
        (Column::Name, data_centre.name.to_string()),
        (Column::Region, data_centre.region.to_string()),
        (Column::InService, format_yes_no(data_centre.in_service).to_owned()),
    ])
}

fn backend_server_cells(server: &BackendServer) -> Cells {
    let routes: Vec<&str> = server.routes.iter().map(RouteName::as_str).collect();
    let kind = match server.kind {
        ServerKind::Standard => "standard",
        ServerKind::Reclaimable => "reclaimable",
    };
    Cells::from([
        (Column::Name, server.name.to_string()),
        (Column::DataCentre, server.data_centre.to_string()),
        (Column::Address, server.address.clone()),
        (Column::Routes, routes.join(" ")),
        (Column::Kind, kind.to_owned()),
        (Column::Price, format_thousandths(server.price)),
        (Column::Slots, server.slots.to_string()),
        (Column::ColdLimit, server.cold_limit.to_string()),
        (Column::ChecksFencing, format_yes_no(server.checks_fencing).to_owned()),
        (Column::InService, format_yes_no(server.in_service).to_owned()),
    ])
}
