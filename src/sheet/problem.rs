//! Problems of a sheet, each with the place where it was found.

/// Characters of a cell that are repeated in a problem.
const MAX_VALUE_CHARS: usize = 80;

value! {
    /// One reason why a sheet can't be accepted.
    pub struct Problem {
        /// Row as the spreadsheet numbers it; the header is usually row 1.
        pub row: usize,
        /// Name of the column; empty if the whole row or file is meant.
        pub column: String,
        /// Content of the cell, shortened.
        pub value: String,
        /// What is wrong and what is allowed.
        pub reason: String,
    }
}

impl Problem {
    /// Makes a problem of one cell.
    pub fn new(row: usize, column: &str, value: &str, reason: impl Into<String>) -> Self {
        let value = value.chars().take(MAX_VALUE_CHARS).collect();
        Self { row, column: column.to_owned(), value, reason: reason.into() }
    }
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { row, column, value, reason } = self;
        if column.is_empty() {
            write!(f, "row {row}: {reason}")
        } else {
            write!(f, "row {row}, column {column}, \"{value}\": {reason}")
        }
    }
}
