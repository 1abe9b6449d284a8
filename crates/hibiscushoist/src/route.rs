//! Paths that commands ask for.

/// Answers with the entry addresses for a caller.
pub const ADDRESSES: &str = "/v1/addresses";
/// Takes completions.
pub const COMPLETIONS: &str = "/v1/completions";
/// Answers with the edits after a revision.
pub const HISTORY: &str = "/admin/history";
/// Answers with the whole table.
pub const TABLE: &str = "/admin/table";
/// Answers with the edits after a revision as soon as there are some.
pub const WATCH: &str = "/admin/watch";
