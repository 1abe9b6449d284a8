//! Checks the reading of settings and credentials from text of any kind.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderValue;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::Index;

use hibiscushoistd::auth;
use hibiscushoistd::settings::SECTIONS;
use hibiscushoistd::settings::Settings;

const KEY: &str = "00000000000000000000000000000000000000000000000000000000000000aa";

fn good() -> String {
    format!(
        "[daemon]\nname = a\nfleet = coast\nfailure_domain = north\ndata = data\n\
         roles = broker, entry, voter\n[entry]\nlisten = 127.0.0.1:8000\n\
         [peer]\nlisten = 127.0.0.1:7000\nkey = {KEY}\n"
    )
}

proptest! {
    #[test]
    fn text_of_any_kind_is_settings_or_an_error(text in "(\\[?[a-z]{0,9}\\]? ?=? ?.{0,9}\n){0,9}") {
        let _ = Settings::parse("a.ini", text);
    }

    #[test]
    fn a_changed_file_is_read_or_names_the_file(
        at in any::<Index>(),
        length in 0_usize..9,
        put in ".{0,6}",
    ) {
        let mut text = good();
        let start = at.index(text.len());
        let end = text.len().min(start + length);
        text.replace_range(start..end, &put);
        if let Err(error) = Settings::parse("a.ini", &text) {
            prop_assert!(error.to_string().starts_with("a.ini:"), "{}", error);
        }
    }

    #[test]
    fn an_unknown_key_is_a_fault(section in 0..SECTIONS.len(), key in "[a-z_]{1,12}") {
        let section = &SECTIONS[section];
        if !section.keys.contains(&key.as_str()) {
            let text = format!("[{}]\n{key} = 1\n", section.name);
            prop_assert!(Settings::parse("a.ini", text).is_err());
        }
    }

    #[test]
    fn settings_that_are_read_do_not_show_the_fleet_key(name in "[a-z]{1,9}") {
        let text = good().replace("name = a", &format!("name = {name}"));
        let shown = format!("{:?}", Settings::parse("a.ini", text).unwrap());
        prop_assert!(!shown.contains("170") && !shown.contains(&KEY[40..]), "{}", shown);
    }

    #[test]
    fn a_wrong_fleet_key_is_not_repeated(digits in "[0-9a-f]{20,63}") {
        let text = good().replace(KEY, &digits);
        let error = Settings::parse("a.ini", text).unwrap_err();
        prop_assert!(!error.to_string().contains(&digits), "{}", error);
    }

    #[test]
    fn only_the_operators_key_passes(
        bytes in vec(any::<u8>(), 0..40),
        scheme in "[Bb]earer {0,2}|",
    ) {
        let value = [scheme.as_bytes(), &bytes].concat();
        let Ok(value) = HeaderValue::from_bytes(&value) else {
            return Ok(());
        };
        let headers = HeaderMap::from_iter([(AUTHORIZATION, value.clone())]);
        let right = value.as_bytes() == b"Bearer right";
        prop_assert_eq!(auth::is_operator(&headers, &auth::hash("right")), right);
    }
}
