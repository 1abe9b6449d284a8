//! Checks the reading of server-sent events.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use transport::sse::Decoder;
use transport::sse::Error;
use transport::sse::Item;

fn read(bytes: &[u8], limit: usize) -> Result<Vec<Item>, Error> {
    let mut items = Vec::new();
    Decoder::new(limit).push(bytes, &mut items)?;
    Ok(items)
}

#[test]
fn an_event_ends_at_an_empty_line() {
    let items = read(b"data: a\ndata:b\r\nid: 7\n\n: alive\ndata: open", 64).unwrap();
    assert_eq!(items, [Item::Data("a\nb".to_owned()), Item::Comment]);
}

#[test]
fn an_endless_line_is_refused() {
    assert_eq!(
        read(&[b'x'; 65], 64),
        Err(Error::EventTooLong { limit: 64 })
    );
}

#[test]
fn an_endless_event_is_refused() {
    let text = "data: 0123456789\n".repeat(8);
    assert_eq!(
        read(text.as_bytes(), 64),
        Err(Error::EventTooLong { limit: 64 })
    );
}

#[test]
fn other_bytes_than_text_are_refused() {
    assert_eq!(read(b"data: \xff\n\n", 64), Err(Error::NotUtf8));
}

proptest! {
    #[test]
    fn the_cuts_between_reads_do_not_matter(
        texts in vec("[^\r\n]{0,40}", 0..8),
        cut in 1_usize..9,
    ) {
        let bytes: String = texts.iter().map(|t| format!("data: {t}\n\n")).collect();
        let mut decoder = Decoder::new(1_000);
        let mut items = Vec::new();
        for chunk in bytes.as_bytes().chunks(cut) {
            decoder.push(chunk, &mut items).unwrap();
        }
        let expected: Vec<_> = texts.into_iter().map(Item::Data).collect();
        prop_assert_eq!(items, expected);
    }

    #[test]
    fn no_bytes_make_it_hold_more_than_its_bound(bytes in vec(any::<u8>(), 0..400)) {
        let mut items = Vec::new();
        let _ = Decoder::new(32).push(&bytes, &mut items);
        let long = |item: &Item| matches!(item, Item::Data(text) if text.len() > 32);
        prop_assert!(!items.iter().any(long));
    }
}
