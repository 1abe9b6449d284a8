//! The pages against the code, in both directions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use strum::IntoEnumIterator;

use coordination::retry;
use hibiscushoistd::settings::Role;
use hibiscushoistd::settings::SECTIONS;
use protocol::operator::FailureKind;
use protocol::refusal::Reason;
use state::column::Column;
use state::column::ValueType;
use state::sheet::Sheet;
use transport::event::Event;

const METRIC_PREFIX: &str = "\"hibiscushoist_";

type Rows = BTreeMap<String, Vec<String>>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).unwrap()
}

/// Returns the part of a page under a heading of the second level.
fn part(page: &str, heading: &str) -> String {
    let start = format!("\n## {heading}\n");
    let (_, rest) = page
        .split_once(&start)
        .unwrap_or_else(|| panic!("no heading `{heading}`"));
    rest.split("\n## ").next().unwrap().to_owned()
}

/// Returns the rows of the tables in a text, by their first cell and without quotes.
fn rows(text: &str) -> Rows {
    let lines = text.lines().filter(|line| line.starts_with('|'));
    let cells = |line: &str| {
        let cells = line.trim_matches('|').split('|');
        let cells = cells.map(|cell| cell.trim().trim_matches('`').to_owned());
        cells.collect::<Vec<_>>()
    };
    let mut rows = Rows::new();
    let body = lines.map(cells).filter(|row| !row[0].starts_with("---"));
    for row in body.skip(1) {
        let first = row[0].clone();
        assert!(
            rows.insert(first.clone(), row).is_none(),
            "`{first}` stands twice"
        );
    }
    rows
}

fn keys(rows: &Rows) -> BTreeSet<String> {
    rows.keys().cloned().collect()
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the text of every source file.
fn texts() -> Vec<String> {
    let mut files = Vec::new();
    for package in fs::read_dir(root().join("crates")).unwrap() {
        sources(&package.unwrap().path().join("src"), &mut files);
    }
    let read = |file| fs::read_to_string(file).unwrap();
    files.into_iter().map(read).collect()
}

/// Returns the names of metrics that stand in the sources.
fn metrics() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for text in texts() {
        for rest in text.split(METRIC_PREFIX).skip(1) {
            let name = rest.split('"').next().unwrap();
            names.insert(format!("hibiscushoist_{name}"));
        }
    }
    names
}

#[test]
fn every_event_stands_on_its_page_with_number_and_level() {
    let listed = rows(&page("EVENTS.md"));
    let expected = Event::iter().map(|event| {
        let level = event.level().as_str().to_ascii_lowercase();
        (event.number().to_string(), event.to_string(), level)
    });
    let found = listed
        .values()
        .map(|row| (row[0].clone(), row[1].clone(), row[2].clone()));
    let short = |level: String| level.chars().take(4).collect::<String>();
    let expected = expected.map(|(number, name, level)| (number, name, short(level)));
    let found = found.map(|(number, name, level)| (number, name, short(level)));
    assert_eq!(found.collect::<BTreeSet<_>>(), expected.collect());
}

#[test]
fn every_metric_stands_on_its_page() {
    assert_eq!(
        keys(&rows(&part(&page("METRICS.md"), "Metrics"))),
        metrics()
    );
}

#[test]
fn every_metric_is_named_by_a_constant() {
    for text in texts() {
        for macro_name in ["counter!(", "gauge!(", "histogram!("] {
            let named = |rest: &str| rest.trim_start().starts_with('"');
            assert!(!text.split(macro_name).skip(1).any(named), "{macro_name}");
        }
    }
}

#[test]
fn every_refusal_reason_stands_on_its_page_with_its_status() {
    let listed = rows(&part(&page("METRICS.md"), "Refusal reasons"));
    let found = listed.values().map(|row| (row[0].clone(), row[1].clone()));
    let expected = Reason::iter().map(|reason| (reason.to_string(), reason.status().to_string()));
    assert_eq!(found.collect::<BTreeSet<_>>(), expected.collect());
}

#[test]
fn every_retry_reason_stands_on_its_page() {
    let listed = keys(&rows(&part(&page("METRICS.md"), "Retry reasons")));
    assert_eq!(
        listed,
        retry::Reason::iter().map(|r| r.to_string()).collect()
    );
}

#[test]
fn every_retry_denial_stands_on_its_page() {
    let listed = keys(&rows(&part(&page("METRICS.md"), "Retry denials")));
    assert_eq!(
        listed,
        retry::Denial::iter().map(|d| d.to_string()).collect()
    );
}

#[test]
fn every_kind_of_failure_stands_on_its_page_with_its_status() {
    let listed = rows(&part(&page("METRICS.md"), "Operators' failures"));
    let found = listed.values().map(|row| (row[0].clone(), row[1].clone()));
    let expected = FailureKind::iter().map(|kind| (kind.to_string(), kind.status().to_string()));
    assert_eq!(found.collect::<BTreeSet<_>>(), expected.collect());
}

#[test]
fn every_section_and_key_of_the_settings_stands_on_its_page() {
    let page = page("SETTINGS.md");
    let headings = page.lines().filter_map(|line| line.strip_prefix("## ["));
    let found: BTreeSet<_> = headings.map(|line| line.trim_end_matches(']')).collect();
    assert_eq!(found, SECTIONS.iter().map(|section| section.name).collect());
    for section in SECTIONS {
        let listed = keys(&rows(&part(&page, &format!("[{}]", section.name))));
        let expected = section.keys.iter().map(|key| (*key).to_owned()).collect();
        assert_eq!(listed, expected, "{}", section.name);
    }
}

#[test]
fn every_role_stands_on_the_page_of_the_settings() {
    let page = page("SETTINGS.md");
    for role in Role::iter() {
        assert!(page.contains(&format!("`{role}`")), "{role}");
    }
}

#[test]
fn every_sheet_and_column_stands_on_its_page() {
    let page = page("TABLE.md");
    let headings = page.lines().filter_map(|line| line.strip_prefix("## "));
    let found: BTreeSet<_> = headings.map(ToOwned::to_owned).collect();
    assert_eq!(
        found,
        Sheet::iter().map(|sheet| sheet.to_string()).collect()
    );
    for sheet in Sheet::iter() {
        let listed = rows(&part(&page, &sheet.to_string()));
        let found = listed
            .values()
            .map(|row| (row[0].clone(), row[1].clone(), row[2].clone()));
        let expected = sheet.columns().iter().map(|column| {
            let required = sheet.required().contains(column);
            let required = if required { "yes" } else { "no" };
            (column.to_string(), required.to_owned(), takes(*column))
        });
        assert_eq!(
            found.collect::<BTreeSet<_>>(),
            expected.collect(),
            "{sheet}"
        );
    }
}

fn takes(column: Column) -> String {
    match column.value_type() {
        ValueType::Address => "IP number and port".to_owned(),
        ValueType::Choice(words) => words.join(", "),
        ValueType::Flag => "true or false".to_owned(),
        ValueType::Hash => "64 hexadecimal digits".to_owned(),
        ValueType::Name => "a name".to_owned(),
        ValueType::Number { min, max } => format!("{min} to {max}"),
    }
}
#[test]
fn every_link_between_pages_leads_to_a_file() {
    let mut pages = vec![root().join("README.md")];
    for folder in ["docs", "docs/operations", "docs/design"] {
        let Ok(entries) = fs::read_dir(root().join(folder)) else {
            continue;
        };
        let paths = entries.map(|entry| entry.unwrap().path());
        pages.extend(paths.filter(|path| path.extension().is_some_and(|e| e == "md")));
    }
    for page in pages {
        let text = fs::read_to_string(&page).unwrap();
        for rest in text.split("](").skip(1) {
            let target = rest.split([')', '#']).next().unwrap();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let path = page.parent().unwrap().join(target);
            assert!(path.exists(), "{}: {target}", page.display());
        }
    }
}
