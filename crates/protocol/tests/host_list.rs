//! Tests that an entry of the list of hosts that cannot be decoded leaves the others in force.

use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;

use protocol::platform::Host;
use protocol::platform::HostList;
use protocol::platform::Standing;

const FIRST: &str = r#"{"address":"127.0.0.1","standing":"live"}"#;
const LAST: &str = r#"{"standing":"leaving","address":"::1"}"#;
const NESTING: usize = 100_000;

/// Returns the bytes of a list with an odd entry between two sound ones.
fn list_bytes(odd: &[u8]) -> Vec<u8> {
    let mut bytes = br#"{"edition":7,"hosts":["#.to_vec();
    bytes.extend([FIRST.as_bytes(), odd, LAST.as_bytes()].join(&b","[..]));
    bytes.extend(b"]}");
    bytes
}

fn sound_hosts() -> Vec<Host> {
    let host = |address: &str, standing| Host {
        address: address.parse().unwrap(),
        standing,
    };
    vec![
        host("127.0.0.1", Standing::Live),
        host("::1", Standing::Leaving),
    ]
}

// One odd entry must not hide the whole list: a host would never learn that others are leaving.
#[test]
fn an_odd_entry_leaves_the_others_in_force() {
    let nested = format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING));
    let inner = format!(r#"{{"address":{nested},"standing":"live"}}"#);
    let odd = [
        nested.as_bytes(),
        inner.as_bytes(),
        b"1e999",
        b"null",
        b"{}",
        b"no json",
        b"{]",
        b"]}",
        br#"{"address":"127.0.0.9","standing":"live"#,
        br#"{"address":"127.0.0.9,"standing":"live"}"#,
        b"\"\xff\xfe\"",
        b"{\"address\":\"\xff\",\"standing\":\"live\"}",
        br#"{"address":"127.0.0.1:70000","standing":"live"}"#,
        br#"{"address":"127.0.0.300","standing":"live"}"#,
        br#"{"address":"127.0.0.9"}"#,
        br#"{"address":"127.0.0.9","standing":"odd"}"#,
    ];
    for odd in odd {
        let shown = String::from_utf8_lossy(&odd[..odd.len().min(60)]);
        let list = HostList::decode(list_bytes(odd));
        let list = list.unwrap_or_else(|error| panic!("{shown}: {error}"));
        assert_eq!((list.edition, list.malformed), (7, 1), "{shown}");
        assert_eq!(list.hosts, sound_hosts(), "{shown}");
        assert!(list.error.is_some(), "{shown}");
    }
}

// A list of a large fleet must be read to its end, also behind an entry that damages its brackets.
#[test]
fn a_long_list_with_a_damaged_bracket_is_read_to_its_end() {
    let mut odd = b"{]".to_vec();
    for _ in 0..3_000 {
        odd.extend(b",");
        odd.extend(FIRST.as_bytes());
    }
    let list = HostList::decode(list_bytes(&odd)).unwrap();
    assert_eq!((list.edition, list.malformed), (7, 1));
    assert_eq!(list.hosts.len(), 3_002);
    assert_eq!(list.hosts.last(), sound_hosts().last());
}

// A list that was cut off must not pass for a whole one, in which the other hosts are missing.
#[test]
fn a_list_that_is_cut_off_or_no_list_is_refused() {
    let bytes = list_bytes(b"null");
    for length in 0..bytes.len() {
        assert!(HostList::decode(&bytes[..length]).is_err(), "{length}");
    }
    for text in [
        r#"{"edition":7}"#,
        r#"{"hosts":[]}"#,
        r#"{"edition":-1,"hosts":[]}"#,
        r#"{"edition":7,"hosts":{}}"#,
        r#"{"edition":7,"hosts":[]}]"#,
    ] {
        assert!(HostList::decode(text).is_err(), "{text}");
    }
}

proptest! {
    #[test]
    fn a_list_is_decoded_as_it_was_encoded(
        edition in any::<u64>(),
        octets in proptest::collection::vec(any::<[u8; 4]>(), 0..20),
    ) {
        let hosts = octets.into_iter().map(|octets| Host {
            address: octets.into(),
            standing: Standing::Live,
        });
        let list = HostList { edition, hosts: hosts.collect(), ..HostList::default() };
        let decoded = HostList::decode(serde_json::to_vec(&list).unwrap()).unwrap();
        prop_assert_eq!(decoded, list);
    }

    #[test]
    fn arbitrary_bytes_are_refused_or_decoded(bytes in proptest::collection::vec(
        proptest::prop_oneof![
            any::<u8>(),
            proptest::sample::select(br#"{}[]",:\ 0e"#.to_vec()),
        ], 0..60,
    )) {
        let _ = HostList::decode(&bytes);
        let _ = HostList::decode(list_bytes(&bytes));
    }
}
