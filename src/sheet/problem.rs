//! Problems found in a sheet, with their row and column.

/// Maximum number of characters of a cell that a problem quotes.
const MAX_VALUE_CHARS: usize = 80;

value! {
    /// A reason why a sheet is rejected.
    pub struct Problem {
        /// Row number as the spreadsheet shows it; the header is usually row 1.
        pub row: usize,
        /// Name of the column; empty if the problem concerns the whole row or file.
        pub column: String,
        /// Content of the cell, truncated.
        pub value: String,
        /// What is wrong and what is allowed.
        pub reason: String,
    }
}

impl Problem {
    /// Creates a problem with the content of the cell, which is truncated.
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
