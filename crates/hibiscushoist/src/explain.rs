//! The command `explain`.

use std::io::Write;

use error_stack::Report;

use crate::arguments::Arguments;
use crate::error::Error;
use crate::grid::Grid;
use crate::grid::or_dash;
use crate::table::json;
use crate::write;
use protocol::operator::Explanation;
use state::cell;

const USAGE: &str = "explain ID [--server ADDRESS] [--key-file FILE] [--json]";

/// Prints how one request was decided.
///
/// # Errors
///
/// Returns an error when the request is unknown to every server.
pub async fn run(words: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    let arguments = Arguments::parse(words, |_| ())?;
    let id = &arguments.words(1..=1, USAGE)?[0];
    if !cell::is_name(id) {
        let usage = USAGE.to_owned();
        return Err(Error::Usage { usage }.into());
    }
    let client = arguments.client()?;
    let explanation = client
        .get::<Explanation>(&format!("/admin/explain/{id}"))
        .await?;
    if arguments.json() {
        return write(out, &json(&explanation));
    }
    write(out, &text(&explanation))
}

/// Returns the explanation as text for a terminal.
pub fn text(explanation: &Explanation) -> String {
    let mut text = format!(
        "request {} of workspace {}, kind {}, rank {}: {}",
        explanation.id,
        explanation.workspace,
        explanation.kind,
        explanation.rank,
        explanation.outcome,
    );
    if let Some(reason) = &explanation.refusal {
        text.push_str(&format!(" ({reason})"));
    }
    text.push_str("\n\ncandidates\n");
    text.push_str(&candidates(explanation));
    text.push_str("\nwaits and retries\n");
    text.push_str(&steps(explanation));
    text.push_str("\nattempts\n");
    text.push_str(&attempts(explanation));
    text
}

fn attempts(explanation: &Explanation) -> String {
    let headings = [
        "upstream",
        "offset",
        "start ms",
        "first token ms",
        "end ms",
        "outcome",
    ];
    let mut grid = Grid::new(&headings);
    for attempt in &explanation.attempts {
        grid.push([
            attempt.upstream.clone(),
            attempt.offset.to_string(),
            attempt.started_ms.to_string(),
            or_dash(attempt.first_token_ms),
            or_dash(attempt.ended_ms),
            attempt.outcome.clone(),
        ]);
    }
    grid.text()
}

fn candidates(explanation: &Explanation) -> String {
    let mut grid = Grid::new(&["upstream", "expected ms", "cached tokens", "passed over"]);
    for candidate in &explanation.candidates {
        grid.push([
            candidate.upstream.clone(),
            format!("{:.1}", candidate.score_ms),
            candidate.cached_tokens.to_string(),
            or_dash(candidate.passed_over.as_ref()),
        ]);
    }
    grid.text()
}

fn steps(explanation: &Explanation) -> String {
    let mut grid = Grid::new(&["at ms", "length ms", "reason"]);
    for step in &explanation.steps {
        grid.push([
            step.at_ms.to_string(),
            step.length_ms.to_string(),
            step.reason.clone(),
        ]);
    }
    grid.text()
}
