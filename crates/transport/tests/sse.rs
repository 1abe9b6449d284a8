//! Tests of the decoder of server-sent events.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use transport::sse::Decoder;
use transport::sse::Error;
use transport::sse::Item;

fn decode(bytes: &[u8], limit: usize) -> Result<Vec<Item>, Error> {
    let mut items = Vec::new();
    Decoder::new(limit).push(bytes, &mut items)?;
    Ok(items)
}

#[test]
fn an_event_ends_at_an_empty_line() {
    let items = decode(b"data: a\ndata:b\r\nid: 7\n\n: alive\ndata: open", 64).unwrap();
    assert_eq!(items, [Item::Data("a\nb".to_owned()), Item::Comment]);
}

#[test]
fn a_line_above_the_limit_is_an_error() {
    assert_eq!(
        decode(&[b'x'; 65], 64),
        Err(Error::EventTooLong { limit: 64 })
    );
}

#[test]
fn an_event_above_the_limit_is_an_error() {
    let text = "data: 0123456789\n".repeat(8);
    assert_eq!(
        decode(text.as_bytes(), 64),
        Err(Error::EventTooLong { limit: 64 })
    );
}

#[test]
fn data_that_is_not_utf8_is_an_error() {
    assert_eq!(decode(b"data: \xff\n\n", 64), Err(Error::NotUtf8));
}

proptest! {
    #[test]
    fn events_are_decoded_whatever_the_chunk_size(
        texts in vec("[^\r\n]{0,40}", 0..8),
        chunk_bytes in 1_usize..9,
    ) {
        let bytes: String = texts.iter().map(|t| format!("data: {t}\n\n")).collect();
        let mut decoder = Decoder::new(1_000);
        let mut items = Vec::new();
        for chunk in bytes.as_bytes().chunks(chunk_bytes) {
            decoder.push(chunk, &mut items).unwrap();
        }
        let expected: Vec<_> = texts.into_iter().map(Item::Data).collect();
        prop_assert_eq!(items, expected);
    }

    #[test]
    fn no_event_exceeds_the_limit_whatever_the_bytes(bytes in vec(any::<u8>(), 0..400)) {
        let mut items = Vec::new();
        let _ = Decoder::new(32).push(&bytes, &mut items);
        let too_long = |item: &Item| matches!(item, Item::Data(text) if text.len() > 32);
        prop_assert!(!items.iter().any(too_long));
    }
}
