//! The rules between the rows of a sheet: unique names, references and sums.

use std::collections::{BTreeMap, BTreeSet};

use super::columns::Column;
use super::problem::Problem;
use super::rows::{Placed, Records, WHOLE_SHARE};
use crate::config::{Access, Class, Config, Route, RouteTarget};
use crate::names::RouteName;

/// Checks the rules and joins the records into a configuration.
pub fn check(records: Records, problems: &mut Vec<Problem>) -> Config {
    check_shares(&records.classes, problems);
    check_targets(&records.routes, problems);
    let mut config = Config {
        classes: unique(records.classes, |class| class.name.clone(), problems),
        data_centres: unique(records.data_centres, |centre| centre.name.clone(), problems),
        ..Config::default()
    };
    check_route_classes(&records.routes, &config, problems);
    config.routes = unique(records.routes, |route| route.name.clone(), problems);
    for placed in &records.backend_servers {
        let server = &placed.record;
        let centre = server.data_centre.as_str();
        if !centre.is_empty() && !config.data_centres.contains_key(centre) {
            note_unknown(problems, placed.row, Column::DataCentre, centre, "data centre");
        }
        check_routes(&config, placed.row, &server.routes, problems);
    }
    config.backend_servers =
        unique(records.backend_servers, |server| server.name.clone(), problems);
    for placed in &records.organisations {
        let row = &placed.record;
        check_routes(&config, placed.row, &row.routes, problems);
        for name in &row.routes {
            if let Some(Access::Granted(granted)) =
                config.routes.get_mut(name).map(|route| &mut route.access)
            {
                granted.insert(row.organisation.name.clone());
            }
        }
    }
    let organisations = records
        .organisations
        .into_iter()
        .map(|placed| Placed { row: placed.row, record: placed.record.organisation });
    config.organisations =
        unique(organisations.collect(), |organisation| organisation.name.clone(), problems);
    config
}

/// Collects records by name and notes names that are there twice.
fn unique<N: Ord + std::fmt::Display, T>(
    records: Vec<Placed<T>>,
    name_of: impl Fn(&T) -> N,
    problems: &mut Vec<Problem>,
) -> BTreeMap<N, T> {
    let mut rows: BTreeMap<N, usize> = BTreeMap::new();
    let mut unique = BTreeMap::new();
    for Placed { row, record } in records {
        let name = name_of(&record);
        let text = name.to_string();
        if let Some(first) = rows.get(&name_of(&record)) {
            if !text.is_empty() {
                let reason = format!("the name stands in row {first} already");
                problems.push(Problem::new(row, Column::Name.as_str(), &text, reason));
            }
            continue;
        }
        rows.insert(name_of(&record), row);
        unique.insert(name, record);
    }
    unique
}

fn check_shares(classes: &[Placed<Class>], problems: &mut Vec<Problem>) {
    let mut sum = 0;
    for placed in classes {
        let share = u64::from(placed.record.promised_share);
        let within = sum <= WHOLE_SHARE;
        sum += share;
        if within && sum > WHOLE_SHARE {
            let percent = share as f64 / 10.0;
            let reason = "the promised shares of this and the classes above are over 100 percent";
            let column = Column::PromisedShare.as_str();
            problems.push(Problem::new(placed.row, column, &percent.to_string(), reason));
        }
    }
}

/// Notes models and path prefixes that two routes lead to.
fn check_targets(routes: &[Placed<Route>], problems: &mut Vec<Problem>) {
    let mut rows: BTreeMap<(Column, String), usize> = BTreeMap::new();
    for placed in routes {
        let (column, text) = match &placed.record.target {
            RouteTarget::Model(model) => (Column::Model, model.to_string()),
            RouteTarget::Prefix(prefix) => {
                (Column::PathPrefix, prefix.trim_end_matches('/').to_owned())
            }
        };
        if column == Column::Model && text.is_empty() {
            continue;
        }
        if let Some(first) = rows.get(&(column, text.clone())) {
            let reason = format!("the route in row {first} leads there already");
            problems.push(Problem::new(placed.row, column.as_str(), &text, reason));
        } else {
            rows.insert((column, text), placed.row);
        }
    }
}

fn check_route_classes(routes: &[Placed<Route>], config: &Config, problems: &mut Vec<Problem>) {
    for placed in routes {
        let class = placed.record.class.as_str();
        if !class.is_empty() && !config.classes.contains_key(class) {
            note_unknown(problems, placed.row, Column::Class, class, "class");
        }
    }
}

fn check_routes(
    config: &Config,
    row: usize,
    routes: &BTreeSet<RouteName>,
    problems: &mut Vec<Problem>,
) {
    for name in routes.iter().filter(|name| !config.routes.contains_key(*name)) {
        note_unknown(problems, row, Column::Routes, name.as_str(), "route");
    }
}

fn note_unknown(problems: &mut Vec<Problem>, row: usize, column: Column, value: &str, kind: &str) {
    let reason = format!("the sheet has no {kind} \"{value}\"");
    problems.push(Problem::new(row, column.as_str(), value, reason));
}
