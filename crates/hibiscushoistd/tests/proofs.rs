//! Checks that every test named on the page of proofs exists.

use std::fs;
use std::path::Path;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Splits `package/file::test`.
fn named(text: &str) -> Option<(&str, &str, &str)> {
    let (place, test) = text.split_once("::")?;
    let (package, file) = place.split_once('/')?;
    Some((package, file, test))
}

#[test]
fn every_named_test_exists() {
    let root = Path::new(ROOT);
    let page = fs::read_to_string(root.join("docs/PROOFS.md")).expect("the page exists");
    let names: Vec<_> = page.split('`').filter_map(named).collect();
    assert!(names.len() > 40, "the page names {} tests", names.len());
    for (package, file, test) in names {
        let path = root.join(format!("crates/{package}/tests/{file}.rs"));
        let source = fs::read_to_string(&path).unwrap_or_default();
        let found = source.contains(&format!("fn {test}("));
        assert!(
            found,
            "{package}/{file}::{test} is named and does not exist"
        );
    }
}
