//! The command `voters`.

use std::io::Write;

use error_stack::Report;

use crate::arguments::Arguments;
use crate::error::Error;
use crate::grid::Grid;
use crate::grid::or_dash;
use crate::table::json;
use crate::write;
use protocol::operator::Voters;

/// Prints the voters and learners.
///
/// # Errors
///
/// Returns an error when no server answers or the key is refused.
pub async fn run(words: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    let arguments = Arguments::parse(words, |_| ())?;
    arguments.words(
        0..=0,
        "voters [--server ADDRESS] [--key-file FILE] [--json]",
    )?;
    let client = arguments.client()?;
    let voters = client.get::<Voters>("/admin/voters").await?;
    if arguments.json() {
        return write(out, &json(&voters));
    }
    write(out, &text(&voters))
}

/// Returns the voters as text for a terminal.
pub fn text(voters: &Voters) -> String {
    let leader = or_dash(voters.leader.as_ref());
    let mut grid = Grid::new(&["voter", "address", "standing", "matched"]);
    for voter in &voters.voters {
        grid.push([
            voter.name.clone(),
            voter.address.clone(),
            voter.standing.clone(),
            or_dash(voter.matched),
        ]);
    }
    format!(
        "term {}, leader {leader}, committed {}\n\n{}",
        voters.term,
        voters.committed,
        grid.text()
    )
}
