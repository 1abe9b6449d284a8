//! Edits that are sent again, the history of changes, and checks that span rows of the table.

use std::collections::BTreeMap;

use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::edit::Receipt;
use state::history::Change;
use state::history::History;
use state::row::Name;
use state::sheet::Sheet;
use state::table::Error;
use state::table::Table;

#[derive(Default)]
struct Fixture {
    history: History,
    table: Table,
}

impl Fixture {
    fn add(&mut self, sheet: Sheet, row: &str, cells: &[(Column, &str)]) -> &mut Self {
        let cells = cells.iter().map(|(c, text)| (*c, (*text).to_owned()));
        let edit = edit(sheet, row, 0, Action::Add(cells.collect()));
        self.apply(&edit).expect("row fits the sheet");
        self
    }

    fn apply(&mut self, edit: &Edit) -> Result<Receipt, Error> {
        self.history.apply(5, &mut self.table, edit)
    }

    fn engines(names: &[&str]) -> Self {
        let mut fixture = Self::default();
        fixture.add(Sheet::Models, "m", &[(Column::Version, "v1")]);
        for name in names {
            let cells = [
                (Column::Address, "127.0.0.1:1"),
                (Column::Model, "m"),
                (Column::Type, "engine"),
            ];
            fixture.add(Sheet::Upstreams, name, &cells);
        }
        fixture
    }

    fn set(&mut self, row: &str, column: Column, text: &str) -> Result<Receipt, Error> {
        let revision = self.table.get(Sheet::Upstreams, row).expect("row").revision;
        let cells = BTreeMap::from([(column, Some(text.to_owned()))]);
        self.apply(&edit(Sheet::Upstreams, row, revision, Action::Set(cells)))
    }
}

fn edit(sheet: Sheet, row: &str, if_revision: u64, action: Action) -> Edit {
    Edit {
        author: "ana".to_owned(),
        if_revision,
        key: format!("{row} {if_revision} {action:?}"),
        name: Name {
            row: row.to_owned(),
            sheet,
        },
        action,
    }
}

#[test]
fn an_edit_sent_again_gets_its_first_answer() {
    let mut fixture = Fixture::engines(&["a", "b"]);
    let revision = fixture.table.revision();
    let cells = BTreeMap::from([(Column::Weight, Some("50".to_owned()))]);
    let edit = edit(Sheet::Upstreams, "a", 2, Action::Set(cells));
    let first = fixture.apply(&edit);
    assert_eq!(
        first,
        Ok(Receipt {
            revision: revision + 1
        })
    );
    assert_eq!(
        fixture.set("a", Column::Weight, "60").map(|r| r.revision),
        Ok(5)
    );
    assert_eq!(fixture.apply(&edit), first);
    assert_eq!(fixture.table.revision(), 5);
}

#[test]
fn an_edit_with_the_key_of_another_edit_is_refused() {
    let mut fixture = Fixture::engines(&["a"]);
    let mut other = edit(Sheet::Upstreams, "a", 2, Action::Remove);
    other.key = edit(Sheet::Models, "m", 0, Action::Remove).key;
    let first = fixture.apply(&other);
    other.author = "ben".to_owned();
    assert!(first.is_err());
    let key = other.key.clone();
    assert_eq!(fixture.apply(&other), Err(Error::ReusedKey { key }));
}

#[test]
fn the_history_lists_changes_with_their_author_in_order() {
    let mut fixture = Fixture::engines(&["a"]);
    fixture.set("a", Column::Weight, "7").expect("weight fits");
    let cells = BTreeMap::from([(Column::Weight, Some("7".to_owned()))]);
    let change = Change {
        log_time_ms: 5,
        edit: edit(Sheet::Upstreams, "a", 2, Action::Set(cells)),
        revision: 3,
    };
    assert_eq!(fixture.history.changes().next_back(), Some(&change));
    assert_eq!(fixture.history.changes().count(), 3);
}

#[test]
fn only_the_first_of_two_edits_at_the_same_revision_is_accepted() {
    let mut fixture = Fixture::engines(&["a"]);
    let set = |text: &str| {
        let cells = BTreeMap::from([(Column::Weight, Some(text.to_owned()))]);
        edit(Sheet::Upstreams, "a", 2, Action::Set(cells))
    };
    assert_eq!(fixture.apply(&set("1")), Ok(Receipt { revision: 3 }));
    let name = set("2").name;
    assert_eq!(
        fixture.apply(&set("2")),
        Err(Error::Conflict {
            expected: 2,
            found: 3,
            name
        })
    );
}

#[test]
fn an_edit_that_leaves_a_model_without_upstream_is_refused_with_its_column() {
    let cases = [
        (Column::Limit, "0"),
        (Column::Model, "n"),
        (Column::Standing, "leaving"),
        (Column::Standing, "off"),
        (Column::Type, "service"),
        (Column::Weight, "0"),
    ];
    for (column, text) in cases {
        let mut fixture = Fixture::engines(&["a"]);
        let name = Name {
            row: "a".to_owned(),
            sheet: Sheet::Upstreams,
        };
        assert_eq!(
            fixture.set("a", column, text),
            Err(Error::EmptyModel {
                column: Some(column),
                model: "m".to_owned(),
                name
            })
        );
        assert_eq!(fixture.table.revision(), 2);
    }
}

#[test]
fn the_last_upstream_of_a_model_cannot_be_removed_before_the_model() {
    let mut fixture = Fixture::engines(&["a"]);
    let remove = edit(Sheet::Upstreams, "a", 2, Action::Remove);
    let refused = fixture.apply(&remove).expect_err("model would be empty");
    assert_eq!(
        refused.to_string(),
        "removal of row `a` would leave model `m` without a serving upstream"
    );
    let model = edit(Sheet::Models, "m", 1, Action::Remove);
    assert_eq!(fixture.apply(&model), Ok(Receipt { revision: 3 }));
    let mut again = remove;
    again.key = "again".to_owned();
    assert_eq!(fixture.apply(&again), Ok(Receipt { revision: 4 }));
}

#[test]
fn one_of_two_upstreams_of_a_model_may_leave() {
    let mut fixture = Fixture::engines(&["a", "b"]);
    let left = fixture.set("a", Column::Standing, "leaving");
    assert_eq!(left, Ok(Receipt { revision: 4 }));
}
