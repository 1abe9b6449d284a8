//! Properties of parsing cells and edits: any text or bytes are a value or an error, never a panic.

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

/// Generates texts near the limits of every value type, and arbitrary ones.
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
    fn a_parsed_cell_survives_a_round_trip_through_text(column in column(), text in text()) {
        if let Ok(cell) = Cell::parse(column, &text) {
            let written = cell.to_string();
            prop_assert_eq!(Cell::parse(column, &written), Ok(cell));
        }
    }

    #[test]
    fn a_number_is_accepted_only_within_its_bounds(column in column(), number in any::<u64>()) {
        if let ValueType::Number { min, max } = column.value_type() {
            let read = Cell::parse(column, &number.to_string());
            prop_assert_eq!(read.is_ok(), (min..=max).contains(&number));
        }
    }

    #[test]
    fn an_error_does_not_repeat_the_whole_of_a_long_text(column in column(), text in ".{100,400}") {
        if let Err(error) = Cell::parse(column, &text) {
            prop_assert!(!error.to_string().contains(&text));
        }
    }

    #[test]
    fn an_edit_adds_its_row_or_leaves_the_table_unchanged(
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
    fn arbitrary_bytes_decode_to_an_edit_or_an_error(bytes in vec(any::<u8>(), 0..200)) {
        if let Ok(edit) = postcard::from_bytes::<Edit>(&bytes) {
            let written = postcard::to_stdvec(&edit).unwrap();
            prop_assert_eq!(postcard::from_bytes::<Edit>(&written), Ok(edit));
        }
        let _ = postcard::from_bytes::<Table>(&bytes);
        let _ = serde_json::from_slice::<Edit>(&bytes);
    }
}
