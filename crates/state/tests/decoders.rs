//! Checks the reading of cells and edits from text and bytes of any kind.

use proptest::collection::btree_map;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::select;
use proptest::strategy::Strategy;
use strum::IntoEnumIterator;

use state::cell::Cell;
use state::column::Column;
use state::column::ValueType;
use state::edit::Action;
use state::edit::Edit;
use state::row;
use state::sheet::Sheet;
use state::table::Table;

fn column() -> impl Strategy<Value = Column> {
    select(Column::iter().collect::<Vec<_>>())
}

fn sheet() -> impl Strategy<Value = Sheet> {
    select(Sheet::iter().collect::<Vec<_>>())
}

/// Draws texts near the borders of every form, and others.
fn text() -> impl Strategy<Value = String> {
    proptest::prop_oneof![
        ".{0,80}",
        "[A-Za-z0-9._-]{0,70}",
        "[0-9a-fA-F]{63,65}",
        "-?[0-9]{1,20}",
        "[0-9]{1,3}\\.[0-9]{1,3}\\.0\\.1:[0-9]{1,6}",
        select(vec![
            "true", "urgent", "serving", "engine", "mixed", "[::1]:9", ""
        ])
        .prop_map(ToOwned::to_owned),
    ]
}

proptest! {
    #[test]
    fn a_cell_that_is_read_is_written_and_read_the_same(column in column(), text in text()) {
        if let Ok(cell) = Cell::parse(column, &text) {
            let written = cell.to_string();
            prop_assert_eq!(Cell::parse(column, &written), Ok(cell));
        }
    }

    #[test]
    fn a_number_out_of_bounds_is_no_cell(column in column(), number in any::<u64>()) {
        if let ValueType::Number { min, max } = column.value_type() {
            let read = Cell::parse(column, &number.to_string());
            prop_assert_eq!(read.is_ok(), (min..=max).contains(&number));
        }
    }

    #[test]
    fn a_refused_text_is_not_repeated_at_length(column in column(), text in ".{100,400}") {
        if let Err(error) = Cell::parse(column, &text) {
            prop_assert!(!error.to_string().contains(&text));
        }
    }

    #[test]
    fn an_edit_changes_its_row_or_nothing(
        cells in btree_map(column(), text(), 0..6),
        sheet in sheet(),
        row in text(),
        revision in 0_u64..2,
    ) {
        let edit = Edit {
            action: Action::Add(cells),
            author: "a".to_owned(),
            if_revision: revision,
            key: "k".to_owned(),
            name: row::Name { row, sheet },
        };
        let mut table = Table::default();
        match table.apply(&edit) {
            Err(_) => prop_assert_eq!(table, Table::default()),
            Ok(receipt) => {
                prop_assert_eq!(receipt.revision, 1);
                prop_assert_eq!(table.iter().count(), 1);
            }
        }
    }

    #[test]
    fn bytes_of_any_kind_are_an_edit_or_an_error(bytes in vec(any::<u8>(), 0..200)) {
        if let Ok(edit) = postcard::from_bytes::<Edit>(&bytes) {
            let written = postcard::to_stdvec(&edit).unwrap();
            prop_assert_eq!(postcard::from_bytes::<Edit>(&written), Ok(edit));
        }
        let _ = postcard::from_bytes::<Table>(&bytes);
        let _ = serde_json::from_slice::<Edit>(&bytes);
    }
}
