//! Checks that the demonstration shows each of its steps.

const STEPS: &str = "\
1. Two workspaces share nothing
   ok: maps computes its whole dossier
   ok: maps asks again and computes nothing
   ok: stores sends the same text and hits nothing
2. A nested prefix hits
   ok: the coast and the cove are new below the dossier
   ok: the reef is new below the coast
3. A stream breaks and is resumed
   ok: the caller gets each token once, in order
4. An order is sent twice and runs once
   ok: both answers are the same
   ok: the service ran it once
5. A cell is edited and takes effect
   ok: u1 gets none of twelve new requests
";

#[test]
fn every_step_happens() {
    let mut out = Vec::new();
    let result = hibiscushoist::run(vec!["demo".to_owned()], &mut out);
    let text = String::from_utf8(out).expect("the output is text");
    result.unwrap_or_else(|report| panic!("{text}{report:?}"));
    let shown = |line: &&str| line.contains("ok: ") || line.starts_with(char::is_numeric);
    let steps: Vec<&str> = text.lines().filter(shown).collect();
    assert_eq!(steps.join("\n") + "\n", STEPS);
}
