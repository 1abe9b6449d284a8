//! Checks credentials against stored hashes in constant time.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

use state::column::Column;
use state::sheet::Sheet;
use state::table::Table;

const SCHEME: &str = "Bearer ";

/// Returns the hash of a key as the table and the settings store it.
pub fn hash(key: impl AsRef<[u8]>) -> String {
    blake3::hash(key.as_ref()).to_hex().to_string()
}

/// Returns whether the request carries the key whose hash is `expected`.
pub fn is_operator(headers: &HeaderMap, expected: &str) -> bool {
    bearer(headers).is_some_and(|key| same(&hash(key), expected))
}

/// Returns the workspace whose key the request carries.
///
/// Every row is compared, so that the time taken does not tell which one matched.
pub fn workspace(headers: &HeaderMap, table: &Table) -> Option<String> {
    let hash = hash(bearer(headers)?);
    let mut found = None;
    for (name, row) in table.sheet(Sheet::Workspaces) {
        let stored = row.text(Column::KeyHash).unwrap_or_default();
        if same(&hash, stored) {
            found = Some(name.to_owned());
        }
    }
    found
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(SCHEME).map(str::trim)
}

fn same(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}
