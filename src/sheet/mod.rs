//! The operators' sheet: a single CSV file that contains all tables of the configuration.

pub mod cell;
pub mod columns;
pub mod diff;
pub mod export;
pub mod file;
pub mod number;
pub mod problem;
pub mod rows;
pub mod rules;
pub mod values;

pub use diff::{Difference, diff};
pub use export::export;
pub use problem::Problem;

use crate::config::Config;

/// Parses a sheet into a configuration without keys and with version 0.
///
/// # Errors
/// Returns every problem found, ordered by row.
pub fn parse(bytes: &[u8]) -> Result<Config, Vec<Problem>> {
    let file = file::read(bytes)?;
    let (records, mut problems) = rows::read(&file);
    let config = rules::build_config(records, &mut problems);
    if problems.is_empty() {
        return Ok(config);
    }
    problems.sort_by_key(|problem| problem.row);
    Err(problems)
}
