//! The help pages.

use std::fmt::Write;

use strum::IntoEnumIterator;

use crate::command::Command;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed for another reason
  2  the command line is wrong
  3  no server could be reached
  4  the key is missing or wrong
  5  the row has moved on; read it again
  6  refused or not there
  7  the outcome is unknown; send again with the same edit key
";

/// Explains `addresses`.
pub const ADDRESSES: &str = "\
Usage: hibiscushoist addresses [--server ADDRESS] [--key-file FILE] [--json]

Prints the entry addresses that a caller of the workspace should use, the preferred one first,
and how long the answer may be kept. The key is a workspace's, from --key-file or from the
environment variable HIBISCUSHOIST_KEY.

Examples:
  hibiscushoist addresses --server 127.0.0.1:8080 --key-file workspace.key
  hibiscushoist addresses --json | jq -r '.addresses[0]'
";

/// Explains `demo`.
pub const DEMO: &str = "\
Usage: hibiscushoist demo

Runs a daemon, three stand-in engines and a stand-in service in this process and shows that two
workspaces share nothing, that a nested prefix hits, that a broken stream is resumed, that an order
sent twice runs once and that an edited cell takes effect. Prints what was decided and why, and
exits with 1 when any of it did not happen. Needs no set-up and leaves nothing behind.

Example:
  hibiscushoist demo
";

/// Explains `explain`.
pub const EXPLAIN: &str = "\
Usage: hibiscushoist explain ID [--server ADDRESS] [--key-file FILE] [--json]

Prints how the request was decided: the upstreams weighed with their scores, the attempts, the
waits and retries with their reasons, and the outcome. ID is the x-request-id of the answer; ask
the entry that served it.

Examples:
  hibiscushoist explain 6f1c2a --server 127.0.0.1:8080 --key-file operator.key
  hibiscushoist explain 6f1c2a --json
";

/// Explains `key`.
pub const KEY: &str = "\
Usage: hibiscushoist key [--key-file FILE] [--json]

Makes a key and prints it with its BLAKE3 hash; with --key-file, prints only the hash of the key
in FILE. Cells named key_hash and the setting key_hash of section [operator] take the hash.

Examples:
  hibiscushoist key
  hibiscushoist key --key-file workspace.key
";

/// Explains `load`.
pub const LOAD: &str = "\
Usage: hibiscushoist load --model NAME [--server ADDRESS]... [options]

Sends streamed completions with long shared prefixes and reports first-token and token-gap
percentiles, hit rate, goodput and refusals by rank, workspace and reason. It asks
/v1/addresses, keeps the answer for its lifetime and connects there. It stops by itself.

Options:
  --workspace NAME=FILE  a workspace and the file of its key; repeat it for more, large ones first
  --mix NAME             sabaha or laurentides (sabaha)
  --seed NUMBER          draws the same requests again (1)
  --rate NUMBER          requests a second, exponentially spaced (10)
  --duration SECONDS     stops sending after that time (10)
  --count NUMBER         stops sending after that many requests (1000)
  --in-flight NUMBER     skips arrivals beyond that many at once (256)
  --scale PERCENT        shortens or lengthens the prompts (100)
  --deadline MS          is sent with each request (30000)
  --target MS            is the first-token target that goodput counts by (330)
  --json                 prints the report as JSON

One workspace may also be given by --key-file FILE or HIBISCUSHOIST_KEY.

Examples:
  hibiscushoist load --server 127.0.0.1:8080 --model large --key-file workspace.key
  hibiscushoist load --server 127.0.0.1:8080 --model large --mix laurentides \\
      --workspace head=head.key --workspace store=store.key --rate 40 --duration 20 --json
";

/// Explains `status`.
pub const STATUS: &str = "\
Usage: hibiscushoist status [--server ADDRESS] [--key-file FILE] [--json]

Prints how a daemon sees itself, the hosts, the upstreams and its counters.

Examples:
  hibiscushoist status --server 127.0.0.1:8080 --key-file operator.key
  hibiscushoist status --json | jq .revision
";

/// Explains `table`.
pub const TABLE: &str = "\
Usage: hibiscushoist table get [SHEET [ROW]]
       hibiscushoist table set SHEET ROW COLUMN=VALUE... [--if-revision NUMBER]
       hibiscushoist table add SHEET ROW COLUMN=VALUE...
       hibiscushoist table remove SHEET ROW [--if-revision NUMBER]
       hibiscushoist table history [--after REVISION]
       hibiscushoist table watch [--after REVISION] [--count NUMBER]

Reads and edits the table. The sheets are kinds, models, upstreams and workspaces. An edit names
the revision of the row that it was based on: --if-revision, or else the one read just before.
When another edit came first, nothing changes and the exit code is 5. A lost answer is asked for
again under the same edit key, so that an edit happens once. COLUMN= clears a cell.

Options:
  --server ADDRESS       IP and port of a daemon; repeat it for more (HIBISCUSHOIST_SERVER,
                         else 127.0.0.1:8080)
  --key-file FILE        the operator's key (HIBISCUSHOIST_KEY)
  --author NAME          is kept with the edit (USER)
  --edit-key KEY         sends an edit of unknown outcome again
  --after REVISION       starts after that revision (history: 0, watch: the newest)
  --count NUMBER         ends a watch after that many changes
  --json                 prints JSON, for watch one object a line

Examples:
  hibiscushoist table get upstreams --server 127.0.0.1:8080 --key-file operator.key
  hibiscushoist table set upstreams engine-1 standing=leaving
  hibiscushoist table add workspaces maps key_hash=$(hibiscushoist key --key-file maps.key)
  hibiscushoist table watch --json
";

/// Explains `voters`.
pub const VOTERS: &str = "\
Usage: hibiscushoist voters [--server ADDRESS] [--key-file FILE] [--json]
       hibiscushoist voters add HOST ADDRESS
       hibiscushoist voters remove HOST

Prints the voters and learners, who leads, and how far each log is known to match. `add` has a
running host with the role voter learn the log; it votes once it has caught up. ADDRESS is the
host's address for peers. `remove` takes a voter out for good.

Examples:
  hibiscushoist voters --server 127.0.0.1:8080 --key-file operator.key
  hibiscushoist voters add h9 192.0.2.9:7000
  hibiscushoist voters remove h1
";

/// Returns the page that explains a command.
pub fn page(command: Command) -> &'static str {
    match command {
        Command::Addresses => ADDRESSES,
        Command::Demo => DEMO,
        Command::Explain => EXPLAIN,
        Command::Key => KEY,
        Command::Load => LOAD,
        Command::Status => STATUS,
        Command::Table => TABLE,
        Command::Voters => VOTERS,
    }
}

/// Returns the page that lists the commands.
pub fn overview() -> String {
    let mut text = String::from("Usage: hibiscushoist COMMAND [options]\n\nCommands:\n");
    for command in Command::iter() {
        let name = command.to_string();
        let _ = writeln!(text, "  {name:<10} {}", command.summary());
    }
    text.push_str("\n`hibiscushoist help COMMAND` explains one, with examples.\n\n");
    text.push_str(EXIT_CODES);
    text
}
