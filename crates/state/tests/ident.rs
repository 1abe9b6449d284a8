//! Checks that blocks of other workspaces, models, parents and versions never share a name.

use state::ident::BlockHash;

const PROMPT: &[u8] = b"dossier-coast-spot";

#[test]
fn chain_holds_whole_blocks_only() {
    assert_eq!(BlockHash::root("maps", "m", "").chain(PROMPT, 8).len(), 2);
}

#[test]
fn equal_prefixes_share_their_blocks() {
    let root = BlockHash::root("maps", "m", "");
    let long = root.chain(b"dossier-coast-spot", 6);
    let short = root.chain(b"dossier-coast-cove", 6);
    assert_eq!(long[..2], short[..2]);
    assert_ne!(long[2], short[2]);
}

#[test]
fn other_workspaces_models_and_parents_differ() {
    let block = BlockHash::root("maps", "m", "").child(PROMPT);
    assert_ne!(block, BlockHash::root("stores", "m", "").child(PROMPT));
    assert_ne!(block, BlockHash::root("maps", "n", "").child(PROMPT));
    assert_ne!(block, BlockHash::root("map", "sm", "").child(PROMPT));
    assert_ne!(block, block.child(PROMPT));
}

#[test]
fn versions_name_a_block_apart_and_back() {
    let block = BlockHash::root("maps", "m", "").child(PROMPT);
    assert_ne!(block.with_version("v1"), block.with_version("v2"));
    assert_ne!(block.with_version("v1"), block);
    assert_eq!(block.with_version("v1").with_version("v1"), block);
}
