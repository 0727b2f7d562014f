//! Parsing, comparing and exporting sheets.

use std::collections::BTreeSet;

use laburnumvalve::config::{Access, Config, Repeatability, RouteTarget, ServerKind};
use laburnumvalve::sheet::diff::Change;
use laburnumvalve::sheet::{Problem, diff, export, parse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Seed of the property tests.
const PROPTEST_SEED: u64 = 20_261_204;

/// Returns a small valid sheet.
fn sample_sheet() -> String {
    "\
table,name,tier,first-token-ms,token-gap-ms,promised-share,repeatable,model,path-prefix,access,class,weight,tokens-per-minute,max-running,max-waiting,region,data-centre,address,routes,kind,price,slots,cold-limit,checks-fencing,in-service
class,live,0,500,50,12.5,yes,,,,,,,,,,,,,,,,,,
class,bookings,1,2000,100,5,no,,,,,,,,,,,,,,,,,,
route,timing,,,,,,timing-model,,granted,live,,,,,,,,,,,,,,
route,slots,,,,,,,/slots,open,bookings,,,,,,,,,,,,,,
organisation,shobdo,,,,,,,,,,3,120000,40,25,,,,timing,,,,,,
organisation,marrowgate,,,,,,,,,,1,,,,,,,,,,,,,
data-centre,kolkata-a,,,,,,,,,,,,,,bengal-east,,,,,,,,,yes
backend-server,engine-1,,,,,,,,,,,,,,,kolkata-a,http://10.0.0.7:8000,timing,standard,1.25,8,2,yes,yes
backend-server,portal-1,,,,,,,,,,,,,,,kolkata-a,http://10.0.0.8:8000,slots,reclaimable,0.4,4,1,no,no
"
    .to_owned()
}

fn parse_valid(sheet: &str) -> Config {
    parse(sheet.as_bytes()).unwrap_or_else(|problems| panic!("{problems:#?}"))
}

fn parse_invalid(sheet: &str) -> Vec<Problem> {
    parse(sheet.as_bytes()).expect_err("the sheet should be rejected")
}

/// Replaces the first occurrence of a text; panics if there is none.
fn replace_once(sheet: &str, from: &str, to: &str) -> String {
    assert!(sheet.contains(from), "the sheet does not contain {from:?}");
    sheet.replacen(from, to, 1)
}

/// Converts a comma-delimited sheet to another delimiter, quoting cells where needed.
fn with_delimiter(sheet: &str, delimiter: u8) -> String {
    let mut reader = csv::ReaderBuilder::new().has_headers(false).from_reader(sheet.as_bytes());
    let mut writer = csv::WriterBuilder::new().delimiter(delimiter).from_writer(Vec::new());
    for record in reader.records() {
        writer.write_record(&record.unwrap()).unwrap();
    }
    String::from_utf8(writer.into_inner().unwrap()).unwrap()
}

fn encode_utf16_le(sheet: &str) -> Vec<u8> {
    let units = std::iter::once(0xFEFF).chain(sheet.encode_utf16());
    units.flat_map(u16::to_le_bytes).collect()
}

#[test]
fn parse_reads_the_value_of_every_column() {
    let config = parse_valid(&sample_sheet());

    let live = &config.classes["live"];
    assert_eq!((live.tier.0, live.first_token_ms, live.promised_share), (0, 500, 125));
    assert_eq!(config.classes["bookings"].repeatability, Repeatability::NonIdempotent);
    let granted = BTreeSet::from(["shobdo".into()]);
    assert_eq!(config.routes["timing"].access, Access::Granted(granted));
    assert_eq!(config.routes["slots"].target, RouteTarget::Prefix("/slots".into()));
    let shobdo = &config.organisations["shobdo"];
    assert_eq!(
        (shobdo.weight, shobdo.tokens_per_minute, shobdo.max_waiting),
        (3, Some(120_000), 25)
    );
    assert_eq!(config.organisations["marrowgate"].max_running, None);
    let engine = &config.backend_servers["engine-1"];
    assert_eq!((engine.price, engine.slots, engine.cold_limit), (1_250, 8, 2));
    assert!(engine.checks_fencing && engine.in_service);
    let portal = &config.backend_servers["portal-1"];
    assert_eq!((portal.kind, portal.in_service), (ServerKind::Reclaimable, false));
    assert_eq!((config.version, config.keys.len()), (0, 0));
}

#[rstest]
#[case::byte_order_mark(format!("\u{FEFF}{}", sample_sheet()).into_bytes())]
#[case::crlf(sample_sheet().replace('\n', "\r\n").into_bytes())]
#[case::lone_cr(sample_sheet().replace('\n', "\r").into_bytes())]
#[case::semicolons(with_delimiter(&sample_sheet(), b';').into_bytes())]
#[case::semicolons_and_decimal_commas(
    with_delimiter(&sample_sheet(), b';').replace("1.25", "1,25").replace("12.5", "12,5").into_bytes()
)]
#[case::tabs(with_delimiter(&sample_sheet(), b'\t').into_bytes())]
#[case::declared_separator(format!("sep=;\n{}", with_delimiter(&sample_sheet(), b';')).into_bytes())]
#[case::utf16(encode_utf16_le(&with_delimiter(&sample_sheet(), b'\t')))]
#[case::trailing_blank_rows(format!("{}{}\n\n", sample_sheet(), ",".repeat(24)).into_bytes())]
#[case::trailing_blank_columns(sample_sheet().replace('\n', ",,, \n").into_bytes())]
#[case::blank_rows_between(sample_sheet().replace('\n', "\n\n").into_bytes())]
#[case::header_in_other_case(replace_once(&sample_sheet(), "first-token-ms", " First_Token ms").into_bytes())]
#[case::thousands_separators(replace_once(&sample_sheet(), "120000", "\"1,20,000\"").into_bytes())]
#[case::thousands_spaces(replace_once(&sample_sheet(), "120000", "120\u{A0}000").into_bytes())]
#[case::bengali_digits(replace_once(&sample_sheet(), "120000", "১২০০০০").into_bytes())]
#[case::percent_sign(replace_once(&sample_sheet(), "12.5", "12.5 %").into_bytes())]
#[case::list_with_line_break(replace_once(&sample_sheet(), "timing,standard", "\"timing\n\",standard").into_bytes())]
fn parse_ignores_differences_in_encoding_and_formatting(#[case] bytes: Vec<u8>) {
    let config = parse(&bytes).unwrap_or_else(|problems| panic!("{problems:#?}"));

    assert_eq!(config, parse_valid(&sample_sheet()));
}

#[test]
fn bengali_names_survive_export_and_parse() {
    let sheet = replace_once(&sample_sheet(), "organisation,shobdo", "organisation,শব্দ-সময়");

    let config = parse_valid(&sheet);

    assert!(config.organisations.contains_key("শব্দ-সময়"));
    assert_eq!(parse_valid(&export(&config)), config);
}

/// Replacements that each cause one problem: text, replacement, row, column and part of the reason.
const DEFECTS: [(&str, &str, usize, &str, &str); 23] = [
    ("class,live,0", "class,live,7", 2, "tier", "at most 5"),
    (",500,50,", ",0,50,", 2, "first-token-ms", "whole number from 1"),
    ("2000,100,5,no", "2000,100,5,perhaps", 3, "repeatable", "yes or no"),
    (",12.5,yes", ",97,yes", 3, "promised-share", "over 100 percent"),
    (",granted,live", ",granted,gold", 4, "class", "no class \"gold\""),
    (",/slots,", ",slots,", 5, "path-prefix", "use a path"),
    (",open,", ",public,", 5, "access", "open or granted"),
    (",3,120000", ",3.5,120000", 6, "weight", "whole number"),
    (",40,25", ",forty,25", 6, "max-running", "not a number"),
    ("120000", "1E+05", 6, "tokens-per-minute", "not a number"),
    (",,timing,,,,,,", ",,aligning,,,,,,", 6, "routes", "no route \"aligning\""),
    ("organisation,marrowgate", "organisation,shobdo", 7, "name", "row 6 already"),
    ("data-centre,kolkata-a", "data-centre,=A1", 8, "name", "a formula"),
    ("bengal-east", "বাংলা", 8, "region", "letters from a to z"),
    ("backend-server,engine-1", "backend-server,", 9, "name", "must be given"),
    ("engine-1,,", "engine-1,3,", 9, "tier", "leave it blank"),
    ("http://10.0.0.7:8000", "https://10.0.0.7:8000", 9, "address", "http://"),
    ("1.25,8,2", "#REF!,8,2", 9, "price", "spreadsheet error value"),
    ("1.25,8,2", "1.25,8,20", 9, "cold-limit", "must not exceed the slots"),
    ("0.4,4,1", "-1,4,1", 10, "price", "not a number"),
    ("kolkata-a,http://10.0.0.8", "howrah-c,http://10.0.0.8", 10, "data-centre", "no data centre"),
    ("reclaimable", "spot", 10, "kind", "standard or reclaimable"),
    ("backend-server,portal-1", "server,portal-1", 10, "table", "use class, route"),
];

#[test]
fn each_defect_is_reported_with_row_column_and_reason() {
    for (from, to, row, column, reason) in DEFECTS {
        let problems = parse_invalid(&replace_once(&sample_sheet(), from, to));

        let found = problems.iter().any(|problem| {
            problem.row == row && problem.column == column && problem.reason.contains(reason)
        });
        assert!(found, "{from:?} -> {to:?}: {problems:#?}");
    }
}

#[test]
fn twenty_defects_are_all_reported_in_one_pass() {
    // Three defects are excluded because they share a cell or row with another one.
    let excluded = ["#REF!", "server,portal-1", "backend-server,"];
    let defects: Vec<_> = DEFECTS
        .iter()
        .filter(|(_, to, ..)| !excluded.iter().any(|text| to.starts_with(text)))
        .collect();
    assert_eq!(defects.len(), 20);
    let sheet =
        defects.iter().fold(sample_sheet(), |sheet, (from, to, ..)| replace_once(&sheet, from, to));

    let problems = parse_invalid(&sheet);

    for (_, to, row, column, reason) in defects {
        let found = problems.iter().any(|problem| {
            problem.row == *row && problem.column == *column && problem.reason.contains(reason)
        });
        assert!(found, "{to:?} at row {row} is not reported: {problems:#?}");
    }
}

#[rstest]
#[case::empty("", 1, "empty")]
#[case::no_rows("table,name\n", 1, "no rows below the header")]
#[case::no_table_column("name,tier\nlive,0\n", 1, "lacks this column")]
#[case::unknown_column("table,name,teir\nclass,live,0\n", 1, "no such column")]
#[case::column_twice("table,name,tier,tier\nclass,live,0,0\n", 1, "duplicate column")]
#[case::cell_beyond_header("table,name\n\nclass,live,0\n", 3, "without a header")]
#[case::open_quote("table,name\nclass,\"live\n", 2, "not closed")]
fn a_malformed_file_is_rejected(#[case] sheet: &str, #[case] row: usize, #[case] reason: &str) {
    let problems = parse_invalid(sheet);

    let found =
        problems.iter().any(|problem| problem.row == row && problem.reason.contains(reason));
    assert!(found, "{problems:#?}");
}

#[test]
fn invalid_utf8_is_rejected_with_its_row() {
    let mut bytes = b"table,name\nclass,".to_vec();
    bytes.extend([0xE9, b'\n']);

    let problems = parse(&bytes).expect_err("Latin-1 should be rejected");

    assert_eq!(problems[0].row, 2);
}

#[rstest]
#[case("1.000")]
#[case("1,000")]
fn a_single_separator_before_three_digits_is_ambiguous_unless_the_delimiter_is_a_comma(
    #[case] text: &str,
) {
    let sheet =
        with_delimiter(&replace_once(&sample_sheet(), "120000", &format!("\"{text}\"")), b';');

    let problems = parse_invalid(&sheet);

    assert_eq!(problems.len(), 1, "{problems:#?}");
    assert!(problems[0].reason.contains("thousands separator"));
}

#[test]
fn row_numbers_match_those_of_the_spreadsheet() {
    let sheet = replace_once(&sample_sheet(), "timing,standard", "\"timing\n\nslots\",standard");
    let sheet = replace_once(&sheet, "backend-server,portal-1", "\nbackend-server,=B2");

    let problems = parse_invalid(&sheet);

    // The blank line counts as a row; the line breaks within a cell don't.
    assert_eq!(problems[0].row, 11, "{problems:#?}");
}

#[rstest]
#[case("=cmd()")]
#[case("+1")]
#[case("-1")]
#[case("@sum")]
#[case("'=x")]
fn export_escapes_formulas(#[case] model: &str) {
    let mut config = parse_valid(&sample_sheet());
    let route = config.routes.get_mut("timing").unwrap();
    route.target = RouteTarget::Model(model.into());

    let sheet = export(&config);

    let mut reader = csv::Reader::from_reader(sheet.trim_start_matches('\u{FEFF}').as_bytes());
    for cell in reader
        .records()
        .flat_map(|record| record.unwrap().iter().map(str::to_owned).collect::<Vec<_>>())
    {
        assert!(!cell.starts_with(['=', '+', '-', '@', '\t', '\r']), "{cell:?}");
    }
    assert_eq!(parse_valid(&sheet), config);
}

#[test]
fn differences_are_displayed_with_table_and_column_names() {
    let old = parse_valid(&sample_sheet());
    let sheet = replace_once(&sample_sheet(), ",3,120000", ",4,120000");
    let sheet = replace_once(&sheet, "backend-server,portal-1", "backend-server,portal-2");
    let new = parse_valid(&sheet);

    let lines: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();

    assert_eq!(
        lines,
        [
            "organisation shobdo: weight from \"3\" to \"4\"",
            "backend-server portal-2: added",
            "backend-server portal-1: removed",
        ]
    );
    assert_eq!(diff(&old, &old), []);
    assert!(matches!(diff(&old, &new)[0].change, Change::Changed { .. }));
}

/// Returns the sample sheet with the given numbers of rows added.
fn large_sheet(organisations: usize, models: usize, servers: usize) -> String {
    let mut sheet = sample_sheet();
    for model in 0..models {
        let row = format!("route,model-{model},,,,,,m-{model},,granted,live,,,,,,,,,,,,,,\n");
        sheet.push_str(&row);
    }
    let routes: Vec<String> = (0..models).map(|model| format!("model-{model}")).collect();
    let routes = routes.join(" ");
    for number in 0..organisations {
        let row = format!("organisation,org-{number},,,,,,,,,,1,,,,,,,{routes},,,,,,\n");
        sheet.push_str(&row);
    }
    for number in 0..servers {
        let row = format!(
            "backend-server,s-{number},,,,,,,,,,,,,,,kolkata-a,http://10.1.0.1:{},{routes},standard,2,8,2,yes,yes\n",
            1_000 + number
        );
        sheet.push_str(&row);
    }
    sheet
}

#[test]
fn a_sheet_of_maximum_size_survives_export_and_parse() {
    let config = parse_valid(&large_sheet(3_900, 15, 1_500));

    let reparsed = parse_valid(&export(&config));

    assert_eq!((config.organisations.len(), config.backend_servers.len()), (3_902, 1_502));
    assert_eq!(diff(&config, &reparsed), []);
    assert_eq!(reparsed, config);
}

/// Generates the same cases on every run.
fn seeded_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(PROPTEST_SEED);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded_config())]

    /// Guards against panics on arbitrary bytes, and rejections without a problem.
    #[test]
    fn any_bytes_are_parsed_or_rejected_with_problems(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        if let Err(problems) = parse(&bytes) {
            prop_assert!(!problems.is_empty());
        }
    }

    /// Guards against panics on arbitrary text in a cell, and values that export does not preserve.
    #[test]
    fn any_parsed_cell_survives_export_and_parse(text in "\\PC{0,20}", index in 0..40usize) {
        let sheet = sample_sheet();
        let quoted = format!(",\"{}\",", text.replace('"', "\"\""));
        let position = sheet.match_indices(",,").nth(index).map(|(position, _)| position);
        let position = position.unwrap();
        let sheet = format!("{}{quoted}{}", &sheet[..position], &sheet[position + 2..]);
        if let Ok(config) = parse(sheet.as_bytes()) {
            prop_assert_eq!(parse_valid(&export(&config)), config);
        }
    }
}
