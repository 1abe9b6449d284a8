//! Properties of decoding the formats of callers, operators and upstreams from arbitrary text.

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

/// Generates JSON whose fields often have the names that the formats use.
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

/// Returns whether `value` is not a `T`, or survives a round trip through one.
fn round_trips<T>(value: &Value) -> bool
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
    fn arbitrary_json_is_refused_or_survives_a_round_trip(value in json()) {
        prop_assert!(round_trips::<completion::Request>(&value));
        prop_assert!(round_trips::<completion::Completion>(&value));
        prop_assert!(round_trips::<engine::Request>(&value));
        prop_assert!(round_trips::<engine::Piece>(&value));
        prop_assert!(round_trips::<engine::Load>(&value));
        prop_assert!(round_trips::<engine::Snapshot>(&value));
        prop_assert!(round_trips::<operator::Status>(&value));
        prop_assert!(round_trips::<operator::Explanation>(&value));
        prop_assert!(round_trips::<refusal::RefusalBody>(&value));
        prop_assert!(round_trips::<Edit>(&value));
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_message_or_an_error(bytes in vec(any::<u8>(), 0..300)) {
        let _ = serde_json::from_slice::<completion::Request>(&bytes);
        let _ = serde_json::from_slice::<engine::Piece>(&bytes);
    }

    #[test]
    fn a_request_keeps_fields_unknown_to_the_daemon(
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
    fn a_partial_request_is_refused(prompt in ".{0,60}", cut in any::<proptest::sample::Index>()) {
        let whole = serde_json::json!({"model": "m", "prompt": prompt}).to_string();
        let part = &whole.as_bytes()[..cut.index(whole.len())];
        prop_assert!(serde_json::from_slice::<completion::Request>(part).is_err());
    }

    #[test]
    fn a_block_survives_a_round_trip_through_text(number in any::<u128>()) {
        let block = BlockHash(number);
        prop_assert_eq!(block::parse(&block::format(block)), Some(block));
    }

    #[test]
    fn only_32_hexadecimal_digits_parse_as_a_block(text in "[0-9a-fA-F+ -]{30,34}|.{0,40}") {
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
fn a_duplicate_field_is_refused() {
    let text = r#"{"model": "m", "model": "n", "prompt": "p"}"#;
    assert!(serde_json::from_str::<completion::Request>(text).is_err());
}
