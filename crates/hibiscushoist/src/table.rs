//! The command `table`.

use std::collections::BTreeMap;
use std::env;
use std::io::Write;

use error_stack::Report;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::arguments::Arguments;
use crate::change;
use crate::client::Client;
use crate::edit;
use crate::error::Error;
use crate::grid::Grid;
use crate::route;
use crate::watch;
use crate::write;
use protocol::operator::History;
use protocol::operator::RowView;
use protocol::operator::TableView;
use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::row;
use state::sheet::Sheet;

const MOST_WORDS: usize = 32;
const USAGE: &str = "table get|set|add|remove|history|watch ...; see `hibiscushoist help table`";

#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum Verb {
    Add,
    Get,
    History,
    Remove,
    Set,
    Watch,
}

/// Reads or edits the table.
///
/// # Errors
///
/// Returns an error when the words do not fit, no server answers, or an edit is not accepted.
pub async fn run(words: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    let arguments = Arguments::parse(words, |options| {
        options
            .optopt("", "after", "starts after a revision", "REVISION")
            .optopt("", "author", "names the operator", "NAME")
            .optopt("", "count", "ends a watch", "NUMBER")
            .optopt("", "edit-key", "names the edit", "KEY")
            .optopt("", "if-revision", "names the row's revision", "NUMBER");
    })?;
    let words = arguments.words(1..=MOST_WORDS, USAGE)?;
    let (verb, rest) = words.split_first().expect("one word at least was checked");
    match verb.parse::<Verb>() {
        Ok(Verb::Get) => get(&arguments, rest, out).await,
        Ok(Verb::History) => history(&arguments, rest, out).await,
        Ok(Verb::Watch) => watch::run(&arguments, rest, out).await,
        Ok(verb) => change(&arguments, verb, rest, out).await,
        Err(_) => Err(usage(USAGE)),
    }
}

async fn change(
    arguments: &Arguments,
    verb: Verb,
    words: &[String],
    out: &mut impl Write,
) -> Result<(), Report<Error>> {
    let [sheet, row, cells @ ..] = words else {
        return Err(usage(USAGE));
    };
    let name = row::Name {
        row: row.clone(),
        sheet: parse_sheet(sheet)?,
    };
    let action = action(verb, cells)?;
    let client = arguments.client()?;
    let edit = Edit {
        action,
        author: author(arguments),
        if_revision: base(arguments, verb, &client, &name).await?,
        key: arguments.text("edit-key").unwrap_or_else(edit::key),
        name,
    };
    let receipt = edit::send(&client, &edit).await?;
    if arguments.json() {
        return write(out, &json(&receipt));
    }
    write(out, &format!("table revision {}\n", receipt.revision))
}

fn action(verb: Verb, words: &[String]) -> Result<Action, Report<Error>> {
    let mut cells = BTreeMap::new();
    for word in words {
        let (column, value) = cell(word)?;
        cells.insert(column, value);
    }
    match verb {
        Verb::Add => Ok(Action::Add(
            cells
                .into_iter()
                .filter_map(|(column, value)| Some((column, value?)))
                .collect(),
        )),
        Verb::Remove if cells.is_empty() => Ok(Action::Remove),
        Verb::Set if !cells.is_empty() => Ok(Action::Set(cells)),
        _ => Err(usage(USAGE)),
    }
}

fn cell(word: &str) -> Result<(Column, Option<String>), Report<Error>> {
    let wrong = || Error::Cell {
        text: word.to_owned(),
    };
    let (column, value) = word.split_once('=').ok_or_else(wrong)?;
    let column = column.parse().map_err(|_| wrong())?;
    let value = (!value.is_empty()).then(|| value.to_owned());
    Ok((column, value))
}

fn author(arguments: &Arguments) -> String {
    let given = arguments.text("author").or_else(|| env::var("USER").ok());
    given.unwrap_or_else(|| "operator".to_owned())
}

async fn base(
    arguments: &Arguments,
    verb: Verb,
    client: &Client,
    name: &row::Name,
) -> Result<u64, Report<Error>> {
    if verb == Verb::Add {
        return Ok(0);
    }
    if let Some(revision) = arguments.maybe_number("if-revision", 0..=u64::MAX)? {
        return Ok(revision);
    }
    let listing = client.get::<TableView>(route::TABLE).await?;
    let found = listing
        .rows
        .iter()
        .find(|view| view.sheet == name.sheet && view.row == name.row);
    Ok(found.map_or(0, |view| view.revision))
}

async fn get(
    arguments: &Arguments,
    words: &[String],
    out: &mut impl Write,
) -> Result<(), Report<Error>> {
    let (sheet, row) = match words {
        [] => (None, None),
        [sheet] => (Some(parse_sheet(sheet)?), None),
        [sheet, row] => (Some(parse_sheet(sheet)?), Some(row)),
        _ => return Err(usage("table get [SHEET [ROW]]")),
    };
    let mut listing = arguments.client()?.get::<TableView>(route::TABLE).await?;
    listing.rows.retain(|view| {
        sheet.is_none_or(|sheet| view.sheet == sheet) && row.is_none_or(|row| view.row == *row)
    });
    if arguments.json() {
        return write(out, &json(&listing));
    }
    write(out, &listing_text(&listing))
}

async fn history(
    arguments: &Arguments,
    words: &[String],
    out: &mut impl Write,
) -> Result<(), Report<Error>> {
    if !words.is_empty() {
        return Err(usage("table history [--after REVISION]"));
    }
    let after = arguments.number("after", 0..=u64::MAX, 0)?;
    let history =
        change::after_revision::<History>(&arguments.client()?, route::HISTORY, after).await?;
    if arguments.json() {
        return write(out, &json(&history));
    }
    let lines = history.changes.iter().map(change::text);
    write(out, &lines.collect::<String>())
}

/// Returns `value` as JSON on lines of its own.
pub fn json(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("answers have text keys");
    text.push('\n');
    text
}

fn listing_text(listing: &TableView) -> String {
    let mut grid = Grid::new(&["sheet", "row", "revision", "cells"]);
    for view in &listing.rows {
        grid.push([
            view.sheet.to_string(),
            view.row.clone(),
            view.revision.to_string(),
            cells_text(view),
        ]);
    }
    format!("table revision {}\n\n{}", listing.revision, grid.text())
}

fn cells_text(view: &RowView) -> String {
    let pairs = view.cells.iter().map(|(c, value)| format!("{c}={value}"));
    pairs.collect::<Vec<_>>().join(" ")
}

fn parse_sheet(text: &str) -> Result<Sheet, Report<Error>> {
    text.parse()
        .map_err(|_| usage("table ... SHEET: kinds, models, upstreams or workspaces"))
}

fn usage(usage: &str) -> Report<Error> {
    let usage = usage.to_owned();
    Error::Usage { usage }.into()
}
