//! The command `voters`.

use std::io::Write;

use error_stack::Report;

use crate::arguments;
use crate::arguments::Arguments;
use crate::error::Error;
use crate::grid::Grid;
use crate::grid::or_dash;
use crate::table::json;
use crate::write;
use protocol::operator::Voters;
use protocol::voter::VoterChange;

const PATH: &str = "/admin/voters";
const USAGE: &str = "voters [add HOST ADDRESS | remove HOST] [options]";

/// Prints the voters and learners, after adding or removing one where that is asked.
///
/// # Errors
///
/// Returns an error when no server answers, the key is refused or the change was not made.
pub async fn run(words: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    let arguments = Arguments::parse(words, |_| ())?;
    let ask = ask(arguments.words(0..=3, USAGE)?)?;
    let client = arguments.client()?;
    let voters = match ask {
        None => client.get::<Voters>(PATH).await?,
        Some(ask) => {
            let shown = client.post(client.servers()[0], PATH, &ask).await?;
            Option::<Voters>::unwrap_or_default(shown)
        }
    };
    if arguments.json() {
        return write(out, &json(&voters));
    }
    write(out, &text(&voters))
}

fn ask(words: &[String]) -> Result<Option<VoterChange>, Report<Error>> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] => Ok(None),
        ["add", name, address] => Ok(Some(VoterChange::Add {
            address: arguments::server(address)?,
            name: (*name).to_owned(),
        })),
        ["remove", name] => Ok(Some(VoterChange::Remove {
            name: (*name).to_owned(),
        })),
        _ => {
            let usage = USAGE.to_owned();
            Err(Error::Usage { usage }.into())
        }
    }
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
