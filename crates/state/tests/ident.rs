//! Block hashes: equal for equal prefixes, different for other workspaces, models and versions.

use state::ident::BlockHash;

const PROMPT: &[u8] = b"dossier-coast-spot";

#[test]
fn a_chain_has_only_whole_blocks() {
    assert_eq!(BlockHash::root("maps", "m", "").chain(PROMPT, 8).len(), 2);
}

#[test]
fn equal_prefixes_have_equal_hashes() {
    let root = BlockHash::root("maps", "m", "");
    let long = root.chain(b"dossier-coast-spot", 6);
    let short = root.chain(b"dossier-coast-cove", 6);
    assert_eq!(long[..2], short[..2]);
    assert_ne!(long[2], short[2]);
}

#[test]
fn hashes_differ_between_workspaces_models_and_parents() {
    let block = BlockHash::root("maps", "m", "").child(PROMPT);
    assert_ne!(block, BlockHash::root("stores", "m", "").child(PROMPT));
    assert_ne!(block, BlockHash::root("maps", "n", "").child(PROMPT));
    assert_ne!(block, BlockHash::root("map", "sm", "").child(PROMPT));
    assert_ne!(block, block.child(PROMPT));
}

#[test]
fn versions_change_the_hash_and_the_same_version_restores_it() {
    let block = BlockHash::root("maps", "m", "").child(PROMPT);
    assert_ne!(block.with_version("v1"), block.with_version("v2"));
    assert_ne!(block.with_version("v1"), block);
    assert_eq!(block.with_version("v1").with_version("v1"), block);
}
