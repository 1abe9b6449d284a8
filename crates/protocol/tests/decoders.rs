//! Checks the reading of callers', operators' and upstreams' formats from text of any kind.

use proptest::collection::hash_map;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use protocol::block;
use protocol::completion;
use protocol::engine;
use protocol::operator;
use protocol::refusal;
use state::edit::Edit;
use state::ident::BlockHash;

const FIELDS: [&str; 14] = [
    "blocks",
    "cells",
    "choices",
    "content",
    "error",
    "id",
    "kind",
    "max_tokens",
    "messages",
    "model",
    "offset",
    "prompt",
    "stream",
    "version",
];

/// Draws JSON whose fields often have the names that the formats use.
fn json() -> BoxedStrategy<Value> {
    let leaf = proptest::prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u32>().prop_map(|number| Value::from(f64::from(number) / 8.0)),
        ".{0,20}".prop_map(Value::from),
    ];
    let nested = leaf.prop_recursive(4, 40, 8, |inner| {
        let name = proptest::prop_oneof![
            proptest::sample::select(FIELDS.to_vec()).prop_map(ToOwned::to_owned),
            "[a-z_]{1,8}",
        ];
        let object = hash_map(name, inner.clone(), 0..8);
        proptest::prop_oneof![
            vec(inner, 0..6).prop_map(Value::from),
            object.prop_map(|fields| Value::Object(fields.into_iter().collect::<Map<_, _>>())),
        ]
    });
    nested.boxed()
}

/// Tells whether `value` is no `T`, or one that is written and read the same.
fn same<T>(value: &Value) -> bool
where
    T: DeserializeOwned + PartialEq + Serialize,
{
    let Ok(read) = serde_json::from_value::<T>(value.clone()) else {
        return true;
    };
    let written = serde_json::to_string(&read).unwrap();
    serde_json::from_str::<T>(&written).is_ok_and(|again| again == read)
}

proptest! {
    #[test]
    fn json_of_any_kind_is_read_the_same_again_or_refused(value in json()) {
        prop_assert!(same::<completion::Request>(&value));
        prop_assert!(same::<completion::Completion>(&value));
        prop_assert!(same::<engine::Request>(&value));
        prop_assert!(same::<engine::Piece>(&value));
        prop_assert!(same::<engine::Load>(&value));
        prop_assert!(same::<engine::Snapshot>(&value));
        prop_assert!(same::<operator::Status>(&value));
        prop_assert!(same::<operator::Explanation>(&value));
        prop_assert!(same::<refusal::Body>(&value));
        prop_assert!(same::<Edit>(&value));
    }

    #[test]
    fn bytes_of_any_kind_are_a_request_or_an_error(bytes in vec(any::<u8>(), 0..300)) {
        let _ = serde_json::from_slice::<completion::Request>(&bytes);
        let _ = serde_json::from_slice::<engine::Piece>(&bytes);
    }

    #[test]
    fn a_request_keeps_the_fields_that_the_daemon_does_not_read(
        max_tokens in option::of(any::<u64>()),
        prompt in ".{0,60}",
        stream in any::<bool>(),
        temperature in any::<u32>(),
    ) {
        let request = completion::Request {
            max_tokens,
            messages: Vec::new(),
            model: "m".to_owned(),
            prompt: Some(prompt),
            rest: Map::from_iter([("temperature".to_owned(), temperature.into())]),
            stream,
            user: None,
        };
        let written = serde_json::to_string(&request).unwrap();
        let read = serde_json::from_str::<completion::Request>(&written).unwrap();
        prop_assert_eq!(read, request);
    }

    #[test]
    fn a_cut_request_is_refused(prompt in ".{0,60}", cut in any::<proptest::sample::Index>()) {
        let whole = serde_json::json!({"model": "m", "prompt": prompt}).to_string();
        let part = &whole.as_bytes()[..cut.index(whole.len())];
        prop_assert!(serde_json::from_slice::<completion::Request>(part).is_err());
    }

    #[test]
    fn a_block_is_written_and_read_the_same(number in any::<u128>()) {
        let block = BlockHash(number);
        prop_assert_eq!(block::parse(&block::format(block)), Some(block));
    }

    #[test]
    fn a_text_that_is_read_as_a_block_has_32_digits(text in "[0-9a-fA-F+ -]{30,34}|.{0,40}") {
        let plain = text.len() == 32 && text.chars().all(|c| c.is_ascii_hexdigit());
        prop_assert_eq!(block::parse(&text).is_some(), plain);
    }
}

#[test]
fn deep_nesting_is_refused() {
    let text = format!("{{\"model\":\"m\",\"x\":{}", "[".repeat(100_000));
    assert!(serde_json::from_str::<completion::Request>(&text).is_err());
}

#[test]
fn a_field_that_stands_twice_is_refused() {
    let text = r#"{"model": "m", "model": "n", "prompt": "p"}"#;
    assert!(serde_json::from_str::<completion::Request>(text).is_err());
}
