//! The tables of the sheet and the columns that each of them uses.

choice! {
    /// Table that a row belongs to, as named in its `table` column.
    pub enum Table {
        /// A request class.
        Class,
        /// A route.
        Route,
        /// An organisation.
        Organisation,
        /// A data centre.
        DataCentre,
        /// A backend server.
        BackendServer,
    }

    /// A column of the sheet.
    pub enum Column {
        /// Table that the row belongs to.
        Table,
        /// Name of the record.
        Name,
        /// Tier of a class, 0 to 5.
        Tier,
        /// Target for the time to the first token, in milliseconds.
        FirstTokenMs,
        /// Target for the time between tokens, in milliseconds.
        TokenGapMs,
        /// Share of each backend server that is reserved for the class, in percent.
        PromisedShare,
        /// Whether requests of the class are idempotent, so that they may be executed again.
        Repeatable,
        /// Model that the route serves.
        Model,
        /// Path prefix that the route serves.
        PathPrefix,
        /// Whether the route is open to all organisations or granted to some.
        Access,
        /// Class of the route's requests.
        Class,
        /// Weight of an organisation's fair share within a class.
        Weight,
        /// Maximum number of tokens that an organisation may use per minute.
        TokensPerMinute,
        /// Maximum number of running requests of an organisation.
        MaxRunning,
        /// Maximum number of requests of an organisation that wait in one queue.
        MaxWaiting,
        /// Region of a data centre.
        Region,
        /// Data centre of a backend server.
        DataCentre,
        /// Base URL of a backend server.
        Address,
        /// Routes granted to an organisation, or served by a backend server.
        Routes,
        /// Whether a backend server is `standard` (on-demand) or `reclaimable` (spot).
        Kind,
        /// Price per hour of a backend server.
        Price,
        /// Maximum number of concurrent requests of a warm backend server.
        Slots,
        /// Maximum number of concurrent requests of a backend server during cold start.
        ColdLimit,
        /// Whether a backend server rejects orders with an outdated fencing token.
        ChecksFencing,
        /// Whether a data centre or backend server accepts new requests.
        InService,
    }
}

/// All tables, in export order.
pub const TABLES: [Table; 5] =
    [Table::Class, Table::Route, Table::Organisation, Table::DataCentre, Table::BackendServer];

/// All columns, in export order.
pub const COLUMNS: [Column; 25] = [
    Column::Table,
    Column::Name,
    Column::Tier,
    Column::FirstTokenMs,
    Column::TokenGapMs,
    Column::PromisedShare,
    Column::Repeatable,
    Column::Model,
    Column::PathPrefix,
    Column::Access,
    Column::Class,
    Column::Weight,
    Column::TokensPerMinute,
    Column::MaxRunning,
    Column::MaxWaiting,
    Column::Region,
    Column::DataCentre,
    Column::Address,
    Column::Routes,
    Column::Kind,
    Column::Price,
    Column::Slots,
    Column::ColdLimit,
    Column::ChecksFencing,
    Column::InService,
];

impl Table {
    /// Returns the name used in the `table` column.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Class => "class",
            Self::Route => "route",
            Self::Organisation => "organisation",
            Self::DataCentre => "data-centre",
            Self::BackendServer => "backend-server",
        }
    }

    /// Parses the name of a table, ignoring case and treating spaces and underscores as hyphens.
    pub fn parse(text: &str) -> Option<Self> {
        let text = normalize(text);
        TABLES.into_iter().find(|table| table.as_str() == text)
    }

    /// Returns the columns that rows of the table may use, besides `table`.
    pub fn columns(self) -> &'static [Column] {
        match self {
            Self::Class => &[
                Column::Name,
                Column::Tier,
                Column::FirstTokenMs,
                Column::TokenGapMs,
                Column::PromisedShare,
                Column::Repeatable,
            ],
            Self::Route => {
                &[Column::Name, Column::Model, Column::PathPrefix, Column::Access, Column::Class]
            }
            Self::Organisation => &[
                Column::Name,
                Column::Weight,
                Column::TokensPerMinute,
                Column::MaxRunning,
                Column::MaxWaiting,
                Column::Routes,
            ],
            Self::DataCentre => &[Column::Name, Column::Region, Column::InService],
            Self::BackendServer => &[
                Column::Name,
                Column::DataCentre,
                Column::Address,
                Column::Routes,
                Column::Kind,
                Column::Price,
                Column::Slots,
                Column::ColdLimit,
                Column::ChecksFencing,
                Column::InService,
            ],
        }
    }
}

impl Column {
    /// Returns the name used in the header row.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Name => "name",
            Self::Tier => "tier",
            Self::FirstTokenMs => "first-token-ms",
            Self::TokenGapMs => "token-gap-ms",
            Self::PromisedShare => "promised-share",
            Self::Repeatable => "repeatable",
            Self::Model => "model",
            Self::PathPrefix => "path-prefix",
            Self::Access => "access",
            Self::Class => "class",
            Self::Weight => "weight",
            Self::TokensPerMinute => "tokens-per-minute",
            Self::MaxRunning => "max-running",
            Self::MaxWaiting => "max-waiting",
            Self::Region => "region",
            Self::DataCentre => "data-centre",
            Self::Address => "address",
            Self::Routes => "routes",
            Self::Kind => "kind",
            Self::Price => "price",
            Self::Slots => "slots",
            Self::ColdLimit => "cold-limit",
            Self::ChecksFencing => "checks-fencing",
            Self::InService => "in-service",
        }
    }

    /// Parses a header cell, ignoring case and treating spaces and underscores as hyphens.
    pub fn parse(text: &str) -> Option<Self> {
        let text = normalize(text);
        COLUMNS.into_iter().find(|column| column.as_str() == text)
    }
}

fn normalize(text: &str) -> String {
    text.trim().to_lowercase().replace([' ', '_'], "-")
}
