//! Checks that each fault of a settings file is named with section, key and what is accepted.

use hibiscushoistd::settings::Role;
use hibiscushoistd::settings::Settings;

const GOOD: &str = "\
[daemon]
name = a
fleet = coast
failure_domain = north
data = data
roles = broker, entry, voter

[entry]
listen = 127.0.0.1:8000

[peer]
listen = 127.0.0.1:7000
key = 00000000000000000000000000000000000000000000000000000000000000aa

[voters]
members = a@127.0.0.1:7000
";

struct Test {
    text: String,
}

impl Test {
    fn new() -> Self {
        Self {
            text: GOOD.to_owned(),
        }
    }

    fn append(mut self, lines: &str) -> Self {
        self.text.push_str(lines);
        self
    }

    fn replace(mut self, from: &str, to: &str) -> Self {
        assert!(self.text.contains(from), "the good file holds `{from}`");
        self.text = self.text.replacen(from, to, 1);
        self
    }

    fn fails(self, expected: &str) {
        let error = Settings::parse("a.ini", &self.text).expect_err("the file has a fault");
        assert_eq!(error.to_string(), expected);
    }

    fn passes(self) -> Settings {
        Settings::parse("a.ini", &self.text).expect("the file is good")
    }
}

#[test]
fn good_file_passes() {
    let settings = Test::new().passes();
    assert_eq!(settings.name, "a");
    assert!(settings.plays(Role::Voter));
    assert_eq!(settings.voters.len(), 1);
}

#[test]
fn unknown_section_is_named() {
    Test::new().append("[entrance]\n").fails(
        "a.ini: [entrance]: unknown; accepted are daemon, entry, gateway, log, operator, peer, \
         platform, voters",
    );
}

#[test]
fn unknown_key_is_named() {
    Test::new()
        .append("[log]\ncolour = red\n")
        .fails("a.ini: [log] colour: unknown; accepted are form, level");
}

#[test]
fn key_outside_sections_is_named() {
    Test::new()
        .replace("[daemon]", "stray = 1\n[daemon]")
        .fails("a.ini: [] stray: unknown; accepted are ");
}

#[test]
fn duplicate_key_is_named() {
    Test::new()
        .replace("name = a", "name = a\nname = b")
        .fails("a.ini: [daemon] name: stands twice; keep one");
}

#[test]
fn duplicate_section_is_named() {
    Test::new()
        .append("[entry]\nlisten = 127.0.0.1:1\n")
        .fails("a.ini: [entry]: stands twice; join them");
}

#[test]
fn missing_key_is_named() {
    Test::new().replace("fleet = coast\n", "").fails(
        "a.ini: [daemon] fleet: missing; it takes a name of 1 to 64 letters, digits, dots, dashes \
         and underscores",
    );
}

#[test]
fn bad_address_is_named() {
    Test::new()
        .replace("listen = 127.0.0.1:8000", "listen = localhost:8000")
        .fails(
            "a.ini: [entry] listen: `localhost:8000` is not an IP address and port such as \
             192.0.2.1:8000",
        );
}

#[test]
fn bad_role_is_named() {
    Test::new()
        .replace("roles = broker, entry, voter", "roles = broker, king")
        .fails("a.ini: [daemon] roles: `broker, king` is not a list of broker, entry and voter");
}

#[test]
fn number_out_of_bounds_is_named() {
    Test::new()
        .replace(
            "listen = 127.0.0.1:8000",
            "listen = 127.0.0.1:8000\nconnections = 0",
        )
        .fails("a.ini: [entry] connections: `0` is not a whole number from 1 to 1000000");
}

/// The platform gives some bounds with a fraction, and hosts did not start.
#[test]
fn fraction_of_a_limit_is_cut_off() {
    let test = Test::new().append(
        "[gateway]\nretry_slack = 35.166666666666664\nweights_limit_ms = 6000.5\n\
         freshness_ms = 1600.0\n",
    );
    let gateway = test.passes().gateway.unwrap();
    assert_eq!(gateway.retry_slack, 35);
    assert_eq!(gateway.weights_limit.as_millis(), 6_000);
    assert_eq!(gateway.freshness.as_millis(), 1_600);
}

#[test]
fn limit_that_is_no_number_is_named() {
    for value in ["inf", "-1", "1e3", "NaN", "1000001", "9.9.9"] {
        Test::new()
            .append(&format!("[gateway]\nretry_slack = {value}\n"))
            .fails(&format!(
                "a.ini: [gateway] retry_slack: `{value}` is not a number from 0 to 1000000"
            ));
    }
}

#[test]
fn entry_role_without_section_clashes() {
    Test::new()
        .replace("[entry]\nlisten = 127.0.0.1:8000\n", "")
        .fails(
            "a.ini: [daemon] roles: section [entry] and role `entry` go together; keep both or \
             neither",
        );
}

#[test]
fn voter_without_data_clashes() {
    Test::new().replace("data = data\n", "").fails(
        "a.ini: [daemon] data: role `voter` needs a disk; give a data folder or drop the role",
    );
}

#[test]
fn listed_host_without_voter_role_clashes() {
    Test::new()
        .replace("roles = broker, entry, voter", "roles = broker, entry")
        .fails(
            "a.ini: [voters] members: this host is listed; add role `voter` or take it off the \
             list",
        );
}

#[test]
fn voter_named_twice_clashes() {
    Test::new()
        .replace(
            "members = a@127.0.0.1:7000",
            "members = a@127.0.0.1:7000, a@127.0.0.2:7000",
        )
        .fails("a.ini: [voters] members: a name stands twice; name each voter once");
}

#[test]
fn line_without_equals_sign_is_no_ini() {
    let error = Settings::parse("a.ini", "[daemon]\nname\n").expect_err("the file has a fault");
    assert!(error.to_string().starts_with("a.ini:"), "{error}");
}

#[test]
fn debug_form_hides_the_fleet_key() {
    let settings = Test::new().passes();
    assert!(!format!("{settings:?}").contains("170"), "{settings:?}");
}

#[test]
fn example_files_pass() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let eight = (1..=8).map(|host| format!("{examples}/eight/h{host}.ini"));
    let all = eight.chain([format!("{examples}/one.ini")]);
    for path in all {
        Settings::read(&path).unwrap_or_else(|error| panic!("{error}"));
    }
}
