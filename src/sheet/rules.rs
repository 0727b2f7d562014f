//! Rules across the rows of a sheet: unique names and targets, references, and sums.

use std::collections::{BTreeMap, BTreeSet};

use super::columns::Column;
use super::problem::Problem;
use super::rows::{FULL_SHARE, Located, Records};
use crate::config::{Access, Class, Config, Route, RouteTarget};
use crate::names::RouteName;

/// Builds a configuration from the records and reports violations of the rules.
pub fn build_config(records: Records, problems: &mut Vec<Problem>) -> Config {
    check_promised_shares(&records.classes, problems);
    check_targets(&records.routes, problems);
    let mut config = Config {
        classes: collect_by_name(records.classes, |class| class.name.clone(), problems),
        data_centres: collect_by_name(
            records.data_centres,
            |data_centre| data_centre.name.clone(),
            problems,
        ),
        ..Config::default()
    };
    check_route_classes(&records.routes, &config, problems);
    config.routes = collect_by_name(records.routes, |route| route.name.clone(), problems);
    for located in &records.backend_servers {
        let server = &located.record;
        let data_centre = server.data_centre.as_str();
        if !data_centre.is_empty() && !config.data_centres.contains_key(data_centre) {
            add_unknown_name(problems, located.row, Column::DataCentre, data_centre, "data centre");
        }
        check_route_names(&config, located.row, &server.routes, problems);
    }
    config.backend_servers =
        collect_by_name(records.backend_servers, |server| server.name.clone(), problems);
    for located in &records.organisations {
        let row = &located.record;
        check_route_names(&config, located.row, &row.routes, problems);
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
        .map(|located| Located { row: located.row, record: located.record.organisation });
    config.organisations = collect_by_name(
        organisations.collect(),
        |organisation| organisation.name.clone(),
        problems,
    );
    config
}

/// Collects records by name; keeps the first record of a duplicate name and reports the others.
fn collect_by_name<N: Ord + std::fmt::Display, T>(
    records: Vec<Located<T>>,
    name_of: impl Fn(&T) -> N,
    problems: &mut Vec<Problem>,
) -> BTreeMap<N, T> {
    let mut rows: BTreeMap<N, usize> = BTreeMap::new();
    let mut unique = BTreeMap::new();
    for Located { row, record } in records {
        let name = name_of(&record);
        let text = name.to_string();
        if let Some(first) = rows.get(&name_of(&record)) {
            if !text.is_empty() {
                let reason = format!("duplicate name; row {first} already has it");
                problems.push(Problem::new(row, Column::Name.as_str(), &text, reason));
            }
            continue;
        }
        rows.insert(name_of(&record), row);
        unique.insert(name, record);
    }
    unique
}

fn check_promised_shares(classes: &[Located<Class>], problems: &mut Vec<Problem>) {
    let mut sum = 0;
    for located in classes {
        let share = u64::from(located.record.promised_share);
        let was_within_limit = sum <= FULL_SHARE;
        sum += share;
        if was_within_limit && sum > FULL_SHARE {
            let percent = share as f64 / 10.0;
            let reason =
                "the promised shares of this class and those above add up to over 100 percent";
            let column = Column::PromisedShare.as_str();
            problems.push(Problem::new(located.row, column, &percent.to_string(), reason));
        }
    }
}

/// Reports models and path prefixes that more than one route serves.
fn check_targets(routes: &[Located<Route>], problems: &mut Vec<Problem>) {
    let mut rows: BTreeMap<(Column, String), usize> = BTreeMap::new();
    for located in routes {
        let (column, text) = match &located.record.target {
            RouteTarget::Model(model) => (Column::Model, model.to_string()),
            RouteTarget::Prefix(prefix) => {
                (Column::PathPrefix, prefix.trim_end_matches('/').to_owned())
            }
        };
        if column == Column::Model && text.is_empty() {
            continue;
        }
        if let Some(first) = rows.get(&(column, text.clone())) {
            let reason = format!("the route in row {first} already serves it");
            problems.push(Problem::new(located.row, column.as_str(), &text, reason));
        } else {
            rows.insert((column, text), located.row);
        }
    }
}

fn check_route_classes(routes: &[Located<Route>], config: &Config, problems: &mut Vec<Problem>) {
    for located in routes {
        let class = located.record.class.as_str();
        if !class.is_empty() && !config.classes.contains_key(class) {
            add_unknown_name(problems, located.row, Column::Class, class, "class");
        }
    }
}

fn check_route_names(
    config: &Config,
    row: usize,
    routes: &BTreeSet<RouteName>,
    problems: &mut Vec<Problem>,
) {
    for name in routes.iter().filter(|name| !config.routes.contains_key(*name)) {
        add_unknown_name(problems, row, Column::Routes, name.as_str(), "route");
    }
}

fn add_unknown_name(
    problems: &mut Vec<Problem>,
    row: usize,
    column: Column,
    value: &str,
    kind: &str,
) {
    let reason = format!("the sheet has no {kind} \"{value}\"");
    problems.push(Problem::new(row, column.as_str(), value, reason));
}
